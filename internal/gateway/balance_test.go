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

// Random requests - concurrent attempts that end in any way and order, refusals, failures, clients that
// disconnect, a full gateway, missed deadlines - are each counted exactly once when they end, and each
// attempt once, however often Written is called for it.
func TestCountsBalance(t *testing.T) {
	for seed := range uint64(40) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		loop, err := netloop.New(16, 0, 1<<20)
		require.NoError(t, err)
		router, env := &stubRouter{}, &environment{}
		counts := stats.New([]string{"a", "b"})
		g := New(loop, router, 20, counts)
		g.Connect(env, env)
		var submitted, written uint64
		var open []*Request
		for range 500 {
			switch {
			case len(open) == 0 || rnd.IntN(3) == 0:
				req := &Request{Client: &environment{}, Class: rnd.IntN(2), Deadline: loop.Now() + time.Hour}
				submitted++
				g.Submit(req)
				open = append(open, req)
			default:
				req := open[rnd.IntN(len(open))]
				switch rnd.IntN(8) {
				case 0:
					router.actions = []policy.Action{policy.Refuse{Request: req.id}}
				case 1:
					router.actions = []policy.Action{policy.Fail{Request: req.id}, policy.Refuse{Request: req.id}}
				case 2:
					g.ClientGone(req)
					for _, a := range env.cancelled { // as a backend would
						g.Resolved(a, policy.Cancelled, Reply{})
						env.sent = slices.DeleteFunc(env.sent, func(o *Attempt) bool { return o == a })
					}
					env.cancelled = nil
				case 3:
					g.expire(req)
				case 4, 5:
					router.actions = []policy.Action{policy.Send{Request: req.id, Host: "a"}, policy.Send{Request: req.id, Host: "b"}}
				}
				g.events = append(g.events, policy.TimerFired{})
			}
			g.Step()
			for i := 0; i < len(env.sent); i++ {
				if rnd.IntN(2) == 0 {
					a := env.sent[i]
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
							continue // it ends later, or its client disconnects first
						}
					}
					g.Resolved(a, policy.Outcome(rnd.IntN(8)), Reply{})
					env.sent = append(env.sent[:i], env.sent[i+1:]...)
				}
			}
			var all stats.ClassCounters
			for i := range 2 {
				class := counts.Class(i)
				all.Served += class.Served
				all.Refused += class.Refused
				all.Failed += class.Failed
				all.Abandoned += class.Abandoned
				all.Attempts += class.Attempts
			}
			require.Equal(t, submitted, all.Served+all.Refused+all.Failed+all.Abandoned+uint64(g.Gauges().InProgress))
			require.Equal(t, written, all.Attempts)
		}
		loop.Close()
	}
}

// ListSize follows the list, and a suspension is confirmed only after the decision module has processed it.
func TestListSizeAndSuspension(t *testing.T) {
	_, g, router, _ := newTestGateway(t)
	entry := func(h policy.HostID, s policy.Status) Entry {
		return Entry{Member: policy.Member{Host: h, Status: s}}
	}
	g.ListUpdated(policy.ListCached, []Entry{entry("a", policy.Healthy), entry("b", policy.Draining)})
	assert.Equal(t, 2, g.ListSize())
	g.ListUpdated(policy.ListDelta, []Entry{entry("a", policy.Gone), entry("c", policy.Healthy)})
	g.ListUpdated(policy.ListFailed, nil)
	assert.Equal(t, 2, g.ListSize())
	g.Step()

	confirmed := 0
	assert.False(t, g.Suspend("a", true, func() { confirmed++ }), "not in the list any more")
	assert.True(t, g.Suspend("b", true, func() { confirmed++ }))
	assert.Zero(t, confirmed, "the decision module has not processed it yet")
	g.Step()
	assert.Equal(t, []policy.Event{policy.SuspensionChanged{Host: "b", Active: true}}, router.events)
	assert.Equal(t, 1, confirmed)

	g.ListUpdated(policy.ListFull, []Entry{entry("c", policy.Healthy)})
	g.Step()
	assert.True(t, g.Suspend("b", true, func() { confirmed++ }), "suspended twice")
	assert.True(t, g.Suspend("b", false, func() { confirmed++ }), "resumed, though it is not in the list any more")
	assert.True(t, g.Suspend("c", false, func() { confirmed++ }), "resumed without having been suspended")
	g.Step()
	assert.Equal(t, []policy.Event{policy.SuspensionChanged{Host: "b"}}, router.events)
	assert.Equal(t, 4, confirmed)
}

