package stats

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Every class has all its figures from zero on; a class that nobody named is counted nowhere.
func TestFigures(t *testing.T) {
	c := New([]string{"a", "b"})
	c.Class(1).Served = 812
	c.Class(1).Attempts = 1 << 40
	c.Class(7).Refused++
	c.Class(-1).Refused++
	assert.Equal(t, "edge_gw.passed.a=0\nedge_gw.dropped.a=0\nedge_gw.bad_gateway.a=0\nedge_gw.upstream_tries.a=0\n"+
		"edge_gw.passed.b=812\nedge_gw.dropped.b=0\nedge_gw.bad_gateway.b=0\nedge_gw.upstream_tries.b=1099511627776\n"+
		"edge_gw.in_progress=14\nedge_gw.known_databases=3\nedge_gw.skipped_databases=0\nedge_gw.lost_ms=0\n",
		string(c.Append(nil, Gauges{InProgress: 14, KnownDatabases: 3, SkippedDatabases: -1})))
}

// What was written is read again; what is no figure of ours is passed over.
func TestParse(t *testing.T) {
	sent := Traffic{OutBytes: 4, OutMessages: 3, InBytes: 2, InMessages: 1}
	b := append(sent.Append([]byte("edge_gw.fleet_health=2\nnoise\nother.x=1\nedge_gw.odd=x\n"), "positions"), "edge_gw.in_progress=14"...)
	figures := Parse(b)
	assert.Len(t, figures, 6)
	assert.EqualValues(t, 14, figures["in_progress"])
	assert.EqualValues(t, 2, figures["fleet_health"])
	assert.Equal(t, map[string]Traffic{"positions": sent}, TrafficByRole(figures))
}
