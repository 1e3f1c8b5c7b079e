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

// disconnectGrace is how long after a client has left an attempt may still begin.
const disconnectGrace = 100 * time.Millisecond

// whilePaused has the gateway stand still while the test does something.
func (gw *testGateway) whilePaused(run func()) {
	gw.t.Helper()
	require.NoError(gw.t, gw.Pause())
	run()
	require.NoError(gw.t, gw.Resume())
}

// waitServed checks that a write of another client is served, by when all that came before has been dealt with.
func (gw *testGateway) waitServed() {
	gw.t.Helper()
	gw.primary.setHandler(nil)
	gw.eventually("another is served", func() bool { return gw.connect().query(statement("write", 3000, "")).value == "p" })
}

// disconnectModes of a connection, as clients make them.
var disconnectModes = map[string]func(c net.Conn){
	"close": func(c net.Conn) { c.Close() },
	"reset": func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); c.Close() },
	"half":  func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() }, // a client that has closed cannot be told from it
}

// A request and its client's end are read together, long after both came: nothing is sent on, not even on the
// connection that is at hand.
func TestDisconnectBeforeRequestIsRead(t *testing.T) {
	t.Parallel()
	for name, disconnect := range disconnectModes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gw := startGateway(t, nil)
			gw.waitServed() // a connection to the primary is up
			before := len(gw.primary.Statements())
			connected := gw.connect()
			gw.whilePaused(func() {
				connected.write(queryMessage(statement("write", 3000, "")))
				disconnect(connected.conn)
				queued := gw.dial() // in the listener's queue
				queued.write(string(pgwire.Startup("api", "ledger")) + queryMessage(statement("write", 3000, "")))
				disconnect(queued.conn)
				large := gw.dial()
				text := queryMessage(strings.Replace(statement("write", 3000, ""), `\x9f03`, `\x`+strings.Repeat("9f", 20<<10), 1))
				large.write(string(pgwire.Startup("api", "ledger")) + text)
				disconnect(large.conn)
				time.Sleep(3 * disconnectGrace) // the fault
			})
			gw.waitServed()
			assert.Len(t, gw.primary.Statements(), before+1)
		})
	}
}

// A request waits for a connection that comes up late, and its client leaves meanwhile. Where attempts may not be called
// off it is not begun either: it is not an attempt yet.
func TestDisconnectBeforeDatabaseConnects(t *testing.T) {
	t.Parallel()
	for _, cancels := range []string{"true", "false"} {
		t.Run("cancels "+cancels, func(t *testing.T) {
			t.Parallel()
			gw := startGateway(t, func(gw *testGateway) {
				gw.settings = strings.NewReplacer(`"Cancel":true`, `"Cancel":`+cancels, `"DialTimeoutUs":250000`, `"DialTimeoutUs":3000000`).Replace(testSettings)
			})
			gw.primary.DelayGreeting(time.Second)
			c := gw.connect()
			c.write(queryMessage(statement("write", 3000, "")))
			gw.eventually("it waits for a connection", func() bool { return gw.primary.Dials() > 0 })
			c.conn.Close()
			gw.primary.DelayGreeting(0)
			gw.waitServed()
			assert.Len(t, gw.primary.Statements(), 1)
		})
	}
}

