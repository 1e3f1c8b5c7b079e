package overridestore

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

func testOverride(host string, active bool, versions map[string]uint64) state.Override {
	return state.Override{Key: host, Active: active, VersionVector: versions, Origin: "n1"}
}

var (
	suspended = testOverride("s1", true, map[string]uint64{"a": 1})
	resumed   = testOverride("s1", false, map[string]uint64{"a": 2})
)

func options(dir string) Options {
	return Options{Dir: dir, Fleet: "f", Gateway: "n1", Session: 7, Retention: time.Hour, Now: func() ClockReading { return now }}
}

// saveAndWait saves overrides and waits for the result.
func saveAndWait(t *testing.T, s *Store, overrides ...state.Override) error {
	t.Helper()
	done := make(chan error, 1)
	s.Save(overrides, func(err error) { done <- err })
	select {
	case err := <-done:
		return err
	case <-time.After(10 * time.Second):
		t.Fatal("no result of the write")
	}
	return nil
}

// withFound returns options with an OnFound that sends the overrides of each call to a channel.
func withFound(opt Options) (Options, chan []state.Override) {
	found := make(chan []state.Override, 16)
	opt.OnFound = func(overrides []state.Override) { found <- overrides }
	return opt, found
}

// nextFound returns the next set of overrides from the channel.
func nextFound(t *testing.T, found chan []state.Override) []state.Override {
	t.Helper()
	select {
	case overrides := <-found:
		return overrides
	case <-time.After(10 * time.Second):
		t.Fatal("no overrides were found")
	}
	return nil
}

func openStore(t *testing.T, opt Options) (*Store, []state.Override) {
	t.Helper()
	s, overrides, err := Open(opt)
	require.NoError(t, err)
	t.Cleanup(func() { s.Close(time.Second) })
	return s, overrides
}

func TestOverridesOutliveTheProcess(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "new")
	s, overrides := openStore(t, options(dir))
	assert.Empty(t, overrides)
	err := saveAndWait(t, s, suspended)
	require.NoError(t, err)
	s.Close(time.Second)
	_, overrides = openStore(t, options(dir))
	assert.Equal(t, []state.Override{suspended}, overrides)
}

// What is queued before Close is written, even if no caller waits for it.
func TestCloseWrites(t *testing.T) {
	dir := t.TempDir()
	s, _ := openStore(t, options(dir))
	s.Save([]state.Override{suspended}, nil)
	s.Close(10 * time.Second)
	_, overrides := openStore(t, options(dir))
	assert.Equal(t, []state.Override{suspended}, overrides)
}

// Two processes of a gateway save to one directory during an upgrade: neither discards the other's overrides.
func TestTwoProcessesShareOneDirectory(t *testing.T) {
	dir := t.TempDir()
	opt, foundA := withFound(options(dir))
	a, _ := openStore(t, opt)
	opt, foundB := withFound(options(dir))
	opt.Session = 8
	b, _ := openStore(t, opt)
	err := saveAndWait(t, a, suspended)
	require.NoError(t, err)
	assert.Empty(t, foundA, "the file had no other overrides")
	require.NoError(t, saveAndWait(t, b, testOverride("s2", true, map[string]uint64{"b": 1})))
	assert.Equal(t, []state.Override{suspended}, nextFound(t, foundB), "it finds the override of the other process")
	require.NoError(t, saveAndWait(t, a, resumed))
	assert.Len(t, nextFound(t, foundA), 1)
	assert.Positive(t, a.Stats().OtherWriters)
	_, overrides := openStore(t, options(dir))
	assert.Equal(t, []state.Override{resumed, testOverride("s2", true, map[string]uint64{"b": 1})}, overrides, "the older override does not return")
}

// A change of any byte and a truncation at any place are detected; the file is moved aside and the next one is valid.
func TestDamagedFileIsMovedAside(t *testing.T) {
	dir := t.TempDir()
	s, _ := openStore(t, options(dir))
	err := saveAndWait(t, s, suspended)
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
	s, overrides, err := Open(options(dir))
	require.ErrorIs(t, err, ErrCorrupt)
	require.NotNil(t, s)
	t.Cleanup(func() { s.Close(time.Second) })
	assert.Empty(t, overrides)
	moved, err := os.ReadFile(fmt.Sprintf("%s.torn.%d", path, now.Wall.UnixMilli()))
	require.NoError(t, err)
	assert.Equal(t, text[:len(text)/2], moved)
	err = saveAndWait(t, s, resumed)
	require.NoError(t, err)
	_, overrides = openStore(t, options(dir))
	assert.Equal(t, []state.Override{resumed}, overrides)
}

