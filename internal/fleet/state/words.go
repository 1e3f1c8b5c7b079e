package state

import (
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	wordsPerSend = 6
	compareEvery = time.Second
	wordsMost    = 1024
	writersMost  = 64 // of one vector
)

// Word is what an operator said of a database to the whole fleet.
type Word struct {
	Host   string            `cbor:"1,keyasint" json:"host"`
	Out    bool              `cbor:"2,keyasint" json:"out"`    // leave it out; else it may serve
	Vector map[string]uint64 `cbor:"3,keyasint" json:"vector"` // version vector (Parker and others 1983): by process that took the word
	AtMS   int64             `cbor:"4,keyasint" json:"at_ms"`  // Unix time at the process that took it: for people, nothing is decided by it
	By     string            `cbor:"5,keyasint" json:"by"`     // the gateway that took it
}

// Sound tells whether a word can be one.
func (w *Word) Sound() bool {
	return w.Host != "" && len(w.Host) <= hostMost && len(w.By) <= 64 && len(w.Vector) > 0 && len(w.Vector) <= writersMost
}

// order compares two vectors: whether a knows all of b, and b all of a.
func order(a, b map[string]uint64) (knows, known bool) {
	knows, known = true, true
	for k, n := range b {
		knows = knows && a[k] >= n
	}
	for k, n := range a {
		known = known && b[k] >= n
	}
	return knows, known
}

// WordsMessage is one about words.
type WordsMessage struct {
	Digest uint64 `cbor:"1,keyasint,omitempty"` // of all words; asks to compare
	Same   bool   `cbor:"2,keyasint,omitempty"` // the answer: so is mine
	Words  []Word `cbor:"3,keyasint,omitempty"`
	Want   bool   `cbor:"4,keyasint,omitempty"` // send me yours
}

// WordsSend is such a message to a member.
type WordsSend struct {
	To      string
	Message WordsMessage
}

// Words is one gateway's copy of what operators told the fleet. A word that was said with knowledge of another takes its
// place. Words said without knowledge of each other, on the two sides of a partition, are all kept: the database is left
// out as long as one of them says so, and the conflict is told until an operator speaks again.
type Words struct {
	rnd    *rand.Rand
	name   string
	writer string // this process: one that starts anew must not count on where it left off
	live   []string
	words  map[string][]Word // by host; several: a conflict
	next   time.Duration
	out    []WordsSend
	synced bool
	digest uint64 // of all words; 0: to be made anew
}

// NewWords makes an empty copy. The writer must differ from that of every other process, those before this one included.
func NewWords(name, writer string, seed uint64) *Words {
	return &Words{rnd: rand.New(rand.NewPCG(seed, 0x776f7264)), name: name, writer: writer, words: map[string][]Word{}}
}

// Live tells which other gateways can be told.
func (s *Words) Live(names []string) {
	had := len(s.live)
	s.live = slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == s.name })
	if had == 0 && len(s.live) > 0 {
		s.next = 0 // the first other: it may know more
	}
}

// Synced tells whether this copy has been compared with another's since the start.
func (s *Words) Synced() bool { return s.synced }

// Say takes an operator's word; false: there is no room for one more.
func (s *Words) Say(now time.Duration, host string, out bool) bool {
	if len(s.words[host]) == 0 && len(s.words) >= wordsMost && !s.makeRoom() {
		return false
	}
	w := Word{Host: host, Out: out, Vector: map[string]uint64{}, AtMS: now.Milliseconds(), By: s.name}
	for _, o := range s.words[host] {
		for k, n := range o.Vector {
			w.Vector[k] = max(w.Vector[k], n)
		}
	}
	w.Vector[s.writer]++
	s.words[host], s.digest = []Word{w}, 0
	for _, to := range s.live {
		s.send(to, WordsMessage{Words: []Word{w}})
	}
	return true
}

// makeRoom forgets the word said longest ago that leaves nothing out.
func (s *Words) makeRoom() bool {
	oldest := ""
	for h, list := range s.words {
		if out, _ := s.Out(h); !out && (oldest == "" || list[0].AtMS < s.words[oldest][0].AtMS) {
			oldest = h
		}
	}
	delete(s.words, oldest)
	s.digest = 0
	return oldest != ""
}

// Out tells whether the fleet leaves a database out, and whether words about it differ.
func (s *Words) Out(host string) (out, conflict bool) {
	in := false
	for _, w := range s.words[host] {
		out, in = out || w.Out, in || !w.Out
	}
	return out, out && in
}

// All are the words, sorted by host.
func (s *Words) All() (list []Word) {
	for _, h := range slices.Sorted(maps.Keys(s.words)) {
		list = append(list, s.words[h]...)
	}
	return list
}

// merge takes a word in; it tells whether it changed anything.
func (s *Words) merge(w Word) bool {
	if !w.Sound() || len(s.words[w.Host]) == 0 && len(s.words) >= wordsMost && !s.makeRoom() {
		return false
	}
	var kept []Word
	for _, o := range s.words[w.Host] {
		knows, known := order(o.Vector, w.Vector)
		if knows {
			return false
		}
		if !known {
			kept = append(kept, o)
		}
	}
	kept = append(kept, w)
	slices.SortFunc(kept, func(a, b Word) int { return strings.Compare(print(a), print(b)) })
	s.words[w.Host], s.digest = kept, 0
	return true
}

// print is a word as text, equal in every process.
func print(w Word) string {
	var b strings.Builder
	b.WriteString(w.Host)
	for _, k := range slices.Sorted(maps.Keys(w.Vector)) {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], w.Vector[k])
		b.WriteString("\x00" + k + "\x00" + string(n[:]))
	}
	if w.Out {
		b.WriteString("\x01")
	}
	return b.String()
}

// Digest is of all words: equal for equal copies.
func (s *Words) Digest() uint64 {
	if s.digest == 0 {
		h := xxhash.New()
		for _, w := range s.All() {
			_, _ = h.WriteString(print(w))
		}
		s.digest = max(1, h.Sum64())
	}
	return s.digest
}

func (s *Words) send(to string, m WordsMessage) {
	s.out = append(s.out, WordsSend{To: to, Message: m})
}

// pages sends all words.
func (s *Words) pages(to string, want bool) {
	all := s.All()
	for {
		n := min(len(all), wordsPerSend)
		last := n == len(all)
		s.send(to, WordsMessage{Words: all[:n], Want: want && last})
		if all = all[n:]; last {
			return
		}
	}
}

// Receive takes a message in; it returns the hosts about which something has changed.
func (s *Words) Receive(from string, m WordsMessage) (changed []string) {
	for _, w := range m.Words {
		if s.merge(w) {
			changed = append(changed, w.Host)
		}
	}
	switch {
	case m.Same || len(m.Words) > 0 || m.Want:
		s.synced = true
	}
	switch {
	case m.Want:
		s.pages(from, false)
	case m.Digest != 0 && m.Digest == s.Digest():
		s.send(from, WordsMessage{Same: true})
	case m.Digest != 0:
		s.pages(from, true)
	}
	return changed
}

// Tick compares copies with another gateway's now and then: what a push missed is repaired, and who returns catches up.
func (s *Words) Tick(now time.Duration) {
	if now < s.next || len(s.live) == 0 {
		return
	}
	s.next = now + compareEvery
	if !s.synced {
		s.next = now + compareEvery/5
	}
	s.send(s.live[s.rnd.IntN(len(s.live))], WordsMessage{Digest: s.Digest()})
}

// Take hands over what is to be sent.
func (s *Words) Take() (out []WordsSend) {
	out, s.out = s.out, nil
	return out
}
