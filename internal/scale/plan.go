// Package scale plays a fleet of many gateways on one machine: hollow ones that share processes, some real ones beside them, the
// list of databases, and the network between regions; and measures what each costs.
package scale

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"lilaccove/internal/fleet"
	"lilaccove/internal/wan"
	"lilaccove/internal/yamlfile"
)

// Plan is a whole run.
type Plan struct {
	Seed      uint64
	Gateways  int
	Databases int
	Group     int // databases of one group
	Real      int // of the gateways: processes of the whole program, with clients
	Hollow    int // gateways in one process
	Regions   []Region
	RTT, Loss Spread
	Jitter    time.Duration // of one way, between regions
	Load      Load
	Clients   float64       // requests a second at each real gateway
	Pace      time.Duration // between the starts of processes
	Settle    time.Duration
	For       time.Duration
	Events    []Event
	Allowance Allowance
	Limits    Limits

	fleet *yaml.Node
}

// Region has zones.
type Region struct {
	Name  string
	Zones []string
}

// Spread is a figure of links, by whether they leave the region.
type Spread struct{ Within, Between float64 } // s, shares

// Load is what a hollow gateway is fed with.
type Load struct {
	Statements float64 // a second
	Skew       float64 // the exponent of Zipf's law over the databases; 0: as the module spreads them
}

// Allowance is what one gateway's control side may use.
type Allowance struct {
	BytesOut  float64 // a second, in any window of 10 s
	Core      float64 // share of one
	MemoryMB  float64
	Discovery float64 // calls a second at discovery, of all gateways, once the fleet has settled
}

// Limits bound the run itself.
type Limits struct {
	Memory    float64       // share of the machine's
	Processes int           // in all
	Lateness  time.Duration // p99 of it, over which a run is invalid
}

// Event is something that befalls the fleet.
type Event struct {
	At       time.Duration
	Do       string
	Count    int      // of gateways, drawn by the seed
	Gateways []string // or these
	Zone     string
	Back     time.Duration // they start again after so long; 0: never
	Every    time.Duration // between one and the next
	For      time.Duration
	Sides    [2][]string // regions
	Groups   int
	line     *yaml.Node
}

// The events.
const (
	doKill    = "kill"
	doEnd     = "end"
	doRestart = "restart"
	doRack    = "rack"
	doZone    = "zone-down"
	doCut     = "cut"
	doPrimary = "primary-change"
	doList    = "list-change"
)

// eventKeys are what each kind of event may say.
var eventKeys = map[string][]string{
	doKill: {"gateways", "back"}, doEnd: {"gateways", "back"}, doRestart: {"gateways", "every"}, doRack: {"gateways", "zone", "back"},
	doZone: {"zone", "for"}, doCut: {"sides", "for"}, doPrimary: {"groups"}, doList: {"gateways", "for"},
}

// Override is what flags say instead of the plan; zero values say nothing.
type Override struct {
	Gateways, Databases, Regions int
	RTT                          time.Duration
	Seed                         int64 // -1: nothing
	Settle, For                  time.Duration
	Real                         int      // -1: nothing
	Statements                   float64  // a second; below 0: nothing
	Without                      []string // keys of the plan's fleet mapping that are left out
}

// NoOverride leaves a plan as it is.
func NoOverride() Override { return Override{Seed: -1, Real: -1, Statements: -1} }

const (
	grace     = 20 * time.Second // after a fault for which a death that is told may come from it
	startTime = 30 * time.Second
	realOnes  = 8 // where a plan does not say
)

const windowSeconds = 10 // of a window against which an allowance is held

type reader struct {
	*yamlfile.Reader
	names map[string]int // of gateways
}

