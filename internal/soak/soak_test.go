package soak

import (
	"bytes"
	"context"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// buildPrograms builds the gateway, without and with injected system call faults.
func buildPrograms(t *testing.T) (plain, faulty string) {
	t.Helper()
	dir := t.TempDir()
	plain, faulty = filepath.Join(dir, "lilaccove"), filepath.Join(dir, "lilaccove-faults")
	for _, args := range [][]string{{"-o", plain}, {"-tags", "faults", "-o", faulty}} {
		output, err := exec.Command("go", append(append([]string{"build"}, args...), "lilaccove/cmd/lilaccove")...).CombinedOutput()
		require.NoError(t, err, string(output))
	}
	return plain, faulty
}

// Two short runs, one of them with pushed lists. Twenty and more runs of a minute are done by hand: docs/soak.md.
func TestSoakOfTwoSeeds(t *testing.T) {
	plain, faulty := buildPrograms(t)
	for _, seed := range []uint64{1, 3} {
		var logs bytes.Buffer
		report, err := Run(context.Background(), Options{
			Gateways: 8, Databases: 8, Duration: 14 * time.Second, Seed: seed, Program: plain, FaultyProgram: faulty, Log: &logs,
		})
		require.NoError(t, err)
		assert.Empty(t, report.Violations, "seed %d\n%s", seed, strings.Join(report.Examples, "\n"))
		assert.Equal(t, seed%3 == 0, report.Pushed)
		assert.Positive(t, report.Overlaps)
		assert.Greater(t, report.Requests.Served, report.Requests.Sent/2)
		if !report.Valid {
			t.Logf("seed %d: INVALID: %s", seed, report.InvalidReason)
		}
		if t.Failed() {
			t.Log(logs.String())
		}
	}
}

func TestBadOptions(t *testing.T) {
	good := Options{Gateways: 8, Databases: 8, Duration: 10 * time.Second}
	for message, change := range map[string]func(o *Options){
		"at least":       func(o *Options) { o.Gateways = 1 },
		"too many":       func(o *Options) { o.Gateways = 299 },
		"unknown fault ": func(o *Options) { o.FaultNames = []string{"storm"} },
		"the seed draws": func(o *Options) { o.OnlyFaults = []int{9999} },
	} {
		o := good
		change(&o)
		_, err := Run(context.Background(), o)
		assert.ErrorContains(t, err, message)
	}
}
