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
	maxSockets     = 128                    // per gateway: peer links and one watch at discovery
	tickInterval   = 20 * time.Millisecond  // of the timer that measures event loop lag
	shutdownDelay  = 700 * time.Millisecond // between leaving the fleet and stopping, as in cmd/lilaccove
	restartTimeout = 5 * time.Second        // for the previous run to end before the next one starts
)

// GatewaySpec describes one gateway in the first line of input.
type GatewaySpec struct {
	Name           string  `json:"name"`
	Config         string  `json:"config"`
	Fleet          string  `json:"fleet"` // path of the fleet file; empty: in no fleet
	Zone           string  `json:"zone"`  // overrides the zone of the configuration
	StatementsPerS float64 `json:"statements_per_s"`
	Skew           float64 `json:"skew"`   // exponent of Zipf's law over the databases; 0: even
	WriteShare     float64 `json:"writes"` // share of the statements; 0: defaultWriteShare
}

// GatewayState is one gateway in a report. Counters are totals since its start; late_ms_max and dead_names cover the time since
// the last report; the rest are current values.
type GatewayState struct {
	Name                  string                   `json:"name"`
	Up                    bool                     `json:"up"`
	Error                 string                   `json:"error,omitempty"` // why it is not up
	Member                bool                     `json:"member"`
	Addr                  string                   `json:"addr,omitempty"`
	Session               string                   `json:"session,omitempty"`
	CPUMS                 float64                  `json:"cpu_ms"`
	FeedCPUMS             float64                  `json:"feed_cpu_ms"` // part of cpu_ms spent on generating statements and on reports, which no real gateway does
	LateMSMax             float64                  `json:"late_ms_max"`
	ViewMembers           int                      `json:"view_members"`
	ViewDigest            string                   `json:"view_digest"`
	Deaths                uint64                   `json:"deaths"`
	DeadNames             []string                 `json:"dead_names"`
	ListVersion           int64                    `json:"list_seq"`
	ListDatabases         int                      `json:"list_databases"`
	KnownPositions        int                      `json:"known_positions"`
	PositionAgeP50MS      float64                  `json:"position_age_ms_p50"` // age of the known positions
	PositionAgeP99MS      float64                  `json:"position_age_ms_p99"`
	PositionsLearned      uint64                   `json:"positions_learned"` // from databases' answers, newer than what was known
	PositionsReceived     uint64                   `json:"positions_heard"`   // from other gateways
	AnswersLearned        uint64                   `json:"learned"`           // statements whose answers were generated
	PrimaryAnswersLearned uint64                   `json:"learned_primary"`
	BudgetTimeouts        uint64                   `json:"budget_short"` // statements that got no connection from the budget in time
	Roles                 map[string]stats.Traffic `json:"roles"`
	Totals                stats.Traffic            `json:"totals"` // of all peer links, without discovery
}

// hollowGateway is one gateway. It may be started repeatedly, each time like a new process of a gateway.
type hollowGateway struct {
	spec      GatewaySpec
	logWriter *threadPrefixer
	lastAddr  netip.AddrPort // address that the last run advertised to its peers

	mu        sync.Mutex
	current   *run          // nil: not running
	finished  chan struct{} // closed when the last run has released everything
	lastState GatewayState  // last state reported
	err       error         // why it did not start or ended unexpectedly
}

// run is a gateway from its start to its end. It belongs to the loop's goroutine.
type run struct {
	h         *hollowGateway
	loop      *netloop.Loop
	side      *control.Side
	feed      *feed
	queue     chan func()   // functions to call on the loop's goroutine, see hollowGateway.post
	closed    chan struct{} // closed once its sockets are closed
	maxLag    time.Duration
	deadNames []string
	startCPU  time.Duration // threadCPU at the start
	feedCPU   time.Duration // reported as GatewayState.FeedCPUMS
	ending    bool
	stopped   bool
	feedTurn  bool // the current tick generates answers; every second one does
}

