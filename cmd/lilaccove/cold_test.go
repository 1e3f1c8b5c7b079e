package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/standin"
)

// coldPlan has databases that need ten seconds to reach full speed, and a load that they cannot carry while cold. The lab
// reports a fault if a database got more than it can carry, or work more than two seconds after it began to drain.
const coldPlan = `seed: 21
groups: 2
sessions: {count: 400, follow: 30%, after: 200 ms}
retries: {most: 2, pause: 100 ms}
connections: 120
stall: 20 s
classes:
  browse: {kind: bounded-read, mix: 66%, aim: 500 ms, deadline: 1200 ms, bound: 3 s}
  own: {kind: session-read, mix: 14%, aim: 500 ms, deadline: 1500 ms}
  write: {kind: write, mix: 20%, aim: 600 ms, deadline: 3 s}
stages: [{shape: constant, rate: 600/s, for: 90 s}]
lab: {gateways: 7, members: 3, cores: 2, queue: 60, service: 40 ms, lag: 10 ms, cold: 10 s, fleet: true, positions: true}
`

// replaceDatabases replaces all databases of the first group but one, as a release does, and none of the second.
func (fleet *testFleet) replaceDatabases() {
	fleet.t.Helper()
	stop := make(chan struct{})
	fleet.t.Cleanup(func() { close(stop) })
	for _, host := range fleet.World().Members()[:2] {
		go func() { _ = fleet.World().Replace(host, 4*time.Second, stop) }()
	}
	fleet.eventually("the cold databases are listed", func() bool { return len(fleet.World().Members()) == 6+2 })
}

// checkColdLoad waits until the cold databases have served some requests, then ends the load and checks the report.
func (fleet *testFleet) checkColdLoad(minServed float64) {
	fleet.t.Helper()
	fleet.eventually("the old databases are gone", func() bool { return len(fleet.World().Members()) == 6 })
	cold := fleet.World().Members()[4:]
	fleet.eventually("the cold databases get requests", func() bool {
		for _, h := range cold {
			if h.StatementCount() < 50 {
				return false
			}
		}
		return true
	})
	c := fleet.World().Counts()
	fleet.t.Logf("a cold database got up to %.2f times its capacity", c.MostCold)
	assert.Positive(fleet.t, c.MostCold, "the stand-ins measure the load")
	assert.Less(fleet.t, c.MostCold, 1.0)
	fleet.finishAndCheck(minServed)
}

// Databases are cold on both sides of a partition. Neither side knows what the other sends; the total stays within the limit.
func TestFleetColdPartition(t *testing.T) {
	fleet := newTestFleetWithPlan(t, 7, coldPlan)
	fleet.Mesh().Partition([][]int{{0, 1, 2}, {3, 4, 5, 6}}, true)
	fleet.replaceDatabases()
	fleet.waitView(3, 0, 1, 2)
	fleet.checkColdLoad(0.3)
}

// Five of seven gateways are killed while databases are cold, and restart at once without any state.
func TestFleetColdRestart(t *testing.T) {
	fleet := newTestFleetWithPlan(t, 7, coldPlan)
	fleet.replaceDatabases()
	for i := range 5 {
		fleet.Node(i).Kill()
	}
	for i := range 5 {
		_, err := fleet.Start(i)
		require.NoError(t, err)
	}
	fleet.checkColdLoad(0.3)
}

// All clients are at one gateway, which may use the budget that the others do not need.
func TestFleetColdSkew(t *testing.T) {
	fleet := newTestFleetWithPlan(t, 7, strings.Replace(coldPlan, "count: 400", "count: 1", 1))
	fleet.replaceDatabases()
	fleet.checkColdLoad(0.3)
}

// A gateway that was paused while databases were replaced treats them as cold, whatever it learned about their groups before.
func TestFleetColdPause(t *testing.T) {
	fleet := newTestFleetWithPlan(t, 7, coldPlan)
	for _, i := range []int{2, 3} {
		require.NoError(t, fleet.Node(i).Pause())
	}
	fleet.replaceDatabases()
	time.Sleep(1500 * time.Millisecond) // duration of the pause
	for _, i := range []int{2, 3} {
		require.NoError(t, fleet.Node(i).Resume())
	}
	fleet.checkColdLoad(0.3)
}

