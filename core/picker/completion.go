package picker

import (
	"math/rand/v2"
	"time"

	"dogwoodsill.org/core/admit"
)

// Parameters of the choice by expected completion.
const (
	// crowdedFrom is the used fraction of the limit from which a target costs more
	// than its service time. The load is known late and only in part, so that a
	// target that seems nearly full may be full.
	crowdedFrom = 0.7
	// crowdedCost is the cost, in service times, of a target whose limit is
	// reached. The fastest upstream of a service is up to 3.4 times as fast as
	// the slowest one, which must get calls before the fastest one is full.
	crowdedCost = 2.4
	// refusalCost is the cost of a target that refuses a call in relation to one that
	// runs it. It exceeds the ratio of the speeds.
	refusalCost = 4
	// weightRecovery is the time in which the weight of a target without fresh
	// feedback returns to the mean, so that a target that was slow is tried again.
	weightRecovery = 3 * time.Second
	// loadTimeConstant is that of the mean load of other nodes at a target.
	loadTimeConstant = time.Second
	// meanCapacityWeight is the weight of new feedback in the mean capacity.
	meanCapacityWeight = 0.02
	// maxRelativeCapacity is the largest capacity of an upstream of a service in
	// relation to the mean; draws by weight are exact up to it.
	maxRelativeCapacity = 2.5
	// ownDraws bounds the draws for a target of the own zone. A draw is accepted
	// with a probability of about 1/maxRelativeCapacity, so one of 60 draws is
	// not by weight.
	ownDraws = 8
	// maxDraws bounds the candidates of the own zone that a call compares. A first
	// attempt compares two, each retry one more, so that it avoids slow targets.
	// A call with a large body compares all of them before it crosses zones.
	maxDraws = 4
)

// capacity returns the calls per second that a target with this limit and
// service time completes when it is full; 0 if either is unknown.
func capacity(limit int, serviceTime int64) float64 {
	if limit <= 0 || serviceTime <= 0 {
		return 0
	}
	return float64(limit) / float64(serviceTime) * 1e6
}

// timed reports whether the service time of the target is known and not older
// than feedbackExpiry.
func (t *targetState) timed(now time.Time) bool {
	return t.capacity > 0 && now.Sub(t.feedbackAt) <= feedbackExpiry
}

// used returns the used fraction of the limit of a timed target, with the next
// call.
func (t *targetState) used(now time.Time) float64 {
	return (t.smoothedLoad(now) + 1) / float64(t.feedback.Limit)
}

// completion returns the expected time in seconds until a call that is sent now
// to a timed target has succeeded. Below the limit a call takes the service
// time; above it, it waits for a slot first. A call that the target refuses is
// sent again.
func (t *targetState) completion(now time.Time, q *Query, used float64) float64 {
	crowded := max(0, min(used, 1)-crowdedFrom) / (1 - crowdedFrom)
	rounds := 1 + crowdedCost*crowded*crowded + max(0, used-1)
	if t.refusesAt(q, used) {
		rounds *= refusalCost
	}
	if t.quality.failureRate > 0 {
		rounds *= t.quality.expectedAttempts(now)
	}
	return t.serviceTime() * rounds
}

// smoothedLoad estimates the number of requests at a timed target like load, but
// the load of other nodes turns into its mean with the age of the feedback. If it
// turned into 0, all nodes would send to the target between two feedbacks.
func (t *targetState) smoothedLoad(now time.Time) float64 {
	fresh := 1 - float64(now.Sub(t.feedbackAt))/float64(feedbackExpiry)
	others := float64(max(0, t.feedback.InFlight-t.inFlightAtFeedback))
	return float64(t.inFlight) + fresh*others + (1-fresh)*t.meanOthers
}

// serviceTime returns the time in seconds that the upstream needs for a call.
func (t *targetState) serviceTime() float64 {
	return float64(t.feedback.ServiceTime) / 1e6
}

