package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// formatNumber formats a number with three significant digits, four from 1,000 on.
func formatNumber(x float64) string {
	digits := 3
	if math.Abs(x) >= 1000 {
		digits = 4
	}
	if x == 0 {
		return "0"
	}
	if r := math.Round(x); math.Abs(x-r) < 1e-9 && math.Abs(x) < 1e5 {
		return groupThousands(strconv.FormatFloat(r, 'f', 0, 64))
	}
	s := strconv.FormatFloat(x, 'e', digits-1, 64)
	y, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return s
	}
	return groupThousands(strconv.FormatFloat(y, 'f', -1, 64))
}

func groupThousands(s string) string {
	whole, rest, dot := strings.Cut(s, ".")
	sign := ""
	if strings.HasPrefix(whole, "-") {
		sign, whole = "-", whole[1:]
	}
	for i := len(whole) - 3; i > 0; i -= 3 {
		whole = whole[:i] + "," + whole[i:]
	}
	if dot {
		whole += "." + rest
	}
	return sign + whole
}

func formatWithUnit(x float64, unit string) string {
	switch {
	case unit == "":
		return formatNumber(x)
	case strings.HasPrefix(unit, "/"), strings.HasPrefix(unit, "%"):
		return formatNumber(x) + unit
	}
	return formatNumber(x) + " " + unit
}

// cell formats a value with its origin.
func (f Figure) cell(s Size) string {
	v := f.At(s)
	text := kindNames[v.Kind]
	if v.known() {
		text = formatWithUnit(v.X, f.Unit) + ", " + text
	}
	if v.Note != "" {
		text += " (" + v.Note + ")"
	}
	return text
}

// slopeText formats a slope with its unit and variable.
func slopeText(l Slope, unit string) string {
	if l.Variable == None {
		return "flat: " + formatWithUnit(l.Intercept, unit)
	}
	collinear := ""
	for _, v := range l.Correlated {
		collinear += " or " + string(v)
	}
	return fmt.Sprintf("%s for each %s%s, from %s", formatWithUnit(l.Per, unit), l.Variable, collinear, formatWithUnit(l.Intercept, unit))
}

// slopeCell formats the slope at the target's regions, or else today's; or the formula.
func (f Figure) slopeCell() string {
	if f.Slope == nil {
		if f.Formula == "" {
			return "none"
		}
		return f.Formula
	}
	for _, n := range []int{Target.Regions, Today.Regions} {
		if l, ok := f.Slope(n); ok {
			return fmt.Sprintf("%s; residual %.1f%%", slopeText(l, f.Unit), 100*l.Residual)
		}
	}
	return "none fitted"
}

func (f Figure) allowanceCell() string {
	switch {
	case f.AllowanceText != "":
		return f.AllowanceText
	case !f.Bounded:
		return "none told"
	}
	return formatWithUnit(f.Allowance, f.Unit)
}

// fitText states whether a value is within the allowance, and the margin.
func (f Figure) fitText(v Value) string {
	switch {
	case !f.Bounded:
		return ""
	case !v.known():
		return kindNames[v.Kind]
	case v.X > f.Allowance && f.Allowance == 0:
		return "does not fit"
	case v.X > f.Allowance:
		return "does not fit, " + formatNumber(v.X/f.Allowance) + " times"
	case f.Allowance == 0 || v.X == 0:
		return "fits"
	}
	return "fits, " + formatNumber(100*(1-v.X/f.Allowance)) + "% left"
}

func (f Figure) marginCell() string {
	if !f.Bounded {
		return "-"
	}
	at, worst := f.fitText(f.At(Target)), f.fitText(f.At(Worst))
	if f.At(Worst).OtherSize {
		worst = "not run at its size"
	}
	if at == worst {
		return at
	}
	return at + "; worst hour: " + worst
}

