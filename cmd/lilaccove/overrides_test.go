package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/load/plan"
	"lilaccove/internal/peer"
	"lilaccove/internal/standin"
)

// overrideState returns the overrides that gateway i knows.
func (fleet *testFleet) overrideState(i int) (r peer.StateReport) {
	text, err := fleet.Node(i).Call("GET", "/v1/fleet/state")
	require.NoError(fleet.t, err)
	require.NoError(fleet.t, json.Unmarshal(text, &r))
	return r
}

// setOverride suspends or resumes a database in the whole fleet by a call to gateway i, and returns the answer.
func (fleet *testFleet) setOverride(i int, host, verb string) string {
	fleet.t.Helper()
	text, err := fleet.Node(i).Call("PUT", "/v1/fleet/databases/"+host+"/"+verb)
	require.NoError(fleet.t, err)
	return strings.TrimSpace(string(text))
}

// waitSuspendedCount waits until the given gateways skip n databases.
func (fleet *testFleet) waitSuspendedCount(n int, gateways ...int) {
	fleet.t.Helper()
	fleet.eventually(fmt.Sprintf("%d databases are skipped at %v", n, gateways), func() bool {
		for _, i := range gateways {
			if fleet.metric(i, "skipped_databases") != n {
				return false
			}
		}
		return true
	})
}

// settledStatementCount waits until the statements in progress at a suspended database have ended, and returns how many it has
// begun.
func (fleet *testFleet) settledStatementCount(host *standin.Host) int {
	fleet.t.Helper()
	fleet.eventually("the statements in progress have ended", func() bool {
		before, reads := host.StatementCount(), fleet.World().Counts().Reads
		fleet.eventually("reads go on elsewhere", func() bool { return fleet.World().Counts().Reads > reads+30 })
		return host.StatementCount() == before
	})
	return host.StatementCount()
}

// An override set at one gateway binds all. A gateway that is killed and starts again without stored state learns it before it
// accepts clients: the suspended database gets no statement throughout.
func TestFleetStateSuspension(t *testing.T) {
	fleet := newTestFleetWithPlan(t, 4, fmt.Sprintf(sharedPlan, 4))
	host := fleet.World().Members()[0] // a primary: a gateway without the override uses it first
	fleet.eventually("it is in use", func() bool { return host.StatementCount() > 20 })
	fleet.setOverride(2, host.ID, "suspend")
	fleet.waitSuspendedCount(1, fleet.all()...)
	require.Equal(t, fleet.overrideState(0).Digest, fleet.overrideState(3).Digest)
	statements := fleet.settledStatementCount(host)
	for _, i := range []int{2, 0} {
		fleet.Node(i).Kill()
		for j := range 4 { // what the others know takes long to arrive
			fleet.Mesh().SetLink(i, j, plan.Link{Delay: 200 * time.Millisecond})
			fleet.Mesh().SetLink(j, i, plan.Link{Delay: 200 * time.Millisecond})
		}
		_, err := fleet.Start(i)
		require.NoError(t, err)
		fleet.eventually("the load balancer admits it again", func() bool { return fleet.Balancer().Admitted() == 4 && fleet.overrideState(i).Synced })
		reads := fleet.World().Counts().Reads
		fleet.eventually("reads go on", func() bool { return fleet.World().Counts().Reads > reads+200 })
	}
	fleet.waitSuspendedCount(1, fleet.all()...)
	assert.Equal(t, statements, host.StatementCount(), "a restarted gateway used it")
	fleet.setOverride(1, host.ID, "resume")
	fleet.waitSuspendedCount(0, fleet.all()...)
	fleet.eventually("it is in use again", func() bool { return host.StatementCount() > statements })
	_, err := fleet.Node(1).Call("PUT", "/v1/fleet/databases/nobody/suspend")
	assert.ErrorContains(t, err, "404")
	fleet.finishAndCheck(0.7)
}

// Two gateways are killed and start again together without stored state, with shorter delays to each other than to those that have
// the override. That their copies are equal must not count as synchronized: both learn the override before they accept clients.
func TestFleetStateTwoRestartTogether(t *testing.T) {
	fleet := newTestFleetWithPlan(t, 4, fmt.Sprintf(sharedPlan, 4))
	host := fleet.World().Members()[0]
	fleet.eventually("it is in use", func() bool { return host.StatementCount() > 20 })
	fleet.setOverride(0, host.ID, "suspend")
	fleet.waitSuspendedCount(1, fleet.all()...)
	statements := fleet.settledStatementCount(host)
	for _, i := range []int{0, 1} {
		for _, j := range []int{2, 3} {
			fleet.Mesh().SetLink(i, j, plan.Link{Delay: 200 * time.Millisecond})
			fleet.Mesh().SetLink(j, i, plan.Link{Delay: 200 * time.Millisecond})
		}
	}
	for range 2 {
		fleet.restart(nil, 2, 3)
		fleet.eventually("the load balancer admits both again", func() bool {
			return fleet.Balancer().Admitted() == 4 && fleet.overrideState(2).Synced && fleet.overrideState(3).Synced
		})
		reads := fleet.World().Counts().Reads
		fleet.eventually("reads go on", func() bool { return fleet.World().Counts().Reads > reads+200 })
		fleet.waitSuspendedCount(1, fleet.all()...)
	}
	assert.Equal(t, statements, host.StatementCount(), "a restarted gateway used it")
	fleet.finishAndCheck(0.6)
}

