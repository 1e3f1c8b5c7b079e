// Admission: how many attempts a host is given, and which requests are shed.

package policy

import (
	"cmp"
	"math"
)

// room tells whether h may have one more attempt. The limit follows answer times (see judge) and goes below
// one, as a pause between attempts. Classes worth less for their time leave room to others.
func (r *Router) room(h *host, q *request) bool {
	limit, primary := h.limit, h == h.group.primary
	if h.bounded && len(h.out) >= h.most {
		return false
	}
	if h.gap <= seldom || primary && r.set.Routers > fewRouters { // else the throttle sheds by rank
		limit /= r.rank(q.Class, primary)
	} else if primary && q.class.Level != Write {
		limit *= 0.7
	}
	if limit >= 1 {
		return float64(len(h.out)) < limit
	}
	if primary && h.limit < 0.9 && q.class.Level <= Recent && r.set.Routers > fewRouters {
		return false // a crowded primary is left to what needs it
	}
	pause := (1/limit - 1) * r.latency[q.Class] * min(h.slow, 4)
	return len(h.out) == 0 && (r.now-h.sentAt).Seconds() >= pause
}

// throttle keeps queues short where hosts are heard of too rarely to learn limits: by all replicas' answers.
func (r *Router) throttle(h *host, factor float64) {
	if primary := h == h.group.primary; h.gap > seldom {
		if primary && factor < 1 && r.set.Routers > fewRouters { // a queue that all of them fill, reads first
			factor *= factor
		}
		r.admit[primary] = min(1, max(admitLeast, factor*r.admit[primary]))
	}
}

// rank is 1 for the class worth most for its time at such a host, and higher for others, which get less.
func (r *Router) rank(class int, primary bool) float64 {
	value := func(i int) float64 { return cmp.Or(r.set.Classes[i].Worth, 1) / r.latency[i] }
	most := 0.0
	for i, c := range r.set.Classes {
		if primary || c.Level != Write {
			most = max(most, value(i))
		}
	}
	return math.Sqrt(most / value(class))
}

// admits draws whether q may be sent to h.
func (r *Router) admits(q *request, h *host) bool {
	share := r.admit[h == q.g.primary]
	r.throttle(h, 1+admitDrift/share)
	rank := r.rank(q.Class, true)
	if r.set.Routers > fewRouters { // the throttle is all that sheds there
		rank *= rank
	}
	return h.gap <= seldom || r.rnd.Float64() < math.Pow(share, rank)
}

// cutLimit cuts by time: an answer tells the more, the fewer there are. Many routers need a lower floor.
func (r *Router) cutLimit(h *host) {
	h.limit = max(min(0.2, 2/float64(max(r.set.Routers, 1))), h.limit*(1-0.025*h.weight(24)))
}

// weight is that of an answer of h, from 1 up to most, against those of a host heard of often.
func (h *host) weight(most float64) float64 {
	return min(most, max(1, h.gap.Seconds()/often.Seconds()))
}
