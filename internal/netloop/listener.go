package netloop

import (
	"fmt"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"lilaccove/internal/sys"
)

const (
	maxAcceptsPerCall = 64                    // connections accepted from one listener per round
	acceptBacklog     = 4096                  // length of the kernel's queue of connections to accept
	acceptRetryDelay  = 20 * time.Millisecond // pause after accept failed for a shortage
)

// Listener accepts connections.
type Listener struct {
	loop         *Loop
	fd           int
	accept       func() queueState
	shared       bool           // inherited, so other processes may accept from it as well
	maxReserved  int            // descriptors reserved for its connections; 0: they count against the loop's limit
	usedReserved int            // of maxReserved
	evict        func() bool    // closes one of its connections to make a descriptor available
	Addr         netip.AddrPort // local address, with the actual port if port 0 was requested
}

// Listen accepts connections at addr and passes each to onAccept, which must set its handler or close it.
func (l *Loop) Listen(addr netip.AddrPort, onAccept func(*Conn)) (*Listener, error) {
	fd, err := openSocketAtStart(addressFamily(addr), unix.SOCK_STREAM)
	if err != nil {
		return nil, fmt.Errorf("socket: %w", err)
	}
	// After a restart connections of the predecessor may still be in TIME_WAIT.
	err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err == nil {
		err = unix.Bind(fd, socketAddress(addr))
	}
	if err == nil {
		err = unix.Listen(fd, acceptBacklog)
	}
	var bound unix.Sockaddr
	if err == nil {
		bound, err = unix.Getsockname(fd)
	}
	ln := &Listener{loop: l, fd: fd, Addr: sys.AddrPort(bound)}
	ln.accept = func() queueState { return ln.acceptQueued(onAccept) }
	if err == nil {
		err = ln.Start()
	}
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("listen at %s: %w", addr, err)
	}
	l.openDescriptors++
	return ln, nil
}

// openSocketAtStart opens a non-blocking socket, with retries during a shortage as [sys.RetryAtStart] makes
// them.
func openSocketAtStart(family, kind int) (fd int, err error) {
	return openAtStart(func() (int, error) { return sys.Socket(family, kind|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0) })
}

// openAtStart opens a descriptor, with retries during a shortage as [sys.RetryAtStart] makes them.
func openAtStart(open func() (int, error)) (fd int, err error) {
	err = sys.RetryAtStart(func() (err error) {
		fd, err = open()
		return err
	})
	return fd, err
}

// ListenReserved is like Listen, but reserves descriptors for the listener's connections, which are served
// before all others in a round. When all are in use evict must close one of these connections, otherwise a
// new one waits.
func (l *Loop) ListenReserved(addr netip.AddrPort, maxReserved int, onAccept func(*Conn), evict func() bool) (*Listener, error) {
	ln, err := l.Listen(addr, onAccept)
	if err == nil {
		ln.maxReserved, ln.evict = maxReserved, evict
		l.reservedDescriptors += maxReserved
		l.maxDescriptors -= maxReserved
	}
	return ln, err
}

// InheritListener takes over a listening socket that was passed to this process at its start and that other
// processes may hold as well. It accepts nothing before Start.
func (l *Loop) InheritListener(fd int, addr netip.AddrPort, onAccept func(*Conn)) (*Listener, error) {
	ln := &Listener{loop: l, fd: fd, shared: true}
	ln.accept = func() queueState { return ln.acceptQueued(onAccept) }
	listening, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN)
	var bound unix.Sockaddr
	if err == nil {
		bound, err = unix.Getsockname(fd)
	}
	ln.Addr = sys.AddrPort(bound)
	switch {
	case err != nil:
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	case listening == 0:
		return nil, fmt.Errorf("descriptor %d does not listen", fd)
	case ln.Addr.Addr() != addr.Addr() || addr.Port() != 0 && ln.Addr.Port() != addr.Port():
		return nil, fmt.Errorf("descriptor %d listens at %s, not at %s", fd, ln.Addr, addr)
	}
	// The flag is shared with all processes that hold the socket, so it is set and never cleared.
	if err := unix.SetNonblock(fd, true); err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	unix.CloseOnExec(fd)
	return ln, nil
}

