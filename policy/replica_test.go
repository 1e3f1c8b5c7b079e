package policy

import (
	"testing"
	"time"
)

// Reads with a staleness bound are sent only to members that are fresh enough at the time of sending.
func TestStalenessBound(t *testing.T) {
	tests := []struct {
		name  string
		lag   time.Duration
		wait  time.Duration
		class int
		want  HostID
	}{
		{"fresh", 100 * ms, 0, recent, "a"},
		{"aged since its report", 100 * ms, 450 * ms, recent, "p"},
		{"loose accepts any age", time.Hour, 0, loose, "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rig := newRig(t, baseSettings(), Member{Host: "p", Primary: true}, Member{Host: "a"})
			rig.probeReport(time.Second, "a", Replica, tt.lag).advance(tt.wait).request("r", tt.class)
			if len(rig.sends()) == 0 {
				rig.advance(100 * ms)
			}
			rig.wantSend(tt.want)
		})
	}
}

// A hung primary still rejects requests as primary while its log has stopped, so only successful answers update its
// position. Such an answer shows the position at the time of sending, not of receiving.
func TestOnlySuccessfulAnswersUpdatePrimaryPosition(t *testing.T) {
	for _, tt := range []struct {
		name    string
		outcome Outcome
		want    []HostID
	}{{"rejections", AtCapacity, nil}, {"errors", Error, nil}, {"a slow answer", OK, nil}, {"a quick answer", OK, []HostID{"p"}}} {
		t.Run(tt.name, func(t *testing.T) {
			rig := newRig(t, baseSettings(), Member{Host: "p", Primary: true}, Member{Host: "a"}).request("x", latest)
			after := 10 * ms
			if tt.name == "a slow answer" {
				after = 490 * ms
			}
			rig.advance(after, Result{Request: "x", Host: "p", Outcome: tt.outcome, Finished: true, Latency: after, Role: Primary})
			rig.router.admitShare[true] = 1 // admission is not under test
			rig.request("w", atMostOnce).advance(10*ms, Result{Request: "w", Host: "p", Outcome: Miss, Role: Replica})
			rig.router.admitShare[false], rig.router.admitShare[true] = 1, 1
			rig.advance(10*ms).request("r", recent)
			rig.wantSend(tt.want...)
		})
	}
}

func TestTrackedSessionReadsItsCommit(t *testing.T) {
	set := baseSettings()
	set.TracksSessions = true
	rig := newRig(t, set, Member{Host: "p", Primary: true}, Member{Host: "a"})
	rig.probeReport(time.Second, "a", Replica, 10*ms)
	rig.advance(0, Request{ID: "w", Class: atMostOnce, Session: 7, Timeout: time.Second})
	rig.advance(10*ms, Result{Request: "w", Host: "p", Outcome: OK, Finished: true, Role: Primary, Position: rig.now, HasPosition: true})
	rig.advance(ms, Request{ID: "x", Class: own, Session: 8, Timeout: time.Second})
	rig.wantSend("a")
	rig.advance(0, Request{ID: "r", Class: own, Session: 7, Timeout: time.Second})
	if h := rig.sends(); len(h) == 1 && h[0] == "a" {
		t.Error("read sent to a replica not known to hold the session's write")
	}
	rig.probeReport(20*ms, "a", Replica, 0)
	rig.wantSend("a")
}

// Long loose reads all go to the same replica.
func TestLongReadsUseOneReplica(t *testing.T) {
	set := baseSettings()
	set.Classes[loose].Aim, set.Classes[loose].Deadline = 4*time.Second, 8*time.Second
	rig := newRig(t, set)
	for _, id := range []RequestID{"1", "2", "3"} {
		rig.request(id, loose)
		rig.wantSend("a")
	}
	rig.advance(2500 * ms)
	rig.wantSend()
}

// Long reads and lag can overload the replicas while primaries have capacity. Reads that the replicas do not admit go to
// the primary, but only while primaries admit all requests.
func TestOverloadedReplicasSpillToPrimary(t *testing.T) {
	for _, tt := range []struct {
		primaryShare float64
		want         HostID
	}{{1, "p"}, {0.99, ""}} {
		rig := newRig(t, baseSettings())
		sends := map[HostID]int{}
		refused := 0
		for i := range 40 {
			id := RequestID(rune(i + 256))
			rig.router.admitShare[false], rig.router.admitShare[true] = minAdmitShare, tt.primaryShare
			rig.advance(5*time.Second).request(id, loose)
			n, _ := rig.finalAnswers(id)
			refused += n
			for _, h := range rig.sends() {
				sends[h]++
				rig.advance(ms, Result{Request: id, Host: h, Outcome: OK, Finished: true, Latency: ms})
			}
		}
		if spilled := sends["p"] > 30; spilled != (tt.want == "p") || !spilled && (sends["p"] > 0 || refused < 30) {
			t.Errorf("primaries admit %v: sent %v, refused %d", tt.primaryShare, sends, refused)
		}
	}
}

// Long reads do not spill to a primary, where they would delay writes.
func TestLongReadsDoNotSpill(t *testing.T) {
	set := baseSettings()
	set.Classes[loose].Aim, set.Classes[loose].Deadline = 4*time.Second, 8*time.Second
	rig := newRig(t, set)
	refused := 0
	for i := range 40 {
		id := RequestID(rune(i + 256))
		rig.router.admitShare[false] = minAdmitShare
		rig.advance(5*time.Second).request(id, loose)
		n, _ := rig.finalAnswers(id)
		refused += n
		for _, h := range rig.sends() {
			if h == "p" {
				t.Fatal("a long read sent to the primary")
			}
			rig.advance(ms, Result{Request: id, Host: h, Outcome: OK, Finished: true, Latency: time.Second})
		}
	}
	if refused < 20 {
		t.Errorf("%d refused of 40", refused)
	}
}
