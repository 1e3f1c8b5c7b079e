// Package plan describes a load run: its classes, sessions and stages, and the schedule of arrivals that
// follows from them and a seed. It does no input or output; files are passed in as bytes.
package plan

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"lilaccove/internal/yamlfile"
)

// Kind is the kind of statement that a class sends.
type Kind string

// The kinds of statements.
const (
	BoundedRead Kind = "bounded-read"
	SessionRead Kind = "session-read"
	Write       Kind = "write"
)

// Class holds the settings of one request class.
type Class struct {
	Name     string        `json:"name"`
	Kind     Kind          `json:"kind"`
	Mix      float64       `json:"mix"` // share of all arrivals
	Aim      time.Duration `json:"aim_ns"`
	Deadline time.Duration `json:"deadline_ns"` // the client gives up after it
	Worth    float64       `json:"worth"`
	Bound    time.Duration `json:"bound_ns"` // staleness bound of a bounded read
}

// Stage is a part of the run. Its arrival rate is piecewise linear.
type Stage struct {
	Name     string        `json:"name"`
	Segments []RateSegment `json:"lines"`
}

// RateSegment is a rate that changes linearly. Its fields are written to JSON under their Go names.
type RateSegment struct {
	From, To float64 // arrivals per second
	For      time.Duration
}

// Event is an action of the lab at a given time of the run.
type Event struct {
	At       time.Duration `json:"at_ns"`
	Action   string        `json:"do"`
	Share    float64       `json:"part"` // share of the databases, or of their answers
	Duration time.Duration `json:"for_ns"`
	Size     time.Duration `json:"size_ns"`

	Gateways     []int         `json:"gateways,omitempty"` // affected gateways, unless GatewayShare is set
	GatewayShare float64       `json:"some,omitempty"`     // share of the gateways that are affected
	RestartAfter time.Duration `json:"back_ns,omitempty"`  // time until a killed gateway is started again; 0: never
	From         []int         `json:"from,omitempty"`     // gateways at the sending end of the links; empty: all
	To           []int         `json:"to,omitempty"`
	Link         Link          `json:"link"`
	Sides        [][]int       `json:"sides,omitempty"`
}

// Link holds the faults of the link from one gateway to another.
type Link struct {
	Loss      float64       `json:"loss,omitempty"` // share of the datagrams, as the next three
	Duplicate float64       `json:"duplicate,omitempty"`
	Reorder   float64       `json:"reorder,omitempty"`
	Corrupt   float64       `json:"corrupt,omitempty"`
	Delay     time.Duration `json:"delay_ns,omitempty"`
	Jitter    time.Duration `json:"jitter_ns,omitempty"`
	Rate      float64       `json:"rate,omitempty"` // bytes per second; 0: unlimited
	Cut       bool          `json:"cut,omitempty"`
}

// Actions lists the actions that an event may name.
var Actions = []string{"roll", "lag", "pause", "reset-before", "reset-after", "silence", "spoil", "errors", "fail-over",
	"kill-gateway", "stop-gateway", "roll-gateways", "links", "partition"}

// Plan describes a whole run.
type Plan struct {
	Seed           uint64        `json:"seed"`
	Groups         int           `json:"groups"`
	Keys           int           `json:"keys"`
	Sessions       int           `json:"sessions"`
	FollowShare    float64       `json:"follow"` // share of writes followed by a read of the same session
	FollowAfter    time.Duration `json:"follow_after_ns"`
	MaxRetries     int           `json:"retries"`
	RetryPause     time.Duration `json:"retry_pause_ns"`
	HonourShare    float64       `json:"honour"` // share of refused clients that wait for the retry-after time
	EvenlySpaced   bool          `json:"even"`   // arrivals are evenly spaced instead of Poisson
	MaxConnections int           `json:"connections"`
	MaxOutstanding int           `json:"outstanding"` // concurrent requests, including those waiting for a connection
	MaxLateness    time.Duration `json:"stall_ns"`    // a generator later than this invalidates the run
	MaxArrivals    int           `json:"most"`
	Classes        []Class       `json:"classes"`
	Stages         []Stage       `json:"stages"`
	Events         []Event       `json:"events"`
	Lab            Lab           `json:"lab"`
}

