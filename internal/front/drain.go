// The end of the front, and how it is emptied.

package front

import "time"

// Shutdown stops accepting and lets each connection go as soon as it owes nothing. What has come by now is taken, and of a
// command that has begun the rest; nothing that begins later, or clients that go on sending would be owed answers without
// end. All answers are given by the moment until.
func (f *Front) Shutdown(until time.Duration) {
	f.shutdownDeadline, f.shuttingDown = until, true
	f.closeListener()
	for state := stateBusy; state < stateClosing; state++ {
		for _, c := range f.connsIn(state) {
			c.takeRemaining()
		}
	}
}

// closeListener takes the connections that wait in the queue and stops listening, at the latest when no answer could be given
// any more. While they cannot be taken it is tried again.
func (f *Front) closeListener() {
	if !f.listener.Drain() && f.loop.Now()+listenerRetryInterval < f.shutdownDeadline {
		f.loop.At(f.loop.Now()+listenerRetryInterval, f.closeListener)
		return
	}
	f.listener.Close()
}

// takeRemaining takes what a client has sent by now, though the front closes, and the rest of a command that has begun.
func (c *conn) takeRemaining() {
	c.takesRemaining = true
	c.nc.Poll() // a request may have come that no round has read yet
	c.serve()
	c.takesRemaining = false
	c.finishing = c.finishing || len(c.nc.Input()) == 0 && c.large == nil
	c.serve()
}

// HandOver stops accepting, for others hold the queue, and lets each connection go behind its next answer. Who
// asks for nothing is let go one by one until the moment given: a close that crosses a request turns it
// back unheard, which hardly happens behind an answer.
func (f *Front) HandOver(until time.Duration) {
	f.listener.Pause()
	f.beginDrain(until)
}

// ResumeAccepting accepts clients again after Leave, because nobody else does. Each still goes behind its next answer.
func (f *Front) ResumeAccepting() error { return f.listener.Start() }

// Drain has the empty query answered with a no and lets all clients go as Leave does. New ones are served
// once each: whoever sends them here takes a moment to notice.
func (f *Front) Drain(until time.Duration) {
	f.drained = true
	f.beginDrain(until)
}

// Activate takes Empty back.
func (f *Front) Activate() { f.drained, f.drainUntil = false, 0 }

const drainStep = 50 * time.Millisecond

func (f *Front) beginDrain(until time.Duration) {
	running := f.drainUntil != 0
	if f.drainUntil = until; !running {
		f.closeSomeIdle()
	}
}

// closeSomeIdle lets a part of the idle connections go, the longest idle first, so that none is left by the moment set.
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
		if c.state == stateIdle && c.queueElement != nil {
			c.finish(closedDrain)
		}
	}
}

// ShutdownComplete tells that no client is owed bytes, or waits in the queue, once Drain was called.
func (f *Front) ShutdownComplete() bool {
	f.checkReaders()
	return f.listener.Closed() && f.queues[stateBusy].Len() == 0 && f.queues[stateUnread].Len() == 0
}
