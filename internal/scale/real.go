package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"lilaccove/internal/hollow"
	"lilaccove/internal/lab"
	"lilaccove/internal/load/plan"
	"lilaccove/internal/load/run"
	"lilaccove/internal/peer"
	"lilaccove/internal/stats"
)

type traffic = stats.Traffic

const (
	readyTimeout    = 20 * time.Second
	shutdownTimeout = 10 * time.Second
	requestTimeout  = 800 * time.Millisecond
)

// realGateway is a gateway that runs as a process of the whole program.
type realGateway struct {
	run   *Run
	state *gatewayState

	mu             sync.Mutex
	process        *lab.Process
	clientAddr     string
	managementAddr string
	viewDigest     string
	deadNames      []string
	stopRequested  bool // the run itself has asked the process to end
}

func (g *realGateway) start() error {
	dir := g.run.gatewayDir(g.state.name)
	process := lab.NewProcess(exec.Command(g.run.GatewayCommand[0], g.run.GatewayCommand[1:]...))
	process.Setenv("GW_CONFIG="+filepath.Join(dir, "config.json"), "GW_FLEET="+filepath.Join(dir, "fleet.yaml"), "GW_MANAGEMENT=127.0.0.1:0", "TMPDIR="+dir)
	g.mu.Lock()
	g.process, g.clientAddr, g.managementAddr, g.viewDigest, g.stopRequested = process, "", "", "", false
	g.mu.Unlock()
	if err := process.Launch(g.readLogLine, func() { g.exited(process) }); err != nil {
		return err
	}
	if _, err := process.WaitStarted(readyTimeout); err != nil {
		return fmt.Errorf("gateway %s %w", g.state.name, err)
	}
	return nil
}

// exited records a failure if the process ended without being asked to.
func (g *realGateway) exited(process *lab.Process) {
	g.mu.Lock()
	unexpected := g.process == process && !g.stopRequested
	g.mu.Unlock()
	if unexpected {
		g.run.recordFailure("gateway %s ended unexpectedly", g.state.name)
	}
}

// readLogLine reads a line of the process's log.
func (g *realGateway) readLogLine(line string) {
	g.run.writeLog(g.state.name + " " + line)
	_, event, _ := strings.Cut(line, " event=")
	g.mu.Lock()
	defer g.mu.Unlock()
	switch kind, _, _ := strings.Cut(event, " "); kind {
	case "started":
		g.clientAddr, g.managementAddr = lab.LogField(event, "listen"), lab.LogField(event, "management")
		g.run.balancer.SetAddr(g.state.index, g.clientAddr)
	case "fleet_view":
		g.viewDigest = lab.LogField(event, "digest")
	case "fleet_member":
		if lab.LogField(event, "state") == "dead" {
			g.deadNames = append(g.deadNames, lab.LogField(event, "name"))
		}
	}
}

// addSample adds a sample from the process's metrics.
func (g *realGateway) addSample(at time.Time) {
	g.mu.Lock()
	process, managementAddr, state := g.process, g.managementAddr, hollow.GatewayState{Name: g.state.name, Up: true, ViewDigest: g.viewDigest, DeadNames: g.deadNames, Roles: map[string]traffic{}}
	g.deadNames = nil
	g.mu.Unlock()
	run := g.run
	var usage processUse
	responding := false
	if process != nil && process.Alive() && managementAddr != "" {
		if text, err := get(managementAddr, "/v1/metrics"); err == nil {
			responding = true
			metrics := stats.Parse([]byte(text))
			state.Roles = stats.TrafficByRole(metrics)
			state.ViewMembers = int(metrics["fleet_view_members"])
		}
		usage, _ = readProcessUse(process.Pid())
	}
	run.mu.Lock()
	changePending := len(run.listChanges) > 0 && !run.listChanges[len(run.listChanges)-1].complete
	last := g.state.lastSample()
	run.mu.Unlock()
	if last != nil {
		state.ListVersion = last.listVersion
	}
	if responding && (changePending || state.ListVersion == 0) {
		state.ListVersion = g.listVersion(managementAddr)
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	run.countFalseDeaths(g.state, at, state.DeadNames)
	if responding && g.state.live && run.measuredTo.IsZero() {
		state.CPUMS = usage.cpuMS
		g.state.addReport(at, &state, usage.rss, 0)
		if at.After(g.state.startedAt) {
			g.state.reported = true
		}
	}
}

// listVersion returns the list version that the gateway uses; 0 where it doesn't answer.
func (g *realGateway) listVersion(managementAddr string) int64 {
	var report peer.VersionsReport
	if text, err := get(managementAddr, "/v1/fleet/versions"); err != nil || json.Unmarshal([]byte(text), &report) != nil {
		return 0
	}
	for _, entry := range report.Versions {
		if entry.Name == report.Name {
			return entry.ListVersion
		}
	}
	return 0
}

func get(managementAddr, path string) (string, error) {
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + managementAddr + path)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %d", path, response.StatusCode)
	}
	return string(text), err
}

