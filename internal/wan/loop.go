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
	batchSize     = 128                    // datagrams per system call
	maxDatagram   = 2048                   // bytes; gateways read no more
	roundInterval = 250 * time.Microsecond // between rounds, so that datagrams arrive in batches
)

// loop forwards datagrams. It runs on its own thread; no other goroutine uses its fields.
type loop struct {
	relay              *Relay
	rng                *rand.Rand
	queue              []datagram // a heap, ordered by due
	lastArrival        int64      // arrival time of the last datagram, in ns
	sequence           uint64
	freeBuffers        []*[maxDatagram]byte
	received, outgoing messageBatch
}

// datagram is a datagram in flight.
type datagram struct {
	due      int64 // wall clock, in ns
	sequence uint64
	from, to int
	size     int
	buffer   *[maxDatagram]byte
}

func (a *datagram) before(b *datagram) bool {
	return a.due < b.due || a.due == b.due && a.sequence < b.sequence
}

// messageBatch holds the arguments of one recvmmsg or sendmmsg call.
type messageBatch struct {
	headers  [batchSize]mmsghdr
	iovecs   [batchSize]unix.Iovec
	addrs    [batchSize]unix.RawSockaddrInet4
	controls [batchSize][96]byte
	buffers  [batchSize]*[maxDatagram]byte
}

// mmsghdr is the kernel's struct mmsghdr.
type mmsghdr struct {
	unix.Msghdr
	length uint32
	_      [4]byte
}

func newLoop(relay *Relay, rng *rand.Rand) *loop {
	l := &loop{relay: relay, rng: rng}
	for _, messages := range []*messageBatch{&l.received, &l.outgoing} {
		for i := range batchSize {
			header := &messages.headers[i]
			header.Name, header.Namelen = (*byte)(unsafe.Pointer(&messages.addrs[i])), unix.SizeofSockaddrInet4
			header.Iov = &messages.iovecs[i]
			header.SetIovlen(1)
			header.Control = &messages.controls[i][0]
		}
	}
	for i := range batchSize {
		l.received.setBuffer(i, l.takeBuffer())
		// sendDue sets the source address for each datagram; the rest stays.
		control := l.outgoing.controls[i][:]
		binary.NativeEndian.PutUint64(control, uint64(unix.CmsgLen(unix.SizeofInet4Pktinfo)))
		binary.NativeEndian.PutUint32(control[8:], unix.IPPROTO_IP)
		binary.NativeEndian.PutUint32(control[12:], unix.IP_PKTINFO)
		l.outgoing.headers[i].SetControllen(unix.CmsgSpace(unix.SizeofInet4Pktinfo))
	}
	return l
}

func (v *messageBatch) setBuffer(i int, b *[maxDatagram]byte) {
	v.buffers[i] = b
	v.iovecs[i].Base = &b[0]
	v.iovecs[i].SetLen(maxDatagram)
}

func (l *loop) takeBuffer() *[maxDatagram]byte {
	if count := len(l.freeBuffers); count > 0 {
		buffer := l.freeBuffers[count-1]
		l.freeBuffers = l.freeBuffers[:count-1]
		return buffer
	}
	return new([maxDatagram]byte)
}

func (l *loop) run() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread() // if the thread ended, child processes started on it with a parent-death signal would be killed
	lastRound := time.Now()
	for {
		timeout := (*unix.Timespec)(nil)
		if len(l.queue) > 0 {
			t := unix.NsecToTimespec(max(0, l.queue[0].due-time.Now().UnixNano()))
			timeout = &t
		}
		_, _ = unix.Ppoll([]unix.PollFd{{Fd: int32(l.relay.fd), Events: unix.POLLIN}, {Fd: int32(l.relay.wakeFD), Events: unix.POLLIN}}, timeout, nil)
		select {
		case <-l.relay.done:
			return
		default:
		}
		if d := roundInterval - time.Since(lastRound); d > 0 {
			t := unix.NsecToTimespec(int64(d))
			_ = unix.Nanosleep(&t, nil)
		}
		lastRound = time.Now()
		l.receive()
		l.sendDue()
	}
}

// receive reads the datagrams that have arrived, with a bounded number of system calls.
func (l *loop) receive() {
	for range 16 {
		for i := range batchSize {
			header := &l.received.headers[i]
			header.Namelen, header.Flags = unix.SizeofSockaddrInet4, 0
			header.SetControllen(len(l.received.controls[i]))
		}
		n, _, err := unix.Syscall6(unix.SYS_RECVMMSG, uintptr(l.relay.fd), uintptr(unsafe.Pointer(&l.received.headers[0])), batchSize, unix.MSG_DONTWAIT, 0, 0)
		if err != 0 {
			return
		}
		for i := range int(n) {
			l.enqueue(i)
		}
		if n < batchSize {
			return
		}
	}
}

