package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// number writes a figure with four digits that count, three under 1,000.
func number(x float64) string {
	digits := 3
	if math.Abs(x) >= 1000 {
		digits = 4
	}
	if x == 0 {
		return "0"
	}
	if r := math.Round(x); math.Abs(x-r) < 1e-9 && math.Abs(x) < 1e5 {
		return thousands(strconv.FormatFloat(r, 'f', 0, 64))
	}
	s := strconv.FormatFloat(x, 'e', digits-1, 64)
	y, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return s
	}
	return thousands(strconv.FormatFloat(y, 'f', -1, 64))
}

func thousands(s string) string {
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

func withUnit(x float64, unit string) string {
	switch {
	case unit == "":
		return number(x)
	case strings.HasPrefix(unit, "/"), strings.HasPrefix(unit, "%"):
		return number(x) + unit
	}
	return number(x) + " " + unit
}

// cell is a value with where it is from.
func (f Figure) cell(s Size) string {
	v := f.At(s)
	text := kinds[v.Kind]
	if v.known() {
		text = withUnit(v.X, f.Unit) + ", " + text
	}
	if v.Note != "" {
		text += " (" + v.Note + ")"
	}
	return text
}

// per names the unit of a slope.
func per(l Slope, unit string) string {
	if l.Of == None {
		return "flat: " + withUnit(l.Intercept, unit)
	}
	like := ""
	for _, v := range l.Like {
		like += " or " + string(v)
	}
	return fmt.Sprintf("%s for each %s%s, from %s", withUnit(l.Per, unit), l.Of, like, withUnit(l.Intercept, unit))
}

// slope is the column of that name: for three regions where there is one, or else for one; or the formula.
func (f Figure) slope() string {
	if f.Slope == nil {
		if f.Formula == "" {
			return "none"
		}
		return f.Formula
	}
	for _, n := range []int{Target.Regions, Today.Regions} {
		if l, ok := f.Slope(n); ok {
			return fmt.Sprintf("%s; residual %.1f%%", per(l, f.Unit), 100*l.Residual)
		}
	}
	return "none fitted"
}

func (f Figure) allowance() string {
	switch {
	case f.Allowed != "":
		return f.Allowed
	case !f.Bounded:
		return "none told"
	}
	return withUnit(f.Allowance, f.Unit)
}

// fits says in a word whether a value is within the allowance, and by how much.
func (f Figure) fits(v Value) string {
	switch {
	case !f.Bounded:
		return ""
	case !v.known():
		return kinds[v.Kind]
	case v.X > f.Allowance && f.Allowance == 0:
		return "does not fit"
	case v.X > f.Allowance:
		return "does not fit, " + number(v.X/f.Allowance) + " times"
	case f.Allowance == 0 || v.X == 0:
		return "fits"
	}
	return "fits, " + number(100*(1-v.X/f.Allowance)) + "% left"
}

func (f Figure) margin() string {
	if !f.Bounded {
		return "-"
	}
	at, worst := f.fits(f.At(Target)), f.fits(f.At(Worst))
	if f.At(Worst).Else {
		worst = "not run at its size"
	}
	if at == worst {
		return at
	}
	return at + "; worst hour: " + worst
}

func row(b *strings.Builder, cells ...string) {
	b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

func head(b *strings.Builder, cells ...string) {
	row(b, cells...)
	row(b, slices.Repeat([]string{"---"}, len(cells))...)
}

func (p Part) table() string {
	var b strings.Builder
	head(&b, "what", "today", "target", "worst hour", "slope or formula", "allowance", "margin at the target", "mechanism")
	for _, f := range p.Figures {
		row(&b, f.Name, f.cell(Today), f.cell(Target), f.cell(Worst), f.slope(), f.allowance(), f.margin(), f.Mechanism)
	}
	return b.String()
}

func sizesTable() string {
	var b strings.Builder
	head(&b, "", "gateways G", "databases D", "regions", "connections a gateway C", "statements/s a gateway S")
	for _, s := range append([]Size{Today, Target, Worst}, worstHours...) {
		name := s.Name
		if !slices.Contains([]string{Today.Name, Target.Name, Worst.Name}, name) {
			name = "in it: " + name
		}
		clients, statements := number(math.Round(s.Connections)), number(math.Round(s.Statements))
		if s.Connections == 0 {
			clients, statements = "not known", "not known"
		}
		row(&b, name, number(s.Gateways), number(s.Databases), strconv.Itoa(s.Regions), clients, statements)
	}
	return b.String()
}

// slopesTable has every line that was fitted.
func (st *state) slopesTable() string {
	var b strings.Builder
	head(&b, "figure", "runs", "slope", "variable", "intercept", "residual", "sizes, runs")
	fitted := 0
	add := func(name, unit, set string, l Slope) {
		of := string(l.Of)
		for _, v := range l.Like {
			of += " (" + string(v) + " moved in step)"
		}
		unitPer := "-"
		if l.Of != None {
			unitPer = withUnit(l.Per, unit) + " for each"
		}
		row(&b, name, set, unitPer, of, withUnit(l.Intercept, unit), fmt.Sprintf("%.1f%%", 100*l.Residual), fmt.Sprintf("%d, %d", l.Sizes, l.Runs))
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
					set := st.series(n)[0]
					add(f.Name, f.Unit, fmt.Sprintf("`%s`, %s, %s ms", set.plan(), regions(n), number(set.RTT)), l)
				}
			}
		}
	}
	if fitted == 0 {
		return "No slope is fitted: not run over four sizes.\n"
	}
	return b.String()
}

