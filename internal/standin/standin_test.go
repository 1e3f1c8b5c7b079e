package standin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/pgwire"
)

func parseHead(t *testing.T, text string) pgwire.Head {
	h, err := pgwire.ParseHead([]byte(text))
	require.NoError(t, err)
	return h
}

// Of two executions of one write and of reads at a primary and at a lagging replica, exactly the second write and the
// reads beyond their bound or session position are counted as violations.
func TestDetectsDuplicateWritesAndStaleReads(t *testing.T) {
	w, err := New(Options{Groups: 1, Members: 2, Cores: 1, Lag: 2 * time.Second, Bounds: map[string]time.Duration{"r": time.Second}})
	require.NoError(t, err)
	defer w.Close()
	primary, replica := w.hosts[0], w.hosts[1]
	now := time.Now()
	for _, statement := range []struct {
		h     *Host
		text  string
		write bool
	}{
		{primary, "id=1,c=w,d=9,cluster=0", true}, {primary, "id=2,c=w,d=9,cluster=0", true}, {primary, "id=1,c=w,d=9,cluster=0", true},
		{primary, "id=3,c=r,d=9,cluster=0", false}, {replica, "id=4,c=r,d=9,cluster=0", false}, {replica, "id=5,c=s,d=9,cluster=0", false},
		{replica, "id=6,c=s,d=9,cluster=0,after=9000000000000", false},
	} {
		h := parseHead(t, "/* "+statement.text+" */ SELECT")
		w.mu.Lock()
		statement.h.recordExecution(h, statement.write, now)
		w.mu.Unlock()
	}
	counts := w.Counts()
	assert.Equal(t, []string{"1"}, counts.TwiceIDs)
	assert.Equal(t, 1, counts.Duplicates)
	assert.Equal(t, []string{"4", "6"}, counts.StaleIDs)
	assert.Equal(t, []int{4, 3}, []int{counts.Reads, counts.Writes})
}

// Replacing the primary leaves one primary and as many databases as before.
func TestReplaceHandsOverPrimary(t *testing.T) {
	w, err := New(Options{Groups: 1, Members: 3, Cores: 1})
	require.NoError(t, err)
	defer w.Close()
	old := w.Members()[0]
	require.True(t, old.primary)
	require.NoError(t, w.Replace(old, 4*time.Millisecond, nil))
	primaries := 0
	for _, h := range w.Members() {
		assert.NotEqual(t, old.ID, h.ID)
		if h.primary {
			primaries++
		}
	}
	assert.Equal(t, 1, primaries)
	assert.Len(t, w.Members(), 3)
}

// Databases without listeners are listed with their zones, and a change of the primary is announced.
func TestListedDatabasesWithoutListeners(t *testing.T) {
	w, err := New(Options{Groups: 2, Members: 4, MaxDatabases: 5, NoListeners: true, Sites: []string{"x", "y"}})
	require.NoError(t, err)
	defer w.Close()
	members := w.Members()
	require.Len(t, members, 5)
	assert.Equal(t, []string{"x", "y", "a"}, []string{members[0].Site, members[1].Site, members[2].Site})
	assert.Equal(t, 1, members[4].Group)
	for _, h := range members {
		assert.Nil(t, h.listener)
	}
	assert.Contains(t, string(w.List()), `"dial":"127.0.0.1:9","site":"y"`)
	before := w.ListVersion()
	assert.True(t, w.ChangePrimary(0))
	assert.Equal(t, before+1, w.ListVersion())
	assert.False(t, w.ChangePrimary(1), "the group has one member")
	assert.False(t, members[0].primary)
	assert.Equal(t, before+1, w.ListVersion())
}
