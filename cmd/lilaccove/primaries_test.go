package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A primary hangs and a replica replaces it, without a change in discovery. A gateway without clients learns the new primary from
// the other gateways instead of by a failed attempt: its first write goes to the new primary. While it is cut off from them it
// cannot know; after the partition it is notified.
func TestFleetStatePrimaries(t *testing.T) { testPrimariesAreLearned(t, "primaries: true") }

// The same holds with a byte budget.
func TestFleetReconcilePrimaries(t *testing.T) {
	testPrimariesAreLearned(t, "primaries: true, bytes: 500/s")
}

func testPrimariesAreLearned(t *testing.T, options string) {
	fleet := newTestFleetWithPlan(t, 4, strings.Replace(fmt.Sprintf(sharedPlan, 4), "fleet: true", "fleet: true, "+options, 1))
	idle := 3
	fleet.Balancer().SetAddr(idle, "127.0.0.1:1") // the load balancer sends it no clients
	checkWrite := func(when string) {
		t.Helper()
		sentAt := time.Now()
		got := fleet.connectTo(idle).query(inGroup(statement("write", 2500, ""), 0))
		assert.NotEmpty(t, got.value, "%s: %+v", when, got)
		assert.Less(t, time.Since(sentAt), time.Second, when)
	}
	checkWrite("before the failover")
	sides := [][]int{{idle}, {0, 1, 2}}
	fleet.Mesh().Partition(sides, true)
	old, promoted := fleet.World().Members()[0], fleet.World().Members()[1]
	require.Equal(t, old.Group, promoted.Group)
	old.Hang()
	promoted.Promote()
	writes := func() int { return fleet.World().Counts().Writes }
	before := writes()
	fleet.eventually("the other gateways write again", func() bool { return writes() > before+100 })
	heardBefore := fleet.metric(idle, "fleet_primaries.heard")
	fleet.Mesh().Partition(sides, false)
	fleet.eventually("it receives the new primary", func() bool { return fleet.metric(idle, "fleet_primaries.heard") >= heardBefore+4 })
	attemptsBefore := fleet.metric(idle, "upstream_tries.write")
	checkWrite("after the failover")
	assert.Equal(t, attemptsBefore+1, fleet.metric(idle, "upstream_tries.write"), "one attempt")
	fleet.finishAndCheck(0.5)
}
