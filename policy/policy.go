package policy

import (
	"cmp"
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
	startedAt time.Duration
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
	hosts                        []*host
	primary                      *host // nil: unknown
	lostAt                       time.Duration
	fails                        int
	openedAt                     time.Duration
	trips                        int // of the breaker on this primary without a success between
	waiting                      []*request
	doubtAt                      time.Duration // when its primary came into doubt
	open, stirred, seeking, dark bool          // stirred: one waits that may go; dark: no fresh one found
}

type attempt struct {
	q                 *request
	h                 *host
	sentAt, away      time.Duration // away: of the router by then
	overdue, resolved bool          // overdue: counted as a failure already
}

type request struct {
	Request
	class     *Class
	g         *group
	useful    time.Duration // after this an answer earns nothing
	attempts  []*attempt
	out       int
	mayRun    bool          // some attempt may have had its effect
	mayRunAt  time.Duration // when the first such was sent
	lookUntil time.Duration // it waits so long for fresher positions

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
	repeats       repeats.Bound
	stirred       []*group
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
	fenced        bool          // no writes are taken
	crowded       int           // calls in a row that discovery had no time for
	away, missed  time.Duration // in which this process was not there to see what came: all in all, and now
	mute          bool          // the last probe that came back told no role, only that a process runs
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
		timerAt: long, bound: long, admit: map[bool]float64{false: 1, true: 1},
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
	for _, e := range events {
		switch e := e.(type) {
		case Members:
			r.onMembers(e)
		case Request:
			r.onRequest(e)
		case Result:
			r.onResult(e)
		case Probed:
			r.onProbed(e)
		case Suspended:
			r.onSuspended(e)
		case Lapsed:
			if q := r.requests[e.Request]; q != nil {
				r.finish(q)
			}
		default:
			r.onFleet(e)
		}
	}
	r.wakes.Run(r.now)
	for ; len(r.stirred) > 0; r.stirred = r.stirred[1:] {
		g := r.stirred[0]
		list := g.waiting
		g.stirred, g.waiting = false, nil
		for _, q := range list {
			r.onWake(q)
		}
	}
	if at := r.wakes.Next(); at < r.timerAt {
		r.timerAt, r.seq = at, r.seq+1
		r.do(Timer{After: max(0, r.timerAt-r.now), Timer: r.seq})
	}
	return r.actions
}

func (r *Router) do(a Action) { r.actions = append(r.actions, a) }

func (r *Router) wakeAt(at time.Duration, do func()) { r.wakes.Add(at, do) }

// stir has the waiting requests of g tried again at the end of the step.
func (r *Router) stir(g *group) {
	if !g.stirred && len(g.waiting) > 0 {
		g.stirred = true
		r.stirred = append(r.stirred, g)
	}
}

func (r *Router) onMembers(m Members) {
	if r.crowded++; m.Kind != ListCrowded {
		r.crowded = 0
	}
	if m.Kind == ListFailed || m.Kind == ListCrowded {
		r.askForList(max(r.set.Routers, fewRouters))
		return
	}
	listed := map[HostID]bool{}
	for _, e := range m.Entries {
		r.onMember(e)
		listed[e.Host] = true
	}
	for _, h := range r.order {
		if m.Kind != ListDelta && !listed[h.id] {
			r.setStatus(h, Gone)
		}
	}
}

// askForList asks at a random moment, lest all routers ask at once; later where a crowd has long kept it out.
func (r *Router) askForList(routers int) {
	most := min(askMost<<min(max(0, r.crowded-crowdMost), 8), max(askMost, 2*r.set.MustAskIn))
	span := min(askPace*time.Duration(max(0, routers)), most)
	if r.set.AskForList {
		r.wakeAt(r.now+time.Duration(r.rnd.Int64N(int64(span)+1)), func() { r.do(Subscribe{}) })
	}
}

