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
	mu     sync.Mutex
	rnd    *rand.Rand
	n      int
	links  []plan.Link
	cuts   []bool
	to     map[string]netip.AddrPort // where the process of a name is now
	relays []*relay
	counts MeshCounts
	done   chan struct{}
	wg     sync.WaitGroup
}

// MeshCounts are datagrams, by what became of them.
type MeshCounts struct {
	Forwarded, Lost, Cut, Duplicated, Reordered, Corrupted, Unroutable int
	Bytes                                                              int
}

type relay struct {
	m        *Mesh
	from, to int
	name     string // whom it leads to
	udp      *net.UDPConn
	ln       net.Listener
	addr     netip.AddrPort
	free     time.Time // when a slow link has sent all it has
	conns    map[net.Conn]bool
}

// NewMesh opens the relays for gateways of these names. A name may come twice: two processes of one name.
func NewMesh(names []string, seed uint64) (*Mesh, error) {
	n := len(names)
	m := &Mesh{
		rnd: rand.New(rand.NewPCG(seed, 0x6d657368)), n: n, links: make([]plan.Link, n*n), cuts: make([]bool, n*n),
		to: map[string]netip.AddrPort{}, relays: make([]*relay, n*n), done: make(chan struct{}),
	}
	for i := range n {
		for j := range n {
			if names[i] == names[j] {
				continue
			}
			r, err := m.open(i, j, names[j])
			if err != nil {
				m.Close()
				return nil, err
			}
			m.relays[i*n+j] = r
		}
	}
	return m, nil
}

func (m *Mesh) open(i, j int, name string) (*relay, error) {
	var err error
	for range 8 { // a port may be free for one kind and taken for the other
		var ln net.Listener
		if ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			break
		}
		a := netip.MustParseAddrPort(ln.Addr().String())
		var udp *net.UDPConn
		if udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(a)); err != nil {
			ln.Close()
			continue
		}
		r := &relay{m: m, from: i, to: j, name: name, udp: udp, ln: ln, addr: a, conns: map[net.Conn]bool{}}
		m.wg.Add(2)
		go r.datagrams()
		go r.accept()
		return r, nil
	}
	return nil, fmt.Errorf("relay: %w", err)
}

// RelayAddr is where gateway i finds gateway j.
func (m *Mesh) RelayAddr(i, j int) netip.AddrPort {
	if r := m.relays[i*m.n+j]; r != nil {
		return r.addr
	}
	return netip.AddrPort{}
}

// Route has the relays to a name lead to an address; an invalid one: nowhere.
func (m *Mesh) Route(name string, to netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.to[name] = to
}

// SetLink gives the link from i to j its faults; the zero link has none.
func (m *Mesh) SetLink(i, j int, l plan.Link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.links[i*m.n+j] = l
}

// SetCut takes the link from i to j away, or gives it back. Connections over it stand still.
func (m *Mesh) SetCut(i, j int, on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cuts[i*m.n+j] = on
}

