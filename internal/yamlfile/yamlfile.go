// Package yamlfile reads files of settings in YAML with the place of everything that is wrong in them. It has no
// input or output besides the bytes of a file.
package yamlfile

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// Parse parses a file; what tells what kind it is.
func Parse(file string, text []byte, what string) (*Reader, *yaml.Node, error) {
	var doc yaml.Node
	if err := yaml.Unmarshal(text, &doc); err != nil {
		return nil, nil, Errors{file + ": " + strings.TrimPrefix(err.Error(), "yaml: ")}
	}
	if len(doc.Content) == 0 {
		return nil, nil, Errors{file + ": the " + what + " is empty"}
	}
	return &Reader{File: file}, doc.Content[0], nil
}

// Err is all that is wrong, or nil.
func (r *Reader) Err() error {
	if len(r.Errors) == 0 {
		return nil
	}
	return r.Errors
}

// Errors are all that is wrong with a plan, in the order of the file.
type Errors []string

func (f Errors) Error() string { return strings.Join(f, "\n") }

// Reader walks a YAML tree and keeps what is wrong with its place.
type Reader struct {
	File   string
	Errors Errors
}

// AddError keeps what is wrong with a node.
func (r *Reader) AddError(n *yaml.Node, key, format string, args ...any) {
	at := r.File
	if n != nil {
		at = fmt.Sprintf("%s:%d:%d", r.File, n.Line, n.Column)
	}
	if key != "" {
		key += ": "
	}
	r.Errors = append(r.Errors, at+": "+key+fmt.Sprintf(format, args...))
}

// Fields reads a mapping, each key once and only those known.
func (r *Reader) Fields(n *yaml.Node, where string, known ...string) map[string]*yaml.Node {
	got := map[string]*yaml.Node{}
	if n == nil {
		return got
	}
	if n.Kind != yaml.MappingNode {
		r.AddError(n, where, "a mapping of names to values is wanted")
		return got
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		k, v := n.Content[i], n.Content[i+1]
		switch {
		case v.Kind == yaml.AliasNode || k.Kind == yaml.AliasNode || k.Tag == "!!merge":
			r.AddError(k, k.Value, "aliases are not read")
		case len(known) > 0 && !slices.Contains(known, k.Value):
			r.AddError(k, k.Value, "unknown; one of %s is meant, perhaps", strings.Join(known, ", "))
		case got[k.Value] != nil:
			r.AddError(k, k.Value, "stands twice")
		default:
			got[k.Value] = v
		}
	}
	return got
}

// Text reads a single value; false: there is none.
func (r *Reader) Text(n *yaml.Node, key string) (string, bool) {
	if n == nil {
		return "", false
	}
	if n.Kind != yaml.ScalarNode {
		r.AddError(n, key, "a single value is wanted")
		return "", false
	}
	return strings.TrimSpace(n.Value), true
}

// Number splits a figure from its unit.
func (r *Reader) Number(n *yaml.Node, key, example string, units map[string]float64) (float64, bool) {
	s, ok := r.Text(n, key)
	if !ok {
		return 0, false
	}
	end := strings.IndexFunc(s, func(c rune) bool { return !(c >= '0' && c <= '9' || c == '.') })
	if end < 0 {
		end = len(s)
	}
	x, err := strconv.ParseFloat(s[:end], 64)
	unit := strings.TrimSpace(s[end:])
	factor, known := units[unit]
	switch {
	case strings.HasPrefix(s, "-"):
		r.AddError(n, key, "%q is below zero", s)
	case err != nil || math.IsInf(x, 0) || math.IsNaN(x):
		r.AddError(n, key, "%q is no figure; write it like %s", s, example)
	case !known && unit == "":
		r.AddError(n, key, "%q has no unit; write it like %s", s, example)
	case !known:
		r.AddError(n, key, "%q: unknown unit %q; write it like %s", s, unit, example)
	default:
		return x * factor, true
	}
	return 0, false
}

// Duration reads a time with its unit, a day at most.
func (r *Reader) Duration(n *yaml.Node, key string) time.Duration {
	x, _ := r.Number(n, key, "500 ms", map[string]float64{"us": 1e-6, "ms": 1e-3, "s": 1, "min": 60})
	if x > 24*3600 {
		r.AddError(n, key, "longer than a day")
		return 0
	}
	return time.Duration(math.Round(x * float64(time.Second)))
}

// Percentage reads a figure in percent, as a part of 1.
func (r *Reader) Percentage(n *yaml.Node, key string) float64 {
	x, ok := r.Number(n, key, "62%", map[string]float64{"%": 0.01})
	if ok && x > 1+1e-9 {
		r.AddError(n, key, "over 100%%")
	}
	return x
}

// Rate reads a figure a second or a minute; it returns it a second.
func (r *Reader) Rate(n *yaml.Node, key string) float64 {
	x, ok := r.Number(n, key, "390/s", map[string]float64{"/s": 1, "/min": 1.0 / 60})
	if ok && x > 1e6 {
		r.AddError(n, key, "over a million a second")
	}
	return x
}

// Float reads a figure without a unit.
func (r *Reader) Float(n *yaml.Node, key string) float64 {
	x, _ := r.Number(n, key, "2", map[string]float64{"": 1})
	return x
}

// Count reads a whole number.
func (r *Reader) Count(n *yaml.Node, key string, least, most int) int {
	x, ok := r.Number(n, key, "100", map[string]float64{"": 1})
	if ok && (x != math.Trunc(x) || x < float64(least) || x > float64(most)) {
		r.AddError(n, key, "a whole number from %d to %d is wanted", least, most)
	}
	return int(x)
}

// Bool reads true or false; false where there is none.
func (r *Reader) Bool(n *yaml.Node, key string) bool {
	s, ok := r.Text(n, key)
	if ok && s != "true" && s != "false" {
		r.AddError(n, key, "%q is neither true nor false", s)
	}
	return s == "true"
}

// Addr reads an address with its port.
func (r *Reader) Addr(n *yaml.Node, key string) (a netip.AddrPort) {
	s, ok := r.Text(n, key)
	if !ok {
		return a
	}
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		r.AddError(n, key, "%q is no address; write it like 127.0.0.1:7400", s)
	}
	return a
}
