package plan

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Arrival is one scheduled request.
type Arrival struct {
	At      time.Duration // due time since the start of the run
	Class   int
	Group   int
	Key     int
	Session int
	Stage   int
	Follows int // number of the write that this read follows; -1: none
	Number  int
}

// Schedule draws all arrivals before the run. The same plan gives the same schedule: nothing in it depends on
// the answers of the gateways.
func Schedule(p *Plan) ([]Arrival, error) {
	rng := rand.New(rand.NewPCG(p.Seed, 0x6c6f6164))
	var arrivals []Arrival
	var segmentStart time.Duration
	untilNext := p.nextGap(rng) / firstGapDivisor(p.EvenlySpaced) // as an integral of the rate
	for stageIndex, stage := range p.Stages {
		for _, segment := range stage.Segments {
			area := (segment.From + segment.To) / 2 * segment.For.Seconds()
			for consumed := 0.0; ; {
				if consumed+untilNext > area {
					untilNext -= area - consumed
					break
				}
				consumed += untilNext
				untilNext = p.nextGap(rng)
				if len(arrivals) >= p.MaxArrivals {
					return nil, fmt.Errorf("the stages have more than %d arrivals; raise most", p.MaxArrivals)
				}
				arrivals = append(arrivals, p.drawArrival(rng, segmentStart+segment.timeAtArea(consumed), stageIndex))
			}
			segmentStart += segment.For
		}
	}
	return p.addFollowUpReads(rng, arrivals, segmentStart)
}

// firstGapDivisor divides the first gap, so that evenly spaced arrivals begin after half a gap.
func firstGapDivisor(even bool) float64 {
	if even {
		return 2
	}
	return 1
}

// nextGap draws the integral of the rate between two arrivals.
func (p *Plan) nextGap(rng *rand.Rand) float64 {
	if p.EvenlySpaced {
		return 1
	}
	return rng.ExpFloat64()
}

// timeAtArea returns the time at which the integral of the rate reaches area.
func (l RateSegment) timeAtArea(area float64) time.Duration {
	d := l.For.Seconds()
	slope := (l.To - l.From) / d
	t := 0.0
	if math.Abs(slope) < 1e-9 {
		t = area / l.From
	} else {
		t = (math.Sqrt(max(0, l.From*l.From+2*slope*area)) - l.From) / slope
	}
	return time.Duration(min(max(t, 0), d) * float64(time.Second))
}

// drawArrival draws the class, group, key and session of an arrival.
func (p *Plan) drawArrival(rng *rand.Rand, at time.Duration, stage int) Arrival {
	arrival := Arrival{At: at, Stage: stage, Follows: -1, Group: rng.IntN(p.Groups), Key: rng.IntN(p.Keys), Session: rng.IntN(p.Sessions)}
	remaining := rng.Float64()
	for i, class := range p.Classes {
		arrival.Class = i
		if remaining -= class.Mix; remaining < 0 {
			break
		}
	}
	return arrival
}

// addFollowUpReads numbers the arrivals, adds the reads that follow writes and sorts all by time.
func (p *Plan) addFollowUpReads(rng *rand.Rand, arrivals []Arrival, end time.Duration) ([]Arrival, error) {
	readClass := slices.IndexFunc(p.Classes, func(c Class) bool { return c.Kind == SessionRead })
	for i := range arrivals {
		arrivals[i].Number = i
	}
	drawn := len(arrivals)
	for i := 0; i < drawn && readClass >= 0 && p.FollowShare > 0; i++ {
		arrival := arrivals[i]
		if p.Classes[arrival.Class].Kind != Write || rng.Float64() >= p.FollowShare {
			continue
		}
		arrival.Follows, arrival.Class, arrival.Number = arrival.Number, readClass, len(arrivals)
		if arrival.At += p.FollowAfter; arrival.At >= end {
			continue
		}
		arrival.Stage = p.stageAt(arrival.At)
		if arrivals = append(arrivals, arrival); len(arrivals) > p.MaxArrivals {
			return nil, fmt.Errorf("more than %d arrivals, counting the reads that follow writes; raise most", p.MaxArrivals)
		}
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return arrivals, nil
}

// stageAt returns the index of the stage at a time of the run.
func (p *Plan) stageAt(at time.Duration) int {
	for i, stage := range p.Stages {
		if at -= stage.Duration(); at < 0 {
			return i
		}
	}
	return len(p.Stages) - 1
}
