package speed

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	simStep = time.Millisecond
	simGoal = 500 * time.Millisecond
)

var simStart = time.Unix(1_000_000_000, 0)

// simJob is a request that runs at a simulated upstream.
type simJob struct {
	left, child   time.Duration // work and time of child calls that are left
	arrived       time.Time
	began         time.Time
	childDuration time.Duration
	fails         bool
}

// simUpstream is an upstream in virtual time, with callers that wait for an eighth of their
// latency goal before they go elsewhere.
type simUpstream struct {
	slots        int
	mean         time.Duration // work of a request at the usual speed
	knee, factor float64       // share of the slots above which all work takes longer
	child        time.Duration
	failures     float64                    // fraction of requests that fail at once
	slow         func(time.Time) float64    // factor of the machine; nil for 1
	shed         func(running int) float64  // probability that a request is shed; nil for 0
	states       func(work float64) float64 // reported work time; nil for no report
	kneeInReport bool                       // the work time includes the slowdown above the knee
	rate         func(time.Time) float64    // requests per second

	now     time.Time
	rng     *rand.Rand
	running []*simJob
	queue   []time.Time

	offered, good, answered int
	lowest                  int     // limit
	limited                 float64 // fraction of time with a limit below the slots
	steps                   int
}

func newSim(slots int, seed uint64) *simUpstream {
	return &simUpstream{slots: slots, mean: 100 * time.Millisecond, knee: 1, factor: 1, now: simStart, rng: rand.New(rand.NewPCG(seed, 7)), lowest: slots}
}

// machine returns the factors of the machine and of the knee.
func (u *simUpstream) machine() (slow, knee float64) {
	slow, knee = 1, 1
	if u.slow != nil {
		slow = u.slow(u.now)
	}
	if float64(len(u.running)) > u.knee*float64(u.slots) {
		knee = u.factor
	}
	return slow, knee
}

// work draws the work of a request: two types of requests, a spread of 0.5 and a tail of five times.
func (u *simUpstream) work() time.Duration {
	w := math.Exp(u.rng.NormFloat64()*0.5 - 0.125)
	if u.rng.IntN(100) < 3 {
		w *= 5
	}
	if u.rng.IntN(4) == 0 {
		w *= 2
	}
	return time.Duration(w / 1.4 * float64(u.mean))
}

// run simulates a time with the limit of e, or with the slots if e is nil.
func (u *simUpstream) run(e *Estimator, d time.Duration) {
	for end := u.now.Add(d); u.now.Before(end); u.now = u.now.Add(simStep) {
		limit := u.slots
		if e != nil {
			limit = e.Limit(u.now, u.slots)
		}
		u.lowest = min(u.lowest, limit)
		if u.steps++; limit < u.slots {
			u.limited++
		}
		for p := u.rate(u.now) * simStep.Seconds(); u.rng.Float64() < p; p-- {
			u.offered++
			u.queue = append(u.queue, u.now)
		}
		for len(u.queue) > 0 && u.now.Sub(u.queue[0]) > simGoal/8 {
			u.queue = u.queue[1:]
		}
		for len(u.queue) > 0 && len(u.running) < limit {
			u.start(e, u.queue[0])
			u.queue = u.queue[1:]
		}
		u.advance(e)
	}
}

func (u *simUpstream) start(e *Estimator, arrived time.Time) {
	if u.shed != nil && u.rng.Float64() < u.shed(len(u.running)+1) {
		u.observe(e, Sample{Latency: simStep, Shed: true, InFlight: len(u.running) + 1})
		return
	}
	j := &simJob{left: u.work(), child: u.child, childDuration: u.child, arrived: arrived, began: u.now, fails: u.rng.Float64() < u.failures}
	if j.fails {
		j.left, j.child = 10*simGoal, 0
	}
	u.running = append(u.running, j)
}

func (u *simUpstream) advance(e *Estimator) {
	slow, knee := u.machine()
	kept := u.running[:0]
	var ended []*simJob
	for _, j := range u.running {
		if j.child > 0 {
			j.child -= simStep
		} else {
			j.left -= time.Duration(float64(simStep) / slow / knee)
		}
		if j.left > 0 && !(j.fails && u.now.Sub(j.began) > simGoal) {
			kept = append(kept, j)
		} else {
			ended = append(ended, j)
		}
	}
	n := len(u.running)
	u.running = kept
	for i, j := range ended {
		if j.fails {
			u.observe(e, Sample{Latency: u.now.Sub(j.began), Failed: true, InFlight: n - i})
			continue
		}
		u.answered++
		if u.now.Sub(j.arrived) <= simGoal+u.child {
			u.good++
		}
		if u.states != nil && e != nil {
			if u.kneeInReport {
				slow *= knee
			}
			e.Report(u.now, LoadReport{Running: n - i, Slots: u.slots, WorkTime: u.states(slow)})
			if u.kneeInReport {
				slow /= knee
			}
		}
		u.observe(e, Sample{Latency: u.now.Sub(j.began) + simStep, ChildTime: j.childDuration, Goal: simGoal, InFlight: n - i})
	}
}

func (u *simUpstream) observe(e *Estimator, s Sample) {
	if e != nil {
		e.Observe(u.now, s)
	}
}

// capacity returns the requests per second of the upstream with all slots in use, below the knee.
func (u *simUpstream) capacity() float64 {
	return float64(u.slots) / (u.mean + u.child).Seconds()
}

// fraction returns the fraction of the offered requests that got a response within the goal.
func (u *simUpstream) fraction() float64 { return float64(u.good) / float64(u.offered) }

// constant returns a rate that doesn't change.
func constant(perSec float64) func(time.Time) float64 {
	return func(time.Time) float64 { return perSec }
}

// phases returns a factor for the given fraction of the time, in phases of 0.6 s.
func phases(factor, fraction float64, seed uint64) func(time.Time) float64 {
	const length = 600 * time.Millisecond
	return func(now time.Time) float64 {
		period := uint64(now.Sub(simStart) / length)
		if rand.New(rand.NewPCG(seed, period)).Float64() < fraction {
			return factor
		}
		return 1
	}
}

func truth(work float64) float64 { return work }
