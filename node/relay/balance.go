package relay

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"dogwoodsill.org/core/admit"
	"dogwoodsill.org/core/picker"
	"dogwoodsill.org/core/retry"
)

// largeBody is the size in bytes above which a request body is several times as
// large as the heads of the call and its response, and so makes up most of the
// traffic. For such calls the picker prefers targets in the same zone more
// strongly, because traffic between zones is expensive.
const largeBody = 16 << 10

// Balancer holds the feedback and measurements that a node has of the targets of
// all services. It picks targets, refuses calls that a service would refuse and
// limits retries. It is safe for concurrent use.
type Balancer struct {
	dir  Directory
	zone string

	mu         sync.Mutex
	sets       map[string]*targetSet
	statements map[string]heardStatement // by instance
	throttle   *admit.Throttle
	rng        *rand.Rand
	// retryLimits returns the retry ratio and the minimum number of retries of this
	// node for each service.
	retryLimits func() (ratio float64, minimum int)
	limitsCold  func(service string) bool // reports whether calls to cold upstreams of a service are limited
}

// targetSet holds the targets of one service and its retry policy.
type targetSet struct {
	picker *picker.Set
	retry  *retry.Policy
	gen    uint64
	byID   map[string]Candidate
}

// NewBalancer returns a balancer for a node in the given zone. The seed
// initializes its random number generator.
func NewBalancer(dir Directory, zone string, seed uint64, opts ...BalancerOption) *Balancer {
	b := &Balancer{
		dir: dir, zone: zone, sets: map[string]*targetSet{}, statements: map[string]heardStatement{}, throttle: admit.NewThrottle(),
		rng:         rand.New(rand.NewPCG(seed, seed)),
		retryLimits: func() (float64, int) { return retry.DefaultRatio, retry.DefaultMinRetries },
		limitsCold:  func(string) bool { return false },
	}
	for _, o := range opts {
		o(b)
	}
	return b
}

// BalancerOption configures a Balancer.
type BalancerOption func(*Balancer)

// WithRetryLimits sets the function that returns the retry limits that apply to
// each service: the ratio of retries to first attempts, and the number of retries
// per window that is always allowed.
func WithRetryLimits(f func() (ratio float64, minimum int)) BalancerOption {
	return func(b *Balancer) { b.retryLimits = f }
}

// WithColdLimit sets the function that reports whether calls to cold upstreams of a service are
// limited. By default they are not.
func WithColdLimit(f func(service string) bool) BalancerOption {
	return func(b *Balancer) { b.limitsCold = f }
}

// Rank returns the rank of a root request, which is the request at the start of a
// call chain. Under overload, a service refuses calls with a high rank first.
func (b *Balancer) Rank(service, customer string, importance int, root string, now time.Time) uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return admit.Rank(importance, b.throttle.Demand(now, service, customer), root)
}

// Admit records a call and reports whether the service admits its rank. The
// weight is 1 plus the number of requests of the customer that were refused here
// since the last admitted one, so that targets can measure the demand.
func (b *Balancer) Admit(service, customer string, rank uint32, now time.Time) (weight float64, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	ok = b.throttle.Admit(now, service, customer, rank)
	return b.throttle.TakeWeight(service, customer), ok
}

// StartCall records that a call of the given service arrived for the local
// upstream, whether it is admitted or not.
func (b *Balancer) StartCall(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.throttle.RecordCall(now, service)
}

// StartChild records that a running call of a service calls the service child for
// the first time.
func (b *Balancer) StartChild(service, child string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.throttle.RecordChild(now, service, child)
}

// MergeFeedback combines the feedback of the local target with the state of the
// services that it calls.
func (b *Balancer) MergeFeedback(service, customer string, f admit.Feedback, now time.Time) admit.Feedback {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.throttle.MergeChildren(now, service, customer, f)
}

// pick picks a target that was not tried yet. The caller must report the end of
// the attempt with recordResult.
func (b *Balancer) pick(req *Request, tried []string, now time.Time) (Candidate, bool) {
	list, gen := b.dir.Candidates(req.Service)
	b.mu.Lock()
	defer b.mu.Unlock()
	set := b.updatedSet(req.Service, list, gen, now)
	id, ok := set.picker.Pick(now, queryOf(req, tried), b.rng)
	if !ok {
		return Candidate{}, false
	}
	return set.byID[id], true
}

