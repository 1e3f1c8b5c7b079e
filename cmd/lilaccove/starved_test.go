package main

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// starvedPlan has seven gateways so busy that one which stands still leaves many requests half done.
var starvedPlan = strings.NewReplacer("120/s", "400/s", "connections: 20", "connections: 60").Replace(fmt.Sprintf(partyPlan, 7))

// unharmed tells that nobody has taken a healthy primary for a failed one, and that each database has kept a share of
// the work: at least half of what it would have if all of a group's replicas had the same.
func (p *party) unharmed(begun map[string]int) {
	p.t.Helper()
	for _, i := range p.all() {
		assert.Empty(p.t, p.breakers(i), "the breakers that n%d opened", i)
		assert.Zero(p.t, p.figure(i, "skipped_databases"))
	}
	work, count := map[int]int{}, map[int]int{}
	for _, h := range p.World().Members() {
		work[h.Group] += h.StatementCount() - begun[h.ID]
		count[h.Group]++
	}
	for _, h := range p.World().Members() {
		assert.Greater(p.t, h.StatementCount()-begun[h.ID], work[h.Group]/count[h.Group]/2, "%s of group %d", h.ID, h.Group)
	}
}

// breakers are what a gateway has said of them.
func (p *party) breakers(i int) (list []string) {
	for _, e := range p.Node(i).FleetEvents() {
		if strings.HasPrefix(e, "policy ") {
			list = append(list, e)
		}
	}
	return list
}

func (p *party) begun() map[string]int {
	all := map[string]int{}
	for _, h := range p.World().Members() {
		all[h.ID] = h.StatementCount()
	}
	return all
}

// serves asks a gateway as a client until it is served, and tells how long that took.
func (p *party) serves(i int) time.Duration {
	p.t.Helper()
	asked := time.Now()
	s := &site{t: p.t, addr: p.Node(i).ClientAddr}
	p.eventually("it serves", func() bool {
		c, err := net.Dial("tcp", s.addr)
		if err != nil {
			return false
		}
		c.Close()
		got := s.client().ask(strings.Replace(stmt("write", 1000, ""), "cluster=2", "cluster=1", 1))
		return got.value != "" && got.code == ""
	})
	return time.Since(asked)
}

// A gateway that stood still once for two seconds blames nobody for that, and serves at once.
func TestFleetStarvedStop(t *testing.T) {
	p := newPartyOf(t, 7, starvedPlan)
	begun := p.begun()
	require.NoError(t, p.Node(1).Pause())
	time.Sleep(2 * time.Second) // the fault itself
	require.NoError(t, p.Node(1).Resume())
	assert.Less(t, p.serves(1), time.Second)
	p.agree(7, p.all()...)
	p.unharmed(begun)
	p.judge(0.9)
	assert.Positive(t, p.figure(1, "lost_ms"), "it knows that it was the one")
}

// One that runs for 0.3 of every second is slow, and the databases are not: it refuses nothing for want of room at them.
func TestFleetStarvedPulses(t *testing.T) {
	p := newPartyOf(t, 7, starvedPlan)
	begun := p.begun()
	for range 8 {
		require.NoError(t, p.Node(1).Pause())
		time.Sleep(700 * time.Millisecond) // the fault itself
		require.NoError(t, p.Node(1).Resume())
		time.Sleep(300 * time.Millisecond)
	}
	assert.Less(t, p.serves(1), time.Second)
	p.unharmed(begun)
	p.judge(0.8)
	assert.Greater(t, p.figure(1, "lost_ms"), 2500)
	for _, class := range []string{"browse", "own", "write"} {
		assert.Less(t, p.figure(1, "dropped."+class), 10+p.figure(1, "passed."+class)/30, class)
		assert.Zero(t, p.figure(1, "bad_gateway."+class), class)
	}
}
