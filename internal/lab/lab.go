// Package lab runs a load plan in a test environment of its own: stand-ins of the databases and of discovery, real
// gateways as processes, relays between them and the load generator, all on loopback ports. Closing the lab ends
// everything it started.
package lab

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"lilaccove/internal/load/plan"
	"lilaccove/internal/load/run"
	"lilaccove/internal/standin"
)

// Lab is the environment of one run. Its exported fields are set before Open.
type Lab struct {
	Plan              *plan.Plan
	Arrivals          []plan.Arrival
	Gateway           []string                   // command line of a gateway
	Env               []string                   // additional environment variables of gateways
	Log               io.Writer                  // receives the gateways' logs, unless nil
	History           *History                   // may be nil
	SeparateDiscovery []int                      // gateways with a discovery server of their own, see Discovery
	Siblings          []int                      // gateways of which StartSibling may start a second process
	WithoutByteBudget []int                      // gateways without the plan's limit of bytes per second, as before a migration to it
	HeldSockets       []int                      // gateways whose client socket the lab opens and passes on, so that two processes can serve at once
	PushDiscovery     bool                       // gateways treat discovery as a local agent that pushes the list
	OnLogLine         func(n *Node, line string) // called for each line of each gateway's log, unless nil
	OnSample          func(run.Sample)           // called for each request, unless nil
	ClientSlack       time.Duration              // how long clients wait beyond their deadlines
	ListVersion       int                        // initial version of discovery's list; 0 stands for 1

	world               *standin.World
	separateDiscoveries map[int]*standin.Discovery
	mesh                *Mesh
	balancer            *Balancer
	dir                 string
	rng                 *rand.Rand

	mu          sync.Mutex
	nodes       []*Node // the newest process of each gateway, then of each of Siblings
	started     []*Node // every process so far
	faults      []string
	sharedDirs  map[string]string     // private directories of gateways with a held socket, by name
	sockets     map[string]heldSocket // by name of the gateway
	heldClosers []io.Closer           // the held sockets' listeners and files
}

const (
	startTimeout      = 10 * time.Second // of a gateway's process, and of the first admission of all gateways
	shutdownTimeout   = 6 * time.Second  // of a gateway's process after SIGTERM
	databaseDrainTime = 4 * time.Second  // of a database in a rolling deployment
)

// Open starts the stand-ins and the gateways, and waits until every gateway is admitted. Close ends all of them.
func (l *Lab) Open() (err error) {
	p := l.Plan
	options := standin.Options{
		Groups: p.Groups, Members: p.Lab.Members, Cores: p.Lab.Cores, Queue: p.Lab.Queue, Service: p.Lab.Service,
		Exponential: p.Lab.Delay == "exponential", Lag: p.Lab.Lag, SlowStart: p.Lab.SlowStart, Seed: p.Seed, Bounds: map[string]time.Duration{},
		ListVersion: l.ListVersion,
	}
	for _, c := range p.Classes {
		if c.Kind == plan.BoundedRead {
			options.Bounds[c.Name] = c.Bound
		}
	}
	l.rng = rand.New(rand.NewPCG(p.Seed, 0x6c6162))
	if l.world, err = standin.New(options); err != nil {
		return err
	}
	defer func() {
		if err != nil {
			l.Close()
		}
	}()
	l.separateDiscoveries = map[int]*standin.Discovery{}
	for _, i := range l.SeparateDiscovery {
		if l.separateDiscoveries[i], err = l.world.AddDiscovery(); err != nil {
			return err
		}
	}
	if l.dir, err = os.MkdirTemp("", "lilacload-"); err != nil {
		return err
	}
	l.sharedDirs, l.sockets = map[string]string{}, map[string]heldSocket{}
	slots := p.Lab.Gateways + len(l.Siblings)
	l.nodes = make([]*Node, slots)
	if err = l.openHeldSockets(); err != nil {
		return err
	}
	if p.Lab.Fleet {
		names := make([]string, slots)
		for i := range names {
			names[i] = l.name(i)
		}
		if l.mesh, err = NewMesh(names, p.Seed); err != nil {
			return err
		}
	}
	l.balancer = NewBalancer(p.Lab.Gateways, func(i int, admitted bool) {
		l.History.Add(HistoryEntry{Kind: "front", Gateway: l.name(i), What: map[bool]string{true: "admitted", false: "left"}[admitted]})
	})
	for i := range p.Lab.Gateways {
		if _, err = l.Start(i); err != nil {
			return err
		}
	}
	timeout := time.After(startTimeout)
	for l.balancer.Admitted() < p.Lab.Gateways {
		select {
		case <-timeout:
			return fmt.Errorf("the load balancer admits %d of %d gateways within %v", l.balancer.Admitted(), p.Lab.Gateways, startTimeout)
		case <-time.After(5 * time.Millisecond):
		}
	}
	return nil
}

