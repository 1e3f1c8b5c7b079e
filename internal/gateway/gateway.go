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

// deadlineGrace is how long after a request's deadline the gateway ends it itself. The module
// does so a tick before; this guards the rule that each request gets its answer in time.
const deadlineGrace = 2 * time.Millisecond

// Lines in the log in a second.
const (
	givenUpLogsPerSecond = 5
	retryLogsPerSecond   = 5
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

	id            policy.RequestID
	attempts      []*Attempt
	inFlight      int
	finished      bool          // it has its answer, or the client is gone
	cancelled     bool          // its client has cancelled it: no further attempt
	mayHaveRun    bool          // some attempt may have had its effect
	mayHaveRunAt  time.Duration // when the first such was begun
	clientGoneAt  time.Duration // when its client left; 0: it has not
	stream        *Attempt      // whose value is being passed on
	deadlineTimer *netloop.Timer
}

// Attempt is one request on its way to one host.
type Attempt struct {
	Host        policy.HostID
	Statement   any
	Deadline    time.Duration
	BeginBy     time.Duration // the moment by which it has to begin, or not at all
	BackendData any           // the backend's own

	request  *Request
	number   int
	sentAt   time.Duration
	done     bool
	started  bool // its first byte was to be written
	written  bool // its last byte was written
	reported bool // the module has its result: its value began to be passed on
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
	loop          *netloop.Loop
	router        Router
	backends      Backends
	discovery     Discovery
	requests      map[policy.RequestID]*Request
	events        []policy.Event
	spareEvents   []policy.Event
	expired       []*Request // past their deadlines in this round
	lastID        uint64
	unanswered    int // requests without an answer
	maxUnanswered int
	probeTimes    map[policy.HostID]time.Duration
	counts        *stats.Counters
	members       map[policy.HostID]policy.Member
	onListChange  func() // the list has
	onPosition    func(host policy.HostID, at time.Duration)
	onPrimary     func(host policy.HostID, at time.Duration)
	observer      Observer // nil: nobody listens
	suspended     map[policy.HostID]bool
	reportedPause time.Duration    // as the module was told
	actionTime    time.Duration    // when what the last Step decided began to be carried out
	afterStep     []func()         // called when the next Step is carried out
	guard         *invariant.Guard // nil: nothing is checked
	givenUpCounts *stats.Named
	givenUpLog    netloop.Sparse
	retryLog      netloop.Sparse
}

// New makes a gateway that holds at most so many unanswered requests; 0: no limit.
func New(loop *netloop.Loop, router Router, maxUnanswered int, counts *stats.Counters) *Gateway {
	if maxUnanswered <= 0 {
		maxUnanswered = math.MaxInt
	}
	return &Gateway{
		loop: loop, router: router, maxUnanswered: maxUnanswered, counts: counts,
		requests: map[policy.RequestID]*Request{}, probeTimes: map[policy.HostID]time.Duration{},
		members: map[policy.HostID]policy.Member{}, suspended: map[policy.HostID]bool{}, givenUpCounts: stats.NewNamed("given_up", reasonNames()),
		givenUpLog: netloop.Sparse{Most: givenUpLogsPerSecond}, retryLog: netloop.Sparse{Most: retryLogsPerSecond},
	}
}

// reasonNames are the names of policy's.
func reasonNames() (names []string) {
	for reason := range policy.ReasonCount {
		names = append(names, reason.String())
	}
	return names
}

// SetGuard has all that is done checked.
func (g *Gateway) SetGuard(guard *invariant.Guard) { g.guard = guard }

// Metrics adds the figures of requests that were given up, by reason.
func (g *Gateway) Metrics(b []byte) []byte { return g.givenUpCounts.Append(b) }

// Connect sets what the gateway acts on.
func (g *Gateway) Connect(backends Backends, discovery Discovery) {
	g.backends, g.discovery = backends, discovery
}

// Unanswered is how many requests have no answer yet.
func (g *Gateway) Unanswered() int { return g.unanswered }

// Gauges are what the operators read of the moment.
func (g *Gateway) Gauges() stats.Gauges {
	return stats.Gauges{InProgress: g.unanswered, Known: len(g.members), Skipped: g.router.ExcludedHosts(), Lost: g.loop.Lost()}
}

// FleetEvent passes on what the fleet tells of hosts: policy.Bounded, Preferred or Heard.
func (g *Gateway) FleetEvent(event policy.Event) {
	switch e := event.(type) {
	case policy.PrimaryReported:
		g.guard.RecordPrimary(e.Host)
	case policy.PositionReported:
		g.guard.RecordPosition(e.Host, e.Position)
	}
	g.events = append(g.events, event)
}

