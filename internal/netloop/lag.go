package netloop

import "time"

// tolerableLag is the event loop lag that is common under load and not counted as a stall.
const tolerableLag = 10 * time.Millisecond

// eventLoopLag measures the delay of the loop itself. Events that epoll returns may have been ready for a
// while: since the previous poll if the process was busy, got no CPU time or was stopped. No peer is to be
// blamed for that time.
type eventLoopLag struct {
	lastPoll  time.Duration // when epoll_wait last returned
	complete  bool          // that poll returned all ready events
	maxAge    time.Duration // see MaxEventAge
	stallTime time.Duration // see StallTime
}

// observe records that epoll_wait was called and returned at the given times. nextTimer is the time of the
// earliest timer, 0 if there is none: a process that waits only for a timer and wakes well after it was not
// running.
func (lag *eventLoopLag) observe(callTime, now, nextTimer time.Duration) {
	age := time.Duration(0)
	if now-callTime < time.Millisecond { // the call didn't wait: its events may have been ready since the previous poll
		age = now - lag.lastPoll
	}
	if !lag.complete {
		age += lag.maxAge
	}
	if nextTimer > 0 {
		age = max(age, now-nextTimer)
	}
	if lag.lastPoll == 0 {
		age = 0
	}
	lag.lastPoll, lag.maxAge = now, age
	lag.stallTime += max(0, age-tolerableLag)
}

// MaxEventAge returns how long the events of this round may have been ready at most: the part of each latency
// that may be due to this process.
func (l *Loop) MaxEventAge() time.Duration { return l.lag.maxAge }

// StallTime returns for how long this process has been stalled in total. It never decreases; lag up to
// tolerableLag adds nothing.
func (l *Loop) StallTime() time.Duration { return l.lag.stallTime }

// AfterRunTime schedules a call of callback after d, extended by the time for which this process is stalled
// meanwhile. It is for time limits on work that this process has a part in.
func (l *Loop) AfterRunTime(d time.Duration, callback func()) *Timer {
	t, stallTime := l.At(l.now+d, nil), l.lag.stallTime
	t.callback = func() {
		if added := l.lag.stallTime - stallTime; added > 0 {
			stallTime = l.lag.stallTime
			l.rearm(t, l.now+added)
			return
		}
		callback()
	}
	return t
}
