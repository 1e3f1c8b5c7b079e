package backend

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/gateway"
	"lilaccove/internal/pgwire"
	"lilaccove/policy"
)

// recorder is a core that records the outcomes of attempts and the roles in late answers.
type recorder struct {
	outcomes []policy.Outcome
	late     []policy.Role
}

func (e *recorder) BeginAttempt(*gateway.Attempt, time.Duration) time.Duration {
	return time.Millisecond
}
func (e *recorder) Resolved(_ *gateway.Attempt, o policy.Outcome, _ gateway.Reply) {
	e.outcomes = append(e.outcomes, o)
}
func (e *recorder) LateAnswer(_ policy.HostID, r gateway.Reply)       { e.late = append(e.late, r.Role) }
func (*recorder) Probed(policy.HostID, policy.Outcome, gateway.Reply) {}
func (*recorder) Written(*gateway.Attempt)                            {}
func (*recorder) BeginStream(*gateway.Attempt) bool                   { return true }
func (*recorder) FleetEvent(policy.Event)                             {}
func (*recorder) StreamChunk(*gateway.Attempt, []byte) bool           { return true }

// valueAnswer is a complete answer with a value.
const valueAnswer = "T\x00\x00\x00\x1d\x00\x01blob\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01" +
	"D\x00\x00\x00\x0c\x00\x01\x00\x00\x00\x02ok" + "C\x00\x00\x00\x0dSELECT 1\x00" + "Z\x00\x00\x00\x05I"

// The database closes an idle connection, or sends something on it, after the loop last polled it and before a request is
// written. No event has reported that yet, but the request must not use the connection.
func TestRequestAvoidsConnectionThatJustFailed(t *testing.T) {
	for name, fail := range map[string]func(c *net.TCPConn){
		"closed":         func(c *net.TCPConn) { c.Close() },
		"reset":          func(c *net.TCPConn) { _ = c.SetLinger(0); c.Close() },
		"half closed":    func(c *net.TCPConn) { _ = c.CloseWrite() },
		"half a message": func(c *net.TCPConn) { _, _ = c.Write([]byte("S\x00\x00")) },
		"an answer":      func(c *net.TCPConn) { _, _ = c.Write([]byte(valueAnswer)) },
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer ln.Close()
			conns, queries := make(chan *net.TCPConn, 8), make(chan *net.TCPConn, 8)
			go func() {
				for {
					c, err := ln.Accept()
					if err != nil {
						return
					}
					_, _ = c.Write(pgwire.AppendStartupReply(nil, 0))
					conns <- c.(*net.TCPConn)
					go func() {
						in := bufio.NewReader(c)
						_, _ = io.CopyN(io.Discard, in, int64(len(pgwire.Startup("api", "ledger"))))
						for {
							kind, err := in.ReadByte()
							if err != nil || kind != pgwire.Query {
								return
							}
							var size [4]byte
							_, _ = io.ReadFull(in, size[:])
							_, _ = io.CopyN(io.Discard, in, int64(size[2])<<8+int64(size[3])-4)
							queries <- c.(*net.TCPConn)
							_, _ = c.Write([]byte(valueAnswer))
						}
					}()
				}
			}()

			r := newRig(t)
			loop, core, pool := r.loop, r.core(), r.pool
			r.list(ln.Addr().String())
			send := func() { r.send(5 * time.Second) }
			var old *net.TCPConn
			loop.At(loop.Now()+10*time.Second, loop.Stop)
			send()
			require.NoError(t, loop.Run(func() bool {
				switch {
				case len(core.outcomes) == 2:
					loop.Stop()
				case old == nil && len(core.outcomes) == 1 && len(pool.hosts["h"].idle) == 1:
					old = <-conns
					assert.Same(t, old, <-queries)
					fail(old)
					nc := pool.hosts["h"].idle[0].nc
					require.Eventually(t, func() bool { return !nc.NoInputPending() }, 5*time.Second, time.Millisecond, "the end or the bytes have arrived")
					send()
				}
				return false
			}))
			assert.Equal(t, []policy.Outcome{policy.OK, policy.OK}, core.outcomes)
			select {
			case next := <-queries:
				assert.NotSame(t, old, next, "it was written on a new connection")
			default:
				assert.Fail(t, "the second request was not written")
			}
		})
	}
}

// An attempt is given up while the database's answer is in flight. That answer was written, so it counts as known; the
// database sees only the end of the stream after the statement.
func TestLateAnswerAfterAttemptWasGivenUp(t *testing.T) {
	const role = "S\x00\x00\x00\x11role\x00replica\x00"
	for name, c := range map[string]struct {
		answer string
		late   []policy.Role
	}{
		"complete":              {role + valueAnswer, []policy.Role{policy.Replica}},
		"without ReadyForQuery": {role + valueAnswer[:len(valueAnswer)-6], []policy.Role{policy.Replica}},
		"refused":               {role + string(pgwire.AppendError(nil, "ERROR", pgwire.CodeTooManyConnections, "over", "")), []policy.Role{policy.Replica}},
		"truncated":             {role + valueAnswer[:len(valueAnswer)-20], nil},
		"with stray bytes":      {role + "?\x00\x00\x00\x04" + valueAnswer, nil},
		"no bytes":              {"", nil},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer ln.Close()
			rest := make(chan []byte, 1)
			go func() {
				c1, err := ln.Accept()
				if err != nil {
					return
				}
				_, _ = c1.Write(pgwire.AppendStartupReply(nil, 0))
				_, _ = io.CopyN(io.Discard, c1, int64(len(pgwire.Startup("api", "ledger"))))
				all, _ := io.ReadAll(c1) // until the write side is closed
				rest <- all
				_, _ = c1.Write([]byte(c.answer))
				c1.Close()
			}()

			r := newRig(t)
			loop, core, pool := r.loop, r.core(), r.pool
			r.list(ln.Addr().String())
			until := r.send(300 * time.Millisecond)
			loop.At(until+2*lateAnswerWait, loop.Stop)
			require.NoError(t, loop.Run(func() bool { return false }))
			assert.Equal(t, []policy.Outcome{policy.Timeout}, core.outcomes)
			assert.Equal(t, c.late, core.late)
			assert.Contains(t, string(<-rest), "SELECT 1")
			assert.Zero(t, pool.hosts["h"].open, "its connection is closed")
			assert.Empty(t, pool.hosts["h"].idle)
		})
	}
}

// The connection to a database that neither answers nor closes is closed after a short wait, or at once if descriptors are short.
func TestLateAnswerWaitIsBounded(t *testing.T) {
	for name, reserve := range map[string]int{"after a wait": 0, "at once": 1000} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer ln.Close()
			go func() {
				c, err := ln.Accept()
				if err == nil {
					_, _ = c.Write(pgwire.AppendStartupReply(nil, 0))
					time.Sleep(5 * time.Second)
				}
			}()
			r := newRig(t)
			loop, core, pool := r.loop, r.core(), r.pool
			r.list(ln.Addr().String())
			until := r.send(300 * time.Millisecond)
			loop.At(until-50*time.Millisecond, func() { pool.options.Reserve = reserve })
			openDuringWait := -1
			loop.At(until+lateAnswerWait/2, func() { openDuringWait = pool.hosts["h"].open })
			loop.At(until+2*lateAnswerWait, loop.Stop)
			require.NoError(t, loop.Run(func() bool { return false }))
			assert.Equal(t, map[string]int{"after a wait": 1, "at once": 0}[name], openDuringWait)
			assert.Zero(t, pool.hosts["h"].open)
			assert.Equal(t, []policy.Outcome{policy.Timeout}, core.outcomes)
		})
	}
}
