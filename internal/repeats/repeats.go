// Package repeats bounds how many attempts may be repeats, as a share of first attempts (a retry budget, as in Google's
// "Site Reliability Engineering", chapter 21). A share divides itself: where each gateway keeps to it, the fleet does, however
// the load lies, whoever can hear whom and whoever has just started. So a group that stalls meets a bounded sum of all
// gateways' repeats, and nothing has to be lent or told.
package repeats

// burst is how many repeats are saved up at most, and how many there are at first: one that is asked little must be able to
// repeat at all. All gateways together may make so many more than their share.
const burst = 3

// Budget is one gateway's. The zero value bounds nothing.
type Budget struct {
	share float64
	have  float64
}

// New allows a share of first attempts; 0 bounds nothing.
func New(share float64) Budget { return Budget{share: share, have: burst} }

// Allows tells whether an attempt may be made: a first one always, a repeat as long as there are some in hand.
func (b *Budget) Allows(repeat bool) bool { return !repeat || b.share <= 0 || b.have >= 1 }

// Record notes an attempt.
func (b *Budget) Record(repeat bool) {
	if repeat {
		b.have--
	} else {
		b.have = min(burst, b.have+b.share)
	}
}