// Parse reads a plan, and what flags say instead of it. Everything that is wrong with it is told at once, with its place.
func Parse(file string, text []byte, o Override) (*Plan, error) {
	base, top, err := yamlfile.Parse(file, text, "plan")
	if err != nil {
		return nil, err
	}
	r := &reader{Reader: base}
	p := &Plan{
		Seed: 1, Gateways: 8, Databases: 16, Group: 4, Hollow: 35, RTT: Spread{Within: 0.0005}, Load: Load{Statements: 0}, Clients: 20,
		Pace: 200 * time.Millisecond, Settle: 15 * time.Second, For: 30 * time.Second,
		Allowance: Allowance{BytesOut: 5000, Core: 0.019, MemoryMB: 256, Discovery: 0},
		Limits:    Limits{Memory: 0.5, Processes: 300, Lateness: 20 * time.Millisecond},
	}
	f := r.Fields(top, "", "seed", "gateways", "databases", "group", "real", "hollow_per_process", "regions", "rtt", "loss", "load",
		"clients", "fleet", "pace", "settle", "for", "events", "allowance", "limits")
	whole := func(key string, to *int, least, most int) {
		if f[key] != nil {
			*to = r.Count(f[key], key, least, most)
		}
	}
	seed := 1
	whole("seed", &seed, 0, 1<<52)
	p.Seed = uint64(seed)
	whole("gateways", &p.Gateways, 1, 2000)
	whole("databases", &p.Databases, 1, 4000)
	whole("group", &p.Group, 1, 100)
	whole("real", &p.Real, 0, 64)
	whole("hollow_per_process", &p.Hollow, 1, 200)
	r.spreads(p, f)
	if f["clients"] != nil {
		p.Clients = r.Rate(f["clients"], "clients")
	}
	if l := r.Fields(f["load"], "load", "statements", "skew"); len(l) > 0 {
		if l["statements"] != nil {
			p.Load.Statements = r.Rate(l["statements"], "statements")
		}
		if l["skew"] != nil {
			p.Load.Skew = r.Float(l["skew"], "skew")
		}
	}
	for key, to := range map[string]*time.Duration{"pace": &p.Pace, "settle": &p.Settle, "for": &p.For} {
		if f[key] != nil {
			*to = r.Duration(f[key], key)
		}
	}
	r.regions(p, f["regions"], top)
	r.allowance(p, f["allowance"])
	r.limits(p, f["limits"])
	if p.override(o); f["real"] == nil && o.Real < 0 {
		p.Real = min(realOnes, p.Gateways)
	}
	r.check(p, f, top)
	r.events(p, f["events"])
	r.fleet(p, f["fleet"], o.Without)
	if err := r.Err(); err != nil {
		return nil, err
	}
	return p, nil
}

// override applies flags.
func (p *Plan) override(o Override) {
	if o.Gateways > 0 {
		p.Gateways = o.Gateways
	}
	if o.Databases > 0 {
		p.Databases = o.Databases
	}
	if o.Regions > 0 {
		p.redivide(o.Regions)
	}
	if o.RTT > 0 {
		p.RTT.Between = o.RTT.Seconds()
	}
	if o.Seed >= 0 {
		p.Seed = uint64(o.Seed)
	}
	if o.Settle > 0 {
		p.Settle = o.Settle
	}
	if o.For > 0 {
		p.For = o.For
	}
	if o.Real >= 0 {
		p.Real = o.Real
	}
	if o.Statements >= 0 {
		p.Load.Statements = o.Statements
	}
}

// redivide spreads all zones evenly over another number of regions, of which the first keep their names. More regions than zones
// are as many as there are zones.
func (p *Plan) redivide(n int) {
	zones := p.Zones()
	slices.Sort(zones)
	n = min(n, len(zones))
	list := make([]Region, n)
	for i := range list {
		if list[i].Name = fmt.Sprintf("region%d", i+1); i < len(p.Regions) {
			list[i].Name = p.Regions[i].Name
		}
		list[i].Zones = zones[i*len(zones)/n : (i+1)*len(zones)/n]
	}
	p.Regions = list
}

// Zones are all, one of each region after the other, so that neighbours in the order are in different regions.
func (p *Plan) Zones() (list []string) {
	for i := 0; ; i++ {
		n := len(list)
		for _, r := range p.Regions {
			if i < len(r.Zones) {
				list = append(list, r.Zones[i])
			}
		}
		if n == len(list) {
			return list
		}
	}
}

