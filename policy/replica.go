// Replicas: the replication position of each, and which one serves a read.

package policy

import (
	"math"
	"time"
)

// learnPosition records a host's position. Positions only rise: an old report stays a lower bound.
func (r *Router) learnPosition(h *host, position time.Duration) {
	h.lag = r.databaseTime() - position
	if position > h.position {
		h.position = position
		r.retryWaiting(h.group)
	}
}

// onReport applies what a host reports of itself.
func (r *Router) onReport(h *host, report Report) {
	if report.HasPosition && r.Plausible(report.Position) {
		r.learnPosition(h, report.Position)
		// A primary's position is the time of its report; a replica's report is at least as new as its
		// position.
		r.learnRole(h, report.Role, report.Position-r.clock.offset)
	}
}

// requiredPosition returns the position that a member must have reached to serve req now.
func (r *Router) requiredPosition(req *request) time.Duration {
	switch {
	case req.class.Level == Recent && r.settings.StaleReadMode == StaleReadServe && !r.knowsDatabaseTime():
		return maxDuration
	case req.class.Level == Recent:
		return max(1, r.databaseTime()-req.class.Bound)
	case req.class.Level == Latest:
		return req.arrivedAt + r.clock.offset
	case req.class.Level == OwnWrites && r.settings.TracksSessions:
		return max(r.forgottenCommit, r.sessionCommits[req.Session])
	case req.class.Level == OwnWrites && req.LastCommitAge != 0:
		return req.arrivedAt - req.LastCommitAge // already on the databases' clock
	}
	return 0
}

// pickReplica returns a member for a read: among suitable ones of about the lowest cost, the preferred ones
// first, in turn.
func (r *Router) pickReplica(req *request) *host {
	candidates, lowestCost := []*host(nil), math.Inf(1)
	for _, h := range req.group.hosts {
		switch {
		case h == req.group.primary || req.hasTried(h) || !r.acceptsWork(h, false) || !r.hasCapacity(h, req):
		case h.position < r.requiredPosition(req) &&
			(r.settings.StaleReadMode == StaleReadServe || !r.likelyFresh(req, h)):
			// If hosts check reads themselves, a host is used that is likely fresh, or all reads would go to
			// one.
		case r.capacityShare(h) >= 1:
			candidates, lowestCost = append(candidates, h), min(lowestCost, r.cost(h))
		case r.takeColdBudget(h, req):
			return h
		}
	}
	var best *host
	for _, h := range candidates {
		switch {
		case r.isLongRead(req) && best != nil && h.id > best.id,
			!r.isLongRead(req) && r.cost(h) > lowestCost*equalCostFactor:
		case best == nil, r.isLongRead(req), h.preferred && !best.preferred,
			h.preferred == best.preferred && h.sentAt < best.sentAt:
			best = h
		}
	}
	return best
}

// isLongRead reports whether req runs long enough to delay a replica's log beyond the tightest staleness
// bound. All routers send such reads to the same member of a group, the first by ID that has capacity; the
// others stay fresh.
func (r *Router) isLongRead(req *request) bool {
	return req.class.Level == Loose && r.meanLatency[req.Class] > r.tightestBound.Seconds()/2
}

// likelyFresh reports whether h is fresh enough for req if its lag is still the last reported one.
func (r *Router) likelyFresh(req *request, h *host) bool {
	return r.databaseTime()-h.lag >= r.requiredPosition(req)
}

// cost estimates the relative time that a further attempt at h takes.
func (r *Router) cost(h *host) float64 {
	latencyRatio := h.latencyRatio
	if len(h.outstanding) > 0 {
		// The host is at least as slow as its oldest unanswered attempt.
		latencyRatio = max(latencyRatio,
			(r.now-h.outstanding[0].sentAt).Seconds()/r.meanLatency[h.outstanding[0].req.Class])
	}
	return latencyRatio * float64(len(h.outstanding)+1) * float64(h.failures+1)
}
