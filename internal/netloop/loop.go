// Package netloop is an epoll event loop with non-blocking connections, timers, bounded buffers and a limit
// on descriptors. One goroutine runs the loop and owns everything that belongs to it; there are no locks.
//
// Times are durations since the Unix epoch. The system clock is read once, at the start; from then on
// only the monotonic clock is used, so that a step of the system clock moves no deadline.
package netloop

import (
	"container/heap"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"lilaccove/internal/sys"
)

const (
	eventsPerPoll        = 256 // events taken from the kernel with one call
	maxReadsPerRound     = 4   // reads from one connection per round, so that a fast peer doesn't hold up the others
	maxPollsBeforeTimers = 64  // extra calls of epoll_wait before timers that are due may fire
)

// Errors that end a connection, besides those of the operating system.
var (
	ErrPeerClosed   = errors.New("peer closed the connection")
	ErrNoDescriptor = errors.New("no descriptor to spare")
)

// Loop is an epoll event loop, made by New.
type Loop struct {
	epollFD, wakeFD     int
	startTime           time.Time
	startWallClock      time.Duration
	now                 time.Duration
	slots               []slot // indexed by descriptor
	lastGeneration      int32
	timers              timerHeap
	openDescriptors     int
	maxDescriptors      int
	reservedDescriptors int // reserved by listeners; counted neither in maxDescriptors nor in openDescriptors
	buffers             bufferPool
	stopped             bool
	lingering           int
	onWake              []func()
	lag                 eventLoopLag
	events              [eventsPerPoll]unix.EpollEvent
}

// New returns a loop with limits on the number of open descriptors and on the bytes of allocated buffers.
// alreadyOpen is the number of descriptors that the process has open; they count against the limit.
func New(descriptors, alreadyOpen, maxBufferBytes int) (*Loop, error) {
	l := &Loop{
		startTime:       time.Now(),
		maxDescriptors:  descriptors,
		openDescriptors: alreadyOpen,
		buffers:         bufferPool{limit: maxBufferBytes},
	}
	l.startWallClock = sys.WallClock()
	l.updateNow()
	var err error
	if l.epollFD, err = openAtStart(func() (int, error) { return sys.EpollCreate(unix.EPOLL_CLOEXEC) }); err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	if l.wakeFD, err = openAtStart(func() (int, error) { return sys.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC) }); err != nil {
		unix.Close(l.epollFD)
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	l.openDescriptors += 2
	if err := l.register(l.wakeFD, unix.EPOLLIN, slot{}); err != nil {
		return nil, err
	}
	return l, nil
}

// Now returns the time at which the current round began.
func (l *Loop) Now() time.Duration { return l.now }

func (l *Loop) updateNow() { l.now = l.Clock() }

// Clock returns the current time; Now returns the time at which the round began.
func (l *Loop) Clock() time.Duration { return l.startWallClock + time.Since(l.startTime) }

// SetDescriptorLimit changes how many descriptors may be open, including those reserved by listeners.
// Descriptors over the new limit stay open.
func (l *Loop) SetDescriptorLimit(descriptors int) {
	l.maxDescriptors = descriptors - l.reservedDescriptors
}

// SetBufferLimit changes how many bytes of buffers may be allocated.
func (l *Loop) SetBufferLimit(bytes int) { l.buffers.limit = bytes }

// SpareDescriptors returns how many more descriptors may be opened.
func (l *Loop) SpareDescriptors() int { return l.maxDescriptors - l.openDescriptors }

// BuffersShort reports whether more than three quarters of the buffer limit are in use.
func (l *Loop) BuffersShort() bool { return l.buffers.used() > l.buffers.limit*3/4 }

// MayReadAhead reports whether there is memory for input that cannot be handled yet: less than half of the buffer limit is in use.
func (l *Loop) MayReadAhead() bool { return l.buffers.used() < l.buffers.limit/2 }

// Lingering returns the number of connections on which Finish was called and that are not closed yet.
func (l *Loop) Lingering() int { return l.lingering }

// Stop makes Run return after the current round.
func (l *Loop) Stop() { l.stopped = true }

// OnWake adds a function that is called on the loop's goroutine after Wake.
func (l *Loop) OnWake(callback func()) { l.onWake = append(l.onWake, callback) }

// Wake wakes the loop. It may be called from any goroutine, a signal handler's for example.
func (l *Loop) Wake() {
	one := [8]byte{1}
	for {
		if _, err := unix.Write(l.wakeFD, one[:]); err != unix.EINTR {
			return
		}
	}
}

// Run handles events and timers and then calls step, in rounds, until Stop. If step returns true the next
// round starts without waiting.
func (l *Loop) Run(step func() (again bool)) error {
	again := true // work prepared before the first round doesn't wait for a timer
	for !l.stopped {
		callTime, nextTimer := l.Clock(), l.nextTimer()
		n, err := l.poll(l.pollTimeout(again))
		l.updateNow()
		if err != nil {
			return err
		}
		l.lag.observe(callTime, l.now, nextTimer)
		l.dispatchAll(n)
		// Timers conclude from what has not arrived, so all that has is read first. After a stall more may be
		// ready than one call returns, and the process may have been stopped between the call and the reading
		// of the clock.
		for polls := 0; (n == eventsPerPoll || polls == 0 && l.overdue()) && polls < maxPollsBeforeTimers &&
			l.nextTimer() > 0 && l.nextTimer() <= l.now; polls++ {
			if n, err = l.poll(0); err != nil {
				return err
			}
			l.dispatchAll(n)
		}
		l.lag.complete = n < eventsPerPoll
		l.fireTimers()
		again = step()
	}
	return nil
}

