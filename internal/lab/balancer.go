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
	checkTimeout   = 500 * time.Millisecond // for one check
	silenceTimeout = 2500 * time.Millisecond
)

// Balancer hands out gateways to sessions, as PROTOCOL has it: one is admitted once it has answered an empty query; one
// that says no to it is left at once; one that is silent is taken for dead only after some seconds. A session
// stays with its gateway as long as that is admitted.
type Balancer struct {
	mu       sync.Mutex
	backends []backend
	onChange func(i int, admitted bool)
	done     chan struct{}
	wg       sync.WaitGroup
}

type backend struct {
	addr        string
	admitted    bool
	lastSuccess time.Time // when it last said yes
}

// NewBalancer begins to check gateways; tell hears of each that is admitted or left.
func NewBalancer(n int, onChange func(i int, admitted bool)) *Balancer {
	f := &Balancer{backends: make([]backend, n), onChange: onChange, done: make(chan struct{})}
	for i := range n {
		f.wg.Add(1)
		go f.checkLoop(i)
	}
	return f
}

// SetAddr says where a gateway's clients connect. A process that has started is admitted once it says yes.
func (f *Balancer) SetAddr(i int, addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.backends[i] = backend{addr: addr}
}

// Admitted counts the gateways in use.
func (f *Balancer) Admitted() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.backends {
		if d.admitted {
			n++
		}
	}
	return n
}

// Pick is the gateway of a session; false: there is none.
func (f *Balancer) Pick(session int) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.backends)
	if d := f.backends[session%n]; d.admitted {
		return d.addr, true
	}
	var admitted []string
	for _, d := range f.backends {
		if d.admitted {
			admitted = append(admitted, d.addr)
		}
	}
	if len(admitted) == 0 {
		return "", false
	}
	return admitted[session/n%len(admitted)], true
}

// Close ends the checks.
func (f *Balancer) Close() {
	close(f.done)
	f.wg.Wait()
}

func (f *Balancer) checkLoop(i int) {
	defer f.wg.Done()
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		f.mu.Lock()
		addr := f.backends[i].addr
		f.mu.Unlock()
		healthy, refused := checkGateway(addr)
		f.mu.Lock()
		gateway := &f.backends[i]
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
		f.mu.Unlock()
		if after != before && f.onChange != nil {
			f.onChange(i, after)
		}
		select {
		case <-f.done:
			return
		case <-tick.C:
		}
	}
}

// checkGateway asks an empty query. Neither yes nor no: it is silent.
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
