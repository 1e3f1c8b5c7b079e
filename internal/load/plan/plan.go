// Package plan is what a load run is to do: its classes, sessions and stages, and the schedule of
// arrivals that follows from them and a seed. It has no input or output besides the bytes of a file.
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

// Kind is what a class asks.
type Kind string

// The kinds of statements.
const (
	BoundedRead Kind = "bounded-read"
	SessionRead Kind = "session-read"
	Write       Kind = "write"
)

// Class is one kind of request.
type Class struct {
	Name     string        `json:"name"`
	Kind     Kind          `json:"kind"`
	Mix      float64       `json:"mix"` // share of the arrivals
	Aim      time.Duration `json:"aim_ns"`
	Deadline time.Duration `json:"deadline_ns"` // the client gives up then
	Worth    float64       `json:"worth"`
	Bound    time.Duration `json:"bound_ns"` // how old a bounded read's data may be
}

// Stage is a part of the run: a rate that goes along straight lines.
type Stage struct {
	Name     string        `json:"name"`
	Segments []RateSegment `json:"lines"`
}

// RateSegment is a rate that goes evenly from one to another.
type RateSegment struct {
	From, To float64 // a second
	For      time.Duration
}

// Event is something that the stand-ins do at a moment of the run.
type Event struct {
	At       time.Duration `json:"at_ns"`
	Action   string        `json:"do"`
	Share    float64       `json:"part"` // share of the databases, or of their answers
	Duration time.Duration `json:"for_ns"`
	Size     time.Duration `json:"size_ns"`

	Gateways     []int         `json:"gateways,omitempty"` // whom it is done to; share of all where Some
	GatewayShare float64       `json:"some,omitempty"`
	RestartAfter time.Duration `json:"back_ns,omitempty"` // a killed gateway starts again after so long; 0: it does not
	From         []int         `json:"from,omitempty"`    // links; empty: all
	To           []int         `json:"to,omitempty"`
	Link         Link          `json:"link"`
	Sides        [][]int       `json:"sides,omitempty"`
}

// Link is what goes wrong on the way from one gateway to another.
type Link struct {
	Loss      float64       `json:"loss,omitempty"` // shares of the datagrams
	Duplicate float64       `json:"duplicate,omitempty"`
	Reorder   float64       `json:"reorder,omitempty"`
	Corrupt   float64       `json:"corrupt,omitempty"`
	Delay     time.Duration `json:"delay_ns,omitempty"`
	Jitter    time.Duration `json:"jitter_ns,omitempty"`
	Rate      float64       `json:"rate,omitempty"` // bytes a second; 0: as fast as it goes
	Cut       bool          `json:"cut,omitempty"`
}

// Actions are what may be asked of the stand-ins.
var Actions = []string{"roll", "lag", "pause", "reset-before", "reset-after", "silence", "spoil", "errors", "fail-over",
	"kill-gateway", "stop-gateway", "roll-gateways", "links", "partition"}

// Plan is a whole run.
type Plan struct {
	Seed           uint64        `json:"seed"`
	Groups         int           `json:"groups"`
	Keys           int           `json:"keys"`
	Sessions       int           `json:"sessions"`
	FollowShare    float64       `json:"follow"` // share of writes that a read of their session follows
	FollowAfter    time.Duration `json:"follow_after_ns"`
	MaxRetries     int           `json:"retries"`
	RetryPause     time.Duration `json:"retry_pause_ns"`
	HonourShare    float64       `json:"honour"` // share of clients that heed a retry-after
	EvenlySpaced   bool          `json:"even"`   // arrivals are evenly spaced, not Poisson
	MaxConnections int           `json:"connections"`
	MaxOutstanding int           `json:"outstanding"` // requests at once, those that wait for connections included
	MaxLateness    time.Duration `json:"stall_ns"`    // lateness of the generator's own that makes a run invalid
	MaxArrivals    int           `json:"most"`        // arrivals
	Classes        []Class       `json:"classes"`
	Stages         []Stage       `json:"stages"`
	Events         []Event       `json:"events"`
	Lab            Lab           `json:"lab"`
}

