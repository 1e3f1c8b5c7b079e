package wan

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Datagrams leave the queue in the order of their due times, and those due at the same time in the order of arrival.
func TestScaleRelayQueueKeepsTheOrder(t *testing.T) {
	l, rnd := &loop{}, rand.New(rand.NewPCG(1, 1))
	for i := range 1000 {
		l.push(datagram{due: rnd.Int64N(20), sequence: uint64(i)})
	}
	last := l.pop()
	for range 999 {
		p := l.pop()
		assert.True(t, last.due < p.due || last.due == p.due && last.sequence < p.sequence)
		last = p
	}
	assert.Empty(t, l.queue)
}
