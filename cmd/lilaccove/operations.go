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
	// acceptTimeAfterTerm is how long clients still come after SIGTERM: the front has to notice.
	acceptTimeAfterTerm = 700 * time.Millisecond
	// A drain is to leave no client idle 4 s after the call, nor one whose request is younger than 2 s.
	drainDuration = 1700 * time.Millisecond
	// A process that hands over lets idle clients go within handoverIdleTimeout; after leaveMost it takes no more
	// requests, so that what it has taken is answered before it is killed.
	handoverIdleTimeout = 1200 * time.Millisecond
	handoverMaxDuration = 2 * time.Second
	// SIGKILL follows SIGTERM by the longest deadline, or minKillDelay where that is longer, and acceptOn. Answers go out
	// lastAnswer before that.
	minKillDelay     = 3 * time.Second
	lastAnswerMargin = 100 * time.Millisecond
	// How often a process looks for others of its gateway, alone and beside one.
	pollIntervalAlone       = 100 * time.Millisecond
	pollIntervalWithSibling = 20 * time.Millisecond
	// An operator's word that the other process has not acted on is answered all the same after so long.
	acknowledgeTimeout = 700 * time.Millisecond
)

// operations is what operators and the platform ask of the whole program: readiness, figures, databases
// left out, drains, the takeover by another process, the end.
type operations struct {
	loop      *netloop.Loop
	front     *front.Front
	core      *gateway.Gateway
	discovery *discovery.Client
	pool      *backend.Pool
	counts    *stats.Counters
	side      *control.Side
	links     *peer.Links // to the fleet; nil: without a fleet file
	guard     *invariant.Guard

	listSource                   policy.ListSource
	memoryBytes, descriptorLimit int
	maxDeadline                  time.Duration // deadline of a class
	startTime                    time.Duration
	shared                       *handover.SharedState // nil: no other process can be met
	overridesPending             bool                  // what operators told the processes before this one is not known yet
	siblingAlive                 bool                  // another process of this gateway lives
	drained                      bool                  // by an operator, who said so here or to the fleet
	drainedLocally               bool
	drainedByFleet               bool
	shuttingDown                 bool // SIGTERM has come
	killAt                       time.Duration
	handingOver                  bool // to a successor
	frontClosed                  bool // no client is accepted and none kept
	pendingReplies               []pendingReply
}

// pendingReply is an answer to an operator that waits until the word is kept for a successor, and the other process, if there
// is one, has acted on it.
type pendingReply struct {
	deadline time.Duration
	reply    func(kept bool)
}

// listen opens the clients' address, or takes over the socket that the platform holds open there.
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
		o.overridesPending = !o.shared.Loaded()
		o.core.FleetEvent(policy.OverridesPending{Active: o.overridesPending})
		o.applyShared(o.shared.State())
		o.pollSibling()
	}
	return actual, o.openFront()
}

// openFront begins to accept clients: at once, or beside a process that serves them, when it can do as well.
func (o *operations) openFront() error {
	if o.links != nil && !o.links.Synced() {
		return nil
	}
	if o.siblingAlive && (o.core.ListSize() == 0 || !o.discovery.ListReceived()) && o.loop.Now() < o.startTime+policy.StartupTimeout {
		return nil
	}
	return o.front.Open()
}

// pollSibling looks at what other processes of this gateway say, again and again.
func (o *operations) pollSibling() {
	o.refreshShared()
	now, interval := o.loop.Now(), pollIntervalAlone
	if o.siblingAlive {
		interval = pollIntervalWithSibling
	}
	o.loop.At(now+interval, o.pollSibling)
	if len(o.pendingReplies) > 0 && o.acknowledged() {
		o.sendExpiredReplies(now + acknowledgeTimeout)
	}
	o.sendExpiredReplies(now)
}

// persisted tells whether a successor would know all words that were given here.
func (o *operations) persisted() bool { return o.shared == nil || o.shared.Persisted() }

// reply answers an operator. All answers to words go through it, so that a yes for one that is not kept shows.
func (o *operations) reply(reply func(kept bool), success bool) {
	o.guard.CheckOverrideKept(!success || o.persisted())
	reply(success)
}

// acknowledged tells whether all words that were given here are kept, and have been acted on by the process beside this one.
func (o *operations) acknowledged() bool {
	return o.persisted() && (!o.siblingAlive || o.shared.Acknowledged())
}

// replyWhenAcknowledged calls then when all agree on the words given so far, or after agreeTime.
func (o *operations) replyWhenAcknowledged(reply func(kept bool)) {
	if o.acknowledged() {
		o.reply(reply, true)
		return
	}
	o.pendingReplies = append(o.pendingReplies, pendingReply{deadline: o.loop.Now() + acknowledgeTimeout, reply: reply})
}

// refreshShared does so once. Whoever depends on whether another process lives looks first: it may have begun
// since the last poll.
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

// resumeAccepting accepts clients again until the end: the successor has ended before this process has, and nobody else does.
func (o *operations) resumeAccepting() {
	if err := o.front.ResumeAccepting(); err != nil {
		log.Printf("event=not_open err=%q", err) // tried again by the next poll
		return
	}
	log.Printf("event=successor_lost owed=%d clients=%d", o.core.Unanswered(), o.front.Clients())
	o.handingOver = false
}

