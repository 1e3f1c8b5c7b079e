package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"lilaccove/internal/invariant"
	"lilaccove/policy"
)

// guarded is a gateway whose decisions are the test's, under a guard.
type guarded struct {
	*Gateway
	t     testing.TB
	r     *script
	w     *world
	names []invariant.Name
}

// recent is the class of reads of bounded age.
const recent = 1

func newGuarded(t testing.TB) *guarded {
	loop, g, r, w := newWorld(t)
	x := &guarded{Gateway: g, t: t, r: r, w: w}
	set := policy.Settings{DrainGrace: 250 * time.Millisecond, Classes: []policy.Class{{RetrySafety: policy.AtMostOnce}, {Level: policy.Recent, Bound: time.Second}}}
	x.SetGuard(invariant.New(set, func(v invariant.Violation) { x.names = append(x.names, v.Name) }))
	_ = loop
	return x
}

// send has the decisions send a request to a host, and the backend begin on it with what is told of the time.
func (x *guarded) send(q *Request, host policy.HostID, told time.Duration) *Attempt {
	x.r.next = []policy.Action{policy.Send{Request: q.id, Host: host}}
	x.events = append(x.events, policy.TimerFired{})
	x.Step()
	a := x.w.sent[len(x.w.sent)-1]
	x.BeginAttempt(a, x.loop.Clock()+told)
	return a
}

// Whatever the decisions get wrong shows where the attempt is begun: the guard is on the one path that all attempts take.
func TestGuardSeesWhatTheDecisionsGetWrong(t *testing.T) {
	entries := func(s policy.Status) []Entry {
		return []Entry{{Member: policy.Member{Host: "a", Status: s}}}
	}
	for name, c := range map[string]struct {
		want invariant.Name
		do   func(x *guarded, q *Request)
	}{
		"two at once": {invariant.ConcurrentAttempt, func(x *guarded, q *Request) {
			x.send(q, "a", 0)
			x.send(q, "b", 0)
		}},
		"again after it may have run": {invariant.RetryForbidden, func(x *guarded, q *Request) {
			x.Resolved(x.send(q, "a", 0), policy.Reset, Reply{})
			x.send(q, "b", 0)
		}},
		"at a draining host": {invariant.ToDraining, func(x *guarded, q *Request) {
			x.ListUpdated(policy.ListDelta, entries(policy.Draining))
			time.Sleep(310 * time.Millisecond) // the grace is one of real time
			x.send(q, "a", 0)
		}},
		"at a host that left the list": {invariant.ToDraining, func(x *guarded, q *Request) {
			x.ListUpdated(policy.ListFull, entries(policy.Healthy))
			x.ListUpdated(policy.ListFull, nil)
			time.Sleep(310 * time.Millisecond)
			x.send(q, "a", 0)
		}},
		"at a suspended host": {invariant.ToSuspended, func(x *guarded, q *Request) {
			x.SetSuspended("a", true)
			time.Sleep(310 * time.Millisecond)
			x.send(q, "a", 0)
		}},
		"with too much time": {invariant.DeadlineTooLong, func(x *guarded, q *Request) { x.send(q, "a", 2*time.Second) }},
		"behind the client's end": {invariant.AfterClientGone, func(x *guarded, q *Request) {
			a := x.send(q, "a", 0)
			x.ClientGone(q)
			time.Sleep(110 * time.Millisecond)
			x.BeginAttempt(a, 0)
		}},
		"behind the answer": {invariant.AfterAnswer, func(x *guarded, q *Request) {
			a := x.send(q, "a", 0)
			x.r.next = []policy.Action{policy.Fail{Request: q.id}}
			x.events = append(x.events, policy.TimerFired{})
			x.Step()
			x.BeginAttempt(a, 0)
		}},
		"behind the deadline": {invariant.AfterDeadline, func(x *guarded, q *Request) {
			a := x.send(q, "a", 0)
			q.Deadline = x.loop.Clock() - time.Millisecond
			x.BeginAttempt(a, 0)
		}},
		"at a replica that has told that it is too old": {invariant.StaleRead, func(x *guarded, q *Request) {
			now := x.loop.Now()
			answer := func(host policy.HostID, role policy.Role, position time.Duration) {
				read := x.take(x.w, time.Second)
				x.Resolved(x.send(read, host, 0), policy.OK, Reply{Role: role, Position: position, HasPosition: true})
			}
			answer("p", policy.Primary, now)
			answer("a", policy.Replica, now-10*time.Second)
			time.Sleep(110 * time.Millisecond) // what an answer tells counts as known by then
			q.Class = recent
			x.send(q, "a", 0)
		}},
		"left without an answer": {invariant.NeverAnswered, func(x *guarded, q *Request) {
			x.expired = append(x.expired, q)
			x.Step()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x := newGuarded(t)
			c.do(x, x.take(x.w, time.Second))
			assert.Equal(t, []invariant.Name{c.want}, x.names)
		})
	}
}

// A stop may come between the last look at whether an attempt is late and its first byte. It is not begun then.
func TestStopBeforeTheFirstByteBeginsNothing(t *testing.T) {
	x := newGuarded(t)
	q := x.take(x.w, 50*time.Millisecond)
	x.r.next = []policy.Action{policy.Send{Request: q.id, Host: "a"}}
	x.events = append(x.events, policy.TimerFired{})
	x.Step()
	a := x.w.sent[len(x.w.sent)-1]
	time.Sleep(60 * time.Millisecond) // the stop
	assert.Zero(t, x.BeginAttempt(a, a.Deadline))
	assert.False(t, a.started)
	assert.Empty(t, x.names)
}

// What the decisions get right violates nothing.
func TestGuardIsSilentWhereAllIsRight(t *testing.T) {
	x := newGuarded(t)
	q := x.take(x.w, time.Second)
	x.Resolved(x.send(q, "a", time.Second), policy.ConnectFailed, Reply{})
	x.Resolved(x.send(q, "b", time.Second), policy.OK, Reply{})
	assert.Empty(t, x.names)
	assert.Equal(t, []string{"served ", "released"}, x.w.said)
}

// A whole list costs no more than its length for the guard: fleets may have thousands of databases.
func BenchmarkListed(b *testing.B) {
	x := newGuarded(b)
	entries := make([]Entry, 3200)
	for i := range entries {
		entries[i].Host = policy.HostID(fmt.Sprintf("s-%04x", i))
	}
	for b.Loop() {
		x.ListUpdated(policy.ListFull, entries)
		x.events = x.events[:0]
	}
}
