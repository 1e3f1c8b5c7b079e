package scale

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"lilaccove/internal/hollow"
	"lilaccove/internal/wan"
)

var noon = time.Date(2030, 1, 1, 12, 0, 0, 0, time.UTC)

func at(s float64) time.Time { return noon.Add(seconds(s)) }

func fleetOf(n int) (list []*gate) {
	for g := range n {
		list = append(list, &gate{name: fmt.Sprint(g), number: g, zone: g % 2, live: true, began: at(-100), past: map[string]traffic{}, now: map[string]traffic{}})
	}
	return list
}

func TestScaleFalseDeaths(t *testing.T) {
	f := fleetOf(4) // zones 0, 1, 0, 1
	assert.True(t, falseDeath(f[0], f[1], at(5), nil), "it lived")
	f[1].downs = []span{{at(10), at(12)}}
	assert.True(t, falseDeath(f[0], f[1], at(9), nil), "before it went")
	assert.False(t, falseDeath(f[0], f[1], at(11), nil))
	assert.False(t, falseDeath(f[0], f[1], at(12).Add(grace-time.Second), nil), "word of it still goes round")
	assert.True(t, falseDeath(f[0], f[1], at(12).Add(grace+time.Second), nil))
	f[2].downs, f[2].live = []span{{from: at(20)}}, false
	assert.False(t, falseDeath(f[0], f[2], at(500), nil))
	cut := []cutting{{span: span{from: at(100)}, sides: [2][]int{{0}, {1}}}}
	assert.False(t, falseDeath(f[0], f[3], at(110), cut), "cut off from each other")
	assert.True(t, falseDeath(f[1], f[3], at(110), cut), "on one side")
	assert.True(t, falseDeath(f[0], f[3], at(99), cut), "before the cut")
	cut[0].to = at(130)
	assert.False(t, falseDeath(f[1], f[3], at(131), cut), "word of the other side comes after the heal")
	assert.True(t, falseDeath(f[0], f[3], at(130).Add(grace+time.Second), cut))
}

func TestScaleViewsAreEqualOnlyOfThoseWhoLive(t *testing.T) {
	f := fleetOf(3)
	tell := func(g *gate, s float64, members int, digest string) {
		g.take(at(s), &hollow.State{ViewMembers: members, ViewDigest: digest, CPUMS: s}, 0, 0)
	}
	for _, g := range f {
		tell(g, 1, 3, "ab")
	}
	assert.True(t, equal(f, at(0)))
	assert.False(t, equal(f, at(1)), "reports from before do not count")
	tell(f[2], 2, 3, "ac")
	assert.False(t, equal(f, at(0)))
	f[2].live = false
	assert.False(t, equal(f, at(0)), "they count one that is gone")
	tell(f[0], 3, 2, "ff")
	tell(f[1], 3, 2, "ff")
	assert.True(t, equal(f, at(2)))
}

// Sums go on over processes of one name, each of which counts from zero.
func TestScaleSumsOverRestarts(t *testing.T) {
	g := fleetOf(1)[0]
	for i, bytes := range []uint64{100, 250, 40, 90} {
		g.take(at(float64(i)), &hollow.State{CPUMS: float64(bytes), Roles: map[string]traffic{"membership": {OutBytes: bytes}, "words": {OutBytes: 7}}}, 0, 0)
	}
	s := g.last()
	assert.Equal(t, uint64(250+90), s.roles["membership"].OutBytes)
	assert.Equal(t, uint64(250+90+14), s.total().OutBytes)
	assert.Equal(t, 340.0, s.cpuMS)
}

func TestScaleWorstWindow(t *testing.T) {
	f := fleetOf(2)
	sent := uint64(0)
	for i := range 60 {
		rate := uint64(100)
		if i > 30 && i <= 36 {
			rate = 2000 // 6 s of a window's 10
		}
		sent += rate
		f[0].take(at(float64(i)), &hollow.State{CPUMS: float64(i), Roles: map[string]traffic{"words": {OutBytes: sent}}}, 0, 0)
		f[1].take(at(float64(i)), &hollow.State{CPUMS: float64(i), Roles: map[string]traffic{"words": {OutBytes: uint64(i) * 50}}}, 0, 0)
	}
	w := worst(f, at(0), 1000)
	assert.InDelta(t, (6*2000+4*100)/10.0, w.rate, 0.1)
	assert.Equal(t, "0", w.gateway)
	assert.Equal(t, "words", w.role)
	assert.Equal(t, 1, w.over)
	assert.InDelta(t, 100, worst(f, at(37), 1000).rate, 0.1)
	assert.Zero(t, worst(f, at(0), 2000).over, "a burst shorter than the window is spread over it")
}

func TestScaleListInForce(t *testing.T) {
	f := fleetOf(3)
	f[2].began = at(4) // it starts after the change
	c := &change{seq: 8, at: at(1), had: map[string]bool{}}
	tell := func(g *gate, s float64, seq int64) { g.take(at(s), &hollow.State{ListSeq: seq, CPUMS: s}, 0, 0) }
	tell(f[0], 2, 8)
	tell(f[1], 2, 7)
	c.look(f)
	assert.False(t, c.whole)
	tell(f[1], 3, 9)
	tell(f[2], 3.5, 9) // of the process before
	c.look(f)
	assert.False(t, c.whole)
	tell(f[2], 6, 9)
	c.look(f)
	assert.True(t, c.whole)
	assert.Equal(t, []float64{1, 2, 2}, c.took)
}

func TestScaleDistributions(t *testing.T) {
	var list []float64
	for i := range 200 {
		list = append(list, float64(200-i))
	}
	assert.Equal(t, &Dist{Mean: 100.5, P99: 198, Max: 200}, distribution(list))
	assert.Equal(t, &Times{P50: 100, P99: 198, Max: 200}, percentiles(list))
	assert.Equal(t, &Dist{Mean: 3, P99: 3, Max: 3}, distribution([]float64{3}))
	assert.Nil(t, distribution(nil))
}

// A run that was late itself, or lost datagrams that nobody wanted lost, is not a result.
func TestScaleReportIsInvalidWhenTheRunStarves(t *testing.T) {
	report := func(late, relay time.Duration, overflowed uint64) *Report {
		r := &Run{Plan: parse(t, small, NoOverride()), begun: at(0), ended: at(30), gates: fleetOf(2)}
		r.late = []float64{float64(late) / 1e6}
		r.seconds = []second{{at: at(1), late: wan.Lateness{Count: 1, P99: relay}, relay: wan.Counts{Overflowed: overflowed}}}
		return r.report(false)
	}
	good := report(19*time.Millisecond, 19*time.Millisecond, 0)
	assert.True(t, good.Valid)
	assert.NoError(t, good.Verdict())
	for _, bad := range []*Report{report(21*time.Millisecond, 0, 0), report(0, 21*time.Millisecond, 0), report(0, 0, 1)} {
		assert.False(t, bad.Valid)
		assert.NotEmpty(t, bad.Invalid)
		assert.ErrorContains(t, bad.Verdict(), "INVALID")
	}
	good.Partial = true
	assert.ErrorContains(t, good.Verdict(), "PARTIAL")
	good.Faults = []string{"broken"}
	assert.ErrorContains(t, good.Verdict(), "broken")
}
