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

// gate is one gateway as the run knows it. The run's lock guards it.
type gate struct {
	name    string
	number  int
	zone    int
	real    bool
	live    bool
	began   time.Time // when it was last started
	ready   bool      // it has told of itself since
	downs   []span
	past    map[string]stats.Traffic // of its processes before this one
	now     map[string]stats.Traffic // of this one
	cpuPast float64
	cpuNow  float64
	samples []sample
}

// span is a time from, and to which is zero while it goes on.
type span struct{ from, to time.Time }

// touches tells that it has not been over for long, at a moment.
func (s span) touches(at time.Time, grace time.Duration) bool {
	return !s.from.After(at) && (s.to.IsZero() || s.to.Add(grace).After(at))
}

// sample is a gateway at one moment; counts are sums over all its processes.
type sample struct {
	at      time.Time
	cpuMS   float64
	share   float64 // of cpuMS, what is not its own alone
	rss     float64
	lateMS  float64
	members int
	digest  uint64
	seq     int64
	known   int
	age     [2]float64 // of the positions it knows, in ms: p50, p99
	roles   map[string]stats.Traffic
}

func (s *sample) total() (c stats.Traffic) {
	for _, r := range s.roles {
		c = plus(c, r)
	}
	return c
}

// take adds a report to what is known of a gateway; cpuShare is its part of what its process spends besides the gateways.
func (g *gate) take(at time.Time, r *hollow.State, rss, cpuShare float64) {
	for role, c := range r.Roles {
		if was := g.now[role]; c.OutBytes < was.OutBytes || c.InBytes < was.InBytes { // another process counts from zero
			for role, c := range g.now {
				g.past[role] = plus(g.past[role], c)
			}
			clear(g.now)
			break
		}
	}
	cpu := r.CPUMS - r.FeedCPUMS
	if cpu < g.cpuNow {
		g.cpuPast += g.cpuNow
	}
	g.cpuNow = cpu
	s := sample{
		at: at, cpuMS: g.cpuPast + g.cpuNow + cpuShare, share: cpuShare, rss: rss, lateMS: r.LateMSMax, members: r.ViewMembers, seq: r.ListSeq,
		known: r.KnownPositions, age: [2]float64{r.AgeP50, r.AgeP99}, roles: map[string]stats.Traffic{},
	}
	s.digest, _ = strconv.ParseUint(cmp.Or(r.ViewDigest, "0"), 16, 64)
	for role, c := range r.Roles {
		g.now[role] = c
	}
	for role, c := range g.now {
		s.roles[role] = plus(c, g.past[role])
	}
	for role, c := range g.past {
		if _, on := g.now[role]; !on {
			s.roles[role] = c
		}
	}
	g.samples = append(g.samples, s)
}

func plus(c, d stats.Traffic) stats.Traffic {
	return stats.Traffic{OutBytes: c.OutBytes + d.OutBytes, OutMessages: c.OutMessages + d.OutMessages, InBytes: c.InBytes + d.InBytes, InMessages: c.InMessages + d.InMessages}
}

func minus(c, d stats.Traffic) stats.Traffic {
	return stats.Traffic{OutBytes: c.OutBytes - d.OutBytes, OutMessages: c.OutMessages - d.OutMessages, InBytes: c.InBytes - d.InBytes, InMessages: c.InMessages - d.InMessages}
}

// last is the newest sample; nil: there is none.
func (g *gate) last() *sample {
	if n := len(g.samples); n > 0 {
		return &g.samples[n-1]
	}
	return nil
}

// cutting is a cut between zones, by number.
type cutting struct {
	span
	sides [2][]int
	what  string
}

func (c *cutting) between(a, b int) bool {
	return slices.Contains(c.sides[0], a) && slices.Contains(c.sides[1], b) || slices.Contains(c.sides[0], b) && slices.Contains(c.sides[1], a)
}

// falseDeath judges a death that one gateway tells of another: it is false where that one lived, unless the relay had cut the two off
// from each other, or a cut or a process of that name ended a short while ago, of which word may still go round.
func falseDeath(by, of *gate, at time.Time, cuts []cutting) bool {
	if slices.ContainsFunc(of.downs, func(s span) bool { return s.touches(at, grace) }) {
		return false
	}
	return !slices.ContainsFunc(cuts, func(c cutting) bool {
		switch {
		case !c.touches(at, grace):
			return false
		case c.to.IsZero() || at.Before(c.to):
			return c.between(by.zone, of.zone)
		}
		return true
	})
}

