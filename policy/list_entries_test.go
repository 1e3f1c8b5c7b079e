package policy

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

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
