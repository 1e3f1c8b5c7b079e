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
	maxHealth              = 8 // Lifeguard's S
	suspicionMult          = 3 // periods before an undoubted suspicion ends, times log10 of the fleet
	suspicionMaxMult       = 6 // times that without confirmations
	maxConfirmations       = 3 // that shorten it all the way
	retransmitMult         = 4 // times log10 of the fleet is how often a piece of news is sent on
	maxPiggyback           = 12
	maxRefutationPings     = 16 // members told in one exchange that they were taken for dead
	maxRelays              = 256
	maxTakeovers           = 3 // two processes that tell one address must not take the name from each other for ever
	syncInterval           = 2 * time.Second
	reconnectInterval      = 2 * time.Second // how often one that is gone, or a seed, is tried again
	firstReconnectInterval = 250 * time.Millisecond
	observeInterval        = time.Second
	duplicateTTL           = 5 * time.Second
	tombstoneTTL           = 10 * time.Minute // the dead
)

// participation is what this process is to the fleet.
type participation uint8

const (
	active     participation = iota // a member
	superseded                      // another process has the name
	departed                        // it took leave
)

// member is what is known of another.
type member struct {
	Entry
	stateSince time.Duration // in this state
	suspicion  *suspicion    // its suspicion
	inView     viewEntry     // in the view
	changedAt  time.Duration // when what the view should show last changed
	liveIndex  int           // in Machine.live; -1: it is not
}

// suspicion is a suspicion that runs.
type suspicion struct {
	startedAt, deadline time.Duration
	reporters           []string
}

// viewEntry is what of a member the view shows; the zero viewEntry: it is not in it.
type viewEntry struct {
	session       uint64
	addr          netip.AddrPort
	duplicateName bool
	zone          string
}

// pendingUpdate is a piece that is sent on with other messages.
type pendingUpdate struct {
	subject       string
	entry         Entry
	transmissions int
}

// probe is the one that is out.
type probe struct {
	target            *member
	seq               uint64
	session           uint64
	indirect          bool
	retryAt, deadline time.Duration // when it is sent again; when it has failed
	relaysAsked       int           // helpers
	nacks             int
}

// relay is a probe that this gateway makes for another.
type relay struct {
	seq, requesterSeq uint64
	requester         Entry
	nackAt, deadline  time.Duration
}

// Machine is one gateway's membership. Use New. Nothing here is locked.
type Machine struct {
	cfg           Config
	rng           *rand.Rand
	now           time.Duration
	self          Entry
	participation participation
	hasSibling    bool // an upgrade is on: two processes of the name are as it should be
	selfInView    viewEntry

	members     map[string]*member
	live        []*member
	sorted      []*member // all, sorted by name
	probeOrder  []*member // who is probed next, from the end
	updates     []pendingUpdate
	relays      []relay
	probe       *probe
	seq         uint64
	health      int
	suspects    []*member
	pendingView []*member // the view does not show them as they are

	nextProbe, nextSync, nextReconnect, nextObserve time.Duration
	reconnectPause                                  time.Duration
	seeds                                           []seed
	nextSeed                                        int
	reconnectSeqs                                   []uint64 // probes of who is gone, by number
	duplicateSeenAt                                 time.Duration
	takeovers                                       int    // of the name, as its holder had this address
	cachedDigest                                    uint64 // of the live; 0: not known
	wake                                            time.Duration

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
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x7377696d)), now: now, members: map[string]*member{},
		self:           Entry{Name: cfg.Name, Addr: cfg.Addr, Incarnation: uint64(max(1, cfg.Start.Microseconds())), Session: cfg.Session, Zone: cfg.Zone},
		reconnectPause: firstReconnectInterval,
	}
	m.seq = m.rng.Uint64() >> 8
	for _, addr := range cfg.Seeds {
		m.seeds = append(m.seeds, seed{addr: addr})
	}
	m.nextProbe = now + m.jitter(cfg.ProbePeriod)
	m.nextSync = now + m.jitter(syncInterval)
	m.nextReconnect = now + m.jitter(firstReconnectInterval/4)
	m.nextObserve = now
	m.disseminate(m.self)
	m.updateView()
	m.scheduleWake()
	return m
}

