// Package alarm calls functions at moments that are asked for in any order: a binary heap. Nothing here waits or reads a
// clock; whoever owns a queue says what time it is.
package alarm

import (
	"math"
	"time"
)

// Queue is the functions that are still to be called. Its zero value is empty. It is not safe for concurrent use.
type Queue struct {
	heap  []entry
	count uint64
}

type entry struct {
	at    time.Duration
	count uint64 // those of one moment are called in the order in which they were asked for
	do    func()
}

func (e *entry) before(o *entry) bool { return e.at < o.at || e.at == o.at && e.count < o.count }

// Add has do called at a moment. It takes time that grows with the logarithm of how many wait.
func (q *Queue) Add(at time.Duration, do func()) {
	q.count++
	q.heap = append(q.heap, entry{at, q.count, do})
	h := q.heap
	for i := len(h) - 1; i > 0; {
		up := (i - 1) / 2
		if !h[i].before(&h[up]) {
			break
		}
		h[i], h[up] = h[up], h[i]
		i = up
	}
}

// Next is the earliest moment asked for; the greatest there is where nothing is.
func (q *Queue) Next() time.Duration {
	if len(q.heap) == 0 {
		return math.MaxInt64
	}
	return q.heap[0].at
}

// Run calls what is due, also what is added for a moment that has come while it runs.
func (q *Queue) Run(now time.Duration) {
	for len(q.heap) > 0 && q.heap[0].at <= now {
		q.pop()()
	}
}

func (q *Queue) pop() func() {
	h, n := q.heap, len(q.heap)-1
	do := h[0].do
	h[0], h[n] = h[n], entry{}
	h = h[:n]
	q.heap = h
	for i := 0; ; {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < n; c++ {
			if h[c].before(&h[least]) {
				least = c
			}
		}
		if least == i {
			return do
		}
		h[i], h[least] = h[least], h[i]
		i = least
	}
}
