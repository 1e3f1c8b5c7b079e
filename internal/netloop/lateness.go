package netloop

import "time"

// tolerable is a delay of this process that is not worth a thought: such rounds are usual under load.
const tolerable = 10 * time.Millisecond

// lateness is what a loop knows of its own delay. What epoll hands on may have been ready for a while: since the last
// look, where the process has been at work, was starved of its core or stood still. Nobody else is to be blamed for
// that time.
type lateness struct {
	looked time.Duration // when the kernel was last asked
	whole  bool          // all that was ready then was taken
	age    time.Duration
	lost   time.Duration
}

// look notes that the kernel was asked at called and answered now. due is the moment of the earliest timer, 0 if there is
// none: one that waits for nothing but a timer and wakes long behind it was not running.
func (a *lateness) look(called, now, due time.Duration) {
	age := time.Duration(0)
	if now-called < time.Millisecond { // it did not have to wait: all may have been there since the last look
		age = now - a.looked
	}
	if !a.whole {
		age += a.age
	}
	if due > 0 {
		age = max(age, now-due)
	}
	if a.looked == 0 {
		age = 0
	}
	a.looked, a.age = now, age
	a.lost += max(0, age-tolerable)
}

// MaxEventAge is how long ago what this round brings may have come at most: the part of each latency that may be this process's.
func (l *Loop) MaxEventAge() time.Duration { return l.late.age }

// StallTime is how long this process has stood still or come late, all in all. It only rises; usual rounds add nothing.
func (l *Loop) StallTime() time.Duration { return l.late.lost }

// AfterRunTime is At, at the moment d from now, but not for what has to happen by then if this process was not there to see to it:
// the time that it lost meanwhile is added.
func (l *Loop) AfterRunTime(d time.Duration, do func()) *Timer {
	t, lost := l.At(l.now+d, nil), l.late.lost
	t.do = func() {
		if more := l.late.lost - lost; more > 0 {
			lost = l.late.lost
			l.again(t, l.now+more)
			return
		}
		do()
	}
	return t
}
