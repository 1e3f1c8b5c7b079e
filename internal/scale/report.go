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

// Distribution and Percentiles summarize a figure over gateways or times.
type (
	Distribution struct {
		Mean float64 `json:"mean"`
		P99  float64 `json:"p99"`
		Max  float64 `json:"max"`
	}
	Percentiles struct {
		P50 float64 `json:"p50"`
		P99 float64 `json:"p99"`
		Max float64 `json:"max"`
	}
)

// Report is the result of a run. Rates are over the measured time, which begins after the fleet's settling time.
type Report struct {
	Command          string  `json:"command"`
	Gateways         int     `json:"gateways"`
	Databases        int     `json:"databases"`
	Regions          int     `json:"regions"`
	Zones            int     `json:"zones"`
	RTTMS            float64 `json:"rtt_ms"` // between regions; within the region, if there is only one
	RTTWithinMS      float64 `json:"rtt_within_ms"`
	Seed             uint64  `json:"seed"`
	Seconds          float64 `json:"seconds"`
	SettleSeconds    float64 `json:"settle_seconds"`
	RealGatewayCount int     `json:"real"`
	StatementsPerS   float64 `json:"statements_per_s"` // in each hollow gateway
	Skew             float64 `json:"skew"`
	Valid            bool    `json:"valid"`
	InvalidReason    string  `json:"invalid_because,omitempty"`
	Partial          bool    `json:"partial"`

	Control             Control           `json:"control"` // bytes and messages over all gateways; core and memory over hollow ones, if there are any
	RealGateways        *Control          `json:"real_gateways,omitempty"`
	ByRole              map[string]Role   `json:"by_role"`
	PeakWindow          Window            `json:"window"`
	ConfigInForce       *Percentiles      `json:"in_force_s"`       // for a change of the configuration; always null, as the fleet distributes none
	PrimaryChange       *Percentiles      `json:"primary_change_s"` // until the first write; always null, as it isn't measured
	ListInForce         *Percentiles      `json:"list_in_force_s"`  // from a change at discovery to a gateway's report that has it
	ViewsEqual          []ViewConvergence `json:"views_equal"`      // after each event
	FalseDeaths         int               `json:"false_deaths"`     // declared by gateways in the measured time
	FalseDeathsOf       int               `json:"false_deaths_of"`  // number of gateways wrongly declared dead
	SettlingFalseDeaths int               `json:"false_deaths_settling"`
	Positions           Positions         `json:"positions"`
	Discovery           Discovery         `json:"discovery"`
	LatenessMS          *Distribution     `json:"lateness_ms"` // per second: each gateway's maximum, and the larger of the run's own maximum and the relay's p99
	RelayLatenessMS     *Distribution     `json:"relay_lateness_ms"`
	Relay               wan.Counts        `json:"relay"`     // since its start
	MemoryMB            float64           `json:"memory_mb"` // maximum of the sum over all processes
	Processes           int               `json:"processes"`
	Clients             *run.Report       `json:"clients,omitempty"` // of the real gateways
	Faults              []string          `json:"faults"`
	measuredFrom        time.Time
	run                 *Run
}

// Control is the cost of a gateway, over all roles.
type Control struct {
	BytesOut    *Distribution `json:"bytes_out_per_s"`
	BytesIn     *Distribution `json:"bytes_in_per_s"`
	Messages    *Distribution `json:"messages_per_s"` // sent
	CorePercent *Distribution `json:"core_percent"`
	MemoryMB    *Distribution `json:"memory_mb"`
}

// Role is the mean over all gateways.
type Role struct {
	BytesOut   float64 `json:"bytes_out_per_s"`
	BytesIn    float64 `json:"bytes_in_per_s"`
	Messages   float64 `json:"messages_per_s"`
	MessagesIn float64 `json:"messages_in_per_s"`
}

// Window is the highest rate at which one gateway sent in any window of windowSeconds.
type Window struct {
	BytesOut     float64 `json:"bytes_out_per_s"`
	Gateway      string  `json:"gateway"`
	From         float64 `json:"from_s"`
	To           float64 `json:"to_s"`
	Role         string  `json:"most_by"`
	GatewaysOver int     `json:"gateways_over"` // gateways over the allowance in some window
}

// ViewConvergence is the time until all views were equal again after an event; null where they were not before the next event or the end.
type ViewConvergence struct {
	After string   `json:"after"`
	At    float64  `json:"at_s"`
	Took  *float64 `json:"took_s"`
}

