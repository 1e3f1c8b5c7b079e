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

// Mesh is the network between gateways: one relay for each ordered pair, with UDP and TCP on the same port. Each gateway
// reaches each other one through a separate relay, so that faults can be set by pair and direction. Datagrams from i to
// j use only the link from i to j. A connection that i opens to j uses that link for what i sends, and the link from j
// to i for what j sends.
type Mesh struct {
	mu      sync.Mutex
	rng     *rand.Rand
	size    int
	links   []plan.Link // faults from i to j, at index i*size+j; cuts and relays likewise
	cuts    []bool
	targets map[string]netip.AddrPort // current address of the process of a name
	relays  []*relay
	counts  MeshCounts
	done    chan struct{}
	wg      sync.WaitGroup
}

// MeshCounts counts datagrams by what happened to them.
type MeshCounts struct {
	Forwarded, Lost, Cut, Duplicated, Reordered, Corrupted, Unroutable int
	Bytes                                                              int // forwarded
}

// relay forwards datagrams and connections from one gateway to another.
type relay struct {
	mesh               *Mesh
	fromIndex, toIndex int
	target             string // name of the gateway that it forwards to
	udp                *net.UDPConn
	listener           net.Listener
	addr               netip.AddrPort
	sendQueueEmptyAt   time.Time // when a link with a limited rate has sent everything queued so far
	conns              map[net.Conn]bool
}

// NewMesh opens the relays between gateways of these names. A name that occurs twice stands for two processes of one
// gateway.
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

func (mesh *Mesh) openRelay(i, j int, target string) (*relay, error) {
	var err error
	for range 8 { // the TCP port that the system chose may be taken for UDP
		var listener net.Listener
		if listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			break
		}
		listenAddr := netip.MustParseAddrPort(listener.Addr().String())
		var udp *net.UDPConn
		if udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(listenAddr)); err != nil {
			listener.Close()
			continue
		}
		r := &relay{mesh: mesh, fromIndex: i, toIndex: j, target: target, udp: udp, listener: listener, addr: listenAddr, conns: map[net.Conn]bool{}}
		mesh.wg.Add(2)
		go r.relayDatagrams()
		go r.acceptConnections()
		return r, nil
	}
	return nil, fmt.Errorf("relay: %w", err)
}

// RelayAddr returns the address at which gateway i reaches gateway j, the zero address if there is no relay.
func (mesh *Mesh) RelayAddr(i, j int) netip.AddrPort {
	if r := mesh.relays[i*mesh.size+j]; r != nil {
		return r.addr
	}
	return netip.AddrPort{}
}

// Route makes all relays to a name forward to an address. With an invalid address they drop what they receive.
func (mesh *Mesh) Route(name string, target netip.AddrPort) {
	mesh.mu.Lock()
	defer mesh.mu.Unlock()
	mesh.targets[name] = target
}

// SetLink sets the faults of the link from i to j; the zero Link has none.
func (mesh *Mesh) SetLink(i, j int, link plan.Link) {
	mesh.mu.Lock()
	defer mesh.mu.Unlock()
	mesh.links[i*mesh.size+j] = link
}

// SetCut cuts or restores the link from i to j. Connections over a cut link stay open and transfer nothing.
func (mesh *Mesh) SetCut(i, j int, cut bool) {
	mesh.mu.Lock()
	defer mesh.mu.Unlock()
	mesh.cuts[i*mesh.size+j] = cut
}

// Partition cuts or restores all links between gateways on different sides. Gateways on no side keep their links.
func (mesh *Mesh) Partition(sides [][]int, cut bool) {
	side := map[int]int{}
	for s, list := range sides {
		for _, i := range list {
			side[i] = s + 1
		}
	}
	for i := range mesh.size {
		for j := range mesh.size {
			if side[i] != side[j] && side[i] > 0 && side[j] > 0 {
				mesh.SetCut(i, j, cut)
			}
		}
	}
}

// Counts returns the counts so far.
func (mesh *Mesh) Counts() MeshCounts {
	mesh.mu.Lock()
	defer mesh.mu.Unlock()
	return mesh.counts
}

// Close closes the relays and all connections over them.
func (mesh *Mesh) Close() {
	close(mesh.done)
	for _, r := range mesh.relays {
		if r == nil {
			continue
		}
		r.listener.Close()
		r.udp.Close()
		mesh.mu.Lock()
		for c := range r.conns {
			c.Close()
		}
		mesh.mu.Unlock()
	}
	mesh.wg.Wait()
}

// relayDatagrams forwards datagrams with the faults of the link.
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

// relayDatagram drops, corrupts, duplicates, delays or forwards one datagram.
func (r *relay) relayDatagram(datagram []byte) {
	m := r.mesh
	m.mu.Lock()
	defer m.mu.Unlock()
	target := m.targets[r.target]
	link := m.links[r.fromIndex*m.size+r.toIndex]
	switch {
	case m.cuts[r.fromIndex*m.size+r.toIndex]:
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

// queueDelay adds bytes to the queue of a link with a limited rate, and returns the time until they have been sent.
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

// corrupt damages a message: it cuts off the end, replaces every byte, or flips one bit.
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

// acceptConnections forwards connections; it closes them at once if the target has no process.
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

// relayConnection forwards a connection, each direction with the faults of its link.
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
		r.copy(targetConn, conn, r.fromIndex, r.toIndex)
	}()
	go func() {
		defer both.Done()
		r.copy(conn, targetConn, r.toIndex, r.fromIndex)
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

// copy forwards bytes until one side closes. A loss adds the delay of a retransmission; a cut holds back all bytes
// until the link is restored.
func (r *relay) copy(to, from net.Conn, fromIndex, toIndex int) {
	mesh := r.mesh
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			mesh.mu.Lock()
			link := mesh.links[fromIndex*mesh.size+toIndex]
			wait := link.Delay
			if mesh.rng.Float64() < link.Loss {
				wait += 200 * time.Millisecond // retransmission timeout
			}
			if link.Rate > 0 {
				wait += time.Duration(float64(n) / link.Rate * float64(time.Second))
			}
			chunk := buf[:n]
			if mesh.rng.Float64() < link.Corrupt {
				mesh.counts.Corrupted++
				chunk[mesh.rng.IntN(n)] ^= 1 << mesh.rng.IntN(8)
			}
			mesh.mu.Unlock()
			if wait > 0 && !mesh.sleep(wait) || !mesh.waitUntilUncut(fromIndex, toIndex) {
				return
			}
			if _, err := to.Write(chunk); err != nil {
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

// waitUntilUncut waits until the link is not cut, and returns false if the mesh is closed first.
func (mesh *Mesh) waitUntilUncut(i, j int) bool {
	for {
		mesh.mu.Lock()
		cut := mesh.cuts[i*mesh.size+j]
		mesh.mu.Unlock()
		if !cut {
			return true
		}
		if !mesh.sleep(20 * time.Millisecond) {
			return false
		}
	}
}

// sleep returns false if the mesh is closed before d has passed.
func (mesh *Mesh) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-mesh.done:
		return false
	}
}
