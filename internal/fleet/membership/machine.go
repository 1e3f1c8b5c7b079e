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
	maxHealth              = 8                      // maximum of the local health score; Lifeguard's S
	suspicionMult          = 3                      // the shortest suspicion timeout in probe periods, times log10 of the fleet size
	suspicionMaxMult       = 6                      // the timeout without confirmations, as a multiple of the shortest
	maxConfirmations       = 3                      // confirmations that shorten a suspicion to the shortest timeout
	retransmitMult         = 4                      // transmissions of each update, times log10 of the fleet size
	maxPiggyback           = 12                     // updates in one datagram
	maxRefutationPings     = 16                     // members pinged per exchange because the peer believes them dead
	maxRelays              = 256                    // indirect probes made for others at once
	maxTakeovers           = 3                      // so that two processes with one address do not take the name from each other for ever
	syncInterval           = 2 * time.Second        // mean time between digests sent
	reconnectInterval      = 2 * time.Second        // between attempts to reach a dead member or a seed
	firstReconnectInterval = 250 * time.Millisecond // doubled up to reconnectInterval while no member is live
	observeInterval        = time.Second            // mean time between list requests while not a member
	duplicateTTL           = 5 * time.Second        // DuplicateName is cleared this long after the last claim
	tombstoneTTL           = 10 * time.Minute       // how long dead and left members are remembered
)

// participation is this process's role in the fleet.
type participation uint8

const (
	active     participation = iota // a member
	superseded                      // another process has the name
	departed                        // it left and observes
)

// member is the local record of another gateway.
type member struct {
	Entry
	stateSince time.Duration
	suspicion  *suspicion    // nil: not suspected
	inView     viewEntry     // as the current view shows it
	changedAt  time.Duration // when what the view should show last changed
	liveIndex  int           // index in Machine.live; -1: not live
}

// suspicion is a running suspicion timeout.
type suspicion struct {
	startedAt, deadline time.Duration
	reporters           []string // members that suspect it, the first included
}

// viewEntry is the part of a member that the view shows; the zero value means not in the view.
type viewEntry struct {
	session       uint64
	addr          netip.AddrPort
	duplicateName bool
	zone          string
}

// pendingUpdate is a membership update that is being piggybacked on outgoing messages.
type pendingUpdate struct {
	subject       string // member name, with the suspecting member for a suspicion
	entry         Entry
	transmissions int
}

// probe is the outstanding probe.
type probe struct {
	target            *member
	seq               uint64
	session           uint64
	indirect          bool          // helpers were asked
	retryAt, deadline time.Duration // when it is sent again, and when it has failed
	relaysAsked       int           // number of helpers asked
	nacks             int
}

// relay is an indirect probe that this gateway makes for another.
type relay struct {
	seq, requesterSeq uint64
	requester         Entry
	nackAt, deadline  time.Duration
}

// Machine is the membership state of one gateway; create it with New. It is not safe for concurrent use.
type Machine struct {
	cfg           Config
	rng           *rand.Rand
	now           time.Duration
	self          Entry
	participation participation
	hasSibling    bool // during an upgrade: two processes legitimately share the name
	selfInView    viewEntry

	members     map[string]*member
	live        []*member
	sorted      []*member // all members, sorted by name
	probeOrder  []*member // rest of this probe round, taken from the end
	updates     []pendingUpdate
	relays      []relay
	probe       *probe
	seq         uint64
	health      int
	suspects    []*member
	pendingView []*member // members whose latest change the view does not show yet

	nextProbe, nextSync, nextReconnect, nextObserve time.Duration
	reconnectPause                                  time.Duration
	seeds                                           []seed
	nextSeed                                        int
	reconnectSeqs                                   []uint64 // sequence numbers of recent probes of dead members
	duplicateSeenAt                                 time.Duration
	takeovers                                       int    // times the name was taken over because its holder had this address
	cachedDigest                                    uint64 // of the live members; 0: not computed
	wake                                            time.Duration

	out     []Send
	changes []Change
	view    View
	counts  Counts
}

