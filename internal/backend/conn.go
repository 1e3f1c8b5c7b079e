package backend

import (
	"bytes"
	"errors"
	"net/netip"
	"slices"
	"time"

	"lilaccove/internal/gateway"
	"lilaccove/internal/netloop"
	"lilaccove/internal/pgwire"
	"lilaccove/policy"
)

// conn is one connection to a database. It carries one job at a time.
type conn struct {
	pool         *Pool
	host         *host
	addr         netip.AddrPort // the dialled address: the host may have moved since
	nc           *netloop.Conn
	timer        *netloop.Timer // ends the dial, the quarantine or the wait for a late answer
	established  bool           // the greeting is complete
	idleSince    time.Duration
	rowRemaining int           // unread bytes of the row that is being streamed
	lastRead     time.Duration // when bytes of that row were last read
	paused       bool          // streaming waits until the client has read
	closed       bool
	unwritten    [][]byte // remaining pieces of a large statement
	job          *job
	abandoned    bool // its attempt was given up; only a late answer is still read
	answer       answer
}

var errUnexpectedMessage = errors.New("unexpected message")

// answerEndBytes is the room for what follows a row: CommandComplete, ParameterStatus messages and ReadyForQuery.
const answerEndBytes = 512

// resetAnswer forgets what was received for a job.
func (c *conn) resetAnswer() {
	c.pool.loop.FreeBuffer(c.answer.value)
	c.answer = answer{}
	c.answer.kinds = c.answer.kindsBuffer[:0]
}

// keepValue moves the value out of the connection's input, which is lost when the connection ends.
func (c *conn) keepValue() {
	if a := &c.answer; a.valueBytes > 0 {
		a.value = c.nc.Take(a.valueBytes)
		a.valueBytes = 0
	}
}

// receivedValue returns the value as received so far. It is valid until input is consumed.
func (c *conn) receivedValue() []byte {
	if a := &c.answer; a.valueBytes > 0 {
		return c.nc.Input()[:a.valueBytes]
	}
	return c.answer.value
}

// dropValue frees the memory of a value that is passed on or not needed.
func (c *conn) dropValue() {
	c.nc.Consume(c.answer.valueBytes)
	c.pool.loop.FreeBuffer(c.answer.value)
	c.answer.valueBytes, c.answer.value = 0, nil
}

// Connected sends the startup message.
func (c *conn) Connected() {
	c.resetAnswer()
	c.nc.OnFlush(c.flushed)
	c.nc.Write(c.pool.startup)
}

func (c *conn) dialTimedOut() {
	c.discard()
	c.pool.dialFailed(c.host, policy.ConnectFailed)
}

// discard closes the connection and stops counting it.
func (c *conn) discard() {
	c.timer.Stop()
	c.host.dialing = remove(c.host.dialing, c)
	if c.nc.Close(); !c.closed {
		c.closed = true
		c.host.open--
		if p := c.pool; p.options.Budget != nil { // the budget allows another one now; dial after this call has returned
			p.loop.At(p.loop.Now(), func() { p.dialIfNeeded(c.host) })
		}
	}
}

// lateAnswerWait is how long input is still read after an attempt was given up, or after a complete answer. By the protocol, an
// answer counts as known this long after it was written.
const lateAnswerWait = 100 * time.Millisecond

// awaitLateAnswer closes the write side, which signals to the database that the attempt was given up, and reads what is in
// flight. That answer counts as known, and it may be the only one to show that the host is no longer the primary.
func (c *conn) awaitLateAnswer(job *job) {
	if job.attempt == nil || c.answer.streamed || c.pool.loop.SpareDescriptors() <= c.pool.options.Reserve {
		c.discard()
		return
	}
	c.abandoned = true
	c.nc.CloseWrite()
	c.timer = c.pool.loop.At(c.pool.loop.Now()+lateAnswerWait, c.discard)
}

// start writes a job. If it is too late to begin an attempt, the attempt ends as NotSent and the connection serves another job.
func (c *conn) start(job *job) {
	remaining := time.Duration(0)
	if job.attempt != nil {
		if remaining = c.pool.core.BeginAttempt(job.attempt, job.deadline); remaining == 0 {
			c.pool.finish(job, policy.NotSent, gateway.Reply{})
			c.pool.release(c)
			return
		}
	}
	c.job, job.conn = job, c
	c.resetAnswer()
	job.timer.Stop()
	job.timer = c.pool.loop.At(job.deadline, func() { c.pool.abandon(job, policy.Timeout) })
	if job.attempt == nil {
		c.writeProbe()
		return
	}
	c.writeStatement(job.attempt.Statement.(*pgwire.Statement), remaining)
}

