package picker

import (
	"math"
	"time"
)

// Parameters of the quality of a target.
const (
	// qualityWeight is the weight of a new sample. About the last ten calls count,
	// which tells a target that fails every second call from one that failed once.
	qualityWeight = 0.1
	// qualityHalf is the time without a sample in which what is known of a target
	// loses half of its weight, so that one that recovered is tried again.
	qualityHalf = 3 * time.Second
	// leastSuccess bounds the cost of a target that fails always. Ejection deals
	// with that one.
	leastSuccess = 0.1
	// zoneFactor is how many times as costly a target of the own zone may be as one
	// of another zone. Targets of a service differ in speed by a factor of up to three
	// anyway; one that became slow or fails most calls is left.
	zoneFactor = 3.5
	// heavyFactor is the same for calls with a large body, whose bytes between zones
	// cost more than a small call as a whole.
	heavyFactor = 5
	// exploreEvery is the number of calls of which one goes to another zone, so that
	// its targets are known before they are needed.
	exploreEvery = 128
)

// quality is how fast and how reliably a target answers the calls of this node.
type quality struct {
	failed   float64 // part of the calls that failed or were shed
	failedAt time.Time
	took     float64 // seconds
	tookAt   time.Time
	samples  int // of took
}

// enoughSamples is the number of latencies from which a mean says something.
const enoughSamples = 3

// latencyAge is the age at which a latency no longer counts. Exploring gives a
// target of another zone a few samples within that time.
const latencyAge = 20 * time.Second

// done records the result of a call. A refusal by the node of the target is a
// matter of load and not of quality.
func (q *quality) done(now time.Time, r Result) {
	failed := 0.0
	switch r {
	case OK:
	case Failed, Shed:
		failed = 1
	default:
		return
	}
	q.failed = fade(q.failed, now.Sub(q.failedAt))
	q.failed += (failed - q.failed) * qualityWeight
	q.failedAt = now
}

// observe records how long a call took.
func (q *quality) observe(now time.Time, took time.Duration) {
	if q.samples == 0 || now.Sub(q.tookAt) > latencyAge {
		q.took, q.samples = took.Seconds(), 0
	}
	q.took += (took.Seconds() - q.took) * max(qualityWeight, 1/float64(q.samples+1))
	q.tookAt = now
	q.samples++
}

// cost returns the tries that an answer takes, at least 1.
func (q *quality) cost(now time.Time) float64 {
	return 1 / max(leastSuccess, 1-fade(q.failed, now.Sub(q.failedAt)))
}

// latency returns the mean time of a call, or false if it is not known.
func (q *quality) latency(now time.Time) (seconds float64, ok bool) {
	return q.took, q.samples >= enoughSamples && now.Sub(q.tookAt) <= latencyAge
}

func fade(x float64, age time.Duration) float64 {
	return x * math.Exp2(-max(0, age.Seconds())/qualityHalf.Seconds())
}

// worse reports whether a target of the own zone costs so much more than one of
// another zone that the call should cross zones.
func (t *state) worse(now time.Time, q Query, other *state) bool {
	factor := zoneFactor
	if q.LargeBody {
		factor = heavyFactor
	}
	own, far := t.quality.cost(now), other.quality.cost(now)
	a, okA := t.quality.latency(now)
	b, okB := other.quality.latency(now)
	if okA && okB {
		own, far = own*a, far*b
	}
	return own > factor*far
}

// RecordLatency records how long a successful call to a target took.
func (s *Set) RecordLatency(now time.Time, id string, took time.Duration) {
	if t := s.find(id); t != nil {
		t.quality.observe(now, took)
	}
}
