package main

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/lab"
	"lilaccove/internal/pgwire"
)

// fencePlan is sharedPlan, in which gateways exchange positions for bounded reads, with the fence switched on.
func fencePlan(n int) string {
	return strings.Replace(fmt.Sprintf(sharedPlan, n), "fleet: true", "fleet: true, fence: 2 s", 1)
}

func (fleet *testFleet) fencedGateways(gateways ...int) (fenced []int) {
	for _, i := range gateways {
		if fleet.metric(i, "fleet_fenced") == 1 {
			fenced = append(fenced, i)
		}
	}
	return fenced
}

// everFenced reports whether the gateway's current process has ever fenced itself.
func (fleet *testFleet) everFenced(i int) bool {
	for _, e := range fleet.Node(i).FleetEvents() {
		if strings.HasPrefix(e, "fleet_fenced on=true") {
			return true
		}
	}
	return false
}

// connectTo connects a client to one gateway directly, without the load balancer.
func (fleet *testFleet) connectTo(i int) *client {
	return (&testGateway{t: fleet.t, clientAddr: fleet.Node(i).ClientAddr}).connect()
}

// inGroup directs a statement to a group.
func inGroup(text string, group int) string {
	return strings.Replace(text, "cluster=2", fmt.Sprintf("cluster=%d", group), 1)
}

// A gateway whose discovery keeps answering with an old list fences itself, and no other gateway does: the load balancer excludes
// it, it refuses writes at once and serves reads. The fence ends when its discovery answers with the current list. An operator
// can end the fence earlier or fence a gateway.
func TestFleetAuditFence(t *testing.T) {
	fleet := newTestFleetWithLab(t, 4, fencePlan(4), func(l *lab.Lab) { l.SeparateDiscovery = []int{0} })
	fleet.Discovery(0).Freeze(true)
	require.NoError(t, fleet.World().AddReplica(0))
	fleet.eventually("it fences itself", func() bool { return len(fleet.fencedGateways(0)) == 1 })
	fleet.eventually("the load balancer excludes it", func() bool { return fleet.Balancer().Admitted() == 3 })
	c := fleet.connectTo(0)
	sentAt := time.Now()
	got := c.query(inGroup(statement("write", 3000, ""), 0))
	assert.Equal(t, pgwire.CodeTooManyConnections, got.code)
	assert.NotEmpty(t, got.detail, "with a retry-after")
	assert.Less(t, time.Since(sentAt), time.Second, "at once")
	assert.Empty(t, c.query(inGroup(statement("browse", 1000, ""), 0)).code, "reads go on")
	_, err := fleet.Node(0).Call("GET", "/v1/readyz")
	assert.ErrorContains(t, err, "503")

	_, err = fleet.Node(0).Call("PUT", "/v1/gateway/unfence")
	require.NoError(t, err)
	assert.Empty(t, fleet.fencedGateways(0), "an operator ended the fence")
	_, err = fleet.Node(0).Call("PUT", "/v1/gateway/fence")
	require.NoError(t, err)
	assert.Len(t, fleet.fencedGateways(0), 1)
	_, err = fleet.Node(0).Call("PUT", "/v1/gateway/unfence")
	require.NoError(t, err)

	require.NoError(t, fleet.World().AddReplica(1)) // the operator's unfence held for the old list only
	fleet.Discovery(0).Freeze(false)
	fleet.eventually("it has the list and is not fenced", func() bool { return fleet.metric(0, "known_databases") == 12 && len(fleet.fencedGateways(0)) == 0 })
	fleet.eventually("the load balancer admits it", func() bool { return fleet.Balancer().Admitted() == 4 })
	for _, i := range fleet.except(0) {
		assert.False(t, fleet.everFenced(i), "n%d", i)
	}
	fleet.finishAndCheck(0.7)
}