// Positions is the number of positions that a gateway knows, and their age.
type Positions struct {
	Known  float64  `json:"known_mean"`
	AgeP50 *float64 `json:"stale_p50_s"` // mean over gateways and samples
	AgeP99 *float64 `json:"stale_p99_s"`
}

// Discovery is the load at discovery.
type Discovery struct {
	MaxCallsPerS         float64 `json:"calls_per_s_max"` // in the measured time
	MaxSettlingCallsPerS float64 `json:"calls_per_s_max_settling"`
	Watches              int     `json:"watches"` // at the end
}

// report computes the run's report.
func (r *Run) report(partial bool) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	plan := r.Plan
	out := &Report{
		Command: r.CommandLine, Gateways: plan.Gateways, Databases: plan.Databases, Regions: len(plan.Regions), Zones: len(plan.Zones()), RTTMS: roundTo4Digits(plan.RTT.Between * 1000),
		RTTWithinMS: roundTo4Digits(plan.RTT.Within * 1000), Seed: plan.Seed, Seconds: roundTo4Digits(r.measuredTo.Sub(r.measuredFrom).Seconds()), SettleSeconds: plan.Settle.Seconds(), RealGatewayCount: plan.RealGateways, StatementsPerS: plan.Load.StatementsPerS, Skew: plan.Load.Skew,
		Partial: partial, ByRole: map[string]Role{}, Faults: slices.Clone(r.failures), SettlingFalseDeaths: r.settlingFalseDeaths, measuredFrom: r.measuredFrom, run: r,
	}
	if len(plan.Regions) == 1 {
		out.RTTMS = out.RTTWithinMS
	}
	r.reportRates(out)
	peak := findPeakWindow(r.gateways, r.measuredFrom, plan.Allowance.BytesOutPerS)
	if peak.gateway != "" {
		out.PeakWindow = Window{BytesOut: roundTo4Digits(peak.rate), Gateway: peak.gateway, From: out.secondsSince(peak.from), To: out.secondsSince(peak.to), Role: peak.role, GatewaysOver: peak.gatewaysOver}
	}
	if peak.gatewaysOver > 0 {
		out.addFault("%d of %d gateways sent over %.0f B/s in a window of %d s, most by %s: %.0f B/s from %.0f s to %.0f s, mostly %s", peak.gatewaysOver, plan.Gateways,
			plan.Allowance.BytesOutPerS, windowSeconds, peak.gateway, peak.rate, out.PeakWindow.From, out.PeakWindow.To, peak.role)
	}
	if core := out.Control.CorePercent; core != nil && core.Mean > 100*plan.Allowance.CoreShare {
		out.addFault("a gateway's control side uses %.2f%% of a core (mean), over %.2f%%", core.Mean, 100*plan.Allowance.CoreShare)
	}
	if memory := out.Control.MemoryMB; memory != nil && memory.Max > plan.Allowance.MemoryMB {
		out.addFault("a gateway uses %.0f MB, over %.0f MB", memory.Max, plan.Allowance.MemoryMB)
	}
	declaredDead := map[string]bool{}
	for _, death := range r.falseDeaths {
		declaredDead[death.of] = true
	}
	if out.FalseDeaths, out.FalseDeathsOf = len(r.falseDeaths), len(declaredDead); len(r.falseDeaths) > 0 {
		first := r.falseDeaths[0]
		out.addFault("live gateways were declared dead %d times (%d gateways), first: %s by %s at %.1f s", len(r.falseDeaths), len(declaredDead), first.of, first.by, out.secondsSince(first.reportedAt))
	}
	for _, convergence := range r.convergences {
		settled := ViewConvergence{After: convergence.description, At: out.secondsSince(convergence.since)}
		if convergence.took > 0 {
			took := roundTo4Digits(convergence.took.Seconds())
			settled.Took = &took
		} else if !convergence.superseded && !partial {
			out.addFault("views are not equal at the end, %.0f s after %s", r.measuredTo.Sub(convergence.since).Seconds(), convergence.description)
		}
		out.ViewsEqual = append(out.ViewsEqual, settled)
	}
	r.reportListDelays(out, partial)
	r.reportRunItself(out)
	if r.clients != nil {
		r.clients.close()
		clients := r.clients.recorder.Report(r.clients.arrivalCount, r.clients.sent)
		world := r.world.Counts()
		clients.World, clients.Partial = world, false // the run itself ends the load
		out.Clients = clients
		if n := world.Duplicates; n > 0 {
			out.addFault("%d writes ran twice", n)
		}
		if n := world.Stale; n > 0 {
			out.addFault("%d reads were answered from data older than their bound", n)
		}
		if n := clients.Total.Counts[run.InvalidAnswer]; n > 0 {
			out.addFault("%d requests had no answer or two", n)
		}
	}
	if out.Faults == nil {
		out.Faults = []string{}
	}
	slices.Sort(out.Faults)
	out.InvalidReason = strings.Join(r.invalidReasons, "; ")
	out.Valid = len(r.invalidReasons) == 0
	return out
}

