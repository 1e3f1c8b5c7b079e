package netloop

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"lilaccove/internal/sys"
)

// noBufferRetryDelay is the pause before a connection for which no buffer was available is read again.
const noBufferRetryDelay = 5 * time.Millisecond

// Handler receives the events of a connection. No method is called after Ended.
type Handler interface {
	Connected()      // an outgoing connection is established
	Received()       // Input has new data
	Ended(err error) // the peer or the network closed the connection; not called after Close
}

// Conn is a non-blocking TCP connection.
type Conn struct {
	loop           *Loop
	fd             int // -1: closed
	generation     int32
	handler        Handler
	interest       uint32
	connected      bool
	in             []byte // bytes read; Input is what follows the first consumed ones
	consumed       int
	bytesRead      int64
	maxInput       int       // maximum length of Input; reading stops there until some is consumed
	out            []byte    // accepted by Write, not yet by the kernel
	sent           int       // bytes of out that the kernel has accepted
	unsentAtClose  int       // bytes that were pending when the connection was closed
	linger         *Timer    // set by Finish: closes the connection if the peer doesn't in time
	inReceived     bool      // the handler's Received is running: the input buffer must not be freed
	reservedBy     *Listener // whose reserved descriptors include fd; nil: fd counts against the loop's limit
	onFlush        func()    // see OnFlush
	paused         bool      // reading is stopped by Pause
	inputFull      bool      // reading is stopped by SetInputFull
	awaitingBuffer bool      // reading is stopped until a buffer may be available
	accepted       bool      // incoming, from a Listener
	minBuffer      int       // minimum size of the input buffer, in bytes
	hold           inputHold // see SentSince
}

// IsResourceShortage reports whether an error of Dial means a temporary shortage of resources on this
// machine, and nothing about the peer.
func IsResourceShortage(err error) bool {
	return errors.Is(err, ErrNoDescriptor) || sys.IsTransient(err)
}

// Dial starts to connect. It returns errors that are known at once; later ones are reported by Handler.Ended.
func (l *Loop) Dial(addr netip.AddrPort, handler Handler, maxInput int) (*Conn, error) {
	if l.SpareDescriptors() <= 0 {
		return nil, ErrNoDescriptor
	}
	fd, err := sys.Socket(addressFamily(addr), unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("socket: %w", err)
	}
	l.openDescriptors++
	err = sys.Connect(fd, socketAddress(addr))
	if err != nil && err != unix.EINPROGRESS && err != unix.EINTR {
		unix.Close(fd)
		l.openDescriptors--
		return nil, fmt.Errorf("connect: %w", err)
	}
	c, err := l.addConn(fd, unix.EPOLLIN|unix.EPOLLOUT|unix.EPOLLRDHUP)
	if err != nil {
		return nil, err
	}
	c.SetHandler(handler, maxInput)
	return c, nil
}

func (l *Loop) addConn(fd int, interest uint32) (*Conn, error) {
	// Messages are small and each is written whole: Nagle's algorithm would only delay them.
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	// Keepalive detects a peer that vanished while idle, so that its descriptor is freed in the end.
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1)
	c := &Conn{loop: l, fd: fd, interest: interest}
	if err := l.register(fd, interest, slot{conn: c}); err != nil {
		unix.Close(fd)
		l.openDescriptors--
		return nil, err
	}
	return c, nil
}

// SetHandler sets the handler and the maximum length of Input.
func (c *Conn) SetHandler(handler Handler, maxInput int) { c.handler, c.maxInput = handler, maxInput }

// Closed reports whether Close or Finish was called or the connection has ended.
func (c *Conn) Closed() bool { return c.fd < 0 || c.linger != nil }

// HasDescriptor reports whether the connection still occupies a descriptor, as it does after Finish.
func (c *Conn) HasDescriptor() bool { return c.fd >= 0 }

// BufferBytes returns the capacity of the connection's buffers.
func (c *Conn) BufferBytes() int { return cap(c.in) + cap(c.out) }

// Input returns the bytes that were read and not consumed. The slice is valid until the handler returns.
func (c *Conn) Input() []byte { return c.in[c.consumed:] }

// Consume drops the first n bytes of the input.
func (c *Conn) Consume(n int) {
	c.consumed += n
	if c.consumed >= len(c.in) {
		c.in, c.consumed = c.in[:0], 0
		if !c.inReceived {
			c.loop.buffers.put(c.in)
			c.in = nil
		}
	}
	c.updateInterest()
}

// Remove drops n bytes of the input that follow the first offset ones.
func (c *Conn) Remove(offset, n int) {
	if offset == 0 {
		c.Consume(n)
		return
	}
	input := c.Input()
	c.in = c.in[:c.consumed+offset+copy(input[offset:], input[offset+n:])]
}

