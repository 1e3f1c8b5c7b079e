package netloop

import (
	"bytes"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const testTimeout = 10 * time.Second

// recorder calls a function for received data and records how the connection ended.
type recorder struct {
	conn       *Conn
	onReceived func(*Conn)
	ended      error
	isEnded    bool
}

func (r *recorder) Connected() {}
func (r *recorder) Received()  { r.onReceived(r.conn) }
func (r *recorder) Ended(err error) {
	r.ended, r.isEnded = err, true
}

// serve runs a loop with one listener on another goroutine; stop stops it and waits for its end.
func serve(t *testing.T, descriptors, maxInput int, onReceived func(*Conn)) (addr string, loop *Loop, conns *[]*recorder, stop func()) {
	loop, err := New(descriptors, 0, 64<<20)
	require.NoError(t, err)
	conns = &[]*recorder{}
	listener, err := loop.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(conn *Conn) {
		r := &recorder{conn: conn, onReceived: onReceived}
		conn.SetHandler(r, maxInput)
		*conns = append(*conns, r)
	})
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- loop.Run(func() bool { return false }) }()
	loop.OnWake(loop.Stop)
	stopped := false
	stop = func() {
		if !stopped {
			stopped = true
			loop.Wake()
			assert.NoError(t, <-done)
		}
	}
	t.Cleanup(func() { stop(); loop.Close() })
	return listener.Addr.String(), loop, conns, stop
}

func dial(t *testing.T, addr string) net.Conn {
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	require.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	t.Cleanup(func() { c.Close() })
	return c
}

// A peer that reads slowly receives every byte in order although the kernel accepts only a part of each
// write; meanwhile another peer is served.
func TestPartialWritesKeepOrder(t *testing.T) {
	payload := bytes.Repeat([]byte("0123456789abcdef"), 1<<19) // 8 MiB
	addr, _, _, stop := serve(t, 64, 1<<10, func(c *Conn) {
		n := len(c.Input())
		c.Write(c.Input()[:1], payload, c.Input()[:1])
		c.Consume(n)
	})
	slow, fast := dial(t, addr), dial(t, addr)
	_, _ = slow.Write([]byte("a"))
	_, _ = fast.Write([]byte("b"))
	for _, c := range []net.Conn{fast, slow} {
		got := make([]byte, len(payload)+2)
		_, err := io.ReadFull(c, got)
		require.NoError(t, err)
		assert.Equal(t, got[0], got[len(got)-1])
		assert.True(t, bytes.Equal(payload, got[1:len(got)-1]))
	}
	stop()
}

// Input is bounded: if the handler doesn't consume it, reading stops, but not the loop.
func TestUnconsumedInputStopsReading(t *testing.T) {
	addr, _, conns, stop := serve(t, 64, 8<<10, func(*Conn) {})
	c := dial(t, addr)
	require.NoError(t, c.SetWriteDeadline(time.Now().Add(300*time.Millisecond)))
	_, err := c.Write(make([]byte, 64<<20))
	assert.Error(t, err, "the kernel's buffers fill up and the writer waits")
	stop()
	assert.Len(t, (*conns)[0].conn.Input(), 8<<10)
}

// Finish delivers the last answer: a plain close with unread input would send a reset.
func TestFinishDeliversLastAnswer(t *testing.T) {
	addr, loop, conns, stop := serve(t, 64, 1<<10, func(c *Conn) {
		c.Write([]byte("bye"))
		c.Finish(c.loop.Now() + testTimeout)
	})
	c := dial(t, addr)
	_, err := c.Write(make([]byte, 100<<10))
	require.NoError(t, err)
	got, err := io.ReadAll(c)
	assert.NoError(t, err)
	assert.Equal(t, "bye", string(got))
	c.Close()
	stop()
	assert.False(t, (*conns)[0].isEnded, "Ended is not called after Finish")
	assert.LessOrEqual(t, loop.Lingering(), 1)
}

// At the descriptor limit connections stay in the accept queue and are accepted later.
func TestDescriptorLimit(t *testing.T) {
	addr, loop, conns, stop := serve(t, 5, 1<<10, func(c *Conn) {
		c.Write(c.Input())
		c.Consume(len(c.Input()))
	})
	var clients []net.Conn
	for range 4 { // two fit beside the loop's own three descriptors
		c := dial(t, addr)
		_, _ = c.Write([]byte("x"))
		clients = append(clients, c)
	}
	assertEcho := func(c net.Conn) {
		_, err := io.ReadFull(c, make([]byte, 1))
		assert.NoError(t, err)
	}
	assertEcho(clients[0])
	assertEcho(clients[1])
	clients[0].Close()
	clients[1].Close()
	assertEcho(clients[2])
	assertEcho(clients[3])
	stop()
	assert.Len(t, *conns, 4)
	assert.GreaterOrEqual(t, loop.SpareDescriptors(), 0)
	_, err := loop.Dial(netip.MustParseAddrPort(addr), &recorder{}, 1)
	assert.True(t, err == nil || loop.SpareDescriptors() == 0)
}

