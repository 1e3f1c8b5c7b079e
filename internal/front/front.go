// Package front serves the clients: it greets them, frames their queries, hands each
// one to the core and writes the answers in order. A client that closes its connection
// has gone away.
package front

import (
	"container/list"
	crand "crypto/rand"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"lilaccove/internal/gateway"
	"lilaccove/internal/invariant"
	"lilaccove/internal/netloop"
	"lilaccove/internal/pgwire"
	"lilaccove/internal/stats"
	"lilaccove/policy"
)

// Core takes requests.
type Core interface {
	Take(q *gateway.Request)
	Gone(q *gateway.Request)
	More(q *gateway.Request)
	Cancel(q *gateway.Request)
}

const (
	inputMost  = pgwire.MostMessage + 4096 // one statement, and the head of the next
	mostAhead  = 32                        // commands of one connection that are not answered yet
	mostUnread = 256 << 10                 // bytes of answers that it has not read, or that wait for their turns
	mostPart   = 64 << 10                  // bytes of a value that comes in parts that it has not read
	sweepTime  = 100 * time.Millisecond
	queueRetry = 20 * time.Millisecond
	longest    = 10 * time.Second       // that a packet may take from its first byte on, unless it is a large statement
	goesOn     = 1 << 10                // bytes of a large statement that must come for its time to begin anew
	pieceMost  = 64 << 10               // of a large statement read at once
	freshGrace = 500 * time.Millisecond // for a hello and the query that follows its answer
	idleGrace  = 250 * time.Millisecond // in steady use a connection is not idle for longer
	lastMoment = 50 * time.Millisecond  // for a client to read the last answer of a process that ends
	keepSmall  = 4 << 10                // a connection that holds no more is no use against a want of memory
)

// place is what a connection is at. In each place they queue, the one that came first in
// front, so that the end of a limit and the choice of whom to close are at hand.
type place int

const (
	busy    place = iota // the core has a request of it
	fresh                // it has not sent a whole query yet, or not even a hello
	partial              // a packet has begun
	unread               // it has not read its answer
	idle                 // between requests
	leaving              // finished: it may read its last answer
	places
)

// limits are how long a connection may stay in its place. Who connects and does not ask
// is owed an error or a close within 3 s, but may take 2 s for a head; the protocol lets idle ones be
// closed after 2 s. A packet that has begun has its time from the last bytes that came.
var limits = [places]time.Duration{
	fresh: 2600 * time.Millisecond, partial: 2500 * time.Millisecond, unread: 10 * time.Second, idle: 5 * time.Second,
	leaving: 2 * time.Second,
}

var errOpen = errors.New("a request with this id is open")

// Options are what the front is told once.
type Options struct {
	Classes []string    // their names, by number
	Most    int         // clients at once
	Reserve int         // descriptors left for databases and discovery
	Large   int         // bytes of statements over pgwire.MostMessage at once
	Free    func() bool // frees a descriptor that nobody needs just now, elsewhere; false: there is none

	Guard    *invariant.Guard // nil: nothing is checked
	Servable func() bool      // requests can be served; nil: they always can
}

// closed is why the front has ended a connection.
type closed int

const (
	closedIdle        closed = iota // it has been idle for too long
	closedSlow                      // it sent no whole command in time
	closedUnread                    // it did not read its answer
	closedDescriptors               // its descriptor was wanted
	closedMemory                    // its buffer was wanted
	closedBroken                    // a value broke off
	closedBad                       // it sent what is not spoken here
	closedDone                      // it has ended itself, or asked for no more than a cancel
	closedDrain                     // the gateway ends, or is drained
	closedReasons
)

var closedNames = [closedReasons]string{
	"idle", "slow", "unread", "descriptors", "memory", "broken", "bad", "done", "drain",
}

// overstayed is why a connection ends that has been at its place for too long.
var overstayed = [places]closed{idle: closedIdle, leaving: closedDone, unread: closedUnread, fresh: closedSlow, partial: closedSlow}

const closedLines = 3 // in the log in a second, of those that are not usual

