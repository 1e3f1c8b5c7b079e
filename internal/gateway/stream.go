// Streaming: values that are too large to buffer are passed on as they arrive.

package gateway

import (
	"lilaccove/policy"
)

// BeginStream reports that a large value has begun to arrive for an attempt; it returns false if no client
// waits for it. The decision module then considers the request served: other attempts are cancelled, and how
// fast the client reads the rest says nothing about the host.
func (g *Gateway) BeginStream(attempt *Attempt) bool {
	req := attempt.request
	if attempt.done || req.finished {
		return false
	}
	req.finished, req.stream, attempt.reported = true, attempt, true
	req.deadlineTimer.Stop()
	req.Client.BeginStream()
	g.events = append(g.events, policy.Result{
		Request: req.id, Attempt: attempt.number, Host: attempt.Host, Outcome: policy.OK, Latency: g.latency(attempt.sentAt), Finished: true,
	})
	return true
}

// StreamChunk passes on the next bytes of a value; it returns false if the client can take no more for now.
func (g *Gateway) StreamChunk(attempt *Attempt, chunk []byte) (more bool) {
	return attempt.request.stream == attempt && attempt.request.Client.StreamChunk(chunk)
}

// ResumeStream asks for the rest of req's value.
func (g *Gateway) ResumeStream(req *Request) {
	if req.stream != nil {
		g.backends.ResumeStream(req.stream)
	}
}

// streamEnded is Resolved for an attempt whose value was streamed. The position and role that the answer reports are
// still passed on.
func (g *Gateway) streamEnded(attempt *Attempt, outcome policy.Outcome, reply Reply) {
	req, count := attempt.request, g.counts.Class(attempt.request.Class)
	switch {
	case req.stream != attempt: // the client disconnected before
	case outcome == policy.OK:
		g.notifyAccepted(attempt)
		g.reportCommit(req, reply)
		g.endStream(req, &count.Served)
		req.Client.EndStream()
	default:
		g.endStream(req, &count.Failed)
		req.Client.AbortStream(attempt.RowMissing)
	}
	if reply.HasPosition {
		report := policy.Report{Position: reply.Position, HasPosition: true, Role: reply.Role}
		g.events = append(g.events, policy.Result{Host: attempt.Host, Report: report})
	}
	g.release(req)
}

// reportCommit reports the position at the end of a streamed answer, which the Result at its beginning lacked: for a write, its commit.
func (g *Gateway) reportCommit(req *Request, reply Reply) {
	if reply.HasPosition {
		g.events = append(g.events, policy.SessionCommitted{Session: req.Session, Class: req.Class, Position: reply.Position})
	}
}

func (g *Gateway) endStream(req *Request, count *uint64) {
	req.stream = nil
	*count++
	g.unanswered--
}
