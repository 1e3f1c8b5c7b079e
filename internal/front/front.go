// Package front serves the clients: it greets them, frames their queries, hands each
// one to the core and writes the answers in order. A client that closes its connection
// has gone away.
package front

import (
	"fmt"
	"hash/fnv"
	"net/netip"
	"strconv"
	"time"

	"lilaccove/internal/gateway"
	"lilaccove/internal/netloop"
	"lilaccove/internal/pgwire"
	"lilaccove/policy"
)

// Core takes requests.
type Core interface {
	Take(q *gateway.Request)
	Gone(q *gateway.Request)
}

const (
	inputMost   = pgwire.MostMessage + 4096 // one statement, and the head of the next
	patience    = 10 * time.Second          // for a first packet, or the rest of a message
	lastWords   = time.Second               // a closed connection may take so long to read its answer
	refusedMost = 32                        // connections being turned away at once
)

// Options are what the front is told once.
type Options struct {
	Classes []string // their names, by number
	Reserve int      // descriptors left for databases and discovery
}

// Front is all connections of clients.
type Front struct {
	loop    *netloop.Loop
	core    Core
	opt     Options
	classes map[string]int
	ln      *netloop.Listener
	open    map[*conn]struct{}
	welcome []byte
	closing bool
	crowded netloop.Sparse
	bad     netloop.Sparse
}

// New makes a front that hands requests to core.
func New(loop *netloop.Loop, core Core, opt Options) *Front {
	f := &Front{
		loop: loop, core: core, opt: opt, classes: map[string]int{}, open: map[*conn]struct{}{},
		welcome: pgwire.AppendWelcome(nil),
	}
	for i, name := range opt.Classes {
		f.classes[name] = i
	}
	return f
}

// Listen begins to accept clients; it returns the address in use.
func (f *Front) Listen(addr netip.AddrPort) (netip.AddrPort, error) {
	ln, err := f.loop.Listen(addr, f.accept)
	if err != nil {
		return netip.AddrPort{}, err
	}
	f.ln = ln
	return ln.Addr, nil
}

// Drain stops accepting and lets each connection go as soon as it owes nothing.
func (f *Front) Drain() {
	f.ln.Close()
	f.closing = true
	for c := range f.open {
		c.nc.Poll() // a request may have come that no round has read yet
		c.leave()
	}
}

// Quiet tells that no client is owed bytes.
func (f *Front) Quiet() bool {
	for c := range f.open {
		if c.q != nil || c.nc.Pending() > 0 {
			return false
		}
	}
	return true
}

func (f *Front) accept(nc *netloop.Conn) {
	c := &conn{front: f, nc: nc}
	nc.Handle(c, inputMost)
	if f.loop.Spare() < f.opt.Reserve && !f.dropIdle() {
		f.turnAway(c)
		return
	}
	f.open[c] = struct{}{}
	c.expect()
}

// turnAway refuses a client for want of descriptors. It keeps a few of them while those
// clients read why; beyond that they are cut off.
func (f *Front) turnAway(c *conn) {
	f.crowded.Printf(f.loop.Now(), "event=client_refused reason=descriptors spare=%d open=%d", f.loop.Spare(), len(f.open))
	if f.loop.Spare() <= f.opt.Reserve-refusedMost {
		c.nc.Close()
		return
	}
	c.nc.Write(pgwire.AppendError(nil, "FATAL", pgwire.CodeTooManyConnections, "too many clients", ""))
	c.nc.Finish(f.loop.Now() + lastWords)
}

// dropIdle closes a client's connection between its requests, as the protocol allows.
func (f *Front) dropIdle() bool {
	for c := range f.open {
		if c.started && c.q == nil && len(c.nc.Input()) == 0 && c.nc.Pending() == 0 {
			c.close()
			return true
		}
	}
	return false
}

// conn is one client's connection. It has one request with the core at most; what is
// sent ahead waits in its input, as a server of this protocol does one query at a time.
type conn struct {
	front   *Front
	nc      *netloop.Conn
	started bool
	q       *gateway.Request
	timer   *netloop.Timer // the peer owes bytes until then
	inside  bool           // serve is running: answers that come within it do not call it
}

// Connected is for dialled connections.
func (c *conn) Connected() {}

// Received goes on with what the client sent.
func (c *conn) Received() { c.serve() }

// Ended tells that the client is gone.
func (c *conn) Ended(error) {
	delete(c.front.open, c)
	c.timer.Stop()
	if q := c.q; q != nil {
		c.q = nil
		c.front.core.Gone(q)
	}
}

func (c *conn) serve() {
	if c.inside {
		return
	}
	c.inside = true
	for c.q == nil && !c.nc.Closed() && c.next() {
	}
	c.inside = false
	if !c.nc.Closed() {
		if c.front.closing {
			c.leave()
		}
		c.expect()
	}
}

