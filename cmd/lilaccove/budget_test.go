package main

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// All clients connect to gateways 0 and 1. The parts of the connections to a database for which these two are the home are too few
// for them, and the load would take more than the whole budget if that were not bounded.
const budgetPlan = `seed: 9
groups: 1
sessions: {count: 2}
retries: {most: 2, pause: 50 ms}
connections: 60
stall: 20 s
classes:
  browse: {kind: bounded-read, mix: 80%%, aim: 500 ms, deadline: 1200 ms}
  write: {kind: write, mix: 20%%, aim: 600 ms, deadline: 1500 ms}
stages: [{shape: constant, rate: 300/s, for: 90 s}]
lab: {gateways: %d, members: 3, cores: 32, service: 100 ms, delay: constant, lag: 5 ms, fleet: true, budget: %d, lease: 3 s}
`

const totalBudget = 16 // connections to each database, for the four gateways together

// newBudgetFleet starts four gateways and waits until gateway 0 holds leases. The share of served requests is low, because a
// gateway cannot use most of its part during the first lease after its start, and here all have just started. The tests check
// that the sum of the connections stays within the budget and that requests go on being answered.
func newBudgetFleet(t *testing.T) *testFleet {
	fleet := newTestFleetWithPlan(t, 4, fmt.Sprintf(budgetPlan, 4, totalBudget))
	fleet.eventually("the busy gateway holds leases", func() bool { return fleet.metric(0, "fleet_budget.borrowed") >= 2 })
	return fleet
}

// checkBudget waits until more than half of the budget is in use at a database, ends and checks the load, and checks that no
// database ever had more connections than all gateways together may have.
func (fleet *testFleet) checkBudget(minServed float64) {
	fleet.t.Helper()
	maxOpen := func() int { return fleet.World().Counts().MostOpen }
	fleet.eventually("most of the budget is in use", func() bool { return maxOpen() > totalBudget/2 })
	fleet.finishAndCheck(minServed)
	assert.LessOrEqual(fleet.t, maxOpen(), totalBudget, "connections at one database")
}

// The busy gateways lease connections that the others do not need, and serve more than their home parts alone allow.
func TestFleetBudgetSkew(t *testing.T) {
	startTime := time.Now()
	fleet := newTestFleetWithPlan(t, 4, fmt.Sprintf(budgetPlan, 4, totalBudget))
	passed := func() float64 { return float64(fleet.metric(0, "passed.browse")) }
	fleet.eventually("it serves from its home part", func() bool { return passed() > 50 })
	rateBefore := passed() / time.Since(startTime).Seconds()
	fleet.eventually("most of what the busy gateways need is leased", func() bool {
		return fleet.metric(0, "fleet_budget.borrowed")+fleet.metric(1, "fleet_budget.borrowed") >= 5
	})
	assert.Zero(t, fleet.metric(2, "fleet_budget.borrowed"))
	passedBefore, measuredFrom := passed(), time.Now()
	fleet.eventually("it serves more than before", func() bool {
		return time.Since(measuredFrom) > time.Second && (passed()-passedBefore)/time.Since(measuredFrom).Seconds() > 1.3*rateBefore
	})
	granted := 0
	for i := 2; i < 4; i++ {
		granted += fleet.metric(i, "fleet_budget.lent")
	}
	assert.Positive(t, granted)
	fleet.checkBudget(0.03)
}

// Gateways that grant leases and those that hold them are killed in the middle of transfers and start again without a record of
// them.
func TestFleetBudgetKill(t *testing.T) {
	fleet := newBudgetFleet(t)
	for _, i := range []int{1, 2, 0, 3, 0} {
		fleet.Node(i).Kill()
		_, err := fleet.Start(i)
		require.NoError(t, err)
		fleet.eventually("gateway 0 asks for leases again", func() bool { return fleet.metric(0, "fleet_budget.asked") > 0 })
	}
	fleet.waitView(4, fleet.all()...)
	fleet.eventually("it holds leases again", func() bool { return fleet.metric(0, "fleet_budget.borrowed") >= 2 })
	fleet.checkBudget(0.03)
}

// Each side of a partition makes do with the connections that it holds; leases across the partition expire.
func TestFleetBudgetPartition(t *testing.T) {
	fleet := newBudgetFleet(t)
	sides := [][]int{{0}, {1, 2, 3}}
	fleet.Mesh().Partition(sides, true)
	fleet.eventually("its leases expire", func() bool { return fleet.metric(0, "fleet_budget.borrowed") == 0 })
	fleet.Mesh().Partition(sides, false)
	fleet.eventually("it holds leases again", func() bool { return fleet.metric(0, "fleet_budget.borrowed") >= 2 })
	fleet.checkBudget(0.03)
}

// The holder of leases is paused for longer than they last: when it resumes it must not use those that have expired.
func TestFleetBudgetPause(t *testing.T) {
	fleet := newBudgetFleet(t)
	require.NoError(t, fleet.Node(0).Pause())
	time.Sleep(4 * time.Second) // the fault: longer than a lease
	require.NoError(t, fleet.Node(0).Resume())
	fleet.eventually("it holds leases again", func() bool { return fleet.metric(0, "fleet_budget.borrowed") >= 2 })
	fleet.checkBudget(0.03)
}

// All gateways shut down and start again, one after the other: the budget holds during the whole restart.
func TestFleetBudgetRollingRestart(t *testing.T) {
	fleet := newBudgetFleet(t)
	for i := range 4 {
		require.NoError(t, fleet.Node(i).Terminate())
		_, err := fleet.Start(i)
		require.NoError(t, err)
	}
	fleet.waitView(4, fleet.all()...)
	fleet.eventually("it holds leases again", func() bool { return fleet.metric(0, "fleet_budget.borrowed") >= 2 })
	fleet.checkBudget(0.03)
}
