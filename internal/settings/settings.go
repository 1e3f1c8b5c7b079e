// Package settings decodes a router's settings from both of their forms: the path=value pairs of the simulator's first
// message and the nested JSON of a gateway's configuration.
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

// Settings holds the decoded settings.
type Settings struct {
	Policy        policy.Settings
	PositionEpoch time.Duration // origin of the simulator's replication positions
	Classes       []string      // names, in the order of Policy.Classes
	Zones         []string      // names; Policy.Zone is an index into them
	ConnIdle      time.Duration // databases close connections that were idle for this time
	DialTimeout   time.Duration
	MaxOpen       int  // maximum number of requests in progress; 0: no limit
	ProbeReport   bool // answers to probes contain load reports
	Peers         bool // gateways may contact each other
}

var readLevels = map[string]policy.ReadLevel{
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

var staleReadModes = map[string]policy.StaleReadMode{
	"": policy.StaleReadServe, "none": policy.StaleReadServe,
	"reject": policy.StaleReadReject, "hold": policy.StaleReadHold,
}

var retrySafeties = map[string]policy.RetrySafety{
	"retryable": policy.Retryable, "dedup": policy.DedupGroup, "fragile": policy.AtMostOnce,
}

// reader looks up values by path and keeps the first error. Paths that are never looked up are ignored.
type reader struct {
	values map[string]string
	err    error
}

func (s *reader) fail(format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf(format, args...)
	}
}

// number returns a number, or 0 if the path is not set.
func (s *reader) number(path string) float64 {
	text, ok := s.values[path]
	if !ok {
		return 0
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		s.fail("%s: %q is not a number", path, text)
		return 0
	}
	return number
}

// upTo returns a number from 0 to limit. A negative number is an error: for several settings the decision module would
// read it as no limit, which allows more than was meant.
func (s *reader) upTo(path string, limit float64, what string) float64 {
	number := s.number(path)
	if number < 0 || number > limit {
		s.fail("%s: %s is out of range; give %s from 0 to %g", path, s.values[path], what, limit)
		return 0
	}
	return number
}

// Upper limits for durations and for other numbers, far above any deployment's values: a larger value is a mistake or would
// overflow.
const (
	maxDuration = 10 * 365 * 24 * time.Hour
	maxNumber   = math.MaxInt32
)

// duration returns a time that is given in microseconds.
func (s *reader) duration(path string) time.Duration {
	return time.Duration(s.upTo(path, float64(maxDuration/time.Microsecond), "microseconds") * float64(time.Microsecond))
}

// count returns a whole number.
func (s *reader) count(path string) int {
	number := s.upTo(path, maxNumber, "a whole number")
	if number != math.Trunc(number) {
		s.fail("%s: %s is not a whole number", path, s.values[path])
	}
	return int(number)
}

func (s *reader) bool(path string) bool { return s.values[path] == "true" || s.values[path] == "1" }

func (s *reader) list(path string) []string {
	if s.values[path] == "" {
		return nil
	}
	return strings.Split(s.values[path], ",")
}

// choice returns the value of a keyword.
func choice[T any](s *reader, path string, choices map[string]T) T {
	value, ok := choices[s.values[path]]
	if !ok {
		s.fail("%s: unknown value %q", path, s.values[path])
	}
	return value
}

// FromPairs decodes the simulator's form: path=value pairs.
func FromPairs(pairs []string) (Settings, error) {
	values := map[string]string{}
	for _, pair := range pairs {
		if pair == "-" || pair == "" {
			continue
		}
		path, value, ok := strings.Cut(pair, "=")
		if !ok {
			return Settings{}, fmt.Errorf("setting %q has no value", pair)
		}
		values[path] = value
	}
	result, err := read(values)
	if result.Policy.ListSource == policy.ListFromAgent {
		result.Policy.ListSource = policy.ListPushed // the simulator has no agents: it pushes the list to the instance itself
	}
	return result, err
}

// FromJSON decodes the nested form.
func FromJSON(content []byte) (Settings, error) {
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.UseNumber()
	var tree map[string]any
	if err := decoder.Decode(&tree); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	values := map[string]string{}
	flatten(values, "", tree)
	return read(values)
}

// flatten stores nested values under the paths that they have in the simulator's form.
func flatten(values map[string]string, path string, v any) {
	switch v := v.(type) {
	case nil:
	case map[string]any:
		for name, item := range v {
			flatten(values, strings.TrimPrefix(path+"."+name, "."), item)
		}
	case []any:
		var scalars []string
		for i, item := range v {
			if _, object := item.(map[string]any); object {
				flatten(values, path+"."+strconv.Itoa(i), item)
				values[path+".count"] = strconv.Itoa(len(v))
			} else {
				scalars = append(scalars, fmt.Sprint(item))
			}
		}
		values[path] = strings.Join(scalars, ",")
	default:
		values[path] = fmt.Sprint(v)
	}
}

