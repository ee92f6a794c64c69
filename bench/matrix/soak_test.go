package matrix

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against rounds that can't be repeated by their seed, that draw a fault
// twice or never, or whose faults lie outside the time of the traffic.
func TestDraw(t *testing.T) {
	names := map[string]bool{}
	for seed := range uint64(50) {
		a, b := draw(seed), draw(seed)
		assert.Assert(t, len(a.faults) >= minFaults && len(a.faults) <= maxFaults)
		assert.Assert(t, slices.Equal(a.spans, b.spans))
		seen := map[string]bool{}
		for i, f := range a.faults {
			assert.Equal(t, f.Name, b.faults[i].Name)
			assert.Assert(t, !seen[f.Name], "a fault was drawn twice in one round")
			seen[f.Name], names[f.Name] = true, true
			s := a.spans[i]
			assert.Assert(t, 0 <= s.from && s.from <= s.to && s.to <= beforeTime+2*duringTime)
		}
	}
	assert.Equal(t, len(names), len(Faults()), "some faults were never drawn")
}
