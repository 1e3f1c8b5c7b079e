package stats

// NamedCounters counts events by name, by reason for example.
type NamedCounters struct {
	prefix string
	names  []string
	counts []uint64
}

// NewNamedCounters returns counters at zero; a metric's name is the prefix, a dot, and one of the names.
func NewNamedCounters(prefix string, names []string) *NamedCounters {
	return &NamedCounters{prefix: prefix, names: names, counts: make([]uint64, len(names))}
}

// Add increments the counter of the name with index i; an index without a name is ignored.
func (n *NamedCounters) Add(i int) {
	if i >= 0 && i < len(n.counts) {
		n.counts[i]++
	}
}

// Count returns the counter of the name with index i.
func (n *NamedCounters) Count(i int) uint64 { return n.counts[i] }

// Append appends all metrics, one per line.
func (n *NamedCounters) Append(b []byte) []byte {
	for i, name := range n.names {
		b = AppendMetric(b, n.prefix+"."+name, n.counts[i])
	}
	return b
}
