package admit

import (
	"math"
	"time"
)

// Parameters of a Gate.
const (
	// capacityRetention is the time after an overload for which the measured
	// capacity is retained. capacityDecay is the fraction by which the capacity
	// decreases in a second. If fair shares followed each dip of the
	// throughput, a dip would raise ranks, cause more refusals and so grow
	// deeper.
	capacityRetention = 5 * time.Second
	capacityDecay     = 0.05

	// DefaultMaxWait bounds the time in the queue. An item that waits longer
	// keeps losing its turn to items of lower rank, and its caller should learn
	// of the refusal soon.
	DefaultMaxWait = 100 * time.Millisecond
	// minQueueSize lets a target with a small limit absorb a short burst.
	minQueueSize = 8
	// serviceTimeWeight is the weight of a new service time in the moving
	// average.
	serviceTimeWeight = 1.0 / 16
	// serviceTimeHalfLife is the time without a finished call after which the
	// estimated service time halves. Without this decay, an estimate above
	// every deadline would drop all requests and never be corrected.
	serviceTimeHalfLife = time.Second
)

// Decision is what a gate does with a new request.
type Decision int

// Decisions of a gate.
const (
	Admitted Decision = iota // dispatch the request to the upstream now
	Queued                   // a later call of Finish or Poll returns the request
	Refused                  // the request is among the dropped items
)

// Gate admits requests to one target within a concurrency limit, and within a
// rate while one is set. The concurrency limit can change at any time, so the
// methods take its current value (limit.Limit.Value).
type Gate[T any] struct {
	Level  *LevelController
	Shares *Shares
	Rate   Rate

	queue              *Queue[T]
	running            int
	serviceTime        float64 // estimated service time in seconds
	serviceTimeUpdated time.Time
	capacity           capacityEstimate
}

// NewGate returns a gate with an empty queue in which an item waits at most
// maxWait.
func NewGate[T any](maxWait time.Duration) *Gate[T] {
	return &Gate[T]{Level: NewLevelController(), Shares: NewShares(), queue: NewQueue[T](maxWait)}
}

// Arrive decides on a new request. The returned items are refused: either the
// new one, or queued ones that it displaced.
func (g *Gate[T]) Arrive(now time.Time, limit int, it Item[T]) (Decision, []Dropped[T]) {
	g.Level.RecordArrival(now, it.Rank)
	g.Shares.RecordArrival(now, it.Customer, it.Weight)
	if now.Add(g.ExpectedServiceTime(now)).After(it.Deadline) {
		return Refused, []Dropped[T]{{Item: it, Cause: MissesDeadline}}
	}
	if g.running < limit && g.queue.Len() == 0 && g.Rate.Take(now) {
		g.start(now, limit)
		return Admitted, nil
	}
	seq := g.queue.seq
	dropped := g.queue.Push(now, g.queueSize(limit), it)
	g.recordRefusals(now, dropped)
	if g.queue.contains(seq, it.order()) {
		return Queued, dropped
	}
	return Refused, dropped
}

// Finish records the end of a running request and its service time. It returns
// the items to run now and those that are refused. If took is 0, as for calls
// that failed early, the estimated service time doesn't change.
func (g *Gate[T]) Finish(now time.Time, limit int, took time.Duration) (run []Item[T], dropped []Dropped[T]) {
	g.running = max(0, g.running-1)
	if took > 0 {
		g.recordServiceTime(now, took)
	}
	return g.Poll(now, limit)
}

// Poll returns the items that can run now because the limit has risen, and
// those that are refused because of their deadline or maximum wait. It must be
// called at least every few tens of milliseconds while Waiting is not 0.
func (g *Gate[T]) Poll(now time.Time, limit int) (run []Item[T], dropped []Dropped[T]) {
	expected := g.ExpectedServiceTime(now)
	dropped = g.queue.RemoveOverdue(now, expected)
	for g.running < limit && g.Rate.Ready(now) {
		it, ok, _ := g.queue.Pop(now, expected)
		if !ok {
			break
		}
		g.Rate.Take(now)
		g.start(now, limit)
		run = append(run, it)
	}
	g.recordRefusals(now, dropped)
	return run, dropped
}

// Running returns the number of requests that the upstream is processing.
func (g *Gate[T]) Running() int {
	return g.running
}

// Waiting returns the number of requests in the queue.
func (g *Gate[T]) Waiting() int {
	return g.queue.Len()
}

// ExpectedServiceTime returns the estimated service time, or 0 if it is
// unknown.
func (g *Gate[T]) ExpectedServiceTime(now time.Time) time.Duration {
	age := max(0, now.Sub(g.serviceTimeUpdated))
	s := g.serviceTime * math.Exp2(-float64(age)/float64(serviceTimeHalfLife))
	return time.Duration(s * float64(time.Second))
}

// Feedback returns the feedback for the response to a request of a customer.
func (g *Gate[T]) Feedback(now time.Time, limit int, customer string) Feedback {
	level := g.Level.Value(now)
	return Feedback{
		Level:     level,
		PathLevel: level,
		InFlight:  g.running + g.queue.Len(),
		Limit:     limit,
		Demand:    g.Shares.Demand(now, customer, g.capacity.value(now, level, g.Level.Throughput(now))),
	}
}

func (g *Gate[T]) start(now time.Time, limit int) {
	g.running++
	g.Level.RecordStart(now, float64(g.running) > spareFraction*float64(limit) || !g.Rate.spare(now, 1-spareFraction))
}

func (g *Gate[T]) recordRefusals(now time.Time, dropped []Dropped[T]) {
	for range dropped {
		g.Level.RecordRefusal(now)
	}
}

func (g *Gate[T]) recordServiceTime(now time.Time, took time.Duration) {
	s := took.Seconds()
	if g.serviceTime == 0 {
		g.serviceTime = s
	} else {
		g.serviceTime = g.ExpectedServiceTime(now).Seconds()
		g.serviceTime += (s - g.serviceTime) * serviceTimeWeight
	}
	g.serviceTimeUpdated = now
}

// queueSize returns the size of the queue. With a rate it holds no more requests
// than can be dispatched within their wait, so that the others are refused at
// once and served elsewhere.
func (g *Gate[T]) queueSize(limit int) int {
	size := max(minQueueSize, limit)
	if _, limited := g.Rate.Limit(); limited {
		size = min(size, g.Rate.queueSize(g.queue.maxWait))
	}
	return size
}

// capacityEstimate is the measured capacity of an overloaded target: the peak
// of its throughput, which decays slowly.
type capacityEstimate struct {
	peak         float64 // requests per second
	updated      time.Time
	lastOverload time.Time // last time at which the level was not OpenLevel
}

// value returns the capacity in requests per second. It is infinite if the
// target hasn't been overloaded for capacityRetention.
func (c *capacityEstimate) value(now time.Time, level uint32, throughput float64) float64 {
	if level != OpenLevel {
		c.lastOverload = now
	}
	if c.lastOverload.IsZero() || now.Sub(c.lastOverload) > capacityRetention {
		c.peak = 0
		return math.Inf(1)
	}
	c.peak *= 1 - capacityDecay*min(1, max(0, now.Sub(c.updated).Seconds()))
	c.peak = max(c.peak, throughput)
	c.updated = now
	return c.peak
}
