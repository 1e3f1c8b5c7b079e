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
	channelOverrides          = 4
	overridesInterval         = 100 * time.Millisecond
	maxOverrideLinesPerSecond = 50                     // logged in a second
	maxSyncTime               = 2 * time.Second        // a gateway that starts waits so long for another's words at most
	confirmTimeout            = 300 * time.Millisecond // the others have so long to say that they hold a word
	diskTimeout               = 700 * time.Millisecond // and a disk, before the operator is told that it does not answer
	storeCloseTimeout         = time.Second
)

// overrides are those of operators to the whole fleet.
type overrides struct {
	links     *Links
	set       *state.Overrides
	syncStart time.Duration // since when others' words are waited for
	onChange  func(host string, out bool)
	changeLog netloop.Sparse
	store     *wordstore.Store // nil: none is kept
	callbacks chan func()      // what the store's goroutine has for the loop
	pending   []*pendingOverride

	storeUnread bool // what the store's file has is not known yet
}

// pendingOverride is a word whose operator waits to hear who has it.
type pendingOverride struct {
	id         uint64
	start      time.Duration
	persistent bool
	diskResult string // how that went, once it did
	reply      func(said string)
}

// OnOverride has do called whenever the fleet leaves a database out, or has it serve again, and for all words that were kept
// over a restart.
func (l *Links) OnOverride(callback func(host string, active bool)) {
	l.overrides.onChange = callback
	for _, override := range l.overrides.set.All() {
		callback(override.Key, l.OverrideActive(override.Key))
	}
}

func (l *Links) newOverrides() *overrides {
	own, _ := l.machine.Self()
	s := &overrides{links: l, changeLog: netloop.Sparse{Most: maxOverrideLinesPerSecond}, set: state.NewOverrides(own.Name, fmt.Sprintf("%s@%x", own.Name, own.Session), rand.Uint64())}
	s.set.ExpectPeers(len(l.file.Seeds))
	l.every(overridesInterval, s.tick)
	if cfg := l.file.Overrides; cfg != nil {
		s.set.SetRetention(cfg.Retention)
		s.openStore(cfg, own)
	}
	s.syncStart = l.loop.Clock() // opening may have taken a while
	return s
}

// openStore takes in what was kept. Whatever is wrong with it is told and costs a catch-up from the others, or, where it cannot be
// read yet, a wait for it; never the start.
func (s *overrides) openStore(cfg *fleet.Overrides, own membership.Entry) {
	s.callbacks = make(chan func(), 256)
	store, stored, err := wordstore.Open(wordstore.Options{
		Dir: cfg.Dir, Fleet: s.links.file.Fleet, Gateway: own.Name, Session: own.Session, Retention: cfg.Retention, OnFound: s.mergeFound,
	})
	if err != nil {
		log.Printf("event=fleet_words_file kept=%t err=%q", store != nil, err)
	}
	if store == nil {
		return
	}
	s.store, s.storeUnread = store, errors.Is(err, wordstore.ErrUnreadable)
	s.set.Load(stored)
	log.Printf("event=fleet_words_loaded words=%d", len(stored))
	s.links.loop.OnWake(func() {
		for len(s.callbacks) > 0 {
			(<-s.callbacks)()
		}
	})
}

// mergeFound takes in what the file had besides: it could not be read before, or another process of this gateway was told. It
// runs on the store's goroutine.
func (s *overrides) mergeFound(missing []state.Override) {
	s.runOnLoop(func() {
		s.storeUnread = false
		for _, host := range s.set.Load(missing) {
			s.applyOverride(host, "disk")
		}
	})
}

// runOnLoop has the loop do something that the store's goroutine has for it.
func (s *overrides) runOnLoop(task func()) {
	s.callbacks <- task
	s.links.loop.Wake()
}

// save has all words written to the disk, if there is one, and then tells how that went.
func (s *overrides) save(done func(err error)) {
	if s.store == nil {
		return
	}
	if done == nil {
		s.store.Save(s.set.All(), nil)
		return
	}
	s.store.Save(s.set.All(), func(err error) {
		s.runOnLoop(func() { done(err) })
	})
}

// Close writes what is not on the disk yet.
func (l *Links) Close() {
	if l.overrides.store != nil {
		l.overrides.store.Close(storeCloseTimeout)
	}
}

// overridesMessage is a message with its sender.
type overridesMessage struct {
	From string                 `cbor:"1,keyasint"`
	Body state.OverridesMessage `cbor:"2,keyasint"`
}

