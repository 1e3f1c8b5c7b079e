package capacity

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Kind is the origin of a value.
type Kind int

// The kinds of values.
const (
	NotKnown     Kind = iota
	NotRun            // there is no run that has the figure
	Given             // from the requirements
	Arithmetic        // from the figure's formula
	Measured          // in a run of the same size
	Fitted            // by a slope, within the sizes of its runs
	Extrapolated      // by a slope, outside them
)

var kindNames = [...]string{"not known", "not run", "given", "arithmetic", "measured", "from the slope", "from the slope, beyond the sizes measured"}

// Value is a figure at one size.
type Value struct {
	X             float64
	Kind          Kind
	Note          string
	BelowMeasured bool // of a size smaller than all measured ones
	OtherSize     bool // of a run of another size
}

func (v Value) known() bool { return v.Kind > NotRun }

// Figure is one row of a table.
type Figure struct {
	Name, Unit    string
	At            func(Size) Value
	Slope         func(regions int) (Slope, bool) // nil: no slope is fitted
	Formula       string
	Bounded       bool // Allowance applies
	Allowance     float64
	AllowanceText string // shown instead of Allowance
	Mechanism     string
}

// Part is the figures of one table.
type Part struct {
	Name    string // of its markers
	Title   string
	Figures []Figure
}

// dataset is the input of the figures: the runs without or with (after) the mechanism that was added because of the first runs.
type dataset struct {
	runs          *Runs
	after         bool
	runsByRegions map[int][]Scale // cache of fitRuns
}

// withoutFaults reports whether a run had no faults or other events: slopes are fitted to such runs only.
func withoutFaults(s *Scale) bool {
	return len(s.ViewsEqual) == 0 && !slices.ContainsFunc(strings.Split(s.planName(), "-"), func(w string) bool { return w == "worst" || w == "faults" || w == "fault" })
}

// fitRuns returns the runs with this number of regions that share a plan and a round-trip time, the group with the most sizes.
func (st *dataset) fitRuns(regions int) []Scale {
	if best, ok := st.runsByRegions[regions]; ok {
		return best
	}
	type key struct {
		plan string
		rtt  float64
	}
	groups := map[key][]Scale{}
	var keys []key
	for _, s := range st.runs.Scale {
		if !s.usable() || !s.hasTargetLoad() || s.Regions != regions || s.withMechanism() != st.after || !withoutFaults(&s) {
			continue
		}
		if s.Regions > 1 && s.RTT != targetRTT {
			continue
		}
		k := key{s.planName(), s.RTT}
		if groups[k] == nil {
			keys = append(keys, k)
		}
		groups[k] = append(groups[k], s)
	}
	var best []Scale
	maxSizes := 0
	for _, k := range keys {
		sizes := map[[2]int]bool{}
		for _, s := range groups[k] {
			sizes[[2]int{s.Gateways, s.Databases}] = true
		}
		if len(sizes) >= maxSizes {
			best, maxSizes = groups[k], len(sizes)
		}
	}
	if st.runsByRegions == nil {
		st.runsByRegions = map[int][]Scale{}
	}
	st.runsByRegions[regions] = best
	return best
}

func (s *Scale) size() Size {
	return Size{Gateways: float64(s.Gateways), Databases: float64(s.Databases), Regions: s.Regions}
}

// scaleFit is one figure of scale runs and its slopes by number of regions.
type scaleFit struct {
	st                *dataset
	value, worstValue func(*Scale) (float64, bool) // worstValue: in the worst hour
	slopes            map[int]*Slope               // nil: too few runs for a fit
}

// points returns the figure's values in the fitted runs, without the runs that lack it.
func (f *scaleFit) points(regions int) (list []Point) {
	for _, s := range f.st.fitRuns(regions) {
		if y, ok := f.value(&s); ok {
			list = append(list, Point{s.size(), y})
		}
	}
	return list
}

func (f *scaleFit) slope(regions int) (Slope, bool) {
	l, ok := f.slopes[regions]
	if !ok {
		if x, ok := Fit(f.points(regions), Gateways, Databases, Product); ok {
			l = &x
		}
		f.slopes[regions] = l
	}
	if l == nil {
		return Slope{}, false
	}
	return *l, true
}

