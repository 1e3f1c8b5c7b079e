package main

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// startStepped starts some gateways on machines whose wall clocks differ by a step from that of the others.
func (p *party) startStepped(step time.Duration, list ...int) {
	p.t.Helper()
	path := filepath.Join(p.t.TempDir(), "plan.json")
	require.NoError(p.t, os.WriteFile(path, fmt.Appendf(nil, `{"wall_step_ms":%d}`, step.Milliseconds()), 0o600))
	for _, i := range list {
		_, err := p.StartCommand(i, []string{faultyProgram(p.t)}, "LILACCOVE_FAULTS="+path)
		require.NoError(p.t, err)
	}
}

// The wall clock of a machine may be stepped between two starts of its gateway, in either direction. The fleet takes the new
// process in all the same, whether the old one ended in order or was killed.
func TestFleetMembershipOverAClockStep(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, time.Hour} {
		for _, end := range []string{"killed", "ended"} {
			t.Run(fmt.Sprintf("%s, %v", end, step), func(t *testing.T) {
				p := newPartyOf(t, 4, fencePlan(4))
				if end == "killed" {
					p.Node(2).Kill()
				} else {
					require.NoError(t, p.Node(2).Terminate())
				}
				p.agree(3, p.but(2)...)
				p.startStepped(step, 2)
				p.agree(4, p.all()...)
				p.eventually("it serves clients", func() bool { return p.figure(2, "passed.browse") > 20 && p.figure(2, "passed.write") > 20 })
				for _, i := range p.all() {
					assert.False(t, p.everFenced(i), "n%d vouches for what it knows", i)
				}
				assert.Empty(t, p.dead(2), "who was away blames nobody")
				p.judge(0.7)
			})
		}
	}
}