func (r *Router) onMember(e Member) {
	h := r.hosts[e.Host]
	if h == nil {
		g := r.groups[e.Group]
		if g == nil {
			g = &group{lostAt: r.now}
			r.groups[e.Group] = g
		}
		h = &host{id: e.Host, group: g, roleAt: -1, judgedAt: r.now, gap: 2 * seldom, status: e.Status,
			first: e.Zone == r.set.Zone, sentAt: -time.Duration(r.rnd.Int64N(1 << 20)),
			toldAt: -r.set.DrainGrace} // one that drains may have done so for long
		r.anew(h, e.StartedAt)
		r.hosts[e.Host] = h
		r.order = append(r.order, h)
		g.hosts = append(g.hosts, h)
	}
	h.zone = e.Zone
	if e.StartedAt > h.startedAt {
		r.anew(h, e.StartedAt)
		r.learnRole(h, Replica, e.StartedAt)
	}
	r.setStatus(h, e.Status)
	// Whom the late list names has been primary. That counts while no other that may take work is known.
	if old := h.group.primary; e.Primary && r.set.ListRole != ListRoleNone &&
		(old == nil || !r.mayTake(old, true)) && h.roleAt < max(0, r.now-r.set.MustAskIn) {
		h.group.primary = nil
		r.learnRole(h, Primary, max(0, h.roleAt))
	}
	r.stir(h.group)
}

// anew begins to learn of a process of h: its log position stands; in a large fleet it begins as average.
func (r *Router) anew(h *host, startedAt time.Duration) {
	h.startedAt, h.strain, h.fails, h.budget, h.budgetAt = startedAt, 0, 0, 0, r.now
	h.limit, h.slow = 1+8/float64(max(r.set.Routers, 1)), float64(min(1, r.set.Routers/(fewRouters+1)))
}

// onSuspended keeps the operators' word, which the list does not change. Who is back is cold, in any role.
func (r *Router) onSuspended(e Suspended) {
	r.out[e.Host] = e.Out
	if e.Out {
		r.do(Withdraw{Host: e.Host})
	}
	if h := r.hosts[e.Host]; h != nil {
		r.learnRole(h, Replica, r.now)
		if r.anew(h, r.now); !e.Out {
			h.roleAt = -1
		}
		r.stir(h.group)
	}
}

// Skipped is how many listed hosts get nothing: left out by hand, draining, or primaries of open breakers.
func (r *Router) Skipped() (n int) {
	for _, h := range r.order {
		if h.status != Gone && (!r.mayTake(h, false) || h.group.open && h.group.primary == h) {
			n++
		}
	}
	return n
}

func (r *Router) setStatus(h *host, s Status) {
	if h.status == Healthy {
		h.toldAt = r.now - r.missed // it may have come while this process was away
	}
	h.drained = s == Draining || h.drained && s != Healthy
	h.status = s
}

// mayTake tells whether h may have new work. A primary that drains takes writes while it hands over.
func (r *Router) mayTake(h *host, write bool) bool {
	return !r.out[h.id] && (h.status == Healthy || h.status == Gone && r.set.GoneIsAdvice && !h.drained ||
		write && h.status == Draining && r.now-h.toldAt < r.set.DrainGrace/2)
}

// learnRole orders evidence by when it was true: what is told late does not unseat what is known to be newer.
func (r *Router) learnRole(h *host, role Role, at time.Duration) {
	if role == RoleUnknown || at < h.roleAt {
		return
	}
	g := h.group
	switch h.roleAt = at; {
	case role == Replica && g.primary == h:
		g.primary, g.lostAt = nil, r.now
		r.doubt(g)
	case role == Replica, g.primary != nil && g.primary != h && g.primary.roleAt > at:
		return
	case g.primary != h:
		g.primary, g.fails, g.trips = h, 0, 0
		r.stir(g)
	}
	held := r.now-g.openedAt < probeSoon<<min(g.trips, 5)-probeSoon
	if role == Primary && g.open && at > g.openedAt && !held {
		g.open, g.fails = false, 0
		r.stir(g)
	}
}

// learnPosition keeps positions rising: an old report stays a floor.
func (r *Router) learnPosition(h *host, pos time.Duration) {
	h.lag = r.now - pos
	if pos > h.pos {
		h.pos = pos
		r.stir(h.group)
	}
}

func (r *Router) onReport(h *host, rep Report) {
	if rep.HasPosition {
		r.learnPosition(h, rep.Position)
		// A primary stands at the present, which dates its report; a replica's is as new as its position.
		r.learnRole(h, rep.Role, rep.Position)
	}
}

