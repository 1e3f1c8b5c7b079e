package wire

import (
	"fmt"
	"strconv"
	"time"

	"lilaccove/policy"
)

// fields holds the tab-separated values of one line, message name first. Accessors record only the first error in err.
type fields struct {
	values []string
	err    error
}

// name returns the message's name.
func (f *fields) name() string { return f.values[0] }

// setError records an error unless the line has one already.
func (f *fields) setError(format string, args ...any) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %s", f.name(), fmt.Sprintf(format, args...))
	}
}

// optional returns a value, "" if it is "-". A line without that many values is an error.
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

// required returns a value that may not be empty or "-".
func (f *fields) required(index int) string {
	value := f.optional(index)
	if value == "" {
		f.setError("value %d is empty", index)
	}
	return value
}

// int returns an integer, 0 if it is absent.
func (f *fields) int(index int) int64 {
	text := f.optional(index)
	if text == "" {
		return 0
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		f.setError("value %d: %q is not an integer", index, text)
	}
	return n
}

// float returns a floating-point number, 0 if it is absent.
func (f *fields) float(index int) float64 {
	text := f.optional(index)
	if text == "" {
		return 0
	}
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		f.setError("value %d: %q is not a number", index, text)
	}
	return x
}

// duration returns a time given in microseconds, 0 if it is absent.
func (f *fields) duration(index int) time.Duration {
	return time.Duration(f.int(index)) * time.Microsecond
}

// enumValue looks a value up in a table of protocol words.
func enumValue[T any](f *fields, index int, values map[string]T) T {
	v, ok := values[f.optional(index)]
	if !ok {
		f.setError("value %d: unknown value %q", index, f.optional(index))
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

// outcomes maps the protocol's outcome codes.
var outcomes = map[string]policy.Outcome{
	"0": policy.OK, "1": policy.Miss, "249": policy.NotSent, "250": policy.Cancelled,
	"251": policy.Reset, "252": policy.ConnectFailed, "253": policy.Timeout,
	"254": policy.AtCapacity, "255": policy.Error,
}
