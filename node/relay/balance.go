package relay

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"dogwoodsill.org/core/admit"
	"dogwoodsill.org/core/picker"
	"dogwoodsill.org/core/retry"
)

// heavyBody is the size in bytes from which the body outweighs the heads of a call
// and its answer several times.
const heavyBody = 16 << 10

// Balancer holds what a node learned about the targets of all services. It
// chooses targets, refuses calls early and limits retries. It is safe for
// concurrent use.
type Balancer struct {
	dir  Directory
	zone string

	mu     sync.Mutex
	sets   map[string]*targetSet
	reader *admit.Throttle
	rng    *rand.Rand
	// retries returns the ratio and the minimum of the retries of this node to one
	// service.
	retries func() (ratio float64, minimum int)
}

// targetSet is the targets of one service.
type targetSet struct {
	picker *picker.Set
	retry  *retry.Policy
	gen    uint64
	byID   map[string]Candidate
}

// NewBalancer returns a balancer for a node in a zone. The seed is the source
// of its random choices.
func NewBalancer(dir Directory, zone string, seed uint64, opts ...BalancerOption) *Balancer {
	b := &Balancer{
		dir: dir, zone: zone, sets: map[string]*targetSet{}, reader: admit.NewThrottle(),
		rng:     rand.New(rand.NewPCG(seed, seed)),
		retries: func() (float64, int) { return retry.DefaultRatio, retry.DefaultMinRetries },
	}
	for _, o := range opts {
		o(b)
	}
	return b
}

// BalancerOption changes a balancer.
type BalancerOption func(*Balancer)

// WithRetryLimits sets the source of the limits of retries to one service: the part
// of first attempts, and the number in a window that is always allowed.
func WithRetryLimits(f func() (ratio float64, minimum int)) BalancerOption {
	return func(b *Balancer) { b.retries = f }
}

// Rank returns the rank of a root request to a service.
func (b *Balancer) Rank(service, customer string, importance int, root string, now time.Time) uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return admit.Rank(importance, b.reader.Demand(now, service, customer), root)
}

// Admit records a call and reports whether the service admits its rank. It
// returns the number of offered requests that the call stands for.
func (b *Balancer) Admit(service, customer string, rank uint32, now time.Time) (weight float64, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	ok = b.reader.Admit(now, service, customer, rank)
	return b.reader.TakeWeight(service, customer), ok
}

// StartCall records that the local upstream runs a call of a service, and
// StartChild that such a call calls another service for the first time.
func (b *Balancer) StartCall(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reader.RecordCall(now, service)
}

// StartChild records the first call to another service that a call makes.
func (b *Balancer) StartChild(service, child string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reader.RecordChild(now, service, child)
}

// MergeFeedback adds to the feedback of the local target what is known about the
// services that it calls.
func (b *Balancer) MergeFeedback(service, customer string, f admit.Feedback, now time.Time) admit.Feedback {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reader.MergeChildren(now, service, customer, f)
}

// pick chooses a target that was not tried. The caller reports its end by done.
func (b *Balancer) pick(req *Request, tried []string, now time.Time) (Candidate, bool) {
	list, gen := b.dir.Candidates(req.Service)
	b.mu.Lock()
	defer b.mu.Unlock()
	set := b.set(req.Service, list, gen)
	id, ok := set.picker.Pick(now, picker.Query{Rank: req.Call.Rank, Tried: tried, NoProbe: !req.Repeatable, LargeBody: req.ContentLength > heavyBody}, b.rng)
	if !ok {
		return Candidate{}, false
	}
	return set.byID[id], true
}

// set returns the targets of a service, brought up to date. The caller holds
// mu.
func (b *Balancer) set(service string, list []Candidate, gen uint64) *targetSet {
	s := b.known(service)
	if s.byID != nil && s.gen == gen {
		return s
	}
	s.gen, s.byID = gen, make(map[string]Candidate, len(list))
	targets := make([]picker.Target, 0, len(list))
	for _, c := range list {
		s.byID[c.ID] = c
		targets = append(targets, picker.Target{ID: c.ID, Zone: c.Zone, Draining: c.State == Draining})
	}
	s.picker.Update(targets)
	return s
}

// known returns what is known about a service. The caller holds mu.
func (b *Balancer) known(service string) *targetSet {
	s, ok := b.sets[service]
	if !ok {
		ratio, minimum := b.retries()
		s = &targetSet{picker: picker.NewSet(b.zone, picker.WithQuality()), retry: &retry.Policy{
			Ratio:   retry.NewRatioLimiter(retry.WithRatio(ratio), retry.WithMinRetries(minimum)),
			Backoff: retry.DefaultBackoff(),
		}}
		b.sets[service] = s
	}
	return s
}

// another reports whether the service of a call has a target that was not tried.
func (c *Caller) another(d *delivery, last Candidate) bool {
	list, _ := c.dir.Candidates(d.req.Service)
	for _, t := range list {
		if t.ID != last.ID && t.State != Draining && !slices.Contains(d.tried, t.ID) {
			return true
		}
	}
	return false
}

// done records the end of an attempt. The feedback is nil if the target sent
// none.
func (b *Balancer) done(req *Request, id string, r picker.Result, f *Feedback, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	set := b.sets[req.Service].picker
	if f == nil {
		set.Done(now, id, r, nil)
		return
	}
	set.Done(now, id, r, &f.Feedback)
	b.reader.RecordFeedback(now, req.Service, id, req.Call.Customer, f.Feedback)
	if f.Draining {
		set.Drain(id)
	}
}

// observe records how long a successful call took.
func (b *Balancer) observe(service, id string, took time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sets[service].picker.RecordLatency(now, id, took)
}

// first records the first attempt of a call.
func (b *Balancer) first(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.known(service).retry.Ratio.RecordFirst(now)
}

// next decides whether a call is attempted again.
func (b *Balancer) next(service string, a retry.Attempt, now time.Time) retry.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	policy := b.known(service).retry
	_, minimum := b.retries()
	policy.Ratio.SetMinRetries(minimum)
	return policy.Next(now, a, b.rng)
}

// excluded reports whether the service no longer admits a rank.
func (b *Balancer) excluded(service string, rank uint32, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return rank > b.reader.Level(now, service)
}
