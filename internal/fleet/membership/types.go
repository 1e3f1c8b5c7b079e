// Package membership tells which gateways of a fleet live. It is a state machine without input or output:
// messages and moments go in, messages to send and views come out, and all chance comes from a seed.
//
// The protocol is SWIM (Das, Gupta, Motivala 2002): in each period a member probes one other, directly and then
// through helpers; who does not answer is suspected, and dead when nobody refutes the suspicion in time. A member
// refutes what is said of it by raising its incarnation. News travel on the messages that are sent anyway. From
// Lifeguard (Dadgar, Phillips, Currey 2018) come the local health multiplier, by which a process that was stopped
// or starved doubts itself before others, suspicions that shorten with independent confirmations, and the rule
// that a suspected member is the first to be told. Periodic digests with whole lists behind them repair what
// gossip missed.
//
// Moments are durations since the Unix epoch that never go back.
package membership

import (
	"net/netip"
	"time"
)

// State is what is known of a member.
type State uint8

// The states, in the order in which they prevail within one incarnation.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

func (s State) String() string {
	return [...]string{"alive", "suspect", "dead", "left", "odd"}[min(s, Left+1)]
}

// Live tells whether a member in this state is counted as one that serves.
func (s State) Live() bool { return s <= Suspect }

// Entry is what one gateway tells another of a member.
type Entry struct {
	Name          string         `cbor:"1,keyasint"`
	Addr          netip.AddrPort `cbor:"2,keyasint"` // as the member tells it; others may have to dial another
	Incarnation   uint64         `cbor:"3,keyasint"` // starts as the microsecond of the process's start; raised by refutations
	Session       uint64         `cbor:"4,keyasint"` // drawn at the start: tells two processes of one name apart
	State         State          `cbor:"5,keyasint,omitempty"`
	DuplicateName bool           `cbor:"6,keyasint,omitempty"` // another process claims the name
	SuspectedBy   string         `cbor:"7,keyasint,omitempty"` // who suspects it
	Zone          string         `cbor:"8,keyasint,omitempty"` // where it is
	GoneForMS     uint32         `cbor:"9,keyasint,omitempty"` // in a message: how long ago it went, as the sender knows; 0 of one that lives
}

// Kind is what a message is for.
type Kind uint8

// The kinds.
const (
	Ping     Kind = iota + 1 // are you there
	Ack                      // I am; or: a helper has heard from the one you asked for
	PingReq                  // ask Target for me
	Nack                     // a helper has not heard from it so far, but is there itself
	Gossip                   // news alone
	Sync                     // a digest of the list
	Exchange                 // the whole list, over a stream
	Reply                    // the other whole list
)

// Message is one message between two gateways.
type Message struct {
	Kind     Kind           `cbor:"1,keyasint"`
	From     Entry          `cbor:"2,keyasint"`
	Observer bool           `cbor:"3,keyasint,omitempty"` // the sender is not a member at the moment
	Seq      uint64         `cbor:"4,keyasint,omitempty"`
	Target   string         `cbor:"5,keyasint,omitempty"` // whom a Ping or PingReq is for; empty: whoever is there
	Addr     netip.AddrPort `cbor:"6,keyasint,omitzero"`
	Session  uint64         `cbor:"7,keyasint,omitempty"`
	Digest   uint64         `cbor:"8,keyasint,omitempty"`
	Updates  []Entry        `cbor:"9,keyasint,omitempty"`
}

// Send is a message that is to go out.
type Send struct {
	To      string         // the member's name; empty: only its address is known
	Addr    netip.AddrPort // as the member told it
	Direct  bool           // Addr is to be dialled as it is, whatever is set for the name
	Stream  bool           // over a connection
	Via     uint64         // on the connection on which the request came; 0: a new one
	Message Message
}

// Change is told when the state of a member changes in this gateway's list.
type Change struct {
	Entry    Entry
	Previous State
	New      bool // the member was not known before
}

// Member is one of a view.
type Member struct {
	Name          string         `json:"name"`
	Addr          netip.AddrPort `json:"addr"`
	Session       uint64         `json:"session"`
	DuplicateName bool           `json:"twice,omitempty"` // two processes claim the name: a fault
	Zone          string         `json:"zone,omitempty"`
}

// View is the stable view: members sorted by name. A change is in it once it has held still for Config.Still; a
// member that leaves in order is out of it at once.
//
// A consumer may conclude that two views with equal digests have the same members, and that a member of the view
// lived a short while ago as far as this gateway can tell. It may not conclude that any other gateway has this
// view now or ever will, nor that who is not in it has ended: on the two sides of a partition both views are
// right. Versions are counted by each process for itself and compare with nothing else.
type View struct {
	Version uint64
	Digest  uint64
	Members []Member
}

// Names are those of the members.
func (v View) Names() (names []string) {
	for _, m := range v.Members {
		names = append(names, m.Name)
	}
	return names
}

// Config is what a machine is told at its start.
type Config struct {
	Name       string
	Addr       netip.AddrPort
	Start      time.Duration // the moment of the process's start, the first incarnation
	Session    uint64
	Zone       string
	Seed       uint64
	Seeds      []netip.AddrPort // where others may be found
	MaxMembers int              // members kept at most, the dead included

	ProbePeriod    time.Duration // of probes
	ProbeTimeout   time.Duration // of a direct probe
	IndirectProbes int           // for indirect probes
	StableAfter    time.Duration // how long a change holds before it is in the view
}

// Defaults fills in what is zero.
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

// Counts are what has happened since the start.
type Counts struct {
	Probes, FailedProbes       uint64 // probes, and those that nobody answered
	Suspicions                 uint64 // begun by this gateway
	Refutations                uint64 // of what was said of this gateway
	Deaths                     uint64 // declared by this gateway
	Pauses                     uint64 // moments at which this process found that it had stood still
	Exchanges                  uint64 // of whole lists
	Overflow                   uint64 // members not taken in, as the list is full
	Superseded, DuplicateNames uint64 // times another process took or claimed the name
}