// Lab is the world of stand-ins.
type Lab struct {
	Gateways          int           `json:"gateways"`
	AnnouncedGateways int           `json:"told,omitempty"` // how many gateways there are, as those are told; 0: the truth
	Members           int           `json:"members"`
	Cores             int           `json:"cores"`
	Queue             int           `json:"queue"`
	Service           time.Duration `json:"service_ns"` // mean time of a statement
	Delay             string        `json:"delay"`      // constant or exponential
	Lag               time.Duration `json:"lag_ns"`     // of replicas
	SlowStart         time.Duration `json:"cold_ns"`
	Fleet             bool          `json:"fleet"`            // gateways have a fleet file, and relays between them
	Budget            int           `json:"budget,omitempty"` // connections of all gateways to each database; 0: not divided
	Lease             time.Duration `json:"lease_ns,omitempty"`
	Subsets           bool          `json:"subsets,omitempty"`
	Positions         bool          `json:"positions,omitempty"` // gateways tell each other of them
	Primaries         bool          `json:"primaries,omitempty"` // likewise, of who answers as primary
	MaxBytesPerSecond int           `json:"bytes,omitempty"`     // a second that either may send; 0: not bounded
	Audit             bool          `json:"audit,omitempty"`     // gateways keep files of records
	RetryShare        float64       `json:"repeats,omitempty"`   // of attempts, as a share of first ones; 0: not bounded
	OverrideLifetime  time.Duration `json:"words,omitempty"`     // gateways keep operators' words on a disk, for so long; 0: they do not
	FenceAfter        time.Duration `json:"fence,omitempty"`     // behind for so long a gateway shuts itself out; 0: never
}

// Duration is how long the stages take.
func (p *Plan) Duration() (d time.Duration) {
	for _, s := range p.Stages {
		d += s.Duration()
	}
	return d
}

// Duration is how long the stage takes.
func (s *Stage) Duration() (d time.Duration) {
	for _, l := range s.Segments {
		d += l.For
	}
	return d
}

// reader reads a plan.
type reader struct{ *yamlfile.Reader }

// Parse reads a plan. Everything that is wrong with it is told at once, with its place.
func Parse(file string, text []byte) (*Plan, error) {
	base, top, err := yamlfile.Parse(file, text, "plan")
	if err != nil {
		return nil, err
	}
	r := &reader{base}
	p := &Plan{
		Groups: 1, Keys: 1000, Sessions: 100, MaxConnections: 100, MaxOutstanding: 5000, MaxLateness: 50 * time.Millisecond, MaxArrivals: 1_000_000,
		HonourShare: 1, Lab: Lab{Gateways: 1, Members: 3, Cores: 5, Queue: 100, Service: 20 * time.Millisecond, Delay: "exponential"},
	}
	f := r.Fields(top, "", "seed", "groups", "keys", "sessions", "retries", "arrivals", "connections", "outstanding",
		"stall", "most", "classes", "stages", "events", "lab")
	whole := func(key string, to *int, least, most int) {
		if f[key] != nil {
			*to = r.Count(f[key], key, least, most)
		}
	}
	seed := 1
	whole("seed", &seed, 0, 1<<52)
	p.Seed = uint64(seed)
	whole("groups", &p.Groups, 1, 1000)
	whole("keys", &p.Keys, 1, 1<<30)
	whole("connections", &p.MaxConnections, 1, 10000)
	whole("outstanding", &p.MaxOutstanding, 1, 1_000_000)
	whole("most", &p.MaxArrivals, 1, 10_000_000)
	if f["stall"] != nil {
		p.MaxLateness = r.Duration(f["stall"], "stall")
	}
	if s, ok := r.Text(f["arrivals"], "arrivals"); ok {
		if p.EvenlySpaced = s == "even"; !p.EvenlySpaced && s != "poisson" {
			r.AddError(f["arrivals"], "arrivals", "%q is neither poisson nor even", s)
		}
	}
	r.sessions(p, f["sessions"])
	r.retries(p, f["retries"])
	r.classes(p, f["classes"], top)
	r.stages(p, f["stages"], top)
	r.events(p, f["events"])
	r.lab(p, f["lab"])
	if err := r.Err(); err != nil {
		return nil, err
	}
	return p, nil
}

