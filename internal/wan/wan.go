// Package wan is the network between many gateways on one machine: one relay that all their datagrams and connections pass, which
// delays, loses and cuts them by ordered pair of zones. It stays on the loopback interface.
//
// Each gateway has an address of its own in 127.0.0.0/8, which tells who sent a datagram, and the relay stands at one more for each
// gateway and zone of senders, which tells whom a datagram or a connection is for and from where. All of the relay's addresses are
// of one socket, so that nothing here grows with the number of pairs. What is passed on comes from the sender's own address, at the
// relay's port: a receiver that counts by sender counts right.
package wan

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds of one relay.
const (
	MaxZones    = 64
	MaxGateways = 250 * 250
)

// The second byte of addresses.
const (
	gatewayFamily   = 20
	anyZoneFamily   = 99 // the relay, for senders of any zone: a datagram's source tells it
	firstZoneFamily = 100
)

// Link is what happens on the way from one zone to another.
type Link struct {
	Delay  time.Duration // one way
	Jitter time.Duration // up to so much more, drawn evenly
	Loss   float64       // share of the datagrams; a piece of a connection is late by repeatTime instead
	Cut    bool          // nothing passes; connections stand still
}

// Counts are datagrams by what became of them, and connections.
type Counts struct {
	Forwarded, Lost, Cut, Misaddressed, Oversized, Unsent, Bytes uint64
	Overflowed                                                   uint64 // came faster than the relay read: the kernel dropped them
	Streams, StreamsCut                                          uint64
}

// Relay is the network.
type Relay struct {
	zones       int
	zoneOf      []int // the zone of each gateway
	links       []atomic.Pointer[Link]
	relayPort   uint16 // of the relay
	gatewayPort uint16 // of the gateways

	fd, wakeFD int
	listener   net.Listener
	reserved   []interface{ Close() error }
	loop       *loop
	lateness   lateness
	counts     [countKinds]atomic.Uint64
	seed       uint64
	streams    atomic.Uint64
	mu         sync.Mutex // of conns alone
	conns      map[net.Conn]bool
	done       chan struct{}
	wg         sync.WaitGroup
}

const (
	countForwarded = iota
	countLost
	countCut
	countMisaddressed
	countOversized
	countUnsent
	countBytes
	countStreams
	countStreamsCut
	countKinds
)

// Open starts a relay for gateways, of each of which the zone is given.
func Open(zones int, zoneOf []int, seed uint64) (*Relay, error) {
	if zones < 1 || zones > MaxZones || len(zoneOf) > MaxGateways {
		return nil, fmt.Errorf("relay: %d zones and %d gateways; 1 to %d and up to %d would do", zones, len(zoneOf), MaxZones, MaxGateways)
	}
	for g, z := range zoneOf {
		if z < 0 || z >= zones {
			return nil, fmt.Errorf("relay: gateway %d is in zone %d of %d", g, z, zones)
		}
	}
	r := &Relay{zones: zones, zoneOf: zoneOf, links: make([]atomic.Pointer[Link], zones*zones), seed: seed, conns: map[net.Conn]bool{}, done: make(chan struct{}), fd: -1, wakeFD: -1}
	for i := range r.links {
		r.links[i].Store(&Link{})
	}
	if err := errors.Join(r.reservePort(), r.openSockets()); err != nil {
		r.closeSockets()
		return nil, fmt.Errorf("relay: %w", err)
	}
	r.loop = newLoop(r, rand.New(rand.NewPCG(seed, 0x77616e)))
	r.wg.Add(2)
	go func() {
		defer r.wg.Done()
		r.loop.run()
	}()
	go r.acceptConnections()
	return r, nil
}

// reservePort finds the port of the gateways: nobody else gets it while the relay is open.
func (r *Relay) reservePort() error {
	var err error
	for range 8 { // a port may be free for one kind and taken for the other
		var ln net.Listener
		if ln, err = net.Listen("tcp4", "127.0.0.1:0"); err != nil {
			return err
		}
		var udp net.PacketConn
		if udp, err = net.ListenPacket("udp4", ln.Addr().String()); err != nil {
			ln.Close()
			continue
		}
		r.reserved = append(r.reserved, ln, udp)
		r.gatewayPort = uint16(ln.Addr().(*net.TCPAddr).Port)
		return nil
	}
	return err
}

