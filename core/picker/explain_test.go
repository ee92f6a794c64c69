package picker

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/admit"
)

// TestExplainChangesNothing guards against an explanation that counts as a call, and against
// one that names another choice than that of a call.
func TestExplainChangesNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewSet("a", WithQuality())
	s.Update([]Target{{ID: "busy", Zone: "a"}, {ID: "idle", Zone: "a"}, {ID: "leaving", Zone: "a", Draining: true}, {ID: "far", Zone: "b"}})
	for id, inFlight := range map[string]int{"busy": 9, "idle": 0} {
		s.Done(now, id, OK, &admit.Feedback{Level: admit.OpenLevel, PathLevel: admit.OpenLevel, InFlight: inFlight, Limit: 10, ServiceTime: 100_000})
	}
	before := s.Status()
	first := s.Explain(now, Query{}, rand.New(rand.NewPCG(1, 1)))
	assert.DeepEqual(t, s.Explain(now, Query{}, rand.New(rand.NewPCG(1, 1))), first)
	assert.DeepEqual(t, s.Status(), before)
	byID, sum := map[string]Explanation{}, 0.0
	for _, e := range first {
		byID[e.ID] = e
		sum += e.Chance
	}
	assert.Equal(t, byID["leaving"].Excluded, "draining")
	assert.Equal(t, byID["leaving"].Chance, 0.0)
	assert.Equal(t, byID["busy"].Load, 9.0)
	assert.Assert(t, byID["idle"].Chance > byID["busy"].Chance, "%v", byID)
	assert.Assert(t, sum > 0.999 && sum < 1.001, "%v", sum)
}
