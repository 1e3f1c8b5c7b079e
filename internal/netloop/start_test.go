package netloop

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// A process that starts waits a while for a socket that the system does not have just now, whatever it is for.
func TestSocketsAreWaitedForAtTheStart(t *testing.T) {
	loop, err := New(64, 10, 1<<20)
	require.NoError(t, err)
	defer loop.Close()
	any := netip.MustParseAddrPort("127.0.0.1:0")
	for name, open := range map[string]func() error{
		"connections": func() error {
			_, err := loop.Listen(any, func(*Conn) {})
			return err
		},
		"datagrams": func() error {
			_, err := loop.ListenUDP(any, 1, func(netip.AddrPort, []byte) {}, func(netip.AddrPort) {})
			return err
		},
	} {
		var limit, none unix.Rlimit
		require.NoError(t, unix.Getrlimit(unix.RLIMIT_NOFILE, &limit))
		none = limit
		none.Cur = 0
		require.NoError(t, unix.Setrlimit(unix.RLIMIT_NOFILE, &none))
		restored := make(chan error)
		time.AfterFunc(100*time.Millisecond, func() { restored <- unix.Setrlimit(unix.RLIMIT_NOFILE, &limit) })
		assert.NoError(t, open(), name)
		require.NoError(t, <-restored)
	}
}
