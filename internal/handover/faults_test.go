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

// withoutDescriptors runs do while this process can open nothing: every open ends with EMFILE.
func withoutDescriptors(t *testing.T, do func()) {
	t.Helper()
	var limit unix.Rlimit
	require.NoError(t, unix.Getrlimit(unix.RLIMIT_NOFILE, &limit))
	none := limit
	none.Cur = 0
	require.NoError(t, unix.Setrlimit(unix.RLIMIT_NOFILE, &none))
	defer func() { require.NoError(t, unix.Setrlimit(unix.RLIMIT_NOFILE, &limit)) }()
	do()
}

// A word that could not be written when it was given is written later: a successor must know it.
func TestWordIsWrittenAgainAfterTheFolderFailed(t *testing.T) {
	dir := t.TempDir()
	old := join(t, dir)
	withoutDescriptors(t, func() {
		old.Suspend("a", true, sec)
		old.Drain(true, sec)
		old.Poll(ignore)
	})
	old.Poll(ignore)
	state := join(t, dir).State()
	assert.True(t, state.Suspended["a"].Active)
	assert.True(t, state.Drained.Active)
}

// A state that could not be read when it changed is read later.
func TestStateIsReadAgainAfterTheFolderFailed(t *testing.T) {
	dir := t.TempDir()
	old, next := join(t, dir), join(t, dir)
	next.Suspend("a", true, sec)
	withoutDescriptors(t, func() { old.Poll(ignore) })
	old.Poll(ignore)
	assert.True(t, old.State().Suspended["a"].Active)
	assert.True(t, next.Acknowledged())
}

// The order of words is that in which they were given, whatever the processes' clocks say.
func TestLaterWordHoldsWhateverTheClocksSay(t *testing.T) {
	for name, step := range map[string]time.Duration{"back": -time.Hour, "forward": time.Hour} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			now := 10 * time.Hour
			old, next := join(t, dir), join(t, dir)
			old.Suspend("a", true, now)
			old.Drain(true, now)
			next.Suspend("a", false, now+step+sec)
			next.Drain(false, now+step+sec)
			for range 2 {
				old.Poll(ignore)
				next.Poll(ignore)
			}
			for _, s := range []*SharedState{old, next, join(t, dir)} {
				assert.False(t, s.State().Suspended["a"].Active)
				assert.False(t, s.State().Drained.Active)
			}
		})
	}
}

// A process whose file cannot be looked at just now is not taken for dead.
func TestProcessThatCannotBeLookedAtLives(t *testing.T) {
	dir := t.TempDir()
	old, next := join(t, dir), join(t, dir)
	require.True(t, next.Poll(ignore))
	withoutDescriptors(t, func() {
		assert.True(t, next.Poll(ignore), "nothing tells that the other has ended")
	})
	assert.FileExists(t, old.own.Name())
	assert.True(t, next.Poll(ignore))

	loop := filepath.Join(dir, processes+"loop") // opening it ends with ELOOP
	require.NoError(t, os.Symlink(loop, loop))
	next.Poll(ignore)
	_, err := os.Lstat(loop)
	assert.NoError(t, err, "only the files of the dead are removed")
}

// What a kill has left of a write is removed once nobody lives who might be writing it.
func TestHalfAWriteIsRemoved(t *testing.T) {
	dir := t.TempDir()
	half := filepath.Join(dir, "lilaccove-new-1")
	require.NoError(t, os.WriteFile(half, []byte(`{"vers`), 0o600))
	join(t, dir).Poll(ignore)
	assert.NoFileExists(t, half)
}

// A word of another process that is read while this one takes a word of its own is acted on by the next poll, and until then
// the other is not told that it was.
func TestWordReadBesideAnotherIsActedOn(t *testing.T) {
	for name, say := range map[string]func(s *SharedState){
		"suspend": func(s *SharedState) { s.Suspend("a", true, 2*sec) },
		"drain":   func(s *SharedState) { s.Drain(true, 2*sec) },
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			old, next := join(t, dir), join(t, dir)
			next.Suspend("b", true, sec)
			say(old)
			assert.False(t, next.Acknowledged(), "the old process has not acted on it")
			var seen State
			old.Poll(func(s State) { seen = s })
			assert.True(t, seen.Suspended["b"].Active)
			next.Poll(ignore)
			assert.True(t, next.Acknowledged())
		})
	}
}

// That a database serves again is not forgotten for a step of the clock: a process that stood still meanwhile would bring the
// older word back.
func TestWordBackIsKeptOverAClockStep(t *testing.T) {
	dir := t.TempDir()
	now := 10 * time.Hour
	still := join(t, dir)
	still.Suspend("a", true, now)
	second := Join(dir)
	second.Suspend("a", false, now+sec)
	second.Close()
	third := join(t, dir)
	third.Suspend("b", true, now+time.Hour)
	still.Poll(ignore)
	third.Poll(ignore)
	for _, s := range []*SharedState{still, third, join(t, dir)} {
		assert.False(t, s.State().Suspended["a"].Active)
		assert.True(t, s.State().Suspended["b"].Active)
	}
}
