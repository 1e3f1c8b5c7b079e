package scale

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"lilaccove/internal/load/run"
	"lilaccove/internal/wan"
)

// Dist and Times are figures over gateways or moments.
type (
	Dist struct {
		Mean float64 `json:"mean"`
		P99  float64 `json:"p99"`
		Max  float64 `json:"max"`
	}
	Times struct {
		P50 float64 `json:"p50"`
		P99 float64 `json:"p99"`
		Max float64 `json:"max"`
	}
)

// Report is what a run measured. Rates are over the measured time, which begins when the fleet has had its time to settle.
type Report struct {
	Command   string  `json:"command"`
	Gateways  int     `json:"gateways"`
	Databases int     `json:"databases"`
	Regions   int     `json:"regions"`
	Zones     int     `json:"zones"`
	RTT       float64 `json:"rtt_ms"` // between regions; within, where there is one
	RTTWithin float64 `json:"rtt_within_ms"`
	Seed      uint64  `json:"seed"`
	Seconds   float64 `json:"seconds"`
	Settled   float64 `json:"settle_seconds"`
	Real      int     `json:"real"`
	Load      float64 `json:"statements_per_s"` // at a hollow gateway
	Skew      float64 `json:"skew"`
	Valid     bool    `json:"valid"`
	Invalid   string  `json:"invalid_because,omitempty"`
	Partial   bool    `json:"partial"`

	Control       Control         `json:"control"` // bytes and messages of all gateways; core and memory of hollow ones, where there are any
	RealOnes      *Control        `json:"real_gateways,omitempty"`
	ByRole        map[string]Role `json:"by_role"`
	Window        Window          `json:"window"`
	InForce       *Times          `json:"in_force_s"`       // of a configuration: nothing carries one
	PrimaryChange *Times          `json:"primary_change_s"` // to the first write: not measured
	ListInForce   *Times          `json:"list_in_force_s"`  // from a change at discovery to the report of a gateway that has it
	ViewsEqual    []Settled       `json:"views_equal"`      // after each thing that happened
	FalseDeaths   int             `json:"false_deaths"`     // told by gateways in the measured time
	FalseDeathsOf int             `json:"false_deaths_of"`  // so many gateways
	EarlyDeaths   int             `json:"false_deaths_settling"`
	Positions     Positions       `json:"positions"`
	Discovery     Discovery       `json:"discovery"`
	Lateness      *Dist           `json:"lateness_ms"` // each gateway's most in each second, the run's own and p99 of the relay among them
	RelayLateness *Dist           `json:"relay_lateness_ms"`
	Relay         wan.Counts      `json:"relay"`     // since its start
	MemoryMB      float64         `json:"memory_mb"` // of all processes together, at most
	Processes     int             `json:"processes"`
	Clients       *run.Report     `json:"clients,omitempty"` // of the real gateways
	Faults        []string        `json:"faults"`
	begun         time.Time
	run           *Run
}

// Control is what gateways cost, of all roles together.
type Control struct {
	BytesOut *Dist `json:"bytes_out_per_s"`
	BytesIn  *Dist `json:"bytes_in_per_s"`
	Messages *Dist `json:"messages_per_s"` // sent
	Core     *Dist `json:"core_percent"`
	Memory   *Dist `json:"memory_mb"`
}

// Role is the mean over all gateways.
type Role struct {
	BytesOut   float64 `json:"bytes_out_per_s"`
	BytesIn    float64 `json:"bytes_in_per_s"`
	Messages   float64 `json:"messages_per_s"`
	MessagesIn float64 `json:"messages_in_per_s"`
}

// Window is the most that one gateway sent in any ten seconds.
type Window struct {
	BytesOut float64 `json:"bytes_out_per_s"`
	Gateway  string  `json:"gateway"`
	From     float64 `json:"from_s"`
	To       float64 `json:"to_s"`
	Role     string  `json:"most_by"`
	Over     int     `json:"gateways_over"` // the allowance, in some window
}

// Settled is how long all views took to be equal again; null where they were not before the next thing happened or the end.
type Settled struct {
	After string   `json:"after"`
	At    float64  `json:"at_s"`
	Took  *float64 `json:"took_s"`
}

// Positions are those that gateways know, and how old they are.
type Positions struct {
	Known float64  `json:"known_mean"`
	P50   *float64 `json:"stale_p50_s"` // means over gateways and moments
	P99   *float64 `json:"stale_p99_s"`
}

// Discovery is what it was asked.
type Discovery struct {
	Calls   float64 `json:"calls_per_s_max"` // in the measured time
	Early   float64 `json:"calls_per_s_max_settling"`
	Watches int     `json:"watches"` // at the end
}

