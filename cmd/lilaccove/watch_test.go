package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/standin"
)

// listBindingDelay is the time after which a change binds the gateway, counted from when discovery had it and could be reached.
const listBindingDelay = 6 * time.Second

// scriptedDiscovery is a discovery whose answer to each call the test writes, byte by byte.
type scriptedDiscovery struct {
	t         *testing.T
	ln        net.Listener
	mu        sync.Mutex
	calls     []time.Time
	handler   func(c net.Conn, call int) // nil: the connection is closed
	openCalls map[net.Conn]bool
	lastPath  string // the path of the last call
}

// useScriptedDiscovery starts a scripted discovery and makes it the one of this gateway.
func (gw *testGateway) useScriptedDiscovery(handler func(c net.Conn, call int)) *scriptedDiscovery {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(gw.t, err)
	d := &scriptedDiscovery{t: gw.t, ln: ln, handler: handler, openCalls: map[net.Conn]bool{}}
	gw.t.Cleanup(func() { ln.Close() })
	go d.accept(ln)
	gw.discovery = &standin.Discovery{Addr: ln.Addr().String()}
	return d
}

func (d *scriptedDiscovery) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			request, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil || request.URL.Path != "/api/targets" {
				return
			}
			d.mu.Lock()
			d.calls = append(d.calls, time.Now())
			call, handler := len(d.calls), d.handler
			d.openCalls[c], d.lastPath = true, request.URL.String()
			d.mu.Unlock()
			if handler != nil {
				handler(c, call)
			}
		}()
	}
}

// setHandler sets the handler of later calls.
func (d *scriptedDiscovery) setHandler(handler func(c net.Conn, call int)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handler = handler
}

func (d *scriptedDiscovery) lastCallPath() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastPath
}

// closeCalls closes all open calls.
func (d *scriptedDiscovery) closeCalls() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.openCalls {
		c.Close()
	}
	clear(d.openCalls)
}

// waitDiscoveryCall waits for the first call after a time and returns when it came.
func (gw *testGateway) waitDiscoveryCall(d *scriptedDiscovery, after time.Time) (at time.Time) {
	gw.t.Helper()
	gw.eventually("discovery is called", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		for _, at = range d.calls {
			if at.After(after) {
				return true
			}
		}
		return false
	})
	return at
}

const responseHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" // no length: it ends with the connection