func queryOf(req *Request, tried []string) picker.Query {
	q := QueryOf(req.ContentLength, req.Call.LatencyGoal)
	q.Rank, q.Tried, q.NoProbe = req.Call.Rank, tried, !req.Repeatable
	return q
}

// updatedSet returns the targets of a service after it applied the current list
// of candidates. The caller holds mu.
func (b *Balancer) updatedSet(service string, list []Candidate, gen uint64, now time.Time) *targetSet {
	s := b.ensureSet(service)
	if s.byID != nil && s.gen == gen {
		return s
	}
	s.gen, s.byID = gen, make(map[string]Candidate, len(list))
	targets := make([]picker.Target, 0, len(list))
	for _, c := range list {
		s.byID[c.ID] = c
		b.learnLeaving(c, now)
		targets = append(targets, picker.Target{ID: c.ID, Zone: c.Zone, Draining: c.State == Draining, Cold: c.State == Cold && b.limitsCold(service)})
	}
	s.picker.Update(targets)
	s.picker.ApplyCold(now)
	b.throttle.SetLimited(service, s.picker.AllLimited())
	return s
}

// ensureSet returns the targets of a service and creates an empty set if there is
// none. The caller holds mu.
func (b *Balancer) ensureSet(service string) *targetSet {
	s, ok := b.sets[service]
	if !ok {
		ratio, minimum := b.retryLimits()
		s = &targetSet{picker: picker.NewSet(b.zone, picker.WithQuality()), retry: &retry.Policy{
			Ratio:   retry.NewRatioLimiter(retry.WithRatio(ratio), retry.WithMinRetries(minimum)),
			Backoff: retry.DefaultBackoff(),
		}}
		b.sets[service] = s
	}
	return s
}

// hasUntried reports whether the service has a target that is not draining and
// was not tried yet. last is the target of the latest attempt, which is not in
// state.tried yet.
func (c *Caller) hasUntried(state *callState, last Candidate) bool {
	list, _ := c.dir.Candidates(state.req.Service)
	for _, t := range list {
		if t.ID != last.ID && t.State != Draining && !slices.Contains(state.tried, t.ID) {
			return true
		}
	}
	return false
}

// recordResult records the result of an attempt. The feedback is nil if the target
// sent none.
func (b *Balancer) recordResult(req *Request, id string, r picker.Result, f *Feedback, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	set := b.sets[req.Service].picker
	if f == nil {
		set.Done(now, id, r, nil)
		return
	}
	f.RateLimited = set.Limited(id)
	set.Done(now, id, r, &f.Feedback)
	set.SetCold(now, id, f.Cold)
	set.SetFull(id, now.Add(time.Duration(f.FullUS)*time.Microsecond))
	b.throttle.RecordFeedback(now, req.Service, id, req.Call.Customer, f.Feedback)
	if f.Draining {
		set.Drain(id)
	}
}

// recordLatency records the latency of a successful call.
func (b *Balancer) recordLatency(service, id string, took time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sets[service].picker.RecordLatency(now, id, took)
}

// Spill is the fraction of the recent calls of this node to a service that went
// to another zone.
type Spill struct {
	Service string
	picker.ZonePart
}

// Spilled returns the fractions for the services whose targets are chosen by
// expected completion, ordered by service and zone.
func (b *Balancer) Spilled(now time.Time) []Spill {
	b.mu.Lock()
	defer b.mu.Unlock()
	var spills []Spill
	for _, service := range slices.Sorted(maps.Keys(b.sets)) {
		for _, part := range b.sets[service].picker.Spilled(now) {
			spills = append(spills, Spill{Service: service, ZonePart: part})
		}
	}
	return spills
}

// recordFirst counts the first attempt of a call for the retry ratio.
func (b *Balancer) recordFirst(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ensureSet(service).retry.Ratio.RecordFirst(now)
}

// decideRetry decides whether a call is retried.
func (b *Balancer) decideRetry(service string, a retry.Attempt, now time.Time) retry.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	policy := b.ensureSet(service).retry
	_, minimum := b.retryLimits()
	policy.Ratio.SetMinRetries(minimum)
	return policy.Next(now, a, b.rng)
}

// excluded reports whether the service currently refuses calls of a rank.
func (b *Balancer) excluded(service string, rank uint32, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return rank > b.throttle.Level(now, service)
}
