// Package standin is a world to try gateways in: databases in groups and the discovery service that lists
// them, in one process, on loopback ports. It is written from the platform's protocol and counts what ran by
// id, so that it finds by itself a write that ran twice or a read of data too old. It is ordinary Go, for tests
// and experiments; the gateway does not use it.
package standin

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

// What a database that has just started bears, as the platform's settings have it.
const (
	StartCapacity      = 0.25 // of its speed
	coldOverloadFactor = 2    // times what it can do
	coldOverloadWindow = time.Second

	unusedAddr = "127.0.0.1:9" // where databases are said to be that listen nowhere
)

// Options are the world.
type Options struct {
	Groups, Members  int
	FirstGroup       int           // the number of the first group
	LastGroupMembers int           // databases of one more group, smaller than the others
	Names            []string      // of the databases, group by group; those beyond are numbered
	Sites            []string      // their zones, likewise; "a" for those beyond
	MaxDatabases     int           // databases at most: the last group is smaller; 0: all groups are whole
	NoListeners      bool          // they are listed and listen nowhere: for gateways that call none
	Cores, Queue     int           // of a database: statements at work, and those that wait
	Service          time.Duration // mean time of a statement
	Exponential      bool          // drawn, else always the mean
	Lag              time.Duration // of replicas
	SlowStart        time.Duration // how long a new database takes to get from a quarter of its speed to all
	Bounds           map[string]time.Duration
	ListVersion      int // of the list at first; 0: 1. Restore takes restoreBehind off it
	Seed             uint64
}

// Faults are shares of the answers that go wrong. All are zero at first.
type Faults struct {
	ResetBefore float64 // the connection ends before the statement has been read whole
	ResetAfter  float64 // the statement runs, then the connection ends
	Silence     float64 // it runs, and nothing is said
	Malformed   float64 // it runs, and the answer cannot be read
	Errors      float64 // XX000; half of those have run
}

// Counts are what happened in the world.
type Counts struct {
	Reads, Writes      int // that ran
	PrimaryReads       int // of the reads
	Duplicates         int // writes that ran a second time
	Stale              int // reads answered from data older than their class or session allows
	Misses, Full       int
	Firsts, Repeats    int // statements of a client's try that came for the first time, and again; those turned away are none
	Foreign            int // statements that no client of the protocol sends
	Drained            int // statements begun on a database two seconds after it was to get nothing new
	Connections        int
	MostOpen           int      // connections at one database at one time
	Fell               int      // cold databases that got more than they bear, see Host.bears
	MostCold           float64  // the most that one got, as a share of what it bears
	StaleIDs, TwiceIDs []string // the first of them
}

// World is all databases and their discovery.
type World struct {
	options Options
	mu      sync.Mutex
	rng     *rand.Rand

	hosts              []*Host
	listVersion        int
	discoveryDelay     time.Duration // that calls to discovery take
	discoveryRefusals  float64       // share of them that wait and are turned away
	databasesCreated   int
	watches            map[chan []byte]*Discovery
	silenced           map[chan []byte]bool
	attempted          map[string]bool // clients' tries that came
	executions         map[string]int
	counts             Counts
	faults             Faults
	closed             bool
	done               chan struct{} // closed at the end
	wg                 sync.WaitGroup
	discoveries        []*Discovery // the first is that of the start
	discoveryDown      bool         // they refuse all calls
	watchesDisturbedAt time.Time    // when watches were last made to fail or to fall silent
}

// Host is one database.
type Host struct {
	world          *World
	ID             string
	Group          int
	Site           string       // its zone
	listener       net.Listener // nil: it listens nowhere
	primary        bool
	health         string
	drainingSince  time.Time // when it was to get nothing new
	startedAt      time.Time // zero: long ago
	lag            time.Duration
	applied        time.Time // never goes back
	slots          chan struct{}
	pending        int
	paused         chan struct{}          // closed when it goes on; nil: it runs
	conns          map[net.Conn]time.Time // since when
	statementCount int                    // statements that came, whatever became of them
	coldArrivals   []time.Time            // those of the last fallTime, while it is cold
	overloadedCold bool
	announcedAddr  string // where discovery says it is; empty: where it is

	respond            func(c net.Conn, text string)
	scriptedStatements []string      // that came while a script was set
	refusing, hanging  bool          // it turns all connections away; it answers nothing
	greetingDelay      time.Duration // by which its greeting comes
	dials, ended       int
}

