package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

const (
	leastSizes = 4    // over which a slope is fitted
	flatSpread = 0.10 // (most - least) / mean under which a figure depends on nothing
	poorFit    = 0.15 // a residual over which a line is said to miss its runs
	sameLine   = 1 - 1e-9
)

// Size is what a figure is asked for. Connections and statements a second are those of one gateway.
type Size struct {
	Name                    string
	Gateways, Databases     float64
	Regions                 int
	Connections, Statements float64
}

// Variable is what a figure may depend on.
type Variable string

// The variables.
const (
	None        Variable = "none"
	Gateways    Variable = "G"
	Databases   Variable = "D"
	Product     Variable = "G x D"
	Square      Variable = "G x G"
	Connections Variable = "connections"
	Statements  Variable = "statements/s"
)

// Of is its value at a size.
func (v Variable) Of(s Size) float64 {
	switch v {
	case Gateways:
		return s.Gateways
	case Databases:
		return s.Databases
	case Product:
		return s.Gateways * s.Databases
	case Square:
		return s.Gateways * s.Gateways
	case Connections:
		return s.Connections
	case Statements:
		return s.Statements
	}
	return 0
}

// Point is one figure of one run.
type Point struct {
	Size
	Y float64
}

// Slope is a line through the figures of several sizes.
type Slope struct {
	Of        Variable
	Per       float64 // what one more of the variable adds
	Intercept float64
	Residual  float64 // root of the mean square of what the line misses, as a share of the mean figure
	Sizes     int     // different ones
	Runs      int
	Like      []Variable // moved in step with the variable in these runs: not told apart from it
	low, high Size
}

// Fit draws a line through points. Among the candidates the one with the least residual wins, the first of equals; a
// figure whose spread is under flatSpread depends on none. false: there are fewer than four sizes, or none of the
// candidates has four values.
func Fit(points []Point, candidates ...Variable) (Slope, bool) {
	sizes := map[Size]bool{}
	ys := make([]float64, 0, len(points))
	var low, high Size
	for i, p := range points {
		s := p.Size
		s.Name = ""
		sizes[s] = true
		ys = append(ys, p.Y)
		if i == 0 {
			low, high = s, s
		}
		low.Gateways, high.Gateways = min(low.Gateways, s.Gateways), max(high.Gateways, s.Gateways)
		low.Databases, high.Databases = min(low.Databases, s.Databases), max(high.Databases, s.Databases)
		low.Connections, high.Connections = min(low.Connections, s.Connections), max(high.Connections, s.Connections)
		low.Statements, high.Statements = min(low.Statements, s.Statements), max(high.Statements, s.Statements)
	}
	if len(sizes) < leastSizes {
		return Slope{}, false
	}
	best := Slope{Of: None, Sizes: len(sizes), Runs: len(points), low: low, high: high}
	mean := stat.Mean(ys, nil)
	least, most := ys[0], ys[0]
	for _, y := range ys {
		least, most = min(least, y), max(most, y)
	}
	if most-least <= flatSpread*math.Abs(mean) {
		best.Intercept = mean
		best.Residual = miss(ys, mean, func(int) float64 { return mean })
		return best, true
	}
	xs := map[Variable][]float64{}
	for _, v := range candidates {
		values := map[float64]bool{}
		x := make([]float64, len(points))
		for i, p := range points {
			x[i] = v.Of(p.Size)
			values[x[i]] = true
		}
		if len(values) < leastSizes {
			continue
		}
		xs[v] = x
		a, b := stat.LinearRegression(x, ys, nil, false)
		residual := miss(ys, mean, func(i int) float64 { return a + b*x[i] })
		if best.Of == None || residual < best.Residual*sameLine-1e-12 {
			best.Of, best.Intercept, best.Per, best.Residual = v, a, b, residual
		}
	}
	if best.Of == None {
		return Slope{}, false
	}
	for _, v := range candidates {
		if v != best.Of && xs[v] != nil && math.Abs(stat.Correlation(xs[v], xs[best.Of], nil)) > 0.9999 {
			best.Like = append(best.Like, v)
		}
	}
	return best, true
}

// miss is the root of the mean square of what a line misses, as a share of the mean.
func miss(ys []float64, mean float64, line func(i int) float64) float64 {
	sum := 0.0
	for i, y := range ys {
		sum += (y - line(i)) * (y - line(i))
	}
	if rms := math.Sqrt(sum / float64(len(ys))); mean != 0 {
		return rms / math.Abs(mean)
	} else {
		return rms
	}
}

// At is what the line comes to at a size; beyond: that lies outside the sizes it was measured over.
func (l Slope) At(s Size) (y float64, beyond bool) {
	out := func(x, low, high float64) bool { return x < low || x > high }
	beyond = out(s.Gateways, l.low.Gateways, l.high.Gateways) || out(s.Databases, l.low.Databases, l.high.Databases) ||
		l.high.Connections > 0 && out(s.Connections, l.low.Connections, l.high.Connections) ||
		l.high.Statements > 0 && out(s.Statements, l.low.Statements, l.high.Statements)
	return l.Intercept + l.Per*l.Of.Of(s), beyond
}
