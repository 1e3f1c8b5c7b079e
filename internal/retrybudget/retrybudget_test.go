package retrybudget

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// For any number of gateways, any order of attempts and any restarts, the total of retries stays within the share of the total of
// first attempts, plus the initial burst of each process.
func TestFleetKeepsToShare(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		share := rapid.Float64Range(0.01, 1).Draw(r, "share")
		gateways := rapid.IntRange(1, 20).Draw(r, "n")
		budgets := make([]Budget, gateways)
		for i := range budgets {
			budgets[i] = New(share)
		}
		firsts, retries, processes := 0, 0, gateways
		for range rapid.IntRange(1, 400).Draw(r, "steps") {
			i := rapid.IntRange(0, gateways-1).Draw(r, "who")
			switch rapid.IntRange(0, 9).Draw(r, "what") {
			case 0:
				budgets[i] = New(share)
				processes++
			case 1, 2, 3:
				require.True(r, budgets[i].Allows(false))
				budgets[i].Record(false)
				firsts++
			default:
				if budgets[i].Allows(true) {
					budgets[i].Record(true)
					retries++
				}
			}
		}
		require.LessOrEqual(r, float64(retries), share*float64(firsts)+float64(processes*burst)+1e-6)
	})
}

// The zero value does not limit retries.
func TestZeroShareAllowsAllRetries(t *testing.T) {
	var b Budget
	for range 100 {
		assert.True(t, b.Allows(true))
		b.Record(true)
	}
}
