package start

import (
	"runtime/debug"

	"dogwoodsill.org/core/setup"
)

// memoryPart is the part, in hundredths, of the memory of the process that the Go
// runtime may use. The rest is for the program itself, the C library and what the
// collector can't free in time.
const memoryPart = 75

// boundMemory makes the collector run more often as the process comes near the
// memory at which it would be killed.
func boundMemory(l setup.Limits) {
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(l.MemoryMB) << 20 * memoryPart / 100)
	}
}
