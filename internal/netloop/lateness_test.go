package netloop

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A process that comes late reads all that has come before it lets a timer judge by what has not; what it reads is as old
// as its own absence, and time limits that want its help are put off by that.
func TestLateProcess(t *testing.T) {
	const clients = 2*perRound + 50
	l, err := New(clients+20, 0, 64<<20)
	require.NoError(t, err)
	defer l.Close()
	got, accepted := 0, 0
	var age time.Duration
	take := func(c *Conn) {
		accepted++
		c.SetHandler(&echo{c: c, received: func(c *Conn) {
			got, age = got+1, l.MaxEventAge()
			c.Consume(1)
		}}, 16)
	}
	ln, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), take)
	require.NoError(t, err)
	var all []net.Conn
	for range clients {
		all = append(all, dial(t, ln.Addr.String()))
	}
	const gone = 80 * time.Millisecond
	var atTimer, atPatient int
	var lost time.Duration
	l.At(l.Now(), func() {}) // the first round does not wait
	require.NoError(t, l.Run(func() bool {
		if accepted < clients || lost > 0 {
			return true
		}
		if atTimer == 0 && got == 0 {
			l.At(l.Now()+time.Millisecond, func() { atTimer = got })
			l.AfterRunTime(time.Millisecond, func() { atPatient = got; l.Stop() })
			for _, c := range all {
				_, err := c.Write([]byte{1})
				require.NoError(t, err)
			}
			for begun := l.Clock(); l.Clock() < begun+gone; {
				time.Sleep(time.Millisecond) // it stands still
			}
		} else {
			lost = l.StallTime()
		}
		return true
	}))
	assert.Equal(t, clients, atTimer, "what has come is read before the timer judges")
	assert.Equal(t, clients, atPatient)
	assert.GreaterOrEqual(t, age, gone)
	assert.GreaterOrEqual(t, lost, gone-tolerable)
}

// The parts of a delay, by hand: what waited, what did not, what the timers show, and rounds that leave something behind.
func TestLateness(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	a := lateness{}
	for i, c := range []struct {
		called, now, due int
		whole            bool
		age, lost        int
	}{
		{100, 100, 0, true, 0, 0},         // the first look knows nothing of before
		{103, 103, 0, true, 3, 0},         // ready at once: it may have waited since the last look
		{104, 150, 150, true, 0, 0},       // it waited for this
		{151, 200, 170, true, 30, 20},     // a timer tells that it was not running
		{260, 260, 0, false, 60, 70},      // a long round
		{264, 264, 0, true, 64, 124},      // which had left something behind
		{265, 400, 0, true, 0, 124},       // it waited, and no timer was due
		{401, 401, 400, true, 1, 124},     // usual
		{401, 401, 390, true, 11, 125},    // due in an earlier round that was long
		{500, 500, 0, true, 99, 125 + 89}, // at work since the last look
	} {
		a.look(ms(c.called), ms(c.now), ms(c.due))
		a.whole = c.whole
		assert.Equal(t, ms(c.age), a.age, "%d", i)
		assert.Equal(t, ms(c.lost), a.lost, "%d", i)
	}
}

// A limit is put off by what was lost, as often as something is.
func TestWithin(t *testing.T) {
	l, err := New(20, 0, 1<<20)
	require.NoError(t, err)
	defer l.Close()
	var at time.Duration
	begun := l.Now()
	l.AfterRunTime(5*time.Millisecond, func() { at = l.Now(); l.Stop() })
	hold := 3
	require.NoError(t, l.Run(func() bool {
		if hold--; hold >= 0 {
			time.Sleep(30 * time.Millisecond) // it stands still
		}
		return hold >= 0
	}))
	assert.GreaterOrEqual(t, at-begun, 5*time.Millisecond+l.StallTime())
	assert.GreaterOrEqual(t, l.StallTime(), 2*(30*time.Millisecond-tolerable))
}
