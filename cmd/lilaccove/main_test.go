package main

import (
	"fmt"
	"net"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/pgwire"
	"lilaccove/internal/standin"
)

func neverAnswer(*database, net.Conn, string) {}

func closeConnection(_ *database, c net.Conn, _ string) { c.Close() }

// answerError returns a handler that answers with an error of this code.
func answerError(code string) func(*database, net.Conn, string) {
	return func(_ *database, c net.Conn, _ string) {
		_, _ = c.Write(pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", code, "no", "")))
	}
}

func TestForwardsStatementsAndAnswers(t *testing.T) {
	t.Parallel()
	gw := startGateway(t, nil)
	c := gw.connect()
	gw.learnPositions(c)
	text := statement("browse", 900, ",k=9")
	assert.Contains(t, []string{"a", "b"}, c.query(text).value)

	// The statement is forwarded unchanged except for d, the time for which the gateway waits.
	sent := append(gw.replicaA.Statements(), gw.replicaB.Statements()...)
	d := regexp.MustCompile(`,d=(\d+),`)
	want := d.ReplaceAllString(text, ",d=,")
	i := slices.IndexFunc(sent, func(got string) bool { return d.ReplaceAllString(got, ",d=,") == want })
	require.GreaterOrEqual(t, i, 0, "%v", sent)
	ms, _ := strconv.Atoi(d.FindStringSubmatch(sent[i])[1])
	assert.LessOrEqual(t, ms, 900)

	// The largest value that is buffered, in an answer and in a statement.
	largest := strings.Repeat("x", pgwire.MaxBufferedValue)
	gw.primary.setHandler(func(d *database, c net.Conn, _ string) { d.Answer(c, largest) })
	got := c.query(strings.Replace(statement("write", 2000, ""), `\x9f03`, `\x`+strings.Repeat("9f", pgwire.MaxBufferedValue), 1))
	assert.Equal(t, largest, got.value)
	assert.Equal(t, 1, got.rows)

	// A larger answer is valid as well.
	larger := strings.Repeat("x", 400<<10)
	gw.primary.setHandler(func(d *database, c net.Conn, _ string) { d.Answer(c, larger) })
	assert.Equal(t, larger, c.query(statement("write", 2000, "")).value)
}

func TestQueryPipelinedWithStartup(t *testing.T) {
	t.Parallel()
	gw := startGateway(t, nil)
	c := gw.dial()
	c.write(string(pgwire.Startup("api", "ledger")) + queryMessage(" ; ") + queryMessage(statement("write", 1000, "")) + queryMessage(""))
	c.readAnswer()
	assert.True(t, c.readAnswer().empty)
	assert.Equal(t, "p", c.readAnswer().value)
	assert.True(t, c.readAnswer().empty, "answers keep the order of the commands")
}

func TestRefusalHasRetryAfter(t *testing.T) {
	t.Parallel()
	gw := startGateway(t, nil)
	c := gw.connect()
	start := time.Now()
	got := c.query(strings.Replace(statement("write", 3000, ""), "cluster=2", "cluster=99", 1))
	assert.Equal(t, "53300", got.code)
	ms, err := strconv.Atoi(got.detail)
	assert.NoError(t, err)
	assert.Positive(t, ms)
	assert.Less(t, time.Since(start), time.Second, "a request without a database is refused at once")
}

// Rule 1: every accepted request gets exactly one final answer in time.
func TestEveryRequestIsAnsweredInTime(t *testing.T) {
	t.Parallel()
	gw := startGateway(t, nil)
	for _, d := range []*database{gw.primary, gw.replicaA, gw.replicaB} {
		d.setHandler(neverAnswer)
	}
	var clients []*client
	for _, class := range []string{"write", "browse", "own"} {
		c := gw.connect()
		c.write(queryMessage(statement(class, 400, "")))
		clients = append(clients, c)
	}
	start := time.Now()
	for _, c := range clients {
		got := c.readAnswer()
		assert.Equal(t, 1, got.errors)
		assert.False(t, got.ended)
	}
	assert.Less(t, time.Since(start), 450*time.Millisecond+time.Second) // allows one second for a busy machine
	assert.NotContains(t, gw.logText(), "event=overdue")
}

// Rule 2: a write that may have run is never sent again, and its error never tells the client that a retry is safe. A write
// that cannot have run may be refused.
func TestWritesThatMayHaveRunAreNotRetried(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name    string
		handler func(*database, net.Conn, string)
		code    string
		allowed int // attempts
	}{
		{"closed after its last byte", closeConnection, pgwire.CodeUnknownOutcome, 1},
		{"error", answerError("XX000"), pgwire.CodeUnknownOutcome, 1},
		{"no answer", neverAnswer, pgwire.CodeUnknownOutcome, 1},
		{"partial answer", func(_ *database, c net.Conn, _ string) {
			_, _ = c.Write(standin.Row("half", "")[:40])
			c.Close()
		}, pgwire.CodeUnknownOutcome, 1},
		{"not the primary", answerError("25006"), pgwire.CodeTooManyConnections, 3},
		{"refused", answerError("53300"), pgwire.CodeTooManyConnections, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			gw := startGateway(t, nil)
			for _, d := range []*database{gw.primary, gw.replicaA, gw.replicaB} {
				d.setHandler(tt.handler)
			}
			got := gw.connect().query(statement("write", 500, ""))
			assert.Equal(t, tt.code, got.code)
			assert.Zero(t, got.rows)
			time.Sleep(disconnectGrace) // a second statement would have arrived
			n := len(gw.primary.Statements()) + len(gw.replicaA.Statements()) + len(gw.replicaB.Statements())
			assert.Positive(t, n)
			assert.LessOrEqual(t, n, tt.allowed)
		})
	}
}

