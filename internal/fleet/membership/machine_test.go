package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// joinedFleet returns a fleet whose views agree.
func joinedFleet(t require.TestingT, seed uint64, size int) *network {
	w := newNetwork(seed, size)
	require.True(t, w.runUntil(w.now+30*time.Second, func() bool { return w.viewsAgree(size) }), "the views converge")
	w.deaths = nil
	return w
}

func TestSingleMemberFleet(t *testing.T) {
	w := newNetwork(1, 1)
	v := w.nodes[0].machine.View()
	require.Len(t, v.Members, 1)
	assert.Equal(t, uint64(1), v.Version)
	w.run(time.Minute)
	assert.Equal(t, uint64(1), w.nodes[0].machine.View().Version)
	assert.Less(t, w.sent[0], 40, "it goes on probing its seeds at growing intervals")
}

func TestKilledMemberLeavesEveryView(t *testing.T) {
	w := joinedFleet(t, 2, 16)
	w.kill(5)
	require.True(t, w.runUntil(w.now+5*time.Second, func() bool { return w.viewsAgree(15) }))
	for _, d := range w.deaths {
		assert.Equal(t, "n005", d.name)
	}
}

// A paused process detects the pause, declares no other member dead and refutes the suspicion raised meanwhile.
func TestPausedProcessDeclaresNoOtherDead(t *testing.T) {
	for seed := range uint64(20) {
		w := joinedFleet(t, seed, 8)
		w.pause(3, 3*time.Second)
		w.run(4 * time.Second)
		require.True(t, w.runUntil(w.now+5*time.Second, func() bool { return w.viewsAgree(8) }))
		for _, d := range w.deaths {
			assert.Equal(t, "n003", d.name, "seed %d", seed)
		}
		assert.Positive(t, w.nodes[3].machine.Counts().Pauses)
		assert.Positive(t, w.nodes[3].machine.Counts().Refutations)
	}
}

// A suspicion whose timeout passed while its process was paused must not lead to a death: the refutation may still be
// unread, or the suspected member was not notified yet.
func TestSuspicionDoesNotExpireDuringPause(t *testing.T) {
	w := joinedFleet(t, 3, 8)
	n := w.nodes[3]
	e := n.machine.members["n006"].Entry
	e.State, e.SuspectedBy = Suspect, "n003"
	require.True(t, n.machine.suspect(n.machine.members["n006"], e))
	n.machine.finish()
	w.flush(n)
	w.pause(3, 12*time.Second)
	w.run(20 * time.Second)
	for _, d := range w.deaths {
		assert.Equal(t, "n003", d.name)
	}
	assert.True(t, w.viewsAgree(8))
}

func TestOneWayCutCausesNoDeaths(t *testing.T) {
	w := joinedFleet(t, 4, 8)
	w.cut = func(from, to int) bool { return from == 2 && to == 6 }
	w.run(30 * time.Second)
	assert.Empty(t, w.deaths)
	for _, n := range w.nodes {
		assert.Zero(t, n.machine.Counts().Suspicions, "helpers reach a member that the link does not")
	}
	assert.True(t, w.viewsAgree(8))
}

func TestPartitionHealsToOneView(t *testing.T) {
	w := joinedFleet(t, 5, 12)
	w.cut = func(from, to int) bool { return (from < 5) != (to < 5) }
	require.True(t, w.runUntil(w.now+15*time.Second, func() bool {
		return len(w.nodes[0].machine.View().Members) == 5 && len(w.nodes[11].machine.View().Members) == 7
	}), "each side continues alone")
	w.cut = nil
	assert.True(t, w.runUntil(w.now+15*time.Second, func() bool { return w.viewsAgree(12) }))
}

func TestLeaveIsImmediateAndJoinReturns(t *testing.T) {
	w := joinedFleet(t, 6, 8)
	w.nodes[4].machine.Leave(w.now)
	w.flush(w.nodes[4])
	left := func() bool {
		for i, n := range w.nodes {
			if i != 4 && n.sees("n004") {
				return false
			}
		}
		return true
	}
	require.True(t, w.runUntil(w.now+900*time.Millisecond, left), "a leave does not wait for a suspicion")
	assert.Empty(t, w.deaths)
	assert.False(t, w.nodes[4].sees("n004"))
	w.kill(2)
	require.True(t, w.runUntil(w.now+8*time.Second, func() bool { return !w.nodes[4].sees("n002") }), "it continues to observe")
	w.nodes[4].machine.Join(w.now)
	w.flush(w.nodes[4])
	assert.True(t, w.runUntil(w.now+5*time.Second, func() bool { return w.viewsAgree(7) }))
}

