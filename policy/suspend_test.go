package policy

import (
	"slices"
	"testing"
	"time"
)

// suspended is a rig whose replicas are both fresh.
func suspendedRig(t *testing.T) *rig {
	g := newRig(t, base())
	for _, h := range []HostID{"a", "b"} {
		g.report(10*ms, h, Replica, 0)
	}
	return g.report(10*ms, "p", Primary, 0)
}

func (g *rig) sentTo() (hosts []HostID) {
	for _, a := range g.got {
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
	g := suspendedRig(t)
	g.at(ms, SuspensionChanged{Host: "a", Active: true}, SuspensionChanged{Host: "a", Active: true})
	if !slices.Contains(g.got, Action(StopUsingHost{Host: "a"})) {
		t.Errorf("what waits for it is not given back: %v", g.got)
	}
	news := [][]Event{
		nil,
		{ListUpdate{Kind: ListDelta, Entries: []Member{{Host: "a", StartedAt: g.now}}}},
		{ListUpdate{Kind: ListFull, Entries: []Member{{Host: "p"}, {Host: "b"}}}},
		{ListUpdate{Kind: ListFull, Entries: []Member{{Host: "p"}, {Host: "a"}, {Host: "b"}}}},
	}
	id := 0
	for _, e := range news {
		g.at(ms, e...)
		for range 60 {
			id++
			q := RequestID(rune(id))
			g.ask(q, []int{loose, recent, own, fragile}[id%4])
			if slices.Contains(g.sentTo(), "a") {
				t.Fatalf("sent to a host that is left out: %v", g.got)
			}
			if len(g.got) > 0 {
				if s, ok := g.got[0].(Send); ok {
					g.at(ms, Result{Request: s.Request, Host: s.Host, Outcome: ConnectFailed})
				}
			}
			if slices.Contains(g.sentTo(), "a") {
				t.Fatalf("a repeat goes to a host that is left out: %v", g.got)
			}
			g.at(5 * time.Second) // breakers, waits and timers run out
			if slices.Contains(g.sentTo(), "a") {
				t.Fatalf("a timer leads to a host that is left out: %v", g.got)
			}
			for _, h := range []HostID{"b", "p"} {
				g.report(ms, h, map[HostID]Role{"b": Replica, "p": Primary}[h], 0)
			}
		}
	}
	if n := g.r.ExcludedHosts(); n != 1 {
		t.Errorf("%d hosts are skipped, not 1", n)
	}
}

// One word back undoes two words out. The host is cold then, whatever the list says, and what was learned of
// the process before does not keep it from being used within seconds.
func TestResumedHostServesAgain(t *testing.T) {
	g := suspendedRig(t)
	h := g.r.hosts["a"]
	h.latencyRatio, h.strain, h.limit, h.failures = 9, 1, 0.1, 7
	g.at(ms, SuspensionChanged{Host: "a", Active: true}, SuspensionChanged{Host: "a", Active: true})
	g.at(3*time.Second, SuspensionChanged{Host: "a"})
	if w := g.r.capacityShare(h); w > g.r.settings.StartCapacity+0.01 {
		t.Errorf("it counts as warm to %.2f", w)
	}
	used := false
	for i := range 400 {
		g.ask(RequestID(rune(i+1)), loose)
		for _, host := range g.sentTo() {
			used = used || host == "a"
			g.at(0, Result{Request: RequestID(rune(i + 1)), Host: host, Outcome: OK, Latency: 20 * ms, Role: Replica})
		}
		g.at(10 * ms)
	}
	if !used {
		t.Error("it is not used in 4 s")
	}
}

// A suspended primary is none: members are asked until another answers as primary, and writes do not turn in a
// loop between members.
func TestSuspendedPrimary(t *testing.T) {
	g := suspendedRig(t)
	g.at(ms, SuspensionChanged{Host: "p", Active: true})
	probed := g.sentTo()
	if !slices.Contains(probed, "a") || !slices.Contains(probed, "b") || slices.Contains(probed, "p") {
		t.Errorf("probed %v to find the new primary", probed)
	}
	g.ask("q", fragile)
	if hosts := g.sentTo(); slices.Contains(hosts, "p") {
		t.Errorf("a write goes to %v", hosts)
	}
	g.at(ms, ListUpdate{Kind: ListDelta, Entries: []Member{{Host: "p", Primary: true}}})
	g.report(50*ms, "b", Primary, 0)
	if hosts := g.sentTo(); !slices.Contains(hosts, "b") {
		t.Errorf("the write that waits goes to %v, not to the new primary", hosts)
	}
}

// What was given back unsent is decided anew, and is no failure of the host.
func TestGivenBackUnsent(t *testing.T) {
	g := suspendedRig(t)
	g.ask("q", fragile)
	s := g.got[0].(Send)
	g.at(ms, SuspensionChanged{Host: s.Host, Active: true}, Result{Request: "q", Host: s.Host, Outcome: NotSent})
	for _, a := range g.got {
		if _, failed := a.(Fail); failed {
			t.Errorf("a write that never ran is failed: %v", g.got)
		}
	}
	g.report(50*ms, "a", Primary, 0)
	if hosts := g.sentTo(); !slices.Contains(hosts, "a") {
		t.Errorf("it goes to %v, not to the new primary", hosts)
	}
}