// A database that accepts no connections has run nothing: the request is refused.
func TestFullDatabaseLeadsToRefusal(t *testing.T) {
	t.Parallel()
	gw := startGateway(t, nil)
	for _, d := range []*database{gw.primary, gw.replicaA, gw.replicaB} {
		d.SetAdmitting(false)
	}
	c := gw.connect()
	for _, class := range []string{"write", "browse", "own"} {
		assert.Equal(t, pgwire.CodeTooManyConnections, c.query(statement(class, 1000, "")).code)
	}
	assert.Empty(t, gw.primary.Statements())
}

// A read whose answer breaks off is retried; the client receives a complete value from one database.
func TestPartialValueIsNotForwarded(t *testing.T) {
	t.Parallel()
	gw := startGateway(t, nil)
	c := gw.connect()
	gw.learnPositions(c)
	gw.replicaA.setHandler(func(_ *database, c net.Conn, _ string) {
		_, _ = c.Write(standin.Row(strings.Repeat("half", 1000), "")[:2000])
		c.Close()
	})
	for range 6 {
		assert.Contains(t, []string{"p", "b"}, c.query(statement("browse", 1000, "")).value)
	}
}

// Malformed answers are not forwarded: a read is retried elsewhere long before its deadline, and a write fails with an unknown
// outcome, because it may have run. Bytes after a valid answer, or on an idle connection, are not taken for the next answer.
func TestMalformedAnswers(t *testing.T) {
	t.Parallel()
	valid := standin.Row("good", "")
	malformed := map[string]string{
		"noise":                 "\x93\x01noise",
		"unknown message":       "?\x00\x00\x00\x08abcd",
		"endless line":          strings.Repeat("x", 300),
		"negative length":       "D\xff\xff\xff\xf0",
		"row of another length": strings.Replace(string(valid), "\x04good", "\x03good", 1),
		"value of 3 GB":         strings.Replace(string(valid), "\x00\x00\x00\x04good", "\xb2\xd0\x5e\x00good", 1),
		"row first":             string(valid[30:]),
		"ready first":           string(pgwire.AppendReady(nil)),
		"noise before its end":  string(valid[:len(valid)-6]) + "\x93\x01noise",
		"two rows":              string(valid[:len(valid)-6]) + string(valid),
		"refusal and noise":     string(pgwire.AppendError(nil, "ERROR", "53300", "no", "")) + "noise",
	}
	for name, text := range malformed {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gw := startGateway(t, nil)
			c := gw.connect()
			c.t = t
			gw.learnPositions(c)
			answerMalformed := func(_ *database, c net.Conn, _ string) { _, _ = c.Write([]byte(text)) }
			gw.replicaA.setHandler(answerMalformed)
			gw.primary.setHandler(answerMalformed)
			start := time.Now()
			for range 4 {
				assert.Equal(t, "b", c.query(statement("browse", 1100, "")).value)
			}
			assert.Less(t, time.Since(start), 2*time.Second, "the attempts do not time out")
			n := len(gw.primary.Statements())
			assert.Equal(t, pgwire.CodeUnknownOutcome, c.query(statement("write", 3000, "")).code)
			assert.Len(t, gw.primary.Statements(), n+1)
		})
	}
	for name, trailing := range map[string]string{"a second copy": string(valid), "noise": "noise", "a malformed notice": ""} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gw := startGateway(t, nil)
			var n atomic.Int64
			gw.primary.setHandler(func(_ *database, c net.Conn, _ string) {
				notices := "S\x00\x00\x00\x0eload\x00x0=\xff\x00"
				_, _ = c.Write(standin.Row(strconv.FormatInt(n.Add(1), 10), notices))
				_, _ = c.Write([]byte(trailing))
			})
			c := gw.connect()
			for i := range 20 {
				assert.Equal(t, strconv.Itoa(i+1), c.query(statement("write", 2000, "")).value)
			}
		})
	}
}

