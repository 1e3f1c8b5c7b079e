package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/load/plan"
	"lilaccove/internal/peer"
	"lilaccove/internal/standin"
)

// state is what gateway i knows of operators' words.
func (p *party) state(i int) (r peer.StateReport) {
	text, err := p.Node(i).Call("GET", "/v1/fleet/state")
	require.NoError(p.t, err)
	require.NoError(p.t, json.Unmarshal(text, &r))
	return r
}

// word takes an operator's word to the fleet at one gateway; it returns the answer.
func (p *party) word(i int, host, verb string) string {
	p.t.Helper()
	text, err := p.Node(i).Call("PUT", "/v1/fleet/databases/"+host+"/"+verb)
	require.NoError(p.t, err)
	return strings.TrimSpace(string(text))
}

// left waits until some gateways leave out so many databases.
func (p *party) left(n int, list ...int) {
	p.t.Helper()
	p.eventually(fmt.Sprintf("%d databases are left out at %v", n, list), func() bool {
		for _, i := range list {
			if p.figure(i, "skipped_databases") != n {
				return false
			}
		}
		return true
	})
}

// begunBy is how many statements a database that is left out has begun, once what was under way is over.
func (p *party) begunBy(host *standin.Host) int {
	p.t.Helper()
	p.eventually("what was under way is over", func() bool {
		before, reads := host.StatementCount(), p.World().Counts().Reads
		p.eventually("reads go on elsewhere", func() bool { return p.World().Counts().Reads > reads+30 })
		return host.StatementCount() == before
	})
	return host.StatementCount()
}

// A word told to one gateway binds all. One that is killed and returns without a memory knows it before it takes clients:
// the database gets nothing all along.
func TestFleetStateSuspension(t *testing.T) {
	p := newPartyOf(t, 4, fmt.Sprintf(sharedPlan, 4))
	host := p.World().Members()[0] // a primary: who does not know better uses it first
	p.eventually("it is in use", func() bool { return host.StatementCount() > 20 })
	p.word(2, host.ID, "suspend")
	p.left(1, p.all()...)
	require.Equal(t, p.state(0).Digest, p.state(3).Digest)
	begun := p.begunBy(host)
	for _, i := range []int{2, 0} {
		p.Node(i).Kill()
		for j := range 4 { // what others know is long on its way
			p.Mesh().SetLink(i, j, plan.Link{Delay: 200 * time.Millisecond})
			p.Mesh().SetLink(j, i, plan.Link{Delay: 200 * time.Millisecond})
		}
		_, err := p.Start(i)
		require.NoError(t, err)
		p.eventually("it is back in the front", func() bool { return p.Balancer().Admitted() == 4 && p.state(i).Synced })
		reads := p.World().Counts().Reads
		p.eventually("reads go on", func() bool { return p.World().Counts().Reads > reads+200 })
	}
	p.left(1, p.all()...)
	assert.Equal(t, begun, host.StatementCount(), "a gateway that returned used it")
	p.word(1, host.ID, "resume")
	p.left(0, p.all()...)
	p.eventually("it is in use again", func() bool { return host.StatementCount() > begun })
	_, err := p.Node(1).Call("PUT", "/v1/fleet/databases/nobody/suspend")
	assert.ErrorContains(t, err, "404")
	p.judge(0.7)
}

// Two gateways are killed and return at once without a memory, each nearer to the other than to those that have the word. That
// neither knows of a word tells them nothing: both learn it before they take clients.
func TestFleetStateTwoReturnAtOnce(t *testing.T) {
	p := newPartyOf(t, 4, fmt.Sprintf(sharedPlan, 4))
	host := p.World().Members()[0]
	p.eventually("it is in use", func() bool { return host.StatementCount() > 20 })
	p.word(0, host.ID, "suspend")
	p.left(1, p.all()...)
	begun := p.begunBy(host)
	for _, i := range []int{0, 1} {
		for _, j := range []int{2, 3} {
			p.Mesh().SetLink(i, j, plan.Link{Delay: 200 * time.Millisecond})
			p.Mesh().SetLink(j, i, plan.Link{Delay: 200 * time.Millisecond})
		}
	}
	for range 2 {
		p.restart(nil, 2, 3)
		p.eventually("both are back in the front", func() bool {
			return p.Balancer().Admitted() == 4 && p.state(2).Synced && p.state(3).Synced
		})
		reads := p.World().Counts().Reads
		p.eventually("reads go on", func() bool { return p.World().Counts().Reads > reads+200 })
		p.left(1, p.all()...)
	}
	assert.Equal(t, begun, host.StatementCount(), "a gateway that returned used it")
	p.judge(0.6)
}

