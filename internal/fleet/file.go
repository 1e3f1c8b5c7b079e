// Package fleet reads the file that makes a gateway one of a fleet. Without one a gateway knows no other.
package fleet

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"

	"go.yaml.in/yaml/v3"

	"lilaccove/internal/fleet/antientropy"
	"lilaccove/internal/yamlfile"
)

// File is what it says.
type File struct {
	Fleet       string                    // its name; messages of another are dropped
	Listen      netip.AddrPort            // UDP and TCP, for other gateways alone
	Advertise   netip.AddrPort            // where others find this gateway, if not at Listen
	Seeds       []netip.AddrPort          // where others may be found at first
	Dial        map[string]netip.AddrPort // where a gateway is found from here, before what it tells itself
	ProbePeriod time.Duration             // of probes; 0: the default
	StableAfter time.Duration             // how long a change holds before it counts; 0: the default
	MaxMembers  int                       // members kept at most; 0: the default
	Budgets     *Budgets                  // nil: none is divided
	Positions   bool                      // gateways tell each other how far databases have come
	Primaries   bool                      // and which of them answered as primary
	RetryBudget float64                   // of attempts, as a share of first ones; 0: not bounded
	Subsets     bool                      // each gateway uses some replicas of a group first
	Audit       *Audit                    // nil: records stay in memory
	Overrides   *Overrides                // nil: operators' words are not kept on a disk
	FenceAfter  time.Duration             // behind others for so long a gateway shuts itself out; 0: never

	// What telling positions, and primaries, may send in bytes a second; 0: they go as rumours, whatever that takes.
	PositionBytes, PrimaryBytes int
}

// Budgets are what the whole fleet may spend at once.
type Budgets struct {
	Holders     []string      // the gateways among which they are divided
	Connections int           // to each database
	Lease       time.Duration // of what one holder lends another
}

// Overrides is where operators' words to the fleet are kept over restarts.
type Overrides struct {
	Dir       string        // a directory of this gateway's own
	Retention time.Duration // a copy that was away for longer is not used; nothing younger is forgotten
}

// Audit is where records of what this gateway did are kept.
type Audit struct {
	File      string
	Megabytes int // of one file, over which a new one is begun
	Keep      int // old ones
}

// Common is the part that is to be equal in all files of a fleet, as text.
func (f *File) Common() []byte {
	return fmt.Appendf(nil, "%s %v %v %d %s %t %t %v %t %v %v%s%s", f.Fleet, f.ProbePeriod, f.StableAfter, f.MaxMembers, f.Budgets.text(), f.Positions, f.Subsets, f.FenceAfter, f.Primaries, f.Overrides.retention(), f.RetryBudget,
		bytesText(" positions", f.PositionBytes), bytesText(" primaries", f.PrimaryBytes))
}

// MaxMembers bounds what a file may ask for.
const MaxMembers = 4096

