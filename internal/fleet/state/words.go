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
	wordsPerSend = 6
	wordMost     = bytesPerSend / 3 // bytes, above which a vector is folded: wordsMost words then take 342 messages at most
	wordRest     = 32               // bytes of a word beside its texts, at most
	entryRest    = 11               // bytes of an entry of its vector beside the writer's name, at most
	compareEvery = time.Second
	wordsMost    = 1024
	writersMost  = 64 // of one vector
	askedMost    = 64 // words whose holders are counted at once
	passOn       = 3  // other gateways that what was news here is told to
	greetMost    = 3  // gateways newly seen that are compared with at once
)

// Override is what an operator said of a database to the whole fleet.
type Override struct {
	Key           string            `cbor:"1,keyasint" json:"host"`
	Active        bool              `cbor:"2,keyasint" json:"out"`    // leave it out; else it may serve
	VersionVector map[string]uint64 `cbor:"3,keyasint" json:"vector"` // version vector (Parker and others 1983): by process that took the word; see fold
	AtMS          int64             `cbor:"4,keyasint" json:"at_ms"`  // Unix time at the process that took it: for people, nothing is decided by it
	Origin        string            `cbor:"5,keyasint" json:"by"`     // the gateway that took it
}

// gateways begins what a word on a gateway is kept under, beside those on databases.
const gateways = "gateway:"

// GatewayKey is what a word on a gateway is kept under: out means that it is drained.
func GatewayKey(name string) string { return gateways + name }

// ParseGatewayKey is the gateway that a word is on; false: it is on a database.
func ParseGatewayKey(key string) (name string, ok bool) { return strings.CutPrefix(key, gateways) }

// Valid tells whether a word can be one.
func (w *Override) Valid() bool {
	return w.Key != "" && len(w.Key) <= hostMost && len(w.Origin) <= 64 && len(w.VersionVector) > 0 && len(w.VersionVector) <= writersMost
}

// size is how many bytes a word takes in a message, or somewhat less.
func (w Override) size() int {
	n := wordRest + len(w.Key) + len(w.Origin)
	for k := range w.VersionVector {
		n += entryRest + len(k)
	}
	return n
}

// folded begins the key that stands for all of a word in the vector of one that was said with knowledge of it. No writer's
// name begins so.
const folded = "~"

// fold is the key of a word in the vectors of later ones.
func (w *Override) fold() string {
	return folded + strconv.FormatUint(xxhash.Sum64String(print(*w)), 16)
}

// LimitWriters folds a word that bears more writers than are taken, as earlier builds made them: it then stands for itself alone, and a
// copy that has one from before it keeps both.
func (w *Override) LimitWriters() {
	if len(w.VersionVector) > writersMost {
		w.VersionVector = map[string]uint64{w.fold(): 1}
	}
}

// knows tells whether a word was said with knowledge of another: its vector has all of the other's, or the other folded. A
// word that folds another does not know those before that one: where a copy still has one of these, both are kept.
func (w *Override) knows(other *Override) bool {
	all := true
	for k, n := range other.VersionVector {
		all = all && w.VersionVector[k] >= n
	}
	return all || w.VersionVector[other.fold()] > 0
}

// OverridesMessage is one about words.
type OverridesMessage struct {
	Digest      uint64     `cbor:"1,keyasint,omitempty"` // of all words; asks to compare
	Same        bool       `cbor:"2,keyasint,omitempty"` // the answer: so is mine
	Overrides   []Override `cbor:"3,keyasint,omitempty"`
	Want        bool       `cbor:"4,keyasint,omitempty"` // send me yours
	ConfirmID   uint64     `cbor:"5,keyasint,omitempty"` // of words just said: tell me that you hold them
	ConfirmedID uint64     `cbor:"6,keyasint,omitempty"` // the answer
	// Round is drawn by each process that asks to compare, and told back: an answer to the process before must not pass.
	Round       uint64 `cbor:"7,keyasint,omitempty"`
	FinalDigest uint64 `cbor:"8,keyasint,omitempty"` // the digest of all words of which these are the last
	// Unsynced is set in an answer by who has not caught up itself: that a copy is equal to its own proves little.
	Unsynced bool `cbor:"9,keyasint,omitempty"`
}