// Poll reads data that epoll has not reported yet. Otherwise a request that the client has already written
// would be lost when its connection is closed.
func TestPollReadsUnreportedData(t *testing.T) {
	var other *Conn
	otherClients, answered := make(chan net.Conn, 1), make(chan bool, 1)
	addr, _, _, stop := serve(t, 64, 1<<10, func(c *Conn) {
		command := string(c.Input())
		c.Consume(len(command))
		switch command {
		case "other":
			other = c
			c.Write([]byte("x"))
		case "late":
			c.Write([]byte("y"))
		case "poll":
			otherClient := <-otherClients
			_, _ = otherClient.Write([]byte("late"))
			for deadline := time.Now().Add(testTimeout); other.Pending() == 0 && time.Now().Before(deadline); {
				other.Poll()
				_ = otherClient.SetReadDeadline(time.Now().Add(time.Millisecond))
				if n, _ := otherClient.Read(make([]byte, 1)); n == 1 {
					answered <- true
					return
				}
			}
			answered <- false
		}
	})
	otherClient := dial(t, addr)
	_, _ = otherClient.Write([]byte("other"))
	_, err := io.ReadFull(otherClient, make([]byte, 1))
	require.NoError(t, err)
	otherClients <- otherClient
	c := dial(t, addr)
	_, _ = c.Write([]byte("poll"))
	assert.True(t, <-answered)
	stop()
}

func TestTimersFireInOrderAndStop(t *testing.T) {
	loop, err := New(16, 0, 1<<20)
	require.NoError(t, err)
	defer loop.Close()
	var fired []int
	now := loop.Now()
	for i, delay := range []time.Duration{30, 10, 20} {
		loop.At(now+delay*time.Millisecond, func() { fired = append(fired, i) })
	}
	stopped := loop.At(now+15*time.Millisecond, func() { fired = append(fired, -1) })
	stopped.Stop()
	stopped.Stop()
	loop.At(now+40*time.Millisecond, loop.Stop)
	require.NoError(t, loop.Run(func() bool { return false }))
	assert.Equal(t, []int{1, 2, 0}, fired)
	var nilTimer *Timer
	nilTimer.Stop()
}

// The list known before the start, and the first request to discovery, used to wait a second for the first
// timer.
func TestFirstRoundDoesNotWait(t *testing.T) {
	loop, err := New(16, 0, 1<<20)
	require.NoError(t, err)
	defer loop.Close()
	timerFired := false
	loop.At(loop.Now()+time.Second, func() { timerFired = true })
	require.NoError(t, loop.Run(func() bool {
		loop.Stop()
		return false
	}))
	assert.False(t, timerFired)
}

func TestBufferPoolLimit(t *testing.T) {
	pool := bufferPool{limit: 8 << 10}
	small, medium := pool.get(1), pool.get(3000)
	assert.Equal(t, 2<<10, cap(small))
	assert.Equal(t, 4<<10, cap(medium))
	assert.Nil(t, pool.get(4000), "over the limit")
	small = pool.grow(small)
	assert.Equal(t, 2<<10, cap(small), "no memory to grow: it stays")
	pool.put(medium)
	small = pool.appendTo(append(small, "xy"...), make([]byte, 3000))
	assert.Len(t, small, 3002)
	assert.Equal(t, 4<<10, pool.allocated)
	large := pool.appendTo(nil, make([]byte, 100<<10)) // over the limit, but its writer needs it
	pool.put(large)
	pool.put(small)
	assert.Zero(t, pool.allocated)
}

// Datagrams arrive whole; one that is too large is only reported, and the time share is enforced.
func TestUDPSocket(t *testing.T) {
	loop, err := New(64, 0, 1<<20)
	require.NoError(t, err)
	defer loop.Close()
	var received []string
	oversized := 0
	processingTime := time.Duration(0)
	spare := loop.SpareDescriptors()
	receiver, err := loop.ListenUDP(netip.MustParseAddrPort("127.0.0.1:0"), 0.1, func(_ netip.AddrPort, b []byte) {
		received = append(received, string(b))
		for start := time.Now(); time.Since(start) < processingTime; {
		}
	}, func(netip.AddrPort) { oversized++ })
	require.NoError(t, err)
	sender, err := loop.ListenUDP(netip.MustParseAddrPort("127.0.0.1:0"), 0.1, func(netip.AddrPort, []byte) {}, nil)
	require.NoError(t, err)
	assert.Equal(t, spare-2, loop.SpareDescriptors())
	assert.True(t, sender.Send(receiver.Addr, []byte("one")))
	assert.True(t, sender.Send(receiver.Addr, make([]byte, MaxDatagramBytes+1)))
	assert.True(t, sender.Send(receiver.Addr, nil))
	assert.False(t, sender.Send(netip.MustParseAddrPort("[::1]:9"), nil), "of another family")
	deadline := loop.At(loop.Now()+10*time.Second, loop.Stop)
	defer deadline.Stop()
	require.NoError(t, loop.Run(func() bool {
		if len(received) == 2 && oversized == 1 {
			processingTime = 15 * time.Millisecond
			sender.Send(receiver.Addr, []byte("slow"))
		}
		if receiver.PauseCount() > 0 && len(received) == 3 {
			sender.Send(receiver.Addr, []byte("after"))
		}
		if len(received) >= 4 {
			loop.Stop()
		}
		return false
	}))
	assert.Equal(t, []string{"one", "", "slow", "after"}, received[:4])
	receiver.Close()
	receiver.Close()
	sender.Close()
	assert.Equal(t, spare, loop.SpareDescriptors())
	assert.False(t, sender.Send(receiver.Addr, nil))
}
