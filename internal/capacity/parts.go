package capacity

import (
	"cmp"
	"slices"
	"strings"
)

// clients, statements and decisions of one gateway.
func (st *state) gateway() Part {
	front, pool := "`internal/front`, `internal/netloop`", "`internal/backend`, `internal/pgwire`"
	return Part{"gateway", "One gateway", []Figure{
		given("clients: connections", "", front, func(s Size) float64 { return s.Connections }),
		computed("clients: descriptors that `limits.sockets` has to allow, so that no idle client is closed for a newcomer", "", "4 C + 2 D: that begins at a quarter of them", front, descriptors, Connections),
		st.byClients("clients: connections held at once, the mean", "", front, func(d *Datapath) float64 { return d.Gateway.ClientConnections }),
		st.byClients("clients: descriptors open", "", front, func(d *Datapath) float64 { return d.Gateway.Descriptors }),
		computed("clients: come again after 5 s without a statement, each when it asks", "/s", "S x e^(-5 s x S / C)", front, clientsBack, Connections, Statements),
		st.data("clients: connections accepted, each client coming again soon after its close", "/s", front, func(d *Datapath) float64 { return d.Gateway.NewClient }),
		st.byClients("clients: memory of the process", "MB", front, func(d *Datapath) float64 { return d.Gateway.RSS }),
		st.data("clients: memory for each, none asking", "B", front, func(d *Datapath) float64 { return d.Gateway.PerClient }),
		given("statements: a second", "/s", pool, func(s Size) float64 { return s.Statements }),
		st.data("statements: processor time", "% of a core", pool, func(d *Datapath) float64 { return d.Gateway.Core }),
		st.data("statements: processor time for each, all of the process", "µs", pool, func(d *Datapath) float64 { return d.Gateway.PerStatement }),
		st.data("statements: connections held to databases", "", pool, func(d *Datapath) float64 { return d.Gateway.DatabaseConnections }),
		st.data("statements: connections opened to databases", "/s", pool, func(d *Datapath) float64 { return d.Gateway.NewDatabase }),
		st.data("statements: refused", "% of all", "`policy`", refused),
		computed("decisions: databases known", "", "D", "`policy`", func(s Size) float64 { return s.Databases }),
		st.byList("decisions: processor time, by databases listed", "% of a core", "`policy`", func(d *Datapath) float64 { return d.Gateway.Core }),
		st.byList("decisions: memory, by databases listed", "MB", "`policy`", func(d *Datapath) float64 { return d.Gateway.RSS }),
	}}
}

func refused(d *Datapath) float64 {
	g := d.Gateway
	if all := g.Served + g.Refused + g.Failed; all > 0 {
		return 100 * g.Refused / all
	}
	return 0
}

