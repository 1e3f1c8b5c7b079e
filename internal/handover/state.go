// Package handover keeps the state that two processes of one gateway share while one takes over
// from the other: which processes are alive, which databases operators have suspended, whether the
// gateway is drained. The files are in the private directory that both processes are given.
// state.go merges states without I/O; share.go reads and writes the files.
package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"time"
)

// stateVersion is the version of the file format; a state of another version is rejected.
const stateVersion = 1

// Override is one operator override with the timestamp by which overrides are ordered: the time at which it was set, or one
// more than the newest known timestamp if the clock of this process is not past that. Clocks of two processes may differ.
type Override struct {
	Active    bool  `json:"on"`
	Timestamp int64 `json:"at_us"` // Unix microseconds
}

// State holds all overrides. Of two overrides of one database, or of the gateway, the newer wins, whichever process accepted it.
type State struct {
	Version   int                 `json:"version"`
	Suspended map[string]Override `json:"suspended"`
	Drained   Override            `json:"drained"`
}

// newer reports whether o replaces old. With equal timestamps the active one wins, so that both processes decide alike.
func (o Override) newer(old Override) bool {
	return o.Timestamp > old.Timestamp || o.Timestamp == old.Timestamp && o.Active && !old.Active
}

// merge adopts the newer overrides of other and reports whether there were any.
func (s *State) merge(other State) (changed bool) {
	for id, override := range other.Suspended {
		if override.newer(s.Suspended[id]) {
			s.Suspended[id] = override
			changed = true
		}
	}
	if other.Drained.newer(s.Drained) {
		s.Drained = other.Drained
		changed = true
	}
	return changed
}

// newestTimestamp returns the timestamp of the newest override.
func (s *State) newestTimestamp() int64 {
	newest := s.Drained.Timestamp
	for override := range maps.Values(s.Suspended) {
		newest = max(newest, override.Timestamp)
	}
	return newest
}

// nextTimestamp returns the timestamp of an override that is set now: later than all known ones.
func (s *State) nextTimestamp(now time.Duration) int64 {
	return max(now.Microseconds(), s.newestTimestamp()+1)
}

// inactiveRetention is how long a process keeps an inactive override of a database; by then every other process has read it.
const inactiveRetention = 10 * time.Minute

// inactiveOverrides holds the inactive overrides that this process knows, by database.
type inactiveOverrides map[string]firstSeen

// firstSeen is an override and the time at which this process first saw it, by its own clock, which is not stepped. The
// timestamp in the override may come from another process's clock.
type firstSeen struct {
	override Override
	at       time.Duration
}

// pruneInactive drops inactive overrides that have been known for longer than inactiveRetention.
func (s *State) pruneInactive(inactive inactiveOverrides, now time.Duration) {
	maps.DeleteFunc(inactive, func(id string, first firstSeen) bool { return s.Suspended[id] != first.override })
	for id, override := range s.Suspended {
		if _, known := inactive[id]; !known && !override.Active {
			inactive[id] = firstSeen{override, now}
		}
	}
	maps.DeleteFunc(s.Suspended, func(id string, e Override) bool { return !e.Active && now-inactive[id].at > inactiveRetention })
}

var errVersion = errors.New("unsupported version")

// parse decodes a state; one that is truncated or of another version is an error.
func parse(text []byte) (State, error) {
	s := State{}
	if err := json.Unmarshal(text, &s); err != nil {
		return State{}, err
	}
	if s.Version != stateVersion {
		return State{}, fmt.Errorf("%w: %d, not %d", errVersion, s.Version, stateVersion)
	}
	if s.Suspended == nil {
		s.Suspended = map[string]Override{}
	}
	return s, nil
}