// Close ends everything that was started.
func (l *Lab) Close() {
	if l.balancer != nil {
		l.balancer.Close()
	}
	l.stopProcesses()
	if l.mesh != nil {
		l.mesh.Close()
	}
	if l.world != nil {
		l.world.Close()
	}
	for _, c := range l.heldClosers {
		c.Close()
	}
	if l.dir != "" {
		os.RemoveAll(l.dir)
	}
}

// Discovery returns the discovery server that gateway i asks.
func (l *Lab) Discovery(i int) *standin.Discovery {
	if d := l.separateDiscoveries[i]; d != nil {
		return d
	}
	return l.world.Discovery()
}

// World returns the stand-ins of the databases and of discovery.
func (l *Lab) World() *standin.World { return l.world }

// Mesh returns the relays between gateways, nil without a fleet.
func (l *Lab) Mesh() *Mesh { return l.mesh }

// Balancer returns the load balancer that assigns sessions to gateways.
func (l *Lab) Balancer() *Balancer { return l.balancer }

// Play opens the lab, runs the plan's load and events, and closes the lab. Broken rules are listed in the report's faults.
func (l *Lab) Play(ctx context.Context) (*run.Report, error) {
	if err := l.Open(); err != nil {
		return nil, err
	}
	defer l.Close()
	return l.Run(ctx)
}

// Run runs the load and events in an open lab.
func (l *Lab) Run(ctx context.Context) (*run.Report, error) {
	p := l.Plan
	recorder := run.NewRecorder(p)
	runner := &run.Runner{Plan: p, Arrivals: l.Arrivals, SelectTarget: l.balancer.Pick, ClientSlack: l.ClientSlack, OnSample: func(sample run.Sample) {
		recorder.Add(sample)
		if l.OnSample != nil {
			l.OnSample(sample)
		}
		l.History.Add(HistoryEntry{
			Kind: "request", What: string(sample.Outcome), Class: p.Classes[sample.Arrival.Class].Name, DueMS: millis(sample.Arrival.At), TookMS: millis(sample.Latency), Tries: sample.Attempts,
		})
	}}
	stop := make(chan struct{})
	var events sync.WaitGroup
	start := time.Now()
	l.History.SetStart(start)
	for _, event := range p.Events {
		events.Add(1)
		go func() {
			defer events.Done()
			if !standin.Sleep(time.Until(start.Add(event.At)), stop) {
				return
			}
			if err := l.playEvent(event, stop); err != nil {
				l.RecordFault("%v", err)
			}
		}()
	}
	sent, err := runner.Play(ctx)
	close(stop)
	events.Wait()
	if err != nil {
		return nil, err
	}
	for _, n := range l.processes() {
		if !n.Alive() && !n.isEndExpected() {
			l.RecordFault("gateway %s ended by itself", n.Name)
		}
	}
	counts := l.world.Counts()
	report := recorder.Report(len(l.Arrivals), sent)
	report.World = counts
	if counts.Duplicates > 0 {
		l.RecordFault("%d writes ran twice, the first: %s", counts.Duplicates, strings.Join(counts.TwiceIDs, " "))
	}
	if counts.Stale > 0 {
		l.RecordFault("%d reads were answered from data that was too old, the first: %s", counts.Stale, strings.Join(counts.StaleIDs, " "))
	}
	if counts.Foreign > 0 {
		l.RecordFault("%d statements that no client of the protocol sends", counts.Foreign)
	}
	if counts.Drained > 0 {
		l.RecordFault("%d statements reached databases that had been draining for more than 2 s", counts.Drained)
	}
	if counts.Fell > 0 {
		l.RecordFault("%d cold databases were overloaded, one received %.2f times its limit", counts.Fell, counts.MostCold)
	}
	if n := report.Total.Counts[run.InvalidAnswer]; n > 0 {
		l.RecordFault("%d requests had no answer or two answers", n)
	}
	if report.Total.Count != sent {
		l.RecordFault("%d of %d sent requests were recorded", report.Total.Count, sent)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	report.Faults = l.faults
	return report, nil
}

// RecordFault records that a rule was broken.
func (l *Lab) RecordFault(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fmt.Sprintf(format, args...))
}

