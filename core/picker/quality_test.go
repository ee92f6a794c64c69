package picker

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Calls one target of the node's own zone and two of other zones. The target of
// the own zone fails or is slow, and the test checks the fraction of calls that
// it gets.
func TestQuality(t *testing.T) {
	for _, test := range []struct {
		name        string
		failureRate float64       // fraction of the calls to the own target that fail
		took        time.Duration // latency of the own target; 50 ms elsewhere
		low, top    float64       // bounds of the fraction of calls that the own target gets
	}{
		{"alike", 0, 50 * time.Millisecond, 0.95, 1},
		{"slightly slower", 0, 65 * time.Millisecond, 0.95, 1},
		{"half the speed", 0, 100 * time.Millisecond, 0.9, 1},
		{"twelve times slower", 0, 600 * time.Millisecond, 0, 0.3},
		{"fails four calls in five", 0.8, 50 * time.Millisecond, 0, 0.5},
		{"fails one in a hundred", 0.01, 50 * time.Millisecond, 0.9, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			s := NewSet("a", WithQuality())
			s.Update([]Target{{ID: "own", Zone: "a"}, {ID: "far1", Zone: "b"}, {ID: "far2", Zone: "c"}})
			now := time.Unix(1000, 0)
			const calls = 3000
			own := 0
			for range calls {
				now = now.Add(20 * time.Millisecond)
				id, ok := s.Pick(now, Query{}, rng)
				assert.Assert(t, ok)
				r, took := OK, 50*time.Millisecond
				if id == "own" {
					own++
					took = test.took
					if rng.Float64() < test.failureRate {
						r = Failed
					}
				}
				if r == OK {
					s.RecordLatency(now, id, took)
				}
				s.Done(now, id, r, nil)
			}
			fraction := float64(own) / calls
			assert.Assert(t, fraction >= test.low && fraction <= test.top, "own target got %.2f of the calls", fraction)
		})
	}
}

// Checks that a target that was slow gets calls again after it has recovered.
func TestQualityRecovers(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	s := NewSet("a", WithQuality())
	s.Update([]Target{{ID: "own", Zone: "a"}, {ID: "far", Zone: "b"}})
	now := time.Unix(1000, 0)
	own := 0
	for i := range 3000 {
		now = now.Add(20 * time.Millisecond)
		id, _ := s.Pick(now, Query{}, rng)
		took := 50 * time.Millisecond
		if id == "own" && i < 1000 {
			took = 500 * time.Millisecond
		}
		if id == "own" && i > 2000 {
			own++
		}
		s.RecordLatency(now, id, took)
		s.Done(now, id, OK, nil)
	}
	assert.Assert(t, own > 800, "own target got %d of 999 calls after it recovered", own)
}
