package admit

import (
	"slices"
	"time"
)

// Parameters of a Throttle.
const (
	// LevelExpiry is the age at which a reported level expires (docs/design.md
	// 6.2).
	LevelExpiry = time.Second
	// DefaultMargin is how much of the demand above the level a throttle lets
	// pass, as a fraction of the demand below the level. So a target always
	// sees more demand than it admits and can raise its level when it has spare
	// capacity.
	DefaultMargin = 0.1

	// demandExpiry is longer than LevelExpiry, as the demand of a customer
	// changes slowly and few of its requests may pass.
	demandExpiry = 5 * time.Second
	demandWeight = 0.2 // of a new report in the moving average over the targets of a service
	// maxRankSamples bounds the ranks kept for each service. A node that sends
	// to 310 services then needs less than 1 MB for them.
	maxRankSamples   = 256
	cutoffRefresh    = 20 * time.Millisecond // time between computations of a cutoff, which sort the ranks
	maxWeight        = 1000                  // largest result of TakeWeight
	minChildFraction = 0.5                   // child services used by a smaller fraction of the calls are ignored
	minChildCalls    = 0.01                  // child services with a smaller decayed number of calls are removed
	// maxThrottleCustomers bounds the customers tracked for each service.
	maxThrottleCustomers = 1024
)

// Throttle refuses requests at a node before they are sent to an overloaded
// service. It keeps the feedback of targets for this. Its methods take the name
// of a service. An entry that tracks the level of whole call chains passes the
// name of a route instead, and must do so in all methods.
type Throttle struct {
	margin   float64
	services map[string]*serviceState
}

type serviceState struct {
	targets   map[string]levelReport
	limited   bool // all targets have a rate limit
	customers map[string]*customerState
	ranks     []uint32 // ring buffer of recent requests
	next      int
	calls     decayingCount
	children  map[string]*decayingCount
	cutoff    uint32
	cutoffAt  time.Time
	sorted    []uint32
}

type levelReport struct {
	level   uint32
	limited bool
	at      time.Time
}

type customerState struct {
	demand   float64
	demandAt time.Time
	refused  int // requests refused since the last TakeWeight
}

// ThrottleOption changes a parameter of a Throttle.
type ThrottleOption func(*Throttle)

// WithMargin sets how much of the demand above a level passes, as a fraction of
// the demand below it.
func WithMargin(x float64) ThrottleOption {
	return func(t *Throttle) { t.margin = x }
}

// NewThrottle returns a throttle without feedback.
func NewThrottle(opts ...ThrottleOption) *Throttle {
	t := &Throttle{margin: DefaultMargin, services: map[string]*serviceState{}}
	for _, o := range opts {
		o(t)
	}
	return t
}

func (t *Throttle) service(name string) *serviceState {
	s := t.services[name]
	if s == nil {
		s = &serviceState{targets: map[string]levelReport{}, customers: map[string]*customerState{}, children: map[string]*decayingCount{}, cutoff: OpenLevel}
		t.services[name] = s
	}
	return s
}

// RecordCall records that the local upstream starts a call of a service.
func (t *Throttle) RecordCall(now time.Time, name string) {
	t.service(name).calls.add(now, 1)
}

// RecordChild records that a call of service name makes a call to service
// child. It must be called once for each such call and child service, because
// MergeChildren compares the number with that of RecordCall.
func (t *Throttle) RecordChild(now time.Time, name, child string) {
	s := t.service(name)
	d := s.children[child]
	if d == nil {
		d = &decayingCount{}
		s.children[child] = d
	}
	d.add(now, 1)
}

// MergeChildren adds to the feedback of the local upstream what the node knows
// about the services that calls of name use, so that entries learn of an
// overload at any depth. A service that less than half of the calls use is
// ignored: its overload must not cause the other calls to be refused.
func (t *Throttle) MergeChildren(now time.Time, name, customer string, f Feedback) Feedback {
	s := t.service(name)
	calls := s.calls.value(now)
	for child, d := range s.children {
		n := d.value(now)
		if n < minChildCalls {
			delete(s.children, child)
			continue
		}
		if n < calls*minChildFraction {
			continue
		}
		f.PathLevel = min(f.PathLevel, t.Level(now, child))
		f.Demand = max(f.Demand, t.recentDemand(now, child, customer))
	}
	return f
}

// RecordFeedback records the feedback of a target to a request of a customer.
func (t *Throttle) RecordFeedback(now time.Time, name, target, customer string, f Feedback) {
	s := t.service(name)
	s.targets[target] = levelReport{level: min(f.Level, f.PathLevel), limited: f.RateLimited, at: now}
	if c := s.customer(customer); c != nil && f.Demand > 0 {
		c.recordDemand(now, f.Demand)
	}
}