// expect sets the moment by which a packet that has begun must be whole, and an answer
// read: a slow peer does not keep its descriptor for ever.
func (c *conn) expect() {
	owes := !c.started || c.q == nil && len(c.nc.Input()) > 0 || c.nc.Pending() > 0
	if owes == (c.timer != nil) {
		return
	}
	c.timer.Stop()
	c.timer = nil
	if owes {
		c.timer = c.front.loop.At(c.front.loop.Now()+patience, func() {
			c.timer = nil
			if c.q == nil && (!c.started || len(c.nc.Input()) > 0 || c.nc.Pending() > 0) {
				c.front.bad.Printf(c.front.loop.Now(), "event=client_closed reason=slow started=%t pending=%d", c.started, c.nc.Pending())
				c.close()
			}
		})
	}
}

// next handles one packet; false: there is none that is whole.
func (c *conn) next() bool {
	in := c.nc.Input()
	if !c.started {
		return c.hello(in)
	}
	kind, body, n, err := pgwire.Next(in, pgwire.MostMessage)
	if err != nil {
		c.fatal(pgwire.CodeProtocolViolation, err.Error())
		return false
	}
	if n == 0 {
		return false
	}
	switch kind {
	case pgwire.Query:
		return c.query(body, n)
	case pgwire.Terminate:
		c.close()
	default:
		c.fatal(pgwire.CodeProtocolViolation, "only simple queries are spoken here, not message "+strconv.QuoteRune(rune(kind)))
	}
	return false
}

func (c *conn) hello(in []byte) bool {
	kind, n, err := pgwire.ParseHello(in)
	switch {
	case err != nil:
		c.fatal(pgwire.CodeProtocolViolation, err.Error())
	case kind == pgwire.HelloTLS, kind == pgwire.HelloGSS:
		c.fatal(pgwire.CodeUnsupported, "encryption is not spoken here")
	case kind == pgwire.HelloCancel:
		c.close() // a client gives up by closing its connection
	case kind == pgwire.HelloStart:
		c.nc.Consume(n)
		c.started = true
		c.nc.Write(c.front.welcome)
		return true
	}
	return false
}

// query hands a statement to the core.
func (c *conn) query(body []byte, n int) bool {
	text, err := pgwire.Text(body)
	if err == nil && pgwire.Blank(text) {
		c.nc.Consume(n)
		c.nc.Write(pgwire.AppendReady(pgwire.AppendEmpty(nil)))
		return true
	}
	var head pgwire.Head
	if err == nil {
		head, err = pgwire.ParseHead(text)
	}
	class, known := c.front.classes[string(head.Class)]
	if err == nil && !known {
		err = fmt.Errorf("unknown class %q", head.Class)
	}
	if err != nil {
		c.front.bad.Printf(c.front.loop.Now(), "event=bad_query err=%q", err)
		c.nc.Consume(n)
		c.nc.Write(pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", pgwire.CodeProtocolViolation, err.Error(), "")))
		return true
	}
	c.q = &gateway.Request{
		Class: class, Group: policy.GroupID(head.Cluster), Session: session(head.Key),
		After:    time.Duration(head.After) * time.Millisecond,
		Deadline: c.front.loop.Now() + time.Duration(head.Millis)*time.Millisecond,
	}
	// The buffer goes with the request: the statement is written out from where it was
	// read, and the head's places count from the start of its text.
	buffer := c.nc.Take(n)
	c.q.Client = &call{conn: c, buffer: buffer}
	c.q.Statement = &pgwire.Statement{Text: buffer[n-len(body) : n-1], Head: head}
	c.front.core.Take(c.q)
	return c.q == nil
}

// session is the number of the session that a key names.
func session(key []byte) policy.SessionID {
	if n, err := strconv.ParseUint(string(key), 16, 64); err == nil {
		return policy.SessionID(n)
	}
	h := fnv.New64a()
	_, _ = h.Write(key)
	return policy.SessionID(h.Sum64())
}

// fatal answers with an error and closes.
func (c *conn) fatal(code, why string) {
	c.front.bad.Printf(c.front.loop.Now(), "event=client_closed code=%s reason=%q", code, why)
	c.nc.Write(pgwire.AppendError(nil, "FATAL", code, why, ""))
	c.finish()
}

// leave ends a connection that owes nothing, when the gateway shuts down.
func (c *conn) leave() {
	if c.q == nil && !c.nc.Closed() && len(c.nc.Input()) == 0 {
		c.finish()
	}
}

func (c *conn) finish() {
	delete(c.front.open, c)
	c.timer.Stop()
	c.nc.Finish(c.front.loop.Now() + lastWords)
}

func (c *conn) close() {
	delete(c.front.open, c)
	c.timer.Stop()
	c.nc.Close()
}

// call is the front's side of one request.
type call struct {
	conn   *conn
	buffer []byte // the statement's
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

// Failed promises nothing.
func (a *call) Failed() {
	a.answer(pgwire.AppendError(nil, "ERROR", pgwire.CodeUnknownOutcome, "failed, the statement may have run", ""))
}

func (a *call) answer(message []byte) {
	c := a.conn
	if c.q == nil || c.nc.Closed() {
		return
	}
	c.q = nil
	c.nc.Write(message, ready)
	c.timer.Stop()
	c.timer = nil
	c.serve()
}

var ready = pgwire.AppendReady(nil)

// Released gives the statement's buffer back.
func (a *call) Released() {
	a.conn.front.loop.Free(a.buffer)
	a.buffer = nil
}