// report computes it.
func (r *Run) report(partial bool) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.Plan
	out := &Report{
		Command: r.Command, Gateways: p.Gateways, Databases: p.Databases, Regions: len(p.Regions), Zones: len(p.Zones()), RTT: round(p.RTT.Between * 1000),
		RTTWithin: round(p.RTT.Within * 1000), Seed: p.Seed, Seconds: round(r.ended.Sub(r.begun).Seconds()), Settled: p.Settle.Seconds(), Real: p.Real, Load: p.Load.Statements, Skew: p.Load.Skew,
		Partial: partial, ByRole: map[string]Role{}, Faults: slices.Clone(r.failed), EarlyDeaths: r.early, begun: r.begun, run: r,
	}
	if len(p.Regions) == 1 {
		out.RTT = out.RTTWithin
	}
	r.rates(out)
	w := worst(r.gates, r.begun, p.Allowance.BytesOut)
	if w.gateway != "" {
		out.Window = Window{BytesOut: round(w.rate), Gateway: w.gateway, From: out.since(w.from), To: out.since(w.to), Role: w.role, Over: w.over}
	}
	if w.over > 0 {
		out.fail("%d of %d gateways sent over %.0f B/s in a window of %d s, %s most: %.0f B/s from %.0f s to %.0f s, mostly %s", w.over, p.Gateways,
			p.Allowance.BytesOut, windowSeconds, w.gateway, w.rate, out.Window.From, out.Window.To, w.role)
	}
	if c := out.Control.Core; c != nil && c.Mean > 100*p.Allowance.Core {
		out.fail("a gateway's control side takes %.2f%% of a core (mean), over %.2f%%", c.Mean, 100*p.Allowance.Core)
	}
	if m := out.Control.Memory; m != nil && m.Max > p.Allowance.MemoryMB {
		out.fail("a gateway has %.0f MB, over %.0f MB", m.Max, p.Allowance.MemoryMB)
	}
	of := map[string]bool{}
	for _, d := range r.deaths {
		of[d.of] = true
	}
	if out.FalseDeaths, out.FalseDeathsOf = len(r.deaths), len(of); len(r.deaths) > 0 {
		d := r.deaths[0]
		out.fail("%d times a gateway was told dead that lived (%d gateways), the first: %s by %s at %.1f s", len(r.deaths), len(of), d.of, d.by, out.since(d.at))
	}
	for _, s := range r.settlings {
		x := Settled{After: s.what, At: out.since(s.since)}
		if s.took > 0 {
			took := round(s.took.Seconds())
			x.Took = &took
		} else if !s.passed && !partial {
			out.fail("views are not equal at the end, %.0f s after %s", r.ended.Sub(s.since).Seconds(), s.what)
		}
		out.ViewsEqual = append(out.ViewsEqual, x)
	}
	r.lists(out, partial)
	r.watched(out)
	if r.load != nil {
		r.load.close()
		c := r.load.rec.Report(r.load.n, r.load.sent)
		world := r.world.Counts()
		c.World, c.Partial = world, false // the run ends them
		out.Clients = c
		if n := world.Duplicates; n > 0 {
			out.fail("%d writes ran twice", n)
		}
		if n := world.Stale; n > 0 {
			out.fail("%d reads were answered from data too old", n)
		}
		if n := c.Total.Counts[run.InvalidAnswer]; n > 0 {
			out.fail("%d requests had no answer, or two", n)
		}
	}
	if out.Faults == nil {
		out.Faults = []string{}
	}
	slices.Sort(out.Faults)
	out.Invalid = strings.Join(r.invalid, "; ")
	out.Valid = len(r.invalid) == 0
	return out
}

func (o *Report) fail(format string, args ...any) {
	o.Faults = append(o.Faults, fmt.Sprintf(format, args...))
}

// since is a moment in seconds of the measured time.
func (o *Report) since(at time.Time) float64 { return round(at.Sub(o.begun).Seconds()) }

