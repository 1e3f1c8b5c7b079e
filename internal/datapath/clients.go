package datapath

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"

	"lilaccove/internal/load/plan"
	"lilaccove/internal/pgwire"
)

const (
	firstConnectionRate = 4000                   // per second
	connectTimeout      = 3 * time.Second        // until a connection has its greeting
	settleTime          = 300 * time.Millisecond // after the last first connection
	answerSlack         = 2 * time.Second        // after a deadline; a statement without answer by then counts as "no answer"
	sourceAddresses     = 16                     // loopback addresses of the clients; each has its own range of ports
	sampleInterval      = 100 * time.Millisecond
	heartbeatInterval   = 5 * time.Millisecond // of the timer that measures a helper process's own lateness
	maxTexts            = 20                   // distinct texts of a kind, and statements in Unserved
)

// clientSettings is the first line that the clients' process receives.
type clientSettings struct {
	Target         string        `json:"target"`
	Clients        int           `json:"clients"`
	Statements     float64       `json:"statements_per_s"` // of all clients
	Databases      int           `json:"databases"`
	GroupsOf       int           `json:"groups_of"`
	Classes        []plan.Class  `json:"classes"`
	Idle           time.Duration `json:"idle_ns"` // all clients are connected and send nothing
	WarmUp         time.Duration `json:"warm_ns"` // under load, not measured
	MeasuredTime   time.Duration `json:"for_ns"`
	ReconnectPause time.Duration `json:"again_ns"` // mean pause before a client reconnects after its connection was closed
	EvenArrivals   bool          `json:"even"`     // a client's statements are evenly spaced
	Seed           uint64        `json:"seed"`
}

// schedule is when the phases begin, in ms of the Unix epoch.
type schedule struct {
	Connected int64 `json:"connected_ms"` // all clients should be connected
	Load      int64 `json:"load_ms"`
	Begin     int64 `json:"begin_ms"`
	End       int64 `json:"end_ms"`
}

// Counts are numbers of statements by result.
type Counts struct {
	Sent    int `json:"sent"`
	Served  int `json:"served"`
	Late    int `json:"late"` // served, later than the aim
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
}

// add counts a statement.
func (c *Counts) add(o outcome) {
	c.Sent++
	switch {
	case o.refused != "":
		c.Refused++
	case o.failed != "":
		c.Failed++
	default:
		c.Served++
		if o.late {
			c.Late++
		}
	}
}

// Quantiles of a duration in ms, unless the field's name says otherwise.
type Quantiles struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	Max  float64 `json:"max"`
}

// ClassReport is the result of one class of statements.
type ClassReport struct {
	Counts
	LatencyMS Quantiles `json:"latency_ms"` // of served statements, from their scheduled time
}

// UnservedStatement is a statement that was not served.
type UnservedStatement struct {
	Class  string  `json:"class"`
	AtS    float64 `json:"at_s"` // when it was due, since the beginning of the load
	TookMS float64 `json:"took_ms"`
	Reason string  `json:"how"`
}

// clientReport is the last line that the clients' process sends.
type clientReport struct {
	Seconds        float64                 `json:"seconds"`   // measured time
	Connected      int                     `json:"connected"` // when the load began
	OpenIdle       float64                 `json:"open_idle"`
	Open           float64                 `json:"open"`
	OpenMax        int                     `json:"open_max"`
	ReconnectsIdle float64                 `json:"again_idle_per_s"` // connections/s while no client sent statements
	Reconnects     float64                 `json:"again_per_s"`
	Closed         int                     `json:"closed"` // by the gateway while idle, in the measured time
	TurnedAway     map[string]int          `json:"turned_away"`
	WholeRun       Counts                  `json:"whole"` // from the first statement on, including the warm-up
	Measured       Counts                  `json:"measured"`
	Latency        Quantiles               `json:"latency_ms"`
	Classes        map[string]*ClassReport `json:"classes"`
	RefusedBy      map[string]int          `json:"refused_by"`
	FailedBy       map[string]int          `json:"failed_by"`
	Unserved       []UnservedStatement     `json:"amiss"`
	Unsolicited    int                     `json:"extra"` // unsolicited messages
	Lateness       Quantiles               `json:"lateness_ms"`
	Heartbeat      Quantiles               `json:"heartbeat_ms"`
	Descriptors    int                     `json:"descriptors"`
	ResourceErrors map[string]int          `json:"short"` // errors for lack of descriptors or ports in this process
}

