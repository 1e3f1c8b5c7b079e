// Package capacity computes the figures of docs/CAPACITY.md from the runs under docs/capacity: slopes, what they come to at
// three sizes, and the order in which growth meets what does not fit. Only Read touches files; all else is arithmetic.
package capacity

import (
	"encoding/json"
	"fmt"
	"io/fs"
	"path"
	"slices"
	"strings"
)

// Stat is one figure over all gateways.
type Stat struct {
	Mean float64 `json:"mean"`
	P99  float64 `json:"p99"`
	Max  float64 `json:"max"`
}

// Spread is how long something took.
type Spread struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Control is the control traffic and its cost for a gateway, all roles together.
type Control struct {
	BytesOut *Stat `json:"bytes_out_per_s"`
	BytesIn  *Stat `json:"bytes_in_per_s"`
	Messages *Stat `json:"messages_per_s"`
	Core     *Stat `json:"core_percent"`
	Memory   *Stat `json:"memory_mb"`
}

// RoleTraffic is one role's, a gateway in the mean.
type RoleTraffic struct {
	BytesOut float64 `json:"bytes_out_per_s"`
	BytesIn  float64 `json:"bytes_in_per_s"`
	Messages float64 `json:"messages_per_s"`
}

// Stale is how old the positions were that gateways knew.
type Stale struct {
	Known float64  `json:"known_mean"`
	P50   *float64 `json:"stale_p50_s"`
	P99   *float64 `json:"stale_p99_s"`
}

// Settled is how long all views took to be equal again behind something that happened; nil: they were not in time.
type Settled struct {
	After string   `json:"after"`
	At    float64  `json:"at_s"`
	Took  *float64 `json:"took_s"`
}

// Window is the most that one gateway sent in any 10 s.
type Window struct {
	BytesOut float64 `json:"bytes_out_per_s"`
	Role     string  `json:"most_by"`
	Over     int     `json:"gateways_over"`
}

// Asked is the most that discovery was asked in a second, and before the fleet had settled.
type Asked struct {
	Calls float64 `json:"calls_per_s_max"`
	Early float64 `json:"calls_per_s_max_settling"`
}

// Scale is a report of lilacload scale.
type Scale struct {
	File    string `json:"-"`
	Command string `json:"command"`
	Seed    uint64 `json:"seed"`

	Gateways  int     `json:"gateways"`
	Databases int     `json:"databases"`
	Regions   int     `json:"regions"`
	RTT       float64 `json:"rtt_ms"`
	Seconds   float64 `json:"seconds"`
	Real      int     `json:"real"`

	Statements *float64 `json:"statements_per_s"` // at each hollow gateway; nil: the plan's
	Skew       float64  `json:"skew"`

	Valid   bool   `json:"valid"`
	Why     string `json:"invalid_because"`
	Partial bool   `json:"partial"`

	Control       Control                `json:"control"`
	ByRole        map[string]RoleTraffic `json:"by_role"`
	Window        *Window                `json:"window"`
	InForce       *Spread                `json:"in_force_s"`
	ListInForce   *Spread                `json:"list_in_force_s"`
	PrimaryChange *Spread                `json:"primary_change_s"`
	ViewsEqual    []Settled              `json:"views_equal"`
	FalseDeaths   float64                `json:"false_deaths"`
	EarlyDeaths   float64                `json:"false_deaths_settling"`
	Faults        []string               `json:"faults"`
	Positions     *Stale                 `json:"positions"`
	Discovery     *Asked                 `json:"discovery"`
}

// Datapath is one gateway with its clients before one stand-in.
type Datapath struct {
	File    string `json:"-"`
	Command string `json:"command"`

	Clients    float64 `json:"clients"`
	Statements float64 `json:"statements_per_s"`
	Databases  float64 `json:"databases"`
	Seconds    float64 `json:"seconds"`

	Valid   bool     `json:"valid"`
	Why     string   `json:"invalid_because"`
	Partial bool     `json:"partial"`
	Faults  []string `json:"faults"`

	StandIn struct {
		Per map[string]PerDatabase `json:"connections_per_database"`
	} `json:"standin"`
	Gateway struct {
		RSSIdle             float64 `json:"rss_mb_idle"`
		RSS                 float64 `json:"rss_mb"`
		Core                float64 `json:"core_percent"`
		PerClient           float64 `json:"bytes_per_client_idle"`
		PerStatement        float64 `json:"cpu_us_per_statement"`
		Descriptors         float64 `json:"descriptors"`
		ClientConnections   float64 `json:"client_connections"`
		DatabaseConnections float64 `json:"database_connections"`
		Served              float64 `json:"served"`
		Refused             float64 `json:"refused"`
		Failed              float64 `json:"failed"`
		Late                float64 `json:"late"`
		NewDatabase         float64 `json:"new_connections_per_s"`
		NewClient           float64 `json:"client_connections_per_s"`
	} `json:"gateway"`
}

// PerDatabase is how many connections one gateway has to a database of a role, over all of them and all moments.
type PerDatabase struct {
	Mean float64 `json:"mean"`
	Max  float64 `json:"max"`
}

// Calibration sets hollow gateways beside real ones.
type Calibration struct {
	File    string `json:"-"`
	Command string `json:"command"`
	State   string `json:"state"` // idle, or loaded
	Valid   *bool  `json:"valid"` // nil: it is
	Why     string `json:"invalid_because"`
	Hollow  Side   `json:"hollow"`
	Real    Side   `json:"real"`
}

