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

// rig is a pool on a loop of its own, with one host in the list.
type rig struct {
	t    *testing.T
	loop *netloop.Loop
	pool *Pool
}

func newRig(t *testing.T) *rig { return newRigFor(t, &ends{}) }

// newRigFor is newRig with a core of the test's.
func newRigFor(t *testing.T, core Core) *rig {
	loop, err := netloop.New(64, 10, 1<<20)
	require.NoError(t, err)
	t.Cleanup(loop.Close)
	return &rig{t: t, loop: loop, pool: New(loop, core, Options{DialTimeout: 5 * time.Second})}
}

// core is the one of newRig.
func (r *rig) core() *ends { return r.pool.core.(*ends) }

// list has the list say where the host is.
func (r *rig) list(addr string) {
	r.pool.ListUpdated(policy.ListDelta, []gateway.Entry{{Member: policy.Member{Host: "h"}, Dial: netip.MustParseAddrPort(addr)}})
}

// send begins an attempt at the host that may take so long, and returns when its time is over.
func (r *rig) send(within time.Duration) (until time.Duration) {
	text := []byte("/* id=1,c=x,d=900,cluster=2 */ SELECT 1")
	head, err := pgwire.ParseHead(text)
	require.NoError(r.t, err)
	until = r.loop.Now() + within
	r.pool.Send(&gateway.Attempt{Host: "h", Statement: &pgwire.Statement{Text: text, Head: head}, Deadline: until, BeginBy: until})
	return until
}