// Nor is a large statement written on, of which the database has a part only.
func TestDisconnectDuringLargeStatement(t *testing.T) {
	t.Parallel()
	gw := startGateway(t, func(gw *testGateway) {
		gw.settings = strings.Replace(testSettings, `"Cancel":true`, `"Cancel":false`, 1)
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	accepted := make(chan net.Conn, 8)
	go func() {
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			_, _ = c.Write(pgwire.AppendStartupReply(nil, 0))
			accepted <- c
		}
	}()
	gw.primary.AnnounceAddr(ln.Addr().String()) // a database that greets, and reads nothing for now
	c := gw.connect()
	value := strings.Repeat("9f", 4<<20)
	gw.eventually("it is written to", func() bool {
		if len(accepted) == 0 {
			c.conn.Close()
			c = gw.connect()
			c.write(queryMessage(strings.Replace(statement("write", 3000, ""), `\x9f03`, `\x`+value, 1)))
			time.Sleep(50 * time.Millisecond)
		}
		return len(accepted) > 0
	})
	time.Sleep(200 * time.Millisecond) // the kernel's buffers are full by now
	c.conn.Close()
	databaseConn := <-accepted
	require.NoError(t, databaseConn.SetReadDeadline(time.Now().Add(waitTimeout)))
	received, _ := io.Copy(io.Discard, databaseConn)
	assert.Less(t, received, int64(len(value)), "the rest is not written")
}

// Requests sent ahead, more than are taken at once, wait for connections that come up late: with their client's end all of
// them are over, also where its end stands behind more input than is read. Connections are late until the gateway has read
// the end: one that came up at once would get an attempt in the moment between the end and its reading, as it may.
func TestDisconnectAfterPipelinedCommands(t *testing.T) {
	t.Parallel()
	for name, disconnect := range disconnectModes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gw := startGateway(t, func(gw *testGateway) {
				withManagement(gw)
				gw.settings = strings.NewReplacer(`"Cancel":true`, `"Cancel":false`, `"DialTimeoutUs":250000`, `"DialTimeoutUs":3000000`).Replace(testSettings)
			})
			gw.primary.DelayGreeting(2 * time.Second)
			c := gw.connect()
			for range 40 {
				c.write(queryMessage(statement("write", 3000, "")))
			}
			c.write(queryMessage(strings.Replace(statement("write", 3000, ""), `\x9f03`, `\x`+strings.Repeat("9f", 60<<10), 1)))
			gw.eventually("connections are on their way", func() bool { return gw.primary.Dials() > 1 })
			disconnect(c.conn)
			gw.eventually("all of them are over", func() bool { return gw.metric("in_progress") == 0 })
			assert.Empty(t, gw.primary.Statements(), "no connection is up yet")
			gw.waitServed() // over connections as late as theirs
			assert.Len(t, gw.primary.Statements(), 1)
		})
	}
}

// A read is held while the breaker of its group is open and no replica is fresh enough. Its client leaves, and then a
// replica shows to have caught up.
func TestDisconnectWhileReadIsHeld(t *testing.T) {
	t.Parallel()
	gw := startGateway(t, func(gw *testGateway) {
		withManagement(gw)
		gw.settings = strings.Replace(testSettings, `"GoalTimeUs":500000,"DeadlineUs":1200000`, `"GoalTimeUs":4000000,"DeadlineUs":8000000`, 1)
	})
	for _, d := range []*database{gw.replicaA, gw.replicaB} {
		d.SetLag(10 * time.Second)
	}
	other := gw.connect()
	for range 2 { // the primary tells the databases' clock, without which the age of data is not known at first
		assert.NotEmpty(t, other.query(statement("write", 1000, "")).value)
	}
	gw.learnPositions(other)
	gw.primary.setHandler(answerError("XX000"))
	gw.eventually("its breaker opens", func() bool {
		other.query(statement("write", 1000, ""))
		return strings.Contains(gw.logText(), "breaker opens")
	})
	c := gw.connect()
	c.write(queryMessage(statement("browse", 8000, "")))
	gw.eventually("it is held", func() bool { return gw.metric("in_progress") == 1 })
	c.conn.Close()
	gw.eventually("its end is read", func() bool { return gw.metric("in_progress") == 0 })
	for _, d := range []*database{gw.replicaA, gw.replicaB} {
		d.SetLag(0)
	}
	for range 10 { // their answers tell how far they are
		assert.NotEmpty(t, other.query(statement("own", 1000, "")).value)
	}
	for _, text := range append(gw.replicaA.Statements(), gw.replicaB.Statements()...) {
		assert.NotContains(t, text, "c=browse")
	}
	assert.NotEmpty(t, other.query(statement("browse", 1000, "")).value, "the replicas serve such reads now")
}

