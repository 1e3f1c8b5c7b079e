package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// joined is a fleet whose views agree.
func joined(t require.TestingT, seed uint64, n int) *network {
	w := newNetwork(seed, n)
	require.True(t, w.until(w.now+30*time.Second, func() bool { return w.agreed(n) }), "the fleet comes together")
	w.deaths = nil
	return w
}

func TestAloneIsAFleetOfOne(t *testing.T) {
	w := newNetwork(1, 1)
	v := w.nodes[0].m.View()
	require.Len(t, v.Members, 1)
	assert.Equal(t, uint64(1), v.Version)
	w.run(time.Minute)
	assert.Equal(t, uint64(1), w.nodes[0].m.View().Version)
	assert.Less(t, w.sent[0], 40, "it goes on trying its seeds, ever more slowly")
}

func TestKilledLeavesEveryView(t *testing.T) {
	w := joined(t, 2, 16)
	w.kill(5)
	require.True(t, w.until(w.now+5*time.Second, func() bool { return w.agreed(15) }))
	for _, d := range w.deaths {
		assert.Equal(t, "n005", d.name)
	}
}

// Who was stopped finds that out, doubts itself and refutes what was said meanwhile.
func TestStoppedBlamesNobodyElse(t *testing.T) {
	for seed := range uint64(20) {
		w := joined(t, seed, 8)
		w.stop(3, 3*time.Second)
		w.run(4 * time.Second)
		require.True(t, w.until(w.now+5*time.Second, func() bool { return w.agreed(8) }))
		for _, d := range w.deaths {
			assert.Equal(t, "n003", d.name, "seed %d", seed)
		}
		assert.Positive(t, w.nodes[3].m.Counts().Pauses)
		assert.Positive(t, w.nodes[3].m.Counts().Refutations)
	}
}

// A suspicion that ran out while its process stood still is not carried out: the refutation may lie unread, or the
// suspected one has not been told.
func TestStoppedWithADoubt(t *testing.T) {
	w := joined(t, 3, 8)
	n := w.nodes[3]
	e := n.m.members["n006"].Entry
	e.State, e.SuspectedBy = Suspect, "n003"
	require.True(t, n.m.suspect(n.m.members["n006"], e))
	n.m.finish()
	w.after(n)
	w.stop(3, 12*time.Second)
	w.run(20 * time.Second)
	for _, d := range w.deaths {
		assert.Equal(t, "n003", d.name)
	}
	assert.True(t, w.agreed(8))
}

func TestOneWayCutKillsNobody(t *testing.T) {
	w := joined(t, 4, 8)
	w.cut = func(from, to int) bool { return from == 2 && to == 6 }
	w.run(30 * time.Second)
	assert.Empty(t, w.deaths)
	for _, n := range w.nodes {
		assert.Zero(t, n.m.Counts().Suspicions, "helpers reach whom a link does not")
	}
	assert.True(t, w.agreed(8))
}

func TestPartitionHealsToOneView(t *testing.T) {
	w := joined(t, 5, 12)
	w.cut = func(from, to int) bool { return (from < 5) != (to < 5) }
	require.True(t, w.until(w.now+15*time.Second, func() bool {
		return len(w.nodes[0].m.View().Members) == 5 && len(w.nodes[11].m.View().Members) == 7
	}), "each side goes on alone")
	w.cut = nil
	assert.True(t, w.until(w.now+15*time.Second, func() bool { return w.agreed(12) }))
}

func TestLeaveIsAtOnceAndJoinComesBack(t *testing.T) {
	w := joined(t, 6, 8)
	w.nodes[4].m.Leave(w.now)
	w.after(w.nodes[4])
	left := func() bool {
		for i, n := range w.nodes {
			if i != 4 && n.sees("n004") {
				return false
			}
		}
		return true
	}
	require.True(t, w.until(w.now+900*time.Millisecond, left), "nobody waits until it is suspected")
	assert.Empty(t, w.deaths)
	assert.False(t, w.nodes[4].sees("n004"))
	w.kill(2)
	require.True(t, w.until(w.now+8*time.Second, func() bool { return !w.nodes[4].sees("n002") }), "it goes on observing")
	w.nodes[4].m.Join(w.now)
	w.after(w.nodes[4])
	assert.True(t, w.until(w.now+5*time.Second, func() bool { return w.agreed(7) }))
}