// at returns the mean of the runs of a size, or else the slope's value. The worst hour takes the maximum of the runs with faults.
func (f *scaleFit) at(s Size) Value {
	if s.Name == Worst.Name {
		return f.st.worstOfRuns(f.worstValue)
	}
	sum, n := 0.0, 0.0
	points := f.points(s.Regions)
	for _, p := range points {
		if p.Gateways == s.Gateways && p.Databases == s.Databases {
			sum, n = sum+p.Y, n+1
		}
	}
	if n > 0 {
		return Value{X: sum / n, Kind: Measured}
	}
	l, ok := f.slope(s.Regions)
	switch {
	case len(points) == 0:
		return Value{Kind: NotRun}
	case !ok:
		return f.extrapolateRegions(s)
	}
	return l.value(s)
}

// extrapolateRegions estimates a figure whose runs with several regions have too few sizes for a slope: the one-region slope,
// shifted by the mean difference at the sizes that were run with both. It is an extrapolation.
func (f *scaleFit) extrapolateRegions(s Size) Value {
	none := Value{Kind: NotKnown, Note: "too few sizes"}
	l, ok := f.slope(Today.Regions)
	if !ok || s.Regions == Today.Regions {
		return none
	}
	sum, n, size := 0.0, 0.0, Size{}
	for _, p := range f.points(s.Regions) {
		for _, q := range f.points(Today.Regions) {
			if p.Gateways == q.Gateways && p.Databases == q.Databases {
				sum, n, size = sum+p.Y-q.Y, n+1, p.Size
			}
		}
	}
	if n == 0 {
		return none
	}
	s.Regions = Today.Regions
	v := l.value(s)
	if !v.known() {
		return v
	}
	note := fmt.Sprintf("regions by the difference at %s by %s", formatNumber(size.Gateways), formatNumber(size.Databases))
	if n > 1 {
		note = fmt.Sprintf("regions by the mean difference at %s sizes", formatNumber(n))
	}
	if v.Note != "" {
		note += "; " + v.Note
	}
	v.X, v.Kind, v.Note = v.X+sum/n, Extrapolated, note
	if v.X < 0 {
		return none
	}
	return v
}

// value returns the line's value at a size, and marks poor fits and extrapolations.
func (l Slope) value(s Size) Value {
	y, beyond := l.At(s)
	v := Value{X: y, Kind: Fitted}
	if l.Residual > poorFitResidual {
		v.Note = fmt.Sprintf("a poor fit: residual %.0f%%", 100*l.Residual)
	}
	switch {
	case y < 0:
		return Value{Kind: NotKnown, Note: "the slope leads under 0"}
	case beyond:
		v.Kind, v.BelowMeasured = Extrapolated, s.Gateways < l.minSize.Gateways || s.Databases < l.minSize.Databases
	}
	return v
}

// worstOfRuns returns the maximum over all runs with faults.
func (st *dataset) worstOfRuns(get func(*Scale) (float64, bool)) Value {
	v := Value{Kind: NotRun}
	for _, s := range st.runs.Scale {
		if !s.usable() || s.withMechanism() != st.after || withoutFaults(&s) {
			continue
		}
		if y, ok := get(&s); ok && (v.Kind == NotRun || y > v.X) {
			v = Value{X: y, Kind: Measured}
			if float64(s.Gateways) != Worst.Gateways || float64(s.Databases) != Worst.Databases || s.Regions != Worst.Regions {
				v.OtherSize, v.Note = true, fmt.Sprintf("at %d by %d, %s", s.Gateways, s.Databases, regions(s.Regions))
			}
		}
	}
	return v
}

func regions(n int) string {
	if n == 1 {
		return "1 region"
	}
	return fmt.Sprintf("%d regions", n)
}

// scaleFigure makes a figure of scale runs.
func (st *dataset) scaleFigure(name, unit, mechanism string, get func(*Scale) (float64, bool)) Figure {
	return st.scaleFigureWithWorst(name, unit, mechanism, get, get)
}

// scaleFigureWithWorst makes a figure of scale runs that uses another value for the worst hour.
func (st *dataset) scaleFigureWithWorst(name, unit, mechanism string, value, worstValue func(*Scale) (float64, bool)) Figure {
	f := &scaleFit{st: st, value: value, worstValue: worstValue, slopes: map[int]*Slope{}}
	return Figure{Name: name, Unit: unit, Mechanism: mechanism, At: f.at, Slope: f.slope}
}

