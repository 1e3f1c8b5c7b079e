package backend

import (
	"bytes"
	"errors"
	"math"
	"net/netip"
	"slices"
	"strconv"
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
	addr         netip.AddrPort // where it was dialled: the host may have moved since
	nc           *netloop.Conn
	timer        *netloop.Timer // by which it must be up, or has rested
	established  bool           // the database has greeted it
	idleSince    time.Duration
	rowRemaining int           // bytes to come of a row that is passed on
	lastRead     time.Duration // when the last of them came
	paused       bool          // the client has to read first
	closed       bool
	unwritten    [][]byte // of a large statement, what is still to be written
	job          *job
	abandoned    bool // its attempt was given up; what is still read is the answer to that
	answer       answer
}

// answer is what has come for the current job, or for the greeting.
type answer struct {
	value         []byte // RowDescription, DataRow and CommandComplete as they came
	kinds         []byte // the kinds of those messages
	probeColumn   []byte // of a probe's row
	errorCode     string // of an ErrorResponse
	errorText     string
	streamed      bool // its value is handed on as it comes, and is not kept
	reply         gateway.Reply
	timeoutBuffer [20]byte
	kindsBuffer   [len(answerKinds)]byte
}

var errUnexpectedMessage = errors.New("a message out of turn")

const maxKeptValueBytes = 8 << 10 // an idle connection keeps no larger buffer

func (a *answer) reset() {
	value := a.value[:0]
	if cap(value) > maxKeptValueBytes {
		value = nil
	}
	*a = answer{value: value}
	a.kinds = a.kindsBuffer[:0]
}

// Connected greets the database.
func (c *conn) Connected() {
	c.answer.reset()
	c.nc.OnFlush(c.flushed)
	c.nc.Write(c.pool.startup)
}

func (c *conn) dialTimedOut() {
	c.close()
	c.pool.dialFailed(c.host, policy.ConnectFailed)
}

// close closes the connection and takes it out of the books.
func (c *conn) close() {
	c.timer.Stop()
	c.host.dialing = remove(c.host.dialing, c)
	if c.nc.Close(); !c.closed {
		c.closed = true
		c.host.open--
		if p := c.pool; p.options.Budget != nil { // another may be opened now, when this call is over
			p.loop.At(p.loop.Now(), func() { p.dialIfNeeded(c.host) })
		}
	}
}

// lateAnswerWait is how long what comes behind an attempt that was given up, or behind a whole answer, is read: so long after it was
// written an answer counts as told, by the protocol.
const lateAnswerWait = 100 * time.Millisecond

// awaitLateAnswer ends the sending, which tells the database that an attempt was given up, and reads what is on its way. That
// answer counts as told, and it may be the only one to tell that the host is no primary any more.
func (c *conn) awaitLateAnswer(job *job) {
	if job.attempt == nil || c.answer.streamed || c.pool.loop.Spare() <= c.pool.options.Reserve {
		c.close()
		return
	}
	c.abandoned = true
	c.nc.CloseWrite()
	c.timer = c.pool.loop.At(c.pool.loop.Now()+lateAnswerWait, c.close)
}

// start writes a job, unless an attempt's time to begin turns out to be over; then the connection serves another.
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
	c.answer.reset()
	job.timer.Stop()
	job.timer = c.pool.loop.At(job.deadline, func() { c.pool.abandon(job, policy.Timeout) })
	if job.attempt == nil {
		c.writeProbe()
		return
	}
	c.writeStatement(job.attempt.Statement.(*pgwire.Statement), remaining)
}

// writeProbe asks for what the settings say that probes tell.
func (c *conn) writeProbe() {
	text := "SELECT 1"
	if c.pool.options.ProbeReport {
		text = "SHOW load"
	}
	c.nc.Write(pgwire.AppendQuery(nil, text))
}

