package budget

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	testLease = 2 * time.Second
	testDrift = 0.01
	testKey   = "db"
)

// world is holders whose clocks drift, and the messages between them.
type world struct {
	names   []string
	ms      []*Machine
	now     time.Duration // the true time
	msgs    []Send
	whole   int
	session uint64
}

func newWorld(n, whole int) *world {
	w := &world{whole: whole, now: time.Hour}
	for i := range n {
		w.names = append(w.names, fmt.Sprintf("n%d", i))
	}
	for i := range n {
		w.ms = append(w.ms, nil)
		w.start(i)
	}
	return w
}

// clock is what gateway i reads: each runs at a rate of its own, within the drift.
func (w *world) clock(i int) time.Duration {
	rate := []float64{1 + testDrift, 1 - testDrift, 1}[i%3]
	return time.Duration(float64(w.now) * rate)
}

func (w *world) start(i int) {
	w.session++
	w.ms[i] = New(Config{Name: w.names[i], Holders: w.names, Total: w.whole, Lease: testLease, Drift: testDrift, Session: w.session, Seed: 7}, w.clock(i))
	w.ms[i].SetLive(w.names)
}

func (w *world) collect(i int) {
	out, _ := w.ms[i].Take()
	w.msgs = append(w.msgs, out...)
}

func (w *world) index(name string) int { return slices.Index(w.names, name) }

func (w *world) deliver(k int) {
	s := w.msgs[k]
	i := w.index(s.To)
	w.ms[i].Receive(w.clock(i), s.Message)
	w.collect(i)
}

func (w *world) tick(d time.Duration) {
	w.now += d
	for i, m := range w.ms {
		m.Tick(w.clock(i))
		w.collect(i)
	}
}

// sum is what all may use at this moment.
func (w *world) sum() (n int) {
	for i, m := range w.ms {
		n += m.Allowed(w.clock(i), testKey, 0)
	}
	return n
}

// settle delivers all messages until there are none.
func (w *world) settle() {
	for n := 0; len(w.msgs) > 0 && n < 10_000; n++ {
		s := w.msgs[0]
		w.msgs = w.msgs[1:]
		i := w.index(s.To)
		w.ms[i].Receive(w.clock(i), s.Message)
		w.collect(i)
	}
}

// quieten lets the time pass in which nobody may lend.
func (w *world) quieten() { w.tick(lenderTerm(testLease, testDrift) + 2*siblingDetectMax) }

func (m *Machine) clone() *Machine {
	c := *m
	c.rng = rand.New(rand.NewPCG(7, m.serial)) // a function of the state
	c.emptyUntil, c.accounts, c.order = map[string]time.Duration{}, map[string]*account{}, nil
	for k, v := range m.emptyUntil {
		c.emptyUntil[k] = v
	}
	for _, a := range m.order {
		b := *a
		b.lent, b.borrowed = slices.Clone(a.lent), slices.Clone(a.borrowed)
		b.requests, b.renewals, b.refused = slices.Clone(a.requests), slices.Clone(a.renewals), maps.Clone(a.refused)
		c.accounts[b.key] = &b
		c.order = append(c.order, &b)
	}
	c.out, c.granted = nil, nil
	return &c
}

func (w *world) clone() *world {
	c := *w
	c.ms, c.msgs = nil, slices.Clone(w.msgs)
	for _, m := range w.ms {
		c.ms = append(c.ms, m.clone())
	}
	return &c
}

// print is a state as text, equal for equal ones.
func (w *world) print() string {
	var b strings.Builder
	fmt.Fprint(&b, w.now, w.session)
	for _, m := range w.ms {
		fmt.Fprint(&b, "|", m.now, m.lendAfter, m.serial, m.cfg.Session)
		for _, a := range m.order {
			fmt.Fprint(&b, *a)
		}
	}
	msgs := []string{}
	for _, s := range w.msgs {
		msgs = append(msgs, fmt.Sprint(s))
	}
	sort.Strings(msgs)
	fmt.Fprint(&b, msgs)
	return b.String()
}

