package capacity

import (
	"math"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// figure returns the figure of a part with this name.
func figure(t *testing.T, st *dataset, part, name string) Figure {
	for _, p := range st.parts() {
		if i := slices.IndexFunc(p.Figures, func(f Figure) bool { return f.Name == name }); p.Name == part && i >= 0 {
			return p.Figures[i]
		}
	}
	t.Fatalf("%s has no figure %q", part, name)
	return Figure{}
}

// Computes figures from made-up runs that follow known formulas, and checks each value and its origin.
func TestFiguresOfMadeUpRuns(t *testing.T) {
	st := &dataset{runs: madeUpRuns(t)}
	big := Size{Name: "big", Gateways: 367, Databases: 405, Regions: 3}
	for _, tt := range []struct {
		part, name string
		at         Size
		x          float64
		kind       Kind
	}{
		{"control", "membership: sent", Today, 630, Measured},
		{"control", "membership: sent", big, 900 + 2.5*367, Fitted},
		{"control", "membership: sent", Target, 900 + 2.5*490, Extrapolated},
		{"control", "membership: sent", Worst, 900 + 2.5*245, Measured},
		{"control", "membership: false deaths in a minute", Worst, 6, Measured},
		{"control", "positions: sent", Target, 18900, Extrapolated}, // without the invalid run and the one with the mechanism
		{"control", "sum: memory, of hollow gateways, mean", big, 4 + 0.00001*367*405, Fitted},
		{"control", "sum: processor time, of hollow gateways, mean", Today, 0.7, Measured},
		{"control", "words: sent", Target, 0, NotRun},
		{"control", "a change of the list at discovery: in force everywhere", Today, 0, NotRun},
		{"control", "sum: processor time, as real gateways would take, mean", Today, 0.7 * 1.3, Measured},
		{"control", "a change of primary: to the first write that all serve", big, 5.5, Fitted},
		{"gateway", "clients: memory of the process", Target, 12 + 0.006*5102 + 0.01*810, Measured},
		{"gateway", "clients: memory of the process", Worst, 12 + 0.006*7653 + 0.01*810, Extrapolated}, // the run of this size is invalid
		{"gateway", "clients: memory of the process", Size{Databases: 405, Connections: 2000, Statements: 800}, 12 + 0.006*2000 + 0.01*405, Fitted},
		{"gateway", "clients: memory of the process", Size{Databases: 405, Connections: 2000, Statements: 400}, 0, NotKnown}, // another ratio of clients to statements
		{"database", "connections that gateways hold, a primary", Size{Gateways: 490, Databases: 405, Connections: 2000, Statements: 800}, 0, NotKnown},
		{"gateway", "clients: memory of the process", Size{Databases: 810, Connections: 6000, Statements: 2400}, 888, Measured},
		{"gateway", "clients: memory of the process", Today, 0, NotKnown},
		{"gateway", "clients: connections", Worst, 7653, Given},
		{"database", "connections that gateways hold, the mean database", Target, 729.0 * 490 / 810, Measured},
		{"database", "connections that gateways hold, a primary", Target, 0.8 * 490, Measured},
		{"gateway", "clients: memory of the process", Size{Databases: 1000, Connections: 5102, Statements: 2041}, 12 + 0.006*5102 + 10, Extrapolated},
		{"discovery", "bytes sent to all gateways", Target, 0.5 * 490 * 810, Extrapolated},
		{"tool", "`lilacctl members`: memory", Today, 10 + 0.001*300*300, Measured},
		{"tool", "`lilacctl members`: memory", Target, 10 + 0.001*490*490, Extrapolated},
		{"tool", "`lilacctl members`: memory", Size{Gateways: 200}, 10 + 0.001*200*200, Fitted},
		{"tool", "`lilacctl versions`: memory", Target, 0, NotRun},
	} {
		v := figure(t, st, tt.part, tt.name).At(tt.at)
		assert.Equal(t, kindNames[tt.kind], kindNames[v.Kind], "%s at %+v", tt.name, tt.at)
		assert.InDelta(t, tt.x, v.X, 0.002*math.Abs(tt.x), "%s at %+v", tt.name, tt.at)
	}
	assert.Equal(t, "with --again 1h", figure(t, st, "gateway", "clients: memory of the process").At(Size{Databases: 810, Connections: 6000, Statements: 2400}).Note)
	l, ok := figure(t, st, "control", "membership: sent").Slope(3)
	require.True(t, ok)
	assert.Equal(t, Gateways, l.Variable)
	l, ok = figure(t, st, "control", "sum: memory, of hollow gateways, mean").Slope(1)
	require.True(t, ok)
	assert.Equal(t, Product, l.Variable)
	l, ok = figure(t, st, "gateway", "decisions: memory, by databases listed").Slope(0)
	require.True(t, ok)
	assert.Equal(t, Databases, l.Variable)
	assert.InDelta(t, 0.01, l.Per, 1e-4)

	after := st.controlWithMechanism()
	i := slices.IndexFunc(after.Figures, func(f Figure) bool { return f.Name == "positions: sent" })
	require.GreaterOrEqual(t, i, 0)
	v := after.Figures[i].At(Size{Gateways: 245, Databases: 400, Regions: 3})
	assert.Equal(t, Value{X: 1200, Kind: Measured}, v)
}

// Checks the formulas at sizes whose results are easy to compute by hand.
func TestFormulas(t *testing.T) {
	assert.InDelta(t, 100*(1-math.Exp(-2)), connectionsPerDatabase(Size{Gateways: 100, Databases: 10, Statements: 10}), 1e-9)
	assert.InDelta(t, 10*math.Exp(-1), returningClients(Size{Connections: 50, Statements: 10}), 1e-9)
	assert.Equal(t, 22028.0, wantedDescriptors(Target))
	assert.Equal(t, 1235.0, math.Round(statementsPerDatabase(Target)))
	assert.Equal(t, 4050.0, positionUpdates(Target))
	assert.Equal(t, 300.0, maxPositionRate())
	assert.Equal(t, 3.0*(240+21*300), positionBytesOut(Target), "at most maxPositionRate")
	assert.Equal(t, 3.0*(240+21*50), positionBytesOut(Size{Databases: 10}))
	assert.Equal(t, 196.0, offeredCalls(Target))
	assert.Equal(t, 10.0, offeredCalls(Size{Gateways: 20}), "the delay grows with the number of gateways")
	assert.Equal(t, 24.5, lastListTime(Target))
	assert.InDelta(t, 490.0/410*86400, restartAllTime(Target), 1e-6)
	assert.InDelta(t, restartAllTime(Target), restartAllTime(Today), 1e-6, "the same number of restarts per gateway")
	assert.Equal(t, 490.0/16, versionsReceiveTime(Target))
	for u, want := range map[float64]Size{0.5: {Gateways: 150, Databases: 60, Regions: 1}, 1: {Gateways: 300, Databases: 120, Regions: 1}, 1.5: {Gateways: 395, Databases: 465, Regions: 3}} {
		s := sizeAtProgress(u)
		assert.InDelta(t, statementsPerDatabase(Target), statementsPerDatabase(s), 1e-9, "the statement rate of a database stays the same")
		assert.InDelta(t, Target.Connections/Target.Statements, s.Connections/s.Statements, 1e-9)
		s.Connections, s.Statements = 0, 0
		assert.Equal(t, want, s)
	}
	end := Target
	end.Name = ""
	assert.Equal(t, end, sizeAtProgress(2))
}

// Breaks are sorted by the size at which growth reaches them; figures without a run are listed separately.
func TestBreaks(t *testing.T) {
	st := &dataset{runs: madeUpRuns(t)}
	list, open := st.breaks()
	at := map[string]Break{}
	for i, b := range list {
		at[b.Figure.Name] = b
		assert.Greater(t, b.Value.X, b.Figure.Allowance)
		if i > 0 {
			assert.LessOrEqual(t, list[i-1].progress, b.progress)
		}
	}
	for _, tt := range []struct {
		name      string
		gateways  float64
		databases float64
		first     bool
	}{
		{"budgets: holders for each of 100 connections", 101, 41, false},
		{"after an outage: until the last gateway has its list", 121, 49, false},
		{"positions: news", 151, 61, false},
		{"connections that gateways hold", 101, 41, false},
		{"positions: sent", 300, 120, true}, // the smallest of these runs have 120 databases
	} {
		b, ok := at[tt.name]
		if assert.True(t, ok, tt.name) {
			assert.Equal(t, tt.gateways, math.Ceil(b.At.Gateways), tt.name)
			assert.Equal(t, tt.databases, math.Ceil(b.At.Databases), tt.name)
			assert.Equal(t, tt.first, b.FirstKnown && !b.AtAnySize, tt.name)
		}
	}
	assert.True(t, at["a change of configuration that waits for the restart of each gateway"].AtAnySize)
	assert.NotContains(t, at, "membership: sent")
	assert.Contains(t, open, "Control of one gateway: words: sent")
	assert.NotContains(t, open, "Control of one gateway: membership: sent")

	// The step to three regions, half way, makes this figure exceed its allowance.
	f := Figure{Bounded: true, Allowance: 1, At: func(s Size) Value { return Value{X: float64(s.Regions), Kind: Arithmetic} }}
	b, ok := f.firstExceeded()
	assert.True(t, ok)
	assert.Equal(t, 395.0, b.At.Gateways)
	// A figure that exceeds its allowance only at the target is reported there.
	f.At = func(s Size) Value { return Value{X: s.Gateways * s.Databases / (490 * 810), Kind: Arithmetic} }
	f.Allowance = 0.9999
	b, ok = f.firstExceeded()
	assert.True(t, ok)
	assert.Equal(t, Target, b.At)
}

func TestInvalidRunsAreListed(t *testing.T) {
	tables, err := madeUpRuns(t).Tables()
	require.NoError(t, err)
	assert.Contains(t, tables["runs"], "INVALID: late by 400 ms; in no figure")
	assert.Contains(t, tables["runs"], "INVALID: the generator was late; in no figure")
	for name, text := range tables {
		assert.NotContains(t, text, "999,9", name)
	}
	assert.Contains(t, tables["runs"], "valid, made with other settings: in no line over load or list")
	assert.Contains(t, tables["calibration"], "| 0.769 | over 15% |")
	assert.Contains(t, tables["control"], "does not fit")
	assert.Contains(t, tables["trials"], "18,900 B/s")
	assert.NotContains(t, tables["trials"], "5,780 B/s", "from a fleet smaller than today's")
}

// Runs with and without the mechanism are compared only if they had the same plan, seed, load and size.
func TestComparison(t *testing.T) {
	runs := madeUpRuns(t)
	text, err := runs.comparisonTables()
	require.NoError(t, err)
	assert.Contains(t, text, "| positions: sent | 18,900 B/s | 1,200 B/s | 0.0635 |")
	i := slices.IndexFunc(runs.Scale, func(s Scale) bool { return s.withMechanism() })
	for _, change := range []func(s *Scale){
		func(s *Scale) { s.Seed++ }, func(s *Scale) { s.Gateways++ }, func(s *Scale) { s.Databases++ }, func(s *Scale) { s.Regions++ }, func(s *Scale) { s.RTT++ },
		func(s *Scale) { s.Command = strings.Replace(s.Command, "made-up", "other", 1) }, func(s *Scale) { s.Skew++ }, func(s *Scale) { s.Statements = new(float64) },
	} {
		was := runs.Scale[i]
		change(&runs.Scale[i])
		_, err = runs.comparisonTables()
		assert.ErrorContains(t, err, "make both runs with the same")
		runs.Scale[i] = was
	}
	runs.Scale[i].Command = strings.Replace(runs.Scale[i].Command, "made-up", "made-up-budget", 1)
	text, err = runs.comparisonTables()
	require.NoError(t, err)
	assert.Contains(t, text, "`made-up` and `made-up-budget`, seed 7")
	runs.Scale[i].Valid = false
	text, err = runs.comparisonTables()
	require.NoError(t, err)
	assert.Contains(t, text, "INVALID: not compared")
	runs.Scale[i].File = "scale-lost-after.json"
	_, err = runs.comparisonTables()
	assert.ErrorContains(t, err, "scale-lost.json is missing")
	text, err = (&Runs{}).comparisonTables()
	require.NoError(t, err)
	assert.Equal(t, "Not run.\n", text)
}

func TestFaultsTable(t *testing.T) {
	text := madeUpRuns(t).faultsTable()
	assert.Contains(t, text, "| a zone gone: loss of zone z1: 20 gateways, 30 databases | `scale-worst.json` | 245 by 400, 3 regions | 4.5 s | 3 | 30,000 B/s | 25/s | broke a rule, see the run |")
	assert.Contains(t, text, "| a zone back: return of zone z1 | `scale-worst.json` | 245 by 400, 3 regions | not before the next thing or the end |")
	assert.Contains(t, text, "| a rack at once | not run |")
	assert.Contains(t, text, "| a change of configuration while a gateway starts | not run |")
	assert.Contains(t, text, "| a change of primary: in force everywhere after 5.5 s at most | `scale-one-122.json` |")
}

// A run with any event such as a kill is excluded from the slopes, whatever its plan is called.
func TestRunsWithFaultsAreNotFitted(t *testing.T) {
	runs := madeUpRuns(t)
	n := len((&dataset{runs: runs}).fitRuns(1))
	assert.Equal(t, 5, n)
	for i := range runs.Scale {
		if runs.Scale[i].File == "scale-one-122.json" {
			runs.Scale[i].ViewsEqual = []Convergence{{After: "kill of 2 gateways"}}
		}
	}
	assert.Len(t, (&dataset{runs: runs}).fitRuns(1), 4)
	none := 0.0
	runs.Scale[slices.IndexFunc(runs.Scale, func(s Scale) bool { return s.File == "scale-one-60.json" })].Statements = &none
	runs.Scale[slices.IndexFunc(runs.Scale, func(s Scale) bool { return s.File == "scale-one-245.json" })].Skew = 1
	assert.Len(t, (&dataset{runs: runs}).fitRuns(1), 2, "only with the target's load")
	runs.Scale[slices.IndexFunc(runs.Scale, func(s Scale) bool { return s.File == "scale-one-490.json" })].Command += " --without subsets"
	assert.Len(t, (&dataset{runs: runs}).fitRuns(1), 1, "and with the plan's fleet file")
}

// With too few sizes for a slope with three regions, the one-region slope is shifted by the difference measured between both, and
// the value is marked as an extrapolation.
func TestExtrapolationOverRegions(t *testing.T) {
	runs := madeUpRuns(t)
	runs.Scale = slices.DeleteFunc(runs.Scale, func(s Scale) bool { return s.Regions == 3 && (s.Gateways != 122 || s.withMechanism()) })
	v := figure(t, &dataset{runs: runs}, "control", "membership: sent").At(Target)
	assert.Equal(t, Value{X: 630 + (900 + 2.5*122 - 630), Kind: Extrapolated, Note: "regions by the difference at 122 by 810"}, v)
	v = figure(t, &dataset{runs: runs}, "control", "membership: sent").At(Size{Gateways: 122, Databases: 810, Regions: 3})
	assert.Equal(t, Measured, v.Kind)
	runs.Scale = slices.DeleteFunc(runs.Scale, func(s Scale) bool { return s.Regions == 1 && s.Gateways == 122 })
	v = figure(t, &dataset{runs: runs}, "control", "membership: sent").At(Target)
	assert.Equal(t, NotKnown, v.Kind, "no size was run with both")
	for i := range runs.Scale {
		if runs.Scale[i].Regions == 3 {
			runs.Scale[i].RTT = 60
		}
	}
	v = figure(t, &dataset{runs: runs}, "control", "membership: sent").At(Target)
	assert.Equal(t, NotRun, v.Kind, "they have another round-trip time")
}

func TestNumber(t *testing.T) {
	for x, s := range map[float64]string{
		0: "0", 1: "1", 0.1234: "0.123", 999.96: "1,000", 1234: "1,234", 7653: "7,653", 18936.2: "18,940", 1e6: "1,000,000", -1234.56: "-1,235", 0.00001: "0.00001",
	} {
		assert.Equal(t, s, formatNumber(x))
	}
}
