// Package gateway leads requests through their lives: what happens is gathered as
// events, the decision module takes them in one Step, and its actions are carried out.
// It knows fronts and backends by small interfaces only and no protocol, so that a
// second front goes through the same decisions and keeps the same rules.
package gateway

import (
	"cmp"
	"log"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"lilaccove/internal/invariant"
	"lilaccove/internal/netloop"
	"lilaccove/internal/stats"
	"lilaccove/policy"
)

// lateBy is how long after a request's deadline the gateway ends it itself. The module
// does so a tick before; this guards the rule that each request gets its answer in time.
const lateBy = 2 * time.Millisecond

// Lines in the log in a second.
const (
	givenUpLines = 5
	retryLines   = 5
)

// Client is the front's side of one request. Exactly one of the first four is called,
// once, unless Gone came first.
type Client interface {
	Served(value []byte) // the value as the backend gave it, good during the call
	Refused(retryAfter time.Duration)
	Failed()
	Cancelled() // behind Cancel: nothing has run
	// A large value comes in parts instead: BeginStream, then Part, and at the end Complete, or Broken where
	// it ended before it was whole. Part tells whether more may come at once; else More asks for it.
	BeginStream()
	StreamChunk(b []byte) (more bool)
	EndStream()
	AbortStream()
	Released() // nobody needs the statement any more; the last call
}

// Backends sends attempts and probes. Every Send leads to one Gateway.Resolved, every
// Probe to one Gateway.Probed, whatever happens to the socket.
type Backends interface {
	Send(a *Attempt)
	Cancel(a *Attempt)
	CancelUnsent(a *Attempt) // gives it back as NotSent if it is not written whole: nothing has run
	ResumeStream(a *Attempt) // its value may go on
	Probe(host policy.HostID)
	CloseIdleConnections(host policy.HostID)
	StopUsingHost(host policy.HostID) // HangUp, and what waits for a connection is given back as NotSent
	ListUpdated(kind policy.ListKind, entries []Entry)
}

// Discovery asks for the list and its changes.
type Discovery interface {
	Subscribe(within time.Duration)
}

// Observer hears what is done to databases.
type Observer interface {
	Sent(host policy.HostID, group policy.GroupID)                // an attempt was begun
	Accepted(host policy.HostID, group policy.GroupID, class int) // a request was served
	PolicyLogged(text string)                                     // the decisions have logged something
}

// Router decides.
type Router interface {
	Step(now time.Duration, events []policy.Event) []policy.Action
	ExcludedHosts() int
	Plausible(position time.Duration) bool
}

// Request is one request that a front has taken. The front fills it in.
type Request struct {
	Client       Client
	Statement    any // for the backend; the core does not look into it
	Class        int
	Group        policy.GroupID
	Session      policy.SessionID
	MinPosition  time.Duration // the position it must see; 0: none
	Deadline     time.Duration
	Name         string // as its client named it, for logs
	ConnectionID uint64 // the number of the client's connection, for logs

	id       policy.RequestID
	attempts []*Attempt
	out      int
	over     bool          // it has its answer, or the client is gone
	unwanted bool          // its client has cancelled it: no further attempt
	mayRun   bool          // some attempt may have had its effect
	mayRunAt time.Duration // when the first such was begun
	leftAt   time.Duration // when its client left; 0: it has not
	stream   *Attempt      // whose value is being passed on
	overdue  *netloop.Timer
}

// Attempt is one request on its way to one host.
type Attempt struct {
	Host        policy.HostID
	Statement   any
	Deadline    time.Duration
	BeginBy     time.Duration // the moment by which it has to begin, or not at all
	BackendData any           // the backend's own

	q      *Request
	number int
	sentAt time.Duration
	done   bool
	begun  bool // its first byte was to be written
	whole  bool // its last byte was written
	told   bool // the module has its result: its value began to be passed on
}

// Reply is what a backend learned with the end of an attempt or a probe.
type Reply struct {
	Value       []byte
	Role        policy.Role
	Position    time.Duration
	HasPosition bool
	Report      policy.Report
}

// Entry is one line of the list.
type Entry struct {
	policy.Member
	Dial netip.AddrPort
}

// Gateway is the life of all requests. Everything runs on the loop's goroutine.
type Gateway struct {
	loop      *netloop.Loop
	router    Router
	backends  Backends
	discovery Discovery
	requests  map[policy.RequestID]*Request
	events    []policy.Event
	spare     []policy.Event
	late      []*Request // past their deadlines in this round
	seq       uint64
	owed      int // requests without an answer
	most      int
	probes    map[policy.HostID]time.Duration
	counts    *stats.Counters
	listed    map[policy.HostID]policy.Member
	changed   func() // the list has
	position  func(host policy.HostID, at time.Duration)
	primary   func(host policy.HostID, at time.Duration)
	acts      Observer // nil: nobody listens
	suspended map[policy.HostID]bool
	lost      time.Duration    // as the module was told
	sending   time.Duration    // when what the last Step decided began to be carried out
	decided   []func()         // called when the next Step is carried out
	guard     *invariant.Guard // nil: nothing is checked
	givenUp   *stats.Named
	logGiven  netloop.Sparse
	logRetry  netloop.Sparse
}

// New makes a gateway that holds at most so many unanswered requests; 0: no limit.
func New(loop *netloop.Loop, router Router, most int, counts *stats.Counters) *Gateway {
	if most <= 0 {
		most = math.MaxInt
	}
	return &Gateway{
		loop: loop, router: router, most: most, counts: counts,
		requests: map[policy.RequestID]*Request{}, probes: map[policy.HostID]time.Duration{},
		listed: map[policy.HostID]policy.Member{}, suspended: map[policy.HostID]bool{}, givenUp: stats.NewNamed("given_up", reasons()),
		logGiven: netloop.Sparse{Most: givenUpLines}, logRetry: netloop.Sparse{Most: retryLines},
	}
}

