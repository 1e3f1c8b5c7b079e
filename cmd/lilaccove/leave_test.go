package main

import (
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/pgwire"
)

// gone is how long after a client has left an attempt may still begin.
const gone = 100 * time.Millisecond

// stops has the gateway stand still while the test does something.
func (s *site) stops(do func()) {
	s.t.Helper()
	require.NoError(s.t, s.Pause())
	do()
	require.NoError(s.t, s.Resume())
}

// serves checks that a write of another client is served, by when all that came before has been dealt with.
func (s *site) serves() {
	s.t.Helper()
	s.p.will(nil)
	s.eventually("another is served", func() bool { return s.client().ask(stmt("write", 3000, "")).value == "p" })
}

// ends of a connection, as clients make them.
var ends = map[string]func(c net.Conn){
	"close": func(c net.Conn) { c.Close() },
	"reset": func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); c.Close() },
	"half":  func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() }, // a client that has closed cannot be told from it
}

// A request and its client's end are read together, long after both came: nothing is sent on, not even on the
// connection that is at hand.
func TestClientThatLeftBeforeItWasRead(t *testing.T) {
	t.Parallel()
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, nil)
			s.serves() // a connection to the primary is up
			n := len(s.p.Statements())
			known := s.client()
			s.stops(func() {
				known.write(query(stmt("write", 3000, "")))
				end(known.c)
				fresh := s.raw() // in the listener's queue
				fresh.write(string(pgwire.Startup("api", "ledger")) + query(stmt("write", 3000, "")))
				end(fresh.c)
				large := s.raw()
				text := query(strings.Replace(stmt("write", 3000, ""), `\x9f03`, `\x`+strings.Repeat("9f", 20<<10), 1))
				large.write(string(pgwire.Startup("api", "ledger")) + text)
				end(large.c)
				time.Sleep(3 * gone) // the fault
			})
			s.serves()
			assert.Len(t, s.p.Statements(), n+1)
		})
	}
}

// A request waits for a connection that comes up late, and its client leaves meanwhile. Where attempts may not be called
// off it is not begun either: it is not an attempt yet.
func TestClientThatLeavesBeforeItsConnectionIsUp(t *testing.T) {
	t.Parallel()
	for _, cancels := range []string{"true", "false"} {
		t.Run("cancels "+cancels, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, func(s *site) {
				s.settings = strings.NewReplacer(`"Cancel":true`, `"Cancel":`+cancels, `"DialTimeoutUs":250000`, `"DialTimeoutUs":3000000`).Replace(testSettings)
			})
			s.p.DelayGreeting(time.Second)
			c := s.client()
			c.write(query(stmt("write", 3000, "")))
			s.eventually("it waits for a connection", func() bool { return s.p.Dials() > 0 })
			c.c.Close()
			s.p.DelayGreeting(0)
			s.serves()
			assert.Len(t, s.p.Statements(), 1)
		})
	}
}

// Nor is a large statement written on, of which the database has a part only.
func TestClientThatLeavesInTheMiddleOfItsStatement(t *testing.T) {
	t.Parallel()
	s := newSite(t, func(s *site) { s.settings = strings.Replace(testSettings, `"Cancel":true`, `"Cancel":false`, 1) })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	got := make(chan net.Conn, 8)
	go func() {
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			_, _ = c.Write(pgwire.AppendStartupReply(nil, 0))
			got <- c
		}
	}()
	s.p.AnnounceAddr(ln.Addr().String()) // a database that greets, and reads nothing for now
	c := s.client()
	whole := strings.Repeat("9f", 4<<20)
	s.eventually("it is written to", func() bool {
		if len(got) == 0 {
			c.c.Close()
			c = s.client()
			c.write(query(strings.Replace(stmt("write", 3000, ""), `\x9f03`, `\x`+whole, 1)))
			time.Sleep(50 * time.Millisecond)
		}
		return len(got) > 0
	})
	time.Sleep(200 * time.Millisecond) // the kernel's buffers are full by now
	c.c.Close()
	d := <-got
	require.NoError(t, d.SetReadDeadline(time.Now().Add(patience)))
	n, _ := io.Copy(io.Discard, d)
	assert.Less(t, n, int64(len(whole)), "the rest is not written")
}

