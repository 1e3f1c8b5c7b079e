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

// fakeGateway is a gateway that does as it is told and writes it down.
type fakeGateway struct {
	notReady     string // empty: yes
	calls        []string
	pending      []func(bool) // answers it owes
	notPersisted bool         // words hold and are not kept
}

func (s *fakeGateway) Ready() (string, bool)         { return s.notReady, s.notReady == "" }
func (s *fakeGateway) Metrics(b []byte) []byte       { return append(b, "edge_gw.in_progress=0\n"...) }
func (s *fakeGateway) FleetAudit() ([]byte, bool)    { return []byte("{}"), s.notReady == "" }
func (s *fakeGateway) Fence(bool) bool               { return s.notReady == "" }
func (s *fakeGateway) FleetVersions() ([]byte, bool) { return []byte("{}"), s.notReady == "" }
func (s *fakeGateway) FleetState() ([]byte, bool)    { return []byte("{}"), s.notReady == "" }
func (s *fakeGateway) FleetSuspend(id string, active bool, then func(string)) bool {
	return s.Suspend("fleet "+id, active, func(bool) { then("held by 2 of 2 others") })
}
func (s *fakeGateway) FleetDrain(name string, on bool, then func(string)) bool {
	return s.FleetSuspend("gateway "+name, on, then)
}
func (s *fakeGateway) FleetMembers() ([]byte, bool) { return []byte("{}"), s.notReady == "" }
func (s *fakeGateway) Drain(on bool, then func(bool)) {
	s.calls = append(s.calls, fmt.Sprintf("drain %t", on))
	then(s.persisted())
}
func (s *fakeGateway) persisted() bool { return !s.notPersisted }
func (s *fakeGateway) Suspend(id string, active bool, then func(bool)) bool {
	if strings.HasPrefix(id, "no") {
		return false
	}
	s.calls = append(s.calls, fmt.Sprintf("%s out %t", id, active))
	if id == "slow" {
		s.pending = append(s.pending, then)
	} else {
		then(s.persisted())
	}
	return true
}

// serve runs a server beside the test; stop ends it, after which the staff may be looked at.
func serve(t *testing.T, ops *fakeGateway, onStep func()) (address string, stop func()) {
	loop, err := netloop.New(64, 0, 1<<20)
	require.NoError(t, err)
	at, err := Listen(loop, netip.MustParseAddrPort("127.0.0.1:0"), ops)
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
	return at.String(), stop
}

func dial(t *testing.T, addr string) net.Conn {
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(ioTimeout)))
	return c
}

// exchange sends text and returns all that is said until the end.
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
		{"figures", request("GET", "/v1/metrics"), 200, "\r\n\r\nedge_gw.in_progress=0\n", ""},
		{"out", request("PUT", "/v1/databases/s-1/suspend"), 200, "ok", "s-1 out true"},
		{"back", request("PUT", "/v1/databases/s-1/resume"), 200, "ok", "s-1 out false"},
		{"encoded", request("PUT", "/v1/databases/a%2fb/suspend"), 200, "ok", "a/b out true"},
		{"with a body", "PUT /v1/gateway/drain HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", 200, "ok", "drain true"},
		{"work again", request("PUT", "/v1/gateway/activate"), 200, "ok", "drain false"},
		{"a second call is not carried out", request("PUT", "/v1/gateway/drain") + request("PUT", "/v1/gateway/activate"), 200, "ok", "drain true"},
		{"unknown database", request("PUT", "/v1/databases/none/suspend"), 404, `no database "none"`, ""},
		{"badly encoded", request("PUT", "/v1/databases/%zz/suspend"), 400, "", ""},
		{"unknown path", request("GET", "/"), 404, "", ""},
		{"unknown verb", request("PUT", "/v1/databases/s-1/restart"), 404, "", ""},
		{"no name", request("PUT", "/v1/databases//suspend"), 400, "", ""},
		{"a path that goes on", request("PUT", "/v1/databases/s-1/suspend/now"), 404, "", ""},
		{"method", request("POST", "/v1/gateway/drain"), 405, "Allow: PUT\r\n", ""},
		{"method of readyz", request("PUT", "/v1/readyz"), 405, "Allow: GET\r\n", ""},
		{"method of a database", request("GET", "/v1/databases/s-1/suspend"), 405, "Allow: PUT\r\n", ""},
		{"no HTTP", "hello\r\n\r\n", 400, "", ""},
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

// Where the network cuts a call must not matter.
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

// Callers that hold connections without a whole call, however many, keep out nobody; the one that has
// been silent for longest goes first.
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
	assert.Error(t, err, "the first is closed")
	_, err = io.WriteString(conns[len(conns)-1], "\r\n")
	require.NoError(t, err)
	got, err := io.ReadAll(conns[len(conns)-1])
	require.NoError(t, err)
	assert.Contains(t, string(got), "200 OK", "the last is still served")
}

// The yes comes when the word holds, not before; who waits for it is not let go for newcomers.
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
	assert.Contains(t, exchange(t, addr, request("GET", "/v1/readyz")), "200 OK") // a round
	got, err := io.ReadAll(c)
	require.NoError(t, err)
	assert.Contains(t, string(got), "200 OK")
}

// A word that no successor would know is told with a no, though it holds here.
func TestOverrideNotPersisted(t *testing.T) {
	ops := &fakeGateway{notPersisted: true}
	addr, stop := serve(t, ops, nil)
	for _, path := range []string{"/v1/databases/a/suspend", "/v1/databases/a/resume", "/v1/gateway/drain", "/v1/gateway/activate"} {
		assert.Contains(t, exchange(t, addr, request("PUT", path)), "HTTP/1.1 503 ", path)
	}
	stop()
	assert.Equal(t, []string{"a out true", "a out false", "drain true", "drain false"}, ops.calls)
}
