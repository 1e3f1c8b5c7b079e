// Package antientropy keeps times of databases that only increase (how far each has applied its log, when it last answered
// as primary) synchronized between all gateways, within a budget of bytes. It is a state machine without input or output:
// messages and times go in, messages come out, and all randomness comes from a seed.
//
// The protocol is Scuttlebutt reconciliation with flow control (van Renesse, Dumitriu, Gough, Thomas: "Efficient
// Reconciliation and Flow Control for Anti-Entropy Protocols", LADIS 2008), with pulls. At an interval that follows from
// its budget a gateway sends one other gateway a digest: the databases of which its knowledge is oldest, and the newest
// time among those. The response has what is newer by a step, the largest gain first, as far as the responder's budget and
// a datagram allow. A responder whose budget is spent answers busy, and the requester halves its window; with each response
// that was complete it widens the window a little (additive increase, multiplicative decrease). The version of a value is
// here the value itself, and the greatest prevails wherever copies differ (a state-based CRDT with the maximum as its
// join).
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
	maxDatagramBytes  = 1200
	bytesPerRequest   = 200 // that its half of the budget earns between two requests; bounded by the intervals below
	minInterval       = 100 * time.Millisecond
	maxInterval       = time.Second
	retryDelay        = 500 * time.Millisecond // before a database is asked for again; doubled while nothing newer comes
	maxRetryDelay     = 4 * time.Second
	agedSteps         = 5                // times older than this many steps are stale: the digest has each of them, and any gain counts
	maxFuture         = time.Second      // times further ahead of the own clock are rejected
	byNameDuration    = 10 * time.Second // how long a gateway with another list is asked by name
	maxMismatched     = 64               // gateways with another list that are remembered
	pushCount         = 3                // requests that push a large rise
	maxWindow         = 128              // a wider window asks for the freshest of many and leaves the oldest waiting
	sameZoneShare     = 0.75             // of requests go to the own zone
	initialWindow     = 64
	minWindow         = 8
	windowIncrement   = 8
	MinBytesPerSecond = 400 // one request and one response
	MaxBytesPerSecond = 1_000_000
)

// Config holds the parameters of a machine.
type Config struct {
	Name, Zone      string
	Seed            uint64
	BytesPerSecond  int           // of all that is sent
	MessageOverhead int           // bytes that each message takes besides its body
	Step            time.Duration // a smaller rise is not sent
}

// Member is a gateway that requests can go to.
type Member struct{ Name, Zone string }

// Send is a message to a member. Body is the encoded message.
type Send struct {
	To   string
	Body []byte
}

// Counts are totals since the start.
type Counts struct {
	Learned        uint64 // times from a database that were newer
	Received       uint64 // times from other gateways that were newer
	Outdated       uint64 // received, but not newer
	Future         uint64 // received, but too far ahead of the clock
	Unknown        uint64 // received, of databases that are not listed here
	Requests       uint64 // requests sent
	Wanted         uint64 // databases in them
	Answered       uint64 // requests answered
	EntriesSent    uint64 // times in requests and responses
	Truncated      uint64 // responses that were too small for all
	Refused        uint64 // requests not answered for lack of budget
	PeerBusy       uint64 // own requests that others refused
	ListMismatches uint64 // requests by index that met another list, on either side
	Bytes          uint64 // sent, with the overhead
}

// database is what is known of one database.
type database struct {
	host    string
	known   time.Duration // the greatest known time
	retryAt time.Duration // it is not asked for earlier
	backoff time.Duration // the delay of the next retry
	pushes  int           // in how many more requests it is pushed
	rise    time.Duration // by how much it rose then
}

