package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"lilaccove/internal/fleet/state"
	"lilaccove/internal/load/plan"
	"lilaccove/internal/overridestore"
)

// storePlan has four gateways that store operator overrides on disk.
var storePlan = strings.NewReplacer("%%", "%", "%d", "4", "fleet: true", "fleet: true, words: 1 min").Replace(fleetPlan)

// restart kills the given gateways together, calls meanwhile unless it is nil, and starts them again.
func (fleet *testFleet) restart(meanwhile func(), gateways ...int) {
	fleet.t.Helper()
	for _, i := range gateways {
		fleet.Node(i).Kill()
	}
	if meanwhile != nil {
		meanwhile()
	}
	for _, i := range gateways {
		_, err := fleet.Start(i)
		require.NoError(fleet.t, err)
	}
}

// hasFleetEvent reports whether the newest process of a gateway has logged a fleet event that contains what.
func (fleet *testFleet) hasFleetEvent(i int, what string) bool {
	for _, e := range fleet.Node(i).FleetEvents() {
		if strings.Contains(e, what) {
			return true
		}
	}
	return false
}

// waitOverridesEqual waits until all gateways are synchronized and have equal copies of the overrides.
func (fleet *testFleet) waitOverridesEqual() {
	fleet.t.Helper()
	fleet.eventually("all copies are equal", func() bool {
		for i := range fleet.gatewayCount {
			if s := fleet.overrideState(i); !s.Synced || s.Digest != fleet.overrideState(0).Digest {
				return false
			}
		}
		return true
	})
}

// All gateways are killed right after an override was confirmed. It is on their disks: no gateway uses the suspended database
// after the restart.
func TestFleetStateDiskAllKilled(t *testing.T) {
	fleet := newTestFleetWithPlan(t, 4, storePlan)
	host := fleet.World().Members()[0]
	fleet.eventually("it is in use", func() bool { return host.StatementCount() > 20 })
	assert.Equal(t, "ok: held by 3 of 3 others, on disk", fleet.setOverride(2, host.ID, "suspend"))
	var statements int
	fleet.restart(func() { statements = host.StatementCount() }, fleet.all()...)
	fleet.waitSuspendedCount(1, fleet.all()...)
	before := fleet.World().Counts().Reads
	fleet.eventually("reads go on", func() bool { return fleet.World().Counts().Reads > before+200 })
	assert.Equal(t, statements, host.StatementCount(), "it was used in spite of the override")
	fleet.waitOverridesEqual()
	fleet.setOverride(0, host.ID, "resume")
	fleet.waitSuspendedCount(0, fleet.all()...)
	fleet.finishAndCheck(0.3)
}

// All gateways are killed, and their wall clocks are stepped by far more than overrides are kept before they start again. In real
// time the overrides are only a moment old, so they must not expire: no gateway uses the suspended database.
func TestFleetStateDiskAfterClockStep(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			fleet := newTestFleetWithPlan(t, 4, storePlan)
			host := fleet.World().Members()[0]
			fleet.eventually("it is in use", func() bool { return host.StatementCount() > 20 })
			assert.Equal(t, "ok: held by 3 of 3 others, on disk", fleet.setOverride(2, host.ID, "suspend"))
			for _, i := range fleet.all() {
				fleet.Node(i).Kill()
			}
			statements := host.StatementCount()
			fleet.startWithClockStep(step, fleet.all()...)
			fleet.waitSuspendedCount(1, fleet.all()...)
			before := fleet.World().Counts().Reads
			fleet.eventually("reads go on", func() bool { return fleet.World().Counts().Reads > before+200 })
			assert.Equal(t, statements, host.StatementCount(), "it was used in spite of the override")
			fleet.finishAndCheck(0.3)
		})
	}
}

// A gateway that is cut off from all others is killed right after it confirmed an override. Only its disk has the override, and
// the confirmation says so. The gateway restarts while it is still cut off and has the override; after the partition all have it.
func TestFleetStateDiskOnlyCopy(t *testing.T) {
	fleet := newTestFleetWithPlan(t, 4, storePlan)
	host := fleet.World().Members()[2].ID
	sides := [][]int{{3}, {0, 1, 2}}
	fleet.Mesh().Partition(sides, true)
	assert.Equal(t, "ok: held by 0 of 3 others, on disk", fleet.setOverride(3, host, "suspend"))
	fleet.restart(nil, 3)
	fleet.waitSuspendedCount(1, 3)
	fleet.waitSuspendedCount(0, 0, 1, 2)
	fleet.Mesh().Partition(sides, false)
	fleet.waitSuspendedCount(1, fleet.all()...)
	fleet.waitOverridesEqual()
	fleet.finishAndCheck(0.5)
}

