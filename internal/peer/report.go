package peer

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"time"

	"lilaccove/internal/fleet/membership"
	"lilaccove/internal/stats"
)

// Report is the answer to GET /v1/fleet/members.
type Report struct {
	Fleet       string         `json:"fleet"`
	Name        string         `json:"name"`
	Addr        string         `json:"addr"`
	Session     string         `json:"session"`
	Incarnation uint64         `json:"incarnation"`
	Member      bool           `json:"member"` // false while it is drained or shutting down, or another process has its name
	Superseded  bool           `json:"superseded"`
	Health      int            `json:"health"` // 0: healthy; up to 8: this process may be too slow to judge others
	View        ReportView     `json:"view"`
	Known       []ReportMember `json:"known"` // the other gateways, including those that have ended
	At          time.Time      `json:"at"`
}

// ReportView is the stable view.
type ReportView struct {
	Version uint64         `json:"version"`
	Digest  string         `json:"digest"`
	Members []ReportMember `json:"members"`
}

// ReportMember is one gateway.
type ReportMember struct {
	Name          string `json:"name"`
	Addr          string `json:"addr"`
	Session       string `json:"session"`
	State         string `json:"state,omitempty"`
	Incarnation   uint64 `json:"incarnation,omitempty"`
	DuplicateName bool   `json:"twice,omitempty"`
}

func hex(n uint64) string { return strconv.FormatUint(n, 16) }

// Report returns in JSON what this gateway knows of the fleet.
func (l *Links) Report() []byte {
	own, member := l.machine.Self()
	view := l.machine.View()
	r := Report{
		Fleet: l.file.Fleet, Name: own.Name, Addr: own.Addr.String(), Session: hex(own.Session), Incarnation: own.Incarnation, Member: member,
		Superseded: l.machine.Superseded(), Health: l.machine.Health(),
		View: ReportView{Version: view.Version, Digest: hex(view.Digest)}, Known: []ReportMember{}, At: time.Unix(0, int64(l.loop.Now())).UTC(),
	}
	for _, m := range view.Members {
		r.View.Members = append(r.View.Members, ReportMember{
			Name: m.Name, Addr: m.Addr.String(), Session: hex(m.Session), DuplicateName: m.DuplicateName,
		})
	}
	for _, e := range l.machine.Members() {
		r.Known = append(r.Known, ReportMember{
			Name: e.Name, Addr: e.Addr.String(), Session: hex(e.Session), State: e.State.String(), Incarnation: e.Incarnation,
			DuplicateName: e.DuplicateName,
		})
	}
	b, err := json.Marshal(r)
	if err != nil {
		return []byte("{}")
	}
	return append(b, '\n')
}

// Metrics appends the metrics, one per line.
func (l *Links) Metrics(b []byte) []byte {
	line := func(name string, n uint64) {
		b = append(append(append(b, "edge_gw.fleet_"...), name...), '=')
		b = append(strconv.AppendUint(b, n, 10), '\n')
	}
	states := [membership.Left + 1]uint64{}
	for _, e := range l.machine.Members() {
		states[e.State]++
	}
	view, memberCounts, counts := l.machine.View(), l.machine.Counts(), &l.counts
	line("view_version", view.Version)
	line("view_members", uint64(len(view.Members)))
	for state, n := range states {
		line("others."+membership.State(state).String(), n)
	}
	line("health", uint64(l.machine.Health()))
	if l.fence != nil {
		fenced := uint64(0)
		if l.fenced {
			fenced = 1
		}
		line("fenced", fenced)
	}
	if store := l.overrides.store; store != nil {
		storeStats := store.Stats()
		line("words.saved", storeStats.Saved)
		line("words.not_saved", storeStats.Failed)
		line("words.others", storeStats.OtherWriters)
	}
	line("probes", memberCounts.Probes)
	line("probes_failed", memberCounts.FailedProbes)
	line("suspicions", memberCounts.Suspicions)
	line("refutations", memberCounts.Refutations)
	line("deaths", memberCounts.Deaths)
	line("pauses", memberCounts.Pauses)
	line("superseded", memberCounts.Superseded)
	line("name_twice", memberCounts.DuplicateNames)
	line("overflow", memberCounts.Overflow)
	line("exchanges", counts.Exchanges)
	line("exchanges_failed", counts.ExchangesFailed)
	line("deaths_seen", l.deaths)
	line("received", counts.Received)
	line("received_bytes", counts.ReceivedBytes)
	line("sent", counts.Sent)
	line("sent_bytes", counts.SentBytes)
	line("unsent", counts.Unsent)
	line("dropped.garbage", counts.Garbage)
	line("dropped.version", counts.UnknownVersion)
	line("dropped.foreign", counts.Foreign)
	line("dropped.spoilt", counts.Corrupt)
	line("dropped.malformed", counts.Malformed)
	line("dropped.large", counts.Oversized)
	line("dropped.rate", counts.RateLimited)
	line("rests", l.udp.PauseCount())
	all := l.Traffic()
	for _, role := range slices.Sorted(maps.Keys(all)) {
		if all[role] != (stats.Traffic{}) { // a role that is off has no lines
			b = all[role].Append(b, role)
		}
	}
	if l.versions != nil {
		since, requested := l.versions.tracker.Lagging()
		line("behind", uint64(min(since, 1)))
		line("behind_asked", requested)
	}
	if l.primaries != nil {
		l.primaries.appendMetrics("primaries", line)
	}
	if l.positions != nil {
		l.positions.appendMetrics("positions", line)
	}
	if l.budgets == nil {
		return b
	}
	home, lent, borrowed := l.budgets.machine.Totals()
	budgetCounts := l.budgets.machine.Counts()
	line("budget.own", uint64(home))
	line("budget.lent", uint64(lent))
	line("budget.borrowed", uint64(borrowed))
	line("budget.asked", budgetCounts.Requested)
	line("budget.granted", budgetCounts.Granted)
	line("budget.refused", budgetCounts.Refused)
	line("budget.returned", budgetCounts.Released)
	line("budget.lapsed", budgetCounts.Expired)
	return b
}
