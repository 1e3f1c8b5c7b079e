// Package retrybudget implements a retry budget: it bounds retries to a share of first attempts (Google's "Site Reliability
// Engineering", chapter 21). A share needs no coordination: if each gateway keeps to it, the fleet does, however load is
// distributed, whichever gateways can communicate and whichever have just started. So a stalled group receives a bounded number
// of retries from all gateways together, without leases or messages between them.
package retrybudget

// burst is the maximum number of saved-up retries and the initial number: a gateway with little load must be able to retry at
// all. Each gateway may exceed its share by this number.
const burst = 3

// Budget is the retry budget of one gateway. The zero value allows all retries.
type Budget struct {
	share  float64
	tokens float64
}

// New returns a budget of a share of first attempts; 0 means no bound.
func New(share float64) Budget { return Budget{share: share, tokens: burst} }

// Allows reports whether an attempt may be made: a first attempt always, a retry if the budget has one left.
func (b *Budget) Allows(retry bool) bool { return !retry || b.share <= 0 || b.tokens >= 1 }

// Record accounts for an attempt.
func (b *Budget) Record(retry bool) {
	if retry {
		b.tokens--
	} else {
		b.tokens = min(burst, b.tokens+b.share)
	}
}
