// Package budget divides what a whole fleet may spend at once (connections at a database) into parts, one for each
// gateway, that move to where the demand is and never add up to more than the whole. It is a state machine without
// input or output: demands, messages and moments in, messages out.
//
// Each gateway that the fleet file names as a holder has a home part; the home parts add up to the whole, whatever
// anybody sees of the fleet. A holder lends units that it does not need, as escrow (O'Neil 1986) under a lease (Gray
// and Cheriton 1989): it subtracts them before it tells, and has them back when the borrower returns them or when the
// lease has certainly lapsed. The borrower counts the lease from when it asked, which was before the lender began to
// count, and both leave room for the drift of their clocks: no clocks need to agree. Whatever is lost, doubled, late or
// replayed, a unit is at one holder or at none. A process that starts does not know what its predecessor lent: it uses
// only what nobody may lend until every lease of that time has lapsed.
package budget

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	requestInterval = 40 * time.Millisecond // between two asks for one key
	maxRequestees   = 2                     // gateways asked at once
	emptyHintTTL    = time.Second           // for which one that had nothing to lend is not asked
	idleTimeout     = 2 * time.Second       // a borrowed unit without use for so long is returned
	maxKeys         = 4096
	// A process may lend for so long before it sees that a successor has begun beside it.
	siblingDetectMax   = time.Second
	siblingDetectUsual = 300 * time.Millisecond // by when it usually has
)

// Kind is what a message is for.
type Kind uint8

// The kinds.
const (
	Request Kind = iota + 1 // lend me Units
	Grant                   // I have lent you Units, perhaps 0
	Renew                   // may the loan go on
	Renewed                 // it may
	Release                 // I have stopped using it
)

// Message is one between two holders.
type Message struct {
	Kind        Kind   `cbor:"1,keyasint"`
	From        string `cbor:"2,keyasint"`
	Session     uint64 `cbor:"3,keyasint"` // of the borrower, which counts its loans
	Key         string `cbor:"4,keyasint"`
	Serial      uint64 `cbor:"5,keyasint"` // of the loan, drawn by the borrower
	Units       int    `cbor:"6,keyasint,omitempty"`
	RenewSerial uint64 `cbor:"7,keyasint,omitempty"` // of an Extend, told back by its answer
}

// Valid tells whether a message can be one.
func (m *Message) Valid() bool {
	return m.Kind >= Request && m.Kind <= Release && m.Key != "" && len(m.Key) <= 256 && m.Units >= 0 && m.Units <= 1<<20
}

// Send is a message to a holder.
type Send struct {
	To      string
	Message Message
}

// Config is what a machine is told at its start.
type Config struct {
	Name    string
	Holders []string // in the same order everywhere; a name that is not among them has no home part
	Total   int      // units of each key, of all holders together
	Lease   time.Duration
	Drift   float64 // by how much a clock may run fast or slow, as a share
	Session uint64
	Seed    uint64
}

// lease is units that are somewhere else than at home.
type lease struct {
	holder    string
	session   uint64
	serial    uint64
	units     int
	expiresAt time.Duration // by this gateway's clock
}

// request is a question that is out.
type request struct {
	holder      string
	serial      uint64
	units       int
	renewSerial uint64 // of an Extend
	sentAt      time.Duration
}

// account is one key.
type account struct {
	key            string
	home           int
	lent           []lease // given away, and not back
	borrowed       []lease
	requests       []request
	renewals       []request // serial: of the loan
	inUse, waiting int
	lastNeededAt   time.Duration // when what is borrowed was last needed in full
	nextRequest    time.Duration
	refused        map[string]time.Duration // who was refused here, and when
}

// Counts are what has happened since the start.
type Counts struct {
	Requested, Granted, Lent, Released, Expired, Renewed, Refused uint64
}

