package netloop

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"lilaccove/internal/sys"
)

// starveTime is the pause before a connection is read again for which there was no buffer.
const starveTime = 5 * time.Millisecond

// Handler is told what happens to a connection. After Ended it hears no more.
type Handler interface {
	Connected()      // a dialled connection is up
	Received()       // Input has more
	Ended(err error) // the peer or the network ended it; not called after Close
}

// Conn is one non-blocking connection.
type Conn struct {
	loop     *Loop
	fd       int // -1: closed
	gen      int32
	h        Handler
	interest uint32
	up       bool
	in       []byte // read, from r on not yet consumed
	r        int
	most     int       // Input holds so much at most; reading stops there until some is consumed
	out      []byte    // accepted by Write, not yet by the kernel
	sent     int       // of out
	lost     int       // was pending when the connection ended
	linger   *Timer    // closed by us, waits for the peer to read the rest
	handing  bool      // Received is running: the input buffer stays
	of       *Listener // whose own descriptors it is one of; nil: it is one of the loop's
	flushed  func()    // see OnFlush
	paused   bool      // nothing is read
	starved  bool      // nothing is read for a moment, for want of a buffer
	accepted bool      // the peer has dialled
	least    int       // how large the input buffer is at least
}

// IsResourceShortage tells whether an error of Dial says that this machine lacks something just now, and nothing of the peer.
func IsResourceShortage(err error) bool {
	return errors.Is(err, ErrNoDescriptor) || sys.IsTransient(err)
}

// Dial begins to connect. A failure that is known at once is returned; later ones
// end the connection.
func (l *Loop) Dial(addr netip.AddrPort, h Handler, inputMost int) (*Conn, error) {
	if l.SpareDescriptors() <= 0 {
		return nil, ErrNoDescriptor
	}
	fd, err := sys.Socket(family(addr), unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("socket: %w", err)
	}
	l.open++
	err = sys.Connect(fd, sockaddr(addr))
	if err != nil && err != unix.EINPROGRESS && err != unix.EINTR {
		unix.Close(fd)
		l.open--
		return nil, fmt.Errorf("connect: %w", err)
	}
	c, err := l.adopt(fd, unix.EPOLLIN|unix.EPOLLOUT|unix.EPOLLRDHUP)
	if err != nil {
		return nil, err
	}
	c.SetHandler(h, inputMost)
	return c, nil
}

func (l *Loop) adopt(fd int, interest uint32) (*Conn, error) {
	// Answers are small and each is written whole: none is to wait for another.
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	// A peer that vanished while idle is noticed in the end and gives its descriptor back.
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1)
	c := &Conn{loop: l, fd: fd, interest: interest}
	if err := l.register(fd, interest, slot{conn: c}); err != nil {
		unix.Close(fd)
		l.open--
		return nil, err
	}
	return c, nil
}

// SetHandler sets who is told of the connection and how much input it holds at most.
func (c *Conn) SetHandler(h Handler, inputMost int) { c.h, c.most = h, inputMost }

// Closed tells whether the connection is over.
func (c *Conn) Closed() bool { return c.fd < 0 || c.linger != nil }

// HasDescriptor tells whether the connection still has its descriptor.
func (c *Conn) HasDescriptor() bool { return c.fd >= 0 }

// BufferBytes is how many bytes of buffers the connection holds.
func (c *Conn) BufferBytes() int { return cap(c.in) + cap(c.out) }

// Input is what has been read and not consumed. It is good until the handler returns.
func (c *Conn) Input() []byte { return c.in[c.r:] }

// Consume drops the first n bytes of the input.
func (c *Conn) Consume(n int) {
	c.r += n
	if c.r >= len(c.in) {
		c.in, c.r = c.in[:0], 0
		if !c.handing {
			c.loop.buffers.put(c.in)
			c.in = nil
		}
	}
	c.want()
}

// Take consumes the first n bytes and hands them over for good. A buffer that holds
// nothing else goes as it is; otherwise the bytes are copied. It is given back by Free.
func (c *Conn) Take(n int) []byte {
	if c.r == 0 && n == len(c.in) {
		b := c.in
		c.in = nil
		c.want()
		return b
	}
	b := c.loop.buffers.add(nil, c.in[c.r:c.r+n])
	c.Consume(n)
	return b
}

// FreeBuffer gives a buffer from Take back.
func (l *Loop) FreeBuffer(b []byte) { l.buffers.put(b) }

// Pending is how much of what was written the kernel has not accepted; of an ended
// connection, how much it had not accepted by then.
func (c *Conn) Pending() int { return len(c.out) - c.sent + c.lost }

// OnFlush has do called whenever the kernel has taken the last byte of what Write had to keep.
func (c *Conn) OnFlush(do func()) { c.flushed = do }

// Pause stops reading: what comes waits with the peer. Input may hold some already.
func (c *Conn) Pause() {
	c.paused = true
	c.want()
}

