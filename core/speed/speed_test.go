package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLimit plays a load of a minute with the limit of the estimator and with that of the
// slots. It guards against a limit that misses a knee, and against one that takes load off an
// upstream which handles it.
func TestLimit(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	for _, test := range []struct {
		name    string
		change  func(u *simUpstream)
		load    float64 // offered, as a multiple of the capacity below the knee with all slots
		gain    float64 // least ratio of requests that end within their goal, over that of the slots
		lowest  int     // least limit
		limited float64 // largest fraction of time with a limit below the slots, by probes or by chance
	}{
		{"knee at 60%, factor 2, overload", func(u *simUpstream) { u.knee, u.factor = 0.6, 2 }, 1.2, 1.1, 27, 1},
		{"knee at 60%, factor 2, near its capacity", func(u *simUpstream) { u.knee, u.factor = 0.6, 2 }, 0.57, 1.1, 27, 1},
		{"knee at 60%, factor 2, no report", func(u *simUpstream) { u.knee, u.factor, u.states = 0.6, 2, nil }, 0.8, 1.1, 27, 1},
		{"knee at 60%, factor 2, in the report", func(u *simUpstream) { u.knee, u.factor, u.kneeInReport = 0.6, 2, true }, 0.8, 1.1, 27, 1},
		{"knee at 60%, factor 2, slow phases", func(u *simUpstream) { u.knee, u.factor, u.slow = 0.6, 2, phases(1.6, 0.15, 5) }, 0.8, 1.05, 27, 1},
		{"knee at 50%, factor 1.3", func(u *simUpstream) { u.knee, u.factor = 0.5, 1.3 }, 1.2, 0.97, 27, 0.1},
		{"knee at 95%, factor 1.3", func(u *simUpstream) { u.knee, u.factor = 0.95, 1.3 }, 1.2, 0.97, 27, 0.1},
		{"no knee", func(*simUpstream) {}, 1.2, 0.97, 27, 0.1},
		{"slow phases", func(u *simUpstream) { u.slow = phases(2, 0.15, 5) }, 0.85, 0.97, 27, 0.1},
		{"slow phases, no report", func(u *simUpstream) { u.slow, u.states = phases(2, 0.15, 5), nil }, 0.85, 0.97, 27, 0.2},
		{"slow phases in overload", func(u *simUpstream) { u.slow = phases(3, 0.15, 5) }, 1.2, 0.97, 27, 0.1},
		{"child calls", func(u *simUpstream) { u.child = 300 * time.Millisecond }, 0.9, 0.97, 27, 0.1},
		{"failures", func(u *simUpstream) { u.failures = 0.2 }, 0.5, 0.97, 27, 0.1},
		{"false report, stuck", func(u *simUpstream) { u.states = func(float64) float64 { return 5 } }, 0.9, 0.97, 27, 0.1},
		{"false report, random", func(u *simUpstream) { u.states = func(float64) float64 { return 0.3 + 3*random.Float64() } }, 0.9, 0.97, 27, 0.1},
		{"sheds above 40%", func(u *simUpstream) {
			u.shed = func(running int) float64 {
				if running > 21 {
					return 0.8
				}
				return 0
			}
		}, 0.5, 0.97, 10, 1},
		{"sheds 55% whatever runs", func(u *simUpstream) { u.shed = func(int) float64 { return 0.55 } }, 1.2, 0.97, 27, 0.1},
	} {
		t.Run(test.name, func(t *testing.T) {
			play := func(e *Estimator) *simUpstream {
				u := newSim(54, 1)
				u.states = truth
				test.change(u)
				u.rate = constant(test.load * u.capacity())
				u.run(e, time.Minute)
				return u
			}
			slots, learned := play(nil), play(New())
			limited := learned.limited / float64(learned.steps)
			t.Logf("within the goal: slots %.3f, learned %.3f; answered %.3f and %.3f; lowest limit %d, limited %.2f of the time",
				slots.fraction(), learned.fraction(), float64(slots.answered)/float64(slots.offered), float64(learned.answered)/float64(learned.offered), learned.lowest, limited)
			assert.Check(t, learned.fraction() >= test.gain*slots.fraction())
			assert.Check(t, learned.lowest >= test.lowest)
			assert.Check(t, limited <= test.limited)
		})
	}
}

// TestServiceTime guards against service times that can't be compared between upstreams or that
// follow a change of the reported work time late: upstreams of speeds 1:3 under different loads,
// one of them in slow phases, and a report that changes 80 ms before.
func TestServiceTime(t *testing.T) {
	const tolerance = 0.15 // of the ratio; two means of 200 calls with a tail differ by 9% on average
	for _, seed := range []uint64{1, 2, 3} {
		fast, slow := newSim(54, seed), newSim(54, seed+10)
		slow.mean *= 3
		fast.child = 200 * time.Millisecond
		slow.slow = phases(1.6, 0.15, seed)
		ef, es := New(), New()
		for _, s := range []struct {
			u    *simUpstream
			e    *Estimator
			load float64
		}{{fast, ef, 0.8}, {slow, es, 0.8}} {
			s.u.states = truth
			s.u.rate = constant(s.load * s.u.capacity())
			s.u.run(s.e, 20*time.Second)
			assert.Equal(t, s.e.Limit(s.u.now, 54), 54)
		}
		usual := es.ServiceTime(slow.now).Seconds() / slow.slow(slow.now)
		ratio := usual / ef.ServiceTime(fast.now).Seconds()
		assert.Check(t, ratio > 3*(1-tolerance) && ratio < 3*(1+tolerance), "seed %d: ratio %.2f", seed, ratio)

		slow.slow = func(time.Time) float64 { return 2 }
		slow.run(es, 80*time.Millisecond) // some six responses, each of which has a report
		now := es.ServiceTime(slow.now).Seconds() / usual
		assert.Check(t, now > 2*(1-tolerance) && now < 2*(1+tolerance), "seed %d: after the change %.2f times as long", seed, now)
	}
}

