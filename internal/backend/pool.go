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
	needEvery  = 100 * time.Millisecond
	inputMost  = pgwire.MostValue + 4096 // the largest message that is collected fits with its head
	streamRead = 32 << 10                // of a larger one so much is read at once
	quietTime  = 5 * time.Second         // within which more of it must come
)

// Pool is all connections to databases.
type Pool struct {
	loop    *netloop.Loop
	core    Core
	opt     Options
	hosts   map[policy.HostID]*host
	startup []byte
	short   netloop.Sparse
	spoilt  netloop.Sparse
}

type host struct {
	id      policy.HostID
	addr    netip.AddrPort
	gone    bool // from the list
	goneAt  time.Duration
	idle    []*conn // the one used last is the last
	resting []*conn // they have just answered
	waiting []*job  // for a connection, oldest first
	dialing []*conn
	open    int           // connections, those on their way included
	shortAt time.Duration // when this machine had no descriptor or socket for a connection to it
	again   time.Duration // when that is tried again
	told    bool
	most    int // attempts, as told
}

// restTime is how long a connection stays unused behind an answer: a second copy or
// noise that comes straight after would be taken for the next answer.
const restTime = 2 * time.Millisecond

// keepGone is how long the address of a host that left the list is kept: the module may
// take the list for advice, and attempts may be out.
const keepGone = time.Minute

// job is an attempt or a probe on its way.
type job struct {
	attempt *gateway.Attempt // nil: a probe
	host    *host
	until   time.Duration
	begin   time.Duration // it is not begun later than this
	timer   *netloop.Timer
	conn    *conn // nil: waits for one
}

// New makes an empty pool.
func New(loop *netloop.Loop, core Core, opt Options) *Pool {
	p := &Pool{
		loop: loop, core: core, opt: opt, hosts: map[policy.HostID]*host{},
		startup: pgwire.Startup("api", "ledger"),
	}
	p.sweep()
	if opt.Budget != nil {
		p.keep()
	}
	return p
}

// keep tells of the need for connections, and closes idle ones that are no longer in the budget.
func (p *Pool) keep() {
	p.loop.At(p.loop.Now()+needEvery, p.keep)
	for _, h := range p.hosts {
		p.trim(h, p.loop.Now())
		p.need(h)
		p.tell(h)
	}
}

// tell has the module send no more to h than it has connections for. Half as many more may wait for one of them: that
// is how a need for more shows.
func (p *Pool) tell(h *host) {
	n := p.opt.Budget.Allowed(h.id, p.loop.Now())
	if n > 0 {
		n += max(1, n/2)
	}
	if !h.told || n != h.most {
		h.told, h.most = true, n
		p.core.FleetEvent(policy.ConcurrencyLimit{Host: h.id, Max: n})
	}
}

func (p *Pool) need(h *host) {
	p.opt.Budget.ReportDemand(h.id, h.open-len(h.idle), len(h.waiting))
}

// over is how many connections to h are open beyond what may be used until a moment; below zero: so many more may be.
func (p *Pool) over(h *host, until time.Duration) int {
	if p.opt.Budget == nil {
		return math.MinInt
	}
	return h.open - p.opt.Budget.Allowed(h.id, until)
}

// trim closes idle connections over the budget. Those in use stay: none was begun that might outlast it.
func (p *Pool) trim(h *host, until time.Duration) {
	for len(h.idle) > 0 && p.over(h, until) > 0 {
		h.idle[0].drop()
		h.idle = slices.Delete(h.idle, 0, 1)
	}
}

