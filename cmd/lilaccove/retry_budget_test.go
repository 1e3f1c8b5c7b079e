package main

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/standin"
)

// All databases answer with errors or not at all: retries cannot help, and those of all gateways together would be several
// times the load. They stay within the fleet's share of first attempts while gateways are killed, partitioned and paused.
func TestFleetRetryBudget(t *testing.T) {
	for _, share := range []string{"", ", repeats: 20%"} {
		t.Run("share"+share, func(t *testing.T) {
			fleet := newTestFleetWithPlan(t, 7, strings.NewReplacer("fleet: true", "fleet: true"+share, "120/s", "200/s").Replace(fmt.Sprintf(fleetPlan, 7)))
			fleet.World().SetFaults(standin.Faults{Errors: 0.7, ResetAfter: 0.2})
			before := fleet.World().Counts()
			processes := 7
			fleet.Mesh().Partition([][]int{{0, 1, 2}, {3, 4, 5, 6}}, true)
			firstAttempts := func() int { return fleet.World().Counts().Firsts - before.Firsts }
			fleet.eventually("reads are tried", func() bool { return firstAttempts() > 200 })
			fleet.restart(nil, 1, 5)
			processes += 2
			require.NoError(t, fleet.Node(4).Pause())
			fleet.eventually("reads are tried", func() bool { return firstAttempts() > 500 })
			require.NoError(t, fleet.Node(4).Resume())
			fleet.Mesh().Partition([][]int{{0, 1, 2}, {3, 4, 5, 6}}, false)
			fleet.eventually("reads are tried", func() bool { return firstAttempts() > 900 })
			c := fleet.World().Counts()
			firsts, retries := c.Firsts-before.Firsts, c.Repeats-before.Repeats
			t.Logf("%d first attempts, %d retries", firsts, retries)
			if allowed := 0.21*float64(firsts) + 3*float64(processes); share == "" {
				assert.Greater(t, float64(retries), allowed, "without a retry budget there are more")
			} else {
				assert.LessOrEqual(t, float64(retries), allowed)
				assert.Greater(t, float64(retries), allowed/3, "the budget is used")
			}
			fleet.World().SetFaults(standin.Faults{})
			countsBefore := fleet.World().Counts()
			fleet.eventually("all is served again", func() bool {
				n := fleet.World().Counts()
				return n.Writes > countsBefore.Writes+100 && n.Reads > countsBefore.Reads+300
			})
			fleet.finishAndCheck(0.1)
		})
	}
}