// OverridesSend is such a message to a member.
type OverridesSend struct {
	To      string
	Message OverridesMessage
}

// Overrides is one gateway's copy of what operators told the fleet. A word that was said with knowledge of another takes its
// place. Overrides said without knowledge of each other, on the two sides of a partition, are all kept: the database is left
// out as long as one of them says so, and the conflict is told until an operator speaks again.
type Overrides struct {
	rnd    *rand.Rand
	name   string
	writer string // this process: one that starts anew must not count on where it left off
	live   []string
	words  map[string][]Override // by host; several: a conflict
	next   time.Duration
	out    []OverridesSend
	synced bool
	equals map[string]uint64 // the digest at which others were found equal that had not caught up themselves
	least  int               // how many others there are at least
	round  uint64
	digest uint64 // of all words; 0: to be made anew

	now     time.Duration
	horizon time.Duration // a word that leaves nothing out is not forgotten earlier: an old copy may return with one that does
	serial  uint64
	asked   []asked // oldest first
}

// asked is a word that was said here, and who has told that he holds it.
type asked struct {
	id   uint64
	word Override
	of   []string
	held map[string]bool
}

// SetRetention sets for how long words are remembered at least.
func (s *Overrides) SetRetention(horizon time.Duration) { s.horizon = horizon }

// NewOverrides makes an empty copy. The writer must differ from that of every other process, those before this one included.
func NewOverrides(name, writer string, seed uint64) *Overrides {
	rnd := rand.New(rand.NewPCG(seed, 0x776f7264))
	return &Overrides{rnd: rnd, round: rnd.Uint64() | 1, name: name, writer: writer, words: map[string][]Override{}, equals: map[string]uint64{}}
}

// ExpectPeers sets how many other gateways there are at least.
func (s *Overrides) ExpectPeers(others int) { s.least = others }

// SetMembers tells which other gateways can be told.
func (s *Overrides) SetMembers(names []string) {
	had := s.live
	s.live = slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == s.name })
	// Whoever is seen again, behind a partition or a stop, may know more or less than this one.
	fresh := slices.DeleteFunc(slices.Clone(s.live), func(n string) bool { return slices.Contains(had, n) })
	for _, to := range s.some(fresh, greetMost) {
		s.compare(to)
	}
}

// some draws a few of some names.
func (s *Overrides) some(names []string, most int) []string {
	s.rnd.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(most, len(names))]
}

// compare asks another gateway whether its copy is equal.
func (s *Overrides) compare(to string) {
	s.send(to, OverridesMessage{Digest: s.Digest(), Round: s.round})
}

// pass tells a few others what was news here (rumor mongering: Demers and others 1987). It is news to each gateway once, so
// this ends by itself.
func (s *Overrides) pass(from string, changed []string) {
	var words []Override
	for _, h := range changed {
		words = append(words, s.words[h]...)
	}
	others := slices.DeleteFunc(slices.Clone(s.live), func(n string) bool { return n == from })
	for _, to := range s.some(others, passOn) {
		for rest := words; len(rest) > 0; {
			n := page(rest, wordsPerSend, Override.size)
			s.send(to, OverridesMessage{Overrides: rest[:n]})
			rest = rest[n:]
		}
	}
}

// Synced tells whether this copy has been found equal, since the start and by answers to this process, to that of one that had
// caught up, or to those of all others.
func (s *Overrides) Synced() bool { return s.synced }

// MarkSynced has this copy count as caught up: nobody is waited for any longer.
func (s *Overrides) MarkSynced() { s.synced = true }

// foundEqual notes that another's copy is equal to this one.
func (s *Overrides) foundEqual(other string, unsure bool) {
	s.equals[other] = s.Digest()
	met := len(s.live) > 0 && len(s.live) >= s.least
	if !unsure || met && len(s.unequal()) == 0 {
		s.synced = true
	}
}

// unequal are the other gateways that can be told and whose copies have not been found equal to this one.
func (s *Overrides) unequal() []string {
	return slices.DeleteFunc(slices.Clone(s.live), func(other string) bool { return s.equals[other] == s.Digest() })
}

