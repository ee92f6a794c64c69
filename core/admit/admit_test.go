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
// importance, also for values out of range.
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

// Guards against a cut through the ranks that isn't max-min fair: every
// customer must get the least of its demand and a common rate.
func TestRankCutIsFair(t *testing.T) {
	demands := []float64{0.2, 0.8, 1.5, 10} // multiples of the fair share
	const share = 4000
	for _, cut := range []float64{0.1, 0.5, 1, 1.3, 3} {
		level := Rank(4, 1, "x")&^(1<<classShift-1) | uint32(min(cut, 0.999)*positionMax)
		if cut > 1 {
			level = LowestRank(4) | uint32(1+math.Log2(cut)*excessSteps)<<positionBits
		}
		for c, d := range demands {
			admitted := 0
			for i := range int(share * d) {
				if Rank(4, d, fmt.Sprint(c, "/", i)) <= level {
					admitted++
				}
			}
			want := share * min(d, cut)
			assert.Assert(t, math.Abs(float64(admitted)-want) < 0.05*want+30, "cut %g demand %g: %d, want %g", cut, d, admitted, want)
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

// Guards against a queue that grows, loses or duplicates items, runs a late
// one, or evicts and runs in the wrong order.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const wait, expected = 100 * time.Millisecond, 20 * time.Millisecond
		size := rapid.IntRange(0, 10).Draw(t, "size")
		q, now, next := NewQueue[int](wait), epoch, 0
		in := map[int]Item[int]{}
		leave := func(it Item[int]) {
			_, ok := in[it.Value]
			assert.Assert(t, ok, "item left twice")
			delete(in, it.Value)
		}
		dropped := func(ds []Dropped[int]) {
			for _, d := range ds {
				leave(d.Item)
				if d.Cause == QueueFull {
					for _, other := range in {
						assert.Assert(t, other.Rank <= d.Item.Rank, "evicted a lower rank")
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
				in[next] = it
				next++
				dropped(q.Push(now, size, it))
			},
			"pop": func(*rapid.T) {
				it, ok, ds := q.Pop(now, expected)
				dropped(ds)
				if !ok {
					assert.Equal(t, len(in), 0)
					return
				}
				leave(it)
				assert.Assert(t, !now.Add(expected).After(it.Deadline), "late item runs")
				for _, other := range in {
					assert.Assert(t, it.Rank < other.Rank || it.Rank == other.Rank && it.Value < other.Value)
				}
			},
			"sweep": func(*rapid.T) { dropped(q.RemoveOverdue(now, expected)) },
			"wait":  func(*rapid.T) { now = now.Add(30 * time.Millisecond) },
			"": func(t *rapid.T) {
				assert.Equal(t, q.Len(), len(in))
				assert.Assert(t, q.Len() <= size)
			},
		})
	})
}

// loop drives one gate with readers in front. Requests arrive evenly, take
// service each and are told to the reader after lag.
type loop struct {
	gate     *Gate[int]
	reader   *Throttle
	now      time.Time
	limit    int
	n        int
	finish   []time.Time
	reports  []Feedback // one for each millisecond of lag
	admitted map[int]int
	offered  map[int]int
	evicted  map[int]int
}

const (
	loopService = 50 * time.Millisecond
	loopLag     = 30 // milliseconds
)

func newLoop(limit int) *loop {
	return &loop{gate: NewGate[int](DefaultMaxWait), reader: NewThrottle(), now: epoch, limit: limit}
}

// run offers requests of each importance at a rate per second. It returns the
// admitted ones per second by importance.
func (l *loop) run(d time.Duration, rates map[int]float64) {
	l.admitted, l.offered, l.evicted = map[int]int{}, map[int]int{}, map[int]int{}
	debt := map[int]float64{}
	for end := l.now.Add(d); l.now.Before(end); l.now = l.now.Add(time.Millisecond) {
		l.step()
		for imp := range model.MaxLevel + 1 {
			debt[imp] += rates[imp] / 1000
			for ; debt[imp] >= 1; debt[imp]-- {
				l.offer(imp)
			}
		}
	}
}

func (l *loop) step() {
	for len(l.finish) > 0 && !l.finish[0].After(l.now) {
		l.finish = l.finish[1:]
		run, dropped := l.gate.Finish(l.now, l.limit, loopService)
		for _, it := range run {
			l.start(it)
		}
		l.drop(dropped)
	}
	l.reports = append(l.reports, l.gate.Feedback(l.now, l.limit, "c"))
	if len(l.reports) > loopLag {
		l.reader.RecordFeedback(l.now, "s", "t", "c", l.reports[0])
		l.reports = l.reports[1:]
	}
}

func (l *loop) offer(imp int) {
	l.n++
	l.offered[imp]++
	rank := Rank(imp, 1, strconv.Itoa(l.n))
	if !l.reader.Admit(l.now, "s", "c", rank) {
		l.evicted[imp]++
		return
	}
	it := Item[int]{Rank: rank, Deadline: l.now.Add(time.Second), Value: imp}
	d, dropped := l.gate.Arrive(l.now, l.limit, it)
	if d == Admitted {
		l.start(it)
	}
	l.drop(dropped)
}

func (l *loop) start(it Item[int]) {
	l.admitted[it.Value]++
	l.finish = append(l.finish, l.now.Add(loopService))
}

func (l *loop) drop(ds []Dropped[int]) {
	for _, d := range ds {
		l.evicted[d.Item.Value]++
	}
}

// Guards against a level that oscillates, so that capacity lies idle, and
// against one that doesn't open within seconds after the load has ended.
func TestLevelStableAndRecovers(t *testing.T) {
	for _, load := range []float64{1.5, 3, 10} {
		l := newLoop(50) // 1000 a second
		l.run(3*time.Second, map[int]float64{4: load * 1000})
		for range 20 {
			l.run(500*time.Millisecond, map[int]float64{4: load * 1000})
			assert.Assert(t, l.admitted[4] >= 475, "load %g: %d admitted in half a second of 500", load, l.admitted[4])
		}
		l.run(2*time.Second, map[int]float64{4: 700})
		assert.Equal(t, l.gate.Level.Value(l.now), OpenLevel, "load %g", load)
		l.run(time.Second, map[int]float64{4: 700})
		assert.Equal(t, l.evicted[4], 0, "refusals after recovery from %g", load)
	}
}

// Guards against refusals of the important class while it fits the capacity,
// and against starvation of the rest by a level that shuts it out for good.
func TestImportantClassLast(t *testing.T) {
	l := newLoop(50)
	l.run(time.Second, map[int]float64{1: 500, 4: 9500})
	l.run(10*time.Second, map[int]float64{1: 500, 4: 9500})
	assert.Equal(t, l.evicted[1], 0)
	assert.Assert(t, l.admitted[4] >= 4500, "%d of about 5000 left", l.admitted[4])
	l.run(2*time.Second, map[int]float64{1: 3000, 4: 9000})
	l.run(5*time.Second, map[int]float64{1: 3000, 4: 9000})
	assert.Assert(t, l.admitted[1] >= 4750, "alone above capacity: %d", l.admitted[1])
	l.run(2*time.Second, map[int]float64{1: 500, 4: 9500})
	l.run(5*time.Second, map[int]float64{1: 500, 4: 9500})
	assert.Equal(t, l.evicted[1], 0, "after the important class alone exceeded capacity")
}

// Guards against a level that closes a service whose target has gone, and
// against a reader that lets nothing pass while the level is at its lowest.
func TestReaderExpiryAndProbes(t *testing.T) {
	r := NewThrottle()
	r.RecordFeedback(epoch, "s", "t", "c", Feedback{})
	passed := 0
	for i := range 1000 {
		if r.Admit(epoch.Add(time.Duration(i)*time.Millisecond), "s", "c", Rank(4, 1, strconv.Itoa(i))) {
			passed++
		}
	}
	assert.Assert(t, passed > 0 && passed < 100, "%d passed a closed level", passed)
	assert.Equal(t, r.Level(epoch.Add(LevelExpiry), "s"), uint32(0))
	later := epoch.Add(LevelExpiry + time.Millisecond)
	assert.Equal(t, r.Level(later, "s"), OpenLevel)
	assert.Assert(t, r.Admit(later, "s", "c", OpenLevel))
}

// Guards against demand that entries hide: the weights of passed requests add
// up to all that were offered.
func TestWeightsCountDemand(t *testing.T) {
	r := NewThrottle()
	r.RecordFeedback(epoch, "s", "t", "c", Feedback{Level: Rank(4, 0.2, "x"), PathLevel: Rank(4, 0.2, "x")})
	offered, sum := 0, 0.0
	for i := range 5000 {
		offered++
		if r.Admit(epoch, "s", "c", Rank(4, 1, strconv.Itoa(i))) {
			sum += r.TakeWeight("s", "c")
		}
	}
	assert.Assert(t, sum > 0.95*float64(offered) && sum <= float64(offered), "%g of %d", sum, offered)
}

// Guards against entries that don't learn of an overload below the target, and
// against refusals because of a service that few calls use.
func TestJoinPath(t *testing.T) {
	r := NewThrottle()
	for i := range 100 {
		r.RecordCall(epoch, "front")
		r.RecordChild(epoch, "front", "deep")
		if i%10 == 0 {
			r.RecordChild(epoch, "front", "rare")
		}
	}
	r.RecordFeedback(epoch, "deep", "d", "c", Feedback{Level: 7, PathLevel: 5, Demand: 3})
	r.RecordFeedback(epoch, "rare", "r", "c", Feedback{Level: 1, PathLevel: 1, Demand: 9})
	f := r.MergeChildren(epoch, "front", "c", Feedback{Level: OpenLevel, PathLevel: OpenLevel, Demand: 1})
	assert.Equal(t, f, Feedback{Level: OpenLevel, PathLevel: 5, Demand: 3})
}

// Guards against an expected service time above every deadline, which would
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

// Guards against shares that follow the largest customer: the others keep a
// demand within their share.
func TestSharesDemand(t *testing.T) {
	s := NewShares()
	for i := range 10_000 {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		s.Arrive(now, "greedy", 10)
		if i%10 == 0 {
			s.Arrive(now, "small", 1)
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
			r := NewThrottle()
			for i := 0; b.Loop(); i++ {
				now := epoch.Add(time.Duration(i) * 100 * time.Microsecond)
				r.RecordFeedback(now, "s", strconv.Itoa(i%n), "c", Feedback{Level: 1 << 31, PathLevel: 1 << 31, Demand: 1})
				r.Admit(now, "s", "c", uint32(i*2654435761))
			}
		})
	}
}

func TestReturned(t *testing.T) {
	for _, importance := range []int{0, 3, 7} {
		for _, demand := range []float64{0.5, 1, 8} {
			first := Rank(importance, demand, "root")
			back := RetryRank(first)
			assert.Assert(t, back <= first)
			assert.Assert(t, back >= LowestRank(importance), "stays in its class")
			assert.Equal(t, back>>positionBits, first>>positionBits, "keeps class and excess")
		}
	}
}

// TestBelowGoesFirst guards against a new request that takes the place of a call
// for which work has been done already.
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

// TestItemWait checks the wait of an item that has its own.
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
