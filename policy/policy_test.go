package policy

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

// base is a deployment for tests: two members besides the primary, one class
// of each kind.
func base() Settings {
	return Settings{
		Routers: 2, Tick: 5 * ms, ListRole: ListRoleInitial, PositionGranularity: ms,
		CanProbe: true, CanCancel: true,
		MaxAttempts: 8, MaxRetryAfter: time.Second,
		DrainGrace: time.Second, MaxListAge: 10 * time.Second,
		StartCapacity: 0.2, SlowStartTime: 10 * time.Second, OverloadFactor: 3, OverloadWindow: time.Second,
		Classes: []Class{
			loose:   {Level: Loose, Aim: 500 * ms, Deadline: 2 * time.Second},
			recent:  {Level: Recent, Bound: 500 * ms, Aim: 500 * ms, Deadline: 2 * time.Second},
			own:     {Level: OwnWrites, Aim: 500 * ms, Deadline: 2 * time.Second},
			latest:  {Level: Latest, Aim: 500 * ms, Deadline: 2 * time.Second},
			keyed:   {Level: Write, Aim: 500 * ms, Deadline: 2 * time.Second, LateWorth: 0.5, RetrySafety: DedupGroup, DedupWindow: time.Second},
			fragile: {Level: Write, Aim: 500 * ms, Deadline: 2 * time.Second, LateWorth: 0.5, RetrySafety: AtMostOnce},
		},
	}
}

const (
	loose = iota
	recent
	own
	latest
	keyed
	fragile
)

// rig drives one router and keeps what it did last.
type rig struct {
	t   *testing.T
	r   *Router
	now time.Duration
	got []Action
}

func newRig(t *testing.T, set Settings, members ...Member) *rig {
	t.Helper()
	r, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	g := &rig{t: t, r: r, now: 100 * time.Second}
	if members == nil {
		members = []Member{{Host: "p", Primary: true}, {Host: "a"}, {Host: "b"}}
	}
	g.at(0, ListUpdate{Kind: ListCached, Entries: members})
	return g
}

// at moves the clock on and gives the router events.
func (g *rig) at(after time.Duration, events ...Event) *rig {
	g.now += after
	g.got = append([]Action(nil), g.r.Step(g.now, events)...)
	return g
}

func (g *rig) ask(id RequestID, class int) *rig {
	return g.at(0, Request{ID: id, Class: class, Timeout: g.r.settings.Classes[class].Deadline})
}

// report moves the clock on and gives a probe result: the position lies lag back.
func (g *rig) report(after time.Duration, h HostID, role Role, lag time.Duration) *rig {
	at := g.now + after - lag
	return g.at(after, ProbeResult{Host: h, Report: Report{HasPosition: true, Position: at, Role: role}})
}

