package standin

import (
	"net"
	"slices"
	"time"

	"lilaccove/internal/pgwire"
)

// SetScript has f answer clients' statements in place of the database, on the connection's own goroutine; nil: the
// database answers again. Probes and greetings stay as they are.
func (h *Host) SetScript(respond func(c net.Conn, text string)) {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	h.respond = respond
}

// waitIfHanging waits for the end of the world, if the database is to stand still.
func (h *Host) waitIfHanging() bool {
	h.world.mu.Lock()
	hanging := h.hanging
	h.world.mu.Unlock()
	if hanging {
		<-h.world.done
	}
	return hanging
}

// runScript answers a statement by the script; false: there is none.
func (h *Host) runScript(conn net.Conn, text string) bool {
	h.world.mu.Lock()
	respond := h.respond
	if respond != nil {
		h.statementCount++
		h.scriptedStatements = append(h.scriptedStatements, text)
	}
	h.world.mu.Unlock()
	if respond != nil {
		respond(conn, text)
	}
	return respond != nil
}

// Statements are those that came while a script was set, oldest first.
func (h *Host) Statements() []string {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	return slices.Clone(h.scriptedStatements)
}

// Answer gives a value, with the note that goes with it.
func (h *Host) Answer(conn net.Conn, value string) {
	h.world.mu.Lock()
	statuses := h.statusMessages(time.Now())
	h.world.mu.Unlock()
	writeOK(conn, Row(value, string(statuses)))
}

// SetAdmitting tells whether the database lets anybody in; at first it does.
func (h *Host) SetAdmitting(admitting bool) {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	h.refusing = !admitting
}

// DelayGreeting has connections come up only after so long.
func (h *Host) DelayGreeting(delay time.Duration) {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	h.greetingDelay = delay
}

// greet greets c, or turns it away.
func (h *Host) greet(conn net.Conn) bool {
	h.world.mu.Lock()
	refusing, delay := h.refusing, h.greetingDelay
	h.dials++
	h.world.mu.Unlock()
	Sleep(delay, h.world.done)
	if refusing {
		writeOK(conn, pgwire.AppendError(nil, "FATAL", pgwire.CodeTooManyConnections, "too many connections", ""))
		return false
	}
	return writeOK(conn, pgwire.AppendStartupReply(nil, 0))
}

// Dials is how many connections were greeted or turned away.
func (h *Host) Dials() int {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	return h.dials
}

// Hangups is how many connections that were greeted have ended.
func (h *Host) Hangups() int {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	return h.ended
}

// SetLag has this replica be so far behind.
func (h *Host) SetLag(lag time.Duration) {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	h.lag = lag
}

// ClaimPrimary has this replica take writes as well, as after a split: there are two primaries, and discovery does not know.
func (h *Host) ClaimPrimary() {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	h.primary = true
}

// Hang has the database stand still for good, its connections open and new ones taken: nothing is answered.
func (h *Host) Hang() {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	h.hanging = true
}

// Promote makes this replica the primary of its group; discovery does not know.
func (h *Host) Promote() {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	for _, other := range h.world.hosts {
		if other.Group == h.Group {
			other.primary = other == h
		}
	}
}

// FailOver has the primaries of a share of the groups hang, and a replica of each take its place; discovery does not know.
func (world *World) FailOver(share float64) {
	replicas := map[int]*Host{}
	var primaries []*Host
	for _, h := range world.Members() {
		world.mu.Lock()
		primary := h.primary
		world.mu.Unlock()
		if primary && len(primaries) < int(share*float64(world.options.Groups)+0.5) {
			primaries = append(primaries, h)
		} else if !primary && replicas[h.Group] == nil {
			replicas[h.Group] = h
		}
	}
	for _, h := range primaries {
		if replica := replicas[h.Group]; replica != nil {
			h.Hang()
			replica.Promote()
		}
	}
}

// Announce has discovery say this of the database: its health, and when it started (zero: long ago).
func (h *Host) Announce(health string, startedAt time.Time) {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	if h.health == "in_service" && health != h.health {
		h.drainingSince = time.Now()
	}
	h.health, h.startedAt = health, startedAt
	h.world.announce(h)
}

// AnnounceAddr has discovery say that the database is found at another address.
func (h *Host) AnnounceAddr(addr string) {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	h.announcedAddr = addr
	h.world.announce(h)
}

// AddDiscovery starts discovery at one more address; the old one goes on.
func (world *World) AddDiscovery() (*Discovery, error) {
	d, err := newDiscovery(world)
	if err == nil {
		world.mu.Lock()
		defer world.mu.Unlock()
		world.discoveries = append(world.discoveries, d)
	}
	return d, err
}

// SetDiscoveryDown has discovery refuse all calls, until it is called with false.
func (world *World) SetDiscoveryDown(down bool) {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.discoveryDown = down
	world.watchesDisturbedAt = time.Now()
}

// SlowDiscovery has calls to discovery take so long, and a share of them end with a refusal behind that, until it is called with zeros.
func (world *World) SlowDiscovery(delay time.Duration, refusals float64) {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.discoveryDelay, world.discoveryRefusals = delay, refusals
	world.watchesDisturbedAt = time.Now()
}

// RestoreDiscovery has discovery come back as from a backup: watches end, and its versions are far lower than those that it told.
func (world *World) RestoreDiscovery() {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.listVersion -= restoreVersionGap
	world.watchesDisturbedAt = time.Now()
	for watch := range world.watches {
		delete(world.watches, watch)
		close(watch)
	}
}

// NoteWatchDisturbance tells that gateways may lose their watches about now, for other reasons than those of this world.
func (world *World) NoteWatchDisturbance() {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.watchesDisturbedAt = time.Now()
}

// announceDelayAllowed is how much later than at once a change of some moment may count as told: watches were disturbed since, or a
// little before, as one that fell silent is noticed only when its next message is due.
func (world *World) announceDelayAllowed(change time.Time) time.Duration {
	if world.discoveryDown || world.discoveryDelay > 0 || world.watchesDisturbedAt.After(change.Add(-announceTimeout)) {
		return announceTimeout
	}
	return 0
}

// SendToWatches sends a line as it is to all that watch.
func (world *World) SendToWatches(line string) {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.watchesDisturbedAt = time.Now()
	world.broadcast([]byte(line))
}

// ListVersion is that of the list.
func (world *World) ListVersion() int {
	world.mu.Lock()
	defer world.mu.Unlock()
	return world.listVersion
}

// Calls are what a discovery's callers did.
type Calls struct {
	Requests  int    // calls, those refused with them
	Watches   int    // that are on
	LastAfter string // the version that the last caller had
}

// Calls are those so far.
func (d *Discovery) Calls() Calls {
	d.world.mu.Lock()
	defer d.world.mu.Unlock()
	return d.calls
}

// Addr is where the database listens, whatever discovery says.
func (h *Host) Addr() string { return h.listener.Addr().String() }

// CloseConnections closes all connections to the database, as a process that restarts does; new ones are taken.
func (h *Host) CloseConnections() { h.forEachConn(func(c net.Conn) { c.Close() }) }

// SendUnrequested says something on all connections that nobody has asked for.
func (h *Host) SendUnrequested(text string) {
	h.forEachConn(func(c net.Conn) { _, _ = c.Write([]byte(text)) })
}

func (h *Host) forEachConn(do func(c net.Conn)) {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	for c := range h.conns {
		do(c)
	}
}

// IsReplica tells whether the database is in service and no primary.
func (h *Host) IsReplica() bool {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	return !h.primary && h.health == "in_service"
}