type seed struct {
	addr netip.AddrPort
	name string // of the gateway that answered there
	seq  uint64 // of the probe sent to it
}

// New returns a machine that knows no other member yet.
func New(cfg Config, now time.Duration) *Machine {
	cfg = cfg.Defaults()
	m := &Machine{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x7377696d)), now: now, members: map[string]*member{},
		self:           Entry{Name: cfg.Name, Addr: cfg.Addr, Incarnation: uint64(max(1, cfg.Start.Microseconds())), Session: cfg.Session, Zone: cfg.Zone},
		reconnectPause: firstReconnectInterval,
	}
	m.seq = m.rng.Uint64() >> 8
	for _, seedAddr := range cfg.Seeds {
		m.seeds = append(m.seeds, seed{addr: seedAddr})
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

// jitter returns a random duration from 0 to limit.
func (m *Machine) jitter(limit time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(limit) + 1))
}

// Wake returns the time by which Tick must be called.
func (m *Machine) Wake() time.Duration { return m.wake }

// Take returns the messages to send and the changes since the last call.
func (m *Machine) Take() (out []Send, changes []Change) {
	out, changes = m.out, m.changes
	m.out, m.changes = nil, nil
	return out, changes
}

// View returns the stable view. A returned view is never modified.
func (m *Machine) View() View { return m.view }

// Self returns this gateway's entry, and whether it is currently a member.
func (m *Machine) Self() (Entry, bool) { return m.self, m.participation == active }

// Superseded reports whether another process has this gateway's name.
func (m *Machine) Superseded() bool { return m.participation == superseded }

// Members returns all other known members, including dead ones, sorted by name.
func (m *Machine) Members() []Entry {
	entries := make([]Entry, len(m.sorted))
	for i, member := range m.sorted {
		entries[i] = member.Entry
	}
	return entries
}

// Addr returns the advertised address of a member that is live or has left.
func (m *Machine) Addr(name string) (addr netip.AddrPort, ok bool) {
	if member := m.members[name]; member != nil && (member.State.Live() || member.State == Left) {
		return member.Addr, true
	}
	return addr, false
}

// Health returns Lifeguard's local health score: 0 is healthy, 8 the worst. Timeouts grow with it.
func (m *Machine) Health() int { return m.health }

// Counts returns the counters since the start.
func (m *Machine) Counts() Counts { return m.counts }

// SetSibling sets whether another process of this name runs as part of an upgrade.
func (m *Machine) SetSibling(on bool) {
	if m.hasSibling = on; on && m.self.DuplicateName {
		m.self.DuplicateName = false
		m.raiseIncarnation(m.self.Incarnation)
	}
}

// SetAddr changes the address that this process advertises.
func (m *Machine) SetAddr(now time.Duration, addr netip.AddrPort) {
	m.advanceClock(now)
	m.self.Addr = addr
	if m.participation == active {
		m.raiseIncarnation(m.self.Incarnation)
	}
	m.finish()
}

// Leave removes this gateway from the fleet in an orderly way; it continues to observe. Join reverses it.
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

// Join makes this gateway a member again after Leave.
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

// Tick runs what is due at the given time.
func (m *Machine) Tick(now time.Duration) {
	m.advanceClock(now)
	m.runDue()
	m.finish()
}

// Receive handles a message; via is the connection on which it came, 0 for a datagram.
func (m *Machine) Receive(now time.Duration, msg Message, via uint64) {
	m.advanceClock(now)
	m.handleMessage(msg, via)
	m.runDue()
	m.finish()
}

// advanceClock sets the current time. If it is later than the planned wake-up by more than half a period, answers may
// still be unread: the outstanding probe is abandoned and the other deadlines are extended by the gap. A gap of more than
// a period counts as a pause of this process and worsens its health score.
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

// worsenHealth and improveHealth adjust the local health score.
func (m *Machine) worsenHealth(by int) { m.health = min(maxHealth, m.health+by) }
func (m *Machine) improveHealth()      { m.health = max(0, m.health-1) }

