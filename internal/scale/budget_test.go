package scale

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Hollow and real gateways share positions and primaries under a budget of bytes, through a cut, a kill and restarts. The mean over
// gateways stays within the budget, also at heals and starts, and known positions stay recent.
func TestScaleBudgetThroughFaults(t *testing.T) {
	t.Parallel()
	tool, gateway := buildPrograms(t)
	text := strings.Replace(fmt.Sprintf(faultyPlan, "40 kB/s"), "positions: true, primaries: true", "positions: {bytes: 800/s}, primaries: {bytes: 400/s}", 1)
	p := parsePlan(t, text, NoFlagValues())
	r := &Run{Plan: p, CommandLine: "test", HollowCommand: []string{tool, "hollow"}, GatewayCommand: []string{gateway}}
	got, err := r.Play(context.Background())
	require.NoError(t, err)
	out := &bytes.Buffer{}
	require.NoError(t, got.WriteText(out))
	t.Log(out)
	assert.NoError(t, got.Verdict())
	assert.Zero(t, got.FalseDeaths)
	for role, budget := range map[string]float64{"positions": 800, "primaries": 400} {
		assert.Positive(t, got.ByRole[role].BytesOut, role)
		assert.LessOrEqual(t, got.ByRole[role].BytesOut, budget*1.1, role) // plus one second's budget, over at least ten seconds
	}
	assert.Greater(t, got.Positions.Known, 23.0, "of 24 databases")
	require.NotNil(t, got.Positions.AgeP99)
	assert.Less(t, *got.Positions.AgeP99, 10.0)
}
