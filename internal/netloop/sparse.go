package netloop

import (
	"log"
	"time"
)

// RateLimitedLog logs one line of a kind a second at most: what a crowd of peers can cause as often
// as it likes must not fill the log.
type RateLimitedLog struct {
	MaxPerSecond int // lines in a second; 0: one
	next         time.Duration
	said         int
	skipped      int
}

// Printf logs, or counts what it leaves out for the next line.
func (s *RateLimitedLog) Printf(now time.Duration, format string, args ...any) {
	if now >= s.next {
		s.next, s.said = now+time.Second, 0
	}
	if s.said >= max(1, s.MaxPerSecond) {
		s.skipped++
		return
	}
	s.said++
	log.Printf(format+" skipped=%d", append(args, s.skipped)...)
	s.skipped = 0
}
