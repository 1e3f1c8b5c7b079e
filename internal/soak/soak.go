package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"lilaccove/internal/lab"
	"lilaccove/internal/load/plan"
	"lilaccove/internal/load/run"
	"lilaccove/internal/standin"
	"lilaccove/internal/stats"
)

// Options configures a soak.
type Options struct {
	Gateways      int           `json:"gateways"`
	Databases     int           `json:"databases"`
	Duration      time.Duration `json:"for_ns"`
	Seed          uint64        `json:"seed"`
	FaultNames    []string      `json:"-"` // faults that may be drawn; empty: all
	OnlyFaults    []int         `json:"-"` // numbers of the drawn faults that are injected; empty: all
	Program       string        `json:"-"` // path of the gateway program
	FaultyProgram string        `json:"-"` // the same, built with the tag faults; empty: no system calls fail
	Log           io.Writer     `json:"-"` // receives the logs of the gateways; may be nil
}

// Sizes and limits of a run.
const (
	databasesPerGroup         = 4
	requestsPerTwelveGateways = 300 // per second
	heldSocketGateways        = 3   // gateways that can run two processes at a time, on a socket held by the lab
	maxProcesses              = 300
	memoryDivisor             = 2                      // the run may use half of the machine's memory
	maxGeneratorLateness      = 250 * time.Millisecond // beyond it the run was short of CPU and is invalid
	clientSlack               = lateAnswerLimit + excuseSlack
	firstListVersion          = 1_000_000 // leaves lower ones for a restored discovery
)

// Requests counts the requests by their result.
type Requests struct {
	Sent         int `json:"sent"`
	Served       int `json:"served"`
	Refused      int `json:"refused"`
	Failed       int `json:"failed"`
	Unanswered   int `json:"unanswered"` // whatever the cause, including gateways that were killed
	Lost         int `json:"lost"`       // unanswered by a gateway that kept running
	CrossedClose int `json:"crossed"`    // sent on an idle connection while the gateway closed it
	Unsent       int `json:"unsent"`     // too many requests were outstanding
	Duplicate    int `json:"duplicate"`
	Stale        int `json:"stale"`
}

// ViolationCount counts the violations of an invariant: those observed from outside the gateways, and those that
// the gateways reported themselves.
type ViolationCount struct {
	Outside int `json:"outside"`
	Inside  int `json:"inside"`
}

// Percentiles summarizes durations, in seconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	Max float64 `json:"max"`
}

// Report is the result of a run.
type Report struct {
	Seed          uint64                    `json:"seed"`
	Gateways      int                       `json:"gateways"`
	Databases     int                       `json:"databases"`
	Pushed        bool                      `json:"pushed"` // discovery pushes its list to an agent of each gateway
	Valid         bool                      `json:"valid"`
	InvalidReason string                    `json:"invalid,omitempty"` // why the run is not valid
	ProcessesMax  int                       `json:"processes_max"`
	MemoryMBMax   int                       `json:"memory_mb_max"`
	Faults        []Fault                   `json:"troubles"`
	Overlaps      int                       `json:"overlaps"`
	Violations    map[string]ViolationCount `json:"violations"`
	Examples      []string                  `json:"examples,omitempty"`
	Requests      Requests                  `json:"requests"`
	Restarts      int                       `json:"restarts"`
	KilledAtEnd   int                       `json:"killed_at_end"` // processes that had not ended when the platform may kill them
	ReadySeconds  Percentiles               `json:"ready_s"`
}

// Err returns nil if the run is valid and found no violation.
func (r *Report) Err() error {
	switch {
	case len(r.Violations) > 0:
		return fmt.Errorf("seed %d: %d kinds of violations", r.Seed, len(r.Violations))
	case !r.Valid:
		return fmt.Errorf("seed %d: INVALID: %s", r.Seed, r.InvalidReason)
	}
	return nil
}

// soak is the state of one run.
type soak struct {
	options     Options
	lab         *lab.Lab
	judge       *judge
	discoveries [2]*standin.Discovery
	dir         string
	stop        chan struct{}
	background  sync.WaitGroup

	mu             sync.Mutex
	reserved       map[int]bool // gateways whose processes a fault starts and ends
	restarts       int
	killedAtEnd    int
	readyDurations []time.Duration
	peakProcesses  int
	peakMemoryMB   int
	invalidReason  string
}

