// Package standin simulates the platform around gateways: groups of databases and the discovery service that
// lists them, in one process, on loopback ports. It is written from the platform's protocol and counts
// statements by request ID, so that it detects a write that ran twice or a read of data that was too old. It is
// for tests and experiments; the gateway does not use it.
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

const (
	// Capacity of a database that has just started, as in the platform's settings.
	StartCapacity      = 0.25        // share of its full speed right after the start
	coldOverloadFactor = 2           // multiple of its current capacity that overloads it
	coldOverloadWindow = time.Second // in which arrivals are counted against that

	unusedAddr = "127.0.0.1:9" // announced for databases without a listener
)

// Options configure a World.
type Options struct {
	Groups, Members  int
	FirstGroup       int                      // number of the first group
	LastGroupMembers int                      // databases of an additional, smaller group; 0: there is none
	Names            []string                 // of the databases, group by group; further ones get numbered names
	Sites            []string                 // zones of the databases, likewise; "a" for further ones
	MaxDatabases     int                      // of all groups together: later groups are smaller or missing; 0: no limit
	NoListeners      bool                     // databases are listed but do not listen, for gateways that connect to none
	Cores, Queue     int                      // of a database: statements that run at once, and those that may wait
	Service          time.Duration            // mean execution time of a statement
	Exponential      bool                     // execution times are exponentially distributed, else constant
	Lag              time.Duration            // of replicas
	SlowStart        time.Duration            // time in which a new database goes from StartCapacity to its full speed
	Bounds           map[string]time.Duration // staleness bounds, by class
	ListVersion      int                      // initial version of discovery's list; 0 stands for 1. RestoreDiscovery lowers it by restoreVersionGap
	Seed             uint64
}

// Faults are the shares of statements that fail in some way, initially zero.
type Faults struct {
	ResetBefore float64 // the connection is reset before the statement has been read completely
	ResetAfter  float64 // the statement runs, then the connection is reset
	Silence     float64 // the statement runs, and no answer is sent
	Malformed   float64 // the statement runs, and the answer is malformed
	Errors      float64 // the answer is XX000; half of the statements have run
}

// Counts counts what happened at the databases.
type Counts struct {
	Reads, Writes      int // statements that ran
	PrimaryReads       int // reads that ran at a primary
	Duplicates         int // writes that ran twice
	Stale              int // reads answered from data older than their class or session allows
	Misses, Full       int // writes refused by a replica; statements refused as the queue was full
	Firsts, Repeats    int // first and further attempts at a request of a client, misses excluded
	Foreign            int // statements that no client of the protocol sends
	Drained            int // statements that arrived later than drainTime after the database began to drain
	Connections        int
	MostOpen           int      // maximum of connections open to one database at a time
	Fell               int      // cold databases that were overloaded, see Host.checkColdLoad
	MostCold           float64  // maximum load of a cold database, as a multiple of its limit
	StaleIDs, TwiceIDs []string // request IDs of the first stale reads and duplicate writes
}

// World is all databases and their discovery servers.
type World struct {
	options Options
	mu      sync.Mutex
	rng     *rand.Rand

	hosts              []*Host
	listVersion        int
	discoveryDelay     time.Duration // of each watch request to discovery
	discoveryRefusals  float64       // share of watch requests refused after that delay
	databasesCreated   int
	watches            map[chan []byte]*Discovery // that receive changes
	silenced           map[chan []byte]bool       // watches that receive not even heartbeats
	attempted          map[string]bool            // requests of clients that have arrived, by ID and retry mark
	executions         map[string]int             // of writes, by request ID
	counts             Counts
	faults             Faults
	closed             bool
	done               chan struct{} // closed by Close
	wg                 sync.WaitGroup
	discoveries        []*Discovery // the first was started by New
	discoveryDown      bool         // discovery refuses all watch requests
	watchesDisturbedAt time.Time    // when watches were last made to fail or to stay silent
}

