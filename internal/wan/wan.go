// Package wan simulates the network between many gateways on one machine. A relay forwards all their datagrams and
// connections, and delays, drops and cuts them by ordered pair of zones. It uses the loopback interface only.
//
// Each gateway has its own address in 127.0.0.0/8, by which the relay identifies the sender of a datagram. For each
// pair of a gateway and a zone of senders the relay has one more address, which identifies the receiver and the
// sender's zone. One socket serves all addresses of the relay, so no resource grows with the number of pairs. The relay
// forwards datagrams with the sender's address and the relay's port, so that receivers can tell senders apart.
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

// Limits of one relay.
const (
	MaxZones    = 64
	MaxGateways = 250 * 250
)

// Address families: the second byte of an address.
const (
	gatewayFamily   = 20
	anyZoneFamily   = 99  // of the relay, for senders of any zone; the zone follows from a datagram's source
	firstZoneFamily = 100 // of the relay, for senders of zone 0; one for each zone follows
)

// Link holds the properties of the network path from one zone to another.
type Link struct {
	Delay  time.Duration // one way
	Jitter time.Duration // maximum of an additional delay, uniformly distributed
	Loss   float64       // share of the datagrams; data of a connection is delayed by retransmitDelay instead
	Cut    bool          // datagrams are dropped and connections stall
}

// Counts holds the numbers of datagrams by result, of their bytes, and of connections. Scale reports write them under these names.
type Counts struct {
	Passed, Lost, Cut, Foreign, Large, Unsent, Bytes uint64
	Overflowed                                       uint64 // dropped by the kernel because the relay read too slowly
	Streams, StreamsCut                              uint64
}

// Relay is the simulated network.
type Relay struct {
	zones       int
	zoneOf      []int // zone of each gateway
	links       []atomic.Pointer[Link]
	relayPort   uint16
	gatewayPort uint16

	fd, wakeFD int
	listener   net.Listener
	reserved   []interface{ Close() error }
	loop       *loop
	lateness   lateness
	counts     [countKinds]atomic.Uint64
	seed       uint64
	streams    atomic.Uint64
	mu         sync.Mutex // guards conns
	conns      map[net.Conn]bool
	done       chan struct{}
	wg         sync.WaitGroup
}

// Indexes of Relay.counts.
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

// Open starts a relay. zoneOf gives the zone of each gateway.
func Open(zones int, zoneOf []int, seed uint64) (*Relay, error) {
	if zones < 1 || zones > MaxZones || len(zoneOf) > MaxGateways {
		return nil, fmt.Errorf("relay: %d zones and %d gateways; allowed are 1 to %d zones and up to %d gateways", zones, len(zoneOf), MaxZones, MaxGateways)
	}
	for g, z := range zoneOf {
		if z < 0 || z >= zones {
			return nil, fmt.Errorf("relay: gateway %d is in zone %d, but there are %d zones", g, z, zones)
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

// reservePort finds the port of the gateways and keeps it from other programs while the relay is open.
func (r *Relay) reservePort() error {
	var err error
	for range 8 { // a port may be free for TCP and in use for UDP
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

// openSockets opens the relay's two sockets on all addresses of the loopback interface, and of no other interface.
func (r *Relay) openSockets() (err error) {
	const buffer = 16 << 20 // bytes; the system may grant less
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

// addressOf returns the address of gateway g in a family.
func addressOf(family, g int) [4]byte {
	return [4]byte{127, byte(family), byte(g / 250), byte(g%250 + 1)}
}

// parseAddress is the inverse of addressOf. It returns false if the address belongs to no gateway.
func (r *Relay) parseAddress(a [4]byte) (family, g int, ok bool) {
	g = int(a[2])*250 + int(a[3]) - 1
	return int(a[1]), g, a[0] == 127 && a[3] >= 1 && a[3] <= 250 && g < len(r.zoneOf)
}

// senderZone returns the zone of senders for a family of the relay's addresses; -1: any zone. It returns false for
// other families.
func (r *Relay) senderZone(family int) (zone int, ok bool) {
	if family == anyZoneFamily {
		return -1, true
	}
	return family - firstZoneFamily, family >= firstZoneFamily && family < firstZoneFamily+r.zones
}

// ListenAddr returns the address on which gateway g must listen.
func (r *Relay) ListenAddr(g int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(addressOf(gatewayFamily, g)), r.gatewayPort)
}

// DialAddr returns the address at which gateways of a zone reach gateway g.
func (r *Relay) DialAddr(zone, g int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(addressOf(firstZoneFamily+zone, g)), r.relayPort)
}

// AdvertiseAddr returns the address at which gateways of any zone reach g. Connections to it have no delay and are never
// cut, as the relay cannot tell the zone they come from.
func (r *Relay) AdvertiseAddr(g int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(addressOf(anyZoneFamily, g)), r.relayPort)
}

// SetLink sets the link from one zone to another. Datagrams that are in flight keep their delay.
func (r *Relay) SetLink(from, to int, link Link) { r.links[from*r.zones+to].Store(&link) }

// Link returns the current link from one zone to another.
func (r *Relay) Link(from, to int) Link { return *r.links[from*r.zones+to].Load() }

// SetCut cuts or restores the link from one zone to another.
func (r *Relay) SetCut(from, to int, on bool) {
	link := r.Link(from, to)
	link.Cut = on
	r.SetLink(from, to, link)
}

// Counts returns the counts since the relay was opened.
func (r *Relay) Counts() Counts {
	count := func(kind int) uint64 { return r.counts[kind].Load() }
	return Counts{
		Passed: count(countForwarded), Lost: count(countLost), Cut: count(countCut), Foreign: count(countMisaddressed), Large: count(countOversized), Unsent: count(countUnsent), Bytes: count(countBytes),
		Overflowed: r.overflowed(), Streams: count(countStreams), StreamsCut: count(countStreamsCut),
	}
}

// Close stops the relay and closes all connections through it.
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
	for _, socket := range r.reserved {
		socket.Close()
	}
}
