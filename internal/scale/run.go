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
	reportEvery = time.Second
	lookEvery   = 200 * time.Millisecond
	downTime    = 1500 * time.Millisecond
	inForce     = 6 * time.Second // for a change of the list, by the protocol
)

// Run is one run of a plan.
type Run struct {
	Plan    *Plan
	Command string    // as typed
	Hollow  []string  // the command of a process of hollow gateways
	Gateway []string  // that of a gateway
	Log     io.Writer // what the processes say; nil: nowhere

	dir   string
	rnd   *rand.Rand
	relay *wan.Relay
	world *standin.World
	procs []*process
	in    map[string]*process // by gateway
	reals []*real
	front *lab.Balancer
	load  *clients
	stop  chan struct{}

	mu        sync.Mutex
	gates     []*gate
	byName    map[string]*gate
	begun     time.Time // of the measured time; zero: not yet
	ended     time.Time
	cuts      []cutting
	settlings []*settling
	changes   []*change
	deaths    []death
	early     int // false deaths before the measured time
	seconds   []second
	late      []float64 // ms: each gateway's most in each second, and what the run owns to
	ownLate   float64   // ms, since the last second
	failed    []string
	invalid   []string
	logs      sync.Mutex
}

// death is a false one.
type death struct {
	at     time.Time
	by, of string
}

// second is what the run's own samples say.
type second struct {
	at        time.Time
	asked     int // calls at discovery so far
	watches   int
	relay     wan.Counts
	late      wan.Lateness
	ownLate   float64
	rss       float64
	processes int
}

// Play runs the plan. An error is of the run itself; what is wrong with the fleet stands in the report.
func (r *Run) Play(ctx context.Context) (*Report, error) {
	p := r.Plan
	if runtime.GOOS != "linux" {
		return nil, errors.New("a scale run wants Linux")
	}
	r.rnd = rand.New(rand.NewPCG(p.Seed, 0x7363616c))
	r.stop = make(chan struct{})
	r.in, r.byName = map[string]*process{}, map[string]*gate{}
	r.front = lab.NewBalancer(p.Real, nil)
	defer r.close()
	if err := r.open(ctx); err != nil {
		return nil, err
	}
	if p.Real > 0 {
		var err error
		if r.load, err = startClients(p, r.reals, r.front); err != nil {
			return nil, err
		}
	}
	var all sync.WaitGroup
	all.Add(1)
	go func() {
		defer all.Done()
		r.watch()
	}()
	over, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	all.Add(1)
	go func() {
		defer all.Done()
		r.sample(cancel)
	}()
	partial := !wait(over, p.Settle)
	r.begin()
	if !partial {
		var events sync.WaitGroup
		for _, e := range p.Events {
			events.Add(1)
			go func() {
				defer events.Done()
				if standin.Sleep(time.Until(r.begun.Add(e.At)), r.stop) {
					r.event(e)
				}
			}()
		}
		partial = !wait(over, p.For)
		r.finish()
		close(r.stop)
		events.Wait()
	} else {
		r.finish()
		close(r.stop)
	}
	all.Wait()
	return r.report(partial), nil
}

// wait waits; false: the run is to end.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (r *Run) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begun = time.Now()
	if !equal(r.gates, r.begun.Add(-5*reportEvery/2)) {
		r.failed = append(r.failed, fmt.Sprintf("views are not equal %v after the last gateway had started", r.Plan.Settle))
	}
}

func (r *Run) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = time.Now()
}

