// Results of attempts, and what they show about a host's health.

package policy

import (
	"cmp"
	"slices"
	"time"
)

// onResult applies the end of an attempt, and sends its request again or ends it.
func (r *Router) onResult(e Result) {
	h := r.hosts[e.Host]
	if h == nil {
		return
	}
	r.onReport(h, e.Report)
	r.learnRole(h, e.Role, r.now)
	req := r.requests[e.Request]
	if req == nil || e.Attempt < 0 || e.Attempt >= len(req.attempts) || req.attempts[e.Attempt].resolved {
		return
	}
	a := req.attempts[e.Attempt]
	a.resolved = true
	req.outstanding--
	h.outstanding = slices.DeleteFunc(h.outstanding, func(o *attempt) bool { return o == a })
	if len(h.outstanding) == 0 && h.resultInterval > rareResultInterval {
		r.wakeAt(h.sentAt+rareResultInterval, func() {
			if len(h.outstanding) == 0 && r.now-h.sentAt >= rareResultInterval {
				r.emit(CloseIdleConnections{Host: h.id})
			}
		})
	}
	r.retryWaiting(h.group)
	if e.Outcome == OK && e.HasPosition {
		r.observeDatabaseTime(a, e.Role, e.Position)
	}
	if e.Outcome == OK && e.Role == Primary {
		// A primary that serves a request had reached the time of its sending. A hung one still rejects
		// requests as primary, which says nothing about its position.
		r.learnPosition(h, a.sentAt+r.clock.offset)
	}
	if e.HasPosition && r.Plausible(e.Position) {
		position := e.Position
		if e.Outcome == OK && req.class.Level == Write {
			position -= r.settings.PositionGranularity
			r.recordCommit(req.Session, e.Position)
		}
		r.learnPosition(h, position)
	}
	ranBefore := e.Outcome == Error && req.mayHaveRun // an error of a request that may have run before
	r.recordOutcome(a, e.Outcome, e.Latency, ranBefore)
	req.mayHaveRun = req.mayHaveRun || e.Outcome.MayHaveRun()
	if !req.mayHaveRun && req.outstanding == 0 {
		req.mayHaveRunSince = 0
	}
	req.failed = req.failed || !slices.Contains([]Outcome{OK, Miss, NotSent}, e.Outcome)
	req.missed = req.missed || e.Outcome == Miss && req.class.Level == Write
	switch {
	case e.Finished || e.Outcome == OK || req.done:
		r.finish(req)
	case req.outstanding > 0:
	case ranBefore, req.missed && req.group.primary != nil && req.hasTried(req.group.primary),
		e.Outcome == AtCapacity && h == req.group.primary:
		// Most likely the request itself is at fault, or a retry would add load where no capacity is left.
		r.giveUp(req, RetryPointless)
	default:
		r.route(req)
	}
}

// onSessionCommitted applies a commit that no Result carried.
func (r *Router) onSessionCommitted(e SessionCommitted) {
	if r.settings.Classes[e.Class].Level == Write && r.Plausible(e.Position) {
		r.recordCommit(e.Session, e.Position)
	}
}

// recordCommit keeps the newest commit of a session, if sessions are tracked here.
func (r *Router) recordCommit(session SessionID, commit time.Duration) {
	if r.settings.TracksSessions {
		r.sessionCommits[session] = max(r.sessionCommits[session], commit)
	}
}

// recordOutcome updates the health of the attempt's host. ranBefore: the outcome is an error, and an earlier
// attempt may have run.
func (r *Router) recordOutcome(a *attempt, outcome Outcome, latency time.Duration, ranBefore bool) {
	h, class := a.host, a.req.Class
	h.resultInterval += time.Duration(smoothingWeight * float64(r.now-h.resultAt-h.resultInterval))
	h.resultAt = r.now
	if r.capacityShare(h) < 1 && (outcome == OK || outcome == AtCapacity || outcome == Timeout) {
		elapsed := min(1, (r.now - r.coldHealthAt).Seconds()) // since the last answer of a cold host
		r.coldHealthAt = r.now
		if r.coldHealth = min(1, r.coldHealth+elapsed/8); outcome != OK ||
			latency.Seconds() > highStrain*a.req.class.Aim.Seconds() {
			r.coldHealth = max(0, r.coldHealth-elapsed)
		}
	}
	switch outcome {
	case OK:
		warmHosts := 0.0 // a cold host counts as the share of a warm one that it can do
		for _, member := range h.group.hosts {
			if member.status != Gone {
				warmHosts += r.capacityShare(member)
			}
		}
		r.servedWork += r.workOf(class) / max(1, warmHosts) / float64(max(1, len(r.usedGroups)))
		ratio := min(latency.Seconds()/r.meanLatency[class], 20)
		h.latencyRatio = cmp.Or(h.latencyRatio, ratio)
		h.latencyRatio += smoothingWeight * (ratio - h.latencyRatio)
		r.meanLatency[class] += smoothingWeight / 5 * (latency.Seconds() - r.meanLatency[class])
		h.failures = 0
		if h.group.primary == h {
			h.group.failures, h.group.breakerTrips = 0, 0
		}
		h.strain += smoothingWeight * h.weight(5) * (latency.Seconds()/a.req.class.Aim.Seconds() - h.strain)
		if latency < a.req.class.Aim*2/3 {
			r.adjustAdmission(h, admitIncreaseFactor)
		} else if !a.overdue {
			r.adjustAdmission(h, admitLateFactor)
		}
		if h.strain > highStrain {
			r.reduceLimit(h)
		} else if float64(len(h.outstanding)+1) > 0.6*h.limit {
			h.limit += min(h.limit, 1/h.limit) / 2
		}
	case AtCapacity:
		r.adjustAdmission(h, admitRejectedFactor)
		r.reduceLimit(h)
	case Error, Timeout, Reset, ConnectFailed:
		// The timeout of a read sent late in its aim shows nothing, nor does an error after an attempt that
		// may have run.
		if !a.overdue && (outcome != Timeout || latency >= a.req.class.Aim/2) && !ranBefore {
			r.recordFailure(h, outcome == Timeout)
		}
	case Miss:
		if a.req.class.Level == Write {
			r.countPrimaryFailure(h)
		} else {
			h.lag = max(h.lag,
				r.databaseTime()-r.requiredPosition(a.req)+r.settings.StaleReadHoldTime+r.settings.Tick)
		}
	}
}
