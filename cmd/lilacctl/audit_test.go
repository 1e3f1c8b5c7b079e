package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/fleet/audit"
	"lilaccove/internal/peer"
)

// recordDrain returns the audit records of two gateways: informed knows that a database drains, and straggler still sends
// requests to it ten seconds later.
func recordDrain() (informed, straggler [][]byte, now time.Duration) {
	now = time.Duration(time.Now().Add(-time.Minute).UnixNano())
	informedRecorder, stragglerRecorder := audit.NewRecorder("n0", 1), audit.NewRecorder("n1", 2)
	for _, r := range []*audit.Recorder{informedRecorder, stragglerRecorder} {
		r.Set(now, audit.Version{ListVersion: 4})
	}
	informedRecorder.Set(now+time.Second, audit.Version{ListVersion: 5})
	informedRecorder.SetDraining(now+time.Second, "db-7", 3, true)
	for i := range 12 {
		stragglerRecorder.Sent(now+time.Duration(i)*time.Second, "db-7", 3)
		informedRecorder.Tick(now + time.Duration(i)*time.Second)
		stragglerRecorder.Tick(now + time.Duration(i)*time.Second)
	}
	informedRecorder.Flush(now + 13*time.Second)
	stragglerRecorder.Flush(now + 13*time.Second)
	return informedRecorder.Take(), stragglerRecorder.Take(), now
}

// The command merges records from a gateway and a file, reports requests to a draining database, filters findings, and
// detects a changed record by its hash.
func TestAudit(t *testing.T) {
	informed, straggler, now := recordDrain()
	report := peer.AuditReport{Name: "n0", File: "/full", Failure: "no space left on device", Lost: 3}
	for _, l := range informed {
		report.Records = append(report.Records, l)
	}
	text, err := json.Marshal(report)
	require.NoError(t, err)
	addr := startGateway(t, 200, string(text))
	file := filepath.Join(t.TempDir(), "n1")
	writeFile := func(list [][]byte) {
		var b strings.Builder
		for _, l := range list {
			b.Write(append(l, '\n'))
		}
		require.NoError(t, os.WriteFile(file, []byte(b.String()+`{"hash":"half of a li`), 0o600))
	}
	writeFile(straggler)
	args := []string{"audit", "--at", addr, "--file", file}
	out, code := runCommand(args...)
	assert.Equal(t, exitFinding, code, out)
	assert.Contains(t, out, "after-drain")
	assert.Contains(t, out, "it acted on list 4")
	assert.Contains(t, out, "behind")
	assert.Contains(t, out, "n0 cannot write /full: no space left on device; 3 records are not in it")
	assert.Contains(t, out, "2 findings")

	picture := filepath.Join(t.TempDir(), "lists.svg")
	out, code = runCommand(append(args, "--database", "db-7", "--plot", picture, "--json")...)
	assert.Equal(t, exitFinding, code)
	var r auditResult
	require.NoError(t, json.NewDecoder(strings.NewReader(out)).Decode(&r))
	require.Len(t, r.Findings, 1)
	assert.Equal(t, []string{"n1"}, r.Findings[0].Gateways)
	info, err := os.Stat(picture)
	require.NoError(t, err)
	assert.Positive(t, info.Size())

	for _, flags := range [][]string{
		{"--database", "db-8"}, {"--group", "4"}, {"--gateway", "n0"}, {"--from", "1s"}, {"--to", "1h"},
		{"--to", time.Unix(0, int64(now)).Add(-time.Second).UTC().Format(time.RFC3339)}, {"--grace", "30s", "--behind", "30s"},
	} {
		out, code := runCommand(append(args, flags...)...)
		assert.Zero(t, code, "%v: %s", flags, out)
	}

	straggler[1] = []byte(strings.Replace(string(straggler[1]), "db-7", "db-8", 1))
	writeFile(straggler)
	out, code = runCommand(args...)
	assert.Equal(t, exitFinding, code)
	assert.Contains(t, out, "n1, line 2: a record does not fit its hash")
	assert.Contains(t, out, "records 2 to 2 are missing")
}

// Wrong usage and unreachable gateways have different exit statuses.
func TestAuditErrors(t *testing.T) {
	for want, args := range map[string][]string{
		"give --at or --file":          {},
		"--from \"soon\": a time like": {"--file", "x", "--from", "soon"},
		"no such file":                 {"--file", filepath.Join(t.TempDir(), "none")},
	} {
		out, code := runCommand(append([]string{"audit"}, args...)...)
		assert.Equal(t, exitUsage, code)
		assert.Contains(t, out, want)
	}
	out, code := runCommand("audit", "--at", "127.0.0.1:1")
	assert.Equal(t, exitUnreachable, code)
	assert.Contains(t, out, "no answer from 127.0.0.1:1")
	out, code = runCommand("audit", "--at", startGateway(t, 404, "this gateway has no fleet file\n"))
	assert.Equal(t, exitUnreachable, code)
	assert.Contains(t, out, "no fleet file")
}