// poll calls epoll_wait. After an interrupted wait it asks again at once for ready events: a wait during
// which the process was stopped (SIGSTOP) ends that way when the process continues, whatever has arrived
// meanwhile, and timers must not fire before that is read.
func (l *Loop) poll(timeout int) (n int, err error) {
	n, err = sys.EpollWait(l.epollFD, l.events[:], timeout)
	for err == unix.EINTR {
		n, err = sys.EpollWait(l.epollFD, l.events[:], 0)
	}
	if err != nil {
		return 0, fmt.Errorf("epoll_wait: %w", err)
	}
	return n, nil
}

// dispatchAll handles n events. Those of listeners with reserved descriptors, and of their connections, come
// first, so that a crowd of others delays them by one call of epoll_wait at most.
func (l *Loop) dispatchAll(n int) {
	for _, reserved := range []bool{true, false} {
		for i := range max(n, 0) {
			if event := &l.events[i]; l.isReserved(event) == reserved {
				l.dispatch(event)
			}
		}
	}
}

// nextTimer returns the time of the earliest timer, 0 if there is none.
func (l *Loop) nextTimer() time.Duration {
	if len(l.timers) == 0 {
		return 0
	}
	return l.timers[0].when
}

// overdue reports whether the earliest timer is late by more than the tolerable lag, which shows that this
// process was stalled. There must be a timer.
func (l *Loop) overdue() bool { return l.now-l.nextTimer() > tolerableLag }

// pollTimeout returns how many milliseconds the next round may wait for events: until the next timer, rounded
// up so that the loop doesn't spin through the last millisecond.
func (l *Loop) pollTimeout(again bool) int {
	if again || l.stopped {
		return 0
	}
	if len(l.timers) == 0 {
		return -1
	}
	left := l.timers[0].when - l.Clock()
	return int(min(max(0, left+time.Millisecond-1)/time.Millisecond, 60_000))
}

func (l *Loop) dispatch(event *unix.EpollEvent) {
	if int(event.Fd) == l.wakeFD {
		var b [8]byte
		_, _ = unix.Read(l.wakeFD, b[:])
		for _, callback := range l.onWake {
			callback()
		}
		return
	}
	owner := l.slots[event.Fd]
	switch {
	case owner.generation != event.Pad: // closed earlier in this round
	case owner.conn != nil:
		owner.conn.handleEvents(event.Events)
	case owner.ln != nil:
		owner.ln.accept()
	case owner.udp != nil:
		owner.udp.handleReadable()
	}
}

// isReserved reports whether an event is for a listener with reserved descriptors or for one of its connections.
func (l *Loop) isReserved(event *unix.EpollEvent) bool {
	owner := l.slots[event.Fd]
	return owner.generation == event.Pad &&
		(owner.ln != nil && owner.ln.maxReserved > 0 || owner.conn != nil && owner.conn.reservedBy != nil)
}

// release closes a descriptor, which also removes it from epoll.
func (l *Loop) release(fd int) {
	if fd < len(l.slots) {
		l.slots[fd] = slot{}
	}
	unix.Close(fd)
	l.openDescriptors--
}

// Close closes every descriptor of the loop.
func (l *Loop) Close() {
	for fd, owner := range l.slots {
		if owner.conn != nil || owner.ln != nil || owner.udp != nil {
			l.release(fd)
		}
	}
	unix.Close(l.wakeFD)
	unix.Close(l.epollFD)
}

// Timer is a function scheduled for a time. Stop may be called at any time.
type Timer struct {
	when     time.Duration
	callback func()
	index    int // in the heap; -1: fired or stopped
	loop     *Loop
}

// At schedules a call of callback for the first round that begins at the given time or later.
func (l *Loop) At(when time.Duration, callback func()) *Timer {
	t := &Timer{when: when, callback: callback, loop: l}
	heap.Push(&l.timers, t)
	return t
}

// rearm schedules a timer that is firing for a later time.
func (l *Loop) rearm(t *Timer, when time.Duration) {
	t.when = when
	heap.Push(&l.timers, t)
}

// Stop cancels the timer, if it hasn't fired. A nil timer is allowed.
func (t *Timer) Stop() {
	if t != nil && t.index >= 0 {
		heap.Remove(&t.loop.timers, t.index)
	}
}

func (l *Loop) fireTimers() {
	for len(l.timers) > 0 && l.timers[0].when <= l.now {
		heap.Pop(&l.timers).(*Timer).callback()
	}
}

type timerHeap []*Timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].when < h[j].when }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *timerHeap) Push(x any) {
	timer := x.(*Timer)
	timer.index = len(*h)
	*h = append(*h, timer)
}
func (h *timerHeap) Pop() any {
	n := len(*h) - 1
	timer := (*h)[n]
	(*h)[n], *h = nil, (*h)[:n]
	timer.index = -1
	return timer
}

func addressFamily(addr netip.AddrPort) int {
	if addr.Addr().Is4() {
		return unix.AF_INET
	}
	return unix.AF_INET6
}

func socketAddress(addr netip.AddrPort) unix.Sockaddr {
	if addr.Addr().Is4() {
		return &unix.SockaddrInet4{Port: int(addr.Port()), Addr: addr.Addr().As4()}
	}
	return &unix.SockaddrInet6{Port: int(addr.Port()), Addr: addr.Addr().As16()}
}
