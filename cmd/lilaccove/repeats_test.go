package main

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/standin"
)

// All databases answer with errors or not at all: repeats cannot help, and all gateways' together would be several times the
// load. They keep to the fleet's share of first attempts, while gateways are killed, cut off from each other and stopped.
func TestFleetRepeats(t *testing.T) {
	for _, share := range []string{"", ", repeats: 20%"} {
		t.Run("share"+share, func(t *testing.T) {
			p := newPartyOf(t, 7, strings.NewReplacer("fleet: true", "fleet: true"+share, "120/s", "200/s").Replace(fmt.Sprintf(partyPlan, 7)))
			p.World().SetFaults(standin.Faults{Errors: 0.7, ResetAfter: 0.2})
			before := p.World().Counts()
			processes := 7
			p.Mesh().Partition([][]int{{0, 1, 2}, {3, 4, 5, 6}}, true)
			tried := func() int { return p.World().Counts().Firsts - before.Firsts }
			p.eventually("reads are tried", func() bool { return tried() > 200 })
			p.restart(nil, 1, 5)
			processes += 2
			require.NoError(t, p.Node(4).Pause())
			p.eventually("reads are tried", func() bool { return tried() > 500 })
			require.NoError(t, p.Node(4).Resume())
			p.Mesh().Partition([][]int{{0, 1, 2}, {3, 4, 5, 6}}, false)
			p.eventually("reads are tried", func() bool { return tried() > 900 })
			c := p.World().Counts()
			firsts, repeats := c.Firsts-before.Firsts, c.Repeats-before.Repeats
			t.Logf("%d first attempts, %d repeats", firsts, repeats)
			if most := 0.21*float64(firsts) + 3*float64(processes); share == "" {
				assert.Greater(t, float64(repeats), most, "without a bound it is more")
			} else {
				assert.LessOrEqual(t, float64(repeats), most)
				assert.Greater(t, float64(repeats), most/3, "what is allowed is used")
			}
			p.World().SetFaults(standin.Faults{})
			from := p.World().Counts()
			p.eventually("all is served again", func() bool { n := p.World().Counts(); return n.Writes > from.Writes+100 && n.Reads > from.Reads+300 })
			p.judge(0.1)
		})
	}
}