// weight returns the relative frequency with which the target is drawn as a
// candidate. Draws by capacity bound what a target gets: however fast and idle
// it looks to all nodes, two draws give it less than twice its part.
func (t *targetState) weight(now time.Time, mean float64) float64 {
	age := now.Sub(t.feedbackAt)
	switch {
	case t.capacity == 0 || age >= feedbackExpiry+weightRecovery:
		return mean
	case age <= feedbackExpiry:
		return t.capacity
	}
	return t.capacity + (mean-t.capacity)*float64(age-feedbackExpiry)/float64(weightRecovery)
}

// relativeWeight returns the weight in relation to the largest one.
func (s *Set) relativeWeight(now time.Time, t *targetState) float64 {
	return t.weight(now, s.meanCapacity) / (maxRelativeCapacity * s.meanCapacity)
}

// recordCapacity updates what the last feedback of a target says of its capacity.
func (s *Set) recordCapacity(now time.Time, t *targetState) {
	t.zone.recordAnswer(now)
	t.capacity = capacity(t.feedback.Limit, t.feedback.ServiceTime)
	if t.capacity == 0 {
		return
	}
	others := float64(max(0, t.feedback.InFlight-t.inFlight))
	t.meanOthers += (others - t.meanOthers) * sampleWeight(now.Sub(t.meanOthersAt), loadTimeConstant)
	t.meanOthersAt = now
	s.timedUntil = now.Add(feedbackExpiry)
	t.zone.recordUsed(now, t.feedback.InFlight, t.feedback.Limit)
	if s.meanCapacity == 0 {
		s.meanCapacity = t.capacity
	}
	s.meanCapacity += (t.capacity - s.meanCapacity) * meanCapacityWeight
}

// cheaper returns one of two targets, mostly that which is expected to complete
// a call first. If all nodes sent all calls to it, it would be full before they
// learn of each other's calls; so the odds are the square of the ratio of the
// costs. It compares the scores if the service time of one is not known, or if
// both are full: then calls wait longest at the fastest target, until it refuses
// them.
func cheaper(now time.Time, q *Query, a, b *targetState, rng *rand.Rand) *targetState {
	usedA, usedB := 0.0, 0.0
	known := a.timed(now) && b.timed(now)
	if known {
		usedA, usedB = a.used(now), b.used(now)
	}
	if !known || usedA > 1 && usedB > 1 {
		if b.score(now) < a.score(now) {
			return b
		}
		return a
	}
	ratio := a.completion(now, q, usedA) / b.completion(now, q, usedB)
	odds := ratio * ratio
	if rng.Float64()*(1+odds) < odds {
		return b
	}
	return a
}

// chooseOwn returns the cheapest of a few targets of the node's own zone, drawn
// by weight, or nil if there is none.
func (s *Set) chooseOwn(now time.Time, q *Query, rng *rand.Rand) *targetState {
	switch len(s.ownZone) {
	case 0:
		return nil
	case 1:
		return s.ownZone[0]
	}
	draws := min(maxDraws, 2+len(q.Tried))
	if q.LargeBody {
		draws = maxDraws
	}
	best := s.drawOwn(now, rng)
	for range draws - 1 {
		other := s.drawOwn(now, rng)
		if other == best { // a second draw, so that few calls compare a target with itself
			other = s.drawOwn(now, rng)
		}
		if other != best {
			best = cheaper(now, q, best, other, rng)
		}
	}
	return best
}

// drawOwn draws a target of the node's own zone by weight.
func (s *Set) drawOwn(now time.Time, rng *rand.Rand) *targetState {
	var t *targetState
	for range ownDraws {
		t = s.ownZone[rng.IntN(len(s.ownZone))]
		if rng.Float64() < s.relativeWeight(now, t) {
			break
		}
	}
	return t
}

// chooseOther returns the cheaper of two random targets of other zones, or nil
// if no draw was accepted. accept returns the probability with which the draw of
// a target is accepted.
func (s *Set) chooseOther(now time.Time, q *Query, rng *rand.Rand, accept func(*targetState, time.Time) float64) *targetState {
	var best *targetState
	found := 0
	for range min(otherDraws, 4*len(s.otherZones)) {
		t := s.otherZones[rng.IntN(len(s.otherZones))]
		if t == best || rng.Float64() >= accept(t, now) {
			continue
		}
		if best == nil {
			best = t
		} else {
			best = cheaper(now, q, best, t, rng)
		}
		if found++; found == 2 {
			break
		}
	}
	return best
}

