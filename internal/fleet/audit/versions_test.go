package audit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const versionsStart = 1_800_000_000 * time.Second

// cluster is a set of machines that exchange reports without loss.
type cluster struct {
	nodes    []*Versions
	now      time.Duration
	requests []time.Duration
}

func newCluster(n int) *cluster {
	c := &cluster{now: versionsStart}
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("n%03d", i))
	}
	for i, name := range names {
		v := NewVersions(VersionsConfig{Name: name, MaxLag: 2 * time.Second, RequestSpread: 100 * time.Millisecond, Seed: uint64(i)})
		v.SetMembers(names)
		v.Set(Version{Session: 1, ListVersion: 5})
		c.nodes = append(c.nodes, v)
	}
	return c
}

func (c *cluster) run(d time.Duration, onRequest func(i int)) {
	for end := c.now + d; c.now < end; c.now += 100 * time.Millisecond {
		for i, v := range c.nodes {
			out, request := v.Tick(c.now)
			if request {
				c.requests = append(c.requests, c.now)
				onRequest(i)
			}
			for _, s := range out {
				var k int
				_, _ = fmt.Sscanf(s.To, "n%d", &k)
				c.nodes[k].Receive(c.now, s.Message)
			}
		}
	}
}

// A lagging gateway notices, requests the list after MaxLag and catches up; no other gateway requests it.
func TestStragglerRequestsList(t *testing.T) {
	c := newCluster(8)
	for i := 1; i < 8; i++ {
		c.nodes[i].Set(Version{Session: 1, ListVersion: 6})
	}
	begun := c.now
	c.run(10*time.Second, func(i int) {
		require.Zero(t, i)
		c.nodes[0].Set(Version{Session: 1, ListVersion: 6})
	})
	require.Len(t, c.requests, 1)
	assert.Greater(t, c.requests[0]-begun, 2*time.Second)
	since, _ := c.nodes[0].Lagging()
	assert.Zero(t, since)
	for _, k := range c.nodes[3].All() {
		assert.EqualValues(t, 6, k.ListVersion)
		assert.Zero(t, k.LaggingSince)
	}
}

// Many stragglers do not request the list at once.
func TestStragglerRequestsAreSpread(t *testing.T) {
	c := newCluster(100)
	c.nodes[0].Set(Version{Session: 1, ListVersion: 6})
	c.run(30*time.Second, func(i int) { c.nodes[i].Set(Version{Session: 1, ListVersion: 6}) })
	require.Len(t, c.requests, 99)
	in := map[time.Duration]int{}
	for _, at := range c.requests {
		in[at.Truncate(time.Second)]++
	}
	for at, n := range in {
		assert.Less(t, n, 30, "in the second from %v", at)
	}
}

// A list version that discovery does not supply is requested a few times only.
func TestUnavailableVersionIsIgnored(t *testing.T) {
	c := newCluster(3)
	c.nodes[2].Set(Version{Session: 1, ListVersion: 1 << 40})
	c.run(5*time.Minute, func(int) {})
	assert.Len(t, c.requests, 2*maxRequests)
}

// A gateway that sends no reports is forgotten; older and malformed versions change nothing.
func TestSilentGatewayIsForgotten(t *testing.T) {
	v := NewVersions(VersionsConfig{Name: "a", MaxLag: time.Second, RequestSpread: time.Millisecond})
	v.Receive(versionsStart, VersionsMessage{Versions: []Version{{Name: "b", Session: 1, ListVersion: 3}, {Name: ""}, {Name: "a", ListVersion: 99}, {Name: "c", ListVersion: -1}}})
	assert.Len(t, v.All(), 2)
	v.Receive(versionsStart, VersionsMessage{Versions: []Version{{Name: "b", Session: 1, ListVersion: 2}}})
	assert.EqualValues(t, 3, v.All()[1].ListVersion, "an older report changes nothing")
	v.Tick(versionsStart + 2*minRetention)
	assert.Len(t, v.All(), 1)
}

// Reports that others pass on do not keep a removed gateway known for ever, and those of an old process do not replace the
// versions of its successor, even where its counts are lower.
func TestRemovedGatewayIsForgottenByAll(t *testing.T) {
	c := newCluster(16)
	c.run(30*time.Second, func(int) {})
	gone, returns := "n003", "n005"
	c.nodes[3].SetMembers(nil) // it sends no reports any more
	c.nodes[5] = NewVersions(VersionsConfig{Name: returns, MaxLag: 2 * time.Second, RequestSpread: 100 * time.Millisecond, Seed: 99})
	var names []string
	for _, v := range c.nodes {
		names = append(names, v.cfg.Name)
	}
	c.nodes[5].SetMembers(names)
	c.nodes[5].Set(Version{Session: 2, ListVersion: 5})
	c.run(10*time.Second, func(int) {})
	for _, v := range c.nodes {
		if v.cfg.Name != returns {
			assert.EqualValues(t, 2, v.others[returns].Session, "as %s knows it", v.cfg.Name)
		}
	}
	c.run(3*minRetention, func(int) {})
	for _, v := range c.nodes {
		if v.cfg.Name != gone {
			assert.NotContains(t, v.others, gone, "as %s knows it", v.cfg.Name)
		}
	}
}

// In a large fleet, where reports of each gateway arrive rarely, live gateways stay known and a removed one does not.
func TestManyVersionsStayKnown(t *testing.T) {
	const fleet = 120
	c := newCluster(fleet)
	c.run(time.Minute, func(int) {})
	gone := c.nodes[7].cfg.Name
	c.nodes[7].SetMembers(nil)
	c.run(150*time.Second, func(int) {})
	known := 0
	for _, v := range c.nodes {
		if known += len(v.others); v.cfg.Name != gone {
			assert.NotContains(t, v.others, gone, "as %s knows it", v.cfg.Name)
		}
	}
	assert.Greater(t, known, fleet*(fleet-2)*95/100)
}