// Machine is one gateway's parts. Use New. Nothing here is locked.
type Machine struct {
	cfg          Config
	rng          *rand.Rand
	now          time.Duration
	startedAt    time.Duration
	lendAfter    time.Duration // until then a predecessor's loans may run
	useHomeAfter time.Duration // until then the process beside this one may not have seen it
	homeSplit    int           // 1; 2 while another process of this gateway has the other half
	smallerHalf  bool          // this process has the smaller half
	homeDisabled bool          // another process has the home parts
	liveHolders  []string      // holders that can be asked
	emptyUntil   map[string]time.Duration
	accounts     map[string]*account
	order        []*account
	serial       uint64
	out          []Send
	granted      []string
	counts       Counts
}

// New makes a machine. What a predecessor of the name may have lent is left alone for a lease.
func New(cfg Config, now time.Duration) *Machine {
	return &Machine{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x6275)), now: now, homeSplit: 1, accounts: map[string]*account{}, emptyUntil: map[string]time.Duration{},
		startedAt: now, lendAfter: now + lenderTerm(cfg.Lease, cfg.Drift) + siblingDetectMax,
	}
}

// lenderTerm is a lease by the clock of who lends, short by that of who borrows.
func lenderTerm(term time.Duration, drift float64) time.Duration {
	return time.Duration(float64(term) * (1 + 2*drift))
}
func borrowerTerm(term time.Duration, drift float64) time.Duration {
	return time.Duration(float64(term) * (1 - 2*drift))
}

// HomeShare is the home part of a holder: the whole divided evenly, what is left over goes by a rotation that depends on
// the key, so that not the same holders get it everywhere.
func HomeShare(holders []string, total int, name, key string) int {
	index := slices.Index(holders, name)
	if index < 0 {
		return 0
	}
	n := len(holders)
	offset := 0
	for _, c := range []byte(key) {
		offset = (offset*31 + int(c)) % n
	}
	share := total / n
	if (index+offset)%n < total%n {
		share++
	}
	return share
}

func (m *Machine) account(key string) *account {
	acct := m.accounts[key]
	if acct == nil {
		acct = &account{key: key, home: HomeShare(m.cfg.Holders, m.cfg.Total, m.cfg.Name, key)}
		m.accounts[key] = acct
		m.order = append(m.order, acct)
	}
	return acct
}

// reserve is what is never lent, so that a process that has just started may use it at once.
func (a *account) reserve() int { return (a.home + 3) / 4 }

// availableHome is what of the home part may be used at the moment.
func (m *Machine) availableHome(a *account) int {
	n := a.home
	switch {
	case m.homeDisabled || m.now < m.useHomeAfter:
		return 0
	case m.now < m.lendAfter:
		n = a.reserve()
	default:
		for _, l := range a.lent {
			n -= l.units
		}
	}
	if m.homeSplit == 2 {
		n = (n + 1) / 2
		if m.smallerHalf {
			n = a.home / 2
			if m.now < m.lendAfter {
				n = a.reserve() / 2
			}
		}
	}
	return max(0, n)
}

// Allowed is how many units may be in use from now until a moment, with what is borrowed for long enough. It is asked
// before each use: what has lapsed while the process stood still is not there, whether a timer has fired or not.
func (m *Machine) Allowed(now time.Duration, key string, until time.Duration) int {
	m.now = max(m.now, now)
	a := m.account(key)
	m.expire(a)
	units := m.availableHome(a)
	for _, l := range a.borrowed {
		if l.expiresAt > max(until, m.now) {
			units += l.units
		}
	}
	return units
}

// expire takes back what was lent for a time that is over, and drops what was borrowed so.
func (m *Machine) expire(a *account) {
	expired := func(l lease) bool {
		if l.expiresAt > m.now {
			return false
		}
		m.counts.Expired++
		return true
	}
	a.lent = slices.DeleteFunc(a.lent, expired)
	a.borrowed = slices.DeleteFunc(a.borrowed, expired)
}

