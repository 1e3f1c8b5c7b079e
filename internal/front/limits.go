// How long connections may stay at their places, and who is closed when descriptors or buffers run short.

package front

import (
	"slices"
	"time"

	"lilaccove/internal/pgwire"
)

// connState is what a connection is at. In each connState they queue, the one that came first in
// front, so that the end of a limit and the choice of whom to close are at hand.
type connState int

const (
	stateBusy    connState = iota // the core has a request of it
	stateNew                      // it has not sent a whole query yet, or not even a hello
	statePartial                  // a packet has begun
	stateUnread                   // it has not read its answer
	stateIdle                     // between requests
	stateClosing                  // finished: it may read its last answer
	stateCount
)

// stateTimeouts are how long a connection may stay in its place. Who connects and does not ask
// is owed an error or a close within 3 s, but may take 2 s for a head; the protocol lets idle ones be
// closed after 2 s. A packet that has begun has its time from the last bytes that came.
var stateTimeouts = [stateCount]time.Duration{
	stateNew: 2600 * time.Millisecond, statePartial: 2500 * time.Millisecond, stateUnread: 10 * time.Second, stateIdle: 5 * time.Second,
	stateClosing: 2 * time.Second,
}

// closeReason is why the front has ended a connection.
type closeReason int

const (
	closedIdle        closeReason = iota // it has been idle for too long
	closedSlow                           // it sent no whole command in time
	closedUnread                         // it did not read its answer
	closedDescriptors                    // its descriptor was wanted
	closedMemory                         // its buffer was wanted
	closedBroken                         // a value broke off
	closedBad                            // it sent what is not spoken here
	closedDone                           // it has ended itself, or asked for no more than a cancel
	closedDrain                          // the gateway ends, or is drained
	closeReasonCount
)

var closeReasonNames = [closeReasonCount]string{
	"idle", "slow", "unread", "descriptors", "memory", "broken", "bad", "done", "drain",
}

// timeoutReasons is why a connection ends that has been at its place for too long.
var timeoutReasons = [stateCount]closeReason{stateIdle: closedIdle, stateClosing: closedDone, stateUnread: closedUnread, stateNew: closedSlow, statePartial: closedSlow}

const clientLogsPerSecond = 3 // in the log in a second, of those that are not usual

// checkReaders looks whether those that are slow to read their answers go on reading: progress counts, not the
// time that it takes.
func (f *Front) checkReaders() {
	for _, c := range f.connsIn(stateUnread) {
		if c.nc.Pending() == 0 {
			c.serve()
		} else if c.hasRead() {
			f.queues[stateUnread].MoveToBack(c.queueElement)
			c.progressAt = f.loop.Now()
		}
	}
	for c := range f.streaming {
		if !c.hasRead() && f.loop.Now()-c.lastReadAt >= stateTimeouts[stateUnread] {
			f.closeLog.Printf(f.loop.Now(), "event=client_closed client=%d reason=unread pending=%d", c.number, c.nc.Pending())
			c.abort(closedUnread)
		}
	}
}

// hasRead tells whether the client has read since the last look, or has nothing to read.
func (c *conn) hasRead() bool {
	pending := c.nc.Pending()
	progressed := pending == 0 || pending != c.lastPending
	if c.lastPending = pending; progressed {
		c.lastReadAt = c.front.loop.Now()
	}
	return progressed
}

// sweep closes whoever has been at its place too long.
func (f *Front) sweep() {
	f.checkReaders()
	now := f.loop.Now()
	f.loop.At(now+sweepInterval, f.sweep)
	for state := stateNew; state < stateCount; state++ {
		for element := f.queues[state].Front(); element != nil && element.Value.(*conn).progressAt+stateTimeouts[state] <= now; element = f.queues[state].Front() {
			c := element.Value.(*conn)
			if slices.Contains(f.largeWaiting, c) {
				c.fatal(pgwire.CodeTooManyConnections, "too many large statements at once; nothing has run")
				c.serve()
				continue
			}
			if state != stateIdle && state != stateClosing {
				f.closeLog.Printf(now, "event=client_closed client=%d reason=slow started=%t pending=%d", c.number, c.started, c.nc.Pending())
			}
			c.close(timeoutReasons[state])
		}
	}
}

// hasCapacity tells whether one more client may come where so many are the most. What databases
// hold does not count against the clients' own share.
func (f *Front) hasCapacity(maxClients int) bool {
	return f.Clients() < maxClients && f.loop.Spare() >= f.options.Reserve
}

// reclaimDescriptor frees a descriptor: of one that was told its end already, else of the one that
// has said nothing for longest, else of the one idle for longest. Silent connections,
// however many, must not keep out those that ask, nor may a crowd that arrives at once
// each other's connections between hello and query while idle ones are kept, or while there is room.
func (f *Front) reclaimDescriptor() bool {
	return f.closeOldest(stateClosing, 0) || f.closeOldest(stateNew, newConnGrace) || f.closeOldest(stateIdle, idleGrace) ||
		!f.hasCapacity(f.options.MaxClients) && (f.Clients() < f.options.MaxClients && f.options.FreeDescriptor() || f.closeOldest(stateIdle, 0) || f.closeOldest(stateNew, 0))
}

// closeOldest closes the one that came to p first, if that is so long ago, and tells
// whether it freed a descriptor.
func (f *Front) closeOldest(state connState, age time.Duration) bool {
	for element := f.queues[state].Front(); element != nil; element = f.queues[state].Front() {
		c := element.Value.(*conn)
		if f.loop.Now()-c.progressAt < age {
			return false
		}
		open := c.nc.Open()
		c.nc.Poll() // what it has sent by now counts
		if c.state == state && c.queueElement == element {
			c.close(closedDescriptors)
			if open {
				return true
			}
		}
	}
	return false
}

// reclaimMemory frees buffers while they are short, other than those of c, which is at work:
// first of those that have not sent a whole packet for longest. A usual request is small.
func (f *Front) reclaimMemory(c *conn) {
	for state := stateNew; state < stateIdle && f.loop.Pressed(); state++ {
		for _, other := range f.connsIn(state) {
			if other != c && other.nc.Held() > smallBufferBytes && f.loop.Pressed() {
				f.closeLog.Printf(f.loop.Now(), "event=client_closed client=%d reason=memory held=%d", other.number, other.nc.Held())
				other.finish(closedMemory) // a plain close over unread bytes would take an answer along that was just written
			}
		}
	}
}
