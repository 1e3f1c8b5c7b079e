// Package membership tracks which gateways of a fleet are alive. It is a state machine without I/O: messages and
// timestamps go in, outgoing messages and views come out, and all randomness comes from a seed.
//
// The protocol is SWIM (Das, Gupta, Motivala 2002): in each period a member probes one other, directly and then
// through helpers. A member that does not answer becomes suspect, and dead unless it refutes the suspicion in time
// by raising its incarnation. Updates are piggybacked on messages that are sent anyway. Three additions come from
// Lifeguard (Dadgar, Phillips, Currey 2018): the local health multiplier, by which a process that was paused or
// starved relaxes its own timeouts before it suspects others; suspicion timeouts that shorten with independent
// confirmations; and sending a suspicion to the suspected member first. Periodic digests, followed by exchanges of
// full member lists where they differ, repair what gossip missed.
//
// Timestamps are durations since the Unix epoch and never decrease.
package membership

import (
	"net/netip"
	"time"
)

// State is the state of a member as known locally.
type State uint8

// The states, in increasing order of precedence within one incarnation.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

func (s State) String() string {
	return [...]string{"alive", "suspect", "dead", "left", "odd"}[min(s, Left+1)]
}

// Live reports whether a member in this state counts as serving.
func (s State) Live() bool { return s <= Suspect }

// Entry describes one member in a message.
type Entry struct {
	Name          string         `cbor:"1,keyasint"`
	Addr          netip.AddrPort `cbor:"2,keyasint"` // as the member advertises it; others may have to dial another
	Incarnation   uint64         `cbor:"3,keyasint"` // initially the process's start time in microseconds; raised by refutations
	Session       uint64         `cbor:"4,keyasint"` // random, drawn at start: distinguishes two processes of one name
	State         State          `cbor:"5,keyasint,omitempty"`
	DuplicateName bool           `cbor:"6,keyasint,omitempty"` // another process claims the name
	SuspectedBy   string         `cbor:"7,keyasint,omitempty"` // name of the member that suspects it
	Zone          string         `cbor:"8,keyasint,omitempty"` // the member's availability zone
	GoneForMS     uint32         `cbor:"9,keyasint,omitempty"` // in a message: how long the sender has known it dead or left; 0 for a live member
}

// Kind is the type of a message.
type Kind uint8

// The kinds.
const (
	Ping     Kind = iota + 1 // probe
	Ack                      // answer to a Ping; or from a helper: the target answered
	PingReq                  // request for an indirect probe of Target
	Nack                     // from a helper: the target has not answered yet, but the helper is alive
	Gossip                   // updates only
	Sync                     // digest of the member list
	Exchange                 // full member list, over a stream
	Reply                    // the receiver's full member list, in answer to an Exchange
)

// Message is a message between two gateways.
type Message struct {
	Kind     Kind           `cbor:"1,keyasint"`
	From     Entry          `cbor:"2,keyasint"`
	Observer bool           `cbor:"3,keyasint,omitempty"` // the sender is not a member at the moment
	Seq      uint64         `cbor:"4,keyasint,omitempty"`
	Target   string         `cbor:"5,keyasint,omitempty"` // member that a Ping or PingReq is for; empty: any process at that address
	Addr     netip.AddrPort `cbor:"6,keyasint,omitzero"`
	Session  uint64         `cbor:"7,keyasint,omitempty"`
	Digest   uint64         `cbor:"8,keyasint,omitempty"`
	Updates  []Entry        `cbor:"9,keyasint,omitempty"`
}

// Send is an outgoing message.
type Send struct {
	To      string         // name of the receiving member; empty: only its address is known
	Addr    netip.AddrPort // as the member advertises it
	Direct  bool           // dial Addr itself, even if another address is configured for the name
	Stream  bool           // send over a connection
	Via     uint64         // the connection on which the request came; 0: a new one
	Message Message
}

// Change reports that a member's state in this gateway's list has changed.
type Change struct {
	Entry    Entry
	Previous State
	New      bool // the member was not known before
}

// Member is a member in a view.
type Member struct {
	Name          string         `json:"name"`
	Addr          netip.AddrPort `json:"addr"`
	Session       uint64         `json:"session"`
	DuplicateName bool           `json:"twice,omitempty"` // two processes claim the name: a fault
	Zone          string         `json:"zone,omitempty"`
}

// View is the stable view: members sorted by name. It shows a change once that has lasted for Config.StableAfter; a
// member that leaves in an orderly way is removed at once.
//
// A consumer may conclude that two views with equal digests have the same members, and that a member of the view
// was alive recently as far as this gateway can tell. It may not conclude that any other gateway has this view now
// or ever will, nor that a gateway missing from it has ended: on the two sides of a partition both views are right.
// Each process counts versions for itself; they are not comparable across processes.
type View struct {
	Version uint64
	Digest  uint64
	Members []Member
}

// Names returns the names of the members.
func (v View) Names() (names []string) {
	for _, m := range v.Members {
		names = append(names, m.Name)
	}
	return names
}

// Config configures a Machine.
type Config struct {
	Name       string
	Addr       netip.AddrPort
	Start      time.Duration // start time of the process, the first incarnation
	Session    uint64
	Zone       string
	Seed       uint64           // of the random generator
	Seeds      []netip.AddrPort // addresses at which to look for other gateways
	MaxMembers int              // members kept, including dead ones

	ProbePeriod    time.Duration // time between probes
	ProbeTimeout   time.Duration // of a direct probe
	IndirectProbes int           // helpers asked for indirect probes
	StableAfter    time.Duration // how long a change must last before the view shows it
}

// Defaults returns the configuration with zero fields set to their defaults.
func (c Config) Defaults() Config {
	set := func(d *time.Duration, to time.Duration) {
		if *d == 0 {
			*d = to
		}
	}
	set(&c.ProbePeriod, 200*time.Millisecond)
	set(&c.ProbeTimeout, c.ProbePeriod*2/5)
	set(&c.StableAfter, time.Second)
	if c.IndirectProbes == 0 {
		c.IndirectProbes = 3
	}
	if c.MaxMembers == 0 {
		c.MaxMembers = 4096
	}
	return c
}

// Counts are counters since the start of the process.
type Counts struct {
	Probes, FailedProbes       uint64 // probes, and those that nobody answered
	Suspicions                 uint64 // started by this gateway
	Refutations                uint64 // of claims about this gateway
	Deaths                     uint64 // declared by this gateway
	Pauses                     uint64 // pauses that this process detected in itself
	Exchanges                  uint64 // of full member lists
	Overflow                   uint64 // members rejected because the list was full
	Superseded, DuplicateNames uint64 // times another process took, or also claimed, the name
}