// writeProbe sends a probe: for the load report if the settings enable it, else a trivial query.
func (c *conn) writeProbe() {
	text := "SELECT 1"
	if c.pool.options.ProbeReport {
		text = "SHOW load"
	}
	c.nc.Write(pgwire.AppendQuery(nil, text))
}

// writeStatement writes a statement. Only the digits of the header's d field (the time left) are new; the rest is written from
// the buffers into which it was read.
func (c *conn) writeStatement(statement *pgwire.Statement, remaining time.Duration) {
	digits := pgwire.AppendMillis(c.answer.timeoutBuffer[:0], remaining.Milliseconds())
	before, after := statement.Head.SplitAtDeadline(statement.Text)
	head := pgwire.QueryHeader(statement.Length() - len(statement.Text) + len(before) + len(digits) + len(after) + 1)
	if len(statement.Rest) == 0 {
		c.nc.Write(head[:], before, digits, after, nulByte)
	} else {
		c.nc.Write(head[:], before, digits, after)
		c.unwritten = append(slices.Clone(statement.Rest), nulByte)
	}
	c.flushed()
}

// flushed continues a large statement as the kernel accepts bytes, and reports when its last byte was accepted.
func (c *conn) flushed() {
	for len(c.unwritten) > 0 && c.nc.Pending() == 0 {
		c.nc.Write(c.unwritten[0])
		c.unwritten = c.unwritten[1:]
	}
	if c.job != nil && c.job.attempt != nil && !c.hasUnsent() {
		c.pool.core.Written(c.job.attempt)
	}
}

// hasUnsent reports whether the kernel has not accepted all of the statement yet, so that it cannot have run.
func (c *conn) hasUnsent() bool { return len(c.unwritten) > 0 || c.nc.Pending() > 0 }

var nulByte = []byte{0}

// Received handles input from the database.
func (c *conn) Received() {
	c.readMessages()
	if !c.nc.Closed() && c.job != nil && c.answer.complete() && !c.answer.streamed {
		c.awaitReady()
	}
}

// readMessages handles all messages that have arrived completely.
func (c *conn) readMessages() {
	for !c.nc.Closed() && !c.paused && len(c.nc.Input()) > c.answer.valueBytes {
		if c.rowRemaining > 0 {
			c.streamInput()
			continue
		}
		input := c.nc.Input()[c.answer.valueBytes:]
		kind, body, n, err := pgwire.NextAnswer(input)
		if err == nil && !c.expects(input[0]) {
			err = errUnexpectedMessage
		}
		if err != nil {
			c.protocolError(err)
			return
		}
		if n == 0 {
			if !c.beginStream(input) {
				c.reserveInput(input)
				return
			}
			continue
		}
		c.handleMessage(kind, body, input[:n])
		if kind == pgwire.Ready {
			c.handleReady()
		}
	}
}

// reserveInput has the input moved to a buffer that holds the rest of the message at its start and of its answer. Reading goes on when there is
// memory for that. So an answer that has begun to take memory can take all that it needs, and gives it back.
func (c *conn) reserveInput(message []byte) {
	if n := pgwire.MessageLength(message); n > 0 {
		c.nc.SetMinBuffer(c.answer.valueBytes + n + answerEndBytes)
	}
}

// awaitReady waits briefly for ReadyForQuery, and for parameters reported before it, after a complete answer. If the database
// hangs there, the answer still counts, but the connection is not used again.
func (c *conn) awaitReady() {
	job := c.job
	c.keepValue()
	job.timer.Stop()
	job.timer = c.pool.loop.At(min(job.deadline, c.pool.loop.Now()+lateAnswerWait), func() {
		c.job = nil
		c.discard()
		c.resolve(job)
	})
}

// expects reports whether a message of this type is valid now.
func (c *conn) expects(kind byte) bool {
	a := &c.answer
	switch {
	case c.established && c.job == nil && !c.abandoned:
		return false // no request is pending
	case kind == pgwire.ParameterStatus, kind == pgwire.Notice:
		return true
	case !c.established:
		return kind != pgwire.RowDescription && kind != pgwire.DataRow && kind != pgwire.CommandComplete
	case kind == pgwire.Ready:
		return a.complete()
	case a.complete():
		return false
	case kind == pgwire.ErrorResponse:
		return true
	}
	return kind == answerKinds[len(a.kinds)]
}

