package main

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/lab"
	"lilaccove/internal/pgwire"
)

// fencePlan has gateways shut themselves out; bounded reads find replicas by what others tell.
func fencePlan(n int) string {
	return strings.Replace(fmt.Sprintf(sharedPlan, n), "fleet: true", "fleet: true, fence: 2 s", 1)
}

func (p *party) fenced(list ...int) (out []int) {
	for _, i := range list {
		if p.figure(i, "fleet_fenced") == 1 {
			out = append(out, i)
		}
	}
	return out
}

// everFenced tells whether a gateway has ever shut itself out.
func (p *party) everFenced(i int) bool {
	for _, e := range p.Node(i).FleetEvents() {
		if strings.HasPrefix(e, "fleet_fenced on=true") {
			return true
		}
	}
	return false
}

// direct is a client of one gateway, past the front.
func (p *party) direct(i int) *client {
	return (&site{t: p.t, addr: p.Node(i).ClientAddr}).client()
}

func inGroup(text string, group int) string {
	return strings.Replace(text, "cluster=2", fmt.Sprintf("cluster=%d", group), 1)
}

// A gateway whose discovery tells an old list, whatever it asks, shuts itself out and nobody else does: the front leaves it,
// it refuses writes at once and serves reads. It is back when its discovery tells the truth. An operator may say otherwise.
func TestFleetAuditFence(t *testing.T) {
	p := newPartyWith(t, 4, fencePlan(4), func(l *lab.Lab) { l.SeparateDiscovery = []int{0} })
	p.Discovery(0).Freeze(true)
	require.NoError(t, p.World().AddReplica(0))
	p.eventually("it shuts itself out", func() bool { return len(p.fenced(0)) == 1 })
	p.eventually("the front leaves it", func() bool { return p.Balancer().Admitted() == 3 })
	c := p.direct(0)
	begun := time.Now()
	got := c.ask(inGroup(stmt("write", 3000, ""), 0))
	assert.Equal(t, pgwire.CodeTooManyConnections, got.code)
	assert.NotEmpty(t, got.detail, "with a retry-after")
	assert.Less(t, time.Since(begun), time.Second, "at once")
	assert.Empty(t, c.ask(inGroup(stmt("browse", 1000, ""), 0)).code, "reads go on")
	_, err := p.Node(0).Call("GET", "/v1/readyz")
	assert.ErrorContains(t, err, "503")

	_, err = p.Node(0).Call("PUT", "/v1/gateway/unfence")
	require.NoError(t, err)
	assert.Empty(t, p.fenced(0), "by hand")
	_, err = p.Node(0).Call("PUT", "/v1/gateway/fence")
	require.NoError(t, err)
	assert.Len(t, p.fenced(0), 1)
	_, err = p.Node(0).Call("PUT", "/v1/gateway/unfence")
	require.NoError(t, err)

	require.NoError(t, p.World().AddReplica(1)) // and the word was for the list that it had
	p.Discovery(0).Freeze(false)
	p.eventually("it is back", func() bool { return p.figure(0, "known_databases") == 12 && len(p.fenced(0)) == 0 })
	p.eventually("the front gives it clients", func() bool { return p.Balancer().Admitted() == 4 })
	for _, i := range p.but(0) {
		assert.False(t, p.everFenced(i), "n%d", i)
	}
	p.judge(0.7)
}

// Where discovery tells most an old list, nobody is shut out: who is right cannot be known.
func TestFleetAuditFenceNeverTooMany(t *testing.T) {
	p := newPartyWith(t, 4, fencePlan(4), func(l *lab.Lab) { l.SeparateDiscovery = []int{0, 1} })
	p.Discovery(0).Freeze(true)
	p.Discovery(1).Freeze(true)
	require.NoError(t, p.World().AddReplica(0))
	for _, i := range []int{0, 1} {
		p.eventually("each old one has asked in vain and given up", func() bool { return p.figure(i, "fleet_behind_asked") == 3 })
	}
	reads := p.World().Counts().Reads
	p.eventually("and served on", func() bool { return p.World().Counts().Reads > reads+200 })
	for _, i := range p.all() {
		assert.False(t, p.everFenced(i), "n%d", i)
	}
	p.judge(0.7)
}

// A gateway that stood still takes no write that came meanwhile before it has heard what the others know.
func TestFleetAuditFenceOfOneThatStoodStill(t *testing.T) {
	p := newPartyWith(t, 4, fencePlan(4), nil)
	c := p.direct(1)
	c.ask("")
	require.NoError(t, p.Node(1).Pause())
	for range 3 {
		c.write(query(inGroup(stmt("write", 3000, ""), 0)))
	}
	time.Sleep(3 * time.Second) // the fault itself
	require.NoError(t, p.Node(1).Resume())
	for range 3 {
		assert.Equal(t, pgwire.CodeTooManyConnections, c.read().code, "refused, not sent")
	}
	p.eventually("it has heard", func() bool { return len(p.fenced(1)) == 0 })
	assert.Less(t, p.serves(1), 2*time.Second)
	assert.True(t, p.everFenced(1))
	for _, i := range p.but(1) {
		assert.False(t, p.everFenced(i), "n%d", i)
	}
	p.judge(0.7)
}

// What was on its way while a gateway stood still tells of then, however much of it waits: cut off from the others behind its
// stop, it takes no write for the two seconds in which it might hear of them.
func TestFleetAuditFenceIsNotLiftedByWhatWaited(t *testing.T) {
	const waits = 100 // datagrams, more than a round reads
	p := newPartyWith(t, 4, fencePlan(4), nil)
	c := p.direct(1)
	c.ask("")
	require.NoError(t, p.Node(1).Pause())
	to, err := net.Dial("udp", p.peerAddress(1))
	require.NoError(t, err)
	t.Cleanup(func() { to.Close() })
	for range waits {
		_, err := to.Write([]byte("nothing that a gateway says"))
		require.NoError(t, err)
	}
	time.Sleep(3 * time.Second) // the fault itself; the others go on telling
	p.Mesh().Partition([][]int{{1}, {0, 2, 3}}, true)
	require.NoError(t, p.Node(1).Resume())
	begun := time.Now()
	for time.Since(begun) < time.Second {
		assert.Equal(t, pgwire.CodeTooManyConnections, c.ask(inGroup(stmt("write", 1000, ""), 0)).code, "%v behind its stop", time.Since(begun))
	}
	p.Mesh().Partition([][]int{{1}, {0, 2, 3}}, false)
	p.eventually("it has heard", func() bool { return len(p.fenced(1)) == 0 })
	p.judge(0.7)
}

// peerAddress is where a gateway itself listens for the others, behind all relays.
func (p *party) peerAddress(i int) string {
	p.t.Helper()
	for _, e := range p.Node(i).FleetEvents() {
		if strings.HasPrefix(e, "fleet_started ") {
			_, rest, _ := strings.Cut(e, "listen=")
			return strings.Fields(rest)[0]
		}
	}
	p.t.Fatal("it has not told where it listens")
	return ""
}
