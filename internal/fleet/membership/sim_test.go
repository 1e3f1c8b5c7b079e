package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"
)

// network is a fleet in simulated time: links with loss, delay and cuts by direction, processes that stop, end and
// come back. A run is a function of its seed.
type network struct {
	rnd    *rand.Rand
	now    time.Duration
	queue  events
	count  int
	nodes  []*node
	loss   float64
	delay  time.Duration // drawn from half of it to one and a half
	cut    func(from, to int) bool
	bytes  map[int]int // sent by node
	sent   map[int]int
	streak uint64
	conns  map[uint64]int
	deaths []death
	mutate func(*Machine)                   // what tests of the tests break
	size   func(*Send) int                  // in bytes; nil: about
	far    func(from, to int) time.Duration // one way; nil: delay
}

type death struct {
	at       time.Duration
	by, name string
}

// node is one process.
type node struct {
	m       *Machine
	index   int // its address
	name    string
	down    bool
	stopped bool
	held    []event // what came while it was stopped
	wake    time.Duration
}

type event struct {
	at    time.Duration
	order int
	node  *node
	to    int // an address; -1: node is meant
	msg   *Message
	via   uint64
	do    func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	n := len(*h) - 1
	e := (*h)[n]
	*h = (*h)[:n]
	return e
}

const epoch = 1_800_000_000 * time.Second

func newNetwork(seed uint64, n int) *network {
	w := &network{
		rnd: rand.New(rand.NewPCG(seed, 1)), now: epoch, delay: time.Millisecond, bytes: map[int]int{}, sent: map[int]int{}, conns: map[uint64]int{},
	}
	for i := range n {
		w.nodes = append(w.nodes, nil)
		w.start(i, fmt.Sprintf("n%03d", i), w.now)
	}
	return w
}

func at(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 7400)
}

func index(a netip.AddrPort) int { b := a.Addr().As4(); return int(b[2])<<8 | int(b[3]) }

// start runs a process at an address, in place of the one that was there.
func (w *network) start(i int, name string, clock time.Duration) *node {
	n := &node{index: i, name: name}
	n.m = New(Config{
		Name: name, Addr: at(i), Start: clock, Session: w.rnd.Uint64(), Seed: w.rnd.Uint64(),
		Seeds: []netip.AddrPort{at(0), at(1)},
	}, w.now)
	if w.mutate != nil {
		w.mutate(n.m)
	}
	for len(w.nodes) <= i {
		w.nodes = append(w.nodes, nil)
	}
	w.nodes[i] = n
	w.after(n)
	return n
}

func (w *network) kill(i int) { w.nodes[i].down = true }

// stop has a process stand still; what comes for it waits.
func (w *network) stop(i int, d time.Duration) {
	n := w.nodes[i]
	n.stopped = true
	w.at(w.now+d, func() {
		n.stopped = false
		held := n.held
		n.held = nil
		for _, e := range held {
			w.deliver(n, e)
		}
		w.step(n)
	})
}

func (w *network) push(e event) {
	w.count++
	e.order = w.count
	heap.Push(&w.queue, e)
}

func (w *network) at(t time.Duration, do func()) { w.push(event{at: t, to: -1, do: do}) }

func (w *network) run(d time.Duration) { w.until(w.now+d, func() bool { return false }) }

// until runs until a moment, or a condition that is looked at every 10 ms.
func (w *network) until(end time.Duration, ok func() bool) bool {
	look := w.now
	for {
		if w.now >= look {
			if ok() {
				return true
			}
			look = w.now + 10*time.Millisecond
		}
		if len(w.queue) == 0 || w.queue[0].at > end {
			w.now = end
			return ok()
		}
		e := heap.Pop(&w.queue).(event)
		w.now = max(w.now, e.at)
		switch {
		case e.do != nil:
			e.do()
		case e.msg != nil:
			n := e.node
			if n == nil {
				n = w.nodes[e.to]
			}
			if n == nil || n.down {
				continue
			}
			if n.stopped {
				n.held = append(n.held, e)
				continue
			}
			w.deliver(n, e)
		case !e.node.down && !e.node.stopped && e.node.wake <= e.at:
			w.step(e.node)
		}
	}
}

func (w *network) deliver(n *node, e event) {
	msg := *e.msg
	msg.Updates = append([]Entry(nil), msg.Updates...)
	n.m.Receive(w.now, msg, e.via)
	w.after(n)
}

func (w *network) step(n *node) {
	n.m.Tick(w.now)
	w.after(n)
}

// after sends what a machine wants sent and plans its next moment.
func (w *network) after(n *node) {
	out, changes := n.m.Take()
	for _, c := range changes {
		if c.Entry.State == Dead && c.Previous.Live() {
			w.deaths = append(w.deaths, death{w.now, n.name, c.Entry.Name})
		}
	}
	for _, s := range out {
		if w.size != nil {
			w.bytes[n.index] += w.size(&s)
		} else {
			w.bytes[n.index] += 60 + 40*len(s.Message.Updates)
		}
		w.sent[n.index]++
		to := index(s.Addr)
		delay := w.delay
		if w.far != nil {
			delay = w.far(n.index, to)
		}
		e := event{at: w.now + delay/2 + time.Duration(w.rnd.Int64N(int64(delay)+1)), to: to, msg: &s.Message}
		if s.Via != 0 {
			to = w.conns[s.Via]
			e.to = to
		} else if s.Stream {
			w.streak++
			w.conns[w.streak] = n.index
			e.via = w.streak
		}
		if to >= len(w.nodes) || w.cut != nil && (w.cut(n.index, to) || s.Stream && w.cut(to, n.index)) {
			continue
		}
		if !s.Stream && w.rnd.Float64() < w.loss {
			continue
		}
		w.push(e)
	}
	if n.wake = n.m.Wake(); n.wake <= w.now {
		n.wake = w.now + time.Microsecond
	}
	w.push(event{at: n.wake, to: -1, node: n})
}

// up are the processes that run.
func (w *network) up() (list []*node) {
	for _, n := range w.nodes {
		if n != nil && !n.down {
			list = append(list, n)
		}
	}
	return list
}

// agreed tells whether all that run have one view, of so many members.
func (w *network) agreed(members int) bool {
	list := w.up()
	for _, n := range list {
		v := n.m.View()
		if len(v.Members) != members || v.Digest != list[0].m.View().Digest {
			return false
		}
	}
	return true
}

// sees tells whether a process has a name in its view.
func (n *node) sees(name string) bool {
	for _, m := range n.m.View().Members {
		if m.Name == name {
			return true
		}
	}
	return false
}
