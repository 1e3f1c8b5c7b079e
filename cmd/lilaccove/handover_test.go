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

// withoutSharedDirectory runs do while the directory that two processes of a gateway share is not there.
func (gw *testGateway) withoutSharedDirectory(do func()) {
	gw.t.Helper()
	require.NoError(gw.t, os.Rename(gw.tmpDir, gw.tmpDir+"-away"))
	do()
	require.NoError(gw.t, os.Rename(gw.tmpDir+"-away", gw.tmpDir))
}

// An operator has a yes only for a word that a successor will find. What could not be kept at once holds here all the same,
// and is kept as soon as the folder lets it.
func TestOverrideWhileSharedDirectoryFails(t *testing.T) {
	t.Parallel()
	gw := startWithInheritedSocket(t)
	gw.withoutSharedDirectory(func() {
		begun := time.Now()
		status, body := gw.callManagement("PUT", "/v1/databases/a/suspend")
		assert.Equal(t, 503, status, body)
		assert.Less(t, time.Since(begun), time.Second, "operators are answered within a second")
		assert.Equal(t, 1, gw.metric("skipped_databases"), "it holds here")
		status, _ = gw.callManagement("PUT", "/v1/gateway/drain")
		assert.Equal(t, 503, status)
		assert.False(t, gw.ready())
	})
	gw.mustCall("PUT", "/v1/databases/a/suspend") // operators say it again
	gw.mustCall("PUT", "/v1/gateway/drain")
	next := gw.startSuccessor()
	gw.eventually("the successor knows both", func() bool { return next.metric("skipped_databases") == 1 && !next.ready() })
}

// A process that leaves to a successor goes on taking clients when that one dies: nobody else would.
func TestSuccessorDiesDuringHandover(t *testing.T) {
	t.Parallel()
	gw := startWithInheritedSocket(t)
	release := gw.primary.blockAnswers()
	busy := gw.connect() // has the old one stay for a while
	busy.write(queryMessage(statement("write", 3000, "")))
	gw.eventually("the write arrives", func() bool { return len(gw.primary.Statements()) == 1 })
	next := gw.startSuccessor()
	gw.eventually("the new process is ready", next.ready)
	gw.sendSIGTERM()
	gw.eventually("it leaves", func() bool { return strings.Contains(gw.logText(), "successor=true") })
	next.Kill()
	c := gw.connect()
	assert.True(t, c.query("").empty, "the old one serves")
	close(release)
	assert.Equal(t, "late", busy.readAnswer().value)
	gw.waitExit()
}

// The folder may be full for the moment in which a process starts. The process enters it later: it and its successor know of
// each other, and what an operator told one the other does.
func TestSharedDirectoryFailsAtStart(t *testing.T) {
	t.Parallel()
	gw := startWithInheritedSocket(t, withFaults(`{"call":"create","error":"ENOSPC","most":5}`))
	gw.eventually("an operator has a yes", func() bool {
		status, _ := gw.callManagement("PUT", "/v1/databases/a/suspend")
		return status == 200
	})
	next := gw.startSuccessor()
	gw.eventually("the new process is ready", next.ready)
	assert.Equal(t, 1, next.metric("skipped_databases"), "the successor knows the word")
	for _, x := range []*testGateway{gw, next} {
		gw.eventually("both know of each other", func() bool { return strings.Contains(x.logText(), "event=processes beside=true") })
	}
	gw.sendSIGTERM()
	gw.eventually("it leaves", func() bool { return strings.Contains(gw.logText(), "successor=true") })
	gw.waitExit()
}

// Nor does a process serve that cannot read what its predecessor was told: a database that operators have left out gets
// nothing.
func TestSharedDirectoryUnreadableAtStart(t *testing.T) {
	t.Parallel()
	gw := startWithInheritedSocket(t)
	gw.mustCall("PUT", "/v1/databases/a/suspend")
	gw.mustCall("PUT", "/v1/databases/b/suspend")
	var next *testGateway
	gw.withoutSharedDirectory(func() {
		next = gw.startSuccessor()
		gw.Kill()
		for range 20 { // it accepts nobody, who come later or not at all
			c := next.dial()
			c.write(string(pgwire.Startup("api", "ledger")) + queryMessage(statement("own", 300, "")))
		}
		time.Sleep(300 * time.Millisecond) // the fault itself
		assert.False(t, next.ready())
	})
	gw.eventually("it is ready", next.ready)
	assert.Equal(t, 2, next.metric("skipped_databases"))
	assert.Empty(t, gw.replicaA.Statements())
	assert.Empty(t, gw.replicaB.Statements())
}
