// Package fleet reads the fleet file, which makes a gateway a member of a fleet. Without it a gateway knows no others.
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

// File holds the contents of a fleet file.
type File struct {
	Fleet       string                    // name of the fleet; messages of other fleets are dropped
	Listen      netip.AddrPort            // UDP and TCP, for other gateways only
	Advertise   netip.AddrPort            // where others reach this gateway, if not at Listen
	Seeds       []netip.AddrPort          // where to look for other gateways first
	Dial        map[string]netip.AddrPort // addresses by gateway, used instead of those they advertise
	ProbePeriod time.Duration             // between membership probes; 0: the default
	StableAfter time.Duration             // how long a change must last before the view shows it; 0: the default
	MaxMembers  int                       // members kept; 0: the default
	Budgets     *Budgets                  // nil: no shared budgets
	Positions   bool                      // gateways exchange the replication positions of databases
	Primaries   bool                      // gateways exchange which databases answered as primary
	RetryBudget float64                   // retries as a fraction of first attempts; 0: unlimited
	Subsets     bool                      // each gateway prefers a subset of a group's replicas
	Audit       *Audit                    // nil: audit records stay in memory
	Overrides   *Overrides                // nil: operator overrides are not stored on disk
	FenceAfter  time.Duration             // a gateway that lags behind its peers this long fences itself; 0: never

	// Bytes per second for exchanging positions and primaries; 0: they are gossiped without a limit.
	PositionBytes, PrimaryBytes int
}

// Budgets configures the budgets that the fleet shares.
type Budgets struct {
	Holders     []string      // gateways among which they are divided
	Connections int           // to each database
	Lease       time.Duration // length of a lease from one holder to another
}

// Overrides configures the storage of operator overrides across restarts.
type Overrides struct {
	Dir       string        // a directory used by this gateway only
	Retention time.Duration // a copy unused for longer is ignored; nothing younger is forgotten
}

// Audit configures the storage of audit records.
type Audit struct {
	File      string
	Megabytes int // size at which a file is rotated
	Keep      int // number of old files kept
}

// Common returns, as text, the settings that must be equal in all files of a fleet.
func (f *File) Common() []byte {
	return fmt.Appendf(nil, "%s %v %v %d %s %t %t %v %t %v %v%s%s", f.Fleet, f.ProbePeriod, f.StableAfter, f.MaxMembers, f.Budgets.text(), f.Positions, f.Subsets, f.FenceAfter, f.Primaries, f.Overrides.retention(), f.RetryBudget,
		bytesText(" positions", f.PositionBytes), bytesText(" primaries", f.PrimaryBytes))
}

// MaxMembers is the largest value that a file may set for the members kept.
const MaxMembers = 4096

