// Package hollow runs the control sides of many gateways in one process, each with a loop and a thread of its own: the program's
// own code on real sockets, without clients, operators and connections to databases. What answers of databases would tell is fed in.
package hollow

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"os"
	"runtime/debug"
	"runtime/metrics"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	answerTime = 2 * time.Second // of one gateway, for a report
	mostLine   = 16 << 20        // bytes of a command
)

// Start is the first line that the process reads.
type Start struct {
	Gateways []Spec `json:"gateways"`
	ReportMS int    `json:"report_ms"` // 0: each second
}

// Order is each further line.
type Order struct {
	Do    string   `json:"do"` // kill, end, start, quit
	Names []string `json:"names"`
}

// Report is one line that the process writes.
type Report struct {
	AtMS     int64   `json:"at_ms"`
	Process  Process `json:"process"`
	Gateways []State `json:"gateways"`
}

// Process is what all gateways cost together, the collector's work included.
type Process struct {
	CPUMS     float64 `json:"cpu_ms"`
	RSSBytes  int64   `json:"rss_bytes"`
	HeapLive  uint64  `json:"heap_live_bytes"` // what the last collection found in use
	LateMSMax float64 `json:"late_ms_max"`
	Monitor   float64 `json:"monitor_cpu_ms"` // of cpu_ms, for the runtime's monitor, see Threads
}

// Run plays gateways as the lines of in say, until quit or the end of in, and writes reports to out. What gateways log goes to
// logs, each line behind its gateway's name; nil: nowhere.
func Run(in io.Reader, out, logs io.Writer) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, mostLine)
	if !lines.Scan() {
		return errors.Join(errors.New("stdin: a line that tells the gateways is wanted first"), lines.Err())
	}
	var first Start
	if err := json.Unmarshal(lines.Bytes(), &first); err != nil {
		return fmt.Errorf("stdin:1: %w", err)
	}
	f := &fleet{byName: map[string]*hollow{}, out: json.NewEncoder(out), names: &threads{out: logs}}
	for i, spec := range first.Gateways {
		switch {
		case spec.Name == "" || spec.Config == "":
			return fmt.Errorf("stdin:1: gateway %d: name and config are wanted", i+1)
		case f.byName[spec.Name] != nil:
			return fmt.Errorf("stdin:1: gateway %s stands twice", spec.Name)
		case spec.StatementsPerS < 0 || spec.Skew < 0 || spec.Writes < 0 || spec.Writes > 1:
			return fmt.Errorf("stdin:1: gateway %s: statements_per_s and skew from 0 on, writes from 0 to 1 would do", spec.Name)
		}
		h := &hollow{spec: spec, names: f.names}
		f.byName[spec.Name] = h
		f.all = append(f.all, h)
	}
	log.SetOutput(io.Discard)
	if logs != nil {
		log.SetOutput(f.names)
	}
	debug.SetGCPercent(400) // as the program has it; it goes by what lives, however many gateways that is
	defer kill(f.all)
	if err := start(f.all); err != nil {
		return err
	}
	every := time.Duration(first.ReportMS) * time.Millisecond
	if every <= 0 {
		every = time.Second
	}
	stop, stopped := make(chan struct{}), make(chan error, 1)
	go func() { stopped <- f.report(every, stop) }()
	err := f.obey(lines)
	close(stop)
	return errors.Join(err, <-stopped)
}

// fleet is all gateways of the process.
type fleet struct {
	all    []*hollow
	byName map[string]*hollow
	out    *json.Encoder
	names  *threads
}

// obey does what the lines say, one after the other.
func (f *fleet) obey(lines *bufio.Scanner) error {
	for n := 2; lines.Scan(); n++ {
		var o Order
		if err := json.Unmarshal(lines.Bytes(), &o); err != nil {
			return fmt.Errorf("stdin:%d: %w", n, err)
		}
		var list []*hollow
		for _, name := range o.Names {
			h := f.byName[name]
			if h == nil {
				return fmt.Errorf("stdin:%d: no gateway is named %q", n, name)
			}
			list = append(list, h)
		}
		switch o.Do {
		case "kill":
			kill(list)
		case "end":
			each(list, func(_ int, h *hollow) { h.end() })
		case "start":
			if err := start(list); err != nil {
				fmt.Fprintln(os.Stderr, err) // the reports tell it, too
			}
		case "quit":
			return nil
		default:
			return fmt.Errorf("stdin:%d: %q is none of kill, end, start, quit", n, o.Do)
		}
	}
	return lines.Err()
}

// each does something to some gateways at once.
func each(list []*hollow, do func(i int, h *hollow)) {
	var all sync.WaitGroup
	for i, h := range list {
		all.Add(1)
		go func() {
			defer all.Done()
			do(i, h)
		}()
	}
	all.Wait()
}

func kill(list []*hollow) { each(list, func(_ int, h *hollow) { h.kill() }) }

func start(list []*hollow) error {
	errs := make([]error, len(list))
	each(list, func(i int, h *hollow) {
		if err := h.start(); err != nil {
			errs[i] = fmt.Errorf("gateway %s: %w", h.spec.Name, err)
		}
	})
	return errors.Join(errs...)
}

// report writes a line again and again, and one at the end.
func (f *fleet) report(every time.Duration, stop <-chan struct{}) error {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		ends := false
		select {
		case <-tick.C:
		case <-stop:
			ends = true
		}
		if err := f.out.Encode(f.now()); err != nil || ends {
			return err
		}
	}
}

// now asks all gateways at once.
func (f *fleet) now() Report {
	states := make([]State, len(f.all))
	each(f.all, func(i int, h *hollow) { states[i] = h.report() })
	r := Report{AtMS: time.Now().UnixMilli(), Gateways: states}
	for _, s := range states {
		r.Process.LateMSMax = max(r.Process.LateMSMax, s.LateMSMax)
	}
	var use unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &use) == nil {
		r.Process.CPUMS = millis(time.Duration(use.Utime.Nano() + use.Stime.Nano()))
	}
	r.Process.RSSBytes = resident()
	_, r.Process.Monitor, _ = Threads(os.Getpid()) // 0 where the kernel does not tell
	live := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	if metrics.Read(live); live[0].Value.Kind() == metrics.KindUint64 {
		r.Process.HeapLive = live[0].Value.Uint64()
	}
	return r
}

// report is the gateway's state now, or as it was last told where it does not answer in time.
func (h *hollow) report() State {
	answer := make(chan State, 1)
	if r := h.ask(func(r *run) { answer <- r.state() }); r != nil {
		select {
		case h.last = <-answer:
			return h.last
		case <-r.gone:
		case <-time.After(answerTime):
			s := h.last
			s.LateMSMax, s.DeadNames = millis(answerTime), nil
			return s
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s := State{Name: h.spec.Name}
	if h.err != nil {
		s.Error = h.err.Error()
	}
	return s
}

// resident is how much memory the process has.
func resident() int64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	f := strings.Fields(string(text))
	if len(f) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(f[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// threads tells by the thread which gateway writes a line of the log.
type threads struct {
	mu   sync.Mutex
	out  io.Writer // nil: nowhere
	name map[int]string
}

// begin notes that this thread is a gateway's from now on, end that it is not.
func (t *threads) begin(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.name == nil {
		t.name = map[int]string{}
	}
	t.name[unix.Gettid()] = name
}

func (t *threads) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.name, unix.Gettid())
}

func (t *threads) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	name := t.name[unix.Gettid()]
	if name == "" {
		name = "-"
	}
	if _, err := fmt.Fprintf(t.out, "%s %s", name, b); err != nil {
		return 0, err
	}
	return len(b), nil
}
