// Package soak runs many real gateways under troubles that overlap in time, drawn from a seed, and judges what became of each
// request by the gateway that had it, from outside and by the gateways' own invariants.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is one thing that goes wrong for a while.
type Fault struct {
	Number   int           `json:"number"`
	Name     string        `json:"name"`
	At       time.Duration `json:"at_ns"`
	Duration time.Duration `json:"for_ns"`
	Gateways []int         `json:"on,omitempty"` // whom it is done to; none: databases, discovery or clients
}

// FaultNames are all troubles that may be drawn.
func FaultNames() (list []string) {
	for name := range kinds {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// Bounds of a schedule.
const (
	quietLeast = 1 * time.Second // before the first trouble
	quietMost  = 5 * time.Second
	waveLeast  = 1500 * time.Millisecond // from the begin of some troubles to that of the next
	waveMost   = 3 * time.Second
	waveSpread = 800 * time.Millisecond // within which the troubles of a wave begin
	lastLeast  = 300 * time.Millisecond // how long one lasts
	lastMost   = 2500 * time.Millisecond
	calmAtEnd  = 3 * time.Second // for what was begun to come to an end
)

// Draw is the schedule of a seed: waves of two or three troubles that overlap. It does not depend on how a run goes.
func Draw(seed uint64, gateways int, length time.Duration, names []string) (list []Fault) {
	rnd := rand.New(rand.NewPCG(seed, 0x736f616b))
	span := func(from, to time.Duration) time.Duration {
		return from + time.Duration(rnd.Int64N(int64(to-from)))
	}
	for at := span(quietLeast, quietMost); at < length-calmAtEnd-lastMost; at += span(waveLeast, waveMost) {
		kindsOfWave := rnd.Perm(len(names))
		for _, k := range kindsOfWave[:min(2+rnd.IntN(2), len(names))] {
			t := Fault{Number: len(list) + 1, Name: names[k], At: at + span(0, waveSpread), Duration: span(lastLeast, lastMost)}
			if n := kinds[t.Name].gateways; n > 0 {
				t.Gateways = rnd.Perm(gateways)[:min(n, gateways)]
			}
			list = append(list, t)
		}
	}
	return list
}

// CountOverlaps is how many pairs of troubles were under way together.
func CountOverlaps(list []Fault) (n int) {
	for i, a := range list {
		for _, b := range list[i+1:] {
			if a.At < b.At+b.Duration && b.At < a.At+a.Duration {
				n++
			}
		}
	}
	return n
}

// Select keeps the troubles with these numbers, to shrink a schedule that fails; none: all are kept.
func Select(list []Fault, numbers []int) ([]Fault, error) {
	if len(numbers) == 0 {
		return list, nil
	}
	var kept []Fault
	for _, n := range numbers {
		if n < 1 || n > len(list) {
			return nil, fmt.Errorf("there is no trouble %d: the seed draws %d", n, len(list))
		}
		kept = append(kept, list[n-1])
	}
	return kept, nil
}
