package policy

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

// baseSettings returns the settings of most tests: a small fleet and one class of each kind.
func baseSettings() Settings {
	return Settings{
		Routers: 2, Tick: 5 * ms, ListRole: ListRoleInitial, PositionGranularity: ms,
		CanProbe: true, CanCancel: true,
		MaxAttempts: 8, MaxRetryAfter: time.Second,
		DrainGrace: time.Second, MaxListAge: 10 * time.Second,
		StartCapacity: 0.2, SlowStartTime: 10 * time.Second, OverloadFactor: 3, OverloadWindow: time.Second,
		Classes: []Class{
			loose:        {Level: Loose, Aim: 500 * ms, Deadline: 2 * time.Second},
			recent:       {Level: Recent, Bound: 500 * ms, Aim: 500 * ms, Deadline: 2 * time.Second},
			own:          {Level: OwnWrites, Aim: 500 * ms, Deadline: 2 * time.Second},
			latest:       {Level: Latest, Aim: 500 * ms, Deadline: 2 * time.Second},
			deduplicated: {Level: Write, Aim: 500 * ms, Deadline: 2 * time.Second, LateWorth: 0.5, RetrySafety: DedupGroup, DedupWindow: time.Second},
			atMostOnce:   {Level: Write, Aim: 500 * ms, Deadline: 2 * time.Second, LateWorth: 0.5, RetrySafety: AtMostOnce},
		},
	}
}

const (
	loose = iota
	recent
	own
	latest
	deduplicated
	atMostOnce
)

// rig drives one router and keeps the actions of its last step.
type rig struct {
	t       *testing.T
	router  *Router
	now     time.Duration
	actions []Action
}

func newRig(t *testing.T, settings Settings, members ...Member) *rig {
	t.Helper()
	router, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	rig := &rig{t: t, router: router, now: 100 * time.Second}
	if members == nil {
		members = []Member{{Host: "p", Primary: true}, {Host: "a"}, {Host: "b"}}
	}
	rig.advance(0, ListUpdate{Kind: ListCached, Entries: members})
	return rig
}

// advance moves the clock forward and passes events to the router.
func (g *rig) advance(after time.Duration, events ...Event) *rig {
	g.now += after
	g.actions = append([]Action(nil), g.router.Step(g.now, events)...)
	return g
}

func (g *rig) request(id RequestID, class int) *rig {
	return g.advance(0, Request{ID: id, Class: class, Timeout: g.router.settings.Classes[class].Deadline})
}

// probeReport moves the clock forward and passes a probe result, with a position that lags by lag.
func (g *rig) probeReport(after time.Duration, h HostID, role Role, lag time.Duration) *rig {
	at := g.now + after - lag
	return g.advance(after, ProbeResult{Host: h, Report: Report{HasPosition: true, Position: at, Role: role}})
}

func (g *rig) sends() (hosts []HostID) {
	for _, a := range g.actions {
		if s, ok := a.(Send); ok {
			hosts = append(hosts, s.Host)
		}
	}
	return hosts
}

func (g *rig) wantSend(hosts ...HostID) {
	g.t.Helper()
	if got := g.sends(); !slices.Equal(got, hosts) {
		g.t.Errorf("sends to %v, want %v", got, hosts)
	}
}

// finalAnswers counts the refusals and failures of a request in the last step.
func (g *rig) finalAnswers(id RequestID) (refused, failed int) {
	for _, a := range g.actions {
		switch a := a.(type) {
		case Refuse:
			if a.Request == id {
				refused++
			}
		case Fail:
			if a.Request == id {
				failed++
			}
		}
	}
	return refused, failed
}

func (g *rig) wantFinal(id RequestID, refused, failed int) {
	g.t.Helper()
	if r, f := g.finalAnswers(id); r != refused || f != failed {
		g.t.Errorf("%s: %d refusals and %d failures, want %d and %d", id, r, f, refused, failed)
	}
}

// failWrites sends n writes to the primary, each of which ends with the outcome.
func (g *rig) failWrites(n int, outcome Outcome) *rig {
	g.t.Helper()
	for i := range n {
		id := RequestID(rune('A' + i))
		g.request(id, atMostOnce)
		g.wantSend("p")
		g.advance(10*ms, Result{Request: id, Host: "p", Outcome: outcome, Latency: time.Second})
	}
	return g
}

func TestBreakerOpensRefusesAndCloses(t *testing.T) {
	rig := newRig(t, baseSettings())
	rig.failWrites(breakerThreshold, Error)
	rig.request("w", atMostOnce)
	rig.wantSend()
	rig.wantFinal("w", 1, 0)
	rig.request("f", latest)
	rig.wantFinal("f", 1, 0)
	rig.probeReport(10*ms, "a", Replica, 10*ms).request("r", recent)
	rig.wantSend("a")
	rig.probeReport(10*ms, "p", Primary, 100*ms).request("w2", atMostOnce)
	rig.wantFinal("w2", 1, 0) // the report is older than the opening of the breaker
	rig.probeReport(100*ms, "b", Primary, 5*ms).request("w3", atMostOnce)
	rig.wantSend("b")
}

// Probes that report no role cannot close a breaker. After a short network failure of the primary, its writes were
// refused until the end of the run. So once a probe has passed, a read is sent to the primary as a half-open trial, and
// leaves time for a replica.
func TestReadClosesBreakerWhenProbesReportNoRole(t *testing.T) {
	rig := newRig(t, baseSettings())
	rig.failWrites(breakerThreshold, Reset)
	rig.probeReport(300*ms, "a", Replica, 10*ms).request("r", recent)
	rig.wantSend("a") // no probe has passed
	rig.advance(10*ms, ProbeResult{Host: "p"}).request("s", recent)
	rig.wantSend("p")
	rig.request("t", recent)
	rig.wantSend("a") // one at a time
	rig.advance(130*ms, Result{Request: "s", Host: "p", Outcome: Timeout, Latency: 130 * ms})
	rig.wantSend("a")
	rig.advance(200*ms).request("u", recent)
	rig.wantSend("p")
	rig.advance(20*ms, Result{Request: "u", Host: "p", Outcome: OK, Finished: true, Role: Primary}).request("w", atMostOnce)
	rig.wantSend("p")

	// Without reads, a write is the trial, after a longer pause.
	rig = newRig(t, baseSettings())
	rig.failWrites(breakerThreshold, Reset).advance(10*ms, ProbeResult{Host: "p"})
	rig.request("v", atMostOnce)
	rig.wantFinal("v", 1, 0)
	rig.advance(10*suspectProbeInterval).request("w", atMostOnce)
	rig.wantSend("p")
	rig.request("x", atMostOnce)
	rig.wantFinal("x", 1, 0)
}

// A database's answer to an attempt that had already ended still updates its role: reads after one that says the
// database is no longer primary are not sent there. Only one read may go there before such an answer.
func TestLateAnswerUpdatesRole(t *testing.T) {
	rig := newRig(t, baseSettings())
	rig.failWrites(breakerThreshold, ConnectFailed)
	rig.advance(300*ms, ProbeResult{Host: "p"}).request("r", recent)
	rig.wantSend("p")
	rig.advance(125*ms, Result{Request: "r", Host: "p", Outcome: Timeout, Latency: 125 * ms})
	rig.advance(10*ms, Result{Host: "p", Attempt: -1, Outcome: NotSent, Finished: true, Role: Replica})
	rig.advance(5*suspectProbeInterval, ProbeResult{Host: "p"}).request("s", recent)
	rig.wantSend()
	rig.advance(10*suspectProbeInterval, ProbeResult{Host: "p"}).request("t", latest)
	rig.wantSend()
}

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