// Host is one database.
type Host struct {
	world          *World
	ID             string
	Group          int
	Site           string       // zone
	listener       net.Listener // nil with Options.NoListeners
	primary        bool
	health         string
	drainingSince  time.Time // when discovery first listed it as not in service
	startedAt      time.Time // zero: long before the test
	lag            time.Duration
	applied        time.Time              // replication position; never goes back
	slots          chan struct{}          // one for each statement that runs
	pending        int                    // statements that run or wait
	paused         chan struct{}          // closed when it resumes; nil: it is not paused
	conns          map[net.Conn]time.Time // open connections and their start
	statementCount int                    // statements that arrived, refused ones included
	coldArrivals   []time.Time            // arrivals within coldOverloadWindow while it is cold
	overloadedCold bool
	announcedAddr  string // announced by discovery; empty: the listener's

	respond            func(c net.Conn, text string) // set by SetScript
	scriptedStatements []string                      // that arrived while a script was set
	refusing, hanging  bool                          // refuses all connections; answers no statement
	greetingDelay      time.Duration                 // delay of the reply to a startup message
	dials, ended       int                           // connections that sent a startup message; accepted ones that have ended
}

// New starts the databases and one discovery server.
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

// startHost starts a database. It does not announce it.
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

// Discovery returns the first discovery server.
func (world *World) Discovery() *Discovery { return world.discoveries[0] }

// Counts returns the counts so far.
func (world *World) Counts() Counts {
	world.mu.Lock()
	defer world.mu.Unlock()
	c := world.counts
	c.StaleIDs, c.TwiceIDs = slices.Clone(c.StaleIDs), slices.Clone(c.TwiceIDs)
	return c
}

// SetFaults replaces the shares of statements that fail.
func (world *World) SetFaults(f Faults) {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.faults = f
}

// draw returns true with the given probability.
func (world *World) draw(probability float64) bool {
	return probability > 0 && world.rng.Float64() < probability
}

// pickHosts returns a random share of the databases in service.
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

// SetLag sets the lag of a random share of the databases, at least Options.Lag. Primaries ignore theirs.
func (world *World) SetLag(share float64, lag time.Duration) {
	for _, h := range world.pickHosts(share) {
		world.mu.Lock()
		h.lag = max(lag, world.options.Lag)
		world.mu.Unlock()
	}
}

// Pause makes a random share of the databases run no statement, with their connections open, until resume is called.
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

// WithholdChanges stops sending changes to the current watches. They still receive heartbeats, so that their list is
// outdated without a sign of it. A new watch receives the whole list.
func (world *World) WithholdChanges() {
	world.mu.Lock()
	defer world.mu.Unlock()
	clear(world.watches)
}

// AddReplica starts and announces one more replica of a group.
func (world *World) AddReplica(group int) error {
	h, err := world.startHost(group, false, time.Now())
	if err == nil {
		world.mu.Lock()
		defer world.mu.Unlock()
		world.announce(h)
	}
	return err
}

// Replace drains a database, hands its role as primary over, starts a replacement and removes the old database from the
// list. It is one step of a rolling deployment; closing stop ends it early.
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

// ChangePrimary hands a group's primary role over to a replica and announces it. It returns false if the group has no
// other member in service.
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

// handOver makes the replica with the smallest lag primary in place of h, if h is primary, and announces it.
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

// Members returns the current databases.
func (world *World) Members() []*Host {
	world.mu.Lock()
	defer world.mu.Unlock()
	return slices.Clone(world.hosts)
}

// Close closes all listeners and connections, and returns once every goroutine has ended.
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

// countOpen counts the connections that were open at the given time. It is called closeNoticeTime later, when those that
// had been closed by then have been removed from conns.
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

// checkColdLoad counts an arriving statement if the database is cold. A cold database counts as overloaded if more
// statements arrive in coldOverloadWindow than coldOverloadFactor times its current capacity, with an allowance for
// random arrivals.
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
	limit := expected + 2*math.Sqrt(expected) + 2 // two standard deviations and two statements for random arrivals
	w.counts.MostCold = max(w.counts.MostCold, float64(len(h.coldArrivals))/limit)
	if !h.overloadedCold && float64(len(h.coldArrivals)) > limit {
		h.overloadedCold = true
		w.counts.Fell++
	}
}

// speedShare returns the current share of the database's full speed.
func (h *Host) speedShare(now time.Time) float64 {
	if age := now.Sub(h.startedAt); !h.startedAt.IsZero() && age < h.world.options.SlowStart {
		return StartCapacity + (1-StartCapacity)*float64(age)/float64(h.world.options.SlowStart)
	}
	return 1
}

// IsCold reports whether the database has not reached its full speed since its start.
func (h *Host) IsCold() bool {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	return h.speedShare(time.Now()) < 1
}

// StatementCount returns how many statements of clients have arrived at the database.
func (h *Host) StatementCount() int {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	return h.statementCount
}

// close closes the listener and all connections.
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

// Sleep waits for d, and returns false if stop is closed first.
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
