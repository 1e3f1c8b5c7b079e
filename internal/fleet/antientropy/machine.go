// Package antientropy keeps moments of databases that only rise (how far each has applied its log, when it last answered
// as primary) alike in all gateways, under a budget of bytes. It is a state machine without input or output: messages and
// moments go in, messages come out, and all chance comes from a seed.
//
// The protocol is Scuttlebutt reconciliation with flow control (van Renesse, Dumitriu, Gough, Thomas: "Efficient
// Reconciliation and Flow Control for Anti-Entropy Protocols", LADIS 2008), as pulls. At a pace that follows from its
// budget a gateway sends one other a digest: the databases of which its knowledge is oldest, and the newest moment among
// those. The answer has what is newer by a step, the largest gain first, as far as the answerer's budget and a datagram
// go. One whose budget is spent says so, and the asker halves what it asks; with each answer that was whole it asks for
// a little more (additive increase, multiplicative decrease). The version of a value is here the value itself, and the
// greatest prevails wherever copies differ (a state-based CRDT with the maximum as its join).
package antientropy

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	datagram          = 1200
	paceBytes         = 200 // an ask may go out for so many bytes of its half of the budget
	paceLeast         = 100 * time.Millisecond
	paceMost          = time.Second
	again             = 500 * time.Millisecond // after which a database is asked for again; doubled while that brings nothing
	againMost         = 4 * time.Second
	settled           = 5                // steps; of what is older the digest tells each moment, and any gain is news
	ahead             = time.Second      // a moment so far past the own clock is not believed
	byName            = 10 * time.Second // one whose list is another is asked by name for so long
	othersMost        = 64
	tellings          = 3    // of a rise that others will hardly have heard of
	windowMost        = 128  // a wider one asks for the freshest of many, and leaves the oldest waiting
	nearShare         = 0.75 // of asks go to the own zone
	windowFirst       = 64
	windowLeast       = 8
	windowGrow        = 8
	MinBytesPerSecond = 400 // a second: one ask and one answer
	MaxBytesPerSecond = 1_000_000
)

// Config is what a machine is told at its start.
type Config struct {
	Name, Zone      string
	Seed            uint64
	BytesPerSecond  int           // a second, of all that is sent
	MessageOverhead int           // bytes that each message takes besides its own
	Step            time.Duration // less is no news
}

// Member is a gateway that can be asked.
type Member struct{ Name, Zone string }

// Send is a message to a member. Body is the message as it goes out.
type Send struct {
	To   string
	Body []byte
}

// Counts are what has happened since the start.
type Counts struct {
	Learned        uint64 // moments that this gateway heard from a database and that were news
	Received       uint64 // from other gateways
	Outdated       uint64 // heard, and not news
	Future         uint64 // heard, and past the clock
	Unknown        uint64 // heard, of databases that are not listed here
	Requests       uint64 // asks sent
	Wanted         uint64 // databases in them
	Answered       uint64 // asks answered
	EntriesSent    uint64 // moments in answers and asks
	Truncated      uint64 // answers that had not room for all
	Refused        uint64 // asks not answered for want of budget
	PeerBusy       uint64 // asks of this gateway that others refused
	ListMismatches uint64 // asks by index that met another list, on either side
	Bytes          uint64 // sent, with the overhead
}

// database is what is known of one.
type database struct {
	host string
	at   time.Duration
	hold time.Duration // it is not asked for before
	wait time.Duration // how long it is held the next time
	tell int           // so many times more it is told unasked
	rose time.Duration // by how much, then
}

// Machine is one gateway's copy. Use New. Nothing here is locked.
type Machine struct {
	cfg      Config
	rnd      *rand.Rand
	all      []string // who can be asked
	near     []string // of these, the ones in the own zone
	list     []database
	index    map[string]int
	digest   uint64
	asks     float64 // bytes in hand, for asks and for answers
	answers  float64
	filled   time.Duration
	next     time.Duration
	pace     time.Duration
	window   int                      // databases asked for at once
	horizon  time.Duration            // how old the youngest of the last ask was, where not all that is old went in
	others   map[string]time.Duration // whose list is another, until when that is taken for so
	retry    string                   // who is asked next, by name
	last     []int                    // what the last ask by index wanted
	newcomer bool                     // of many databases nothing is known: that what others tell is new here does not mean that it is to them
	order    []int
	counts   Counts
}