// Region is the number of a zone's.
func (p *Plan) Region(zone string) int {
	return slices.IndexFunc(p.Regions, func(r Region) bool { return slices.Contains(r.Zones, zone) })
}

// Name is that of a gateway.
func (p *Plan) Name(g int) string { return fmt.Sprintf("g%03d", g) }

func (r *reader) regions(p *Plan, n, top *yaml.Node) {
	if n == nil {
		r.AddError(top, "regions", "missing; name each region with its zones, like {north: [n1, n2], south: [s1]}")
		return
	}
	if n.Kind != yaml.MappingNode || len(n.Content) == 0 {
		r.AddError(n, "regions", "each region with its zones is wanted, like {north: [n1, n2], south: [s1]}")
		return
	}
	r.Fields(n, "regions") // duplicates
	in := map[string]string{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		k, v := n.Content[i], n.Content[i+1]
		if !fleet.ValidName(k.Value) {
			r.AddError(k, "regions", "%q is no name; letters, digits, dots, dashes and underscores, 64 at most", k.Value)
		}
		region := Region{Name: k.Value}
		if v.Kind != yaml.SequenceNode || len(v.Content) == 0 {
			r.AddError(v, k.Value, "the region has no zones; list at least one, like [n1]")
			continue
		}
		for _, z := range v.Content {
			name, ok := r.Text(z, k.Value)
			switch was, twice := in[name]; {
			case !ok:
			case !fleet.ValidName(name):
				r.AddError(z, k.Value, "%q is no name of a zone", name)
			case twice && was == k.Value:
				r.AddError(z, k.Value, "zone %s stands twice", name)
			case twice:
				r.AddError(z, k.Value, "zone %s is in region %s already; it can be in one only", name, was)
			default:
				in[name] = k.Value
				region.Zones = append(region.Zones, name)
			}
		}
		p.Regions = append(p.Regions, region)
	}
	if len(in) > wan.MaxZones {
		r.AddError(n, "regions", "%d zones; up to %d would do", len(in), wan.MaxZones)
	}
}

func (r *reader) spreads(p *Plan, f map[string]*yaml.Node) {
	rtt := r.Fields(f["rtt"], "rtt", "within", "between", "jitter")
	for key, to := range map[string]*float64{"within": &p.RTT.Within, "between": &p.RTT.Between} {
		if rtt[key] != nil {
			*to = r.Duration(rtt[key], key).Seconds()
		}
	}
	if rtt["jitter"] != nil {
		p.Jitter = r.Duration(rtt["jitter"], "jitter")
	}
	loss := r.Fields(f["loss"], "loss", "within", "between")
	for key, to := range map[string]*float64{"within": &p.Loss.Within, "between": &p.Loss.Between} {
		if loss[key] != nil {
			*to = r.Percentage(loss[key], key)
		}
	}
}

func (r *reader) allowance(p *Plan, n *yaml.Node) {
	f := r.Fields(n, "allowance", "bytes_out", "core", "memory", "discovery")
	if f["bytes_out"] != nil {
		p.Allowance.BytesOut, _ = r.Number(f["bytes_out"], "bytes_out", "5 kB/s", map[string]float64{"B/s": 1, "kB/s": 1e3, "MB/s": 1e6})
	}
	if f["core"] != nil {
		p.Allowance.Core = r.Percentage(f["core"], "core")
	}
	if f["memory"] != nil {
		p.Allowance.MemoryMB, _ = r.Number(f["memory"], "memory", "256 MB", map[string]float64{"MB": 1, "GB": 1000})
	}
	if f["discovery"] != nil {
		p.Allowance.Discovery = r.Rate(f["discovery"], "discovery")
	}
}

func (r *reader) limits(p *Plan, n *yaml.Node) {
	f := r.Fields(n, "limits", "memory", "processes", "lateness")
	if f["memory"] != nil {
		if p.Limits.Memory = r.Percentage(f["memory"], "memory"); p.Limits.Memory > 0.5 {
			r.AddError(f["memory"], "memory", "up to half of the machine's would do")
		}
	}
	if f["processes"] != nil {
		p.Limits.Processes = r.Count(f["processes"], "processes", 2, 300)
	}
	if f["lateness"] != nil {
		p.Limits.Lateness = r.Duration(f["lateness"], "lateness")
	}
}

