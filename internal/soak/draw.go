// Package soak runs many real gateways under overlapping faults drawn from a seed. It checks that each request was
// answered by the gateway that received it, and collects the invariant violations that are observed from outside or
// reported by the gateways.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is one injected fault.
type Fault struct {
	Number   int           `json:"number"`
	Name     string        `json:"name"`
	At       time.Duration `json:"at_ns"`
	Duration time.Duration `json:"for_ns"`
	Gateways []int         `json:"on,omitempty"` // affected gateways; empty for faults of databases, discovery or links
}

// FaultNames returns the sorted names of all faults that may be drawn.
func FaultNames() (list []string) {
	for name := range faultKinds {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// Limits of a schedule. Each range includes its minimum and excludes its maximum.
const (
	minQuiet         = 1 * time.Second // before the first wave
	maxQuiet         = 5 * time.Second
	minWaveInterval  = 1500 * time.Millisecond // between the starts of two waves
	maxWaveInterval  = 3 * time.Second
	waveSpread       = 800 * time.Millisecond // within which the faults of a wave start
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
	calmAtEnd        = 3 * time.Second // without new faults, for those in progress to end
)

// Draw returns the schedule of a seed: waves of two or three overlapping faults. It does not depend on the run.
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

// CountOverlaps returns the number of pairs of faults that overlap in time.
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

// Select returns the faults with these numbers, to reduce a failing schedule. Without numbers it returns all.
func Select(faults []Fault, numbers []int) ([]Fault, error) {
	if len(numbers) == 0 {
		return faults, nil
	}
	var selected []Fault
	for _, n := range numbers {
		if n < 1 || n > len(faults) {
			return nil, fmt.Errorf("there is no fault %d: the seed draws %d", n, len(faults))
		}
		selected = append(selected, faults[n-1])
	}
	return selected, nil
}
