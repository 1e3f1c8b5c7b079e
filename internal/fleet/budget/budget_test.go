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

// simulation holds machines whose clocks drift, and the messages between them.
type simulation struct {
	names       []string
	machines    []*Machine
	now         time.Duration // true time
	inFlight    []Send
	total       int
	lastSession uint64
}

func newSimulation(n, total int) *simulation {
	w := &simulation{total: total, now: time.Hour}
	for i := range n {
		w.names = append(w.names, fmt.Sprintf("n%d", i))
	}
	for i := range n {
		w.machines = append(w.machines, nil)
		w.start(i)
	}
	return w
}

// clock returns the time on gateway i's clock. Clocks run at different rates, within the drift.
func (w *simulation) clock(i int) time.Duration {
	rate := []float64{1 + testDrift, 1 - testDrift, 1}[i%3]
	return time.Duration(float64(w.now) * rate)
}

func (w *simulation) start(i int) {
	w.lastSession++
	w.machines[i] = New(Config{Name: w.names[i], Holders: w.names, Total: w.total, Lease: testLease, Drift: testDrift, Session: w.lastSession, Seed: 7}, w.clock(i))
	w.machines[i].SetLive(w.names)
}

func (w *simulation) collect(i int) {
	out, _ := w.machines[i].Take()
	w.inFlight = append(w.inFlight, out...)
}

func (w *simulation) index(name string) int { return slices.Index(w.names, name) }

// deliver delivers one message in flight without removing it.
func (w *simulation) deliver(index int) {
	s := w.inFlight[index]
	i := w.index(s.To)
	w.machines[i].Receive(w.clock(i), s.Message)
	w.collect(i)
}

func (w *simulation) tick(d time.Duration) {
	w.now += d
	for i, m := range w.machines {
		m.Tick(w.clock(i))
		w.collect(i)
	}
}

// allowedTotal returns how many units all gateways together may use now.
func (w *simulation) allowedTotal() (n int) {
	for i, m := range w.machines {
		n += m.Allowed(w.clock(i), testKey, 0)
	}
	return n
}

// deliverAll delivers messages until none are in flight.
func (w *simulation) deliverAll() {
	for n := 0; len(w.inFlight) > 0 && n < 10_000; n++ {
		s := w.inFlight[0]
		w.inFlight = w.inFlight[1:]
		i := w.index(s.To)
		w.machines[i].Receive(w.clock(i), s.Message)
		w.collect(i)
	}
}

// passLendAfter advances the time until all machines may lend.
func (w *simulation) passLendAfter() { w.tick(lenderTerm(testLease, testDrift) + 2*siblingDetectMax) }