// clientPool is all clients of a process.
type clientPool struct {
	clientSettings
	started, loadStart, measureStart time.Time
	loadEndNanos                     atomic.Int64 // since started
	stopped                          chan struct{}
	clients                          []*client
	open                             atomic.Int64
	nonce                            atomic.Uint64

	mu             sync.Mutex
	report         clientReport
	latency        *hdrhistogram.Histogram
	byClass        map[string]*hdrhistogram.Histogram
	lateness       *hdrhistogram.Histogram
	reconnectsIdle int
	reconnects     int
	openSum        [2]float64 // without load, measured time
	openSamples    [2]float64
}

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), 60_000_000))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	if h.TotalCount() == 0 {
		return Quantiles{}
	}
	ms := func(us int64) float64 { return round(float64(us)/1000, 3) }
	return Quantiles{Mean: round(h.Mean()/1000, 3), P50: ms(h.ValueAtQuantile(50)), P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max())}
}

func round(x float64, digits int) float64 {
	f := math.Pow10(digits)
	return math.Round(x*f) / f
}

// RunClients runs the clients' process. It reads its settings as a line of JSON and writes its schedule, then its report when the
// load has ended: at the scheduled time, or earlier on a further line or the end of its input.
func RunClients(in io.Reader, out io.Writer) error {
	lines := bufio.NewReader(in)
	first, err := lines.ReadBytes('\n')
	if err != nil {
		return err
	}
	pool := &clientPool{
		stopped: make(chan struct{}), latency: histogram(), lateness: histogram(), byClass: map[string]*hdrhistogram.Histogram{},
		report: clientReport{
			TurnedAway: map[string]int{}, Classes: map[string]*ClassReport{}, RefusedBy: map[string]int{}, FailedBy: map[string]int{},
			ResourceErrors: map[string]int{},
		},
	}
	if err := json.Unmarshal(first, &pool.clientSettings); err != nil {
		return err
	}
	for _, c := range pool.Classes {
		pool.report.Classes[c.Name], pool.byClass[c.Name] = &ClassReport{}, histogram()
	}
	pool.started = time.Now()
	connected := time.Duration(float64(pool.Clients)/firstConnectionRate*float64(time.Second)) + settleTime
	pool.loadStart = pool.started.Add(connected + pool.Idle)
	pool.measureStart = pool.loadStart.Add(pool.WarmUp)
	end := pool.measureStart.Add(pool.MeasuredTime)
	pool.loadEndNanos.Store(int64(end.Sub(pool.started)))
	pool.nonce.Store(uint64(pool.started.UnixNano()) << 24) // makes statement ids differ between runs
	encoder := json.NewEncoder(out)
	if err := encoder.Encode(schedule{pool.started.Add(connected).UnixMilli(), pool.loadStart.UnixMilli(), pool.measureStart.UnixMilli(), end.UnixMilli()}); err != nil {
		return err
	}
	var clients sync.WaitGroup
	for i := range pool.Clients {
		pool.clients = append(pool.clients, &client{clientPool: pool, number: i, random: rand.New(rand.NewPCG(pool.Seed, uint64(i)))})
	}
	go func() {
		_, _ = lines.ReadBytes('\n')
		pool.endLoad()
	}()
	for _, c := range pool.clients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c.run()
		}()
	}
	samplingEnd := make(chan struct{})
	heartbeats := histogram()
	var samplers sync.WaitGroup
	samplers.Add(2)
	go func() {
		defer samplers.Done()
		recordHeartbeats(heartbeats, time.Now(), samplingEnd)
	}()
	go func() {
		defer samplers.Done()
		pool.sampleConnections(samplingEnd)
	}()
	clients.Wait()
	close(samplingEnd)
	samplers.Wait()
	return encoder.Encode(pool.finalReport(heartbeats))
}

// recordHeartbeats records how late a timer of this process fires, from due until end is closed.
func recordHeartbeats(h *hdrhistogram.Histogram, due time.Time, end <-chan struct{}) {
	for {
		due = due.Add(heartbeatInterval)
		select {
		case <-end:
			if late := time.Since(due); late > 0 {
				record(h, late) // the process was stalled until the end
			}
			return
		case <-time.After(time.Until(due)):
		}
		late := time.Since(due)
		record(h, late)
		if late > heartbeatInterval {
			due = time.Now()
		}
	}
}

// loadEnd returns when the load ends.
func (p *clientPool) loadEnd() time.Time { return p.started.Add(time.Duration(p.loadEndNanos.Load())) }

