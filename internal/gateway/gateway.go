// Package gateway leads requests through their lives: what happens is gathered as
// events, the decision module takes them in one Step, and its actions are carried out.
// It knows fronts and backends by small interfaces only and no protocol, so that a
// second front goes through the same decisions and keeps the same rules.
package gateway

import (
	"cmp"
	"log"
	"maps"
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
	// A large value comes in parts instead: Begin, then Part, and at the end Complete, or Broken where
	// it ended before it was whole. Part tells whether more may come at once; else More asks for it.
	Begin()
	Part(b []byte) (more bool)
	Complete()
	Broken()
	Released() // nobody needs the statement any more; the last call
}

// Backends sends attempts and probes. Every Send leads to one Gateway.Resolved, every
// Probe to one Gateway.Probed, whatever happens to the socket.
type Backends interface {
	Send(a *Attempt)
	Cancel(a *Attempt)
	Recall(a *Attempt) // gives it back as NotSent if it is not written whole: nothing has run
	Resume(a *Attempt) // its value may go on
	Probe(host policy.HostID)
	HangUp(host policy.HostID)
	Withdraw(host policy.HostID) // HangUp, and what waits for a connection is given back as NotSent
	Listed(kind policy.ListKind, entries []Entry)
}

// Discovery asks for the list and its changes.
type Discovery interface {
	Subscribe(within time.Duration)
}

// Acts hears what is done to databases.
type Acts interface {
	Sent(host policy.HostID, group policy.GroupID)                // an attempt was begun
	Accepted(host policy.HostID, group policy.GroupID, class int) // a request was served
	Said(text string)                                             // the decisions have logged something
}

// Router decides.
type Router interface {
	Step(now time.Duration, events []policy.Event) []policy.Action
	Skipped() int
	Plausible(position time.Duration) bool
}

// Request is one request that a front has taken. The front fills it in.
type Request struct {
	Client    Client
	Statement any // for the backend; the core does not look into it
	Class     int
	Group     policy.GroupID
	Session   policy.SessionID
	After     time.Duration // the position it must see; 0: none
	Deadline  time.Duration
	Name      string // as its client named it, for logs
	Origin    uint64 // the number of the client's connection, for logs

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
	Host      policy.HostID
	Statement any
	Deadline  time.Duration
	Begin     time.Duration // the moment by which it has to begin, or not at all
	Link      any           // the backend's own

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
	acts      Acts // nil: nobody listens
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
	for r := range policy.Reasons {
		list = append(list, r.String())
	}
	return list
}

// OnGuard has all that is done checked.
func (g *Gateway) OnGuard(guard *invariant.Guard) { g.guard = guard }

// GivenUp adds the figures of requests that were given up, by reason.
func (g *Gateway) GivenUp(b []byte) []byte { return g.givenUp.Append(b) }

// Connect sets what the gateway acts on.
func (g *Gateway) Connect(b Backends, d Discovery) { g.backends, g.discovery = b, d }

// Owed is how many requests have no answer yet.
func (g *Gateway) Owed() int { return g.owed }

// Figures are what the operators read of the moment.
func (g *Gateway) Figures() stats.Gauges {
	return stats.Gauges{InProgress: g.owed, Known: len(g.listed), Skipped: g.router.Skipped(), Lost: g.loop.Lost()}
}

// Members is how many databases the list holds.
func (g *Gateway) Members() int { return len(g.listed) }

// Suspend leaves a database out, or lets it serve again; then is called as soon as no request
// can go against that. It tells whether the database is known. Discovery does not change it.
func (g *Gateway) Suspend(host policy.HostID, out bool, then func()) bool {
	if _, listed := g.listed[host]; !listed && !g.suspended[host] {
		return false
	}
	g.SetSuspended(host, out)
	g.decided = append(g.decided, then)
	return true
}

// SetSuspended is Suspend for a database that need not be listed yet.
func (g *Gateway) SetSuspended(host policy.HostID, out bool) {
	if g.suspended[host] == out {
		return
	}
	if g.suspended[host] = out; !out {
		delete(g.suspended, host)
	}
	g.guard.Suspended(host, out, g.loop.Now())
	g.events = append(g.events, policy.Suspended{Host: host, Out: out})
}

// Fleet passes on what the fleet tells of hosts: policy.Bounded, Preferred or Heard.
func (g *Gateway) Fleet(e policy.Event) {
	if told, ok := e.(policy.Told); ok {
		g.guard.Promoted(told.Host)
	}
	g.events = append(g.events, e)
}