func (m *Machine) clone() *Machine {
	c := *m
	c.rng = rand.New(rand.NewPCG(7, m.serial)) // seeded by the state, so that equal states continue equally
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

func (w *simulation) clone() *simulation {
	c := *w
	c.machines, c.inFlight = nil, slices.Clone(w.inFlight)
	for _, m := range w.machines {
		c.machines = append(c.machines, m.clone())
	}
	return &c
}

// print returns the state as text, equal for equal states.
func (w *simulation) print() string {
	var b strings.Builder
	fmt.Fprint(&b, w.now, w.lastSession)
	for _, m := range w.machines {
		fmt.Fprint(&b, "|", m.now, m.lendAfter, m.serial, m.cfg.Session)
		for _, a := range m.order {
			fmt.Fprint(&b, *a)
		}
	}
	messages := []string{}
	for _, s := range w.inFlight {
		messages = append(messages, fmt.Sprint(s))
	}
	sort.Strings(messages)
	fmt.Fprint(&b, messages)
	return b.String()
}

// Searches every order of deliveries, losses, duplicates, crashes and lease expiries, to a depth, for three gateways of
// which two need more than their home shares: in no state may the shares add up to more than the total.
func TestExhaustiveSearch(t *testing.T) {
	depth := 5
	if testing.Short() {
		depth = 4
	}
	w := newSimulation(3, 9)
	w.passLendAfter()
	w.inFlight = nil
	for i := range 2 {
		w.machines[i].SetDemand(w.clock(i), testKey, 3, 2)
		w.collect(i)
	}
	require.NotEmpty(t, w.inFlight)
	seen := map[string]int{}
	states, statesWithLeases := 0, 0
	var search func(w *simulation, depthLeft int, path string)
	search = func(w *simulation, depthLeft int, path string) {
		if n := w.allowedTotal(); n > w.total {
			t.Fatalf("%d of %d in use after%s\n%s", n, w.total, path, w.print())
		}
		for _, m := range w.machines {
			if _, lent, _ := m.Totals(); lent > 0 {
				statesWithLeases++
			}
		}
		key := w.print()
		if seen[key] >= depthLeft+1 {
			return
		}
		seen[key] = depthLeft + 1
		states++
		if depthLeft == 0 {
			return
		}
		for k, s := range w.inFlight {
			step := fmt.Sprintf(" %d>%s:%s", s.Message.Kind, s.To, s.Message.From)
			c := w.clone()
			c.deliver(k)
			c.inFlight = slices.Delete(c.inFlight, k, k+1)
			search(c, depthLeft-1, path+step)
			if depthLeft >= 2 {
				c = w.clone() // the message remains in flight
				c.deliver(k)
				search(c, depthLeft-1, path+step+"(kept)")
			}
		}
		c := w.clone()
		c.tick(testLease / 2)
		search(c, depthLeft-1, path+" tick")
		for i := range w.machines {
			c := w.clone()
			c.start(i)
			search(c, depthLeft-1, path+fmt.Sprintf(" crash%d", i))
		}
	}
	search(w, depth, "")
	t.Logf("%d states", states)
	assert.Greater(t, states, 1000)
	assert.Positive(t, statesWithLeases, "some states have leases")
}

// The same property in random runs with more gateways, time steps of any length, pauses, crashes and lost messages.
func TestSumNeverExceedsTheTotal(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(r, "n")
		w := newSimulation(n, rapid.IntRange(1, 40).Draw(r, "total"))
		paused := make([]bool, n)
		for range rapid.IntRange(10, 80).Draw(r, "steps") {
			i := rapid.IntRange(0, n-1).Draw(r, "who")
			switch rapid.SampledFrom([]string{"demand", "demand", "deliver", "deliver", "deliver", "deliver all", "lose", "deliver again", "tick", "pass without timers", "crash", "pause or resume"}).Draw(r, "what") {
			case "demand":
				if !paused[i] {
					w.machines[i].SetDemand(w.clock(i), testKey, rapid.IntRange(0, 10).Draw(r, "use"), rapid.IntRange(0, 20).Draw(r, "wait"))
					w.collect(i)
				}
			case "deliver", "deliver again":
				if len(w.inFlight) > 0 {
					index := rapid.IntRange(0, len(w.inFlight)-1).Draw(r, "msg")
					if !paused[w.index(w.inFlight[index].To)] {
						w.deliver(index)
						if rapid.Bool().Draw(r, "keep") {
							w.inFlight = slices.Delete(w.inFlight, index, index+1)
						}
					}
				}
			case "deliver all":
				for j := range n {
					paused[j] = false
				}
				w.deliverAll()
			case "lose":
				if len(w.inFlight) > 0 {
					w.inFlight = w.inFlight[1:]
				}
			case "tick":
				w.now += time.Duration(rapid.IntRange(1, 3000).Draw(r, "ms")) * time.Millisecond
				for j, m := range w.machines {
					if !paused[j] {
						m.Tick(w.clock(j))
						w.collect(j)
					}
				}
			case "pass without timers":
				w.now += time.Duration(rapid.IntRange(1, 8000).Draw(r, "ms")) * time.Millisecond // without any timer firing
			case "crash":
				w.start(i)
				paused[i] = false
			case "pause or resume":
				paused[i] = !paused[i]
			}
			if allowed := w.allowedTotal(); allowed > w.total {
				r.Fatalf("%d of %d", allowed, w.total)
			}
		}
	})
}

func TestHomeSharesAddUp(t *testing.T) {
	for n := 1; n < 20; n++ {
		w := newSimulation(n, 1)
		for total := range 50 {
			for _, key := range []string{"a", "b", "s-0001"} {
				sum, smallest, largest := 0, total, 0
				for _, name := range w.names {
					share := HomeShare(w.names, total, name, key)
					sum, smallest, largest = sum+share, min(smallest, share), max(largest, share)
				}
				require.Equal(t, total, sum)
				require.LessOrEqual(t, largest-smallest, 1)
			}
		}
	}
	assert.Zero(t, HomeShare([]string{"a"}, 5, "b", "k"))
}

// jain returns Jain's fairness index: 1 if all values are equal.
func jain(values []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, v := range values {
		sum, squares = sum+v, squares+v*v
	}
	return sum * sum / (float64(len(values)) * squares)
}

// A gateway with ten times the demand of the others gets what they do not need within a second.
func TestBusyGatewayBorrowsUnusedUnits(t *testing.T) {
	w := newSimulation(8, 64)
	w.passLendAfter()
	inUse := make([]int, 8)
	demand := []int{40, 4, 4, 4, 4, 4, 4, 4}
	for range 20 { // 50 ms each
		for i, m := range w.machines {
			inUse[i] = min(demand[i], m.Allowed(w.clock(i), testKey, 0))
			m.SetDemand(w.clock(i), testKey, inUse[i], demand[i]-inUse[i])
			w.collect(i)
		}
		w.deliverAll()
		w.tick(50 * time.Millisecond)
	}
	t.Logf("in use %v", inUse)
	assert.GreaterOrEqual(t, inUse[0], 24, "8 at home, and the 28 units that others do not need, less their reserves")
	served := make([]float64, 8)
	for i := range inUse {
		served[i] = float64(inUse[i]) / float64(demand[i])
	}
	t.Logf("Jain's index of units in use over demand: %.3f, the worst %.2f", jain(served), slices.Min(served))
	assert.Greater(t, jain(served), 0.9)
	assert.LessOrEqual(t, w.allowedTotal(), 64)

	// The load moves to another gateway: the borrowed units must be released.
	demand[0], demand[5] = 2, 40
	for range 160 {
		for i, m := range w.machines {
			inUse[i] = min(demand[i], m.Allowed(w.clock(i), testKey, 0))
			m.SetDemand(w.clock(i), testKey, inUse[i], demand[i]-inUse[i])
			w.collect(i)
		}
		w.deliverAll()
		w.tick(50 * time.Millisecond)
	}
	assert.GreaterOrEqual(t, inUse[5], 24, "%v", inUse)
	_, _, borrowed := w.machines[0].Totals()
	assert.Zero(t, borrowed)
}

