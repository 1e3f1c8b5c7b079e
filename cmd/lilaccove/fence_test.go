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

// fencePlan has gateways shut themselves out; bounded reads find replicas by what others tell.
func fencePlan(n int) string {
	return strings.Replace(fmt.Sprintf(sharedPlan, n), "fleet: true", "fleet: true, fence: 2 s", 1)
}

func (fleet *testFleet) fencedGateways(list ...int) (out []int) {
	for _, i := range list {
		if fleet.metric(i, "fleet_fenced") == 1 {
			out = append(out, i)
		}
	}
	return out
}

// everFenced tells whether a gateway has ever shut itself out.
func (fleet *testFleet) everFenced(i int) bool {
	for _, e := range fleet.Node(i).FleetEvents() {
		if strings.HasPrefix(e, "fleet_fenced on=true") {
			return true
		}
	}
	return false
}

// connectTo is a client of one gateway, past the front.
func (fleet *testFleet) connectTo(i int) *client {
	return (&testGateway{t: fleet.t, clientAddr: fleet.Node(i).ClientAddr}).connect()
}

func inGroup(text string, group int) string {
	return strings.Replace(text, "cluster=2", fmt.Sprintf("cluster=%d", group), 1)
}

// A gateway whose discovery tells an old list, whatever it asks, shuts itself out and nobody else does: the front leaves it,
// it refuses writes at once and serves reads. It is back when its discovery tells the truth. An operator may say otherwise.
func TestFleetAuditFence(t *testing.T) {
	fleet := newTestFleetWithLab(t, 4, fencePlan(4), func(l *lab.Lab) { l.SeparateDiscovery = []int{0} })
	fleet.Discovery(0).Freeze(true)
	require.NoError(t, fleet.World().AddReplica(0))
	fleet.eventually("it shuts itself out", func() bool { return len(fleet.fencedGateways(0)) == 1 })
	fleet.eventually("the front leaves it", func() bool { return fleet.Balancer().Admitted() == 3 })
	c := fleet.connectTo(0)
	begun := time.Now()
	got := c.query(inGroup(statement("write", 3000, ""), 0))
	assert.Equal(t, pgwire.CodeTooManyConnections, got.code)
	assert.NotEmpty(t, got.detail, "with a retry-after")
	assert.Less(t, time.Since(begun), time.Second, "at once")
	assert.Empty(t, c.query(inGroup(statement("browse", 1000, ""), 0)).code, "reads go on")
	_, err := fleet.Node(0).Call("GET", "/v1/readyz")
	assert.ErrorContains(t, err, "503")

	_, err = fleet.Node(0).Call("PUT", "/v1/gateway/unfence")
	require.NoError(t, err)
	assert.Empty(t, fleet.fencedGateways(0), "by hand")
	_, err = fleet.Node(0).Call("PUT", "/v1/gateway/fence")
	require.NoError(t, err)
	assert.Len(t, fleet.fencedGateways(0), 1)
	_, err = fleet.Node(0).Call("PUT", "/v1/gateway/unfence")
	require.NoError(t, err)

	require.NoError(t, fleet.World().AddReplica(1)) // and the word was for the list that it had
	fleet.Discovery(0).Freeze(false)
	fleet.eventually("it is back", func() bool { return fleet.metric(0, "known_databases") == 12 && len(fleet.fencedGateways(0)) == 0 })
	fleet.eventually("the front gives it clients", func() bool { return fleet.Balancer().Admitted() == 4 })
	for _, i := range fleet.except(0) {
		assert.False(t, fleet.everFenced(i), "n%d", i)
	}
	fleet.finishAndCheck(0.7)
}

// Where discovery tells most an old list, nobody is shut out: who is right cannot be known.
func TestFleetAuditFenceNotForMajority(t *testing.T) {
	fleet := newTestFleetWithLab(t, 4, fencePlan(4), func(l *lab.Lab) { l.SeparateDiscovery = []int{0, 1} })
	fleet.Discovery(0).Freeze(true)
	fleet.Discovery(1).Freeze(true)
	require.NoError(t, fleet.World().AddReplica(0))
	for _, i := range []int{0, 1} {
		fleet.eventually("each old one has asked in vain and given up", func() bool { return fleet.metric(i, "fleet_behind_asked") == 3 })
	}
	reads := fleet.World().Counts().Reads
	fleet.eventually("and served on", func() bool { return fleet.World().Counts().Reads > reads+200 })
	for _, i := range fleet.all() {
		assert.False(t, fleet.everFenced(i), "n%d", i)
	}
	fleet.finishAndCheck(0.7)
}

// A gateway that stood still takes no write that came meanwhile before it has heard what the others know.
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
	fleet.eventually("it has heard", func() bool { return len(fleet.fencedGateways(1)) == 0 })
	assert.Less(t, fleet.waitServed(1), 2*time.Second)
	assert.True(t, fleet.everFenced(1))
	for _, i := range fleet.except(1) {
		assert.False(t, fleet.everFenced(i), "n%d", i)
	}
	fleet.finishAndCheck(0.7)
}

// What was on its way while a gateway stood still tells of then, however much of it waits: cut off from the others behind its
// stop, it takes no write for the two seconds in which it might hear of them.
func TestFleetAuditFenceNotLiftedByQueuedMessages(t *testing.T) {
	const waits = 100 // datagrams, more than a round reads
	fleet := newTestFleetWithLab(t, 4, fencePlan(4), nil)
	c := fleet.connectTo(1)
	c.query("")
	require.NoError(t, fleet.Node(1).Pause())
	to, err := net.Dial("udp", fleet.peerAddress(1))
	require.NoError(t, err)
	t.Cleanup(func() { to.Close() })
	for range waits {
		_, err := to.Write([]byte("nothing that a gateway says"))
		require.NoError(t, err)
	}
	time.Sleep(3 * time.Second) // the fault itself; the others go on telling
	fleet.Mesh().Partition([][]int{{1}, {0, 2, 3}}, true)
	require.NoError(t, fleet.Node(1).Resume())
	begun := time.Now()
	for time.Since(begun) < time.Second {
		assert.Equal(t, pgwire.CodeTooManyConnections, c.query(inGroup(statement("write", 1000, ""), 0)).code, "%v behind its stop", time.Since(begun))
	}
	fleet.Mesh().Partition([][]int{{1}, {0, 2, 3}}, false)
	fleet.eventually("it has heard", func() bool { return len(fleet.fencedGateways(1)) == 0 })
	fleet.finishAndCheck(0.7)
}

// peerAddress is where a gateway itself listens for the others, behind all relays.
func (fleet *testFleet) peerAddress(i int) string {
	fleet.t.Helper()
	for _, e := range fleet.Node(i).FleetEvents() {
		if strings.HasPrefix(e, "fleet_started ") {
			_, rest, _ := strings.Cut(e, "listen=")
			return strings.Fields(rest)[0]
		}
	}
	fleet.t.Fatal("it has not told where it listens")
	return ""
}
