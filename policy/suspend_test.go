package policy

import (
	"slices"
	"testing"
	"time"
)

// suspended is a rig whose replicas are both fresh.
func suspendedRig(t *testing.T) *rig {
	g := newRig(t, baseSettings())
	for _, h := range []HostID{"a", "b"} {
		g.probeReport(10*ms, h, Replica, 0)
	}
	return g.probeReport(10*ms, "p", Primary, 0)
}

func (g *rig) contacted() (hosts []HostID) {
	for _, a := range g.actions {
		switch a := a.(type) {
		case Send:
			hosts = append(hosts, a.Host)
		case Probe:
			hosts = append(hosts, a.Host)
		}
	}
	return hosts
}

// From the operators' word on nothing new goes to the host, by whatever way: first attempts, repeats,
// probes in turn; discovery's word in between changes nothing, nor does leaving the list and coming back.
func TestSuspendedHostGetsNothing(t *testing.T) {
	rig := suspendedRig(t)
	rig.advance(ms, SuspensionChanged{Host: "a", Active: true}, SuspensionChanged{Host: "a", Active: true})
	if !slices.Contains(rig.actions, Action(StopUsingHost{Host: "a"})) {
		t.Errorf("what waits for it is not given back: %v", rig.actions)
	}
	updates := [][]Event{
		nil,
		{ListUpdate{Kind: ListDelta, Entries: []Member{{Host: "a", StartedAt: rig.now}}}},
		{ListUpdate{Kind: ListFull, Entries: []Member{{Host: "p"}, {Host: "b"}}}},
		{ListUpdate{Kind: ListFull, Entries: []Member{{Host: "p"}, {Host: "a"}, {Host: "b"}}}},
	}
	id := 0
	for _, e := range updates {
		rig.advance(ms, e...)
		for range 60 {
			id++
			requestID := RequestID(rune(id))
			rig.request(requestID, []int{loose, recent, own, atMostOnce}[id%4])
			if slices.Contains(rig.contacted(), "a") {
				t.Fatalf("sent to a host that is left out: %v", rig.actions)
			}
			if len(rig.actions) > 0 {
				if s, ok := rig.actions[0].(Send); ok {
					rig.advance(ms, Result{Request: s.Request, Host: s.Host, Outcome: ConnectFailed})
				}
			}
			if slices.Contains(rig.contacted(), "a") {
				t.Fatalf("a repeat goes to a host that is left out: %v", rig.actions)
			}
			rig.advance(5 * time.Second) // breakers, waits and timers run out
			if slices.Contains(rig.contacted(), "a") {
				t.Fatalf("a timer leads to a host that is left out: %v", rig.actions)
			}
			for _, h := range []HostID{"b", "p"} {
				rig.probeReport(ms, h, map[HostID]Role{"b": Replica, "p": Primary}[h], 0)
			}
		}
	}
	if n := rig.router.ExcludedHosts(); n != 1 {
		t.Errorf("%d hosts are skipped, not 1", n)
	}
}

// One word back undoes two words out. The host is cold then, whatever the list says, and what was learned of
// the process before does not keep it from being used within seconds.
func TestResumedHostServesAgain(t *testing.T) {
	rig := suspendedRig(t)
	h := rig.router.hosts["a"]
	h.latencyRatio, h.strain, h.limit, h.failures = 9, 1, 0.1, 7
	rig.advance(ms, SuspensionChanged{Host: "a", Active: true}, SuspensionChanged{Host: "a", Active: true})
	rig.advance(3*time.Second, SuspensionChanged{Host: "a"})
	if share := rig.router.capacityShare(h); share > rig.router.settings.StartCapacity+0.01 {
		t.Errorf("it counts as warm to %.2f", share)
	}
	used := false
	for i := range 400 {
		rig.request(RequestID(rune(i+1)), loose)
		for _, host := range rig.contacted() {
			used = used || host == "a"
			rig.advance(0, Result{Request: RequestID(rune(i + 1)), Host: host, Outcome: OK, Latency: 20 * ms, Role: Replica})
		}
		rig.advance(10 * ms)
	}
	if !used {
		t.Error("it is not used in 4 s")
	}
}

// A suspended primary is none: members are asked until another answers as primary, and writes do not turn in a
// loop between members.
func TestSuspendedPrimary(t *testing.T) {
	rig := suspendedRig(t)
	rig.advance(ms, SuspensionChanged{Host: "p", Active: true})
	probed := rig.contacted()
	if !slices.Contains(probed, "a") || !slices.Contains(probed, "b") || slices.Contains(probed, "p") {
		t.Errorf("probed %v to find the new primary", probed)
	}
	rig.request("q", atMostOnce)
	if hosts := rig.contacted(); slices.Contains(hosts, "p") {
		t.Errorf("a write goes to %v", hosts)
	}
	rig.advance(ms, ListUpdate{Kind: ListDelta, Entries: []Member{{Host: "p", Primary: true}}})
	rig.probeReport(50*ms, "b", Primary, 0)
	if hosts := rig.contacted(); !slices.Contains(hosts, "b") {
		t.Errorf("the write that waits goes to %v, not to the new primary", hosts)
	}
}

// What was given back unsent is decided anew, and is no failure of the host.
func TestUnsentAttemptIsRoutedAgain(t *testing.T) {
	rig := suspendedRig(t)
	rig.request("q", atMostOnce)
	s := rig.actions[0].(Send)
	rig.advance(ms, SuspensionChanged{Host: s.Host, Active: true}, Result{Request: "q", Host: s.Host, Outcome: NotSent})
	for _, a := range rig.actions {
		if _, failed := a.(Fail); failed {
			t.Errorf("a write that never ran is failed: %v", rig.actions)
		}
	}
	rig.probeReport(50*ms, "a", Primary, 0)
	if hosts := rig.contacted(); !slices.Contains(hosts, "a") {
		t.Errorf("it goes to %v, not to the new primary", hosts)
	}
}