// Parse reads a fleet file. Its error lists everything that is wrong with the file, with positions.
func Parse(filename string, text []byte) (*File, error) {
	reader, top, err := yamlfile.Parse(filename, text, "fleet file")
	if err != nil {
		return nil, err
	}
	file := &File{Dial: map[string]netip.AddrPort{}}
	fields := reader.Fields(top, "", "fleet", "listen", "advertise", "seeds", "dial", "period", "still", "most", "budgets", "subsets", "positions", "primaries", "audit", "fence", "words", "repeats")
	required := func(key string) *yaml.Node {
		if fields[key] == nil && top.Kind == yaml.MappingNode {
			reader.AddError(top, key, "missing")
		}
		return fields[key]
	}
	if name, ok := reader.Text(required("fleet"), "fleet"); ok {
		if file.Fleet = name; !ValidName(name) {
			reader.AddError(fields["fleet"], "fleet", "%q is not a valid name: use letters, digits, dots, dashes and underscores, at most 64 characters", name)
		}
	}
	file.Listen = reader.Addr(required("listen"), "listen")
	file.Advertise = reader.Addr(fields["advertise"], "advertise")
	if addr := file.Listen.Addr(); fields["advertise"] == nil && addr.IsValid() && addr.IsUnspecified() {
		reader.AddError(fields["listen"], "listen", "%s is the unspecified address; set advertise to the address where others reach this gateway", file.Listen)
	}
	if addr := file.Advertise; addr.IsValid() && (addr.Addr().IsUnspecified() || addr.Port() == 0) {
		reader.AddError(fields["advertise"], "advertise", "%s cannot be dialled", addr)
	}
	if node := fields["seeds"]; node != nil {
		if node.Kind != yaml.SequenceNode {
			reader.AddError(node, "seeds", "must be a list of addresses, like [127.0.0.1:7400, 127.0.0.1:7401]")
		} else {
			for _, value := range node.Content {
				file.Seeds = append(file.Seeds, reader.Addr(value, "seeds"))
			}
		}
	}
	for name, value := range reader.Fields(fields["dial"], "dial") {
		if !ValidName(name) {
			reader.AddError(value, "dial", "%q is not a valid gateway name", name)
		}
		file.Dial[name] = reader.Addr(value, name)
	}
	duration := func(key string, dst *time.Duration, shortest, longest time.Duration) {
		if node := fields[key]; node != nil {
			if *dst = reader.Duration(node, key); *dst < shortest || *dst > longest {
				reader.AddError(node, key, "must be from %v to %v", shortest, longest)
			}
		}
	}
	duration("period", &file.ProbePeriod, 50*time.Millisecond, 10*time.Second)
	duration("still", &file.StableAfter, 0, time.Minute)
	duration("fence", &file.FenceAfter, time.Second, time.Hour)
	if node := fields["most"]; node != nil {
		file.MaxMembers = reader.Count(node, "most", 2, MaxMembers)
	}
	file.Positions, file.PositionBytes = parseGossipSetting(reader, fields["positions"], "positions")
	file.Primaries, file.PrimaryBytes = parseGossipSetting(reader, fields["primaries"], "primaries")
	file.Subsets = reader.Bool(fields["subsets"], "subsets")
	if node := fields["audit"]; node != nil {
		file.Audit = &Audit{Megabytes: 8, Keep: 4}
		auditFields := reader.Fields(node, "audit", "file", "megabytes", "keep")
		if value := auditFields["file"]; value == nil {
			reader.AddError(node, "file", "missing: the path of the file to which audit records are written")
		} else {
			file.Audit.File, _ = reader.Text(value, "file")
		}
		if value := auditFields["megabytes"]; value != nil {
			file.Audit.Megabytes = reader.Count(value, "megabytes", 1, 1024)
		}
		if value := auditFields["keep"]; value != nil {
			file.Audit.Keep = reader.Count(value, "keep", 0, 100)
		}
	}
	if node := fields["repeats"]; node != nil {
		if file.RetryBudget = reader.Percentage(node, "repeats"); file.RetryBudget <= 0 {
			reader.AddError(node, "repeats", "must be above 0%% and at most 100%%, like 20%%; omit it for unlimited retries")
		}
	}
	if node := fields["words"]; node != nil {
		file.Overrides = parseOverrides(reader, node)
	}
	if node := fields["budgets"]; node != nil {
		file.Budgets = parseBudgets(reader, node)
	}
	if err := reader.Err(); err != nil {
		return nil, err
	}
	return file, nil
}

