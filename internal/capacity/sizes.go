package capacity

import (
	"math"
	"time"
)

// The three sizes of the page.
var (
	// Today is the standing test's. It tells nothing of clients: 0.
	Today = Size{Name: "today", Gateways: 300, Databases: 120, Regions: 1}
	// Target is what is expected within two years.
	Target = Size{Name: "target", Gateways: 490, Databases: 810, Regions: 3, Connections: 5102, Statements: 2041}
	// Worst is the worst hour: all that it holds at once at its most. What cannot be at once is in worstHours.
	Worst = Size{Name: "worst hour", Gateways: 490, Databases: 810, Regions: 3, Connections: 7653, Statements: 3061}

	zoneGone   = Size{Name: "a zone gone", Gateways: 490 - 45, Databases: 810 - 74, Regions: 3, Connections: 5102 * 490 / (490 - 45), Statements: 2041 * 490 / (490 - 45)}
	regionGone = Size{Name: "a region gone", Gateways: 490 - 163, Databases: 810 - 270, Regions: 2, Connections: 7653, Statements: 3061}
	healing    = Size{Name: "regions healing", Gateways: 490, Databases: 810, Regions: 3, Connections: 5102, Statements: 2041}
	worstHours = []Size{zoneGone, regionGone, healing}
)

// What is allowed.
const (
	allowedCore     = 1.9  // percent of a core for control
	allowedMemory   = 256  // MB for control
	allowedBytes    = 5000 // B/s for control, sent, and as much received
	allowedInForce  = 6    // s until a change is in force everywhere
	allowedPrimary  = 8    // s from a primary's end to the first write that every gateway serves
	allowedAtOne    = 100  // connections: PostgreSQL's default
	machinesSet     = 8    // machines set aside for control
	discoveryLeast  = 10.0 // calls a second at which discovery is paced, at least
	discoveryMost   = 20.0 // and at most
	day             = 24 * 60 * 60.0
	restartsADay    = 410.0 // one each 210 s
	changesADay     = 860.0 // of the configuration, one each 100 s
	beatEvery       = 2.0   // s between two signs of life of a watch
	zoneGateways    = 45.0
	toolWaits       = 2.0 // s, --timeout of lilacctl
	idleAfter       = 5.0 // s after which a client's connection that asks nothing is closed
	holdersAtWhole1 = 1.0 // holders of a budget for each unit that its home parts can be
)

// What stands in the code as well. TestInputsStandInTheCode holds these against it.
const (
	keptFor        = 2 * time.Second         // policy, seldom: a connection to a database that is seldom asked
	askPace        = 100 * time.Millisecond  // policy, askPace
	askMost        = 2500 * time.Millisecond // policy, askMost
	positionsStep  = 200 * time.Millisecond  // peer, positionStep: a position that rose by less is no news
	positionsTick  = 100 * time.Millisecond  // fleet/state, Tick
	positionsSend  = 30                      // fleet/state, perSend
	versionsSend   = 8                       // fleet/audit, perSend
	versionsTo     = 2                       // fleet/audit, tellTo
	versionsEvery  = time.Second             // fleet/audit, tellEvery
	membersMost    = 4096                    // fleet, MostMembers
	listMost       = 480 << 10               // B, peer, mostFrame
	answerMost     = 8 << 20                 // B, lilacctl, mostAnswer
	clientsQuarter = 4                       // of the descriptors front closes idle clients from a quarter on (ARCHITECTURE.md, Bounds)
	memberBytes    = 95                      // B of JSON for a member in GET /v1/fleet/members, name of four letters; TestBytesOfATypicalEntry
	versionBytes   = 226                     // B of JSON for a gateway in GET /v1/fleet/versions; the same test
	positionBytes  = 21                      // B of CBOR for a position, name of eight letters; the same test
	envelopeBytes  = 24                      // B of a datagram besides them; the same test
	positionsTo    = 3                       // fleet/state, fanout
	listEntryBytes = 40                      // B of CBOR for an entry of a whole list; the same test
)

// growth is the size on the way from nothing (0) over today (1) to the target (2). On the first part gateways and
// databases grow in proportion, on the second each to its target. A database is asked for the target's statements all along,
// and a gateway has the target's clients for each statement.
func growth(u float64) Size {
	s := Size{Regions: Today.Regions}
	if u <= 1 {
		s.Gateways, s.Databases = u*Today.Gateways, u*Today.Databases
	} else {
		s.Gateways = Today.Gateways + (u-1)*(Target.Gateways-Today.Gateways)
		s.Databases = Today.Databases + (u-1)*(Target.Databases-Today.Databases)
		if u >= regionsFrom {
			s.Regions = Target.Regions
		}
	}
	load := s.Databases / Target.Databases * Target.Gateways / s.Gateways
	s.Connections, s.Statements = load*Target.Connections, load*Target.Statements
	return s
}

// targetRTT, in ms, is between two regions: the plans' and an assumption, for the operators tell none.
const targetRTT = 120

// regionsFrom is where on that way the regions come: an assumption, half way from today to the target.
const regionsFrom = 1.5

// seconds of a duration, for formulas.
func seconds(d time.Duration) float64 { return d.Seconds() }

// heldConnections are those that all gateways together hold to one database: each gateway holds one while it asked
// within keptFor, statements coming at random.
func heldConnections(s Size) float64 {
	return s.Gateways * (1 - math.Exp(-seconds(keptFor)*s.Statements/s.Databases))
}

// clientsBack are clients of one gateway whose connection idled out and who come again, a second: each statement is
// followed by a pause longer than idleAfter with the chance of an exponential pause.
func clientsBack(s Size) float64 {
	if s.Connections == 0 {
		return 0
	}
	return s.Statements * math.Exp(-idleAfter*s.Statements/s.Connections)
}

// descriptors are those that one gateway wants: front lets idle clients go from a quarter of all on, and each database may have two
// connections.
func descriptors(s Size) float64 { return clientsQuarter*s.Connections + 2*s.Databases }

// databaseStatements are those a second at one database.
func databaseStatements(s Size) float64 { return s.Statements * s.Gateways / s.Databases }

// positionNews are positions a second that are news somewhere: each database's each positionsStep.
func positionNews(s Size) float64 { return s.Databases / seconds(positionsStep) }

// positionRoom are positions a second that one gateway sends on at most.
func positionRoom() float64 { return positionsSend / seconds(positionsTick) }

// positionBytesOut are those that one gateway sends a second for positions.
func positionBytesOut(s Size) float64 {
	return positionsTo * (envelopeBytes/seconds(positionsTick) + positionBytes*min(positionNews(s), positionRoom()))
}

// offeredCalls are calls a second to discovery when all gateways lost their watch at once, before any was refused for a
// crowd.
func offeredCalls(s Size) float64 {
	return s.Gateways / min(seconds(askPace)*s.Gateways, seconds(askMost))
}

// lastAnswered is how long after an outage the last gateway has its list, at the most that discovery is paced at.
func lastAnswered(s Size) float64 { return s.Gateways / discoveryMost }

// restartOfAll is how long it takes, in s, until each gateway was restarted once at the pace of a day.
func restartOfAll(s Size) float64 {
	return day * s.Gateways / (restartsADay * s.Gateways / Target.Gateways)
}

// silentZone is how long, in s, the tool waits for the gateways of a zone that is gone where it asks one after the other.
func silentZone(Size) float64 { return zoneGateways * toolWaits }

// versionsHeard is the least time, in s, in which one gateway hears the versions of all.
func versionsHeard(s Size) float64 {
	return s.Gateways / (versionsSend * versionsTo / seconds(versionsEvery))
}
