// Package backend holds the connections to the databases: a pool per host, the attempts
// and probes that go over them, and what the databases' answers mean.
package backend

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"lilaccove/internal/gateway"
	"lilaccove/internal/netloop"
	"lilaccove/internal/pgwire"
	"lilaccove/policy"
)

// Core hears how attempts and probes end.
type Core interface {
	Resolved(a *gateway.Attempt, o policy.Outcome, r gateway.Reply)
	LateAnswer(host policy.HostID, r gateway.Reply) // what was answered to an attempt that was given up meanwhile
	Probed(host policy.HostID, o policy.Outcome, r gateway.Reply)
	// BeginAttempt tells that the first byte of an attempt is written now, and returns how long its database is told to have; 0: its
	// time to begin is over.
	BeginAttempt(a *gateway.Attempt, until time.Duration) (left time.Duration)
	Written(a *gateway.Attempt) // its last byte was taken by the kernel
	BeginStream(a *gateway.Attempt) bool
	FleetEvent(e policy.Event)
	StreamChunk(a *gateway.Attempt, b []byte) (more bool)
}

// Options are what the pool is told once.
type Options struct {
	ConnIdle    time.Duration // databases close connections that stood idle so long
	DialTimeout time.Duration // a connection is up by then, or has failed; probes, too
	ProbeReport bool          // probes ask for the load report
	Reserve     int           // descriptors left for clients and discovery
	Budget      Budget        // of connections; nil: as many as descriptors allow
}

// Budget bounds the connections to each host by what the whole fleet may have.
type Budget interface {
	// Allowed is how many may be open and used from now until a moment.
	Allowed(host policy.HostID, until time.Duration) int
	// ReportDemand tells how many are used, and how many more are waited for.
	ReportDemand(host policy.HostID, used, waiting int)
}

const (
	budgetInterval       = 100 * time.Millisecond
	maxInputBytes        = pgwire.MostValue + 4096 // the largest message that is collected fits with its head
	streamReadBytes      = 32 << 10                // of a larger one so much is read at once
	streamSilenceTimeout = 5 * time.Second         // within which more of it must come
)

// Pool is all connections to databases.
type Pool struct {
	loop             *netloop.Loop
	core             Core
	options          Options
	hosts            map[policy.HostID]*host
	startup          []byte
	shortageLog      netloop.Sparse
	invalidAnswerLog netloop.Sparse
}

type host struct {
	id            policy.HostID
	addr          netip.AddrPort
	gone          bool // from the list
	goneAt        time.Duration
	idle          []*conn // the one used last is the last
	quarantined   []*conn // they have just answered
	waiting       []*job  // for a connection, oldest first
	dialing       []*conn
	open          int           // connections, those on their way included
	shortageAt    time.Duration // when this machine had no descriptor or socket for a connection to it
	retryAt       time.Duration // when that is tried again
	limitReported bool
	reportedLimit int // attempts, as told
}

// quarantineTime is how long a connection stays unused behind an answer: a second copy or
// noise that comes straight after would be taken for the next answer.
const quarantineTime = 2 * time.Millisecond

// goneRetention is how long the address of a host that left the list is kept: the module may
// take the list for advice, and attempts may be out.
const goneRetention = time.Minute

// job is an attempt or a probe on its way.
type job struct {
	attempt  *gateway.Attempt // nil: a probe
	host     *host
	deadline time.Duration
	beginBy  time.Duration // it is not begun later than this
	timer    *netloop.Timer
	conn     *conn // nil: waits for one
}

// New makes an empty pool.
func New(loop *netloop.Loop, core Core, options Options) *Pool {
	p := &Pool{
		loop: loop, core: core, options: options, hosts: map[policy.HostID]*host{},
		startup: pgwire.Startup("api", "ledger"),
	}
	p.sweep()
	if options.Budget != nil {
		p.maintainBudget()
	}
	return p
}

// maintainBudget tells of the need for connections, and closes idle ones that are no longer in the budget.
func (p *Pool) maintainBudget() {
	p.loop.At(p.loop.Now()+budgetInterval, p.maintainBudget)
	for _, h := range p.hosts {
		p.trimIdle(h, p.loop.Now())
		p.reportDemand(h)
		p.reportLimit(h)
	}
}

