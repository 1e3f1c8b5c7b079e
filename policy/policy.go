package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lilaccove/internal/alarm"
	"lilaccove/internal/retrybudget"
)

const (
	breakerThreshold     = 5                      // consecutive primary failures that open the breaker
	probeShare           = 0.05                   // probes of members in turn, per request
	suspectProbeInterval = 200 * time.Millisecond // between probes during a primary search

	listCallInterval    = 100 * time.Millisecond  // between two calls to discovery by the whole fleet
	maxListCallDelay    = 2500 * time.Millisecond // changes bind once published, whether received or not
	maxListCallTime     = 2500 * time.Millisecond // longer than discovery's own timeout
	agentTimeoutDivisor = 4                       // the agent's timeout is this part of the drain grace
	minAgentTimeout     = 20 * time.Millisecond   // enough for an answer from this machine
	maxQueueTimeouts    = 4                       // consecutive queueTimeouts before calls back off
	fleetProbeInterval  = 25 * time.Millisecond   // between a fleet's probes of a primary if they lack roles

	// Up to this size each router often gets results of each host, and all may call discovery at once.
	smallFleetSize      = 8
	stateExpiryInterval = time.Minute

	coldGrowthShare = 0.45 // of OverloadFactor, by which a cold host's budget grows, see takeColdBudget
	coldGrowthBonus = 0.6  // what is added to that as hosts warm up and answer in time
	// In a fleet of this size each router sends to a cold host so rarely that it may save up the budget of a
	// whole OverloadWindow.
	coldBurstRouters = 400

	smoothingWeight     = 0.1   // of a new observation of a host
	equalCostFactor     = 1.5   // members within this factor of the lowest cost count as equals
	highStrain          = 0.33  // mean answer time, as a share of the aim, above which a host's limit shrinks
	lowStrain           = 0.05  // below it, a host has capacity to spare
	admitIncreaseFactor = 1.1   // the admitted share is multiplied by this after an answer in time,
	admitLateFactor     = 0.88  // by this after a late or missing one,
	admitRejectedFactor = 0.6   // and by this after a rejection
	admitDrift          = 0.005 // added to the admitted share by each request
	minAdmitShare       = 0.05
	maxProbeLoss        = 0.4 // share of lost probes above which probes are unreliable

	frequentResultInterval = 150 * time.Millisecond
	rareResultInterval     = 2 * time.Second // between results of a host: too rare to learn its limit
	maxDuration            = time.Duration(math.MaxInt64)
)

// host is what the router knows of one member.
type host struct {
	id             HostID
	group          *group
	zone           int
	status         Status
	wasDraining    bool          // the list has called it Draining since it last was Healthy
	unhealthyAt    time.Duration // when the list first said Draining or Gone
	startedAt      time.Duration // on the databases' clock
	coldBudget     float64       // while cold: work that may be sent, in answers of the shortest class
	coldBudgetAt   time.Duration // when coldBudget was last added to
	roleAt         time.Duration // the time for which its role is known; negative: unknown
	position       time.Duration // all commits up to here are applied; only rises; 0: unknown
	lag            time.Duration // behind the databases' clock when its position was last reported
	outstanding    []*attempt    // oldest first
	latencyRatio   float64       // its answer times relative to all hosts' for the same classes; 0: unknown
	limit          float64       // concurrent attempts, as learned from answer times
	strain         float64       // its answer times as a share of the aims
	failures       int           // consecutive
	aliveAt        time.Duration // when it last passed a probe that reported no role
	resultInterval time.Duration // mean time between its results

	probedAt, resultAt, sentAt         time.Duration
	probing, hasMaxAttempts, preferred bool // preferred: used first among equals
	maxAttempts                        int  // concurrent attempts allowed by the fleet, if hasMaxAttempts
}

// group is one primary with its replicas, and the breaker of that primary.
type group struct {
	hosts                  []*host
	primary                *host // nil: unknown
	primaryLostAt          time.Duration
	failures               int
	breakerOpenedAt        time.Duration
	breakerTrips           int // openings of the breaker on this primary since its last success
	waiting                []*request
	searchStartedAt        time.Duration // of the last primary search
	breakerOpen, searching bool
	retryScheduled         bool // its waiting requests are routed again at the end of the step
	noFreshReplica         bool // a read has found none
}

type attempt struct {
	req                 *request
	host                *host
	sentAt, pausedTotal time.Duration // pausedTotal: the router's at the time of sending
	overdue, resolved   bool          // overdue: already counted as a failure
}

type request struct {
	Request
	class           *Class
	group           *group
	usefulUntil     time.Duration // an answer after this is worth nothing
	attempts        []*attempt
	outstanding     int
	mayHaveRun      bool          // some attempt may have had its effect
	mayHaveRunSince time.Duration // when the first of these was sent
	positionsUntil  time.Duration // how long it waits for newer positions

	waitUntil, arrivedAt, deadline time.Duration
	missed, waiting, done, failed  bool // failed: some attempt has failed
}

