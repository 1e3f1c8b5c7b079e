package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// agentSettings returns the settings of one of many routers that each have their own agent, with a short drain grace.
func agentSettings() Settings {
	set := baseSettings()
	set.Routers, set.ListSource, set.DrainGrace = 300, ListFromAgent, 250*ms
	return set
}

// subscriptions returns the calls for the list in the last step.
func (g *rig) subscriptions() (list []Subscribe) {
	for _, a := range g.actions {
		if s, ok := a.(Subscribe); ok {
			list = append(list, s)
		}
	}
	return list
}

// A call that hangs, the delay after it and the next call fit into the drain grace, however large the fleet is and
// however often calls failed. Calls that fail at once are spaced out.
func TestAgentIsCalledWithinDrainGrace(t *testing.T) {
	rig := newRig(t, agentSettings())
	calls := rig.subscriptions()
	require.Len(t, calls, 1, "at the start it is called at once")
	for range 50 {
		timeout := calls[0].Timeout
		rig.advance(timeout, ListUpdate{Kind: ListFailed})
		waited := timeout
		for calls = rig.subscriptions(); len(calls) == 0; calls = rig.subscriptions() {
			rig.advance(ms)
			waited += ms
		}
		require.Len(t, calls, 1)
		require.Greater(t, waited-timeout, 10*ms)
		require.LessOrEqual(t, waited, 100*ms, "leaves 0.15 s for a process pause")
	}
}

// Requests wait until the list of the start has been brought up to date with the agent's, for StartupTimeout at most.
func TestRequestsWaitForAgentList(t *testing.T) {
	rig := newRig(t, agentSettings())
	rig.advance(0, ListUpdate{Kind: ListCached, Entries: []Member{{Host: "p", Primary: true}, {Host: "a"}}})
	rig.request("r", loose)
	assert.Empty(t, rig.sends())
	rig.advance(20*ms, ListUpdate{Kind: ListFailed})
	assert.Empty(t, rig.sends(), "a failure brings no list")
	rig.advance(20*ms, ListUpdate{Kind: ListDelta, Entries: []Member{{Host: "a", Status: Draining}}})
	rig.wantSend("p")

	silentAgent := newRig(t, agentSettings())
	silentAgent.advance(StartupTimeout, ListUpdate{Kind: ListFailed})
	silentAgent.request("r", loose)
	assert.Len(t, silentAgent.sends(), 1, "an agent that stays silent has no newer list")
	assert.Less(t, StartupTimeout, 10*time.Second, "a restarted process is ready by then")
}

// Requests wait for the operator overrides made before this process began, for StartupTimeout at most.
func TestRequestsWaitForOperatorOverrides(t *testing.T) {
	rig := newRig(t, baseSettings())
	rig.advance(0, OverridesPending{Active: true})
	rig.request("r", loose)
	assert.Empty(t, rig.sends())
	rig.advance(20*ms, SuspensionChanged{Host: "a", Active: true}, SuspensionChanged{Host: "b", Active: true})
	assert.Empty(t, rig.sends())
	rig.advance(20*ms, OverridesPending{Active: false})
	rig.wantSend("p")

	unreadable := newRig(t, baseSettings())
	unreadable.advance(StartupTimeout, OverridesPending{Active: true})
	unreadable.request("r", loose)
	assert.Len(t, unreadable.sends(), 1, "if a folder cannot be read for so long, the process serves without its overrides")
}