// A restarted process takes over its name at once, even before the death of the first was detected.
func TestRestartUnderTheSameName(t *testing.T) {
	w := joinedFleet(t, 7, 8)
	first := w.nodes[3].machine.self.Session
	w.kill(3)
	w.run(300 * time.Millisecond)
	w.start(3, "n003", w.now)
	require.True(t, w.runUntil(w.now+5*time.Second, func() bool { return w.viewsAgree(8) }))
	for _, m := range w.nodes[0].machine.View().Members {
		if m.Name == "n003" {
			assert.NotEqual(t, first, m.Session)
		}
	}
}

// The clock was set back between two starts: the initial incarnation is too small and must be raised.
func TestRestartWithClockSetBack(t *testing.T) {
	w := joinedFleet(t, 8, 8)
	for _, wait := range []time.Duration{100 * time.Millisecond, 10 * time.Second} {
		w.kill(3)
		w.run(wait)
		n := w.start(3, "n003", w.now-time.Hour)
		require.True(t, w.runUntil(w.now+12*time.Second, func() bool { return w.viewsAgree(8) }), "after %v", wait)
		self, member := n.machine.Self()
		assert.True(t, member)
		assert.Greater(t, self.Incarnation, uint64((w.now - time.Hour).Microseconds()))
	}
}

func TestDuplicateName(t *testing.T) {
	w := joinedFleet(t, 9, 6)
	w.start(6, "n003", w.now)
	nameInView := func(n *node) (found, flagged bool) {
		for _, m := range n.machine.View().Members {
			if m.Name == "n003" {
				return true, m.DuplicateName
			}
		}
		return false, false
	}
	require.True(t, w.runUntil(w.now+10*time.Second, func() bool {
		for _, n := range w.running() {
			if _, flagged := nameInView(n); !flagged {
				return false
			}
		}
		return true
	}), "each view shows the duplicate name")
	assert.True(t, w.nodes[3].machine.Superseded(), "the newer one has the name")
	assert.False(t, w.nodes[6].machine.Superseded())
	before := w.nodes[0].machine.View().Version
	w.run(20 * time.Second)
	assert.Equal(t, before, w.nodes[0].machine.View().Version, "the two do not keep taking the name from each other")
	w.kill(6)
	require.True(t, w.runUntil(w.now+15*time.Second, func() bool {
		found, flagged := nameInView(w.nodes[0])
		return !w.nodes[3].machine.Superseded() && found && !flagged
	}), "the first reclaims the name when the second has ended")
}

// If a name is dialled at a configured address, only the holder of the name is there. The other process must be
// answered at the address that it advertises, with the entry of the holder.
func TestDuplicateNameIsAnsweredAtItsOwnAddress(t *testing.T) {
	m := New(Config{Name: "a", Addr: addrOf(0), Start: epoch, Session: 1}, epoch)
	m.Receive(epoch, Message{Kind: Gossip, From: Entry{Name: "b", Addr: addrOf(1), Incarnation: 9, Session: 2}}, 0)
	for range 40 { // until the update is no longer piggybacked
		m.Receive(epoch, Message{Kind: Ping, From: Entry{Name: "b", Addr: addrOf(1), Incarnation: 9, Session: 2}, Seq: 1}, 0)
	}
	m.Take()
	m.Receive(epoch, Message{Kind: Ping, From: Entry{Name: "b", Addr: addrOf(2), Incarnation: 5, Session: 3}, Target: "a", Session: 1, Seq: 7}, 0)
	out, _ := m.Take()
	require.Len(t, out, 1)
	assert.True(t, out[0].Direct)
	assert.Equal(t, addrOf(2), out[0].Addr)
	require.NotEmpty(t, out[0].Message.Updates)
	assert.Equal(t, uint64(2), out[0].Message.Updates[0].Session)
}

// During an upgrade two processes may share a name without being reported as duplicates.
func TestUpgradeIsOneMember(t *testing.T) {
	w := joinedFleet(t, 10, 6)
	w.nodes[3].machine.SetSibling(true)
	w.start(6, "n003", w.now).machine.SetSibling(true)
	for range 50 {
		w.run(100 * time.Millisecond)
		require.True(t, w.nodes[0].sees("n003"), "the name stays in the view")
		require.Len(t, w.nodes[0].machine.View().Members, 6)
		require.False(t, w.nodes[6].machine.self.DuplicateName)
	}
	assert.True(t, w.nodes[3].machine.Superseded())
	w.nodes[3].machine.Leave(w.now) // its process ends
	w.kill(3)
	w.run(10 * time.Second)
	assert.True(t, w.nodes[0].sees("n003"))
}