// Every order of deliveries, losses, doubles, crashes and lapses of three gateways of which two want what others have,
// to a depth: at no state do the parts add up to more than the whole.
func TestExhaustiveSearch(t *testing.T) {
	depth := 5
	if testing.Short() {
		depth = 4
	}
	w := newWorld(3, 9)
	w.quieten()
	w.msgs = nil
	for i := range 2 {
		w.ms[i].SetDemand(w.clock(i), testKey, 3, 2)
		w.collect(i)
	}
	require.NotEmpty(t, w.msgs)
	seen := map[string]int{}
	states, lent := 0, 0
	var search func(w *world, left int, path string)
	search = func(w *world, left int, path string) {
		if n := w.sum(); n > w.whole {
			t.Fatalf("%d of %d in use after%s\n%s", n, w.whole, path, w.print())
		}
		for _, m := range w.ms {
			if _, l, _ := m.Totals(); l > 0 {
				lent++
			}
		}
		p := w.print()
		if seen[p] >= left+1 {
			return
		}
		seen[p] = left + 1
		states++
		if left == 0 {
			return
		}
		for k, s := range w.msgs {
			what := fmt.Sprintf(" %d>%s:%s", s.Message.Kind, s.To, s.Message.From)
			c := w.clone()
			c.deliver(k)
			c.msgs = slices.Delete(c.msgs, k, k+1)
			search(c, left-1, path+what)
			if left >= 2 {
				c = w.clone() // it will come again
				c.deliver(k)
				search(c, left-1, path+what+"(kept)")
			}
		}
		c := w.clone()
		c.tick(testLease / 2)
		search(c, left-1, path+" tick")
		for i := range w.ms {
			c := w.clone()
			c.start(i)
			search(c, left-1, path+fmt.Sprintf(" crash%d", i))
		}
	}
	search(w, depth, "")
	t.Logf("%d states", states)
	assert.Greater(t, states, 1000)
	assert.Positive(t, lent, "something was lent in some of them")
}

// The same at random with more gateways, steps of time of any length, stops, upgrades and partitions.
func TestSumNeverExceedsTheWhole(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(r, "n")
		w := newWorld(n, rapid.IntRange(1, 40).Draw(r, "whole"))
		stopped := make([]bool, n)
		for range rapid.IntRange(10, 80).Draw(r, "steps") {
			i := rapid.IntRange(0, n-1).Draw(r, "who")
			switch rapid.SampledFrom([]string{"need", "need", "deliver", "deliver", "deliver", "all", "lose", "again", "tick", "pass", "crash", "stop"}).Draw(r, "what") {
			case "need":
				if !stopped[i] {
					w.ms[i].SetDemand(w.clock(i), testKey, rapid.IntRange(0, 10).Draw(r, "use"), rapid.IntRange(0, 20).Draw(r, "wait"))
					w.collect(i)
				}
			case "deliver", "again":
				if len(w.msgs) > 0 {
					k := rapid.IntRange(0, len(w.msgs)-1).Draw(r, "msg")
					if !stopped[w.index(w.msgs[k].To)] {
						w.deliver(k)
						if rapid.Bool().Draw(r, "keep") {
							w.msgs = slices.Delete(w.msgs, k, k+1)
						}
					}
				}
			case "all":
				for j := range n {
					stopped[j] = false
				}
				w.settle()
			case "lose":
				if len(w.msgs) > 0 {
					w.msgs = w.msgs[1:]
				}
			case "tick":
				w.now += time.Duration(rapid.IntRange(1, 3000).Draw(r, "ms")) * time.Millisecond
				for j, m := range w.ms {
					if !stopped[j] {
						m.Tick(w.clock(j))
						w.collect(j)
					}
				}
			case "pass":
				w.now += time.Duration(rapid.IntRange(1, 8000).Draw(r, "ms")) * time.Millisecond // nobody's timer fires
			case "crash":
				w.start(i)
				stopped[i] = false
			case "stop":
				stopped[i] = !stopped[i]
			}
			if got := w.sum(); got > w.whole {
				r.Fatalf("%d of %d", got, w.whole)
			}
		}
	})
}

func TestHomesAddUp(t *testing.T) {
	for n := 1; n < 20; n++ {
		w := newWorld(n, 1)
		for whole := range 50 {
			for _, k := range []string{"a", "b", "s-0001"} {
				sum, least, most := 0, whole, 0
				for _, name := range w.names {
					h := HomeShare(w.names, whole, name, k)
					sum, least, most = sum+h, min(least, h), max(most, h)
				}
				require.Equal(t, whole, sum)
				require.LessOrEqual(t, most-least, 1)
			}
		}
	}
	assert.Zero(t, HomeShare([]string{"a"}, 5, "b", "k"))
}

// jain is Jain's index of fairness: 1 is even.
func jain(x []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, v := range x {
		sum, squares = sum+v, squares+v*v
	}
	return sum * sum / (float64(len(x)) * squares)
}

// One gateway is asked for ten times as much as the others: it gets what they do not need, within a second.
func TestTheBusyOneGetsWhatOthersDoNotNeed(t *testing.T) {
	w := newWorld(8, 64)
	w.quieten()
	use := make([]int, 8)
	want := []int{40, 4, 4, 4, 4, 4, 4, 4}
	for range 20 { // 50 ms each
		for i, m := range w.ms {
			use[i] = min(want[i], m.Allowed(w.clock(i), testKey, 0))
			m.SetDemand(w.clock(i), testKey, use[i], want[i]-use[i])
			w.collect(i)
		}
		w.settle()
		w.tick(50 * time.Millisecond)
	}
	t.Logf("in use %v", use)
	assert.GreaterOrEqual(t, use[0], 24, "8 at home, and of the 28 that others have over all but what they never lend")
	served := make([]float64, 8)
	for i := range use {
		served[i] = float64(use[i]) / float64(want[i])
	}
	t.Logf("Jain's index of what each got of what it wants: %.3f, the worst %.2f", jain(served), slices.Min(served))
	assert.Greater(t, jain(served), 0.9)
	assert.LessOrEqual(t, w.sum(), 64)

	// The load moves: what was borrowed goes back.
	want[0], want[5] = 2, 40
	for range 160 {
		for i, m := range w.ms {
			use[i] = min(want[i], m.Allowed(w.clock(i), testKey, 0))
			m.SetDemand(w.clock(i), testKey, use[i], want[i]-use[i])
			w.collect(i)
		}
		w.settle()
		w.tick(50 * time.Millisecond)
	}
	assert.GreaterOrEqual(t, use[5], 24, "%v", use)
	_, _, borrowed := w.ms[0].Totals()
	assert.Zero(t, borrowed)
}

