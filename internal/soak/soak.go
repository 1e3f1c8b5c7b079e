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

// Options are a soak's.
type Options struct {
	Gateways      int           `json:"gateways"`
	Databases     int           `json:"databases"`
	Duration      time.Duration `json:"for_ns"`
	Seed          uint64        `json:"seed"`
	FaultNames    []string      `json:"-"` // that may be drawn; none: all
	OnlyFaults    []int         `json:"-"` // numbers of the troubles drawn that are played; none: all
	Program       string        `json:"-"` // the gateway's
	FaultyProgram string        `json:"-"` // the gateway's, built with the tag faults; empty: no system calls fail
	Log           io.Writer     `json:"-"` // what gateways say; nil: nowhere
}

// Bounds of a run.
const (
	groupSize     = 4   // databases
	rate          = 300 // requests a second for each twelve gateways
	heldGateways  = 3   // of which two processes may serve side by side
	processesMost = 300
	memoryPart    = 2                      // of the machine's: half of it
	ownLateness   = 250 * time.Millisecond // of the generator: beyond it this machine starved the run
	patience      = answerLate + judgeSlack
	firstVersion  = 1_000_000 // of the list: discovery may be restored with lower ones
)

// Requests are how many there were, by what became of them.
type Requests struct {
	Sent         int `json:"sent"`
	Served       int `json:"served"`
	Refused      int `json:"refused"`
	Failed       int `json:"failed"`
	Unanswered   int `json:"unanswered"` // whoever's fault: those of gateways that were killed are among them
	Lost         int `json:"lost"`       // unanswered by a gateway that lived on
	CrossedClose int `json:"crossed"`    // on a resting connection that was closed at that moment
	Unsent       int `json:"unsent"`     // too many were outstanding
	Duplicate    int `json:"duplicate"`
	Stale        int `json:"stale"`
}

// ViolationCount is how often an invariant was violated, as seen from outside and as gateways told themselves.
type ViolationCount struct {
	Outside int `json:"outside"`
	Inside  int `json:"inside"`
}

// Percentiles are seconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	Max float64 `json:"max"`
}

// Report is a run as it is written down.
type Report struct {
	Seed          uint64                    `json:"seed"`
	Gateways      int                       `json:"gateways"`
	Databases     int                       `json:"databases"`
	Pushed        bool                      `json:"pushed"` // lists are pushed to an agent of each gateway
	Valid         bool                      `json:"valid"`
	InvalidReason string                    `json:"invalid,omitempty"` // why not
	ProcessesMax  int                       `json:"processes_max"`
	MemoryMBMax   int                       `json:"memory_mb_max"`
	Faults        []Fault                   `json:"troubles"`
	Overlaps      int                       `json:"overlaps"`
	Violations    map[string]ViolationCount `json:"violations"`
	Examples      []string                  `json:"examples,omitempty"`
	Requests      Requests                  `json:"requests"`
	Restarts      int                       `json:"restarts"`
	ReadySeconds  Percentiles               `json:"ready_s"`
}

// Err tells what the exit status says: nil where the run is valid and nothing was violated.
func (r *Report) Err() error {
	switch {
	case len(r.Violations) > 0:
		return fmt.Errorf("seed %d: %d kinds of violations", r.Seed, len(r.Violations))
	case !r.Valid:
		return fmt.Errorf("seed %d: INVALID: %s", r.Seed, r.InvalidReason)
	}
	return nil
}

// soak is a run.
type soak struct {
	opt         Options
	lab         *lab.Lab
	judge       *judge
	discoveries [2]*standin.Discovery
	folder      string
	stop        chan struct{}
	work        sync.WaitGroup

	mu         sync.Mutex
	busy       map[int]bool // gateways whose processes a trouble starts and ends
	restarts   int
	readyTimes []time.Duration
	processes  int
	memory     int // MB
	invalid    string
}

