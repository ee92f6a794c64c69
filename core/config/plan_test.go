package config

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestEveryoneReads guards against nodes that depend on others although the log
// can serve all of them, and against a fleet that overloads the log.
func TestEveryoneReads(t *testing.T) {
	for _, test := range []struct {
		name        string
		plan        ReadPlan
		zone, fleet int
		want        bool
	}{
		{"small site", ReadPlan{ReadsPerSecond: 2000, MaxAge: 5 * time.Second}, 5, 15, true},
		{"grown site", ReadPlan{ReadsPerSecond: 6000, MaxAge: 5 * time.Second}, 19, 70, true},
		{"300 nodes", ReadPlan{ReadsPerSecond: 6000, MaxAge: 5 * time.Second}, 75, 300, true},
		{"target size", ReadPlan{ReadsPerSecond: 6000, MaxAge: 5 * time.Second}, 647, 9700, false},
		{"slow log", ReadPlan{ReadsPerSecond: 100, MaxAge: 5 * time.Second}, 25, 70, false},
		{"unknown, small zone", ReadPlan{}, 8, 40, true},
		{"unknown, large zone", ReadPlan{}, 9, 9, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, test.plan.AllNodesRead(test.zone, test.fleet), test.want)
		})
	}
}

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