// SetDemand tells how many units of a key are in use and how many more are waited for.
func (m *Machine) SetDemand(now time.Duration, key string, inUse, waiting int) {
	m.now = max(m.now, now)
	if m.accounts[key] == nil && len(m.accounts) >= maxKeys {
		return
	}
	a := m.account(key)
	a.inUse, a.waiting = inUse, waiting
	m.expire(a)
	m.requestMissing(a)
}

// SetLive tells which holders can be asked; it is a hint and nothing else.
func (m *Machine) SetLive(names []string) { m.liveHolders = names }

// SetSibling divides the home parts with another process of this gateway, which lives as part of an upgrade; second
// is the one with the smaller half. A process that begins beside another waits until that has heard of it.
func (m *Machine) SetSibling(now time.Duration, present, smallerHalf bool) {
	m.now = max(m.now, now)
	if m.homeSplit, m.smallerHalf = 1, smallerHalf; !present {
		return
	}
	m.homeSplit = 2
	if m.now-m.startedAt < siblingDetectMax {
		m.useHomeAfter = m.startedAt + siblingDetectUsual
	}
}

// SetHomeDisabled takes the home parts away: another process of the name has them, and that is a fault.
func (m *Machine) SetHomeDisabled(now time.Duration, on bool) {
	m.now = max(m.now, now)
	m.homeDisabled = on
}

// Forget tells that a key is not needed at the moment; it is dropped once nothing of it is lent or borrowed.
func (m *Machine) Forget(now time.Duration, key string) {
	m.now = max(m.now, now)
	if a := m.accounts[key]; a != nil {
		a.inUse, a.waiting = 0, 0
		if m.expire(a); len(a.lent)+len(a.borrowed) == 0 {
			delete(m.accounts, key)
			m.order = slices.DeleteFunc(m.order, func(o *account) bool { return o == a })
		}
	}
}

// Take hands over what is to be sent, and the keys of which there is more than before.
func (m *Machine) Take() (out []Send, granted []string) {
	out, granted = m.out, m.granted
	m.out, m.granted = nil, nil
	return out, granted
}

// Counts are figures since the start.
func (m *Machine) Counts() Counts { return m.counts }

// Totals are the units of all keys: at home and not lent, lent, borrowed.
func (m *Machine) Totals() (home, lent, borrowed int) {
	for _, a := range m.order {
		home += m.availableHome(a)
		for _, l := range a.lent {
			lent += l.units
		}
		for _, l := range a.borrowed {
			borrowed += l.units
		}
	}
	return home, lent, borrowed
}

func (m *Machine) send(to string, msg Message) {
	msg.From = m.cfg.Name
	m.out = append(m.out, Send{To: to, Message: msg})
}

// available is what may be used at the moment, with all that is borrowed.
func (m *Machine) available(a *account) int {
	n := m.availableHome(a)
	for _, l := range a.borrowed {
		n += l.units
	}
	return n
}

// requestMissing asks others for what is missing, not the same ones again that had nothing.
func (m *Machine) requestMissing(a *account) {
	available := m.available(a)
	missing := a.inUse + a.waiting - available
	if a.inUse+a.waiting >= available || len(a.borrowed) == 0 {
		a.lastNeededAt = m.now
	}
	a.requests = slices.DeleteFunc(a.requests, func(r request) bool { return r.sentAt+m.cfg.Lease <= m.now })
	if missing <= 0 || a.waiting == 0 || m.now < a.nextRequest {
		return
	}
	a.nextRequest = m.now + requestInterval
	var lenders []string
	for _, i := range m.rng.Perm(len(m.liveHolders)) {
		if w := m.liveHolders[i]; w != m.cfg.Name && m.emptyUntil[w+"\x00"+a.key] <= m.now && slices.Contains(m.cfg.Holders, w) {
			lenders = append(lenders, w)
		}
	}
	lenders = lenders[:min(len(lenders), maxRequestees)]
	for i, w := range lenders {
		units := missing / len(lenders)
		if i < missing%len(lenders) {
			units++
		}
		if units == 0 {
			continue
		}
		m.serial++
		m.counts.Requested++
		a.requests = append(a.requests, request{holder: w, serial: m.serial, units: units, sentAt: m.now})
		m.send(w, Message{Kind: Request, Session: m.cfg.Session, Key: a.key, Serial: m.serial, Units: units})
	}
}

