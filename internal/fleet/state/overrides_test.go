package state

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// crew is gateways with copies of the words, and the messages between them.
type crew struct {
	list  []*Overrides
	names []string
	rnd   *rand.Rand
	now   time.Duration
	cut   func(a, b int) bool
	loss  float64
	held  []OverridesSend
	from  []int

	measured bool // messages are measured, and one that is too large for who reads it does not arrive
	largest  int  // bytes of one
}

// arrives is how many bytes of a message a gateway reads: 2048 with the envelope and the sender's name.
const arrives = 2048 - 100

func newCrew(n int, seed uint64) *crew {
	c := &crew{rnd: rand.New(rand.NewPCG(seed, 2)), now: now}
	for i := range n {
		c.names = append(c.names, fmt.Sprint("n", i))
	}
	for i := range n {
		c.list = append(c.list, nil)
		c.start(i)
	}
	return c
}

func (c *crew) start(i int) {
	c.list[i] = NewOverrides(c.names[i], fmt.Sprint(c.names[i], "@", c.rnd.Uint64()), c.rnd.Uint64())
	c.list[i].SetMembers(c.names)
}

// round lets half a second pass and delivers messages in any order, some twice.
func (c *crew) round() {
	c.now += 500 * time.Millisecond
	for i, s := range c.list {
		s.Tick(c.now)
		c.collect(i)
	}
	for n := 0; len(c.held) > 0 && n < 10_000; n++ {
		k := c.rnd.IntN(len(c.held))
		s, i := c.held[k], c.from[k]
		if c.rnd.Float64() >= c.loss/2 {
			c.held, c.from = append(c.held[:k], c.held[k+1:]...), append(c.from[:k], c.from[k+1:]...)
		}
		var j int
		_, _ = fmt.Sscanf(s.To, "n%d", &j)
		if c.cut != nil && c.cut(i, j) || c.rnd.Float64() < c.loss {
			continue
		}
		c.list[j].Receive(c.names[i], s.Message)
		c.collect(j)
	}
}

func (c *crew) collect(i int) {
	for _, s := range c.list[i].Take() {
		if c.measured && !c.fits(s.Message) {
			continue
		}
		c.held, c.from = append(c.held, s), append(c.from, i)
	}
}

// fits measures a message.
func (c *crew) fits(m OverridesMessage) bool {
	text, err := cbor.Marshal(m)
	if err != nil {
		panic(err)
	}
	c.largest = max(c.largest, len(text))
	return len(text) <= arrives
}

func (c *crew) say(i int, host string, out bool) {
	c.list[i].Set(c.now, host, out)
	c.collect(i)
}

func (c *crew) equal() bool {
	for _, s := range c.list {
		if s.Digest() != c.list[0].Digest() {
			return false
		}
	}
	return true
}

// Words, losses, cuts and restarts in any order: afterwards all copies are equal, and what was said last with knowledge
// of the rest holds. With long names vectors are folded as soon as three processes have spoken.
func TestWordsConverge(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(r, "n")
		c := newCrew(n, rapid.Uint64().Draw(r, "seed"))
		c.loss = rapid.Float64Range(0, 0.5).Draw(r, "loss")
		name := "s" + strings.Repeat("x", rapid.SampledFrom([]int{0, 200}).Draw(r, "long"))
		for range rapid.IntRange(1, 25).Draw(r, "steps") {
			i := rapid.IntRange(0, n-1).Draw(r, "who")
			switch rapid.SampledFrom([]string{"say", "say", "round", "cut", "heal", "restart"}).Draw(r, "what") {
			case "say":
				c.say(i, fmt.Sprint(name, rapid.IntRange(0, 3).Draw(r, "host")), rapid.Bool().Draw(r, "out"))
			case "round":
				c.round()
			case "cut":
				k := rapid.IntRange(1, n-1).Draw(r, "side")
				c.cut = func(a, b int) bool { return (a < k) != (b < k) }
			case "heal":
				c.cut = nil
			case "restart":
				c.start(i)
			}
		}
		c.cut, c.loss = nil, 0
		// One round at least: what a process sent before its end may still be on its way.
		for k := 0; k < 60 && (k == 0 || !c.equal()); k++ {
			c.round()
		}
		require.True(r, c.equal())
		c.say(0, name+"0", false)
		c.round()
		for _, s := range c.list {
			out, conflict := s.Active(name + "0")
			require.False(r, out || conflict, "a word said with knowledge of all prevails")
		}
	})
}

