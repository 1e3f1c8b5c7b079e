// Package gateway manages the lifecycle of requests: it collects events, passes them to the
// decision module (package policy) in one Step, and carries out the resulting actions. It uses
// fronts and backends through small interfaces and knows no wire protocol, so that another front
// would be subject to the same decisions and rules.
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

// deadlineGrace is how long after a request's deadline the gateway fails it itself. The decision
// module does so a tick earlier; this enforces that every request is answered in time.
const deadlineGrace = 2 * time.Millisecond

// Limits on log lines per second.
const (
	givenUpLogsPerSecond = 5
	retryLogsPerSecond   = 5
)

// Client is the front's side of one request. Exactly one of the first four methods is called,
// once, unless Gateway.ClientGone was called before or the value is streamed.
type Client interface {
	Served(value []byte) // the value as the backend delivered it, valid only during the call
	Refused(retryAfter time.Duration)
	Failed()
	Cancelled() // after Gateway.Cancel: nothing has run
	// A large value is streamed instead: BeginStream, then StreamChunk, and finally EndStream, or AbortStream if
	// it ended incomplete. StreamChunk reports whether more may follow at once; if not, Gateway.ResumeStream asks for it.
	// AbortStream is given how many bytes of the row are missing.
	BeginStream()
	StreamChunk(chunk []byte) (more bool)
	EndStream()
	AbortStream(missingBytes int)
	Released() // the statement is no longer needed; the last call
}

// Backends sends attempts and probes. Every Send leads to one Gateway.Resolved, every
// Probe to one Gateway.Probed, whatever happens to the socket.
type Backends interface {
	Send(attempt *Attempt)
	Cancel(attempt *Attempt)
	CancelUnsent(attempt *Attempt) // resolves it as NotSent if it is not completely written: nothing has run
	ResumeStream(attempt *Attempt) // the client can take more of its value
	Probe(host policy.HostID)
	CloseIdleConnections(host policy.HostID)
	StopUsingHost(host policy.HostID) // CloseIdleConnections, and attempts that wait for a connection are resolved as NotSent
	ListUpdated(kind policy.ListKind, entries []Entry)
}

// Discovery requests the list of databases and its changes.
type Discovery interface {
	Subscribe(timeout time.Duration)
}

// Observer is notified of what the gateway does to databases.
type Observer interface {
	Sent(host policy.HostID, group policy.GroupID)                // an attempt was started
	Accepted(host policy.HostID, group policy.GroupID, class int) // a request was served
	PolicyLogged(text string)                                     // the decision module logged a line
}

// Router is the decision module (policy.Router).
type Router interface {
	Step(now time.Duration, events []policy.Event) []policy.Action
	ExcludedHosts() int
	Plausible(position time.Duration) bool
	ClockCounts() policy.ClockCounts
}

// Request is one request that a front has received. The front fills in the exported fields.
type Request struct {
	Client       Client
	Statement    any // for the backend; opaque to this package
	Class        int
	Group        policy.GroupID
	Session      policy.SessionID
	MinPosition  time.Duration // the replication position it must see; 0: none
	Deadline     time.Duration
	Name         string // the client's request id, for logs
	ConnectionID uint64 // of the client's connection, for logs

	id            policy.RequestID
	attempts      []*Attempt
	inFlight      int
	finished      bool          // it is answered, or the client is gone
	cancelled     bool          // the client cancelled it: no further attempt
	mayHaveRun    bool          // some attempt may have had its effect
	mayHaveRunAt  time.Duration // when the first such attempt was started
	clientGoneAt  time.Duration // when its client disconnected; 0: it has not
	stream        *Attempt      // the attempt whose value is being streamed
	deadlineTimer *netloop.Timer
}

// Attempt is one request on its way to one host.
type Attempt struct {
	Host        policy.HostID
	Statement   any
	Deadline    time.Duration
	BeginBy     time.Duration // it must be started before this time or not at all
	BackendData any           // private to the backend
	RowMissing  int           // bytes that are missing of a streamed row, once it has begun to be passed on

	request   *Request
	number    int
	sentAt    time.Duration
	stallTime time.Duration // of the loop when it was decided
	done      bool
	started   bool // its first byte was about to be written
	written   bool // its last byte was written
	reported  bool // the decision module has its result already: its value is being streamed
}

// Reply is what a backend learned from the answer to an attempt or a probe.
type Reply struct {
	Value       []byte
	Role        policy.Role
	Position    time.Duration
	HasPosition bool
	Report      policy.Report
}