func (r *reader) sessions(p *Plan, n *yaml.Node) {
	f := r.Fields(n, "sessions", "count", "follow", "after")
	if f["count"] != nil {
		p.Sessions = r.Count(f["count"], "count", 1, 1<<30)
	}
	if f["follow"] != nil {
		p.FollowShare = r.Percentage(f["follow"], "follow")
	}
	if f["after"] != nil {
		p.FollowAfter = r.Duration(f["after"], "after")
	}
}

func (r *reader) retries(p *Plan, n *yaml.Node) {
	f := r.Fields(n, "retries", "most", "pause", "honour")
	if f["most"] != nil {
		p.MaxRetries = r.Count(f["most"], "most", 0, 10)
	}
	if f["pause"] != nil {
		p.RetryPause = r.Duration(f["pause"], "pause")
	}
	if f["honour"] != nil {
		p.HonourShare = r.Percentage(f["honour"], "honour")
	}
}

func (r *reader) classes(p *Plan, n, whole *yaml.Node) {
	if n == nil {
		r.AddError(whole, "classes", "none are given")
		return
	}
	r.Fields(n, "classes") // duplicates
	sum := 0.0
	for i := 0; n.Kind == yaml.MappingNode && i+1 < len(n.Content); i += 2 {
		name, v := n.Content[i].Value, n.Content[i+1]
		f := r.Fields(v, name, "kind", "mix", "aim", "deadline", "worth", "bound")
		c := Class{Name: name, Worth: 1, Bound: 3 * time.Second}
		kind, ok := r.Text(f["kind"], "kind")
		if c.Kind = Kind(kind); ok && c.Kind != BoundedRead && c.Kind != SessionRead && c.Kind != Write {
			r.AddError(f["kind"], "kind", "%q is not bounded-read, session-read or write", kind)
		}
		for key, read := range map[string]func(*yaml.Node){
			"mix":      func(v *yaml.Node) { c.Mix = r.Percentage(v, "mix") },
			"aim":      func(v *yaml.Node) { c.Aim = r.Duration(v, "aim") },
			"deadline": func(v *yaml.Node) { c.Deadline = r.Duration(v, "deadline") },
		} {
			if f[key] == nil && v.Kind == yaml.MappingNode {
				r.AddError(v, name, "%s is missing", key)
			} else if f[key] != nil {
				read(f[key])
			}
		}
		if f["kind"] == nil && v.Kind == yaml.MappingNode {
			r.AddError(v, name, "kind is missing")
		}
		if f["worth"] != nil {
			c.Worth = r.Float(f["worth"], "worth")
		}
		if f["bound"] != nil {
			c.Bound = r.Duration(f["bound"], "bound")
		}
		if c.Aim > c.Deadline && f["aim"] != nil && f["deadline"] != nil {
			r.AddError(f["aim"], "aim", "later than the deadline")
		}
		if strings.ContainsAny(name, " ,=*/'") || name == "" {
			r.AddError(n.Content[i], name, "a class is named without spaces, commas, quotes, =, * and /")
		}
		sum += c.Mix
		p.Classes = append(p.Classes, c)
	}
	if len(p.Classes) > 0 && math.Abs(sum-1) > 1e-6 {
		r.AddError(n, "classes", "the mix adds up to %.4g%%, not to 100%%", sum*100)
	}
}