// lockOverridesFile holds the lock on a gateway's file of overrides, as another process of the gateway would while it waits for
// a slow disk.
func (fleet *testFleet) lockOverridesFile(i int) (release func()) {
	fleet.t.Helper()
	lock, err := os.OpenFile(filepath.Join(fleet.OverridesDir(i), "words.lock"), os.O_CREATE|os.O_RDWR, 0o640)
	require.NoError(fleet.t, err)
	fleet.t.Cleanup(func() { lock.Close() })
	fleet.eventually("the lock is free", func() bool { return unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB) == nil })
	return func() { lock.Close() }
}

// A starting gateway cannot read its file of overrides, because another process holds the lock for longer than the start waits.
// Only that file has the override. The gateway reads it as soon as it can and serves no client until then, or until it has
// waited two seconds for the lock and two seconds more.
func TestFleetStateDiskLockedAtStart(t *testing.T) {
	const (
		lockedFor   = 3500 * time.Millisecond // the lock is held for this long after the start of the process
		servesAfter = 4 * time.Second         // from then on it may serve without the override
	)
	fleet := newTestFleetWithPlan(t, 4, storePlan)
	host := fleet.World().Members()[2].ID
	fleet.Mesh().Partition([][]int{{3}, {0, 1, 2}}, true)
	assert.Equal(t, "ok: held by 0 of 3 others, on disk", fleet.setOverride(3, host, "suspend"))
	fleet.Node(3).Kill()
	fleet.Mesh().Partition([][]int{{3}, {0, 1, 2}}, false)
	release := fleet.lockOverridesFile(3)
	startTime := time.Now()
	_, err := fleet.Start(3)
	require.NoError(t, err)
	fleet.eventually("it has found the file locked", func() bool { return fleet.hasFleetEvent(3, "another process holds the lock") })
	servedEarly := 0
	fleet.eventually("it has waited", func() bool {
		passed := fleet.metric(3, "passed.browse") + fleet.metric(3, "passed.write")
		if time.Since(startTime) < servesAfter {
			servedEarly = passed
		}
		return time.Since(startTime) > lockedFor
	})
	assert.Zero(t, servedEarly, "served without the override")
	release()
	fleet.waitSuspendedCount(1, fleet.all()...)
	fleet.waitOverridesEqual()
	fleet.finishAndCheck(0.5)
}

// A gateway restarts with a file from before the last override, in which a database is still suspended. All other gateways know
// that it was resumed: the old override must not come back, and the gateway's copy becomes equal to theirs.
func TestFleetStateDiskStaleCopy(t *testing.T) {
	fleet := newTestFleetWithPlan(t, 4, storePlan)
	host := fleet.World().Members()[1].ID
	dir := fleet.OverridesDir(1)
	fleet.setOverride(0, host, "suspend")
	fleet.eventually("its disk has it", func() bool { return fleet.metric(1, "fleet_words.saved") > 0 })
	old, err := os.ReadFile(filepath.Join(dir, "words"))
	require.NoError(t, err)
	fleet.setOverride(3, host, "resume")
	fleet.waitSuspendedCount(0, fleet.all()...)
	fleet.restart(func() { require.NoError(t, os.WriteFile(filepath.Join(dir, "words"), old, 0o600)) }, 1)
	fleet.waitOverridesEqual()
	fleet.waitSuspendedCount(0, fleet.all()...)
	assert.Empty(t, fleet.overrideState(1).Conflicts)
	fleet.finishAndCheck(0.5)
}

