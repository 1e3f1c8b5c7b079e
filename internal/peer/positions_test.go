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

// told are two gateways on one loop that tell each other of positions, each by its own file's line.
type told struct {
	loop   *netloop.Loop
	links  [2]*Links
	roles  [2]*Positions
	lists  [2][]string
	events [2][]policy.Event
}

func newTold(t *testing.T, budgets [2]int, lists [2][]string) *told {
	loop, err := netloop.New(256, 0, 16<<20)
	require.NoError(t, err)
	t.Cleanup(func() { loop.Close() })
	w := &told{loop: loop, lists: lists}
	var seeds []netip.AddrPort
	for i := range 2 {
		w.links[i], err = New(loop, fmt.Sprint("n", i), "", &fleet.File{
			Fleet: "f", Listen: netip.MustParseAddrPort("127.0.0.1:0"), Seeds: seeds, StableAfter: 50 * time.Millisecond, PositionBytes: budgets[i],
		}, loop.Now())
		require.NoError(t, err)
		seeds = append(seeds, w.links[i].udp.Addr)
		w.roles[i] = w.links[i].SharePositions(func(h policy.HostID) bool {
			return slices.Contains(w.lists[i], string(h))
		}, func() (members []policy.Member) {
			for _, l := range w.lists[i] {
				members = append(members, policy.Member{Host: policy.HostID(l)})
			}
			return members
		}, func(e policy.Event) { w.events[i] = append(w.events[i], e) })
	}
	return w
}

// until runs the loop once until something has come true.
func (w *told) until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	late := w.loop.At(w.loop.Now()+10*time.Second, w.loop.Stop)
	defer late.Stop()
	done := false
	require.NoError(t, w.loop.Run(func() bool {
		if done = done || ok(); done {
			w.loop.Stop()
		}
		return false
	}))
	require.True(t, done, what)
}

// Under a budget a position goes from one gateway to another's decisions, as a floor, and only where the other's list has
// the database; what the datagrams took is what the budget counts.
func TestPositionsUnderABudget(t *testing.T) {
	w := newTold(t, [2]int{1500, 1500}, [2][]string{{"s1", "s2", "s3"}, {"s1", "s3"}})
	at := w.loop.Now() - time.Second
	for _, h := range []policy.HostID{"s1", "s2"} {
		w.roles[0].Observe(h, at)
	}
	w.until(t, "it is told, and some time goes by", func() bool { return len(w.events[1]) > 0 && w.roles[0].r.Counts().Requests > 3 })
	heard := w.events[1][0].(policy.PositionReported)
	assert.Equal(t, policy.HostID("s1"), heard.Host)
	assert.LessOrEqual(t, heard.Position, at)
	assert.Less(t, at-heard.Position, 10*time.Millisecond)
	assert.Len(t, w.events[1], 1)
	assert.Zero(t, w.roles[1].r.TimeOf("s2"))
	text := string(w.links[0].Metrics(nil))
	for _, line := range []string{"edge_gw.fleet_positions.budget=1500\n", "edge_gw.fleet_positions.learned=2\n", "edge_gw.fleet_positions.not_known=1\n"} {
		assert.Contains(t, text, line)
	}
	assert.NotContains(t, text, "fleet_primaries")
}

// During a change-over: who has a budget takes rumours in; who has none refuses asks, and says so.
func TestRumoursAndBudgetsSideBySide(t *testing.T) {
	list := []string{"s1"}
	w := newTold(t, [2]int{0, 1500}, [2][]string{list, list})
	w.roles[0].Observe("s1", w.loop.Now()-time.Second)
	w.until(t, "rumours are heard and asks are refused", func() bool { return len(w.events[1]) > 0 && w.links[0].counts.UnknownVersion > 0 })
	assert.Empty(t, w.events[0])
	assert.ErrorContains(t, w.roles[0].reconcile(nil), "under a budget, which the fleet file here does not have")
	assert.ErrorIs(t, w.roles[0].reconcile(nil), errVersion)
}

// A build that knows neither channel refuses it as this one refuses a later channel; garbage is malformed.
func TestUnknownChannelsAndGarbage(t *testing.T) {
	w := newTold(t, [2]int{1500, 1500}, [2][]string{{"s1"}, {"s1"}})
	l := w.links[0]
	from := netip.MustParseAddrPort("127.0.0.1:9")
	take := func(channel byte, body any) bool {
		b, err := l.codec.pack(nil, channel, body)
		require.NoError(t, err)
		return l.take(from, b, 0, 0)
	}
	assert.False(t, take(channelReconcilePrimaries+1, []byte("x")))
	assert.False(t, take(channelReconcilePrimaries, []byte("x")), "a role that is not shared here")
	assert.EqualValues(t, 2, l.counts.UnknownVersion)
	assert.False(t, take(channelReconcilePositions, []byte("x")))
	assert.False(t, take(channelReconcilePositions, "text"))
	assert.EqualValues(t, 2, l.counts.Malformed)
	assert.Empty(t, w.events[0])
}

// A message that comes right behind a change of the list meets the list as it is, however many changes there were; in
// between nothing is made anew.
func TestListThatHasJustChanged(t *testing.T) {
	w := newTold(t, [2]int{1500, 1500}, [2][]string{{"s1", "s2"}, {"s1", "s2"}})
	s := w.roles[0]
	at := w.loop.Now() - time.Second
	tell := func(hosts ...string) {
		msg := antientropy.Message{Kind: antientropy.Response, From: "n1"}
		for _, h := range hosts {
			msg.Entries = append(msg.Entries, antientropy.Entry{Host: h, At: at})
		}
		s.reconciled(msg)
	}
	tell("s1")
	require.Len(t, w.events[0], 1)
	w.lists[0] = []string{"s1", "s3"}
	s.ListChanged()
	s.ListChanged()
	assert.Equal(t, at, s.r.TimeOf("s1"), "not yet")
	tell("s2", "s3")
	require.Len(t, w.events[0], 2)
	assert.Equal(t, policy.HostID("s3"), w.events[0][1].(policy.PositionReported).Host)
	assert.Zero(t, s.r.TimeOf("s2"), "of a database that left nothing is kept")
	w.lists[0] = []string{"s3"}
	s.ListChanged()
	tell("s1")
	assert.Len(t, w.events[0], 2)
	assert.Zero(t, s.r.TimeOf("s1"))
	assert.Equal(t, at, s.r.TimeOf("s3"))
	w.lists[0] = []string{"s3", "s4"}
	s.ListChanged()
	s.Observe("s4", at)
	assert.Equal(t, at, s.r.TimeOf("s4"), "what this gateway itself hears of a new one is not lost")
}