func TestSuccessResetsFailureCount(t *testing.T) {
	rig := newRig(t, baseSettings())
	rig.failWrites(breakerThreshold-1, Error)
	rig.request("ok", atMostOnce).advance(10*ms, Result{Request: "ok", Host: "p", Outcome: OK, Finished: true, Role: Primary})
	rig.failWrites(breakerThreshold-1, Reset)
	rig.request("w", atMostOnce)
	rig.wantSend("p")
}

// A primary whose answers are lost still passes probes. The breaker closes and opens again, and stays open longer each
// time.
func TestBreakerStaysOpenWhenPrimaryLosesAnswers(t *testing.T) {
	rig := newRig(t, baseSettings())
	var lost []int
	id := 256
	for range 6 {
		sends := 0
		for range 40 {
			id++
			requestID := RequestID(rune(id))
			rig.request(requestID, atMostOnce)
			sent := len(rig.sends())
			sends += sent
			if rig.advance(700 * ms); sent > 0 {
				rig.advance(1300*ms, Result{Request: requestID, Host: "p", Outcome: Timeout, Finished: true, Latency: 2 * time.Second})
			}
			rig.probeReport(ms, "p", Primary, 0)
		}
		lost = append(lost, sends)
	}
	if lost[0] < breakerThreshold || lost[5] > 20 {
		t.Errorf("writes lost of 40 in each round: %v", lost)
	}
}

func TestLateReportDoesNotOverrideNewerAnswer(t *testing.T) {
	rig := newRig(t, baseSettings())
	rig.request("w", atMostOnce).advance(10*ms, Result{Request: "w", Host: "p", Outcome: OK, Finished: true, Role: Primary})
	rig.probeReport(10*ms, "a", Primary, time.Second).request("w2", atMostOnce)
	rig.wantSend("p")

	// Nor does it bring back a primary that has since reported to be a replica.
	rig = newRig(t, baseSettings())
	rig.request("x", atMostOnce).advance(10*ms, Result{Request: "x", Host: "p", Outcome: Miss, Role: Replica})
	rig.probeReport(10*ms, "p", Primary, time.Second).request("y", atMostOnce)
	rig.wantSend()
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

func TestRejectedWriteIsRetriedOnceAtNewPrimary(t *testing.T) {
	rig := newRig(t, baseSettings())
	rig.request("w", atMostOnce)
	rig.probeReport(10*ms, "a", Primary, 0)
	rig.advance(ms, Result{Request: "w", Host: "p", Outcome: Miss, Role: Replica})
	rig.wantSend("a")
	rig.advance(ms, Result{Request: "w", Attempt: 1, Host: "a", Outcome: Miss, Role: Replica})
	rig.wantSend()
	rig.wantFinal("w", 1, 0)
}

// Draining hosts get no requests. A draining primary gets writes for half of the grace.
func TestDrainingHosts(t *testing.T) {
	rig := newRig(t, baseSettings())
	rig.advance(0, ListUpdate{Kind: ListDelta, Entries: []Member{
		{Host: "p", Status: Draining}, {Host: "a", Status: Draining}, {Host: "b", Status: Gone}}})
	rig.request("r", loose)
	rig.wantSend()
	rig.request("w", atMostOnce)
	rig.wantSend("p")
	rig.advance(900*ms).request("w2", atMostOnce)
	rig.wantSend()
}

// A database that is draining when it is first listed may have been so for long, so it gets no writes either.
func TestDrainingHostAtStartup(t *testing.T) {
	rig := newRig(t, baseSettings())
	rig.advance(0, ListUpdate{Kind: ListCached, Entries: []Member{{Host: "x", Group: 9, Status: Draining, Primary: true}}})
	rig.advance(0, Request{ID: "w", Class: atMostOnce, Group: 9, Timeout: time.Second})
	rig.wantSend()
}

// An update received after a process pause may have arrived at its beginning, so nothing of the drain grace is left.
func TestDrainReceivedAfterProcessPause(t *testing.T) {
	for _, pause := range []time.Duration{0, 3 * time.Second} {
		rig := newRig(t, baseSettings())
		rig.advance(5*time.Second, ProcessPaused{Total: pause}, ListUpdate{Kind: ListDelta, Entries: []Member{{Host: "p", Status: Draining}}})
		if rig.request("w", atMostOnce); pause > 0 {
			rig.wantSend()
		} else {
			rig.wantSend("p")
		}
	}
}

func TestFullListRemovesUnlistedHosts(t *testing.T) {
	rig := newRig(t, baseSettings())
	rig.advance(0, ListUpdate{Kind: ListFull, Entries: []Member{{Host: "p"}, {Host: "a"}}})
	for _, id := range []RequestID{"1", "2", "3"} {
		rig.request(id, loose)
		rig.wantSend("a")
	}
}

// A cold host gets less than its equal share.
func TestColdHostGetsReducedShare(t *testing.T) {
	rig := newRig(t, baseSettings())
	rig.advance(0, ListUpdate{Kind: ListDelta, Entries: []Member{{Host: "b", StartedAt: rig.now}}})
	sends := map[HostID]int{}
	type sent struct {
		id RequestID
		h  HostID
	}
	var outstanding []sent
	for i := range 500 {
		id := RequestID(rune(i + 1000))
		rig.advance(10*ms).request(id, loose)
		for _, h := range rig.sends() {
			sends[h]++
			outstanding = append(outstanding, sent{id, h})
		}
		if len(outstanding) > 4 {
			rig.advance(0, Result{Request: outstanding[0].id, Host: outstanding[0].h, Outcome: OK, Finished: true, Latency: 60 * ms, Role: Replica})
			outstanding = outstanding[1:]
		}
	}
	if sends["b"] == 0 || sends["b"] > sends["a"]*4/10 {
		t.Errorf("sends %v: want some to b, well under its equal share", sends)
	}
}

// Reads with a staleness bound are sent only to members that are fresh enough at the time of sending.
func TestStalenessBound(t *testing.T) {
	tests := []struct {
		name  string
		lag   time.Duration
		wait  time.Duration
		class int
		want  HostID
	}{
		{"fresh", 100 * ms, 0, recent, "a"},
		{"aged since its report", 100 * ms, 450 * ms, recent, "p"},
		{"loose accepts any age", time.Hour, 0, loose, "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rig := newRig(t, baseSettings(), Member{Host: "p", Primary: true}, Member{Host: "a"})
			rig.probeReport(time.Second, "a", Replica, tt.lag).advance(tt.wait).request("r", tt.class)
			if len(rig.sends()) == 0 {
				rig.advance(100 * ms)
			}
			rig.wantSend(tt.want)
		})
	}
}

// A hung primary still rejects requests as primary while its log has stopped, so only successful answers update its
// position. Such an answer shows the position at the time of sending, not of receiving.
func TestOnlySuccessfulAnswersUpdatePrimaryPosition(t *testing.T) {
	for _, tt := range []struct {
		name    string
		outcome Outcome
		want    []HostID
	}{{"rejections", AtCapacity, nil}, {"errors", Error, nil}, {"a slow answer", OK, nil}, {"a quick answer", OK, []HostID{"p"}}} {
		t.Run(tt.name, func(t *testing.T) {
			rig := newRig(t, baseSettings(), Member{Host: "p", Primary: true}, Member{Host: "a"}).request("x", latest)
			after := 10 * ms
			if tt.name == "a slow answer" {
				after = 490 * ms
			}
			rig.advance(after, Result{Request: "x", Host: "p", Outcome: tt.outcome, Finished: true, Latency: after, Role: Primary})
			rig.router.admitShare[true] = 1 // admission is not under test
			rig.request("w", atMostOnce).advance(10*ms, Result{Request: "w", Host: "p", Outcome: Miss, Role: Replica})
			rig.router.admitShare[false], rig.router.admitShare[true] = 1, 1
			rig.advance(10*ms).request("r", recent)
			rig.wantSend(tt.want...)
		})
	}
}

