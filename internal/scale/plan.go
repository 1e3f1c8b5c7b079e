// Package scale runs a fleet of many gateways on one machine and measures what each gateway costs: hollow gateways that share
// processes, some real ones, the list of databases, and the network between regions.
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

// Plan describes a scale run.
type Plan struct {
	Seed             uint64
	Gateways         int
	Databases        int
	GroupSize        int // databases per group
	RealGateways     int // how many of the gateways are processes of the whole program, with clients
	HollowPerProcess int // hollow gateways in one process
	Regions          []Region
	RTT, Loss        LinkProperty
	Jitter           time.Duration // of the one-way delay between regions
	Load             Load
	RequestsPerS     float64       // to each real gateway
	StartInterval    time.Duration // between the starts of two processes
	Settle           time.Duration
	Duration         time.Duration
	Events           []Event
	Allowance        Allowance
	Limits           Limits

	fleetNode *yaml.Node
}

// Region is a region and its zones.
type Region struct {
	Name  string
	Zones []string
}

// LinkProperty is a property of links within a region and between regions.
type LinkProperty struct{ Within, Between float64 } // seconds for RTT, shares for loss

// Load is the load generated in each hollow gateway.
type Load struct {
	StatementsPerS float64
	Skew           float64 // exponent of Zipf's law over the databases; 0: even
}

// Allowance is the most that the control side of one gateway may use.
type Allowance struct {
	BytesOutPerS       float64 // in any window of windowSeconds
	CoreShare          float64
	MemoryMB           float64
	DiscoveryCallsPerS float64 // by all gateways, after the settling time; 0: unlimited
}

// Limits bounds the resources of the run itself.
type Limits struct {
	MemoryShare float64       // share of the machine's memory
	Processes   int           // all, with the run itself
	Lateness    time.Duration // p99 above which a run is invalid
}

// Event is a fault or a change that the run applies to the fleet.
type Event struct {
	At           time.Duration
	Kind         string
	Count        int      // number of gateways, drawn from the seed
	Gateways     []string // these gateways instead of Count
	Zone         string
	RestartAfter time.Duration // time after which the gateways start again; 0: never
	Interval     time.Duration // between the restarts of two gateways
	Duration     time.Duration
	Sides        [2][]string // regions on each side of a cut
	Groups       int
	node         *yaml.Node
}

// Kinds of events.
const (
	eventKill          = "kill"
	eventEnd           = "end"
	eventRestart       = "restart"
	eventRack          = "rack"
	eventZoneDown      = "zone-down"
	eventCut           = "cut"
	eventPrimaryChange = "primary-change"
	eventListChange    = "list-change"
)

// eventKeys lists the keys that each kind of event accepts besides at and do.
var eventKeys = map[string][]string{
	eventKill: {"gateways", "back"}, eventEnd: {"gateways", "back"}, eventRestart: {"gateways", "every"}, eventRack: {"gateways", "zone", "back"},
	eventZoneDown: {"zone", "for"}, eventCut: {"sides", "for"}, eventPrimaryChange: {"groups"}, eventListChange: {"gateways", "for"},
}

// FlagValues holds the values of flags that replace those of the plan. Zero values replace nothing.
type FlagValues struct {
	Gateways, Databases, Regions int
	RTT                          time.Duration
	Seed                         int64 // -1: unset
	Settle, Duration             time.Duration
	RealGateways                 int      // -1: unset
	StatementsPerS               float64  // below 0: unset
	OmittedFleetKeys             []string // keys to leave out of the plan's fleet mapping
}

// NoFlagValues returns FlagValues that replace nothing.
func NoFlagValues() FlagValues { return FlagValues{Seed: -1, RealGateways: -1, StatementsPerS: -1} }

const (
	faultGrace          = 20 * time.Second // time after a fault in which a gateway declared dead isn't counted as a false death
	startTimeout        = 30 * time.Second
	defaultRealGateways = 8 // unless the plan or a flag sets it
)

const windowSeconds = 10 // length of the windows in which Allowance.BytesOutPerS is checked

type planReader struct {
	*yamlfile.Reader
	gatewayIndex map[string]int // indexes of gateways by name
}

