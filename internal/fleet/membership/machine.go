package membership

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	healthMost    = 8 // Lifeguard's S
	suspicion     = 3 // periods before an undoubted suspicion ends, times log10 of the fleet
	suspicionMost = 6 // times that without confirmations
	confirmations = 3 // that shorten it all the way
	retransmit    = 4 // times log10 of the fleet is how often a piece of news is sent on
	newsMost      = 12
	tellMost      = 16 // members told in one exchange that they were taken for dead
	relaysMost    = 256
	takeoversMost = 3 // two processes that tell one address must not take the name from each other for ever
	syncEvery     = 2 * time.Second
	reachEvery    = 2 * time.Second // how often one that is gone, or a seed, is tried again
	reachFirst    = 250 * time.Millisecond
	observeEvery  = time.Second
	claimLasts    = 5 * time.Second
	forget        = 10 * time.Minute // the dead
)

// standing is what this process is to the fleet.
type standing uint8

const (
	active     standing = iota // a member
	superseded                 // another process has the name
	left                       // it took leave
)

// member is what is known of another.
type member struct {
	Entry
	since time.Duration // in this state
	doubt *doubt        // its suspicion
	shown key           // in the view
	moved time.Duration // when what the view should show last changed
	place int           // in Machine.live; -1: it is not
}

// doubt is a suspicion that runs.
type doubt struct {
	at, until time.Duration
	by        []string
}

// key is what of a member the view shows; the zero key: it is not in it.
type key struct {
	session uint64
	addr    netip.AddrPort
	twice   bool
	zone    string
}

// news is a piece that is sent on with other messages.
type news struct {
	key  string
	e    Entry
	sent int
}

// probe is the one that is out.
type probe struct {
	m          *member
	seq        uint64
	session    uint64
	indirect   bool
	next, last time.Duration // when it is sent again; when it has failed
	asked      int           // helpers
	nacks      int
}

// relay is a probe that this gateway makes for another.
type relay struct {
	seq, origin uint64
	asker       Entry
	nack, last  time.Duration
}

// Machine is one gateway's membership. Use New. Nothing here is locked.
type Machine struct {
	cfg      Config
	rnd      *rand.Rand
	now      time.Duration
	own      Entry
	standing standing
	beside   bool // an upgrade is on: two processes of the name are as it should be
	shownOwn key

	members map[string]*member
	live    []*member
	names   []*member // all, sorted by name
	round   []*member // who is probed next, from the end
	queue   []news
	relays  []relay
	probe   *probe
	seq     uint64
	health  int
	doubted []*member
	moving  []*member // the view does not show them as they are

	nextProbe, nextSync, nextReach, nextObserve time.Duration
	reachPause                                  time.Duration
	seeds                                       []seed
	seedAt                                      int
	reaching                                    []uint64 // probes of who is gone, by number
	claimed                                     time.Duration
	takeovers                                   int    // of the name, as its holder had this address
	digest                                      uint64 // of the live; 0: not known
	wake                                        time.Duration

	out     []Send
	changes []Change
	view    View
	counts  Counts
}

type seed struct {
	addr netip.AddrPort
	name string // who answered there
	seq  uint64
}

// New makes a machine that is alone at first.
func New(cfg Config, now time.Duration) *Machine {
	cfg = cfg.Defaults()
	m := &Machine{
		cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 0x7377696d)), now: now, members: map[string]*member{},
		own:        Entry{Name: cfg.Name, Addr: cfg.Addr, Incarnation: uint64(max(1, cfg.Start.Microseconds())), Session: cfg.Session, Zone: cfg.Zone},
		reachPause: reachFirst,
	}
	m.seq = m.rnd.Uint64() >> 8
	for _, a := range cfg.Seeds {
		m.seeds = append(m.seeds, seed{addr: a})
	}
	m.nextProbe = now + m.part(cfg.ProbePeriod)
	m.nextSync = now + m.part(syncEvery)
	m.nextReach = now + m.part(reachFirst/4)
	m.nextObserve = now
	m.tell(m.own)
	m.show()
	m.plan()
	return m
}

// part is a random part of a time.
func (m *Machine) part(d time.Duration) time.Duration {
	return time.Duration(m.rnd.Int64N(int64(d) + 1))
}

// Wake is when Tick is to be called, at the latest.
func (m *Machine) Wake() time.Duration { return m.wake }

// Take hands over what is to be sent and what has changed since the last call.
func (m *Machine) Take() (out []Send, changes []Change) {
	out, changes = m.out, m.changes
	m.out, m.changes = nil, nil
	return out, changes
}

