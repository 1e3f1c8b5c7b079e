package handover

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const sec = time.Second

func TestNewerOverrideWins(t *testing.T) {
	tests := []struct {
		name          string
		old, incoming Override
		want          Override
	}{
		{"newer", Override{true, 1}, Override{false, 2}, Override{false, 2}},
		{"older", Override{true, 3}, Override{false, 2}, Override{true, 3}},
		{"same time, active wins", Override{false, 2}, Override{true, 2}, Override{true, 2}},
		{"same time, inactive does not", Override{true, 2}, Override{false, 2}, Override{true, 2}},
		{"first", Override{}, Override{true, 1}, Override{true, 1}},
	}
	for _, tt := range tests {
		s := State{Suspended: map[string]Override{"a": tt.old}, Drained: tt.old}
		changed := s.merge(State{Suspended: map[string]Override{"a": tt.incoming}, Drained: tt.incoming})
		assert.Equal(t, tt.want, s.Suspended["a"], tt.name)
		assert.Equal(t, tt.want, s.Drained, tt.name)
		assert.Equal(t, tt.want != tt.old, changed, tt.name)
	}
}

func TestOldInactiveOverridesArePruned(t *testing.T) {
	inactive := inactiveOverrides{}
	s := State{Suspended: map[string]Override{"active": {true, 1}, "inactive": {false, 1}}}
	s.pruneInactive(inactive, 100*sec)
	assert.Contains(t, s.Suspended, "inactive", "this process has only just seen it")
	s.Suspended["recent"] = Override{false, 1}
	s.pruneInactive(inactive, 600*sec)
	assert.Contains(t, s.Suspended, "inactive", "ten minutes have not passed")
	s.pruneInactive(inactive, 701*sec)
	assert.Contains(t, s.Suspended, "active")
	assert.Contains(t, s.Suspended, "recent")
	assert.NotContains(t, s.Suspended, "inactive")
}

func join(t *testing.T, dir string) *SharedState {
	s := Join(dir)
	t.Cleanup(s.Close)
	return s
}

func ignoreState(State) {}

// isVisible reports whether sibling processes can detect this one.
func isVisible(s *SharedState) bool { return s.processFile != nil }

// Two processes see each other, the overrides of either reach both, and each can wait for the other's acknowledgement.
func TestTwoProcesses(t *testing.T) {
	dir := t.TempDir()
	predecessor := join(t, dir)
	assert.False(t, predecessor.Poll(ignoreState), "alone")
	predecessor.Suspend("a", true, sec)

	successor := join(t, dir)
	assert.True(t, successor.State().Suspended["a"].Active, "a successor takes over the overrides")
	assert.True(t, predecessor.Poll(ignoreState))
	assert.True(t, successor.Poll(ignoreState))

	successor.Suspend("b", true, 2*sec)
	successor.Drain(true, 3*sec)
	assert.False(t, successor.Acknowledged(), "the predecessor has not seen it")
	var applied State
	predecessor.Poll(func(s State) { applied = s })
	assert.True(t, applied.Suspended["b"].Active)
	assert.True(t, applied.Drained.Active)
	assert.True(t, successor.Acknowledged())

	predecessor.processFile.Close() // as a kill does: the file stays, the lock does not
	assert.False(t, successor.Poll(ignoreState), "an ended process is not counted")
	assert.Len(t, successor.liveSiblings(), 0)
	assert.NoFileExists(t, predecessor.processFile.Name())
}

// An override that a sibling overwrote before reading it is not lost.
func TestConcurrentOverridesAreMerged(t *testing.T) {
	dir := t.TempDir()
	a, b := join(t, dir), join(t, dir)
	a.Suspend("a", true, sec)
	b.Suspend("b", true, 2*sec) // does not know of the first, and replaces the file
	a.Poll(ignoreState)
	b.Poll(ignoreState)
	for _, s := range []*SharedState{a, b} {
		assert.True(t, s.State().Suspended["a"].Active)
		assert.True(t, s.State().Suspended["b"].Active)
	}
	assert.True(t, join(t, dir).State().Suspended["a"].Active)
}

// An invalid state file is ignored; the next override is written anyway.
func TestInvalidStateIsIgnored(t *testing.T) {
	for name, text := range map[string]string{
		"truncated": `{"version":1,"suspended":{"a":{"on":tr`, "old": `{"version":0,"suspended":{"a":{"on":true,"at_us":1}}}`,
		"empty": "", "not an object": "[1]", "too long": string(make([]byte, maxStateSize+1)), "no map": `{"version":1}`,
	} {
		dir := t.TempDir()
		require.NoError(t, os.WriteFile(filepath.Join(dir, stateFileName), []byte(text), 0o600))
		s := join(t, dir)
		assert.Empty(t, s.State().Suspended, name)
		s.Suspend("b", true, sec)
		assert.True(t, join(t, dir).State().Suspended["b"].Active, name)
	}
	dir := t.TempDir()
	require.NoError(t, os.Mkdir(filepath.Join(dir, stateFileName), 0o700))
	s := join(t, dir)
	s.Suspend("b", true, sec) // cannot be written
	assert.True(t, s.State().Suspended["b"].Active, "it applies to this process anyway")
}

func TestMissingDirectoryIsRetried(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "none")
	s := Join(dir)
	t.Cleanup(s.Close)
	assert.False(t, isVisible(s), "siblings cannot detect it")
	assert.False(t, s.Loaded(), "it does not know earlier overrides")
	require.NoError(t, os.Mkdir(dir, 0o700))
	s.Poll(ignoreState)
	assert.True(t, isVisible(s) && s.Loaded())
	assert.True(t, join(t, dir).Poll(ignoreState), "it is seen")
}

// The file of a sibling cannot be opened, as when this process is out of descriptors: whether the sibling has applied an
// override is unknown, and must not be reported as acknowledged.
func TestProcessWithUnreadableFileHasNotAcknowledged(t *testing.T) {
	dir := t.TempDir()
	s := join(t, dir)
	other := filepath.Join(dir, processFilePrefix+"other")
	require.NoError(t, os.Symlink(other, other)) // opening it fails with ELOOP
	s.Suspend("a", true, sec)
	assert.True(t, s.Persisted())
	assert.True(t, s.Poll(ignoreState), "it may be alive")
	assert.False(t, s.Acknowledged())
	require.NoError(t, os.Remove(other))
	assert.False(t, s.Poll(ignoreState), "it has ended")
	assert.True(t, s.Acknowledged())
}