// enqueue drops a received datagram or queues it with its delay.
func (l *loop) enqueue(i int) {
	relay, header := l.relay, &l.received.headers[i]
	var timestamp int64
	var to [4]byte
	for control := l.received.controls[i][:header.Controllen]; len(control) >= unix.SizeofCmsghdr; {
		size := binary.NativeEndian.Uint64(control)
		if size < unix.SizeofCmsghdr || size > uint64(len(control)) {
			break
		}
		data := control[unix.SizeofCmsghdr:size]
		switch kind := binary.NativeEndian.Uint32(control[12:]); {
		case binary.NativeEndian.Uint32(control[8:]) == unix.IPPROTO_IP && kind == unix.IP_PKTINFO && len(data) >= unix.SizeofInet4Pktinfo:
			to = [4]byte(data[8:12])
		case binary.NativeEndian.Uint32(control[8:]) == unix.SOL_SOCKET && kind == unix.SO_TIMESTAMPNS && len(data) >= 16:
			timestamp = int64(binary.NativeEndian.Uint64(data))*1e9 + int64(binary.NativeEndian.Uint64(data[8:]))
		}
		control = control[min(len(control), int(size+7)&^7):]
	}
	if header.Flags&unix.MSG_TRUNC != 0 {
		relay.counts[countOversized].Add(1)
		return
	}
	family, target, ok := relay.parseAddress(to)
	zone, known := relay.senderZone(family)
	senderFamily, sender, inUse := relay.parseAddress(l.received.addrs[i].Addr)
	if !ok || !known || !inUse || senderFamily != gatewayFamily || zone >= 0 && zone != relay.zoneOf[sender] {
		relay.counts[countMisaddressed].Add(1)
		return
	}
	link := relay.links[relay.zoneOf[sender]*relay.zones+relay.zoneOf[target]].Load()
	switch {
	case link.Cut:
		relay.counts[countCut].Add(1)
		return
	case link.Loss > 0 && l.rng.Float64() < link.Loss:
		relay.counts[countLost].Add(1)
		return
	}
	if timestamp == 0 {
		timestamp = time.Now().UnixNano()
	}
	// The kernel starts to timestamp datagrams shortly after SO_TIMESTAMPNS is set. A datagram without a timestamp gets the
	// time it was read, which is later than the timestamps of those read after it.
	timestamp = max(timestamp, l.lastArrival)
	l.lastArrival = timestamp
	timestamp += int64(link.Delay)
	if link.Jitter > 0 {
		timestamp += l.rng.Int64N(int64(link.Jitter))
	}
	l.sequence++
	l.push(datagram{due: timestamp, sequence: l.sequence, from: sender, to: target, size: int(header.length), buffer: l.received.buffers[i]})
	l.received.setBuffer(i, l.takeBuffer())
}

// sendDue sends all datagrams that are due.
func (l *loop) sendDue() {
	for {
		now, count := time.Now().UnixNano(), 0
		for count < batchSize && len(l.queue) > 0 && l.queue[0].due <= now {
			next := l.pop()
			l.relay.lateness.add(now - next.due)
			l.relay.counts[countBytes].Add(uint64(next.size))
			l.outgoing.setBuffer(count, next.buffer)
			l.outgoing.iovecs[count].SetLen(next.size)
			l.outgoing.addrs[count] = unix.RawSockaddrInet4{Family: unix.AF_INET, Addr: addressOf(gatewayFamily, next.to)}
			binary.BigEndian.PutUint16((*[2]byte)(unsafe.Pointer(&l.outgoing.addrs[count].Port))[:], l.relay.gatewayPort)
			source := addressOf(gatewayFamily, next.from)
			copy(l.outgoing.controls[count][unix.SizeofCmsghdr+4:], source[:])
			count++
		}
		for sent := 0; sent < count; {
			done, _, err := unix.Syscall6(unix.SYS_SENDMMSG, uintptr(l.relay.fd), uintptr(unsafe.Pointer(&l.outgoing.headers[sent])), uintptr(count-sent), unix.MSG_DONTWAIT, 0, 0)
			if err != 0 {
				l.relay.counts[countUnsent].Add(1)
				done = 1
			} else {
				l.relay.counts[countForwarded].Add(uint64(done))
			}
			sent += int(done)
		}
		for i := range count {
			l.freeBuffers = append(l.freeBuffers, l.outgoing.buffers[i])
		}
		if count < batchSize {
			return
		}
	}
}

func (l *loop) push(p datagram) {
	l.queue = append(l.queue, p)
	queue := l.queue
	for i := len(queue) - 1; i > 0; {
		parent := (i - 1) / 2
		if !queue[i].before(&queue[parent]) {
			return
		}
		queue[i], queue[parent] = queue[parent], queue[i]
		i = parent
	}
}

func (l *loop) pop() datagram {
	queue := l.queue
	first, last := queue[0], len(queue)-1
	queue[0], queue[last] = queue[last], datagram{}
	queue = queue[:last]
	l.queue = queue
	for i := 0; ; {
		smallest := i
		for _, k := range []int{2*i + 1, 2*i + 2} {
			if k < len(queue) && queue[k].before(&queue[smallest]) {
				smallest = k
			}
		}
		if smallest == i {
			return first
		}
		queue[i], queue[smallest] = queue[smallest], queue[i]
		i = smallest
	}
}

// overflowed returns the number of datagrams that the kernel dropped before the relay read them.
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