// check holds against each other what is right by itself.
func (r *reader) check(p *Plan, f map[string]*yaml.Node, top *yaml.Node) {
	at := func(key string) *yaml.Node {
		if f[key] != nil {
			return f[key]
		}
		return top
	}
	if p.Real > p.Gateways {
		r.AddError(at("real"), "real", "%d of %d gateways", p.Real, p.Gateways)
	}
	if n := len(p.Zones()); n > p.Gateways {
		r.AddError(at("gateways"), "gateways", "%d for %d zones: each wants one at least", p.Gateways, n)
	}
	if p.RTT.Between < p.RTT.Within && len(p.Regions) > 1 {
		r.AddError(at("rtt"), "rtt", "%v between regions, less than %v within one", seconds(p.RTT.Between), seconds(p.RTT.Within))
	}
	if n := p.Processes(); n > p.Limits.Processes {
		r.AddError(at("hollow_per_process"), "hollow_per_process", "%d processes in all, over the bound of %d; put more gateways into one", n, p.Limits.Processes)
	}
	if p.For < windowSeconds*time.Second {
		r.AddError(at("for"), "for", "%v; windows of %d s are measured, so that is the least", p.For, windowSeconds)
	}
	r.names = map[string]int{}
	for g := range p.Gateways {
		r.names[p.Name(g)] = g
	}
}

// Processes is how many a run starts, itself included.
func (p *Plan) Processes() int { return 1 + p.Real + (p.Gateways-p.Real+p.Hollow-1)/p.Hollow }

func (r *reader) events(p *Plan, n *yaml.Node) {
	if n == nil {
		return
	}
	if n.Kind != yaml.SequenceNode {
		r.AddError(n, "events", "a list is wanted")
		return
	}
	for _, v := range n.Content {
		f := r.Fields(v, "event", "at", "do", "gateways", "zone", "back", "every", "for", "sides", "groups")
		e := Event{line: v, Count: 1, Groups: 1}
		if e.Do, _ = r.Text(f["do"], "do"); eventKeys[e.Do] == nil {
			r.AddError(v, "do", "%q is not one of %s", e.Do, strings.Join(slices.Sorted(maps.Keys(eventKeys)), ", "))
			continue
		}
		for i := 0; i+1 < len(v.Content); i += 2 {
			if k := v.Content[i]; k.Value != "at" && k.Value != "do" && f[k.Value] != nil && !slices.Contains(eventKeys[e.Do], k.Value) {
				r.AddError(k, k.Value, "an event of kind %s does not use it", e.Do)
			}
		}
		for key, to := range map[string]*time.Duration{"at": &e.At, "back": &e.Back, "every": &e.Every, "for": &e.For} {
			if f[key] != nil {
				*to = r.Duration(f[key], key)
			}
		}
		if f["at"] == nil {
			r.AddError(v, "at", "missing")
		} else if e.At+e.For > p.For {
			r.AddError(f["at"], "at", "the event lasts until %v, the run %v; make for longer", e.At+e.For, p.For)
		}
		if e.For == 0 && (e.Do == doZone || e.Do == doCut) {
			r.AddError(v, "for", "missing; an event of kind %s wants it", e.Do)
		}
		r.whom(p, &e, f["gateways"])
		if f["groups"] != nil {
			e.Groups = r.Count(f["groups"], "groups", 1, (p.Databases+p.Group-1)/p.Group)
		}
		if e.Zone, _ = r.Text(f["zone"], "zone"); e.Zone != "" && !slices.Contains(p.Zones(), e.Zone) {
			r.AddError(f["zone"], "zone", "%q is unknown; one of %s is meant, perhaps", e.Zone, strings.Join(p.Zones(), ", "))
		} else if e.Zone == "" && e.Do == doZone {
			r.AddError(v, "zone", "missing; an event of kind %s wants it", e.Do)
		}
		if e.Do == doCut {
			r.sides(p, &e, f["sides"], v)
		}
		p.Events = append(p.Events, e)
	}
}

