package auditfile

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

func lineTexts(t *testing.T, path string) (list []string) {
	lines, err := Lines(path)
	require.NoError(t, err)
	for _, l := range lines {
		list = append(list, string(l))
	}
	return list
}

// Lines are appended after those of an earlier process, a partial line that it left stays on its own, and rotated files are
// kept.
func TestLinesAndRotation(t *testing.T) {
	path := filepath.Join(t.TempDir(), "audit")
	require.NoError(t, os.WriteFile(path, []byte("one\ntw"), 0o600))
	w, err := Open(Options{Path: path, MaxBytes: 100, Keep: 2})
	require.NoError(t, err)
	for i := range 30 {
		require.True(t, w.Write(fmt.Appendf(nil, "line %04d", i)))
	}
	w.Close(time.Minute)
	got := lineTexts(t, path)
	assert.Equal(t, "line 0029", got[len(got)-1])
	assert.Len(t, got, 21, "the current file and two rotated ones")
	assert.Equal(t, Stats{Written: 30}, w.Stats())
	_, err = os.Stat(path + ".3")
	assert.ErrorIs(t, err, os.ErrNotExist)

	require.NoError(t, os.WriteFile(path+"x", []byte("one\ntw"), 0o600))
	w, err = Open(Options{Path: path + "x", MaxBytes: 100, Keep: 2})
	require.NoError(t, err)
	w.Write([]byte("three"))
	w.Close(time.Minute)
	assert.Equal(t, []string{"one", "tw", "three"}, lineTexts(t, path+"x"))
}

// Lines that cannot be written are counted and the error is reported; writing resumes when the disk has recovered.
func TestDiskFailureLosesLines(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "d")
	_, err := Open(Options{Path: filepath.Join(dir, "audit")})
	assert.ErrorIs(t, err, os.ErrNotExist)
	require.NoError(t, os.Mkdir(dir, 0o700))
	w, err := Open(Options{Path: filepath.Join(dir, "audit"), MaxBytes: 10, Keep: 1})
	require.NoError(t, err)
	defer w.Close(time.Minute)
	w.Write([]byte("first line"))
	require.Eventually(t, func() bool { return w.Stats().Written == 1 }, time.Minute, time.Millisecond)
	require.NoError(t, os.RemoveAll(dir))
	w.Write([]byte("second line")) // needs a new file, which cannot be created
	require.Eventually(t, func() bool { return w.Stats().Lost == 1 }, time.Minute, time.Millisecond)
	assert.NotEmpty(t, w.Stats().Err)
	require.NoError(t, os.Mkdir(dir, 0o700))
	w.Write([]byte("third line"))
	require.Eventually(t, func() bool { return w.Stats().Written == 2 }, time.Minute, time.Millisecond)
	assert.Empty(t, w.Stats().Err)
	assert.Equal(t, []string{"third line"}, lineTexts(t, filepath.Join(dir, "audit")))
}

// Write never blocks: a line that does not fit in the queue is lost.
func TestWriteNeverBlocks(t *testing.T) {
	w := &Writer{lines: make(chan []byte, 1), done: make(chan struct{})} // no goroutine reads
	assert.True(t, w.Write([]byte("a")))
	assert.False(t, w.Write([]byte("b")))
	assert.Equal(t, Stats{Lost: 1}, w.Stats())
	w.Close(time.Millisecond)
}

// The process may be out of descriptors when the file is opened. That loses the lines until it has one again but does not
// fail Open; an unusable path does.
func TestMissingDescriptorAtOpenLosesLines(t *testing.T) {
	var limit, none unix.Rlimit
	require.NoError(t, unix.Getrlimit(unix.RLIMIT_NOFILE, &limit))
	none = limit
	none.Cur = 0
	path := filepath.Join(t.TempDir(), "audit")
	require.NoError(t, unix.Setrlimit(unix.RLIMIT_NOFILE, &none))
	w, err := Open(Options{Path: path, MaxBytes: 1 << 20})
	require.NoError(t, unix.Setrlimit(unix.RLIMIT_NOFILE, &limit))
	require.NoError(t, err)
	require.True(t, w.Write([]byte("later")))
	w.Close(10 * time.Second)
	assert.Equal(t, []string{"later"}, lineTexts(t, path))

	_, err = Open(Options{Path: filepath.Join(t.TempDir(), "none", "audit"), MaxBytes: 1 << 20})
	assert.ErrorIs(t, err, fs.ErrNotExist)
}