// buildLoadPlan returns the plan of the load: bounded reads, session reads and writes.
func buildLoadPlan(options Options) (*plan.Plan, error) {
	text := fmt.Sprintf(`seed: %d
groups: %d
sessions: {count: %d, follow: 30%%, after: 100 ms}
retries: {most: 1, pause: 100 ms}
connections: 40
outstanding: 4000
stall: %d ms
classes:
  browse: {kind: bounded-read, mix: 55%%, aim: 500 ms, deadline: 1200 ms, bound: 1 s}
  own: {kind: session-read, mix: 20%%, aim: 500 ms, deadline: 1500 ms}
  write: {kind: write, mix: 25%%, aim: 600 ms, deadline: 2500 ms}
stages: [{shape: constant, rate: %d/s, for: %d s}]
lab: {gateways: %d, members: %d, cores: 4, queue: 60, service: 8 ms, lag: 10 ms, cold: 3 s, fleet: true, positions: true, primaries: true, words: 1 min}
`, options.Seed%(1<<40), max(1, options.Databases/databasesPerGroup), 12*options.Gateways, maxGeneratorLateness.Milliseconds(), max(20, requestsPerTwelveGateways*options.Gateways/12), int(options.Duration/time.Second), options.Gateways, databasesPerGroup)
	return plan.Parse("soak", []byte(text))
}

// Run runs a soak.
func Run(ctx context.Context, options Options) (*Report, error) {
	if options.Gateways < 4 || options.Databases < databasesPerGroup || options.Duration < 5*time.Second {
		return nil, errors.New("a soak needs at least 4 gateways, 4 databases and 5 s")
	}
	if options.Gateways+heldSocketGateways > maxProcesses {
		return nil, fmt.Errorf("%d gateways are too many: the maximum is %d processes", options.Gateways, maxProcesses)
	}
	if len(options.FaultNames) == 0 {
		options.FaultNames = FaultNames()
	}
	for _, name := range options.FaultNames {
		if _, known := faultKinds[name]; !known {
			return nil, fmt.Errorf("unknown fault %q; must be one of: %s", name, strings.Join(FaultNames(), ", "))
		}
	}
	drawn := Draw(options.Seed, options.Gateways, options.Duration, options.FaultNames)
	selected, err := Select(drawn, options.OnlyFaults)
	if err != nil {
		return nil, err
	}
	loadPlan, err := buildLoadPlan(options)
	if err != nil {
		return nil, err
	}
	arrivals, err := plan.Schedule(loadPlan)
	if err != nil {
		return nil, err
	}
	s := &soak{options: options, judge: newJudge(), stop: make(chan struct{}), reserved: map[int]bool{}}
	if s.dir, err = os.MkdirTemp("", "lilaccove-soak-"); err != nil {
		return nil, err
	}
	defer os.RemoveAll(s.dir)
	s.lab = &lab.Lab{
		Plan: loadPlan, Arrivals: arrivals, Gateway: []string{options.Program}, Log: options.Log, PushDiscovery: options.Seed%3 == 0,
		OnLogLine: s.judge.onLogLine, OnSample: s.judge.judgeRequest, ClientSlack: clientSlack, ListVersion: firstListVersion,
	}
	for i := range heldSocketGateways {
		s.lab.HeldSockets = append(s.lab.HeldSockets, i)
	}
	if err := s.lab.Open(); err != nil {
		s.lab.Close()
		return nil, err
	}
	defer s.lab.Close()
	return s.play(ctx, selected)
}

// play runs load and faults in an open lab and returns the report.
func (s *soak) play(ctx context.Context, faults []Fault) (*Report, error) {
	second, err := s.lab.World().AddDiscovery()
	if err != nil {
		return nil, err
	}
	s.discoveries = [2]*standin.Discovery{second, s.lab.World().Discovery()}
	for i := range s.options.Gateways {
		s.judge.registerProcess(s.lab.Node(i))
	}
	s.background.Add(1)
	go s.watchResources()
	start := time.Now()
	faultErrors := make(chan error, len(faults))
	var running sync.WaitGroup
	for _, fault := range faults {
		running.Add(1)
		go func() {
			defer running.Done()
			if standin.Sleep(time.Until(start.Add(fault.At)), s.stop) {
				if err := faultKinds[fault.Name].apply(s, fault); err != nil {
					faultErrors <- fmt.Errorf("fault %d, %s: %w", fault.Number, fault.Name, err)
				}
			}
		}()
	}
	loadReport, err := s.lab.Run(ctx)
	running.Wait()
	s.collectViolationMetrics()
	s.endAll()
	close(s.stop)
	s.background.Wait()
	close(faultErrors)
	if err == nil {
		err = <-faultErrors
	}
	if err != nil {
		return nil, err
	}
	return s.report(loadReport, faults), nil
}

