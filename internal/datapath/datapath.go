// Package datapath measures what one gateway spends on its clients, statements and databases: one real gateway, a process
// with all databases, and a process with all clients, each of which keeps a connection.
package datapath

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"lilaccove/internal/lab"
	"lilaccove/internal/load/plan"
	"lilaccove/internal/stats"
)

const (
	replyTimeout            = 10 * time.Second
	startTimeout            = 10 * time.Second
	idleInterval            = time.Second // measured without clients
	pollInterval            = 250 * time.Millisecond
	descriptorReturnTimeout = 25 * time.Second // for the descriptors to return to their number without clients
	descriptorSlack         = 2                // discovery's connection comes and goes
	spareDescriptors        = 200              // descriptors of a helper process besides its connections
)

// Options are the settings of one run.
type Options struct {
	Clients           int
	Statements        float64 // per second, of all clients
	Databases         int
	GroupsOf          int
	MeasuredTime      time.Duration
	Idle              time.Duration // all clients are connected and send nothing
	WarmUp            time.Duration // under load, before the measured time
	ReconnectPause    time.Duration // mean pause before a client reconnects after its connection was closed
	EvenArrivals      bool
	Seed              uint64
	Sockets           int // the gateway's limits.sockets; 0: see Sockets
	MemoryMB          int
	AnnouncedGateways int           // number of gateways that the configuration announces
	ConnIdle          time.Duration // Allowed.ConnIdleUs; 0: as in the lab
	ServiceTime       time.Duration // mean time of a statement at a database
	MaxLateness       time.Duration // lateness of a helper process that makes the run invalid
	Gateway           []string      // command of the gateway
	HelperCommand     func(role string) []string
	Log               io.Writer                   // receives the gateway's log; may be nil
	Started           func(role string, pid int)  // for tests: a process has started
	MeasureStarted    func()                      // for tests: the measured time has begun
	ChangeConfig      func(config map[string]any) // for tests: changes the gateway's configuration
}

// classes are those of deploy/load/day.yaml.
var classes = []plan.Class{
	{Name: "browse-read", Kind: plan.BoundedRead, Mix: 0.66, Aim: 500 * time.Millisecond, Deadline: 1200 * time.Millisecond, Worth: 1, Bound: 3 * time.Second},
	{Name: "own-read", Kind: plan.SessionRead, Mix: 0.14, Aim: 500 * time.Millisecond, Deadline: 1500 * time.Millisecond, Worth: 2},
	{Name: "licence-write", Kind: plan.Write, Mix: 0.20, Aim: 600 * time.Millisecond, Deadline: 3 * time.Second, Worth: 4},
}

// Gateway is the gateway's part of the report: its resources, and the results of the clients' statements.
type Gateway struct {
	RSSIdle         float64 `json:"rss_mb_idle"`         // without clients
	RSSClientsIdle  float64 `json:"rss_mb_clients_idle"` // all connected, without load
	RSS             float64 `json:"rss_mb"`              // mean under load
	RSSMax          float64 `json:"rss_mb_max"`
	AnonIdle        float64 `json:"anon_mb_idle"` // anonymous memory: the share not backed by files
	AnonClientsIdle float64 `json:"anon_mb_clients_idle"`
	Anon            float64 `json:"anon_mb"`
	BytesPerClient  float64 `json:"bytes_per_client_idle"` // growth from no clients to idle ones, per connection

	CoreIdle        float64 `json:"core_percent_idle"`
	CoreClientsIdle float64 `json:"core_percent_clients_idle"`
	Core            float64 `json:"core_percent"`
	CPUPerStatement float64 `json:"cpu_us_per_statement"` // processor time of the whole process per statement sent

	DescriptorsIdle         int     `json:"descriptors_idle"`
	Descriptors             int     `json:"descriptors"`
	DescriptorsAfter        int     `json:"descriptors_after"`
	DescriptorReturnSeconds float64 `json:"descriptors_back_s"` // after the last client; negative: they did not return

	ClientConnectionsIdle float64 `json:"client_connections_idle"`
	ClientConnections     float64 `json:"client_connections"`
	DatabaseConnections   float64 `json:"database_connections"`
	Sent                  int     `json:"sent"`
	Served                int     `json:"served"`
	Refused               int     `json:"refused"`
	Failed                int     `json:"failed"`
	Late                  int     `json:"late"` // of the served
	P50                   float64 `json:"p50_ms"`
	P99                   float64 `json:"p99_ms"`

	NewDatabaseConnections float64 `json:"new_connections_per_s"` // to databases
	ReconnectsIdle         float64 `json:"client_connections_idle_per_s"`
	Reconnects             float64 `json:"client_connections_per_s"` // clients that reconnected
	ClosedIdle             float64 `json:"clients_closed_idle_per_s"`
	LostMS                 int     `json:"lost_ms"` // process pauses by its own metric, in the measured time
	Sockets                int     `json:"sockets"`
	MemoryMB               int     `json:"memory_mb"`
	AnnouncedGateways      int     `json:"told_gateways"`
	ConnIdleSeconds        float64 `json:"conn_idle_s"`

	Classes    map[string]*ClassReport `json:"classes"`
	RefusedBy  map[string]int          `json:"refused_by"` // whole run
	FailedBy   map[string]int          `json:"failed_by"`
	Unserved   []UnservedStatement     `json:"amiss"`       // the first statements that were refused or failed
	TurnedAway map[string]int          `json:"turned_away"` // connections
	Metrics    map[string]uint64       `json:"figures"`     // its metrics at the end of the load
	Events     map[string]int          `json:"events"`      // log lines by event and reason
}

