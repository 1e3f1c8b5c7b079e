package membership

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// take is a message that has come.
func (m *Machine) take(msg Message, via uint64) {
	from := msg.From
	if from.Name == m.own.Name && from.Session == m.own.Session {
		for i := range m.seeds {
			if m.seeds[i].seq == msg.Seq && msg.Kind == Ping {
				m.seeds[i].name = m.own.Name // one of the seeds is this gateway
			}
		}
		return
	}
	if from.Name == m.own.Name && msg.Observer {
		m.claim(from)
	} else if !msg.Observer {
		m.learn(from)
	} else if o := m.members[from.Name]; o != nil && o.Session == from.Session {
		m.learn(from) // it has left
	}
	whole := msg.Kind == Exchange || msg.Kind == Reply
	told := 0
	for _, e := range msg.Updates {
		if whole && e.State == Dead && e.Name != m.own.Name {
			told += m.disputed(e, from.Name, told < tellMost)
			continue
		}
		m.learn(e)
	}
	switch msg.Kind {
	case Ping:
		m.pinged(msg)
	case PingReq:
		m.help(msg)
	case Ack:
		m.acked(msg)
	case Nack:
		if p := m.probe; p != nil && p.seq == msg.Seq && p.nacks < p.asked {
			p.nacks++
		}
	case Sync:
		if msg.Digest != m.sum() && m.standing == active {
			m.counts.Exchanges++
			m.post(Send{To: from.Name, Addr: from.Addr, Stream: true, Message: Message{Kind: Exchange}}, from.Session)
		}
	case Exchange:
		if via != 0 {
			m.answer(from, via, Message{Kind: Reply})
		}
	}
}

// pinged answers a probe. One for another process at this address tells that that process has ended.
func (m *Machine) pinged(msg Message) {
	switch {
	case msg.Target == "" || msg.Target == m.own.Name && msg.Session == m.own.Session:
		if m.standing == active || msg.Target == "" {
			m.answer(msg.From, 0, Message{Kind: Ack, Seq: msg.Seq})
		} else if m.standing == left {
			m.tell(m.own)
			m.answer(msg.From, 0, Message{Kind: Gossip})
		}
	case msg.Target == m.own.Name:
		if m.standing == superseded {
			if holder := m.members[m.own.Name]; holder != nil && holder.Session == msg.Session && holder.Addr == m.own.Addr {
				m.resume(holder.Incarnation)
			}
		}
		m.answer(msg.From, 0, Message{Kind: Gossip})
	default:
		m.answer(msg.From, 0, Message{Kind: Gossip}) // another name lives at this address now
	}
}

// help probes a member for another gateway.
func (m *Machine) help(msg Message) {
	if len(m.relays) >= relaysMost || m.standing != active || msg.Target == m.own.Name {
		return
	}
	m.seq++
	m.relays = append(m.relays, relay{
		seq: m.seq, origin: msg.Seq, asker: msg.From, nack: m.now + m.cfg.ProbeTimeout/2, last: m.now + 2*m.cfg.ProbePeriod,
	})
	to := Entry{Name: msg.Target, Addr: msg.Addr}
	m.answer(to, 0, Message{Kind: Ping, Seq: m.seq, Target: msg.Target, Session: msg.Session})
}

// acked is the answer to a probe, one's own or one made for another.
func (m *Machine) acked(msg Message) {
	if p := m.probe; p != nil && p.seq == msg.Seq {
		m.probe = nil
		m.improve()
		return
	}
	for i, r := range m.relays {
		if r.seq == msg.Seq {
			m.relays = slices.Delete(m.relays, i, i+1)
			m.answer(r.asker, 0, Message{Kind: Ack, Seq: r.origin})
			return
		}
	}
	reached := slices.Contains(m.reaching, msg.Seq)
	for i := range m.seeds {
		if s := &m.seeds[i]; s.seq == msg.Seq && msg.Seq != 0 {
			s.seq, s.name = 0, msg.From.Name
			reached = msg.From.Name != m.own.Name
		}
	}
	if reached {
		m.reaching = slices.DeleteFunc(m.reaching, func(n uint64) bool { return n == msg.Seq })
		if o := m.members[msg.From.Name]; o != nil {
			m.stream(o, Message{Kind: Exchange})
		}
	}
}

