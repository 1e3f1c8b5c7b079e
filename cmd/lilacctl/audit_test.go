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

// recorded are the records of a gateway that sent work to a database ten seconds after another knew that it drains, and of
// that other.
func recorded() (knows, straggler [][]byte, now time.Duration) {
	now = time.Duration(time.Now().Add(-time.Minute).UnixNano())
	a, b := audit.NewRecorder("n0", 1), audit.NewRecorder("n1", 2)
	for _, r := range []*audit.Recorder{a, b} {
		r.Set(now, audit.Version{ListVersion: 4})
	}
	a.Set(now+time.Second, audit.Version{ListVersion: 5})
	a.SetDraining(now+time.Second, "db-7", 3, true)
	for i := range 12 {
		b.Sent(now+time.Duration(i)*time.Second, "db-7", 3)
		a.Tick(now + time.Duration(i)*time.Second)
		b.Tick(now + time.Duration(i)*time.Second)
	}
	a.Flush(now + 13*time.Second)
	b.Flush(now + 13*time.Second)
	return a.Take(), b.Take(), now
}

func TestAudit(t *testing.T) {
	knows, straggler, now := recorded()
	report := peer.AuditReport{Name: "n0", File: "/full", Failure: "no space left on device", Lost: 3}
	for _, l := range knows {
		report.Records = append(report.Records, l)
	}
	text, err := json.Marshal(report)
	require.NoError(t, err)
	at := gateway(t, 200, string(text))
	file := filepath.Join(t.TempDir(), "n1")
	lines := func(list [][]byte) {
		var b strings.Builder
		for _, l := range list {
			b.Write(append(l, '\n'))
		}
		require.NoError(t, os.WriteFile(file, []byte(b.String()+`{"hash":"half of a li`), 0o600))
	}
	lines(straggler)
	args := []string{"audit", "--at", at, "--file", file}
	out, code := runs(args...)
	assert.Equal(t, exitFinding, code, out)
	assert.Contains(t, out, "after-drain")
	assert.Contains(t, out, "it acted on list 4")
	assert.Contains(t, out, "behind")
	assert.Contains(t, out, "n0 cannot write /full: no space left on device; 3 records are not in it")
	assert.Contains(t, out, "2 findings")

	picture := filepath.Join(t.TempDir(), "lists.svg")
	out, code = runs(append(args, "--database", "db-7", "--plot", picture, "--json")...)
	assert.Equal(t, exitFinding, code)
	var r auditResult
	require.NoError(t, json.NewDecoder(strings.NewReader(out)).Decode(&r))
	require.Len(t, r.Findings, 1)
	assert.Equal(t, []string{"n1"}, r.Findings[0].Gateways)
	info, err := os.Stat(picture)
	require.NoError(t, err)
	assert.Positive(t, info.Size())

	for _, none := range [][]string{
		{"--database", "db-8"}, {"--group", "4"}, {"--gateway", "n0"}, {"--from", "1s"}, {"--to", "1h"},
		{"--to", time.Unix(0, int64(now)).Add(-time.Second).UTC().Format(time.RFC3339)}, {"--grace", "30s", "--behind", "30s"},
	} {
		out, code := runs(append(args, none...)...)
		assert.Zero(t, code, "%v: %s", none, out)
	}

	straggler[1] = []byte(strings.Replace(string(straggler[1]), "db-7", "db-8", 1))
	lines(straggler)
	out, code = runs(args...)
	assert.Equal(t, exitFinding, code)
	assert.Contains(t, out, "n1, line 2: a record does not fit its hash")
	assert.Contains(t, out, "records 2 to 2 are missing")
}

func TestAuditTrouble(t *testing.T) {
	for want, args := range map[string][]string{
		"give --at or --file":          {},
		"--from \"soon\": a time like": {"--file", "x", "--from", "soon"},
		"no such file":                 {"--file", filepath.Join(t.TempDir(), "none")},
	} {
		out, code := runs(append([]string{"audit"}, args...)...)
		assert.Equal(t, exitUsage, code)
		assert.Contains(t, out, want)
	}
	out, code := runs("audit", "--at", "127.0.0.1:1")
	assert.Equal(t, exitUnreachable, code)
	assert.Contains(t, out, "no answer from 127.0.0.1:1")
	out, code = runs("audit", "--at", gateway(t, 404, "this gateway has no fleet file\n"))
	assert.Equal(t, exitUnreachable, code)
	assert.Contains(t, out, "no fleet file")
}
