package admit

import (
	"math"
	"time"
)

// countTimeConstant is the time constant, in seconds, of the decaying counts of
// calls and of child calls.
const countTimeConstant = 2

// decayingCount is a count that decays exponentially with countTimeConstant.
type decayingCount struct {
	n       float64 // count at the time updated
	updated time.Time
}

func (d *decayingCount) add(now time.Time, x float64) {
	d.n = d.value(now) + x
	d.updated = now
}

func (d *decayingCount) value(now time.Time) float64 {
	if d.n == 0 {
		return 0
	}
	return d.n * math.Exp(-max(0, now.Sub(d.updated).Seconds())/countTimeConstant)
}
