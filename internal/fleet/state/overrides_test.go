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

// cluster is a set of gateways with copies of the overrides, and the messages between them.
type cluster struct {
	nodes       []*Overrides
	names       []string
	rnd         *rand.Rand
	now         time.Duration
	partitioned func(a, b int) bool
	loss        float64
	inFlight    []OverridesSend
	senders     []int

	limitSize bool // messages are measured, and those that are too large do not arrive
	largest   int  // bytes of the largest message
}

// maxMessageBytes is the largest message that a gateway reads: 2048 bytes with the envelope and the sender's name.
const maxMessageBytes = 2048 - 100

func newCluster(n int, seed uint64) *cluster {
	c := &cluster{rnd: rand.New(rand.NewPCG(seed, 2)), now: startTime}
	for i := range n {
		c.names = append(c.names, fmt.Sprint("n", i))
	}
	for i := range n {
		c.nodes = append(c.nodes, nil)
		c.start(i)
	}
	return c
}

// start replaces a gateway's process by one without any overrides.
func (c *cluster) start(i int) {
	c.nodes[i] = NewOverrides(c.names[i], fmt.Sprint(c.names[i], "@", c.rnd.Uint64()), c.rnd.Uint64())
	c.nodes[i].SetMembers(c.names)
}

// round advances the clock by half a second and delivers messages in any order, some twice.
func (c *cluster) round() {
	c.now += 500 * time.Millisecond
	for i, s := range c.nodes {
		s.Tick(c.now)
		c.send(i)
	}
	for n := 0; len(c.inFlight) > 0 && n < 10_000; n++ {
		k := c.rnd.IntN(len(c.inFlight))
		s, i := c.inFlight[k], c.senders[k]
		if c.rnd.Float64() >= c.loss/2 {
			c.inFlight, c.senders = append(c.inFlight[:k], c.inFlight[k+1:]...), append(c.senders[:k], c.senders[k+1:]...)
		}
		var j int
		_, _ = fmt.Sscanf(s.To, "n%d", &j)
		if c.partitioned != nil && c.partitioned(i, j) || c.rnd.Float64() < c.loss {
			continue
		}
		c.nodes[j].Receive(c.names[i], s.Message)
		c.send(j)
	}
}

// send puts the outbox of a gateway on the network.
func (c *cluster) send(i int) {
	for _, s := range c.nodes[i].Take() {
		if c.limitSize && !c.fits(s.Message) {
			continue
		}
		c.inFlight, c.senders = append(c.inFlight, s), append(c.senders, i)
	}
}

// fits measures a message and reports whether a gateway reads it.
func (c *cluster) fits(m OverridesMessage) bool {
	text, err := cbor.Marshal(m)
	if err != nil {
		panic(err)
	}
	c.largest = max(c.largest, len(text))
	return len(text) <= maxMessageBytes
}

func (c *cluster) set(i int, key string, active bool) {
	c.nodes[i].Set(c.now, key, active)
	c.send(i)
}

func (c *cluster) converged() bool {
	for _, s := range c.nodes {
		if s.Digest() != c.nodes[0].Digest() {
			return false
		}
	}
	return true
}

// Overrides, lost messages, partitions and restarts in any order: afterwards all copies are equal, and an override made
// with knowledge of all others prevails. With long names version vectors are folded as soon as there are three writers.
func TestOverridesConverge(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		nodes := rapid.IntRange(2, 8).Draw(r, "nodes")
		c := newCluster(nodes, rapid.Uint64().Draw(r, "seed"))
		c.loss = rapid.Float64Range(0, 0.5).Draw(r, "loss")
		name := "s" + strings.Repeat("x", rapid.SampledFrom([]int{0, 200}).Draw(r, "length"))
		for range rapid.IntRange(1, 25).Draw(r, "steps") {
			i := rapid.IntRange(0, nodes-1).Draw(r, "node")
			switch rapid.SampledFrom([]string{"set", "set", "round", "partition", "heal", "restart"}).Draw(r, "step") {
			case "set":
				c.set(i, fmt.Sprint(name, rapid.IntRange(0, 3).Draw(r, "host")), rapid.Bool().Draw(r, "active"))
			case "round":
				c.round()
			case "partition":
				k := rapid.IntRange(1, nodes-1).Draw(r, "side")
				c.partitioned = func(a, b int) bool { return (a < k) != (b < k) }
			case "heal":
				c.partitioned = nil
			case "restart":
				c.start(i)
			}
		}
		c.partitioned, c.loss = nil, 0
		// At least one round: messages of a replaced process may still be in flight.
		for k := 0; k < 60 && (k == 0 || !c.converged()); k++ {
			c.round()
		}
		require.True(r, c.converged())
		c.set(0, name+"0", false)
		c.round()
		for _, s := range c.nodes {
			active, conflict := s.Active(name + "0")
			require.False(r, active || conflict, "an override made with knowledge of all others prevails")
		}
	})
}

