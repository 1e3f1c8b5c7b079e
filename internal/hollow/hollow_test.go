package hollow

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/backend"
	"lilaccove/internal/control"
	"lilaccove/internal/netloop"
	"lilaccove/internal/settings"
	"lilaccove/policy"
)

const testSettings = `{"Allowed":{"Cancel":true,"Peers":true,"ConnIdleUs":15000000,"DialTimeoutUs":250000,"MaxRetryAfterUs":1000000,
"Probes":true,"RetryAfter":true,"TryLimit":6},"Discovery":"ask","Domain":{"Behind":"none","ClassBoundUs":[0],"ReadLevel":["update"],
"ShowsRole":"delayed","SessionMarks":"client"},"Instances":2,"Lanes":[{"Name":"write","GoalTimeUs":600000,"DeadlineUs":3000000,
"Repeat":"fragile","Worth":4}],"Localities":["a","b"],"ResolutionUs":5000,"Rules":{"AnswerSlackUs":20000,"ColdUs":18000000,
"DrainGraceUs":2000000,"FallMultiple":2,"FallUs":1000000,"MustAskInUs":10000000,"StartCapacity":0.27},"Zone":0}`

// testList returns a list with the given number of groups, each with a primary and three replicas, one of which drains.
func testList(groups int) json.RawMessage {
	var hosts []string
	for g := range groups {
		for m := range 4 {
			health, role := "in_service", "replica"
			if m == 0 {
				role = "primary"
			}
			if m == 3 {
				health = "terminating"
			}
			hosts = append(hosts, fmt.Sprintf(`{"host":"g%02d-%d","dial":"127.0.0.1:1","site":"a","block":%d,"health":%q,"role":%q}`, g, m, g, health, role))
		}
	}
	return json.RawMessage(`{"seq":7,"whole":true,"hosts":[` + strings.Join(hosts, ",") + `]}`)
}

// writeConfig writes a gateway's configuration file and returns its path.
func writeConfig(t *testing.T, name string) string {
	text, err := json.Marshal(map[string]any{
		"name": name, "discovery": "127.0.0.1:1", "seed": "1", "known": testList(3), "settings": json.RawMessage(testSettings),
	})
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), name+".json")
	require.NoError(t, os.WriteFile(path, text, 0o600))
	return path
}

func TestInvalidInputIsReported(t *testing.T) {
	good := writeConfig(t, "g1")
	line := func(gateway string) string { return `{"gateways":[` + gateway + `]}` }
	one := fmt.Sprintf(`{"name":"g1","config":%q}`, good)
	for want, in := range map[string]string{
		"the first line must list the gateways":            "",
		"stdin:1: invalid character":                       "x\n",
		"stdin:1: gateway 1: name and config":              line(`{"name":"g1"}`),
		"stdin:1: gateway g1 is listed twice":              line(one + "," + one),
		"statements_per_s and skew must be at least 0":     line(`{"name":"g1","config":"x","statements_per_s":-1}`),
		"gateway g1: open /none: no such file":             line(`{"name":"g1","config":"/none"}`),
		`the zone of gateway g1, "c", is not among them`:   line(fmt.Sprintf(`{"name":"g1","config":%q,"zone":"c"}`, good)),
		"fleet file: open /none: no such file":             line(fmt.Sprintf(`{"name":"g1","config":%q,"fleet":"/none"}`, good)),
		`stdin:2: no gateway is named "g2"`:                line(one) + "\n" + `{"do":"kill","names":["g2"]}`,
		`stdin:2: do: "stop" is not one of kill, end, sta`: line(one) + "\n" + `{"do":"stop"}`,
	} {
		assert.ErrorContains(t, Run(strings.NewReader(in), io.Discard, nil), want)
	}
}

