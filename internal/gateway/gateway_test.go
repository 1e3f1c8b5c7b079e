package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/netloop"
	"lilaccove/internal/stats"
	"lilaccove/policy"
)

// script is a router that acts as it is told and keeps what it heard.
type script struct {
	heard []policy.Event
	next  []policy.Action
}

func (s *script) Step(_ time.Duration, events []policy.Event) []policy.Action {
	s.heard = append([]policy.Event(nil), events...)
	next := s.next
	s.next = nil
	return next
}

func (s *script) ExcludedHosts() int         { return 0 }
func (*script) Plausible(time.Duration) bool { return true }

// world is the rest: a client, the backends and discovery.
type world struct {
	said             []string
	sent, cancelled  []*Attempt
	resumed          []*Attempt
	probed, hungUp   []policy.HostID
	withdrawn        []policy.HostID
	listed, askedFor int
}

func (w *world) Served(value []byte)         { w.said = append(w.said, "served "+string(value)) }
func (w *world) Refused(after time.Duration) { w.said = append(w.said, "refused "+after.String()) }
func (w *world) Failed()                     { w.said = append(w.said, "failed") }
func (w *world) Released()                   { w.said = append(w.said, "released") }
func (w *world) BeginStream()                { w.said = append(w.said, "begin") }
func (w *world) EndStream()                  { w.said = append(w.said, "complete") }
func (w *world) Cancelled()                  { w.said = append(w.said, "cancelled") }
func (w *world) AbortStream()                { w.said = append(w.said, "broken") }
func (w *world) ResumeStream(a *Attempt)     { w.resumed = append(w.resumed, a) }
func (w *world) StreamChunk(b []byte) bool {
	w.said = append(w.said, "part "+string(b))
	return len(b) < 3
}
func (w *world) Send(a *Attempt)                          { w.sent = append(w.sent, a) }
func (w *world) CancelUnsent(*Attempt)                    {}
func (w *world) Cancel(a *Attempt)                        { w.cancelled = append(w.cancelled, a) }
func (w *world) Probe(h policy.HostID)                    { w.probed = append(w.probed, h) }
func (w *world) CloseIdleConnections(h policy.HostID)     { w.hungUp = append(w.hungUp, h) }
func (w *world) StopUsingHost(h policy.HostID)            { w.withdrawn = append(w.withdrawn, h) }
func (w *world) Subscribe(time.Duration)                  { w.askedFor++ }
func (w *world) ListUpdated(_ policy.ListKind, e []Entry) { w.listed += len(e) }

func newWorld(t testing.TB) (*netloop.Loop, *Gateway, *script, *world) {
	loop, err := netloop.New(16, 0, 1<<20)
	require.NoError(t, err)
	t.Cleanup(loop.Close)
	r, w := &script{}, &world{}
	g := New(loop, r, 2, stats.New([]string{"only"}))
	g.Connect(w, w)
	return loop, g, r, w
}

func (g *Gateway) take(w *world, left time.Duration) *Request {
	q := &Request{Client: w, Deadline: g.loop.Now() + left, MinPosition: g.loop.Now() + time.Hour}
	g.Submit(q)
	g.Step()
	return q
}

// Of all that may end a request only the first is told, and the statement is given back
// when the last attempt is over.
func TestOneFinalAnswer(t *testing.T) {
	_, g, r, w := newWorld(t)
	q := g.take(w, time.Second)
	e := r.heard[0].(policy.Request)
	assert.InDelta(t, -time.Hour, e.LastCommitAge, 0, "a token from the future is kept as it is: this process's clock may be behind")
	r.next = []policy.Action{policy.Send{Request: e.ID, Host: "a", Timeout: time.Millisecond}, policy.Send{Request: e.ID, Host: "b"}}
	g.events = append(g.events, policy.TimerFired{})
	g.Step()
	require.Len(t, w.sent, 2)
	assert.Equal(t, g.loop.Now()+time.Millisecond, w.sent[0].Deadline)
	assert.Equal(t, q.Deadline, w.sent[1].Deadline, "no time-out: until the client gives up")

	g.Resolved(w.sent[1], policy.OK, Reply{Value: []byte("v")})
	g.Resolved(w.sent[1], policy.Reset, Reply{})
	g.ClientGone(q)
	r.next = []policy.Action{
		policy.Refuse{Request: e.ID}, policy.Fail{Request: e.ID}, policy.Cancel{Request: e.ID, Attempt: 0},
		policy.Cancel{Request: e.ID, Attempt: 1}, policy.Cancel{Request: "none"}, policy.Send{Request: e.ID, Host: "c"},
	}
	assert.True(t, g.Step())
	assert.Len(t, r.heard, 1)
	assert.True(t, r.heard[0].(policy.Result).Finished)
	assert.Equal(t, []*Attempt{w.sent[0]}, w.cancelled)
	assert.Len(t, w.sent, 2, "nothing is sent for a request that is over")
	assert.Equal(t, []string{"served v"}, w.said)
	g.Step()
	moot := r.heard[0].(policy.Result)
	assert.Equal(t, policy.NotSent, moot.Outcome)
	assert.Equal(t, 2, moot.Attempt)

	g.Resolved(w.sent[0], policy.OK, Reply{Value: []byte("w")})
	assert.Equal(t, []string{"served v", "released"}, w.said)
	assert.Zero(t, g.Unanswered())
	assert.Empty(t, g.requests)
}