// Fence has the decisions take no writes, or take them again. It goes before all that the round has brought.
func (g *Gateway) Fence(active bool) {
	g.events = slices.Insert(g.events, 0, policy.Event(policy.FenceChanged{Active: active}))
}

// Take accepts a request. Its answer may come before Take returns.
func (g *Gateway) Submit(req *Request) {
	now := g.loop.Now()
	if g.unanswered >= g.maxUnanswered {
		req.finished = true
		g.counts.Of(req.Class).Dropped++
		req.Client.Refused(0)
		req.Client.Released()
		return
	}
	g.lastID++
	g.unanswered++
	// The client's own id would do, were it certain that none comes twice.
	req.id = policy.RequestID(strconv.FormatUint(g.lastID, 36))
	g.requests[req.id] = req
	// A round that comes late finds the module's own timer due with this one: the module goes first.
	req.deadlineTimer = g.loop.At(req.Deadline+deadlineGrace, func() { g.expired = append(g.expired, req) })
	event := policy.Request{
		ID: req.id, Class: req.Class, Group: req.Group, Session: req.Session, Timeout: req.Deadline - now,
	}
	if req.MinPosition > 0 {
		event.LastCommitAge = cmp.Or(now-req.MinPosition, 1) // 0 would mean that there is no token
	}
	g.events = append(g.events, event)
}

// Gone tells that the client of q has left: nothing more is owed. What waits for a connection would begin when nobody
// wants it any more; that is taken back even where attempts may not be called off.
func (g *Gateway) ClientGone(req *Request) {
	if stream := req.stream; stream != nil {
		g.endStream(req, &g.counts.Of(req.Class).Abandoned)
		g.backends.Cancel(stream)
		return
	}
	req.clientGoneAt = g.loop.Now()
	if g.markFinished(req) {
		g.counts.Of(req.Class).Abandoned++
		g.cancelUnsent(req)
		g.events = append(g.events, policy.RequestAbandoned{Request: req.id})
		g.release(req)
	}
}

// Cancel tells that the client of q wants no answer any more, and stays. What may run already goes on, and its outcome is
// the answer; nothing else is begun.
func (g *Gateway) Cancel(req *Request) {
	if req.finished {
		return
	}
	req.cancelled = true
	g.cancelUnsent(req)
	g.finishCancelled(req)
	if req.finished {
		g.events = append(g.events, policy.RequestAbandoned{Request: req.id})
		g.release(req)
	}
}

// cancelUnsent takes back what of q is not written whole.
func (g *Gateway) cancelUnsent(req *Request) {
	for _, attempt := range req.attempts {
		if !attempt.done {
			g.backends.CancelUnsent(attempt)
		}
	}
}

// finishCancelled ends a cancelled request that has nothing out.
func (g *Gateway) finishCancelled(req *Request) {
	switch {
	case !req.cancelled || req.inFlight > 0 || !g.markFinished(req):
	case req.mayHaveRun:
		g.fail(req)
	default:
		g.counts.Of(req.Class).Abandoned++
		req.Client.Cancelled()
	}
}

func (g *Gateway) expire(req *Request) {
	if g.markFinished(req) {
		log.Printf("event=overdue request=%q attempts=%d out=%d", req.Name, len(req.attempts), req.inFlight)
		g.guard.RecordViolation(invariant.Violation{Name: invariant.NeverAnswered, Request: req.Name, Client: req.ConnectionID, Transition: "expire"})
		g.fail(req)
		g.events = append(g.events, policy.RequestAbandoned{Request: req.id})
		g.release(req)
	}
}

func (g *Gateway) fail(req *Request) {
	g.counts.Of(req.Class).BadGateway++
	req.Client.Failed()
}

// markFinished marks the final answer; false: there was one already.
func (g *Gateway) markFinished(req *Request) bool {
	if req.finished {
		return false
	}
	req.finished = true
	req.deadlineTimer.Stop()
	g.unanswered--
	return true
}

// release forgets a request that is over and has nothing out.
func (g *Gateway) release(req *Request) {
	if req.finished && req.inFlight == 0 && req.Client != nil {
		delete(g.requests, req.id)
		req.Client.Released()
		req.Client = nil
	}
}

// SetObserver has a hear what is done to databases.
func (g *Gateway) SetObserver(observer Observer) { g.observer = observer }

// notifyAccepted tells of a request that a database has served.
func (g *Gateway) notifyAccepted(attempt *Attempt) {
	if g.observer != nil {
		g.observer.Accepted(attempt.Host, attempt.request.Group, attempt.request.Class)
	}
}