// control is what gateways tell each other.
func (st *state) control() Part {
	p := Part{Name: "control", Title: "Control of one gateway"}
	add := func(f ...Figure) { p.Figures = append(p.Figures, f...) }
	sum := "all of the below"
	stat := func(name, unit string, allowance float64, get func(*Scale) *Stat) {
		add(st.measured(name+", mean", unit, sum, some(get, func(x *Stat) float64 { return x.Mean })).within(allowance),
			st.measured(name+", the gateway with the most", unit, sum, some(get, func(x *Stat) float64 { return x.Max })).within(allowance))
	}
	stat("sum: sent", "B/s", allowedBytes, func(s *Scale) *Stat { return s.Control.BytesOut })
	stat("sum: received", "B/s", allowedBytes, func(s *Scale) *Stat { return s.Control.BytesIn })
	add(st.measured("sum: sent, the most of any gateway in 10 s", "B/s", sum, some(func(s *Scale) *Window { return s.Window }, func(w *Window) float64 { return w.BytesOut })).within(allowedBytes))
	add(st.measured("sum: messages sent, mean", "/s", sum, some(func(s *Scale) *Stat { return s.Control.Messages }, func(x *Stat) float64 { return x.Mean })))
	stat("sum: processor time, of hollow gateways", "% of a core", allowedCore, func(s *Scale) *Stat { return s.Control.Core })
	core := st.measured("sum: processor time, as real gateways would take, mean", "% of a core", sum, some(func(s *Scale) *Stat { return s.Control.Core }, func(x *Stat) float64 { return x.Mean })).within(allowedCore)
	if f, ok := st.calibrated(core, func(c *Control) *Stat { return c.Core }); ok {
		add(f)
	}
	stat("sum: memory, of hollow gateways", "MB", allowedMemory, func(s *Scale) *Stat { return s.Control.Memory })
	for _, n := range st.roleNames() {
		if f, ok := states(n); ok {
			add(f)
		}
		add(st.measured(n+": sent", "B/s", carrier(n), role(n, func(r RoleTraffic) float64 { return r.BytesOut })).within(allowedBytes),
			st.measured(n+": received", "B/s", carrier(n), role(n, func(r RoleTraffic) float64 { return r.BytesIn })).within(allowedBytes),
			st.measured(n+": messages sent", "/s", carrier(n), role(n, func(r RoleTraffic) float64 { return r.Messages })))
		switch n {
		case "membership":
			add(computed("membership: a whole list", "B", "40 B x G", carrier(n), func(s Size) float64 { return listEntryBytes * s.Gateways }).within(listMost),
				st.measured("membership: false deaths in a minute", "", carrier(n), overall(func(s *Scale) float64 { return perMinute(s.FalseDeaths, s.Seconds) })).within(0))
		case "positions":
			add(computed("positions: news", "/s", "D / 0.2 s", carrier(n), positionNews).within(positionRoom()),
				computed("positions: sent, from the code", "B/s", "3 x (24 B / 0.1 s + 21 B x min(D / 0.2 s, 300/s))", carrier(n), positionBytesOut).within(allowedBytes),
				st.measured("positions: age of what is known, p99", "s", carrier(n), stale(func(p *Stale) *float64 { return p.P99 })))
		case "versions":
			add(computed("versions: time to hear of all, at the least", "s", "G / (8 x 2 / s)", carrier(n), versionsHeard))
		case "budgets":
			add(computed("budgets: holders for each of 100 connections", "", "G / 100", carrier(n), func(s Size) float64 { return s.Gateways / allowedAtOne }).within(holdersAtWhole1))
		}
	}
	most := func(p *Spread) float64 { return p.Max }
	add(st.measured("a change of primary: to the first write that all serve", "s", carrier("primaries"), some(func(s *Scale) *Spread { return s.PrimaryChange }, most)).within(allowedPrimary),
		st.measured("a change of the list at discovery: in force everywhere", "s", carrier("discovery"), some(func(s *Scale) *Spread { return s.ListInForce }, most)).within(allowedInForce),
		st.measured("a change of configuration: in force everywhere", "s", "none", some(func(s *Scale) *Spread { return s.InForce }, most)).within(allowedInForce),
		computed("a change of configuration that waits for the restart of each gateway", "s", "day x G / (410 x G / 490)", "SIGHUP, else none", restartOfAll).within(allowedInForce))
	return p
}

func stale(get func(*Stale) *float64) func(*Scale) (float64, bool) {
	return func(s *Scale) (float64, bool) {
		if s.Positions == nil || get(s.Positions) == nil {
			return 0, false
		}
		return *get(s.Positions), true
	}
}

func perMinute(n, seconds float64) float64 {
	if seconds == 0 {
		return n
	}
	return n * 60 / seconds
}

