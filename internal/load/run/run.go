// Package run plays a schedule of arrivals against gateways and measures what their clients see. The load is
// open-loop: each request is started when it is due, whatever the state of earlier ones, and its latency
// includes the time it waits for a connection.
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

// Outcome is the final result of a request for its client, after all retries.
type Outcome string

// The outcomes.
const (
	InAim             Outcome = "in_aim"
	Late              Outcome = "late"
	RefusedRetryAfter Outcome = "refused_retry_after" // refused with a retry-after time
	Refused           Outcome = "refused"
	Failed            Outcome = "failed"
	GaveUp            Outcome = "gave_up"
	NoConnection      Outcome = "no_connection"
	NotSent           Outcome = "missed" // too many requests were outstanding
	InvalidAnswer     Outcome = "bad_answer"
)

// Outcomes lists all outcomes in the order of reports.
var Outcomes = []Outcome{InAim, Late, RefusedRetryAfter, Refused, Failed, GaveUp, NoConnection, NotSent, InvalidAnswer}

// Sample is the measurement of one finished request.
type Sample struct {
	Arrival     plan.Arrival
	Outcome     Outcome
	Latency     time.Duration // from the scheduled time
	Service     time.Duration // of the last attempt, from the time it was sent
	Lateness    time.Duration // delay of the generator in starting the request
	Attempts    int
	LastAttempt Attempt
}

// Attempt is one sending of a request to a gateway.
type Attempt struct {
	Target     string    // address of the gateway; empty: not sent
	Sent       time.Time // when the statement was written
	Ended      time.Time
	Reused     bool // the connection had carried earlier requests
	Unanswered bool // the connection ended or the client timed out without an answer
	ID         string
}

// Runner sends the requests of one schedule.
type Runner struct {
	Plan         *plan.Plan
	Arrivals     []plan.Arrival
	Targets      []string
	SelectTarget func(session int) (target string, ok bool) // gateway for a session; nil: a fixed one of Targets
	OnSample     func(Sample)                               // receives each finished request; called concurrently
	ClientSlack  time.Duration                              // how long after the deadline an answer is still awaited
	BeforeSend   func(time.Duration)                        // called before each request is started; for tests of the generator

	pools     map[string]*pool
	startTime time.Time
	mu        sync.Mutex
	rng       *rand.Rand
	commits   map[int]int64 // newest commit reported to each session
	lastID    uint64
}

// CheckLoopback returns an error unless target is a loopback address: load is sent to this machine only.
func CheckLoopback(target string) error {
	addr, err := netip.ParseAddrPort(target)
	if err != nil {
		return fmt.Errorf("target %q: must be an address like 127.0.0.1:5432", target)
	}
	if !addr.Addr().IsLoopback() {
		return fmt.Errorf("target %s is not a loopback address; load is sent to no other", target)
	}
	return nil
}

// Play starts the requests of all arrivals, or of those due before ctx ends, and waits for their outcomes. It
// returns the number of requests started.
func (r *Runner) Play(ctx context.Context) (sent int, err error) {
	if len(r.Targets) == 0 && r.SelectTarget == nil {
		return 0, errors.New("no target is given")
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
	r.lastID = uint64(r.startTime.UnixNano()) << 24 // keeps the IDs of different runs apart
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

// waitUntil waits until deadline. It returns false if ctx ends first.
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

// runRequest sends one request and its retries and returns the result.
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
			break // no time for another attempt: the refusal is the outcome
		}
	}
	sample.Latency = time.Since(due)
	if sample.Outcome == InAim && sample.Latency > class.Deadline {
		sample.Outcome = GaveUp // answered after the deadline: worth nothing
	} else if sample.Outcome == InAim && sample.Latency > class.Aim {
		sample.Outcome = Late
	}
	return sample
}

// retryDelay returns how long a client waits before its next attempt.
func (r *Runner) retryDelay(retryAfter time.Duration, attempts int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	delay := time.Duration(float64(r.Plan.RetryPause<<min(attempts-1, 5)) * (0.5 + r.rng.Float64()))
	if retryAfter > 0 && r.rng.Float64() < r.Plan.HonourShare {
		delay = max(delay, retryAfter)
	}
	return delay
}

// attempt sends the request once. The service time counts from the write on an established connection.
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

// classify returns the outcome of an answer and its retry-after time.
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

// deadline returns the deadline of ctx, which must have one.
func deadline(ctx context.Context) time.Time {
	at, _ := ctx.Deadline()
	return at
}

// recordCommit stores the commit position of the session if the answer contains one.
func (r *Runner) recordCommit(arrival plan.Arrival, value string) {
	if text, ok := strings.CutPrefix(value, "commit="); ok {
		if ms, err := strconv.ParseInt(text, 10, 64); err == nil {
			r.mu.Lock()
			r.commits[arrival.Session] = max(r.commits[arrival.Session], ms)
			r.mu.Unlock()
		}
	}
}

// buildStatement returns a statement as clients of the platform write it, and the request ID in it.
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

// poolFor returns the connection pool of a session's gateway, or nil if there is no gateway.
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

// pool holds the connections to one gateway. The latency of a request includes its wait for a connection.
type pool struct {
	target string
	slots  chan struct{}
	mu     sync.Mutex
	idle   []*pgconn.PgConn
	closed bool
}

// acquire waits for a connection. It reports whether the connection has carried requests before.
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
		p.discard(conn) // closed by the gateway in the meantime
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

// release returns a connection to the pool, or closes it if it is no longer usable.
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

// isIdle reports whether an idle connection is open and has nothing to read. It does not block: pgconn's own
// check waits for a millisecond, which would be added to the gateway's latency.
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

// discard closes a connection without waiting for the gateway.
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
