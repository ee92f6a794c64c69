package quota

import (
	"math"
	"time"
)

// demandTimeConstant is the time constant of the demand estimate. The estimate
// follows a step of the demand by 63% in this time and averages over a few requests
// at low rates.
const demandTimeConstant = 500 * time.Millisecond

// rateEstimator estimates the rate of events from an exponentially decaying count.
type rateEstimator struct {
	count   float64
	updated time.Time
}

// decay reduces the count by the time since the last update.
func (m *rateEstimator) decay(now time.Time) {
	if d := now.Sub(m.updated); d > 0 {
		m.count *= math.Exp(-d.Seconds() / demandTimeConstant.Seconds())
		m.updated = now
	}
}

// add counts one event.
func (m *rateEstimator) add(now time.Time) {
	m.decay(now)
	m.count++
}

// rate returns the estimated rate in events per second, one event as one token.
func (m *rateEstimator) rate(now time.Time) Amount {
	m.decay(now)
	return PerSecond(m.count / demandTimeConstant.Seconds())
}
