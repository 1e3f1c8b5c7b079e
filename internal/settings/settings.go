// Package settings reads a router's settings by path. It is the one reader for both
// forms in which they come: the pairs of the simulator's first message and the nested
// JSON of a gateway's configuration.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"lilaccove/policy"
)

// Settings is all that the program reads of them.
type Settings struct {
	Policy        policy.Settings
	PositionEpoch time.Duration // where the simulator's positions count from
	Classes       []string      // their names, in the order of Policy.Classes
	Zones         []string
	ConnIdle      time.Duration // databases close connections that stood idle so long
	DialTimeout   time.Duration
	AnswerSlack   time.Duration
	MaxOpen       int  // requests at once; 0: no limit
	ProbeReport   bool // probes bring load reports
	Peers         bool // gateways may talk to each other
}

var levels = map[string]policy.ReadLevel{
	"loose": policy.Loose, "recent": policy.Recent, "own_writes": policy.OwnWrites,
	"latest": policy.Latest, "update": policy.Write,
}

var listRoles = map[string]policy.ListRole{
	"": policy.ListRoleNone, "none": policy.ListRoleNone,
	"initial": policy.ListRoleInitial, "delayed": policy.ListRoleDelayed,
}

var listSources = map[string]policy.ListSource{
	"": policy.ListPushed, "ask": policy.ListFromService, "push": policy.ListFromAgent,
}

var behinds = map[string]policy.StaleReadMode{
	"": policy.StaleReadServe, "none": policy.StaleReadServe,
	"reject": policy.StaleReadReject, "hold": policy.StaleReadHold,
}

var repeats = map[string]policy.RetrySafety{
	"retryable": policy.Retryable, "dedup": policy.DedupGroup, "fragile": policy.AtMostOnce,
}

// reader looks values up by path and keeps the first thing found wrong. Paths that
// nobody reads are skipped.
type reader struct {
	value map[string]string
	err   error
}

func (s *reader) fail(format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf(format, args...)
	}
}

func (s *reader) num(path string) float64 {
	v, ok := s.value[path]
	if !ok {
		return 0
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		s.fail("%s: %q is no number", path, v)
		return 0
	}
	return x
}

// atMost is a number from 0 up to a bound. Below it would count for none at all, which allows more than was meant.
func (s *reader) atMost(path string, most float64, what string) float64 {
	x := s.num(path)
	if x < 0 || x > most {
		s.fail("%s: %s is out of range; give %s from 0 to %g", path, s.value[path], what, most)
		return 0
	}
	return x
}

// Bounds that no deployment comes near: beyond them a value would not fit, or is not meant.
const (
	longest = 10 * 365 * 24 * time.Hour
	mostOf  = math.MaxInt32
)

func (s *reader) time(path string) time.Duration {
	return time.Duration(s.atMost(path, float64(longest/time.Microsecond), "microseconds") * float64(time.Microsecond))
}

// count is a whole number.
func (s *reader) count(path string) int {
	x := s.atMost(path, mostOf, "a whole number")
	if x != math.Trunc(x) {
		s.fail("%s: %s is no whole number", path, s.value[path])
	}
	return int(x)
}

func (s *reader) bool(path string) bool { return s.value[path] == "true" || s.value[path] == "1" }

func (s *reader) list(path string) []string {
	if s.value[path] == "" {
		return nil
	}
	return strings.Split(s.value[path], ",")
}

func choice[T any](s *reader, path string, words map[string]T) T {
	v, ok := words[s.value[path]]
	if !ok {
		s.fail("%s: unknown word %q", path, s.value[path])
	}
	return v
}

// FromPairs reads the simulator's form: texts path=value.
func FromPairs(pairs []string) (Settings, error) {
	value := map[string]string{}
	for _, pair := range pairs {
		if pair == "-" || pair == "" {
			continue
		}
		path, val, ok := strings.Cut(pair, "=")
		if !ok {
			return Settings{}, fmt.Errorf("setting %q has no value", pair)
		}
		value[path] = val
	}
	set, err := read(value)
	if set.Policy.ListSource == policy.ListFromAgent {
		set.Policy.ListSource = policy.ListPushed // there is no agent: what it would be sent reaches the instance
	}
	return set, err
}

// FromJSON reads the nested form.
func FromJSON(text []byte) (Settings, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var tree map[string]any
	if err := d.Decode(&tree); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	value := map[string]string{}
	flatten(value, "", tree)
	return read(value)
}

