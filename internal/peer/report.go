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

// Report is what GET /v1/fleet/members tells.
type Report struct {
	Fleet       string         `json:"fleet"`
	Name        string         `json:"name"`
	Addr        string         `json:"addr"`
	Session     string         `json:"session"`
	Incarnation uint64         `json:"incarnation"`
	Member      bool           `json:"member"` // not while it is drained, ends, or another process has its name
	Superseded  bool           `json:"superseded"`
	Health      int            `json:"health"` // 0: well; up to 8: this process doubts itself
	View        ReportView     `json:"view"`
	Known       []ReportMember `json:"known"` // the others, those that have ended too
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

// Report tells in JSON what this gateway knows of the others.
func (l *Links) Report() []byte {
	own, member := l.m.Self()
	v := l.m.View()
	r := Report{
		Fleet: l.file.Fleet, Name: own.Name, Addr: own.Addr.String(), Session: hex(own.Session), Incarnation: own.Incarnation, Member: member,
		Superseded: l.m.Superseded(), Health: l.m.Health(), View: ReportView{Version: v.Version, Digest: hex(v.Digest)}, Known: []ReportMember{},
		At: time.Unix(0, int64(l.loop.Now())).UTC(),
	}
	for _, m := range v.Members {
		r.View.Members = append(r.View.Members, ReportMember{Name: m.Name, Addr: m.Addr.String(), Session: hex(m.Session), DuplicateName: m.DuplicateName})
	}
	for _, e := range l.m.Members() {
		r.Known = append(r.Known, ReportMember{
			Name: e.Name, Addr: e.Addr.String(), Session: hex(e.Session), State: e.State.String(), Incarnation: e.Incarnation, DuplicateName: e.DuplicateName,
		})
	}
	b, err := json.Marshal(r)
	if err != nil {
		return []byte("{}")
	}
	return append(b, '\n')
}

// Metrics adds the figures, a line each.
func (l *Links) Metrics(b []byte) []byte {
	line := func(name string, n uint64) {
		b = append(append(append(b, "edge_gw.fleet_"...), name...), '=')
		b = append(strconv.AppendUint(b, n, 10), '\n')
	}
	states := [membership.Left + 1]uint64{}
	for _, e := range l.m.Members() {
		states[e.State]++
	}
	v, c, k := l.m.View(), l.m.Counts(), &l.counts
	line("view_version", v.Version)
	line("view_members", uint64(len(v.Members)))
	for s, n := range states {
		line("others."+membership.State(s).String(), n)
	}
	line("health", uint64(l.m.Health()))
	if l.fence != nil {
		fenced := uint64(0)
		if l.fenced {
			fenced = 1
		}
		line("fenced", fenced)
	}
	if s := l.words.store; s != nil {
		k := s.Stats()
		line("words.saved", k.Saved)
		line("words.not_saved", k.Failed)
		line("words.others", k.OtherWriters)
	}
	line("probes", c.Probes)
	line("probes_failed", c.FailedProbes)
	line("suspicions", c.Suspicions)
	line("refutations", c.Refutations)
	line("deaths", c.Deaths)
	line("pauses", c.Pauses)
	line("superseded", c.Superseded)
	line("name_twice", c.DuplicateNames)
	line("overflow", c.Overflow)
	line("exchanges", k.Exchanges)
	line("exchanges_failed", k.ExchangesFailed)
	line("deaths_seen", l.deaths)
	line("received", k.Received)
	line("received_bytes", k.ReceivedBytes)
	line("sent", k.Sent)
	line("sent_bytes", k.SentBytes)
	line("unsent", k.Unsent)
	line("dropped.garbage", k.Garbage)
	line("dropped.version", k.UnknownVersion)
	line("dropped.foreign", k.Foreign)
	line("dropped.spoilt", k.Corrupt)
	line("dropped.malformed", k.Malformed)
	line("dropped.large", k.Oversized)
	line("dropped.rate", k.RateLimited)
	line("rests", l.udp.Rests())
	all := l.Traffic()
	for _, role := range slices.Sorted(maps.Keys(all)) {
		if all[role] != (stats.Traffic{}) { // a role that is off has no lines
			b = all[role].Append(b, role)
		}
	}
	if l.versions != nil {
		since, asked := l.versions.v.Lagging()
		line("behind", uint64(min(since, 1)))
		line("behind_asked", asked)
	}
	if l.primaries != nil {
		l.primaries.metrics("primaries", line)
	}
	if l.positions != nil {
		l.positions.metrics("positions", line)
	}
	if l.budgets == nil {
		return b
	}
	own, lent, borrowed := l.budgets.m.Totals()
	n := l.budgets.m.Counts()
	line("budget.own", uint64(own))
	line("budget.lent", uint64(lent))
	line("budget.borrowed", uint64(borrowed))
	line("budget.asked", n.Requested)
	line("budget.granted", n.Granted)
	line("budget.refused", n.Refused)
	line("budget.returned", n.Released)
	line("budget.lapsed", n.Expired)
	return b
}
