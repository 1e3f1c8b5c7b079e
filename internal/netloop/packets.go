package netloop

import (
	"fmt"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"lilaccove/internal/sys"
)

const (
	// MaxDatagramBytes is the largest datagram that is read.
	MaxDatagramBytes = 2048
	packetsMost      = 64                     // read from one socket in a round
	packetWindow     = 100 * time.Millisecond // see Packets.share
)

// UDPSocket is a UDP socket. What comes faster than it may be worked on waits in the kernel, which drops what does
// not fit there.
type UDPSocket struct {
	loop  *Loop
	fd    int // -1: closed
	take  func(from netip.AddrPort, b []byte)
	large func(from netip.AddrPort)
	share float64 // of the loop's time that may go into it
	began time.Time
	spent time.Duration // since then
	rests uint64
	empty time.Duration  // when all that had come was last read
	Addr  netip.AddrPort // where it is bound, the port found where 0 was asked for
}

// ListenUDP opens a UDP socket at addr. Each datagram is handed to take, and is good until take returns; of one
// over MostPacket bytes only large is told. No more than share of the loop's time is spent in them.
func (l *Loop) ListenUDP(addr netip.AddrPort, share float64, take func(netip.AddrPort, []byte), large func(netip.AddrPort)) (*UDPSocket, error) {
	fd, err := socketAtStart(family(addr), unix.SOCK_DGRAM)
	if err != nil {
		return nil, fmt.Errorf("socket: %w", err)
	}
	p := &UDPSocket{loop: l, fd: fd, take: take, large: large, share: share}
	err = unix.Bind(fd, sockaddr(addr))
	var bound unix.Sockaddr
	if err == nil {
		bound, err = unix.Getsockname(fd)
	}
	if err == nil {
		p.Addr = sys.AddrPort(bound)
		err = l.register(fd, unix.EPOLLIN, slot{udp: p})
	}
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("bind udp %s: %w", addr, err)
	}
	l.open++
	return p, nil
}

// ready reads what has come, within the share.
func (p *UDPSocket) ready() {
	begun := time.Now()
	if begun.Sub(p.began) >= packetWindow {
		p.began, p.spent = begun, 0
	}
	var b [MaxDatagramBytes + 1]byte
	for range packetsMost {
		n, from, err := unix.Recvfrom(p.fd, b[:], 0)
		if err == unix.EINTR {
			continue
		}
		if err == unix.EAGAIN {
			p.empty = p.loop.Clock()
		}
		if err != nil {
			break // or what an earlier datagram met (ECONNREFUSED): the socket is still good
		}
		if n > MaxDatagramBytes {
			p.large(sys.AddrPort(from))
		} else {
			p.take(sys.AddrPort(from), b[:n])
		}
		if p.fd < 0 {
			return
		}
	}
	if p.spent += time.Since(begun); p.spent > time.Duration(p.share*float64(packetWindow)) {
		p.rests++
		p.watch(0)
		p.loop.At(p.loop.now+packetWindow-min(packetWindow, time.Since(p.began)), func() { p.watch(unix.EPOLLIN) })
	}
}

// EmptiedTime is when all that had come was last read: what comes later was not there then.
func (p *UDPSocket) EmptiedTime() time.Duration { return p.empty }

// PauseCount is how often the socket was left alone, as its share was used up.
func (p *UDPSocket) PauseCount() uint64 { return p.rests }

func (p *UDPSocket) watch(interest uint32) {
	if p.fd >= 0 {
		_ = p.loop.watch(p.fd, interest)
	}
}

// Send sends one datagram. It is not kept where the kernel has no room for it: false.
func (p *UDPSocket) Send(to netip.AddrPort, b []byte) bool {
	if p.fd < 0 || p.Addr.Addr().Is4() != to.Addr().Is4() {
		return false
	}
	for {
		err := unix.Sendto(p.fd, b, 0, sockaddr(to))
		if err != unix.EINTR {
			return err == nil
		}
	}
}

// Close gives the socket back.
func (p *UDPSocket) Close() {
	if p.fd >= 0 {
		p.loop.release(p.fd)
		p.fd = -1
	}
}
