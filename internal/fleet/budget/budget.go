// Package budget divides a fleet-wide budget (connections to a database) among the gateways. The shares move to where
// the demand is and never add up to more than the total. It is a state machine without I/O: demands, messages and
// timestamps go in, messages come out.
//
// Each gateway that the fleet file lists as a holder has a home share; the home shares add up to the total, whatever
// any gateway knows of the fleet's membership. A holder lends units that it does not need, as escrow (O'Neil 1986)
// under a lease (Gray and Cheriton 1989): it subtracts them before it sends the grant, and gets them back when the
// borrower releases them or when the lease has certainly expired. The borrower counts the lease from when it sent the
// request, which is before the lender starts to count, and both allow for clock drift, so no clocks need to agree.
// Whatever messages are lost, duplicated, delayed or replayed, a unit is held by one holder or by none. A process that
// starts does not know what its predecessor lent: until every lease of that time has expired it uses only the reserve,
// which is never lent.
package budget

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	requestInterval = 40 * time.Millisecond // between requests for one key
	maxRequestees   = 2                     // gateways that get a request at once
	emptyHintTTL    = time.Second           // how long a gateway that refused is not asked again
	idleTimeout     = 2 * time.Second       // borrowed units unused for this long are released
	maxKeys         = 4096                  // demand and messages for further keys are ignored
	// The longest time for which a process may go on lending before it detects that its successor has started.
	siblingDetectMax   = time.Second
	siblingDetectUsual = 300 * time.Millisecond // time within which it usually detects it
)

// Kind is the type of a message.
type Kind uint8

// The kinds.
const (
	Request Kind = iota + 1 // asks for a lease of Units
	Grant                   // grants a lease of Units; 0: refused
	Renew                   // asks to renew a lease
	Renewed                 // the lease is renewed
	Release                 // the borrower has released the lease
)

// Message is a message between two holders.
type Message struct {
	Kind        Kind   `cbor:"1,keyasint"`
	From        string `cbor:"2,keyasint"`
	Session     uint64 `cbor:"3,keyasint"` // of the borrower, which numbers its leases
	Key         string `cbor:"4,keyasint"`
	Serial      uint64 `cbor:"5,keyasint"` // of the lease, assigned by the borrower
	Units       int    `cbor:"6,keyasint,omitempty"`
	RenewSerial uint64 `cbor:"7,keyasint,omitempty"` // of a Renew, echoed in the Renewed
}

// Valid reports whether the fields of a message are within their limits.
func (m *Message) Valid() bool {
	return m.Kind >= Request && m.Kind <= Release && m.Key != "" && len(m.Key) <= 256 && m.Units >= 0 && m.Units <= 1<<20
}

// Send is a message to a holder.
type Send struct {
	To      string
	Message Message
}

// Config configures a Machine.
type Config struct {
	Name    string
	Holders []string // in the same order everywhere; a name that is not listed has no home share
	Total   int      // units of each key, over all holders
	Lease   time.Duration
	Drift   float64 // by how much a clock may run fast or slow, as a fraction
	Session uint64
	Seed    uint64
}

// lease is a number of units held away from home, as recorded by the lender or by the borrower.
type lease struct {
	peer      string
	session   uint64
	serial    uint64
	units     int
	expiresAt time.Duration // by this gateway's clock
}

// request is an outstanding Request or Renew.
type request struct {
	peer        string
	serial      uint64
	units       int
	renewSerial uint64 // of a Renew
	sentAt      time.Duration
}

// account is the state of one key.
type account struct {
	key            string
	home           int
	lent           []lease // granted to other holders
	borrowed       []lease
	requests       []request
	renewals       []request // with the serial of the lease
	inUse, waiting int
	lastNeededAt   time.Duration // when the borrowed units were last needed in full
	nextRequest    time.Duration
	refused        map[string]time.Duration // when each holder was last refused here
}

// Counts are counters since the start of the process.
type Counts struct {
	Requested, Granted, Lent, Released, Expired, Renewed, Refused uint64
}

