package scale

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/fleet"
	"lilaccove/internal/wan"
)

const smallPlan = `seed: 3
gateways: 14
databases: 10
real: 2
hollow_per_process: 5
regions:
  north: [n1, n2]
  south: [s1]
rtt: {between: 80 ms, within: 1 ms}
fleet:
  positions: true
  words: {dir: "{dir}/words-{name}", keep: 1 days}
  budgets: {lease: 4 s}
for: 60 s
events:
  - {at: 1 s, do: kill, gateways: [g003], back: 5 s}
  - {at: 2 s, do: cut, sides: [[north], [south]], for: 5 s}
`

func parsePlan(t *testing.T, text string, o FlagValues) *Plan {
	p, err := Parse("p", []byte(text), o)
	require.NoError(t, err)
	return p
}

func TestScalePlan(t *testing.T) {
	p := parsePlan(t, smallPlan, NoFlagValues())
	assert.Equal(t, []string{"n1", "s1", "n2"}, p.Zones(), "neighbours are in different regions")
	assert.Equal(t, 1, p.RegionOf("s1"))
	assert.Equal(t, 0.08, p.RTT.Between)
	assert.Equal(t, 1+2+3, p.Processes())
	assert.Equal(t, []string{"g003"}, p.Events[0].Gateways)
	assert.Equal(t, [2][]string{{"north"}, {"south"}}, p.Events[1].Sides)
	assert.Len(t, p.databaseZones(), 10)
	assert.Equal(t, []string{"n1", "s1", "n2", "n1", "s1"}, p.databaseZones()[:5], "members of a group are in different zones")
}

func TestScaleFlagsOverridePlan(t *testing.T) {
	text := strings.ReplaceAll(smallPlan, "  - {at: 2 s, do: cut, sides: [[north], [south]], for: 5 s}\n", "")
	p := parsePlan(t, text, FlagValues{Gateways: 20, Databases: 8, Regions: 3, RTT: 120 * time.Millisecond, Seed: 9, Settle: 7 * time.Second, Duration: 20 * time.Second, RealGateways: 0, StatementsPerS: 70})
	assert.Equal(t, []any{20, 8, 0, uint64(9), 0.12, 20 * time.Second}, []any{p.Gateways, p.Databases, p.RealGateways, p.Seed, p.RTT.Between, p.Duration})
	assert.Equal(t, 70.0, p.Load.StatementsPerS)
	assert.Equal(t, 7*time.Second, p.Settle)
	assert.Equal(t, []Region{{"north", []string{"n1"}}, {"south", []string{"n2"}}, {"region3", []string{"s1"}}}, p.Regions)
	p = parsePlan(t, text, FlagValues{Regions: 1, Seed: -1, RealGateways: -1, StatementsPerS: -1})
	assert.Equal(t, []Region{{"north", []string{"n1", "n2", "s1"}}}, p.Regions)
	assert.Equal(t, uint64(3), p.Seed)
	assert.Equal(t, 2, p.RealGateways)
	p = parsePlan(t, strings.Replace(text, "real: 2\n", "", 1), NoFlagValues())
	assert.Equal(t, 8, p.RealGateways, "default for a plan without real")
	o := NoFlagValues()
	o.OmittedFleetKeys = []string{"positions", "budgets"}
	file, err := parsePlan(t, text, o).FleetFile(0, "/d", nil)
	require.NoError(t, err)
	assert.Equal(t, "fleet: scale\nlisten: 127.0.0.1:0\nwords: {dir: \"/d/words-g000\", keep: 1 days}\n", string(file))
	o.OmittedFleetKeys = []string{"subsets"}
	_, err = Parse("p", []byte(text), o)
	assert.ErrorContains(t, err, `p:11:3: fleet: "subsets" cannot be left out: the plan does not set it`)
	// Parts of the plan that conflict with the flags are reported at their position in the plan.
	_, err = Parse("p", []byte(smallPlan), FlagValues{Gateways: 2, Regions: 1, Seed: -1, RealGateways: -1, StatementsPerS: -1})
	assert.ErrorContains(t, err, "p:2:11: gateways: 2 for 3 zones")
	assert.ErrorContains(t, err, `p:17:42: sides: region "south" is unknown; the plan has north`)
	assert.ErrorContains(t, err, `p:16:36: gateways: "g003" is unknown; gateways are named g000 to g001`)
}

