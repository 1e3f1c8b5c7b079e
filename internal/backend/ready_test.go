package backend

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/pgwire"
	"lilaccove/policy"
)

// A database hangs, or is disconnected, between its complete answer and ReadyForQuery. The answer counts: a value is not held
// back until its request fails, and a refusal is not taken for a timeout.
func TestCompleteAnswerCountsWithoutReadyForQuery(t *testing.T) {
	busy := string(pgwire.AppendError(nil, "ERROR", pgwire.CodeTooManyConnections, "busy", ""))
	for name, c := range map[string]struct {
		says string
		want policy.Outcome
	}{
		"a value":   {valueAnswer[:len(valueAnswer)-6], policy.OK},
		"a refusal": {busy, policy.AtCapacity},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer ln.Close()
			go func() {
				db, err := ln.Accept()
				if err != nil {
					return
				}
				_, _ = db.Write(pgwire.AppendStartupReply(nil, 0))
				_, _ = io.CopyN(io.Discard, db, int64(len(pgwire.Startup("api", "ledger")))+10)
				_, _ = io.WriteString(db, c.says)
				_, _ = io.Copy(io.Discard, db)
				db.Close()
			}()
			r := newRig(t)
			r.list(ln.Addr().String())
			until := r.send(5 * time.Second)
			r.loop.At(until-2*time.Second, r.loop.Stop)
			require.NoError(t, r.loop.Run(func() bool {
				if len(r.core().outcomes) > 0 {
					r.loop.Stop()
				}
				return false
			}))
			assert.Equal(t, []policy.Outcome{c.want}, r.core().outcomes)
			assert.Empty(t, r.pool.hosts["h"].idle, "the connection is not used again")
			assert.Zero(t, r.pool.hosts["h"].open)
		})
	}
}
