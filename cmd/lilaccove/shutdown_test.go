package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/pgwire"
)

const (
	accepts = 700 * time.Millisecond // after SIGTERM clients come and ask as before
	killed  = 3 * time.Second        // the longest deadline: SIGKILL comes so long after that
)

// ending sends SIGTERM and tells when.
func (s *site) ending() time.Time {
	s.t.Helper()
	at := time.Now()
	s.term()
	s.eventually("it has heard", func() bool { return strings.Contains(s.logged(), "event=ending") })
	return at
}

// exitsInTime waits for the end, which has to come before the process would be killed.
func (s *site) exitsInTime(term time.Time) {
	s.t.Helper()
	s.exits()
	assert.Less(s.t, time.Since(term), accepts+killed+raceExit)
}

// Requests reach resting connections and the listener's queue in the very moment in which a gateway that ends goes
// through its connections. It has read them, so they are answered, however many there are.
func TestTermMeetsRequests(t *testing.T) {
	t.Parallel()
	s := newSite(t, func(s *site) { s.sockets = 1024 })
	var resting, queued []*client
	for range 20 {
		resting = append(resting, s.client())
	}
	term := s.ending()
	s.stops(func() {
		time.Sleep(time.Until(term.Add(accepts))) // its moment comes while it stands still
		for _, c := range resting {
			c.write(query(stmt("own", 3000, "")))
		}
		for range 300 { // more than are taken from the queue at once
			c := s.raw()
			c.write(string(pgwire.Startup("api", "ledger")) + query(stmt("own", 3000, "")))
			queued = append(queued, c)
		}
	})
	for _, c := range queued {
		c.read() // the greeting
	}
	for i, c := range append(resting, queued...) {
		got := c.read()
		assert.Equal(t, 1, got.rows+got.errs, "%d %+v", i, got)
	}
	s.exitsInTime(term)
}

// Half a query has come when the gateway lets its clients go. Its rest is awaited for a moment and answered, before the
// process is killed even where its database hangs; without a rest the connection is closed.
func TestTermMeetsHalfAQuery(t *testing.T) {
	t.Parallel()
	s := newSite(t, nil)
	slow, never, hung := s.client(), s.client(), s.client()
	text := query(stmt("write", 3000, ""))
	term := s.ending()
	slow.write(text[:40])
	never.write(text[:40])
	late := query(stmt("write", 3000, ""))
	hung.write(late[:40])
	rest := s.client()
	assert.True(t, rest.read().ended)
	slow.write(text[40:])
	assert.Equal(t, "p", slow.read().value)
	assert.True(t, slow.read().ended)
	s.p.will(silent)
	hung.write(late[40:])
	assert.Equal(t, pgwire.CodeUnknownOutcome, hung.read().code)
	assert.Less(t, time.Since(term), accepts+killed)
	assert.True(t, never.read().ended)
	s.exitsInTime(term)
}

// Clients go on sending on connections that stay open, ahead of the answers. A gateway that ended such a connection only
// where nothing was left to answer would never end.
func TestTermAndClientsThatGoOnSending(t *testing.T) {
	t.Parallel()
	s := newSite(t, nil)
	release := s.p.waits()
	c := s.client()
	text := query(stmt("write", 3000, "")) + strings.Repeat(query(""), 50) // more than are taken at once
	c.write(text)
	s.eventually("the write is out", func() bool { return len(s.p.Statements()) > 0 })
	term := s.ending()
	go func() {
		for {
			if _, err := c.c.Write([]byte(query(""))); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}()
	time.Sleep(time.Until(term.Add(accepts + gone)))
	close(release)
	assert.Equal(t, "late", c.read().value)
	for got := c.read(); !got.ended; got = c.read() {
		assert.True(t, got.empty)
	}
	s.exitsInTime(term)
}

// A quarter of the databases hang, for good, when SIGTERM comes: twice, beside SIGHUP, and while operators drain the gateway.
// Each request gets one answer, the write's in its own time, and the process ends before it would be killed.
func TestTermWhileDatabasesHang(t *testing.T) {
	t.Parallel()
	for name, also := range map[string]func(s *site){
		"alone":  func(*site) {},
		"twice":  func(s *site) { s.term() },
		"reload": func(s *site) { s.hup() },
		"drain":  func(s *site) { s.yes("PUT", "/v1/gateway/drain") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, managed)
			s.meet(s.client())
			s.p.will(silent)
			s.a.will(silent)
			var all []*client
			asks := func(d int) {
				for _, class := range []string{"write", "own", "browse"} {
					c := s.client()
					c.write(query(stmt(class, d, "")))
					all = append(all, c)
				}
			}
			asks(1200)
			if name == "drain" {
				also(s)
			}
			term := s.ending()
			asks(3000) // they still come
			also(s)
			for i, c := range all {
				got := c.read()
				assert.Equal(t, 1, got.rows+got.errs, "%d %+v", i, got)
				assert.Less(t, time.Since(term), accepts+killed)
				assert.True(t, c.read().ended)
			}
			s.exitsInTime(term)
		})
	}
}

// Answers are with the kernel, for clients that read slowly and have sent more than is read. A plain close over that would
// reset the connection and take them along.
func TestTermLosesNoAnswer(t *testing.T) {
	t.Parallel()
	s := newSite(t, nil)
	s.meet(s.client())
	value := blob(60 << 10)
	release := make(chan struct{})
	for _, d := range []*database{s.a, s.b, s.p} {
		d.will(func(d *database, c net.Conn, _ string) {
			<-release
			d.Answer(c, value)
		})
	}
	statements := func() int { return len(s.a.Statements()) + len(s.b.Statements()) + len(s.p.Statements()) }
	before := statements()
	var all []*client
	for i := range 6 {
		c := s.client()
		require.NoError(t, c.c.(*net.TCPConn).SetReadBuffer(4<<10))
		c.write(query(stmt("own", 3000, fmt.Sprintf(",n=%d", i))))
		all = append(all, c)
	}
	s.eventually("they are out", func() bool { return statements() == before+6 })
	term := s.ending()
	time.Sleep(time.Until(term.Add(accepts + gone)))
	sends := func() {
		for _, c := range all {
			c.write("Q\x00\x00\x02\x00half a command, which nobody will read")
		}
		time.Sleep(gone) // the fault: it goes on while answers are on their way
	}
	sends()
	close(release)
	sends()
	sends()
	var readers sync.WaitGroup
	for i, c := range all {
		readers.Go(func() {
			got := c.read()
			assert.True(t, got.value == value, "%d %s %d bytes", i, got.code, len(got.value))
			assert.True(t, c.read().ended)
		})
	}
	readers.Wait()
	s.exits()
}
