// The round: what has happened goes to the decisions, and their actions are carried out.

package gateway

import (
	"log"
	"slices"

	"lilaccove/policy"
)

// Step lets the module decide on all that was gathered. It tells whether carrying the
// actions out has led to new events.
func (g *Gateway) Step() (again bool) {
	if lost := g.loop.Lost(); lost != g.lost {
		g.lost = lost
		g.returned(policy.ProcessPaused{Total: lost})
	}
	if len(g.events) > 0 {
		g.decide()
	}
	for ; len(g.decided) > 0; g.decided = g.decided[1:] {
		g.decided[0]()
	}
	for _, q := range g.late {
		g.expire(q)
	}
	g.late = g.late[:0]
	return len(g.events) > 0
}

// returned orders what a round brings after this process was away: first that it was, then what the list tells, which may
// have come before all else and binds what is done about it.
func (g *Gateway) returned(away policy.ProcessPaused) {
	events := append(g.spare[:0], away)
	rest := slices.DeleteFunc(g.events, func(e policy.Event) bool {
		_, list := e.(policy.ListUpdate)
		if list {
			events = append(events, e)
		}
		return list
	})
	g.spare, g.events = g.events[:0], append(events, rest...)
}

func (g *Gateway) decide() {
	events := g.events
	g.events = g.spare[:0]
	actions := g.router.Step(g.loop.Now(), events)
	g.sending = g.loop.Clock()
	for _, a := range actions {
		g.act(a)
	}
	clear(events)
	g.spare = events[:0]
}

func (g *Gateway) act(a policy.Action) {
	switch a := a.(type) {
	case policy.Send:
		g.send(a)
	case policy.Refuse:
		if q := g.requests[a.Request]; q != nil && g.end(q) {
			g.gaveUp(q, a.Reason, true)
			g.counts.Of(q.Class).Dropped++
			q.Client.Refused(a.RetryAfter)
			g.release(q)
		}
	case policy.Fail:
		if q := g.requests[a.Request]; q != nil && g.end(q) {
			g.gaveUp(q, a.Reason, false)
			g.fail(q)
			g.release(q)
		}
	case policy.Cancel:
		if q := g.requests[a.Request]; q != nil && a.Attempt < len(q.attempts) && !q.attempts[a.Attempt].done {
			g.backends.Cancel(q.attempts[a.Attempt])
		}
	case policy.Probe:
		g.probes[a.Host] = g.sending
		g.backends.Probe(a.Host)
	case policy.CloseIdleConnections:
		g.backends.CloseIdleConnections(a.Host)
	case policy.StopUsingHost:
		g.backends.StopUsingHost(a.Host)
	case policy.SetTimer:
		token := a.ID
		g.loop.At(g.loop.Now()+a.After, func() { g.events = append(g.events, policy.TimerFired{ID: token}) })
	case policy.Subscribe:
		g.discovery.Subscribe(a.Timeout)
	case policy.Log:
		log.Printf("event=policy text=%q", a.Text)
		if g.acts != nil {
			g.acts.PolicyLogged(a.Text)
		}
	}
}

// gaveUp counts and logs a request that the decisions have given up.
func (g *Gateway) gaveUp(q *Request, why policy.Reason, refused bool) {
	g.givenUp.Add(int(why))
	g.logGiven.Printf(g.loop.Now(), "event=given_up request=%q client=%d class=%d group=%d reason=%s refused=%t attempts=%d",
		q.Name, q.ConnectionID, q.Class, q.Group, why, refused, len(q.attempts))
}
