package management

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/netloop"
)

const ioTimeout = 10 * time.Second

// fakeGateway implements Operations and records the calls that change something.
type fakeGateway struct {
	notReady     string // the reason; empty: ready
	calls        []string
	pending      []func(bool) // callbacks of operations that are not in force yet
	notPersisted bool         // overrides are in force but not persisted
}

func (s *fakeGateway) Ready() (string, bool)         { return s.notReady, s.notReady == "" }
func (s *fakeGateway) Metrics(b []byte) []byte       { return append(b, "edge_gw.in_progress=0\n"...) }
func (s *fakeGateway) FleetAudit() ([]byte, bool)    { return []byte("{}"), s.notReady == "" }
func (s *fakeGateway) Fence(bool) bool               { return s.notReady == "" }
func (s *fakeGateway) FleetVersions() ([]byte, bool) { return []byte("{}"), s.notReady == "" }
func (s *fakeGateway) FleetState() ([]byte, bool)    { return []byte("{}"), s.notReady == "" }
func (s *fakeGateway) FleetSuspend(id string, active bool, done func(string)) bool {
	return s.Suspend("fleet "+id, active, func(bool) { done("held by 2 of 2 others") })
}
func (s *fakeGateway) FleetDrain(name string, on bool, done func(string)) bool {
	return s.FleetSuspend("gateway "+name, on, done)
}
func (s *fakeGateway) FleetMembers() ([]byte, bool) { return []byte("{}"), s.notReady == "" }
func (s *fakeGateway) Drain(on bool, done func(bool)) {
	s.calls = append(s.calls, fmt.Sprintf("drain %t", on))
	done(s.persisted())
}
func (s *fakeGateway) persisted() bool { return !s.notPersisted }
func (s *fakeGateway) Suspend(id string, active bool, done func(bool)) bool {
	if strings.HasPrefix(id, "no") {
		return false
	}
	s.calls = append(s.calls, fmt.Sprintf("%s suspended %t", id, active))
	if id == "slow" {
		s.pending = append(s.pending, done)
	} else {
		done(s.persisted())
	}
	return true
}

// serve runs a server in its own goroutine. stop ends it; then the test may read the fake gateway.
func serve(t *testing.T, ops *fakeGateway, onStep func()) (address string, stop func()) {
	loop, err := netloop.New(64, 0, 1<<20)
	require.NoError(t, err)
	listenAddr, err := Listen(loop, netip.MustParseAddrPort("127.0.0.1:0"), ops)
	require.NoError(t, err)
	done := make(chan error, 1)
	loop.OnWake(loop.Stop)
	go func() {
		done <- loop.Run(func() bool {
			if onStep != nil {
				onStep()
			}
			return false
		})
	}()
	stopped := false
	stop = func() {
		if !stopped {
			stopped = true
			loop.Wake()
			assert.NoError(t, <-done)
			loop.Close()
		}
	}
	t.Cleanup(stop)
	return listenAddr.String(), stop
}

func dial(t *testing.T, addr string) net.Conn {
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(ioTimeout)))
	return c
}

// exchange sends text and returns everything received until the connection ends.
func exchange(t *testing.T, addr, text string) string {
	c := dial(t, addr)
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
	got, err := io.ReadAll(c)
	require.NoError(t, err, "%s", got)
	return string(got)
}

func request(method, path string) string { return method + " " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

func TestRequests(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name, in        string
		status          int
		contains, calls string
	}{
		{"ready", request("GET", "/v1/readyz"), 200, "ready", ""},
		{"metrics", request("GET", "/v1/metrics"), 200, "\r\n\r\nedge_gw.in_progress=0\n", ""},
		{"suspend", request("PUT", "/v1/databases/s-1/suspend"), 200, "ok", "s-1 suspended true"},
		{"resume", request("PUT", "/v1/databases/s-1/resume"), 200, "ok", "s-1 suspended false"},
		{"encoded name", request("PUT", "/v1/databases/a%2fb/suspend"), 200, "ok", "a/b suspended true"},
		{"with a body", "PUT /v1/gateway/drain HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", 200, "ok", "drain true"},
		{"activate", request("PUT", "/v1/gateway/activate"), 200, "ok", "drain false"},
		{"a second request is not carried out", request("PUT", "/v1/gateway/drain") + request("PUT", "/v1/gateway/activate"), 200, "ok", "drain true"},
		{"unknown database", request("PUT", "/v1/databases/none/suspend"), 404, `no database "none"`, ""},
		{"invalid encoding", request("PUT", "/v1/databases/%zz/suspend"), 400, "", ""},
		{"unknown path", request("GET", "/"), 404, "", ""},
		{"unknown verb", request("PUT", "/v1/databases/s-1/restart"), 404, "", ""},
		{"empty name", request("PUT", "/v1/databases//suspend"), 400, "", ""},
		{"extra path segment", request("PUT", "/v1/databases/s-1/suspend/now"), 404, "", ""},
		{"wrong method", request("POST", "/v1/gateway/drain"), 405, "Allow: PUT\r\n", ""},
		{"wrong method for readyz", request("PUT", "/v1/readyz"), 405, "Allow: GET\r\n", ""},
		{"wrong method for a database", request("GET", "/v1/databases/s-1/suspend"), 405, "Allow: PUT\r\n", ""},
		{"not HTTP", "hello\r\n\r\n", 400, "", ""},
		{"long head", "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 9<<10) + "\r\n\r\n", 431, "", ""},
		{"long body", "PUT /v1/gateway/drain HTTP/1.1\r\nContent-Length: 99999\r\n\r\n", 413, "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			ops := &fakeGateway{}
			addr, stop := serve(t, ops, nil)
			got := exchange(t, addr, tt.in)
			stop()
			assert.True(t, strings.HasPrefix(got, fmt.Sprintf("HTTP/1.1 %d ", tt.status)), got)
			assert.Contains(t, got, tt.contains)
			assert.Contains(t, got, "\r\nConnection: close\r\n")
			assert.Equal(t, tt.calls, strings.Join(ops.calls, ", "))
		})
	}
}

