package main

import (
	"cmp"
	"fmt"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"lilaccove/internal/fleet/audit"
)

func byTime(a, b audit.ChainedRecord) int { return cmp.Compare(a.From, b.From) }

// plotListVersions writes a plot of the list version that each process acted on over time, with a step for each record.
func plotListVersions(path string, records []audit.ChainedRecord) error {
	if len(records) == 0 {
		return fmt.Errorf("--plot: there are no records to plot")
	}
	start := slices.MinFunc(records, byTime).From
	seconds := func(s audit.Timestamp) float64 { return (s.WallTime() - start.WallTime()).Seconds() }
	lines := map[string]plotter.XYs{}
	var names []string
	slices.SortFunc(records, byTime)
	for _, r := range records {
		name := r.Gateway + " " + r.Session
		if lines[name] == nil {
			names = append(names, name)
		}
		lines[name] = append(lines[name], plotter.XY{X: seconds(r.From), Y: float64(r.ListVersion)}, plotter.XY{X: seconds(r.To), Y: float64(r.ListVersion)})
	}
	slices.Sort(names)
	p := plot.New()
	p.Title.Text = "list version that each gateway acted on"
	p.X.Label.Text, p.Y.Label.Text = "seconds", "list version"
	for i, n := range names {
		line, err := plotter.NewLine(lines[n])
		if err != nil {
			return fmt.Errorf("--plot: %w", err)
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i/7)
		p.Add(line)
		if len(names) <= 16 {
			p.Legend.Add(n, line)
		}
	}
	if err := p.Save(24*vg.Centimeter, 12*vg.Centimeter, path); err != nil {
		return fmt.Errorf("--plot: %w", err)
	}
	return nil
}