// Front is all connections of clients.
type Front struct {
	loop    *netloop.Loop
	core    Core
	opt     Options
	classes map[string]int
	ids     map[string]struct{} // of open requests, as the clients named them
	ln      *netloop.Listener
	open    bool               // it accepts
	queues  [places]list.List  // of *conn
	streams map[*conn]struct{} // whose first open answer comes in parts
	large   int                // bytes of large statements, those to come included
	queued  []*conn            // their large statements have no room yet
	keys    map[uint64]*conn   // by which clients may cancel; one says nothing of another
	key     *rand.ChaCha8
	closing bool          // each connection goes as soon as it owes nothing
	until   time.Duration // while it does: when the last answer is due
	easing  time.Duration // each goes behind its next answer, and idle ones by then; 0: they stay
	held    bool          // so it is before the first yes
	drained bool          // the empty query is answered with a no
	crowded netloop.Sparse
	bad     netloop.Sparse
	numbers uint64 // of connections so far
	ended   *stats.Named
}

// Metrics adds the figures of connections that the gateway has ended, by reason.
func (f *Front) Metrics(b []byte) []byte { return f.ended.Append(b) }

// New makes a front that hands requests to core.
func New(loop *netloop.Loop, core Core, opt Options) *Front {
	f := &Front{
		loop: loop, core: core, opt: opt, classes: map[string]int{}, ids: map[string]struct{}{}, streams: map[*conn]struct{}{},
		keys: map[uint64]*conn{}, ended: stats.NewNamed("closed", closedNames[:]), bad: netloop.Sparse{Most: closedLines},
	}
	var secret [32]byte
	_, _ = crand.Read(secret[:]) // it never fails
	f.key = rand.NewChaCha8(secret)
	for i, name := range opt.Classes {
		f.classes[name] = i
	}
	f.sweep()
	return f
}

// Listen begins to accept clients; it returns the address in use.
func (f *Front) Listen(addr netip.AddrPort) (netip.AddrPort, error) {
	ln, err := f.loop.Listen(addr, f.accept)
	if err != nil {
		return netip.AddrPort{}, err
	}
	f.ln, f.open = ln, true
	return ln.Addr, nil
}

// Inherit takes over a listening socket; Open begins to accept from it.
func (f *Front) Inherit(fd int, addr netip.AddrPort) (at netip.AddrPort, err error) {
	if f.ln, err = f.loop.Inherit(fd, addr, f.accept); err != nil {
		return netip.AddrPort{}, err
	}
	return f.ln.Addr, nil
}

// Open begins to accept, if it has not yet.
func (f *Front) Open() error {
	if f.open {
		return nil
	}
	err := f.ln.Start()
	f.open = err == nil
	return err
}

// Opened tells whether clients are accepted.
func (f *Front) Opened() bool { return f.open && !f.closing }

// Drain stops accepting and lets each connection go as soon as it owes nothing. What has come by now is taken, and of a
// command that has begun the rest; nothing that begins later, or clients that go on sending would be owed answers without
// end. All answers are given by the moment until.
func (f *Front) Drain(until time.Duration) {
	f.until, f.closing = until, true
	f.closeQueue()
	for p := busy; p < leaving; p++ {
		for _, c := range f.all(p) {
			c.takeLast()
		}
	}
}

// closeQueue takes the connections that wait in the queue and stops listening, at the latest when no answer could be given
// any more. While they cannot be taken it is tried again.
func (f *Front) closeQueue() {
	if !f.ln.Drain() && f.loop.Now()+queueRetry < f.until {
		f.loop.At(f.loop.Now()+queueRetry, f.closeQueue)
		return
	}
	f.ln.Close()
}

// takeLast takes what a client has sent by now, though the front closes, and the rest of a command that has begun.
func (c *conn) takeLast() {
	c.taking = true
	c.nc.Poll() // a request may have come that no round has read yet
	c.serve()
	c.taking = false
	c.last = c.last || len(c.nc.Input()) == 0 && c.pieces == nil
	c.serve()
}

// Leave stops accepting, for others hold the queue, and lets each connection go behind its next answer. Who
// asks for nothing is let go one by one until the moment given: a close that crosses a request turns it
// back unheard, which hardly happens behind an answer.
func (f *Front) Leave(until time.Duration) {
	f.ln.Pause()
	f.ease(until)
}

// Return accepts clients again after Leave, because nobody else does. Each still goes behind its next answer.
func (f *Front) Return() error { return f.ln.Start() }

// Empty has the empty query answered with a no and lets all clients go as Leave does. New ones are served
// once each: whoever sends them here takes a moment to notice.
func (f *Front) Empty(until time.Duration) {
	f.drained = true
	f.ease(until)
}

// Hold has the empty query answered with a no as long as the gateway should not be given clients yet.
func (f *Front) Hold(on bool) { f.held = on }