// rates are the differences over the measured time.
func (r *Run) rates(out *Report) {
	var all, hollow, real control
	sums := map[string][4]float64{}
	n := 0
	for _, g := range r.gates {
		a, b := g.between(r.begun, r.ended)
		if b == nil || !b.at.After(a.at) {
			continue
		}
		n++
		s := b.at.Sub(a.at).Seconds()
		c := minus(b.total(), a.total())
		x := [5]float64{float64(c.OutBytes) / s, float64(c.InBytes) / s, float64(c.OutMessages) / s, (b.cpuMS - a.cpuMS) / s / 10, b.rss / 1e6}
		all.add(x)
		if g.real {
			real.add(x)
		} else {
			hollow.add(x)
		}
		for role, c := range b.roles {
			c = minus(c, a.roles[role])
			x := sums[role]
			for i, v := range []uint64{c.OutBytes, c.InBytes, c.OutMessages, c.InMessages} {
				x[i] += float64(v) / s
			}
			sums[role] = x
		}
	}
	for role, x := range sums {
		k := float64(n)
		out.ByRole[role] = Role{BytesOut: round(x[0] / k), BytesIn: round(x[1] / k), Messages: round(x[2] / k), MessagesIn: round(x[3] / k)}
	}
	out.Control = all.dist()
	if len(hollow[0]) > 0 {
		h := hollow.dist()
		out.Control.Core, out.Control.Memory = h.Core, h.Memory
	}
	if len(real[0]) > 0 {
		c := real.dist()
		out.RealOnes = &c
	}
	r.positions(out)
}

func (r *Run) positions(out *Report) {
	known, p50, p99, k, m := 0.0, 0.0, 0.0, 0.0, 0.0
	for _, g := range r.gates {
		for _, s := range g.samples {
			if s.at.Before(r.begun) || g.real {
				continue
			}
			known += float64(s.known)
			if k++; s.known > 0 {
				m++
				p50 += s.age[0] / 1000
				p99 += s.age[1] / 1000
			}
		}
	}
	if out.Positions.Known = round(known / max(1, k)); m > 0 {
		p50, p99 = round(p50/m), round(p99/m)
		out.Positions.P50, out.Positions.P99 = &p50, &p99
	}
}

// control collects figures of gateways.
type control [5][]float64

func (c *control) add(x [5]float64) {
	for i := range c {
		c[i] = append(c[i], x[i])
	}
}

func (c *control) dist() Control {
	return Control{BytesOut: distribution(c[0]), BytesIn: distribution(c[1]), Messages: distribution(c[2]), Core: distribution(c[3]), Memory: distribution(c[4])}
}

// between are the first and the last sample of a time.
func (g *gate) between(from, to time.Time) (a, b *sample) {
	for i := range g.samples {
		s := &g.samples[i]
		if s.at.Before(from) || s.at.After(to) {
			continue
		}
		if a == nil {
			a = s
		}
		b = s
	}
	return a, b
}

// lists are the changes of the list.
func (r *Run) lists(out *Report, partial bool) {
	var took []float64
	var late []string
	for _, c := range r.changes {
		took = append(took, c.took...)
		late = append(late, c.late...)
		if !c.whole && !partial && r.ended.Sub(c.at) > inForce+2*reportEvery {
			missing := 0
			for _, g := range r.gates {
				if g.live && !c.had[g.name] {
					missing++
				}
			}
			out.fail("%d gateways do not have list %d, %.0f s after the change", missing, c.seq, r.ended.Sub(c.at).Seconds())
		}
	}
	out.ListInForce = percentiles(took)
	if len(late) > 0 {
		out.fail("%d times a gateway had a change of the list later than %v after it, the report's second included: %s",
			len(late), inForce+reportEvery, strings.Join(late, ", "))
	}
}

// watched is what the run saw of itself and of discovery, and whether it may be believed.
func (r *Run) watched(out *Report) {
	p := r.Plan
	var relay []float64
	asked := 0
	for _, s := range r.seconds {
		calls := float64(s.asked - asked)
		asked = s.asked
		if s.at.Before(r.begun) {
			out.Discovery.Early = max(out.Discovery.Early, calls)
		} else if !s.at.After(r.ended) {
			out.Discovery.Calls = max(out.Discovery.Calls, calls)
			if s.late.Count > 0 {
				relay = append(relay, float64(s.late.P99)/1e6)
			}
			out.Discovery.Watches = s.watches
		}
		out.MemoryMB = max(out.MemoryMB, round(s.rss/1e6))
		out.Processes = max(out.Processes, s.processes)
		out.Relay = s.relay
	}
	if a := p.Allowance.Discovery; a > 0 && out.Discovery.Calls > a {
		out.fail("discovery was asked %.0f times in a second, over %.0f", out.Discovery.Calls, a)
	}
	out.Lateness, out.RelayLateness = distribution(slices.Clone(r.late)), distribution(relay)
	bound := float64(p.Limits.Lateness) / 1e6
	if l := out.Lateness; l != nil && l.P99 > bound {
		r.invalid = append(r.invalid, fmt.Sprintf("gateways' loops were late by %.1f ms (p99 of their most in each second), over %.0f ms", l.P99, bound))
	}
	if l := out.RelayLateness; l != nil && l.P99 > bound {
		r.invalid = append(r.invalid, fmt.Sprintf("the relay was late by %.1f ms (p99), over %.0f ms", l.P99, bound))
	}
	if n := out.Relay.Overflowed; n > 0 {
		r.invalid = append(r.invalid, fmt.Sprintf("%d datagrams came faster than the relay read", n))
	}
}

