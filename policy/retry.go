// Retries and final answers.

package policy

// checkOverdue counts an attempt that outlived its aim while this process was there: its host has failed.
func (r *Router) checkOverdue(a *attempt) {
	switch left := a.sentAt + r.away - a.away + a.q.class.Aim - r.now; {
	case a.resolved:
	case left > 0:
		r.wakeAt(r.now+left, func() { r.checkOverdue(a) })
	default:
		a.overdue = true
		a.h.strain += smooth * a.h.weight(5) * (1 - a.h.strain)
		r.cutLimit(a.h)
		r.failed(a.h, true)
	}
}

// mayResend keeps the rule of repeats; a first attempt is always allowed.
func (r *Router) mayResend(q *request) bool {
	left := (r.set.MaxAttempts <= 0 || len(q.attempts) < r.set.MaxAttempts) && r.repeats.Allows(q.failed)
	inWindow := q.class.RetrySafety != AtMostOnce && r.now+r.set.Tick < q.mayRunAt+q.class.DedupWindow
	return left && (!q.mayRun && q.out == 0 || q.class.RetrySafety == Retryable || inWindow)
}

// giveUp gives the final answer at once: a refusal where trying again is harmless for certain, or a failure.
func (r *Router) giveUp(q *request, why Reason) {
	var a Action = Fail{Request: q.ID, Reason: why}
	if q.class.RetrySafety == Retryable || q.class.RetrySafety == DedupAll || !q.mayRun && q.out == 0 {
		after := r.jitter(min(r.set.MaxRetryAfter*4/5, q.class.Deadline/4))
		a = Refuse{Request: q.ID, Reason: why, RetryAfter: after}
	}
	r.emit(a)
	r.finish(q)
}

// finish ends q here; copies still out are called off.
func (r *Router) finish(q *request) {
	for i, a := range q.attempts {
		if !q.done && !a.resolved && r.set.CanCancel {
			r.emit(Cancel{Request: q.ID, Attempt: i})
		}
	}
	q.done, q.waiting = true, false
	if q.out == 0 {
		delete(r.requests, q.ID)
	}
}
