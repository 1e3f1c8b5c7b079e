package state

import (
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	overridesPerSend    = 6                // in one message
	maxOverrideBytes    = maxItemBytes / 3 // larger version vectors are folded; maxOverrides overrides then take at most 342 messages
	overrideOverhead    = 32               // bytes of an encoded override besides its texts, at most
	vectorEntryOverhead = 11               // bytes of an entry of its version vector besides the name of the writer, at most
	reconcileInterval   = time.Second
	maxOverrides        = 1024
	maxWriters          = 64 // in one version vector
	maxPending          = 64 // overrides for which confirmations are counted at once
	gossipFanout        = 3  // members that a new override is passed on to
	maxNewPeers         = 3  // members seen newly that are reconciled with at once
)

// Override is an operator override: an operator's instruction to the whole fleet that a database is suspended or a gateway
// drained, or no longer.
type Override struct {
	Key           string            `cbor:"1,keyasint" json:"host"`
	Active        bool              `cbor:"2,keyasint" json:"out"`    // the database is suspended or the gateway drained
	VersionVector map[string]uint64 `cbor:"3,keyasint" json:"vector"` // (Parker and others 1983) by writer; see foldedEntry
	AtMS          int64             `cbor:"4,keyasint" json:"at_ms"`  // Unix time at the process that accepted it; for display only
	Origin        string            `cbor:"5,keyasint" json:"by"`     // the gateway that accepted it
}

// gatewayPrefix begins the keys of overrides for gateways; those for databases have the host name as key.
const gatewayPrefix = "gateway:"

// GatewayKey returns the key of an override for a gateway. An active one means that the gateway is drained.
func GatewayKey(name string) string { return gatewayPrefix + name }

// ParseGatewayKey returns the gateway of an override's key, or false if the override is for a database.
func ParseGatewayKey(key string) (name string, ok bool) { return strings.CutPrefix(key, gatewayPrefix) }

// Valid reports whether an override is well-formed.
func (o *Override) Valid() bool {
	return o.Key != "" && len(o.Key) <= maxNameBytes && len(o.Origin) <= 64 && len(o.VersionVector) > 0 && len(o.VersionVector) <= maxWriters
}

// size returns an upper bound of the bytes that an override takes in a message. Writers' names are shorter than 256 bytes.
func (o Override) size() int {
	n := overrideOverhead + len(o.Key) + len(o.Origin)
	for writer := range o.VersionVector {
		n += vectorEntryOverhead + len(writer)
	}
	return n
}

// foldedPrefix begins an entry of a version vector that stands for a whole earlier override. No writer's name begins with
// it.
const foldedPrefix = "~"

// foldedEntry returns the entry that stands for this override in the version vectors of later ones.
func (o *Override) foldedEntry() string {
	return foldedPrefix + strconv.FormatUint(xxhash.Sum64String(canonicalText(*o)), 16)
}

// LimitWriters folds an override with more writers than are accepted, as earlier builds made them: it then represents only
// itself, and a copy that has an earlier override keeps both.
func (o *Override) LimitWriters() {
	if len(o.VersionVector) > maxWriters {
		o.VersionVector = map[string]uint64{o.foldedEntry(): 1}
	}
}

// dominates reports whether an override was made with knowledge of another: its version vector includes that of the other,
// or the other folded. An override that folds another does not dominate those before that one: where a copy still has one
// of these, both are kept.
func (o *Override) dominates(other *Override) bool {
	includesAll := true
	for writer, n := range other.VersionVector {
		includesAll = includesAll && o.VersionVector[writer] >= n
	}
	return includesAll || o.VersionVector[other.foldedEntry()] > 0
}

// OverridesMessage is a message of the override protocol: a push, a confirmation, or a step of anti-entropy.
type OverridesMessage struct {
	Digest      uint64     `cbor:"1,keyasint,omitempty"` // of all overrides; asks the receiver to compare
	Same        bool       `cbor:"2,keyasint,omitempty"` // response: the digests are equal
	Overrides   []Override `cbor:"3,keyasint,omitempty"`
	Want        bool       `cbor:"4,keyasint,omitempty"` // asks for all overrides of the receiver
	ConfirmID   uint64     `cbor:"5,keyasint,omitempty"` // set with new overrides; asks the receiver to confirm that it holds them
	ConfirmedID uint64     `cbor:"6,keyasint,omitempty"` // the confirmation
	// Round is drawn by each process and echoed in responses, so that a response to the previous process is not accepted.
	Round       uint64 `cbor:"7,keyasint,omitempty"`
	FinalDigest uint64 `cbor:"8,keyasint,omitempty"` // set in the last page of a response: the digest of all overrides
	// Unsynced is set in a response by a gateway that is not synchronized itself: equality with its copy proves little.
	Unsynced bool `cbor:"9,keyasint,omitempty"`
}

