package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lilaccove/internal/alarm"
	"lilaccove/internal/repeats"
)

const (
	breakerThreshold = 5                       // consecutive primary failures that open a breaker
	probeShare       = 0.05                    // probes of members in turn, as a share of requests
	probeSoon        = 200 * time.Millisecond  // between probes of a member that is in doubt
	askPace          = 100 * time.Millisecond  // between two calls to discovery, of all routers together
	askMost          = 2500 * time.Millisecond // of waiting for such a call: what is told binds, heard or not
	callMost         = 2500 * time.Millisecond // without an answer; discovery gives up on a call well before
	agentPart        = 4                       // of a drain's grace, in which an agent has to answer
	agentLeast       = 20 * time.Millisecond   // for an answer from this machine, however short that grace is
	crowdMost        = 4                       // calls in a row lost to a crowd, before they get rarer
	probePace        = 25 * time.Millisecond   // between probes of a mute primary, of all routers together
	fewRouters       = 8                       // so few hear of each host often, and may start at once
	markAge          = time.Minute
	coldPart         = 0.45  // of FallMultiple that the budget of a cold host grows by, see coldRoom
	coldMore         = 0.6   // what that may rise by as hosts warm up and answer in good time
	coldRouters      = 400   // so many see a cold host too rarely to spend what comes in a FallTime
	smooth           = 0.1   // weight of a new observation of a host
	equalCost        = 1.5   // members within this factor count as equals
	strained         = 0.33  // mean answer time, as a share of the aim, at which a host gets less
	easy             = 0.05  // and under which it is short of nothing
	admitMore        = 1.1   // factors of the admitted share after an answer in good time,
	admitLate        = 0.88  // a late one or none,
	admitFull        = 0.6   // and a rejection
	admitDrift       = 0.005 // what each request adds to it
	admitLeast       = 0.05
	lostProbes       = 0.4 // share from which on probes tell nothing of a host
	often            = 150 * time.Millisecond
	seldom           = 2 * time.Second // between outcomes of a host: too rare to learn its limit
	long             = time.Duration(math.MaxInt64)
)

// host is what the router knows of one member.
type host struct {
	id        HostID
	group     *group
	zone      int
	status    Status
	drained   bool          // a list entry called it Draining since it last was Healthy
	toldAt    time.Duration // when the list first said Draining or Gone
	startedAt time.Duration // by the databases' clock
	budget    float64       // while cold: work that may be sent, in answers of the shortest class
	budgetAt  time.Duration // when budget was last added to
	roleAt    time.Duration // when what is known of its role was true; negative: nothing is
	pos       time.Duration // all commits up to here are applied; only rises; 0: unknown
	lag       time.Duration // how far behind it was when pos was last heard of, as told
	out       []*attempt    // oldest first
	slow      float64       // its answer times against all hosts' for the same classes; 0: none yet
	limit     float64       // attempts it is given at once
	strain    float64       // its answer times as a share of the aims
	fails     int           // in a row
	upAt      time.Duration // when it last passed a probe that told no role
	gap       time.Duration // mean time between its outcomes

	probedAt, judgedAt, sentAt time.Duration
	probing, bounded, first    bool // first: used first among equals
	most                       int  // attempts that may be out to it at once, where bounded
}

// group is one primary with its replicas, and the breaker on that primary.
type group struct {
	hosts          []*host
	primary        *host // nil: unknown
	lostAt         time.Duration
	fails          int
	openedAt       time.Duration
	trips          int // of the breaker on this primary without a success between
	waiting        []*request
	doubtAt        time.Duration // when its primary came into doubt
	open, seeking  bool
	retrying       bool // its waiting requests are tried again at the end of the step
	noFreshReplica bool // a read has found none
}

type attempt struct {
	q                 *request
	h                 *host
	sentAt, away      time.Duration // away: of the router by then
	overdue, resolved bool          // overdue: counted as a failure already
}

type request struct {
	Request
	class          *Class
	g              *group
	useful         time.Duration // after this an answer earns nothing
	attempts       []*attempt
	out            int
	mayRun         bool          // some attempt may have had its effect
	mayRunAt       time.Duration // when the first such was sent
	positionsUntil time.Duration // it waits so long for fresher positions

	waitUntil, arrived, deadline  time.Duration
	missed, waiting, done, failed bool // failed: some attempt was
}

