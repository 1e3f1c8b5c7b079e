package handover

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// withoutDescriptors calls run while this process cannot open files: every open fails with EMFILE.
func withoutDescriptors(t *testing.T, run func()) {
	t.Helper()
	var limit unix.Rlimit
	require.NoError(t, unix.Getrlimit(unix.RLIMIT_NOFILE, &limit))
	none := limit
	none.Cur = 0
	require.NoError(t, unix.Setrlimit(unix.RLIMIT_NOFILE, &none))
	defer func() { require.NoError(t, unix.Setrlimit(unix.RLIMIT_NOFILE, &limit)) }()
	run()
}

// An override that could not be written when it was set is written later: a successor must know it.
func TestOverrideIsWrittenAgainAfterWriteFailure(t *testing.T) {
	dir := t.TempDir()
	predecessor := join(t, dir)
	withoutDescriptors(t, func() {
		predecessor.Suspend("a", true, sec)
		predecessor.Drain(true, sec)
		predecessor.Poll(ignoreState)
	})
	predecessor.Poll(ignoreState)
	state := join(t, dir).State()
	assert.True(t, state.Suspended["a"].Active)
	assert.True(t, state.Drained.Active)
}

// A state file that could not be read when it changed is read later.
func TestStateIsReadAgainAfterReadFailure(t *testing.T) {
	dir := t.TempDir()
	predecessor, successor := join(t, dir), join(t, dir)
	successor.Suspend("a", true, sec)
	withoutDescriptors(t, func() { predecessor.Poll(ignoreState) })
	predecessor.Poll(ignoreState)
	assert.True(t, predecessor.State().Suspended["a"].Active)
	assert.True(t, successor.Acknowledged())
}

// Overrides are ordered as they were set, even if the clocks of the processes differ.
func TestLaterOverrideWinsDespiteClockDifference(t *testing.T) {
	for name, step := range map[string]time.Duration{"back": -time.Hour, "forward": time.Hour} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			now := 10 * time.Hour
			predecessor, successor := join(t, dir), join(t, dir)
			predecessor.Suspend("a", true, now)
			predecessor.Drain(true, now)
			successor.Suspend("a", false, now+step+sec)
			successor.Drain(false, now+step+sec)
			for range 2 {
				predecessor.Poll(ignoreState)
				successor.Poll(ignoreState)
			}
			for _, s := range []*SharedState{predecessor, successor, join(t, dir)} {
				assert.False(t, s.State().Suspended["a"].Active)
				assert.False(t, s.State().Drained.Active)
			}
		})
	}
}

// A process whose file cannot be checked at the moment is not considered dead.
func TestProcessWithUnreadableFileCountsAsAlive(t *testing.T) {
	dir := t.TempDir()
	predecessor, successor := join(t, dir), join(t, dir)
	require.True(t, successor.Poll(ignoreState))
	withoutDescriptors(t, func() {
		assert.True(t, successor.Poll(ignoreState), "nothing shows that the other process has ended")
	})
	assert.FileExists(t, predecessor.processFile.Name())
	assert.True(t, successor.Poll(ignoreState))

	loop := filepath.Join(dir, processFilePrefix+"loop") // opening it fails with ELOOP
	require.NoError(t, os.Symlink(loop, loop))
	successor.Poll(ignoreState)
	_, err := os.Lstat(loop)
	assert.NoError(t, err, "only files of ended processes are removed")
}

// A partial write that a killed process left is removed once no process is alive that could still be writing it.
func TestPartialWriteIsRemoved(t *testing.T) {
	dir := t.TempDir()
	tempFile := filepath.Join(dir, "lilaccove-new-1")
	require.NoError(t, os.WriteFile(tempFile, []byte(`{"vers`), 0o600))
	join(t, dir).Poll(ignoreState)
	assert.NoFileExists(t, tempFile)
}

// A sibling's override that is read while this process records its own is applied by the next poll, and not acknowledged
// before.
func TestOverrideReadDuringOwnOverrideIsApplied(t *testing.T) {
	for name, override := range map[string]func(s *SharedState){
		"suspend": func(s *SharedState) { s.Suspend("a", true, 2*sec) },
		"drain":   func(s *SharedState) { s.Drain(true, 2*sec) },
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			predecessor, successor := join(t, dir), join(t, dir)
			successor.Suspend("b", true, sec)
			override(predecessor)
			assert.False(t, successor.Acknowledged(), "the predecessor has not applied it")
			var applied State
			predecessor.Poll(func(s State) { applied = s })
			assert.True(t, applied.Suspended["b"].Active)
			successor.Poll(ignoreState)
			assert.True(t, successor.Acknowledged())
		})
	}
}

// An inactive override is not dropped because of a clock step: a process that was stalled meanwhile would restore the older,
// active one.
func TestInactiveOverrideIsKeptAcrossClockStep(t *testing.T) {
	dir := t.TempDir()
	now := 10 * time.Hour
	stalled := join(t, dir)
	stalled.Suspend("a", true, now)
	second := Join(dir)
	second.Suspend("a", false, now+sec)
	second.Close()
	third := join(t, dir)
	third.Suspend("b", true, now+time.Hour)
	stalled.Poll(ignoreState)
	third.Poll(ignoreState)
	for _, s := range []*SharedState{stalled, third, join(t, dir)} {
		assert.False(t, s.State().Suspended["a"].Active)
		assert.True(t, s.State().Suspended["b"].Active)
	}
}