// Take consumes the first n bytes and passes their ownership to the caller, who returns them with FreeBuffer.
// If they are all that the buffer holds, the buffer itself is returned, otherwise a copy.
func (c *Conn) Take(n int) []byte {
	if c.consumed == 0 && n == len(c.in) {
		buffer := c.in
		c.in = nil
		c.updateInterest()
		return buffer
	}
	b := c.loop.buffers.appendTo(nil, c.in[c.consumed:c.consumed+n])
	c.Consume(n)
	return b
}

// AppendOutput appends to a buffer of output that waits to be written, which may be nil, and returns it. FreeBuffer frees it.
func (l *Loop) AppendOutput(buffer []byte, parts ...[]byte) []byte {
	for _, part := range parts {
		buffer = l.buffers.appendOutput(buffer, part)
	}
	return buffer
}

// FreeBuffer returns a buffer obtained from Take or AppendOutput to the pool. It may be nil.
func (l *Loop) FreeBuffer(b []byte) { l.buffers.put(b) }

// BytesRead returns how many bytes have been read.
func (c *Conn) BytesRead() int64 { return c.bytesRead }

// BytesUnread returns how many bytes have arrived that are not read yet.
func (c *Conn) BytesUnread() int64 {
	if c.fd < 0 {
		return 0
	}
	n, err := unix.IoctlGetInt(c.fd, unix.SIOCINQ)
	if err != nil {
		return 0 // the connection has failed, which is reported in the next round
	}
	return int64(n)
}

// Pending returns how many written bytes the kernel has not accepted; of a closed connection, how many it had
// not accepted by then.
func (c *Conn) Pending() int { return len(c.out) - c.sent + c.unsentAtClose }

// Unacknowledged returns how many written bytes the peer has not acknowledged: Pending, and what the kernel still holds. The kernel
// accepts more only when a large part of its buffer is free, so that a slow peer shows here long before it shows in Pending.
func (c *Conn) Unacknowledged() int {
	inKernel := 0
	if c.fd >= 0 {
		if n, err := unix.IoctlGetInt(c.fd, unix.SIOCOUTQ); err == nil {
			inKernel = n
		}
	}
	return c.Pending() + inKernel
}

// OnFlush sets a function that is called whenever the kernel has accepted the last of the bytes that Write
// had queued.
func (c *Conn) OnFlush(callback func()) { c.onFlush = callback }

// Pause stops reading: further data stays in the kernel and with the peer. Input may still hold some.
func (c *Conn) Pause() {
	c.paused = true
	c.hold.begin(c.loop.now)
	c.updateInterest()
}

// waitForBuffer stops reading for a moment because no buffer is available; the data stays in the kernel. The
// connection isn't closed for that, since a request on it may still be waiting for its answer.
func (c *Conn) waitForBuffer() {
	if c.awaitingBuffer {
		return
	}
	c.awaitingBuffer = true
	c.hold.begin(c.loop.now)
	c.loop.At(c.loop.now+noBufferRetryDelay, func() {
		c.awaitingBuffer = false
		c.updateInterest()
	})
}

// AwaitingBuffer reports whether input is not read because no buffer is available.
func (c *Conn) AwaitingBuffer() bool { return c.awaitingBuffer }

// Resume starts reading again after Pause.
func (c *Conn) Resume() {
	c.paused = false
	c.updateInterest()
}

// SetInputFull sets whether Input counts as full, whatever its length: the handler will not take what follows yet. Unlike after Pause, the end of
// the connection is still reported, before the unread data that precedes it.
func (c *Conn) SetInputFull(full bool) {
	c.inputFull = full
	c.updateInterest()
}

// isInputFull reports whether no more is read until some of Input is consumed, or SetInputFull allows it.
func (c *Conn) isInputFull() bool { return c.inputFull || len(c.Input()) >= c.maxInput }

// SetMinBuffer sets the minimum size of the input buffer, from the next read on.
func (c *Conn) SetMinBuffer(bytes int) { c.minBuffer = bytes }

// Write sends the parts in order, after all that was written before, with one system call if the kernel
// accepts them, and queues a copy of what it doesn't accept. An error is reported by Handler.Ended in a later
// round, so that the caller isn't called back from within its own call.
func (c *Conn) Write(parts ...[]byte) {
	if c.Closed() {
		return
	}
	total, written := 0, 0
	for _, part := range parts {
		total += len(part)
	}
	if c.connected && c.Pending() == 0 && total > 0 {
		var err error
		for {
			if written, err = sys.Writev(c.fd, parts); err != unix.EINTR {
				break
			}
		}
		written = max(written, 0) // after an error all is queued; epoll reports the failure
	}
	if written < total {
		c.queueOutput(parts, written)
	}
	c.updateInterest()
}