// playEvent runs one event of the plan, and reverts its effect after the event's duration or once stop is closed.
func (l *Lab) playEvent(event plan.Event, stop <-chan struct{}) error {
	faults := standin.Faults{}
	switch event.Action {
	case "roll":
		members := l.world.Members()
		replaced := int(event.Share*float64(len(members)) + 0.5)
		var replacements sync.WaitGroup
		errs := make(chan error, replaced)
		for i, host := range members[:replaced] {
			if i > 0 && !standin.Sleep(event.Duration/time.Duration(replaced), stop) {
				break
			}
			replacements.Add(1)
			go func() {
				defer replacements.Done()
				errs <- l.world.Replace(host, databaseDrainTime, stop)
			}()
		}
		replacements.Wait()
		close(errs)
		for err := range errs {
			if err != nil {
				return err
			}
		}
		return nil
	case "lag":
		l.world.SetLag(event.Share, event.Size)
		standin.Sleep(event.Duration, stop)
		l.world.SetLag(1, 0)
		return nil
	case "fail-over":
		l.world.FailOver(event.Share)
		return nil
	case "pause":
		resume := l.world.Pause(event.Share)
		standin.Sleep(event.Duration, stop)
		resume()
		return nil
	case "kill-gateway", "stop-gateway", "roll-gateways", "links", "partition":
		return l.fleetEvent(event, stop)
	case "reset-before":
		faults.ResetBefore = event.Share
	case "reset-after":
		faults.ResetAfter = event.Share
	case "silence":
		faults.Silence = event.Share
	case "spoil":
		faults.Malformed = event.Share
	case "errors":
		faults.Errors = event.Share
	}
	l.world.SetFaults(faults)
	standin.Sleep(event.Duration, stop)
	l.world.SetFaults(standin.Faults{})
	return nil
}

// Config returns the configuration that the platform would give to gateway i.
func (l *Lab) Config(i int) map[string]any {
	config := Config(l.Plan, l.name(i), l.Discovery(i).Addr, l.Plan.Seed+uint64(i)+1, l.world.List())
	if l.PushDiscovery {
		config["settings"].(map[string]any)["Discovery"] = "push"
	}
	if s, ok := l.sockets[l.name(i)]; ok {
		config["listen"] = s.addr
	}
	return config
}

// Config returns the configuration that the platform would give to a gateway of a plan: its name, the address of its
// discovery, the seed of its generator, and the list of databases to start from.
func Config(p *plan.Plan, name, discovery string, seed uint64, known json.RawMessage) map[string]any {
	var classes []any
	var levels []string
	var bounds []int64
	for _, c := range p.Classes {
		retrySafety := "retryable"
		level := "own_writes"
		bound := int64(0)
		switch c.Kind {
		case plan.Write:
			retrySafety, level = "fragile", "update"
		case plan.BoundedRead:
			level, bound = "recent", c.Bound.Microseconds()
		}
		levels, bounds = append(levels, level), append(bounds, bound)
		classes = append(classes, map[string]any{
			"Name": c.Name, "GoalTimeUs": c.Aim.Microseconds(), "DeadlineUs": c.Deadline.Microseconds(), "Repeat": retrySafety, "Worth": c.Worth,
		})
	}
	return map[string]any{
		"name": name, "listen": "127.0.0.1:0", "discovery": discovery, "seed": fmt.Sprintf("%x", seed),
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "known": known,
		"settings": map[string]any{
			"Allowed": map[string]any{"Cancel": true, "Peers": p.Lab.Fleet, "ConnIdleUs": 15000000, "DialTimeoutUs": 250000, "MaxRetryAfterUs": 1000000,
				"Probes": true, "RetryAfter": true, "TryLimit": 6},
			"Discovery": "ask", "Domain": map[string]any{"Behind": "none", "ClassBoundUs": bounds, "ReadLevel": levels, "ShowsRole": "delayed",
				"SessionMarks": "client"},
			"Instances": cmp.Or(p.Lab.AnnouncedGateways, p.Lab.Gateways), "Lanes": classes, "Localities": []string{"a"}, "ResolutionUs": 5000, "Zone": 0,
			"Rules": map[string]any{"AnswerSlackUs": 20000, "ColdUs": max(1, p.Lab.SlowStart.Microseconds()), "DrainGraceUs": 2000000, "FallMultiple": 2,
				"FallUs": 1000000, "MustAskInUs": 10000000, "StartCapacity": standin.StartCapacity},
		},
	}
}

// ErrFaults is the error of a run in which a rule was broken.
var ErrFaults = errors.New("the run has faults")

// Verdict returns an error if a rule was broken or the load generator was too late for the results to be valid.
func Verdict(r *run.Report) error {
	switch {
	case len(r.Faults) > 0:
		return fmt.Errorf("%w: %s", ErrFaults, strings.Join(r.Faults, "; "))
	case r.Invalid:
		return fmt.Errorf("the generator was late by up to %.1f ms, above its limit of %v", r.Lateness[4], r.LatenessBound)
	}
	return nil
}
