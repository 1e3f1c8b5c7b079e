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
	connectRate  = 4000                   // first connections a second
	connectTime  = 3 * time.Second        // by when one is greeted
	settleTime   = 300 * time.Millisecond // behind the last first connection
	answerSlack  = 2 * time.Second        // behind a deadline: what has no answer by then has none
	sources      = 16                     // loopback addresses that clients come from, each with ports of its own
	sampleEvery  = 100 * time.Millisecond
	heartbeat    = 5 * time.Millisecond // of a process that measures its own lateness
	mostMessages = 20                   // texts of a kind that are kept, and statements that went amiss
)

// clientSide is what the process of the clients is told.
type clientSide struct {
	Target     string        `json:"target"`
	Clients    int           `json:"clients"`
	Statements float64       `json:"statements_per_s"` // of all
	Databases  int           `json:"databases"`
	GroupsOf   int           `json:"groups_of"`
	Classes    []plan.Class  `json:"classes"`
	Idle       time.Duration `json:"idle_ns"`  // all are connected and ask for nothing
	Warm       time.Duration `json:"warm_ns"`  // they ask, and it is not in the figures
	For        time.Duration `json:"for_ns"`   // measured
	Again      time.Duration `json:"again_ns"` // mean pause before one that was closed comes again
	Even       bool          `json:"even"`     // statements of a client are evenly spaced
	Seed       uint64        `json:"seed"`
}

// schedule is when the clients do what, in ms of the Unix epoch.
type schedule struct {
	Connected int64 `json:"connected_ms"` // all should be
	Load      int64 `json:"load_ms"`
	Begin     int64 `json:"begin_ms"`
	End       int64 `json:"end_ms"`
}

// Counts are statements by how they ended.
type Counts struct {
	Sent    int `json:"sent"`
	Served  int `json:"served"`
	Late    int `json:"late"` // served, over the aim
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

// Quantiles are in ms, or whatever their name says.
type Quantiles struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	Max  float64 `json:"max"`
}

// ClassReport is one class of statements.
type ClassReport struct {
	Counts
	LatencyMS Quantiles `json:"latency_ms"` // of what was served, from the intended moment
}

// Amiss is a statement that was not served.
type Amiss struct {
	Class  string  `json:"class"`
	AtS    float64 `json:"at_s"` // when it was due, from the load's beginning on
	TookMS float64 `json:"took_ms"`
	How    string  `json:"how"`
}

// clientReport is what the process of the clients tells at its end.
type clientReport struct {
	Seconds     float64                 `json:"seconds"`   // measured
	Connected   int                     `json:"connected"` // when the load began
	OpenIdle    float64                 `json:"open_idle"`
	Open        float64                 `json:"open"`
	OpenMax     int                     `json:"open_max"`
	AgainIdle   float64                 `json:"again_idle_per_s"` // connections/s while nobody asked
	Again       float64                 `json:"again_per_s"`
	Closed      int                     `json:"closed"` // by the gateway while they asked for nothing, measured
	TurnedAway  map[string]int          `json:"turned_away"`
	Whole       Counts                  `json:"whole"` // from the first statement on, the warming up included
	Measured    Counts                  `json:"measured"`
	Latency     Quantiles               `json:"latency_ms"`
	Classes     map[string]*ClassReport `json:"classes"`
	RefusedBy   map[string]int          `json:"refused_by"`
	FailedBy    map[string]int          `json:"failed_by"`
	Amiss       []Amiss                 `json:"amiss"`
	Extra       int                     `json:"extra"` // messages that nobody asked for
	Lateness    Quantiles               `json:"lateness_ms"`
	Heartbeat   Quantiles               `json:"heartbeat_ms"`
	Descriptors int                     `json:"descriptors"`
	Short       map[string]int          `json:"short"` // of descriptors or ports of its own
}

