package main

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// agentDrainGrace is how long after a change was told new work may still begin at a draining database, in these tests.
const agentDrainGrace = 250 * time.Millisecond

// withAgent has the gateway take discovery for an agent on its own machine, which is sent all lists, and itself for one of many.
func withAgent(gw *testGateway) {
	withManyInstances(gw)
	gw.settings = strings.Replace(gw.settings, `"Discovery":"ask"`, `"Discovery":"push"`, 1)
	gw.settings = strings.Replace(gw.settings, `"DrainGraceUs":2000000`, `"DrainGraceUs":250000`, 1)
}

// What an agent has counts as told whether or not a watch is open. So it is asked again within the grace of a drain, however
// it failed and however many gateways there are: it is this machine's own.
func TestAgentIsPolledAgainPromptly(t *testing.T) {
	t.Parallel()
	for name, failure := range map[string]func(c net.Conn, call int){
		"cut off": nil,
		"503":     func(c net.Conn, _ int) { _, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n") },
		"silent":  func(c net.Conn, _ int) { holdOpen(c) },
		"half": func(c net.Conn, _ int) {
			_, _ = io.WriteString(c, responseHead+`{"seq":9,"whole":true,"hosts":[`)
			holdOpen(c)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var agent *scriptedDiscovery
			gw := startGateway(t, func(gw *testGateway) {
				withAgent(gw)
				gw.t = t
				agent = gw.useScriptedDiscovery(streamList(gw.world, false))
			})
			gw.learnPositions(gw.connect())
			agent.setHandler(failure)
			agent.closeCalls()
			time.Sleep(4 * time.Second) // long enough for any pause between calls to have grown
			gw.replicaA.Announce("terminating", time.Time{})
			agent.setHandler(streamList(gw.world, false))
			restored := time.Now()
			calledAt := gw.waitDiscoveryCall(agent, restored)
			assert.Less(t, calledAt.Sub(restored), agentDrainGrace, "new work has to end by then")
			gw.checkNoNewStatements(gw.replicaA, restored.Add(agentDrainGrace))
		})
	}
}

// A new process has been told what its agent has from its first moment on, though the list that it starts with is older.
func TestStartComparesListWithAgent(t *testing.T) {
	t.Parallel()
	var agent *scriptedDiscovery
	release := make(chan struct{})
	gw := startGateway(t, func(gw *testGateway) {
		withAgent(gw)
		gw.replicaA.Announce("terminating", time.Time{}) // behind the list that the process is started with
		agent = gw.useScriptedDiscovery(func(c net.Conn, call int) {
			<-release
			streamList(gw.world, false)(c, call)
		})
	})
	c := gw.connect()
	for range 8 {
		c.write(queryMessage(statement("own", 1000, "")))
	}
	gw.waitDiscoveryCall(agent, time.Time{})
	assert.Empty(t, gw.replicaA.Statements(), "nothing goes where the agent may have said otherwise")
	close(release)
	for range 8 {
		assert.NotEmpty(t, c.readAnswer().value, "what came before is served")
	}
	assert.Empty(t, gw.replicaA.Statements())
}

// An agent that says nothing while a process starts is not waited for without end: the list of the start serves.
func TestStartWithSilentAgent(t *testing.T) {
	t.Parallel()
	gw := startGateway(t, func(gw *testGateway) {
		withAgent(gw)
		gw.useScriptedDiscovery(func(c net.Conn, _ int) { holdOpen(c) })
	})
	gw.eventually("it serves", func() bool {
		return gw.connect().query("").empty && gw.connect().query(statement("own", 1000, "")).value != ""
	})
}
