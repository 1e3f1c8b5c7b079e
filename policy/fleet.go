// What other routers and operators tell the whole fleet.

package policy

import (
	"slices"

	"lilaccove/internal/repeats"
)

// onFleet takes what the fleet tells. It bounds, orders or dates what this router may do by itself anyway.
func (r *Router) onFleet(e Event) {
	switch e := e.(type) {
	case ConcurrencyLimit:
		if h := r.hosts[e.Host]; h != nil {
			h.bounded, h.most = true, e.Max
			r.retryWaiting(h.group)
		}
	case PrimaryReported:
		h := r.hosts[e.Host]
		switch {
		case h == nil || !r.mayTake(h, true) || e.At < h.roleAt:
		case !h.group.open:
			r.learnRole(h, Primary, min(e.At, r.now))
		case h.group.primary == nil || e.At > h.group.primary.roleAt:
			h.group.primary = h // only its own answer closes the breaker
			r.probe(h)
		}
	case FenceChanged:
		r.fenced = e.Active
	case OverridesPending:
		r.held = e.Active
		r.retryAll()
	case RetryBudget:
		r.repeats = repeats.New(e.Share)
	case ProcessPaused:
		r.away, r.missed = e.Total, e.Total-r.away
	case PreferredHosts:
		for _, h := range r.order {
			h.first = slices.Contains(e.Hosts, h.id) || len(e.Hosts) == 0 && h.zone == r.set.Zone
		}
	case PositionReported:
		if h := r.hosts[e.Host]; h != nil && e.Position > h.pos {
			r.learnPosition(h, min(e.Position, r.databaseTime()))
		}
	}
}
