// One client's connection.

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

// conn is one client's connection. What is sent ahead goes to the core as it comes, for
// its time runs; the answers wait for their turns, in the order of the commands.
type conn struct {
	front   *Front
	nc      *netloop.Conn
	number  uint64        // for logs
	bad     bool          // it sent what is not spoken here
	started bool          // it has said hello
	key     uint64        // told then
	asked   bool          // it has sent a whole query
	calls   []*call       // not answered to the client yet
	kept    int           // bytes of answers that wait for their turns
	taking  bool          // what has come is taken though the front closes
	last    bool          // nothing more is taken: the connection ends when all is answered
	pieces  *pieces       // of a large statement that has not come whole
	begun   time.Duration // when it came to its place, whatever since says
	unread  int           // bytes when reads last looked
	readAt  time.Duration
	inside  bool // serve is running: answers that come within it do not call it
	place   place
	at      *list.Element
	since   time.Duration
}

// file puts the connection where it belongs; who stays keeps the time of its coming.
func (c *conn) file() {
	p := idle
	switch {
	case c.nc.Closed():
		p = leaving
	case len(c.calls) > 0:
		p = busy
	case c.nc.Pending() > 0:
		p = unread
	case c.pieces != nil:
		p = partial
	case !c.asked:
		p = fresh
	case len(c.nc.Input()) > 0:
		p = partial
	}
	now := c.front.loop.Now()
	switch {
	case c.at == nil || p != c.place:
		c.unfile()
		c.place, c.since, c.begun = p, now, now
		c.at = c.front.queues[p].PushBack(c)
	case p == partial && c.goesOn(now), p == fresh && c.started && len(c.nc.Input()) > 0 && c.goesOn(now):
		c.since = now
		c.front.queues[p].MoveToBack(c.at)
	}
}

// goesOn tells whether more has come of a packet that is not whole, so that it may take longer.
func (c *conn) goesOn(now time.Duration) bool {
	if c.pieces == nil {
		return now-c.begun < longest-limits[partial]
	}
	got := c.pieces.got + len(c.nc.Input())
	more := got >= c.pieces.seen+goesOn
	if more {
		c.pieces.seen = got
	}
	return more
}

func (c *conn) unfile() {
	if c.at != nil {
		c.front.queues[c.place].Remove(c.at)
		c.at = nil
	}
}

// Connected is for dialled connections.
func (c *conn) Connected() {}

// Received goes on with what the client sent.
func (c *conn) Received() { c.serve() }

// flushed goes on when the client has read all that was kept for it.
func (c *conn) flushed() {
	if len(c.calls) > 0 && c.calls[0].parts {
		c.front.core.ResumeStream(c.calls[0].q)
	} else {
		c.serve()
	}
}

// cut ends a connection on which an answer has begun that will not become whole, or is not read.
func (c *conn) cut(why closed) {
	c.front.ended.Add(int(why))
	c.nc.Close()
	c.Ended(nil)
}

// Ended tells that the client is gone.
func (c *conn) Ended(error) {
	c.forget()
	c.unfile()
	c.dropPieces()
	delete(c.front.streams, c)
	calls := c.calls
	c.calls = nil
	for _, a := range calls {
		if !a.done {
			a.over()
			c.front.core.ClientGone(a.q)
		}
	}
}

// takes tells whether the next command may be taken. What is sent ahead without end, or
// without reading the answers, stays with the client.
func (c *conn) takes() bool {
	return !c.nc.Closed() && !c.last && len(c.calls) < mostAhead && c.nc.Pending()+c.kept < mostUnread
}

func (c *conn) serve() {
	if c.inside {
		return
	}
	c.inside = true
	for c.takes() && c.next() {
	}
	c.inside = false
	if c.nc.Closed() {
		return
	}
	if c.last {
		c.nc.Consume(len(c.nc.Input()))
	}
	goes := c.front.easing != 0 && c.asked
	if len(c.calls) == 0 && (c.last || goes && len(c.nc.Input()) == 0 && c.nc.Pending() == 0) {
		c.finish(c.why())
		return
	}
	c.file()
	c.front.relieve(c)
}

// say answers a command that needs no request; its turn comes behind the open ones.
func (c *conn) say(message []byte) {
	if len(c.calls) == 0 {
		c.nc.Write(message)
		return
	}
	c.calls = append(c.calls, &call{conn: c, done: true, kept: message})
	c.kept += len(message)
}

// next handles one packet; false: there is none that is whole.
func (c *conn) next() bool {
	in := c.nc.Input()
	if !c.started {
		return c.hello(in)
	}
	if c.pieces != nil || pgwire.LargeQuery(in) > 0 {
		return c.collect()
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
		if c.last = true; len(c.calls) == 0 {
			c.close(closedDone)
		}
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
		if key, ok := pgwire.CancelKey(in[:n]); ok {
			c.front.cancel(key)
		}
		c.close(closedDone)
	case kind == pgwire.HelloStart:
		c.nc.Consume(n)
		c.started, c.key = true, c.front.key.Uint64()
		c.front.keys[c.key] = c
		c.nc.Write(pgwire.AppendWelcome(nil, c.key))
		return true
	}
	return false
}