// Rule 3: a draining database gets no new statements.
func TestDrainingDatabaseGetsNoNewStatements(t *testing.T) {
	t.Parallel()
	gw := startGateway(t, nil)
	c := gw.connect()
	gw.learnPositions(c)
	gw.replicaA.Announce("terminating", time.Time{})
	gw.eventually("the list change is applied", func() bool {
		n := len(gw.replicaA.Statements())
		for range 4 {
			c.query(statement("browse", 1000, ""))
		}
		return len(gw.replicaA.Statements()) == n
	})
	n := len(gw.replicaA.Statements())
	for range 20 {
		assert.NotEmpty(t, c.query(statement("browse", 1000, "")).value)
	}
	assert.Len(t, gw.replicaA.Statements(), n)
}

// Rule 4: a database that has just started according to the list gets little load.
func TestColdDatabaseGetsLittleLoad(t *testing.T) {
	t.Parallel()
	gw := startGateway(t, func(gw *testGateway) { gw.replicaA.Announce("in_service", time.Now()) })
	c := gw.connect()
	for range 60 {
		assert.NotEmpty(t, c.query(statement("own", 1000, "")).value)
	}
	assert.Less(t, len(gw.replicaA.Statements()), 10)
}

// Rule 5: no read is served from data older than the staleness bound of its class, or older than its session's last write.
func TestStaleReplicaServesNoRead(t *testing.T) {
	t.Parallel()
	gw := startGateway(t, nil)
	for _, d := range []*database{gw.replicaA, gw.replicaB} {
		d.SetLag(5 * time.Second)
	}
	c := gw.connect()
	gw.learnPositions(c)
	for range 5 {
		assert.Equal(t, "p", c.query(statement("browse", 1000, "")).value, "the replicas exceed the staleness bound")
		after := fmt.Sprintf(",after=%d", time.Now().Add(-4*time.Second).UnixMilli())
		assert.Equal(t, "p", c.query(statement("own", 1000, after)).value, "the replicas lag behind the session's write")
	}
	after := fmt.Sprintf(",after=%d", time.Now().Add(-time.Minute).UnixMilli())
	assert.Contains(t, []string{"a", "b"}, c.query(statement("own", 1000, after)).value)
}