// Lab configures the gateways and the stand-in databases.
type Lab struct {
	Gateways          int           `json:"gateways"`
	AnnouncedGateways int           `json:"told,omitempty"` // number of gateways announced to the gateways; 0: the actual one
	Members           int           `json:"members"`
	Cores             int           `json:"cores"`
	Queue             int           `json:"queue"`
	Service           time.Duration `json:"service_ns"` // mean time per statement
	Delay             string        `json:"delay"`      // constant or exponential
	Lag               time.Duration `json:"lag_ns"`     // of replicas
	SlowStart         time.Duration `json:"cold_ns"`
	Fleet             bool          `json:"fleet"`            // gateways have a fleet file and are linked by relays
	Budget            int           `json:"budget,omitempty"` // connections of all gateways to each database; 0: no shared budget
	Lease             time.Duration `json:"lease_ns,omitempty"`
	Subsets           bool          `json:"subsets,omitempty"`
	Positions         bool          `json:"positions,omitempty"` // gateways gossip replication positions
	Primaries         bool          `json:"primaries,omitempty"` // gateways gossip which database answers as primary
	MaxBytesPerSecond int           `json:"bytes,omitempty"`     // limit for each gateway's gossip of positions, and for that of primaries; 0: none
	Audit             bool          `json:"audit,omitempty"`     // gateways write audit files
	RetryShare        float64       `json:"repeats,omitempty"`   // retry budget, as a share of first attempts; 0: unlimited
	OverrideLifetime  time.Duration `json:"words,omitempty"`     // how long gateways keep operator overrides on disk; 0: they do not
	FenceAfter        time.Duration `json:"fence,omitempty"`     // a gateway fences itself after lagging this long; 0: never
}

// Duration returns the total duration of the stages.
func (p *Plan) Duration() (d time.Duration) {
	for _, s := range p.Stages {
		d += s.Duration()
	}
	return d
}

// Duration returns the duration of the stage.
func (s *Stage) Duration() (d time.Duration) {
	for _, l := range s.Segments {
		d += l.For
	}
	return d
}

// reader reads the sections of a plan file.
type reader struct{ *yamlfile.Reader }

// Parse reads a plan. The error lists everything that is wrong with the file, each with its line and column.
func Parse(file string, text []byte) (*Plan, error) {
	base, root, err := yamlfile.Parse(file, text, "plan")
	if err != nil {
		return nil, err
	}
	r := &reader{base}
	p := &Plan{
		Groups: 1, Keys: 1000, Sessions: 100, MaxConnections: 100, MaxOutstanding: 5000, MaxLateness: 50 * time.Millisecond, MaxArrivals: 1_000_000,
		HonourShare: 1, Lab: Lab{Gateways: 1, Members: 3, Cores: 5, Queue: 100, Service: 20 * time.Millisecond, Delay: "exponential"},
	}
	fields := r.Fields(root, "", "seed", "groups", "keys", "sessions", "retries", "arrivals", "connections", "outstanding",
		"stall", "most", "classes", "stages", "events", "lab")
	readCount := func(key string, target *int, minimum, maximum int) {
		if fields[key] != nil {
			*target = r.Count(fields[key], key, minimum, maximum)
		}
	}
	seed := 1
	readCount("seed", &seed, 0, 1<<52)
	p.Seed = uint64(seed)
	readCount("groups", &p.Groups, 1, 1000)
	readCount("keys", &p.Keys, 1, 1<<30)
	readCount("connections", &p.MaxConnections, 1, 10000)
	readCount("outstanding", &p.MaxOutstanding, 1, 1_000_000)
	readCount("most", &p.MaxArrivals, 1, 10_000_000)
	if fields["stall"] != nil {
		p.MaxLateness = r.Duration(fields["stall"], "stall")
	}
	if s, ok := r.Text(fields["arrivals"], "arrivals"); ok {
		if p.EvenlySpaced = s == "even"; !p.EvenlySpaced && s != "poisson" {
			r.AddError(fields["arrivals"], "arrivals", "%q is neither poisson nor even", s)
		}
	}
	r.readSessions(p, fields["sessions"])
	r.readRetries(p, fields["retries"])
	r.readClasses(p, fields["classes"], root)
	r.readStages(p, fields["stages"], root)
	r.readEvents(p, fields["events"])
	r.readLab(p, fields["lab"])
	if err := r.Err(); err != nil {
		return nil, err
	}
	return p, nil
}

