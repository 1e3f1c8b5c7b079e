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
	lateAnswerLimit   = 500 * time.Millisecond // an answer later than that is none
	excuseSlack       = 150 * time.Millisecond // of this machine's own
	closeCrossingTime = 100 * time.Millisecond // a close that comes so soon may have crossed the request
)

// interval is a time in which a gateway is excused: its process was killed, stood still or was replaced.
type interval struct{ start, end time.Time }

// judge keeps what was done to gateways, and what became of requests.
type judge struct {
	mu       sync.Mutex
	gateways map[string]string     // by clients' address
	excused  map[string][]interval // by gateway
	inside   map[string]int        // violations that gateways told, by name
	outside  map[string]int        // those seen from outside
	examples []string
	requests Requests
}

const maxExamples = 40

func newJudge() *judge {
	return &judge{gateways: map[string]string{}, excused: map[string][]interval{}, inside: map[string]int{}, outside: map[string]int{}}
}

// registerProcess notes where a process serves.
func (j *judge) registerProcess(node *lab.Node) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.gateways[node.ClientAddr] = node.Name
}

// excuse begins a time in which a gateway need not answer; the function returned ends it.
func (j *judge) excuse(gateway string) (end func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.excused[gateway] = append(j.excused[gateway], interval{start: time.Now()})
	i := len(j.excused[gateway]) - 1
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.excused[gateway][i].end = time.Now()
	}
}

// isExcused tells whether a gateway was excused at some moment of a time.
func (j *judge) isExcused(gateway string, start, end time.Time) bool {
	for _, excuse := range j.excused[gateway] {
		if excuse.start.Before(end) && (excuse.end.IsZero() || excuse.end.Add(excuseSlack).After(start)) {
			return true
		}
	}
	return false
}

// onLogLine takes in what gateways log of themselves.
func (j *judge) onLogLine(node *lab.Node, line string) {
	_, event, _ := strings.Cut(line, " event=")
	if !strings.HasPrefix(event, "violation ") {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.inside[lab.LogField(event, "name")]++
	j.addExample("%s %s", node.Name, event)
}

func (j *judge) addExample(format string, args ...any) {
	if len(j.examples) < maxExamples {
		j.examples = append(j.examples, fmt.Sprintf(format, args...))
	}
}

// recordViolation notes one that was seen from outside.
func (j *judge) recordViolation(name string, times int, format string, args ...any) {
	if times == 0 {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.outside[name] += times
	j.addExample("%s: "+format, append([]any{name}, args...)...)
}

// judgeRequest judges one judgeRequest by the gateway that had it last.
func (j *judge) judgeRequest(sample run.Sample) {
	j.mu.Lock()
	defer j.mu.Unlock()
	requests := &j.requests
	requests.Sent++
	switch sample.Outcome {
	case run.InAim, run.Late:
		requests.Served++
	case run.Refused, run.RefusedRetryAfter, run.NoConnection:
		requests.Refused++
	case run.NotSent:
		requests.Unsent++
	case run.InvalidAnswer:
		j.outside["bad_answer"]++
		j.addExample("bad_answer: request %s at %s", sample.LastAttempt.ID, j.gateways[sample.LastAttempt.Target])
	default:
		if !sample.LastAttempt.Unanswered {
			requests.Failed++
			return
		}
		j.judgeUnanswered(sample.LastAttempt)
	}
}

// judgeUnanswered judges a request that had no answer.
func (j *judge) judgeUnanswered(attempt run.Attempt) {
	requests, gateway := &j.requests, j.gateways[attempt.Target]
	requests.Unanswered++
	switch elapsed := attempt.Ended.Sub(attempt.Sent); {
	case attempt.Target == "" || gateway == "":
	case j.isExcused(gateway, attempt.Sent, attempt.Ended):
	case attempt.Reused && elapsed < closeCrossingTime:
		requests.CrossedClose++ // a close between requests, which the client tries again
	default:
		requests.Lost++
		j.outside["lost"]++
		j.addExample("lost: request %s at %s, begun at %s, ended after %v, on a connection that was used: %t",
			attempt.ID, gateway, attempt.Sent.Format("15:04:05.000"), elapsed.Round(time.Millisecond), attempt.Reused)
	}
}