// Pipelined commands are accepted as they arrive, because their deadlines run from then. Answers keep the order of the
// commands, and an error that closes the connection follows the answers to the commands before it.
func TestPipelinedCommands(t *testing.T) {
	t.Parallel()
	gw := startGateway(t, nil)
	c := gw.connect()
	gw.learnPositions(c)
	release := gw.primary.blockAnswers()
	reads := func() int { return len(gw.replicaA.Statements()) + len(gw.replicaB.Statements()) }
	n := reads()
	c.write(queryMessage(statement("write", 3000, "")) + queryMessage("") + queryMessage(statement("browse", 900, "")) + queryMessage("what") +
		queryMessage(strings.Replace(statement("own", 900, ""), "cluster=2", "cluster=99", 1)) + "Q\xff\xff\xff\xff")
	gw.eventually("the read does not wait for the write", func() bool { return reads() > n })
	close(release)
	assert.Equal(t, "late", c.readAnswer().value)
	assert.True(t, c.readAnswer().empty)
	assert.Contains(t, []string{"a", "b"}, c.readAnswer().value)
	assert.Equal(t, "08P01", c.readAnswer().code)
	assert.Equal(t, "53300", c.readAnswer().code)
	got := c.readAnswer()
	assert.Equal(t, "08P01", got.code)
	assert.True(t, got.ended)
	// A command after one that times out has its own deadline, from its arrival.
	gw.replicaA.setHandler(neverAnswer)
	gw.replicaB.setHandler(neverAnswer)
	gw.primary.setHandler(neverAnswer)
	c = gw.connect()
	start := time.Now()
	for range 5 {
		c.write(queryMessage(statement("write", 400, "")))
	}
	for range 5 {
		assert.Equal(t, 1, c.readAnswer().errors)
	}
	assert.Less(t, time.Since(start), 1800*time.Millisecond)
}

// Invalid input leads to an error or a closed connection and does not affect other clients.
func TestBadInput(t *testing.T) {
	t.Parallel()
	gw := startGateway(t, nil)
	other := gw.connect()
	startup := string(pgwire.Startup("api", "ledger"))
	tests := []struct {
		name, in string
		code     string
		closes   bool
	}{
		{"TLS", "\x00\x00\x00\x08\x04\xd2\x16\x2f", "0A000", true},
		{"HTTP", "GET / HTTP/1.1\r\n\r\n", "08P01", true},
		{"cancel", "\x00\x00\x00\x10\x04\xd2\x16\x2e\x00\x00\x00\x01\x00\x00\x00\x02", "", true},
		{"version 2", "\x00\x00\x00\x08\x00\x02\x00\x00", "08P01", true},
		{"huge length", startup + "Q\x7f\xff\xff\xff", "08P01", true},
		{"negative length", startup + "Q\xff\xff\xff\xff", "08P01", true},
		{"extended query", startup + "P\x00\x00\x00\x08\x00\x00\x00\x00", "08P01", true},
		{"terminate", startup + "X\x00\x00\x00\x04", "", true},
		{"no head comment", startup + queryMessage("SELECT 1"), "08P01", false},
		{"unknown class", startup + queryMessage(statement("nobody", 100, "")), "08P01", false},
		{"NUL byte in the text", startup + queryMessage("/* id=1\x00 */"), "08P01", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := gw.dial()
			c.t = t
			c.write(tt.in)
			got := c.readAnswer()
			if strings.HasPrefix(tt.in, startup) && !got.ended {
				got = c.readAnswer()
			}
			assert.Equal(t, tt.code, got.code)
			assert.Equal(t, tt.closes, got.ended)
			assert.Equal(t, "p", other.query(statement("write", 1000, "")).value)
		})
	}
}

