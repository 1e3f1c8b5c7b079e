package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A primary hangs and a replica takes its place; discovery does not tell. A gateway that has no clients learns of that from
// the others' answers, not by failing: its first write goes to the new primary. While a partition keeps it from them it knows
// nothing, and afterwards it is told.
func TestFleetStatePrimaries(t *testing.T) { testPrimariesAreLearned(t, "primaries: true") }

// The same holds under a budget.
func TestFleetReconcilePrimaries(t *testing.T) {
	testPrimariesAreLearned(t, "primaries: true, bytes: 500/s")
}

func testPrimariesAreLearned(t *testing.T, lines string) {
	fleet := newTestFleetWithPlan(t, 4, strings.Replace(fmt.Sprintf(sharedPlan, 4), "fleet: true", "fleet: true, "+lines, 1))
	idle := 3
	fleet.Balancer().SetAddr(idle, "127.0.0.1:1") // nobody is sent to it
	ask := func(what string) {
		t.Helper()
		begun := time.Now()
		got := fleet.connectTo(idle).query(inGroup(statement("write", 2500, ""), 0))
		assert.NotEmpty(t, got.value, "%s: %+v", what, got)
		assert.Less(t, time.Since(begun), time.Second, what)
	}
	ask("at first")
	sides := [][]int{{idle}, {0, 1, 2}}
	fleet.Mesh().Partition(sides, true)
	old, next := fleet.World().Members()[0], fleet.World().Members()[1]
	require.Equal(t, old.Group, next.Group)
	old.Hang()
	next.Promote()
	writes := func() int { return fleet.World().Counts().Writes }
	before := writes()
	fleet.eventually("the others write again", func() bool { return writes() > before+100 })
	heard := fleet.metric(idle, "fleet_primaries.heard")
	fleet.Mesh().Partition(sides, false)
	fleet.eventually("it is told", func() bool { return fleet.metric(idle, "fleet_primaries.heard") >= heard+4 })
	tries := fleet.metric(idle, "upstream_tries.write")
	ask("behind the hand-over")
	assert.Equal(t, tries+1, fleet.metric(idle, "upstream_tries.write"), "one attempt")
	fleet.finishAndCheck(0.5)
}