// calibratedFigure converts a figure of hollow gateways to real ones, by the ratio of the last calibration under load.
func (st *dataset) calibratedFigure(f Figure, get func(*Control) *Stat) (Figure, bool) {
	for _, c := range slices.Backward(st.runs.Calibration) {
		h, x := get(&c.Hollow.Control), get(&c.Real.Control)
		if !c.usable() || c.State != "loaded" || h == nil || x == nil || h.Mean == 0 {
			continue
		}
		ratio, at := x.Mean/h.Mean, f.At
		f.Slope, f.Formula = nil, "that of hollow ones x "+formatNumber(ratio)+": real / hollow, `"+c.File+"`"
		f.At = func(s Size) Value {
			v := at(s)
			v.X *= ratio
			return v
		}
		return f, true
	}
	return f, false
}

// computed makes a figure by a formula. Its value in the worst hour is the maximum over worstHourCases.
func computed(name, unit, formula, mechanism string, f func(Size) float64, needs ...Variable) Figure {
	return Figure{Name: name, Unit: unit, Formula: formula, Mechanism: mechanism, At: func(s Size) Value {
		if s.Name != Worst.Name {
			for _, v := range needs {
				if v.Value(s) == 0 {
					return Value{Kind: NotKnown, Note: "clients not told"}
				}
			}
			return Value{X: f(s), Kind: Arithmetic}
		}
		v := Value{X: math.Inf(-1), Kind: Arithmetic}
		for _, h := range worstHourCases {
			if y := f(h); y > v.X {
				v.X, v.Note = y, h.Name
			}
		}
		if y := f(Target); y == v.X {
			v.Note = ""
		}
		return v
	}}
}

func given(name, unit, mechanism string, f func(Size) float64) Figure {
	return Figure{Name: name, Unit: unit, Mechanism: mechanism, Formula: "the size", At: func(s Size) Value {
		if f(s) == 0 {
			return Value{Kind: NotKnown}
		}
		return Value{X: f(s), Kind: Given}
	}}
}

func unknown(name, mechanism string, kind Kind) Figure {
	return Figure{Name: name, Mechanism: mechanism, At: func(Size) Value { return Value{Kind: kind} }}
}

func (f Figure) within(allowance float64) Figure {
	f.Bounded, f.Allowance = true, allowance
	return f
}

// datapathFit is one figure of datapath runs and its slopes.
type datapathFit struct {
	points               []Point
	others               []Point // runs with other settings, which their Name holds
	listSlope, loadSlope Slope   // cost of each listed database; cost of clients and statements
	listSize, loadSize   Size    // the part of the size that was equal in the runs of each slope
	hasList, hasLoad     bool
	clientSlope          Slope // cost of clients where statements and list are equal
	hasClients           bool
}

// usualSettings returns the settings of most usable datapath runs, the first of equals. Other runs enter no slope over load or list.
func (r *Runs) usualSettings() (usual string) {
	n := map[string]int{}
	for i := range r.Datapath {
		if d := &r.Datapath[i]; d.usable() {
			n[d.settings()]++
		}
	}
	for i := range r.Datapath {
		if s := r.Datapath[i].settings(); n[s] > n[usual] {
			usual = s
		}
	}
	return usual
}

func (st *dataset) fitDatapath(get func(*Datapath) float64) *datapathFit {
	f := &datapathFit{}
	setting := st.runs.usualSettings()
	for i := range st.runs.Datapath {
		d := &st.runs.Datapath[i]
		p := Point{Size{Gateways: 1, Databases: d.Databases, Connections: d.Clients, Statements: d.Statements}, get(d)}
		switch {
		case !d.usable():
		case d.settings() == setting:
			f.points = append(f.points, p)
		default:
			p.Name = extraSettings(d.settings(), setting)
			f.others = append(f.others, p)
		}
	}
	f.listSlope, f.listSize, f.hasList = fitLargestGroup(f.points, func(s Size) Size { s.Databases = 0; return s }, Databases)
	f.loadSlope, f.loadSize, f.hasLoad = fitLargestGroup(f.points, func(s Size) Size { s.Connections, s.Statements = clientsPerStatement(s), 0; return s }, Connections, Statements)
	f.clientSlope, _, f.hasClients = fitLargestGroup(slices.Concat(f.points, f.others), func(s Size) Size { s.Connections = 0; return s }, Connections)
	return f
}

// clientsPerStatement returns the clients per statement/s, rounded to a tenth: a slope over load holds for one such ratio.
func clientsPerStatement(s Size) float64 { return math.Round(10*s.Connections/s.Statements) / 10 }

