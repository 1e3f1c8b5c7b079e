package wire

import (
	"fmt"
	"strconv"
	"time"

	"lilaccove/policy"
)

// fields is one line, split; err keeps the first thing found wrong with it.
type fields struct {
	part []string
	err  error
}

func (f *fields) name() string { return f.part[0] }

func (f *fields) fail(format string, args ...any) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %s", f.name(), fmt.Sprintf(format, args...))
	}
}

// at returns a value, "" for an absent one; a line too short is an error.
func (f *fields) at(i int) string {
	if i >= len(f.part) {
		f.fail("value %d is missing", i)
		return ""
	}
	if f.part[i] == "-" {
		return ""
	}
	return f.part[i]
}

func (f *fields) need(i int) string {
	s := f.at(i)
	if s == "" {
		f.fail("value %d is empty", i)
	}
	return s
}

func (f *fields) int(i int) int64 {
	s := f.at(i)
	if s == "" {
		return 0
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		f.fail("value %d: %q is no whole number", i, s)
	}
	return n
}

func (f *fields) num(i int) float64 {
	s := f.at(i)
	if s == "" {
		return 0
	}
	x, err := strconv.ParseFloat(s, 64)
	if err != nil {
		f.fail("value %d: %q is no number", i, s)
	}
	return x
}

func (f *fields) time(i int) time.Duration {
	return time.Duration(f.int(i)) * time.Microsecond
}

func word[T any](f *fields, i int, words map[string]T) T {
	v, ok := words[f.at(i)]
	if !ok {
		f.fail("value %d: unknown word %q", i, f.at(i))
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