// collectViolationMetrics reads the violation counters of running gateways, as their logs are limited in rate.
func (s *soak) collectViolationMetrics() {
	counted := map[string]int{}
	for i := range s.options.Gateways {
		node := s.lab.Node(i)
		text, err := node.Call("GET", "/v1/metrics")
		if err != nil {
			s.judge.recordViolation("no_figures", 1, "%s: %v", node.Name, err)
			continue
		}
		for name, n := range stats.Parse(text) {
			if name, isViolation := strings.CutPrefix(name, "violations."); isViolation && n > 0 {
				counted[name] += int(n)
			}
		}
	}
	s.judge.mu.Lock()
	defer s.judge.mu.Unlock()
	for name, n := range counted {
		s.judge.inside[name] = max(s.judge.inside[name], n)
	}
}

// report returns the report of the run.
func (s *soak) report(loadReport *run.Report, faults []Fault) *Report {
	world := s.lab.World().Counts()
	for name, n := range map[string]int{
		"duplicate": world.Duplicates, "stale": world.Stale, "foreign": world.Foreign, "to_draining": world.Drained, "cold_fell": world.Fell,
	} {
		s.judge.recordViolation(name, n, "%d times; executed twice: %v, stale: %v", n, world.TwiceIDs, world.StaleIDs)
	}
	for _, fault := range loadReport.Faults {
		if strings.Contains(fault, "ended by itself") {
			s.judge.recordViolation("crash", 1, "%s", fault)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.judge.mu.Lock()
	defer s.judge.mu.Unlock()
	if loadReport.Invalid && s.invalidReason == "" {
		s.invalidReason = fmt.Sprintf("the generator was late by up to %.0f ms", loadReport.Lateness[len(loadReport.Lateness)-1])
	}
	report := &Report{
		Seed: s.options.Seed, Gateways: s.options.Gateways, Databases: s.options.Databases, Pushed: s.lab.PushDiscovery, Valid: s.invalidReason == "", InvalidReason: s.invalidReason,
		ProcessesMax: s.peakProcesses, MemoryMBMax: s.peakMemoryMB, Faults: faults, Overlaps: CountOverlaps(faults),
		Violations: map[string]ViolationCount{}, Examples: s.judge.examples, Requests: s.judge.requests, Restarts: s.restarts, KilledAtEnd: s.killedAtEnd, ReadySeconds: percentiles(s.readyDurations),
	}
	report.Requests.Duplicate, report.Requests.Stale = world.Duplicates, world.Stale
	for name, n := range s.judge.outside {
		report.Violations[name] = ViolationCount{Outside: n, Inside: s.judge.inside[name]}
	}
	for name, n := range s.judge.inside {
		report.Violations[name] = ViolationCount{Outside: s.judge.outside[name], Inside: n}
	}
	return report
}

// percentiles sorts durations and summarizes them.
func percentiles(durations []time.Duration) (p Percentiles) {
	if len(durations) == 0 {
		return p
	}
	slices.Sort(durations)
	quantile := func(share float64) float64 { return durations[int(share*float64(len(durations)-1))].Seconds() }
	return Percentiles{P50: quantile(0.5), P90: quantile(0.9), Max: quantile(1)}
}

// watchResources records the number of gateway processes and the memory of them and of this process. A run that
// exceeds the memory limit is invalid.
func (s *soak) watchResources() {
	defer s.background.Done()
	limit := lab.MachineMemory() / memoryDivisor
	for {
		processes, bytes := 0, lab.ResidentMemory(os.Getpid())
		for i := range s.options.Gateways {
			if n := s.lab.Node(i); n.Alive() {
				processes++
				bytes += lab.ResidentMemory(n.Pid())
			}
		}
		s.mu.Lock()
		s.peakProcesses, s.peakMemoryMB = max(s.peakProcesses, processes), max(s.peakMemoryMB, int(bytes)>>20)
		if limit > 0 && bytes > limit {
			s.invalidReason = fmt.Sprintf("%.0f bytes of memory are in use, the limit is %.0f", bytes, limit)
		}
		s.mu.Unlock()
		if !standin.Sleep(time.Second, s.stop) {
			return
		}
	}
}