func TestOtherEnds(t *testing.T) {
	loop, g, r, w := newWorld(t)
	gone := g.take(w, time.Second)
	g.take(w, time.Millisecond)
	g.take(w, time.Second) // over the limit: refused unheard
	assert.Equal(t, []string{"refused 0s", "released"}, w.said)
	assert.Equal(t, 2, g.Unanswered())

	w.said = nil
	g.ClientGone(gone)
	g.ClientGone(gone)
	assert.Equal(t, []string{"released"}, w.said)

	// A request that the module leaves without an answer fails at its deadline.
	w.said = nil
	assert.NoError(t, loop.Run(func() bool {
		g.Step()
		if g.Unanswered() == 0 {
			loop.Stop()
		}
		return false
	}))
	assert.Equal(t, []string{"failed", "released"}, w.said)
	assert.IsType(t, policy.RequestAbandoned{}, r.heard[len(r.heard)-1])
}

// In a round that comes late the module's own answer goes before the gateway's, which
// promises less.
func TestModuleAnswersFirstInALateRound(t *testing.T) {
	loop, g, r, w := newWorld(t)
	q := g.take(w, time.Millisecond)
	for time.Duration(time.Now().UnixNano()) < q.Deadline+5*deadlineGrace { // the round is late
	}
	loop.At(q.Deadline, func() { g.events = append(g.events, policy.TimerFired{}) })
	assert.NoError(t, loop.Run(func() bool {
		r.next = []policy.Action{policy.Refuse{Request: q.id, RetryAfter: time.Second}}
		g.Step()
		if g.Unanswered() == 0 {
			loop.Stop()
		}
		return false
	}))
	assert.Equal(t, []string{"refused 1s", "released"}, w.said)
}

func TestCarriesOutTheRest(t *testing.T) {
	loop, g, r, w := newWorld(t)
	r.next = []policy.Action{
		policy.Probe{Host: "a"}, policy.CloseIdleConnections{Host: "b"}, policy.Subscribe{}, policy.Log{Text: "x"},
		policy.SetTimer{After: time.Millisecond, ID: 7}, policy.Send{Request: "unknown", Host: "a"},
	}
	g.ListUpdated(policy.ListFull, make([]Entry, 3))
	assert.True(t, g.Step())
	assert.Equal(t, []policy.HostID{"a"}, w.probed)
	assert.Equal(t, []policy.HostID{"b"}, w.hungUp)
	assert.Equal(t, 3, w.listed)
	assert.Equal(t, 1, w.askedFor)
	g.Step()
	assert.Equal(t, policy.NotSent, r.heard[0].(policy.Result).Outcome)
	g.Probed("a", policy.OK, Reply{})
	assert.NoError(t, loop.Run(func() bool {
		g.Step()
		if _, ok := r.heard[len(r.heard)-1].(policy.TimerFired); ok {
			loop.Stop()
		}
		return false
	}))
	assert.Equal(t, policy.TimerFired{ID: 7}, r.heard[len(r.heard)-1])
}

// What was answered to an attempt that was given up unseats a primary; it seats none, for others may have told more since.
func TestLateAnswers(t *testing.T) {
	_, g, r, _ := newWorld(t)
	g.LateAnswer("p", Reply{Role: policy.Primary})
	g.LateAnswer("h", Reply{})
	g.Step()
	assert.Empty(t, r.heard)
	g.LateAnswer("p", Reply{Role: policy.Replica})
	g.Step()
	assert.Equal(t, []policy.Event{policy.Result{Host: "p", Attempt: -1, Outcome: policy.NotSent, Finished: true, Role: policy.Replica}}, r.heard)
}
