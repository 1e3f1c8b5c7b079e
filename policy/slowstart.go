// Slow start: how much work a host that has just started may be sent.

package policy

import "slices"

// capacityShare returns the share of its full capacity that h surely has. It is below 1 while h is cold.
func (r *Router) capacityShare(h *host) float64 {
	if h.startedAt <= 0 || min(r.settings.SlowStartTime, r.settings.OverloadWindow) <= 0 ||
		r.settings.OverloadFactor <= 0 {
		return 1
	}
	age := float64(r.databaseTime()-h.startedAt) / float64(r.settings.SlowStartTime)
	return min(1, r.settings.StartCapacity+(1-r.settings.StartCapacity)*max(0, age))
}

// workOf returns the work of a request of a class, in answers of the shortest class. So it does not change
// when the answers of all classes slow down together.
func (r *Router) workOf(class int) float64 { return r.meanLatency[class] / slices.Min(r.meanLatency) }

// takeColdBudget decides whether req may be sent to h. A cold host that is sent too much fails, so in any
// OverloadWindow all routers together send it less than OverloadFactor times what it can do, as estimated
// from servedWork and offeredWork. Where the budget does not cover req the decision is random; req uses it up
// either way.
func (r *Router) takeColdBudget(h *host, req *request) bool {
	capacity := r.capacityShare(h)
	if capacity >= 1 || r.isLongRead(req) {
		return capacity >= 1
	}
	growthShare := coldGrowthShare +
		coldGrowthBonus*r.coldHealth*(capacity-r.settings.StartCapacity)/(1-r.settings.StartCapacity)
	hostRate := max(r.servedWork, r.offeredWork/4) /
		(r.now - r.workSince + r.settings.OverloadWindow).Seconds()
	refillRate := growthShare * r.settings.OverloadFactor * capacity * hostRate
	burst := refillRate * r.settings.OverloadWindow.Seconds() *
		max(0.25, float64(r.settings.Routers)/coldBurstRouters)
	budget := min(burst, h.coldBudget+refillRate*(r.now-h.coldBudgetAt).Seconds())
	payment := min(budget, r.workOf(req.Class))
	h.coldBudget, h.coldBudgetAt = budget-payment, r.now
	return r.random.Float64()*r.workOf(req.Class) < payment
}
