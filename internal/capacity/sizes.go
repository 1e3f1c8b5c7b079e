package capacity

import (
	"math"
	"time"
)

// The three sizes of the page.
var (
	// Today is the size of the current load test, which says nothing about clients: 0.
	Today = Size{Name: "today", Gateways: 300, Databases: 120, Regions: 1}
	// Target is the size expected within two years.
	Target = Size{Name: "target", Gateways: 490, Databases: 810, Regions: 3, Connections: 5102, Statements: 2041}
	// Worst is the worst hour: the maximum of all that can happen at once. Cases that exclude each other are in worstHourCases.
	Worst = Size{Name: "worst hour", Gateways: 490, Databases: 810, Regions: 3, Connections: 7653, Statements: 3061}

	zoneLost       = Size{Name: "a zone gone", Gateways: 490 - 45, Databases: 810 - 74, Regions: 3, Connections: 5102 * 490 / (490 - 45), Statements: 2041 * 490 / (490 - 45)}
	regionLost     = Size{Name: "a region gone", Gateways: 490 - 163, Databases: 810 - 270, Regions: 2, Connections: 7653, Statements: 3061}
	regionsHealing = Size{Name: "regions healing", Gateways: 490, Databases: 810, Regions: 3, Connections: 5102, Statements: 2041}
	worstHourCases = []Size{zoneLost, regionLost, regionsHealing}
)

// Allowances and other given values.
const (
	allowedCore                = 1.9  // percent of a core for control
	allowedMemory              = 256  // MB for control
	allowedBytes               = 5000 // B/s for control, sent, and as much received
	allowedInForce             = 6    // s until a change is in force everywhere
	allowedPrimary             = 8    // s from the loss of a primary to the first write that every gateway serves
	allowedDatabaseConnections = 100  // PostgreSQL's default max_connections
	controlMachines            = 8    // machines reserved for control
	maxDiscoveryRate           = 20.0 // calls per second to discovery, upper limit of the pacing
	secondsPerDay              = 24 * 60 * 60.0
	restartsPerDay             = 410.0 // one every 210 s
	changesPerDay              = 860.0 // of the configuration, one every 100 s
	watchHeartbeat             = 2.0   // s between two heartbeats of a watch
	zoneGateways               = 45.0
	toolTimeout                = 2.0 // s, --timeout of lilacctl
	clientIdleTimeout          = 5.0 // s after which an idle client connection is closed
	maxHoldersPerConnection    = 1.0 // holders of a budget for each connection that its home can grant
)

// Values that the program's source has too. TestInputsMatchTheSource checks that they are equal.
const (
	rareResultInterval     = 2 * time.Second         // policy: also how long a rarely used connection to a database is kept
	listCallInterval       = 100 * time.Millisecond  // policy
	maxListCallDelay       = 2500 * time.Millisecond // policy
	minPositionStep        = 200 * time.Millisecond  // peer: a smaller advance of a position is not sent
	positionGossipInterval = 100 * time.Millisecond  // fleet/state, GossipInterval
	positionsPerMessage    = 30                      // fleet/state
	versionsPerMessage     = 8                       // fleet/audit
	versionFanout          = 2                       // fleet/audit, reportFanout
	versionReportInterval  = time.Second             // fleet/audit, reportInterval
	maxMembers             = 4096                    // fleet, MaxMembers
	maxFrame               = 480 << 10               // B, peer
	maxAnswer              = 8 << 20                 // B, lilacctl, maxAnswerBytes
	idleCloseDivisor       = 4                       // front starts closing idle clients when they use 1/4 of the descriptors (ARCHITECTURE.md, Limits)
	memberBytes            = 95                      // B of JSON for a member in GET /v1/fleet/members, name of four letters; TestSizesOfTypicalEntries
	versionBytes           = 226                     // B of JSON for a gateway in GET /v1/fleet/versions; the same test
	positionBytes          = 21                      // B of CBOR for a position, name of eight letters; the same test
	envelopeBytes          = 24                      // B of a datagram besides the positions
	positionFanout         = 3                       // fleet/state, fanout
	listEntryBytes         = 40                      // B of CBOR for an entry of a whole member list; the same test
)

