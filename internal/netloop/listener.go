package netloop

import (
	"fmt"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"lilaccove/internal/sys"
)

const (
	acceptMost = 64                    // connections taken from one listener in a round
	backlog    = 4096                  // connections that the system keeps in a queue
	restTime   = 20 * time.Millisecond // before a call is made again that failed for want of something
)

// Listener accepts connections.
type Listener struct {
	loop    *Loop
	fd      int
	accept  func() queue
	shared  bool           // other processes hold it, too
	reserve int            // descriptors for its connections alone; 0: they come from the loop's
	held    int            // of reserve
	room    func() bool    // frees one of them
	Addr    netip.AddrPort // where it listens, the port found where 0 was asked for
}

// Listen accepts connections at addr; each is handed to take, which must set its
// handler, or may close it.
func (l *Loop) Listen(addr netip.AddrPort, take func(*Conn)) (*Listener, error) {
	fd, err := socketAtStart(family(addr), unix.SOCK_STREAM)
	if err != nil {
		return nil, fmt.Errorf("socket: %w", err)
	}
	// A gateway that starts again finds connections of its predecessor in TIME_WAIT.
	err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err == nil {
		err = unix.Bind(fd, sockaddr(addr))
	}
	if err == nil {
		err = unix.Listen(fd, backlog)
	}
	var bound unix.Sockaddr
	if err == nil {
		bound, err = unix.Getsockname(fd)
	}
	ln := &Listener{loop: l, fd: fd, Addr: sys.AddrPort(bound)}
	ln.accept = func() queue { return ln.take(take) }
	if err == nil {
		err = ln.Start()
	}
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("listen at %s: %w", addr, err)
	}
	l.open++
	return ln, nil
}

// socketAtStart opens a socket, and waits for one as sys.AtStart does.
func socketAtStart(family, kind int) (fd int, err error) {
	err = sys.RetryAtStart(func() (err error) {
		fd, err = sys.Socket(family, kind|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
		return err
	})
	return fd, err
}

// ListenReserved is Listen with so many descriptors set aside for the connections, which are read
// before all others. When all are in use room must free one, or the newcomer waits.
func (l *Loop) ListenReserved(addr netip.AddrPort, most int, take func(*Conn), room func() bool) (*Listener, error) {
	ln, err := l.Listen(addr, take)
	if err == nil {
		ln.reserve, ln.room = most, room
		l.reserved += most
		l.limit -= most
	}
	return ln, err
}

// InheritListener takes over a listening socket that the process was started with, which other processes
// may hold as well. It accepts nothing before Start.
func (l *Loop) InheritListener(fd int, addr netip.AddrPort, take func(*Conn)) (*Listener, error) {
	ln := &Listener{loop: l, fd: fd, shared: true}
	ln.accept = func() queue { return ln.take(take) }
	listens, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN)
	var bound unix.Sockaddr
	if err == nil {
		bound, err = unix.Getsockname(fd)
	}
	ln.Addr = sys.AddrPort(bound)
	switch {
	case err != nil:
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	case listens == 0:
		return nil, fmt.Errorf("descriptor %d does not listen", fd)
	case ln.Addr.Addr() != addr.Addr() || addr.Port() != 0 && ln.Addr.Port() != addr.Port():
		return nil, fmt.Errorf("descriptor %d listens at %s, not at %s", fd, ln.Addr, addr)
	}
	// The flag is shared with all who hold the socket: it is set, and never taken back.
	if err := unix.SetNonblock(fd, true); err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	unix.CloseOnExec(fd)
	return ln, nil
}

// Start begins to accept.
func (ln *Listener) Start() error { return ln.loop.register(ln.fd, unix.EPOLLIN, slot{ln: ln}) }

// Pause stops accepting and keeps the socket, so that Start can begin again.
func (ln *Listener) Pause() { ln.loop.unwatch(ln.fd) }

// queue is what is known of the connections that wait in a listener's queue.
type queue int

const (
	queueMore  queue = iota // there may be more
	queueEmpty              // all were taken
	queueFails              // they cannot be taken just now
)

// take accepts what waits in the queue, so many in a round.
func (ln *Listener) take(take func(*Conn)) queue {
	for range acceptMost {
		if ln.reserve == 0 && ln.loop.SpareDescriptors() <= 0 || ln.reserve > 0 && ln.held >= ln.reserve && !ln.room() {
			ln.rest()
			return queueFails
		}
		fd, err := sys.Accept(ln.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch err {
		case nil:
			ln.hand(fd, take)
		case unix.EAGAIN:
			return queueEmpty
		case unix.EINTR, unix.ECONNABORTED:
		case unix.EPROTO, unix.ENETDOWN, unix.ENETUNREACH, unix.EHOSTDOWN, unix.EHOSTUNREACH, unix.ENONET, unix.ENOPROTOOPT, unix.EOPNOTSUPP:
			// accept tells what has become of one connection; others may wait behind it
		default:
			ln.rest()
			return queueFails
		}
	}
	return queueMore
}

// hand gives a connection that was accepted to whom it is for.
func (ln *Listener) hand(fd int, take func(*Conn)) {
	ln.loop.open++
	c, err := ln.loop.adopt(fd, unix.EPOLLIN|unix.EPOLLRDHUP)
	if err != nil {
		return
	}
	c.up, c.accepted = true, true
	if ln.reserve > 0 {
		c.of = ln
		ln.held++
		ln.loop.open--
	}
	take(c)
}

// rest leaves new connections in the queue for a moment: epoll would go on reporting
// them, and the loop would spin, while there is no descriptor for them.
func (ln *Listener) rest() {
	ln.watch(0)
	ln.loop.At(ln.loop.now+restTime, func() { ln.watch(unix.EPOLLIN) })
}

// watch sets what epoll tells of the queue; one that is paused or closed is left alone.
func (ln *Listener) watch(interest uint32) {
	if ln.fd >= 0 && ln.loop.slots[ln.fd].ln == ln {
		_ = ln.loop.watch(ln.fd, interest)
	}
}

// Drain takes what is still in the queue: the machine has accepted those connections, and requests may have been
// written to them. It tells whether that was all; if not, it is to be called again. A shared queue is left to those who
// share it.
func (ln *Listener) Drain() (empty bool) {
	if ln.shared || ln.fd < 0 {
		return true
	}
	for range backlog / acceptMost {
		switch ln.accept() {
		case queueEmpty:
			return true
		case queueFails:
			return false
		}
	}
	return false
}

// Closed tells whether it listens no more.
func (ln *Listener) Closed() bool { return ln.fd < 0 }

// Close stops listening. What Drain has not taken is reset, unless others share the queue.
func (ln *Listener) Close() {
	if ln.fd < 0 {
		return
	}
	ln.loop.release(ln.fd)
	ln.fd = -1
	ln.loop.reserved -= ln.reserve
	ln.loop.limit += ln.reserve
}
