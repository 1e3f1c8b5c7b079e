// Requests of a connection and their answers.

package front

import (
	"strconv"
	"time"

	"lilaccove/internal/gateway"
	"lilaccove/internal/pgwire"
)

// call is the front's side of one request.
type call struct {
	conn       *conn
	request    *gateway.Request
	done       bool     // it is answered, or the client is gone
	streamed   bool     // its value is streamed
	filler     int      // bytes that are still to be written in place of the missing part of a streamed value
	buffered   []byte   // the answer, until all earlier ones are written
	id         string   // the client's request id
	buffers    [][]byte // of the statement
	largeBytes int      // bytes reserved for a large statement
}

// Served writes the complete value as the database delivered it.
func (call *call) Served(value []byte) { call.answer(value) }

// Refused answers that a retry is harmless, with the time after which to retry: the statement has not run, or may safely run
// again.
func (call *call) Refused(retryAfter time.Duration) {
	detail := ""
	if retryAfter > 0 {
		detail = strconv.FormatInt(int64((retryAfter+time.Millisecond-1)/time.Millisecond), 10)
	}
	call.answer(pgwire.AppendError(nil, "ERROR", pgwire.CodeTooManyConnections, "refused, nothing has run", detail))
}

// Cancelled answers that nothing has run because the client cancelled.
func (call *call) Cancelled() {
	call.answer(pgwire.AppendError(nil, "ERROR", pgwire.CodeQueryCanceled, "canceled, nothing has run", ""))
}

// Failed answers that the outcome is unknown.
func (call *call) Failed() {
	call.answer(pgwire.AppendError(nil, "ERROR", pgwire.CodeUnknownOutcome, "failed, the statement may have run", ""))
}

// answer writes the answer if it is the connection's next one, else buffers it.
func (call *call) answer(message []byte) {
	c := call.conn
	c.front.options.Guard.CheckAnswer(call.id, c.number, call.done)
	call.markDone()
	if c.nc.Closed() {
		return
	}
	if c.calls[0] != call {
		call.buffer(message, readyMessage)
		return
	}
	c.nc.Write(message, readyMessage)
	c.advance()
}

// buffer keeps a copy of parts of the answer until the earlier ones are written.
func (call *call) buffer(parts ...[]byte) {
	c := call.conn
	before := len(call.buffered)
	call.buffered = c.front.loop.AppendOutput(call.buffered, parts...)
	c.bufferedBytes += len(call.buffered) - before
	c.updateAnswerMemory()
}

// dropBuffered frees the buffered part of the answer, which was written or is not needed.
func (call *call) dropBuffered() {
	call.conn.bufferedBytes -= len(call.buffered)
	call.conn.front.loop.FreeBuffer(call.buffered)
	call.buffered = nil
}

// BeginStream starts a streamed value.
func (call *call) BeginStream() {
	call.streamed = true
	if c := call.conn; !c.nc.Closed() && c.calls[0] == call {
		c.front.streaming[c] = struct{}{}
		c.lastReadAt = c.front.loop.Now()
	}
}

// StreamChunk writes the next bytes of a streamed value if it is the connection's next answer; else it buffers them and asks for
// no more until then.
func (call *call) StreamChunk(b []byte) (more bool) {
	c := call.conn
	if c.nc.Closed() {
		return false
	}
	if c.calls[0] != call {
		call.buffer(b)
		return false
	}
	c.nc.Write(b)
	c.updateAnswerMemory()
	return c.nc.Pending() < maxStreamBacklog
}

// EndStream ends a streamed value.
func (call *call) EndStream() { call.answer(nil) }

// advance removes the first call, whose answer is written, and writes the answers that are next in order.
func (c *conn) advance() {
	delete(c.front.streaming, c)
	c.answeredAt = c.front.loop.Now()
	for c.calls = c.calls[1:]; len(c.calls) > 0; c.calls = c.calls[1:] {
		a := c.calls[0]
		if len(a.buffered) > 0 {
			c.nc.Write(a.buffered)
			a.dropBuffered()
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
		if c.nc.Pending() < maxStreamBacklog { // else flushed does so
			c.front.core.ResumeStream(c.calls[0].request)
		}
	}
	c.serve()
}

// markDone marks the request as done and its id as unused.
func (call *call) markDone() {
	call.done = true
	call.conn.front.ids.release(call.id)
}

var readyMessage = pgwire.AppendReady(nil)

// Released frees the statement's buffers.
func (call *call) Released() {
	f := call.conn.front
	for _, b := range call.buffers {
		f.loop.FreeBuffer(b)
	}
	call.buffers = nil
	f.releaseLarge(call.largeBytes)
	call.largeBytes = 0
}
