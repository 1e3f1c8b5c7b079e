package main

import (
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/pgwire"
)

// It does not matter how the network splits a client's input: here each byte arrives by itself.
func TestClientByteByByte(t *testing.T) {
	t.Parallel()
	gw := startGateway(t, withManagement)
	c := gw.dial()
	input := string(pgwire.Startup("api", "ledger")) + queryMessage("") + queryMessage(statement("write", 2900, "")) + queryMessage(statement("write", 2900, ",r=1"))
	for i := range len(input) {
		c.write(input[i : i+1])
	}
	c.readAnswer()
	assert.True(t, c.readAnswer().empty)
	assert.Equal(t, "p", c.readAnswer().value)
	assert.Equal(t, "p", c.readAnswer().value)
	assert.Equal(t, 2, len(gw.primary.Statements()))
}

// A packet that keeps arriving may take longer than one that stops: a statement that takes longer than the first time limit
// is served, and a client that stops in the middle is closed.
func TestSlowPacketsAreServed(t *testing.T) {
	t.Parallel()
	gw := startGateway(t, withManagement)
	text := queryMessage(statement("write", 2900, ""))
	fresh, used, stopped := gw.connect(), gw.connect(), gw.connect()
	used.query("")
	stopped.write(text[:20])
	sent := 0
	for start := time.Now(); time.Since(start) < 3*time.Second; time.Sleep(100 * time.Millisecond) {
		fresh.write(text[sent : sent+1])
		used.write(text[sent : sent+1])
		sent++
	}
	assert.True(t, stopped.readAnswer().ended)
	for _, c := range []*client{fresh, used} {
		c.write(text[sent:])
		assert.Equal(t, "p", c.readAnswer().value)
	}
}

// A thousand clients, far more than there are descriptors, each send part of a query and then stop. Meanwhile other clients
// are served.
func TestTricklingClientsDoNotBlockOthers(t *testing.T) {
	t.Parallel()
	gw := startGateway(t, func(gw *testGateway) { gw.hasManagement, gw.sockets = true, 128 })
	c := gw.connect()
	gw.learnPositions(c)
	rnd := rand.New(rand.NewPCG(3, 4))
	startup := string(pgwire.Startup("api", "ledger"))
	for range 1000 {
		trickling := gw.dial()
		text := startup + queryMessage(statement("write", 2900, ""))
		_, _ = io.WriteString(trickling.conn, text[:1+rnd.IntN(len(text)-1)]) // may fail: it may have been evicted
		if rnd.IntN(20) == 0 {
			got := gw.connect().query(statement("own", 2000, ""))
			require.NotEmpty(t, got.value, "%+v", got)
		}
	}
	assert.True(t, gw.ready())
	assert.NotEmpty(t, gw.connect().query(statement("own", 2000, "")).value)
}

// A request waits in the kernel while the gateway is paused, for longer than the allowed stall. The time that its client has
// waited by then counts against the deadline, both the one sent to the database and the one for the answer.
func TestRequestQueuedDuringPause(t *testing.T) {
	t.Parallel()
	const (
		deadline     = 2 * time.Second
		pause        = 1200 * time.Millisecond
		allowedStall = 150 * time.Millisecond // of a gateway; arrivalSlack in internal/front is derived from it
		maxLateness  = 500 * time.Millisecond // an answer this long after the deadline is lost
	)
	gw := startGateway(t, nil)
	gw.waitServed() // opens a connection to the primary
	c := gw.connect()
	release := gw.primary.blockAnswers()
	defer close(release)
	before := len(gw.primary.Statements())
	var sent, resumed time.Time
	gw.whilePaused(func() {
		sent = time.Now()
		c.write(queryMessage(statement("write", int(deadline.Milliseconds()), "")))
		time.Sleep(pause)
		resumed = time.Now()
	})
	assert.Equal(t, pgwire.CodeUnknownOutcome, c.readAnswer().code)
	assert.Less(t, time.Since(sent), deadline+maxLateness)
	require.Len(t, gw.primary.Statements(), before+1)
	head, err := pgwire.ParseHead([]byte(gw.primary.Statements()[before]))
	require.NoError(t, err)
	forwarded := time.Duration(head.DeadlineMillis) * time.Millisecond
	assert.LessOrEqual(t, forwarded, deadline-resumed.Sub(sent)+allowedStall, "the remaining time and the allowed stall")
}