func TestTrackedSessionReadsItsCommit(t *testing.T) {
	set := baseSettings()
	set.TracksSessions = true
	rig := newRig(t, set, Member{Host: "p", Primary: true}, Member{Host: "a"})
	rig.probeReport(time.Second, "a", Replica, 10*ms)
	rig.advance(0, Request{ID: "w", Class: atMostOnce, Session: 7, Timeout: time.Second})
	rig.advance(10*ms, Result{Request: "w", Host: "p", Outcome: OK, Finished: true, Role: Primary, Position: rig.now, HasPosition: true})
	rig.advance(ms, Request{ID: "x", Class: own, Session: 8, Timeout: time.Second})
	rig.wantSend("a")
	rig.advance(0, Request{ID: "r", Class: own, Session: 7, Timeout: time.Second})
	if h := rig.sends(); len(h) == 1 && h[0] == "a" {
		t.Error("read sent to a replica not known to hold the session's write")
	}
	rig.probeReport(20*ms, "a", Replica, 0)
	rig.wantSend("a")
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

// A change in discovery binds after 6 s, whether received or not. So after a failure a router calls again within less
// than half of that, however large the fleet. Only several timeouts in discovery's queue make it back off.
func TestListIsRequestedInTimeInAnyFleet(t *testing.T) {
	for _, routers := range []int{1, 8, 25, 300, 3000} {
		set := baseSettings()
		set.ListSource, set.Routers, set.MaxListAge = ListFromService, routers, 10*time.Second
		// retryDelay returns how long the router takes to call again after the last of some failures.
		retryDelay := func(seed int64, kinds ...ListKind) (delay time.Duration) {
			r, err := New(set, seed)
			require.NoError(t, err)
			now := time.Duration(0)
			requested := func(events ...Event) bool {
				return slices.ContainsFunc(r.Step(now, events), func(a Action) bool { _, ok := a.(Subscribe); return ok })
			}
			for !requested() { // the first call
				now += 20 * ms
			}
			for _, kind := range kinds {
				from := now
				for done := requested(ListUpdate{Kind: kind}); !done; done = requested() {
					now += 20 * ms
					require.Less(t, now-from, time.Minute)
				}
				delay = now - from
			}
			return delay
		}
		slow := 0
		for seed := range int64(40) {
			for _, kinds := range [][]ListKind{{ListFailed}, slices.Repeat([]ListKind{ListFailed}, 9), slices.Repeat([]ListKind{ListQueueTimeout}, 4)} {
				require.LessOrEqual(t, retryDelay(seed, kinds...), 2520*ms, "%d routers, seed %d, %d failures", routers, seed, len(kinds))
			}
			if retryDelay(seed, slices.Repeat([]ListKind{ListQueueTimeout}, 8)...) > 2520*ms {
				slow++
			}
		}
		if routers <= 25 {
			assert.Zero(t, slow, "%d routers do not back off", routers)
		} else {
			assert.Greater(t, slow, 20, "%d routers", routers)
		}
	}
}

func TestSubscribesAgainAfterFailure(t *testing.T) {
	set := baseSettings()
	set.ListSource = ListFromService
	rig := newRig(t, set)
	subscribed := func() (n int) {
		for _, a := range rig.actions {
			if _, ok := a.(Subscribe); ok {
				n++
			}
		}
		return n
	}
	if subscribed() != 1 {
		t.Fatal("no subscription at the start")
	}
	rig.advance(time.Second, ListUpdate{Kind: ListFailed})
	calls := 0
	for range 100 {
		rig.advance(20 * ms)
		calls += subscribed()
	}
	if calls != 1 {
		t.Errorf("%d subscriptions after a failure, want 1", calls)
	}
}

// Long loose reads all go to the same replica.
func TestLongReadsUseOneReplica(t *testing.T) {
	set := baseSettings()
	set.Classes[loose].Aim, set.Classes[loose].Deadline = 4*time.Second, 8*time.Second
	rig := newRig(t, set)
	for _, id := range []RequestID{"1", "2", "3"} {
		rig.request(id, loose)
		rig.wantSend("a")
	}
	rig.advance(2500 * ms)
	rig.wantSend()
}

func TestInvalidSettings(t *testing.T) {
	tests := []struct {
		name       string
		invalidate func(*Settings)
	}{
		{"no classes", func(s *Settings) { s.Classes = nil }},
		{"negative time", func(s *Settings) { s.DrainGrace = -1 }},
		{"no aim", func(s *Settings) { s.Classes[0].Aim = 0 }},
	}
	for _, tt := range tests {
		set := baseSettings()
		tt.invalidate(&set)
		if _, err := New(set, 1); err == nil || err.Error() == "" {
			t.Errorf("%s: no error", tt.name)
		}
	}
}

// Long reads are not sent to a host that has just started: all routers choose the same member for them, and one read from
// each at the same time would overload it.
func TestLongReadsAvoidColdHosts(t *testing.T) {
	set := baseSettings()
	set.Classes[loose].Aim, set.Classes[loose].Deadline = 4*time.Second, 8*time.Second
	rig := newRig(t, set)
	rig.advance(0, ListUpdate{Kind: ListDelta, Entries: []Member{{Host: "a", StartedAt: rig.now}}}).request("r", loose)
	rig.wantSend("b")
}

// A read sent late in its aim times out early, which is not counted as a failure of the primary.
func TestShortTimeoutsDoNotOpenBreaker(t *testing.T) {
	rig := newRig(t, baseSettings())
	for i := range breakerThreshold {
		id := RequestID(rune('A' + i))
		rig.request(id, latest).advance(50*ms, Result{Request: id, Host: "p", Outcome: Timeout, Latency: 50 * ms, Finished: true})
	}
	rig.request("w", atMostOnce)
	rig.wantSend("p")
}

// simulation passes random valid events to one router and checks the invariants on every action. The events are late,
// repeated and reordered results, list changes, restarts of hosts and failed calls.
type simulation struct {
	t              *testing.T
	random         *rand.Rand
	settings       Settings
	router         *Router
	now            time.Duration
	hosts          []HostID
	status         map[HostID]Status
	unhealthySince map[HostID]time.Duration
	started        map[HostID]time.Duration
	listed         map[HostID]bool
	positions      map[HostID]time.Duration
	isReplica      map[HostID]bool
	requests       map[RequestID]*trackedRequest
	ids            []RequestID
	trace          []Action
}

type trackedRequest struct {
	class            int
	group            GroupID
	requiredPosition time.Duration
	deadline         time.Duration
	finalAnswers     int
	finished         bool
	sentAt           []time.Duration
	hosts            []HostID
	outstanding      []bool
	mayHaveRun       bool
	firstSentAt      time.Duration
}

func groupOf(h HostID) GroupID { return GroupID(h[0] - '0') }

func (sim *simulation) members() []Member {
	var list []Member
	for i, h := range sim.hosts {
		list = append(list, Member{Host: h, Group: groupOf(h), Zone: i % 2, Status: sim.status[h],
			Primary: i%3 == 0, StartedAt: sim.started[h]})
		sim.listed[h] = true
	}
	return list
}

// randomEvent returns a random event, and false if the draw gave none.
func (sim *simulation) randomEvent(i int) (Event, bool) {
	h := sim.hosts[sim.random.IntN(len(sim.hosts))]
	switch kind := sim.random.IntN(20); {
	case kind < 8:
		id := RequestID(string(rune('a'+i%26)) + string(rune(i+256)))
		c := sim.random.IntN(len(sim.settings.Classes))
		request := Request{ID: id, Class: c, Group: groupOf(h), Session: SessionID(sim.random.IntN(4)),
			Timeout: sim.settings.Classes[c].Deadline * time.Duration(40+sim.random.IntN(61)) / 100}
		tracked := &trackedRequest{class: c, group: request.Group, deadline: sim.now + request.Timeout}
		if sim.settings.Classes[c].Level == OwnWrites && sim.random.IntN(2) == 0 {
			request.LastCommitAge = time.Duration(1+sim.random.IntN(500)) * ms
			tracked.requiredPosition = sim.now - request.LastCommitAge
		}
		sim.requests[id], sim.ids = tracked, append(sim.ids, id)
		return request, true
	case kind < 15 && len(sim.ids) > 0:
		id := sim.ids[sim.random.IntN(len(sim.ids))]
		tracked := sim.requests[id]
		if len(tracked.hosts) == 0 {
			return nil, false
		}
		n := sim.random.IntN(len(tracked.hosts))
		return sim.randomResult(id, tracked, n), true
	case kind < 18:
		sim.positions[h] = max(sim.positions[h], sim.now-time.Duration(sim.random.IntN(1500))*ms)
		e := ProbeResult{Host: h, Outcome: Outcome(sim.random.IntN(3) * 3 % 5)}
		if e.Outcome == OK {
			e.Report = Report{HasPosition: true, Position: sim.positions[h], Role: Replica}
			if sim.random.IntN(8) == 0 {
				sim.positions[h], sim.isReplica[h] = sim.now, false
				e.Report.Position, e.Report.Role = sim.now, Primary
			}
		}
		return e, true
	case kind == 18:
		return RequestAbandoned{Request: "nobody"}, true
	}
	switch sim.random.IntN(3) {
	case 0:
		return ListUpdate{Kind: ListFailed}, true
	case 1:
		sim.started[h] = sim.now
	default:
		sim.status[h] = Status(sim.random.IntN(3))
	}
	if sim.status[h] == Healthy {
		delete(sim.unhealthySince, h)
	} else if _, ok := sim.unhealthySince[h]; !ok {
		sim.unhealthySince[h] = sim.now
	}
	return ListUpdate{Kind: ListDelta, Entries: []Member{{Host: h, Group: groupOf(h), Status: sim.status[h], StartedAt: sim.started[h]}}}, true
}

// randomResult ends attempt n of a request, which may have ended before.
func (sim *simulation) randomResult(id RequestID, tracked *trackedRequest, n int) Event {
	e := Result{Request: id, Attempt: n, Host: tracked.hosts[n], Latency: sim.now - tracked.sentAt[n], Finished: tracked.finished}
	if !tracked.outstanding[n] {
		return e
	}
	tracked.outstanding[n] = false
	e.Outcome = Outcome(sim.random.IntN(int(Miss) + 1))
	switch e.Outcome {
	case OK:
		e.Finished, tracked.finished = true, true
		e.Role = Primary
	case Error, Timeout, Reset, Cancelled:
		tracked.mayHaveRun = true
	case Miss:
		e.Role = Replica
		sim.isReplica[e.Host] = true
	}
	if e.Outcome != OK && !slices.Contains(tracked.outstanding, true) && !tracked.mayHaveRun {
		tracked.firstSentAt = 0
	}
	if e.Role == Primary {
		sim.isReplica[e.Host], sim.positions[e.Host] = false, sim.now
	}
	return e
}

func (sim *simulation) check(action Action) {
	switch action := action.(type) {
	case Send:
		tracked, h := sim.requests[action.Request], action.Host
		class := sim.settings.Classes[tracked.class]
		if tracked.finished || tracked.finalAnswers > 0 {
			sim.t.Fatalf("%v: sent after the final answer", action)
		}
		if !sim.listed[h] || groupOf(h) != tracked.group {
			sim.t.Fatalf("%v: unlisted host or another group", action)
		}
		if since, ok := sim.unhealthySince[h]; ok && sim.now-since > sim.settings.DrainGrace {
			sim.t.Fatalf("%v: the host was draining or gone %v ago", action, sim.now-since)
		}
		mayHaveRun := tracked.mayHaveRun || slices.Contains(tracked.outstanding, true)
		if mayHaveRun && (class.RetrySafety == AtMostOnce || class.RetrySafety == DedupGroup && sim.now > tracked.firstSentAt+class.DedupWindow) {
			sim.t.Fatalf("%v: forbidden resend", action)
		}
		required := tracked.requiredPosition
		if class.Level == Recent {
			required = sim.now - class.Bound
		}
		if sim.settings.StaleReadMode == StaleReadServe && class.Level != Write && required > 0 && sim.positions[h] < required && sim.isReplica[h] {
			sim.t.Fatalf("%v: position %v, required %v", action, sim.positions[h], required)
		}
		if tracked.firstSentAt == 0 {
			tracked.firstSentAt = sim.now
		}
		tracked.hosts, tracked.outstanding, tracked.sentAt = append(tracked.hosts, h), append(tracked.outstanding, true), append(tracked.sentAt, sim.now)
	case Refuse:
		tracked := sim.requests[action.Request]
		class := sim.settings.Classes[tracked.class]
		if class.RetrySafety != Retryable && (tracked.mayHaveRun || slices.Contains(tracked.outstanding, true)) {
			sim.t.Fatalf("%v: refused though it may have run", action)
		}
		sim.recordFinal(action.Request)
	case Fail:
		sim.recordFinal(action.Request)
	}
}

func (sim *simulation) recordFinal(id RequestID) {
	tracked := sim.requests[id]
	tracked.finalAnswers++
	if tracked.finished || tracked.finalAnswers > 1 {
		sim.t.Fatalf("%s: a second final answer", id)
	}
}

// hostsOf returns the hosts of two groups of three, or of ten groups for hundreds of routers.
func hostsOf(settings Settings) (hosts []HostID) {
	groups := 2
	if settings.Routers > 100 {
		groups = 10
	}
	for g := range groups {
		for _, m := range "abc" {
			hosts = append(hosts, HostID([]rune{rune('0' + g), m}))
		}
	}
	return hosts
}

func simulate(t *testing.T, seed uint64, settings Settings) []Action {
	sim := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 2)), settings: settings, now: time.Minute,
		hosts:  hostsOf(settings),
		status: map[HostID]Status{}, unhealthySince: map[HostID]time.Duration{}, started: map[HostID]time.Duration{},
		listed: map[HostID]bool{}, positions: map[HostID]time.Duration{}, isReplica: map[HostID]bool{},
		requests: map[RequestID]*trackedRequest{}}
	router, err := New(settings, int64(seed))
	if err != nil {
		t.Fatal(err)
	}
	sim.router = router
	// A member that no list calls primary has no known position.
	for i, h := range sim.hosts {
		sim.isReplica[h] = i%3 != 0
	}
	step := func(events ...Event) {
		actions := append([]Action(nil), router.Step(sim.now, events)...)
		for _, a := range actions {
			sim.check(a)
		}
		sim.trace = append(sim.trace, actions...)
	}
	step(ListUpdate{Kind: ListCached, Entries: sim.members()})
	for i := range 4000 {
		sim.now += time.Duration(sim.random.IntN(3)) * 5 * ms
		if e, ok := sim.randomEvent(i); ok {
			// A role reported by an event of this step is binding from the next step.
			step(e)
		}
		step()
	}
	for range 1000 {
		sim.now += 5 * ms
		step()
	}
	for id, a := range sim.requests {
		if !a.finished && a.finalAnswers != 1 {
			t.Fatalf("%s: %d final answers", id, a.finalAnswers)
		}
	}
	return sim.trace
}