// Requests sent ahead, more than are taken at once, wait for connections that come up late: with their client's end all of
// them are over, also where its end stands behind more input than is read. Connections are late until the gateway has read
// the end: one that came up at once would get an attempt in the moment between the end and its reading, as it may.
func TestClientThatLeavesBehindCommandsSentAhead(t *testing.T) {
	t.Parallel()
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, func(s *site) {
				managed(s)
				s.settings = strings.NewReplacer(`"Cancel":true`, `"Cancel":false`, `"DialTimeoutUs":250000`, `"DialTimeoutUs":3000000`).Replace(testSettings)
			})
			s.p.DelayGreeting(2 * time.Second)
			c := s.client()
			for range 40 {
				c.write(query(stmt("write", 3000, "")))
			}
			c.write(query(strings.Replace(stmt("write", 3000, ""), `\x9f03`, `\x`+strings.Repeat("9f", 60<<10), 1)))
			s.eventually("connections are on their way", func() bool { return s.p.Dials() > 1 })
			end(c.c)
			s.eventually("all of them are over", func() bool { return s.figure("in_progress") == 0 })
			assert.Empty(t, s.p.Statements(), "no connection is up yet")
			s.serves() // over connections as late as theirs
			assert.Len(t, s.p.Statements(), 1)
		})
	}
}

// A read is held while the breaker of its group is open and no replica is fresh enough. Its client leaves, and then a
// replica shows to have caught up.
func TestClientThatLeavesWhileItsReadIsHeld(t *testing.T) {
	t.Parallel()
	s := newSite(t, func(s *site) {
		managed(s)
		s.settings = strings.Replace(testSettings, `"GoalTimeUs":500000,"DeadlineUs":1200000`, `"GoalTimeUs":4000000,"DeadlineUs":8000000`, 1)
	})
	for _, d := range []*database{s.a, s.b} {
		d.SetLag(10 * time.Second)
	}
	known := s.client()
	for range 2 { // the primary tells the databases' clock, without which the age of data is not known at first
		assert.NotEmpty(t, known.ask(stmt("write", 1000, "")).value)
	}
	s.meet(known)
	s.p.will(saying("XX000"))
	s.eventually("its breaker opens", func() bool {
		known.ask(stmt("write", 1000, ""))
		return strings.Contains(s.logged(), "breaker opens")
	})
	c := s.client()
	c.write(query(stmt("browse", 8000, "")))
	s.eventually("it is held", func() bool { return s.figure("in_progress") == 1 })
	c.c.Close()
	s.eventually("its end is read", func() bool { return s.figure("in_progress") == 0 })
	for _, d := range []*database{s.a, s.b} {
		d.SetLag(0)
	}
	for range 10 { // their answers tell how far they are
		assert.NotEmpty(t, known.ask(stmt("own", 1000, "")).value)
	}
	for _, text := range append(s.a.Statements(), s.b.Statements()...) {
		assert.NotContains(t, text, "c=browse")
	}
	assert.NotEmpty(t, known.ask(stmt("browse", 1000, "")).value, "the replicas serve such reads now")
}

