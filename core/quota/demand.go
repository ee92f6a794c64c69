package quota

import (
	"math"
	"time"
)

// demandTimeConstant is the time constant of the demand estimate: this long after the
// demand changed, the estimate has made 63% of the change. It averages over about five
// requests at a rate of 10 per second.
const demandTimeConstant = 500 * time.Millisecond

// rateEstimator estimates the rate of events from an exponentially decaying count.
type rateEstimator struct {
	count   float64
	updated time.Time
}

// decay reduces the count by the time since the last update.
func (e *rateEstimator) decay(now time.Time) {
	if d := now.Sub(e.updated); d > 0 {
		e.count *= math.Exp(-d.Seconds() / demandTimeConstant.Seconds())
		e.updated = now
	}
}

// add counts one event.
func (e *rateEstimator) add(now time.Time) {
	e.decay(now)
	e.count++
}

// rate returns the estimated rate in events per second, one event as one token.
func (e *rateEstimator) rate(now time.Time) Amount {
	e.decay(now)
	return PerSecond(e.count / demandTimeConstant.Seconds())
}
