package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, including time spent suspended, as an offset from
// the Unix epoch.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(ts.Unix())
}
