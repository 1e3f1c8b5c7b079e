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
	conn       *conn
	request    *gateway.Request
	done       bool     // it has its answer, or nobody waits for one
	streamed   bool     // its value comes in parts
	buffered   []byte   // the answer, until those before it are given
	id         string   // as the client named it
	buffers    [][]byte // the statement's
	largeBytes int      // bytes it has of what large statements may have
}

// Served passes the value on, whole, as the database gave it.
func (call *call) Served(value []byte) { call.answer(value) }

// Refused tells that trying again is harmless, and when.
func (call *call) Refused(retryAfter time.Duration) {
	detail := ""
	if retryAfter > 0 {
		detail = strconv.FormatInt(int64((retryAfter+time.Millisecond-1)/time.Millisecond), 10)
	}
	call.answer(pgwire.AppendError(nil, "ERROR", pgwire.CodeTooManyConnections, "refused, nothing has run", detail))
}

// Cancelled tells that nothing has run, and that its client wanted it so.
func (call *call) Cancelled() {
	call.answer(pgwire.AppendError(nil, "ERROR", pgwire.CodeQueryCanceled, "canceled, nothing has run", ""))
}

// Failed promises nothing.
func (call *call) Failed() {
	call.answer(pgwire.AppendError(nil, "ERROR", pgwire.CodeUnknownOutcome, "failed, the statement may have run", ""))
}

// answer gives the client its answer when the turn has come, else keeps it.
func (call *call) answer(message []byte) {
	c := call.conn
	c.front.options.Guard.CheckAnswer(call.id, c.number, call.done)
	call.markDone()
	if c.nc.Closed() {
		return
	}
	if c.calls[0] != call {
		before := len(call.buffered)                                        // of a value that came in parts
		call.buffered = slices.Concat(call.buffered, message, readyMessage) // the message is good during the call
		c.bufferedBytes += len(call.buffered) - before
		return
	}
	c.nc.Write(message, readyMessage)
	c.advance()
}

// BeginStream tells that a large value comes in parts.
func (call *call) BeginStream() {
	call.streamed = true
	if conn := call.conn; !conn.nc.Closed() && conn.calls[0] == call {
		conn.front.streaming[conn] = struct{}{}
		conn.lastReadAt = conn.front.loop.Now()
	}
}

// StreamChunk passes one on when the turn has come, else keeps it and wants no more until then.
func (call *call) StreamChunk(b []byte) (more bool) {
	c := call.conn
	if c.nc.Closed() {
		return false
	}
	if c.calls[0] != call {
		call.buffered = append(call.buffered, b...)
		c.bufferedBytes += len(b)
		return false
	}
	c.nc.Write(b)
	return c.nc.Pending() < maxStreamBacklog
}

// EndStream ends a value that came in parts.
func (call *call) EndStream() { call.answer(nil) }

// AbortStream tells that no more of it comes. The client can tell by the end of the connection.
func (call *call) AbortStream() {
	call.markDone()
	if c := call.conn; !c.nc.Closed() {
		c.front.closeLog.Printf(c.front.loop.Now(), "event=client_closed client=%d request=%q reason=%q", c.number, call.id, "a value broke off")
		c.abort(closedBroken)
	}
}

// advance lets go of the first answer, which is given, and gives those behind it whose turn has come.
func (c *conn) advance() {
	delete(c.front.streaming, c)
	for c.calls = c.calls[1:]; len(c.calls) > 0; c.calls = c.calls[1:] {
		a := c.calls[0]
		if len(a.buffered) > 0 {
			c.nc.Write(a.buffered)
			c.bufferedBytes -= len(a.buffered)
			a.buffered = nil
		}
		if !a.done {
			break
		}
	}
	switch {
	case len(c.calls) == 0:
		c.calls = nil
	case c.calls[0].streamed:
		c.calls[0].BeginStream()
		if c.nc.Pending() < maxStreamBacklog { // else when it is flushed
			c.front.core.ResumeStream(c.calls[0].request)
		}
	}
	c.serve()
}

// markDone takes the request out of the books.
func (call *call) markDone() {
	call.done = true
	delete(call.conn.front.openIDs, call.id)
}

var readyMessage = pgwire.AppendReady(nil)

// Released gives the statement's buffer back.
func (call *call) Released() {
	f := call.conn.front
	for _, b := range call.buffers {
		f.loop.Free(b)
	}
	call.buffers = nil
	f.releaseLarge(call.largeBytes)
	call.largeBytes = 0
}