// Machine is one gateway's copy. Use New. It is not safe for concurrent use.
type Machine struct {
	cfg             Config
	rnd             *rand.Rand
	peers           []string // live members
	zonePeers       []string // those in the own zone
	databases       []database
	index           map[string]int
	listDigest      uint64
	requestTokens   float64 // bytes left for requests and for responses
	responseTokens  float64
	refilledAt      time.Duration
	nextRequest     time.Duration
	interval        time.Duration
	window          int                      // databases asked for at once
	youngestAge     time.Duration            // age of the youngest entry of the last request, if that could not cover all old ones
	mismatchedUntil map[string]time.Duration // members with another list, and until when that is assumed
	retryPeer       string                   // member that the next request goes to, by name
	lastWanted      []int                    // databases wanted by the last request by index
	manyUnknown     bool                     // nothing is known of more than an eighth of the databases: what is new here may be old to others
	scratch         []int                    // reused by selectWanted
	counts          Counts
}

// New makes an empty copy.
func New(cfg Config, now time.Duration) *Machine {
	m := &Machine{
		cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 0x616e7469)), index: map[string]int{}, mismatchedUntil: map[string]time.Duration{},
		refilledAt: now, window: initialWindow,
	}
	m.requestTokens, m.responseTokens = m.capacity(), m.capacity()
	m.interval = time.Duration(bytesPerRequest / m.capacity() * float64(time.Second))
	m.interval = min(max(m.interval, minInterval), maxInterval)
	m.nextRequest = now + time.Duration(m.rnd.Int64N(int64(m.interval)))
	return m
}

// capacity returns how many bytes either half of the budget holds: what the whole budget earns in half a second.
func (m *Machine) capacity() float64 { return float64(m.cfg.BytesPerSecond) / 2 }

// refill adds the earned bytes to both halves of the budget. The excess of one goes to the other.
func (m *Machine) refill(now time.Duration) {
	half := max(0, now-m.refilledAt).Seconds() * float64(m.cfg.BytesPerSecond) / 2
	m.refilledAt = max(now, m.refilledAt)
	m.requestTokens += half
	m.responseTokens += half
	excessRequest := max(0, m.requestTokens-m.capacity())
	excessResponse := max(0, m.responseTokens-m.capacity())
	m.requestTokens = min(m.requestTokens+excessResponse, m.capacity())
	m.responseTokens = min(m.responseTokens+excessRequest, m.capacity())
}

// SetMembers sets the live members; the own name among them is ignored.
func (m *Machine) SetMembers(members []Member) {
	m.peers, m.zonePeers, m.retryPeer = nil, nil, ""
	for _, member := range members {
		if member.Name == m.cfg.Name {
			continue
		}
		m.peers = append(m.peers, member.Name)
		if member.Zone == m.cfg.Zone && m.cfg.Zone != "" {
			m.zonePeers = append(m.zonePeers, member.Name)
		}
	}
}

// SetDatabases sets the list of databases. What is known of databases not in it is dropped.
func (m *Machine) SetDatabases(hosts []string) {
	hosts = slices.Compact(slices.Sorted(slices.Values(hosts)))
	hosts = slices.DeleteFunc(hosts, func(name string) bool { return name == "" || len(name) > maxHostBytes })
	hosts = hosts[:min(len(hosts), maxDatabases)]
	databases, index := make([]database, len(hosts)), make(map[string]int, len(hosts))
	for i, name := range hosts {
		databases[i] = database{host: name, backoff: retryDelay}
		if previous, ok := m.index[name]; ok {
			databases[i] = m.databases[previous]
		}
		index[name] = i
	}
	m.databases, m.index, m.lastWanted = databases, index, nil
	clear(m.mismatchedUntil)
	m.listDigest = max(1, xxhash.Sum64String(strings.Join(hosts, "\x00")))
}

// Observe records a time that a database reported to this gateway; false: it is not listed.
func (m *Machine) Observe(host string, at time.Duration) bool {
	i, ok := m.index[host]
	if ok && m.advance(i, at, true) {
		m.counts.Learned++
	}
	return ok
}

// advance keeps the greater time. A rise far above what is usual here is pushed without a request, since other gateways are
// unlikely to have it.
func (m *Machine) advance(i int, at time.Duration, learned bool) bool {
	d := &m.databases[i]
	if at <= d.known {
		return false
	}
	if rise := at - d.known; rise >= max(agedSteps*m.cfg.Step, 2*m.youngestAge) && (learned || d.known > 0 || !m.manyUnknown) {
		d.pushes, d.rise = pushCount, rise
	}
	d.known, d.backoff, d.retryAt = at, retryDelay, 0
	return true
}

