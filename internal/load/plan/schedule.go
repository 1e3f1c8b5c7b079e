package plan

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Arrival is one request that is due at a moment.
type Arrival struct {
	At      time.Duration // since the start
	Class   int
	Group   int
	Key     int
	Session int
	Stage   int
	Follows int // the number of the write that it follows up; -1: none
	Number  int
}

// Schedule draws all arrivals ahead. The same plan gives the same schedule; there is no limit that the
// gateway's answers could move.
func Schedule(p *Plan) ([]Arrival, error) {
	rng := rand.New(rand.NewPCG(p.Seed, 0x6c6f6164))
	var arrivals []Arrival
	var segmentStart time.Duration
	untilNext := p.nextGap(rng) / firstGapDivisor(p.EvenlySpaced) // of the rate's integral, until the next arrival
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
					return nil, fmt.Errorf("the stages hold more than %d arrivals; raise most", p.MaxArrivals)
				}
				arrivals = append(arrivals, p.drawArrival(rng, segmentStart+segment.timeAtArea(consumed), stageIndex))
			}
			segmentStart += segment.For
		}
	}
	return p.addFollowUpReads(rng, arrivals, segmentStart)
}

func firstGapDivisor(even bool) float64 {
	if even {
		return 2 // the first of evenly spaced ones comes after half a gap
	}
	return 1
}

// nextGap is how much of the rate's integral lies between two arrivals.
func (p *Plan) nextGap(rng *rand.Rand) float64 {
	if p.EvenlySpaced {
		return 1
	}
	return rng.ExpFloat64()
}

// timeAtArea inverts the integral of the rate.
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

// addFollowUpReads adds the reads that follow writes, and numbers all in their order.
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
			return nil, fmt.Errorf("with the reads that follow writes there are more than %d arrivals; raise most", p.MaxArrivals)
		}
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return arrivals, nil
}

func (p *Plan) stageAt(at time.Duration) int {
	for i, stage := range p.Stages {
		if at -= stage.Duration(); at < 0 {
			return i
		}
	}
	return len(p.Stages) - 1
}
