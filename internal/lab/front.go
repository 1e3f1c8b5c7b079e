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
	frontEvery  = 100 * time.Millisecond
	frontTime   = 500 * time.Millisecond // for one check
	frontNotice = 2500 * time.Millisecond
)

// Balancer hands out gateways to sessions, as PROTOCOL has it: one is admitted once it has answered an empty query; one
// that says no to it is left at once; one that is silent is taken for dead only after some seconds. A session
// stays with its gateway as long as that is admitted.
type Balancer struct {
	mu    sync.Mutex
	doors []door
	tell  func(i int, admitted bool)
	done  chan struct{}
	wg    sync.WaitGroup
}

type door struct {
	addr     string
	admitted bool
	good     time.Time // when it last said yes
}

// NewBalancer begins to check gateways; tell hears of each that is admitted or left.
func NewBalancer(n int, tell func(i int, admitted bool)) *Balancer {
	f := &Balancer{doors: make([]door, n), tell: tell, done: make(chan struct{})}
	for i := range n {
		f.wg.Add(1)
		go f.watch(i)
	}
	return f
}

// SetAddr says where a gateway's clients connect. A process that has started is admitted once it says yes.
func (f *Balancer) SetAddr(i int, addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.doors[i] = door{addr: addr}
}

// Admitted counts the gateways in use.
func (f *Balancer) Admitted() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.doors {
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
	n := len(f.doors)
	if d := f.doors[session%n]; d.admitted {
		return d.addr, true
	}
	var open []string
	for _, d := range f.doors {
		if d.admitted {
			open = append(open, d.addr)
		}
	}
	if len(open) == 0 {
		return "", false
	}
	return open[session/n%len(open)], true
}

// Close ends the checks.
func (f *Balancer) Close() {
	close(f.done)
	f.wg.Wait()
}

func (f *Balancer) watch(i int) {
	defer f.wg.Done()
	tick := time.NewTicker(frontEvery)
	defer tick.Stop()
	for {
		f.mu.Lock()
		addr := f.doors[i].addr
		f.mu.Unlock()
		yes, no := check(addr)
		f.mu.Lock()
		d := &f.doors[i]
		was := d.admitted
		if d.addr == addr {
			switch {
			case yes:
				d.admitted, d.good = true, time.Now()
			case no, time.Since(d.good) > frontNotice:
				d.admitted = false
			}
		}
		now := d.admitted
		f.mu.Unlock()
		if now != was && f.tell != nil {
			f.tell(i, now)
		}
		select {
		case <-f.done:
			return
		case <-tick.C:
		}
	}
}

// check asks an empty query. Neither yes nor no: it is silent.
func check(addr string) (yes, no bool) {
	if addr == "" {
		return false, false
	}
	c, err := net.DialTimeout("tcp", addr, frontTime)
	if err != nil {
		return false, false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(frontTime))
	if _, err := c.Write(pgwire.AppendQuery(pgwire.Startup("api", "ledger"), "")); err != nil {
		return false, false
	}
	in := bufio.NewReader(c)
	for {
		var h [5]byte
		if _, err := io.ReadFull(in, h[:]); err != nil {
			return false, err == io.EOF
		}
		n := int(h[1])<<24 | int(h[2])<<16 | int(h[3])<<8 | int(h[4])
		if n < 4 || n > 1<<16 {
			return false, true
		}
		if _, err := io.CopyN(io.Discard, in, int64(n-4)); err != nil {
			return false, false
		}
		switch h[0] {
		case pgwire.EmptyQuery:
			return true, false
		case pgwire.ErrorResponse:
			return false, true
		}
	}
}
