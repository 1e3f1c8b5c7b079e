package scale

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"lilaccove/internal/hollow"
	"lilaccove/internal/stats"
)

// gatewayState is the run's state of one gateway. The run's lock guards it.
type gatewayState struct {
	name            string
	index           int
	zone            int
	real            bool // runs as a process of the whole program
	live            bool
	startedAt       time.Time // last start
	reported        bool      // it has reported since its last start
	downtimes       []period
	previousTraffic map[string]stats.Traffic // totals of its previous processes
	currentTraffic  map[string]stats.Traffic // of the current process
	previousCPUMS   float64
	currentCPUMS    float64
	samples         []sample
}

// period is the time between from and to; a zero to means that it has not ended.
type period struct{ from, to time.Time }

// includes reports whether the period, extended by grace, contains at.
func (s period) includes(at time.Time, grace time.Duration) bool {
	return !s.from.After(at) && (s.to.IsZero() || s.to.Add(grace).After(at))
}

// sample is the state of a gateway at one time. Counts are totals over all its processes.
type sample struct {
	at             time.Time
	cpuMS          float64
	sharedCPUMS    float64 // part of cpuMS: its share of what its process spends for all gateways together
	rssBytes       float64
	lagMS          float64
	members        int
	digest         uint64
	listVersion    int64
	knownPositions int
	positionAgeMS  [2]float64 // p50 and p99 over the known positions
	roles          map[string]stats.Traffic
}

func (s *sample) totalTraffic() (c stats.Traffic) {
	for _, r := range s.roles {
		c = addTraffic(c, r)
	}
	return c
}

// addReport adds a sample from a report. cpuShare is the gateway's share, in ms, of what its process spends for all gateways together.
func (g *gatewayState) addReport(at time.Time, report *hollow.GatewayState, rssBytes, cpuShare float64) {
	for role, traffic := range report.Roles {
		if previous := g.currentTraffic[role]; traffic.OutBytes < previous.OutBytes || traffic.InBytes < previous.InBytes { // a new process counts from zero
			for role, c := range g.currentTraffic {
				g.previousTraffic[role] = addTraffic(g.previousTraffic[role], c)
			}
			clear(g.currentTraffic)
			break
		}
	}
	cpu := report.CPUMS - report.FeedCPUMS
	if cpu < g.currentCPUMS {
		g.previousCPUMS += g.currentCPUMS
	}
	g.currentCPUMS = cpu
	s := sample{
		at: at, cpuMS: g.previousCPUMS + g.currentCPUMS + cpuShare, sharedCPUMS: cpuShare, rssBytes: rssBytes, lagMS: report.LateMSMax, members: report.ViewMembers, listVersion: report.ListVersion,
		knownPositions: report.KnownPositions, positionAgeMS: [2]float64{report.PositionAgeP50MS, report.PositionAgeP99MS}, roles: map[string]stats.Traffic{},
	}
	s.digest, _ = strconv.ParseUint(cmp.Or(report.ViewDigest, "0"), 16, 64)
	for role, c := range report.Roles {
		g.currentTraffic[role] = c
	}
	for role, c := range g.currentTraffic {
		s.roles[role] = addTraffic(c, g.previousTraffic[role])
	}
	for role, c := range g.previousTraffic {
		if _, reported := g.currentTraffic[role]; !reported {
			s.roles[role] = c
		}
	}
	g.samples = append(g.samples, s)
}

func addTraffic(a, b stats.Traffic) stats.Traffic {
	return stats.Traffic{OutBytes: a.OutBytes + b.OutBytes, OutMessages: a.OutMessages + b.OutMessages, InBytes: a.InBytes + b.InBytes, InMessages: a.InMessages + b.InMessages}
}

func subtractTraffic(a, b stats.Traffic) stats.Traffic {
	return stats.Traffic{OutBytes: a.OutBytes - b.OutBytes, OutMessages: a.OutMessages - b.OutMessages, InBytes: a.InBytes - b.InBytes, InMessages: a.InMessages - b.InMessages}
}

// lastSample returns the newest sample, or nil.
func (g *gatewayState) lastSample() *sample {
	if n := len(g.samples); n > 0 {
		return &g.samples[n-1]
	}
	return nil
}

// zoneCut is a cut between two sets of zones, given by their indexes in Plan.Zones.
type zoneCut struct {
	period
	sides       [2][]int
	description string
}

func (c *zoneCut) separates(a, b int) bool {
	return slices.Contains(c.sides[0], a) && slices.Contains(c.sides[1], b) || slices.Contains(c.sides[0], b) && slices.Contains(c.sides[1], a)
}

// isFalseDeath reports whether the gateway by had no reason to declare the gateway of dead. A reason is that of was down or that the
// relay had cut the two off from each other. A downtime of that gateway, or any cut, that ended less than faultGrace ago is a reason
// too, as membership updates about it may still be spreading.
func isFalseDeath(by, of *gatewayState, at time.Time, cuts []zoneCut) bool {
	if slices.ContainsFunc(of.downtimes, func(s period) bool { return s.includes(at, faultGrace) }) {
		return false
	}
	return !slices.ContainsFunc(cuts, func(c zoneCut) bool {
		switch {
		case !c.includes(at, faultGrace):
			return false
		case c.to.IsZero() || at.Before(c.to):
			return c.separates(by.zone, of.zone)
		}
		return true
	})
}