func (g *rig) sends() (hosts []HostID) {
	for _, a := range g.got {
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

// final counts the refusals and failures given for id just now.
func (g *rig) final(id RequestID) (refused, failed int) {
	for _, a := range g.got {
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
	if r, f := g.final(id); r != refused || f != failed {
		g.t.Errorf("%s: %d refusals and %d failures, want %d and %d", id, r, f, refused, failed)
	}
}

// failWrites sends n writes to the primary and lets each end with o.
func (g *rig) failWrites(n int, o Outcome) *rig {
	g.t.Helper()
	for i := range n {
		id := RequestID(rune('A' + i))
		g.ask(id, fragile)
		g.wantSend("p")
		g.at(10*ms, Result{Request: id, Host: "p", Outcome: o, Latency: time.Second})
	}
	return g
}

func TestBreakerOpensRefusesAndCloses(t *testing.T) {
	g := newRig(t, base())
	g.failWrites(breakerThreshold, Error)
	g.ask("w", fragile)
	g.wantSend()
	g.wantFinal("w", 1, 0)
	g.ask("f", latest)
	g.wantFinal("f", 1, 0)
	g.report(10*ms, "a", Replica, 10*ms).ask("r", recent)
	g.wantSend("a")
	g.report(10*ms, "p", Primary, 100*ms).ask("w2", fragile)
	g.wantFinal("w2", 1, 0) // the report is older than the opening
	g.report(100*ms, "b", Primary, 5*ms).ask("w3", fragile)
	g.wantSend("b")
}

// Where probes bring no role, none of them could close a breaker whose primary was only
// out of reach for a while: its writes were refused to the end of the day. A read may
// ask it once a probe has passed, and what is left of its time is for a replica.
func TestReadClosesBreakerWhereProbesTellNoRole(t *testing.T) {
	g := newRig(t, base())
	g.failWrites(breakerThreshold, Reset)
	g.report(300*ms, "a", Replica, 10*ms).ask("r", recent)
	g.wantSend("a") // no probe has passed
	g.at(10*ms, ProbeResult{Host: "p"}).ask("s", recent)
	g.wantSend("p")
	g.ask("t", recent)
	g.wantSend("a") // one at a time
	g.at(130*ms, Result{Request: "s", Host: "p", Outcome: Timeout, Latency: 130 * ms})
	g.wantSend("a")
	g.at(200*ms).ask("u", recent)
	g.wantSend("p")
	g.at(20*ms, Result{Request: "u", Host: "p", Outcome: OK, Finished: true, Role: Primary}).ask("w", fragile)
	g.wantSend("p")

	// Where no reads come a write asks, once the primary was left alone for a while.
	g = newRig(t, base())
	g.failWrites(breakerThreshold, Reset).at(10*ms, ProbeResult{Host: "p"})
	g.ask("v", fragile)
	g.wantFinal("v", 1, 0)
	g.at(10*suspectProbeInterval).ask("w", fragile)
	g.wantSend("p")
	g.ask("x", fragile)
	g.wantFinal("x", 1, 0)
}

// What a database answered to an attempt that was given up meanwhile counts as told: that it is no primary any more holds
// for the reads behind it, of which the first such answer excused one at most.
func TestLateAnswerUnseatsThePrimary(t *testing.T) {
	g := newRig(t, base())
	g.failWrites(breakerThreshold, ConnectFailed)
	g.at(300*ms, ProbeResult{Host: "p"}).ask("r", recent)
	g.wantSend("p")
	g.at(125*ms, Result{Request: "r", Host: "p", Outcome: Timeout, Latency: 125 * ms})
	g.at(10*ms, Result{Host: "p", Attempt: -1, Outcome: NotSent, Finished: true, Role: Replica})
	g.at(5*suspectProbeInterval, ProbeResult{Host: "p"}).ask("s", recent)
	g.wantSend()
	g.at(10*suspectProbeInterval, ProbeResult{Host: "p"}).ask("t", latest)
	g.wantSend()
}

// A read held for a fresher replica is refused before half of its time is gone, so that
// its client can still turn elsewhere.
func TestHeldReadIsRefusedInTheFirstHalf(t *testing.T) {
	g := newRig(t, base())
	g.failWrites(breakerThreshold, Reset)
	g.at(0, Request{ID: "r", Class: recent, Timeout: 600 * ms})
	g.at(250 * ms)
	g.wantFinal("r", 0, 0)
	g.at(49 * ms)
	g.wantFinal("r", 1, 0)
}

func TestSuccessResetsTheCount(t *testing.T) {
	g := newRig(t, base())
	g.failWrites(breakerThreshold-1, Error)
	g.ask("ok", fragile).at(10*ms, Result{Request: "ok", Host: "p", Outcome: OK, Finished: true, Role: Primary})
	g.failWrites(breakerThreshold-1, Reset)
	g.ask("w", fragile)
	g.wantSend("p")
}

// A primary that loses answers passes its probes: the breaker closes and opens
// again, held open for longer each time.
func TestPrimaryLosingAnswersIsHeldOpen(t *testing.T) {
	g := newRig(t, base())
	var lost []int
	id := 256
	for range 6 {
		n := 0
		for range 40 {
			id++
			q := RequestID(rune(id))
			g.ask(q, fragile)
			sent := len(g.sends())
			n += sent
			if g.at(700 * ms); sent > 0 {
				g.at(1300*ms, Result{Request: q, Host: "p", Outcome: Timeout, Finished: true, Latency: 2 * time.Second})
			}
			g.report(ms, "p", Primary, 0)
		}
		lost = append(lost, n)
	}
	if lost[0] < breakerThreshold || lost[5] > 20 {
		t.Errorf("writes lost of 40 in each stretch: %v", lost)
	}
}

func TestLateReportDoesNotUnseatNewerAnswer(t *testing.T) {
	g := newRig(t, base())
	g.ask("w", fragile).at(10*ms, Result{Request: "w", Host: "p", Outcome: OK, Finished: true, Role: Primary})
	g.report(10*ms, "a", Primary, time.Second).ask("w2", fragile)
	g.wantSend("p")

	// Nor does it seat again a primary that has told since that it is none.
	g = newRig(t, base())
	g.ask("x", fragile).at(10*ms, Result{Request: "x", Host: "p", Outcome: Miss, Role: Replica})
	g.report(10*ms, "p", Primary, time.Second).ask("y", fragile)
	g.wantSend()
}

// Rule: every request gets exactly one final answer in time.
func TestAnswersByBudget(t *testing.T) {
	g := newRig(t, base())
	g.at(0, Request{ID: "w", Class: fragile, Timeout: 300 * ms})
	g.wantSend("p")
	g.at(300 * ms)
	g.wantFinal("w", 0, 1)
	g.at(5*ms, Result{Request: "w", Host: "p", Outcome: Timeout, Finished: true})
	g.wantFinal("w", 0, 0)
}

// Rule: no effect happens twice.
func TestRepeatSafety(t *testing.T) {
	tests := []struct {
		name    string
		class   int
		outcome Outcome
		after   time.Duration
		again   bool
		refused bool
	}{
		{"fragile error", fragile, Error, 10 * ms, false, false},
		{"fragile never ran", fragile, ConnectFailed, 10 * ms, true, false},
		{"keyed error", keyed, Error, 10 * ms, true, false},
		{"keyed after its window", keyed, Reset, 1100 * ms, false, false},
		{"keyed never ran", keyed, ConnectFailed, 10 * ms, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newRig(t, base()).ask("w", tt.class)
			g.wantSend("p")
			g.at(tt.after, Result{Request: "w", Host: "p", Outcome: tt.outcome})
			refused, failed := g.final("w")
			if again := len(g.sends()) == 1; again != tt.again {
				t.Errorf("sent again: %v, want %v", again, tt.again)
			}
			if !tt.again && (refused == 1) != tt.refused || refused+failed > 1 || !tt.again && refused+failed == 0 {
				t.Errorf("%d refusals, %d failures", refused, failed)
			}
		})
	}
}

func TestMissedWriteGoesOnceToAnotherPrimary(t *testing.T) {
	g := newRig(t, base())
	g.ask("w", fragile)
	g.report(10*ms, "a", Primary, 0)
	g.at(ms, Result{Request: "w", Host: "p", Outcome: Miss, Role: Replica})
	g.wantSend("a")
	g.at(ms, Result{Request: "w", Attempt: 1, Host: "a", Outcome: Miss, Role: Replica})
	g.wantSend()
	g.wantFinal("w", 1, 0)
}

// Rule: drains are kept, for a primary within the grace.
func TestDrains(t *testing.T) {
	g := newRig(t, base())
	g.at(0, ListUpdate{Kind: ListDelta, Entries: []Member{
		{Host: "p", Status: Draining}, {Host: "a", Status: Draining}, {Host: "b", Status: Gone}}})
	g.ask("r", loose)
	g.wantSend()
	g.ask("w", fragile)
	g.wantSend("p")
	g.at(900*ms).ask("w2", fragile)
	g.wantSend()
}

// A database that drains when it is first heard of has done so for nobody knows how long: it takes no writes either.
func TestDrainsFoundAtTheStart(t *testing.T) {
	g := newRig(t, base())
	g.at(0, ListUpdate{Kind: ListCached, Entries: []Member{{Host: "x", Group: 9, Status: Draining, Primary: true}}})
	g.at(0, Request{ID: "w", Class: fragile, Group: 9, Timeout: time.Second})
	g.wantSend()
}

// What is told to a process that stood still may be as old as its absence: nothing of the grace is left.
func TestDrainToldWhileAway(t *testing.T) {
	for _, lost := range []time.Duration{0, 3 * time.Second} {
		g := newRig(t, base())
		g.at(5*time.Second, ProcessPaused{Total: lost}, ListUpdate{Kind: ListDelta, Entries: []Member{{Host: "p", Status: Draining}}})
		if g.ask("w", fragile); lost > 0 {
			g.wantSend()
		} else {
			g.wantSend("p")
		}
	}
}

func TestFullListDropsTheUnlisted(t *testing.T) {
	g := newRig(t, base())
	g.at(0, ListUpdate{Kind: ListFull, Entries: []Member{{Host: "p"}, {Host: "a"}}})
	for _, id := range []RequestID{"1", "2", "3"} {
		g.ask(id, loose)
		g.wantSend("a")
	}
}

// Rule: a cold host is not pushed over.
func TestColdHostGetsItsShare(t *testing.T) {
	g := newRig(t, base())
	g.at(0, ListUpdate{Kind: ListDelta, Entries: []Member{{Host: "b", StartedAt: g.now}}})
	n := map[HostID]int{}
	type sent struct {
		id RequestID
		h  HostID
	}
	var out []sent
	for i := range 500 {
		id := RequestID(rune(i + 1000))
		g.at(10*ms).ask(id, loose)
		for _, h := range g.sends() {
			n[h]++
			out = append(out, sent{id, h})
		}
		if len(out) > 4 {
			g.at(0, Result{Request: out[0].id, Host: out[0].h, Outcome: OK, Finished: true, Latency: 60 * ms, Role: Replica})
			out = out[1:]
		}
	}
	if n["b"] == 0 || n["b"] > n["a"]*4/10 {
		t.Errorf("sends %v: want some to b, well under its equal share", n)
	}
}

// Rule: no stale read, at each send.
func TestStaleBound(t *testing.T) {
	tests := []struct {
		name  string
		lag   time.Duration
		wait  time.Duration
		class int
		want  HostID
	}{
		{"fresh", 100 * ms, 0, recent, "a"},
		{"aged since it was told", 100 * ms, 450 * ms, recent, "p"},
		{"loose takes any", time.Hour, 0, loose, "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newRig(t, base(), Member{Host: "p", Primary: true}, Member{Host: "a"})
			g.report(time.Second, "a", Replica, tt.lag).at(tt.wait).ask("r", tt.class)
			if len(g.sends()) == 0 {
				g.at(100 * ms)
			}
			g.wantSend(tt.want)
		})
	}
}

// A primary that hangs still turns work away, in the name of a primary, while its log
// stands; and an answer of the primary is only known to be as new as its question.
func TestOnlyServedAnswersDateAPrimary(t *testing.T) {
	for _, tt := range []struct {
		name    string
		outcome Outcome
		want    []HostID
	}{{"rejections", AtCapacity, nil}, {"errors", Error, nil}, {"a slow answer", OK, nil}, {"a quick answer", OK, []HostID{"p"}}} {
		t.Run(tt.name, func(t *testing.T) {
			g := newRig(t, base(), Member{Host: "p", Primary: true}, Member{Host: "a"}).ask("x", latest)
			after := 10 * ms
			if tt.name == "a slow answer" {
				after = 490 * ms
			}
			g.at(after, Result{Request: "x", Host: "p", Outcome: tt.outcome, Finished: true, Latency: after, Role: Primary})
			g.r.admitShare[true] = 1 // the throttle is another test's
			g.ask("w", fragile).at(10*ms, Result{Request: "w", Host: "p", Outcome: Miss, Role: Replica})
			g.r.admitShare[false], g.r.admitShare[true] = 1, 1
			g.at(10*ms).ask("r", recent)
			g.wantSend(tt.want...)
		})
	}
}

func TestRememberedTokenAsksForItsCommit(t *testing.T) {
	set := base()
	set.TracksSessions = true
	g := newRig(t, set, Member{Host: "p", Primary: true}, Member{Host: "a"})
	g.report(time.Second, "a", Replica, 10*ms)
	g.at(0, Request{ID: "w", Class: fragile, Session: 7, Timeout: time.Second})
	g.at(10*ms, Result{Request: "w", Host: "p", Outcome: OK, Finished: true, Role: Primary, Position: g.now, HasPosition: true})
	g.at(ms, Request{ID: "x", Class: own, Session: 8, Timeout: time.Second})
	g.wantSend("a")
	g.at(0, Request{ID: "r", Class: own, Session: 7, Timeout: time.Second})
	if h := g.sends(); len(h) == 1 && h[0] == "a" {
		t.Error("read sent to a replica not known to hold the session's write")
	}
	g.report(20*ms, "a", Replica, 0)
	g.wantSend("a")
}

// Repeats of failed attempts are bounded where the fleet says so.
func TestRepeatsAreBounded(t *testing.T) {
	for _, share := range []float64{0, 0.1} {
		g := newRig(t, base())
		g.at(ms, RetryBudget{Share: share})
		sent, refused := 0, 0
		for i := range 100 {
			id := RequestID(strconv.Itoa(i))
			g.at(50*ms, Request{ID: id, Class: loose, Timeout: time.Second})
			for n := 0; ; n++ {
				var host HostID
				for _, a := range g.got {
					if s, ok := a.(Send); ok && s.Request == id {
						host = s.Host
					}
				}
				if host == "" {
					break
				}
				sent++
				g.at(ms, Result{Request: id, Attempt: n, Host: host, Outcome: ConnectFailed})
			}
			r, f := g.final(id)
			if r == 0 { // it waits for a member
				r, f = g.at(1200 * ms).final(id)
			}
			refused += r
			require.Zero(t, f)
		}
		require.Equal(t, 100, refused, "each has its answer")
		if share > 0 {
			assert.LessOrEqual(t, sent, 100+10+3)
			assert.Greater(t, sent, 105)
		} else {
			assert.Greater(t, sent, 150)
		}
	}
}

// What discovery tells binds within 6 s, heard or not: after any loss a router asks again within less than half of that,
// however large its fleet is. Only a crowd that has turned it away several times makes it ask more rarely.
func TestListIsAskedForInTimeInAnyFleet(t *testing.T) {
	for _, routers := range []int{1, 8, 25, 300, 3000} {
		set := base()
		set.ListSource, set.Routers, set.MaxListAge = ListFromService, routers, 10*time.Second
		// waits is how long the router takes to ask again after the last of some failures.
		waits := func(seed int64, kinds ...ListKind) (d time.Duration) {
			r, err := New(set, seed)
			require.NoError(t, err)
			now := time.Duration(0)
			asked := func(events ...Event) bool {
				return slices.ContainsFunc(r.Step(now, events), func(a Action) bool { _, ok := a.(Subscribe); return ok })
			}
			for !asked() { // the first call of all
				now += 20 * ms
			}
			for _, kind := range kinds {
				from := now
				for again := asked(ListUpdate{Kind: kind}); !again; again = asked() {
					now += 20 * ms
					require.Less(t, now-from, time.Minute)
				}
				d = now - from
			}
			return d
		}
		long := 0
		for seed := range int64(40) {
			for _, kinds := range [][]ListKind{{ListFailed}, slices.Repeat([]ListKind{ListFailed}, 9), slices.Repeat([]ListKind{ListQueueTimeout}, 4)} {
				require.LessOrEqual(t, waits(seed, kinds...), 2520*ms, "%d routers, seed %d, %d failures", routers, seed, len(kinds))
			}
			if waits(seed, slices.Repeat([]ListKind{ListQueueTimeout}, 8)...) > 2520*ms {
				long++
			}
		}
		if routers <= 25 {
			assert.Zero(t, long, "%d routers are no crowd", routers)
		} else {
			assert.Greater(t, long, 20, "%d routers", routers)
		}
	}
}

func TestSubscribesAgainAfterFailure(t *testing.T) {
	set := base()
	set.ListSource = ListFromService
	g := newRig(t, set)
	subscribed := func() (n int) {
		for _, a := range g.got {
			if _, ok := a.(Subscribe); ok {
				n++
			}
		}
		return n
	}
	if subscribed() != 1 {
		t.Fatal("no subscription at the start")
	}
	g.at(time.Second, ListUpdate{Kind: ListFailed})
	n := 0
	for range 100 {
		g.at(20 * ms)
		n += subscribed()
	}
	if n != 1 {
		t.Errorf("%d subscriptions after a failure, want 1", n)
	}
}

// Long loose reads sit on one replica.
func TestHeavyReadsStayTogether(t *testing.T) {
	set := base()
	set.Classes[loose].Aim, set.Classes[loose].Deadline = 4*time.Second, 8*time.Second
	g := newRig(t, set)
	for _, id := range []RequestID{"1", "2", "3"} {
		g.ask(id, loose)
		g.wantSend("a")
	}
	g.at(2500 * ms)
	g.wantSend()
}

func TestSettingsThatCannotWork(t *testing.T) {
	tests := []struct {
		name string
		mar  func(*Settings)
	}{
		{"no classes", func(s *Settings) { s.Classes = nil }},
		{"negative time", func(s *Settings) { s.DrainGrace = -1 }},
		{"no aim", func(s *Settings) { s.Classes[0].Aim = 0 }},
	}
	for _, tt := range tests {
		set := base()
		tt.mar(&set)
		if _, err := New(set, 1); err == nil || err.Error() == "" {
			t.Errorf("%s: no error", tt.name)
		}
	}
}

// All routers choose the same member for heavy reads: one from each at once is
// more than a host that has just started can take.
func TestHeavyReadsSpareColdHosts(t *testing.T) {
	set := base()
	set.Classes[loose].Aim, set.Classes[loose].Deadline = 4*time.Second, 8*time.Second
	g := newRig(t, set)
	g.at(0, ListUpdate{Kind: ListDelta, Entries: []Member{{Host: "a", StartedAt: g.now}}}).ask("r", loose)
	g.wantSend("b")
}

// A read sent late in its aim times out early; that is no failure of the primary.
func TestShortTimeoutsDoNotTrip(t *testing.T) {
	g := newRig(t, base())
	for i := range breakerThreshold {
		id := RequestID(rune('A' + i))
		g.ask(id, latest).at(50*ms, Result{Request: id, Host: "p", Outcome: Timeout, Latency: 50 * ms, Finished: true})
	}
	g.ask("w", fragile)
	g.wantSend("p")
}

// world plays random legal events to one router and checks the rules on every
// action: late, repeated and out of order results, list changes, restarts of
// hosts, failed calls.
type world struct {
	t        *testing.T
	rnd      *rand.Rand
	set      Settings
	r        *Router
	now      time.Duration
	hosts    []HostID
	status   map[HostID]Status
	told     map[HostID]time.Duration
	started  map[HostID]time.Duration
	listed   map[HostID]bool
	pos      map[HostID]time.Duration
	replica  map[HostID]bool
	requests map[RequestID]*asked
	ids      []RequestID
	trace    []Action
}

type asked struct {
	class    int
	group    GroupID
	need     time.Duration
	deadline time.Duration
	finals   int
	over     bool
	sentAt   []time.Duration
	hosts    []HostID
	open     []bool
	mayRun   bool
	firstRun time.Duration
}

func groupOf(h HostID) GroupID { return GroupID(h[0] - '0') }

func (w *world) members() []Member {
	var list []Member
	for i, h := range w.hosts {
		list = append(list, Member{Host: h, Group: groupOf(h), Zone: i % 2, Status: w.status[h],
			Primary: i%3 == 0, StartedAt: w.started[h]})
		w.listed[h] = true
	}
	return list
}

// event makes one random event; ok is false if this draw has none to offer.
func (w *world) event(i int) (Event, bool) {
	h := w.hosts[w.rnd.IntN(len(w.hosts))]
	switch k := w.rnd.IntN(20); {
	case k < 8:
		id := RequestID(string(rune('a'+i%26)) + string(rune(i+256)))
		c := w.rnd.IntN(len(w.set.Classes))
		q := Request{ID: id, Class: c, Group: groupOf(h), Session: SessionID(w.rnd.IntN(4)),
			Timeout: w.set.Classes[c].Deadline * time.Duration(40+w.rnd.IntN(61)) / 100}
		a := &asked{class: c, group: q.Group, deadline: w.now + q.Timeout}
		if w.set.Classes[c].Level == OwnWrites && w.rnd.IntN(2) == 0 {
			q.LastCommitAge = time.Duration(1+w.rnd.IntN(500)) * ms
			a.need = w.now - q.LastCommitAge
		}
		w.requests[id], w.ids = a, append(w.ids, id)
		return q, true
	case k < 15 && len(w.ids) > 0:
		id := w.ids[w.rnd.IntN(len(w.ids))]
		a := w.requests[id]
		if len(a.hosts) == 0 {
			return nil, false
		}
		n := w.rnd.IntN(len(a.hosts))
		return w.result(id, a, n), true
	case k < 18:
		w.pos[h] = max(w.pos[h], w.now-time.Duration(w.rnd.IntN(1500))*ms)
		e := ProbeResult{Host: h, Outcome: Outcome(w.rnd.IntN(3) * 3 % 5)}
		if e.Outcome == OK {
			e.Report = Report{HasPosition: true, Position: w.pos[h], Role: Replica}
			if w.rnd.IntN(8) == 0 {
				w.pos[h], w.replica[h] = w.now, false
				e.Report.Position, e.Report.Role = w.now, Primary
			}
		}
		return e, true
	case k == 18:
		return RequestAbandoned{Request: "nobody"}, true
	}
	switch w.rnd.IntN(3) {
	case 0:
		return ListUpdate{Kind: ListFailed}, true
	case 1:
		w.started[h] = w.now
	default:
		w.status[h] = Status(w.rnd.IntN(3))
	}
	if w.status[h] == Healthy {
		delete(w.told, h)
	} else if _, ok := w.told[h]; !ok {
		w.told[h] = w.now
	}
	return ListUpdate{Kind: ListDelta, Entries: []Member{{Host: h, Group: groupOf(h), Status: w.status[h], StartedAt: w.started[h]}}}, true
}

// result ends attempt n of a request; now and then it is one that ended before.
func (w *world) result(id RequestID, a *asked, n int) Event {
	e := Result{Request: id, Attempt: n, Host: a.hosts[n], Latency: w.now - a.sentAt[n], Finished: a.over}
	if !a.open[n] {
		return e
	}
	a.open[n] = false
	e.Outcome = Outcome(w.rnd.IntN(int(Miss) + 1))
	switch e.Outcome {
	case OK:
		e.Finished, a.over = true, true
		e.Role = Primary
	case Error, Timeout, Reset, Cancelled:
		a.mayRun = true
	case Miss:
		e.Role = Replica
		w.replica[e.Host] = true
	}
	if e.Outcome != OK && !slices.Contains(a.open, true) && !a.mayRun {
		a.firstRun = 0
	}
	if e.Role == Primary {
		w.replica[e.Host], w.pos[e.Host] = false, w.now
	}
	return e
}

func (w *world) check(act Action) {
	switch act := act.(type) {
	case Send:
		a, h := w.requests[act.Request], act.Host
		c := w.set.Classes[a.class]
		if a.over || a.finals > 0 {
			w.t.Fatalf("%v: sent after the end", act)
		}
		if !w.listed[h] || groupOf(h) != a.group {
			w.t.Fatalf("%v: unlisted host or another group", act)
		}
		if told, ok := w.told[h]; ok && w.now-told > w.set.DrainGrace {
			w.t.Fatalf("%v: told of its end %v ago", act, w.now-told)
		}
		live := a.mayRun || slices.Contains(a.open, true)
		if live && (c.RetrySafety == AtMostOnce || c.RetrySafety == DedupGroup && w.now > a.firstRun+c.DedupWindow) {
			w.t.Fatalf("%v: forbidden resend", act)
		}
		need := a.need
		if c.Level == Recent {
			need = w.now - c.Bound
		}
		if w.set.StaleReadMode == StaleReadServe && c.Level != Write && need > 0 && w.pos[h] < need && w.replica[h] {
			w.t.Fatalf("%v: data at %v, needed %v", act, w.pos[h], need)
		}
		if a.firstRun == 0 {
			a.firstRun = w.now
		}
		a.hosts, a.open, a.sentAt = append(a.hosts, h), append(a.open, true), append(a.sentAt, w.now)
	case Refuse:
		a := w.requests[act.Request]
		c := w.set.Classes[a.class]
		if c.RetrySafety != Retryable && (a.mayRun || slices.Contains(a.open, true)) {
			w.t.Fatalf("%v: refused though it may have run", act)
		}
		w.end(act.Request)
	case Fail:
		w.end(act.Request)
	}
}

func (w *world) end(id RequestID) {
	a := w.requests[id]
	a.finals++
	if a.over || a.finals > 1 {
		w.t.Fatalf("%s: a second final answer", id)
	}
}

// hostsOf gives two groups of three, or ten where hundreds of routers share them.
func hostsOf(set Settings) (hosts []HostID) {
	groups := 2
	if set.Routers > 100 {
		groups = 10
	}
	for g := range groups {
		for _, m := range "abc" {
			hosts = append(hosts, HostID([]rune{rune('0' + g), m}))
		}
	}
	return hosts
}

func runWorld(t *testing.T, seed uint64, set Settings) []Action {
	w := &world{t: t, rnd: rand.New(rand.NewPCG(seed, 2)), set: set, now: time.Minute,
		hosts:  hostsOf(set),
		status: map[HostID]Status{}, told: map[HostID]time.Duration{}, started: map[HostID]time.Duration{},
		listed: map[HostID]bool{}, pos: map[HostID]time.Duration{}, replica: map[HostID]bool{},
		requests: map[RequestID]*asked{}}
	r, err := New(set, int64(seed))
	if err != nil {
		t.Fatal(err)
	}
	w.r = r
	// A replica that no list calls primary holds nothing for sure.
	for i, h := range w.hosts {
		w.replica[h] = i%3 != 0
	}
	step := func(events ...Event) {
		acts := append([]Action(nil), r.Step(w.now, events)...)
		for _, a := range acts {
			w.check(a)
		}
		w.trace = append(w.trace, acts...)
	}
	step(ListUpdate{Kind: ListCached, Entries: w.members()})
	for i := range 4000 {
		w.now += time.Duration(w.rnd.IntN(3)) * 5 * ms
		if e, ok := w.event(i); ok {
			// What an event of this step tells of roles binds from the next one.
			step(e)
		}
		step()
	}
	for range 1000 {
		w.now += 5 * ms
		step()
	}
	for id, a := range w.requests {
		if !a.over && a.finals != 1 {
			t.Fatalf("%s: %d final answers", id, a.finals)
		}
	}
	return w.trace
}

func TestRandomEventsKeepTheRules(t *testing.T) {
	for seed := range uint64(40) {
		set := base()
		set.ListSource = ListSource(seed % 2)
		set.StaleReadMode = StaleReadMode(seed % 3)
		if seed%5 == 0 {
			set.ListRole = ListRoleNone
		}
		if seed%4 == 1 {
			set.Routers, set.MaxRetryAfter = 400, 0
		}
		if first, again := runWorld(t, seed, set), runWorld(t, seed, set); !reflect.DeepEqual(first, again) {
			t.Fatalf("seed %d: the same events gave other actions", seed)
		}
	}
}

// crowdOf asks for n writes at once and tells how many were sent and refused.
func (g *rig) crowdOf(n int) (sent, refused int) {
	for i := range n {
		id := RequestID(rune('A' + i))
		g.ask(id, fragile)
		n, _ := g.final(id)
		sent, refused = sent+len(g.sends()), refused+n
	}
	return sent, refused
}

// A process that stood still did not see to what it had sent: the host has its aim of the time that the process was there.
func TestOwnAbsenceIsNotTheHosts(t *testing.T) {
	g := newRig(t, base())
	g.ask("w", fragile).wantSend("p")
	g.at(100 * ms)
	g.at(600*ms, ProcessPaused{Total: 590 * ms})
	if h := g.r.hosts["p"]; h.failures != 0 || h.strain > 0 {
		t.Errorf("%d failures, strain %.2f, by own absence", h.failures, h.strain)
	}
	g.at(380 * ms)
	if h := g.r.hosts["p"]; h.failures != 0 {
		t.Error("a failure before its time")
	}
	g.at(20 * ms)
	if h := g.r.hosts["p"]; h.failures != 1 {
		t.Errorf("%d failures, though the aim has passed", h.failures)
	}
	g.at(0, ProbeResult{Host: "p", Outcome: NotSent})
	if g.r.probeLoss != 0 {
		t.Error("a probe that this process could not see to counts as lost")
	}
}

// Where the primary is strained and has no room, a request is refused at once, not held.
func TestNoRoomRefusesAtOnce(t *testing.T) {
	g := newRig(t, base())
	g.r.hosts["p"].strain = 2 * lowStrain
	if sent, refused := g.crowdOf(20); sent == 0 || refused == 0 || sent+refused != 20 {
		t.Errorf("%d sent, %d refused of 20", sent, refused)
	}
}

// A burst, or a process that read late what had come meanwhile, finds no room at a primary that answers in no time. It
// waits for its turn, but no longer than an eighth of the aim.
func TestBurstIsHeldWhereNothingIsShort(t *testing.T) {
	g := newRig(t, base())
	sent, refused := g.crowdOf(20)
	if sent == 0 || sent == 20 || refused != 0 {
		t.Fatalf("%d sent, %d refused of 20", sent, refused)
	}
	g.at(2*ms, Result{Request: "A", Host: "p", Outcome: OK, Finished: true, Latency: 2 * ms, Role: Primary})
	if len(g.sends()) == 0 {
		t.Error("none goes in the place of the first")
	}
	left := 20 - sent - len(g.sends())
	g.at(500*ms/8 - ms)
	for _, a := range g.got {
		if a, ok := a.(Refuse); ok && a.RetryAfter <= 0 {
			t.Error("a refusal that does not tell when to come back")
		} else if refused++; !ok {
			refused--
		}
	}
	if refused != left {
		t.Errorf("%d of %d refused", refused, left)
	}
}

// Answers that take a large share of the aim shrink what a host is given, to
// less than one attempt at a time: many routers together crowd it.
func TestSlowAnswersShrinkTheLimit(t *testing.T) {
	g := newRig(t, base())
	for i := range 400 {
		id := RequestID(rune(i + 256))
		g.r.admitShare[true] = 1 // the throttle of quiet routers is another test's
		g.at(450*ms).ask(id, fragile)
		if len(g.sends()) == 1 {
			g.at(450*ms, Result{Request: id, Host: "p", Outcome: OK, Finished: true, Latency: 450 * ms, Role: Primary})
		}
	}
	g.r.admitShare[true] = 1
	g.ask("x", fragile).at(450*ms, Result{Request: "x", Host: "p", Outcome: OK, Finished: true, Latency: 450 * ms})
	if h := g.r.hosts["p"]; h.limit >= 1 {
		t.Errorf("limit %v after slow answers", h.limit)
	}
}

// A primary that is full is not asked again at once: that adds load where there
// is no capacity left.
func TestFullPrimaryIsNotAskedAgain(t *testing.T) {
	g := newRig(t, base()).ask("w", fragile).at(ms, Result{Request: "w", Host: "p", Outcome: AtCapacity, Role: Primary})
	g.wantSend()
	g.wantFinal("w", 1, 0)
}

// Where only draining binds, a host that fell out of the list may still be used.
func TestGoneAsAdvice(t *testing.T) {
	set := base()
	set.GoneIsAdvisory = true
	gone := func(h HostID) Event {
		return ListUpdate{Kind: ListDelta, Entries: []Member{{Host: h, Status: Gone}}}
	}
	g := newRig(t, set, Member{Host: "p", Primary: true}, Member{Host: "a"})
	g.at(ms, gone("a")).at(2*time.Second).ask("r", loose)
	g.wantSend("a")
	g.at(ms, ListUpdate{Kind: ListDelta, Entries: []Member{{Host: "a", Status: Draining}}}, gone("a"))
	g.at(2*time.Second).ask("r2", loose)
	g.wantSend("p")
}

// Without roles in the list a router probes first and holds writes meanwhile.
func TestNoRolesProbesFirst(t *testing.T) {
	set := base()
	set.ListRole = ListRoleNone
	g := newRig(t, set).ask("w", fragile)
	g.wantSend()
	g.wantFinal("w", 0, 0)
	g.report(5*ms, "b", Primary, 0)
	g.wantSend("b")
}

// Without probes only requests can tell a role: an open breaker lets one through
// after a while, and a write looks for the primary itself.
func TestWorksWithoutProbes(t *testing.T) {
	set := base()
	set.CanProbe = false
	g := newRig(t, set).failWrites(breakerThreshold, Error).ask("w", fragile)
	g.wantFinal("w", 1, 0)
	g.at(5*suspectProbeInterval).ask("w2", fragile)
	g.wantSend("p")

	set.ListRole = ListRoleNone
	g = newRig(t, set).ask("w", fragile)
	g.wantSend("p")
	g.at(ms, Result{Request: "w", Host: "p", Outcome: Miss, Role: Replica}).ask("w2", fragile)
	g.wantSend("a")
}

// An ageing primary: scattered successes reset the count while most writes time
// out. The breaker stays closed, but the primary is given fewer writes at once.
func TestScatteredSuccessesShrinkTheLimit(t *testing.T) {
	g := newRig(t, base())
	before := g.r.hosts["p"].limit
	sent := 0
	for i := range 120 {
		id := RequestID(rune(i + 256))
		if len(g.ask(id, fragile).sends()) == 0 {
			g.at(500 * ms)
			continue
		}
		if sent++; sent%3 == 0 {
			g.at(100*ms, Result{Request: id, Host: "p", Outcome: OK, Finished: true, Latency: 100 * ms, Role: Primary})
			continue
		}
		g.at(600*ms).at(1400*ms, Result{Request: id, Host: "p", Outcome: Timeout, Finished: true, Latency: 2 * time.Second})
	}
	if h := g.r.hosts["p"]; h.group.breakerOpen || h.limit >= before/2 {
		t.Errorf("open %v, limit %v, was %v", h.group.breakerOpen, h.limit, before)
	}
}

// Some requests fail wherever they run. Each gets two tries and counts once: it
// neither opens the breaker nor takes its members out of use.
func TestRequestThatAlwaysFailsIsNotTheHosts(t *testing.T) {
	g := newRig(t, base())
	for i := range breakerThreshold - 1 {
		id, n := RequestID(rune('A'+i)), 0
		for g.ask(id, keyed); len(g.sends()) > 0; n++ {
			g.at(5*ms, Result{Request: id, Attempt: n, Host: "p", Outcome: Error, Latency: 5 * ms, Role: Primary})
		}
		if n != 2 {
			t.Fatalf("%d tries", n)
		}
		g.wantFinal(id, 0, 1)
	}
	g.at(0, ProbeResult{Host: "p"}).ask("w", fragile)
	g.wantSend("p")

	g = newRig(t, base()).ask("r", loose)
	first := g.sends()[0]
	g.at(5*ms, Result{Request: "r", Host: first, Outcome: Error, Latency: 5 * ms})
	second := g.sends()[0]
	g.at(5*ms, Result{Request: "r", Attempt: 1, Host: second, Outcome: Error, Latency: 5 * ms})
	g.wantFinal("r", 1, 0)
	if f, s := g.r.hosts[first].failures, g.r.hosts[second].failures; first == second || f != 1 || s != 0 {
		t.Errorf("%d failures counted at %s, %d at %s", f, first, s, second)
	}
}

// probed counts the probes of the last step, by host.
func (g *rig) probed() map[HostID]int {
	n := map[HostID]int{}
	for _, a := range g.got {
		if p, ok := a.(Probe); ok {
			n[p.Host]++
		}
	}
	return n
}

// Hundreds of idle routers that probe by the clock load every host. Probes
// follow the router's own requests, yet reach every member in the end.
func TestProbesFollowRequests(t *testing.T) {
	var list []Member
	for i := range 30 {
		list = append(list, Member{Host: HostID(rune('A' + i)), Group: GroupID(i / 3), Primary: i%3 == 0})
	}
	g := newRig(t, base(), list...)
	seen, probes := map[HostID]int{}, 0
	for range 600 {
		g.at(100 * ms)
		probes += len(g.probed())
	}
	if probes > 0 {
		t.Errorf("%d probes without a request", probes)
	}
	const n = 1200
	for i := range n {
		id := RequestID(rune(i + 256))
		g.at(10*ms, Request{ID: id, Class: loose, Timeout: time.Second})
		asked := g.probed()
		for _, h := range g.sends() {
			g.at(0, Result{Request: id, Host: h, Outcome: OK, Finished: true, Latency: 10 * ms})
		}
		for h := range asked {
			probes++
			seen[h]++
			g.at(0, ProbeResult{Host: h, Report: Report{Role: Replica}})
		}
	}
	if len(seen) != len(list) || float64(probes) > 1.1*n*probeShare {
		t.Errorf("%d probes of %d members for %d requests", probes, len(seen), n)
	}
}

// Hosts may serve while probes fail: failed probes alone open no breaker.
func TestFailedProbesAloneDoNotTrip(t *testing.T) {
	g := newRig(t, base())
	for range 3 * breakerThreshold {
		g.at(300*ms, ProbeResult{Host: "p", Outcome: Timeout})
	}
	g.ask("w", fragile)
	g.wantSend("p")
}

// A quiet router sees few failures in a row: the first brings quick probes that
// reach the count before its next write.
func TestFirstFailurePromptsProbes(t *testing.T) {
	g := newRig(t, base()).failWrites(1, ConnectFailed)
	for range 100 {
		lost := g.probed()["p"] > 0
		g.at(20 * ms)
		if lost {
			g.at(0, ProbeResult{Host: "p", Outcome: ConnectFailed})
		}
	}
	if !g.r.groups[0].breakerOpen {
		t.Fatal("closed after 2 s")
	}
	g.ask("w", fragile)
	g.wantFinal("w", 1, 0)
}

// fleet is many routers over one group; each host answers in the warm time all it
// is sent. Clients leave soon and ask again at once, as often as they are let down.
type fleet struct {
	t       *testing.T
	rnd     *rand.Rand
	set     Settings
	now     time.Duration
	routers []*Router
	weight  []float64 // of a router's traffic, added up
	id      int
	write   time.Duration // the answer time of a write
	sent    map[HostID][]time.Duration
}

func newFleet(t *testing.T, set Settings, n int, uneven bool) *fleet {
	f := &fleet{t: t, rnd: rand.New(rand.NewPCG(uint64(n), 3)), set: set, now: 100 * time.Second,
		sent: map[HostID][]time.Duration{}}
	sum := 0.0
	for i := range n {
		f.set.Routers = n
		r, err := New(f.set, int64(i))
		if err != nil {
			t.Fatal(err)
		}
		f.routers = append(f.routers, r)
		if sum++; uneven {
			sum += float64(n)/float64(i+1) - 1
		}
		f.weight = append(f.weight, sum)
	}
	return f
}

func (f *fleet) list(list ...Member) {
	for _, r := range f.routers {
		r.Step(f.now, []Event{ListUpdate{Kind: ListFull, Entries: list}})
	}
}

// ask brings one request to a router by its weight and ends it within this call:
// answered at once if ok, else left alone by the client a while later.
func (f *fleet) ask(class int, ok bool) {
	i, _ := slices.BinarySearch(f.weight, f.rnd.Float64()*f.weight[len(f.weight)-1])
	f.id++
	r, id := f.routers[i], RequestID(rune(f.id+256))
	held, at := true, f.now
	note := func(acts []Action) {
		for _, a := range append([]Action(nil), acts...) {
			switch a := a.(type) {
			case Send:
				f.sent[a.Host] = append(f.sent[a.Host], at)
				held = false
				e := Result{Request: id, Host: a.Host, Outcome: OK, Finished: true, Latency: 60 * ms}
				if class == fragile {
					e.Latency = f.write
				}
				if !ok {
					r.Step(at, []Event{RequestAbandoned{Request: id}})
					e.Outcome, e.Latency = Cancelled, 20*ms
				}
				r.Step(at, []Event{e})
			case Refuse, Fail:
				held = false
			}
		}
	}
	note(r.Step(at, []Event{Request{ID: id, Class: class, Timeout: time.Second}}))
	for range 20 { // news of another member has what is held tried again
		if held {
			note(r.Step(at, []Event{ProbeResult{Host: "b"}}))
		}
	}
	r.Step(at, []Event{RequestAbandoned{Request: id}})
}

// Rule: in no FallTime is a cold host sent more than FallMultiple times what it can
// do, here by what the fleet saw a warm one answer: in a surge to twenty times a
// host's capacity with no other member to serve it, by any number of routers, even
// or not, with clients that leave and come back, and requests that are held.
func TestColdHostIsNotPushedOver(t *testing.T) {
	for _, tt := range []struct {
		name    string
		routers int
		uneven  bool
		class   int
		cold    HostID
		write   time.Duration
	}{
		{"reads, one router", 1, false, loose, "a", 60 * ms},
		{"reads, few", 5, false, loose, "a", 60 * ms},
		{"reads, many", 80, false, loose, "a", 60 * ms},
		{"reads, hundreds", 400, false, loose, "a", 60 * ms},
		{"reads, hundreds, uneven", 400, true, loose, "a", 60 * ms},
		{"reads on the primary", 80, false, recent, "p", 60 * ms},
		{"writes, few", 5, true, fragile, "p", 60 * ms},
		{"writes, many", 80, true, fragile, "p", 60 * ms},
		{"writes, hundreds", 400, false, fragile, "p", 60 * ms},
		{"reads, few, writes jammed", 5, false, loose, "a", 450 * ms},
	} {
		t.Run(tt.name, func(t *testing.T) {
			set := base()
			set.StartCapacity, set.OverloadFactor = 0.16, 4
			f := newFleet(t, set, tt.routers, tt.uneven)
			f.write = tt.write
			list := []Member{{Host: "p", Primary: true}, {Host: "a"}, {Host: "b"}}
			f.list(list...)
			const capacity = 100 // of a warm host, a second; all three are full
			for i := range 20 * 3 * capacity {
				f.now += time.Second / 3 / capacity
				f.ask([]int{loose, loose, fragile}[i%3], true)
			}
			start := f.now
			for i := range list {
				if list[i].Status = Draining; list[i].Host == tt.cold {
					list[i].Status, list[i].StartedAt = Healthy, start
				}
			}
			f.list(list...)
			if tt.cold == "p" { // back as what it was
				f.now += ms
				for _, r := range f.routers {
					r.Step(f.now, []Event{ProbeResult{Host: "p", Report: Report{HasPosition: true, Position: f.now, Role: Primary}}})
				}
			}
			f.sent = map[HostID][]time.Duration{}
			for range 8 * 20 * capacity {
				f.now += time.Second / 20 / capacity
				f.ask(tt.class, false)
			}
			sent, most := f.sent[tt.cold], 0.0
			for i, at := range sent {
				n := 0
				for n < len(sent)-i && sent[i+n] < at+set.OverloadWindow {
					n++
				}
				warm := 0.16 + 0.84*(at-start).Seconds()/set.SlowStartTime.Seconds()
				most = max(most, float64(n)/(warm*set.OverloadFactor*capacity*set.OverloadWindow.Seconds()))
			}
			if len(sent) < 50 || most > 0.7 {
				t.Errorf("%d sent, at worst %.2f of the limit", len(sent), most)
			}
		})
	}
}

// A router just started has seen nothing answered: it sends a cold host nothing
// before it has, whoever may be the primary and though no probe is allowed.
func TestFreshRouterSparesColdHosts(t *testing.T) {
	for _, class := range []int{loose, recent, latest, keyed} {
		set := base()
		set.CanProbe, set.ListRole = false, ListRoleNone
		g := newRig(t, set, Member{Host: "a", StartedAt: 99 * time.Second}, Member{Host: "b", StartedAt: 99 * time.Second})
		g.at(500*ms).ask("q", class)
		g.wantSend()
	}
}

// Hundreds of routers that look for a primary probe a cold member too: that is
// work, so each asks it once in a FallTime.
func TestSeekingSparesColdHosts(t *testing.T) {
	g := newRig(t, base())
	g.at(ms, ListUpdate{Kind: ListDelta, Entries: []Member{{Host: "a", StartedAt: g.now}}})
	g.failWrites(breakerThreshold, Error)
	n := map[HostID]int{}
	for range 30 {
		for h := range g.probed() {
			n[h]++
			g.at(0, ProbeResult{Host: h, Report: Report{Role: Replica}})
		}
		g.at(100 * ms)
	}
	if n["a"] == 0 || n["a"] > 4 || n["b"] < 7 {
		t.Errorf("probes in 3 s: %v", n)
	}
}

// Hundreds of quiet routers share a shortage that none of them can learn host by
// host: rejections and late answers of all hosts cut what is sent at all, refusals
// come at once, and answers in time bring it back.
func TestQuietRouterThrottlesByAllAnswers(t *testing.T) {
	var list []Member
	for i := range 30 {
		list = append(list, Member{Host: HostID(rune('A' + i)), Group: GroupID(i / 3), Primary: i%3 == 0})
	}
	g := newRig(t, base(), list...)
	id := 256
	play := func(o Outcome, latency time.Duration) (sent, refused int) {
		for range 60 {
			id++
			q := RequestID(rune(id))
			g.at(200*ms, Request{ID: q, Class: loose, Group: GroupID(id % 10), Timeout: 2 * time.Second})
			n, _ := g.final(q)
			refused += n
			for _, h := range g.sends() {
				sent++
				g.at(latency, Result{Request: q, Host: h, Outcome: o, Finished: o == OK, Latency: latency})
			}
		}
		return sent, refused
	}
	if _, refused := play(OK, 50*ms); refused > 0 {
		t.Errorf("%d refused while all answers are in time", refused)
	}
	play(AtCapacity, ms)
	if p := g.r.admitShare[false]; p > 0.2 {
		t.Errorf("share %v after rejections", p)
	}
	play(OK, 50*ms)
	play(OK, 50*ms)
	if p := g.r.admitShare[false]; p < 0.9 {
		t.Errorf("share %v after answers in time again", p)
	}
}

// Idle connections of hundreds of quiet routers fill the hosts' tables, until
// others find no room: a router hangs up where it is heard of rarely, and only there.
func TestQuietRouterHangsUp(t *testing.T) {
	for _, tt := range []struct {
		every time.Duration
		want  bool
	}{{5 * time.Second, true}, {20 * ms, false}} {
		g := newRig(t, base(), Member{Host: "p", Primary: true}, Member{Host: "a"})
		hung := false
		for i := range 100 {
			id := RequestID(rune(i + 256))
			g.at(tt.every)
			hung = hung || slices.Contains(g.got, Action(CloseIdleConnections{Host: "a"}))
			g.ask(id, loose).wantSend("a")
			g.at(10*ms, Result{Request: id, Host: "a", Outcome: OK, Finished: true, Latency: 10 * ms})
			if slices.Contains(g.got, Action(CloseIdleConnections{Host: "a"})) {
				t.Fatal("hung up at once: the next request pays for a new connection")
			}
		}
		if hung != tt.want {
			t.Errorf("a request each %v: hung up %v, want %v", tt.every, hung, tt.want)
		}
	}
}

// In a shortage what is worth least for its time is shed first.
func TestThrottleShedsLeastWorthFirst(t *testing.T) {
	set := base()
	set.Classes[loose].Worth, set.Classes[recent].Worth = 6, 1
	g := newRig(t, set)
	g.r.admitShare[false], g.r.admitShare[true] = 0.5, 0.5
	n := map[int]int{}
	for i := range 400 {
		id, c := RequestID(rune(i+256)), i%2 // loose or recent
		g.r.admitShare[false], g.r.admitShare[true] = 0.5, 0.5
		g.report(5*time.Second, "a", Replica, 0).ask(id, c)
		for _, h := range g.sends() {
			n[c]++
			g.at(0, Result{Request: id, Host: h, Outcome: OK, Finished: true, Latency: ms})
		}
	}
	if n[recent] == 0 || n[loose] < 2*n[recent] {
		t.Errorf("sent by class: %v", n)
	}
}

// Where a host's limit is short, what is worth more for its time gets more of it, and
// writes count only where writes go.
func TestLimitIsSharedByWorth(t *testing.T) {
	set := base()
	set.Classes[loose].Worth, set.Classes[own].Worth = 1, 4
	set.Classes[latest].Worth, set.Classes[keyed].Worth = 4, 16
	room := func(class int) (n int) {
		g := newRig(t, set, Member{Host: "p", Primary: true}, Member{Host: "a"})
		for _, h := range g.r.hostOrder {
			h.limit, h.resultInterval = 8, time.Millisecond
		}
		g.r.admitShare[true] = 0.99 // nothing spills
		for i := range 20 {
			n += len(g.ask(RequestID(rune(i+256)), class).sends())
		}
		return n
	}
	for class, want := range map[int]int{own: 8, loose: 4, keyed: 8, latest: 4} {
		if n := room(class); n != want {
			t.Errorf("class %d: %d of a limit of 8, want %d", class, n, want)
		}
	}
}

// Long reads and lag can crowd the replicas while the primaries have room: what
// the replicas do not admit goes there, but only as long as primaries admit all.
func TestCrowdedReplicasSpillToPrimary(t *testing.T) {
	for _, tt := range []struct {
		primaries float64
		want      HostID
	}{{1, "p"}, {0.99, ""}} {
		g := newRig(t, base())
		got := map[HostID]int{}
		refused := 0
		for i := range 40 {
			id := RequestID(rune(i + 256))
			g.r.admitShare[false], g.r.admitShare[true] = minAdmitShare, tt.primaries
			g.at(5*time.Second).ask(id, loose)
			n, _ := g.final(id)
			refused += n
			for _, h := range g.sends() {
				got[h]++
				g.at(ms, Result{Request: id, Host: h, Outcome: OK, Finished: true, Latency: ms})
			}
		}
		if spilt := got["p"] > 30; spilt != (tt.want == "p") || !spilt && (got["p"] > 0 || refused < 30) {
			t.Errorf("primaries admit %v: sent %v, refused %d", tt.primaries, got, refused)
		}
	}
}

// Hosts serve while their probes fail: after one failed request the failed probes
// do not open the breaker where those of healthy hosts fail as well, and an open
// one lets a request through, as no probe can close it.
func TestLostProbesDoNotTripOrHoldOpen(t *testing.T) {
	g := newRig(t, base())
	for range 20 {
		g.at(300*ms, ProbeResult{Host: "a", Outcome: Timeout}, ProbeResult{Host: "p", Outcome: Timeout})
	}
	g.failWrites(1, Error)
	for range 3 * breakerThreshold {
		g.at(250*ms, ProbeResult{Host: "p", Outcome: Timeout})
	}
	g.ask("w", fragile)
	g.wantSend("p")
	g.failWrites(breakerThreshold-1, Error).ask("w2", fragile)
	g.wantSend()
	g.at(5*suspectProbeInterval).ask("w3", fragile)
	g.wantSend("p")
}

// Long reads would delay the writes of a primary: they do not spill there.
func TestHeavyReadsDoNotSpill(t *testing.T) {
	set := base()
	set.Classes[loose].Aim, set.Classes[loose].Deadline = 4*time.Second, 8*time.Second
	g := newRig(t, set)
	refused := 0
	for i := range 40 {
		id := RequestID(rune(i + 256))
		g.r.admitShare[false] = minAdmitShare
		g.at(5*time.Second).ask(id, loose)
		n, _ := g.final(id)
		refused += n
		for _, h := range g.sends() {
			if h == "p" {
				t.Fatal("a long read sent to the primary")
			}
			g.at(ms, Result{Request: id, Host: h, Outcome: OK, Finished: true, Latency: time.Second})
		}
	}
	if refused < 20 {
		t.Errorf("%d refused of 40", refused)
	}
}

// A step touches only the hosts and groups that its events concern: all others
// are taken away from under the router, so that any look at one would panic.
func TestStepLeavesOtherGroupsAlone(t *testing.T) {
	var list []Member
	for i := range 300 {
		list = append(list, Member{Host: HostID(rune(i + 256)), Group: GroupID(i / 3), Primary: i%3 == 0})
	}
	g := newRig(t, base(), list...)
	for id := range g.r.groups {
		if id != 0 {
			g.r.groups[id] = nil
		}
	}
	for i, h := range g.r.hostOrder {
		if h.group != g.r.groups[0] {
			g.r.hostOrder[i], g.r.hosts[h.id] = nil, nil
		}
	}
	answered := 0
	for i := range 15 { // the 20th request's probe goes around all members
		id := RequestID(rune(i + 256))
		g.at(100*ms, Request{ID: id, Class: i % 6, Timeout: time.Second})
		for _, h := range g.sends() {
			answered++
			g.at(10*ms, Result{Request: id, Host: h, Outcome: Outcome(i % 3), Latency: 10 * ms},
				ProbeResult{Host: h, Outcome: Timeout})
		}
	}
	if g.at(10 * time.Second); answered < 5 {
		t.Errorf("only %d of 15 requests sent", answered)
	}
}

// Bad input changes nothing: hosts never heard of, results of no request, tenants
// and classes out of range, a report without fields.
func TestBadInputIsIgnored(t *testing.T) {
	g := newRig(t, base())
	g.at(ms, ProbeResult{Host: "nobody"}, Result{Request: "none", Host: "nobody"}, Result{Request: "none", Host: "p"},
		RequestAbandoned{Request: "none"}, Request{ID: "c", Class: 99}, Request{ID: "d", Class: -1}, TimerFired{ID: 77},
		ProbeResult{Host: "p", Report: Report{}}, ListUpdate{Kind: ListDelta})
	g.ask("w", fragile)
	g.wantSend("p")
	g.at(ms, Result{Request: "w", Attempt: 5, Host: "p", Outcome: Error}, Result{Request: "w", Attempt: -1, Host: "p"})
	g.wantFinal("w", 0, 0)
}

// Clients refused together do not come back together.
func TestRetryAfterIsSpread(t *testing.T) {
	set := base()
	set.MaxRetryAfter = 200 * ms // a cap must not bring them back in step
	g := newRig(t, set).failWrites(breakerThreshold, Error)
	waits := map[time.Duration]bool{}
	for i := range 20 {
		g.ask(RequestID(rune(i+256)), fragile)
		for _, a := range g.got {
			if a, ok := a.(Refuse); ok {
				waits[a.RetryAfter] = true
				if a.RetryAfter <= 0 || a.RetryAfter > g.r.settings.MaxRetryAfter {
					t.Errorf("retry-after %v", a.RetryAfter)
				}
			}
		}
	}
	if len(waits) < 15 {
		t.Errorf("%d different waits for 20 refusals", len(waits))
	}
}

// A long day replaces every host: who has left is probed no more, is passed over for the
// next in turn, and goes from memory once nothing of it is out.
func TestHostsThatLeftAreForgotten(t *testing.T) {
	g := newRig(t, base())
	for i := range 50 {
		next := HostID(rune('A' + i))
		g.at(2*time.Second, ListUpdate{Kind: ListFull, Entries: []Member{{Host: "p", Primary: true}, {Host: next}}})
		seen := 0
		for n := range 200 {
			id := RequestID(rune(1000*i + n + 256))
			g.at(10*ms, Request{ID: id, Class: loose, Timeout: time.Second})
			asked := g.probed()
			for _, h := range g.sends() {
				g.at(0, Result{Request: id, Host: h, Outcome: OK, Finished: true, Latency: ms})
			}
			seen += asked[next]
			for h := range asked {
				g.at(0, ProbeResult{Host: h, Report: Report{Role: Replica}})
			}
		}
		if seen == 0 {
			t.Fatalf("%s was probed %d times beside %d hosts that left", next, seen, i)
		}
	}
	g.at(stateExpiryInterval, TimerFired{}).at(stateExpiryInterval, TimerFired{})
	if len(g.r.hosts) > 3 || len(g.r.hostOrder) > 3 || len(g.r.groups[0].hosts) > 3 {
		t.Errorf("%d hosts are kept", len(g.r.hosts))
	}
}

// A read waits for fresher positions only where probes tell any.
func TestReadDoesNotWaitForMuteProbes(t *testing.T) {
	for _, mute := range []bool{false, true} {
		g := newRig(t, base())
		for _, h := range []HostID{"a", "b"} {
			g.report(0, h, Replica, 0)
			if mute {
				g.at(0, ProbeResult{Host: h}) // it runs: that is all
			}
		}
		g.at(2*time.Second).ask("q", recent)
		if sent := len(g.sends()) > 0; sent != mute {
			t.Errorf("probes tell nothing: %t, sent at once: %t", mute, sent)
		}
	}
}
