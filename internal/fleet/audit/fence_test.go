package audit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// reports returns reports received just now, one for each list version.
func reports(now time.Duration, lists ...int64) (others []KnownVersion, members []string) {
	members = []string{"me"}
	for i, l := range lists {
		name := fmt.Sprint("n", i)
		members = append(members, name)
		others = append(others, KnownVersion{Version: Version{Name: name, ListVersion: l}, ReceivedAt: now})
	}
	return others, members
}

// tickRange ticks the fence over a period, with current reports of others.
func (f *Fence) tickRange(from, to time.Duration, own int64, lists ...int64) {
	for now := from; now <= to; now += 250 * time.Millisecond {
		others, members := reports(now, lists...)
		f.Tick(now, own, others, members)
	}
}

func fenced(f *Fence) bool {
	yes, _ := f.Fenced()
	return yes
}

// A process that lags behind two thirds of the fleet is fenced after maxLag and freed some time after it caught up; an
// operator override has priority.
func TestFence(t *testing.T) {
	f := NewFence(3 * time.Second)
	f.tickRange(testStart, testStart+2*time.Second, 4, 5, 5, 5)
	assert.False(t, fenced(f), "it has time to catch up")
	f.tickRange(testStart+2*time.Second, testStart+4*time.Second, 4, 5, 5, 5)
	assert.True(t, fenced(f))
	f.tickRange(testStart+4*time.Second, testStart+4*time.Second+500*time.Millisecond, 5, 5, 5, 5)
	assert.True(t, fenced(f), "not immediately")
	f.tickRange(testStart+4*time.Second+500*time.Millisecond, testStart+6*time.Second, 5, 5, 5, 5)
	assert.False(t, fenced(f))

	// An operator override has priority; one that lifts the fence holds only for the current list.
	f.Override(true, 5)
	assert.True(t, fenced(f))
	f.Override(false, 5)
	f.tickRange(testStart+6*time.Second, testStart+20*time.Second, 5, 6, 6, 6)
	assert.False(t, fenced(f))
	f.tickRange(testStart+20*time.Second, testStart+30*time.Second, 6, 7, 7, 7)
	assert.True(t, fenced(f))
}

// A process is not fenced unless two thirds of all members have a newer list.
func TestMinorityDoesNotFence(t *testing.T) {
	for name, lists := range map[string][]int64{
		"a fleet of two": {9}, "a majority on the old list": {4, 4, 9}, "half of the fleet": {4, 9, 9}, "no other gateway": {},
	} {
		f := NewFence(time.Second)
		f.tickRange(testStart, testStart+time.Minute, 4, lists...)
		assert.False(t, fenced(f), name)
	}
	// Silent members count as having nothing newer: half of the fleet may be unreachable, on either side.
	f := NewFence(time.Second)
	for now := testStart; now < testStart+time.Minute; now += time.Second {
		others, members := reports(now, 9, 9, 4, 4, 4)
		f.Tick(now, 4, others[:2], members)
	}
	assert.False(t, fenced(f))
}

// Whatever lists a fleet has, at most a third of it is fenced, and each of those has an older list than two thirds.
func TestAtMostAThirdIsFenced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lists := rapid.SliceOfN(rapid.Int64Range(1, 4), 1, 30).Draw(t, "lists")
		fencedCount := 0
		for i := range lists {
			f := NewFence(time.Second)
			rest := append(append([]int64(nil), lists[:i]...), lists[i+1:]...)
			f.tickRange(testStart, testStart+3*time.Second, lists[i], rest...)
			if fenced(f) {
				fencedCount++
				newer := 0
				for _, l := range lists {
					if l > lists[i] {
						newer++
					}
				}
				require.GreaterOrEqual(t, 3*newer, 2*len(lists))
			}
		}
		require.LessOrEqual(t, 3*fencedCount, len(lists))
	})
}

// A process that was paused is fenced before it sends anything, until it receives from another member, or for a limited
// time if none can be reached.
func TestFenceAfterPause(t *testing.T) {
	f := NewFence(time.Hour)
	f.tickRange(testStart, testStart+time.Second, 4, 4, 4)
	assert.False(t, f.NotePause(testStart+time.Second, 50*time.Millisecond))
	assert.True(t, f.NotePause(testStart+5*time.Second, 4*time.Second))
	assert.True(t, fenced(f))
	old, members := reports(testStart+time.Second, 4, 4)
	f.Tick(testStart+5*time.Second+100*time.Millisecond, 4, old, members)
	assert.True(t, fenced(f), "reports received before the pause do not count")
	f.tickRange(testStart+5*time.Second+200*time.Millisecond, testStart+5*time.Second+250*time.Millisecond, 4, 4, 4)
	assert.False(t, fenced(f))
	assert.False(t, f.NotePause(testStart+6*time.Second, 4*time.Second))

	assert.True(t, f.NotePause(testStart+20*time.Second, 10*time.Second))
	f.Tick(testStart+21*time.Second, 4, old, members)
	assert.True(t, fenced(f))
	f.Tick(testStart+22*time.Second, 4, old, members)
	assert.False(t, fenced(f), "no other member is received: it goes on")
}