// start runs the gateway until it is stopped, on a thread of its own.
func (h *hollowGateway) start() error {
	if h.running() && !h.shuttingDown() {
		return errors.New("it is already running")
	}
	if h.finished != nil {
		select {
		case <-h.finished:
		case <-time.After(restartTimeout):
			return errors.New("its previous run has not ended")
		}
	}
	finished, started := make(chan struct{}), make(chan error, 1)
	h.finished = finished
	go func() {
		defer close(finished)
		runtime.LockOSThread()
		defer runtime.UnlockOSThread() // ending the thread would kill child processes that were started on it with Pdeathsig
		h.logWriter.assign(h.spec.Name)
		defer h.logWriter.unassign()
		startCPU := threadCPU()
		r, err := h.open()
		if r != nil {
			r.startCPU = startCPU
		}
		h.setCurrent(r, err)
		started <- err
		if err != nil {
			return
		}
		err = r.loop.Run(r.side.Step)
		if err == nil && !r.stopped {
			err = errors.New("ended unexpectedly")
		}
		h.setCurrent(nil, err)
		r.loop.Close()
		close(r.closed)
		r.side.Close()
	}()
	return <-started
}

func (h *hollowGateway) setCurrent(r *run, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.current, h.err = r, err
}

// open builds the gateway as cmd/lilaccove does, without clients, operators and connections to databases.
func (h *hollowGateway) open() (*run, error) {
	configJSON, err := os.ReadFile(h.spec.Config)
	if err != nil {
		return nil, err
	}
	var config control.Config
	if err := json.Unmarshal(configJSON, &config); err != nil {
		return nil, fmt.Errorf("%s: %w", h.spec.Config, err)
	}
	config.Name = h.spec.Name
	set, err := settings.FromJSON(config.Settings)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", h.spec.Config, err)
	}
	if zone := h.spec.Zone; zone != "" {
		if set.Policy.Zone = slices.Index(set.Zones, zone); set.Policy.Zone < 0 {
			return nil, fmt.Errorf("%s: settings: Localities are %v; the zone of gateway %s, %q, is not among them", h.spec.Config, set.Zones, h.spec.Name, zone)
		}
	}
	fleetFile, err := control.LoadFleet(h.spec.Fleet, func(string) string { return "" }, set)
	if err != nil {
		return nil, err
	}
	if fleetFile != nil && fleetFile.Listen.Port() == 0 && h.lastAddr.IsValid() {
		fleetFile.Listen = h.lastAddr // keeps the address of the previous run
	}
	memoryBytes := int(max(config.Limits.MemoryMB, 64)) << 20
	loop, err := netloop.New(maxSockets, 0, memoryBytes/4)
	if err != nil {
		return nil, err
	}
	side, err := control.New(loop, config, set, fleetFile)
	if err != nil {
		loop.Close()
		return nil, err
	}
	r := &run{h: h, loop: loop, side: side, queue: make(chan func(), 64), closed: make(chan struct{}), deadNames: []string{}}
	options := backend.Options{ConnIdle: set.ConnIdle, DialTimeout: set.DialTimeout, ProbeReport: set.ProbeReport, Reserve: maxSockets / 16}
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
		side.Links.OnDeath(func(name string) { r.deadNames = append(r.deadNames, name) })
		own, _ := side.Links.Self()
		h.lastAddr = own.Addr
	}
	seed := fnv.New64()
	_, _ = seed.Write([]byte(h.spec.Name))
	r.feed = newFeed(side, set.Policy.Classes, h.spec, seed.Sum64())
	r.scheduleTick(loop.Now() + tickInterval)
	loop.OnWake(func() {
		for len(r.queue) > 0 {
			(<-r.queue)()
		}
	})
	return r, nil
}

// scheduleTick measures event loop lag, and on every second call generates the answers of databases.
func (r *run) scheduleTick(due time.Duration) {
	r.loop.At(due, func() {
		now := r.loop.Clock()
		r.maxLag = max(r.maxLag, now-due)
		if r.feedTurn = !r.feedTurn; r.feedTurn && r.feed.rate > 0 {
			startCPU := threadCPU()
			r.feed.drawBatch(r.loop.Now())
			r.feedCPU += threadCPU() - startCPU
			r.feed.deliverBatch(r.loop.Now())
		}
		next := due + tickInterval
		if next <= now {
			next = now + tickInterval
		}
		r.scheduleTick(next)
	})
}