// holdOpen keeps a connection open until the peer closes it.
func holdOpen(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

// streamList answers with the world's list, indented over many lines if asked for, and then with a heartbeat per second.
func streamList(w *standin.World, indent bool) func(net.Conn, int) {
	return func(c net.Conn, _ int) {
		text := w.List()
		if indent {
			var b bytes.Buffer
			_ = json.Indent(&b, text, "", "  ")
			text = b.Bytes()
		}
		_, _ = fmt.Fprintf(c, "%s%s\n", responseHead, text)
		for {
			time.Sleep(time.Second)
			if _, err := io.WriteString(c, "\n"); err != nil {
				return
			}
		}
	}
}

// withManyInstances configures the gateway as one of 300, which spread their calls of discovery over time.
func withManyInstances(gw *testGateway) {
	gw.settings = strings.Replace(testSettings, `"Instances":1`, `"Instances":300`, 1)
}

// checkReplicaADrained checks that replica A, which discovery lists as terminating, gets no new statement from two seconds after
// binding on.
func (gw *testGateway) checkReplicaADrained(binding time.Time) {
	gw.t.Helper()
	gw.checkNoNewStatements(gw.replicaA, binding.Add(2*time.Second)) // the drain grace in the settings
}

// checkNoNewStatements checks that a database gets no new statement from a time on, while reads are served elsewhere.
func (gw *testGateway) checkNoNewStatements(d *database, from time.Time) {
	gw.t.Helper()
	time.Sleep(time.Until(from))
	statements := len(d.Statements())
	c := gw.connect()
	for range 20 {
		assert.NotEmpty(gw.t, c.query(statement("own", 1000, "")).value)
	}
	assert.Len(gw.t, d.Statements(), statements, "it drains")
}

// A watch that falls silent is opened again before a change that it does not deliver binds the gateway, wherever in the answer it
// fell silent and however many gateways there are. Bytes that never complete a line count as silence.
func TestSilentWatch(t *testing.T) {
	t.Parallel()
	fullAnswer := func(gw *testGateway) string { return responseHead + string(gw.world.List()) + "\n" }
	for name, respond := range map[string]func(gw *testGateway, c net.Conn){
		"from the first byte": func(*testGateway, net.Conn) {},
		"after its head":      func(_ *testGateway, c net.Conn) { _, _ = io.WriteString(c, responseHead) },
		"in the first line":   func(gw *testGateway, c net.Conn) { _, _ = io.WriteString(c, fullAnswer(gw)[:len(fullAnswer(gw))/2]) },
		"after the list":      func(gw *testGateway, c net.Conn) { _, _ = io.WriteString(c, fullAnswer(gw)) },
		"after a heartbeat":   func(gw *testGateway, c net.Conn) { _, _ = io.WriteString(c, fullAnswer(gw)+"\n") },
		"in a later line":     func(gw *testGateway, c net.Conn) { _, _ = io.WriteString(c, fullAnswer(gw)+`{"seq":9,"hosts":[{"host`) },
		"in spaces that go on": func(gw *testGateway, c net.Conn) {
			_, _ = io.WriteString(c, fullAnswer(gw)+`{"seq":9,"hosts":[`)
			for {
				if _, err := io.WriteString(c, " "); err != nil {
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var calledAt time.Time
			silent := make(chan struct{})
			var d *scriptedDiscovery
			gw := startGateway(t, func(gw *testGateway) {
				withManyInstances(gw)
				gw.t = t
				d = gw.useScriptedDiscovery(func(c net.Conn, call int) {
					if call > 1 {
						streamList(gw.world, false)(c, call)
						return
					}
					calledAt = time.Now()
					close(silent)
					respond(gw, c)
					holdOpen(c)
				})
			})
			<-silent
			gw.learnPositions(gw.connect())
			gw.replicaA.Announce("terminating", time.Time{})
			nextCall := gw.waitDiscoveryCall(d, calledAt)
			assert.Less(t, nextCall.Sub(calledAt), listBindingDelay-500*time.Millisecond, "the call leaves time for the answer")
			gw.checkReplicaADrained(nextCall.Add(500 * time.Millisecond))
		})
	}
}

// However a call of discovery fails, the next one comes before a change binds that discovery has when it can be reached again.
func TestDiscoveryIsPolledAgainInTime(t *testing.T) {
	t.Parallel()
	for name, respond := range map[string]func(c net.Conn, call int){
		"closed":    nil,
		"503":       func(c net.Conn, _ int) { _, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n") },
		"silent":    func(c net.Conn, _ int) { holdOpen(c) },
		"invalid":   func(c net.Conn, _ int) { _, _ = io.WriteString(c, responseHead+"{]\n") },
		"cut short": func(c net.Conn, _ int) { _, _ = io.WriteString(c, responseHead+`{"seq":9,"whole":true,"hosts":[`) },
		"no hosts":  func(c net.Conn, _ int) { _, _ = io.WriteString(c, responseHead+"null\n") },
		"late 503": func(c net.Conn, _ int) {
			time.Sleep(time.Second)
			_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var d *scriptedDiscovery
			gw := startGateway(t, func(gw *testGateway) {
				withManyInstances(gw)
				gw.t = t
				d = gw.useScriptedDiscovery(respond)
			})
			gw.learnPositions(gw.connect()) // the gateway serves by its known list meanwhile
			gw.waitDiscoveryCall(d, time.Time{})
			time.Sleep(3 * time.Second) // the duration of the fault
			gw.replicaA.Announce("terminating", time.Time{})
			d.setHandler(streamList(gw.world, false))
			restoredAt := time.Now()
			nextCall := gw.waitDiscoveryCall(d, restoredAt)
			assert.Less(t, nextCall.Sub(restoredAt), listBindingDelay-500*time.Millisecond)
			gw.checkReplicaADrained(nextCall.Add(500 * time.Millisecond))
		})
	}
}

// SIGHUP moves the watch to a new address at once, even if a call to the old address is open; a call that fails at the new address
// is repeated.
func TestReloadDuringDiscoveryCall(t *testing.T) {
	t.Parallel()
	gw := startGateway(t, func(gw *testGateway) {
		withManyInstances(gw)
		gw.useScriptedDiscovery(func(c net.Conn, _ int) { holdOpen(c) })
	})
	next := gw.useScriptedDiscovery(nil)
	gw.configure(gw.discovery.Addr, []byte("{}"))
	reloadedAt := time.Now()
	gw.sendSIGHUP()
	lastCall := gw.waitDiscoveryCall(next, reloadedAt)
	gw.replicaA.Announce("terminating", time.Time{})
	next.setHandler(streamList(gw.world, false))
	lastCall = gw.waitDiscoveryCall(next, lastCall)
	assert.Less(t, lastCall.Sub(reloadedAt), 4*time.Second, "a change binds 4 s after SIGHUP")
	gw.checkReplicaADrained(lastCall.Add(500 * time.Millisecond))
}

// A list that is indented over many lines is read like any other.
func TestIndentedList(t *testing.T) {
	t.Parallel()
	var d *scriptedDiscovery
	gw := startGateway(t, func(gw *testGateway) {
		gw.replicaA.Announce("terminating", time.Time{})
		d = gw.useScriptedDiscovery(nil)
		d.setHandler(streamList(gw.world, true))
	})
	at := gw.waitDiscoveryCall(d, time.Time{})
	gw.checkReplicaADrained(at)
	assert.NotContains(t, gw.logText(), "discovery_failed")
}

// A change with a lower version than the list in force is ignored: it must not bring a draining database back. Because discovery
// went back to an older version, the gateway asks for the whole list again.
func TestOlderListChangesAreIgnored(t *testing.T) {
	t.Parallel()
	var d *scriptedDiscovery
	sendOlder := make(chan struct{})
	gw := startGateway(t, func(gw *testGateway) {
		gw.replicaA.Announce("terminating", time.Time{})
		list := strings.Replace(string(gw.world.List()), `"seq":2`, `"seq":50`, 1)
		d = gw.useScriptedDiscovery(func(c net.Conn, call int) {
			if call == 1 {
				_, _ = fmt.Fprintf(c, "%s%s\n", responseHead, list)
				<-sendOlder
				gw.replicaA.Announce("in_service", time.Time{})
				olderChange := strings.Replace(string(gw.world.List()), `"whole":true`, `"whole":false`, 1)
				gw.replicaA.Announce("terminating", time.Time{})
				_, _ = fmt.Fprintf(c, "%s\n", olderChange)
				holdOpen(c)
			}
			streamList(gw.world, false)(c, call)
		})
	})
	firstCall := gw.waitDiscoveryCall(d, time.Time{})
	gw.checkReplicaADrained(firstCall)
	statements, c := len(gw.replicaA.Statements()), gw.connect()
	close(sendOlder)
	for start := time.Now(); time.Since(start) < time.Second; {
		c.query(statement("own", 1000, ""))
	}
	assert.Equal(t, statements, len(gw.replicaA.Statements()), "it drains by the newest list received")
	gw.waitDiscoveryCall(d, firstCall.Add(time.Millisecond))
	assert.Contains(t, d.lastCallPath(), "after=0", "the whole list is asked for")
}
