package run

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/load/plan"
	"lilaccove/internal/standin"
)

func parsePlan(t *testing.T, stages, more string) (*plan.Plan, []plan.Arrival) {
	p, err := plan.Parse("p", []byte("arrivals: even\nsessions: {count: 7}\n"+more+`
classes:
  read: {kind: session-read, mix: 100%, aim: 500 ms, deadline: 5 s}
stages: [`+stages+"]\n"))
	require.NoError(t, err)
	list, err := plan.Schedule(p)
	require.NoError(t, err)
	return p, list
}

// startDatabase starts one stand-in database with a known delay, used in place of a gateway.
func startDatabase(t *testing.T, opt standin.Options) (*standin.World, string) {
	opt.Groups, opt.Members = 1, 1
	world, err := standin.New(opt)
	require.NoError(t, err)
	t.Cleanup(world.Close)
	var list struct{ Hosts []struct{ Dial string } }
	require.NoError(t, json.Unmarshal(world.List(), &list))
	return world, list.Hosts[0].Dial
}

// Percentiles follow the theoretical curve, with computed latencies: exponential ones, and a full stall of a second
// under steady arrivals. Latency from the scheduled time shows the stall, service from the time of sending hides it.
func TestMeasuredCurves(t *testing.T) {
	p, list := parsePlan(t, "{shape: constant, rate: 1000/s, for: 20 s}", "")
	rnd := rand.New(rand.NewPCG(1, 1))
	rec := NewRecorder(p)
	const mean = 20 * time.Millisecond
	for _, a := range list {
		d := time.Duration(float64(mean) * rnd.ExpFloat64())
		rec.Add(Sample{Arrival: a, Outcome: InAim, Latency: d, Service: d, Attempts: 1})
	}
	r := rec.Report(len(list), len(list))
	for _, q := range r.Curve {
		if q.Percentile > 1 && q.Percentile < 99.5 {
			want := -math.Log(1-q.Percentile/100) * 20
			assert.InDelta(t, want, q.Latency, 0.4+want*0.05, "p%v", q.Percentile)
		}
	}

	rec = NewRecorder(p)
	for _, a := range list { // a worker that answers in 1 ms but stalls from 5 s to 6 s
		wait := time.Duration(0)
		if a.At >= 5*time.Second && a.At < 6*time.Second {
			wait = 6*time.Second - a.At
		}
		rec.Add(Sample{Arrival: a, Outcome: InAim, Latency: wait + time.Millisecond, Service: time.Millisecond, Attempts: 1})
	}
	r = rec.Report(len(list), len(list))
	// One in twenty waited, evenly between 0 and 1 s, so the 99th percentile is at 4/5 of a second.
	assert.InDelta(t, 800, r.Total.Latency[2], 15)
	assert.InDelta(t, 1, r.Total.Service[4], 0.1, "service from the time of sending hides the stall")
}

// On real sockets, with a database of known delay that stalls once: latency counts from the scheduled time, also for
// requests that wait for a connection.
func TestKnownDelayOnSockets(t *testing.T) {
	w, addr := startDatabase(t, standin.Options{Cores: 50, Queue: 1000, Service: 10 * time.Millisecond})
	p, list := parsePlan(t, "{shape: constant, rate: 200/s, for: 2 s}", "connections: 20\nstall: 2 s\n")
	resume := make(chan func(), 1)
	timer := time.AfterFunc(time.Second, func() { resume <- w.Pause(1) })
	defer timer.Stop()
	time.AfterFunc(1500*time.Millisecond, func() { (<-resume)() })
	rec := NewRecorder(p)
	r := &Runner{Plan: p, Arrivals: list, Targets: []string{addr}, OnSample: rec.Add}
	sent, err := r.Play(context.Background())
	require.NoError(t, err)
	out := rec.Report(len(list), sent)
	assert.Equal(t, 400, out.Total.Count)
	assert.Zero(t, out.Total.Counts[NotSent]+out.Total.Counts[Failed]+out.Total.Counts[NoConnection])
	assert.GreaterOrEqual(t, out.Total.Latency[0], 10.0, "no request is faster than the delay")
	// 100 of the 400 requests were due during the stall of 0.5 s, and a tenth waited 200 ms or more. Only the 20 that
	// had a connection were sent during it, so the service time shows far fewer.
	slow := func(list []float64) float64 { return list[1] }
	assert.Greater(t, slow(out.Total.Latency), 150.0)
	assert.Less(t, slow(out.Total.Service), slow(out.Total.Latency)/2)
}

