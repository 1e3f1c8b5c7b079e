package run

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"lilaccove/internal/load/plan"
)

// ID returns a hash of a plan and its number of arrivals. Only reports with the same ID can be compared.
func ID(p *plan.Plan, schedule int) string {
	text, _ := json.Marshal(p)
	return fmt.Sprintf("%x", sha256.Sum256(fmt.Appendf(text, "%d", schedule)))[:16]
}

// WriteText writes the report as text.
func (r *Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 2, 8, 2, ' ', tabwriter.AlignRight)
	header := "class\tstage\tcount\tin aim\tlate\trefused\tfailed\tgave up\tno conn\tmissed\tp50\tp99\tp99.9\tmax\tservice p50\tp99\t\n"
	fmt.Fprint(table, header)
	for _, row := range append(r.Rows, r.Total) {
		counts := row.Counts
		fmt.Fprintf(table, "%s\t%s\t%d\t%.1f%%\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", row.Class, row.Stage, row.Count,
			100*float64(counts[InAim])/float64(max(1, row.Count)), counts[Late], counts[Refused]+counts[RefusedRetryAfter], counts[Failed]+counts[InvalidAnswer], counts[GaveUp], counts[NoConnection], counts[NotSent],
			row.Latency[0], row.Latency[2], row.Latency[3], row.Latency[4], row.Service[0], row.Service[2])
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "\nlatencies of served requests in ms from the scheduled time; service from the time of sending\n")
	fmt.Fprintf(w, "goodput %.3f of the offered worth; %d of %d arrivals started\n", r.Goodput, r.Sent, r.Schedule)
	fmt.Fprintf(w, "lateness of the generator: p50 %.2f ms, p99 %.2f ms, max %.2f ms; bound %v\n",
		r.Lateness[0], r.Lateness[2], r.Lateness[4], r.LatenessBound)
	if r.Partial {
		fmt.Fprintln(w, "PARTIAL: the run was interrupted")
	}
	if r.Invalid {
		fmt.Fprintln(w, "INVALID: the generator was late; the latencies include its own delays")
		for _, s := range r.Stalls {
			fmt.Fprintf(w, "  at %.3f s by %v\n", s.At.Seconds(), s.Late)
		}
	}
	for _, f := range r.Faults {
		fmt.Fprintln(w, "FAULT: "+f)
	}
	return nil
}

// Compare writes two reports of one plan side by side.
func Compare(w io.Writer, a, b *Report) error {
	if a.PlanID != b.PlanID {
		return fmt.Errorf("the reports are of different plans (%s and %s)", a.PlanID, b.PlanID)
	}
	table := tabwriter.NewWriter(w, 2, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "class\tstage\tin aim A\tB\tchange\tp50 A\tB\tp99 A\tB\t\n")
	findRow := func(r *Report, target Row) Row {
		for _, rowB := range append(r.Rows, r.Total) {
			if target.Class == rowB.Class && target.Stage == rowB.Stage {
				return rowB
			}
		}
		return Row{Latency: make([]float64, len(Percentiles))}
	}
	for _, rowA := range append(a.Rows, a.Total) {
		rowB := findRow(b, rowA)
		shareA := 100 * float64(rowA.Counts[InAim]) / float64(max(1, rowA.Count))
		shareB := 100 * float64(rowB.Counts[InAim]) / float64(max(1, rowB.Count))
		fmt.Fprintf(table, "%s\t%s\t%.1f%%\t%.1f%%\t%+.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", rowA.Class, rowA.Stage, shareA, shareB, shareB-shareA, rowA.Latency[0], rowB.Latency[0], rowA.Latency[2], rowB.Latency[2])
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "goodput %.3f and %.3f (%+.3f)\n", a.Goodput, b.Goodput, b.Goodput-a.Goodput)
	for name, r := range map[string]*Report{"A": a, "B": b} {
		if r.Invalid || r.Partial {
			fmt.Fprintf(w, "%s is not reliable: invalid=%t partial=%t\n", name, r.Invalid, r.Partial)
		}
	}
	return nil
}

// ninesAxis returns the position of a percentile on a logarithmic axis, on which 90, 99 and 99.9 are equally spaced.
func ninesAxis(percentile float64) float64 { return -math.Log10(1 - percentile/100) }

// WritePlots writes two PNG files: latency by percentile, and service over time with stages and events.
func (r *Report) WritePlots(prefix string) error {
	curve := plot.New()
	curve.Title.Text, curve.X.Label.Text, curve.Y.Label.Text = "Latency by percentile", "percentile", "ms"
	var latency, service plotter.XYs
	for _, p := range r.Curve {
		latency = append(latency, plotter.XY{X: ninesAxis(p.Percentile), Y: p.Latency})
		service = append(service, plotter.XY{X: ninesAxis(p.Percentile), Y: p.Service})
	}
	var ticks plot.ConstantTicks
	for _, p := range []float64{0, 50, 90, 99, 99.9, 99.99} {
		ticks = append(ticks, plot.Tick{Value: ninesAxis(p), Label: fmt.Sprint(p)})
	}
	curve.X.Tick.Marker = ticks
	if err := plotutil.AddLines(curve, "from the scheduled time", latency, "from the time of sending", service); err != nil {
		return err
	}
	curve.Legend.Top, curve.Legend.Left = true, true
	if err := curve.Save(18*vg.Centimeter, 11*vg.Centimeter, prefix+"-latency.png"); err != nil {
		return err
	}
	timeline := plot.New()
	timeline.Title.Text, timeline.X.Label.Text, timeline.Y.Label.Text = "Service over time", "s", "requests per second"
	var offered, served plotter.XYs
	peak := 0.0
	for i, s := range r.Seconds {
		offered = append(offered, plotter.XY{X: float64(i) + 0.5, Y: float64(s.Offered)})
		served = append(served, plotter.XY{X: float64(i) + 0.5, Y: float64(s.Served)})
		peak = max(peak, float64(s.Offered))
	}
	if err := plotutil.AddLines(timeline, "offered", offered, "served in aim", served); err != nil {
		return err
	}
	var labels plotter.XYLabels
	addMarker := func(x, y float64, label string) {
		line, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: peak}})
		if err == nil {
			line.Dashes = []vg.Length{vg.Points(2), vg.Points(3)}
			timeline.Add(line)
		}
		labels.XYs, labels.Labels = append(labels.XYs, plotter.XY{X: x, Y: y}), append(labels.Labels, label)
	}
	for _, s := range r.Stages {
		addMarker(s.Begin, peak*1.02, s.Name)
	}
	for _, e := range r.Events {
		addMarker(e.At.Seconds(), peak*1.08, strings.TrimSpace(e.Action))
	}
	if len(labels.XYs) > 0 {
		markerLabels, err := plotter.NewLabels(labels)
		if err != nil {
			return err
		}
		timeline.Add(markerLabels)
	}
	timeline.Y.Min, timeline.Y.Max = 0, peak*1.15+1
	return timeline.Save(24*vg.Centimeter, 11*vg.Centimeter, prefix+"-service.png")
}
