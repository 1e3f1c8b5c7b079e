// Package policy decides where one router sends every read and write of a replicated database. A router is one gateway
// process. This file is the package's interface: settings, incoming events and outgoing actions. Each of the other files
// makes one kind of decision.
//
// Per group of hosts, the router counts consecutive failures of the primary (countPrimaryFailure). At breakerThreshold
// the breaker opens: writes, and reads that need the primary, are refused without being sent (route), and other reads go
// to replicas known to be fresh enough (pickReplica). Every member is probed (searchPrimary), and the first that answers
// as primary closes the breaker (learnRole).
package policy

import (
	"errors"
	"slices"
	"time"
)

// Identifiers are opaque: nothing about age, location or order can be read from them.
type (
	// RequestID identifies a request of a client.
	RequestID string
	// HostID identifies a database host.
	HostID string
	// SessionID identifies a client's session.
	SessionID uint64
	// GroupID identifies a primary with its replicas.
	GroupID int
)

// Outcome is how an attempt or a probe ended.
type Outcome uint8

const (
	OK            Outcome = iota
	Error                 // the host replied with an error; a write may have had its effect
	AtCapacity            // the host rejected the request without running it
	Timeout               // no reply in time; it may have run or may still be running
	ConnectFailed         // no connection; it never ran
	Reset                 // the connection was reset; it may have run
	Cancelled             // cancelled by the router; it may have run
	NotSent               // never sent
	Miss                  // rejected without running: the host is not the primary, or its data is too old
)

// MayHaveRun reports whether an attempt with this outcome may have had its effect.
func (o Outcome) MayHaveRun() bool {
	return o == Error || o == Timeout || o == Reset || o == Cancelled
}

// Role is a host's role in its group.
type Role uint8

const (
	RoleUnknown Role = iota
	Primary
	Replica
)

// ReadLevel is the consistency that a class of requests requires of the member that serves it.
type ReadLevel uint8

const (
	Loose     ReadLevel = iota // any member, however old its data
	Recent                     // data no older than Class.Bound when sent
	OwnWrites                  // all that the session has written
	Latest                     // every commit before the request arrived
	Write                      // not a read: only the primary accepts it
)

// RetrySafety tells whether a request may run twice.
type RetrySafety uint8

const (
	Retryable  RetrySafety = iota // running it twice is harmless
	DedupGroup                    // the group drops duplicates within Class.DedupWindow
	DedupAll                      // every host drops duplicates within Class.DedupWindow
	AtMostOnce                    // it must never run twice
)

// ListRole is how the host list tracks the primaries.
type ListRole uint8

const (
	ListRoleNone    ListRole = iota // it names no primaries
	ListRoleInitial                 // it names those of the start
	ListRoleDelayed                 // it follows changes late
)

// ListSource is where the host list comes from.
type ListSource uint8

const (
	ListPushed      ListSource = iota // changes arrive without a request, as in the simulator
	ListFromService                   // one service answers the calls of all routers, one after another
	ListFromAgent                     // an agent of this router holds the current list, and answers at once
)

// StartupTimeout is how long a starting router waits for its agent before it acts on the list that it was started with.
// The agent is silent while discovery is down, and then has nothing newer to offer.
const StartupTimeout = 2 * time.Second

// StaleReadMode is what a host does with a read for which its data is too old.
type StaleReadMode uint8

const (
	StaleReadServe  StaleReadMode = iota // it answers with the data it has
	StaleReadReject                      // Miss, at once
	StaleReadHold                        // Miss, after waiting Settings.StaleReadHoldTime to catch up
)

// Reason is why a request was refused or failed.
type Reason uint8

const (
	RetryForbidden Reason = iota // it has failed, and another attempt is not allowed
	RetryPointless               // it has failed, and another attempt would fail as well, or add load to a host at capacity
	NoTimeLeft                   // an answer would be worth nothing any more
	UnknownGroup                 // the list has no host of its group
	FencedOff                    // this process is fenced and accepts no writes
	BreakerOpen                  // it needs the primary, whose breaker is open
	NoPrimary                    // it needs the primary, which is unknown
	Shed                         // no capacity is left for it
	WaitTimedOut                 // no suitable host was found in the time in which a refusal is cheap
	ReasonCount                  // the number of reasons
)

// String returns the name in logs and metrics.
func (r Reason) String() string {
	names := [ReasonCount]string{
		"retry_forbidden", "retry_pointless", "no_time_left", "unknown_group", "fenced_off", "breaker_open", "no_primary", "shed", "waited_in_vain",
	}
	if r >= ReasonCount {
		return "unknown"
	}
	return names[r]
}

// Status is a host's status in the list.
type Status uint8

const (
	Healthy Status = iota
	Draining
	Gone
)

// ListKind is the content of a ListUpdate.
type ListKind uint8

const (
	ListDelta        ListKind = iota // changed entries only
	ListFull                         // the complete list
	ListCached                       // the complete list as last seen, possibly stale
	ListFailed                       // a call failed or the subscription was lost
	ListQueueTimeout                 // a call timed out in discovery's queue
)

// Class is one kind of request.
type Class struct {
	Level       ReadLevel
	Bound       time.Duration // staleness bound, for Recent
	Aim         time.Duration // an answer within it earns its full worth
	Deadline    time.Duration // how long the client waits in all, across its own retries
	Worth       float64       // of an answer within Aim, relative to other classes; 0: not stated
	LateWorth   float64       // share of its worth that an answer between Aim and Deadline earns
	RetrySafety RetrySafety
	DedupWindow time.Duration // from the sending of the first attempt that may have run
}

