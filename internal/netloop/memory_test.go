package netloop

import (
	"bytes"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// hoard keeps what it reads, until it is told to give it up.
type hoard struct {
	nc    *Conn
	got   int
	ended error
}

func (h *hoard) Connected()    {}
func (h *hoard) Received()     { h.got = len(h.nc.Input()) }
func (h *hoard) Ended(e error) { h.ended = e }

// Peers that fill the buffers are not read for a while and not closed, and leave some for what this process has asked for.
func TestBuffersThatRunOutCloseNothing(t *testing.T) {
	const buffers, each, peers = 256 << 10, 32 << 10, 16
	l, err := New(128, 0, buffers)
	require.NoError(t, err)
	defer l.Close()
	var hoards []*hoard
	ln, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(c *Conn) {
		h := &hoard{nc: c}
		c.SetHandler(h, each)
		hoards = append(hoards, h)
	})
	require.NoError(t, err)
	for range peers {
		c, err := net.Dial("tcp", ln.Addr.String())
		require.NoError(t, err)
		defer c.Close()
		_, err = c.Write(bytes.Repeat([]byte("x"), each))
		require.NoError(t, err)
	}
	server, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer server.Close()
	go func() {
		if c, err := server.Accept(); err == nil {
			_, _ = c.Write([]byte("answer"))
		}
	}()
	asked := &hoard{}
	asked.nc, err = l.Dial(netip.MustParseAddrPort(server.Addr().String()), asked, each)
	require.NoError(t, err)

	all := func() (got int) {
		for _, h := range hoards {
			got += h.got
		}
		return got
	}
	run := func(until func() bool) {
		deadline := l.Clock() + 10*time.Second
		tick := func() {}
		tick = func() { l.At(l.Now()+time.Millisecond, tick) }
		tick()
		l.stopped = false
		require.NoError(t, l.Run(func() bool {
			if until() || l.Now() > deadline {
				l.Stop()
			}
			return false
		}))
	}
	run(func() bool { return len(hoards) == peers && asked.got == len("answer") && all() >= buffers/2 })
	assert.Equal(t, len("answer"), asked.got, "an answer is read though the buffers are full")
	assert.Less(t, all(), peers*each)
	freed := 0
	run(func() bool {
		for _, h := range hoards {
			assert.NoError(t, h.ended)
			if h.got > 0 {
				freed += len(h.nc.Input())
				h.got = 0
				h.nc.Consume(len(h.nc.Input()))
			}
		}
		return freed >= peers*each
	})
	assert.Equal(t, peers*each, freed, "all is read in the end")
}
