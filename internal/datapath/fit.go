package datapath

import (
	"errors"
	"fmt"
	"io"
	"math"
	"strings"
)

// Term is one summand of a fit.
type Term struct {
	Name  string
	Unit  string
	Scale float64 // converts the slope from the fit's unit to Unit
	Value func(r *Report) float64
}

// Line fits a quantity as a constant plus a slope times each term, by least squares.
type Line struct {
	Name         string
	Value        func(r *Report) float64
	Terms        []Term
	Coefficients []float64 // the constant, then the slopes
	Residual     float64   // root mean square
	MaxResidual  float64   // largest deviation
	Reports      int
}

// Lines returns the fits that are made over the runs.
func Lines() []Line {
	clients := func(r *Report) float64 { return r.Gateway.ClientConnections }
	databases := func(r *Report) float64 { return r.Gateway.DatabaseConnections }
	statements := func(r *Report) float64 { return float64(r.Gateway.Sent) / math.Max(0.001, r.Seconds) }
	reconnects := func(r *Report) float64 { return r.Gateway.Reconnects }
	listed := func(r *Report) float64 { return float64(r.Databases) }
	return []Line{
		{Name: "memory under load (rss, MB)", Value: func(r *Report) float64 { return r.Gateway.RSS }, Terms: []Term{
			{"client connection", "bytes", megabyte, clients}, {"database connection", "bytes", megabyte, databases},
			{"statement/s", "bytes", megabyte, statements}, {"connection/s from clients", "bytes", megabyte, reconnects},
		}},
		{Name: "memory with clients idle (rss, MB)", Value: func(r *Report) float64 { return r.Gateway.RSSClientsIdle }, Terms: []Term{
			{"client connection", "bytes", megabyte, func(r *Report) float64 { return r.Gateway.ClientConnectionsIdle }},
			{"database listed", "bytes", megabyte, listed},
		}},
		{Name: "processor time (percent of a core)", Value: func(r *Report) float64 { return r.Gateway.Core }, Terms: []Term{
			{"statement", "us", 1e4, statements}, {"connection from a client", "us", 1e4, reconnects},
			{"client connection held", "us/s", 1e4, clients}, {"database listed", "us/s", 1e4, listed},
		}},
	}
}

// Fit finds the slopes over the reports that are valid and not partial.
func (l *Line) Fit(reports []*Report) error {
	var rows [][]float64
	var values []float64
	for _, r := range reports {
		if !r.Valid || r.Partial {
			continue
		}
		row := []float64{1}
		for _, t := range l.Terms {
			row = append(row, t.Value(r))
		}
		rows, values = append(rows, row), append(values, l.Value(r))
	}
	l.Reports = len(rows)
	if l.Reports <= len(l.Terms) {
		return fmt.Errorf("%s: %d valid reports are too few for %d slopes", l.Name, l.Reports, len(l.Terms))
	}
	var err error
	if l.Coefficients, err = leastSquares(rows, values); err != nil {
		return fmt.Errorf("%s: %w", l.Name, err)
	}
	sum := 0.0
	l.MaxResidual = 0
	for i, row := range rows {
		d := values[i]
		for k, x := range row {
			d -= l.Coefficients[k] * x
		}
		sum += d * d
		l.MaxResidual = math.Max(l.MaxResidual, math.Abs(d))
	}
	l.Residual = math.Sqrt(sum / float64(len(rows)))
	return nil
}

// Text writes the fit for a reader.
func (l *Line) Text(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s over %d runs: %.2f\n", l.Name, l.Reports, l.Coefficients[0])
	for i, t := range l.Terms {
		fmt.Fprintf(&b, "  + %.4g %s for each %s\n", l.Coefficients[i+1]*t.Scale, t.Unit, t.Name)
	}
	fmt.Fprintf(&b, "  residual %.2f, at most %.2f\n", l.Residual, l.MaxResidual)
	_, err := io.WriteString(w, b.String())
	return err
}

var errSingular = errors.New("the runs do not determine the slopes: vary the settings they have in common")

// leastSquares solves the normal equations, each column scaled by its largest value.
func leastSquares(rows [][]float64, values []float64) ([]float64, error) {
	n := len(rows[0])
	scale := make([]float64, n)
	for _, row := range rows {
		for k, x := range row {
			scale[k] = math.Max(scale[k], math.Abs(x))
		}
	}
	matrix := make([][]float64, n)
	for i := range matrix {
		if scale[i] == 0 {
			return nil, errSingular
		}
		matrix[i] = make([]float64, n+1)
		for r, row := range rows {
			for k, x := range row {
				matrix[i][k] += row[i] / scale[i] * x / scale[k]
			}
			matrix[i][n] += row[i] / scale[i] * values[r]
		}
	}
	for i := range matrix {
		best := i
		for k := i + 1; k < n; k++ {
			if math.Abs(matrix[k][i]) > math.Abs(matrix[best][i]) {
				best = k
			}
		}
		if matrix[i], matrix[best] = matrix[best], matrix[i]; math.Abs(matrix[i][i]) < 1e-9 {
			return nil, errSingular
		}
		for k := range matrix {
			if k == i {
				continue
			}
			f := matrix[k][i] / matrix[i][i]
			for j := i; j <= n; j++ {
				matrix[k][j] -= f * matrix[i][j]
			}
		}
	}
	solution := make([]float64, n)
	for i := range solution {
		solution[i] = matrix[i][n] / matrix[i][i] / scale[i]
	}
	return solution, nil
}
