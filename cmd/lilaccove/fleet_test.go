package main

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
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
	if testing.Short() {
		t.Skip("several processes and real time")
	}
	pl, err := plan.Parse("party", fmt.Appendf(nil, partyPlan, n))
	require.NoError(t, err)
	arrivals, err := plan.Schedule(pl)
	require.NoError(t, err)
	p := &party{t: t, n: n, Lab: &lab.Lab{
		Plan: pl, Arrivals: arrivals, Gateway: []string{os.Args[0]}, Env: []string{"LILACCOVE_RUN=1"}, Twins: twins,
	}}
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
	p.agree(n, p.all()...)
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
		for _, e := range p.Node(i).Events() {
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
	p.eventually("the front leaves it", func() bool { return p.Front().Admitted() == 4 })
	_, err := p.Start(2)
	require.NoError(t, err)
	p.agree(5, p.all()...)
	p.judge(0.7)
}

// A process that stood still is declared dead, refutes that when it goes on, and declares nobody else dead.
func TestFleetMembershipStop(t *testing.T) {
	p := newParty(t, 5)
	require.NoError(t, p.Node(1).Stop())
	time.Sleep(3 * time.Second) // the fault itself
	require.NoError(t, p.Node(1).Continue())
	p.eventually("it refutes", func() bool { return p.figure(1, "fleet_refutations") > 0 })
	p.agree(5, p.all()...)
	assert.Subset(t, []string{"n1"}, p.dead(p.all()...))
	assert.Empty(t, p.dead(1), "who stood still blames itself")
	assert.Positive(t, p.figure(1, "fleet_pauses"))
	p.judge(0.7)
}

func TestFleetMembershipOneWay(t *testing.T) {
	p := newParty(t, 5)
	p.Mesh().Cut(0, 1, true)
	p.Mesh().Cut(3, 2, true)
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
		require.NoError(t, p.Node(i).Term())
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
	second, err := p.Twin(0)
	require.NoError(t, err)
	flagged := func(i int) bool {
		r, err := p.Node(i).Fleet()
		return err == nil && len(r.View.Members) == 4 &&
			slices.ContainsFunc(r.View.Members, func(m peer.ReportMember) bool { return m.Name == "n1" && m.Twice })
	}
	p.eventually("each view tells", func() bool { return flagged(0) && flagged(2) && flagged(3) })
	for _, n := range []*lab.Node{first, second} {
		p.eventually("both logs tell", func() bool {
			return slices.ContainsFunc(n.Events(), func(e string) bool { return strings.HasPrefix(e, "fleet_twice ") })
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
	c, err := net.Dial("udp", p.Node(0).Peers.String())
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
		s, err := net.Dial("tcp", p.Node(0).Peers.String())
		require.NoError(t, err)
		defer s.Close()
		_, _ = s.Write([]byte{0xff, 0xff, 0xff, 0xff, 1, 2, 3})
	}
	for i := range 4 {
		for j := range 4 {
			if i != j {
				p.Mesh().Set(i, j, plan.Link{Corrupt: 0.2, Duplicate: 0.3, Reorder: 0.2, Delay: time.Millisecond, Jitter: 5 * time.Millisecond})
			}
		}
	}
	p.eventually("links spoil and double", func() bool {
		n := p.Mesh().Counts()
		return n.Spoilt > 100 && n.Doubled > 100 && n.Late > 100
	})
	for i := range 4 {
		for j := range 4 {
			p.Mesh().Set(i, j, plan.Link{})
		}
	}
	p.agree(4, p.all()...)
	r, err := p.Node(0).Fleet()
	require.NoError(t, err)
	assert.Len(t, r.Known, 3, "nobody came into being by noise")
	p.judge(0.9)
}
