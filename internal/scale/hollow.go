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

// process is one of hollow gateways.
type process struct {
	cmd  *exec.Cmd
	mu   sync.Mutex // of in
	in   io.WriteCloser
	end  chan struct{}
	last string // it said last on its log
	err  error
}

// startHollow starts a process; each report is handed to take, on a goroutine of its own.
func startHollow(command []string, log func(line string), first hollow.Start, take func(*hollow.Report)) (*process, error) {
	h := &process{cmd: exec.Command(command[0], command[1:]...), end: make(chan struct{})}
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true} // an interrupt is for the run alone
	var err error
	if h.in, err = h.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := h.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	said, err := h.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := h.cmd.Start(); err != nil {
		return nil, fmt.Errorf("hollow gateways: %w", err)
	}
	var both sync.WaitGroup
	both.Add(2)
	go func() {
		defer both.Done()
		lines := bufio.NewScanner(said)
		for lines.Buffer(nil, 1<<20); lines.Scan(); {
			h.last = lines.Text()
			log(h.last)
		}
		_, _ = io.Copy(io.Discard, said)
	}()
	go func() {
		defer both.Done()
		in := json.NewDecoder(out)
		for {
			r := &hollow.Report{}
			if err := in.Decode(r); err != nil {
				break
			}
			take(r)
		}
		_, _ = io.Copy(io.Discard, out)
	}()
	go func() {
		both.Wait()
		h.err = h.cmd.Wait()
		close(h.end)
	}()
	return h, h.say(first)
}

// say writes an order.
func (h *process) say(v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, err := h.in.Write(append(text, '\n')); err != nil {
		return fmt.Errorf("hollow gateways: %w", err)
	}
	return nil
}

func (h *process) ended() bool {
	select {
	case <-h.end:
		return true
	default:
		return false
	}
}

// quit ends it, in order if it does so in time.
func (h *process) quit() {
	_ = h.say(hollow.Order{Do: "quit"})
	h.mu.Lock()
	h.in.Close()
	h.mu.Unlock()
	select {
	case <-h.end:
	case <-time.After(5 * time.Second):
		_ = h.cmd.Process.Kill()
		<-h.end
	}
}

// usage is what /proc tells of a process.
type usage struct {
	rss float64 // bytes
	cpu float64 // ms
}

func used(pid int) (u usage, ok bool) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, false
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	var skip string
	var user, system, rss float64
	f := strings.Fields(rest)
	if len(f) < 22 {
		return u, false
	}
	_, err = fmt.Sscan(f[11]+" "+f[12]+" "+f[21]+" x", &user, &system, &rss, &skip)
	const tick = 10 // ms, USER_HZ
	return usage{rss: rss * float64(os.Getpagesize()), cpu: (user + system) * tick}, err == nil
}