func (o *Report) addFault(format string, args ...any) {
	o.Faults = append(o.Faults, fmt.Sprintf(format, args...))
}

// secondsSince returns the seconds from the start of the measured time to at.
func (o *Report) secondsSince(at time.Time) float64 {
	return roundTo4Digits(at.Sub(o.measuredFrom).Seconds())
}

// reportRates fills in what gateways sent, received and used per second of the measured time.
func (r *Run) reportRates(out *Report) {
	var all, hollow, real controlFigures
	sums := map[string][4]float64{}
	count := 0
	for _, g := range r.gateways {
		first, last := g.samplesBetween(r.measuredFrom, r.measuredTo)
		if last == nil || !last.at.After(first.at) {
			continue
		}
		count++
		seconds := last.at.Sub(first.at).Seconds()
		traffic := subtractTraffic(last.totalTraffic(), first.totalTraffic())
		figures := [5]float64{float64(traffic.OutBytes) / seconds, float64(traffic.InBytes) / seconds, float64(traffic.OutMessages) / seconds, (last.cpuMS - first.cpuMS) / seconds / 10, last.rssBytes / 1e6}
		all.add(figures)
		if g.real {
			real.add(figures)
		} else {
			hollow.add(figures)
		}
		for role, roleTraffic := range last.roles {
			roleTraffic = subtractTraffic(roleTraffic, first.roles[role])
			sum := sums[role]
			for i, v := range []uint64{roleTraffic.OutBytes, roleTraffic.InBytes, roleTraffic.OutMessages, roleTraffic.InMessages} {
				sum[i] += float64(v) / seconds
			}
			sums[role] = sum
		}
	}
	for role, sum := range sums {
		gateways := float64(count)
		out.ByRole[role] = Role{BytesOut: roundTo4Digits(sum[0] / gateways), BytesIn: roundTo4Digits(sum[1] / gateways), Messages: roundTo4Digits(sum[2] / gateways), MessagesIn: roundTo4Digits(sum[3] / gateways)}
	}
	out.Control = all.summary()
	if len(hollow[0]) > 0 {
		h := hollow.summary()
		out.Control.CorePercent, out.Control.MemoryMB = h.CorePercent, h.MemoryMB
	}
	if len(real[0]) > 0 {
		c := real.summary()
		out.RealGateways = &c
	}
	r.reportPositions(out)
}

func (r *Run) reportPositions(out *Report) {
	knownSum, p50Sum, p99Sum, samples, samplesWithPositions := 0.0, 0.0, 0.0, 0.0, 0.0
	for _, g := range r.gateways {
		for _, s := range g.samples {
			if s.at.Before(r.measuredFrom) || g.real {
				continue
			}
			knownSum += float64(s.knownPositions)
			if samples++; s.knownPositions > 0 {
				samplesWithPositions++
				p50Sum += s.positionAgeMS[0] / 1000
				p99Sum += s.positionAgeMS[1] / 1000
			}
		}
	}
	if out.Positions.Known = roundTo4Digits(knownSum / max(1, samples)); samplesWithPositions > 0 {
		p50Sum, p99Sum = roundTo4Digits(p50Sum/samplesWithPositions), roundTo4Digits(p99Sum/samplesWithPositions)
		out.Positions.AgeP50, out.Positions.AgeP99 = &p50Sum, &p99Sum
	}
}

// controlFigures collects the figures of Control, one of each per gateway.
type controlFigures [5][]float64

func (c *controlFigures) add(x [5]float64) {
	for i := range c {
		c[i] = append(c[i], x[i])
	}
}

