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
)

// What is said to a process of hollow gateways, and what it says, a JSON object a line.
type (
	hollowStart struct {
		Gateways []hollowGateway `json:"gateways"`
		ReportMS int             `json:"report_ms"`
	}
	hollowGateway struct {
		Name       string  `json:"name"`
		Config     string  `json:"config"`
		Fleet      string  `json:"fleet"`
		Zone       string  `json:"zone"`
		Statements float64 `json:"statements_per_s"`
		Skew       float64 `json:"skew"`
	}
	hollowOrder struct {
		Do    string   `json:"do"`
		Names []string `json:"names,omitempty"`
	}
	hollowReport struct {
		AtMS    int64 `json:"at_ms"`
		Process struct {
			CPUMS  float64 `json:"cpu_ms"`
			RSS    float64 `json:"rss_bytes"`
			LateMS float64 `json:"late_ms_max"`
		} `json:"process"`
		Gateways []gatewayReport `json:"gateways"`
	}
	gatewayReport struct {
		Name       string           `json:"name"`
		Up         bool             `json:"up"`
		CPUMS      float64          `json:"cpu_ms"`
		LateMS     float64          `json:"late_ms_max"`
		Members    int              `json:"view_members"`
		Digest     string           `json:"view_digest"`
		DeadNames  []string         `json:"dead_names"`
		ListSeq    int              `json:"list_seq"`
		Known      int              `json:"known_positions"`
		StaleP50MS *float64         `json:"stale_p50_ms"`
		StaleP99MS *float64         `json:"stale_p99_ms"`
		Roles      map[string]Count `json:"roles"`
	}
)

// Count is what one role of a gateway sent and took in.
type Count struct {
	OutBytes    uint64 `json:"out_bytes"`
	OutMessages uint64 `json:"out_messages"`
	InBytes     uint64 `json:"in_bytes"`
	InMessages  uint64 `json:"in_messages"`
}

func (c Count) plus(d Count) Count {
	return Count{c.OutBytes + d.OutBytes, c.OutMessages + d.OutMessages, c.InBytes + d.InBytes, c.InMessages + d.InMessages}
}

// minus is the difference to what was counted before.
func (c Count) minus(d Count) Count {
	return Count{c.OutBytes - d.OutBytes, c.OutMessages - d.OutMessages, c.InBytes - d.InBytes, c.InMessages - d.InMessages}
}

// less tells that it was counted from anew.
func (c Count) less(d Count) bool { return c.OutBytes < d.OutBytes || c.InBytes < d.InBytes }

// hollow is a process of hollow gateways.
type hollow struct {
	cmd  *exec.Cmd
	mu   sync.Mutex // of in
	in   io.WriteCloser
	end  chan struct{}
	last string // it said last on its log
	err  error
}

// startHollow starts a process; each report is handed to take, on a goroutine of its own.
func startHollow(command []string, log func(line string), first hollowStart, take func(*hollowReport)) (*hollow, error) {
	h := &hollow{cmd: exec.Command(command[0], command[1:]...), end: make(chan struct{})}
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
			r := &hollowReport{}
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
func (h *hollow) say(v any) error {
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

func (h *hollow) ended() bool {
	select {
	case <-h.end:
		return true
	default:
		return false
	}
}

// quit ends it, in order if it does so in time.
func (h *hollow) quit() {
	_ = h.say(hollowOrder{Do: "quit"})
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