func TestNotReadyGivesReason(t *testing.T) {
	t.Parallel()
	addr, _ := serve(t, &fakeGateway{notReady: "drained"}, nil)
	got := exchange(t, addr, request("GET", "/v1/readyz"))
	assert.True(t, strings.HasPrefix(got, "HTTP/1.1 503 "), got)
	assert.Contains(t, got, "not ready: drained")
}

// A request that arrives one byte at a time is carried out.
func TestRequestInPieces(t *testing.T) {
	t.Parallel()
	ops := &fakeGateway{}
	addr, _ := serve(t, ops, nil)
	c := dial(t, addr)
	for _, b := range []byte(request("PUT", "/v1/databases/s-1/suspend")) {
		_, err := c.Write([]byte{b})
		require.NoError(t, err)
	}
	got, err := io.ReadAll(c)
	require.NoError(t, err)
	assert.Contains(t, string(got), "200 OK")
}

// Connections without a complete request, however many, don't keep out new ones: the oldest is evicted first.
func TestSilentConnectionsAreEvicted(t *testing.T) {
	t.Parallel()
	addr, _ := serve(t, &fakeGateway{}, nil)
	var conns []net.Conn
	for range 3 * MaxConnections {
		c := dial(t, addr)
		_, err := io.WriteString(c, "PUT /v1/gateway/drain HTTP/1.1\r\n")
		require.NoError(t, err)
		conns = append(conns, c)
	}
	assert.Contains(t, exchange(t, addr, request("GET", "/v1/readyz")), "200 OK")
	_, err := conns[0].Read(make([]byte, 1))
	assert.Error(t, err, "the oldest is closed")
	_, err = io.WriteString(conns[len(conns)-1], "\r\n")
	require.NoError(t, err)
	got, err := io.ReadAll(conns[len(conns)-1])
	require.NoError(t, err)
	assert.Contains(t, string(got), "200 OK", "the newest is still served")
}

// The answer is sent once the override is in force, not before. The connection that waits for it is not evicted for new
// ones.
func TestAnswerWaitsForOverride(t *testing.T) {
	t.Parallel()
	ops, release := &fakeGateway{}, make(chan struct{}, 1)
	addr, _ := serve(t, ops, func() {
		select {
		case <-release:
			ops.pending[0](true)
		default:
		}
	})
	c := dial(t, addr)
	_, err := io.WriteString(c, request("PUT", "/v1/databases/slow/suspend"))
	require.NoError(t, err)
	for range 2 * MaxConnections {
		assert.Contains(t, exchange(t, addr, request("GET", "/v1/readyz")), "200 OK")
	}
	release <- struct{}{}
	assert.Contains(t, exchange(t, addr, request("GET", "/v1/readyz")), "200 OK") // at least one more round of the loop
	got, err := io.ReadAll(c)
	require.NoError(t, err)
	assert.Contains(t, string(got), "200 OK")
}

// An override that is in force but could not be persisted for a successor is answered with 503.
func TestOverrideNotPersisted(t *testing.T) {
	ops := &fakeGateway{notPersisted: true}
	addr, stop := serve(t, ops, nil)
	for _, path := range []string{"/v1/databases/a/suspend", "/v1/databases/a/resume", "/v1/gateway/drain", "/v1/gateway/activate"} {
		assert.Contains(t, exchange(t, addr, request("PUT", path)), "HTTP/1.1 503 ", path)
	}
	stop()
	assert.Equal(t, []string{"a suspended true", "a suspended false", "drain true", "drain false"}, ops.calls)
}
