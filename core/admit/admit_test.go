package admit

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"testing"
	"time"

	"dogwoodsill.org/core/model"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000_000, 0)

// Guards against a rank in which the demand or the hash outweighs the
// importance, also for demands that are NaN or infinite.
func TestRankOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		low := rapid.IntRange(0, model.MaxLevel-1).Draw(t, "importance")
		demand := func(name string) float64 {
			return rapid.OneOf(rapid.Float64(), rapid.Just(math.NaN()), rapid.Just(math.Inf(1))).Draw(t, name)
		}
		a := Rank(low, demand("demand a"), rapid.String().Draw(t, "root a"))
		b := Rank(low+1, demand("demand b"), rapid.String().Draw(t, "root b"))
		assert.Assert(t, a < b)
		assert.Assert(t, a >= LowestRank(low) && a < LowestRank(low+1))
		assert.Assert(t, ClassExcluded(a, low+1) && !ClassExcluded(a, low))
	})
}

// Guards against a cutoff within the ranks of a class that isn't max-min fair:
// every customer must get the minimum of its demand and a common rate.
func TestRankCutIsFair(t *testing.T) {
	demands := []float64{0.2, 0.8, 1.5, 10} // multiples of the fair share
	const share = 4000
	for _, cutoff := range []float64{0.1, 0.5, 1, 1.3, 3} {
		level := Rank(4, 1, "x")&^(1<<classShift-1) | uint32(min(cutoff, 0.999)*maxPosition)
		if cutoff > 1 {
			level = LowestRank(4) | uint32(1+math.Log2(cutoff)*excessStepsPerDoubling)<<positionBits
		}
		for c, d := range demands {
			admitted := 0
			for i := range int(share * d) {
				if Rank(4, d, fmt.Sprint(c, "/", i)) <= level {
					admitted++
				}
			}
			want := share * min(d, cutoff)
			assert.Assert(t, math.Abs(float64(admitted)-want) < 0.05*want+30, "cutoff %g demand %g: %d, want %g", cutoff, d, admitted, want)
		}
	}
}

func TestWaterLevel(t *testing.T) {
	for _, c := range []struct {
		rates    []float64
		capacity float64
		want     float64
	}{
		{nil, 1, 0},
		{[]float64{1, 2, 3}, 100, 3},
		{[]float64{1, 2, 30}, 6, 3},
		{[]float64{5, 5, 5, 5}, 4, 1},
		{[]float64{1, 2}, 0, 0},
		{[]float64{1, 2}, math.Inf(1), 2},
	} {
		assert.Equal(t, FairShare(slices.Clone(c.rates), c.capacity), c.want, "%v", c)
	}
}

// Guards against a queue that exceeds its size, loses or duplicates items, runs
// an item that can't meet its deadline, or drops or runs items in the wrong
// order.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const wait, expected = 100 * time.Millisecond, 20 * time.Millisecond
		size := rapid.IntRange(0, 10).Draw(t, "size")
		q, now, next := NewQueue[int](wait), epoch, 0
		queued := map[int]Item[int]{}
		remove := func(it Item[int]) {
			_, ok := queued[it.Value]
			assert.Assert(t, ok, "item left twice")
			delete(queued, it.Value)
		}
		dropped := func(ds []Dropped[int]) {
			for _, d := range ds {
				remove(d.Item)
				if d.Cause == QueueFull {
					for _, other := range queued {
						assert.Assert(t, other.Rank <= d.Item.Rank, "dropped an item of lower rank than one that stayed")
					}
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				it := Item[int]{
					Rank:     uint32(rapid.IntRange(0, 5).Draw(t, "rank")),
					Deadline: now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond),
					Value:    next,
				}
				queued[next] = it
				next++
				dropped(q.Push(now, size, it))
			},
			"pop": func(*rapid.T) {
				it, ok, ds := q.Pop(now, expected)
				dropped(ds)
				if !ok {
					assert.Equal(t, len(queued), 0)
					return
				}
				remove(it)
				assert.Assert(t, !now.Add(expected).After(it.Deadline), "item runs that can't meet its deadline")
				for _, other := range queued {
					assert.Assert(t, it.Rank < other.Rank || it.Rank == other.Rank && it.Value < other.Value)
				}
			},
			"sweep": func(*rapid.T) { dropped(q.RemoveOverdue(now, expected)) },
			"wait":  func(*rapid.T) { now = now.Add(30 * time.Millisecond) },
			"": func(t *rapid.T) {
				assert.Equal(t, q.Len(), len(queued))
				assert.Assert(t, q.Len() <= size)
			},
		})
	})
}