// New makes an empty copy.
func New(cfg Config, now time.Duration) *Machine {
	m := &Machine{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 0x616e7469)), index: map[string]int{}, others: map[string]time.Duration{}, filled: now, window: windowFirst}
	m.asks, m.answers = m.most(), m.most()
	m.pace = time.Duration(paceBytes / m.most() * float64(time.Second))
	m.pace = min(max(m.pace, paceLeast), paceMost)
	m.next = now + time.Duration(m.rnd.Int64N(int64(m.pace)))
	return m
}

// most is what either half of the budget holds: what half a second of the whole brings.
func (m *Machine) most() float64 { return float64(m.cfg.BytesPerSecond) / 2 }

// fill has both halves grow. What one cannot hold is the other's.
func (m *Machine) fill(now time.Duration) {
	half := max(0, now-m.filled).Seconds() * float64(m.cfg.BytesPerSecond) / 2
	m.filled = max(now, m.filled)
	m.asks += half
	m.answers += half
	over := max(0, m.asks-m.most())
	more := max(0, m.answers-m.most())
	m.asks = min(m.asks+more, m.most())
	m.answers = min(m.answers+over, m.most())
}

// SetMembers tells who can be asked.
func (m *Machine) SetMembers(members []Member) {
	m.all, m.near, m.retry = nil, nil, ""
	for _, o := range members {
		if o.Name == m.cfg.Name {
			continue
		}
		m.all = append(m.all, o.Name)
		if o.Zone == m.cfg.Zone && m.cfg.Zone != "" {
			m.near = append(m.near, o.Name)
		}
	}
}

// SetDatabases tells which databases there are. What is known of others is dropped, and of no other anything is kept.
func (m *Machine) SetDatabases(hosts []string) {
	hosts = slices.Compact(slices.Sorted(slices.Values(hosts)))
	hosts = slices.DeleteFunc(hosts, func(h string) bool { return h == "" || len(h) > hostMost })
	hosts = hosts[:min(len(hosts), indexMost)]
	list, index := make([]database, len(hosts)), make(map[string]int, len(hosts))
	for i, h := range hosts {
		list[i] = database{host: h, wait: again}
		if k, ok := m.index[h]; ok {
			list[i] = m.list[k]
		}
		index[h] = i
	}
	m.list, m.index, m.last = list, index, nil
	clear(m.others)
	m.digest = max(1, xxhash.Sum64String(strings.Join(hosts, "\x00")))
}

// Observe takes in what a database told this gateway; false: it is not listed.
func (m *Machine) Observe(host string, at time.Duration) bool {
	i, ok := m.index[host]
	if ok && m.raise(i, at, true) {
		m.counts.Learned++
	}
	return ok
}

// raise keeps the greatest. A rise far over what is usual here is told unasked: others will hardly know of it.
func (m *Machine) raise(i int, at time.Duration, learned bool) bool {
	d := &m.list[i]
	if at <= d.at {
		return false
	}
	if rose := at - d.at; rose >= max(settled*m.cfg.Step, 2*m.horizon) && (learned || d.at > 0 || !m.newcomer) {
		d.tell, d.rose = tellings, rose
	}
	d.at, d.wait, d.hold = at, again, 0
	return true
}

// place is where a claim's database stands in the list.
func (m *Machine) place(msg *Message, c Entry) (i int, ok bool) {
	if msg.ListDigest == 0 {
		i, ok = m.index[c.Host]
		return i, ok
	}
	return c.Index, c.Index < len(m.list)
}

// join takes in what another gateway tells.
func (m *Machine) join(now time.Duration, msg *Message) (news []Entry) {
	for _, c := range msg.Entries {
		i, ok := m.place(msg, c)
		switch {
		case c.At == 0: // a question alone
		case !ok:
			m.counts.Unknown++
		case c.At > now+ahead:
			m.counts.Future++
		case !m.raise(i, c.At, false):
			m.counts.Outdated++
		default:
			m.counts.Received++
			news = append(news, Entry{Index: i, Host: m.list[i].host, At: c.At})
		}
	}
	return news
}

// NextTick is when Tick is to be called.
func (m *Machine) NextTick() time.Duration { return m.next }

