package gateway

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/netloop"
	"lilaccove/internal/stats"
	"lilaccove/policy"
)

// Over random lives of requests - attempts and second copies that end in any way and order, refusals, failures,
// clients that leave, a gateway that is full, answers nobody gave in time - each request is counted once, where
// it ends, and each attempt once, however often its last byte is told.
func TestCountsBalance(t *testing.T) {
	for seed := range uint64(40) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		loop, err := netloop.New(16, 0, 1<<20)
		require.NoError(t, err)
		r, w := &script{}, &world{}
		counts := stats.New([]string{"a", "b"})
		g := New(loop, r, 20, counts)
		g.Connect(w, w)
		var taken, written uint64
		var open []*Request
		for range 500 {
			switch {
			case len(open) == 0 || rnd.IntN(3) == 0:
				q := &Request{Client: &world{}, Class: rnd.IntN(2), Deadline: loop.Now() + time.Hour}
				taken++
				g.Submit(q)
				open = append(open, q)
			default:
				q := open[rnd.IntN(len(open))]
				switch rnd.IntN(8) {
				case 0:
					r.next = []policy.Action{policy.Refuse{Request: q.id}}
				case 1:
					r.next = []policy.Action{policy.Fail{Request: q.id}, policy.Refuse{Request: q.id}}
				case 2:
					g.ClientGone(q)
					for _, a := range w.cancelled { // as a backend does
						g.Resolved(a, policy.Cancelled, Reply{})
						w.sent = slices.DeleteFunc(w.sent, func(o *Attempt) bool { return o == a })
					}
					w.cancelled = nil
				case 3:
					g.expire(q)
				case 4, 5:
					r.next = []policy.Action{policy.Send{Request: q.id, Host: "a"}, policy.Send{Request: q.id, Host: "b"}}
				}
				g.events = append(g.events, policy.TimerFired{})
			}
			g.Step()
			for i := 0; i < len(w.sent); i++ {
				if rnd.IntN(2) == 0 {
					a := w.sent[i]
					if rnd.IntN(2) == 0 {
						if !a.written {
							written++
						}
						g.Written(a)
						g.Written(a)
					}
					if rnd.IntN(3) == 0 && g.BeginStream(a) {
						g.StreamChunk(a, []byte("x"))
						if rnd.IntN(2) == 0 {
							g.Step()
							continue // its end comes later, or its client leaves first
						}
					}
					g.Resolved(a, policy.Outcome(rnd.IntN(8)), Reply{})
					w.sent = append(w.sent[:i], w.sent[i+1:]...)
				}
			}
			var all stats.Class
			for i := range 2 {
				k := counts.Of(i)
				all.Passed += k.Passed
				all.Dropped += k.Dropped
				all.BadGateway += k.BadGateway
				all.Abandoned += k.Abandoned
				all.Tries += k.Tries
			}
			require.Equal(t, taken, all.Passed+all.Dropped+all.BadGateway+all.Abandoned+uint64(g.Gauges().InProgress))
			require.Equal(t, written, all.Tries)
		}
		loop.Close()
	}
}

// What is known is the list; the yes to an operator comes when the module has been told.
func TestKnownAndSuspended(t *testing.T) {
	_, g, r, _ := newWorld(t)
	entry := func(h policy.HostID, s policy.Status) Entry {
		return Entry{Member: policy.Member{Host: h, Status: s}}
	}
	g.ListUpdated(policy.ListCached, []Entry{entry("a", policy.Healthy), entry("b", policy.Draining)})
	assert.Equal(t, 2, g.ListSize())
	g.ListUpdated(policy.ListDelta, []Entry{entry("a", policy.Gone), entry("c", policy.Healthy)})
	g.ListUpdated(policy.ListFailed, nil)
	assert.Equal(t, 2, g.ListSize())
	g.Step()

	yes := 0
	assert.False(t, g.Suspend("a", true, func() { yes++ }), "it has left")
	assert.True(t, g.Suspend("b", true, func() { yes++ }))
	assert.Zero(t, yes, "nothing is decided yet")
	g.Step()
	assert.Equal(t, []policy.Event{policy.SuspensionChanged{Host: "b", Active: true}}, r.heard)
	assert.Equal(t, 1, yes)

	g.ListUpdated(policy.ListFull, []Entry{entry("c", policy.Healthy)})
	g.Step()
	assert.True(t, g.Suspend("b", true, func() { yes++ }), "out twice")
	assert.True(t, g.Suspend("b", false, func() { yes++ }), "and back, though it has left the list")
	assert.True(t, g.Suspend("c", false, func() { yes++ }), "back without having been out")
	g.Step()
	assert.Equal(t, []policy.Event{policy.SuspensionChanged{Host: "b"}}, r.heard)
	assert.Equal(t, 4, yes)
}

