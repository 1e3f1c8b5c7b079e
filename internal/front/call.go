// Requests of a connection and their answers.

package front

import (
	"slices"
	"strconv"
	"time"

	"lilaccove/internal/gateway"
	"lilaccove/internal/pgwire"
)

// call is the front's side of one request.
type call struct {
	conn    *conn
	q       *gateway.Request
	done    bool     // it has its answer, or nobody waits for one
	parts   bool     // its value comes in parts
	kept    []byte   // the answer, until those before it are given
	id      string   // as the client named it
	buffers [][]byte // the statement's
	large   int      // bytes it has of what large statements may have
}

// Served passes the value on, whole, as the database gave it.
func (a *call) Served(value []byte) { a.answer(value) }

// Refused tells that trying again is harmless, and when.
func (a *call) Refused(retryAfter time.Duration) {
	detail := ""
	if retryAfter > 0 {
		detail = strconv.FormatInt(int64((retryAfter+time.Millisecond-1)/time.Millisecond), 10)
	}
	a.answer(pgwire.AppendError(nil, "ERROR", pgwire.CodeTooManyConnections, "refused, nothing has run", detail))
}

// Cancelled tells that nothing has run, and that its client wanted it so.
func (a *call) Cancelled() {
	a.answer(pgwire.AppendError(nil, "ERROR", pgwire.CodeQueryCanceled, "canceled, nothing has run", ""))
}

// Failed promises nothing.
func (a *call) Failed() {
	a.answer(pgwire.AppendError(nil, "ERROR", pgwire.CodeUnknownOutcome, "failed, the statement may have run", ""))
}

// answer gives the client its answer when the turn has come, else keeps it.
func (a *call) answer(message []byte) {
	c := a.conn
	c.front.opt.Guard.CheckAnswer(a.id, c.number, a.done)
	a.over()
	if c.nc.Closed() {
		return
	}
	if c.calls[0] != a {
		n := len(a.kept)                               // of a value that came in parts
		a.kept = slices.Concat(a.kept, message, ready) // the message is good during the call
		c.kept += len(a.kept) - n
		return
	}
	c.nc.Write(message, ready)
	c.advance()
}

// BeginStream tells that a large value comes in parts.
func (a *call) BeginStream() {
	a.parts = true
	if c := a.conn; !c.nc.Closed() && c.calls[0] == a {
		c.front.streams[c] = struct{}{}
		c.readAt = c.front.loop.Now()
	}
}

// StreamChunk passes one on when the turn has come, else keeps it and wants no more until then.
func (a *call) StreamChunk(b []byte) (more bool) {
	c := a.conn
	if c.nc.Closed() {
		return false
	}
	if c.calls[0] != a {
		a.kept = append(a.kept, b...)
		c.kept += len(b)
		return false
	}
	c.nc.Write(b)
	return c.nc.Pending() < mostPart
}

// EndStream ends a value that came in parts.
func (a *call) EndStream() { a.answer(nil) }

// AbortStream tells that no more of it comes. The client can tell by the end of the connection.
func (a *call) AbortStream() {
	a.over()
	if c := a.conn; !c.nc.Closed() {
		c.front.bad.Printf(c.front.loop.Now(), "event=client_closed client=%d request=%q reason=%q", c.number, a.id, "a value broke off")
		c.cut(closedBroken)
	}
}

// advance lets go of the first answer, which is given, and gives those behind it whose turn has come.
func (c *conn) advance() {
	delete(c.front.streams, c)
	for c.calls = c.calls[1:]; len(c.calls) > 0; c.calls = c.calls[1:] {
		a := c.calls[0]
		if len(a.kept) > 0 {
			c.nc.Write(a.kept)
			c.kept -= len(a.kept)
			a.kept = nil
		}
		if !a.done {
			break
		}
	}
	switch {
	case len(c.calls) == 0:
		c.calls = nil
	case c.calls[0].parts:
		c.calls[0].BeginStream()
		if c.nc.Pending() < mostPart { // else when it is flushed
			c.front.core.ResumeStream(c.calls[0].q)
		}
	}
	c.serve()
}

// over takes the request out of the books.
func (a *call) over() {
	a.done = true
	delete(a.conn.front.ids, a.id)
}

var ready = pgwire.AppendReady(nil)

// Released gives the statement's buffer back.
func (a *call) Released() {
	f := a.conn.front
	for _, b := range a.buffers {
		f.loop.Free(b)
	}
	a.buffers = nil
	f.freeLarge(a.large)
	a.large = 0
}
