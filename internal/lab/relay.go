package lab

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"lilaccove/internal/load/plan"
)

// Mesh is the network between gateways: a relay for every ordered pair, UDP and TCP on one port. A gateway finds
// each other at a relay of its own, so that faults go by pair and direction. Datagrams of i to j pass the link
// from i to j alone; a connection that i opens to j uses it for what i says and the link from j to i for the rest.
type Mesh struct {
	mu      sync.Mutex
	rng     *rand.Rand
	size    int
	links   []plan.Link
	cuts    []bool
	targets map[string]netip.AddrPort // where the process of a name is now
	relays  []*relay
	counts  MeshCounts
	done    chan struct{}
	wg      sync.WaitGroup
}

// MeshCounts are datagrams, by what became of them.
type MeshCounts struct {
	Forwarded, Lost, Cut, Duplicated, Reordered, Corrupted, Unroutable int
	Bytes                                                              int
}

type relay struct {
	mesh             *Mesh
	from, to         int
	target           string // whom it leads to
	udp              *net.UDPConn
	listener         net.Listener
	addr             netip.AddrPort
	sendQueueEmptyAt time.Time // when a slow link has sent all it has
	conns            map[net.Conn]bool
}

// NewMesh opens the relays for gateways of these names. A name may come twice: two processes of one name.
func NewMesh(names []string, seed uint64) (*Mesh, error) {
	size := len(names)
	m := &Mesh{
		rng: rand.New(rand.NewPCG(seed, 0x6d657368)), size: size, links: make([]plan.Link, size*size), cuts: make([]bool, size*size),
		targets: map[string]netip.AddrPort{}, relays: make([]*relay, size*size), done: make(chan struct{}),
	}
	for i := range size {
		for j := range size {
			if names[i] == names[j] {
				continue
			}
			r, err := m.openRelay(i, j, names[j])
			if err != nil {
				m.Close()
				return nil, err
			}
			m.relays[i*size+j] = r
		}
	}
	return m, nil
}

func (m *Mesh) openRelay(i, j int, target string) (*relay, error) {
	var err error
	for range 8 { // a port may be free for one kind and taken for the other
		var listener net.Listener
		if listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			break
		}
		addr := netip.MustParseAddrPort(listener.Addr().String())
		var udp *net.UDPConn
		if udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr)); err != nil {
			listener.Close()
			continue
		}
		r := &relay{mesh: m, from: i, to: j, target: target, udp: udp, listener: listener, addr: addr, conns: map[net.Conn]bool{}}
		m.wg.Add(2)
		go r.relayDatagrams()
		go r.acceptConnections()
		return r, nil
	}
	return nil, fmt.Errorf("relay: %w", err)
}

// RelayAddr is where gateway i finds gateway j.
func (m *Mesh) RelayAddr(i, j int) netip.AddrPort {
	if r := m.relays[i*m.size+j]; r != nil {
		return r.addr
	}
	return netip.AddrPort{}
}

// Route has the relays to a name lead to an address; an invalid one: nowhere.
func (m *Mesh) Route(name string, target netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.targets[name] = target
}

// SetLink gives the link from i to j its faults; the zero link has none.
func (m *Mesh) SetLink(i, j int, link plan.Link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.links[i*m.size+j] = link
}

// SetCut takes the link from i to j away, or gives it back. Connections over it stand still.
func (m *Mesh) SetCut(i, j int, cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cuts[i*m.size+j] = cut
}

// Partition cuts all links between different sides; who is on no side keeps its links.
func (m *Mesh) Partition(sides [][]int, cut bool) {
	side := map[int]int{}
	for s, list := range sides {
		for _, i := range list {
			side[i] = s + 1
		}
	}
	for i := range m.size {
		for j := range m.size {
			if side[i] != side[j] && side[i] > 0 && side[j] > 0 {
				m.SetCut(i, j, cut)
			}
		}
	}
}

// Counts are what has happened so far.
func (m *Mesh) Counts() MeshCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// Close ends the relays and all connections over them.
func (m *Mesh) Close() {
	close(m.done)
	for _, r := range m.relays {
		if r == nil {
			continue
		}
		r.listener.Close()
		r.udp.Close()
		m.mu.Lock()
		for c := range r.conns {
			c.Close()
		}
		m.mu.Unlock()
	}
	m.wg.Wait()
}

// relayDatagrams passes on what comes, with the faults of the link.
func (r *relay) relayDatagrams() {
	defer r.mesh.wg.Done()
	buf := make([]byte, 64<<10)
	for {
		n, err := r.udp.Read(buf)
		if err != nil {
			return
		}
		r.relayDatagram(buf[:n])
	}
}