// settling is a wait for all views to be equal again after something has happened.
type settling struct {
	what   string
	since  time.Time
	took   time.Duration // 0: not yet
	passed bool          // the next thing had happened before
}

// equal tells whether all gateways that live have the same view of just those, in reports from after a moment.
func equal(gates []*gate, after time.Time) bool {
	live, digest := 0, uint64(0)
	for _, g := range gates {
		if g.live {
			live++
		}
	}
	for _, g := range gates {
		s := g.last()
		switch {
		case !g.live:
			continue
		case s == nil || !s.at.After(after) || s.digest == 0 || s.members != live:
			return false
		case digest == 0:
			digest = s.digest
		case digest != s.digest:
			return false
		}
	}
	return true
}

// change is one of the list at discovery, until all have it.
type change struct {
	seq   int64
	at    time.Time
	had   map[string]bool
	took  []float64 // s
	late  []string  // gateways that had it behind its time, and when
	whole bool
}

// had notes who has it by now. Gateways that started after it count from their start.
func (c *change) look(gates []*gate) {
	if c.whole {
		return
	}
	c.whole = true
	for _, g := range gates {
		s := g.last()
		switch {
		case !g.live || c.had[g.name]:
		case s != nil && s.at.After(g.began) && s.at.After(c.at) && s.seq >= c.seq:
			since := c.at
			if g.began.After(since) {
				since = g.began
			}
			c.had[g.name] = true
			took := s.at.Sub(since)
			c.took = append(c.took, took.Seconds())
			if took > inForce+reportEvery {
				c.late = append(c.late, fmt.Sprintf("%s list %d after %.1f s", g.name, c.seq, took.Seconds()))
			}
		default:
			c.whole = false
		}
	}
}

// window is the most that a gateway sent in windows of so many seconds.
type window struct {
	rate     float64 // bytes a second
	gateway  string
	from, to time.Time
	over     int // gateways that had one over the allowance
	role     string
}

// worst looks through all windows that begin after a moment.
func worst(gates []*gate, begin time.Time, allowed float64) (w window) {
	const length = windowSeconds * time.Second
	for _, g := range gates {
		over, j := false, 0
		for i := range g.samples {
			a := &g.samples[i]
			if a.at.Before(begin) {
				continue
			}
			for j < len(g.samples) && g.samples[j].at.Sub(a.at) < length-100*time.Millisecond {
				j++
			}
			if j == len(g.samples) {
				break
			}
			b := &g.samples[j]
			sent := minus(b.total(), a.total()).OutBytes
			rate := float64(sent) / b.at.Sub(a.at).Seconds()
			over = over || rate > allowed
			if rate > w.rate {
				w.rate, w.gateway, w.from, w.to = rate, g.name, a.at, b.at
				most := uint64(0)
				for role, c := range b.roles {
					if d := minus(c, a.roles[role]).OutBytes; d > most {
						most, w.role = d, role
					}
				}
			}
		}
		if over {
			w.over++
		}
	}
	return w
}

// distribution of some figures.
func distribution(list []float64) *Dist {
	if len(list) == 0 {
		return nil
	}
	slices.Sort(list)
	sum := 0.0
	for _, x := range list {
		sum += x
	}
	return &Dist{Mean: round(sum / float64(len(list))), P99: round(list[rank(len(list), 0.99)]), Max: round(list[len(list)-1])}
}

// rank is where a percentile stands in a sorted list: at least that share is not above it.
func rank(n int, share float64) int { return max(0, min(n-1, int(share*float64(n)+0.999999)-1)) }

func percentiles(list []float64) *Times {
	if len(list) == 0 {
		return nil
	}
	slices.Sort(list)
	return &Times{P50: round(list[rank(len(list), 0.5)]), P99: round(list[rank(len(list), 0.99)]), Max: round(list[len(list)-1])}
}

func round(x float64) float64 {
	y, _ := strconv.ParseFloat(fmt.Sprintf("%.4g", x), 64)
	return y
}
