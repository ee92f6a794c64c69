package start

import (
	"math"
	"runtime/debug"
	"testing"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/setup"
)

// TestBoundMemory guards against a process that is killed for exceeding its memory
// limit although the garbage collector could have freed enough.
func TestBoundMemory(t *testing.T) {
	for _, test := range []struct {
		name string
		mb   int
		want int64
	}{
		{"not known", 0, math.MaxInt64},
		{"184 MB", 184, 138 << 20},
	} {
		t.Run(test.name, func(t *testing.T) {
			before := debug.SetMemoryLimit(math.MaxInt64)
			defer debug.SetMemoryLimit(before)
			setMemoryLimit(setup.Limits{MemoryMB: test.mb})
			assert.Equal(t, debug.SetMemoryLimit(-1), test.want)
		})
	}
}
