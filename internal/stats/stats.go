// Package stats counts what the operators read: by class, from the start of the process.
// Nothing here is locked; the loop's goroutine counts and reads.
package stats

import (
	"bytes"
	"strconv"
	"strings"
	"time"
)

// ClassCounters counts one class of requests.
type ClassCounters struct {
	Served    uint64 // served
	Refused   uint64 // refused
	Failed    uint64 // failed
	Abandoned uint64 // their clients left first
	Attempts  uint64 // attempts written whole to databases
}

// Counters are those of all classes, by number.
type Counters struct {
	names   []string
	classes []ClassCounters
	strays  ClassCounters // of a class that nobody named; never shown
}

// New makes counters at zero for the classes.
func New(names []string) *Counters {
	return &Counters{names: names, classes: make([]ClassCounters, len(names))}
}

// Class is where a class is counted.
func (c *Counters) Class(class int) *ClassCounters {
	if class < 0 || class >= len(c.classes) {
		return &c.strays
	}
	return &c.classes[class]
}

// Gauges are what holds at the moment.
type Gauges struct {
	InProgress, KnownDatabases, SkippedDatabases int
	StallTime                                    time.Duration // for which this process stood still or came late, since its start
}

// Append adds all figures, a line each.
func (c *Counters) Append(b []byte, g Gauges) []byte {
	line := func(name, class string, value uint64) {
		b = append(append(b, "edge_gw."...), name...)
		if class != "" {
			b = append(append(b, '.'), class...)
		}
		b = append(strconv.AppendUint(append(b, '='), value, 10), '\n')
	}
	for i, name := range c.names {
		k := &c.classes[i]
		line("passed", name, k.Served)
		line("dropped", name, k.Refused)
		line("bad_gateway", name, k.Failed)
		line("upstream_tries", name, k.Attempts)
	}
	line("in_progress", "", uint64(max(0, g.InProgress)))
	line("known_databases", "", uint64(max(0, g.KnownDatabases)))
	line("skipped_databases", "", uint64(max(0, g.SkippedDatabases)))
	line("lost_ms", "", uint64(g.StallTime.Milliseconds()))
	return b
}

// Traffic counts what one role sends and takes in: bytes as they go over the socket, and whole messages.
type Traffic struct {
	OutBytes    uint64 `json:"out_bytes"`
	OutMessages uint64 `json:"out_messages"`
	InBytes     uint64 `json:"in_bytes"`
	InMessages  uint64 `json:"in_messages"`
}

// CountOut counts a message that was sent.
func (t *Traffic) CountOut(bytes int) {
	t.OutBytes += uint64(bytes)
	t.OutMessages++
}

// CountIn counts a message that has come.
func (t *Traffic) CountIn(bytes int) {
	t.InBytes += uint64(bytes)
	t.InMessages++
}

// Plus is the sum of both.
func (t Traffic) Plus(o Traffic) Traffic {
	return Traffic{t.OutBytes + o.OutBytes, t.OutMessages + o.OutMessages, t.InBytes + o.InBytes, t.InMessages + o.InMessages}
}

// Append adds the figures of a role of the fleet, a line each.
func (t Traffic) Append(b []byte, role string) []byte {
	for _, x := range []struct {
		name string
		n    uint64
	}{{"out_bytes", t.OutBytes}, {"out_messages", t.OutMessages}, {"in_bytes", t.InBytes}, {"in_messages", t.InMessages}} {
		b = append(append(append(append(append(b, "edge_gw.fleet_"...), role...), '_'), x.name...), '=')
		b = append(strconv.AppendUint(b, x.n, 10), '\n')
	}
	return b
}

// Parse reads the figures that Append and others have written: by name, without what all names begin with.
func Parse(text []byte) map[string]uint64 {
	all := map[string]uint64{}
	for line := range bytes.Lines(text) {
		name, value, _ := strings.Cut(strings.TrimSpace(string(line)), "=")
		name, ours := strings.CutPrefix(name, "edge_gw.")
		if n, err := strconv.ParseUint(value, 10, 64); err == nil && ours {
			all[name] = n
		}
	}
	return all
}

// TrafficByRole are the roles of the fleet among such figures.
func TrafficByRole(figures map[string]uint64) map[string]Traffic {
	all := map[string]Traffic{}
	for name := range figures {
		role, ok := strings.CutSuffix(name, "_out_bytes")
		role, fleet := strings.CutPrefix(role, "fleet_")
		if !ok || !fleet {
			continue
		}
		of := func(what string) uint64 { return figures["fleet_"+role+"_"+what] }
		all[role] = Traffic{of("out_bytes"), of("out_messages"), of("in_bytes"), of("in_messages")}
	}
	return all
}
