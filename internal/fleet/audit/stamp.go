package audit

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Stamp is a moment of a hybrid logical clock (Kulkarni, Demirbas and others, 2014): milliseconds since the Unix epoch in the
// upper 48 bits, a count in the lower 16. Of two events of which one led to the other by messages that carry stamps, the
// earlier has the smaller one, whatever the clocks say; other events are ordered only as well as the clocks agree.
type Stamp uint64

// StampOf is the smallest stamp of a moment.
func StampOf(t time.Duration) Stamp { return Stamp(t.Milliseconds()) << 16 }

// Moment is when it was by the clocks, as a duration since the Unix epoch.
func (s Stamp) Moment() time.Duration { return time.Duration(s>>16) * time.Millisecond }

// String is milliseconds and count, like 1796167102486.3.
func (s Stamp) String() string { return fmt.Sprintf("%d.%d", uint64(s>>16), uint16(s)) }

// MarshalText writes a stamp as String does.
func (s Stamp) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads what String writes.
func (s *Stamp) UnmarshalText(text []byte) error {
	ms, count, ok := strings.Cut(string(text), ".")
	a, err := strconv.ParseUint(ms, 10, 48)
	b, err2 := strconv.ParseUint(count, 10, 16)
	if !ok || err != nil || err2 != nil {
		return fmt.Errorf("%q is no stamp like 1796167102486.3", text)
	}
	*s = Stamp(a<<16 | b)
	return nil
}

// aheadMost is how far a peer's stamp may be before this clock. One that is further would be carried on for ever.
const aheadMost = time.Second

// Clock gives stamps that only rise.
type Clock struct {
	last    Stamp
	Refused uint64 // stamps of peers that were too far ahead
}

// Now is a stamp greater than all before.
func (c *Clock) Now(t time.Duration) Stamp {
	c.last = max(c.last+1, StampOf(t))
	return c.last
}

// Read is the stamp now without moving on: for what need not be told apart.
func (c *Clock) Read(t time.Duration) Stamp { return max(c.last, StampOf(t)) }

// Heard takes in a stamp that came with a message: what follows is later.
func (c *Clock) Heard(t time.Duration, s Stamp) {
	if s > StampOf(t+aheadMost) {
		c.Refused++
		return
	}
	c.last = max(c.last, s)
}
