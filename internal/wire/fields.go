package wire

import (
	"fmt"
	"strconv"
	"time"

	"lilaccove/policy"
)

// fields is one line, split; err keeps the first thing found wrong with it.
type fields struct {
	values []string
	err    error
}

func (f *fields) name() string { return f.values[0] }

func (f *fields) setError(format string, args ...any) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %s", f.name(), fmt.Sprintf(format, args...))
	}
}

// optional returns a value, "" for an absent one; a line too short is an error.
func (f *fields) optional(index int) string {
	if index >= len(f.values) {
		f.setError("value %d is missing", index)
		return ""
	}
	if f.values[index] == "-" {
		return ""
	}
	return f.values[index]
}

func (f *fields) required(index int) string {
	value := f.optional(index)
	if value == "" {
		f.setError("value %d is empty", index)
	}
	return value
}

func (f *fields) int(index int) int64 {
	text := f.optional(index)
	if text == "" {
		return 0
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		f.setError("value %d: %q is no whole number", index, text)
	}
	return n
}

func (f *fields) float(index int) float64 {
	text := f.optional(index)
	if text == "" {
		return 0
	}
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		f.setError("value %d: %q is no number", index, text)
	}
	return x
}

func (f *fields) duration(index int) time.Duration {
	return time.Duration(f.int(index)) * time.Microsecond
}

func enumValue[T any](f *fields, index int, values map[string]T) T {
	v, ok := values[f.optional(index)]
	if !ok {
		f.setError("value %d: unknown word %q", index, f.optional(index))
	}
	return v
}

var statuses = map[string]policy.Status{
	"healthy": policy.Healthy, "cordoned": policy.Draining, "deregistered": policy.Gone,
}

var listKinds = map[string]policy.ListKind{
	"delta": policy.ListDelta, "full": policy.ListFull,
	"cached": policy.ListCached, "failed": policy.ListFailed,
}

var outcomes = map[string]policy.Outcome{
	"0": policy.OK, "1": policy.Miss, "249": policy.NotSent, "250": policy.Cancelled,
	"251": policy.Reset, "252": policy.ConnectFailed, "253": policy.Timeout,
	"254": policy.AtCapacity, "255": policy.Error,
}