// reportLimit has the module send no more to h than it has connections for. Half as many more may wait for one of them: that
// is how a need for more shows.
func (p *Pool) reportLimit(h *host) {
	limit := p.options.Budget.Allowed(h.id, p.loop.Now())
	if limit > 0 {
		limit += max(1, limit/2)
	}
	if !h.limitReported || limit != h.reportedLimit {
		h.limitReported, h.reportedLimit = true, limit
		p.core.FleetEvent(policy.ConcurrencyLimit{Host: h.id, Max: limit})
	}
}

func (p *Pool) reportDemand(h *host) {
	p.options.Budget.ReportDemand(h.id, h.open-len(h.idle), len(h.waiting))
}

// overBudget is how many connections to h are open beyond what may be used until a moment; below zero: so many more may be.
func (p *Pool) overBudget(h *host, until time.Duration) int {
	if p.options.Budget == nil {
		return math.MinInt
	}
	return h.open - p.options.Budget.Allowed(h.id, until)
}

// trimIdle closes idle connections over the budget. Those in use stay: none was begun that might outlast it.
func (p *Pool) trimIdle(h *host, until time.Duration) {
	for len(h.idle) > 0 && p.overBudget(h, until) > 0 {
		h.idle[0].close()
		h.idle = slices.Delete(h.idle, 0, 1)
	}
}

// Granted tells that there is more of the budget of a host.
func (p *Pool) Granted(id policy.HostID) {
	if h := p.hosts[id]; h != nil {
		p.reportLimit(h)
		for range len(h.waiting) {
			p.dialIfNeeded(h)
		}
	}
}

// ListUpdated keeps the addresses of hosts. Connections to where one was before, or to one
// that is gone, are of no use; a list that is not of changes holds all that are not gone.
func (p *Pool) ListUpdated(kind policy.ListKind, entries []gateway.Entry) {
	named := map[policy.HostID]bool{}
	for _, e := range entries {
		named[e.Host] = true
		h := p.hosts[e.Host]
		if h == nil {
			h = &host{id: e.Host}
			p.hosts[e.Host] = h
		}
		moved := e.Dial != h.addr
		if h.addr = e.Dial; moved {
			p.redial(h)
		}
		if moved || e.Status == policy.Gone {
			p.CloseIdleConnections(e.Host)
		}
		if p.options.Budget != nil {
			h.limitReported = false // the module may have forgotten it meanwhile
		}
		p.setGone(h, e.Status == policy.Gone)
	}
	for id, h := range p.hosts {
		if (kind == policy.ListFull || kind == policy.ListCached) && !named[id] {
			p.CloseIdleConnections(id)
			p.setGone(h, true)
		}
	}
}

// redial drops the connections that are on their way to where a host was before; who waits for them has others. Busy ones go
// behind their answers.
func (p *Pool) redial(h *host) {
	for _, c := range slices.Clone(h.dialing) {
		c.close()
	}
	for range h.waiting {
		p.dialIfNeeded(h)
	}
}

func (p *Pool) setGone(h *host, gone bool) {
	if gone && !h.gone {
		h.goneAt = p.loop.Now()
	}
	h.gone = gone
}

// Send starts an attempt.
func (p *Pool) Send(a *gateway.Attempt) {
	job := &job{attempt: a, host: p.hosts[a.Host], deadline: a.Deadline, beginBy: a.BeginBy}
	a.BackendData = job
	p.assign(job)
}

// Probe starts a probe.
func (p *Pool) Probe(id policy.HostID) {
	until := p.loop.Now() + p.options.DialTimeout
	job := &job{host: p.hosts[id], deadline: until, beginBy: until}
	if job.host == nil {
		p.core.Probed(id, policy.ConnectFailed, gateway.Reply{})
		return
	}
	p.assign(job)
}

// ResumeStream lets an attempt's value go on.
func (p *Pool) ResumeStream(a *gateway.Attempt) {
	if job, ok := a.BackendData.(*job); ok && job.conn != nil {
		job.conn.resumeStream()
	}
}

// Cancel gives an attempt up. The database learns of it by the close.
func (p *Pool) Cancel(a *gateway.Attempt) {
	if job, ok := a.BackendData.(*job); ok {
		p.abandon(job, policy.Cancelled)
	}
}

// CancelUnsent gives an attempt back if its last byte is not with the kernel: it has not run and must not any more.
func (p *Pool) CancelUnsent(a *gateway.Attempt) {
	if job, ok := a.BackendData.(*job); ok && (job.conn == nil || job.conn.hasUnsent()) {
		p.abandon(job, policy.NotSent)
	}
}

