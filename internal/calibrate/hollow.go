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

// process is one of hollow gateways.
type process struct {
	cmd     *exec.Cmd
	in      io.WriteCloser
	reports chan hollow.Report
}

func startProcess(command, env []string, first hollow.Start) (*process, error) {
	p := &process{cmd: exec.Command(command[0], command[1:]...), reports: make(chan hollow.Report, 1)}
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
			select { // the newest alone counts
			case <-p.reports:
			default:
			}
			p.reports <- r
		}
	}()
	return p, json.NewEncoder(p.in).Encode(first)
}

// close has it end; it does so when nobody gives it orders any more.
func (p *process) close() {
	_ = p.in.Close()
	_ = p.cmd.Wait()
}

func (p *process) next(ctx context.Context) (hollow.Report, error) {
	select {
	case r, ok := <-p.reports:
		if !ok {
			return r, errors.New("the process has ended")
		}
		return r, nil
	case <-ctx.Done():
		return hollow.Report{}, ctx.Err()
	}
}

// ports are addresses that nobody has at the moment, for UDP and TCP.
func ports(n int) (list []string, err error) {
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer ln.Close() // all are held until all are known
		list = append(list, ln.Addr().String())
	}
	return list, nil
}

func (o Options) hollow(ctx context.Context, l *lab.Lab, fleet bool) (Side, error) {
	dir, err := os.MkdirTemp("", "lilacload-")
	if err != nil {
		return Side{}, err
	}
	defer os.RemoveAll(dir)
	at, err := ports(o.Gateways)
	if err != nil {
		return Side{}, err
	}
	first := hollow.Start{ReportMS: 500}
	for i := range o.Gateways {
		cfg := l.Config(i)
		spec := hollow.Spec{Name: cfg["name"].(string), Config: filepath.Join(dir, fmt.Sprintf("%d.json", i)), StatementsPerS: o.Statements}
		text, err := json.Marshal(cfg)
		if err == nil {
			err = os.WriteFile(spec.Config, text, 0o600)
		}
		if err == nil && fleet {
			spec.Fleet = filepath.Join(dir, fmt.Sprintf("%d.yaml", i))
			err = os.WriteFile(spec.Fleet, o.fleetFile(at, i), 0o600)
		}
		if err != nil {
			return Side{}, err
		}
		first.Gateways = append(first.Gateways, spec)
	}
	p, err := startProcess(o.Hollow, o.HollowEnv, first)
	if err != nil {
		return Side{}, err
	}
	defer p.close()
	late := time.Now().Add(agreeTime)
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
		if time.Now().After(late) {
			return Side{}, fmt.Errorf("%d of %d see all in %v", agreed, o.Gateways, agreeTime)
		}
	}
	if err := o.line.wait(ctx); err != nil {
		return Side{}, err
	}
	wait := o.Settle
	if o.Statements > 0 {
		wait += warm
	}
	if err := pause(ctx, wait); err != nil {
		return Side{}, err
	}
	take := func() (r hollow.Report, err error) {
		for range 2 { // the first may have waited here
			if r, err = p.next(ctx); err != nil {
				return r, err
			}
		}
		return r, nil
	}
	before, err := take()
	if err == nil {
		err = pause(ctx, o.For)
	}
	var after hollow.Report
	if err == nil {
		after, err = take()
	}
	if err != nil {
		return Side{}, err
	}
	s := o.side(samples(before), samples(after))
	sec := float64(after.AtMS-before.AtMS) / 1000
	s.Live = float64(after.Process.HeapLive) / (1 << 20) / float64(o.Gateways)
	s.Late = after.Process.LateMSMax
	s.Shared = (after.Process.CPUMS - before.Process.CPUMS) / 10 / sec / float64(o.Gateways)
	s.Monitor = (after.Process.Monitor - before.Process.Monitor) / 10 / sec / float64(o.Gateways)
	s.Shared -= s.Monitor
	for i, a := range after.Gateways {
		s.Shared -= (a.CPUMS - before.Gateways[i].CPUMS) / 10 / sec / float64(o.Gateways)
	}
	return s, nil
}

func samples(r hollow.Report) (list []sample) {
	for _, g := range r.Gateways {
		list = append(list, sample{
			at: time.UnixMilli(r.AtMS), cpu: g.CPUMS, feed: g.FeedCPUMS, memory: float64(r.Process.RSSBytes) / (1 << 20) / float64(len(r.Gateways)),
			roles: g.Roles, learned: g.PositionsLearned, heard: g.PositionsHeard, statements: g.Learned,
		})
	}
	return list
}

// fleetFile is that of the lab's gateways, without relays.
func (o Options) fleetFile(at []string, i int) []byte {
	b := fmt.Appendf(nil, "fleet: lab\nlisten: %s\nseeds: [%s]\npositions: true\nprimaries: true\n", at[i], strings.Join(at[:min(3, len(at))], ", "))
	if o.Budget > 0 {
		b = fmt.Appendf(b, "budgets:\n  connections: %d\n  lease: 1 s\n  holders:\n", o.Budget)
		for j := range o.Gateways {
			b = fmt.Appendf(b, "    - n%d\n", j)
		}
	}
	return b
}