func (c *controlFigures) summary() Control {
	return Control{BytesOut: newDistribution(c[0]), BytesIn: newDistribution(c[1]), Messages: newDistribution(c[2]), CorePercent: newDistribution(c[3]), MemoryMB: newDistribution(c[4])}
}

// samplesBetween returns the first and the last sample of a period.
func (g *gatewayState) samplesBetween(from, to time.Time) (first, last *sample) {
	for i := range g.samples {
		s := &g.samples[i]
		if s.at.Before(from) || s.at.After(to) {
			continue
		}
		if first == nil {
			first = s
		}
		last = s
	}
	return first, last
}

// reportListDelays fills in how long gateways took to get changes of the list.
func (r *Run) reportListDelays(out *Report, partial bool) {
	var delays []float64
	var lateGateways []string
	for _, change := range r.listChanges {
		delays = append(delays, change.delays...)
		lateGateways = append(lateGateways, change.lateGateways...)
		if !change.complete && !partial && r.measuredTo.Sub(change.changedAt) > maxListDelay+2*reportInterval {
			missing := 0
			for _, g := range r.gateways {
				if g.live && !change.receivedBy[g.name] {
					missing++
				}
			}
			out.addFault("%d gateways do not have list %d, %.0f s after the change", missing, change.version, r.measuredTo.Sub(change.changedAt).Seconds())
		}
	}
	out.ListInForce = newPercentiles(delays)
	if len(lateGateways) > 0 {
		out.addFault("%d times a gateway got a change of the list later than %v after it, the report interval included: %s",
			len(lateGateways), maxListDelay+reportInterval, strings.Join(lateGateways, ", "))
	}
}

// reportRunItself fills in the load of discovery and the run's own resource use, and whether the run is valid.
func (r *Run) reportRunItself(out *Report) {
	plan := r.Plan
	var relayP99MS []float64
	previousCalls := 0
	for _, sample := range r.runSamples {
		calls := float64(sample.discoveryCalls - previousCalls)
		previousCalls = sample.discoveryCalls
		if sample.at.Before(r.measuredFrom) {
			out.Discovery.MaxSettlingCallsPerS = max(out.Discovery.MaxSettlingCallsPerS, calls)
		} else if !sample.at.After(r.measuredTo) {
			out.Discovery.MaxCallsPerS = max(out.Discovery.MaxCallsPerS, calls)
			if sample.lateness.Count > 0 {
				relayP99MS = append(relayP99MS, float64(sample.lateness.P99)/1e6)
			}
			out.Discovery.Watches = sample.watches
		}
		out.MemoryMB = max(out.MemoryMB, roundTo4Digits(sample.rssBytes/1e6))
		out.Processes = max(out.Processes, sample.processes)
		out.Relay = sample.relay
	}
	if allowance := plan.Allowance.DiscoveryCallsPerS; allowance > 0 && out.Discovery.MaxCallsPerS > allowance {
		out.addFault("discovery got %.0f calls in a second, over %.0f", out.Discovery.MaxCallsPerS, allowance)
	}
	out.LatenessMS, out.RelayLatenessMS = newDistribution(slices.Clone(r.lagSamples)), newDistribution(relayP99MS)
	limitMS := float64(plan.Limits.Lateness) / 1e6
	if lateness := out.LatenessMS; lateness != nil && lateness.P99 > limitMS {
		r.invalidReasons = append(r.invalidReasons, fmt.Sprintf("gateways' event loops were late by %.1f ms (p99 of their maxima per second), over %.0f ms", lateness.P99, limitMS))
	}
	if l := out.RelayLatenessMS; l != nil && l.P99 > limitMS {
		r.invalidReasons = append(r.invalidReasons, fmt.Sprintf("the relay was late by %.1f ms (p99), over %.0f ms", l.P99, limitMS))
	}
	if n := out.Relay.Overflowed; n > 0 {
		r.invalidReasons = append(r.invalidReasons, fmt.Sprintf("%d datagrams overflowed the relay's receive buffer", n))
	}
}

// ErrBadRun is wrapped by every error of Report.Verdict.
var ErrBadRun = errors.New("scale")

// Verdict returns nil for a valid, complete run without faults, else an error that says what is wrong.
func (o *Report) Verdict() error {
	switch {
	case !o.Valid:
		return fmt.Errorf("%w: INVALID: %s", ErrBadRun, o.InvalidReason)
	case len(o.Faults) > 0:
		return fmt.Errorf("%w: %s", ErrBadRun, strings.Join(o.Faults, "; "))
	case o.Partial:
		return fmt.Errorf("%w: PARTIAL: the run was ended early", ErrBadRun)
	}
	return nil
}

