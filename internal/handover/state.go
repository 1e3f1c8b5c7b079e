// Package handover is what two processes of one gateway agree on while one takes over from the
// other: who lives, which databases are left out by hand, whether the gateway is to be empty. It
// lies in the private directory that both are given. state.go decides, without I/O; share.go does
// the files.
package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"time"
)

// version is that of the form; a state of another one is not read.
const version = 1

// Override is one operator's word and its place in the order of all words: the moment at which it was given, or just behind
// the newest word known by then where this process's clock is not past that. Clocks of two processes may differ.
type Override struct {
	Active    bool  `json:"on"`
	Timestamp int64 `json:"at_us"` // Unix microseconds
}

// State is all that is agreed on. Of two words on one thing the newer holds, whoever took it.
type State struct {
	Version   int                 `json:"version"`
	Suspended map[string]Override `json:"suspended"`
	Drained   Override            `json:"drained"`
}

// newer tells whether e replaces old. At one moment being out wins: both processes see it alike.
func (e Override) newer(old Override) bool {
	return e.Timestamp > old.Timestamp || e.Timestamp == old.Timestamp && e.Active && !old.Active
}

// merge takes the newer words of o and tells whether there were any.
func (s *State) merge(o State) (changed bool) {
	for id, e := range o.Suspended {
		if e.newer(s.Suspended[id]) {
			s.Suspended[id] = e
			changed = true
		}
	}
	if o.Drained.newer(s.Drained) {
		s.Drained = o.Drained
		changed = true
	}
	return changed
}

// at is the moment of the newest word.
func (s *State) at() int64 {
	newest := s.Drained.Timestamp
	for e := range maps.Values(s.Suspended) {
		newest = max(newest, e.Timestamp)
	}
	return newest
}

// next is the place of a word that is given now: behind all that are known.
func (s *State) next(now time.Duration) int64 { return max(now.Microseconds(), s.at()+1) }

// keepBack is how long a process keeps a database's word "back" that it knows: any other has seen it by then.
const keepBack = 10 * time.Minute

// backs are the words "back" that this process knows, by database.
type backs map[string]met

// met is when this process first knew a word, by its own clock, which no step moves. The time that stands in a word may be
// another process's.
type met struct {
	word  Override
	since time.Duration
}

// forget drops words that say nothing any more.
func (s *State) forget(known backs, now time.Duration) {
	maps.DeleteFunc(known, func(id string, m met) bool { return s.Suspended[id] != m.word })
	for id, e := range s.Suspended {
		if _, old := known[id]; !old && !e.Active {
			known[id] = met{e, now}
		}
	}
	maps.DeleteFunc(s.Suspended, func(id string, e Override) bool { return !e.Active && now-known[id].since > keepBack })
}

var errVersion = errors.New("not of this version")

// parse reads a state; a truncated one, or one of another version, is none.
func parse(text []byte) (State, error) {
	s := State{}
	if err := json.Unmarshal(text, &s); err != nil {
		return State{}, err
	}
	if s.Version != version {
		return State{}, fmt.Errorf("%w: %d, not %d", errVersion, s.Version, version)
	}
	if s.Suspended == nil {
		s.Suspended = map[string]Override{}
	}
	return s, nil
}