// OverridesSend is such a message to a member.
type OverridesSend struct {
	To      string
	Message OverridesMessage
}

// Overrides is one gateway's copy of the operator overrides. An override replaces those that it was made with knowledge of.
// Concurrent overrides, as from the two sides of a partition, are all kept: the database stays suspended as long as one of
// them is active, and the conflict is reported until an operator sets another override.
type Overrides struct {
	rnd            *rand.Rand
	name           string
	writer         string // unique for each process: a restarted one must not reuse counters of its predecessor
	peers          []string
	byKey          map[string][]Override // several for one key: a conflict
	nextReconcile  time.Duration
	outbox         []OverridesSend
	synced         bool
	matchedDigests map[string]uint64 // by peer: the digest at which its copy was equal
	minPeers       int               // how many other gateways there are at least
	round          uint64
	digest         uint64 // of all overrides; 0: to be recomputed

	now       time.Duration
	retention time.Duration // an inactive override is kept for at least this long, as an old copy may return with an active one
	lastID    uint64
	pending   []pendingOverride // oldest first
}

// pendingOverride is an override that was set here, and the members that have confirmed that they hold it.
type pendingOverride struct {
	id        uint64
	override  Override
	peers     []string
	confirmed map[string]bool
}

// SetRetention sets how long overrides are kept at least.
func (s *Overrides) SetRetention(retention time.Duration) { s.retention = retention }

// NewOverrides makes an empty copy. The writer must differ from that of every other process, earlier ones included.
func NewOverrides(name, writer string, seed uint64) *Overrides {
	rnd := rand.New(rand.NewPCG(seed, 0x776f7264))
	return &Overrides{rnd: rnd, round: rnd.Uint64() | 1, name: name, writer: writer, byKey: map[string][]Override{}, matchedDigests: map[string]uint64{}}
}

// ExpectPeers sets how many other gateways there are at least.
func (s *Overrides) ExpectPeers(others int) { s.minPeers = others }

// SetMembers sets the live members; the own name among them is ignored.
func (s *Overrides) SetMembers(names []string) {
	before := s.peers
	s.peers = slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == s.name })
	// A member that appears, after a partition or a pause, may know more or less than this one.
	added := slices.DeleteFunc(slices.Clone(s.peers), func(n string) bool { return slices.Contains(before, n) })
	for _, to := range s.sample(added, maxNewPeers) {
		s.reconcile(to)
	}
}

// sample draws at most limit of the names at random. It reorders them.
func (s *Overrides) sample(names []string, limit int) []string {
	s.rnd.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(limit, len(names))]
}

// reconcile asks another gateway whether its copy is equal.
func (s *Overrides) reconcile(to string) {
	s.send(to, OverridesMessage{Digest: s.Digest(), Round: s.round})
}

// gossip passes changed overrides on to a few other members (rumor mongering: Demers and others 1987). Each gateway passes
// an override on only when it is new to it, so this ends by itself.
func (s *Overrides) gossip(from string, changed []string) {
	var overrides []Override
	for _, key := range changed {
		overrides = append(overrides, s.byKey[key]...)
	}
	others := slices.DeleteFunc(slices.Clone(s.peers), func(name string) bool { return name == from })
	for _, to := range s.sample(others, gossipFanout) {
		for remaining := overrides; len(remaining) > 0; {
			count := itemsThatFit(remaining, overridesPerSend, Override.size)
			s.send(to, OverridesMessage{Overrides: remaining[:count]})
			remaining = remaining[count:]
		}
	}
}

// Synced reports whether, since the start and by responses to this process, this copy has been found equal to that of a
// synchronized gateway, or to those of all others.
func (s *Overrides) Synced() bool { return s.synced }

// MarkSynced makes this copy count as synchronized without waiting for other gateways any longer.
func (s *Overrides) MarkSynced() { s.synced = true }

// markMatching records that another gateway's copy is equal to this one.
func (s *Overrides) markMatching(other string, unsynced bool) {
	s.matchedDigests[other] = s.Digest()
	complete := len(s.peers) > 0 && len(s.peers) >= s.minPeers
	if !unsynced || complete && len(s.unmatched()) == 0 {
		s.synced = true
	}
}

// unmatched returns the live members whose copies have not been found equal to this one.
func (s *Overrides) unmatched() []string {
	return slices.DeleteFunc(slices.Clone(s.peers), func(other string) bool { return s.matchedDigests[other] == s.Digest() })
}