// Tick sends an ask if one is due, there is something to ask for or to tell, and the budget has room.
func (m *Machine) Tick(now time.Duration) (out []Send) {
	if now < m.next {
		return nil
	}
	m.next = now + m.pace*3/4 + time.Duration(m.rnd.Int64N(int64(m.pace)/2))
	m.fill(now)
	if len(m.all) == 0 || len(m.list) == 0 {
		return nil
	}
	msg := Message{Kind: Request, From: m.cfg.Name, ListDigest: m.digest}
	to := m.partner()
	if now < m.others[to] {
		msg.ListDigest = 0
	}
	stale, aged, left := m.needed(now)
	told := m.toTell()
	if len(told)+len(stale)+len(aged) == 0 {
		return nil
	}
	// What does not fit is left out.
	var body []byte
	for {
		m.compose(&msg, told, stale, aged)
		body = msg.Append(nil)
		if len(body) <= min(int(m.asks), datagram)-m.cfg.MessageOverhead {
			break
		}
		told, stale, aged = told[:len(told)*3/4], stale[:len(stale)*3/4], aged[:len(aged)*3/4]
		if left = true; len(told)+len(stale)+len(aged) == 0 {
			return nil
		}
	}
	m.horizon = 0
	if left {
		m.horizon = settled * m.cfg.Step
		if n := len(aged); n > 0 {
			m.horizon = now - m.list[aged[n-1]].at
		}
	}
	for _, i := range told {
		m.list[i].tell--
	}
	wanted := append(slices.Clone(stale), aged...)
	for _, i := range wanted {
		d := &m.list[i]
		d.hold = now + d.wait
		d.wait = min(2*d.wait, againMost)
	}
	m.asks -= float64(len(body) + m.cfg.MessageOverhead)
	m.sent(body)
	m.counts.Requests++
	m.counts.Wanted += uint64(len(wanted))
	m.counts.EntriesSent += uint64(len(told))
	m.last = wanted
	return []Send{{To: to, Body: body}}
}

// partner draws who is asked: one of the own zone mostly, so that few messages cross between zones.
func (m *Machine) partner() string {
	if to := m.retry; to != "" {
		m.retry = ""
		return to
	}
	from := m.all
	if len(m.near) > 0 && m.rnd.Float64() < nearShare {
		from = m.near
	}
	return from[m.rnd.IntN(len(from))]
}

func (m *Machine) sent(body []byte) { m.counts.Bytes += uint64(len(body) + m.cfg.MessageOverhead) }

// toTell are the databases whose rise others will hardly have heard of, the greatest first.
func (m *Machine) toTell() (list []int) {
	for i := range m.list {
		if m.list[i].tell > 0 {
			list = append(list, i)
		}
	}
	slices.SortFunc(list, func(a, b int) int { return cmp.Compare(m.list[b].rose, m.list[a].rose) })
	return list[:min(len(list), max(windowLeast, m.window/4))]
}

// needed are the databases to ask for, those of which least is known first: stale, for which the digest tells each
// moment, and aged, which are asked for together. There may be more: left.
func (m *Machine) needed(now time.Duration) (stale, aged []int, left bool) {
	list, unknown := m.order[:0], 0
	for i := range m.list {
		d := &m.list[i]
		if d.at == 0 {
			unknown++
		}
		if now >= d.hold && now-d.at >= m.cfg.Step {
			list = append(list, i)
		}
	}
	m.order, m.newcomer = list, 8*unknown > len(m.list)
	slices.SortFunc(list, func(a, b int) int { return cmp.Compare(m.list[a].at, m.list[b].at) })
	left = len(list) > m.window
	list = list[:min(len(list), m.window)]
	n, _ := slices.BinarySearchFunc(list, now-settled*m.cfg.Step, func(i int, at time.Duration) int { return cmp.Compare(m.list[i].at, at) })
	return list[:n], list[n:], left
}

// compose fills an ask.
func (m *Machine) compose(msg *Message, told, stale, aged []int) {
	msg.WantIndexes, msg.WantNames, msg.Floor = nil, nil, 0
	for _, i := range aged {
		msg.Floor = max(msg.Floor, m.list[i].at)
		if msg.ListDigest != 0 {
			msg.WantIndexes = append(msg.WantIndexes, i)
		} else {
			msg.WantNames = append(msg.WantNames, m.list[i].host)
		}
	}
	slices.Sort(msg.WantIndexes)
	slices.Sort(msg.WantNames)
	msg.Entries = m.claims(append(slices.Clone(told), stale...), msg.ListDigest)
}

func (m *Machine) claims(list []int, digest uint64) (claims []Entry) {
	for _, i := range slices.Compact(slices.Sorted(slices.Values(list))) {
		c := Entry{Index: i, At: m.list[i].at}
		if digest == 0 {
			c = Entry{Host: m.list[i].host, At: c.At}
		}
		claims = append(claims, c)
	}
	return claims
}

