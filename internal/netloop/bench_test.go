package netloop

import (
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

// echoHandler writes back what it reads.
type echoHandler struct{ conn *Conn }

func (e *echoHandler) Connected()  {}
func (e *echoHandler) Ended(error) {}
func (e *echoHandler) Received() {
	e.conn.Write(e.conn.Input())
	e.conn.Consume(len(e.conn.Input()))
}

// BenchmarkRoundTrip measures a request and its answer over a socket: epoll_wait, read, write.
func BenchmarkRoundTrip(b *testing.B) {
	loop, err := New(64, 0, 1<<20)
	require.NoError(b, err)
	defer loop.Close()
	listener, err := loop.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(c *Conn) { c.SetHandler(&echoHandler{c}, 4096) })
	require.NoError(b, err)
	loop.OnWake(loop.Stop)
	done := make(chan error, 1)
	go func() { done <- loop.Run(func() bool { return false }) }()
	client, err := net.Dial("tcp", listener.Addr.String())
	require.NoError(b, err)
	defer client.Close()
	message := make([]byte, 64)
	for b.Loop() {
		_, err := client.Write(message)
		require.NoError(b, err)
		_, err = client.Read(message)
		require.NoError(b, err)
	}
	loop.Wake()
	require.NoError(b, <-done)
}