// database is one as it sees all gateways.
func (st *state) database() Part {
	pool := "`internal/backend`, `policy` (seldom)"
	// each is a figure of one gateway's pool as one database sees it from all gateways. Neither it nor role is a sum of what
	// clients and the list add, so that no slope leads to them: what was run stands alone.
	each := func(name, unit, formula string, get func(*Datapath) float64) Figure {
		one := st.fitData(get)
		return Figure{Name: name, Unit: unit, Formula: formula, Mechanism: pool, At: func(s Size) Value {
			v := one.exact(s)
			v.X *= s.Gateways / s.Databases
			return v
		}}
	}
	// role is what all gateways together hold to one database of a role.
	role := func(name string) Figure {
		one := st.fitData(func(d *Datapath) float64 { return d.StandIn.Per[name].Mean })
		return Figure{Name: "connections that gateways hold, a " + name, Formula: "held by one gateway x G", Mechanism: pool, At: func(s Size) Value {
			v := one.exact(s)
			v.X *= s.Gateways
			return v
		}}
	}
	return Part{"database", "A database as it sees all gateways", []Figure{
		computed("connections that gateways hold", "", "G x (1 - e^(-2 s x S / D))", pool, heldConnections, Statements).within(allowedAtOne),
		each("connections that gateways hold, the mean database", "", "held by one gateway x G / D", func(d *Datapath) float64 { return d.Gateway.DatabaseConnections }).within(allowedAtOne),
		role("primary").within(allowedAtOne),
		role("replica").within(allowedAtOne),
		computed("statements", "/s", "S x G / D", "`policy`", databaseStatements, Statements),
		each("connections opened", "/s", "opened by one gateway x G / D", func(d *Datapath) float64 { return d.Gateway.NewDatabase }),
		computed("connections opened by restarts of gateways", "/s", "410 x G / 490 / day", "`internal/backend`", func(s Size) float64 { return restartsADay * s.Gateways / Target.Gateways / day }),
		unknown("processor time", "the database", NotKnown),
		unknown("memory", "the database", NotKnown),
	}}
}

// discovery is the service that has the list.
func (st *state) discovery() Part {
	by := carrier("discovery")
	all := func(get func(RoleTraffic) float64) func(*Scale) (float64, bool) {
		one := role("discovery", get)
		return func(s *Scale) (float64, bool) {
			y, ok := one(s)
			return y * float64(s.Gateways), ok
		}
	}
	return Part{"discovery", "Discovery", []Figure{
		computed("watches held", "", "G", by, func(s Size) float64 { return s.Gateways }),
		computed("signs of life sent", "/s", "G / 2 s", by, func(s Size) float64 { return s.Gateways / beatEvery }),
		computed("changes sent, if each of the 860 is one of the list", "/s", "860 x G / day", by, func(s Size) float64 { return changesADay * s.Gateways / day }),
		computed("calls by restarts", "/s", "410 x G / 490 / day", by, func(s Size) float64 { return restartsADay * s.Gateways / Target.Gateways / day }).within(discoveryMost),
		computed("calls after an outage, before a crowd is noticed", "/s", "G / min(0.1 s x G, 2.5 s)", by, offeredCalls).within(discoveryMost),
		computed("after an outage: until the last gateway has its list", "s", "G / (20 / s)", by, lastAnswered).within(allowedInForce),
		st.measured("calls, the most in a second", "/s", by, some(func(s *Scale) *Asked { return s.Discovery }, func(a *Asked) float64 { return a.Calls })).within(discoveryMost),
		st.measured("calls, the most in a second while all start", "/s", by, some(func(s *Scale) *Asked { return s.Discovery }, func(a *Asked) float64 { return a.Early })).within(discoveryMost),
		st.measured("bytes sent to all gateways", "B/s", by, all(func(r RoleTraffic) float64 { return r.BytesIn })),
		unknown("processor time", "not of this program", NotKnown),
		unknown("memory", "not of this program", NotKnown),
	}}
}

// machines are those set aside for control.
func (st *state) machines() Part {
	nothing := func(name, unit string) Figure {
		return computed(name, unit, "nothing of this program runs there", "none", func(Size) float64 { return 0 })
	}
	return Part{"machines", "Each of the 8 machines set aside", []Figure{
		computed("gateways for each machine", "", "G / 8", "none", func(s Size) float64 { return s.Gateways / machinesSet }),
		nothing("state", ""), nothing("messages", "/s"), nothing("processor time", "% of a core"), nothing("memory", "MB"),
	}}
}