// When a client disconnects, its attempt is cancelled: the gateway closes the connection to the database.
func TestDisconnectCancelsAttempt(t *testing.T) {
	t.Parallel()
	gw := startGateway(t, nil)
	gw.primary.setHandler(neverAnswer)
	c := gw.connect()
	c.write(queryMessage(statement("write", 3000, "")))
	gw.eventually("the write arrives", func() bool { return len(gw.primary.Statements()) == 1 })
	c.conn.Close()
	gw.eventually("its connection is closed", func() bool { return gw.primary.EndedConnections() > 0 })
}

// Connections to databases are reused for consecutive requests.
func TestConnectionsAreReused(t *testing.T) {
	t.Parallel()
	gw := startGateway(t, nil)
	c := gw.connect()
	dialsAfterWrites := func() int {
		for range 30 {
			assert.Equal(t, "p", c.query(statement("write", 1000, "")).value)
		}
		return gw.primary.Dials()
	}
	first := dialsAfterWrites()                        // connections are closed until the host is known to be in steady use
	assert.LessOrEqual(t, dialsAfterWrites()-first, 1) // a probe may have opened one
}

// Clients beyond the descriptor limit are refused with an error, and the gateway keeps serving.
func TestTooManyClients(t *testing.T) {
	t.Parallel()
	gw := startGateway(t, func(gw *testGateway) { gw.sockets = 64 })
	gw.primary.setHandler(neverAnswer)
	var busy []*client
	refused := func() bool {
		for _, c := range busy {
			_ = c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
			if got := c.readAnswer(); got.code == "53300" {
				return true
			}
		}
		return false
	}
	for range 80 {
		c := gw.dial()
		c.write(string(pgwire.Startup("api", "ledger")) + queryMessage(statement("write", 3000, "")))
		busy = append(busy, c)
	}
	gw.eventually("a client is refused", refused)
	for _, c := range busy {
		c.conn.Close()
	}
	gw.primary.setHandler(nil)
	// Idle clients up to the limit do not prevent connections to databases.
	for range 80 {
		c := gw.dial()
		c.write(string(pgwire.Startup("api", "ledger")))
	}
	gw.eventually("it serves again", func() bool {
		c := gw.connect()
		defer c.conn.Close()
		return c.query(statement("write", 1000, "")).value == "p"
	})
}

// Clients that connect and send nothing, or a partial packet, are closed soon; even when many do so at once, other clients
// are served meanwhile.
func TestSilentClientsDoNotBlockOthers(t *testing.T) {
	t.Parallel()
	gw := startGateway(t, func(gw *testGateway) { gw.sockets = 64 })
	start := time.Now()
	var silent []*client
	startup := string(pgwire.Startup("api", "ledger"))
	for i := range 150 {
		c := gw.dial()
		c.write([]string{"", startup[:9], startup, startup + "Q\x00\x00\x02\x00half"}[i%4])
		silent = append(silent, c)
		if i%10 == 0 {
			other := gw.connect()
			assert.Equal(t, "p", other.query(statement("write", 1000, "")).value)
			other.conn.Close()
		}
	}
	for _, c := range silent {
		for !c.readAnswer().ended {
		}
	}
	assert.Less(t, time.Since(start), 6*time.Second, "they must be closed within 3 s; the rest allows for a busy machine")
	assert.NotContains(t, gw.logText(), "reason=descriptors")
}

// Many clients that connect at once do not cause each other to be closed between startup and query: idle clients are evicted
// first.
func TestIdleClientsAreEvictedForNewOnes(t *testing.T) {
	t.Parallel()
	gw := startGateway(t, func(gw *testGateway) { gw.sockets = 128 })
	var idle, newClients []*client
	start := time.Now()
	for range 36 { // over a quarter of the descriptors; all clients together may hold at most a third
		c := gw.connect()
		c.query("")
		idle = append(idle, c)
	}
	time.Sleep(300 * time.Millisecond) // before, they count as in steady use
	for range 20 {
		newClients = append(newClients, gw.connect())
	}
	for _, c := range newClients {
		assert.True(t, c.query("").empty)
	}
	assert.True(t, idle[0].readAnswer().ended)
	assert.Less(t, time.Since(start), 4*time.Second, "it is evicted for the new clients, not after 5 s of idleness")
}