func (r *reader) readSessions(p *Plan, node *yaml.Node) {
	fields := r.Fields(node, "sessions", "count", "follow", "after")
	if fields["count"] != nil {
		p.Sessions = r.Count(fields["count"], "count", 1, 1<<30)
	}
	if fields["follow"] != nil {
		p.FollowShare = r.Percentage(fields["follow"], "follow")
	}
	if fields["after"] != nil {
		p.FollowAfter = r.Duration(fields["after"], "after")
	}
}

func (r *reader) readRetries(p *Plan, node *yaml.Node) {
	fields := r.Fields(node, "retries", "most", "pause", "honour")
	if fields["most"] != nil {
		p.MaxRetries = r.Count(fields["most"], "most", 0, 10)
	}
	if fields["pause"] != nil {
		p.RetryPause = r.Duration(fields["pause"], "pause")
	}
	if fields["honour"] != nil {
		p.HonourShare = r.Percentage(fields["honour"], "honour")
	}
}

func (r *reader) readClasses(p *Plan, node, root *yaml.Node) {
	if node == nil {
		r.AddError(root, "classes", "no classes are given")
		return
	}
	r.Fields(node, "classes") // reports duplicate names
	mixSum := 0.0
	for i := 0; node.Kind == yaml.MappingNode && i+1 < len(node.Content); i += 2 {
		name, classNode := node.Content[i].Value, node.Content[i+1]
		fields := r.Fields(classNode, name, "kind", "mix", "aim", "deadline", "worth", "bound")
		class := Class{Name: name, Worth: 1, Bound: 3 * time.Second}
		kind, ok := r.Text(fields["kind"], "kind")
		if class.Kind = Kind(kind); ok && class.Kind != BoundedRead && class.Kind != SessionRead && class.Kind != Write {
			r.AddError(fields["kind"], "kind", "%q is not bounded-read, session-read or write", kind)
		}
		for key, readField := range map[string]func(*yaml.Node){
			"mix":      func(v *yaml.Node) { class.Mix = r.Percentage(v, "mix") },
			"aim":      func(v *yaml.Node) { class.Aim = r.Duration(v, "aim") },
			"deadline": func(v *yaml.Node) { class.Deadline = r.Duration(v, "deadline") },
		} {
			if fields[key] == nil && classNode.Kind == yaml.MappingNode {
				r.AddError(classNode, name, "%s is missing", key)
			} else if fields[key] != nil {
				readField(fields[key])
			}
		}
		if fields["kind"] == nil && classNode.Kind == yaml.MappingNode {
			r.AddError(classNode, name, "kind is missing")
		}
		if fields["worth"] != nil {
			class.Worth = r.Float(fields["worth"], "worth")
		}
		if fields["bound"] != nil {
			class.Bound = r.Duration(fields["bound"], "bound")
		}
		if class.Aim > class.Deadline && fields["aim"] != nil && fields["deadline"] != nil {
			r.AddError(fields["aim"], "aim", "later than the deadline")
		}
		if strings.ContainsAny(name, " ,=*/'") || name == "" {
			r.AddError(node.Content[i], name, "a class name must not be empty or contain spaces, commas, quotes, =, * or /")
		}
		mixSum += class.Mix
		p.Classes = append(p.Classes, class)
	}
	if len(p.Classes) > 0 && math.Abs(mixSum-1) > 1e-6 {
		r.AddError(node, "classes", "the mix adds up to %.4g%%, not to 100%%", mixSum*100)
	}
}