// Start begins to accept.
func (ln *Listener) Start() error { return ln.loop.register(ln.fd, unix.EPOLLIN, slot{ln: ln}) }

// Pause stops accepting but keeps the socket open, so that Start can resume.
func (ln *Listener) Pause() { ln.loop.unwatch(ln.fd) }

// queueState is what is known of the connections in a listener's accept queue.
type queueState int

const (
	queueMore    queueState = iota // there may be more
	queueEmpty                     // all were accepted
	queueBlocked                   // accepting fails for now
)

// acceptQueued accepts connections from the queue, a bounded number per call.
func (ln *Listener) acceptQueued(onAccept func(*Conn)) queueState {
	for range maxAcceptsPerCall {
		if ln.maxReserved == 0 && ln.loop.SpareDescriptors() <= 0 || ln.maxReserved > 0 && ln.usedReserved >= ln.maxReserved && !ln.evict() {
			ln.suspendAccept()
			return queueBlocked
		}
		if ln.shared { // another process clears the flag when it passes the socket on, as Go programs do
			_ = unix.SetNonblock(ln.fd, true)
		}
		fd, err := sys.Accept(ln.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch err {
		case nil:
			ln.addAccepted(fd, onAccept)
		case unix.EAGAIN:
			return queueEmpty
		case unix.EINTR, unix.ECONNABORTED:
		case unix.EPROTO, unix.ENETDOWN, unix.ENETUNREACH, unix.EHOSTDOWN, unix.EHOSTUNREACH, unix.ENONET, unix.ENOPROTOOPT, unix.EOPNOTSUPP:
			// the error concerns one connection only; others may be queued after it
		default:
			ln.suspendAccept()
			return queueBlocked
		}
	}
	return queueMore
}

// addAccepted registers an accepted connection and passes it to onAccept.
func (ln *Listener) addAccepted(fd int, onAccept func(*Conn)) {
	ln.loop.openDescriptors++
	c, err := ln.loop.addConn(fd, unix.EPOLLIN|unix.EPOLLRDHUP)
	if err != nil {
		return
	}
	c.connected, c.accepted = true, true
	if ln.maxReserved > 0 {
		c.reservedBy = ln
		ln.usedReserved++
		ln.loop.openDescriptors--
	}
	onAccept(c)
}

// suspendAccept leaves new connections in the queue for a moment: without a descriptor for them epoll would
// report them again and again, and the loop would spin.
func (ln *Listener) suspendAccept() {
	ln.setInterest(0)
	ln.loop.At(ln.loop.now+acceptRetryDelay, func() { ln.setInterest(unix.EPOLLIN) })
}

// setInterest sets the events that epoll reports for the listener, unless it is paused or closed.
func (ln *Listener) setInterest(interest uint32) {
	if ln.fd >= 0 && ln.loop.slots[ln.fd].ln == ln {
		_ = ln.loop.watch(ln.fd, interest)
	}
}

// Drain accepts what is still in the queue: the kernel has completed those connections, and their clients may
// have sent requests already. It reports whether the queue is empty; if not, call it again. A shared queue is
// left to the processes that share it.
func (ln *Listener) Drain() (empty bool) {
	if ln.shared || ln.fd < 0 {
		return true
	}
	for range acceptBacklog / maxAcceptsPerCall {
		switch ln.accept() {
		case queueEmpty:
			return true
		case queueBlocked:
			return false
		}
	}
	return false
}

// Closed reports whether the listener is closed.
func (ln *Listener) Closed() bool { return ln.fd < 0 }

// Close stops listening. Connections that Drain hasn't accepted are reset, unless other processes share the
// queue.
func (ln *Listener) Close() {
	if ln.fd < 0 {
		return
	}
	ln.loop.release(ln.fd)
	ln.fd = -1
	ln.loop.reservedDescriptors -= ln.maxReserved
	ln.loop.maxDescriptors += ln.maxReserved
}