// crowd is all clients of a process.
type crowd struct {
	clientSide
	began, load, begin time.Time
	end                atomic.Int64 // ns since began
	stop               chan struct{}
	clients            []*client
	open               atomic.Int64
	nonce              atomic.Uint64

	mu        sync.Mutex
	report    clientReport
	latency   *hdrhistogram.Histogram
	byClass   map[string]*hdrhistogram.Histogram
	lateness  *hdrhistogram.Histogram
	againIdle int
	again     int
	openSum   [2]float64 // idle, measured
	openN     [2]float64
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

// Clients is the process of the clients: it reads what it is told as a line of JSON, says when it does what, and reports
// when it has ended, at the time set, at a further line, or when its input ends.
func Clients(in io.Reader, out io.Writer) error {
	lines := bufio.NewReader(in)
	first, err := lines.ReadBytes('\n')
	if err != nil {
		return err
	}
	w := &crowd{
		stop: make(chan struct{}), latency: histogram(), lateness: histogram(), byClass: map[string]*hdrhistogram.Histogram{},
		report: clientReport{
			TurnedAway: map[string]int{}, Classes: map[string]*ClassReport{}, RefusedBy: map[string]int{}, FailedBy: map[string]int{},
			Short: map[string]int{},
		},
	}
	if err := json.Unmarshal(first, &w.clientSide); err != nil {
		return err
	}
	for _, c := range w.Classes {
		w.report.Classes[c.Name], w.byClass[c.Name] = &ClassReport{}, histogram()
	}
	w.began = time.Now()
	connected := time.Duration(float64(w.Clients)/connectRate*float64(time.Second)) + settleTime
	w.load = w.began.Add(connected + w.Idle)
	w.begin = w.load.Add(w.Warm)
	end := w.begin.Add(w.For)
	w.end.Store(int64(end.Sub(w.began)))
	w.nonce.Store(uint64(w.began.UnixNano()) << 24) // ids of one run are none of another's
	say := json.NewEncoder(out)
	if err := say.Encode(schedule{w.began.Add(connected).UnixMilli(), w.load.UnixMilli(), w.begin.UnixMilli(), end.UnixMilli()}); err != nil {
		return err
	}
	var all sync.WaitGroup
	for i := range w.Clients {
		w.clients = append(w.clients, &client{crowd: w, number: i, rnd: rand.New(rand.NewPCG(w.Seed, uint64(i)))})
	}
	go func() {
		_, _ = lines.ReadBytes('\n')
		w.halt()
	}()
	for _, c := range w.clients {
		all.Add(1)
		go func() {
			defer all.Done()
			c.live()
		}()
	}
	watched := make(chan struct{})
	beats := histogram()
	var watching sync.WaitGroup
	watching.Add(2)
	go func() {
		defer watching.Done()
		beat(beats, time.Now(), watched)
	}()
	go func() {
		defer watching.Done()
		w.watch(watched)
	}()
	all.Wait()
	close(watched)
	watching.Wait()
	return say.Encode(w.total(beats))
}

// beat records how late a timer of this process fires, from a moment on until it is told to end.
func beat(h *hdrhistogram.Histogram, due time.Time, end <-chan struct{}) {
	for {
		due = due.Add(heartbeat)
		select {
		case <-end:
			if late := time.Since(due); late > 0 {
				record(h, late) // it stood still up to its end
			}
			return
		case <-time.After(time.Until(due)):
		}
		late := time.Since(due)
		record(h, late)
		if late > heartbeat {
			due = time.Now()
		}
	}
}

// ends is when the load ends.
func (w *crowd) ends() time.Time { return w.began.Add(time.Duration(w.end.Load())) }

// halt ends the load now.
func (w *crowd) halt() {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.stop:
		return
	default:
	}
	w.end.Store(min(w.end.Load(), int64(time.Since(w.began))))
	close(w.stop)
	for _, c := range w.clients {
		c.wake()
	}
}

// watch counts the open connections again and again.
func (w *crowd) watch(end <-chan struct{}) {
	tick := time.NewTicker(sampleEvery)
	defer tick.Stop()
	for {
		select {
		case <-end:
			return
		case now := <-tick.C:
			w.mu.Lock()
			n := float64(w.open.Load())
			switch {
			case now.After(w.load.Add(-w.Idle)) && now.Before(w.load):
				w.openSum[0] += n
				w.openN[0]++
				w.report.Connected = int(n)
			case now.After(w.begin) && now.Before(w.ends()):
				w.openSum[1] += n
				w.openN[1]++
				w.report.OpenMax = max(w.report.OpenMax, int(n))
				w.report.Descriptors = max(w.report.Descriptors, descriptors(os.Getpid()))
			}
			w.mu.Unlock()
		}
	}
}

func (w *crowd) total(beats *hdrhistogram.Histogram) clientReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.report
	r.Seconds = round(max(0, w.ends().Sub(w.begin).Seconds()), 3)
	r.OpenIdle, r.Open = round(w.openSum[0]/max(1, w.openN[0]), 1), round(w.openSum[1]/max(1, w.openN[1]), 1)
	r.AgainIdle = round(float64(w.againIdle)/max(0.001, w.Idle.Seconds()), 1)
	r.Again = round(float64(w.again)/max(0.001, r.Seconds), 1)
	r.Latency, r.Lateness, r.Heartbeat = quantiles(w.latency), quantiles(w.lateness), quantiles(beats)
	for name, c := range r.Classes {
		c.LatencyMS = quantiles(w.byClass[name])
	}
	return r
}

