package membership

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// handleMessage applies the updates of a received message and answers it.
func (m *Machine) handleMessage(msg Message, via uint64) {
	from := msg.From
	if from.Name == m.self.Name && from.Session == m.self.Session {
		for i := range m.seeds {
			if m.seeds[i].seq == msg.Seq && msg.Kind == Ping {
				m.seeds[i].name = m.self.Name // one of the seeds is this gateway
			}
		}
		return
	}
	if from.Name == m.self.Name && msg.Observer {
		m.handleDuplicateName(from)
	} else if !msg.Observer {
		m.applyUpdate(from)
	} else if sender := m.members[from.Name]; sender != nil && sender.Session == from.Session {
		m.applyUpdate(from) // the member has left and observes
	}
	fullList := msg.Kind == Exchange || msg.Kind == Reply
	pinged := 0
	for _, update := range msg.Updates {
		if fullList && update.State == Dead && update.Name != m.self.Name {
			pinged += m.disputeDeath(update, from.Name, pinged < maxRefutationPings)
			continue
		}
		m.applyUpdate(update)
	}
	switch msg.Kind {
	case Ping:
		m.handlePing(msg)
	case PingReq:
		m.handlePingReq(msg)
	case Ack:
		m.handleAck(msg)
	case Nack:
		if p := m.probe; p != nil && p.seq == msg.Seq && p.nacks < p.relaysAsked {
			p.nacks++
		}
	case Sync:
		if msg.Digest != m.membershipDigest() && m.participation == active {
			m.counts.Exchanges++
			m.enqueue(Send{To: from.Name, Addr: from.Addr, Stream: true, Message: Message{Kind: Exchange}}, from.Session)
		}
	case Exchange:
		if via != 0 {
			m.sendToEntry(from, via, Message{Kind: Reply})
		}
	}
}

// handlePing answers a probe. A probe for another process at this address means that that process has ended.
func (m *Machine) handlePing(msg Message) {
	switch {
	case msg.Target == "" || msg.Target == m.self.Name && msg.Session == m.self.Session:
		if m.participation == active || msg.Target == "" {
			m.sendToEntry(msg.From, 0, Message{Kind: Ack, Seq: msg.Seq})
		} else if m.participation == departed {
			m.disseminate(m.self)
			m.sendToEntry(msg.From, 0, Message{Kind: Gossip})
		}
	case msg.Target == m.self.Name:
		if m.participation == superseded {
			if holder := m.members[m.self.Name]; holder != nil && holder.Session == msg.Session && holder.Addr == m.self.Addr {
				m.reclaimName(holder.Incarnation)
			}
		}
		m.sendToEntry(msg.From, 0, Message{Kind: Gossip})
	default:
		m.sendToEntry(msg.From, 0, Message{Kind: Gossip}) // a gateway of another name now has this address
	}
}

// handlePingReq starts an indirect probe for another gateway.
func (m *Machine) handlePingReq(msg Message) {
	if len(m.relays) >= maxRelays || m.participation != active || msg.Target == m.self.Name {
		return
	}
	m.seq++
	m.relays = append(m.relays, relay{
		seq: m.seq, requesterSeq: msg.Seq, requester: msg.From, nackAt: m.now + m.cfg.ProbeTimeout/2, deadline: m.now + 2*m.cfg.ProbePeriod,
	})
	target := Entry{Name: msg.Target, Addr: msg.Addr}
	m.sendToEntry(target, 0, Message{Kind: Ping, Seq: m.seq, Target: msg.Target, Session: msg.Session})
}

// handleAck handles the answer to a probe: this gateway's own, one relayed for another, or one of a dead member or a
// seed.
func (m *Machine) handleAck(msg Message) {
	if p := m.probe; p != nil && p.seq == msg.Seq {
		m.probe = nil
		m.improveHealth()
		return
	}
	for i, r := range m.relays {
		if r.seq == msg.Seq {
			m.relays = slices.Delete(m.relays, i, i+1)
			m.sendToEntry(r.requester, 0, Message{Kind: Ack, Seq: r.requesterSeq})
			return
		}
	}
	reconnected := slices.Contains(m.reconnectSeqs, msg.Seq)
	for i := range m.seeds {
		if s := &m.seeds[i]; s.seq == msg.Seq && msg.Seq != 0 {
			s.seq, s.name = 0, msg.From.Name
			reconnected = msg.From.Name != m.self.Name
		}
	}
	if reconnected {
		m.reconnectSeqs = slices.DeleteFunc(m.reconnectSeqs, func(n uint64) bool { return n == msg.Seq })
		if member := m.members[msg.From.Name]; member != nil {
			m.sendStream(member, Message{Kind: Exchange})
		}
	}
}

// handleDuplicateName handles a message from another process with this gateway's name, which this gateway supersedes.
func (m *Machine) handleDuplicateName(from Entry) {
	if m.participation != active || m.hasSibling {
		return
	}
	m.duplicateSeenAt = m.now
	if !m.self.DuplicateName {
		m.self.DuplicateName = true
		m.counts.DuplicateNames++
		m.raiseIncarnation(m.self.Incarnation)
		m.changes = append(m.changes, Change{Entry: m.self})
	}
}