// Entry is one entry of the list, with the address to dial.
type Entry struct {
	policy.Member
	Dial netip.AddrPort
}

// Started reports whether an attempt was started: a database may have received the statement.
func (req *Request) Started() bool {
	return slices.ContainsFunc(req.attempts, func(attempt *Attempt) bool { return attempt.started })
}

// Gateway holds all unfinished requests. Everything runs on the loop's goroutine.
type Gateway struct {
	loop          *netloop.Loop
	router        Router
	backends      Backends
	discovery     Discovery
	requests      map[policy.RequestID]*Request
	events        []policy.Event
	spareEvents   []policy.Event
	expired       []*Request // whose deadline passed in this loop iteration
	overdue       []*Request // whose deadline passed in the last one
	lastID        uint64
	unanswered    int // requests without an answer
	maxUnanswered int
	maxStall      time.Duration // see SetMaxStall
	probeTimes    map[policy.HostID]time.Duration
	counts        *stats.Counters
	members       map[policy.HostID]policy.Member
	onListChange  func()
	onPosition    func(host policy.HostID, position time.Duration)
	onPrimary     func(host policy.HostID, at time.Duration)
	observer      Observer // may be nil
	suspended     map[policy.HostID]bool
	reportedPause time.Duration    // total pause of the process that the decision module knows of
	actionTime    time.Duration    // when the actions of the last Step began to be carried out
	afterStep     []func()         // called when the next Step's actions are carried out
	guard         *invariant.Guard // nil: nothing is checked
	givenUpCounts *stats.NamedCounters
	givenUpLog    netloop.RateLimitedLog
	retryLog      netloop.RateLimitedLog
}

// New returns a gateway that accepts at most maxUnanswered unanswered requests; 0: no limit.
func New(loop *netloop.Loop, router Router, maxUnanswered int, counts *stats.Counters) *Gateway {
	if maxUnanswered <= 0 {
		maxUnanswered = math.MaxInt
	}
	return &Gateway{
		loop: loop, router: router, maxUnanswered: maxUnanswered, counts: counts,
		requests: map[policy.RequestID]*Request{}, probeTimes: map[policy.HostID]time.Duration{},
		members: map[policy.HostID]policy.Member{}, suspended: map[policy.HostID]bool{}, givenUpCounts: stats.NewNamedCounters("given_up", reasonNames()),
		givenUpLog: netloop.RateLimitedLog{MaxPerSecond: givenUpLogsPerSecond}, retryLog: netloop.RateLimitedLog{MaxPerSecond: retryLogsPerSecond},
	}
}

// reasonNames returns the names of all policy.Reason values.
func reasonNames() (names []string) {
	for reason := range policy.ReasonCount {
		names = append(names, reason.String())
	}
	return names
}

// SetMaxStall sets for how long this process may be held up between the decision on an attempt and its first byte; 0: for any
// time.
func (g *Gateway) SetMaxStall(d time.Duration) { g.maxStall = d }

// SetGuard sets the guard that checks invariants.
func (g *Gateway) SetGuard(guard *invariant.Guard) { g.guard = guard }

// Metrics appends the counts of requests that were given up, by reason, and those of the databases' clock.
func (g *Gateway) Metrics(b []byte) []byte {
	clock := g.router.ClockCounts()
	b = stats.AppendMetric(b, "clock.matching", clock.Matching)
	b = stats.AppendMetric(b, "clock.later", clock.Later)
	b = stats.AppendMetric(b, "clock.earlier", clock.Earlier)
	b = stats.AppendMetric(b, "clock.steps", clock.Steps)
	b = stats.AppendMetric(b, "clock.doubts", clock.Doubts)
	return g.givenUpCounts.Append(b)
}

// Connect sets the backends and the discovery client that actions are carried out with.
func (g *Gateway) Connect(backends Backends, discovery Discovery) {
	g.backends, g.discovery = backends, discovery
}

// Unanswered returns how many requests have no answer yet.
func (g *Gateway) Unanswered() int { return g.unanswered }

// Gauges returns the current values that operators read.
func (g *Gateway) Gauges() stats.Gauges {
	return stats.Gauges{InProgress: g.unanswered, KnownDatabases: len(g.members), SkippedDatabases: g.router.ExcludedHosts(), StallTime: g.loop.StallTime()}
}

