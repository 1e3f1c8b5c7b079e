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

// known is a list of so many groups of a primary and three replicas, one of which drains.
func known(groups int) json.RawMessage {
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

// config writes a gateway's file.
func config(t *testing.T, name string) string {
	text, err := json.Marshal(map[string]any{
		"name": name, "discovery": "127.0.0.1:1", "seed": "1", "known": known(3), "settings": json.RawMessage(testSettings),
	})
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), name+".json")
	require.NoError(t, os.WriteFile(path, text, 0o600))
	return path
}

func TestBadLinesAreTold(t *testing.T) {
	good := config(t, "g1")
	line := func(gateway string) string { return `{"gateways":[` + gateway + `]}` }
	one := fmt.Sprintf(`{"name":"g1","config":%q}`, good)
	for want, in := range map[string]string{
		"a line that tells the gateways":                  "",
		"stdin:1: invalid character":                      "x\n",
		"stdin:1: gateway 1: name and config":             line(`{"name":"g1"}`),
		"stdin:1: gateway g1 stands twice":                line(one + "," + one),
		"statements_per_s and skew from 0 on":             line(`{"name":"g1","config":"x","statements_per_s":-1}`),
		"gateway g1: open /none: no such file":            line(`{"name":"g1","config":"/none"}`),
		`gateway g1 is to be in "c": name it there`:       line(fmt.Sprintf(`{"name":"g1","config":%q,"zone":"c"}`, good)),
		"fleet file: open /none: no such file":            line(fmt.Sprintf(`{"name":"g1","config":%q,"fleet":"/none"}`, good)),
		`stdin:2: no gateway is named "g2"`:               line(one) + "\n" + `{"do":"kill","names":["g2"]}`,
		`stdin:2: "stop" is none of kill, end, start, qu`: line(one) + "\n" + `{"do":"stop"}`,
	} {
		assert.ErrorContains(t, Run(strings.NewReader(in), io.Discard, nil), want)
	}
}

// One that cannot start again says why in its reports; the lines of logs tell whose they are.
func TestReportsTellWhoIsDownAndLogsWhoSpeaks(t *testing.T) {
	path := config(t, "g1")
	in, orders := io.Pipe()
	reports, out := io.Pipe()
	var logs bytes.Buffer
	done := make(chan error, 1)
	go func() { done <- Run(in, out, &logs); out.Close() }()
	lines := json.NewDecoder(reports)
	next := func(what string, ok func(State) bool) {
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
	next("it is up, in no fleet", func(s State) bool { return s.Up && s.ListDatabases == 12 && s.ListSeq == 7 && s.CPUMS > 0 })
	order := func(text string) {
		sent := make(chan error, 1)
		go func() { _, err := io.WriteString(orders, text+"\n"); sent <- err }()
		next("the order is read", func(State) bool {
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
	next("it is down", func(s State) bool { return !s.Up && s.Error == "" })
	require.NoError(t, os.Remove(path))
	order(`{"do":"start","names":["g1"]}`)
	next("it tells why it does not start", func(s State) bool { return !s.Up && strings.Contains(s.Error, "no such file") })
	require.NoError(t, orders.Close())
	go func() { _, _ = io.Copy(io.Discard, reports) }()
	require.NoError(t, <-done)
	assert.Contains(t, logs.String(), "g1 ")
	assert.Contains(t, logs.String(), "event=discovery_failed")
}

// Reads go to healthy replicas, those used first before others, writes to primaries; with a skew the first get most.
func TestFeedSpreadsAsTheModuleWould(t *testing.T) {
	f := feedOf(t, 0)
	count := func() map[policy.HostID]int {
		n := map[policy.HostID]int{}
		for range 50 {
			f.begun, f.done, f.last = 0, 0, 0
			f.draw(time.Second)
			for _, s := range f.batch {
				n[s.host]++
				assert.Equal(t, s.write, s.host[4] == '0', "only primaries take writes, and nothing else")
				assert.LessOrEqual(t, s.at, time.Second)
			}
		}
		return n
	}
	n := count()
	assert.Len(t, n, 9, "none that drains")
	for host, k := range n {
		want := 50 * 1000 * 0.9 / 6
		if host[4] == '0' {
			want = 50 * 1000 * 0.1 / 3
		}
		assert.InEpsilon(t, want, k, 0.1, host)
	}
	f.skew, f.seq = 1, 0
	n = count()
	assert.Greater(t, n["g00-0"], 3*n["g02-0"])
	assert.Greater(t, n["g00-1"], 3*n["g02-1"])
}

func feedOf(t *testing.T, skew float64) *feed {
	loop, err := netloop.New(sockets, 0, 1<<20)
	require.NoError(t, err)
	t.Cleanup(loop.Close)
	set, err := settings.FromJSON([]byte(testSettings))
	require.NoError(t, err)
	side, err := control.New(loop, control.Config{
		Name: "g1", Discovery: netip.MustParseAddrPort("127.0.0.1:1").String(), CachedList: known(3), Settings: []byte(testSettings),
	}, set, nil)
	require.NoError(t, err)
	side.Connect(&backends{Pool: backend.New(loop, side.Core, backend.Options{}), core: side.Core})
	return newFeed(side, set.Policy.Classes, Spec{StatementsPerS: 1000, Skew: skew}, 1)
}
