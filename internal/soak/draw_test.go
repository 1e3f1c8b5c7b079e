package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lilaccove/internal/lab"
	"lilaccove/internal/load/run"
)

// A schedule depends only on its seed, lies within the run and contains overlapping faults.
func TestDraw(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed, gateways := rapid.Uint64().Draw(t, "seed"), rapid.IntRange(4, 40).Draw(t, "gateways")
		length := time.Duration(rapid.IntRange(15, 120).Draw(t, "seconds")) * time.Second
		list := Draw(seed, gateways, length, FaultNames())
		assert.Equal(t, list, Draw(seed, gateways, length, FaultNames()))
		assert.GreaterOrEqual(t, len(list), 2)
		assert.Positive(t, CountOverlaps(list))
		for k, fault := range list {
			assert.Equal(t, k+1, fault.Number)
			assert.GreaterOrEqual(t, fault.At, minQuiet)
			assert.LessOrEqual(t, fault.At+fault.Duration, length-calmAtEnd+waveSpread)
			assert.Contains(t, faultKinds, fault.Name)
			for _, g := range fault.Gateways {
				assert.Less(t, g, gateways)
			}
		}
	})
}

func TestSelect(t *testing.T) {
	list := Draw(1, 24, time.Minute, FaultNames())
	all, err := Select(list, nil)
	require.NoError(t, err)
	assert.Equal(t, list, all)
	selected, err := Select(list, []int{2, 1})
	require.NoError(t, err)
	assert.Equal(t, []Fault{list[1], list[0]}, selected)
	_, err = Select(list, []int{len(list) + 1})
	assert.ErrorContains(t, err, "the seed draws")
}

// A request without an answer is a violation by its gateway, unless the gateway was killed or paused meanwhile, or closed
// the idle connection at the same time.
func TestJudge(t *testing.T) {
	now := time.Now()
	unanswered := func(reused bool, from, to time.Duration) run.Sample {
		return run.Sample{Outcome: run.Failed, LastAttempt: run.Attempt{
			Target: "127.0.0.1:1", ID: "r", Reused: reused, Unanswered: true, Sent: now.Add(from), Ended: now.Add(to),
		}}
	}
	for name, c := range map[string]struct {
		excused excuseInterval
		sample  run.Sample
		lost    int
		crossed int
	}{
		"a gateway that kept running":    {sample: unanswered(false, 0, time.Second), lost: 1},
		"a gateway that was killed":      {excused: excuseInterval{now.Add(time.Second / 2), now.Add(2 * time.Second)}, sample: unanswered(false, 0, time.Second)},
		"a gateway that is still down":   {excused: excuseInterval{start: now.Add(-time.Second)}, sample: unanswered(false, 0, time.Second)},
		"a gateway that was back before": {excused: excuseInterval{now.Add(-2 * time.Second), now.Add(-time.Second)}, sample: unanswered(false, 0, time.Second), lost: 1},
		"a close between requests":       {sample: unanswered(true, 0, time.Millisecond), crossed: 1},
		"no close between requests":      {sample: unanswered(true, 0, time.Second), lost: 1},
		"a new connection that closes":   {sample: unanswered(false, 0, time.Millisecond), lost: 1},
		"an answer with an error":        {sample: run.Sample{Outcome: run.Failed, LastAttempt: run.Attempt{Target: "127.0.0.1:1"}}},
		"an unknown gateway":             {sample: run.Sample{Outcome: run.GaveUp, LastAttempt: run.Attempt{Target: "127.0.0.1:2", Unanswered: true}}},
	} {
		t.Run(name, func(t *testing.T) {
			j := newJudge()
			j.registerProcess(&lab.Node{Name: "n0", ClientAddr: "127.0.0.1:1"})
			if !c.excused.start.IsZero() {
				j.excused["n0"] = []excuseInterval{c.excused}
			}
			j.judgeRequest(c.sample)
			assert.Equal(t, c.lost, j.requests.Lost)
			assert.Equal(t, c.lost, j.outside["lost"])
			assert.Equal(t, c.crossed, j.requests.CrossedClose)
		})
	}
}

// A violation or an invalid run makes the report an error. Violations that gateways log are counted by name.
func TestReportErr(t *testing.T) {
	assert.NoError(t, (&Report{Valid: true}).Err())
	assert.ErrorContains(t, (&Report{InvalidReason: "late"}).Err(), "INVALID")
	assert.ErrorContains(t, (&Report{Valid: true, Violations: map[string]ViolationCount{"lost": {Outside: 1}}}).Err(), "violations")
	judge := newJudge()
	judge.onLogLine(&lab.Node{Name: "n0"}, `1 event=violation name=to_draining request="r"`)
	judge.onLogLine(&lab.Node{Name: "n0"}, `1 event=retried request="r"`)
	assert.Equal(t, map[string]int{"to_draining": 1}, judge.inside)
}
