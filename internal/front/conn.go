// A client's connection.

package front

import (
	"container/list"
	"fmt"
	"hash/fnv"
	"strconv"
	"time"

	"lilaccove/internal/gateway"
	"lilaccove/internal/netloop"
	"lilaccove/internal/pgwire"
	"lilaccove/policy"
)

// conn is one client's connection. Pipelined commands go to the core as they arrive, because
// their deadlines run; the answers are written in the order of the commands.
type conn struct {
	front          *Front
	nc             *netloop.Conn
	number         uint64       // for logs
	protocolError  bool         // it sent an invalid or unsupported message
	started        bool         // the startup message was received
	cancelKey      uint64       // sent in the answer to that
	queried        bool         // a complete query was received
	calls          []*call      // not completely answered yet
	bufferedBytes  int          // bytes of answers that wait for earlier ones
	answers        answerMemory // its part of Front.answers
	takesRemaining bool         // received input is still handled during shutdown
	finishing      bool         // input is ignored; the connection ends when all is answered
	refusing       bool         // further statements are refused; the connection ends when all is answered
	work           roundWork
	endAfter       int64           // the connection may end when so many bytes were read; 0: not determined yet
	large          *largeStatement // a large statement that is not completely received
	largeWait      largeWait       // for memory for one
	enteredAt      time.Duration   // when it entered its state
	lastUnread     int             // unread bytes at the last call of hasRead
	lastReadAt     time.Duration
	serving        bool // serve is running; answers given during it must not call it again
	state          connState
	queueElement   *list.Element
	progressAt     time.Duration // enteredAt, or when progress last extended the state's timeout
	answeredAt     time.Duration // when a command was last answered
}

// Connected does nothing: it concerns dialled connections only.
func (c *conn) Connected() {}

// Received handles input from the client.
func (c *conn) Received() { c.serve() }

// flushed continues when all output was written.
func (c *conn) flushed() {
	switch {
	case len(c.calls) > 0 && c.calls[0].filler > 0:
		c.writeFiller()
	case len(c.calls) > 0 && c.calls[0].streamed:
		c.front.core.ResumeStream(c.calls[0].request)
	default:
		c.serve()
	}
}

// acceptsCommand reports whether the next command may be handled. Too many pipelined commands, or too many
// unread answers, leave further input unread. A command whose turn it is, and to whose client nothing is unsent, is always handled.
func (c *conn) acceptsCommand() bool {
	unsent := c.nc.Pending()
	switch {
	case c.nc.Closed() || c.finishing || len(c.calls) >= maxPipelined:
		return false
	case c.refusing, len(c.calls) == 0 && unsent == 0: // a refusal is small
		return true
	case unsent+c.bufferedBytes >= maxUnreadBytes:
		return false
	}
	c.updateAnswerMemory()
	return c.front.mayReserveAnswer()
}

// serve handles all complete packets that may be handled now, then closes the connection or updates its state.
func (c *conn) serve() {
	if c.serving {
		return
	}
	c.serving = true
	for c.acceptsCommand() && c.mayHandleNow() && c.handlePacket() {
		c.refusing = c.refusing || c.queried && c.front.shuttingDown && !c.takesRemaining
	}
	c.serving = false
	c.updateAnswerMemory()
	if c.nc.Closed() {
		return
	}
	// What cannot be handled yet shall not take memory from other clients. While there is enough it is read all the same, because the end of
	// the connection may follow it.
	c.nc.SetInputFull(!c.front.loop.MayReadAhead() && !c.finishing && (c.work.postponed || !c.acceptsCommand()))
	if c.finishing {
		c.nc.Consume(len(c.nc.Input()))
	}
	if c.mayEnd() && !c.restIsRead() {
		c.nc.Poll() // calls serve
		if c.nc.Closed() {
			return
		}
	}
	if c.mayEnd() && c.restIsRead() {
		c.finish(c.drainReason())
		return
	}
	c.updateState()
	c.front.reclaimMemory(c)
}

// reply answers a command that needs no request, after the answers to earlier commands.
func (c *conn) reply(message []byte) {
	if len(c.calls) == 0 {
		c.nc.Write(message)
		return
	}
	reply := &call{conn: c, done: true}
	c.calls = append(c.calls, reply)
	reply.buffer(message)
}

// handlePacket handles the next packet; it returns false if none is complete or no further one is to be handled.
func (c *conn) handlePacket() bool {
	input := c.nc.Input()
	if !c.started {
		return c.handleHello(input)
	}
	if c.large != nil || pgwire.LargeQueryLength(input) > 0 {
		return c.collectLarge()
	}
	kind, body, n, err := pgwire.Next(input, pgwire.MaxBufferedMessage)
	if err != nil {
		c.fatal(pgwire.CodeProtocolViolation, err.Error())
		return false
	}
	if n == 0 {
		return false
	}
	switch kind {
	case pgwire.Query:
		return c.handleQuery(body, n)
	case pgwire.Terminate:
		if c.finishing = true; len(c.calls) == 0 {
			c.close(closedDone)
		}
	default:
		c.fatal(pgwire.CodeProtocolViolation, "only simple queries are spoken here, not message "+strconv.QuoteRune(rune(kind)))
	}
	return false
}

func (c *conn) handleHello(input []byte) bool {
	kind, n, err := pgwire.ParseFirstPacket(input)
	switch {
	case err != nil:
		c.fatal(pgwire.CodeProtocolViolation, err.Error())
	case kind == pgwire.FirstPacketTLS, kind == pgwire.FirstPacketGSS:
		c.fatal(pgwire.CodeUnsupported, "encryption is not spoken here")
	case kind == pgwire.FirstPacketCancel:
		if key, ok := pgwire.CancelKey(input[:n]); ok {
			c.front.cancel(key)
		}
		c.close(closedDone)
	case kind == pgwire.FirstPacketStartup:
		c.nc.Consume(n)
		c.started, c.cancelKey = true, c.front.keySource.Uint64()
		c.front.cancelKeys[c.cancelKey] = c
		c.nc.Write(pgwire.AppendStartupReply(nil, c.cancelKey))
		return true
	}
	return false
}

