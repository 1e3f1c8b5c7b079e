package backend

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilaccove/internal/gateway"
	"lilaccove/internal/netloop"
	"lilaccove/internal/pgwire"
	"lilaccove/policy"
)

// rig is a pool on its own loop, with one host in the list.
type rig struct {
	t    *testing.T
	loop *netloop.Loop
	pool *Pool
}

func newRig(t *testing.T) *rig { return newRigFor(t, &recorder{}) }

// newRigFor is newRig with the given core.
func newRigFor(t *testing.T, core Core) *rig {
	loop, err := netloop.New(64, 10, 1<<20)
	require.NoError(t, err)
	t.Cleanup(loop.Close)
	return &rig{t: t, loop: loop, pool: New(loop, core, Options{DialTimeout: 5 * time.Second})}
}

// core returns the core that newRig made.
func (r *rig) core() *recorder { return r.pool.core.(*recorder) }

// list sets the host's address in the list.
func (r *rig) list(addr string) {
	r.pool.ListUpdated(policy.ListDelta, []gateway.Entry{{Member: policy.Member{Host: "h"}, Dial: netip.MustParseAddrPort(addr)}})
}

// send starts an attempt with a timeout, and returns its deadline.
func (r *rig) send(timeout time.Duration) (deadline time.Duration) {
	text := []byte("/* id=1,c=x,d=900,cluster=2 */ SELECT 1")
	head, err := pgwire.ParseHead(text)
	require.NoError(r.t, err)
	deadline = r.loop.Now() + timeout
	r.pool.Send(&gateway.Attempt{Host: "h", Statement: &pgwire.Statement{Text: text, Head: head}, Deadline: deadline, BeginBy: deadline})
	return deadline
}
