package main

import (
	"fmt"
	"log"
	"net/netip"
	"strconv"
	"time"

	"lilaccove/internal/backend"
	"lilaccove/internal/control"
	"lilaccove/internal/discovery"
	"lilaccove/internal/fleet/state"
	"lilaccove/internal/front"
	"lilaccove/internal/gateway"
	"lilaccove/internal/handover"
	"lilaccove/internal/invariant"
	"lilaccove/internal/netloop"
	"lilaccove/internal/peer"
	"lilaccove/internal/stats"
	"lilaccove/policy"
)

const (
	// acceptTimeAfterTerm is how long clients are still accepted after SIGTERM, until the load balancer has noticed.
	acceptTimeAfterTerm = 700 * time.Millisecond
	// A drain must leave no client idle 4 s after the call, nor any client whose request is younger than 2 s.
	drainDuration = 1700 * time.Millisecond
	// A process that hands over accepts no more requests after handoverMaxDuration or, if it is killed soon, the part
	// handoverPercent of its time until the last answers. It closes idle clients within handoverPercent of that.
	handoverMaxDuration = 2 * time.Second
	handoverPercent     = 60
	// SIGKILL follows SIGTERM after acceptTimeAfterTerm plus the longest deadline or maxKillDelay, whichever is shorter.
	// Answers are due lastAnswerMargin before that: this process may be held up for maxStall when SIGTERM arrives, and again
	// when it answers.
	maxKillDelay     = 3 * time.Second
	maxStall         = 150 * time.Millisecond
	lastAnswerMargin = 2*maxStall + 50*time.Millisecond
	// How often a process checks for sibling processes, without one and with one.
	pollIntervalAlone       = 100 * time.Millisecond
	pollIntervalWithSibling = 20 * time.Millisecond
	// answerMemoryPart is the part of the memory that answers may take before clients read them: one in so many bytes.
	answerMemoryPart = 8
	// largeMemoryPart is the part of the memory that large statements may take: one in so many bytes.
	largeMemoryPart = 6
	// clientsPart is the part of the descriptors that clients may take, clientReservePart the part that is left free when a client is accepted, and
	// poolReservePart the part left free when a connection to a database is opened: one in so many.
	clientsPart       = 2
	clientReservePart = 8
	poolReservePart   = 16
	// acknowledgeTimeout is how long the reply to an operator waits for the sibling process to apply the override.
	acknowledgeTimeout = 700 * time.Millisecond
)

// operations implements what operators and the platform request of the whole program: readiness, metrics, overrides,
// handover to a successor process, and graceful shutdown.
type operations struct {
	loop      *netloop.Loop
	front     *front.Front
	core      *gateway.Gateway
	discovery *discovery.Client
	pool      *backend.Pool
	counts    *stats.Counters
	side      *control.Side
	links     *peer.Links // to the fleet; nil without a fleet file
	guard     *invariant.Guard

	listSource                   policy.ListSource
	memoryBytes, descriptorLimit int
	maxDeadline                  time.Duration // the longest of any class
	startTime                    time.Duration
	shared                       *handover.SharedState // nil without an inherited socket or TMPDIR: siblings cannot be seen
	overridesPending             bool                  // the overrides of earlier processes have not been read yet
	siblingAlive                 bool                  // a sibling process is alive
	drained                      bool                  // locally or by a fleet override
	drainedLocally               bool
	drainedByFleet               bool
	shuttingDown                 bool // SIGTERM was received
	handingOver                  bool // to a successor
	frontClosed                  bool // no clients are accepted, and all are closed after their answers
	pendingReplies               []pendingReply
}

// pendingReply is a reply to an operator that waits until the override is persisted for a successor and the sibling
// process, if there is one, has applied it.
type pendingReply struct {
	deadline time.Duration
	reply    func(kept bool)
}

