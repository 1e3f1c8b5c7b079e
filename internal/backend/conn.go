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
	pool    *Pool
	host    *host
	addr    netip.AddrPort // where it was dialled: the host may have moved since
	nc      *netloop.Conn
	timer   *netloop.Timer // by which it must be up, or has rested
	up      bool           // the database has greeted it
	idleAt  time.Duration
	left    int           // bytes to come of a row that is passed on
	heard   time.Duration // when the last of them came
	held    bool          // the client has to read first
	dropped bool
	body    [][]byte // of a large statement, what is still to be written
	job     *job
	late    bool // its attempt was given up; what is still read is the answer to that
	answer  answer
}

// answer is what has come for the current job, or for the greeting.
type answer struct {
	value  []byte // RowDescription, DataRow and CommandComplete as they came
	shape  []byte // the kinds of those messages
	column []byte // of a probe's row
	code   string // of an ErrorResponse
	text   string
	passed bool // its value is handed on as it comes, and is not kept
	reply  gateway.Reply
	digits [20]byte
	kinds  [len(answered)]byte
}

var errOrder = errors.New("a message out of turn")

const keepValue = 8 << 10 // an idle connection keeps no larger buffer

func (a *answer) reset() {
	value := a.value[:0]
	if cap(value) > keepValue {
		value = nil
	}
	*a = answer{value: value}
	a.shape = a.kinds[:0]
}

// Connected greets the database.
func (c *conn) Connected() {
	c.answer.reset()
	c.nc.OnFlush(c.written)
	c.nc.Write(c.pool.startup)
}

func (c *conn) lateUp() {
	c.drop()
	c.pool.dialFailed(c.host, policy.ConnectFailed)
}

// drop closes the connection and takes it out of the books.
func (c *conn) drop() {
	c.timer.Stop()
	c.host.dialing = without(c.host.dialing, c)
	if c.nc.Close(); !c.dropped {
		c.dropped = true
		c.host.open--
		if p := c.pool; p.opt.Budget != nil { // another may be opened now, when this call is over
			p.loop.At(p.loop.Now(), func() { p.fill(c.host) })
		}
	}
}

// crossing is how long what comes behind an attempt that was given up, or behind a whole answer, is read: so long after it was
// written an answer counts as told, by the protocol.
const crossing = 100 * time.Millisecond

// hearOut ends the sending, which tells the database that an attempt was given up, and reads what is on its way. That
// answer counts as told, and it may be the only one to tell that the host is no primary any more.
func (c *conn) hearOut(j *job) {
	if j.attempt == nil || c.answer.passed || c.pool.loop.Spare() <= c.pool.opt.Reserve {
		c.drop()
		return
	}
	c.late = true
	c.nc.CloseWrite()
	c.timer = c.pool.loop.At(c.pool.loop.Now()+crossing, c.drop)
}

// start writes a job, unless an attempt's time to begin turns out to be over; then the connection serves another.
func (c *conn) start(j *job) {
	left := time.Duration(0)
	if j.attempt != nil {
		if left = c.pool.core.BeginAttempt(j.attempt, j.until); left == 0 {
			c.pool.finish(j, policy.NotSent, gateway.Reply{})
			c.pool.free(c)
			return
		}
	}
	c.job, j.conn = j, c
	c.answer.reset()
	j.timer.Stop()
	j.timer = c.pool.loop.At(j.until, func() { c.pool.abandon(j, policy.Timeout) })
	if j.attempt == nil {
		c.probe()
		return
	}
	c.statement(j.attempt.Statement.(*pgwire.Statement), left)
}

// probe asks for what the settings say that probes tell.
func (c *conn) probe() {
	text := "SELECT 1"
	if c.pool.opt.ProbeReport {
		text = "SHOW load"
	}
	c.nc.Write(pgwire.AppendQuery(nil, text))
}

// statement writes one. Only the digits of d are new; the rest goes out from where it was read.
func (c *conn) statement(st *pgwire.Statement, left time.Duration) {
	digits := pgwire.AppendMillis(c.answer.digits[:0], left.Milliseconds())
	before, behind := st.Head.Around(st.Text)
	head := pgwire.QueryHead(st.Length() - len(st.Text) + len(before) + len(digits) + len(behind) + 1)
	if len(st.More) == 0 {
		c.nc.Write(head[:], before, digits, behind, zero)
	} else {
		c.nc.Write(head[:], before, digits, behind)
		c.body = append(slices.Clone(st.More), zero)
	}
	c.written()
}

// written goes on with a large statement as the kernel takes it, and tells of one whose last byte it has.
func (c *conn) written() {
	for len(c.body) > 0 && c.nc.Pending() == 0 {
		c.nc.Write(c.body[0])
		c.body = c.body[1:]
	}
	if c.job != nil && c.job.attempt != nil && !c.owes() {
		c.pool.core.Written(c.job.attempt)
	}
}

