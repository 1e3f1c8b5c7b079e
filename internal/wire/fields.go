package wire

import (
	"fmt"
	"strconv"
	"strings"
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
	"0": policy.OK, "1": policy.Miss, "249": policy.Moot, "250": policy.Cancelled,
	"251": policy.Reset, "252": policy.ConnectFailed, "253": policy.Timeout,
	"254": policy.Full, "255": policy.Error,
}

var levels = map[string]policy.ReadLevel{
	"loose": policy.Loose, "recent": policy.Recent, "own_writes": policy.OwnWrites,
	"latest": policy.Latest, "update": policy.Write,
}

var listRoles = map[string]policy.ListRole{
	"": policy.ListRoleNone, "none": policy.ListRoleNone,
	"initial": policy.ListRoleInitial, "delayed": policy.ListRoleDelayed,
}

var behinds = map[string]policy.Behind{
	"": policy.BehindServe, "none": policy.BehindServe,
	"reject": policy.BehindReject, "hold": policy.BehindHold,
}

var repeats = map[string]policy.Repeat{
	"retryable": policy.Retryable, "dedup": policy.DedupGroup, "fragile": policy.Fragile,
}

// settings is the flat path=value form of a router's settings; paths that
// nobody reads are skipped.
type settings struct {
	value map[string]string
	f     *fields
}

func (s settings) num(path string) float64 {
	v, ok := s.value[path]
	if !ok {
		return 0
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil {
		s.f.fail("%s: %q is no number", path, v)
	}
	return x
}

func (s settings) time(path string) time.Duration {
	return time.Duration(s.num(path) * float64(time.Microsecond))
}

func (s settings) bool(path string) bool { return s.value[path] == "true" || s.value[path] == "1" }

func choice[T any](s settings, path string, words map[string]T) T {
	v, ok := words[s.value[path]]
	if !ok {
		s.f.fail("%s: unknown word %q", path, s.value[path])
	}
	return v
}

func parseSettings(f *fields, from int) (policy.Settings, time.Duration) {
	s := settings{value: map[string]string{}, f: f}
	for _, pair := range f.part[min(from, len(f.part)):] {
		if pair == "-" || pair == "" {
			continue
		}
		path, val, ok := strings.Cut(pair, "=")
		if !ok {
			f.fail("setting %q has no value", pair)
			continue
		}
		s.value[path] = val
	}
	set := policy.Settings{
		Routers:       int(s.num("Instances")),
		Zone:          int(s.num("Zone")),
		Tick:          s.time("ResolutionUs"),
		AskForList:    s.value["Discovery"] == "ask",
		ListRole:      choice(s, "Domain.ShowsRole", listRoles),
		PositionGrain: time.Millisecond,
		Behind:        choice(s, "Domain.Behind", behinds),
		Patience:      s.time("Domain.PatienceUs"),
		Remembered:    s.value["Domain.SessionMarks"] == "router",
		Probes:        s.bool("Allowed.Probes"),
		Cancels:       s.bool("Allowed.Cancel"),
		MaxTries:      int(s.num("Allowed.TryLimit")),
		MaxRetryAfter: s.time("Allowed.MaxRetryAfterUs"),
		DrainGrace:    s.time("Rules.DrainGraceUs"),
		GoneIsAdvice:  s.bool("Rules.GoneIsAdvice"),
		MustAskIn:     s.time("Rules.MustAskInUs"),
		StartCapacity: s.num("Rules.StartCapacity"),
		ColdTime:      s.time("Rules.ColdUs"),
		FallMultiple:  s.num("Rules.FallMultiple"),
		FallTime:      s.time("Rules.FallUs"),
	}
	if !s.bool("Allowed.RetryAfter") {
		set.MaxRetryAfter = 0
	}
	read := strings.Split(s.value["Domain.ReadLevel"], ",")
	bound := strings.Split(s.value["Domain.ClassBoundUs"], ",")
	for i := range int(s.num("Lanes.count")) {
		set.Classes = append(set.Classes, s.class(i, listed(read, i), listed(bound, i)))
	}
	return set, s.time("Domain.ZeroUs")
}

func listed(list []string, i int) string {
	if i < len(list) {
		return list[i]
	}
	return ""
}

func (s settings) class(i int, level, bound string) policy.Class {
	at := fmt.Sprintf("Lanes.%d.", i)
	c := policy.Class{
		Aim:         s.time(at + "GoalTimeUs"),
		Deadline:    s.time(at + "DeadlineUs"),
		Worth:       s.num(at + "Worth"),
		LateWorth:   s.num(at + "LateWorth"),
		Repeat:      choice(s, at+"Repeat", repeats),
		DedupWindow: s.time(at + "DedupWindowUs"),
	}
	if c.Repeat == policy.DedupGroup && s.value[at+"Group"] == "all" {
		c.Repeat = policy.DedupAll
	}
	var ok bool
	if c.Level, ok = levels[level]; !ok {
		s.f.fail("Domain.ReadLevel: unknown word %q for class %d", level, i)
	}
	if us, err := strconv.ParseFloat(bound, 64); err == nil {
		c.Bound = time.Duration(us * float64(time.Microsecond))
	} else if c.Level == policy.Recent {
		s.f.fail("Domain.ClassBoundUs: no bound for class %d", i)
	}
	return c
}
