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

// checkByteBudget checks that each role of each given gateway has sent no more than its budget of bytes per second allows since
// startTime, plus one second's burst.
func (fleet *testFleet) checkByteBudget(budget int, startTime time.Time, gateways ...int) {
	fleet.t.Helper()
	for _, i := range gateways {
		for _, role := range []string{"positions", "primaries"} {
			assert.Equal(fleet.t, budget, fleet.metric(i, "fleet_"+role+".budget"))
			sent := fleet.metric(i, "fleet_"+role+".bytes")
			assert.LessOrEqual(fleet.t, float64(sent), float64(budget)*(time.Since(startTime).Seconds()+1), "gateway %d, role %s", i, role)
		}
	}
}

// Only gateway 0 has learned the positions of replicas from its own reads. The others receive them within the byte budget and use
// replicas from their first read on. A gateway that is cut off reads from the primary, and from a replica after the partition.
func TestFleetReconcile(t *testing.T) {
	const budget, cutOff = 600, 3
	startTime := time.Now()
	// The load is so low that practically all reads are those of this test.
	fleet := newTestFleetWithPlan(t, 4, strings.Replace(fmt.Sprintf(reconcilePlan, budget), "rate: 120/s", "rate: 1/min", 1))
	fleet.Mesh().Partition([][]int{{cutOff}, {0, 1, 2}}, true)
	fleet.waitView(3, 0, 1, 2)
	reads := func() (all, primary int) { c := fleet.World().Counts(); return c.Reads, c.PrimaryReads }
	// readBoth reads in both groups through a gateway and returns how many of the reads a primary served.
	readBoth := func(i int) int {
		t.Helper()
		_, before := reads()
		for g := range 2 {
			got := fleet.connectTo(i).query(inGroup(statement("browse", 1200, ""), g))
			require.NotEmpty(t, got.value, "%+v", got)
		}
		_, after := reads()
		return after - before
	}
	fleet.eventually("gateway 0 uses replicas", func() bool {
		for g := range 2 {
			fleet.connectTo(0).query(inGroup(statement("own", 1500, ""), g)) // any member serves it
		}
		return readBoth(0) == 0
	})
	knownPositions := func(i int) int { return 6 - fleet.metric(i, "fleet_positions.not_known") }
	target := knownPositions(0)
	knowsAll := func(i int) bool { return knownPositions(i) >= target }
	for _, i := range []int{1, 2} {
		fleet.eventually("the others receive the positions", func() bool { return knowsAll(i) })
		assert.Zero(t, readBoth(i), "gateway %d reads from primaries", i)
	}
	assert.Zero(t, fleet.metric(cutOff, "fleet_positions.heard"))
	assert.Positive(t, readBoth(cutOff), "a gateway without positions reads from primaries")
	fleet.Mesh().Partition([][]int{{cutOff}, {0, 1, 2}}, false)
	fleet.eventually("it receives the positions", func() bool { return knowsAll(cutOff) && fleet.metric(cutOff, "fleet_positions.heard") > 0 })
	assert.Zero(t, readBoth(cutOff))
	fleet.checkByteBudget(budget, startTime, fleet.all()...)
}

// Under load, links lose, duplicate, reorder and corrupt messages, one gateway is paused, and the fleet is partitioned: the byte
// budget holds, no read is too old, and positions are exchanged on both sides of the partition.
func TestFleetReconcileFaults(t *testing.T) {
	const budget = 800
	startTime := time.Now()
	fleet := newTestFleetWithPlan(t, 4, strings.Replace(fmt.Sprintf(reconcilePlan, budget), "bound: 20 s", "bound: 1 s", 1))
	received := func(i int) int { return fleet.metric(i, "fleet_positions.heard") }
	for i := range 4 {
		fleet.eventually("positions are received", func() bool { return received(i) > 5 })
	}
	for i := range 4 {
		for j := range 4 {
			if i != j {
				fleet.Mesh().SetLink(i, j, plan.Link{Corrupt: 0.1, Duplicate: 0.3, Reorder: 0.3, Loss: 0.1, Delay: 20 * time.Millisecond, Jitter: 100 * time.Millisecond})
			}
		}
	}
	fleet.World().SetLag(0.5, 3*time.Second)
	require.NoError(t, fleet.Node(3).Pause())
	before := fleet.World().Counts().Reads
	fleet.eventually("reads go on", func() bool { return fleet.World().Counts().Reads > before+200 })
	fleet.World().SetLag(1, 0)
	require.NoError(t, fleet.Node(3).Resume())
	sides := [][]int{{0, 1}, {2, 3}}
	fleet.Mesh().Partition(sides, true)
	fleet.waitView(2, 0, 1)
	receivedBefore := received(0)
	fleet.eventually("each side goes on exchanging positions", func() bool { return received(0) > receivedBefore+5 })
	fleet.Mesh().Partition(sides, false)
	fleet.waitView(4, fleet.all()...)
	assert.Zero(t, fleet.metric(0, "fleet_positions.ahead"))
	fleet.checkByteBudget(budget, startTime, fleet.all()...)
	fleet.finishAndCheck(0.6)
}

// While a fleet changes from gossip without a byte budget to reconciling under one, gateways with a budget read the gossip of
// those without, gateways without one refuse messages that they cannot read and log why, and no read is too old.
func TestFleetReconcileMigration(t *testing.T) {
	fleet := newTestFleetWithLab(t, 4, fmt.Sprintf(reconcilePlan, 800), func(l *lab.Lab) { l.WithoutByteBudget = []int{0, 1} })
	for _, i := range []int{2, 3} {
		fleet.eventually("gossip is received", func() bool { return fleet.metric(i, "fleet_positions.heard") > 20 })
		assert.Positive(t, fleet.metric(i, "fleet_positions.budget"))
	}
	for _, i := range []int{0, 1} {
		fleet.eventually("it logs what it refuses", func() bool {
			return strings.Contains(strings.Join(fleet.Node(i).FleetEvents(), "\n"), "under a budget, which the fleet file here does not have")
		})
		fleet.eventually("it goes on as before", func() bool { return fleet.metric(i, "fleet_positions.heard") > 0 })
	}
	fleet.finishAndCheck(0.8)
}
