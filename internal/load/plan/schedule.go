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
	rnd := rand.New(rand.NewPCG(p.Seed, 0x6c6f6164))
	var list []Arrival
	var begun time.Duration
	next := p.gap(rnd) / gapFirst(p.EvenlySpaced) // of the rate's integral, until the next arrival
	for stage, s := range p.Stages {
		for _, l := range s.Segments {
			area := (l.From + l.To) / 2 * l.For.Seconds()
			for done := 0.0; ; {
				if done+next > area {
					next -= area - done
					break
				}
				done += next
				next = p.gap(rnd)
				if len(list) >= p.MaxArrivals {
					return nil, fmt.Errorf("the stages hold more than %d arrivals; raise most", p.MaxArrivals)
				}
				list = append(list, p.draw(rnd, begun+l.when(done), stage))
			}
			begun += l.For
		}
	}
	return p.number(rnd, list, begun)
}

func gapFirst(even bool) float64 {
	if even {
		return 2 // the first of evenly spaced ones comes after half a gap
	}
	return 1
}

// gap is how much of the rate's integral lies between two arrivals.
func (p *Plan) gap(rnd *rand.Rand) float64 {
	if p.EvenlySpaced {
		return 1
	}
	return rnd.ExpFloat64()
}

// when inverts the integral of the rate.
func (l RateSegment) when(area float64) time.Duration {
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

func (p *Plan) draw(rnd *rand.Rand, at time.Duration, stage int) Arrival {
	a := Arrival{At: at, Stage: stage, Follows: -1, Group: rnd.IntN(p.Groups), Key: rnd.IntN(p.Keys), Session: rnd.IntN(p.Sessions)}
	x := rnd.Float64()
	for i, c := range p.Classes {
		a.Class = i
		if x -= c.Mix; x < 0 {
			break
		}
	}
	return a
}

// number adds the reads that follow writes, and numbers all in their order.
func (p *Plan) number(rnd *rand.Rand, list []Arrival, end time.Duration) ([]Arrival, error) {
	read := slices.IndexFunc(p.Classes, func(c Class) bool { return c.Kind == SessionRead })
	for i := range list {
		list[i].Number = i
	}
	firsts := len(list)
	for i := 0; i < firsts && read >= 0 && p.FollowShare > 0; i++ {
		a := list[i]
		if p.Classes[a.Class].Kind != Write || rnd.Float64() >= p.FollowShare {
			continue
		}
		a.Follows, a.Class, a.Number = a.Number, read, len(list)
		if a.At += p.FollowAfter; a.At >= end {
			continue
		}
		a.Stage = p.stageAt(a.At)
		if list = append(list, a); len(list) > p.MaxArrivals {
			return nil, fmt.Errorf("with the reads that follow writes there are more than %d arrivals; raise most", p.MaxArrivals)
		}
	}
	slices.SortStableFunc(list, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return list, nil
}

func (p *Plan) stageAt(at time.Duration) int {
	for i, s := range p.Stages {
		if at -= s.Duration(); at < 0 {
			return i
		}
	}
	return len(p.Stages) - 1
}
