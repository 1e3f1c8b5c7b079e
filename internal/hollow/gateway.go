package hollow

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"net/netip"
	"os"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"lilaccove/internal/backend"
	"lilaccove/internal/control"
	"lilaccove/internal/netloop"
	"lilaccove/internal/settings"
	"lilaccove/internal/stats"
)

const (
	sockets    = 128                    // of one gateway: it has its links and one watch
	latePeriod = 20 * time.Millisecond  // of the timer that tells how late timers fire
	goesOn     = 700 * time.Millisecond // a gateway that ends goes on for so long, as the program does
	startTime  = 5 * time.Second        // for the end of a run before the next begins
)

// Spec is one gateway, as it stands in the first line.
type Spec struct {
	Name           string  `json:"name"`
	Config         string  `json:"config"`
	Fleet          string  `json:"fleet"` // empty: in no fleet
	Zone           string  `json:"zone"`  // before that of the configuration
	StatementsPerS float64 `json:"statements_per_s"`
	Skew           float64 `json:"skew"`
	Writes         float64 `json:"writes"` // share of the statements; 0: a tenth
}

// State is one gateway in a report. Figures are sums since its start, but for late_ms_max and dead_names, which are since the
// last report, and what holds at the moment.
type State struct {
	Name             string                   `json:"name"`
	Up               bool                     `json:"up"`
	Error            string                   `json:"error,omitempty"` // why it is not
	Member           bool                     `json:"member"`
	Addr             string                   `json:"addr,omitempty"`
	Session          string                   `json:"session,omitempty"`
	CPUMS            float64                  `json:"cpu_ms"`
	FeedCPUMS        float64                  `json:"feed_cpu_ms"` // of cpu_ms, for what no real gateway does
	LateMSMax        float64                  `json:"late_ms_max"`
	ViewMembers      int                      `json:"view_members"`
	ViewDigest       string                   `json:"view_digest"`
	Deaths           uint64                   `json:"deaths"`
	DeadNames        []string                 `json:"dead_names"`
	ListSeq          int64                    `json:"list_seq"`
	ListDatabases    int                      `json:"list_databases"`
	KnownPositions   int                      `json:"known_positions"`
	AgeP50           float64                  `json:"position_age_ms_p50"` // how old they are
	AgeP99           float64                  `json:"position_age_ms_p99"`
	PositionsLearned uint64                   `json:"positions_learned"` // of what databases told: what was news
	PositionsHeard   uint64                   `json:"positions_heard"`   // of what other gateways told
	Learned          uint64                   `json:"learned"`           // statements whose answers were fed in
	LearnedPrimary   uint64                   `json:"learned_primary"`
	Short            uint64                   `json:"budget_short"` // that found no connection in the budget
	Roles            map[string]stats.Traffic `json:"roles"`
	Totals           stats.Traffic            `json:"totals"` // of all links, discovery not among them
}

// hollow is one gateway: it may be started again and again, each time as a new process would be.
type hollow struct {
	spec  Spec
	names *threads
	addr  netip.AddrPort // where the last run was found by others

	mu   sync.Mutex
	cur  *run          // nil: none runs
	over chan struct{} // closed when all of the last run is over
	last State         // as last reported
	err  error         // why it did not start, or ended by itself
}

// run is a gateway from its start to its end, on the loop's goroutine.
type run struct {
	h       *hollow
	loop    *netloop.Loop
	side    *control.Side
	feed    *feed
	asked   chan func()   // see hollow.ask
	gone    chan struct{} // closed when its sockets are
	late    time.Duration
	dead    []string
	begun   time.Duration // threadTime then
	meter   time.Duration // spent for what no real gateway does
	ending  bool
	stopped bool
	odd     bool
}

// start runs it until told otherwise, on a thread that nobody else uses meanwhile.
func (h *hollow) start() error {
	if h.runs() && !h.ends() {
		return errors.New("it runs already")
	}
	if h.over != nil {
		select {
		case <-h.over:
		case <-time.After(startTime):
			return errors.New("its last run has not ended")
		}
	}
	over, begun := make(chan struct{}), make(chan error, 1)
	h.over = over
	go func() {
		defer close(over)
		runtime.LockOSThread()
		defer runtime.UnlockOSThread() // a thread that ended would take the processes along that were started on it
		h.names.begin(h.spec.Name)
		defer h.names.end()
		before := threadTime()
		r, err := h.open()
		if r != nil {
			r.begun = before
		}
		h.set(r, err)
		begun <- err
		if err != nil {
			return
		}
		err = r.loop.Run(r.side.Step)
		if err == nil && !r.stopped {
			err = errors.New("ended by itself")
		}
		h.set(nil, err)
		r.loop.Close()
		close(r.gone)
		r.side.Close()
	}()
	return <-begun
}

func (h *hollow) set(r *run, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cur, h.err = r, err
}