// StandIn is the report of the databases' process.
type StandIn struct {
	Core           float64                `json:"core_percent"`
	Descriptors    int                    `json:"descriptors"`
	HeartbeatMS    Quantiles              `json:"lateness_ms"`
	MaxConnections int                    `json:"connections_max"` // of all databases together
	PerDatabase    map[string]PerDatabase `json:"connections_per_database"`
	Reads          int                    `json:"reads"`
	Writes         int                    `json:"writes"`
	Duplicates     int                    `json:"duplicates"`
	Stale          int                    `json:"stale"`
	Firsts         int                    `json:"firsts"`  // first attempts of statements
	Repeats        int                    `json:"repeats"` // repeated attempts
	Misses         int                    `json:"misses"`  // writes at a replica
	QueueFull      int                    `json:"full"`    // refused because the queue was full
	ServiceMS      float64                `json:"service_ms"`
}

// ClientSide is the report of the clients' process.
type ClientSide struct {
	Core             float64   `json:"core_percent"`
	Descriptors      int       `json:"descriptors"`
	LatenessMS       Quantiles `json:"lateness_ms"`
	HeartbeatMS      Quantiles `json:"heartbeat_ms"`
	ReconnectPauseMS float64   `json:"comes_again_ms"`
	Arrivals         string    `json:"arrivals"`
	WholeRun         Counts    `json:"whole"` // including the warm-up
	Unsolicited      int       `json:"unasked_messages"`
}

// Report is the result of one run.
type Report struct {
	Command    string     `json:"command"`
	Clients    int        `json:"clients"`
	Statements float64    `json:"statements_per_s"`
	Databases  int        `json:"databases"`
	GroupsOf   int        `json:"groups_of"`
	Seed       uint64     `json:"seed"`
	Valid      bool       `json:"valid"`
	Invalid    string     `json:"invalid_because"`
	Partial    bool       `json:"partial"`
	Faults     []string   `json:"faults"`
	Seconds    float64    `json:"seconds"` // measured time
	Gateway    Gateway    `json:"gateway"`
	StandIn    StandIn    `json:"standin"`
	ClientSide ClientSide `json:"client_side"`
}

// Sockets returns the descriptor limit that the deployment would set: clients may use half of it, at least the 7,653 of the
// target with a region lost, and each database may have two connections.
func Sockets(clients, databases int) int { return 2*max(clients, 7653) + 2*databases }