func TestRandomEventsKeepInvariants(t *testing.T) {
	for seed := range uint64(40) {
		set := baseSettings()
		set.ListSource = ListSource(seed % 2)
		set.StaleReadMode = StaleReadMode(seed % 3)
		if seed%5 == 0 {
			set.ListRole = ListRoleNone
		}
		if seed%4 == 1 {
			set.Routers, set.MaxRetryAfter = 400, 0
		}
		if first, again := simulate(t, seed, set), simulate(t, seed, set); !reflect.DeepEqual(first, again) {
			t.Fatalf("seed %d: the same events gave different actions", seed)
		}
	}
}

// sendWrites makes n concurrent write requests and returns how many were sent and refused.
func (g *rig) sendWrites(n int) (sent, refused int) {
	for i := range n {
		id := RequestID(rune('A' + i))
		g.request(id, atMostOnce)
		n, _ := g.finalAnswers(id)
		sent, refused = sent+len(g.sends()), refused+n
	}
	return sent, refused
}

// A paused process cannot read answers, so its pauses do not count towards the aim of an outstanding attempt.
func TestProcessPauseIsNotAHostFailure(t *testing.T) {
	rig := newRig(t, baseSettings())
	rig.request("w", atMostOnce).wantSend("p")
	rig.advance(100 * ms)
	rig.advance(600*ms, ProcessPaused{Total: 590 * ms})
	if p := rig.router.hosts["p"]; p.failures != 0 || p.strain > 0 {
		t.Errorf("%d failures, strain %.2f, after a process pause", p.failures, p.strain)
	}
	rig.advance(380 * ms)
	if h := rig.router.hosts["p"]; h.failures != 0 {
		t.Error("counted as a failure before the aim has passed")
	}
	rig.advance(20 * ms)
	if h := rig.router.hosts["p"]; h.failures != 1 {
		t.Errorf("%d failures, though the aim has passed", h.failures)
	}
	rig.advance(0, ProbeResult{Host: "p", Outcome: NotSent})
	if rig.router.probeLoss != 0 {
		t.Error("a probe that was not sent counts as lost")
	}
}

