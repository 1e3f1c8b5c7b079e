// Package invariant checks at run time what a gateway must never do. It has one guard for sending, repeating, closing and
// starting, through which every path goes, and knows only what it is told: it shares no state with the decisions that it
// checks. A violation is counted and reported and stops nothing. There is no I/O and no clock here.
package invariant

import (
	"time"

	"lilaccove/internal/stats"
	"lilaccove/policy"
)

// Name is what was violated.
type Name uint8

// The invariants.
const (
	RetryForbidden    Name = iota // an attempt after one that may have run, of a class that must not run twice
	AfterDedupWindow              // likewise, of a class that may be repeated within a window, behind that
	AfterDeadline                 // an attempt begun behind the deadline of its request
	AfterClientGone               // an attempt begun more than clientGrace behind the end of its client
	AfterAnswer                   // an attempt begun though its request has its final answer
	ConcurrentAttempt             // an attempt begun beside another one of its request
	ToDraining                    // an attempt at a database that drains or is gone, behind the grace
	ToSuspended                   // likewise, at one that operators have left out
	DeadlineTooLong               // the database was told more time than the request has left
	AnsweredTwice                 // a second final answer
	NeverAnswered                 // the decisions left a request without an answer until its deadline
	ClosedUnanswered              // a connection closed over a request that was read
	OverrideNotKept               // an operator was told yes for a word that a successor would not know
	ReadyTooEarly                 // ready was told before requests could be served
	StaleRead                     // a read at a replica that has itself told that its data is too old for the class
	NameCount                     // how many there are
)

var nameTexts = [NameCount]string{
	"repeat_forbidden", "behind_window", "behind_deadline", "behind_client", "behind_answer", "beside_another", "to_draining",
	"to_suspended", "deadline_too_long", "answered_twice", "never_answered", "closed_unanswered", "word_not_kept", "ready_too_early",
	"stale_read",
}

// String is the name in logs and metrics.
func (n Name) String() string { return nameTexts[n] }

// AllNames are the names in logs and metrics, in order.
func AllNames() []string { return nameTexts[:] }

// What the protocol allows beyond the rules.
const (
	socketSlack          = 50 * time.Millisecond  // of every time limit on sockets
	clientGrace          = 100 * time.Millisecond // from the end of a client to the last attempt for it
	databaseTimeoutSlack = 150 * time.Millisecond // of the time that a database is told
	answerDelay          = 100 * time.Millisecond // from an answer until what it tells counts as known
)

// Violation is one that was found.
type Violation struct {
	Name       Name
	Request    string // as its client named it
	Client     uint64 // the number of its connection
	Database   policy.HostID
	Transition string        // what was done
	Excess     time.Duration // past the limit; 0: there is none
}

// Guard checks one gateway. A nil guard checks nothing. It is not safe for concurrent use.
type Guard struct {
	settings      policy.Settings
	report        func(Violation)
	counts        *stats.Named
	hosts         map[policy.HostID]*host
	newestPrimary primaryProgress
}

// What is known of roles and positions holds for a while, and no exacter than a spoilt position may be off.
const (
	maxRoleAge       = time.Second
	maxPositionError = time.Second
)

// primaryProgress is how far the databases' clock had come at some moment: a primary stands at the primaryProgress.
type primaryProgress struct{ position, time time.Duration }

// host is what was told of a database.
type host struct {
	replicaAt time.Duration // when it told last that it is a replica; 0: it has not since it was a primary
	position  time.Duration // the newest that it told, or others have heard

	removed     bool // it drains or is gone
	removedAt   time.Duration
	suspended   bool // operators have left it out
	suspendedAt time.Duration
}

// New makes a guard by the settings of a gateway; each violation is reported.
func New(settings policy.Settings, report func(Violation)) *Guard {
	return &Guard{settings: settings, report: report, counts: stats.NewNamed("violations", nameTexts[:]), hosts: map[policy.HostID]*host{}}
}