// CloseIdleConnections closes the idle connections to a host.
func (p *Pool) CloseIdleConnections(id policy.HostID) {
	if h := p.hosts[id]; h != nil {
		for _, c := range slices.Concat(h.idle, h.quarantined) {
			c.close()
		}
		clear(h.idle)
		clear(h.quarantined)
		h.idle, h.quarantined = h.idle[:0], h.quarantined[:0]
		p.dialIfNeeded(h)
	}
}

// StopUsingHost hangs up and gives back what waits for a connection to a host: not a byte of it was
// written. What runs there goes on.
func (p *Pool) StopUsingHost(id policy.HostID) {
	p.CloseIdleConnections(id)
	if h := p.hosts[id]; h != nil {
		jobs := h.waiting
		h.waiting = nil
		for _, job := range jobs {
			p.finish(job, policy.NotSent, gateway.Reply{})
		}
	}
}

// CloseAllIdle closes all idle connections.
func (p *Pool) CloseAllIdle() {
	for id := range p.hosts {
		p.CloseIdleConnections(id)
	}
}

// assign finds a connection for j: the one used last, or else a new one, or one that
// comes free before that is up.
func (p *Pool) assign(job *job) {
	h := job.host
	switch {
	case h == nil:
		p.finish(job, policy.ConnectFailed, gateway.Reply{}) // not a byte was written
		return
	case p.expired(job):
		p.finish(job, policy.NotSent, gateway.Reply{}) // by this process's fault
		return
	}
	p.trimIdle(h, job.deadline)
	for n := len(h.idle); n > 0; n = len(h.idle) {
		c := h.idle[n-1]
		h.idle = h.idle[:n-1]
		if c.nc.Silent() {
			c.start(job)
			return
		}
		c.close() // it has ended, or something came on it that nobody asked for
	}
	h.waiting = append(h.waiting, job)
	p.startWaitTimer(job, p.options.DialTimeout)
	p.dialIfNeeded(h)
}

// expired tells that a job must not begin any more. It goes by the clock, not by the begin of the round: the process may have
// stood still since then.
func (p *Pool) expired(job *job) bool { return job.beginBy <= p.loop.Clock() }

// startWaitTimer gives up on j where no connection is there for it within d. Time that this process has lost does not count, and
// where there is no more of it, or of descriptors, the host is not to be blamed.
func (p *Pool) startWaitTimer(job *job, limit time.Duration) {
	pausedBefore, startedAt := p.loop.Lost(), p.loop.Now()
	job.timer = p.loop.At(min(job.beginBy, p.loop.Now()+limit), func() {
		outcome, paused := policy.ConnectFailed, p.loop.Lost()-pausedBefore
		switch {
		case job.beginBy < job.deadline && p.loop.Now() >= job.beginBy:
			outcome = policy.NotSent // a repeat whose window is over
		case p.overBudget(job.host, job.deadline) >= 0:
			outcome = policy.AtCapacity // the host is well: there is no connection to be had
		case paused > 0 && p.loop.Now() < job.beginBy:
			p.startWaitTimer(job, paused)
			return
		case paused > 0 || job.host.shortageAt >= startedAt:
			outcome = policy.NotSent
		}
		p.abandon(job, outcome)
	})
}

// dialIfNeeded opens a connection where more jobs wait than will have one.
func (p *Pool) dialIfNeeded(h *host) {
	if len(h.dialing)+len(h.quarantined) < len(h.waiting) {
		p.dial(h)
	}
}

func (p *Pool) dial(h *host) {
	if p.overBudget(h, h.waiting[0].deadline) >= 0 {
		p.reportDemand(h)
		return
	}
	if p.loop.Spare() <= p.options.Reserve && !p.CloseOldestIdle() {
		p.shortageLog.Printf(p.loop.Now(), "event=no_descriptor host=%s spare=%d", h.id, p.loop.Spare())
		p.retrySoon(h)
		return
	}
	c := &conn{pool: p, host: h, addr: h.addr}
	nc, err := p.loop.Dial(h.addr, c, maxInputBytes)
	if netloop.Wanting(err) {
		p.shortageLog.Printf(p.loop.Now(), "event=no_socket host=%s err=%q", h.id, err)
		p.retrySoon(h)
		return
	}
	if err != nil {
		p.dialFailed(h, policy.ConnectFailed)
		return
	}
	c.nc = nc
	h.dialing = append(h.dialing, c)
	h.open++
	c.timer = p.loop.Within(p.options.DialTimeout, c.dialTimedOut)
}

