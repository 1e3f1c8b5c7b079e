package netloop

import (
	"fmt"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"lilaccove/internal/sys"
)

const (
	// MaxDatagramBytes is the size of the largest datagram that is read.
	MaxDatagramBytes     = 2048
	maxDatagramsPerRound = 64                     // read from one socket per round
	timeShareWindow      = 100 * time.Millisecond // see UDPSocket.maxTimeShare
)

// UDPSocket is a UDP socket that may use a bounded share of the loop's time. Datagrams that arrive faster
// than that wait in the kernel, which drops what doesn't fit its buffer.
type UDPSocket struct {
	loop         *Loop
	fd           int // -1: closed
	onDatagram   func(from netip.AddrPort, b []byte)
	onOversized  func(from netip.AddrPort)
	maxTimeShare float64 // part of the loop's time that may be spent on the datagrams
	windowStart  time.Time
	timeSpent    time.Duration // since windowStart
	pauses       uint64
	emptiedTime  time.Duration  // when all that had arrived was last read
	Addr         netip.AddrPort // local address, with the actual port if port 0 was requested
}

// ListenUDP opens a UDP socket at addr. Each datagram is passed to onDatagram and is valid until that
// returns; a datagram over MaxDatagramBytes is dropped and reported to onOversized. No more than maxTimeShare
// of the loop's time is spent on them.
func (l *Loop) ListenUDP(addr netip.AddrPort, maxTimeShare float64, onDatagram func(netip.AddrPort, []byte), onOversized func(netip.AddrPort)) (*UDPSocket, error) {
	fd, err := openSocketAtStart(addressFamily(addr), unix.SOCK_DGRAM)
	if err != nil {
		return nil, fmt.Errorf("socket: %w", err)
	}
	socket := &UDPSocket{loop: l, fd: fd, onDatagram: onDatagram, onOversized: onOversized, maxTimeShare: maxTimeShare}
	err = unix.Bind(fd, socketAddress(addr))
	var bound unix.Sockaddr
	if err == nil {
		bound, err = unix.Getsockname(fd)
	}
	if err == nil {
		socket.Addr = sys.AddrPort(bound)
		err = l.register(fd, unix.EPOLLIN, slot{udp: socket})
	}
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("bind udp %s: %w", addr, err)
	}
	l.openDescriptors++
	return socket, nil
}

// handleReadable reads what has arrived, within the time share.
func (u *UDPSocket) handleReadable() {
	start := time.Now()
	if start.Sub(u.windowStart) >= timeShareWindow {
		u.windowStart, u.timeSpent = start, 0
	}
	var buffer [MaxDatagramBytes + 1]byte
	for range maxDatagramsPerRound {
		n, from, err := unix.Recvfrom(u.fd, buffer[:], 0)
		if err == unix.EINTR {
			continue
		}
		if err == unix.EAGAIN {
			u.emptiedTime = u.loop.Clock()
		}
		if err != nil {
			break // also an error caused by an earlier datagram (ECONNREFUSED): the socket is still usable
		}
		if n > MaxDatagramBytes {
			u.onOversized(sys.AddrPort(from))
		} else {
			u.onDatagram(sys.AddrPort(from), buffer[:n])
		}
		if u.fd < 0 {
			return
		}
	}
	if u.timeSpent += time.Since(start); u.timeSpent > time.Duration(u.maxTimeShare*float64(timeShareWindow)) {
		u.pauses++
		u.setInterest(0)
		u.loop.At(u.loop.now+timeShareWindow-min(timeShareWindow, time.Since(u.windowStart)), func() { u.setInterest(unix.EPOLLIN) })
	}
}

// EmptiedTime returns when all that had arrived was last read: what is read afterwards arrived later.
func (u *UDPSocket) EmptiedTime() time.Duration { return u.emptiedTime }

// PauseCount returns how often reading was suspended because the time share was used up.
func (u *UDPSocket) PauseCount() uint64 { return u.pauses }

func (u *UDPSocket) setInterest(interest uint32) {
	if u.fd >= 0 {
		_ = u.loop.watch(u.fd, interest)
	}
}

// Send sends one datagram. It returns false, without queueing the datagram, if the kernel has no space for
// it.
func (u *UDPSocket) Send(to netip.AddrPort, datagram []byte) bool {
	if u.fd < 0 || u.Addr.Addr().Is4() != to.Addr().Is4() {
		return false
	}
	for {
		err := unix.Sendto(u.fd, datagram, 0, socketAddress(to))
		if err != unix.EINTR {
			return err == nil
		}
	}
}

// Close closes the socket.
func (u *UDPSocket) Close() {
	if u.fd >= 0 {
		u.loop.release(u.fd)
		u.fd = -1
	}
}