// listen listens on the clients' address, or takes over the listening socket that the platform keeps open for it.
func (o *operations) listen(addr netip.AddrPort, env func(string) string) (netip.AddrPort, error) {
	text := env("GW_INHERITED_FD")
	if text == "" {
		return o.front.Listen(addr)
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < 3 {
		return addr, fmt.Errorf("GW_INHERITED_FD: %q is not the number of an inherited descriptor", text)
	}
	actual, err := o.front.Inherit(fd, addr)
	if err != nil {
		return addr, fmt.Errorf("GW_INHERITED_FD: %w", err)
	}
	if dir := env("TMPDIR"); dir == "" {
		log.Printf("event=alone reason=%q", "TMPDIR is not set")
	} else {
		o.shared = handover.Join(dir)
		o.shared.ShareRequests(o.maxDeadline)
		o.front.ShareIDs(o.shared)
		o.overridesPending = !o.shared.Loaded()
		o.core.FleetEvent(policy.OverridesPending{Active: o.overridesPending})
		o.applyShared(o.shared.State())
		o.pollSibling()
	}
	return actual, o.openFront()
}

// openFront starts to accept clients as soon as this process may: with a fleet, once its overrides are synchronized; with
// a live sibling, which serves clients meanwhile, once this process has a current list or has waited
// [policy.StartupTimeout] for it.
func (o *operations) openFront() error {
	if o.links != nil && !o.links.Synced() {
		return nil
	}
	if o.siblingAlive && (o.core.ListSize() == 0 || !o.discovery.ListReceived()) && o.loop.Now() < o.startTime+policy.StartupTimeout {
		return nil
	}
	return o.front.Open()
}

// pollSibling checks the shared state, sends the replies that are due, and schedules itself again.
func (o *operations) pollSibling() {
	o.refreshShared()
	now, interval := o.loop.Now(), pollIntervalAlone
	if o.siblingAlive {
		interval = pollIntervalWithSibling
	}
	o.loop.At(now+interval, o.pollSibling)
	if len(o.pendingReplies) > 0 && o.acknowledged() {
		o.sendExpiredReplies(now + acknowledgeTimeout) // all of them: no deadline is later
	}
	o.sendExpiredReplies(now)
}

// persisted reports whether a successor would find all overrides accepted here.
func (o *operations) persisted() bool { return o.shared == nil || o.shared.Persisted() }

// reply answers an operator. All replies to overrides go through it, so that the guard detects a success response for an
// override that is not persisted.
func (o *operations) reply(reply func(kept bool), success bool) {
	o.guard.CheckOverrideKept(!success || o.persisted())
	reply(success)
}

// acknowledged reports whether all overrides accepted here are persisted and applied by the sibling process.
func (o *operations) acknowledged() bool {
	return o.persisted() && (!o.siblingAlive || o.shared.Acknowledged())
}

// replyWhenAcknowledged calls reply when all overrides accepted so far are acknowledged, or after acknowledgeTimeout.
func (o *operations) replyWhenAcknowledged(reply func(kept bool)) {
	if o.acknowledged() {
		o.reply(reply, true)
		return
	}
	o.pendingReplies = append(o.pendingReplies, pendingReply{deadline: o.loop.Now() + acknowledgeTimeout, reply: reply})
}

// refreshShared checks the shared state once. Code that depends on whether a sibling is alive calls it first, because
// one may have started since the last poll.
func (o *operations) refreshShared() {
	if o.shared == nil {
		return
	}
	if o.overridesPending && o.shared.Loaded() {
		o.overridesPending = false
		o.core.FleetEvent(policy.OverridesPending{Active: false})
	}
	if alive := o.shared.Poll(o.applyShared); alive != o.siblingAlive {
		o.siblingAlive = alive
		o.splitLimits()
	}
	if o.handingOver && !o.siblingAlive && !o.frontClosed {
		o.resumeAccepting()
	}
}

// resumeAccepting accepts clients again until this process exits: the successor ended first, so no other process does.
func (o *operations) resumeAccepting() {
	if err := o.front.ResumeAccepting(); err != nil {
		log.Printf("event=not_open err=%q", err) // the next poll retries
		return
	}
	log.Printf("event=successor_lost owed=%d clients=%d", o.core.Unanswered(), o.front.Clients())
	o.handingOver = false
}

// splitLimits limits this process to half of the resources while a sibling is alive.
func (o *operations) splitLimits() {
	parts := 1
	if o.siblingAlive {
		parts = 2
	}
	log.Printf("event=processes beside=%t", o.siblingAlive)
	o.loop.SetDescriptorLimit(o.descriptorLimit / parts)
	o.loop.SetBufferLimit(o.memoryBytes / 4 / parts)
	o.front.SetMaxClients(o.descriptorLimit/clientsPart/parts, o.descriptorLimit/clientReservePart/parts)
	o.pool.SetReserve(o.descriptorLimit / poolReservePart / parts)
	o.front.SetMaxLargeBytes(o.memoryBytes / largeMemoryPart / parts)
	o.front.SetMaxAnswerBytes(o.memoryBytes / answerMemoryPart / parts)
	setHeapLimit(o.memoryBytes / parts)
	if o.links != nil {
		o.links.SetSibling(o.siblingAlive)
	}
}

// applyShared applies the overrides that a sibling or an earlier process accepted.
func (o *operations) applyShared(shared handover.State) {
	for id, override := range shared.Suspended {
		o.core.SetSuspended(policy.HostID(id), o.side.SetLocalOverride(id, override.Active))
	}
	o.drainedLocally = shared.Drained.Active
	o.applyDrain()
}

// sendExpiredReplies sends the replies whose deadline is not after the given time.
func (o *operations) sendExpiredReplies(until time.Duration) {
	for len(o.pendingReplies) > 0 && o.pendingReplies[0].deadline <= until {
		o.reply(o.pendingReplies[0].reply, o.persisted())
		o.pendingReplies = o.pendingReplies[1:]
	}
}

// Ready reports whether requests are served, and if not, why.
func (o *operations) Ready() (reason string, ok bool) {
	switch {
	case o.shuttingDown:
		return "ending", false
	case o.drained && o.drainedByFleet:
		return "drained by a word to the fleet", false
	case o.drained:
		return "drained", false
	case o.core.ListSize() == 0:
		return "no databases are known", false
	case !o.front.Accepting():
		return "starting", false
	case o.awaitingAgentList():
		return "waiting for what its agent has", false
	case o.awaitingOverrides():
		return "waiting for what operators told the process before", false
	case o.links != nil && !o.links.Synced():
		return "catching up with the fleet", false
	case o.links != nil && o.links.Fenced():
		return "shut out: it cannot vouch for what it knows", false
	}
	return "", true
}

// Metrics appends all metrics to b.
func (o *operations) Metrics(b []byte) []byte {
	b = o.counts.Append(b, o.core.Gauges())
	b = o.front.Metrics(b)
	return o.side.Metrics(b)
}

// FleetMembers returns what this gateway knows about the fleet's members; false: it is in no fleet.
func (o *operations) FleetMembers() ([]byte, bool) {
	if o.links == nil {
		return nil, false
	}
	return o.links.Report(), true
}

// Suspend sets the local override of a database, here and in a sibling process, and calls reply when it is in effect, with
// whether a successor will find it. It returns false if the database is unknown.
func (o *operations) Suspend(id string, active bool, reply func(kept bool)) bool {
	o.refreshShared()
	known := o.core.Suspend(policy.HostID(id), o.side.SetLocalOverride(id, active), func() { o.replyWhenAcknowledged(reply) })
	if known {
		log.Printf("event=suspended host=%q out=%t", id, active)
		if o.shared != nil {
			o.shared.Suspend(id, active, o.loop.Now())
		}
	}
	return known
}

// setFleetDrain applies the fleet's override for this gateway.
func (o *operations) setFleetDrain(active bool) {
	if active != o.drainedByFleet {
		o.drainedByFleet = active
		log.Printf("event=drain on=%t fleet=true clients=%d owed=%d", active, o.front.Clients(), o.core.Unanswered())
		o.applyDrain()
	}
}

// FleetState returns the fleet's operator overrides; false: this gateway is in no fleet.
func (o *operations) FleetState() ([]byte, bool) {
	if o.links == nil {
		return nil, false
	}
	return o.links.State(), true
}

// FleetVersions returns which versions each gateway acts on; false: this gateway is in no fleet.
func (o *operations) FleetVersions() ([]byte, bool) {
	if o.links == nil {
		return nil, false
	}
	return o.links.Versions(), true
}

// Fence applies an operator override that fences this gateway or lifts its fence; false: it has no fence.
func (o *operations) Fence(active bool) bool { return o.links != nil && o.links.SetFence(active) }

// FleetAudit returns this gateway's audit records; false: it is in no fleet.
func (o *operations) FleetAudit() ([]byte, bool) {
	if o.links == nil {
		return nil, false
	}
	return o.links.Audit()
}

// FleetSuspend sets the fleet's override for a database. Once it is in effect here, it calls reply with how many other
// gateways hold it. It returns false if the database is unknown or the maximum number of overrides is reached.
func (o *operations) FleetSuspend(id string, active bool, reply func(result string)) bool {
	if o.links == nil || !o.core.InList(policy.HostID(id)) && !o.links.OverrideActive(id) {
		return false
	}
	if _, ok := state.ParseGatewayKey(id); ok {
		return false
	}
	waiting, result := 2, ""
	done := func() {
		if waiting--; waiting == 0 {
			reply(result)
		}
	}
	if !o.links.SetOverride(id, active, func(text string) { result = text; done() }) {
		return false
	}
	if !o.core.Suspend(policy.HostID(id), active || o.side.LocalOverrideActive(id), done) {
		done() // no longer listed: it gets no requests anyway
	}
	return true
}

// FleetDrain sets the fleet's override that drains or activates a gateway. That gateway applies it when it receives it, so
// it can be set for a gateway that is unreachable or not running.
func (o *operations) FleetDrain(name string, active bool, reply func(result string)) bool {
	return o.links != nil && (o.links.Knows(name) || o.links.OverrideActive(state.GatewayKey(name))) && o.links.SetOverride(state.GatewayKey(name), active, reply)
}

// Drain sets the local override that drains or activates this gateway. It stays drained while a fleet override says so.
func (o *operations) Drain(active bool, reply func(kept bool)) {
	log.Printf("event=drain on=%t clients=%d owed=%d", active, o.front.Clients(), o.core.Unanswered())
	o.drainedLocally = active
	o.applyDrain()
	if o.shared != nil {
		o.shared.Drain(active, o.loop.Now())
	}
	if o.persisted() { // no need to wait for the sibling: it closes clients as soon as it has read the override
		o.reply(reply, true)
		return
	}
	o.replyWhenAcknowledged(reply)
}

// applyDrain drains or activates the front if the overrides together changed, and leaves or joins the fleet.
func (o *operations) applyDrain() {
	drained := o.drainedLocally || o.drainedByFleet
	switch {
	case drained == o.drained:
	case drained:
		o.front.Drain(o.loop.Now() + drainDuration)
		if o.links != nil {
			o.links.Leave()
		}
	default:
		o.front.Activate()
		if o.links != nil && !o.shuttingDown {
			o.links.Join()
		}
	}
	o.drained = drained
}

// beginShutdown handles SIGTERM. If a successor accepts from the clients' socket, this process stops accepting at once.
// Otherwise it goes on for acceptTimeAfterTerm, because clients still connect.
func (o *operations) beginShutdown() {
	if o.shuttingDown {
		return
	}
	o.refreshShared()
	o.shuttingDown, o.handingOver = true, o.siblingAlive && o.front.Accepting()
	log.Printf("event=ending owed=%d clients=%d successor=%t", o.core.Unanswered(), o.front.Clients(), o.handingOver)
	if o.links != nil {
		o.links.Leave()
	}
	now, acceptTime := o.loop.Now(), acceptTimeAfterTerm
	answerTime := min(o.maxDeadline, maxKillDelay) + acceptTimeAfterTerm - lastAnswerMargin
	o.front.SetAnswerDeadline(now + answerTime)
	if o.handingOver {
		acceptTime = min(handoverMaxDuration, answerTime*handoverPercent/100)
		o.front.HandOver(now + acceptTime*handoverPercent/100)
	}
	o.loop.At(now+acceptTime, o.closeFront)
}

// closeFront shuts down the front: it accepts no more clients and closes each after its answers.
func (o *operations) closeFront() {
	if !o.frontClosed {
		o.frontClosed = true
		o.front.Shutdown()
	}
}

// awaitingAgentList reports whether the initial list has not been compared with the agent's yet: it may be too old to use.
func (o *operations) awaitingAgentList() bool {
	return o.listSource == policy.ListFromAgent && !o.discovery.ListReceived() && o.loop.Now() < o.startTime+policy.StartupTimeout
}

// awaitingOverrides reports whether the overrides of earlier processes have not been read yet.
func (o *operations) awaitingOverrides() bool {
	return o.overridesPending && o.loop.Now() < o.startTime+policy.StartupTimeout
}

// servable reports whether requests can be served: the list is confirmed and the overrides are known.
func (o *operations) servable() bool {
	return !o.awaitingAgentList() && !o.awaitingOverrides() && (o.links == nil || o.links.Synced())
}

// afterRound runs after each round of the loop: it starts to serve when possible and, during shutdown, stops the loop
// once no answer is pending.
func (o *operations) afterRound() {
	if !o.shuttingDown {
		o.front.SetStarting(!o.servable() || o.links != nil && o.links.Fenced())
		if err := o.openFront(); err != nil {
			log.Printf("event=not_open err=%q", err)
			o.loop.Stop()
		}
		return
	}
	if o.handingOver && o.front.Clients() == 0 {
		o.closeFront()
	}
	if !o.frontClosed || o.core.Unanswered() > 0 || !o.front.ShutdownComplete() {
		return
	}
	o.pool.CloseAllIdle()
	if o.loop.Lingering() == 0 {
		log.Printf("event=ended")
		o.loop.Stop()
	}
}

// leaveShared removes this process from the shared directory.
func (o *operations) leaveShared() {
	if o.shared != nil {
		o.shared.Close()
	}
}