// simulation drives one gate behind a throttle. Requests arrive evenly, take
// simServiceTime each, and the feedback of the gate reaches the throttle after
// simFeedbackDelay.
type simulation struct {
	gate        *Gate[int]
	throttle    *Throttle
	now         time.Time
	limit       int
	n           int
	finishTimes []time.Time
	reports     []Feedback // pending feedback, one for each millisecond of delay
	admitted    map[int]int
	offered     map[int]int
	refused     map[int]int
}

const (
	simServiceTime   = 50 * time.Millisecond
	simFeedbackDelay = 30 // milliseconds
)

func newSimulation(limit int) *simulation {
	return &simulation{gate: NewGate[int](DefaultMaxWait), throttle: NewThrottle(), now: epoch, limit: limit}
}

// run offers requests of each importance at a rate per second and counts those
// that are offered, admitted and refused, by importance.
func (s *simulation) run(d time.Duration, rates map[int]float64) {
	s.admitted, s.offered, s.refused = map[int]int{}, map[int]int{}, map[int]int{}
	due := map[int]float64{}
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(time.Millisecond) {
		s.step()
		for imp := range model.MaxLevel + 1 {
			due[imp] += rates[imp] / 1000
			for ; due[imp] >= 1; due[imp]-- {
				s.offer(imp)
			}
		}
	}
}

func (s *simulation) step() {
	for len(s.finishTimes) > 0 && !s.finishTimes[0].After(s.now) {
		s.finishTimes = s.finishTimes[1:]
		run, dropped := s.gate.Finish(s.now, s.limit, simServiceTime)
		for _, it := range run {
			s.start(it)
		}
		s.recordDropped(dropped)
	}
	s.reports = append(s.reports, s.gate.Feedback(s.now, s.limit, "c"))
	if len(s.reports) > simFeedbackDelay {
		s.throttle.RecordFeedback(s.now, "s", "t", "c", s.reports[0])
		s.reports = s.reports[1:]
	}
}

func (s *simulation) offer(imp int) {
	s.n++
	s.offered[imp]++
	rank := Rank(imp, 1, strconv.Itoa(s.n))
	if !s.throttle.Admit(s.now, "s", "c", rank) {
		s.refused[imp]++
		return
	}
	it := Item[int]{Rank: rank, Deadline: s.now.Add(time.Second), Value: imp}
	d, dropped := s.gate.Arrive(s.now, s.limit, it)
	if d == Admitted {
		s.start(it)
	}
	s.recordDropped(dropped)
}

func (s *simulation) start(it Item[int]) {
	s.admitted[it.Value]++
	s.finishTimes = append(s.finishTimes, s.now.Add(simServiceTime))
}

func (s *simulation) recordDropped(ds []Dropped[int]) {
	for _, d := range ds {
		s.refused[d.Item.Value]++
	}
}

// Guards against a level that oscillates, which leaves capacity unused, and
// against one that doesn't open within seconds after the load has ended.
func TestLevelStableAndRecovers(t *testing.T) {
	for _, load := range []float64{1.5, 3, 10} {
		s := newSimulation(50) // 1000 requests a second
		s.run(3*time.Second, map[int]float64{4: load * 1000})
		for range 20 {
			s.run(500*time.Millisecond, map[int]float64{4: load * 1000})
			assert.Assert(t, s.admitted[4] >= 475, "load %g: %d admitted in half a second of 500", load, s.admitted[4])
		}
		s.run(2*time.Second, map[int]float64{4: 700})
		assert.Equal(t, s.gate.Level.Value(s.now), OpenLevel, "load %g", load)
		s.run(time.Second, map[int]float64{4: 700})
		assert.Equal(t, s.refused[4], 0, "refusals after recovery from %g", load)
	}
}