// When clients use more than half of their limit, only idle ones are evicted. New clients that are about to send a request,
// and those that have just sent one, are kept while there is capacity: they would take a close for a failure.
func TestNewClientsAreKeptWhileCapacityRemains(t *testing.T) {
	t.Parallel()
	gw := startGateway(t, func(gw *testGateway) { gw.sockets = 128 })
	var clients []*client
	for range 50 { // of 64
		c := gw.connect()
		c.query("")
		clients = append(clients, c)
	}
	for range 10 {
		clients = append(clients, gw.connect())
	}
	for _, c := range clients {
		got := c.query(statement("write", 2000, ""))
		assert.Equal(t, "p", got.value, "%+v", got)
	}
}

// A gateway without a descriptor for another connection to a database does not treat that as a failure of the database: no
// breaker opens, and waiting requests are served on the next free connection.
func TestDescriptorShortageOpensNoBreaker(t *testing.T) {
	t.Parallel()
	gw := startGateway(t, func(gw *testGateway) { gw.sockets = 35 })
	gw.primary.setHandler(func(d *database, c net.Conn, _ string) {
		time.Sleep(50 * time.Millisecond) // the database's work
		d.Answer(c, "done")
	})
	var clients []*client
	for range 8 {
		c := gw.connect()
		c.query("")
		clients = append(clients, c)
	}
	for range 3 {
		for _, c := range clients {
			c.write(queryMessage(statement("write", 2500, "")))
		}
		for _, c := range clients {
			got := c.readAnswer()
			assert.Equal(t, "done", got.value, "%+v", got)
		}
	}
	assert.Contains(t, gw.logText(), "event=no_descriptor")
	assert.NotContains(t, gw.logText(), "breaker opens")
}

// An error reaches the client although it keeps sending input that the gateway does not read.
func TestErrorIsDeliveredDespiteUnreadInput(t *testing.T) {
	t.Parallel()
	gw := startGateway(t, nil)
	c := gw.connect()
	c.write("Q\x03\x93\x87\x00" + strings.Repeat("x", 8<<20))
	got := c.readAnswer()
	assert.Equal(t, "08P01", got.code)
	assert.True(t, got.ended)
}

// A request whose ID is that of an open request is refused: a database would confuse the two.
func TestDuplicateRequestID(t *testing.T) {
	t.Parallel()
	gw := startGateway(t, nil)
	release := gw.primary.blockAnswers()
	first, other := gw.connect(), gw.connect()
	text := statement("write", 3000, "")
	first.write(queryMessage(text))
	gw.eventually("the write arrives", func() bool { return len(gw.primary.Statements()) == 1 })
	assert.Equal(t, "08P01", other.query(text).code)
	close(release)
	assert.Equal(t, "late", first.readAnswer().value)
	assert.Len(t, gw.primary.Statements(), 1)
	assert.Equal(t, "late", other.query(text).value, "the ID may be used again")
}

// Connections to databases do not count against the clients' limit: a quarter of the descriptors carry requests, each with a
// connection to a database.
func TestDatabaseConnectionsDoNotReduceClientLimit(t *testing.T) {
	t.Parallel()
	gw := startGateway(t, func(gw *testGateway) { gw.sockets = 64 })
	release := gw.primary.blockAnswers()
	var clients []*client
	for i := range 16 {
		// The primary gets them one by one: its concurrency limit grows with the requests it serves.
		c := gw.connect()
		c.write(queryMessage(statement("write", 3000, fmt.Sprintf(",n=%d", i))))
		clients = append(clients, c)
	}
	gw.eventually("eight writes arrive", func() bool { return len(gw.primary.Statements()) >= 8 })
	close(release)
	for _, c := range clients {
		got := c.readAnswer()
		assert.False(t, got.ended, "%+v", got)
	}
	assert.NotContains(t, gw.logText(), "reason=descriptors")
}

