// Package calibrate sets hollow gateways beside real ones under the same idle or loaded traffic. What the control side costs
// is the difference that a fleet file makes, on both sides.
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
	members   = 4               // of a group
	warm      = 4 * time.Second // of load, before anything is measured
	agreeTime = 30 * time.Second
	within    = 0.15 // that hollow ones may differ by
)

// Options are one calibration.
type Options struct {
	Gateways, Databases int
	For                 time.Duration
	Statements          float64       // a second, of each gateway; 0: idle
	Program             []string      // a real gateway
	Hollow              []string      // the process of hollow ones
	Env                 []string      // more of the real ones' environment
	HollowEnv           []string      // and of the process of hollow ones
	Settle              time.Duration // after all have one view, before anything is measured
	Seed                uint64
	Budget              int // connections of all gateways to each database; 0: not divided
	Logs                *os.File

	line *line // before anything is measured
}

// Spread is a figure over all gateways.
type Spread struct {
	Mean float64 `json:"mean"`
	P99  float64 `json:"p99"`
	Max  float64 `json:"max"`
}

// Rates are what one role does in a second, in the mean of the gateways.
type Rates struct {
	BytesOut    float64 `json:"bytes_out_per_s"`
	BytesIn     float64 `json:"bytes_in_per_s"`
	Messages    float64 `json:"messages_per_s"`
	MessagesIn  float64 `json:"messages_in_per_s"`
	BytesByEach float64 `json:"bytes_of_a_message"`
}

// Side is what one kind of gateways did.
type Side struct {
	Gateways       int               `json:"gateways"`
	Databases      int               `json:"databases"`
	Seconds        float64           `json:"seconds"`
	Statements     float64           `json:"statements_per_s"` // of a gateway
	Control        map[string]Spread `json:"control"`
	ByRole         map[string]Rates  `json:"by_role"`
	CoreWith       float64           `json:"core_percent_with_fleet"`
	CoreWithout    float64           `json:"core_percent_without_fleet"`
	MemoryWith     float64           `json:"memory_mb_with_fleet"`
	MemoryWithout  float64           `json:"memory_mb_without_fleet"`
	Learned        float64           `json:"positions_learned_per_s"` // news from databases
	Heard          float64           `json:"positions_heard_per_s"`   // news from other gateways
	Feed           float64           `json:"feed_core_percent,omitempty"`
	Shared         float64           `json:"shared_core_percent_with_fleet,omitempty"` // of the process, for no gateway alone: the collector, the runtime
	SharedWithout  float64           `json:"shared_core_percent_without_fleet,omitempty"`
	Monitor        float64           `json:"monitor_core_percent_with_fleet"` // of the runtime's monitor, in none of the figures above
	MonitorWithout float64           `json:"monitor_core_percent_without_fleet"`
	Live           float64           `json:"live_heap_mb_with_fleet,omitempty"` // what lives in memory, a gateway
	LiveWithout    float64           `json:"live_heap_mb_without_fleet,omitempty"`
	Late           float64           `json:"late_ms_max,omitempty"`
	Served         float64           `json:"served,omitempty"` // share of the requests in their aim
}

// Report is a calibration.
type Report struct {
	Command string             `json:"command"`
	State   string             `json:"state"`
	Hollow  Side               `json:"hollow"`
	Real    Side               `json:"real"`
	Ratio   map[string]float64 `json:"ratio"`   // hollow over real
	Differ  []string           `json:"differ"`  // ratios that are off by over 15%
	Explain map[string]string  `json:"explain"` // why
	Seed    uint64             `json:"seed"`
}

// sample is the figures of one gateway at a moment, as sums.
type sample struct {
	at             time.Time
	cpu, feed      float64 // ms
	monitor        float64 // ms, not in cpu; only of real ones
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

// Run plays both kinds, with and without a fleet file.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Gateways < 2 || o.Databases < members || o.Databases%members != 0 {
		return nil, fmt.Errorf("2 gateways and %d databases at least, their number in whole groups of %d", members, members)
	}
	r := &Report{State: "idle", Seed: o.Seed}
	if o.Statements > 0 {
		r.State = "loaded"
	}
	// All four at once: what differs between them is then not what else the machine did.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o.line = newLine(4)
	var real, hollow Side
	ended := make(chan error, 1)
	go func() {
		var err error
		if real, hollow, err = o.both(ctx, false); err != nil {
			cancel()
		}
		ended <- err
	}()
	var err error
	if r.Real, r.Hollow, err = o.both(ctx, true); err != nil {
		cancel()
	}
	if err = first(err, <-ended); err != nil {
		return nil, err
	}
	r.Real.without(real)
	r.Hollow.without(hollow)
	r.compare()
	return r, nil
}

