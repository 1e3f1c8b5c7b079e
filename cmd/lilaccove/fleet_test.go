package main

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/lab"
	"lilaccove/internal/load/plan"
	loadrun "lilaccove/internal/load/run"
	"lilaccove/internal/peer"
)

// party is several gateways as processes, with relays between them, under load: what the tests of the fleet break.
type party struct {
	*lab.Lab
	t      *testing.T
	n      int
	report *loadrun.Report
	finish func()
}

// parties bounds how many run at once: each is some processes, with little to do.
var (
	parties = make(chan struct{}, 2)
	alone   sync.RWMutex
)

const partyPlan = `seed: 5
groups: 2
sessions: {count: 200, follow: 30%%, after: 100 ms}
retries: {most: 2, pause: 50 ms}
connections: 20
stall: 20 s
classes:
  browse: {kind: bounded-read, mix: 60%%, aim: 500 ms, deadline: 1200 ms}
  own: {kind: session-read, mix: 20%%, aim: 500 ms, deadline: 1500 ms}
  write: {kind: write, mix: 20%%, aim: 600 ms, deadline: 3 s}
stages: [{shape: constant, rate: 120/s, for: 90 s}]
lab: {gateways: %d, members: 3, cores: 8, service: 2 ms, lag: 5 ms, fleet: true}
`

// newParty starts n gateways and the load, and waits until all have one view.
func newParty(t *testing.T, n int, twins ...int) *party {
	return newPartyOf(t, n, fmt.Sprintf(partyPlan, n), twins...)
}

// newPartyOf is newParty with a plan of its own.
func newPartyOf(t *testing.T, n int, text string, twins ...int) *party {
	return newPartyWith(t, n, text, func(l *lab.Lab) { l.Siblings = twins })
}

// newPartyWith is newPartyOf in a lab that is changed before it opens.
func newPartyWith(t *testing.T, n int, text string, change func(*lab.Lab)) *party {
	if testing.Short() {
		t.Skip("several processes and real time")
	}
	t.Parallel()
	if text == starvedPlan { // what it asks of this process, which plays all databases, leaves no room for others
		alone.Lock()
		t.Cleanup(alone.Unlock)
	} else {
		alone.RLock()
		t.Cleanup(alone.RUnlock)
	}
	parties <- struct{}{}
	t.Cleanup(func() { <-parties })
	pl, err := plan.Parse("party", []byte(text))
	require.NoError(t, err)
	arrivals, err := plan.Schedule(pl)
	require.NoError(t, err)
	p := &party{t: t, n: n, Lab: &lab.Lab{
		Plan: pl, Arrivals: arrivals, Gateway: []string{os.Args[0]}, Env: []string{"LILACCOVE_RUN=1"},
	}}
	if change != nil {
		change(p.Lab)
	}
	logs, err := os.Create(t.TempDir() + "/logs")
	require.NoError(t, err)
	p.Log = logs
	t.Cleanup(func() {
		if t.Failed() {
			text, _ := os.ReadFile(logs.Name())
			t.Logf("%s", text[max(0, len(text)-20_000):])
		}
		logs.Close()
	})
	require.NoError(t, p.Open())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.report, err = p.Run(ctx)
	}()
	ended := false
	p.finish = func() {
		if !ended {
			ended = true
			cancel()
			<-done
		}
	}
	t.Cleanup(func() {
		p.finish()
		p.Close()
	})
	if pl.Lab.Fleet {
		p.agree(n, p.all()...)
	} else {
		p.eventually("all are in the front", func() bool { return p.Balancer().Admitted() == n })
	}
	return p
}

func (p *party) all() (list []int) {
	for i := range p.n {
		list = append(list, i)
	}
	return list
}

func (p *party) but(i ...int) []int {
	return slices.DeleteFunc(p.all(), func(j int) bool { return slices.Contains(i, j) })
}

func (p *party) eventually(what string, ok func() bool) {
	p.t.Helper()
	require.Eventually(p.t, ok, 25*time.Second, 20*time.Millisecond, what)
}

// agree waits until the views of some gateways are equal and of so many members.
func (p *party) agree(members int, list ...int) {
	p.t.Helper()
	p.eventually(fmt.Sprintf("one view of %d members at %v", members, list), func() bool {
		digest := ""
		for _, i := range list {
			r, err := p.Node(i).Fleet()
			if err != nil || len(r.View.Members) != members || digest != "" && r.View.Digest != digest {
				return false
			}
			digest = r.View.Digest
		}
		return true
	})
}

