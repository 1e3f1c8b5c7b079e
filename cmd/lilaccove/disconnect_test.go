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

// disconnectGrace is how long after a client's disconnect an attempt for it may still start.
const disconnectGrace = 100 * time.Millisecond

// whilePaused calls run while the gateway's process is stopped.
func (gw *testGateway) whilePaused(run func()) {
	gw.t.Helper()
	require.NoError(gw.t, gw.Pause())
	run()
	require.NoError(gw.t, gw.Resume())
}

// waitServed waits until a write of another client is served; by then the gateway has handled all earlier input.
func (gw *testGateway) waitServed() {
	gw.t.Helper()
	gw.primary.setHandler(nil)
	gw.eventually("another client is served", func() bool { return gw.connect().query(statement("write", 3000, "")).value == "p" })
}

// disconnectModes are the ways in which clients end a connection.
var disconnectModes = map[string]func(c net.Conn){
	"close": func(c net.Conn) { c.Close() },
	"reset": func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); c.Close() },
	"half":  func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() }, // indistinguishable from a close for the gateway
}

// A request and its client's disconnect are read together, long after both arrived: nothing is sent to the database, although
// a connection to it is idle.
func TestDisconnectBeforeRequestIsRead(t *testing.T) {
	t.Parallel()
	for name, disconnect := range disconnectModes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gw := startGateway(t, nil)
			gw.waitServed() // opens a connection to the primary
			before := len(gw.primary.Statements())
			connected := gw.connect()
			gw.whilePaused(func() {
				connected.write(queryMessage(statement("write", 3000, "")))
				disconnect(connected.conn)
				queued := gw.dial() // in the listen queue
				queued.write(string(pgwire.Startup("api", "ledger")) + queryMessage(statement("write", 3000, "")))
				disconnect(queued.conn)
				large := gw.dial()
				text := queryMessage(strings.Replace(statement("write", 3000, ""), `\x9f03`, `\x`+strings.Repeat("9f", 20<<10), 1))
				large.write(string(pgwire.Startup("api", "ledger")) + text)
				disconnect(large.conn)
				time.Sleep(3 * disconnectGrace) // duration of the pause
			})
			gw.waitServed()
			assert.Len(t, gw.primary.Statements(), before+1)
		})
	}
}

// A request waits for a connection that is established late, and its client disconnects meanwhile. It is not sent, even where
// attempts may not be cancelled: it is not an attempt yet.
func TestDisconnectBeforeDatabaseConnects(t *testing.T) {
	t.Parallel()
	for _, cancels := range []string{"true", "false"} {
		t.Run("Cancel "+cancels, func(t *testing.T) {
			t.Parallel()
			gw := startGateway(t, func(gw *testGateway) {
				gw.settings = strings.NewReplacer(`"Cancel":true`, `"Cancel":`+cancels, `"DialTimeoutUs":250000`, `"DialTimeoutUs":3000000`).Replace(testSettings)
			})
			gw.primary.DelayGreeting(time.Second)
			c := gw.connect()
			c.write(queryMessage(statement("write", 3000, "")))
			gw.eventually("the request waits for a connection", func() bool { return gw.primary.Dials() > 0 })
			c.conn.Close()
			gw.primary.DelayGreeting(0)
			gw.waitServed()
			assert.Len(t, gw.primary.Statements(), 1)
		})
	}
}

// When a client disconnects, the rest of a large statement that the database has received in part is not sent.
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
	gw.primary.AnnounceAddr(ln.Addr().String()) // a database that completes the startup and reads nothing for now
	c := gw.connect()
	value := strings.Repeat("9f", 4<<20)
	gw.eventually("the database accepts a connection", func() bool {
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
	assert.Less(t, received, int64(len(value)), "the rest is not sent")
}

// Pipelined requests, more than are accepted at once, wait for connections that are established late. When their client
// disconnects all of them end, even if more input than the gateway reads precedes the end. Connections are delayed until the
// gateway has read it: on an earlier one, an attempt could start between the disconnect and its reading, which is allowed.
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
			gw.eventually("connections are being established", func() bool { return gw.primary.Dials() > 1 })
			disconnect(c.conn)
			gw.eventually("all requests have ended", func() bool { return gw.metric("in_progress") == 0 })
			assert.Empty(t, gw.primary.Statements(), "no connection is established yet")
			gw.waitServed() // on connections delayed in the same way
			assert.Len(t, gw.primary.Statements(), 1)
		})
	}
}

