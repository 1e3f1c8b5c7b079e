package policy

import (
	"testing"
	"time"
)

// Without probes only requests report roles: an open breaker lets one through after a pause, and a write searches for
// the primary itself.
func TestWorksWithoutProbes(t *testing.T) {
	set := baseSettings()
	set.CanProbe = false
	rig := newRig(t, set).failWrites(breakerThreshold, Error).request("w", atMostOnce)
	rig.wantFinal("w", 1, 0)
	rig.advance(5*suspectProbeInterval).request("w2", atMostOnce)
	rig.wantSend("p")

	set.ListRole = ListRoleNone
	rig = newRig(t, set).request("w", atMostOnce)
	rig.wantSend("p")
	rig.advance(ms, Result{Request: "w", Host: "p", Outcome: Miss, Role: Replica}).request("w2", atMostOnce)
	rig.wantSend("a")
}

// probesSent counts the probes of the last step, by host.
func (g *rig) probesSent() map[HostID]int {
	n := map[HostID]int{}
	for _, a := range g.actions {
		if p, ok := a.(Probe); ok {
			n[p.Host]++
		}
	}
	return n
}

// Hundreds of idle routers that probe at fixed intervals would load every host. The probe rate follows the router's own
// requests, but every member is probed in time.
func TestProbeRateFollowsRequests(t *testing.T) {
	var list []Member
	for i := range 30 {
		list = append(list, Member{Host: HostID(rune('A' + i)), Group: GroupID(i / 3), Primary: i%3 == 0})
	}
	rig := newRig(t, baseSettings(), list...)
	seen, probes := map[HostID]int{}, 0
	for range 600 {
		rig.advance(100 * ms)
		probes += len(rig.probesSent())
	}
	if probes > 0 {
		t.Errorf("%d probes without a request", probes)
	}
	const requests = 1200
	for i := range requests {
		id := RequestID(rune(i + 256))
		rig.advance(10*ms, Request{ID: id, Class: loose, Timeout: time.Second})
		probed := rig.probesSent()
		for _, h := range rig.sends() {
			rig.advance(0, Result{Request: id, Host: h, Outcome: OK, Finished: true, Latency: 10 * ms})
		}
		for h := range probed {
			probes++
			seen[h]++
			rig.advance(0, ProbeResult{Host: h, Report: Report{Role: Replica}})
		}
	}
	if len(seen) != len(list) || float64(probes) > 1.1*requests*probeShare {
		t.Errorf("%d probes of %d members for %d requests", probes, len(seen), requests)
	}
}

// A router with few requests gets few consecutive failures. So the first one starts fast probes, whose failures open the
// breaker before the next write.
func TestFirstFailureStartsProbes(t *testing.T) {
	rig := newRig(t, baseSettings()).failWrites(1, ConnectFailed)
	for range 100 {
		lost := rig.probesSent()["p"] > 0
		rig.advance(20 * ms)
		if lost {
			rig.advance(0, ProbeResult{Host: "p", Outcome: ConnectFailed})
		}
	}
	if !rig.router.groups[0].breakerOpen {
		t.Fatal("closed after 2 s")
	}
	rig.request("w", atMostOnce)
	rig.wantFinal("w", 1, 0)
}

// A read waits for newer positions only if probes report them.
func TestReadDoesNotWaitForProbesWithoutRole(t *testing.T) {
	for _, noRole := range []bool{false, true} {
		rig := newRig(t, baseSettings())
		for _, h := range []HostID{"a", "b"} {
			rig.probeReport(0, h, Replica, 0)
			if noRole {
				rig.advance(0, ProbeResult{Host: h}) // only shows that it runs
			}
		}
		rig.advance(2*time.Second).request("q", recent)
		if sent := len(rig.sends()) > 0; sent != noRole {
			t.Errorf("probes report nothing: %t, sent at once: %t", noRole, sent)
		}
	}
}