// Overrides set on both sides of a partition conflict: the database stays suspended and the conflict is reported until an operator
// sets another override.
func TestFleetStateConflict(t *testing.T) {
	fleet := newTestFleetWithPlan(t, 4, fmt.Sprintf(sharedPlan, 4))
	host := fleet.World().Members()[2].ID
	fleet.setOverride(0, host, "suspend")
	fleet.waitSuspendedCount(1, fleet.all()...)
	sides := [][]int{{0, 1}, {2, 3}}
	fleet.Mesh().Partition(sides, true)
	fleet.waitView(2, 0, 1)
	fleet.setOverride(0, host, "resume")
	fleet.waitSuspendedCount(0, 0, 1)
	fleet.setOverride(3, host, "suspend")
	fleet.waitSuspendedCount(1, 2, 3)
	fleet.Mesh().Partition(sides, false)
	fleet.waitSuspendedCount(1, fleet.all()...)
	fleet.eventually("each reports the conflict", func() bool {
		for i := range 4 {
			if s := fleet.overrideState(i); len(s.Conflicts) != 1 || s.Digest != fleet.overrideState(0).Digest {
				return false
			}
		}
		return true
	})
	fleet.setOverride(2, host, "resume")
	fleet.waitSuspendedCount(0, fleet.all()...)
	assert.Empty(t, fleet.overrideState(1).Conflicts)
	// A suspension at a single gateway holds independently of the fleet's overrides.
	_, err := fleet.Node(0).Call("PUT", "/v1/databases/"+host+"/suspend")
	require.NoError(t, err)
	fleet.setOverride(1, host, "suspend")
	fleet.waitSuspendedCount(1, fleet.all()...)
	fleet.setOverride(1, host, "resume")
	fleet.waitSuspendedCount(0, 1, 2, 3)
	fleet.waitSuspendedCount(1, 0)
	fleet.finishAndCheck(0.7)
}

// A gateway is drained by an override set at another one while it is cut off. It drains once it receives the override, and again
// after it was killed and restarted; only an override of the fleet activates it again, not a call to itself.
func TestFleetStateDrain(t *testing.T) {
	fleet := newTestFleetWithPlan(t, 4, storePlan)
	setGatewayOverride := func(i int, verb string) {
		t.Helper()
		_, err := fleet.Node(i).Call("PUT", "/v1/fleet/gateways/n2/"+verb)
		require.NoError(t, err)
	}
	drained := func() bool {
		_, err := fleet.Node(2).Call("GET", "/v1/readyz")
		return err != nil && strings.Contains(err.Error(), "drained by a word to the fleet")
	}
	sides := [][]int{{2}, {0, 1, 3}}
	fleet.Mesh().Partition(sides, true)
	fleet.waitView(3, 0, 1, 3)
	setGatewayOverride(0, "drain")
	passed := fleet.metric(2, "passed.browse")
	fleet.eventually("it serves on while it is cut off", func() bool { return fleet.metric(2, "passed.browse") > passed+10 })
	fleet.Mesh().Partition(sides, false)
	fleet.eventually("it is drained", func() bool { return drained() && fleet.Balancer().Admitted() == 3 })
	fleet.restart(nil, 2)
	fleet.eventually("it is drained after a restart", func() bool { return drained() && fleet.overrideState(2).Synced })
	_, err := fleet.Node(2).Call("PUT", "/v1/gateway/activate")
	require.NoError(t, err)
	fleet.waitView(3, 0, 1, 3)
	assert.True(t, drained())
	assert.Equal(t, 3, fleet.Balancer().Admitted())
	assert.Zero(t, fleet.metric(2, "passed.browse"))
	setGatewayOverride(1, "activate")
	fleet.eventually("it serves again", func() bool { return fleet.Balancer().Admitted() == 4 && fleet.metric(2, "passed.browse") > 0 })
	fleet.waitView(4, fleet.all()...)
	_, err = fleet.Node(0).Call("PUT", "/v1/fleet/gateways/nobody/drain")
	assert.ErrorContains(t, err, "404")
	fleet.finishAndCheck(0.5)
}