// Of concurrent overrides from the two sides of a partition the active one counts, and the conflict is reported until an
// operator resolves it.
func TestConcurrentOverridesStayActive(t *testing.T) {
	c := newCluster(4, 1)
	c.set(0, "s1", true)
	c.round()
	c.partitioned = func(a, b int) bool { return (a < 2) != (b < 2) }
	c.set(0, "s1", false) // one side resumes it
	c.set(3, "s1", true)  // the other side suspends it again
	c.round()
	active, _ := c.nodes[1].Active("s1")
	assert.False(t, active)
	c.partitioned = nil
	for range 10 {
		c.round()
	}
	require.True(t, c.converged())
	for _, s := range c.nodes {
		active, conflict := s.Active("s1")
		assert.True(t, active, "the active override counts")
		assert.True(t, conflict, "the conflict is reported")
	}
	c.set(2, "s1", false)
	c.round()
	active, conflict := c.nodes[0].Active("s1")
	assert.False(t, active || conflict)
}

// A restarted process knows nothing: it catches up, and its own overrides are not mistaken for its predecessor's.
func TestRestartedProcessCatchesUp(t *testing.T) {
	c := newCluster(3, 1)
	c.set(0, "s1", true)
	c.round()
	c.start(0)
	assert.False(t, c.nodes[0].Synced())
	c.set(0, "s2", true)
	c.round()
	c.round()
	assert.True(t, c.nodes[0].Synced())
	for _, key := range []string{"s1", "s2"} {
		for _, s := range c.nodes {
			active, conflict := s.Active(key)
			assert.True(t, active && !conflict, key)
		}
	}
	assert.True(t, c.converged())
}

// At the maximum number of overrides an inactive one is evicted for a new one; active ones never are.
func TestOverridesAreBounded(t *testing.T) {
	s := NewOverrides("a", "a@1", 1)
	for i := range maxOverrides {
		require.NotZero(t, s.Set(startTime, fmt.Sprint("s", i), i > 0))
	}
	assert.NotZero(t, s.Set(startTime, "x", true), "the inactive one is evicted")
	assert.Zero(t, s.Set(startTime, "y", true))
	assert.False(t, s.merge(Override{Key: "z", VersionVector: map[string]uint64{"b": 1}}))
	assert.Len(t, s.All(), maxOverrides)
}

// A response to the previous process, a push, or a part of the pages does not make a new process synchronized.
func TestSyncedNeedsResponseToThisProcess(t *testing.T) {
	c := newCluster(2, 1)
	c.set(0, "s1", true)
	for range 3 {
		c.round()
	}
	require.True(t, c.nodes[1].Synced())
	c.nodes[1].Tick(c.now + time.Minute)
	delayed := c.nodes[1].Take()
	require.Len(t, delayed, 1)
	c.nodes[0].Receive("n1", delayed[0].Message)
	response := c.nodes[0].Take()
	require.Len(t, response, 1)
	require.True(t, response[0].Message.Same)
	c.start(1)
	c.nodes[1].Receive("n0", response[0].Message)
	assert.False(t, c.nodes[1].Synced(), "a response to the previous process")
	for i := range 3 * overridesPerSend {
		c.set(0, fmt.Sprint("h", i), true)
	}
	c.nodes[1].Receive("n0", OverridesMessage{Overrides: c.nodes[0].All()[:1], ConfirmID: 1})
	assert.False(t, c.nodes[1].Synced(), "a push")
	c.inFlight, c.senders = nil, nil
	c.nodes[1].Take()
	c.nodes[1].Tick(c.now + time.Hour)
	c.nodes[0].Receive("n1", c.nodes[1].Take()[0].Message)
	pages := c.nodes[0].Take()
	require.Greater(t, len(pages), 2)
	for _, p := range pages[1:] {
		c.nodes[1].Receive("n0", p.Message)
	}
	assert.False(t, c.nodes[1].Synced(), "a page is missing")
	c.nodes[1].Receive("n0", pages[0].Message)
	c.nodes[1].Receive("n0", pages[len(pages)-1].Message)
	assert.True(t, c.nodes[1].Synced())
}