// Set takes an operator's word. It returns a number by which Holders tells who has it; 0: there is no room for one more.
func (s *Overrides) Set(now time.Duration, host string, out bool) uint64 {
	s.now = max(s.now, now)
	if len(s.words[host]) == 0 && len(s.words) >= wordsMost && !s.makeRoom() {
		return 0
	}
	w := s.following(host, out)
	s.words[host], s.digest = []Override{w}, 0
	s.serial++
	a := asked{id: s.serial, word: w, of: slices.Clone(s.live), held: map[string]bool{}}
	s.asked = append(s.asked[max(0, len(s.asked)-askedMost+1):], a)
	s.ask(a)
	return a.id
}

// following is a word said with knowledge of all that there are on a database. Its vector is theirs; where that has grown too
// large, for each process that ever spoke has an entry, they are folded.
func (s *Overrides) following(host string, out bool) Override {
	w := Override{Key: host, Active: out, VersionVector: map[string]uint64{}, AtMS: s.now.Milliseconds(), Origin: s.name}
	for _, o := range s.words[host] {
		for k, n := range o.VersionVector {
			w.VersionVector[k] = max(w.VersionVector[k], n)
		}
	}
	own := w.VersionVector[s.writer] + 1 // a number of a writer never comes twice
	w.VersionVector[s.writer] = own
	if w.size() > wordMost || len(w.VersionVector) > writersMost {
		w.VersionVector = map[string]uint64{s.writer: own}
		for _, o := range s.words[host] {
			w.VersionVector[o.fold()] = 1
		}
	}
	return w
}

// ask tells a word to those who have not said that they hold it.
func (s *Overrides) ask(a asked) {
	for _, to := range a.of {
		if !a.held[to] {
			s.send(to, OverridesMessage{Overrides: []Override{a.word}, ConfirmID: a.id})
		}
	}
}

// Confirmations is how many other gateways have said that they hold a word, and how many lived when it was said.
func (s *Overrides) Confirmations(id uint64) (held, of int) {
	for _, a := range s.asked {
		if a.id == id {
			return len(a.held), len(a.of)
		}
	}
	return 0, 0
}

// Resend tells a word once more to those who have not said that they hold it, and forgets whom it was told to.
func (s *Overrides) Resend(id uint64, last bool) {
	for i, a := range s.asked {
		if a.id == id {
			if s.ask(a); last {
				s.asked = slices.Delete(s.asked, i, i+1)
			}
			return
		}
	}
}

// makeRoom forgets the word said longest ago that leaves nothing out, if that is longer ago than an old copy may be.
func (s *Overrides) makeRoom() bool {
	oldest := ""
	for h, list := range s.words {
		if out, _ := s.Active(h); !out && list[0].AtMS <= (s.now-s.horizon).Milliseconds() && (oldest == "" || list[0].AtMS < s.words[oldest][0].AtMS) {
			oldest = h
		}
	}
	delete(s.words, oldest)
	s.digest = 0
	return oldest != ""
}

// Active tells whether the fleet leaves a database out, and whether words about it differ.
func (s *Overrides) Active(host string) (out, conflict bool) {
	in := false
	for _, w := range s.words[host] {
		out, in = out || w.Active, in || !w.Active
	}
	return out, out && in
}

// All are the words, sorted by host.
func (s *Overrides) All() (list []Override) {
	for _, h := range slices.Sorted(maps.Keys(s.words)) {
		list = append(list, s.words[h]...)
	}
	return list
}

// merge takes a word in; it tells whether it changed anything.
func (s *Overrides) merge(w Override) bool {
	if !w.Valid() || len(s.words[w.Key]) == 0 && len(s.words) >= wordsMost && !s.makeRoom() {
		return false
	}
	kept, news := join(s.words[w.Key], w)
	if news {
		s.words[w.Key], s.digest = kept, 0
	}
	return news
}

// join adds a word to those on one database: it takes the place of those that it knows of, and is none if one knows of it.
func join(list []Override, w Override) (kept []Override, news bool) {
	for _, o := range list {
		if o.knows(&w) {
			return list, false
		}
		if !w.knows(&o) {
			kept = append(kept, o)
		}
	}
	kept = append(kept, w)
	slices.SortFunc(kept, func(a, b Override) int { return strings.Compare(print(a), print(b)) })
	return kept, true
}