// endLoad ends the load now.
func (p *clientPool) endLoad() {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.stopped:
		return
	default:
	}
	p.loadEndNanos.Store(min(p.loadEndNanos.Load(), int64(time.Since(p.started))))
	close(p.stopped)
	for _, c := range p.clients {
		c.wake()
	}
}

// sampleConnections counts the open connections at every sampleInterval.
func (p *clientPool) sampleConnections(end <-chan struct{}) {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-end:
			return
		case now := <-tick.C:
			p.mu.Lock()
			n := float64(p.open.Load())
			switch {
			case now.After(p.loadStart.Add(-p.Idle)) && now.Before(p.loadStart):
				p.openSum[0] += n
				p.openSamples[0]++
				p.report.Connected = int(n)
			case now.After(p.measureStart) && now.Before(p.loadEnd()):
				p.openSum[1] += n
				p.openSamples[1]++
				p.report.OpenMax = max(p.report.OpenMax, int(n))
				p.report.Descriptors = max(p.report.Descriptors, descriptors(os.Getpid()))
			}
			p.mu.Unlock()
		}
	}
}

func (p *clientPool) finalReport(heartbeats *hdrhistogram.Histogram) clientReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.report
	r.Seconds = round(max(0, p.loadEnd().Sub(p.measureStart).Seconds()), 3)
	r.OpenIdle, r.Open = round(p.openSum[0]/max(1, p.openSamples[0]), 1), round(p.openSum[1]/max(1, p.openSamples[1]), 1)
	r.ReconnectsIdle = round(float64(p.reconnectsIdle)/max(0.001, p.Idle.Seconds()), 1)
	r.Reconnects = round(float64(p.reconnects)/max(0.001, r.Seconds), 1)
	r.Latency, r.Lateness, r.Heartbeat = quantiles(p.latency), quantiles(p.lateness), quantiles(heartbeats)
	for name, c := range r.Classes {
		c.LatencyMS = quantiles(p.byClass[name])
	}
	return r
}

// client is one client. It keeps its connection until the gateway closes it.
type client struct {
	*clientPool
	number          int
	random          *rand.Rand
	in              *bufio.Reader
	commit          int64 // newest commit that a response reported
	connectedBefore bool

	mu      sync.Mutex
	conn    net.Conn // nil: not connected
	waiting bool     // waits for its next statement in waitOpen
}

// outcome is the result of a statement.
type outcome struct {
	class           int
	refused, failed string
	late            bool
	latency         time.Duration
}

func (c *client) run() {
	defer c.closeConn()
	pause := time.Duration(float64(c.number) / firstConnectionRate * float64(time.Second))
	c.sleep(c.started.Add(pause))
	due := c.loadStart.Add(c.nextPause(true))
	for {
		until := due
		if end := c.loadEnd(); end.Before(due) {
			until = end
		}
		switch {
		case c.conn == nil && time.Now().Before(until):
			if c.connect() != nil {
				c.sleep(c.reconnectTime(until))
			}
		case c.conn != nil && c.waitOpen(until):
			c.sleep(c.reconnectTime(until))
		}
		now := time.Now()
		if !due.Before(c.loadEnd()) {
			if !now.Before(c.loadEnd()) {
				return
			}
			continue
		}
		if !now.Before(due) {
			c.countStatement(due, c.issue(due))
			due = due.Add(c.nextPause(false))
		}
	}
}

// nextPause returns the time to a client's next statement.
func (c *client) nextPause(first bool) time.Duration {
	mean := float64(c.Clients) / max(1e-9, c.Statements) * float64(time.Second)
	switch {
	case !c.EvenArrivals:
		mean *= c.random.ExpFloat64()
	case first:
		mean *= c.random.Float64()
	}
	return time.Duration(min(mean, float64(24*time.Hour)))
}

// reconnectTime returns when a client connects again after a close: at the latest when its next statement is due.
func (c *client) reconnectTime(until time.Time) time.Time {
	at := time.Now().Add(time.Duration(2 * c.random.Float64() * float64(c.ReconnectPause)))
	if at.After(until) {
		return until
	}
	return at
}

// sleep waits until a time, or until the load is ended early.
func (c *client) sleep(until time.Time) {
	if d := time.Until(until); d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-c.stopped:
		}
	}
}

// wake interrupts waitOpen.
func (c *client) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting && c.conn != nil {
		_ = c.conn.SetReadDeadline(time.Now())
	}
}