// breaksTable is the order in which growth meets what does not fit.
func (st *state) breaksTable() string {
	list, open := st.breaks()
	var b strings.Builder
	if len(list) == 0 {
		b.WriteString("Nothing that was measured or computed does not fit.\n")
	} else {
		head(&b, "", "breaks at", "what", "there", "allowance", "at the target", "mechanism")
		rank := 0
		for _, x := range list {
			place, at := "-", "missing at any size" // growth does not meet it
			if !x.Any {
				rank++
				place = strconv.Itoa(rank)
				at = fmt.Sprintf("%s gateways, %s databases, %s", number(math.Ceil(x.At.Gateways)), number(math.Ceil(x.At.Databases)), regions(x.At.Regions))
				if x.First {
					at = "at or before " + at + ", the first size known"
				}
				if x.u < 1 {
					at += "; before today's size"
				}
			}
			row(&b, place, at, x.Part+": "+x.Figure.Name, withUnit(x.Value.X, x.Figure.Unit)+", "+kinds[x.Value.Kind], x.Figure.allowance(),
				x.Figure.cell(Target), x.Figure.Mechanism)
		}
	}
	if len(open) > 0 {
		b.WriteString("\nNot known or not run, so that they may stand anywhere in this order:\n\n")
		for _, o := range open {
			b.WriteString("- " + o + "\n")
		}
	}
	return b.String()
}

