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
	for name := range faultKinds {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// Bounds of a schedule.
const (
	minQuiet         = 1 * time.Second // before the first trouble
	maxQuiet         = 5 * time.Second
	minWaveInterval  = 1500 * time.Millisecond // from the begin of some troubles to that of the next
	maxWaveInterval  = 3 * time.Second
	waveSpread       = 800 * time.Millisecond // within which the troubles of a wave begin
	minFaultDuration = 300 * time.Millisecond // how long one lasts
	maxFaultDuration = 2500 * time.Millisecond
	calmAtEnd        = 3 * time.Second // for what was begun to come to an end
)

// Draw is the schedule of a seed: waves of two or three troubles that overlap. It does not depend on how a run goes.
func Draw(seed uint64, gateways int, length time.Duration, names []string) (list []Fault) {
	rng := rand.New(rand.NewPCG(seed, 0x736f616b))
	between := func(from, to time.Duration) time.Duration {
		return from + time.Duration(rng.Int64N(int64(to-from)))
	}
	for waveStart := between(minQuiet, maxQuiet); waveStart < length-calmAtEnd-maxFaultDuration; waveStart += between(minWaveInterval, maxWaveInterval) {
		shuffled := rng.Perm(len(names))
		for _, k := range shuffled[:min(2+rng.IntN(2), len(names))] {
			fault := Fault{Number: len(list) + 1, Name: names[k], At: waveStart + between(0, waveSpread), Duration: between(minFaultDuration, maxFaultDuration)}
			if count := faultKinds[fault.Name].gateways; count > 0 {
				fault.Gateways = rng.Perm(gateways)[:min(count, gateways)]
			}
			list = append(list, fault)
		}
	}
	return list
}

// CountOverlaps is how many pairs of troubles were under way together.
func CountOverlaps(faults []Fault) (n int) {
	for i, a := range faults {
		for _, b := range faults[i+1:] {
			if a.At < b.At+b.Duration && b.At < a.At+a.Duration {
				n++
			}
		}
	}
	return n
}

// Select keeps the troubles with these numbers, to shrink a schedule that fails; none: all are kept.
func Select(faults []Fault, numbers []int) ([]Fault, error) {
	if len(numbers) == 0 {
		return faults, nil
	}
	var selected []Fault
	for _, n := range numbers {
		if n < 1 || n > len(faults) {
			return nil, fmt.Errorf("there is no trouble %d: the seed draws %d", n, len(faults))
		}
		selected = append(selected, faults[n-1])
	}
	return selected, nil
}
