// Package backend manages the connections to the databases: a pool per host, the attempts
// and probes sent over them, and the interpretation of the databases' answers.
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

// Core is notified of the progress and end of attempts and probes.
type Core interface {
	Resolved(attempt *gateway.Attempt, outcome policy.Outcome, reply gateway.Reply)
	LateAnswer(host policy.HostID, reply gateway.Reply) // the answer to an attempt that had been given up
	Probed(host policy.HostID, outcome policy.Outcome, reply gateway.Reply)
	// BeginAttempt reports that the first byte of an attempt is about to be written, and returns the remaining time to send to the
	// database; 0: it is too late to begin.
	BeginAttempt(attempt *gateway.Attempt, until time.Duration) (remaining time.Duration)
	Written(attempt *gateway.Attempt) // the kernel has accepted its last byte
	BeginStream(attempt *gateway.Attempt) bool
	FleetEvent(event policy.Event)
	StreamChunk(attempt *gateway.Attempt, chunk []byte) (more bool)
}

// Options configure a Pool.
type Options struct {
	ConnIdle    time.Duration // databases close connections that were idle this long
	DialTimeout time.Duration // for establishing a connection, and for a probe
	ProbeReport bool          // probes ask for the load report
	Reserve     int           // descriptors reserved for clients and discovery
	Budget      Budget        // of connections; nil: limited by descriptors only
}

// Budget bounds the connections to each host to this gateway's part of the fleet's shared budget.
type Budget interface {
	// Allowed returns how many connections may be open and in use from now until a time.
	Allowed(host policy.HostID, until time.Duration) int
	// ReportDemand reports how many connections are in use, and how many jobs wait for one.
	ReportDemand(host policy.HostID, used, waiting int)
}

const (
	budgetInterval       = 100 * time.Millisecond
	maxInputBytes        = pgwire.MaxBufferedValue + 20<<10 // the largest buffered answer, and another message before its end
	streamReadBytes      = 32 << 10                         // read size for a streamed message
	streamSilenceTimeout = 7 * time.Second                  // between two reads of a streamed message
)

// Pool manages all connections to databases.
type Pool struct {
	loop             *netloop.Loop
	core             Core
	options          Options
	hosts            map[policy.HostID]*host
	startup          []byte
	shortageLog      netloop.RateLimitedLog
	invalidAnswerLog netloop.RateLimitedLog
}

// host is one database with its connections and the jobs that wait for one.
type host struct {
	id            policy.HostID
	addr          netip.AddrPort
	gone          bool // no longer in the list
	goneAt        time.Duration
	idle          []*conn // most recently used last
	quarantined   []*conn // unused for quarantineTime after an answer
	waiting       []*job  // for a connection, oldest first
	dialing       []*conn
	open          int           // number of connections, including those being dialled
	shortageAt    time.Duration // when this machine last had no descriptor or socket for a connection
	retryAt       time.Duration // when dialling is retried after that
	limitReported bool
	reportedLimit int // concurrent attempts
}

// quarantineTime is how long a connection stays unused after an answer: a duplicate or stray
// bytes that follow directly would be taken for the next answer.
const quarantineTime = 2 * time.Millisecond

// goneRetention is how long the address of a host that left the list is kept: the decision module
// may treat removals as advisory, and attempts may be in flight.
const goneRetention = time.Minute

// job is an attempt or a probe in progress.
type job struct {
	attempt  *gateway.Attempt // nil: a probe
	host     *host
	deadline time.Duration
	beginBy  time.Duration // it is not started at or after this time
	timer    *netloop.Timer
	conn     *conn // nil: none is assigned yet
}

// SetReserve changes how many descriptors are reserved for clients and discovery.
func (p *Pool) SetReserve(descriptors int) { p.options.Reserve = descriptors }

// New returns an empty pool.
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

// maintainBudget reports the demand for connections, and closes idle ones that the budget no longer covers.
func (p *Pool) maintainBudget() {
	p.loop.At(p.loop.Now()+budgetInterval, p.maintainBudget)
	for _, h := range p.hosts {
		p.trimIdle(h, p.loop.Now())
		p.reportDemand(h)
		p.reportLimit(h)
	}
}

// reportLimit limits the attempts that the decision module sends to h to the connections allowed, plus half as many that may
// wait for one: waiting attempts show that there is demand for more.
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

// overBudget returns by how many the open connections to h exceed those allowed until a time; negative: so many more are allowed.
func (p *Pool) overBudget(h *host, until time.Duration) int {
	if p.options.Budget == nil {
		return math.MinInt
	}
	return h.open - p.options.Budget.Allowed(h.id, until)
}

// trimIdle closes idle connections that exceed the budget. Those in use stay: no job was started that could outlast the
// budget for its connection.
func (p *Pool) trimIdle(h *host, until time.Duration) {
	for len(h.idle) > 0 && p.overBudget(h, until) > 0 {
		h.idle[0].discard()
		h.idle = slices.Delete(h.idle, 0, 1)
	}
}