// runsTable lists what everything is from.
func (r *Runs) runsTable() string {
	var b strings.Builder
	head(&b, "file", "command", "size", "result")
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
		row(&b, "`"+file+"`", "`"+command+"`", size, strings.ReplaceAll(result, "|", "/"))
		n++
	}
	for _, s := range r.Scale {
		x := result(s.Valid, s.Partial, s.Why)
		if s.good() && !s.target() {
			x += ", of another load or fleet file; in no slope"
		}
		if len(s.Faults) > 0 {
			x += "; " + strings.Join(s.Faults, "; ")
		}
		add(s.File, s.Command, fmt.Sprintf("%d by %d, %s, %s ms, %s s, %d real", s.Gateways, s.Databases, regions(s.Regions), number(s.RTT), number(s.Seconds), s.Real), x)
	}
	setting := r.setting()
	for _, d := range r.Datapath {
		x := result(d.Valid, d.Partial, d.Why)
		if d.good() && d.setting() != setting {
			x += ", made with other settings: in no line over load or list, and at its size only where no other run is"
		}
		if len(d.Faults) > 0 {
			x += "; " + strings.Join(d.Faults, "; ")
		}
		add(d.File, d.Command, fmt.Sprintf("%s clients, %s statements/s, %s databases", number(d.Clients), number(d.Statements), number(d.Databases)), x)
	}
	for _, c := range r.Calibration {
		add(c.File, c.Command, fmt.Sprintf("%d by %d, %s", c.Hollow.Gateways, c.Hollow.Databases, c.State), result(c.good(), false, c.Why))
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

// scaleTable has what each calm run of many gateways came to, the smallest first, for those whose slopes lack sizes too.
func (r *Runs) scaleTable() string {
	var list []*Scale
	for i := range r.Scale {
		if s := &r.Scale[i]; s.good() && calm(s) {
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
	head(&b, "G", "D", "regions, round trip", "statements/s a gateway", "sent, mean; most", "received, mean; most", "membership, positions, primaries, versions: sent", "processor time", "memory", "false deaths", "file")
	two := func(x *Stat, unit string) string {
		if x == nil {
			return "not known"
		}
		return withUnit(x.Mean, unit) + "; " + withUnit(x.Max, unit)
	}
	one := func(x *Stat, unit string) string {
		if x == nil {
			return "not known"
		}
		return withUnit(x.Mean, unit)
	}
	for _, s := range list {
		load := "the plan's"
		if s.Statements != nil {
			load = number(*s.Statements)
		}
		if s.Skew != 0 {
			load += ", skew " + number(s.Skew)
		}
		var parts []string
		for _, n := range []string{"membership", "positions", "primaries", "versions"} {
			parts = append(parts, number(s.ByRole[n].BytesOut))
		}
		row(&b, strconv.Itoa(s.Gateways), strconv.Itoa(s.Databases), regions(s.Regions)+", "+withUnit(s.RTT, "ms"), load, two(s.Control.BytesOut, "B/s"), two(s.Control.BytesIn, "B/s"),
			strings.Join(parts, ", ")+" B/s", one(s.Control.Core, "% of a core"), one(s.Control.Memory, "MB"), number(s.FalseDeaths), "`"+s.File+"`")
	}
	return b.String()
}

// befalls are the faults that are wanted at size, by what a run says it settled after.
var befalls = []struct{ name, after string }{
	{"two machines killed", "kill of "},
	{"restarts one after another", "restart of "},
	{"a rack at once", "rack of "},
	{"a zone gone", "loss of zone "},
	{"a zone back", "return of zone "},
	{"regions cut and healed", "heal of the cut "},
}

// faultsTable tells what each fault did, and which was not run.
func (r *Runs) faultsTable() string {
	var b strings.Builder
	head(&b, "fault", "run", "size", "views equal again after", "false deaths", "most sent in 10 s", "most calls at discovery", "result")
	line := func(name, what, took string, s *Scale) {
		sent, calls, result := "not known", "not known", "valid"
		if s.Window != nil {
			sent = withUnit(s.Window.BytesOut, "B/s")
		}
		if s.Discovery != nil {
			calls = withUnit(s.Discovery.Calls, "/s")
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
		row(&b, name, "`"+s.File+"`", fmt.Sprintf("%d by %d, %s", s.Gateways, s.Databases, regions(s.Regions)), took, number(s.FalseDeaths), sent, calls, result)
	}
	none := func(name string) { row(&b, name, "not run", "-", "-", "-", "-", "-", "-") }
	for _, f := range befalls {
		found := false
		for i := range r.Scale {
			for _, v := range r.Scale[i].ViewsEqual {
				if strings.HasPrefix(v.After, f.after) {
					took := "not before the next thing or the end"
					if v.Took != nil {
						took = withUnit(*v.Took, "s")
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
		get  func(*Scale) *Spread
	}{
		{"a change of primary", func(s *Scale) *Spread { return s.PrimaryChange }},
		{"a change of the list", func(s *Scale) *Spread { return s.ListInForce }},
		{"a change of configuration while a gateway starts", func(s *Scale) *Spread { return s.InForce }},
	} {
		found := false
		for i := range r.Scale {
			if p := f.get(&r.Scale[i]); p != nil {
				line(f.name, "in force everywhere after "+withUnit(p.Max, "s")+" at most", "-", &r.Scale[i])
				found = true
			}
		}
		if !found {
			none(f.name)
		}
	}
	return b.String()
}

// calibrationTable sets hollow gateways beside real ones.
func (r *Runs) calibrationTable() string {
	var b strings.Builder
	n := 0
	for _, c := range r.Calibration {
		if !c.good() {
			continue
		}
		n++
		fmt.Fprintf(&b, "`%s`, %d gateways, %d databases, %s:\n\n", c.File, c.Hollow.Gateways, c.Hollow.Databases, c.State)
		head(&b, "what the fleet file costs a gateway, mean", "hollow", "real", "hollow / real", "")
		compare(&b, &c.Hollow, &c.Real, 0.15)
		b.WriteString("\n")
	}
	if n == 0 {
		return "Not run.\n"
	}
	return strings.TrimRight(b.String(), "\n") + "\n"
}

// compare writes a line for each figure of two reports; over limit a difference is said.
func compare(b *strings.Builder, x, y *Side, limit float64) {
	line := func(name, unit string, p, q float64) {
		ratio, said := "-", ""
		if q != 0 {
			ratio = number(p / q)
			if limit > 0 && math.Abs(p/q-1) > limit {
				said = fmt.Sprintf("over %s%%", number(100*limit))
			}
		} else if p != 0 && limit > 0 {
			said = fmt.Sprintf("over %s%%", number(100*limit))
		}
		row(b, name, withUnit(p, unit), withUnit(q, unit), ratio, said)
	}
	for _, f := range overallFigures {
		if p, q := f.get(&x.Scale), f.get(&y.Scale); p != nil && q != nil {
			line(f.name, f.unit, p.Mean, q.Mean)
		}
	}
	for _, n := range bothRoles(&x.Scale, &y.Scale) {
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
	{"processor time", "% of a core", func(s *Scale) *Stat { return s.Control.Core }},
	{"memory", "MB", func(s *Scale) *Stat { return s.Control.Memory }},
}

func bothRoles(x, y *Scale) (names []string) {
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

// trialsTable has the rows of simulated networks from today's size on.
func (r *Runs) trialsTable() string {
	var b strings.Builder
	head(&b, "part", "gateways", "databases", "regions", "one way", "loss", "sent", "sent, most", "messages sent", "false deaths", "age p99", "file")
	n := 0
	opt := func(x *float64, unit string) string {
		if x == nil {
			return "-"
		}
		return withUnit(*x, unit)
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
			row(&b, part, number(t.Gateways), number(t.Databases), regions, withUnit(t.OneWay, "ms"), number(100*t.Loss)+"%", opt(t.BytesOut, "B/s"), opt(t.BytesMost, "B/s"), opt(t.Messages, "/s"), opt(t.FalseDeaths, ""), opt(t.AgeP99, "ms"), "`"+s.File+"`")
			n++
		}
	}
	if n == 0 {
		return "Not run.\n"
	}
	return b.String()
}

// sameLoad tells whether two runs fed their hollow gateways alike.
func sameLoad(x, y *Scale) bool {
	of := func(s *Scale) float64 {
		if s.Statements == nil {
			return Target.Statements
		}
		return *s.Statements
	}
	return of(x) == of(y) && x.Skew == y.Skew
}

// comparison sets runs with the mechanism beside those before it: the same plan, or one named after it with the mechanism's lines,
// the same seed, load and size.
func (r *Runs) comparison() (string, error) {
	var b strings.Builder
	for i := range r.Scale {
		y := &r.Scale[i]
		if !y.after() {
			continue
		}
		name := strings.TrimSuffix(y.File, "-after.json") + ".json"
		k := slices.IndexFunc(r.Scale, func(s Scale) bool { return s.File == name })
		if k < 0 {
			return "", fmt.Errorf("%s: %s is missing, which it is to be set beside; put it in, or name the run otherwise", y.File, name)
		}
		x := &r.Scale[k]
		if x.Seed != y.Seed || x.Gateways != y.Gateways || x.Databases != y.Databases || x.Regions != y.Regions || x.RTT != y.RTT || !sameLoad(x, y) || y.plan() != x.plan() && !strings.HasPrefix(y.plan(), x.plan()+"-") {
			return "", fmt.Errorf("%s and %s differ in plan, seed, load or size; play both with the same", x.File, y.File)
		}
		if b.Len() > 0 {
			b.WriteString("\n")
		}
		plans := "`" + x.plan() + "`"
		if y.plan() != x.plan() {
			plans += " and `" + y.plan() + "`"
		}
		fmt.Fprintf(&b, "%s, seed %d, %d gateways, %d databases, %s, %s ms:\n\n", plans, x.Seed, x.Gateways, x.Databases, regions(x.Regions), number(x.RTT))
		if !x.good() || !y.good() {
			b.WriteString("INVALID: not compared.\n")
			continue
		}
		head(&b, "a gateway", "before", "after", "after / before")
		line := func(name, unit string, p, q float64, has, had bool) {
			side := func(v float64, ok bool) string {
				if !ok {
					return "not run"
				}
				return withUnit(v, unit)
			}
			ratio := "-"
			if has && had && p != 0 {
				ratio = number(q / p)
			}
			row(&b, name, side(p, has), side(q, had), ratio)
		}
		for _, f := range overallFigures {
			p, q := f.get(x), f.get(y)
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
		for _, n := range bothRoles(x, y) {
			p, has := x.ByRole[n]
			q, had := y.ByRole[n]
			line(n+": sent", "B/s", p.BytesOut, q.BytesOut, has, had)
			line(n+": received", "B/s", p.BytesIn, q.BytesIn, has, had)
			line(n+": messages sent", "/s", p.Messages, q.Messages, has, had)
		}
		pair := func(name, unit string, get func(*Scale) (float64, bool)) {
			p, has := get(x)
			q, had := get(y)
			line(name, unit, p, q, has, had)
		}
		most := func(p *Spread) float64 { return p.Max }
		pair("sent, the most of any gateway in 10 s", "B/s", some(func(s *Scale) *Window { return s.Window }, func(w *Window) float64 { return w.BytesOut }))
		pair("positions: known", "", some(func(s *Scale) *Stale { return s.Positions }, func(p *Stale) float64 { return p.Known }))
		pair("positions: age of what is known, p50", "s", stale(func(p *Stale) *float64 { return p.P50 }))
		pair("positions: age of what is known, p99", "s", stale(func(p *Stale) *float64 { return p.P99 }))
		pair("a change of configuration in force, most", "s", some(func(s *Scale) *Spread { return s.InForce }, most))
		pair("a change of the list in force, most", "s", some(func(s *Scale) *Spread { return s.ListInForce }, most))
		pair("a change of primary, most", "s", some(func(s *Scale) *Spread { return s.PrimaryChange }, most))
		line("false deaths", "", x.FalseDeaths, y.FalseDeaths, true, true)
	}
	if b.Len() == 0 {
		return "Not run.\n", nil
	}
	return b.String(), nil
}

// Tables are all of the page, by the names of their markers.
func (r *Runs) Tables() (map[string]string, error) {
	t := map[string]string{
		"sizes": sizesTable(), "faults": r.faultsTable(), "scale": r.scaleTable(), "runs": r.runsTable(), "calibration": r.calibrationTable(), "trials": r.trialsTable(),
	}
	st := &state{runs: r}
	for _, p := range st.parts() {
		t[p.Name] = p.table()
	}
	t["control-after"] = "Not run.\n"
	if p := st.controlAfter(); len(p.Figures) > 0 {
		t[p.Name] = p.table()
	}
	t["slopes"], t["breaks"] = st.slopesTable(), st.breaksTable()
	var err error
	t["before-after"], err = r.comparison()
	return t, err
}
