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

const pauseTimeout = 5 * time.Second // in which all threads of a process must be stopped after SIGSTOP

// Process is an operating system process of a gateway. It logs an event when it has started, and is killed when the lab's
// process ends.
type Process struct {
	cmd          *exec.Cmd
	done         chan struct{}
	exitErr      error       // how it ended; valid once done is closed
	lastLine     string      // of its log; valid once done is closed
	startedEvent chan string // receives the text of the started event
}

// NewProcess returns a process that Launch will start.
func NewProcess(cmd *exec.Cmd) *Process {
	return &Process{cmd: cmd, done: make(chan struct{}), startedEvent: make(chan string, 1)}
}

// Setenv sets environment variables in addition to those of this process.
func (p *Process) Setenv(list ...string) { p.cmd.Env = append(os.Environ(), list...) }

// Launch starts the process. On a separate goroutine, onLine is called for each line of its log and onExit after its end.
func (p *Process) Launch(onLine func(line string), onExit func()) error {
	if p.cmd.SysProcAttr == nil {
		p.cmd.SysProcAttr = &syscall.SysProcAttr{}
	}
	p.cmd.SysProcAttr.Pdeathsig = syscall.SIGKILL
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	go func() {
		last := ""
		for lines := bufio.NewScanner(stderr); lines.Scan(); {
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

// WaitStarted waits for the log event that the process has started, and returns its text.
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

// Wait waits for the end of the process and returns its exit error.
func (p *Process) Wait(timeout time.Duration) error {
	select {
	case <-p.done:
		return p.exitErr
	case <-time.After(timeout):
		return fmt.Errorf("does not end within %v", timeout)
	}
}

// Pid returns the process ID.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Alive reports whether the process has not ended.
func (p *Process) Alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill sends SIGKILL and waits for the end of the process.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Signal sends a signal. It is no error if the process has ended.
func (p *Process) Signal(s os.Signal) error {
	if err := p.cmd.Process.Signal(s); !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// Pause stops the process with SIGSTOP until Resume is called.
func (p *Process) Pause() error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	// Threads stop one after the other; until the last has, the process still does work.
	for deadline := time.Now().Add(pauseTimeout); p.Alive() && !p.allThreadsStopped(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("process %d is not stopped within %v", p.Pid(), pauseTimeout)
		}
	}
	return nil
}

// allThreadsStopped reports whether the kernel has stopped every thread of the process.
func (p *Process) allThreadsStopped() bool {
	paths, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.Pid()))
	for _, path := range paths {
		text, err := os.ReadFile(path)
		_, rest, ok := strings.Cut(string(text), ") ") // the state follows the name in parentheses
		if err == nil && (!ok || rest[0] != 'T') {
			return false
		}
	}
	return err == nil && len(paths) > 0
}

// Resume continues a process that was paused.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// LogField returns the value of a key in a key=value log line, "" if the key is absent.
func LogField(line, key string) string {
	_, rest, _ := strings.Cut(line, " "+key+"=")
	value, _, _ := strings.Cut(rest, " ")
	return value
}