// Receive takes a message in.
func (m *Machine) Receive(now time.Duration, msg Message) {
	m.now = max(m.now, now)
	if m.accounts[msg.Key] == nil && (len(m.accounts) >= maxKeys || msg.Kind != Request) || !slices.Contains(m.cfg.Holders, msg.From) || msg.From == m.cfg.Name {
		return
	}
	a := m.account(msg.Key)
	m.expire(a)
	switch msg.Kind {
	case Request:
		m.handleRequest(a, msg)
	case Grant:
		m.handleGrant(a, msg)
	case Renew:
		m.handleRenew(a, msg)
	case Renewed:
		m.handleRenewed(a, msg)
	case Release:
		a.lent = slices.DeleteFunc(a.lent, func(l lease) bool { return matches(l, msg) })
	}
}

func matches(l lease, msg Message) bool {
	return l.holder == msg.From && l.session == msg.Session && l.serial == msg.Serial
}

// handleRequest lends what is not needed here. An ask that comes twice is answered twice, and lent for once as long as the
// loan runs; one that comes again later costs units until they lapse, for the borrower takes no grant twice.
func (m *Machine) handleRequest(a *account, msg Message) {
	if i := slices.IndexFunc(a.lent, func(l lease) bool { return matches(l, msg) }); i >= 0 {
		m.send(msg.From, Message{Kind: Grant, Session: msg.Session, Key: a.key, Serial: msg.Serial, Units: a.lent[i].units})
		return
	}
	units := 0
	if m.now >= m.lendAfter && m.homeSplit == 1 && !m.homeDisabled {
		spare := m.availableHome(a) - max(a.inUse+a.waiting, a.reserve())
		// Half of it at a time: the next to ask gets some, too.
		units = max(0, min(msg.Units, (spare+1)/2))
	}
	if units > 0 {
		a.lent = append(a.lent, lease{holder: msg.From, session: msg.Session, serial: msg.Serial, units: units, expiresAt: m.now + lenderTerm(m.cfg.Lease, m.cfg.Drift)})
		m.counts.Lent += uint64(units)
	} else {
		m.counts.Refused++
		if a.refused == nil {
			a.refused = map[string]time.Duration{}
		}
		a.refused[msg.From] = m.now
	}
	m.send(msg.From, Message{Kind: Grant, Session: msg.Session, Key: a.key, Serial: msg.Serial, Units: units})
}

// handleGrant takes what this process has asked for, once.
func (m *Machine) handleGrant(a *account, msg Message) {
	i := slices.IndexFunc(a.requests, func(q request) bool { return q.holder == msg.From && q.serial == msg.Serial })
	if i < 0 || msg.Session != m.cfg.Session {
		return
	}
	q := a.requests[i]
	a.requests = slices.Delete(a.requests, i, i+1)
	expiresAt := q.sentAt + borrowerTerm(m.cfg.Lease, m.cfg.Drift)
	if msg.Units <= 0 || msg.Units > q.units {
		m.emptyUntil[msg.From+"\x00"+a.key] = m.now + emptyHintTTL
		m.requestMissing(a)
		return
	}
	if expiresAt <= m.now {
		return
	}
	m.counts.Granted += uint64(msg.Units)
	a.borrowed = append(a.borrowed, lease{holder: msg.From, session: msg.Session, serial: msg.Serial, units: msg.Units, expiresAt: expiresAt})
	m.granted = append(m.granted, a.key)
}