// answerKinds is the sequence of message types in an answer with a value.
const answerKinds = "TDC"

// handleMessage handles a message at the start of the input, after the value received so far. A part of the value stays there.
func (c *conn) handleMessage(kind byte, body, raw []byte) {
	a := &c.answer
	isValue := false
	switch kind {
	case pgwire.ParameterStatus:
		if name, value, err := pgwire.ParseParameterStatus(body); err == nil {
			a.setParameter(name, value)
		}
	case pgwire.RowDescription, pgwire.DataRow, pgwire.CommandComplete:
		a.kinds = append(a.kinds, kind)
		if a.streamed {
			c.forward(raw)
		} else if c.abandoned {
			// the value is not needed
		} else if c.job.attempt != nil {
			isValue = true
		} else if kind == pgwire.DataRow {
			column, _ := pgwire.ParseSingleColumn(body)
			a.probeColumn = bytes.Clone(column)
		}
	case pgwire.ErrorResponse:
		a.errorCode, a.errorText = string(pgwire.ErrorCode(body)), string(pgwire.ErrorMessage(body))
	}
	if isValue {
		a.valueBytes += len(raw)
	} else {
		c.nc.Remove(a.valueBytes, len(raw))
	}
}

// protocolError closes a connection after an invalid or unexpected message: later messages cannot
// be attributed to a request. The current job may have run; what was received for it is
// discarded.
func (c *conn) protocolError(err error) {
	c.pool.invalidAnswerLog.Printf(c.pool.loop.Now(), "event=bad_answer host=%s busy=%t err=%q", c.host.id, c.job != nil, err)
	c.resetAnswer()
	c.Ended(err)
}

// handleReady handles ReadyForQuery, which ends the greeting or an answer.
func (c *conn) handleReady() {
	job := c.job
	if c.abandoned {
		c.pool.core.LateAnswer(c.host.id, c.answer.reply)
		c.discard()
		return
	}
	if !c.established {
		c.established = true
		c.timer.Stop()
		c.host.dialing = remove(c.host.dialing, c)
	} else {
		c.job = nil
		c.nc.SetMinBuffer(0)
		c.resolve(job)
	}
	switch {
	case c.outdated() || len(c.nc.Input()) > 0: // unrequested bytes follow the answer
		c.discard()
		c.pool.dialIfNeeded(c.host)
	case job != nil:
		c.pool.quarantine(c)
	default:
		c.pool.release(c)
	}
}

// resolve ends a job with the received answer.
func (c *conn) resolve(job *job) {
	a := &c.answer
	if job.attempt == nil && a.probeColumn != nil && c.pool.options.ProbeReport {
		a.parseReport(a.probeColumn)
	}
	a.reply.Value = c.receivedValue()
	c.pool.finish(job, c.pool.outcome(a, c.host.id), a.reply)
	c.dropValue()
}

// Ended handles the end of the connection and resolves its job.
func (c *conn) Ended(error) {
	switch job := c.job; {
	case c.abandoned:
		if c.discard(); c.answer.complete() {
			c.pool.core.LateAnswer(c.host.id, c.answer.reply)
		}
	case !c.established:
		outcome := policy.ConnectFailed
		if a := &c.answer; a.errorCode == pgwire.CodeTooManyConnections {
			outcome = policy.AtCapacity
		}
		c.discard()
		c.pool.dialFailed(c.host, outcome)
	case job != nil:
		c.job = nil
		c.discard()
		switch {
		case c.answer.complete():
			c.resolve(job)
		case c.hasUnsent():
			c.pool.finish(job, policy.ConnectFailed, gateway.Reply{})
		default:
			c.pool.finish(job, policy.Reset, gateway.Reply{})
		}
	default:
		c.discard()
		c.host.idle, c.host.quarantined = remove(c.host.idle, c), remove(c.host.quarantined, c)
		c.pool.dialIfNeeded(c.host)
	}
}

// outdated reports whether the host has left the list or has another address now.
func (c *conn) outdated() bool { return c.host.gone || c.addr != c.host.addr }

func remove(list []*conn, c *conn) []*conn {
	for i, other := range list {
		if other == c {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