// Fill takes Empty back.
func (f *Front) Fill() { f.drained, f.easing = false, 0 }

const easeStep = 50 * time.Millisecond

func (f *Front) ease(until time.Duration) {
	begun := f.easing != 0
	if f.easing = until; !begun {
		f.easeOut()
	}
}

// easeOut lets a part of the idle connections go, the longest idle first, so that none is left by the moment set.
func (f *Front) easeOut() {
	now := f.loop.Now()
	if f.easing == 0 || f.closing {
		return
	}
	f.loop.At(now+easeStep, f.easeOut)
	steps := max(1, int((f.easing-now)/easeStep))
	part := (f.queues[idle].Len() + steps - 1) / steps
	for _, c := range f.all(idle)[:part] {
		c.nc.Poll()
		if c.place == idle && c.at != nil {
			c.finish(closedDrain)
		}
	}
}

// all is who is at p, as a list of its own: what is done to them moves them.
func (f *Front) all(p place) (list []*conn) {
	for e := f.queues[p].Front(); e != nil; e = e.Next() {
		list = append(list, e.Value.(*conn))
	}
	return list
}

// Clients is how many connections are not on their way out.
func (f *Front) Clients() (n int) {
	for p := busy; p < leaving; p++ {
		n += f.queues[p].Len()
	}
	return n
}

// SetMost changes how many clients there may be at once.
func (f *Front) SetMost(most int) { f.opt.Most = most }

// Quiet tells that no client is owed bytes, or waits in the queue, once Drain was called.
func (f *Front) Quiet() bool {
	f.reread()
	return f.ln.Closed() && f.queues[busy].Len() == 0 && f.queues[unread].Len() == 0
}

// reread looks whether those that are slow to read their answers go on reading: progress counts, not the
// time that it takes.
func (f *Front) reread() {
	for _, c := range f.all(unread) {
		if c.nc.Pending() == 0 {
			c.serve()
		} else if c.reads() {
			f.queues[unread].MoveToBack(c.at)
			c.since = f.loop.Now()
		}
	}
	for c := range f.streams {
		if !c.reads() && f.loop.Now()-c.readAt >= limits[unread] {
			f.bad.Printf(f.loop.Now(), "event=client_closed client=%d reason=unread pending=%d", c.number, c.nc.Pending())
			c.cut(closedUnread)
		}
	}
}

// reads tells whether the client has read since the last look, or has nothing to read.
func (c *conn) reads() bool {
	n := c.nc.Pending()
	read := n == 0 || n != c.unread
	if c.unread = n; read {
		c.readAt = c.front.loop.Now()
	}
	return read
}

// sweep closes whoever has been at its place too long.
func (f *Front) sweep() {
	f.reread()
	now := f.loop.Now()
	f.loop.At(now+sweepTime, f.sweep)
	for p := fresh; p < places; p++ {
		for e := f.queues[p].Front(); e != nil && e.Value.(*conn).since+limits[p] <= now; e = f.queues[p].Front() {
			c := e.Value.(*conn)
			if slices.Contains(f.queued, c) {
				c.fatal(pgwire.CodeTooManyConnections, "too many large statements at once; nothing has run")
				c.serve()
				continue
			}
			if p != idle && p != leaving {
				f.bad.Printf(now, "event=client_closed client=%d reason=slow started=%t pending=%d", c.number, c.started, c.nc.Pending())
			}
			c.close(overstayed[p])
		}
	}
}

func (f *Front) accept(nc *netloop.Conn) {
	f.numbers++
	c := &conn{front: f, nc: nc, number: f.numbers}
	nc.Handle(c, inputMost)
	nc.OnFlush(c.flushed)
	// Clients may hold a limited number of connections, too: idle ones that are kept until
	// there is no room at all leave them none to ask on. So they go from half of it on.
	room := f.roomy(f.opt.Most)
	for range 2 { // one for the new connection, one to get back to the reserve
		room = f.roomy(f.opt.Most/2) || f.makeRoom() || room
	}
	if !room {
		f.crowded.Printf(f.loop.Now(), "event=client_refused reason=descriptors spare=%d busy=%d", f.loop.Spare(), f.queues[busy].Len())
		nc.Write(pgwire.AppendError(nil, "FATAL", pgwire.CodeTooManyConnections, "too many clients", ""))
		c.finish(closedDescriptors)
		return
	}
	c.file()
	if f.closing {
		c.takeLast()
	}
}

