// Routing: each request is sent, kept waiting or answered.

package policy

import (
	"cmp"
	"slices"
	"time"
)

func (r *Router) onRequest(e Request) {
	if r.requests[e.ID] != nil || e.Class < 0 || e.Class >= len(r.set.Classes) {
		return
	}
	c := &r.set.Classes[e.Class]
	q := &request{Request: e, class: c, g: r.groups[e.Group], arrived: r.now, deadline: r.now + e.Timeout}
	q.useful = q.deadline
	if c.LateWorth <= 0 {
		q.useful = min(q.deadline, r.now+c.Aim)
	}
	r.requests[e.ID] = q
	if q.g == nil {
		r.giveUp(q, UnknownGroup)
		return
	}
	r.used[q.g] = true
	r.asked += r.work(q.Class) / float64(max(1, len(q.g.hosts))*len(r.used))
	r.wakeAt(q.deadline-r.set.Tick, func() { r.onWake(q) })
	r.probeInTurn(q.g)
	r.route(q)
}

// route takes q one step on: a send, a final answer, or a wait.
func (r *Router) route(q *request) {
	switch {
	case q.done || q.out > 0:
		return
	case !r.mayResend(q):
		r.giveUp(q, RetryForbidden)
		return
	case r.now >= q.useful:
		r.giveUp(q, NoTimeLeft)
		return
	case r.fenced && q.class.Level == Write:
		r.giveUp(q, FencedOff)
		return
	case !r.mayAct():
		r.wait(q, r.begunAt+StartupTimeout)
		return
	case r.mayTry(q):
		r.send(q, q.g.primary)
		return
	case q.onlyPrimary():
		r.routePrimary(q)
		return
	}
	if h := r.pickReplica(q); h != nil {
		switch {
		case r.admits(q, h):
			r.send(q, h)
		case q.g.open || r.admit[true] < 1 || r.heavy(q):
			r.giveUp(q, Shed)
		default: // replicas are crowded, by long reads perhaps, while primaries admit all
			r.routePrimary(q)
		}
		return
	}
	q.g.noFreshReplica = q.g.noFreshReplica || q.class.Level == Recent
	if r.set.StaleReadMode == StaleReadServe && q.positionsUntil == 0 && r.probeForPositions(q) {
		// Positions age faster than probes come: they are asked for before the primary is burdened.
		q.positionsUntil = r.now + q.class.Aim/8
	}
	if r.now < q.positionsUntil && !q.g.open {
		r.wait(q, q.positionsUntil)
		return
	}
	r.routePrimary(q)
}

// routePrimary sends q to the primary while the breaker is closed. While it is open writes and latest reads
// are refused at once; other reads wait for a fitting replica until the aim.
func (r *Router) routePrimary(q *request) {
	g, p := q.g, q.g.primary
	if g.open && r.blind() && r.now-g.openedAt >= 5*probeSoon {
		g.open, g.fails = false, breakerThreshold-1
	}
	switch first := r.onTheWay(q); {
	case first != nil:
		r.send(q, first)
	case g.open && q.onlyPrimary():
		r.doubt(g)
		r.giveUp(q, BreakerOpen)
	case g.open:
		r.wait(q, q.arrived+q.class.Aim)
	case p == nil || !r.mayTake(p, q.class.Level == Write):
		if h := r.leastKnown(q); h != nil {
			r.send(q, h)
		} else if q.missed || q.onlyPrimary() && r.now-g.lostAt > q.class.Aim {
			r.giveUp(q, NoPrimary)
		} else {
			r.doubt(g)
			r.wait(q, q.arrived+q.class.Aim/2)
		}
	case p.strain < easy && r.now < q.arrived+q.class.Aim/8 && !r.room(p, q):
		r.wait(q, q.arrived+q.class.Aim/8) // a burst: p is short of nothing
	case !r.room(p, q) || !r.coldRoom(p, q) || !r.admits(q, p):
		r.giveUp(q, Shed) // held, it would take the room of newer ones and end late
	default:
		r.send(q, p)
	}
}

// wait holds q until the group changes, or at until goes on or is given up.
func (r *Router) wait(q *request, until time.Duration) {
	until = min(until, q.useful, q.deadline-r.set.Tick)
	if len(q.attempts) == 0 { // a refusal that took half its time has cost the client more than it tells
		until = min(until, q.arrived+q.Timeout/2-r.set.Tick)
	}
	if until <= r.now {
		r.giveUp(q, WaitTimedOut)
		return
	}
	if !q.waiting {
		q.waiting = true
		q.g.waiting = append(q.g.waiting, q)
	}
	if until != q.waitUntil {
		q.waitUntil = until
		r.wakeAt(until, func() { r.onWake(q) })
	}
}

func (r *Router) onWake(q *request) {
	switch {
	case q.done:
	case r.now >= q.deadline-r.set.Tick:
		r.giveUp(q, NoTimeLeft)
	case q.waiting:
		q.waiting = false
		r.route(q)
	}
}

func (q *request) onlyPrimary() bool { return q.class.Level == Write || q.class.Level == Latest }

func (q *request) tried(h *host) bool {
	return slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.h == h })
}

func (r *Router) send(q *request, h *host) {
	timeout := q.deadline - r.now
	if q.class.Level != Write {
		timeout = q.useful - r.now
	}
	if q.g.open && h == q.g.primary && !q.onlyPrimary() { // the rest of the time is for a replica
		timeout = min(timeout, q.class.Aim/4)
	}
	begin := time.Duration(0)
	if q.mayRun && q.class.RetrySafety != Retryable {
		begin = q.mayRunAt + q.class.DedupWindow - r.set.Tick - r.now
	}
	r.emit(Send{Request: q.ID, Host: h.id, Timeout: timeout, BeginWithin: begin})
	a := &attempt{q: q, h: h, sentAt: r.now, away: r.away}
	q.attempts = append(q.attempts, a)
	h.out = append(h.out, a)
	q.out, q.waiting, h.sentAt = q.out+1, false, r.now
	r.repeats.Record(q.failed)
	q.mayRunAt = cmp.Or(q.mayRunAt, r.now)
	r.wakeAt(r.now+q.class.Aim, func() { r.checkOverdue(a) })
}