// A damaged file of overrides and a file of another gateway are reported and not used. The damaged one is replaced. The other one
// is left unchanged, and the answers to operators say that overrides are not on disk.
func TestFleetStateDiskDamaged(t *testing.T) {
	fleet := newTestFleetWithPlan(t, 4, storePlan)
	host := fleet.World().Members()[1].ID
	fleet.setOverride(0, host, "suspend")
	file := func(i int) string { return filepath.Join(fleet.OverridesDir(i), "words") }
	for i := range 4 {
		fleet.eventually("each disk has it", func() bool { return fleet.metric(i, "fleet_words.saved") > 0 })
	}
	fleet.restart(func() {
		text, err := os.ReadFile(file(1))
		require.NoError(t, err)
		text[len(text)-3] ^= 0x40
		require.NoError(t, os.WriteFile(file(1), text, 0o600))
		other, err := os.ReadFile(file(0))
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(file(2), other, 0o600))
	}, 1, 2)
	assert.True(t, fleet.hasFleetEvent(1, "damaged"))
	assert.True(t, fleet.hasFleetEvent(2, "another gateway's"))
	fleet.waitOverridesEqual()
	fleet.waitSuspendedCount(1, fleet.all()...)
	assert.Contains(t, fleet.setOverride(2, host, "resume"), "not on disk")
	fleet.waitSuspendedCount(0, fleet.all()...)
	assert.Contains(t, fleet.setOverride(1, host, "suspend"), "on disk")
	fleet.waitSuspendedCount(1, fleet.all()...)
	fleet.finishAndCheck(0.5)
}

// A gateway whose file is older than overrides are kept does not use it, but synchronizes with the others.
func TestFleetStateDiskExpiredCopy(t *testing.T) {
	fleet := newTestFleetWithPlan(t, 4, strings.Replace(storePlan, "words: 1 min", "words: 1 s", 1))
	host := fleet.World().Members()[1].ID
	fleet.setOverride(0, host, "suspend")
	fleet.waitSuspendedCount(1, fleet.all()...)
	fleet.restart(func() { time.Sleep(1300 * time.Millisecond) }, 2) // the fault itself
	assert.True(t, fleet.hasFleetEvent(2, "longer than overrides are kept"))
	fleet.waitOverridesEqual()
	fleet.waitSuspendedCount(1, fleet.all()...)
	fleet.finishAndCheck(0.5)
}

// Links lose a fifth of the messages, duplicate and reorder. Overrides are sent again until they are acknowledged, so that the
// confirmation still tells correctly how many gateways hold the override.
func TestFleetStateReplicatedUnderLoss(t *testing.T) {
	fleet := newTestFleetWithPlan(t, 4, storePlan)
	for i := range 4 {
		for j := range 4 {
			if i != j {
				fleet.Mesh().SetLink(i, j, plan.Link{Loss: 0.2, Duplicate: 0.2, Reorder: 0.2})
			}
		}
	}
	held := 0
	for k := range 10 {
		if fleet.setOverride(k%4, fleet.World().Members()[1].ID, []string{"suspend", "resume"}[k%2]) == "ok: held by 3 of 3 others, on disk" {
			held++
		}
	}
	assert.GreaterOrEqual(t, held, 7)
	fleet.waitOverridesEqual()
	fleet.waitSuspendedCount(0, fleet.all()...)
	fleet.finishAndCheck(0.5)
}

// Overrides on six databases, each with a version vector of twenty writers, as after as many releases, reach gateways that have
// lost their disks: no message is too large to arrive.
func TestFleetStateManyWriters(t *testing.T) {
	const databases, writers = 6, 20
	var overrides []state.Override
	for d := range databases {
		override := state.Override{Key: fmt.Sprintf("database-%d", d), Active: true, VersionVector: map[string]uint64{}, Origin: "n0"}
		for k := range writers {
			override.VersionVector[fmt.Sprintf("n%d@%016x", k%4, k+1)] = uint64(d + 1)
		}
		overrides = append(overrides, override)
	}
	fleet := newTestFleetWithPlan(t, 4, storePlan)
	fleet.restart(func() {
		for i := range 4 {
			require.NoError(t, os.RemoveAll(fleet.OverridesDir(i)))
		}
		store, _, err := overridestore.Open(overridestore.Options{Dir: fleet.OverridesDir(0), Fleet: "lab", Gateway: "n0", Session: 1, Retention: time.Minute})
		require.NoError(t, err)
		saved := make(chan error, 1)
		store.Save(overrides, func(err error) { saved <- err })
		require.NoError(t, <-saved)
		store.Close(time.Second)
	}, fleet.all()...)
	fleet.eventually("all gateways have all overrides", func() bool {
		for i := range 4 {
			if len(fleet.overrideState(i).Overrides) != databases {
				return false
			}
		}
		return true
	})
	fleet.waitOverridesEqual()
}