// starve reads on in a moment: there is no buffer to spare just now, and what has come waits with the system. The connection
// may be owed an answer, so it is not ended for that.
func (c *Conn) starve() {
	if c.starved {
		return
	}
	c.starved = true
	c.loop.At(c.loop.now+starveTime, func() {
		c.starved = false
		c.want()
	})
}

// Resume reads on.
func (c *Conn) Resume() {
	c.paused = false
	c.want()
}

// SetMinBuffer has the input buffer hold so many bytes from the next read on.
func (c *Conn) SetMinBuffer(least int) { c.least = least }

// Write sends the parts behind all written before, gathered in one call where the kernel
// has room, and keeps a copy of what it does not accept. An error is told by Ended, in
// a later round: the caller is not called back from within its own call.
func (c *Conn) Write(parts ...[]byte) {
	if c.Closed() {
		return
	}
	total, n := 0, 0
	for _, p := range parts {
		total += len(p)
	}
	if c.up && c.Pending() == 0 && total > 0 {
		var err error
		for {
			if n, err = sys.Writev(c.fd, parts); err != unix.EINTR {
				break
			}
		}
		n = max(n, 0) // on an error all is kept; epoll reports what broke
	}
	if n < total {
		c.keep(parts, n)
	}
	c.want()
}

func (c *Conn) keep(parts [][]byte, skip int) {
	if c.Pending() == 0 {
		c.out, c.sent = c.out[:0], 0
	}
	for _, p := range parts {
		k := min(skip, len(p))
		skip -= k
		if len(p) > k {
			c.out = c.loop.buffers.add(c.out, p[k:])
		}
	}
}