// onFleet takes what the fleet tells. It bounds, orders or dates what this router may do by itself anyway.
func (r *Router) onFleet(e Event) {
	switch e := e.(type) {
	case Bounded:
		if h := r.hosts[e.Host]; h != nil {
			h.bounded, h.most = true, e.Most
			r.stir(h.group)
		}
	case Told:
		h := r.hosts[e.Host]
		switch {
		case h == nil || !r.mayTake(h, true) || e.At < h.roleAt:
		case !h.group.open:
			r.learnRole(h, Primary, min(e.At, r.now))
		case h.group.primary == nil || e.At > h.group.primary.roleAt:
			h.group.primary = h // only its own answer closes the breaker
			r.probe(h)
		}
	case Fenced:
		r.fenced = e.Out
	case Repeats:
		r.repeats = repeats.New(e.Share)
	case Away:
		r.away, r.missed = e.Lost, e.Lost-r.away
	case Preferred:
		for _, h := range r.order {
			h.first = slices.Contains(e.Hosts, h.id) || len(e.Hosts) == 0 && h.zone == r.set.Zone
		}
	case Heard:
		if h := r.hosts[e.Host]; h != nil && e.Position > h.pos {
			r.learnPosition(h, min(e.Position, r.now))
		}
	}
}

// warmth is the share of its capacity that h can be counted on to have.
func (r *Router) warmth(h *host) float64 {
	if h.startedAt <= 0 || min(r.set.ColdTime, r.set.FallTime) <= 0 || r.set.FallMultiple <= 0 {
		return 1
	}
	age := float64(r.now-h.startedAt) / float64(r.set.ColdTime)
	return min(1, r.set.StartCapacity+(1-r.set.StartCapacity)*max(0, age))
}

// work is that of a request of class, in answers of the shortest: a jam of all classes makes none dearer.
func (r *Router) work(class int) float64 { return r.latency[class] / slices.Min(r.latency) }

// coldRoom keeps a cold host h from being pushed over: in any FallTime all routers together send it less than
// FallMultiple times what it can do, as bounded by served and asked. A request draws, and pays won or lost.
func (r *Router) coldRoom(h *host, q *request) bool {
	w := r.warmth(h)
	if w >= 1 || r.heavy(q) {
		return w >= 1
	}
	part := coldPart + coldMore*r.ease*(w-r.set.StartCapacity)/(1-r.set.StartCapacity)
	rate := max(r.served, r.asked/4) / (r.now - r.since + r.set.FallTime).Seconds()
	grow := part * r.set.FallMultiple * w * rate
	most := grow * r.set.FallTime.Seconds() * max(0.25, float64(r.set.Routers)/coldRouters) // for a burst
	budget := min(most, h.budget+grow*(r.now-h.budgetAt).Seconds())
	pay := min(budget, r.work(q.Class))
	h.budget, h.budgetAt = budget-pay, r.now
	return r.rnd.Float64()*r.work(q.Class) < pay
}

// countFailure counts a failure of the primary; a success resets the count. When a breaker opens again with
// no success between, probes, which a primary that loses answers passes, close it after a doubling hold.
func (r *Router) countFailure(h *host) {
	if g := h.group; g.primary == h && !g.open {
		if g.fails++; g.fails >= breakerThreshold {
			g.open, g.openedAt, g.trips = true, r.now, g.trips+1
			r.do(Log{Text: "breaker opens on " + string(h.id)})
			r.stir(g)
		}
		r.doubt(g)
	}
}

func (r *Router) onRequest(e Request) {
	if r.requests[e.ID] != nil || e.Class < 0 || e.Class >= len(r.set.Classes) {
		return
	}
	c := &r.set.Classes[e.Class]
	q := &request{Request: e, class: c, g: r.groups[e.Group], arrived: r.now, deadline: r.now + e.Budget}
	q.useful = q.deadline
	if c.LateWorth <= 0 {
		q.useful = min(q.deadline, r.now+c.Aim)
	}
	r.requests[e.ID] = q
	if q.g == nil {
		r.giveUp(q)
		return
	}
	r.used[q.g] = true
	r.asked += r.work(q.Class) / float64(max(1, len(q.g.hosts))*len(r.used))
	r.wakeAt(q.deadline-r.set.Tick, func() { r.onWake(q) })
	r.probeInTurn(q.g)
	r.route(q)
}

// required is the position a member must have to serve q if sent now.
func (r *Router) required(q *request) time.Duration {
	switch {
	case q.class.Level == Recent:
		return max(1, r.now-q.class.Bound)
	case q.class.Level == Latest:
		return q.arrived
	case q.class.Level == OwnWrites && r.set.Remembered:
		return max(r.base, r.marks[q.Session])
	case q.class.Level == OwnWrites && q.TokenAge > 0:
		return q.arrived - q.TokenAge
	}
	return 0
}