// Two that want all there is: who comes second gets its half when the loans of the first end, not never.
func TestTwoBusyOnesShare(t *testing.T) {
	w := newWorld(4, 32)
	w.quieten()
	want := []int{30, 0, 1, 1}
	run := func(d time.Duration) {
		for end := w.now + d; w.now < end; {
			for i, m := range w.ms {
				use := min(want[i], m.Allowed(w.clock(i), testKey, 0))
				m.SetDemand(w.clock(i), testKey, use, want[i]-use)
				w.collect(i)
			}
			w.settle()
			w.tick(50 * time.Millisecond)
			require.LessOrEqual(t, w.sum(), 32)
		}
	}
	run(2 * time.Second)
	first := w.ms[0].Allowed(w.clock(0), testKey, 0)
	want[1] = 30
	run(5 * testLease)
	a, b := w.ms[0].Allowed(w.clock(0), testKey, 0), w.ms[1].Allowed(w.clock(1), testKey, 0)
	t.Logf("the first had %d; then %d and %d", first, a, b)
	assert.Greater(t, first, a)
	assert.InDelta(t, a, b, 6)
}

// A partition for longer than a lease: each side lives with what it holds, and loans across it lapse on both sides.
func TestLoansAcrossAPartitionLapse(t *testing.T) {
	w := newWorld(2, 8)
	w.quieten()
	w.ms[1].SetDemand(w.clock(1), testKey, 4, 2) // its clock is slow, that of the lender fast
	w.collect(1)
	w.settle()
	had := w.ms[1].Allowed(w.clock(1), testKey, 0)
	require.Greater(t, had, 4)
	assert.Equal(t, had, w.ms[1].Allowed(w.clock(1), testKey, w.clock(1)+testLease/2), "for a use that ends within the lease")
	assert.Equal(t, 4, w.ms[1].Allowed(w.clock(1), testKey, w.clock(1)+testLease), "and not for one that ends after it")
	for range 1500 {
		w.tick(2 * time.Millisecond)
		w.msgs = nil
		require.LessOrEqual(t, w.sum(), 8)
	}
	assert.Equal(t, 4, w.ms[0].Allowed(w.clock(0), testKey, 0))
	assert.Equal(t, 4, w.ms[1].Allowed(w.clock(1), testKey, 0))
}

// A loan in use goes on without an end; it is not there any more after the process stood still, before any timer.
func TestStoodStillBeyondTheLease(t *testing.T) {
	w := newWorld(2, 8)
	w.quieten()
	w.ms[0].SetDemand(w.clock(0), testKey, 4, 2)
	w.collect(0)
	w.settle()
	had := w.ms[0].Allowed(w.clock(0), testKey, 0)
	require.Greater(t, had, 4)
	for range 100 {
		w.ms[0].SetDemand(w.clock(0), testKey, had, 0)
		w.collect(0)
		w.tick(100 * time.Millisecond)
		w.settle()
		require.Equal(t, had, w.ms[0].Allowed(w.clock(0), testKey, 0), "it is extended in time")
	}
	w.now += 3 * testLease
	assert.Equal(t, 4, w.ms[0].Allowed(w.clock(0), testKey, 0))
	assert.Less(t, w.ms[0].Allowed(w.clock(0), testKey, w.clock(0)+time.Hour), 5)
}

func TestUpgradeSharesTheHome(t *testing.T) {
	w := newWorld(2, 9)
	w.quieten()
	next := New(Config{Name: "n0", Holders: w.names, Total: 9, Lease: testLease, Drift: testDrift, Session: 99, Seed: 1}, w.clock(0))
	w.ms[0].SetSibling(w.clock(0), true, true)
	next.SetSibling(w.clock(0), true, false)
	for range 12 {
		assert.LessOrEqual(t, w.sum()+next.Allowed(w.clock(0), testKey, 0), 9)
		w.tick(time.Second)
	}
	w.ms[0].SetHomeDisabled(w.clock(0), true)
	next.SetSibling(w.clock(0), false, false)
	assert.Equal(t, 9, w.sum()+next.Allowed(w.clock(0), testKey, 0))
}
