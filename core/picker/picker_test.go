package picker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dogwoodsill.org/core/admit"
	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000_000, 0)

func newRNG() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// newTestSet returns a set of n targets, the first own of which are in the
// node's zone a.
func newTestSet(n, own int) *Set {
	s := NewSet("a")
	list := make([]Target, n)
	for i := range list {
		zone := "b"
		if i < own {
			zone = "a"
		}
		list[i] = Target{ID: fmt.Sprintf("t%03d", i), Zone: zone}
	}
	s.Update(list)
	return s
}

// picks returns how often each target is chosen in n calls that end at once.
func picks(s *Set, now time.Time, n int, q Query, r Result, f *admit.Feedback) map[string]int {
	got := map[string]int{}
	rng := newRNG()
	for range n {
		if id, ok := s.Pick(now, q, rng); ok {
			got[id]++
			s.Done(now, id, r, f)
		}
	}
	return got
}

func countEjected(s *Set) int {
	n := 0
	for _, t := range s.Status() {
		if t.Ejected {
			n++
		}
	}
	return n
}

// Guards against a call to a draining target or to one that the call has tried,
// and against a probe of either.
func TestNeverDrainingOrTried(t *testing.T) {
	s := newTestSet(4, 4)
	s.Drain("t000")
	got := picks(s, start, 200, Query{Tried: []string{"t001"}}, OK, nil)
	assert.Equal(t, got["t000"]+got["t001"], 0)
	assert.Equal(t, got["t002"]+got["t003"], 200)
	_, ok := s.Pick(start, Query{Tried: []string{"t001", "t002", "t003"}}, newRNG())
	assert.Assert(t, !ok)
}

// Guards against the loss of a whole service when every target fails.
func TestAllFailing(t *testing.T) {
	for _, n := range []int{1, 2, 3, 7, 100} {
		s := newTestSet(n, n)
		for i := range 100 {
			picks(s, start.Add(time.Duration(i)*10*time.Millisecond), 10*n, Query{NoProbe: true}, Failed, nil)
			assert.Assert(t, countEjected(s) <= n/2, "%d of %d ejected", countEjected(s), n)
		}
		_, ok := s.Pick(start.Add(time.Second), Query{NoProbe: true}, newRNG())
		assert.Assert(t, ok)
		if n > 1 {
			assert.Equal(t, countEjected(s), n/2)
		}
	}
}

// Guards against more than half of a list being ejected after it has become
// shorter.
func TestShrinkingList(t *testing.T) {
	s := newTestSet(6, 6)
	picks(s, start, 1000, Query{NoProbe: true}, Failed, nil)
	assert.Equal(t, countEjected(s), 3)
	var rest []Target
	for _, st := range s.Status() {
		if st.Ejected {
			rest = append(rest, st.Target)
		}
	}
	s.Update(rest)
	assert.Equal(t, countEjected(s), 1)
}

// Guards against a fixed probe interval and against a target that is never
// restored.
func TestProbesBackOffAndRestore(t *testing.T) {
	s := newTestSet(2, 2)
	picks(s, start, 100, Query{Tried: []string{"t001"}, NoProbe: true}, Failed, nil)
	assert.Equal(t, countEjected(s), 1)
	var probes []time.Duration
	rng := newRNG()
	for d := time.Duration(0); d < time.Minute; d += 100 * time.Millisecond {
		now := start.Add(d)
		id, _ := s.Pick(now, Query{}, rng)
		if id == "t000" {
			probes = append(probes, d)
			s.Done(now, id, Failed, nil)
			continue
		}
		s.Done(now, id, OK, nil)
	}
	assert.DeepEqual(t, probes, []time.Duration{1 * time.Second, 3 * time.Second, 7 * time.Second, 15 * time.Second, 31 * time.Second})
	got := picks(s, start.Add(2*time.Minute), 100, Query{}, OK, nil)
	assert.Assert(t, got["t000"] > 20)
	assert.Equal(t, countEjected(s), 0)
}

// Guards against calls that still go to a target which responds to none.
func TestSilentTarget(t *testing.T) {
	s := newTestSet(3, 3)
	id, _ := s.Pick(start, Query{}, newRNG())
	picks(s, start.Add(2*time.Second), 10, Query{Tried: []string{id}}, OK, nil)
	assert.Equal(t, countEjected(s), 0)
	got := picks(s, start.Add(DefaultUnreachableAfter), 100, Query{}, OK, nil)
	assert.Equal(t, got[id], 0)
	assert.Equal(t, countEjected(s), 1)
}