// Router decides for one router process. It is not safe for concurrent use.
type Router struct {
	set           Settings
	rnd           *rand.Rand
	now           time.Duration
	actions       []Action
	hosts         map[HostID]*host
	order         []*host // by first sight
	groups        map[GroupID]*group
	requests      map[RequestID]*request
	marks         map[SessionID]time.Duration // newest commit acknowledged to a session here
	base          time.Duration               // marks up to here were forgotten
	wakes         alarm.Queue
	repeats       repeats.Budget
	retryGroups   []*group // whose waiting requests are tried again at the end of the step
	seq           uint64
	timerAt       time.Duration    // earliest timer asked for; long if none
	bound         time.Duration    // the tightest of a Recent class
	probes, lost  float64          // probes in hand; share of them lost, of hosts without a failed request
	turn          int              // of the probes in turn
	latency       []float64        // by class, of answers, in seconds
	admit         map[bool]float64 // share of requests sent at all; true: to primaries
	used          map[*group]bool  // those that requests asked for
	out           map[HostID]bool  // left out by the operators
	served        float64          // work answered since then: by a warm host, in the mean of those
	asked         float64          // work asked for since then, in the mean for a member of a group
	ease          float64          // 0 to 1: how far cold hosts, all together, answer in good time
	easeAt, since time.Duration
	begunAt       time.Duration // the first Step; negative: there was none
	compared      bool          // a list has been told since then
	fenced        bool          // no writes are taken
	held          bool          // what operators said before is not known yet
	crowded       int           // calls in a row that discovery had no time for
	away, missed  time.Duration // in which this process was not there to see what came: all in all, and now
	clock         databaseClock
	mute          bool // the last probe that came back told no role, only that a process runs
}

// New makes the router of one process. The seed drives its random choices.
func New(set Settings, seed int64) (*Router, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	r := &Router{
		set: set, rnd: rand.New(rand.NewPCG(uint64(seed), uint64(len(set.Classes)))),
		hosts: map[HostID]*host{}, groups: map[GroupID]*group{}, requests: map[RequestID]*request{},
		marks: map[SessionID]time.Duration{}, used: map[*group]bool{}, out: map[HostID]bool{},
		timerAt: long, bound: long, begunAt: -1, admit: map[bool]float64{false: 1, true: 1},
	}
	r.wakeAt(0, func() {
		r.since = r.now
		r.forget()
		r.askForList(set.Routers - fewRouters)
	})
	for _, c := range set.Classes {
		r.latency = append(r.latency, c.Aim.Seconds()/5)
		if c.Level == Recent {
			r.bound = min(r.bound, c.Bound)
		}
	}
	return r, nil
}

// Step takes what has happened by now and returns what to do about it. Events of one call are of one moment;
// the slice returned is good until the next call.
func (r *Router) Step(now time.Duration, events []Event) []Action {
	r.now, r.actions, r.missed = max(now, r.now), r.actions[:0], 0
	if r.timerAt <= r.now {
		r.timerAt = long
	}
	if r.begunAt < 0 {
		r.begunAt = r.now
	}
	for _, e := range events {
		switch e := e.(type) {
		case ListUpdate:
			r.onMembers(e)
		case Request:
			r.onRequest(e)
		case Result:
			r.onResult(e)
		case ProbeResult:
			r.onProbed(e)
		case SuspensionChanged:
			r.onSuspended(e)
		case RequestAbandoned:
			if q := r.requests[e.Request]; q != nil {
				r.finish(q)
			}
		default:
			r.onFleet(e)
		}
	}
	r.wakes.Run(r.now)
	for ; len(r.retryGroups) > 0; r.retryGroups = r.retryGroups[1:] {
		g := r.retryGroups[0]
		list := g.waiting
		g.retrying, g.waiting = false, nil
		for _, q := range list {
			r.onWake(q)
		}
	}
	if at := r.wakes.Next(); at < r.timerAt {
		r.timerAt, r.seq = at, r.seq+1
		r.emit(SetTimer{After: max(0, r.timerAt-r.now), ID: r.seq})
	}
	return r.actions
}

func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }

func (r *Router) wakeAt(at time.Duration, do func()) { r.wakes.Add(at, do) }

// retryWaiting has the waiting requests of g tried again at the end of the step.
func (r *Router) retryWaiting(g *group) {
	if !g.retrying && len(g.waiting) > 0 {
		g.retrying = true
		r.retryGroups = append(r.retryGroups, g)
	}
}

// retryAll has the waiting requests of all groups tried again at the end of the step.
func (r *Router) retryAll() {
	for _, g := range r.groups {
		r.retryWaiting(g)
	}
}

// forget halves served and its time, drops hosts that left, and marks that replicas are past, or base is.
func (r *Router) forget() {
	r.wakeAt(r.now+markAge, r.forget)
	r.served, r.asked, r.since = r.served/2, r.asked/2, r.now-(r.now-r.since)/2
	r.order = slices.DeleteFunc(r.order, func(h *host) bool {
		g, drop := h.group, r.left(h) && len(h.out) == 0 && h != h.group.primary
		if drop {
			delete(r.hosts, h.id)
			g.hosts = slices.DeleteFunc(g.hosts, func(o *host) bool { return o == h })
		}
		return drop
	})
	for s, commit := range r.marks {
		if commit < r.databaseTime()-markAge {
			r.base = max(r.base, commit)
			delete(r.marks, s)
		}
	}
}

// jitter spreads d, so that routers do not act in step.
func (r *Router) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(r.rnd.Int64N(int64(d)/2+1))
}
