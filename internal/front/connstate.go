// A connection's state, and the queue of that state in which it stands.

package front

import "time"

// connState is the state of a connection. Each state has a queue, ordered by the time of entry or last
// progress, so that expired connections and candidates for closing are at its front.
type connState int

const (
	stateBusy    connState = iota // a request is unanswered
	stateNew                      // no complete query received yet, or no startup message
	stateWaiting                  // a large statement waits for memory
	statePartial                  // a packet is partly received
	stateUnread                   // an answer is not read yet
	stateIdle                     // between requests
	stateClosing                  // ended by the gateway; the client may read its last answer
	stateCount
)

// receives reports whether a connection in this state is in the middle of a command, or before its first.
func (s connState) receives() bool { return s >= stateNew && s <= statePartial }

// stateTimeouts bounds how long a connection may stay in each state. A client that connects and sends
// no query must get an error or a close within 3 s, but may take 2 s for a message header; the protocol
// allows closing idle connections after 2 s. The timeout of a partial packet restarts with received bytes. That of a statement that
// waits for memory is longer, so that the memory of one that times out at the same time serves others.
var stateTimeouts = [stateCount]time.Duration{
	stateNew: 2600 * time.Millisecond, stateWaiting: 2700 * time.Millisecond, statePartial: 2500 * time.Millisecond,
	stateUnread: 10 * time.Second, stateIdle: 5 * time.Second, stateClosing: 2 * time.Second,
}

// updateState determines the connection's state and queues it there. A connection that stays in its state keeps its time.
func (c *conn) updateState() {
	state := stateIdle
	switch {
	case c.nc.Closed():
		state = stateClosing
	case len(c.calls) > 0:
		state = stateBusy
	case c.nc.Pending() > 0:
		state = stateUnread
	case c.largeWait.active:
		state = stateWaiting
	case !c.queried && c.large == nil:
		state = stateNew
	case c.hasPartialCommand():
		state = statePartial
	}
	now := c.front.loop.Now()
	switch {
	case c.queueElement == nil || state != c.state:
		if c.queueElement == nil || !c.state.receives() || !state.receives() {
			c.progressAt, c.enteredAt = now, now
		}
		c.enqueue(state)
	case c.hasPartialCommand() && (state == statePartial || c.started) && state.receives() && (c.madeProgress(now) || c.nc.Held()):
		c.progressAt = c.lastSentAt()
		c.enqueue(state)
	}
}

// lastSentAt returns the time from which the silence of a client counts that has just made progress: when it sent the last bytes. Where that is
// not known, because reading had been stopped, the client is left resumedInputTime to send more.
func (c *conn) lastSentAt() time.Duration {
	latest := c.front.loop.Now() - stateTimeouts[statePartial] + resumedInputTime
	return max(c.nc.SilentSince(), latest)
}

// enqueue moves the connection to a state's queue, which is ordered by progress.
func (c *conn) enqueue(state connState) {
	c.dequeue()
	c.state = state
	queue := &c.front.queues[state]
	before := queue.Back()
	for before != nil && before.Value.(*conn).progressAt > c.progressAt {
		before = before.Prev()
	}
	if before == nil {
		c.queueElement = queue.PushFront(c)
	} else {
		c.queueElement = queue.InsertAfter(c, before)
	}
}

// madeProgress reports whether the time of an incomplete packet is extended: of a large statement when enough of it has
// arrived since the last time, of any other packet as long as maxPacketTime allows.
func (c *conn) madeProgress(now time.Duration) bool {
	if c.large == nil {
		return now-c.enteredAt < maxPacketTime-stateTimeouts[statePartial]
	}
	received := c.large.received + len(c.nc.Input())
	progressed := received >= c.large.progressMark+minProgressBytes
	if progressed {
		c.large.progressMark = received
	}
	return progressed
}

// mayHaveSentCommand reports whether the client waits for no answer, but may have sent a whole command that is not read for lack of a buffer.
func (c *conn) mayHaveSentCommand() bool {
	return c.nc.AwaitingBuffer() && c.state != stateUnread && c.state != stateClosing
}

// dequeue removes the connection from its state's queue.
func (c *conn) dequeue() {
	if c.queueElement != nil {
		c.front.queues[c.state].Remove(c.queueElement)
		c.queueElement = nil
	}
}
