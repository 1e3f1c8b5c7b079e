package invariant

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"lilaccove/policy"
)

const (
	ms  = time.Millisecond
	now = 100 * time.Second
)

var testSettings = policy.Settings{
	DrainGrace: 250 * ms,
	Classes: []policy.Class{
		{RetrySafety: policy.Retryable}, {RetrySafety: policy.DedupGroup, DedupWindow: time.Second}, {RetrySafety: policy.AtMostOnce},
		{Level: policy.Recent, Bound: time.Second},
	},
}

// validAttempt is an attempt that violates nothing.
func validAttempt() Attempt {
	return Attempt{Now: now, Request: "r", Client: 7, Database: "d", Deadline: now + time.Second, DatabaseTimeout: time.Second}
}

// staleReplica returns a change that records a database whose position lags a primary's by age, and makes the attempt a
// read with a staleness bound of a second.
func staleReplica(role policy.Role, age time.Duration) func(g *Guard, attempt *Attempt) {
	return func(g *Guard, attempt *Attempt) {
		const reportedAt = now - 200*ms
		g.RecordAnswer("d", role, now-age-socketSlack, reportedAt)
		g.RecordAnswer("p", policy.Primary, reportedAt, reportedAt)
		attempt.Class = 3
	}
}

func TestCheckAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		change func(g *Guard, attempt *Attempt)
		want   []Name
	}{
		"a first attempt":  {change: func(*Guard, *Attempt) {}},
		"a harmless retry": {change: func(_ *Guard, attempt *Attempt) { attempt.MayRun = true }},
		"a retry within its window": {change: func(_ *Guard, attempt *Attempt) {
			attempt.MayRun, attempt.Class, attempt.MayRunSince = true, 1, now-time.Second
		}},
		"a retry after its window": {change: func(_ *Guard, attempt *Attempt) {
			attempt.MayRun, attempt.Class, attempt.MayRunSince = true, 1, now-time.Second-51*ms
		}, want: []Name{AfterDedupWindow}},
		"a forbidden retry":            {change: func(_ *Guard, attempt *Attempt) { attempt.MayRun, attempt.Class = true, 2 }, want: []Name{RetryForbidden}},
		"after the deadline":           {change: func(_ *Guard, attempt *Attempt) { attempt.Deadline, attempt.DatabaseTimeout = now-ms, 0 }, want: []Name{AfterDeadline}},
		"within the client grace":      {change: func(_ *Guard, attempt *Attempt) { attempt.ClientGoneTime = now - 100*ms }},
		"after the client left":        {change: func(_ *Guard, attempt *Attempt) { attempt.ClientGoneTime = now - 101*ms }, want: []Name{AfterClientGone}},
		"after the answer":             {change: func(_ *Guard, attempt *Attempt) { attempt.Answered = true }, want: []Name{AfterAnswer}},
		"with another outstanding":     {change: func(_ *Guard, attempt *Attempt) { attempt.OtherAttempts = 1 }, want: []Name{ConcurrentAttempt}},
		"timeout within the tolerance": {change: func(_ *Guard, attempt *Attempt) { attempt.DatabaseTimeout += 150 * ms }},
		"timeout too long":             {change: func(_ *Guard, attempt *Attempt) { attempt.DatabaseTimeout += 151 * ms }, want: []Name{DeadlineTooLong}},
		"draining, within the grace":   {change: func(g *Guard, _ *Attempt) { g.RecordStatus("d", policy.Draining, now-300*ms) }},
		"draining":                     {change: func(g *Guard, _ *Attempt) { g.RecordStatus("d", policy.Draining, now-301*ms) }, want: []Name{ToDraining}},
		"draining, listed again": {change: func(g *Guard, _ *Attempt) {
			g.RecordStatus("d", policy.Draining, now-time.Second)
			g.RecordStatus("d", policy.Gone, now)
		}, want: []Name{ToDraining}},
		"draining, then healthy": {change: func(g *Guard, _ *Attempt) {
			g.RecordStatus("d", policy.Draining, now-time.Second)
			g.RecordStatus("d", policy.Healthy, now)
		}},
		"gone": {change: func(g *Guard, _ *Attempt) { g.RecordStatus("d", policy.Gone, now-time.Second) }, want: []Name{ToDraining}},
		"gone, if that is advisory": {change: func(g *Guard, _ *Attempt) {
			g.settings.GoneIsAdvisory = true
			g.RecordStatus("d", policy.Gone, now-time.Second)
		}},
		"suspended": {change: func(g *Guard, _ *Attempt) {
			g.RecordSuspension("d", true, now-time.Second)
			g.RecordSuspension("d", true, now)
		}, want: []Name{ToSuspended}},
		"suspended, then resumed": {change: func(g *Guard, _ *Attempt) {
			g.RecordSuspension("d", true, now-time.Second)
			g.RecordSuspension("d", false, now)
		}},
		"stale by its own report": {change: staleReplica(policy.Replica, 2*time.Second+ms), want: []Name{StaleRead}},
		"not quite stale":         {change: staleReplica(policy.Replica, 2*time.Second-ms)},
		"stale, but a primary":    {change: staleReplica(policy.Primary, time.Minute)},
		"stale, and promoted since": {change: func(g *Guard, attempt *Attempt) {
			staleReplica(policy.Replica, time.Minute)(g, attempt)
			g.RecordPrimary("d")
		}},
		"stale, but fresh by a later report of others": {change: func(g *Guard, attempt *Attempt) {
			staleReplica(policy.Replica, time.Minute)(g, attempt)
			g.RecordPosition("d", now-time.Second)
		}},
		"stale, also by a later report of others": {change: func(g *Guard, attempt *Attempt) {
			staleReplica(policy.Replica, time.Minute)(g, attempt)
			g.RecordPosition("d", now-3*time.Second)
		}, want: []Name{StaleRead}},
		"stale by an old report": {change: func(g *Guard, attempt *Attempt) {
			staleReplica(policy.Replica, time.Minute)(g, attempt)
			attempt.Now += 900 * ms
			attempt.Deadline += time.Second
		}},
		"stale, if databases check reads": {change: func(g *Guard, attempt *Attempt) {
			g.settings.StaleReadMode = policy.StaleReadReject
			staleReplica(policy.Replica, time.Minute)(g, attempt)
		}},
		"two violations":   {change: func(_ *Guard, attempt *Attempt) { attempt.OtherAttempts, attempt.Answered = 1, true }, want: []Name{AfterAnswer, ConcurrentAttempt}},
		"an unknown class": {change: func(_ *Guard, attempt *Attempt) { attempt.MayRun, attempt.Class = true, 9 }},
	} {
		t.Run(name, func(t *testing.T) {
			var got []Name
			g := New(testSettings, func(v Violation) {
				assert.Equal(t, "r", v.Request)
				assert.Equal(t, policy.HostID("d"), v.Database)
				got = append(got, v.Name)
			})
			attempt := validAttempt()
			c.change(g, &attempt)
			g.CheckAttempt(&attempt)
			assert.Equal(t, c.want, got)
			for n := range NameCount {
				assert.Equal(t, countOf(c.want, n), g.Count(n), n)
			}
		})
	}
}