// New starts a world.
func New(options Options) (*World, error) {
	w := &World{options: options, rng: rand.New(rand.NewPCG(options.Seed, 0x73746e64)), watches: map[chan []byte]*Discovery{}, silenced: map[chan []byte]bool{}, attempted: map[string]bool{}, executions: map[string]int{}, listVersion: max(1, options.ListVersion), done: make(chan struct{})}
	for g := range options.Groups {
		for m := range options.Members {
			if options.MaxDatabases > 0 && len(w.hosts) == options.MaxDatabases {
				break
			}
			if _, err := w.startHost(options.FirstGroup+g, m == 0, time.Time{}); err != nil {
				w.Close()
				return nil, err
			}
		}
	}
	for m := range options.LastGroupMembers {
		if _, err := w.startHost(options.FirstGroup+options.Groups, m == 0, time.Time{}); err != nil {
			w.Close()
			return nil, err
		}
	}
	if _, err := w.AddDiscovery(); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

// startHost starts a database.
func (world *World) startHost(group int, primary bool, startedAt time.Time) (*Host, error) {
	var listener net.Listener
	if !world.options.NoListeners {
		var err error
		if listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return nil, fmt.Errorf("stand-in: %w", err)
		}
	}
	world.mu.Lock()
	defer world.mu.Unlock()
	id := fmt.Sprintf("s-%04x", world.databasesCreated+1)
	if world.databasesCreated < len(world.options.Names) {
		id = world.options.Names[world.databasesCreated]
	}
	site := "a"
	if world.databasesCreated < len(world.options.Sites) {
		site = world.options.Sites[world.databasesCreated]
	}
	world.databasesCreated++
	h := &Host{
		world: world, ID: id, Group: group, Site: site, listener: listener, primary: primary, health: "in_service", startedAt: startedAt, lag: world.options.Lag,
		slots: make(chan struct{}, world.options.Cores), conns: map[net.Conn]time.Time{},
	}
	world.hosts = append(world.hosts, h)
	if listener == nil {
		h.announcedAddr = unusedAddr
		return h, nil
	}
	world.wg.Add(1)
	go h.accept()
	return h, nil
}

// Discovery is where the list is asked for.
func (world *World) Discovery() *Discovery { return world.discoveries[0] }

// Counts are what has happened so far.
func (world *World) Counts() Counts {
	world.mu.Lock()
	defer world.mu.Unlock()
	c := world.counts
	c.StaleIDs, c.TwiceIDs = slices.Clone(c.StaleIDs), slices.Clone(c.TwiceIDs)
	return c
}

// SetFaults has answers go wrong from now on.
func (world *World) SetFaults(f Faults) {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.faults = f
}

// draw tells whether something of this probability happens.
func (world *World) draw(p float64) bool { return p > 0 && world.rng.Float64() < p }

// pickHosts are a share of the databases in service, those of one group never all.
func (world *World) pickHosts(share float64) (picked []*Host) {
	world.mu.Lock()
	defer world.mu.Unlock()
	var serving []*Host
	for _, h := range world.hosts {
		if h.health == "in_service" {
			serving = append(serving, h)
		}
	}
	for _, i := range world.rng.Perm(len(serving)) {
		if len(picked) < int(share*float64(len(serving))+0.5) {
			picked = append(picked, serving[i])
		}
	}
	return picked
}

// SetLag has a share of the replicas fall behind.
func (world *World) SetLag(share float64, lag time.Duration) {
	for _, h := range world.pickHosts(share) {
		world.mu.Lock()
		h.lag = max(lag, world.options.Lag)
		world.mu.Unlock()
	}
}

// Pause has a share of the databases stand still, their connections open, until the function is called.
func (world *World) Pause(share float64) (resume func()) {
	paused := world.pickHosts(share)
	resumed := make(chan struct{})
	world.mu.Lock()
	for _, h := range paused {
		h.paused = resumed
	}
	world.mu.Unlock()
	return func() {
		world.mu.Lock()
		for _, h := range paused {
			if h.paused == resumed {
				h.paused = nil
			}
		}
		world.mu.Unlock()
		close(resumed)
	}
}

// WithholdChanges has the watches that are on now hear of no change any more, though they are not silent: a list that
// stays old without a sign. Who asks again is told all.
func (world *World) WithholdChanges() {
	world.mu.Lock()
	defer world.mu.Unlock()
	clear(world.watches)
}

// AddReplica adds a replica to a group.
func (world *World) AddReplica(group int) error {
	h, err := world.startHost(group, false, time.Now())
	if err == nil {
		world.mu.Lock()
		defer world.mu.Unlock()
		world.announce(h)
	}
	return err
}

