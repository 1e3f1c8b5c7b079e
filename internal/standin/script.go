package standin

import (
	"net"
	"slices"
	"time"

	"lilaccove/internal/pgwire"
)

// SetScript has f answer clients' statements in place of the database, on the connection's own goroutine; nil: the
// database answers again. Probes and greetings stay as they are.
func (h *Host) SetScript(f func(c net.Conn, text string)) {
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	h.script = f
}

// hangs waits for the end of the world, if the database is to stand still.
func (h *Host) hangs() bool {
	h.w.mu.Lock()
	hung := h.hung
	h.w.mu.Unlock()
	if hung {
		<-h.w.done
	}
	return hung
}

// scripted answers a statement by the script; false: there is none.
func (h *Host) scripted(c net.Conn, text string) bool {
	h.w.mu.Lock()
	f := h.script
	if f != nil {
		h.begun++
		h.statements = append(h.statements, text)
	}
	h.w.mu.Unlock()
	if f != nil {
		f(c, text)
	}
	return f != nil
}

// Statements are those that came while a script was set, oldest first.
func (h *Host) Statements() []string {
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	return slices.Clone(h.statements)
}

// Answer gives a value, with the note that goes with it.
func (h *Host) Answer(c net.Conn, value string) {
	h.w.mu.Lock()
	note := h.note(time.Now())
	h.w.mu.Unlock()
	write(c, Row(value, string(note)))
}

// SetAdmitting tells whether the database lets anybody in; at first it does.
func (h *Host) SetAdmitting(yes bool) {
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	h.shut = !yes
}

// DelayGreeting has connections come up only after so long.
func (h *Host) DelayGreeting(d time.Duration) {
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	h.late = d
}

// admits greets c, or turns it away.
func (h *Host) admits(c net.Conn) bool {
	h.w.mu.Lock()
	shut, late := h.shut, h.late
	h.dials++
	h.w.mu.Unlock()
	Sleep(late, h.w.done)
	if shut {
		write(c, pgwire.AppendError(nil, "FATAL", pgwire.CodeTooManyConnections, "too many connections", ""))
		return false
	}
	return write(c, pgwire.AppendStartupReply(nil, 0))
}

// Dials is how many connections were greeted or turned away.
func (h *Host) Dials() int {
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	return h.dials
}

// Hangups is how many connections that were greeted have ended.
func (h *Host) Hangups() int {
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	return h.hangups
}

// SetLag has this replica be so far behind.
func (h *Host) SetLag(lag time.Duration) {
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	h.lag = lag
}

// ClaimPrimary has this replica take writes as well, as after a split: there are two primaries, and discovery does not know.
func (h *Host) ClaimPrimary() {
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	h.primary = true
}

// Hang has the database stand still for good, its connections open and new ones taken: nothing is answered.
func (h *Host) Hang() {
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	h.hung = true
}

// Promote makes this replica the primary of its group; discovery does not know.
func (h *Host) Promote() {
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	for _, o := range h.w.hosts {
		if o.Group == h.Group {
			o.primary = o == h
		}
	}
}

// FailOver has the primaries of a share of the groups hang, and a replica of each take its place; discovery does not know.
func (w *World) FailOver(part float64) {
	next := map[int]*Host{}
	var old []*Host
	for _, h := range w.Members() {
		w.mu.Lock()
		primary := h.primary
		w.mu.Unlock()
		if primary && len(old) < int(part*float64(w.opt.Groups)+0.5) {
			old = append(old, h)
		} else if !primary && next[h.Group] == nil {
			next[h.Group] = h
		}
	}
	for _, h := range old {
		if n := next[h.Group]; n != nil {
			h.Hang()
			n.Promote()
		}
	}
}

// Announce has discovery say this of the database: its health, and when it started (zero: long ago).
func (h *Host) Announce(health string, born time.Time) {
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	if h.health == "in_service" && health != h.health {
		h.told = time.Now()
	}
	h.health, h.born = health, born
	h.w.tell(h)
}

// AnnounceAddr has discovery say that the database is found at another address.
func (h *Host) AnnounceAddr(dial string) {
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	h.dial = dial
	h.w.tell(h)
}

// AddDiscovery starts discovery at one more address; the old one goes on.
func (w *World) AddDiscovery() (*Discovery, error) {
	d, err := newDiscovery(w)
	if err == nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.discs = append(w.discs, d)
	}
	return d, err
}

// SetDiscoveryDown has discovery refuse all calls, until it is called with false.
func (w *World) SetDiscoveryDown(yes bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = yes
	w.disturbed = time.Now()
}

// SlowDiscovery has calls to discovery take so long, and a share of them end with a refusal behind that, until it is called with zeros.
func (w *World) SlowDiscovery(d time.Duration, crowd float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slow, w.crowd = d, crowd
	w.disturbed = time.Now()
}

// RestoreDiscovery has discovery come back as from a backup: watches end, and its versions are far lower than those that it told.
func (w *World) RestoreDiscovery() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq -= restoreBehind
	w.disturbed = time.Now()
	for ch := range w.watch {
		delete(w.watch, ch)
		close(ch)
	}
}

// NoteWatchDisturbance tells that gateways may lose their watches about now, for other reasons than those of this world.
func (w *World) NoteWatchDisturbance() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.disturbed = time.Now()
}

// toldLate is how much later than at once a change of some moment may count as told: watches were disturbed since, or a
// little before, as one that fell silent is noticed only when its next message is due.
func (w *World) toldLate(change time.Time) time.Duration {
	if w.down || w.slow > 0 || w.disturbed.After(change.Add(-toldWithin)) {
		return toldWithin
	}
	return 0
}

// SendToWatches sends a line as it is to all that watch.
func (w *World) SendToWatches(line string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.disturbed = time.Now()
	w.pass([]byte(line))
}

// ListVersion is that of the list.
func (w *World) ListVersion() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.seq
}

// Calls are what a discovery's callers did.
type Calls struct {
	Requests  int    // calls, those refused with them
	Watches   int    // that are on
	LastAfter string // the version that the last caller had
}

// Calls are those so far.
func (d *Discovery) Calls() Calls {
	d.w.mu.Lock()
	defer d.w.mu.Unlock()
	return d.calls
}

// Addr is where the database listens, whatever discovery says.
func (h *Host) Addr() string { return h.ln.Addr().String() }

// CloseConnections closes all connections to the database, as a process that restarts does; new ones are taken.
func (h *Host) CloseConnections() { h.each(func(c net.Conn) { c.Close() }) }

// SendUnrequested says something on all connections that nobody has asked for.
func (h *Host) SendUnrequested(text string) {
	h.each(func(c net.Conn) { _, _ = c.Write([]byte(text)) })
}

func (h *Host) each(do func(c net.Conn)) {
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	for c := range h.conns {
		do(c)
	}
}

// IsReplica tells whether the database is in service and no primary.
func (h *Host) IsReplica() bool {
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	return !h.primary && h.health == "in_service"
}
