package admit

import (
	"slices"
	"time"
)

// Parameters of a Reader.
const (
	// LevelExpiry is the time after which a level counts no more
	// (docs/design.md 6.2).
	LevelExpiry = time.Second
	// DefaultMargin is the part of the demand below the level that passes in
	// addition. A target thus always sees more than it admits and can raise
	// its level when it has room.
	DefaultMargin = 0.1

	// demandExpiry is longer than LevelExpiry, as the demand of a customer
	// changes slowly and few of its requests may pass.
	demandExpiry = 5 * time.Second
	demandWeight = 0.2 // of a new report, to average over the targets of a service
	// readerSamples bounds the ranks kept for each service; 310 services then
	// take less than 1 MB.
	readerSamples = 256
	cutRefresh    = 20 * time.Millisecond
	maxWeight     = 1000
	childPart     = 0.5  // of the calls, from which a service below counts as used
	childForget   = 0.01 // decayed calls below which a service below is forgotten
	// readerCustomers bounds the customers kept for each service.
	readerCustomers = 1024
)

// Throttle holds what a node learned from the feedback of targets. The services
// may be any names that the node uses alike for reports and questions: a
// target's own service for the choice of a target, the route for the level of
// a whole chain at an entry.
type Throttle struct {
	margin   float64
	services map[string]*service
}

type service struct {
	targets   map[string]report
	customers map[string]*customer
	ranks     []uint32 // ring
	next      int
	calls     decayed
	children  map[string]*decayed
	cut       uint32
	cutAt     time.Time
	sorted    []uint32
}

type report struct {
	level uint32
	at    time.Time
}

type customer struct {
	demand   float64
	demandAt time.Time
	refused  int // since the latest Weight
}

// ThrottleOption changes a parameter of a Reader.
type ThrottleOption func(*Throttle)

// WithMargin sets the part of the demand below a level that passes in
// addition.
func WithMargin(x float64) ThrottleOption {
	return func(r *Throttle) { r.margin = x }
}

// NewThrottle returns a reader without reports.
func NewThrottle(opts ...ThrottleOption) *Throttle {
	r := &Throttle{margin: DefaultMargin, services: map[string]*service{}}
	for _, o := range opts {
		o(r)
	}
	return r
}

func (r *Throttle) service(name string) *service {
	s := r.services[name]
	if s == nil {
		s = &service{targets: map[string]report{}, customers: map[string]*customer{}, children: map[string]*decayed{}, cut: OpenLevel}
		r.services[name] = s
	}
	return s
}

// RecordCall records that the node runs a call of a service for the targets of which
// it speaks, and Child that this call makes a call to another service. Both
// serve Join.
func (r *Throttle) RecordCall(now time.Time, name string) {
	r.service(name).calls.add(now, 1)
}

// RecordChild records a call to a service that a call of name makes; see Call. Of
// several calls to the same service, record one.
func (r *Throttle) RecordChild(now time.Time, name, child string) {
	s := r.service(name)
	d := s.children[child]
	if d == nil {
		d = &decayed{}
		s.children[child] = d
	}
	d.add(now, 1)
}

// MergeChildren adds to the feedback of the node's own target what the node knows about
// the services that calls of name use, so that entries learn about overload at
// any depth. A service that less than half of the calls use is left out: its
// overload must not refuse the others.
func (r *Throttle) MergeChildren(now time.Time, name, customer string, f Feedback) Feedback {
	s := r.service(name)
	calls := s.calls.value(now)
	for child, d := range s.children {
		n := d.value(now)
		if n < childForget {
			delete(s.children, child)
			continue
		}
		if n < calls*childPart {
			continue
		}
		f.PathLevel = min(f.PathLevel, r.Level(now, child))
		f.Demand = max(f.Demand, r.known(now, child, customer))
	}
	return f
}

// RecordFeedback records the feedback of a target to a request of a customer.
func (r *Throttle) RecordFeedback(now time.Time, name, target, customer string, f Feedback) {
	s := r.service(name)
	s.targets[target] = report{level: min(f.Level, f.PathLevel), at: now}
	if c := s.customer(customer); c != nil && f.Demand > 0 {
		c.report(now, f.Demand)
	}
}

