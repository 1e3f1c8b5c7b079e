package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/pgwire"
)

// peakMemoryKiB returns the most memory that the process has used so far.
func (gw *testGateway) peakMemoryKiB() int {
	gw.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", gw.Pid()))
	require.NoError(gw.t, err)
	match := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(status)
	require.NotNil(gw.t, match)
	peak, err := strconv.Atoi(string(match[1]))
	require.NoError(gw.t, err)
	return peak
}

// Guards against exceeding the memory limit by answers that wait for a client's earlier ones: clients pipeline many commands and
// read late, and all their commands are answered.
func TestPipelinedAnswersStayWithinMemory(t *testing.T) {
	t.Parallel()
	const clients, commands, memoryMB = 80, 32, 64
	gw := startGateway(t, func(gw *testGateway) { gw.hasManagement, gw.memory, gw.sockets = true, memoryMB, 1024 })
	first, others := variedValue(4<<20), variedValue(63<<10)
	for _, d := range []*database{gw.primary, gw.replicaA, gw.replicaB} {
		d.setHandler(func(d *database, c net.Conn, text string) {
			if strings.Contains(text, ",n=0") {
				d.Answer(c, first)
			} else {
				d.Answer(c, others)
			}
		})
	}
	gw.learnPositions(gw.connect())
	var readers sync.WaitGroup
	startReading := make(chan struct{})
	for i := range clients {
		c := gw.connect()
		require.NoError(t, c.conn.SetDeadline(time.Now().Add(6*waitTimeout)))
		require.NoError(t, c.conn.(*net.TCPConn).SetReadBuffer(64<<10))
		for n := range commands {
			c.write(queryMessage(statement("browse", 1200, fmt.Sprintf(",n=%d", n))))
		}
		time.Sleep(30 * time.Millisecond) // the databases answer meanwhile
		readers.Go(func() {
			<-startReading
			for n := range commands {
				got := c.readAnswer()
				if got.code != pgwire.CodeTooManyConnections {
					assert.True(t, got.value == first && n == 0 || got.value == others && n > 0, "client %d, command %d: %s, %d bytes", i, n, got.code, len(got.value))
				}
			}
		})
	}
	t.Logf("peak before the clients read: %d KiB, answers held: %d KiB", gw.peakMemoryKiB(), gw.metric("answers.held_bytes")>>10)
	close(startReading)
	readers.Wait()
	t.Logf("peak: %d KiB; served: %d, refused: %d, of these for memory: %d",
		gw.peakMemoryKiB(), gw.metric("passed.browse"), gw.metric("dropped.browse"), gw.metric("answers.refused"))
	assert.Less(t, gw.peakMemoryKiB(), memoryMB<<10+raceMemoryKiB)
}

// slowConn reads at most pieceBytes every interval until the time until, and at any speed after it.
type slowConn struct {
	net.Conn
	until time.Time
}

func (c *slowConn) Read(b []byte) (int, error) {
	const pieceBytes, interval = 4 << 10, 40 * time.Millisecond
	if time.Now().Before(c.until) {
		time.Sleep(interval)
		b = b[:min(len(b), pieceBytes)]
	}
	return c.Conn.Read(b)
}

// Guards against cutting off a client that reads a value slowly: the kernel's buffers hide its progress for over 10 s.
func TestSlowReaderOfLargeValueIsNotCutOff(t *testing.T) {
	t.Parallel()
	const slowTime = 16 * time.Second
	gw := startGateway(t, nil)
	value := variedValue(pgwire.MaxServerMessage - 100)
	gw.primary.setHandler(func(d *database, c net.Conn, _ string) { d.Answer(c, value) })
	c := gw.connect()
	require.NoError(t, c.conn.SetDeadline(time.Now().Add(slowTime+waitTimeout)))
	require.NoError(t, c.conn.(*net.TCPConn).SetReadBuffer(64<<10))
	c.write(queryMessage(statement("write", 2000, "")) + queryMessage(statement("write", 2000, "")))
	c.reader = bufio.NewReader(&slowConn{Conn: c.conn, until: time.Now().Add(slowTime)})
	for i := range 2 {
		got := c.readAnswer()
		assert.True(t, got.value == value, "value %d: %d bytes, %+v", i, len(got.value), got.ended)
	}
}
