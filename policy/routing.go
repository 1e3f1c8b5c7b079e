// Routing: each request is sent, held or answered.

package policy

import (
	"cmp"
	"slices"
	"time"
)

func (r *Router) onRequest(e Request) {
	if r.requests[e.ID] != nil || e.Class < 0 || e.Class >= len(r.settings.Classes) {
		return
	}
	c := &r.settings.Classes[e.Class]
	req := &request{
		Request: e, class: c, group: r.groups[e.Group], arrivedAt: r.now, deadline: r.now + e.Timeout,
	}
	req.usefulUntil = req.deadline
	if c.LateWorth <= 0 {
		req.usefulUntil = min(req.deadline, r.now+c.Aim)
	}
	r.requests[e.ID] = req
	if req.group == nil {
		r.giveUp(req, UnknownGroup)
		return
	}
	r.usedGroups[req.group] = true
	r.offeredWork += r.workOf(req.Class) / float64(max(1, len(req.group.hosts))*len(r.usedGroups))
	r.wakeAt(req.deadline-r.settings.Tick, func() { r.onWake(req) })
	r.probeInTurn(req.group)
	r.route(req)
}

// route decides what happens to req next: it is sent, held or answered.
func (r *Router) route(req *request) {
	switch {
	case req.done || req.outstanding > 0:
		return
	case !r.mayAttempt(req):
		r.giveUp(req, RetryForbidden)
		return
	case r.now >= req.usefulUntil:
		r.giveUp(req, NoTimeLeft)
		return
	case r.fenced && req.class.Level == Write:
		r.giveUp(req, FencedOff)
		return
	case !r.readyToSend():
		r.wait(req, r.startedAt+StartupTimeout)
		return
	case r.allowsHalfOpenTrial(req):
		r.send(req, req.group.primary)
		return
	case req.needsPrimary():
		r.routePrimary(req)
		return
	}
	if h := r.pickReplica(req); h != nil {
		switch {
		case r.admitted(req, h):
			r.send(req, h)
		case req.group.breakerOpen || r.admitShare[true] < 1 || r.isLongRead(req):
			r.giveUp(req, Shed)
		default: // replicas shed load, perhaps because of long reads, while primaries admit all
			r.routePrimary(req)
		}
		return
	}
	req.group.noFreshReplica = req.group.noFreshReplica || req.class.Level == Recent
	if r.settings.StaleReadMode == StaleReadServe && req.positionsUntil == 0 && r.probeForPositions(req) {
		// Positions age between probes in turn: new ones are requested before the primary gets the load.
		req.positionsUntil = r.now + req.class.Aim/8
	}
	if r.now < req.positionsUntil && !req.group.breakerOpen {
		r.wait(req, req.positionsUntil)
		return
	}
	r.routePrimary(req)
}

// routePrimary sends req to the primary while the breaker is closed. While it is open, writes and latest
// reads are refused at once, and other reads wait for a suitable replica until the aim.
func (r *Router) routePrimary(req *request) {
	g, primary := req.group, req.group.primary
	if g.breakerOpen && r.probesUnreliable() && r.now-g.breakerOpenedAt >= 5*suspectProbeInterval {
		g.breakerOpen, g.failures = false, breakerThreshold-1
	}
	switch replica := r.pickReplicaForWrite(req); {
	case replica != nil:
		r.send(req, replica)
	case g.breakerOpen && req.needsPrimary():
		r.startPrimarySearch(g)
		r.giveUp(req, BreakerOpen)
	case g.breakerOpen:
		r.wait(req, req.arrivedAt+req.class.Aim)
	case primary == nil || !r.acceptsWork(primary, req.class.Level == Write):
		if h := r.memberWithOldestRole(req); h != nil {
			r.send(req, h)
		} else if req.missed || req.needsPrimary() && r.now-g.primaryLostAt > req.class.Aim {
			r.giveUp(req, NoPrimary)
		} else {
			r.startPrimarySearch(g)
			r.wait(req, req.arrivedAt+req.class.Aim/2)
		}
	case primary.strain < lowStrain && r.now < req.arrivedAt+req.class.Aim/8 && !r.hasCapacity(primary, req):
		r.wait(req, req.arrivedAt+req.class.Aim/8) // a burst: the primary's answers are fast
	case !r.hasCapacity(primary, req) || !r.takeColdBudget(primary, req) || !r.admitted(req, primary):
		r.giveUp(req, Shed) // if held, it would take capacity from newer requests and be answered late
	default:
		r.send(req, primary)
	}
}

// wait holds req until its group changes, and routes it again at the given time at the latest.
func (r *Router) wait(req *request, until time.Duration) {
	until = min(until, req.usefulUntil, req.deadline-r.settings.Tick)
	if len(req.attempts) == 0 { // a refusal helps the client only while it has time to try elsewhere
		until = min(until, req.arrivedAt+req.Timeout/2-r.settings.Tick)
	}
	if until <= r.now {
		r.giveUp(req, WaitTimedOut)
		return
	}
	if !req.waiting {
		req.waiting = true
		req.group.waiting = append(req.group.waiting, req)
	}
	if until != req.waitUntil {
		req.waitUntil = until
		r.wakeAt(until, func() { r.onWake(req) })
	}
}

func (r *Router) onWake(req *request) {
	switch {
	case req.done:
	case r.now >= req.deadline-r.settings.Tick:
		r.giveUp(req, NoTimeLeft)
	case req.waiting:
		req.waiting = false
		r.route(req)
	}
}

// needsPrimary reports whether only the primary can serve req.
func (req *request) needsPrimary() bool { return req.class.Level == Write || req.class.Level == Latest }

func (req *request) hasTried(h *host) bool {
	return slices.ContainsFunc(req.attempts, func(a *attempt) bool { return a.host == h })
}

func (r *Router) send(req *request, host *host) {
	timeout := req.deadline - r.now
	if req.class.Level != Write {
		timeout = req.usefulUntil - r.now
	}
	if req.group.breakerOpen && host == req.group.primary && !req.needsPrimary() {
		timeout = min(timeout, req.class.Aim/4) // leaves time for a replica
	}
	beginWithin := time.Duration(0)
	if req.mayHaveRun && req.class.RetrySafety != Retryable {
		beginWithin = req.mayHaveRunSince + req.class.DedupWindow - r.settings.Tick - r.now
	}
	r.emit(Send{Request: req.ID, Host: host.id, Timeout: timeout, BeginWithin: beginWithin})
	a := &attempt{req: req, host: host, sentAt: r.now, pausedTotal: r.pausedTotal}
	req.attempts = append(req.attempts, a)
	host.outstanding = append(host.outstanding, a)
	req.outstanding, req.waiting, host.sentAt = req.outstanding+1, false, r.now
	r.retryBudget.Record(req.failed)
	req.mayHaveRunSince = cmp.Or(req.mayHaveRunSince, r.now)
	r.wakeAt(r.now+req.class.Aim, func() { r.checkOverdue(a) })
}
