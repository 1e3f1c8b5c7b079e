// How long connections may stay at their places, and who is closed when descriptors or buffers run short.

package front

import (
	"slices"
	"time"

	"lilaccove/internal/pgwire"
)

// place is what a connection is at. In each place they queue, the one that came first in
// front, so that the end of a limit and the choice of whom to close are at hand.
type place int

const (
	busy    place = iota // the core has a request of it
	fresh                // it has not sent a whole query yet, or not even a hello
	partial              // a packet has begun
	unread               // it has not read its answer
	idle                 // between requests
	leaving              // finished: it may read its last answer
	places
)

// limits are how long a connection may stay in its place. Who connects and does not ask
// is owed an error or a close within 3 s, but may take 2 s for a head; the protocol lets idle ones be
// closed after 2 s. A packet that has begun has its time from the last bytes that came.
var limits = [places]time.Duration{
	fresh: 2600 * time.Millisecond, partial: 2500 * time.Millisecond, unread: 10 * time.Second, idle: 5 * time.Second,
	leaving: 2 * time.Second,
}

// closed is why the front has ended a connection.
type closed int

const (
	closedIdle        closed = iota // it has been idle for too long
	closedSlow                      // it sent no whole command in time
	closedUnread                    // it did not read its answer
	closedDescriptors               // its descriptor was wanted
	closedMemory                    // its buffer was wanted
	closedBroken                    // a value broke off
	closedBad                       // it sent what is not spoken here
	closedDone                      // it has ended itself, or asked for no more than a cancel
	closedDrain                     // the gateway ends, or is drained
	closedReasons
)

var closedNames = [closedReasons]string{
	"idle", "slow", "unread", "descriptors", "memory", "broken", "bad", "done", "drain",
}

// overstayed is why a connection ends that has been at its place for too long.
var overstayed = [places]closed{idle: closedIdle, leaving: closedDone, unread: closedUnread, fresh: closedSlow, partial: closedSlow}

const closedLines = 3 // in the log in a second, of those that are not usual

// reread looks whether those that are slow to read their answers go on reading: progress counts, not the
// time that it takes.
func (f *Front) reread() {
	for _, c := range f.all(unread) {
		if c.nc.Pending() == 0 {
			c.serve()
		} else if c.reads() {
			f.queues[unread].MoveToBack(c.at)
			c.since = f.loop.Now()
		}
	}
	for c := range f.streams {
		if !c.reads() && f.loop.Now()-c.readAt >= limits[unread] {
			f.bad.Printf(f.loop.Now(), "event=client_closed client=%d reason=unread pending=%d", c.number, c.nc.Pending())
			c.cut(closedUnread)
		}
	}
}

// reads tells whether the client has read since the last look, or has nothing to read.
func (c *conn) reads() bool {
	n := c.nc.Pending()
	read := n == 0 || n != c.unread
	if c.unread = n; read {
		c.readAt = c.front.loop.Now()
	}
	return read
}

// sweep closes whoever has been at its place too long.
func (f *Front) sweep() {
	f.reread()
	now := f.loop.Now()
	f.loop.At(now+sweepTime, f.sweep)
	for p := fresh; p < places; p++ {
		for e := f.queues[p].Front(); e != nil && e.Value.(*conn).since+limits[p] <= now; e = f.queues[p].Front() {
			c := e.Value.(*conn)
			if slices.Contains(f.queued, c) {
				c.fatal(pgwire.CodeTooManyConnections, "too many large statements at once; nothing has run")
				c.serve()
				continue
			}
			if p != idle && p != leaving {
				f.bad.Printf(now, "event=client_closed client=%d reason=slow started=%t pending=%d", c.number, c.started, c.nc.Pending())
			}
			c.close(overstayed[p])
		}
	}
}

// roomy tells whether one more client may come where so many are the most. What databases
// hold does not count against the clients' own share.
func (f *Front) roomy(most int) bool {
	return f.Clients() < most && f.loop.Spare() >= f.opt.Reserve
}

// makeRoom frees a descriptor: of one that was told its end already, else of the one that
// has said nothing for longest, else of the one idle for longest. Silent connections,
// however many, must not keep out those that ask, nor may a crowd that arrives at once
// each other's connections between hello and query while idle ones are kept, or while there is room.
func (f *Front) makeRoom() bool {
	return f.closeOldest(leaving, 0) || f.closeOldest(fresh, freshGrace) || f.closeOldest(idle, idleGrace) ||
		!f.roomy(f.opt.MaxClients) && (f.Clients() < f.opt.MaxClients && f.opt.FreeDescriptor() || f.closeOldest(idle, 0) || f.closeOldest(fresh, 0))
}

// closeOldest closes the one that came to p first, if that is so long ago, and tells
// whether it freed a descriptor.
func (f *Front) closeOldest(p place, age time.Duration) bool {
	for e := f.queues[p].Front(); e != nil; e = f.queues[p].Front() {
		c := e.Value.(*conn)
		if f.loop.Now()-c.since < age {
			return false
		}
		open := c.nc.Open()
		c.nc.Poll() // what it has sent by now counts
		if c.place == p && c.at == e {
			c.close(closedDescriptors)
			if open {
				return true
			}
		}
	}
	return false
}

// relieve frees buffers while they are short, other than those of c, which is at work:
// first of those that have not sent a whole packet for longest. A usual request is small.
func (f *Front) relieve(c *conn) {
	for p := fresh; p < idle && f.loop.Pressed(); p++ {
		for _, x := range f.all(p) {
			if x != c && x.nc.Held() > keepSmall && f.loop.Pressed() {
				f.bad.Printf(f.loop.Now(), "event=client_closed client=%d reason=memory held=%d", x.number, x.nc.Held())
				x.finish(closedMemory) // a plain close over unread bytes would take an answer along that was just written
			}
		}
	}
}
