package scale

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"lilaccove/internal/hollow"
)

// hollowProcess is a process that runs hollow gateways.
type hollowProcess struct {
	cmd         *exec.Cmd
	mu          sync.Mutex // guards stdin
	stdin       io.WriteCloser
	done        chan struct{}
	lastLogLine string
	err         error
}

// startHollowProcess starts a process. It calls onLogLine for each log line and onReport for each report,
// from a goroutine each.
func startHollowProcess(command []string, onLogLine func(line string), first hollow.Start, onReport func(*hollow.Report)) (*hollowProcess, error) {
	process := &hollowProcess{cmd: exec.Command(command[0], command[1:]...), done: make(chan struct{})}
	process.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true} // the terminal's interrupt reaches the run only
	var err error
	if process.stdin, err = process.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	stdout, err := process.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	stderr, err := process.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := process.cmd.Start(); err != nil {
		return nil, fmt.Errorf("hollow gateways: %w", err)
	}
	var wg sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		lines := bufio.NewScanner(stderr)
		for lines.Buffer(nil, 1<<20); lines.Scan(); {
			process.lastLogLine = lines.Text()
			onLogLine(process.lastLogLine)
		}
		_, _ = io.Copy(io.Discard, stderr)
	}()
	go func() {
		defer wg.Done()
		reports := json.NewDecoder(stdout)
		for {
			r := &hollow.Report{}
			if err := reports.Decode(r); err != nil {
				break
			}
			onReport(r)
		}
		_, _ = io.Copy(io.Discard, stdout)
	}()
	go func() {
		wg.Wait()
		process.err = process.cmd.Wait()
		close(process.done)
	}()
	return process, process.send(first)
}

// send writes the message as one line to the process's standard input.
func (h *hollowProcess) send(message any) error {
	text, err := json.Marshal(message)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, err := h.stdin.Write(append(text, '\n')); err != nil {
		return fmt.Errorf("hollow gateways: %w", err)
	}
	return nil
}

func (h *hollowProcess) ended() bool {
	select {
	case <-h.done:
		return true
	default:
		return false
	}
}

// quit asks the process to end and kills it if it doesn't in time.
func (h *hollowProcess) quit() {
	_ = h.send(hollow.Order{Do: "quit"})
	h.mu.Lock()
	h.stdin.Close()
	h.mu.Unlock()
	select {
	case <-h.done:
	case <-time.After(5 * time.Second):
		_ = h.cmd.Process.Kill()
		<-h.done
	}
}

// processUse is a process's resource use according to /proc.
type processUse struct {
	rss   float64 // bytes
	cpuMS float64
}

func readProcessUse(pid int) (result processUse, ok bool) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return result, false
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	var sentinel string
	var user, system, rss float64
	fields := strings.Fields(rest)
	if len(fields) < 22 {
		return result, false
	}
	_, err = fmt.Sscan(fields[11]+" "+fields[12]+" "+fields[21]+" x", &user, &system, &rss, &sentinel)
	const tick = 10 // ms; USER_HZ is 100
	return processUse{rss: rss * float64(os.Getpagesize()), cpuMS: (user + system) * tick}, err == nil
}
