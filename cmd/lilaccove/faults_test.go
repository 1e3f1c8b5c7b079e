package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/pgwire"
)

var faultyBinary struct {
	sync.Once
	path string
	err  error
}

// buildFaultyGateway builds the program, once for all tests, with the tag that makes system calls fail by a plan.
func buildFaultyGateway(t *testing.T) string {
	t.Helper()
	faultyBinary.Do(func() {
		var dir string
		if dir, faultyBinary.err = os.MkdirTemp("", "lilaccove-faults-"); faultyBinary.err != nil {
			return
		}
		faultyBinary.path = filepath.Join(dir, "lilaccove")
		var output []byte
		if output, faultyBinary.err = exec.Command("go", "build", "-tags", "faults", "-o", faultyBinary.path, ".").CombinedOutput(); faultyBinary.err != nil {
			faultyBinary.path = string(output)
		}
	})
	require.NoError(t, faultyBinary.err, faultyBinary.path)
	return faultyBinary.path
}

// withFaults makes system calls of a gateway's process fail.
func withFaults(faults string) func(*testGateway) {
	return withFaultPlan(`{"seed":7,"faults":[` + faults + `]}`)
}

// withFaultPlan makes a gateway's process read a fault plan.
func withFaultPlan(plan string) func(*testGateway) {
	return func(gw *testGateway) {
		gw.faultPlan = filepath.Join(gw.tmpDir, "plan.json")
		require.NoError(gw.t, os.WriteFile(gw.faultPlan, []byte(plan), 0o600))
	}
}

// The kernel may temporarily refuse to watch another descriptor (ENOMEM, ENOSPC): no accepted or dialled connection is dropped,
// and none stays unwatched.
func TestEpollRegistrationFails(t *testing.T) {
	t.Parallel()
	for name, faults := range map[string]string{
		"from the start":  `{"call":"epoll_add","error":"ENOSPC","most":6}`,
		"again and again": `{"call":"epoll_add","error":"ENOMEM","share":0.4},{"call":"epoll_mod","error":"ENOMEM","share":0.4}`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gw := startGateway(t, func(gw *testGateway) {
				gw.t = t
				withFaults(faults)(gw)
			})
			large := strings.Repeat("x", 60_000)
			gw.primary.setHandler(func(d *database, c net.Conn, _ string) { d.Answer(c, large) })
			for range 20 {
				c := gw.connect()
				for range 5 {
					c.write(queryMessage(statement("write", 3000, "")))
				}
				for range 5 {
					assert.Len(t, c.readAnswer().value, len(large))
				}
			}
			gw.sendSIGTERM()
			gw.waitExit()
		})
	}
}

// Connections in the listen queue at shutdown are accepted although accept fails for a while: clients may have sent requests
// on them.
func TestAcceptFailsDuringShutdown(t *testing.T) {
	t.Parallel()
	for _, errno := range []string{"ENFILE", "ENOBUFS", "EPROTO"} {
		t.Run(errno, func(t *testing.T) {
			t.Parallel()
			gw := startGateway(t, func(gw *testGateway) {
				gw.t = t
				withFaults(`{"call":"accept","error":"` + errno + `","most":60}`)(gw)
			})
			c := gw.dial()
			c.write(string(pgwire.Startup("api", "ledger")) + queryMessage(statement("own", 2500, "")))
			gw.sendSIGTERM()
			c.readAnswer()
			assert.NotEmpty(t, c.readAnswer().value)
			gw.waitExit()
		})
	}
}

// A process that inherits its clients' socket starts to accept as soon as the kernel permits.
func TestListenFailsTemporarily(t *testing.T) {
	t.Parallel()
	gw := startWithInheritedSocket(t, withFaults(`{"call":"epoll_add","error":"ENOSPC","most":4}`))
	assert.True(t, gw.connect().query("").empty)
	start := time.Now()
	gw.eventually("it is ready", gw.ready)
	assert.Less(t, time.Since(start), waitTimeout)
}