// Parse reads a fleet file. Everything that is wrong with it is told at once, with its place.
func Parse(file string, text []byte) (*File, error) {
	r, top, err := yamlfile.Open(file, text, "fleet file")
	if err != nil {
		return nil, err
	}
	f := &File{Dial: map[string]netip.AddrPort{}}
	fields := r.Fields(top, "", "fleet", "listen", "advertise", "seeds", "dial", "period", "still", "most", "budgets", "subsets", "positions", "primaries", "audit", "fence", "words", "repeats")
	required := func(key string) *yaml.Node {
		if fields[key] == nil && top.Kind == yaml.MappingNode {
			r.Fail(top, key, "missing")
		}
		return fields[key]
	}
	if s, ok := r.Text(required("fleet"), "fleet"); ok {
		if f.Fleet = s; !ValidName(s) {
			r.Fail(fields["fleet"], "fleet", "%q is no name; letters, digits, dots, dashes and underscores, 64 at most", s)
		}
	}
	f.Listen = r.Addr(required("listen"), "listen")
	f.Advertise = r.Addr(fields["advertise"], "advertise")
	if addr := f.Listen.Addr(); fields["advertise"] == nil && addr.IsValid() && addr.IsUnspecified() {
		r.Fail(fields["listen"], "listen", "%s is every address; say with advertise where others find this gateway", f.Listen)
	}
	if addr := f.Advertise; addr.IsValid() && (addr.Addr().IsUnspecified() || addr.Port() == 0) {
		r.Fail(fields["advertise"], "advertise", "nobody can dial %s", addr)
	}
	if n := fields["seeds"]; n != nil {
		if n.Kind != yaml.SequenceNode {
			r.Fail(n, "seeds", "a list of addresses is wanted, like [127.0.0.1:7400, 127.0.0.1:7401]")
		} else {
			for _, v := range n.Content {
				f.Seeds = append(f.Seeds, r.Addr(v, "seeds"))
			}
		}
	}
	for name, v := range r.Fields(fields["dial"], "dial") {
		if !ValidName(name) {
			r.Fail(v, "dial", "%q is no name of a gateway", name)
		}
		f.Dial[name] = r.Addr(v, name)
	}
	duration := func(key string, dst *time.Duration, shortest, longest time.Duration) {
		if n := fields[key]; n != nil {
			if *dst = r.Time(n, key); *dst < shortest || *dst > longest {
				r.Fail(n, key, "from %v to %v would do", shortest, longest)
			}
		}
	}
	duration("period", &f.ProbePeriod, 50*time.Millisecond, 10*time.Second)
	duration("still", &f.StableAfter, 0, time.Minute)
	duration("fence", &f.FenceAfter, time.Second, time.Hour)
	if n := fields["most"]; n != nil {
		f.MaxMembers = r.Count(n, "most", 2, MaxMembers)
	}
	f.Positions, f.PositionBytes = parsePublished(r, fields["positions"], "positions")
	f.Primaries, f.PrimaryBytes = parsePublished(r, fields["primaries"], "primaries")
	f.Subsets = r.Bool(fields["subsets"], "subsets")
	if n := fields["audit"]; n != nil {
		f.Audit = &Audit{Megabytes: 8, Keep: 4}
		a := r.Fields(n, "audit", "file", "megabytes", "keep")
		if v := a["file"]; v == nil {
			r.Fail(n, "file", "missing: the path of the file that records are written to")
		} else {
			f.Audit.File, _ = r.Text(v, "file")
		}
		if v := a["megabytes"]; v != nil {
			f.Audit.Megabytes = r.Count(v, "megabytes", 1, 1024)
		}
		if v := a["keep"]; v != nil {
			f.Audit.Keep = r.Count(v, "keep", 0, 100)
		}
	}
	if n := fields["repeats"]; n != nil {
		if f.RetryBudget = r.Share(n, "repeats"); f.RetryBudget <= 0 {
			r.Fail(n, "repeats", "over 0%% up to 100%% would do, like 20%%; without the line they are not bounded")
		}
	}
	if n := fields["words"]; n != nil {
		f.Overrides = parseOverrides(r, n)
	}
	if n := fields["budgets"]; n != nil {
		f.Budgets = parseBudgets(r, n)
	}
	if err := r.Err(); err != nil {
		return nil, err
	}
	return f, nil
}

