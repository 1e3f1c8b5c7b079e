// Package control builds what a gateway knows and decides by, without clients and connections to databases: the decision
// module, the list, and its ties to the others of its fleet. The program adds both ends; hollow gateways add neither.
package control

import (
	"fmt"
	"log"
	"net/netip"
	"time"

	"lilaccove/internal/discovery"
	"lilaccove/internal/fleet"
	"lilaccove/internal/fleet/state"
	"lilaccove/internal/gateway"
	"lilaccove/internal/invariant"
	"lilaccove/internal/netloop"
	"lilaccove/internal/peer"
	"lilaccove/internal/settings"
	"lilaccove/internal/stats"
	"lilaccove/internal/sys"
	"lilaccove/policy"
)

// Side is the control side of one gateway. Everything runs on the loop's goroutine. Use New, then Connect, then Join.
type Side struct {
	Loop          *netloop.Loop
	Core          *gateway.Gateway
	Watch         *discovery.Client
	Counts        *stats.Counters
	Guard         *invariant.Guard
	DiscoveryAddr netip.AddrPort      // where discovery was told to be
	Links         *peer.Links         // to the fleet; nil: without a fleet file
	Audit         *peer.AuditRecorder // what was done; only with links

	cfg       Config
	set       settings.Settings
	party     *fleet.File
	alone     map[string]bool // databases left out by a word to this gateway alone; only with links
	drain     func(on bool)
	changed   []func() // what follows from a new list
	positions *peer.Positions
	primaries *peer.Positions
	subsets   *subsets
	broken    netloop.RateLimitedLog
}

// violationLines are in the log in a second at most; the figures count all.
const violationLines = 20

// violated logs what must never be.
func (s *Side) violated(v invariant.Violation) {
	s.broken.Printf(s.Loop.Now(), "event=violation name=%s request=%q client=%d database=%s list=%d transition=%s by_ms=%d",
		v.Name, v.Request, v.Client, v.Database, s.Watch.ListVersion(), v.Transition, v.Excess.Milliseconds())
}

// New makes one by a configuration, its settings as they were read, and a fleet file; nil: in no fleet.
func New(loop *netloop.Loop, cfg Config, set settings.Settings, party *fleet.File) (*Side, error) {
	ask, err := netip.ParseAddrPort(cfg.Discovery)
	if err != nil {
		return nil, fmt.Errorf("GW_DISCOVERY: %w", err)
	}
	router, err := policy.New(adapt(set), seed(cfg.Seed))
	if err != nil {
		return nil, err
	}
	s := &Side{Loop: loop, DiscoveryAddr: ask, Counts: stats.New(set.Classes), cfg: cfg, set: set, party: party, alone: map[string]bool{},
		broken: netloop.RateLimitedLog{MaxPerSecond: violationLines}}
	s.Core = gateway.New(loop, router, set.MaxOpen, s.Counts)
	s.Watch = discovery.New(loop, s.Core, ask, set.Zones)
	s.Guard = invariant.New(set.Policy, s.violated)
	s.Core.SetGuard(s.Guard)
	if party == nil {
		return s, nil
	}
	if s.Links, err = peer.New(loop, cfg.Name, zone(set), party, loop.Now()); err != nil {
		return nil, err
	}
	if s.Audit, err = s.Links.StartAudit(func(class int) bool { return set.Policy.Classes[class].Level == policy.Write }); err != nil {
		s.Links.Close()
		return nil, fmt.Errorf("audit file: %w", err)
	}
	return s, nil
}

// Budgets are this gateway's parts of the fleet's budgets; nil: none are divided.
func (s *Side) Budgets() *peer.Budgets {
	if s.Links == nil {
		return nil
	}
	return s.Links.Budgets()
}

// Connect sets what the gateway reaches databases by, and has it know the list from before its start.
func (s *Side) Connect(b gateway.Backends) {
	s.Core.Connect(b, s.Watch)
	if err := s.Watch.LoadCachedList(s.cfg.CachedList); err != nil {
		log.Printf("event=bad_known err=%q", err) // discovery has a newer one
	}
}

// Join ties what the fleet tells to what the gateway does; drain is called whenever the fleet's word drains it, or
// has it work again.
func (s *Side) Join(drain func(on bool)) {
	if s.party == nil {
		return
	}
	s.drain = drain
	core, links := s.Core, s.Links
	core.SetObserver(s.Audit)
	s.Audit.SetList(core.Hosts())
	s.changed = append(s.changed, func() { s.Audit.SetList(core.Hosts()) })
	links.OnOverride(s.word)
	links.OnFence(core.Fence)
	links.ShareVersions(peer.LocalVersions{
		ListVersion: s.Watch.ListVersion, RequestList: s.Watch.Resubscribe, ConfigDigest: sameSettings(s.cfg.Settings), FleetFileDigest: digest(s.party.Common()), Build: build(),
	})
	if s.party.RetryBudget > 0 {
		core.FleetEvent(policy.RetryBudget{Share: s.party.RetryBudget})
	}
	if s.party.Subsets {
		s.subsets = &subsets{loop: s.Loop, core: core, links: links, zones: s.set.Zones}
		s.changed = append(s.changed, s.subsets.stir)
		links.OnView(s.subsets.stir)
		s.subsets.stir()
	}
	if s.party.Positions {
		s.positions = links.SharePositions(core.InList, core.Hosts, core.FleetEvent)
		core.OnPosition(s.ObservePosition)
		s.changed = append(s.changed, s.positions.ListChanged)
	}
	if s.party.Primaries {
		s.primaries = links.SharePrimaries(core.InList, core.Hosts, core.FleetEvent)
		core.OnPrimary(s.ObservePrimary)
		s.changed = append(s.changed, s.primaries.ListChanged)
	}
	core.OnList(func() {
		for _, do := range s.changed {
			do()
		}
	})
}

