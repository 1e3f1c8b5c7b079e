// Package invariant checks at run time that a gateway keeps its invariants. Sending, retrying, answering, closing and
// becoming ready each go through one check on every path. The checks rely only on what is recorded here and share no
// state with the decisions that they check. A violation is counted and reported, and stops nothing. The package does no
// I/O and reads no clock.
package invariant

import (
	"time"

	"lilaccove/internal/stats"
	"lilaccove/policy"
)

// Name identifies an invariant.
type Name uint8

// The invariants.
const (
	RetryForbidden    Name = iota // an attempt after one that may have run, of a class that must not run twice
	AfterDedupWindow              // the same, of a class that may run again within a window, after that window
	AfterDeadline                 // an attempt begun after the deadline of its request
	AfterClientGone               // an attempt begun more than clientGrace after its client left
	AfterAnswer                   // an attempt begun after the final answer of its request
	ConcurrentAttempt             // an attempt begun while another one of its request is outstanding
	ToDraining                    // an attempt at a database that drains or is gone, after the drain grace
	ToSuspended                   // the same, at a database that operators have suspended
	DeadlineTooLong               // an attempt whose database gets a longer timeout than the request has left
	AnsweredTwice                 // a second final answer
	NeverAnswered                 // a request left without an answer until its deadline
	ClosedUnanswered              // a connection closed while a request read from it was unanswered
	OverrideNotKept               // an operator override acknowledged before a successor process would know it
	ReadyTooEarly                 // readiness reported before requests could be served
	StaleRead                     // a read at a replica whose own reports show that its data is too old for the class
	NameCount                     // the number of invariants
)

var nameTexts = [NameCount]string{
	"repeat_forbidden", "behind_window", "behind_deadline", "behind_client", "behind_answer", "beside_another", "to_draining",
	"to_suspended", "deadline_too_long", "answered_twice", "never_answered", "closed_unanswered", "word_not_kept", "ready_too_early",
	"stale_read",
}

// String returns the name in logs and metrics.
func (n Name) String() string { return nameTexts[n] }

// AllNames returns the names in logs and metrics, in order.
func AllNames() []string { return nameTexts[:] }

// Tolerances that the protocol allows.
const (
	socketSlack          = 50 * time.Millisecond  // of every time limit on sockets
	clientGrace          = 100 * time.Millisecond // from a client's leaving to the last attempt for it
	databaseTimeoutSlack = 150 * time.Millisecond // of the timeout given to a database
	answerDelay          = 100 * time.Millisecond // from an answer until its content counts as known
)

// Violation describes one violation of an invariant.
type Violation struct {
	Name       Name
	Request    string // the client's name for it
	Client     uint64 // the number of its connection
	Database   policy.HostID
	Transition string        // the checked step: send, answer, close, ...
	Excess     time.Duration // over the limit; 0: the invariant has no limit
}

// Guard checks the invariants of one gateway. A nil Guard checks nothing. It is not safe for concurrent use.
type Guard struct {
	settings      policy.Settings
	report        func(Violation)
	counts        *stats.NamedCounters
	hosts         map[policy.HostID]*host
	newestPrimary primaryProgress
}

const (
	maxRoleAge       = time.Second // since a host reported its role, until that role is no longer relied on
	maxPositionError = time.Second // by which an invalid position may be wrong
)

// primaryProgress is the position of a primary, which is the time on the databases' clock, as of a local time.
type primaryProgress struct{ position, asOf time.Duration }

// host is what has been recorded of a database.
type host struct {
	replicaAt time.Duration // when it last reported to be a replica; 0: not since it was a primary
	position  time.Duration // the newest reported by it or by other gateways

	leaving     bool // it drains or is gone
	leavingAt   time.Duration
	suspended   bool // by an operator override
	suspendedAt time.Duration
}

// New returns a guard for a gateway with these settings. It calls report for each violation.
func New(settings policy.Settings, report func(Violation)) *Guard {
	return &Guard{
		settings: settings, report: report, counts: stats.NewNamedCounters("violations", nameTexts[:]), hosts: map[policy.HostID]*host{},
	}
}

// Count returns how often an invariant was violated.
func (g *Guard) Count(n Name) uint64 {
	if g == nil {
		return 0
	}
	return g.counts.Count(int(n))
}

// Metrics appends the counts, one per line.
func (g *Guard) Metrics(b []byte) []byte { return g.counts.Append(b) }

// record counts and reports a violation.
func (g *Guard) record(v Violation) {
	g.counts.Add(int(v.Name))
	g.report(v)
}

// RecordViolation counts and reports a violation that was found elsewhere.
func (g *Guard) RecordViolation(v Violation) {
	if g != nil {
		g.record(v)
	}
}

// host returns the record of a database, which it creates if there is none.
func (g *Guard) host(id policy.HostID) *host {
	h := g.hosts[id]
	if h == nil {
		h = &host{}
		g.hosts[id] = h
	}
	return h
}

