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
	StartCapacity = 0.25 // of its speed
	fallMore      = 2    // times what it can do
	fallTime      = time.Second

	unheard = "127.0.0.1:9" // where databases are said to be that listen nowhere
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
	opt Options
	mu  sync.Mutex
	rnd *rand.Rand

	hosts     []*Host
	seq       int
	slow      time.Duration // that calls to discovery take
	crowd     float64       // share of them that wait and are turned away
	named     int
	watch     map[chan []byte]*Discovery
	muted     map[chan []byte]bool
	tried     map[string]bool // clients' tries that came
	ran       map[string]int
	counts    Counts
	faults    Faults
	closed    bool
	done      chan struct{} // closed at the end
	wg        sync.WaitGroup
	discs     []*Discovery // the first is that of the start
	down      bool         // they refuse all calls
	disturbed time.Time    // when watches were last made to fail or to fall silent
}

// Host is one database.
type Host struct {
	w       *World
	ID      string
	Group   int
	Site    string       // its zone
	ln      net.Listener // nil: it listens nowhere
	primary bool
	health  string
	told    time.Time // when it was to get nothing new
	born    time.Time // zero: long ago
	lag     time.Duration
	applied time.Time // never goes back
	slots   chan struct{}
	waiting int
	paused  chan struct{}          // closed when it goes on; nil: it runs
	conns   map[net.Conn]time.Time // since when
	begun   int                    // statements that came, whatever became of them
	recent  []time.Time            // those of the last fallTime, while it is cold
	fell    bool
	dial    string // where discovery says it is; empty: where it is

	script         func(c net.Conn, text string)
	statements     []string      // that came while a script was set
	shut, hung     bool          // it turns all connections away; it answers nothing
	late           time.Duration // by which its greeting comes
	dials, hangups int
}

// New starts a world.
func New(opt Options) (*World, error) {
	w := &World{opt: opt, rnd: rand.New(rand.NewPCG(opt.Seed, 0x73746e64)), watch: map[chan []byte]*Discovery{}, muted: map[chan []byte]bool{}, tried: map[string]bool{}, ran: map[string]int{}, seq: max(1, opt.ListVersion), done: make(chan struct{})}
	for g := range opt.Groups {
		for m := range opt.Members {
			if opt.MaxDatabases > 0 && len(w.hosts) == opt.MaxDatabases {
				break
			}
			if _, err := w.add(opt.FirstGroup+g, m == 0, time.Time{}); err != nil {
				w.Close()
				return nil, err
			}
		}
	}
	for m := range opt.LastGroupMembers {
		if _, err := w.add(opt.FirstGroup+opt.Groups, m == 0, time.Time{}); err != nil {
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

// add starts a database.
func (w *World) add(group int, primary bool, born time.Time) (*Host, error) {
	var ln net.Listener
	if !w.opt.NoListeners {
		var err error
		if ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return nil, fmt.Errorf("stand-in: %w", err)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	id := fmt.Sprintf("s-%04x", w.named+1)
	if w.named < len(w.opt.Names) {
		id = w.opt.Names[w.named]
	}
	site := "a"
	if w.named < len(w.opt.Sites) {
		site = w.opt.Sites[w.named]
	}
	w.named++
	h := &Host{
		w: w, ID: id, Group: group, Site: site, ln: ln, primary: primary, health: "in_service", born: born, lag: w.opt.Lag,
		slots: make(chan struct{}, w.opt.Cores), conns: map[net.Conn]time.Time{},
	}
	w.hosts = append(w.hosts, h)
	if ln == nil {
		h.dial = unheard
		return h, nil
	}
	w.wg.Add(1)
	go h.accept()
	return h, nil
}

// Discovery is where the list is asked for.
func (w *World) Discovery() *Discovery { return w.discs[0] }

// Counts are what has happened so far.
func (w *World) Counts() Counts {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.counts
	c.StaleIDs, c.TwiceIDs = slices.Clone(c.StaleIDs), slices.Clone(c.TwiceIDs)
	return c
}

// SetFaults has answers go wrong from now on.
func (w *World) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// draw tells whether something of this probability happens.
func (w *World) draw(p float64) bool { return p > 0 && w.rnd.Float64() < p }

// some are a share of the databases in service, those of one group never all.
func (w *World) some(part float64) (list []*Host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []*Host
	for _, h := range w.hosts {
		if h.health == "in_service" {
			all = append(all, h)
		}
	}
	for _, i := range w.rnd.Perm(len(all)) {
		if len(list) < int(part*float64(len(all))+0.5) {
			list = append(list, all[i])
		}
	}
	return list
}

// SetLag has a share of the replicas fall behind.
func (w *World) SetLag(part float64, lag time.Duration) {
	for _, h := range w.some(part) {
		w.mu.Lock()
		h.lag = max(lag, w.opt.Lag)
		w.mu.Unlock()
	}
}

// Pause has a share of the databases stand still, their connections open, until the function is called.
func (w *World) Pause(part float64) (resume func()) {
	list := w.some(part)
	on := make(chan struct{})
	w.mu.Lock()
	for _, h := range list {
		h.paused = on
	}
	w.mu.Unlock()
	return func() {
		w.mu.Lock()
		for _, h := range list {
			if h.paused == on {
				h.paused = nil
			}
		}
		w.mu.Unlock()
		close(on)
	}
}

// WithholdChanges has the watches that are on now hear of no change any more, though they are not silent: a list that
// stays old without a sign. Who asks again is told all.
func (w *World) WithholdChanges() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.watch)
}

// AddReplica adds a replica to a group.
func (w *World) AddReplica(group int) error {
	h, err := w.add(group, false, time.Now())
	if err == nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.tell(h)
	}
	return err
}

// Replace drains one database, hands its part as primary over, starts another in its place and takes it off the list.
// It is the step of a rolling deploy; stop ends it early.
func (w *World) Replace(h *Host, drain time.Duration, stop <-chan struct{}) error {
	w.mu.Lock()
	h.health, h.told = "terminating", time.Now()
	w.tell(h)
	w.mu.Unlock()
	if !Sleep(drain/4, stop) {
		return nil
	}
	w.handOver(h)
	next, err := w.add(h.Group, false, time.Now())
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.tell(next)
	w.mu.Unlock()
	if !Sleep(drain*3/4, stop) {
		return nil
	}
	w.mu.Lock()
	h.health = "terminated"
	w.tell(h)
	w.hosts = slices.DeleteFunc(w.hosts, func(o *Host) bool { return o == h })
	w.mu.Unlock()
	h.close()
	return nil
}

// ChangePrimary has a group's primary hand over to a replica, and discovery tell so. False: the group has no other member.
func (w *World) ChangePrimary(group int) bool {
	for _, h := range w.Members() {
		w.mu.Lock()
		primary := h.primary
		w.mu.Unlock()
		if h.Group == group && primary {
			before := w.ListVersion()
			w.handOver(h)
			return w.ListVersion() != before
		}
	}
	return false
}

// handOver makes the replica that has most of the log the primary in h's place.
func (w *World) handOver(h *Host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !h.primary {
		return
	}
	var best *Host
	for _, o := range w.hosts {
		if o != h && o.Group == h.Group && o.health == "in_service" && (best == nil || o.lag < best.lag) {
			best = o
		}
	}
	if best == nil {
		return
	}
	h.primary, best.primary = false, true
	w.tell(best)
}

// Members are the databases now.
func (w *World) Members() []*Host {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.hosts)
}