func (r *reader) stages(p *Plan, n, whole *yaml.Node) {
	if n == nil || n.Kind != yaml.SequenceNode || len(n.Content) == 0 {
		if n == nil {
			n = whole
		}
		r.AddError(n, "stages", "a list of at least one stage is wanted")
		return
	}
	for i, v := range n.Content {
		f := r.Fields(v, "stage", "name", "shape", "rate", "from", "to", "rates", "times", "rise", "hold", "fall", "for")
		s := Stage{Name: fmt.Sprintf("%d", i+1)}
		if name, ok := r.Text(f["name"], "name"); ok {
			s.Name = name
		}
		shape, _ := r.Text(f["shape"], "shape")
		used := map[string]bool{"name": true, "shape": true}
		need := func(key string) *yaml.Node {
			used[key] = true
			if f[key] == nil {
				r.AddError(v, key, "missing; a stage of shape %q wants it", shape)
			}
			return f[key]
		}
		rate := func(key string) float64 { return r.Rate(need(key), key) }
		span := func(key string) time.Duration {
			at := need(key)
			d := r.Duration(at, key)
			if at != nil && d <= 0 && len(r.Errors) == 0 {
				r.AddError(at, key, "a stage of no length")
			}
			return d
		}
		line := func(from, to float64, d time.Duration) { s.Segments = append(s.Segments, RateSegment{from, to, d}) }
		switch shape {
		case "constant":
			x := rate("rate")
			line(x, x, span("for"))
		case "ramp":
			line(rate("from"), rate("to"), span("for"))
		case "burst":
			x := rate("rate")
			y := x * r.Float(need("times"), "times")
			line(x, y, span("rise"))
			line(y, y, span("hold"))
			line(y, x, span("fall"))
		case "step":
			list := need("rates")
			d := span("for")
			if list != nil && (list.Kind != yaml.SequenceNode || len(list.Content) == 0) {
				r.AddError(list, "rates", "a list of rates is wanted")
			} else if list != nil {
				for _, x := range list.Content {
					y := r.Rate(x, "rates")
					line(y, y, d/time.Duration(len(list.Content)))
				}
			}
		case "pause":
			line(0, 0, span("for"))
		default:
			r.AddError(v, "shape", "%q is not constant, ramp, burst, step or pause", shape)
			continue
		}
		for i := 0; i+1 < len(v.Content); i += 2 {
			if k := v.Content[i]; f[k.Value] != nil && !used[k.Value] {
				r.AddError(k, k.Value, "a stage of shape %q does not use it", shape)
			}
		}
		p.Stages = append(p.Stages, s)
	}
}

func (r *reader) events(p *Plan, n *yaml.Node) {
	if n == nil {
		return
	}
	if n.Kind != yaml.SequenceNode {
		r.AddError(n, "events", "a list is wanted")
		return
	}
	for _, v := range n.Content {
		f := r.Fields(v, "event", "at", "do", "part", "for", "size", "gateways", "back", "from", "to", "sides",
			"loss", "duplicate", "reorder", "corrupt", "delay", "jitter", "rate", "cut")
		e := Event{Share: 1}
		if f["at"] == nil {
			r.AddError(v, "at", "missing")
		} else {
			e.At = r.Duration(f["at"], "at")
		}
		e.Action, _ = r.Text(f["do"], "do")
		if !slices.Contains(Actions, e.Action) {
			r.AddError(v, "do", "%q is not one of %s", e.Action, strings.Join(Actions, ", "))
		}
		if f["part"] != nil {
			e.Share = r.Percentage(f["part"], "part")
		}
		if f["for"] != nil {
			e.Duration = r.Duration(f["for"], "for")
		}
		if f["size"] != nil {
			e.Size = r.Duration(f["size"], "size")
		}
		r.fleet(f, v, &e)
		p.Events = append(p.Events, e)
	}
}

