package start

import (
	"runtime/debug"

	"dogwoodsill.org/core/setup"
)

// memoryPercent is the percentage of the process memory that the Go runtime may use.
// The rest is for the program binary, the C library and memory that the garbage
// collector can't free in time.
const memoryPercent = 75

// setMemoryLimit makes the garbage collector run more often when the process comes
// close to the memory limit at which it would be killed.
func setMemoryLimit(l setup.Limits) {
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(l.MemoryMB) << 20 * memoryPercent / 100)
	}
}
