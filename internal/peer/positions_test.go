package peer

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/fleet"
	"lilaccove/internal/fleet/antientropy"
	"lilaccove/internal/netloop"
	"lilaccove/policy"
)

// positionsPair holds two gateways on one loop that share positions, each with its own byte budget.
type positionsPair struct {
	loop   *netloop.Loop
	links  [2]*Links
	roles  [2]*Positions
	lists  [2][]string
	events [2][]policy.Event
}

func newPositionsPair(t *testing.T, budgets [2]int, lists [2][]string) *positionsPair {
	loop, err := netloop.New(256, 0, 16<<20)
	require.NoError(t, err)
	t.Cleanup(func() { loop.Close() })
	pair := &positionsPair{loop: loop, lists: lists}
	var seeds []netip.AddrPort
	for i := range 2 {
		pair.links[i], err = New(loop, fmt.Sprint("n", i), "", &fleet.File{
			Fleet: "f", Listen: netip.MustParseAddrPort("127.0.0.1:0"), Seeds: seeds, StableAfter: 50 * time.Millisecond, PositionBytes: budgets[i],
		}, loop.Now())
		require.NoError(t, err)
		seeds = append(seeds, pair.links[i].udp.Addr)
		pair.roles[i] = pair.links[i].SharePositions(func(h policy.HostID) bool {
			return slices.Contains(pair.lists[i], string(h))
		}, func() (members []policy.Member) {
			for _, l := range pair.lists[i] {
				members = append(members, policy.Member{Host: policy.HostID(l)})
			}
			return members
		}, func(e policy.Event) { pair.events[i] = append(pair.events[i], e) })
	}
	return pair
}

// runUntil runs the loop until the condition has held. It may be called once per pair.
func (pair *positionsPair) runUntil(t *testing.T, description string, condition func() bool) {
	t.Helper()
	timeout := pair.loop.At(pair.loop.Now()+10*time.Second, pair.loop.Stop)
	defer timeout.Stop()
	done := false
	require.NoError(t, pair.loop.Run(func() bool {
		if done = done || condition(); done {
			pair.loop.Stop()
		}
		return false
	}))
	require.True(t, done, description)
}

// With a byte budget a position reaches the other gateway's policy, as a lower bound, and only if that gateway's list has the
// database. The budget shows in the metrics.
func TestPositionsWithByteBudget(t *testing.T) {
	pair := newPositionsPair(t, [2]int{1500, 1500}, [2][]string{{"s1", "s2", "s3"}, {"s1", "s3"}})
	at := pair.loop.Now() - time.Second
	for _, h := range []policy.HostID{"s1", "s2"} {
		pair.roles[0].Observe(h, at)
	}
	pair.runUntil(t, "the position is received and several requests are sent", func() bool {
		return len(pair.events[1]) > 0 && pair.roles[0].reconciler.Counts().Requests > 3
	})
	reported := pair.events[1][0].(policy.PositionReported)
	assert.Equal(t, policy.HostID("s1"), reported.Host)
	assert.LessOrEqual(t, reported.Position, at)
	assert.Less(t, at-reported.Position, 10*time.Millisecond)
	assert.Len(t, pair.events[1], 1)
	assert.Zero(t, pair.roles[1].reconciler.TimeOf("s2"))
	text := string(pair.links[0].Metrics(nil))
	for _, line := range []string{"edge_gw.fleet_positions.budget=1500\n", "edge_gw.fleet_positions.learned=2\n", "edge_gw.fleet_positions.not_known=1\n"} {
		assert.Contains(t, text, line)
	}
	assert.NotContains(t, text, "fleet_primaries")
}

// While a fleet is switched to byte budgets: a gateway with a budget accepts gossip; one without a budget rejects
// reconciliation requests and logs it.
func TestGossipAndByteBudgetsTogether(t *testing.T) {
	list := []string{"s1"}
	pair := newPositionsPair(t, [2]int{0, 1500}, [2][]string{list, list})
	pair.roles[0].Observe("s1", pair.loop.Now()-time.Second)
	pair.runUntil(t, "gossip is received and requests are rejected", func() bool {
		return len(pair.events[1]) > 0 && pair.links[0].counts.UnknownVersion > 0
	})
	assert.Empty(t, pair.events[0])
	assert.ErrorContains(t, pair.roles[0].receiveReconcile(nil), "under a budget, which the fleet file here does not have")
	assert.ErrorIs(t, pair.roles[0].receiveReconcile(nil), errVersion)
}

// An unknown channel is rejected as of an unknown version, as older builds do with the reconciliation channels; a body that
// cannot be decoded is malformed.
func TestUnknownChannelsAndMalformedBodies(t *testing.T) {
	pair := newPositionsPair(t, [2]int{1500, 1500}, [2][]string{{"s1"}, {"s1"}})
	l := pair.links[0]
	from := netip.MustParseAddrPort("127.0.0.1:9")
	receive := func(channel byte, body any) bool {
		b, err := l.codec.encode(nil, channel, body)
		require.NoError(t, err)
		return l.receiveEnvelope(from, b, 0, 0)
	}
	assert.False(t, receive(channelReconcilePrimaries+1, []byte("x")))
	assert.False(t, receive(channelReconcilePrimaries, []byte("x")), "a role that is not shared here")
	assert.EqualValues(t, 2, l.counts.UnknownVersion)
	assert.False(t, receive(channelReconcilePositions, []byte("x")))
	assert.False(t, receive(channelReconcilePositions, "text"))
	assert.EqualValues(t, 2, l.counts.Malformed)
	assert.Empty(t, pair.events[0])
}

// A message that comes right after changes of the list is applied to the current list; between changes nothing is rebuilt.
func TestMessageAfterListChangeUsesNewList(t *testing.T) {
	pair := newPositionsPair(t, [2]int{1500, 1500}, [2][]string{{"s1", "s2"}, {"s1", "s2"}})
	s := pair.roles[0]
	at := pair.loop.Now() - time.Second
	receive := func(hosts ...string) {
		msg := antientropy.Message{Kind: antientropy.Response, From: "n1"}
		for _, h := range hosts {
			msg.Entries = append(msg.Entries, antientropy.Entry{Host: h, At: at})
		}
		s.applyReconcile(msg)
	}
	receive("s1")
	require.Len(t, pair.events[0], 1)
	pair.lists[0] = []string{"s1", "s3"}
	s.ListChanged()
	s.ListChanged()
	assert.Equal(t, at, s.reconciler.TimeOf("s1"), "not yet")
	receive("s2", "s3")
	require.Len(t, pair.events[0], 2)
	assert.Equal(t, policy.HostID("s3"), pair.events[0][1].(policy.PositionReported).Host)
	assert.Zero(t, s.reconciler.TimeOf("s2"), "nothing is kept of a database that left the list")
	pair.lists[0] = []string{"s3"}
	s.ListChanged()
	receive("s1")
	assert.Len(t, pair.events[0], 2)
	assert.Zero(t, s.reconciler.TimeOf("s1"))
	assert.Equal(t, at, s.reconciler.TimeOf("s3"))
	pair.lists[0] = []string{"s3", "s4"}
	s.ListChanged()
	s.Observe("s4", at)
	assert.Equal(t, at, s.reconciler.TimeOf("s4"), "what this gateway itself observes of a new database is not lost")
}