// If discovery gives an old list to half of the gateways, none of them is fenced: without a majority against them it is unknown
// which list is right.
func TestFleetAuditFenceNotForMajority(t *testing.T) {
	fleet := newTestFleetWithLab(t, 4, fencePlan(4), func(l *lab.Lab) { l.SeparateDiscovery = []int{0, 1} })
	fleet.Discovery(0).Freeze(true)
	fleet.Discovery(1).Freeze(true)
	require.NoError(t, fleet.World().AddReplica(0))
	for _, i := range []int{0, 1} {
		fleet.eventually("each lagging gateway has asked in vain and given up", func() bool { return fleet.metric(i, "fleet_behind_asked") == 3 })
	}
	reads := fleet.World().Counts().Reads
	fleet.eventually("and reads go on", func() bool { return fleet.World().Counts().Reads > reads+200 })
	for _, i := range fleet.all() {
		assert.False(t, fleet.everFenced(i), "n%d", i)
	}
	fleet.finishAndCheck(0.7)
}

// A gateway that was paused refuses the writes that arrived meanwhile until it has confirmed its state with the others.
func TestFleetAuditFenceAfterPause(t *testing.T) {
	fleet := newTestFleetWithLab(t, 4, fencePlan(4), nil)
	c := fleet.connectTo(1)
	c.query("")
	require.NoError(t, fleet.Node(1).Pause())
	for range 3 {
		c.write(queryMessage(inGroup(statement("write", 3000, ""), 0)))
	}
	time.Sleep(3 * time.Second) // the fault itself
	require.NoError(t, fleet.Node(1).Resume())
	for range 3 {
		assert.Equal(t, pgwire.CodeTooManyConnections, c.readAnswer().code, "refused, not sent")
	}
	fleet.eventually("it has confirmed its state", func() bool { return len(fleet.fencedGateways(1)) == 0 })
	assert.Less(t, fleet.waitServed(1), 2*time.Second)
	assert.True(t, fleet.everFenced(1))
	for _, i := range fleet.except(1) {
		assert.False(t, fleet.everFenced(i), "n%d", i)
	}
	fleet.finishAndCheck(0.7)
}

// Messages that were queued while a gateway was paused are old and must not lift its fence, however many there are. Cut off from
// the others after the pause, it accepts no write in the two seconds in which they might answer.
func TestFleetAuditFenceNotLiftedByQueuedMessages(t *testing.T) {
	const queued = 100 // more datagrams than one round of the event loop reads
	fleet := newTestFleetWithLab(t, 4, fencePlan(4), nil)
	c := fleet.connectTo(1)
	c.query("")
	require.NoError(t, fleet.Node(1).Pause())
	conn, err := net.Dial("udp", fleet.peerAddress(1))
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	for range queued {
		_, err := conn.Write([]byte("no message of a gateway"))
		require.NoError(t, err)
	}
	time.Sleep(3 * time.Second) // the fault itself; the others go on sending
	fleet.Mesh().Partition([][]int{{1}, {0, 2, 3}}, true)
	require.NoError(t, fleet.Node(1).Resume())
	resumedAt := time.Now()
	for time.Since(resumedAt) < time.Second {
		assert.Equal(t, pgwire.CodeTooManyConnections, c.query(inGroup(statement("write", 1000, ""), 0)).code, "%v after the pause", time.Since(resumedAt))
	}
	fleet.Mesh().Partition([][]int{{1}, {0, 2, 3}}, false)
	fleet.eventually("it has confirmed its state", func() bool { return len(fleet.fencedGateways(1)) == 0 })
	fleet.finishAndCheck(0.7)
}

// peerAddress returns the address on which a gateway itself listens for the others, past the relays.
func (fleet *testFleet) peerAddress(i int) string {
	fleet.t.Helper()
	for _, e := range fleet.Node(i).FleetEvents() {
		if strings.HasPrefix(e, "fleet_started ") {
			_, rest, _ := strings.Cut(e, "listen=")
			return strings.Fields(rest)[0]
		}
	}
	fleet.t.Fatal("it has not logged where it listens")
	return ""
}
