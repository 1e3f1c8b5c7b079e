// One loop iteration: events go to the decision module, and its actions are carried out.

package gateway

import (
	"log"
	"slices"

	"lilaccove/policy"
)

// Step lets the decision module decide on all collected events. It reports whether carrying
// out the actions has led to new events.
func (g *Gateway) Step() (again bool) {
	if total := g.loop.StallTime(); total != g.reportedPause {
		g.reportedPause = total
		g.orderAfterPause(policy.ProcessPaused{Total: total})
	}
	if len(g.events) > 0 {
		g.decide()
	}
	for ; len(g.afterStep) > 0; g.afterStep = g.afterStep[1:] {
		g.afterStep[0]()
	}
	g.expireOverdue()
	return len(g.events) > 0
}

// expireOverdue fails the requests whose deadline has passed. What came of the actions of this Step may be the end of one: the decision module
// goes first once more.
func (g *Gateway) expireOverdue() {
	due := g.overdue
	g.overdue, g.expired = g.expired, nil
	if len(g.events) == 0 {
		due, g.overdue = append(due, g.overdue...), nil
	}
	for _, req := range due {
		g.expire(req)
	}
}

// orderAfterPause orders the events of a loop iteration after a pause of this process: first the pause, then list updates, which
// may have arrived before everything else and apply to the decisions on it.
func (g *Gateway) orderAfterPause(pause policy.ProcessPaused) {
	events := append(g.spareEvents[:0], pause)
	rest := slices.DeleteFunc(g.events, func(e policy.Event) bool {
		_, isList := e.(policy.ListUpdate)
		if isList {
			events = append(events, e)
		}
		return isList
	})
	g.spareEvents, g.events = g.events[:0], append(events, rest...)
}

func (g *Gateway) decide() {
	events := g.events
	g.events = g.spareEvents[:0]
	actions := g.router.Step(g.loop.Now(), events)
	g.actionTime = g.loop.Clock()
	for _, action := range actions {
		g.perform(action)
	}
	clear(events)
	g.spareEvents = events[:0]
}

func (g *Gateway) perform(a policy.Action) {
	switch a := a.(type) {
	case policy.Send:
		g.send(a)
	case policy.Refuse:
		if req := g.requests[a.Request]; req != nil && g.markFinished(req) {
			g.recordGivenUp(req, a.Reason, true)
			g.counts.Class(req.Class).Refused++
			req.Client.Refused(a.RetryAfter)
			g.release(req)
		}
	case policy.Fail:
		if req := g.requests[a.Request]; req != nil && g.markFinished(req) {
			g.recordGivenUp(req, a.Reason, false)
			g.fail(req)
			g.release(req)
		}
	case policy.Cancel:
		if req := g.requests[a.Request]; req != nil && a.Attempt < len(req.attempts) && !req.attempts[a.Attempt].done {
			g.backends.Cancel(req.attempts[a.Attempt])
		}
	case policy.Probe:
		g.probeTimes[a.Host] = g.actionTime
		g.backends.Probe(a.Host)
	case policy.CloseIdleConnections:
		g.backends.CloseIdleConnections(a.Host)
	case policy.StopUsingHost:
		g.backends.StopUsingHost(a.Host)
	case policy.SetTimer:
		id := a.ID
		g.loop.At(g.loop.Now()+a.After, func() { g.events = append(g.events, policy.TimerFired{ID: id}) })
	case policy.Subscribe:
		g.discovery.Subscribe(a.Timeout)
	case policy.Log:
		log.Printf("event=policy text=%q", a.Text)
		if g.observer != nil {
			g.observer.PolicyLogged(a.Text)
		}
	}
}

// recordGivenUp counts and logs a request that the decision module has given up.
func (g *Gateway) recordGivenUp(req *Request, reason policy.Reason, refused bool) {
	g.givenUpCounts.Add(int(reason))
	g.givenUpLog.Printf(g.loop.Now(), "event=given_up request=%q client=%d class=%d group=%d reason=%s refused=%t attempts=%d",
		req.Name, req.ConnectionID, req.Class, req.Group, reason, refused, len(req.attempts))
}
