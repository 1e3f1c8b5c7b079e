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

// standstill is a core in which the process stands still, as behind SIGSTOP, when an attempt is about to be written.
type standstill struct {
	ends
	loop *netloop.Loop
	left time.Duration // of the attempt, behind that
}

const stoodFor = 300 * time.Millisecond

func (s *standstill) BeginAttempt(_ *gateway.Attempt, until time.Duration) time.Duration {
	time.Sleep(stoodFor)
	s.left = until - s.loop.Clock()
	return s.left
}

// The time that a database is told to have is read behind all that may take long: a process that stands still before it
// writes an attempt tells what is left by then.
func TestStandstillBeforeTheWriteCostsTheTimeThatIsTold(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	told := make(chan int, 1)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = c.Write(pgwire.AppendWelcome(nil, 0))
		in := bufio.NewReader(c)
		_, _ = in.ReadString('*')
		head, _ := in.ReadString('*')
		var d int
		_, rest, _ := strings.Cut(head, ",d=")
		_, _ = fmt.Sscanf(rest, "%d", &d)
		told <- d
	}()
	core := &standstill{}
	r := newRigFor(t, core)
	core.loop = r.loop
	loop := r.loop
	r.list(ln.Addr().String())
	r.send(10 * time.Second)
	d := 0
	loop.At(loop.Now()+5*time.Second, loop.Stop)
	require.NoError(t, loop.Run(func() bool {
		select {
		case d = <-told:
			loop.Stop()
		default:
		}
		return false
	}))
	require.Positive(t, d, "the attempt was written")
	assert.LessOrEqual(t, time.Duration(d)*time.Millisecond, core.left+time.Millisecond, "rounded up at most")
}
