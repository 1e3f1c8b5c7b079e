// Package datapath measures what one gateway spends on its clients, statements and databases: one real gateway, the
// databases in a process of their own, and the clients in another, each with a connection that it keeps.
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
	sidePatience = 10 * time.Second
	startTime    = 10 * time.Second
	restTime     = time.Second // before the idle gateway's memory is read
	lookEvery    = 250 * time.Millisecond
	backTime     = 25 * time.Second // by when the descriptors are back
	backSlack    = 2                // discovery's connection comes and goes
	spareOwn     = 200              // descriptors of a side besides its connections
)

// Options are one run.
type Options struct {
	Clients    int
	Statements float64 // a second, of all clients
	Databases  int
	GroupsOf   int
	For        time.Duration // measured
	Idle       time.Duration // clients are connected and ask for nothing
	Warm       time.Duration // before the measuring
	Again      time.Duration // mean pause before a client that was closed comes again
	Even       bool
	Seed       uint64
	Sockets    int // the gateway's; 0: see sockets
	MemoryMB   int
	Told       int           // gateways that there are, as this one is told
	Keep       time.Duration // Allowed.ConnIdleUs; 0: as the lab has it
	Service    time.Duration // mean time of a statement at a database
	Stall      time.Duration // lateness of a side that makes the run invalid
	Gateway    []string      // its command
	Sides      func(role string) []string
	Log        io.Writer                   // what the gateway says; nil: nowhere
	Started    func(role string, pid int)  // for tests
	Loaded     func()                      // likewise: the measured time has begun
	Fault      func(config map[string]any) // for tests: changes what the gateway is told
}

// classes are those of deploy/load/day.yaml.
var classes = []plan.Class{
	{Name: "browse-read", Kind: plan.BoundedRead, Mix: 0.66, Aim: 500 * time.Millisecond, Deadline: 1200 * time.Millisecond, Worth: 1, Bound: 3 * time.Second},
	{Name: "own-read", Kind: plan.SessionRead, Mix: 0.14, Aim: 500 * time.Millisecond, Deadline: 1500 * time.Millisecond, Worth: 2},
	{Name: "licence-write", Kind: plan.Write, Mix: 0.20, Aim: 600 * time.Millisecond, Deadline: 3 * time.Second, Worth: 4},
}

// Gateway is what the gateway spent.
type Gateway struct {
	RSSIdle         float64 `json:"rss_mb_idle"`         // without clients
	RSSClientsIdle  float64 `json:"rss_mb_clients_idle"` // all connected, none asks
	RSS             float64 `json:"rss_mb"`              // mean under load
	RSSMax          float64 `json:"rss_mb_max"`
	AnonIdle        float64 `json:"anon_mb_idle"` // of these what is no file's
	AnonClientsIdle float64 `json:"anon_mb_clients_idle"`
	Anon            float64 `json:"anon_mb"`
	BytesPerClient  float64 `json:"bytes_per_client_idle"` // growth from no client to idle ones, by connection

	CoreIdle        float64 `json:"core_percent_idle"`
	CoreClientsIdle float64 `json:"core_percent_clients_idle"`
	Core            float64 `json:"core_percent"`
	PerStatement    float64 `json:"cpu_us_per_statement"` // all of its processor time by the statements sent

	DescriptorsIdle  int     `json:"descriptors_idle"`
	Descriptors      int     `json:"descriptors"`
	DescriptorsAfter int     `json:"descriptors_after"`
	BackSeconds      float64 `json:"descriptors_back_s"` // behind the last client; below 0: they did not come back

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

	NewConnections float64 `json:"new_connections_per_s"` // to databases
	ClientNewIdle  float64 `json:"client_connections_idle_per_s"`
	ClientNew      float64 `json:"client_connections_per_s"` // from clients that came again
	ClosedIdle     float64 `json:"clients_closed_idle_per_s"`
	LostMS         int     `json:"lost_ms"` // by its own count, while measured
	Sockets        int     `json:"sockets"`
	MemoryMB       int     `json:"memory_mb"`
	ToldGateways   int     `json:"told_gateways"`
	KeepSeconds    float64 `json:"conn_idle_s"`

	Classes    map[string]*ClassReport `json:"classes"`
	RefusedBy  map[string]int          `json:"refused_by"` // whole run
	FailedBy   map[string]int          `json:"failed_by"`
	Amiss      []Amiss                 `json:"amiss"`       // the first of those
	TurnedAway map[string]int          `json:"turned_away"` // connections
	Figures    map[string]uint64       `json:"figures"`     // its own, at the end of the load
	Events     map[string]int          `json:"events"`      // lines of its log by event, sparse ones as they are told
}

