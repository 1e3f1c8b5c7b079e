package wan

import (
	"encoding/binary"
	"math/rand/v2"
	"runtime"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

const (
	batch   = 128                    // datagrams for one call of the system
	most    = 2048                   // bytes of a datagram, as a gateway reads at most
	quantum = 250 * time.Microsecond // between rounds, so that one has a batch to work on
)

// loop passes datagrams on. It has a thread of its own, which alone touches what is here.
type loop struct {
	r       *Relay
	rnd     *rand.Rand
	queue   []parcel // a heap by due
	arrived int64    // when the last datagram came
	number  uint64
	free    []*[most]byte
	in, out vector
}

// parcel is a datagram on its way.
type parcel struct {
	due      int64 // in ns of the system's clock
	number   uint64
	from, to int
	n        int
	b        *[most]byte
}

func (a *parcel) before(b *parcel) bool {
	return a.due < b.due || a.due == b.due && a.number < b.number
}

// vector is what one call of the system reads or writes.
type vector struct {
	heads    [batch]mmsghdr
	parts    [batch]unix.Iovec
	names    [batch]unix.RawSockaddrInet4
	controls [batch][96]byte
	bodies   [batch]*[most]byte
}

// mmsghdr is the kernel's struct mmsghdr.
type mmsghdr struct {
	unix.Msghdr
	n uint32
	_ [4]byte
}

func newLoop(r *Relay, rnd *rand.Rand) *loop {
	l := &loop{r: r, rnd: rnd}
	for _, v := range []*vector{&l.in, &l.out} {
		for i := range batch {
			h := &v.heads[i]
			h.Name, h.Namelen = (*byte)(unsafe.Pointer(&v.names[i])), unix.SizeofSockaddrInet4
			h.Iov = &v.parts[i]
			h.SetIovlen(1)
			h.Control = &v.controls[i][0]
		}
	}
	for i := range batch {
		l.in.body(i, l.buffer())
		// The source is set for each datagram; the rest stays.
		c := l.out.controls[i][:]
		binary.NativeEndian.PutUint64(c, uint64(unix.CmsgLen(unix.SizeofInet4Pktinfo)))
		binary.NativeEndian.PutUint32(c[8:], unix.IPPROTO_IP)
		binary.NativeEndian.PutUint32(c[12:], unix.IP_PKTINFO)
		l.out.heads[i].SetControllen(unix.CmsgSpace(unix.SizeofInet4Pktinfo))
	}
	return l
}

func (v *vector) body(i int, b *[most]byte) {
	v.bodies[i] = b
	v.parts[i].Base = &b[0]
	v.parts[i].SetLen(most)
}

func (l *loop) buffer() *[most]byte {
	if n := len(l.free); n > 0 {
		b := l.free[n-1]
		l.free = l.free[:n-1]
		return b
	}
	return new([most]byte)
}

func (l *loop) run() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread() // a thread that ended would take the processes along that were started on it
	last := time.Now()
	for {
		wait := (*unix.Timespec)(nil)
		if len(l.queue) > 0 {
			t := unix.NsecToTimespec(max(0, l.queue[0].due-time.Now().UnixNano()))
			wait = &t
		}
		_, _ = unix.Ppoll([]unix.PollFd{{Fd: int32(l.r.fd), Events: unix.POLLIN}, {Fd: int32(l.r.wake), Events: unix.POLLIN}}, wait, nil)
		select {
		case <-l.r.done:
			return
		default:
		}
		if d := quantum - time.Since(last); d > 0 {
			t := unix.NsecToTimespec(int64(d))
			_ = unix.Nanosleep(&t, nil)
		}
		last = time.Now()
		l.read()
		l.write()
	}
}

// read takes in all that has come, a bounded number of calls at a time.
func (l *loop) read() {
	for range 16 {
		for i := range batch {
			h := &l.in.heads[i]
			h.Namelen, h.Flags = unix.SizeofSockaddrInet4, 0
			h.SetControllen(len(l.in.controls[i]))
		}
		n, _, err := unix.Syscall6(unix.SYS_RECVMMSG, uintptr(l.r.fd), uintptr(unsafe.Pointer(&l.in.heads[0])), batch, unix.MSG_DONTWAIT, 0, 0)
		if err != 0 {
			return
		}
		for i := range int(n) {
			l.take(i)
		}
		if n < batch {
			return
		}
	}
}

