// Attempts: how they start and end, and what is reported of them.

package gateway

import (
	"time"

	"lilaccove/internal/invariant"
	"lilaccove/policy"
)

// BeginAttempt reports that the first byte of an attempt is about to be written, and returns the time remaining until a
// deadline, which is sent to the database: whole milliseconds, rounded up. 0 means that it is too late to begin, and the attempt
// must not be written. The clock is read once, after everything that precedes the write, so that a stall of this process before
// then is not counted as remaining time.
func (g *Gateway) BeginAttempt(attempt *Attempt, until time.Duration) (remaining time.Duration) {
	now := g.loop.Clock()
	if attempt.BeginBy > 0 && now >= attempt.BeginBy || g.stalled(attempt, now) {
		return 0
	}
	attempt.started = true
	remaining = max(1, (until-now+time.Millisecond-1)/time.Millisecond) * time.Millisecond
	if g.guard != nil {
		g.checkAttempt(attempt, now, remaining)
	}
	return remaining
}

// stalled reports whether this process was held up since an attempt was decided for so long that the list behind the decision
// may be too old. The attempt is decided again, after what has arrived meanwhile.
func (g *Gateway) stalled(attempt *Attempt, now time.Duration) bool {
	stall := g.loop.StallTime() - attempt.stallTime + now - g.loop.Now()
	return g.maxStall > 0 && stall > g.maxStall
}

// checkAttempt has the guard check an attempt that is about to be written.
func (g *Gateway) checkAttempt(attempt *Attempt, now, databaseTimeout time.Duration) {
	req := attempt.request
	check := invariant.Attempt{
		Now: now, Request: req.Name, Client: req.ConnectionID, Database: attempt.Host, Class: req.Class,
		Deadline: req.Deadline, DatabaseTimeout: databaseTimeout, ClientGoneTime: req.clientGoneAt,
		MayRun: req.mayHaveRun, MayRunSince: req.mayHaveRunAt, Answered: req.finished && req.clientGoneAt == 0,
	}
	for _, other := range req.attempts {
		if other != attempt && other.started && !other.done {
			check.OtherAttempts++
		}
	}
	g.guard.CheckAttempt(&check)
}

// Written reports that the kernel has accepted the last byte of an attempt. It may be called repeatedly for one attempt.
func (g *Gateway) Written(attempt *Attempt) {
	if !attempt.written {
		attempt.written = true
		g.counts.Class(attempt.request.Class).Attempts++
	}
}

// Resolved reports how an attempt ended. The first value goes to the client at once.
func (g *Gateway) Resolved(attempt *Attempt, outcome policy.Outcome, reply Reply) {
	if attempt.done {
		return
	}
	attempt.done = true
	req := attempt.request
	req.inFlight--
	if attempt.reported {
		g.streamEnded(attempt, outcome, reply)
		return
	}
	if reply.HasPosition && g.router.Plausible(reply.Position) {
		g.guard.RecordPosition(attempt.Host, reply.Position) // a rejection has one, too
	}
	g.reportPosition(attempt.Host, reply.HasPosition, reply.Position)
	g.reportPosition(attempt.Host, reply.Report.HasPosition, reply.Report.Position)
	if outcome == policy.OK {
		g.guard.RecordAnswer(attempt.Host, reply.Role, reply.Position, g.loop.Now())
		g.notifyAccepted(attempt)
		if reply.Role == policy.Primary && g.onPrimary != nil {
			g.onPrimary(attempt.Host, attempt.sentAt)
		}
	}
	if outcome == policy.OK && g.markFinished(req) {
		g.counts.Class(req.Class).Served++
		req.Client.Served(reply.Value)
	}
	if outcome.MayHaveRun() && !req.mayHaveRun {
		req.mayHaveRun, req.mayHaveRunAt = true, attempt.sentAt
	}
	g.finishCancelled(req)
	g.events = append(g.events, policy.Result{
		Request: req.id, Attempt: attempt.number, Host: attempt.Host, Outcome: outcome, Latency: g.latency(attempt.sentAt),
		Finished: req.finished, Role: reply.Role, Position: reply.Position, HasPosition: reply.HasPosition, Report: reply.Report,
	})
	g.release(req)
}

// LateAnswer reports what a database answered to an attempt that had been given up. Its role counts if it is a replica; that
// it was a primary may be older than what others have reported since, and is ignored.
func (g *Gateway) LateAnswer(host policy.HostID, reply Reply) {
	if reply.Role == policy.Replica {
		g.events = append(g.events, policy.Result{Host: host, Attempt: -1, Outcome: policy.NotSent, Finished: true, Role: reply.Role})
	}
}

// latency returns the time since something was sent, without the time for which the answer may have waited for this process
// to read it: that delay is not the host's.
func (g *Gateway) latency(sent time.Duration) time.Duration {
	return max(0, g.loop.Now()-g.loop.MaxEventAge()-sent)
}

// send starts an attempt and turns its timeout into a deadline. An attempt of a finished
// request is not sent.
func (g *Gateway) send(action policy.Send) {
	now := g.loop.Now()
	req := g.requests[action.Request]
	if req == nil || req.finished {
		index := 0
		if req != nil {
			index = len(req.attempts)
			req.attempts = append(req.attempts, &Attempt{request: req, number: index, done: true})
		}
		g.events = append(g.events, policy.Result{
			Request: action.Request, Attempt: index, Host: action.Host, Outcome: policy.NotSent, Finished: true,
		})
		return
	}
	attempt := &Attempt{
		Host: action.Host, Statement: req.Statement, Deadline: req.Deadline,
		request: req, number: len(req.attempts), sentAt: g.actionTime, stallTime: g.loop.StallTime(),
	}
	if action.Timeout != 0 {
		attempt.Deadline = min(attempt.Deadline, now+action.Timeout)
	}
	if attempt.BeginBy = attempt.Deadline; action.BeginWithin != 0 {
		attempt.BeginBy = min(attempt.BeginBy, now+action.BeginWithin)
	}
	if attempt.number > 0 {
		g.retryLog.Printf(now, "event=retried request=%q client=%d class=%d attempt=%d database=%s before=%s may_run=%t",
			req.Name, req.ConnectionID, req.Class, attempt.number, attempt.Host, req.attempts[attempt.number-1].Host, req.mayHaveRun)
	}
	req.attempts = append(req.attempts, attempt)
	req.inFlight++
	if g.observer != nil {
		g.observer.Sent(action.Host, req.Group)
	}
	g.backends.Send(attempt)
}