// finish updates the view and the wake-up time after an event.
func (m *Machine) finish() {
	m.updateView()
	m.scheduleWake()
}

// scheduleWake computes the next time at which something is due.
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

// fleetSize is the number of live members, including this gateway.
func (m *Machine) fleetSize() int { return len(m.live) + 1 }

func (m *Machine) logFleetSize() float64 { return max(1, math.Log10(float64(m.fleetSize()))) }

// runDue runs all timers that have expired.
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

// runProbes is SWIM's failure detector: it probes one member per period, each once per round in random order.
func (m *Machine) runProbes() {
	if p := m.probe; p != nil {
		if p.retryAt <= m.now {
			// The datagram may simply have been lost: the ping is repeated, and helpers are asked once.
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
	probed := m.nextProbeTarget()
	if probed == nil {
		return
	}
	m.counts.Probes++
	m.seq++
	m.probe = &probe{target: probed, seq: m.seq, session: probed.Session, retryAt: m.now + m.cfg.ProbeTimeout*scale, deadline: m.now + m.cfg.ProbePeriod*scale}
	m.sendPing(m.probe)
}

func (m *Machine) sendPing(p *probe) {
	m.sendTo(p.target, Message{Kind: Ping, Seq: p.seq, Target: p.target.Name, Session: p.session})
}

// nextProbeTarget returns the next member of the probe round, starting a new round when it is exhausted.
func (m *Machine) nextProbeTarget() *member {
	for {
		if len(m.probeOrder) == 0 {
			if len(m.live) == 0 {
				return nil
			}
			m.probeOrder = append(m.probeOrder, m.live...)
			m.rng.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
		}
		next := m.probeOrder[len(m.probeOrder)-1]
		if m.probeOrder = m.probeOrder[:len(m.probeOrder)-1]; next.liveIndex >= 0 {
			return next
		}
	}
}

// probeFailed handles a probe that nobody answered. Helpers that sent no Nack either suggest that this process
// itself is slow, so they worsen its health score.
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

// suspect starts or confirms a suspicion, disseminates it if new, and reports whether it was.
func (m *Machine) suspect(target *member, entry Entry) bool {
	shortest, longest := m.suspicionTimeouts()
	confirmers := min(maxConfirmations, m.fleetSize()-2) // members that may confirm it, besides the first reporter
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

// suspicionTimeouts returns the suspicion timeouts with all confirmations and with none.
func (m *Machine) suspicionTimeouts() (shortest, longest time.Duration) {
	shortest = time.Duration(suspicionMult * m.logFleetSize() * float64(m.cfg.ProbePeriod))
	return shortest, suspicionMaxMult * shortest
}

// observe runs periodically while this process is not a member: it requests the member list and, if superseded,
// probes the holder of its name.
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

// canReconnect reports whether a known member or a seed is not live and could be reached again.
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

// reconnect probes one dead member or missing seed. It never gives up, since a partition may end at any time. It
// also removes expired tombstones.
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

// gossip sends pending updates to n random members at once.
func (m *Machine) gossip(n int) {
	for _, peer := range m.pickLive(n, nil) {
		m.sendTo(peer, Message{Kind: Gossip})
	}
}

// pickLive returns up to n random live members other than exclude.
func (m *Machine) pickLive(n int, exclude *member) (picked []*member) {
	for range 4 * n {
		if len(picked) == n || len(m.live) == 0 {
			break
		}
		if candidate := m.live[m.rng.IntN(len(m.live))]; candidate != exclude && !slices.Contains(picked, candidate) {
			picked = append(picked, candidate)
		}
	}
	return picked
}

// sendTo sends a datagram to a member, with piggybacked updates.
func (m *Machine) sendTo(to *member, msg Message) { m.sendToEntry(to.Entry, 0, msg) }

// sendStream sends a message to a member over a new connection.
func (m *Machine) sendStream(to *member, msg Message) {
	m.counts.Exchanges++
	m.enqueue(Send{To: to.Name, Addr: to.Addr, Stream: true, Message: msg}, to.Session)
}

// sendToEntry sends a message to the process that an entry describes. If that is not the holder of the name, only
// the address that it advertised itself reaches it.
func (m *Machine) sendToEntry(to Entry, via uint64, msg Message) {
	known := m.members[to.Name]
	differentProcess := known != nil && to.Session != 0 && to.Session != known.Session
	m.enqueue(Send{To: to.Name, Addr: to.Addr, Direct: differentProcess, Stream: via != 0, Via: via, Message: msg}, to.Session)
}

// enqueue adds updates to a message and queues it for sending; session is the receiver's, 0 if unknown.
func (m *Machine) enqueue(out Send, session uint64) {
	msg := &out.Message
	msg.From, msg.Observer = m.self, m.participation != active
	switch {
	case out.Stream && m.participation != superseded && msg.Kind != Exchange || out.Stream && m.participation == active:
		for _, member := range m.sorted {
			msg.Updates = append(msg.Updates, member.Entry)
		}
	case out.Stream:
		// An observer only requests the list.
	default:
		msg.Updates = append(msg.Updates, m.takePiggyback(out.To, session)...)
	}
	for i := range msg.Updates {
		msg.Updates[i].GoneForMS = m.goneForMS(&msg.Updates[i])
	}
	m.out = append(m.out, out)
}

// goneForMS returns how many milliseconds ago the member of an entry died or left; 0: it is live or unknown.
func (m *Machine) goneForMS(entry *Entry) uint32 {
	member := m.members[entry.Name]
	if member == nil || member.liveIndex >= 0 || entry.State.Live() {
		return 0
	}
	return uint32(max(0, m.now-member.stateSince) / time.Millisecond)
}

// takePiggyback returns the updates for a datagram: first what the receiver must refute, then those sent least often.
func (m *Machine) takePiggyback(to string, session uint64) (entries []Entry) {
	if receiver := m.members[to]; receiver != nil && (receiver.State != Alive || session != 0 && session != receiver.Session) {
		entries = append(entries, receiver.Entry)
	}
	maxTransmissions := retransmitMult * int(math.Ceil(math.Log10(float64(m.fleetSize()+1))))
	slices.SortStableFunc(m.updates, func(a, b pendingUpdate) int { return a.transmissions - b.transmissions })
	kept := m.updates[:0]
	for i := range m.updates {
		update := &m.updates[i]
		if len(entries) < maxPiggyback && update.entry.Name != to {
			entries = append(entries, update.entry)
			update.transmissions++
		}
		if update.transmissions < maxTransmissions {
			kept = append(kept, *update)
		}
	}
	m.updates = kept
	return entries
}

// disseminate queues an update for piggybacking, ahead of those sent equally often, and drops queued updates that it
// makes obsolete.
func (m *Machine) disseminate(entry Entry) {
	key := entry.Name
	if entry.State == Suspect {
		key += "\x00" + entry.SuspectedBy
	}
	m.updates = slices.DeleteFunc(m.updates, func(u pendingUpdate) bool {
		return u.subject == key || u.entry.Name == entry.Name && (entry.State != Suspect || u.entry.State != Suspect)
	})
	m.updates = slices.Insert(m.updates, 0, pendingUpdate{subject: key, entry: entry})
}

// raiseIncarnation raises this gateway's incarnation above the given one and disseminates its entry.
func (m *Machine) raiseIncarnation(over uint64) {
	m.self.Incarnation = max(m.self.Incarnation, over) + 1
	m.cachedDigest = 0
	m.disseminate(m.self)
	m.gossip(m.cfg.IndirectProbes)
}

// membershipDigest returns a digest of the live members as this gateway knows them.
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

// searchName returns the index of a name in m.sorted, or where it would be inserted.
func (m *Machine) searchName(name string) (int, bool) {
	return slices.BinarySearchFunc(m.sorted, name, func(member *member, n string) int { return strings.Compare(member.Name, n) })
}

func (m *Machine) remove(member *member) {
	if i, ok := m.searchName(member.Name); ok {
		m.sorted = slices.Delete(m.sorted, i, i+1)
	}
	delete(m.members, member.Name)
}
