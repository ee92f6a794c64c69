package picker

import (
	"math"
	"time"
)

// Parameters of a pace.
const (
	// paceHalfLife is the time in which the count of accepted calls halves.
	paceHalfLife = 2 * time.Second
	// paceGrowth is the ratio of the calls that a node sends to those that the target
	// accepted recently. Above 1, so that the node gets a larger part when others need less.
	paceGrowth = 1.25
	// minPace, in calls per second, is sent to a target that accepted none.
	minPace = 0.1
	// paceBurst is the time whose calls may be sent at once.
	paceBurst = 250 * time.Millisecond
	// After a cold period, the pace doubles every rampDoubling, from minRamp calls per second at
	// least, and no longer bounds the calls after rampTime. By then it has grown by a factor of 256.
	rampDoubling = 500 * time.Millisecond
	rampTime     = 8 * rampDoubling
	minRamp      = 0.25
)

// pace bounds the calls of this node to a target whose upstream states a rate limit or is cold. The
// limit holds for all nodes together and is enforced at the target. From the calls that
// the target accepted, each node learns its part, so that few are refused there.
type pace struct {
	limited  bool
	cold     bool      // the upstream is cold and receives few calls from all nodes together
	ramp     time.Time // end of the last cold period; zero if there was none or its ramp is over
	rampFrom float64   // calls per second at that time
	accepted float64   // decaying number of accepted calls
	tokens   float64
	updated  time.Time // of accepted and tokens
}

// advance updates the counts to the given time.
func (p *pace) advance(now time.Time) {
	d := now.Sub(p.updated).Seconds()
	if d <= 0 {
		return
	}
	perSecond := p.perSecond()
	p.tokens = min(p.tokens+d*perSecond, 1+perSecond*paceBurst.Seconds())
	p.accepted *= math.Exp2(-d / paceHalfLife.Seconds())
	p.updated = now
}

// perSecond returns the calls per second that may be sent.
func (p *pace) perSecond() float64 {
	if !p.limited && !p.ramp.IsZero() {
		return p.rampFrom * math.Exp2(p.updated.Sub(p.ramp).Seconds()/rampDoubling.Seconds())
	}
	return minPace + paceGrowth*p.accepted*math.Ln2/paceHalfLife.Seconds()
}

// active reports whether the pace bounds the calls now.
func (p *pace) active(now time.Time) bool {
	if !p.ramp.IsZero() && now.Sub(p.ramp) >= rampTime {
		p.ramp = time.Time{}
	}
	return p.limited || p.cold || !p.ramp.IsZero()
}

// setCold records whether the upstream is cold. Until it has accepted calls while cold, its part for
// this node isn't known, so the first calls go to it at the lowest pace. When the upstream is warm,
// the pace grows without a step until it no longer bounds the calls.
func (p *pace) setCold(now time.Time, cold bool) {
	if p.cold == cold {
		return
	}
	p.advance(now)
	if cold {
		p.ramp, p.accepted, p.tokens = time.Time{}, 0, 0
	} else {
		p.rampFrom, p.ramp = max(p.perSecond(), minRamp), now
	}
	p.cold = cold
}

// recordAccepted counts a call that reached the upstream.
func (p *pace) recordAccepted(now time.Time) {
	p.advance(now)
	p.accepted++
}

// exhausted reports whether no call should be sent now.
func (p *pace) exhausted(now time.Time) bool {
	if !p.active(now) {
		return false
	}
	p.advance(now)
	return p.tokens < 1
}

// start counts a call that is sent.
func (p *pace) start(now time.Time) {
	if p.active(now) {
		p.advance(now)
		p.tokens = max(0, p.tokens-1)
	}
}

// SetLimited records whether the upstream of a target states a rate limit. It reports
// whether that is a change.
func (s *Set) SetLimited(now time.Time, id string, limited bool) bool {
	t := s.find(id)
	if t == nil || t.pace.limited == limited {
		return false
	}
	t.pace.advance(now)
	t.pace.limited = limited
	return true
}

// SetCold records whether the calls to a target are limited because its upstream is cold, as the
// target said itself.
func (s *Set) SetCold(now time.Time, id string, cold bool) {
	if t := s.find(id); t != nil {
		t.pace.setCold(now, cold)
	}
}

// ApplyCold applies to the paces what service discovery says about cold upstreams, if that has
// changed since it was last applied. The targets themselves may have said something newer since.
func (s *Set) ApplyCold(now time.Time) {
	for _, t := range s.targets {
		if t.listedCold != t.Cold {
			t.listedCold = t.Cold
			t.pace.setCold(now, t.Cold)
		}
	}
}

// SetFull records the time until which the upstream of a target is cold and takes no call, as the
// target said.
func (s *Set) SetFull(id string, until time.Time) {
	if t := s.find(id); t != nil {
		t.fullUntil = until
	}
}

// full reports whether the target would return a call because its upstream is cold.
func (t *targetState) full(now time.Time) bool {
	return t.pace.cold && now.Before(t.fullUntil)
}

// AllLimited reports whether there are targets and the upstreams of all that don't drain
// state a rate limit.
func (s *Set) AllLimited() bool {
	n := 0
	for _, t := range s.targets {
		switch {
		case t.Draining:
		case !t.pace.limited:
			return false
		default:
			n++
		}
	}
	return n > 0
}

// Limited reports whether the upstream of a target states a rate limit.
func (s *Set) Limited(id string) bool {
	t := s.find(id)
	return t != nil && t.pace.limited
}
