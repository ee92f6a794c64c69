package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against more dispatches than a stated rate allows, after a pause, under pressure
// and while the rate changes.
func TestRateBound(t *testing.T) {
	const (
		window = 4 * time.Second
		factor = 1.5 // the users' bound: factor times the rate over a window, and slack
		slack  = 5
	)
	for _, perSecond := range []float64{0, 0.3, 4, 22.3, 400} {
		rng := rand.New(rand.NewPCG(1, uint64(perSecond*10)))
		var r Rate
		now := time.Unix(1000, 0)
		r.Set(now, perSecond)
		var taken []time.Time
		for range 40000 {
			step := time.Duration(rng.Int64N(int64(2 * time.Millisecond)))
			if rng.IntN(4000) == 0 {
				step = time.Duration(rng.Int64N(int64(3 * time.Second))) // a pause
			}
			now = now.Add(step)
			if rng.IntN(100) == 0 {
				r.Set(now, perSecond) // each response states the rate again
			}
			if r.Take(now) {
				taken = append(taken, now)
			}
		}
		first := 0
		for i, at := range taken {
			for at.Sub(taken[first]) > window {
				first++
			}
			assert.Assert(t, float64(i-first+1) <= factor*perSecond*window.Seconds()+slack, "%d at %g/s", i-first+1, perSecond)
		}
		assert.Assert(t, len(taken) > 0, "no request at %g/s: the limit could never end", perSecond)
	}
}

// Guards against a rate limit that refuses important requests in place of others, or lets
// requests wait that could be served elsewhere.
func TestRateRefusesByRank(t *testing.T) {
	const (
		perSecond = 20.0
		limit     = 50
	)
	g := NewGate[int](DefaultMaxWait)
	now := time.Unix(1000, 0)
	g.Rate.Set(now, perSecond)
	var started, refused [2]int // by rank
	record := func(run []Item[int], dropped []Dropped[int]) {
		for _, it := range run {
			started[it.Rank]++
			_, _ = g.Finish(now, 0, 0)
		}
		for _, d := range dropped {
			refused[d.Item.Rank]++
		}
	}
	for i := range 4000 { // 200 a second for 20 s; one in twenty is important
		now = now.Add(5 * time.Millisecond)
		rank := uint32(1)
		if i%20 == 0 {
			rank = 0
		}
		d, dropped := g.Arrive(now, limit, Item[int]{Rank: rank, Deadline: now.Add(time.Minute)})
		if d == Admitted {
			record([]Item[int]{{Rank: rank}}, nil)
		}
		record(nil, dropped)
		record(g.Poll(now, limit))
		assert.Assert(t, g.Waiting() <= int(perSecond*DefaultMaxWait.Seconds()), "%d wait", g.Waiting())
	}
	assert.Equal(t, refused[0], 0, "important requests refused")
	total := started[0] + started[1]
	assert.Assert(t, total > 350 && total <= 411, "%d started in 20 s at %g a second", total, perSecond)
}

// Guards against a service that refuses requests at the entry because some of its targets
// have a rate limit, while others have room.
func TestLimitedTargetsLeaveServiceOpen(t *testing.T) {
	now := time.Unix(1000, 0)
	report := func(th *Throttle, target string, level uint32, limited bool) {
		th.RecordFeedback(now, "s", target, "c", Feedback{Level: level, PathLevel: level, RateLimited: limited})
	}
	th := NewThrottle()
	for _, target := range []string{"a", "b", "c"} {
		report(th, target, 5, true)
	}
	assert.Equal(t, th.Level(now, "s"), OpenLevel, "the fourth has not reported yet")
	report(th, "d", OpenLevel, false)
	assert.Equal(t, th.Level(now, "s"), OpenLevel)
	report(th, "d", 7, true)
	th.SetLimited("s", true)
	assert.Equal(t, th.Level(now, "s"), uint32(5), "all targets are limited")
}
