package agent

import (
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/metric"
)

// TestTally guards against lines about a node that carries nothing, and against
// load that the log doesn't tell.
func TestTally(t *testing.T) {
	a := &Agent{metrics: metric.New(), log: hclog.NewNullLogger()}
	before := a.tally()
	assert.Assert(t, a.tally().idle(before))
	for _, test := range []struct {
		name string
		n    int64
		got  func(tally) int64
	}{
		{metric.Admitted, 1, func(t tally) int64 { return t.admitted }},
		{metric.Refused + "overloaded", 2, func(t tally) int64 { return t.refused }},
		{metric.Refused + "rate-limited", 3, func(t tally) int64 { return t.refused - 2 }},
		{metric.Served, 4, func(t tally) int64 { return t.served }},
		{metric.Attempts, 5, func(t tally) int64 { return t.attempts }},
		{metric.Retries, 6, func(t tally) int64 { return t.retries }},
	} {
		t.Run(test.name, func(t *testing.T) {
			a.metrics.Add(test.name, test.n)
			after := a.tally()
			assert.Equal(t, test.got(after), test.n)
			assert.Assert(t, !after.idle(before))
			before = after
		})
	}
}
