package calibrate

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"lilaccove/internal/hollow"
	"lilaccove/internal/lab"
)

// hollowProcess is a process with hollow gateways.
type hollowProcess struct {
	cmd     *exec.Cmd
	in      io.WriteCloser
	reports chan hollow.Report
}

func startHollow(command, env []string, start hollow.Start) (*hollowProcess, error) {
	p := &hollowProcess{cmd: exec.Command(command[0], command[1:]...), reports: make(chan hollow.Report, 1)}
	p.cmd.Env, p.cmd.Stderr = append(os.Environ(), env...), os.Stderr
	var err error
	if p.in, err = p.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		defer close(p.reports)
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 16<<20)
		for lines.Scan() {
			var r hollow.Report
			if json.Unmarshal(lines.Bytes(), &r) != nil {
				continue
			}
			select { // only the latest report is kept
			case <-p.reports:
			default:
			}
			p.reports <- r
		}
	}()
	return p, json.NewEncoder(p.in).Encode(start)
}

// close stops the process, which ends when its input is closed.
func (p *hollowProcess) close() {
	_ = p.in.Close()
	_ = p.cmd.Wait()
}

func (p *hollowProcess) next(ctx context.Context) (hollow.Report, error) {
	select {
	case r, ok := <-p.reports:
		if !ok {
			return r, errors.New("the process of the hollow gateways has ended")
		}
		return r, nil
	case <-ctx.Done():
		return hollow.Report{}, ctx.Err()
	}
}

// freeAddrs returns addresses for UDP and TCP whose TCP ports are free at the moment.
func freeAddrs(n int) (list []string, err error) {
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer ln.Close() // all are held until all are chosen
		list = append(list, ln.Addr().String())
	}
	return list, nil
}

func (o Options) hollowSide(ctx context.Context, l *lab.Lab, fleet bool) (Side, error) {
	dir, err := os.MkdirTemp("", "lilacload-")
	if err != nil {
		return Side{}, err
	}
	defer os.RemoveAll(dir)
	addrs, err := freeAddrs(o.Gateways)
	if err != nil {
		return Side{}, err
	}
	start := hollow.Start{ReportMS: 500}
	for i := range o.Gateways {
		cfg := l.Config(i)
		spec := hollow.GatewaySpec{Name: cfg["name"].(string), Config: filepath.Join(dir, fmt.Sprintf("%d.json", i)), StatementsPerS: o.Statements}
		text, err := json.Marshal(cfg)
		if err == nil {
			err = os.WriteFile(spec.Config, text, 0o600)
		}
		if err == nil && fleet {
			spec.Fleet = filepath.Join(dir, fmt.Sprintf("%d.yaml", i))
			err = os.WriteFile(spec.Fleet, o.fleetFile(addrs, i), 0o600)
		}
		if err != nil {
			return Side{}, err
		}
		start.Gateways = append(start.Gateways, spec)
	}
	p, err := startHollow(o.HollowCommand, o.HollowEnv, start)
	if err != nil {
		return Side{}, err
	}
	defer p.close()
	deadline := time.Now().Add(agreeTimeout)
	for agreed := 0; agreed < o.Gateways; {
		r, err := p.next(ctx)
		if err != nil {
			return Side{}, err
		}
		agreed = 0
		for _, s := range r.Gateways {
			if s.Up && (!fleet || s.ViewMembers == o.Gateways) {
				agreed++
			}
		}
		if time.Now().After(deadline) {
			return Side{}, fmt.Errorf("%d of %d gateways see all others after %v", agreed, o.Gateways, agreeTimeout)
		}
	}
	if err := o.barrier.wait(ctx); err != nil {
		return Side{}, err
	}
	delay := o.Settle
	if o.Statements > 0 {
		delay += warmUp
	}
	if err := sleep(ctx, delay); err != nil {
		return Side{}, err
	}
	nextReport := func() (r hollow.Report, err error) {
		for range 2 { // the first may be an older report still in the channel
			if r, err = p.next(ctx); err != nil {
				return r, err
			}
		}
		return r, nil
	}
	before, err := nextReport()
	if err == nil {
		err = sleep(ctx, o.MeasuredTime)
	}
	var after hollow.Report
	if err == nil {
		after, err = nextReport()
	}
	if err != nil {
		return Side{}, err
	}
	s := o.rates(hollowSamples(before), hollowSamples(after))
	sec := float64(after.AtMS-before.AtMS) / 1000
	s.LiveHeap = float64(after.Process.LiveHeapBytes) / (1 << 20) / float64(o.Gateways)
	s.LateMSMax = after.Process.LateMSMax
	s.SharedCore = (after.Process.CPUMS - before.Process.CPUMS) / 10 / sec / float64(o.Gateways)
	s.MonitorCore = (after.Process.MonitorCPUMS - before.Process.MonitorCPUMS) / 10 / sec / float64(o.Gateways)
	s.SharedCore -= s.MonitorCore
	for i, a := range after.Gateways {
		s.SharedCore -= (a.CPUMS - before.Gateways[i].CPUMS) / 10 / sec / float64(o.Gateways)
	}
	return s, nil
}

func hollowSamples(r hollow.Report) (list []sample) {
	for _, g := range r.Gateways {
		list = append(list, sample{
			at: time.UnixMilli(r.AtMS), cpu: g.CPUMS, feed: g.FeedCPUMS, memory: float64(r.Process.RSSBytes) / (1 << 20) / float64(len(r.Gateways)),
			roles: g.Roles, learned: g.PositionsLearned, heard: g.PositionsReceived, statements: g.AnswersLearned,
		})
	}
	return list
}

// fleetFile returns the fleet file of the lab's gateways, without relays.
func (o Options) fleetFile(addrs []string, i int) []byte {
	text := fmt.Appendf(nil, "fleet: lab\nlisten: %s\nseeds: [%s]\npositions: true\nprimaries: true\n", addrs[i], strings.Join(addrs[:min(3, len(addrs))], ", "))
	if o.Budget > 0 {
		text = fmt.Appendf(text, "budgets:\n  connections: %d\n  lease: 1 s\n  holders:\n", o.Budget)
		for j := range o.Gateways {
			text = fmt.Appendf(text, "    - n%d\n", j)
		}
	}
	return text
}