func TestConcurrentWordsLeaveOut(t *testing.T) {
	c := newCrew(4, 1)
	c.say(0, "s1", true)
	c.round()
	c.cut = func(a, b int) bool { return (a < 2) != (b < 2) }
	c.say(0, "s1", false) // one side has it serve again
	c.say(3, "s1", true)  // the other says once more that it must not
	c.round()
	out, _ := c.list[1].Active("s1")
	assert.False(t, out)
	c.cut = nil
	for range 10 {
		c.round()
	}
	require.True(t, c.equal())
	for _, s := range c.list {
		out, conflict := s.Active("s1")
		assert.True(t, out, "out wins")
		assert.True(t, conflict, "and the conflict is told")
	}
	c.say(2, "s1", false)
	c.round()
	out, conflict := c.list[0].Active("s1")
	assert.False(t, out || conflict)
}

// A process that starts anew knows nothing: it catches up, and its own words are none of its predecessor's.
func TestReturnCatchesUp(t *testing.T) {
	c := newCrew(3, 1)
	c.say(0, "s1", true)
	c.round()
	c.start(0)
	assert.False(t, c.list[0].Synced())
	c.say(0, "s2", true)
	c.round()
	c.round()
	assert.True(t, c.list[0].Synced())
	for _, h := range []string{"s1", "s2"} {
		for _, s := range c.list {
			out, conflict := s.Active(h)
			assert.True(t, out && !conflict, h)
		}
	}
	assert.True(t, c.equal())
}

func TestWordsAreBounded(t *testing.T) {
	s := NewOverrides("a", "a@1", 1)
	for i := range maxOverrides {
		require.NotZero(t, s.Set(now, fmt.Sprint("s", i), i > 0))
	}
	assert.NotZero(t, s.Set(now, "x", true), "the one that leaves nothing out makes room")
	assert.Zero(t, s.Set(now, "y", true))
	assert.False(t, s.merge(Override{Key: "z", VersionVector: map[string]uint64{"b": 1}}))
	assert.Len(t, s.All(), maxOverrides)
}

// What answers the process before, or brings a part of what there is, does not tell a new process that it knows all.
func TestSyncedByAnAnswerToThisProcess(t *testing.T) {
	c := newCrew(2, 1)
	c.say(0, "s1", true)
	for range 3 {
		c.round()
	}
	require.True(t, c.list[1].Synced())
	c.list[1].Tick(c.now + time.Minute)
	late := c.list[1].Take()
	require.Len(t, late, 1)
	c.list[0].Receive("n1", late[0].Message)
	answer := c.list[0].Take()
	require.Len(t, answer, 1)
	require.True(t, answer[0].Message.Same)
	c.start(1)
	c.list[1].Receive("n0", answer[0].Message)
	assert.False(t, c.list[1].Synced(), "it answers the process before")
	for i := range 3 * overridesPerSend {
		c.say(0, fmt.Sprint("h", i), true)
	}
	c.list[1].Receive("n0", OverridesMessage{Overrides: c.list[0].All()[:1], ConfirmID: 1})
	assert.False(t, c.list[1].Synced(), "a word that was just said")
	c.held, c.from = nil, nil
	c.list[1].Take()
	c.list[1].Tick(c.now + time.Hour)
	c.list[0].Receive("n1", c.list[1].Take()[0].Message)
	pages := c.list[0].Take()
	require.Greater(t, len(pages), 2)
	for _, p := range pages[1:] {
		c.list[1].Receive("n0", p.Message)
	}
	assert.False(t, c.list[1].Synced(), "a page is missing")
	c.list[1].Receive("n0", pages[0].Message)
	c.list[1].Receive("n0", pages[len(pages)-1].Message)
	assert.True(t, c.list[1].Synced())
}