// lookup returns the index in the list of an entry's database.
func (m *Machine) lookup(msg *Message, entry Entry) (i int, ok bool) {
	if msg.ListDigest == 0 {
		i, ok = m.index[entry.Host]
		return i, ok
	}
	return entry.Index, entry.Index < len(m.databases)
}

// merge applies the entries of another gateway; it returns those that were newer.
func (m *Machine) merge(now time.Duration, msg *Message) (newer []Entry) {
	for _, entry := range msg.Entries {
		i, ok := m.lookup(msg, entry)
		switch {
		case entry.At == 0: // only asks for a newer time
		case !ok:
			m.counts.Unknown++
		case entry.At > now+maxFuture:
			m.counts.Future++
		case !m.advance(i, entry.At, false):
			m.counts.Outdated++
		default:
			m.counts.Received++
			newer = append(newer, Entry{Index: i, Host: m.databases[i].host, At: entry.At})
		}
	}
	return newer
}

// NextTick returns when Tick is to be called.
func (m *Machine) NextTick() time.Duration { return m.nextRequest }

// Tick sends a request if one is due, there is something to ask for or to push, and the budget allows it.
func (m *Machine) Tick(now time.Duration) (out []Send) {
	if now < m.nextRequest {
		return nil
	}
	m.nextRequest = now + m.interval*3/4 + time.Duration(m.rnd.Int64N(int64(m.interval)/2))
	m.refill(now)
	if len(m.peers) == 0 || len(m.databases) == 0 {
		return nil
	}
	msg := Message{Kind: Request, From: m.cfg.Name, ListDigest: m.listDigest}
	to := m.choosePeer()
	if now < m.mismatchedUntil[to] {
		msg.ListDigest = 0
	}
	stale, aged, more := m.selectWanted(now)
	pushed := m.toPush()
	if len(pushed)+len(stale)+len(aged) == 0 {
		return nil
	}
	// Entries that do not fit are left out.
	var body []byte
	for {
		m.fillRequest(&msg, pushed, stale, aged)
		body = msg.Append(nil)
		if len(body) <= min(int(m.requestTokens), maxDatagramBytes)-m.cfg.MessageOverhead {
			break
		}
		pushed, stale, aged = pushed[:len(pushed)*3/4], stale[:len(stale)*3/4], aged[:len(aged)*3/4]
		if more = true; len(pushed)+len(stale)+len(aged) == 0 {
			return nil
		}
	}
	m.youngestAge = 0
	if more {
		m.youngestAge = agedSteps * m.cfg.Step
		if count := len(aged); count > 0 {
			m.youngestAge = now - m.databases[aged[count-1]].known
		}
	}
	for _, i := range pushed {
		m.databases[i].pushes--
	}
	wanted := append(slices.Clone(stale), aged...)
	for _, i := range wanted {
		d := &m.databases[i]
		d.retryAt = now + d.backoff
		d.backoff = min(2*d.backoff, maxRetryDelay)
	}
	m.requestTokens -= float64(len(body) + m.cfg.MessageOverhead)
	m.countSent(body)
	m.counts.Requests++
	m.counts.Wanted += uint64(len(wanted))
	m.counts.EntriesSent += uint64(len(pushed))
	m.lastWanted = wanted
	return []Send{{To: to, Body: body}}
}

// choosePeer draws the member that the request goes to: mostly one of the own zone, so that few messages cross zones.
func (m *Machine) choosePeer() string {
	if to := m.retryPeer; to != "" {
		m.retryPeer = ""
		return to
	}
	candidates := m.peers
	if len(m.zonePeers) > 0 && m.rnd.Float64() < sameZoneShare {
		candidates = m.zonePeers
	}
	return candidates[m.rnd.IntN(len(candidates))]
}