// route takes q one step on: a send, a final answer, or a wait.
func (r *Router) route(q *request) {
	switch {
	case q.done || q.out > 0:
		return
	case !r.mayResend(q) || r.now >= q.useful || r.fenced && q.class.Level == Write:
		r.giveUp(q)
		return
	case r.mayTry(q):
		r.send(q, q.g.primary)
		return
	case q.onlyPrimary():
		r.routePrimary(q)
		return
	}
	if h := r.pickReplica(q); h != nil {
		switch {
		case r.admits(q, h):
			r.send(q, h)
		case q.g.open || r.admit[true] < 1 || r.heavy(q):
			r.giveUp(q)
		default: // replicas are crowded, by long reads perhaps, while primaries admit all
			r.routePrimary(q)
		}
		return
	}
	q.g.dark = q.g.dark || q.class.Level == Recent
	if r.set.Behind == BehindServe && q.lookUntil == 0 && r.look(q) {
		// Positions age faster than probes come: they are asked for before the primary is burdened.
		q.lookUntil = r.now + q.class.Aim/8
	}
	if r.now < q.lookUntil && !q.g.open {
		r.wait(q, q.lookUntil)
		return
	}
	r.routePrimary(q)
}

// mayTry: one request at a time goes to the primary of an open breaker that passed a probe since then.
func (r *Router) mayTry(q *request) bool {
	p, pause := q.g.primary, probeSoon<<min(max(q.g.trips, 1)-1, 5)
	if q.onlyPrimary() {
		pause *= 10
	}
	return q.g.open && p != nil && p.upAt > q.g.openedAt && r.now-p.sentAt >= pause &&
		r.mayTake(p, q.class.Level == Write) && !q.tried(p) && r.coldRoom(p, q)
}

// routePrimary sends q to the primary while the breaker is closed. While it is open writes and latest reads
// are refused at once; other reads wait for a fitting replica until the aim.
func (r *Router) routePrimary(q *request) {
	g, p := q.g, q.g.primary
	if g.open && r.blind() && r.now-g.openedAt >= 5*probeSoon {
		g.open, g.fails = false, breakerThreshold-1
	}
	switch first := r.onTheWay(q); {
	case first != nil:
		r.send(q, first)
	case g.open && q.onlyPrimary():
		r.doubt(g)
		r.giveUp(q)
	case g.open:
		r.wait(q, q.arrived+q.class.Aim)
	case p == nil || !r.mayTake(p, q.class.Level == Write):
		if h := r.leastKnown(q); h != nil {
			r.send(q, h)
		} else if q.missed || q.onlyPrimary() && r.now-g.lostAt > q.class.Aim {
			r.giveUp(q)
		} else {
			r.doubt(g)
			r.wait(q, q.arrived+q.class.Aim/2)
		}
	case p.strain < easy && r.now < q.arrived+q.class.Aim/8 && !r.room(p, q):
		r.wait(q, q.arrived+q.class.Aim/8) // a burst: p is short of nothing
	case !r.room(p, q) || !r.coldRoom(p, q) || !r.admits(q, p):
		r.giveUp(q) // held, it would take the room of newer ones and end late
	default:
		r.send(q, p)
	}
}

// onTheWay is a replica that a write calls at before it goes to the primary, or is refused: turned away it
// brings position and role, where probes tell neither. Few routers need that for want of a fresh one only.
func (r *Router) onTheWay(q *request) (best *host) {
	if q.class.Level != Write || len(q.attempts) > 0 || !r.mute || r.bound == long {
		return nil
	}
	fresh, few := false, r.set.Routers <= fewRouters
	for _, h := range q.g.hosts {
		switch {
		case few && (!q.g.dark || r.now-h.sentAt < 5*seldom):
		case h == q.g.primary || !r.mayTake(h, false) || h.fails > 0 && r.now-h.judgedAt < 2*seldom:
		case h.pos > r.now-r.bound/2:
			fresh = true
		case best == nil || h.sentAt < best.sentAt:
			best = h
		}
	}
	if best == nil || fresh && best.pos > 0 || !r.coldRoom(best, q) {
		return nil
	}
	return best
}

// leastKnown is the member whose role was heard of longest ago, where only a write, turned away, can tell it.
func (r *Router) leastKnown(q *request) (oldest *host) {
	if r.set.Probes && !r.mute || q.class.Level != Write {
		return nil
	}
	for _, h := range q.g.hosts {
		older := oldest == nil || h.roleAt < oldest.roleAt
		if older && r.mayTake(h, true) && !q.tried(h) && r.coldRoom(h, q) {
			oldest = h
		}
	}
	return oldest
}