func (s *overrides) tick() {
	if s.links.Synced() {
		s.set.MarkSynced()
	}
	s.set.Tick(s.links.loop.Now())
	for _, pending := range s.pending {
		s.set.Resend(pending.id, false)
	}
	s.flush()
	s.replyPending()
}

// replyPending tells operators who has their words, once all others have said so and the disk has, or it has taken too long.
func (s *overrides) replyPending() {
	now := s.links.loop.Now()
	s.pending = slices.DeleteFunc(s.pending, func(pending *pendingOverride) bool {
		confirmed, peers := s.set.Confirmations(pending.id)
		if confirmed < peers && now-pending.start < confirmTimeout || pending.diskResult == "" && pending.persistent && now-pending.start < diskTimeout {
			return false
		}
		text := fmt.Sprintf("held by %d of %d others", confirmed, peers)
		if pending.persistent {
			text += ", " + cmp.Or(pending.diskResult, NotOnDisk+": it does not answer")
		}
		s.set.Resend(pending.id, true)
		pending.reply(text)
		return true
	})
}

func (s *overrides) flush() {
	own, _ := s.links.machine.Self()
	for _, m := range s.set.Take() {
		s.links.sendTo(m.To, channelOverrides, overridesMessage{From: own.Name, Body: m.Message})
	}
}

// setMembers tells who lives: not the view, for a word must not wait until a change has held.
func (s *overrides) setMembers() {
	var names []string
	for _, e := range s.links.machine.Members() {
		if e.State.Live() {
			names = append(names, e.Name)
		}
	}
	s.set.SetMembers(names)
}

func (s *overrides) receive(body []byte) error {
	var msg overridesMessage
	if err := s.links.codec.unmarshal(body, &msg); err != nil {
		return err
	}
	if !fleet.ValidName(msg.From) {
		return errMalformed
	}
	changed := s.set.Receive(msg.From, msg.Body)
	for _, host := range changed {
		s.applyOverride(host, msg.From)
	}
	if len(changed) > 0 {
		s.save(nil)
	}
	s.flush()
	if msg.Body.ConfirmedID != 0 {
		s.replyPending()
	}
	return nil
}

// applyOverride does what the words about a database come to.
func (s *overrides) applyOverride(host, from string) {
	active, conflict := s.set.Active(host)
	s.changeLog.Printf(s.links.loop.Now(), "event=fleet_word host=%q out=%t conflict=%t from=%s", host, active, conflict, from)
	if s.onChange != nil {
		s.onChange(host, active)
	}
}

// NotOnDisk is said of a word that a restart of all gateways at once would lose.
const NotOnDisk = "not on disk"

// SetOverride takes an operator's word on a database to the whole fleet; false: there is no room for one more. It binds here at once;
// then tells, within a second, how many other gateways hold it, and whether it is on the disk where words are kept.
func (l *Links) SetOverride(host string, active bool, reply func(result string)) bool {
	s := l.overrides
	id := s.set.Set(l.loop.Now(), host, active)
	if id == 0 {
		return false
	}
	own, _ := l.machine.Self()
	s.applyOverride(host, own.Name)
	pending := &pendingOverride{id: id, start: l.loop.Now(), persistent: l.file.Overrides != nil, reply: reply}
	if s.store == nil && pending.persistent {
		pending.diskResult = NotOnDisk + ": the file is not this gateway's, see its log"
	}
	s.pending = append(s.pending, pending)
	s.save(func(err error) {
		if pending.diskResult = "on disk"; err != nil {
			pending.diskResult = fmt.Sprintf("%s: %v", NotOnDisk, err)
		}
		s.replyPending()
	})
	s.flush()
	s.replyPending()
	return true
}

// OverrideActive tells whether the fleet leaves a database out.
func (l *Links) OverrideActive(host string) bool {
	active, _ := l.overrides.set.Active(host)
	return active
}

// Synced tells whether this gateway knows what operators told the fleet, or need not wait for it any longer.
func (l *Links) Synced() bool {
	if l.loop.Now()-l.overrides.syncStart > maxSyncTime {
		return true
	}
	alone := len(l.file.Seeds) == 0 && len(l.machine.Members()) == 0
	return !l.overrides.storeUnread && (alone || l.overrides.set.Synced())
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
	own, _ := l.machine.Self()
	set := l.overrides.set
	r := StateReport{Name: own.Name, Digest: hex(set.Digest()), Synced: l.Synced(), Overrides: set.All()}
	for i, override := range r.Overrides {
		if _, conflict := set.Active(override.Key); conflict && (i == 0 || r.Overrides[i-1].Key != override.Key) {
			r.Conflicts = append(r.Conflicts, override.Key)
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