// read decodes all settings and returns the first error.
func read(values map[string]string) (Settings, error) {
	s := &reader{values: values}
	result := Settings{
		Policy:        s.policy(),
		PositionEpoch: time.Duration(s.number("Domain.ZeroUs") * float64(time.Microsecond)),
		Zones:         s.list("Localities"),
		ConnIdle:      s.duration("Allowed.ConnIdleUs"),
		DialTimeout:   s.duration("Allowed.DialTimeoutUs"),
		MaxOpen:       s.count("Allowed.MaxOpen"),
		Peers:         s.bool("Allowed.Peers"),
		ProbeReport:   values["Report.Fields"] != "" && values["Report.Source"] != "none",
	}
	for i := range result.Policy.Classes {
		result.Classes = append(result.Classes, values[fmt.Sprintf("Lanes.%d.Name", i)])
	}
	return result, s.err
}

// policy decodes the settings of the decision module.
func (s *reader) policy() policy.Settings {
	result := policy.Settings{
		Routers:             s.count("Instances"),
		Zone:                int(s.number("Zone")),
		Tick:                s.duration("ResolutionUs"),
		ListSource:          choice(s, "Discovery", listSources),
		ListRole:            choice(s, "Domain.ShowsRole", listRoles),
		PositionGranularity: time.Millisecond,
		StaleReadMode:       choice(s, "Domain.Behind", staleReadModes),
		StaleReadHoldTime:   s.duration("Domain.PatienceUs"),
		TracksSessions:      s.values["Domain.SessionMarks"] == "router",
		CanProbe:            s.bool("Allowed.Probes"),
		CanCancel:           s.bool("Allowed.Cancel"),
		MaxAttempts:         s.count("Allowed.TryLimit"),
		MaxRetryAfter:       s.duration("Allowed.MaxRetryAfterUs"),
		DrainGrace:          s.duration("Rules.DrainGraceUs"),
		GoneIsAdvisory:      s.bool("Rules.GoneIsAdvice"),
		MaxListAge:          s.duration("Rules.MustAskInUs"),
		StartCapacity:       s.upTo("Rules.StartCapacity", 1, "a share"),
		SlowStartTime:       s.duration("Rules.ColdUs"),
		OverloadFactor:      s.upTo("Rules.FallMultiple", maxNumber, "a number"),
		OverloadWindow:      s.duration("Rules.FallUs"),
	}
	if !s.bool("Allowed.RetryAfter") {
		result.MaxRetryAfter = 0
	}
	levels, bounds := s.list("Domain.ReadLevel"), s.list("Domain.ClassBoundUs")
	for i := range s.count("Lanes.count") {
		result.Classes = append(result.Classes, s.class(i, elementOrEmpty(levels, i), elementOrEmpty(bounds, i)))
	}
	return result
}

// elementOrEmpty returns the element at i, or an empty string beyond the list's end.
func elementOrEmpty(list []string, i int) string {
	if i < len(list) {
		return list[i]
	}
	return ""
}

// class decodes the class at index i, with its read level and its staleness bound.
func (s *reader) class(i int, level, bound string) policy.Class {
	prefix := fmt.Sprintf("Lanes.%d.", i)
	class := policy.Class{
		Aim:         s.duration(prefix + "GoalTimeUs"),
		Deadline:    s.duration(prefix + "DeadlineUs"),
		Worth:       s.upTo(prefix+"Worth", maxNumber, "a number"),
		LateWorth:   s.upTo(prefix+"LateWorth", maxNumber, "a number"),
		RetrySafety: choice(s, prefix+"Repeat", retrySafeties),
		DedupWindow: s.duration(prefix + "DedupWindowUs"),
	}
	if class.RetrySafety == policy.DedupGroup && s.values[prefix+"Group"] == "all" {
		class.RetrySafety = policy.DedupAll
	}
	var ok bool
	if class.Level, ok = readLevels[level]; !ok {
		s.fail("Domain.ReadLevel: unknown value %q for class %d", level, i)
	}
	if micros, err := strconv.ParseFloat(bound, 64); err == nil && micros >= 0 && micros <= float64(maxDuration/time.Microsecond) {
		class.Bound = time.Duration(micros * float64(time.Microsecond))
	} else if class.Level == policy.Recent || bound != "" {
		s.fail("Domain.ClassBoundUs: no bound for class %d in %q; give microseconds", i, bound)
	}
	if class.Aim <= 0 || class.Deadline <= 0 {
		s.fail("%sGoalTimeUs and %sDeadlineUs: class %d needs both, in microseconds, above 0", prefix, prefix, i)
	}
	return class
}
