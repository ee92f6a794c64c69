package quota

import (
	"math"
	"time"
)

// demandWindow is the time constant of the demand estimate. It follows a step
// by 63% in this time and averages a few requests at low rates.
const demandWindow = 500 * time.Millisecond

// meter estimates a rate by exponentially decaying counts.
type meter struct {
	count float64
	at    time.Time
}

func (m *meter) decay(now time.Time) {
	if d := now.Sub(m.at); d > 0 {
		m.count *= math.Exp(-d.Seconds() / demandWindow.Seconds())
		m.at = now
	}
}

func (m *meter) add(now time.Time) {
	m.decay(now)
	m.count++
}

// rate returns events per second.
func (m *meter) rate(now time.Time) Amount {
	m.decay(now)
	return PerSecond(m.count / demandWindow.Seconds())
}
