package main

import (
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/pgwire"
)

// withoutSharedDirectory calls run while the directory that sibling processes share does not exist.
func (gw *testGateway) withoutSharedDirectory(run func()) {
	gw.t.Helper()
	require.NoError(gw.t, os.Rename(gw.tmpDir, gw.tmpDir+"-away"))
	run()
	require.NoError(gw.t, os.Rename(gw.tmpDir+"-away", gw.tmpDir))
}

// An operator gets a success response only for an override that a successor will find. An override that cannot be persisted
// takes effect in this process anyway, and is persisted as soon as the directory is available again.
func TestOverrideWhileSharedDirectoryFails(t *testing.T) {
	t.Parallel()
	gw := startWithInheritedSocket(t)
	gw.withoutSharedDirectory(func() {
		start := time.Now()
		status, body := gw.callManagement("PUT", "/v1/databases/a/suspend")
		assert.Equal(t, 503, status, body)
		assert.Less(t, time.Since(start), time.Second, "operators get their reply within a second")
		assert.Equal(t, 1, gw.metric("skipped_databases"), "it is in effect here")
		status, _ = gw.callManagement("PUT", "/v1/gateway/drain")
		assert.Equal(t, 503, status)
		assert.False(t, gw.ready())
	})
	gw.mustCall("PUT", "/v1/databases/a/suspend") // the operator repeats it
	gw.mustCall("PUT", "/v1/gateway/drain")
	successor := gw.startSuccessor()
	gw.eventually("the successor has both overrides", func() bool { return successor.metric("skipped_databases") == 1 && !successor.ready() })
}

// A process that hands over accepts clients again when its successor dies: no other process would.
func TestSuccessorDiesDuringHandover(t *testing.T) {
	t.Parallel()
	gw := startWithInheritedSocket(t)
	release := gw.primary.blockAnswers()
	busy := gw.connect() // keeps the old process running for a while
	busy.write(queryMessage(statement("write", 3000, "")))
	gw.eventually("the write arrives", func() bool { return len(gw.primary.Statements()) == 1 })
	successor := gw.startSuccessor()
	gw.eventually("the new process is ready", successor.ready)
	gw.sendSIGTERM()
	gw.eventually("it hands over", func() bool { return strings.Contains(gw.logText(), "successor=true") })
	successor.Kill()
	c := gw.connect()
	assert.True(t, c.query("").empty, "the old process serves")
	close(release)
	assert.Equal(t, "late", busy.readAnswer().value)
	gw.waitExit()
}

// The shared directory may be full while a process starts. The process creates its files there later: it and its successor
// see each other, and an override accepted by one takes effect in the other.
func TestSharedDirectoryFailsAtStart(t *testing.T) {
	t.Parallel()
	gw := startWithInheritedSocket(t, withFaults(`{"call":"create","error":"ENOSPC","most":5}`))
	gw.eventually("the override is accepted", func() bool {
		status, _ := gw.callManagement("PUT", "/v1/databases/a/suspend")
		return status == 200
	})
	successor := gw.startSuccessor()
	gw.eventually("the new process is ready", successor.ready)
	assert.Equal(t, 1, successor.metric("skipped_databases"), "the successor has the override")
	for _, process := range []*testGateway{gw, successor} {
		gw.eventually("the processes see each other", func() bool { return strings.Contains(process.logText(), "event=processes beside=true") })
	}
	gw.sendSIGTERM()
	gw.eventually("it hands over", func() bool { return strings.Contains(gw.logText(), "successor=true") })
	gw.waitExit()
}

// A process that cannot read the overrides of its predecessor does not serve: a suspended database gets no statements.
func TestSharedDirectoryUnreadableAtStart(t *testing.T) {
	t.Parallel()
	gw := startWithInheritedSocket(t)
	gw.mustCall("PUT", "/v1/databases/a/suspend")
	gw.mustCall("PUT", "/v1/databases/b/suspend")
	var successor *testGateway
	gw.withoutSharedDirectory(func() {
		successor = gw.startSuccessor()
		gw.Kill()
		for range 20 { // these are not accepted for now
			c := successor.dial()
			c.write(string(pgwire.Startup("api", "ledger")) + queryMessage(statement("own", 300, "")))
		}
		time.Sleep(300 * time.Millisecond) // duration of the fault
		assert.False(t, successor.ready())
	})
	gw.eventually("it is ready", successor.ready)
	assert.Equal(t, 2, successor.metric("skipped_databases"))
	assert.Empty(t, gw.replicaA.Statements())
	assert.Empty(t, gw.replicaB.Statements())
}

