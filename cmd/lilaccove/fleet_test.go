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

// testFleet runs several gateway processes under load, with relays between them that inject network faults.
type testFleet struct {
	*lab.Lab
	t            *testing.T
	gatewayCount int
	report       *loadrun.Report
	finish       func()
}

var (
	fleetSlots = make(chan struct{}, 2) // bounds how many fleets run at once: each has several processes
	exclusive  sync.RWMutex             // held for writing by a test that needs this process for itself
)

const fleetPlan = `seed: 5
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

// newTestFleet starts n gateways and the load, and waits until all have the same view. Of the gateways in siblings a test
// may start a second process under the same name.
func newTestFleet(t *testing.T, n int, siblings ...int) *testFleet {
	return newTestFleetWithPlan(t, n, fmt.Sprintf(fleetPlan, n), siblings...)
}

// newTestFleetWithPlan is newTestFleet with another plan.
func newTestFleetWithPlan(t *testing.T, n int, text string, siblings ...int) *testFleet {
	return newTestFleetWithLab(t, n, text, func(l *lab.Lab) { l.Siblings = siblings })
}

// newTestFleetWithLab is newTestFleetWithPlan with a lab to which configure is applied, unless it is nil, before it opens.
func newTestFleetWithLab(t *testing.T, gatewayCount int, text string, configure func(*lab.Lab)) *testFleet {
	if testing.Short() {
		t.Skip("several processes and real time")
	}
	t.Parallel()
	if text == starvedPlan { // this process simulates all databases, and that plan leaves it no time for other tests
		exclusive.Lock()
		t.Cleanup(exclusive.Unlock)
	} else {
		exclusive.RLock()
		t.Cleanup(exclusive.RUnlock)
	}
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	pl, err := plan.Parse("fleet", []byte(text))
	require.NoError(t, err)
	arrivals, err := plan.Schedule(pl)
	require.NoError(t, err)
	fleet := &testFleet{t: t, gatewayCount: gatewayCount, Lab: &lab.Lab{
		Plan: pl, Arrivals: arrivals, Gateway: []string{os.Args[0]}, Env: []string{"LILACCOVE_RUN=1"},
	}}
	if configure != nil {
		configure(fleet.Lab)
	}
	logs, err := os.Create(t.TempDir() + "/logs")
	require.NoError(t, err)
	fleet.Log = logs
	t.Cleanup(func() {
		if t.Failed() {
			text, _ := os.ReadFile(logs.Name())
			t.Logf("%s", text[max(0, len(text)-20_000):])
		}
		logs.Close()
	})
	require.NoError(t, fleet.Open())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		fleet.report, err = fleet.Run(ctx)
	}()
	finished := false
	fleet.finish = func() {
		if !finished {
			finished = true
			cancel()
			<-done
		}
	}
	t.Cleanup(func() {
		fleet.finish()
		fleet.Close()
	})
	if pl.Lab.Fleet {
		fleet.waitView(gatewayCount, fleet.all()...)
	} else {
		fleet.eventually("the load balancer admits all gateways", func() bool { return fleet.Balancer().Admitted() == gatewayCount })
	}
	return fleet
}

func (fleet *testFleet) all() (gateways []int) {
	for i := range fleet.gatewayCount {
		gateways = append(gateways, i)
	}
	return gateways
}

func (fleet *testFleet) except(excluded ...int) []int {
	return slices.DeleteFunc(fleet.all(), func(j int) bool { return slices.Contains(excluded, j) })
}

func (fleet *testFleet) eventually(what string, ok func() bool) {
	fleet.t.Helper()
	require.Eventually(fleet.t, ok, 25*time.Second, 20*time.Millisecond, what)
}

// waitView waits until the given gateways have the same view, with so many members.
func (fleet *testFleet) waitView(members int, gateways ...int) {
	fleet.t.Helper()
	fleet.eventually(fmt.Sprintf("one view of %d members at %v", members, gateways), func() bool {
		digest := ""
		for _, i := range gateways {
			r, err := fleet.Node(i).Fleet()
			if err != nil || len(r.View.Members) != members || digest != "" && r.View.Digest != digest {
				return false
			}
			digest = r.View.Digest
		}
		return true
	})
}

// makeLagging leaves one gateway with an old list: its watch delivers heartbeats but no changes any more. The other gateways
// are restarted, which gives them new watches that deliver changes.
func (fleet *testFleet) makeLagging(lagging int) {
	fleet.t.Helper()
	fleet.World().WithholdChanges()
	for _, i := range fleet.except(lagging) {
		require.NoError(fleet.t, fleet.Node(i).Terminate())
		_, err := fleet.Start(i)
		require.NoError(fleet.t, err)
	}
	fleet.waitView(fleet.gatewayCount, fleet.all()...)
}

// metric returns the value of one of a gateway's metrics.
func (fleet *testFleet) metric(i int, name string) int {
	text, err := fleet.Node(i).Call("GET", "/v1/metrics")
	require.NoError(fleet.t, err)
	m := regexp.MustCompile(`(?m)^edge_gw\.` + regexp.QuoteMeta(name) + `=(\d+)$`).FindSubmatch(text)
	require.NotNil(fleet.t, m, "no metric %s in\n%s", name, text)
	n, _ := strconv.Atoi(string(m[1]))
	return n
}

// declaredDead returns the names that the given gateways have declared dead so far.
func (fleet *testFleet) declaredDead(gateways ...int) (names []string) {
	for _, i := range gateways {
		for _, e := range fleet.Node(i).FleetEvents() {
			if strings.HasPrefix(e, "fleet_member ") && strings.Contains(e, " state=dead ") {
				names = append(names, strings.TrimPrefix(strings.Fields(e)[1], "name="))
			}
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// finishAndCheck ends the load and checks that every request got one answer, no write ran twice, no read was too old, and more
// than the share minServed of the requests was served.
func (fleet *testFleet) finishAndCheck(minServed float64) {
	fleet.t.Helper()
	fleet.finish()
	require.NotNil(fleet.t, fleet.report)
	assert.Empty(fleet.t, fleet.report.Faults)
	counts := fleet.report.Total.Counts
	served := float64(counts[loadrun.InAim]+counts[loadrun.Late]) / float64(max(1, fleet.report.Total.Count))
	assert.Greater(fleet.t, served, minServed, "%v", counts)
	fleet.t.Logf("served %.3f of %d: %v", served, fleet.report.Total.Count, counts)
}

// A killed gateway leaves every view and the load balancer, no other gateway is declared dead, and it can join again.
func TestFleetMembershipKill(t *testing.T) {
	fleet := newTestFleet(t, 5)
	fleet.Node(2).Kill()
	fleet.waitView(4, fleet.except(2)...)
	assert.Equal(t, []string{"n2"}, fleet.declaredDead(fleet.except(2)...))
	fleet.eventually("the load balancer excludes it", func() bool { return fleet.Balancer().Admitted() == 4 })
	_, err := fleet.Start(2)
	require.NoError(t, err)
	fleet.waitView(5, fleet.all()...)
	fleet.finishAndCheck(0.7)
}

// A process that was paused is declared dead, refutes that when it resumes, and declares no other gateway dead, since
// it missed their answers only because it was paused.
func TestFleetMembershipPause(t *testing.T) {
	fleet := newTestFleet(t, 5)
	require.NoError(t, fleet.Node(1).Pause())
	time.Sleep(3 * time.Second) // the fault itself
	require.NoError(t, fleet.Node(1).Resume())
	fleet.eventually("it refutes its death", func() bool { return fleet.metric(1, "fleet_refutations") > 0 })
	fleet.waitView(5, fleet.all()...)
	assert.Subset(t, []string{"n1"}, fleet.declaredDead(fleet.all()...))
	assert.Empty(t, fleet.declaredDead(1), "a paused gateway declares no others dead")
	assert.Positive(t, fleet.metric(1, "fleet_pauses"))
	fleet.finishAndCheck(0.7)
}

// A link that loses all messages in one direction must not cause a false death: other members probe the member indirectly.
func TestFleetMembershipOneWayLoss(t *testing.T) {
	fleet := newTestFleet(t, 5)
	fleet.Mesh().SetCut(0, 1, true)
	fleet.Mesh().SetCut(3, 2, true)
	fleet.eventually("many probes are lost on the cut links", func() bool { return fleet.Mesh().Counts().Cut > 30 })
	assert.Empty(t, fleet.declaredDead(fleet.all()...), "indirect probes go around the cut links")
	fleet.waitView(5, fleet.all()...)
	fleet.finishAndCheck(0.9)
}

// Each side of a partition has its own view and goes on serving; after the partition there is one view again.
func TestFleetMembershipPartition(t *testing.T) {
	fleet := newTestFleet(t, 5)
	sides := [][]int{{0, 1, 2}, {3, 4}}
	fleet.Mesh().Partition(sides, true)
	fleet.waitView(3, 0, 1, 2)
	fleet.waitView(2, 3, 4)
	for i := range 5 {
		before := fleet.metric(i, "passed.browse")
		fleet.eventually("both sides serve", func() bool { return fleet.metric(i, "passed.browse") > before })
	}
	fleet.Mesh().Partition(sides, false)
	fleet.waitView(5, fleet.all()...)
	fleet.finishAndCheck(0.9)
}

// Gateways that shut down gracefully are never declared dead.
func TestFleetMembershipRollingRestart(t *testing.T) {
	fleet := newTestFleet(t, 5)
	for i := range 5 {
		require.NoError(t, fleet.Node(i).Terminate())
		fleet.eventually("another gateway removes it from its view", func() bool {
			r, err := fleet.Node((i + 1) % 5).Fleet()
			return err == nil && !slices.ContainsFunc(r.View.Members, func(m peer.ReportMember) bool { return m.Name == fmt.Sprintf("n%d", i) })
		})
		_, err := fleet.Start(i)
		require.NoError(t, err)
	}
	fleet.waitView(5, fleet.all()...)
	assert.Empty(t, fleet.declaredDead(fleet.all()...))
	fleet.finishAndCheck(0.7)
}

// Seven of ten gateways are killed at once and start again under the same names; all views agree again.
func TestFleetMembershipMassRestart(t *testing.T) {
	fleet := newTestFleet(t, 10)
	killed := []int{0, 1, 2, 4, 5, 7, 9}
	for _, i := range killed {
		fleet.Node(i).Kill()
	}
	for _, i := range killed {
		_, err := fleet.Start(i)
		require.NoError(t, err)
	}
	fleet.waitView(10, fleet.all()...)
	fleet.finishAndCheck(0.5)
}

// Two processes that run under one name by mistake are reported in the logs of both and in every view; only one of them is a
// member. When the second ends, the first is the member again.
func TestFleetMembershipDuplicateName(t *testing.T) {
	fleet := newTestFleet(t, 4, 1)
	first := fleet.Node(1)
	second, err := fleet.StartSibling(0)
	require.NoError(t, err)
	flagged := func(i int) bool {
		r, err := fleet.Node(i).Fleet()
		return err == nil && len(r.View.Members) == 4 &&
			slices.ContainsFunc(r.View.Members, func(m peer.ReportMember) bool { return m.Name == "n1" && m.DuplicateName })
	}
	fleet.eventually("each view flags the duplicate name", func() bool { return flagged(0) && flagged(2) && flagged(3) })
	for _, n := range []*lab.Node{first, second} {
		fleet.eventually("both logs report it", func() bool {
			return slices.ContainsFunc(n.FleetEvents(), func(e string) bool { return strings.HasPrefix(e, "fleet_twice ") })
		})
	}
	second.Kill()
	fleet.eventually("the first process is the member again", func() bool {
		r, err := first.Fleet()
		return err == nil && r.Member && !flagged(0)
	})
	fleet.waitView(4, fleet.all()...)
	fleet.finishAndCheck(0.9)
}

// Invalid messages of every kind, floods and useless connections are counted and dropped, and change no view.
func TestFleetMembershipMalformedMessages(t *testing.T) {
	fleet := newTestFleet(t, 4)
	conn, err := net.Dial("udp", fleet.Node(0).PeerAddr.String())
	require.NoError(t, err)
	defer conn.Close()
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
	for kind, newMessage := range kinds {
		fleet.eventually(kind+" is counted", func() bool {
			_, _ = conn.Write(newMessage())
			return fleet.metric(0, "fleet_dropped."+kind) > 0
		})
	}
	fleet.eventually("a flood is counted", func() bool {
		for range 2000 {
			_, _ = conn.Write(kinds["garbage"]())
		}
		return fleet.metric(0, "fleet_dropped.rate") > 0
	})
	for range 40 { // connections that send an impossible length and then nothing
		idle, err := net.Dial("tcp", fleet.Node(0).PeerAddr.String())
		require.NoError(t, err)
		defer idle.Close()
		_, _ = idle.Write([]byte{0xff, 0xff, 0xff, 0xff, 1, 2, 3})
	}
	for i := range 4 {
		for j := range 4 {
			if i != j {
				fleet.Mesh().SetLink(i, j, plan.Link{Corrupt: 0.2, Duplicate: 0.3, Reorder: 0.2, Delay: time.Millisecond, Jitter: 5 * time.Millisecond})
			}
		}
	}
	fleet.eventually("links corrupt, duplicate and reorder messages", func() bool {
		n := fleet.Mesh().Counts()
		return n.Corrupted > 100 && n.Duplicated > 100 && n.Reordered > 100
	})
	for i := range 4 {
		for j := range 4 {
			fleet.Mesh().SetLink(i, j, plan.Link{})
		}
	}
	fleet.waitView(4, fleet.all()...)
	r, err := fleet.Node(0).Fleet()
	require.NoError(t, err)
	assert.Len(t, r.Known, 3, "invalid messages add no members")
	fleet.finishAndCheck(0.9)
}

// peerSettings are testSettings that allow gateways to join a fleet.
var peerSettings = strings.Replace(testSettings, `{"Cancel"`, `{"Peers":true,"Cancel"`, 1)

// freePort returns a loopback address on which nothing listens at the moment; it serves for UDP and TCP.
func freePort(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	return ln.Addr().String()
}

// The two processes of an upgrade are one member throughout: the name never leaves the view and is never reported as a
// duplicate. The successor moves to the configured address when the predecessor has ended.
func TestFleetMembershipUpgrade(t *testing.T) {
	fleet := newTestFleet(t, 1)
	peers := fleet.Node(0).PeerAddr.String()
	listen := freePort(t)
	file := t.TempDir() + "/fleet.yaml"
	require.NoError(t, os.WriteFile(file, fmt.Appendf(nil, "fleet: lab\nlisten: %s\nseeds: [%s]\n", listen, peers), 0o600))
	gw := startWithInheritedSocket(t, func(gw *testGateway) {
		gw.fleetFile, gw.settings = file, strings.Replace(peerSettings, `"Instances":1`, `"Instances":2`, 1)
	})
	member := func() (m peer.ReportMember) {
		r, err := fleet.Node(0).Fleet()
		require.NoError(t, err)
		for _, x := range r.View.Members {
			if x.Name == "n1" {
				m = x
			}
		}
		return m
	}
	fleet.eventually("it is a member", func() bool { return member().Addr == listen })
	firstSession := member().Session
	successor := gw.startSuccessor()
	fleet.eventually("the successor is the member", func() bool {
		m := member()
		require.NotEmpty(t, m.Session, "the name is in the view throughout")
		return m.Session != firstSession && m.Addr != listen
	})
	gw.eventually("the predecessor is notified", func() bool { return strings.Contains(gw.logText(), "event=fleet_superseded") })
	gw.sendSIGTERM()
	gw.waitExit()
	fleet.eventually("the successor moves to the configured address", func() bool {
		m := member()
		require.NotEmpty(t, m.Session, "the end of the predecessor removes no member")
		return m.Addr == listen
	})
	assert.NotContains(t, gw.logText()+successor.logText(), "fleet_twice")
	assert.Equal(t, []string{"alive"}, fleet.memberStates("n1"))
	successor.sendSIGTERM()
	successor.waitExit()
	fleet.eventually("it leaves", func() bool { return member().Session == "" })
}

// memberStates returns the states of a member that gateway 0 has logged, in order, without consecutive repeats.
func (fleet *testFleet) memberStates(name string) (states []string) {
	for _, e := range fleet.Node(0).FleetEvents() {
		if strings.HasPrefix(e, "fleet_member name="+name+" ") {
			_, rest, _ := strings.Cut(e, "state=")
			states = append(states, strings.Fields(rest)[0])
		}
	}
	return slices.Compact(states)
}

// A gateway that an operator drains stops being a member but still follows the view; activating it makes it a member again.
func TestFleetMembershipDrain(t *testing.T) {
	fleet := newTestFleet(t, 4)
	_, err := fleet.Node(2).Call("PUT", "/v1/gateway/drain")
	require.NoError(t, err)
	fleet.waitView(3, fleet.all()...)
	_, err = fleet.Node(2).Call("PUT", "/v1/gateway/activate")
	require.NoError(t, err)
	fleet.waitView(4, fleet.all()...)
	assert.Empty(t, fleet.declaredDead(fleet.all()...))
	fleet.finishAndCheck(0.9)
}

// A fleet file that is missing, invalid or not allowed by the settings stops the start, with a message that names the mistake.
func TestFleetFileErrors(t *testing.T) {
	t.Parallel()
	for want, c := range map[string]struct{ settings, file string }{
		"Allowed.Peers is not true":      {testSettings, "fleet: x\nlisten: 127.0.0.1:0\n"},
		"no such file":                   {peerSettings, ""},
		"fleet.yaml:2:9: listen":         {peerSettings, "fleet: x\nlisten: here\n"},
		"unknown; one of fleet, listen":  {peerSettings, "fleet: x\nlisten: 127.0.0.1:0\nsedes: []\n"},
		"fleet.yaml:1:1: listen: missin": {peerSettings, "fleet: x\n"},
	} {
		dir := t.TempDir()
		gw := &testGateway{t: t, settings: c.settings, sockets: 256, memory: 192, listen: "127.0.0.1:0", configPath: dir + "/config.json"}
		gw.configure("127.0.0.1:9", []byte(`{"seq":1,"whole":true,"hosts":[]}`))
		if c.file != "" {
			require.NoError(t, os.WriteFile(dir+"/fleet.yaml", []byte(c.file), 0o600))
		}
		cmd := exec.Command(os.Args[0], "--fleet", dir+"/fleet.yaml")
		cmd.Env = append(os.Environ(), "LILACCOVE_RUN=1", "GW_CONFIG="+gw.configPath)
		out, err := cmd.CombinedOutput()
		assert.Error(t, err)
		assert.Contains(t, string(out), want)
	}
}
