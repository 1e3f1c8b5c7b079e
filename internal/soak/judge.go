package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"lilaccove/internal/lab"
	"lilaccove/internal/load/run"
)

// Bounds of a verdict on a request.
const (
	answerLate   = 500 * time.Millisecond // an answer later than that is none
	judgeSlack   = 150 * time.Millisecond // of this machine's own
	closeCrosses = 100 * time.Millisecond // a close that comes so soon may have crossed the request
)

// span is a time in which a gateway is excused: its process was killed, stood still or was replaced.
type span struct{ from, to time.Time }

// judge keeps what was done to gateways, and what became of requests.
type judge struct {
	mu       sync.Mutex
	gateway  map[string]string // by clients' address
	excused  map[string][]span // by gateway
	inside   map[string]int    // violations that gateways told, by name
	outside  map[string]int    // those seen from outside
	examples []string
	requests Requests
}

const mostExamples = 40

func newJudge() *judge {
	return &judge{gateway: map[string]string{}, excused: map[string][]span{}, inside: map[string]int{}, outside: map[string]int{}}
}

// started notes where a process serves.
func (j *judge) started(n *lab.Node) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.gateway[n.ClientAddr] = n.Name
}

// excuse begins a time in which a gateway need not answer; the function returned ends it.
func (j *judge) excuse(gateway string) (end func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.excused[gateway] = append(j.excused[gateway], span{from: time.Now()})
	i := len(j.excused[gateway]) - 1
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.excused[gateway][i].to = time.Now()
	}
}

// isExcused tells whether a gateway was excused at some moment of a time.
func (j *judge) isExcused(gateway string, from, to time.Time) bool {
	for _, s := range j.excused[gateway] {
		if s.from.Before(to) && (s.to.IsZero() || s.to.Add(judgeSlack).After(from)) {
			return true
		}
	}
	return false
}

// heard takes in what gateways log of themselves.
func (j *judge) heard(n *lab.Node, line string) {
	_, event, _ := strings.Cut(line, " event=")
	if !strings.HasPrefix(event, "violation ") {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.inside[lab.LogField(event, "name")]++
	j.example("%s %s", n.Name, event)
}

func (j *judge) example(format string, args ...any) {
	if len(j.examples) < mostExamples {
		j.examples = append(j.examples, fmt.Sprintf(format, args...))
	}
}

// violated notes one that was seen from outside.
func (j *judge) violated(name string, times int, format string, args ...any) {
	if times == 0 {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.outside[name] += times
	j.example("%s: "+format, append([]any{name}, args...)...)
}

// request judges one request by the gateway that had it last.
func (j *judge) request(s run.Sample) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := &j.requests
	r.Sent++
	switch s.Outcome {
	case run.InAim, run.Late:
		r.Served++
	case run.Refused, run.RefusedRetryAfter, run.NoConnection:
		r.Refused++
	case run.NotSent:
		r.Unsent++
	case run.InvalidAnswer:
		j.outside["bad_answer"]++
		j.example("bad_answer: request %s at %s", s.LastAttempt.ID, j.gateway[s.LastAttempt.Target])
	default:
		if !s.LastAttempt.Unanswered {
			r.Failed++
			return
		}
		j.unheard(s.LastAttempt)
	}
}

// unheard judges a request that had no answer.
func (j *judge) unheard(t run.Attempt) {
	r, gateway := &j.requests, j.gateway[t.Target]
	r.Unanswered++
	switch took := t.Ended.Sub(t.Sent); {
	case t.Target == "" || gateway == "":
	case j.isExcused(gateway, t.Sent, t.Ended):
	case t.Reused && took < closeCrosses:
		r.CrossedClose++ // a close between requests, which the client tries again
	default:
		r.Lost++
		j.outside["lost"]++
		j.example("lost: request %s at %s, begun at %s, ended after %v, on a connection that was used: %t",
			t.ID, gateway, t.Sent.Format("15:04:05.000"), took.Round(time.Millisecond), t.Reused)
	}
}