// open builds the gateway as the program does, without clients, operators and connections to databases.
func (h *hollow) open() (*run, error) {
	text, err := os.ReadFile(h.spec.Config)
	if err != nil {
		return nil, err
	}
	var cfg control.Config
	if err := json.Unmarshal(text, &cfg); err != nil {
		return nil, fmt.Errorf("%s: %w", h.spec.Config, err)
	}
	cfg.Name = h.spec.Name
	set, err := settings.FromJSON(cfg.Settings)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", h.spec.Config, err)
	}
	if z := h.spec.Zone; z != "" {
		if set.Policy.Zone = slices.Index(set.Zones, z); set.Policy.Zone < 0 {
			return nil, fmt.Errorf("%s: settings: Localities are %v; gateway %s is to be in %q: name it there", h.spec.Config, set.Zones, h.spec.Name, z)
		}
	}
	party, err := control.LoadFleet(h.spec.Fleet, func(string) string { return "" }, set)
	if err != nil {
		return nil, err
	}
	if party != nil && party.Listen.Port() == 0 && h.addr.IsValid() {
		party.Listen = h.addr // where its last run was
	}
	memory := int(max(cfg.Limits.MemoryMB, 64)) << 20
	loop, err := netloop.New(sockets, 0, memory/4)
	if err != nil {
		return nil, err
	}
	side, err := control.New(loop, cfg, set, party)
	if err != nil {
		loop.Close()
		return nil, err
	}
	r := &run{h: h, loop: loop, side: side, asked: make(chan func(), 64), gone: make(chan struct{}), dead: []string{}}
	options := backend.Options{ConnIdle: set.ConnIdle, DialTimeout: set.DialTimeout, ProbeReport: set.ProbeReport, Reserve: sockets / 16}
	budgets := side.Budgets()
	if budgets != nil {
		options.Budget = budgets
	}
	pool := backend.New(loop, side.Core, options)
	if budgets != nil {
		budgets.OnGrant = pool.Granted
	}
	side.Connect(&backends{Pool: pool, core: side.Core})
	side.Join(r.drain)
	if side.Links != nil {
		side.Links.OnDeath(func(name string) { r.dead = append(r.dead, name) })
		own, _ := side.Links.Self()
		h.addr = own.Addr
	}
	seed := fnv.New64()
	_, _ = seed.Write([]byte(h.spec.Name))
	r.feed = newFeed(side, set.Policy.Classes, h.spec, seed.Sum64())
	r.tick(loop.Now() + latePeriod)
	loop.OnWake(func() {
		for len(r.asked) > 0 {
			(<-r.asked)()
		}
	})
	return r, nil
}

// tick tells how late timers fire, and feeds in every other time what answers would have told.
func (r *run) tick(due time.Duration) {
	r.loop.At(due, func() {
		now := r.loop.Clock()
		r.late = max(r.late, now-due)
		if r.odd = !r.odd; r.odd && r.feed.rate > 0 {
			begun := threadTime()
			r.feed.draw(r.loop.Now())
			r.meter += threadTime() - begun
			r.feed.learn(r.loop.Now())
		}
		next := due + latePeriod
		if next <= now {
			next = now + latePeriod
		}
		r.tick(next)
	})
}

// drain is what a word of the fleet on this gateway comes to.
func (r *run) drain(on bool) {
	switch {
	case on:
		r.side.Links.Leave()
	case !r.ending:
		r.side.Links.Join()
	}
}

// ask has something done on the loop's goroutine; nil: no run is there to do it.
func (h *hollow) ask(do func(*run)) *run {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.cur
	if r == nil {
		return nil
	}
	select {
	case r.asked <- func() { do(r) }:
	default: // it has been starved for long
		return nil
	}
	r.loop.Wake() // its descriptor is open as long as h.cur is set
	return r
}

// stop ends a run.
func (r *run) stop() {
	r.stopped = true
	r.loop.Stop()
}

// kill closes all that it has, without a word to anybody.
func (h *hollow) kill() {
	for {
		r := h.ask((*run).stop)
		if r == nil && !h.runs() {
			return
		}
		if r != nil {
			<-r.gone
			return
		}
		time.Sleep(latePeriod) // starved: it has not done what it was asked before
	}
}

// ends tells whether the run that is on was told to end.
func (h *hollow) ends() bool {
	answer := make(chan bool, 1)
	r := h.ask(func(r *run) { answer <- r.ending })
	if r == nil {
		return false
	}
	select {
	case on := <-answer:
		return on
	case <-r.gone:
		return true
	}
}

func (h *hollow) runs() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cur != nil
}

// end is what SIGTERM leads to.
func (h *hollow) end() {
	h.ask(func(r *run) {
		if r.ending {
			return
		}
		r.ending = true
		if r.side.Links != nil {
			r.side.Links.Leave()
		}
		r.loop.At(r.loop.Now()+goesOn, r.stop)
	})
}

// state is what a report tells, on the loop's goroutine.
func (r *run) state() State {
	begun := threadTime()
	s := State{
		Name: r.h.spec.Name, Up: true, LateMSMax: millis(r.late), DeadNames: r.dead, ListSeq: r.side.Watch.ListVersion(), ListDatabases: r.side.Core.ListSize(),
		Learned: r.feed.learned, LearnedPrimary: r.feed.learnedPrimary, Short: r.feed.short, Roles: r.side.Traffic(),
	}
	r.late, r.dead = 0, []string{}
	if l := r.side.Links; l != nil {
		own, member := l.Self()
		v, c := l.View(), l.Totals()
		s.Member, s.Addr, s.Session = member, own.Addr.String(), strconv.FormatUint(own.Session, 16)
		s.ViewMembers, s.ViewDigest, s.Deaths = len(v.Members), strconv.FormatUint(v.Digest, 16), l.Deaths()
		s.Totals = stats.Traffic{OutBytes: c.SentBytes, OutMessages: c.Sent, InBytes: c.ReceivedBytes, InMessages: c.Received}
	}
	s.PositionsLearned, s.PositionsHeard = r.side.PositionUpdates()
	if ages := r.side.PositionAges(); len(ages) > 0 {
		slices.Sort(ages)
		s.KnownPositions = len(ages)
		s.AgeP50, s.AgeP99 = millis(ages[len(ages)/2]), millis(ages[len(ages)*99/100])
	}
	now := threadTime()
	r.meter += now - begun
	s.CPUMS, s.FeedCPUMS = millis(now-r.begun), millis(r.meter)
	return s
}

func millis(d time.Duration) float64 { return math.Round(float64(d)/float64(time.Microsecond)) / 1000 }

// threadTime is how long the processor has worked for this thread.
func threadTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
