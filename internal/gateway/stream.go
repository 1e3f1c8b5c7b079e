// Values that are too large to be collected: they are passed on as they come.

package gateway

import (
	"lilaccove/policy"
)

// Began tells that a large value has begun to come for an attempt; false: nobody waits for it. The
// request is served as far as the decisions go: other copies are called off, and how fast the client
// reads the rest says nothing of the host.
func (g *Gateway) Began(a *Attempt) bool {
	q := a.q
	if a.done || q.over {
		return false
	}
	q.over, q.stream, a.told = true, a, true
	q.overdue.Stop()
	q.Client.BeginStream()
	g.events = append(g.events, policy.Result{
		Request: q.id, Attempt: a.number, Host: a.Host, Outcome: policy.OK, Latency: g.took(a.sentAt), Finished: true,
	})
	return true
}

// Part passes on what has come of a value; false: no more for now.
func (g *Gateway) Part(a *Attempt, b []byte) (more bool) {
	return a.q.stream == a && a.q.Client.StreamChunk(b)
}

// More asks for what follows of q's value.
func (g *Gateway) More(q *Request) {
	if q.stream != nil {
		g.backends.ResumeStream(q.stream)
	}
}

// ended is Resolved for an attempt whose value was passed on. What it tells of the host is still news.
func (g *Gateway) ended(a *Attempt, o policy.Outcome, r Reply) {
	q, count := a.q, g.counts.Of(a.q.Class)
	switch {
	case q.stream != a: // the client left before
	case o == policy.OK:
		g.accepted(a)
		g.endStream(q, &count.Passed)
		q.Client.EndStream()
	default:
		g.endStream(q, &count.BadGateway)
		q.Client.AbortStream()
	}
	if r.HasPosition {
		told := policy.Report{Position: r.Position, HasPosition: true, Role: r.Role}
		g.events = append(g.events, policy.Result{Host: a.Host, Report: told})
	}
	g.release(q)
}

func (g *Gateway) endStream(q *Request, count *uint64) {
	q.stream = nil
	*count++
	g.owed--
}