// supersedes reports whether an entry takes precedence over another one of the same member.
func supersedes(entry, over Entry) bool {
	switch {
	case entry.Incarnation != over.Incarnation:
		return entry.Incarnation > over.Incarnation
	case entry.Session != over.Session:
		return entry.Session > over.Session
	}
	return entry.State > over.State
}

// applyUpdate applies an update about a member and disseminates it if it is new.
func (m *Machine) applyUpdate(entry Entry) {
	if entry.Name == m.self.Name {
		m.applySelfUpdate(entry)
		return
	}
	goneFor := time.Duration(entry.GoneForMS) * time.Millisecond
	entry.GoneForMS = 0
	member := m.members[entry.Name]
	if member == nil {
		m.addMember(entry, goneFor)
		return
	}
	if entry.State == Suspect && member.liveIndex >= 0 && entry.Incarnation == member.Incarnation && entry.Session == member.Session {
		m.suspect(member, entry)
		return
	}
	if !supersedes(entry, member.Entry) {
		return
	}
	m.endSuspicion(member)
	if entry.State == Suspect {
		m.suspect(member, entry)
		return
	}
	m.setEntry(member, entry)
	m.disseminate(entry)
}

// addMember adds an unknown member, even one that has been gone for a while, unless its tombstone has expired.
func (m *Machine) addMember(entry Entry, goneFor time.Duration) {
	if !entry.State.Live() && goneFor >= tombstoneTTL {
		return
	}
	if len(m.members) >= m.cfg.MaxMembers && !m.evictOldest() {
		m.counts.Overflow++
		return
	}
	added := &member{Entry: entry, liveIndex: -1, stateSince: m.now, changedAt: m.now}
	added.State = Dead // until setEntry
	i, _ := m.searchName(entry.Name)
	m.members[entry.Name] = added
	m.sorted = slices.Insert(m.sorted, i, added)
	if entry.State == Suspect {
		m.suspect(added, entry)
	} else {
		m.setEntry(added, entry)
		m.disseminate(entry)
	}
	if !entry.State.Live() {
		added.stateSince = m.now - goneFor
	}
	m.changes[len(m.changes)-1].New = true
}

// evictOldest removes the member that has been gone longest and reports whether there was one.
func (m *Machine) evictOldest() bool {
	var oldest *member
	for _, candidate := range m.sorted {
		if candidate.liveIndex < 0 && candidate.inView == (viewEntry{}) && (oldest == nil || candidate.stateSince < oldest.stateSince) {
			oldest = candidate
		}
	}
	if oldest == nil {
		return false
	}
	m.remove(oldest)
	return true
}

// endSuspicion cancels the suspicion of a member, if any.
func (m *Machine) endSuspicion(target *member) {
	if target.suspicion != nil {
		target.suspicion = nil
		m.suspects = slices.DeleteFunc(m.suspects, func(suspect *member) bool { return suspect == target })
	}
}

// setEntry updates the record of a member and the lists that depend on its state.
func (m *Machine) setEntry(target *member, entry Entry) {
	previous := target.Entry
	if entry.State != Suspect {
		m.endSuspicion(target)
	}
	target.Entry = entry
	m.cachedDigest = 0
	if previous.State != entry.State {
		target.stateSince = m.now
	}
	m.changes = append(m.changes, Change{Entry: entry, Previous: previous.State})
	switch {
	case entry.State.Live() && target.liveIndex < 0:
		target.liveIndex = len(m.live)
		m.live = append(m.live, target)
		// A random position, so that it is probed within the current round.
		m.probeOrder = slices.Insert(m.probeOrder, m.rng.IntN(len(m.probeOrder)+1), target)
	case !entry.State.Live() && target.liveIndex >= 0:
		last := m.live[len(m.live)-1]
		m.live[target.liveIndex], last.liveIndex = last, target.liveIndex
		m.live = m.live[:len(m.live)-1]
		target.liveIndex = -1
		m.probeOrder = slices.DeleteFunc(m.probeOrder, func(x *member) bool { return x == target })
	}
	if before := viewEntryOf(previous, previous.State.Live()); viewEntryOf(entry, target.liveIndex >= 0) != before || entry.State == Left {
		target.changedAt = m.now
		if !slices.Contains(m.pendingView, target) {
			m.pendingView = append(m.pendingView, target)
		}
	}
}

// disputeDeath handles a peer's entry that declares a member dead which is live here: this gateway suspects the
// member with the longest timeout and, if ping is set, pings it with the entry so that it can refute. It returns the
// number of pings sent.
func (m *Machine) disputeDeath(entry Entry, by string, ping bool) int {
	target := m.members[entry.Name]
	if target == nil || target.liveIndex < 0 {
		m.applyUpdate(entry)
		return 0
	}
	if supersedes(target.Entry, entry) {
		return 0
	}
	if target.suspicion == nil {
		suspect := target.Entry
		suspect.Incarnation, suspect.Session, suspect.State, suspect.SuspectedBy = max(suspect.Incarnation, entry.Incarnation), entry.Session, Suspect, by
		m.suspect(target, suspect)
	}
	if !ping {
		return 0
	}
	m.seq++
	m.sendToEntry(target.Entry, 0, Message{Kind: Ping, Seq: m.seq, Updates: []Entry{entry}})
	return 1
}