// owes tells whether a part of the statement is not with the kernel: it cannot run.
func (c *conn) owes() bool { return len(c.body) > 0 || c.nc.Pending() > 0 }

var zero = []byte{0}

// Received takes in the database's messages.
func (c *conn) Received() {
	c.messages()
	if !c.nc.Closed() && c.job != nil && c.answer.whole() && !c.answer.passed {
		c.awaitReady()
	}
}

// messages takes in those that are whole.
func (c *conn) messages() {
	for !c.nc.Closed() && !c.held && len(c.nc.Input()) > 0 {
		if c.left > 0 {
			c.pass()
			continue
		}
		kind, body, n, err := pgwire.NextAnswer(c.nc.Input())
		if err == nil && !c.fits(c.nc.Input()[0]) {
			err = errOrder
		}
		if err != nil {
			c.spoil(err)
			return
		}
		if n == 0 {
			if !c.begin() {
				return
			}
			continue
		}
		c.message(kind, body, c.nc.Input()[:n])
		c.nc.Consume(n)
		if kind == pgwire.Ready {
			c.ready()
		}
	}
}

// awaitReady gives ReadyForQuery, and what is told before it, a moment behind an answer that is whole. A database that hangs
// there has answered all the same; its connection serves no other.
func (c *conn) awaitReady() {
	j := c.job
	j.timer.Stop()
	j.timer = c.pool.loop.At(min(j.until, c.pool.loop.Now()+crossing), func() {
		c.job = nil
		c.drop()
		c.settle(j)
	})
}

// begin starts to pass on a row that is too large to be collected; false: there is none.
func (c *conn) begin() bool {
	n := pgwire.LargeRow(c.nc.Input())
	if n == 0 || c.job == nil || c.job.attempt == nil {
		return false
	}
	j := c.job
	if !c.pool.core.BeginStream(j.attempt) {
		c.pool.abandon(j, policy.Cancelled) // nobody waits for it any more
		return false
	}
	j.timer.Stop()
	c.left, c.heard = n, c.pool.loop.Now()
	c.answer.shape, c.answer.passed = append(c.answer.shape, pgwire.DataRow), true
	c.nc.Widen(streamRead)
	c.watch()
	c.hand(c.answer.value)
	return true
}

// watch gives a row up that does not go on, other than for the client's sake.
func (c *conn) watch() {
	j, now := c.job, c.pool.loop.Now()
	if c.held {
		c.heard = now
	}
	if now-c.heard >= quietTime {
		c.pool.abandon(j, policy.Timeout)
		return
	}
	j.timer = c.pool.loop.At(c.heard+quietTime, c.watch)
}

// pass hands on what has come of a row.
func (c *conn) pass() {
	b := c.nc.Input()
	b = b[:min(len(b), c.left)]
	c.left -= len(b)
	c.heard = c.pool.loop.Now()
	c.hand(b)
	c.nc.Consume(len(b))
}

// hand gives bytes to the client, and reads no more while it has enough of them.
func (c *conn) hand(b []byte) {
	if !c.pool.core.StreamChunk(c.job.attempt, b) {
		c.held = true
		c.nc.Pause()
	}
}

// resume goes on when the client has read.
func (c *conn) resume() {
	if c.held {
		c.held = false
		c.heard = c.pool.loop.Now()
		c.nc.Resume()
		c.Received()
	}
}

// fits tells whether a message of the kind may come now.
func (c *conn) fits(kind byte) bool {
	a := &c.answer
	switch {
	case c.up && c.job == nil && !c.late:
		return false // nothing was asked
	case kind == pgwire.ParameterStatus, kind == pgwire.Notice:
		return true
	case !c.up:
		return kind != pgwire.RowDescription && kind != pgwire.DataRow && kind != pgwire.CommandComplete
	case kind == pgwire.Ready:
		return a.whole()
	case a.whole():
		return false
	case kind == pgwire.ErrorMsg:
		return true
	}
	return kind == answered[len(a.shape)]
}

// answered is the shape of an answer with a value.
const answered = "TDC"

func (c *conn) message(kind byte, body, whole []byte) {
	a := &c.answer
	switch kind {
	case pgwire.ParameterStatus:
		if name, value, err := pgwire.Pair(body); err == nil {
			a.parameter(name, value)
		}
	case pgwire.RowDescription, pgwire.DataRow, pgwire.CommandComplete:
		a.shape = append(a.shape, kind)
		if a.passed {
			c.hand(whole)
		} else if c.late {
			// nobody waits for the value
		} else if c.job.attempt != nil {
			a.value = append(a.value, whole...)
		} else if kind == pgwire.DataRow {
			col, _ := pgwire.Column(body)
			a.column = bytes.Clone(col)
		}
	case pgwire.ErrorMsg:
		a.code, a.text = string(pgwire.ErrorCode(body)), string(pgwire.ErrorText(body))
	}
}