// StandIn is the databases' side.
type StandIn struct {
	Core        float64                `json:"core_percent"`
	Descriptors int                    `json:"descriptors"`
	HeartbeatMS Quantiles              `json:"lateness_ms"`
	Most        int                    `json:"connections_max"` // of all at once
	Per         map[string]PerDatabase `json:"connections_per_database"`
	Reads       int                    `json:"reads"`
	Writes      int                    `json:"writes"`
	Duplicates  int                    `json:"duplicates"`
	Stale       int                    `json:"stale"`
	Firsts      int                    `json:"firsts"`  // statements that came for the first time
	Repeats     int                    `json:"repeats"` // and again
	Misses      int                    `json:"misses"`  // writes at a replica
	Full        int                    `json:"full"`    // turned away with a full queue
	ServiceMS   float64                `json:"service_ms"`
}

// ClientSide is the clients' side.
type ClientSide struct {
	Core        float64   `json:"core_percent"`
	Descriptors int       `json:"descriptors"`
	LatenessMS  Quantiles `json:"lateness_ms"`
	HeartbeatMS Quantiles `json:"heartbeat_ms"`
	AgainMS     float64   `json:"comes_again_ms"`
	Arrivals    string    `json:"arrivals"`
	Whole       Counts    `json:"whole"` // the warming up included
	Unasked     int       `json:"unasked_messages"`
}

// Report is one run.
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
	Seconds    float64    `json:"seconds"` // measured
	Gateway    Gateway    `json:"gateway"`
	StandIn    StandIn    `json:"standin"`
	ClientSide ClientSide `json:"client_side"`
}

// Sockets are as many as the deployment would set: clients may have half of them, 7,653 at the target with a region gone, and
// each database two.
func Sockets(clients, databases int) int { return 2*max(clients, 7653) + 2*databases }

// check tells all that does not fit before anything is started.
func (o *Options) check() error {
	var all []error
	bad := func(format string, args ...any) { all = append(all, fmt.Errorf(format, args...)) }
	if o.Clients < 1 {
		bad("--clients %d: one or more are wanted", o.Clients)
	}
	if o.Statements <= 0 {
		bad("--statements %v: more than none is wanted", o.Statements)
	}
	if o.GroupsOf < 1 || o.Databases < o.GroupsOf {
		bad("--databases %d in --groups-of %d: one whole group or more is wanted", o.Databases, o.GroupsOf)
	}
	if o.For <= 0 {
		bad("--for %v: more than no time is wanted", o.For)
	}
	hard := hardLimit()
	if o.Sockets == 0 {
		o.Sockets = min(hard, Sockets(o.Clients, o.Databases))
	}
	if o.Sockets > hard {
		bad("--sockets %d: a process may have %d descriptors here (ulimit -Hn); set at most that", o.Sockets, hard)
	}
	if need := o.Clients + spareOwn; need > hard {
		bad("--clients %d: their process needs %d descriptors and may have %d here (ulimit -Hn); ask for %d clients at most", o.Clients, need, hard, hard-spareOwn)
	}
	if need := 4*o.Databases + spareOwn; need > hard {
		bad("--databases %d: their process needs %d descriptors and may have %d here (ulimit -Hn)", o.Databases, need, hard)
	}
	return errors.Join(all...)
}

// meter is a process's processor time between two moments.
type meter struct {
	pid  int
	at   time.Time
	used time.Duration
}

func newMeter(pid int) meter {
	used, _ := processorTime(pid)
	return meter{pid: pid, at: time.Now(), used: used}
}

// since is the processor time from then on, and its share of a core in percent.
func (m meter) since() (used time.Duration, percent float64) {
	now, _ := processorTime(m.pid)
	used = now - m.used
	return used, round(100*used.Seconds()/max(0.001, time.Since(m.at).Seconds()), 2)
}

// run is one under way.
type run struct {
	Options
	r       *Report
	gateway *lab.Process
	manage  string
	bases   *side
	people  *side

	mu     sync.Mutex
	events map[string]int
	ended  bool // the gateway is meant to end
}

