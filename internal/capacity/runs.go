// Package capacity computes the figures of docs/CAPACITY.md from the runs under docs/capacity: slopes, their values at three
// sizes, and the order in which growth exceeds the allowances. Only Read touches files; the rest is arithmetic.
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

// DurationStats is the distribution of a duration.
type DurationStats struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Control is the control traffic of a gateway and its cost, all roles together.
type Control struct {
	BytesOut    *Stat `json:"bytes_out_per_s"`
	BytesIn     *Stat `json:"bytes_in_per_s"`
	Messages    *Stat `json:"messages_per_s"`
	CorePercent *Stat `json:"core_percent"`
	MemoryMB    *Stat `json:"memory_mb"`
}

// RoleTraffic is the control traffic of one role, the mean over the gateways.
type RoleTraffic struct {
	BytesOut float64 `json:"bytes_out_per_s"`
	BytesIn  float64 `json:"bytes_in_per_s"`
	Messages float64 `json:"messages_per_s"`
}

// PositionAges is how old the positions were that gateways knew.
type PositionAges struct {
	Known float64  `json:"known_mean"`
	P50   *float64 `json:"stale_p50_s"`
	P99   *float64 `json:"stale_p99_s"`
}

// Convergence is how long it took after an event until all views were equal again; a nil Took: not within the time allowed.
type Convergence struct {
	After string   `json:"after"`
	At    float64  `json:"at_s"`
	Took  *float64 `json:"took_s"`
}

// Window is the highest sending rate of any gateway over 10 s.
type Window struct {
	BytesOut     float64 `json:"bytes_out_per_s"`
	Role         string  `json:"most_by"`
	GatewaysOver int     `json:"gateways_over"`
}

// DiscoveryCalls is the highest rate of calls to discovery in any second, after and before the fleet had settled.
type DiscoveryCalls struct {
	MaxPerSecond         float64 `json:"calls_per_s_max"`
	MaxPerSecondSettling float64 `json:"calls_per_s_max_settling"`
}

// Scale is a report of lilacload scale.
type Scale struct {
	File    string `json:"-"`
	Command string `json:"command"`
	Seed    uint64 `json:"seed"`

	Gateways     int     `json:"gateways"`
	Databases    int     `json:"databases"`
	Regions      int     `json:"regions"`
	RTT          float64 `json:"rtt_ms"`
	Seconds      float64 `json:"seconds"`
	RealGateways int     `json:"real"`

	Statements *float64 `json:"statements_per_s"` // at each hollow gateway; nil: the plan's
	Skew       float64  `json:"skew"`

	Valid          bool   `json:"valid"`
	InvalidBecause string `json:"invalid_because"`
	Partial        bool   `json:"partial"`

	Control             Control                `json:"control"`
	ByRole              map[string]RoleTraffic `json:"by_role"`
	Window              *Window                `json:"window"`
	InForce             *DurationStats         `json:"in_force_s"`
	ListInForce         *DurationStats         `json:"list_in_force_s"`
	PrimaryChange       *DurationStats         `json:"primary_change_s"`
	ViewsEqual          []Convergence          `json:"views_equal"`
	FalseDeaths         float64                `json:"false_deaths"`
	FalseDeathsSettling float64                `json:"false_deaths_settling"`
	Faults              []string               `json:"faults"`
	Positions           *PositionAges          `json:"positions"`
	Discovery           *DiscoveryCalls        `json:"discovery"`
}

// Datapath is a report of lilacload datapath: one gateway with its clients and simulated databases.
type Datapath struct {
	File    string `json:"-"`
	Command string `json:"command"`

	Clients    float64 `json:"clients"`
	Statements float64 `json:"statements_per_s"`
	Databases  float64 `json:"databases"`
	Seconds    float64 `json:"seconds"`

	Valid          bool     `json:"valid"`
	InvalidBecause string   `json:"invalid_because"`
	Partial        bool     `json:"partial"`
	Faults         []string `json:"faults"`

	StandIn struct {
		PerDatabase map[string]PerDatabase `json:"connections_per_database"`
	} `json:"standin"`
	Gateway struct {
		RSSIdle                float64 `json:"rss_mb_idle"`
		RSS                    float64 `json:"rss_mb"`
		Core                   float64 `json:"core_percent"`
		BytesPerClient         float64 `json:"bytes_per_client_idle"`
		CPUPerStatement        float64 `json:"cpu_us_per_statement"`
		Descriptors            float64 `json:"descriptors"`
		ClientConnections      float64 `json:"client_connections"`
		DatabaseConnections    float64 `json:"database_connections"`
		Served                 float64 `json:"served"`
		Refused                float64 `json:"refused"`
		Failed                 float64 `json:"failed"`
		Late                   float64 `json:"late"`
		NewDatabaseConnections float64 `json:"new_connections_per_s"`
		NewClientConnections   float64 `json:"client_connections_per_s"`
	} `json:"gateway"`
}

