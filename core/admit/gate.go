package admit

import (
	"math"
	"time"
)

// Parameters of a Gate.
const (
	// capacityHold is the time after overload in which the capacity is still
	// known, and capacityFall the decrease in a second of its peak. Fair shares
	// that followed each dip of throughput would raise ranks, refuse more and
	// so deepen the dip.
	capacityHold = 5 * time.Second
	capacityFall = 0.05

	// DefaultMaxWait bounds the time in the queue. An item that waits longer
	// keeps losing to lower ranks, and its caller should learn it soon.
	DefaultMaxWait = 100 * time.Millisecond
	// queueMin lets a target with a small limit absorb a short burst.
	queueMin = 8
	// serviceWeight is the weight of a new service time in the estimate.
	serviceWeight = 1.0 / 16
	// serviceHalf is the time without a finished call in which the estimate
	// of the service time halves. Without it, an estimate above every deadline
	// would drop all requests and never be corrected.
	serviceHalf = time.Second
)

// Decision is the answer of a gate to a new request.
type Decision int

// Decisions of a gate.
const (
	Admitted Decision = iota // give it to the upstream now
	Queued                   // it is in the queue; a later call returns it
	Refused                  // it is among the dropped items
)

// Gate admits requests to one target within a concurrency limit. The methods
// take the current limit (limit.Limit.Value), so that it can change at any
// time.
type Gate[T any] struct {
	Level  *LevelController
	Shares *Shares

	queue     *Queue[T]
	running   int
	service   float64 // expected service time in seconds
	serviceAt time.Time
	capacity  capacity
}

// NewGate returns a gate with an empty queue of the given longest wait.
func NewGate[T any](maxWait time.Duration) *Gate[T] {
	return &Gate[T]{Level: NewLevelController(), Shares: NewShares(), queue: NewQueue[T](maxWait)}
}

// Arrive decides on a new request. Items that it returns are refused and leave
// the gate: either the new one or ones that waited.
func (g *Gate[T]) Arrive(now time.Time, limit int, it Item[T]) (Decision, []Dropped[T]) {
	g.Level.Arrive(now, it.Rank)
	g.Shares.Arrive(now, it.Customer, it.Weight)
	if now.Add(g.ExpectedServiceTime(now)).After(it.Deadline) {
		return Refused, []Dropped[T]{{Item: it, Cause: MissesDeadline}}
	}
	if g.running < limit && g.queue.Len() == 0 {
		g.start(now, limit)
		return Admitted, nil
	}
	seq := g.queue.seq
	dropped := g.queue.Push(now, queueSize(limit), it)
	g.refuse(now, dropped)
	if g.queue.holds(seq, it.order()) {
		return Queued, dropped
	}
	return Refused, dropped
}

// Finish records the end of a running request and its service time, and
// returns the items to run now and those that are refused. A took of 0 leaves
// the expected service time as it is, for calls that failed early.
func (g *Gate[T]) Finish(now time.Time, limit int, took time.Duration) (run []Item[T], dropped []Dropped[T]) {
	g.running = max(0, g.running-1)
	if took > 0 {
		g.observe(now, took)
	}
	return g.Poll(now, limit)
}

// Poll returns the items that can run now, after the limit has risen, and
// those that are refused because of their deadline or wait. Call it at least
// every few tens of milliseconds while Waiting is not 0.
func (g *Gate[T]) Poll(now time.Time, limit int) (run []Item[T], dropped []Dropped[T]) {
	expected := g.ExpectedServiceTime(now)
	dropped = g.queue.RemoveOverdue(now, expected)
	for g.running < limit {
		it, ok, _ := g.queue.Pop(now, expected)
		if !ok {
			break
		}
		g.start(now, limit)
		run = append(run, it)
	}
	g.refuse(now, dropped)
	return run, dropped
}

// Running returns the number of requests at the upstream.
func (g *Gate[T]) Running() int {
	return g.running
}

// Waiting returns the number of requests in the queue.
func (g *Gate[T]) Waiting() int {
	return g.queue.Len()
}

// ExpectedServiceTime returns the expected service time, 0 if unknown.
func (g *Gate[T]) ExpectedServiceTime(now time.Time) time.Duration {
	age := max(0, now.Sub(g.serviceAt))
	s := g.service * math.Exp2(-float64(age)/float64(serviceHalf))
	return time.Duration(s * float64(time.Second))
}

// Feedback returns what the target tells the caller of a request.
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
	g.Level.Start(now, g.running, limit)
}

func (g *Gate[T]) refuse(now time.Time, dropped []Dropped[T]) {
	for range dropped {
		g.Level.Refuse(now)
	}
}

func (g *Gate[T]) observe(now time.Time, took time.Duration) {
	s := took.Seconds()
	if g.service == 0 {
		g.service = s
	} else {
		g.service = g.ExpectedServiceTime(now).Seconds()
		g.service += (s - g.service) * serviceWeight
	}
	g.serviceAt = now
}

func queueSize(limit int) int {
	return max(queueMin, limit)
}

// capacity is the measured capacity of an overloaded target: the peak of its
// throughput with a slow decay.
type capacity struct {
	peak       float64 // requests per second
	at         time.Time
	overloaded time.Time // latest time with a level
}

// value returns the capacity in requests per second, infinite if the target
// hasn't been overloaded for capacityHold.
func (c *capacity) value(now time.Time, level uint32, throughput float64) float64 {
	if level != OpenLevel {
		c.overloaded = now
	}
	if c.overloaded.IsZero() || now.Sub(c.overloaded) > capacityHold {
		c.peak = 0
		return math.Inf(1)
	}
	c.peak *= 1 - capacityFall*min(1, max(0, now.Sub(c.at).Seconds()))
	c.peak = max(c.peak, throughput)
	c.at = now
	return c.peak
}