// Partition cuts all links between different sides; who is on no side keeps its links.
func (m *Mesh) Partition(sides [][]int, on bool) {
	side := map[int]int{}
	for s, list := range sides {
		for _, i := range list {
			side[i] = s + 1
		}
	}
	for i := range m.n {
		for j := range m.n {
			if side[i] != side[j] && side[i] > 0 && side[j] > 0 {
				m.SetCut(i, j, on)
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
		r.ln.Close()
		r.udp.Close()
		m.mu.Lock()
		for c := range r.conns {
			c.Close()
		}
		m.mu.Unlock()
	}
	m.wg.Wait()
}

// datagrams passes on what comes, with the faults of the link.
func (r *relay) datagrams() {
	defer r.m.wg.Done()
	buf := make([]byte, 64<<10)
	for {
		n, err := r.udp.Read(buf)
		if err != nil {
			return
		}
		r.pass(buf[:n])
	}
}

// pass decides on one datagram.
func (r *relay) pass(b []byte) {
	m := r.m
	m.mu.Lock()
	defer m.mu.Unlock()
	to := m.to[r.name]
	l := m.links[r.from*m.n+r.to]
	switch {
	case m.cuts[r.from*m.n+r.to]:
		m.counts.Cut++
		return
	case !to.IsValid():
		m.counts.Unroutable++
		return
	case m.rnd.Float64() < l.Loss:
		m.counts.Lost++
		return
	}
	b = append([]byte(nil), b...)
	if m.rnd.Float64() < l.Corrupt {
		m.counts.Corrupted++
		b = spoil(m.rnd, b)
	}
	copies := 1
	if m.rnd.Float64() < l.Duplicate {
		copies = 2
		m.counts.Duplicated++
	}
	for range copies {
		wait := l.Delay
		if l.Jitter > 0 {
			wait += time.Duration(m.rnd.Int64N(int64(l.Jitter)))
		}
		if m.rnd.Float64() < l.Reorder {
			m.counts.Reordered++
			wait += l.Delay + l.Jitter + 10*time.Millisecond
		}
		wait += r.queue(l, len(b))
		m.counts.Forwarded++
		m.counts.Bytes += len(b)
		if wait <= 0 {
			_, _ = r.udp.WriteToUDPAddrPort(b, to)
			continue
		}
		time.AfterFunc(wait, func() { _, _ = r.udp.WriteToUDPAddrPort(b, to) })
	}
}

// queue is how long a slow link has to send what is before so many bytes, and them.
func (r *relay) queue(l plan.Link, n int) time.Duration {
	if l.Rate <= 0 {
		return 0
	}
	now := time.Now()
	if r.free.Before(now) {
		r.free = now
	}
	r.free = r.free.Add(time.Duration(float64(n) / l.Rate * float64(time.Second)))
	return r.free.Sub(now)
}

// spoil damages a message: a bit, its end, or all of it.
func spoil(rnd *rand.Rand, b []byte) []byte {
	switch {
	case len(b) == 0:
	case rnd.IntN(3) == 0:
		return b[:rnd.IntN(len(b))]
	case rnd.IntN(8) == 0:
		for i := range b {
			b[i] = byte(rnd.Uint32())
		}
	default:
		b[rnd.IntN(len(b))] ^= 1 << rnd.IntN(8)
	}
	return b
}

func (r *relay) accept() {
	defer r.m.wg.Done()
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.m.mu.Lock()
		to := r.m.to[r.name]
		r.m.mu.Unlock()
		if !to.IsValid() {
			c.Close()
			continue
		}
		r.m.wg.Add(1)
		go r.connect(c, to)
	}
}

// connect passes a connection on, each direction with the faults of its link.
func (r *relay) connect(c net.Conn, to netip.AddrPort) {
	defer r.m.wg.Done()
	d, err := net.DialTimeout("tcp", to.String(), time.Second)
	if err != nil {
		c.Close()
		return
	}
	r.hold(c, d)
	defer r.drop(c, d)
	var both sync.WaitGroup
	both.Add(2)
	go func() {
		defer both.Done()
		r.copy(d, c, r.from, r.to)
	}()
	go func() {
		defer both.Done()
		r.copy(c, d, r.to, r.from)
	}()
	both.Wait()
}

func (r *relay) hold(conns ...net.Conn) {
	r.m.mu.Lock()
	defer r.m.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = true
	}
}

func (r *relay) drop(conns ...net.Conn) {
	r.m.mu.Lock()
	defer r.m.mu.Unlock()
	for _, c := range conns {
		c.Close()
		delete(r.conns, c)
	}
}

// copy passes bytes on until one side ends; a loss costs a repeat's time, a cut holds all back until it is over.
func (r *relay) copy(to, from net.Conn, i, j int) {
	m := r.m
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			m.mu.Lock()
			l := m.links[i*m.n+j]
			wait := l.Delay
			if m.rnd.Float64() < l.Loss {
				wait += 200 * time.Millisecond
			}
			if l.Rate > 0 {
				wait += time.Duration(float64(n) / l.Rate * float64(time.Second))
			}
			b := buf[:n]
			if m.rnd.Float64() < l.Corrupt {
				m.counts.Corrupted++
				b[m.rnd.IntN(n)] ^= 1 << m.rnd.IntN(8)
			}
			m.mu.Unlock()
			if wait > 0 && !m.sleep(wait) || !m.whole(i, j) {
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

// whole waits until the link is not cut; false: the mesh is over.
func (m *Mesh) whole(i, j int) bool {
	for {
		m.mu.Lock()
		cut := m.cuts[i*m.n+j]
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
