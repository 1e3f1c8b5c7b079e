// Package calibrate compares hollow gateways with real ones under the same idle or loaded traffic. For both kinds the cost of
// the control side is the difference between gateways with and without a fleet file.
package calibrate

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"lilaccove/internal/hollow"
	"lilaccove/internal/lab"
	"lilaccove/internal/load/plan"
	"lilaccove/internal/load/run"
	"lilaccove/internal/stats"
)

const (
	groupSize    = 4               // databases per group
	warmUp       = 4 * time.Second // under load, before anything is measured
	agreeTimeout = 30 * time.Second
	tolerance    = 0.15 // relative difference allowed between hollow and real gateways
)

// Options are the settings of one calibration.
type Options struct {
	Gateways, Databases int
	MeasuredTime        time.Duration
	Statements          float64       // per second, of each gateway; 0: idle
	GatewayCommand      []string      // command of a real gateway
	HollowCommand       []string      // command of the process with the hollow gateways
	Env                 []string      // additional environment of the real gateways
	HollowEnv           []string      // additional environment of the hollow gateways' process
	Settle              time.Duration // after all gateways have the same view, before anything is measured
	Seed                uint64
	Budget              int // connections of all gateways to each database; 0: no budget
	Logs                *os.File

	barrier *barrier // passed before anything is measured
}

// Spread is a figure over all gateways.
type Spread struct {
	Mean float64 `json:"mean"`
	P99  float64 `json:"p99"`
	Max  float64 `json:"max"`
}

// Rates are one role's traffic, the mean over the gateways.
type Rates struct {
	BytesOut        float64 `json:"bytes_out_per_s"`
	BytesIn         float64 `json:"bytes_in_per_s"`
	Messages        float64 `json:"messages_per_s"`
	MessagesIn      float64 `json:"messages_in_per_s"`
	BytesPerMessage float64 `json:"bytes_of_a_message"`
}

// Side is the result of one kind of gateways.
type Side struct {
	Gateways           int               `json:"gateways"`
	Databases          int               `json:"databases"`
	Seconds            float64           `json:"seconds"`
	Statements         float64           `json:"statements_per_s"` // of one gateway
	Control            map[string]Spread `json:"control"`
	ByRole             map[string]Rates  `json:"by_role"`
	CoreWith           float64           `json:"core_percent_with_fleet"`
	CoreWithout        float64           `json:"core_percent_without_fleet"`
	MemoryWith         float64           `json:"memory_mb_with_fleet"`
	MemoryWithout      float64           `json:"memory_mb_without_fleet"`
	PositionsLearned   float64           `json:"positions_learned_per_s"` // updates from databases
	PositionsReceived  float64           `json:"positions_heard_per_s"`   // updates from other gateways
	FeedCore           float64           `json:"feed_core_percent,omitempty"`
	SharedCore         float64           `json:"shared_core_percent_with_fleet,omitempty"` // of the process, not of a single gateway: the garbage collector and the runtime
	SharedCoreWithout  float64           `json:"shared_core_percent_without_fleet,omitempty"`
	MonitorCore        float64           `json:"monitor_core_percent_with_fleet"` // of the runtime's monitor thread, not included in the figures above
	MonitorCoreWithout float64           `json:"monitor_core_percent_without_fleet"`
	LiveHeap           float64           `json:"live_heap_mb_with_fleet,omitempty"` // live heap per gateway
	LiveHeapWithout    float64           `json:"live_heap_mb_without_fleet,omitempty"`
	LateMSMax          float64           `json:"late_ms_max,omitempty"`
	ServedShare        float64           `json:"served,omitempty"` // share of the requests served within their aim
}

// Report is the result of a calibration.
type Report struct {
	Command      string             `json:"command"`
	State        string             `json:"state"`
	Hollow       Side               `json:"hollow"`
	Real         Side               `json:"real"`
	Ratio        map[string]float64 `json:"ratio"`   // hollow / real
	Differences  []string           `json:"differ"`  // ratios that differ from 1 by more than 15%
	Explanations map[string]string  `json:"explain"` // reasons for differences
	Seed         uint64             `json:"seed"`
}

// sample holds the counters of one gateway at one time.
type sample struct {
	at             time.Time
	cpu, feed      float64 // ms; feed: the part of cpu for work that real gateways do not have
	monitor        float64 // ms, not included in cpu; of real gateways only
	memory         float64 // MB
	roles          map[string]stats.Traffic
	learned, heard uint64
	statements     uint64
}