// room tells whether h may have one more attempt. The limit follows answer times (see judge) and goes below
// one, as a pause between attempts. Classes worth less for their time leave room to others.
func (r *Router) room(h *host, q *request) bool {
	limit, primary := h.limit, h == h.group.primary
	if h.bounded && len(h.out) >= h.most {
		return false
	}
	if h.gap <= seldom || primary && r.set.Routers > fewRouters { // else the throttle sheds by rank
		limit /= r.rank(q.Class, primary)
	} else if primary && q.class.Level != Write {
		limit *= 0.7
	}
	if limit >= 1 {
		return float64(len(h.out)) < limit
	}
	if primary && h.limit < 0.9 && q.class.Level <= Recent && r.set.Routers > fewRouters {
		return false // a crowded primary is left to what needs it
	}
	pause := (1/limit - 1) * r.latency[q.Class] * min(h.slow, 4)
	return len(h.out) == 0 && (r.now-h.sentAt).Seconds() >= pause
}

// wait holds q until the group changes, or at until goes on or is given up.
func (r *Router) wait(q *request, until time.Duration) {
	until = min(until, q.useful, q.deadline-r.set.Tick)
	if len(q.attempts) == 0 { // a refusal that took half its time has cost the client more than it tells
		until = min(until, q.arrived+q.Budget/2-r.set.Tick)
	}
	if until <= r.now {
		r.giveUp(q)
		return
	}
	if !q.waiting {
		q.waiting = true
		q.g.waiting = append(q.g.waiting, q)
	}
	if until != q.waitUntil {
		q.waitUntil = until
		r.wakeAt(until, func() { r.onWake(q) })
	}
}

func (r *Router) onWake(q *request) {
	switch {
	case q.done:
	case r.now >= q.deadline-r.set.Tick:
		r.giveUp(q)
	case q.waiting:
		q.waiting = false
		r.route(q)
	}
}

// checkOverdue counts an attempt that outlived its aim while this process was there: its host has failed.
func (r *Router) checkOverdue(a *attempt) {
	switch left := a.sentAt + r.away - a.away + a.q.class.Aim - r.now; {
	case a.resolved:
	case left > 0:
		r.wakeAt(r.now+left, func() { r.checkOverdue(a) })
	default:
		a.overdue = true
		a.h.strain += smooth * a.h.weight(5) * (1 - a.h.strain)
		r.cutLimit(a.h)
		r.failed(a.h, true)
	}
}

// mayResend keeps the rule of repeats; a first attempt is always allowed.
func (r *Router) mayResend(q *request) bool {
	left := (r.set.MaxTries <= 0 || len(q.attempts) < r.set.MaxTries) && r.repeats.Left(q.failed)
	inWindow := q.class.Repeat != Fragile && r.now+r.set.Tick < q.mayRunAt+q.class.DedupWindow
	return left && (!q.mayRun && q.out == 0 || q.class.Repeat == Retryable || inWindow)
}

// giveUp gives the final answer at once: a refusal where trying again is harmless for certain, or a failure.
func (r *Router) giveUp(q *request) {
	var a Action = Fail{Request: q.ID}
	if q.class.Repeat == Retryable || q.class.Repeat == DedupAll || !q.mayRun && q.out == 0 {
		a = Refuse{Request: q.ID, RetryAfter: r.jitter(min(r.set.MaxRetryAfter*4/5, q.class.Deadline/4))}
	}
	r.do(a)
	r.finish(q)
}

// finish ends q here; copies still out are called off.
func (r *Router) finish(q *request) {
	for i, a := range q.attempts {
		if !q.done && !a.resolved && r.set.Cancels {
			r.do(Cancel{Request: q.ID, Attempt: i})
		}
	}
	q.done, q.waiting = true, false
	if q.out == 0 {
		delete(r.requests, q.ID)
	}
}

// pickReplica finds a member for a read: one that fits, of the own zone unless far busier, in turn.
func (r *Router) pickReplica(q *request) *host {
	fit, least := []*host(nil), math.Inf(1)
	for _, h := range q.g.hosts {
		switch {
		case h == q.g.primary || q.tried(h) || !r.mayTake(h, false) || !r.room(h, q):
		case h.pos < r.required(q) && (r.set.Behind == BehindServe || !r.shouldFit(q, h)):
			// Where hosts check reads it is enough that one should fit, or all would crowd on one.
		case r.warmth(h) >= 1:
			fit, least = append(fit, h), min(least, r.cost(h))
		case r.coldRoom(h, q):
			return h
		}
	}
	var best *host
	for _, h := range fit {
		switch {
		case r.heavy(q) && best != nil && h.id > best.id, !r.heavy(q) && r.cost(h) > least*equalCost:
		case best == nil, r.heavy(q), h.first && !best.first, h.first == best.first && h.sentAt < best.sentAt:
			best = h
		}
	}
	return best
}

