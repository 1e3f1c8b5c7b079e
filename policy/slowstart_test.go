package policy

import (
	"testing"
	"time"
)

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

// Long reads are not sent to a host that has just started: all routers choose the same member for them, and one read from
// each at the same time would overload it.
func TestLongReadsAvoidColdHosts(t *testing.T) {
	set := baseSettings()
	set.Classes[loose].Aim, set.Classes[loose].Deadline = 4*time.Second, 8*time.Second
	rig := newRig(t, set)
	rig.advance(0, ListUpdate{Kind: ListDelta, Entries: []Member{{Host: "a", StartedAt: rig.now}}}).request("r", loose)
	rig.wantSend("b")
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