// extraSettings returns the words of one that other lacks.
func extraSettings(one, other string) string {
	others := strings.Fields(other)
	return strings.Join(slices.DeleteFunc(strings.Fields(one), func(w string) bool { return slices.Contains(others, w) }), " ")
}

// fitLargestGroup fits the group of points with equal keys that has the most sizes.
func fitLargestGroup(points []Point, key func(Size) Size, candidates ...Variable) (Slope, Size, bool) {
	groups := map[Size][]Point{}
	var keys []Size
	for _, p := range points {
		k := key(p.Size)
		if groups[k] == nil {
			keys = append(keys, k)
		}
		groups[k] = append(groups[k], p)
	}
	var best Slope
	var at Size
	found := false
	for _, k := range keys {
		if l, ok := Fit(groups[k], candidates...); ok && (!found || l.Sizes > best.Sizes) {
			best, at, found = l, k, true
		}
	}
	return best, at, found
}

// measuredAt returns the mean of the runs of exactly this size.
func (f *datapathFit) measuredAt(s Size) Value {
	switch {
	case s.Connections == 0:
		return Value{Kind: NotKnown, Note: "clients not told"}
	case len(f.points) == 0:
		return Value{Kind: NotRun}
	}
	sum, n := 0.0, 0.0
	other := Value{}
	for _, p := range f.others {
		if p.Connections == s.Connections && p.Statements == s.Statements && p.Databases == s.Databases {
			other = Value{X: p.Y, Kind: Measured, Note: "with " + p.Name}
		}
	}
	for _, p := range f.points {
		if p.Connections == s.Connections && p.Statements == s.Statements && p.Databases == s.Databases {
			sum, n = sum+p.Y, n+1
		}
	}
	switch {
	case n > 0:
		return Value{X: sum / n, Kind: Measured}
	case other.known():
		return other
	}
	return Value{Kind: NotKnown, Note: "not run at this size"}
}

// at returns the mean of the runs of a size, or else the value from the slopes.
func (f *datapathFit) at(s Size) Value {
	if v := f.measuredAt(s); v.known() || s.Connections == 0 || len(f.points) == 0 {
		return v
	}
	s.Gateways = 1
	switch {
	case f.hasList && s.Connections == f.listSize.Connections && s.Statements == f.listSize.Statements:
		return f.listSlope.value(s)
	case !f.hasLoad:
		return Value{Kind: NotKnown, Note: "too few sizes"}
	case clientsPerStatement(s) != f.loadSize.Connections:
		return Value{Kind: NotKnown, Note: "not run with so many clients for each statement"}
	case !f.hasList && s.Databases != f.loadSize.Databases:
		return Value{Kind: NotKnown, Note: "too few sizes of the list"}
	}
	loadPart, listPart := s, f.listSize
	loadPart.Databases, listPart.Databases = f.loadSize.Databases, s.Databases
	v := f.loadSlope.value(loadPart)
	if d := s.Databases - f.loadSize.Databases; d != 0 && v.known() {
		w := f.listSlope.value(listPart)
		v.X += f.listSlope.Per * d
		if w.Kind == Extrapolated {
			v.Kind, v.BelowMeasured = Extrapolated, v.BelowMeasured || w.BelowMeasured
		}
	}
	return v
}

// datapathFigure makes a figure of datapath runs and shows its slope over load.
func (st *dataset) datapathFigure(name, unit, mechanism string, get func(*Datapath) float64) Figure {
	f := st.fitDatapath(get)
	return Figure{Name: name, Unit: unit, Mechanism: mechanism, At: f.at, Slope: func(int) (Slope, bool) { return f.loadSlope, f.hasLoad }}
}

// clientsFigure is datapathFigure with the slope over clients only, where there are runs for it.
func (st *dataset) clientsFigure(name, unit, mechanism string, get func(*Datapath) float64) Figure {
	f := st.fitDatapath(get)
	return Figure{Name: name, Unit: unit, Mechanism: mechanism, At: f.at, Slope: func(int) (Slope, bool) {
		if f.hasClients {
			return f.clientSlope, true
		}
		return f.loadSlope, f.hasLoad
	}}
}

// listFigure is datapathFigure with the slope over the listed databases.
func (st *dataset) listFigure(name, unit, mechanism string, get func(*Datapath) float64) Figure {
	f := st.fitDatapath(get)
	return Figure{Name: name, Unit: unit, Mechanism: mechanism, At: f.at, Slope: func(int) (Slope, bool) { return f.listSlope, f.hasList }}
}

