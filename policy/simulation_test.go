package policy

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// simulation passes random valid events to one router and checks the invariants on every action. The events are late,
// repeated and reordered results, list changes, restarts of hosts and failed calls.
type simulation struct {
	t              *testing.T
	random         *rand.Rand
	settings       Settings
	router         *Router
	now            time.Duration
	hosts          []HostID
	status         map[HostID]Status
	unhealthySince map[HostID]time.Duration
	started        map[HostID]time.Duration
	listed         map[HostID]bool
	positions      map[HostID]time.Duration
	isReplica      map[HostID]bool
	requests       map[RequestID]*trackedRequest
	ids            []RequestID
	trace          []Action
}

type trackedRequest struct {
	class            int
	group            GroupID
	requiredPosition time.Duration
	deadline         time.Duration
	finalAnswers     int
	finished         bool
	sentAt           []time.Duration
	hosts            []HostID
	outstanding      []bool
	mayHaveRun       bool
	firstSentAt      time.Duration
}

func groupOf(h HostID) GroupID { return GroupID(h[0] - '0') }

func (sim *simulation) members() []Member {
	var list []Member
	for i, h := range sim.hosts {
		list = append(list, Member{Host: h, Group: groupOf(h), Zone: i % 2, Status: sim.status[h],
			Primary: i%3 == 0, StartedAt: sim.started[h]})
		sim.listed[h] = true
	}
	return list
}

// randomEvent returns a random event, and false if the draw gave none.
func (sim *simulation) randomEvent(i int) (Event, bool) {
	h := sim.hosts[sim.random.IntN(len(sim.hosts))]
	switch kind := sim.random.IntN(20); {
	case kind < 8:
		id := RequestID(string(rune('a'+i%26)) + string(rune(i+256)))
		c := sim.random.IntN(len(sim.settings.Classes))
		request := Request{ID: id, Class: c, Group: groupOf(h), Session: SessionID(sim.random.IntN(4)),
			Timeout: sim.settings.Classes[c].Deadline * time.Duration(40+sim.random.IntN(61)) / 100}
		tracked := &trackedRequest{class: c, group: request.Group, deadline: sim.now + request.Timeout}
		if sim.settings.Classes[c].Level == OwnWrites && sim.random.IntN(2) == 0 {
			request.LastCommitAge = time.Duration(1+sim.random.IntN(500)) * ms
			tracked.requiredPosition = sim.now - request.LastCommitAge
		}
		sim.requests[id], sim.ids = tracked, append(sim.ids, id)
		return request, true
	case kind < 15 && len(sim.ids) > 0:
		id := sim.ids[sim.random.IntN(len(sim.ids))]
		tracked := sim.requests[id]
		if len(tracked.hosts) == 0 {
			return nil, false
		}
		n := sim.random.IntN(len(tracked.hosts))
		return sim.randomResult(id, tracked, n), true
	case kind < 18:
		sim.positions[h] = max(sim.positions[h], sim.now-time.Duration(sim.random.IntN(1500))*ms)
		e := ProbeResult{Host: h, Outcome: Outcome(sim.random.IntN(3) * 3 % 5)}
		if e.Outcome == OK {
			e.Report = Report{HasPosition: true, Position: sim.positions[h], Role: Replica}
			if sim.random.IntN(8) == 0 {
				sim.positions[h], sim.isReplica[h] = sim.now, false
				e.Report.Position, e.Report.Role = sim.now, Primary
			}
		}
		return e, true
	case kind == 18:
		return RequestAbandoned{Request: "nobody"}, true
	}
	switch sim.random.IntN(3) {
	case 0:
		return ListUpdate{Kind: ListFailed}, true
	case 1:
		sim.started[h] = sim.now
	default:
		sim.status[h] = Status(sim.random.IntN(3))
	}
	if sim.status[h] == Healthy {
		delete(sim.unhealthySince, h)
	} else if _, ok := sim.unhealthySince[h]; !ok {
		sim.unhealthySince[h] = sim.now
	}
	return ListUpdate{Kind: ListDelta, Entries: []Member{{Host: h, Group: groupOf(h), Status: sim.status[h], StartedAt: sim.started[h]}}}, true
}

// randomResult ends attempt n of a request, which may have ended before.
func (sim *simulation) randomResult(id RequestID, tracked *trackedRequest, n int) Event {
	e := Result{Request: id, Attempt: n, Host: tracked.hosts[n], Latency: sim.now - tracked.sentAt[n], Finished: tracked.finished}
	if !tracked.outstanding[n] {
		return e
	}
	tracked.outstanding[n] = false
	e.Outcome = Outcome(sim.random.IntN(int(Miss) + 1))
	switch e.Outcome {
	case OK:
		e.Finished, tracked.finished = true, true
		e.Role = Primary
	case Error, Timeout, Reset, Cancelled:
		tracked.mayHaveRun = true
	case Miss:
		e.Role = Replica
		sim.isReplica[e.Host] = true
	}
	if e.Outcome != OK && !slices.Contains(tracked.outstanding, true) && !tracked.mayHaveRun {
		tracked.firstSentAt = 0
	}
	if e.Role == Primary {
		sim.isReplica[e.Host], sim.positions[e.Host] = false, sim.now
	}
	return e
}

