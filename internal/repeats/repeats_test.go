package repeats

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Any number of gateways, asked for anything in any order, some of them started anew: the sum of repeats keeps to the share of
// the sum of first attempts, but for what each process has in hand at first.
func TestTheSumHolds(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		share := rapid.Float64Range(0.01, 1).Draw(r, "share")
		n := rapid.IntRange(1, 20).Draw(r, "n")
		list := make([]Budget, n)
		for i := range list {
			list[i] = New(share)
		}
		firsts, repeats, processes := 0, 0, n
		for range rapid.IntRange(1, 400).Draw(r, "steps") {
			i := rapid.IntRange(0, n-1).Draw(r, "who")
			switch rapid.IntRange(0, 9).Draw(r, "what") {
			case 0:
				list[i] = New(share)
				processes++
			case 1, 2, 3:
				require.True(r, list[i].Allows(false))
				list[i].Record(false)
				firsts++
			default:
				if list[i].Allows(true) {
					list[i].Record(true)
					repeats++
				}
			}
		}
		require.LessOrEqual(r, float64(repeats), share*float64(firsts)+float64(processes*burst)+1e-6)
	})
}

func TestNoShareBoundsNothing(t *testing.T) {
	var b Budget
	for range 100 {
		assert.True(t, b.Allows(true))
		b.Record(true)
	}
}