// Granted reports that the budget for a host has grown.
func (p *Pool) Granted(id policy.HostID) {
	if h := p.hosts[id]; h != nil {
		p.reportLimit(h)
		for range len(h.waiting) {
			p.dialIfNeeded(h)
		}
	}
}

// ListUpdated stores the addresses of hosts, and closes idle connections to former addresses and to
// hosts that are gone. A full or cached list contains every host that is not gone.
func (p *Pool) ListUpdated(kind policy.ListKind, entries []gateway.Entry) {
	named := map[policy.HostID]bool{}
	for _, entry := range entries {
		named[entry.Host] = true
		h := p.hosts[entry.Host]
		if h == nil {
			h = &host{id: entry.Host}
			p.hosts[entry.Host] = h
		}
		moved := entry.Dial != h.addr
		if h.addr = entry.Dial; moved {
			p.redial(h)
		}
		if moved || entry.Status == policy.Gone {
			p.CloseIdleConnections(entry.Host)
		}
		if p.options.Budget != nil {
			h.limitReported = false // the decision module may have dropped the host, and its limit, meanwhile
		}
		p.setGone(h, entry.Status == policy.Gone)
	}
	for id, h := range p.hosts {
		if (kind == policy.ListFull || kind == policy.ListCached) && !named[id] {
			p.CloseIdleConnections(id)
			p.setGone(h, true)
		}
	}
}

// redial closes connections being dialled to a host's former address, and dials new ones for the waiting jobs. Busy connections
// are closed after their answers.
func (p *Pool) redial(h *host) {
	for _, c := range slices.Clone(h.dialing) {
		c.discard()
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
	deadline := p.loop.Now() + p.options.DialTimeout
	probe := &job{host: p.hosts[id], deadline: deadline, beginBy: deadline}
	if probe.host == nil {
		p.core.Probed(id, policy.ConnectFailed, gateway.Reply{})
		return
	}
	p.assign(probe)
}

// ResumeStream continues streaming an attempt's value.
func (p *Pool) ResumeStream(attempt *gateway.Attempt) {
	if job, ok := attempt.BackendData.(*job); ok && job.conn != nil {
		job.conn.resumeStream()
	}
}

// Cancel gives up an attempt. The database is notified by the end of the connection.
func (p *Pool) Cancel(attempt *gateway.Attempt) {
	if job, ok := attempt.BackendData.(*job); ok {
		p.abandon(job, policy.Cancelled)
	}
}

// CancelUnsent resolves an attempt as NotSent if the kernel has not accepted its last byte: it has not run and must not.
func (p *Pool) CancelUnsent(attempt *gateway.Attempt) {
	if job, ok := attempt.BackendData.(*job); ok && (job.conn == nil || job.conn.hasUnsent()) {
		p.abandon(job, policy.NotSent)
	}
}

// CloseIdleConnections closes the idle connections to a host.
func (p *Pool) CloseIdleConnections(id policy.HostID) {
	if h := p.hosts[id]; h != nil {
		for _, c := range slices.Concat(h.idle, h.quarantined) {
			c.discard()
		}
		clear(h.idle)
		clear(h.quarantined)
		h.idle, h.quarantined = h.idle[:0], h.quarantined[:0]
		p.dialIfNeeded(h)
	}
}

// StopUsingHost closes the idle connections to a host, and resolves the jobs that wait for a connection
// as NotSent: none of their bytes was written. Running jobs continue.
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

// assign finds a connection for a job: the most recently used idle one, else a new one, or one
// that becomes free before the new one is established.
func (p *Pool) assign(job *job) {
	h := job.host
	switch {
	case h == nil:
		p.finish(job, policy.ConnectFailed, gateway.Reply{}) // nothing was written
		return
	case p.expired(job):
		p.finish(job, policy.NotSent, gateway.Reply{}) // this process is late; not the host's fault
		return
	}
	p.trimIdle(h, job.deadline)
	for n := len(h.idle); n > 0; n = len(h.idle) {
		c := h.idle[n-1]
		h.idle = h.idle[:n-1]
		if c.nc.NoInputPending() {
			c.start(job)
			return
		}
		c.discard() // it was closed, or unrequested bytes arrived
	}
	h.waiting = append(h.waiting, job)
	p.startWaitTimer(job, p.options.DialTimeout)
	p.dialIfNeeded(h)
}

// expired reports whether it is too late to begin a job. It reads the clock instead of the time at which the loop iteration
// began: the process may have been stopped since then.
func (p *Pool) expired(job *job) bool { return job.beginBy <= p.loop.Clock() }

// startWaitTimer gives up on a job if no connection becomes available within limit. Pauses of this process do not count, and if
// a pause used up the job's time, or descriptors ran short, the job ends as NotSent: the host is not at fault.
func (p *Pool) startWaitTimer(job *job, limit time.Duration) {
	pausedBefore, startedAt := p.loop.StallTime(), p.loop.Now()
	job.timer = p.loop.At(min(job.beginBy, p.loop.Now()+limit), func() {
		outcome, paused := policy.ConnectFailed, p.loop.StallTime()-pausedBefore
		switch {
		case job.beginBy < job.deadline && p.loop.Now() >= job.beginBy:
			outcome = policy.NotSent // the time to begin a retry is over
		case p.overBudget(job.host, job.deadline) >= 0:
			outcome = policy.AtCapacity // the host is healthy, but the budget allows no connection
		case paused > 0 && p.loop.Now() < job.beginBy:
			p.startWaitTimer(job, paused)
			return
		case paused > 0 || job.host.shortageAt >= startedAt:
			outcome = policy.NotSent
		}
		p.abandon(job, outcome)
	})
}

// dialIfNeeded opens a connection if more jobs wait than connections are about to become available.
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
	if p.loop.SpareDescriptors() <= p.options.Reserve && !p.CloseOldestIdle() {
		p.shortageLog.Printf(p.loop.Now(), "event=no_descriptor host=%s spare=%d", h.id, p.loop.SpareDescriptors())
		p.retrySoon(h)
		return
	}
	c := &conn{pool: p, host: h, addr: h.addr}
	nc, err := p.loop.Dial(h.addr, c, maxInputBytes)
	if netloop.IsResourceShortage(err) {
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
	c.timer = p.loop.AfterRunTime(p.options.DialTimeout, c.dialTimedOut)
}

// retrySoon schedules another attempt to dial after a shortage of descriptors or sockets, which is this machine's own and not the
// host's fault.
func (p *Pool) retrySoon(h *host) {
	if now := p.loop.Now(); now >= h.retryAt {
		h.retryAt = now + quarantineTime
		p.loop.At(h.retryAt, func() { p.dialIfNeeded(h) })
	}
	h.shortageAt = p.loop.Now()
}

// CloseOldestIdle closes the connection that has been idle longest; it returns false if there is none.
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
	oldest.idle[0].discard()
	oldest.idle = slices.Delete(oldest.idle, 0, 1)
	return true
}

