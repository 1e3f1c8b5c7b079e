package soak

import (
	"bytes"
	"context"
	"math/rand/v2"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
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

// Shutdowns as the platform plays them: clients use their connections until the kill at the earliest time, signals come in
// series, and crowds fill the descriptors of some gateways. Longer runs are done by hand: docs/soak.md.
func TestSoakOfShutdowns(t *testing.T) {
	plain, faulty := buildPrograms(t)
	var logs bytes.Buffer
	report, err := Run(context.Background(), Options{
		Gateways: 8, Databases: 8, Duration: 20 * time.Second, Seed: 9001, Program: plain, FaultyProgram: faulty, Log: &logs,
		FaultNames: []string{"end", "end-paused", "signals", "signals-before-ready", "signals-at-handover", "upgrade", "crowd", "databases-hang", "discovery-down"},
	})
	require.NoError(t, err)
	assert.Empty(t, report.Violations, strings.Join(report.Examples, "\n"))
	assert.Positive(t, report.Restarts)
	assert.Greater(t, report.Requests.Served, report.Requests.Sent/2)
	if !report.Valid {
		t.Logf("INVALID: %s", report.InvalidReason)
	}
	if t.Failed() {
		t.Log(logs.String())
	}
}

// A series of signals ends with SIGTERM, lasts at most a second and a half, and depends on its seed alone.
func TestSignalSeries(t *testing.T) {
	for seed := range uint64(200) {
		signals, pauses := signalSeries(rand.New(rand.NewPCG(seed, 1)))
		again, _ := signalSeries(rand.New(rand.NewPCG(seed, 1)))
		assert.Equal(t, signals, again)
		assert.Len(t, pauses, len(signals))
		assert.Equal(t, syscall.SIGTERM, signals[len(signals)-1])
		total := time.Duration(0)
		for _, pause := range pauses {
			total += pause
		}
		assert.Less(t, total, maxSignals*maxSignalStep)
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
