// Attempts: how each is begun, how it ends, and what it tells.

package gateway

import (
	"time"

	"lilaccove/internal/invariant"
	"lilaccove/policy"
)

// Begun tells that the first byte of an attempt is written now, and returns the time that its database is told to have until
// a moment: whole milliseconds, rounded up; 0: its time to begin is over, and it is not to be written. The clock is read once,
// behind all that comes before the write, so that nothing that holds this process up meanwhile is told as left.
func (g *Gateway) Begun(a *Attempt, until time.Duration) (left time.Duration) {
	now := g.loop.Clock()
	if a.BeginBy > 0 && now >= a.BeginBy {
		return 0
	}
	a.begun = true
	left = max(1, (until-now+time.Millisecond-1)/time.Millisecond) * time.Millisecond
	if g.guard != nil {
		g.check(a, now, left)
	}
	return left
}

// check has the guard judge an attempt that is about to be written.
func (g *Gateway) check(a *Attempt, now, told time.Duration) {
	q := a.q
	s := invariant.Attempt{
		Now: now, Request: q.Name, Client: q.ConnectionID, Database: a.Host, Class: q.Class, Deadline: q.Deadline, DatabaseTimeout: told,
		ClientGoneTime: q.leftAt, MayRun: q.mayRun, MayRunSince: q.mayRunAt, Answered: q.over && q.leftAt == 0,
	}
	for _, o := range q.attempts {
		if o != a && o.begun && !o.done {
			s.OtherAttempts++
		}
	}
	g.guard.CheckAttempt(&s)
}

// Written tells that the kernel has taken the last byte of an attempt; it may be told again.
func (g *Gateway) Written(a *Attempt) {
	if !a.whole {
		a.whole = true
		g.counts.Of(a.q.Class).Tries++
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
		g.guard.RecordAnswer(a.Host, r.Role, r.Position, g.loop.Now())
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
	if a.BeginBy = a.Deadline; s.BeginWithin != 0 {
		a.BeginBy = min(a.BeginBy, now+s.BeginWithin)
	}
	if a.number > 0 {
		g.logRetry.Printf(now, "event=retried request=%q client=%d class=%d attempt=%d database=%s before=%s may_run=%t",
			q.Name, q.ConnectionID, q.Class, a.number, a.Host, q.attempts[a.number-1].Host, q.mayRun)
	}
	q.attempts = append(q.attempts, a)
	q.out++
	if g.acts != nil {
		g.acts.Sent(s.Host, q.Group)
	}
	g.backends.Send(a)
}
