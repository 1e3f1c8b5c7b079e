package main

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/pgwire"
	"lilaccove/internal/standin"
)

// afterValueBreaks are the ways in which a database that has sent a part of an answer fails.
var afterValueBreaks = map[string]func(c net.Conn){
	"reset":  func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); c.Close() },
	"closed": func(c net.Conn) { c.Close() },
	"silent": func(net.Conn) { time.Sleep(6 * time.Second) }, // longer than a database may pause in a value
}

// answerInOrderOf makes the primary answer statements marked n=1 when release is closed, break values of statements marked n=2 off
// after the given part, and answer all others at once.
func answerInOrderOf(gw *testGateway, release chan struct{}, part string, fail func(c net.Conn)) {
	gw.primary.setHandler(func(d *database, c net.Conn, text string) {
		switch {
		case strings.Contains(text, ",n=1"):
			<-release
			d.Answer(c, "first")
		case strings.Contains(text, ",n=2"):
			_, _ = io.WriteString(c, part)
			time.Sleep(20 * time.Millisecond) // a reset would overtake what was just sent
			fail(c)
		default:
			d.Answer(c, "other")
		}
	})
}

// Guards against requests that lose their answers because a large value that a later command waits for ends incomplete.
func TestBrokenValueKeepsEarlierRequests(t *testing.T) {
	t.Parallel()
	row := string(standin.Row(variedValue(300<<10), ""))
	for name, fail := range afterValueBreaks {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gw := startGateway(t, withManagement)
			release := make(chan struct{})
			answerInOrderOf(gw, release, row[:100<<10], fail)
			c := gw.connect()
			c.write(queryMessage(statement("write", 3000, ",n=1")) + queryMessage(statement("write", 3000, ",n=2")) + queryMessage(statement("write", 3000, ",n=3")))
			gw.eventually("all commands have arrived", func() bool { return len(gw.primary.Statements()) == 3 })
			if name == "silent" { // the value is passed on and breaks off only then
				close(release)
			} else {
				time.Sleep(100 * time.Millisecond)
				assert.Equal(t, 3, gw.metric("upstream_tries.write"))
				close(release)
			}
			assert.Equal(t, "first", c.readAnswer().value)
			got := c.readAnswer()
			assert.Equal(t, pgwire.CodeUnknownOutcome, got.code, "%+v", got)
			assert.Equal(t, "other", c.readAnswer().value)
			assert.Equal(t, "other", c.query(statement("write", 3000, "")).value, "the connection is still open")
			assert.Equal(t, 1, gw.metric("bad_gateway.write"))
			assert.Zero(t, gw.metric("in_progress"))
			assert.Len(t, gw.primary.Statements(), 4, "nothing is sent twice")
		})
	}
}

// Guards against requests that lose their answers because a large value before them ends incomplete after a part was passed on.
func TestBrokenValueKeepsLaterRequests(t *testing.T) {
	t.Parallel()
	row := string(standin.Row(variedValue(4<<20), ""))
	rowEnd := len(row) - len("C\x00\x00\x00\x0dSELECT 1\x00") - len(pgwire.AppendReady(nil))
	for name, part := range map[string]string{
		"in the row": row[:3<<20], "before the row's last byte": row[:rowEnd-1], "after the row": row[:rowEnd],
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gw := startGateway(t, withManagement)
			answerInOrderOf(gw, make(chan struct{}), part, afterValueBreaks["reset"])
			c := gw.connect()
			require.NoError(t, c.conn.(*net.TCPConn).SetReadBuffer(64<<10))
			c.write(queryMessage(statement("write", 3000, ",n=2")) + queryMessage(statement("write", 3000, "")))
			gw.eventually("both commands have arrived", func() bool { return len(gw.primary.Statements()) == 2 })
			c.write(queryMessage(statement("write", 3000, "")) + queryMessage("")) // it arrives about when the value breaks off
			got := c.readAnswer()
			assert.Equal(t, pgwire.CodeUnknownOutcome, got.code, "the client can tell that its value is incomplete")
			assert.Equal(t, 1, got.errors)
			assert.Equal(t, "other", c.readAnswer().value)
			assert.Equal(t, "other", c.readAnswer().value)
			assert.True(t, c.readAnswer().empty)
			assert.Equal(t, "other", c.query(statement("write", 3000, "")).value, "the connection is still open")
			assert.Equal(t, 1, gw.metric("bad_gateway.write"))
			assert.Zero(t, gw.metric("in_progress"))
		})
	}
}
