package boot

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted as a time.Time. Unlike the
// monotonic clock of time.Now, it advances while the machine is suspended. Only
// differences between its values have a meaning; it is not the time of day.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now() // a kernel without this clock doesn't support suspending
	}
	return time.Unix(ts.Unix())
}
