// Enforcing the timeouts, and which connections are closed when descriptors or buffers run short.

package front

import (
	"time"

	"lilaccove/internal/pgwire"
)

const clientLogsPerSecond = 3 // lines on client errors and unusual closes

// checkReaders checks whether clients that are slow to read their answers make progress; the total time of
// reading is not limited.
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
			f.clientLog.Printf(f.loop.Now(), "event=client_closed client=%d reason=unread pending=%d", c.number, c.nc.Pending())
			c.abort(closedUnread)
		}
	}
}

// hasRead reports whether the client has read since the last call, or has nothing to read.
func (c *conn) hasRead() bool {
	unread := c.nc.Unacknowledged()
	progressed := c.nc.Pending() == 0 || unread != c.lastUnread
	if c.lastUnread = unread; progressed {
		c.lastReadAt = c.front.loop.Now()
	}
	return progressed
}

// sweep closes connections that exceed their state's timeout.
func (f *Front) sweep() {
	f.checkReaders()
	now := f.loop.Now()
	f.loop.At(now+sweepInterval, f.sweep)
	for state := stateNew; state < stateCount; state++ {
		for e := f.queues[state].Front(); e != nil && e.Value.(*conn).progressAt+stateTimeouts[state] <= now; e = f.queues[state].Front() {
			c := e.Value.(*conn)
			if c.largeWait.active {
				c.refuseLarge()
				continue
			}
			if c.mayHaveSentCommand() {
				c.refuseForMemory()
				continue
			}
			if state != stateIdle && state != stateClosing {
				f.clientLog.Printf(now, "event=client_closed client=%d reason=slow started=%t pending=%d", c.number, c.started, c.nc.Pending())
			}
			c.close(timeoutReasons[state])
		}
	}
}

// hasCapacity reports whether one more client may connect under a limit. Connections to databases do
// not count against it.
func (f *Front) hasCapacity(maxClients int) bool {
	return f.Clients() < maxClients && f.loop.SpareDescriptors() >= f.options.Reserve
}

// reclaimDescriptor frees a descriptor: of a closing connection, else of the one that has been silent
// longest without a first query, else of the one idle longest. Any number of silent connections must not
// keep out clients that send queries. Many clients that connect at once must not displace each other
// between startup and first query while idle connections are kept or capacity is left.
func (f *Front) reclaimDescriptor() bool {
	return f.closeOldest(stateClosing, 0) || f.closeOldest(stateNew, newConnGrace) || f.closeOldest(stateIdle, idleGrace) ||
		!f.hasCapacity(f.options.MaxClients) && (f.Clients() < f.options.MaxClients && f.options.FreeDescriptor() ||
			f.closeOldest(stateIdle, 0) || f.refuseLastWaiting() || f.closeOldest(stateNew, 0))
}

// closeOldest closes the first connection of a state's queue if it is at least age old, and reports
// whether that frees a descriptor. A client that may have sent a command has an error first.
func (f *Front) closeOldest(state connState, age time.Duration) bool {
	for element := f.queues[state].Front(); element != nil; element = f.queues[state].Front() {
		c := element.Value.(*conn)
		if f.loop.Now()-c.progressAt < age {
			return false
		}
		open := c.nc.HasDescriptor()
		c.nc.Poll() // input that has arrived counts
		if c.state != state || c.queueElement != element {
			continue
		}
		if c.mayHaveSentCommand() {
			c.refuseForMemory()
			return true
		}
		c.close(closedDescriptors)
		if open {
			return true
		}
	}
	return false
}

// refuseLastWaiting refuses the large statement that has waited for memory for the shortest time, and reports whether there was one.
func (f *Front) refuseLastWaiting() bool {
	if len(f.largeWaiting) == 0 {
		return false
	}
	f.largeWaiting[len(f.largeWaiting)-1].refuseLarge()
	return true
}

// reclaimMemory frees buffers while memory is short, except those of c, which is in use: those of clients that have not sent a complete
// packet, oldest first. A usual request is small. Unread answers are kept: the memory for them is bounded by Options.MaxAnswerBytes.
func (f *Front) reclaimMemory(c *conn) {
	for state := stateNew; state <= statePartial && f.loop.BuffersShort(); state++ {
		for _, other := range f.connsIn(state) {
			if other != c && other.nc.BufferBytes() > smallBufferBytes && f.loop.BuffersShort() {
				f.clientLog.Printf(f.loop.Now(), "event=client_closed client=%d reason=memory held=%d", other.number, other.nc.BufferBytes())
				other.refuseForMemory()
			}
		}
	}
}

// refuseForMemory ends a connection that has no unanswered command. The last byte of its next command may have been sent already, so that the
// client is owed an answer.
func (c *conn) refuseForMemory() {
	c.nc.Write(pgwire.AppendError(nil, "FATAL", pgwire.CodeTooManyConnections, "the gateway's memory is short; nothing has run", ""))
	c.finish(closedMemory)
}
