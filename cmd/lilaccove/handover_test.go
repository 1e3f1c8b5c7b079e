package main

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/pgwire"
)

// withoutFolder runs do while the directory that two processes of a gateway share is not there.
func (s *site) withoutFolder(do func()) {
	s.t.Helper()
	require.NoError(s.t, os.Rename(s.tmp, s.tmp+"-away"))
	do()
	require.NoError(s.t, os.Rename(s.tmp+"-away", s.tmp))
}

// An operator has a yes only for a word that a successor will find. What could not be kept at once holds here all the same,
// and is kept as soon as the folder lets it.
func TestOperatorsWordWhileTheFolderFails(t *testing.T) {
	t.Parallel()
	s := held(t)
	s.withoutFolder(func() {
		begun := time.Now()
		status, body := s.call("PUT", "/v1/databases/a/suspend")
		assert.Equal(t, 503, status, body)
		assert.Less(t, time.Since(begun), time.Second, "operators are answered within a second")
		assert.Equal(t, 1, s.figure("skipped_databases"), "it holds here")
		status, _ = s.call("PUT", "/v1/gateway/drain")
		assert.Equal(t, 503, status)
		assert.False(t, s.ready())
	})
	s.yes("PUT", "/v1/databases/a/suspend") // operators say it again
	s.yes("PUT", "/v1/gateway/drain")
	next := s.successor()
	s.eventually("the successor knows both", func() bool { return next.figure("skipped_databases") == 1 && !next.ready() })
}

// A process that leaves to a successor goes on taking clients when that one dies: nobody else would.
func TestSuccessorDiesWhileTheOldOneLeaves(t *testing.T) {
	t.Parallel()
	s := held(t)
	release := s.p.waits()
	busy := s.client() // has the old one stay for a while
	busy.write(query(stmt("write", 3000, "")))
	s.eventually("the write arrives", func() bool { return len(s.p.Statements()) == 1 })
	next := s.successor()
	s.eventually("the new process is ready", next.ready)
	s.term()
	s.eventually("it leaves", func() bool { return strings.Contains(s.logged(), "successor=true") })
	next.Kill()
	c := s.client()
	assert.True(t, c.ask("").empty, "the old one serves")
	close(release)
	assert.Equal(t, "late", busy.read().value)
	s.exits()
}

// The folder may be full for the moment in which a process starts. The process enters it later: it and its successor know of
// each other, and what an operator told one the other does.
func TestFolderFailsAtTheStart(t *testing.T) {
	t.Parallel()
	s := held(t, failing(`{"call":"create","error":"ENOSPC","most":5}`))
	s.eventually("an operator has a yes", func() bool {
		status, _ := s.call("PUT", "/v1/databases/a/suspend")
		return status == 200
	})
	next := s.successor()
	s.eventually("the new process is ready", next.ready)
	assert.Equal(t, 1, next.figure("skipped_databases"), "the successor knows the word")
	for _, x := range []*site{s, next} {
		s.eventually("both know of each other", func() bool { return strings.Contains(x.logged(), "event=processes beside=true") })
	}
	s.term()
	s.eventually("it leaves", func() bool { return strings.Contains(s.logged(), "successor=true") })
	s.exits()
}

// Nor does a process serve that cannot read what its predecessor was told: a database that operators have left out gets
// nothing.
func TestFolderCannotBeReadAtTheStart(t *testing.T) {
	t.Parallel()
	s := held(t)
	s.yes("PUT", "/v1/databases/a/suspend")
	s.yes("PUT", "/v1/databases/b/suspend")
	var next *site
	s.withoutFolder(func() {
		next = s.successor()
		s.Kill()
		for range 20 { // it accepts nobody, who come later or not at all
			c := next.raw()
			c.write(string(pgwire.Startup("api", "ledger")) + query(stmt("own", 300, "")))
		}
		time.Sleep(300 * time.Millisecond) // the fault itself
		assert.False(t, next.ready())
	})
	s.eventually("it is ready", next.ready)
	assert.Equal(t, 2, next.figure("skipped_databases"))
	assert.Empty(t, s.a.Statements())
	assert.Empty(t, s.b.Statements())
}