// convergence measures how long all views take to be equal again after an event.
type convergence struct {
	description string
	since       time.Time
	took        time.Duration // 0: not equal yet
	superseded  bool          // another event came before the views were equal
}

// viewsEqual reports whether all live gateways have reported since after, and all with the same view, which has as many members as
// there are live gateways.
func viewsEqual(gateways []*gatewayState, after time.Time) bool {
	live, digest := 0, uint64(0)
	for _, g := range gateways {
		if g.live {
			live++
		}
	}
	for _, g := range gateways {
		newest := g.lastSample()
		switch {
		case !g.live:
			continue
		case newest == nil || !newest.at.After(after) || newest.digest == 0 || newest.members != live:
			return false
		case digest == 0:
			digest = newest.digest
		case digest != newest.digest:
			return false
		}
	}
	return true
}

// listChange is a change of discovery's list, tracked until all live gateways have it.
type listChange struct {
	version      int64
	changedAt    time.Time
	receivedBy   map[string]bool
	delays       []float64 // s
	lateGateways []string  // gateways that got it too late, and when
	complete     bool
}

// update records which gateways have the list version by now. For a gateway that started after the change the time counts from its
// start.
func (c *listChange) update(gateways []*gatewayState) {
	if c.complete {
		return
	}
	c.complete = true
	for _, g := range gateways {
		newest := g.lastSample()
		switch {
		case !g.live || c.receivedBy[g.name]:
		case newest != nil && newest.at.After(g.startedAt) && newest.at.After(c.changedAt) && newest.listVersion >= c.version:
			since := c.changedAt
			if g.startedAt.After(since) {
				since = g.startedAt
			}
			c.receivedBy[g.name] = true
			took := newest.at.Sub(since)
			c.delays = append(c.delays, took.Seconds())
			if took > maxListDelay+reportInterval {
				c.lateGateways = append(c.lateGateways, fmt.Sprintf("%s list %d after %.1f s", g.name, c.version, took.Seconds()))
			}
		default:
			c.complete = false
		}
	}
}

// peakWindow is the highest rate at which a gateway sent in any window of windowSeconds.
type peakWindow struct {
	rate         float64 // bytes per second
	gateway      string
	from, to     time.Time
	gatewaysOver int // number of gateways with a window over the allowance
	role         string
}

// findPeakWindow finds the window with the highest rate among all that start at begin or later.
func findPeakWindow(gateways []*gatewayState, begin time.Time, allowed float64) (peak peakWindow) {
	const length = windowSeconds * time.Second
	for _, g := range gateways {
		over, end := false, 0
		for i := range g.samples {
			first := &g.samples[i]
			if first.at.Before(begin) {
				continue
			}
			for end < len(g.samples) && g.samples[end].at.Sub(first.at) < length-100*time.Millisecond {
				end++
			}
			if end == len(g.samples) {
				break
			}
			last := &g.samples[end]
			sent := subtractTraffic(last.totalTraffic(), first.totalTraffic()).OutBytes
			rate := float64(sent) / last.at.Sub(first.at).Seconds()
			over = over || rate > allowed
			if rate > peak.rate {
				peak.rate, peak.gateway, peak.from, peak.to = rate, g.name, first.at, last.at
				maxBytes := uint64(0)
				for role, traffic := range last.roles {
					if bytes := subtractTraffic(traffic, first.roles[role]).OutBytes; bytes > maxBytes {
						maxBytes, peak.role = bytes, role
					}
				}
			}
		}
		if over {
			peak.gatewaysOver++
		}
	}
	return peak
}

// newDistribution returns nil for an empty list. It sorts list.
func newDistribution(list []float64) *Distribution {
	if len(list) == 0 {
		return nil
	}
	slices.Sort(list)
	sum := 0.0
	for _, x := range list {
		sum += x
	}
	return &Distribution{Mean: roundTo4Digits(sum / float64(len(list))), P99: roundTo4Digits(list[percentileIndex(len(list), 0.99)]), Max: roundTo4Digits(list[len(list)-1])}
}

// percentileIndex returns the index of a percentile in a sorted list of n: the first for which at least that share is not greater.
func percentileIndex(n int, share float64) int {
	return max(0, min(n-1, int(share*float64(n)+0.999999)-1))
}

func newPercentiles(list []float64) *Percentiles {
	if len(list) == 0 {
		return nil
	}
	slices.Sort(list)
	return &Percentiles{P50: roundTo4Digits(list[percentileIndex(len(list), 0.5)]), P99: roundTo4Digits(list[percentileIndex(len(list), 0.99)]), Max: roundTo4Digits(list[len(list)-1])}
}

func roundTo4Digits(x float64) float64 {
	y, _ := strconv.ParseFloat(fmt.Sprintf("%.4g", x), 64)
	return y
}
