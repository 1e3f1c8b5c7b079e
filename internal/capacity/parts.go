package capacity

import (
	"cmp"
	"slices"
	"strings"
)

// gateway has the clients, statements and decisions of one gateway.
func (st *dataset) gateway() Part {
	front, pool := "`internal/front`, `internal/netloop`", "`internal/backend`, `internal/pgwire`"
	return Part{"gateway", "One gateway", []Figure{
		given("clients: connections", "", front, func(s Size) float64 { return s.Connections }),
		computed("clients: descriptors that `limits.sockets` has to allow, so that no idle client is closed for a newcomer", "", "4 C + 2 D: that begins at a quarter of them", front, wantedDescriptors, Connections),
		st.clientsFigure("clients: connections held at once, the mean", "", front, func(d *Datapath) float64 { return d.Gateway.ClientConnections }),
		st.clientsFigure("clients: descriptors open", "", front, func(d *Datapath) float64 { return d.Gateway.Descriptors }),
		computed("clients: come again after 5 s without a statement, each when it asks", "/s", "S x e^(-5 s x S / C)", front, returningClients, Connections, Statements),
		st.datapathFigure("clients: connections accepted, each client coming again soon after its close", "/s", front, func(d *Datapath) float64 { return d.Gateway.NewClientConnections }),
		st.clientsFigure("clients: memory of the process", "MB", front, func(d *Datapath) float64 { return d.Gateway.RSS }),
		st.datapathFigure("clients: memory for each, none asking", "B", front, func(d *Datapath) float64 { return d.Gateway.BytesPerClient }),
		given("statements: a second", "/s", pool, func(s Size) float64 { return s.Statements }),
		st.datapathFigure("statements: processor time", "% of a core", pool, func(d *Datapath) float64 { return d.Gateway.Core }),
		st.datapathFigure("statements: processor time for each, all of the process", "µs", pool, func(d *Datapath) float64 { return d.Gateway.CPUPerStatement }),
		st.datapathFigure("statements: connections held to databases", "", pool, func(d *Datapath) float64 { return d.Gateway.DatabaseConnections }),
		st.datapathFigure("statements: connections opened to databases", "/s", pool, func(d *Datapath) float64 { return d.Gateway.NewDatabaseConnections }),
		st.datapathFigure("statements: refused", "% of all", "`policy`", refused),
		computed("decisions: databases known", "", "D", "`policy`", func(s Size) float64 { return s.Databases }),
		st.listFigure("decisions: processor time, by databases listed", "% of a core", "`policy`", func(d *Datapath) float64 { return d.Gateway.Core }),
		st.listFigure("decisions: memory, by databases listed", "MB", "`policy`", func(d *Datapath) float64 { return d.Gateway.RSS }),
	}}
}

func refused(d *Datapath) float64 {
	g := d.Gateway
	if all := g.Served + g.Refused + g.Failed; all > 0 {
		return 100 * g.Refused / all
	}
	return 0
}