// Side is one kind of gateways: what the fleet file makes of them.
type Side struct {
	Scale
}

func (c *Calibration) good() bool { return c.Valid == nil || *c.Valid }

// Trial is one row of a simulated network.
type Trial struct {
	Part        string   `json:"part"`
	Mode        string   `json:"mode"`
	Gateways    float64  `json:"gateways"`
	Databases   float64  `json:"databases"`
	Regions     int      `json:"regions"`
	Answers     string   `json:"answers"`
	OneWay      float64  `json:"one_way_ms"`
	Loss        float64  `json:"loss"`
	BytesOut    *float64 `json:"bytes_out_per_s"`
	BytesMost   *float64 `json:"bytes_out_per_s_max"`
	Messages    *float64 `json:"messages_per_s"`
	FalseDeaths *float64 `json:"false_deaths"`
	AgeP99      *float64 `json:"age_p99_ms"`
}

// Sim is a file of trials.
type Sim struct {
	File    string  `json:"-"`
	Command string  `json:"command"`
	Kind    string  `json:"kind"`
	Rows    []Trial `json:"rows"`
}

// ToolRow is one call of the operators' tool that asked all gateways.
type ToolRow struct {
	What      string  `json:"what"`
	Gateways  float64 `json:"gateways"`
	Read      float64 `json:"bytes_read"`
	Processor float64 `json:"cpu_ms"`
	Memory    float64 `json:"rss_mb"`
	Seconds   float64 `json:"seconds"`
}

// Tool is a file of such calls.
type Tool struct {
	File    string    `json:"-"`
	Command string    `json:"command"`
	Rows    []ToolRow `json:"rows"`
}

// Runs are all that was measured, in the order of their files' names.
type Runs struct {
	Scale       []Scale
	Datapath    []Datapath
	Calibration []Calibration
	Sim         []Sim
	Tool        []Tool
}

// Read takes in the files of a directory. Each bears the command that made it.
func Read(dir fs.FS) (*Runs, error) {
	names, err := fs.Glob(dir, "*.json")
	if err != nil {
		return nil, err
	}
	slices.Sort(names)
	r := &Runs{}
	for _, name := range names {
		text, err := fs.ReadFile(dir, name)
		if err != nil {
			return nil, err
		}
		if err := r.add(name, text); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	return r, nil
}

func (r *Runs) add(name string, text []byte) (err error) {
	var command string
	base := path.Base(name)
	switch kind, _, _ := strings.Cut(base, "-"); kind {
	case "scale":
		x := Scale{File: base}
		err, command = json.Unmarshal(text, &x), x.Command
		r.Scale = append(r.Scale, x)
		if err == nil && (x.Gateways <= 0 || x.Databases <= 0 || x.Regions <= 0) {
			err = fmt.Errorf("gateways %d, databases %d, regions %d: each is to be 1 or more", x.Gateways, x.Databases, x.Regions)
		}
	case "datapath":
		x := Datapath{File: base}
		err, command = json.Unmarshal(text, &x), x.Command
		r.Datapath = append(r.Datapath, x)
	case "calibration":
		x := Calibration{File: base}
		err, command = json.Unmarshal(text, &x), x.Command
		r.Calibration = append(r.Calibration, x)
	case "sim":
		x := Sim{File: base}
		err, command = json.Unmarshal(text, &x), x.Command
		r.Sim = append(r.Sim, x)
	case "tool":
		x := Tool{File: base}
		err, command = json.Unmarshal(text, &x), x.Command
		r.Tool = append(r.Tool, x)
	default:
		return fmt.Errorf("no kind of run is named so; call it scale-, datapath-, calibration-, tool- or sim-NAME.json")
	}
	if err == nil && strings.TrimSpace(command) == "" {
		err = fmt.Errorf("command: missing; put in how the run was started")
	}
	return err
}

// plan is the plan that a scale run played, by its file's name.
func (s *Scale) plan() string {
	f := strings.Fields(s.Command)
	for i := range f {
		if f[i] == "scale" && i+1 < len(f) {
			name := strings.TrimSuffix(path.Base(f[i+1]), path.Ext(f[i+1]))
			return strings.TrimSuffix(name, "-after")
		}
	}
	return ""
}

// setting is what a run was made with besides its size: the command without the options that say that, or how long.
func (d *Datapath) setting() string {
	var kept []string
	f := strings.Fields(d.Command)
	for i := 0; i < len(f); i++ {
		name, _, whole := strings.Cut(strings.TrimLeft(f[i], "-"), "=")
		if strings.HasPrefix(f[i], "--") && slices.Contains([]string{"clients", "statements", "databases", "for", "idle", "warm", "seed", "json", "logs", "gateway"}, name) {
			if !whole {
				i++
			}
			continue
		}
		kept = append(kept, f[i])
	}
	return strings.Join(kept, " ")
}

func (d *Datapath) good() bool { return d.Valid && !d.Partial }

// target tells whether hollow gateways were fed with the target's statements, spread as the module does, in a fleet with all that the plan has.
func (s *Scale) target() bool {
	return (s.Statements == nil || *s.Statements == Target.Statements) && s.Skew == 0 && !strings.Contains(s.Command, " --without")
}

// good tells whether a run is a result.
func (s *Scale) good() bool { return s.Valid && !s.Partial }

// after tells whether a run was made with the mechanism that came out of the first ones.
func (s *Scale) after() bool { return strings.HasSuffix(s.File, "-after.json") }
