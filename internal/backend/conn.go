package backend

import (
	"bytes"
	"log"
	"strconv"
	"time"

	"lilaccove/internal/gateway"
	"lilaccove/internal/netloop"
	"lilaccove/internal/pgwire"
	"lilaccove/policy"
)

// conn is one connection to a database. It carries one job at a time.
type conn struct {
	pool   *Pool
	host   *host
	nc     *netloop.Conn
	timer  *netloop.Timer // by which it must be up
	up     bool           // the database has greeted it
	idleAt time.Duration
	job    *job
	answer answer
}

// answer is what has come for the current job, or for the greeting.
type answer struct {
	value   []byte // RowDescription, DataRow and CommandComplete as they came
	shape   []byte // the kinds of those messages
	column  []byte // of a probe's row
	code    string // of an ErrorResponse
	text    string
	reply   gateway.Reply
	digits  [20]byte
	kinds   [8]byte
	reports bool
}

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
	c.nc.Write(c.pool.startup)
}

func (c *conn) lateUp() {
	c.drop()
	c.pool.dialFailed(c.host, policy.ConnectFailed)
}

// drop closes the connection and takes it out of the books.
func (c *conn) drop() {
	c.timer.Stop()
	if !c.up {
		c.host.dialing--
	}
	c.nc.Close()
}

// start writes a job. Of a statement only the digits of d are new; the rest goes out
// from where it was read.
func (c *conn) start(j *job) {
	c.job, j.conn = j, c
	c.answer.reset()
	j.timer.Stop()
	j.timer = c.pool.loop.At(j.until, func() { c.pool.abandon(j, policy.Timeout) })
	if j.attempt == nil {
		text := "SELECT 1"
		if c.pool.opt.ProbeReport {
			text = "SHOW load"
		}
		c.nc.Write(pgwire.AppendQuery(nil, text))
		return
	}
	st := j.attempt.Statement.(*pgwire.Statement)
	left := (j.until - c.pool.loop.Now() + time.Millisecond - 1) / time.Millisecond
	digits := pgwire.AppendMillis(c.answer.digits[:0], int64(max(1, left)))
	before, behind := st.Head.Around(st.Text)
	head := pgwire.QueryHead(len(before) + len(digits) + len(behind) + 1)
	c.nc.Write(head[:], before, digits, behind, zero)
}

var zero = []byte{0}

// Received takes in the database's messages.
func (c *conn) Received() {
	for {
		kind, body, n, err := pgwire.Next(c.nc.Input(), pgwire.MostMessage)
		if err != nil {
			log.Printf("event=bad_answer host=%s err=%q", c.host.id, err)
			c.Ended(err)
			return
		}
		if n == 0 {
			return
		}
		if kind == pgwire.Ready {
			c.nc.Consume(n)
			c.ready()
		} else {
			c.message(kind, body, c.nc.Input()[:n])
			c.nc.Consume(n)
		}
		if c.nc.Closed() {
			return
		}
	}
}

func (c *conn) message(kind byte, body, whole []byte) {
	a := &c.answer
	switch kind {
	case pgwire.ParameterStatus:
		if name, value, err := pgwire.Pair(body); err == nil {
			a.parameter(name, value)
		}
	case pgwire.RowDescription, pgwire.DataRow, pgwire.CommandComplete:
		if len(a.shape) == cap(a.shape) {
			c.pool.broken(c, "too many messages")
			return
		}
		a.shape = append(a.shape, kind)
		if c.job != nil && c.job.attempt != nil {
			a.value = append(a.value, whole...)
		} else if kind == pgwire.DataRow {
			col, _ := pgwire.Column(body)
			a.column = bytes.Clone(col)
		}
	case pgwire.ErrorMsg:
		a.code, a.text = string(pgwire.ErrorCode(body)), string(pgwire.ErrorText(body))
		if a.code == "" {
			a.code = "unnamed"
		}
	case pgwire.AuthRequest:
		if len(body) < 4 || !bytes.Equal(body[:4], []byte{0, 0, 0, 0}) {
			c.pool.broken(c, "it asks for a password")
		}
	case pgwire.BackendKey, pgwire.Notice:
	default:
		c.pool.broken(c, "unexpected message "+strconv.QuoteRune(rune(kind)))
	}
}

