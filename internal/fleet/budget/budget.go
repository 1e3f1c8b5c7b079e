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
	askEvery  = 40 * time.Millisecond // between two asks for one key
	askMost   = 2                     // gateways asked at once
	hintLasts = time.Second           // for which one that had nothing to lend is not asked
	idleAfter = 2 * time.Second       // a borrowed unit without use for so long is returned
	keysMost  = 4096
	// A process may lend for so long before it sees that a successor has begun beside it.
	upgradeSees = time.Second
	seenWithin  = 300 * time.Millisecond // by when it usually has
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

// loan is units that are somewhere else than at home.
type loan struct {
	who     string
	session uint64
	serial  uint64
	units   int
	until   time.Duration // by this gateway's clock
}

// ask is a question that is out.
type ask struct {
	who    string
	serial uint64
	units  int
	round  uint64 // of an Extend
	at     time.Duration
}

// account is one key.
type account struct {
	key            string
	home           int
	lent           []loan // given away, and not back
	borrowed       []loan
	asks           []ask
	extends        []ask // serial: of the loan
	inUse, waiting int
	busyAt         time.Duration // when what is borrowed was last needed in full
	nextAsk        time.Duration
	unmet          map[string]time.Duration // who was refused here, and when
}

// Counts are what has happened since the start.
type Counts struct {
	Requested, Granted, Lent, Released, Expired, Renewed, Refused uint64
}

// Machine is one gateway's parts. Use New. Nothing here is locked.
type Machine struct {
	cfg     Config
	rnd     *rand.Rand
	now     time.Duration
	begun   time.Duration
	quiet   time.Duration // until then a predecessor's loans may run
	hold    time.Duration // until then the process beside this one may not have seen it
	part    int           // 1; 2 while another process of this gateway has the other half
	second  bool          // this process has the smaller half
	none    bool          // another process has the home parts
	live    []string      // holders that can be asked
	empty   map[string]time.Duration
	keys    map[string]*account
	order   []*account
	serial  uint64
	out     []Send
	granted []string
	counts  Counts
}

// New makes a machine. What a predecessor of the name may have lent is left alone for a lease.
func New(cfg Config, now time.Duration) *Machine {
	return &Machine{
		cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 0x6275)), now: now, part: 1, keys: map[string]*account{}, empty: map[string]time.Duration{},
		begun: now, quiet: now + long(cfg.Lease, cfg.Drift) + upgradeSees,
	}
}

// long is a lease by the clock of who lends, short by that of who borrows.
func long(d time.Duration, drift float64) time.Duration {
	return time.Duration(float64(d) * (1 + 2*drift))
}
func short(d time.Duration, drift float64) time.Duration {
	return time.Duration(float64(d) * (1 - 2*drift))
}

// HomeShare is the home part of a holder: the whole divided evenly, what is left over goes by a rotation that depends on
// the key, so that not the same holders get it everywhere.
func HomeShare(holders []string, whole int, name, key string) int {
	i := slices.Index(holders, name)
	if i < 0 {
		return 0
	}
	n := len(holders)
	h := 0
	for _, c := range []byte(key) {
		h = (h*31 + int(c)) % n
	}
	part := whole / n
	if (i+h)%n < whole%n {
		part++
	}
	return part
}

func (m *Machine) account(key string) *account {
	a := m.keys[key]
	if a == nil {
		a = &account{key: key, home: HomeShare(m.cfg.Holders, m.cfg.Total, m.cfg.Name, key)}
		m.keys[key] = a
		m.order = append(m.order, a)
	}
	return a
}

// reserve is what is never lent, so that a process that has just started may use it at once.
func (a *account) reserve() int { return (a.home + 3) / 4 }