// Replace drains one database, hands its part as primary over, starts another in its place and takes it off the list.
// It is the step of a rolling deploy; stop ends it early.
func (world *World) Replace(h *Host, drain time.Duration, stop <-chan struct{}) error {
	world.mu.Lock()
	h.health, h.drainingSince = "terminating", time.Now()
	world.announce(h)
	world.mu.Unlock()
	if !Sleep(drain/4, stop) {
		return nil
	}
	world.handOver(h)
	replacement, err := world.startHost(h.Group, false, time.Now())
	if err != nil {
		return err
	}
	world.mu.Lock()
	world.announce(replacement)
	world.mu.Unlock()
	if !Sleep(drain*3/4, stop) {
		return nil
	}
	world.mu.Lock()
	h.health = "terminated"
	world.announce(h)
	world.hosts = slices.DeleteFunc(world.hosts, func(o *Host) bool { return o == h })
	world.mu.Unlock()
	h.close()
	return nil
}

// ChangePrimary has a group's primary hand over to a replica, and discovery tell so. False: the group has no other member.
func (world *World) ChangePrimary(group int) bool {
	for _, h := range world.Members() {
		world.mu.Lock()
		primary := h.primary
		world.mu.Unlock()
		if h.Group == group && primary {
			before := world.ListVersion()
			world.handOver(h)
			return world.ListVersion() != before
		}
	}
	return false
}

// handOver makes the replica that has most of the log the primary in h's place.
func (world *World) handOver(h *Host) {
	world.mu.Lock()
	defer world.mu.Unlock()
	if !h.primary {
		return
	}
	var best *Host
	for _, other := range world.hosts {
		if other != h && other.Group == h.Group && other.health == "in_service" && (best == nil || other.lag < best.lag) {
			best = other
		}
	}
	if best == nil {
		return
	}
	h.primary, best.primary = false, true
	world.announce(best)
}

// Members are the databases now.
func (world *World) Members() []*Host {
	world.mu.Lock()
	defer world.mu.Unlock()
	return slices.Clone(world.hosts)
}

// Close ends the world; every connection is closed and every goroutine has ended when it returns.
func (world *World) Close() {
	world.mu.Lock()
	if !world.closed {
		close(world.done)
	}
	world.closed = true
	hosts := slices.Clone(world.hosts)
	world.mu.Unlock()
	for _, h := range hosts {
		h.close()
	}
	for _, d := range world.discoveries {
		d.close()
	}
	world.wg.Wait()
}

// countOpen notes how many connections stood together at a moment. It is called a while after that, when those that had
// been closed by then are out of the books.
func (h *Host) countOpen(at time.Time) {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	n := 0
	for _, since := range h.conns {
		if !since.After(at) {
			n++
		}
	}
	h.world.counts.MostOpen = max(h.world.counts.MostOpen, n)
}

// checkColdLoad notes a statement that has come to a database that may still be cold. One that gets more in fallTime than fallMore
// times what it can do by then, and a little, would fall.
func (h *Host) checkColdLoad(now time.Time) {
	share := h.speedShare(now)
	if share >= 1 {
		h.coldArrivals = nil
		return
	}
	h.coldArrivals = append(h.coldArrivals, now)
	for now.Sub(h.coldArrivals[0]) >= coldOverloadWindow {
		h.coldArrivals = h.coldArrivals[1:]
	}
	w := h.world
	expected := coldOverloadFactor * share * float64(w.options.Cores) * float64(coldOverloadWindow) / float64(w.options.Service)
	limit := expected + 2*math.Sqrt(expected) + 2 // what is beyond the budget is chance
	w.counts.MostCold = max(w.counts.MostCold, float64(len(h.coldArrivals))/limit)
	if !h.overloadedCold && float64(len(h.coldArrivals)) > limit {
		h.overloadedCold = true
		w.counts.Fell++
	}
}

// speedShare is the share of its speed that a database has.
func (h *Host) speedShare(now time.Time) float64 {
	if age := now.Sub(h.startedAt); !h.startedAt.IsZero() && age < h.world.options.SlowStart {
		return StartCapacity + (1-StartCapacity)*float64(age)/float64(h.world.options.SlowStart)
	}
	return 1
}

// IsCold tells whether the database has not reached its full speed since it started.
func (h *Host) IsCold() bool {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	return h.speedShare(time.Now()) < 1
}

// StatementCount is how many statements of clients have come to the database.
func (h *Host) StatementCount() int {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	return h.statementCount
}

func (h *Host) close() {
	if h.listener != nil {
		h.listener.Close()
	}
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	for c := range h.conns {
		c.Close()
	}
}

// Sleep waits; false: stop was closed first.
func Sleep(d time.Duration, stop <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-stop:
		return false
	}
}