// Guards against refusals of the important class while it fits the capacity,
// and against a level that excludes the other class permanently.
func TestImportantClassLast(t *testing.T) {
	s := newSimulation(50)
	s.run(time.Second, map[int]float64{1: 500, 4: 9500})
	s.run(10*time.Second, map[int]float64{1: 500, 4: 9500})
	assert.Equal(t, s.refused[1], 0)
	assert.Assert(t, s.admitted[4] >= 4500, "%d admitted of the about 5000 that fit", s.admitted[4])
	s.run(2*time.Second, map[int]float64{1: 3000, 4: 9000})
	s.run(5*time.Second, map[int]float64{1: 3000, 4: 9000})
	assert.Assert(t, s.admitted[1] >= 4750, "important class alone above capacity: %d admitted", s.admitted[1])
	s.run(2*time.Second, map[int]float64{1: 500, 4: 9500})
	s.run(5*time.Second, map[int]float64{1: 500, 4: 9500})
	assert.Equal(t, s.refused[1], 0, "after the important class alone exceeded capacity")
}

// Guards against a level that still refuses requests to a service whose target
// has gone, and against a throttle that lets no request pass while the level is
// at its lowest.
func TestReaderExpiryAndProbes(t *testing.T) {
	throttle := NewThrottle()
	throttle.RecordFeedback(epoch, "s", "t", "c", Feedback{})
	passed := 0
	for i := range 1000 {
		if throttle.Admit(epoch.Add(time.Duration(i)*time.Millisecond), "s", "c", Rank(4, 1, strconv.Itoa(i))) {
			passed++
		}
	}
	assert.Assert(t, passed > 0 && passed < 100, "%d passed at the lowest level", passed)
	assert.Equal(t, throttle.Level(epoch.Add(LevelExpiry), "s"), uint32(0))
	later := epoch.Add(LevelExpiry + time.Millisecond)
	assert.Equal(t, throttle.Level(later, "s"), OpenLevel)
	assert.Assert(t, throttle.Admit(later, "s", "c", OpenLevel))
}

// Guards against demand that targets can't measure because entries refuse it:
// the weights of the requests that pass must add up to all that were offered.
func TestWeightsCountDemand(t *testing.T) {
	throttle := NewThrottle()
	throttle.RecordFeedback(epoch, "s", "t", "c", Feedback{Level: Rank(4, 0.2, "x"), PathLevel: Rank(4, 0.2, "x")})
	offered, sum := 0, 0.0
	for i := range 5000 {
		offered++
		if throttle.Admit(epoch, "s", "c", Rank(4, 1, strconv.Itoa(i))) {
			sum += throttle.TakeWeight("s", "c")
		}
	}
	assert.Assert(t, sum > 0.95*float64(offered) && sum <= float64(offered), "%g of %d", sum, offered)
}

// Guards against entries that don't learn of an overload below the target, and
// against refusals because of a service that few calls use.
func TestJoinPath(t *testing.T) {
	throttle := NewThrottle()
	for i := range 100 {
		throttle.RecordCall(epoch, "front")
		throttle.RecordChild(epoch, "front", "deep")
		if i%10 == 0 {
			throttle.RecordChild(epoch, "front", "rare")
		}
	}
	throttle.RecordFeedback(epoch, "deep", "d", "c", Feedback{Level: 7, PathLevel: 5, Demand: 3})
	throttle.RecordFeedback(epoch, "rare", "r", "c", Feedback{Level: 1, PathLevel: 1, Demand: 9})
	f := throttle.MergeChildren(epoch, "front", "c", Feedback{Level: OpenLevel, PathLevel: OpenLevel, Demand: 1})
	assert.DeepEqual(t, f, Feedback{Level: OpenLevel, PathLevel: 5, Demand: 3})
}

// Guards against an estimated service time above every deadline, which would
// drop all requests and so never be corrected.
func TestExpectedDoesNotStarve(t *testing.T) {
	g := NewGate[int](DefaultMaxWait)
	arrive := func(now time.Time) Decision {
		d, _ := g.Arrive(now, 10, Item[int]{Deadline: now.Add(time.Second)})
		return d
	}
	assert.Equal(t, arrive(epoch), Admitted)
	g.Finish(epoch, 10, 30*time.Second)
	assert.Equal(t, arrive(epoch), Refused)
	assert.Equal(t, arrive(epoch.Add(6*time.Second)), Admitted)
}

// Guards against a fair share that follows the largest customer: the demand of
// the others must stay within their share.
func TestSharesDemand(t *testing.T) {
	s := NewShares()
	for i := range 10_000 {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		s.RecordArrival(now, "greedy", 10)
		if i%10 == 0 {
			s.RecordArrival(now, "small", 1)
		}
	}
	now := epoch.Add(10 * time.Second)
	greedy, small := s.Demand(now, "greedy", 1000), s.Demand(now, "small", 1000)
	assert.Assert(t, greedy > 9 && greedy < 13, "greedy %g", greedy)
	assert.Assert(t, small > 0.05 && small < 0.2, "small %g", small)
	assert.Equal(t, s.Demand(now, "unknown", 1000), 1.0)
}

