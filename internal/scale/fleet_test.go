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

func at(s float64) time.Time { return noon.Add(secondsToDuration(s)) }

func newTestGateways(n int) (list []*gatewayState) {
	for g := range n {
		list = append(list, &gatewayState{name: fmt.Sprint(g), index: g, zone: g % 2, live: true, startedAt: at(-100), previousTraffic: map[string]traffic{}, currentTraffic: map[string]traffic{}})
	}
	return list
}

func TestScaleFalseDeaths(t *testing.T) {
	gateways := newTestGateways(4) // zones 0, 1, 0, 1
	assert.True(t, isFalseDeath(gateways[0], gateways[1], at(5), nil), "it was alive")
	gateways[1].downtimes = []period{{at(10), at(12)}}
	assert.True(t, isFalseDeath(gateways[0], gateways[1], at(9), nil), "before it went down")
	assert.False(t, isFalseDeath(gateways[0], gateways[1], at(11), nil))
	assert.False(t, isFalseDeath(gateways[0], gateways[1], at(12).Add(faultGrace-time.Second), nil), "the membership update may still be spreading")
	assert.True(t, isFalseDeath(gateways[0], gateways[1], at(12).Add(faultGrace+time.Second), nil))
	gateways[2].downtimes, gateways[2].live = []period{{from: at(20)}}, false
	assert.False(t, isFalseDeath(gateways[0], gateways[2], at(500), nil))
	cut := []zoneCut{{period: period{from: at(100)}, sides: [2][]int{{0}, {1}}}}
	assert.False(t, isFalseDeath(gateways[0], gateways[3], at(110), cut), "cut off from each other")
	assert.True(t, isFalseDeath(gateways[1], gateways[3], at(110), cut), "on one side")
	assert.True(t, isFalseDeath(gateways[0], gateways[3], at(99), cut), "before the cut")
	cut[0].to = at(130)
	assert.False(t, isFalseDeath(gateways[1], gateways[3], at(131), cut), "updates from the other side arrive after the heal")
	assert.True(t, isFalseDeath(gateways[0], gateways[3], at(130).Add(faultGrace+time.Second), cut))
}

func TestScaleViewsEqualCountsLiveGateways(t *testing.T) {
	gateways := newTestGateways(3)
	addReport := func(g *gatewayState, s float64, members int, digest string) {
		g.addReport(at(s), &hollow.GatewayState{ViewMembers: members, ViewDigest: digest, CPUMS: s}, 0, 0)
	}
	for _, g := range gateways {
		addReport(g, 1, 3, "ab")
	}
	assert.True(t, viewsEqual(gateways, at(0)))
	assert.False(t, viewsEqual(gateways, at(1)), "earlier reports do not count")
	addReport(gateways[2], 2, 3, "ac")
	assert.False(t, viewsEqual(gateways, at(0)))
	gateways[2].live = false
	assert.False(t, viewsEqual(gateways, at(0)), "the views include one that is down")
	addReport(gateways[0], 3, 2, "ff")
	addReport(gateways[1], 3, 2, "ff")
	assert.True(t, viewsEqual(gateways, at(2)))
}

// Totals continue across the processes of a gateway, each of which counts from zero.
func TestScaleTotalsContinueAcrossRestarts(t *testing.T) {
	g := newTestGateways(1)[0]
	for i, bytes := range []uint64{100, 250, 40, 90} {
		g.addReport(at(float64(i)), &hollow.GatewayState{CPUMS: float64(bytes), Roles: map[string]traffic{"membership": {OutBytes: bytes}, "words": {OutBytes: 7}}}, 0, 0)
	}
	s := g.lastSample()
	assert.Equal(t, uint64(250+90), s.roles["membership"].OutBytes)
	assert.Equal(t, uint64(250+90+14), s.totalTraffic().OutBytes)
	assert.Equal(t, 340.0, s.cpuMS)
}