// With the first bytes of a large value the request has its answer: the module hears of a served request with the
// time up to then, no other copy may begin, no deadline ends it; what the end tells of the host is still news.
func TestValueInParts(t *testing.T) {
	loop, g, r, w := newWorld(t)
	q := g.take(w, time.Second)
	r.next = []policy.Action{policy.Send{Request: q.id, Host: "a"}, policy.Send{Request: q.id, Host: "b"}}
	g.events = append(g.events, policy.TimerFired{})
	g.Step()
	a, b := w.sent[0], w.sent[1]
	require.True(t, g.BeginStream(a))
	assert.False(t, g.BeginStream(b), "one copy wins")
	assert.False(t, g.BeginStream(a))
	g.Step()
	require.Len(t, r.heard, 1)
	e := r.heard[0].(policy.Result)
	assert.Equal(t, policy.OK, e.Outcome)
	assert.True(t, e.Finished)
	assert.Equal(t, max(0, loop.Now()-a.sentAt), e.Latency)
	assert.True(t, g.StreamChunk(a, []byte("x")))
	assert.False(t, g.StreamChunk(a, []byte("xyz")), "the client has enough for now")
	g.ResumeStream(q)
	assert.Equal(t, []*Attempt{a}, w.resumed)
	assert.Equal(t, 1, g.Gauges().InProgress)
	g.Resolved(b, policy.OK, Reply{Value: []byte("second")})
	g.Resolved(a, policy.OK, Reply{Role: policy.Replica, Position: 7, HasPosition: true})
	g.ResumeStream(q)
	g.Step()
	assert.Equal(t, []string{"begin", "part x", "part xyz", "complete", "released"}, w.said)
	assert.Equal(t, policy.Result{Host: "a", Report: policy.Report{Position: 7, HasPosition: true, Role: policy.Replica}}, r.heard[len(r.heard)-1])
	assert.Zero(t, g.Unanswered())
}

// For how long an answer may have waited for this process to read it is not its host's delay, and the module hears how long
// the process was away before it hears of anything else of that round's making.
func TestOwnDelayIsNotTheHosts(t *testing.T) {
	const away = 80 * time.Millisecond
	loop, g, r, w := newWorld(t)
	q := g.take(w, time.Second)
	r.next = []policy.Action{policy.Send{Request: q.id, Host: "a"}}
	g.events = append(g.events, policy.TimerFired{})
	round := 0
	require.NoError(t, loop.Run(func() bool {
		switch round++; round {
		case 1:
			g.Step()
			for begun := loop.Clock(); loop.Clock() < begun+away; {
				time.Sleep(time.Millisecond) // it stands still
			}
		case 2:
			g.Resolved(w.sent[0], policy.OK, Reply{})
			g.Step()
			loop.Stop()
		}
		return true
	}))
	var lost, latency time.Duration = 0, -1
	for _, e := range r.heard {
		switch e := e.(type) {
		case policy.ProcessPaused:
			lost = e.Total
		case policy.Result:
			latency = e.Latency
		}
	}
	assert.Greater(t, lost, away/2)
	assert.GreaterOrEqual(t, latency, time.Duration(0))
	assert.Less(t, latency, away/2)
}