// Settings are the settings of a router, fixed at its start.
type Settings struct {
	Routers             int // routers in the fleet, this one included
	Zone                int
	Tick                time.Duration // shortest interval between two calls of Step
	ListSource          ListSource
	ListRole            ListRole
	PositionGranularity time.Duration
	IndependentClock    bool // this router's clock may differ from that of the databases, on which positions are given
	StaleReadMode       StaleReadMode
	StaleReadHoldTime   time.Duration
	TracksSessions      bool // the newest commit of each session is kept here, not sent by the client
	Classes             []Class

	CanProbe, CanCancel bool // whether probes and cancellations are allowed

	MaxAttempts   int           // attempts per request; 0: no limit
	MaxRetryAfter time.Duration // the longest retry-after that clients honour; 0: none

	DrainGrace     time.Duration
	GoneIsAdvisory bool // a Gone host may still be used; only Draining is binding
	MaxListAge     time.Duration
	StartCapacity  float64 // minimum share of its capacity that a host has when it starts
	SlowStartTime  time.Duration
	OverloadFactor float64       // a cold host fails when it is sent more than this multiple of its capacity
	OverloadWindow time.Duration // in a time of this length
}

// check reports settings that make no sense.
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

// Report is the state that a host reports of itself, as of some time in the past.
type Report struct {
	Position    time.Duration // replication position, on the databases' clock
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

// Event is an input of the router: one of the types below.
type Event interface{ event() }

type (
	// ListUpdate is a change of the host list, or a failure to get it.
	ListUpdate struct {
		Kind    ListKind
		Entries []Member
	}
	// Request is a client's request. The router gives it exactly one final answer.
	Request struct {
		ID            RequestID
		Class         int
		Group         GroupID
		Session       SessionID
		Timeout       time.Duration // until the client stops waiting for this request
		LastCommitAge time.Duration // since the session's last commit, negative if that is ahead of this clock; 0: none
	}
	// Result is the end of one attempt, or what the host of an attempt that had already ended reports later.
	Result struct {
		Request  RequestID
		Attempt  int // negative: an attempt that had already ended
		Host     HostID
		Outcome  Outcome
		Latency  time.Duration
		Finished bool // the request is over
		Role     Role
		// Position is the host's position, rounded down by at most PositionGranularity. After a
		// write through that host it is the position of the commit, rounded up.
		Position    time.Duration
		HasPosition bool
		Report      Report
	}
	// RequestAbandoned reports that the client no longer waits for a request.
	RequestAbandoned struct{ Request RequestID }
	// ProbeResult is the end of one probe.
	ProbeResult struct {
		Host    HostID
		Outcome Outcome
		Latency time.Duration
		Report  Report
	}
	// SessionCommitted reports the commit of a session's write whose Result came before the end of its answer, and so without it.
	SessionCommitted struct {
		Session  SessionID
		Class    int
		Position time.Duration
	}
	// TimerFired reports that a timer set by SetTimer has expired.
	TimerFired struct{ ID uint64 }
	// SuspensionChanged reports an operator override that suspends a host or lifts its suspension. A resumed host
	// has been restarted, whatever the list says. It also applies to hosts that are not in the list.
	SuspensionChanged struct {
		Host   HostID
		Active bool
	}
)

type (
	// ConcurrencyLimit is how many attempts may be outstanding at a host at once, by the fleet's connection budget.
	ConcurrencyLimit struct {
		Host HostID
		Max  int
	}
	// PreferredHosts are the hosts that this router uses first among equals. All others are not preferred.
	PreferredHosts struct{ Hosts []HostID }
	// ProcessPaused reports for how long in total the process was stopped or read late what was ready for it.
	ProcessPaused struct{ Total time.Duration }
	// PrimaryReported reports that another router got an answer from a host as primary, to a request sent at time At.
	// This router then tries that host; only the host's own answer confirms that it is the primary.
	PrimaryReported struct {
		Host HostID
		At   time.Duration
	}
	// RetryBudget bounds attempts that follow a failed one of the same request to a share of first attempts; 0: no bound.
	RetryBudget struct{ Share float64 }
	// FenceChanged fences this process, whose state is unconfirmed, or lifts the fence. While fenced it accepts no writes.
	FenceChanged struct{ Active bool }
	// OverridesPending reports whether the operator overrides made before this process began are still being loaded.
	// Requests wait for them, for at most StartupTimeout.
	OverridesPending struct{ Active bool }
	// PositionReported reports that another router knows a host to have applied all commits up to a position. It is a
	// lower bound, like one received from the host itself, and says nothing about the host's role.
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
func (SessionCommitted) event()  {}
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

// Action is an output of the router, for its caller to carry out: one of the types below.
type Action interface{ action() }

type (
	// Send starts an attempt. The attempts of a request are numbered from 0.
	Send struct {
		Request     RequestID
		Host        HostID
		Timeout     time.Duration
		BeginWithin time.Duration // the attempt has to begin within this time or not at all; 0: at any time
	}
	// Refuse is a final answer: the request did not run or may safely run again, best after RetryAfter.
	Refuse struct {
		Request    RequestID
		Reason     Reason
		RetryAfter time.Duration
	}
	// Fail is a final answer: the request may have run.
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
	// StopUsingHost closes the idle connections to a host and returns attempts waiting for a connection to it as NotSent.
	StopUsingHost struct{ Host HostID }
	// SetTimer requests a TimerFired event after a time.
	SetTimer struct {
		After time.Duration
		ID    uint64
	}
	// Subscribe requests the list and its changes. A call that brings nothing within Timeout has failed.
	Subscribe struct{ Timeout time.Duration }
	// Log is a log line for the operators.
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
