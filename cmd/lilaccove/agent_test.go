package main

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// agentDrainGrace is how long after a change was reported a draining database may still get new work in these tests.
const agentDrainGrace = 250 * time.Millisecond

// withAgent makes the gateway treat discovery as an agent on its own machine, to which all lists are pushed, and itself as one
// of many gateways.
func withAgent(gw *testGateway) {
	withManyInstances(gw)
	gw.settings = strings.Replace(gw.settings, `"Discovery":"ask"`, `"Discovery":"push"`, 1)
	gw.settings = strings.Replace(gw.settings, `"DrainGraceUs":2000000`, `"DrainGraceUs":250000`, 1)
}

// What an agent has is binding whether or not a watch is open. So the agent is polled again within the grace of a drain, however
// it failed and however many gateways there are, because it runs on this machine.
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
			time.Sleep(4 * time.Second) // long enough for a backoff between calls to have grown
			gw.replicaA.Announce("terminating", time.Time{})
			agent.setHandler(streamList(gw.world, false))
			restored := time.Now()
			calledAt := gw.waitDiscoveryCall(agent, restored)
			assert.Less(t, calledAt.Sub(restored), agentDrainGrace, "no new work is allowed after that")
			gw.checkNoNewStatements(gw.replicaA, restored.Add(agentDrainGrace))
		})
	}
}

// For a new process, what its agent has is binding from the start, although its initial list is older.
func TestStartComparesListWithAgent(t *testing.T) {
	t.Parallel()
	var agent *scriptedDiscovery
	release := make(chan struct{})
	gw := startGateway(t, func(gw *testGateway) {
		withAgent(gw)
		gw.replicaA.Announce("terminating", time.Time{}) // newer than the process's initial list
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
	assert.Empty(t, gw.replicaA.Statements(), "nothing is sent to a database that may be draining according to the agent")
	close(release)
	for range 8 {
		assert.NotEmpty(t, c.readAnswer().value, "earlier requests are served")
	}
	assert.Empty(t, gw.replicaA.Statements())
}

// A process does not wait forever for an agent that stays silent at its start: it serves with its initial list.
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
