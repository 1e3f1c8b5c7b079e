package policy

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// baseSettings returns the settings of most tests: a small fleet and one class of each kind.
func baseSettings() Settings {
	return Settings{
		Routers: 2, Tick: 5 * ms, ListRole: ListRoleInitial, PositionGranularity: ms,
		CanProbe: true, CanCancel: true,
		MaxAttempts: 8, MaxRetryAfter: time.Second,
		DrainGrace: time.Second, MaxListAge: 10 * time.Second,
		StartCapacity: 0.2, SlowStartTime: 10 * time.Second, OverloadFactor: 3, OverloadWindow: time.Second,
		Classes: []Class{
			loose:        {Level: Loose, Aim: 500 * ms, Deadline: 2 * time.Second},
			recent:       {Level: Recent, Bound: 500 * ms, Aim: 500 * ms, Deadline: 2 * time.Second},
			own:          {Level: OwnWrites, Aim: 500 * ms, Deadline: 2 * time.Second},
			latest:       {Level: Latest, Aim: 500 * ms, Deadline: 2 * time.Second},
			deduplicated: {Level: Write, Aim: 500 * ms, Deadline: 2 * time.Second, LateWorth: 0.5, RetrySafety: DedupGroup, DedupWindow: time.Second},
			atMostOnce:   {Level: Write, Aim: 500 * ms, Deadline: 2 * time.Second, LateWorth: 0.5, RetrySafety: AtMostOnce},
		},
	}
}

const (
	loose = iota
	recent
	own
	latest
	deduplicated
	atMostOnce
)

// rig drives one router and keeps the actions of its last step.
type rig struct {
	t       *testing.T
	router  *Router
	now     time.Duration
	actions []Action
}

func newRig(t *testing.T, settings Settings, members ...Member) *rig {
	t.Helper()
	router, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	rig := &rig{t: t, router: router, now: 100 * time.Second}
	if members == nil {
		members = []Member{{Host: "p", Primary: true}, {Host: "a"}, {Host: "b"}}
	}
	rig.advance(0, ListUpdate{Kind: ListCached, Entries: members})
	return rig
}

// advance moves the clock forward and passes events to the router.
func (g *rig) advance(after time.Duration, events ...Event) *rig {
	g.now += after
	g.actions = append([]Action(nil), g.router.Step(g.now, events)...)
	return g
}

func (g *rig) request(id RequestID, class int) *rig {
	return g.advance(0, Request{ID: id, Class: class, Timeout: g.router.settings.Classes[class].Deadline})
}

// probeReport moves the clock forward and passes a probe result, with a position that lags by lag.
func (g *rig) probeReport(after time.Duration, h HostID, role Role, lag time.Duration) *rig {
	at := g.now + after - lag
	return g.advance(after, ProbeResult{Host: h, Report: Report{HasPosition: true, Position: at, Role: role}})
}

func (g *rig) sends() (hosts []HostID) {
	for _, a := range g.actions {
		if s, ok := a.(Send); ok {
			hosts = append(hosts, s.Host)
		}
	}
	return hosts
}

func (g *rig) wantSend(hosts ...HostID) {
	g.t.Helper()
	if got := g.sends(); !slices.Equal(got, hosts) {
		g.t.Errorf("sends to %v, want %v", got, hosts)
	}
}

// finalAnswers counts the refusals and failures of a request in the last step.
func (g *rig) finalAnswers(id RequestID) (refused, failed int) {
	for _, a := range g.actions {
		switch a := a.(type) {
		case Refuse:
			if a.Request == id {
				refused++
			}
		case Fail:
			if a.Request == id {
				failed++
			}
		}
	}
	return refused, failed
}

func (g *rig) wantFinal(id RequestID, refused, failed int) {
	g.t.Helper()
	if r, f := g.finalAnswers(id); r != refused || f != failed {
		g.t.Errorf("%s: %d refusals and %d failures, want %d and %d", id, r, f, refused, failed)
	}
}

// failWrites sends n writes to the primary, each of which ends with the outcome.
func (g *rig) failWrites(n int, outcome Outcome) *rig {
	g.t.Helper()
	for i := range n {
		id := RequestID(rune('A' + i))
		g.request(id, atMostOnce)
		g.wantSend("p")
		g.advance(10*ms, Result{Request: id, Host: "p", Outcome: outcome, Latency: time.Second})
	}
	return g
}

// sendWrites makes n concurrent write requests and returns how many were sent and refused.
func (g *rig) sendWrites(n int) (sent, refused int) {
	for i := range n {
		id := RequestID(rune('A' + i))
		g.request(id, atMostOnce)
		n, _ := g.finalAnswers(id)
		sent, refused = sent+len(g.sends()), refused+n
	}
	return sent, refused
}

// fleet is many routers with one group. Each host answers every attempt in the time of a warm host. Clients abandon
// unanswered requests early and send new ones at once.
type fleet struct {
	t                *testing.T
	random           *rand.Rand
	settings         Settings
	now              time.Duration
	routers          []*Router
	cumulativeWeight []float64 // cumulative share of traffic, by router
	lastID           int
	writeTime        time.Duration // the answer time of a write
	sent             map[HostID][]time.Duration
}

func newFleet(t *testing.T, settings Settings, n int, uneven bool) *fleet {
	fleet := &fleet{t: t, random: rand.New(rand.NewPCG(uint64(n), 3)), settings: settings, now: 100 * time.Second,
		sent: map[HostID][]time.Duration{}}
	sum := 0.0
	for i := range n {
		fleet.settings.Routers = n
		r, err := New(fleet.settings, int64(i))
		if err != nil {
			t.Fatal(err)
		}
		fleet.routers = append(fleet.routers, r)
		if sum++; uneven {
			sum += float64(n)/float64(i+1) - 1
		}
		fleet.cumulativeWeight = append(fleet.cumulativeWeight, sum)
	}
	return fleet
}

func (f *fleet) deliverList(list ...Member) {
	for _, r := range f.routers {
		r.Step(f.now, []Event{ListUpdate{Kind: ListFull, Entries: list}})
	}
}

// request passes one request to a random router, by weight, and ends it within this call: it is answered if ok, and
// else abandoned by the client.
func (f *fleet) request(class int, ok bool) {
	i, _ := slices.BinarySearch(f.cumulativeWeight, f.random.Float64()*f.cumulativeWeight[len(f.cumulativeWeight)-1])
	f.lastID++
	r, id := f.routers[i], RequestID(rune(f.lastID+256))
	waiting, now := true, f.now
	apply := func(actions []Action) {
		for _, a := range append([]Action(nil), actions...) {
			switch a := a.(type) {
			case Send:
				f.sent[a.Host] = append(f.sent[a.Host], now)
				waiting = false
				e := Result{Request: id, Host: a.Host, Outcome: OK, Finished: true, Latency: 60 * ms}
				if class == atMostOnce {
					e.Latency = f.writeTime
				}
				if !ok {
					r.Step(now, []Event{RequestAbandoned{Request: id}})
					e.Outcome, e.Latency = Cancelled, 20*ms
				}
				r.Step(now, []Event{e})
			case Refuse, Fail:
				waiting = false
			}
		}
	}
	apply(r.Step(now, []Event{Request{ID: id, Class: class, Timeout: time.Second}}))
	for range 20 { // a report of another member has held requests routed again
		if waiting {
			apply(r.Step(now, []Event{ProbeResult{Host: "b"}}))
		}
	}
	r.Step(now, []Event{RequestAbandoned{Request: id}})
}
