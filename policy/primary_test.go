package policy

import (
	"testing"
	"time"
)

func TestBreakerOpensRefusesAndCloses(t *testing.T) {
	rig := newRig(t, baseSettings())
	rig.failWrites(breakerThreshold, Error)
	rig.request("w", atMostOnce)
	rig.wantSend()
	rig.wantFinal("w", 1, 0)
	rig.request("f", latest)
	rig.wantFinal("f", 1, 0)
	rig.probeReport(10*ms, "a", Replica, 10*ms).request("r", recent)
	rig.wantSend("a")
	rig.probeReport(10*ms, "p", Primary, 100*ms).request("w2", atMostOnce)
	rig.wantFinal("w2", 1, 0) // the report is older than the opening of the breaker
	rig.probeReport(100*ms, "b", Primary, 5*ms).request("w3", atMostOnce)
	rig.wantSend("b")
}

// Probes that report no role cannot close a breaker. After a short network failure of the primary, its writes were
// refused until the end of the run. So once a probe has passed, a read is sent to the primary as a half-open trial, and
// leaves time for a replica.
func TestReadClosesBreakerWhenProbesReportNoRole(t *testing.T) {
	rig := newRig(t, baseSettings())
	rig.failWrites(breakerThreshold, Reset)
	rig.probeReport(300*ms, "a", Replica, 10*ms).request("r", recent)
	rig.wantSend("a") // no probe has passed
	rig.advance(10*ms, ProbeResult{Host: "p"}).request("s", recent)
	rig.wantSend("p")
	rig.request("t", recent)
	rig.wantSend("a") // one at a time
	rig.advance(130*ms, Result{Request: "s", Host: "p", Outcome: Timeout, Latency: 130 * ms})
	rig.wantSend("a")
	rig.advance(200*ms).request("u", recent)
	rig.wantSend("p")
	rig.advance(20*ms, Result{Request: "u", Host: "p", Outcome: OK, Finished: true, Role: Primary}).request("w", atMostOnce)
	rig.wantSend("p")

	// Without reads, a write is the trial, after a longer pause.
	rig = newRig(t, baseSettings())
	rig.failWrites(breakerThreshold, Reset).advance(10*ms, ProbeResult{Host: "p"})
	rig.request("v", atMostOnce)
	rig.wantFinal("v", 1, 0)
	rig.advance(10*suspectProbeInterval).request("w", atMostOnce)
	rig.wantSend("p")
	rig.request("x", atMostOnce)
	rig.wantFinal("x", 1, 0)
}

// A database's answer to an attempt that had already ended still updates its role: reads after one that says the
// database is no longer primary are not sent there. Only one read may go there before such an answer.
func TestLateAnswerUpdatesRole(t *testing.T) {
	rig := newRig(t, baseSettings())
	rig.failWrites(breakerThreshold, ConnectFailed)
	rig.advance(300*ms, ProbeResult{Host: "p"}).request("r", recent)
	rig.wantSend("p")
	rig.advance(125*ms, Result{Request: "r", Host: "p", Outcome: Timeout, Latency: 125 * ms})
	rig.advance(10*ms, Result{Host: "p", Attempt: -1, Outcome: NotSent, Finished: true, Role: Replica})
	rig.advance(5*suspectProbeInterval, ProbeResult{Host: "p"}).request("s", recent)
	rig.wantSend()
	rig.advance(10*suspectProbeInterval, ProbeResult{Host: "p"}).request("t", latest)
	rig.wantSend()
}

func TestSuccessResetsFailureCount(t *testing.T) {
	rig := newRig(t, baseSettings())
	rig.failWrites(breakerThreshold-1, Error)
	rig.request("ok", atMostOnce).advance(10*ms, Result{Request: "ok", Host: "p", Outcome: OK, Finished: true, Role: Primary})
	rig.failWrites(breakerThreshold-1, Reset)
	rig.request("w", atMostOnce)
	rig.wantSend("p")
}

// A primary whose answers are lost still passes probes. The breaker closes and opens again, and stays open longer each
// time.
func TestBreakerStaysOpenWhenPrimaryLosesAnswers(t *testing.T) {
	rig := newRig(t, baseSettings())
	var lost []int
	id := 256
	for range 6 {
		sends := 0
		for range 40 {
			id++
			requestID := RequestID(rune(id))
			rig.request(requestID, atMostOnce)
			sent := len(rig.sends())
			sends += sent
			if rig.advance(700 * ms); sent > 0 {
				rig.advance(1300*ms, Result{Request: requestID, Host: "p", Outcome: Timeout, Finished: true, Latency: 2 * time.Second})
			}
			rig.probeReport(ms, "p", Primary, 0)
		}
		lost = append(lost, sends)
	}
	if lost[0] < breakerThreshold || lost[5] > 20 {
		t.Errorf("writes lost of 40 in each round: %v", lost)
	}
}

func TestLateReportDoesNotOverrideNewerAnswer(t *testing.T) {
	rig := newRig(t, baseSettings())
	rig.request("w", atMostOnce).advance(10*ms, Result{Request: "w", Host: "p", Outcome: OK, Finished: true, Role: Primary})
	rig.probeReport(10*ms, "a", Primary, time.Second).request("w2", atMostOnce)
	rig.wantSend("p")

	// Nor does it bring back a primary that has since reported to be a replica.
	rig = newRig(t, baseSettings())
	rig.request("x", atMostOnce).advance(10*ms, Result{Request: "x", Host: "p", Outcome: Miss, Role: Replica})
	rig.probeReport(10*ms, "p", Primary, time.Second).request("y", atMostOnce)
	rig.wantSend()
}