// startHandoverWhilePrimaryHangs starts a gateway and its successor, with the primary hanging. Of the clients of the gateway one waits for
// the answer to a write, and the others are idle.
func startHandoverWhilePrimaryHangs(t *testing.T) (gw, successor *testGateway, waiting *client, idle []*client) {
	t.Helper()
	gw = startWithInheritedSocket(t)
	waiting = gw.connect()
	gw.learnPositions(waiting)
	for range 24 { // some are still open 1 s after SIGTERM
		c := gw.connect()
		c.query(statement("browse", 1200, ""))
		idle = append(idle, c)
	}
	gw.primary.setHandler(neverAnswer)
	waiting.write(queryMessage(statement("write", 3000, "")))
	gw.eventually("the write arrives", func() bool { return len(gw.primary.Statements()) > 0 })
	successor = gw.startSuccessor()
	gw.eventually("the new process is ready", successor.ready)
	return gw, successor, waiting, idle
}

// Guards against requests that a process takes late in a handover and that are due only after it is killed: all are answered before.
func TestHandoverAnswersLateRequestsBeforeKill(t *testing.T) {
	t.Parallel()
	const lateRequest = acceptTime + 150*time.Millisecond // after SIGTERM: an answer is owed at the kill
	for name, sendLate := range map[string]func(gw, successor *testGateway, waiting *client, idle []*client, texts []string) []*client{
		"on idle connections": func(_, _ *testGateway, _ *client, idle []*client, texts []string) []*client {
			lateClients := idle[len(idle)-len(texts):] // the last ones to be closed
			for i, text := range texts {
				lateClients[i].write(text)
			}
			return lateClients
		},
		"behind an unanswered request": func(_, _ *testGateway, waiting *client, _ []*client, texts []string) []*client {
			waiting.write(strings.Join(texts, ""))
			assert.Equal(t, pgwire.CodeUnknownOutcome, waiting.readAnswer().code, "the earlier write")
			return slices.Repeat([]*client{waiting}, len(texts))
		},
		"on new connections after the successor's end": func(gw, successor *testGateway, _ *client, _ []*client, texts []string) (lateClients []*client) {
			successor.Kill()
			for _, text := range texts {
				c := gw.connect()
				c.write(text)
				lateClients = append(lateClients, c)
			}
			return lateClients
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gw, successor, waiting, idle := startHandoverWhilePrimaryHangs(t)
			termTime := gw.terminate()
			time.Sleep(time.Until(termTime.Add(lateRequest)))
			texts := []string{queryMessage(statement("write", 3000, "")), queryMessage(largeWrite(40 << 10)), queryMessage(statement("write", 3000, ""))}
			for i, c := range sendLate(gw, successor, waiting, idle, texts) {
				got := c.readAnswer()
				assert.Equal(t, 1, got.rows+got.errors, "%d %+v", i, got)
				assert.Less(t, time.Since(termTime), acceptTime+killDelay, "request %d is answered before the kill", i)
			}
			gw.waitExitInTime(termTime)
		})
	}
}

// Guards against answers after the kill because the process, held up as long as it may be, noticed SIGTERM late and counts from then.
func TestHandoverNoticedLateAnswersBeforeKill(t *testing.T) {
	t.Parallel()
	const allowedStall = 150 * time.Millisecond
	gw, _, _, idle := startHandoverWhilePrimaryHangs(t)
	var termTime time.Time
	gw.whilePaused(func() {
		termTime = time.Now()
		gw.sendSIGTERM()
		time.Sleep(allowedStall)
	})
	time.Sleep(time.Until(termTime.Add(acceptTime + allowedStall)))
	late := idle[len(idle)-1]
	late.write(queryMessage(statement("write", 3000, "")))
	got := late.readAnswer()
	assert.Equal(t, 1, got.rows+got.errors, "%+v", got)
	assert.Less(t, time.Since(termTime), acceptTime+killDelay-allowedStall, "it may be held up for as long when it answers")
	gw.waitExitInTime(termTime)
}