// without takes off what the same gateways cost without a fleet file.
func (s *Side) without(o Side) {
	s.CoreWithout, s.MemoryWithout, s.SharedWithout, s.LiveWithout, s.MonitorWithout = o.CoreWith, o.MemoryWith, o.Shared, o.Live, o.Monitor
	without := o.CoreWith
	if s.Shared > 0 { // the collector works for all gateways of the process, on threads of its own
		without += o.Shared - s.Shared
	}
	core, memory := s.Control["core_percent"], s.Control["memory_mb"]
	s.Control["core_percent"] = Spread{Mean: core.Mean - without, P99: core.P99 - without, Max: core.Max - without}
	s.Control["memory_mb"] = Spread{Mean: memory.Mean - s.MemoryWithout, P99: memory.P99 - s.MemoryWithout, Max: memory.Max - s.MemoryWithout}
}

func (r *Report) compare() {
	r.Ratio = map[string]float64{}
	note := func(name string, hollow, real float64) {
		if real == 0 && hollow == 0 {
			return
		}
		x := math.Round(hollow/real*1000) / 1000
		if math.IsInf(x, 0) || math.IsNaN(x) {
			x = -1
		}
		r.Ratio[name] = x
		if x < 1-within || x > 1+within {
			r.Differ = append(r.Differ, fmt.Sprintf("%s: hollow %.4g, real %.4g", name, hollow, real))
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
	note("positions_learned_per_s", r.Hollow.Learned, r.Real.Learned)
	note("positions_heard_per_s", r.Hollow.Heard, r.Real.Heard)
	note("statements_per_s", r.Hollow.Statements, r.Real.Statements)
	r.Explain = map[string]string{
		"core_percent": fmt.Sprintf("without the runtime's monitor, a thread that each process has: %.3f%% of a core of a real gateway with a fleet file, "+
			"%.3f%% without one; all hollow ones of a process share one. Add the difference to what hollow ones tell", r.Real.Monitor, r.Real.MonitorWithout),
		"memory_mb": fmt.Sprintf("the collector lets the heap of a process grow to 16 MB, or to five times what lives, before it works: of a real gateway "+
			"that is garbage of its own, all hollow ones of a process share it. What lives with a fleet file is %.2f MB a hollow gateway (0: nothing was "+
			"collected yet); take a process's memory from real ones, and its slope from what lives", r.Hollow.Live),
	}
}

// both plays real and hollow gateways side by side, before the same databases and discovery and on the same machine.
func (o Options) both(ctx context.Context, fleet bool) (real, hollow Side, err error) {
	shares := ""
	if fleet {
		shares = ", positions: true, primaries: true"
		if o.Budget > 0 {
			shares += fmt.Sprintf(", budget: %d", o.Budget)
		}
	}
	rate := max(1, o.Statements*float64(o.Gateways))
	length := warm + o.For + 2*time.Second
	text := fmt.Sprintf(planText, o.Seed, o.Databases/members, 64*o.Gateways, rate, length.Milliseconds(), o.Gateways, members, fleet, shares)
	p, err := plan.Parse("calibrate", []byte(text))
	if err != nil {
		return real, hollow, err
	}
	list, err := plan.Schedule(p)
	if err != nil {
		return real, hollow, err
	}
	l := &lab.Lab{Plan: p, Arrivals: list, Gateway: o.Program, Env: o.Env}
	if o.Logs != nil {
		l.Log = o.Logs
	}
	if err := l.Open(); err != nil {
		return real, hollow, err
	}
	defer l.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error, 1)
	go func() {
		var err error
		if hollow, err = o.hollow(ctx, l, fleet); err != nil {
			err = fmt.Errorf("hollow gateways: %w", err)
			cancel()
		}
		ended <- err
	}()
	if real, err = o.real(ctx, l, fleet); err != nil {
		err = fmt.Errorf("real gateways: %w", err)
		cancel()
	}
	return real, hollow, first(err, <-ended)
}

// first is the error that ended both; the other one was told to end.
func first(a, b error) error {
	if a == nil || errors.Is(a, context.Canceled) && b != nil {
		return b
	}
	return a
}

// line is where all wait until the last is there.
type line struct {
	left atomic.Int32
	all  chan struct{}
}

func newLine(n int32) *line {
	l := &line{all: make(chan struct{})}
	l.left.Store(n)
	return l
}

func (l *line) wait(ctx context.Context) error {
	if l.left.Add(-1) == 0 {
		close(l.all)
	}
	select {
	case <-l.all:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// pause waits; an error: ctx ended first.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (o Options) real(ctx context.Context, l *lab.Lab, fleet bool) (Side, error) {
	if fleet {
		late := time.Now().Add(agreeTime)
		for agreed := 0; agreed < o.Gateways; {
			agreed = 0
			for i := range o.Gateways {
				if r, err := l.Node(i).Fleet(); err == nil && len(r.View.Members) == o.Gateways {
					agreed++
				}
			}
			if time.Now().After(late) {
				return Side{}, fmt.Errorf("%d of %d see all in %v", agreed, o.Gateways, agreeTime)
			}
			if err := pause(ctx, 100*time.Millisecond); err != nil {
				return Side{}, err
			}
		}
	}
	if err := o.line.wait(ctx); err != nil {
		return Side{}, err
	}
	if err := pause(ctx, o.Settle); err != nil {
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
		if err := pause(ctx, warm); err != nil {
			return Side{}, err
		}
	}
	take := func() (list []sample, err error) {
		for i := range o.Gateways {
			s, err := realSample(l.Node(i))
			if err != nil {
				return nil, err
			}
			list = append(list, s)
		}
		return list, nil
	}
	before, err := take()
	if err == nil {
		err = pause(ctx, o.For)
	}
	var after []sample
	if err == nil {
		after, err = take()
	}
	if err != nil {
		return Side{}, err
	}
	s := o.side(before, after)
	if o.Statements > 0 {
		if err := <-played; err != nil {
			return s, err
		}
		if len(report.Faults) > 0 {
			return s, errors.New(strings.Join(report.Faults, "; "))
		}
		s.Served = float64(report.Total.Counts[run.InAim]) / float64(max(1, report.Total.Count))
	}
	return s, nil
}

// realSample asks a process and reads what the kernel knows of it.
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
	all, monitor, err := hollow.Threads(n.Pid())
	if err != nil {
		return s, err
	}
	s.cpu, s.monitor = all-monitor, monitor
	s.memory = lab.ResidentMemory(n.Pid()) / (1 << 20)
	return s, nil
}

// side makes rates of what has been counted between two moments.
func (o Options) side(before, after []sample) Side {
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
		s.Monitor += (a.monitor - b.monitor) / 10 / sec / n
		s.Feed += (a.feed - b.feed) / 10 / sec / n
		s.CoreWith += core / n
		s.MemoryWith += a.memory / n
		s.Learned += float64(a.learned-b.learned) / sec / n
		s.Heard += float64(a.heard-b.heard) / sec / n
		s.Statements += float64(a.statements-b.statements) / sec / n
	}
	for name, list := range all {
		s.Control[name] = spread(list)
	}
	for role, t := range s.ByRole {
		if t.Messages > 0 {
			t.BytesByEach = t.BytesOut / t.Messages
			s.ByRole[role] = t
		}
	}
	return s
}

func spread(list []float64) (s Spread) {
	list = slices.Clone(list)
	slices.SortFunc(list, cmp.Compare[float64])
	for _, v := range list {
		s.Mean += v / float64(len(list))
	}
	s.Max = list[len(list)-1]
	s.P99 = list[min(len(list)-1, int(math.Ceil(0.99*float64(len(list))))-1)]
	return s
}
