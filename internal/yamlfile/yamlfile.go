// Package yamlfile reads settings from YAML and reports all errors with their positions. It does no I/O:
// callers pass the content of the file.
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

// Parse parses a file and returns a reader for it and the root of its tree. The description names the kind of file in
// errors.
func Parse(fileName string, text []byte, description string) (*Reader, *yaml.Node, error) {
	var doc yaml.Node
	if err := yaml.Unmarshal(text, &doc); err != nil {
		return nil, nil, Errors{fileName + ": " + strings.TrimPrefix(err.Error(), "yaml: ")}
	}
	if len(doc.Content) == 0 {
		return nil, nil, Errors{fileName + ": the " + description + " is empty"}
	}
	return &Reader{File: fileName}, doc.Content[0], nil
}

// Err returns all errors found so far, or nil.
func (r *Reader) Err() error {
	if len(r.Errors) == 0 {
		return nil
	}
	return r.Errors
}

// Errors lists all errors of a file, in the order in which they were found.
type Errors []string

func (e Errors) Error() string { return strings.Join(e, "\n") }

// Reader decodes values of a YAML tree and collects errors with their positions.
type Reader struct {
	File   string
	Errors Errors
}

// AddError records an error at the position of a node, which may be nil.
func (r *Reader) AddError(node *yaml.Node, key, format string, args ...any) {
	position := r.File
	if node != nil {
		position = fmt.Sprintf("%s:%d:%d", r.File, node.Line, node.Column)
	}
	if key != "" {
		key += ": "
	}
	r.Errors = append(r.Errors, position+": "+key+fmt.Sprintf(format, args...))
}

// Fields reads a mapping. It rejects aliases, duplicate keys and, if known names are given, unknown keys.
func (r *Reader) Fields(node *yaml.Node, key string, known ...string) map[string]*yaml.Node {
	fields := map[string]*yaml.Node{}
	if node == nil {
		return fields
	}
	if node.Kind != yaml.MappingNode {
		r.AddError(node, key, "a mapping of names to values is wanted")
		return fields
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		name, value := node.Content[i], node.Content[i+1]
		switch {
		case value.Kind == yaml.AliasNode || name.Kind == yaml.AliasNode || name.Tag == "!!merge":
			r.AddError(name, name.Value, "aliases are not read")
		case len(known) > 0 && !slices.Contains(known, name.Value):
			r.AddError(name, name.Value, "unknown; one of %s is meant, perhaps", strings.Join(known, ", "))
		case fields[name.Value] != nil:
			r.AddError(name, name.Value, "stands twice")
		default:
			fields[name.Value] = value
		}
	}
	return fields
}

// Text reads a scalar; false: there is none.
func (r *Reader) Text(node *yaml.Node, key string) (string, bool) {
	if node == nil {
		return "", false
	}
	if node.Kind != yaml.ScalarNode {
		r.AddError(node, key, "a single value is wanted")
		return "", false
	}
	return strings.TrimSpace(node.Value), true
}

// Number reads a number with one of the units and returns it multiplied by the unit's factor.
func (r *Reader) Number(node *yaml.Node, key, example string, units map[string]float64) (float64, bool) {
	text, ok := r.Text(node, key)
	if !ok {
		return 0, false
	}
	end := strings.IndexFunc(text, func(c rune) bool { return !(c >= '0' && c <= '9' || c == '.') })
	if end < 0 {
		end = len(text)
	}
	number, err := strconv.ParseFloat(text[:end], 64)
	unit := strings.TrimSpace(text[end:])
	factor, known := units[unit]
	switch {
	case strings.HasPrefix(text, "-"):
		r.AddError(node, key, "%q is below zero", text)
	case err != nil || math.IsInf(number, 0) || math.IsNaN(number):
		r.AddError(node, key, "%q is no figure; write it like %s", text, example)
	case !known && unit == "":
		r.AddError(node, key, "%q has no unit; write it like %s", text, example)
	case !known:
		r.AddError(node, key, "%q: unknown unit %q; write it like %s", text, unit, example)
	default:
		return number * factor, true
	}
	return 0, false
}

// Duration reads a duration with its unit, of a day at most.
func (r *Reader) Duration(node *yaml.Node, key string) time.Duration {
	seconds, _ := r.Number(node, key, "500 ms", map[string]float64{"us": 1e-6, "ms": 1e-3, "s": 1, "min": 60})
	if seconds > 24*3600 {
		r.AddError(node, key, "longer than a day")
		return 0
	}
	return time.Duration(math.Round(seconds * float64(time.Second)))
}

// Percentage reads a percentage and returns it as a fraction of 1.
func (r *Reader) Percentage(node *yaml.Node, key string) float64 {
	fraction, ok := r.Number(node, key, "62%", map[string]float64{"%": 0.01})
	if ok && fraction > 1+1e-9 {
		r.AddError(node, key, "over 100%%")
	}
	return fraction
}

// Rate reads a rate per second or per minute and returns it per second.
func (r *Reader) Rate(node *yaml.Node, key string) float64 {
	perSecond, ok := r.Number(node, key, "390/s", map[string]float64{"/s": 1, "/min": 1.0 / 60})
	if ok && perSecond > 1e6 {
		r.AddError(node, key, "over a million a second")
	}
	return perSecond
}

// Float reads a number without a unit.
func (r *Reader) Float(node *yaml.Node, key string) float64 {
	number, _ := r.Number(node, key, "2", map[string]float64{"": 1})
	return number
}

// Count reads a whole number.
func (r *Reader) Count(node *yaml.Node, key string, minimum, maximum int) int {
	number, ok := r.Number(node, key, "100", map[string]float64{"": 1})
	if ok && (number != math.Trunc(number) || number < float64(minimum) || number > float64(maximum)) {
		r.AddError(node, key, "a whole number from %d to %d is wanted", minimum, maximum)
	}
	return int(number)
}

// Bool reads true or false; a missing value is false.
func (r *Reader) Bool(node *yaml.Node, key string) bool {
	text, ok := r.Text(node, key)
	if ok && text != "true" && text != "false" {
		r.AddError(node, key, "%q is neither true nor false", text)
	}
	return text == "true"
}

// Addr reads an IP address with its port.
func (r *Reader) Addr(node *yaml.Node, key string) (addr netip.AddrPort) {
	text, ok := r.Text(node, key)
	if !ok {
		return addr
	}
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		r.AddError(node, key, "%q is no address; write it like 127.0.0.1:7400", text)
	}
	return addr
}
