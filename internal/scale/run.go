package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"time"

	"lilaccove/internal/hollow"
	"lilaccove/internal/lab"
	"lilaccove/internal/standin"
	"lilaccove/internal/wan"
)

const (
	reportInterval  = time.Second
	checkInterval   = 200 * time.Millisecond
	restartDowntime = 1500 * time.Millisecond
	maxListDelay    = 6 * time.Second // in which the protocol brings a change of the list to every gateway
)

// Run is a run of a plan.
type Run struct {
	Plan           *Plan
	CommandLine    string    // for the report
	HollowCommand  []string  // command that starts a process of hollow gateways
	GatewayCommand []string  // command that starts a real gateway
	Log            io.Writer // receives the log lines of all processes; may be nil

	dir             string
	rnd             *rand.Rand
	relay           *wan.Relay
	world           *standin.World
	hollowProcesses []*hollowProcess
	processOf       map[string]*hollowProcess // process of each hollow gateway, by name
	realGateways    []*realGateway
	balancer        *lab.Balancer
	clients         *clientLoad
	stop            chan struct{}

	mu                  sync.Mutex
	gateways            []*gatewayState
	byName              map[string]*gatewayState
	measuredFrom        time.Time // start of the measured time; zero before it
	measuredTo          time.Time
	cuts                []zoneCut
	convergences        []*convergence
	listChanges         []*listChange
	falseDeaths         []falseDeath
	settlingFalseDeaths int // false deaths before the measured time
	runSamples          []runSample
	lagSamples          []float64 // ms, per second: each gateway's maximum, and the run's own
	maxOwnLagMS         float64   // maximum since the last sample
	failures            []string
	invalidReasons      []string
	logMu               sync.Mutex
}

// falseDeath is a report of a live gateway as dead.
type falseDeath struct {
	reportedAt time.Time
	by, of     string
}

// runSample is a sample of the run itself, taken each second.
type runSample struct {
	at             time.Time
	discoveryCalls int // calls to discovery so far
	watches        int
	relay          wan.Counts
	lateness       wan.Lateness
	maxOwnLagMS    float64
	rssBytes       float64
	processes      int
}

// Play runs the plan. Its error is about the run itself; faults of the fleet are in the report.
func (r *Run) Play(ctx context.Context) (*Report, error) {
	plan := r.Plan
	if runtime.GOOS != "linux" {
		return nil, errors.New("a scale run needs Linux")
	}
	r.rnd = rand.New(rand.NewPCG(plan.Seed, 0x7363616c))
	r.stop = make(chan struct{})
	r.processOf, r.byName = map[string]*hollowProcess{}, map[string]*gatewayState{}
	r.balancer = lab.NewBalancer(plan.RealGateways, nil)
	defer r.close()
	if err := r.startFleet(ctx); err != nil {
		return nil, err
	}
	if plan.RealGateways > 0 {
		var err error
		if r.clients, err = startClientLoad(plan, r.realGateways, r.balancer); err != nil {
			return nil, err
		}
	}
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		r.watchConvergence()
	}()
	runCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	wg.Add(1)
	go func() {
		defer wg.Done()
		r.sampleRun(cancel)
	}()
	partial := !waitFor(runCtx, plan.Settle)
	r.beginMeasurement()
	if !partial {
		var events sync.WaitGroup
		for _, event := range plan.Events {
			events.Add(1)
			go func() {
				defer events.Done()
				if standin.Sleep(time.Until(r.measuredFrom.Add(event.At)), r.stop) {
					r.applyEvent(event)
				}
			}()
		}
		partial = !waitFor(runCtx, plan.Duration)
		r.endMeasurement()
		close(r.stop)
		events.Wait()
	} else {
		r.endMeasurement()
		close(r.stop)
	}
	wg.Wait()
	return r.report(partial), nil
}

// waitFor returns true after d, or false as soon as ctx is done.
func waitFor(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (r *Run) beginMeasurement() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.measuredFrom = time.Now()
	if !viewsEqual(r.gateways, r.measuredFrom.Add(-5*reportInterval/2)) {
		r.failures = append(r.failures, fmt.Sprintf("views are not equal %v after the last gateway had started", r.Plan.Settle))
	}
}

func (r *Run) endMeasurement() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.measuredTo = time.Now()
}

