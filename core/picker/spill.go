package picker

import (
	"slices"
	"strings"
	"time"
)

// Parameters of crossing zones by expected completion.
const (
	// goalWaitDivisor bounds the time that a call waits for a slot in its zone
	// rather than cross: the queue of a target holds it for no larger part of its
	// goal.
	goalWaitDivisor = 8
	// goalSpread is the ratio of the 90th percentile of service times to their
	// mean, for times that are log-normal with a spread of 0.5.
	goalSpread = 1.7
	// crossGain is the least ratio of the completions of the own and the other
	// target at which a call crosses that would miss its goal.
	crossGain = 1.5
	// otherDraws bounds the draws for two targets of other zones.
	otherDraws = 16
	// spillFrom is the used fraction of the limits of the own zone from which load
	// spills over: chance fills some of its targets from there on.
	spillFrom = 0.96
	// acceptTo is the used fraction up to which another zone gets that load. The gap
	// between the two keeps zones that are alike from exchanging load.
	acceptTo = 0.88
	// fullZonePart is the fraction of the draws of a zone that is full on average
	// which are accepted, since some of its targets may be free. More of them
	// make zones that are all full exchange calls that are then refused.
	fullZonePart = 0.05
	// spillGain is the change per second of the fraction that spills over, for
	// each unit of used fraction. The effect is visible after a call and the
	// feedback, about 0.7 s. An integral loop with that delay doesn't overshoot up
	// to a gain of 1/(0.7e) = 0.53.
	spillGain = 0.5
	// spillInterval is the time between two changes of that fraction.
	spillInterval = 100 * time.Millisecond
	// maxSpill bounds the fraction that spills over.
	maxSpill = 0.9
	// trialSpill is the fraction that is sent to a zone whose load is not known,
	// to learn it.
	trialSpill = 0.02
	// usedTimeConstant is that of the mean used fraction of a zone.
	usedTimeConstant = 500 * time.Millisecond
	// maxUsedSample bounds the part of one target in that mean. A target whose limit
	// falls sharply holds many times its limit while others of its zone have room.
	maxUsedSample = 2.0
	// usedExpiry is the age at which the used fraction of a zone is not known any
	// more. Exploration gives a node a few samples of other zones in that time.
	usedExpiry = 10 * time.Second
	// cutOffFailures is the number of consecutive failed calls after which a zone
	// counts as cut off. While only one upstream fails, others answer in between.
	cutOffFailures = 3
	// cutOffTime is how long a zone counts as cut off after a failed call.
	cutOffTime = 5 * time.Second
	// partTimeConstant is that of the fractions in the reports.
	partTimeConstant = 10 * time.Second
)

// zoneState is what a set knows of the targets of one zone.
type zoneState struct {
	name   string
	used   float64   // mean used fraction of the limits
	usedAt time.Time // of the last sample of used; zero without any
	spill  float64   // fraction of the calls that is sent there because the own zone is crowded

	failures   int       // calls that failed without feedback since the last feedback
	failedAt   time.Time // of the last of them
	answeredAt time.Time // of the last feedback
	sentAt     time.Time // of the first call since then, or since a call ended without feedback; zero if there is none

	calls float64 // decaying number of calls sent there
}

// ZonePart is the fraction of the recent calls to a service that a node sent to
// another zone.
type ZonePart struct {
	Zone     string
	Fraction float64
}

// zoneOf returns the state of a zone and creates it if there is none.
func (s *Set) zoneOf(name string) *zoneState {
	i := slices.IndexFunc(s.zones, func(z *zoneState) bool { return z.name == name })
	if i < 0 {
		s.zones = append(s.zones, &zoneState{name: name})
		i = len(s.zones) - 1
	}
	return s.zones[i]
}

// removeZones drops the zones without targets.
func (s *Set) removeZones() {
	s.zones = slices.DeleteFunc(s.zones, func(z *zoneState) bool {
		return !slices.ContainsFunc(s.targets, func(t *targetState) bool { return t.zone == z })
	})
}

// recordUsed records the load that feedback states.
func (z *zoneState) recordUsed(now time.Time, inFlight, limit int) {
	used := min(float64(inFlight)/float64(limit), maxUsedSample)
	z.used += (used - z.used) * sampleWeight(now.Sub(z.usedAt), usedTimeConstant)
	z.usedAt = now
}

