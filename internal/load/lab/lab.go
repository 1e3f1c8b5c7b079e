// Package lab plays a plan in a world of its own: stand-ins, real gateways as processes, and the load, all on
// loopback ports. It ends all that it started.
package lab

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"lilaccove/internal/load/plan"
	"lilaccove/internal/load/run"
	"lilaccove/internal/standin"
)

// Lab is one run.
type Lab struct {
	Plan     *plan.Plan
	Arrivals []plan.Arrival
	Gateway  []string // the command of a gateway
	Env      []string // more of its environment
	Log      *os.File // what gateways say; nil: nowhere

	world *standin.World
	nodes []*node
	dir   string
}

const (
	startTime = 10 * time.Second
	endTime   = 6 * time.Second
	drainTime = 4 * time.Second // of a database in a rolling deploy
)

// node is one gateway.
type node struct {
	cmd  *exec.Cmd
	addr string
	end  chan struct{}
	kill bool // by the plan
}

// Play runs it; what broke a rule is told in the report's faults.
func (l *Lab) Play(ctx context.Context) (*run.Report, error) {
	p := l.Plan
	opt := standin.Options{
		Groups: p.Groups, Members: p.Lab.Members, Cores: p.Lab.Cores, Queue: p.Lab.Queue, Service: p.Lab.Service,
		Exponential: p.Lab.Delay == "exponential", Lag: p.Lab.Lag, Cold: p.Lab.Cold, Seed: p.Seed, Bounds: map[string]time.Duration{},
	}
	for _, c := range p.Classes {
		if c.Kind == plan.BoundedRead {
			opt.Bounds[c.Name] = c.Bound
		}
	}
	var err error
	if l.world, err = standin.New(opt); err != nil {
		return nil, err
	}
	defer l.world.Close()
	if l.dir, err = os.MkdirTemp("", "lilacload-"); err != nil {
		return nil, err
	}
	defer os.RemoveAll(l.dir)
	defer l.stop()
	var targets []string
	for i := range p.Lab.Gateways {
		n, err := l.start(i)
		if err != nil {
			return nil, err
		}
		targets = append(targets, n.addr)
	}
	rec := run.NewRecorder(p)
	r := &run.Runner{Plan: p, Arrivals: l.Arrivals, Targets: targets, Sample: rec.Add}
	stop := make(chan struct{})
	var events sync.WaitGroup
	var faults []string
	var mu sync.Mutex
	begun := time.Now()
	for _, e := range p.Events {
		events.Add(1)
		go func() {
			defer events.Done()
			if !standin.Sleep(time.Until(begun.Add(e.At)), stop) {
				return
			}
			if err := l.event(e, stop); err != nil {
				mu.Lock()
				faults = append(faults, err.Error())
				mu.Unlock()
			}
		}()
	}
	sent, err := r.Play(ctx)
	close(stop)
	events.Wait()
	if err != nil {
		return nil, err
	}
	for i, n := range l.nodes {
		select {
		case <-n.end:
			if !n.kill {
				faults = append(faults, fmt.Sprintf("gateway %d ended by itself", i))
			}
		default:
		}
	}
	c := l.world.Counts()
	out := rec.Report(len(l.Arrivals), sent)
	out.World = c
	if c.Duplicates > 0 {
		faults = append(faults, fmt.Sprintf("%d writes ran twice, the first: %s", c.Duplicates, strings.Join(c.TwiceIDs, " ")))
	}
	if c.Stale > 0 {
		faults = append(faults, fmt.Sprintf("%d reads were answered from data too old, the first: %s", c.Stale, strings.Join(c.StaleIDs, " ")))
	}
	if c.Foreign > 0 {
		faults = append(faults, fmt.Sprintf("%d statements that no client sends", c.Foreign))
	}
	if c.Drained > 0 {
		faults = append(faults, fmt.Sprintf("%d statements to databases that were draining for over 2 s", c.Drained))
	}
	if n := out.Total.Counts[run.BadAnswer]; n > 0 {
		faults = append(faults, fmt.Sprintf("%d requests had no answer, or two", n))
	}
	if out.Total.Count != sent {
		faults = append(faults, fmt.Sprintf("%d of %d requests are accounted for", out.Total.Count, sent))
	}
	out.Faults = faults
	return out, nil
}

// event has the world do something, and takes it back when its time is over.
func (l *Lab) event(e plan.Event, stop <-chan struct{}) error {
	faults := standin.Faults{}
	switch e.Do {
	case "roll":
		members := l.world.Members()
		n := int(e.Part*float64(len(members)) + 0.5)
		var all sync.WaitGroup
		failed := make(chan error, n)
		for i, h := range members[:n] {
			if i > 0 && !standin.Sleep(e.For/time.Duration(n), stop) {
				break
			}
			all.Add(1)
			go func() {
				defer all.Done()
				failed <- l.world.Replace(h, drainTime, stop)
			}()
		}
		all.Wait()
		close(failed)
		for err := range failed {
			if err != nil {
				return err
			}
		}
		return nil
	case "lag":
		l.world.Lag(e.Part, e.Size)
		standin.Sleep(e.For, stop)
		l.world.Lag(1, 0)
		return nil
	case "pause":
		resume := l.world.Pause(e.Part)
		standin.Sleep(e.For, stop)
		resume()
		return nil
	case "kill-gateway":
		if n := l.nodes[0]; !n.kill {
			n.kill = true
			return n.cmd.Process.Kill()
		}
		return nil
	case "reset-before":
		faults.ResetBefore = e.Part
	case "reset-after":
		faults.ResetAfter = e.Part
	case "silence":
		faults.Silence = e.Part
	case "spoil":
		faults.Spoil = e.Part
	case "errors":
		faults.Errors = e.Part
	}
	l.world.SetFaults(faults)
	standin.Sleep(e.For, stop)
	l.world.SetFaults(standin.Faults{})
	return nil
}