func (g *realGateway) processToStop() *lab.Process {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopRequested = true
	return g.process
}

func (g *realGateway) pid() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process == nil || g.clientAddr == "" || !g.process.Alive() {
		return 0
	}
	return g.process.Pid()
}

func (g *realGateway) kill() {
	if p := g.processToStop(); p != nil && g.pid() > 0 {
		p.Kill()
	}
}

// shutDown shuts the process down gracefully, and kills it if it doesn't end in time.
func (g *realGateway) shutDown() error {
	process := g.processToStop()
	if err := process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	if err := process.Wait(shutdownTimeout); err != nil && process.Alive() {
		process.Kill()
		return fmt.Errorf("gateway %s did not end within %v", g.state.name, shutdownTimeout)
	}
	return nil
}

// clientLoad is the load on the real gateways, spread over them by a balancer as in the lab.
type clientLoad struct {
	cancel       context.CancelFunc
	done         chan struct{}
	recorder     *run.Recorder
	sent         int
	arrivalCount int
	err          error
}

func startClientLoad(p *Plan, gateways []*realGateway, balancer *lab.Balancer) (*clientLoad, error) {
	if p.RequestsPerS <= 0 {
		return nil, nil
	}
	length := p.Settle + p.Duration + time.Minute
	load := &plan.Plan{
		Seed: p.Seed, Groups: (p.Databases + p.GroupSize - 1) / p.GroupSize, Keys: 1000, Sessions: 20 * len(gateways), FollowShare: 0.2, FollowAfter: 300 * time.Millisecond,
		HonourShare: 1, MaxConnections: 50, MaxOutstanding: 5000, MaxLateness: time.Second, MaxArrivals: 10_000_000,
		Classes: []plan.Class{
			{Name: "browse", Kind: plan.BoundedRead, Mix: 0.7, Aim: 500 * time.Millisecond, Deadline: 1200 * time.Millisecond, Worth: 1, Bound: 3 * time.Second},
			{Name: "own", Kind: plan.SessionRead, Mix: 0.1, Aim: 500 * time.Millisecond, Deadline: 1500 * time.Millisecond, Worth: 2},
			{Name: "write", Kind: plan.Write, Mix: 0.2, Aim: 600 * time.Millisecond, Deadline: 3 * time.Second, Worth: 4},
		},
	}
	rate := p.RequestsPerS * float64(len(gateways))
	load.Stages = []plan.Stage{{Name: "all", Segments: []plan.RateSegment{{From: rate, To: rate, For: length}}}}
	arrivals, err := plan.Schedule(load)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	clients := &clientLoad{cancel: cancel, done: make(chan struct{}), recorder: run.NewRecorder(load), arrivalCount: len(arrivals)}
	runner := &run.Runner{Plan: load, Arrivals: arrivals, OnSample: clients.recorder.Add, SelectTarget: balancer.Pick}
	go func() {
		defer close(clients.done)
		clients.sent, clients.err = runner.Play(ctx)
	}()
	return clients, nil
}

func (c *clientLoad) close() {
	if c != nil {
		c.cancel()
		<-c.done
	}
}
