package wordstore

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"lilaccove/internal/fleet/state"
)

var now = Now()

func word(host string, out bool, vector map[string]uint64) state.Override {
	return state.Override{Key: host, Active: out, VersionVector: vector, Origin: "n1"}
}

var (
	out  = word("s1", true, map[string]uint64{"a": 1})
	back = word("s1", false, map[string]uint64{"a": 2})
)

func options(dir string) Options {
	return Options{Dir: dir, Fleet: "f", Gateway: "n1", Session: 7, Retention: time.Hour, Now: func() ClockReading { return now }}
}

// keep writes words to a directory and waits until they are there.
func keep(t *testing.T, s *Store, words ...state.Override) error {
	t.Helper()
	done := make(chan error, 1)
	s.Save(words, func(err error) { done <- err })
	select {
	case err := <-done:
		return err
	case <-time.After(10 * time.Second):
		t.Fatal("the disk does not answer")
	}
	return nil
}

// finding is options whose store notes the words that it finds, a set for each call.
func finding(opt Options) (Options, chan []state.Override) {
	found := make(chan []state.Override, 16)
	opt.OnFound = func(words []state.Override) { found <- words }
	return opt, found
}

// await is the next set that is found.
func await(t *testing.T, found chan []state.Override) []state.Override {
	t.Helper()
	select {
	case words := <-found:
		return words
	case <-time.After(10 * time.Second):
		t.Fatal("nothing is found")
	}
	return nil
}

func open(t *testing.T, opt Options) (*Store, []state.Override) {
	t.Helper()
	s, words, err := Open(opt)
	require.NoError(t, err)
	t.Cleanup(func() { s.Close(time.Second) })
	return s, words
}

func TestWordsOutliveTheProcess(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "new")
	s, words := open(t, options(dir))
	assert.Empty(t, words)
	err := keep(t, s, out)
	require.NoError(t, err)
	s.Close(time.Second)
	_, words = open(t, options(dir))
	assert.Equal(t, []state.Override{out}, words)
}

// What is handed over before the end is written, though nobody waits for it.
func TestCloseWrites(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, options(dir))
	s.Save([]state.Override{out}, nil)
	s.Close(10 * time.Second)
	_, words := open(t, options(dir))
	assert.Equal(t, []state.Override{out}, words)
}

// Two processes of a gateway save to one directory during an upgrade: neither undoes what the other was told.
func TestTwoProcesses(t *testing.T) {
	dir := t.TempDir()
	opt, toldA := finding(options(dir))
	a, _ := open(t, opt)
	opt, toldB := finding(options(dir))
	opt.Session = 8
	b, _ := open(t, opt)
	err := keep(t, a, out)
	require.NoError(t, err)
	assert.Empty(t, toldA, "there was nothing besides")
	require.NoError(t, keep(t, b, word("s2", true, map[string]uint64{"b": 1})))
	assert.Equal(t, []state.Override{out}, await(t, toldB), "it hears of what the other was told")
	require.NoError(t, keep(t, a, back))
	assert.Len(t, await(t, toldA), 1)
	assert.Positive(t, a.Stats().OtherWriters)
	_, words := open(t, options(dir))
	assert.Equal(t, []state.Override{back, word("s2", true, map[string]uint64{"b": 1})}, words, "an older word does not come back")
}

// Each byte that is changed, and each place at which the file is cut, shows; the file is put aside and the next one is good.
func TestDamage(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, options(dir))
	err := keep(t, s, out)
	require.NoError(t, err)
	s.Close(time.Second)
	path := filepath.Join(dir, fileName)
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	for i := range text {
		bad := append([]byte(nil), text...)
		bad[i] ^= 1
		_, err := parse(bad)
		require.ErrorIs(t, err, ErrCorrupt, "byte %d", i)
		_, err = parse(text[:i])
		require.ErrorIs(t, err, ErrCorrupt, "%d bytes", i)
	}
	require.NoError(t, os.WriteFile(path, text[:len(text)/2], 0o600))
	s, words, err := Open(options(dir))
	require.ErrorIs(t, err, ErrCorrupt)
	require.NotNil(t, s)
	t.Cleanup(func() { s.Close(time.Second) })
	assert.Empty(t, words)
	aside, err := os.ReadFile(fmt.Sprintf("%s.torn.%d", path, now.Wall.UnixMilli()))
	require.NoError(t, err)
	assert.Equal(t, text[:len(text)/2], aside)
	err = keep(t, s, back)
	require.NoError(t, err)
	_, words = open(t, options(dir))
	assert.Equal(t, []state.Override{back}, words)
}