// waitOpen waits with an open connection until a time, and reports whether the gateway has closed the connection.
func (c *client) waitOpen(until time.Time) (closed bool) {
	c.mu.Lock()
	c.waiting = true
	if end := c.loadEnd(); end.Before(until) {
		until = end
	}
	_ = c.conn.SetReadDeadline(until)
	c.mu.Unlock()
	begun := time.Now()
	_, err := c.in.Peek(1)
	c.mu.Lock()
	c.waiting = false
	c.mu.Unlock()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// At the end of the load all clients wake at once; that is not the lateness of a statement.
		if late := time.Since(until); begun.Before(until) && late >= 0 && until.Before(c.loadEnd()) {
			c.clientPool.mu.Lock()
			defer c.clientPool.mu.Unlock()
			record(c.lateness, late)
		}
		return false
	}
	if err == nil {
		c.updateReport(func(r *clientReport) { r.Unsolicited++ })
	}
	if now := time.Now(); now.After(c.measureStart) && now.Before(c.loadEnd()) {
		c.updateReport(func(r *clientReport) { r.Closed++ })
	}
	c.closeConn()
	return true
}

func (c *client) closeConn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
		c.open.Add(-1)
	}
}

func (c *client) updateReport(do func(r *clientReport)) {
	c.clientPool.mu.Lock()
	defer c.clientPool.mu.Unlock()
	do(&c.report)
}

// countText counts a text; beyond maxTexts different ones it counts "other".
func countText(m map[string]int, text string) {
	if _, known := m[text]; !known && len(m) >= maxTexts {
		text = "other"
	}
	m[text]++
}

// connect connects and waits for the greeting.
func (c *client) connect() error {
	deadline := time.Now().Add(connectTimeout)
	d := net.Dialer{Deadline: deadline, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(1+c.number%sourceAddresses))}}
	conn, err := d.Dial("tcp", c.Target)
	if err != nil {
		if errors.Is(err, unix.EMFILE) || errors.Is(err, unix.EADDRNOTAVAIL) || errors.Is(err, unix.EADDRINUSE) || errors.Is(err, unix.ENFILE) {
			c.updateReport(func(r *clientReport) { countText(r.ResourceErrors, rootText(err)) })
		} else {
			c.updateReport(func(r *clientReport) { countText(r.TurnedAway, rootText(err)) })
		}
		return err
	}
	c.in = bufio.NewReaderSize(conn, 1024)
	_ = conn.SetDeadline(deadline)
	_, err = conn.Write(pgwire.Startup("api", "ledger"))
	for err == nil {
		var kind byte
		var body []byte
		if kind, body, err = readMessage(c.in); kind == pgwire.Ready {
			break
		}
		if kind == pgwire.ErrorResponse {
			err = serverError(body)
		}
	}
	if err != nil {
		conn.Close()
		c.updateReport(func(r *clientReport) { countText(r.TurnedAway, rootText(err)) })
		return err
	}
	_ = conn.SetDeadline(time.Time{})
	c.mu.Lock()
	c.conn = conn
	c.mu.Unlock()
	c.open.Add(1)
	c.clientPool.mu.Lock()
	defer c.clientPool.mu.Unlock()
	if c.connectedBefore {
		switch now := time.Now(); {
		case now.Before(c.loadStart) && now.After(c.loadStart.Add(-c.Idle)):
			c.reconnectsIdle++
		case now.After(c.measureStart) && now.Before(c.loadEnd()):
			c.reconnects++
		}
	}
	c.connectedBefore = true
	return nil
}

// rootText returns an error's text without the addresses in it.
func rootText(err error) string {
	var op *net.OpError
	if errors.As(err, &op) {
		err = op.Err
	}
	return err.Error()
}

func serverError(body []byte) error {
	return fmt.Errorf("%s %s", pgwire.ErrorCode(body), pgwire.ErrorMessage(body))
}

// readMessage reads one message of the server.
func readMessage(in *bufio.Reader) (kind byte, body []byte, err error) {
	var h [5]byte
	if _, err = io.ReadFull(in, h[:]); err != nil {
		return 0, nil, err
	}
	n := int(binary.BigEndian.Uint32(h[1:])) - 4
	if n < 0 || n > pgwire.MaxServerMessage+4096 {
		return 0, nil, fmt.Errorf("a message of %d bytes", n)
	}
	body = make([]byte, n)
	_, err = io.ReadFull(in, body)
	return h[0], body, err
}

