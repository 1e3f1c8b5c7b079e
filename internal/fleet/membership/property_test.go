package membership

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// convergenceBound is the design's limit for a fleet of n: within this time after the last fault, a dead member is out
// of every view and a live one back in it.
func convergenceBound(n int) time.Duration {
	return 20*time.Second + time.Duration(5*math.Log10(float64(n)))*time.Second
}

// maxAbsence is the design's limit for how long a reachable live member may be missing from a view.
const maxAbsence = 4 * time.Second

// After kills, restarts, pauses, cuts and partitions in any order, every view converges to the running processes.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(3, 24).Draw(r, "n")
		w := joinedFleet(r, rapid.Uint64().Draw(r, "seed"), n)
		w.loss = rapid.Float64Range(0, 0.3).Draw(r, "loss")
		for range rapid.IntRange(1, 8).Draw(r, "faults") {
			i := rapid.IntRange(0, n-1).Draw(r, "who")
			switch rapid.SampledFrom([]string{"kill", "restart", "restart with clock set back", "pause", "cut", "partition", "leave"}).Draw(r, "fault") {
			case "kill":
				w.kill(i)
			case "restart":
				w.kill(i)
				w.start(i, fmt.Sprintf("n%03d", i), w.now)
			case "restart with clock set back":
				w.kill(i)
				w.start(i, fmt.Sprintf("n%03d", i), w.now-time.Hour)
			case "pause":
				if !w.nodes[i].killed && !w.nodes[i].paused {
					w.pause(i, time.Duration(rapid.IntRange(100, 5000).Draw(r, "ms"))*time.Millisecond)
				}
			case "cut":
				j := rapid.IntRange(0, n-1).Draw(r, "to")
				w.cut = func(from, to int) bool { return from == i && to == j }
			case "partition":
				k := rapid.IntRange(1, n-1).Draw(r, "side")
				w.cut = func(from, to int) bool { return (from < k) != (to < k) }
			case "leave":
				if !w.nodes[i].killed && !w.nodes[i].paused {
					w.nodes[i].machine.Leave(w.now)
					w.flush(w.nodes[i])
					w.run(time.Second)
					w.kill(i)
				}
			}
			w.run(time.Duration(rapid.IntRange(0, 8000).Draw(r, "wait")) * time.Millisecond)
		}
		w.cut, w.loss = nil, 0
		w.run(5 * time.Second) // until the last pause has ended
		if len(w.running()) == 0 {
			return
		}
		if w.nodes[0].killed && w.nodes[1].killed { // one of the seeds must run
			w.start(0, "n000", w.now)
		}
		if !w.runUntil(w.now+convergenceBound(n), func() bool { return w.viewsAgree(len(w.running())) }) {
			r.Fatalf("after %v: %s", convergenceBound(n), w.describeViews())
		}
	})
}

// describeViews lists the members that each process does not see, for failure messages.
func (w *network) describeViews() (s string) {
	for _, n := range w.running() {
		s += fmt.Sprintf("\n%s %d:", n.name, n.machine.participation)
		for _, other := range w.running() {
			if !n.sees(other.name) {
				entry := Entry{}
				if known := n.machine.members[other.name]; known != nil {
					entry = known.Entry
				}
				s += fmt.Sprintf(" -%s(%v)", other.name, entry.State)
			}
		}
		s += fmt.Sprintf(" of %d", len(n.machine.View().Members))
	}
	return s
}

// Packet loss and one-way cuts alone do not keep a live member out of views for long, whatever the fleet's size.
func TestReachableMembersStayInViews(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.SampledFrom([]int{3, 5, 8, 16, 30}).Draw(r, "n")
		if rapid.IntRange(0, 99).Draw(r, "large") == 99 {
			n = 200
		}
		w := joinedFleet(r, rapid.Uint64().Draw(r, "seed"), n)
		w.loss = rapid.Float64Range(0, 0.2).Draw(r, "loss")
		// Each process cannot reach one other, and one other cannot reach it: a quorum still can.
		w.cut = func(from, to int) bool { return n > 3 && to == (from+1)%n }
		missingSince := map[string]time.Duration{}
		end := w.now + 8*time.Second
		for w.now < end {
			w.run(100 * time.Millisecond)
			for _, a := range w.nodes {
				for _, b := range w.nodes {
					if k := a.name + b.name; a.sees(b.name) {
						delete(missingSince, k)
					} else if missingSince[k] == 0 {
						missingSince[k] = w.now
					} else if w.now-missingSince[k] > maxAbsence {
						r.Fatalf("%s has not seen %s for %v", a.name, b.name, w.now-missingSince[k])
					}
				}
			}
		}
	})
}

// The rate of messages that a member sends does not grow with the fleet.
func TestMessageRateIsIndependentOfFleetSize(t *testing.T) {
	rate := func(n int) float64 {
		w := joinedFleet(t, 3, n)
		w.run(5 * time.Second)
		clear(w.sent)
		clear(w.bytes)
		w.run(10 * time.Second)
		sent := 0
		for _, s := range w.sent {
			sent += s
		}
		return float64(sent) / float64(n) / 10
	}
	small, large := rate(8), rate(150)
	t.Logf("messages per second: %.1f at 8 members, %.1f at 150", small, large)
	require.Less(t, large, 1.2*small)
}
