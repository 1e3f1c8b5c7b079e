// Package front serves the clients: it answers their startup messages, parses their queries,
// submits each one to the core and writes the answers in order. A client that closes its
// connection is considered gone.
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

// Core processes requests.
type Core interface {
	Submit(req *gateway.Request)
	Refuse(req *gateway.Request)
	ClientGone(req *gateway.Request)
	ResumeStream(req *gateway.Request)
	Cancel(req *gateway.Request)
}

const (
	maxInputBytes         = pgwire.MaxBufferedMessage + 4096 // one statement and the header of the next
	maxPipelined          = 32                               // unanswered commands of one connection
	maxUnreadBytes        = 256 << 10                        // bytes of answers that a client has not read, or that wait for earlier ones
	maxStreamBacklog      = 64 << 10                         // bytes of a streamed value that a client has not read
	sweepInterval         = 100 * time.Millisecond
	listenerRetryInterval = 20 * time.Millisecond
	arrivalSlack          = 150*time.Millisecond - sweepInterval // allowed stall of a gateway, less the part that its loop may not notice
	maxPacketTime         = 10 * time.Second                     // from the first to the last byte of a packet, unless it is a large statement
	minProgressBytes      = 1 << 10                              // bytes of a large statement that restart its timeout
	maxPieceBytes         = 64 << 10                             // read size for a large statement
	resumedInputTime      = 200 * time.Millisecond               // for a client to send more after reading had been stopped
	newConnGrace          = 500 * time.Millisecond               // for the startup message and the first query
	idleGrace             = 250 * time.Millisecond               // a connection in steady use is not idle for longer
	lastAnswerTime        = 50 * time.Millisecond                // for a client to read its last answer during a shutdown
	smallBufferBytes      = 4 << 10                              // closing a connection with smaller buffers does not help when memory is short
)

var errDuplicateID = errors.New("a request with this id is open")

// Options configure a Front.
type Options struct {
	Classes                []string    // names of the classes, by number
	MaxClients             int         // concurrent clients
	Reserve                int         // descriptors reserved for databases and discovery
	MaxLargeStatementBytes int         // total bytes of concurrent statements over pgwire.MaxBufferedMessage, and of each
	MaxAnswerBytes         int         // answers that are not read or wait for earlier ones; twice as much for commands whose turn it is
	FreeDescriptor         func() bool // frees an unneeded descriptor elsewhere; false: there is none

	Guard    *invariant.Guard // nil: nothing is checked
	Servable func() bool      // whether requests can be served; nil: always
}

// Front manages all connections of clients.
type Front struct {
	loop             *netloop.Loop
	core             Core
	options          Options
	classes          map[string]int
	ids              requestIDs
	postponed        []*conn // served again in the next round
	listener         *netloop.Listener
	accepting        bool                  // the listener accepts
	queues           [stateCount]list.List // of *conn
	streaming        map[*conn]struct{}    // connections whose current answer is streamed
	answers          answerMemory          // of all connections
	refusedForMemory uint64                // commands refused because too many answers are not read
	maxLargeBytes    int                   // of largeBytes
	largeBytes       int                   // reserved for large statements, including bytes not received yet
	largeWaiting     []*conn               // connections that wait for such a reservation
	cancelKeys       map[uint64]*conn      // keys by which clients may cancel; unpredictable from other keys
	keySource        *rand.ChaCha8
	shuttingDown     bool          // each connection is closed as soon as all is answered
	answerDeadline   time.Duration // when the last answer before the process ends is due; 0: it is not ending
	drainUntil       time.Duration // connections close after their next answers, idle ones by this time; 0: not draining
	starting         bool          // the empty query fails: the gateway is not ready yet
	drained          bool          // the empty query fails: the gateway is drained
	refusedLog       netloop.RateLimitedLog
	clientLog        netloop.RateLimitedLog
	lastNumber       uint64 // of the last accepted connection
	closedCounts     *stats.NamedCounters
}

