// Shutdown, handover and draining of the front.

package front

import (
	"time"

	"lilaccove/internal/pgwire"
)

// SetAnswerDeadline bounds the deadlines of all requests that are read from now on: the process ends soon after the given time.
func (f *Front) SetAnswerDeadline(deadline time.Duration) { f.answerDeadline = deadline }

// Shutdown stops accepting and closes each connection as soon as all its requests are answered. Input received so far is still
// handled, and the rest of a command that has begun. Later commands, which a client pipelines while it waits for those answers, are
// refused at once: if they were served, clients that keep sending could delay the end without limit. SetAnswerDeadline must have been
// called before.
func (f *Front) Shutdown() {
	f.shuttingDown = true
	f.closeListener()
	f.loop.At(f.answerDeadline, f.refusePartialCommands)
	for state := stateBusy; state < stateClosing; state++ {
		for _, c := range f.connsIn(state) {
			c.takeRemaining()
		}
	}
}

// closeListener accepts the connections that wait in the listen queue and stops listening. While they cannot be accepted it
// retries, until no answer could be given in time any more.
func (f *Front) closeListener() {
	if !f.listener.Drain() && f.loop.Now()+listenerRetryInterval < f.answerDeadline {
		f.loop.At(f.loop.Now()+listenerRetryInterval, f.closeListener)
		return
	}
	f.listener.Close()
}

// takeRemaining handles what a client has sent by now during a shutdown, and lets the rest of a command that has begun follow.
func (c *conn) takeRemaining() {
	c.takesRemaining = true
	c.nc.Poll() // a request may have arrived that was not read yet
	c.serve()
	c.takesRemaining = false
	c.refusing = c.refusing || !c.hasPartialCommand()
	c.serve()
}

// HandOver stops accepting, because the successor holds the listen queue, and closes each connection after its next
// answer. Idle connections are closed gradually until the time given: a close that crosses a request rejects it
// unread, which is unlikely directly after an answer.
func (f *Front) HandOver(until time.Duration) {
	f.listener.Pause()
	f.beginDrain(until)
}

// ResumeAccepting accepts clients again after HandOver, because the successor is lost. Each connection is still closed after its
// next answer.
func (f *Front) ResumeAccepting() error { return f.listener.Start() }

// Drain makes the empty query fail and closes connections as HandOver does. New connections are served one
// request each: the load balancer takes a while to notice.
func (f *Front) Drain(until time.Duration) {
	f.drained = true
	f.beginDrain(until)
}

// Activate undoes Drain.
func (f *Front) Activate() {
	f.drained, f.drainUntil = false, 0
	for state := stateBusy; state < stateClosing; state++ {
		for _, c := range f.connsIn(state) {
			c.endAfter = 0
		}
	}
}

const drainStep = 50 * time.Millisecond // between two closings of some idle connections

// beginDrain starts to close connections after their next answers, and idle ones by the time until.
func (f *Front) beginDrain(until time.Duration) {
	running := f.drainUntil != 0
	if f.drainUntil = until; !running {
		f.closeSomeIdle()
	}
}

// closeSomeIdle closes a part of the idle connections, longest idle first, such that none is left by drainUntil.
func (f *Front) closeSomeIdle() {
	now := f.loop.Now()
	if f.drainUntil == 0 || f.shuttingDown {
		return
	}
	f.loop.At(now+drainStep, f.closeSomeIdle)
	steps := max(1, int((f.drainUntil-now)/drainStep))
	part := (f.queues[stateIdle].Len() + steps - 1) / steps
	for _, c := range f.connsIn(stateIdle)[:part] {
		c.nc.Poll()
		if c.state == stateIdle && c.queueElement != nil && !c.mayHaveSentCommand() {
			c.finish(closedDrain)
		}
	}
}

// refusePartialCommands answers the commands that are not completely read: the process ends before they could be served.
func (f *Front) refusePartialCommands() {
	for _, c := range f.partialCommands() {
		c.fatal(pgwire.CodeTooManyConnections, "the gateway ends; nothing has run")
		c.serve()
	}
}

// partialCommands returns the connections without unanswered requests of whose next command a part was read.
func (f *Front) partialCommands() (list []*conn) {
	for _, state := range []connState{stateNew, stateWaiting, statePartial} {
		for _, c := range f.connsIn(state) {
			if c.hasPartialCommand() {
				list = append(list, c)
			}
		}
	}
	return list
}

// ShutdownComplete reports, after Shutdown, whether no client waits for bytes, for the answer to a command that it may have sent
// whole, or in the listen queue.
func (f *Front) ShutdownComplete() bool {
	f.checkReaders()
	return f.listener.Closed() && f.queues[stateBusy].Len() == 0 && f.queues[stateUnread].Len() == 0 && len(f.partialCommands()) == 0
}
