package standin

import (
	"net"
	"slices"
	"time"

	"lilaccove/internal/pgwire"
)

// SetScript makes respond answer clients' statements instead of the database, on the connection's goroutine. With nil the
// database answers again. Probes and startup messages are not affected.
func (h *Host) SetScript(respond func(c net.Conn, text string)) {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	h.respond = respond
}

// waitIfHanging blocks until the world is closed and returns true if the database hangs.
func (h *Host) waitIfHanging() bool {
	h.world.mu.Lock()
	hanging := h.hanging
	h.world.mu.Unlock()
	if hanging {
		<-h.world.done
	}
	return hanging
}

// runScript answers a statement by the script, and returns false if there is none.
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

// Statements returns those that arrived while a script was set, oldest first.
func (h *Host) Statements() []string {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	return slices.Clone(h.scriptedStatements)
}

// Answer sends an answer with one value, the role and the position. It is meant for scripts.
func (h *Host) Answer(conn net.Conn, value string) {
	h.world.mu.Lock()
	statuses := h.statusMessages(time.Now())
	h.world.mu.Unlock()
	writeOK(conn, Row(value, string(statuses)))
}

// SetAdmitting sets whether the database accepts new connections, which it does initially.
func (h *Host) SetAdmitting(admitting bool) {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	h.refusing = !admitting
}

// DelayGreeting delays the reply to startup messages.
func (h *Host) DelayGreeting(delay time.Duration) {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	h.greetingDelay = delay
}

// greet replies to a startup message. It returns false if the connection is refused or broken.
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

// Dials returns how many connections have sent a startup message, refused ones included.
func (h *Host) Dials() int {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	return h.dials
}

// EndedConnections returns how many accepted connections have ended.
func (h *Host) EndedConnections() int {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	return h.ended
}

// SetLag sets the replication lag of this replica.
func (h *Host) SetLag(lag time.Duration) {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	h.lag = lag
}

// ClaimPrimary makes this replica accept writes as well, as after a network partition: its group has two primaries. It
// is not announced.
func (h *Host) ClaimPrimary() {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	h.primary = true
}

// Hang makes the database answer nothing from now on. Its connections stay open, and it accepts new ones.
func (h *Host) Hang() {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	h.hanging = true
}

// Promote makes this replica the only primary of its group, without announcing it.
func (h *Host) Promote() {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	for _, other := range h.world.hosts {
		if other.Group == h.Group {
			other.primary = other == h
		}
	}
}

// FailOver makes the primaries of a share of the groups hang and promotes a replica of each, without announcing it.
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

// Announce makes discovery list the database with this health and start time (zero: long ago).
func (h *Host) Announce(health string, startedAt time.Time) {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	if h.health == "in_service" && health != h.health {
		h.drainingSince = time.Now()
	}
	h.health, h.startedAt = health, startedAt
	h.world.announce(h)
}

// AnnounceAddr makes discovery list the database at another address.
func (h *Host) AnnounceAddr(addr string) {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	h.announcedAddr = addr
	h.world.announce(h)
}

// AddDiscovery starts one more discovery server. The others keep running.
func (world *World) AddDiscovery() (*Discovery, error) {
	d, err := newDiscovery(world)
	if err == nil {
		world.mu.Lock()
		defer world.mu.Unlock()
		world.discoveries = append(world.discoveries, d)
	}
	return d, err
}

// SetDiscoveryDown sets whether discovery refuses all watch requests.
func (world *World) SetDiscoveryDown(down bool) {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.discoveryDown = down
	world.watchesDisturbedAt = time.Now()
}

// SlowDiscovery delays watch requests to discovery, and makes a share of them end with a refusal after the delay. Zeros
// end both.
func (world *World) SlowDiscovery(delay time.Duration, refusals float64) {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.discoveryDelay, world.discoveryRefusals = delay, refusals
	world.watchesDisturbedAt = time.Now()
}

// RestoreDiscovery simulates a discovery service restored from a backup: watches end, and list versions are far lower
// than those served before.
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

// NoteWatchDisturbance records that gateways may lose their watches about now for a reason outside this world, so that a
// later notice of changes is allowed.
func (world *World) NoteWatchDisturbance() {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.watchesDisturbedAt = time.Now()
}

// announceDelayAllowed returns how long after a change gateways may still not have received it. A delay is allowed if
// watches were disturbed since the change or shortly before it: a gateway notices a silent watch only when the next
// heartbeat is due.
func (world *World) announceDelayAllowed(change time.Time) time.Duration {
	if world.discoveryDown || world.discoveryDelay > 0 || world.watchesDisturbedAt.After(change.Add(-announceTimeout)) {
		return announceTimeout
	}
	return 0
}

// SendToWatches sends a raw line to all watches.
func (world *World) SendToWatches(line string) {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.watchesDisturbedAt = time.Now()
	world.broadcast([]byte(line))
}

// ListVersion returns the current version of the list.
func (world *World) ListVersion() int {
	world.mu.Lock()
	defer world.mu.Unlock()
	return world.listVersion
}

// Calls counts the watch requests to a discovery server.
type Calls struct {
	Requests  int    // refused ones included
	Watches   int    // currently open
	LastAfter string // parameter after of the last request: the list version that the gateway had
}

// Calls returns the counts so far.
func (d *Discovery) Calls() Calls {
	d.world.mu.Lock()
	defer d.world.mu.Unlock()
	return d.calls
}

// Addr returns the database's listening address, whichever one discovery lists.
func (h *Host) Addr() string { return h.listener.Addr().String() }

// CloseConnections closes all connections, as a restarting process does. New ones are accepted.
func (h *Host) CloseConnections() { h.forEachConn(func(c net.Conn) { c.Close() }) }

// SendUnrequested sends text on all connections without a request.
func (h *Host) SendUnrequested(text string) {
	h.forEachConn(func(c net.Conn) { _, _ = c.Write([]byte(text)) })
}

// forEachConn calls do for each open connection, with the lock held.
func (h *Host) forEachConn(do func(c net.Conn)) {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	for c := range h.conns {
		do(c)
	}
}

// IsReplica reports whether the database is in service and not a primary.
func (h *Host) IsReplica() bool {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	return !h.primary && h.health == "in_service"
}