// own is what of the home part may be used at the moment.
func (m *Machine) own(a *account) int {
	n := a.home
	switch {
	case m.none || m.now < m.hold:
		return 0
	case m.now < m.quiet:
		n = a.reserve()
	default:
		for _, l := range a.lent {
			n -= l.units
		}
	}
	if m.part == 2 {
		n = (n + 1) / 2
		if m.second {
			n = a.home / 2
			if m.now < m.quiet {
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
	m.lapse(a)
	n := m.own(a)
	for _, l := range a.borrowed {
		if l.until > max(until, m.now) {
			n += l.units
		}
	}
	return n
}

// lapse takes back what was lent for a time that is over, and drops what was borrowed so.
func (m *Machine) lapse(a *account) {
	over := func(l loan) bool {
		if l.until > m.now {
			return false
		}
		m.counts.Expired++
		return true
	}
	a.lent = slices.DeleteFunc(a.lent, over)
	a.borrowed = slices.DeleteFunc(a.borrowed, over)
}

// SetDemand tells how many units of a key are in use and how many more are waited for.
func (m *Machine) SetDemand(now time.Duration, key string, inUse, waiting int) {
	m.now = max(m.now, now)
	if m.keys[key] == nil && len(m.keys) >= keysMost {
		return
	}
	a := m.account(key)
	a.inUse, a.waiting = inUse, waiting
	m.lapse(a)
	m.want(a)
}

// SetLive tells which holders can be asked; it is a hint and nothing else.
func (m *Machine) SetLive(names []string) { m.live = names }

// SetSibling divides the home parts with another process of this gateway, which lives as part of an upgrade; second
// is the one with the smaller half. A process that begins beside another waits until that has heard of it.
func (m *Machine) SetSibling(now time.Duration, beside, second bool) {
	m.now = max(m.now, now)
	if m.part, m.second = 1, second; !beside {
		return
	}
	m.part = 2
	if m.now-m.begun < upgradeSees {
		m.hold = m.begun + seenWithin
	}
}

// SetHomeDisabled takes the home parts away: another process of the name has them, and that is a fault.
func (m *Machine) SetHomeDisabled(now time.Duration, on bool) {
	m.now = max(m.now, now)
	m.none = on
}

// Forget tells that a key is not needed at the moment; it is dropped once nothing of it is lent or borrowed.
func (m *Machine) Forget(now time.Duration, key string) {
	m.now = max(m.now, now)
	if a := m.keys[key]; a != nil {
		a.inUse, a.waiting = 0, 0
		if m.lapse(a); len(a.lent)+len(a.borrowed) == 0 {
			delete(m.keys, key)
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
func (m *Machine) Totals() (own, lent, borrowed int) {
	for _, a := range m.order {
		own += m.own(a)
		for _, l := range a.lent {
			lent += l.units
		}
		for _, l := range a.borrowed {
			borrowed += l.units
		}
	}
	return own, lent, borrowed
}

func (m *Machine) send(to string, msg Message) {
	msg.From = m.cfg.Name
	m.out = append(m.out, Send{To: to, Message: msg})
}

// have is what may be used at the moment, with all that is borrowed.
func (m *Machine) have(a *account) int {
	n := m.own(a)
	for _, l := range a.borrowed {
		n += l.units
	}
	return n
}

// want asks others for what is missing, not the same ones again that had nothing.
func (m *Machine) want(a *account) {
	have := m.have(a)
	missing := a.inUse + a.waiting - have
	if a.inUse+a.waiting >= have || len(a.borrowed) == 0 {
		a.busyAt = m.now
	}
	a.asks = slices.DeleteFunc(a.asks, func(q ask) bool { return q.at+m.cfg.Lease <= m.now })
	if missing <= 0 || a.waiting == 0 || m.now < a.nextAsk {
		return
	}
	a.nextAsk = m.now + askEvery
	var whom []string
	for _, i := range m.rnd.Perm(len(m.live)) {
		if w := m.live[i]; w != m.cfg.Name && m.empty[w+"\x00"+a.key] <= m.now && slices.Contains(m.cfg.Holders, w) {
			whom = append(whom, w)
		}
	}
	whom = whom[:min(len(whom), askMost)]
	for i, w := range whom {
		units := missing / len(whom)
		if i < missing%len(whom) {
			units++
		}
		if units == 0 {
			continue
		}
		m.serial++
		m.counts.Requested++
		a.asks = append(a.asks, ask{who: w, serial: m.serial, units: units, at: m.now})
		m.send(w, Message{Kind: Request, Session: m.cfg.Session, Key: a.key, Serial: m.serial, Units: units})
	}
}

// Receive takes a message in.
func (m *Machine) Receive(now time.Duration, msg Message) {
	m.now = max(m.now, now)
	if m.keys[msg.Key] == nil && (len(m.keys) >= keysMost || msg.Kind != Request) || !slices.Contains(m.cfg.Holders, msg.From) || msg.From == m.cfg.Name {
		return
	}
	a := m.account(msg.Key)
	m.lapse(a)
	switch msg.Kind {
	case Request:
		m.asked(a, msg)
	case Grant:
		m.grant(a, msg)
	case Renew:
		m.extend(a, msg)
	case Renewed:
		m.extended(a, msg)
	case Release:
		a.lent = slices.DeleteFunc(a.lent, func(l loan) bool { return same(l, msg) })
	}
}

func same(l loan, msg Message) bool {
	return l.who == msg.From && l.session == msg.Session && l.serial == msg.Serial
}

// asked lends what is not needed here. An ask that comes twice is answered twice, and lent for once as long as the
// loan runs; one that comes again later costs units until they lapse, for the borrower takes no grant twice.
func (m *Machine) asked(a *account, msg Message) {
	if i := slices.IndexFunc(a.lent, func(l loan) bool { return same(l, msg) }); i >= 0 {
		m.send(msg.From, Message{Kind: Grant, Session: msg.Session, Key: a.key, Serial: msg.Serial, Units: a.lent[i].units})
		return
	}
	units := 0
	if m.now >= m.quiet && m.part == 1 && !m.none {
		spare := m.own(a) - max(a.inUse+a.waiting, a.reserve())
		// Half of it at a time: the next to ask gets some, too.
		units = max(0, min(msg.Units, (spare+1)/2))
	}
	if units > 0 {
		a.lent = append(a.lent, loan{who: msg.From, session: msg.Session, serial: msg.Serial, units: units, until: m.now + long(m.cfg.Lease, m.cfg.Drift)})
		m.counts.Lent += uint64(units)
	} else {
		m.counts.Refused++
		if a.unmet == nil {
			a.unmet = map[string]time.Duration{}
		}
		a.unmet[msg.From] = m.now
	}
	m.send(msg.From, Message{Kind: Grant, Session: msg.Session, Key: a.key, Serial: msg.Serial, Units: units})
}

// grant takes what this process has asked for, once.
func (m *Machine) grant(a *account, msg Message) {
	i := slices.IndexFunc(a.asks, func(q ask) bool { return q.who == msg.From && q.serial == msg.Serial })
	if i < 0 || msg.Session != m.cfg.Session {
		return
	}
	q := a.asks[i]
	a.asks = slices.Delete(a.asks, i, i+1)
	until := q.at + short(m.cfg.Lease, m.cfg.Drift)
	if msg.Units <= 0 || msg.Units > q.units {
		m.empty[msg.From+"\x00"+a.key] = m.now + hintLasts
		m.want(a)
		return
	}
	if until <= m.now {
		return
	}
	m.counts.Granted += uint64(msg.Units)
	a.borrowed = append(a.borrowed, loan{who: msg.From, session: msg.Session, serial: msg.Serial, units: msg.Units, until: until})
	m.granted = append(m.granted, a.key)
}

// sharesWith tells whether another holder was refused lately that has less from here than a borrower.
func (m *Machine) sharesWith(a *account, borrower string) bool {
	has := map[string]int{}
	for _, l := range a.lent {
		has[l.who] += l.units
	}
	for who, at := range a.unmet {
		if at+2*hintLasts <= m.now {
			delete(a.unmet, who)
		} else if who != borrower && has[who] < has[borrower] {
			return true
		}
	}
	return false
}

// extend lets a loan go on, unless the units are wanted at home, or by one that has less.
func (m *Machine) extend(a *account, msg Message) {
	i := slices.IndexFunc(a.lent, func(l loan) bool { return same(l, msg) })
	if i < 0 || m.part != 1 || m.none || a.inUse+a.waiting > m.own(a) || m.sharesWith(a, msg.From) {
		return // it lapses
	}
	a.lent[i].until = max(a.lent[i].until, m.now+long(m.cfg.Lease, m.cfg.Drift))
	m.send(msg.From, Message{Kind: Renewed, Session: msg.Session, Key: a.key, Serial: msg.Serial, RenewSerial: msg.RenewSerial})
}

func (m *Machine) extended(a *account, msg Message) {
	i := slices.IndexFunc(a.extends, func(q ask) bool { return q.who == msg.From && q.serial == msg.Serial && q.round == msg.RenewSerial })
	if i < 0 || msg.Session != m.cfg.Session {
		return
	}
	q := a.extends[i]
	a.extends = slices.Delete(a.extends, i, i+1)
	for j := range a.borrowed {
		if l := &a.borrowed[j]; l.who == msg.From && l.serial == msg.Serial {
			l.until = max(l.until, q.at+short(m.cfg.Lease, m.cfg.Drift))
			m.counts.Renewed++
		}
	}
}

// Tick extends loans that are in use, returns those that are not, and asks again. It is to be called several times in
// a lease.
func (m *Machine) Tick(now time.Duration) {
	m.now = max(m.now, now)
	for _, a := range m.order {
		m.lapse(a)
		m.tidy(a)
		m.want(a)
	}
	for k, until := range m.empty {
		if until <= m.now {
			delete(m.empty, k)
		}
	}
}

func (m *Machine) tidy(a *account) {
	a.extends = slices.DeleteFunc(a.extends, func(q ask) bool { return q.at+m.cfg.Lease <= m.now })
	have := m.have(a)
	// The loan that ends last is asked for longest: the others go first.
	slices.SortStableFunc(a.borrowed, func(x, y loan) int { return cmp.Compare(x.until, y.until) })
	a.borrowed = slices.DeleteFunc(a.borrowed, func(l loan) bool {
		if m.now-a.busyAt < idleAfter || have-l.units < a.inUse+a.waiting {
			return false
		}
		have -= l.units
		m.counts.Released += uint64(l.units)
		m.send(l.who, Message{Kind: Release, Session: l.session, Key: a.key, Serial: l.serial})
		return true
	})
	for _, l := range a.borrowed {
		asked := slices.ContainsFunc(a.extends, func(q ask) bool { return q.serial == l.serial && q.at+m.cfg.Lease/8 > m.now })
		if l.until-m.now > m.cfg.Lease*3/4 || asked {
			continue
		}
		m.serial++
		a.extends = append(a.extends, ask{who: l.who, serial: l.serial, round: m.serial, at: m.now})
		m.send(l.who, Message{Kind: Renew, Session: l.session, Key: a.key, Serial: l.serial, RenewSerial: m.serial})
	}
}