// ObservePosition takes in how far a database says that it has come.
func (s *Side) ObservePosition(host policy.HostID, at time.Duration) {
	if s.positions != nil {
		s.positions.Observe(host, at-s.set.Policy.PositionGranularity) // a write's position is rounded up
	}
}

// ObservePrimary takes in that a database has answered as primary, and when it was asked.
func (s *Side) ObservePrimary(host policy.HostID, at time.Duration) {
	if s.primaries != nil {
		s.primaries.Observe(host, at)
	}
}

// PositionAges are how old the positions of databases are that this gateway knows from its own and others' answers.
func (s *Side) PositionAges() []time.Duration {
	if s.positions == nil {
		return nil
	}
	return s.positions.Ages()
}

// PositionUpdates is how many positions were news so far, from databases and from other gateways.
func (s *Side) PositionUpdates() (learned, heard uint64) {
	if s.positions == nil {
		return 0, 0
	}
	return s.positions.UpdateCounts()
}

// Preferred are the databases that this gateway uses first; none: the settings say which.
func (s *Side) Preferred() []policy.HostID {
	if s.subsets == nil {
		return nil
	}
	return s.subsets.last
}

// Step goes behind all that a round has brought.
func (s *Side) Step() (again bool) {
	if s.Links != nil {
		s.Links.CheckFence()
	}
	return s.Core.Step()
}

// Close ends the records and writes what is not on the disk yet.
func (s *Side) Close() {
	if s.Links != nil {
		s.Audit.Close()
		s.Links.Close()
	}
}

// Traffic tells what each role of the control side has sent and taken in, by its name.
func (s *Side) Traffic() map[string]stats.Traffic {
	all := map[string]stats.Traffic{}
	if s.Links != nil {
		all = s.Links.Traffic()
	}
	all["discovery"] = s.Watch.Traffic()
	return all
}

// Metrics adds what was violated and given up, and the figures of the fleet, a line each; without one there are none.
func (s *Side) Metrics(b []byte) []byte {
	b = s.Core.Metrics(s.Guard.Metrics(b))
	if s.Links == nil {
		return b
	}
	return s.Watch.Traffic().Append(s.Links.Metrics(b), "discovery")
}

// SetLocalOverride notes a word on a database to this gateway alone; it tells what holds: the fleet's word leaves it out as well.
func (s *Side) SetLocalOverride(id string, out bool) bool {
	if s.Links == nil {
		return out
	}
	if s.alone[id] = out; !out {
		delete(s.alone, id)
	}
	return out || s.Links.OverrideActive(id)
}

// LocalOverrideActive tells whether a word to this gateway alone leaves a database out.
func (s *Side) LocalOverrideActive(id string) bool { return s.alone[id] }

// word does what operators told the whole fleet. It binds at once, also of a database that the list does not name yet.
func (s *Side) word(id string, out bool) {
	if name, ok := state.ParseGatewayKey(id); ok {
		if name == s.Links.Name() {
			s.drain(out)
		}
		return
	}
	s.Audit.Override(id, out)
	s.Core.SetSuspended(policy.HostID(id), out || s.alone[id])
}

// Reload reads the file at GW_CONFIG again, after SIGHUP. What it says of discovery goes before GW_DISCOVERY, which is
// as old as the process; all else is for the next start. A file that is no good changes nothing; one that cannot be read for
// what the system lacks is read again.
func (s *Side) Reload(env func(string) string) { s.reload(env, s.Loop.Now()+readMost) }

func (s *Side) reload(env func(string) string, late time.Duration) {
	var cfg struct {
		Discovery string `json:"discovery"`
	}
	err := read(env, &cfg)
	var ask netip.AddrPort
	if err == nil {
		ask, err = netip.ParseAddrPort(cfg.Discovery)
	}
	if err != nil {
		log.Printf("event=reload_failed err=%q", err)
		if sys.IsTransient(err) && s.Loop.Now() < late {
			s.Loop.At(s.Loop.Now()+readPause, func() { s.reload(env, late) })
		}
		return
	}
	log.Printf("event=reloaded discovery=%s", ask)
	s.Watch.SetAddr(ask)
}
