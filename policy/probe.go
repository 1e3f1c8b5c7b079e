// Probes: when hosts are asked for their state, and how the answers are used.

package policy

import (
	"cmp"
	"slices"
)

// probeInTurn probes every member in turn, at a rate proportional to this router's own requests, so that
// hundreds of idle routers do not load the hosts. Probes alternate between the group in use and all members.
func (r *Router) probeInTurn(g *group) {
	if r.probeCredit += probeShare; r.probeCredit < 1 || r.probesLackRole {
		return
	}
	r.probeCredit--
	r.probeTurn++
	list := slices.DeleteFunc(slices.Clone([][]*host{r.hostOrder, g.hosts}[r.probeTurn%2]), r.hasLeft)
	if len(list) > 0 {
		r.probe(slices.MinFunc(list, func(a, b *host) int { return cmp.Compare(a.probedAt, b.probedAt) }))
	}
}

// probe asks h for its report, if that is allowed now.
func (r *Router) probe(h *host) {
	tooSoon := r.capacityShare(h) < 1 && r.now-h.probedAt < r.settings.OverloadWindow
	if r.settings.CanProbe && !h.probing && !r.hasLeft(h) && !r.suspended[h.id] && !tooSoon {
		h.probing, h.probedAt = true, r.now
		r.emit(Probe{Host: h.id})
	}
}

// probeForPositions probes the two replicas that are most likely fresh enough for req. It returns false if
// there is none to wait for.
func (r *Router) probeForPositions(req *request) bool {
	var candidates []*host
	for _, i := range r.random.Perm(len(req.group.hosts)) {
		if h := req.group.hosts[i]; h != req.group.primary && r.acceptsWork(h, false) &&
			!r.probesLackRole && r.likelyFresh(req, h) {
			candidates = append(candidates, h)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *host) int { return cmp.Compare(a.lag, b.lag) })
	for _, h := range candidates[:min(2, len(candidates))] {
		if r.now-h.probedAt >= suspectProbeInterval/4 {
			r.probe(h)
		}
	}
	return len(candidates) > 0
}

// onProbeResult applies the end of a probe.
func (r *Router) onProbeResult(e ProbeResult) {
	h := r.hosts[e.Host]
	if h == nil {
		return
	}
	h.probing = false
	r.retryWaiting(h.group)
	r.onReport(h, e.Report)
	loss, noRole := 1.0, e.Report.Role == RoleUnknown
	if e.Outcome == OK || e.Outcome == AtCapacity {
		if loss, r.probesLackRole = 0, noRole; noRole {
			h.aliveAt = r.now
		}
	}
	// A failed probe counts only after a failed request, and not while probes of other hosts fail too.
	switch {
	case e.Outcome == NotSent:
	case h.failures == 0:
		r.probeLoss += smoothingWeight * (loss - r.probeLoss)
	case loss > 0 && h.group.failures > 0 && !r.probesUnreliable():
		r.countPrimaryFailure(h)
	}
}
