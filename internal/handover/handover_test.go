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
		{"at once, out wins", Override{false, 2}, Override{true, 2}, Override{true, 2}},
		{"at once, back does not", Override{true, 2}, Override{false, 2}, Override{true, 2}},
		{"the first", Override{}, Override{true, 1}, Override{true, 1}},
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
	s := State{Suspended: map[string]Override{"out": {true, 1}, "back": {false, 1}}}
	s.pruneInactive(inactive, 100*sec)
	assert.Contains(t, s.Suspended, "back", "this process has only just met it")
	s.Suspended["lately"] = Override{false, 1}
	s.pruneInactive(inactive, 600*sec)
	assert.Contains(t, s.Suspended, "back", "ten minutes are not over")
	s.pruneInactive(inactive, 701*sec)
	assert.Contains(t, s.Suspended, "out")
	assert.Contains(t, s.Suspended, "lately")
	assert.NotContains(t, s.Suspended, "back")
}

func join(t *testing.T, dir string) *SharedState {
	s := Join(dir)
	t.Cleanup(s.Close)
	return s
}

func ignoreState(State) {}

// isVisible tells whether other processes can know of this one.
func isVisible(s *SharedState) bool { return s.processFile != nil }

// Two processes: each sees the other, the words of either reach both, and a yes can wait for that.
func TestTwoProcesses(t *testing.T) {
	dir := t.TempDir()
	predecessor := join(t, dir)
	assert.False(t, predecessor.Poll(ignoreState), "alone")
	predecessor.Suspend("a", true, sec)

	successor := join(t, dir)
	assert.True(t, successor.State().Suspended["a"].Active, "a successor takes over what was said")
	assert.True(t, predecessor.Poll(ignoreState))
	assert.True(t, successor.Poll(ignoreState))

	successor.Suspend("b", true, 2*sec)
	successor.Drain(true, 3*sec)
	assert.False(t, successor.Acknowledged(), "the other has not seen it")
	var applied State
	predecessor.Poll(func(s State) { applied = s })
	assert.True(t, applied.Suspended["b"].Active)
	assert.True(t, applied.Drained.Active)
	assert.True(t, successor.Acknowledged())

	predecessor.processFile.Close() // as a kill would: the file stays, the lock does not
	assert.False(t, successor.Poll(ignoreState), "the dead are not counted")
	assert.Len(t, successor.liveSiblings(), 0)
	assert.NoFileExists(t, predecessor.processFile.Name())
}

// A word that another process overwrote before it could read it is not lost.
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

// What cannot be read is left aside; the next word is written all the same.
func TestInvalidStateIsIgnored(t *testing.T) {
	for name, text := range map[string]string{
		"truncated": `{"version":1,"suspended":{"a":{"on":tr`, "old": `{"version":0,"suspended":{"a":{"on":true,"at_us":1}}}`,
		"empty": "", "another thing": "[1]", "too long": string(make([]byte, maxStateSize+1)), "no map": `{"version":1}`,
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
	assert.True(t, s.State().Suspended["b"].Active, "it holds here at least")
}

func TestMissingDirectoryIsRetried(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "none")
	s := Join(dir)
	t.Cleanup(s.Close)
	assert.False(t, isVisible(s), "nobody can know of it")
	assert.False(t, s.Loaded(), "nor it of what was told before")
	require.NoError(t, os.Mkdir(dir, 0o700))
	s.Poll(ignoreState)
	assert.True(t, isVisible(s) && s.Loaded())
	assert.True(t, join(t, dir).Poll(ignoreState), "it is seen")
}

// The file of another process cannot be opened just now, as when this one has no descriptor for it: nobody knows whether that
// process has acted on a word, and an operator is not told so.
func TestProcessWithUnreadableFileHasNotAcknowledged(t *testing.T) {
	dir := t.TempDir()
	s := join(t, dir)
	other := filepath.Join(dir, processFilePrefix+"other")
	require.NoError(t, os.Symlink(other, other)) // ELOOP whenever it is opened
	s.Suspend("a", true, sec)
	assert.True(t, s.Persisted())
	assert.True(t, s.Poll(ignoreState), "it may live")
	assert.False(t, s.Acknowledged())
	require.NoError(t, os.Remove(other))
	assert.False(t, s.Poll(ignoreState), "it has ended")
	assert.True(t, s.Acknowledged())
}