// View is the stable view. It is not changed after it was given out.
func (m *Machine) View() View { return m.view }

// Self is this gateway's entry, and whether it is a member at the moment.
func (m *Machine) Self() (Entry, bool) { return m.own, m.standing == active }

// Superseded tells whether another process has this gateway's name.
func (m *Machine) Superseded() bool { return m.standing == superseded }

// Members are all others that are known, the dead included, sorted by name.
func (m *Machine) Members() []Entry {
	list := make([]Entry, len(m.names))
	for i, o := range m.names {
		list[i] = o.Entry
	}
	return list
}

// Addr is where a member that lives told others to look for it.
func (m *Machine) Addr(name string) (a netip.AddrPort, ok bool) {
	if o := m.members[name]; o != nil && (o.State.Live() || o.State == Left) {
		return o.Addr, true
	}
	return a, false
}

// Health is Lifeguard's multiplier: 0 is well, 8 is the most that this process doubts itself.
func (m *Machine) Health() int { return m.health }

// Counts are figures since the start.
func (m *Machine) Counts() Counts { return m.counts }

// SetSibling tells whether another process of this name lives as part of an upgrade.
func (m *Machine) SetSibling(on bool) {
	if m.beside = on; on && m.own.DuplicateName {
		m.own.DuplicateName = false
		m.raise(m.own.Incarnation)
	}
}

// SetAddr tells that this process is now to be found at another address.
func (m *Machine) SetAddr(now time.Duration, addr netip.AddrPort) {
	m.clock(now)
	m.own.Addr = addr
	if m.standing == active {
		m.raise(m.own.Incarnation)
	}
	m.finish()
}

// Leave takes this gateway out of the fleet in order; it goes on observing. Join takes it in again.
func (m *Machine) Leave(now time.Duration) {
	m.clock(now)
	if m.standing == active {
		m.standing, m.probe = left, nil
		m.own.State = Left
		m.tell(m.own)
		m.spread(2 * m.cfg.IndirectProbes)
		m.nextObserve = now + m.cfg.ProbePeriod/2
	}
	m.finish()
}

// Join is the return after Leave.
func (m *Machine) Join(now time.Duration) {
	m.clock(now)
	if m.standing == left {
		m.standing = active
		m.own.State = Alive
		m.raise(m.own.Incarnation)
		m.nextProbe = now + m.part(m.cfg.ProbePeriod)
	}
	m.finish()
}

// Tick does what is due.
func (m *Machine) Tick(now time.Duration) {
	m.clock(now)
	m.due()
	m.finish()
}

// Receive takes a message in; via is the connection it came on, 0 for a datagram.
func (m *Machine) Receive(now time.Duration, msg Message, via uint64) {
	m.clock(now)
	m.take(msg, via)
	m.due()
	m.finish()
}

// clock moves the time on. A moment later than planned by more than a period means that this process stood
// still: what it waited for may lie unread, so its own deadlines move along, and it doubts itself first.
func (m *Machine) clock(now time.Duration) {
	m.now = max(m.now, now)
	gap := m.now - m.wake
	if gap <= m.cfg.ProbePeriod/2 || m.wake == 0 {
		return
	}
	if gap > m.cfg.ProbePeriod {
		m.counts.Pauses++
		m.worsen(1 + int(gap/(4*m.cfg.ProbePeriod)))
	}
	m.probe = nil
	m.nextProbe = m.now + m.cfg.ProbePeriod
	for _, o := range m.doubted {
		o.doubt.at += gap
		o.doubt.until += gap
	}
	for _, o := range m.moving {
		o.moved += gap
	}
	for i := range m.relays {
		m.relays[i].last += gap
		m.relays[i].nack += gap
	}
}

func (m *Machine) worsen(by int) { m.health = min(healthMost, m.health+by) }
func (m *Machine) improve()      { m.health = max(0, m.health-1) }

func (m *Machine) finish() {
	m.show()
	m.plan()
}

// plan finds the next moment at which something is due.
func (m *Machine) plan() {
	wake := m.now + time.Minute
	at := func(t time.Duration) { wake = min(wake, t) }
	if m.standing == active {
		at(m.nextProbe)
		at(m.nextSync)
	} else {
		at(m.nextObserve)
	}
	if m.canReach() {
		at(m.nextReach)
	}
	if p := m.probe; p != nil {
		at(min(p.next, p.last))
	}
	for _, o := range m.doubted {
		at(o.doubt.until)
	}
	for _, o := range m.moving {
		at(o.moved + m.cfg.StableAfter)
	}
	for _, r := range m.relays {
		if r.nack > 0 {
			at(r.nack)
		}
		at(r.last)
	}
	if m.own.DuplicateName {
		at(m.claimed + claimLasts)
	}
	m.wake = max(wake, m.now)
}

