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

const patience = 10 * time.Second

// echo writes back what it reads and keeps how it ended.
type echo struct {
	c        *Conn
	received func(*Conn)
	ended    error
	over     bool
}

func (e *echo) Connected() {}
func (e *echo) Received()  { e.received(e.c) }
func (e *echo) Ended(err error) {
	e.ended, e.over = err, true
}

// serve runs a loop with one listener beside the test; stop ends it and waits.
func serve(t *testing.T, descriptors, most int, received func(*Conn)) (addr string, l *Loop, conns *[]*echo, stop func()) {
	l, err := New(descriptors, 0, 64<<20)
	require.NoError(t, err)
	conns = &[]*echo{}
	ln, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(c *Conn) {
		e := &echo{c: c, received: received}
		c.SetHandler(e, most)
		*conns = append(*conns, e)
	})
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- l.Run(func() bool { return false }) }()
	l.OnWake(l.Stop)
	stopped := false
	stop = func() {
		if !stopped {
			stopped = true
			l.Wake()
			assert.NoError(t, <-done)
		}
	}
	t.Cleanup(func() { stop(); l.Close() })
	return ln.Addr.String(), l, conns, stop
}

func dial(t *testing.T, addr string) net.Conn {
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	require.NoError(t, c.SetDeadline(time.Now().Add(patience)))
	t.Cleanup(func() { c.Close() })
	return c
}

// A peer that reads late gets every byte, in order, though the kernel took only a part
// of each write at a time; meanwhile another peer is served.
func TestPartialWritesKeepTheirOrder(t *testing.T) {
	big := bytes.Repeat([]byte("0123456789abcdef"), 1<<19) // 8 MiB
	addr, _, _, stop := serve(t, 64, 1<<10, func(c *Conn) {
		n := len(c.Input())
		c.Write(c.Input()[:1], big, c.Input()[:1])
		c.Consume(n)
	})
	slow, quick := dial(t, addr), dial(t, addr)
	_, _ = slow.Write([]byte("a"))
	_, _ = quick.Write([]byte("b"))
	for _, c := range []net.Conn{quick, slow} {
		got := make([]byte, len(big)+2)
		_, err := io.ReadFull(c, got)
		require.NoError(t, err)
		assert.Equal(t, got[0], got[len(got)-1])
		assert.True(t, bytes.Equal(big, got[1:len(got)-1]))
	}
	stop()
}

// Input is bounded: what a handler does not consume stops the reading, not the loop.
func TestUnreadInputStopsTheReading(t *testing.T) {
	addr, _, conns, stop := serve(t, 64, 8<<10, func(*Conn) {})
	c := dial(t, addr)
	require.NoError(t, c.SetWriteDeadline(time.Now().Add(300*time.Millisecond)))
	_, err := c.Write(make([]byte, 64<<20))
	assert.Error(t, err, "the kernel's buffers fill up and the writer waits")
	stop()
	assert.Len(t, (*conns)[0].c.Input(), 8<<10)
}

// Finish gives the last answer a chance: with unread input a plain close would reset it.
func TestFinishDeliversTheLastAnswer(t *testing.T) {
	addr, l, conns, stop := serve(t, 64, 1<<10, func(c *Conn) {
		c.Write([]byte("bye"))
		c.Finish(c.loop.Now() + patience)
	})
	c := dial(t, addr)
	_, err := c.Write(make([]byte, 100<<10))
	require.NoError(t, err)
	got, err := io.ReadAll(c)
	assert.NoError(t, err)
	assert.Equal(t, "bye", string(got))
	c.Close()
	stop()
	assert.False(t, (*conns)[0].over, "it asked for the end itself")
	assert.LessOrEqual(t, l.Lingering(), 1)
}

// Running out of descriptors leaves connections in the queue and is no failure.
func TestDescriptorsAreBounded(t *testing.T) {
	addr, l, conns, stop := serve(t, 5, 1<<10, func(c *Conn) {
		c.Write(c.Input())
		c.Consume(len(c.Input()))
	})
	var all []net.Conn
	for range 4 { // two fit beside the loop's own three
		c := dial(t, addr)
		_, _ = c.Write([]byte("x"))
		all = append(all, c)
	}
	answered := func(c net.Conn) {
		_, err := io.ReadFull(c, make([]byte, 1))
		assert.NoError(t, err)
	}
	answered(all[0])
	answered(all[1])
	all[0].Close()
	all[1].Close()
	answered(all[2])
	answered(all[3])
	stop()
	assert.Len(t, *conns, 4)
	assert.GreaterOrEqual(t, l.SpareDescriptors(), 0)
	_, err := l.Dial(netip.MustParseAddrPort(addr), &echo{}, 1)
	assert.True(t, err == nil || l.SpareDescriptors() == 0)
}