func (c *Conn) queueOutput(parts [][]byte, skip int) {
	if c.Pending() == 0 {
		c.out, c.sent = c.out[:0], 0
	}
	for _, part := range parts {
		skipped := min(skip, len(part))
		skip -= skipped
		if len(part) > skipped {
			c.out = c.loop.buffers.appendOutput(c.out, part[skipped:])
		}
	}
}

// handleEvents handles the events that epoll reported for the connection.
func (c *Conn) handleEvents(events uint32) {
	if !c.connected {
		if events&(unix.EPOLLOUT|unix.EPOLLERR|unix.EPOLLHUP) == 0 {
			return
		}
		if err := c.socketError(); err != nil {
			c.closeWithError(err)
			return
		}
		c.connected = true
		c.handler.Connected()
		if c.fd < 0 {
			return
		}
	}
	if events&unix.EPOLLOUT != 0 && c.Pending() > 0 {
		if err := c.flush(); err != nil {
			// Data that the peer sent before it closed is still to be read.
			_ = c.read(true)
			c.closeWithError(err)
			return
		}
	}
	if c.fd >= 0 && events&(unix.EPOLLIN|unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0 {
		if err := c.read(events&(unix.EPOLLRDHUP|unix.EPOLLHUP) != 0); err != nil {
			c.closeWithError(err)
			return
		}
	}
	if c.fd >= 0 {
		if c.awaitingBuffer {
			events &^= unix.EPOLLRDHUP // data sent before the peer closed is still to be read
		}
		if c.interest&unix.EPOLLIN == 0 && events&(unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0 {
			c.closeWithError(ErrPeerClosed) // reading has stopped because the input is full
			return
		}
		c.updateInterest()
	}
}

// NoInputPending reports whether there is nothing to read, in Input or in the kernel, not even an end of
// file: then nothing that the peer has sent can be an answer to what is written next.
func (c *Conn) NoInputPending() bool {
	if c.Closed() || len(c.Input()) > 0 {
		return false
	}
	var one [1]byte
	_, _, err := unix.Recvfrom(c.fd, one[:], unix.MSG_PEEK)
	return err == unix.EAGAIN
}

// Poll reads at once what has arrived, as if epoll had reported it. While the handler's Received runs it does nothing.
func (c *Conn) Poll() {
	if !c.Closed() && !c.inReceived && c.connected && c.interest&unix.EPOLLIN != 0 {
		c.handleEvents(unix.EPOLLIN)
	}
}

func (c *Conn) socketError() error {
	n, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && n != 0 {
		err = unix.Errno(n)
	}
	return err
}

func (c *Conn) flush() error {
	for c.Pending() > 0 {
		n, err := sys.Write(c.fd, c.out[c.sent:])
		switch err {
		case nil:
			c.sent += n
		case unix.EINTR:
		case unix.EAGAIN:
			return nil
		default:
			return err
		}
	}
	c.loop.buffers.put(c.out)
	c.out, c.sent = nil, 0
	if c.linger != nil {
		_ = unix.Shutdown(c.fd, unix.SHUT_WR)
	} else if c.onFlush != nil {
		c.onFlush()
	}
	return nil
}

// read reads what has arrived and passes it to the handler before it reports an end of file that follows. If
// the peer has closed its side, everything is read at once, so that the handler doesn't act on data for a
// round without knowing of the end.
func (c *Conn) read(peerClosed bool) error {
	for reads := 0; reads < maxReadsPerRound || peerClosed; reads++ {
		if c.linger != nil {
			if more, err := c.discard(); err != nil || !more {
				return err
			}
			continue
		}
		space := c.readSpace()
		if space == nil {
			if c.isInputFull() {
				return nil
			}
			c.waitForBuffer()
			return nil
		}
		n, err := sys.Read(c.fd, space)
		switch {
		case err == unix.EINTR:
			continue
		case err == unix.EAGAIN:
			c.hold.drained(c.loop.now)
			c.Consume(0)
			return nil
		case err != nil:
			return err
		case n == 0:
			return ErrPeerClosed
		}
		c.hold.beforeInput(c.loop.now - c.loop.MaxEventAge())
		if n < len(space) {
			c.hold.drained(c.loop.now)
		}
		c.in = c.in[:len(c.in)+n]
		c.bytesRead += int64(n)
		c.inReceived = true
		c.handler.Received()
		c.inReceived = false
		if c.fd < 0 {
			return nil
		}
		if c.Consume(0); c.paused || c.inputFull && c.linger == nil {
			return nil
		}
		if n < len(space) && !peerClosed {
			return nil // level-triggered: an end of file that follows is reported in the next round
		}
	}
	return nil
}

// discardBuffer is never written to: with MSG_TRUNC the kernel drops the data, so that a peer that goes on
// sending after its connection was finished costs neither memory nor copies.
var discardBuffer [256 << 10]byte

func (c *Conn) discard() (more bool, err error) {
	n, _, err := unix.Recvfrom(c.fd, discardBuffer[:], unix.MSG_TRUNC)
	switch {
	case err == unix.EAGAIN:
		return false, nil
	case err == unix.EINTR:
		return true, nil
	case err != nil:
		return false, err
	case n == 0:
		return false, ErrPeerClosed
	}
	return true, nil
}

// readSpace returns the space for the next read, or nil if the input is full or memory is short: a read of
// zero bytes would look like an end of file.
func (c *Conn) readSpace() []byte {
	if cap(c.in) < c.minBuffer && len(c.Input()) == 0 {
		c.loop.buffers.put(c.in)
		c.in, c.consumed = nil, 0
	}
	if c.in != nil && cap(c.in) < c.minBuffer && !c.accepted {
		larger := c.loop.buffers.get(c.minBuffer)
		if larger == nil {
			return nil
		}
		larger = append(larger, c.Input()...)
		c.loop.buffers.put(c.in)
		c.in, c.consumed = larger, 0
	}
	if c.in == nil {
		if c.accepted && c.loop.buffers.nearlyFull(c.minBuffer) {
			return nil
		}
		if c.in = c.loop.buffers.get(max(1, c.minBuffer)); c.in == nil {
			return nil
		}
	}
	if c.consumed > 0 {
		c.in = c.in[:copy(c.in, c.in[c.consumed:])]
		c.consumed = 0
	}
	if len(c.in) == cap(c.in) && len(c.in) < c.maxInput && !(c.accepted && c.loop.buffers.nearlyFull(cap(c.in)+1)) {
		c.in = c.loop.buffers.grow(c.in)
	}
	if end := min(cap(c.in), c.maxInput); end > len(c.in) {
		return c.in[len(c.in):end]
	}
	return nil
}

// updateInterest sets the events that epoll reports according to the state of the connection.
func (c *Conn) updateInterest() {
	if c.fd < 0 || !c.connected {
		return
	}
	interest := uint32(unix.EPOLLRDHUP)
	switch {
	case (c.paused || c.awaitingBuffer) && c.linger == nil:
		interest = 0 // the peer's end of file may follow a lot of unread data
	case !c.isInputFull() || c.linger != nil:
		interest |= unix.EPOLLIN
	}
	if c.Pending() > 0 {
		interest |= unix.EPOLLOUT
	}
	if interest == c.interest {
		return
	}
	c.interest = interest
	_ = c.loop.watch(c.fd, interest)
}

// Close closes the connection at once; pending output is lost.
func (c *Conn) Close() {
	if c.fd < 0 {
		return
	}
	if c.linger != nil {
		c.linger.Stop()
		c.loop.lingering--
	}
	c.loop.release(c.fd)
	if c.reservedBy != nil {
		c.reservedBy.usedReserved--
		c.loop.openDescriptors++
	}
	c.fd, c.unsentAtClose = -1, c.Pending()
	c.loop.buffers.put(c.in)
	c.loop.buffers.put(c.out)
	c.in, c.out, c.consumed, c.sent = nil, nil, 0, 0
}

// Finish closes the connection once the peer has received what was written: a plain close with unread input
// would send a reset and could destroy the last answer. The handler is not called any more. If the peer
// hasn't closed its side by the deadline, the connection is closed.
func (c *Conn) Finish(deadline time.Duration) {
	if c.Closed() {
		return
	}
	c.handler = discardHandler{}
	c.loop.lingering++
	c.linger = c.loop.At(deadline, c.Close)
	c.loop.buffers.put(c.in)
	c.in, c.consumed = nil, 0
	if c.Pending() == 0 {
		_ = unix.Shutdown(c.fd, unix.SHUT_WR)
	}
	c.updateInterest()
}

// CloseWrite closes the sending side: the peer finds an end of file after what was written. Input is still
// read.
func (c *Conn) CloseWrite() {
	if c.fd >= 0 {
		_ = unix.Shutdown(c.fd, unix.SHUT_WR)
	}
}

type discardHandler struct{}

func (discardHandler) Connected()  {}
func (discardHandler) Received()   {}
func (discardHandler) Ended(error) {}

func (c *Conn) closeWithError(err error) {
	if c.fd < 0 {
		return
	}
	handler := c.handler
	c.Close()
	handler.Ended(err)
}
