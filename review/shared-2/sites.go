//go:build review

package shared2

// Lane is a class of requests.
type Lane struct {
	Name          string
	Aim, Deadline int // milliseconds
	Repeat, Level string
	Worth, Late   float64
	BoundMS       int
}

// settings returns settings with the names and units of the simulator's first message.
func settings(lanes []Lane, domain, allowed, rules, more map[string]any) map[string]any {
	var list, levels, bounds []any
	for _, l := range lanes {
		list = append(list, map[string]any{"Name": l.Name, "GoalTimeUs": l.Aim * 1000, "DeadlineUs": l.Deadline * 1000, "Repeat": l.Repeat,
			"Worth": l.Worth, "LateWorth": l.Late, "Group": "all", "DedupWindowUs": 5000000, "Streaming": false})
		levels, bounds = append(levels, l.Level), append(bounds, l.BoundMS*1000)
	}
	domain["ReadLevel"], domain["ClassBoundUs"], domain["ProgressTold"] = levels, bounds, true
	s := map[string]any{"Lanes": list, "Domain": domain, "Allowed": allowed, "Rules": rules, "Family": "replicas", "ResolutionUs": 5000, "Zone": 0, "SlotNo": 0}
	for name, value := range more {
		s[name] = value
	}
	return s
}

// Accra returns the settings of a small deployment after accra-head-office.toml.
func Accra() map[string]any {
	return settings([]Lane{
		{"browse-read", 500, 1200, "retryable", "recent", 1, 0, 3000},
		{"own-read", 500, 1500, "retryable", "own_writes", 2, 0.2, 0},
		{"licence-write", 600, 3000, "fragile", "update", 4, 0.5, 0},
	}, map[string]any{"Behind": "none", "PatienceUs": 0, "SessionMarks": "client", "ShowsRole": "delayed", "WaitsForCopy": true},
		map[string]any{"Cancel": true, "ConnIdleUs": 15000000, "DialTimeoutUs": 250000, "MaxOpen": 33333, "MaxRetryAfterUs": 1000000,
			"Peers": false, "Probes": true, "RetryAfter": true, "SecondCopies": true, "TryLimit": 6, "MaxStreams": 1},
		map[string]any{"AnswerSlackUs": 20000, "ColdUs": 18000000, "DrainGraceUs": 2000000, "FallMultiple": 2.0, "FallUs": 1000000,
			"MustAskInUs": 10000000, "StartCapacity": 0.27},
		map[string]any{"Discovery": "ask", "Instances": 3, "Localities": []any{"osu-room", "tema-room"}, "Report": map[string]any{"Source": "none"}})
}

// Lakeshore returns the settings of a small deployment after lakeshore-quotes.toml.
func Lakeshore() map[string]any {
	return settings([]Lane{
		{"rate-lookup", 400, 1000, "retryable", "recent", 3, 0.2, 1500},
		{"my-quote", 400, 1000, "retryable", "own_writes", 1, 0, 0},
		{"quote-history", 300, 1000, "retryable", "loose", 2, 0.2, 0},
		{"bind-check", 300, 1000, "retryable", "latest", 1, 0, 0},
		{"quote-save", 300, 5000, "fragile", "update", 3, 0.3, 0},
	}, map[string]any{"Behind": "hold", "PatienceUs": 20000, "SessionMarks": "router", "ShowsRole": "delayed", "WaitsForCopy": true},
		map[string]any{"Cancel": true, "ConnIdleUs": 30000000, "DialTimeoutUs": 250000, "MaxOpen": 33333, "MaxRetryAfterUs": 2000000,
			"Peers": true, "Probes": true, "RetryAfter": true, "SecondCopies": false, "TryLimit": 10, "MaxStreams": 1},
		map[string]any{"AnswerSlackUs": 20000, "ColdUs": 16000000, "DrainGraceUs": 250000, "FallMultiple": 2.5, "FallUs": 3000000,
			"StartCapacity": 0.16},
		map[string]any{"Discovery": "push", "Instances": 3, "Localities": []any{"duluth", "sault", "erie"},
			"Report": map[string]any{"Source": "probe", "Fields": []any{"x0", "x1"}}})
}