func (sim *simulation) check(action Action) {
	switch action := action.(type) {
	case Send:
		tracked, h := sim.requests[action.Request], action.Host
		class := sim.settings.Classes[tracked.class]
		if tracked.finished || tracked.finalAnswers > 0 {
			sim.t.Fatalf("%v: sent after the final answer", action)
		}
		if !sim.listed[h] || groupOf(h) != tracked.group {
			sim.t.Fatalf("%v: unlisted host or another group", action)
		}
		if since, ok := sim.unhealthySince[h]; ok && sim.now-since > sim.settings.DrainGrace {
			sim.t.Fatalf("%v: the host was draining or gone %v ago", action, sim.now-since)
		}
		mayHaveRun := tracked.mayHaveRun || slices.Contains(tracked.outstanding, true)
		if mayHaveRun && (class.RetrySafety == AtMostOnce || class.RetrySafety == DedupGroup && sim.now > tracked.firstSentAt+class.DedupWindow) {
			sim.t.Fatalf("%v: forbidden resend", action)
		}
		required := tracked.requiredPosition
		if class.Level == Recent {
			required = sim.now - class.Bound
		}
		if sim.settings.StaleReadMode == StaleReadServe && class.Level != Write && required > 0 && sim.positions[h] < required && sim.isReplica[h] {
			sim.t.Fatalf("%v: position %v, required %v", action, sim.positions[h], required)
		}
		if tracked.firstSentAt == 0 {
			tracked.firstSentAt = sim.now
		}
		tracked.hosts, tracked.outstanding, tracked.sentAt = append(tracked.hosts, h), append(tracked.outstanding, true), append(tracked.sentAt, sim.now)
	case Refuse:
		tracked := sim.requests[action.Request]
		class := sim.settings.Classes[tracked.class]
		if class.RetrySafety != Retryable && (tracked.mayHaveRun || slices.Contains(tracked.outstanding, true)) {
			sim.t.Fatalf("%v: refused though it may have run", action)
		}
		sim.recordFinal(action.Request)
	case Fail:
		sim.recordFinal(action.Request)
	}
}

func (sim *simulation) recordFinal(id RequestID) {
	tracked := sim.requests[id]
	tracked.finalAnswers++
	if tracked.finished || tracked.finalAnswers > 1 {
		sim.t.Fatalf("%s: a second final answer", id)
	}
}

// hostsOf returns the hosts of two groups of three, or of ten groups for hundreds of routers.
func hostsOf(settings Settings) (hosts []HostID) {
	groups := 2
	if settings.Routers > 100 {
		groups = 10
	}
	for g := range groups {
		for _, m := range "abc" {
			hosts = append(hosts, HostID([]rune{rune('0' + g), m}))
		}
	}
	return hosts
}

func simulate(t *testing.T, seed uint64, settings Settings) []Action {
	sim := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 2)), settings: settings, now: time.Minute,
		hosts:  hostsOf(settings),
		status: map[HostID]Status{}, unhealthySince: map[HostID]time.Duration{}, started: map[HostID]time.Duration{},
		listed: map[HostID]bool{}, positions: map[HostID]time.Duration{}, isReplica: map[HostID]bool{},
		requests: map[RequestID]*trackedRequest{}}
	router, err := New(settings, int64(seed))
	if err != nil {
		t.Fatal(err)
	}
	sim.router = router
	// A member that no list calls primary has no known position.
	for i, h := range sim.hosts {
		sim.isReplica[h] = i%3 != 0
	}
	step := func(events ...Event) {
		actions := append([]Action(nil), router.Step(sim.now, events)...)
		for _, a := range actions {
			sim.check(a)
		}
		sim.trace = append(sim.trace, actions...)
	}
	step(ListUpdate{Kind: ListCached, Entries: sim.members()})
	for i := range 4000 {
		sim.now += time.Duration(sim.random.IntN(3)) * 5 * ms
		if e, ok := sim.randomEvent(i); ok {
			// A role reported by an event of this step is binding from the next step.
			step(e)
		}
		step()
	}
	for range 1000 {
		sim.now += 5 * ms
		step()
	}
	for id, a := range sim.requests {
		if !a.finished && a.finalAnswers != 1 {
			t.Fatalf("%s: %d final answers", id, a.finalAnswers)
		}
	}
	return sim.trace
}

func TestRandomEventsKeepInvariants(t *testing.T) {
	for seed := range uint64(40) {
		set := baseSettings()
		set.ListSource = ListSource(seed % 2)
		set.StaleReadMode = StaleReadMode(seed % 3)
		if seed%5 == 0 {
			set.ListRole = ListRoleNone
		}
		if seed%4 == 1 {
			set.Routers, set.MaxRetryAfter = 400, 0
		}
		if first, again := simulate(t, seed, set), simulate(t, seed, set); !reflect.DeepEqual(first, again) {
			t.Fatalf("seed %d: the same events gave different actions", seed)
		}
	}
}