// The first bytes of a large value answer the request: the decision module sees a served request with the latency
// up to then, no other attempt can win, and no deadline ends it. The position reported at its end is still passed on.
func TestStreamedValue(t *testing.T) {
	loop, g, router, env := newTestGateway(t)
	req := g.submitFor(env, time.Second)
	router.actions = []policy.Action{policy.Send{Request: req.id, Host: "a"}, policy.Send{Request: req.id, Host: "b"}}
	g.events = append(g.events, policy.TimerFired{})
	g.Step()
	a, b := env.sent[0], env.sent[1]
	require.True(t, g.BeginStream(a))
	assert.False(t, g.BeginStream(b), "one attempt wins")
	assert.False(t, g.BeginStream(a))
	g.Step()
	require.Len(t, router.events, 1)
	result := router.events[0].(policy.Result)
	assert.Equal(t, policy.OK, result.Outcome)
	assert.True(t, result.Finished)
	assert.Equal(t, max(0, loop.Now()-a.sentAt), result.Latency)
	assert.True(t, g.StreamChunk(a, []byte("x")))
	assert.False(t, g.StreamChunk(a, []byte("xyz")), "the client can take no more for now")
	g.ResumeStream(req)
	assert.Equal(t, []*Attempt{a}, env.resumed)
	assert.Equal(t, 1, g.Gauges().InProgress)
	g.Resolved(b, policy.OK, Reply{Value: []byte("second")})
	g.Resolved(a, policy.OK, Reply{Role: policy.Replica, Position: 7, HasPosition: true})
	g.ResumeStream(req)
	g.Step()
	assert.Equal(t, []string{"begin stream", "chunk x", "chunk xyz", "end stream", "released"}, env.calls)
	assert.Equal(t, policy.Result{Host: "a", Report: policy.Report{Position: 7, HasPosition: true, Role: policy.Replica}}, router.events[len(router.events)-1])
	assert.Zero(t, g.Unanswered())
}

// The time for which an answer may have waited for this process to read it does not count as the host's latency, and the
// decision module learns of the pause before it sees other events of that loop iteration.
func TestProcessPauseIsNotCountedAsLatency(t *testing.T) {
	const pause = 80 * time.Millisecond
	loop, g, router, env := newTestGateway(t)
	req := g.submitFor(env, time.Second)
	router.actions = []policy.Action{policy.Send{Request: req.id, Host: "a"}}
	g.events = append(g.events, policy.TimerFired{})
	iteration := 0
	require.NoError(t, loop.Run(func() bool {
		switch iteration++; iteration {
		case 1:
			g.Step()
			for start := loop.Clock(); loop.Clock() < start+pause; {
				time.Sleep(time.Millisecond) // the pause
			}
		case 2:
			g.Resolved(env.sent[0], policy.OK, Reply{})
			g.Step()
			loop.Stop()
		}
		return true
	}))
	var reported, latency time.Duration = 0, -1
	for _, e := range router.events {
		switch e := e.(type) {
		case policy.ProcessPaused:
			reported = e.Total
		case policy.Result:
			latency = e.Latency
		}
	}
	assert.Greater(t, reported, pause/2)
	assert.GreaterOrEqual(t, latency, time.Duration(0))
	assert.Less(t, latency, pause/2)
}
