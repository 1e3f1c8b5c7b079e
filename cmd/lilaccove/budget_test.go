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

const budgetWhole = 16 // connections to each database, of four gateways

// What is served is little: most of the gateways' parts cannot be used for a lease after their starts, and all starts are
// new here. What counts is that the sum holds and that the load goes on being answered.
func newBudgetParty(t *testing.T) *party {
	p := newPartyOf(t, 4, fmt.Sprintf(budgetPlan, 4, budgetWhole))
	p.eventually("the busy one borrows", func() bool { return p.figure(0, "fleet_budget.borrowed") >= 2 })
	return p
}

// within judges the load and tells that no database ever had more connections than all gateways together may have, while
// nearly all of them were in use.
func (p *party) within(atLeast float64) {
	p.t.Helper()
	open := func() int { return p.World().Counts().MostOpen }
	p.eventually("most of it is in use", func() bool { return open() > budgetWhole/2 })
	p.judge(atLeast)
	assert.LessOrEqual(p.t, open(), budgetWhole, "connections at one database")
}

// The busy one is served from what the others do not need; without that its home part is all it has.
func TestFleetBudgetSkew(t *testing.T) {
	begun := time.Now()
	p := newPartyOf(t, 4, fmt.Sprintf(budgetPlan, 4, budgetWhole))
	passed := func() float64 { return float64(p.figure(0, "passed.browse")) }
	p.eventually("it is served from its home part", func() bool { return passed() > 50 })
	early := passed() / time.Since(begun).Seconds()
	p.eventually("most of what it needs is borrowed", func() bool { return p.figure(0, "fleet_budget.borrowed")+p.figure(1, "fleet_budget.borrowed") >= 5 })
	assert.Zero(t, p.figure(2, "fleet_budget.borrowed"))
	from, at := passed(), time.Now()
	p.eventually("it is served more", func() bool {
		return time.Since(at) > time.Second && (passed()-from)/time.Since(at).Seconds() > 1.3*early
	})
	lent := 0
	for i := 2; i < 4; i++ {
		lent += p.figure(i, "fleet_budget.lent")
	}
	assert.Positive(t, lent)
	p.within(0.03)
}

// Lenders and the borrower are killed in the middle of transfers and come back without a memory of them.
func TestFleetBudgetKill(t *testing.T) {
	p := newBudgetParty(t)
	for _, i := range []int{1, 2, 0, 3, 0} {
		p.Node(i).Kill()
		_, err := p.Start(i)
		require.NoError(t, err)
		p.eventually("it asks again", func() bool { return p.figure(0, "fleet_budget.asked") > 0 })
	}
	p.agree(4, p.all()...)
	p.eventually("it borrows again", func() bool { return p.figure(0, "fleet_budget.borrowed") >= 2 })
	p.within(0.03)
}

// Each side of a partition lives with what it holds; what was lent across it lapses.
func TestFleetBudgetPartition(t *testing.T) {
	p := newBudgetParty(t)
	sides := [][]int{{0}, {1, 2, 3}}
	p.Mesh().Partition(sides, true)
	p.eventually("what was borrowed lapses", func() bool { return p.figure(0, "fleet_budget.borrowed") == 0 })
	p.Mesh().Partition(sides, false)
	p.eventually("it borrows again", func() bool { return p.figure(0, "fleet_budget.borrowed") >= 2 })
	p.within(0.03)
}

// The borrower stands still for longer than its loans last: it must not use what has lapsed when it goes on.
func TestFleetBudgetStop(t *testing.T) {
	p := newBudgetParty(t)
	require.NoError(t, p.Node(0).Pause())
	time.Sleep(4 * time.Second) // the fault: longer than a lease
	require.NoError(t, p.Node(0).Resume())
	p.eventually("it borrows again", func() bool { return p.figure(0, "fleet_budget.borrowed") >= 2 })
	p.within(0.03)
}

// All are restarted in turn.
func TestFleetBudgetRoll(t *testing.T) {
	p := newBudgetParty(t)
	for i := range 4 {
		require.NoError(t, p.Node(i).Terminate())
		_, err := p.Start(i)
		require.NoError(t, err)
	}
	p.agree(4, p.all()...)
	p.eventually("it borrows again", func() bool { return p.figure(0, "fleet_budget.borrowed") >= 2 })
	p.within(0.03)
}
