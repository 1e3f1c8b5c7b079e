package stats

import "strconv"

// NamedCounters counts what happened under a few names, such as reasons.
type NamedCounters struct {
	prefix string
	names  []string
	counts []uint64
}

// NewNamedCounters makes counters at zero; a figure's name is the prefix, a dot, and one of the names.
func NewNamedCounters(prefix string, names []string) *NamedCounters {
	return &NamedCounters{prefix: prefix, names: names, counts: make([]uint64, len(names))}
}

// Add counts one; a number that has no name is not counted.
func (n *NamedCounters) Add(i int) {
	if i >= 0 && i < len(n.counts) {
		n.counts[i]++
	}
}

// Count is what was counted under one of the names.
func (n *NamedCounters) Count(i int) uint64 { return n.counts[i] }

// Append adds all figures, a line each.
func (n *NamedCounters) Append(b []byte) []byte {
	for i, name := range n.names {
		b = append(append(append(append(b, "edge_gw."...), n.prefix...), '.'), name...)
		b = append(strconv.AppendUint(append(b, '='), n.counts[i], 10), '\n')
	}
	return b
}