// Router makes the decisions of one router process. It is not safe for concurrent use.
type Router struct {
	settings                 Settings
	random                   *rand.Rand
	now                      time.Duration
	actions                  []Action
	hosts                    map[HostID]*host
	hostOrder                []*host // in the order in which they were first listed
	groups                   map[GroupID]*group
	requests                 map[RequestID]*request
	sessionCommits           map[SessionID]time.Duration // newest commit acknowledged to each session here
	forgottenCommit          time.Duration               // entries of sessionCommits up to here were dropped
	alarms                   alarm.Queue
	retryBudget              retrybudget.Budget
	retryGroups              []*group // whose waiting requests are routed again at the end of the step
	timerID                  uint64
	timerAt                  time.Duration    // earliest pending timer; maxDuration if none
	tightestBound            time.Duration    // the tightest staleness bound of a Recent class
	probeCredit, probeLoss   float64          // probes due; share lost, of hosts without a failed request
	probeTurn                int              // counts the probes of members in turn
	meanLatency              []float64        // of answers, by class, in seconds
	admitShare               map[bool]float64 // share of requests admitted; true: to primaries
	usedGroups               map[*group]bool  // groups that requests were for
	suspended                map[HostID]bool  // by operator overrides
	servedWork               float64          // since workSince: the mean answered by a warm host
	offeredWork              float64          // since workSince: the mean requested per member of a group
	coldHealth               float64          // 0 to 1: how well all cold hosts together answer in time
	coldHealthAt, workSince  time.Duration
	startedAt                time.Duration // the first Step; negative: none yet
	listReceived             bool          // a list other than ListCached was received since the start
	fenced                   bool          // writes are refused
	overridesPending         bool          // earlier operator overrides are not loaded yet
	queueTimeouts            int           // consecutive calls that timed out in discovery's queue
	pausedTotal, recentPause time.Duration // process pauses: in total, and those before this step
	clock                    databaseClock
	probesLackRole           bool // the last successful probe reported no role, only that a process runs
}

// New returns the router of one process. The seed determines its random choices.
func New(settings Settings, seed int64) (*Router, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	r := &Router{
		settings: settings, random: rand.New(rand.NewPCG(uint64(seed), uint64(len(settings.Classes)))),
		hosts: map[HostID]*host{}, groups: map[GroupID]*group{}, requests: map[RequestID]*request{},
		sessionCommits: map[SessionID]time.Duration{}, usedGroups: map[*group]bool{},
		suspended: map[HostID]bool{},
		timerAt:   maxDuration, tightestBound: maxDuration, startedAt: -1,
		admitShare: map[bool]float64{false: 1, true: 1},
	}
	r.wakeAt(0, func() {
		r.workSince = r.now
		r.expireState()
		r.requestList(settings.Routers - smallFleetSize)
	})
	for _, c := range settings.Classes {
		r.meanLatency = append(r.meanLatency, c.Aim.Seconds()/5)
		if c.Level == Recent {
			r.tightestBound = min(r.tightestBound, c.Bound)
		}
	}
	return r, nil
}

// Step applies the events that have arrived by now and returns the resulting actions. The events of one call
// count as simultaneous. The returned slice is valid until the next call.
func (r *Router) Step(now time.Duration, events []Event) []Action {
	r.now, r.actions, r.recentPause = max(now, r.now), r.actions[:0], 0
	if r.timerAt <= r.now {
		r.timerAt = maxDuration
	}
	if r.startedAt < 0 {
		r.startedAt = r.now
	}
	for _, e := range events {
		switch e := e.(type) {
		case ListUpdate:
			r.onListUpdate(e)
		case Request:
			r.onRequest(e)
		case Result:
			r.onResult(e)
		case SessionCommitted:
			r.onSessionCommitted(e)
		case ProbeResult:
			r.onProbeResult(e)
		case SuspensionChanged:
			r.onSuspensionChanged(e)
		case RequestAbandoned:
			if req := r.requests[e.Request]; req != nil {
				r.finish(req)
			}
		default:
			r.onFleetEvent(e)
		}
	}
	r.alarms.Run(r.now)
	for ; len(r.retryGroups) > 0; r.retryGroups = r.retryGroups[1:] {
		g := r.retryGroups[0]
		waiting := g.waiting
		g.retryScheduled, g.waiting = false, nil
		for _, req := range waiting {
			r.onWake(req)
		}
	}
	if next := r.alarms.Next(); next < r.timerAt {
		r.timerAt, r.timerID = next, r.timerID+1
		r.emit(SetTimer{After: max(0, r.timerAt-r.now), ID: r.timerID})
	}
	return r.actions
}

func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }

func (r *Router) wakeAt(at time.Duration, do func()) { r.alarms.Add(at, do) }

// retryWaiting schedules the waiting requests of g to be routed again at the end of the step.
func (r *Router) retryWaiting(g *group) {
	if !g.retryScheduled && len(g.waiting) > 0 {
		g.retryScheduled = true
		r.retryGroups = append(r.retryGroups, g)
	}
}

// retryAll schedules the waiting requests of all groups to be routed again at the end of the step.
func (r *Router) retryAll() {
	for _, g := range r.groups {
		r.retryWaiting(g)
	}
}

// expireState runs every stateExpiryInterval. It halves the measured work and the time that it covers, drops
// hosts that have left, and replaces session commits older than the interval by forgottenCommit.
func (r *Router) expireState() {
	r.wakeAt(r.now+stateExpiryInterval, r.expireState)
	r.servedWork, r.offeredWork, r.workSince = r.servedWork/2, r.offeredWork/2, r.now-(r.now-r.workSince)/2
	r.hostOrder = slices.DeleteFunc(r.hostOrder, func(h *host) bool {
		g, expired := h.group, r.hasLeft(h) && len(h.outstanding) == 0 && h != h.group.primary
		if expired {
			delete(r.hosts, h.id)
			g.hosts = slices.DeleteFunc(g.hosts, func(o *host) bool { return o == h })
		}
		return expired
	})
	for session, commit := range r.sessionCommits {
		if commit < r.databaseTime()-stateExpiryInterval {
			r.forgottenCommit = max(r.forgottenCommit, commit)
			delete(r.sessionCommits, session)
		}
	}
}

// jitter returns a random duration between 3/4 and 5/4 of d, so that routers do not act at the same time.
func (r *Router) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(r.random.Int64N(int64(d)/2+1))
}