// The system may have no free socket when a process starts.
func TestNoSocketAtStart(t *testing.T) {
	t.Parallel()
	gw := startGateway(t, withFaults(`{"call":"socket","error":"ENFILE","most":3}`))
	assert.NotEmpty(t, gw.connect().query(statement("own", 1000, "")).value)
}

// The system may have no free descriptor for the event loop when a process starts.
func TestNoEpollDescriptorAtStart(t *testing.T) {
	t.Parallel()
	gw := startGateway(t, withFaults(`{"call":"epoll_create","error":"ENFILE","most":3},{"call":"eventfd","error":"EMFILE","most":3}`))
	assert.NotEmpty(t, gw.connect().query(statement("own", 1000, "")).value)
}

// Reads and writes may be short, waits may be interrupted, and accept and connect may fail: each request gets one complete
// answer or an error.
func TestShortReadsAndWrites(t *testing.T) {
	t.Parallel()
	gw := startGateway(t, withFaults(`{"call":"read","short":7,"share":0.9},{"call":"write","short":5,"share":0.9},`+
		`{"call":"epoll_wait","error":"EINTR","share":0.2},{"call":"accept","error":"ECONNABORTED","share":0.5},`+
		`{"call":"connect","error":"EADDRNOTAVAIL","share":0.1}`))
	for range 10 {
		c := gw.connect()
		for range 3 {
			c.write(queryMessage(statement("own", 3000, "")))
		}
		for range 3 {
			got := c.readAnswer()
			assert.Equal(t, 1, got.rows+got.errors, "%+v", got)
			assert.False(t, got.ended)
		}
	}
	gw.sendSIGTERM()
	gw.waitExit()
}

// A connection may fail with errors of the network rather than of the peer.
func TestConnectionsFailWithNetworkErrors(t *testing.T) {
	t.Parallel()
	gw := startGateway(t, withFaults(`{"call":"read","error":"EHOSTUNREACH","share":0.05},{"call":"read","error":"ETIMEDOUT","share":0.05}`))
	answered := 0
	for range 60 {
		c := gw.dial()
		c.write(string(pgwire.Startup("api", "ledger")) + queryMessage(statement("write", 1000, "")))
		c.readAnswer()
		if got := c.readAnswer(); !got.ended {
			answered++
			assert.Equal(t, 1, got.rows+got.errors, "%+v", got)
		}
	}
	assert.Greater(t, answered, 30)
	counts := map[string]int{}
	for _, text := range gw.primary.Statements() {
		counts[text[:24]]++
	}
	for id, n := range counts {
		assert.Equal(t, 1, n, "a write may have run: %s", id)
	}
	gw.sendSIGTERM()
	gw.waitExit()
}

// A process may stall in the middle of a round, between reading the clock and writing. An attempt that would start after its
// request's deadline is not started.
func TestNoAttemptStartsAfterStall(t *testing.T) {
	t.Parallel()
	const stall = 700 * time.Millisecond
	gw := startGateway(t, withFaults(`{"call":"read","delay_ms":700,"from_ms":500}`))
	c := gw.connect()
	gw.eventually("reads are delayed", func() bool { // and idle connections to databases exist
		start := time.Now()
		c.query(statement("own", 1500, ""))
		return time.Since(start) >= stall
	})
	before := len(gw.replicaA.Statements()) + len(gw.replicaB.Statements()) + len(gw.primary.Statements())
	c.write(queryMessage(statement("own", 500, "")))
	got := c.readAnswer()
	assert.Equal(t, 1, got.errors, "%+v", got)
	assert.Equal(t, before, len(gw.replicaA.Statements())+len(gw.replicaB.Statements())+len(gw.primary.Statements()))
}

// withClockStep shifts the wall clock of a gateway's process against that of the other processes.
func withClockStep(step time.Duration) func(*testGateway) {
	return withFaultPlan(fmt.Sprintf(`{"wall_step_ms":%d}`, step.Milliseconds()))
}

