package lab

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const pauseTimeout = 5 * time.Second // by when a process that was told to stand still does

// Process is one of the gateway's, which says in its log when it has started. It does not outlive the lab.
type Process struct {
	cmd          *exec.Cmd
	done         chan struct{}
	exitErr      error  // how it ended; read once end is closed
	lastLine     string // its last line, once end is closed
	startedEvent chan string
}

// NewProcess is one that Launch is to start.
func NewProcess(cmd *exec.Cmd) *Process {
	return &Process{cmd: cmd, done: make(chan struct{}), startedEvent: make(chan string, 1)}
}

// Setenv gives it variables besides those of this process.
func (p *Process) Setenv(list ...string) { p.cmd.Env = append(os.Environ(), list...) }

// Launch starts it. Each line of its log is handed to each, on a goroutine of its own; ended is called when it is over.
func (p *Process) Launch(onLine func(line string), onExit func()) error {
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
			onLine(last)
			if _, event, _ := strings.Cut(last, " event="); strings.HasPrefix(event, "started ") {
				p.startedEvent <- event
			}
		}
		p.exitErr, p.lastLine = p.cmd.Wait(), last
		close(p.done)
		onExit()
	}()
	return nil
}

// WaitStarted waits until it says that it has started, and returns what it says.
func (p *Process) WaitStarted(timeout time.Duration) (event string, err error) {
	select {
	case event = <-p.startedEvent:
		return event, nil
	case <-p.done:
		return "", fmt.Errorf("does not start: %s", p.lastLine)
	case <-time.After(timeout):
		return "", fmt.Errorf("does not start within %v", timeout)
	}
}

// Wait waits for its end and returns how it ended.
func (p *Process) Wait(timeout time.Duration) error {
	select {
	case <-p.done:
		return p.exitErr
	case <-time.After(timeout):
		return fmt.Errorf("does not end within %v", timeout)
	}
}

// Pid is the number of the process.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Alive tells whether it has not ended.
func (p *Process) Alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill ends it at once.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Signal sends it a signal; one that has ended gets none.
func (p *Process) Signal(s os.Signal) error {
	if err := p.cmd.Process.Signal(s); !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// Pause has it stand still, Continue go on.
func (p *Process) Pause() error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	// The signal is taken by one thread after the other; until the last has, the process goes on.
	for deadline := time.Now().Add(pauseTimeout); p.Alive() && !p.allThreadsStopped(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("process %d does not stand still within %v", p.Pid(), pauseTimeout)
		}
	}
	return nil
}

// allThreadsStopped tells whether all threads are stopped.
func (p *Process) allThreadsStopped() bool {
	list, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.Pid()))
	for _, path := range list {
		text, err := os.ReadFile(path)
		_, rest, ok := strings.Cut(string(text), ") ") // behind the name
		if err == nil && (!ok || rest[0] != 'T') {
			return false
		}
	}
	return err == nil && len(list) > 0
}

// Resume is the end of Stop.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// LogField is a value of a log line.
func LogField(line, key string) string {
	_, rest, _ := strings.Cut(line, " "+key+"=")
	value, _, _ := strings.Cut(rest, " ")
	return value
}
