package picker

import (
	"math"
	"math/rand/v2"
	"sort"
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
	// weightRecovery is the time in which the weight of a target without fresh
	// feedback returns to the mean, so that a target that was slow is tried again.
	weightRecovery = 3 * time.Second
	// meanCapacityWeight is the weight of new feedback in the mean capacity.
	meanCapacityWeight = 0.02
	// maxRelativeCapacity is the largest capacity of an upstream of a service in
	// relation to the mean; draws by capacity in other zones are exact up to it.
	maxRelativeCapacity = 2.5
	// maxDraws bounds the candidates that a call compares. A first attempt
	// compares two, each retry one more.
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

// completion returns the expected time in seconds until a call that is sent now
// to a timed target has succeeded. Below the limit a call takes the service
// time; above it, it waits for a slot first.
func (t *targetState) completion(now time.Time) float64 {
	used := (t.load(now) + 1) / float64(t.feedback.Limit)
	crowded := max(0, min(used, 1)-crowdedFrom) / (1 - crowdedFrom)
	rounds := 1 + crowdedCost*crowded*crowded + max(0, used-1)
	return t.serviceTime() * rounds * t.quality.expectedAttempts(now)
}

// serviceTime returns the time in seconds that the upstream needs for a call.
func (t *targetState) serviceTime() float64 {
	return float64(t.feedback.ServiceTime) / 1e6
}

// wait returns the time in seconds for which a call waits for a slot of a timed
// target.
func (t *targetState) wait(now time.Time) float64 {
	limit := float64(t.feedback.Limit)
	return t.serviceTime() * max(0, t.load(now)+1-limit) / limit
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

// recordCapacity updates what the last feedback of a target says of its capacity.
func (s *Set) recordCapacity(now time.Time, t *targetState) {
	t.zone.recordAnswer(now)
	t.capacity = capacity(t.feedback.Limit, t.feedback.ServiceTime)
	if t.capacity == 0 {
		return
	}
	s.timedUntil = now.Add(feedbackExpiry)
	t.zone.recordUsed(now, t.feedback.InFlight, t.feedback.Limit)
	if s.meanCapacity == 0 {
		s.meanCapacity = t.capacity
	}
	s.meanCapacity += (t.capacity - s.meanCapacity) * meanCapacityWeight
}

// cheaper returns the target that is expected to complete a call first. Without
// the service times of both it compares their scores.
func cheaper(now time.Time, a, b *targetState) *targetState {
	costA, costB := 0.0, 0.0
	if a.timed(now) && b.timed(now) {
		costA, costB = a.completion(now), b.completion(now)
	} else {
		costA, costB = a.score(now), b.score(now)
	}
	if costB < costA {
		return b
	}
	return a
}

// chooseOwn returns the cheapest of a few targets of the node's own zone, drawn
// by weight, or nil if there is none.
func (s *Set) chooseOwn(now time.Time, q Query, rng *rand.Rand) *targetState {
	n := len(s.ownZone)
	switch n {
	case 0:
		return nil
	case 1:
		return s.ownZone[0]
	}
	best := s.drawOwn(rng)
	for range min(maxDraws, 2+len(q.Tried)) - 1 {
		other := s.drawOwn(rng)
		if other == best { // a second draw, so that few calls compare a target with itself
			other = s.drawOwn(rng)
		}
		if other != best {
			best = cheaper(now, best, other)
		}
	}
	return best
}

// drawOwn draws a target of the node's own zone by weight.
func (s *Set) drawOwn(rng *rand.Rand) *targetState {
	total := s.ownWeights[len(s.ownWeights)-1]
	i := sort.SearchFloat64s(s.ownWeights, rng.Float64()*total)
	return s.ownZone[min(i, len(s.ownZone)-1)]
}

// chooseOther returns the cheaper of two random targets of other zones, or nil
// if no draw was accepted. accept returns the probability with which the draw of
// a target is accepted.
func (s *Set) chooseOther(now time.Time, rng *rand.Rand, accept func(*targetState, time.Time) float64) *targetState {
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
			best = cheaper(now, best, t)
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
func (s *Set) pickByCompletion(now time.Time, q Query, rng *rand.Rand) *targetState {
	s.advanceSpill(now)
	own := s.chooseOwn(now, q, rng)
	t := own
	if len(s.otherZones) > 0 {
		t = s.crossZone(now, q, own, rng)
	}
	if t != nil {
		s.recordPick(now, t)
	}
	return t
}

// crossZone returns the own choice, which may be nil, or a target of another
// zone. There is at least one.
func (s *Set) crossZone(now time.Time, q Query, own *targetState, rng *rand.Rand) *targetState {
	switch {
	case own == nil:
		if t := s.chooseOther(now, rng, s.reachable); t != nil {
			return t
		}
		return choose(now, s.otherZones, rng)
	case own.refuses(now, q):
		other := s.chooseOther(now, rng, hasRoom)
		if other == nil || other.refuses(now, q) {
			return own
		}
		return other
	case q.LargeBody:
		if other := s.chooseOther(now, rng, hasRoom); other != nil && own.costlierThan(now, q, other) && !other.overloaded(now, q.Rank) {
			return other
		}
		return own
	case s.trackQuality && rng.IntN(exploreInterval) == 0:
		return s.otherZones[rng.IntN(len(s.otherZones))]
	case rng.Float64() < s.spilled:
		if other := s.chooseOther(now, rng, s.spillPart); other != nil && !other.refuses(now, q) {
			return other
		}
		return own
	case s.trackQuality:
		if other := s.chooseOther(now, rng, hasRoom); other != nil && own.slowerThan(now, q, other) && !other.overloaded(now, q.Rank) {
			return other
		}
	}
	return own
}

// refuses reports whether the target would refuse a call, or keep it waiting
// for longer than a queue holds it.
func (t *targetState) refuses(now time.Time, q Query) bool {
	if !t.timed(now) {
		return t.overloaded(now, q.Rank)
	}
	return q.Rank > t.feedback.Level || t.wait(now) > q.maxWait().Seconds()
}

// maxWait returns the time for which the queue of a target holds the call.
func (q Query) maxWait() time.Duration {
	if q.LatencyGoal <= 0 {
		return admit.DefaultMaxWait
	}
	return q.LatencyGoal / goalWaitDivisor
}

// slowerThan reports whether a call should leave its zone because the chosen
// target there is slow. With the service times of both known, that is so if the
// own target can't complete it within the goal and the other one gains a third.
func (t *targetState) slowerThan(now time.Time, q Query, other *targetState) bool {
	if t.costlierThan(now, q, other) {
		return true
	}
	if q.LatencyGoal <= 0 || !t.timed(now) || !other.timed(now) {
		return false
	}
	own := t.completion(now)
	return own*goalSpread > q.LatencyGoal.Seconds() && own > crossGain*other.completion(now)
}

// ageFactor returns the weight that remains of a moving average after an age.
func ageFactor(age, timeConstant time.Duration) float64 {
	return math.Exp(-max(0, age.Seconds()) / timeConstant.Seconds())
}
