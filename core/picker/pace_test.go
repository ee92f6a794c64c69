package picker

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/admit"
)

// Guards against a node that goes on to send most of its calls to targets that refuse them
// because of a rate limit, while others have room.
func TestPaceFollowsAcceptedCalls(t *testing.T) {
	const (
		accepts  = 2.0 // calls per second that each limited target accepts from this node
		calls    = 60  // per second
		duration = 20 * time.Second
		refusals = 0.5 // of the calls sent to limited targets; more would be most of them
	)
	rng := rand.New(rand.NewPCG(1, 2))
	s := NewSet("z", WithQuality())
	now := time.Unix(1000, 0)
	s.Update([]Target{{ID: "limited1", Zone: "z"}, {ID: "limited2", Zone: "z"}, {ID: "limited3", Zone: "z"}, {ID: "open", Zone: "z"}})
	var rates [3]admit.Rate
	limited := map[string]*admit.Rate{"limited1": &rates[0], "limited2": &rates[1], "limited3": &rates[2]}
	var sent, refused, open int
	for i := range int(duration.Seconds() * calls) {
		now = now.Add(time.Second / calls)
		if i == calls {
			for id, r := range limited {
				r.Set(now, accepts)
				s.SetLimited(now, id, true)
			}
		}
		id, ok := s.Pick(now, Query{}, rng)
		assert.Assert(t, ok)
		result := OK
		if r := limited[id]; r != nil && !r.Take(now) {
			result = Refused
		}
		s.Done(now, id, result, nil)
		if i < 5*calls { // the node learns its part
			continue
		}
		switch {
		case id == "open":
			open++
		default:
			sent++
			if result == Refused {
				refused++
			}
		}
	}
	assert.Assert(t, open > 0)
	assert.Assert(t, float64(refused) <= refusals*float64(sent), "%d of %d calls to limited targets refused", refused, sent)
	used := float64(sent-refused) / (3 * accepts * (duration.Seconds() - 5))
	assert.Assert(t, used > 0.7, "%.2f of the limits used", used)
}

// Guards against a call that gets no target because all of them are limited: they decide
// by its rank.
func TestPaceAllLimited(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	s := NewSet("z")
	now := time.Unix(1000, 0)
	s.Update([]Target{{ID: "a", Zone: "z"}, {ID: "b", Zone: "y"}})
	s.SetLimited(now, "a", true)
	assert.Assert(t, !s.AllLimited())
	s.SetLimited(now, "b", true)
	assert.Assert(t, s.AllLimited())
	for range 20 {
		_, ok := s.Pick(now, Query{}, rng)
		assert.Assert(t, ok)
	}
}

// Guards against nodes that send most calls to a cold target, and against a step of the load at the
// end of its cold period.
func TestPaceOfColdTarget(t *testing.T) {
	const calls = 100 // per second
	rng := rand.New(rand.NewPCG(1, 2))
	s := NewSet("z")
	now := time.Unix(1000, 0)
	s.Update([]Target{{ID: "cold", Zone: "z", Cold: true}, {ID: "warm", Zone: "z"}})
	s.ApplyCold(now)
	var perHalf [20]int // calls to the cold target in each half second; it becomes warm after the sixth
	for i := range len(perHalf) * calls / 2 {
		now = now.Add(time.Second / calls)
		if i == 6*calls/2 {
			s.SetCold(now, "cold", false)
		}
		id, ok := s.Pick(now, Query{}, rng)
		assert.Assert(t, ok)
		s.Done(now, id, OK, nil)
		if id == "cold" {
			perHalf[i*2/calls]++
		}
	}
	for i, n := range perHalf[:6] {
		assert.Assert(t, n <= 2, "half second %d: %v", i, perHalf)
	}
	for i := 6; i < len(perHalf); i++ {
		assert.Assert(t, perHalf[i] <= 2*perHalf[i-1]+4, "half second %d: %v", i, perHalf)
	}
	assert.Assert(t, perHalf[19] >= calls/8, "%v", perHalf)
}

// Guards against a call to a target that has said that it takes none yet, and against one that is
// left out for longer.
func TestFullColdTarget(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	s := NewSet("z")
	now := time.Unix(1000, 0)
	s.Update([]Target{{ID: "cold", Zone: "z"}})
	s.SetCold(now, "cold", true)
	s.SetFull("cold", now.Add(time.Second))
	_, ok := s.Pick(now, Query{}, rng)
	assert.Assert(t, !ok)
	_, ok = s.Pick(now.Add(time.Second), Query{}, rng)
	assert.Assert(t, ok)
	s.SetCold(now, "cold", false)
	_, ok = s.Pick(now, Query{}, rng)
	assert.Assert(t, ok)
}