func TestRejectedWriteIsRetriedOnceAtNewPrimary(t *testing.T) {
	rig := newRig(t, baseSettings())
	rig.request("w", atMostOnce)
	rig.probeReport(10*ms, "a", Primary, 0)
	rig.advance(ms, Result{Request: "w", Host: "p", Outcome: Miss, Role: Replica})
	rig.wantSend("a")
	rig.advance(ms, Result{Request: "w", Attempt: 1, Host: "a", Outcome: Miss, Role: Replica})
	rig.wantSend()
	rig.wantFinal("w", 1, 0)
}

// A read sent late in its aim times out early, which is not counted as a failure of the primary.
func TestShortTimeoutsDoNotOpenBreaker(t *testing.T) {
	rig := newRig(t, baseSettings())
	for i := range breakerThreshold {
		id := RequestID(rune('A' + i))
		rig.request(id, latest).advance(50*ms, Result{Request: id, Host: "p", Outcome: Timeout, Latency: 50 * ms, Finished: true})
	}
	rig.request("w", atMostOnce)
	rig.wantSend("p")
}

// A paused process cannot read answers, so its pauses do not count towards the aim of an outstanding attempt.
func TestProcessPauseIsNotAHostFailure(t *testing.T) {
	rig := newRig(t, baseSettings())
	rig.request("w", atMostOnce).wantSend("p")
	rig.advance(100 * ms)
	rig.advance(600*ms, ProcessPaused{Total: 590 * ms})
	if p := rig.router.hosts["p"]; p.failures != 0 || p.strain > 0 {
		t.Errorf("%d failures, strain %.2f, after a process pause", p.failures, p.strain)
	}
	rig.advance(380 * ms)
	if h := rig.router.hosts["p"]; h.failures != 0 {
		t.Error("counted as a failure before the aim has passed")
	}
	rig.advance(20 * ms)
	if h := rig.router.hosts["p"]; h.failures != 1 {
		t.Errorf("%d failures, though the aim has passed", h.failures)
	}
	rig.advance(0, ProbeResult{Host: "p", Outcome: NotSent})
	if rig.router.probeLoss != 0 {
		t.Error("a probe that was not sent counts as lost")
	}
}

// If the list names no primaries, a router holds writes until probes have found the primary.
func TestUnknownPrimaryIsProbedFirst(t *testing.T) {
	set := baseSettings()
	set.ListRole = ListRoleNone
	rig := newRig(t, set).request("w", atMostOnce)
	rig.wantSend()
	rig.wantFinal("w", 0, 0)
	rig.probeReport(5*ms, "b", Primary, 0)
	rig.wantSend("b")
}

// Some requests fail on every host. Each gets two attempts and counts as one failure, so it neither opens the breaker
// nor excludes members.
func TestFailingRequestIsNotAHostFailure(t *testing.T) {
	rig := newRig(t, baseSettings())
	for i := range breakerThreshold - 1 {
		id, n := RequestID(rune('A'+i)), 0
		for rig.request(id, deduplicated); len(rig.sends()) > 0; n++ {
			rig.advance(5*ms, Result{Request: id, Attempt: n, Host: "p", Outcome: Error, Latency: 5 * ms, Role: Primary})
		}
		if n != 2 {
			t.Fatalf("%d attempts", n)
		}
		rig.wantFinal(id, 0, 1)
	}
	rig.advance(0, ProbeResult{Host: "p"}).request("w", atMostOnce)
	rig.wantSend("p")

	rig = newRig(t, baseSettings()).request("r", loose)
	first := rig.sends()[0]
	rig.advance(5*ms, Result{Request: "r", Host: first, Outcome: Error, Latency: 5 * ms})
	second := rig.sends()[0]
	rig.advance(5*ms, Result{Request: "r", Attempt: 1, Host: second, Outcome: Error, Latency: 5 * ms})
	rig.wantFinal("r", 1, 0)
	if f, s := rig.router.hosts[first].failures, rig.router.hosts[second].failures; first == second || f != 1 || s != 0 {
		t.Errorf("%d failures counted at %s, %d at %s", f, first, s, second)
	}
}

// Hosts may serve requests while probes fail, so failed probes alone do not open a breaker.
func TestFailedProbesAloneDoNotOpenBreaker(t *testing.T) {
	rig := newRig(t, baseSettings())
	for range 3 * breakerThreshold {
		rig.advance(300*ms, ProbeResult{Host: "p", Outcome: Timeout})
	}
	rig.request("w", atMostOnce)
	rig.wantSend("p")
}

// Hosts may serve requests while their probes fail. After one failed request, failed probes do not open the breaker if
// those of healthy hosts fail as well. An open breaker lets a request through, as no probe can close it.
func TestLostProbesDoNotOpenOrHoldBreaker(t *testing.T) {
	rig := newRig(t, baseSettings())
	for range 20 {
		rig.advance(300*ms, ProbeResult{Host: "a", Outcome: Timeout}, ProbeResult{Host: "p", Outcome: Timeout})
	}
	rig.failWrites(1, Error)
	for range 3 * breakerThreshold {
		rig.advance(250*ms, ProbeResult{Host: "p", Outcome: Timeout})
	}
	rig.request("w", atMostOnce)
	rig.wantSend("p")
	rig.failWrites(breakerThreshold-1, Error).request("w2", atMostOnce)
	rig.wantSend()
	rig.advance(5*suspectProbeInterval).request("w3", atMostOnce)
	rig.wantSend("p")
}