// splitLimits has this process keep to its half while another lives.
func (o *operations) splitLimits() {
	parts := 1
	if o.siblingAlive {
		parts = 2
	}
	log.Printf("event=processes beside=%t", o.siblingAlive)
	o.loop.SetDescriptorLimit(o.descriptorLimit / parts)
	o.loop.SetBufferLimit(o.memoryBytes / 4 / parts)
	o.front.SetMaxClients(o.descriptorLimit / 2 / parts)
	setHeapLimit(o.memoryBytes / parts)
	if o.links != nil {
		o.links.SetSibling(o.siblingAlive)
	}
}

// applyShared does what another process was told, or a predecessor.
func (o *operations) applyShared(shared handover.State) {
	for id, override := range shared.Suspended {
		o.core.SetSuspended(policy.HostID(id), o.side.SetLocalOverride(id, override.Active))
	}
	o.drainedLocally = shared.Drained.Active
	o.applyDrain()
}

// sendExpiredReplies gives the answers that have waited long enough.
func (o *operations) sendExpiredReplies(now time.Duration) {
	for len(o.pendingReplies) > 0 && o.pendingReplies[0].deadline <= now {
		o.reply(o.pendingReplies[0].reply, o.persisted())
		o.pendingReplies = o.pendingReplies[1:]
	}
}

// Ready tells whether requests are served, or else why not.
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

// Metrics adds the figures.
func (o *operations) Metrics(b []byte) []byte {
	b = o.counts.Append(b, o.core.Gauges())
	b = o.front.Metrics(b)
	return o.side.Metrics(b)
}

// FleetMembers is what this gateway knows of the others; false: it is in no fleet.
func (o *operations) FleetMembers() ([]byte, bool) {
	if o.links == nil {
		return nil, false
	}
	return o.links.Report(), true
}

// Suspend leaves a database out, or has it serve again, here and in a process beside this one.
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

// setFleetDrain does what the fleet's word on this gateway comes to.
func (o *operations) setFleetDrain(active bool) {
	if active != o.drainedByFleet {
		o.drainedByFleet = active
		log.Printf("event=drain on=%t fleet=true clients=%d owed=%d", active, o.front.Clients(), o.core.Unanswered())
		o.applyDrain()
	}
}

// FleetState is what operators told the fleet; false: this gateway is in none.
func (o *operations) FleetState() ([]byte, bool) {
	if o.links == nil {
		return nil, false
	}
	return o.links.State(), true
}

// FleetVersions tells who acts on which versions; false: this gateway is in no fleet.
func (o *operations) FleetVersions() ([]byte, bool) {
	if o.links == nil {
		return nil, false
	}
	return o.links.Versions(), true
}

// Fence takes an operator's word to shut this gateway out, or to go on with what it has; false: it has no fence.
func (o *operations) Fence(active bool) bool { return o.links != nil && o.links.SetFence(active) }

// FleetAudit tells what this gateway did, by what it acted on; false: it is in no fleet.
func (o *operations) FleetAudit() ([]byte, bool) {
	if o.links == nil {
		return nil, false
	}
	return o.links.Audit()
}

// FleetSuspend has the whole fleet leave a database out, or use it again.
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
		done() // not listed any more: nothing is sent there anyway
	}
	return true
}

// FleetDrain takes a word that drains a gateway of the fleet, or has it work again. Its owner carries it out, whenever it
// hears of it: it holds for one that is cut off, or not started.
func (o *operations) FleetDrain(name string, active bool, reply func(result string)) bool {
	return o.links != nil && (o.links.Knows(name) || o.links.OverrideActive(state.GatewayKey(name))) && o.links.SetOverride(state.GatewayKey(name), active, reply)
}

// Drain empties the gateway, or has it work again, as far as the fleet's word lets it.
func (o *operations) Drain(active bool, reply func(kept bool)) {
	log.Printf("event=drain on=%t clients=%d owed=%d", active, o.front.Clients(), o.core.Unanswered())
	o.drainedLocally = active
	o.applyDrain()
	if o.shared != nil {
		o.shared.Drain(active, o.loop.Now())
	}
	if o.persisted() { // the process beside this one is not waited for: it lets clients go as soon as it knows
		o.reply(reply, true)
		return
	}
	o.replyWhenAcknowledged(reply)
}

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

// beginShutdown is what SIGTERM leads to. A successor has the clients' queue: it is left at once. Without one
// nothing changes for a while, as clients still come.
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
	o.killAt = now + max(o.maxDeadline, minKillDelay) + acceptTimeAfterTerm
	if o.handingOver {
		o.front.HandOver(now + handoverIdleTimeout)
		acceptTime = handoverMaxDuration
	}
	o.loop.At(now+acceptTime, o.closeFront)
}

func (o *operations) closeFront() {
	if !o.frontClosed {
		o.frontClosed = true
		o.front.Shutdown(o.killAt - lastAnswerMargin)
	}
}

// awaitingAgentList tells that the list of the start has not been compared with what an agent has: it may be too old to serve by.
func (o *operations) awaitingAgentList() bool {
	return o.listSource == policy.ListFromAgent && !o.discovery.ListReceived() && o.loop.Now() < o.startTime+policy.StartupTimeout
}

// awaitingOverrides tells that what operators told the processes before this one cannot be read yet.
func (o *operations) awaitingOverrides() bool {
	return o.overridesPending && o.loop.Now() < o.startTime+policy.StartupTimeout
}

// servable tells whether requests can be served: the list is known and compared, and so is what operators told.
func (o *operations) servable() bool {
	return !o.awaitingAgentList() && !o.awaitingOverrides() && (o.links == nil || o.links.Synced())
}

// afterRound is called behind each round: it begins to serve, and exits once nothing is owed.
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

// leaveShared takes this process out of the directory.
func (o *operations) leaveShared() {
	if o.shared != nil {
		o.shared.Close()
	}
}