func countOf(list []Name, n Name) (times uint64) {
	for _, x := range list {
		if x == n {
			times++
		}
	}
	return times
}

func TestOtherChecks(t *testing.T) {
	var got []Name
	g := New(testSettings, func(v Violation) { got = append(got, v.Name) })
	g.CheckAnswer("r", 1, false)
	g.CheckClose(1, "r", 0)
	g.CheckReady(true)
	g.CheckOverrideKept(true)
	assert.Empty(t, got)
	g.CheckAnswer("r", 1, true)
	g.CheckClose(1, "r", 2)
	g.CheckReady(false)
	g.CheckOverrideKept(false)
	g.RecordViolation(Violation{Name: NeverAnswered})
	assert.Equal(t, []Name{AnsweredTwice, ClosedUnanswered, ReadyTooEarly, OverrideNotKept, NeverAnswered}, got)
	for _, text := range AllNames() {
		assert.NotEmpty(t, text)
	}
}

// A nil guard, of a gateway without checks, does nothing.
func TestNilGuardChecksNothing(t *testing.T) {
	var g *Guard
	attempt := validAttempt()
	g.CheckAttempt(&attempt)
	g.RecordStatus("d", policy.Draining, now)
	g.RecordSuspension("d", true, now)
	g.CheckAnswer("", 0, true)
	g.CheckClose(0, "", 1)
	g.CheckReady(false)
	g.CheckOverrideKept(false)
	g.RecordViolation(Violation{})
	assert.Zero(t, g.Count(AnsweredTwice))
}

func BenchmarkCheckAttempt(b *testing.B) {
	g := New(testSettings, func(Violation) {})
	g.RecordStatus("d", policy.Draining, now)
	attempt := validAttempt()
	for b.Loop() {
		g.CheckAttempt(&attempt)
	}
}