// A word that one side of a partition has reaches all soon behind the heal, not by chance comparisons alone.
func TestWordsSpreadBehindAHeal(t *testing.T) {
	for seed := range uint64(50) {
		c := newCrew(16, seed)
		c.cut = func(a, b int) bool { return (a < 2) != (b < 2) }
		for i, s := range c.list {
			s.SetMembers(c.names[:2])
			if i >= 2 {
				s.SetMembers(c.names[2:])
			}
			s.Take()
		}
		c.say(0, "s1", true)
		c.round()
		c.cut = nil
		for i, s := range c.list {
			s.SetMembers(c.names)
			c.collect(i)
		}
		c.round()
		knows := 0
		for _, s := range c.list {
			if out, _ := s.Active("s1"); out {
				knows++
			}
		}
		require.Equal(t, 16, knows, "seed %d", seed)
	}
}

// A word that reached one other gateway only is passed on by it, before anybody compares.
func TestNewsArePassedOn(t *testing.T) {
	knows := 0
	for seed := range uint64(20) {
		c := newCrew(16, seed)
		for i := range c.list {
			c.list[i].Take()
		}
		require.NotZero(t, c.list[0].Set(c.now, "s1", true))
		first := c.list[0].Take()[0]
		for wire, n := []OverridesSend{first}, 0; len(wire) > 0; n++ {
			require.Less(t, n, 200, "it ends by itself")
			var i int
			_, _ = fmt.Sscanf(wire[0].To, "n%d", &i)
			c.list[i].Receive("n0", wire[0].Message)
			wire = append(wire[1:], c.list[i].Take()...)
		}
		for _, s := range c.list {
			if out, _ := s.Active("s1"); out {
				knows++
			}
		}
	}
	assert.Greater(t, knows, 20*16*3/4)
}

// Over the years each database's word is given by hundreds of processes, for each start is a process of its own. Messages go
// on fitting into datagrams of 1200 bytes with their envelopes, every copy takes each word, and none counts as unsound.
func TestWordsOfHundredsOfProcesses(t *testing.T) {
	const hosts, generations = 2 * overridesPerSend, 200
	c := newCrew(3, 1)
	c.measured = true
	for g := range generations {
		i := g % len(c.list)
		c.start(i)
		for k := 0; k < 20 && !c.list[i].Synced(); k++ {
			c.round()
		}
		require.True(t, c.list[i].Synced(), "generation %d catches up", g)
		for h := range hosts {
			c.say(i, fmt.Sprintf("database-%d", h), g%2 == 0)
		}
		c.round()
		c.round()
		require.True(t, c.equal(), "generation %d", g)
		for _, s := range c.list {
			for _, w := range s.All() {
				require.True(t, w.Valid())
				require.Equal(t, g%2 == 0, w.Active)
			}
			require.Len(t, s.All(), hosts, "no conflict")
		}
	}
	assert.LessOrEqual(t, c.largest, 1200-100, "a datagram, without the envelope and the sender's name")
}

// A word that folds others takes the place of those that it was said with knowledge of. A copy that still has one from before
// them keeps both: the database is left out if either says so, until an operator speaks again.
func TestFoldedWords(t *testing.T) {
	c := newCrew(3, 1)
	host := "s" + strings.Repeat("x", 200)
	lagging := func(a, b int) bool { return a == 2 || b == 2 }
	c.say(0, host, true)
	c.round()
	c.cut = lagging
	for k := range 6 {
		c.start(k % 2)
		c.round()
		c.round()
		c.say(k%2, host, false)
		c.round()
		for _, s := range c.list[:2] {
			require.Len(t, s.byKey[host], 1, "what was said last has taken the place of all before")
			require.False(t, s.byKey[host][0].Active)
			require.LessOrEqual(t, s.byKey[host][0].size(), maxOverrideBytes)
		}
	}
	c.cut = nil
	for range 20 {
		c.round()
	}
	require.True(t, c.equal())
	out, conflict := c.list[1].Active(host)
	assert.True(t, out && conflict, "what nobody knows to be over leaves it out, and that is told")
	c.say(1, host, false)
	c.round()
	out, conflict = c.list[2].Active(host)
	assert.False(t, out || conflict)
}