// size is of the fleet, with this gateway.
func (m *Machine) size() int { return len(m.live) + 1 }

func (m *Machine) log10() float64 { return max(1, math.Log10(float64(m.size()))) }

func (m *Machine) due() {
	for _, o := range slices.Clone(m.doubted) {
		if o.doubt != nil && o.doubt.until <= m.now {
			m.counts.Deaths++
			e := o.Entry
			e.State, e.SuspectedBy = Dead, ""
			m.set(o, e)
			m.tell(e)
		}
	}
	m.relays = slices.DeleteFunc(m.relays, func(r relay) bool { return r.last <= m.now })
	for i := range m.relays {
		if r := &m.relays[i]; r.nack > 0 && r.nack <= m.now {
			r.nack = 0
			m.answer(r.asker, 0, Message{Kind: Nack, Seq: r.origin})
		}
	}
	if m.standing == active {
		m.probing()
		if m.nextSync <= m.now {
			m.nextSync = m.now + m.part(syncEvery) + syncEvery/2
			for _, o := range m.pick(1, nil) {
				m.send(o, Message{Kind: Sync, Digest: m.sum()})
			}
		}
	} else if m.nextObserve <= m.now {
		m.observe()
	}
	if m.nextReach <= m.now && m.canReach() {
		m.reach()
	}
	if m.own.DuplicateName && m.claimed+claimLasts <= m.now {
		m.own.DuplicateName = false
		m.raise(m.own.Incarnation)
	}
}

// probing is SWIM's failure detector: one member a period, each once a round, in a random order.
func (m *Machine) probing() {
	if p := m.probe; p != nil {
		if p.next <= m.now {
			// A datagram may just have been lost: it is sent again and again, and helpers are asked once.
			if p.next = m.now + m.cfg.ProbeTimeout/2; !p.indirect {
				p.indirect = true
				ask := Message{Kind: PingReq, Seq: p.seq, Target: p.m.Name, Session: p.session, Addr: p.m.Addr}
				for _, o := range m.pick(m.cfg.IndirectProbes, p.m) {
					p.asked++
					m.send(o, ask)
				}
			}
			m.ping(p)
		}
		if p.last <= m.now {
			m.probe = nil
			m.failed(p)
		}
	}
	if m.nextProbe > m.now || m.probe != nil {
		return
	}
	scale := time.Duration(m.health + 1)
	m.nextProbe = m.now + m.cfg.ProbePeriod*scale
	o := m.next()
	if o == nil {
		return
	}
	m.counts.Probes++
	m.seq++
	m.probe = &probe{m: o, seq: m.seq, session: o.Session, next: m.now + m.cfg.ProbeTimeout*scale, last: m.now + m.cfg.ProbePeriod*scale}
	m.ping(m.probe)
}

func (m *Machine) ping(p *probe) {
	m.send(p.m, Message{Kind: Ping, Seq: p.seq, Target: p.m.Name, Session: p.session})
}

// next is the member whose turn it is.
func (m *Machine) next() *member {
	for {
		if len(m.round) == 0 {
			if len(m.live) == 0 {
				return nil
			}
			m.round = append(m.round, m.live...)
			m.rnd.Shuffle(len(m.round), func(i, j int) { m.round[i], m.round[j] = m.round[j], m.round[i] })
		}
		o := m.round[len(m.round)-1]
		if m.round = m.round[:len(m.round)-1]; o.place >= 0 {
			return o
		}
	}
}

// failed is a probe without an answer. Whether this process is the one that is ill shows in the helpers that are
// silent as well.
func (m *Machine) failed(p *probe) {
	m.counts.FailedProbes++
	if p.asked == 0 {
		m.worsen(1)
	} else {
		m.worsen(p.asked - p.nacks)
	}
	if o := p.m; o.Session == p.session && o.place >= 0 {
		e := o.Entry
		e.State, e.SuspectedBy = Suspect, m.own.Name
		if m.suspect(o, e) {
			m.counts.Suspicions++
		}
	}
}

