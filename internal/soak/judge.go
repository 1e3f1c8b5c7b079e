package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"lilaccove/internal/lab"
	"lilaccove/internal/load/run"
)

// Time limits for judging a request.
const (
	lateAnswerLimit   = 500 * time.Millisecond // after the deadline; a later answer counts as none
	excuseSlack       = 150 * time.Millisecond // delays of this machine after an excuse has ended
	closeCrossingTime = 100 * time.Millisecond // a close this soon may have crossed the request
)

// excuseInterval is a period in which a gateway need not answer: its process was killed, paused or replaced. A zero
// end means that it has not ended.
type excuseInterval struct{ start, end time.Time }

// judge records the faults of gateways and the results of requests, and counts violations.
type judge struct {
	mu       sync.Mutex
	gateways map[string]string           // name by client address
	excused  map[string][]excuseInterval // by gateway
	ending   map[string][]time.Time      // by gateway: when a process of it got SIGTERM
	inside   map[string]int              // violations reported by gateways, by name
	outside  map[string]int              // violations observed from outside, by name
	examples []string
	requests Requests
}

const maxExamples = 40

func newJudge() *judge {
	return &judge{gateways: map[string]string{}, excused: map[string][]excuseInterval{}, ending: map[string][]time.Time{}, inside: map[string]int{}, outside: map[string]int{}}
}

// registerProcess records the client address of a process.
func (j *judge) registerProcess(node *lab.Node) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.gateways[node.ClientAddr] = node.Name
}

// excuse begins a period in which a gateway need not answer. The returned function ends it.
func (j *judge) excuse(gateway string) (end func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.excused[gateway] = append(j.excused[gateway], excuseInterval{start: time.Now()})
	i := len(j.excused[gateway]) - 1
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.excused[gateway][i].end = time.Now()
	}
}

// isExcused reports whether a gateway was excused at any time between start and end.
func (j *judge) isExcused(gateway string, start, end time.Time) bool {
	for _, excuse := range j.excused[gateway] {
		if excuse.start.Before(end) && (excuse.end.IsZero() || excuse.end.Add(excuseSlack).After(start)) {
			return true
		}
	}
	return false
}

// excuses is isExcused for callers that do not hold the lock.
func (j *judge) excuses(gateway string, start, end time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.isExcused(gateway, start, end)
}

// noteEnding records that a process gets SIGTERM.
func (j *judge) noteEnding(gateway string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ending[gateway] = append(j.ending[gateway], time.Now())
}

// isEnding reports whether a process of a gateway got SIGTERM so long before a time that the platform sends it no new connections
// any more. The load generator does, and the first request on such a connection may cross its close.
func (j *judge) isEnding(gateway string, at time.Time) bool {
	for _, ending := range j.ending[gateway] {
		if since := at.Sub(ending); since > connectTime && since < acceptTime+maxKillDelay {
			return true
		}
	}
	return false
}

// mayCrossClose is isEnding for callers that do not hold the lock.
func (j *judge) mayCrossClose(gateway string, at time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.isEnding(gateway, at)
}

// onLogLine counts the violations that gateways log.
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

// addExample adds a text to the examples of the report, up to maxExamples.
func (j *judge) addExample(format string, args ...any) {
	if len(j.examples) < maxExamples {
		j.examples = append(j.examples, fmt.Sprintf(format, args...))
	}
}

// recordViolation counts violations that were observed from outside.
func (j *judge) recordViolation(name string, times int, format string, args ...any) {
	if times == 0 {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.outside[name] += times
	j.addExample("%s: "+format, append([]any{name}, args...)...)
}

// judgeRequest counts the result of a request and attributes a missing answer to the gateway of its last attempt.
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

// judgeUnanswered decides whether a request without an answer is a violation.
func (j *judge) judgeUnanswered(attempt run.Attempt) {
	requests, gateway := &j.requests, j.gateways[attempt.Target]
	requests.Unanswered++
	switch elapsed := attempt.Ended.Sub(attempt.Sent); {
	case attempt.Target == "" || gateway == "":
	case j.isExcused(gateway, attempt.Sent, attempt.Ended):
	case (attempt.Reused || j.isEnding(gateway, attempt.Sent)) && elapsed < closeCrossingTime:
		requests.CrossedClose++ // the gateway closed the idle connection; clients retry after that
	default:
		requests.Lost++
		j.outside["lost"]++
		j.addExample("lost: request %s at %s, sent at %s, ended after %v, on a reused connection: %t",
			attempt.ID, gateway, attempt.Sent.Format("15:04:05.000"), elapsed.Round(time.Millisecond), attempt.Reused)
	}
}
