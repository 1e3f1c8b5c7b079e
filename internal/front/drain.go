// The end of the front, and how it is emptied.

package front

import "time"

// Shutdown stops accepting and lets each connection go as soon as it owes nothing. What has come by now is taken, and of a
// command that has begun the rest; nothing that begins later, or clients that go on sending would be owed answers without
// end. All answers are given by the moment until.
func (f *Front) Shutdown(until time.Duration) {
	f.until, f.closing = until, true
	f.closeQueue()
	for p := busy; p < leaving; p++ {
		for _, c := range f.all(p) {
			c.takeLast()
		}
	}
}

// closeQueue takes the connections that wait in the queue and stops listening, at the latest when no answer could be given
// any more. While they cannot be taken it is tried again.
func (f *Front) closeQueue() {
	if !f.ln.Drain() && f.loop.Now()+queueRetry < f.until {
		f.loop.At(f.loop.Now()+queueRetry, f.closeQueue)
		return
	}
	f.ln.Close()
}

// takeLast takes what a client has sent by now, though the front closes, and the rest of a command that has begun.
func (c *conn) takeLast() {
	c.taking = true
	c.nc.Poll() // a request may have come that no round has read yet
	c.serve()
	c.taking = false
	c.last = c.last || len(c.nc.Input()) == 0 && c.pieces == nil
	c.serve()
}

// HandOver stops accepting, for others hold the queue, and lets each connection go behind its next answer. Who
// asks for nothing is let go one by one until the moment given: a close that crosses a request turns it
// back unheard, which hardly happens behind an answer.
func (f *Front) HandOver(until time.Duration) {
	f.ln.Pause()
	f.ease(until)
}

// ResumeAccepting accepts clients again after Leave, because nobody else does. Each still goes behind its next answer.
func (f *Front) ResumeAccepting() error { return f.ln.Start() }

// Drain has the empty query answered with a no and lets all clients go as Leave does. New ones are served
// once each: whoever sends them here takes a moment to notice.
func (f *Front) Drain(until time.Duration) {
	f.drained = true
	f.ease(until)
}

// Activate takes Empty back.
func (f *Front) Activate() { f.drained, f.easing = false, 0 }

const easeStep = 50 * time.Millisecond

func (f *Front) ease(until time.Duration) {
	begun := f.easing != 0
	if f.easing = until; !begun {
		f.easeOut()
	}
}

// easeOut lets a part of the idle connections go, the longest idle first, so that none is left by the moment set.
func (f *Front) easeOut() {
	now := f.loop.Now()
	if f.easing == 0 || f.closing {
		return
	}
	f.loop.At(now+easeStep, f.easeOut)
	steps := max(1, int((f.easing-now)/easeStep))
	part := (f.queues[idle].Len() + steps - 1) / steps
	for _, c := range f.all(idle)[:part] {
		c.nc.Poll()
		if c.place == idle && c.at != nil {
			c.finish(closedDrain)
		}
	}
}

// ShutdownComplete tells that no client is owed bytes, or waits in the queue, once Drain was called.
func (f *Front) ShutdownComplete() bool {
	f.reread()
	return f.ln.Closed() && f.queues[busy].Len() == 0 && f.queues[unread].Len() == 0
}
