package config

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAgesStayWithinBound guards against a node that refuses requests although
// every read succeeds, because its configuration gets too old between two reads.
func TestAgesStayWithinBound(t *testing.T) {
	const strictFraction = 0.9 // fraction of MaxAge from which keys are refused
	for _, maxAge := range []time.Duration{3 * time.Second, 5 * time.Second, 17 * time.Second, time.Minute} {
		p := ReadPlan{MaxAge: maxAge}
		bound := time.Duration(float64(maxAge) * strictFraction)
		assert.Assert(t, p.ReadWait() > 0, "%v", maxAge)
		assert.Assert(t, p.MaxReaderAge() < bound, "%v: reader %v", maxAge, p.MaxReaderAge())
		assert.Assert(t, p.MaxNonReaderAge() < bound, "%v: non-reader %v", maxAge, p.MaxNonReaderAge())
	}
}