// refusedHolderHasLess tells whether another holder was refused lately that has less from here than a borrower.
func (m *Machine) refusedHolderHasLess(a *account, borrower string) bool {
	lentTo := map[string]int{}
	for _, l := range a.lent {
		lentTo[l.holder] += l.units
	}
	for holder, refusedAt := range a.refused {
		if refusedAt+2*emptyHintTTL <= m.now {
			delete(a.refused, holder)
		} else if holder != borrower && lentTo[holder] < lentTo[borrower] {
			return true
		}
	}
	return false
}

// handleRenew lets a loan go on, unless the units are wanted at home, or by one that has less.
func (m *Machine) handleRenew(a *account, msg Message) {
	i := slices.IndexFunc(a.lent, func(l lease) bool { return matches(l, msg) })
	if i < 0 || m.homeSplit != 1 || m.homeDisabled || a.inUse+a.waiting > m.availableHome(a) || m.refusedHolderHasLess(a, msg.From) {
		return // it lapses
	}
	a.lent[i].expiresAt = max(a.lent[i].expiresAt, m.now+lenderTerm(m.cfg.Lease, m.cfg.Drift))
	m.send(msg.From, Message{Kind: Renewed, Session: msg.Session, Key: a.key, Serial: msg.Serial, RenewSerial: msg.RenewSerial})
}

func (m *Machine) handleRenewed(a *account, msg Message) {
	i := slices.IndexFunc(a.renewals, func(q request) bool {
		return q.holder == msg.From && q.serial == msg.Serial && q.renewSerial == msg.RenewSerial
	})
	if i < 0 || msg.Session != m.cfg.Session {
		return
	}
	q := a.renewals[i]
	a.renewals = slices.Delete(a.renewals, i, i+1)
	for j := range a.borrowed {
		if l := &a.borrowed[j]; l.holder == msg.From && l.serial == msg.Serial {
			l.expiresAt = max(l.expiresAt, q.sentAt+borrowerTerm(m.cfg.Lease, m.cfg.Drift))
			m.counts.Renewed++
		}
	}
}

// Tick extends loans that are in use, returns those that are not, and asks again. It is to be called several times in
// a lease.
func (m *Machine) Tick(now time.Duration) {
	m.now = max(m.now, now)
	for _, a := range m.order {
		m.expire(a)
		m.maintainLeases(a)
		m.requestMissing(a)
	}
	for k, until := range m.emptyUntil {
		if until <= m.now {
			delete(m.emptyUntil, k)
		}
	}
}

func (m *Machine) maintainLeases(a *account) {
	a.renewals = slices.DeleteFunc(a.renewals, func(q request) bool { return q.sentAt+m.cfg.Lease <= m.now })
	available := m.available(a)
	// The loan that ends last is asked for longest: the others go first.
	slices.SortStableFunc(a.borrowed, func(x, y lease) int { return cmp.Compare(x.expiresAt, y.expiresAt) })
	a.borrowed = slices.DeleteFunc(a.borrowed, func(l lease) bool {
		if m.now-a.lastNeededAt < idleTimeout || available-l.units < a.inUse+a.waiting {
			return false
		}
		available -= l.units
		m.counts.Released += uint64(l.units)
		m.send(l.holder, Message{Kind: Release, Session: l.session, Key: a.key, Serial: l.serial})
		return true
	})
	for _, l := range a.borrowed {
		renewing := slices.ContainsFunc(a.renewals, func(q request) bool { return q.serial == l.serial && q.sentAt+m.cfg.Lease/8 > m.now })
		if l.expiresAt-m.now > m.cfg.Lease*3/4 || renewing {
			continue
		}
		m.serial++
		a.renewals = append(a.renewals, request{holder: l.holder, serial: l.serial, renewSerial: m.serial, sentAt: m.now})
		m.send(l.holder, Message{Kind: Renew, Session: l.session, Key: a.key, Serial: l.serial, RenewSerial: m.serial})
	}
}