const planText = `seed: %d
groups: %d
sessions: {count: %d, follow: 0%%, after: 100 ms}
connections: 40
stall: 2 s
classes:
  browse: {kind: bounded-read, mix: 70%%, aim: 500 ms, deadline: 1200 ms, bound: 3 s}
  own: {kind: session-read, mix: 20%%, aim: 500 ms, deadline: 1500 ms}
  write: {kind: write, mix: 10%%, aim: 600 ms, deadline: 3 s}
stages: [{shape: constant, rate: %g/s, for: %d ms}]
lab: {gateways: %d, members: %d, cores: 8, service: 2 ms, lag: 10 ms, fleet: %t%s}
`

// Run measures both kinds of gateways, with and without a fleet file.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Gateways < 2 || o.Databases < groupSize || o.Databases%groupSize != 0 {
		return nil, fmt.Errorf("at least 2 gateways and %d databases are needed, in whole groups of %d", groupSize, groupSize)
	}
	r := &Report{State: "idle", Seed: o.Seed}
	if o.Statements > 0 {
		r.State = "loaded"
	}
	// All four run at once, so that other load on the machine affects them equally.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o.barrier = newBarrier(4)
	var realBaseline, hollowBaseline Side
	ended := make(chan error, 1)
	go func() {
		var err error
		if realBaseline, hollowBaseline, err = o.runBoth(ctx, false); err != nil {
			cancel()
		}
		ended <- err
	}()
	var err error
	if r.Real, r.Hollow, err = o.runBoth(ctx, true); err != nil {
		cancel()
	}
	if err = rootError(err, <-ended); err != nil {
		return nil, err
	}
	r.Real.subtractBaseline(realBaseline)
	r.Hollow.subtractBaseline(hollowBaseline)
	r.setRatios()
	return r, nil
}

// subtractBaseline subtracts what the same gateways cost without a fleet file.
func (s *Side) subtractBaseline(o Side) {
	s.CoreWithout, s.MemoryWithout, s.SharedCoreWithout, s.LiveHeapWithout, s.MonitorCoreWithout = o.CoreWith, o.MemoryWith, o.SharedCore, o.LiveHeap, o.MonitorCore
	without := o.CoreWith
	if s.SharedCore > 0 { // the collector works for all gateways of the process, on threads of its own
		without += o.SharedCore - s.SharedCore
	}
	core, memory := s.Control["core_percent"], s.Control["memory_mb"]
	s.Control["core_percent"] = Spread{Mean: core.Mean - without, P99: core.P99 - without, Max: core.Max - without}
	s.Control["memory_mb"] = Spread{Mean: memory.Mean - s.MemoryWithout, P99: memory.P99 - s.MemoryWithout, Max: memory.Max - s.MemoryWithout}
}

func (r *Report) setRatios() {
	r.Ratio = map[string]float64{}
	note := func(name string, hollowValue, realValue float64) {
		if realValue == 0 && hollowValue == 0 {
			return
		}
		x := math.Round(hollowValue/realValue*1000) / 1000
		if math.IsInf(x, 0) || math.IsNaN(x) {
			x = -1
		}
		r.Ratio[name] = x
		if x < 1-tolerance || x > 1+tolerance {
			r.Differences = append(r.Differences, fmt.Sprintf("%s: hollow %.4g, real %.4g", name, hollowValue, realValue))
		}
	}
	for _, name := range []string{"bytes_out_per_s", "bytes_in_per_s", "messages_per_s", "core_percent", "memory_mb"} {
		note(name, r.Hollow.Control[name].Mean, r.Real.Control[name].Mean)
	}
	for _, role := range slices.Sorted(maps.Keys(r.Real.ByRole)) {
		h, x := r.Hollow.ByRole[role], r.Real.ByRole[role]
		note(role+".bytes_out_per_s", h.BytesOut, x.BytesOut)
		note(role+".bytes_in_per_s", h.BytesIn, x.BytesIn)
		note(role+".messages_per_s", h.Messages, x.Messages)
	}
	note("positions_learned_per_s", r.Hollow.PositionsLearned, r.Real.PositionsLearned)
	note("positions_heard_per_s", r.Hollow.PositionsReceived, r.Real.PositionsReceived)
	note("statements_per_s", r.Hollow.Statements, r.Real.Statements)
	r.Explanations = map[string]string{
		"core_percent": fmt.Sprintf("without the runtime's monitor, a thread that each process has: %.3f%% of a core of a real gateway with a fleet file, "+
			"%.3f%% without one; all hollow ones of a process share one. Add the difference to the figures of hollow gateways", r.Real.MonitorCore, r.Real.MonitorCoreWithout),
		"memory_mb": fmt.Sprintf("the collector lets the heap of a process grow to 16 MB, or to five times the live heap, before it runs: in a real gateway "+
			"that garbage is its own, all hollow ones of a process share it. The live heap with a fleet file is %.2f MB per hollow gateway (0: nothing was "+
			"collected yet); take the memory of a process from real ones, and its slope from the live heap", r.Hollow.LiveHeap),
	}
}

