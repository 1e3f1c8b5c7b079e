package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// agentSettings are those of one of many routers that each have an agent of their own, with a short grace for drains.
func agentSettings() Settings {
	set := base()
	set.Routers, set.ListSource, set.DrainGrace = 300, ListFromAgent, 250*ms
	return set
}

// asks returns the calls for the list among the last actions.
func (g *rig) asks() (list []Subscribe) {
	for _, a := range g.got {
		if s, ok := a.(Subscribe); ok {
			list = append(list, s)
		}
	}
	return list
}

// A call that hangs, the pause behind it and the next call fit into the grace of a drain, however large the fleet is and
// however often calls failed; what fails at once is not asked again without end.
func TestAgentIsAskedWithinTheGraceOfADrain(t *testing.T) {
	g := newRig(t, agentSettings())
	calls := g.asks()
	require.Len(t, calls, 1, "at the start it is asked at once")
	for range 50 {
		within := calls[0].Timeout
		g.at(within, ListUpdate{Kind: ListFailed})
		waited := within
		for calls = g.asks(); len(calls) == 0; calls = g.asks() {
			g.at(ms)
			waited += ms
		}
		require.Len(t, calls, 1)
		require.Greater(t, waited-within, 10*ms)
		require.LessOrEqual(t, waited, 100*ms, "a process may be held up for 0.15 s besides")
	}
}

// Requests wait until the list of the start was compared with the agent's, and not longer than the agent can be waited for.
func TestRequestsWaitForTheAgent(t *testing.T) {
	g := newRig(t, agentSettings())
	g.at(0, ListUpdate{Kind: ListCached, Entries: []Member{{Host: "p", Primary: true}, {Host: "a"}}})
	g.ask("r", loose)
	assert.Empty(t, g.sends())
	g.at(20*ms, ListUpdate{Kind: ListFailed})
	assert.Empty(t, g.sends(), "a failure tells nothing")
	g.at(20*ms, ListUpdate{Kind: ListDelta, Entries: []Member{{Host: "a", Status: Draining}}})
	g.wantSend("p")

	silent := newRig(t, agentSettings())
	silent.at(StartupTimeout, ListUpdate{Kind: ListFailed})
	silent.ask("r", loose)
	assert.Len(t, silent.sends(), 1, "an agent that stays silent has nothing newer that could be learned")
	assert.Less(t, StartupTimeout, 10*time.Second, "a restarted process is ready by then")
}

// Requests wait for what operators said before this process began, and not longer than for the list.
func TestRequestsWaitForWhatOperatorsSaid(t *testing.T) {
	g := newRig(t, base())
	g.at(0, OverridesPending{Active: true})
	g.ask("r", loose)
	assert.Empty(t, g.sends())
	g.at(20*ms, SuspensionChanged{Host: "a", Active: true}, SuspensionChanged{Host: "b", Active: true})
	assert.Empty(t, g.sends())
	g.at(20*ms, OverridesPending{Active: false})
	g.wantSend("p")

	never := newRig(t, base())
	never.at(StartupTimeout, OverridesPending{Active: true})
	never.ask("r", loose)
	assert.Len(t, never.sends(), 1, "a folder that cannot be read for so long has a process serve by what it knows")
}