// Close ends the world; every connection is closed and every goroutine has ended when it returns.
func (w *World) Close() {
	w.mu.Lock()
	if !w.closed {
		close(w.done)
	}
	w.closed = true
	hosts := slices.Clone(w.hosts)
	w.mu.Unlock()
	for _, h := range hosts {
		h.close()
	}
	for _, d := range w.discs {
		d.close()
	}
	w.wg.Wait()
}

// count notes how many connections stood together at a moment. It is called a while after that, when those that had
// been closed by then are out of the books.
func (h *Host) count(at time.Time) {
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	n := 0
	for _, since := range h.conns {
		if !since.After(at) {
			n++
		}
	}
	h.w.counts.MostOpen = max(h.w.counts.MostOpen, n)
}

// bears notes a statement that has come to a database that may still be cold. One that gets more in fallTime than fallMore
// times what it can do by then, and a little, would fall.
func (h *Host) bears(now time.Time) {
	warm := h.warmth(now)
	if warm >= 1 {
		h.recent = nil
		return
	}
	h.recent = append(h.recent, now)
	for now.Sub(h.recent[0]) >= fallTime {
		h.recent = h.recent[1:]
	}
	w := h.w
	n := fallMore * warm * float64(w.opt.Cores) * float64(fallTime) / float64(w.opt.Service)
	most := n + 2*math.Sqrt(n) + 2 // what is beyond the budget is chance
	w.counts.MostCold = max(w.counts.MostCold, float64(len(h.recent))/most)
	if !h.fell && float64(len(h.recent)) > most {
		h.fell = true
		w.counts.Fell++
	}
}

// warmth is the share of its speed that a database has.
func (h *Host) warmth(now time.Time) float64 {
	if age := now.Sub(h.born); !h.born.IsZero() && age < h.w.opt.SlowStart {
		return StartCapacity + (1-StartCapacity)*float64(age)/float64(h.w.opt.SlowStart)
	}
	return 1
}

// IsCold tells whether the database has not reached its full speed since it started.
func (h *Host) IsCold() bool {
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	return h.warmth(time.Now()) < 1
}

// StatementCount is how many statements of clients have come to the database.
func (h *Host) StatementCount() int {
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	return h.begun
}

func (h *Host) close() {
	if h.ln != nil {
		h.ln.Close()
	}
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
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
