package main

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// All clients are at gateways 0 and 1, whose home parts of the connections to a database do not do for them; nor would the
// whole, were it not bounded.
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

const totalBudget = 16 // connections to each database, of four gateways

// What is served is little: most of the gateways' parts cannot be used for a lease after their starts, and all starts are
// new here. What counts is that the sum holds and that the load goes on being answered.
func newBudgetFleet(t *testing.T) *testFleet {
	fleet := newTestFleetWithPlan(t, 4, fmt.Sprintf(budgetPlan, 4, totalBudget))
	fleet.eventually("the busy one borrows", func() bool { return fleet.metric(0, "fleet_budget.borrowed") >= 2 })
	return fleet
}

// checkBudget judges the load and tells that no database ever had more connections than all gateways together may have, while
// nearly all of them were in use.
func (fleet *testFleet) checkBudget(atLeast float64) {
	fleet.t.Helper()
	open := func() int { return fleet.World().Counts().MostOpen }
	fleet.eventually("most of it is in use", func() bool { return open() > totalBudget/2 })
	fleet.finishAndCheck(atLeast)
	assert.LessOrEqual(fleet.t, open(), totalBudget, "connections at one database")
}

// The busy one is served from what the others do not need; without that its home part is all it has.
func TestFleetBudgetSkew(t *testing.T) {
	begun := time.Now()
	fleet := newTestFleetWithPlan(t, 4, fmt.Sprintf(budgetPlan, 4, totalBudget))
	passed := func() float64 { return float64(fleet.metric(0, "passed.browse")) }
	fleet.eventually("it is served from its home part", func() bool { return passed() > 50 })
	early := passed() / time.Since(begun).Seconds()
	fleet.eventually("most of what it needs is borrowed", func() bool {
		return fleet.metric(0, "fleet_budget.borrowed")+fleet.metric(1, "fleet_budget.borrowed") >= 5
	})
	assert.Zero(t, fleet.metric(2, "fleet_budget.borrowed"))
	from, at := passed(), time.Now()
	fleet.eventually("it is served more", func() bool {
		return time.Since(at) > time.Second && (passed()-from)/time.Since(at).Seconds() > 1.3*early
	})
	lent := 0
	for i := 2; i < 4; i++ {
		lent += fleet.metric(i, "fleet_budget.lent")
	}
	assert.Positive(t, lent)
	fleet.checkBudget(0.03)
}

// Lenders and the borrower are killed in the middle of transfers and come back without a memory of them.
func TestFleetBudgetKill(t *testing.T) {
	fleet := newBudgetFleet(t)
	for _, i := range []int{1, 2, 0, 3, 0} {
		fleet.Node(i).Kill()
		_, err := fleet.Start(i)
		require.NoError(t, err)
		fleet.eventually("it asks again", func() bool { return fleet.metric(0, "fleet_budget.asked") > 0 })
	}
	fleet.waitView(4, fleet.all()...)
	fleet.eventually("it borrows again", func() bool { return fleet.metric(0, "fleet_budget.borrowed") >= 2 })
	fleet.checkBudget(0.03)
}

// Each side of a partition lives with what it holds; what was lent across it lapses.
func TestFleetBudgetPartition(t *testing.T) {
	fleet := newBudgetFleet(t)
	sides := [][]int{{0}, {1, 2, 3}}
	fleet.Mesh().Partition(sides, true)
	fleet.eventually("what was borrowed lapses", func() bool { return fleet.metric(0, "fleet_budget.borrowed") == 0 })
	fleet.Mesh().Partition(sides, false)
	fleet.eventually("it borrows again", func() bool { return fleet.metric(0, "fleet_budget.borrowed") >= 2 })
	fleet.checkBudget(0.03)
}

// The borrower stands still for longer than its loans last: it must not use what has lapsed when it goes on.
func TestFleetBudgetPause(t *testing.T) {
	fleet := newBudgetFleet(t)
	require.NoError(t, fleet.Node(0).Pause())
	time.Sleep(4 * time.Second) // the fault: longer than a lease
	require.NoError(t, fleet.Node(0).Resume())
	fleet.eventually("it borrows again", func() bool { return fleet.metric(0, "fleet_budget.borrowed") >= 2 })
	fleet.checkBudget(0.03)
}

// All are restarted in turn.
func TestFleetBudgetRollingRestart(t *testing.T) {
	fleet := newBudgetFleet(t)
	for i := range 4 {
		require.NoError(t, fleet.Node(i).Terminate())
		_, err := fleet.Start(i)
		require.NoError(t, err)
	}
	fleet.waitView(4, fleet.all()...)
	fleet.eventually("it borrows again", func() bool { return fleet.metric(0, "fleet_budget.borrowed") >= 2 })
	fleet.checkBudget(0.03)
}
