package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/lab"
	"lilaccove/internal/load/plan"
)

const reconcilePlan = `seed: 6
groups: 2
sessions: {count: 200, follow: 30%%, after: 100 ms}
retries: {most: 2, pause: 50 ms}
connections: 20
stall: 20 s
classes:
  browse: {kind: bounded-read, mix: 60%%, aim: 500 ms, deadline: 1200 ms, bound: 20 s}
  own: {kind: session-read, mix: 20%%, aim: 500 ms, deadline: 1500 ms}
  write: {kind: write, mix: 20%%, aim: 600 ms, deadline: 3 s}
stages: [{shape: constant, rate: 120/s, for: 90 s}]
lab: {gateways: 4, members: 3, cores: 8, service: 2 ms, lag: 5 ms, fleet: true, positions: true, primaries: true, bytes: %d/s}
`

// spends checks, for the life of each gateway, that a role has sent no more than its budget brought and a burst of it.
func (p *party) spends(budget int, begun time.Time, list ...int) {
	p.t.Helper()
	for _, i := range list {
		for _, role := range []string{"positions", "primaries"} {
			assert.Equal(p.t, budget, p.figure(i, "fleet_"+role+".budget"))
			sent := p.figure(i, "fleet_"+role+".bytes")
			assert.LessOrEqual(p.t, float64(sent), float64(budget)*(time.Since(begun).Seconds()+1), "gateway %d, %s", i, role)
		}
	}
}

// Nobody but gateway 0 has heard of fresh replicas. The others use them for their first read: it is told under the budget.
// One that is cut off asks the primary, and uses a replica once the cut has healed.
func TestFleetReconcile(t *testing.T) {
	const budget, cutOff = 600, 3
	begun := time.Now()
	// What reads there are is this test's.
	p := newPartyOf(t, 4, strings.Replace(fmt.Sprintf(reconcilePlan, budget), "rate: 120/s", "rate: 1/min", 1))
	p.Mesh().Partition([][]int{{cutOff}, {0, 1, 2}}, true)
	p.agree(3, 0, 1, 2)
	reads := func() (all, primary int) { c := p.World().Counts(); return c.Reads, c.PrimaryReads }
	// read has a gateway read in both groups, and tells how often a primary served that.
	read := func(i int) int {
		t.Helper()
		_, before := reads()
		for g := range 2 {
			got := p.direct(i).ask(inGroup(stmt("browse", 1200, ""), g))
			require.NotEmpty(t, got.value, "%+v", got)
		}
		_, after := reads()
		return after - before
	}
	p.eventually("gateway 0 uses replicas", func() bool {
		for g := range 2 {
			p.direct(0).ask(inGroup(stmt("own", 1500, ""), g)) // any member serves it
		}
		return read(0) == 0
	})
	known := func(i int) int { return 6 - p.figure(i, "fleet_positions.not_known") }
	has := known(0)
	knows := func(i int) bool { return known(i) >= has }
	for _, i := range []int{1, 2} {
		p.eventually("the others are told", func() bool { return knows(i) })
		assert.Zero(t, read(i), "gateway %d goes to primaries", i)
	}
	assert.Zero(t, p.figure(cutOff, "fleet_positions.heard"))
	assert.Positive(t, read(cutOff), "who is told nothing asks primaries")
	p.Mesh().Partition([][]int{{cutOff}, {0, 1, 2}}, false)
	p.eventually("it is told", func() bool { return knows(cutOff) && p.figure(cutOff, "fleet_positions.heard") > 0 })
	assert.Zero(t, read(cutOff))
	p.spends(budget, begun, p.all()...)
}

// Under load, with links that lose, double, reorder and spoil, a cut and a gateway that stands still: the budget holds, no
// read is too old, and knowledge goes on both sides of the cut.
func TestFleetReconcileFaults(t *testing.T) {
	const budget = 800
	begun := time.Now()
	p := newPartyOf(t, 4, strings.Replace(fmt.Sprintf(reconcilePlan, budget), "bound: 20 s", "bound: 1 s", 1))
	heard := func(i int) int { return p.figure(i, "fleet_positions.heard") }
	for i := range 4 {
		p.eventually("positions are heard", func() bool { return heard(i) > 5 })
	}
	for i := range 4 {
		for j := range 4 {
			if i != j {
				p.Mesh().SetLink(i, j, plan.Link{Corrupt: 0.1, Duplicate: 0.3, Reorder: 0.3, Loss: 0.1, Delay: 20 * time.Millisecond, Jitter: 100 * time.Millisecond})
			}
		}
	}
	p.World().SetLag(0.5, 3*time.Second)
	require.NoError(t, p.Node(3).Pause())
	before := p.World().Counts().Reads
	p.eventually("reads go on", func() bool { return p.World().Counts().Reads > before+200 })
	p.World().SetLag(1, 0)
	require.NoError(t, p.Node(3).Resume())
	sides := [][]int{{0, 1}, {2, 3}}
	p.Mesh().Partition(sides, true)
	p.agree(2, 0, 1)
	at := heard(0)
	p.eventually("each side goes on telling", func() bool { return heard(0) > at+5 })
	p.Mesh().Partition(sides, false)
	p.agree(4, p.all()...)
	assert.Zero(t, p.figure(0, "fleet_positions.ahead"))
	p.spends(budget, begun, p.all()...)
	p.judge(0.6)
}

// A fleet that changes over from rumours to a budget: who has one takes rumours in, who has none refuses what it cannot read
// with a line that says why, and nothing is served that is too old.
func TestFleetReconcileChangeOver(t *testing.T) {
	p := newPartyWith(t, 4, fmt.Sprintf(reconcilePlan, 800), func(l *lab.Lab) { l.WithoutByteBudget = []int{0, 1} })
	for _, i := range []int{2, 3} {
		p.eventually("rumours are taken in", func() bool { return p.figure(i, "fleet_positions.heard") > 20 })
		assert.Positive(t, p.figure(i, "fleet_positions.budget"))
	}
	for _, i := range []int{0, 1} {
		p.eventually("it says what it refuses", func() bool {
			return strings.Contains(strings.Join(p.Node(i).FleetEvents(), "\n"), "under a budget, which the fleet file here does not have")
		})
		p.eventually("it goes on as before", func() bool { return p.figure(i, "fleet_positions.heard") > 0 })
	}
	p.judge(0.8)
}