// A file unused for longer than the retention time could restore an override that all others have dropped.
func TestExpiredFileIsNotUsed(t *testing.T) {
	dir := t.TempDir()
	s, _ := openStore(t, options(dir))
	err := saveAndWait(t, s, suspended)
	require.NoError(t, err)
	s.Close(time.Second)
	s, overrides, err := Open(laterOptions(dir, 2*time.Hour, 2*time.Hour, now.BootID))
	require.ErrorIs(t, err, ErrOld)
	assert.Empty(t, overrides)
	s.Close(time.Second)
}

// laterOptions returns the options of a process that starts later than now by elapsed on the boot clock and by wall on the
// wall clock, which may have been stepped, in the given boot of the machine.
func laterOptions(dir string, elapsed, wall time.Duration, boot string) Options {
	opt := options(dir)
	opt.Now = func() ClockReading {
		return ClockReading{Wall: now.Wall.Add(wall), BootID: boot, SinceBoot: now.SinceBoot + elapsed}
	}
	return opt
}

// The age of a file is measured by the boot clock within one boot of the machine, and by the wall clock across boots.
func TestFileAgeUsesBootClock(t *testing.T) {
	for name, tt := range map[string]struct {
		elapsed, wall time.Duration
		boot          string
		expired       bool
	}{
		"one second, stepped forward":      {time.Second, 2 * time.Hour, now.BootID, false},
		"one second, stepped back":         {time.Second, -2 * time.Hour, now.BootID, false},
		"long, stepped back":               {2 * time.Hour, -time.Minute, now.BootID, true},
		"another boot, long":               {-now.SinceBoot, 2 * time.Hour, "another", true},
		"another boot, one minute":         {-now.SinceBoot, time.Minute, "another", false},
		"boot unknown, long":               {time.Second, 2 * time.Hour, "", true},
		"boot clock went back, one minute": {-time.Hour, time.Minute, now.BootID, false},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			s, _ := openStore(t, options(dir))
			err := saveAndWait(t, s, suspended)
			require.NoError(t, err)
			s.Close(time.Second)
			s, overrides, err := Open(laterOptions(dir, tt.elapsed, tt.wall, tt.boot))
			if s.Close(time.Second); tt.expired {
				require.ErrorIs(t, err, ErrOld)
				assert.Empty(t, overrides)
				return
			}
			require.NoError(t, err)
			assert.Equal(t, []state.Override{suspended}, overrides)
		})
	}
}

// The age of a file of an earlier build without a boot ID is measured by the wall clock.
func TestFileWithoutBootID(t *testing.T) {
	text, err := encode(content{Format: format, AtMS: now.Wall.UnixMilli()})
	require.NoError(t, err)
	saved, err := parse(text)
	require.NoError(t, err)
	assert.Equal(t, time.Minute, laterOptions("", time.Second, time.Minute, now.BootID).Now().since(saved.writtenAt()).Round(time.Millisecond*10))
}

// While its process runs the file does not expire, even if no override is set.
func TestFileIsRefreshedWhileProcessRuns(t *testing.T) {
	opt := options(t.TempDir())
	opt.Retention = 400 * time.Millisecond
	opt.Now = Now
	s, _ := openStore(t, opt)
	err := saveAndWait(t, s, suspended)
	require.NoError(t, err)
	assert.Eventually(t, func() bool { return s.Stats().Saved >= 4 }, 10*time.Second, time.Millisecond)
	s.Close(time.Second)
	_, overrides, err := Open(opt)
	require.NoError(t, err)
	assert.Len(t, overrides, 1)
}

// The file of another gateway or fleet is not changed.
func TestForeignFilesAreLeftAlone(t *testing.T) {
	dir := t.TempDir()
	s, _ := openStore(t, options(dir))
	err := saveAndWait(t, s, suspended)
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
	later, err := encode(content{Format: format + 1, Fleet: "f", Gateway: "n1"})
	require.NoError(t, err)
	_, err = parse(later)
	assert.ErrorIs(t, err, ErrFormat)
	after, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, before, after)
}