// Count is how often something was violated.
func (g *Guard) Count(n Name) uint64 {
	if g == nil {
		return 0
	}
	return g.counts.Count(int(n))
}

// Metrics adds the figures, a line each.
func (g *Guard) Metrics(b []byte) []byte { return g.counts.Append(b) }

// record counts and reports.
func (g *Guard) record(v Violation) {
	g.counts.Add(int(v.Name))
	g.report(v)
}

// RecordViolation notes what was found elsewhere to be one.
func (g *Guard) RecordViolation(v Violation) {
	if g != nil {
		g.record(v)
	}
}

func (g *Guard) host(id policy.HostID) *host {
	h := g.hosts[id]
	if h == nil {
		h = &host{}
		g.hosts[id] = h
	}
	return h
}

// RecordStatus notes what the list tells of a database since a moment: one that was told earlier stays.
func (g *Guard) RecordStatus(id policy.HostID, status policy.Status, now time.Duration) {
	if g == nil {
		return
	}
	removed := status == policy.Draining || status == policy.Gone && !g.settings.GoneIsAdvisory
	h := g.hosts[id]
	switch {
	case h == nil && !removed:
	case !removed && status == policy.Healthy:
		h.removed = false
	case removed && (h == nil || !h.removed):
		h = g.host(id)
		h.removed, h.removedAt = true, now
	}
}

// RecordSuspension notes an operator's word on a database.
func (g *Guard) RecordSuspension(id policy.HostID, active bool, now time.Duration) {
	if g == nil {
		return
	}
	h := g.host(id)
	if active && !h.suspended {
		h.suspendedAt = now
	}
	h.suspended = active
}

// RecordAnswer notes what a database's answer tells of it; 0: no position.
func (g *Guard) RecordAnswer(id policy.HostID, role policy.Role, position, now time.Duration) {
	if g == nil || role == policy.RoleUnknown {
		return
	}
	h := g.host(id)
	h.position = max(h.position, position)
	if h.replicaAt = now; role == policy.Primary {
		h.replicaAt = 0
		if position > 0 {
			g.newestPrimary = primaryProgress{position, now}
		}
	}
}

// RecordPosition notes how far another gateway knows a database to have come.
func (g *Guard) RecordPosition(id policy.HostID, position time.Duration) {
	if g == nil {
		return
	}
	if h := g.hosts[id]; h != nil {
		h.position = max(h.position, position)
	}
}

// RecordPrimary notes that another gateway has had an answer of a database as primary.
func (g *Guard) RecordPrimary(id policy.HostID) {
	if g == nil {
		return
	}
	if h := g.hosts[id]; h != nil {
		h.replicaAt = 0
	}
}

// Attempt is an attempt that is about to be written.
type Attempt struct {
	Now             time.Duration
	Request         string
	Client          uint64
	Database        policy.HostID
	Class           int
	Deadline        time.Duration // of the request, as its client counts it
	DatabaseTimeout time.Duration // that the database is told to have
	ClientGoneTime  time.Duration // when its client left; 0: it has not
	MayRun          bool          // an earlier attempt may have had its effect
	MayRunSince     time.Duration // when the first such was begun
	Answered        bool
	OtherAttempts   int // attempts of the request that are out besides
}

// CheckAttempt checks an attempt. It is on the path of every request.
func (g *Guard) CheckAttempt(attempt *Attempt) {
	if g == nil {
		return
	}
	if attempt.MayRun {
		g.checkRetry(attempt)
	}
	if excess := attempt.Now - attempt.Deadline; excess > 0 {
		g.reportAttempt(attempt, AfterDeadline, excess)
	}
	if attempt.ClientGoneTime > 0 && attempt.Now > attempt.ClientGoneTime+clientGrace {
		g.reportAttempt(attempt, AfterClientGone, attempt.Now-attempt.ClientGoneTime-clientGrace)
	}
	if attempt.Answered {
		g.reportAttempt(attempt, AfterAnswer, 0)
	}
	if attempt.OtherAttempts > 0 {
		g.reportAttempt(attempt, ConcurrentAttempt, 0)
	}
	if by := attempt.DatabaseTimeout - databaseTimeoutSlack - max(0, attempt.Deadline-attempt.Now); by > 0 {
		g.reportAttempt(attempt, DeadlineTooLong, by)
	}
	if h := g.hosts[attempt.Database]; h != nil {
		g.checkDatabaseStatus(attempt, h)
		g.checkStaleness(attempt, h)
	}
}

