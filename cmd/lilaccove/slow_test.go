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

// Where the network cuts what a client sends does not matter: each byte comes by itself.
func TestClientByteByByte(t *testing.T) {
	t.Parallel()
	s := newSite(t, managed)
	c := s.raw()
	all := string(pgwire.Startup("api", "ledger")) + query("") + query(stmt("write", 2900, "")) + query(stmt("write", 2900, ",r=1"))
	for i := range len(all) {
		c.write(all[i : i+1])
	}
	c.read()
	assert.True(t, c.read().empty)
	assert.Equal(t, "p", c.read().value)
	assert.Equal(t, "p", c.read().value)
	assert.Equal(t, 2, len(s.p.Statements()))
}

// A packet that goes on may take longer than one that does not: a statement whose parts come over more than its first
// limit is served, and the client that stops in the middle is let go.
func TestSlowPacketsGoOn(t *testing.T) {
	t.Parallel()
	s := newSite(t, managed)
	text := query(stmt("write", 2900, ""))
	slow, used, stopped := s.client(), s.client(), s.client()
	used.ask("")
	stopped.write(text[:20])
	at := 0
	for begun := time.Now(); time.Since(begun) < 3*time.Second; time.Sleep(100 * time.Millisecond) {
		slow.write(text[at : at+1])
		used.write(text[at : at+1])
		at++
	}
	assert.True(t, stopped.read().ended)
	for _, c := range []*client{slow, used} {
		c.write(text[at:])
		assert.Equal(t, "p", c.read().value)
	}
}

// A thousand clients that send their queries byte by byte, far more than there are descriptors, and forget to go on, keep
// nobody out: whoever asks is served all the while.
func TestTricklingClientsKeepNobodyOut(t *testing.T) {
	t.Parallel()
	s := newSite(t, func(s *site) { s.managed, s.sockets = true, 128 })
	c := s.client()
	s.meet(c)
	rnd := rand.New(rand.NewPCG(3, 4))
	hello := string(pgwire.Startup("api", "ledger"))
	for range 1000 {
		x := s.raw()
		text := hello + query(stmt("write", 2900, ""))
		_, _ = io.WriteString(x.c, text[:1+rnd.IntN(len(text)-1)]) // it may have been closed for others
		if rnd.IntN(20) == 0 {
			got := s.client().ask(stmt("own", 2000, ""))
			require.NotEmpty(t, got.value, "%+v", got)
		}
	}
	assert.True(t, s.ready())
	assert.NotEmpty(t, s.client().ask(stmt("own", 2000, "")).value)
}

// A request waits in the system while the gateway stands still, for longer than the terms allow a gateway to be held up. The
// time that its client has waited by then is neither told to the database nor given to the answer.
func TestRequestThatWaitedWhileTheGatewayStoodStill(t *testing.T) {
	t.Parallel()
	const (
		patient = 2 * time.Second
		stopped = 1200 * time.Millisecond
		heldUp  = 150 * time.Millisecond // the terms' slack
		late    = 500 * time.Millisecond // an answer later than this behind its time is lost
	)
	s := newSite(t, nil)
	s.serves() // a connection to the primary is up
	c := s.client()
	release := s.p.waits()
	defer close(release)
	before := len(s.p.Statements())
	var sent, goesOn time.Time
	s.stops(func() {
		sent = time.Now()
		c.write(query(stmt("write", int(patient.Milliseconds()), "")))
		time.Sleep(stopped) // the fault itself
		goesOn = time.Now()
	})
	assert.Equal(t, pgwire.CodeUnknownOutcome, c.read().code)
	assert.Less(t, time.Since(sent), patient+late)
	require.Len(t, s.p.Statements(), before+1)
	head, err := pgwire.ParseHead([]byte(s.p.Statements()[before]))
	require.NoError(t, err)
	told := time.Duration(head.DeadlineMillis) * time.Millisecond
	assert.LessOrEqual(t, told, patient-goesOn.Sub(sent)+heldUp, "what is left, and the slack")
}
