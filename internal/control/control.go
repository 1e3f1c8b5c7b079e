// Package control builds the control side of a gateway: the decision module, the watch of discovery's list, and the links
// to the other gateways of its fleet. It has neither clients nor connections to databases: the program adds both, hollow
// gateways add none.
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

// Side is the control side of one gateway. All its methods run on the loop's goroutine. Call New, then Connect, then Join.
type Side struct {
	Loop          *netloop.Loop
	Core          *gateway.Gateway
	Watch         *discovery.Client
	Counts        *stats.Counters
	Guard         *invariant.Guard
	DiscoveryAddr netip.AddrPort      // discovery's address in the configuration at startup
	Links         *peer.Links         // to the other gateways; nil without a fleet file
	Audit         *peer.AuditRecorder // nil without a fleet file

	cfg            Config
	settings       settings.Settings
	fleetFile      *fleet.File
	localOverrides map[string]bool // databases suspended on this gateway only; used only with a fleet file
	onDrain        func(on bool)
	onListChange   []func() // called after each change of the list
	positions      *peer.Positions
	primaries      *peer.Positions
	subsets        *subsets
	violationLog   netloop.RateLimitedLog
}

// maxViolationLinesPerSecond limits the log lines only: the metrics count every violation.
const maxViolationLinesPerSecond = 20

// maxStallDivisor: attempts decided before a stall of this part of the drain grace are decided again after it.
const maxStallDivisor = 2

// logViolation logs the violation of an invariant.
func (s *Side) logViolation(violation invariant.Violation) {
	s.violationLog.Printf(s.Loop.Now(), "event=violation name=%s request=%q client=%d database=%s list=%d transition=%s by_ms=%d",
		violation.Name, violation.Request, violation.Client, violation.Database, s.Watch.ListVersion(), violation.Transition,
		violation.Excess.Milliseconds())
}

// New builds a control side from a configuration, its decoded settings and a fleet file, which is nil outside a fleet.
func New(loop *netloop.Loop, cfg Config, decoded settings.Settings, fleetFile *fleet.File) (*Side, error) {
	discoveryAddr, err := netip.ParseAddrPort(cfg.Discovery)
	if err != nil {
		return nil, fmt.Errorf("GW_DISCOVERY: %w", err)
	}
	router, err := policy.New(adaptSettings(decoded), parseSeed(cfg.Seed))
	if err != nil {
		return nil, err
	}
	s := &Side{Loop: loop, DiscoveryAddr: discoveryAddr, Counts: stats.New(decoded.Classes), cfg: cfg, settings: decoded,
		fleetFile: fleetFile, localOverrides: map[string]bool{},
		violationLog: netloop.RateLimitedLog{MaxPerSecond: maxViolationLinesPerSecond}}
	s.Core = gateway.New(loop, router, decoded.MaxOpen, s.Counts)
	s.Watch = discovery.New(loop, s.Core, discoveryAddr, decoded.Zones)
	s.Guard = invariant.New(decoded.Policy, s.logViolation)
	s.Core.SetGuard(s.Guard)
	s.Core.SetMaxStall(decoded.Policy.DrainGrace / maxStallDivisor)
	if fleetFile == nil {
		return s, nil
	}
	if s.Links, err = peer.New(loop, cfg.Name, zoneName(decoded), fleetFile, loop.Now()); err != nil {
		return nil, err
	}
	if s.Audit, err = s.Links.StartAudit(func(class int) bool { return decoded.Policy.Classes[class].Level == policy.Write }); err != nil {
		s.Links.Close()
		return nil, fmt.Errorf("audit file: %w", err)
	}
	return s, nil
}

// Budgets returns this gateway's leases of the fleet's connection budgets; nil if no budgets are shared.
func (s *Side) Budgets() *peer.Budgets {
	if s.Links == nil {
		return nil
	}
	return s.Links.Budgets()
}

// Connect sets the backends through which the gateway reaches databases, and loads the configuration's cached list.
func (s *Side) Connect(backends gateway.Backends) {
	s.Core.Connect(backends, s.Watch)
	if err := s.Watch.LoadCachedList(s.cfg.CachedList); err != nil {
		log.Printf("event=bad_known err=%q", err) // not fatal: discovery has a newer list
	}
}

// Join connects the links of the fleet to the gateway's decisions. onDrain is called whenever a fleet-wide override drains
// or activates this gateway.
func (s *Side) Join(onDrain func(on bool)) {
	if s.fleetFile == nil {
		return
	}
	s.onDrain = onDrain
	core, links := s.Core, s.Links
	core.SetObserver(s.Audit)
	s.Audit.SetList(core.Hosts())
	s.onListChange = append(s.onListChange, func() { s.Audit.SetList(core.Hosts()) })
	links.OnOverride(s.applyOverride)
	links.OnFence(core.Fence)
	links.ShareVersions(peer.LocalVersions{
		ListVersion: s.Watch.ListVersion, RequestList: s.Watch.Resubscribe, ConfigDigest: sharedSettingsDigest(s.cfg.Settings),
		FleetFileDigest: shortDigest(s.fleetFile.Common()), Build: buildRevision(),
	})
	if s.fleetFile.RetryBudget > 0 {
		core.FleetEvent(policy.RetryBudget{Share: s.fleetFile.RetryBudget})
	}
	if s.fleetFile.Subsets {
		s.subsets = &subsets{loop: s.Loop, core: core, links: links, zones: s.settings.Zones}
		s.onListChange = append(s.onListChange, s.subsets.schedule)
		links.OnView(s.subsets.schedule)
		s.subsets.schedule()
	}
	if s.fleetFile.Positions {
		s.positions = links.SharePositions(core.InList, core.Hosts, core.FleetEvent)
		core.OnPosition(s.ObservePosition)
		s.onListChange = append(s.onListChange, s.positions.ListChanged)
	}
	if s.fleetFile.Primaries {
		s.primaries = links.SharePrimaries(core.InList, core.Hosts, core.FleetEvent)
		core.OnPrimary(s.ObservePrimary)
		s.onListChange = append(s.onListChange, s.primaries.ListChanged)
	}
	core.OnList(func() {
		for _, callback := range s.onListChange {
			callback()
		}
	})
}