// Machine holds the shares of one gateway; create it with New. It is not safe for concurrent use.
type Machine struct {
	cfg          Config
	rng          *rand.Rand
	now          time.Duration
	startedAt    time.Duration
	lendAfter    time.Duration            // leases granted by a predecessor may run until then
	useHomeAfter time.Duration            // the sibling process may not have detected this one until then
	homeSplit    int                      // 1; 2 while the sibling process has the other half of the home shares
	smallerHalf  bool                     // this process has the smaller half
	homeDisabled bool                     // another process has the home shares
	liveHolders  []string                 // holders that can be asked
	emptyUntil   map[string]time.Duration // by holder and key: not asked until then, as it had nothing to lend
	accounts     map[string]*account
	order        []*account
	serial       uint64
	out          []Send
	granted      []string
	counts       Counts
}

// New returns a machine. For the length of a lease it uses only what a predecessor of its name cannot have lent.
func New(cfg Config, now time.Duration) *Machine {
	return &Machine{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x6275)), now: now, homeSplit: 1, accounts: map[string]*account{}, emptyUntil: map[string]time.Duration{},
		startedAt: now, lendAfter: now + lenderTerm(cfg.Lease, cfg.Drift) + siblingDetectMax,
	}
}

// lenderTerm is the length of a lease by the lender's clock: extended by the drift.
func lenderTerm(term time.Duration, drift float64) time.Duration {
	return time.Duration(float64(term) * (1 + 2*drift))
}

// borrowerTerm is the length of a lease by the borrower's clock: shortened by the drift.
func borrowerTerm(term time.Duration, drift float64) time.Duration {
	return time.Duration(float64(term) * (1 - 2*drift))
}