// Granted tells that there is more of the budget of a host.
func (p *Pool) Granted(id policy.HostID) {
	if h := p.hosts[id]; h != nil {
		p.tell(h)
		for range len(h.waiting) {
			p.fill(h)
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
		if p.opt.Budget != nil {
			h.told = false // the module may have forgotten it meanwhile
		}
		p.leave(h, e.Status == policy.Gone)
	}
	for id, h := range p.hosts {
		if (kind == policy.ListFull || kind == policy.ListCached) && !named[id] {
			p.CloseIdleConnections(id)
			p.leave(h, true)
		}
	}
}

// redial drops the connections that are on their way to where a host was before; who waits for them has others. Busy ones go
// behind their answers.
func (p *Pool) redial(h *host) {
	for _, c := range slices.Clone(h.dialing) {
		c.drop()
	}
	for range h.waiting {
		p.fill(h)
	}
}

func (p *Pool) leave(h *host, gone bool) {
	if gone && !h.gone {
		h.goneAt = p.loop.Now()
	}
	h.gone = gone
}

// Send starts an attempt.
func (p *Pool) Send(a *gateway.Attempt) {
	j := &job{attempt: a, host: p.hosts[a.Host], until: a.Deadline, begin: a.BeginBy}
	a.BackendData = j
	p.place(j)
}

// Probe starts a probe.
func (p *Pool) Probe(id policy.HostID) {
	until := p.loop.Now() + p.opt.DialTimeout
	j := &job{host: p.hosts[id], until: until, begin: until}
	if j.host == nil {
		p.core.Probed(id, policy.ConnectFailed, gateway.Reply{})
		return
	}
	p.place(j)
}

// ResumeStream lets an attempt's value go on.
func (p *Pool) ResumeStream(a *gateway.Attempt) {
	if j, ok := a.BackendData.(*job); ok && j.conn != nil {
		j.conn.resume()
	}
}

// Cancel gives an attempt up. The database learns of it by the close.
func (p *Pool) Cancel(a *gateway.Attempt) {
	if j, ok := a.BackendData.(*job); ok {
		p.abandon(j, policy.Cancelled)
	}
}

// CancelUnsent gives an attempt back if its last byte is not with the kernel: it has not run and must not any more.
func (p *Pool) CancelUnsent(a *gateway.Attempt) {
	if j, ok := a.BackendData.(*job); ok && (j.conn == nil || j.conn.owes()) {
		p.abandon(j, policy.NotSent)
	}
}

// CloseIdleConnections closes the idle connections to a host.
func (p *Pool) CloseIdleConnections(id policy.HostID) {
	if h := p.hosts[id]; h != nil {
		for _, c := range slices.Concat(h.idle, h.resting) {
			c.drop()
		}
		clear(h.idle)
		clear(h.resting)
		h.idle, h.resting = h.idle[:0], h.resting[:0]
		p.fill(h)
	}
}

// StopUsingHost hangs up and gives back what waits for a connection to a host: not a byte of it was
// written. What runs there goes on.
func (p *Pool) StopUsingHost(id policy.HostID) {
	p.CloseIdleConnections(id)
	if h := p.hosts[id]; h != nil {
		list := h.waiting
		h.waiting = nil
		for _, j := range list {
			p.finish(j, policy.NotSent, gateway.Reply{})
		}
	}
}

// CloseAllIdle closes all idle connections.
func (p *Pool) CloseAllIdle() {
	for id := range p.hosts {
		p.CloseIdleConnections(id)
	}
}

// place finds a connection for j: the one used last, or else a new one, or one that
// comes free before that is up.
func (p *Pool) place(j *job) {
	h := j.host
	switch {
	case h == nil:
		p.finish(j, policy.ConnectFailed, gateway.Reply{}) // not a byte was written
		return
	case p.late(j):
		p.finish(j, policy.NotSent, gateway.Reply{}) // by this process's fault
		return
	}
	p.trim(h, j.until)
	for n := len(h.idle); n > 0; n = len(h.idle) {
		c := h.idle[n-1]
		h.idle = h.idle[:n-1]
		if c.nc.Silent() {
			c.start(j)
			return
		}
		c.drop() // it has ended, or something came on it that nobody asked for
	}
	h.waiting = append(h.waiting, j)
	p.expect(j, p.opt.DialTimeout)
	p.fill(h)
}

// late tells that a job must not begin any more. It goes by the clock, not by the begin of the round: the process may have
// stood still since then.
func (p *Pool) late(j *job) bool { return j.begin <= p.loop.Clock() }

// expect gives up on j where no connection is there for it within d. Time that this process has lost does not count, and
// where there is no more of it, or of descriptors, the host is not to be blamed.
func (p *Pool) expect(j *job, d time.Duration) {
	lost, begun := p.loop.Lost(), p.loop.Now()
	j.timer = p.loop.At(min(j.begin, p.loop.Now()+d), func() {
		o, more := policy.ConnectFailed, p.loop.Lost()-lost
		switch {
		case j.begin < j.until && p.loop.Now() >= j.begin:
			o = policy.NotSent // a repeat whose window is over
		case p.over(j.host, j.until) >= 0:
			o = policy.AtCapacity // the host is well: there is no connection to be had
		case more > 0 && p.loop.Now() < j.begin:
			p.expect(j, more)
			return
		case more > 0 || j.host.shortAt >= begun:
			o = policy.NotSent
		}
		p.abandon(j, o)
	})
}

// fill opens a connection where more jobs wait than will have one.
func (p *Pool) fill(h *host) {
	if len(h.dialing)+len(h.resting) < len(h.waiting) {
		p.dial(h)
	}
}

func (p *Pool) dial(h *host) {
	if p.over(h, h.waiting[0].until) >= 0 {
		p.need(h)
		return
	}
	if p.loop.Spare() <= p.opt.Reserve && !p.CloseOldestIdle() {
		p.short.Printf(p.loop.Now(), "event=no_descriptor host=%s spare=%d", h.id, p.loop.Spare())
		p.later(h)
		return
	}
	c := &conn{pool: p, host: h, addr: h.addr}
	nc, err := p.loop.Dial(h.addr, c, inputMost)
	if netloop.Wanting(err) {
		p.short.Printf(p.loop.Now(), "event=no_socket host=%s err=%q", h.id, err)
		p.later(h)
		return
	}
	if err != nil {
		p.dialFailed(h, policy.ConnectFailed)
		return
	}
	c.nc = nc
	h.dialing = append(h.dialing, c)
	h.open++
	c.timer = p.loop.Within(p.opt.DialTimeout, c.lateUp)
}

// later has another look for a descriptor, a socket, or a connection that comes free, soon: the want is this machine's own.
func (p *Pool) later(h *host) {
	if now := p.loop.Now(); now >= h.again {
		h.again = now + restTime
		p.loop.At(h.again, func() { p.fill(h) })
	}
	h.shortAt = p.loop.Now()
}

// CloseOldestIdle closes the connection that has been idle longest; false: there is none.
func (p *Pool) CloseOldestIdle() bool {
	var oldest *host
	for _, h := range p.hosts {
		if len(h.idle) > 0 && (oldest == nil || h.idle[0].idleAt < oldest.idle[0].idleAt) {
			oldest = h
		}
	}
	if oldest == nil {
		return false
	}
	oldest.idle[0].drop()
	oldest.idle = slices.Delete(oldest.idle, 0, 1)
	return true
}

// dialFailed ends the oldest job that no connection on its way is left for.
func (p *Pool) dialFailed(h *host, o policy.Outcome) {
	if len(h.waiting) > len(h.dialing)+len(h.resting) {
		j := h.waiting[0]
		h.waiting = h.waiting[1:]
		p.finish(j, o, gateway.Reply{})
	}
}

// rest keeps a connection apart for a moment.
func (p *Pool) rest(c *conn) {
	c.host.resting = append(c.host.resting, c)
	c.timer = p.loop.At(p.loop.Now()+restTime, func() {
		c.host.resting = without(c.host.resting, c)
		if c.nc.Silent() {
			p.free(c)
		} else {
			c.drop()
			p.fill(c.host)
		}
	})
}

// free gives a connection to the job that waits longest, or keeps it. A job whose time to begin is over is not begun,
// though its timer has not fired yet.
func (p *Pool) free(c *conn) {
	h := c.host
	for len(h.waiting) > 0 {
		j := h.waiting[0]
		if p.over(h, j.until) > 0 {
			c.drop()
			return
		}
		h.waiting = h.waiting[1:]
		if !p.late(j) {
			c.start(j)
			return
		}
		p.finish(j, policy.NotSent, gateway.Reply{})
	}
	c.idleAt = p.loop.Now()
	h.idle = append(h.idle, c)
}

// abandon stops waiting for j; a connection that it was written to is closed, for an
// answer may yet come on it. What was not written whole cannot have run.
func (p *Pool) abandon(j *job, o policy.Outcome) {
	if c := j.conn; c != nil {
		if c.owes() && o != policy.NotSent {
			o = policy.ConnectFailed
		}
		if c.job = nil; o == policy.Timeout || o == policy.Cancelled {
			c.hearOut(j)
		} else {
			c.drop()
		}
	} else if i := slices.Index(j.host.waiting, j); i >= 0 {
		j.host.waiting = slices.Delete(j.host.waiting, i, i+1)
	}
	p.finish(j, o, gateway.Reply{})
}

func (p *Pool) finish(j *job, o policy.Outcome, r gateway.Reply) {
	j.timer.Stop()
	if j.attempt != nil {
		p.core.Resolved(j.attempt, o, r)
	} else {
		p.core.Probed(j.host.id, o, r)
	}
}

// sweep closes connections well before the databases would: a request written to one
// that the database has just closed ends as a reset, and a write is lost with it.
func (p *Pool) sweep() {
	p.loop.At(p.loop.Now()+time.Second, p.sweep)
	oldest := p.loop.Now() - p.opt.ConnIdle*6/10
	for id, h := range p.hosts {
		if h.gone && p.loop.Now()-h.goneAt > keepGone && len(h.waiting) == 0 {
			delete(p.hosts, id) // attempts on their way keep it for themselves
		}
		for p.opt.ConnIdle > 0 && len(h.idle) > 0 && h.idle[0].idleAt < oldest {
			h.idle[0].drop()
			h.idle = slices.Delete(h.idle, 0, 1)
		}
	}
}
