package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/load/run"
)

// buildPrograms builds the programs that a run starts and returns their paths.
func buildPrograms(t *testing.T) (tool, gateway string) {
	dir := t.TempDir()
	out, err := exec.Command("go", "build", "-o", dir+"/", "lilaccove/cmd/lilacload", "lilaccove/cmd/lilaccove").CombinedOutput()
	require.NoError(t, err, "%s", out)
	return filepath.Join(dir, "lilacload"), filepath.Join(dir, "lilaccove")
}

// The limit of lateness is wide, so that a busy machine does not fail a test.
const faultyPlan = `seed: 11
gateways: 33
databases: 24
real: 3
hollow_per_process: 10
regions:
  north: [n1, n2]
  south: [s1, s2]
rtt: {between: 20 ms, within: 500 us, jitter: 1 ms}
loss: {between: 1%%}
load: {statements: 50/s}
clients: 15/s
fleet: {positions: true, primaries: true, subsets: true}
settle: 10 s
for: 28 s
events:
  - {at: 1 s, do: kill, gateways: [g002, g010, g020], back: 4 s}
  - {at: 9 s, do: list-change, gateways: [g017]}
  - {at: 12 s, do: restart, gateways: [g001, g015], every: 2 s}
  - {at: 14 s, do: primary-change}
  - {at: 17 s, do: cut, sides: [[north], [south]], for: 4 s}
allowance: {bytes_out: %s, core: 100%%, memory: 256 MB, discovery: 33/s}
limits: {lateness: 5 s}
`

// calmPlan is the same plan without events.
func calmPlan(bytes string) string {
	text := fmt.Sprintf(faultyPlan, bytes)
	from, to := strings.Index(text, "events:"), strings.Index(text, "allowance:")
	return text[:from] + text[to:]
}

// Hollow and real gateways in two regions go through all kinds of events but rack, zone-down and end: no live gateway is declared
// dead, all views are equal again after each event, all gateways get each list in time, clients get their answers, and no process or
// file remains.
func TestScaleFaultsBetweenHollowAndRealGateways(t *testing.T) {
	t.Parallel()
	tool, gateway := buildPrograms(t)
	p := parsePlan(t, fmt.Sprintf(faultyPlan, "40 kB/s"), NoFlagValues())
	r := &Run{Plan: p, CommandLine: "test", HollowCommand: []string{tool, "hollow"}, GatewayCommand: []string{gateway}}
	got, err := r.Play(context.Background())
	require.NoError(t, err)
	text := &bytes.Buffer{}
	require.NoError(t, got.WriteText(text))
	t.Log(text)
	assert.NoError(t, got.Verdict())
	assert.Zero(t, got.FalseDeaths)
	assert.Len(t, got.ViewsEqual, 4)
	for _, s := range got.ViewsEqual {
		assert.NotNil(t, s.Took, s.After)
	}
	require.NotNil(t, got.ListInForce)
	assert.LessOrEqual(t, got.ListInForce.Max, (maxListDelay + reportInterval).Seconds())
	require.Len(t, r.listChanges, 2)
	assert.Len(t, r.listChanges[0].delays, p.Gateways, "each gateway has it, also the one that was starting")
	assert.GreaterOrEqual(t, len(r.listChanges[1].delays), p.Gateways-1, "one may be shutting down")
	for _, role := range []string{"membership", "positions", "primaries", "versions", "words", "discovery"} {
		assert.Positive(t, got.ByRole[role].BytesIn, role)
	}
	assert.Positive(t, got.Relay.Cut)
	assert.Positive(t, got.Relay.Lost)
	assert.Zero(t, got.Relay.Foreign)
	assert.Equal(t, 1+3+3, got.Processes)
	require.NotNil(t, got.RealGateways)
	assert.Greater(t, got.Clients.Total.Counts[run.InAim], got.Clients.Total.Count*3/4, "although a real gateway was killed and another restarted")
	assert.Greater(t, got.Clients.Total.Count, 1000)

	path := filepath.Join(t.TempDir(), "r.json")
	require.NoError(t, got.WriteJSON(path))
	b, err := os.ReadFile(path)
	require.NoError(t, err)
	var top map[string]any
	require.NoError(t, json.Unmarshal(b, &top))
	for _, key := range []string{"command", "gateways", "databases", "regions", "rtt_ms", "seed", "seconds", "real", "valid", "partial", "control", "by_role",
		"in_force_s", "primary_change_s", "false_deaths", "faults", "lateness_ms", "positions"} {
		assert.Contains(t, top, key)
	}
	assert.Nil(t, top["in_force_s"])
	require.NoError(t, got.WritePlots(filepath.Join(t.TempDir(), "r")))
	for _, h := range r.hollowProcesses {
		assert.NotNil(t, h.cmd.ProcessState, "the process has ended")
	}
	for _, n := range r.realGateways {
		assert.False(t, n.process.Alive())
	}
	_, err = os.Stat(r.dir)
	assert.ErrorIs(t, err, os.ErrNotExist)
}

// Exceeding an allowance is a fault, and an interrupted run reports what it has measured.
func TestScaleAllowanceAndInterrupt(t *testing.T) {
	t.Parallel()
	tool, _ := buildPrograms(t)
	p := parsePlan(t, calmPlan("10 B/s"), FlagValues{Gateways: 8, Seed: -1, RealGateways: 0, StatementsPerS: 70})
	p.Settle = 2 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	r := &Run{Plan: p, HollowCommand: []string{tool, "hollow"}}
	got, err := r.Play(ctx)
	require.NoError(t, err)
	assert.True(t, got.Partial)
	assert.Less(t, got.Seconds, 20.0)
	assert.Equal(t, 8, got.PeakWindow.GatewaysOver)
	assert.ErrorContains(t, got.Verdict(), "8 of 8 gateways sent over 10 B/s in a window of 10 s")
	assert.Nil(t, got.ListInForce)
	assert.Nil(t, got.RealGateways)
}

// A run stops when it exceeds its limits.
func TestScaleStopsAtItsLimits(t *testing.T) {
	tool, _ := buildPrograms(t)
	p := parsePlan(t, calmPlan("1 MB/s"), FlagValues{Gateways: 4, Seed: -1, RealGateways: 0, StatementsPerS: 70})
	p.Limits.MemoryShare = 1e-6
	begun := time.Now()
	got, err := (&Run{Plan: p, HollowCommand: []string{tool, "hollow"}}).Play(context.Background())
	require.NoError(t, err)
	assert.Less(t, time.Since(begun), p.Settle)
	assert.False(t, got.Valid)
	assert.Contains(t, got.InvalidReason, "over 0% of the machine's")
	assert.True(t, got.Partial)
}

func TestScaleFailsWhenHollowProcessEnds(t *testing.T) {
	p := parsePlan(t, calmPlan("1 MB/s"), FlagValues{Gateways: 4, Seed: -1, RealGateways: 0, StatementsPerS: 70})
	_, err := (&Run{Plan: p, HollowCommand: []string{"false"}}).Play(context.Background())
	assert.Error(t, err)
	_, err = (&Run{Plan: p, HollowCommand: []string{"/nonexistent"}}).Play(context.Background())
	assert.Error(t, err)
}