// jitter is a random jitter of a time.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(d) + 1))
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
func (m *Machine) Self() (Entry, bool) { return m.self, m.participation == active }

// Superseded tells whether another process has this gateway's name.
func (m *Machine) Superseded() bool { return m.participation == superseded }

// Members are all others that are known, the dead included, sorted by name.
func (m *Machine) Members() []Entry {
	list := make([]Entry, len(m.sorted))
	for i, member := range m.sorted {
		list[i] = member.Entry
	}
	return list
}

// Addr is where a member that lives told others to look for it.
func (m *Machine) Addr(name string) (addr netip.AddrPort, ok bool) {
	if member := m.members[name]; member != nil && (member.State.Live() || member.State == Left) {
		return member.Addr, true
	}
	return addr, false
}

// Health is Lifeguard's multiplier: 0 is well, 8 is the most that this process doubts itself.
func (m *Machine) Health() int { return m.health }

// Counts are figures since the start.
func (m *Machine) Counts() Counts { return m.counts }

// SetSibling tells whether another process of this name lives as part of an upgrade.
func (m *Machine) SetSibling(on bool) {
	if m.hasSibling = on; on && m.self.DuplicateName {
		m.self.DuplicateName = false
		m.raiseIncarnation(m.self.Incarnation)
	}
}

// SetAddr tells that this process is now to be found at another address.
func (m *Machine) SetAddr(now time.Duration, addr netip.AddrPort) {
	m.advanceClock(now)
	m.self.Addr = addr
	if m.participation == active {
		m.raiseIncarnation(m.self.Incarnation)
	}
	m.finish()
}

// Leave takes this gateway out of the fleet in order; it goes on observing. Join takes it in again.
func (m *Machine) Leave(now time.Duration) {
	m.advanceClock(now)
	if m.participation == active {
		m.participation, m.probe = departed, nil
		m.self.State = Left
		m.disseminate(m.self)
		m.gossip(2 * m.cfg.IndirectProbes)
		m.nextObserve = now + m.cfg.ProbePeriod/2
	}
	m.finish()
}

// Join is the return after Leave.
func (m *Machine) Join(now time.Duration) {
	m.advanceClock(now)
	if m.participation == departed {
		m.participation = active
		m.self.State = Alive
		m.raiseIncarnation(m.self.Incarnation)
		m.nextProbe = now + m.jitter(m.cfg.ProbePeriod)
	}
	m.finish()
}

// Tick does what is due.
func (m *Machine) Tick(now time.Duration) {
	m.advanceClock(now)
	m.runDue()
	m.finish()
}

// Receive takes a message in; via is the connection it came on, 0 for a datagram.
func (m *Machine) Receive(now time.Duration, msg Message, via uint64) {
	m.advanceClock(now)
	m.handleMessage(msg, via)
	m.runDue()
	m.finish()
}

// advanceClock moves the time on. A moment later than planned by more than a period means that this process stood
// still: what it waited for may lie unread, so its own deadlines move along, and it doubts itself first.
func (m *Machine) advanceClock(now time.Duration) {
	m.now = max(m.now, now)
	gap := m.now - m.wake
	if gap <= m.cfg.ProbePeriod/2 || m.wake == 0 {
		return
	}
	if gap > m.cfg.ProbePeriod {
		m.counts.Pauses++
		m.worsenHealth(1 + int(gap/(4*m.cfg.ProbePeriod)))
	}
	m.probe = nil
	m.nextProbe = m.now + m.cfg.ProbePeriod
	for _, suspect := range m.suspects {
		suspect.suspicion.startedAt += gap
		suspect.suspicion.deadline += gap
	}
	for _, member := range m.pendingView {
		member.changedAt += gap
	}
	for i := range m.relays {
		m.relays[i].deadline += gap
		m.relays[i].nackAt += gap
	}
}

