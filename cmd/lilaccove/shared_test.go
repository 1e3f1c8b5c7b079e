package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/load/plan"
)

const sharedPlan = `seed: 6
groups: 2
sessions: {count: 200, follow: 30%%, after: 100 ms}
retries: {most: 2, pause: 50 ms}
connections: 20
stall: 20 s
classes:
  browse: {kind: bounded-read, mix: 60%%, aim: 500 ms, deadline: 1200 ms, bound: 1 s}
  own: {kind: session-read, mix: 20%%, aim: 500 ms, deadline: 1500 ms}
  write: {kind: write, mix: 20%%, aim: 600 ms, deadline: 3 s}
stages: [{shape: constant, rate: 120/s, for: 90 s}]
lab: {gateways: %d, members: 5, cores: 8, service: 2 ms, lag: 5 ms, fleet: true, subsets: true, positions: true}
`

// Gateways exchange replicas' positions, and reads never get data that is too old: not while half of the replicas lag, nor when
// positions arrive late, duplicated, out of order or corrupted, across a partition, or from a gateway that was paused.
func TestFleetPositions(t *testing.T) {
	fleet := newTestFleetWithPlan(t, 5, fmt.Sprintf(sharedPlan, 5))
	received := func(i int) int { return fleet.metric(i, "fleet_positions.heard") }
	for i := range 5 {
		fleet.eventually("positions are received", func() bool { return received(i) > 20 })
	}
	for i := range 5 {
		for j := range 5 {
			if i != j {
				fleet.Mesh().SetLink(i, j, plan.Link{Corrupt: 0.1, Duplicate: 0.3, Reorder: 0.3, Loss: 0.1, Delay: 20 * time.Millisecond, Jitter: 100 * time.Millisecond})
			}
		}
	}
	fleet.World().SetLag(0.5, 3*time.Second)
	require.NoError(t, fleet.Node(4).Pause())
	before := fleet.World().Counts().Reads
	fleet.eventually("reads go on", func() bool { return fleet.World().Counts().Reads > before+200 })
	fleet.World().SetLag(1, 0)
	require.NoError(t, fleet.Node(4).Resume())
	sides := [][]int{{0, 1}, {2, 3, 4}}
	fleet.Mesh().Partition(sides, true)
	fleet.waitView(2, 0, 1)
	receivedBefore := received(0)
	fleet.eventually("each side goes on exchanging positions", func() bool { return received(0) > receivedBefore+5 })
	fleet.Mesh().Partition(sides, false)
	fleet.waitView(5, fleet.all()...)
	assert.Zero(t, fleet.metric(0, "fleet_positions.ahead"))
	fleet.finishAndCheck(0.6)
}

// lastSubset returns the numbers of gateways and hosts that a gateway logged last about its subsets, as key=value fields.
func (fleet *testFleet) lastSubset(i int) (gateways, hosts string) {
	for _, e := range fleet.Node(i).FleetEvents() {
		if strings.HasPrefix(e, "fleet_subset ") {
			fields := strings.Fields(e)
			gateways, hosts = fields[1], fields[2]
		}
	}
	return gateways, hosts
}

// Subsets follow the view: the other gateways take over the databases of a killed one, each side of a partition divides all
// databases among its gateways, and a drained gateway prefers none.
func TestFleetShare(t *testing.T) {
	fleet := newTestFleetWithPlan(t, 4, fmt.Sprintf(sharedPlan, 4))
	waitDivided := func(n int, gateways ...int) {
		t.Helper()
		fleet.eventually(fmt.Sprintf("%d gateways divide the databases", n), func() bool {
			for _, i := range gateways {
				// Two or three of the five members of each of two groups.
				if g, h := fleet.lastSubset(i); g != fmt.Sprintf("gateways=%d", n) || h != "hosts=4" && h != "hosts=6" {
					return false
				}
			}
			return true
		})
	}
	waitDivided(4, fleet.all()...)
	fleet.Node(3).Kill()
	waitDivided(3, 0, 1, 2)
	_, err := fleet.Start(3)
	require.NoError(t, err)
	waitDivided(4, fleet.all()...)
	sides := [][]int{{0, 1}, {2, 3}}
	fleet.Mesh().Partition(sides, true)
	waitDivided(2, fleet.all()...)
	fleet.Mesh().Partition(sides, false)
	waitDivided(4, fleet.all()...)
	_, err = fleet.Node(1).Call("PUT", "/v1/gateway/drain")
	require.NoError(t, err)
	fleet.eventually("a drained gateway prefers no database", func() bool { _, h := fleet.lastSubset(1); return h == "hosts=0" })
	waitDivided(3, 0, 2, 3)
	fleet.finishAndCheck(0.8)
}
