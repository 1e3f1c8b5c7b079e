package policy

import (
	"slices"
	"testing"
	"time"
)

// A request for a strained primary without capacity is refused at once, not held.
func TestStrainedPrimaryShedsAtOnce(t *testing.T) {
	rig := newRig(t, baseSettings())
	rig.router.hosts["p"].strain = 2 * lowStrain
	if sent, refused := rig.sendWrites(20); sent == 0 || refused == 0 || sent+refused != 20 {
		t.Errorf("%d sent, %d refused of 20", sent, refused)
	}
}

// A burst, or requests read late after a process pause, exceed the limit of a primary that answers fast. They are held,
// but for no longer than an eighth of the aim.
func TestBurstIsHeldAtFastPrimary(t *testing.T) {
	rig := newRig(t, baseSettings())
	sent, refused := rig.sendWrites(20)
	if sent == 0 || sent == 20 || refused != 0 {
		t.Fatalf("%d sent, %d refused of 20", sent, refused)
	}
	rig.advance(2*ms, Result{Request: "A", Host: "p", Outcome: OK, Finished: true, Latency: 2 * ms, Role: Primary})
	if len(rig.sends()) == 0 {
		t.Error("no held request is sent after the first answer")
	}
	left := 20 - sent - len(rig.sends())
	rig.advance(500*ms/8 - ms)
	for _, a := range rig.actions {
		if a, ok := a.(Refuse); ok && a.RetryAfter <= 0 {
			t.Error("a refusal without retry-after")
		} else if refused++; !ok {
			refused--
		}
	}
	if refused != left {
		t.Errorf("%d of %d refused", refused, left)
	}
}

// Answers that take a large share of the aim reduce a host's limit, even to less than one attempt at a time, since many
// routers together overload it.
func TestSlowAnswersShrinkTheLimit(t *testing.T) {
	rig := newRig(t, baseSettings())
	for i := range 400 {
		id := RequestID(rune(i + 256))
		rig.router.admitShare[true] = 1 // admission is not under test
		rig.advance(450*ms).request(id, atMostOnce)
		if len(rig.sends()) == 1 {
			rig.advance(450*ms, Result{Request: id, Host: "p", Outcome: OK, Finished: true, Latency: 450 * ms, Role: Primary})
		}
	}
	rig.router.admitShare[true] = 1
	rig.request("x", atMostOnce).advance(450*ms, Result{Request: "x", Host: "p", Outcome: OK, Finished: true, Latency: 450 * ms})
	if h := rig.router.hosts["p"]; h.limit >= 1 {
		t.Errorf("limit %v after slow answers", h.limit)
	}
}

// If occasional successes reset the failure count while most writes time out, the breaker stays closed, but the
// primary's limit shrinks.
func TestScatteredSuccessesShrinkTheLimit(t *testing.T) {
	rig := newRig(t, baseSettings())
	before := rig.router.hosts["p"].limit
	sent := 0
	for i := range 120 {
		id := RequestID(rune(i + 256))
		if len(rig.request(id, atMostOnce).sends()) == 0 {
			rig.advance(500 * ms)
			continue
		}
		if sent++; sent%3 == 0 {
			rig.advance(100*ms, Result{Request: id, Host: "p", Outcome: OK, Finished: true, Latency: 100 * ms, Role: Primary})
			continue
		}
		rig.advance(600*ms).advance(1400*ms, Result{Request: id, Host: "p", Outcome: Timeout, Finished: true, Latency: 2 * time.Second})
	}
	if h := rig.router.hosts["p"]; h.group.breakerOpen || h.limit >= before/2 {
		t.Errorf("open %v, limit %v, was %v", h.group.breakerOpen, h.limit, before)
	}
}