// FleetEvent passes on an event that comes from the fleet or from the connection budget rather than from a request, such as
// policy.ConcurrencyLimit, PreferredHosts or PositionReported.
func (g *Gateway) FleetEvent(event policy.Event) {
	switch e := event.(type) {
	case policy.PrimaryReported:
		g.guard.RecordPrimary(e.Host)
	case policy.PositionReported:
		g.guard.RecordPosition(e.Host, e.Position)
	}
	g.events = append(g.events, event)
}

// Fence sets whether writes are refused. The event precedes all others of the loop iteration.
func (g *Gateway) Fence(active bool) {
	g.events = slices.Insert(g.events, 0, policy.Event(policy.FenceChanged{Active: active}))
}

// Refuse refuses a request that this process cannot take any more. The decision module does not learn of it, and no attempt is
// made.
func (g *Gateway) Refuse(req *Request) {
	req.finished = true
	g.counts.Class(req.Class).Refused++
	req.Client.Refused(0)
	req.Client.Released()
}

// Submit accepts a request. Its answer may come before Submit returns.
func (g *Gateway) Submit(req *Request) {
	now := g.loop.Now()
	if g.unanswered >= g.maxUnanswered {
		g.Refuse(req)
		return
	}
	g.lastID++
	g.unanswered++
	// The client's request ids cannot serve as keys: they are not certain to be unique.
	req.id = policy.RequestID(strconv.FormatUint(g.lastID, 36))
	g.requests[req.id] = req
	// In a late loop iteration the decision module's own timer is due together with this one: the module goes first.
	req.deadlineTimer = g.loop.At(req.Deadline+deadlineGrace, func() { g.expired = append(g.expired, req) })
	event := policy.Request{
		ID: req.id, Class: req.Class, Group: req.Group, Session: req.Session, Timeout: req.Deadline - now,
	}
	if req.MinPosition > 0 {
		event.LastCommitAge = cmp.Or(now-req.MinPosition, 1) // 0 would mean that there is no token
	}
	g.events = append(g.events, event)
}

// ClientGone reports that the client of req has disconnected: no answer is needed. Attempts that wait for a connection would
// start although the result is no longer wanted; they are cancelled even where running attempts may not be.
func (g *Gateway) ClientGone(req *Request) {
	if stream := req.stream; stream != nil {
		g.endStream(req, &g.counts.Class(req.Class).Abandoned)
		g.backends.Cancel(stream)
		return
	}
	req.clientGoneAt = g.loop.Now()
	if g.markFinished(req) {
		g.counts.Class(req.Class).Abandoned++
		g.cancelUnsent(req)
		g.events = append(g.events, policy.RequestAbandoned{Request: req.id})
		g.release(req)
	}
}

// Cancel reports that the client of req has cancelled it and stays connected. An attempt that may be running continues, and
// its outcome is the answer; no other attempt is started.
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

// cancelUnsent cancels the attempts of req that are not completely written.
func (g *Gateway) cancelUnsent(req *Request) {
	for _, attempt := range req.attempts {
		if !attempt.done {
			g.backends.CancelUnsent(attempt)
		}
	}
}

// finishCancelled answers a cancelled request that has no attempt in flight.
func (g *Gateway) finishCancelled(req *Request) {
	switch {
	case !req.cancelled || req.inFlight > 0 || !g.markFinished(req):
	case req.mayHaveRun:
		g.fail(req)
	default:
		g.counts.Class(req.Class).Abandoned++
		req.Client.Cancelled()
	}
}

// expire fails a request that is still unanswered after its deadline, which violates an invariant.
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
	g.counts.Class(req.Class).Failed++
	req.Client.Failed()
}

// markFinished marks a request as finished; it returns false if it was already.
func (g *Gateway) markFinished(req *Request) bool {
	if req.finished {
		return false
	}
	req.finished = true
	req.deadlineTimer.Stop()
	g.unanswered--
	return true
}

// release removes a finished request that has no attempt in flight.
func (g *Gateway) release(req *Request) {
	if req.finished && req.inFlight == 0 && req.Client != nil {
		delete(g.requests, req.id)
		req.Client.Released()
		req.Client = nil
	}
}

// SetObserver sets the observer that is notified of what is done to databases.
func (g *Gateway) SetObserver(observer Observer) { g.observer = observer }

// notifyAccepted notifies the observer of a request that a database has served.
func (g *Gateway) notifyAccepted(attempt *Attempt) {
	if g.observer != nil {
		g.observer.Accepted(attempt.Host, attempt.request.Group, attempt.request.Class)
	}
}
