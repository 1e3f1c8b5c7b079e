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
	readyTime = 20 * time.Second
	termTime  = 10 * time.Second
	askTime   = 800 * time.Millisecond
)

// real is a gateway that is a process of the whole program.
type real struct {
	run  *Run
	gate *gate

	mu      sync.Mutex
	p       *lab.Process
	clients string // where they connect
	manage  string
	digest  string
	dead    []string
	meant   bool // its end
}

func (n *real) start() error {
	dir := n.run.home(n.gate.name)
	p := lab.NewProcess(exec.Command(n.run.Gateway[0], n.run.Gateway[1:]...))
	p.Setenv("GW_CONFIG="+filepath.Join(dir, "config.json"), "GW_FLEET="+filepath.Join(dir, "fleet.yaml"), "GW_MANAGEMENT=127.0.0.1:0", "TMPDIR="+dir)
	n.mu.Lock()
	n.p, n.clients, n.manage, n.digest, n.meant = p, "", "", "", false
	n.mu.Unlock()
	if err := p.Launch(n.heard, func() { n.over(p) }); err != nil {
		return err
	}
	if _, err := p.WaitStarted(readyTime); err != nil {
		return fmt.Errorf("gateway %s %w", n.gate.name, err)
	}
	return nil
}

// over notes an end that nobody asked for.
func (n *real) over(p *lab.Process) {
	n.mu.Lock()
	odd := n.p == p && !n.meant
	n.mu.Unlock()
	if odd {
		n.run.fault("gateway %s ended by itself", n.gate.name)
	}
}

// heard takes a line of its log.
func (n *real) heard(line string) {
	n.run.said(n.gate.name + " " + line)
	_, event, _ := strings.Cut(line, " event=")
	n.mu.Lock()
	defer n.mu.Unlock()
	switch kind, _, _ := strings.Cut(event, " "); kind {
	case "started":
		n.clients, n.manage = lab.LogField(event, "listen"), lab.LogField(event, "management")
		n.run.front.SetAddr(n.gate.number, n.clients)
	case "fleet_view":
		n.digest = lab.LogField(event, "digest")
	case "fleet_member":
		if lab.LogField(event, "state") == "dead" {
			n.dead = append(n.dead, lab.LogField(event, "name"))
		}
	}
}

// sample asks it for its figures.
func (n *real) sample(at time.Time) {
	n.mu.Lock()
	p, manage, s := n.p, n.manage, hollow.State{Name: n.gate.name, Up: true, ViewDigest: n.digest, DeadNames: n.dead, Roles: map[string]traffic{}}
	n.dead = nil
	n.mu.Unlock()
	r := n.run
	var u usage
	on := false
	if p != nil && p.Alive() && manage != "" {
		if text, err := ask(manage, "/v1/metrics"); err == nil {
			on = true
			figures := stats.Parse([]byte(text))
			s.Roles = stats.TrafficByRole(figures)
			s.ViewMembers = int(figures["fleet_view_members"])
		}
		u, _ = used(p.Pid())
	}
	r.mu.Lock()
	open := len(r.changes) > 0 && !r.changes[len(r.changes)-1].whole
	last := n.gate.last()
	r.mu.Unlock()
	if last != nil {
		s.ListSeq = last.seq
	}
	if on && (open || s.ListSeq == 0) {
		s.ListSeq = n.list(manage)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.judge(n.gate, at, s.DeadNames)
	if on && n.gate.live && r.ended.IsZero() {
		s.CPUMS = u.cpu
		n.gate.take(at, &s, u.rss, 0)
		if at.After(n.gate.began) {
			n.gate.ready = true
		}
	}
}

// list is the version that it acts on.
func (n *real) list(manage string) int64 {
	var v peer.VersionsReport
	if text, err := ask(manage, "/v1/fleet/versions"); err != nil || json.Unmarshal([]byte(text), &v) != nil {
		return 0
	}
	for _, x := range v.Versions {
		if x.Name == v.Name {
			return x.ListVersion
		}
	}
	return 0
}

func ask(manage, path string) (string, error) {
	c := &http.Client{Timeout: askTime, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := c.Get("http://" + manage + path)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err == nil && answer.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %d", path, answer.StatusCode)
	}
	return string(text), err
}

func (n *real) process() *lab.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.meant = true
	return n.p
}

func (n *real) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.p == nil || n.clients == "" || !n.p.Alive() {
		return 0
	}
	return n.p.Pid()
}

func (n *real) kill() {
	if p := n.process(); p != nil && n.pid() > 0 {
		p.Kill()
	}
}

// term asks it to end in order.
func (n *real) term() error {
	p := n.process()
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	if err := p.Wait(termTime); err != nil && p.Alive() {
		p.Kill()
		return fmt.Errorf("gateway %s does not end within %v", n.gate.name, termTime)
	}
	return nil
}

// clients are those of the real gateways, which a front hands out as the lab's does.
type clients struct {
	cancel context.CancelFunc
	done   chan struct{}
	rec    *run.Recorder
	sent   int
	n      int
	err    error
}

func startClients(p *Plan, list []*real, front *lab.Balancer) (*clients, error) {
	if p.Clients <= 0 {
		return nil, nil
	}
	length := p.Settle + p.For + time.Minute
	l := &plan.Plan{
		Seed: p.Seed, Groups: (p.Databases + p.Group - 1) / p.Group, Keys: 1000, Sessions: 20 * len(list), FollowShare: 0.2, FollowAfter: 300 * time.Millisecond,
		HonourShare: 1, MaxConnections: 50, MaxOutstanding: 5000, MaxLateness: time.Second, MaxArrivals: 10_000_000,
		Classes: []plan.Class{
			{Name: "browse", Kind: plan.BoundedRead, Mix: 0.7, Aim: 500 * time.Millisecond, Deadline: 1200 * time.Millisecond, Worth: 1, Bound: 3 * time.Second},
			{Name: "own", Kind: plan.SessionRead, Mix: 0.1, Aim: 500 * time.Millisecond, Deadline: 1500 * time.Millisecond, Worth: 2},
			{Name: "write", Kind: plan.Write, Mix: 0.2, Aim: 600 * time.Millisecond, Deadline: 3 * time.Second, Worth: 4},
		},
	}
	rate := p.Clients * float64(len(list))
	l.Stages = []plan.Stage{{Name: "all", Segments: []plan.RateSegment{{From: rate, To: rate, For: length}}}}
	arrivals, err := plan.Schedule(l)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &clients{cancel: cancel, done: make(chan struct{}), rec: run.NewRecorder(l), n: len(arrivals)}
	r := &run.Runner{Plan: l, Arrivals: arrivals, OnSample: c.rec.Add, SelectTarget: front.Pick}
	go func() {
		defer close(c.done)
		c.sent, c.err = r.Play(ctx)
	}()
	return c, nil
}

func (c *clients) close() {
	if c != nil {
		c.cancel()
		<-c.done
	}
}
