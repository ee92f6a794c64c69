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
)

// pace bounds the calls of this node to a target whose upstream states a rate limit. The
// limit holds for all nodes together and is enforced at the target. From the calls that
// the target accepted, each node learns its part, so that few are refused there.
type pace struct {
	limited  bool
	accepted float64 // decaying number of accepted calls
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
	return minPace + paceGrowth*p.accepted*math.Ln2/paceHalfLife.Seconds()
}

// recordAccepted counts a call that reached the upstream.
func (p *pace) recordAccepted(now time.Time) {
	p.advance(now)
	p.accepted++
}

// exhausted reports whether no call should be sent now.
func (p *pace) exhausted(now time.Time) bool {
	if !p.limited {
		return false
	}
	p.advance(now)
	return p.tokens < 1
}

// start counts a call that is sent.
func (p *pace) start(now time.Time) {
	if p.limited {
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
