package backend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/gateway"
	"lilaccove/policy"
)

// lateAtBegin is a core for which it is too late to begin the first attempt when it is about to be written, as after a pause.
type lateAtBegin struct {
	recorder
	calls int
}

func (o *lateAtBegin) BeginAttempt(a *gateway.Attempt, until time.Duration) time.Duration {
	if o.calls++; o.calls == 1 {
		return 0
	}
	return o.recorder.BeginAttempt(a, until)
}

// An attempt whose time to begin ends just before the write is not sent, and its connection serves the next one.
func TestAttemptExpiredBeforeWriteIsNotSent(t *testing.T) {
	p := newFakeDatabase(t)
	close(p.greet)
	p.answer <- struct{}{}
	core := &lateAtBegin{}
	r := newRigFor(t, core)
	r.list(p.Addr().String())
	r.send(5 * time.Second)
	r.send(5 * time.Second)
	r.loop.At(r.loop.Now()+3*time.Second, r.loop.Stop)
	require.NoError(t, r.loop.Run(func() bool {
		if len(core.outcomes) == 2 {
			r.loop.Stop()
		}
		return false
	}))
	assert.Equal(t, []policy.Outcome{policy.NotSent, policy.OK}, core.outcomes)
	assert.Len(t, p.queries, 1)
}