// Under overload the queue and with it the latency grow. Requests beyond the limit of outstanding ones are counted.
func TestOverloadIsBounded(t *testing.T) {
	_, addr := startDatabase(t, standin.Options{Cores: 1, Queue: 10000, Service: 20 * time.Millisecond})
	p, list := parsePlan(t, "{shape: constant, rate: 400/s, for: 2 s}", "connections: 50\noutstanding: 100\nstall: 2 s\n")
	rec := NewRecorder(p)
	r := &Runner{Plan: p, Arrivals: list, Targets: []string{addr}, OnSample: rec.Add}
	sent, err := r.Play(context.Background())
	require.NoError(t, err)
	out := rec.Report(len(list), sent)
	assert.Equal(t, 800, out.Total.Count, "all requests are counted")
	assert.Greater(t, out.Total.Counts[NotSent], 400)
	assert.Greater(t, out.Total.Latency[4], 1000.0)
}

// A stall of the generator is reported apart from waiting for the gateway and makes the run invalid. Requests that were due
// during the stall are still sent.
func TestOwnStallInvalidatesRun(t *testing.T) {
	_, addr := startDatabase(t, standin.Options{Cores: 50, Queue: 1000, Service: time.Millisecond})
	p, list := parsePlan(t, "{shape: constant, rate: 100/s, for: 1 s}", "stall: 200 ms\n")
	rec := NewRecorder(p)
	stalled := false
	r := &Runner{Plan: p, Arrivals: list, Targets: []string{addr}, OnSample: rec.Add, BeforeSend: func(at time.Duration) {
		if at > 300*time.Millisecond && !stalled {
			stalled = true
			time.Sleep(400 * time.Millisecond)
		}
	}}
	sent, err := r.Play(context.Background())
	require.NoError(t, err)
	out := rec.Report(len(list), sent)
	assert.True(t, out.Invalid)
	require.NotEmpty(t, out.Stalls)
	assert.InDelta(t, 0.305, out.Stalls[0].At.Seconds(), 0.05)
	assert.Equal(t, 100, out.Total.Count)
	assert.Zero(t, out.Total.Counts[NotSent])
	var b bytes.Buffer
	require.NoError(t, out.WriteText(&b))
	assert.Contains(t, b.String(), "INVALID")
}

func TestLoopbackOnly(t *testing.T) {
	for _, target := range []string{"10.0.0.4:5432", "example:5432", "127.0.0.1", "[2001:db8::1]:1", ""} {
		assert.Error(t, CheckLoopback(target), target)
	}
	assert.NoError(t, CheckLoopback("127.8.0.1:5432"))
	assert.NoError(t, CheckLoopback("[::1]:5432"))
	p, list := parsePlan(t, "{shape: constant, rate: 10/s, for: 1 s}", "")
	_, err := (&Runner{Plan: p, Arrivals: list, Targets: []string{"10.0.0.4:5432"}}).Play(context.Background())
	assert.ErrorContains(t, err, "not a loopback address")
}

// An interrupted run is reported as partial, with the samples up to then.
func TestInterruptedRunIsPartial(t *testing.T) {
	_, addr := startDatabase(t, standin.Options{Cores: 50, Queue: 1000, Service: time.Millisecond})
	p, list := parsePlan(t, "{shape: constant, rate: 100/s, for: 60 s}", "stall: 5 s\n")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	rec := NewRecorder(p)
	r := &Runner{Plan: p, Arrivals: list, Targets: []string{addr}, OnSample: func(s Sample) {
		rec.Add(s)
		if s.Arrival.Number == 20 {
			cancel()
		}
	}}
	sent, err := r.Play(ctx)
	require.NoError(t, err)
	out := rec.Report(len(list), sent)
	assert.True(t, out.Partial)
	assert.Equal(t, sent, out.Total.Count)
	assert.Less(t, sent, 1000)
}

func TestReports(t *testing.T) {
	p, list := parsePlan(t, "{shape: constant, rate: 100/s, for: 3 s}", "")
	report := func(d time.Duration, o Outcome) *Report {
		rec := NewRecorder(p)
		for i, a := range list {
			s := Sample{Arrival: a, Outcome: InAim, Latency: d, Service: d, Attempts: 1}
			if i%10 == 0 {
				s.Outcome = o
			}
			rec.Add(s)
		}
		return rec.Report(len(list), len(list))
	}
	a, b := report(10*time.Millisecond, Refused), report(20*time.Millisecond, InAim)
	assert.InDelta(t, 0.9, a.Goodput, 0.001)
	var text bytes.Buffer
	require.NoError(t, Compare(&text, a, b))
	assert.Contains(t, text.String(), "+10.0")
	other := *b
	other.PlanID = "another"
	assert.ErrorContains(t, Compare(&text, a, &other), "different plans")
	prefix := filepath.Join(t.TempDir(), "x")
	require.NoError(t, a.WritePlots(prefix))
	for _, name := range []string{"latency", "service"} {
		info, err := os.Stat(fmt.Sprintf("%s-%s.png", prefix, name))
		require.NoError(t, err)
		assert.Greater(t, info.Size(), int64(5000))
	}
}
