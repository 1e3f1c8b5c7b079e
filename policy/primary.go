// Primaries: evidence of roles, and the breaker on the primary of each group.

package policy

import (
	"cmp"
	"time"
)

// learnRole orders evidence by when it was true: what is told late does not unseat what is known to be newer.
func (r *Router) learnRole(h *host, role Role, at time.Duration) {
	if role == RoleUnknown || at < h.roleAt {
		return
	}
	g := h.group
	switch h.roleAt = at; {
	case role == Replica && g.primary == h:
		g.primary, g.lostAt = nil, r.now
		r.doubt(g)
	case role == Replica, g.primary != nil && g.primary != h && g.primary.roleAt > at:
		return
	case g.primary != h:
		g.primary, g.fails, g.trips = h, 0, 0
		r.retryWaiting(g)
	}
	held := r.now-g.openedAt < probeSoon<<min(g.trips, 5)-probeSoon
	if role == Primary && g.open && at > g.openedAt && !held {
		g.open, g.fails = false, 0
		r.retryWaiting(g)
	}
}

// countFailure counts a failure of the primary; a success resets the count. When a breaker opens again with
// no success between, probes, which a primary that loses answers passes, close it after a doubling hold.
func (r *Router) countFailure(h *host) {
	if g := h.group; g.primary == h && !g.open {
		if g.fails++; g.fails >= breakerThreshold {
			g.open, g.openedAt, g.trips = true, r.now, g.trips+1
			r.emit(Log{Text: "breaker opens on " + string(h.id)})
			r.retryWaiting(g)
		}
		r.doubt(g)
	}
}

// mayTry: one request at a time goes to the primary of an open breaker that passed a probe since then.
func (r *Router) mayTry(q *request) bool {
	p, pause := q.g.primary, probeSoon<<min(max(q.g.trips, 1)-1, 5)
	if q.onlyPrimary() {
		pause *= 10
	}
	return q.g.open && p != nil && p.upAt > q.g.openedAt && r.now-p.sentAt >= pause &&
		r.mayTake(p, q.class.Level == Write) && !q.tried(p) && r.coldRoom(p, q)
}

// onTheWay is a replica that a write calls at before it goes to the primary, or is refused: turned away it
// brings position and role, where probes tell neither. Few routers need that for want of a fresh one only.
func (r *Router) onTheWay(q *request) (best *host) {
	if q.class.Level != Write || len(q.attempts) > 0 || !r.mute || r.bound == long {
		return nil
	}
	fresh, few := false, r.set.Routers <= fewRouters
	for _, h := range q.g.hosts {
		switch {
		case few && (!q.g.noFreshReplica || r.now-h.sentAt < 5*seldom):
		case h == q.g.primary || !r.mayTake(h, false) || h.fails > 0 && r.now-h.judgedAt < 2*seldom:
		case h.pos > r.databaseTime()-r.bound/2:
			fresh = true
		case best == nil || h.sentAt < best.sentAt:
			best = h
		}
	}
	if best == nil || fresh && best.pos > 0 || !r.coldRoom(best, q) {
		return nil
	}
	return best
}

// leastKnown is the member whose role was heard of longest ago, where only a write, turned away, can tell it.
func (r *Router) leastKnown(q *request) (oldest *host) {
	if r.set.CanProbe && !r.mute || q.class.Level != Write {
		return nil
	}
	for _, h := range q.g.hosts {
		older := oldest == nil || h.roleAt < oldest.roleAt
		if older && r.mayTake(h, true) && !q.tried(h) && r.coldRoom(h, q) {
			oldest = h
		}
	}
	return oldest
}

func (r *Router) failed(h *host, late bool) {
	h.slow = cmp.Or(h.slow, 1)
	if h.fails++; late && h.fails < 3 { // a host that only fails is not short of room
		r.throttle(h, admitLate)
	}
	r.countFailure(h)
}

// doubt begins to look for the primary of g, or whether it still answers.
func (r *Router) doubt(g *group) {
	if !g.seeking && r.set.CanProbe {
		g.doubtAt = r.now
		r.seek(g)
	}
}

// seek probes the primary, or every member while the breaker is open or the primary unknown, ever slower,
// until a primary has answered. Where probes tell no role only the primary is, at all routers' shared cost.
func (r *Router) seek(g *group) {
	g.seeking = false
	all := g.open || g.primary == nil
	if !all && (g.fails == 0 || g.primary.roleAt > g.doubtAt) {
		return
	}
	pause := max(probeSoon, (r.now-g.doubtAt)/4)
	if r.mute {
		pause = max(pause, probePace*time.Duration(r.set.Routers))
	}
	for _, h := range g.hosts {
		if all && !r.mute || h == g.primary {
			r.probe(h)
		}
	}
	if r.now-g.doubtAt < 50*probeSoon {
		g.seeking = true
		r.wakeAt(r.now+r.jitter(pause), func() { r.seek(g) })
	}
}

// blind: probes tell little or may not be sent, so only a request can close a breaker.
func (r *Router) blind() bool { return !r.set.CanProbe || r.lost > lostProbes }