// Processes that do not communicate divide the budget of a cold database by their number alone: few and many, with clients
// spread or all at one, restarted together or one after the other, and with databases that restart while cold. The limit
// applies to what all of them send in any second.
func TestColdBudgetOfManyProcesses(t *testing.T) {
	for _, tt := range []struct {
		name             string
		processes        int
		oneClient        bool
		restartTogether  bool
		databaseRestarts bool
	}{
		{name: "4, together", processes: 4, restartTogether: true},
		{name: "20, one after the other", processes: 20},
		{name: "30, together", processes: 30, restartTogether: true, databaseRestarts: true},
		{name: "30, all clients at one", processes: 30, oneClient: true, restartTogether: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.NewReplacer("gateways: 7", fmt.Sprint("gateways: ", tt.processes), "fleet: true, positions: true", "fleet: false").Replace(coldPlan)
			if tt.oneClient {
				text = strings.Replace(text, "count: 400", "count: 1", 1)
			}
			fleet := newTestFleetWithPlan(t, tt.processes, text)
			fleet.replaceDatabases()
			if tt.restartTogether {
				for _, i := range fleet.all() {
					fleet.Node(i).Kill()
				}
			}
			start := time.Now()
			for _, i := range fleet.all() {
				fleet.Node(i).Kill()
				_, err := fleet.Start(i)
				require.NoError(t, err)
			}
			fleet.eventually("the load balancer admits all processes again", func() bool { return fleet.Balancer().Admitted() == tt.processes })
			t.Logf("%d processes were ready after %v", tt.processes, time.Since(start))
			if tt.databaseRestarts {
				for _, h := range fleet.World().Members() {
					if h.IsCold() {
						h.Announce("in_service", time.Now())
					}
				}
			}
			fleet.checkColdLoad(0.1)
		})
	}
}

// A primary drains, and only then gateways are killed and restart. They cannot know for how long it has been draining: they
// send it nothing, although the group has no other primary yet.
func TestFleetDrainRestart(t *testing.T) {
	fleet := newTestFleetWithPlan(t, 5, strings.Replace(coldPlan, "gateways: 7", "gateways: 5", 1))
	stop := make(chan struct{})
	defer close(stop)
	old := fleet.World().Members()[0]
	go func() { _ = fleet.World().Replace(old, 20*time.Second, stop) }()
	time.Sleep(1500 * time.Millisecond) // less than the grace in which gateways that saw the drain begin still send writes
	for i := range 4 {
		fleet.Node(i).Kill()
	}
	for i := range 4 {
		_, err := fleet.Start(i)
		require.NoError(t, err)
	}
	fleet.eventually("the load balancer admits all gateways again", func() bool { return fleet.Balancer().Admitted() == 5 })
	before := fleet.World().Counts().Reads
	fleet.eventually("reads go on", func() bool { return fleet.World().Counts().Reads > before+300 })
	assert.Zero(t, fleet.World().Counts().Drained)
	fleet.finishAndCheck(0.2)
}

// All watches on discovery go silent at once with their connections open, in a fleet that the gateways take for a large one.
// A change at discovery is binding six seconds later: by then each gateway must have a working watch.
func TestFleetDiscoverySilent(t *testing.T) {
	fleet := newTestFleetWithPlan(t, 5, strings.NewReplacer("gateways: 7", "gateways: 5, told: 100", "600/s", "200/s").Replace(coldPlan))
	calls := func() standin.Calls { return fleet.World().Discovery().Calls() }
	fleet.eventually("each has a watch", func() bool { return calls().Watches == 5 })
	start := time.Now()
	fleet.World().SilenceWatches()
	time.Sleep(time.Until(start.Add(6 * time.Second))) // from then on each change must reach every gateway in time
	stop := make(chan struct{})
	defer close(stop)
	go func() { _ = fleet.World().Replace(fleet.World().Members()[0], 20*time.Second, stop) }()
	before := fleet.World().Counts().Reads
	fleet.eventually("reads go on", func() bool { return fleet.World().Counts().Reads > before+600 })
	assert.Equal(t, 5, calls().Watches)
	assert.Zero(t, fleet.World().Counts().Drained)
	fleet.finishAndCheck(0.3)
}
