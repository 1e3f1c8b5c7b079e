// Package policy decides, for one router, where every read and write of a
// replicated store goes. This file is its interface: settings, events in and
// actions out. The decisions are in the files beside it, one concern each.
//
// The mechanism, per group of hosts: count consecutive failures of the primary (countFailure); at breakerThreshold the
// breaker opens, writes and reads that need the primary are refused unsent (route), reads go on at replicas known to be
// fresh enough (pickReplica); every member is probed (seek) and the first that answers as primary closes the breaker
// (learnRole).
package policy

import (
	"errors"
	"slices"
	"time"
)

// Identifiers are opaque: they tell nothing of age, place or order.
type (
	RequestID string
	HostID    string
	SessionID uint64
	GroupID   int
)

// Outcome is how an attempt or a probe ended.
type Outcome uint8

const (
	OK            Outcome = iota
	Error                 // the host replied with an error; a write may have had its effect
	AtCapacity            // rejected unseen
	Timeout               // no reply in time; it may have run or run still
	ConnectFailed         // no connection; it never ran
	Reset                 // the connection dropped; it may have run
	Cancelled             // called off by the router; it may have run
	NotSent               // never sent
	Miss                  // turned away untouched: not the primary, or too far behind
)

// MayHaveRun tells whether an attempt that ended so may have had its effect.
func (o Outcome) MayHaveRun() bool {
	return o == Error || o == Timeout || o == Reset || o == Cancelled
}

// Role is a host's part in its group.
type Role uint8

const (
	RoleUnknown Role = iota
	Primary
	Replica
)

// ReadLevel is what a class of requests asks of the member that serves it.
type ReadLevel uint8

const (
	Loose     ReadLevel = iota // any member, however old its data
	Recent                     // data no older than Class.Bound when sent
	OwnWrites                  // all that the session has written
	Latest                     // every commit before the request arrived
	Write                      // only the primary takes it
)

// RetrySafety says how safe it is to run a request twice.
type RetrySafety uint8

const (
	Retryable  RetrySafety = iota // harmless
	DedupGroup                    // the group drops repeats within Class.DedupWindow
	DedupAll                      // every host drops repeats within Class.DedupWindow
	AtMostOnce                    // it must never run twice
)

// ListRole is how the host list tracks the primaries.
type ListRole uint8

const (
	ListRoleNone ListRole = iota
	ListRoleInitial
	ListRoleDelayed
)

// ListSource is where the host list comes from.
type ListSource uint8

const (
	ListPushed      ListSource = iota // changes come by themselves, as in the simulator
	ListFromService                   // one service answers the calls of all routers, one after another
	ListFromAgent                     // an agent of this router's own holds what was sent to it, and answers at once
)

// StartupTimeout is how long a router that starts waits for its agent before it acts on the list that it was started with: an
// agent is silent while discovery is down, and has nothing newer then that could be learned.
const StartupTimeout = 2 * time.Second

// StaleReadMode is what a host does with a read it is too far behind for.
type StaleReadMode uint8

const (
	StaleReadServe  StaleReadMode = iota // it answers from what it has
	StaleReadReject                      // Miss, at once
	StaleReadHold                        // Miss, after waiting Settings.Patience to catch up
)

// Reason is why a request was given up.
type Reason uint8

const (
	RetryForbidden Reason = iota // it has failed, and another attempt may not be made
	RetryPointless               // it has failed, and another attempt would fail as well, or add load where there is no room
	NoTimeLeft                   // an answer would earn nothing any more
	UnknownGroup                 // the list names no host of its group
	FencedOff                    // this process takes no writes
	BreakerOpen                  // it needs the primary, whose breaker is open
	NoPrimary                    // it needs the primary, which nobody knows
	Shed                         // there is no room for it
	WaitTimedOut                 // no host that fits was found in the time in which a refusal is cheap
	ReasonCount                  // how many there are
)

// String is the name in logs and metrics.
func (r Reason) String() string {
	names := [ReasonCount]string{
		"retry_forbidden", "retry_pointless", "no_time_left", "unknown_group", "fenced_off", "breaker_open", "no_primary", "shed", "waited_in_vain",
	}
	if r >= ReasonCount {
		return "unknown"
	}
	return names[r]
}