// straggle has the watch of one gateway tell no changes any more, without being silent: the others watch anew.
func (p *party) straggle(one int) {
	p.t.Helper()
	p.World().WithholdChanges()
	for _, i := range p.but(one) {
		require.NoError(p.t, p.Node(i).Terminate())
		_, err := p.Start(i)
		require.NoError(p.t, err)
	}
	p.agree(p.n, p.all()...)
}

// figure is one of a gateway's metrics.
func (p *party) figure(i int, name string) int {
	text, err := p.Node(i).Call("GET", "/v1/metrics")
	require.NoError(p.t, err)
	m := regexp.MustCompile(`(?m)^edge_gw\.` + regexp.QuoteMeta(name) + `=(\d+)$`).FindSubmatch(text)
	require.NotNil(p.t, m, "no figure %s in\n%s", name, text)
	n, _ := strconv.Atoi(string(m[1]))
	return n
}

// dead are the names that gateways have declared dead so far.
func (p *party) dead(list ...int) (names []string) {
	for _, i := range list {
		for _, e := range p.Node(i).FleetEvents() {
			if strings.HasPrefix(e, "fleet_member ") && strings.Contains(e, " state=dead ") {
				names = append(names, strings.TrimPrefix(strings.Fields(e)[1], "name="))
			}
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// judge ends the load: every request has one answer, no write ran twice, no read was too old.
func (p *party) judge(atLeast float64) {
	p.t.Helper()
	p.finish()
	require.NotNil(p.t, p.report)
	assert.Empty(p.t, p.report.Faults)
	c := p.report.Total.Counts
	served := float64(c[loadrun.InAim]+c[loadrun.Late]) / float64(max(1, p.report.Total.Count))
	assert.Greater(p.t, served, atLeast, "%v", c)
	p.t.Logf("served %.3f of %d: %v", served, p.report.Total.Count, c)
}

func TestFleetMembershipKill(t *testing.T) {
	p := newParty(t, 5)
	p.Node(2).Kill()
	p.agree(4, p.but(2)...)
	assert.Equal(t, []string{"n2"}, p.dead(p.but(2)...))
	p.eventually("the front leaves it", func() bool { return p.Balancer().Admitted() == 4 })
	_, err := p.Start(2)
	require.NoError(t, err)
	p.agree(5, p.all()...)
	p.judge(0.7)
}

// A process that stood still is declared dead, refutes that when it goes on, and declares nobody else dead.
func TestFleetMembershipStop(t *testing.T) {
	p := newParty(t, 5)
	require.NoError(t, p.Node(1).Pause())
	time.Sleep(3 * time.Second) // the fault itself
	require.NoError(t, p.Node(1).Resume())
	p.eventually("it refutes", func() bool { return p.figure(1, "fleet_refutations") > 0 })
	p.agree(5, p.all()...)
	assert.Subset(t, []string{"n1"}, p.dead(p.all()...))
	assert.Empty(t, p.dead(1), "who stood still blames itself")
	assert.Positive(t, p.figure(1, "fleet_pauses"))
	p.judge(0.7)
}

func TestFleetMembershipOneWay(t *testing.T) {
	p := newParty(t, 5)
	p.Mesh().SetCut(0, 1, true)
	p.Mesh().SetCut(3, 2, true)
	p.eventually("many probes are lost on the cut links", func() bool { return p.Mesh().Counts().Cut > 30 })
	assert.Empty(t, p.dead(p.all()...), "helpers reach whom a link does not")
	p.agree(5, p.all()...)
	p.judge(0.9)
}

// Each side of a partition goes on and serves; afterwards there is one view again.
func TestFleetMembershipPartition(t *testing.T) {
	p := newParty(t, 5)
	sides := [][]int{{0, 1, 2}, {3, 4}}
	p.Mesh().Partition(sides, true)
	p.agree(3, 0, 1, 2)
	p.agree(2, 3, 4)
	for i := range 5 {
		before := p.figure(i, "passed.browse")
		p.eventually("both sides serve", func() bool { return p.figure(i, "passed.browse") > before })
	}
	p.Mesh().Partition(sides, false)
	p.agree(5, p.all()...)
	p.judge(0.9)
}

// Gateways that end in order are never taken for dead.
func TestFleetMembershipRoll(t *testing.T) {
	p := newParty(t, 5)
	for i := range 5 {
		require.NoError(t, p.Node(i).Terminate())
		p.eventually("its leave is heard", func() bool {
			r, err := p.Node((i + 1) % 5).Fleet()
			return err == nil && !slices.ContainsFunc(r.View.Members, func(m peer.ReportMember) bool { return m.Name == fmt.Sprintf("n%d", i) })
		})
		_, err := p.Start(i)
		require.NoError(t, err)
	}
	p.agree(5, p.all()...)
	assert.Empty(t, p.dead(p.all()...))
	p.judge(0.7)
}

// Seven in ten are killed at once and come back under their names.
func TestFleetMembershipHerd(t *testing.T) {
	p := newParty(t, 10)
	killed := []int{0, 1, 2, 4, 5, 7, 9}
	for _, i := range killed {
		p.Node(i).Kill()
	}
	for _, i := range killed {
		_, err := p.Start(i)
		require.NoError(t, err)
	}
	p.agree(10, p.all()...)
	p.judge(0.5)
}

// Two processes of one name are told in the log of both and in every view; the fleet has one of them.
func TestFleetMembershipNameTwice(t *testing.T) {
	p := newParty(t, 4, 1)
	first := p.Node(1)
	second, err := p.StartSibling(0)
	require.NoError(t, err)
	flagged := func(i int) bool {
		r, err := p.Node(i).Fleet()
		return err == nil && len(r.View.Members) == 4 &&
			slices.ContainsFunc(r.View.Members, func(m peer.ReportMember) bool { return m.Name == "n1" && m.DuplicateName })
	}
	p.eventually("each view tells", func() bool { return flagged(0) && flagged(2) && flagged(3) })
	for _, n := range []*lab.Node{first, second} {
		p.eventually("both logs tell", func() bool {
			return slices.ContainsFunc(n.FleetEvents(), func(e string) bool { return strings.HasPrefix(e, "fleet_twice ") })
		})
	}
	second.Kill()
	p.eventually("the first has its name back", func() bool {
		r, err := first.Fleet()
		return err == nil && r.Member && !flagged(0)
	})
	p.agree(4, p.all()...)
	p.judge(0.9)
}

// Noise of every kind is counted and harms nobody.
func TestFleetMembershipGarbage(t *testing.T) {
	p := newParty(t, 4)
	c, err := net.Dial("udp", p.Node(0).PeerAddr.String())
	require.NoError(t, err)
	defer c.Close()
	rnd := rand.New(rand.NewPCG(1, 2))
	envelope := func(fleet string, version byte, body []byte) []byte {
		b := append([]byte{0x6c, 0x43, version, 1}, binary.BigEndian.AppendUint64(nil, xxhash.Sum64String(fleet))...)
		b = append(b, body...)
		return binary.BigEndian.AppendUint64(b, xxhash.Sum64(b))
	}
	kinds := map[string]func() []byte{
		"garbage":   func() []byte { b := make([]byte, rnd.IntN(1500)); rnd.Uint32(); return b },
		"version":   func() []byte { return envelope("lab", 9, []byte{0xa0}) },
		"foreign":   func() []byte { return envelope("other", 1, []byte{0xa0}) },
		"spoilt":    func() []byte { b := envelope("lab", 1, []byte{0xa0}); b[14] ^= 4; return b },
		"malformed": func() []byte { return envelope("lab", 1, []byte{0xa1, 0x01, 0x18, 0xff}) },
		"large":     func() []byte { return make([]byte, 9000) },
	}
	for kind, make := range kinds {
		p.eventually(kind+" is counted", func() bool {
			_, _ = c.Write(make())
			return p.figure(0, "fleet_dropped."+kind) > 0
		})
	}
	p.eventually("a flood is counted", func() bool {
		for range 2000 {
			_, _ = c.Write(kinds["garbage"]())
		}
		return p.figure(0, "fleet_dropped.rate") > 0
	})
	for range 40 { // connections that say nothing, or nonsense
		s, err := net.Dial("tcp", p.Node(0).PeerAddr.String())
		require.NoError(t, err)
		defer s.Close()
		_, _ = s.Write([]byte{0xff, 0xff, 0xff, 0xff, 1, 2, 3})
	}
	for i := range 4 {
		for j := range 4 {
			if i != j {
				p.Mesh().SetLink(i, j, plan.Link{Corrupt: 0.2, Duplicate: 0.3, Reorder: 0.2, Delay: time.Millisecond, Jitter: 5 * time.Millisecond})
			}
		}
	}
	p.eventually("links spoil and double", func() bool {
		n := p.Mesh().Counts()
		return n.Corrupted > 100 && n.Duplicated > 100 && n.Reordered > 100
	})
	for i := range 4 {
		for j := range 4 {
			p.Mesh().SetLink(i, j, plan.Link{})
		}
	}
	p.agree(4, p.all()...)
	r, err := p.Node(0).Fleet()
	require.NoError(t, err)
	assert.Len(t, r.Known, 3, "nobody came into being by noise")
	p.judge(0.9)
}

// peerSettings allow gateways to talk to each other.
var peerSettings = strings.Replace(testSettings, `{"Cancel"`, `{"Peers":true,"Cancel"`, 1)

// freePort is an address that nobody has at the moment, for UDP and TCP.
func freePort(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	return ln.Addr().String()
}

// Two processes of an upgrade are one member all along; the new one takes over the address when the old one has ended.
func TestFleetMembershipUpgrade(t *testing.T) {
	p := newParty(t, 1)
	peers := p.Node(0).PeerAddr.String()
	listen := freePort(t)
	file := t.TempDir() + "/fleet.yaml"
	require.NoError(t, os.WriteFile(file, fmt.Appendf(nil, "fleet: lab\nlisten: %s\nseeds: [%s]\n", listen, peers), 0o600))
	s := held(t, func(s *site) {
		s.fleet, s.settings = file, strings.Replace(peerSettings, `"Instances":1`, `"Instances":2`, 1)
	})
	member := func() (m peer.ReportMember) {
		r, err := p.Node(0).Fleet()
		require.NoError(t, err)
		for _, x := range r.View.Members {
			if x.Name == "n1" {
				m = x
			}
		}
		return m
	}
	p.eventually("it is a member", func() bool { return member().Addr == listen })
	first := member().Session
	next := s.successor()
	p.eventually("the new process has the name", func() bool {
		m := member()
		require.NotEmpty(t, m.Session, "the name is in the view all along")
		return m.Session != first && m.Addr != listen
	})
	s.eventually("the old one knows", func() bool { return strings.Contains(s.logged(), "event=fleet_superseded") })
	s.term()
	s.exits()
	p.eventually("it moves to the address that is set", func() bool {
		m := member()
		require.NotEmpty(t, m.Session, "the end of the old process takes nobody out")
		return m.Addr == listen
	})
	assert.NotContains(t, s.logged()+next.logged(), "fleet_twice")
	assert.Equal(t, []string{"alive"}, p.states("n1"))
	next.term()
	next.exits()
	p.eventually("it leaves", func() bool { return member().Session == "" })
}

// states are those in which gateway 0 has told of another, one after the other, without repeats.
func (p *party) states(name string) (list []string) {
	for _, e := range p.Node(0).FleetEvents() {
		if strings.HasPrefix(e, "fleet_member name="+name+" ") {
			_, rest, _ := strings.Cut(e, "state=")
			list = append(list, strings.Fields(rest)[0])
		}
	}
	return slices.Compact(list)
}

// Drained by an operator, a gateway is no member; it observes, and comes back with the second call.
func TestFleetMembershipDrain(t *testing.T) {
	p := newParty(t, 4)
	_, err := p.Node(2).Call("PUT", "/v1/gateway/drain")
	require.NoError(t, err)
	p.agree(3, p.all()...)
	_, err = p.Node(2).Call("PUT", "/v1/gateway/activate")
	require.NoError(t, err)
	p.agree(4, p.all()...)
	assert.Empty(t, p.dead(p.all()...))
	p.judge(0.9)
}

// What the settings forbid is refused at the start, with what would do.
func TestFleetFileWhereItIsForbidden(t *testing.T) {
	t.Parallel()
	for want, c := range map[string]struct{ settings, file string }{
		"Allowed.Peers is not true":      {testSettings, "fleet: x\nlisten: 127.0.0.1:0\n"},
		"no such file":                   {peerSettings, ""},
		"fleet.yaml:2:9: listen":         {peerSettings, "fleet: x\nlisten: here\n"},
		"unknown; one of fleet, listen":  {peerSettings, "fleet: x\nlisten: 127.0.0.1:0\nsedes: []\n"},
		"fleet.yaml:1:1: listen: missin": {peerSettings, "fleet: x\n"},
	} {
		dir := t.TempDir()
		s := &site{t: t, settings: c.settings, sockets: 256, memory: 192, listen: "127.0.0.1:0", config: dir + "/config.json"}
		s.configure("127.0.0.1:9", []byte(`{"seq":1,"whole":true,"hosts":[]}`))
		if c.file != "" {
			require.NoError(t, os.WriteFile(dir+"/fleet.yaml", []byte(c.file), 0o600))
		}
		cmd := exec.Command(os.Args[0], "--fleet", dir+"/fleet.yaml")
		cmd.Env = append(os.Environ(), "LILACCOVE_RUN=1", "GW_CONFIG="+s.config)
		out, err := cmd.CombinedOutput()
		assert.Error(t, err)
		assert.Contains(t, string(out), want)
	}
}
