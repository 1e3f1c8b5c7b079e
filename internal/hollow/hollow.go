// Package hollow runs the control sides of many gateways in one process, each with an event loop and a thread of its own: the
// gateway's own code on real sockets, without clients, operators and connections to databases. The information that a gateway
// takes from the databases' answers is generated instead.
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
	reportTimeout = 2 * time.Second // for one gateway to contribute to a report
	maxLineBytes  = 16 << 20
)

// Start is the first line of standard input: the gateways to run.
type Start struct {
	Gateways []GatewaySpec `json:"gateways"`
	ReportMS int           `json:"report_ms"` // interval of the reports; 0: 1000
}

// Order is each further line of standard input: a command to some gateways.
type Order struct {
	Do    string   `json:"do"` // kill, end, start, quit
	Names []string `json:"names"`
}

// Report is one line of standard output.
type Report struct {
	AtMS     int64          `json:"at_ms"`
	Process  ProcessUsage   `json:"process"`
	Gateways []GatewayState `json:"gateways"`
}

// ProcessUsage is the resource use of the whole process, garbage collection included.
type ProcessUsage struct {
	CPUMS         float64 `json:"cpu_ms"`
	RSSBytes      int64   `json:"rss_bytes"`
	LiveHeapBytes uint64  `json:"heap_live_bytes"` // bytes live at the last garbage collection
	LateMSMax     float64 `json:"late_ms_max"`
	MonitorCPUMS  float64 `json:"monitor_cpu_ms"` // part of cpu_ms used by the runtime's monitor thread, see ThreadTimes
}

// Run reads the gateways and then orders from in, until quit or the end of input, and writes reports to out. The gateways' log
// lines go to logs, each prefixed with its gateway's name; a nil logs discards them.
func Run(in io.Reader, out, logs io.Writer) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	if !scanner.Scan() {
		return errors.Join(errors.New("stdin: the first line must list the gateways"), scanner.Err())
	}
	var first Start
	if err := json.Unmarshal(scanner.Bytes(), &first); err != nil {
		return fmt.Errorf("stdin:1: %w", err)
	}
	set := &gatewaySet{byName: map[string]*hollowGateway{}, out: json.NewEncoder(out), logWriter: &threadPrefixer{out: logs}}
	for i, spec := range first.Gateways {
		switch {
		case spec.Name == "" || spec.Config == "":
			return fmt.Errorf("stdin:1: gateway %d: name and config are required", i+1)
		case set.byName[spec.Name] != nil:
			return fmt.Errorf("stdin:1: gateway %s is listed twice", spec.Name)
		case spec.StatementsPerS < 0 || spec.Skew < 0 || spec.WriteShare < 0 || spec.WriteShare > 1:
			return fmt.Errorf("stdin:1: gateway %s: statements_per_s and skew must be at least 0, writes from 0 to 1", spec.Name)
		}
		gateway := &hollowGateway{spec: spec, logWriter: set.logWriter}
		set.byName[spec.Name] = gateway
		set.gateways = append(set.gateways, gateway)
	}
	log.SetOutput(io.Discard)
	if logs != nil {
		log.SetOutput(set.logWriter)
	}
	debug.SetGCPercent(400) // as in cmd/lilaccove; relative to the live heap, so independent of the number of gateways
	defer killAll(set.gateways)
	if err := startAll(set.gateways); err != nil {
		return err
	}
	interval := time.Duration(first.ReportMS) * time.Millisecond
	if interval <= 0 {
		interval = time.Second
	}
	stop, stopped := make(chan struct{}), make(chan error, 1)
	go func() { stopped <- set.report(interval, stop) }()
	err := set.executeOrders(scanner)
	close(stop)
	return errors.Join(err, <-stopped)
}

// gatewaySet holds all gateways of the process.
type gatewaySet struct {
	gateways  []*hollowGateway
	byName    map[string]*hollowGateway
	out       *json.Encoder
	logWriter *threadPrefixer
}

