// Probes: when hosts are asked for their state, and what that tells.

package policy

import (
	"cmp"
	"slices"
)

// probeInTurn keeps an eye on every member at the pace of this router's own requests, so that hundreds of
// idle routers do not load the hosts: one probe goes to the group in use, the next around all members.
func (r *Router) probeInTurn(g *group) {
	if r.probes += probeShare; r.probes < 1 || r.mute {
		return
	}
	r.probes--
	r.turn++
	list := slices.DeleteFunc(slices.Clone([][]*host{r.order, g.hosts}[r.turn%2]), r.left)
	if len(list) > 0 {
		r.probe(slices.MinFunc(list, func(a, b *host) int { return cmp.Compare(a.probedAt, b.probedAt) }))
	}
}

func (r *Router) probe(h *host) {
	soon := r.warmth(h) < 1 && r.now-h.probedAt < r.set.OverloadWindow
	if r.set.CanProbe && !h.probing && !r.left(h) && !r.out[h.id] && !soon {
		h.probing, h.probedAt = true, r.now
		r.emit(Probe{Host: h.id})
	}
}

// probeForPositions asks the two replicas that are likeliest to fit for their positions; false: there is none
// to wait for.
func (r *Router) probeForPositions(q *request) bool {
	var likely []*host
	for _, i := range r.rnd.Perm(len(q.g.hosts)) {
		if h := q.g.hosts[i]; h != q.g.primary && r.mayTake(h, false) && !r.mute && r.shouldFit(q, h) {
			likely = append(likely, h)
		}
	}
	slices.SortStableFunc(likely, func(a, b *host) int { return cmp.Compare(a.lag, b.lag) })
	for _, h := range likely[:min(2, len(likely))] {
		if r.now-h.probedAt >= probeSoon/4 {
			r.probe(h)
		}
	}
	return len(likely) > 0
}

func (r *Router) onProbed(e ProbeResult) {
	h := r.hosts[e.Host]
	if h == nil {
		return
	}
	h.probing = false
	r.retryWaiting(h.group)
	r.onReport(h, e.Report)
	lost, mute := 1.0, e.Report.Role == RoleUnknown
	if e.Outcome == OK || e.Outcome == AtCapacity {
		if lost, r.mute = 0, mute; mute {
			h.upAt = r.now
		}
	}
	// A failed probe counts only after a failed request, and not while those of other hosts fail too.
	switch {
	case e.Outcome == NotSent:
	case h.fails == 0:
		r.lost += smooth * (lost - r.lost)
	case lost > 0 && h.group.fails > 0 && !r.blind():
		r.countFailure(h)
	}
}