// forEachClockStep starts a gateway with each of several clock steps, including none, and calls check with it.
func forEachClockStep(t *testing.T, check func(t *testing.T, gw *testGateway)) {
	for _, step := range []time.Duration{0, -time.Hour, -3 * time.Second, -800 * time.Millisecond, 3 * time.Second, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			t.Parallel()
			check(t, startGateway(t, func(gw *testGateway) {
				gw.t = t
				withClockStep(step)(gw)
			}))
		})
	}
}

// A process started after its machine's wall clock was stepped runs with that clock. Replicas that are fresh by the databases'
// clock keep serving reads with a staleness bound, whichever way the local clock is off.
func TestReplicasServeAfterClockStep(t *testing.T) {
	t.Parallel()
	forEachClockStep(t, func(_ *testing.T, gw *testGateway) {
		c := gw.connect()
		gw.eventually("replicas serve", func() bool {
			c.query(statement("own", 1000, "")) // any member may answer, with its replication position
			before := len(gw.replicaA.Statements()) + len(gw.replicaB.Statements())
			c.query(statement("browse", 1000, ""))
			return len(gw.replicaA.Statements())+len(gw.replicaB.Statements()) > before
		})
	})
}

// Such a process serves no read from data older than the staleness bound of its class, which is three seconds here.
func TestNoStaleReadsAfterClockStep(t *testing.T) {
	t.Parallel()
	forEachClockStep(t, func(t *testing.T, gw *testGateway) {
		gw.replicaA.SetLag(5 * time.Second)
		gw.replicaB.SetLag(5 * time.Second)
		c := gw.connect()
		for range 60 {
			c.query(statement("own", 1000, "")) // any member may answer, with its replication position
			before := len(gw.replicaA.Statements()) + len(gw.replicaB.Statements())
			c.query(statement("browse", 1000, ""))
			assert.Equal(t, before, len(gw.replicaA.Statements())+len(gw.replicaB.Statements()), "both replicas lag by five seconds")
		}
	})
}

// A session reads its own writes, whichever way the local clock is off: the time of its commit is on the databases' clock.
func TestSessionsReadTheirWritesAfterClockStep(t *testing.T) {
	t.Parallel()
	forEachClockStep(t, func(t *testing.T, gw *testGateway) {
		c := gw.connect()
		gw.learnPositions(c)
		gw.replicaA.SetLag(5 * time.Second)
		gw.replicaB.SetLag(5 * time.Second)
		before := len(gw.replicaA.Statements()) + len(gw.replicaB.Statements())
		for range 30 {
			commit := time.Now().UnixMilli() + 1 // after all known positions of the replicas
			c.query(statement("own", 1000, fmt.Sprintf(",after=%d", commit)))
		}
		assert.Equal(t, before, len(gw.replicaA.Statements())+len(gw.replicaB.Statements()), "no replica has reached the commit")
	})
}

// The system may have no free socket or port for a while. That is a shortage of this machine, not a failure of the databases:
// no breaker opens, and requests are served as soon as sockets are available again.
func TestSocketShortageOpensNoBreaker(t *testing.T) {
	t.Parallel()
	const faultStart, faultDuration = 1500, 1200 // ms
	for _, fault := range []string{
		`"call":"socket","error":"ENFILE"`, `"call":"socket","error":"EMFILE"`, `"call":"socket","error":"ENOBUFS"`,
		`"call":"socket","error":"ENOMEM"`, `"call":"connect","error":"EADDRNOTAVAIL"`,
	} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			start := time.Now()
			gw := startGateway(t, func(gw *testGateway) {
				gw.t = t
				withFaults(fmt.Sprintf(`{%s,"from_ms":%d,"for_ms":%d}`, fault, faultStart, faultDuration))(gw)
			})
			for _, d := range []*database{gw.primary, gw.replicaA, gw.replicaB} {
				d.setHandler(func(d *database, c net.Conn, _ string) { // each request needs a new connection
					d.Answer(c, d.ID)
					c.Close()
				})
			}
			c := gw.connect()
			gw.eventually("writes are served", func() bool { return c.query(statement("write", 1000, "")).value != "" })
			time.Sleep(time.Until(start.Add((faultStart + faultDuration/3) * time.Millisecond))) // until the fault is active
			for range 20 {
				c.write(queryMessage(statement("write", 400, "")))
			}
			for range 20 {
				c.readAnswer()
			}
			remaining := time.Until(start.Add((faultStart + faultDuration) * time.Millisecond))
			time.Sleep(remaining)
			gw.eventually("writes are served again", func() bool { return c.query(statement("write", 1000, "")).value != "" })
			assert.NotContains(t, gw.logText(), "breaker opens")
		})
	}
}

