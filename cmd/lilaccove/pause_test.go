package main

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// starvedPlan has seven gateways so busy that one which stands still leaves many requests half done.
var starvedPlan = strings.NewReplacer("120/s", "400/s", "connections: 20", "connections: 60").Replace(fmt.Sprintf(fleetPlan, 7))

// checkDatabasesUsed tells that nobody has taken a healthy primary for a failed one, and that each database has kept a share of
// the work: at least half of what it would have if all of a group's replicas had the same.
func (fleet *testFleet) checkDatabasesUsed(initialCounts map[string]int) {
	fleet.t.Helper()
	for _, i := range fleet.all() {
		assert.Empty(fleet.t, fleet.breakerEvents(i), "the breakers that n%d opened", i)
		assert.Zero(fleet.t, fleet.metric(i, "skipped_databases"))
	}
	groupWork, groupSize := map[int]int{}, map[int]int{}
	for _, h := range fleet.World().Members() {
		groupWork[h.Group] += h.StatementCount() - initialCounts[h.ID]
		groupSize[h.Group]++
	}
	for _, h := range fleet.World().Members() {
		assert.Greater(fleet.t, h.StatementCount()-initialCounts[h.ID], groupWork[h.Group]/groupSize[h.Group]/2, "%s of group %d", h.ID, h.Group)
	}
}

// breakerEvents are what a gateway has said of them.
func (fleet *testFleet) breakerEvents(i int) (list []string) {
	for _, e := range fleet.Node(i).FleetEvents() {
		if strings.HasPrefix(e, "policy ") {
			list = append(list, e)
		}
	}
	return list
}

func (fleet *testFleet) statementCounts() map[string]int {
	counts := map[string]int{}
	for _, h := range fleet.World().Members() {
		counts[h.ID] = h.StatementCount()
	}
	return counts
}

// waitServed asks a gateway as a client until it is served, and tells how long that took.
func (fleet *testFleet) waitServed(i int) time.Duration {
	fleet.t.Helper()
	start := time.Now()
	gw := &testGateway{t: fleet.t, clientAddr: fleet.Node(i).ClientAddr}
	fleet.eventually("it serves", func() bool {
		c, err := net.Dial("tcp", gw.clientAddr)
		if err != nil {
			return false
		}
		c.Close()
		got := gw.connect().query(strings.Replace(statement("write", 1000, ""), "cluster=2", "cluster=1", 1))
		return got.value != "" && got.code == ""
	})
	return time.Since(start)
}

// A gateway that stood still once for two seconds blames nobody for that, and serves at once.
func TestFleetStarvedPause(t *testing.T) {
	fleet := newTestFleetWithPlan(t, 7, starvedPlan)
	initialCounts := fleet.statementCounts()
	require.NoError(t, fleet.Node(1).Pause())
	time.Sleep(2 * time.Second) // the fault itself
	require.NoError(t, fleet.Node(1).Resume())
	assert.Less(t, fleet.waitServed(1), time.Second)
	fleet.waitView(7, fleet.all()...)
	fleet.checkDatabasesUsed(initialCounts)
	fleet.finishAndCheck(0.9)
	assert.Positive(t, fleet.metric(1, "lost_ms"), "it knows that it was the one")
}

// One that runs for 0.3 of every second is slow, and the databases are not: it refuses nothing for want of room at them.
func TestFleetStarvedRepeatedPauses(t *testing.T) {
	fleet := newTestFleetWithPlan(t, 7, starvedPlan)
	initialCounts := fleet.statementCounts()
	for range 8 {
		require.NoError(t, fleet.Node(1).Pause())
		time.Sleep(700 * time.Millisecond) // the fault itself
		require.NoError(t, fleet.Node(1).Resume())
		time.Sleep(300 * time.Millisecond)
	}
	assert.Less(t, fleet.waitServed(1), time.Second)
	fleet.checkDatabasesUsed(initialCounts)
	fleet.finishAndCheck(0.8)
	assert.Greater(t, fleet.metric(1, "lost_ms"), 2500)
	for _, class := range []string{"browse", "own", "write"} {
		assert.Less(t, fleet.metric(1, "dropped."+class), 10+fleet.metric(1, "passed."+class)/30, class)
		assert.Zero(t, fleet.metric(1, "bad_gateway."+class), class)
	}
}