// A gateway that fails to start again gives the reason in its reports; log lines are prefixed with the gateway's name.
func TestReportsExplainDownGatewaysAndLogsNameThem(t *testing.T) {
	path := writeConfig(t, "g1")
	in, orders := io.Pipe()
	reports, out := io.Pipe()
	var logs bytes.Buffer
	done := make(chan error, 1)
	go func() { done <- Run(in, out, &logs); out.Close() }()
	lines := json.NewDecoder(reports)
	next := func(what string, ok func(GatewayState) bool) {
		t.Helper()
		for late := time.Now().Add(10 * time.Second); ; {
			require.True(t, time.Now().Before(late), what)
			var r Report
			require.NoError(t, lines.Decode(&r))
			require.Len(t, r.Gateways, 1)
			if ok(r.Gateways[0]) {
				return
			}
		}
	}
	_, err := fmt.Fprintf(orders, `{"gateways":[{"name":"g1","config":%q,"zone":"b"}],"report_ms":10}`+"\n", path)
	require.NoError(t, err)
	next("the gateway is up, without a fleet", func(s GatewayState) bool { return s.Up && s.ListDatabases == 12 && s.ListVersion == 7 && s.CPUMS > 0 })
	order := func(text string) {
		sent := make(chan error, 1)
		go func() { _, err := io.WriteString(orders, text+"\n"); sent <- err }()
		next("the order is read", func(GatewayState) bool {
			select {
			case err := <-sent:
				require.NoError(t, err)
				return true
			default:
				return false
			}
		})
	}
	order(`{"do":"kill","names":["g1"]}`)
	next("the gateway is down", func(s GatewayState) bool { return !s.Up && s.Error == "" })
	require.NoError(t, os.Remove(path))
	order(`{"do":"start","names":["g1"]}`)
	next("the report says why it does not start", func(s GatewayState) bool { return !s.Up && strings.Contains(s.Error, "no such file") })
	require.NoError(t, orders.Close())
	go func() { _, _ = io.Copy(io.Discard, reports) }()
	require.NoError(t, <-done)
	assert.Contains(t, logs.String(), "g1 ")
	assert.Contains(t, logs.String(), "event=discovery_failed")
}

// Reads go to healthy replicas, evenly without a subset, and writes to primaries. With a skew the first databases get the most.
func TestFeedSpreadsStatementsByRoleAndHealth(t *testing.T) {
	tested := newTestFeed(t, 0)
	count := func() map[policy.HostID]int {
		counts := map[policy.HostID]int{}
		for range 50 {
			tested.startedAt, tested.drawn, tested.lastDrawAt = 0, 0, 0
			tested.drawBatch(time.Second)
			for _, s := range tested.batch {
				counts[s.host]++
				assert.Equal(t, s.write, s.host[4] == '0', "primaries get all writes and nothing else")
				assert.LessOrEqual(t, s.position, time.Second)
			}
		}
		return counts
	}
	n := count()
	assert.Len(t, n, 9, "no draining database")
	for host, got := range n {
		want := 50 * 1000 * 0.9 / 6
		if host[4] == '0' {
			want = 50 * 1000 * 0.1 / 3
		}
		assert.InEpsilon(t, want, got, 0.1, host)
	}
	tested.skew, tested.listVersion = 1, 0
	n = count()
	assert.Greater(t, n["g00-0"], 3*n["g02-0"])
	assert.Greater(t, n["g00-1"], 3*n["g02-1"])
}

func newTestFeed(t *testing.T, skew float64) *feed {
	loop, err := netloop.New(maxSockets, 0, 1<<20)
	require.NoError(t, err)
	t.Cleanup(loop.Close)
	set, err := settings.FromJSON([]byte(testSettings))
	require.NoError(t, err)
	side, err := control.New(loop, control.Config{
		Name: "g1", Discovery: netip.MustParseAddrPort("127.0.0.1:1").String(), CachedList: testList(3), Settings: []byte(testSettings),
	}, set, nil)
	require.NoError(t, err)
	side.Connect(&backends{Pool: backend.New(loop, side.Core, backend.Options{}), core: side.Core})
	return newFeed(side, set.Policy.Classes, GatewaySpec{StatementsPerS: 1000, Skew: skew}, 1)
}