// A copy that was away for longer than words are remembered could bring back one that all others have forgotten.
func TestAnOldCopyIsNotUsed(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, options(dir))
	err := keep(t, s, out)
	require.NoError(t, err)
	s.Close(time.Second)
	s, words, err := Open(later(dir, 2*time.Hour, 2*time.Hour, now.BootID))
	require.ErrorIs(t, err, ErrOld)
	assert.Empty(t, words)
	s.Close(time.Second)
}

// later are the options of a process that starts behind now by so much, in real time and by a wall clock that may have been
// stepped, in some boot of its machine.
func later(dir string, span, wall time.Duration, boot string) Options {
	opt := options(dir)
	opt.Now = func() ClockReading {
		return ClockReading{Wall: now.Wall.Add(wall), BootID: boot, SinceBoot: now.SinceBoot + span}
	}
	return opt
}

// How long a copy was away is counted in real time within one boot of the machine. Across boots only the wall clock tells.
func TestHowLongACopyWasAway(t *testing.T) {
	for name, c := range map[string]struct {
		span, wall time.Duration
		boot       string
		old        bool
	}{
		"a moment, stepped ahead":                     {time.Second, 2 * time.Hour, now.BootID, false},
		"a moment, stepped back":                      {time.Second, -2 * time.Hour, now.BootID, false},
		"long, stepped back":                          {2 * time.Hour, -time.Minute, now.BootID, true},
		"another boot, long":                          {-now.SinceBoot, 2 * time.Hour, "another", true},
		"another boot, a moment":                      {-now.SinceBoot, time.Minute, "another", false},
		"no boot is known, long":                      {time.Second, 2 * time.Hour, "", true},
		"the time since the boot went back, a moment": {-time.Hour, time.Minute, now.BootID, false},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			s, _ := open(t, options(dir))
			err := keep(t, s, out)
			require.NoError(t, err)
			s.Close(time.Second)
			s, words, err := Open(later(dir, c.span, c.wall, c.boot))
			if s.Close(time.Second); c.old {
				require.ErrorIs(t, err, ErrOld)
				assert.Empty(t, words)
				return
			}
			require.NoError(t, err)
			assert.Equal(t, []state.Override{out}, words)
		})
	}
}

// A file of a build that did not note the boot is judged by the wall clock.
func TestFileWithoutABoot(t *testing.T) {
	text, err := compose(content{Format: format, AtMS: now.Wall.UnixMilli()})
	require.NoError(t, err)
	c, err := parse(text)
	require.NoError(t, err)
	assert.Equal(t, time.Minute, later("", time.Second, time.Minute, now.BootID).Now().since(c.at()).Round(time.Millisecond*10))
}

// While its process lives the copy does not grow old, though no word is said.
func TestTheFileIsKeptFresh(t *testing.T) {
	opt := options(t.TempDir())
	opt.Retention = 400 * time.Millisecond
	opt.Now = Now
	s, _ := open(t, opt)
	err := keep(t, s, out)
	require.NoError(t, err)
	assert.Eventually(t, func() bool { return s.Stats().Saved >= 4 }, 10*time.Second, time.Millisecond)
	s.Close(time.Second)
	_, words, err := Open(opt)
	require.NoError(t, err)
	assert.Len(t, words, 1)
}

// Another's directory is left as it is.
func TestForeignFiles(t *testing.T) {
	dir := t.TempDir()
	s, _ := open(t, options(dir))
	err := keep(t, s, out)
	require.NoError(t, err)
	s.Close(time.Second)
	path := filepath.Join(dir, fileName)
	before, err := os.ReadFile(path)
	require.NoError(t, err)
	for _, change := range []func(*Options){func(o *Options) { o.Gateway = "n2" }, func(o *Options) { o.Fleet = "g" }} {
		opt := options(dir)
		change(&opt)
		s, _, err := Open(opt)
		assert.ErrorIs(t, err, ErrForeign)
		assert.Nil(t, s)
	}
	later, err := compose(content{Format: format + 1, Fleet: "f", Gateway: "n1"})
	require.NoError(t, err)
	_, err = parse(later)
	assert.ErrorIs(t, err, ErrFormat)
	after, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, before, after)
}

