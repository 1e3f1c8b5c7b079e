// Retries, and the final answer of each request.

package policy

// checkOverdue counts a failure of the host if the attempt got no answer within its aim. Pauses of this
// process do not count.
func (r *Router) checkOverdue(a *attempt) {
	switch remaining := a.sentAt + r.pausedTotal - a.pausedTotal + a.req.class.Aim - r.now; {
	case a.resolved:
	case remaining > 0:
		r.wakeAt(r.now+remaining, func() { r.checkOverdue(a) })
	default:
		a.overdue = true
		a.host.strain += smoothingWeight * a.host.weight(5) * (1 - a.host.strain)
		r.reduceLimit(a.host)
		r.recordFailure(a.host, true)
	}
}

// mayAttempt reports whether req may be sent by the rules for retries. A first attempt is always allowed.
func (r *Router) mayAttempt(req *request) bool {
	attemptsLeft := (r.settings.MaxAttempts <= 0 || len(req.attempts) < r.settings.MaxAttempts) &&
		r.retryBudget.Allows(req.failed)
	inWindow := req.class.RetrySafety != AtMostOnce &&
		r.now+r.settings.Tick < req.mayHaveRunSince+req.class.DedupWindow
	return attemptsLeft &&
		(!req.mayHaveRun && req.outstanding == 0 || req.class.RetrySafety == Retryable || inWindow)
}

// giveUp gives the final answer at once: a refusal if the client can certainly retry without harm, else a
// failure.
func (r *Router) giveUp(req *request, reason Reason) {
	var answer Action = Fail{Request: req.ID, Reason: reason}
	if req.class.RetrySafety == Retryable || req.class.RetrySafety == DedupAll ||
		!req.mayHaveRun && req.outstanding == 0 {
		retryAfter := r.jitter(min(r.settings.MaxRetryAfter*4/5, req.class.Deadline/4))
		answer = Refuse{Request: req.ID, Reason: reason, RetryAfter: retryAfter}
	}
	r.emit(answer)
	r.finish(req)
}

// finish ends req and cancels its outstanding attempts.
func (r *Router) finish(req *request) {
	for i, a := range req.attempts {
		if !req.done && !a.resolved && r.settings.CanCancel {
			r.emit(Cancel{Request: req.ID, Attempt: i})
		}
	}
	req.done, req.waiting = true, false
	if req.outstanding == 0 {
		delete(r.requests, req.ID)
	}
}
