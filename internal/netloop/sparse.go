package netloop

import (
	"log"
	"time"
)

// Sparse logs one line of a kind a second at most: what a crowd of peers can cause as often
// as it likes must not fill the log.
type Sparse struct {
	next    time.Duration
	skipped int
}

// Printf logs, or counts what it leaves out for the next line.
func (s *Sparse) Printf(now time.Duration, format string, args ...any) {
	if now < s.next {
		s.skipped++
		return
	}
	log.Printf(format+" skipped=%d", append(args, s.skipped)...)
	s.next, s.skipped = now+time.Second, 0
}
