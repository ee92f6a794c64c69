package spread

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a choice by expected completion that serves a smaller fraction
// of the calls within their goal, or takes longer, than the one without service
// times, and against calls that cross zones without need.
func TestLoads(t *testing.T) {
	maxCrossed := []float64{0, 0.16, 0, 0, 0.05, 0.02, 0.5, 0.1}
	checks := map[string]func(*testing.T, Outcome){
		"zones at 1.55 and 0.45": spillsSteadily, "feedback 200 ms old from 90 nodes": noHerding, "recovered upstream": recovers,
	}
	for i, l := range Loads() {
		t.Run(l.Name, func(t *testing.T) {
			before, after := Play(l, false, 7), Play(l, true, 7)
			t.Logf("within the goal %.4f, now %.4f; mean latency %.0f ms, now %.0f ms; crossed %.4f, now %.4f", before.Within, after.Within, 1000*before.Mean, 1000*after.Mean, before.Crossed, after.Crossed)
			assert.Assert(t, after.Within >= before.Within)
			assert.Assert(t, after.Mean <= before.Mean)
			assert.Assert(t, after.Crossed <= maxCrossed[i])
			if check := checks[l.Name]; check != nil {
				check(t, after)
			}
		})
	}
}

// spillsSteadily guards against load that oscillates between zones, and against
// load that stays in another zone after its own has become calm.
func spillsSteadily(t *testing.T, o Outcome) {
	settled := o.Crossings[7:14]
	assert.Assert(t, slices.Max(settled) < 2*slices.Min(settled), "%v", settled)
	for _, n := range o.Crossings[19:24] {
		assert.Assert(t, n < slices.Min(settled)/5, "%d calls cross after the load", n)
	}
}

// noHerding guards against a fast upstream that all nodes fill at once between
// two feedbacks.
func noHerding(t *testing.T, o Outcome) {
	assert.Assert(t, o.Deviation < 0.2, "%.2f of the slots; independent arrivals give 0.1", o.Deviation)
}

// recovers guards against an upstream that stays without calls once it was slow.
func recovers(t *testing.T, o Outcome) {
	for _, parts := range o.Parts[13:17] {
		total := 0
		for _, n := range parts {
			total += n
		}
		assert.Assert(t, float64(parts[0]) > 0.75*float64(total)/float64(len(parts)), "%v", parts)
	}
}