// A return under the same name prevails at once, even before the end of the first was noticed.
func TestReturnUnderTheSameName(t *testing.T) {
	w := joined(t, 7, 8)
	first := w.nodes[3].m.self.Session
	w.kill(3)
	w.run(300 * time.Millisecond)
	w.start(3, "n003", w.now)
	require.True(t, w.until(w.now+5*time.Second, func() bool { return w.agreed(8) }))
	for _, m := range w.nodes[0].m.View().Members {
		if m.Name == "n003" {
			assert.NotEqual(t, first, m.Session)
		}
	}
}

// The clock went back between two starts: the first incarnation is too small and is raised.
func TestReturnWithAClockThatWentBack(t *testing.T) {
	w := joined(t, 8, 8)
	for _, wait := range []time.Duration{100 * time.Millisecond, 10 * time.Second} {
		w.kill(3)
		w.run(wait)
		n := w.start(3, "n003", w.now-time.Hour)
		require.True(t, w.until(w.now+12*time.Second, func() bool { return w.agreed(8) }), "after %v", wait)
		own, member := n.m.Self()
		assert.True(t, member)
		assert.Greater(t, own.Incarnation, uint64((w.now - time.Hour).Microseconds()))
	}
}

func TestTwoProcessesOfOneName(t *testing.T) {
	w := joined(t, 9, 6)
	w.start(6, "n003", w.now)
	twice := func(n *node) (found, flagged bool) {
		for _, m := range n.m.View().Members {
			if m.Name == "n003" {
				return true, m.DuplicateName
			}
		}
		return false, false
	}
	require.True(t, w.until(w.now+10*time.Second, func() bool {
		for _, n := range w.up() {
			if _, flagged := twice(n); !flagged {
				return false
			}
		}
		return true
	}), "each view tells of the fault")
	assert.True(t, w.nodes[3].m.Superseded(), "the newer one has the name")
	assert.False(t, w.nodes[6].m.Superseded())
	before := w.nodes[0].m.View().Version
	w.run(20 * time.Second)
	assert.Equal(t, before, w.nodes[0].m.View().Version, "they do not take it from each other again and again")
	w.kill(6)
	require.True(t, w.until(w.now+15*time.Second, func() bool {
		found, flagged := twice(w.nodes[0])
		return !w.nodes[3].m.Superseded() && found && !flagged
	}), "the first takes the name back when the second has ended")
}

// Where a name is dialled at a set address, only the one that has the name is there: the other is answered at the
// address it told, and told who has its name.
func TestTheOtherProcessOfANameIsAnswered(t *testing.T) {
	m := New(Config{Name: "a", Addr: at(0), Start: epoch, Session: 1}, epoch)
	m.Receive(epoch, Message{Kind: Gossip, From: Entry{Name: "b", Addr: at(1), Incarnation: 9, Session: 2}}, 0)
	for range 40 { // until that is no news any more
		m.Receive(epoch, Message{Kind: Ping, From: Entry{Name: "b", Addr: at(1), Incarnation: 9, Session: 2}, Seq: 1}, 0)
	}
	m.Take()
	m.Receive(epoch, Message{Kind: Ping, From: Entry{Name: "b", Addr: at(2), Incarnation: 5, Session: 3}, Target: "a", Session: 1, Seq: 7}, 0)
	out, _ := m.Take()
	require.Len(t, out, 1)
	assert.True(t, out[0].Direct)
	assert.Equal(t, at(2), out[0].Addr)
	require.NotEmpty(t, out[0].Message.Updates)
	assert.Equal(t, uint64(2), out[0].Message.Updates[0].Session)
}

// During an upgrade two processes of a name are as it should be.
func TestUpgradeIsOneMember(t *testing.T) {
	w := joined(t, 10, 6)
	w.nodes[3].m.SetSibling(true)
	w.start(6, "n003", w.now).m.SetSibling(true)
	for range 50 {
		w.run(100 * time.Millisecond)
		require.True(t, w.nodes[0].sees("n003"), "the name is in the view all along")
		require.Len(t, w.nodes[0].m.View().Members, 6)
		require.False(t, w.nodes[6].m.self.DuplicateName)
	}
	assert.True(t, w.nodes[3].m.Superseded())
	w.nodes[3].m.Leave(w.now) // it ends
	w.kill(3)
	w.run(10 * time.Second)
	assert.True(t, w.nodes[0].sees("n003"))
}