// control has the traffic between gateways and with discovery, and its cost.
func (st *dataset) control() Part {
	p := Part{Name: "control", Title: "Control of one gateway"}
	add := func(f ...Figure) { p.Figures = append(p.Figures, f...) }
	sum := "all of the below"
	stat := func(name, unit string, allowance float64, get func(*Scale) *Stat) {
		add(st.scaleFigure(name+", mean", unit, sum, optional(get, func(x *Stat) float64 { return x.Mean })).within(allowance),
			st.scaleFigure(name+", the gateway with the most", unit, sum, optional(get, func(x *Stat) float64 { return x.Max })).within(allowance))
	}
	stat("sum: sent", "B/s", allowedBytes, func(s *Scale) *Stat { return s.Control.BytesOut })
	stat("sum: received", "B/s", allowedBytes, func(s *Scale) *Stat { return s.Control.BytesIn })
	add(st.scaleFigure("sum: sent, the most of any gateway in 10 s", "B/s", sum, optional(func(s *Scale) *Window { return s.Window }, func(w *Window) float64 { return w.BytesOut })).within(allowedBytes))
	add(st.scaleFigure("sum: messages sent, mean", "/s", sum, optional(func(s *Scale) *Stat { return s.Control.Messages }, func(x *Stat) float64 { return x.Mean })))
	stat("sum: processor time, of hollow gateways", "% of a core", allowedCore, func(s *Scale) *Stat { return s.Control.CorePercent })
	core := st.scaleFigure("sum: processor time, as real gateways would take, mean", "% of a core", sum, optional(func(s *Scale) *Stat { return s.Control.CorePercent }, func(x *Stat) float64 { return x.Mean })).within(allowedCore)
	if f, ok := st.calibratedFigure(core, func(c *Control) *Stat { return c.CorePercent }); ok {
		add(f)
	}
	stat("sum: memory, of hollow gateways", "MB", allowedMemory, func(s *Scale) *Stat { return s.Control.MemoryMB })
	for _, n := range st.roleNames() {
		if f, ok := keptState(n); ok {
			add(f)
		}
		add(st.scaleFigure(n+": sent", "B/s", mechanismOf(n), ofRole(n, func(r RoleTraffic) float64 { return r.BytesOut })).within(allowedBytes),
			st.scaleFigure(n+": received", "B/s", mechanismOf(n), ofRole(n, func(r RoleTraffic) float64 { return r.BytesIn })).within(allowedBytes),
			st.scaleFigure(n+": messages sent", "/s", mechanismOf(n), ofRole(n, func(r RoleTraffic) float64 { return r.Messages })))
		switch n {
		case "membership":
			add(computed("membership: a whole list", "B", "40 B x G", mechanismOf(n), func(s Size) float64 { return listEntryBytes * s.Gateways }).within(maxFrame),
				st.scaleFigure("membership: false deaths in a minute", "", mechanismOf(n), always(func(s *Scale) float64 { return perMinute(s.FalseDeaths, s.Seconds) })).within(0))
		case "positions":
			add(computed("positions: news", "/s", "D / 0.2 s", mechanismOf(n), positionUpdates).within(maxPositionRate()),
				computed("positions: sent, from the code", "B/s", "3 x (24 B / 0.1 s + 21 B x min(D / 0.2 s, 300/s))", mechanismOf(n), positionBytesOut).within(allowedBytes),
				st.scaleFigure("positions: age of what is known, p99", "s", mechanismOf(n), positionAge(func(p *PositionAges) *float64 { return p.P99 })))
		case "versions":
			add(computed("versions: time to hear of all, at the least", "s", "G / (8 x 2 / s)", mechanismOf(n), versionsReceiveTime))
		case "budgets":
			add(computed("budgets: holders for each of 100 connections", "", "G / 100", mechanismOf(n), func(s Size) float64 { return s.Gateways / allowedDatabaseConnections }).within(maxHoldersPerConnection))
		}
	}
	maxOf := func(p *DurationStats) float64 { return p.Max }
	add(st.scaleFigure("a change of primary: to the first write that all serve", "s", mechanismOf("primaries"), optional(func(s *Scale) *DurationStats { return s.PrimaryChange }, maxOf)).within(allowedPrimary),
		st.scaleFigure("a change of the list at discovery: in force everywhere", "s", mechanismOf("discovery"), optional(func(s *Scale) *DurationStats { return s.ListInForce }, maxOf)).within(allowedInForce),
		st.scaleFigure("a change of configuration: in force everywhere", "s", "none", optional(func(s *Scale) *DurationStats { return s.InForce }, maxOf)).within(allowedInForce),
		computed("a change of configuration that waits for the restart of each gateway", "s", "day x G / (410 x G / 490)", "SIGHUP, else none", restartAllTime).within(allowedInForce))
	return p
}