// A request for a strained primary without capacity is refused at once, not held.
func TestStrainedPrimaryShedsAtOnce(t *testing.T) {
	rig := newRig(t, baseSettings())
	rig.router.hosts["p"].strain = 2 * lowStrain
	if sent, refused := rig.sendWrites(20); sent == 0 || refused == 0 || sent+refused != 20 {
		t.Errorf("%d sent, %d refused of 20", sent, refused)
	}
}

// A burst, or requests read late after a process pause, exceed the limit of a primary that answers fast. They are held,
// but for no longer than an eighth of the aim.
func TestBurstIsHeldAtFastPrimary(t *testing.T) {
	rig := newRig(t, baseSettings())
	sent, refused := rig.sendWrites(20)
	if sent == 0 || sent == 20 || refused != 0 {
		t.Fatalf("%d sent, %d refused of 20", sent, refused)
	}
	rig.advance(2*ms, Result{Request: "A", Host: "p", Outcome: OK, Finished: true, Latency: 2 * ms, Role: Primary})
	if len(rig.sends()) == 0 {
		t.Error("no held request is sent after the first answer")
	}
	left := 20 - sent - len(rig.sends())
	rig.advance(500*ms/8 - ms)
	for _, a := range rig.actions {
		if a, ok := a.(Refuse); ok && a.RetryAfter <= 0 {
			t.Error("a refusal without retry-after")
		} else if refused++; !ok {
			refused--
		}
	}
	if refused != left {
		t.Errorf("%d of %d refused", refused, left)
	}
}

// Answers that take a large share of the aim reduce a host's limit, even to less than one attempt at a time, since many
// routers together overload it.
func TestSlowAnswersShrinkTheLimit(t *testing.T) {
	rig := newRig(t, baseSettings())
	for i := range 400 {
		id := RequestID(rune(i + 256))
		rig.router.admitShare[true] = 1 // admission is not under test
		rig.advance(450*ms).request(id, atMostOnce)
		if len(rig.sends()) == 1 {
			rig.advance(450*ms, Result{Request: id, Host: "p", Outcome: OK, Finished: true, Latency: 450 * ms, Role: Primary})
		}
	}
	rig.router.admitShare[true] = 1
	rig.request("x", atMostOnce).advance(450*ms, Result{Request: "x", Host: "p", Outcome: OK, Finished: true, Latency: 450 * ms})
	if h := rig.router.hosts["p"]; h.limit >= 1 {
		t.Errorf("limit %v after slow answers", h.limit)
	}
}

// A request rejected by a primary at capacity is not retried at once, which would only add load.
func TestPrimaryAtCapacityIsNotRetried(t *testing.T) {
	rig := newRig(t, baseSettings()).request("w", atMostOnce).advance(ms, Result{Request: "w", Host: "p", Outcome: AtCapacity, Role: Primary})
	rig.wantSend()
	rig.wantFinal("w", 1, 0)
}

// If only Draining is binding, a host that left the list may still be used.
func TestGoneIsAdvisory(t *testing.T) {
	set := baseSettings()
	set.GoneIsAdvisory = true
	gone := func(h HostID) Event {
		return ListUpdate{Kind: ListDelta, Entries: []Member{{Host: h, Status: Gone}}}
	}
	rig := newRig(t, set, Member{Host: "p", Primary: true}, Member{Host: "a"})
	rig.advance(ms, gone("a")).advance(2*time.Second).request("r", loose)
	rig.wantSend("a")
	rig.advance(ms, ListUpdate{Kind: ListDelta, Entries: []Member{{Host: "a", Status: Draining}}}, gone("a"))
	rig.advance(2*time.Second).request("r2", loose)
	rig.wantSend("p")
}

// If the list names no primaries, a router holds writes until probes have found the primary.
func TestUnknownPrimaryIsProbedFirst(t *testing.T) {
	set := baseSettings()
	set.ListRole = ListRoleNone
	rig := newRig(t, set).request("w", atMostOnce)
	rig.wantSend()
	rig.wantFinal("w", 0, 0)
	rig.probeReport(5*ms, "b", Primary, 0)
	rig.wantSend("b")
}

// Without probes only requests report roles: an open breaker lets one through after a pause, and a write searches for
// the primary itself.
func TestWorksWithoutProbes(t *testing.T) {
	set := baseSettings()
	set.CanProbe = false
	rig := newRig(t, set).failWrites(breakerThreshold, Error).request("w", atMostOnce)
	rig.wantFinal("w", 1, 0)
	rig.advance(5*suspectProbeInterval).request("w2", atMostOnce)
	rig.wantSend("p")

	set.ListRole = ListRoleNone
	rig = newRig(t, set).request("w", atMostOnce)
	rig.wantSend("p")
	rig.advance(ms, Result{Request: "w", Host: "p", Outcome: Miss, Role: Replica}).request("w2", atMostOnce)
	rig.wantSend("a")
}

// If occasional successes reset the failure count while most writes time out, the breaker stays closed, but the
// primary's limit shrinks.
func TestScatteredSuccessesShrinkTheLimit(t *testing.T) {
	rig := newRig(t, baseSettings())
	before := rig.router.hosts["p"].limit
	sent := 0
	for i := range 120 {
		id := RequestID(rune(i + 256))
		if len(rig.request(id, atMostOnce).sends()) == 0 {
			rig.advance(500 * ms)
			continue
		}
		if sent++; sent%3 == 0 {
			rig.advance(100*ms, Result{Request: id, Host: "p", Outcome: OK, Finished: true, Latency: 100 * ms, Role: Primary})
			continue
		}
		rig.advance(600*ms).advance(1400*ms, Result{Request: id, Host: "p", Outcome: Timeout, Finished: true, Latency: 2 * time.Second})
	}
	if h := rig.router.hosts["p"]; h.group.breakerOpen || h.limit >= before/2 {
		t.Errorf("open %v, limit %v, was %v", h.group.breakerOpen, h.limit, before)
	}
}