func (m *Machine) worsenHealth(by int) { m.health = min(maxHealth, m.health+by) }
func (m *Machine) improveHealth()      { m.health = max(0, m.health-1) }

func (m *Machine) finish() {
	m.updateView()
	m.scheduleWake()
}

// scheduleWake finds the next moment at which something is due.
func (m *Machine) scheduleWake() {
	wake := m.now + time.Minute
	wakeBy := func(t time.Duration) { wake = min(wake, t) }
	if m.participation == active {
		wakeBy(m.nextProbe)
		wakeBy(m.nextSync)
	} else {
		wakeBy(m.nextObserve)
	}
	if m.canReconnect() {
		wakeBy(m.nextReconnect)
	}
	if p := m.probe; p != nil {
		wakeBy(min(p.retryAt, p.deadline))
	}
	for _, suspect := range m.suspects {
		wakeBy(suspect.suspicion.deadline)
	}
	for _, member := range m.pendingView {
		wakeBy(member.changedAt + m.cfg.StableAfter)
	}
	for _, r := range m.relays {
		if r.nackAt > 0 {
			wakeBy(r.nackAt)
		}
		wakeBy(r.deadline)
	}
	if m.self.DuplicateName {
		wakeBy(m.duplicateSeenAt + duplicateTTL)
	}
	m.wake = max(wake, m.now)
}

// fleetSize is of the fleet, with this gateway.
func (m *Machine) fleetSize() int { return len(m.live) + 1 }

func (m *Machine) logFleetSize() float64 { return max(1, math.Log10(float64(m.fleetSize()))) }

func (m *Machine) runDue() {
	for _, suspect := range slices.Clone(m.suspects) {
		if suspect.suspicion != nil && suspect.suspicion.deadline <= m.now {
			m.counts.Deaths++
			entry := suspect.Entry
			entry.State, entry.SuspectedBy = Dead, ""
			m.setEntry(suspect, entry)
			m.disseminate(entry)
		}
	}
	m.relays = slices.DeleteFunc(m.relays, func(r relay) bool { return r.deadline <= m.now })
	for i := range m.relays {
		if r := &m.relays[i]; r.nackAt > 0 && r.nackAt <= m.now {
			r.nackAt = 0
			m.sendToEntry(r.requester, 0, Message{Kind: Nack, Seq: r.requesterSeq})
		}
	}
	if m.participation == active {
		m.runProbes()
		if m.nextSync <= m.now {
			m.nextSync = m.now + m.jitter(syncInterval) + syncInterval/2
			for _, peer := range m.pickLive(1, nil) {
				m.sendTo(peer, Message{Kind: Sync, Digest: m.membershipDigest()})
			}
		}
	} else if m.nextObserve <= m.now {
		m.observe()
	}
	if m.nextReconnect <= m.now && m.canReconnect() {
		m.reconnect()
	}
	if m.self.DuplicateName && m.duplicateSeenAt+duplicateTTL <= m.now {
		m.self.DuplicateName = false
		m.raiseIncarnation(m.self.Incarnation)
	}
}

// runProbes is SWIM's failure detector: one member a period, each once a round, in a random order.
func (m *Machine) runProbes() {
	if p := m.probe; p != nil {
		if p.retryAt <= m.now {
			// A datagram may just have been lost: it is sent again and again, and helpers are asked once.
			if p.retryAt = m.now + m.cfg.ProbeTimeout/2; !p.indirect {
				p.indirect = true
				request := Message{Kind: PingReq, Seq: p.seq, Target: p.target.Name, Session: p.session, Addr: p.target.Addr}
				for _, helper := range m.pickLive(m.cfg.IndirectProbes, p.target) {
					p.relaysAsked++
					m.sendTo(helper, request)
				}
			}
			m.sendPing(p)
		}
		if p.deadline <= m.now {
			m.probe = nil
			m.probeFailed(p)
		}
	}
	if m.nextProbe > m.now || m.probe != nil {
		return
	}
	scale := time.Duration(m.health + 1)
	m.nextProbe = m.now + m.cfg.ProbePeriod*scale
	target := m.nextProbeTarget()
	if target == nil {
		return
	}
	m.counts.Probes++
	m.seq++
	m.probe = &probe{target: target, seq: m.seq, session: target.Session, retryAt: m.now + m.cfg.ProbeTimeout*scale, deadline: m.now + m.cfg.ProbePeriod*scale}
	m.sendPing(m.probe)
}

