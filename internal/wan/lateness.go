package wan

import (
	"sync/atomic"
	"time"
)

const (
	latenessResolution = 100 * time.Microsecond
	latenessBuckets    = 2000 // beyond them all is one
)

// lateness counts by how much datagrams were passed on later than they were due. The loop writes, anybody reads.
type lateness struct {
	buckets [latenessBuckets + 1]atomic.Uint64
	sum     atomic.Int64
	maximum atomic.Int64 // since it was last taken
}

func (l *lateness) add(ns int64) {
	ns = max(0, ns)
	l.buckets[min(latenessBuckets, ns/int64(latenessResolution))].Add(1)
	l.sum.Add(ns)
	if ns > l.maximum.Load() {
		l.maximum.Store(ns)
	}
}

// Lateness is by how much datagrams were passed on later than they were due, the time included for which they waited unread.
type Lateness struct {
	Count          uint64
	Mean, P99, Max time.Duration // P99 is rounded up to 0.1 ms
	buckets        []uint64
	sum            int64
}

// Lateness is that of all datagrams since an earlier one was taken; the zero one: since the begin. One goroutine may ask.
func (r *Relay) Lateness(since Lateness) Lateness {
	l := Lateness{buckets: make([]uint64, latenessBuckets+1), sum: r.lateness.sum.Load(), Max: time.Duration(r.lateness.maximum.Swap(0))}
	before := func(i int) uint64 {
		if since.buckets == nil {
			return 0
		}
		return since.buckets[i]
	}
	for i := range l.buckets {
		l.buckets[i] = r.lateness.buckets[i].Load()
		l.Count += l.buckets[i] - before(i)
	}
	if l.Count == 0 {
		return l
	}
	l.Mean = time.Duration(uint64(l.sum-since.sum) / l.Count)
	seen := uint64(0)
	for i := range l.buckets {
		if seen += l.buckets[i] - before(i); seen*100 >= l.Count*99 {
			l.P99 = time.Duration(i+1) * latenessResolution
			break
		}
	}
	return l
}