// Some requests fail on every host. Each gets two attempts and counts as one failure, so it neither opens the breaker
// nor excludes members.
func TestFailingRequestIsNotAHostFailure(t *testing.T) {
	rig := newRig(t, baseSettings())
	for i := range breakerThreshold - 1 {
		id, n := RequestID(rune('A'+i)), 0
		for rig.request(id, deduplicated); len(rig.sends()) > 0; n++ {
			rig.advance(5*ms, Result{Request: id, Attempt: n, Host: "p", Outcome: Error, Latency: 5 * ms, Role: Primary})
		}
		if n != 2 {
			t.Fatalf("%d attempts", n)
		}
		rig.wantFinal(id, 0, 1)
	}
	rig.advance(0, ProbeResult{Host: "p"}).request("w", atMostOnce)
	rig.wantSend("p")

	rig = newRig(t, baseSettings()).request("r", loose)
	first := rig.sends()[0]
	rig.advance(5*ms, Result{Request: "r", Host: first, Outcome: Error, Latency: 5 * ms})
	second := rig.sends()[0]
	rig.advance(5*ms, Result{Request: "r", Attempt: 1, Host: second, Outcome: Error, Latency: 5 * ms})
	rig.wantFinal("r", 1, 0)
	if f, s := rig.router.hosts[first].failures, rig.router.hosts[second].failures; first == second || f != 1 || s != 0 {
		t.Errorf("%d failures counted at %s, %d at %s", f, first, s, second)
	}
}

// probesSent counts the probes of the last step, by host.
func (g *rig) probesSent() map[HostID]int {
	n := map[HostID]int{}
	for _, a := range g.actions {
		if p, ok := a.(Probe); ok {
			n[p.Host]++
		}
	}
	return n
}

// Hundreds of idle routers that probe at fixed intervals would load every host. The probe rate follows the router's own
// requests, but every member is probed in time.
func TestProbeRateFollowsRequests(t *testing.T) {
	var list []Member
	for i := range 30 {
		list = append(list, Member{Host: HostID(rune('A' + i)), Group: GroupID(i / 3), Primary: i%3 == 0})
	}
	rig := newRig(t, baseSettings(), list...)
	seen, probes := map[HostID]int{}, 0
	for range 600 {
		rig.advance(100 * ms)
		probes += len(rig.probesSent())
	}
	if probes > 0 {
		t.Errorf("%d probes without a request", probes)
	}
	const requests = 1200
	for i := range requests {
		id := RequestID(rune(i + 256))
		rig.advance(10*ms, Request{ID: id, Class: loose, Timeout: time.Second})
		probed := rig.probesSent()
		for _, h := range rig.sends() {
			rig.advance(0, Result{Request: id, Host: h, Outcome: OK, Finished: true, Latency: 10 * ms})
		}
		for h := range probed {
			probes++
			seen[h]++
			rig.advance(0, ProbeResult{Host: h, Report: Report{Role: Replica}})
		}
	}
	if len(seen) != len(list) || float64(probes) > 1.1*requests*probeShare {
		t.Errorf("%d probes of %d members for %d requests", probes, len(seen), requests)
	}
}

// Hosts may serve requests while probes fail, so failed probes alone do not open a breaker.
func TestFailedProbesAloneDoNotOpenBreaker(t *testing.T) {
	rig := newRig(t, baseSettings())
	for range 3 * breakerThreshold {
		rig.advance(300*ms, ProbeResult{Host: "p", Outcome: Timeout})
	}
	rig.request("w", atMostOnce)
	rig.wantSend("p")
}

// A router with few requests gets few consecutive failures. So the first one starts fast probes, whose failures open the
// breaker before the next write.
func TestFirstFailureStartsProbes(t *testing.T) {
	rig := newRig(t, baseSettings()).failWrites(1, ConnectFailed)
	for range 100 {
		lost := rig.probesSent()["p"] > 0
		rig.advance(20 * ms)
		if lost {
			rig.advance(0, ProbeResult{Host: "p", Outcome: ConnectFailed})
		}
	}
	if !rig.router.groups[0].breakerOpen {
		t.Fatal("closed after 2 s")
	}
	rig.request("w", atMostOnce)
	rig.wantFinal("w", 1, 0)
}

// fleet is many routers with one group. Each host answers every attempt in the time of a warm host. Clients abandon
// unanswered requests early and send new ones at once.
type fleet struct {
	t                *testing.T
	random           *rand.Rand
	settings         Settings
	now              time.Duration
	routers          []*Router
	cumulativeWeight []float64 // cumulative share of traffic, by router
	lastID           int
	writeTime        time.Duration // the answer time of a write
	sent             map[HostID][]time.Duration
}

func newFleet(t *testing.T, settings Settings, n int, uneven bool) *fleet {
	fleet := &fleet{t: t, random: rand.New(rand.NewPCG(uint64(n), 3)), settings: settings, now: 100 * time.Second,
		sent: map[HostID][]time.Duration{}}
	sum := 0.0
	for i := range n {
		fleet.settings.Routers = n
		r, err := New(fleet.settings, int64(i))
		if err != nil {
			t.Fatal(err)
		}
		fleet.routers = append(fleet.routers, r)
		if sum++; uneven {
			sum += float64(n)/float64(i+1) - 1
		}
		fleet.cumulativeWeight = append(fleet.cumulativeWeight, sum)
	}
	return fleet
}

func (f *fleet) deliverList(list ...Member) {
	for _, r := range f.routers {
		r.Step(f.now, []Event{ListUpdate{Kind: ListFull, Entries: list}})
	}
}

// request passes one request to a random router, by weight, and ends it within this call: it is answered if ok, and
// else abandoned by the client.
func (f *fleet) request(class int, ok bool) {
	i, _ := slices.BinarySearch(f.cumulativeWeight, f.random.Float64()*f.cumulativeWeight[len(f.cumulativeWeight)-1])
	f.lastID++
	r, id := f.routers[i], RequestID(rune(f.lastID+256))
	waiting, now := true, f.now
	apply := func(actions []Action) {
		for _, a := range append([]Action(nil), actions...) {
			switch a := a.(type) {
			case Send:
				f.sent[a.Host] = append(f.sent[a.Host], now)
				waiting = false
				e := Result{Request: id, Host: a.Host, Outcome: OK, Finished: true, Latency: 60 * ms}
				if class == atMostOnce {
					e.Latency = f.writeTime
				}
				if !ok {
					r.Step(now, []Event{RequestAbandoned{Request: id}})
					e.Outcome, e.Latency = Cancelled, 20*ms
				}
				r.Step(now, []Event{e})
			case Refuse, Fail:
				waiting = false
			}
		}
	}
	apply(r.Step(now, []Event{Request{ID: id, Class: class, Timeout: time.Second}}))
	for range 20 { // a report of another member has held requests routed again
		if waiting {
			apply(r.Step(now, []Event{ProbeResult{Host: "b"}}))
		}
	}
	r.Step(now, []Event{RequestAbandoned{Request: id}})
}