// cancel ends the request that the connection with this key waits for, not those sent ahead behind it. A wrong key, or
// one that comes late, does nothing, and nobody is told which it was.
func (f *Front) cancel(key uint64) {
	if c := f.keys[key]; c != nil && len(c.calls) > 0 && c.calls[0].q != nil && !c.calls[0].done {
		f.core.Cancel(c.calls[0].q)
	}
}

// forget has the connection's key open nothing any more.
func (c *conn) forget() {
	if c.started {
		delete(c.front.keys, c.key)
	}
}

// query hands a statement to the core.
func (c *conn) query(body []byte, n int) bool {
	c.asked, c.last = true, c.front.closing && !c.taking
	c.unfile() // its time in any place begins anew
	text, err := pgwire.Text(body)
	if err == nil && pgwire.Blank(text) {
		c.nc.Consume(n)
		if c.front.held {
			c.say(pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", pgwire.CodeCannotConnectNow, "the gateway is starting", "")))
		} else if c.front.drained {
			c.say(pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", pgwire.CodeCannotConnectNow, "the gateway is drained", "")))
		} else {
			c.front.opt.Guard.CheckReady(c.front.opt.Servable == nil || c.front.opt.Servable())
			c.say(pgwire.AppendReady(pgwire.AppendEmpty(nil)))
		}
		return true
	}
	var head pgwire.Head
	var class int
	if err == nil {
		head, class, err = c.head(text)
	}
	if err != nil {
		c.nc.Consume(n)
		c.refuse(err)
		return true
	}
	// The buffer goes with the request: the statement is written out from where it was
	// read, and the head's places count from the start of its text.
	buffer := c.nc.Take(n)
	c.take(class, &pgwire.Statement{Text: buffer[n-len(body) : n-1], Head: head}, [][]byte{buffer}, 0)
	return true
}

// head reads the comment that heads a statement, and finds its class.
func (c *conn) head(text []byte) (head pgwire.Head, class int, err error) {
	if head, err = pgwire.ParseHead(text); err != nil {
		return head, 0, err
	}
	class, known := c.front.classes[string(head.Class)]
	if !known {
		return head, 0, fmt.Errorf("unknown class %q", head.Class)
	}
	if _, open := c.front.ids[string(head.ID)]; open {
		err = errOpen // databases would take one of the two for the other
	}
	return head, class, err
}

// refuse answers a statement that cannot be taken.
func (c *conn) refuse(err error) {
	c.front.bad.Printf(c.front.loop.Now(), "event=bad_query client=%d err=%q", c.number, err)
	c.say(pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", pgwire.CodeProtocolViolation, err.Error(), "")))
}

// take hands a statement to the core. Its buffers are given back when nobody needs them.
func (c *conn) take(class int, st *pgwire.Statement, buffers [][]byte, large int) {
	head := &st.Head
	q := &gateway.Request{
		Class: class, Group: policy.GroupID(head.Cluster), Session: session(head.Key),
		MinPosition: time.Duration(head.After) * time.Millisecond,
		Deadline:    c.front.arrived() + time.Duration(head.Millis)*time.Millisecond,
	}
	if c.front.closing {
		q.Deadline = min(q.Deadline, c.front.until)
	}
	id := string(head.ID)
	c.front.ids[id] = struct{}{}
	q.Name, q.ConnectionID = id, c.number
	a := &call{conn: c, q: q, id: id, buffers: buffers, large: large}
	q.Client, q.Statement = a, st
	c.calls = append(c.calls, a)
	c.front.core.Submit(q)
}

// arrived is when what is read now may have come at the earliest: it waited if this process stood still. A hold-up within the
// terms' slack is not counted, nor that much of a longer one.
func (f *Front) arrived() time.Duration {
	return f.loop.Now() - max(0, f.loop.Age()-heldUp)
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

// fatal answers with an error, the last on this connection.
func (c *conn) fatal(code, why string) {
	c.bad = true
	c.front.bad.Printf(c.front.loop.Now(), "event=client_closed client=%d code=%s reason=%q", c.number, code, why)
	c.say(pgwire.AppendError(nil, "FATAL", code, why, ""))
	c.last = true
}

func (c *conn) finish(why closed) {
	c.ending(why)
	c.forget()
	c.dropPieces()
	limit := limits[leaving]
	if c.nc.Pending() > 0 {
		limit = limits[unread]
	}
	until := c.front.loop.Now() + limit
	if c.front.closing { // the process is killed soon after: an orderly end goes before a peer that keeps its side open
		until = min(until, max(c.front.until, c.front.loop.Now()+lastMoment))
	}
	c.nc.Finish(until)
	c.file()
}

// why is the reason for an orderly end.
func (c *conn) why() closed {
	switch {
	case c.bad:
		return closedBad
	case c.front.closing || c.front.easing != 0:
		return closedDrain
	}
	return closedDone
}

// ending notes that the gateway ends the connection, and checks that it owes no answer. One that has left is noted no more.
func (c *conn) ending(why closed) {
	if c.place == leaving && c.at != nil {
		return
	}
	c.front.ended.Add(int(why))
	owed, request := 0, ""
	for _, a := range c.calls {
		if !a.done {
			owed, request = owed+1, a.id
		}
	}
	c.front.opt.Guard.CheckClose(c.number, request, owed)
}

func (c *conn) close(why closed) {
	c.ending(why)
	c.forget()
	c.unfile()
	c.dropPieces()
	c.nc.Close()
}
