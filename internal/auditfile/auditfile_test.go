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

// Lines go on behind those of a process before, the half of a line that it left is by itself, and old files are kept.
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
	assert.Len(t, got, 21, "the current file and two old ones")
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

// What cannot be written is counted and told; the file is there again when the disk is.
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
	w.Write([]byte("second line")) // to a new file, which has no place
	require.Eventually(t, func() bool { return w.Stats().Lost == 1 }, time.Minute, time.Millisecond)
	assert.NotEmpty(t, w.Stats().Err)
	require.NoError(t, os.Mkdir(dir, 0o700))
	w.Write([]byte("third line"))
	require.Eventually(t, func() bool { return w.Stats().Written == 2 }, time.Minute, time.Millisecond)
	assert.Empty(t, w.Stats().Err)
	assert.Equal(t, []string{"third line"}, lineTexts(t, filepath.Join(dir, "audit")))
}

// Who writes is never held up: what has no room on its way is lost.
func TestWriteNeverBlocks(t *testing.T) {
	w := &Writer{lines: make(chan []byte, 1), done: make(chan struct{})} // nobody reads
	assert.True(t, w.Write([]byte("a")))
	assert.False(t, w.Write([]byte("b")))
	assert.Equal(t, Stats{Lost: 1}, w.Stats())
	w.Close(time.Millisecond)
}

// The system may have no descriptor in the moment of the start. That costs the lines until then, not the start; a path that
// leads nowhere is told at once.
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
