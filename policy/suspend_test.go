package policy

import (
	"slices"
	"testing"
	"time"
)

// suspendedRig returns a rig whose replicas are both fresh, for tests of suspension.
func suspendedRig(t *testing.T) *rig {
	rig := newRig(t, baseSettings())
	for _, h := range []HostID{"a", "b"} {
		rig.probeReport(10*ms, h, Replica, 0)
	}
	return rig.probeReport(10*ms, "p", Primary, 0)
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

// After an operator override suspends a host, nothing new is sent to it: no first attempts, retries or probes. List
// updates do not change that, even if the host leaves the list and returns.
func TestSuspendedHostGetsNothing(t *testing.T) {
	rig := suspendedRig(t)
	rig.advance(ms, SuspensionChanged{Host: "a", Active: true}, SuspensionChanged{Host: "a", Active: true})
	if !slices.Contains(rig.actions, Action(StopUsingHost{Host: "a"})) {
		t.Errorf("attempts waiting for a connection to it are not returned: %v", rig.actions)
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
				t.Fatalf("sent to a suspended host: %v", rig.actions)
			}
			if len(rig.actions) > 0 {
				if s, ok := rig.actions[0].(Send); ok {
					rig.advance(ms, Result{Request: s.Request, Host: s.Host, Outcome: ConnectFailed})
				}
			}
			if slices.Contains(rig.contacted(), "a") {
				t.Fatalf("a retry is sent to a suspended host: %v", rig.actions)
			}
			rig.advance(5 * time.Second) // breakers, waits and timers expire
			if slices.Contains(rig.contacted(), "a") {
				t.Fatalf("a timer sends to a suspended host: %v", rig.actions)
			}
			for _, h := range []HostID{"b", "p"} {
				rig.probeReport(ms, h, map[HostID]Role{"b": Replica, "p": Primary}[h], 0)
			}
		}
	}
	if n := rig.router.ExcludedHosts(); n != 1 {
		t.Errorf("%d hosts are excluded, not 1", n)
	}
}

// One override that resumes a host undoes two that suspend it. The host is then cold, whatever the list says, and what
// was learned of its previous process does not prevent its use within seconds.
func TestResumedHostServesAgain(t *testing.T) {
	rig := suspendedRig(t)
	h := rig.router.hosts["a"]
	h.latencyRatio, h.strain, h.limit, h.failures = 9, 1, 0.1, 7
	rig.advance(ms, SuspensionChanged{Host: "a", Active: true}, SuspensionChanged{Host: "a", Active: true})
	rig.advance(3*time.Second, SuspensionChanged{Host: "a"})
	if share := rig.router.capacityShare(h); share > rig.router.settings.StartCapacity+0.01 {
		t.Errorf("its capacity counts as %.2f of a warm host's", share)
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

// A suspended primary no longer counts as primary: members are probed until another answers as primary, and writes do
// not go round in circles between members.
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
		t.Errorf("the waiting write goes to %v, not to the new primary", hosts)
	}
}

// An attempt returned unsent is routed again, and does not count as a failure of the host.
func TestUnsentAttemptIsRoutedAgain(t *testing.T) {
	rig := suspendedRig(t)
	rig.request("q", atMostOnce)
	s := rig.actions[0].(Send)
	rig.advance(ms, SuspensionChanged{Host: s.Host, Active: true}, Result{Request: "q", Host: s.Host, Outcome: NotSent})
	for _, a := range rig.actions {
		if _, failed := a.(Fail); failed {
			t.Errorf("a write that never ran got a failure: %v", rig.actions)
		}
	}
	rig.probeReport(50*ms, "a", Primary, 0)
	if hosts := rig.contacted(); !slices.Contains(hosts, "a") {
		t.Errorf("it goes to %v, not to the new primary", hosts)
	}
}