// relayDatagram decides on one datagram.
func (r *relay) relayDatagram(datagram []byte) {
	m := r.mesh
	m.mu.Lock()
	defer m.mu.Unlock()
	target := m.targets[r.target]
	link := m.links[r.from*m.size+r.to]
	switch {
	case m.cuts[r.from*m.size+r.to]:
		m.counts.Cut++
		return
	case !target.IsValid():
		m.counts.Unroutable++
		return
	case m.rng.Float64() < link.Loss:
		m.counts.Lost++
		return
	}
	datagram = append([]byte(nil), datagram...)
	if m.rng.Float64() < link.Corrupt {
		m.counts.Corrupted++
		datagram = corrupt(m.rng, datagram)
	}
	copies := 1
	if m.rng.Float64() < link.Duplicate {
		copies = 2
		m.counts.Duplicated++
	}
	for range copies {
		wait := link.Delay
		if link.Jitter > 0 {
			wait += time.Duration(m.rng.Int64N(int64(link.Jitter)))
		}
		if m.rng.Float64() < link.Reorder {
			m.counts.Reordered++
			wait += link.Delay + link.Jitter + 10*time.Millisecond
		}
		wait += r.queueDelay(link, len(datagram))
		m.counts.Forwarded++
		m.counts.Bytes += len(datagram)
		if wait <= 0 {
			_, _ = r.udp.WriteToUDPAddrPort(datagram, target)
			continue
		}
		time.AfterFunc(wait, func() { _, _ = r.udp.WriteToUDPAddrPort(datagram, target) })
	}
}

// queueDelay is how long a slow link has to send what is before so many bytes, and them.
func (r *relay) queueDelay(link plan.Link, bytes int) time.Duration {
	if link.Rate <= 0 {
		return 0
	}
	now := time.Now()
	if r.sendQueueEmptyAt.Before(now) {
		r.sendQueueEmptyAt = now
	}
	r.sendQueueEmptyAt = r.sendQueueEmptyAt.Add(time.Duration(float64(bytes) / link.Rate * float64(time.Second)))
	return r.sendQueueEmptyAt.Sub(now)
}

// corrupt damages a message: a bit, its end, or all of it.
func corrupt(rng *rand.Rand, b []byte) []byte {
	switch {
	case len(b) == 0:
	case rng.IntN(3) == 0:
		return b[:rng.IntN(len(b))]
	case rng.IntN(8) == 0:
		for i := range b {
			b[i] = byte(rng.Uint32())
		}
	default:
		b[rng.IntN(len(b))] ^= 1 << rng.IntN(8)
	}
	return b
}

func (r *relay) acceptConnections() {
	defer r.mesh.wg.Done()
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mesh.mu.Lock()
		target := r.mesh.targets[r.target]
		r.mesh.mu.Unlock()
		if !target.IsValid() {
			conn.Close()
			continue
		}
		r.mesh.wg.Add(1)
		go r.relayConnection(conn, target)
	}
}

// relayConnection passes a connection on, each direction with the faults of its link.
func (r *relay) relayConnection(conn net.Conn, to netip.AddrPort) {
	defer r.mesh.wg.Done()
	targetConn, err := net.DialTimeout("tcp", to.String(), time.Second)
	if err != nil {
		conn.Close()
		return
	}
	r.addConns(conn, targetConn)
	defer r.closeConns(conn, targetConn)
	var both sync.WaitGroup
	both.Add(2)
	go func() {
		defer both.Done()
		r.copyStream(targetConn, conn, r.from, r.to)
	}()
	go func() {
		defer both.Done()
		r.copyStream(conn, targetConn, r.to, r.from)
	}()
	both.Wait()
}

func (r *relay) addConns(conns ...net.Conn) {
	r.mesh.mu.Lock()
	defer r.mesh.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = true
	}
}

func (r *relay) closeConns(conns ...net.Conn) {
	r.mesh.mu.Lock()
	defer r.mesh.mu.Unlock()
	for _, c := range conns {
		c.Close()
		delete(r.conns, c)
	}
}

// copyStream passes bytes on until one side ends; a loss costs a repeat's time, a cut holds all back until it is over.
func (r *relay) copyStream(to, from net.Conn, i, j int) {
	mesh := r.mesh
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			mesh.mu.Lock()
			link := mesh.links[i*mesh.size+j]
			wait := link.Delay
			if mesh.rng.Float64() < link.Loss {
				wait += 200 * time.Millisecond
			}
			if link.Rate > 0 {
				wait += time.Duration(float64(n) / link.Rate * float64(time.Second))
			}
			b := buf[:n]
			if mesh.rng.Float64() < link.Corrupt {
				mesh.counts.Corrupted++
				b[mesh.rng.IntN(n)] ^= 1 << mesh.rng.IntN(8)
			}
			mesh.mu.Unlock()
			if wait > 0 && !mesh.sleep(wait) || !mesh.waitUntilUncut(i, j) {
				return
			}
			if _, err := to.Write(b); err != nil {
				return
			}
		}
		if err != nil {
			if c, ok := to.(*net.TCPConn); ok && err == io.EOF {
				_ = c.CloseWrite()
			} else {
				to.Close()
			}
			return
		}
	}
}

// waitUntilUncut waits until the link is not cut; false: the mesh is over.
func (m *Mesh) waitUntilUncut(i, j int) bool {
	for {
		m.mu.Lock()
		cut := m.cuts[i*m.size+j]
		m.mu.Unlock()
		if !cut {
			return true
		}
		if !m.sleep(20 * time.Millisecond) {
			return false
		}
	}
}

func (m *Mesh) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-m.done:
		return false
	}
}
