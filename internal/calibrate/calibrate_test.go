package calibrate

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/stats"
)

// Rates are computed over the time between two samples. Neither the feed nor the cost of the same gateways without a fleet file
// counts as a cost of the control side.
func TestSidesAndRatios(t *testing.T) {
	o := Options{Gateways: 2, Databases: 8}
	start := time.Unix(1000, 0)
	samplesAt := func(seconds int, k float64) (list []sample) {
		for i := range 2 {
			n := uint64(seconds) * uint64(100*(i+1)) * uint64(k*10) / 10
			list = append(list, sample{
				at: start.Add(time.Duration(seconds) * time.Second), cpu: float64(seconds) * 30 * k, feed: float64(seconds) * 10 * k, memory: 20 * k,
				roles:   map[string]stats.Traffic{"membership": {OutBytes: n, OutMessages: n / 10, InBytes: 2 * n, InMessages: n / 5}},
				learned: n, heard: n, statements: n,
			})
		}
		return list
	}
	real, hollow := o.rates(samplesAt(0, 1), samplesAt(10, 1)), o.rates(samplesAt(0, 2), samplesAt(10, 2))
	assert.Equal(t, Spread{Mean: 150, P99: 200, Max: 200}, real.Control["bytes_out_per_s"])
	assert.Equal(t, 300.0, real.ByRole["membership"].BytesIn)
	assert.Equal(t, 15.0, real.ByRole["membership"].Messages)
	assert.Equal(t, 10.0, real.ByRole["membership"].BytesPerMessage)
	assert.InDelta(t, 2, real.Control["core_percent"].Mean, 1e-9, "20 ms of work per second without the feed")
	real.subtractBaseline(Side{CoreWith: 0.5, MemoryWith: 15})
	assert.InDelta(t, 1.5, real.Control["core_percent"].Mean, 1e-9)
	assert.InDelta(t, 5, real.Control["memory_mb"].Mean, 1e-9)
	hollow.subtractBaseline(Side{CoreWith: 2.4, MemoryWith: 35.1})
	r := Report{Real: real, Hollow: hollow}
	r.setRatios()
	assert.Equal(t, 2.0, r.Ratio["membership.bytes_out_per_s"])
	assert.InDelta(t, 1.067, r.Ratio["core_percent"], 1e-9)
	assert.Contains(t, r.Differences, "membership.bytes_out_per_s: hollow 300, real 150")
	for _, d := range r.Differences {
		assert.NotContains(t, d, "core_percent", "that is within 15%%")
	}
}

func TestBadSizesAreRefused(t *testing.T) {
	_, err := Run(context.Background(), Options{Gateways: 2, Databases: 9})
	require.ErrorContains(t, err, "whole groups of 4")
}