// A repeat has to begin within its class's window. A connection that comes up behind it is of no use to it.
func TestRepeatBehindItsWindow(t *testing.T) {
	t.Parallel()
	s := newSite(t, func(s *site) {
		s.settings = strings.NewReplacer(`"Repeat":"fragile"`, `"Repeat":"dedup","Group":"all","DedupWindowUs":400000`,
			`"DialTimeoutUs":250000`, `"DialTimeoutUs":3000000`).Replace(testSettings)
	})
	s.p.will(func(d *database, c net.Conn, _ string) {
		d.DelayGreeting(time.Second)
		c.Close()
	})
	begun := time.Now()
	got := s.client().ask(stmt("write", 2500, ""))
	assert.Less(t, time.Since(begun), time.Second, "given up is answered at once")
	assert.Equal(t, pgwire.CodeTooManyConnections, got.code, "whoever comes again is told apart by the key")
	s.p.DelayGreeting(0)
	s.serves()
	assert.Len(t, s.p.Statements(), 2)
}

// keyed is a client that keeps the key which it is told.
func (s *site) keyed() (c *client, key uint64) {
	s.t.Helper()
	c = s.raw()
	c.write(string(pgwire.Startup("api", "ledger")))
	for {
		kind, body, err := readMessage(c.in)
		require.NoError(s.t, err)
		switch kind {
		case pgwire.BackendKey:
			key = binary.BigEndian.Uint64(body)
		case pgwire.Ready:
			return c, key
		}
	}
}

// cancel asks to cancel by a key, and waits until that has been read: nothing is said to it.
func (s *site) cancel(key uint64) {
	s.t.Helper()
	c := s.raw()
	c.write(string(pgwire.CancelRequest(key)))
	assert.Equal(s.t, answer{ended: true}, c.read())
}

// A client cancels by its key. What waits is over at once and is never sent; what may have run ends with its outcome and
// is not sent again; a wrong key and a late one do nothing. The connection goes on.
func TestCancel(t *testing.T) {
	t.Parallel()
	s := newSite(t, func(s *site) {
		managed(s)
		s.settings = strings.Replace(testSettings, `"DialTimeoutUs":250000`, `"DialTimeoutUs":3000000`, 1)
	})
	c, key := s.keyed()
	other, otherKey := s.keyed()
	assert.NotZero(t, key)
	assert.NotEqual(t, key, otherKey)
	s.cancel(key) // nothing is open

	s.p.DelayGreeting(time.Second)
	c.write(query(stmt("write", 3000, "")) + query(""))
	s.eventually("it waits for a connection", func() bool { return s.p.Dials() > 0 })
	for _, wrong := range []uint64{otherKey, 0, key ^ 1, key ^ 1<<63} {
		s.cancel(wrong)
	}
	assert.Equal(t, 1, s.figure("in_progress"))
	s.cancel(key)
	assert.Equal(t, pgwire.CodeQueryCanceled, c.read().code)
	assert.True(t, c.read().empty, "what was sent ahead is not meant")
	s.p.DelayGreeting(0)
	s.serves()
	assert.Len(t, s.p.Statements(), 1)

	release := s.p.waits()
	c.write(query(stmt("write", 3000, "")))
	s.eventually("it is out", func() bool { return len(s.p.Statements()) == 2 })
	s.cancel(key)
	close(release)
	assert.Equal(t, "late", c.read().value, "it has run: that is told")

	s.meet(other)
	hold := make(chan struct{})
	for _, d := range []*database{s.a, s.b, s.p} {
		d.will(func(_ *database, c net.Conn, _ string) {
			<-hold
			c.Close()
		})
	}
	n := func() int { return len(s.p.Statements()) + len(s.a.Statements()) + len(s.b.Statements()) }
	before := n()
	c.write(query(stmt("own", 3000, "")))
	s.eventually("it is out", func() bool { return n() == before+1 })
	s.cancel(key)
	close(hold)
	assert.Equal(t, pgwire.CodeUnknownOutcome, c.read().code)
	assert.Equal(t, before+1, n(), "a read that was reset is not sent again for who does not want it")
	s.cancel(key) // late
	s.serves()
	assert.Equal(t, "p", c.ask(stmt("write", 3000, "")).value)
	c.c.Close()
	s.cancel(key) // of a connection that has ended
}
