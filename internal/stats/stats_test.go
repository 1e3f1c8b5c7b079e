package stats

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Every class has all its metrics, from zero; an unknown class is not exported.
func TestMetrics(t *testing.T) {
	counters := New([]string{"a", "b"})
	counters.Class(1).Served = 812
	counters.Class(1).Attempts = 1 << 40
	counters.Class(7).Refused++
	counters.Class(-1).Refused++
	assert.Equal(t, "edge_gw.passed.a=0\nedge_gw.dropped.a=0\nedge_gw.bad_gateway.a=0\nedge_gw.upstream_tries.a=0\n"+
		"edge_gw.passed.b=812\nedge_gw.dropped.b=0\nedge_gw.bad_gateway.b=0\nedge_gw.upstream_tries.b=1099511627776\n"+
		"edge_gw.in_progress=14\nedge_gw.known_databases=3\nedge_gw.skipped_databases=0\nedge_gw.lost_ms=0\n",
		string(counters.Append(nil, Gauges{InProgress: 14, KnownDatabases: 3, SkippedDatabases: -1})))
}

// Parse reads what Append wrote and ignores lines that are no metrics of the gateway.
func TestParse(t *testing.T) {
	sent := Traffic{OutBytes: 4, OutMessages: 3, InBytes: 2, InMessages: 1}
	text := append(sent.Append([]byte("edge_gw.fleet_health=2\nnoise\nother.x=1\nedge_gw.odd=x\n"), "positions"), "edge_gw.in_progress=14"...)
	metrics := Parse(text)
	assert.Len(t, metrics, 6)
	assert.EqualValues(t, 14, metrics["in_progress"])
	assert.EqualValues(t, 2, metrics["fleet_health"])
	assert.Equal(t, map[string]Traffic{"positions": sent}, TrafficByRole(metrics))
}