// client is one, with a connection that it keeps.
type client struct {
	*crowd
	number int
	rnd    *rand.Rand
	in     *bufio.Reader
	commit int64 // newest that it was told
	met    bool  // it has been connected before

	mu   sync.Mutex
	conn net.Conn // nil: it has none
	idle bool     // it waits for nothing but time
}

// outcome is how a statement ended.
type outcome struct {
	class           int
	refused, failed string
	late            bool
	latency         time.Duration
}

func (c *client) live() {
	defer c.hangUp()
	pause := time.Duration(float64(c.number) / connectRate * float64(time.Second))
	c.sleep(c.began.Add(pause))
	due := c.load.Add(c.gap(true))
	for {
		until := due
		if end := c.ends(); end.Before(due) {
			until = end
		}
		switch {
		case c.conn == nil && time.Now().Before(until):
			if c.connect() != nil {
				c.sleep(c.comesAgain(until))
			}
		case c.conn != nil && c.rest(until):
			c.sleep(c.comesAgain(until))
		}
		now := time.Now()
		if !due.Before(c.ends()) {
			if !now.Before(c.ends()) {
				return
			}
			continue
		}
		if !now.Before(due) {
			c.count(due, c.one(due))
			due = due.Add(c.gap(false))
		}
	}
}

// gap is the time to a client's next statement.
func (c *client) gap(first bool) time.Duration {
	mean := float64(c.Clients) / max(1e-9, c.Statements) * float64(time.Second)
	switch {
	case !c.Even:
		mean *= c.rnd.ExpFloat64()
	case first:
		mean *= c.rnd.Float64()
	}
	return time.Duration(min(mean, float64(24*time.Hour)))
}

// comesAgain is when a client that was closed connects again: at the latest when it has something to ask.
func (c *client) comesAgain(until time.Time) time.Time {
	at := time.Now().Add(time.Duration(2 * c.rnd.Float64() * float64(c.Again)))
	if at.After(until) {
		return until
	}
	return at
}

// sleep waits, at most until the load is ended early.
func (c *client) sleep(until time.Time) {
	if d := time.Until(until); d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-c.stop:
		}
	}
}

// wake ends its waiting.
func (c *client) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && c.conn != nil {
		_ = c.conn.SetReadDeadline(time.Now())
	}
}

// rest waits with an open connection until a moment; closed: the gateway has closed it.
func (c *client) rest(until time.Time) (closed bool) {
	c.mu.Lock()
	c.idle = true
	if end := c.ends(); end.Before(until) {
		until = end
	}
	_ = c.conn.SetReadDeadline(until)
	c.mu.Unlock()
	begun := time.Now()
	_, err := c.in.Peek(1)
	c.mu.Lock()
	c.idle = false
	c.mu.Unlock()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// At the end of the load all wake at once: that is no statement's lateness.
		if late := time.Since(until); begun.Before(until) && late >= 0 && until.Before(c.ends()) {
			c.crowd.mu.Lock()
			defer c.crowd.mu.Unlock()
			record(c.lateness, late)
		}
		return false
	}
	if err == nil {
		c.note(func(r *clientReport) { r.Extra++ })
	}
	if now := time.Now(); now.After(c.begin) && now.Before(c.ends()) {
		c.note(func(r *clientReport) { r.Closed++ })
	}
	c.hangUp()
	return true
}

func (c *client) hangUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
		c.open.Add(-1)
	}
}

func (c *client) note(do func(r *clientReport)) {
	c.crowd.mu.Lock()
	defer c.crowd.mu.Unlock()
	do(&c.report)
}

// few counts under a text, of which there are not many kinds.
func few(m map[string]int, text string) {
	if _, known := m[text]; !known && len(m) >= mostMessages {
		text = "other"
	}
	m[text]++
}

// connect connects and waits for the greeting.
func (c *client) connect() error {
	limit := time.Now().Add(connectTime)
	d := net.Dialer{Deadline: limit, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(1+c.number%sources))}}
	conn, err := d.Dial("tcp", c.Target)
	if err != nil {
		if errors.Is(err, unix.EMFILE) || errors.Is(err, unix.EADDRNOTAVAIL) || errors.Is(err, unix.EADDRINUSE) || errors.Is(err, unix.ENFILE) {
			c.note(func(r *clientReport) { few(r.Short, rootText(err)) })
		} else {
			c.note(func(r *clientReport) { few(r.TurnedAway, rootText(err)) })
		}
		return err
	}
	c.in = bufio.NewReaderSize(conn, 1024)
	_ = conn.SetDeadline(limit)
	_, err = conn.Write(pgwire.Startup("api", "ledger"))
	for err == nil {
		var kind byte
		var body []byte
		if kind, body, err = message(c.in); kind == pgwire.Ready {
			break
		}
		if kind == pgwire.ErrorResponse {
			err = said(body)
		}
	}
	if err != nil {
		conn.Close()
		c.note(func(r *clientReport) { few(r.TurnedAway, rootText(err)) })
		return err
	}
	_ = conn.SetDeadline(time.Time{})
	c.mu.Lock()
	c.conn = conn
	c.mu.Unlock()
	c.open.Add(1)
	c.crowd.mu.Lock()
	defer c.crowd.mu.Unlock()
	if c.met {
		switch now := time.Now(); {
		case now.Before(c.load) && now.After(c.load.Add(-c.Idle)):
			c.againIdle++
		case now.After(c.begin) && now.Before(c.ends()):
			c.again++
		}
	}
	c.met = true
	return nil
}

