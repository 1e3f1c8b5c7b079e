package wan

import (
	"io"
	"math/rand/v2"
	"net"
	"time"
)

const (
	retransmitDelay = 200 * time.Millisecond // added to a chunk that is drawn as lost
	cutDialTimeout  = 3 * time.Second        // how long a new connection waits while its link is cut
	maxChunks       = 64                     // in flight per direction
	chunkSize       = 16 << 10               // bytes
)

// chunk is data of a connection in flight. err is set if the connection ends after it.
type chunk struct {
	due  time.Time
	data []byte
	err  error
}

// acceptConnections accepts connections until the relay is closed.
func (r *Relay) acceptConnections() {
	defer r.wg.Done()
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		to := conn.LocalAddr().(*net.TCPAddr).AddrPort().Addr().Unmap().As4()
		family, gateway, ok := r.parseAddress(to)
		zone, known := r.senderZone(family)
		if !ok || !known {
			conn.Close()
			continue
		}
		r.wg.Add(1)
		go r.relayConnection(conn, zone, gateway, r.streams.Add(1))
	}
}

// relayConnection forwards a connection, each direction with the delays of its link. The dialer's connection is
// established at once, but its first bytes wait for the round trip that a real handshake would take.
func (r *Relay) relayConnection(dialer net.Conn, zone, gateway int, number uint64) {
	defer r.wg.Done()
	r.track(dialer)
	defer r.untrack(dialer)
	forward, backward := &Link{}, &Link{}
	link := func(from, to int) func() *Link {
		if zone < 0 {
			return func() *Link { return &Link{} }
		}
		return r.links[from*r.zones+to].Load
	}
	forwardLink, backwardLink := link(zone, r.zoneOf[gateway]), link(r.zoneOf[gateway], zone)
	for start := time.Now(); ; {
		if forward, backward = forwardLink(), backwardLink(); !forward.Cut && !backward.Cut {
			break
		}
		if time.Since(start) > cutDialTimeout || !r.sleep(20*time.Millisecond) {
			r.counts[countStreamsCut].Add(1)
			return
		}
	}
	if !r.sleep(forward.Delay + backward.Delay) {
		return
	}
	receiver, err := net.DialTimeout("tcp4", r.ListenAddr(gateway).String(), time.Second)
	if err != nil {
		return
	}
	r.track(receiver)
	defer r.untrack(receiver)
	r.counts[countStreams].Add(1)
	newRand := func(side uint64) *rand.Rand { return rand.New(rand.NewPCG(r.seed, 2*number+side)) }
	forwardDone := make(chan struct{})
	go func() {
		defer close(forwardDone)
		r.copy(receiver, dialer, forwardLink, newRand(0))
	}()
	r.copy(dialer, receiver, backwardLink, newRand(1))
	<-forwardDone
}

// copy forwards data in one direction until it ends.
func (r *Relay) copy(to, from net.Conn, link func() *Link, rng *rand.Rand) {
	inFlight := make(chan chunk, maxChunks)
	go func() {
		defer close(inFlight)
		var last time.Time
		for {
			data := make([]byte, chunkSize)
			n, err := from.Read(data)
			l := link()
			wait := l.Delay
			if l.Jitter > 0 {
				wait += time.Duration(rng.Int64N(int64(l.Jitter)))
			}
			if rng.Float64() < l.Loss {
				wait += retransmitDelay
			}
			if due := time.Now().Add(wait); due.After(last) {
				last = due
			}
			select {
			case inFlight <- chunk{due: last, data: data[:n], err: err}:
			case <-r.done:
				return
			}
			if err != nil {
				return
			}
		}
	}()
	ended := false
	for chunk := range inFlight {
		if ended {
			continue
		}
		if !r.sleep(time.Until(chunk.due)) || !r.waitUncut(link) {
			to.Close()
			ended = true
			continue
		}
		if len(chunk.data) > 0 {
			if _, err := to.Write(chunk.data); err != nil {
				from.Close()
				ended = true
				continue
			}
		}
		switch {
		case chunk.err == io.EOF:
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
		case chunk.err != nil:
			to.Close()
		}
	}
}

// waitUncut waits until a link is not cut. It returns false if the relay is closed.
func (r *Relay) waitUncut(link func() *Link) bool {
	for link().Cut {
		if !r.sleep(20 * time.Millisecond) {
			return false
		}
	}
	return true
}

// sleep waits for d. It returns false if the relay is closed.
func (r *Relay) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.done:
		return false
	}
}

// track registers a connection, so that Close closes it.
func (r *Relay) track(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[conn] = true
	select {
	case <-r.done:
		conn.Close()
	default:
	}
}

// untrack closes a connection and removes it from the registered ones.
func (r *Relay) untrack(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
	conn.Close()
}