// planOf is the load: reads of bounded age, of sessions, and writes.
func planOf(opt Options) (*plan.Plan, error) {
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
`, opt.Seed%(1<<40), max(1, opt.Databases/groupSize), 12*opt.Gateways, ownLateness.Milliseconds(), max(20, rate*opt.Gateways/12), int(opt.Duration/time.Second), opt.Gateways, groupSize)
	return plan.Parse("soak", []byte(text))
}

// Run plays a soak.
func Run(ctx context.Context, opt Options) (*Report, error) {
	if opt.Gateways < 4 || opt.Databases < groupSize || opt.Duration < 5*time.Second {
		return nil, errors.New("a soak takes 4 gateways, 4 databases and 5 s at least")
	}
	if opt.Gateways+heldGateways > processesMost {
		return nil, fmt.Errorf("%d gateways are too many: %d processes are the most", opt.Gateways, processesMost)
	}
	if len(opt.FaultNames) == 0 {
		opt.FaultNames = FaultNames()
	}
	for _, name := range opt.FaultNames {
		if _, known := kinds[name]; !known {
			return nil, fmt.Errorf("there is no trouble %q; these are: %s", name, strings.Join(FaultNames(), ", "))
		}
	}
	drawn := Draw(opt.Seed, opt.Gateways, opt.Duration, opt.FaultNames)
	played, err := Select(drawn, opt.OnlyFaults)
	if err != nil {
		return nil, err
	}
	p, err := planOf(opt)
	if err != nil {
		return nil, err
	}
	arrivals, err := plan.Schedule(p)
	if err != nil {
		return nil, err
	}
	s := &soak{opt: opt, judge: newJudge(), stop: make(chan struct{}), busy: map[int]bool{}}
	if s.folder, err = os.MkdirTemp("", "lilaccove-soak-"); err != nil {
		return nil, err
	}
	defer os.RemoveAll(s.folder)
	s.lab = &lab.Lab{
		Plan: p, Arrivals: arrivals, Gateway: []string{opt.Program}, Log: opt.Log, PushDiscovery: opt.Seed%3 == 0,
		OnLogLine: s.judge.heard, OnSample: s.judge.request, ClientSlack: patience, ListVersion: firstVersion,
	}
	for i := range heldGateways {
		s.lab.HeldSockets = append(s.lab.HeldSockets, i)
	}
	if err := s.lab.Open(); err != nil {
		s.lab.Close()
		return nil, err
	}
	defer s.lab.Close()
	return s.play(ctx, played)
}

// play runs load and troubles in a lab that is open, and judges.
func (s *soak) play(ctx context.Context, troubles []Fault) (*Report, error) {
	elsewhere, err := s.lab.World().AddDiscovery()
	if err != nil {
		return nil, err
	}
	s.discoveries = [2]*standin.Discovery{elsewhere, s.lab.World().Discovery()}
	for i := range s.opt.Gateways {
		s.judge.started(s.lab.Node(i))
	}
	s.work.Add(1)
	go s.measure()
	begun := time.Now()
	failed := make(chan error, len(troubles))
	var under sync.WaitGroup
	for _, t := range troubles {
		under.Add(1)
		go func() {
			defer under.Done()
			if standin.Sleep(time.Until(begun.Add(t.At)), s.stop) {
				if err := kinds[t.Name].do(s, t); err != nil {
					failed <- fmt.Errorf("trouble %d, %s: %w", t.Number, t.Name, err)
				}
			}
		}()
	}
	load, err := s.lab.Run(ctx)
	under.Wait()
	s.figures()
	close(s.stop)
	s.work.Wait()
	close(failed)
	if err == nil {
		err = <-failed
	}
	if err != nil {
		return nil, err
	}
	return s.report(load, troubles), nil
}

// figures adds what living gateways have counted and not logged, for the log is bounded in rate.
func (s *soak) figures() {
	counted := map[string]int{}
	for i := range s.opt.Gateways {
		node := s.lab.Node(i)
		text, err := node.Call("GET", "/v1/metrics")
		if err != nil {
			s.judge.violated("no_figures", 1, "%s: %v", node.Name, err)
			continue
		}
		for name, n := range stats.Parse(text) {
			if name, ours := strings.CutPrefix(name, "violations."); ours && n > 0 {
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

// report writes the run down.
func (s *soak) report(load *run.Report, troubles []Fault) *Report {
	world := s.lab.World().Counts()
	for name, n := range map[string]int{
		"duplicate": world.Duplicates, "stale": world.Stale, "foreign": world.Foreign, "to_draining": world.Drained, "cold_fell": world.Fell,
	} {
		s.judge.violated(name, n, "%d times; twice ran %v, stale were %v", n, world.TwiceIDs, world.StaleIDs)
	}
	for _, fault := range load.Faults {
		if strings.Contains(fault, "ended by itself") {
			s.judge.violated("crash", 1, "%s", fault)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.judge.mu.Lock()
	defer s.judge.mu.Unlock()
	if load.Invalid && s.invalid == "" {
		s.invalid = fmt.Sprintf("the generator was late by up to %.0f ms", load.Lateness[len(load.Lateness)-1])
	}
	r := &Report{
		Seed: s.opt.Seed, Gateways: s.opt.Gateways, Databases: s.opt.Databases, Pushed: s.lab.PushDiscovery, Valid: s.invalid == "", InvalidReason: s.invalid,
		ProcessesMax: s.processes, MemoryMBMax: s.memory, Faults: troubles, Overlaps: CountOverlaps(troubles),
		Violations: map[string]ViolationCount{}, Examples: s.judge.examples, Requests: s.judge.requests, Restarts: s.restarts, ReadySeconds: percentiles(s.readyTimes),
	}
	r.Requests.Duplicate, r.Requests.Stale = world.Duplicates, world.Stale
	for name, n := range s.judge.outside {
		r.Violations[name] = ViolationCount{Outside: n, Inside: s.judge.inside[name]}
	}
	for name, n := range s.judge.inside {
		r.Violations[name] = ViolationCount{Outside: s.judge.outside[name], Inside: n}
	}
	return r
}

func percentiles(list []time.Duration) (p Percentiles) {
	if len(list) == 0 {
		return p
	}
	slices.Sort(list)
	at := func(share float64) float64 { return list[int(share*float64(len(list)-1))].Seconds() }
	return Percentiles{P50: at(0.5), P90: at(0.9), Max: at(1)}
}

// measure watches how many processes there are and what memory they and this one hold; beyond the bounds the run is invalid.
func (s *soak) measure() {
	defer s.work.Done()
	most := lab.MachineMemory() / memoryPart
	for {
		processes, bytes := 0, lab.ResidentMemory(os.Getpid())
		for i := range s.opt.Gateways {
			if n := s.lab.Node(i); n.Alive() {
				processes++
				bytes += lab.ResidentMemory(n.Pid())
			}
		}
		s.mu.Lock()
		s.processes, s.memory = max(s.processes, processes), max(s.memory, int(bytes)>>20)
		if most > 0 && bytes > most {
			s.invalid = fmt.Sprintf("%.0f bytes of memory are held, %.0f are the most", bytes, most)
		}
		s.mu.Unlock()
		if !standin.Sleep(time.Second, s.stop) {
			return
		}
	}
}