func (m *Machine) sendPing(p *probe) {
	m.sendTo(p.target, Message{Kind: Ping, Seq: p.seq, Target: p.target.Name, Session: p.session})
}

// nextProbeTarget is the member whose turn it is.
func (m *Machine) nextProbeTarget() *member {
	for {
		if len(m.probeOrder) == 0 {
			if len(m.live) == 0 {
				return nil
			}
			m.probeOrder = append(m.probeOrder, m.live...)
			m.rng.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
		}
		target := m.probeOrder[len(m.probeOrder)-1]
		if m.probeOrder = m.probeOrder[:len(m.probeOrder)-1]; target.liveIndex >= 0 {
			return target
		}
	}
}

// probeFailed is a probe without an answer. Whether this process is the one that is ill shows in the helpers that are
// silent as well.
func (m *Machine) probeFailed(p *probe) {
	m.counts.FailedProbes++
	if p.relaysAsked == 0 {
		m.worsenHealth(1)
	} else {
		m.worsenHealth(p.relaysAsked - p.nacks)
	}
	if target := p.target; target.Session == p.session && target.liveIndex >= 0 {
		entry := target.Entry
		entry.State, entry.SuspectedBy = Suspect, m.self.Name
		if m.suspect(target, entry) {
			m.counts.Suspicions++
		}
	}
}

// suspect begins a suspicion or confirms one; what is new goes on.
func (m *Machine) suspect(target *member, entry Entry) bool {
	shortest, longest := m.suspicionTimeouts()
	confirmers := min(maxConfirmations, m.fleetSize()-2) // who may confirm it, besides the first
	if target.suspicion == nil {
		target.suspicion = &suspicion{startedAt: m.now, deadline: m.now + longest, reporters: []string{entry.SuspectedBy}}
		if confirmers < 1 {
			target.suspicion.deadline = m.now + shortest
		}
		m.suspects = append(m.suspects, target)
		m.setEntry(target, entry)
		m.disseminate(entry)
		return true
	}
	if len(target.suspicion.reporters) > confirmers || slices.Contains(target.suspicion.reporters, entry.SuspectedBy) {
		return false
	}
	target.suspicion.reporters = append(target.suspicion.reporters, entry.SuspectedBy)
	confirmations := float64(len(target.suspicion.reporters) - 1)
	timeout := longest - time.Duration(float64(longest-shortest)*math.Log(confirmations+1)/math.Log(float64(confirmers+1)))
	target.suspicion.deadline = min(target.suspicion.deadline, target.suspicion.startedAt+max(shortest, timeout))
	m.disseminate(entry)
	return true
}

// suspicionTimeouts is how long a suspicion lasts: confirmed by others, and without.
func (m *Machine) suspicionTimeouts() (shortest, longest time.Duration) {
	shortest = time.Duration(suspicionMult * m.logFleetSize() * float64(m.cfg.ProbePeriod))
	return shortest, suspicionMaxMult * shortest
}

// observe is what a process does that is no member: it asks for the list, and claims its name.
func (m *Machine) observe() {
	m.nextObserve = m.now + observeInterval/2 + m.jitter(observeInterval)
	if m.participation == departed && slices.ContainsFunc(m.updates, func(u pendingUpdate) bool { return u.entry.Session == m.self.Session }) {
		m.gossip(m.cfg.IndirectProbes)
		m.nextObserve = m.now + m.cfg.ProbePeriod/2
		return
	}
	for _, peer := range m.pickLive(1, nil) {
		m.sendStream(peer, Message{Kind: Exchange})
	}
	if holder := m.members[m.self.Name]; m.participation == superseded && holder != nil {
		m.seq++
		m.sendTo(holder, Message{Kind: Ping, Seq: m.seq, Target: holder.Name, Session: holder.Session})
	}
}