// WriteJSON writes the report to a file.
func (o *Report) WriteJSON(path string) error {
	text, err := json.MarshalIndent(o, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// WriteText writes the report in a readable form.
func (o *Report) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "%d gateways (%d of them real), %d databases, %d regions, %d zones, %g ms between regions, %g ms within; %.0f s after %.0f s to settle\n\n",
		o.Gateways, o.RealGatewayCount, o.Databases, o.Regions, o.Zones, o.RTTMS, o.RTTWithinMS, o.Seconds, o.SettleSeconds)
	table := tabwriter.NewWriter(w, 2, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "of a gateway\tmean\tp99\tmax\t\n")
	row := func(name string, dist *Distribution) {
		if dist != nil {
			fmt.Fprintf(table, "%s\t%.4g\t%.4g\t%.4g\t\n", name, dist.Mean, dist.P99, dist.Max)
		}
	}
	row("B/s sent", o.Control.BytesOut)
	row("B/s received", o.Control.BytesIn)
	row("messages/s sent", o.Control.Messages)
	row("% of a core", o.Control.CorePercent)
	row("MB", o.Control.MemoryMB)
	if real := o.RealGateways; real != nil {
		row("real: B/s sent", real.BytesOut)
		row("real: % of a core, clients included", real.CorePercent)
		row("real: MB", real.MemoryMB)
	}
	row("lateness, ms", o.LatenessMS)
	row("relay's lateness, ms", o.RelayLatenessMS)
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	table = tabwriter.NewWriter(w, 2, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "role\tB/s sent\tB/s received\tmessages/s sent\tmessages/s received\t\n")
	for _, role := range slices.SortedFunc(maps.Keys(o.ByRole), func(a, b string) int { return cmp.Compare(o.ByRole[b].BytesOut, o.ByRole[a].BytesOut) }) {
		figures := o.ByRole[role]
		fmt.Fprintf(table, "%s\t%.0f\t%.0f\t%.4g\t%.4g\t\n", role, figures.BytesOut, figures.BytesIn, figures.Messages, figures.MessagesIn)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "\nmaximum over 10 s: %.0f B/s, %s from %.0f s to %.0f s, mostly %s; %d gateways had a window over the allowance\n",
		o.PeakWindow.BytesOut, o.PeakWindow.Gateway, o.PeakWindow.From, o.PeakWindow.To, o.PeakWindow.Role, o.PeakWindow.GatewaysOver)
	for _, s := range o.ViewsEqual {
		result := "not before the next event or the end"
		if s.Took != nil {
			result = fmt.Sprintf("in %.1f s", *s.Took)
		}
		fmt.Fprintf(w, "views equal after %s at %.0f s: %s\n", s.After, s.At, result)
	}
	if delays := o.ListInForce; delays != nil {
		fmt.Fprintf(w, "a change of the list known after: p50 %.1f s, p99 %.1f s, at most %.1f s (as reported each second)\n", delays.P50, delays.P99, delays.Max)
	}
	fmt.Fprintf(w, "false deaths: %d of %d gateways; %d while the fleet settled\n", o.FalseDeaths, o.FalseDeathsOf, o.SettlingFalseDeaths)
	fmt.Fprintf(w, "positions known: %.0f", o.Positions.Known)
	if o.Positions.AgeP50 != nil {
		fmt.Fprintf(w, ", age %.2f s (p50), %.2f s (p99)", *o.Positions.AgeP50, *o.Positions.AgeP99)
	}
	fmt.Fprintf(w, "\ndiscovery: at most %.0f calls a second (%.0f while the fleet settled), %d watches\n", o.Discovery.MaxCallsPerS, o.Discovery.MaxSettlingCallsPerS, o.Discovery.Watches)
	fmt.Fprintf(w, "relay: %d datagrams passed, %d lost, %d cut, %d unsent, %d foreign, %d overflowed; %d connections\n",
		o.Relay.Passed, o.Relay.Lost, o.Relay.Cut, o.Relay.Unsent, o.Relay.Foreign, o.Relay.Overflowed, o.Relay.Streams)
	fmt.Fprintf(w, "%.0f MB in %d processes\n", o.MemoryMB, o.Processes)
	if c := o.Clients; c != nil {
		counts := c.Total.Counts
		fmt.Fprintf(w, "clients of the real gateways: %d sent, %d in aim, %d late, %d refused, %d failed\n", c.Sent, counts[run.InAim], counts[run.Late], counts[run.Refused]+counts[run.RefusedRetryAfter], counts[run.Failed]+counts[run.InvalidAnswer])
	}
	if o.Partial {
		fmt.Fprintln(w, "PARTIAL: the run was ended early")
	}
	if !o.Valid {
		fmt.Fprintln(w, "INVALID: "+o.InvalidReason)
	}
	for _, f := range o.Faults {
		fmt.Fprintln(w, "FAULT: "+f)
	}
	return nil
}

