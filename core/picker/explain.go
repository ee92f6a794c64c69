package picker

import (
	"math/rand/v2"
	"time"
)

// explainDraws is the number of picks from which the chance of each target is estimated. The
// standard error is at most 1.6%.
const explainDraws = 1000

// Explanation describes a target as the choice for one call sees it.
type Explanation struct {
	Target
	Excluded    string        // why the target can't be chosen; empty if it can
	Chance      float64       // fraction of explainDraws picks that chose the target
	InFlight    int           // calls of this node
	Load        float64       // estimated calls of all nodes
	Limit       int           // concurrency limit; 0 if not known
	ServiceTime time.Duration // 0 if not known
	Attempts    float64       // expected attempts of a successful call
	FeedbackAge time.Duration // negative without feedback
}

// Explain describes all targets for a call, ordered by identifier. It changes nothing: the picks
// are made on a copy.
func (s *Set) Explain(now time.Time, q Query, rng *rand.Rand) []Explanation {
	c := s.Clone()
	chosen := map[string]int{}
	for range explainDraws {
		c.candidates(now, q)
		if t := c.pickCandidate(now, q, rng); t != nil {
			chosen[t.ID]++
		}
	}
	out := make([]Explanation, 0, len(c.targets))
	for _, t := range c.targets {
		e := Explanation{
			Target: t.Target, Excluded: t.excluded(now, &q), Chance: float64(chosen[t.ID]) / explainDraws, InFlight: t.inFlight,
			Load: t.load(now), Limit: t.feedback.Limit, Attempts: t.quality.expectedAttempts(now), FeedbackAge: -1,
		}
		if !t.feedbackAt.IsZero() {
			e.FeedbackAge = now.Sub(t.feedbackAt)
		}
		if t.timed(now) {
			e.ServiceTime = time.Duration(t.feedback.ServiceTime) * time.Microsecond
		}
		out = append(out, e)
	}
	return out
}

// Clone returns a copy that shares no state with s.
func (s *Set) Clone() *Set {
	c := *s
	c.targets, c.zones = make([]*targetState, len(s.targets)), make([]*zoneState, len(s.zones))
	c.ownZone, c.otherZones = nil, nil
	zones := map[*zoneState]*zoneState{}
	for i, z := range s.zones {
		copied := *z
		c.zones[i], zones[z] = &copied, &copied
	}
	for i, t := range s.targets {
		copied := *t
		copied.zone = zones[t.zone]
		c.targets[i] = &copied
	}
	return &c
}
