// Package stats keeps the counters and gauges that operators read, since the start of the process. There are
// no locks: the loop's goroutine counts and reads.
package stats

import (
	"bytes"
	"strconv"
	"strings"
	"time"
)

// ClassCounters counts the requests of one class.
type ClassCounters struct {
	Served    uint64
	Refused   uint64
	Failed    uint64
	Abandoned uint64 // the client closed its connection first
	Attempts  uint64 // written completely to a database
}

// Counters holds the counters of all classes, by index.
type Counters struct {
	names   []string
	classes []ClassCounters
	unknown ClassCounters // requests of an unknown class; not exported as a metric
}

// New returns counters at zero for the classes.
func New(names []string) *Counters {
	return &Counters{names: names, classes: make([]ClassCounters, len(names))}
}

// Class returns the counters of a class.
func (c *Counters) Class(class int) *ClassCounters {
	if class < 0 || class >= len(c.classes) {
		return &c.unknown
	}
	return &c.classes[class]
}

// Gauges are the current values of the gateway's gauges: requests in progress, databases in the list, and those of them that
// get no requests.
type Gauges struct {
	InProgress, KnownDatabases, SkippedDatabases int
	StallTime                                    time.Duration // for which this process was stalled, since its start
}

// AppendMetric appends one metric as a line.
func AppendMetric(b []byte, name string, value uint64) []byte {
	b = append(append(b, "edge_gw."...), name...)
	return append(strconv.AppendUint(append(b, '='), value, 10), '\n')
}

// Append appends all metrics, one per line.
func (c *Counters) Append(b []byte, gauges Gauges) []byte {
	for i, name := range c.names {
		counters := &c.classes[i]
		b = AppendMetric(b, "passed."+name, counters.Served)
		b = AppendMetric(b, "dropped."+name, counters.Refused)
		b = AppendMetric(b, "bad_gateway."+name, counters.Failed)
		b = AppendMetric(b, "upstream_tries."+name, counters.Attempts)
	}
	b = AppendMetric(b, "in_progress", uint64(max(0, gauges.InProgress)))
	b = AppendMetric(b, "known_databases", uint64(max(0, gauges.KnownDatabases)))
	b = AppendMetric(b, "skipped_databases", uint64(max(0, gauges.SkippedDatabases)))
	return AppendMetric(b, "lost_ms", uint64(gauges.StallTime.Milliseconds()))
}

// Traffic counts what one role sends and receives: bytes on the socket, and whole messages.
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

// CountIn counts a message that was received.
func (t *Traffic) CountIn(bytes int) {
	t.InBytes += uint64(bytes)
	t.InMessages++
}

// Plus returns the sum of both.
func (t Traffic) Plus(other Traffic) Traffic {
	return Traffic{t.OutBytes + other.OutBytes, t.OutMessages + other.OutMessages, t.InBytes + other.InBytes, t.InMessages + other.InMessages}
}

// Append appends the metrics of a role of the fleet, one per line.
func (t Traffic) Append(b []byte, role string) []byte {
	for _, metric := range []struct {
		name string
		n    uint64
	}{{"out_bytes", t.OutBytes}, {"out_messages", t.OutMessages}, {"in_bytes", t.InBytes}, {"in_messages", t.InMessages}} {
		b = AppendMetric(b, "fleet_"+role+"_"+metric.name, metric.n)
	}
	return b
}

// Parse reads metrics as the Append methods write them. The returned names lack the common prefix.
func Parse(text []byte) map[string]uint64 {
	metrics := map[string]uint64{}
	for line := range bytes.Lines(text) {
		name, value, _ := strings.Cut(strings.TrimSpace(string(line)), "=")
		name, found := strings.CutPrefix(name, "edge_gw.")
		if n, err := strconv.ParseUint(value, 10, 64); err == nil && found {
			metrics[name] = n
		}
	}
	return metrics
}

// TrafficByRole returns the traffic of each role of the fleet that the metrics contain.
func TrafficByRole(metrics map[string]uint64) map[string]Traffic {
	roles := map[string]Traffic{}
	for name := range metrics {
		role, hasSuffix := strings.CutSuffix(name, "_out_bytes")
		role, hasPrefix := strings.CutPrefix(role, "fleet_")
		if !hasSuffix || !hasPrefix {
			continue
		}
		metric := func(suffix string) uint64 { return metrics["fleet_"+role+"_"+suffix] }
		roles[role] = Traffic{metric("out_bytes"), metric("out_messages"), metric("in_bytes"), metric("in_messages")}
	}
	return roles
}