// Two gateways each need nearly the total: the second to ask must get its half when the leases of the first expire,
// which a lender that always renews would prevent.
func TestTwoBusyGatewaysShare(t *testing.T) {
	w := newSimulation(4, 32)
	w.passLendAfter()
	demand := []int{30, 0, 1, 1}
	run := func(d time.Duration) {
		for end := w.now + d; w.now < end; {
			for i, m := range w.machines {
				inUse := min(demand[i], m.Allowed(w.clock(i), testKey, 0))
				m.SetDemand(w.clock(i), testKey, inUse, demand[i]-inUse)
				w.collect(i)
			}
			w.deliverAll()
			w.tick(50 * time.Millisecond)
			require.LessOrEqual(t, w.allowedTotal(), 32)
		}
	}
	run(2 * time.Second)
	first := w.machines[0].Allowed(w.clock(0), testKey, 0)
	demand[1] = 30
	run(5 * testLease)
	firstAfter, secondAfter := w.machines[0].Allowed(w.clock(0), testKey, 0), w.machines[1].Allowed(w.clock(1), testKey, 0)
	t.Logf("the first had %d units; then the two have %d and %d", first, firstAfter, secondAfter)
	assert.Greater(t, first, firstAfter)
	assert.InDelta(t, firstAfter, secondAfter, 6)
}

// In a partition longer than a lease each side continues with what it holds, and leases across it expire on both sides.
func TestLeasesAcrossAPartitionExpire(t *testing.T) {
	w := newSimulation(2, 8)
	w.passLendAfter()
	w.machines[1].SetDemand(w.clock(1), testKey, 4, 2) // its clock runs slow, the lender's fast
	w.collect(1)
	w.deliverAll()
	before := w.machines[1].Allowed(w.clock(1), testKey, 0)
	require.Greater(t, before, 4)
	assert.Equal(t, before, w.machines[1].Allowed(w.clock(1), testKey, w.clock(1)+testLease/2), "for a use that ends within the lease")
	assert.Equal(t, 4, w.machines[1].Allowed(w.clock(1), testKey, w.clock(1)+testLease), "and not for one that ends after it")
	for range 1500 {
		w.tick(2 * time.Millisecond)
		w.inFlight = nil
		require.LessOrEqual(t, w.allowedTotal(), 8)
	}
	assert.Equal(t, 4, w.machines[0].Allowed(w.clock(0), testKey, 0))
	assert.Equal(t, 4, w.machines[1].Allowed(w.clock(1), testKey, 0))
}

// A lease in use is renewed indefinitely. After a process pause longer than the lease its units must not be counted,
// even before any timer fires.
func TestPauseLongerThanTheLease(t *testing.T) {
	w := newSimulation(2, 8)
	w.passLendAfter()
	w.machines[0].SetDemand(w.clock(0), testKey, 4, 2)
	w.collect(0)
	w.deliverAll()
	before := w.machines[0].Allowed(w.clock(0), testKey, 0)
	require.Greater(t, before, 4)
	for range 100 {
		w.machines[0].SetDemand(w.clock(0), testKey, before, 0)
		w.collect(0)
		w.tick(100 * time.Millisecond)
		w.deliverAll()
		require.Equal(t, before, w.machines[0].Allowed(w.clock(0), testKey, 0), "the lease is renewed in time")
	}
	w.now += 3 * testLease
	assert.Equal(t, 4, w.machines[0].Allowed(w.clock(0), testKey, 0))
	assert.Less(t, w.machines[0].Allowed(w.clock(0), testKey, w.clock(0)+time.Hour), 5)
}

func TestUpgradeSplitsTheHomeShare(t *testing.T) {
	w := newSimulation(2, 9)
	w.passLendAfter()
	successor := New(Config{Name: "n0", Holders: w.names, Total: 9, Lease: testLease, Drift: testDrift, Session: 99, Seed: 1}, w.clock(0))
	w.machines[0].SetSibling(w.clock(0), true, true)
	successor.SetSibling(w.clock(0), true, false)
	for range 12 {
		assert.LessOrEqual(t, w.allowedTotal()+successor.Allowed(w.clock(0), testKey, 0), 9)
		w.tick(time.Second)
	}
	w.machines[0].SetHomeDisabled(w.clock(0), true)
	successor.SetSibling(w.clock(0), false, false)
	assert.Equal(t, 9, w.allowedTotal()+successor.Allowed(w.clock(0), testKey, 0))
}