// A repeat has to begin within its class's window. A connection that comes up behind it is of no use to it.
func TestRetryAfterDedupWindow(t *testing.T) {
	t.Parallel()
	gw := startGateway(t, func(gw *testGateway) {
		gw.settings = strings.NewReplacer(`"Repeat":"fragile"`, `"Repeat":"dedup","Group":"all","DedupWindowUs":400000`,
			`"DialTimeoutUs":250000`, `"DialTimeoutUs":3000000`).Replace(testSettings)
	})
	gw.primary.setHandler(func(d *database, c net.Conn, _ string) {
		d.DelayGreeting(time.Second)
		c.Close()
	})
	start := time.Now()
	got := gw.connect().query(statement("write", 2500, ""))
	assert.Less(t, time.Since(start), time.Second, "given up is answered at once")
	assert.Equal(t, pgwire.CodeTooManyConnections, got.code, "whoever comes again is told apart by the key")
	gw.primary.DelayGreeting(0)
	gw.waitServed()
	assert.Len(t, gw.primary.Statements(), 2)
}

// connectWithKey is a client that keeps the key which it is told.
func (gw *testGateway) connectWithKey() (c *client, key uint64) {
	gw.t.Helper()
	c = gw.dial()
	c.write(string(pgwire.Startup("api", "ledger")))
	for {
		kind, body, err := readMessage(c.reader)
		require.NoError(gw.t, err)
		switch kind {
		case pgwire.BackendKey:
			key = binary.BigEndian.Uint64(body)
		case pgwire.Ready:
			return c, key
		}
	}
}

// cancel asks to cancel by a key, and waits until that has been read: nothing is said to it.
func (gw *testGateway) cancel(key uint64) {
	gw.t.Helper()
	c := gw.dial()
	c.write(string(pgwire.CancelRequest(key)))
	assert.Equal(gw.t, answer{ended: true}, c.readAnswer())
}

// A client cancels by its key. What waits is over at once and is never sent; what may have run ends with its outcome and
// is not sent again; a wrong key and a late one do nothing. The connection goes on.
func TestCancel(t *testing.T) {
	t.Parallel()
	gw := startGateway(t, func(gw *testGateway) {
		withManagement(gw)
		gw.settings = strings.Replace(testSettings, `"DialTimeoutUs":250000`, `"DialTimeoutUs":3000000`, 1)
	})
	c, key := gw.connectWithKey()
	other, otherKey := gw.connectWithKey()
	assert.NotZero(t, key)
	assert.NotEqual(t, key, otherKey)
	gw.cancel(key) // nothing is open

	gw.primary.DelayGreeting(time.Second)
	c.write(queryMessage(statement("write", 3000, "")) + queryMessage(""))
	gw.eventually("it waits for a connection", func() bool { return gw.primary.Dials() > 0 })
	for _, wrong := range []uint64{otherKey, 0, key ^ 1, key ^ 1<<63} {
		gw.cancel(wrong)
	}
	assert.Equal(t, 1, gw.metric("in_progress"))
	gw.cancel(key)
	assert.Equal(t, pgwire.CodeQueryCanceled, c.readAnswer().code)
	assert.True(t, c.readAnswer().empty, "what was sent ahead is not meant")
	gw.primary.DelayGreeting(0)
	gw.waitServed()
	assert.Len(t, gw.primary.Statements(), 1)

	release := gw.primary.blockAnswers()
	c.write(queryMessage(statement("write", 3000, "")))
	gw.eventually("it is out", func() bool { return len(gw.primary.Statements()) == 2 })
	gw.cancel(key)
	close(release)
	assert.Equal(t, "late", c.readAnswer().value, "it has run: that is told")

	gw.learnPositions(other)
	releaseReads := make(chan struct{})
	for _, d := range []*database{gw.replicaA, gw.replicaB, gw.primary} {
		d.setHandler(func(_ *database, c net.Conn, _ string) {
			<-releaseReads
			c.Close()
		})
	}
	statementCount := func() int {
		return len(gw.primary.Statements()) + len(gw.replicaA.Statements()) + len(gw.replicaB.Statements())
	}
	before := statementCount()
	c.write(queryMessage(statement("own", 3000, "")))
	gw.eventually("it is out", func() bool { return statementCount() == before+1 })
	gw.cancel(key)
	close(releaseReads)
	assert.Equal(t, pgwire.CodeUnknownOutcome, c.readAnswer().code)
	assert.Equal(t, before+1, statementCount(), "a read that was reset is not sent again for who does not want it")
	gw.cancel(key) // late
	gw.waitServed()
	assert.Equal(t, "p", c.query(statement("write", 3000, "")).value)
	c.conn.Close()
	gw.cancel(key) // of a connection that has ended
}
