package lab

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/load/plan"
	"lilaccove/internal/load/run"
)

const shortPlan = `seed: 3
groups: 2
sessions: {count: 40, follow: 50%, after: 50 ms}
retries: {most: 1, pause: 50 ms}
stall: 5 s
classes:
  browse: {kind: bounded-read, mix: 60%, aim: 500 ms, deadline: 1200 ms}
  own: {kind: session-read, mix: 20%, aim: 500 ms, deadline: 1500 ms}
  write: {kind: write, mix: 20%, aim: 600 ms, deadline: 3 s}
stages:
  - {shape: burst, rate: 100/s, times: 2.3, rise: 1 s, hold: 2 s, fall: 1 s}
events:
  - {at: 300 ms, do: roll, part: 50%, for: 1 s}
  - {at: 1500 ms, do: reset-after, part: 30%, for: 1 s}
lab: {gateways: 2, members: 3, cores: 4, service: 4 ms, lag: 5 ms, cold: 1 s}
`

func newLab(t *testing.T, text string, gateway ...string) *Lab {
	parsed, err := plan.Parse("p", []byte(text))
	require.NoError(t, err)
	arrivals, err := plan.Schedule(parsed)
	require.NoError(t, err)
	return &Lab{Plan: parsed, Arrivals: arrivals, Gateway: gateway}
}

// A rolling deployment of the databases during a burst, with connections reset after statements have run, against the
// real gateway: no write runs twice, no read is too old, each request has one answer, and every process has ended.
func TestRollingDeploymentUnderBurst(t *testing.T) {
	gateway := filepath.Join(t.TempDir(), "lilaccove")
	output, err := exec.Command("go", "build", "-o", gateway, "lilaccove/cmd/lilaccove").CombinedOutput()
	require.NoError(t, err, "%s", output)
	lab := newLab(t, shortPlan, gateway)
	report, err := lab.Play(context.Background())
	require.NoError(t, err)
	assert.NoError(t, Verdict(report))
	assert.Equal(t, len(lab.Arrivals), report.Total.Count)
	assert.Greater(t, report.Total.Counts[run.InAim], report.Total.Count/2)
	assert.Positive(t, report.Total.Counts[run.Failed], "writes whose connection is reset after they have run are reported as failed")
	for _, n := range lab.processes() {
		assert.NotNil(t, n.cmd.ProcessState, "the process has ended")
	}
}

// A gateway that exits at its start, or cannot be executed, fails the run.
func TestGatewayThatDoesNotStart(t *testing.T) {
	_, err := newLab(t, shortPlan, "false").Play(context.Background())
	assert.ErrorContains(t, err, "does not start")
	_, err = newLab(t, shortPlan, "/nonexistent").Play(context.Background())
	assert.Error(t, err)
}

func TestVerdict(t *testing.T) {
	assert.ErrorIs(t, Verdict(&run.Report{Faults: []string{"a write ran twice"}}), ErrFaults)
	assert.Error(t, Verdict(&run.Report{Invalid: true, Lateness: make([]float64, 5)}))
	assert.NoError(t, Verdict(&run.Report{}))
}