// claim is another process that bears this gateway's name and is no member for that.
func (m *Machine) claim(from Entry) {
	if m.standing != active || m.beside {
		return
	}
	m.claimed = m.now
	if !m.own.DuplicateName {
		m.own.DuplicateName = true
		m.counts.DuplicateNames++
		m.raise(m.own.Incarnation)
		m.changes = append(m.changes, Change{Entry: m.own})
	}
}

// newer tells whether an entry prevails over another of the same member.
func newer(e, over Entry) bool {
	switch {
	case e.Incarnation != over.Incarnation:
		return e.Incarnation > over.Incarnation
	case e.Session != over.Session:
		return e.Session > over.Session
	}
	return e.State > over.State
}

// learn takes in what is said of a member.
func (m *Machine) learn(e Entry) {
	if e.Name == m.own.Name {
		m.heardOfSelf(e)
		return
	}
	gone := time.Duration(e.GoneForMS) * time.Millisecond
	e.GoneForMS = 0
	o := m.members[e.Name]
	if o == nil {
		m.welcome(e, gone)
		return
	}
	if e.State == Suspect && o.place >= 0 && e.Incarnation == o.Incarnation && e.Session == o.Session {
		m.suspect(o, e)
		return
	}
	if !newer(e, o.Entry) {
		return
	}
	m.settle(o)
	if e.State == Suspect {
		m.suspect(o, e)
		return
	}
	m.set(o, e)
	m.tell(e)
}

// welcome takes in a member that was not known, also one that has been gone for a while, but not one that all forget by now.
func (m *Machine) welcome(e Entry, gone time.Duration) {
	if !e.State.Live() && gone >= forget {
		return
	}
	if len(m.members) >= m.cfg.MaxMembers && !m.makeRoom() {
		m.counts.Overflow++
		return
	}
	o := &member{Entry: e, place: -1, since: m.now, moved: m.now}
	o.State = Dead // until set
	i, _ := m.find(e.Name)
	m.members[e.Name] = o
	m.names = slices.Insert(m.names, i, o)
	if e.State == Suspect {
		m.suspect(o, e)
	} else {
		m.set(o, e)
		m.tell(e)
	}
	if !e.State.Live() {
		o.since = m.now - gone
	}
	m.changes[len(m.changes)-1].New = true
}

// makeRoom forgets the one that has been gone longest.
func (m *Machine) makeRoom() bool {
	var oldest *member
	for _, o := range m.names {
		if o.place < 0 && o.shown == (key{}) && (oldest == nil || o.since < oldest.since) {
			oldest = o
		}
	}
	if oldest == nil {
		return false
	}
	m.drop(oldest)
	return true
}

// settle ends a suspicion.
func (m *Machine) settle(o *member) {
	if o.doubt != nil {
		o.doubt = nil
		m.doubted = slices.DeleteFunc(m.doubted, func(x *member) bool { return x == o })
	}
}

// set changes what is known of a member.
func (m *Machine) set(o *member, e Entry) {
	was := o.Entry
	if e.State != Suspect {
		m.settle(o)
	}
	o.Entry = e
	m.digest = 0
	if was.State != e.State {
		o.since = m.now
	}
	m.changes = append(m.changes, Change{Entry: e, Previous: was.State})
	switch {
	case e.State.Live() && o.place < 0:
		o.place = len(m.live)
		m.live = append(m.live, o)
		// It is probed somewhere in this round.
		m.round = slices.Insert(m.round, m.rnd.IntN(len(m.round)+1), o)
	case !e.State.Live() && o.place >= 0:
		last := m.live[len(m.live)-1]
		m.live[o.place], last.place = last, o.place
		m.live = m.live[:len(m.live)-1]
		o.place = -1
		m.round = slices.DeleteFunc(m.round, func(x *member) bool { return x == o })
	}
	if before := show(was, was.State.Live()); show(e, o.place >= 0) != before || e.State == Left {
		o.moved = m.now
		if !slices.Contains(m.moving, o) {
			m.moving = append(m.moving, o)
		}
	}
}

// disputed is a member that another gateway takes for dead and this one does not: the member is told, so that it
// can refute, and doubted for the longest time.
func (m *Machine) disputed(e Entry, by string, tell bool) int {
	o := m.members[e.Name]
	if o == nil || o.place < 0 {
		m.learn(e)
		return 0
	}
	if newer(o.Entry, e) {
		return 0
	}
	if o.doubt == nil {
		d := o.Entry
		d.Incarnation, d.Session, d.State, d.SuspectedBy = max(d.Incarnation, e.Incarnation), e.Session, Suspect, by
		m.suspect(o, d)
	}
	if !tell {
		return 0
	}
	m.seq++
	m.answer(o.Entry, 0, Message{Kind: Ping, Seq: m.seq, Updates: []Entry{e}})
	return 1
}