// cancel cancels the request that the connection with this key waits for, not the pipelined ones after it. A wrong key, or
// one that arrives too late, has no effect, and the sender does not learn which it was.
func (f *Front) cancel(key uint64) {
	if c := f.cancelKeys[key]; c != nil && len(c.calls) > 0 && c.calls[0].request != nil && !c.calls[0].done {
		f.core.Cancel(c.calls[0].request)
	}
}

// revokeCancelKey invalidates the connection's cancel key.
func (c *conn) revokeCancelKey() {
	if c.started {
		delete(c.front.cancelKeys, c.cancelKey)
	}
}

// handleQuery answers the empty query, which asks whether the gateway is ready, and submits other statements.
func (c *conn) handleQuery(body []byte, n int) bool {
	c.queried = true
	c.dequeue() // the timeout of its state restarts
	text, err := pgwire.ParseText(body)
	if err == nil && pgwire.IsEmptyQuery(text) {
		c.nc.Consume(n)
		if c.front.starting {
			c.reply(pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", pgwire.CodeCannotConnectNow, "the gateway is starting", "")))
		} else if c.front.drained {
			c.reply(pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", pgwire.CodeCannotConnectNow, "the gateway is drained", "")))
		} else {
			c.front.options.Guard.CheckReady(c.front.options.Servable == nil || c.front.options.Servable())
			c.reply(pgwire.AppendReady(pgwire.AppendEmptyQuery(nil)))
		}
		return true
	}
	var head pgwire.Head
	var class int
	if err == nil {
		head, class, err = c.parseHead(text)
	}
	if err != nil {
		c.nc.Consume(n)
		c.rejectStatement(err)
		return true
	}
	// The request takes over the buffer: the statement is written from where it was read,
	// and the head's offsets count from the start of its text.
	buffer := c.nc.Take(n)
	c.submit(class, &pgwire.Statement{Text: buffer[n-len(body) : n-1], Head: head}, [][]byte{buffer}, 0)
	return true
}

// parseHead parses the comment at the start of a statement, looks up its class and claims its id.
func (c *conn) parseHead(text []byte) (head pgwire.Head, class int, err error) {
	if head, err = pgwire.ParseHead(text); err != nil {
		return head, 0, err
	}
	class, known := c.front.classes[string(head.Class)]
	if !known {
		return head, 0, fmt.Errorf("unknown class %q", head.Class)
	}
	if !c.front.ids.claim(string(head.ID)) {
		err = errDuplicateID
	}
	return head, class, err
}

// rejectStatement answers a statement that is invalid.
func (c *conn) rejectStatement(err error) {
	c.front.clientLog.Printf(c.front.loop.Now(), "event=bad_query client=%d err=%q", c.number, err)
	c.reply(pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", pgwire.CodeProtocolViolation, err.Error(), "")))
}

// submit passes a statement to the core. Its buffers are freed when it is released.
func (c *conn) submit(class int, statement *pgwire.Statement, buffers [][]byte, largeBytes int) {
	head := &statement.Head
	request := &gateway.Request{
		Class: class, Group: policy.GroupID(head.Cluster), Session: sessionID(head.Key),
		MinPosition: time.Duration(head.After) * time.Millisecond,
		Deadline:    c.deadline(head),
	}
	c.nc.InputHandled()
	if c.front.answerDeadline > 0 {
		request.Deadline = min(request.Deadline, c.front.answerDeadline)
	}
	id := string(head.ID)
	request.Name, request.ConnectionID = id, c.number
	call := &call{conn: c, request: request, id: id, buffers: buffers, largeBytes: largeBytes}
	request.Client, request.Statement = call, statement
	c.calls = append(c.calls, call)
	switch {
	case c.refusing:
		c.front.core.Refuse(request)
	case c.front.answersExceeded():
		c.front.refusedForMemory++
		c.front.core.Refuse(request)
	default:
		c.front.core.Submit(request)
	}
}

// deadline returns until when the client waits for the answer to a statement: counted from the earliest time at which the statement's last
// byte may have been sent, because input waits while this process is stalled or its memory is short. A delay of up to arrivalSlack, which
// the requirements allow, is not counted, nor that part of a longer one. Nor is the time that a command waits for the answers to earlier ones.
func (c *conn) deadline(head *pgwire.Head) time.Duration {
	now := c.front.loop.Now()
	sentAt := now - max(0, now-max(c.nc.SentSince(), c.answeredAt)-arrivalSlack)
	return sentAt + time.Duration(head.DeadlineMillis)*time.Millisecond
}

// sessionID returns the number of the session that a key names: the key as a hexadecimal number of up to 64 bits, or else a
// hash of it.
func sessionID(key []byte) policy.SessionID {
	if n, err := strconv.ParseUint(string(key), 16, 64); err == nil {
		return policy.SessionID(n)
	}
	h := fnv.New64a()
	_, _ = h.Write(key)
	return policy.SessionID(h.Sum64())
}

// fatal answers with an error after which the connection is closed.
func (c *conn) fatal(code, reason string) {
	c.protocolError = true
	c.front.clientLog.Printf(c.front.loop.Now(), "event=client_closed client=%d code=%s reason=%q", c.number, code, reason)
	c.reply(pgwire.AppendError(nil, "FATAL", code, reason, ""))
	c.finishing = true
}