func TestScalePeakWindow(t *testing.T) {
	gateways := newTestGateways(2)
	sent := uint64(0)
	for i := range 60 {
		rate := uint64(100)
		if i > 30 && i <= 36 {
			rate = 2000 // 6 s of a window's 10
		}
		sent += rate
		gateways[0].addReport(at(float64(i)), &hollow.GatewayState{CPUMS: float64(i), Roles: map[string]traffic{"words": {OutBytes: sent}}}, 0, 0)
		gateways[1].addReport(at(float64(i)), &hollow.GatewayState{CPUMS: float64(i), Roles: map[string]traffic{"words": {OutBytes: uint64(i) * 50}}}, 0, 0)
	}
	peak := findPeakWindow(gateways, at(0), 1000)
	assert.InDelta(t, (6*2000+4*100)/10.0, peak.rate, 0.1)
	assert.Equal(t, "0", peak.gateway)
	assert.Equal(t, "words", peak.role)
	assert.Equal(t, 1, peak.gatewaysOver)
	assert.InDelta(t, 100, findPeakWindow(gateways, at(37), 1000).rate, 0.1)
	assert.Zero(t, findPeakWindow(gateways, at(0), 2000).gatewaysOver, "a burst shorter than the window is spread over it")
}

func TestScaleListInForce(t *testing.T) {
	gateways := newTestGateways(3)
	gateways[2].startedAt = at(4) // it starts after the change
	change := &listChange{version: 8, changedAt: at(1), receivedBy: map[string]bool{}}
	addReport := func(g *gatewayState, s float64, seq int64) {
		g.addReport(at(s), &hollow.GatewayState{ListVersion: seq, CPUMS: s}, 0, 0)
	}
	addReport(gateways[0], 2, 8)
	addReport(gateways[1], 2, 7)
	change.update(gateways)
	assert.False(t, change.complete)
	addReport(gateways[1], 3, 9)
	addReport(gateways[2], 3.5, 9) // from the previous process
	change.update(gateways)
	assert.False(t, change.complete)
	addReport(gateways[2], 6, 9)
	change.update(gateways)
	assert.True(t, change.complete)
	assert.Equal(t, []float64{1, 2, 2}, change.delays)
}

func TestScaleDistributions(t *testing.T) {
	var list []float64
	for i := range 200 {
		list = append(list, float64(200-i))
	}
	assert.Equal(t, &Distribution{Mean: 100.5, P99: 198, Max: 200}, newDistribution(list))
	assert.Equal(t, &Percentiles{P50: 100, P99: 198, Max: 200}, newPercentiles(list))
	assert.Equal(t, &Distribution{Mean: 3, P99: 3, Max: 3}, newDistribution([]float64{3}))
	assert.Nil(t, newDistribution(nil))
}

// A run is invalid if it lagged itself, or lost datagrams that it was not configured to lose.
func TestScaleReportIsInvalidWhenRunIsStarved(t *testing.T) {
	report := func(lateness, relay time.Duration, overflowed uint64) *Report {
		r := &Run{Plan: parsePlan(t, smallPlan, NoFlagValues()), measuredFrom: at(0), measuredTo: at(30), gateways: newTestGateways(2)}
		r.lagSamples = []float64{float64(lateness) / 1e6}
		r.runSamples = []runSample{{at: at(1), lateness: wan.Lateness{Count: 1, P99: relay}, relay: wan.Counts{Overflowed: overflowed}}}
		return r.report(false)
	}
	good := report(19*time.Millisecond, 19*time.Millisecond, 0)
	assert.True(t, good.Valid)
	assert.NoError(t, good.Verdict())
	for _, bad := range []*Report{report(21*time.Millisecond, 0, 0), report(0, 21*time.Millisecond, 0), report(0, 0, 1)} {
		assert.False(t, bad.Valid)
		assert.NotEmpty(t, bad.InvalidReason)
		assert.ErrorContains(t, bad.Verdict(), "INVALID")
	}
	good.Partial = true
	assert.ErrorContains(t, good.Verdict(), "PARTIAL")
	good.Faults = []string{"broken"}
	assert.ErrorContains(t, good.Verdict(), "broken")
}
