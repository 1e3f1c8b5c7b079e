package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// agentSettings are those of one of many routers that each have an agent of their own, with a short grace for drains.
func agentSettings() Settings {
	set := baseSettings()
	set.Routers, set.ListSource, set.DrainGrace = 300, ListFromAgent, 250*ms
	return set
}

// subscriptions returns the calls for the list among the last actions.
func (g *rig) subscriptions() (list []Subscribe) {
	for _, a := range g.actions {
		if s, ok := a.(Subscribe); ok {
			list = append(list, s)
		}
	}
	return list
}

// A call that hangs, the pause behind it and the next call fit into the grace of a drain, however large the fleet is and
// however often calls failed; what fails at once is not asked again without end.
func TestAgentIsCalledWithinDrainGrace(t *testing.T) {
	rig := newRig(t, agentSettings())
	calls := rig.subscriptions()
	require.Len(t, calls, 1, "at the start it is asked at once")
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
		require.LessOrEqual(t, waited, 100*ms, "a process may be held up for 0.15 s besides")
	}
}

// Requests wait until the list of the start was compared with the agent's, and not longer than the agent can be waited for.
func TestRequestsWaitForAgentList(t *testing.T) {
	rig := newRig(t, agentSettings())
	rig.advance(0, ListUpdate{Kind: ListCached, Entries: []Member{{Host: "p", Primary: true}, {Host: "a"}}})
	rig.request("r", loose)
	assert.Empty(t, rig.sends())
	rig.advance(20*ms, ListUpdate{Kind: ListFailed})
	assert.Empty(t, rig.sends(), "a failure tells nothing")
	rig.advance(20*ms, ListUpdate{Kind: ListDelta, Entries: []Member{{Host: "a", Status: Draining}}})
	rig.wantSend("p")

	silentAgent := newRig(t, agentSettings())
	silentAgent.advance(StartupTimeout, ListUpdate{Kind: ListFailed})
	silentAgent.request("r", loose)
	assert.Len(t, silentAgent.sends(), 1, "an agent that stays silent has nothing newer that could be learned")
	assert.Less(t, StartupTimeout, 10*time.Second, "a restarted process is ready by then")
}

// Requests wait for what operators said before this process began, and not longer than for the list.
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
	assert.Len(t, unreadable.sends(), 1, "a folder that cannot be read for so long has a process serve by what it knows")
}
