package main

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/peer"
)

// A gateway whose watch sends heartbeats but no changes any more learns from the other gateways that there is a newer list, and
// asks for it. No other gateway asks.
func TestFleetAuditStraggler(t *testing.T) {
	fleet := newTestFleetWithPlan(t, 4, fmt.Sprintf(sharedPlan, 4))
	fleet.makeLagging(0)
	known := fleet.metric(0, "known_databases")
	require.NoError(t, fleet.World().AddReplica(0))
	for i := 1; i < 4; i++ {
		fleet.eventually("the others receive the change", func() bool { return fleet.metric(i, "known_databases") == known+1 })
	}
	fleet.eventually("the straggler gets the new list", func() bool { return fleet.metric(0, "known_databases") == known+1 })
	assert.Equal(t, 1, fleet.metric(0, "fleet_behind_asked"))
	for i := 1; i < 4; i++ {
		assert.Zero(t, fleet.metric(i, "fleet_behind_asked"))
	}
	fleet.eventually("each gateway knows the list version of all, and they are equal", func() bool {
		lists := map[int64]bool{}
		for i := range 4 {
			text, err := fleet.Node(i).Call("GET", "/v1/fleet/versions")
			require.NoError(t, err)
			var r peer.VersionsReport
			require.NoError(t, json.Unmarshal(text, &r))
			if len(r.Versions) != 4 {
				return false
			}
			for _, v := range r.Versions {
				lists[v.ListVersion] = true
			}
		}
		return len(lists) == 1
	})
	fleet.finishAndCheck(0.7)
}