// Set makes an operator override. It returns an ID for Confirmations, or 0 if the maximum number of overrides is reached.
func (s *Overrides) Set(now time.Duration, key string, active bool) uint64 {
	s.now = max(s.now, now)
	if len(s.byKey[key]) == 0 && len(s.byKey) >= maxOverrides && !s.evictInactive() {
		return 0
	}
	o := s.newOverride(key, active)
	s.byKey[key], s.digest = []Override{o}, 0
	s.lastID++
	p := pendingOverride{id: s.lastID, override: o, peers: slices.Clone(s.peers), confirmed: map[string]bool{}}
	s.pending = append(s.pending[max(0, len(s.pending)-maxPending+1):], p)
	s.requestConfirmations(p)
	return p.id
}

// newOverride returns an override that dominates all existing ones of the key. Its version vector is their union. Each
// process that ever set an override has an entry there; where that makes it too large, the existing overrides are folded.
func (s *Overrides) newOverride(key string, active bool) Override {
	o := Override{Key: key, Active: active, VersionVector: map[string]uint64{}, AtMS: s.now.Milliseconds(), Origin: s.name}
	for _, previous := range s.byKey[key] {
		for writer, counter := range previous.VersionVector {
			o.VersionVector[writer] = max(o.VersionVector[writer], counter)
		}
	}
	counter := o.VersionVector[s.writer] + 1 // a writer never reuses a counter
	o.VersionVector[s.writer] = counter
	if o.size() > maxOverrideBytes || len(o.VersionVector) > maxWriters {
		o.VersionVector = map[string]uint64{s.writer: counter}
		for _, previous := range s.byKey[key] {
			o.VersionVector[previous.foldedEntry()] = 1
		}
	}
	return o
}

// requestConfirmations sends a pending override to the members that have not confirmed it.
func (s *Overrides) requestConfirmations(p pendingOverride) {
	for _, to := range p.peers {
		if !p.confirmed[to] {
			s.send(to, OverridesMessage{Overrides: []Override{p.override}, ConfirmID: p.id})
		}
	}
}

// Confirmations returns how many other gateways have confirmed that they hold an override, and how many were alive when it
// was set.
func (s *Overrides) Confirmations(id uint64) (confirmed, total int) {
	for _, p := range s.pending {
		if p.id == id {
			return len(p.confirmed), len(p.peers)
		}
	}
	return 0, 0
}

// Resend sends an override again to the members that have not confirmed it. After the last time its confirmations are no
// longer counted.
func (s *Overrides) Resend(id uint64, last bool) {
	for i, p := range s.pending {
		if p.id == id {
			if s.requestConfirmations(p); last {
				s.pending = slices.Delete(s.pending, i, i+1)
			}
			return
		}
	}
}

// evictInactive drops the oldest inactive override that is older than the retention, and reports whether there was one.
func (s *Overrides) evictInactive() bool {
	oldest := ""
	for key, list := range s.byKey {
		if active, _ := s.Active(key); !active && list[0].AtMS <= (s.now-s.retention).Milliseconds() && (oldest == "" || list[0].AtMS < s.byKey[oldest][0].AtMS) {
			oldest = key
		}
	}
	delete(s.byKey, oldest)
	s.digest = 0
	return oldest != ""
}

// Active reports whether an override is active for the key, and whether there are conflicting ones.
func (s *Overrides) Active(key string) (active, conflict bool) {
	inactive := false
	for _, o := range s.byKey[key] {
		active, inactive = active || o.Active, inactive || !o.Active
	}
	return active, active && inactive
}

// All returns the overrides, sorted by key.
func (s *Overrides) All() (list []Override) {
	for _, key := range slices.Sorted(maps.Keys(s.byKey)) {
		list = append(list, s.byKey[key]...)
	}
	return list
}

// merge adds an override; it reports whether that changed anything.
func (s *Overrides) merge(o Override) bool {
	if !o.Valid() || len(s.byKey[o.Key]) == 0 && len(s.byKey) >= maxOverrides && !s.evictInactive() {
		return false
	}
	kept, changed := addOverride(s.byKey[o.Key], o)
	if changed {
		s.byKey[o.Key], s.digest = kept, 0
	}
	return changed
}

// addOverride adds an override to those of the same key: it replaces those that it dominates, and is dropped if one
// dominates it.
func addOverride(list []Override, o Override) (kept []Override, changed bool) {
	for _, existing := range list {
		if existing.dominates(&o) {
			return list, false
		}
		if !o.dominates(&existing) {
			kept = append(kept, existing)
		}
	}
	kept = append(kept, o)
	slices.SortFunc(kept, func(a, b Override) int { return strings.Compare(canonicalText(a), canonicalText(b)) })
	return kept, true
}

