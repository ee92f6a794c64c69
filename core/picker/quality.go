package picker

import (
	"math"
	"time"
)

// Parameters of the quality of a target.
const (
	// qualityWeight is the weight of a new sample in the moving averages. About
	// the last ten calls count, which distinguishes a target that fails every
	// second call from one that failed once.
	qualityWeight = 0.1
	// qualityHalfLife is the time without a sample in which the failure rate
	// halves, so that a target that recovered is tried again.
	qualityHalfLife = 3 * time.Second
	// minSuccessRate bounds the expected attempts at a target that always
	// fails. Ejection deals with such a target.
	minSuccessRate = 0.1
	// A call leaves the node's own zone if a target there costs more than
	// zoneCostRatio times as much as one of another zone. The targets of a
	// service differ in speed by a factor of up to three anyway; a target that
	// became slow, or fails three of four calls, exceeds the ratio.
	zoneCostRatio = 3.5
	// zoneCostRatioLarge is the same for calls with a large body, whose
	// transfer between zones costs more than a small call as a whole.
	zoneCostRatioLarge = 5
	// On average one in exploreInterval calls without a large body goes to
	// another zone, so that the quality of its targets is known before they are
	// needed.
	exploreInterval = 128
)

// quality measures how fast and how reliably a target responds to the calls of
// this node.
type quality struct {
	failureRate    float64 // moving average of the fraction of calls that failed or were shed
	failureRateAt  time.Time
	meanLatency    float64 // moving average in seconds
	latencyAt      time.Time
	latencySamples int // samples in meanLatency
}

// minLatencySamples is the number of samples from which meanLatency is
// meaningful.
const minLatencySamples = 3

// latencyExpiry is the age at which a latency expires. On a service with enough
// calls, exploration gives a target of another zone a few samples within that
// time.
const latencyExpiry = 20 * time.Second

// recordResult records the result of a call. It ignores a refusal by the node
// of the target, which depends on the load and not on the quality of the
// target.
func (q *quality) recordResult(now time.Time, r Result) {
	failed := 0.0
	switch r {
	case OK:
	case Failed, Shed:
		failed = 1
	default:
		return
	}
	q.failureRate = decay(q.failureRate, now.Sub(q.failureRateAt))
	q.failureRate += (failed - q.failureRate) * qualityWeight
	q.failureRateAt = now
}

// recordLatency records the duration of a call.
func (q *quality) recordLatency(now time.Time, latency time.Duration) {
	if q.latencySamples == 0 || now.Sub(q.latencyAt) > latencyExpiry {
		q.meanLatency, q.latencySamples = latency.Seconds(), 0
	}
	q.meanLatency += (latency.Seconds() - q.meanLatency) * max(qualityWeight, 1/float64(q.latencySamples+1))
	q.latencyAt = now
	q.latencySamples++
}

// expectedAttempts returns the number of attempts that a successful response
// takes, at least 1.
func (q *quality) expectedAttempts(now time.Time) float64 {
	return 1 / max(minSuccessRate, 1-decay(q.failureRate, now.Sub(q.failureRateAt)))
}

// latency returns the mean duration of a call, and false if it is unknown.
func (q *quality) latency(now time.Time) (seconds float64, ok bool) {
	return q.meanLatency, q.latencySamples >= minLatencySamples && now.Sub(q.latencyAt) <= latencyExpiry
}

// decay returns a failure rate after a time without samples.
func decay(x float64, age time.Duration) float64 {
	return x * math.Exp2(-max(0, age.Seconds())/qualityHalfLife.Seconds())
}

// costlierThan reports whether a target of the node's own zone is so much
// costlier than one of another zone that the call should cross zones. The cost
// is the number of expected attempts, times the latency if both latencies are
// known.
func (t *targetState) costlierThan(now time.Time, q Query, other *targetState) bool {
	ratio := zoneCostRatio
	if q.LargeBody {
		ratio = zoneCostRatioLarge
	}
	ownCost, otherCost := t.quality.expectedAttempts(now), other.quality.expectedAttempts(now)
	ownLatency, ownOK := t.quality.latency(now)
	otherLatency, otherOK := other.quality.latency(now)
	if ownOK && otherOK {
		ownCost, otherCost = ownCost*ownLatency, otherCost*otherLatency
	}
	return ownCost > ratio*otherCost
}

// RecordLatency records the duration of a successful call to a target.
func (s *Set) RecordLatency(now time.Time, id string, latency time.Duration) {
	if t := s.find(id); t != nil {
		t.quality.recordLatency(now, latency)
	}
}