// TestFollowsChanges guards against a limit that stays low after the knee is gone, and that
// survives a restart.
func TestFollowsChanges(t *testing.T) {
	e, u := New(), newSim(54, 1)
	u.states, u.knee, u.factor = truth, 0.6, 2
	u.rate = constant(u.capacity())
	assert.Equal(t, e.Limit(u.now, 54), 54)
	assert.Equal(t, e.ServiceTime(u.now), time.Duration(0))
	u.run(e, 30*time.Second)
	assert.Assert(t, e.Limit(u.now, 54) < 40, "%d", e.Limit(u.now, 54))
	u.knee = 1
	u.run(e, maxHold+30*time.Second)
	assert.Equal(t, e.Limit(u.now, 54), 54)

	e = New()
	u.run(e, 500*time.Millisecond)
	assert.Equal(t, e.Limit(u.now, 54), 54)
	assert.Assert(t, e.ServiceTime(u.now) > 0)
}

// TestProbesAreSpread guards against a service whose upstreams all lower their limits at the same
// moment, because the same burst has saturated them.
func TestProbesAreSpread(t *testing.T) {
	const upstreams = 20
	var sims [upstreams]*simUpstream
	var estimators [upstreams]*Estimator
	for i := range sims {
		sims[i], estimators[i] = newSim(54, uint64(i)), New(WithPhase(float64(i)/upstreams))
		sims[i].rate = constant(1.2 * sims[i].capacity())
	}
	probed, most := map[int]bool{}, 0
	for range 140 {
		probing := 0
		for i, u := range sims {
			u.run(estimators[i], 100*time.Millisecond)
			if estimators[i].Limit(u.now, 54) < 54 {
				probed[i] = true
				probing++
			}
		}
		most = max(most, probing)
	}
	assert.Equal(t, len(probed), upstreams)
	assert.Assert(t, most <= upstreams/4, "%d of %d at the same time", most, upstreams)
}

// TestContradictoryReports guards against reports that no upstream can mean.
func TestContradictoryReports(t *testing.T) {
	for _, r := range []LoadReport{{Running: 60, Slots: 54, WorkTime: 1}, {Running: -1, Slots: 54, WorkTime: 1}, {Slots: 54}, {WorkTime: 2}} {
		e := New()
		e.Report(simStart, r)
		assert.Equal(t, e.WorkTime(), 0.0, "%+v", r)
	}
}

func ExampleEstimator() {
	e, now := New(), time.Unix(0, 0)
	for range 50 {
		now = now.Add(10 * time.Millisecond)
		e.Limit(now, 8)
		e.Report(now, LoadReport{Running: 2, Slots: 8, WorkTime: 1})
		e.Observe(now, Sample{Latency: 50 * time.Millisecond, ChildTime: 10 * time.Millisecond, InFlight: 2})
	}
	e.Report(now, LoadReport{Running: 2, Slots: 8, WorkTime: 1.5})
	fmt.Println(e.Limit(now, 8), e.ServiceTime(now).Round(time.Millisecond))
	// Output: 8 60ms
}

func BenchmarkObserve(b *testing.B) {
	for _, slots := range []int{15, 158, 1000} {
		b.Run(fmt.Sprint(slots), func(b *testing.B) {
			e, now := New(), simStart
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				e.Limit(now, slots)
				e.Report(now, LoadReport{Running: slots, Slots: slots, WorkTime: 1.2})
				e.Observe(now, Sample{Latency: 50 * time.Millisecond, InFlight: slots})
			}
		})
	}
}

// TestShortLatencyAfterLongRun guards against a service time that stays invalid after a call with a
// latency of a few nanoseconds at a node that has run for long: the mean work time of so short a
// time is the difference of two large integrals.
func TestShortLatencyAfterLongRun(t *testing.T) {
	e, now := New(), time.Unix(1000, 0)
	for i := range 1000 {
		if i == 500 {
			now = now.Add(200*24*time.Hour + 1234567*time.Nanosecond)
		}
		now = now.Add(2*time.Millisecond + 7*time.Nanosecond)
		s := Sample{Latency: 50 * time.Millisecond, InFlight: 10}
		if i > 500 && i < 600 {
			s.Latency = time.Duration(i%10 + 1)
		}
		e.Report(now, LoadReport{Running: 10, Slots: 54, WorkTime: 1.37 + float64(i%7)/100})
		e.Limit(now, 54)
		e.Observe(now, s)
	}
	x := e.ServiceTime(now)
	assert.Assert(t, !math.IsNaN(e.trust.value()) && x > 0 && x < time.Second, "service time %v", x)
}