// fleet reads what events do to gateways and to the links between them.
func (r *reader) fleet(f map[string]*yaml.Node, v *yaml.Node, e *Event) {
	if n := f["gateways"]; n != nil && n.Kind == yaml.ScalarNode {
		e.GatewayShare = r.Percentage(n, "gateways")
	} else if n != nil {
		e.Gateways = r.numbers(n, "gateways")
	} else if e.Action == "kill-gateway" || e.Action == "stop-gateway" {
		e.Gateways = []int{0}
	} else if e.Action == "roll-gateways" {
		e.GatewayShare = 1
	}
	e.From, e.To = r.numbers(f["from"], "from"), r.numbers(f["to"], "to")
	for key, to := range map[string]*float64{
		"loss": &e.Link.Loss, "duplicate": &e.Link.Duplicate, "reorder": &e.Link.Reorder, "corrupt": &e.Link.Corrupt,
	} {
		if f[key] != nil {
			*to = r.Percentage(f[key], key)
		}
	}
	for key, to := range map[string]*time.Duration{"delay": &e.Link.Delay, "jitter": &e.Link.Jitter, "back": &e.RestartAfter} {
		if f[key] != nil {
			*to = r.Duration(f[key], key)
		}
	}
	if f["rate"] != nil {
		e.Link.Rate, _ = r.Number(f["rate"], "rate", "20 kB/s", map[string]float64{"B/s": 1, "kB/s": 1e3, "MB/s": 1e6})
	}
	e.Link.Cut = r.Bool(f["cut"], "cut")
	if n := f["sides"]; n != nil {
		if n.Kind != yaml.SequenceNode || len(n.Content) < 2 {
			r.AddError(n, "sides", "two lists or more are wanted, like [[0, 1], [2, 3]]")
		} else {
			for _, side := range n.Content {
				e.Sides = append(e.Sides, r.numbers(side, "sides"))
			}
		}
	} else if e.Action == "partition" {
		r.AddError(v, "sides", "missing; a partition wants them")
	}
}

func (r *reader) numbers(n *yaml.Node, key string) (list []int) {
	if n != nil && n.Kind != yaml.SequenceNode {
		r.AddError(n, key, "a list of numbers of gateways is wanted, like [0, 2]")
		return nil
	}
	if n != nil {
		for _, v := range n.Content {
			list = append(list, r.Count(v, key, 0, 999))
		}
	}
	return list
}

func (r *reader) lab(p *Plan, n *yaml.Node) {
	f := r.Fields(n, "lab", "gateways", "told", "members", "cores", "queue", "service", "delay", "lag", "cold", "fleet", "budget", "lease", "subsets", "positions", "primaries", "bytes", "audit", "fence", "words", "repeats")
	for key, to := range map[string]*int{"gateways": &p.Lab.Gateways, "told": &p.Lab.AnnouncedGateways, "members": &p.Lab.Members, "cores": &p.Lab.Cores, "queue": &p.Lab.Queue, "budget": &p.Lab.Budget} {
		if f[key] != nil {
			*to = r.Count(f[key], key, 1, 1000)
		}
	}
	for key, to := range map[string]*time.Duration{"service": &p.Lab.Service, "lag": &p.Lab.Lag, "cold": &p.Lab.SlowStart, "lease": &p.Lab.Lease} {
		if f[key] != nil {
			*to = r.Duration(f[key], key)
		}
	}
	p.Lab.Fleet = r.Bool(f["fleet"], "fleet")
	p.Lab.Subsets = r.Bool(f["subsets"], "subsets")
	p.Lab.Positions = r.Bool(f["positions"], "positions")
	p.Lab.Primaries = r.Bool(f["primaries"], "primaries")
	if n := f["bytes"]; n != nil {
		p.Lab.MaxBytesPerSecond = int(r.Rate(n, "bytes"))
	}
	p.Lab.Audit = r.Bool(f["audit"], "audit")
	if n := f["repeats"]; n != nil {
		p.Lab.RetryShare = r.Percentage(n, "repeats")
	}
	if n := f["words"]; n != nil {
		p.Lab.OverrideLifetime = r.Duration(n, "words")
	}
	if n := f["fence"]; n != nil {
		p.Lab.FenceAfter = r.Duration(n, "fence")
	}
	for i, e := range p.Events {
		for _, g := range slices.Concat(e.Gateways, e.From, e.To, slices.Concat(e.Sides...)) {
			if g >= p.Lab.Gateways {
				r.AddError(n, "events", "event %d names gateway %d; the lab has %d, counted from 0", i+1, g, p.Lab.Gateways)
			}
		}
		if (e.Action == "links" || e.Action == "partition") && !p.Lab.Fleet {
			r.AddError(n, "events", "event %d is about links between gateways; the lab wants fleet: true for that", i+1)
		}
	}
	if s, ok := r.Text(f["delay"], "delay"); ok {
		if p.Lab.Delay = s; s != "constant" && s != "exponential" {
			r.AddError(f["delay"], "delay", "%q is neither constant nor exponential", s)
		}
	}
}
