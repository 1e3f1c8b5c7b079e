package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"lilaccove/internal/invariant"
	"lilaccove/policy"
)

// guardedGateway is a gateway with a guard, whose decisions the test makes.
type guardedGateway struct {
	*Gateway
	t          testing.TB
	stub       *stubRouter
	env        *environment
	violations []invariant.Name
}

// recentClass is a class of reads with a staleness bound.
const recentClass = 1

func newGuarded(t testing.TB) *guardedGateway {
	loop, g, stub, env := newTestGateway(t)
	guarded := &guardedGateway{Gateway: g, t: t, stub: stub, env: env}
	set := policy.Settings{DrainGrace: 250 * time.Millisecond, Classes: []policy.Class{{RetrySafety: policy.AtMostOnce}, {Level: policy.Recent, Bound: time.Second}}}
	guarded.SetGuard(invariant.New(set, func(v invariant.Violation) { guarded.violations = append(guarded.violations, v.Name) }))
	_ = loop
	return guarded
}

// sendAndBegin sends a request to a host and begins the attempt with a timeout.
func (guarded *guardedGateway) sendAndBegin(req *Request, host policy.HostID, timeout time.Duration) *Attempt {
	guarded.stub.actions = []policy.Action{policy.Send{Request: req.id, Host: host}}
	guarded.events = append(guarded.events, policy.TimerFired{})
	guarded.Step()
	a := guarded.env.sent[len(guarded.env.sent)-1]
	guarded.BeginAttempt(a, guarded.loop.Clock()+timeout)
	return a
}

// The guard reports wrong decisions when an attempt begins: it checks the one code path that all attempts take.
func TestGuardReportsViolations(t *testing.T) {
	entries := func(s policy.Status) []Entry {
		return []Entry{{Member: policy.Member{Host: "a", Status: s}}}
	}
	for name, c := range map[string]struct {
		want invariant.Name
		do   func(guarded *guardedGateway, req *Request)
	}{
		"two attempts at once": {invariant.ConcurrentAttempt, func(guarded *guardedGateway, req *Request) {
			guarded.sendAndBegin(req, "a", 0)
			guarded.sendAndBegin(req, "b", 0)
		}},
		"retry after it may have run": {invariant.RetryForbidden, func(guarded *guardedGateway, req *Request) {
			guarded.Resolved(guarded.sendAndBegin(req, "a", 0), policy.Reset, Reply{})
			guarded.sendAndBegin(req, "b", 0)
		}},
		"to a draining host": {invariant.ToDraining, func(guarded *guardedGateway, req *Request) {
			guarded.ListUpdated(policy.ListDelta, entries(policy.Draining))
			time.Sleep(310 * time.Millisecond) // the grace period is in real time
			guarded.sendAndBegin(req, "a", 0)
		}},
		"to a host that left the list": {invariant.ToDraining, func(guarded *guardedGateway, req *Request) {
			guarded.ListUpdated(policy.ListFull, entries(policy.Healthy))
			guarded.ListUpdated(policy.ListFull, nil)
			time.Sleep(310 * time.Millisecond)
			guarded.sendAndBegin(req, "a", 0)
		}},
		"to a suspended host": {invariant.ToSuspended, func(guarded *guardedGateway, req *Request) {
			guarded.SetSuspended("a", true)
			time.Sleep(310 * time.Millisecond)
			guarded.sendAndBegin(req, "a", 0)
		}},
		"with too long a timeout": {invariant.DeadlineTooLong, func(guarded *guardedGateway, req *Request) { guarded.sendAndBegin(req, "a", 2*time.Second) }},
		"after the client disconnected": {invariant.AfterClientGone, func(guarded *guardedGateway, req *Request) {
			a := guarded.sendAndBegin(req, "a", 0)
			guarded.ClientGone(req)
			time.Sleep(110 * time.Millisecond)
			guarded.BeginAttempt(a, 0)
		}},
		"after the answer": {invariant.AfterAnswer, func(guarded *guardedGateway, req *Request) {
			a := guarded.sendAndBegin(req, "a", 0)
			guarded.stub.actions = []policy.Action{policy.Fail{Request: req.id}}
			guarded.events = append(guarded.events, policy.TimerFired{})
			guarded.Step()
			guarded.BeginAttempt(a, 0)
		}},
		"after the deadline": {invariant.AfterDeadline, func(guarded *guardedGateway, req *Request) {
			a := guarded.sendAndBegin(req, "a", 0)
			req.Deadline = guarded.loop.Clock() - time.Millisecond
			guarded.BeginAttempt(a, 0)
		}},
		"to a replica known to lag too far": {invariant.StaleRead, func(guarded *guardedGateway, req *Request) {
			now := guarded.loop.Now()
			answer := func(host policy.HostID, role policy.Role, position time.Duration) {
				read := guarded.submitFor(guarded.env, time.Second)
				guarded.Resolved(guarded.sendAndBegin(read, host, 0), policy.OK, Reply{Role: role, Position: position, HasPosition: true})
			}
			answer("p", policy.Primary, now)
			answer("a", policy.Replica, now-10*time.Second)
			time.Sleep(110 * time.Millisecond) // an answer counts as known by then
			req.Class = recentClass
			guarded.sendAndBegin(req, "a", 0)
		}},
		"no answer by the deadline": {invariant.NeverAnswered, func(guarded *guardedGateway, req *Request) {
			guarded.expired = append(guarded.expired, req)
			guarded.Step()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			guarded := newGuarded(t)
			c.do(guarded, guarded.submitFor(guarded.env, time.Second))
			assert.Equal(t, []invariant.Name{c.want}, guarded.violations)
		})
	}
}