// broken ends a connection on which the database leaves the protocol.
func (p *Pool) broken(c *conn, why string) {
	log.Printf("event=bad_answer host=%s err=%q", c.host.id, why)
	c.Ended(netloop.ErrPeerClosed)
}

// parameter keeps what an answer tells of the database.
func (a *answer) parameter(name, value []byte) {
	switch string(name) {
	case "role":
		a.reply.Role = roleOf(string(value))
	case "applied_ms":
		if ms, err := strconv.ParseInt(string(value), 10, 64); err == nil && ms > 0 {
			a.reply.Position, a.reply.HasPosition = time.Duration(ms)*time.Millisecond, true
		}
	case "load":
		a.report(value)
	}
}

func roleOf(s string) policy.Role {
	switch s {
	case "primary":
		return policy.Primary
	case "replica":
		return policy.Replica
	}
	return policy.RoleUnknown
}

// report reads name=value pairs; names nobody here reads are skipped.
func (a *answer) report(text []byte) {
	for pair := range bytes.SplitSeq(text, []byte{','}) {
		name, value, _ := bytes.Cut(pair, []byte{'='})
		x, err := strconv.ParseFloat(string(value), 64)
		if err != nil {
			continue
		}
		switch string(name) {
		case "x0":
			a.reply.Report.Position = time.Duration(x * float64(time.Second))
			a.reply.Report.HasPosition = true
		case "x1":
			a.reply.Report.Role = policy.Replica
			if x == 1 {
				a.reply.Report.Role = policy.Primary
			}
		}
	}
}

// ready handles ReadyForQuery: the end of the greeting or of an answer.
func (c *conn) ready() {
	if !c.up {
		c.up = true
		c.timer.Stop()
		c.host.dialing--
		c.pool.free(c)
		return
	}
	if j := c.job; j != nil {
		c.job = nil
		c.settle(j)
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
	c.pool.finish(j, a.outcome(c.host.id), a.reply)
}

// outcome is the protocol's table.
func (a *answer) outcome(id policy.HostID) policy.Outcome {
	switch a.code {
	case "":
		if string(a.shape) == "TDC" {
			return policy.OK
		}
		log.Printf("event=bad_answer host=%s shape=%q", id, a.shape)
	case pgwire.CodeReadOnly, pgwire.CodeTooFarBehind:
		return policy.Miss
	case pgwire.CodeTooManyConnections, pgwire.CodeCannotConnectNow:
		return policy.Full
	case pgwire.CodeProtocolViolation:
		log.Printf("event=bad_statement host=%s text=%q", id, a.text)
	}
	return policy.Error
}

// whole tells whether the answer is complete though ReadyForQuery did not come.
func (a *answer) whole() bool { return a.code != "" || string(a.shape) == "TDC" }

// Ended settles what the connection carried.
func (c *conn) Ended(error) {
	switch j := c.job; {
	case !c.up:
		o := policy.ConnectFailed
		if a := &c.answer; a.code == pgwire.CodeTooManyConnections {
			o = policy.Full
		}
		c.drop()
		c.pool.dialFailed(c.host, o)
	case j != nil:
		c.job = nil
		c.drop()
		switch {
		case c.answer.whole():
			c.settle(j)
		case c.nc.Pending() > 0:
			c.pool.finish(j, policy.ConnectFailed, gateway.Reply{})
		default:
			c.pool.finish(j, policy.Reset, gateway.Reply{})
		}
	default:
		c.drop()
		c.host.idle = without(c.host.idle, c)
	}
}

func without(list []*conn, c *conn) []*conn {
	for i, x := range list {
		if x == c {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