// check returns all problems of the options at once, before anything is started.
func (o *Options) check() error {
	var problems []error
	addError := func(format string, args ...any) { problems = append(problems, fmt.Errorf(format, args...)) }
	if o.Clients < 1 {
		addError("--clients %d: must be at least 1", o.Clients)
	}
	if o.Statements <= 0 {
		addError("--statements %v: must be positive", o.Statements)
	}
	if o.GroupsOf < 1 || o.Databases < o.GroupsOf {
		addError("--databases %d in --groups-of %d: must be at least one whole group", o.Databases, o.GroupsOf)
	}
	if o.MeasuredTime <= 0 {
		addError("--for %v: must be positive", o.MeasuredTime)
	}
	hardMax := hardLimit()
	if o.Sockets == 0 {
		o.Sockets = min(hardMax, Sockets(o.Clients, o.Databases))
	}
	if o.Sockets > hardMax {
		addError("--sockets %d: a process may have %d descriptors here (ulimit -Hn); set at most that", o.Sockets, hardMax)
	}
	if need := o.Clients + spareDescriptors; need > hardMax {
		addError("--clients %d: their process needs %d descriptors and may have %d here (ulimit -Hn); ask for %d clients at most", o.Clients, need, hardMax, hardMax-spareDescriptors)
	}
	if need := 4*o.Databases + spareDescriptors; need > hardMax {
		addError("--databases %d: their process needs %d descriptors and may have %d here (ulimit -Hn)", o.Databases, need, hardMax)
	}
	return errors.Join(problems...)
}

// meter measures the processor time of a process from its creation on.
type meter struct {
	pid   int
	start time.Time
	used  time.Duration
}

func newMeter(pid int) meter {
	used, _ := processorTime(pid)
	return meter{pid: pid, start: time.Now(), used: used}
}

// since returns the processor time since the meter's creation, and its share of a core in percent.
func (m meter) since() (used time.Duration, percent float64) {
	now, _ := processorTime(m.pid)
	used = now - m.used
	return used, round(100*used.Seconds()/max(0.001, time.Since(m.start).Seconds()), 2)
}

// run is a run in progress.
type run struct {
	Options
	report          *Report
	gateway         *lab.Process
	managementAddr  string
	databaseProcess *helperProcess
	clientProcess   *helperProcess

	mu     sync.Mutex
	events map[string]int
	ended  bool // the gateway was asked to stop
}

// Run does one run. Unless it returns an error, the report is complete and contains the faults and the reasons for invalidity.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	r := &run{Options: o, events: map[string]int{}, report: &Report{
		Clients: o.Clients, Statements: o.Statements, Databases: o.Databases, GroupsOf: o.GroupsOf, Seed: o.Seed, Faults: []string{},
	}}
	defer r.close()
	if err := r.start(); err != nil {
		return nil, err
	}
	if err := r.measure(ctx); err != nil {
		return nil, err
	}
	r.report.Partial = ctx.Err() != nil
	r.evaluate()
	return r.report, nil
}