// Fence has the decisions take no writes, or take them again. It goes before all that the round has brought.
func (g *Gateway) Fence(out bool) {
	g.events = slices.Insert(g.events, 0, policy.Event(policy.Fenced{Out: out}))
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
		ID: q.id, Class: q.Class, Group: q.Group, Session: q.Session, Budget: q.Deadline - now,
	}
	if q.After > 0 {
		e.TokenAge = cmp.Or(now-q.After, 1) // 0 would mean that there is no token
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
		g.events = append(g.events, policy.Lapsed{Request: q.id})
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
		g.events = append(g.events, policy.Lapsed{Request: q.id})
		g.release(q)
	}
}

// recall takes back what of q is not written whole.
func (g *Gateway) recall(q *Request) {
	for _, a := range q.attempts {
		if !a.done {
			g.backends.Recall(a)
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
		g.guard.Violated(invariant.Violation{Name: invariant.NeverAnswered, Request: q.Name, Client: q.Origin, Transition: "expire"})
		g.fail(q)
		g.events = append(g.events, policy.Lapsed{Request: q.id})
		g.release(q)
	}
}

func (g *Gateway) fail(q *Request) {
	g.counts.Of(q.Class).BadGateway++
	q.Client.Failed()
}

// Begun tells that the first byte of an attempt is written now, and returns the time that its database is told to have until
// a moment: whole milliseconds, rounded up. The clock is read once, behind all that comes before the write, so that nothing
// that holds this process up meanwhile is told as left.
func (g *Gateway) Begun(a *Attempt, until time.Duration) (left time.Duration) {
	a.begun = true
	now := g.loop.Clock()
	left = max(1, (until-now+time.Millisecond-1)/time.Millisecond) * time.Millisecond
	if g.guard != nil {
		g.check(a, now, left)
	}
	return left
}

// check has the guard judge an attempt that is about to be written.
func (g *Gateway) check(a *Attempt, now, told time.Duration) {
	q := a.q
	s := invariant.Sending{
		Now: now, Request: q.Name, Client: q.Origin, Database: a.Host, Class: q.Class, Deadline: q.Deadline, Told: told,
		ClientEnded: q.leftAt, MayRun: q.mayRun, MayRunSince: q.mayRunAt, Answered: q.over && q.leftAt == 0,
	}
	for _, o := range q.attempts {
		if o != a && o.begun && !o.done {
			s.Others++
		}
	}
	g.guard.Sending(&s)
}

// Written tells that the kernel has taken the last byte of an attempt; it may be told again.
func (g *Gateway) Written(a *Attempt) {
	if !a.whole {
		a.whole = true
		g.counts.Of(a.q.Class).Tries++
	}
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

// Resolved tells how an attempt ended. The first value goes to the client at once.
func (g *Gateway) Resolved(a *Attempt, o policy.Outcome, r Reply) {
	if a.done {
		return
	}
	a.done = true
	q := a.q
	q.out--
	if a.told {
		g.ended(a, o, r)
		return
	}
	g.told(a.Host, r.HasPosition, r.Position)
	g.told(a.Host, r.Report.HasPosition, r.Report.Position)
	if o == policy.OK {
		g.guard.Answered(a.Host, r.Role, r.Position, g.loop.Now())
		g.accepted(a)
		if r.Role == policy.Primary && g.primary != nil {
			g.primary(a.Host, a.sentAt)
		}
	}
	if o == policy.OK && g.end(q) {
		g.counts.Of(q.Class).Passed++
		q.Client.Served(r.Value)
	}
	if o.MayHaveRun() && !q.mayRun {
		q.mayRun, q.mayRunAt = true, a.sentAt
	}
	g.settle(q)
	g.events = append(g.events, policy.Result{
		Request: q.id, Attempt: a.number, Host: a.Host, Outcome: o, Latency: g.took(a.sentAt),
		Finished: q.over, Role: r.Role, Position: r.Position, HasPosition: r.HasPosition, Report: r.Report,
	})
	g.release(q)
}

// Late takes what a database answered to an attempt that was given up: that it is a replica counts as told. That it was
// a primary may be older than what others have told since.
func (g *Gateway) Late(host policy.HostID, r Reply) {
	if r.Role == policy.Replica {
		g.events = append(g.events, policy.Result{Host: host, Attempt: -1, Outcome: policy.NotSent, Finished: true, Role: r.Role})
	}
}

// took is how long something has taken since it was sent, without the time for which what came may have waited for this
// process: an answer is not late for its reader's sake.
func (g *Gateway) took(sent time.Duration) time.Duration {
	return max(0, g.loop.Now()-g.loop.Age()-sent)
}

// Began tells that a large value has begun to come for an attempt; false: nobody waits for it. The
// request is served as far as the decisions go: other copies are called off, and how fast the client
// reads the rest says nothing of the host.
func (g *Gateway) Began(a *Attempt) bool {
	q := a.q
	if a.done || q.over {
		return false
	}
	q.over, q.stream, a.told = true, a, true
	q.overdue.Stop()
	q.Client.Begin()
	g.events = append(g.events, policy.Result{
		Request: q.id, Attempt: a.number, Host: a.Host, Outcome: policy.OK, Latency: g.took(a.sentAt), Finished: true,
	})
	return true
}

// Part passes on what has come of a value; false: no more for now.
func (g *Gateway) Part(a *Attempt, b []byte) (more bool) {
	return a.q.stream == a && a.q.Client.Part(b)
}

// More asks for what follows of q's value.
func (g *Gateway) More(q *Request) {
	if q.stream != nil {
		g.backends.Resume(q.stream)
	}
}

// ended is Resolved for an attempt whose value was passed on. What it tells of the host is still news.
func (g *Gateway) ended(a *Attempt, o policy.Outcome, r Reply) {
	q, count := a.q, g.counts.Of(a.q.Class)
	switch {
	case q.stream != a: // the client left before
	case o == policy.OK:
		g.accepted(a)
		g.endStream(q, &count.Passed)
		q.Client.Complete()
	default:
		g.endStream(q, &count.BadGateway)
		q.Client.Broken()
	}
	if r.HasPosition {
		told := policy.Report{Position: r.Position, HasPosition: true, Role: r.Role}
		g.events = append(g.events, policy.Result{Host: a.Host, Report: told})
	}
	g.release(q)
}

func (g *Gateway) endStream(q *Request, count *uint64) {
	q.stream = nil
	*count++
	g.owed--
}

// Probed tells how a probe ended.
func (g *Gateway) Probed(host policy.HostID, o policy.Outcome, r Reply) {
	g.told(host, r.Report.HasPosition, r.Report.Position)
	g.events = append(g.events, policy.Probed{
		Host: host, Outcome: o, Latency: g.took(g.probes[host]), Report: r.Report,
	})
	delete(g.probes, host) // one is out at a time; hosts come and go
}

// Listed passes on news of the list.
func (g *Gateway) Listed(kind policy.ListKind, entries []Entry) {
	m := policy.Members{Kind: kind, Entries: make([]policy.Member, len(entries))}
	for i, e := range entries {
		m.Entries[i] = e.Member
	}
	var before map[policy.HostID]policy.Member // those that a whole list may leave out
	if kind == policy.ListFull || kind == policy.ListCached {
		before, g.listed = g.listed, make(map[policy.HostID]policy.Member, len(entries))
	}
	for _, e := range entries {
		g.guard.Listed(e.Host, e.Status, g.loop.Now())
		if g.listed[e.Host] = e.Member; e.Status == policy.Gone {
			delete(g.listed, e.Host)
		}
	}
	for host := range before {
		if _, listed := g.listed[host]; !listed {
			g.guard.Listed(host, policy.Gone, g.loop.Now())
		}
	}
	g.backends.Listed(kind, entries)
	g.events = append(g.events, m)
	if g.changed != nil {
		g.changed()
	}
}

// OnPrimary has do called with each answer of a database as primary, and when it was asked.
func (g *Gateway) OnPrimary(do func(host policy.HostID, at time.Duration)) { g.primary = do }

// OnActs has a hear what is done to databases.
func (g *Gateway) OnActs(a Acts) { g.acts = a }

// accepted tells of a request that a database has served.
func (g *Gateway) accepted(a *Attempt) {
	if g.acts != nil {
		g.acts.Accepted(a.Host, a.q.Group, a.q.Class)
	}
}

// OnList has do called whenever the list has changed.
func (g *Gateway) OnList(do func()) { g.changed = do }

// OnPosition has do called with each position that a database tells.
func (g *Gateway) OnPosition(do func(host policy.HostID, at time.Duration)) { g.position = do }

func (g *Gateway) told(host policy.HostID, has bool, at time.Duration) {
	if has && g.position != nil && g.router.Plausible(at) {
		g.position(host, at)
	}
}

// InList tells whether a database is in the list.
func (g *Gateway) InList(host policy.HostID) bool {
	_, ok := g.listed[host]
	return ok
}

// Hosts are the databases of the list.
func (g *Gateway) Hosts() []policy.Member { return slices.Collect(maps.Values(g.listed)) }

// Step lets the module decide on all that was gathered. It tells whether carrying the
// actions out has led to new events.
func (g *Gateway) Step() (again bool) {
	if lost := g.loop.Lost(); lost != g.lost {
		g.lost = lost
		g.returned(policy.Away{Lost: lost})
	}
	if len(g.events) > 0 {
		g.decide()
	}
	for ; len(g.decided) > 0; g.decided = g.decided[1:] {
		g.decided[0]()
	}
	for _, q := range g.late {
		g.expire(q)
	}
	g.late = g.late[:0]
	return len(g.events) > 0
}

// returned orders what a round brings after this process was away: first that it was, then what the list tells, which may
// have come before all else and binds what is done about it.
func (g *Gateway) returned(away policy.Away) {
	events := append(g.spare[:0], away)
	rest := slices.DeleteFunc(g.events, func(e policy.Event) bool {
		_, list := e.(policy.Members)
		if list {
			events = append(events, e)
		}
		return list
	})
	g.spare, g.events = g.events[:0], append(events, rest...)
}

func (g *Gateway) decide() {
	events := g.events
	g.events = g.spare[:0]
	actions := g.router.Step(g.loop.Now(), events)
	g.sending = g.loop.Clock()
	for _, a := range actions {
		g.act(a)
	}
	clear(events)
	g.spare = events[:0]
}

func (g *Gateway) act(a policy.Action) {
	switch a := a.(type) {
	case policy.Send:
		g.send(a)
	case policy.Refuse:
		if q := g.requests[a.Request]; q != nil && g.end(q) {
			g.gaveUp(q, a.Reason, true)
			g.counts.Of(q.Class).Dropped++
			q.Client.Refused(a.RetryAfter)
			g.release(q)
		}
	case policy.Fail:
		if q := g.requests[a.Request]; q != nil && g.end(q) {
			g.gaveUp(q, a.Reason, false)
			g.fail(q)
			g.release(q)
		}
	case policy.Cancel:
		if q := g.requests[a.Request]; q != nil && a.Attempt < len(q.attempts) && !q.attempts[a.Attempt].done {
			g.backends.Cancel(q.attempts[a.Attempt])
		}
	case policy.Probe:
		g.probes[a.Host] = g.sending
		g.backends.Probe(a.Host)
	case policy.HangUp:
		g.backends.HangUp(a.Host)
	case policy.Withdraw:
		g.backends.Withdraw(a.Host)
	case policy.Timer:
		token := a.Timer
		g.loop.At(g.loop.Now()+a.After, func() { g.events = append(g.events, policy.Elapsed{Timer: token}) })
	case policy.Subscribe:
		g.discovery.Subscribe(a.Within)
	case policy.Log:
		log.Printf("event=policy text=%q", a.Text)
		if g.acts != nil {
			g.acts.Said(a.Text)
		}
	}
}

// gaveUp counts and logs a request that the decisions have given up.
func (g *Gateway) gaveUp(q *Request, why policy.Reason, refused bool) {
	g.givenUp.Add(int(why))
	g.logGiven.Printf(g.loop.Now(), "event=given_up request=%q client=%d class=%d group=%d reason=%s refused=%t attempts=%d",
		q.Name, q.Origin, q.Class, q.Group, why, refused, len(q.attempts))
}

// send starts an attempt; the timeout becomes a deadline here. One for a request that
// is over is never sent.
func (g *Gateway) send(s policy.Send) {
	now := g.loop.Now()
	q := g.requests[s.Request]
	if q == nil || q.over {
		n := 0
		if q != nil {
			n = len(q.attempts)
			q.attempts = append(q.attempts, &Attempt{q: q, number: n, done: true})
		}
		g.events = append(g.events, policy.Result{
			Request: s.Request, Attempt: n, Host: s.Host, Outcome: policy.NotSent, Finished: true,
		})
		return
	}
	a := &Attempt{
		Host: s.Host, Statement: q.Statement, Deadline: q.Deadline,
		q: q, number: len(q.attempts), sentAt: g.sending,
	}
	if s.Timeout != 0 {
		a.Deadline = min(a.Deadline, now+s.Timeout)
	}
	if a.Begin = a.Deadline; s.Begin != 0 {
		a.Begin = min(a.Begin, now+s.Begin)
	}
	if a.number > 0 {
		g.logRetry.Printf(now, "event=retried request=%q client=%d class=%d attempt=%d database=%s before=%s may_run=%t",
			q.Name, q.Origin, q.Class, a.number, a.Host, q.attempts[a.number-1].Host, q.mayRun)
	}
	q.attempts = append(q.attempts, a)
	q.out++
	if g.acts != nil {
		g.acts.Sent(s.Host, q.Group)
	}
	g.backends.Send(a)
}