// toolFigure makes a figure of calls of the operators' tool, which depend on the number of gateways only.
func (st *dataset) toolFigure(command, name, unit, mechanism string, get func(ToolRow) float64) Figure {
	var points []Point
	for _, t := range st.runs.Tool {
		for _, r := range t.Rows {
			if r.Command == command {
				points = append(points, Point{Size{Gateways: r.Gateways}, get(r)})
			}
		}
	}
	slope, ok := Fit(points, Gateways, Square)
	return Figure{Name: "`lilacctl " + command + "`: " + name, Unit: unit, Mechanism: mechanism, Slope: func(int) (Slope, bool) { return slope, ok }, At: func(s Size) Value {
		sum, n := 0.0, 0.0
		for _, p := range points {
			if p.Gateways == s.Gateways {
				sum, n = sum+p.Y, n+1
			}
		}
		switch {
		case n > 0:
			return Value{X: sum / n, Kind: Measured}
		case len(points) == 0:
			return Value{Kind: NotRun}
		case !ok:
			return Value{Kind: NotKnown, Note: "too few sizes"}
		}
		return slope.value(Size{Gateways: s.Gateways})
	}}
}

// roles are the roles of control traffic in the page's order, with the packages that implement them.
var roles = []struct{ name, mechanism string }{
	{"membership", "`internal/fleet/membership`, `internal/peer`"},
	{"positions", "`internal/fleet/state` (Positions), `internal/peer`"},
	{"primaries", "`internal/fleet/state` (Positions), `internal/peer`"},
	{"words", "`internal/fleet/state` (Overrides), `internal/peer`, `internal/overridestore`"},
	{"versions", "`internal/fleet/audit`, `internal/peer`"},
	{"budgets", "`internal/fleet/budget`, `internal/peer`"},
	{"discovery", "`internal/discovery`, `policy` (requestList)"},
}

// roleNames returns the names of roles and of any others that the runs have.
func (st *dataset) roleNames() (names []string) {
	for _, r := range roles {
		names = append(names, r.name)
	}
	var more []string
	for _, s := range st.runs.Scale {
		if s.withMechanism() != st.after {
			continue
		}
		for n := range s.ByRole {
			if !slices.Contains(names, n) && !slices.Contains(more, n) {
				more = append(more, n)
			}
		}
	}
	slices.Sort(more)
	return append(names, more...)
}

func mechanismOf(role string) string {
	for _, r := range roles {
		if r.name == role {
			return r.mechanism
		}
	}
	return "`internal/peer`"
}

func ofRole(name string, get func(RoleTraffic) float64) func(*Scale) (float64, bool) {
	return func(s *Scale) (float64, bool) {
		r, ok := s.ByRole[name]
		return get(r), ok
	}
}

func always(get func(*Scale) float64) func(*Scale) (float64, bool) {
	return func(s *Scale) (float64, bool) { return get(s), true }
}

// optional gets a figure from a part of the report that may be absent.
func optional[T any](which func(*Scale) *T, get func(*T) float64) func(*Scale) (float64, bool) {
	return func(s *Scale) (float64, bool) {
		if p := which(s); p != nil {
			return get(p), true
		}
		return 0, false
	}
}

// keptState returns how many entries each role keeps, as far as the code determines it.
func keptState(role string) (f Figure, ok bool) {
	switch role {
	case "membership":
		return computed("membership: gateways known", "", "G", mechanismOf(role), func(s Size) float64 { return s.Gateways }).within(maxMembers), true
	case "positions", "primaries":
		return computed(role+": databases kept", "", "D", mechanismOf(role), func(s Size) float64 { return s.Databases }), true
	case "words":
		return computed("words: kept at most, for databases and gateways", "", "1,024", mechanismOf(role), func(s Size) float64 { return 1024 }), true
	case "versions":
		return computed("versions: gateways known", "", "G", mechanismOf(role), func(s Size) float64 { return s.Gateways }).within(4096), true
	case "budgets":
		return computed("budgets: databases with an account", "", "D", mechanismOf(role), func(s Size) float64 { return s.Databases }).within(4096), true
	case "discovery":
		return computed("discovery: databases listed", "", "D", mechanismOf(role), func(s Size) float64 { return s.Databases }), true
	}
	return Figure{}, false
}