// Status is a host's standing in the list.
type Status uint8

const (
	Healthy Status = iota
	Draining
	Gone
)

// ListKind is what a Members event brings.
type ListKind uint8

const (
	ListDelta        ListKind = iota // changed entries only
	ListFull                         // the complete list
	ListCached                       // the complete list as last seen, perhaps stale
	ListFailed                       // a call failed or the subscription dropped
	ListQueueTimeout                 // a call has waited in discovery's queue in vain
)

// Class is one kind of request.
type Class struct {
	Level       ReadLevel
	Bound       time.Duration // for Recent
	Aim         time.Duration // an answer within it earns its full worth
	Deadline    time.Duration // the client's total wait, across its tries
	Worth       float64       // of an answer within Aim, against other classes; 0: not stated
	LateWorth   float64       // share of its worth that an answer between Aim and Deadline earns
	RetrySafety RetrySafety
	DedupWindow time.Duration // from the sending of the first attempt that may have run
}

// Settings is what a router is told once, at its start.
type Settings struct {
	Routers             int // routers of this kind, itself included
	Zone                int
	Tick                time.Duration // shortest gap between batches
	ListSource          ListSource
	ListRole            ListRole
	PositionGranularity time.Duration
	IndependentClock    bool // this router's clock may stand apart from that of the databases, whose times positions are
	StaleReadMode       StaleReadMode
	StaleReadHoldTime   time.Duration
	TracksSessions      bool // session marks are kept here, not carried by the client
	Classes             []Class

	CanProbe, CanCancel bool // what may be used

	MaxAttempts   int           // attempts per request; 0 means no limit
	MaxRetryAfter time.Duration // the longest advice that clients take; 0: none

	DrainGrace     time.Duration
	GoneIsAdvisory bool // only Draining binds
	MaxListAge     time.Duration
	StartCapacity  float64 // share of its capacity that a starting host has at least
	SlowStartTime  time.Duration
	OverloadFactor float64
	OverloadWindow time.Duration
}

// check tells what in the settings cannot be meant.
func (s *Settings) check() error {
	if len(s.Classes) == 0 {
		return errors.New("settings: no classes")
	}
	for _, c := range s.Classes {
		if c.Aim <= 0 || c.Deadline <= 0 || c.Bound < 0 || c.DedupWindow < 0 {
			return errors.New("settings: a class has a negative time, no aim or no deadline")
		}
	}
	times := []time.Duration{s.Tick, s.StaleReadHoldTime, s.MaxRetryAfter, s.DrainGrace, s.MaxListAge, s.SlowStartTime, s.OverloadWindow}
	if slices.Min(times) < 0 {
		return errors.New("settings: a time is negative")
	}
	return nil
}

// Report is what a host says of itself, as of some moment in the past.
type Report struct {
	Position    time.Duration // on the databases' clock
	HasPosition bool
	Role        Role
}

// Member is one entry of the host list.
type Member struct {
	Host      HostID
	Group     GroupID
	Zone      int
	Status    Status
	Primary   bool          // as far as the list knows
	StartedAt time.Duration // 0: long ago
}

// Event is something that reached the router: one of the types below.
type Event interface{ event() }

type (
	// ListUpdate is news of the host list.
	ListUpdate struct {
		Kind    ListKind
		Entries []Member
	}
	// Request is a client's request; the router owes it one final answer.
	Request struct {
		ID            RequestID
		Class         int
		Group         GroupID
		Session       SessionID
		Timeout       time.Duration // until the client gives up on this try
		LastCommitAge time.Duration // since the session's last commit, below zero where that is ahead of this clock; 0: none
	}
	// Result is the end of one attempt, or what the host of one that had ended tells besides.
	Result struct {
		Request  RequestID
		Attempt  int // negative: of one that had ended
		Host     HostID
		Outcome  Outcome
		Latency  time.Duration
		Finished bool // the request is over
		Role     Role
		// Position is the host's, rounded down by at most PositionGrain; for a
		// write that went through it is its commit, rounded up.
		Position    time.Duration
		HasPosition bool
		Report      Report
	}
	// RequestAbandoned tells that a request is over on the client's side.
	RequestAbandoned struct{ Request RequestID }
	// ProbeResult is the end of one probe.
	ProbeResult struct {
		Host    HostID
		Outcome Outcome
		Latency time.Duration
		Report  Report
	}
	// TimerFired is one of the router's own timers.
	TimerFired struct{ ID uint64 }
	// SuspensionChanged tells that the operators leave a host out, or have it serve again: it has
	// started anew by then, whatever the list says. It holds for hosts the list does not name.
	SuspensionChanged struct {
		Host   HostID
		Active bool
	}
)