// writeStatement writes one. Only the digits of d are new; the rest goes out from where it was read.
func (c *conn) writeStatement(statement *pgwire.Statement, remaining time.Duration) {
	digits := pgwire.AppendMillis(c.answer.timeoutBuffer[:0], remaining.Milliseconds())
	before, after := statement.Head.Around(statement.Text)
	head := pgwire.QueryHead(statement.Length() - len(statement.Text) + len(before) + len(digits) + len(after) + 1)
	if len(statement.More) == 0 {
		c.nc.Write(head[:], before, digits, after, nulByte)
	} else {
		c.nc.Write(head[:], before, digits, after)
		c.unwritten = append(slices.Clone(statement.More), nulByte)
	}
	c.flushed()
}

// flushed goes on with a large statement as the kernel takes it, and tells of one whose last byte it has.
func (c *conn) flushed() {
	for len(c.unwritten) > 0 && c.nc.Pending() == 0 {
		c.nc.Write(c.unwritten[0])
		c.unwritten = c.unwritten[1:]
	}
	if c.job != nil && c.job.attempt != nil && !c.hasUnsent() {
		c.pool.core.Written(c.job.attempt)
	}
}

// hasUnsent tells whether a part of the statement is not with the kernel: it cannot run.
func (c *conn) hasUnsent() bool { return len(c.unwritten) > 0 || c.nc.Pending() > 0 }

var nulByte = []byte{0}

// Received takes in the database's messages.
func (c *conn) Received() {
	c.readMessages()
	if !c.nc.Closed() && c.job != nil && c.answer.complete() && !c.answer.streamed {
		c.awaitReady()
	}
}

// readMessages takes in those that are whole.
func (c *conn) readMessages() {
	for !c.nc.Closed() && !c.paused && len(c.nc.Input()) > 0 {
		if c.rowRemaining > 0 {
			c.streamInput()
			continue
		}
		kind, body, n, err := pgwire.NextAnswer(c.nc.Input())
		if err == nil && !c.expects(c.nc.Input()[0]) {
			err = errUnexpectedMessage
		}
		if err != nil {
			c.protocolError(err)
			return
		}
		if n == 0 {
			if !c.beginStream() {
				return
			}
			continue
		}
		c.handleMessage(kind, body, c.nc.Input()[:n])
		c.nc.Consume(n)
		if kind == pgwire.Ready {
			c.handleReady()
		}
	}
}

// awaitReady gives ReadyForQuery, and what is told before it, a moment behind an answer that is whole. A database that hangs
// there has answered all the same; its connection serves no other.
func (c *conn) awaitReady() {
	job := c.job
	job.timer.Stop()
	job.timer = c.pool.loop.At(min(job.deadline, c.pool.loop.Now()+lateAnswerWait), func() {
		c.job = nil
		c.close()
		c.resolve(job)
	})
}

// beginStream starts to pass on a row that is too large to be collected; false: there is none.
func (c *conn) beginStream() bool {
	n := pgwire.LargeRow(c.nc.Input())
	if n == 0 || c.job == nil || c.job.attempt == nil {
		return false
	}
	job := c.job
	if !c.pool.core.BeginStream(job.attempt) {
		c.pool.abandon(job, policy.Cancelled) // nobody waits for it any more
		return false
	}
	job.timer.Stop()
	c.rowRemaining, c.lastRead = n, c.pool.loop.Now()
	c.answer.kinds, c.answer.streamed = append(c.answer.kinds, pgwire.DataRow), true
	c.nc.Widen(streamReadBytes)
	c.watchStream()
	c.forward(c.answer.value)
	return true
}

// watchStream gives a row up that does not go on, other than for the client's sake.
func (c *conn) watchStream() {
	job, now := c.job, c.pool.loop.Now()
	if c.paused {
		c.lastRead = now
	}
	if now-c.lastRead >= streamSilenceTimeout {
		c.pool.abandon(job, policy.Timeout)
		return
	}
	job.timer = c.pool.loop.At(c.lastRead+streamSilenceTimeout, c.watchStream)
}

