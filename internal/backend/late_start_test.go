package backend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/gateway"
	"lilaccove/policy"
)

// overtaken is a core that finds the first attempt's time to begin over when it is about to be written, as behind a stop.
type overtaken struct {
	ends
	asked int
}

func (o *overtaken) BeginAttempt(a *gateway.Attempt, until time.Duration) time.Duration {
	if o.asked++; o.asked == 1 {
		return 0
	}
	return o.ends.BeginAttempt(a, until)
}

// An attempt whose time is over in the very moment in which it would be written is not sent, and its connection serves the next.
func TestAttemptThatIsOvertakenBeforeTheWriteIsNotSent(t *testing.T) {
	p := newPlace(t)
	close(p.greet)
	p.answer <- struct{}{}
	core := &overtaken{}
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
