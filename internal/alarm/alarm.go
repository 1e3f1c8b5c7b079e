// Package alarm implements a timer queue as a binary heap: functions are scheduled in any order and called when due. It neither
// waits nor reads a clock; the owner of a queue passes the current time.
package alarm

import (
	"math"
	"time"
)

// Queue holds the scheduled functions. The zero value is an empty queue. It is not safe for concurrent use.
type Queue struct {
	heap         []entry
	lastSequence uint64
}

type entry struct {
	dueTime  time.Duration
	sequence uint64 // entries due at the same time are called in the order in which they were added
	fn       func()
}

func (e *entry) before(other *entry) bool {
	return e.dueTime < other.dueTime || e.dueTime == other.dueTime && e.sequence < other.sequence
}

// Add schedules fn to be called at a time. It takes O(log n) time for n scheduled functions.
func (q *Queue) Add(dueTime time.Duration, fn func()) {
	q.lastSequence++
	q.heap = append(q.heap, entry{dueTime, q.lastSequence, fn})
	heap := q.heap
	for i := len(heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if !heap[i].before(&heap[parent]) {
			break
		}
		heap[i], heap[parent] = heap[parent], heap[i]
		i = parent
	}
}

// Next returns the earliest time that a function is due, or the maximum duration if the queue is empty.
func (q *Queue) Next() time.Duration {
	if len(q.heap) == 0 {
		return math.MaxInt64
	}
	return q.heap[0].dueTime
}

// Run calls all functions that are due, including due ones that are added while it runs.
func (q *Queue) Run(now time.Duration) {
	for len(q.heap) > 0 && q.heap[0].dueTime <= now {
		q.pop()()
	}
}

func (q *Queue) pop() func() {
	heap, size := q.heap, len(q.heap)-1
	fn := heap[0].fn
	heap[0], heap[size] = heap[size], entry{}
	heap = heap[:size]
	q.heap = heap
	for i := 0; ; {
		earliest := i
		for child := 2*i + 1; child <= 2*i+2 && child < size; child++ {
			if heap[child].before(&heap[earliest]) {
				earliest = child
			}
		}
		if earliest == i {
			return fn
		}
		heap[i], heap[earliest] = heap[earliest], heap[i]
		i = earliest
	}
}
