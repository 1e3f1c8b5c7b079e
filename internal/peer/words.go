package peer

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"math/rand/v2"
	"slices"
	"time"

	"lilaccove/internal/fleet"
	"lilaccove/internal/fleet/membership"
	"lilaccove/internal/fleet/state"
	"lilaccove/internal/netloop"
	"lilaccove/internal/wordstore"
)

const (
	channelWords = 4
	wordsEvery   = 100 * time.Millisecond
	wordsSaid    = 50                     // logged in a second
	catchUpMost  = 2 * time.Second        // a gateway that starts waits so long for another's words at most
	heldTime     = 300 * time.Millisecond // the others have so long to say that they hold a word
	diskTime     = 700 * time.Millisecond // and a disk, before the operator is told that it does not answer
	closeTime    = time.Second
)

// words are those of operators to the whole fleet.
type words struct {
	l     *Links
	w     *state.Overrides
	begun time.Duration // since when others' words are waited for
	apply func(host string, out bool)
	said  netloop.Sparse
	store *wordstore.Store // nil: none is kept
	done  chan func()      // what the store's goroutine has for the loop
	owed  []*saying

	unread bool // what the store's file has is not known yet
}

// saying is a word whose operator waits to hear who has it.
type saying struct {
	id     uint64
	begun  time.Duration
	onDisk bool
	disk   string // how that went, once it did
	then   func(said string)
}

// OnOverride has do called whenever the fleet leaves a database out, or has it serve again, and for all words that were kept
// over a restart.
func (l *Links) OnOverride(do func(host string, out bool)) {
	l.words.apply = do
	for _, w := range l.words.w.All() {
		do(w.Key, l.OverrideActive(w.Key))
	}
}

func (l *Links) newWords() *words {
	own, _ := l.m.Self()
	s := &words{l: l, said: netloop.Sparse{Most: wordsSaid}, w: state.NewOverrides(own.Name, fmt.Sprintf("%s@%x", own.Name, own.Session), rand.Uint64())}
	s.w.ExpectPeers(len(l.file.Seeds))
	l.every(wordsEvery, s.tick)
	if f := l.file.Overrides; f != nil {
		s.w.SetRetention(f.Retention)
		s.open(f, own)
	}
	s.begun = l.loop.Clock() // opening may have taken a while
	return s
}

// open takes in what was kept. Whatever is wrong with it is told and costs a catch-up from the others, or, where it cannot be
// read yet, a wait for it; never the start.
func (s *words) open(f *fleet.Overrides, own membership.Entry) {
	s.done = make(chan func(), 256)
	store, kept, err := wordstore.Open(wordstore.Options{
		Dir: f.Dir, Fleet: s.l.file.Fleet, Gateway: own.Name, Session: own.Session, Retention: f.Retention, OnFound: s.found,
	})
	if err != nil {
		log.Printf("event=fleet_words_file kept=%t err=%q", store != nil, err)
	}
	if store == nil {
		return
	}
	s.store, s.unread = store, errors.Is(err, wordstore.ErrUnreadable)
	s.w.Load(kept)
	log.Printf("event=fleet_words_loaded words=%d", len(kept))
	s.l.loop.OnWake(func() {
		for len(s.done) > 0 {
			(<-s.done)()
		}
	})
}

// found takes in what the file had besides: it could not be read before, or another process of this gateway was told. It
// runs on the store's goroutine.
func (s *words) found(more []state.Override) {
	s.onLoop(func() {
		s.unread = false
		for _, host := range s.w.Load(more) {
			s.tell(host, "disk")
		}
	})
}

// onLoop has the loop do something that the store's goroutine has for it.
func (s *words) onLoop(do func()) {
	s.done <- do
	s.l.loop.Wake()
}

// keep has all words written to the disk, if there is one, and then tells how that went.
func (s *words) keep(then func(err error)) {
	if s.store == nil {
		return
	}
	if then == nil {
		s.store.Save(s.w.All(), nil)
		return
	}
	s.store.Save(s.w.All(), func(err error) {
		s.onLoop(func() { then(err) })
	})
}

// Close writes what is not on the disk yet.
func (l *Links) Close() {
	if l.words.store != nil {
		l.words.store.Close(closeTime)
	}
}

// wordsMessage is a message with its sender.
type wordsMessage struct {
	From string                 `cbor:"1,keyasint"`
	Body state.OverridesMessage `cbor:"2,keyasint"`
}

func (s *words) tick() {
	if s.l.Synced() {
		s.w.MarkSynced()
	}
	s.w.Tick(s.l.loop.Now())
	for _, o := range s.owed {
		s.w.Resend(o.id, false)
	}
	s.after()
	s.answer()
}