// The network path to one database fails and those to the others work: reads go elsewhere, and each request is answered.
func TestOneDatabaseUnreachable(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{
		`"call":"read","error":"ETIMEDOUT"`, `"call":"write","error":"EHOSTUNREACH"`, `"call":"connect","error":"ENETUNREACH"`,
		`"call":"connect","error":"ECONNREFUSED"`, `"call":"read","short":1`, `"call":"write","short":1`,
	} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			gw := startGateway(t, func(gw *testGateway) {
				gw.t = t
				withFaults(fmt.Sprintf(`{%s,"peer":%q}`, fault, gw.replicaA.Addr()))(gw)
			})
			c := gw.connect()
			for n := range 40 {
				class := []string{"own", "browse", "write"}[n%3]
				got := c.query(statement(class, 1000, ""))
				assert.NotEmpty(t, got.value, "request %d, %s: %+v", n, class, got)
			}
			assert.NotContains(t, gw.logText(), "breaker opens", "the primary is healthy")
		})
	}
}

// The system may have no free descriptor for the configuration file at start or at SIGHUP. The start waits for one, and the
// reload is retried until it can be done: operators request it once.
func TestConfigurationOpenFailsTemporarily(t *testing.T) {
	t.Parallel()
	t.Run("start", func(t *testing.T) {
		t.Parallel()
		gw := startGateway(t, func(gw *testGateway) {
			gw.t = t
			withFaults(`{"call":"open","error":"ENFILE","most":3}`)(gw)
		})
		assert.NotEmpty(t, gw.connect().query(statement("own", 1000, "")).value)
	})
	t.Run("reload", func(t *testing.T) {
		t.Parallel()
		gw := startGateway(t, func(gw *testGateway) {
			gw.t = t
			withFaults(`{"call":"open","error":"EMFILE","from_ms":800,"most":5}`)(gw)
		})
		start := time.Now()
		gw.waitWatches(gw.discovery, 1)
		old := gw.discovery
		next, err := gw.world.AddDiscovery()
		require.NoError(t, err)
		gw.discovery = next
		gw.configure(next.Addr, []byte("{}"))
		time.Sleep(time.Until(start.Add(time.Second))) // until the fault is active
		gw.sendSIGHUP()
		gw.waitWatches(next, 1)
		gw.waitWatches(old, 0)
	})
}

// The system may have no free descriptor for the fleet file or the stored operator overrides at start: the start waits.
func TestFleetFilesOpenFailsTemporarily(t *testing.T) {
	for _, file := range []string{"fleet.yaml", "words.lock", "words"} {
		t.Run(file, func(t *testing.T) {
			fleet := newTestFleetWithPlan(t, 4, storePlan)
			host := fleet.World().Members()[0]
			assert.Equal(t, "ok: held by 3 of 3 others, on disk", fleet.setOverride(1, host.ID, "suspend"))
			fleet.Node(2).Kill()
			path := filepath.Join(t.TempDir(), "plan.json")
			fault := fmt.Sprintf(`{"faults":[{"call":"open","error":"EMFILE","file":%q,"most":3}]}`, file)
			require.NoError(t, os.WriteFile(path, []byte(fault), 0o600))
			_, err := fleet.StartCommand(2, []string{buildFaultyGateway(t)}, "LILACCOVE_FAULTS="+path)
			require.NoError(t, err)
			fleet.waitSuspendedCount(1, 2)
			fleet.waitOverridesEqual()
			fleet.finishAndCheck(0.5)
		})
	}
}
