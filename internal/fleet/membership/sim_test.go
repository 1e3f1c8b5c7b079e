package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"
)

// network is a fleet in simulated time: links with loss, delay and one-way cuts, processes that pause, die and
// restart. A run is determined by its seed.
type network struct {
	rng           *rand.Rand
	now           time.Duration
	pending       events
	pushed        int
	nodes         []*node
	loss          float64
	delay         time.Duration // mean; drawn uniformly from half to one and a half of it
	cut           func(from, to int) bool
	bytes         map[int]int // sent, by node
	sent          map[int]int
	connCount     uint64
	connOwner     map[uint64]int
	deaths        []death
	mutateMachine func(*Machine)                   // nil: none; to check that the tests notice faults
	messageSize   func(*Send) int                  // in bytes; nil: an estimate
	linkDelay     func(from, to int) time.Duration // one way; nil: delay
}

type death struct {
	at             time.Duration
	reporter, name string
}

// node is one process.
type node struct {
	machine    *Machine
	index      int // determines its address
	name       string
	killed     bool
	paused     bool
	heldEvents []event // received while it was paused
	wake       time.Duration
}

type event struct {
	at       time.Duration
	sequence int
	node     *node
	to       int // index of an address; -1: the event is for node
	msg      *Message
	via      uint64
	action   func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
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
		rng: rand.New(rand.NewPCG(seed, 1)), now: epoch, delay: time.Millisecond, bytes: map[int]int{}, sent: map[int]int{}, connOwner: map[uint64]int{},
	}
	for i := range n {
		w.nodes = append(w.nodes, nil)
		w.start(i, fmt.Sprintf("n%03d", i), w.now)
	}
	return w
}

func addrOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 7400)
}

func indexOf(a netip.AddrPort) int { b := a.Addr().As4(); return int(b[2])<<8 | int(b[3]) }

// start runs a process at an address, replacing the one that was there.
func (w *network) start(i int, name string, clock time.Duration) *node {
	n := &node{index: i, name: name}
	n.machine = New(Config{
		Name: name, Addr: addrOf(i), Start: clock, Session: w.rng.Uint64(), Seed: w.rng.Uint64(),
		Seeds: []netip.AddrPort{addrOf(0), addrOf(1)},
	}, w.now)
	if w.mutateMachine != nil {
		w.mutateMachine(n.machine)
	}
	for len(w.nodes) <= i {
		w.nodes = append(w.nodes, nil)
	}
	w.nodes[i] = n
	w.flush(n)
	return n
}

func (w *network) kill(i int) { w.nodes[i].killed = true }

// pause stops a process for a time; messages for it are held.
func (w *network) pause(i int, d time.Duration) {
	n := w.nodes[i]
	n.paused = true
	w.schedule(w.now+d, func() {
		n.paused = false
		held := n.heldEvents
		n.heldEvents = nil
		for _, e := range held {
			w.deliver(n, e)
		}
		w.tick(n)
	})
}

func (w *network) push(e event) {
	w.pushed++
	e.sequence = w.pushed
	heap.Push(&w.pending, e)
}

func (w *network) schedule(t time.Duration, action func()) {
	w.push(event{at: t, to: -1, action: action})
}

func (w *network) run(d time.Duration) { w.runUntil(w.now+d, func() bool { return false }) }

// runUntil runs until the given time, or until done, which is checked every 10 ms. It reports whether done held.
func (w *network) runUntil(end time.Duration, done func() bool) bool {
	nextCheck := w.now
	for {
		if w.now >= nextCheck {
			if done() {
				return true
			}
			nextCheck = w.now + 10*time.Millisecond
		}
		if len(w.pending) == 0 || w.pending[0].at > end {
			w.now = end
			return done()
		}
		e := heap.Pop(&w.pending).(event)
		w.now = max(w.now, e.at)
		switch {
		case e.action != nil:
			e.action()
		case e.msg != nil:
			n := e.node
			if n == nil {
				n = w.nodes[e.to]
			}
			if n == nil || n.killed {
				continue
			}
			if n.paused {
				n.heldEvents = append(n.heldEvents, e)
				continue
			}
			w.deliver(n, e)
		case !e.node.killed && !e.node.paused && e.node.wake <= e.at:
			w.tick(e.node)
		}
	}
}

func (w *network) deliver(n *node, e event) {
	msg := *e.msg
	msg.Updates = append([]Entry(nil), msg.Updates...)
	n.machine.Receive(w.now, msg, e.via)
	w.flush(n)
}

func (w *network) tick(n *node) {
	n.machine.Tick(w.now)
	w.flush(n)
}

// flush sends a machine's pending messages and schedules its next wake-up.
func (w *network) flush(n *node) {
	out, changes := n.machine.Take()
	for _, c := range changes {
		if c.Entry.State == Dead && c.Previous.Live() {
			w.deaths = append(w.deaths, death{w.now, n.name, c.Entry.Name})
		}
	}
	for _, s := range out {
		if w.messageSize != nil {
			w.bytes[n.index] += w.messageSize(&s)
		} else {
			w.bytes[n.index] += 60 + 40*len(s.Message.Updates)
		}
		w.sent[n.index]++
		to := indexOf(s.Addr)
		delay := w.delay
		if w.linkDelay != nil {
			delay = w.linkDelay(n.index, to)
		}
		e := event{at: w.now + delay/2 + time.Duration(w.rng.Int64N(int64(delay)+1)), to: to, msg: &s.Message}
		if s.Via != 0 {
			to = w.connOwner[s.Via]
			e.to = to
		} else if s.Stream {
			w.connCount++
			w.connOwner[w.connCount] = n.index
			e.via = w.connCount
		}
		if to >= len(w.nodes) || w.cut != nil && (w.cut(n.index, to) || s.Stream && w.cut(to, n.index)) {
			continue
		}
		if !s.Stream && w.rng.Float64() < w.loss {
			continue
		}
		w.push(e)
	}
	if n.wake = n.machine.Wake(); n.wake <= w.now {
		n.wake = w.now + time.Microsecond
	}
	w.push(event{at: n.wake, to: -1, node: n})
}

// running returns the processes that were not killed.
func (w *network) running() (list []*node) {
	for _, n := range w.nodes {
		if n != nil && !n.killed {
			list = append(list, n)
		}
	}
	return list
}

// viewsAgree reports whether all running processes have the same view with the given number of members.
func (w *network) viewsAgree(members int) bool {
	list := w.running()
	for _, n := range list {
		v := n.machine.View()
		if len(v.Members) != members || v.Digest != list[0].machine.View().Digest {
			return false
		}
	}
	return true
}

// sees reports whether a process has a name in its view.
func (n *node) sees(name string) bool {
	for _, m := range n.machine.View().Members {
		if m.Name == name {
			return true
		}
	}
	return false
}
