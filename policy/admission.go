// Admission control: how many concurrent attempts a host is given, and which requests are shed.

package policy

import (
	"cmp"
	"math"
)

// hasCapacity reports whether h may get one more attempt. The limit follows answer times (see recordOutcome).
// A limit below one means a pause between attempts. Classes worth less for the time they take get a smaller
// part of the limit.
func (r *Router) hasCapacity(h *host, req *request) bool {
	limit, isPrimary := h.limit, h == h.group.primary
	if h.hasMaxAttempts && len(h.outstanding) >= h.maxAttempts {
		return false
	}
	if h.resultInterval <= rareResultInterval || isPrimary && r.settings.Routers > smallFleetSize {
		limit /= r.rank(req.Class, isPrimary)
	} else if isPrimary && req.class.Level != Write { // admitted sheds by rank here
		limit *= 0.7
	}
	if limit >= 1 {
		return float64(len(h.outstanding)) < limit
	}
	if isPrimary && h.limit < 0.9 && req.class.Level <= Recent && r.settings.Routers > smallFleetSize {
		return false // the rest of an overloaded primary's capacity is for what needs it
	}
	pause := (1/limit - 1) * r.meanLatency[req.Class] * min(h.latencyRatio, 4)
	return len(h.outstanding) == 0 && (r.now-h.sentAt).Seconds() >= pause
}

// adjustAdmission multiplies the admitted share of requests by factor if results of h are too rare to learn
// its limit. The share follows the answers of all primaries or all replicas together, and keeps queues short
// where limits of single hosts cannot.
func (r *Router) adjustAdmission(h *host, factor float64) {
	if isPrimary := h == h.group.primary; h.resultInterval > rareResultInterval {
		if isPrimary && factor < 1 && r.settings.Routers > smallFleetSize {
			factor *= factor // all routers fill the same queue; reads are shed first, see admitted
		}
		r.admitShare[isPrimary] = min(1, max(minAdmitShare, factor*r.admitShare[isPrimary]))
	}
}

// rank returns 1 for the class that is worth most for the time it takes at a primary or a replica, and more
// for the others, which get less capacity.
func (r *Router) rank(class int, primary bool) float64 {
	value := func(i int) float64 { return cmp.Or(r.settings.Classes[i].Worth, 1) / r.meanLatency[i] }
	highest := 0.0
	for i, c := range r.settings.Classes {
		if primary || c.Level != Write {
			highest = max(highest, value(i))
		}
	}
	return math.Sqrt(highest / value(class))
}

// admitted decides at random whether req may be sent to h.
func (r *Router) admitted(req *request, h *host) bool {
	share := r.admitShare[h == req.group.primary]
	r.adjustAdmission(h, 1+admitDrift/share)
	rank := r.rank(req.Class, true)
	if r.settings.Routers > smallFleetSize { // nothing else sheds load there
		rank *= rank
	}
	return h.resultInterval <= rareResultInterval || r.random.Float64() < math.Pow(share, rank)
}

// reduceLimit shrinks the limit of h, the more the rarer its answers are. The minimum is lower in a large
// fleet.
func (r *Router) reduceLimit(h *host) {
	h.limit = max(min(0.2, 2/float64(max(r.settings.Routers, 1))), h.limit*(1-0.025*h.weight(24)))
}

// weight returns the weight of an answer of h, from 1 to maxWeight, relative to a host with frequent answers.
func (h *host) weight(maxWeight float64) float64 {
	return min(maxWeight, max(1, h.resultInterval.Seconds()/frequentResultInterval.Seconds()))
}
