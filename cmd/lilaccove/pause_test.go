package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/pgwire"
)

// starvedPlan keeps seven gateways so busy that a paused one leaves many requests unfinished.
var starvedPlan = strings.NewReplacer("120/s", "400/s", "connections: 20", "connections: 60").Replace(fmt.Sprintf(fleetPlan, 7))

// checkDatabasesUsed checks that no gateway has taken a healthy database for a failed one, and that each database has kept its
// share of the load: more than half of what it would get if all databases of a group got the same.
func (fleet *testFleet) checkDatabasesUsed(initialCounts map[string]int) {
	fleet.t.Helper()
	for _, i := range fleet.all() {
		assert.Empty(fleet.t, fleet.breakerEvents(i), "breakers opened by n%d", i)
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

// breakerEvents returns a gateway's log lines about breakers.
func (fleet *testFleet) breakerEvents(i int) (list []string) {
	for _, e := range fleet.Node(i).FleetEvents() {
		if strings.HasPrefix(e, "policy ") {
			list = append(list, e)
		}
	}
	return list
}

// statementCounts returns how many statements each database has received.
func (fleet *testFleet) statementCounts() map[string]int {
	counts := map[string]int{}
	for _, h := range fleet.World().Members() {
		counts[h.ID] = h.StatementCount()
	}
	return counts
}

// waitServed sends writes to a gateway until one is served, and returns how long that took.
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

// A gateway that was paused for two seconds does not blame the databases for that, and serves at once.
func TestFleetStarvedPause(t *testing.T) {
	fleet := newTestFleetWithPlan(t, 7, starvedPlan)
	initialCounts := fleet.statementCounts()
	require.NoError(t, fleet.Node(1).Pause())
	time.Sleep(2 * time.Second) // duration of the pause
	require.NoError(t, fleet.Node(1).Resume())
	assert.Less(t, fleet.waitServed(1), time.Second)
	fleet.waitView(7, fleet.all()...)
	fleet.checkDatabasesUsed(initialCounts)
	fleet.finishAndCheck(0.9)
	assert.Positive(t, fleet.metric(1, "lost_ms"), "it has noticed its own pause")
}

// A gateway that runs for only 0.3 of every second is slow, and the databases are not: it does not take its own delay for a
// lack of capacity at the databases and refuses almost nothing.
func TestFleetStarvedRepeatedPauses(t *testing.T) {
	fleet := newTestFleetWithPlan(t, 7, starvedPlan)
	initialCounts := fleet.statementCounts()
	for range 8 {
		require.NoError(t, fleet.Node(1).Pause())
		time.Sleep(700 * time.Millisecond) // duration of the pause
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

// The process is held up between reading a write and sending it, and its primary begins to drain meanwhile. The decision rests
// on a list that is older than the grace period: the write is not begun by it.
func TestStallWithinRoundStartsNoAttemptAtDrainingDatabase(t *testing.T) {
	t.Parallel()
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	local := reserved.Addr().(*net.TCPAddr)
	require.NoError(t, reserved.Close())
	gw := startGateway(t, withFaults(`{"call":"read","delay_ms":2600,"most":1,"peer":"`+local.String()+`"}`))
	gw.waitServed()
	before := len(gw.primary.Statements())
	conn, err := (&net.Dialer{LocalAddr: local}).Dial("tcp", gw.clientAddr)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	c := &client{t: t, conn: conn, reader: bufio.NewReader(conn)}
	c.write(string(pgwire.Startup("api", "ledger")) + queryMessage(statement("write", 3000, "")))
	time.Sleep(disconnectGrace) // the gateway has read it
	gw.primary.Announce("terminating", time.Time{})
	c.readAnswer() // the greeting
	got := c.readAnswer()
	assert.Equal(t, pgwire.CodeTooManyConnections, got.code, "%+v", got)
	assert.Len(t, gw.primary.Statements(), before)
}
