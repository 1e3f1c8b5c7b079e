package netloop

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// After a stall the loop reads all that has arrived before a timer fires that concludes from what has not.
// The events count as old as the stall is long, and timers of AfterRunTime are put off by the stall.
func TestStalledLoopReadsBeforeTimersFire(t *testing.T) {
	const clients = 2*eventsPerPoll + 50
	loop, err := New(clients+20, 0, 64<<20)
	require.NoError(t, err)
	defer loop.Close()
	received, accepted := 0, 0
	var maxAge time.Duration
	onAccept := func(conn *Conn) {
		accepted++
		conn.SetHandler(&recorder{conn: conn, onReceived: func(conn *Conn) {
			received, maxAge = received+1, loop.MaxEventAge()
			conn.Consume(1)
		}}, 16)
	}
	listener, err := loop.Listen(netip.MustParseAddrPort("127.0.0.1:0"), onAccept)
	require.NoError(t, err)
	var conns []net.Conn
	for range clients {
		conns = append(conns, dial(t, listener.Addr.String()))
	}
	const stall = 80 * time.Millisecond
	var readAtTimer, readAtRunTimeTimer int
	var stallTime time.Duration
	loop.At(loop.Now(), func() {}) // keeps the first round from waiting
	require.NoError(t, loop.Run(func() bool {
		if accepted < clients || stallTime > 0 {
			return true
		}
		if readAtTimer == 0 && received == 0 {
			loop.At(loop.Now()+time.Millisecond, func() { readAtTimer = received })
			loop.AfterRunTime(time.Millisecond, func() { readAtRunTimeTimer = received; loop.Stop() })
			for _, conn := range conns {
				_, err := conn.Write([]byte{1})
				require.NoError(t, err)
			}
			for start := loop.Clock(); loop.Clock() < start+stall; {
				time.Sleep(time.Millisecond) // simulates a stall
			}
		} else {
			stallTime = loop.StallTime()
		}
		return true
	}))
	assert.Equal(t, clients, readAtTimer, "all that has arrived is read before the timer fires")
	assert.Equal(t, clients, readAtRunTimeTimer)
	assert.GreaterOrEqual(t, maxAge, stall)
	assert.GreaterOrEqual(t, stallTime, stall-tolerableLag)
}

// The lag of a sequence of polls: with and without waiting, late timers, and polls that left ready events
// unread.
func TestEventLoopLag(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	lag := eventLoopLag{}
	for i, c := range []struct {
		callTime, now, nextTimer int
		complete                 bool
		maxAge, stallTime        int
	}{
		{100, 100, 0, true, 0, 0},         // nothing is known of the time before the first poll
		{103, 103, 0, true, 3, 0},         // ready at once: may have been ready since the previous poll
		{104, 150, 150, true, 0, 0},       // waited for its events
		{151, 200, 170, true, 30, 20},     // woke late for a timer: was not running
		{260, 260, 0, false, 60, 70},      // a long round
		{264, 264, 0, true, 64, 124},      // the previous poll left events unread
		{265, 400, 0, true, 0, 124},       // waited, and no timer was due
		{401, 401, 400, true, 1, 124},     // usual
		{401, 401, 390, true, 11, 125},    // the timer was due in an earlier, long round
		{500, 500, 0, true, 99, 125 + 89}, // busy since the previous poll
	} {
		lag.observe(ms(c.callTime), ms(c.now), ms(c.nextTimer))
		lag.complete = c.complete
		assert.Equal(t, ms(c.maxAge), lag.maxAge, "%d", i)
		assert.Equal(t, ms(c.stallTime), lag.stallTime, "%d", i)
	}
}

// The timer is put off by each stall, also by one that happens while it is already put off.
func TestAfterRunTimeIsExtendedByStalls(t *testing.T) {
	loop, err := New(20, 0, 1<<20)
	require.NoError(t, err)
	defer loop.Close()
	var fired time.Duration
	start := loop.Now()
	loop.AfterRunTime(5*time.Millisecond, func() { fired = loop.Now(); loop.Stop() })
	stallsLeft := 3
	require.NoError(t, loop.Run(func() bool {
		if stallsLeft--; stallsLeft >= 0 {
			time.Sleep(30 * time.Millisecond) // simulates a stall
		}
		return stallsLeft >= 0
	}))
	assert.GreaterOrEqual(t, fired-start, 5*time.Millisecond+loop.StallTime())
	assert.GreaterOrEqual(t, loop.StallTime(), 2*(30*time.Millisecond-tolerableLag))
}
