package relay

import (
	"math/rand/v2"
	"net/http"
	"time"

	"dogwoodsill.org/core/limit"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/core/speed"
)

// learnedSpeed is what a gate has learned of the speed of its upstream. It is in use once the
// upstream has reported a work time, or if the configuration of the service asks for it. Its
// methods are called with the mutex of the gate held.
type learnedSpeed struct {
	allowed    func() bool // by the settings; nil for always
	reported   bool        // the upstream has reported a work time
	configured bool        // the configuration of the service asks for it
	estimator  *speed.Estimator
	limit      int // last limit of the estimator; 0 if there is none
}

// WithLearnedCapacity sets the function that reports whether the settings let the target learn
// the capacity of its upstream. By default they do.
func WithLearnedCapacity(allowed func() bool) TargetOption {
	return func(t *Target) { t.gate.learned.allowed = allowed }
}

// inUse reports whether decisions depend on what is learned. If not, it forgets that.
func (l *learnedSpeed) inUse() bool {
	if (l.reported || l.configured) && (l.allowed == nil || l.allowed()) {
		if l.estimator == nil {
			l.estimator = speed.New(speed.WithPhase(rand.Float64()))
		}
		return true
	}
	l.estimator, l.limit = nil, 0
	return false
}

// restart forgets what was learned of a former process of the upstream.
func (l *learnedSpeed) restart() {
	l.reported, l.estimator, l.limit = false, nil, 0
}

// lower returns the limit within the given slots.
func (l *learnedSpeed) lower(slots int) int {
	if l.limit == 0 || !l.inUse() {
		return slots
	}
	return min(slots, l.limit)
}

// report records a report of the upstream.
func (l *learnedSpeed) report(r LoadReport, now time.Time) {
	l.reported = l.reported || r.WorkTime > 0
	if l.inUse() {
		l.estimator.Report(now, r)
	}
}

// observe records a finished call and updates the limit.
func (l *learnedSpeed) observe(s speed.Sample, slots int, now time.Time) {
	if !l.inUse() || slots == 0 {
		return
	}
	l.limit = l.estimator.Limit(now, slots)
	l.estimator.Observe(now, s)
}

// serviceTime returns the service time of the upstream, or 0 if it is not known.
func (l *learnedSpeed) serviceTime(now time.Time) time.Duration {
	if !l.inUse() {
		return 0
	}
	return l.estimator.ServiceTime(now)
}

// workTime returns the last reported work time, or 0 if there is none.
func (l *learnedSpeed) workTime() float64 {
	if !l.inUse() {
		return 0
	}
	return l.estimator.WorkTime()
}

// learnedLimit returns the limit by the learned capacity, or 0 if it is not in use. Without fixed
// slots, the adaptive limit of package core/limit applies instead. The caller holds mu.
func (g *gate) learnedLimit() int {
	if g.fixedSlots == 0 || !g.learned.inUse() {
		return 0
	}
	return min(g.fixedSlots, g.learned.estimator.Learned())
}

// reportLoad records what the upstream reports about its load.
func (g *gate) reportLoad(r LoadReport, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.learned.report(r, now)
}

// learn records a call that is about to leave. configured reports whether the configuration of
// the service asks for learning.
func (g *gate) learn(s speed.Sample, configured bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.learned.configured = configured
	s.InFlight = g.admit.Running()
	g.learned.observe(s, g.slots, now)
}

// learn records the call for the learned limit and service time. A response that belongs to another
// request, after which the outcome of the call is unknown, says nothing about the speed.
func (c *upstreamCall) learn(s limit.Sample, resp *http.Response, refusal *refuse.Error, now time.Time) {
	cur := c.target.store.Current()
	configured := cur != nil && cur.View.Services[c.head.Service].LearnCapacity
	mismatched := refusal != nil && refusal.Executed == refuse.ExecutionUnknown
	c.target.gate.learn(speed.Sample{
		Latency: s.Latency, ChildTime: s.ChildTime, Goal: c.head.Call.LatencyGoal, Shed: s.Shed,
		// An error is often returned without the work of a response.
		Failed: s.Failed || mismatched || resp.StatusCode >= http.StatusBadRequest && !s.Shed,
	}, configured, now)
}