// flatten gives nested values the paths that they have in the simulator's form.
func flatten(into map[string]string, path string, v any) {
	switch v := v.(type) {
	case nil:
	case map[string]any:
		for name, x := range v {
			flatten(into, strings.TrimPrefix(path+"."+name, "."), x)
		}
	case []any:
		var plain []string
		for i, x := range v {
			if _, object := x.(map[string]any); object {
				flatten(into, path+"."+strconv.Itoa(i), x)
				into[path+".count"] = strconv.Itoa(len(v))
			} else {
				plain = append(plain, fmt.Sprint(x))
			}
		}
		into[path] = strings.Join(plain, ",")
	default:
		into[path] = fmt.Sprint(v)
	}
}

func read(value map[string]string) (Settings, error) {
	s := &reader{value: value}
	set := Settings{
		Policy:        s.policy(),
		PositionEpoch: time.Duration(s.num("Domain.ZeroUs") * float64(time.Microsecond)),
		Zones:         s.list("Localities"),
		ConnIdle:      s.time("Allowed.ConnIdleUs"),
		DialTimeout:   s.time("Allowed.DialTimeoutUs"),
		AnswerSlack:   s.time("Rules.AnswerSlackUs"),
		MaxOpen:       s.count("Allowed.MaxOpen"),
		Peers:         s.bool("Allowed.Peers"),
		ProbeReport:   value["Report.Fields"] != "" && value["Report.Source"] != "none",
	}
	for i := range set.Policy.Classes {
		set.Classes = append(set.Classes, value[fmt.Sprintf("Lanes.%d.Name", i)])
	}
	return set, s.err
}

func (s *reader) policy() policy.Settings {
	set := policy.Settings{
		Routers:             s.count("Instances"),
		Zone:                int(s.num("Zone")),
		Tick:                s.time("ResolutionUs"),
		ListSource:          choice(s, "Discovery", listSources),
		ListRole:            choice(s, "Domain.ShowsRole", listRoles),
		PositionGranularity: time.Millisecond,
		StaleReadMode:       choice(s, "Domain.Behind", behinds),
		StaleReadHoldTime:   s.time("Domain.PatienceUs"),
		TracksSessions:      s.value["Domain.SessionMarks"] == "router",
		CanProbe:            s.bool("Allowed.Probes"),
		CanCancel:           s.bool("Allowed.Cancel"),
		MaxAttempts:         s.count("Allowed.TryLimit"),
		MaxRetryAfter:       s.time("Allowed.MaxRetryAfterUs"),
		DrainGrace:          s.time("Rules.DrainGraceUs"),
		GoneIsAdvisory:      s.bool("Rules.GoneIsAdvice"),
		MaxListAge:          s.time("Rules.MustAskInUs"),
		StartCapacity:       s.atMost("Rules.StartCapacity", 1, "a share"),
		SlowStartTime:       s.time("Rules.ColdUs"),
		OverloadFactor:      s.atMost("Rules.FallMultiple", mostOf, "a number"),
		OverloadWindow:      s.time("Rules.FallUs"),
	}
	if !s.bool("Allowed.RetryAfter") {
		set.MaxRetryAfter = 0
	}
	read, bound := s.list("Domain.ReadLevel"), s.list("Domain.ClassBoundUs")
	for i := range s.count("Lanes.count") {
		set.Classes = append(set.Classes, s.class(i, listed(read, i), listed(bound, i)))
	}
	return set
}

func listed(list []string, i int) string {
	if i < len(list) {
		return list[i]
	}
	return ""
}

func (s *reader) class(i int, level, bound string) policy.Class {
	at := fmt.Sprintf("Lanes.%d.", i)
	c := policy.Class{
		Aim:         s.time(at + "GoalTimeUs"),
		Deadline:    s.time(at + "DeadlineUs"),
		Worth:       s.atMost(at+"Worth", mostOf, "a number"),
		LateWorth:   s.atMost(at+"LateWorth", mostOf, "a number"),
		RetrySafety: choice(s, at+"Repeat", repeats),
		DedupWindow: s.time(at + "DedupWindowUs"),
	}
	if c.RetrySafety == policy.DedupGroup && s.value[at+"Group"] == "all" {
		c.RetrySafety = policy.DedupAll
	}
	var ok bool
	if c.Level, ok = levels[level]; !ok {
		s.fail("Domain.ReadLevel: unknown word %q for class %d", level, i)
	}
	if us, err := strconv.ParseFloat(bound, 64); err == nil && us >= 0 && us <= float64(longest/time.Microsecond) {
		c.Bound = time.Duration(us * float64(time.Microsecond))
	} else if c.Level == policy.Recent || bound != "" {
		s.fail("Domain.ClassBoundUs: no bound for class %d in %q; give microseconds", i, bound)
	}
	if c.Aim <= 0 || c.Deadline <= 0 {
		s.fail("%sGoalTimeUs and %sDeadlineUs: class %d needs both, in microseconds, above 0", at, at, i)
	}
	return c
}
