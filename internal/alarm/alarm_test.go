package alarm

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// All functions, including those added by called ones, are called once, in the order of their times and then of addition, and
// none before its time.
func TestQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type call struct{ due, added int }
		var q Queue
		var want, got []call
		now, added := 0, 0
		var add func(due int, addsAnother bool)
		add = func(due int, addsAnother bool) {
			added++
			call := call{due, added}
			want = append(want, call)
			q.Add(time.Duration(due), func() {
				got = append(got, call)
				require.LessOrEqual(t, due, now)
				if addsAnother {
					add(max(due, now)+rapid.IntRange(0, 3).Draw(t, "later"), false)
				}
			})
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			for range rapid.IntRange(0, 5).Draw(t, "adds") {
				add(now+rapid.IntRange(0, 20).Draw(t, "in"), rapid.Bool().Draw(t, "more"))
			}
			now += rapid.IntRange(0, 8).Draw(t, "on")
			q.Run(time.Duration(now))
			assert.Greater(t, q.Next(), time.Duration(now))
		}
		for range 2 { // a called function may add another one, once
			now += 100
			q.Run(time.Duration(now))
		}
		assert.Equal(t, time.Duration(math.MaxInt64), q.Next())
		slices.SortFunc(want, func(a, b call) int { return a.added - b.added })
		slices.SortFunc(got, func(a, b call) int { return a.added - b.added })
		require.Equal(t, want, got)
	})
	var q Queue
	var got []int
	for i, at := range []int{5, 3, 5, 1, 3, 5} {
		q.Add(time.Duration(at), func() { got = append(got, i) })
	}
	assert.Equal(t, time.Duration(1), q.Next())
	q.Run(4)
	q.Run(9)
	assert.Equal(t, []int{3, 1, 4, 0, 2, 5}, got)
	got = nil
	for i := range 50 {
		q.Add(9, func() { got = append(got, i) })
	}
	q.Run(9)
	assert.True(t, slices.IsSorted(got), "entries of equal time in order of addition: %v", got)
	assert.Len(t, got, 50)
}

// BenchmarkQueue keeps as many entries as 15,000 requests per second with two timers each of up to three seconds.
func BenchmarkQueue(b *testing.B) {
	var q Queue
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += time.Second / 15_000
		q.Add(now+500*time.Millisecond, func() {})
		q.Add(now+3*time.Second, func() {})
		q.Run(now)
	}
}