func (r *reader) readStages(p *Plan, node, root *yaml.Node) {
	if node == nil || node.Kind != yaml.SequenceNode || len(node.Content) == 0 {
		if node == nil {
			node = root
		}
		r.AddError(node, "stages", "must be a list of at least one stage")
		return
	}
	for i, stageNode := range node.Content {
		fields := r.Fields(stageNode, "stage", "name", "shape", "rate", "from", "to", "rates", "times", "rise", "hold", "fall", "for")
		stage := Stage{Name: fmt.Sprintf("%d", i+1)}
		if name, ok := r.Text(fields["name"], "name"); ok {
			stage.Name = name
		}
		shape, _ := r.Text(fields["shape"], "shape")
		used := map[string]bool{"name": true, "shape": true}
		require := func(key string) *yaml.Node {
			used[key] = true
			if fields[key] == nil {
				r.AddError(stageNode, key, "missing; a stage of shape %q requires it", shape)
			}
			return fields[key]
		}
		readRate := func(key string) float64 { return r.Rate(require(key), key) }
		readDuration := func(key string) time.Duration {
			field := require(key)
			d := r.Duration(field, key)
			if field != nil && d <= 0 && len(r.Errors) == 0 {
				r.AddError(field, key, "the stage must last longer than 0 s")
			}
			return d
		}
		addSegment := func(from, to float64, d time.Duration) {
			stage.Segments = append(stage.Segments, RateSegment{from, to, d})
		}
		switch shape {
		case "constant":
			x := readRate("rate")
			addSegment(x, x, readDuration("for"))
		case "ramp":
			addSegment(readRate("from"), readRate("to"), readDuration("for"))
		case "burst":
			x := readRate("rate")
			y := x * r.Float(require("times"), "times")
			addSegment(x, y, readDuration("rise"))
			addSegment(y, y, readDuration("hold"))
			addSegment(y, x, readDuration("fall"))
		case "step":
			rates := require("rates")
			d := readDuration("for")
			if rates != nil && (rates.Kind != yaml.SequenceNode || len(rates.Content) == 0) {
				r.AddError(rates, "rates", "must be a list of rates")
			} else if rates != nil {
				for _, x := range rates.Content {
					y := r.Rate(x, "rates")
					addSegment(y, y, d/time.Duration(len(rates.Content)))
				}
			}
		case "pause":
			addSegment(0, 0, readDuration("for"))
		default:
			r.AddError(stageNode, "shape", "%q is not constant, ramp, burst, step or pause", shape)
			continue
		}
		for i := 0; i+1 < len(stageNode.Content); i += 2 {
			if keyNode := stageNode.Content[i]; fields[keyNode.Value] != nil && !used[keyNode.Value] {
				r.AddError(keyNode, keyNode.Value, "a stage of shape %q does not use it", shape)
			}
		}
		p.Stages = append(p.Stages, stage)
	}
}

func (r *reader) readEvents(p *Plan, node *yaml.Node) {
	if node == nil {
		return
	}
	if node.Kind != yaml.SequenceNode {
		r.AddError(node, "events", "must be a list")
		return
	}
	for _, eventNode := range node.Content {
		fields := r.Fields(eventNode, "event", "at", "do", "part", "for", "size", "gateways", "back", "from", "to", "sides",
			"loss", "duplicate", "reorder", "corrupt", "delay", "jitter", "rate", "cut")
		event := Event{Share: 1}
		if fields["at"] == nil {
			r.AddError(eventNode, "at", "missing")
		} else {
			event.At = r.Duration(fields["at"], "at")
		}
		event.Action, _ = r.Text(fields["do"], "do")
		if !slices.Contains(Actions, event.Action) {
			r.AddError(eventNode, "do", "%q is not one of %s", event.Action, strings.Join(Actions, ", "))
		}
		if fields["part"] != nil {
			event.Share = r.Percentage(fields["part"], "part")
		}
		if fields["for"] != nil {
			event.Duration = r.Duration(fields["for"], "for")
		}
		if fields["size"] != nil {
			event.Size = r.Duration(fields["size"], "size")
		}
		r.readFleetEvent(fields, eventNode, &event)
		p.Events = append(p.Events, event)
	}
}