// streamInput hands on what has come of a row.
func (c *conn) streamInput() {
	b := c.nc.Input()
	b = b[:min(len(b), c.rowRemaining)]
	c.rowRemaining -= len(b)
	c.lastRead = c.pool.loop.Now()
	c.forward(b)
	c.nc.Consume(len(b))
}

// forward gives bytes to the client, and reads no more while it has enough of them.
func (c *conn) forward(b []byte) {
	if !c.pool.core.StreamChunk(c.job.attempt, b) {
		c.paused = true
		c.nc.Pause()
	}
}

// resumeStream goes on when the client has read.
func (c *conn) resumeStream() {
	if c.paused {
		c.paused = false
		c.lastRead = c.pool.loop.Now()
		c.nc.Resume()
		c.Received()
	}
}

// expects tells whether a message of the kind may come now.
func (c *conn) expects(kind byte) bool {
	a := &c.answer
	switch {
	case c.established && c.job == nil && !c.abandoned:
		return false // nothing was asked
	case kind == pgwire.ParameterStatus, kind == pgwire.Notice:
		return true
	case !c.established:
		return kind != pgwire.RowDescription && kind != pgwire.DataRow && kind != pgwire.CommandComplete
	case kind == pgwire.Ready:
		return a.complete()
	case a.complete():
		return false
	case kind == pgwire.ErrorMsg:
		return true
	}
	return kind == answerKinds[len(a.kinds)]
}

// answerKinds is the shape of an answer with a value.
const answerKinds = "TDC"

func (c *conn) handleMessage(kind byte, body, raw []byte) {
	a := &c.answer
	switch kind {
	case pgwire.ParameterStatus:
		if name, value, err := pgwire.Pair(body); err == nil {
			a.setParameter(name, value)
		}
	case pgwire.RowDescription, pgwire.DataRow, pgwire.CommandComplete:
		a.kinds = append(a.kinds, kind)
		if a.streamed {
			c.forward(raw)
		} else if c.abandoned {
			// nobody waits for the value
		} else if c.job.attempt != nil {
			a.value = append(a.value, raw...)
		} else if kind == pgwire.DataRow {
			column, _ := pgwire.Column(body)
			a.probeColumn = bytes.Clone(column)
		}
	case pgwire.ErrorMsg:
		a.errorCode, a.errorText = string(pgwire.ErrorCode(body)), string(pgwire.ErrorText(body))
	}
}

// protocolError ends a connection on which something came that does not belong there: whatever
// follows cannot be told from an answer. What it carried may have run; nothing that was
// said of it is believed.
func (c *conn) protocolError(err error) {
	c.pool.invalidAnswerLog.Printf(c.pool.loop.Now(), "event=bad_answer host=%s busy=%t err=%q", c.host.id, c.job != nil, err)
	c.answer.reset()
	c.Ended(err)
}

// setParameter keeps what an answer tells of the database.
func (a *answer) setParameter(name, value []byte) {
	switch string(name) {
	case "role":
		a.reply.Role = parseRole(string(value))
	case "applied_ms":
		if ms, err := strconv.ParseInt(string(value), 10, 64); err == nil && ms > 0 && ms <= maxTime.Milliseconds() {
			a.reply.Position, a.reply.HasPosition = time.Duration(ms)*time.Millisecond, true
		}
	case "load":
		a.parseReport(value)
	}
}

// maxTime is the last moment that can be reckoned with; whether a position is plausible is for the decisions.
const maxTime = time.Duration(math.MaxInt64 / 2)

func parseRole(s string) policy.Role {
	switch s {
	case "primary":
		return policy.Primary
	case "replica":
		return policy.Replica
	}
	return policy.RoleUnknown
}

