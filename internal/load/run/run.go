// Package run plays a schedule of arrivals against gateways and measures what their clients see. The loop is
// open: when a request is due it goes out, or waits while already counting, whatever became of those before it.
package run

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"golang.org/x/sys/unix"

	"lilaccove/internal/load/plan"
	"lilaccove/internal/pgwire"
)

// Outcome is how a request ended for its client, retries included.
type Outcome string

// The outcomes.
const (
	InAim             Outcome = "in_aim"
	Late              Outcome = "late"
	RefusedRetryAfter Outcome = "refused_retry_after" // with a time to come back
	Refused           Outcome = "refused"
	Failed            Outcome = "failed"
	GaveUp            Outcome = "gave_up"
	NoConnection      Outcome = "no_connection"
	NotSent           Outcome = "missed" // never sent: too many were outstanding
	InvalidAnswer     Outcome = "bad_answer"
)

// Outcomes are all, in the order of reports.
var Outcomes = []Outcome{InAim, Late, RefusedRetryAfter, Refused, Failed, GaveUp, NoConnection, NotSent, InvalidAnswer}

// Sample is one request that has ended.
type Sample struct {
	Arrival     plan.Arrival
	Outcome     Outcome
	Latency     time.Duration // from the intended moment
	Service     time.Duration // of the last try, from when it was really sent
	Lateness    time.Duration // the generator's own
	Attempts    int
	LastAttempt Attempt // the last of them
}

// Attempt is one request as a gateway had it.
type Attempt struct {
	Target     string    // whom it was sent to; empty: nobody
	Sent       time.Time // when it was written
	Ended      time.Time
	Reused     bool // on a connection that had carried others
	Unanswered bool // the connection ended, or the client's patience, without an answer
	ID         string
}

// Runner plays one schedule.
type Runner struct {
	Plan         *plan.Plan
	Arrivals     []plan.Arrival
	Targets      []string
	SelectTarget func(session int) (target string, ok bool) // whom a session is sent to; nil: one of Targets for good
	OnSample     func(Sample)                               // called from many goroutines
	ClientSlack  time.Duration                              // beyond its deadline in which an answer is still waited for
	BeforeSend   func(time.Duration)                        // before each request is handed out; for tests of the generator itself

	pools   map[string]*pool
	begun   time.Time
	mu      sync.Mutex
	rnd     *rand.Rand
	commits map[int]int64 // newest commit told to a session
	nonce   uint64
}

// CheckLoopback tells what is wrong with a target: load is sent to addresses of this machine only.
func CheckLoopback(target string) error {
	a, err := netip.ParseAddrPort(target)
	if err != nil {
		return fmt.Errorf("target %q: an address like 127.0.0.1:5432 is wanted", target)
	}
	if !a.Addr().IsLoopback() {
		return fmt.Errorf("target %s is not a loopback address; load goes nowhere else", target)
	}
	return nil
}

// Play sends all arrivals, or those until ctx ends, and waits for their outcomes; it returns how many were
// handed out.
func (r *Runner) Play(ctx context.Context) (sent int, err error) {
	if len(r.Targets) == 0 && r.SelectTarget == nil {
		return 0, errors.New("no target")
	}
	for _, t := range r.Targets {
		if err := CheckLoopback(t); err != nil {
			return 0, err
		}
	}
	if r.SelectTarget == nil {
		r.SelectTarget = func(session int) (string, bool) { return r.Targets[session%len(r.Targets)], true }
	}
	r.pools = map[string]*pool{}
	defer func() {
		for _, p := range r.pools {
			p.close()
		}
	}()
	r.rnd = rand.New(rand.NewPCG(r.Plan.Seed, 0x72756e))
	r.commits = map[int]int64{}
	r.begun = time.Now()
	r.nonce = uint64(r.begun.UnixNano()) << 24 // ids of one run are none of another's
	outstanding := make(chan struct{}, r.Plan.MaxOutstanding)
	var wg sync.WaitGroup
	for i, a := range r.Arrivals {
		due := r.begun.Add(a.At)
		if !until(ctx, due) {
			break
		}
		if r.BeforeSend != nil {
			r.BeforeSend(a.At)
		}
		lateness := time.Since(due)
		sent = i + 1
		select {
		case outstanding <- struct{}{}:
		default:
			r.OnSample(Sample{Arrival: a, Outcome: NotSent, Lateness: lateness})
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			s := r.one(a, due)
			s.Lateness = lateness
			<-outstanding
			r.OnSample(s)
		}()
	}
	wg.Wait()
	return sent, nil
}

