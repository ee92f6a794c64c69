package admit

import (
	"math"
	"slices"
	"time"
)

// Parameters of Shares.
const (
	// shareDecay is the time constant of the measured demand. Over 2 s a
	// customer with 50 requests a second is measured to about 7%.
	shareDecay = 2 * time.Second
	// shareWarm is the shortest time over which a demand is measured.
	shareWarm = 200 * time.Millisecond
	// shareRefresh is the time between two computations of the water level.
	shareRefresh = 100 * time.Millisecond
	// shareWeight is the weight of a new water level. Reports to entries are
	// averaged; a water level that jumps would mix values of different scales.
	shareWeight = 0.05
	// shareCustomers bounds the customers with a measured demand. One that
	// isn't measured counts as within its share.
	shareCustomers = 1024
	// shareForget is the demand in requests per second below which a customer
	// is forgotten.
	shareForget = 0.01
)

// Shares estimates customers' demand and their max-min fair share at one
// target or entry.
type Shares struct {
	demand map[string]*demand
	water  float64 // max-min fair share in requests per second
	at     time.Time
}

type demand struct {
	since time.Time
	rate  float64 // decayed requests per second
	at    time.Time
}

// value returns the requests per second. The decayed rate of a customer that
// came a short time ago is still rising; the correction makes up for that.
func (d *demand) value(now time.Time) float64 {
	d.decay(now)
	age := max(now.Sub(d.since), shareWarm)
	return d.rate / (1 - math.Exp(-age.Seconds()/shareDecay.Seconds()))
}

// NewShares returns an estimate without customers.
func NewShares() *Shares {
	return &Shares{demand: map[string]*demand{}}
}

// Arrive records a request of a customer. The weight is the number of offered
// requests that this one stands for (Reader.Weight); below 1 it counts as 1.
func (s *Shares) Arrive(now time.Time, customer string, weight float64) {
	d := s.demand[customer]
	if d == nil {
		if len(s.demand) >= shareCustomers {
			s.expire(now)
		}
		if len(s.demand) >= shareCustomers {
			return
		}
		d = &demand{since: now, at: now}
		s.demand[customer] = d
	}
	d.decay(now)
	d.rate += max(1, weight) / shareDecay.Seconds()
}

func (d *demand) decay(now time.Time) {
	if age := now.Sub(d.at); age > 0 {
		d.rate *= math.Exp(-age.Seconds() / shareDecay.Seconds())
		d.at = now
	}
}

func (s *Shares) expire(now time.Time) {
	for name, d := range s.demand {
		d.decay(now)
		if d.rate < shareForget {
			delete(s.demand, name)
		}
	}
}

// Demand returns the demand of a customer as a multiple of its max-min fair
// share of a capacity in requests per second. A value above 1 means that the
// customer demands more than its share. When the capacity covers all demand,
// the largest customer has 1. A customer without a measured demand has 1.
func (s *Shares) Demand(now time.Time, customer string, capacity float64) float64 {
	if now.Sub(s.at) >= shareRefresh {
		s.refresh(now, capacity)
	}
	d := s.demand[customer]
	if d == nil || s.water <= 0 {
		return 1
	}
	return d.value(now) / s.water
}

func (s *Shares) refresh(now time.Time, capacity float64) {
	s.expire(now)
	rates := make([]float64, 0, len(s.demand))
	for _, d := range s.demand {
		rates = append(rates, d.value(now))
	}
	water := FairShare(rates, capacity)
	if s.water <= 0 || water <= 0 {
		s.water = water
	} else {
		s.water += (water - s.water) * shareWeight
	}
	s.at = now
}

// FairShare returns the max-min fair share: the rate w at which the sum of
// min(rate, w) is the capacity. If the capacity covers all rates, it is the
// largest rate. It sorts rates.
func FairShare(rates []float64, capacity float64) float64 {
	if len(rates) == 0 {
		return 0
	}
	slices.Sort(rates)
	left := capacity
	for i, r := range rates {
		if w := left / float64(len(rates)-i); w < r {
			return max(0, w)
		}
		left -= r
	}
	return rates[len(rates)-1]
}