// Hundreds of routers with few requests each cannot learn the limit of a single overloaded host. Rejections and late
// answers of all hosts reduce the admitted share, the rest is refused at once, and answers in time raise it again.
func TestIdleRouterLearnsAdmissionFromAllAnswers(t *testing.T) {
	var list []Member
	for i := range 30 {
		list = append(list, Member{Host: HostID(rune('A' + i)), Group: GroupID(i / 3), Primary: i%3 == 0})
	}
	rig := newRig(t, baseSettings(), list...)
	id := 256
	run := func(outcome Outcome, latency time.Duration) (sent, refused int) {
		for range 60 {
			id++
			requestID := RequestID(rune(id))
			rig.advance(200*ms, Request{ID: requestID, Class: loose, Group: GroupID(id % 10), Timeout: 2 * time.Second})
			n, _ := rig.finalAnswers(requestID)
			refused += n
			for _, h := range rig.sends() {
				sent++
				rig.advance(latency, Result{Request: requestID, Host: h, Outcome: outcome, Finished: outcome == OK, Latency: latency})
			}
		}
		return sent, refused
	}
	if _, refused := run(OK, 50*ms); refused > 0 {
		t.Errorf("%d refused while all answers are in time", refused)
	}
	run(AtCapacity, ms)
	if share := rig.router.admitShare[false]; share > 0.2 {
		t.Errorf("share %v after rejections", share)
	}
	run(OK, 50*ms)
	run(OK, 50*ms)
	if share := rig.router.admitShare[false]; share < 0.9 {
		t.Errorf("share %v after answers in time again", share)
	}
}

// Idle connections of hundreds of routers fill the hosts' connection tables until others get none. So a router closes
// them where its results are rare, and only there.
func TestIdleRouterClosesConnections(t *testing.T) {
	for _, tt := range []struct {
		interval time.Duration
		want     bool
	}{{5 * time.Second, true}, {20 * ms, false}} {
		rig := newRig(t, baseSettings(), Member{Host: "p", Primary: true}, Member{Host: "a"})
		closed := false
		for i := range 100 {
			id := RequestID(rune(i + 256))
			rig.advance(tt.interval)
			closed = closed || slices.Contains(rig.actions, Action(CloseIdleConnections{Host: "a"}))
			rig.request(id, loose).wantSend("a")
			rig.advance(10*ms, Result{Request: id, Host: "a", Outcome: OK, Finished: true, Latency: 10 * ms})
			if slices.Contains(rig.actions, Action(CloseIdleConnections{Host: "a"})) {
				t.Fatal("closed at once: the next request has to open a new connection")
			}
		}
		if closed != tt.want {
			t.Errorf("a request every %v: closed %v, want %v", tt.interval, closed, tt.want)
		}
	}
}

// Under overload, the class that is worth least for its time is shed first.
func TestLeastWorthIsShedFirst(t *testing.T) {
	set := baseSettings()
	set.Classes[loose].Worth, set.Classes[recent].Worth = 6, 1
	rig := newRig(t, set)
	rig.router.admitShare[false], rig.router.admitShare[true] = 0.5, 0.5
	sent := map[int]int{}
	for i := range 400 {
		id, class := RequestID(rune(i+256)), i%2 // loose or recent
		rig.router.admitShare[false], rig.router.admitShare[true] = 0.5, 0.5
		rig.probeReport(5*time.Second, "a", Replica, 0).request(id, class)
		for _, h := range rig.sends() {
			sent[class]++
			rig.advance(0, Result{Request: id, Host: h, Outcome: OK, Finished: true, Latency: ms})
		}
	}
	if sent[recent] == 0 || sent[loose] < 2*sent[recent] {
		t.Errorf("sent by class: %v", sent)
	}
}

// Classes that are worth more for their time get a larger part of a host's limit. Writes count only at primaries.
func TestLimitIsSharedByWorth(t *testing.T) {
	set := baseSettings()
	set.Classes[loose].Worth, set.Classes[own].Worth = 1, 4
	set.Classes[latest].Worth, set.Classes[deduplicated].Worth = 4, 16
	sendsOf := func(class int) (n int) {
		rig := newRig(t, set, Member{Host: "p", Primary: true}, Member{Host: "a"})
		for _, h := range rig.router.hostOrder {
			h.limit, h.resultInterval = 8, time.Millisecond
		}
		rig.router.admitShare[true] = 0.99 // so no read spills to the primary
		for i := range 20 {
			n += len(rig.request(RequestID(rune(i+256)), class).sends())
		}
		return n
	}
	for class, want := range map[int]int{own: 8, loose: 4, deduplicated: 8, latest: 4} {
		if n := sendsOf(class); n != want {
			t.Errorf("class %d: %d of a limit of 8, want %d", class, n, want)
		}
	}
}
