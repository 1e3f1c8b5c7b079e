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

const patience = 10 * time.Second

// staff is a gateway that does as it is told and writes it down.
type staff struct {
	ready  string // empty: yes
	did    []string
	later  []func(bool) // answers it owes
	unkept bool         // words hold and are not kept
}

func (s *staff) Ready() (string, bool)         { return s.ready, s.ready == "" }
func (s *staff) Metrics(b []byte) []byte       { return append(b, "edge_gw.in_progress=0\n"...) }
func (s *staff) FleetAudit() ([]byte, bool)    { return []byte("{}"), s.ready == "" }
func (s *staff) Fence(bool) bool               { return s.ready == "" }
func (s *staff) FleetVersions() ([]byte, bool) { return []byte("{}"), s.ready == "" }
func (s *staff) FleetState() ([]byte, bool)    { return []byte("{}"), s.ready == "" }
func (s *staff) FleetSuspend(id string, out bool, then func(string)) bool {
	return s.Suspend("fleet "+id, out, func(bool) { then("held by 2 of 2 others") })
}
func (s *staff) FleetDrain(name string, on bool, then func(string)) bool {
	return s.FleetSuspend("gateway "+name, on, then)
}
func (s *staff) FleetMembers() ([]byte, bool) { return []byte("{}"), s.ready == "" }
func (s *staff) Drain(on bool, then func(bool)) {
	s.did = append(s.did, fmt.Sprintf("drain %t", on))
	then(s.kept())
}
func (s *staff) kept() bool { return !s.unkept }
func (s *staff) Suspend(id string, out bool, then func(bool)) bool {
	if strings.HasPrefix(id, "no") {
		return false
	}
	s.did = append(s.did, fmt.Sprintf("%s out %t", id, out))
	if id == "slow" {
		s.later = append(s.later, then)
	} else {
		then(s.kept())
	}
	return true
}

// serve runs a server beside the test; stop ends it, after which the staff may be looked at.
func serve(t *testing.T, ops *staff, each func()) (addr string, stop func()) {
	loop, err := netloop.New(64, 0, 1<<20)
	require.NoError(t, err)
	at, err := Listen(loop, netip.MustParseAddrPort("127.0.0.1:0"), ops)
	require.NoError(t, err)
	done := make(chan error, 1)
	loop.OnWake(loop.Stop)
	go func() {
		done <- loop.Run(func() bool {
			if each != nil {
				each()
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
	require.NoError(t, c.SetDeadline(time.Now().Add(patience)))
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

func TestCalls(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name, in string
		status   int
		has, did string
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
			ops := &staff{}
			addr, stop := serve(t, ops, nil)
			got := exchange(t, addr, tt.in)
			stop()
			assert.True(t, strings.HasPrefix(got, fmt.Sprintf("HTTP/1.1 %d ", tt.status)), got)
			assert.Contains(t, got, tt.has)
			assert.Contains(t, got, "\r\nConnection: close\r\n")
			assert.Equal(t, tt.did, strings.Join(ops.did, ", "))
		})
	}
}

func TestNotReadySaysWhy(t *testing.T) {
	t.Parallel()
	addr, _ := serve(t, &staff{ready: "drained"}, nil)
	got := exchange(t, addr, request("GET", "/v1/readyz"))
	assert.True(t, strings.HasPrefix(got, "HTTP/1.1 503 "), got)
	assert.Contains(t, got, "not ready: drained")
}

// Where the network cuts a call must not matter.
func TestCallInPieces(t *testing.T) {
	t.Parallel()
	ops := &staff{}
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
func TestSilentCallersMakeRoom(t *testing.T) {
	t.Parallel()
	addr, _ := serve(t, &staff{}, nil)
	var held []net.Conn
	for range 3 * MaxConnections {
		c := dial(t, addr)
		_, err := io.WriteString(c, "PUT /v1/gateway/drain HTTP/1.1\r\n")
		require.NoError(t, err)
		held = append(held, c)
	}
	assert.Contains(t, exchange(t, addr, request("GET", "/v1/readyz")), "200 OK")
	_, err := held[0].Read(make([]byte, 1))
	assert.Error(t, err, "the first is closed")
	_, err = io.WriteString(held[len(held)-1], "\r\n")
	require.NoError(t, err)
	got, err := io.ReadAll(held[len(held)-1])
	require.NoError(t, err)
	assert.Contains(t, string(got), "200 OK", "the last is still served")
}

// The yes comes when the word holds, not before; who waits for it is not let go for newcomers.
func TestTheYesWaits(t *testing.T) {
	t.Parallel()
	ops, ask := &staff{}, make(chan struct{}, 1)
	addr, _ := serve(t, ops, func() {
		select {
		case <-ask:
			ops.later[0](true)
		default:
		}
	})
	c := dial(t, addr)
	_, err := io.WriteString(c, request("PUT", "/v1/databases/slow/suspend"))
	require.NoError(t, err)
	for range 2 * MaxConnections {
		assert.Contains(t, exchange(t, addr, request("GET", "/v1/readyz")), "200 OK")
	}
	ask <- struct{}{}
	assert.Contains(t, exchange(t, addr, request("GET", "/v1/readyz")), "200 OK") // a round
	got, err := io.ReadAll(c)
	require.NoError(t, err)
	assert.Contains(t, string(got), "200 OK")
}

// A word that no successor would know is told with a no, though it holds here.
func TestWordThatIsNotKept(t *testing.T) {
	ops := &staff{unkept: true}
	addr, stop := serve(t, ops, nil)
	for _, path := range []string{"/v1/databases/a/suspend", "/v1/databases/a/resume", "/v1/gateway/drain", "/v1/gateway/activate"} {
		assert.Contains(t, exchange(t, addr, request("PUT", path)), "HTTP/1.1 503 ", path)
	}
	stop()
	assert.Equal(t, []string{"a out true", "a out false", "drain true", "drain false"}, ops.did)
}