// retrySoon has another look for a descriptor, a socket, or a connection that comes free, soon: the want is this machine's own.
func (p *Pool) retrySoon(h *host) {
	if now := p.loop.Now(); now >= h.retryAt {
		h.retryAt = now + quarantineTime
		p.loop.At(h.retryAt, func() { p.dialIfNeeded(h) })
	}
	h.shortageAt = p.loop.Now()
}

// CloseOldestIdle closes the connection that has been idle longest; false: there is none.
func (p *Pool) CloseOldestIdle() bool {
	var oldest *host
	for _, h := range p.hosts {
		if len(h.idle) > 0 && (oldest == nil || h.idle[0].idleSince < oldest.idle[0].idleSince) {
			oldest = h
		}
	}
	if oldest == nil {
		return false
	}
	oldest.idle[0].close()
	oldest.idle = slices.Delete(oldest.idle, 0, 1)
	return true
}

// dialFailed ends the oldest job that no connection on its way is left for.
func (p *Pool) dialFailed(h *host, outcome policy.Outcome) {
	if len(h.waiting) > len(h.dialing)+len(h.quarantined) {
		job := h.waiting[0]
		h.waiting = h.waiting[1:]
		p.finish(job, outcome, gateway.Reply{})
	}
}

// quarantine keeps a connection apart for a moment.
func (p *Pool) quarantine(c *conn) {
	c.host.quarantined = append(c.host.quarantined, c)
	c.timer = p.loop.At(p.loop.Now()+quarantineTime, func() {
		c.host.quarantined = remove(c.host.quarantined, c)
		if c.nc.Silent() {
			p.release(c)
		} else {
			c.close()
			p.dialIfNeeded(c.host)
		}
	})
}

// release gives a connection to the job that waits longest, or keeps it. A job whose time to begin is over is not begun,
// though its timer has not fired yet.
func (p *Pool) release(c *conn) {
	h := c.host
	for len(h.waiting) > 0 {
		job := h.waiting[0]
		if p.overBudget(h, job.deadline) > 0 {
			c.close()
			return
		}
		h.waiting = h.waiting[1:]
		if !p.expired(job) {
			c.start(job)
			return
		}
		p.finish(job, policy.NotSent, gateway.Reply{})
	}
	c.idleSince = p.loop.Now()
	h.idle = append(h.idle, c)
}

// abandon stops waiting for j; a connection that it was written to is closed, for an
// answer may yet come on it. What was not written whole cannot have run.
func (p *Pool) abandon(job *job, outcome policy.Outcome) {
	if c := job.conn; c != nil {
		if c.hasUnsent() && outcome != policy.NotSent {
			outcome = policy.ConnectFailed
		}
		if c.job = nil; outcome == policy.Timeout || outcome == policy.Cancelled {
			c.awaitLateAnswer(job)
		} else {
			c.close()
		}
	} else if i := slices.Index(job.host.waiting, job); i >= 0 {
		job.host.waiting = slices.Delete(job.host.waiting, i, i+1)
	}
	p.finish(job, outcome, gateway.Reply{})
}

func (p *Pool) finish(job *job, outcome policy.Outcome, reply gateway.Reply) {
	job.timer.Stop()
	if job.attempt != nil {
		p.core.Resolved(job.attempt, outcome, reply)
	} else {
		p.core.Probed(job.host.id, outcome, reply)
	}
}

// sweep closes connections well before the databases would: a request written to one
// that the database has just closed ends as a reset, and a write is lost with it.
func (p *Pool) sweep() {
	p.loop.At(p.loop.Now()+time.Second, p.sweep)
	oldest := p.loop.Now() - p.options.ConnIdle*6/10
	for id, h := range p.hosts {
		if h.gone && p.loop.Now()-h.goneAt > goneRetention && len(h.waiting) == 0 {
			delete(p.hosts, id) // attempts on their way keep it for themselves
		}
		for p.options.ConnIdle > 0 && len(h.idle) > 0 && h.idle[0].idleSince < oldest {
			h.idle[0].close()
			h.idle = slices.Delete(h.idle, 0, 1)
		}
	}
}
