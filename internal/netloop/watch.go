package netloop

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"lilaccove/internal/sys"
)

// watchRetry is the pause before epoll is asked again for what it had no memory for.
const watchRetry = 5 * time.Millisecond

// slot is what a descriptor stands for. The generation tells an event of a closed
// descriptor from one of the descriptor that has its number now.
type slot struct {
	gen      int32
	conn     *Conn
	ln       *Listener
	udp      *UDPSocket
	interest uint32 // what epoll is to tell of it
	added    bool   // epoll knows it
	retrying bool   // epoll is going to be asked again
}

// register has epoll watch a descriptor that is new.
func (l *Loop) register(fd int, interest uint32, s slot) error {
	l.gen++
	s.gen = l.gen
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

// watch sets what epoll tells of a descriptor. Where the kernel has no memory for that just now it is asked again: a
// connection that was accepted must not be dropped for it, nor stay deaf.
func (l *Loop) watch(fd int, interest uint32) error {
	s := &l.slots[fd]
	s.interest = interest
	op := unix.EPOLL_CTL_ADD
	if s.added {
		op = unix.EPOLL_CTL_MOD
	}
	event := unix.EpollEvent{Events: interest, Fd: int32(fd), Pad: s.gen}
	switch err := sys.EpollCtl(l.ep, op, fd, &event); err {
	case nil:
		s.added = true
		return nil
	case unix.ENOMEM, unix.ENOSPC:
		l.watchLater(fd)
		return nil
	default:
		return fmt.Errorf("epoll_ctl: %w", err)
	}
}

func (l *Loop) watchLater(fd int) {
	s := &l.slots[fd]
	if s.retrying {
		return
	}
	s.retrying = true
	gen := s.gen
	l.At(l.now+watchRetry, func() {
		if s := &l.slots[fd]; s.gen == gen {
			s.retrying = false
			_ = l.watch(fd, s.interest)
		}
	})
}

// unwatch has epoll tell nothing of a descriptor any more, which stays open.
func (l *Loop) unwatch(fd int) {
	l.slots[fd] = slot{}
	_ = sys.EpollCtl(l.ep, unix.EPOLL_CTL_DEL, fd, nil)
}