// executeOrders executes the orders one after the other.
func (set *gatewaySet) executeOrders(scanner *bufio.Scanner) error {
	for lineNumber := 2; scanner.Scan(); lineNumber++ {
		var order Order
		if err := json.Unmarshal(scanner.Bytes(), &order); err != nil {
			return fmt.Errorf("stdin:%d: %w", lineNumber, err)
		}
		var list []*hollowGateway
		for _, name := range order.Names {
			gateway := set.byName[name]
			if gateway == nil {
				return fmt.Errorf("stdin:%d: no gateway is named %q", lineNumber, name)
			}
			list = append(list, gateway)
		}
		switch order.Do {
		case "kill":
			killAll(list)
		case "end":
			forEach(list, func(_ int, h *hollowGateway) { h.end() })
		case "start":
			if err := startAll(list); err != nil {
				fmt.Fprintln(os.Stderr, err) // also in the reports, as GatewayState.Error
			}
		case "quit":
			return nil
		default:
			return fmt.Errorf("stdin:%d: do: %q is not one of kill, end, start, quit", lineNumber, order.Do)
		}
	}
	return scanner.Err()
}

// forEach calls do for all listed gateways concurrently and waits for all calls.
func forEach(list []*hollowGateway, do func(i int, gateway *hollowGateway)) {
	var wg sync.WaitGroup
	for i, h := range list {
		wg.Add(1)
		go func() {
			defer wg.Done()
			do(i, h)
		}()
	}
	wg.Wait()
}

func killAll(list []*hollowGateway) { forEach(list, func(_ int, h *hollowGateway) { h.kill() }) }

func startAll(list []*hollowGateway) error {
	errs := make([]error, len(list))
	forEach(list, func(i int, h *hollowGateway) {
		if err := h.start(); err != nil {
			errs[i] = fmt.Errorf("gateway %s: %w", h.spec.Name, err)
		}
	})
	return errors.Join(errs...)
}

// report writes a report at each interval, and a last one when stop is closed.
func (set *gatewaySet) report(interval time.Duration, stop <-chan struct{}) error {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		last := false
		select {
		case <-tick.C:
		case <-stop:
			last = true
		}
		if err := set.out.Encode(set.snapshot()); err != nil || last {
			return err
		}
	}
}

// snapshot collects the state of all gateways and the resource use of the process.
func (set *gatewaySet) snapshot() Report {
	states := make([]GatewayState, len(set.gateways))
	forEach(set.gateways, func(i int, h *hollowGateway) { states[i] = h.report() })
	report := Report{AtMS: time.Now().UnixMilli(), Gateways: states}
	for _, s := range states {
		report.Process.LateMSMax = max(report.Process.LateMSMax, s.LateMSMax)
	}
	var usage unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &usage) == nil {
		report.Process.CPUMS = millis(time.Duration(usage.Utime.Nano() + usage.Stime.Nano()))
	}
	report.Process.RSSBytes = residentBytes()
	_, report.Process.MonitorCPUMS, _ = ThreadTimes(os.Getpid()) // 0 where the kernel provides no schedstat
	heapLive := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	if metrics.Read(heapLive); heapLive[0].Value.Kind() == metrics.KindUint64 {
		report.Process.LiveHeapBytes = heapLive[0].Value.Uint64()
	}
	return report
}

// report returns the gateway's current state, or the last one reported where its loop does not answer within reportTimeout.
func (h *hollowGateway) report() GatewayState {
	answer := make(chan GatewayState, 1)
	if r := h.post(func(r *run) { answer <- r.state() }); r != nil {
		select {
		case h.lastState = <-answer:
			return h.lastState
		case <-r.closed:
		case <-time.After(reportTimeout):
			s := h.lastState
			s.LateMSMax, s.DeadNames = millis(reportTimeout), nil
			return s
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s := GatewayState{Name: h.spec.Name}
	if h.err != nil {
		s.Error = h.err.Error()
	}
	return s
}

// residentBytes returns the resident set size of this process.
func residentBytes() int64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// threadPrefixer prefixes log lines with the gateway that wrote them, identified by its thread.
type threadPrefixer struct {
	mu    sync.Mutex
	out   io.Writer // nil only where log lines are discarded
	names map[int]string
}

// assign sets the name that prefixes the lines of the calling thread; unassign removes it.
func (t *threadPrefixer) assign(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.names == nil {
		t.names = map[int]string{}
	}
	t.names[unix.Gettid()] = name
}

func (t *threadPrefixer) unassign() {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.names, unix.Gettid())
}

func (t *threadPrefixer) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	name := t.names[unix.Gettid()]
	if name == "" {
		name = "-"
	}
	if _, err := fmt.Fprintf(t.out, "%s %s", name, b); err != nil {
		return 0, err
	}
	return len(b), nil
}
