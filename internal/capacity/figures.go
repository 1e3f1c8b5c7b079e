package capacity

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Kind tells where a value is from.
type Kind int

// The kinds.
const (
	NotKnown   Kind = iota
	NotRun          // no run is there that would tell
	Given           // the letter's
	Arithmetic      // by the formula beside it
	Measured        // in a run of that very size
	Fitted          // by a slope, within the sizes it was measured over
	Beyond          // by a slope, outside them
)

var kinds = [...]string{"not known", "not run", "given", "arithmetic", "measured", "from the slope", "from the slope, beyond the sizes measured"}

// Value is a figure at a size.
type Value struct {
	X     float64
	Kind  Kind
	Note  string
	Under bool // of a size smaller than all measured
	Else  bool // of a run of another size
}

func (v Value) known() bool { return v.Kind > NotRun }

// Figure is one line of a table.
type Figure struct {
	Name, Unit string
	At         func(Size) Value
	Slope      func(regions int) (Slope, bool) // nil: no slope is fitted
	Formula    string
	Bounded    bool // Allowance holds
	Allowance  float64
	Allowed    string // in place of a number
	Mechanism  string
}

// Part is one table's worth of figures.
type Part struct {
	Name    string // of its markers
	Title   string
	Figures []Figure
}

// state is what is computed from: the runs, with or without the mechanism that came out of them.
type state struct {
	runs  *Runs
	after bool
	sets  map[int][]Scale // see series
}

// calm tells whether nothing befell the fleet: slopes are fitted on such runs alone.
func calm(s *Scale) bool {
	return len(s.ViewsEqual) == 0 && !slices.ContainsFunc(strings.Split(s.plan(), "-"), func(w string) bool { return w == "worst" || w == "faults" || w == "fault" })
}

// series are the runs of one plan and one round-trip time with so many regions that have the most sizes.
func (st *state) series(regions int) []Scale {
	if best, ok := st.sets[regions]; ok {
		return best
	}
	type key struct {
		plan string
		rtt  float64
	}
	groups := map[key][]Scale{}
	var keys []key
	for _, s := range st.runs.Scale {
		if !s.good() || !s.target() || s.Regions != regions || s.after() != st.after || !calm(&s) {
			continue
		}
		if s.Regions > 1 && s.RTT != targetRTT {
			continue
		}
		k := key{s.plan(), s.RTT}
		if groups[k] == nil {
			keys = append(keys, k)
		}
		groups[k] = append(groups[k], s)
	}
	var best []Scale
	most := 0
	for _, k := range keys {
		sizes := map[[2]int]bool{}
		for _, s := range groups[k] {
			sizes[[2]int{s.Gateways, s.Databases}] = true
		}
		if len(sizes) >= most {
			best, most = groups[k], len(sizes)
		}
	}
	if st.sets == nil {
		st.sets = map[int][]Scale{}
	}
	st.sets[regions] = best
	return best
}

func (s *Scale) size() Size {
	return Size{Gateways: float64(s.Gateways), Databases: float64(s.Databases), Regions: s.Regions}
}

// fitted is one figure of scale runs with its slopes, by the number of regions.
type fitted struct {
	st        *state
	get, most func(*Scale) (float64, bool) // most: in the worst hour
	slopes    map[int]*Slope               // nil: none can be fitted
}

// points are what the runs of a set say; those that do not have the figure are left out.
func (f *fitted) points(regions int) (list []Point) {
	for _, s := range f.st.series(regions) {
		if y, ok := f.get(&s); ok {
			list = append(list, Point{s.size(), y})
		}
	}
	return list
}

