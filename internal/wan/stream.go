package wan

import (
	"io"
	"math/rand/v2"
	"net"
	"time"
)

const (
	repeatTime = 200 * time.Millisecond // by which a lost piece of a connection is late
	cutTime    = 3 * time.Second        // for which a new connection waits for a link that is cut
	piecesMost = 64                     // of one direction under way
	pieceSize  = 16 << 10
)

// piece is some bytes of a connection on their way; none: it ends here.
type piece struct {
	due time.Time
	b   []byte
	err error
}

func (r *Relay) accept() {
	defer r.wg.Done()
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		to := c.LocalAddr().(*net.TCPAddr).AddrPort().Addr().Unmap().As4()
		family, g, ok := r.gateway(to)
		zone, known := r.from(family)
		if !ok || !known {
			c.Close()
			continue
		}
		r.wg.Add(1)
		go r.connect(c, zone, g, r.streams.Add(1))
	}
}

// connect passes a connection on, each direction as its link has it. The dialler's connection is up at once; its first bytes wait
// for the round trip that a real one would have taken.
func (r *Relay) connect(c net.Conn, zone, g int, number uint64) {
	defer r.wg.Done()
	r.hold(c)
	defer r.drop(c)
	there, back := &Link{}, &Link{}
	link := func(from, to int) func() *Link {
		if zone < 0 {
			return func() *Link { return &Link{} }
		}
		return r.links[from*r.zones+to].Load
	}
	out, in := link(zone, r.of[g]), link(r.of[g], zone)
	for begun := time.Now(); ; {
		if there, back = out(), in(); !there.Cut && !back.Cut {
			break
		}
		if time.Since(begun) > cutTime || !r.sleep(20*time.Millisecond) {
			r.counts[streamsCut].Add(1)
			return
		}
	}
	if !r.sleep(there.Delay + back.Delay) {
		return
	}
	d, err := net.DialTimeout("tcp4", r.ListenAddr(g).String(), time.Second)
	if err != nil {
		return
	}
	r.hold(d)
	defer r.drop(d)
	r.counts[streamsPassed].Add(1)
	rnd := func(side uint64) *rand.Rand { return rand.New(rand.NewPCG(r.seed, 2*number+side)) }
	first := make(chan struct{})
	go func() {
		defer close(first)
		r.copy(d, c, out, rnd(0))
	}()
	r.copy(c, d, in, rnd(1))
	<-first
}

// copy passes bytes on in one direction until it ends.
func (r *Relay) copy(to, from net.Conn, link func() *Link, rnd *rand.Rand) {
	way := make(chan piece, piecesMost)
	go func() {
		defer close(way)
		var last time.Time
		for {
			b := make([]byte, pieceSize)
			n, err := from.Read(b)
			l := link()
			wait := l.Delay
			if l.Jitter > 0 {
				wait += time.Duration(rnd.Int64N(int64(l.Jitter)))
			}
			if rnd.Float64() < l.Loss {
				wait += repeatTime
			}
			if due := time.Now().Add(wait); due.After(last) {
				last = due
			}
			select {
			case way <- piece{due: last, b: b[:n], err: err}:
			case <-r.done:
				return
			}
			if err != nil {
				return
			}
		}
	}()
	ended := false
	for p := range way {
		if ended {
			continue
		}
		if !r.sleep(time.Until(p.due)) || !r.whole(link) {
			to.Close()
			ended = true
			continue
		}
		if len(p.b) > 0 {
			if _, err := to.Write(p.b); err != nil {
				from.Close()
				ended = true
				continue
			}
		}
		switch {
		case p.err == io.EOF:
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
		case p.err != nil:
			to.Close()
		}
	}
}

// whole waits until a link is not cut; false: the relay is closed.
func (r *Relay) whole(link func() *Link) bool {
	for link().Cut {
		if !r.sleep(20 * time.Millisecond) {
			return false
		}
	}
	return true
}

func (r *Relay) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.done:
		return false
	}
}

func (r *Relay) hold(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = true
	select {
	case <-r.done:
		c.Close()
	default:
	}
}

func (r *Relay) drop(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	c.Close()
}