// checkRetry checks an attempt that follows one which may have run.
func (g *Guard) checkRetry(attempt *Attempt) {
	if attempt.Class < 0 || attempt.Class >= len(g.settings.Classes) {
		return
	}
	switch class := &g.settings.Classes[attempt.Class]; {
	case class.RetrySafety == policy.AtMostOnce:
		g.reportAttempt(attempt, RetryForbidden, 0)
	case class.RetrySafety != policy.Retryable && attempt.Now > attempt.MayRunSince+class.DedupWindow+socketSlack:
		g.reportAttempt(attempt, AfterDedupWindow, attempt.Now-attempt.MayRunSince-class.DedupWindow)
	}
}

// checkDatabaseStatus checks an attempt at a database that was to get nothing new.
func (g *Guard) checkDatabaseStatus(attempt *Attempt, h *host) {
	limit := g.settings.DrainGrace + socketSlack
	if h.removed && attempt.Now > h.removedAt+limit {
		g.reportAttempt(attempt, ToDraining, attempt.Now-h.removedAt-limit)
	}
	if h.suspended && attempt.Now > h.suspendedAt+limit {
		g.reportAttempt(attempt, ToSuspended, attempt.Now-h.suspendedAt-limit)
	}
}

// checkStaleness checks a read of bounded age at a replica, by what that told itself and by the newest word of a primary. Databases
// that check reads themselves may be tried.
func (g *Guard) checkStaleness(attempt *Attempt, h *host) {
	if g.settings.StaleReadMode != policy.StaleReadServe || attempt.Class < 0 || attempt.Class >= len(g.settings.Classes) || g.newestPrimary.time == 0 {
		return
	}
	class := &g.settings.Classes[attempt.Class]
	known := h.replicaAt > 0 && attempt.Now >= h.replicaAt+answerDelay && attempt.Now <= h.replicaAt+maxRoleAge
	if class.Level != policy.Recent || !known {
		return
	}
	age := g.newestPrimary.position + attempt.Now - g.newestPrimary.time - h.position
	if excess := age - class.Bound - socketSlack - maxPositionError; excess > 0 {
		g.reportAttempt(attempt, StaleRead, excess)
	}
}

func (g *Guard) reportAttempt(attempt *Attempt, name Name, excess time.Duration) {
	g.record(Violation{Name: name, Request: attempt.Request, Client: attempt.Client, Database: attempt.Database, Transition: "send", Excess: excess})
}

// CheckAnswer checks a final answer.
func (g *Guard) CheckAnswer(request string, client uint64, answered bool) {
	if g != nil && answered {
		g.record(Violation{Name: AnsweredTwice, Request: request, Client: client, Transition: "answer"})
	}
}

// CheckClose checks that a connection which the gateway ends owes no answer.
func (g *Guard) CheckClose(client uint64, request string, pending int) {
	if g != nil && pending > 0 {
		g.record(Violation{Name: ClosedUnanswered, Client: client, Request: request, Transition: "close"})
	}
}

// CheckReady checks a yes to whether requests can be served.
func (g *Guard) CheckReady(servable bool) {
	if g != nil && !servable {
		g.record(Violation{Name: ReadyTooEarly, Transition: "ready"})
	}
}

// CheckOverrideKept checks a yes to an operator's word.
func (g *Guard) CheckOverrideKept(kept bool) {
	if g != nil && !kept {
		g.record(Violation{Name: OverrideNotKept, Transition: "word"})
	}
}