// known reports whether the used fraction of the zone is known.
func (z *zoneState) known(now time.Time) bool {
	return !z.usedAt.IsZero() && now.Sub(z.usedAt) <= usedExpiry
}

// cutOff reports whether several calls to the zone have failed since the last
// response, or none has got one for long.
func (z *zoneState) cutOff(now time.Time) bool {
	return z.failures >= cutOffFailures && now.Sub(z.failedAt) <= cutOffTime ||
		z.sentAt.After(z.answeredAt) && now.Sub(z.sentAt) > DefaultUnreachableAfter
}

// recordAnswer records that a target of the zone has sent feedback.
func (z *zoneState) recordAnswer(now time.Time) {
	z.answeredAt, z.failures = now, 0
}

// recordFailure records a call that failed without feedback.
func (z *zoneState) recordFailure(now time.Time) {
	z.failedAt = now
	z.failures++
}

// reachable returns the probability with which a draw of a target is accepted if
// the own zone has none: by its capacity.
func (s *Set) reachable(t *targetState, now time.Time) float64 {
	if t.zone.cutOff(now) {
		return 0
	}
	return s.relativeWeight(now, t)
}

// spillPart returns the probability with which a draw of a target is accepted
// for a call that spills over: by its capacity and the part of its zone.
func (s *Set) spillPart(t *targetState, now time.Time) float64 {
	return t.zone.spill / s.maxZoneSpill * s.reachable(t, now)
}

// hasRoom returns the probability with which a draw of a target is accepted if
// the own target can't serve the call.
func hasRoom(t *targetState, now time.Time) float64 {
	z := t.zone
	switch {
	case z.cutOff(now):
		return 0
	case z.known(now) && z.used >= 1:
		return fullZonePart
	}
	return 1
}

// advanceSpill changes the fractions that spill over. Each is the integral of
// the excess of the own zone, or of the room of the other zone if that is less, so
// that both settle without a step and the fraction returns to 0 by the same way.
func (s *Set) advanceSpill(now time.Time) {
	elapsed := now.Sub(s.spillAt)
	if elapsed < spillInterval {
		return
	}
	s.spillAt = now
	for _, z := range s.zones {
		z.calls *= 1 - sampleWeight(elapsed, partTimeConstant)
	}
	own := s.zoneOf(s.zone)
	seconds := min(elapsed, time.Second).Seconds()
	excess := -spillFrom
	if own.known(now) {
		excess += own.used
	}
	s.spilled, s.maxZoneSpill = 0, 0
	for _, z := range s.zones {
		if z == own {
			continue
		}
		z.advanceSpill(now, excess, seconds/float64(max(1, len(s.zones)-1)))
		s.spilled += z.spill
		s.maxZoneSpill = max(s.maxZoneSpill, z.spill)
	}
	if s.spilled > maxSpill {
		for _, z := range s.zones {
			z.spill *= maxSpill / s.spilled
		}
		s.maxZoneSpill *= maxSpill / s.spilled
		s.spilled = maxSpill
	}
}

func (z *zoneState) advanceSpill(now time.Time, excess, seconds float64) {
	switch {
	case z.cutOff(now):
		z.spill = 0
	case !z.known(now):
		z.spill = 0
		if excess > 0 {
			z.spill = trialSpill
		}
	default:
		z.spill = max(0, z.spill+spillGain*seconds*min(excess, acceptTo-z.used))
	}
}

// recordPick counts a call for the fractions in reports.
func (t *targetState) recordPick(now time.Time) {
	t.zone.calls++
	if !t.zone.sentAt.After(t.zone.answeredAt) {
		t.zone.sentAt = now
	}
}

// Spilled returns the fraction of the recent calls that went to each other zone,
// ordered by zone: calls that spill over, that avoid a slow target, and that
// explore. It is empty for a service that never had service times, and all
// fractions are 0 if its last one has expired.
func (s *Set) Spilled(now time.Time) []ZonePart {
	if s.timedUntil.IsZero() {
		return nil
	}
	total := 0.0
	for _, z := range s.zones {
		total += z.calls
	}
	var parts []ZonePart
	for _, z := range s.zones {
		part := ZonePart{Zone: z.name}
		if total > 0 && s.byCompletion(now) {
			part.Fraction = z.calls / total
		}
		if z.name != s.zone {
			parts = append(parts, part)
		}
	}
	slices.SortFunc(parts, func(a, b ZonePart) int { return strings.Compare(a.Zone, b.Zone) })
	return parts
}