// start runs a gateway and waits until it says where it listens.
func (l *Lab) start(i int) (*node, error) {
	dir := filepath.Join(l.dir, fmt.Sprintf("n%d", i))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	text, err := json.Marshal(l.config(i))
	if err != nil {
		return nil, err
	}
	path := filepath.Join(l.dir, fmt.Sprintf("n%d.json", i))
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	n := &node{cmd: exec.Command(l.Gateway[0], l.Gateway[1:]...), end: make(chan struct{})}
	n.cmd.Env = append(append(os.Environ(), "GW_CONFIG="+path, "TMPDIR="+dir), l.Env...)
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it does not outlive the lab
	out, err := n.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := n.cmd.Start(); err != nil {
		return nil, fmt.Errorf("gateway: %w", err)
	}
	l.nodes = append(l.nodes, n)
	started := make(chan string, 1)
	go func() {
		lines := bufio.NewScanner(out)
		last := ""
		for lines.Scan() {
			last = lines.Text()
			if l.Log != nil {
				fmt.Fprintf(l.Log, "n%d %s\n", i, last)
			}
			if _, rest, ok := strings.Cut(last, "event=started "); ok {
				_, rest, _ = strings.Cut(rest, "listen=")
				started <- strings.Fields(rest)[0]
			}
		}
		_ = n.cmd.Wait()
		close(n.end)
		select {
		case started <- "error: " + last:
		default:
		}
	}()
	select {
	case n.addr = <-started:
		if said, failed := strings.CutPrefix(n.addr, "error: "); failed {
			return nil, fmt.Errorf("gateway %d does not start: %s", i, said)
		}
		return n, nil
	case <-time.After(startTime):
		return nil, fmt.Errorf("gateway %d does not start", i)
	}
}

// config is what the platform would tell a gateway of this plan.
func (l *Lab) config(i int) map[string]any {
	p := l.Plan
	var lanes []any
	var levels []string
	var bounds []int64
	for _, c := range p.Classes {
		repeat := "retryable"
		level := "own_writes"
		bound := int64(0)
		switch c.Kind {
		case plan.Write:
			repeat, level = "fragile", "update"
		case plan.BoundedRead:
			level, bound = "recent", c.Bound.Microseconds()
		}
		levels, bounds = append(levels, level), append(bounds, bound)
		lanes = append(lanes, map[string]any{
			"Name": c.Name, "GoalTimeUs": c.Aim.Microseconds(), "DeadlineUs": c.Deadline.Microseconds(), "Repeat": repeat, "Worth": c.Worth,
		})
	}
	return map[string]any{
		"name": fmt.Sprintf("n%d", i), "listen": "127.0.0.1:0", "discovery": l.world.Discovery(), "seed": fmt.Sprintf("%x", p.Seed+uint64(i)+1),
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "known": json.RawMessage(l.world.List()),
		"settings": map[string]any{
			"Allowed": map[string]any{"Cancel": true, "ConnIdleUs": 15000000, "DialTimeoutUs": 250000, "MaxRetryAfterUs": 1000000,
				"Probes": true, "RetryAfter": true, "TryLimit": 6},
			"Discovery": "ask", "Domain": map[string]any{"Behind": "none", "ClassBoundUs": bounds, "ReadLevel": levels, "ShowsRole": "delayed",
				"SessionMarks": "client"},
			"Instances": p.Lab.Gateways, "Lanes": lanes, "Localities": []string{"a"}, "ResolutionUs": 5000, "Zone": 0,
			"Rules": map[string]any{"AnswerSlackUs": 20000, "ColdUs": max(1, p.Lab.Cold.Microseconds()), "DrainGraceUs": 2000000, "FallMultiple": 2,
				"FallUs": 1000000, "MustAskInUs": 10000000, "StartCapacity": 0.25},
		},
	}
}

// stop ends the gateways, in order if they can.
func (l *Lab) stop() {
	for _, n := range l.nodes {
		_ = n.cmd.Process.Signal(syscall.SIGTERM)
	}
	over := time.After(endTime)
	for _, n := range l.nodes {
		select {
		case <-n.end:
		case <-over:
			_ = n.cmd.Process.Kill()
			<-n.end
		}
	}
}

// ErrFaults tells that a rule was broken, or the run is not to be trusted.
var ErrFaults = errors.New("the run has faults")

// Verdict is what a run's exit status says.
func Verdict(r *run.Report) error {
	switch {
	case len(r.Faults) > 0:
		return fmt.Errorf("%w: %s", ErrFaults, strings.Join(r.Faults, "; "))
	case r.Invalid:
		return fmt.Errorf("the generator was late by up to %.1f ms, over its bound of %v", r.Lateness[4], r.Bound)
	}
	return nil
}
