// Events from other routers and operators that concern the whole fleet.

package policy

import (
	"slices"

	"lilaccove/internal/retrybudget"
)

// onFleetEvent applies an event from the fleet. Such events only limit, order or time what this router could
// also decide alone.
func (r *Router) onFleetEvent(e Event) {
	switch e := e.(type) {
	case ConcurrencyLimit:
		if h := r.hosts[e.Host]; h != nil {
			h.hasMaxAttempts, h.maxAttempts = true, e.Max
			r.retryWaiting(h.group)
		}
	case PrimaryReported:
		h := r.hosts[e.Host]
		switch {
		case h == nil || !r.acceptsWork(h, true) || e.At < h.roleAt:
		case !h.group.breakerOpen:
			r.learnRole(h, Primary, min(e.At, r.now))
		case h.group.primary == nil || e.At > h.group.primary.roleAt:
			h.group.primary = h // only its own answer closes the breaker
			r.probe(h)
		}
	case FenceChanged:
		r.fenced = e.Active
	case OverridesPending:
		r.overridesPending = e.Active
		r.retryAll()
	case RetryBudget:
		r.retryBudget = retrybudget.New(e.Share)
	case ProcessPaused:
		r.pausedTotal, r.recentPause = e.Total, e.Total-r.pausedTotal
	case PreferredHosts:
		for _, h := range r.hostOrder {
			h.preferred = slices.Contains(e.Hosts, h.id) || len(e.Hosts) == 0 && h.zone == r.settings.Zone
		}
	case PositionReported:
		if h := r.hosts[e.Host]; h != nil && e.Position > h.position {
			r.learnPosition(h, min(e.Position, r.databaseTime()))
		}
	}
}
