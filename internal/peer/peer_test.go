package peer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/fleet"
	"lilaccove/internal/fleet/membership"
	"lilaccove/internal/netloop"
)

func testCodec(t testing.TB, name string) *codec {
	c, err := newCodec(name)
	require.NoError(t, err)
	return c
}

func testEntry(name string) membership.Entry {
	return membership.Entry{Name: name, Addr: netip.MustParseAddrPort("127.0.0.1:7400"), Incarnation: 5, Session: 7}
}

func TestEnvelope(t *testing.T) {
	c := testCodec(t, "a")
	msg := membership.Message{Kind: membership.Ping, From: testEntry("n1"), Seq: 3, Target: "n2", Updates: []membership.Entry{testEntry("n3")}}
	b, err := c.encode(nil, channelMembership, msg)
	require.NoError(t, err)
	channel, body, err := c.decode(b)
	require.NoError(t, err)
	assert.EqualValues(t, channelMembership, channel)
	got, err := c.decodeMembership(body)
	require.NoError(t, err)
	assert.Equal(t, msg, got)

	_, _, err = testCodec(t, "b").decode(b)
	assert.ErrorIs(t, err, errForeign)
	for i := range b { // a change of any byte is detected
		d := append([]byte(nil), b...)
		d[i] ^= 0x10
		_, _, err := c.decode(d)
		assert.Error(t, err, "byte %d", i)
	}
	for n := range b {
		_, _, err := c.decode(b[:n])
		assert.Error(t, err)
	}
}

// Unknown fields, as a later version may add, are accepted; implausible messages are rejected.
func TestMembershipMessageValidation(t *testing.T) {
	c := testCodec(t, "a")
	open := func(body any) error {
		b, err := c.enc.Marshal(body)
		require.NoError(t, err)
		_, err = c.decodeMembership(b)
		return err
	}
	from := map[int]any{1: "n1", 2: []byte{127, 0, 0, 1, 1, 0}, 3: 5, 4: 7}
	assert.NoError(t, open(map[int]any{1: 1, 2: from, 77: "new"}))
	for what, body := range map[string]any{
		"no sender":                map[int]any{1: 1},
		"unknown kind":             map[int]any{1: 99, 2: from},
		"invalid name":             map[int]any{1: 1, 2: map[int]any{1: "a b", 2: []byte{127, 0, 0, 1, 1, 0}, 3: 5}},
		"no address":               map[int]any{1: 1, 2: map[int]any{1: "n1", 3: 5}},
		"incarnation out of range": map[int]any{1: 1, 2: map[int]any{1: "n1", 2: []byte{127, 0, 0, 1, 1, 0}, 3: uint64(1) << 63}},
		"invalid update":           map[int]any{1: 1, 2: from, 9: []any{map[int]any{1: "x"}}},
		"array instead of map":     []int{1},
	} {
		assert.ErrorIs(t, open(body), errMalformed, what)
	}
}

func FuzzMembership(f *testing.F) {
	c := testCodec(f, "a")
	b, _ := c.enc.Marshal(membership.Message{Kind: membership.Ping, From: testEntry("n1"), Updates: []membership.Entry{testEntry("n2")}})
	f.Add(b)
	f.Add([]byte{0xa1, 0x09, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	now := 1_800_000_000 * time.Second
	f.Fuzz(func(t *testing.T, body []byte) {
		msg, err := c.decodeMembership(body)
		if err != nil {
			return
		}
		m := membership.New(membership.Config{Name: "n1", Addr: testEntry("n1").Addr, Start: now, Session: 1}, now)
		m.Receive(now, msg, 0)
		m.Receive(now+time.Second, msg, 1)
		m.Tick(m.Wake())
		for _, s := range func() []membership.Send { out, _ := m.Take(); return out }() {
			if _, err := c.encode(nil, channelMembership, s.Message); err != nil {
				t.Fatal(err)
			}
		}
	})
}

func FuzzOpen(f *testing.F) {
	c := testCodec(f, "a")
	b, _ := c.encode(nil, channelMembership, membership.Message{Kind: membership.Ping, From: testEntry("n1")})
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) { _, _, _ = c.decode(b) })
}

// BenchmarkDatagram measures the handling of one probe: decoding, the state machine, and encoding the response.
func BenchmarkDatagram(b *testing.B) {
	c := testCodec(b, "a")
	now := 1_800_000_000 * time.Second
	m := membership.New(membership.Config{Name: "n1", Addr: testEntry("n1").Addr, Start: now, Session: 1}, now)
	text, err := c.encode(nil, channelMembership, membership.Message{Kind: membership.Ping, From: testEntry("n2"), Seq: 1, Target: "n1", Session: 1})
	require.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		_, body, _ := c.decode(text)
		msg, err := c.decodeMembership(body)
		require.NoError(b, err)
		m.Receive(now, msg, 0)
		out, _ := m.Take()
		for i := range out {
			if _, err := c.encode(nil, channelMembership, out[i].Message); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// Two gateways on one loop find each other, even if a member list is too large for a datagram.
func TestTwoGatewaysOnOneLoop(t *testing.T) {
	loop, err := netloop.New(256, 0, 16<<20)
	require.NoError(t, err)
	defer loop.Close()
	any := netip.MustParseAddrPort("127.0.0.1:0")
	a, err := New(loop, "a", "", &fleet.File{Fleet: "f", Listen: any}, loop.Now())
	require.NoError(t, err)
	var updates []membership.Entry
	for i := range 200 {
		e := testEntry(fmt.Sprintf("x%03d", i))
		e.State = membership.Left
		updates = append(updates, e)
	}
	a.machine.Receive(loop.Now(), membership.Message{Kind: membership.Gossip, From: updates[0], Observer: true, Updates: updates}, 0)
	b, err := New(loop, "b", "", &fleet.File{Fleet: "f", Listen: any, Seeds: []netip.AddrPort{a.udp.Addr}}, loop.Now())
	require.NoError(t, err)
	_, err = New(loop, "c d", "", &fleet.File{Fleet: "f", Listen: any}, loop.Now())
	assert.ErrorContains(t, err, "letters, digits")
	timeout := loop.At(loop.Now()+10*time.Second, loop.Stop)
	defer timeout.Stop()
	require.NoError(t, loop.Run(func() bool {
		if len(a.View().Members) == 2 && len(b.View().Members) == 2 && len(b.machine.Members()) == 201 {
			loop.Stop()
		}
		return false
	}))
	assert.Equal(t, a.View().Digest, b.View().Digest)
	assert.Len(t, b.machine.Members(), 201)
	assert.Positive(t, b.counts.Exchanges+a.counts.Exchanges)
}
