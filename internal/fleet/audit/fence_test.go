package audit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// fleetOf are tellings heard just now, one for each list.
func fleetOf(now time.Duration, lists ...int64) (others []KnownVersion, members []string) {
	members = []string{"me"}
	for i, l := range lists {
		name := fmt.Sprint("n", i)
		members = append(members, name)
		others = append(others, KnownVersion{Version: Version{Name: name, ListVersion: l}, ReceivedAt: now})
	}
	return others, members
}

func (f *Fence) over(from, to time.Duration, own int64, lists ...int64) {
	for now := from; now <= to; now += 250 * time.Millisecond {
		others, members := fleetOf(now, lists...)
		f.Tick(now, own, others, members)
	}
}

func out(f *Fence) bool {
	on, _ := f.Fenced()
	return on
}

func TestFence(t *testing.T) {
	f := NewFence(3 * time.Second)
	f.over(day, day+2*time.Second, 4, 5, 5, 5)
	assert.False(t, out(f), "it has time to catch up")
	f.over(day+2*time.Second, day+4*time.Second, 4, 5, 5, 5)
	assert.True(t, out(f))
	f.over(day+4*time.Second, day+4*time.Second+500*time.Millisecond, 5, 5, 5, 5)
	assert.True(t, out(f), "not at once")
	f.over(day+4*time.Second+500*time.Millisecond, day+6*time.Second, 5, 5, 5, 5)
	assert.False(t, out(f))

	// An operator's word goes before, to go on only for the list that was there.
	f.Override(true, 5)
	assert.True(t, out(f))
	f.Override(false, 5)
	f.over(day+6*time.Second, day+20*time.Second, 5, 6, 6, 6)
	assert.False(t, out(f))
	f.over(day+20*time.Second, day+30*time.Second, 6, 7, 7, 7)
	assert.True(t, out(f))
}

func TestNobodyIsShutOutByFew(t *testing.T) {
	for name, lists := range map[string][]int64{
		"a fleet of two": {9}, "a majority on the old list": {4, 4, 9}, "half of the fleet": {4, 9, 9}, "nobody else": {},
	} {
		f := NewFence(time.Second)
		f.over(day, day+time.Minute, 4, lists...)
		assert.False(t, out(f), name)
	}
	// The silent count as having nothing newer: half of the fleet may be cut off, on either side.
	f := NewFence(time.Second)
	for now := day; now < day+time.Minute; now += time.Second {
		others, members := fleetOf(now, 9, 9, 4, 4, 4)
		f.Tick(now, 4, others[:2], members)
	}
	assert.False(t, out(f))
}

// Whatever lists a fleet has, never more than a third of it is shut out, and whoever is has an older one than two thirds.
func TestNeverTooMany(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lists := rapid.SliceOfN(rapid.Int64Range(1, 4), 1, 30).Draw(t, "lists")
		shut := 0
		for i := range lists {
			f := NewFence(time.Second)
			rest := append(append([]int64(nil), lists[:i]...), lists[i+1:]...)
			f.over(day, day+3*time.Second, lists[i], rest...)
			if out(f) {
				shut++
				newer := 0
				for _, l := range lists {
					if l > lists[i] {
						newer++
					}
				}
				require.GreaterOrEqual(t, 3*newer, 2*len(lists))
			}
		}
		require.LessOrEqual(t, 3*shut, len(lists))
	})
}

// Who stood still is shut out before it sends anything, until it hears of another, or there is none to hear of.
func TestFenceOfOneThatStoodStill(t *testing.T) {
	f := NewFence(time.Hour)
	f.over(day, day+time.Second, 4, 4, 4)
	assert.False(t, f.NotePause(day+time.Second, 50*time.Millisecond))
	assert.True(t, f.NotePause(day+5*time.Second, 4*time.Second))
	assert.True(t, out(f))
	old, members := fleetOf(day+time.Second, 4, 4)
	f.Tick(day+5*time.Second+100*time.Millisecond, 4, old, members)
	assert.True(t, out(f), "what it had heard before tells nothing")
	f.over(day+5*time.Second+200*time.Millisecond, day+5*time.Second+250*time.Millisecond, 4, 4, 4)
	assert.False(t, out(f))
	assert.False(t, f.NotePause(day+6*time.Second, 4*time.Second))

	assert.True(t, f.NotePause(day+20*time.Second, 10*time.Second))
	f.Tick(day+21*time.Second, 4, old, members)
	assert.True(t, out(f))
	f.Tick(day+22*time.Second, 4, old, members)
	assert.False(t, out(f), "nobody is heard of: it goes on")
}
