package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

const (
	minSizes          = 4    // distinct sizes that a fit needs
	flatSpread        = 0.10 // (highest - lowest) / mean up to which a figure counts as constant
	poorFitResidual   = 0.15 // residual above which a slope is reported as a poor fit
	residualTieFactor = 1 - 1e-9
)

// Size is a fleet size at which a figure is computed. Connections and Statements (per second) are those of one gateway.
type Size struct {
	Name                    string
	Gateways, Databases     float64
	Regions                 int
	Connections, Statements float64
}

// Variable is a quantity that a figure may depend on.
type Variable string

// The variables of the fits.
const (
	None        Variable = "none"
	Gateways    Variable = "G"
	Databases   Variable = "D"
	Product     Variable = "G x D"
	Square      Variable = "G x G"
	Connections Variable = "connections"
	Statements  Variable = "statements/s"
)

// Value returns the value of the variable at a size.
func (v Variable) Value(s Size) float64 {
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

// Point is the value of one figure in one run.
type Point struct {
	Size
	Y float64
}

// Slope is a line fitted to a figure over several sizes.
type Slope struct {
	Variable         Variable
	Per              float64 // increase of the figure for one more of the variable
	Intercept        float64
	Residual         float64 // root mean square of the deviations from the line, as a share of the mean figure
	Sizes            int     // distinct sizes
	Runs             int
	Correlated       []Variable // variables perfectly correlated with Variable in these runs, which can't be distinguished from it
	minSize, maxSize Size
}

// Fit fits a line to points for each candidate and returns the one with the smallest residual, the first of equals. A figure
// whose spread is at most flatSpread gets a constant. It returns false if there are fewer than four sizes, or if no candidate
// has four distinct values.
func Fit(points []Point, candidates ...Variable) (Slope, bool) {
	sizes := map[Size]bool{}
	ys := make([]float64, 0, len(points))
	var minSize, maxSize Size
	for i, p := range points {
		s := p.Size
		s.Name = ""
		sizes[s] = true
		ys = append(ys, p.Y)
		if i == 0 {
			minSize, maxSize = s, s
		}
		minSize.Gateways, maxSize.Gateways = min(minSize.Gateways, s.Gateways), max(maxSize.Gateways, s.Gateways)
		minSize.Databases, maxSize.Databases = min(minSize.Databases, s.Databases), max(maxSize.Databases, s.Databases)
		minSize.Connections, maxSize.Connections = min(minSize.Connections, s.Connections), max(maxSize.Connections, s.Connections)
		minSize.Statements, maxSize.Statements = min(minSize.Statements, s.Statements), max(maxSize.Statements, s.Statements)
	}
	if len(sizes) < minSizes {
		return Slope{}, false
	}
	best := Slope{Variable: None, Sizes: len(sizes), Runs: len(points), minSize: minSize, maxSize: maxSize}
	mean := stat.Mean(ys, nil)
	lowest, highest := ys[0], ys[0]
	for _, y := range ys {
		lowest, highest = min(lowest, y), max(highest, y)
	}
	if highest-lowest <= flatSpread*math.Abs(mean) {
		best.Intercept = mean
		best.Residual = relativeRMS(ys, mean, func(int) float64 { return mean })
		return best, true
	}
	xs := map[Variable][]float64{}
	for _, v := range candidates {
		values := map[float64]bool{}
		x := make([]float64, len(points))
		for i, p := range points {
			x[i] = v.Value(p.Size)
			values[x[i]] = true
		}
		if len(values) < minSizes {
			continue
		}
		xs[v] = x
		a, b := stat.LinearRegression(x, ys, nil, false)
		residual := relativeRMS(ys, mean, func(i int) float64 { return a + b*x[i] })
		if best.Variable == None || residual < best.Residual*residualTieFactor-1e-12 {
			best.Variable, best.Intercept, best.Per, best.Residual = v, a, b, residual
		}
	}
	if best.Variable == None {
		return Slope{}, false
	}
	for _, v := range candidates {
		if v != best.Variable && xs[v] != nil && math.Abs(stat.Correlation(xs[v], xs[best.Variable], nil)) > 0.9999 {
			best.Correlated = append(best.Correlated, v)
		}
	}
	return best, true
}

// relativeRMS is the root mean square of the deviations from a line, as a share of the mean.
func relativeRMS(ys []float64, mean float64, line func(i int) float64) float64 {
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

// At returns the value of the line at a size; beyond: the size lies outside the range of the runs.
func (l Slope) At(s Size) (y float64, beyond bool) {
	outside := func(x, low, high float64) bool { return x < low || x > high }
	beyond = outside(s.Gateways, l.minSize.Gateways, l.maxSize.Gateways) || outside(s.Databases, l.minSize.Databases, l.maxSize.Databases) ||
		l.maxSize.Connections > 0 && outside(s.Connections, l.minSize.Connections, l.maxSize.Connections) ||
		l.maxSize.Statements > 0 && outside(s.Statements, l.minSize.Statements, l.maxSize.Statements)
	return l.Intercept + l.Per*l.Variable.Value(s), beyond
}