func (f *fitted) slope(regions int) (Slope, bool) {
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

// at is what runs of a size say, or else the slope; in the worst hour the runs with faults alone, the most of them.
func (f *fitted) at(s Size) Value {
	if s.Name == Worst.Name {
		return f.st.worst(f.most)
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
		return f.moved(s)
	}
	return l.value(s)
}

// moved is for regions that were run at too few sizes for a slope: the line of one region, moved by what regions made of it at
// the sizes that were run with both. It is an extrapolation.
func (f *fitted) moved(s Size) Value {
	none := Value{Kind: NotKnown, Note: "too few sizes"}
	l, ok := f.slope(Today.Regions)
	if !ok || s.Regions == Today.Regions {
		return none
	}
	sum, n, at := 0.0, 0.0, Size{}
	for _, p := range f.points(s.Regions) {
		for _, q := range f.points(Today.Regions) {
			if p.Gateways == q.Gateways && p.Databases == q.Databases {
				sum, n, at = sum+p.Y-q.Y, n+1, p.Size
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
	note := fmt.Sprintf("regions by the difference at %s by %s", number(at.Gateways), number(at.Databases))
	if n > 1 {
		note = fmt.Sprintf("regions by the mean difference at %s sizes", number(n))
	}
	if v.Note != "" {
		note += "; " + v.Note
	}
	v.X, v.Kind, v.Note = v.X+sum/n, Beyond, note
	if v.X < 0 {
		return none
	}
	return v
}

// value is a line at a size, with how far it can be trusted.
func (l Slope) value(s Size) Value {
	y, beyond := l.At(s)
	v := Value{X: y, Kind: Fitted}
	if l.Residual > poorFit {
		v.Note = fmt.Sprintf("a poor fit: residual %.0f%%", 100*l.Residual)
	}
	switch {
	case y < 0:
		return Value{Kind: NotKnown, Note: "the slope leads under 0"}
	case beyond:
		v.Kind, v.Under = Beyond, s.Gateways < l.low.Gateways || s.Databases < l.low.Databases
	}
	return v
}

// worst is the most that any run with faults came to.
func (st *state) worst(get func(*Scale) (float64, bool)) Value {
	v := Value{Kind: NotRun}
	for _, s := range st.runs.Scale {
		if !s.good() || s.after() != st.after || calm(&s) {
			continue
		}
		if y, ok := get(&s); ok && (v.Kind == NotRun || y > v.X) {
			v = Value{X: y, Kind: Measured}
			if float64(s.Gateways) != Worst.Gateways || float64(s.Databases) != Worst.Databases || s.Regions != Worst.Regions {
				v.Else, v.Note = true, fmt.Sprintf("at %d by %d, %s", s.Gateways, s.Databases, regions(s.Regions))
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

// measured makes a figure of scale runs.
func (st *state) measured(name, unit, mechanism string, get func(*Scale) (float64, bool)) Figure {
	return st.most(name, unit, mechanism, get, get)
}

// most is measured with another figure for the worst hour.
func (st *state) most(name, unit, mechanism string, get, most func(*Scale) (float64, bool)) Figure {
	f := &fitted{st: st, get: get, most: most, slopes: map[int]*Slope{}}
	return Figure{Name: name, Unit: unit, Mechanism: mechanism, At: f.at, Slope: f.slope}
}

// calibrated is a figure of hollow gateways as real ones would have it, by the ratio of the last loaded calibration.
func (st *state) calibrated(f Figure, get func(*Control) *Stat) (Figure, bool) {
	for _, c := range slices.Backward(st.runs.Calibration) {
		h, x := get(&c.Hollow.Control), get(&c.Real.Control)
		if !c.good() || c.State != "loaded" || h == nil || x == nil || h.Mean == 0 {
			continue
		}
		ratio, at := x.Mean/h.Mean, f.At
		f.Slope, f.Formula = nil, "that of hollow ones x "+number(ratio)+": real / hollow, `"+c.File+"`"
		f.At = func(s Size) Value {
			v := at(s)
			v.X *= ratio
			return v
		}
		return f, true
	}
	return f, false
}

// computed makes a figure by a formula. In the worst hour it is the most of the cases that the hour may bring.
func computed(name, unit, formula, mechanism string, f func(Size) float64, needs ...Variable) Figure {
	return Figure{Name: name, Unit: unit, Formula: formula, Mechanism: mechanism, At: func(s Size) Value {
		if s.Name != Worst.Name {
			for _, v := range needs {
				if v.Of(s) == 0 {
					return Value{Kind: NotKnown, Note: "clients not told"}
				}
			}
			return Value{X: f(s), Kind: Arithmetic}
		}
		v := Value{X: math.Inf(-1), Kind: Arithmetic}
		for _, h := range worstHours {
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

// dataFit is one figure of runs of one gateway with its clients, and its slopes.
type dataFit struct {
	points         []Point
	others         []Point // made with other settings, which their names tell
	list, load     Slope   // what each listed database costs; what clients and statements cost
	listAt, loadAt Size    // what was equal in the runs of each
	listed, loaded bool
	each           Slope // what clients cost where statements and list are equal
	hasEach        bool
}

// setting is the one that most good runs of the data path were made with, the first of equals; others are in no figure.
func (r *Runs) setting() (most string) {
	n := map[string]int{}
	for i := range r.Datapath {
		if d := &r.Datapath[i]; d.good() {
			n[d.setting()]++
		}
	}
	for i := range r.Datapath {
		if s := r.Datapath[i].setting(); n[s] > n[most] {
			most = s
		}
	}
	return most
}

func (st *state) fitData(get func(*Datapath) float64) *dataFit {
	f := &dataFit{}
	setting := st.runs.setting()
	for i := range st.runs.Datapath {
		d := &st.runs.Datapath[i]
		p := Point{Size{Gateways: 1, Databases: d.Databases, Connections: d.Clients, Statements: d.Statements}, get(d)}
		switch {
		case !d.good():
		case d.setting() == setting:
			f.points = append(f.points, p)
		default:
			p.Name = differs(d.setting(), setting)
			f.others = append(f.others, p)
		}
	}
	f.list, f.listAt, f.listed = alike(f.points, func(s Size) Size { s.Databases = 0; return s }, Databases)
	f.load, f.loadAt, f.loaded = alike(f.points, func(s Size) Size { s.Connections, s.Statements = clientsEach(s), 0; return s }, Connections, Statements)
	f.each, _, f.hasEach = alike(slices.Concat(f.points, f.others), func(s Size) Size { s.Connections = 0; return s }, Connections)
	return f
}

// clientsEach are the clients for each statement a second, to a tenth: a line over load is of one such mix.
func clientsEach(s Size) float64 { return math.Round(10*s.Connections/s.Statements) / 10 }

// differs is what one setting says and another does not.
func differs(one, other string) string {
	usual := strings.Fields(other)
	return strings.Join(slices.DeleteFunc(strings.Fields(one), func(w string) bool { return slices.Contains(usual, w) }), " ")
}

// alike fits over the largest group of points that are equal in what key leaves.
func alike(points []Point, key func(Size) Size, candidates ...Variable) (Slope, Size, bool) {
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

// exact is what runs of a size say, and nothing else.
func (f *dataFit) exact(s Size) Value {
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

// at is what runs of a size say, or else the slopes.
func (f *dataFit) at(s Size) Value {
	if v := f.exact(s); v.known() || s.Connections == 0 || len(f.points) == 0 {
		return v
	}
	s.Gateways = 1
	switch {
	case f.listed && s.Connections == f.listAt.Connections && s.Statements == f.listAt.Statements:
		return f.list.value(s)
	case !f.loaded:
		return Value{Kind: NotKnown, Note: "too few sizes"}
	case clientsEach(s) != f.loadAt.Connections:
		return Value{Kind: NotKnown, Note: "not run with so many clients for each statement"}
	case !f.listed && s.Databases != f.loadAt.Databases:
		return Value{Kind: NotKnown, Note: "too few sizes of the list"}
	}
	x, z := s, f.listAt
	x.Databases, z.Databases = f.loadAt.Databases, s.Databases
	v := f.load.value(x)
	if d := s.Databases - f.loadAt.Databases; d != 0 && v.known() {
		w := f.list.value(z)
		v.X += f.list.Per * d
		if w.Kind == Beyond {
			v.Kind, v.Under = Beyond, v.Under || w.Under
		}
	}
	return v
}

// data makes a figure of runs of one gateway with the slope over its load beside it.
func (st *state) data(name, unit, mechanism string, get func(*Datapath) float64) Figure {
	f := st.fitData(get)
	return Figure{Name: name, Unit: unit, Mechanism: mechanism, At: f.at, Slope: func(int) (Slope, bool) { return f.load, f.loaded }}
}

// byClients is data with the slope over clients alone, where there are runs for it.
func (st *state) byClients(name, unit, mechanism string, get func(*Datapath) float64) Figure {
	f := st.fitData(get)
	return Figure{Name: name, Unit: unit, Mechanism: mechanism, At: f.at, Slope: func(int) (Slope, bool) {
		if f.hasEach {
			return f.each, true
		}
		return f.load, f.loaded
	}}
}

// byList is data with the slope over the databases listed.
func (st *state) byList(name, unit, mechanism string, get func(*Datapath) float64) Figure {
	f := st.fitData(get)
	return Figure{Name: name, Unit: unit, Mechanism: mechanism, At: f.at, Slope: func(int) (Slope, bool) { return f.list, f.listed }}
}

// asked makes a figure of calls of the operators' tool, which see gateways only.
func (st *state) asked(what, name, unit, mechanism string, get func(ToolRow) float64) Figure {
	var points []Point
	for _, t := range st.runs.Tool {
		for _, r := range t.Rows {
			if r.What == what {
				points = append(points, Point{Size{Gateways: r.Gateways}, get(r)})
			}
		}
	}
	l, ok := Fit(points, Gateways, Square)
	return Figure{Name: "`lilacctl " + what + "`: " + name, Unit: unit, Mechanism: mechanism, Slope: func(int) (Slope, bool) { return l, ok }, At: func(s Size) Value {
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
		return l.value(Size{Gateways: s.Gateways})
	}}
}

// roles are the parts of control, in the order of the page, and by what they are carried.
var roles = []struct{ name, mechanism string }{
	{"membership", "`internal/fleet/membership`, `internal/peer`"},
	{"positions", "`internal/fleet/state` (Positions), `internal/peer`"},
	{"primaries", "`internal/fleet/state` (Positions), `internal/peer`"},
	{"words", "`internal/fleet/state` (Words), `internal/peer`, `internal/wordstore`"},
	{"versions", "`internal/fleet/audit`, `internal/peer`"},
	{"budgets", "`internal/fleet/budget`, `internal/peer`"},
	{"discovery", "`internal/discovery`, `policy` (askForList)"},
}

// roleNames are those, and others that a run tells of.
func (st *state) roleNames() (names []string) {
	for _, r := range roles {
		names = append(names, r.name)
	}
	var more []string
	for _, s := range st.runs.Scale {
		if s.after() != st.after {
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

func carrier(role string) string {
	for _, r := range roles {
		if r.name == role {
			return r.mechanism
		}
	}
	return "`internal/peer`"
}

func role(name string, get func(RoleTraffic) float64) func(*Scale) (float64, bool) {
	return func(s *Scale) (float64, bool) {
		r, ok := s.ByRole[name]
		return get(r), ok
	}
}

func overall(get func(*Scale) float64) func(*Scale) (float64, bool) {
	return func(s *Scale) (float64, bool) { return get(s), true }
}

// some takes from what may be absent.
func some[T any](which func(*Scale) *T, get func(*T) float64) func(*Scale) (float64, bool) {
	return func(s *Scale) (float64, bool) {
		if p := which(s); p != nil {
			return get(p), true
		}
		return 0, false
	}
}

// states are what each part of control keeps, as far as it follows from the code.
func states(role string) (f Figure, ok bool) {
	switch role {
	case "membership":
		return computed("membership: gateways known", "", "G", carrier(role), func(s Size) float64 { return s.Gateways }).within(membersMost), true
	case "positions", "primaries":
		return computed(role+": databases kept", "", "D", carrier(role), func(s Size) float64 { return s.Databases }), true
	case "words":
		return computed("words: kept at most, for databases and gateways", "", "1,024", carrier(role), func(s Size) float64 { return 1024 }), true
	case "versions":
		return computed("versions: gateways known", "", "G", carrier(role), func(s Size) float64 { return s.Gateways }).within(4096), true
	case "budgets":
		return computed("budgets: databases with an account", "", "D", carrier(role), func(s Size) float64 { return s.Databases }).within(4096), true
	case "discovery":
		return computed("discovery: databases listed", "", "D", carrier(role), func(s Size) float64 { return s.Databases }), true
	}
	return Figure{}, false
}
