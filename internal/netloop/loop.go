// Package netloop is one epoll loop with non-blocking connections, a heap of
// timers, bounded buffers and a count of descriptors. One goroutine runs the
// loop and owns all that hangs on it; nothing here is locked.
//
// Moments are durations since the Unix epoch. The system's clock is read once,
// at the start; from then on the monotonic clock moves the time, so that a step
// of the system's clock moves no deadline.
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
	perRound   = 256 // events taken from the kernel at once
	readMost   = 4   // reads from one connection in a round: a fast peer holds up nobody
	gatherMost = 64  // times that the kernel is asked again before a timer that is due
)

// Errors that end a connection, besides those of the system.
var (
	ErrPeerClosed   = errors.New("peer closed the connection")
	ErrNoDescriptor = errors.New("no descriptor to spare")
	ErrLinger       = errors.New("peer kept a closed connection open")
)

// Loop is the epoll loop. Use New.
type Loop struct {
	ep, wake  int
	base      time.Time
	epoch     time.Duration
	now       time.Duration
	slots     []slot // by descriptor
	gen       int32
	timers    timers
	open      int
	limit     int
	reserved  int // by listeners with descriptors of their own; not in limit, nor in open
	buffers   pool
	stopped   bool
	lingering int
	onWake    []func()
	late      lateness
	events    [perRound]unix.EpollEvent
}

// New makes a loop that may hold so many descriptors and so many bytes of buffers.
// The descriptors that are open at that time count, too: taken tells how many.
func New(descriptors, taken, buffered int) (*Loop, error) {
	l := &Loop{base: time.Now(), limit: descriptors, open: taken, buffers: pool{most: buffered}}
	l.epoch = sys.WallClock()
	l.tick()
	var err error
	if l.ep, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC); err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	if l.wake, err = unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC); err != nil {
		unix.Close(l.ep)
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	l.open += 2
	if err := l.register(l.wake, unix.EPOLLIN, slot{}); err != nil {
		return nil, err
	}
	return l, nil
}

// Now is the moment at which the round began.
func (l *Loop) Now() time.Duration { return l.now }

func (l *Loop) tick() { l.now = l.Clock() }

// Clock is the moment now; Now is that at which the round began.
func (l *Loop) Clock() time.Duration { return l.epoch + time.Since(l.base) }

// SetDescriptorLimit changes how many descriptors may be open, those reserved by listeners included. What
// is open stays open.
func (l *Loop) SetDescriptorLimit(descriptors int) { l.limit = descriptors - l.reserved }

// SetBufferLimit changes how many bytes of buffers there may be.
func (l *Loop) SetBufferLimit(bytes int) { l.buffers.most = bytes }

// SpareDescriptors is how many more descriptors may be opened.
func (l *Loop) SpareDescriptors() int { return l.limit - l.open }

// BuffersShort tells that buffers run short: a quarter of what they may hold is left.
func (l *Loop) BuffersShort() bool { return l.buffers.held > l.buffers.most*3/4 }

// Lingering is how many connections were finished and not yet closed by their peers.
func (l *Loop) Lingering() int { return l.lingering }

// Stop ends Run after the round.
func (l *Loop) Stop() { l.stopped = true }

// OnWake adds to what Wake leads to, on the loop's goroutine.
func (l *Loop) OnWake(do func()) { l.onWake = append(l.onWake, do) }

// Wake may be called from any goroutine: it is how a signal gets into the loop.
func (l *Loop) Wake() {
	one := [8]byte{1}
	for {
		if _, err := unix.Write(l.wake, one[:]); err != unix.EINTR {
			return
		}
	}
}

// Run gathers all that is ready, then calls step, until Stop. Step may ask for another
// round at once by returning true.
func (l *Loop) Run(step func() (again bool)) error {
	again := true // what was prepared before the first round does not wait for a timer
	for !l.stopped {
		called, due := l.Clock(), l.due()
		n, err := l.poll(l.patience(again))
		l.tick()
		if err != nil {
			return err
		}
		l.late.look(called, l.now, due)
		l.gather(n)
		// Timers judge by what has not come. After a gap more may be ready than one call brings, and a stop may have come
		// between the call and the look at the clock.
		for k := 0; (n == perRound || k == 0 && l.overdue()) && k < gatherMost && l.due() > 0 && l.due() <= l.now; k++ {
			if n, err = l.poll(0); err != nil {
				return err
			}
			l.gather(n)
		}
		l.late.whole = n < perRound
		l.fire()
		again = step()
	}
	return nil
}

