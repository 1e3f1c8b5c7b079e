package datapath

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const roleArgument = "datapath-role"

// This test binary is also the helper processes.
func TestMain(m *testing.M) {
	if len(os.Args) == 3 && os.Args[1] == roleArgument {
		side := map[string]func() error{
			"databases": func() error { return RunDatabases(os.Stdin, os.Stdout) },
			"clients":   func() error { return RunClients(os.Stdin, os.Stdout) },
		}[os.Args[2]]
		if err := side(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	code := m.Run()
	if built.dir != "" {
		os.RemoveAll(built.dir)
	}
	os.Exit(code)
}

var built struct {
	sync.Once
	dir string
}

// shortRun returns the options of a run of a few seconds with the real gateway.
func shortRun(t *testing.T) Options {
	built.Do(func() {
		var err error
		built.dir, err = os.MkdirTemp("", "datapath-test-")
		require.NoError(t, err)
		out, err := exec.Command("go", "build", "-o", filepath.Join(built.dir, "lilaccove"), "lilaccove/cmd/lilaccove").CombinedOutput()
		require.NoError(t, err, "%s", out)
	})
	return Options{
		Clients: 200, Statements: 400, Databases: 40, GroupsOf: 4, MeasuredTime: 2 * time.Second, Idle: 300 * time.Millisecond, WarmUp: 300 * time.Millisecond,
		ReconnectPause: 100 * time.Millisecond, Seed: 5, Sockets: 2000, MemoryMB: 64, AnnouncedGateways: 1, ConnIdle: time.Second, ServiceTime: 5 * time.Millisecond,
		MaxLateness: 30 * time.Second, Gateway: []string{filepath.Join(built.dir, "lilaccove")},
		HelperCommand: func(role string) []string { return []string{os.Args[0], roleArgument, role} },
	}
}

// checkTotals checks what must hold in every complete run.
func checkTotals(t *testing.T, r *Report) {
	t.Helper()
	g, w := &r.Gateway, r.ClientSide.WholeRun
	assert.Empty(t, r.Faults)
	assert.Equal(t, w.Sent, w.Served+w.Refused+w.Failed, "each statement sent has one result")
	assert.Equal(t, g.Sent, g.Served+g.Refused+g.Failed)
	sum := Counts{}
	for _, k := range g.Classes {
		sum.Sent += k.Sent
		sum.Served += k.Served
		sum.Refused += k.Refused
		sum.Failed += k.Failed
		sum.Late += k.Late
	}
	assert.Equal(t, Counts{Sent: g.Sent, Served: g.Served, Late: g.Late, Refused: g.Refused, Failed: g.Failed}, sum)
	passed, dropped, by := 0, 0, 0
	for _, k := range classes {
		passed += int(g.Metrics["passed."+k.Name])
		dropped += int(g.Metrics["dropped."+k.Name])
	}
	assert.Equal(t, passed, w.Served, "the gateway's count is the same")
	assert.Equal(t, dropped, w.Refused)
	for _, n := range g.RefusedBy {
		by += n
	}
	assert.Equal(t, w.Refused, by, "each refusal has a reason")
	by = 0
	for _, n := range g.FailedBy {
		by += n
	}
	assert.Equal(t, w.Failed, by)
	assert.Zero(t, g.FailedBy["no answer"])
	assert.Zero(t, r.ClientSide.Unsolicited, "no statement has two responses")
	assert.GreaterOrEqual(t, r.StandIn.Reads+r.StandIn.Writes, w.Served, "served statements ran at a database")
	assert.Zero(t, r.StandIn.Duplicates)
	assert.LessOrEqual(t, g.DescriptorsAfter, g.DescriptorsIdle+descriptorSlack, "all descriptors are closed again")
	assert.GreaterOrEqual(t, g.DescriptorReturnSeconds, 0.0)
	assert.Zero(t, g.Metrics["in_progress"])
}

// Databases with spare capacity serve everything, and every figure is set.
func TestScaleDataPathServesAll(t *testing.T) {
	t.Parallel()
	r, err := Run(context.Background(), shortRun(t))
	require.NoError(t, err)
	checkTotals(t, r)
	assert.NoError(t, Verdict(r))
	g := &r.Gateway
	assert.InDelta(t, 800, g.Sent, 160, "about the requested number")
	assert.GreaterOrEqual(t, g.Served, g.Sent*9/10)
	assert.InDelta(t, 200, g.ClientConnections, 20)
	assert.Greater(t, g.Descriptors, g.DescriptorsIdle+150)
	assert.Positive(t, g.RSSIdle)
	assert.Greater(t, g.RSS, g.RSSIdle)
	assert.Positive(t, g.CPUPerStatement)
	assert.Positive(t, g.DatabaseConnections)
	all := r.StandIn.PerDatabase["all"]
	assert.Equal(t, 40, all.Databases)
	assert.InDelta(t, g.DatabaseConnections, all.Mean*40, 1)
	assert.Equal(t, 10, r.StandIn.PerDatabase["primary"].Databases)
	assert.LessOrEqual(t, all.ShareOne, all.ShareAny)
}

// At twice the capacity of the databases each refusal or failure has a reason, and the totals agree.
func TestScaleDataPathRefuses(t *testing.T) {
	t.Parallel()
	o := shortRun(t)
	o.Databases, o.ServiceTime, o.Seed = 4, 50*time.Millisecond, 6 // 100 statements/s each
	o.Statements = 800
	r, err := Run(context.Background(), o)
	require.NoError(t, err)
	checkTotals(t, r)
	assert.Positive(t, r.Gateway.Refused)
	assert.NotEmpty(t, r.Gateway.RefusedBy)
	assert.Positive(t, r.Gateway.Served)
}

// The last group is smaller than the others and gets its share of statements.
func TestScaleDataPathUnevenGroups(t *testing.T) {
	t.Parallel()
	o := shortRun(t)
	o.Databases, o.MeasuredTime, o.Seed = 10, time.Second, 7
	r, err := Run(context.Background(), o)
	require.NoError(t, err)
	checkTotals(t, r)
	assert.Equal(t, 10, r.StandIn.PerDatabase["all"].Databases)
	assert.Equal(t, 3, r.StandIn.PerDatabase["primary"].Databases)
	assert.GreaterOrEqual(t, r.Gateway.Served, r.Gateway.Sent*95/100, "no statement is for a missing group")
}

// A run is invalid if the clients' or the databases' process was stopped for a while, even if all else looks right.
func TestScaleDataPathStarvedIsInvalid(t *testing.T) {
	t.Parallel()
	for _, role := range []string{"clients", "databases"} {
		t.Run(role, func(t *testing.T) {
			t.Parallel()
			o := shortRun(t)
			o.MaxLateness, o.Seed = 1500*time.Millisecond, 8
			o.MeasuredTime = 3 * time.Second
			var stalls sync.WaitGroup
			pids := map[string]int{}
			o.Started = func(which string, pid int) { pids[which] = pid }
			o.MeasureStarted = func() {
				assert.NoError(t, syscall.Kill(pids[role], syscall.SIGSTOP))
				stalls.Go(func() {
					time.Sleep(2 * time.Second)
					assert.NoError(t, syscall.Kill(pids[role], syscall.SIGCONT))
				})
			}
			r, err := Run(context.Background(), o)
			stalls.Wait()
			require.NoError(t, err)
			assert.False(t, r.Valid)
			assert.Contains(t, r.Invalid, "the "+role+"' process was late")
			assert.Error(t, Verdict(r))
			assert.ErrorContains(t, Verdict(&Report{Invalid: r.Invalid}), "INVALID")
			w := r.ClientSide.WholeRun
			assert.Equal(t, w.Sent, w.Served+w.Refused+w.Failed)
		})
	}
}

// An interrupt ends the run soon, with a report that is marked as partial.
func TestScaleDataPathInterrupted(t *testing.T) {
	t.Parallel()
	o := shortRun(t)
	o.MeasuredTime = time.Minute
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	o.Started = func(role string, _ int) {
		if role == "clients" {
			time.AfterFunc(2*time.Second, cancel)
		}
	}
	begun := time.Now()
	r, err := Run(ctx, o)
	require.NoError(t, err)
	assert.Less(t, time.Since(begun), 30*time.Second)
	assert.True(t, r.Partial)
	assert.Less(t, r.Seconds, 30.0)
	w := r.ClientSide.WholeRun
	assert.Positive(t, w.Sent)
	assert.Equal(t, w.Sent, w.Served+w.Refused+w.Failed)
}

// All invalid options are reported at once, before anything starts.
func TestInvalidOptions(t *testing.T) {
	hard := hardLimit()
	_, err := Run(context.Background(), Options{Clients: hard, Databases: 3, GroupsOf: 4, Sockets: hard + 1})
	for _, part := range []string{"--statements 0", "--databases 3 in --groups-of 4", "--for 0s", "--sockets", "ulimit -Hn", "--clients"} {
		assert.ErrorContains(t, err, part)
	}
	_, err = Run(context.Background(), Options{Clients: 0, Statements: 1, Databases: 4, GroupsOf: 4, MeasuredTime: time.Second})
	assert.ErrorContains(t, err, "--clients 0")
}

// A gateway or helper process that does not start makes the run return an error.
func TestGatewayThatDoesNotStart(t *testing.T) {
	o := shortRun(t)
	o.Gateway = []string{"false"}
	_, err := Run(context.Background(), o)
	assert.ErrorContains(t, err, "does not start")
	o.HelperCommand = func(string) []string { return []string{"false"} }
	_, err = Run(context.Background(), o)
	assert.Error(t, err)
}

// A stall that lasts until the end of the heartbeats counts as lateness too.
func TestHeartbeatsRecordStallAtTheEnd(t *testing.T) {
	end := make(chan struct{})
	close(end)
	for range 20 {
		h := histogram()
		recordHeartbeats(h, time.Now().Add(-time.Second), end)
		assert.Greater(t, quantiles(h).Max, 900.0)
	}
}

func TestSetDistribution(t *testing.T) {
	var p PerDatabase
	p.setDistribution([]int{3, 0, 1, 1})
	assert.Equal(t, PerDatabase{Mean: 1.25, P99: 3, Max: 3, ShareAny: 0.75, ShareOne: 0.5}, p)
	p.setDistribution(nil)
	assert.Equal(t, 1.25, p.Mean)
}

// The figures of a process come from the kernel: a process that works for a while has used processor time.
func TestProcessFigures(t *testing.T) {
	m := newMeter(os.Getpid())
	for begun := time.Now(); time.Since(begun) < 200*time.Millisecond; {
		_ = fmt.Sprint(begun)
	}
	used, percent := m.since()
	assert.Positive(t, used)
	assert.Positive(t, percent)
	all, own := residentMemory(os.Getpid())
	assert.Greater(t, all, own)
	assert.Positive(t, own)
	before := descriptors(os.Getpid())
	f, err := os.Open(os.DevNull)
	require.NoError(t, err)
	defer f.Close()
	assert.Equal(t, before+1, descriptors(os.Getpid()))
}