func (s *service) customer(name string) *customer {
	c := s.customers[name]
	if c == nil && len(s.customers) < readerCustomers {
		c = &customer{}
		s.customers[name] = c
	}
	return c
}

func (c *customer) report(now time.Time, demand float64) {
	if c.demandAt.IsZero() || now.Sub(c.demandAt) > demandExpiry {
		c.demand = demand
	} else {
		c.demand += (demand - c.demand) * demandWeight
	}
	c.demandAt = now
}

// Demand returns the demand of a customer as a multiple of its fair share of
// the service, for Rank. It is 1 without a fresh report.
func (r *Throttle) Demand(now time.Time, name, customer string) float64 {
	if d := r.known(now, name, customer); d > 0 {
		return d
	}
	return 1
}

// known returns the demand of a customer, 0 without a fresh report.
func (r *Throttle) known(now time.Time, name, customer string) float64 {
	s := r.services[name]
	if s == nil {
		return 0
	}
	c := s.customers[customer]
	if c == nil || c.demandAt.IsZero() || now.Sub(c.demandAt) > demandExpiry {
		return 0
	}
	return c.demand
}

// TargetLevel returns the level of a target, and false without a fresh one.
func (r *Throttle) TargetLevel(now time.Time, name, target string) (level uint32, ok bool) {
	s := r.services[name]
	if s == nil {
		return OpenLevel, false
	}
	t, ok := s.targets[target]
	if !ok || now.Sub(t.at) > LevelExpiry {
		return OpenLevel, false
	}
	return t.level, true
}

// Level returns the level of a service: the upper median over the fresh levels
// of its targets, Open without any. A single target that is overloaded doesn't
// close the service.
func (r *Throttle) Level(now time.Time, name string) uint32 {
	s := r.services[name]
	if s == nil {
		return OpenLevel
	}
	return s.level(now)
}

func (s *service) level(now time.Time) uint32 {
	var levels []uint32
	for name, t := range s.targets {
		if now.Sub(t.at) > LevelExpiry {
			delete(s.targets, name)
			continue
		}
		levels = append(levels, t.level)
	}
	if len(levels) == 0 {
		return OpenLevel
	}
	slices.Sort(levels)
	return levels[len(levels)/2]
}

// Admit records a request of a customer and reports whether it should be sent.
// A request above the level of the service is refused unless it lies within
// the margin.
func (r *Throttle) Admit(now time.Time, name, customer string, rank uint32) bool {
	s := r.service(name)
	s.observe(rank)
	if s.cutAt.IsZero() || now.Sub(s.cutAt) >= cutRefresh {
		s.cut = s.margin(s.level(now), r.margin)
		s.cutAt = now
	}
	pass := rank <= s.cut
	if c := s.customer(customer); c != nil && !pass {
		c.refused++
	}
	return pass
}

func (s *service) observe(rank uint32) {
	if len(s.ranks) < readerSamples {
		s.ranks = append(s.ranks, rank)
		return
	}
	s.ranks[s.next] = rank
	s.next = (s.next + 1) % readerSamples
}

// margin returns the rank up to which requests pass: the level, raised until
// the given part of the recent demand below it passes in addition, and at
// least one more of the recent requests.
func (s *service) margin(level uint32, part float64) uint32 {
	if level == OpenLevel {
		return OpenLevel
	}
	s.sorted = append(s.sorted[:0], s.ranks...)
	slices.Sort(s.sorted)
	below, _ := slices.BinarySearch(s.sorted, level+1)
	i := below + int(float64(below)*part)
	if i >= len(s.sorted) {
		return OpenLevel
	}
	return max(level, s.sorted[i])
}

// TakeWeight returns the number of offered requests that a request stands for which
// Admit has just let pass: itself and those of the customer refused since the
// last one. Call it once for each; the weights then add up to the demand. It
// travels with the call, so that targets can measure what entries refuse.
func (r *Throttle) TakeWeight(name, customer string) float64 {
	s := r.services[name]
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