// roomy tells whether one more client may come where so many are the most. What databases
// hold does not count against the clients' own share.
func (f *Front) roomy(most int) bool {
	return f.Clients() < most && f.loop.Spare() >= f.opt.Reserve
}

// makeRoom frees a descriptor: of one that was told its end already, else of the one that
// has said nothing for longest, else of the one idle for longest. Silent connections,
// however many, must not keep out those that ask, nor may a crowd that arrives at once
// each other's connections between hello and query while idle ones are kept, or while there is room.
func (f *Front) makeRoom() bool {
	return f.closeOldest(leaving, 0) || f.closeOldest(fresh, freshGrace) || f.closeOldest(idle, idleGrace) ||
		!f.roomy(f.opt.Most) && (f.Clients() < f.opt.Most && f.opt.Free() || f.closeOldest(idle, 0) || f.closeOldest(fresh, 0))
}

// closeOldest closes the one that came to p first, if that is so long ago, and tells
// whether it freed a descriptor.
func (f *Front) closeOldest(p place, age time.Duration) bool {
	for e := f.queues[p].Front(); e != nil; e = f.queues[p].Front() {
		c := e.Value.(*conn)
		if f.loop.Now()-c.since < age {
			return false
		}
		open := c.nc.Open()
		c.nc.Poll() // what it has sent by now counts
		if c.place == p && c.at == e {
			c.close(closedDescriptors)
			if open {
				return true
			}
		}
	}
	return false
}

// relieve frees buffers while they are short, other than those of c, which is at work:
// first of those that have not sent a whole packet for longest. A usual request is small.
func (f *Front) relieve(c *conn) {
	for p := fresh; p < idle && f.loop.Pressed(); p++ {
		for _, x := range f.all(p) {
			if x != c && x.nc.Held() > keepSmall && f.loop.Pressed() {
				f.bad.Printf(f.loop.Now(), "event=client_closed client=%d reason=memory held=%d", x.number, x.nc.Held())
				x.finish(closedMemory) // a plain close over unread bytes would take an answer along that was just written
			}
		}
	}
}

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
		c.front.core.More(c.calls[0].q)
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
			c.front.core.Gone(a.q)
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
			c.front.opt.Guard.Starting(c.front.opt.Servable == nil || c.front.opt.Servable())
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

// bad answers a statement that cannot be taken.
func (c *conn) refuse(err error) {
	c.front.bad.Printf(c.front.loop.Now(), "event=bad_query client=%d err=%q", c.number, err)
	c.say(pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", pgwire.CodeProtocolViolation, err.Error(), "")))
}

// take hands a statement to the core. Its buffers are given back when nobody needs them.
func (c *conn) take(class int, st *pgwire.Statement, buffers [][]byte, large int) {
	head := &st.Head
	q := &gateway.Request{
		Class: class, Group: policy.GroupID(head.Cluster), Session: session(head.Key),
		After:    time.Duration(head.After) * time.Millisecond,
		Deadline: c.front.loop.Now() + time.Duration(head.Millis)*time.Millisecond,
	}
	if c.front.closing {
		q.Deadline = min(q.Deadline, c.front.until)
	}
	id := string(head.ID)
	c.front.ids[id] = struct{}{}
	q.Name, q.Origin = id, c.number
	a := &call{conn: c, q: q, id: id, buffers: buffers, large: large}
	q.Client, q.Statement = a, st
	c.calls = append(c.calls, a)
	c.front.core.Take(q)
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
	c.front.opt.Guard.Closing(c.number, request, owed)
}

func (c *conn) close(why closed) {
	c.ending(why)
	c.forget()
	c.unfile()
	c.dropPieces()
	c.nc.Close()
}

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
	c.front.opt.Guard.Answering(a.id, c.number, a.done)
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

// Begin tells that a large value comes in parts.
func (a *call) Begin() {
	a.parts = true
	if c := a.conn; !c.nc.Closed() && c.calls[0] == a {
		c.front.streams[c] = struct{}{}
		c.readAt = c.front.loop.Now()
	}
}

// Part passes one on when the turn has come, else keeps it and wants no more until then.
func (a *call) Part(b []byte) (more bool) {
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

// Complete ends a value that came in parts.
func (a *call) Complete() { a.answer(nil) }

// Broken tells that no more of it comes. The client can tell by the end of the connection.
func (a *call) Broken() {
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
		c.calls[0].Begin()
		if c.nc.Pending() < mostPart { // else when it is flushed
			c.front.core.More(c.calls[0].q)
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
