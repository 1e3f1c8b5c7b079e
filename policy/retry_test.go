package policy

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A read held for a fresher replica is refused before half of its time is over, so that its client can still try
// elsewhere.
func TestHeldReadIsRefusedWithinHalfItsTimeout(t *testing.T) {
	rig := newRig(t, baseSettings())
	rig.failWrites(breakerThreshold, Reset)
	rig.advance(0, Request{ID: "r", Class: recent, Timeout: 600 * ms})
	rig.advance(250 * ms)
	rig.wantFinal("r", 0, 0)
	rig.advance(49 * ms)
	rig.wantFinal("r", 1, 0)
}

// Every request gets exactly one final answer within its timeout.
func TestFinalAnswerWithinTimeout(t *testing.T) {
	rig := newRig(t, baseSettings())
	rig.advance(0, Request{ID: "w", Class: atMostOnce, Timeout: 300 * ms})
	rig.wantSend("p")
	rig.advance(300 * ms)
	rig.wantFinal("w", 0, 1)
	rig.advance(5*ms, Result{Request: "w", Host: "p", Outcome: Timeout, Finished: true})
	rig.wantFinal("w", 0, 0)
}

// No request has its effect twice.
func TestRetrySafety(t *testing.T) {
	tests := []struct {
		name    string
		class   int
		outcome Outcome
		after   time.Duration
		retried bool
		refused bool
	}{
		{"at most once, error", atMostOnce, Error, 10 * ms, false, false},
		{"at most once, never ran", atMostOnce, ConnectFailed, 10 * ms, true, false},
		{"deduplicated, error", deduplicated, Error, 10 * ms, true, false},
		{"deduplicated, after its window", deduplicated, Reset, 1100 * ms, false, false},
		{"deduplicated, never ran", deduplicated, ConnectFailed, 10 * ms, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rig := newRig(t, baseSettings()).request("w", tt.class)
			rig.wantSend("p")
			rig.advance(tt.after, Result{Request: "w", Host: "p", Outcome: tt.outcome})
			refused, failed := rig.finalAnswers("w")
			if retried := len(rig.sends()) == 1; retried != tt.retried {
				t.Errorf("sent again: %v, want %v", retried, tt.retried)
			}
			if !tt.retried && (refused == 1) != tt.refused || refused+failed > 1 || !tt.retried && refused+failed == 0 {
				t.Errorf("%d refusals, %d failures", refused, failed)
			}
		})
	}
}

// With a retry budget, attempts after failed ones are bounded to a share of first attempts.
func TestRetryBudget(t *testing.T) {
	for _, share := range []float64{0, 0.1} {
		rig := newRig(t, baseSettings())
		rig.advance(ms, RetryBudget{Share: share})
		sent, refused := 0, 0
		for i := range 100 {
			id := RequestID(strconv.Itoa(i))
			rig.advance(50*ms, Request{ID: id, Class: loose, Timeout: time.Second})
			for n := 0; ; n++ {
				var host HostID
				for _, a := range rig.actions {
					if s, ok := a.(Send); ok && s.Request == id {
						host = s.Host
					}
				}
				if host == "" {
					break
				}
				sent++
				rig.advance(ms, Result{Request: id, Attempt: n, Host: host, Outcome: ConnectFailed})
			}
			r, f := rig.finalAnswers(id)
			if r == 0 { // it waits for a member
				r, f = rig.advance(1200 * ms).finalAnswers(id)
			}
			refused += r
			require.Zero(t, f)
		}
		require.Equal(t, 100, refused, "each has its answer")
		if share > 0 {
			assert.LessOrEqual(t, sent, 100+10+3)
			assert.Greater(t, sent, 105)
		} else {
			assert.Greater(t, sent, 150)
		}
	}
}

// A request rejected by a primary at capacity is not retried at once, which would only add load.
func TestPrimaryAtCapacityIsNotRetried(t *testing.T) {
	rig := newRig(t, baseSettings()).request("w", atMostOnce).advance(ms, Result{Request: "w", Host: "p", Outcome: AtCapacity, Role: Primary})
	rig.wantSend()
	rig.wantFinal("w", 1, 0)
}

// Clients refused at the same time do not retry at the same time.
func TestRetryAfterIsSpread(t *testing.T) {
	set := baseSettings()
	set.MaxRetryAfter = 200 * ms // the maximum must not make them equal
	rig := newRig(t, set).failWrites(breakerThreshold, Error)
	waits := map[time.Duration]bool{}
	for i := range 20 {
		rig.request(RequestID(rune(i+256)), atMostOnce)
		for _, a := range rig.actions {
			if a, ok := a.(Refuse); ok {
				waits[a.RetryAfter] = true
				if a.RetryAfter <= 0 || a.RetryAfter > rig.router.settings.MaxRetryAfter {
					t.Errorf("retry-after %v", a.RetryAfter)
				}
			}
		}
	}
	if len(waits) < 15 {
		t.Errorf("%d different waits for 20 refusals", len(waits))
	}
}