func (s *serviceState) customer(name string) *customerState {
	c := s.customers[name]
	if c == nil && len(s.customers) < maxThrottleCustomers {
		c = &customerState{}
		s.customers[name] = c
	}
	return c
}

func (c *customerState) recordDemand(now time.Time, demand float64) {
	if c.demandAt.IsZero() || now.Sub(c.demandAt) > demandExpiry {
		c.demand = demand
	} else {
		c.demand += (demand - c.demand) * demandWeight
	}
	c.demandAt = now
}

// SetLimited records whether all targets of a service have a rate limit.
func (t *Throttle) SetLimited(name string, limited bool) {
	t.service(name).limited = limited
}

// Demand returns the demand of a customer as a multiple of its fair share of
// the service, as the argument of Rank. It is 1 without a recent report.
func (t *Throttle) Demand(now time.Time, name, customer string) float64 {
	if d := t.recentDemand(now, name, customer); d > 0 {
		return d
	}
	return 1
}

// recentDemand returns the demand of a customer, or 0 without a recent report.
func (t *Throttle) recentDemand(now time.Time, name, customer string) float64 {
	s := t.services[name]
	if s == nil {
		return 0
	}
	c := s.customers[customer]
	if c == nil || c.demandAt.IsZero() || now.Sub(c.demandAt) > demandExpiry {
		return 0
	}
	return c.demand
}

// TargetLevel returns the level of a target, and false if no unexpired one is
// known.
func (t *Throttle) TargetLevel(now time.Time, name, target string) (level uint32, ok bool) {
	s := t.services[name]
	if s == nil {
		return OpenLevel, false
	}
	report, ok := s.targets[target]
	if !ok || now.Sub(report.at) > LevelExpiry {
		return OpenLevel, false
	}
	return report.level, true
}

// Level returns the level of a service: the upper median over the unexpired
// levels of its targets, or OpenLevel if there are none. A single overloaded
// target thus doesn't cause refusals for the whole service. Targets with a rate
// limit count only if all have one, as the others serve what they refuse.
func (t *Throttle) Level(now time.Time, name string) uint32 {
	s := t.services[name]
	if s == nil {
		return OpenLevel
	}
	return s.level(now)
}

func (s *serviceState) level(now time.Time) uint32 {
	var levels, limitedLevels []uint32
	for name, t := range s.targets {
		switch {
		case now.Sub(t.at) > LevelExpiry:
			delete(s.targets, name)
		case t.limited:
			limitedLevels = append(limitedLevels, t.level)
		default:
			levels = append(levels, t.level)
		}
	}
	if s.limited {
		levels = append(levels, limitedLevels...)
	}
	if len(levels) == 0 {
		return OpenLevel
	}
	slices.Sort(levels)
	return levels[len(levels)/2]
}

// Admit records a request of a customer and reports whether it should be sent.
// A request above the level of the service is refused unless it lies within the
// margin.
func (t *Throttle) Admit(now time.Time, name, customer string, rank uint32) bool {
	s := t.service(name)
	s.recordRank(rank)
	if s.cutoffAt.IsZero() || now.Sub(s.cutoffAt) >= cutoffRefresh {
		s.cutoff = s.cutoffRank(s.level(now), t.margin)
		s.cutoffAt = now
	}
	pass := rank <= s.cutoff
	if c := s.customer(customer); c != nil && !pass {
		c.refused++
	}
	return pass
}

func (s *serviceState) recordRank(rank uint32) {
	if len(s.ranks) < maxRankSamples {
		s.ranks = append(s.ranks, rank)
		return
	}
	s.ranks[s.next] = rank
	s.next = (s.next + 1) % maxRankSamples
}

// cutoffRank returns the highest rank that passes: the level, raised so that
// further recent requests pass. Their number is margin times that of the recent
// requests below the level, and at least one. If fewer lie above the level,
// every rank passes.
func (s *serviceState) cutoffRank(level uint32, margin float64) uint32 {
	if level == OpenLevel {
		return OpenLevel
	}
	s.sorted = append(s.sorted[:0], s.ranks...)
	slices.Sort(s.sorted)
	below, _ := slices.BinarySearch(s.sorted, level+1)
	i := below + int(float64(below)*margin)
	if i >= len(s.sorted) {
		return OpenLevel
	}
	return max(level, s.sorted[i])
}

// TakeWeight returns the number of offered requests that a request represents:
// itself and the requests of the customer that were refused since the last
// call, at most maxWeight in total. Call it once for each request that Admit
// lets pass; the weights then add up to the demand. The weight is sent with the
// call, so that targets can measure the demand that entries refuse.
func (t *Throttle) TakeWeight(name, customer string) float64 {
	s := t.services[name]
	if s == nil {
		return 1
	}
	c := s.customers[customer]
	if c == nil {
		return 1
	}
	n := min(1+c.refused, maxWeight)
	c.refused = 0
	return float64(n)
}
