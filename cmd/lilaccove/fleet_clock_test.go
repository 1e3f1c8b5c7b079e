package main

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// startWithClockStep starts the given gateways with wall clocks that differ by step from that of the others.
func (fleet *testFleet) startWithClockStep(step time.Duration, gateways ...int) {
	fleet.t.Helper()
	path := filepath.Join(fleet.t.TempDir(), "plan.json")
	require.NoError(fleet.t, os.WriteFile(path, fmt.Appendf(nil, `{"wall_step_ms":%d}`, step.Milliseconds()), 0o600))
	for _, i := range gateways {
		_, err := fleet.StartCommand(i, []string{buildFaultyGateway(fleet.t)}, "LILACCOVE_FAULTS="+path)
		require.NoError(fleet.t, err)
	}
}

// The wall clock of a machine may be stepped between two starts of its gateway, in either direction. The new process joins the
// fleet nevertheless, whether the old one shut down gracefully or was killed.
func TestFleetMembershipAfterClockStep(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, time.Hour} {
		for _, ending := range []string{"killed", "ended"} {
			t.Run(fmt.Sprintf("%s, %v", ending, step), func(t *testing.T) {
				fleet := newTestFleetWithPlan(t, 4, fencePlan(4))
				if ending == "killed" {
					fleet.Node(2).Kill()
				} else {
					require.NoError(t, fleet.Node(2).Terminate())
				}
				fleet.waitView(3, fleet.except(2)...)
				fleet.startWithClockStep(step, 2)
				fleet.waitView(4, fleet.all()...)
				fleet.eventually("it serves clients", func() bool { return fleet.metric(2, "passed.browse") > 20 && fleet.metric(2, "passed.write") > 20 })
				for _, i := range fleet.all() {
					assert.False(t, fleet.everFenced(i), "n%d is never fenced", i)
				}
				assert.Empty(t, fleet.declaredDead(2), "the restarted gateway declares no others dead")
				fleet.finishAndCheck(0.7)
			})
		}
	}
}
