package audit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const start = 1_800_000_000 * time.Second

// troop is machines that tell each other without loss.
type troop struct {
	list  []*Versions
	now   time.Duration
	asked []time.Duration
}

func newTroop(n int) *troop {
	c := &troop{now: start}
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("n%03d", i))
	}
	for i, name := range names {
		v := NewVersions(VersionsConfig{Name: name, MaxLag: 2 * time.Second, RequestSpread: 100 * time.Millisecond, Seed: uint64(i)})
		v.SetMembers(names)
		v.Set(Version{Session: 1, ListVersion: 5})
		c.list = append(c.list, v)
	}
	return c
}

func (c *troop) run(d time.Duration, asks func(i int)) {
	for end := c.now + d; c.now < end; c.now += 100 * time.Millisecond {
		for i, v := range c.list {
			out, ask := v.Tick(c.now)
			if ask {
				c.asked = append(c.asked, c.now)
				asks(i)
			}
			for _, s := range out {
				var k int
				_, _ = fmt.Sscanf(s.To, "n%d", &k)
				c.list[k].Receive(c.now, s.Message)
			}
		}
	}
}

// One that is behind notices, asks after the bound and is brought up; nobody else asks.
func TestStragglerAsks(t *testing.T) {
	c := newTroop(8)
	for i := 1; i < 8; i++ {
		c.list[i].Set(Version{Session: 1, ListVersion: 6})
	}
	begun := c.now
	c.run(10*time.Second, func(i int) {
		require.Zero(t, i)
		c.list[0].Set(Version{Session: 1, ListVersion: 6})
	})
	require.Len(t, c.asked, 1)
	assert.Greater(t, c.asked[0]-begun, 2*time.Second)
	since, _ := c.list[0].Lagging()
	assert.Zero(t, since)
	for _, k := range c.list[3].All() {
		assert.EqualValues(t, 6, k.ListVersion)
		assert.Zero(t, k.LaggingSince)
	}
}

// Many stragglers do not ask at once.
func TestStragglersTakeTurns(t *testing.T) {
	c := newTroop(100)
	c.list[0].Set(Version{Session: 1, ListVersion: 6})
	c.run(30*time.Second, func(i int) { c.list[i].Set(Version{Session: 1, ListVersion: 6}) })
	require.Len(t, c.asked, 99)
	in := map[time.Duration]int{}
	for _, at := range c.asked {
		in[at.Truncate(time.Second)]++
	}
	for at, n := range in {
		assert.Less(t, n, 30, "in the second from %v", at)
	}
}

// A version that discovery does not have is asked for a few times only.
func TestOddVersionIsGivenUp(t *testing.T) {
	c := newTroop(3)
	c.list[2].Set(Version{Session: 1, ListVersion: 1 << 40})
	c.run(5*time.Minute, func(int) {})
	assert.Len(t, c.asked, 2*maxRequests)
}

func TestWhoSaysNothingIsForgotten(t *testing.T) {
	v := NewVersions(VersionsConfig{Name: "a", MaxLag: time.Second, RequestSpread: time.Millisecond})
	v.Receive(start, VersionsMessage{Versions: []Version{{Name: "b", Session: 1, ListVersion: 3}, {Name: ""}, {Name: "a", ListVersion: 99}, {Name: "c", ListVersion: -1}}})
	assert.Len(t, v.All(), 2)
	v.Receive(start, VersionsMessage{Versions: []Version{{Name: "b", Session: 1, ListVersion: 2}}})
	assert.EqualValues(t, 3, v.All()[1].ListVersion, "an old telling changes nothing")
	v.Tick(start + 2*minRetention)
	assert.Len(t, v.All(), 1)
}

// What others still remember of one that has gone does not keep it known for ever, and what they remember of a process does
// not take the place of what its successor tells, also where its numbers are lower.
func TestWhoHasGoneIsForgottenByAll(t *testing.T) {
	c := newTroop(16)
	c.run(30*time.Second, func(int) {})
	gone, returns := "n003", "n005"
	c.list[3].SetMembers(nil) // it tells nobody any more
	c.list[5] = NewVersions(VersionsConfig{Name: returns, MaxLag: 2 * time.Second, RequestSpread: 100 * time.Millisecond, Seed: 99})
	var names []string
	for _, v := range c.list {
		names = append(names, v.cfg.Name)
	}
	c.list[5].SetMembers(names)
	c.list[5].Set(Version{Session: 2, ListVersion: 5})
	c.run(10*time.Second, func(int) {})
	for _, v := range c.list {
		if v.cfg.Name != returns {
			assert.EqualValues(t, 2, v.others[returns].Session, "as %s knows it", v.cfg.Name)
		}
	}
	c.run(3*minRetention, func(int) {})
	for _, v := range c.list {
		if v.cfg.Name != gone {
			assert.NotContains(t, v.others, gone, "as %s knows it", v.cfg.Name)
		}
	}
}

// In a large fleet, where each hears of another now and then only, those that live stay known, and one that has gone does not.
func TestManyVersionsStayKnown(t *testing.T) {
	const fleet = 120
	c := newTroop(fleet)
	c.run(time.Minute, func(int) {})
	gone := c.list[7].cfg.Name
	c.list[7].SetMembers(nil)
	c.run(150*time.Second, func(int) {})
	known := 0
	for _, v := range c.list {
		if known += len(v.others); v.cfg.Name != gone {
			assert.NotContains(t, v.others, gone, "as %s knows it", v.cfg.Name)
		}
	}
	assert.Greater(t, known, fleet*(fleet-2)*95/100)
}
