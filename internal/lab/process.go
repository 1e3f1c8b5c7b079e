package lab

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

// Process is one of the gateway's, which says in its log when it has started. It does not outlive the lab.
type Process struct {
	cmd     *exec.Cmd
	end     chan struct{}
	err     error  // how it ended; read once end is closed
	last    string // its last line, once end is closed
	started chan string
}

// NewProcess is one that Launch is to start.
func NewProcess(cmd *exec.Cmd) *Process {
	return &Process{cmd: cmd, end: make(chan struct{}), started: make(chan string, 1)}
}

// Setenv gives it variables besides those of this process.
func (p *Process) Setenv(list ...string) { p.cmd.Env = append(os.Environ(), list...) }

// Launch starts it. Each line of its log is handed to each, on a goroutine of its own; ended is called when it is over.
func (p *Process) Launch(each func(line string), ended func()) error {
	if p.cmd.SysProcAttr == nil {
		p.cmd.SysProcAttr = &syscall.SysProcAttr{}
	}
	p.cmd.SysProcAttr.Pdeathsig = syscall.SIGKILL
	out, err := p.cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	go func() {
		last := ""
		for lines := bufio.NewScanner(out); lines.Scan(); {
			last = lines.Text()
			each(last)
			if _, event, _ := strings.Cut(last, " event="); strings.HasPrefix(event, "started ") {
				p.started <- event
			}
		}
		p.err, p.last = p.cmd.Wait(), last
		close(p.end)
		ended()
	}()
	return nil
}

// Ready waits until it says that it has started, and returns what it says.
func (p *Process) Ready(patience time.Duration) (event string, err error) {
	select {
	case event = <-p.started:
		return event, nil
	case <-p.end:
		return "", fmt.Errorf("does not start: %s", p.last)
	case <-time.After(patience):
		return "", fmt.Errorf("does not start within %v", patience)
	}
}

// Wait waits for its end and returns how it ended.
func (p *Process) Wait(patience time.Duration) error {
	select {
	case <-p.end:
		return p.err
	case <-time.After(patience):
		return fmt.Errorf("does not end within %v", patience)
	}
}

// Pid is the number of the process.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Alive tells whether it has not ended.
func (p *Process) Alive() bool {
	select {
	case <-p.end:
		return false
	default:
		return true
	}
}

// Kill ends it at once.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.end
}

// Signal sends it a signal; one that has ended gets none.
func (p *Process) Signal(s os.Signal) error {
	if err := p.cmd.Process.Signal(s); !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// Stop has it stand still, Continue go on.
func (p *Process) Stop() error { return p.Signal(syscall.SIGSTOP) }

// Continue is the end of Stop.
func (p *Process) Continue() error { return p.Signal(syscall.SIGCONT) }

// Field is a value of a log line.
func Field(line, key string) string {
	_, rest, _ := strings.Cut(line, " "+key+"=")
	value, _, _ := strings.Cut(rest, " ")
	return value
}