func parseBudgets(r *yamlfile.Reader, n *yaml.Node) *Budgets {
	budgets := &Budgets{Lease: 8 * time.Second}
	fields := r.Fields(n, "budgets", "holders", "connections", "lease")
	if list := fields["holders"]; list == nil || list.Kind != yaml.SequenceNode || len(list.Content) == 0 {
		r.Fail(n, "holders", "a list of the names of all gateways that share the budgets is wanted, the same in every file")
	} else {
		for _, v := range list.Content {
			name, _ := r.Text(v, "holders")
			switch {
			case !ValidName(name):
				r.Fail(v, "holders", "%q is no name of a gateway", name)
			case slices.Contains(budgets.Holders, name):
				r.Fail(v, "holders", "%s stands twice", name)
			}
			budgets.Holders = append(budgets.Holders, name)
		}
	}
	if v := fields["connections"]; v == nil {
		r.Fail(n, "connections", "missing: how many all gateways together may have at one database")
	} else if budgets.Connections = r.Count(v, "connections", 1, 1_000_000); budgets.Connections < len(budgets.Holders) {
		r.Fail(v, "connections", "%d for %d holders: each wants one at least", budgets.Connections, len(budgets.Holders))
	}
	if v := fields["lease"]; v != nil {
		if budgets.Lease = r.Time(v, "lease"); budgets.Lease < time.Second || budgets.Lease > time.Minute {
			r.Fail(v, "lease", "from 1s to 1m0s would do; longer than the longest deadline of a request")
		}
	}
	return budgets
}

func parseOverrides(r *yamlfile.Reader, n *yaml.Node) *Overrides {
	overrides := &Overrides{Retention: 7 * 24 * time.Hour}
	fields := r.Fields(n, "words", "dir", "keep")
	if v := fields["dir"]; v == nil {
		r.Fail(n, "dir", "missing: a directory of this gateway's own, in which operators' words are kept over restarts")
	} else {
		overrides.Dir, _ = r.Text(v, "dir")
	}
	if v := fields["keep"]; v != nil {
		seconds, ok := r.Number(v, "keep", "7 days", map[string]float64{"s": 1, "min": 60, "h": 3600, "days": 24 * 3600})
		if ok && (seconds < 1 || seconds > 366*24*3600) {
			r.Fail(v, "keep", "from 1 s to 366 days would do; the same in every file")
		} else {
			overrides.Retention = time.Duration(seconds * float64(time.Second))
		}
	}
	return overrides
}

func (w *Overrides) retention() time.Duration {
	if w == nil {
		return 0
	}
	return w.Retention
}

// ValidName tells whether a text can name a gateway or a fleet.
func ValidName(s string) bool {
	if s == "" || len(s) > 64 {
		return false
	}
	for _, c := range []byte(s) {
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '.' || c == '-' || c == '_') {
			return false
		}
	}
	return true
}

// parsePublished reads what gateways tell each other: true, or a budget in bytes.
func parsePublished(r *yamlfile.Reader, n *yaml.Node, key string) (on bool, bytes int) {
	if n == nil || n.Kind != yaml.MappingNode {
		text, ok := r.Text(n, key)
		if ok && text != "true" && text != "false" {
			r.Fail(n, key, "%q is neither true nor false nor a budget like {bytes: 1500/s}", text)
		}
		return text == "true", 0
	}
	fields := r.Fields(n, key, "bytes")
	value := fields["bytes"]
	if value == nil {
		r.Fail(n, "bytes", "missing: what %s may send, like {bytes: 1500/s}; the same in every file", key)
		return true, 0
	}
	rate, ok := r.Number(value, "bytes", "1500/s", map[string]float64{"/s": 1})
	if !ok {
		return true, 0
	}
	if rate != math.Trunc(rate) || rate < antientropy.MinBytesPerSecond || rate > antientropy.MaxBytesPerSecond {
		r.Fail(value, "bytes", "a whole number from %d/s to %d/s would do: less does not carry a question and an answer a second; the same in every file",
			antientropy.MinBytesPerSecond, antientropy.MaxBytesPerSecond)
	}
	return true, int(rate)
}

// bytesText is nothing without a budget, so that files without one have the digest they had.
func bytesText(key string, n int) string {
	if n == 0 {
		return ""
	}
	return fmt.Sprintf("%s %d/s", key, n)
}

func (b *Budgets) text() string {
	if b == nil {
		return "-"
	}
	return fmt.Sprintf("%v %d %v", b.Holders, b.Connections, b.Lease)
}
