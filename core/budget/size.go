package budget

const (
	mib = 1 << 20
	// DefaultMemoryMB is the memory of a process whose memory is not known, in MiB.
	DefaultMemoryMB = 1024
	// memoryDivisor is the part of the memory of a process that callers may occupy. The Go
	// runtime may use three quarters; the node itself needs a sixth of the smallest process
	// (184 MiB), and the rest is for what the garbage collector has not freed yet.
	memoryDivisor = 3
)

// PoolBytes returns the number of bytes that callers may occupy in a process with the given
// memory in MiB; 0 stands for DefaultMemoryMB.
func PoolBytes(memoryMB int) int64 {
	if memoryMB <= 0 {
		memoryMB = DefaultMemoryMB
	}
	return int64(memoryMB) * mib / memoryDivisor
}
