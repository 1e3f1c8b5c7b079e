package netloop

import "time"

// drainedGap is how long a connection must bring nothing, after all that had arrived was read, before what it brings next counts as sent later: what
// the peer's system had queued while reading was stopped follows at once.
const drainedGap = 10 * time.Millisecond

// inputHold remembers that reading was stopped: then the peer's system may have taken bytes long before they are read.
type inputHold struct {
	since     time.Duration // when reading was stopped; 0: it was not
	drainedAt time.Duration // when all that had arrived was read after that; 0: it has not been
}

// begin records that reading is stopped.
func (h *inputHold) begin(now time.Duration) {
	h.beforeInput(now)
	if h.since == 0 {
		h.since = now
	}
}

// beforeInput records that bytes were read that have arrived at the given time or later, or could have been.
func (h *inputHold) beforeInput(arrived time.Duration) {
	if h.drainedAt > 0 && arrived-h.drainedAt >= drainedGap {
		*h = inputHold{}
	}
	h.drainedAt = 0
}

// drained records that all bytes that have arrived were read.
func (h *inputHold) drained(now time.Duration) {
	if h.since > 0 {
		h.drainedAt = now
	}
}

// SentSince returns the earliest time at which the peer's system may have taken the last bytes of Input. It is long ago if reading was
// stopped, by Pause or for lack of a buffer, and no pause in the input has shown since that what follows is newer.
func (c *Conn) SentSince() time.Duration {
	earliest := c.loop.now - c.loop.MaxEventAge()
	if c.hold.since > 0 {
		earliest = min(earliest, c.hold.since)
	}
	return earliest
}

// Held reports whether the peer may have sent the last bytes of Input while reading was stopped.
func (c *Conn) Held() bool { return c.hold.since > 0 }

// SilentSince returns the earliest time from which the peer may have sent nothing more. It is now while not all that has arrived is read.
func (c *Conn) SilentSince() time.Duration {
	if c.hold.since > 0 && c.hold.drainedAt == 0 {
		return c.loop.now
	}
	return c.SentSince()
}

// InputHandled tells the connection that what it has read is handled. If nothing else has arrived, what follows counts as sent later.
func (c *Conn) InputHandled() {
	if len(c.Input()) == 0 && c.hold.drainedAt > 0 {
		c.hold = inputHold{}
	}
}
