package limit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Unix(1_000_000_000, 0)

// fakeTarget simulates an upstream with slots. With more requests than slots,
// latency grows in proportion to the requests. A target that sheds load refuses
// the excess instead.
type fakeTarget struct {
	slots     int
	mean      time.Duration
	childTime time.Duration
	shedsLoad bool
	rng       *rand.Rand
	now       time.Time
}

func newFakeTarget(slots int) *fakeTarget {
	return &fakeTarget{slots: slots, mean: 50 * time.Millisecond, rng: rand.New(rand.NewPCG(1, 2)), now: epoch}
}

// run keeps as many calls in flight as the limit allows for a time.
func (g *fakeTarget) run(l *Limit, d time.Duration) {
	end := g.now.Add(d)
	for g.now.Before(end) {
		n := l.Value()
		slowdown := max(1, float64(n)/float64(g.slots))
		if g.shedsLoad && n > g.slots && g.rng.IntN(n) >= g.slots {
			l.Observe(g.now, Sample{Latency: time.Millisecond, Shed: true}, n)
			g.now = g.now.Add(10 * time.Microsecond)
			continue
		}
		if g.shedsLoad {
			slowdown = 1
		}
		duration := float64(g.mean+g.childTime) * slowdown
		ownTime := duration - float64(g.childTime)
		ownTime *= math.Exp(g.rng.NormFloat64()*0.5 - 0.125)
		l.Observe(g.now, Sample{Latency: time.Duration(ownTime) + g.childTime, ChildTime: g.childTime}, n)
		g.now = g.now.Add(time.Duration(duration / float64(n)))
	}
}

func assertBetween(t *testing.T, what string, got int, low, high float64) {
	t.Helper()
	assert.Assert(t, float64(got) >= low && float64(got) <= high, "%s: limit %d outside [%g, %g]", what, got, low, high)
}

// Guards against a limit that collapses by chance or grows without bound, and
// against hints that break it: announced slots and load far from the truth. At
// three times the slots a request waits for two service times in the upstream.
func TestConvergesWhateverHints(t *testing.T) {
	for _, slots := range []int{15, 50, 80} {
		for _, h := range []struct {
			slots int
			load  float64
		}{{0, 0}, {slots, 0.5}, {1, 1}, {100_000, 0}, {-5, math.NaN()}} {
			g, l := newFakeTarget(slots), New()
			l.HintSlots(h.slots)
			for range 20 {
				l.HintLoad(g.now, h.load)
				g.run(l, 500*time.Millisecond)
			}
			for range 20 {
				l.HintLoad(g.now, h.load)
				g.run(l, 500*time.Millisecond)
				assertBetween(t, fmt.Sprint("slots ", slots, " hints ", h), l.Value(), 0.7*float64(slots), 3*float64(slots))
			}
		}
	}
}

// Guards against a cold target that gets all its load at once, and against one
// whose limit stays small.
func TestSlowStart(t *testing.T) {
	g, l := newFakeTarget(80), New()
	assert.Equal(t, l.Value(), DefaultInitial)
	last := l.Value()
	for range 50 {
		g.run(l, 100*time.Millisecond)
		assert.Assert(t, l.Value() <= 2*last+1, "from %d to %d in one window", last, l.Value())
		last = l.Value()
	}
	assertBetween(t, "after 5 s", l.Value(), 56, 240)
	l.Restart()
	assert.Equal(t, l.Value(), DefaultInitial)
}

// Guards against a limit that stays above the capacity of an upstream which
// sheds load.
func TestShedding(t *testing.T) {
	g, l := newFakeTarget(50), New()
	g.shedsLoad = true
	g.run(l, 5*time.Second)
	for range 30 {
		g.run(l, time.Second)
		assertBetween(t, "shedding", l.Value(), 30, 60)
	}
}

// Guards against a limit that falls to its minimum when the service itself
// becomes slower, and against a baseline that stays high after it has become
// fast again.
func TestServiceChanges(t *testing.T) {
	g, l := newFakeTarget(50), New()
	g.run(l, 10*time.Second)
	g.mean *= 4
	g.run(l, 30*time.Second)
	assertBetween(t, "slower", l.Value(), 20, 150)
	g.mean /= 4
	g.run(l, 15*time.Second)
	assertBetween(t, "fast again", l.Value(), 35, 150)
}

// Guards against a slow service further down the call chain that shrinks the
// limits above it.
func TestSlowBelow(t *testing.T) {
	g, l := newFakeTarget(50), New()
	g.childTime = 20 * time.Millisecond
	g.run(l, 10*time.Second)
	g.childTime = 2 * time.Second
	g.run(l, 30*time.Second)
	assertBetween(t, "slow below", l.Value(), 35, 150)
}

// Guards against a limit below its lower bound, which would end all
// measurements.
func TestFloor(t *testing.T) {
	l := New()
	now := epoch
	for range 10_000 {
		now = now.Add(time.Millisecond)
		l.Observe(now, Sample{Shed: true}, l.Value())
	}
	assert.Equal(t, l.Value(), DefaultMin)
}

func ExampleLimit() {
	l := New(WithInitial(8))
	now := time.Unix(0, 0)
	for range 20 {
		now = now.Add(10 * time.Millisecond)
		l.Observe(now, Sample{Latency: 50 * time.Millisecond}, l.Value())
	}
	fmt.Println(l.Value(), l.Baseline())
	// Output: 16 50ms
}

func BenchmarkObserve(b *testing.B) {
	for _, slots := range []int{15, 80, 1000} {
		b.Run(fmt.Sprint(slots), func(b *testing.B) {
			l, now := New(WithInitial(slots)), epoch
			for b.Loop() {
				now = now.Add(time.Millisecond)
				l.Observe(now, Sample{Latency: 50 * time.Millisecond}, slots)
			}
		})
	}
}