// countSent adds a sent message to the totals.
func (m *Machine) countSent(body []byte) { m.counts.Bytes += uint64(len(body) + m.cfg.MessageOverhead) }

// toPush returns the databases whose rise other gateways are unlikely to have, the greatest rise first.
func (m *Machine) toPush() (list []int) {
	for i := range m.databases {
		if m.databases[i].pushes > 0 {
			list = append(list, i)
		}
	}
	slices.SortFunc(list, func(a, b int) int { return cmp.Compare(m.databases[b].rise, m.databases[a].rise) })
	return list[:min(len(list), max(minWindow, m.window/4))]
}

// selectWanted returns the databases to ask for, those with the oldest knowledge first: stale ones, for which the digest
// has each time, and aged ones, which share one floor. more is set if there are others.
func (m *Machine) selectWanted(now time.Duration) (stale, aged []int, more bool) {
	list, unknown := m.scratch[:0], 0
	for i := range m.databases {
		d := &m.databases[i]
		if d.known == 0 {
			unknown++
		}
		if now >= d.retryAt && now-d.known >= m.cfg.Step {
			list = append(list, i)
		}
	}
	m.scratch, m.manyUnknown = list, 8*unknown > len(m.databases)
	slices.SortFunc(list, func(a, b int) int { return cmp.Compare(m.databases[a].known, m.databases[b].known) })
	more = len(list) > m.window
	list = list[:min(len(list), m.window)]
	split, _ := slices.BinarySearchFunc(list, now-agedSteps*m.cfg.Step, func(i int, at time.Duration) int { return cmp.Compare(m.databases[i].known, at) })
	return list[:split], list[split:], more
}

// fillRequest sets the digest and the pushed entries of a request.
func (m *Machine) fillRequest(msg *Message, pushed, stale, aged []int) {
	msg.WantIndexes, msg.WantNames, msg.Floor = nil, nil, 0
	for _, i := range aged {
		msg.Floor = max(msg.Floor, m.databases[i].known)
		if msg.ListDigest != 0 {
			msg.WantIndexes = append(msg.WantIndexes, i)
		} else {
			msg.WantNames = append(msg.WantNames, m.databases[i].host)
		}
	}
	slices.Sort(msg.WantIndexes)
	slices.Sort(msg.WantNames)
	msg.Entries = m.entries(append(slices.Clone(pushed), stale...), msg.ListDigest)
}

// entries returns the entries of some databases, sorted, by index, or by name where digest is 0.
func (m *Machine) entries(list []int, digest uint64) (entries []Entry) {
	for _, i := range slices.Compact(slices.Sorted(slices.Values(list))) {
		entry := Entry{Index: i, At: m.databases[i].known}
		if digest == 0 {
			entry = Entry{Host: m.databases[i].host, At: entry.At}
		}
		entries = append(entries, entry)
	}
	return entries
}

// Receive applies a message; it returns the response, if any, and the entries that were newer.
func (m *Machine) Receive(now time.Duration, msg Message) (out []Send, newer []Entry) {
	if msg.From == m.cfg.Name {
		return nil, nil
	}
	m.refill(now)
	if msg.ListDigest != 0 && msg.ListDigest != m.listDigest {
		m.counts.ListMismatches++
		if msg.Kind == Request {
			return m.sendEmpty(&msg, Message{Kind: ListMismatch, From: m.cfg.Name}), nil
		}
		return nil, nil
	}
	newer = m.merge(now, &msg)
	switch msg.Kind {
	case Request:
		out = m.respond(&msg)
	case Response:
		if !msg.Truncated {
			m.window = min(m.window+windowIncrement, maxWindow)
		}
	case Busy:
		m.counts.PeerBusy++
		m.window = max(minWindow, m.window/2)
	case ListMismatch:
		m.markMismatched(now, msg.From)
	}
	return out, newer
}

