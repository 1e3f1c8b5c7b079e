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

func TestTheNewerWordHolds(t *testing.T) {
	tests := []struct {
		name    string
		old, in Override
		want    Override
	}{
		{"newer", Override{true, 1}, Override{false, 2}, Override{false, 2}},
		{"older", Override{true, 3}, Override{false, 2}, Override{true, 3}},
		{"at once, out wins", Override{false, 2}, Override{true, 2}, Override{true, 2}},
		{"at once, back does not", Override{true, 2}, Override{false, 2}, Override{true, 2}},
		{"the first", Override{}, Override{true, 1}, Override{true, 1}},
	}
	for _, tt := range tests {
		s := State{Suspended: map[string]Override{"a": tt.old}, Drained: tt.old}
		changed := s.merge(State{Suspended: map[string]Override{"a": tt.in}, Drained: tt.in})
		assert.Equal(t, tt.want, s.Suspended["a"], tt.name)
		assert.Equal(t, tt.want, s.Drained, tt.name)
		assert.Equal(t, tt.want != tt.old, changed, tt.name)
	}
}

func TestWordsThatSayNothingAreForgotten(t *testing.T) {
	known := backs{}
	s := State{Suspended: map[string]Override{"out": {true, 1}, "back": {false, 1}}}
	s.forget(known, 100*sec)
	assert.Contains(t, s.Suspended, "back", "this process has only just met it")
	s.Suspended["lately"] = Override{false, 1}
	s.forget(known, 600*sec)
	assert.Contains(t, s.Suspended, "back", "ten minutes are not over")
	s.forget(known, 701*sec)
	assert.Contains(t, s.Suspended, "out")
	assert.Contains(t, s.Suspended, "lately")
	assert.NotContains(t, s.Suspended, "back")
}

func join(t *testing.T, dir string) *SharedState {
	s := Join(dir)
	t.Cleanup(s.Close)
	return s
}

func ignore(State) {}

// entered tells whether other processes can know of this one.
func entered(s *SharedState) bool { return s.own != nil }

// Two processes: each sees the other, the words of either reach both, and a yes can wait for that.
func TestTwoProcesses(t *testing.T) {
	dir := t.TempDir()
	old := join(t, dir)
	assert.False(t, old.Poll(ignore), "alone")
	old.Suspend("a", true, sec)

	next := join(t, dir)
	assert.True(t, next.State().Suspended["a"].Active, "a successor takes over what was said")
	assert.True(t, old.Poll(ignore))
	assert.True(t, next.Poll(ignore))

	next.Suspend("b", true, 2*sec)
	next.Drain(true, 3*sec)
	assert.False(t, next.Acknowledged(), "the other has not seen it")
	var seen State
	old.Poll(func(s State) { seen = s })
	assert.True(t, seen.Suspended["b"].Active)
	assert.True(t, seen.Drained.Active)
	assert.True(t, next.Acknowledged())

	old.own.Close() // as a kill would: the file stays, the lock does not
	assert.False(t, next.Poll(ignore), "the dead are not counted")
	assert.Len(t, next.others(), 0)
	assert.NoFileExists(t, old.own.Name())
}

// A word that another process overwrote before it could read it is not lost.
func TestWordsAtOneTime(t *testing.T) {
	dir := t.TempDir()
	a, b := join(t, dir), join(t, dir)
	a.Suspend("a", true, sec)
	b.Suspend("b", true, 2*sec) // does not know of the first, and replaces the file
	a.Poll(ignore)
	b.Poll(ignore)
	for _, s := range []*SharedState{a, b} {
		assert.True(t, s.State().Suspended["a"].Active)
		assert.True(t, s.State().Suspended["b"].Active)
	}
	assert.True(t, join(t, dir).State().Suspended["a"].Active)
}

// What cannot be read is left aside; the next word is written all the same.
func TestBadState(t *testing.T) {
	for name, text := range map[string]string{
		"truncated": `{"version":1,"suspended":{"a":{"on":tr`, "old": `{"version":0,"suspended":{"a":{"on":true,"at_us":1}}}`,
		"empty": "", "another thing": "[1]", "too long": string(make([]byte, mostState+1)), "no map": `{"version":1}`,
	} {
		dir := t.TempDir()
		require.NoError(t, os.WriteFile(filepath.Join(dir, statePath), []byte(text), 0o600))
		s := join(t, dir)
		assert.Empty(t, s.State().Suspended, name)
		s.Suspend("b", true, sec)
		assert.True(t, join(t, dir).State().Suspended["b"].Active, name)
	}
	dir := t.TempDir()
	require.NoError(t, os.Mkdir(filepath.Join(dir, statePath), 0o700))
	s := join(t, dir)
	s.Suspend("b", true, sec) // cannot be written
	assert.True(t, s.State().Suspended["b"].Active, "it holds here at least")
}

func TestNoDirectory(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "none")
	s := Join(dir)
	t.Cleanup(s.Close)
	assert.False(t, entered(s), "nobody can know of it")
	assert.False(t, s.Loaded(), "nor it of what was told before")
	require.NoError(t, os.Mkdir(dir, 0o700))
	s.Poll(ignore)
	assert.True(t, entered(s) && s.Loaded())
	assert.True(t, join(t, dir).Poll(ignore), "it is seen")
}

// The file of another process cannot be opened just now, as when this one has no descriptor for it: nobody knows whether that
// process has acted on a word, and an operator is not told so.
func TestProcessThatCannotBeReadHasNotAgreed(t *testing.T) {
	dir := t.TempDir()
	s := join(t, dir)
	other := filepath.Join(dir, processes+"other")
	require.NoError(t, os.Symlink(other, other)) // ELOOP whenever it is opened
	s.Suspend("a", true, sec)
	assert.True(t, s.Persisted())
	assert.True(t, s.Poll(ignore), "it may live")
	assert.False(t, s.Acknowledged())
	require.NoError(t, os.Remove(other))
	assert.False(t, s.Poll(ignore), "it has ended")
	assert.True(t, s.Acknowledged())
}
