package netloop

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// A starting process retries for a while if the system has no descriptor for a socket, for TCP and UDP alike.
func TestSocketsAreRetriedAtStart(t *testing.T) {
	loop, err := New(64, 10, 1<<20)
	require.NoError(t, err)
	defer loop.Close()
	addr := netip.MustParseAddrPort("127.0.0.1:0")
	for name, open := range map[string]func() error{
		"connections": func() error {
			_, err := loop.Listen(addr, func(*Conn) {})
			return err
		},
		"datagrams": func() error {
			_, err := loop.ListenUDP(addr, 1, func(netip.AddrPort, []byte) {}, func(netip.AddrPort) {})
			return err
		},
	} {
		var limit, noDescriptors unix.Rlimit
		require.NoError(t, unix.Getrlimit(unix.RLIMIT_NOFILE, &limit))
		noDescriptors = limit
		noDescriptors.Cur = 0
		require.NoError(t, unix.Setrlimit(unix.RLIMIT_NOFILE, &noDescriptors))
		restored := make(chan error)
		time.AfterFunc(100*time.Millisecond, func() { restored <- unix.Setrlimit(unix.RLIMIT_NOFILE, &limit) })
		assert.NoError(t, open(), name)
		require.NoError(t, <-restored)
	}
}