// Run plays one. The report is whole where no error is told; its faults and what makes it invalid stand in it.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	r := &run{Options: o, events: map[string]int{}, r: &Report{
		Clients: o.Clients, Statements: o.Statements, Databases: o.Databases, GroupsOf: o.GroupsOf, Seed: o.Seed, Faults: []string{},
	}}
	defer r.close()
	if err := r.start(); err != nil {
		return nil, err
	}
	if err := r.measure(ctx); err != nil {
		return nil, err
	}
	r.r.Partial = ctx.Err() != nil
	r.judge()
	return r.r, nil
}

// start brings up the databases and the gateway.
func (r *run) start() (err error) {
	set := databaseSide{
		Databases: r.Databases, GroupsOf: r.GroupsOf, Cores: 5, Queue: 60, Service: r.Service, Lag: 10 * time.Millisecond, Seed: r.Seed,
	}
	if r.bases, err = startSide("the databases' process", r.Sides("databases"), set); err != nil {
		return err
	}
	var at listening
	if err = r.bases.hear(&at, sidePatience); err != nil {
		return err
	}
	r.started("databases", r.bases.pid())
	dir, err := os.MkdirTemp("", "datapath-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	p := &plan.Plan{Seed: r.Seed, Classes: classes, Lab: plan.Lab{Gateways: 1, AnnouncedGateways: r.Told}}
	config := lab.Config(p, "g1", at.Discovery, r.Seed, at.List)
	config["limits"] = map[string]any{"cores": 1, "memory_mb": r.MemoryMB, "sockets": r.Sockets}
	allowed := config["settings"].(map[string]any)["Allowed"].(map[string]any)
	if r.Keep > 0 {
		allowed["ConnIdleUs"] = r.Keep.Microseconds()
	}
	if us, err := strconv.ParseInt(fmt.Sprint(allowed["ConnIdleUs"]), 10, 64); err == nil {
		r.r.Gateway.KeepSeconds = float64(us) / 1e6
	}
	if r.Fault != nil {
		r.Fault(config)
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
	if err := r.gateway.Launch(r.heard, func() {}); err != nil {
		r.gateway = nil
		return err
	}
	event, err := r.gateway.WaitStarted(startTime)
	if err != nil {
		return fmt.Errorf("the gateway %w", err)
	}
	r.started("gateway", r.gateway.Pid())
	r.manage = lab.LogField(event, "management")
	if got := lab.LogField(event, "sockets"); got != strconv.Itoa(r.Sockets) {
		return fmt.Errorf("the gateway has %s descriptors, not %d", got, r.Sockets)
	}
	r.r.Gateway.Sockets, r.r.Gateway.MemoryMB, r.r.Gateway.ToldGateways = r.Sockets, r.MemoryMB, r.Told
	set2 := clientSide{
		Target: lab.LogField(event, "listen"), Clients: r.Clients, Statements: r.Statements, Databases: r.Databases, GroupsOf: r.GroupsOf,
		Classes: classes, Idle: r.Idle, Warm: r.Warm, For: r.For, Again: r.Again, Even: r.Even, Seed: r.Seed,
	}
	// What the gateway holds and does without a client.
	time.Sleep(restTime)
	idle := newMeter(r.gateway.Pid())
	time.Sleep(restTime)
	g := &r.r.Gateway
	_, g.CoreIdle = idle.since()
	g.RSSIdle, g.AnonIdle = r.memory()
	g.DescriptorsIdle = descriptors(r.gateway.Pid())
	r.people, err = startSide("the clients' process", r.Sides("clients"), set2)
	return err
}

func (r *run) started(role string, pid int) {
	if r.Started != nil {
		r.Started(role, pid)
	}
}

// heard takes a line of the gateway's log.
func (r *run) heard(line string) {
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
	all, own := resident(r.gateway.Pid())
	return round(float64(all)/megabyte, 2), round(float64(own)/megabyte, 2)
}

// until waits for a moment; false: ctx ended first.
func until(ctx context.Context, ms int64) bool {
	t := time.NewTimer(time.Until(time.UnixMilli(ms)))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// measure follows the clients through their phases.
func (r *run) measure(ctx context.Context) error {
	var when schedule
	if err := r.people.hear(&when, sidePatience); err != nil {
		return err
	}
	r.started("clients", r.people.pid())
	go func() {
		<-ctx.Done()
		_ = r.people.tell(map[string]string{"do": "stop"})
	}()
	g, pid := &r.r.Gateway, r.gateway.Pid()
	if until(ctx, when.Connected) {
		idle := newMeter(pid)
		if until(ctx, when.Load-int64(lookEvery/time.Millisecond)) {
			_, g.CoreClientsIdle = idle.since()
			g.RSSClientsIdle, g.AnonClientsIdle = r.memory()
		}
	}
	if until(ctx, when.Begin) {
		if err := r.load(ctx, when.End); err != nil {
			return err
		}
	}
	left := time.Until(time.UnixMilli(when.End))
	if ctx.Err() != nil {
		left = 0
	}
	var c clientReport
	if err := r.people.hear(&c, left+10*time.Second+sidePatience); err != nil {
		return err
	}
	gone := time.Now()
	r.people.close()
	r.take(c)
	var err error
	if g.Figures, err = r.figures(); err != nil {
		return fmt.Errorf("the gateway's figures: %w", err)
	}
	// Its connections to databases are kept for a while.
	g.BackSeconds = -1
	for time.Since(gone) < backTime && ctx.Err() == nil {
		if g.DescriptorsAfter = descriptors(pid); g.DescriptorsAfter <= g.DescriptorsIdle+backSlack {
			g.BackSeconds = round(time.Since(gone).Seconds(), 1)
			break
		}
		time.Sleep(lookEvery)
	}
	return nil
}

// load looks at all processes while it is measured.
func (r *run) load(ctx context.Context, end int64) error {
	g, pid := &r.r.Gateway, r.gateway.Pid()
	if err := r.bases.ask("begin", &struct{}{}); err != nil {
		return err
	}
	before, err := r.figures()
	if err != nil {
		return err
	}
	if r.Loaded != nil {
		r.Loaded()
	}
	meters := []meter{newMeter(pid), newMeter(r.bases.pid()), newMeter(r.people.pid())}
	n := 0.0
	for ctx.Err() == nil && time.Now().UnixMilli() < end-int64(lookEvery/time.Millisecond) {
		rss, own := r.memory()
		g.RSS, g.Anon, g.RSSMax = g.RSS+rss, g.Anon+own, max(g.RSSMax, rss)
		g.Descriptors = max(g.Descriptors, descriptors(pid))
		r.r.StandIn.Descriptors = max(r.r.StandIn.Descriptors, descriptors(r.bases.pid()))
		n++
		until(ctx, time.Now().Add(lookEvery).UnixMilli())
	}
	used, share := meters[0].since()
	took := time.Since(meters[0].at).Seconds()
	g.Core = share
	g.PerStatement = used.Seconds() * 1e6 / max(1, took) // by the second; take divides by the rate
	_, r.r.StandIn.Core = meters[1].since()
	_, r.r.ClientSide.Core = meters[2].since()
	g.RSS, g.Anon = round(g.RSS/max(1, n), 2), round(g.Anon/max(1, n), 2)
	var d databaseReport
	if err := r.bases.ask("report", &d); err != nil {
		return err
	}
	after, err := r.figures()
	if err != nil {
		return err
	}
	g.LostMS = int(after["lost_ms"] - before["lost_ms"])
	s := &r.r.StandIn
	s.HeartbeatMS, s.Per, s.Most, s.ServiceMS = d.Heartbeat, d.Per, d.Max, float64(r.Service)/float64(time.Millisecond)
	g.DatabaseConnections = d.Mean
	g.NewConnections = round(float64(d.New)/max(0.001, took), 1)
	return nil
}

// take puts what the clients saw into the report.
func (r *run) take(c clientReport) {
	g, s := &r.r.Gateway, &r.r.ClientSide
	r.r.Seconds = c.Seconds
	g.ClientConnectionsIdle, g.ClientConnections = c.OpenIdle, c.Open
	g.Sent, g.Served, g.Refused, g.Failed, g.Late = c.Measured.Sent, c.Measured.Served, c.Measured.Refused, c.Measured.Failed, c.Measured.Late
	g.P50, g.P99 = c.Latency.P50, c.Latency.P99
	g.ClientNewIdle, g.ClientNew = c.AgainIdle, c.Again
	g.ClosedIdle = round(float64(c.Closed)/max(0.001, c.Seconds), 1)
	g.Classes, g.RefusedBy, g.FailedBy, g.TurnedAway, g.Amiss = c.Classes, c.RefusedBy, c.FailedBy, c.TurnedAway, c.Amiss
	if c.OpenIdle > 0 {
		g.BytesPerClient = round((g.RSSClientsIdle-g.RSSIdle)*megabyte/c.OpenIdle, 0)
	}
	g.PerStatement = round(g.PerStatement*max(0.001, c.Seconds)/float64(max(1, c.Measured.Sent)), 1)
	s.Descriptors, s.LatenessMS, s.HeartbeatMS, s.Whole, s.Unasked = c.Descriptors, c.Lateness, c.Heartbeat, c.Whole, c.Extra
	s.AgainMS, s.Arrivals = float64(r.Again)/float64(time.Millisecond), "poisson"
	if r.Even {
		s.Arrivals = "even"
	}
	if len(c.Short) > 0 {
		r.invalid("the clients' process was short of descriptors or ports: %v", c.Short)
	}
}

// figures are the gateway's own.
func (r *run) figures() (map[string]uint64, error) {
	text, err := lab.CallManagement("GET", r.manage, "/v1/metrics")
	return stats.Parse(text), err
}

func (r *run) invalid(format string, args ...any) {
	if r.r.Invalid != "" {
		r.r.Invalid += "; "
	}
	r.r.Invalid += fmt.Sprintf(format, args...)
}

func (r *run) fault(format string, args ...any) {
	r.r.Faults = append(r.r.Faults, fmt.Sprintf(format, args...))
}

// judge tells what the run is worth, and what went against a rule in it.
func (r *run) judge() {
	g, s, c := &r.r.Gateway, &r.r.StandIn, &r.r.ClientSide
	stall := float64(r.Stall) / float64(time.Millisecond)
	for _, x := range []struct {
		who  string
		late Quantiles
	}{{"the clients' process was late", c.HeartbeatMS}, {"the clients' process sent statements late", c.LatenessMS}, {"the databases' process was late", s.HeartbeatMS}} {
		if x.late.Max > stall {
			r.invalid("%s by up to %.1f ms, over its bound of %v", x.who, x.late.Max, r.Stall)
		} else if x.late.P99 > stall/5 {
			r.invalid("%s by %.1f ms at the 99th percentile, over a fifth of its bound of %v", x.who, x.late.P99, r.Stall)
		}
	}
	r.r.Valid = r.r.Invalid == ""
	var n databaseReport
	if err := r.bases.ask("count", &n); err != nil {
		r.fault("%v", err)
	}
	s.Reads, s.Writes, s.Duplicates, s.Stale = n.Counts.Reads, n.Counts.Writes, n.Counts.Duplicates, n.Counts.Stale
	s.Firsts, s.Repeats, s.Misses, s.Full = n.Counts.Firsts, n.Counts.Repeats, n.Counts.Misses, n.Counts.Full
	if n.Counts.Duplicates > 0 {
		r.fault("%d writes ran twice", n.Counts.Duplicates)
	}
	if n.Counts.Stale > 0 {
		r.fault("%d reads were answered from data too old", n.Counts.Stale)
	}
	if n.Counts.Foreign > 0 {
		r.fault("%d statements that no client sends", n.Counts.Foreign)
	}
	if w := c.Whole; w.Sent != w.Served+w.Refused+w.Failed {
		r.fault("%d sent, but %d served, %d refused and %d failed", w.Sent, w.Served, w.Refused, w.Failed)
	}
	own := Counts{}
	for _, k := range classes {
		own.Served += int(g.Figures["passed."+k.Name])
		own.Refused += int(g.Figures["dropped."+k.Name])
		own.Failed += int(g.Figures["bad_gateway."+k.Name])
	}
	if w := c.Whole; own.Served != w.Served || own.Refused != w.Refused {
		r.fault("the clients count %d served and %d refused, the gateway %d and %d", w.Served, w.Refused, own.Served, own.Refused)
	}
	if n := g.FailedBy["no answer"]; n > 0 {
		r.fault("%d statements had no answer", n)
	}
	if n := g.FailedBy[errForm.Error()]; n > 0 {
		r.fault("%d answers were not one row with one value", n)
	}
	if c.Unasked > 0 {
		r.fault("%d messages that nobody had asked for", c.Unasked)
	}
	if g.BackSeconds < 0 && !r.r.Partial {
		r.fault("the gateway has %d descriptors %v behind its last client, and had %d before the first", g.DescriptorsAfter, backTime, g.DescriptorsIdle)
	}
	if !r.gateway.Alive() {
		r.fault("the gateway ended by itself")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	g.Events = maps.Clone(r.events)
}

// close ends all that was started.
func (r *run) close() {
	if r.people != nil {
		r.people.close()
	}
	if r.gateway != nil && r.gateway.Alive() {
		_ = r.gateway.Signal(syscall.SIGTERM)
		if r.gateway.Wait(6*time.Second) != nil && r.gateway.Alive() {
			r.gateway.Kill()
		}
	}
	if r.bases != nil {
		r.bases.close()
	}
}

// Verdict is what a run's exit status says.
func Verdict(r *Report) error {
	switch {
	case len(r.Faults) > 0:
		return fmt.Errorf("the run has faults: %s", strings.Join(r.Faults, "; "))
	case !r.Valid:
		return errors.New("INVALID: " + r.Invalid)
	}
	return nil
}

// Text writes the report for a person.
func (r *Report) Text(w io.Writer) error {
	g, s, c := &r.Gateway, &r.StandIn, &r.ClientSide
	say := func(format string, args ...any) { fmt.Fprintf(w, format+"\n", args...) }
	say("%d clients, %v statements/s, %d databases in groups of %d, %.1f s measured", r.Clients, r.Statements, r.Databases, r.GroupsOf, r.Seconds)
	say("gateway: rss %.1f MB idle, %.1f with clients idle (%.0f bytes a connection), %.1f under load, at most %.1f of %d",
		g.RSSIdle, g.RSSClientsIdle, g.BytesPerClient, g.RSS, g.RSSMax, g.MemoryMB)
	say("  core %.1f%% idle, %.1f%% with clients idle, %.1f%% under load, %.1f us a statement; stood still for %d ms", g.CoreIdle, g.CoreClientsIdle, g.Core, g.PerStatement, g.LostMS)
	say("  descriptors %d idle, %d of %d under load, %d after (%.1f s)", g.DescriptorsIdle, g.Descriptors, g.Sockets, g.DescriptorsAfter, g.BackSeconds)
	say("  connections of clients %.0f idle, %.0f under load; of databases %.0f; new ones %.1f/s from clients, %.1f/s to databases",
		g.ClientConnectionsIdle, g.ClientConnections, g.DatabaseConnections, g.ClientNew, g.NewConnections)
	say("  sent %d, served %d (late %d), refused %d, failed %d; p50 %.2f ms, p99 %.2f ms", g.Sent, g.Served, g.Late, g.Refused, g.Failed, g.P50, g.P99)
	for _, x := range []struct {
		what string
		by   map[string]int
	}{{"refused", g.RefusedBy}, {"failed", g.FailedBy}, {"turned away", g.TurnedAway}, {"log", g.Events}} {
		for _, k := range slices.Sorted(maps.Keys(x.by)) {
			say("    %s: %d %s", x.what, x.by[k], k)
		}
	}
	for _, a := range g.Amiss {
		say("    %s due at %.3f s, after %.1f ms: %s", a.Class, a.AtS, a.TookMS, a.How)
	}
	for _, role := range slices.Sorted(maps.Keys(s.Per)) {
		p := s.Per[role]
		say("a database (%s, %d): connections mean %.3f, p99 %.0f, max %d; one or more for %.1f%% of the time; %.2f statements/s",
			role, p.Databases, p.Mean, p.P99, p.Max, 100*p.ShareAny, p.PerSecond)
	}
	say("stand-in: %d statements came for the first time, %d again, %d writes at a replica, %d found a full queue", s.Firsts, s.Repeats, s.Misses, s.Full)
	say("stand-in: core %.1f%%, late p99 %.2f ms, at most %.2f ms", s.Core, s.HeartbeatMS.P99, s.HeartbeatMS.Max)
	say("clients: core %.1f%%, late p99 %.2f ms, at most %.2f ms; statements late p99 %.2f ms, at most %.2f ms",
		c.Core, c.HeartbeatMS.P99, c.HeartbeatMS.Max, c.LatenessMS.P99, c.LatenessMS.Max)
	if r.Partial {
		say("PARTIAL: the run was ended early")
	}
	if !r.Valid {
		say("INVALID: %s", r.Invalid)
	}
	for _, f := range r.Faults {
		say("FAULT: %s", f)
	}
	return nil
}