// Without discovery the initial list stays in force, and discovery is polled again.
func TestServesWithoutDiscovery(t *testing.T) {
	t.Parallel()
	gw := startGateway(t, func(gw *testGateway) { gw.world.SetDiscoveryDown(true) })
	c := gw.connect()
	assert.Equal(t, "p", c.query(statement("write", 1000, "")).value)
	gw.eventually("it polls discovery", func() bool { return gw.discovery.Calls().Requests > 0 })
	gw.world.SetDiscoveryDown(false)
	gw.waitWatches(gw.discovery, 1)
	gw.world.SendToWatches("no JSON") // ends the watch; the list stays
	assert.Equal(t, "p", c.query(statement("write", 1000, "")).value)
	gw.eventually("the failure is logged", func() bool { return strings.Contains(gw.logText(), "list: ") })
}

// SIGHUP moves the watch to the address now in the configuration file, whatever GW_DISCOVERY is; an invalid file changes
// nothing. Neither closes a connection or ends the process.
func TestReload(t *testing.T) {
	t.Parallel()
	gw := startGateway(t, nil)
	c := gw.connect()
	gw.learnPositions(c)
	gw.waitWatches(gw.discovery, 1)
	for _, bad := range []string{"{", `{"discovery":"nowhere"}`, ""} {
		failed := strings.Count(gw.logText(), "event=reload_failed")
		if require.NoError(t, os.WriteFile(gw.configPath, []byte(bad), 0o600)); bad == "" {
			require.NoError(t, os.Remove(gw.configPath))
		}
		gw.sendSIGHUP()
		gw.eventually("the file is read", func() bool { return strings.Count(gw.logText(), "event=reload_failed") > failed })
		assert.Equal(t, 1, gw.discovery.Calls().Watches, "the old watch stays")
	}
	for range 3 {
		gw.replicaA.Announce("terminating", time.Time{})
		old := gw.discovery
		next, err := gw.world.AddDiscovery()
		require.NoError(t, err)
		gw.discovery = next
		gw.configure(next.Addr, []byte("{}"))
		gw.sendSIGHUP()
		gw.waitWatches(next, 1)
		gw.waitWatches(old, 0)
		assert.Equal(t, "p", c.query(statement("write", 1000, "")).value, "the client's connection stays")
	}
	assert.Equal(t, strconv.Itoa(gw.world.ListVersion()), gw.discovery.Calls().LastAfter, "it continues from its list version")
	gw.sendSIGTERM()
	gw.sendSIGHUP()
	gw.waitExit()
}

// After SIGTERM clients are still accepted for a moment, and all accepted requests are answered.
func TestTermAnswersAcceptedRequests(t *testing.T) {
	t.Parallel()
	gw := startGateway(t, nil)
	release := gw.primary.blockAnswers()
	c, idle := gw.connect(), gw.connect()
	c.write(queryMessage(statement("write", 3000, "")))
	gw.eventually("the write arrives", func() bool { return len(gw.primary.Statements()) == 1 })
	gw.sendSIGTERM()
	gw.eventually("it shuts down", func() bool { return strings.Contains(gw.logText(), "event=ending") })
	late := gw.connect()
	late.write(queryMessage(statement("write", 3000, "")))
	gw.eventually("the late write arrives", func() bool { return len(gw.primary.Statements()) == 2 })
	assert.True(t, idle.readAnswer().ended, "idle clients are closed")
	close(release)
	assert.Equal(t, "late", c.readAnswer().value)
	assert.Equal(t, "late", late.readAnswer().value)
	gw.waitExit()
}