// answer tells operators who has their words, once all others have said so and the disk has, or it has taken too long.
func (s *words) answer() {
	now := s.l.loop.Now()
	s.owed = slices.DeleteFunc(s.owed, func(o *saying) bool {
		held, of := s.w.Confirmations(o.id)
		if held < of && now-o.begun < heldTime || o.disk == "" && o.onDisk && now-o.begun < diskTime {
			return false
		}
		text := fmt.Sprintf("held by %d of %d others", held, of)
		if o.onDisk {
			text += ", " + cmp.Or(o.disk, NotOnDisk+": it does not answer")
		}
		s.w.Resend(o.id, true)
		o.then(text)
		return true
	})
}

func (s *words) after() {
	own, _ := s.l.m.Self()
	for _, m := range s.w.Take() {
		s.l.post(m.To, channelWords, wordsMessage{From: own.Name, Body: m.Message})
	}
}

// stand tells who lives: not the view, for a word must not wait until a change has held.
func (s *words) stand() {
	var names []string
	for _, e := range s.l.m.Members() {
		if e.State.Live() {
			names = append(names, e.Name)
		}
	}
	s.w.SetMembers(names)
}

func (s *words) receive(body []byte) error {
	var msg wordsMessage
	if err := s.l.codec.read(body, &msg); err != nil {
		return err
	}
	if !fleet.ValidName(msg.From) {
		return errBad
	}
	changed := s.w.Receive(msg.From, msg.Body)
	for _, host := range changed {
		s.tell(host, msg.From)
	}
	if len(changed) > 0 {
		s.keep(nil)
	}
	s.after()
	if msg.Body.ConfirmedID != 0 {
		s.answer()
	}
	return nil
}

// tell does what the words about a database come to.
func (s *words) tell(host, from string) {
	out, conflict := s.w.Active(host)
	s.said.Printf(s.l.loop.Now(), "event=fleet_word host=%q out=%t conflict=%t from=%s", host, out, conflict, from)
	if s.apply != nil {
		s.apply(host, out)
	}
}

// NotOnDisk is said of a word that a restart of all gateways at once would lose.
const NotOnDisk = "not on disk"

// SetOverride takes an operator's word on a database to the whole fleet; false: there is no room for one more. It binds here at once;
// then tells, within a second, how many other gateways hold it, and whether it is on the disk where words are kept.
func (l *Links) SetOverride(host string, out bool, then func(said string)) bool {
	s := l.words
	id := s.w.Set(l.loop.Now(), host, out)
	if id == 0 {
		return false
	}
	own, _ := l.m.Self()
	s.tell(host, own.Name)
	o := &saying{id: id, begun: l.loop.Now(), onDisk: l.file.Overrides != nil, then: then}
	if s.store == nil && o.onDisk {
		o.disk = NotOnDisk + ": the file is not this gateway's, see its log"
	}
	s.owed = append(s.owed, o)
	s.keep(func(err error) {
		if o.disk = "on disk"; err != nil {
			o.disk = fmt.Sprintf("%s: %v", NotOnDisk, err)
		}
		s.answer()
	})
	s.after()
	s.answer()
	return true
}

// OverrideActive tells whether the fleet leaves a database out.
func (l *Links) OverrideActive(host string) bool {
	out, _ := l.words.w.Active(host)
	return out
}

// Synced tells whether this gateway knows what operators told the fleet, or need not wait for it any longer.
func (l *Links) Synced() bool {
	if l.loop.Now()-l.words.begun > catchUpMost {
		return true
	}
	alone := len(l.file.Seeds) == 0 && len(l.m.Members()) == 0
	return !l.words.unread && (alone || l.words.w.Synced())
}

// StateReport is what GET /v1/fleet/state tells.
type StateReport struct {
	Name      string           `json:"name"`
	Digest    string           `json:"digest"` // equal in all gateways that have the same words
	Synced    bool             `json:"caught_up"`
	Overrides []state.Override `json:"words"`
	Conflicts []string         `json:"conflicts,omitempty"` // databases about which words differ; they are left out
}

// State tells in JSON what operators told the fleet, as this gateway has it.
func (l *Links) State() []byte {
	own, _ := l.m.Self()
	w := l.words.w
	r := StateReport{Name: own.Name, Digest: hex(w.Digest()), Synced: l.Synced(), Overrides: w.All()}
	for i, x := range r.Overrides {
		if _, conflict := w.Active(x.Key); conflict && (i == 0 || r.Overrides[i-1].Key != x.Key) {
			r.Conflicts = append(r.Conflicts, x.Key)
		}
	}
	if r.Overrides == nil {
		r.Overrides = []state.Override{}
	}
	b, err := json.Marshal(r)
	if err != nil {
		return []byte("{}")
	}
	return append(b, '\n')
}