// runBoth runs real and hollow gateways at the same time, with the same databases and discovery, on the same machine.
func (o Options) runBoth(ctx context.Context, fleet bool) (realSide, hollowSide Side, err error) {
	fleetSettings := ""
	if fleet {
		fleetSettings = ", positions: true, primaries: true"
		if o.Budget > 0 {
			fleetSettings += fmt.Sprintf(", budget: %d", o.Budget)
		}
	}
	rate := max(1, o.Statements*float64(o.Gateways))
	length := warmUp + o.MeasuredTime + 2*time.Second
	text := fmt.Sprintf(planText, o.Seed, o.Databases/groupSize, 64*o.Gateways, rate, length.Milliseconds(), o.Gateways, groupSize, fleet, fleetSettings)
	p, err := plan.Parse("calibrate", []byte(text))
	if err != nil {
		return realSide, hollowSide, err
	}
	list, err := plan.Schedule(p)
	if err != nil {
		return realSide, hollowSide, err
	}
	l := &lab.Lab{Plan: p, Arrivals: list, Gateway: o.GatewayCommand, Env: o.Env}
	if o.Logs != nil {
		l.Log = o.Logs
	}
	if err := l.Open(); err != nil {
		return realSide, hollowSide, err
	}
	defer l.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error, 1)
	go func() {
		var err error
		if hollowSide, err = o.hollowSide(ctx, l, fleet); err != nil {
			err = fmt.Errorf("hollow gateways: %w", err)
			cancel()
		}
		ended <- err
	}()
	if realSide, err = o.realSide(ctx, l, fleet); err != nil {
		err = fmt.Errorf("real gateways: %w", err)
		cancel()
	}
	return realSide, hollowSide, rootError(err, <-ended)
}

// rootError returns the error that ended both sides, not the cancellation of the other side.
func rootError(a, b error) error {
	if a == nil || errors.Is(a, context.Canceled) && b != nil {
		return b
	}
	return a
}

// barrier blocks until all participants have reached it.
type barrier struct {
	remaining atomic.Int32
	reached   chan struct{}
}

func newBarrier(n int32) *barrier {
	b := &barrier{reached: make(chan struct{})}
	b.remaining.Store(n)
	return b
}