// Merge returns the union of two copies, and the overrides of other that the first one lacked.
func Merge(overrides, other []Override) (all, added []Override) {
	byKey := map[string][]Override{}
	for _, o := range overrides {
		byKey[o.Key], _ = addOverride(byKey[o.Key], o)
	}
	for _, o := range other {
		var changed bool
		if byKey[o.Key], changed = addOverride(byKey[o.Key], o); changed {
			added = append(added, o)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(byKey)) {
		all = append(all, byKey[key]...)
	}
	return all, added
}

// Load adds overrides that were stored over a restart; it returns the keys whose overrides have changed.
func (s *Overrides) Load(overrides []Override) (changed []string) {
	for _, o := range overrides {
		if s.merge(o) {
			changed = append(changed, o.Key)
		}
	}
	return changed
}

// canonicalText encodes an override, identically in every process.
func canonicalText(o Override) string {
	var b strings.Builder
	b.WriteString(o.Key)
	for _, writer := range slices.Sorted(maps.Keys(o.VersionVector)) {
		var counter [8]byte
		binary.BigEndian.PutUint64(counter[:], o.VersionVector[writer])
		b.WriteString("\x00" + writer + "\x00" + string(counter[:]))
	}
	if o.Active {
		b.WriteString("\x01")
	}
	return b.String()
}

// Digest returns a digest of all overrides; equal copies have equal digests.
func (s *Overrides) Digest() uint64 {
	if s.digest == 0 {
		h := xxhash.New()
		for _, o := range s.All() {
			_, _ = h.WriteString(canonicalText(o))
		}
		s.digest = max(1, h.Sum64())
	}
	return s.digest
}

func (s *Overrides) send(to string, m OverridesMessage) {
	s.outbox = append(s.outbox, OverridesSend{To: to, Message: m})
}

// sendAll sends all overrides in pages, as the response to a round. Each response begins at a random override: the last
// datagrams may not fit into the receiver's socket buffer.
func (s *Overrides) sendAll(to string, want bool, round uint64) {
	remaining := s.All()
	if len(remaining) > 0 {
		first := s.rnd.IntN(len(remaining))
		remaining = append(remaining[first:], remaining[:first]...)
	}
	for {
		count := itemsThatFit(remaining, overridesPerSend, Override.size)
		last := count == len(remaining)
		m := OverridesMessage{Overrides: remaining[:count], Want: want && last, Round: round, Unsynced: !s.synced}
		if last {
			m.FinalDigest = s.Digest()
		}
		s.send(to, m)
		if remaining = remaining[count:]; last {
			return
		}
	}
}

// Receive applies a message; it returns the keys whose overrides have changed.
func (s *Overrides) Receive(from string, m OverridesMessage) (changed []string) {
	if changed = s.Load(m.Overrides); len(changed) > 0 {
		s.gossip(from, changed)
	}
	if !s.synced && m.Round == s.round && (m.Same || m.FinalDigest == s.Digest()) {
		s.markMatching(from, m.Unsynced)
	}
	switch {
	case m.ConfirmID != 0 && len(m.Overrides) > 0:
		s.send(from, OverridesMessage{ConfirmedID: m.ConfirmID})
	case m.ConfirmedID != 0:
		for _, p := range s.pending {
			if p.id == m.ConfirmedID && slices.Contains(p.peers, from) {
				p.confirmed[from] = true
			}
		}
	case m.Want:
		s.sendAll(from, false, 0)
	case m.Digest != 0 && m.Digest == s.Digest():
		s.send(from, OverridesMessage{Same: true, Round: m.Round, Unsynced: !s.synced})
	case m.Digest != 0:
		s.sendAll(from, true, m.Round)
	}
	return changed
}

// Tick reconciles with a random member at intervals: this repairs missed pushes and lets a returning member catch up.
func (s *Overrides) Tick(now time.Duration) {
	s.now = max(s.now, now)
	if now < s.nextReconcile || len(s.peers) == 0 {
		return
	}
	s.nextReconcile = now + reconcileInterval
	others := s.peers
	if !s.synced {
		s.nextReconcile = now + reconcileInterval/5
		if unmatched := s.unmatched(); len(unmatched) > 0 {
			others = unmatched
		}
	}
	s.reconcile(others[s.rnd.IntN(len(others))])
}

// Take returns the messages to be sent and empties the outbox.
func (s *Overrides) Take() (messages []OverridesSend) {
	messages, s.outbox = s.outbox, nil
	return messages
}