// heavy reads run long enough to hold up a replica's log past the tightest bound. All routers put them on the
// same member of a group, the first by id that has room: the others stay fresh.
func (r *Router) heavy(q *request) bool {
	return q.class.Level == Loose && r.latency[q.Class] > r.bound.Seconds()/2
}

// shouldFit goes by how far behind h was when last heard of.
func (r *Router) shouldFit(q *request, h *host) bool { return r.now-h.lag >= r.required(q) }

func (r *Router) cost(h *host) float64 {
	slow := h.slow
	if len(h.out) > 0 {
		// A host that sits on its oldest attempt is as slow as that shows.
		slow = max(slow, (r.now-h.out[0].sentAt).Seconds()/r.latency[h.out[0].q.Class])
	}
	return slow * float64(len(h.out)+1) * float64(h.fails+1)
}

func (q *request) onlyPrimary() bool { return q.class.Level == Write || q.class.Level == Latest }

func (q *request) tried(h *host) bool {
	return slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.h == h })
}

// throttle keeps queues short where hosts are heard of too rarely to learn limits: by all replicas' answers.
func (r *Router) throttle(h *host, factor float64) {
	if primary := h == h.group.primary; h.gap > seldom {
		if primary && factor < 1 && r.set.Routers > fewRouters { // a queue that all of them fill, reads first
			factor *= factor
		}
		r.admit[primary] = min(1, max(admitLeast, factor*r.admit[primary]))
	}
}

// rank is 1 for the class worth most for its time at such a host, and higher for others, which get less.
func (r *Router) rank(class int, primary bool) float64 {
	value := func(i int) float64 { return cmp.Or(r.set.Classes[i].Worth, 1) / r.latency[i] }
	most := 0.0
	for i, c := range r.set.Classes {
		if primary || c.Level != Write {
			most = max(most, value(i))
		}
	}
	return math.Sqrt(most / value(class))
}

// admits draws whether q may be sent to h.
func (r *Router) admits(q *request, h *host) bool {
	share := r.admit[h == q.g.primary]
	r.throttle(h, 1+admitDrift/share)
	rank := r.rank(q.Class, true)
	if r.set.Routers > fewRouters { // the throttle is all that sheds there
		rank *= rank
	}
	return h.gap <= seldom || r.rnd.Float64() < math.Pow(share, rank)
}

func (r *Router) send(q *request, h *host) {
	timeout := q.deadline - r.now
	if q.class.Level != Write {
		timeout = q.useful - r.now
	}
	if q.g.open && h == q.g.primary && !q.onlyPrimary() { // the rest of the time is for a replica
		timeout = min(timeout, q.class.Aim/4)
	}
	begin := time.Duration(0)
	if q.mayRun && q.class.Repeat != Retryable {
		begin = q.mayRunAt + q.class.DedupWindow - r.set.Tick - r.now
	}
	r.do(Send{Request: q.ID, Host: h.id, Timeout: timeout, Begin: begin})
	a := &attempt{q: q, h: h, sentAt: r.now, away: r.away}
	q.attempts = append(q.attempts, a)
	h.out = append(h.out, a)
	q.out, q.waiting, h.sentAt = q.out+1, false, r.now
	r.repeats.Made(q.failed)
	q.mayRunAt = cmp.Or(q.mayRunAt, r.now)
	r.wakeAt(r.now+q.class.Aim, func() { r.checkOverdue(a) })
}

