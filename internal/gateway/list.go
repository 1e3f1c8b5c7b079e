// The list of databases, and what is told of them.

package gateway

import (
	"maps"
	"slices"
	"time"

	"lilaccove/policy"
)

// ListSize is how many databases the list holds.
func (g *Gateway) ListSize() int { return len(g.listed) }

// Suspend leaves a database out, or lets it serve again; then is called as soon as no request
// can go against that. It tells whether the database is known. Discovery does not change it.
func (g *Gateway) Suspend(host policy.HostID, out bool, then func()) bool {
	if _, listed := g.listed[host]; !listed && !g.suspended[host] {
		return false
	}
	g.SetSuspended(host, out)
	g.decided = append(g.decided, then)
	return true
}

// SetSuspended is Suspend for a database that need not be listed yet.
func (g *Gateway) SetSuspended(host policy.HostID, out bool) {
	if g.suspended[host] == out {
		return
	}
	if g.suspended[host] = out; !out {
		delete(g.suspended, host)
	}
	g.guard.RecordSuspension(host, out, g.loop.Now())
	g.events = append(g.events, policy.SuspensionChanged{Host: host, Active: out})
}

// Probed tells how a probe ended.
func (g *Gateway) Probed(host policy.HostID, o policy.Outcome, r Reply) {
	g.told(host, r.Report.HasPosition, r.Report.Position)
	g.events = append(g.events, policy.ProbeResult{
		Host: host, Outcome: o, Latency: g.took(g.probes[host]), Report: r.Report,
	})
	delete(g.probes, host) // one is out at a time; hosts come and go
}

// ListUpdated passes on news of the list.
func (g *Gateway) ListUpdated(kind policy.ListKind, entries []Entry) {
	m := policy.ListUpdate{Kind: kind, Entries: make([]policy.Member, len(entries))}
	for i, e := range entries {
		m.Entries[i] = e.Member
	}
	var before map[policy.HostID]policy.Member // those that a whole list may leave out
	if kind == policy.ListFull || kind == policy.ListCached {
		before, g.listed = g.listed, make(map[policy.HostID]policy.Member, len(entries))
	}
	for _, e := range entries {
		g.guard.RecordStatus(e.Host, e.Status, g.loop.Now())
		if g.listed[e.Host] = e.Member; e.Status == policy.Gone {
			delete(g.listed, e.Host)
		}
	}
	for host := range before {
		if _, listed := g.listed[host]; !listed {
			g.guard.RecordStatus(host, policy.Gone, g.loop.Now())
		}
	}
	g.backends.ListUpdated(kind, entries)
	g.events = append(g.events, m)
	if g.changed != nil {
		g.changed()
	}
}

// OnPrimary has do called with each answer of a database as primary, and when it was asked.
func (g *Gateway) OnPrimary(do func(host policy.HostID, at time.Duration)) { g.primary = do }

// OnList has do called whenever the list has changed.
func (g *Gateway) OnList(do func()) { g.changed = do }

// OnPosition has do called with each position that a database tells.
func (g *Gateway) OnPosition(do func(host policy.HostID, at time.Duration)) { g.position = do }

func (g *Gateway) told(host policy.HostID, has bool, at time.Duration) {
	if has && g.position != nil && g.router.Plausible(at) {
		g.position(host, at)
	}
}

// InList tells whether a database is in the list.
func (g *Gateway) InList(host policy.HostID) bool {
	_, ok := g.listed[host]
	return ok
}

// Hosts are the databases of the list.
func (g *Gateway) Hosts() []policy.Member { return slices.Collect(maps.Values(g.listed)) }