// until waits for a moment; false: ctx ended first.
func until(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// one is the life of a request, with its retries.
func (r *Runner) one(a plan.Arrival, due time.Time) Sample {
	class := &r.Plan.Classes[a.Class]
	ctx, cancel := context.WithDeadline(context.Background(), due.Add(class.Deadline+r.ClientSlack))
	defer cancel()
	s := Sample{Arrival: a}
	for {
		s.Attempts++
		outcome, after, service, last := r.try(ctx, a, class, s.Attempts > 1)
		s.Service, s.LastAttempt = service, last
		if s.Outcome = outcome; outcome != Refused && outcome != RefusedRetryAfter && outcome != NoConnection || s.Attempts > r.Plan.MaxRetries {
			break
		}
		if !until(ctx, time.Now().Add(r.pause(after, s.Attempts))) {
			break // it was refused; there is no time for another try
		}
	}
	s.Latency = time.Since(due)
	if s.Outcome == InAim && s.Latency > class.Deadline {
		s.Outcome = GaveUp // it was heard out and earns nothing
	} else if s.Outcome == InAim && s.Latency > class.Aim {
		s.Outcome = Late
	}
	return s
}

// pause is how long a client waits before it tries again.
func (r *Runner) pause(after time.Duration, tries int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := time.Duration(float64(r.Plan.RetryPause<<min(tries-1, 5)) * (0.5 + r.rnd.Float64()))
	if after > 0 && r.rnd.Float64() < r.Plan.HonourShare {
		d = max(d, after)
	}
	return d
}

// try sends the request once; service counts from when it really goes out, on a connection that is up.
func (r *Runner) try(ctx context.Context, a plan.Arrival, class *plan.Class, again bool) (o Outcome, after, service time.Duration, last Attempt) {
	p := r.pool(a.Session)
	if p == nil {
		return NoConnection, 0, 0, last
	}
	c, reused, err := p.get(ctx)
	if err != nil {
		if ctx.Err() != nil {
			return GaveUp, 0, 0, last
		}
		return NoConnection, 0, 0, last
	}
	left := time.Until(deadline(ctx)) - r.ClientSlack
	if left <= 0 {
		p.put(c)
		return GaveUp, 0, 0, last
	}
	text, id := r.statement(a, class, left, again)
	last = Attempt{Target: p.target, Sent: time.Now(), Reused: reused, ID: id}
	results, err := c.Exec(ctx, text).ReadAll()
	last.Ended = time.Now()
	var said *pgconn.PgError
	last.Unanswered = err != nil && !errors.As(err, &said)
	p.put(c)
	o, after = r.outcome(ctx, a, results, err)
	return o, after, last.Ended.Sub(last.Sent), last
}

// outcome is what an answer comes to.
func (r *Runner) outcome(ctx context.Context, a plan.Arrival, results []*pgconn.Result, err error) (Outcome, time.Duration) {
	var said *pgconn.PgError
	switch {
	case errors.As(err, &said) && (said.Code == "53300" || said.Code == "57P03"):
		if ms, err := strconv.Atoi(said.Detail); err == nil && ms > 0 {
			return RefusedRetryAfter, time.Duration(ms) * time.Millisecond
		}
		return Refused, 0
	case errors.As(err, &said):
		return Failed, 0
	case err != nil && ctx.Err() != nil:
		return GaveUp, 0
	case err != nil:
		return Failed, 0
	case len(results) != 1 || len(results[0].Rows) != 1 || len(results[0].Rows[0]) != 1:
		return InvalidAnswer, 0
	}
	r.learn(a, string(results[0].Rows[0][0]))
	return InAim, 0
}

func deadline(ctx context.Context) time.Time {
	at, _ := ctx.Deadline()
	return at
}

// learn keeps the commit that a write was told, where the value names it.
func (r *Runner) learn(a plan.Arrival, value string) {
	if text, ok := strings.CutPrefix(value, "commit="); ok {
		if ms, err := strconv.ParseInt(text, 10, 64); err == nil {
			r.mu.Lock()
			r.commits[a.Session] = max(r.commits[a.Session], ms)
			r.mu.Unlock()
		}
	}
}

// statement is what a client of the platform writes, and the id in it.
func (r *Runner) statement(a plan.Arrival, class *plan.Class, left time.Duration, again bool) (text, id string) {
	r.mu.Lock()
	r.nonce++
	id = fmt.Sprintf("%016x", r.nonce)
	head := fmt.Sprintf("id=%s,c=%s,d=%d,cluster=%d", id, class.Name, max(1, left.Milliseconds()), a.Group)
	if after := r.commits[a.Session]; after > 0 && class.Kind == plan.SessionRead {
		head += fmt.Sprintf(",after=%d", after)
	}
	r.mu.Unlock()
	if again {
		head += ",r=1"
	}
	key := fmt.Sprintf("%016x", a.Key)
	if class.Kind == plan.SessionRead {
		key = fmt.Sprintf("%016x", a.Session)
	}
	return pgwire.ClientStatement(head, key, class.Kind == plan.Write), id
}

// pool finds the connections to a session's gateway; nil: there is none.
func (r *Runner) pool(session int) *pool {
	target, ok := r.SelectTarget(session)
	if !ok || CheckLoopback(target) != nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[target]
	if p == nil {
		p = &pool{target: target, slots: make(chan struct{}, r.Plan.MaxConnections)}
		r.pools[target] = p
	}
	return p
}

// pool keeps the connections to one gateway. Who waits for one is already counting.
type pool struct {
	target string
	slots  chan struct{}
	mu     sync.Mutex
	idle   []*pgconn.PgConn
	closed bool
}

// get waits for a connection; reused tells that it has carried requests.
func (p *pool) get(ctx context.Context) (_ *pgconn.PgConn, reused bool, _ error) {
	select {
	case p.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mu.Unlock()
			break
		}
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		if silent(c.Conn()) {
			return c, true, nil
		}
		p.end(c) // the gateway has closed it meanwhile
	}
	a := netip.MustParseAddrPort(p.target)
	cfg, err := pgconn.ParseConfig(fmt.Sprintf("host=%s port=%d user=api dbname=ledger sslmode=disable", a.Addr(), a.Port()))
	var c *pgconn.PgConn
	if err == nil {
		c, err = pgconn.ConnectConfig(ctx, cfg)
	}
	if err != nil {
		<-p.slots
		return nil, false, err
	}
	return c, false, nil
}

func (p *pool) put(c *pgconn.PgConn) {
	p.mu.Lock()
	keep := !p.closed && !c.IsClosed()
	if keep {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		p.end(c)
	}
	<-p.slots
}

// silent tells that nothing has come on a connection at rest, not even its end. It does not wait, as pgconn's own
// check does for a millisecond, which would count as the gateway's.
func silent(c net.Conn) bool {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, e := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = e == unix.EAGAIN
	})
	return err == nil && quiet
}

// end closes a connection at once; a gateway is not waited for.
func (p *pool) end(c *pgconn.PgConn) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = c.Close(ctx)
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		p.end(c)
	}
	p.idle = nil
}