func (r *reader) whom(p *Plan, e *Event, n *yaml.Node) {
	switch {
	case n == nil && e.Do == doRack:
		e.Count = min(16, p.Gateways)
	case n == nil && e.Do == doList:
		e.Count = 0
	case n == nil:
	case n.Kind == yaml.SequenceNode:
		for _, v := range n.Content {
			name, ok := r.Text(v, "gateways")
			if _, known := r.names[name]; ok && !known {
				r.AddError(v, "gateways", "%q is unknown; they are named %s to %s", name, p.Name(0), p.Name(p.Gateways-1))
			}
			e.Gateways = append(e.Gateways, name)
		}
	default:
		e.Count = r.Count(n, "gateways", 0, p.Gateways)
	}
}

func (r *reader) sides(p *Plan, e *Event, n, event *yaml.Node) {
	if n == nil || n.Kind != yaml.SequenceNode || len(n.Content) != 2 {
		if n == nil {
			n = event
		}
		r.AddError(n, "sides", "two lists of regions are wanted, like [[north], [south, west]]")
		return
	}
	in := map[string]bool{}
	for i, side := range n.Content {
		if side.Kind != yaml.SequenceNode || len(side.Content) == 0 {
			r.AddError(side, "sides", "a list of regions is wanted, like [north]")
			continue
		}
		for _, v := range side.Content {
			name, _ := r.Text(v, "sides")
			if !slices.ContainsFunc(p.Regions, func(r Region) bool { return r.Name == name }) {
				var known []string
				for _, region := range p.Regions {
					known = append(known, region.Name)
				}
				r.AddError(v, "sides", "region %q is unknown; the plan has %s", name, strings.Join(known, ", "))
			}
			if in[name] {
				r.AddError(v, "sides", "region %s stands twice", name)
			}
			in[name] = true
			e.Sides[i] = append(e.Sides[i], name)
		}
	}
}

// ownKeys of a fleet file are set by the run.
var ownKeys = []string{"fleet", "listen", "advertise", "seeds", "dial"}

// fleet keeps the part of the fleet file that the plan gives, and has it read as a gateway would.
func (r *reader) fleet(p *Plan, n *yaml.Node, without []string) {
	f := r.Fields(n, "fleet")
	for _, key := range without {
		if f[key] == nil {
			r.AddError(n, "fleet", "%q is to be left out, and not there", key)
		}
	}
	if n == nil {
		return
	}
	for _, key := range ownKeys {
		if f[key] != nil {
			r.AddError(f[key], key, "the run sets it for each gateway")
		}
	}
	if n.Kind != yaml.MappingNode || len(r.Errors) > 0 {
		return
	}
	part := *n
	part.Content = nil
	for i := 0; i+1 < len(n.Content); i += 2 {
		if !slices.Contains(without, n.Content[i].Value) {
			part.Content = append(part.Content, n.Content[i], n.Content[i+1])
		}
	}
	if len(part.Content) == 0 {
		return
	}
	p.fleet = &part
	text, err := p.FleetFile(0, "/tmp", nil)
	if err == nil {
		_, err = fleet.Parse("fleet", text)
	}
	faults, ok := err.(yamlfile.Errors)
	if err != nil && !ok {
		faults = yamlfile.Errors{err.Error()}
	}
	for _, fault := range faults {
		// The place is that of the file which was made: the key tells where it stands here.
		_, what, _ := strings.Cut(fault, ": ")
		key, _, _ := strings.Cut(what, ": ")
		at := n
		find(n, key, &at)
		r.AddError(at, "fleet", "%s", what)
	}
}

// find looks for a key at any depth.
func find(n *yaml.Node, key string, at **yaml.Node) {
	for i := 0; n.Kind == yaml.MappingNode && i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == key {
			*at = n.Content[i]
			return
		}
		find(n.Content[i+1], key, at)
	}
}

func seconds(s float64) time.Duration { return time.Duration(math.Round(s * float64(time.Second))) }