// take decides on one datagram.
func (l *loop) take(i int) {
	r, h := l.r, &l.in.heads[i]
	var at int64
	var to [4]byte
	for c := l.in.controls[i][:h.Controllen]; len(c) >= unix.SizeofCmsghdr; {
		size := binary.NativeEndian.Uint64(c)
		if size < unix.SizeofCmsghdr || size > uint64(len(c)) {
			break
		}
		data := c[unix.SizeofCmsghdr:size]
		switch kind := binary.NativeEndian.Uint32(c[12:]); {
		case binary.NativeEndian.Uint32(c[8:]) == unix.IPPROTO_IP && kind == unix.IP_PKTINFO && len(data) >= unix.SizeofInet4Pktinfo:
			to = [4]byte(data[8:12])
		case binary.NativeEndian.Uint32(c[8:]) == unix.SOL_SOCKET && kind == unix.SO_TIMESTAMPNS && len(data) >= 16:
			at = int64(binary.NativeEndian.Uint64(data))*1e9 + int64(binary.NativeEndian.Uint64(data[8:]))
		}
		c = c[min(len(c), int(size+7)&^7):]
	}
	if h.Flags&unix.MSG_TRUNC != 0 {
		r.counts[large].Add(1)
		return
	}
	family, target, ok := r.gateway(to)
	zone, known := r.from(family)
	own, sender, lives := r.gateway(l.in.names[i].Addr)
	if !ok || !known || !lives || own != ofGateways || zone >= 0 && zone != r.of[sender] {
		r.counts[foreign].Add(1)
		return
	}
	link := r.links[r.of[sender]*r.zones+r.of[target]].Load()
	switch {
	case link.Cut:
		r.counts[cut].Add(1)
		return
	case link.Loss > 0 && l.rnd.Float64() < link.Loss:
		r.counts[lost].Add(1)
		return
	}
	if at == 0 {
		at = time.Now().UnixNano()
	}
	// The system begins to stamp datagrams a moment after it was asked to; one that it has not stamped bears the time of its
	// reading, which is later than the stamps of those read behind it.
	at = max(at, l.arrived)
	l.arrived = at
	at += int64(link.Delay)
	if link.Jitter > 0 {
		at += l.rnd.Int64N(int64(link.Jitter))
	}
	l.number++
	l.push(parcel{due: at, number: l.number, from: sender, to: target, n: int(h.n), b: l.in.bodies[i]})
	l.in.body(i, l.buffer())
}

// write sends all that is due.
func (l *loop) write() {
	for {
		now, n := time.Now().UnixNano(), 0
		for n < batch && len(l.queue) > 0 && l.queue[0].due <= now {
			p := l.pop()
			l.r.late.add(now - p.due)
			l.r.counts[bytesPassed].Add(uint64(p.n))
			l.out.body(n, p.b)
			l.out.parts[n].SetLen(p.n)
			l.out.names[n] = unix.RawSockaddrInet4{Family: unix.AF_INET, Addr: address(ofGateways, p.to)}
			binary.BigEndian.PutUint16((*[2]byte)(unsafe.Pointer(&l.out.names[n].Port))[:], l.r.own)
			source := address(ofGateways, p.from)
			copy(l.out.controls[n][unix.SizeofCmsghdr+4:], source[:])
			n++
		}
		for sent := 0; sent < n; {
			k, _, err := unix.Syscall6(unix.SYS_SENDMMSG, uintptr(l.r.fd), uintptr(unsafe.Pointer(&l.out.heads[sent])), uintptr(n-sent), unix.MSG_DONTWAIT, 0, 0)
			if err != 0 {
				l.r.counts[unsent].Add(1)
				k = 1
			} else {
				l.r.counts[passed].Add(uint64(k))
			}
			sent += int(k)
		}
		for i := range n {
			l.free = append(l.free, l.out.bodies[i])
		}
		if n < batch {
			return
		}
	}
}

func (l *loop) push(p parcel) {
	l.queue = append(l.queue, p)
	q := l.queue
	for i := len(q) - 1; i > 0; {
		up := (i - 1) / 2
		if !q[i].before(&q[up]) {
			return
		}
		q[i], q[up] = q[up], q[i]
		i = up
	}
}

func (l *loop) pop() parcel {
	q := l.queue
	first, last := q[0], len(q)-1
	q[0], q[last] = q[last], parcel{}
	q = q[:last]
	l.queue = q
	for i := 0; ; {
		least := i
		for _, k := range []int{2*i + 1, 2*i + 2} {
			if k < len(q) && q[k].before(&q[least]) {
				least = k
			}
		}
		if least == i {
			return first
		}
		q[i], q[least] = q[least], q[i]
		i = least
	}
}

// overflowed is how many datagrams the kernel dropped before the relay read them.
func (r *Relay) overflowed() uint64 {
	const drops = 8 // SK_MEMINFO_DROPS
	var info [9]uint32
	size := uint32(unsafe.Sizeof(info))
	_, _, err := unix.Syscall6(unix.SYS_GETSOCKOPT, uintptr(r.fd), unix.SOL_SOCKET, unix.SO_MEMINFO, uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
	if err != 0 {
		return 0
	}
	return uint64(info[drops])
}