// Guards against unnecessary traffic between zones, and against an overloaded
// zone while another is idle.
func TestZones(t *testing.T) {
	idle := &admit.Feedback{Level: admit.OpenLevel, Limit: 10}
	full := &admit.Feedback{Level: admit.OpenLevel, Limit: 10, InFlight: 12}
	closed := &admit.Feedback{Level: admit.LowestRank(2), Limit: 10}
	for _, c := range []struct {
		name string
		own  *admit.Feedback
		rank uint32
		want int // calls that stay in the zone
	}{
		{"idle", idle, admit.LowestRank(4), 100},
		{"full", full, admit.LowestRank(4), 0},
		{"level refuses", closed, admit.LowestRank(4), 0},
		{"level admits", closed, admit.LowestRank(1), 100},
	} {
		s := newTestSet(4, 2)
		for _, id := range []string{"t000", "t001"} {
			s.find(id).inFlight++
			s.Done(start, id, OK, c.own)
		}
		got := picks(s, start, 100, Query{Rank: c.rank}, OK, nil)
		assert.Equal(t, got["t000"]+got["t001"], c.want, c.name)
	}
	s := newTestSet(2, 0)
	assert.Equal(t, len(picks(s, start, 100, Query{}, OK, nil)), 2, "own zone absent")
}

// Guards against a choice that ignores load. If no call ends, the power of two
// choices keeps the in-flight counts close together.
func TestBalance(t *testing.T) {
	s := newTestSet(10, 10)
	rng := newRNG()
	for range 1000 {
		_, ok := s.Pick(start, Query{}, rng)
		assert.Assert(t, ok)
	}
	for _, st := range s.Status() {
		assert.Assert(t, st.InFlight >= 95 && st.InFlight <= 105, "%s has %d", st.ID, st.InFlight)
	}
}

// Guards against old feedback because of which a target counts as loaded
// permanently.
func TestFeedbackExpires(t *testing.T) {
	s := newTestSet(2, 1)
	s.find("t000").inFlight++
	s.Done(start, "t000", Refused, &admit.Feedback{Level: 0, Limit: 1, InFlight: 100})
	assert.Equal(t, picks(s, start, 100, Query{Rank: 1}, OK, nil)["t000"], 0)
	assert.Equal(t, picks(s, start.Add(2*time.Second), 100, Query{Rank: 1}, OK, nil)["t000"], 100)
}

func ExampleSet() {
	s := NewSet("bole")
	s.Update([]Target{{ID: "archive-0", Zone: "bole"}, {ID: "archive-1", Zone: "arada"}})
	now := time.Unix(0, 0)
	rng := rand.New(rand.NewPCG(1, 2))
	id, _ := s.Pick(now, Query{}, rng)
	fmt.Println(id)
	s.Done(now, id, Failed, nil)
	id, _ = s.Pick(now, Query{Tried: []string{id}}, rng)
	fmt.Println(id)
	// Output:
	// archive-0
	// archive-1
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{3, 30, 300} {
		for _, f := range []*admit.Feedback{nil, {Level: admit.OpenLevel, Limit: 100}, {Level: admit.OpenLevel, Limit: 100, ServiceTime: 200_000}} {
			name := fmt.Sprint(n)
			if f != nil {
				name += fmt.Sprint("/quality, service time ", f.ServiceTime)
			}
			b.Run(name, func(b *testing.B) {
				s := newTestSet(n, n/3)
				s.trackQuality = f != nil
				for _, t := range s.targets {
					s.Done(start, t.ID, OK, f)
				}
				rng := newRNG()
				for b.Loop() {
					id, _ := s.Pick(start, Query{}, rng)
					s.Done(start, id, OK, f)
				}
			})
		}
	}
}

// Guards against a changed choice for services without service times, and for
// those whose last service time has expired: the targets and the random numbers
// must be those of a set that never got one.
func TestChoiceWithoutServiceTimes(t *testing.T) {
	never, expired := NewSet("a", WithQuality()), NewSet("a", WithQuality())
	var list []Target
	for _, st := range newTestSet(9, 4).Status() {
		list = append(list, st.Target)
	}
	never.Update(list)
	expired.Update(list)
	f := admit.Feedback{Level: admit.OpenLevel, Limit: 20}
	for _, st := range list {
		never.Done(start, st.ID, OK, &f)
		timed := f
		timed.ServiceTime = 200_000
		expired.Done(start, st.ID, OK, &timed)
	}
	rngs := []*rand.Rand{newRNG(), newRNG()}
	now := start.Add(feedbackExpiry)
	for i := range 5000 {
		now = now.Add(time.Millisecond)
		var ids [2]string
		for k, s := range []*Set{never, expired} {
			ids[k], _ = s.Pick(now, Query{LargeBody: i%7 == 0, LatencyGoal: time.Second}, rngs[k])
			f.InFlight = i % 25
			if i%3 > 0 {
				s.RecordLatency(now, ids[k], time.Duration(50+i%100)*time.Millisecond)
				s.Done(now, ids[k], Result(i%29/28*2), &f)
			}
		}
		assert.Equal(t, ids[0], ids[1], "call %d", i)
	}
	assert.Equal(t, rngs[0].Uint64(), rngs[1].Uint64())
	assert.DeepEqual(t, expired.Spilled(now), []ZonePart{{Zone: "b"}})
	assert.Equal(t, len(never.Spilled(now)), 0)
}