// reasons are the names of policy's.
func reasons() (list []string) {
	for r := range policy.ReasonCount {
		list = append(list, r.String())
	}
	return list
}

// SetGuard has all that is done checked.
func (g *Gateway) SetGuard(guard *invariant.Guard) { g.guard = guard }

// Metrics adds the figures of requests that were given up, by reason.
func (g *Gateway) Metrics(b []byte) []byte { return g.givenUp.Append(b) }

// Connect sets what the gateway acts on.
func (g *Gateway) Connect(b Backends, d Discovery) { g.backends, g.discovery = b, d }

// Unanswered is how many requests have no answer yet.
func (g *Gateway) Unanswered() int { return g.owed }

// Gauges are what the operators read of the moment.
func (g *Gateway) Gauges() stats.Gauges {
	return stats.Gauges{InProgress: g.owed, Known: len(g.listed), Skipped: g.router.ExcludedHosts(), Lost: g.loop.Lost()}
}

// FleetEvent passes on what the fleet tells of hosts: policy.Bounded, Preferred or Heard.
func (g *Gateway) FleetEvent(e policy.Event) {
	switch e := e.(type) {
	case policy.PrimaryReported:
		g.guard.RecordPrimary(e.Host)
	case policy.PositionReported:
		g.guard.RecordPosition(e.Host, e.Position)
	}
	g.events = append(g.events, e)
}

// Fence has the decisions take no writes, or take them again. It goes before all that the round has brought.
func (g *Gateway) Fence(out bool) {
	g.events = slices.Insert(g.events, 0, policy.Event(policy.FenceChanged{Active: out}))
}

// Take accepts a request. Its answer may come before Take returns.
func (g *Gateway) Take(q *Request) {
	now := g.loop.Now()
	if g.owed >= g.most {
		q.over = true
		g.counts.Of(q.Class).Dropped++
		q.Client.Refused(0)
		q.Client.Released()
		return
	}
	g.seq++
	g.owed++
	// The client's own id would do, were it certain that none comes twice.
	q.id = policy.RequestID(strconv.FormatUint(g.seq, 36))
	g.requests[q.id] = q
	// A round that comes late finds the module's own timer due with this one: the module goes first.
	q.overdue = g.loop.At(q.Deadline+lateBy, func() { g.late = append(g.late, q) })
	e := policy.Request{
		ID: q.id, Class: q.Class, Group: q.Group, Session: q.Session, Timeout: q.Deadline - now,
	}
	if q.MinPosition > 0 {
		e.LastCommitAge = cmp.Or(now-q.MinPosition, 1) // 0 would mean that there is no token
	}
	g.events = append(g.events, e)
}

// Gone tells that the client of q has left: nothing more is owed. What waits for a connection would begin when nobody
// wants it any more; that is taken back even where attempts may not be called off.
func (g *Gateway) Gone(q *Request) {
	if a := q.stream; a != nil {
		g.endStream(q, &g.counts.Of(q.Class).Abandoned)
		g.backends.Cancel(a)
		return
	}
	q.leftAt = g.loop.Now()
	if g.end(q) {
		g.counts.Of(q.Class).Abandoned++
		g.recall(q)
		g.events = append(g.events, policy.RequestAbandoned{Request: q.id})
		g.release(q)
	}
}

// Cancel tells that the client of q wants no answer any more, and stays. What may run already goes on, and its outcome is
// the answer; nothing else is begun.
func (g *Gateway) Cancel(q *Request) {
	if q.over {
		return
	}
	q.unwanted = true
	g.recall(q)
	g.settle(q)
	if q.over {
		g.events = append(g.events, policy.RequestAbandoned{Request: q.id})
		g.release(q)
	}
}

// recall takes back what of q is not written whole.
func (g *Gateway) recall(q *Request) {
	for _, a := range q.attempts {
		if !a.done {
			g.backends.CancelUnsent(a)
		}
	}
}

// settle ends a cancelled request that has nothing out.
func (g *Gateway) settle(q *Request) {
	switch {
	case !q.unwanted || q.out > 0 || !g.end(q):
	case q.mayRun:
		g.fail(q)
	default:
		g.counts.Of(q.Class).Abandoned++
		q.Client.Cancelled()
	}
}

func (g *Gateway) expire(q *Request) {
	if g.end(q) {
		log.Printf("event=overdue request=%q attempts=%d out=%d", q.Name, len(q.attempts), q.out)
		g.guard.RecordViolation(invariant.Violation{Name: invariant.NeverAnswered, Request: q.Name, Client: q.ConnectionID, Transition: "expire"})
		g.fail(q)
		g.events = append(g.events, policy.RequestAbandoned{Request: q.id})
		g.release(q)
	}
}

func (g *Gateway) fail(q *Request) {
	g.counts.Of(q.Class).BadGateway++
	q.Client.Failed()
}

// end marks the final answer; false: there was one already.
func (g *Gateway) end(q *Request) bool {
	if q.over {
		return false
	}
	q.over = true
	q.overdue.Stop()
	g.owed--
	return true
}

// release forgets a request that is over and has nothing out.
func (g *Gateway) release(q *Request) {
	if q.over && q.out == 0 && q.Client != nil {
		delete(g.requests, q.id)
		q.Client.Released()
		q.Client = nil
	}
}

// SetObserver has a hear what is done to databases.
func (g *Gateway) SetObserver(a Observer) { g.acts = a }

// accepted tells of a request that a database has served.
func (g *Gateway) accepted(a *Attempt) {
	if g.acts != nil {
		g.acts.Accepted(a.Host, a.q.Group, a.q.Class)
	}
}