// readFleetEvent reads the fields of an event that concern gateways and the links between them.
func (r *reader) readFleetEvent(fields map[string]*yaml.Node, eventNode *yaml.Node, event *Event) {
	if n := fields["gateways"]; n != nil && n.Kind == yaml.ScalarNode {
		event.GatewayShare = r.Percentage(n, "gateways")
	} else if n != nil {
		event.Gateways = r.readGatewayNumbers(n, "gateways")
	} else if event.Action == "kill-gateway" || event.Action == "stop-gateway" {
		event.Gateways = []int{0}
	} else if event.Action == "roll-gateways" {
		event.GatewayShare = 1
	}
	event.From, event.To = r.readGatewayNumbers(fields["from"], "from"), r.readGatewayNumbers(fields["to"], "to")
	for key, target := range map[string]*float64{
		"loss": &event.Link.Loss, "duplicate": &event.Link.Duplicate, "reorder": &event.Link.Reorder, "corrupt": &event.Link.Corrupt,
	} {
		if fields[key] != nil {
			*target = r.Percentage(fields[key], key)
		}
	}
	for key, target := range map[string]*time.Duration{"delay": &event.Link.Delay, "jitter": &event.Link.Jitter, "back": &event.RestartAfter} {
		if fields[key] != nil {
			*target = r.Duration(fields[key], key)
		}
	}
	if fields["rate"] != nil {
		event.Link.Rate, _ = r.Number(fields["rate"], "rate", "20 kB/s", map[string]float64{"B/s": 1, "kB/s": 1e3, "MB/s": 1e6})
	}
	event.Link.Cut = r.Bool(fields["cut"], "cut")
	if n := fields["sides"]; n != nil {
		if n.Kind != yaml.SequenceNode || len(n.Content) < 2 {
			r.AddError(n, "sides", "must be two or more lists, like [[0, 1], [2, 3]]")
		} else {
			for _, side := range n.Content {
				event.Sides = append(event.Sides, r.readGatewayNumbers(side, "sides"))
			}
		}
	} else if event.Action == "partition" {
		r.AddError(eventNode, "sides", "missing; a partition requires it")
	}
}

func (r *reader) readGatewayNumbers(node *yaml.Node, key string) (list []int) {
	if node != nil && node.Kind != yaml.SequenceNode {
		r.AddError(node, key, "must be a list of gateway numbers, like [0, 2]")
		return nil
	}
	if node != nil {
		for _, element := range node.Content {
			list = append(list, r.Count(element, key, 0, 999))
		}
	}
	return list
}

func (r *reader) readLab(p *Plan, node *yaml.Node) {
	fields := r.Fields(node, "lab", "gateways", "told", "members", "cores", "queue", "service", "delay", "lag", "cold", "fleet", "budget", "lease", "subsets", "positions", "primaries", "bytes", "audit", "fence", "words", "repeats")
	for key, target := range map[string]*int{"gateways": &p.Lab.Gateways, "told": &p.Lab.AnnouncedGateways, "members": &p.Lab.Members, "cores": &p.Lab.Cores, "queue": &p.Lab.Queue, "budget": &p.Lab.Budget} {
		if fields[key] != nil {
			*target = r.Count(fields[key], key, 1, 1000)
		}
	}
	for key, target := range map[string]*time.Duration{"service": &p.Lab.Service, "lag": &p.Lab.Lag, "cold": &p.Lab.SlowStart, "lease": &p.Lab.Lease} {
		if fields[key] != nil {
			*target = r.Duration(fields[key], key)
		}
	}
	p.Lab.Fleet = r.Bool(fields["fleet"], "fleet")
	p.Lab.Subsets = r.Bool(fields["subsets"], "subsets")
	p.Lab.Positions = r.Bool(fields["positions"], "positions")
	p.Lab.Primaries = r.Bool(fields["primaries"], "primaries")
	if n := fields["bytes"]; n != nil {
		p.Lab.MaxBytesPerSecond = int(r.Rate(n, "bytes"))
	}
	p.Lab.Audit = r.Bool(fields["audit"], "audit")
	if n := fields["repeats"]; n != nil {
		p.Lab.RetryShare = r.Percentage(n, "repeats")
	}
	if n := fields["words"]; n != nil {
		p.Lab.OverrideLifetime = r.Duration(n, "words")
	}
	if n := fields["fence"]; n != nil {
		p.Lab.FenceAfter = r.Duration(n, "fence")
	}
	for i, event := range p.Events {
		for _, gateway := range slices.Concat(event.Gateways, event.From, event.To, slices.Concat(event.Sides...)) {
			if gateway >= p.Lab.Gateways {
				r.AddError(node, "events", "event %d names gateway %d; the lab has %d, counted from 0", i+1, gateway, p.Lab.Gateways)
			}
		}
		if (event.Action == "links" || event.Action == "partition") && !p.Lab.Fleet {
			r.AddError(node, "events", "event %d concerns links between gateways, which require fleet: true in the lab", i+1)
		}
	}
	if s, ok := r.Text(fields["delay"], "delay"); ok {
		if p.Lab.Delay = s; s != "constant" && s != "exponential" {
			r.AddError(fields["delay"], "delay", "%q is neither constant nor exponential", s)
		}
	}
}
