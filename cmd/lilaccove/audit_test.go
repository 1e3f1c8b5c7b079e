package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/auditfile"
	"lilaccove/internal/fleet/audit"
	loadrun "lilaccove/internal/load/run"
	"lilaccove/internal/peer"
	"lilaccove/internal/standin"
)

// records are those that some gateways tell.
func (p *party) records(list ...int) (all []audit.ChainedRecord) {
	p.t.Helper()
	for _, i := range list {
		text, err := p.Node(i).Call("GET", "/v1/fleet/audit")
		require.NoError(p.t, err)
		var r peer.AuditReport
		require.NoError(p.t, json.Unmarshal(text, &r))
		for _, line := range r.Records {
			s, err := audit.ParseRecord(line)
			require.NoError(p.t, err)
			all = append(all, s)
		}
	}
	return all
}

// written waits until each gateway has served so many writes.
func (p *party) written(n int) {
	p.t.Helper()
	p.eventually("all have written", func() bool {
		for _, i := range p.all() {
			if p.figure(i, "passed.write") < n {
				return false
			}
		}
		return true
	})
}

// found are the findings of a kind in what all gateways tell.
func (p *party) found(kind string) (list []audit.Finding) {
	for _, f := range audit.Analyze(p.records(p.all()...), audit.DefaultTolerances()) {
		if f.Kind == kind {
			list = append(list, f)
		}
	}
	return list
}

// Two databases of a group take writes: no gateway can know it, the records of all show it, and whose they are.
func TestFleetAuditTwoPrimaries(t *testing.T) {
	p := newPartyOf(t, 4, fmt.Sprintf(sharedPlan, 4))
	p.written(5)
	assert.Empty(t, audit.Analyze(p.records(p.all()...), audit.DefaultTolerances()), "a fleet at work has no findings")
	members := p.World().Members()
	old, claims := members[0], members[1]
	require.Equal(t, old.Group, claims.Group)
	claims.ClaimPrimary()
	var f audit.Finding
	p.eventually("it is found", func() bool {
		list := p.found(audit.TwoPrimaries)
		if len(list) > 0 {
			f = list[0]
		}
		return len(list) > 0
	})
	assert.Equal(t, old.Group, f.Group)
	assert.ElementsMatch(t, []string{old.ID, claims.ID}, strings.Fields(f.Database))
	p.judge(0.7)
}

// A gateway that nothing reaches, neither the list's changes nor the others' word that there are some, works on at a
// database that drains. The records show it with the list that it acted on; once it is reached it stops by itself.
func TestFleetAuditDrain(t *testing.T) {
	p := newPartyOf(t, 4, strings.Replace(fmt.Sprintf(sharedPlan, 4), "subsets: true, ", "", 1)) // each uses all replicas
	p.straggle(0)
	sides := [][]int{{0}, {1, 2, 3}}
	p.Mesh().Partition(sides, true)
	host := p.World().Members()[1]
	host.Announce("terminating", time.Time{})
	p.eventually("it is found", func() bool { return len(p.found(audit.AfterDrain)) > 0 })
	for _, f := range p.found(audit.AfterDrain) {
		assert.Equal(t, []string{"n0"}, f.Gateways)
		assert.Equal(t, host.ID, f.Database)
		assert.Contains(t, f.Text, "list 1")
	}
	p.Mesh().Partition(sides, false)
	p.eventually("it is brought up and stops", func() bool { return p.figure(0, "skipped_databases") == 1 })
	p.finish()
	world := p.report.World.(standin.Counts)
	assert.Zero(t, world.Duplicates+world.Stale)
	assert.Zero(t, p.report.Total.Counts[loadrun.InvalidAnswer])
	assert.Positive(t, world.Drained, "the stand-in saw the same")
}

// A word that does not reach a gateway: what it does against it is found.
func TestFleetAuditWord(t *testing.T) {
	p := newPartyOf(t, 4, fmt.Sprintf(sharedPlan, 4))
	sides := [][]int{{0}, {1, 2, 3}}
	p.Mesh().Partition(sides, true)
	host := p.World().Members()[0]
	p.word(2, host.ID, "suspend")
	p.eventually("it is found", func() bool { return len(p.found(audit.AfterOverride)) > 0 })
	for _, f := range p.found(audit.AfterOverride) {
		assert.Equal(t, []string{"n0"}, f.Gateways)
		assert.Equal(t, host.ID, f.Database)
	}
	p.Mesh().Partition(sides, false)
	p.left(1, p.all()...)
	p.judge(0.5)
}

// What a gateway wrote is there after a kill, up to the last whole line; its next process goes on in the file. A record that
// is changed or taken out afterwards shows.
func TestFleetAuditFile(t *testing.T) {
	p := newPartyOf(t, 4, strings.Replace(fmt.Sprintf(sharedPlan, 4), "fleet: true", "fleet: true, audit: true", 1))
	file := p.AuditFile(1)
	read := func() (list []audit.ChainedRecord, sessions map[string]bool) {
		lines, err := auditfile.Lines(file)
		require.NoError(t, err)
		sessions = map[string]bool{}
		for _, l := range lines {
			s, err := audit.ParseRecord(l)
			require.NoError(t, err)
			list = append(list, s)
			sessions[s.Session] = true
		}
		return list, sessions
	}
	p.eventually("it has written some", func() bool {
		p.records(1) // a span ends for who reads
		list, _ := read()
		return len(list) >= 3
	})
	p.Node(1).Kill()
	before, _ := read()
	_, err := p.Start(1)
	require.NoError(t, err)
	p.eventually("the next process goes on", func() bool {
		p.records(1)
		list, sessions := read()
		return len(sessions) == 2 && len(list) >= len(before)+3
	})
	list, _ := read()
	assert.Empty(t, audit.Analyze(list, audit.DefaultTolerances()))
	require.NoError(t, p.Node(1).Terminate())
	ended, _ := read()
	assert.Greater(t, len(ended), len(list), "the last span is written at the end")
	p.judge(0.7)

	text, err := os.ReadFile(file)
	require.NoError(t, err)
	lines := strings.SplitAfter(string(text), "\n")
	require.NoError(t, os.WriteFile(file, []byte(strings.Join(append(lines[:1:1], lines[2:]...), "")), 0o600))
	list, _ = read()
	found := audit.Analyze(list, audit.DefaultTolerances())
	require.Len(t, found, 1)
	assert.Equal(t, audit.BrokenChain, found[0].Kind)
	changed := strings.Replace(lines[1], `"list":1`, `"list":7`, 1)
	require.NotEqual(t, lines[1], changed)
	_, err = audit.ParseRecord([]byte(changed))
	assert.ErrorContains(t, err, "changed")
}
