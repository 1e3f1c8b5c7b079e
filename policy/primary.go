// Primaries: which host has which role, the primary search, and the breaker on the primary of each group.

package policy

import (
	"cmp"
	"time"
)

// learnRole records a host's role as of a time. A report that arrives late does not replace a newer one.
func (r *Router) learnRole(h *host, role Role, asOf time.Duration) {
	if role == RoleUnknown || asOf < h.roleAt {
		return
	}
	g := h.group
	switch h.roleAt = asOf; {
	case role == Replica && g.primary == h:
		g.primary, g.primaryLostAt = nil, r.now
		r.startPrimarySearch(g)
	case role == Replica, g.primary != nil && g.primary != h && g.primary.roleAt > asOf:
		return
	case g.primary != h:
		g.primary, g.failures, g.breakerTrips = h, 0, 0
		r.retryWaiting(g)
	}
	holding := r.now-g.breakerOpenedAt < suspectProbeInterval<<min(g.breakerTrips, 5)-suspectProbeInterval
	if role == Primary && g.breakerOpen && asOf > g.breakerOpenedAt && !holding {
		g.breakerOpen, g.failures = false, 0
		r.retryWaiting(g)
	}
}

// countPrimaryFailure counts a failure of the primary; a success resets the count. A primary whose answers
// are lost still passes probes. So if the breaker opens again without a success in between, probes cannot
// close it for a time that doubles with each opening.
func (r *Router) countPrimaryFailure(h *host) {
	if g := h.group; g.primary == h && !g.breakerOpen {
		if g.failures++; g.failures >= breakerThreshold {
			g.breakerOpen, g.breakerOpenedAt, g.breakerTrips = true, r.now, g.breakerTrips+1
			r.emit(Log{Text: "breaker opens on " + string(h.id)})
			r.retryWaiting(g)
		}
		r.startPrimarySearch(g)
	}
}

// allowsHalfOpenTrial reports whether req is sent to the primary although the breaker is open. If the primary
// has passed a probe since the opening, one request is sent after each pause. The pause doubles with each
// opening, and is ten times as long for requests that need the primary.
func (r *Router) allowsHalfOpenTrial(req *request) bool {
	primary, pause := req.group.primary, suspectProbeInterval<<min(max(req.group.breakerTrips, 1)-1, 5)
	if req.needsPrimary() {
		pause *= 10
	}
	return req.group.breakerOpen && primary != nil && primary.aliveAt > req.group.breakerOpenedAt &&
		r.now-primary.sentAt >= pause && r.acceptsWork(primary, req.class.Level == Write) &&
		!req.hasTried(primary) && r.takeColdBudget(primary, req)
}

// pickReplicaForWrite returns a replica to which a write is sent before it is sent to the primary or refused.
// The replica rejects it, and the rejection reports position and role where probes report neither. A small
// fleet does so only if a read has found no fresh replica.
func (r *Router) pickReplicaForWrite(req *request) (best *host) {
	if req.class.Level != Write || len(req.attempts) > 0 || !r.probesLackRole ||
		r.tightestBound == maxDuration {
		return nil
	}
	fresh, smallFleet := false, r.settings.Routers <= smallFleetSize
	for _, h := range req.group.hosts {
		switch {
		case smallFleet && (!req.group.noFreshReplica || r.now-h.sentAt < 5*rareResultInterval):
		case h == req.group.primary || !r.acceptsWork(h, false) ||
			h.failures > 0 && r.now-h.resultAt < 2*rareResultInterval:
		case h.position > r.databaseTime()-r.tightestBound/2:
			fresh = true
		case best == nil || h.sentAt < best.sentAt:
			best = h
		}
	}
	if best == nil || fresh && best.position > 0 || !r.takeColdBudget(best, req) {
		return nil
	}
	return best
}

// memberWithOldestRole returns the member whose role was reported longest ago, if only the rejection of a
// write can report it.
func (r *Router) memberWithOldestRole(req *request) (oldest *host) {
	if r.settings.CanProbe && !r.probesLackRole || req.class.Level != Write {
		return nil
	}
	for _, h := range req.group.hosts {
		older := oldest == nil || h.roleAt < oldest.roleAt
		if older && r.acceptsWork(h, true) && !req.hasTried(h) && r.takeColdBudget(h, req) {
			oldest = h
		}
	}
	return oldest
}

// recordFailure counts a failed attempt at h; late: it got no answer in time.
func (r *Router) recordFailure(h *host, late bool) {
	h.latencyRatio = cmp.Or(h.latencyRatio, 1)
	if h.failures++; late && h.failures < 3 { // a host that only fails does not lack capacity
		r.adjustAdmission(h, admitLateFactor)
	}
	r.countPrimaryFailure(h)
}

// startPrimarySearch starts to look for the primary of g, or to check whether it still answers.
func (r *Router) startPrimarySearch(g *group) {
	if !g.searching && r.settings.CanProbe {
		g.searchStartedAt = r.now
		r.searchPrimary(g)
	}
}

// searchPrimary probes the primary, or every member while the breaker is open or the primary is unknown, at
// growing intervals, until a primary has answered, for at most 50 times suspectProbeInterval. If probes
// report no role, only the primary is probed, and the whole fleet shares one rate of probes.
func (r *Router) searchPrimary(g *group) {
	g.searching = false
	searchAll := g.breakerOpen || g.primary == nil
	if !searchAll && (g.failures == 0 || g.primary.roleAt > g.searchStartedAt) {
		return
	}
	pause := max(suspectProbeInterval, (r.now-g.searchStartedAt)/4)
	if r.probesLackRole {
		pause = max(pause, fleetProbeInterval*time.Duration(r.settings.Routers))
	}
	for _, h := range g.hosts {
		if searchAll && !r.probesLackRole || h == g.primary {
			r.probe(h)
		}
	}
	if r.now-g.searchStartedAt < 50*suspectProbeInterval {
		g.searching = true
		r.wakeAt(r.now+r.jitter(pause), func() { r.searchPrimary(g) })
	}
}

// probesUnreliable reports that too many probes are lost or that none may be sent, so that only a request can
// close a breaker.
func (r *Router) probesUnreliable() bool { return !r.settings.CanProbe || r.probeLoss > maxProbeLoss }
