// The list of databases, suspensions, probe results and positions.

package gateway

import (
	"maps"
	"slices"
	"time"

	"lilaccove/policy"
)

// ListSize returns how many databases the list holds.
func (g *Gateway) ListSize() int { return len(g.members) }

// Suspend suspends a database or resumes it; done is called as soon as no request can be routed
// contrary to that. It returns whether the database is known. Discovery does not change a suspension.
func (g *Gateway) Suspend(host policy.HostID, active bool, done func()) bool {
	if _, listed := g.members[host]; !listed && !g.suspended[host] {
		return false
	}
	g.SetSuspended(host, active)
	g.afterStep = append(g.afterStep, done)
	return true
}

// SetSuspended is like Suspend for a database that need not be listed yet.
func (g *Gateway) SetSuspended(host policy.HostID, active bool) {
	if g.suspended[host] == active {
		return
	}
	if g.suspended[host] = active; !active {
		delete(g.suspended, host)
	}
	g.guard.RecordSuspension(host, active, g.loop.Now())
	g.events = append(g.events, policy.SuspensionChanged{Host: host, Active: active})
}

// Probed reports how a probe ended.
func (g *Gateway) Probed(host policy.HostID, outcome policy.Outcome, reply Reply) {
	g.reportPosition(host, reply.Report.HasPosition, reply.Report.Position)
	g.events = append(g.events, policy.ProbeResult{
		Host: host, Outcome: outcome, Latency: g.latency(g.probeTimes[host]), Report: reply.Report,
	})
	delete(g.probeTimes, host) // at most one probe per host is in flight; the map must not grow as hosts come and go
}

// ListUpdated applies a new list or a change of the list and passes it on.
func (g *Gateway) ListUpdated(kind policy.ListKind, entries []Entry) {
	update := policy.ListUpdate{Kind: kind, Entries: make([]policy.Member, len(entries))}
	for i, entry := range entries {
		update.Entries[i] = entry.Member
	}
	var previous map[policy.HostID]policy.Member // hosts that a full list may no longer contain
	if kind == policy.ListFull || kind == policy.ListCached {
		previous, g.members = g.members, make(map[policy.HostID]policy.Member, len(entries))
	}
	for _, entry := range entries {
		g.guard.RecordStatus(entry.Host, entry.Status, g.loop.Now())
		if g.members[entry.Host] = entry.Member; entry.Status == policy.Gone {
			delete(g.members, entry.Host)
		}
	}
	for host := range previous {
		if _, listed := g.members[host]; !listed {
			g.guard.RecordStatus(host, policy.Gone, g.loop.Now())
		}
	}
	g.backends.ListUpdated(kind, entries)
	g.events = append(g.events, update)
	if g.onListChange != nil {
		g.onListChange()
	}
}

// OnPrimary sets a callback for each answer of a database as primary, with the time when it was asked.
func (g *Gateway) OnPrimary(callback func(host policy.HostID, at time.Duration)) {
	g.onPrimary = callback
}

// OnList sets a callback for changes of the list.
func (g *Gateway) OnList(callback func()) { g.onListChange = callback }

// OnPosition sets a callback for each plausible position that a database reports.
func (g *Gateway) OnPosition(callback func(host policy.HostID, position time.Duration)) {
	g.onPosition = callback
}

// reportPosition passes a plausible position on to the callback of OnPosition.
func (g *Gateway) reportPosition(host policy.HostID, known bool, position time.Duration) {
	if known && g.onPosition != nil && g.router.Plausible(position) {
		g.onPosition(host, position)
	}
}

// InList reports whether a database is in the list.
func (g *Gateway) InList(host policy.HostID) bool {
	_, ok := g.members[host]
	return ok
}

// Hosts returns the databases of the list.
func (g *Gateway) Hosts() []policy.Member { return slices.Collect(maps.Values(g.members)) }
