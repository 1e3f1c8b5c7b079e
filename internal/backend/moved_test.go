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

// place is an address at which a database answers each query once it is told to.
type place struct {
	net.Listener
	greet   chan struct{} // closed: connections are greeted
	answer  chan struct{} // one for each query
	queries chan struct{}
}

func newPlace(t *testing.T) *place {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	p := &place{Listener: ln, greet: make(chan struct{}), answer: make(chan struct{}, 16), queries: make(chan struct{}, 16)}
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

func (p *place) serve(c net.Conn) {
	defer c.Close()
	<-p.greet
	_, _ = c.Write(pgwire.AppendWelcome(nil, 0))
	in := bufio.NewReader(c)
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
		_, _ = c.Write([]byte(row))
	}
}

// A database moves to another address while a connection to the old one is busy, or on its way. What is sent from then on
// goes to the new one.
func TestNothingNewGoesToTheAddressBeforeAMove(t *testing.T) {
	for _, name := range []string{"busy", "on its way"} {
		t.Run(name, func(t *testing.T) {
			old, next := newPlace(t), newPlace(t)
			close(next.greet)
			next.answer <- struct{}{}
			next.answer <- struct{}{}
			r := newRig(t)
			loop, core, pool := r.loop, r.core(), r.pool
			listed := func(p *place) { r.list(p.Addr().String()) }
			send := func() { r.send(5 * time.Second) }
			listed(old)
			send()
			if name == "on its way" {
				listed(next)
				close(old.greet)
			} else {
				close(old.greet)
			}
			moved, second := false, false
			loop.At(loop.Now()+5*time.Second, loop.Stop)
			require.NoError(t, loop.Run(func() bool {
				if name == "busy" && !moved && len(old.queries) == 1 {
					moved = true
					listed(next)
					old.answer <- struct{}{}
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
			want := map[string]int{"busy": 1, "on its way": 2}[name]
			assert.Len(t, next.queries, want, "sent behind the move")
		})
	}
}
