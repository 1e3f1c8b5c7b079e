package audit

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Timestamp is a moment of a hybrid logical clock (Kulkarni, Demirbas and others, 2014): milliseconds since the Unix epoch in the
// upper 48 bits, a count in the lower 16. Of two events of which one led to the other by messages that carry stamps, the
// earlier has the smaller one, whatever the clocks say; other events are ordered only as well as the clocks agree.
type Timestamp uint64

// TimestampAt is the smallest stamp of a moment.
func TimestampAt(t time.Duration) Timestamp { return Timestamp(t.Milliseconds()) << 16 }

// WallTime is when it was by the clocks, as a duration since the Unix epoch.
func (s Timestamp) WallTime() time.Duration { return time.Duration(s>>16) * time.Millisecond }

// String is milliseconds and count, like 1796167102486.3.
func (s Timestamp) String() string { return fmt.Sprintf("%d.%d", uint64(s>>16), uint16(s)) }

// MarshalText writes a stamp as String does.
func (s Timestamp) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads what String writes.
func (s *Timestamp) UnmarshalText(text []byte) error {
	ms, count, ok := strings.Cut(string(text), ".")
	a, err := strconv.ParseUint(ms, 10, 48)
	b, err2 := strconv.ParseUint(count, 10, 16)
	if !ok || err != nil || err2 != nil {
		return fmt.Errorf("%q is no stamp like 1796167102486.3", text)
	}
	*s = Timestamp(a<<16 | b)
	return nil
}

// aheadMost is how far a peer's stamp may be before this clock. One that is further would be carried on for ever.
const aheadMost = time.Second

// HybridClock gives stamps that only rise.
type HybridClock struct {
	last     Timestamp
	Rejected uint64 // stamps of peers that were too far ahead
}

// Now is a stamp greater than all before.
func (c *HybridClock) Now(t time.Duration) Timestamp {
	c.last = max(c.last+1, TimestampAt(t))
	return c.last
}

// Read is the stamp now without moving on: for what need not be told apart.
func (c *HybridClock) Read(t time.Duration) Timestamp { return max(c.last, TimestampAt(t)) }

// Observe takes in a stamp that came with a message: what follows is later.
func (c *HybridClock) Observe(t time.Duration, s Timestamp) {
	if s > TimestampAt(t+aheadMost) {
		c.Rejected++
		return
	}
	c.last = max(c.last, s)
}
