package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A primary hangs and a replica takes its place; discovery does not tell. A gateway that has no clients learns of that from
// the others' answers, not by failing: its first write goes to the new primary. While a partition keeps it from them it knows
// nothing, and afterwards it is told.
func TestFleetStatePrimaries(t *testing.T) { primariesAreTold(t, "primaries: true") }

// The same holds under a budget.
func TestFleetReconcilePrimaries(t *testing.T) { primariesAreTold(t, "primaries: true, bytes: 500/s") }

func primariesAreTold(t *testing.T, lines string) {
	p := newPartyOf(t, 4, strings.Replace(fmt.Sprintf(sharedPlan, 4), "fleet: true", "fleet: true, "+lines, 1))
	idle := 3
	p.Balancer().SetAddr(idle, "127.0.0.1:1") // nobody is sent to it
	ask := func(what string) {
		t.Helper()
		begun := time.Now()
		got := p.direct(idle).ask(inGroup(stmt("write", 2500, ""), 0))
		assert.NotEmpty(t, got.value, "%s: %+v", what, got)
		assert.Less(t, time.Since(begun), time.Second, what)
	}
	ask("at first")
	sides := [][]int{{idle}, {0, 1, 2}}
	p.Mesh().Partition(sides, true)
	old, next := p.World().Members()[0], p.World().Members()[1]
	require.Equal(t, old.Group, next.Group)
	old.Hang()
	next.Promote()
	writes := func() int { return p.World().Counts().Writes }
	before := writes()
	p.eventually("the others write again", func() bool { return writes() > before+100 })
	heard := p.figure(idle, "fleet_primaries.heard")
	p.Mesh().Partition(sides, false)
	p.eventually("it is told", func() bool { return p.figure(idle, "fleet_primaries.heard") >= heard+4 })
	tries := p.figure(idle, "upstream_tries.write")
	ask("behind the hand-over")
	assert.Equal(t, tries+1, p.figure(idle, "upstream_tries.write"), "one attempt")
	p.judge(0.5)
}
