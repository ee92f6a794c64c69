package metric

import (
	"syscall"
	"time"
)

// ProcessorTime returns the processor time of the process since its start: user
// and system time of all threads. Other load on the machine doesn't affect it.
func ProcessorTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, err
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}
