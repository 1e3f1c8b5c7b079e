package netloop

import (
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

// replier writes back what it reads.
type replier struct{ nc *Conn }

func (e *replier) Connected()  {}
func (e *replier) Ended(error) {}
func (e *replier) Received() {
	e.nc.Write(e.nc.Input())
	e.nc.Consume(len(e.nc.Input()))
}

// BenchmarkRoundTrip is one request and its answer over a socket: epoll_wait, read, write.
func BenchmarkRoundTrip(b *testing.B) {
	l, err := New(64, 0, 1<<20)
	require.NoError(b, err)
	defer l.Close()
	ln, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(c *Conn) { c.SetHandler(&replier{c}, 4096) })
	require.NoError(b, err)
	l.OnWake(l.Stop)
	done := make(chan error, 1)
	go func() { done <- l.Run(func() bool { return false }) }()
	c, err := net.Dial("tcp", ln.Addr.String())
	require.NoError(b, err)
	defer c.Close()
	message := make([]byte, 64)
	for b.Loop() {
		_, err := c.Write(message)
		require.NoError(b, err)
		_, err = c.Read(message)
		require.NoError(b, err)
	}
	l.Wake()
	require.NoError(b, <-done)
}