// parseReport reads name=value pairs; names nobody here reads are skipped. One that cannot be
// read is no parseReport at all.
func (a *answer) parseReport(text []byte) {
	var report policy.Report
	for pair := range bytes.SplitSeq(text, []byte{','}) {
		name, value, _ := bytes.Cut(pair, []byte{'='})
		number, err := strconv.ParseFloat(string(value), 64)
		if err != nil {
			return
		}
		switch string(name) {
		case "x0":
			if !(number >= 0 && number <= maxTime.Seconds()) {
				return
			}
			report.Position, report.HasPosition = time.Duration(number*float64(time.Second)), true
		case "x1":
			report.Role = policy.Replica
			if number == 1 {
				report.Role = policy.Primary
			}
		}
	}
	a.reply.Report = report
}

// handleReady handles ReadyForQuery: the end of the greeting or of an answer.
func (c *conn) handleReady() {
	job := c.job
	if c.abandoned {
		c.pool.core.LateAnswer(c.host.id, c.answer.reply)
		c.close()
		return
	}
	if !c.established {
		c.established = true
		c.timer.Stop()
		c.host.dialing = remove(c.host.dialing, c)
	} else {
		c.job = nil
		c.nc.Widen(0)
		c.resolve(job)
	}
	switch {
	case c.outdated() || len(c.nc.Input()) > 0: // more than the answer came with it
		c.close()
		c.pool.dialIfNeeded(c.host)
	case job != nil:
		c.pool.quarantine(c)
	default:
		c.pool.release(c)
	}
}

// resolve ends a job with what was answered.
func (c *conn) resolve(job *job) {
	a := &c.answer
	if job.attempt == nil && a.probeColumn != nil && c.pool.options.ProbeReport {
		a.parseReport(a.probeColumn)
	}
	a.reply.Value = a.value
	c.pool.finish(job, c.pool.outcome(a, c.host.id), a.reply)
}

// outcome is the protocol's table.
func (p *Pool) outcome(a *answer, host policy.HostID) policy.Outcome {
	switch a.errorCode {
	case "":
		return policy.OK
	case pgwire.CodeReadOnly, pgwire.CodeTooFarBehind:
		return policy.Miss
	case pgwire.CodeTooManyConnections, pgwire.CodeCannotConnectNow:
		return policy.AtCapacity
	case pgwire.CodeProtocolViolation:
		p.invalidAnswerLog.Printf(p.loop.Now(), "event=bad_statement host=%s text=%q", host, a.errorText)
	}
	return policy.Error
}

// complete tells whether the answer is complete though ReadyForQuery did not come.
func (a *answer) complete() bool { return a.errorCode != "" || string(a.kinds) == answerKinds }

// Ended settles what the connection carried.
func (c *conn) Ended(error) {
	switch job := c.job; {
	case c.abandoned:
		if c.close(); c.answer.complete() {
			c.pool.core.LateAnswer(c.host.id, c.answer.reply)
		}
	case !c.established:
		outcome := policy.ConnectFailed
		if a := &c.answer; a.errorCode == pgwire.CodeTooManyConnections {
			outcome = policy.AtCapacity
		}
		c.close()
		c.pool.dialFailed(c.host, outcome)
	case job != nil:
		c.job = nil
		c.close()
		switch {
		case c.answer.complete():
			c.resolve(job)
		case c.hasUnsent():
			c.pool.finish(job, policy.ConnectFailed, gateway.Reply{})
		default:
			c.pool.finish(job, policy.Reset, gateway.Reply{})
		}
	default:
		c.close()
		c.host.idle, c.host.quarantined = remove(c.host.idle, c), remove(c.host.quarantined, c)
		c.pool.dialIfNeeded(c.host)
	}
}

// outdated tells that the host is gone, or is to be found elsewhere.
func (c *conn) outdated() bool { return c.host.gone || c.addr != c.host.addr }

func remove(list []*conn, c *conn) []*conn {
	for i, other := range list {
		if other == c {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
