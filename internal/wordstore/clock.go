package wordstore

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"lilaccove/internal/sys"
)

// bootPath is where Linux tells which boot of the machine this is.
const bootPath = "/proc/sys/kernel/random/boot_id"

// ClockReading is a point in time by two clocks of the machine.
type ClockReading struct {
	Wall      time.Time     // it may be stepped
	BootID    string        // which boot of the machine it is; empty: not known
	SinceBoot time.Duration // real time since then, standby included
}

// Now is the moment now.
func Now() ClockReading {
	m := ClockReading{Wall: time.Unix(0, int64(sys.WallClock()))}
	boot, err := os.ReadFile(bootPath)
	var since unix.Timespec
	if err == nil {
		err = unix.ClockGettime(unix.CLOCK_BOOTTIME, &since)
	}
	if err == nil {
		m.BootID, m.SinceBoot = strings.TrimSpace(string(boot)), time.Duration(since.Nano())
	}
	return m
}

// since is how long before m another moment was: in real time where both are of one boot, else by the wall clock.
func (c ClockReading) since(earlier ClockReading) time.Duration {
	if c.BootID != "" && c.BootID == earlier.BootID && c.SinceBoot >= earlier.SinceBoot {
		return c.SinceBoot - earlier.SinceBoot
	}
	return c.Wall.Sub(earlier.Wall)
}