func writeRow(b *strings.Builder, cells ...string) {
	b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

func writeHeader(b *strings.Builder, cells ...string) {
	writeRow(b, cells...)
	writeRow(b, slices.Repeat([]string{"---"}, len(cells))...)
}

func (p Part) table() string {
	var b strings.Builder
	writeHeader(&b, "what", "today", "target", "worst hour", "slope or formula", "allowance", "margin at the target", "mechanism")
	for _, f := range p.Figures {
		writeRow(&b, f.Name, f.cell(Today), f.cell(Target), f.cell(Worst), f.slopeCell(), f.allowanceCell(), f.marginCell(), f.Mechanism)
	}
	return b.String()
}

func sizesTable() string {
	var b strings.Builder
	writeHeader(&b, "", "gateways G", "databases D", "regions", "connections a gateway C", "statements/s a gateway S")
	for _, s := range append([]Size{Today, Target, Worst}, worstHourCases...) {
		name := s.Name
		if !slices.Contains([]string{Today.Name, Target.Name, Worst.Name}, name) {
			name = "in it: " + name
		}
		clients, statements := formatNumber(math.Round(s.Connections)), formatNumber(math.Round(s.Statements))
		if s.Connections == 0 {
			clients, statements = "not known", "not known"
		}
		writeRow(&b, name, formatNumber(s.Gateways), formatNumber(s.Databases), strconv.Itoa(s.Regions), clients, statements)
	}
	return b.String()
}

// slopesTable lists every fitted slope.
func (st *dataset) slopesTable() string {
	var b strings.Builder
	writeHeader(&b, "figure", "runs", "slope", "variable", "intercept", "residual", "sizes, runs")
	fitted := 0
	add := func(name, unit, set string, l Slope) {
		of := string(l.Variable)
		for _, v := range l.Correlated {
			of += " (" + string(v) + " moved in step)"
		}
		unitPer := "-"
		if l.Variable != None {
			unitPer = formatWithUnit(l.Per, unit) + " for each"
		}
		writeRow(&b, name, set, unitPer, of, formatWithUnit(l.Intercept, unit), fmt.Sprintf("%.1f%%", 100*l.Residual), fmt.Sprintf("%d, %d", l.Sizes, l.Runs))
		fitted++
	}
	for _, p := range st.parts() {
		for _, f := range p.Figures {
			if f.Slope == nil {
				continue
			}
			if set := map[string]string{"gateway": "data path", "tool": "the tool"}[p.Name]; set != "" {
				if l, ok := f.Slope(0); ok {
					add(f.Name, f.Unit, set, l)
				}
				continue
			}
			for _, n := range []int{Today.Regions, Target.Regions} {
				if l, ok := f.Slope(n); ok {
					set := st.fitRuns(n)[0]
					add(f.Name, f.Unit, fmt.Sprintf("`%s`, %s, %s ms", set.planName(), regions(n), formatNumber(set.RTT)), l)
				}
			}
		}
	}
	if fitted == 0 {
		return "No slope is fitted: not run over four sizes.\n"
	}
	return b.String()
}

// breaksTable lists the exceeded figures in the order in which growth reaches them.
func (st *dataset) breaksTable() string {
	list, undetermined := st.breaks()
	var b strings.Builder
	if len(list) == 0 {
		b.WriteString("Nothing that was measured or computed does not fit.\n")
	} else {
		writeHeader(&b, "", "breaks at", "what", "there", "allowance", "at the target", "mechanism")
		rank := 0
		for _, x := range list {
			place, at := "-", "missing at any size" // growth doesn't reach it
			if !x.AtAnySize {
				rank++
				place = strconv.Itoa(rank)
				at = fmt.Sprintf("%s gateways, %s databases, %s", formatNumber(math.Ceil(x.At.Gateways)), formatNumber(math.Ceil(x.At.Databases)), regions(x.At.Regions))
				if x.FirstKnown {
					at = "at or before " + at + ", the first size known"
				}
				if x.progress < 1 {
					at += "; before today's size"
				}
			}
			writeRow(&b, place, at, x.Part+": "+x.Figure.Name, formatWithUnit(x.Value.X, x.Figure.Unit)+", "+kindNames[x.Value.Kind], x.Figure.allowanceCell(),
				x.Figure.cell(Target), x.Figure.Mechanism)
		}
	}
	if len(undetermined) > 0 {
		b.WriteString("\nNot known or not run, so that they may stand anywhere in this order:\n\n")
		for _, o := range undetermined {
			b.WriteString("- " + o + "\n")
		}
	}
	return b.String()
}

// runsTable lists all runs.
func (r *Runs) runsTable() string {
	var b strings.Builder
	writeHeader(&b, "file", "command", "size", "result")
	result := func(valid, partial bool, why string) string {
		switch {
		case !valid:
			return "INVALID: " + why + "; in no figure"
		case partial:
			return "PARTIAL; in no figure"
		}
		return "valid"
	}
	n := 0
	add := func(file, command, size, result string) {
		writeRow(&b, "`"+file+"`", "`"+command+"`", size, strings.ReplaceAll(result, "|", "/"))
		n++
	}
	for _, s := range r.Scale {
		x := result(s.Valid, s.Partial, s.InvalidBecause)
		if s.usable() && !s.hasTargetLoad() {
			x += ", of another load or fleet file; in no slope"
		}
		if len(s.Faults) > 0 {
			x += "; " + strings.Join(s.Faults, "; ")
		}
		add(s.File, s.Command, fmt.Sprintf("%d by %d, %s, %s ms, %s s, %d real", s.Gateways, s.Databases, regions(s.Regions), formatNumber(s.RTT), formatNumber(s.Seconds), s.RealGateways), x)
	}
	setting := r.usualSettings()
	for _, d := range r.Datapath {
		x := result(d.Valid, d.Partial, d.InvalidBecause)
		if d.usable() && d.settings() != setting {
			x += ", made with other settings: in no line over load or list, and at its size only where no other run is"
		}
		if len(d.Faults) > 0 {
			x += "; " + strings.Join(d.Faults, "; ")
		}
		add(d.File, d.Command, fmt.Sprintf("%s clients, %s statements/s, %s databases", formatNumber(d.Clients), formatNumber(d.Statements), formatNumber(d.Databases)), x)
	}
	for _, c := range r.Calibration {
		add(c.File, c.Command, fmt.Sprintf("%d by %d, %s", c.Hollow.Gateways, c.Hollow.Databases, c.State), result(c.usable(), false, c.InvalidBecause))
	}
	for _, t := range r.Tool {
		add(t.File, t.Command, fmt.Sprintf("%d rows", len(t.Rows)), "valid")
	}
	for _, s := range r.Sim {
		add(s.File, s.Command, fmt.Sprintf("%d rows", len(s.Rows)), "a trial: simulated network; in no slope")
	}
	if n == 0 {
		return "Not run.\n"
	}
	return b.String()
}

// scaleTable lists the results of each scale run without faults, the smallest first, including those with too few sizes for a slope.
func (r *Runs) scaleTable() string {
	var list []*Scale
	for i := range r.Scale {
		if s := &r.Scale[i]; s.usable() && withoutFaults(s) {
			list = append(list, s)
		}
	}
	if len(list) == 0 {
		return "Not run.\n"
	}
	slices.SortStableFunc(list, func(a, b *Scale) int {
		return cmp.Or(cmp.Compare(a.Regions, b.Regions), cmp.Compare(a.RTT, b.RTT), cmp.Compare(a.Gateways, b.Gateways), cmp.Compare(a.Databases, b.Databases))
	})
	var b strings.Builder
	writeHeader(&b, "G", "D", "regions, round trip", "statements/s a gateway", "sent, mean; most", "received, mean; most", "membership, positions, primaries, versions: sent", "processor time", "memory", "false deaths", "file")
	two := func(x *Stat, unit string) string {
		if x == nil {
			return "not known"
		}
		return formatWithUnit(x.Mean, unit) + "; " + formatWithUnit(x.Max, unit)
	}
	one := func(x *Stat, unit string) string {
		if x == nil {
			return "not known"
		}
		return formatWithUnit(x.Mean, unit)
	}
	for _, s := range list {
		load := "the plan's"
		if s.Statements != nil {
			load = formatNumber(*s.Statements)
		}
		if s.Skew != 0 {
			load += ", skew " + formatNumber(s.Skew)
		}
		var parts []string
		for _, n := range []string{"membership", "positions", "primaries", "versions"} {
			parts = append(parts, formatNumber(s.ByRole[n].BytesOut))
		}
		writeRow(&b, strconv.Itoa(s.Gateways), strconv.Itoa(s.Databases), regions(s.Regions)+", "+formatWithUnit(s.RTT, "ms"), load, two(s.Control.BytesOut, "B/s"), two(s.Control.BytesIn, "B/s"),
			strings.Join(parts, ", ")+" B/s", one(s.Control.CorePercent, "% of a core"), one(s.Control.MemoryMB, "MB"), formatNumber(s.FalseDeaths), "`"+s.File+"`")
	}
	return b.String()
}

// faultKinds are the faults that the page needs at full size, with the prefix by which a report's views_equal entries name them.
var faultKinds = []struct{ name, after string }{
	{"two machines killed", "kill of "},
	{"restarts one after another", "restart of "},
	{"a rack at once", "rack of "},
	{"a zone gone", "loss of zone "},
	{"a zone back", "return of zone "},
	{"regions cut and healed", "heal of the cut "},
}

// faultsTable lists the effect of each fault, and the faults that were not run.
func (r *Runs) faultsTable() string {
	var b strings.Builder
	writeHeader(&b, "fault", "run", "size", "views equal again after", "false deaths", "most sent in 10 s", "most calls at discovery", "result")
	line := func(name, what, took string, s *Scale) {
		sent, calls, result := "not known", "not known", "valid"
		if s.Window != nil {
			sent = formatWithUnit(s.Window.BytesOut, "B/s")
		}
		if s.Discovery != nil {
			calls = formatWithUnit(s.Discovery.MaxPerSecond, "/s")
		}
		switch {
		case !s.Valid:
			result = "INVALID"
		case s.Partial:
			result = "PARTIAL"
		case len(s.Faults) > 0:
			result = "broke a rule, see the run"
		}
		if what != "" {
			name += ": " + what
		}
		writeRow(&b, name, "`"+s.File+"`", fmt.Sprintf("%d by %d, %s", s.Gateways, s.Databases, regions(s.Regions)), took, formatNumber(s.FalseDeaths), sent, calls, result)
	}
	none := func(name string) { writeRow(&b, name, "not run", "-", "-", "-", "-", "-", "-") }
	for _, f := range faultKinds {
		found := false
		for i := range r.Scale {
			for _, v := range r.Scale[i].ViewsEqual {
				if strings.HasPrefix(v.After, f.after) {
					took := "not before the next thing or the end"
					if v.Took != nil {
						took = formatWithUnit(*v.Took, "s")
					}
					line(f.name, v.After, took, &r.Scale[i])
					found = true
				}
			}
		}
		if !found {
			none(f.name)
		}
	}
	for _, f := range []struct {
		name string
		get  func(*Scale) *DurationStats
	}{
		{"a change of primary", func(s *Scale) *DurationStats { return s.PrimaryChange }},
		{"a change of the list", func(s *Scale) *DurationStats { return s.ListInForce }},
		{"a change of configuration while a gateway starts", func(s *Scale) *DurationStats { return s.InForce }},
	} {
		found := false
		for i := range r.Scale {
			if p := f.get(&r.Scale[i]); p != nil {
				line(f.name, "in force everywhere after "+formatWithUnit(p.Max, "s")+" at most", "-", &r.Scale[i])
				found = true
			}
		}
		if !found {
			none(f.name)
		}
	}
	return b.String()
}

// calibrationTable compares hollow gateways with real ones.
func (r *Runs) calibrationTable() string {
	var b strings.Builder
	n := 0
	for _, c := range r.Calibration {
		if !c.usable() {
			continue
		}
		n++
		fmt.Fprintf(&b, "`%s`, %d gateways, %d databases, %s:\n\n", c.File, c.Hollow.Gateways, c.Hollow.Databases, c.State)
		writeHeader(&b, "what the fleet file costs a gateway, mean", "hollow", "real", "hollow / real", "")
		writeComparison(&b, &c.Hollow, &c.Real, 0.15)
		b.WriteString("\n")
	}
	if n == 0 {
		return "Not run.\n"
	}
	return strings.TrimRight(b.String(), "\n") + "\n"
}

// writeComparison writes a row for each figure of two reports, and marks differences above limit.
func writeComparison(b *strings.Builder, x, y *Side, limit float64) {
	line := func(name, unit string, p, q float64) {
		ratio, remark := "-", ""
		if q != 0 {
			ratio = formatNumber(p / q)
			if limit > 0 && math.Abs(p/q-1) > limit {
				remark = fmt.Sprintf("over %s%%", formatNumber(100*limit))
			}
		} else if p != 0 && limit > 0 {
			remark = fmt.Sprintf("over %s%%", formatNumber(100*limit))
		}
		writeRow(b, name, formatWithUnit(p, unit), formatWithUnit(q, unit), ratio, remark)
	}
	for _, f := range overallFigures {
		if p, q := f.get(&x.Scale), f.get(&y.Scale); p != nil && q != nil {
			line(f.name, f.unit, p.Mean, q.Mean)
		}
	}
	for _, n := range unionRoles(&x.Scale, &y.Scale) {
		p, q := x.ByRole[n], y.ByRole[n]
		line(n+": sent", "B/s", p.BytesOut, q.BytesOut)
		line(n+": received", "B/s", p.BytesIn, q.BytesIn)
		line(n+": messages sent", "/s", p.Messages, q.Messages)
	}
}

var overallFigures = []struct {
	name, unit string
	get        func(*Scale) *Stat
}{
	{"sent", "B/s", func(s *Scale) *Stat { return s.Control.BytesOut }},
	{"received", "B/s", func(s *Scale) *Stat { return s.Control.BytesIn }},
	{"messages sent", "/s", func(s *Scale) *Stat { return s.Control.Messages }},
	{"processor time", "% of a core", func(s *Scale) *Stat { return s.Control.CorePercent }},
	{"memory", "MB", func(s *Scale) *Stat { return s.Control.MemoryMB }},
}

func unionRoles(x, y *Scale) (names []string) {
	for _, r := range roles {
		_, p := x.ByRole[r.name]
		_, q := y.ByRole[r.name]
		if p || q {
			names = append(names, r.name)
		}
	}
	var more []string
	for _, s := range []*Scale{x, y} {
		for n := range s.ByRole {
			if !slices.Contains(names, n) && !slices.Contains(more, n) {
				more = append(more, n)
			}
		}
	}
	slices.Sort(more)
	return append(names, more...)
}

// trialsTable lists the trials in simulated networks from today's number of gateways on.
func (r *Runs) trialsTable() string {
	var b strings.Builder
	writeHeader(&b, "part", "gateways", "databases", "regions", "one way", "loss", "sent", "sent, most", "messages sent", "false deaths", "age p99", "file")
	n := 0
	opt := func(x *float64, unit string) string {
		if x == nil {
			return "-"
		}
		return formatWithUnit(*x, unit)
	}
	for _, s := range r.Sim {
		for _, t := range s.Rows {
			if t.Gateways < Today.Gateways {
				continue
			}
			part := t.Part
			for _, more := range []string{t.Mode, t.Answers} {
				if more != "" {
					part += ", " + more
				}
			}
			regions := "-"
			if t.Regions > 0 {
				regions = strconv.Itoa(t.Regions)
			}
			writeRow(&b, part, formatNumber(t.Gateways), formatNumber(t.Databases), regions, formatWithUnit(t.OneWay, "ms"), formatNumber(100*t.Loss)+"%", opt(t.BytesOut, "B/s"), opt(t.MaxBytesOut, "B/s"), opt(t.Messages, "/s"), opt(t.FalseDeaths, ""), opt(t.AgeP99, "ms"), "`"+s.File+"`")
			n++
		}
	}
	if n == 0 {
		return "Not run.\n"
	}
	return b.String()
}

// sameLoad reports whether two runs gave their hollow gateways the same load.
func sameLoad(x, y *Scale) bool {
	of := func(s *Scale) float64 {
		if s.Statements == nil {
			return Target.Statements
		}
		return *s.Statements
	}
	return of(x) == of(y) && x.Skew == y.Skew
}

// comparisonTables compares each run with the mechanism with the one before it. Both must have the same seed, load and size, and
// the same plan, or one whose name extends the other's.
func (r *Runs) comparisonTables() (string, error) {
	var b strings.Builder
	for i := range r.Scale {
		after := &r.Scale[i]
		if !after.withMechanism() {
			continue
		}
		name := strings.TrimSuffix(after.File, "-after.json") + ".json"
		k := slices.IndexFunc(r.Scale, func(s Scale) bool { return s.File == name })
		if k < 0 {
			return "", fmt.Errorf("%s: %s is missing, with which it is compared; add it or rename this run", after.File, name)
		}
		before := &r.Scale[k]
		if before.Seed != after.Seed || before.Gateways != after.Gateways || before.Databases != after.Databases || before.Regions != after.Regions || before.RTT != after.RTT || !sameLoad(before, after) || after.planName() != before.planName() && !strings.HasPrefix(after.planName(), before.planName()+"-") {
			return "", fmt.Errorf("%s and %s differ in plan, seed, load or size; make both runs with the same", before.File, after.File)
		}
		if b.Len() > 0 {
			b.WriteString("\n")
		}
		plans := "`" + before.planName() + "`"
		if after.planName() != before.planName() {
			plans += " and `" + after.planName() + "`"
		}
		fmt.Fprintf(&b, "%s, seed %d, %d gateways, %d databases, %s, %s ms:\n\n", plans, before.Seed, before.Gateways, before.Databases, regions(before.Regions), formatNumber(before.RTT))
		if !before.usable() || !after.usable() {
			b.WriteString("INVALID: not compared.\n")
			continue
		}
		writeHeader(&b, "a gateway", "before", "after", "after / before")
		line := func(name, unit string, p, q float64, hasBefore, hasAfter bool) {
			side := func(v float64, ok bool) string {
				if !ok {
					return "not run"
				}
				return formatWithUnit(v, unit)
			}
			ratio := "-"
			if hasBefore && hasAfter && p != 0 {
				ratio = formatNumber(q / p)
			}
			writeRow(&b, name, side(p, hasBefore), side(q, hasAfter), ratio)
		}
		for _, f := range overallFigures {
			p, q := f.get(before), f.get(after)
			has, had := p != nil, q != nil
			if !has {
				p = &Stat{}
			}
			if !had {
				q = &Stat{}
			}
			line(f.name+", mean", f.unit, p.Mean, q.Mean, has, had)
			line(f.name+", p99", f.unit, p.P99, q.P99, has, had)
			line(f.name+", most", f.unit, p.Max, q.Max, has, had)
		}
		for _, n := range unionRoles(before, after) {
			p, has := before.ByRole[n]
			q, had := after.ByRole[n]
			line(n+": sent", "B/s", p.BytesOut, q.BytesOut, has, had)
			line(n+": received", "B/s", p.BytesIn, q.BytesIn, has, had)
			line(n+": messages sent", "/s", p.Messages, q.Messages, has, had)
		}
		pair := func(name, unit string, get func(*Scale) (float64, bool)) {
			p, has := get(before)
			q, had := get(after)
			line(name, unit, p, q, has, had)
		}
		maxOf := func(p *DurationStats) float64 { return p.Max }
		pair("sent, the most of any gateway in 10 s", "B/s", optional(func(s *Scale) *Window { return s.Window }, func(w *Window) float64 { return w.BytesOut }))
		pair("positions: known", "", optional(func(s *Scale) *PositionAges { return s.Positions }, func(p *PositionAges) float64 { return p.Known }))
		pair("positions: age of what is known, p50", "s", positionAge(func(p *PositionAges) *float64 { return p.P50 }))
		pair("positions: age of what is known, p99", "s", positionAge(func(p *PositionAges) *float64 { return p.P99 }))
		pair("a change of configuration in force, most", "s", optional(func(s *Scale) *DurationStats { return s.InForce }, maxOf))
		pair("a change of the list in force, most", "s", optional(func(s *Scale) *DurationStats { return s.ListInForce }, maxOf))
		pair("a change of primary, most", "s", optional(func(s *Scale) *DurationStats { return s.PrimaryChange }, maxOf))
		line("false deaths", "", before.FalseDeaths, after.FalseDeaths, true, true)
	}
	if b.Len() == 0 {
		return "Not run.\n", nil
	}
	return b.String(), nil
}

// Tables returns all tables of the page by the names of their markers.
func (r *Runs) Tables() (map[string]string, error) {
	t := map[string]string{
		"sizes": sizesTable(), "faults": r.faultsTable(), "scale": r.scaleTable(), "runs": r.runsTable(), "calibration": r.calibrationTable(), "trials": r.trialsTable(),
	}
	st := &dataset{runs: r}
	for _, p := range st.parts() {
		t[p.Name] = p.table()
	}
	t["control-after"] = "Not run.\n"
	if p := st.controlWithMechanism(); len(p.Figures) > 0 {
		t[p.Name] = p.table()
	}
	t["slopes"], t["breaks"] = st.slopesTable(), st.breaksTable()
	var err error
	t["before-after"], err = r.comparisonTables()
	return t, err
}