// HomeShare returns the home share of a holder: the total divided evenly. The remainder is assigned by a rotation that
// depends on the key, so that the same holders do not get it for every key.
func HomeShare(holders []string, total int, name, key string) int {
	index := slices.Index(holders, name)
	if index < 0 {
		return 0
	}
	holderCount := len(holders)
	offset := 0
	for _, c := range []byte(key) {
		offset = (offset*31 + int(c)) % holderCount
	}
	share := total / holderCount
	if (index+offset)%holderCount < total%holderCount {
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

// reserve is the part of the home share that is never lent, so that a process may use it as soon as it starts.
func (a *account) reserve() int { return (a.home + 3) / 4 }

// availableHome is the part of the home share that may be used now.
func (m *Machine) availableHome(acct *account) int {
	units := acct.home
	switch {
	case m.homeDisabled || m.now < m.useHomeAfter:
		return 0
	case m.now < m.lendAfter:
		units = acct.reserve()
	default:
		for _, l := range acct.lent {
			units -= l.units
		}
	}
	if m.homeSplit == 2 {
		units = (units + 1) / 2
		if m.smallerHalf {
			units = acct.home / 2
			if m.now < m.lendAfter {
				units = acct.reserve() / 2
			}
		}
	}
	return max(0, units)
}

// Allowed returns how many units may be in use from now until the given time, including leases that last that long.
// Call it before each use: leases that expired during a process pause are not counted, whether a timer has fired or
// not.
func (m *Machine) Allowed(now time.Duration, key string, until time.Duration) int {
	m.now = max(m.now, now)
	acct := m.account(key)
	m.expire(acct)
	units := m.availableHome(acct)
	for _, l := range acct.borrowed {
		if l.expiresAt > max(until, m.now) {
			units += l.units
		}
	}
	return units
}

// expire removes expired leases: lent units return to the home share, borrowed ones are dropped.
func (m *Machine) expire(acct *account) {
	expired := func(l lease) bool {
		if l.expiresAt > m.now {
			return false
		}
		m.counts.Expired++
		return true
	}
	acct.lent = slices.DeleteFunc(acct.lent, expired)
	acct.borrowed = slices.DeleteFunc(acct.borrowed, expired)
}

// SetDemand sets how many units of a key are in use and how many more are needed.
func (m *Machine) SetDemand(now time.Duration, key string, inUse, waiting int) {
	m.now = max(m.now, now)
	if m.accounts[key] == nil && len(m.accounts) >= maxKeys {
		return
	}
	acct := m.account(key)
	acct.inUse, acct.waiting = inUse, waiting
	m.expire(acct)
	m.requestMissing(acct)
}

// SetLive sets which holders can be asked; it is only a hint.
func (m *Machine) SetLive(names []string) { m.liveHolders = names }

// SetSibling sets whether the home shares are split with the sibling process during an upgrade, and whether this
// process has the smaller half. A process that has just started uses none until its sibling should have detected it.
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

// SetHomeDisabled sets whether the home shares are unusable because another process of this name has them, a fault.
func (m *Machine) SetHomeDisabled(now time.Duration, on bool) {
	m.now = max(m.now, now)
	m.homeDisabled = on
}

// Forget clears the demand for a key, and drops the key if none of its units are lent or borrowed.
func (m *Machine) Forget(now time.Duration, key string) {
	m.now = max(m.now, now)
	if acct := m.accounts[key]; acct != nil {
		acct.inUse, acct.waiting = 0, 0
		if m.expire(acct); len(acct.lent)+len(acct.borrowed) == 0 {
			delete(m.accounts, key)
			m.order = slices.DeleteFunc(m.order, func(other *account) bool { return other == acct })
		}
	}
}

// Take returns the messages to send, and the keys for which units were granted, since the last call.
func (m *Machine) Take() (out []Send, granted []string) {
	out, granted = m.out, m.granted
	m.out, m.granted = nil, nil
	return out, granted
}

// Counts returns the counters since the start.
func (m *Machine) Counts() Counts { return m.counts }

// Totals returns the units of all keys: usable from the home shares, lent, and borrowed.
func (m *Machine) Totals() (home, lent, borrowed int) {
	for _, acct := range m.order {
		home += m.availableHome(acct)
		for _, l := range acct.lent {
			lent += l.units
		}
		for _, l := range acct.borrowed {
			borrowed += l.units
		}
	}
	return home, lent, borrowed
}

func (m *Machine) send(to string, msg Message) {
	msg.From = m.cfg.Name
	m.out = append(m.out, Send{To: to, Message: msg})
}

// available is the number of units that may be used now, including all borrowed ones.
func (m *Machine) available(acct *account) int {
	units := m.availableHome(acct)
	for _, l := range acct.borrowed {
		units += l.units
	}
	return units
}

// requestMissing requests the units that demand lacks from other holders, skipping those that recently had none.
func (m *Machine) requestMissing(acct *account) {
	available := m.available(acct)
	missing := acct.inUse + acct.waiting - available
	if acct.inUse+acct.waiting >= available || len(acct.borrowed) == 0 {
		acct.lastNeededAt = m.now
	}
	acct.requests = slices.DeleteFunc(acct.requests, func(r request) bool { return r.sentAt+m.cfg.Lease <= m.now })
	if missing <= 0 || acct.waiting == 0 || m.now < acct.nextRequest {
		return
	}
	acct.nextRequest = m.now + requestInterval
	var lenders []string
	for _, i := range m.rng.Perm(len(m.liveHolders)) {
		if name := m.liveHolders[i]; name != m.cfg.Name && m.emptyUntil[name+"\x00"+acct.key] <= m.now && slices.Contains(m.cfg.Holders, name) {
			lenders = append(lenders, name)
		}
	}
	lenders = lenders[:min(len(lenders), maxRequestees)]
	for i, lender := range lenders {
		units := missing / len(lenders)
		if i < missing%len(lenders) {
			units++
		}
		if units == 0 {
			continue
		}
		m.serial++
		m.counts.Requested++
		acct.requests = append(acct.requests, request{peer: lender, serial: m.serial, units: units, sentAt: m.now})
		m.send(lender, Message{Kind: Request, Session: m.cfg.Session, Key: acct.key, Serial: m.serial, Units: units})
	}
}

// Receive handles a message.
func (m *Machine) Receive(now time.Duration, msg Message) {
	m.now = max(m.now, now)
	if m.accounts[msg.Key] == nil && (len(m.accounts) >= maxKeys || msg.Kind != Request) || !slices.Contains(m.cfg.Holders, msg.From) || msg.From == m.cfg.Name {
		return
	}
	acct := m.account(msg.Key)
	m.expire(acct)
	switch msg.Kind {
	case Request:
		m.handleRequest(acct, msg)
	case Grant:
		m.handleGrant(acct, msg)
	case Renew:
		m.handleRenew(acct, msg)
	case Renewed:
		m.handleRenewed(acct, msg)
	case Release:
		acct.lent = slices.DeleteFunc(acct.lent, func(l lease) bool { return matches(l, msg) })
	}
}

// matches reports whether a message refers to a lease that this gateway granted.
func matches(l lease, msg Message) bool {
	return l.peer == msg.From && l.session == msg.Session && l.serial == msg.Serial
}

// handleRequest grants units that are not needed here. A duplicate request is answered again but granted only once
// while the lease runs; one that arrives after that blocks units until they expire, since the borrower accepts no
// grant twice.
func (m *Machine) handleRequest(acct *account, msg Message) {
	if i := slices.IndexFunc(acct.lent, func(l lease) bool { return matches(l, msg) }); i >= 0 {
		m.send(msg.From, Message{Kind: Grant, Session: msg.Session, Key: acct.key, Serial: msg.Serial, Units: acct.lent[i].units})
		return
	}
	units := 0
	if m.now >= m.lendAfter && m.homeSplit == 1 && !m.homeDisabled {
		lendable := m.availableHome(acct) - max(acct.inUse+acct.waiting, acct.reserve())
		// Half of it at a time, so that the next holder to ask gets some as well.
		units = max(0, min(msg.Units, (lendable+1)/2))
	}
	if units > 0 {
		acct.lent = append(acct.lent, lease{peer: msg.From, session: msg.Session, serial: msg.Serial, units: units, expiresAt: m.now + lenderTerm(m.cfg.Lease, m.cfg.Drift)})
		m.counts.Lent += uint64(units)
	} else {
		m.counts.Refused++
		if acct.refused == nil {
			acct.refused = map[string]time.Duration{}
		}
		acct.refused[msg.From] = m.now
	}
	m.send(msg.From, Message{Kind: Grant, Session: msg.Session, Key: acct.key, Serial: msg.Serial, Units: units})
}

// handleGrant accepts the answer to an outstanding request, once.
func (m *Machine) handleGrant(acct *account, msg Message) {
	i := slices.IndexFunc(acct.requests, func(r request) bool { return r.peer == msg.From && r.serial == msg.Serial })
	if i < 0 || msg.Session != m.cfg.Session {
		return
	}
	req := acct.requests[i]
	acct.requests = slices.Delete(acct.requests, i, i+1)
	expiresAt := req.sentAt + borrowerTerm(m.cfg.Lease, m.cfg.Drift)
	if msg.Units <= 0 || msg.Units > req.units {
		m.emptyUntil[msg.From+"\x00"+acct.key] = m.now + emptyHintTTL
		m.requestMissing(acct)
		return
	}
	if expiresAt <= m.now {
		return
	}
	m.counts.Granted += uint64(msg.Units)
	acct.borrowed = append(acct.borrowed, lease{peer: msg.From, session: msg.Session, serial: msg.Serial, units: msg.Units, expiresAt: expiresAt})
	m.granted = append(m.granted, acct.key)
}

// refusedHolderHasLess reports whether a recently refused holder has fewer units from here than the borrower.
func (m *Machine) refusedHolderHasLess(acct *account, borrower string) bool {
	lentTo := map[string]int{}
	for _, l := range acct.lent {
		lentTo[l.peer] += l.units
	}
	for peer, refusedAt := range acct.refused {
		if refusedAt+2*emptyHintTTL <= m.now {
			delete(acct.refused, peer)
		} else if peer != borrower && lentTo[peer] < lentTo[borrower] {
			return true
		}
	}
	return false
}

// handleRenew renews a lease, unless the units are needed at home or by a holder that has fewer.
func (m *Machine) handleRenew(acct *account, msg Message) {
	i := slices.IndexFunc(acct.lent, func(l lease) bool { return matches(l, msg) })
	if i < 0 || m.homeSplit != 1 || m.homeDisabled || acct.inUse+acct.waiting > m.availableHome(acct) || m.refusedHolderHasLess(acct, msg.From) {
		return // the lease expires
	}
	acct.lent[i].expiresAt = max(acct.lent[i].expiresAt, m.now+lenderTerm(m.cfg.Lease, m.cfg.Drift))
	m.send(msg.From, Message{Kind: Renewed, Session: msg.Session, Key: acct.key, Serial: msg.Serial, RenewSerial: msg.RenewSerial})
}

// handleRenewed extends a borrowed lease from when its renewal was requested.
func (m *Machine) handleRenewed(acct *account, msg Message) {
	i := slices.IndexFunc(acct.renewals, func(r request) bool {
		return r.peer == msg.From && r.serial == msg.Serial && r.renewSerial == msg.RenewSerial
	})
	if i < 0 || msg.Session != m.cfg.Session {
		return
	}
	renewal := acct.renewals[i]
	acct.renewals = slices.Delete(acct.renewals, i, i+1)
	for j := range acct.borrowed {
		if l := &acct.borrowed[j]; l.peer == msg.From && l.serial == msg.Serial {
			l.expiresAt = max(l.expiresAt, renewal.sentAt+borrowerTerm(m.cfg.Lease, m.cfg.Drift))
			m.counts.Renewed++
		}
	}
}

// Tick renews leases that are in use, releases those that are not, and requests missing units again. Call it several
// times per lease.
func (m *Machine) Tick(now time.Duration) {
	m.now = max(m.now, now)
	for _, acct := range m.order {
		m.expire(acct)
		m.maintainLeases(acct)
		m.requestMissing(acct)
	}
	for hintKey, until := range m.emptyUntil {
		if until <= m.now {
			delete(m.emptyUntil, hintKey)
		}
	}
}

// maintainLeases releases idle leases and renews the others.
func (m *Machine) maintainLeases(acct *account) {
	acct.renewals = slices.DeleteFunc(acct.renewals, func(r request) bool { return r.sentAt+m.cfg.Lease <= m.now })
	available := m.available(acct)
	// The lease that expires last is kept longest.
	slices.SortStableFunc(acct.borrowed, func(x, y lease) int { return cmp.Compare(x.expiresAt, y.expiresAt) })
	acct.borrowed = slices.DeleteFunc(acct.borrowed, func(l lease) bool {
		if m.now-acct.lastNeededAt < idleTimeout || available-l.units < acct.inUse+acct.waiting {
			return false
		}
		available -= l.units
		m.counts.Released += uint64(l.units)
		m.send(l.peer, Message{Kind: Release, Session: l.session, Key: acct.key, Serial: l.serial})
		return true
	})
	for _, l := range acct.borrowed {
		renewing := slices.ContainsFunc(acct.renewals, func(r request) bool { return r.serial == l.serial && r.sentAt+m.cfg.Lease/8 > m.now })
		if l.expiresAt-m.now > m.cfg.Lease*3/4 || renewing {
			continue
		}
		m.serial++
		acct.renewals = append(acct.renewals, request{peer: l.peer, serial: l.serial, renewSerial: m.serial, sentAt: m.now})
		m.send(l.peer, Message{Kind: Renew, Session: l.session, Key: acct.key, Serial: l.serial, RenewSerial: m.serial})
	}
}
