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

const short = `seed: 3
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
	p, err := plan.Parse("p", []byte(text))
	require.NoError(t, err)
	list, err := plan.Schedule(p)
	require.NoError(t, err)
	return &Lab{Plan: p, Arrivals: list, Gateway: gateway}
}

// A rolling deploy under a burst, with resets behind the last byte, against the real gateway: no write runs twice, no
// read is too old, each request has one answer, and all that was started has ended.
func TestRollingDeployUnderABurst(t *testing.T) {
	gateway := filepath.Join(t.TempDir(), "lilaccove")
	out, err := exec.Command("go", "build", "-o", gateway, "lilaccove/cmd/lilaccove").CombinedOutput()
	require.NoError(t, err, "%s", out)
	l := newLab(t, short, gateway)
	r, err := l.Play(context.Background())
	require.NoError(t, err)
	assert.NoError(t, Verdict(r))
	assert.Equal(t, len(l.Arrivals), r.Total.Count)
	assert.Greater(t, r.Total.Counts[run.InAim], r.Total.Count/2)
	assert.Positive(t, r.Total.Counts[run.Failed], "resets behind the last byte of a write are told as failures")
	for _, n := range l.processes() {
		assert.NotNil(t, n.cmd.ProcessState, "it has ended")
	}
}

func TestGatewayThatDoesNotStart(t *testing.T) {
	_, err := newLab(t, short, "false").Play(context.Background())
	assert.ErrorContains(t, err, "does not start")
	_, err = newLab(t, short, "/nonexistent").Play(context.Background())
	assert.Error(t, err)
}

func TestVerdict(t *testing.T) {
	assert.ErrorIs(t, Verdict(&run.Report{Faults: []string{"a write ran twice"}}), ErrFaults)
	assert.Error(t, Verdict(&run.Report{Invalid: true, Lateness: make([]float64, 5)}))
	assert.NoError(t, Verdict(&run.Report{}))
}
