// Slow start: what a host that has just started may be sent.

package policy

import "slices"

// warmth is the share of its capacity that h can be counted on to have.
func (r *Router) warmth(h *host) float64 {
	if h.startedAt <= 0 || min(r.set.SlowStartTime, r.set.OverloadWindow) <= 0 || r.set.OverloadFactor <= 0 {
		return 1
	}
	age := float64(r.databaseTime()-h.startedAt) / float64(r.set.SlowStartTime)
	return min(1, r.set.StartCapacity+(1-r.set.StartCapacity)*max(0, age))
}

// work is that of a request of class, in answers of the shortest: a jam of all classes makes none dearer.
func (r *Router) work(class int) float64 { return r.latency[class] / slices.Min(r.latency) }

// coldRoom keeps a cold host h from being pushed over: in any FallTime all routers together send it less than
// FallMultiple times what it can do, as bounded by served and asked. A request draws, and pays won or lost.
func (r *Router) coldRoom(h *host, q *request) bool {
	w := r.warmth(h)
	if w >= 1 || r.heavy(q) {
		return w >= 1
	}
	part := coldPart + coldMore*r.ease*(w-r.set.StartCapacity)/(1-r.set.StartCapacity)
	rate := max(r.served, r.asked/4) / (r.now - r.since + r.set.OverloadWindow).Seconds()
	grow := part * r.set.OverloadFactor * w * rate
	// The budget may grow to this much while unused, for a burst.
	most := grow * r.set.OverloadWindow.Seconds() * max(0.25, float64(r.set.Routers)/coldRouters)
	budget := min(most, h.budget+grow*(r.now-h.budgetAt).Seconds())
	pay := min(budget, r.work(q.Class))
	h.budget, h.budgetAt = budget-pay, r.now
	return r.rnd.Float64()*r.work(q.Class) < pay
}