// openSockets opens the relay's two sockets at every address of the loopback interface and of no other.
func (r *Relay) openSockets() (err error) {
	const buffer = 16 << 20 // as much of it as the system gives
	for range 8 {
		config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			return errors.Join(c.Control(func(fd uintptr) { err = unix.BindToDevice(int(fd), "lo") }), err)
		}}
		if r.listener, err = config.Listen(context.Background(), "tcp4", "0.0.0.0:0"); err != nil {
			return err
		}
		r.relayPort = uint16(r.listener.Addr().(*net.TCPAddr).Port)
		if r.fd, err = unix.Socket(unix.AF_INET, unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0); err != nil {
			return err
		}
		err = errors.Join(
			unix.BindToDevice(r.fd, "lo"), unix.SetsockoptInt(r.fd, unix.IPPROTO_IP, unix.IP_PKTINFO, 1),
			unix.SetsockoptInt(r.fd, unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1),
			unix.SetsockoptInt(r.fd, unix.SOL_SOCKET, unix.SO_RCVBUF, buffer), unix.SetsockoptInt(r.fd, unix.SOL_SOCKET, unix.SO_SNDBUF, buffer),
		)
		if err != nil {
			return err
		}
		if err = unix.Bind(r.fd, &unix.SockaddrInet4{Port: int(r.relayPort)}); err == nil {
			r.wakeFD, err = unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
			return err
		}
		unix.Close(r.fd)
		r.listener.Close()
		r.fd, r.listener = -1, nil
	}
	return err
}

// address is that of gateway g in one of the families above.
func address(family, g int) [4]byte {
	return [4]byte{127, byte(family), byte(g / 250), byte(g%250 + 1)}
}

// parseAddress is the reverse: which it is, and the family. False: it is none.
func (r *Relay) parseAddress(a [4]byte) (family, g int, ok bool) {
	g = int(a[2])*250 + int(a[3]) - 1
	return int(a[1]), g, a[0] == 127 && a[3] >= 1 && a[3] <= 250 && g < len(r.zoneOf)
}

// senderZone is the zone that an address of the relay stands for; -1: any. False: it stands for none.
func (r *Relay) senderZone(family int) (zone int, ok bool) {
	if family == anyZoneFamily {
		return -1, true
	}
	return family - firstZoneFamily, family >= firstZoneFamily && family < firstZoneFamily+r.zones
}

// ListenAddr is where gateway g is to listen for others.
func (r *Relay) ListenAddr(g int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(address(gatewayFamily, g)), r.gatewayPort)
}

// DialAddr is where a gateway in a zone finds gateway g.
func (r *Relay) DialAddr(zone, g int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(address(firstZoneFamily+zone, g)), r.relayPort)
}

// AdvertiseAddr is where gateways of any zone find g. A connection there has no delay and is never cut, as nothing tells from which
// zone it comes.
func (r *Relay) AdvertiseAddr(g int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(address(anyZoneFamily, g)), r.relayPort)
}

// SetLink says what happens on the way from one zone to another from now on. What is on its way already arrives as it was.
func (r *Relay) SetLink(from, to int, l Link) { r.links[from*r.zones+to].Store(&l) }

// Link is what happens there now.
func (r *Relay) Link(from, to int) Link { return *r.links[from*r.zones+to].Load() }

// SetCut takes the way from one zone to another away, or gives it back.
func (r *Relay) SetCut(from, to int, on bool) {
	l := r.Link(from, to)
	l.Cut = on
	r.SetLink(from, to, l)
}

// Counts are what has happened so far.
func (r *Relay) Counts() Counts {
	n := func(kind int) uint64 { return r.counts[kind].Load() }
	return Counts{
		Forwarded: n(countForwarded), Lost: n(countLost), Cut: n(countCut), Misaddressed: n(countMisaddressed), Oversized: n(countOversized), Unsent: n(countUnsent), Bytes: n(countBytes),
		Overflowed: r.overflowed(), Streams: n(countStreams), StreamsCut: n(countStreamsCut),
	}
}

// Close ends the relay and all connections over it.
func (r *Relay) Close() {
	close(r.done)
	_, _ = unix.Write(r.wakeFD, []byte{1, 0, 0, 0, 0, 0, 0, 0})
	r.listener.Close()
	r.mu.Lock()
	for c := range r.conns {
		c.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
	r.closeSockets()
}

func (r *Relay) closeSockets() {
	if r.listener != nil {
		r.listener.Close()
	}
	for _, fd := range []int{r.fd, r.wakeFD} {
		if fd >= 0 {
			unix.Close(fd)
		}
	}
	for _, c := range r.reserved {
		c.Close()
	}
}