// An override known to one side of a partition reaches all gateways soon after it heals, without waiting for periodic
// reconciliation.
func TestOverridesSpreadAfterHeal(t *testing.T) {
	for seed := range uint64(50) {
		c := newCluster(16, seed)
		c.partitioned = func(a, b int) bool { return (a < 2) != (b < 2) }
		for i, s := range c.nodes {
			s.SetMembers(c.names[:2])
			if i >= 2 {
				s.SetMembers(c.names[2:])
			}
			s.Take()
		}
		c.set(0, "s1", true)
		c.round()
		c.partitioned = nil
		for i, s := range c.nodes {
			s.SetMembers(c.names)
			c.send(i)
		}
		c.round()
		received := 0
		for _, s := range c.nodes {
			if active, _ := s.Active("s1"); active {
				received++
			}
		}
		require.Equal(t, 16, received, "seed %d", seed)
	}
}

// An override that reached only one other gateway is passed on by it before any reconciliation.
func TestOverridesAreGossiped(t *testing.T) {
	received := 0
	for seed := range uint64(20) {
		c := newCluster(16, seed)
		for i := range c.nodes {
			c.nodes[i].Take()
		}
		require.NotZero(t, c.nodes[0].Set(c.now, "s1", true))
		first := c.nodes[0].Take()[0]
		for network, n := []OverridesSend{first}, 0; len(network) > 0; n++ {
			require.Less(t, n, 200, "gossip ends by itself")
			var i int
			_, _ = fmt.Sscanf(network[0].To, "n%d", &i)
			c.nodes[i].Receive("n0", network[0].Message)
			network = append(network[1:], c.nodes[i].Take()...)
		}
		for _, s := range c.nodes {
			if active, _ := s.Active("s1"); active {
				received++
			}
		}
	}
	assert.Greater(t, received, 20*16*3/4)
}

// Over the years hundreds of processes set overrides for the same databases, since each start is a new writer. Messages
// must still fit into datagrams of 1200 bytes with their envelopes, every copy must accept each override, and all must stay
// valid.
func TestOverridesOfHundredsOfProcesses(t *testing.T) {
	const hosts, generations = 2 * overridesPerSend, 200
	c := newCluster(3, 1)
	c.limitSize = true
	for g := range generations {
		i := g % len(c.nodes)
		c.start(i)
		for k := 0; k < 20 && !c.nodes[i].Synced(); k++ {
			c.round()
		}
		require.True(t, c.nodes[i].Synced(), "generation %d catches up", g)
		for h := range hosts {
			c.set(i, fmt.Sprintf("database-%d", h), g%2 == 0)
		}
		c.round()
		c.round()
		require.True(t, c.converged(), "generation %d", g)
		for _, s := range c.nodes {
			for _, w := range s.All() {
				require.True(t, w.Valid())
				require.Equal(t, g%2 == 0, w.Active)
			}
			require.Len(t, s.All(), hosts, "no conflict")
		}
	}
	assert.LessOrEqual(t, c.largest, 1200-100, "a datagram, without the envelope and the sender's name")
}

// An override that folds others replaces those that it was made with knowledge of. A copy that still has one from before
// them keeps both: the database is suspended if either is active, until an operator sets another override.
func TestFoldedOverrides(t *testing.T) {
	c := newCluster(3, 1)
	host := "s" + strings.Repeat("x", 200)
	isolated := func(a, b int) bool { return a == 2 || b == 2 }
	c.set(0, host, true)
	c.round()
	c.partitioned = isolated
	for k := range 6 {
		c.start(k % 2)
		c.round()
		c.round()
		c.set(k%2, host, false)
		c.round()
		for _, s := range c.nodes[:2] {
			require.Len(t, s.byKey[host], 1, "the last override has replaced all earlier ones")
			require.False(t, s.byKey[host][0].Active)
			require.LessOrEqual(t, s.byKey[host][0].size(), maxOverrideBytes)
		}
	}
	c.partitioned = nil
	for range 20 {
		c.round()
	}
	require.True(t, c.converged())
	active, conflict := c.nodes[1].Active(host)
	assert.True(t, active && conflict, "an override that none dominates stays active, and the conflict is reported")
	c.set(1, host, false)
	c.round()
	active, conflict = c.nodes[2].Active(host)
	assert.False(t, active || conflict)
}

