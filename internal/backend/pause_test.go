package backend

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/gateway"
	"lilaccove/internal/netloop"
	"lilaccove/internal/pgwire"
)

// pausingCore is a core that pauses the process, as SIGSTOP would, when an attempt is about to be written.
type pausingCore struct {
	recorder
	loop      *netloop.Loop
	remaining time.Duration // time left after the pause
}

const pauseTime = 300 * time.Millisecond

func (s *pausingCore) BeginAttempt(_ *gateway.Attempt, until time.Duration) time.Duration {
	time.Sleep(pauseTime)
	s.remaining = until - s.loop.Clock()
	return s.remaining
}

// The time left that is sent to the database is computed after everything that may take long: if the process is paused before it
// writes an attempt, the pause is deducted.
func TestPauseBeforeWriteReducesTimeout(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	timeouts := make(chan int, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = conn.Write(pgwire.AppendStartupReply(nil, 0))
		in := bufio.NewReader(conn)
		_, _ = in.ReadString('*')
		head, _ := in.ReadString('*')
		var timeoutMillis int
		_, rest, _ := strings.Cut(head, ",d=")
		_, _ = fmt.Sscanf(rest, "%d", &timeoutMillis)
		timeouts <- timeoutMillis
	}()
	core := &pausingCore{}
	r := newRigFor(t, core)
	core.loop = r.loop
	loop := r.loop
	r.list(ln.Addr().String())
	r.send(10 * time.Second)
	millis := 0
	loop.At(loop.Now()+5*time.Second, loop.Stop)
	require.NoError(t, loop.Run(func() bool {
		select {
		case millis = <-timeouts:
			loop.Stop()
		default:
		}
		return false
	}))
	require.Positive(t, millis, "the attempt was written")
	assert.LessOrEqual(t, time.Duration(millis)*time.Millisecond, core.remaining+time.Millisecond, "rounded up at most")
}
