package backend

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/pgwire"
	"lilaccove/policy"
)

// fakeDatabase listens on an address and answers each query when the test allows it.
type fakeDatabase struct {
	net.Listener
	greet   chan struct{} // closed: connections are greeted
	answer  chan struct{} // one item per query
	queries chan struct{}
}

func newFakeDatabase(t *testing.T) *fakeDatabase {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	p := &fakeDatabase{Listener: ln, greet: make(chan struct{}), answer: make(chan struct{}, 16), queries: make(chan struct{}, 16)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

func (p *fakeDatabase) serve(conn net.Conn) {
	defer conn.Close()
	<-p.greet
	_, _ = conn.Write(pgwire.AppendStartupReply(nil, 0))
	in := bufio.NewReader(conn)
	_, _ = io.CopyN(io.Discard, in, int64(len(pgwire.Startup("api", "ledger"))))
	for {
		if kind, err := in.ReadByte(); err != nil || kind != pgwire.Query {
			return
		}
		var size [4]byte
		_, _ = io.ReadFull(in, size[:])
		_, _ = io.CopyN(io.Discard, in, int64(size[2])<<8+int64(size[3])-4)
		p.queries <- struct{}{}
		<-p.answer
		_, _ = conn.Write([]byte(valueAnswer))
	}
}

// A database moves to another address while a connection to the former one is busy or being dialled. Later attempts go to the
// new address.
func TestNewAttemptsGoToTheNewAddress(t *testing.T) {
	for _, name := range []string{"busy", "dialling"} {
		t.Run(name, func(t *testing.T) {
			former, current := newFakeDatabase(t), newFakeDatabase(t)
			close(current.greet)
			current.answer <- struct{}{}
			current.answer <- struct{}{}
			r := newRig(t)
			loop, core, pool := r.loop, r.core(), r.pool
			moveTo := func(p *fakeDatabase) { r.list(p.Addr().String()) }
			send := func() { r.send(5 * time.Second) }
			moveTo(former)
			send()
			if name == "dialling" {
				moveTo(current)
				close(former.greet)
			} else {
				close(former.greet)
			}
			moved, second := false, false
			loop.At(loop.Now()+5*time.Second, loop.Stop)
			require.NoError(t, loop.Run(func() bool {
				if name == "busy" && !moved && len(former.queries) == 1 {
					moved = true
					moveTo(current)
					former.answer <- struct{}{}
				}
				if !second && len(core.outcomes) == 1 && len(pool.hosts["h"].quarantined) == 0 {
					second = true
					send()
				}
				if len(core.outcomes) == 2 {
					loop.Stop()
				}
				loop.At(loop.Now()+time.Millisecond, func() {})
				return false
			}))
			assert.Equal(t, []policy.Outcome{policy.OK, policy.OK}, core.outcomes)
			want := map[string]int{"busy": 1, "dialling": 2}[name]
			assert.Len(t, current.queries, want, "sent after the move")
		})
	}
}