// In no OverloadWindow is a cold host sent more than OverloadFactor times what it can do, judged by the answers of a
// warm one. The load is twenty times a host's capacity with no other usable member, from any number of routers with
// equal or unequal traffic, with clients that abandon and repeat requests, and with held requests.
func TestColdHostIsNotOverloaded(t *testing.T) {
	for _, tt := range []struct {
		name    string
		routers int
		uneven  bool
		class   int
		cold    HostID
		write   time.Duration
	}{
		{"reads, one router", 1, false, loose, "a", 60 * ms},
		{"reads, few", 5, false, loose, "a", 60 * ms},
		{"reads, many", 80, false, loose, "a", 60 * ms},
		{"reads, hundreds", 400, false, loose, "a", 60 * ms},
		{"reads, hundreds, unequal", 400, true, loose, "a", 60 * ms},
		{"reads on the primary", 80, false, recent, "p", 60 * ms},
		{"writes, few", 5, true, atMostOnce, "p", 60 * ms},
		{"writes, many", 80, true, atMostOnce, "p", 60 * ms},
		{"writes, hundreds", 400, false, atMostOnce, "p", 60 * ms},
		{"reads, few, writes slow", 5, false, loose, "a", 450 * ms},
	} {
		t.Run(tt.name, func(t *testing.T) {
			set := baseSettings()
			set.StartCapacity, set.OverloadFactor = 0.16, 4
			f := newFleet(t, set, tt.routers, tt.uneven)
			f.writeTime = tt.write
			list := []Member{{Host: "p", Primary: true}, {Host: "a"}, {Host: "b"}}
			f.deliverList(list...)
			const capacity = 100 // requests per second of a warm host; all three are fully loaded
			for i := range 20 * 3 * capacity {
				f.now += time.Second / 3 / capacity
				f.request([]int{loose, loose, atMostOnce}[i%3], true)
			}
			start := f.now
			for i := range list {
				if list[i].Status = Draining; list[i].Host == tt.cold {
					list[i].Status, list[i].StartedAt = Healthy, start
				}
			}
			f.deliverList(list...)
			if tt.cold == "p" { // it returns as primary
				f.now += ms
				for _, r := range f.routers {
					r.Step(f.now, []Event{ProbeResult{Host: "p", Report: Report{HasPosition: true, Position: f.now, Role: Primary}}})
				}
			}
			f.sent = map[HostID][]time.Duration{}
			for range 8 * 20 * capacity {
				f.now += time.Second / 20 / capacity
				f.request(tt.class, false)
			}
			sent, worst := f.sent[tt.cold], 0.0
			for i, at := range sent {
				n := 0
				for n < len(sent)-i && sent[i+n] < at+set.OverloadWindow {
					n++
				}
				warmShare := 0.16 + 0.84*(at-start).Seconds()/set.SlowStartTime.Seconds()
				worst = max(worst, float64(n)/(warmShare*set.OverloadFactor*capacity*set.OverloadWindow.Seconds()))
			}
			if len(sent) < 50 || worst > 0.7 {
				t.Errorf("%d sent, at worst %.2f of the limit", len(sent), worst)
			}
		})
	}
}

// A new router without any answers sends nothing to cold hosts, even if the primary is unknown and no probe is allowed.
func TestNewRouterAvoidsColdHosts(t *testing.T) {
	for _, class := range []int{loose, recent, latest, deduplicated} {
		set := baseSettings()
		set.CanProbe, set.ListRole = false, ListRoleNone
		rig := newRig(t, set, Member{Host: "a", StartedAt: 99 * time.Second}, Member{Host: "b", StartedAt: 99 * time.Second})
		rig.advance(500*ms).request("q", class)
		rig.wantSend()
	}
}

// During a primary search hundreds of routers probe cold members as well. Probes are work, so each router probes a cold
// member once per OverloadWindow.
func TestPrimarySearchAvoidsColdHosts(t *testing.T) {
	rig := newRig(t, baseSettings())
	rig.advance(ms, ListUpdate{Kind: ListDelta, Entries: []Member{{Host: "a", StartedAt: rig.now}}})
	rig.failWrites(breakerThreshold, Error)
	probes := map[HostID]int{}
	for range 30 {
		for h := range rig.probesSent() {
			probes[h]++
			rig.advance(0, ProbeResult{Host: h, Report: Report{Role: Replica}})
		}
		rig.advance(100 * ms)
	}
	if probes["a"] == 0 || probes["a"] > 4 || probes["b"] < 7 {
		t.Errorf("probes in 3 s: %v", probes)
	}
}

// Hundreds of routers with few requests each cannot learn the limit of a single overloaded host. Rejections and late
// answers of all hosts reduce the admitted share, the rest is refused at once, and answers in time raise it again.
func TestIdleRouterLearnsAdmissionFromAllAnswers(t *testing.T) {
	var list []Member
	for i := range 30 {
		list = append(list, Member{Host: HostID(rune('A' + i)), Group: GroupID(i / 3), Primary: i%3 == 0})
	}
	rig := newRig(t, baseSettings(), list...)
	id := 256
	run := func(outcome Outcome, latency time.Duration) (sent, refused int) {
		for range 60 {
			id++
			requestID := RequestID(rune(id))
			rig.advance(200*ms, Request{ID: requestID, Class: loose, Group: GroupID(id % 10), Timeout: 2 * time.Second})
			n, _ := rig.finalAnswers(requestID)
			refused += n
			for _, h := range rig.sends() {
				sent++
				rig.advance(latency, Result{Request: requestID, Host: h, Outcome: outcome, Finished: outcome == OK, Latency: latency})
			}
		}
		return sent, refused
	}
	if _, refused := run(OK, 50*ms); refused > 0 {
		t.Errorf("%d refused while all answers are in time", refused)
	}
	run(AtCapacity, ms)
	if share := rig.router.admitShare[false]; share > 0.2 {
		t.Errorf("share %v after rejections", share)
	}
	run(OK, 50*ms)
	run(OK, 50*ms)
	if share := rig.router.admitShare[false]; share < 0.9 {
		t.Errorf("share %v after answers in time again", share)
	}
}

// Idle connections of hundreds of routers fill the hosts' connection tables until others get none. So a router closes
// them where its results are rare, and only there.
func TestIdleRouterClosesConnections(t *testing.T) {
	for _, tt := range []struct {
		interval time.Duration
		want     bool
	}{{5 * time.Second, true}, {20 * ms, false}} {
		rig := newRig(t, baseSettings(), Member{Host: "p", Primary: true}, Member{Host: "a"})
		closed := false
		for i := range 100 {
			id := RequestID(rune(i + 256))
			rig.advance(tt.interval)
			closed = closed || slices.Contains(rig.actions, Action(CloseIdleConnections{Host: "a"}))
			rig.request(id, loose).wantSend("a")
			rig.advance(10*ms, Result{Request: id, Host: "a", Outcome: OK, Finished: true, Latency: 10 * ms})
			if slices.Contains(rig.actions, Action(CloseIdleConnections{Host: "a"})) {
				t.Fatal("closed at once: the next request has to open a new connection")
			}
		}
		if closed != tt.want {
			t.Errorf("a request every %v: closed %v, want %v", tt.interval, closed, tt.want)
		}
	}
}

// Under overload, the class that is worth least for its time is shed first.
func TestLeastWorthIsShedFirst(t *testing.T) {
	set := baseSettings()
	set.Classes[loose].Worth, set.Classes[recent].Worth = 6, 1
	rig := newRig(t, set)
	rig.router.admitShare[false], rig.router.admitShare[true] = 0.5, 0.5
	sent := map[int]int{}
	for i := range 400 {
		id, class := RequestID(rune(i+256)), i%2 // loose or recent
		rig.router.admitShare[false], rig.router.admitShare[true] = 0.5, 0.5
		rig.probeReport(5*time.Second, "a", Replica, 0).request(id, class)
		for _, h := range rig.sends() {
			sent[class]++
			rig.advance(0, Result{Request: id, Host: h, Outcome: OK, Finished: true, Latency: ms})
		}
	}
	if sent[recent] == 0 || sent[loose] < 2*sent[recent] {
		t.Errorf("sent by class: %v", sent)
	}
}

// Classes that are worth more for their time get a larger part of a host's limit. Writes count only at primaries.
func TestLimitIsSharedByWorth(t *testing.T) {
	set := baseSettings()
	set.Classes[loose].Worth, set.Classes[own].Worth = 1, 4
	set.Classes[latest].Worth, set.Classes[deduplicated].Worth = 4, 16
	sendsOf := func(class int) (n int) {
		rig := newRig(t, set, Member{Host: "p", Primary: true}, Member{Host: "a"})
		for _, h := range rig.router.hostOrder {
			h.limit, h.resultInterval = 8, time.Millisecond
		}
		rig.router.admitShare[true] = 0.99 // so no read spills to the primary
		for i := range 20 {
			n += len(rig.request(RequestID(rune(i+256)), class).sends())
		}
		return n
	}
	for class, want := range map[int]int{own: 8, loose: 4, deduplicated: 8, latest: 4} {
		if n := sendsOf(class); n != want {
			t.Errorf("class %d: %d of a limit of 8, want %d", class, n, want)
		}
	}
}