// pickByCompletion chooses a target by expected completion. candidates has
// filled the lists. A call leaves the zone if
//   - no target of it is left,
//   - the chosen one would refuse the call or keep it waiting beyond its goal,
//   - the zone is crowded and the call is in the fraction that spills over,
//   - the chosen one can't complete it within its goal and another zone clearly
//     sooner, or it costs several times as much.
func (s *Set) pickByCompletion(now time.Time, q *Query, rng *rand.Rand) *targetState {
	s.advanceSpill(now)
	own := s.chooseOwn(now, q, rng)
	t := own
	if len(s.otherZones) > 0 {
		t = s.crossZone(now, q, own, rng)
	}
	if t != nil {
		t.recordPick(now)
	}
	return t
}

// crossZone returns the own choice, which may be nil, or a target of another
// zone. There is at least one.
func (s *Set) crossZone(now time.Time, q *Query, own *targetState, rng *rand.Rand) *targetState {
	switch {
	case own == nil:
		if t := s.chooseOther(now, q, rng, s.reachable); t != nil {
			return t
		}
		return choose(now, s.otherZones, rng)
	case own.refuses(now, q):
		other := s.chooseOther(now, q, rng, hasRoom)
		if other == nil || other.refuses(now, q) {
			return own
		}
		return other
	case q.LargeBody:
		if other := s.chooseOther(now, q, rng, hasRoom); other != nil && own.costlierThan(now, *q, other) && !other.overloaded(now, q.Rank) {
			return other
		}
		return own
	case s.trackQuality && rng.IntN(exploreInterval) == 0:
		return s.otherZones[rng.IntN(len(s.otherZones))]
	case rng.Float64() < s.spilled:
		if other := s.chooseOther(now, q, rng, s.spillPart); other != nil && !other.refuses(now, q) {
			return other
		}
		return own
	case s.trackQuality:
		if other := s.chooseOther(now, q, rng, hasRoom); other != nil && own.slowerThan(now, q, other) && !other.overloaded(now, q.Rank) {
			return other
		}
	}
	return own
}

// refuses reports whether the target would refuse a call, or keep it waiting
// for longer than a queue holds it.
func (t *targetState) refuses(now time.Time, q *Query) bool {
	if !t.timed(now) {
		return t.overloaded(now, q.Rank)
	}
	return t.refusesAt(q, t.used(now))
}

// refusesAt is refuses for a timed target with a used fraction of its limit.
func (t *targetState) refusesAt(q *Query, used float64) bool {
	return q.Rank > t.feedback.Level || t.serviceTime()*(used-1) > q.maxWait().Seconds()
}

// maxWait returns the time for which the queue of a target holds the call.
func (q *Query) maxWait() time.Duration {
	if q.LatencyGoal <= 0 {
		return admit.DefaultMaxWait
	}
	return q.LatencyGoal / goalWaitDivisor
}

// slowerThan reports whether a call should leave its zone because the chosen
// target there is slow. With the service times of both known, that is so if the
// own target can't complete it within the goal and the other one gains a third.
func (t *targetState) slowerThan(now time.Time, q *Query, other *targetState) bool {
	if t.costlierThan(now, *q, other) {
		return true
	}
	if q.LatencyGoal <= 0 || !t.timed(now) || !other.timed(now) {
		return false
	}
	own := t.completion(now, q, t.used(now))
	return own*goalSpread > q.LatencyGoal.Seconds() && own > crossGain*other.completion(now, q, other.used(now))
}

// sampleWeight returns the weight of a new sample in a moving average, by the
// time since the last one.
func sampleWeight(elapsed, timeConstant time.Duration) float64 {
	return float64(elapsed) / (float64(elapsed) + float64(timeConstant))
}
