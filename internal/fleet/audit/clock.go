package audit

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Timestamp is a timestamp of a hybrid logical clock (Kulkarni, Demirbas and others, 2014): milliseconds since the Unix
// epoch in the upper 48 bits, a counter in the lower 16. Of two events of which one led to the other by messages that carry
// timestamps, the earlier has the smaller one, whatever the wall clocks say; other events are ordered only as well as the
// wall clocks agree.
type Timestamp uint64

// TimestampAt returns the smallest timestamp of a wall clock time.
func TimestampAt(t time.Duration) Timestamp { return Timestamp(t.Milliseconds()) << 16 }

// WallTime returns the wall clock part, as a duration since the Unix epoch.
func (s Timestamp) WallTime() time.Duration { return time.Duration(s>>16) * time.Millisecond }

// String returns milliseconds and counter, like 1796167102486.3.
func (s Timestamp) String() string { return fmt.Sprintf("%d.%d", uint64(s>>16), uint16(s)) }

// MarshalText writes a timestamp as String does.
func (s Timestamp) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads what String writes.
func (s *Timestamp) UnmarshalText(text []byte) error {
	msText, countText, ok := strings.Cut(string(text), ".")
	millis, err := strconv.ParseUint(msText, 10, 48)
	counter, err2 := strconv.ParseUint(countText, 10, 16)
	if !ok || err != nil || err2 != nil {
		return fmt.Errorf("%q is not a timestamp like 1796167102486.3", text)
	}
	*s = Timestamp(millis<<16 | counter)
	return nil
}

// maxLead is how far a peer's timestamp may be ahead of this clock. One further ahead would advance this clock for good.
const maxLead = time.Second

// HybridClock is a hybrid logical clock: its timestamps only increase.
type HybridClock struct {
	last     Timestamp
	Rejected uint64 // timestamps of peers that were too far ahead
}

// Now returns a timestamp greater than all earlier ones.
func (c *HybridClock) Now(t time.Duration) Timestamp {
	c.last = max(c.last+1, TimestampAt(t))
	return c.last
}

// Read returns the current timestamp without advancing the clock, for events that need no distinct timestamps.
func (c *HybridClock) Read(t time.Duration) Timestamp { return max(c.last, TimestampAt(t)) }

// Observe applies the timestamp of a received message: later ones of this clock are greater.
func (c *HybridClock) Observe(t time.Duration, s Timestamp) {
	if s > TimestampAt(t+maxLead) {
		c.Rejected++
		return
	}
	c.last = max(c.last, s)
}
