package admit

import (
	"math"
	"slices"
	"time"
)

// Parameters of Shares.
const (
	// demandTimeConstant is the time constant of the measured demand. Over 2 s
	// a customer with 50 requests a second is measured to about 7%.
	demandTimeConstant = 2 * time.Second
	// minDemandAge is the shortest time over which a demand is measured.
	minDemandAge = 200 * time.Millisecond
	// fairShareRefresh is the time between two computations of the fair share.
	fairShareRefresh = 100 * time.Millisecond
	// fairShareWeight is the weight of a new fair share in the moving average.
	// Entries average the demands reported to them, which are multiples of the
	// fair share; if it jumped, they would mix values of different scales.
	fairShareWeight = 0.05
	// maxShareCustomers bounds the customers with a measured demand. Any other
	// customer counts as within its share.
	maxShareCustomers = 1024
	// minTrackedRate is the demand in requests per second below which a
	// customer is removed.
	minTrackedRate = 0.01
)

// Shares measures the demand of customers and estimates their max-min fair
// share at one target or entry.
type Shares struct {
	demand      map[string]*demandEstimate
	fairShare   float64 // max-min fair share in requests per second
	refreshedAt time.Time
}

type demandEstimate struct {
	since   time.Time
	rate    float64 // exponentially decayed, in requests per second
	updated time.Time
}

// value returns the demand in requests per second. The decayed rate of a
// customer that came a short time ago is still rising, and value corrects for
// that.
func (d *demandEstimate) value(now time.Time) float64 {
	d.decay(now)
	age := max(now.Sub(d.since), minDemandAge)
	return d.rate / (1 - math.Exp(-age.Seconds()/demandTimeConstant.Seconds()))
}

// NewShares returns Shares without customers.
func NewShares() *Shares {
	return &Shares{demand: map[string]*demandEstimate{}}
}

// RecordArrival records a request of a customer. The weight is the number of
// offered requests that this one represents (Throttle.TakeWeight); below 1 it
// counts as 1.
func (s *Shares) RecordArrival(now time.Time, customer string, weight float64) {
	d := s.demand[customer]
	if d == nil {
		if len(s.demand) >= maxShareCustomers {
			s.expire(now)
		}
		if len(s.demand) >= maxShareCustomers {
			return
		}
		d = &demandEstimate{since: now, updated: now}
		s.demand[customer] = d
	}
	d.decay(now)
	d.rate += max(1, weight) / demandTimeConstant.Seconds()
}

func (d *demandEstimate) decay(now time.Time) {
	if age := now.Sub(d.updated); age > 0 {
		d.rate *= math.Exp(-age.Seconds() / demandTimeConstant.Seconds())
		d.updated = now
	}
}

func (s *Shares) expire(now time.Time) {
	for name, d := range s.demand {
		d.decay(now)
		if d.rate < minTrackedRate {
			delete(s.demand, name)
		}
	}
}

// Demand returns the demand of a customer as a multiple of its max-min fair
// share of a capacity in requests per second. A value above 1 means that the
// customer demands more than its share. If the capacity covers all demand, the
// value of the largest customer is 1. A customer without a measured demand has
// 1.
func (s *Shares) Demand(now time.Time, customer string, capacity float64) float64 {
	if now.Sub(s.refreshedAt) >= fairShareRefresh {
		s.refresh(now, capacity)
	}
	d := s.demand[customer]
	if d == nil || s.fairShare <= 0 {
		return 1
	}
	return d.value(now) / s.fairShare
}

func (s *Shares) refresh(now time.Time, capacity float64) {
	s.expire(now)
	rates := make([]float64, 0, len(s.demand))
	for _, d := range s.demand {
		rates = append(rates, d.value(now))
	}
	fairShare := FairShare(rates, capacity)
	if s.fairShare <= 0 || fairShare <= 0 {
		s.fairShare = fairShare
	} else {
		s.fairShare += (fairShare - s.fairShare) * fairShareWeight
	}
	s.refreshedAt = now
}

// FairShare returns the max-min fair share of a capacity: the rate w at which
// the sum of min(rate, w) equals the capacity. If the capacity covers all
// rates, it returns the largest rate. It sorts rates.
func FairShare(rates []float64, capacity float64) float64 {
	if len(rates) == 0 {
		return 0
	}
	slices.Sort(rates)
	remaining := capacity
	for i, r := range rates {
		if w := remaining / float64(len(rates)-i); w < r {
			return max(0, w)
		}
		remaining -= r
	}
	return rates[len(rates)-1]
}