// One error lists all faults of a plan, each with its position and the values that are valid.
func TestScalePlanReportsAllErrors(t *testing.T) {
	for _, x := range []struct{ name, from, to, want string }{
		{"regions missing", "regions:\n  north: [n1, n2]\n  south: [s1]\n", "", "p:1:1: regions: missing; name each region with its zones, like {north: [n1, n2], south: [s1]}"},
		{"region empty", "south: [s1]", "south: []", "p:8:10: south: the region has no zones; list at least one, like [n1]"},
		{"zone in two", "south: [s1]", "south: [n2]", "p:8:11: south: zone n2 is in region north already; a zone can be in one region only"},
		{"zone twice", "south: [s1]", "south: [s1, s1]", "p:8:15: south: zone s1 is listed twice"},
		{"region twice", "south: [s1]", "north: [s1]", "p:8:3: north: stands twice"},
		{"regions a list", "regions:\n  north: [n1, n2]\n  south: [s1]\n", "regions: [n1]\n", "p:6:10: regions: must map each region to its zones, like"},
		{"region unknown", "[[north], [south]]", "[[north], [est]]", `p:17:42: sides: region "est" is unknown; the plan has north, south`},
		{"one side", "[[north], [south]]", "[[north]]", "p:17:31: sides: must be two lists of regions, like [[north], [south, west]]"},
		{"side twice", "[[north], [south]]", "[[north], [north]]", "p:17:42: sides: region north is listed twice"},
		{"gateway unknown", "[g003]", "[g030]", `p:16:36: gateways: "g030" is unknown; gateways are named g000 to g013`},
		{"event unknown", "do: kill", "do: murder", `p:16:5: do: "murder" is not one of cut, end, kill, list-change, primary-change, rack, restart, zone-down`},
		{"event's key", "back: 5 s", "groups: 5", "p:16:43: groups: not a key of events of kind kill"},
		{"event after the end", "at: 2 s", "at: 58 s", "p:17:10: at: the event lasts until 1m3s, the run until 1m0s; raise the run's for"},
		{"cut without an end", ", for: 5 s}", "}", "p:17:5: for: missing; required for events of kind cut"},
		{"no unit", "between: 80 ms", "between: 80", `p:9:16: between: "80" has no unit; write it like 500 ms`},
		{"shorter between than within", "between: 80 ms", "between: 100 us", "p:9:6: rtt: 100µs between regions, less than 1ms within one"},
		{"unknown key", "seed: 3", "sead: 3", "p:1:1: sead: unknown; one of seed, gateways"},
		{"all real", "real: 2", "real: 15", "p:4:7: real: 15 of 14 gateways"},
		{"key the run sets", "  positions: true", "  positions: true\n  seeds: []", "p:12:10: seeds: the run sets it for each gateway"},
		{"fleet's value", "positions: true", "positions: yes", `p:11:3: fleet: positions: "yes" is neither true nor false`},
		{"fleet's nested value", "lease: 4 s", "lease: 4 h", `p:13:13: fleet: lease: "4 h": unknown unit "h"`},
		{"fleet's unknown key", "positions: true", "posisions: true", "p:11:3: fleet: posisions: unknown; one of fleet, listen"},
		{"processes", "hollow_per_process: 5", "hollow_per_process: 1\nlimits: {processes: 10}", "p:5:21: hollow_per_process: 15 processes in all, over the limit of 10; raise hollow_per_process"},
		{"memory", "seed: 3", "limits: {memory: 60%}", "p:1:18: memory: at most half of the machine's memory is allowed"},
		{"short", "for: 60 s", "for: 9 s", "p:14:6: for: 9s; must be at least 10 s, the length of a measured window"},
	} {
		t.Run(x.name, func(t *testing.T) {
			text := strings.Replace(smallPlan, x.from, x.to, 1)
			require.NotEqual(t, smallPlan, text)
			_, err := Parse("p", []byte(text), NoFlagValues())
			assert.ErrorContains(t, err, x.want)
		})
	}
	text := strings.Replace(strings.Replace(smallPlan, "do: kill", "do: murder", 1), "south: [s1]", "south: []", 1)
	_, err := Parse("p", []byte(text), NoFlagValues())
	assert.ErrorContains(t, err, "murder")
	assert.ErrorContains(t, err, "has no zones")
}

// Each gateway's fleet file is valid and lists all other gateways at the relay's addresses for its own zone.
func TestScaleFleetFile(t *testing.T) {
	p := parsePlan(t, smallPlan, NoFlagValues())
	zoneOf := make([]int, p.Gateways)
	for g := range zoneOf {
		zoneOf[g] = p.zoneOf(g)
	}
	relay, err := wan.Open(3, zoneOf, 1)
	require.NoError(t, err)
	defer relay.Close()
	for g := range p.Gateways {
		text, err := p.FleetFile(g, "/d", relay)
		require.NoError(t, err)
		file, err := fleet.Parse("f", text)
		require.NoError(t, err, "%s", text)
		assert.Equal(t, relay.ListenAddr(g), file.Listen)
		assert.Len(t, file.Dial, p.Gateways-1)
		assert.Equal(t, relay.DialAddr(g%3, (g+1)%14), file.Dial[p.GatewayName((g+1)%14)])
		assert.NotContains(t, file.Seeds, relay.DialAddr(g%3, g))
		assert.GreaterOrEqual(t, len(file.Seeds), seedCount)
		assert.True(t, file.Positions)
		assert.Equal(t, "/d/words-"+p.GatewayName(g), file.Overrides.Dir)
		assert.Equal(t, 28, file.Budgets.Connections)
		assert.Len(t, file.Budgets.Holders, 14)
		assert.Equal(t, 4*time.Second, file.Budgets.Lease)
	}
}

func TestScalePlansInRepositoryAreValid(t *testing.T) {
	list, err := filepath.Glob("../../deploy/load/scale*.yaml")
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(list), 3)
	for _, path := range list {
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		_, err = Parse(path, text, NoFlagValues())
		assert.NoError(t, err)
	}
	text, err := os.ReadFile("../../deploy/load/scale.yaml")
	require.NoError(t, err)
	p := parsePlan(t, string(text), NoFlagValues())
	assert.Equal(t, []int{490, 810, 3, 11}, []int{p.Gateways, p.Databases, len(p.Regions), len(p.Zones())})
	assert.Equal(t, Allowance{BytesOutPerS: 5000, CoreShare: 0.019, MemoryMB: 256, DiscoveryCallsPerS: 20}, p.Allowance)
}