// dialFailed ends the oldest waiting job if fewer connections are about to become available than jobs wait.
func (p *Pool) dialFailed(h *host, outcome policy.Outcome) {
	if len(h.waiting) > len(h.dialing)+len(h.quarantined) {
		job := h.waiting[0]
		h.waiting = h.waiting[1:]
		p.finish(job, outcome, gateway.Reply{})
	}
}

// quarantine keeps a connection unused for quarantineTime.
func (p *Pool) quarantine(c *conn) {
	c.host.quarantined = append(c.host.quarantined, c)
	c.timer = p.loop.At(p.loop.Now()+quarantineTime, func() {
		c.host.quarantined = remove(c.host.quarantined, c)
		if c.nc.NoInputPending() {
			p.release(c)
		} else {
			c.discard()
			p.dialIfNeeded(c.host)
		}
	})
}

// release gives a connection to the job that has waited longest, or keeps it as idle. A job whose time to begin is over is not
// started, even if its timer has not fired yet.
func (p *Pool) release(c *conn) {
	h := c.host
	for len(h.waiting) > 0 {
		job := h.waiting[0]
		if p.overBudget(h, job.deadline) > 0 {
			c.discard()
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

// abandon gives up a job; a connection on which it was written is closed, because an answer may
// still arrive on it. A job that was not completely written cannot have run.
func (p *Pool) abandon(job *job, outcome policy.Outcome) {
	if c := job.conn; c != nil {
		if c.hasUnsent() && outcome != policy.NotSent {
			outcome = policy.ConnectFailed
		}
		c.dropValue()
		if c.job = nil; outcome == policy.Timeout || outcome == policy.Cancelled {
			c.awaitLateAnswer(job)
		} else {
			c.discard()
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

// sweep closes idle connections well before the databases would: a request written to a connection
// that the database has just closed ends as a reset, and the outcome of a write is then unknown.
func (p *Pool) sweep() {
	p.loop.At(p.loop.Now()+time.Second, p.sweep)
	oldest := p.loop.Now() - p.options.ConnIdle*6/10
	for id, h := range p.hosts {
		if h.gone && p.loop.Now()-h.goneAt > goneRetention && len(h.waiting) == 0 {
			delete(p.hosts, id) // attempts in flight keep their reference
		}
		for p.options.ConnIdle > 0 && len(h.idle) > 0 && h.idle[0].idleSince < oldest {
			h.idle[0].discard()
			h.idle = slices.Delete(h.idle, 0, 1)
		}
	}
}