// ErrRun tells that a run is not a good one.
var ErrRun = errors.New("scale")

// Verdict is what a run's exit status says.
func (o *Report) Verdict() error {
	switch {
	case !o.Valid:
		return fmt.Errorf("%w: INVALID: %s", ErrRun, o.Invalid)
	case len(o.Faults) > 0:
		return fmt.Errorf("%w: %s", ErrRun, strings.Join(o.Faults, "; "))
	case o.Partial:
		return fmt.Errorf("%w: PARTIAL: the run was ended early", ErrRun)
	}
	return nil
}

// JSON writes it to a file.
func (o *Report) JSON(path string) error {
	text, err := json.MarshalIndent(o, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// Text writes it for a person.
func (o *Report) Text(w io.Writer) error {
	fmt.Fprintf(w, "%d gateways (%d of them real), %d databases, %d regions, %d zones, %g ms between regions, %g ms within; %.0f s after %.0f s to settle\n\n",
		o.Gateways, o.Real, o.Databases, o.Regions, o.Zones, o.RTT, o.RTTWithin, o.Seconds, o.Settled)
	t := tabwriter.NewWriter(w, 2, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "of a gateway\tmean\tp99\tmax\t\n")
	row := func(name string, d *Dist) {
		if d != nil {
			fmt.Fprintf(t, "%s\t%.4g\t%.4g\t%.4g\t\n", name, d.Mean, d.P99, d.Max)
		}
	}
	row("B/s sent", o.Control.BytesOut)
	row("B/s taken in", o.Control.BytesIn)
	row("messages/s sent", o.Control.Messages)
	row("% of a core", o.Control.Core)
	row("MB", o.Control.Memory)
	if c := o.RealOnes; c != nil {
		row("real: B/s sent", c.BytesOut)
		row("real: % of a core, clients included", c.Core)
		row("real: MB", c.Memory)
	}
	row("lateness, ms", o.Lateness)
	row("relay's lateness, ms", o.RelayLateness)
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	t = tabwriter.NewWriter(w, 2, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "role\tB/s sent\tB/s taken in\tmessages/s sent\tmessages/s taken in\t\n")
	for _, role := range slices.SortedFunc(maps.Keys(o.ByRole), func(a, b string) int { return cmp.Compare(o.ByRole[b].BytesOut, o.ByRole[a].BytesOut) }) {
		x := o.ByRole[role]
		fmt.Fprintf(t, "%s\t%.0f\t%.0f\t%.4g\t%.4g\t\n", role, x.BytesOut, x.BytesIn, x.Messages, x.MessagesIn)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "\nmost in ten seconds: %.0f B/s, %s from %.0f s to %.0f s, mostly %s; %d gateways had a window over the allowance\n",
		o.Window.BytesOut, o.Window.Gateway, o.Window.From, o.Window.To, o.Window.Role, o.Window.Over)
	for _, s := range o.ViewsEqual {
		took := "not before the next thing or the end"
		if s.Took != nil {
			took = fmt.Sprintf("in %.1f s", *s.Took)
		}
		fmt.Fprintf(w, "views equal after %s at %.0f s: %s\n", s.After, s.At, took)
	}
	if l := o.ListInForce; l != nil {
		fmt.Fprintf(w, "a change of the list known after: p50 %.1f s, p99 %.1f s, at most %.1f s (by reports of each second)\n", l.P50, l.P99, l.Max)
	}
	fmt.Fprintf(w, "false deaths: %d of %d gateways; %d while the fleet settled\n", o.FalseDeaths, o.FalseDeathsOf, o.EarlyDeaths)
	fmt.Fprintf(w, "positions known: %.0f", o.Positions.Known)
	if o.Positions.P50 != nil {
		fmt.Fprintf(w, ", old by %.2f s (p50), %.2f s (p99)", *o.Positions.P50, *o.Positions.P99)
	}
	fmt.Fprintf(w, "\ndiscovery: at most %.0f calls a second (%.0f while the fleet settled), %d watches\n", o.Discovery.Calls, o.Discovery.Early, o.Discovery.Watches)
	fmt.Fprintf(w, "relay: %d datagrams passed, %d lost, %d cut, %d unsent, %d foreign, %d overflowed; %d connections\n",
		o.Relay.Passed, o.Relay.Lost, o.Relay.Cut, o.Relay.Unsent, o.Relay.Foreign, o.Relay.Overflowed, o.Relay.Streams)
	fmt.Fprintf(w, "%.0f MB in %d processes\n", o.MemoryMB, o.Processes)
	if c := o.Clients; c != nil {
		n := c.Total.Counts
		fmt.Fprintf(w, "clients of the real gateways: %d sent, %d in aim, %d late, %d refused, %d failed\n", c.Sent, n[run.InAim], n[run.Late], n[run.Refused]+n[run.RefusedRetryAfter], n[run.Failed]+n[run.InvalidAnswer])
	}
	if o.Partial {
		fmt.Fprintln(w, "PARTIAL: the run was ended early")
	}
	if !o.Valid {
		fmt.Fprintln(w, "INVALID: "+o.Invalid)
	}
	for _, f := range o.Faults {
		fmt.Fprintln(w, "FAULT: "+f)
	}
	return nil
}

// Plots draws PREFIX-bytes.png, what a gateway sends by role, and PREFIX-lateness.png.
func (o *Report) Plots(prefix string) error {
	r := o.run
	r.mu.Lock()
	defer r.mu.Unlock()
	bytes := plot.New()
	bytes.Title.Text, bytes.X.Label.Text, bytes.Y.Label.Text = "Sent by a gateway, mean of all", "s", "B/s"
	var lines []any
	for _, role := range slices.Sorted(maps.Keys(o.ByRole)) {
		if o.ByRole[role].BytesOut > 0 {
			lines = append(lines, role, r.series(role))
		}
	}
	if err := plotutil.AddLines(bytes, lines...); err != nil {
		return err
	}
	bytes.Legend.Top = true
	if err := o.mark(bytes); err != nil {
		return err
	}
	if err := bytes.Save(24*vg.Centimeter, 12*vg.Centimeter, prefix+"-bytes.png"); err != nil {
		return err
	}
	late := plot.New()
	late.Title.Text, late.X.Label.Text, late.Y.Label.Text = "Lateness of the run itself", "s", "ms"
	var own, relay plotter.XYs
	for _, s := range r.seconds {
		x := s.at.Sub(o.begun).Seconds()
		own, relay = append(own, plotter.XY{X: x, Y: s.ownLate}), append(relay, plotter.XY{X: x, Y: float64(s.late.P99) / 1e6})
	}
	if err := plotutil.AddLines(late, "this process, most", own, "relay, p99", relay); err != nil {
		return err
	}
	late.Legend.Top = true
	return late.Save(24*vg.Centimeter, 10*vg.Centimeter, prefix+"-lateness.png")
}

// series is what gateways sent of a role in each second, the mean of all.
func (r *Run) series(role string) (xy plotter.XYs) {
	sums := map[int]float64{}
	for _, g := range r.gates {
		for i := 1; i < len(g.samples); i++ {
			a, b := &g.samples[i-1], &g.samples[i]
			if s := b.at.Sub(a.at).Seconds(); s > 0 {
				sums[int(math.Floor(b.at.Sub(r.begun).Seconds()))] += float64(minus(b.roles[role], a.roles[role]).OutBytes) / s
			}
		}
	}
	for _, x := range slices.Sorted(maps.Keys(sums)) {
		xy = append(xy, plotter.XY{X: float64(x), Y: sums[x] / float64(len(r.gates))})
	}
	return xy
}

// mark draws a line where something happened.
func (o *Report) mark(p *plot.Plot) error {
	var at plotter.XYLabels
	list := slices.Clone(o.ViewsEqual)
	for _, c := range o.run.cuts {
		list = append(list, Settled{After: "cut", At: o.since(c.from)})
	}
	for _, s := range list {
		line, err := plotter.NewLine(plotter.XYs{{X: s.At, Y: 0}, {X: s.At, Y: p.Y.Max}})
		if err != nil {
			return err
		}
		line.Dashes = []vg.Length{vg.Points(2), vg.Points(3)}
		p.Add(line)
		at.XYs, at.Labels = append(at.XYs, plotter.XY{X: s.At, Y: p.Y.Max}), append(at.Labels, strings.Join(strings.Fields(s.After)[:1], ""))
	}
	if len(at.XYs) == 0 {
		return nil
	}
	labels, err := plotter.NewLabels(at)
	if err == nil {
		p.Add(labels)
	}
	return err
}