// open starts everything and returns once all gateways have told of themselves.
func (r *Run) open(ctx context.Context) (err error) {
	p := r.Plan
	zones := p.Zones()
	of := make([]int, p.Gateways)
	for g := range of {
		of[g] = p.zone(g)
		x := &gate{name: p.Name(g), number: g, zone: of[g], real: g < p.Real}
		r.gates = append(r.gates, x)
		r.byName[x.name] = x
	}
	if r.relay, err = wan.Open(len(zones), of, p.Seed); err != nil {
		return err
	}
	for a := range zones {
		for b := range zones {
			l := wan.Link{Delay: seconds(p.RTT.Within / 2), Loss: p.Loss.Within}
			if p.Region(zones[a]) != p.Region(zones[b]) {
				l = wan.Link{Delay: seconds(p.RTT.Between / 2), Jitter: p.Jitter, Loss: p.Loss.Between}
			}
			r.relay.SetLink(a, b, l)
		}
	}
	groups := (p.Databases + p.Group - 1) / p.Group
	r.world, err = standin.New(standin.Options{
		Groups: groups, Members: p.Group, MaxDatabases: p.Databases, Sites: p.sites(), NoListeners: p.Real == 0, Cores: 4, Queue: 100,
		Service: 2 * time.Millisecond, Lag: 10 * time.Millisecond, Seed: p.Seed, Bounds: map[string]time.Duration{"browse": 3 * time.Second},
	})
	if err != nil {
		return err
	}
	if r.dir, err = os.MkdirTemp("", "lilacload-scale-"); err != nil {
		return err
	}
	if err := r.files(); err != nil {
		return err
	}
	if err := r.startAll(ctx); err != nil {
		return err
	}
	late := time.After(startTime + time.Duration(p.Gateways)*50*time.Millisecond)
	for {
		for _, n := range r.reals {
			n.sample(time.Now())
		}
		r.mu.Lock()
		missing := ""
		for _, g := range r.gates {
			if !g.ready && g.live {
				missing = g.name
			}
		}
		r.mu.Unlock()
		if n := r.front.Admitted(); missing == "" && n < p.Real {
			missing = fmt.Sprintf("%d of the real ones, which the front does not admit,", p.Real-n)
		}
		if missing == "" {
			return nil
		}
		for _, h := range r.procs {
			if h.ended() {
				return fmt.Errorf("a process of hollow gateways ended: %v: %s", h.err, h.last)
			}
		}
		select {
		case <-late:
			return fmt.Errorf("gateway %s does not tell of itself in time", missing)
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// home is a gateway's directory.
func (r *Run) home(name string) string { return filepath.Join(r.dir, name) }

// files writes what each gateway reads.
func (r *Run) files() error {
	known := r.world.List()
	for _, g := range r.gates {
		dir := r.home(g.name)
		config, err := r.Plan.config(g.number, r.world.Discovery().Addr, known)
		if err != nil {
			return err
		}
		file, err := r.Plan.FleetFile(g.number, dir, r.relay)
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

// startAll starts all processes, hollow ones one after the other.
func (r *Run) startAll(ctx context.Context) error {
	p := r.Plan
	zones := p.Zones()
	for g := p.Real; g < p.Gateways; g += p.Hollow {
		first := hollow.Start{ReportMS: int(reportEvery.Milliseconds())}
		list := r.gates[g:min(g+p.Hollow, p.Gateways)]
		for _, x := range list {
			dir := r.home(x.name)
			first.Gateways = append(first.Gateways, hollow.Spec{
				Name: x.name, Config: filepath.Join(dir, "config.json"), Fleet: filepath.Join(dir, "fleet.yaml"), Zone: zones[x.zone],
				StatementsPerS: p.Load.Statements, Skew: p.Load.Skew,
			})
		}
		r.rise(list)
		h, err := startHollow(r.Hollow, r.said, first, r.take)
		if err != nil {
			return err
		}
		r.procs = append(r.procs, h)
		for _, x := range list {
			r.in[x.name] = h
		}
		if !wait(ctx, p.Pace) {
			return ctx.Err()
		}
	}
	for _, x := range r.gates[:p.Real] {
		n := &real{run: r, gate: x}
		r.reals = append(r.reals, n)
		r.rise([]*gate{x})
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

// said is a line of a process's log.
func (r *Run) said(line string) {
	if r.Log != nil {
		r.logs.Lock()
		defer r.logs.Unlock()
		fmt.Fprintln(r.Log, line)
	}
}

// rise notes that gateways are started, fall that they are gone.
func (r *Run) rise(list []*gate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, g := range list {
		g.live, g.ready, g.began = true, false, now
		if g.now == nil {
			g.past, g.now = map[string]traffic{}, map[string]traffic{}
		}
		if n := len(g.downs); n > 0 && g.downs[n-1].to.IsZero() {
			g.downs[n-1].to = now
		}
	}
}

func (r *Run) fall(list []*gate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, g := range list {
		g.live = false
		g.downs = append(g.downs, span{from: now})
	}
}

// take is a report of a process of hollow gateways.
func (r *Run) take(h *hollow.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.UnixMilli(h.AtMS)
	if !r.ended.IsZero() || len(h.Gateways) == 0 {
		return
	}
	up, cpu := 0, 0.0
	for i := range h.Gateways {
		if s := &h.Gateways[i]; s.Up {
			up++
			cpu += s.CPUMS
		}
	}
	for i := range h.Gateways {
		s := &h.Gateways[i]
		g := r.byName[s.Name]
		if g != nil && g.live && s.Error != "" && !slices.Contains(r.failed, s.Error) && at.After(g.began.Add(downTime)) {
			r.failed = append(r.failed, s.Error)
		}
		if g == nil || !s.Up {
			continue
		}
		r.judge(g, at, s.DeadNames)
		// The collector's work and the like is of all alike. A gateway that has ended leaves what it spent with the process.
		share := 0.0
		if up == len(h.Gateways) {
			share = max(0, h.Process.CPUMS-cpu) / float64(up)
		} else if last := g.last(); last != nil {
			share = last.share
		}
		g.take(at, s, float64(h.Process.RSSBytes)/float64(len(h.Gateways)), share)
		if at.After(g.began) {
			g.ready = true
		}
		if !r.begun.IsZero() {
			r.late = append(r.late, s.LateMSMax)
		}
	}
}

// judge holds deaths that a gateway tells against what the run did.
func (r *Run) judge(by *gate, at time.Time, names []string) {
	for _, name := range names {
		of := r.byName[name]
		if of == nil || of == by || !falseDeath(by, of, at, r.cuts) {
			continue
		}
		if r.begun.IsZero() {
			r.early++
		} else {
			r.deaths = append(r.deaths, death{at, by.name, name})
		}
	}
}

// watch waits for views to be equal and lists to be in force, until the run is over.
func (r *Run) watch() {
	for {
		r.mu.Lock()
		for _, s := range r.settlings {
			if s.took == 0 && equal(r.gates, s.since) {
				s.took = r.newest().Sub(s.since)
			}
		}
		for _, c := range r.changes {
			c.look(r.gates)
		}
		r.mu.Unlock()
		if !standin.Sleep(lookEvery, r.stop) {
			return
		}
	}
}

// newest is the moment of the newest report that tells of a view.
func (r *Run) newest() (at time.Time) {
	for _, g := range r.gates {
		if s := g.last(); g.live && s != nil && s.at.After(at) {
			at = s.at
		}
	}
	return at
}

// sample looks at the run itself each second, and ends it where it would pass its bounds.
func (r *Run) sample(cancel context.CancelCauseFunc) {
	total := lab.MachineMemory()
	var late wan.Lateness
	done := make(chan struct{})
	defer close(done)
	go r.own(done)
	tick := time.NewTicker(reportEvery)
	defer tick.Stop()
	for {
		select {
		case <-r.stop:
			return
		case <-tick.C:
		}
		late = r.relay.Lateness(late)
		calls := r.world.Discovery().Calls()
		s := second{at: time.Now(), asked: calls.Requests, watches: calls.Watches, relay: r.relay.Counts(), late: late}
		for _, pid := range r.pids() {
			if u, ok := used(pid); ok {
				s.rss += u.rss
				s.processes++
			}
		}
		for _, n := range r.reals {
			n.sample(s.at)
		}
		r.mu.Lock()
		s.ownLate, r.ownLate = r.ownLate, 0
		r.seconds = append(r.seconds, s)
		if !r.begun.IsZero() && r.ended.IsZero() {
			r.late = append(r.late, max(s.ownLate, float64(late.P99)/1e6))
		}
		var over string
		switch {
		case s.rss > r.Plan.Limits.Memory*total:
			over = fmt.Sprintf("all processes have %.0f MB of memory, over %.0f%% of the machine's %.0f MB", s.rss/1e6, 100*r.Plan.Limits.Memory, total/1e6)
		case s.processes > r.Plan.Limits.Processes:
			over = fmt.Sprintf("%d processes, over the bound of %d", s.processes, r.Plan.Limits.Processes)
		}
		for _, h := range r.procs {
			if h.ended() && over == "" && r.ended.IsZero() {
				over = fmt.Sprintf("a process of hollow gateways ended: %v: %s", h.err, h.last)
			}
		}
		if over != "" && !slices.Contains(r.invalid, over) {
			r.invalid = append(r.invalid, over)
			cancel(errors.New(over))
		}
		r.mu.Unlock()
	}
}

// own measures by how much this process itself is late.
func (r *Run) own(done <-chan struct{}) {
	const every = 20 * time.Millisecond
	for due := time.Now().Add(every); ; due = due.Add(every) {
		if !standin.Sleep(time.Until(due), done) {
			return
		}
		late := float64(time.Since(due)) / 1e6
		if late > 10*float64(every)/1e6 {
			due = time.Now()
		}
		r.mu.Lock()
		r.ownLate = max(r.ownLate, late)
		r.mu.Unlock()
	}
}

// pids are all processes of the run.
func (r *Run) pids() []int {
	list := []int{os.Getpid()}
	for _, h := range r.procs {
		if !h.ended() {
			list = append(list, h.cmd.Process.Pid)
		}
	}
	for _, n := range r.reals {
		if pid := n.pid(); pid > 0 {
			list = append(list, pid)
		}
	}
	return list
}

// close ends all that was started.
func (r *Run) close() {
	r.load.close()
	r.front.Close()
	var all sync.WaitGroup
	for _, h := range r.procs {
		all.Add(1)
		go func() {
			defer all.Done()
			h.quit()
		}()
	}
	for _, n := range r.reals {
		all.Add(1)
		go func() {
			defer all.Done()
			n.kill()
		}()
	}
	all.Wait()
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