// Equality with a gateway that is not synchronized itself does not prove that both know everything. It does if all gateways
// there are say so, as when a whole fleet starts.
func TestUnsyncedGatewaysDoNotConfirmEachOther(t *testing.T) {
	c := newCluster(3, 1)
	c.set(0, "s1", true)
	for range 3 {
		c.round()
	}
	require.True(t, c.converged())
	c.start(1)
	c.start(2)
	for _, s := range c.nodes[1:] {
		s.Take()
	}
	c.nodes[1].reconcile("n2")
	c.nodes[2].Receive("n1", c.nodes[1].Take()[0].Message)
	c.nodes[1].Receive("n2", c.nodes[2].Take()[0].Message)
	assert.False(t, c.nodes[1].Synced(), "its peer has restarted as well")
	c.nodes[2].Set(c.now, "s2", true) // now the copies differ, and the second sends what it has
	c.nodes[2].Take()
	c.nodes[1].reconcile("n2")
	c.nodes[2].Receive("n1", c.nodes[1].Take()[0].Message)
	c.nodes[1].Receive("n2", c.nodes[2].Take()[0].Message)
	assert.Equal(t, c.nodes[2].Digest(), c.nodes[1].Digest())
	assert.False(t, c.nodes[1].Synced(), "its peer, whose overrides it now has, has restarted as well")
	c.send(1)
	for range 4 {
		c.round()
	}
	for _, s := range c.nodes {
		assert.True(t, s.Synced())
		active, _ := s.Active("s1")
		assert.True(t, active)
	}

	starting := newCluster(8, 2)
	for range 2 * time.Second / (reconcileInterval / 5) { // in a round each unsynchronized gateway reconciles once
		starting.round()
	}
	for i, s := range starting.nodes {
		assert.True(t, s.Synced(), "gateway %d of a starting fleet", i)
	}
}

// Unsynchronized peers count as all others only if each of them matched the current copy, not an earlier one.
func TestMatchIsOutdatedByNewOverride(t *testing.T) {
	s := NewOverrides("n0", "n0@1", 1)
	s.ExpectPeers(2)
	s.SetMembers([]string{"n1"})
	s.Take()
	same := OverridesMessage{Same: true, Round: s.round, Unsynced: true}
	s.Receive("n1", same)
	assert.False(t, s.Synced(), "one peer has not responded yet")
	s.SetMembers([]string{"n1", "n2"})
	s.Load([]Override{{Key: "s1", Active: true, VersionVector: map[string]uint64{"n9@1": 1}}})
	s.Receive("n2", same)
	assert.False(t, s.Synced(), "the match with the first peer precedes the override")
	s.Receive("n1", same)
	assert.True(t, s.Synced())
}

// Of a long response only the first datagrams fit into a socket buffer. All overrides arrive nevertheless.
func TestTailOfLongResponseArrives(t *testing.T) {
	const overrides, socketBuffer = 1000, 60
	c := newCluster(2, 1)
	for h := range overrides {
		require.True(t, c.nodes[0].merge(Override{Key: fmt.Sprintf("database-%04d", h), Active: true, VersionVector: map[string]uint64{"n9@1": 1}}))
	}
	c.nodes[0].MarkSynced()
	for range 60 {
		c.nodes[1].Take()
		c.nodes[1].reconcile("n0")
		c.nodes[0].Receive("n1", c.nodes[1].Take()[0].Message)
		for i, response := range c.nodes[0].Take() {
			if i < socketBuffer {
				c.nodes[1].Receive("n0", response.Message)
			}
		}
	}
	assert.Len(t, c.nodes[1].All(), overrides)
	assert.True(t, c.nodes[1].Synced())
}
