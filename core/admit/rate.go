package admit

import "time"

// Parameters of a Rate.
const (
	// rateBurst is the time whose requests may be dispatched at once after a pause. It is a
	// fraction of the seconds over which upstreams that state a limit measure it.
	rateBurst = 500 * time.Millisecond
	// minRate, in requests per second, lets an upstream that states a limit of zero receive
	// a request now and then, since only a response can end the limit.
	minRate = 0.5
)

// Rate bounds the requests per second that are dispatched to an upstream, as a token
// bucket. The zero value has no bound. It is not safe for concurrent use.
type Rate struct {
	limited   bool
	perSecond float64
	tokens    float64
	updated   time.Time
}

// Set bounds the rate to a number of requests per second. A new bound begins without
// tokens, because the requests dispatched before it count too.
func (r *Rate) Set(now time.Time, perSecond float64) {
	r.refill(now)
	if !r.limited {
		r.tokens, r.updated = 0, now
	}
	r.limited, r.perSecond = true, max(minRate, perSecond)
	r.tokens = min(r.tokens, r.burst())
}

// Clear removes the bound.
func (r *Rate) Clear() {
	*r = Rate{}
}

// Limit returns the bound in requests per second, and false if there is none.
func (r *Rate) Limit() (perSecond float64, limited bool) {
	return r.perSecond, r.limited
}

// Ready reports whether a request may be dispatched now.
func (r *Rate) Ready(now time.Time) bool {
	r.refill(now)
	return !r.limited || r.tokens >= 1
}

// Take reports whether a request may be dispatched now, and if so counts it.
func (r *Rate) Take(now time.Time) bool {
	if !r.Ready(now) {
		return false
	}
	if r.limited {
		r.tokens--
	}
	return true
}

// spare reports whether more than the given fraction of the burst is unused.
func (r *Rate) spare(now time.Time, fraction float64) bool {
	r.refill(now)
	return !r.limited || r.tokens > fraction*r.burst()
}

// queueSize returns how many requests can be dispatched within the given time, at least 1.
func (r *Rate) queueSize(wait time.Duration) int {
	return max(1, int(r.perSecond*wait.Seconds()))
}

func (r *Rate) burst() float64 {
	return 1 + r.perSecond*rateBurst.Seconds()
}

func (r *Rate) refill(now time.Time) {
	if d := now.Sub(r.updated); r.limited && d > 0 {
		r.tokens = min(r.tokens+d.Seconds()*r.perSecond, r.burst())
		r.updated = now
	}
}
