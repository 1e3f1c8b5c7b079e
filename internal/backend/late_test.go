package backend

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/gateway"
	"lilaccove/internal/netloop"
	"lilaccove/policy"
)

// An attempt whose time to begin is over, because this process stood still, says nothing of its host: it was not sent.
func TestLateAttemptIsNotItsHostsFault(t *testing.T) {
	loop, err := netloop.New(64, 10, 1<<20)
	require.NoError(t, err)
	defer loop.Close()
	core := &ends{}
	pool := New(loop, core, Options{DialTimeout: time.Second})
	pool.ListUpdated(policy.ListFull, []gateway.Entry{{Member: policy.Member{Host: "h"}, Dial: netip.MustParseAddrPort("127.0.0.1:9")}})
	at := loop.Now() + 5*time.Millisecond
	time.Sleep(10 * time.Millisecond) // in the middle of a round
	pool.Send(&gateway.Attempt{Host: "h", Deadline: at, BeginBy: at})
	pool.Send(&gateway.Attempt{Host: "unknown", Deadline: at + time.Minute, BeginBy: at + time.Minute})
	assert.Equal(t, []policy.Outcome{policy.NotSent, policy.ConnectFailed}, core.outcomes)
}