func ExampleGate() {
	g := NewGate[string](DefaultMaxWait)
	now := time.Unix(0, 0)
	arrive := func(name string, importance int) {
		d, dropped := g.Arrive(now, 1, Item[string]{
			Rank: Rank(importance, 1, name), Deadline: now.Add(time.Second), Value: name,
		})
		fmt.Println(name, d == Admitted, len(dropped))
	}
	arrive("lookup 1", 4)
	arrive("lookup 2", 4)
	arrive("order", 1)
	run, _ := g.Finish(now, 1, 50*time.Millisecond)
	fmt.Println("next:", run[0].Value)
	// Output:
	// lookup 1 true 0
	// lookup 2 false 0
	// order false 0
	// next: order
}

func BenchmarkGate(b *testing.B) {
	for _, limit := range []int{15, 80, 1000} {
		b.Run(fmt.Sprint(limit), func(b *testing.B) {
			g := NewGate[int](DefaultMaxWait)
			for i := 0; b.Loop(); i++ {
				now := epoch.Add(time.Duration(i) * 10 * time.Microsecond)
				it := Item[int]{Rank: uint32(i * 2654435761), Deadline: now.Add(time.Second)}
				g.Arrive(now, limit, it)
				if g.Running() >= limit {
					g.Finish(now, limit, 50*time.Millisecond)
				}
			}
		})
	}
}

func BenchmarkReaderAdmit(b *testing.B) {
	for _, n := range []int{3, 30, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			throttle := NewThrottle()
			for i := 0; b.Loop(); i++ {
				now := epoch.Add(time.Duration(i) * 100 * time.Microsecond)
				throttle.RecordFeedback(now, "s", strconv.Itoa(i%n), "c", Feedback{Level: 1 << 31, PathLevel: 1 << 31, Demand: 1})
				throttle.Admit(now, "s", "c", uint32(i*2654435761))
			}
		})
	}
}

func TestReturned(t *testing.T) {
	for _, importance := range []int{0, 3, 7} {
		for _, demand := range []float64{0.5, 1, 8} {
			rank := Rank(importance, demand, "root")
			retry := RetryRank(rank)
			assert.Assert(t, retry <= rank)
			assert.Assert(t, retry >= LowestRank(importance), "stays in its class")
			assert.Equal(t, retry>>positionBits, rank>>positionBits, "keeps class and excess")
		}
	}
}

// Guards against a new request that displaces a call for which work has been
// done already.
func TestBelowGoesFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	q := NewQueue[string](time.Second)
	deadline := now.Add(time.Minute)
	for _, it := range []Item[string]{
		{Rank: 0, Value: "new, most important", Deadline: deadline},
		{Rank: 9, Value: "below", ChildCall: true, Deadline: deadline},
		{Rank: 5, Value: "new", Deadline: deadline},
	} {
		q.Push(now, 3, it)
	}
	dropped := q.Push(now, 3, Item[string]{Rank: 8, Value: "below, lower rank", ChildCall: true, Deadline: deadline})
	assert.Equal(t, len(dropped), 1)
	assert.Equal(t, dropped[0].Item.Value, "new")
	for _, want := range []string{"below, lower rank", "below", "new, most important"} {
		it, ok, _ := q.Pop(now, 0)
		assert.Assert(t, ok)
		assert.Equal(t, it.Value, want)
	}
}

// Checks that the maximum wait of an item overrides that of the queue.
func TestItemWait(t *testing.T) {
	now := time.Unix(1000, 0)
	q := NewQueue[string](100 * time.Millisecond)
	q.Push(now, 3, Item[string]{Value: "own", MaxWait: 300 * time.Millisecond, Deadline: now.Add(time.Minute)})
	q.Push(now, 3, Item[string]{Value: "queue's", Deadline: now.Add(time.Minute)})
	dropped := q.RemoveOverdue(now.Add(200*time.Millisecond), 0)
	assert.Equal(t, len(dropped), 1)
	assert.Equal(t, dropped[0].Item.Value, "queue's")
	assert.Equal(t, len(q.RemoveOverdue(now.Add(301*time.Millisecond), 0)), 1)
}
