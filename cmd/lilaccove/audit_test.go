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

// auditRecords returns the audit records that the given gateways report.
func (fleet *testFleet) auditRecords(gateways ...int) (records []audit.ChainedRecord) {
	fleet.t.Helper()
	for _, i := range gateways {
		text, err := fleet.Node(i).Call("GET", "/v1/fleet/audit")
		require.NoError(fleet.t, err)
		var r peer.AuditReport
		require.NoError(fleet.t, json.Unmarshal(text, &r))
		for _, line := range r.Records {
			record, err := audit.ParseRecord(line)
			require.NoError(fleet.t, err)
			records = append(records, record)
		}
	}
	return records
}

// waitWrites waits until each gateway has served n writes.
func (fleet *testFleet) waitWrites(n int) {
	fleet.t.Helper()
	fleet.eventually("all gateways have served writes", func() bool {
		for _, i := range fleet.all() {
			if fleet.metric(i, "passed.write") < n {
				return false
			}
		}
		return true
	})
}

// auditFindings returns the findings of a kind in the records of all gateways.
func (fleet *testFleet) auditFindings(kind string) (findings []audit.Finding) {
	for _, f := range audit.Analyze(fleet.auditRecords(fleet.all()...), audit.DefaultTolerances()) {
		if f.Kind == kind {
			findings = append(findings, f)
		}
	}
	return findings
}

// Two databases of a group accept writes. No single gateway can notice that; the records of all gateways show it, with the group
// and both databases.
func TestFleetAuditTwoPrimaries(t *testing.T) {
	fleet := newTestFleetWithPlan(t, 4, fmt.Sprintf(sharedPlan, 4))
	fleet.waitWrites(5)
	assert.Empty(t, audit.Analyze(fleet.auditRecords(fleet.all()...), audit.DefaultTolerances()), "a healthy fleet has no findings")
	members := fleet.World().Members()
	old, claimant := members[0], members[1]
	require.Equal(t, old.Group, claimant.Group)
	claimant.ClaimPrimary()
	var finding audit.Finding
	fleet.eventually("the violation is found", func() bool {
		findings := fleet.auditFindings(audit.TwoPrimaries)
		if len(findings) > 0 {
			finding = findings[0]
		}
		return len(findings) > 0
	})
	assert.Equal(t, old.Group, finding.Group)
	assert.ElementsMatch(t, []string{old.ID, claimant.ID}, strings.Fields(finding.Database))
	fleet.finishAndCheck(0.7)
}

// A gateway receives neither changes of the list nor the other gateways' list versions, and goes on using a database that drains.
// The records show that, with the list version it acted on. Once the others reach it, it stops by itself.
func TestFleetAuditDrain(t *testing.T) {
	fleet := newTestFleetWithPlan(t, 4, strings.Replace(fmt.Sprintf(sharedPlan, 4), "subsets: true, ", "", 1)) // each uses all replicas
	fleet.makeLagging(0)
	sides := [][]int{{0}, {1, 2, 3}}
	fleet.Mesh().Partition(sides, true)
	host := fleet.World().Members()[1]
	host.Announce("terminating", time.Time{})
	fleet.eventually("the violation is found", func() bool { return len(fleet.auditFindings(audit.AfterDrain)) > 0 })
	for _, f := range fleet.auditFindings(audit.AfterDrain) {
		assert.Equal(t, []string{"n0"}, f.Gateways)
		assert.Equal(t, host.ID, f.Database)
		assert.Contains(t, f.Text, "list 1")
	}
	fleet.Mesh().Partition(sides, false)
	fleet.eventually("it gets the new list and stops", func() bool { return fleet.metric(0, "skipped_databases") == 1 })
	fleet.finish()
	world := fleet.report.World.(standin.Counts)
	assert.Zero(t, world.Duplicates+world.Stale)
	assert.Zero(t, fleet.report.Total.Counts[loadrun.InvalidAnswer])
	assert.Positive(t, world.Drained, "the stand-in counted statements while it drained")
}

// An override does not reach a gateway: the audit finds the statements that the gateway sends against it.
func TestFleetAuditOverride(t *testing.T) {
	fleet := newTestFleetWithPlan(t, 4, fmt.Sprintf(sharedPlan, 4))
	sides := [][]int{{0}, {1, 2, 3}}
	fleet.Mesh().Partition(sides, true)
	host := fleet.World().Members()[0]
	fleet.setOverride(2, host.ID, "suspend")
	fleet.eventually("the violation is found", func() bool { return len(fleet.auditFindings(audit.AfterOverride)) > 0 })
	for _, f := range fleet.auditFindings(audit.AfterOverride) {
		assert.Equal(t, []string{"n0"}, f.Gateways)
		assert.Equal(t, host.ID, f.Database)
	}
	fleet.Mesh().Partition(sides, false)
	fleet.waitSuspendedCount(1, fleet.all()...)
	fleet.finishAndCheck(0.5)
}

// After a kill, the audit file has all that the gateway wrote up to the last complete line, and the next process appends to it. A
// record that is changed or removed afterwards is detected.
func TestFleetAuditFile(t *testing.T) {
	fleet := newTestFleetWithPlan(t, 4, strings.Replace(fmt.Sprintf(sharedPlan, 4), "fleet: true", "fleet: true, audit: true", 1))
	file := fleet.AuditFile(1)
	readFile := func() (records []audit.ChainedRecord, sessions map[string]bool) {
		lines, err := auditfile.Lines(file)
		require.NoError(t, err)
		sessions = map[string]bool{}
		for _, l := range lines {
			record, err := audit.ParseRecord(l)
			require.NoError(t, err)
			records = append(records, record)
			sessions[record.Session] = true
		}
		return records, sessions
	}
	fleet.eventually("it has written some records", func() bool {
		fleet.auditRecords(1) // reading the records ends a span
		records, _ := readFile()
		return len(records) >= 3
	})
	fleet.Node(1).Kill()
	before, _ := readFile()
	_, err := fleet.Start(1)
	require.NoError(t, err)
	fleet.eventually("the next process appends records", func() bool {
		fleet.auditRecords(1)
		records, sessions := readFile()
		return len(sessions) == 2 && len(records) >= len(before)+3
	})
	records, _ := readFile()
	assert.Empty(t, audit.Analyze(records, audit.DefaultTolerances()))
	require.NoError(t, fleet.Node(1).Terminate())
	afterExit, _ := readFile()
	assert.Greater(t, len(afterExit), len(records), "the last span is written at the shutdown")
	fleet.finishAndCheck(0.7)

	text, err := os.ReadFile(file)
	require.NoError(t, err)
	lines := strings.SplitAfter(string(text), "\n")
	require.NoError(t, os.WriteFile(file, []byte(strings.Join(append(lines[:1:1], lines[2:]...), "")), 0o600))
	records, _ = readFile()
	findings := audit.Analyze(records, audit.DefaultTolerances())
	require.Len(t, findings, 1)
	assert.Equal(t, audit.BrokenChain, findings[0].Kind)
	tampered := strings.Replace(lines[1], `"list":1`, `"list":7`, 1)
	require.NotEqual(t, lines[1], tampered)
	_, err = audit.ParseRecord([]byte(tampered))
	assert.ErrorContains(t, err, "changed")
}
