// Results of attempts, and what they tell of a host's health.

package policy

import (
	"cmp"
	"slices"
	"time"
)

func (r *Router) onResult(e Result) {
	h := r.hosts[e.Host]
	if h == nil {
		return
	}
	r.onReport(h, e.Report)
	r.learnRole(h, e.Role, r.now)
	q := r.requests[e.Request]
	if q == nil || e.Attempt < 0 || e.Attempt >= len(q.attempts) || q.attempts[e.Attempt].resolved {
		return
	}
	a := q.attempts[e.Attempt]
	a.resolved = true
	q.out--
	h.out = slices.DeleteFunc(h.out, func(o *attempt) bool { return o == a })
	if len(h.out) == 0 && h.gap > seldom {
		r.wakeAt(h.sentAt+seldom, func() {
			if len(h.out) == 0 && r.now-h.sentAt >= seldom {
				r.emit(CloseIdleConnections{Host: h.id})
			}
		})
	}
	r.retryWaiting(h.group)
	if e.Outcome == OK && e.HasPosition {
		r.hearTime(a, e.Role, e.Position)
	}
	if e.Outcome == OK && e.Role == Primary {
		// It stood at the present then. A hung primary turns work away as primary: no word on its log.
		r.learnPosition(h, a.sentAt+r.clock.offset)
	}
	if e.HasPosition && r.Plausible(e.Position) {
		pos := e.Position
		if e.Outcome == OK && q.class.Level == Write {
			pos -= r.set.PositionGranularity
			if r.set.TracksSessions {
				r.marks[q.Session] = max(r.marks[q.Session], e.Position)
			}
		}
		r.learnPosition(h, pos)
	}
	again := e.Outcome == Error && q.mayRun // an error of a request that may have run before
	r.judge(a, e.Outcome, e.Latency, again)
	q.mayRun = q.mayRun || e.Outcome.MayHaveRun()
	if !q.mayRun && q.out == 0 {
		q.mayRunAt = 0
	}
	q.failed = q.failed || !slices.Contains([]Outcome{OK, Miss, NotSent}, e.Outcome)
	q.missed = q.missed || e.Outcome == Miss && q.class.Level == Write
	switch {
	case e.Finished || e.Outcome == OK || q.done:
		r.finish(q)
	case q.out > 0:
	case again, q.missed && q.g.primary != nil && q.tried(q.g.primary),
		e.Outcome == AtCapacity && h == q.g.primary:
		// The request itself fails, most likely, or a retry would add load where there is no room.
		r.giveUp(q, RetryPointless)
	default:
		r.route(q)
	}
}

// judge learns of the host's health.
func (r *Router) judge(a *attempt, o Outcome, latency time.Duration, again bool) {
	h, c := a.h, a.q.Class
	h.gap += time.Duration(smooth * float64(r.now-h.judgedAt-h.gap))
	h.judgedAt = r.now
	if r.warmth(h) < 1 && (o == OK || o == AtCapacity || o == Timeout) {
		past := min(1, (r.now - r.easeAt).Seconds()) // since the last answer of a cold host
		r.easeAt = r.now
		if r.ease = min(1, r.ease+past/8); o != OK || latency.Seconds() > strained*a.q.class.Aim.Seconds() {
			r.ease = max(0, r.ease-past)
		}
	}
	switch o {
	case OK:
		warm := 0.0 // a cold host counts as what it can do: it is no measure of a warm one
		for _, m := range h.group.hosts {
			if m.status != Gone {
				warm += r.warmth(m)
			}
		}
		r.served += r.work(c) / max(1, warm) / float64(max(1, len(r.used)))
		slow := min(latency.Seconds()/r.latency[c], 20)
		h.slow = cmp.Or(h.slow, slow)
		h.slow += smooth * (slow - h.slow)
		r.latency[c] += smooth / 5 * (latency.Seconds() - r.latency[c])
		h.fails = 0
		if h.group.primary == h {
			h.group.fails, h.group.trips = 0, 0
		}
		h.strain += smooth * h.weight(5) * (latency.Seconds()/a.q.class.Aim.Seconds() - h.strain)
		if latency < a.q.class.Aim*2/3 {
			r.throttle(h, admitMore)
		} else if !a.overdue {
			r.throttle(h, admitLate)
		}
		if h.strain > strained {
			r.cutLimit(h)
		} else if float64(len(h.out)+1) > 0.6*h.limit {
			h.limit += min(h.limit, 1/h.limit) / 2
		}
	case AtCapacity:
		r.throttle(h, admitFull)
		r.cutLimit(h)
	case Error, Timeout, Reset, ConnectFailed:
		// A read sent late in its aim tells nothing, nor does an error of one that met one before.
		if !a.overdue && (o != Timeout || latency >= a.q.class.Aim/2) && !again {
			r.failed(h, o == Timeout)
		}
	case Miss:
		if a.q.class.Level == Write {
			r.countFailure(h)
		} else {
			h.lag = max(h.lag, r.databaseTime()-r.required(a.q)+r.set.StaleReadHoldTime+r.set.Tick)
		}
	}
}
