// Replicas: how far each has come, and which one serves a read.

package policy

import (
	"math"
	"time"
)

// learnPosition keeps positions rising: an old report stays a floor.
func (r *Router) learnPosition(h *host, pos time.Duration) {
	h.lag = r.databaseTime() - pos
	if pos > h.pos {
		h.pos = pos
		r.retryWaiting(h.group)
	}
}

func (r *Router) onReport(h *host, rep Report) {
	if rep.HasPosition && r.Plausible(rep.Position) {
		r.learnPosition(h, rep.Position)
		// A primary stands at the present, which dates its report; a replica's is as new as its position.
		r.learnRole(h, rep.Role, rep.Position-r.clock.offset)
	}
}

// required is the position a member must have to serve q if sent now.
func (r *Router) required(q *request) time.Duration {
	switch {
	case q.class.Level == Recent && r.set.StaleReadMode == StaleReadServe && !r.knowsTime():
		return long
	case q.class.Level == Recent:
		return max(1, r.databaseTime()-q.class.Bound)
	case q.class.Level == Latest:
		return q.arrived + r.clock.offset
	case q.class.Level == OwnWrites && r.set.TracksSessions:
		return max(r.base, r.marks[q.Session])
	case q.class.Level == OwnWrites && q.LastCommitAge != 0:
		return q.arrived - q.LastCommitAge // a commit as it was told, whatever the clocks say
	}
	return 0
}

// pickReplica finds a member for a read: one that fits, of the own zone unless far busier, in turn.
func (r *Router) pickReplica(q *request) *host {
	fit, least := []*host(nil), math.Inf(1)
	for _, h := range q.g.hosts {
		switch {
		case h == q.g.primary || q.tried(h) || !r.mayTake(h, false) || !r.room(h, q):
		case h.pos < r.required(q) && (r.set.StaleReadMode == StaleReadServe || !r.shouldFit(q, h)):
			// Where hosts check reads it is enough that one should fit, or all would crowd on one.
		case r.warmth(h) >= 1:
			fit, least = append(fit, h), min(least, r.cost(h))
		case r.coldRoom(h, q):
			return h
		}
	}
	var best *host
	for _, h := range fit {
		switch {
		case r.heavy(q) && best != nil && h.id > best.id, !r.heavy(q) && r.cost(h) > least*equalCost:
		case best == nil, r.heavy(q), h.first && !best.first, h.first == best.first && h.sentAt < best.sentAt:
			best = h
		}
	}
	return best
}

// heavy reads run long enough to hold up a replica's log past the tightest bound. All routers put them on the
// same member of a group, the first by id that has room: the others stay fresh.
func (r *Router) heavy(q *request) bool {
	return q.class.Level == Loose && r.latency[q.Class] > r.bound.Seconds()/2
}

// shouldFit goes by how far behind h was when last heard of.
func (r *Router) shouldFit(q *request, h *host) bool { return r.databaseTime()-h.lag >= r.required(q) }

func (r *Router) cost(h *host) float64 {
	slow := h.slow
	if len(h.out) > 0 {
		// A host that sits on its oldest attempt is as slow as that shows.
		slow = max(slow, (r.now-h.out[0].sentAt).Seconds()/r.latency[h.out[0].q.Class])
	}
	return slow * float64(len(h.out)+1) * float64(h.fails+1)
}
