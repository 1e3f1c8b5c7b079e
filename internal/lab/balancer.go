package lab

import (
	"bufio"
	"io"
	"net"
	"sync"
	"time"

	"lilaccove/internal/pgwire"
)

const (
	checkInterval  = 100 * time.Millisecond
	checkTimeout   = 500 * time.Millisecond  // of one check
	silenceTimeout = 2500 * time.Millisecond // after which a gateway that does not answer is no longer admitted
)

// Balancer assigns sessions to gateways as the platform's load balancer does by PROTOCOL: a gateway is admitted once it
// has answered an empty query, removed at once if it refuses one, and removed only after silenceTimeout if it does not
// answer. A session stays with its gateway while that is admitted.
type Balancer struct {
	mu       sync.Mutex
	backends []backend
	onChange func(i int, admitted bool)
	done     chan struct{}
	wg       sync.WaitGroup
}

// backend is one gateway.
type backend struct {
	addr        string // empty until the gateway's first process has started
	admitted    bool
	lastSuccess time.Time // of a check
}

// NewBalancer starts checking n gateways. onChange is called whenever one is admitted or removed.
func NewBalancer(n int, onChange func(i int, admitted bool)) *Balancer {
	b := &Balancer{backends: make([]backend, n), onChange: onChange, done: make(chan struct{})}
	for i := range n {
		b.wg.Add(1)
		go b.checkLoop(i)
	}
	return b
}

// SetAddr sets the address of a gateway for clients. The new process is admitted after its first successful check.
func (b *Balancer) SetAddr(i int, addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.backends[i] = backend{addr: addr}
}

// Admitted returns the number of admitted gateways.
func (b *Balancer) Admitted() (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, gateway := range b.backends {
		if gateway.admitted {
			n++
		}
	}
	return n
}

// Pick returns the address of a session's gateway, false if no gateway is admitted.
func (b *Balancer) Pick(session int) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := len(b.backends)
	if gateway := b.backends[session%n]; gateway.admitted {
		return gateway.addr, true
	}
	var admitted []string
	for _, gateway := range b.backends {
		if gateway.admitted {
			admitted = append(admitted, gateway.addr)
		}
	}
	if len(admitted) == 0 {
		return "", false
	}
	return admitted[session/n%len(admitted)], true
}

// Close stops the checks.
func (b *Balancer) Close() {
	close(b.done)
	b.wg.Wait()
}

// checkLoop checks gateway i until the balancer is closed.
func (b *Balancer) checkLoop(i int) {
	defer b.wg.Done()
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		b.mu.Lock()
		addr := b.backends[i].addr
		b.mu.Unlock()
		healthy, refused := checkGateway(addr)
		b.mu.Lock()
		gateway := &b.backends[i]
		before := gateway.admitted
		if gateway.addr == addr {
			switch {
			case healthy:
				gateway.admitted, gateway.lastSuccess = true, time.Now()
			case refused, time.Since(gateway.lastSuccess) > silenceTimeout:
				gateway.admitted = false
			}
		}
		after := gateway.admitted
		b.mu.Unlock()
		if after != before && b.onChange != nil {
			b.onChange(i, after)
		}
		select {
		case <-b.done:
			return
		case <-tick.C:
		}
	}
}

// checkGateway sends an empty query. A connection that the gateway closes without an answer counts as refused. It returns
// false, false if the gateway does not answer.
func checkGateway(addr string) (healthy, refused bool) {
	if addr == "" {
		return false, false
	}
	conn, err := net.DialTimeout("tcp", addr, checkTimeout)
	if err != nil {
		return false, false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(checkTimeout))
	if _, err := conn.Write(pgwire.AppendQuery(pgwire.Startup("api", "ledger"), "")); err != nil {
		return false, false
	}
	in := bufio.NewReader(conn)
	for {
		var header [5]byte
		if _, err := io.ReadFull(in, header[:]); err != nil {
			return false, err == io.EOF
		}
		length := int(header[1])<<24 | int(header[2])<<16 | int(header[3])<<8 | int(header[4])
		if length < 4 || length > 1<<16 {
			return false, true
		}
		if _, err := io.CopyN(io.Discard, in, int64(length-4)); err != nil {
			return false, false
		}
		switch header[0] {
		case pgwire.EmptyQuery:
			return true, false
		case pgwire.ErrorResponse:
			return false, true
		}
	}
}