// ObservePosition records the replication position that a database reported.
func (s *Side) ObservePosition(host policy.HostID, position time.Duration) {
	if s.positions != nil {
		s.positions.Observe(host, position-s.settings.Policy.PositionGranularity) // a write's position is rounded up
	}
}

// ObservePrimary records that a database answered as primary to a request sent at askedAt.
func (s *Side) ObservePrimary(host policy.HostID, askedAt time.Duration) {
	if s.primaries != nil {
		s.primaries.Observe(host, askedAt)
	}
}

// PositionAges returns the ages of the known replication positions, from this gateway's answers and from other gateways.
func (s *Side) PositionAges() []time.Duration {
	if s.positions == nil {
		return nil
	}
	return s.positions.Ages()
}

// PositionUpdates returns how many position updates so far were newer than what was known: learned from databases, and
// received from other gateways.
func (s *Side) PositionUpdates() (learned, received uint64) {
	if s.positions == nil {
		return 0, 0
	}
	return s.positions.UpdateCounts()
}

// Preferred returns the databases that this gateway prefers as its subset; none if the fleet file does not enable subsets.
func (s *Side) Preferred() []policy.HostID {
	if s.subsets == nil {
		return nil
	}
	return s.subsets.preferred
}

// Step processes the events of one round of the loop. It reports whether it must be called again at once.
func (s *Side) Step() (again bool) {
	if s.Links != nil {
		s.Links.CheckFence()
	}
	return s.Core.Step()
}

// Close ends the audit records, closes the links and writes what is not on disk yet.
func (s *Side) Close() {
	if s.Links != nil {
		s.Audit.Close()
		s.Links.Close()
	}
}

// Traffic returns what each role of the control side has sent and received, by the role's name.
func (s *Side) Traffic() map[string]stats.Traffic {
	byRole := map[string]stats.Traffic{}
	if s.Links != nil {
		byRole = s.Links.Traffic()
	}
	byRole["discovery"] = s.Watch.Traffic()
	return byRole
}

// Metrics appends the counts of violations and of requests that were given up, and in a fleet the metrics of its links, one
// per line.
func (s *Side) Metrics(b []byte) []byte {
	b = s.Core.Metrics(s.Guard.Metrics(b))
	if s.Links == nil {
		return b
	}
	return s.Watch.Traffic().Append(s.Links.Metrics(b), "discovery")
}

// SetLocalOverride records an override of a database for this gateway only. It reports whether the database is suspended
// as a result: a fleet-wide override may suspend it as well.
func (s *Side) SetLocalOverride(id string, active bool) bool {
	if s.Links == nil {
		return active
	}
	if s.localOverrides[id] = active; !active {
		delete(s.localOverrides, id)
	}
	return active || s.Links.OverrideActive(id)
}

// LocalOverrideActive reports whether an override for this gateway only suspends a database.
func (s *Side) LocalOverrideActive(id string) bool { return s.localOverrides[id] }

// applyOverride applies a fleet-wide override at once, even to a database that the list does not contain yet.
func (s *Side) applyOverride(id string, active bool) {
	if name, ok := state.ParseGatewayKey(id); ok {
		if name == s.Links.Name() {
			s.onDrain(active)
		}
		return
	}
	s.Audit.Override(id, active)
	s.Core.SetSuspended(policy.HostID(id), active || s.localOverrides[id])
}

// Reload reads the file at GW_CONFIG again, after SIGHUP. Its discovery address takes precedence over GW_DISCOVERY, which
// is as old as the process; all other fields take effect at the next start. An invalid file changes nothing. Reading is
// retried if it failed for a transient lack of system resources.
func (s *Side) Reload(env func(string) string) { s.reload(env, s.Loop.Now()+reloadRetryTime) }

func (s *Side) reload(env func(string) string, deadline time.Duration) {
	var cfg struct {
		Discovery string `json:"discovery"`
	}
	err := readConfigFile(env, &cfg)
	var discoveryAddr netip.AddrPort
	if err == nil {
		discoveryAddr, err = netip.ParseAddrPort(cfg.Discovery)
	}
	if err != nil {
		log.Printf("event=reload_failed err=%q", err)
		if sys.IsTransient(err) && s.Loop.Now() < deadline {
			s.Loop.At(s.Loop.Now()+reloadRetryInterval, func() { s.reload(env, deadline) })
		}
		return
	}
	log.Printf("event=reloaded discovery=%s", discoveryAddr)
	s.Watch.SetAddr(discoveryAddr)
}
