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

// An attempt whose time to begin ended during a pause of this process is not sent, and does not count against its host.
func TestExpiredAttemptIsNotSent(t *testing.T) {
	loop, err := netloop.New(64, 10, 1<<20)
	require.NoError(t, err)
	defer loop.Close()
	core := &recorder{}
	pool := New(loop, core, Options{DialTimeout: time.Second})
	pool.ListUpdated(policy.ListFull, []gateway.Entry{{Member: policy.Member{Host: "h"}, Dial: netip.MustParseAddrPort("127.0.0.1:9")}})
	deadline := loop.Now() + 5*time.Millisecond
	time.Sleep(10 * time.Millisecond) // within a loop iteration
	pool.Send(&gateway.Attempt{Host: "h", Deadline: deadline, BeginBy: deadline})
	pool.Send(&gateway.Attempt{Host: "unknown", Deadline: deadline + time.Minute, BeginBy: deadline + time.Minute})
	assert.Equal(t, []policy.Outcome{policy.NotSent, policy.ConnectFailed}, core.outcomes)
}