// canReconnect tells whether there is anyone who is not here and could be.
func (m *Machine) canReconnect() bool {
	return len(m.sorted) > len(m.live) || slices.ContainsFunc(m.seeds, m.seedMissing)
}

func (m *Machine) seedMissing(s seed) bool {
	if s.name == m.self.Name {
		return false
	}
	member := m.members[s.name]
	return member == nil || member.liveIndex < 0
}

// reconnect tries one that is gone or a seed, for ever: a partition ends at any time.
func (m *Machine) reconnect() {
	if len(m.live) > 0 {
		m.reconnectPause = reconnectInterval
	}
	m.nextReconnect = m.now + m.reconnectPause/2 + m.jitter(m.reconnectPause)
	if m.reconnectPause < reconnectInterval {
		m.reconnectPause *= 2
	}
	var gone []*member
	for i := 0; i < len(m.sorted); i++ {
		member := m.sorted[i]
		switch {
		case member.liveIndex < 0 && member.stateSince+tombstoneTTL <= m.now && member.inView == viewEntry{}:
			m.remove(member)
			i--
		case member.State == Dead:
			gone = append(gone, member)
		}
	}
	m.seq++
	ping := Message{Kind: Ping, Seq: m.seq}
	seedCount := len(m.seeds)
	for i := range seedCount {
		candidate := &m.seeds[(m.nextSeed+i)%seedCount]
		if m.seedMissing(*candidate) && (len(gone) == 0 || m.rng.IntN(2) == 0) {
			m.nextSeed = (m.nextSeed + i + 1) % seedCount
			candidate.seq = m.seq
			m.enqueue(Send{Addr: candidate.addr, Direct: true, Message: ping}, 0)
			return
		}
	}
	if len(gone) > 0 {
		target := gone[m.rng.IntN(len(gone))]
		m.reconnectSeqs = append(m.reconnectSeqs[max(0, len(m.reconnectSeqs)-7):], m.seq)
		m.sendTo(target, ping)
	}
}

// gossip sends news at once to some members.
func (m *Machine) gossip(n int) {
	for _, peer := range m.pickLive(n, nil) {
		m.sendTo(peer, Message{Kind: Gossip})
	}
}

// pickLive draws up to n live members, without one.
func (m *Machine) pickLive(n int, exclude *member) (list []*member) {
	for range 4 * n {
		if len(list) == n || len(m.live) == 0 {
			break
		}
		if candidate := m.live[m.rng.IntN(len(m.live))]; candidate != exclude && !slices.Contains(list, candidate) {
			list = append(list, candidate)
		}
	}
	return list
}

// sendTo has a message go to a member, with news for it.
func (m *Machine) sendTo(to *member, msg Message) { m.sendToEntry(to.Entry, 0, msg) }

func (m *Machine) sendStream(to *member, msg Message) {
	m.counts.Exchanges++
	m.enqueue(Send{To: to.Name, Addr: to.Addr, Stream: true, Message: msg}, to.Session)
}

// sendToEntry sends a message to whoever an entry stands for. Where that is not the process that has the name, only the
// address that it told itself leads to it.
func (m *Machine) sendToEntry(to Entry, via uint64, msg Message) {
	known := m.members[to.Name]
	differentProcess := known != nil && to.Session != 0 && to.Session != known.Session
	m.enqueue(Send{To: to.Name, Addr: to.Addr, Direct: differentProcess, Stream: via != 0, Via: via, Message: msg}, to.Session)
}