// A write error is reported to the caller, and a write after the disk has recovered succeeds and clears it.
func TestDiskFailureIsReported(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "d")
	s, _ := openStore(t, options(dir))
	require.NoError(t, os.Rename(dir, dir+"-away"))
	err := saveAndWait(t, s, suspended)
	require.Error(t, err)
	assert.NotEmpty(t, s.Stats().Err)
	require.NoError(t, os.Rename(dir+"-away", dir))
	err = saveAndWait(t, s, suspended)
	require.NoError(t, err)
	assert.Empty(t, s.Stats().Err)
}

// After a failed write the store retries soon, not only with the next override or refresh.
func TestOverridesAreSavedSoonAfterDiskFailure(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "words")
	s, _ := openStore(t, options(dir))
	require.NoError(t, os.Rename(dir, dir+"-away"))
	err := saveAndWait(t, s, suspended)
	require.Error(t, err)
	require.NoError(t, os.Rename(dir+"-away", dir))
	require.Eventually(t, func() bool { return s.Stats().Saved == 1 }, 10*time.Second, 5*time.Millisecond)
	opt := options(dir)
	opt.Session = 8
	_, overrides := openStore(t, opt)
	assert.Equal(t, []state.Override{suspended}, overrides)
}

// A file that cannot be read by Open, because another process holds the lock or the directory is inaccessible, is passed to
// OnFound once it can be read, even if it has no overrides.
func TestOverridesAreFoundOnceTheFileIsReadable(t *testing.T) {
	for _, stored := range [][]state.Override{nil, {suspended}} {
		t.Run(fmt.Sprintf("%d overrides, lock held", len(stored)), func(t *testing.T) {
			dir := t.TempDir()
			before, _, err := Open(options(dir))
			require.NoError(t, err)
			require.NoError(t, saveAndWait(t, before, stored...))
			before.Close(time.Second)
			lock, err := os.OpenFile(filepath.Join(dir, fileName+".lock"), os.O_RDWR, 0o640)
			require.NoError(t, err)
			t.Cleanup(func() { lock.Close() })
			require.NoError(t, unix.Flock(int(lock.Fd()), unix.LOCK_EX))
			opt, found := withFound(options(dir))
			s, overrides, err := Open(opt)
			require.ErrorIs(t, err, ErrUnreadable)
			require.ErrorIs(t, err, ErrInUse)
			t.Cleanup(func() { s.Close(time.Second) })
			assert.Empty(t, overrides)
			assert.Empty(t, found)
			require.NoError(t, lock.Close())
			assert.Equal(t, stored, nextFound(t, found))
		})
	}
	t.Run("directory inaccessible", func(t *testing.T) {
		dir := filepath.Join(t.TempDir(), "words")
		before, _, err := Open(options(dir))
		require.NoError(t, err)
		require.NoError(t, saveAndWait(t, before, suspended))
		before.Close(time.Second)
		require.NoError(t, os.Rename(dir, dir+"-away"))
		require.NoError(t, os.WriteFile(dir, nil, 0o600))
		opt, found := withFound(options(dir))
		s, _, err := Open(opt)
		require.ErrorIs(t, err, ErrUnreadable)
		t.Cleanup(func() { s.Close(time.Second) })
		require.NoError(t, os.Remove(dir))
		require.NoError(t, os.Rename(dir+"-away", dir))
		assert.Equal(t, []state.Override{suspended}, nextFound(t, found))
	})
}

// An earlier build wrote version vectors with an entry for each process that ever set the override, without a limit. Such an
// override is still loaded, with its vector folded, and the rest of the file as well.
func TestOverrideWithTooManyWritersIsFolded(t *testing.T) {
	dir := t.TempDir()
	before, _, err := Open(options(dir))
	require.NoError(t, err)
	many := testOverride("s2", true, map[string]uint64{})
	for k := range 200 {
		many.VersionVector[fmt.Sprint("n1@", k)] = 1
	}
	require.NoError(t, saveAndWait(t, before, suspended, many))
	before.Close(time.Second)
	s, overrides := openStore(t, options(dir))
	require.Len(t, overrides, 2)
	assert.Equal(t, suspended, overrides[0])
	assert.True(t, overrides[1].Active && overrides[1].Valid())
	require.NoError(t, saveAndWait(t, s, overrides...))
	_, again := openStore(t, options(dir))
	assert.Equal(t, overrides, again, "folding is stable")
}