// Receive takes in a message; it returns what is news here, and the answer.
func (m *Machine) Receive(now time.Duration, msg Message) (out []Send, news []Entry) {
	if msg.From == m.cfg.Name {
		return nil, nil
	}
	m.fill(now)
	if msg.ListDigest != 0 && msg.ListDigest != m.digest {
		m.counts.ListMismatches++
		if msg.Kind == Request {
			return m.reply(&msg, Message{Kind: ListMismatch, From: m.cfg.Name}), nil
		}
		return nil, nil
	}
	news = m.join(now, &msg)
	switch msg.Kind {
	case Request:
		out = m.answer(&msg)
	case Response:
		if !msg.Truncated {
			m.window = min(m.window+windowGrow, windowMost)
		}
	case Busy:
		m.counts.PeerBusy++
		m.window = max(windowLeast, m.window/2)
	case ListMismatch:
		m.differs(now, msg.From)
	}
	return out, news
}

// differs has a gateway asked once more, by name.
func (m *Machine) differs(now time.Duration, name string) {
	m.counts.ListMismatches++
	if !slices.Contains(m.all, name) || now < m.others[name] {
		return
	}
	if len(m.others) >= othersMost {
		clear(m.others)
	}
	m.others[name], m.retry = now+byName, name
	for _, i := range m.last {
		m.list[i].hold = 0
	}
	m.last = nil
}

// reply sends a message without claims, if there is room for it.
func (m *Machine) reply(to *Message, msg Message) []Send {
	body := msg.Append(nil)
	if m.answers < float64(len(body)+m.cfg.MessageOverhead) {
		return nil
	}
	m.answers -= float64(len(body) + m.cfg.MessageOverhead)
	m.sent(body)
	return []Send{{To: to.From, Body: body}}
}

// answer tells what is newer than an ask has it, the largest gain first.
func (m *Machine) answer(ask *Message) []Send {
	var list []int
	gain := map[int]time.Duration{}
	add := func(i int, over, step time.Duration) {
		if at := m.list[i].at; at >= over+step && gain[i] == 0 {
			gain[i] = at - over
			list = append(list, i)
		}
	}
	for _, c := range ask.Entries {
		if i, ok := m.place(ask, c); ok {
			add(i, c.At, grain)
		}
	}
	for _, i := range ask.WantIndexes {
		if i < len(m.list) {
			add(i, ask.Floor, m.cfg.Step)
		}
	}
	for _, h := range ask.WantNames {
		if i, ok := m.index[h]; ok {
			add(i, ask.Floor, m.cfg.Step)
		}
	}
	if len(list) == 0 {
		return nil
	}
	slices.SortFunc(list, func(a, b int) int { return cmp.Compare(gain[b], gain[a]) })
	msg := Message{Kind: Response, From: m.cfg.Name, ListDigest: ask.ListDigest}
	busy := Message{Kind: Busy, From: m.cfg.Name} // there is always room to say so once
	room := min(int(m.answers)-len(busy.Append(nil))-m.cfg.MessageOverhead, datagram) - m.cfg.MessageOverhead
	for {
		msg.Entries = m.claims(list, msg.ListDigest)
		body := msg.Append(nil)
		if len(body) <= room {
			m.answers -= float64(len(body) + m.cfg.MessageOverhead)
			m.sent(body)
			m.counts.Answered++
			m.counts.EntriesSent += uint64(len(list))
			if msg.Truncated {
				m.counts.Truncated++
			}
			return []Send{{To: ask.From, Body: body}}
		}
		msg.Truncated = true
		list = list[:len(list)*7/8]
		if len(list) == 0 {
			m.counts.Refused++
			return m.reply(ask, busy)
		}
	}
}

// TimeOf is how far a database is known to be; 0: nothing is known.
func (m *Machine) TimeOf(host string) time.Duration {
	if i, ok := m.index[host]; ok {
		return m.list[i].at
	}
	return 0
}

// Counts are figures since the start.
func (m *Machine) Counts() Counts { return m.counts }

// Window is how many databases an ask names at most, as flow control has it now.
func (m *Machine) Window() int { return m.window }

// Ages is how old what is known is, in no order.
func (m *Machine) Ages(now time.Duration) (list []time.Duration) {
	for i := range m.list {
		if at := m.list[i].at; at > 0 {
			list = append(list, max(0, now-at))
		}
	}
	return list
}

// AgePercentiles tells how old what is known is: of half of the databases, and of all but one in a hundred, it is no older. Unknown
// are those of which nothing is known.
func (m *Machine) AgePercentiles(now time.Duration) (p50, p99 time.Duration, unknown int) {
	list := m.Ages(now)
	if unknown = len(m.list) - len(list); len(list) == 0 {
		return 0, 0, unknown
	}
	slices.Sort(list)
	return list[len(list)/2], list[(len(list)-1)*99/100], unknown
}