// sizeAtProgress returns the size during growth from nothing (0) over today (1) to the target (2). Up to today gateways and
// databases grow in proportion, then each linearly to its target. Each database always gets the target's statement rate, and a
// gateway has as many clients per statement as at the target.
func sizeAtProgress(progress float64) Size {
	s := Size{Regions: Today.Regions}
	if progress <= 1 {
		s.Gateways, s.Databases = progress*Today.Gateways, progress*Today.Databases
	} else {
		s.Gateways = Today.Gateways + (progress-1)*(Target.Gateways-Today.Gateways)
		s.Databases = Today.Databases + (progress-1)*(Target.Databases-Today.Databases)
		if progress >= regionsFromProgress {
			s.Regions = Target.Regions
		}
	}
	load := s.Databases / Target.Databases * Target.Gateways / s.Gateways
	s.Connections, s.Statements = load*Target.Connections, load*Target.Statements
	return s
}

// targetRTT is the round-trip time between two regions in ms, as in the plans. It is an assumption: the operators name none.
const targetRTT = 120

// regionsFromProgress is where during growth the regions are added: an assumption, half way from today to the target.
const regionsFromProgress = 1.5

// seconds converts a duration for the formulas.
func seconds(d time.Duration) float64 { return d.Seconds() }

// connectionsPerDatabase returns how many connections all gateways together hold to one database: each gateway holds one if
// it sent a statement within rareResultInterval, statements coming at random.
func connectionsPerDatabase(s Size) float64 {
	return s.Gateways * (1 - math.Exp(-seconds(rareResultInterval)*s.Statements/s.Databases))
}

// returningClients returns how many clients of one gateway reconnect per second after an idle close. Pauses between a client's
// statements are exponential with the mean Connections/Statements; those longer than clientIdleTimeout lead to a close.
func returningClients(s Size) float64 {
	if s.Connections == 0 {
		return 0
	}
	return s.Statements * math.Exp(-clientIdleTimeout*s.Statements/s.Connections)
}

// wantedDescriptors returns how many descriptors one gateway should be allowed: front starts closing idle clients when they
// use a quarter of them, and each database may have two connections.
func wantedDescriptors(s Size) float64 { return idleCloseDivisor*s.Connections + 2*s.Databases }

// statementsPerDatabase returns the statements per second at one database.
func statementsPerDatabase(s Size) float64 { return s.Statements * s.Gateways / s.Databases }

// positionUpdates returns how many positions per second gateways want to send: one per database every minPositionStep.
func positionUpdates(s Size) float64 { return s.Databases / seconds(minPositionStep) }

// maxPositionRate returns how many positions per second one gateway can send on.
func maxPositionRate() float64 { return positionsPerMessage / seconds(positionGossipInterval) }

// positionBytesOut returns the bytes per second that one gateway sends for positions.
func positionBytesOut(s Size) float64 {
	return positionFanout * (envelopeBytes/seconds(positionGossipInterval) + positionBytes*min(positionUpdates(s), maxPositionRate()))
}

// offeredCalls returns the calls per second to discovery when all gateways lose their watch at once, before discovery refuses
// any for overload.
func offeredCalls(s Size) float64 {
	return s.Gateways / min(seconds(listCallInterval)*s.Gateways, seconds(maxListCallDelay))
}

// lastListTime returns how long after an outage the last gateway gets its list, at the highest rate that discovery is paced at.
func lastListTime(s Size) float64 { return s.Gateways / maxDiscoveryRate }

// restartAllTime returns how many seconds it takes to restart each gateway once at the daily rate of restarts.
func restartAllTime(s Size) float64 {
	return secondsPerDay * s.Gateways / (restartsPerDay * s.Gateways / Target.Gateways)
}

// silentZoneWait returns how many seconds the tool waits for the gateways of a lost zone when it queries them one by one.
func silentZoneWait(Size) float64 { return zoneGateways * toolTimeout }

// versionsReceiveTime returns the shortest time in seconds in which one gateway receives the versions of all.
func versionsReceiveTime(s Size) float64 {
	return s.Gateways / (versionsPerMessage * versionFanout / seconds(versionReportInterval))
}