// PerDatabase is how many connections one gateway has to a database of a role, over all such databases and all samples.
type PerDatabase struct {
	Mean float64 `json:"mean"`
	Max  float64 `json:"max"`
}

// Calibration compares hollow gateways with real ones.
type Calibration struct {
	File           string `json:"-"`
	Command        string `json:"command"`
	State          string `json:"state"` // idle or loaded
	Valid          *bool  `json:"valid"` // nil: valid
	InvalidBecause string `json:"invalid_because"`
	Hollow         Side   `json:"hollow"`
	Real           Side   `json:"real"`
}

// Side is one kind of gateways of a calibration: the cost that a fleet file adds to them.
type Side struct {
	Scale
}

func (c *Calibration) usable() bool { return c.Valid == nil || *c.Valid }

// Trial is one row of results from a simulated network.
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
	MaxBytesOut *float64 `json:"bytes_out_per_s_max"`
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

// ToolRow is one call of the operators' tool that queried all gateways.
type ToolRow struct {
	Command   string  `json:"what"`
	Gateways  float64 `json:"gateways"`
	BytesRead float64 `json:"bytes_read"`
	CPUMS     float64 `json:"cpu_ms"`
	RSSMB     float64 `json:"rss_mb"`
	Seconds   float64 `json:"seconds"`
}

// Tool is a file of such calls.
type Tool struct {
	File    string    `json:"-"`
	Command string    `json:"command"`
	Rows    []ToolRow `json:"rows"`
}

// Runs holds all runs, in the order of their file names.
type Runs struct {
	Scale       []Scale
	Datapath    []Datapath
	Calibration []Calibration
	Sim         []Sim
	Tool        []Tool
}

// Read reads the runs of a directory. Each file must name the command that made it.
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
			err = fmt.Errorf("gateways %d, databases %d, regions %d: each must be 1 or more", x.Gateways, x.Databases, x.Regions)
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
		return fmt.Errorf("unknown kind of run; name the file scale-, datapath-, calibration-, tool- or sim-NAME.json")
	}
	if err == nil && strings.TrimSpace(command) == "" {
		err = fmt.Errorf("command: missing; add the command that made the run")
	}
	return err
}

// planName returns the name of the plan that a scale run played, from its command.
func (s *Scale) planName() string {
	words := strings.Fields(s.Command)
	for i := range words {
		if words[i] == "scale" && i+1 < len(words) {
			name := strings.TrimSuffix(path.Base(words[i+1]), path.Ext(words[i+1]))
			return strings.TrimSuffix(name, "-after")
		}
	}
	return ""
}

// settings returns what a run was made with besides its size and duration: its command without the options for those.
func (d *Datapath) settings() string {
	var kept []string
	words := strings.Fields(d.Command)
	for i := 0; i < len(words); i++ {
		name, _, hasValue := strings.Cut(strings.TrimLeft(words[i], "-"), "=")
		if strings.HasPrefix(words[i], "--") && slices.Contains([]string{"clients", "statements", "databases", "for", "idle", "warm", "seed", "json", "logs", "gateway"}, name) {
			if !hasValue {
				i++
			}
			continue
		}
		kept = append(kept, words[i])
	}
	return strings.Join(kept, " ")
}

func (d *Datapath) usable() bool { return d.Valid && !d.Partial }

// hasTargetLoad reports whether the hollow gateways had the target's statement rate without skew, and the plan's whole fleet file.
func (s *Scale) hasTargetLoad() bool {
	return (s.Statements == nil || *s.Statements == Target.Statements) && s.Skew == 0 && !strings.Contains(s.Command, " --without")
}

// usable reports whether a run may enter the figures.
func (s *Scale) usable() bool { return s.Valid && !s.Partial }

// withMechanism reports whether a run was made with the mechanism that was added because of the first runs.
func (s *Scale) withMechanism() bool { return strings.HasSuffix(s.File, "-after.json") }