// Long reads and lag can overload the replicas while primaries have capacity. Reads that the replicas do not admit go to
// the primary, but only while primaries admit all requests.
func TestOverloadedReplicasSpillToPrimary(t *testing.T) {
	for _, tt := range []struct {
		primaryShare float64
		want         HostID
	}{{1, "p"}, {0.99, ""}} {
		rig := newRig(t, baseSettings())
		sends := map[HostID]int{}
		refused := 0
		for i := range 40 {
			id := RequestID(rune(i + 256))
			rig.router.admitShare[false], rig.router.admitShare[true] = minAdmitShare, tt.primaryShare
			rig.advance(5*time.Second).request(id, loose)
			n, _ := rig.finalAnswers(id)
			refused += n
			for _, h := range rig.sends() {
				sends[h]++
				rig.advance(ms, Result{Request: id, Host: h, Outcome: OK, Finished: true, Latency: ms})
			}
		}
		if spilled := sends["p"] > 30; spilled != (tt.want == "p") || !spilled && (sends["p"] > 0 || refused < 30) {
			t.Errorf("primaries admit %v: sent %v, refused %d", tt.primaryShare, sends, refused)
		}
	}
}

// Hosts may serve requests while their probes fail. After one failed request, failed probes do not open the breaker if
// those of healthy hosts fail as well. An open breaker lets a request through, as no probe can close it.
func TestLostProbesDoNotOpenOrHoldBreaker(t *testing.T) {
	rig := newRig(t, baseSettings())
	for range 20 {
		rig.advance(300*ms, ProbeResult{Host: "a", Outcome: Timeout}, ProbeResult{Host: "p", Outcome: Timeout})
	}
	rig.failWrites(1, Error)
	for range 3 * breakerThreshold {
		rig.advance(250*ms, ProbeResult{Host: "p", Outcome: Timeout})
	}
	rig.request("w", atMostOnce)
	rig.wantSend("p")
	rig.failWrites(breakerThreshold-1, Error).request("w2", atMostOnce)
	rig.wantSend()
	rig.advance(5*suspectProbeInterval).request("w3", atMostOnce)
	rig.wantSend("p")
}

// Long reads do not spill to a primary, where they would delay writes.
func TestLongReadsDoNotSpill(t *testing.T) {
	set := baseSettings()
	set.Classes[loose].Aim, set.Classes[loose].Deadline = 4*time.Second, 8*time.Second
	rig := newRig(t, set)
	refused := 0
	for i := range 40 {
		id := RequestID(rune(i + 256))
		rig.router.admitShare[false] = minAdmitShare
		rig.advance(5*time.Second).request(id, loose)
		n, _ := rig.finalAnswers(id)
		refused += n
		for _, h := range rig.sends() {
			if h == "p" {
				t.Fatal("a long read sent to the primary")
			}
			rig.advance(ms, Result{Request: id, Host: h, Outcome: OK, Finished: true, Latency: time.Second})
		}
	}
	if refused < 20 {
		t.Errorf("%d refused of 40", refused)
	}
}

// A step touches only the hosts and groups that its events concern. The test removes all others, so that any access
// would panic.
func TestStepTouchesOnlyConcernedGroups(t *testing.T) {
	var list []Member
	for i := range 300 {
		list = append(list, Member{Host: HostID(rune(i + 256)), Group: GroupID(i / 3), Primary: i%3 == 0})
	}
	rig := newRig(t, baseSettings(), list...)
	for id := range rig.router.groups {
		if id != 0 {
			rig.router.groups[id] = nil
		}
	}
	for i, h := range rig.router.hostOrder {
		if h.group != rig.router.groups[0] {
			rig.router.hostOrder[i], rig.router.hosts[h.id] = nil, nil
		}
	}
	answered := 0
	for i := range 15 { // the probe after the 20th request would be of any member
		id := RequestID(rune(i + 256))
		rig.advance(100*ms, Request{ID: id, Class: i % 6, Timeout: time.Second})
		for _, h := range rig.sends() {
			answered++
			rig.advance(10*ms, Result{Request: id, Host: h, Outcome: Outcome(i % 3), Latency: 10 * ms},
				ProbeResult{Host: h, Outcome: Timeout})
		}
	}
	if rig.advance(10 * time.Second); answered < 5 {
		t.Errorf("only %d of 15 requests sent", answered)
	}
}

// Invalid input changes nothing: unknown hosts, results of no request, classes out of range, an empty report.
func TestInvalidInputIsIgnored(t *testing.T) {
	rig := newRig(t, baseSettings())
	rig.advance(ms, ProbeResult{Host: "nobody"}, Result{Request: "none", Host: "nobody"}, Result{Request: "none", Host: "p"},
		RequestAbandoned{Request: "none"}, Request{ID: "c", Class: 99}, Request{ID: "d", Class: -1}, TimerFired{ID: 77},
		ProbeResult{Host: "p", Report: Report{}}, ListUpdate{Kind: ListDelta})
	rig.request("w", atMostOnce)
	rig.wantSend("p")
	rig.advance(ms, Result{Request: "w", Attempt: 5, Host: "p", Outcome: Error}, Result{Request: "w", Attempt: -1, Host: "p"})
	rig.wantFinal("w", 0, 0)
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

// Over a long run every host is replaced. A host that has left is not probed, is skipped when probing in turn, and is
// dropped when it has no outstanding attempts.
func TestHostsThatLeftAreDropped(t *testing.T) {
	rig := newRig(t, baseSettings())
	for i := range 50 {
		next := HostID(rune('A' + i))
		rig.advance(2*time.Second, ListUpdate{Kind: ListFull, Entries: []Member{{Host: "p", Primary: true}, {Host: next}}})
		seen := 0
		for n := range 200 {
			id := RequestID(rune(1000*i + n + 256))
			rig.advance(10*ms, Request{ID: id, Class: loose, Timeout: time.Second})
			probed := rig.probesSent()
			for _, h := range rig.sends() {
				rig.advance(0, Result{Request: id, Host: h, Outcome: OK, Finished: true, Latency: ms})
			}
			seen += probed[next]
			for h := range probed {
				rig.advance(0, ProbeResult{Host: h, Report: Report{Role: Replica}})
			}
		}
		if seen == 0 {
			t.Fatalf("%s was probed %d times, after %d hosts left", next, seen, i)
		}
	}
	rig.advance(stateExpiryInterval, TimerFired{}).advance(stateExpiryInterval, TimerFired{})
	if len(rig.router.hosts) > 3 || len(rig.router.hostOrder) > 3 || len(rig.router.groups[0].hosts) > 3 {
		t.Errorf("%d hosts are kept", len(rig.router.hosts))
	}
}

// A read waits for newer positions only if probes report them.
func TestReadDoesNotWaitForProbesWithoutRole(t *testing.T) {
	for _, noRole := range []bool{false, true} {
		rig := newRig(t, baseSettings())
		for _, h := range []HostID{"a", "b"} {
			rig.probeReport(0, h, Replica, 0)
			if noRole {
				rig.advance(0, ProbeResult{Host: h}) // only shows that it runs
			}
		}
		rig.advance(2*time.Second).request("q", recent)
		if sent := len(rig.sends()) > 0; sent != noRole {
			t.Errorf("probes report nothing: %t, sent at once: %t", noRole, sent)
		}
	}
}
