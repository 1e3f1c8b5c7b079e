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
func (gw *testGateway) withoutSharedDirectory(run func()) {
	gw.t.Helper()
	require.NoError(gw.t, os.Rename(gw.tmpDir, gw.tmpDir+"-away"))
	run()
	require.NoError(gw.t, os.Rename(gw.tmpDir+"-away", gw.tmpDir))
}

// An operator has a yes only for a word that a successor will find. What could not be kept at once holds here all the same,
// and is kept as soon as the folder lets it.
func TestOverrideWhileSharedDirectoryFails(t *testing.T) {
	t.Parallel()
	gw := startWithInheritedSocket(t)
	gw.withoutSharedDirectory(func() {
		start := time.Now()
		status, body := gw.callManagement("PUT", "/v1/databases/a/suspend")
		assert.Equal(t, 503, status, body)
		assert.Less(t, time.Since(start), time.Second, "operators are answered within a second")
		assert.Equal(t, 1, gw.metric("skipped_databases"), "it holds here")
		status, _ = gw.callManagement("PUT", "/v1/gateway/drain")
		assert.Equal(t, 503, status)
		assert.False(t, gw.ready())
	})
	gw.mustCall("PUT", "/v1/databases/a/suspend") // operators say it again
	gw.mustCall("PUT", "/v1/gateway/drain")
	successor := gw.startSuccessor()
	gw.eventually("the successor knows both", func() bool { return successor.metric("skipped_databases") == 1 && !successor.ready() })
}

// A process that leaves to a successor goes on taking clients when that one dies: nobody else would.
func TestSuccessorDiesDuringHandover(t *testing.T) {
	t.Parallel()
	gw := startWithInheritedSocket(t)
	release := gw.primary.blockAnswers()
	busy := gw.connect() // has the old one stay for a while
	busy.write(queryMessage(statement("write", 3000, "")))
	gw.eventually("the write arrives", func() bool { return len(gw.primary.Statements()) == 1 })
	successor := gw.startSuccessor()
	gw.eventually("the new process is ready", successor.ready)
	gw.sendSIGTERM()
	gw.eventually("it leaves", func() bool { return strings.Contains(gw.logText(), "successor=true") })
	successor.Kill()
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
	successor := gw.startSuccessor()
	gw.eventually("the new process is ready", successor.ready)
	assert.Equal(t, 1, successor.metric("skipped_databases"), "the successor knows the word")
	for _, process := range []*testGateway{gw, successor} {
		gw.eventually("both know of each other", func() bool { return strings.Contains(process.logText(), "event=processes beside=true") })
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
	var successor *testGateway
	gw.withoutSharedDirectory(func() {
		successor = gw.startSuccessor()
		gw.Kill()
		for range 20 { // it accepts nobody, who come later or not at all
			c := successor.dial()
			c.write(string(pgwire.Startup("api", "ledger")) + queryMessage(statement("own", 300, "")))
		}
		time.Sleep(300 * time.Millisecond) // the fault itself
		assert.False(t, successor.ready())
	})
	gw.eventually("it is ready", successor.ready)
	assert.Equal(t, 2, successor.metric("skipped_databases"))
	assert.Empty(t, gw.replicaA.Statements())
	assert.Empty(t, gw.replicaB.Statements())
}