// Parse reads a plan and applies the values of flags. The error lists all faults of the plan, each with its position.
func Parse(file string, text []byte, flags FlagValues) (*Plan, error) {
	base, top, err := yamlfile.Parse(file, text, "plan")
	if err != nil {
		return nil, err
	}
	reader := &planReader{Reader: base}
	plan := &Plan{
		Seed: 1, Gateways: 8, Databases: 16, GroupSize: 4, HollowPerProcess: 35, RTT: LinkProperty{Within: 0.0005}, Load: Load{StatementsPerS: 0}, RequestsPerS: 20,
		StartInterval: 200 * time.Millisecond, Settle: 15 * time.Second, Duration: 30 * time.Second,
		Allowance: Allowance{BytesOutPerS: 5000, CoreShare: 0.019, MemoryMB: 256, DiscoveryCallsPerS: 0},
		Limits:    Limits{MemoryShare: 0.5, Processes: 300, Lateness: 20 * time.Millisecond},
	}
	fields := reader.Fields(top, "", "seed", "gateways", "databases", "group", "real", "hollow_per_process", "regions", "rtt", "loss", "load",
		"clients", "fleet", "pace", "settle", "for", "events", "allowance", "limits")
	readCount := func(key string, to *int, minimum, maximum int) {
		if fields[key] != nil {
			*to = reader.Count(fields[key], key, minimum, maximum)
		}
	}
	seed := 1
	readCount("seed", &seed, 0, 1<<52)
	plan.Seed = uint64(seed)
	readCount("gateways", &plan.Gateways, 1, 2000)
	readCount("databases", &plan.Databases, 1, 4000)
	readCount("group", &plan.GroupSize, 1, 100)
	readCount("real", &plan.RealGateways, 0, 64)
	readCount("hollow_per_process", &plan.HollowPerProcess, 1, 200)
	reader.linkProperties(plan, fields)
	if fields["clients"] != nil {
		plan.RequestsPerS = reader.Rate(fields["clients"], "clients")
	}
	if load := reader.Fields(fields["load"], "load", "statements", "skew"); len(load) > 0 {
		if load["statements"] != nil {
			plan.Load.StatementsPerS = reader.Rate(load["statements"], "statements")
		}
		if load["skew"] != nil {
			plan.Load.Skew = reader.Float(load["skew"], "skew")
		}
	}
	for key, to := range map[string]*time.Duration{"pace": &plan.StartInterval, "settle": &plan.Settle, "for": &plan.Duration} {
		if fields[key] != nil {
			*to = reader.Duration(fields[key], key)
		}
	}
	reader.regions(plan, fields["regions"], top)
	reader.allowance(plan, fields["allowance"])
	reader.limits(plan, fields["limits"])
	if plan.applyFlags(flags); fields["real"] == nil && flags.RealGateways < 0 {
		plan.RealGateways = min(defaultRealGateways, plan.Gateways)
	}
	reader.checkConsistency(plan, fields, top)
	reader.events(plan, fields["events"])
	reader.fleet(plan, fields["fleet"], flags.OmittedFleetKeys)
	if err := reader.Err(); err != nil {
		return nil, err
	}
	return plan, nil
}

// applyFlags applies the values of flags.
func (p *Plan) applyFlags(flags FlagValues) {
	if flags.Gateways > 0 {
		p.Gateways = flags.Gateways
	}
	if flags.Databases > 0 {
		p.Databases = flags.Databases
	}
	if flags.Regions > 0 {
		p.divideZones(flags.Regions)
	}
	if flags.RTT > 0 {
		p.RTT.Between = flags.RTT.Seconds()
	}
	if flags.Seed >= 0 {
		p.Seed = uint64(flags.Seed)
	}
	if flags.Settle > 0 {
		p.Settle = flags.Settle
	}
	if flags.Duration > 0 {
		p.Duration = flags.Duration
	}
	if flags.RealGateways >= 0 {
		p.RealGateways = flags.RealGateways
	}
	if flags.StatementsPerS >= 0 {
		p.Load.StatementsPerS = flags.StatementsPerS
	}
}