// suspect begins a suspicion or confirms one; what is new goes on.
func (m *Machine) suspect(o *member, e Entry) bool {
	least, most := m.patience()
	k := min(confirmations, m.size()-2) // who may confirm it, besides the first
	if o.doubt == nil {
		o.doubt = &doubt{at: m.now, until: m.now + most, by: []string{e.SuspectedBy}}
		if k < 1 {
			o.doubt.until = m.now + least
		}
		m.doubted = append(m.doubted, o)
		m.set(o, e)
		m.tell(e)
		return true
	}
	if len(o.doubt.by) > k || slices.Contains(o.doubt.by, e.SuspectedBy) {
		return false
	}
	o.doubt.by = append(o.doubt.by, e.SuspectedBy)
	c := float64(len(o.doubt.by) - 1)
	d := most - time.Duration(float64(most-least)*math.Log(c+1)/math.Log(float64(k+1)))
	o.doubt.until = min(o.doubt.until, o.doubt.at+max(least, d))
	m.tell(e)
	return true
}

// patience is how long a suspicion lasts: confirmed by others, and without.
func (m *Machine) patience() (least, most time.Duration) {
	least = time.Duration(suspicion * m.log10() * float64(m.cfg.ProbePeriod))
	return least, suspicionMost * least
}

// observe is what a process does that is no member: it asks for the list, and claims its name.
func (m *Machine) observe() {
	m.nextObserve = m.now + observeEvery/2 + m.part(observeEvery)
	if m.standing == left && slices.ContainsFunc(m.queue, func(n news) bool { return n.e.Session == m.own.Session }) {
		m.spread(m.cfg.IndirectProbes)
		m.nextObserve = m.now + m.cfg.ProbePeriod/2
		return
	}
	for _, o := range m.pick(1, nil) {
		m.stream(o, Message{Kind: Exchange})
	}
	if holder := m.members[m.own.Name]; m.standing == superseded && holder != nil {
		m.seq++
		m.send(holder, Message{Kind: Ping, Seq: m.seq, Target: holder.Name, Session: holder.Session})
	}
}

// canReach tells whether there is anyone who is not here and could be.
func (m *Machine) canReach() bool {
	return len(m.names) > len(m.live) || slices.ContainsFunc(m.seeds, m.missing)
}

func (m *Machine) missing(s seed) bool {
	if s.name == m.own.Name {
		return false
	}
	o := m.members[s.name]
	return o == nil || o.place < 0
}

// reach tries one that is gone or a seed, for ever: a partition ends at any time.
func (m *Machine) reach() {
	if len(m.live) > 0 {
		m.reachPause = reachEvery
	}
	m.nextReach = m.now + m.reachPause/2 + m.part(m.reachPause)
	if m.reachPause < reachEvery {
		m.reachPause *= 2
	}
	var gone []*member
	for i := 0; i < len(m.names); i++ {
		o := m.names[i]
		switch {
		case o.place < 0 && o.since+forget <= m.now && o.shown == key{}:
			m.drop(o)
			i--
		case o.State == Dead:
			gone = append(gone, o)
		}
	}
	m.seq++
	ping := Message{Kind: Ping, Seq: m.seq}
	n := len(m.seeds)
	for i := range n {
		s := &m.seeds[(m.seedAt+i)%n]
		if m.missing(*s) && (len(gone) == 0 || m.rnd.IntN(2) == 0) {
			m.seedAt = (m.seedAt + i + 1) % n
			s.seq = m.seq
			m.post(Send{Addr: s.addr, Direct: true, Message: ping}, 0)
			return
		}
	}
	if len(gone) > 0 {
		o := gone[m.rnd.IntN(len(gone))]
		m.reaching = append(m.reaching[max(0, len(m.reaching)-7):], m.seq)
		m.send(o, ping)
	}
}

// spread sends news at once to some members.
func (m *Machine) spread(n int) {
	for _, o := range m.pick(n, nil) {
		m.send(o, Message{Kind: Gossip})
	}
}

// pick draws up to n live members, without one.
func (m *Machine) pick(n int, without *member) (list []*member) {
	for range 4 * n {
		if len(list) == n || len(m.live) == 0 {
			break
		}
		if o := m.live[m.rnd.IntN(len(m.live))]; o != without && !slices.Contains(list, o) {
			list = append(list, o)
		}
	}
	return list
}

// send has a message go to a member, with news for it.
func (m *Machine) send(o *member, msg Message) { m.answer(o.Entry, 0, msg) }

