package wan

import (
	"sync/atomic"
	"time"
)

const (
	latenessGrain = 100 * time.Microsecond
	latenessParts = 2000 // beyond them all is one
)

// lateness counts by how much datagrams were passed on later than they were due. The loop writes, anybody reads.
type lateness struct {
	parts [latenessParts + 1]atomic.Uint64
	sum   atomic.Int64
	most  atomic.Int64 // since it was last taken
}

func (l *lateness) add(ns int64) {
	ns = max(0, ns)
	l.parts[min(latenessParts, ns/int64(latenessGrain))].Add(1)
	l.sum.Add(ns)
	if ns > l.most.Load() {
		l.most.Store(ns)
	}
}

// Lateness is by how much datagrams were passed on later than they were due, the time included for which they waited unread.
type Lateness struct {
	Count          uint64
	Mean, P99, Max time.Duration // P99 is rounded up to 0.1 ms
	parts          []uint64
	sum            int64
}

// Lateness is that of all datagrams since an earlier one was taken; the zero one: since the begin. One goroutine may ask.
func (r *Relay) Lateness(since Lateness) Lateness {
	l := Lateness{parts: make([]uint64, latenessParts+1), sum: r.late.sum.Load(), Max: time.Duration(r.late.most.Swap(0))}
	was := func(i int) uint64 {
		if since.parts == nil {
			return 0
		}
		return since.parts[i]
	}
	for i := range l.parts {
		l.parts[i] = r.late.parts[i].Load()
		l.Count += l.parts[i] - was(i)
	}
	if l.Count == 0 {
		return l
	}
	l.Mean = time.Duration(uint64(l.sum-since.sum) / l.Count)
	seen := uint64(0)
	for i := range l.parts {
		if seen += l.parts[i] - was(i); seen*100 >= l.Count*99 {
			l.P99 = time.Duration(i+1) * latenessGrain
			break
		}
	}
	return l
}