// A member that flaps faster than Config.StableAfter does not change the views of others.
func TestFlappingDoesNotChangeTheView(t *testing.T) {
	w := joinedFleet(t, 11, 6)
	m := w.nodes[0].machine
	before := m.View().Version
	e := m.members["n003"].Entry
	for i := range 40 {
		e.Incarnation++
		if e.State = Alive; i%2 == 0 {
			e.State = Dead
		}
		w.now += 300 * time.Millisecond
		m.applyUpdate(e)
		m.now = w.now
		m.updateView()
	}
	assert.Equal(t, before, m.View().Version)
}

func TestAllSeedsDown(t *testing.T) {
	w := newNetwork(12, 2)
	w.kill(0)
	w.kill(1)
	n := w.start(2, "n002", w.now)
	w.run(20 * time.Second)
	assert.Len(t, n.machine.View().Members, 1)
	w.start(0, "n000", w.now)
	assert.True(t, w.runUntil(w.now+10*time.Second, func() bool { return w.viewsAgree(2) }), "seeds are probed indefinitely")
}

func TestMemberListIsBounded(t *testing.T) {
	m := New(Config{Name: "a", Addr: addrOf(0), Start: epoch, Session: 1, MaxMembers: 10}, epoch)
	for i := range 50 {
		m.Receive(epoch, Message{Kind: Gossip, From: Entry{Name: "b", Addr: addrOf(1), Incarnation: 1, Session: 2},
			Updates: []Entry{{Name: string(rune('A' + i)), Addr: addrOf(2), Incarnation: 1, Session: 3}}}, 0)
	}
	assert.LessOrEqual(t, len(m.Members()), 10)
	assert.Positive(t, m.Counts().Overflow)
}

// In a calm fleet no full lists are exchanged, since the digests are equal.
func TestCalmFleetExchangesNoLists(t *testing.T) {
	w := joinedFleet(t, 14, 40)
	w.run(10 * time.Second)
	count := func() (n uint64) {
		for _, o := range w.nodes {
			n += o.machine.Counts().Exchanges
		}
		return n
	}
	before := count()
	w.run(30 * time.Second)
	assert.Equal(t, before, count())
}

func TestRunIsDeterministic(t *testing.T) {
	fingerprint := func() (n int) {
		w := joinedFleet(t, 13, 20)
		w.loss = 0.2
		w.kill(4)
		w.run(10 * time.Second)
		for i := range w.nodes {
			n = n*31 + w.sent[i]
		}
		return n
	}
	assert.Equal(t, fingerprint(), fingerprint())
}

// Members that left are forgotten by all, although gateways continually join, leave and exchange lists, each start
// under a new name.
func TestDepartedMembersAreForgottenByAll(t *testing.T) {
	const size, seeds, interval = 6, 2, 20 * time.Second
	w := joinedFleet(t, 1, size)
	departedAt := map[string]time.Duration{}
	for next := size; w.now < epoch+5*tombstoneTTL/2; next++ {
		i := seeds + next%(size-seeds)
		n := w.nodes[i]
		n.machine.Leave(w.now)
		w.tick(n)
		departedAt[n.name] = w.now
		w.run(time.Second)
		w.kill(i)
		w.start(i, fmt.Sprintf("n%03d", next), w.now)
		w.run(interval)
	}
	for _, n := range w.nodes {
		for _, known := range n.machine.sorted {
			if at, ok := departedAt[known.Name]; ok {
				assert.Less(t, w.now-at, tombstoneTTL*3/2, "%s remembers %s", n.name, known.Name)
			}
		}
	}
}

// A departure older than tombstoneTTL is ignored; a younger one is remembered for the rest of that time.
func TestExpiredDepartureIsIgnored(t *testing.T) {
	w := joinedFleet(t, 1, 3)
	m := w.nodes[0].machine
	other := w.nodes[1].machine.self
	receiveLeft := func(name string, goneFor time.Duration) {
		e := Entry{Name: name, Addr: addrOf(9), Incarnation: 5, Session: 7, State: Left, GoneForMS: uint32(goneFor / time.Millisecond)}
		m.handleMessage(Message{Kind: Gossip, From: other, Updates: []Entry{e}}, 0)
	}
	receiveLeft("old", tombstoneTTL)
	assert.NotContains(t, m.members, "old")
	receiveLeft("late", tombstoneTTL-time.Minute)
	require.Contains(t, m.members, "late")
	w.run(2 * time.Minute)
	assert.NotContains(t, m.members, "late")
}