// A disk that fails is told to whoever waits, and what is saved once it is well again is all there is.
func TestFailingDisk(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "d")
	s, _ := open(t, options(dir))
	require.NoError(t, os.Rename(dir, dir+"-away"))
	err := keep(t, s, out)
	require.Error(t, err)
	assert.NotEmpty(t, s.Stats().Err)
	require.NoError(t, os.Rename(dir+"-away", dir))
	err = keep(t, s, out)
	require.NoError(t, err)
	assert.Empty(t, s.Stats().Err)
}

// A disk that failed once is tried again soon, not only when the next word or stamp is due.
func TestWordsAreSavedSoonAfterTheDiskFailed(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "words")
	s, _ := open(t, options(dir))
	require.NoError(t, os.Rename(dir, dir+"-away"))
	err := keep(t, s, out)
	require.Error(t, err)
	require.NoError(t, os.Rename(dir+"-away", dir))
	require.Eventually(t, func() bool { return s.Stats().Saved == 1 }, 10*time.Second, 5*time.Millisecond)
	next := options(dir)
	next.Session = 8
	_, words := open(t, next)
	assert.Equal(t, []state.Override{out}, words)
}

// What could not be read while the store was opened is handed over once it can be: another process holds the lock, or the
// directory is out of reach. That there are no words is told as well.
func TestWordsThatAreReadLate(t *testing.T) {
	for _, kept := range [][]state.Override{nil, {out}} {
		t.Run(fmt.Sprintf("%d words, lock held", len(kept)), func(t *testing.T) {
			dir := t.TempDir()
			before, _, err := Open(options(dir))
			require.NoError(t, err)
			require.NoError(t, keep(t, before, kept...))
			before.Close(time.Second)
			lock, err := os.OpenFile(filepath.Join(dir, fileName+".lock"), os.O_RDWR, 0o640)
			require.NoError(t, err)
			t.Cleanup(func() { lock.Close() })
			require.NoError(t, unix.Flock(int(lock.Fd()), unix.LOCK_EX))
			opt, found := finding(options(dir))
			s, words, err := Open(opt)
			require.ErrorIs(t, err, ErrUnreadable)
			require.ErrorIs(t, err, ErrInUse)
			t.Cleanup(func() { s.Close(time.Second) })
			assert.Empty(t, words)
			assert.Empty(t, found)
			require.NoError(t, lock.Close())
			assert.Equal(t, kept, await(t, found))
		})
	}
	t.Run("directory out of reach", func(t *testing.T) {
		dir := filepath.Join(t.TempDir(), "words")
		before, _, err := Open(options(dir))
		require.NoError(t, err)
		require.NoError(t, keep(t, before, out))
		before.Close(time.Second)
		require.NoError(t, os.Rename(dir, dir+"-away"))
		require.NoError(t, os.WriteFile(dir, nil, 0o600))
		opt, found := finding(options(dir))
		s, _, err := Open(opt)
		require.ErrorIs(t, err, ErrUnreadable)
		t.Cleanup(func() { s.Close(time.Second) })
		require.NoError(t, os.Remove(dir))
		require.NoError(t, os.Rename(dir+"-away", dir))
		assert.Equal(t, []state.Override{out}, await(t, found))
	})
}

// An earlier build wrote words with an entry for each process that ever spoke, without a bound. None of the file is lost for
// that: such a word counts, folded.
func TestWordsOfMoreProcessesThanAreTakenNow(t *testing.T) {
	dir := t.TempDir()
	before, _, err := Open(options(dir))
	require.NoError(t, err)
	many := word("s2", true, map[string]uint64{})
	for k := range 200 {
		many.VersionVector[fmt.Sprint("n1@", k)] = 1
	}
	require.NoError(t, keep(t, before, out, many))
	before.Close(time.Second)
	s, words := open(t, options(dir))
	require.Len(t, words, 2)
	assert.Equal(t, out, words[0])
	assert.True(t, words[1].Active && words[1].Valid())
	require.NoError(t, keep(t, s, words...))
	_, again := open(t, options(dir))
	assert.Equal(t, words, again, "once and for all")
}
