package policy

import (
	"testing"
	"time"
)

func TestInvalidSettings(t *testing.T) {
	tests := []struct {
		name       string
		invalidate func(*Settings)
	}{
		{"no classes", func(s *Settings) { s.Classes = nil }},
		{"negative time", func(s *Settings) { s.DrainGrace = -1 }},
		{"no aim", func(s *Settings) { s.Classes[0].Aim = 0 }},
	}
	for _, tt := range tests {
		set := baseSettings()
		tt.invalidate(&set)
		if _, err := New(set, 1); err == nil || err.Error() == "" {
			t.Errorf("%s: no error", tt.name)
		}
	}
}

// A step touches only the hosts and groups that its events concern. The test removes all others, so that any access
// would panic.
func TestStepTouchesOnlyConcernedGroups(t *testing.T) {
	var list []Member
	for i := range 300 {
		list = append(list, Member{Host: HostID(rune(i + 256)), Group: GroupID(i / 3), Primary: i%3 == 0})
	}
	rig := newRig(t, baseSettings(), list...)
	for id := range rig.router.groups {
		if id != 0 {
			rig.router.groups[id] = nil
		}
	}
	for i, h := range rig.router.hostOrder {
		if h.group != rig.router.groups[0] {
			rig.router.hostOrder[i], rig.router.hosts[h.id] = nil, nil
		}
	}
	answered := 0
	for i := range 15 { // the probe after the 20th request would be of any member
		id := RequestID(rune(i + 256))
		rig.advance(100*ms, Request{ID: id, Class: i % 6, Timeout: time.Second})
		for _, h := range rig.sends() {
			answered++
			rig.advance(10*ms, Result{Request: id, Host: h, Outcome: Outcome(i % 3), Latency: 10 * ms},
				ProbeResult{Host: h, Outcome: Timeout})
		}
	}
	if rig.advance(10 * time.Second); answered < 5 {
		t.Errorf("only %d of 15 requests sent", answered)
	}
}

// Invalid input changes nothing: unknown hosts, results of no request, classes out of range, an empty report.
func TestInvalidInputIsIgnored(t *testing.T) {
	rig := newRig(t, baseSettings())
	rig.advance(ms, ProbeResult{Host: "nobody"}, Result{Request: "none", Host: "nobody"}, Result{Request: "none", Host: "p"},
		RequestAbandoned{Request: "none"}, Request{ID: "c", Class: 99}, Request{ID: "d", Class: -1}, TimerFired{ID: 77},
		ProbeResult{Host: "p", Report: Report{}}, ListUpdate{Kind: ListDelta})
	rig.request("w", atMostOnce)
	rig.wantSend("p")
	rig.advance(ms, Result{Request: "w", Attempt: 5, Host: "p", Outcome: Error}, Result{Request: "w", Attempt: -1, Host: "p"})
	rig.wantFinal("w", 0, 0)
}