func (r *Router) onResult(e Result) {
	h := r.hosts[e.Host]
	if h == nil {
		return
	}
	r.onReport(h, e.Report)
	r.learnRole(h, e.Role, r.now)
	q := r.requests[e.Request]
	if q == nil || e.Attempt < 0 || e.Attempt >= len(q.attempts) || q.attempts[e.Attempt].resolved {
		return
	}
	a := q.attempts[e.Attempt]
	a.resolved = true
	q.out--
	h.out = slices.DeleteFunc(h.out, func(o *attempt) bool { return o == a })
	if len(h.out) == 0 && h.gap > seldom {
		r.wakeAt(h.sentAt+seldom, func() {
			if len(h.out) == 0 && r.now-h.sentAt >= seldom {
				r.do(HangUp{Host: h.id})
			}
		})
	}
	r.stir(h.group)
	if e.Outcome == OK && e.Role == Primary {
		// It stood at the present then. A hung primary turns work away as primary: no word on its log.
		r.learnPosition(h, a.sentAt)
	}
	if e.HasPosition {
		pos := e.Position
		if e.Outcome == OK && q.class.Level == Write {
			pos -= r.set.PositionGrain
			if r.set.Remembered {
				r.marks[q.Session] = max(r.marks[q.Session], e.Position)
			}
		}
		r.learnPosition(h, pos)
	}
	again := e.Outcome == Error && q.mayRun // an error of a request that may have run before
	r.judge(a, e.Outcome, e.Latency, again)
	q.mayRun = q.mayRun || slices.Contains([]Outcome{Error, Timeout, Reset, Cancelled}, e.Outcome)
	if !q.mayRun && q.out == 0 {
		q.mayRunAt = 0
	}
	q.failed = q.failed || !slices.Contains([]Outcome{OK, Miss, Moot}, e.Outcome)
	q.missed = q.missed || e.Outcome == Miss && q.class.Level == Write
	switch {
	case e.Finished || e.Outcome == OK || q.done:
		r.finish(q)
	case q.out > 0:
	case again, q.missed && q.g.primary != nil && q.tried(q.g.primary), e.Outcome == Full && h == q.g.primary:
		r.giveUp(q) // the request itself fails, most likely, or a retry would add load where there is no room
	default:
		r.route(q)
	}
}

// judge learns of the host's health.
func (r *Router) judge(a *attempt, o Outcome, latency time.Duration, again bool) {
	h, c := a.h, a.q.Class
	h.gap += time.Duration(smooth * float64(r.now-h.judgedAt-h.gap))
	h.judgedAt = r.now
	if r.warmth(h) < 1 && (o == OK || o == Full || o == Timeout) {
		past := min(1, (r.now - r.easeAt).Seconds()) // since the last answer of a cold host
		r.easeAt = r.now
		if r.ease = min(1, r.ease+past/8); o != OK || latency.Seconds() > strained*a.q.class.Aim.Seconds() {
			r.ease = max(0, r.ease-past)
		}
	}
	switch o {
	case OK:
		warm := 0.0 // a cold host counts as what it can do: it is no measure of a warm one
		for _, m := range h.group.hosts {
			if m.status != Gone {
				warm += r.warmth(m)
			}
		}
		r.served += r.work(c) / max(1, warm) / float64(max(1, len(r.used)))
		slow := min(latency.Seconds()/r.latency[c], 20)
		h.slow = cmp.Or(h.slow, slow)
		h.slow += smooth * (slow - h.slow)
		r.latency[c] += smooth / 5 * (latency.Seconds() - r.latency[c])
		h.fails = 0
		if h.group.primary == h {
			h.group.fails, h.group.trips = 0, 0
		}
		h.strain += smooth * h.weight(5) * (latency.Seconds()/a.q.class.Aim.Seconds() - h.strain)
		if latency < a.q.class.Aim*2/3 {
			r.throttle(h, admitMore)
		} else if !a.overdue {
			r.throttle(h, admitLate)
		}
		if h.strain > strained {
			r.cutLimit(h)
		} else if float64(len(h.out)+1) > 0.6*h.limit {
			h.limit += min(h.limit, 1/h.limit) / 2
		}
	case Full:
		r.throttle(h, admitFull)
		r.cutLimit(h)
	case Error, Timeout, Reset, ConnectFailed:
		// A read sent late in its aim tells nothing, nor does an error of one that met one before.
		if !a.overdue && (o != Timeout || latency >= a.q.class.Aim/2) && !again {
			r.failed(h, o == Timeout)
		}
	case Miss:
		if a.q.class.Level == Write {
			r.countFailure(h)
		} else {
			h.lag = max(h.lag, r.now-r.required(a.q)+r.set.Patience+r.set.Tick)
		}
	}
}

func (r *Router) failed(h *host, late bool) {
	h.slow = cmp.Or(h.slow, 1)
	if h.fails++; late && h.fails < 3 { // a host that only fails is not short of room
		r.throttle(h, admitLate)
	}
	r.countFailure(h)
}

