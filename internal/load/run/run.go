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

	pools     map[string]*pool
	startTime time.Time
	mu        sync.Mutex
	rng       *rand.Rand
	commits   map[int]int64 // newest commit told to a session
	lastID    uint64
}

// CheckLoopback tells what is wrong with a target: load is sent to addresses of this machine only.
func CheckLoopback(target string) error {
	addr, err := netip.ParseAddrPort(target)
	if err != nil {
		return fmt.Errorf("target %q: an address like 127.0.0.1:5432 is wanted", target)
	}
	if !addr.Addr().IsLoopback() {
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
	for _, target := range r.Targets {
		if err := CheckLoopback(target); err != nil {
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
	r.rng = rand.New(rand.NewPCG(r.Plan.Seed, 0x72756e))
	r.commits = map[int]int64{}
	r.startTime = time.Now()
	r.lastID = uint64(r.startTime.UnixNano()) << 24 // ids of one run are none of another's
	outstanding := make(chan struct{}, r.Plan.MaxOutstanding)
	var wg sync.WaitGroup
	for i, arrival := range r.Arrivals {
		due := r.startTime.Add(arrival.At)
		if !waitUntil(ctx, due) {
			break
		}
		if r.BeforeSend != nil {
			r.BeforeSend(arrival.At)
		}
		lateness := time.Since(due)
		sent = i + 1
		select {
		case outstanding <- struct{}{}:
		default:
			r.OnSample(Sample{Arrival: arrival, Outcome: NotSent, Lateness: lateness})
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			sample := r.runRequest(arrival, due)
			sample.Lateness = lateness
			<-outstanding
			r.OnSample(sample)
		}()
	}
	wg.Wait()
	return sent, nil
}

// waitUntil waits for a moment; false: ctx ended first.
func waitUntil(ctx context.Context, deadline time.Time) bool {
	wait := time.Until(deadline)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// runRequest is the life of a request, with its retries.
func (r *Runner) runRequest(arrival plan.Arrival, due time.Time) Sample {
	class := &r.Plan.Classes[arrival.Class]
	ctx, cancel := context.WithDeadline(context.Background(), due.Add(class.Deadline+r.ClientSlack))
	defer cancel()
	sample := Sample{Arrival: arrival}
	for {
		sample.Attempts++
		outcome, retryAfter, service, attempt := r.attempt(ctx, arrival, class, sample.Attempts > 1)
		sample.Service, sample.LastAttempt = service, attempt
		if sample.Outcome = outcome; outcome != Refused && outcome != RefusedRetryAfter && outcome != NoConnection || sample.Attempts > r.Plan.MaxRetries {
			break
		}
		if !waitUntil(ctx, time.Now().Add(r.retryDelay(retryAfter, sample.Attempts))) {
			break // it was refused; there is no time for another try
		}
	}
	sample.Latency = time.Since(due)
	if sample.Outcome == InAim && sample.Latency > class.Deadline {
		sample.Outcome = GaveUp // it was heard out and earns nothing
	} else if sample.Outcome == InAim && sample.Latency > class.Aim {
		sample.Outcome = Late
	}
	return sample
}

// retryDelay is how long a client waits before it tries again.
func (r *Runner) retryDelay(retryAfter time.Duration, attempts int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	delay := time.Duration(float64(r.Plan.RetryPause<<min(attempts-1, 5)) * (0.5 + r.rng.Float64()))
	if retryAfter > 0 && r.rng.Float64() < r.Plan.HonourShare {
		delay = max(delay, retryAfter)
	}
	return delay
}

// attempt sends the request once; service counts from when it really goes out, on a connection that is up.
func (r *Runner) attempt(ctx context.Context, arrival plan.Arrival, class *plan.Class, isRetry bool) (outcome Outcome, retryAfter, service time.Duration, attempt Attempt) {
	connections := r.poolFor(arrival.Session)
	if connections == nil {
		return NoConnection, 0, 0, attempt
	}
	conn, reused, err := connections.acquire(ctx)
	if err != nil {
		if ctx.Err() != nil {
			return GaveUp, 0, 0, attempt
		}
		return NoConnection, 0, 0, attempt
	}
	remaining := time.Until(deadline(ctx)) - r.ClientSlack
	if remaining <= 0 {
		connections.release(conn)
		return GaveUp, 0, 0, attempt
	}
	text, id := r.buildStatement(arrival, class, remaining, isRetry)
	attempt = Attempt{Target: connections.target, Sent: time.Now(), Reused: reused, ID: id}
	results, err := conn.Exec(ctx, text).ReadAll()
	attempt.Ended = time.Now()
	var pgErr *pgconn.PgError
	attempt.Unanswered = err != nil && !errors.As(err, &pgErr)
	connections.release(conn)
	outcome, retryAfter = r.classify(ctx, arrival, results, err)
	return outcome, retryAfter, attempt.Ended.Sub(attempt.Sent), attempt
}

// classify is what an answer comes to.
func (r *Runner) classify(ctx context.Context, arrival plan.Arrival, results []*pgconn.Result, err error) (Outcome, time.Duration) {
	var pgErr *pgconn.PgError
	switch {
	case errors.As(err, &pgErr) && (pgErr.Code == "53300" || pgErr.Code == "57P03"):
		if ms, err := strconv.Atoi(pgErr.Detail); err == nil && ms > 0 {
			return RefusedRetryAfter, time.Duration(ms) * time.Millisecond
		}
		return Refused, 0
	case errors.As(err, &pgErr):
		return Failed, 0
	case err != nil && ctx.Err() != nil:
		return GaveUp, 0
	case err != nil:
		return Failed, 0
	case len(results) != 1 || len(results[0].Rows) != 1 || len(results[0].Rows[0]) != 1:
		return InvalidAnswer, 0
	}
	r.recordCommit(arrival, string(results[0].Rows[0][0]))
	return InAim, 0
}

func deadline(ctx context.Context) time.Time {
	at, _ := ctx.Deadline()
	return at
}

// recordCommit keeps the commit that a write was told, where the value names it.
func (r *Runner) recordCommit(arrival plan.Arrival, value string) {
	if text, ok := strings.CutPrefix(value, "commit="); ok {
		if ms, err := strconv.ParseInt(text, 10, 64); err == nil {
			r.mu.Lock()
			r.commits[arrival.Session] = max(r.commits[arrival.Session], ms)
			r.mu.Unlock()
		}
	}
}

// buildStatement is what a client of the platform writes, and the id in it.
func (r *Runner) buildStatement(arrival plan.Arrival, class *plan.Class, remaining time.Duration, isRetry bool) (text, id string) {
	r.mu.Lock()
	r.lastID++
	id = fmt.Sprintf("%016x", r.lastID)
	head := fmt.Sprintf("id=%s,c=%s,d=%d,cluster=%d", id, class.Name, max(1, remaining.Milliseconds()), arrival.Group)
	if commit := r.commits[arrival.Session]; commit > 0 && class.Kind == plan.SessionRead {
		head += fmt.Sprintf(",after=%d", commit)
	}
	r.mu.Unlock()
	if isRetry {
		head += ",r=1"
	}
	key := fmt.Sprintf("%016x", arrival.Key)
	if class.Kind == plan.SessionRead {
		key = fmt.Sprintf("%016x", arrival.Session)
	}
	return pgwire.ClientStatement(head, key, class.Kind == plan.Write), id
}

// poolFor finds the connections to a session's gateway; nil: there is none.
func (r *Runner) poolFor(session int) *pool {
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

// acquire waits for a connection; reused tells that it has carried requests.
func (p *pool) acquire(ctx context.Context) (_ *pgconn.PgConn, reused bool, _ error) {
	select {
	case p.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
	for {
		p.mu.Lock()
		count := len(p.idle)
		if count == 0 {
			p.mu.Unlock()
			break
		}
		conn := p.idle[count-1]
		p.idle = p.idle[:count-1]
		p.mu.Unlock()
		if isIdle(conn.Conn()) {
			return conn, true, nil
		}
		p.discard(conn) // the gateway has closed it meanwhile
	}
	addr := netip.MustParseAddrPort(p.target)
	config, err := pgconn.ParseConfig(fmt.Sprintf("host=%s port=%d user=api dbname=ledger sslmode=disable", addr.Addr(), addr.Port()))
	var conn *pgconn.PgConn
	if err == nil {
		conn, err = pgconn.ConnectConfig(ctx, config)
	}
	if err != nil {
		<-p.slots
		return nil, false, err
	}
	return conn, false, nil
}

func (p *pool) release(c *pgconn.PgConn) {
	p.mu.Lock()
	keep := !p.closed && !c.IsClosed()
	if keep {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		p.discard(c)
	}
	<-p.slots
}

// isIdle tells that nothing has come on a connection at rest, not even its end. It does not wait, as pgconn's own
// check does for a millisecond, which would count as the gateway's.
func isIdle(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Control(func(fd uintptr) {
		var peeked [1]byte
		_, _, errno := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = errno == unix.EAGAIN
	})
	return err == nil && idle
}

// discard closes a connection at once; a gateway is not waited for.
func (p *pool) discard(c *pgconn.PgConn) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = c.Close(ctx)
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		p.discard(c)
	}
	p.idle = nil
}