// divideZones spreads all zones evenly over n regions, but at most one region per zone. The first regions keep their names.
func (p *Plan) divideZones(n int) {
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

// Zones returns all zones, taking one of each region in turn, so that neighbours in the order are in different regions.
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

// RegionOf returns the index of the region that a zone is in.
func (p *Plan) RegionOf(zone string) int {
	return slices.IndexFunc(p.Regions, func(r Region) bool { return slices.Contains(r.Zones, zone) })
}

// GatewayName returns the name of gateway g.
func (p *Plan) GatewayName(g int) string { return fmt.Sprintf("g%03d", g) }

func (r *planReader) regions(p *Plan, node, top *yaml.Node) {
	if node == nil {
		r.AddError(top, "regions", "missing; name each region with its zones, like {north: [n1, n2], south: [s1]}")
		return
	}
	if node.Kind != yaml.MappingNode || len(node.Content) == 0 {
		r.AddError(node, "regions", "must map each region to its zones, like {north: [n1, n2], south: [s1]}")
		return
	}
	r.Fields(node, "regions") // reports duplicates
	regionOfZone := map[string]string{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, zones := node.Content[i], node.Content[i+1]
		if !fleet.ValidName(key.Value) {
			r.AddError(key, "regions", "%q is not a valid name; use up to 64 letters, digits, dots, dashes and underscores", key.Value)
		}
		region := Region{Name: key.Value}
		if zones.Kind != yaml.SequenceNode || len(zones.Content) == 0 {
			r.AddError(zones, key.Value, "the region has no zones; list at least one, like [n1]")
			continue
		}
		for _, zone := range zones.Content {
			name, ok := r.Text(zone, key.Value)
			switch other, listed := regionOfZone[name]; {
			case !ok:
			case !fleet.ValidName(name):
				r.AddError(zone, key.Value, "%q is not a valid name for a zone", name)
			case listed && other == key.Value:
				r.AddError(zone, key.Value, "zone %s is listed twice", name)
			case listed:
				r.AddError(zone, key.Value, "zone %s is in region %s already; a zone can be in one region only", name, other)
			default:
				regionOfZone[name] = key.Value
				region.Zones = append(region.Zones, name)
			}
		}
		p.Regions = append(p.Regions, region)
	}
	if len(regionOfZone) > wan.MaxZones {
		r.AddError(node, "regions", "%d zones; the maximum is %d", len(regionOfZone), wan.MaxZones)
	}
}

func (r *planReader) linkProperties(p *Plan, fields map[string]*yaml.Node) {
	rtt := r.Fields(fields["rtt"], "rtt", "within", "between", "jitter")
	for key, to := range map[string]*float64{"within": &p.RTT.Within, "between": &p.RTT.Between} {
		if rtt[key] != nil {
			*to = r.Duration(rtt[key], key).Seconds()
		}
	}
	if rtt["jitter"] != nil {
		p.Jitter = r.Duration(rtt["jitter"], "jitter")
	}
	loss := r.Fields(fields["loss"], "loss", "within", "between")
	for key, to := range map[string]*float64{"within": &p.Loss.Within, "between": &p.Loss.Between} {
		if loss[key] != nil {
			*to = r.Percentage(loss[key], key)
		}
	}
}

func (r *planReader) allowance(p *Plan, node *yaml.Node) {
	fields := r.Fields(node, "allowance", "bytes_out", "core", "memory", "discovery")
	if fields["bytes_out"] != nil {
		p.Allowance.BytesOutPerS, _ = r.Number(fields["bytes_out"], "bytes_out", "5 kB/s", map[string]float64{"B/s": 1, "kB/s": 1e3, "MB/s": 1e6})
	}
	if fields["core"] != nil {
		p.Allowance.CoreShare = r.Percentage(fields["core"], "core")
	}
	if fields["memory"] != nil {
		p.Allowance.MemoryMB, _ = r.Number(fields["memory"], "memory", "256 MB", map[string]float64{"MB": 1, "GB": 1000})
	}
	if fields["discovery"] != nil {
		p.Allowance.DiscoveryCallsPerS = r.Rate(fields["discovery"], "discovery")
	}
}

func (r *planReader) limits(p *Plan, node *yaml.Node) {
	fields := r.Fields(node, "limits", "memory", "processes", "lateness")
	if fields["memory"] != nil {
		if p.Limits.MemoryShare = r.Percentage(fields["memory"], "memory"); p.Limits.MemoryShare > 0.5 {
			r.AddError(fields["memory"], "memory", "at most half of the machine's memory is allowed")
		}
	}
	if fields["processes"] != nil {
		p.Limits.Processes = r.Count(fields["processes"], "processes", 2, 300)
	}
	if fields["lateness"] != nil {
		p.Limits.Lateness = r.Duration(fields["lateness"], "lateness")
	}
}

// checkConsistency compares the plan's values with each other, after each is valid by itself.
func (r *planReader) checkConsistency(p *Plan, fields map[string]*yaml.Node, top *yaml.Node) {
	nodeOf := func(key string) *yaml.Node {
		if fields[key] != nil {
			return fields[key]
		}
		return top
	}
	if p.RealGateways > p.Gateways {
		r.AddError(nodeOf("real"), "real", "%d of %d gateways", p.RealGateways, p.Gateways)
	}
	if n := len(p.Zones()); n > p.Gateways {
		r.AddError(nodeOf("gateways"), "gateways", "%d for %d zones: each zone needs at least one", p.Gateways, n)
	}
	if p.RTT.Between < p.RTT.Within && len(p.Regions) > 1 {
		r.AddError(nodeOf("rtt"), "rtt", "%v between regions, less than %v within one", secondsToDuration(p.RTT.Between), secondsToDuration(p.RTT.Within))
	}
	if n := p.Processes(); n > p.Limits.Processes {
		r.AddError(nodeOf("hollow_per_process"), "hollow_per_process", "%d processes in all, over the limit of %d; raise hollow_per_process", n, p.Limits.Processes)
	}
	if p.Duration < windowSeconds*time.Second {
		r.AddError(nodeOf("for"), "for", "%v; must be at least %d s, the length of a measured window", p.Duration, windowSeconds)
	}
	r.gatewayIndex = map[string]int{}
	for g := range p.Gateways {
		r.gatewayIndex[p.GatewayName(g)] = g
	}
}

// Processes returns the number of processes of a run, with the run itself.
func (p *Plan) Processes() int {
	return 1 + p.RealGateways + (p.Gateways-p.RealGateways+p.HollowPerProcess-1)/p.HollowPerProcess
}

func (r *planReader) events(p *Plan, list *yaml.Node) {
	if list == nil {
		return
	}
	if list.Kind != yaml.SequenceNode {
		r.AddError(list, "events", "must be a list")
		return
	}
	for _, eventNode := range list.Content {
		fields := r.Fields(eventNode, "event", "at", "do", "gateways", "zone", "back", "every", "for", "sides", "groups")
		event := Event{node: eventNode, Count: 1, Groups: 1}
		if event.Kind, _ = r.Text(fields["do"], "do"); eventKeys[event.Kind] == nil {
			r.AddError(eventNode, "do", "%q is not one of %s", event.Kind, strings.Join(slices.Sorted(maps.Keys(eventKeys)), ", "))
			continue
		}
		for i := 0; i+1 < len(eventNode.Content); i += 2 {
			if key := eventNode.Content[i]; key.Value != "at" && key.Value != "do" && fields[key.Value] != nil && !slices.Contains(eventKeys[event.Kind], key.Value) {
				r.AddError(key, key.Value, "not a key of events of kind %s", event.Kind)
			}
		}
		for key, to := range map[string]*time.Duration{"at": &event.At, "back": &event.RestartAfter, "every": &event.Interval, "for": &event.Duration} {
			if fields[key] != nil {
				*to = r.Duration(fields[key], key)
			}
		}
		if fields["at"] == nil {
			r.AddError(eventNode, "at", "missing")
		} else if event.At+event.Duration > p.Duration {
			r.AddError(fields["at"], "at", "the event lasts until %v, the run until %v; raise the run's for", event.At+event.Duration, p.Duration)
		}
		if event.Duration == 0 && (event.Kind == eventZoneDown || event.Kind == eventCut) {
			r.AddError(eventNode, "for", "missing; required for events of kind %s", event.Kind)
		}
		r.eventGateways(p, &event, fields["gateways"])
		if fields["groups"] != nil {
			event.Groups = r.Count(fields["groups"], "groups", 1, (p.Databases+p.GroupSize-1)/p.GroupSize)
		}
		if event.Zone, _ = r.Text(fields["zone"], "zone"); event.Zone != "" && !slices.Contains(p.Zones(), event.Zone) {
			r.AddError(fields["zone"], "zone", "%q is unknown; the plan has %s", event.Zone, strings.Join(p.Zones(), ", "))
		} else if event.Zone == "" && event.Kind == eventZoneDown {
			r.AddError(eventNode, "zone", "missing; required for events of kind %s", event.Kind)
		}
		if event.Kind == eventCut {
			r.cutSides(p, &event, fields["sides"], eventNode)
		}
		p.Events = append(p.Events, event)
	}
}

func (r *planReader) eventGateways(p *Plan, event *Event, node *yaml.Node) {
	switch {
	case node == nil && event.Kind == eventRack:
		event.Count = min(16, p.Gateways)
	case node == nil && event.Kind == eventListChange:
		event.Count = 0
	case node == nil:
	case node.Kind == yaml.SequenceNode:
		for _, item := range node.Content {
			name, ok := r.Text(item, "gateways")
			if _, known := r.gatewayIndex[name]; ok && !known {
				r.AddError(item, "gateways", "%q is unknown; gateways are named %s to %s", name, p.GatewayName(0), p.GatewayName(p.Gateways-1))
			}
			event.Gateways = append(event.Gateways, name)
		}
	default:
		event.Count = r.Count(node, "gateways", 0, p.Gateways)
	}
}

func (r *planReader) cutSides(p *Plan, event *Event, node, eventNode *yaml.Node) {
	if node == nil || node.Kind != yaml.SequenceNode || len(node.Content) != 2 {
		if node == nil {
			node = eventNode
		}
		r.AddError(node, "sides", "must be two lists of regions, like [[north], [south, west]]")
		return
	}
	listed := map[string]bool{}
	for i, side := range node.Content {
		if side.Kind != yaml.SequenceNode || len(side.Content) == 0 {
			r.AddError(side, "sides", "must be a list of regions, like [north]")
			continue
		}
		for _, item := range side.Content {
			name, _ := r.Text(item, "sides")
			if !slices.ContainsFunc(p.Regions, func(r Region) bool { return r.Name == name }) {
				var known []string
				for _, region := range p.Regions {
					known = append(known, region.Name)
				}
				r.AddError(item, "sides", "region %q is unknown; the plan has %s", name, strings.Join(known, ", "))
			}
			if listed[name] {
				r.AddError(item, "sides", "region %s is listed twice", name)
			}
			listed[name] = true
			event.Sides[i] = append(event.Sides[i], name)
		}
	}
}

// reservedKeys are the keys of the fleet file that the run sets.
var reservedKeys = []string{"fleet", "listen", "advertise", "seeds", "dial"}

// fleet takes over the plan's part of the fleet file and validates it as a gateway would.
func (r *planReader) fleet(p *Plan, node *yaml.Node, without []string) {
	fields := r.Fields(node, "fleet")
	for _, key := range without {
		if fields[key] == nil {
			r.AddError(node, "fleet", "%q cannot be left out: the plan does not set it", key)
		}
	}
	if node == nil {
		return
	}
	for _, key := range reservedKeys {
		if fields[key] != nil {
			r.AddError(fields[key], key, "the run sets it for each gateway")
		}
	}
	if node.Kind != yaml.MappingNode || len(r.Errors) > 0 {
		return
	}
	part := *node
	part.Content = nil
	for i := 0; i+1 < len(node.Content); i += 2 {
		if !slices.Contains(without, node.Content[i].Value) {
			part.Content = append(part.Content, node.Content[i], node.Content[i+1])
		}
	}
	if len(part.Content) == 0 {
		return
	}
	p.fleetNode = &part
	text, err := p.FleetFile(0, "/tmp", nil)
	if err == nil {
		_, err = fleet.Parse("fleet", text)
	}
	faults, ok := err.(yamlfile.Errors)
	if err != nil && !ok {
		faults = yamlfile.Errors{err.Error()}
	}
	for _, fault := range faults {
		// The error has the position in the generated file; its key gives the position in the plan.
		_, message, _ := strings.Cut(fault, ": ")
		key, _, _ := strings.Cut(message, ": ")
		position := node
		findKey(node, key, &position)
		r.AddError(position, "fleet", "%s", message)
	}
}

// findKey sets found to the first node with the key, at any depth.
func findKey(node *yaml.Node, key string, found **yaml.Node) {
	for i := 0; node.Kind == yaml.MappingNode && i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == key {
			*found = node.Content[i]
			return
		}
		findKey(node.Content[i+1], key, found)
	}
}

func secondsToDuration(s float64) time.Duration {
	return time.Duration(math.Round(s * float64(time.Second)))
}