type (
	// ConcurrencyLimit tells how many attempts may be out to a host at once, as far as the fleet's budget goes.
	ConcurrencyLimit struct {
		Host HostID
		Max  int
	}
	// PreferredHosts are the hosts that this router uses first among equals; those not named are not preferred.
	PreferredHosts struct{ Hosts []HostID }
	// ProcessPaused tells for how long, all in all, the process has stood still or come late to what was ready for it.
	ProcessPaused struct{ Total time.Duration }
	// PrimaryReported tells that another router had an answer of a host as primary, which it had asked at a moment. It points this
	// router there; whether the host is the primary shows when it is asked.
	PrimaryReported struct {
		Host HostID
		At   time.Duration
	}
	// RetryBudget bounds attempts that follow a failed one of the same request to a share of the first ones; 0: they are not.
	RetryBudget struct{ Share float64 }
	// FenceChanged tells that this process acts on knowledge that it cannot vouch for: it takes no writes until told otherwise.
	FenceChanged struct{ Active bool }
	// OverridesPending tells that it is not known yet what operators said before this process began: requests wait for that, for
	// CompareTime at most.
	OverridesPending struct{ Active bool }
	// PositionReported tells that another router knows a host to have applied all commits up to a position. It is a floor, as
	// one heard from the host itself; no role follows from it.
	PositionReported struct {
		Host     HostID
		Position time.Duration
	}
)

func (ListUpdate) event()        {}
func (Request) event()           {}
func (Result) event()            {}
func (RequestAbandoned) event()  {}
func (ProbeResult) event()       {}
func (TimerFired) event()        {}
func (SuspensionChanged) event() {}
func (ConcurrencyLimit) event()  {}
func (PreferredHosts) event()    {}
func (ProcessPaused) event()     {}
func (FenceChanged) event()      {}
func (RetryBudget) event()       {}
func (PrimaryReported) event()   {}
func (PositionReported) event()  {}
func (OverridesPending) event()  {}

// Action is something the router wants done: one of the types below.
type Action interface{ action() }

type (
	// Send starts an attempt. A request's attempts count from 0.
	Send struct {
		Request     RequestID
		Host        HostID
		Timeout     time.Duration
		BeginWithin time.Duration // within which it has to begin, or not at all; 0: any time
	}
	// Refuse is a final answer: trying again is harmless, best after RetryAfter.
	Refuse struct {
		Request    RequestID
		Reason     Reason
		RetryAfter time.Duration
	}
	// Fail is a final answer that promises nothing.
	Fail struct {
		Request RequestID
		Reason  Reason
	}
	// Cancel stops waiting for one attempt.
	Cancel struct {
		Request RequestID
		Attempt int
	}
	// Probe asks a host for its report.
	Probe struct{ Host HostID }
	// CloseIdleConnections closes the idle connections to a host.
	CloseIdleConnections struct{ Host HostID }
	// StopUsingHost does so, too, and gives back as NotSent what waits for a connection to it.
	StopUsingHost struct{ Host HostID }
	// SetTimer asks for Elapsed.
	SetTimer struct {
		After time.Duration
		ID    uint64
	}
	// Subscribe asks for the list and its changes. A call that has brought nothing for a time of Within has failed.
	Subscribe struct{ Timeout time.Duration }
	// Log is a line for the operators.
	Log struct{ Text string }
)

func (Send) action()                 {}
func (Refuse) action()               {}
func (Fail) action()                 {}
func (Cancel) action()               {}
func (Probe) action()                {}
func (CloseIdleConnections) action() {}
func (StopUsingHost) action()        {}
func (SetTimer) action()             {}
func (Subscribe) action()            {}
func (Log) action()                  {}
