package burn

import (
	"sync"
	"time"

	"dogwoodsill.org/core/model"
)

// Windows over which calls are counted, shortest first. The last one is the
// period of the budget.
var windows = [...]time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

const (
	// windowCount is the number of windows.
	windowCount = len(windows)
	// slotCount divides a window, so that its end moves in steps of a twelfth.
	slotCount = 12
	// DefaultSeries bounds the series of a node, except those of
	// OtherCustomers. They take 3.5 MB.
	DefaultSeries = 2048
	// OtherCustomers stands for the customers that no series was left for.
	OtherCustomers = "(other)"
	// reclaimEvery bounds how often full counters look for idle series.
	reclaimEvery = time.Minute
)

// Windows returns the windows over which calls are counted, shortest first.
func Windows() []time.Duration {
	return append([]time.Duration(nil), windows[:]...)
}

// Outcome is the end of a call from its caller's point of view.
type Outcome uint8

// Outcomes.
const (
	Served          Outcome = iota + 1 // complete response
	Failed                             // no complete response, or an error of the upstream
	RefusedInRate                      // refused although within the customer's rate
	RefusedOverRate                    // refused above the customer's rate; no objective covers it
)

// Call is one finished call.
type Call struct {
	Service    string
	Importance int
	Customer   string // empty on an open route without a valid key
	Outcome    Outcome
	Latency    time.Duration
}

// bad reports whether the call misses an objective with a latency limit in
// milliseconds, or 0 for none.
func (c *Call) bad(limitMS int64) bool {
	return c.Outcome != Served || limitMS > 0 && c.Latency > time.Duration(limitMS)*time.Millisecond
}

// seriesID names a series. Objectives with the same latency limit share one, so
// that nodes with different revisions of a service still add up.
type seriesID struct {
	service    string
	importance int
	customer   string
	latencyMS  int64
}

// slot counts the calls of a twelfth of a window.
type slot struct {
	number              int64 // slots since 1970
	total, bad, refused uint32
}

// series holds the slots of each window: those of the window and the current
// one, which is not complete.
type series struct {
	slots [windowCount][slotCount + 1]slot
	last  time.Time
}

// Counters counts the calls of one node. It is safe for concurrent use.
type Counters struct {
	mu        sync.Mutex
	max       int
	series    map[seriesID]*series
	reclaimed time.Time
}

// Option changes a setting of counters.
type Option func(*Counters)

// WithSeries bounds the number of series. Further customers are counted
// together as OtherCustomers.
func WithSeries(n int) Option {
	return func(c *Counters) { c.max = n }
}

// New returns empty counters.
func New(opts ...Option) *Counters {
	c := &Counters{max: DefaultSeries, series: map[seriesID]*series{}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Observe counts a call for each objective of its service that covers it, and
// once without a latency limit. Calls above their customer's rate are not
// counted.
func (c *Counters) Observe(now time.Time, call Call, slos []model.SLO) {
	if call.Outcome == RefusedOverRate {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.add(now, &call, 0)
	for i, s := range slos {
		if covers(s, call.Importance) && s.LatencyMS > 0 && !repeated(slos[:i], s.LatencyMS, call.Importance) {
			c.add(now, &call, s.LatencyMS)
		}
	}
}

// covers reports whether an objective applies to calls of an importance.
func covers(s model.SLO, importance int) bool {
	return s.Importance == nil || *s.Importance == importance
}

// repeated reports whether an objective before has the same latency limit.
func repeated(before []model.SLO, limitMS int64, importance int) bool {
	for _, s := range before {
		if s.LatencyMS == limitMS && covers(s, importance) {
			return true
		}
	}
	return false
}

func (c *Counters) add(now time.Time, call *Call, limitMS int64) {
	s := c.find(now, seriesID{call.Service, call.Importance, call.Customer, limitMS})
	s.last = now
	for i, w := range windows {
		slot := s.at(i, number(now, w))
		slot.total++
		if call.bad(limitMS) {
			slot.bad++
		}
		if call.Outcome == RefusedInRate {
			slot.refused++
		}
	}
}

func (c *Counters) find(now time.Time, id seriesID) *series {
	if s := c.series[id]; s != nil {
		return s
	}
	if len(c.series) >= c.max {
		c.reclaim(now)
	}
	if len(c.series) >= c.max {
		id.customer = OtherCustomers
	}
	s := c.series[id]
	if s == nil {
		s = &series{}
		c.series[id] = s
	}
	return s
}

// reclaim drops series without a call in the longest window.
func (c *Counters) reclaim(now time.Time) {
	if now.Sub(c.reclaimed) < reclaimEvery {
		return
	}
	c.reclaimed = now
	for id, s := range c.series {
		if now.Sub(s.last) > windows[windowCount-1] {
			delete(c.series, id)
		}
	}
}

// number returns the slot of a window that a time lies in.
func number(now time.Time, window time.Duration) int64 {
	return now.UnixNano() / int64(window/slotCount)
}

// at returns the slot with a number. After the clock was set back it returns
// the newer slot in its place.
func (s *series) at(window int, n int64) *slot {
	p := &s.slots[window][n%(slotCount+1)]
	if p.number < n {
		*p = slot{number: n}
	}
	return p
}

// sum adds the slots of a window and the current one.
func (s *series) sum(now time.Time, window int) Count {
	last := number(now, windows[window])
	var c Count
	for _, p := range s.slots[window] {
		if p.number >= last-slotCount {
			c.Total += uint64(p.total)
			c.Bad += uint64(p.bad)
			c.Refused += uint64(p.refused)
		}
	}
	return c
}
