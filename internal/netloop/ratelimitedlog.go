package netloop

import (
	"log"
	"time"
)

// RateLimitedLog limits the log lines of one kind per second: lines that a crowd of peers can cause at will
// must not fill the log.
type RateLimitedLog struct {
	MaxPerSecond int // 0: one
	windowEnd    time.Duration
	printed      int
	skipped      int
}

// Printf logs the line, or counts it as skipped for the next line.
func (l *RateLimitedLog) Printf(now time.Duration, format string, args ...any) {
	if now >= l.windowEnd {
		l.windowEnd, l.printed = now+time.Second, 0
	}
	if l.printed >= max(1, l.MaxPerSecond) {
		l.skipped++
		return
	}
	l.printed++
	log.Printf(format+" skipped=%d", append(args, l.skipped)...)
	l.skipped = 0
}
