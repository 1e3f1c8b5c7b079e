// The end of a client's connection.

package front

// closeReason is why the front has closed a connection.
type closeReason int

const (
	closedIdle        closeReason = iota // idle for too long
	closedSlow                           // no complete command in time
	closedUnread                         // the answer was not read
	closedDescriptors                    // its descriptor was needed
	closedMemory                         // its buffer was needed
	closedBroken                         // a streamed value ended incomplete
	closedBad                            // invalid or unsupported message
	closedDone                           // terminated by the client, or a cancel request
	closedDrain                          // the gateway shuts down or drains
	closeReasonCount
)

var closeReasonNames = [closeReasonCount]string{
	"idle", "slow", "unread", "descriptors", "memory", "broken", "bad", "done", "drain",
}

// timeoutReasons maps states to the reason for closing a connection that exceeds the state's timeout.
var timeoutReasons = [stateCount]closeReason{
	stateIdle: closedIdle, stateClosing: closedDone, stateUnread: closedUnread, stateNew: closedSlow, stateWaiting: closedSlow, statePartial: closedSlow,
}

// mayEnd reports whether the gateway may end the connection now: it wants to, and everything is answered.
func (c *conn) mayEnd() bool {
	drained := c.front.drainUntil != 0 && c.queried
	return len(c.calls) == 0 && !c.work.postponed && (c.finishing || c.refusing || drained && !c.hasPartialCommand() && c.nc.Pending() == 0)
}

// restIsRead reports whether all is read that had arrived when the connection was to end for the first time: pipelined commands may be among it.
// What comes later does not delay the end.
func (c *conn) restIsRead() bool {
	if c.endAfter == 0 {
		c.endAfter = c.nc.BytesRead() + c.nc.BytesUnread()
	}
	return c.finishing || c.nc.BytesRead() >= c.endAfter
}

// hasPartialCommand reports whether a part of a command has been read, or is known to have arrived before the connection ends. Its last byte may
// have been sent already, so that its client is owed an answer.
func (c *conn) hasPartialCommand() bool {
	return c.large != nil || len(c.nc.Input()) > 0 || c.nc.BytesRead() < c.endAfter
}

// abort closes a connection whose current answer is not being read.
func (c *conn) abort(reason closeReason) {
	c.front.closedCounts.Add(int(reason))
	c.nc.Close()
	c.Ended(nil)
}

// Ended handles the end of the connection: the client is gone.
func (c *conn) Ended(error) {
	c.revokeCancelKey()
	c.dequeue()
	c.discardLarge()
	delete(c.front.streaming, c)
	calls := c.calls
	c.calls = nil
	c.updateAnswerMemory()
	for _, call := range calls {
		call.dropBuffered()
		if !call.done {
			call.done = true
			c.front.core.ClientGone(call.request)
			c.front.abandonID(call.request)
		}
	}
}

// finish ends the connection in an orderly way: the client can still read its last answer.
func (c *conn) finish(reason closeReason) {
	c.recordClose(reason)
	c.revokeCancelKey()
	c.discardLarge()
	limit := stateTimeouts[stateClosing]
	if c.nc.Pending() > 0 {
		limit = stateTimeouts[stateUnread]
	}
	deadline := c.front.loop.Now() + limit
	if c.front.answerDeadline > 0 { // the process is killed soon after, so a peer that keeps its side open is not waited for
		deadline = min(deadline, max(c.front.answerDeadline, c.front.loop.Now()+lastAnswerTime))
	}
	c.nc.Finish(deadline)
	c.updateAnswerMemory()
	c.updateState()
}

// drainReason returns the reason for an orderly end.
func (c *conn) drainReason() closeReason {
	switch {
	case c.protocolError:
		return closedBad
	case c.front.shuttingDown || c.front.drainUntil != 0:
		return closedDrain
	}
	return closedDone
}

// recordClose counts that the gateway ends the connection, and has the guard check that no answer is pending. A connection that
// is closing already is not counted again.
func (c *conn) recordClose(reason closeReason) {
	if c.state == stateClosing && c.queueElement != nil {
		return
	}
	c.front.closedCounts.Add(int(reason))
	unanswered, request := 0, ""
	for _, call := range c.calls {
		if !call.done {
			unanswered, request = unanswered+1, call.id
		}
	}
	c.front.options.Guard.CheckClose(c.number, request, unanswered)
}

// close closes the connection at once.
func (c *conn) close(reason closeReason) {
	c.recordClose(reason)
	c.revokeCancelKey()
	c.dequeue()
	c.discardLarge()
	c.nc.Close()
	c.updateAnswerMemory()
}