func positionAge(get func(*PositionAges) *float64) func(*Scale) (float64, bool) {
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

// database has what one database receives from all gateways.
func (st *dataset) database() Part {
	pool := "`internal/backend`, `policy` (rareResultInterval)"
	// perDatabase is a figure of one gateway's pool as one database sees it from all gateways. Neither it nor heldToRole is a
	// sum of a share of the clients and a share of the list, so no slope applies: only runs of the same size count.
	perDatabase := func(name, unit, formula string, get func(*Datapath) float64) Figure {
		one := st.fitDatapath(get)
		return Figure{Name: name, Unit: unit, Formula: formula, Mechanism: pool, At: func(s Size) Value {
			v := one.measuredAt(s)
			v.X *= s.Gateways / s.Databases
			return v
		}}
	}
	// heldToRole is how many connections all gateways together hold to one database of a role.
	heldToRole := func(name string) Figure {
		one := st.fitDatapath(func(d *Datapath) float64 { return d.StandIn.PerDatabase[name].Mean })
		return Figure{Name: "connections that gateways hold, a " + name, Formula: "held by one gateway x G", Mechanism: pool, At: func(s Size) Value {
			v := one.measuredAt(s)
			v.X *= s.Gateways
			return v
		}}
	}
	return Part{"database", "A database as it sees all gateways", []Figure{
		computed("connections that gateways hold", "", "G x (1 - e^(-2 s x S / D))", pool, connectionsPerDatabase, Statements).within(allowedDatabaseConnections),
		perDatabase("connections that gateways hold, the mean database", "", "held by one gateway x G / D", func(d *Datapath) float64 { return d.Gateway.DatabaseConnections }).within(allowedDatabaseConnections),
		heldToRole("primary").within(allowedDatabaseConnections),
		heldToRole("replica").within(allowedDatabaseConnections),
		computed("statements", "/s", "S x G / D", "`policy`", statementsPerDatabase, Statements),
		perDatabase("connections opened", "/s", "opened by one gateway x G / D", func(d *Datapath) float64 { return d.Gateway.NewDatabaseConnections }),
		computed("connections opened by restarts of gateways", "/s", "410 x G / 490 / day", "`internal/backend`", func(s Size) float64 { return restartsPerDay * s.Gateways / Target.Gateways / secondsPerDay }),
		unknown("processor time", "the database", NotKnown),
		unknown("memory", "the database", NotKnown),
	}}
}

// discovery has the service that provides the list of databases.
func (st *dataset) discovery() Part {
	mechanism := mechanismOf("discovery")
	ofAllGateways := func(get func(RoleTraffic) float64) func(*Scale) (float64, bool) {
		oneGateway := ofRole("discovery", get)
		return func(s *Scale) (float64, bool) {
			y, ok := oneGateway(s)
			return y * float64(s.Gateways), ok
		}
	}
	return Part{"discovery", "Discovery", []Figure{
		computed("watches held", "", "G", mechanism, func(s Size) float64 { return s.Gateways }),
		computed("signs of life sent", "/s", "G / 2 s", mechanism, func(s Size) float64 { return s.Gateways / watchHeartbeat }),
		computed("changes sent, if each of the 860 is one of the list", "/s", "860 x G / day", mechanism, func(s Size) float64 { return changesPerDay * s.Gateways / secondsPerDay }),
		computed("calls by restarts", "/s", "410 x G / 490 / day", mechanism, func(s Size) float64 { return restartsPerDay * s.Gateways / Target.Gateways / secondsPerDay }).within(maxDiscoveryRate),
		computed("calls after an outage, before a crowd is noticed", "/s", "G / min(0.1 s x G, 2.5 s)", mechanism, offeredCalls).within(maxDiscoveryRate),
		computed("after an outage: until the last gateway has its list", "s", "G / (20 / s)", mechanism, lastListTime).within(allowedInForce),
		st.scaleFigure("calls, the most in a second", "/s", mechanism, optional(func(s *Scale) *DiscoveryCalls { return s.Discovery }, func(a *DiscoveryCalls) float64 { return a.MaxPerSecond })).within(maxDiscoveryRate),
		st.scaleFigure("calls, the most in a second while all start", "/s", mechanism, optional(func(s *Scale) *DiscoveryCalls { return s.Discovery }, func(a *DiscoveryCalls) float64 { return a.MaxPerSecondSettling })).within(maxDiscoveryRate),
		st.scaleFigure("bytes sent to all gateways", "B/s", mechanism, ofAllGateways(func(r RoleTraffic) float64 { return r.BytesIn })),
		unknown("processor time", "not of this program", NotKnown),
		unknown("memory", "not of this program", NotKnown),
	}}
}

// machines has the machines reserved for control.
func (st *dataset) machines() Part {
	nothing := func(name, unit string) Figure {
		return computed(name, unit, "nothing of this program runs there", "none", func(Size) float64 { return 0 })
	}
	return Part{"machines", "Each of the 8 machines set aside", []Figure{
		computed("gateways for each machine", "", "G / 8", "none", func(s Size) float64 { return s.Gateways / controlMachines }),
		nothing("state", ""), nothing("messages", "/s"), nothing("processor time", "% of a core"), nothing("memory", "MB"),
	}}
}

// tool has the operators' command that queries all gateways.
func (st *dataset) tool() Part {
	mechanism := "`cmd/lilacctl`, `internal/management`"
	p := Part{Name: "tool", Title: "The operators' tool that asks all"}
	p.Figures = append(p.Figures,
		computed("calls of `lilacctl members`, all at once", "", "G", mechanism, func(s Size) float64 { return s.Gateways }),
		computed("one gateway's answer to `lilacctl members`", "B", "95 B x 2 G: its view and whom it knows", mechanism, func(s Size) float64 { return memberBytes * 2 * s.Gateways }).within(maxAnswer),
		computed("one gateway's answer to `lilacctl versions`", "B", "226 B x G", mechanism, func(s Size) float64 { return versionBytes * s.Gateways }).within(maxAnswer))
	for _, command := range []string{"members", "versions"} {
		p.Figures = append(p.Figures,
			st.toolFigure(command, "answers of all", "MB", mechanism, func(r ToolRow) float64 { return r.BytesRead / 1e6 }),
			st.toolFigure(command, "time, where each gateway answers at once", "s", mechanism, func(r ToolRow) float64 { return r.Seconds }),
			st.toolFigure(command, "processor time", "ms", mechanism, func(r ToolRow) float64 { return r.CPUMS }),
			st.toolFigure(command, "memory", "MB", mechanism, func(r ToolRow) float64 { return r.RSSMB }))
	}
	silent := computed("`lilacctl versions` and `state`: added while the gateways of a zone are silent", "s", "45 x 2 s: one after the other", mechanism, silentZoneWait)
	p.Figures = append(p.Figures, silent, unknown("a gateway's processor time for its answer", "`internal/peer`, `internal/management`", NotRun))
	return p
}

// controlWithMechanism has the control figures of the runs with the mechanism.
func (st *dataset) controlWithMechanism() Part {
	p := (&dataset{runs: st.runs, after: true}).control()
	p.Name, p.Title = "control-after", "Control of one gateway, with the mechanism"
	p.Figures = slices.DeleteFunc(p.Figures, func(f Figure) bool {
		return f.Slope == nil || f.At(Target).Kind == NotRun && f.At(Worst).Kind == NotRun
	})
	for i, f := range p.Figures {
		p.Figures[i].Mechanism = strings.Replace(f.Mechanism, "`internal/fleet/state` (Positions)", "`internal/fleet/antientropy`", 1)
	}
	return p
}

// parts returns all tables of figures.
func (st *dataset) parts() []Part {
	return []Part{st.gateway(), st.control(), st.database(), st.discovery(), st.machines(), st.tool()}
}

// Break is a figure that exceeds its allowance as the fleet grows.
type Break struct {
	Part       string
	Figure     Figure
	At         Size // the first size during growth at which it does
	FirstKnown bool // At is the smallest size for which the figure is known: it may break earlier
	AtAnySize  bool // exceeded at every size
	Value      Value
	progress   float64
}

// growthSteps is the number of sizes tested in each of the two phases of growth.
const growthSteps = 2000

// breaks returns the exceeded figures in the order in which growth reaches them, and the names of those that are not known.
func (st *dataset) breaks() (list []Break, undetermined []string) {
	for _, p := range st.parts() {
		for _, f := range p.Figures {
			if !f.Bounded {
				continue
			}
			b, ok := f.firstExceeded()
			b.Part = p.Title
			switch {
			case ok:
				list = append(list, b)
			case !f.At(Target).known():
				undetermined = append(undetermined, p.Title+": "+f.Name)
			}
		}
	}
	slices.SortStableFunc(list, func(a, b Break) int { return cmp.Compare(a.progress, b.progress) })
	return list, undetermined
}

// firstExceeded searches the sizes from nothing to the target. Sizes smaller than all measured ones are passed over.
func (f Figure) firstExceeded() (Break, bool) {
	b := Break{Figure: f}
	firstKnown := true
	for i := 1; i <= 2*growthSteps; i++ {
		progress := float64(i) / growthSteps
		s := sizeAtProgress(progress)
		if i == 2*growthSteps {
			s = Target
		}
		v := f.At(s)
		if !v.known() || v.BelowMeasured {
			continue
		}
		if v.X > f.Allowance {
			b.At, b.Value, b.progress, b.AtAnySize, b.FirstKnown = s, v, progress, i == 1, firstKnown
			return b, true
		}
		firstKnown = false
	}
	return b, false
}