// cutLimit cuts by time: an answer tells the more, the fewer there are. Many routers need a lower floor.
func (r *Router) cutLimit(h *host) {
	h.limit = max(min(0.2, 2/float64(max(r.set.Routers, 1))), h.limit*(1-0.025*h.weight(24)))
}

// weight is that of an answer of h, from 1 up to most, against those of a host heard of often.
func (h *host) weight(most float64) float64 {
	return min(most, max(1, h.gap.Seconds()/often.Seconds()))
}

// left tells that h is off the list for good: machines that replace others have new ids.
func (r *Router) left(h *host) bool { return h.status == Gone && !r.set.GoneIsAdvice }

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
		if commit < r.now-markAge {
			r.base = max(r.base, commit)
			delete(r.marks, s)
		}
	}
}

// probeInTurn keeps an eye on every member at the pace of this router's own requests, so that hundreds of
// idle routers do not load the hosts: one probe goes to the group in use, the next around all members.
func (r *Router) probeInTurn(g *group) {
	if r.probes += probeShare; r.probes < 1 || r.mute {
		return
	}
	r.probes--
	r.turn++
	list := slices.DeleteFunc(slices.Clone([][]*host{r.order, g.hosts}[r.turn%2]), r.left)
	if len(list) > 0 {
		r.probe(slices.MinFunc(list, func(a, b *host) int { return cmp.Compare(a.probedAt, b.probedAt) }))
	}
}

func (r *Router) probe(h *host) {
	soon := r.warmth(h) < 1 && r.now-h.probedAt < r.set.FallTime
	if r.set.Probes && !h.probing && !r.left(h) && !r.out[h.id] && !soon {
		h.probing, h.probedAt = true, r.now
		r.do(Probe{Host: h.id})
	}
}

// doubt begins to look for the primary of g, or whether it still answers.
func (r *Router) doubt(g *group) {
	if !g.seeking && r.set.Probes {
		g.doubtAt = r.now
		r.seek(g)
	}
}

// seek probes the primary, or every member while the breaker is open or the primary unknown, ever slower,
// until a primary has answered. Where probes tell no role only the primary is, at all routers' shared cost.
func (r *Router) seek(g *group) {
	g.seeking = false
	all := g.open || g.primary == nil
	if !all && (g.fails == 0 || g.primary.roleAt > g.doubtAt) {
		return
	}
	pause := max(probeSoon, (r.now-g.doubtAt)/4)
	if r.mute {
		pause = max(pause, probePace*time.Duration(r.set.Routers))
	}
	for _, h := range g.hosts {
		if all && !r.mute || h == g.primary {
			r.probe(h)
		}
	}
	if r.now-g.doubtAt < 50*probeSoon {
		g.seeking = true
		r.wakeAt(r.now+r.jitter(pause), func() { r.seek(g) })
	}
}

// look asks the two replicas that are likeliest to fit for their positions; false: there is none to wait for.
func (r *Router) look(q *request) bool {
	var likely []*host
	for _, i := range r.rnd.Perm(len(q.g.hosts)) {
		if h := q.g.hosts[i]; h != q.g.primary && r.mayTake(h, false) && !r.mute && r.shouldFit(q, h) {
			likely = append(likely, h)
		}
	}
	slices.SortStableFunc(likely, func(a, b *host) int { return cmp.Compare(a.lag, b.lag) })
	for _, h := range likely[:min(2, len(likely))] {
		if r.now-h.probedAt >= probeSoon/4 {
			r.probe(h)
		}
	}
	return len(likely) > 0
}

func (r *Router) onProbed(e Probed) {
	h := r.hosts[e.Host]
	if h == nil {
		return
	}
	h.probing = false
	r.stir(h.group)
	r.onReport(h, e.Report)
	lost, mute := 1.0, e.Report.Role == RoleUnknown
	if e.Outcome == OK || e.Outcome == Full {
		if lost, r.mute = 0, mute; mute {
			h.upAt = r.now
		}
	}
	// A failed probe counts only after a failed request, and not while those of other hosts fail too.
	switch {
	case e.Outcome == Moot:
	case h.fails == 0:
		r.lost += smooth * (lost - r.lost)
	case lost > 0 && h.group.fails > 0 && !r.blind():
		r.countFailure(h)
	}
}

// blind: probes tell little or may not be sent, so only a request can close a breaker.
func (r *Router) blind() bool { return !r.set.Probes || r.lost > lostProbes }

// jitter spreads d, so that routers do not act in step.
func (r *Router) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(r.rnd.Int64N(int64(d)/2+1))
}