// A gateway that has not caught up itself may be equal to another that has not: that is no proof that both know all. It is
// where all gateways there are say so, as when a whole fleet starts.
func TestNobodyVouchesWhoHasNotCaughtUp(t *testing.T) {
	c := newCrew(3, 1)
	c.say(0, "s1", true)
	for range 3 {
		c.round()
	}
	require.True(t, c.equal())
	c.start(1)
	c.start(2)
	for _, s := range c.list[1:] {
		s.Take()
	}
	c.list[1].reconcile("n2")
	c.list[2].Receive("n1", c.list[1].Take()[0].Message)
	c.list[1].Receive("n2", c.list[2].Take()[0].Message)
	assert.False(t, c.list[1].Synced(), "it met one that returned as well")
	c.list[2].Set(c.now, "s2", true) // now they differ, and the second sends what it has
	c.list[2].Take()
	c.list[1].reconcile("n2")
	c.list[2].Receive("n1", c.list[1].Take()[0].Message)
	c.list[1].Receive("n2", c.list[2].Take()[0].Message)
	assert.Equal(t, c.list[2].Digest(), c.list[1].Digest())
	assert.False(t, c.list[1].Synced(), "it has all of one that returned as well")
	c.collect(1)
	for range 4 {
		c.round()
	}
	for _, s := range c.list {
		assert.True(t, s.Synced())
		out, _ := s.Active("s1")
		assert.True(t, out)
	}

	whole := newCrew(8, 2)
	for range 2 * time.Second / (reconcileInterval / 5) { // a round has one comparison of each that has not caught up
		whole.round()
	}
	for i, s := range whole.list {
		assert.True(t, s.Synced(), "gateway %d of a fleet that starts", i)
	}
}

// Those that have not caught up count as all others only for the copy to which each of them has been found equal.
func TestEqualBeforeAWordIsNotEqualBehindIt(t *testing.T) {
	s := NewOverrides("n0", "n0@1", 1)
	s.ExpectPeers(2)
	s.SetMembers([]string{"n1"})
	s.Take()
	same := OverridesMessage{Same: true, Round: s.round, Unsynced: true}
	s.Receive("n1", same)
	assert.False(t, s.Synced(), "there is another that it has not met")
	s.SetMembers([]string{"n1", "n2"})
	s.Load([]Override{{Key: "s1", Active: true, VersionVector: map[string]uint64{"n9@1": 1}}})
	s.Receive("n2", same)
	assert.False(t, s.Synced(), "the first knew nothing of the word")
	s.Receive("n1", same)
	assert.True(t, s.Synced())
}

// Of a long answer a socket takes in what it has room for, the first datagrams. All words arrive nevertheless.
func TestTailOfALongAnswerArrives(t *testing.T) {
	const words, room = 1000, 60
	c := newCrew(2, 1)
	for h := range words {
		require.True(t, c.list[0].merge(Override{Key: fmt.Sprintf("database-%04d", h), Active: true, VersionVector: map[string]uint64{"n9@1": 1}}))
	}
	c.list[0].MarkSynced()
	for range 60 {
		c.list[1].Take()
		c.list[1].reconcile("n0")
		c.list[0].Receive("n1", c.list[1].Take()[0].Message)
		for i, answer := range c.list[0].Take() {
			if i < room {
				c.list[1].Receive("n0", answer.Message)
			}
		}
	}
	assert.Len(t, c.list[1].All(), words)
	assert.True(t, c.list[1].Synced())
}