// drain applies an operator override that drains or activates this gateway.
func (r *run) drain(on bool) {
	switch {
	case on:
		r.side.Links.Leave()
	case !r.ending:
		r.side.Links.Join()
	}
}

// post queues do for the loop's goroutine. It returns nil where the gateway is not running or its queue is full.
func (h *hollowGateway) post(do func(*run)) *run {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.current
	if r == nil {
		return nil
	}
	select {
	case r.queue <- func() { do(r) }:
	default: // the queue is full: the loop has been starved for long
		return nil
	}
	r.loop.Wake() // safe: its descriptor stays open as long as h.current is set
	return r
}

// stop stops the loop.
func (r *run) stop() {
	r.stopped = true
	r.loop.Stop()
}

// kill closes the gateway's sockets without notifying its peers.
func (h *hollowGateway) kill() {
	for {
		r := h.post((*run).stop)
		if r == nil && !h.running() {
			return
		}
		if r != nil {
			<-r.closed
			return
		}
		time.Sleep(tickInterval) // its queue is full because the loop is starved
	}
}

// shuttingDown reports whether the current run is shutting down.
func (h *hollowGateway) shuttingDown() bool {
	answer := make(chan bool, 1)
	r := h.post(func(r *run) { answer <- r.ending })
	if r == nil {
		return false
	}
	select {
	case ending := <-answer:
		return ending
	case <-r.closed:
		return true
	}
}

func (h *hollowGateway) running() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current != nil
}

// end starts a graceful shutdown, as SIGTERM does in cmd/lilaccove.
func (h *hollowGateway) end() {
	h.post(func(r *run) {
		if r.ending {
			return
		}
		r.ending = true
		if r.side.Links != nil {
			r.side.Links.Leave()
		}
		r.loop.At(r.loop.Now()+shutdownDelay, r.stop)
	})
}

// state returns the figures for a report. It is called on the loop's goroutine.
func (r *run) state() GatewayState {
	startCPU := threadCPU()
	s := GatewayState{
		Name: r.h.spec.Name, Up: true, LateMSMax: millis(r.maxLag), DeadNames: r.deadNames, ListVersion: r.side.Watch.ListVersion(), ListDatabases: r.side.Core.ListSize(),
		AnswersLearned: r.feed.learned, PrimaryAnswersLearned: r.feed.learnedPrimary, BudgetTimeouts: r.feed.budgetTimeouts, Roles: r.side.Traffic(),
	}
	r.maxLag, r.deadNames = 0, []string{}
	if links := r.side.Links; links != nil {
		own, member := links.Self()
		view, totals := links.View(), links.Totals()
		s.Member, s.Addr, s.Session = member, own.Addr.String(), strconv.FormatUint(own.Session, 16)
		s.ViewMembers, s.ViewDigest, s.Deaths = len(view.Members), strconv.FormatUint(view.Digest, 16), links.Deaths()
		s.Totals = stats.Traffic{OutBytes: totals.SentBytes, OutMessages: totals.Sent, InBytes: totals.ReceivedBytes, InMessages: totals.Received}
	}
	s.PositionsLearned, s.PositionsReceived = r.side.PositionUpdates()
	if ages := r.side.PositionAges(); len(ages) > 0 {
		slices.Sort(ages)
		s.KnownPositions = len(ages)
		s.PositionAgeP50MS, s.PositionAgeP99MS = millis(ages[len(ages)/2]), millis(ages[len(ages)*99/100])
	}
	endCPU := threadCPU()
	r.feedCPU += endCPU - startCPU
	s.CPUMS, s.FeedCPUMS = millis(endCPU-r.startCPU), millis(r.feedCPU)
	return s
}

func millis(d time.Duration) float64 { return math.Round(float64(d)/float64(time.Microsecond)) / 1000 }

// threadCPU returns the CPU time of the calling thread.
func threadCPU() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
