// Package front serves the clients: it greets them, frames their queries, hands each
// one to the core and writes the answers in order. A client that closes its connection
// has gone away.
package front

import (
	"container/list"
	crand "crypto/rand"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"lilaccove/internal/gateway"
	"lilaccove/internal/invariant"
	"lilaccove/internal/netloop"
	"lilaccove/internal/pgwire"
	"lilaccove/internal/stats"
)

// Core takes requests.
type Core interface {
	Submit(q *gateway.Request)
	ClientGone(q *gateway.Request)
	ResumeStream(q *gateway.Request)
	Cancel(q *gateway.Request)
}

const (
	inputMost  = pgwire.MostMessage + 4096 // one statement, and the head of the next
	mostAhead  = 32                        // commands of one connection that are not answered yet
	mostUnread = 256 << 10                 // bytes of answers that it has not read, or that wait for their turns
	mostPart   = 64 << 10                  // bytes of a value that comes in parts that it has not read
	sweepTime  = 100 * time.Millisecond
	queueRetry = 20 * time.Millisecond
	heldUp     = 150*time.Millisecond - sweepTime // for which a gateway may be held up, less what its loop may not see of that
	longest    = 10 * time.Second                 // that a packet may take from its first byte on, unless it is a large statement
	goesOn     = 1 << 10                          // bytes of a large statement that must come for its time to begin anew
	pieceMost  = 64 << 10                         // of a large statement read at once
	freshGrace = 500 * time.Millisecond           // for a hello and the query that follows its answer
	idleGrace  = 250 * time.Millisecond           // in steady use a connection is not idle for longer
	lastMoment = 50 * time.Millisecond            // for a client to read the last answer of a process that ends
	keepSmall  = 4 << 10                          // a connection that holds no more is no use against a want of memory
)

var errOpen = errors.New("a request with this id is open")

// Options are what the front is told once.
type Options struct {
	Classes                []string    // their names, by number
	MaxClients             int         // clients at once
	Reserve                int         // descriptors left for databases and discovery
	MaxLargeStatementBytes int         // bytes of statements over pgwire.MostMessage at once
	FreeDescriptor         func() bool // frees a descriptor that nobody needs just now, elsewhere; false: there is none

	Guard    *invariant.Guard // nil: nothing is checked
	Servable func() bool      // requests can be served; nil: they always can
}

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

// Accepting tells whether clients are accepted.
func (f *Front) Accepting() bool { return f.open && !f.closing }

// SetStarting has the empty query answered with a no as long as the gateway should not be given clients yet.
func (f *Front) SetStarting(on bool) { f.held = on }

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

// SetMaxClients changes how many clients there may be at once.
func (f *Front) SetMaxClients(most int) { f.opt.MaxClients = most }

func (f *Front) accept(nc *netloop.Conn) {
	f.numbers++
	c := &conn{front: f, nc: nc, number: f.numbers}
	nc.Handle(c, inputMost)
	nc.OnFlush(c.flushed)
	// Clients may hold a limited number of connections, too: idle ones that are kept until
	// there is no room at all leave them none to ask on. So they go from half of it on.
	room := f.roomy(f.opt.MaxClients)
	for range 2 { // one for the new connection, one to get back to the reserve
		room = f.roomy(f.opt.MaxClients/2) || f.makeRoom() || room
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
