package admit

import (
	"math"
	"time"
)

// countDecay is the time constant in seconds of the counts of calls and of
// calls below.
const countDecay = 2

// decayed is a count that decays with a time constant of countDecay.
type decayed struct {
	n  float64
	at time.Time
}

func (d *decayed) add(now time.Time, x float64) {
	d.n = d.value(now) + x
	d.at = now
}

func (d *decayed) value(now time.Time) float64 {
	if d.n == 0 {
		return 0
	}
	return d.n * math.Exp(-max(0, now.Sub(d.at).Seconds())/countDecay)
}
