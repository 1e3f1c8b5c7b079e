package wan

import (
	"sync/atomic"
	"time"
)

const (
	latenessResolution = 100 * time.Microsecond
	latenessBuckets    = 2000 // one more holds all that is later
)

// lateness is a histogram of how late datagrams were forwarded. Only the loop adds to it; reads are concurrent.
type lateness struct {
	buckets [latenessBuckets + 1]atomic.Uint64
	sum     atomic.Int64 // in ns
	maximum atomic.Int64 // in ns, since the last call of Relay.Lateness
}

func (l *lateness) add(nanoseconds int64) {
	nanoseconds = max(0, nanoseconds)
	l.buckets[min(latenessBuckets, nanoseconds/int64(latenessResolution))].Add(1)
	l.sum.Add(nanoseconds)
	if nanoseconds > l.maximum.Load() {
		l.maximum.Store(nanoseconds)
	}
}

// Lateness summarizes how late datagrams were forwarded, including the time they waited to be read.
type Lateness struct {
	Count          uint64
	Mean, P99, Max time.Duration // P99 is rounded up to 0.1 ms; Max is since the previous call
	buckets        []uint64
	sum            int64
}

// Lateness returns the lateness of all datagrams since an earlier call, or since the start for the zero value. It must
// not be called concurrently.
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