// issue sends the statement that was due at a time, and returns its outcome.
func (c *client) issue(due time.Time) outcome {
	class := c.drawClass()
	o := outcome{class: class}
	k := &c.Classes[class]
	deadline := due.Add(k.Deadline)
	for c.conn == nil {
		if c.connect() == nil {
			break
		}
		if !time.Now().Add(sampleInterval).Before(deadline) {
			o.failed = "no connection in time"
			return o
		}
		time.Sleep(sampleInterval)
	}
	left := time.Until(deadline)
	if left <= 0 {
		o.failed = "its time was over before it could be sent"
		return o
	}
	value, err := c.query(c.statement(k, left), deadline.Add(answerSlack))
	o.latency = time.Since(due)
	var refusal *serverRefusal
	switch {
	case errors.As(err, &refusal) && (refusal.code == pgwire.CodeTooManyConnections || refusal.code == pgwire.CodeCannotConnectNow):
		o.refused = refusal.Error()
	case errors.As(err, &refusal):
		o.failed = refusal.Error()
	case errors.Is(err, os.ErrDeadlineExceeded):
		o.failed = "no answer"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, unix.ECONNRESET), errors.Is(err, unix.EPIPE):
		o.failed = "closed under the statement"
	case err != nil:
		o.failed = rootText(err)
	}
	if text, ok := strings.CutPrefix(value, "commit="); ok {
		if ms, err := strconv.ParseInt(text, 10, 64); err == nil {
			c.commit = max(c.commit, ms)
		}
	}
	o.late = o.latency > k.Aim
	return o
}

// serverRefusal is an ErrorResponse of the gateway.
type serverRefusal struct{ code, text string }

func (e *serverRefusal) Error() string { return e.code + " " + e.text }

var errNotOneValue = errors.New("not one row with one value")

// query sends a statement and reads its whole response.
func (c *client) query(text string, deadline time.Time) (value string, err error) {
	_ = c.conn.SetDeadline(deadline)
	if _, err := c.conn.Write(pgwire.AppendQuery(nil, text)); err != nil {
		c.closeConn()
		return "", err
	}
	var refusal *serverRefusal
	rows := 0
	for {
		kind, body, err := readMessage(c.in)
		if err != nil {
			c.closeConn()
			if refusal != nil {
				return "", refusal // the server closed the connection after its error
			}
			return "", err
		}
		switch kind {
		case pgwire.DataRow:
			b, ok := pgwire.ParseSingleColumn(body)
			if rows++; !ok {
				rows += 2
			}
			value = string(b)
		case pgwire.ErrorResponse:
			refusal = &serverRefusal{string(pgwire.ErrorCode(body)), string(pgwire.ErrorMessage(body))}
		case pgwire.Ready:
			_ = c.conn.SetDeadline(time.Time{})
			switch {
			case refusal != nil && rows == 0:
				return "", refusal
			case refusal != nil || rows != 1:
				return "", errNotOneValue
			}
			return value, nil
		}
	}
}

// drawClass picks a class by the mix.
func (c *client) drawClass() int {
	x := c.random.Float64()
	for i, k := range c.Classes {
		if x -= k.Mix; x < 0 {
			return i
		}
	}
	return len(c.Classes) - 1
}

// statement returns a statement as the platform's clients write it, to a group drawn in proportion to its number of databases.
func (c *client) statement(k *plan.Class, left time.Duration) string {
	head := fmt.Sprintf("id=%016x,c=%s,d=%d,cluster=%d", c.nonce.Add(1), k.Name, max(1, left.Milliseconds()), c.random.IntN(c.Databases)/c.GroupsOf)
	if k.Kind == plan.SessionRead && c.commit > 0 {
		head += fmt.Sprintf(",after=%d", c.commit)
	}
	return pgwire.ClientStatement(head, fmt.Sprintf("%016x", c.number+1), k.Kind == plan.Write)
}

// countStatement counts a statement by when it was due.
func (c *client) countStatement(due time.Time, o outcome) {
	c.clientPool.mu.Lock()
	defer c.clientPool.mu.Unlock()
	r := &c.report
	r.WholeRun.add(o)
	if o.refused != "" {
		countText(r.RefusedBy, o.refused)
	} else if o.failed != "" {
		countText(r.FailedBy, o.failed)
	}
	if reason := o.refused + o.failed; reason != "" && len(r.Unserved) < maxTexts {
		r.Unserved = append(r.Unserved, UnservedStatement{c.Classes[o.class].Name, round(due.Sub(c.loadStart).Seconds(), 3), round(o.latency.Seconds()*1000, 1), reason})
	}
	if due.Before(c.measureStart) {
		return
	}
	k := r.Classes[c.Classes[o.class].Name]
	r.Measured.add(o)
	k.add(o)
	if o.refused == "" && o.failed == "" {
		record(c.latency, o.latency)
		record(c.byClass[c.Classes[o.class].Name], o.latency)
	}
}