// parseBudgets reads the mapping "budgets".
func parseBudgets(reader *yamlfile.Reader, node *yaml.Node) *Budgets {
	budgets := &Budgets{Lease: 8 * time.Second}
	fields := reader.Fields(node, "budgets", "holders", "connections", "lease")
	if list := fields["holders"]; list == nil || list.Kind != yaml.SequenceNode || len(list.Content) == 0 {
		reader.AddError(node, "holders", "must be a list of the names of all gateways that share the budgets, the same in every file")
	} else {
		for _, value := range list.Content {
			name, _ := reader.Text(value, "holders")
			switch {
			case !ValidName(name):
				reader.AddError(value, "holders", "%q is not a valid gateway name", name)
			case slices.Contains(budgets.Holders, name):
				reader.AddError(value, "holders", "%s is listed twice", name)
			}
			budgets.Holders = append(budgets.Holders, name)
		}
	}
	if value := fields["connections"]; value == nil {
		reader.AddError(node, "connections", "missing: how many connections all gateways together may have to one database")
	} else if budgets.Connections = reader.Count(value, "connections", 1, 1_000_000); budgets.Connections < len(budgets.Holders) {
		reader.AddError(value, "connections", "%d is too few for %d holders: each needs at least one", budgets.Connections, len(budgets.Holders))
	}
	if value := fields["lease"]; value != nil {
		if budgets.Lease = reader.Duration(value, "lease"); budgets.Lease < time.Second || budgets.Lease > time.Minute {
			reader.AddError(value, "lease", "must be from 1s to 1m0s, and longer than the longest deadline of a request")
		}
	}
	return budgets
}

// parseOverrides reads the mapping "words".
func parseOverrides(reader *yamlfile.Reader, node *yaml.Node) *Overrides {
	overrides := &Overrides{Retention: 7 * 24 * time.Hour}
	fields := reader.Fields(node, "words", "dir", "keep")
	if value := fields["dir"]; value == nil {
		reader.AddError(node, "dir", "missing: a directory used by this gateway only, in which operator overrides are kept across restarts")
	} else {
		overrides.Dir, _ = reader.Text(value, "dir")
	}
	if value := fields["keep"]; value != nil {
		seconds, ok := reader.Number(value, "keep", "7 days", map[string]float64{"s": 1, "min": 60, "h": 3600, "days": 24 * 3600})
		if ok && (seconds < 1 || seconds > 366*24*3600) {
			reader.AddError(value, "keep", "must be from 1 s to 366 days, the same in every file")
		} else {
			overrides.Retention = time.Duration(seconds * float64(time.Second))
		}
	}
	return overrides
}

// retention returns o.Retention, or 0 without overrides.
func (o *Overrides) retention() time.Duration {
	if o == nil {
		return 0
	}
	return o.Retention
}

// ValidName reports whether s is a valid name of a gateway or a fleet.
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

// parseGossipSetting reads whether gateways exchange something: true or false, or a limit in bytes per second.
func parseGossipSetting(reader *yamlfile.Reader, node *yaml.Node, key string) (enabled bool, bytesPerSecond int) {
	if node == nil || node.Kind != yaml.MappingNode {
		text, ok := reader.Text(node, key)
		if ok && text != "true" && text != "false" {
			reader.AddError(node, key, "%q is neither true nor false nor a budget like {bytes: 1500/s}", text)
		}
		return text == "true", 0
	}
	fields := reader.Fields(node, key, "bytes")
	value := fields["bytes"]
	if value == nil {
		reader.AddError(node, "bytes", "missing: the rate at which %s may send, like {bytes: 1500/s}; the same in every file", key)
		return true, 0
	}
	rate, ok := reader.Number(value, "bytes", "1500/s", map[string]float64{"/s": 1})
	if !ok {
		return true, 0
	}
	if rate != math.Trunc(rate) || rate < antientropy.MinBytesPerSecond || rate > antientropy.MaxBytesPerSecond {
		reader.AddError(value, "bytes", "must be a whole number from %d/s to %d/s: less does not carry one request and one answer per second; the same in every file",
			antientropy.MinBytesPerSecond, antientropy.MaxBytesPerSecond)
	}
	return true, int(rate)
}

// bytesText returns the text of a limit for Common. It is empty without a limit, so that files without one keep the
// digest they had before the setting existed.
func bytesText(key string, bytesPerSecond int) string {
	if bytesPerSecond == 0 {
		return ""
	}
	return fmt.Sprintf("%s %d/s", key, bytesPerSecond)
}

// text returns the budgets' settings for Common.
func (b *Budgets) text() string {
	if b == nil {
		return "-"
	}
	return fmt.Sprintf("%v %d %v", b.Holders, b.Connections, b.Lease)
}
