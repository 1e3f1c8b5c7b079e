package overridestore

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"lilaccove/internal/sys"
)

// bootPath is where Linux exposes the ID of the current boot.
const bootPath = "/proc/sys/kernel/random/boot_id"

// ClockReading is a point in time as read from two clocks of the machine.
type ClockReading struct {
	Wall      time.Time     // wall clock, which may be stepped
	BootID    string        // ID of the machine's boot; empty: unknown
	SinceBoot time.Duration // elapsed time since that boot, including suspend
}

// Now reads the clocks.
func Now() ClockReading {
	reading := ClockReading{Wall: time.Unix(0, int64(sys.WallClock()))}
	boot, err := os.ReadFile(bootPath)
	var since unix.Timespec
	if err == nil {
		err = unix.ClockGettime(unix.CLOCK_BOOTTIME, &since)
	}
	if err == nil {
		reading.BootID, reading.SinceBoot = strings.TrimSpace(string(boot)), time.Duration(since.Nano())
	}
	return reading
}

// since returns the time from earlier to c: by the boot clock if both are of the same boot, otherwise by the wall clock.
func (c ClockReading) since(earlier ClockReading) time.Duration {
	if c.BootID != "" && c.BootID == earlier.BootID && c.SinceBoot >= earlier.SinceBoot {
		return c.SinceBoot - earlier.SinceBoot
	}
	return c.Wall.Sub(earlier.Wall)
}