// rootText is what an error says without the addresses in it.
func rootText(err error) string {
	var op *net.OpError
	if errors.As(err, &op) {
		err = op.Err
	}
	return err.Error()
}

func said(body []byte) error {
	return fmt.Errorf("%s %s", pgwire.ErrorCode(body), pgwire.ErrorMessage(body))
}

// message reads one.
func message(in *bufio.Reader) (kind byte, body []byte, err error) {
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

// one asks what was due at a moment, and returns how it ended.
func (c *client) one(due time.Time) outcome {
	class := c.draw()
	o := outcome{class: class}
	k := &c.Classes[class]
	limit := due.Add(k.Deadline)
	for c.conn == nil {
		if c.connect() == nil {
			break
		}
		if !time.Now().Add(sampleEvery).Before(limit) {
			o.failed = "no connection in time"
			return o
		}
		time.Sleep(sampleEvery)
	}
	left := time.Until(limit)
	if left <= 0 {
		o.failed = "its time was over before it could be sent"
		return o
	}
	value, err := c.ask(c.statement(k, left), limit.Add(answerSlack))
	o.latency = time.Since(due)
	var no *refusal
	switch {
	case errors.As(err, &no) && (no.code == pgwire.CodeTooManyConnections || no.code == pgwire.CodeCannotConnectNow):
		o.refused = no.Error()
	case errors.As(err, &no):
		o.failed = no.Error()
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

// refusal is an error that the gateway told.
type refusal struct{ code, text string }

func (e *refusal) Error() string { return e.code + " " + e.text }

var errForm = errors.New("not one row with one value")

// ask sends a statement and reads its one answer whole.
func (c *client) ask(text string, limit time.Time) (value string, err error) {
	_ = c.conn.SetDeadline(limit)
	if _, err := c.conn.Write(pgwire.AppendQuery(nil, text)); err != nil {
		c.hangUp()
		return "", err
	}
	var no *refusal
	rows := 0
	for {
		kind, body, err := message(c.in)
		if err != nil {
			c.hangUp()
			if no != nil {
				return "", no // the last word on this connection
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
			no = &refusal{string(pgwire.ErrorCode(body)), string(pgwire.ErrorMessage(body))}
		case pgwire.Ready:
			_ = c.conn.SetDeadline(time.Time{})
			switch {
			case no != nil && rows == 0:
				return "", no
			case no != nil || rows != 1:
				return "", errForm
			}
			return value, nil
		}
	}
}

// draw picks a class by the mix.
func (c *client) draw() int {
	x := c.rnd.Float64()
	for i, k := range c.Classes {
		if x -= k.Mix; x < 0 {
			return i
		}
	}
	return len(c.Classes) - 1
}

// statement is what a client of the platform writes, to a group drawn by how many databases it has.
func (c *client) statement(k *plan.Class, left time.Duration) string {
	head := fmt.Sprintf("id=%016x,c=%s,d=%d,cluster=%d", c.nonce.Add(1), k.Name, max(1, left.Milliseconds()), c.rnd.IntN(c.Databases)/c.GroupsOf)
	if k.Kind == plan.SessionRead && c.commit > 0 {
		head += fmt.Sprintf(",after=%d", c.commit)
	}
	return pgwire.ClientStatement(head, fmt.Sprintf("%016x", c.number+1), k.Kind == plan.Write)
}

// count puts a statement into the figures, by when it was due.
func (c *client) count(due time.Time, o outcome) {
	c.crowd.mu.Lock()
	defer c.crowd.mu.Unlock()
	r := &c.report
	r.Whole.add(o)
	if o.refused != "" {
		few(r.RefusedBy, o.refused)
	} else if o.failed != "" {
		few(r.FailedBy, o.failed)
	}
	if how := o.refused + o.failed; how != "" && len(r.Amiss) < mostMessages {
		r.Amiss = append(r.Amiss, Amiss{c.Classes[o.class].Name, round(due.Sub(c.load).Seconds(), 3), round(o.latency.Seconds()*1000, 1), how})
	}
	if due.Before(c.begin) {
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