// tool is the operators' command that asks all gateways.
func (st *state) tool() Part {
	by := "`cmd/lilacctl`, `internal/management`"
	p := Part{Name: "tool", Title: "The operators' tool that asks all"}
	p.Figures = append(p.Figures,
		computed("calls of `lilacctl members`, all at once", "", "G", by, func(s Size) float64 { return s.Gateways }),
		computed("one gateway's answer to `lilacctl members`", "B", "95 B x 2 G: its view and whom it knows", by, func(s Size) float64 { return memberBytes * 2 * s.Gateways }).within(answerMost),
		computed("one gateway's answer to `lilacctl versions`", "B", "226 B x G", by, func(s Size) float64 { return versionBytes * s.Gateways }).within(answerMost))
	for _, what := range []string{"members", "versions"} {
		p.Figures = append(p.Figures,
			st.asked(what, "answers of all", "MB", by, func(r ToolRow) float64 { return r.Read / 1e6 }),
			st.asked(what, "time, where each gateway answers at once", "s", by, func(r ToolRow) float64 { return r.Seconds }),
			st.asked(what, "processor time", "ms", by, func(r ToolRow) float64 { return r.Processor }),
			st.asked(what, "memory", "MB", by, func(r ToolRow) float64 { return r.Memory }))
	}
	silent := computed("`lilacctl versions` and `state`: added while the gateways of a zone are silent", "s", "45 x 2 s: one after the other", by, silentZone)
	p.Figures = append(p.Figures, silent, unknown("a gateway's processor time for its answer", "`internal/peer`, `internal/management`", NotRun))
	return p
}

// controlAfter is what was measured of control with the mechanism.
func (st *state) controlAfter() Part {
	p := (&state{runs: st.runs, after: true}).control()
	p.Name, p.Title = "control-after", "Control of one gateway, with the mechanism"
	p.Figures = slices.DeleteFunc(p.Figures, func(f Figure) bool {
		return f.Slope == nil || f.At(Target).Kind == NotRun && f.At(Worst).Kind == NotRun
	})
	for i, f := range p.Figures {
		p.Figures[i].Mechanism = strings.Replace(f.Mechanism, "`internal/fleet/state` (Positions)", "`internal/fleet/antientropy`", 1)
	}
	return p
}

// parts are all tables of figures.
func (st *state) parts() []Part {
	return []Part{st.gateway(), st.control(), st.database(), st.discovery(), st.machines(), st.tool()}
}

// Break is a figure that outgrows its allowance.
type Break struct {
	Part   string
	Figure Figure
	At     Size // the first on the way at which it does
	First  bool // the first size that is known at all: it may be earlier
	Any    bool // at any size
	Value  Value
	u      float64
}

// steps in which the way is walked, for each of its two parts.
const steps = 2000

// breaks are those figures in the order in which growth meets them, and the names of those that are not known.
func (st *state) breaks() (list []Break, open []string) {
	for _, p := range st.parts() {
		for _, f := range p.Figures {
			if !f.Bounded {
				continue
			}
			b, ok := f.meets()
			b.Part = p.Title
			switch {
			case ok:
				list = append(list, b)
			case !f.At(Target).known():
				open = append(open, p.Title+": "+f.Name)
			}
		}
	}
	slices.SortStableFunc(list, func(a, b Break) int { return cmp.Compare(a.u, b.u) })
	return list, open
}

// meets walks the way from nothing to the target. Under the sizes that were measured nothing is concluded.
func (f Figure) meets() (Break, bool) {
	b := Break{Figure: f}
	before := true
	for i := 1; i <= 2*steps; i++ {
		u := float64(i) / steps
		s := growth(u)
		if i == 2*steps {
			s = Target
		}
		v := f.At(s)
		if !v.known() || v.Under {
			continue
		}
		if v.X > f.Allowance {
			b.At, b.Value, b.u, b.Any, b.First = s, v, u, i == 1, before
			return b, true
		}
		before = false
	}
	return b, false
}