// enqueue has a message go out; session is the receiver's, 0 where it is not known.
func (m *Machine) enqueue(send Send, session uint64) {
	msg := &send.Message
	msg.From, msg.Observer = m.self, m.participation != active
	switch {
	case send.Stream && m.participation != superseded && msg.Kind != Exchange || send.Stream && m.participation == active:
		for _, member := range m.sorted {
			msg.Updates = append(msg.Updates, member.Entry)
		}
	case send.Stream:
		// an observer only asks
	default:
		msg.Updates = append(msg.Updates, m.takePiggyback(send.To, session)...)
	}
	for i := range msg.Updates {
		msg.Updates[i].GoneForMS = m.goneForMS(&msg.Updates[i])
	}
	m.out = append(m.out, send)
}

// goneForMS is how many milliseconds ago the member of an entry went; 0: it lives, or is not known.
func (m *Machine) goneForMS(entry *Entry) uint32 {
	member := m.members[entry.Name]
	if member == nil || member.liveIndex >= 0 || entry.State.Live() {
		return 0
	}
	return uint32(max(0, m.now-member.stateSince) / time.Millisecond)
}

// takePiggyback is the news that go with a datagram: what the receiver must refute, then what was sent least often.
func (m *Machine) takePiggyback(to string, session uint64) (list []Entry) {
	if receiver := m.members[to]; receiver != nil && (receiver.State != Alive || session != 0 && session != receiver.Session) {
		list = append(list, receiver.Entry)
	}
	maxTransmissions := retransmitMult * int(math.Ceil(math.Log10(float64(m.fleetSize()+1))))
	slices.SortStableFunc(m.updates, func(a, b pendingUpdate) int { return a.transmissions - b.transmissions })
	kept := m.updates[:0]
	for i := range m.updates {
		update := &m.updates[i]
		if len(list) < maxPiggyback && update.entry.Name != to {
			list = append(list, update.entry)
			update.transmissions++
		}
		if update.transmissions < maxTransmissions {
			kept = append(kept, *update)
		}
	}
	m.updates = kept
	return list
}

// disseminate has a piece of news go round, before those that have been sent as often. It takes the place of what it makes old.
func (m *Machine) disseminate(entry Entry) {
	subject := entry.Name
	if entry.State == Suspect {
		subject += "\x00" + entry.SuspectedBy
	}
	m.updates = slices.DeleteFunc(m.updates, func(u pendingUpdate) bool {
		return u.subject == subject || u.entry.Name == entry.Name && (entry.State != Suspect || u.entry.State != Suspect)
	})
	m.updates = slices.Insert(m.updates, 0, pendingUpdate{subject: subject, entry: entry})
}

// raiseIncarnation has this gateway's word prevail over an incarnation.
func (m *Machine) raiseIncarnation(over uint64) {
	m.self.Incarnation = max(m.self.Incarnation, over) + 1
	m.cachedDigest = 0
	m.disseminate(m.self)
	m.gossip(m.cfg.IndirectProbes)
}

// membershipDigest is a digest of who lives, as this gateway sees it.
func (m *Machine) membershipDigest() uint64 {
	if m.cachedDigest == 0 {
		hash := xxhash.New()
		add := func(entry Entry) {
			var buf [17]byte
			binary.BigEndian.PutUint64(buf[:], entry.Incarnation)
			binary.BigEndian.PutUint64(buf[8:], entry.Session)
			if entry.DuplicateName {
				buf[16] = 1
			}
			_, _ = hash.WriteString(entry.Name)
			_, _ = hash.Write(buf[:])
		}
		addSelf := m.participation == active
		for _, member := range m.sorted {
			if addSelf && member.Name > m.self.Name {
				add(m.self)
				addSelf = false
			}
			if member.liveIndex >= 0 {
				add(member.Entry)
			}
		}
		if addSelf {
			add(m.self)
		}
		m.cachedDigest = max(1, hash.Sum64())
	}
	return m.cachedDigest
}

// searchName is the place of a name among all.
func (m *Machine) searchName(name string) (int, bool) {
	return slices.BinarySearchFunc(m.sorted, name, func(member *member, n string) int { return strings.Compare(member.Name, n) })
}

func (m *Machine) remove(member *member) {
	if i, ok := m.searchName(member.Name); ok {
		m.sorted = slices.Delete(m.sorted, i, i+1)
	}
	delete(m.members, member.Name)
}