func (m *Machine) stream(o *member, msg Message) {
	m.counts.Exchanges++
	m.post(Send{To: o.Name, Addr: o.Addr, Stream: true, Message: msg}, o.Session)
}

// answer sends a message to whoever an entry stands for. Where that is not the process that has the name, only the
// address that it told itself leads to it.
func (m *Machine) answer(to Entry, via uint64, msg Message) {
	o := m.members[to.Name]
	other := o != nil && to.Session != 0 && to.Session != o.Session
	m.post(Send{To: to.Name, Addr: to.Addr, Direct: other, Stream: via != 0, Via: via, Message: msg}, to.Session)
}

// post has a message go out; session is the receiver's, 0 where it is not known.
func (m *Machine) post(s Send, session uint64) {
	msg := &s.Message
	msg.From, msg.Observer = m.own, m.standing != active
	switch {
	case s.Stream && m.standing != superseded && msg.Kind != Exchange || s.Stream && m.standing == active:
		for _, o := range m.names {
			msg.Updates = append(msg.Updates, o.Entry)
		}
	case s.Stream:
		// an observer only asks
	default:
		msg.Updates = append(msg.Updates, m.fresh(s.To, session)...)
	}
	for i := range msg.Updates {
		msg.Updates[i].GoneForMS = m.gone(&msg.Updates[i])
	}
	m.out = append(m.out, s)
}

// gone is how many milliseconds ago the member of an entry went; 0: it lives, or is not known.
func (m *Machine) gone(e *Entry) uint32 {
	o := m.members[e.Name]
	if o == nil || o.place >= 0 || e.State.Live() {
		return 0
	}
	return uint32(max(0, m.now-o.since) / time.Millisecond)
}

// fresh is the news that go with a datagram: what the receiver must refute, then what was sent least often.
func (m *Machine) fresh(to string, session uint64) (list []Entry) {
	if o := m.members[to]; o != nil && (o.State != Alive || session != 0 && session != o.Session) {
		list = append(list, o.Entry)
	}
	most := retransmit * int(math.Ceil(math.Log10(float64(m.size()+1))))
	slices.SortStableFunc(m.queue, func(a, b news) int { return a.sent - b.sent })
	left := m.queue[:0]
	for i := range m.queue {
		n := &m.queue[i]
		if len(list) < newsMost && n.e.Name != to {
			list = append(list, n.e)
			n.sent++
		}
		if n.sent < most {
			left = append(left, *n)
		}
	}
	m.queue = left
	return list
}

// tell has a piece of news go round, before those that have been sent as often. It takes the place of what it makes old.
func (m *Machine) tell(e Entry) {
	k := e.Name
	if e.State == Suspect {
		k += "\x00" + e.SuspectedBy
	}
	m.queue = slices.DeleteFunc(m.queue, func(n news) bool {
		return n.key == k || n.e.Name == e.Name && (e.State != Suspect || n.e.State != Suspect)
	})
	m.queue = slices.Insert(m.queue, 0, news{key: k, e: e})
}

// raise has this gateway's word prevail over an incarnation.
func (m *Machine) raise(over uint64) {
	m.own.Incarnation = max(m.own.Incarnation, over) + 1
	m.digest = 0
	m.tell(m.own)
	m.spread(m.cfg.IndirectProbes)
}

// sum is a digest of who lives, as this gateway sees it.
func (m *Machine) sum() uint64 {
	if m.digest == 0 {
		h := xxhash.New()
		add := func(e Entry) {
			var b [17]byte
			binary.BigEndian.PutUint64(b[:], e.Incarnation)
			binary.BigEndian.PutUint64(b[8:], e.Session)
			if e.DuplicateName {
				b[16] = 1
			}
			_, _ = h.WriteString(e.Name)
			_, _ = h.Write(b[:])
		}
		mine := m.standing == active
		for _, o := range m.names {
			if mine && o.Name > m.own.Name {
				add(m.own)
				mine = false
			}
			if o.place >= 0 {
				add(o.Entry)
			}
		}
		if mine {
			add(m.own)
		}
		m.digest = max(1, h.Sum64())
	}
	return m.digest
}

// find is the place of a name among all.
func (m *Machine) find(name string) (int, bool) {
	return slices.BinarySearchFunc(m.names, name, func(o *member, n string) int { return strings.Compare(o.Name, n) })
}

func (m *Machine) drop(o *member) {
	if i, ok := m.find(o.Name); ok {
		m.names = slices.Delete(m.names, i, i+1)
	}
	delete(m.members, o.Name)
}