// RecordStatus records a database's status in the list. The time at which it first was draining or gone stays.
func (g *Guard) RecordStatus(id policy.HostID, status policy.Status, now time.Duration) {
	if g == nil {
		return
	}
	leaving := status == policy.Draining || status == policy.Gone && !g.settings.GoneIsAdvisory
	h := g.hosts[id]
	switch {
	case h == nil && !leaving:
	case !leaving && status == policy.Healthy:
		h.leaving = false
	case leaving && (h == nil || !h.leaving):
		h = g.host(id)
		h.leaving, h.leavingAt = true, now
	}
}

// RecordSuspension records whether operators have suspended a database.
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

// RecordAnswer records the role and position in a database's answer; position 0: the answer has none.
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

// RecordPosition records a database's position as reported by another gateway.
func (g *Guard) RecordPosition(id policy.HostID, position time.Duration) {
	if g == nil {
		return
	}
	if h := g.hosts[id]; h != nil {
		h.position = max(h.position, position)
	}
}

// RecordPrimary records that another gateway got an answer from a database as primary.
func (g *Guard) RecordPrimary(id policy.HostID) {
	if g == nil {
		return
	}
	if h := g.hosts[id]; h != nil {
		h.replicaAt = 0
	}
}

// Attempt is an attempt that is about to be sent.
type Attempt struct {
	Now             time.Duration
	Request         string
	Client          uint64
	Database        policy.HostID
	Class           int
	Deadline        time.Duration // of the request, by its client's timeout
	DatabaseTimeout time.Duration // the timeout given to the database
	ClientGoneTime  time.Duration // when its client left; 0: it has not
	MayRun          bool          // an earlier attempt may have had its effect
	MayRunSince     time.Duration // when the first of these was begun
	Answered        bool          // the request has its final answer
	OtherAttempts   int           // other outstanding attempts of the request
}

// CheckAttempt checks an attempt. Every request passes through it.
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
	if excess := attempt.DatabaseTimeout - databaseTimeoutSlack - max(0, attempt.Deadline-attempt.Now); excess > 0 {
		g.reportAttempt(attempt, DeadlineTooLong, excess)
	}
	if h := g.hosts[attempt.Database]; h != nil {
		g.checkDatabaseStatus(attempt, h)
		g.checkStaleness(attempt, h)
	}
}

// checkRetry checks an attempt after an earlier one that may have run.
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

// checkDatabaseStatus checks that a draining, gone or suspended database gets no new attempt.
func (g *Guard) checkDatabaseStatus(attempt *Attempt, h *host) {
	limit := g.settings.DrainGrace + socketSlack
	if h.leaving && attempt.Now > h.leavingAt+limit {
		g.reportAttempt(attempt, ToDraining, attempt.Now-h.leavingAt-limit)
	}
	if h.suspended && attempt.Now > h.suspendedAt+limit {
		g.reportAttempt(attempt, ToSuspended, attempt.Now-h.suspendedAt-limit)
	}
}

// checkStaleness checks a read with a staleness bound at a replica, by the replica's own reports and the newest position
// of a primary. It does not apply where databases check reads themselves.
func (g *Guard) checkStaleness(attempt *Attempt, h *host) {
	if g.settings.StaleReadMode != policy.StaleReadServe || attempt.Class < 0 || attempt.Class >= len(g.settings.Classes) ||
		g.newestPrimary.asOf == 0 {
		return
	}
	class := &g.settings.Classes[attempt.Class]
	known := h.replicaAt > 0 && attempt.Now >= h.replicaAt+answerDelay && attempt.Now <= h.replicaAt+maxRoleAge
	if class.Level != policy.Recent || !known {
		return
	}
	age := g.newestPrimary.position + attempt.Now - g.newestPrimary.asOf - h.position
	if excess := age - class.Bound - socketSlack - maxPositionError; excess > 0 {
		g.reportAttempt(attempt, StaleRead, excess)
	}
}

func (g *Guard) reportAttempt(attempt *Attempt, name Name, excess time.Duration) {
	g.record(Violation{
		Name: name, Request: attempt.Request, Client: attempt.Client, Database: attempt.Database, Transition: "send", Excess: excess,
	})
}

// CheckAnswer checks a final answer.
func (g *Guard) CheckAnswer(request string, client uint64, answered bool) {
	if g != nil && answered {
		g.record(Violation{Name: AnsweredTwice, Request: request, Client: client, Transition: "answer"})
	}
}

// CheckClose checks that a connection which the gateway closes has no unanswered request.
func (g *Guard) CheckClose(client uint64, request string, pending int) {
	if g != nil && pending > 0 {
		g.record(Violation{Name: ClosedUnanswered, Client: client, Request: request, Transition: "close"})
	}
}

// CheckReady checks a report of readiness: requests must be servable.
func (g *Guard) CheckReady(servable bool) {
	if g != nil && !servable {
		g.record(Violation{Name: ReadyTooEarly, Transition: "ready"})
	}
}

// CheckOverrideKept checks the acknowledgement of an operator override: it must be kept.
func (g *Guard) CheckOverrideKept(kept bool) {
	if g != nil && !kept {
		g.record(Violation{Name: OverrideNotKept, Transition: "word"})
	}
}