// What came behind the kernel's last word is taken in before a connection is let go, or a
// request that its client has written would be lost with it.
func TestPollTakesInWhatNoRoundHasRead(t *testing.T) {
	var other *Conn
	lates, got := make(chan net.Conn, 1), make(chan bool, 1)
	addr, _, _, stop := serve(t, 64, 1<<10, func(c *Conn) {
		word := string(c.Input())
		c.Consume(len(word))
		switch word {
		case "other":
			other = c
			c.Write([]byte("x"))
		case "late":
			c.Write([]byte("y"))
		case "poll":
			late := <-lates
			_, _ = late.Write([]byte("late"))
			for until := time.Now().Add(patience); other.Pending() == 0 && time.Now().Before(until); {
				other.Poll()
				_ = late.SetReadDeadline(time.Now().Add(time.Millisecond))
				if n, _ := late.Read(make([]byte, 1)); n == 1 {
					got <- true
					return
				}
			}
			got <- false
		}
	})
	late := dial(t, addr)
	_, _ = late.Write([]byte("other"))
	_, err := io.ReadFull(late, make([]byte, 1))
	require.NoError(t, err)
	lates <- late
	c := dial(t, addr)
	_, _ = c.Write([]byte("poll"))
	assert.True(t, <-got)
	stop()
}

func TestTimersFireInOrderAndStop(t *testing.T) {
	l, err := New(16, 0, 1<<20)
	require.NoError(t, err)
	defer l.Close()
	var got []int
	now := l.Now()
	for i, after := range []time.Duration{30, 10, 20} {
		l.At(now+after*time.Millisecond, func() { got = append(got, i) })
	}
	gone := l.At(now+15*time.Millisecond, func() { got = append(got, -1) })
	gone.Stop()
	gone.Stop()
	l.At(now+40*time.Millisecond, l.Stop)
	require.NoError(t, l.Run(func() bool { return false }))
	assert.Equal(t, []int{1, 2, 0}, got)
	var none *Timer
	none.Stop()
}

// The list known before the start, and the first question to discovery, waited a second for
// the first timer.
func TestFirstRoundComesAtOnce(t *testing.T) {
	l, err := New(16, 0, 1<<20)
	require.NoError(t, err)
	defer l.Close()
	late := false
	l.At(l.Now()+time.Second, func() { late = true })
	require.NoError(t, l.Run(func() bool {
		l.Stop()
		return false
	}))
	assert.False(t, late)
}

func TestPoolBoundsWhatIsHeld(t *testing.T) {
	p := pool{most: 8 << 10}
	a, b := p.get(1), p.get(3000)
	assert.Equal(t, 2<<10, cap(a))
	assert.Equal(t, 4<<10, cap(b))
	assert.Nil(t, p.get(4000), "over the bound")
	a = p.grow(a)
	assert.Equal(t, 2<<10, cap(a), "no memory to grow: it stays")
	p.put(b)
	a = p.add(append(a, "xy"...), make([]byte, 3000))
	assert.Len(t, a, 3002)
	assert.Equal(t, 4<<10, p.held)
	big := p.add(nil, make([]byte, 100<<10)) // over the bound, but its writer needs it
	p.put(big)
	p.put(a)
	assert.Zero(t, p.held)
}

// Datagrams come whole and in bounds; one that is too large is only told, and the share of the time is kept.
func TestPackets(t *testing.T) {
	loop, err := New(64, 0, 1<<20)
	require.NoError(t, err)
	defer loop.Close()
	var got []string
	large := 0
	slow := time.Duration(0)
	spare := loop.SpareDescriptors()
	a, err := loop.ListenUDP(netip.MustParseAddrPort("127.0.0.1:0"), 0.1, func(_ netip.AddrPort, b []byte) {
		got = append(got, string(b))
		for begun := time.Now(); time.Since(begun) < slow; {
		}
	}, func(netip.AddrPort) { large++ })
	require.NoError(t, err)
	b, err := loop.ListenUDP(netip.MustParseAddrPort("127.0.0.1:0"), 0.1, func(netip.AddrPort, []byte) {}, nil)
	require.NoError(t, err)
	assert.Equal(t, spare-2, loop.SpareDescriptors())
	assert.True(t, b.Send(a.Addr, []byte("one")))
	assert.True(t, b.Send(a.Addr, make([]byte, MaxDatagramBytes+1)))
	assert.True(t, b.Send(a.Addr, nil))
	assert.False(t, b.Send(netip.MustParseAddrPort("[::1]:9"), nil), "of another family")
	late := loop.At(loop.Now()+10*time.Second, loop.Stop)
	defer late.Stop()
	require.NoError(t, loop.Run(func() bool {
		if len(got) == 2 && large == 1 {
			slow = 15 * time.Millisecond
			b.Send(a.Addr, []byte("slow"))
		}
		if a.PauseCount() > 0 && len(got) == 3 {
			b.Send(a.Addr, []byte("after"))
		}
		if len(got) >= 4 {
			loop.Stop()
		}
		return false
	}))
	assert.Equal(t, []string{"one", "", "slow", "after"}, got[:4])
	a.Close()
	a.Close()
	b.Close()
	assert.Equal(t, spare, loop.SpareDescriptors())
	assert.False(t, b.Send(a.Addr, nil))
}