// heardOfSelf is what others say of this gateway's name.
func (m *Machine) heardOfSelf(e Entry) {
	if e.Session == m.own.Session {
		switch {
		case m.standing == left:
			if e.State != Left && e.Incarnation >= m.own.Incarnation {
				m.own.Incarnation = e.Incarnation
				m.tell(m.own)
			}
		case e.State != Alive && e.Incarnation >= m.own.Incarnation:
			if m.standing == active {
				m.counts.Refutations++
				m.worsen(1)
				m.raise(e.Incarnation)
			}
		}
		return
	}
	older := !newer(e, m.own)
	holder := m.members[m.own.Name]
	switch {
	case m.standing == superseded && holder != nil:
		if !newer(e, holder.Entry) {
			return
		}
		if e.State.Live() {
			if e.DuplicateName && !holder.DuplicateName {
				m.changes = append(m.changes, Change{Entry: e})
			}
			holder.Entry = e
			return
		}
		m.resume(e.Incarnation)
	case m.standing == left && newer(e, m.own):
		m.own.Incarnation = e.Incarnation // a successor has the name; an own return comes after it
	case older:
		if e.State.Live() && !slices.ContainsFunc(m.queue, func(n news) bool { return n.e.Session == m.own.Session }) {
			m.tell(m.own) // somebody has not heard of this process
		}
	case e.State.Live() && e.Addr == m.own.Addr && m.takeovers < takeoversMost:
		// Who had the name was where this process is now, so it has ended; its clock was ahead.
		m.takeovers++
		m.raise(e.Incarnation)
	case e.State.Live():
		m.standing, m.probe = superseded, nil
		m.counts.Superseded++
		m.own.DuplicateName = false
		m.queue = slices.DeleteFunc(m.queue, func(n news) bool { return n.e.Name == m.own.Name })
		m.members[e.Name] = &member{Entry: e, place: -1}
		m.nextObserve = m.now
		m.tell(e)
		m.digest = 0
		m.changes = append(m.changes, Change{Entry: e, Previous: Alive})
	default:
		m.raise(e.Incarnation) // a predecessor, as its clock was ahead
	}
}

// resume takes the name back: who had it has ended.
func (m *Machine) resume(over uint64) {
	was := m.members[m.own.Name]
	delete(m.members, m.own.Name)
	m.standing = active
	m.digest = 0
	m.raise(over)
	m.nextProbe = m.now + m.part(m.cfg.ProbePeriod)
	m.changes = append(m.changes, Change{Entry: m.own, Previous: was.State})
}

// show is what a view has of a member.
func show(e Entry, live bool) key {
	if !live {
		return key{}
	}
	return key{session: e.Session, addr: e.Addr, twice: e.DuplicateName, zone: e.Zone}
}

// show brings the view up to date.
func (m *Machine) show() {
	changed := false
	m.moving = slices.DeleteFunc(m.moving, func(o *member) bool {
		now := show(o.Entry, o.place >= 0)
		if now != o.shown && o.State != Left && m.now < o.moved+m.cfg.StableAfter {
			return false
		}
		changed = changed || now != o.shown
		o.shown = now
		return true
	})
	own := show(m.own, m.standing == active)
	if m.standing == superseded {
		holder := m.members[m.own.Name].Entry
		own = show(holder, holder.State.Live())
	}
	if changed = changed || own != m.shownOwn; !changed {
		return
	}
	m.shownOwn = own
	v := View{Version: m.view.Version + 1}
	add := func(name string, k key) {
		if k != (key{}) {
			v.Members = append(v.Members, Member{Name: name, Addr: k.addr, Session: k.session, DuplicateName: k.twice, Zone: k.zone})
		}
	}
	for _, o := range m.names {
		add(o.Name, o.shown)
	}
	add(m.own.Name, own)
	slices.SortFunc(v.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	v.Digest = digest(v.Members)
	m.view = v
}

// digest is one of members sorted by name.
func digest(list []Member) uint64 {
	h := xxhash.New()
	for _, o := range list {
		var b [9]byte
		binary.BigEndian.PutUint64(b[:], o.Session)
		if o.DuplicateName {
			b[8] = 1
		}
		_, _ = h.WriteString(o.Name)
		_, _ = h.Write(b[:])
	}
	return h.Sum64()
}
