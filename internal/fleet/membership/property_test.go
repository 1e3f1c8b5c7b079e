package membership

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// What the design note states. A dead member is out of every view, and a live one back in, within bound of the last
// fault; a live member that others reach by some way is never out of a view for longer than absent.
func bound(n int) time.Duration {
	return 20*time.Second + time.Duration(5*math.Log10(float64(n)))*time.Second
}

const absent = 4 * time.Second

// Kills, returns, stops, cuts and partitions in any order: when they are over, every view becomes that of who runs.
func TestViewsBecomeEqual(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(3, 24).Draw(r, "n")
		w := joined(r, rapid.Uint64().Draw(r, "seed"), n)
		w.loss = rapid.Float64Range(0, 0.3).Draw(r, "loss")
		for range rapid.IntRange(1, 8).Draw(r, "faults") {
			i := rapid.IntRange(0, n-1).Draw(r, "who")
			switch rapid.SampledFrom([]string{"kill", "return", "early", "stop", "cut", "split", "leave"}).Draw(r, "fault") {
			case "kill":
				w.kill(i)
			case "return":
				w.kill(i)
				w.start(i, fmt.Sprintf("n%03d", i), w.now)
			case "early":
				w.kill(i)
				w.start(i, fmt.Sprintf("n%03d", i), w.now-time.Hour)
			case "stop":
				if !w.nodes[i].down && !w.nodes[i].stopped {
					w.stop(i, time.Duration(rapid.IntRange(100, 5000).Draw(r, "ms"))*time.Millisecond)
				}
			case "cut":
				j := rapid.IntRange(0, n-1).Draw(r, "to")
				w.cut = func(from, to int) bool { return from == i && to == j }
			case "split":
				k := rapid.IntRange(1, n-1).Draw(r, "side")
				w.cut = func(from, to int) bool { return (from < k) != (to < k) }
			case "leave":
				if !w.nodes[i].down && !w.nodes[i].stopped {
					w.nodes[i].m.Leave(w.now)
					w.after(w.nodes[i])
					w.run(time.Second)
					w.kill(i)
				}
			}
			w.run(time.Duration(rapid.IntRange(0, 8000).Draw(r, "wait")) * time.Millisecond)
		}
		w.cut, w.loss = nil, 0
		w.run(5 * time.Second) // the last stop is over
		if len(w.up()) == 0 {
			return
		}
		if w.nodes[0].down && w.nodes[1].down { // somebody has to be where newcomers look
			w.start(0, "n000", w.now)
		}
		if !w.until(w.now+bound(n), func() bool { return w.agreed(len(w.up())) }) {
			r.Fatalf("after %v: %s", bound(n), w.views())
		}
	})
}

// views tells what each process sees, for failures.
func (w *network) views() (s string) {
	for _, n := range w.up() {
		s += fmt.Sprintf("\n%s %d:", n.name, n.m.participation)
		for _, o := range w.up() {
			if !n.sees(o.name) {
				e := Entry{}
				if x := n.m.members[o.name]; x != nil {
					e = x.Entry
				}
				s += fmt.Sprintf(" -%s(%v)", o.name, e.State)
			}
		}
		s += fmt.Sprintf(" of %d", len(n.m.View().Members))
	}
	return s
}

// Loss and one-way cuts alone kill nobody for long, whatever the size.
func TestWhoCanBeReachedStays(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.SampledFrom([]int{3, 5, 8, 16, 30}).Draw(r, "n")
		if rapid.IntRange(0, 99).Draw(r, "large") == 99 {
			n = 200
		}
		w := joined(r, rapid.Uint64().Draw(r, "seed"), n)
		w.loss = rapid.Float64Range(0, 0.2).Draw(r, "loss")
		// Each process is cut off from, or cannot reach, one other: a quorum can still reach it.
		w.cut = func(from, to int) bool { return n > 3 && to == (from+1)%n }
		out := map[string]time.Duration{}
		end := w.now + 8*time.Second
		for w.now < end {
			w.run(100 * time.Millisecond)
			for _, a := range w.nodes {
				for _, b := range w.nodes {
					if k := a.name + b.name; a.sees(b.name) {
						delete(out, k)
					} else if out[k] == 0 {
						out[k] = w.now
					} else if w.now-out[k] > absent {
						r.Fatalf("%s has not seen %s for %v", a.name, b.name, w.now-out[k])
					}
				}
			}
		}
	})
}

// A member's messages do not grow with the fleet.
func TestMessagesDoNotGrow(t *testing.T) {
	rate := func(n int) float64 {
		w := joined(t, 3, n)
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
	t.Logf("messages a second: %.1f at 8, %.1f at 150", small, large)
	require.Less(t, large, 1.2*small)
}