// applySelfUpdate handles an update about this gateway's name: it refutes claims about this process, and decides
// which process holds the name if the update is about another one.
func (m *Machine) applySelfUpdate(entry Entry) {
	if entry.Session == m.self.Session {
		switch {
		case m.participation == departed:
			if entry.State != Left && entry.Incarnation >= m.self.Incarnation {
				m.self.Incarnation = entry.Incarnation
				m.disseminate(m.self)
			}
		case entry.State != Alive && entry.Incarnation >= m.self.Incarnation:
			if m.participation == active {
				m.counts.Refutations++
				m.worsenHealth(1)
				m.raiseIncarnation(entry.Incarnation)
			}
		}
		return
	}
	older := !supersedes(entry, m.self)
	holder := m.members[m.self.Name]
	switch {
	case m.participation == superseded && holder != nil:
		if !supersedes(entry, holder.Entry) {
			return
		}
		if entry.State.Live() {
			if entry.DuplicateName && !holder.DuplicateName {
				m.changes = append(m.changes, Change{Entry: entry})
			}
			holder.Entry = entry
			return
		}
		m.reclaimName(entry.Incarnation)
	case m.participation == departed && supersedes(entry, m.self):
		m.self.Incarnation = entry.Incarnation // a successor has the name; rejoining raises above it
	case older:
		if entry.State.Live() && !slices.ContainsFunc(m.updates, func(u pendingUpdate) bool { return u.entry.Session == m.self.Session }) {
			m.disseminate(m.self) // the sender does not know this process yet
		}
	case entry.State.Live() && entry.Addr == m.self.Addr && m.takeovers < maxTakeovers:
		// The previous holder had this process's address, so it has ended; its clock was ahead.
		m.takeovers++
		m.raiseIncarnation(entry.Incarnation)
	case entry.State.Live():
		m.participation, m.probe = superseded, nil
		m.counts.Superseded++
		m.self.DuplicateName = false
		m.updates = slices.DeleteFunc(m.updates, func(u pendingUpdate) bool { return u.entry.Name == m.self.Name })
		m.members[entry.Name] = &member{Entry: entry, liveIndex: -1}
		m.nextObserve = m.now
		m.disseminate(entry)
		m.cachedDigest = 0
		m.changes = append(m.changes, Change{Entry: entry, Previous: Alive})
	default:
		m.raiseIncarnation(entry.Incarnation) // a predecessor that has ended; its clock was ahead
	}
}

// reclaimName makes this process a member again after the process that held its name has ended.
func (m *Machine) reclaimName(over uint64) {
	holder := m.members[m.self.Name]
	delete(m.members, m.self.Name)
	m.participation = active
	m.cachedDigest = 0
	m.raiseIncarnation(over)
	m.nextProbe = m.now + m.jitter(m.cfg.ProbePeriod)
	m.changes = append(m.changes, Change{Entry: m.self, Previous: holder.State})
}

// viewEntryOf returns what a view should show of a member.
func viewEntryOf(entry Entry, live bool) viewEntry {
	if !live {
		return viewEntry{}
	}
	return viewEntry{session: entry.Session, addr: entry.Addr, duplicateName: entry.DuplicateName, zone: entry.Zone}
}

// updateView publishes a new view if a change has become stable.
func (m *Machine) updateView() {
	changed := false
	m.pendingView = slices.DeleteFunc(m.pendingView, func(member *member) bool {
		current := viewEntryOf(member.Entry, member.liveIndex >= 0)
		if current != member.inView && member.State != Left && m.now < member.changedAt+m.cfg.StableAfter {
			return false
		}
		changed = changed || current != member.inView
		member.inView = current
		return true
	})
	self := viewEntryOf(m.self, m.participation == active)
	if m.participation == superseded {
		holder := m.members[m.self.Name].Entry
		self = viewEntryOf(holder, holder.State.Live())
	}
	if changed = changed || self != m.selfInView; !changed {
		return
	}
	m.selfInView = self
	next := View{Version: m.view.Version + 1}
	add := func(name string, entry viewEntry) {
		if entry != (viewEntry{}) {
			next.Members = append(next.Members, Member{Name: name, Addr: entry.addr, Session: entry.session, DuplicateName: entry.duplicateName, Zone: entry.zone})
		}
	}
	for _, member := range m.sorted {
		add(member.Name, member.inView)
	}
	add(m.self.Name, self)
	slices.SortFunc(next.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	next.Digest = viewDigest(next.Members)
	m.view = next
}

// viewDigest returns the digest of members sorted by name.
func viewDigest(members []Member) uint64 {
	hash := xxhash.New()
	for _, member := range members {
		var buf [9]byte
		binary.BigEndian.PutUint64(buf[:], member.Session)
		if member.DuplicateName {
			buf[8] = 1
		}
		_, _ = hash.WriteString(member.Name)
		_, _ = hash.Write(buf[:])
	}
	return hash.Sum64()
}
