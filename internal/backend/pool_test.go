package backend

import (
	"bufio"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/gateway"
	"lilaccove/internal/netloop"
	"lilaccove/internal/pgwire"
	"lilaccove/policy"
)

// ends takes what becomes of attempts.
type ends struct{ outcomes []policy.Outcome }

func (e *ends) Resolved(_ *gateway.Attempt, o policy.Outcome, _ gateway.Reply) {
	e.outcomes = append(e.outcomes, o)
}
func (*ends) Probed(policy.HostID, policy.Outcome, gateway.Reply) {}
func (*ends) Written(*gateway.Attempt)                            {}
func (*ends) Began(*gateway.Attempt) bool                         { return true }
func (*ends) Fleet(policy.Event)                                  {}
func (*ends) Part(*gateway.Attempt, []byte) bool                  { return true }

// row is an answer with a value.
const row = "T\x00\x00\x00\x1d\x00\x01blob\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01" +
	"D\x00\x00\x00\x0c\x00\x01\x00\x00\x00\x02ok" + "C\x00\x00\x00\x0dSELECT 1\x00" + "Z\x00\x00\x00\x05I"

// The database ends a resting connection, or says something on it, behind the loop's last look and before a request goes
// out: no event has told of it, and the request must not go there.
func TestRequestMeetsAConnectionThatHasJustFailed(t *testing.T) {
	for name, fail := range map[string]func(c *net.TCPConn){
		"closed":      func(c *net.TCPConn) { c.Close() },
		"reset":       func(c *net.TCPConn) { _ = c.SetLinger(0); c.Close() },
		"half closed": func(c *net.TCPConn) { _ = c.CloseWrite() },
		"half a line": func(c *net.TCPConn) { _, _ = c.Write([]byte("S\x00\x00")) },
		"an answer":   func(c *net.TCPConn) { _, _ = c.Write([]byte(row)) },
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
					_, _ = c.Write(pgwire.AppendWelcome(nil, 0))
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
							_, _ = c.Write([]byte(row))
						}
					}()
				}
			}()

			loop, err := netloop.New(64, 10, 1<<20)
			require.NoError(t, err)
			defer loop.Close()
			core := &ends{}
			pool := New(loop, core, Options{DialTimeout: 5 * time.Second})
			pool.Listed(policy.ListFull, []gateway.Entry{{Member: policy.Member{Host: "h"}, Dial: netip.MustParseAddrPort(ln.Addr().String())}})
			text := []byte("/* id=1,c=x,d=900,cluster=2 */ SELECT 1")
			head, err := pgwire.ParseHead(text)
			require.NoError(t, err)
			send := func() {
				until := loop.Now() + 5*time.Second
				pool.Send(&gateway.Attempt{Host: "h", Statement: &pgwire.Statement{Text: text, Head: head}, Deadline: until, Begin: until})
			}
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
					require.Eventually(t, func() bool { return !nc.Silent() }, 5*time.Second, time.Millisecond, "it has come")
					send()
				}
				return false
			}))
			assert.Equal(t, []policy.Outcome{policy.OK, policy.OK}, core.outcomes)
			select {
			case next := <-queries:
				assert.NotSame(t, old, next, "it went out on a connection of its own")
			default:
				assert.Fail(t, "it did not go out again")
			}
		})
	}
}