// Metrics appends the counts of connections that the gateway has closed, by reason, and the memory for answers.
func (f *Front) Metrics(b []byte) []byte {
	b = stats.AppendMetric(b, "answers.held_bytes", uint64(f.answers.held))
	b = stats.AppendMetric(b, "answers.reserved_bytes", uint64(f.answers.reserved))
	b = stats.AppendMetric(b, "answers.refused", f.refusedForMemory)
	return f.closedCounts.Append(b)
}

// New returns a front that submits requests to core.
func New(loop *netloop.Loop, core Core, options Options) *Front {
	f := &Front{
		loop: loop, core: core, options: options, classes: map[string]int{}, ids: requestIDs{used: map[string]struct{}{}}, streaming: map[*conn]struct{}{},
		cancelKeys: map[uint64]*conn{}, closedCounts: stats.NewNamedCounters("closed", closeReasonNames[:]),
		clientLog: netloop.RateLimitedLog{MaxPerSecond: clientLogsPerSecond}, maxLargeBytes: options.MaxLargeStatementBytes,
	}
	var secret [32]byte
	_, _ = crand.Read(secret[:]) // never fails
	f.keySource = rand.NewChaCha8(secret)
	for i, name := range options.Classes {
		f.classes[name] = i
	}
	f.sweep()
	return f
}

// Listen starts to listen and to accept clients, and returns the actual address.
func (f *Front) Listen(addr netip.AddrPort) (netip.AddrPort, error) {
	ln, err := f.loop.Listen(addr, f.accept)
	if err != nil {
		return netip.AddrPort{}, err
	}
	f.listener, f.accepting = ln, true
	return ln.Addr, nil
}

// Inherit takes over a listening socket; Open starts to accept from it.
func (f *Front) Inherit(fd int, addr netip.AddrPort) (at netip.AddrPort, err error) {
	if f.listener, err = f.loop.InheritListener(fd, addr, f.accept); err != nil {
		return netip.AddrPort{}, err
	}
	return f.listener.Addr, nil
}

// Open starts to accept if it has not yet.
func (f *Front) Open() error {
	if f.accepting {
		return nil
	}
	err := f.listener.Start()
	f.accepting = err == nil
	return err
}

// Accepting reports whether clients are accepted.
func (f *Front) Accepting() bool { return f.accepting && !f.shuttingDown }

// SetStarting sets whether the empty query fails because the gateway should not receive clients yet.
func (f *Front) SetStarting(on bool) { f.starting = on }

// connsIn returns a copy of a state's queue, because handling a connection may move it to another.
func (f *Front) connsIn(state connState) (list []*conn) {
	for element := f.queues[state].Front(); element != nil; element = element.Next() {
		list = append(list, element.Value.(*conn))
	}
	return list
}

// Clients returns how many connections are not closing.
func (f *Front) Clients() (n int) {
	for state := stateBusy; state < stateClosing; state++ {
		n += f.queues[state].Len()
	}
	return n
}

// SetMaxClients changes the number of concurrent clients allowed, and that of descriptors reserved for databases and discovery.
func (f *Front) SetMaxClients(maxClients, reserve int) {
	f.options.MaxClients, f.options.Reserve = maxClients, reserve
}

func (f *Front) accept(nc *netloop.Conn) {
	f.lastNumber++
	c := &conn{front: f, nc: nc, number: f.lastNumber}
	nc.SetHandler(c, maxInputBytes)
	nc.OnFlush(c.flushed)
	// Clients may be limited in their number of connections, too: if idle ones were kept until the
	// limit is reached, clients might have none left to send on. So idle ones are closed from half the limit on.
	hasRoom := f.hasCapacity(f.options.MaxClients)
	for range 2 { // one for the new connection, one to restore the reserve
		hasRoom = f.hasCapacity(f.options.MaxClients/2) || f.reclaimDescriptor() || hasRoom
	}
	if !hasRoom {
		f.refusedLog.Printf(f.loop.Now(), "event=client_refused reason=descriptors spare=%d busy=%d", f.loop.SpareDescriptors(), f.queues[stateBusy].Len())
		nc.Write(pgwire.AppendError(nil, "FATAL", pgwire.CodeTooManyConnections, "too many clients", ""))
		c.finish(closedDescriptors)
		return
	}
	c.updateState()
	if f.shuttingDown {
		c.takeRemaining()
	}
}