// poll waits in epoll. A wait that is cut short is asked again at once what is ready: one that a stop (SIGSTOP) fell into
// ends so when the process goes on, whatever has come meanwhile, and timers must not judge before that is read.
func (l *Loop) poll(patience int) (n int, err error) {
	n, err = sys.EpollWait(l.ep, l.events[:], patience)
	for err == unix.EINTR {
		n, err = sys.EpollWait(l.ep, l.events[:], 0)
	}
	if err != nil {
		return 0, fmt.Errorf("epoll_wait: %w", err)
	}
	return n, nil
}

// gather hands on what epoll told. Who has descriptors of its own goes first: a crowd of others holds it up for a call
// at most.
func (l *Loop) gather(n int) {
	for _, first := range []bool{true, false} {
		for i := range max(n, 0) {
			if e := &l.events[i]; l.reserves(e) == first {
				l.dispatch(e)
			}
		}
	}
}

// due is the moment of the earliest timer; 0: there is none.
func (l *Loop) due() time.Duration {
	if len(l.timers) == 0 {
		return 0
	}
	return l.timers[0].at
}

// overdue tells that a timer should have fired long ago, if there is one: this process was not there.
func (l *Loop) overdue() bool { return l.now-l.due() > tolerable }

// patience is how many milliseconds the next round may wait for events: until the
// next timer, rounded up, so that the loop does not spin through its last millisecond.
func (l *Loop) patience(again bool) int {
	if again || l.stopped {
		return 0
	}
	if len(l.timers) == 0 {
		return -1
	}
	left := l.timers[0].at - l.Clock()
	return int(min(max(0, left+time.Millisecond-1)/time.Millisecond, 60_000))
}

func (l *Loop) dispatch(e *unix.EpollEvent) {
	if int(e.Fd) == l.wake {
		var b [8]byte
		_, _ = unix.Read(l.wake, b[:])
		for _, do := range l.onWake {
			do()
		}
		return
	}
	s := l.slots[e.Fd]
	switch {
	case s.gen != e.Pad: // closed earlier in this round
	case s.conn != nil:
		s.conn.ready(e.Events)
	case s.ln != nil:
		s.ln.accept()
	case s.udp != nil:
		s.udp.ready()
	}
}

func (l *Loop) reserves(e *unix.EpollEvent) bool {
	s := l.slots[e.Fd]
	return s.gen == e.Pad && (s.ln != nil && s.ln.reserve > 0 || s.conn != nil && s.conn.of != nil)
}

// release closes a descriptor; that takes it out of epoll as well.
func (l *Loop) release(fd int) {
	if fd < len(l.slots) {
		l.slots[fd] = slot{}
	}
	unix.Close(fd)
	l.open--
}

// Close closes every descriptor of the loop.
func (l *Loop) Close() {
	for fd, s := range l.slots {
		if s.conn != nil || s.ln != nil || s.udp != nil {
			l.release(fd)
		}
	}
	unix.Close(l.wake)
	unix.Close(l.ep)
}

// Timer is a moment at which something is to be done. Stop may be called at any time.
type Timer struct {
	at    time.Duration
	do    func()
	index int // in the heap; -1: fired or stopped
	loop  *Loop
}

// At has do called in the first round that begins at or after the moment.
func (l *Loop) At(at time.Duration, do func()) *Timer {
	t := &Timer{at: at, do: do, loop: l}
	heap.Push(&l.timers, t)
	return t
}

// again has a timer that is firing fire at a later moment.
func (l *Loop) again(t *Timer, at time.Duration) {
	t.at = at
	heap.Push(&l.timers, t)
}

// Stop keeps a timer from firing; a nil timer is none.
func (t *Timer) Stop() {
	if t != nil && t.index >= 0 {
		heap.Remove(&t.loop.timers, t.index)
	}
}

func (l *Loop) fire() {
	for len(l.timers) > 0 && l.timers[0].at <= l.now {
		heap.Pop(&l.timers).(*Timer).do()
	}
}

type timers []*Timer

func (h timers) Len() int           { return len(h) }
func (h timers) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timers) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *timers) Push(x any) {
	t := x.(*Timer)
	t.index = len(*h)
	*h = append(*h, t)
}
func (h *timers) Pop() any {
	n := len(*h) - 1
	t := (*h)[n]
	(*h)[n], *h = nil, (*h)[:n]
	t.index = -1
	return t
}

func family(a netip.AddrPort) int {
	if a.Addr().Is4() {
		return unix.AF_INET
	}
	return unix.AF_INET6
}

func sockaddr(a netip.AddrPort) unix.Sockaddr {
	if a.Addr().Is4() {
		return &unix.SockaddrInet4{Port: int(a.Port()), Addr: a.Addr().As4()}
	}
	return &unix.SockaddrInet6{Port: int(a.Port()), Addr: a.Addr().As16()}
}