// The process may be stopped between the last check of an attempt's deadline and its first byte. The attempt must not begin
// then.
func TestPauseBeforeFirstByteStartsNoAttempt(t *testing.T) {
	guarded := newGuarded(t)
	req := guarded.submitFor(guarded.env, 50*time.Millisecond)
	guarded.stub.actions = []policy.Action{policy.Send{Request: req.id, Host: "a"}}
	guarded.events = append(guarded.events, policy.TimerFired{})
	guarded.Step()
	a := guarded.env.sent[len(guarded.env.sent)-1]
	time.Sleep(60 * time.Millisecond) // the pause
	assert.Zero(t, guarded.BeginAttempt(a, a.Deadline))
	assert.False(t, a.started)
	assert.Empty(t, guarded.violations)
}

// A replica that rejects a write reports its position. A read goes there by that report: the guard has to know it.
func TestGuardKnowsPositionOfRejection(t *testing.T) {
	for name, c := range map[string]struct {
		position time.Duration // that the rejection reports, before now; 0: none
		want     []invariant.Name
	}{"fresh": {time.Millisecond, nil}, "none": {0, []invariant.Name{invariant.StaleRead}}, "old": {5 * time.Second, []invariant.Name{invariant.StaleRead}}} {
		t.Run(name, func(t *testing.T) {
			guarded := newGuarded(t)
			now := guarded.loop.Now()
			resolve := func(host policy.HostID, outcome policy.Outcome, reply Reply) {
				guarded.Resolved(guarded.sendAndBegin(guarded.submitFor(guarded.env, time.Second), host, 0), outcome, reply)
			}
			resolve("p", policy.OK, Reply{Role: policy.Primary, Position: now, HasPosition: true})
			resolve("a", policy.OK, Reply{Role: policy.Replica, Position: now - 10*time.Second, HasPosition: true})
			resolve("a", policy.Miss, Reply{Role: policy.Replica, Position: now - c.position, HasPosition: c.position > 0})
			time.Sleep(110 * time.Millisecond) // an answer counts as known by then
			read := guarded.submitFor(guarded.env, time.Second)
			read.Class = recentClass
			guarded.sendAndBegin(read, "a", 0)
			assert.Equal(t, c.want, guarded.violations)
		})
	}
}

// Correct decisions cause no reports.
func TestGuardReportsNothingWithoutViolation(t *testing.T) {
	guarded := newGuarded(t)
	req := guarded.submitFor(guarded.env, time.Second)
	guarded.Resolved(guarded.sendAndBegin(req, "a", time.Second), policy.ConnectFailed, Reply{})
	guarded.Resolved(guarded.sendAndBegin(req, "b", time.Second), policy.OK, Reply{})
	assert.Empty(t, guarded.violations)
	assert.Equal(t, []string{"served ", "released"}, guarded.env.calls)
}

// The guard's cost of a full list must be linear in its length: fleets may have thousands of databases.
func BenchmarkListUpdated(b *testing.B) {
	guarded := newGuarded(b)
	entries := make([]Entry, 3200)
	for i := range entries {
		entries[i].Host = policy.HostID(fmt.Sprintf("s-%04x", i))
	}
	for b.Loop() {
		guarded.ListUpdated(policy.ListFull, entries)
		guarded.events = guarded.events[:0]
	}
}
