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
	maxInputBytes         = pgwire.MostMessage + 4096 // one statement, and the head of the next
	maxPipelined          = 32                        // commands of one connection that are not answered yet
	maxUnreadBytes        = 256 << 10                 // bytes of answers that it has not read, or that wait for their turns
	maxStreamBacklog      = 64 << 10                  // bytes of a value that comes in parts that it has not read
	sweepInterval         = 100 * time.Millisecond
	listenerRetryInterval = 20 * time.Millisecond
	arrivalSlack          = 150*time.Millisecond - sweepInterval // for which a gateway may be held up, less what its loop may not see of that
	maxPacketTime         = 10 * time.Second                     // that a packet may take from its first byte on, unless it is a large statement
	minProgressBytes      = 1 << 10                              // bytes of a large statement that must come for its time to begin anew
	maxPieceBytes         = 64 << 10                             // of a large statement read at once
	newConnGrace          = 500 * time.Millisecond               // for a hello and the query that follows its answer
	idleGrace             = 250 * time.Millisecond               // in steady use a connection is not idle for longer
	lastAnswerTime        = 50 * time.Millisecond                // for a client to read the last answer of a process that ends
	smallBufferBytes      = 4 << 10                              // a connection that holds no more is no use against a want of memory
)

var errDuplicateID = errors.New("a request with this id is open")

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
	loop             *netloop.Loop
	core             Core
	options          Options
	classes          map[string]int
	openIDs          map[string]struct{} // of open requests, as the clients named them
	listener         *netloop.Listener
	accepting        bool                  // it accepts
	queues           [stateCount]list.List // of *conn
	streaming        map[*conn]struct{}    // whose first open answer comes in parts
	largeBytes       int                   // bytes of large statements, those to come included
	largeWaiting     []*conn               // their large statements have no room yet
	cancelKeys       map[uint64]*conn      // by which clients may cancel; one says nothing of another
	keySource        *rand.ChaCha8
	shuttingDown     bool          // each connection goes as soon as it owes nothing
	shutdownDeadline time.Duration // while it does: when the last answer is due
	drainUntil       time.Duration // each goes behind its next answer, and idle ones by then; 0: they stay
	starting         bool          // so it is before the first yes
	drained          bool          // the empty query is answered with a no
	refusedLog       netloop.Sparse
	closeLog         netloop.Sparse
	lastNumber       uint64 // of connections so far
	closedCounts     *stats.Named
}

// Metrics adds the figures of connections that the gateway has ended, by reason.
func (f *Front) Metrics(b []byte) []byte { return f.closedCounts.Append(b) }

// New makes a front that hands requests to core.
func New(loop *netloop.Loop, core Core, options Options) *Front {
	f := &Front{
		loop: loop, core: core, options: options, classes: map[string]int{}, openIDs: map[string]struct{}{}, streaming: map[*conn]struct{}{},
		cancelKeys: map[uint64]*conn{}, closedCounts: stats.NewNamed("closed", closeReasonNames[:]), closeLog: netloop.Sparse{Most: clientLogsPerSecond},
	}
	var secret [32]byte
	_, _ = crand.Read(secret[:]) // it never fails
	f.keySource = rand.NewChaCha8(secret)
	for i, name := range options.Classes {
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
	f.listener, f.accepting = ln, true
	return ln.Addr, nil
}

// Inherit takes over a listening socket; Open begins to accept from it.
func (f *Front) Inherit(fd int, addr netip.AddrPort) (at netip.AddrPort, err error) {
	if f.listener, err = f.loop.Inherit(fd, addr, f.accept); err != nil {
		return netip.AddrPort{}, err
	}
	return f.listener.Addr, nil
}

// Open begins to accept, if it has not yet.
func (f *Front) Open() error {
	if f.accepting {
		return nil
	}
	err := f.listener.Start()
	f.accepting = err == nil
	return err
}

// Accepting tells whether clients are accepted.
func (f *Front) Accepting() bool { return f.accepting && !f.shuttingDown }

// SetStarting has the empty query answered with a no as long as the gateway should not be given clients yet.
func (f *Front) SetStarting(on bool) { f.starting = on }

// connsIn is who is at p, as a list of its own: what is done to them moves them.
func (f *Front) connsIn(state connState) (list []*conn) {
	for element := f.queues[state].Front(); element != nil; element = element.Next() {
		list = append(list, element.Value.(*conn))
	}
	return list
}

// Clients is how many connections are not on their way out.
func (f *Front) Clients() (n int) {
	for state := stateBusy; state < stateClosing; state++ {
		n += f.queues[state].Len()
	}
	return n
}

// SetMaxClients changes how many clients there may be at once.
func (f *Front) SetMaxClients(maxClients int) { f.options.MaxClients = maxClients }

func (f *Front) accept(nc *netloop.Conn) {
	f.lastNumber++
	c := &conn{front: f, nc: nc, number: f.lastNumber}
	nc.Handle(c, maxInputBytes)
	nc.OnFlush(c.flushed)
	// Clients may hold a limited number of connections, too: idle ones that are kept until
	// there is no hasRoom at all leave them none to ask on. So they go from half of it on.
	hasRoom := f.hasCapacity(f.options.MaxClients)
	for range 2 { // one for the new connection, one to get back to the reserve
		hasRoom = f.hasCapacity(f.options.MaxClients/2) || f.reclaimDescriptor() || hasRoom
	}
	if !hasRoom {
		f.refusedLog.Printf(f.loop.Now(), "event=client_refused reason=descriptors spare=%d busy=%d", f.loop.Spare(), f.queues[stateBusy].Len())
		nc.Write(pgwire.AppendError(nil, "FATAL", pgwire.CodeTooManyConnections, "too many clients", ""))
		c.finish(closedDescriptors)
		return
	}
	c.updateState()
	if f.shuttingDown {
		c.takeRemaining()
	}
}
