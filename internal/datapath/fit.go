package datapath

import (
	"errors"
	"fmt"
	"io"
	"math"
	"strings"
)

// Term is a part of a fit.
type Term struct {
	Name  string
	Unit  string
	Scale float64 // from the fit's unit for one to Unit
	Of    func(r *Report) float64
}

// Line is a quantity as a sum of slopes times what reports say, by least squares.
type Line struct {
	Name     string
	Of       func(r *Report) float64
	Terms    []Term
	Values   []float64 // the constant first
	Residual float64   // root of the mean square
	Most     float64   // largest
	Reports  int
}

// Lines are what is fitted over the runs.
func Lines() []Line {
	clients := func(r *Report) float64 { return r.Gateway.ClientConnections }
	bases := func(r *Report) float64 { return r.Gateway.DatabaseConnections }
	statements := func(r *Report) float64 { return float64(r.Gateway.Sent) / math.Max(0.001, r.Seconds) }
	again := func(r *Report) float64 { return r.Gateway.ClientNew }
	listed := func(r *Report) float64 { return float64(r.Databases) }
	return []Line{
		{Name: "memory under load (rss, MB)", Of: func(r *Report) float64 { return r.Gateway.RSS }, Terms: []Term{
			{"client connection", "bytes", megabyte, clients}, {"database connection", "bytes", megabyte, bases},
			{"statement/s", "bytes", megabyte, statements}, {"connection/s from clients", "bytes", megabyte, again},
		}},
		{Name: "memory with clients idle (rss, MB)", Of: func(r *Report) float64 { return r.Gateway.RSSClientsIdle }, Terms: []Term{
			{"client connection", "bytes", megabyte, func(r *Report) float64 { return r.Gateway.ClientConnectionsIdle }},
			{"database listed", "bytes", megabyte, listed},
		}},
		{Name: "processor time (percent of a core)", Of: func(r *Report) float64 { return r.Gateway.Core }, Terms: []Term{
			{"statement", "us", 1e4, statements}, {"connection from a client", "us", 1e4, again},
			{"client connection held", "us/s", 1e4, clients}, {"database listed", "us/s", 1e4, listed},
		}},
	}
}

// Fit finds the slopes over runs that are valid and whole.
func (l *Line) Fit(reports []*Report) error {
	var rows [][]float64
	var values []float64
	for _, r := range reports {
		if !r.Valid || r.Partial {
			continue
		}
		row := []float64{1}
		for _, t := range l.Terms {
			row = append(row, t.Of(r))
		}
		rows, values = append(rows, row), append(values, l.Of(r))
	}
	l.Reports = len(rows)
	if l.Reports <= len(l.Terms) {
		return fmt.Errorf("%s: %d valid reports are too few for %d slopes", l.Name, l.Reports, len(l.Terms))
	}
	var err error
	if l.Values, err = leastSquares(rows, values); err != nil {
		return fmt.Errorf("%s: %w", l.Name, err)
	}
	sum := 0.0
	l.Most = 0
	for i, row := range rows {
		d := values[i]
		for k, x := range row {
			d -= l.Values[k] * x
		}
		sum += d * d
		l.Most = math.Max(l.Most, math.Abs(d))
	}
	l.Residual = math.Sqrt(sum / float64(len(rows)))
	return nil
}

// Text writes it for a person.
func (l *Line) Text(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s over %d runs: %.2f\n", l.Name, l.Reports, l.Values[0])
	for i, t := range l.Terms {
		fmt.Fprintf(&b, "  + %.4g %s for each %s\n", l.Values[i+1]*t.Scale, t.Unit, t.Name)
	}
	fmt.Fprintf(&b, "  residual %.2f, at most %.2f\n", l.Residual, l.Most)
	_, err := io.WriteString(w, b.String())
	return err
}

var errSingular = errors.New("the runs do not tell its slopes apart: vary what they have in common")

// leastSquares solves the normal equations, each column scaled by its largest.
func leastSquares(rows [][]float64, values []float64) ([]float64, error) {
	n := len(rows[0])
	scale := make([]float64, n)
	for _, row := range rows {
		for k, x := range row {
			scale[k] = math.Max(scale[k], math.Abs(x))
		}
	}
	m := make([][]float64, n)
	for i := range m {
		if scale[i] == 0 {
			return nil, errSingular
		}
		m[i] = make([]float64, n+1)
		for r, row := range rows {
			for k, x := range row {
				m[i][k] += row[i] / scale[i] * x / scale[k]
			}
			m[i][n] += row[i] / scale[i] * values[r]
		}
	}
	for i := range m {
		best := i
		for k := i + 1; k < n; k++ {
			if math.Abs(m[k][i]) > math.Abs(m[best][i]) {
				best = k
			}
		}
		if m[i], m[best] = m[best], m[i]; math.Abs(m[i][i]) < 1e-9 {
			return nil, errSingular
		}
		for k := range m {
			if k == i {
				continue
			}
			f := m[k][i] / m[i][i]
			for j := i; j <= n; j++ {
				m[k][j] -= f * m[i][j]
			}
		}
	}
	out := make([]float64, n)
	for i := range out {
		out[i] = m[i][n] / m[i][i] / scale[i]
	}
	return out, nil
}