func (b *barrier) wait(ctx context.Context) error {
	if b.remaining.Add(-1) == 0 {
		close(b.reached)
	}
	select {
	case <-b.reached:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// sleep waits for d; it returns an error if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (o Options) realSide(ctx context.Context, l *lab.Lab, fleet bool) (Side, error) {
	if fleet {
		deadline := time.Now().Add(agreeTimeout)
		for agreed := 0; agreed < o.Gateways; {
			agreed = 0
			for i := range o.Gateways {
				if r, err := l.Node(i).Fleet(); err == nil && len(r.View.Members) == o.Gateways {
					agreed++
				}
			}
			if time.Now().After(deadline) {
				return Side{}, fmt.Errorf("%d of %d gateways see all others after %v", agreed, o.Gateways, agreeTimeout)
			}
			if err := sleep(ctx, 100*time.Millisecond); err != nil {
				return Side{}, err
			}
		}
	}
	if err := o.barrier.wait(ctx); err != nil {
		return Side{}, err
	}
	if err := sleep(ctx, o.Settle); err != nil {
		return Side{}, err
	}
	var report *run.Report
	played := make(chan error, 1)
	if o.Statements > 0 {
		go func() {
			var err error
			report, err = l.Run(ctx)
			played <- err
		}()
		if err := sleep(ctx, warmUp); err != nil {
			return Side{}, err
		}
	}
	takeSamples := func() (list []sample, err error) {
		for i := range o.Gateways {
			s, err := realSample(l.Node(i))
			if err != nil {
				return nil, err
			}
			list = append(list, s)
		}
		return list, nil
	}
	before, err := takeSamples()
	if err == nil {
		err = sleep(ctx, o.MeasuredTime)
	}
	var after []sample
	if err == nil {
		after, err = takeSamples()
	}
	if err != nil {
		return Side{}, err
	}
	s := o.rates(before, after)
	if o.Statements > 0 {
		if err := <-played; err != nil {
			return s, err
		}
		if len(report.Faults) > 0 {
			return s, errors.New(strings.Join(report.Faults, "; "))
		}
		s.ServedShare = float64(report.Total.Counts[run.InAim]) / float64(max(1, report.Total.Count))
	}
	return s, nil
}

// realSample reads the metrics of a gateway's process, and its processor time and memory from the kernel.
func realSample(n *lab.Node) (s sample, err error) {
	text, err := n.Call("GET", "/v1/metrics")
	if err != nil {
		return s, err
	}
	figures := stats.Parse(text)
	s.at, s.roles = time.Now(), stats.TrafficByRole(figures)
	s.learned, s.heard = figures["fleet_positions.learned"], figures["fleet_positions.heard"]
	for name, n := range figures {
		if strings.HasPrefix(name, "upstream_tries.") {
			s.statements += n
		}
	}
	all, monitor, err := hollow.ThreadTimes(n.Pid())
	if err != nil {
		return s, err
	}
	s.cpu, s.monitor = all-monitor, monitor
	s.memory = lab.ResidentMemory(n.Pid()) / (1 << 20)
	return s, nil
}

// rates computes the rates between two samples of each gateway.
func (o Options) rates(before, after []sample) Side {
	s := Side{Gateways: o.Gateways, Databases: o.Databases, Control: map[string]Spread{}, ByRole: map[string]Rates{}}
	all := map[string][]float64{}
	n := float64(len(before))
	for i, b := range before {
		a := after[i]
		sec := a.at.Sub(b.at).Seconds()
		s.Seconds += sec / n
		var out, in, messages float64
		for role, y := range a.roles {
			x := b.roles[role]
			t := s.ByRole[role]
			bytes, sent := float64(y.OutBytes-x.OutBytes)/sec, float64(y.OutMessages-x.OutMessages)/sec
			t.BytesOut += bytes / n
			t.BytesIn += float64(y.InBytes-x.InBytes) / sec / n
			t.Messages += sent / n
			t.MessagesIn += float64(y.InMessages-x.InMessages) / sec / n
			s.ByRole[role] = t
			out, in, messages = out+bytes, in+float64(y.InBytes-x.InBytes)/sec, messages+sent
		}
		core := (a.cpu - b.cpu - (a.feed - b.feed)) / 10 / sec
		for name, v := range map[string]float64{
			"bytes_out_per_s": out, "bytes_in_per_s": in, "messages_per_s": messages, "core_percent": core, "memory_mb": a.memory,
		} {
			all[name] = append(all[name], v)
		}
		s.MonitorCore += (a.monitor - b.monitor) / 10 / sec / n
		s.FeedCore += (a.feed - b.feed) / 10 / sec / n
		s.CoreWith += core / n
		s.MemoryWith += a.memory / n
		s.PositionsLearned += float64(a.learned-b.learned) / sec / n
		s.PositionsReceived += float64(a.heard-b.heard) / sec / n
		s.Statements += float64(a.statements-b.statements) / sec / n
	}
	for name, list := range all {
		s.Control[name] = newSpread(list)
	}
	for role, t := range s.ByRole {
		if t.Messages > 0 {
			t.BytesPerMessage = t.BytesOut / t.Messages
			s.ByRole[role] = t
		}
	}
	return s
}

func newSpread(list []float64) (s Spread) {
	list = slices.Clone(list)
	slices.SortFunc(list, cmp.Compare[float64])
	for _, v := range list {
		s.Mean += v / float64(len(list))
	}
	s.Max = list[len(list)-1]
	s.P99 = list[min(len(list)-1, int(math.Ceil(0.99*float64(len(list))))-1)]
	return s
}