// WritePlots draws PREFIX-bytes.png, the bytes that a gateway sends by role, and PREFIX-lateness.png.
func (o *Report) WritePlots(prefix string) error {
	run := o.run
	run.mu.Lock()
	defer run.mu.Unlock()
	bytes := plot.New()
	bytes.Title.Text, bytes.X.Label.Text, bytes.Y.Label.Text = "Sent by a gateway, mean of all", "s", "B/s"
	var lines []any
	for _, role := range slices.Sorted(maps.Keys(o.ByRole)) {
		if o.ByRole[role].BytesOut > 0 {
			lines = append(lines, role, run.sentSeries(role))
		}
	}
	if err := plotutil.AddLines(bytes, lines...); err != nil {
		return err
	}
	bytes.Legend.Top = true
	if err := o.drawEvents(bytes); err != nil {
		return err
	}
	if err := bytes.Save(24*vg.Centimeter, 12*vg.Centimeter, prefix+"-bytes.png"); err != nil {
		return err
	}
	lateness := plot.New()
	lateness.Title.Text, lateness.X.Label.Text, lateness.Y.Label.Text = "Lateness of the run itself", "s", "ms"
	var own, relay plotter.XYs
	for _, s := range run.runSamples {
		x := s.at.Sub(o.measuredFrom).Seconds()
		own, relay = append(own, plotter.XY{X: x, Y: s.maxOwnLagMS}), append(relay, plotter.XY{X: x, Y: float64(s.lateness.P99) / 1e6})
	}
	if err := plotutil.AddLines(lateness, "this process, maximum", own, "relay, p99", relay); err != nil {
		return err
	}
	lateness.Legend.Top = true
	return lateness.Save(24*vg.Centimeter, 10*vg.Centimeter, prefix+"-lateness.png")
}

// sentSeries returns the bytes per second of a role, the mean over all gateways, in each second.
func (r *Run) sentSeries(role string) (points plotter.XYs) {
	sums := map[int]float64{}
	for _, g := range r.gateways {
		for i := 1; i < len(g.samples); i++ {
			previous, current := &g.samples[i-1], &g.samples[i]
			if seconds := current.at.Sub(previous.at).Seconds(); seconds > 0 {
				sums[int(math.Floor(current.at.Sub(r.measuredFrom).Seconds()))] += float64(subtractTraffic(current.roles[role], previous.roles[role]).OutBytes) / seconds
			}
		}
	}
	for _, x := range slices.Sorted(maps.Keys(sums)) {
		points = append(points, plotter.XY{X: float64(x), Y: sums[x] / float64(len(r.gateways))})
	}
	return points
}

// drawEvents draws a vertical line at each event and cut.
func (o *Report) drawEvents(plot *plot.Plot) error {
	var labelPoints plotter.XYLabels
	list := slices.Clone(o.ViewsEqual)
	for _, c := range o.run.cuts {
		list = append(list, ViewConvergence{After: "cut", At: o.secondsSince(c.from)})
	}
	for _, s := range list {
		line, err := plotter.NewLine(plotter.XYs{{X: s.At, Y: 0}, {X: s.At, Y: plot.Y.Max}})
		if err != nil {
			return err
		}
		line.Dashes = []vg.Length{vg.Points(2), vg.Points(3)}
		plot.Add(line)
		labelPoints.XYs, labelPoints.Labels = append(labelPoints.XYs, plotter.XY{X: s.At, Y: plot.Y.Max}), append(labelPoints.Labels, strings.Join(strings.Fields(s.After)[:1], ""))
	}
	if len(labelPoints.XYs) == 0 {
		return nil
	}
	labels, err := plotter.NewLabels(labelPoints)
	if err == nil {
		plot.Add(labels)
	}
	return err
}
