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

// Whatever is asked for, also by what is called, is called once, in the order of the moments and of the asking, and
// nothing before its moment.
func TestQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type call struct{ at, asked int }
		var q Queue
		var want, got []call
		now, asked := 0, 0
		var add func(at int, more bool)
		add = func(at int, more bool) {
			asked++
			c := call{at, asked}
			want = append(want, c)
			q.Add(time.Duration(at), func() {
				got = append(got, c)
				require.LessOrEqual(t, at, now)
				if more {
					add(max(at, now)+rapid.IntRange(0, 3).Draw(t, "later"), false)
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
		for range 2 { // what is called may ask for more once
			now += 100
			q.Run(time.Duration(now))
		}
		assert.Equal(t, time.Duration(math.MaxInt64), q.Next())
		slices.SortFunc(want, func(a, b call) int { return a.asked - b.asked })
		slices.SortFunc(got, func(a, b call) int { return a.asked - b.asked })
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
	assert.True(t, slices.IsSorted(got), "those of one moment in the order of asking: %v", got)
	assert.Len(t, got, 50)
}

// BenchmarkQueue has as many wait as 15,000 requests a second leave behind, two each for up to three seconds.
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