// Words said on both sides of a partition: the database stays out and the conflict is told until an operator speaks again.
func TestFleetStateConflict(t *testing.T) {
	p := newPartyOf(t, 4, fmt.Sprintf(sharedPlan, 4))
	host := p.World().Members()[2].ID
	p.word(0, host, "suspend")
	p.left(1, p.all()...)
	sides := [][]int{{0, 1}, {2, 3}}
	p.Mesh().Partition(sides, true)
	p.agree(2, 0, 1)
	p.word(0, host, "resume")
	p.left(0, 0, 1)
	p.word(3, host, "suspend")
	p.left(1, 2, 3)
	p.Mesh().Partition(sides, false)
	p.left(1, p.all()...)
	p.eventually("each tells of the conflict", func() bool {
		for i := range 4 {
			if s := p.state(i); len(s.Conflicts) != 1 || s.Digest != p.state(0).Digest {
				return false
			}
		}
		return true
	})
	p.word(2, host, "resume")
	p.left(0, p.all()...)
	assert.Empty(t, p.state(1).Conflicts)
	// A word to one gateway alone holds beside the fleet's.
	_, err := p.Node(0).Call("PUT", "/v1/databases/"+host+"/suspend")
	require.NoError(t, err)
	p.word(1, host, "suspend")
	p.left(1, p.all()...)
	p.word(1, host, "resume")
	p.left(0, 1, 2, 3)
	p.left(1, 0)
	p.judge(0.7)
}

// A gateway is drained by a word told at another, while nobody can reach it. It obeys when it hears of that, and again after it
// was killed; only the fleet's word has it work again.
func TestFleetStateDrain(t *testing.T) {
	p := newPartyOf(t, 4, storePlan)
	say := func(i int, verb string) {
		t.Helper()
		_, err := p.Node(i).Call("PUT", "/v1/fleet/gateways/n2/"+verb)
		require.NoError(t, err)
	}
	drained := func() bool {
		_, err := p.Node(2).Call("GET", "/v1/readyz")
		return err != nil && strings.Contains(err.Error(), "drained by a word to the fleet")
	}
	sides := [][]int{{2}, {0, 1, 3}}
	p.Mesh().Partition(sides, true)
	p.agree(3, 0, 1, 3)
	say(0, "drain")
	passed := p.figure(2, "passed.browse")
	p.eventually("it cannot know yet", func() bool { return p.figure(2, "passed.browse") > passed+10 })
	p.Mesh().Partition(sides, false)
	p.eventually("it obeys", func() bool { return drained() && p.Balancer().Admitted() == 3 })
	p.restart(nil, 2)
	p.eventually("it obeys after a restart", func() bool { return drained() && p.state(2).Synced })
	_, err := p.Node(2).Call("PUT", "/v1/gateway/activate")
	require.NoError(t, err)
	p.agree(3, 0, 1, 3)
	assert.True(t, drained())
	assert.Equal(t, 3, p.Balancer().Admitted())
	assert.Zero(t, p.figure(2, "passed.browse"))
	say(1, "activate")
	p.eventually("it works again", func() bool { return p.Balancer().Admitted() == 4 && p.figure(2, "passed.browse") > 0 })
	p.agree(4, p.all()...)
	_, err = p.Node(0).Call("PUT", "/v1/fleet/gateways/nobody/drain")
	assert.ErrorContains(t, err, "404")
	p.judge(0.5)
}
