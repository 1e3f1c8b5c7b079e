package capacity

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var allVariables = []Variable{Gateways, Databases, Product, Connections, Statements}

// points draws sizes at random, so that the variables are mostly uncorrelated.
func points(t *rapid.T) []Point {
	list := make([]Point, rapid.IntRange(8, 16).Draw(t, "runs"))
	for i := range list {
		draw := func(name string, highest int) float64 { return float64(rapid.IntRange(1, highest).Draw(t, name)) }
		list[i].Size = Size{
			Gateways: draw("G", 500), Databases: draw("D", 800), Regions: 1, Connections: draw("connections", 8000), Statements: draw("statements", 3000),
		}
	}
	return list
}

// distinguishable reports whether v has enough values and no other variable is strongly correlated with it.
func distinguishable(list []Point, v Variable) bool {
	for _, u := range allVariables {
		values := map[float64]bool{}
		for i := range list {
			values[u.Value(list[i].Size)] = true
		}
		if len(values) < minSizes {
			return false
		}
		if u != v && math.Abs(correlation(list, u, v)) > 0.9 {
			return false
		}
	}
	return true
}

func correlation(list []Point, u, v Variable) float64 {
	var su, sv, suu, svv, suv, n float64
	for _, p := range list {
		x, y := u.Value(p.Size), v.Value(p.Size)
		su, sv, suu, svv, suv, n = su+x, sv+y, suu+x*x, svv+y*y, suv+x*y, n+1
	}
	return (n*suv - su*sv) / math.Sqrt((n*suu-su*su)*(n*svv-sv*sv))
}

// Fit picks the right variable and finds the slope, with noise of 1% of the variation that the variable causes.
func TestFitFindsSlopes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := points(t)
		v := rapid.SampledFrom(allVariables).Draw(t, "variable")
		if !distinguishable(list, v) {
			t.Skip("the sizes do not distinguish the variables")
		}
		per := rapid.Float64Range(0.5, 100).Draw(t, "slope")
		lowest, highest := math.Inf(1), 0.0
		for _, p := range list {
			lowest, highest = min(lowest, v.Value(p.Size)), max(highest, v.Value(p.Size))
		}
		variation, mean := per*(highest-lowest), 0.0
		intercept := rapid.Float64Range(0, 3).Draw(t, "intercept") * variation
		for i := range list {
			list[i].Y = intercept + per*v.Value(list[i].Size) + variation*0.01*rapid.Float64Range(-1, 1).Draw(t, "noise")
			mean += list[i].Y / float64(len(list))
		}
		l, ok := Fit(list, allVariables...)
		if !ok || l.Variable != v || len(l.Correlated) > 0 || math.Abs(l.Per-per) > 0.1*per || l.Residual > 0.01*variation/mean+1e-9 || l.Sizes < minSizes {
			t.Fatalf("%+v %v, want %v for each of %s and intercept %v", l, ok, per, v, intercept)
		}
		y, beyond := l.At(list[0].Size)
		if beyond || math.Abs(y-list[0].Y) > 0.1*variation {
			t.Fatalf("%v %v at a size that was measured, want %v", y, beyond, list[0].Y)
		}
	})
}

// A figure that varies by less than flatSpread is constant, even if a line fits it better.
func TestFitFlat(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := points(t)
		mean := rapid.Float64Range(1, 1e5).Draw(t, "mean")
		for i := range list {
			list[i].Y = mean * (1 + 0.0475*rapid.Float64Range(-1, 1).Draw(t, "noise"))
		}
		l, ok := Fit(list, allVariables...)
		if len(distinctSizes(list)) < minSizes {
			if ok {
				t.Fatalf("%+v from too few sizes", l)
			}
			return
		}
		if !ok || l.Variable != None || l.Per != 0 || math.Abs(l.Intercept-mean) > 0.05*mean {
			t.Fatalf("%+v %v, want flat at %v", l, ok, mean)
		}
	})
}

func distinctSizes(list []Point) map[Size]bool {
	m := map[Size]bool{}
	for _, p := range list {
		m[p.Size] = true
	}
	return m
}

func pointsOnLine(v Variable, per float64, sizes ...Size) (list []Point) {
	for _, s := range sizes {
		list = append(list, Point{s, 1000 + per*v.Value(s)})
	}
	return list
}

func TestFitNeedsFourSizes(t *testing.T) {
	three := []Size{{Gateways: 50, Databases: 100}, {Gateways: 100, Databases: 100}, {Gateways: 200, Databases: 100}}
	_, ok := Fit(pointsOnLine(Gateways, 3, three...), Gateways)
	assert.False(t, ok, "three sizes")
	_, ok = Fit(pointsOnLine(Gateways, 3, append(three, three...)...), Gateways)
	assert.False(t, ok, "three sizes, each measured twice")
	two := append(three[:2:2], Size{Gateways: 50, Databases: 200}, Size{Gateways: 100, Databases: 200})
	_, ok = Fit(pointsOnLine(Gateways, 30, two...), Gateways)
	assert.False(t, ok, "four sizes with two numbers of gateways")
}

func TestFitReportsCorrelatedVariables(t *testing.T) {
	list := pointsOnLine(Databases, 30, Size{Gateways: 50, Databases: 100}, Size{Gateways: 100, Databases: 200}, Size{Gateways: 200, Databases: 400}, Size{Gateways: 400, Databases: 800})
	l, ok := Fit(list, Gateways, Databases, Product)
	assert.True(t, ok)
	assert.Equal(t, Gateways, l.Variable, "the first of equals")
	assert.Equal(t, []Variable{Databases}, l.Correlated)
	assert.InDelta(t, 60, l.Per, 1e-6)
	for _, tt := range []struct {
		s      Size
		beyond bool
	}{
		{Size{Gateways: 300, Databases: 400}, false}, {Size{Gateways: 400, Databases: 800}, false}, {Size{Gateways: 401, Databases: 800}, true},
		{Size{Gateways: 400, Databases: 810}, true}, {Size{Gateways: 49, Databases: 100}, true},
	} {
		_, beyond := l.At(tt.s)
		assert.Equal(t, tt.beyond, beyond, "%+v", tt.s)
	}
}

func TestPoorFitIsNoted(t *testing.T) {
	l := Slope{Variable: Gateways, Per: 1, Residual: 0.16, minSize: Size{Gateways: 1}, maxSize: Size{Gateways: 9}}
	assert.Equal(t, Value{X: 5, Kind: Fitted, Note: "a poor fit: residual 16%"}, l.value(Size{Gateways: 5}))
	assert.Equal(t, Value{X: 10, Kind: Extrapolated, Note: "a poor fit: residual 16%"}, l.value(Size{Gateways: 10}))
	l.Residual = 0.14
	assert.Equal(t, Value{X: 5, Kind: Fitted}, l.value(Size{Gateways: 5}))
	l.Intercept = -9
	assert.Equal(t, NotKnown, l.value(Size{Gateways: 5}).Kind, "a negative value")
}
