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
	"lilaccove/internal/overridestore"
)

const (
	channelOverrides          = 4
	overridesInterval         = 100 * time.Millisecond
	maxOverrideLinesPerSecond = 50                     // logged in a second
	maxSyncTime               = 2 * time.Second        // for which a starting gateway waits for the overrides of another
	confirmTimeout            = 300 * time.Millisecond // for the others to confirm that they hold an override
	diskTimeout               = 700 * time.Millisecond // for the disk, before the operator is answered without it
	storeCloseTimeout         = time.Second
)

// overrides spreads the operator overrides for the whole fleet and answers the operators that set them.
type overrides struct {
	links     *Links
	set       *state.Overrides
	syncStart time.Duration // when waiting for the overrides of others began
	onChange  func(host string, active bool)
	changeLog netloop.RateLimitedLog
	store     *overridestore.Store // nil: overrides are not stored
	callbacks chan func()          // from the store's goroutine, to be run on the loop
	pending   []*pendingOverride

	storeUnread bool // the store's file has not been read yet
}

// pendingOverride is an override whose operator waits for the confirmations.
type pendingOverride struct {
	id         uint64
	start      time.Duration
	persistent bool   // overrides are to be stored, and the answer includes the disk
	diskResult string // empty: the disk has not answered yet
	reply      func(result string)
}

// OnOverride sets a function that is called whenever an override of a database or gateway is set or lifted, and calls it for
// all overrides that were kept across a restart.
func (l *Links) OnOverride(callback func(host string, active bool)) {
	l.overrides.onChange = callback
	for _, override := range l.overrides.set.All() {
		callback(override.Key, l.OverrideActive(override.Key))
	}
}

func (l *Links) newOverrides() *overrides {
	own, _ := l.machine.Self()
	s := &overrides{
		links: l, changeLog: netloop.RateLimitedLog{MaxPerSecond: maxOverrideLinesPerSecond},
		set: state.NewOverrides(own.Name, fmt.Sprintf("%s@%x", own.Name, own.Session), rand.Uint64()),
	}
	s.set.ExpectPeers(len(l.file.Seeds))
	l.every(overridesInterval, s.tick)
	if cfg := l.file.Overrides; cfg != nil {
		s.set.SetRetention(cfg.Retention)
		s.openStore(cfg, own)
	}
	s.syncStart = l.loop.Clock() // opening the store may have taken a while
	return s
}

// openStore loads the stored overrides. An error is logged and never prevents the start: the overrides then come from the
// other members, or, if the file cannot be read yet, this gateway waits for it.
func (s *overrides) openStore(cfg *fleet.Overrides, own membership.Entry) {
	s.callbacks = make(chan func(), 256)
	store, stored, err := overridestore.Open(overridestore.Options{
		Dir: cfg.Dir, Fleet: s.links.file.Fleet, Gateway: own.Name, Session: own.Session, Retention: cfg.Retention, OnFound: s.mergeFound,
	})
	if err != nil {
		log.Printf("event=fleet_words_file kept=%t err=%q", store != nil, err)
	}
	if store == nil {
		return
	}
	s.store, s.storeUnread = store, errors.Is(err, overridestore.ErrUnreadable)
	s.set.Load(stored)
	log.Printf("event=fleet_words_loaded words=%d", len(stored))
	s.links.loop.OnWake(func() {
		for len(s.callbacks) > 0 {
			(<-s.callbacks)()
		}
	})
}

// mergeFound applies overrides that the file had and this process had not: the file could not be read before, or a sibling
// process accepted them. It runs on the store's goroutine.
func (s *overrides) mergeFound(missing []state.Override) {
	s.runOnLoop(func() {
		s.storeUnread = false
		for _, host := range s.set.Load(missing) {
			s.applyOverride(host, "disk")
		}
	})
}

// runOnLoop runs a task of the store's goroutine on the loop.
func (s *overrides) runOnLoop(task func()) {
	s.callbacks <- task
	s.links.loop.Wake()
}

// save writes all overrides to the store and then calls done, unless it is nil, on the loop. Without a store it does nothing.
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

// Close writes overrides that are not on disk yet, and gives up after storeCloseTimeout.
func (l *Links) Close() {
	if l.overrides.store != nil {
		l.overrides.store.Close(storeCloseTimeout)
	}
}

// overridesMessage is a message with the name of its sender.
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

// replyPending answers the operators whose overrides all other members and the disk have confirmed, or for which the
// timeouts have passed.
func (s *overrides) replyPending() {
	now := s.links.loop.Now()
	s.pending = slices.DeleteFunc(s.pending, func(pending *pendingOverride) bool {
		confirmed, peers := s.set.Confirmations(pending.id)
		if confirmed < peers && now-pending.start < confirmTimeout ||
			pending.diskResult == "" && pending.persistent && now-pending.start < diskTimeout {
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

// setMembers passes on the live members instead of the stable view: an override must not wait until the view is stable.
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

// applyOverride logs and reports the effective state of a database or gateway after its overrides have changed.
func (s *overrides) applyOverride(host, from string) {
	active, conflict := s.set.Active(host)
	s.changeLog.Printf(s.links.loop.Now(), "event=fleet_word host=%q out=%t conflict=%t from=%s", host, active, conflict, from)
	if s.onChange != nil {
		s.onChange(host, active)
	}
}

// NotOnDisk marks the answer about an override that a restart of all gateways at once would lose.
const NotOnDisk = "not on disk"

// SetOverride sets an operator override of a database or gateway for the whole fleet; host is its key, see
// [state.GatewayKey]. It returns false if the maximum number of overrides is reached.
// It takes effect here at once; reply is called within a second with how many other gateways hold it, and, where overrides
// are stored, whether it is on disk.
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

// OverrideActive reports whether an override of a database or gateway is active.
func (l *Links) OverrideActive(host string) bool {
	active, _ := l.overrides.set.Active(host)
	return active
}

// Synced reports whether this gateway has the fleet's overrides, or has waited for them for maxSyncTime.
func (l *Links) Synced() bool {
	if l.loop.Now()-l.overrides.syncStart > maxSyncTime {
		return true
	}
	alone := len(l.file.Seeds) == 0 && len(l.machine.Members()) == 0
	return !l.overrides.storeUnread && (alone || l.overrides.set.Synced())
}

// StateReport is the answer to GET /v1/fleet/state.
type StateReport struct {
	Name      string           `json:"name"`
	Digest    string           `json:"digest"` // equal in all gateways that have the same overrides
	Synced    bool             `json:"caught_up"`
	Overrides []state.Override `json:"words"`
	Conflicts []string         `json:"conflicts,omitempty"` // databases with concurrent overrides that differ; they are suspended
}

// State returns in JSON the fleet's overrides as this gateway has them.
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