// ready handles what epoll tells of the connection.
func (c *Conn) ready(events uint32) {
	if !c.up {
		if events&(unix.EPOLLOUT|unix.EPOLLERR|unix.EPOLLHUP) == 0 {
			return
		}
		if err := c.socketError(); err != nil {
			c.end(err)
			return
		}
		c.up = true
		c.h.Connected()
		if c.fd < 0 {
			return
		}
	}
	if events&unix.EPOLLOUT != 0 && c.Pending() > 0 {
		if err := c.flush(); err != nil {
			// What the peer said before it closed is still to be read.
			_ = c.read(true)
			c.end(err)
			return
		}
	}
	if c.fd >= 0 && events&(unix.EPOLLIN|unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0 {
		if err := c.read(events&(unix.EPOLLRDHUP|unix.EPOLLHUP) != 0); err != nil {
			c.end(err)
			return
		}
	}
	if c.fd >= 0 {
		if c.starved {
			events &^= unix.EPOLLRDHUP // what came before the end is still to be read
		}
		if c.interest&unix.EPOLLIN == 0 && events&(unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0 {
			c.end(ErrPeerClosed) // reading has stopped: its input is full
			return
		}
		c.want()
	}
}

// NoInputPending tells that nothing has come that is not consumed, not even an end: what is
// written now cannot be what the peer answers already.
func (c *Conn) NoInputPending() bool {
	if c.Closed() || len(c.Input()) > 0 {
		return false
	}
	var one [1]byte
	_, _, err := unix.Recvfrom(c.fd, one[:], unix.MSG_PEEK)
	return err == unix.EAGAIN
}

// Poll takes in at once what has come, as if epoll had told of it.
func (c *Conn) Poll() {
	if !c.Closed() && c.up && c.interest&unix.EPOLLIN != 0 {
		c.ready(unix.EPOLLIN)
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
	} else if c.flushed != nil {
		c.flushed()
	}
	return nil
}

// read takes in what has come and hands it on before an end that came behind it. Where the peer has ended, all is read at
// once: what it said is not to be acted on for a round before its end is known.
func (c *Conn) read(ended bool) error {
	for n := 0; n < readMost || ended; n++ {
		if c.linger != nil {
			if more, err := c.discard(); err != nil || !more {
				return err
			}
			continue
		}
		room := c.space()
		if room == nil {
			if len(c.Input()) >= c.most {
				return nil
			}
			c.starve()
			return nil
		}
		n, err := sys.Read(c.fd, room)
		switch {
		case err == unix.EINTR:
			continue
		case err == unix.EAGAIN:
			c.Consume(0)
			return nil
		case err != nil:
			return err
		case n == 0:
			return ErrPeerClosed
		}
		c.in = c.in[:len(c.in)+n]
		c.handing = true
		c.h.Received()
		c.handing = false
		if c.fd < 0 {
			return nil
		}
		if c.Consume(0); c.paused {
			return nil
		}
		if n < len(room) && !ended {
			return nil // level-triggered: an end behind it is told in the next round
		}
	}
	return nil
}

// waste is never written to: MSG_TRUNC has the kernel drop what came, so that a peer who
// goes on sending after its end costs neither memory nor copies.
var waste [256 << 10]byte

func (c *Conn) discard() (more bool, err error) {
	n, _, err := unix.Recvfrom(c.fd, waste[:], unix.MSG_TRUNC)
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

// space is where the next read goes; nil if the input is full or memory is short: a read
// into no room returns nothing, which would pass for the peer's close.
func (c *Conn) space() []byte {
	if len(c.in) == 0 && cap(c.in) < c.least {
		c.loop.buffers.put(c.in)
		c.in = nil
	}
	if c.in == nil {
		if c.accepted && c.loop.buffers.scarce() {
			return nil
		}
		if c.in = c.loop.buffers.get(max(1, c.least)); c.in == nil {
			return nil
		}
	}
	if c.r > 0 {
		c.in = c.in[:copy(c.in, c.in[c.r:])]
		c.r = 0
	}
	if len(c.in) == cap(c.in) && len(c.in) < c.most && !(c.accepted && c.loop.buffers.scarce()) {
		c.in = c.loop.buffers.grow(c.in)
	}
	if end := min(cap(c.in), c.most); end > len(c.in) {
		return c.in[len(c.in):end]
	}
	return nil
}

// want tells epoll what the connection waits for.
func (c *Conn) want() {
	if c.fd < 0 || !c.up {
		return
	}
	interest := uint32(unix.EPOLLRDHUP)
	switch {
	case (c.paused || c.starved) && c.linger == nil:
		interest = 0 // an end of the peer's may stand behind much that is not read yet
	case len(c.Input()) < c.most || c.linger != nil:
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

// Close ends the connection at once; what is pending is lost.
func (c *Conn) Close() {
	if c.fd < 0 {
		return
	}
	if c.linger != nil {
		c.linger.Stop()
		c.loop.lingering--
	}
	c.loop.release(c.fd)
	if c.of != nil {
		c.of.held--
		c.loop.open++
	}
	c.fd, c.lost = -1, c.Pending()
	c.loop.buffers.put(c.in)
	c.loop.buffers.put(c.out)
	c.in, c.out, c.r, c.sent = nil, nil, 0, 0
}

// Finish ends the connection once the peer has what was written: a plain close with
// unread input would reset it and take the last answer along. The handler hears no
// more. A peer that has not closed by the given moment is cut off.
func (c *Conn) Finish(until time.Duration) {
	if c.Closed() {
		return
	}
	c.h = ended{}
	c.loop.lingering++
	c.linger = c.loop.At(until, c.Close)
	c.loop.buffers.put(c.in)
	c.in, c.r = nil, 0
	if c.Pending() == 0 {
		_ = unix.Shutdown(c.fd, unix.SHUT_WR)
	}
	c.want()
}

// CloseWrite ends the sending: the peer finds an end behind what was written. What it says is still read.
func (c *Conn) CloseWrite() {
	if c.fd >= 0 {
		_ = unix.Shutdown(c.fd, unix.SHUT_WR)
	}
}

type ended struct{}

func (ended) Connected()  {}
func (ended) Received()   {}
func (ended) Ended(error) {}

func (c *Conn) end(err error) {
	if c.fd < 0 {
		return
	}
	h := c.h
	c.Close()
	h.Ended(err)
}

// pool keeps buffers of a few sizes and bounds how much all of them hold.
type pool struct {
	most, held int
	free       [sizes][][]byte
}

const (
	smallest = 2 << 10
	sizes    = 9 // 2 KiB to 512 KiB
	keepMost = 64
)

// scarce tells that the last eighth is in use. It is for what this process has asked for: peers who send without being asked
// must not keep it from reading answers.
func (p *pool) scarce() bool { return p.held >= p.most*7/8 }

func class(n int) int {
	k := 0
	for smallest<<k < n && k < sizes-1 {
		k++
	}
	return k
}

// get returns an empty buffer for n bytes; nil if there is no memory to spare.
func (p *pool) get(n int) []byte {
	k := class(n)
	size := smallest << k
	if p.held+size > p.most {
		return nil
	}
	p.held += size
	if list := p.free[k]; len(list) > 0 {
		b := list[len(list)-1]
		p.free[k] = list[:len(list)-1]
		return b
	}
	return make([]byte, 0, size)
}

func (p *pool) put(b []byte) {
	if cap(b) == 0 {
		return
	}
	k := class(cap(b))
	if smallest<<k != cap(b) {
		return // made outside the bound, see add
	}
	p.held -= smallest << k
	if len(p.free[k]) < keepMost>>k {
		p.free[k] = append(p.free[k], b[:0])
	}
}

// grow moves b to a buffer of the next size; without memory for it, b stays.
func (p *pool) grow(b []byte) []byte {
	next := p.get(cap(b) + 1)
	if next == nil || cap(next) <= cap(b) {
		return b
	}
	next = append(next, b...)
	p.put(b)
	return next
}

// add appends to a buffer whose size its writer bounds. What is over the largest size
// or finds no memory to spare gets an odd capacity, by which put knows it.
func (p *pool) add(b, more []byte) []byte {
	need := len(b) + len(more)
	if need <= cap(b) {
		return append(b, more...)
	}
	next := p.get(need)
	if cap(next) < need {
		p.put(next)
		next = make([]byte, 0, need|1)
	}
	next = append(append(next, b...), more...)
	p.put(b)
	return next
}