// A read is held while the primary's breaker is open and no replica is fresh enough. Its client disconnects, and then the
// replicas catch up: the read is not sent.
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
	for range 2 { // the primary's answers give the databases' clock, without which staleness is unknown at first
		assert.NotEmpty(t, other.query(statement("write", 1000, "")).value)
	}
	gw.learnPositions(other)
	gw.primary.setHandler(answerError("XX000"))
	gw.eventually("the primary's breaker opens", func() bool {
		other.query(statement("write", 1000, ""))
		return strings.Contains(gw.logText(), "breaker opens")
	})
	c := gw.connect()
	c.write(queryMessage(statement("browse", 8000, "")))
	gw.eventually("the read is held", func() bool { return gw.metric("in_progress") == 1 })
	c.conn.Close()
	gw.eventually("the disconnect is read", func() bool { return gw.metric("in_progress") == 0 })
	for _, d := range []*database{gw.replicaA, gw.replicaB} {
		d.SetLag(0)
	}
	for range 10 { // their answers carry their replication positions
		assert.NotEmpty(t, other.query(statement("own", 1000, "")).value)
	}
	for _, text := range append(gw.replicaA.Statements(), gw.replicaB.Statements()...) {
		assert.NotContains(t, text, "c=browse")
	}
	assert.NotEmpty(t, other.query(statement("browse", 1000, "")).value, "the replicas serve such reads now")
}

// A retry must start within the deduplication window of its class. A connection established after that is not used for it.
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
	assert.Less(t, time.Since(start), time.Second, "a request that cannot be retried is answered at once")
	assert.Equal(t, pgwire.CodeTooManyConnections, got.code, "a client's retry is deduplicated by its key")
	gw.primary.DelayGreeting(0)
	gw.waitServed()
	assert.Len(t, gw.primary.Statements(), 2)
}

// connectWithKey connects a client and returns its cancel key.
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

// cancel sends a cancel request with a key and waits until the gateway has read it: it closes the connection without an answer.
func (gw *testGateway) cancel(key uint64) {
	gw.t.Helper()
	c := gw.dial()
	c.write(string(pgwire.CancelRequest(key)))
	assert.Equal(gw.t, answer{ended: true}, c.readAnswer())
}

// A client cancels by its key. A waiting request ends at once and is never sent; one that may have run ends with its outcome
// and is not retried; a wrong key and a late request do nothing. The connection stays usable.
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
	gw.cancel(key) // no request is open

	gw.primary.DelayGreeting(time.Second)
	c.write(queryMessage(statement("write", 3000, "")) + queryMessage(""))
	gw.eventually("the request waits for a connection", func() bool { return gw.primary.Dials() > 0 })
	for _, wrong := range []uint64{otherKey, 0, key ^ 1, key ^ 1<<63} {
		gw.cancel(wrong)
	}
	assert.Equal(t, 1, gw.metric("in_progress"))
	gw.cancel(key)
	assert.Equal(t, pgwire.CodeQueryCanceled, c.readAnswer().code)
	assert.True(t, c.readAnswer().empty, "the pipelined command is not cancelled")
	gw.primary.DelayGreeting(0)
	gw.waitServed()
	assert.Len(t, gw.primary.Statements(), 1)

	release := gw.primary.blockAnswers()
	c.write(queryMessage(statement("write", 3000, "")))
	gw.eventually("the write arrives", func() bool { return len(gw.primary.Statements()) == 2 })
	gw.cancel(key)
	close(release)
	assert.Equal(t, "late", c.readAnswer().value, "it has run, and the client learns that")

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
	gw.eventually("the read arrives", func() bool { return statementCount() == before+1 })
	gw.cancel(key)
	close(releaseReads)
	assert.Equal(t, pgwire.CodeUnknownOutcome, c.readAnswer().code)
	assert.Equal(t, before+1, statementCount(), "a cancelled read whose connection broke is not retried")
	gw.cancel(key) // late
	gw.waitServed()
	assert.Equal(t, "p", c.query(statement("write", 3000, "")).value)
	c.conn.Close()
	gw.cancel(key) // the key of a closed connection
}
