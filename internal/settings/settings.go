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

// reader looks values up by path and keeps the first thing found wrong. Paths that
// nobody reads are skipped.
type reader struct {
	values map[string]string
	err    error
}

func (s *reader) fail(format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf(format, args...)
	}
}

func (s *reader) number(path string) float64 {
	text, ok := s.values[path]
	if !ok {
		return 0
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		s.fail("%s: %q is no number", path, text)
		return 0
	}
	return number
}

// upTo is a number from 0 up to a bound. Below it would count for none at all, which allows more than was meant.
func (s *reader) upTo(path string, limit float64, what string) float64 {
	number := s.number(path)
	if number < 0 || number > limit {
		s.fail("%s: %s is out of range; give %s from 0 to %g", path, s.values[path], what, limit)
		return 0
	}
	return number
}

// Bounds that no deployment comes near: beyond them a value would not fit, or is not meant.
const (
	maxDuration = 10 * 365 * 24 * time.Hour
	maxNumber   = math.MaxInt32
)

func (s *reader) duration(path string) time.Duration {
	return time.Duration(s.upTo(path, float64(maxDuration/time.Microsecond), "microseconds") * float64(time.Microsecond))
}

// count is a whole number.
func (s *reader) count(path string) int {
	number := s.upTo(path, maxNumber, "a whole number")
	if number != math.Trunc(number) {
		s.fail("%s: %s is no whole number", path, s.values[path])
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

func choice[T any](s *reader, path string, choices map[string]T) T {
	value, ok := choices[s.values[path]]
	if !ok {
		s.fail("%s: unknown word %q", path, s.values[path])
	}
	return value
}

// FromPairs reads the simulator's form: texts path=value.
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
		result.Policy.ListSource = policy.ListPushed // there is no agent: what it would be sent reaches the instance
	}
	return result, err
}

// FromJSON reads the nested form.
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

// flatten gives nested values the paths that they have in the simulator's form.
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

func read(values map[string]string) (Settings, error) {
	s := &reader{values: values}
	result := Settings{
		Policy:        s.policy(),
		PositionEpoch: time.Duration(s.number("Domain.ZeroUs") * float64(time.Microsecond)),
		Zones:         s.list("Localities"),
		ConnIdle:      s.duration("Allowed.ConnIdleUs"),
		DialTimeout:   s.duration("Allowed.DialTimeoutUs"),
		AnswerSlack:   s.duration("Rules.AnswerSlackUs"),
		MaxOpen:       s.count("Allowed.MaxOpen"),
		Peers:         s.bool("Allowed.Peers"),
		ProbeReport:   values["Report.Fields"] != "" && values["Report.Source"] != "none",
	}
	for i := range result.Policy.Classes {
		result.Classes = append(result.Classes, values[fmt.Sprintf("Lanes.%d.Name", i)])
	}
	return result, s.err
}

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

func elementOrEmpty(list []string, i int) string {
	if i < len(list) {
		return list[i]
	}
	return ""
}

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
		s.fail("Domain.ReadLevel: unknown word %q for class %d", level, i)
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