// markMismatched makes requests to a gateway with another list go by name for a while, beginning with the next one.
func (m *Machine) markMismatched(now time.Duration, name string) {
	m.counts.ListMismatches++
	if !slices.Contains(m.peers, name) || now < m.mismatchedUntil[name] {
		return
	}
	if len(m.mismatchedUntil) >= maxMismatched {
		clear(m.mismatchedUntil)
	}
	m.mismatchedUntil[name], m.retryPeer = now+byNameDuration, name
	for _, i := range m.lastWanted {
		m.databases[i].retryAt = 0
	}
	m.lastWanted = nil
}

// sendEmpty sends a message without entries, if the budget allows it.
func (m *Machine) sendEmpty(request *Message, msg Message) []Send {
	body := msg.Append(nil)
	if m.responseTokens < float64(len(body)+m.cfg.MessageOverhead) {
		return nil
	}
	m.responseTokens -= float64(len(body) + m.cfg.MessageOverhead)
	m.countSent(body)
	return []Send{{To: request.From, Body: body}}
}

// respond sends what is newer than in the digest of a request, the largest gain first.
func (m *Machine) respond(request *Message) []Send {
	var list []int
	gain := map[int]time.Duration{}
	add := func(i int, known, minGain time.Duration) {
		if at := m.databases[i].known; at >= known+minGain && gain[i] == 0 {
			gain[i] = at - known
			list = append(list, i)
		}
	}
	for _, entry := range request.Entries {
		if i, ok := m.lookup(request, entry); ok {
			add(i, entry.At, timeResolution)
		}
	}
	for _, i := range request.WantIndexes {
		if i < len(m.databases) {
			add(i, request.Floor, m.cfg.Step)
		}
	}
	for _, host := range request.WantNames {
		if i, ok := m.index[host]; ok {
			add(i, request.Floor, m.cfg.Step)
		}
	}
	if len(list) == 0 {
		return nil
	}
	slices.SortFunc(list, func(a, b int) int { return cmp.Compare(gain[b], gain[a]) })
	msg := Message{Kind: Response, From: m.cfg.Name, ListDigest: request.ListDigest}
	busy := Message{Kind: Busy, From: m.cfg.Name} // space for one busy response is kept free
	maxBytes := min(int(m.responseTokens)-len(busy.Append(nil))-m.cfg.MessageOverhead, maxDatagramBytes) - m.cfg.MessageOverhead
	for {
		msg.Entries = m.entries(list, msg.ListDigest)
		body := msg.Append(nil)
		if len(body) <= maxBytes {
			m.responseTokens -= float64(len(body) + m.cfg.MessageOverhead)
			m.countSent(body)
			m.counts.Answered++
			m.counts.EntriesSent += uint64(len(list))
			if msg.Truncated {
				m.counts.Truncated++
			}
			return []Send{{To: request.From, Body: body}}
		}
		msg.Truncated = true
		list = list[:len(list)*7/8]
		if len(list) == 0 {
			m.counts.Refused++
			return m.sendEmpty(request, busy)
		}
	}
}

// TimeOf returns the greatest known time of a database; 0: nothing is known.
func (m *Machine) TimeOf(host string) time.Duration {
	if i, ok := m.index[host]; ok {
		return m.databases[i].known
	}
	return 0
}

// Counts returns the totals since the start.
func (m *Machine) Counts() Counts { return m.counts }

// Window returns how many databases a request may ask for at most, as flow control has set it.
func (m *Machine) Window() int { return m.window }

// Ages returns the ages of the known times, in no order.
func (m *Machine) Ages(now time.Duration) (list []time.Duration) {
	for i := range m.databases {
		if at := m.databases[i].known; at > 0 {
			list = append(list, max(0, now-at))
		}
	}
	return list
}

// AgePercentiles returns the median and the 99th percentile of the ages of the known times, and the number of databases of
// which nothing is known.
func (m *Machine) AgePercentiles(now time.Duration) (p50, p99 time.Duration, unknown int) {
	list := m.Ages(now)
	if unknown = len(m.databases) - len(list); len(list) == 0 {
		return 0, 0, unknown
	}
	slices.Sort(list)
	return list[len(list)/2], list[(len(list)-1)*99/100], unknown
}