// start starts the databases, the gateway and, after measuring the gateway without clients, the clients.
func (r *run) start() (err error) {
	databaseConfig := databaseSettings{
		Databases: r.Databases, GroupsOf: r.GroupsOf, Cores: 5, Queue: 60, Service: r.ServiceTime, Lag: 10 * time.Millisecond, Seed: r.Seed,
	}
	if r.databaseProcess, err = startHelper("the databases' process", r.HelperCommand("databases"), databaseConfig); err != nil {
		return err
	}
	var databases databaseAddrs
	if err = r.databaseProcess.receive(&databases, replyTimeout); err != nil {
		return err
	}
	r.started("databases", r.databaseProcess.pid())
	dir, err := os.MkdirTemp("", "datapath-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	p := &plan.Plan{Seed: r.Seed, Classes: classes, Lab: plan.Lab{Gateways: 1, AnnouncedGateways: r.AnnouncedGateways}}
	config := lab.Config(p, "g1", databases.Discovery, r.Seed, databases.List)
	config["limits"] = map[string]any{"cores": 1, "memory_mb": r.MemoryMB, "sockets": r.Sockets}
	allowed := config["settings"].(map[string]any)["Allowed"].(map[string]any)
	if r.ConnIdle > 0 {
		allowed["ConnIdleUs"] = r.ConnIdle.Microseconds()
	}
	if us, err := strconv.ParseInt(fmt.Sprint(allowed["ConnIdleUs"]), 10, 64); err == nil {
		r.report.Gateway.ConnIdleSeconds = float64(us) / 1e6
	}
	if r.ChangeConfig != nil {
		r.ChangeConfig(config)
	}
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	cmd := exec.Command(r.Options.Gateway[0], r.Options.Gateway[1:]...)
	cmd.Env = append(os.Environ(), "GW_CONFIG="+path, "TMPDIR="+dir, "GW_MANAGEMENT=127.0.0.1:0")
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	r.gateway = lab.NewProcess(cmd)
	if err := r.gateway.Launch(r.countLogLine, func() {}); err != nil {
		r.gateway = nil
		return err
	}
	event, err := r.gateway.WaitStarted(startTimeout)
	if err != nil {
		return fmt.Errorf("the gateway %w", err)
	}
	r.started("gateway", r.gateway.Pid())
	r.managementAddr = lab.LogField(event, "management")
	if got := lab.LogField(event, "sockets"); got != strconv.Itoa(r.Sockets) {
		return fmt.Errorf("the gateway has %s descriptors, not %d", got, r.Sockets)
	}
	r.report.Gateway.Sockets, r.report.Gateway.MemoryMB, r.report.Gateway.AnnouncedGateways = r.Sockets, r.MemoryMB, r.AnnouncedGateways
	clientConfig := clientSettings{
		Target: lab.LogField(event, "listen"), Clients: r.Clients, Statements: r.Statements, Databases: r.Databases, GroupsOf: r.GroupsOf,
		Classes: classes, Idle: r.Idle, WarmUp: r.WarmUp, MeasuredTime: r.MeasuredTime, ReconnectPause: r.ReconnectPause, EvenArrivals: r.EvenArrivals, Seed: r.Seed,
	}
	// Measure the gateway without clients.
	time.Sleep(idleInterval)
	idle := newMeter(r.gateway.Pid())
	time.Sleep(idleInterval)
	g := &r.report.Gateway
	_, g.CoreIdle = idle.since()
	g.RSSIdle, g.AnonIdle = r.memory()
	g.DescriptorsIdle = descriptors(r.gateway.Pid())
	r.clientProcess, err = startHelper("the clients' process", r.HelperCommand("clients"), clientConfig)
	return err
}

func (r *run) started(role string, pid int) {
	if r.Started != nil {
		r.Started(role, pid)
	}
}

// countLogLine counts a line of the gateway's log by event and reason.
func (r *run) countLogLine(line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Log != nil {
		fmt.Fprintln(r.Log, line)
	}
	_, event, _ := strings.Cut(line, " event=")
	name, _, _ := strings.Cut(event, " ")
	if reason := lab.LogField(event, "reason"); reason != "" {
		name += " " + strings.Trim(reason, `"`)
	}
	r.events[name]++
}

const megabyte = 1 << 20

func (r *run) memory() (rss, anonymous float64) {
	all, own := residentMemory(r.gateway.Pid())
	return round(float64(all)/megabyte, 2), round(float64(own)/megabyte, 2)
}

// waitUntil waits until a Unix time in ms; it returns false if ctx ends first.
func waitUntil(ctx context.Context, ms int64) bool {
	t := time.NewTimer(time.Until(time.UnixMilli(ms)))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// measure follows the clients through their phases and measures the gateway in each.
func (r *run) measure(ctx context.Context) error {
	var times schedule
	if err := r.clientProcess.receive(&times, replyTimeout); err != nil {
		return err
	}
	r.started("clients", r.clientProcess.pid())
	go func() {
		<-ctx.Done()
		_ = r.clientProcess.send(map[string]string{"do": "stop"})
	}()
	g, pid := &r.report.Gateway, r.gateway.Pid()
	if waitUntil(ctx, times.Connected) {
		idle := newMeter(pid)
		if waitUntil(ctx, times.Load-int64(pollInterval/time.Millisecond)) {
			_, g.CoreClientsIdle = idle.since()
			g.RSSClientsIdle, g.AnonClientsIdle = r.memory()
		}
	}
	if waitUntil(ctx, times.Begin) {
		if err := r.measureLoad(ctx, times.End); err != nil {
			return err
		}
	}
	left := time.Until(time.UnixMilli(times.End))
	if ctx.Err() != nil {
		left = 0
	}
	var clients clientReport
	if err := r.clientProcess.receive(&clients, left+10*time.Second+replyTimeout); err != nil {
		return err
	}
	clientsEnded := time.Now()
	r.clientProcess.close()
	r.takeClientReport(clients)
	var err error
	if g.Metrics, err = r.metrics(); err != nil {
		return fmt.Errorf("the gateway's figures: %w", err)
	}
	// The gateway keeps idle connections to databases for a while.
	g.DescriptorReturnSeconds = -1
	for time.Since(clientsEnded) < descriptorReturnTimeout && ctx.Err() == nil {
		if g.DescriptorsAfter = descriptors(pid); g.DescriptorsAfter <= g.DescriptorsIdle+descriptorSlack {
			g.DescriptorReturnSeconds = round(time.Since(clientsEnded).Seconds(), 1)
			break
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// measureLoad samples all processes during the measured time.
func (r *run) measureLoad(ctx context.Context, end int64) error {
	g, pid := &r.report.Gateway, r.gateway.Pid()
	if err := r.databaseProcess.call("begin", &struct{}{}); err != nil {
		return err
	}
	before, err := r.metrics()
	if err != nil {
		return err
	}
	if r.MeasureStarted != nil {
		r.MeasureStarted()
	}
	meters := []meter{newMeter(pid), newMeter(r.databaseProcess.pid()), newMeter(r.clientProcess.pid())}
	n := 0.0
	for ctx.Err() == nil && time.Now().UnixMilli() < end-int64(pollInterval/time.Millisecond) {
		rss, own := r.memory()
		g.RSS, g.Anon, g.RSSMax = g.RSS+rss, g.Anon+own, max(g.RSSMax, rss)
		g.Descriptors = max(g.Descriptors, descriptors(pid))
		r.report.StandIn.Descriptors = max(r.report.StandIn.Descriptors, descriptors(r.databaseProcess.pid()))
		n++
		waitUntil(ctx, time.Now().Add(pollInterval).UnixMilli())
	}
	used, share := meters[0].since()
	took := time.Since(meters[0].start).Seconds()
	g.Core = share
	g.CPUPerStatement = used.Seconds() * 1e6 / max(1, took) // per second; takeClientReport divides by the rate
	_, r.report.StandIn.Core = meters[1].since()
	_, r.report.ClientSide.Core = meters[2].since()
	g.RSS, g.Anon = round(g.RSS/max(1, n), 2), round(g.Anon/max(1, n), 2)
	var databases databaseReport
	if err := r.databaseProcess.call("report", &databases); err != nil {
		return err
	}
	after, err := r.metrics()
	if err != nil {
		return err
	}
	g.LostMS = int(after["lost_ms"] - before["lost_ms"])
	s := &r.report.StandIn
	s.HeartbeatMS, s.PerDatabase, s.MaxConnections, s.ServiceMS = databases.Heartbeat, databases.PerDatabase, databases.Max, float64(r.ServiceTime)/float64(time.Millisecond)
	g.DatabaseConnections = databases.Mean
	g.NewDatabaseConnections = round(float64(databases.New)/max(0.001, took), 1)
	return nil
}

// takeClientReport adds the clients' results to the report.
func (r *run) takeClientReport(c clientReport) {
	g, s := &r.report.Gateway, &r.report.ClientSide
	r.report.Seconds = c.Seconds
	g.ClientConnectionsIdle, g.ClientConnections = c.OpenIdle, c.Open
	g.Sent, g.Served, g.Refused, g.Failed, g.Late = c.Measured.Sent, c.Measured.Served, c.Measured.Refused, c.Measured.Failed, c.Measured.Late
	g.P50, g.P99 = c.Latency.P50, c.Latency.P99
	g.ReconnectsIdle, g.Reconnects = c.ReconnectsIdle, c.Reconnects
	g.ClosedIdle = round(float64(c.Closed)/max(0.001, c.Seconds), 1)
	g.Classes, g.RefusedBy, g.FailedBy, g.TurnedAway, g.Unserved = c.Classes, c.RefusedBy, c.FailedBy, c.TurnedAway, c.Unserved
	if c.OpenIdle > 0 {
		g.BytesPerClient = round((g.RSSClientsIdle-g.RSSIdle)*megabyte/c.OpenIdle, 0)
	}
	g.CPUPerStatement = round(g.CPUPerStatement*max(0.001, c.Seconds)/float64(max(1, c.Measured.Sent)), 1)
	s.Descriptors, s.LatenessMS, s.HeartbeatMS, s.WholeRun, s.Unsolicited = c.Descriptors, c.Lateness, c.Heartbeat, c.WholeRun, c.Unsolicited
	s.ReconnectPauseMS, s.Arrivals = float64(r.ReconnectPause)/float64(time.Millisecond), "poisson"
	if r.EvenArrivals {
		s.Arrivals = "even"
	}
	if len(c.ResourceErrors) > 0 {
		r.addInvalid("the clients' process was short of descriptors or ports: %v", c.ResourceErrors)
	}
}

// metrics returns the gateway's own metrics.
func (r *run) metrics() (map[string]uint64, error) {
	text, err := lab.CallManagement("GET", r.managementAddr, "/v1/metrics")
	return stats.Parse(text), err
}

func (r *run) addInvalid(format string, args ...any) {
	if r.report.Invalid != "" {
		r.report.Invalid += "; "
	}
	r.report.Invalid += fmt.Sprintf(format, args...)
}

func (r *run) addFault(format string, args ...any) {
	r.report.Faults = append(r.report.Faults, fmt.Sprintf(format, args...))
}

// evaluate decides whether the run is valid, and lists the rules that it violated as faults.
func (r *run) evaluate() {
	g, s, c := &r.report.Gateway, &r.report.StandIn, &r.report.ClientSide
	stall := float64(r.MaxLateness) / float64(time.Millisecond)
	for _, x := range []struct {
		who  string
		late Quantiles
	}{{"the clients' process was late", c.HeartbeatMS}, {"the clients' process sent statements late", c.LatenessMS}, {"the databases' process was late", s.HeartbeatMS}} {
		if x.late.Max > stall {
			r.addInvalid("%s by up to %.1f ms, over its bound of %v", x.who, x.late.Max, r.MaxLateness)
		} else if x.late.P99 > stall/5 {
			r.addInvalid("%s by %.1f ms at the 99th percentile, over a fifth of its bound of %v", x.who, x.late.P99, r.MaxLateness)
		}
	}
	r.report.Valid = r.report.Invalid == ""
	var databases databaseReport
	if err := r.databaseProcess.call("count", &databases); err != nil {
		r.addFault("%v", err)
	}
	s.Reads, s.Writes, s.Duplicates, s.Stale = databases.Counts.Reads, databases.Counts.Writes, databases.Counts.Duplicates, databases.Counts.Stale
	s.Firsts, s.Repeats, s.Misses, s.QueueFull = databases.Counts.Firsts, databases.Counts.Repeats, databases.Counts.Misses, databases.Counts.Full
	if databases.Counts.Duplicates > 0 {
		r.addFault("%d writes ran twice", databases.Counts.Duplicates)
	}
	if databases.Counts.Stale > 0 {
		r.addFault("%d reads were answered from data too old", databases.Counts.Stale)
	}
	if databases.Counts.Foreign > 0 {
		r.addFault("%d statements that no client sends", databases.Counts.Foreign)
	}
	if w := c.WholeRun; w.Sent != w.Served+w.Refused+w.Failed {
		r.addFault("%d sent, but %d served, %d refused and %d failed", w.Sent, w.Served, w.Refused, w.Failed)
	}
	gatewayCounts := Counts{}
	for _, k := range classes {
		gatewayCounts.Served += int(g.Metrics["passed."+k.Name])
		gatewayCounts.Refused += int(g.Metrics["dropped."+k.Name])
		gatewayCounts.Failed += int(g.Metrics["bad_gateway."+k.Name])
	}
	if w := c.WholeRun; gatewayCounts.Served != w.Served || gatewayCounts.Refused != w.Refused {
		r.addFault("the clients count %d served and %d refused, the gateway %d and %d", w.Served, w.Refused, gatewayCounts.Served, gatewayCounts.Refused)
	}
	if n := g.FailedBy["no answer"]; n > 0 {
		r.addFault("%d statements had no answer", n)
	}
	if n := g.FailedBy[errNotOneValue.Error()]; n > 0 {
		r.addFault("%d answers were not one row with one value", n)
	}
	if c.Unsolicited > 0 {
		r.addFault("%d unsolicited messages", c.Unsolicited)
	}
	if g.DescriptorReturnSeconds < 0 && !r.report.Partial {
		r.addFault("the gateway has %d descriptors %v after its last client, and had %d before the first", g.DescriptorsAfter, descriptorReturnTimeout, g.DescriptorsIdle)
	}
	if !r.gateway.Alive() {
		r.addFault("the gateway ended by itself")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	g.Events = maps.Clone(r.events)
}

// close stops all processes of the run.
func (r *run) close() {
	if r.clientProcess != nil {
		r.clientProcess.close()
	}
	if r.gateway != nil && r.gateway.Alive() {
		_ = r.gateway.Signal(syscall.SIGTERM)
		if r.gateway.Wait(6*time.Second) != nil && r.gateway.Alive() {
			r.gateway.Kill()
		}
	}
	if r.databaseProcess != nil {
		r.databaseProcess.close()
	}
}

// Verdict returns the error for the exit status of a run, nil if it is valid and without faults.
func Verdict(r *Report) error {
	switch {
	case len(r.Faults) > 0:
		return fmt.Errorf("the run has faults: %s", strings.Join(r.Faults, "; "))
	case !r.Valid:
		return errors.New("INVALID: " + r.Invalid)
	}
	return nil
}

// Text writes the report for a reader.
func (r *Report) Text(w io.Writer) error {
	g, s, c := &r.Gateway, &r.StandIn, &r.ClientSide
	printf := func(format string, args ...any) { fmt.Fprintf(w, format+"\n", args...) }
	printf("%d clients, %v statements/s, %d databases in groups of %d, %.1f s measured", r.Clients, r.Statements, r.Databases, r.GroupsOf, r.Seconds)
	printf("gateway: rss %.1f MB idle, %.1f with clients idle (%.0f bytes a connection), %.1f under load, at most %.1f of %d",
		g.RSSIdle, g.RSSClientsIdle, g.BytesPerClient, g.RSS, g.RSSMax, g.MemoryMB)
	printf("  core %.1f%% idle, %.1f%% with clients idle, %.1f%% under load, %.1f us a statement; paused for %d ms", g.CoreIdle, g.CoreClientsIdle, g.Core, g.CPUPerStatement, g.LostMS)
	printf("  descriptors %d idle, %d of %d under load, %d after (%.1f s)", g.DescriptorsIdle, g.Descriptors, g.Sockets, g.DescriptorsAfter, g.DescriptorReturnSeconds)
	printf("  connections of clients %.0f idle, %.0f under load; of databases %.0f; new ones %.1f/s from clients, %.1f/s to databases",
		g.ClientConnectionsIdle, g.ClientConnections, g.DatabaseConnections, g.Reconnects, g.NewDatabaseConnections)
	printf("  sent %d, served %d (late %d), refused %d, failed %d; p50 %.2f ms, p99 %.2f ms", g.Sent, g.Served, g.Late, g.Refused, g.Failed, g.P50, g.P99)
	for _, x := range []struct {
		what string
		by   map[string]int
	}{{"refused", g.RefusedBy}, {"failed", g.FailedBy}, {"turned away", g.TurnedAway}, {"log", g.Events}} {
		for _, k := range slices.Sorted(maps.Keys(x.by)) {
			printf("    %s: %d %s", x.what, x.by[k], k)
		}
	}
	for _, a := range g.Unserved {
		printf("    %s due at %.3f s, after %.1f ms: %s", a.Class, a.AtS, a.TookMS, a.Reason)
	}
	for _, role := range slices.Sorted(maps.Keys(s.PerDatabase)) {
		p := s.PerDatabase[role]
		printf("a database (%s, %d): connections mean %.3f, p99 %.0f, max %d; one or more for %.1f%% of the time; %.2f statements/s",
			role, p.Databases, p.Mean, p.P99, p.Max, 100*p.ShareAny, p.PerSecond)
	}
	printf("stand-in: %d statements came for the first time, %d again, %d writes at a replica, %d found a full queue", s.Firsts, s.Repeats, s.Misses, s.QueueFull)
	printf("stand-in: core %.1f%%, late p99 %.2f ms, at most %.2f ms", s.Core, s.HeartbeatMS.P99, s.HeartbeatMS.Max)
	printf("clients: core %.1f%%, late p99 %.2f ms, at most %.2f ms; statements late p99 %.2f ms, at most %.2f ms",
		c.Core, c.HeartbeatMS.P99, c.HeartbeatMS.Max, c.LatenessMS.P99, c.LatenessMS.Max)
	if r.Partial {
		printf("PARTIAL: the run was ended early")
	}
	if !r.Valid {
		printf("INVALID: %s", r.Invalid)
	}
	for _, f := range r.Faults {
		printf("FAULT: %s", f)
	}
	return nil
}
