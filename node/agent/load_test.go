package agent

import (
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/metric"
)

// TestTally guards against log lines about the load of a node without requests,
// and against requests that are missing from the log.
func TestTally(t *testing.T) {
	a := &Agent{metrics: metric.New(), log: hclog.NewNullLogger()}
	before := a.readCounts()
	assert.Assert(t, a.readCounts().sameRequests(before))
	for _, test := range []struct {
		name string
		n    int64
		got  func(loadCounts) int64
	}{
		{metric.Admitted, 1, func(t loadCounts) int64 { return t.admitted }},
		{metric.Refused + "overloaded", 2, func(t loadCounts) int64 { return t.refused }},
		{metric.Refused + "rate-limited", 3, func(t loadCounts) int64 { return t.refused - 2 }},
		{metric.Served, 4, func(t loadCounts) int64 { return t.served }},
		{metric.Attempts, 5, func(t loadCounts) int64 { return t.attempts }},
		{metric.Retries, 6, func(t loadCounts) int64 { return t.retries }},
	} {
		t.Run(test.name, func(t *testing.T) {
			a.metrics.Add(test.name, test.n)
			after := a.readCounts()
			assert.Equal(t, test.got(after), test.n)
			assert.Assert(t, !after.sameRequests(before))
			before = after
		})
	}
}
