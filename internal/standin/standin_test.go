package standin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/pgwire"
)

func head(t *testing.T, text string) pgwire.Head {
	h, err := pgwire.ParseHead([]byte(text))
	require.NoError(t, err)
	return h
}

// The world finds by itself what must not happen.
func TestFindsBrokenRules(t *testing.T) {
	w, err := New(Options{Groups: 1, Members: 2, Cores: 1, Lag: 2 * time.Second, Bounds: map[string]time.Duration{"r": time.Second}})
	require.NoError(t, err)
	defer w.Close()
	p, a := w.hosts[0], w.hosts[1]
	now := time.Now()
	for _, x := range []struct {
		h     *Host
		text  string
		write bool
	}{
		{p, "id=1,c=w,d=9,cluster=0", true}, {p, "id=2,c=w,d=9,cluster=0", true}, {p, "id=1,c=w,d=9,cluster=0", true},
		{p, "id=3,c=r,d=9,cluster=0", false}, {a, "id=4,c=r,d=9,cluster=0", false}, {a, "id=5,c=s,d=9,cluster=0", false},
		{a, "id=6,c=s,d=9,cluster=0,after=9000000000000", false},
	} {
		h := head(t, "/* "+x.text+" */ SELECT")
		w.mu.Lock()
		x.h.recordExecution(h, x.write, now)
		w.mu.Unlock()
	}
	c := w.Counts()
	assert.Equal(t, []string{"1"}, c.TwiceIDs)
	assert.Equal(t, 1, c.Duplicates)
	assert.Equal(t, []string{"4", "6"}, c.StaleIDs)
	assert.Equal(t, []int{4, 3}, []int{c.Reads, c.Writes})
}

// A replacement hands the primary's part over and leaves the list as long as it was.
func TestReplace(t *testing.T) {
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

// A world can list databases that listen nowhere, in zones of their own, and change a primary so that discovery tells it.
func TestScaleListWithoutListeners(t *testing.T) {
	w, err := New(Options{Groups: 2, Members: 4, MaxDatabases: 5, NoListeners: true, Sites: []string{"x", "y"}})
	require.NoError(t, err)
	defer w.Close()
	list := w.Members()
	require.Len(t, list, 5)
	assert.Equal(t, []string{"x", "y", "a"}, []string{list[0].Site, list[1].Site, list[2].Site})
	assert.Equal(t, 1, list[4].Group)
	for _, h := range list {
		assert.Nil(t, h.listener)
	}
	assert.Contains(t, string(w.List()), `"dial":"127.0.0.1:9","site":"y"`)
	before := w.ListVersion()
	assert.True(t, w.ChangePrimary(0))
	assert.Equal(t, before+1, w.ListVersion())
	assert.False(t, w.ChangePrimary(1), "it has one member")
	assert.False(t, list[0].primary)
	assert.Equal(t, before+1, w.ListVersion())
}