// Merge is what two copies come to, and the words of other that the first one lacked.
func Merge(words, other []Override) (all, more []Override) {
	by := map[string][]Override{}
	for _, w := range words {
		by[w.Key], _ = join(by[w.Key], w)
	}
	for _, w := range other {
		var news bool
		if by[w.Key], news = join(by[w.Key], w); news {
			more = append(more, w)
		}
	}
	for _, h := range slices.Sorted(maps.Keys(by)) {
		all = append(all, by[h]...)
	}
	return all, more
}

// Load takes in words that were kept over a restart; it returns the databases about which something has changed.
func (s *Overrides) Load(words []Override) (changed []string) {
	for _, w := range words {
		if s.merge(w) {
			changed = append(changed, w.Key)
		}
	}
	return changed
}

// print is a word as text, equal in every process.
func print(w Override) string {
	var b strings.Builder
	b.WriteString(w.Key)
	for _, k := range slices.Sorted(maps.Keys(w.VersionVector)) {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], w.VersionVector[k])
		b.WriteString("\x00" + k + "\x00" + string(n[:]))
	}
	if w.Active {
		b.WriteString("\x01")
	}
	return b.String()
}

// Digest is of all words: equal for equal copies.
func (s *Overrides) Digest() uint64 {
	if s.digest == 0 {
		h := xxhash.New()
		for _, w := range s.All() {
			_, _ = h.WriteString(print(w))
		}
		s.digest = max(1, h.Sum64())
	}
	return s.digest
}

func (s *Overrides) send(to string, m OverridesMessage) {
	s.out = append(s.out, OverridesSend{To: to, Message: m})
}

// pages sends all words, as the answer to a round. Each answer begins with another: what comes last may find no room in the
// other's socket.
func (s *Overrides) pages(to string, want bool, round uint64) {
	all := s.All()
	if len(all) > 0 {
		first := s.rnd.IntN(len(all))
		all = append(all[first:], all[:first]...)
	}
	for {
		n := page(all, wordsPerSend, Override.size)
		last := n == len(all)
		m := OverridesMessage{Overrides: all[:n], Want: want && last, Round: round, Unsynced: !s.synced}
		if last {
			m.FinalDigest = s.Digest()
		}
		s.send(to, m)
		if all = all[n:]; last {
			return
		}
	}
}

// Receive takes a message in; it returns the hosts about which something has changed.
func (s *Overrides) Receive(from string, m OverridesMessage) (changed []string) {
	if changed = s.Load(m.Overrides); len(changed) > 0 {
		s.pass(from, changed)
	}
	if !s.synced && m.Round == s.round && (m.Same || m.FinalDigest == s.Digest()) {
		s.foundEqual(from, m.Unsynced)
	}
	switch {
	case m.ConfirmID != 0 && len(m.Overrides) > 0:
		s.send(from, OverridesMessage{ConfirmedID: m.ConfirmID})
	case m.ConfirmedID != 0:
		for _, a := range s.asked {
			if a.id == m.ConfirmedID && slices.Contains(a.of, from) {
				a.held[from] = true
			}
		}
	case m.Want:
		s.pages(from, false, 0)
	case m.Digest != 0 && m.Digest == s.Digest():
		s.send(from, OverridesMessage{Same: true, Round: m.Round, Unsynced: !s.synced})
	case m.Digest != 0:
		s.pages(from, true, m.Round)
	}
	return changed
}

// Tick compares copies with another gateway's now and then: what a push missed is repaired, and who returns catches up.
func (s *Overrides) Tick(now time.Duration) {
	s.now = max(s.now, now)
	if now < s.next || len(s.live) == 0 {
		return
	}
	s.next = now + compareEvery
	others := s.live
	if !s.synced {
		s.next = now + compareEvery/5
		if rest := s.unequal(); len(rest) > 0 {
			others = rest
		}
	}
	s.compare(others[s.rnd.IntN(len(others))])
}

// Take hands over what is to be sent.
func (s *Overrides) Take() (out []OverridesSend) {
	out, s.out = s.out, nil
	return out
}