// spoil ends a connection on which something came that does not belong there: whatever
// follows cannot be told from an answer. What it carried may have run; nothing that was
// said of it is believed.
func (c *conn) spoil(err error) {
	c.pool.spoilt.Printf(c.pool.loop.Now(), "event=bad_answer host=%s busy=%t err=%q", c.host.id, c.job != nil, err)
	c.answer.reset()
	c.Ended(err)
}

// parameter keeps what an answer tells of the database.
func (a *answer) parameter(name, value []byte) {
	switch string(name) {
	case "role":
		a.reply.Role = roleOf(string(value))
	case "applied_ms":
		if ms, err := strconv.ParseInt(string(value), 10, 64); err == nil && ms > 0 && ms <= latest.Milliseconds() {
			a.reply.Position, a.reply.HasPosition = time.Duration(ms)*time.Millisecond, true
		}
	case "load":
		a.report(value)
	}
}

// latest is the last moment that can be reckoned with; whether a position is plausible is for the decisions.
const latest = time.Duration(math.MaxInt64 / 2)

func roleOf(s string) policy.Role {
	switch s {
	case "primary":
		return policy.Primary
	case "replica":
		return policy.Replica
	}
	return policy.RoleUnknown
}

// report reads name=value pairs; names nobody here reads are skipped. One that cannot be
// read is no report at all.
func (a *answer) report(text []byte) {
	var r policy.Report
	for pair := range bytes.SplitSeq(text, []byte{','}) {
		name, value, _ := bytes.Cut(pair, []byte{'='})
		x, err := strconv.ParseFloat(string(value), 64)
		if err != nil {
			return
		}
		switch string(name) {
		case "x0":
			if !(x >= 0 && x <= latest.Seconds()) {
				return
			}
			r.Position, r.HasPosition = time.Duration(x*float64(time.Second)), true
		case "x1":
			r.Role = policy.Replica
			if x == 1 {
				r.Role = policy.Primary
			}
		}
	}
	a.reply.Report = r
}

// ready handles ReadyForQuery: the end of the greeting or of an answer.
func (c *conn) ready() {
	j := c.job
	if c.late {
		c.pool.core.LateAnswer(c.host.id, c.answer.reply)
		c.drop()
		return
	}
	if !c.up {
		c.up = true
		c.timer.Stop()
		c.host.dialing = without(c.host.dialing, c)
	} else {
		c.job = nil
		c.nc.Widen(0)
		c.settle(j)
	}
	switch {
	case c.outdated() || len(c.nc.Input()) > 0: // more than the answer came with it
		c.drop()
		c.pool.fill(c.host)
	case j != nil:
		c.pool.rest(c)
	default:
		c.pool.free(c)
	}
}

// settle ends a job with what was answered.
func (c *conn) settle(j *job) {
	a := &c.answer
	if j.attempt == nil && a.column != nil && c.pool.opt.ProbeReport {
		a.report(a.column)
	}
	a.reply.Value = a.value
	c.pool.finish(j, c.pool.outcome(a, c.host.id), a.reply)
}

// outcome is the protocol's table.
func (p *Pool) outcome(a *answer, id policy.HostID) policy.Outcome {
	switch a.code {
	case "":
		return policy.OK
	case pgwire.CodeReadOnly, pgwire.CodeTooFarBehind:
		return policy.Miss
	case pgwire.CodeTooManyConnections, pgwire.CodeCannotConnectNow:
		return policy.AtCapacity
	case pgwire.CodeProtocolViolation:
		p.spoilt.Printf(p.loop.Now(), "event=bad_statement host=%s text=%q", id, a.text)
	}
	return policy.Error
}

// whole tells whether the answer is complete though ReadyForQuery did not come.
func (a *answer) whole() bool { return a.code != "" || string(a.shape) == answered }

// Ended settles what the connection carried.
func (c *conn) Ended(error) {
	switch j := c.job; {
	case c.late:
		if c.drop(); c.answer.whole() {
			c.pool.core.LateAnswer(c.host.id, c.answer.reply)
		}
	case !c.up:
		o := policy.ConnectFailed
		if a := &c.answer; a.code == pgwire.CodeTooManyConnections {
			o = policy.AtCapacity
		}
		c.drop()
		c.pool.dialFailed(c.host, o)
	case j != nil:
		c.job = nil
		c.drop()
		switch {
		case c.answer.whole():
			c.settle(j)
		case c.owes():
			c.pool.finish(j, policy.ConnectFailed, gateway.Reply{})
		default:
			c.pool.finish(j, policy.Reset, gateway.Reply{})
		}
	default:
		c.drop()
		c.host.idle, c.host.resting = without(c.host.idle, c), without(c.host.resting, c)
		c.pool.fill(c.host)
	}
}

// outdated tells that the host is gone, or is to be found elsewhere.
func (c *conn) outdated() bool { return c.host.gone || c.addr != c.host.addr }

func without(list []*conn, c *conn) []*conn {
	for i, x := range list {
		if x == c {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
