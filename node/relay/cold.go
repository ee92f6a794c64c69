package relay

import (
	"sync"
	"time"

	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/core/warm"
)

// coldGate bounds the calls to the local upstream while that is cold. It is safe for concurrent use.
type coldGate struct {
	mu         sync.Mutex
	gate       *warm.Gate
	dispatched uint64 // calls sent to the upstream
}

func newColdGate(started time.Time) coldGate {
	return coldGate{gate: warm.NewGate(started)}
}

// announce applies what an announcement says. It reports whether the upstream becomes cold or ceases
// to be with it.
func (c *coldGate) announce(u Upstream, newProcess bool, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.gate.Cold(now)
	if newProcess {
		c.gate.Restart()
	}
	remaining := time.Duration(u.ColdMS) * time.Millisecond
	if remaining == 0 && u.State == Cold {
		remaining = time.Duration(u.TTLMS) * time.Millisecond
	}
	c.gate.Report(now, remaining)
	return before != c.gate.Cold(now)
}

// coldRate returns the calls per second that cold upstreams of a service receive, 0 for no limit.
func (t *Target) coldRate(service string) int {
	cur := t.store.Current()
	if cur == nil {
		return 0
	}
	return cur.View.Services[service].ColdPerSecond
}

// coldState returns the state of the upstream. Where calls to cold upstreams are limited, it is cold
// as long as the limit is in force.
func (t *Target) coldState(u Upstream, now time.Time) State {
	if u.State == Draining || t.coldRate(u.Service) == 0 {
		return u.State
	}
	t.cold.mu.Lock()
	defer t.cold.mu.Unlock()
	if t.cold.gate.Cold(now) {
		return Cold
	}
	return Ready
}

// coldWait returns the time until the upstream takes another call, 0 if it does now.
func (t *Target) coldWait(service string, now time.Time) time.Duration {
	rate := t.coldRate(service)
	if rate == 0 {
		return 0
	}
	t.cold.mu.Lock()
	defer t.cold.mu.Unlock()
	return t.cold.gate.Wait(now, rate)
}

// takeCold counts a call that is about to be sent to the upstream, or returns the time until the
// upstream takes another one.
func (t *Target) takeCold(service string, now time.Time) time.Duration {
	rate := t.coldRate(service)
	t.cold.mu.Lock()
	defer t.cold.mu.Unlock()
	wait := t.cold.gate.Take(now, rate)
	if wait == 0 {
		t.cold.dispatched++
	}
	return wait
}

// coldFeedback returns whether calls to the upstream are limited because it is cold, and the time
// until it takes another one.
func (t *Target) coldFeedback(service string, now time.Time) (cold bool, wait time.Duration) {
	rate := t.coldRate(service)
	if rate == 0 {
		return false, 0
	}
	t.cold.mu.Lock()
	defer t.cold.mu.Unlock()
	return t.cold.gate.Cold(now), t.cold.gate.Wait(now, rate)
}

// refuseCold returns a call to its sender, which tries another target, if the upstream takes none
// before the given time has passed.
func (t *Target) refuseCold(w replyWriter, h *CallHead, wait time.Duration) bool {
	if wait <= 0 {
		return false
	}
	t.metrics.Add(metric.ColdRefused, 1)
	t.refuseCall(w, h, refuse.New(refuse.NoUpstream, "the upstream is cold and takes no more calls at present").WithRetryAfter(wait), h.Call.Attempts)
	return true
}

// Dispatched returns the number of calls that were sent to the local upstream.
func (t *Target) Dispatched() uint64 {
	t.cold.mu.Lock()
	defer t.cold.mu.Unlock()
	return t.cold.dispatched
}

// ReportCold applies what the upstream with the given identifier answered to a health check that was
// sent at the time sent: for how long it stays cold, 0 if it is not cold.
func (t *Target) ReportCold(id string, remaining time.Duration, sent, now time.Time) {
	t.mu.Lock()
	current := t.upstream != nil && t.upstream.ID == id
	t.mu.Unlock()
	if !current {
		return
	}
	t.cold.mu.Lock()
	before := t.cold.gate.Cold(now)
	t.cold.gate.Report(sent, remaining)
	changed := t.cold.gate.Cold(now) != before
	t.cold.mu.Unlock()
	if changed {
		t.onState()
	}
}

// Cold reports whether calls to the local upstream are limited because it is cold.
func (t *Target) Cold(now time.Time) bool {
	u, ok := t.Upstream(now)
	return ok && u.State == Cold && t.coldRate(u.Service) > 0
}

// ForgetCold makes the upstream count as cold until a heartbeat or a health check after now says
// otherwise.
func (t *Target) ForgetCold(now time.Time) {
	t.cold.mu.Lock()
	t.cold.gate.Forget(now)
	t.cold.mu.Unlock()
}