// A member that comes and goes faster than the hold does not move the views of others.
func TestFlappingDoesNotMoveTheView(t *testing.T) {
	w := joined(t, 11, 6)
	m := w.nodes[0].m
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

func TestSeedsAllDown(t *testing.T) {
	w := newNetwork(12, 2)
	w.kill(0)
	w.kill(1)
	n := w.start(2, "n002", w.now)
	w.run(20 * time.Second)
	assert.Len(t, n.m.View().Members, 1)
	w.start(0, "n000", w.now)
	assert.True(t, w.until(w.now+10*time.Second, func() bool { return w.agreed(2) }), "seeds are tried for ever")
}

func TestListIsBounded(t *testing.T) {
	m := New(Config{Name: "a", Addr: at(0), Start: epoch, Session: 1, MaxMembers: 10}, epoch)
	for i := range 50 {
		m.Receive(epoch, Message{Kind: Gossip, From: Entry{Name: "b", Addr: at(1), Incarnation: 1, Session: 2},
			Updates: []Entry{{Name: string(rune('A' + i)), Addr: at(2), Incarnation: 1, Session: 3}}}, 0)
	}
	assert.LessOrEqual(t, len(m.Members()), 10)
	assert.Positive(t, m.Counts().Overflow)
}

// In a calm fleet nobody sends whole lists: the digests are equal.
func TestCalmFleetExchangesNoLists(t *testing.T) {
	w := joined(t, 14, 40)
	w.run(10 * time.Second)
	count := func() (n uint64) {
		for _, o := range w.nodes {
			n += o.m.Counts().Exchanges
		}
		return n
	}
	before := count()
	w.run(30 * time.Second)
	assert.Equal(t, before, count())
}

func TestSameSeedSameRun(t *testing.T) {
	sum := func() (n int) {
		w := joined(t, 13, 20)
		w.loss = 0.2
		w.kill(4)
		w.run(10 * time.Second)
		for i := range w.nodes {
			n = n*31 + w.sent[i]
		}
		return n
	}
	assert.Equal(t, sum(), sum())
}

// Who has gone is forgotten by all, though gateways come, go and compare their lists all the time, each start under a name of
// its own.
func TestWhoHasGoneIsForgottenByAll(t *testing.T) {
	const size, seeds, every = 6, 2, 20 * time.Second
	w := joined(t, 1, size)
	gone := map[string]time.Duration{}
	for next := size; w.now < epoch+5*tombstoneTTL/2; next++ {
		i := seeds + next%(size-seeds)
		n := w.nodes[i]
		n.m.Leave(w.now)
		w.step(n)
		gone[n.name] = w.now
		w.run(time.Second)
		w.kill(i)
		w.start(i, fmt.Sprintf("n%03d", next), w.now)
		w.run(every)
	}
	for _, n := range w.nodes {
		for _, o := range n.m.sorted {
			if at, ok := gone[o.Name]; ok {
				assert.Less(t, w.now-at, tombstoneTTL*3/2, "%s remembers %s", n.name, o.Name)
			}
		}
	}
}

// One that all forget by now is not news, and one that went a while ago is remembered for the rest of its time.
func TestOldDepartureIsNoNews(t *testing.T) {
	w := joined(t, 1, 3)
	m := w.nodes[0].m
	other := w.nodes[1].m.self
	tell := func(name string, gone time.Duration) {
		e := Entry{Name: name, Addr: at(9), Incarnation: 5, Session: 7, State: Left, GoneForMS: uint32(gone / time.Millisecond)}
		m.handleMessage(Message{Kind: Gossip, From: other, Updates: []Entry{e}}, 0)
	}
	tell("old", tombstoneTTL)
	assert.NotContains(t, m.members, "old")
	tell("late", tombstoneTTL-time.Minute)
	require.Contains(t, m.members, "late")
	w.run(2 * time.Minute)
	assert.NotContains(t, m.members, "late")
}
