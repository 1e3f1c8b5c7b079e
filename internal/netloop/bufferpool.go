package netloop

// bufferPool recycles buffers of a few sizes and bounds the memory that all of them take. Output that is already owed to a peer is never
// refused: where the pool has no room for it, it is allocated outside. What is outside leaves less room for everything else.
type bufferPool struct {
	limit, allocated int // bytes
	allocatedSmall   int // bytes of the buffers of up to maxSmallBufferBytes among them
	outside          int // bytes of the buffers that were allocated outside the pool
	free             [sizeClasses][][]byte
}

const (
	minBufferBytes      = 2 << 10
	sizeClasses         = 9       // 2 KiB to 512 KiB
	maxSmallBufferBytes = 4 << 10 // an eighth of the limit is left to buffers of up to this size
	maxFreeSmallest     = 64      // free buffers kept of the smallest size; half as many of each next size
)

// nearlyFull reports whether an incoming connection may not take a buffer for n bytes, because at most an eighth of the limit is left. That
// part is reserved for connections that this process has opened: unsolicited input from clients must not keep it from reading answers. Nor may
// large input keep it from reading small requests when the limit was lowered.
func (p *bufferPool) nearlyFull(n int) bool {
	return p.used() >= p.limit*7/8 && (n > maxSmallBufferBytes || p.allocatedSmall >= p.limit/16)
}

// used returns how many bytes of the limit are in use. Buffers outside the pool count as far as they exceed half of the limit.
func (p *bufferPool) used() int { return p.allocated + max(0, p.outside-p.limit/2) }

// sizeClass returns the index of the smallest size that holds n bytes, or of the largest size.
func sizeClass(n int) int {
	index := 0
	for minBufferBytes<<index < n && index < sizeClasses-1 {
		index++
	}
	return index
}

// add counts a buffer of the pool with this capacity, or that one was returned, if it is negative.
func (p *bufferPool) add(capacity int) {
	p.allocated += capacity
	if max(capacity, -capacity) <= maxSmallBufferBytes {
		p.allocatedSmall += capacity
	}
}

// get returns an empty buffer with capacity for n bytes, or for the largest size if n exceeds it; nil if the
// limit doesn't allow it.
func (p *bufferPool) get(n int) []byte {
	class := sizeClass(n)
	size := minBufferBytes << class
	if p.used()+size > p.limit && (size > maxSmallBufferBytes || p.allocatedSmall+size > p.limit/8) {
		return nil
	}
	p.add(size)
	if list := p.free[class]; len(list) > 0 {
		b := list[len(list)-1]
		p.free[class] = list[:len(list)-1]
		return b
	}
	return make([]byte, 0, size)
}

func (p *bufferPool) put(b []byte) {
	if cap(b) == 0 {
		return
	}
	class := sizeClass(cap(b))
	if minBufferBytes<<class != cap(b) {
		p.outside -= cap(b)
		return
	}
	p.add(-cap(b))
	if len(p.free[class]) < maxFreeSmallest>>class {
		p.free[class] = append(p.free[class], b[:0])
	}
}

// grow moves b to a buffer of the next size, or returns b if there is no memory for it.
func (p *bufferPool) grow(b []byte) []byte {
	next := p.get(cap(b) + 1)
	if next == nil || cap(next) <= cap(b) {
		return b
	}
	next = append(next, b...)
	p.put(b)
	return next
}

// appendTo appends to a buffer whose size its writer bounds. A buffer over the largest size, or over the limit,
// is allocated outside the pool.
func (p *bufferPool) appendTo(b, more []byte) []byte { return p.appendWithin(p.limit, b, more) }

// appendOutput is appendTo for output, which takes at most half of the pool: peers that don't read must not keep it from input.
func (p *bufferPool) appendOutput(b, more []byte) []byte { return p.appendWithin(p.limit/2, b, more) }

// appendWithin appends to a buffer, which is taken from the pool as long as all buffers together stay within the limit. Otherwise it
// is allocated outside the pool with an odd capacity, by which put recognizes it.
func (p *bufferPool) appendWithin(limit int, b, more []byte) []byte {
	need := len(b) + len(more)
	if need <= cap(b) {
		return append(b, more...)
	}
	var next []byte
	if p.allocated+need <= limit {
		next = p.get(need)
	}
	if cap(next) < need {
		p.put(next)
		next = make([]byte, 0, max(need, 2*cap(b))|1) // twice the size, so that appending little by little copies each byte a few times only
		p.outside += cap(next)
	}
	next = append(append(next, b...), more...)
	p.put(b)
	return next
}