// startFleet starts the fleet and returns once every gateway has reported.
func (r *Run) startFleet(ctx context.Context) (err error) {
	p := r.Plan
	zones := p.Zones()
	zoneOf := make([]int, p.Gateways)
	for g := range zoneOf {
		zoneOf[g] = p.zoneOf(g)
		gateway := &gatewayState{name: p.GatewayName(g), index: g, zone: zoneOf[g], real: g < p.RealGateways}
		r.gateways = append(r.gateways, gateway)
		r.byName[gateway.name] = gateway
	}
	if r.relay, err = wan.Open(len(zones), zoneOf, p.Seed); err != nil {
		return err
	}
	for a := range zones {
		for b := range zones {
			link := wan.Link{Delay: secondsToDuration(p.RTT.Within / 2), Loss: p.Loss.Within}
			if p.RegionOf(zones[a]) != p.RegionOf(zones[b]) {
				link = wan.Link{Delay: secondsToDuration(p.RTT.Between / 2), Jitter: p.Jitter, Loss: p.Loss.Between}
			}
			r.relay.SetLink(a, b, link)
		}
	}
	groups := (p.Databases + p.GroupSize - 1) / p.GroupSize
	r.world, err = standin.New(standin.Options{
		Groups: groups, Members: p.GroupSize, MaxDatabases: p.Databases, Sites: p.databaseZones(), NoListeners: p.RealGateways == 0, Cores: 4, Queue: 100,
		Service: 2 * time.Millisecond, Lag: 10 * time.Millisecond, Seed: p.Seed, Bounds: map[string]time.Duration{"browse": 3 * time.Second},
	})
	if err != nil {
		return err
	}
	if r.dir, err = os.MkdirTemp("", "lilacload-scale-"); err != nil {
		return err
	}
	if err := r.writeFiles(); err != nil {
		return err
	}
	if err := r.startProcesses(ctx); err != nil {
		return err
	}
	timeout := time.After(startTimeout + time.Duration(p.Gateways)*50*time.Millisecond)
	for {
		for _, gateway := range r.realGateways {
			gateway.addSample(time.Now())
		}
		r.mu.Lock()
		missing := ""
		for _, g := range r.gateways {
			if !g.reported && g.live {
				missing = g.name
			}
		}
		r.mu.Unlock()
		if n := r.balancer.Admitted(); missing == "" && n < p.RealGateways {
			missing = fmt.Sprintf("%d of the real ones, which the balancer does not admit,", p.RealGateways-n)
		}
		if missing == "" {
			return nil
		}
		for _, process := range r.hollowProcesses {
			if process.ended() {
				return fmt.Errorf("a process of hollow gateways ended: %v: %s", process.err, process.lastLogLine)
			}
		}
		select {
		case <-timeout:
			return fmt.Errorf("gateway %s did not report in time", missing)
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// gatewayDir returns the directory of a gateway.
func (r *Run) gatewayDir(name string) string { return filepath.Join(r.dir, name) }

// writeFiles writes the configuration and the fleet file of each gateway.
func (r *Run) writeFiles() error {
	known := r.world.List()
	for _, g := range r.gateways {
		dir := r.gatewayDir(g.name)
		config, err := r.Plan.configJSON(g.index, r.world.Discovery().Addr, known)
		if err != nil {
			return err
		}
		file, err := r.Plan.FleetFile(g.index, dir, r.relay)
		if err != nil {
			return err
		}
		if err := errors.Join(
			os.MkdirAll(dir, 0o700), os.WriteFile(filepath.Join(dir, "config.json"), config, 0o600), os.WriteFile(filepath.Join(dir, "fleet.yaml"), file, 0o600),
		); err != nil {
			return err
		}
	}
	return nil
}

// startProcesses starts all processes, those of hollow gateways first, one after the other.
func (r *Run) startProcesses(ctx context.Context) error {
	p := r.Plan
	zones := p.Zones()
	for g := p.RealGateways; g < p.Gateways; g += p.HollowPerProcess {
		first := hollow.Start{ReportMS: int(reportInterval.Milliseconds())}
		list := r.gateways[g:min(g+p.HollowPerProcess, p.Gateways)]
		for _, gateway := range list {
			dir := r.gatewayDir(gateway.name)
			first.Gateways = append(first.Gateways, hollow.GatewaySpec{
				Name: gateway.name, Config: filepath.Join(dir, "config.json"), Fleet: filepath.Join(dir, "fleet.yaml"), Zone: zones[gateway.zone],
				StatementsPerS: p.Load.StatementsPerS, Skew: p.Load.Skew,
			})
		}
		r.markStarted(list)
		process, err := startHollowProcess(r.HollowCommand, r.writeLog, first, r.addHollowReport)
		if err != nil {
			return err
		}
		r.hollowProcesses = append(r.hollowProcesses, process)
		for _, gateway := range list {
			r.processOf[gateway.name] = process
		}
		if !waitFor(ctx, p.StartInterval) {
			return ctx.Err()
		}
	}
	for _, gateway := range r.gateways[:p.RealGateways] {
		process := &realGateway{run: r, state: gateway}
		r.realGateways = append(r.realGateways, process)
		r.markStarted([]*gatewayState{gateway})
		if err := process.start(); err != nil {
			return err
		}
	}
	return nil
}

// writeLog writes a line of a process's log.
func (r *Run) writeLog(line string) {
	if r.Log != nil {
		r.logMu.Lock()
		defer r.logMu.Unlock()
		fmt.Fprintln(r.Log, line)
	}
}

// markStarted marks gateways as started.
func (r *Run) markStarted(list []*gatewayState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, g := range list {
		g.live, g.reported, g.startedAt = true, false, now
		if g.currentTraffic == nil {
			g.previousTraffic, g.currentTraffic = map[string]traffic{}, map[string]traffic{}
		}
		if n := len(g.downtimes); n > 0 && g.downtimes[n-1].to.IsZero() {
			g.downtimes[n-1].to = now
		}
	}
}

// markDown marks gateways as down.
func (r *Run) markDown(list []*gatewayState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, g := range list {
		g.live = false
		g.downtimes = append(g.downtimes, period{from: now})
	}
}

// addHollowReport applies a report from a process of hollow gateways.
func (r *Run) addHollowReport(report *hollow.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.UnixMilli(report.AtMS)
	if !r.measuredTo.IsZero() || len(report.Gateways) == 0 {
		return
	}
	up, cpu := 0, 0.0
	for i := range report.Gateways {
		if state := &report.Gateways[i]; state.Up {
			up++
			cpu += state.CPUMS
		}
	}
	for i := range report.Gateways {
		s := &report.Gateways[i]
		g := r.byName[s.Name]
		if g != nil && g.live && s.Error != "" && !slices.Contains(r.failures, s.Error) && at.After(g.startedAt.Add(restartDowntime)) {
			r.failures = append(r.failures, s.Error)
		}
		if g == nil || !s.Up {
			continue
		}
		r.countFalseDeaths(g, at, s.DeadNames)
		// Work for the whole process, such as garbage collection, is shared equally. The CPU time of a gateway that has ended still
		// counts for the process but for no gateway, so the previous share is used while one is down.
		cpuShare := 0.0
		if up == len(report.Gateways) {
			cpuShare = max(0, report.Process.CPUMS-cpu) / float64(up)
		} else if last := g.lastSample(); last != nil {
			cpuShare = last.sharedCPUMS
		}
		g.addReport(at, s, float64(report.Process.RSSBytes)/float64(len(report.Gateways)), cpuShare)
		if at.After(g.startedAt) {
			g.reported = true
		}
		if !r.measuredFrom.IsZero() {
			r.lagSamples = append(r.lagSamples, s.LateMSMax)
		}
	}
}

// countFalseDeaths counts the false ones among the deaths that a gateway declared.
func (r *Run) countFalseDeaths(by *gatewayState, at time.Time, names []string) {
	for _, name := range names {
		of := r.byName[name]
		if of == nil || of == by || !isFalseDeath(by, of, at, r.cuts) {
			continue
		}
		if r.measuredFrom.IsZero() {
			r.settlingFalseDeaths++
		} else {
			r.falseDeaths = append(r.falseDeaths, falseDeath{at, by.name, name})
		}
	}
}

// watchConvergence records when views become equal and changes of the list arrive, until the run is over.
func (r *Run) watchConvergence() {
	for {
		r.mu.Lock()
		for _, convergence := range r.convergences {
			if convergence.took == 0 && viewsEqual(r.gateways, convergence.since) {
				convergence.took = r.newestSampleTime().Sub(convergence.since)
			}
		}
		for _, change := range r.listChanges {
			change.update(r.gateways)
		}
		r.mu.Unlock()
		if !standin.Sleep(checkInterval, r.stop) {
			return
		}
	}
}

// newestSampleTime returns the time of the newest sample of a live gateway.
func (r *Run) newestSampleTime() (at time.Time) {
	for _, g := range r.gateways {
		if s := g.lastSample(); g.live && s != nil && s.at.After(at) {
			at = s.at
		}
	}
	return at
}

// sampleRun samples the run itself each second, and ends it where it exceeds its limits.
func (r *Run) sampleRun(cancel context.CancelCauseFunc) {
	machineMemory := lab.MachineMemory()
	var lateness wan.Lateness
	done := make(chan struct{})
	defer close(done)
	go r.measureOwnLag(done)
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		select {
		case <-r.stop:
			return
		case <-tick.C:
		}
		lateness = r.relay.Lateness(lateness)
		calls := r.world.Discovery().Calls()
		sample := runSample{at: time.Now(), discoveryCalls: calls.Requests, watches: calls.Watches, relay: r.relay.Counts(), lateness: lateness}
		for _, pid := range r.pids() {
			if usage, ok := readProcessUse(pid); ok {
				sample.rssBytes += usage.rss
				sample.processes++
			}
		}
		for _, gateway := range r.realGateways {
			gateway.addSample(sample.at)
		}
		r.mu.Lock()
		sample.maxOwnLagMS, r.maxOwnLagMS = r.maxOwnLagMS, 0
		r.runSamples = append(r.runSamples, sample)
		if !r.measuredFrom.IsZero() && r.measuredTo.IsZero() {
			r.lagSamples = append(r.lagSamples, max(sample.maxOwnLagMS, float64(lateness.P99)/1e6))
		}
		var exceeded string
		switch {
		case sample.rssBytes > r.Plan.Limits.MemoryShare*machineMemory:
			exceeded = fmt.Sprintf("all processes use %.0f MB of memory, over %.0f%% of the machine's %.0f MB", sample.rssBytes/1e6, 100*r.Plan.Limits.MemoryShare, machineMemory/1e6)
		case sample.processes > r.Plan.Limits.Processes:
			exceeded = fmt.Sprintf("%d processes, over the limit of %d", sample.processes, r.Plan.Limits.Processes)
		}
		for _, process := range r.hollowProcesses {
			if process.ended() && exceeded == "" && r.measuredTo.IsZero() {
				exceeded = fmt.Sprintf("a process of hollow gateways ended: %v: %s", process.err, process.lastLogLine)
			}
		}
		if exceeded != "" && !slices.Contains(r.invalidReasons, exceeded) {
			r.invalidReasons = append(r.invalidReasons, exceeded)
			cancel(errors.New(exceeded))
		}
		r.mu.Unlock()
	}
}

// measureOwnLag measures the timer lag of this process.
func (r *Run) measureOwnLag(done <-chan struct{}) {
	const interval = 20 * time.Millisecond
	for due := time.Now().Add(interval); ; due = due.Add(interval) {
		if !standin.Sleep(time.Until(due), done) {
			return
		}
		late := float64(time.Since(due)) / 1e6
		if late > 10*float64(interval)/1e6 {
			due = time.Now()
		}
		r.mu.Lock()
		r.maxOwnLagMS = max(r.maxOwnLagMS, late)
		r.mu.Unlock()
	}
}

// pids returns the process ids of the run and of the processes it started.
func (r *Run) pids() []int {
	list := []int{os.Getpid()}
	for _, process := range r.hollowProcesses {
		if !process.ended() {
			list = append(list, process.cmd.Process.Pid)
		}
	}
	for _, gateway := range r.realGateways {
		if pid := gateway.pid(); pid > 0 {
			list = append(list, pid)
		}
	}
	return list
}

// close ends everything that the run started.
func (r *Run) close() {
	r.clients.close()
	r.balancer.Close()
	var wg sync.WaitGroup
	for _, process := range r.hollowProcesses {
		wg.Add(1)
		go func() {
			defer wg.Done()
			process.quit()
		}()
	}
	for _, gateway := range r.realGateways {
		wg.Add(1)
		go func() {
			defer wg.Done()
			gateway.kill()
		}()
	}
	wg.Wait()
	if r.relay != nil {
		r.relay.Close()
	}
	if r.world != nil {
		r.world.Close()
	}
	if r.dir != "" {
		os.RemoveAll(r.dir)
	}
}
