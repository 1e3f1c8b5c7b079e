package netloop

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"lilaccove/internal/sys"
)

// epollRetryDelay is the pause before an epoll_ctl that failed for lack of memory is repeated.
const epollRetryDelay = 5 * time.Millisecond

// slot is the owner of a descriptor. The generation distinguishes an event of a closed descriptor from one of
// the descriptor that has its number now.
type slot struct {
	generation int32
	conn       *Conn
	ln         *Listener
	udp        *UDPSocket
	interest   uint32 // events that epoll is to report
	registered bool   // registered with epoll
	retrying   bool   // a retry of epoll_ctl is scheduled
}

// register adds a new descriptor to epoll.
func (l *Loop) register(fd int, interest uint32, s slot) error {
	l.lastGeneration++
	s.generation = l.lastGeneration
	for len(l.slots) <= fd {
		l.slots = append(l.slots, slot{})
	}
	l.slots[fd] = s
	err := l.watch(fd, interest)
	if err != nil {
		l.slots[fd] = slot{}
	}
	return err
}

// watch sets the events that epoll reports for a descriptor. If the kernel lacks memory it is retried: an
// accepted connection must be neither dropped for that nor left without events.
func (l *Loop) watch(fd int, interest uint32) error {
	s := &l.slots[fd]
	s.interest = interest
	op := unix.EPOLL_CTL_ADD
	if s.registered {
		op = unix.EPOLL_CTL_MOD
	}
	event := unix.EpollEvent{Events: interest, Fd: int32(fd), Pad: s.generation}
	switch err := sys.EpollCtl(l.epollFD, op, fd, &event); err {
	case nil:
		s.registered = true
		return nil
	case unix.ENOMEM, unix.ENOSPC:
		l.scheduleWatch(fd)
		return nil
	default:
		return fmt.Errorf("epoll_ctl: %w", err)
	}
}

func (l *Loop) scheduleWatch(fd int) {
	s := &l.slots[fd]
	if s.retrying {
		return
	}
	s.retrying = true
	generation := s.generation
	l.At(l.now+epollRetryDelay, func() {
		if s := &l.slots[fd]; s.generation == generation {
			s.retrying = false
			_ = l.watch(fd, s.interest)
		}
	})
}

// unwatch removes a descriptor from epoll and leaves it open.
func (l *Loop) unwatch(fd int) {
	l.slots[fd] = slot{}
	_ = sys.EpollCtl(l.epollFD, unix.EPOLL_CTL_DEL, fd, nil)
}
