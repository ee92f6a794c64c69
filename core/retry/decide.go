package retry

import (
	"math/rand/v2"
	"time"
)

// Outcome is how an attempt ended, in terms of its effect on retries.
type Outcome int

// Outcomes of an attempt.
const (
	Success       Outcome = iota
	NotDispatched         // the attempt certainly reached no upstream: no connection, or draining
	Refused               // the node of the target refused this call but admits others of its class
	Excluded              // the admission level of the service excludes the call or its whole class
	Shed                  // the upstream itself refused the request as overloaded
	Failed                // the upstream may have run the request: error, reset or truncated response
	Expired               // the deadline has passed
	Rejected              // a retry would get the same response: bad request, revoked key, cancelled
)

// SafeToRetry reports whether another attempt may succeed and can't run a
// request twice. A request that is not idempotent is retried only if it
// certainly was not dispatched. An upstream that shed a request has received
// it.
func (o Outcome) SafeToRetry(idempotent bool) bool {
	switch o {
	case NotDispatched, Refused:
		return true
	case Shed, Failed:
		return idempotent
	default:
		return false
	}
}

// Reason says why a call is attempted again or not.
type Reason int

// Reasons of a Decision.
const (
	Allowed         Reason = iota // the call is attempted again
	Final                         // the outcome is final or a retry is not safe
	BudgetExhausted               // the attempt budget of the call is exhausted
	RatioExhausted                // the node has used all retries that its ratio allows
	DeadlineTooNear               // another attempt would not end before the deadline
)

// Backoff is exponential backoff with full jitter: the delay before retry n
// (from 0) is uniformly distributed in [0, min(Max, Base*2^n)].
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// DefaultBackoff returns a backoff that starts at a few times the round trip
// between zones (1.5 ms) and stays well below usual route timeouts.
func DefaultBackoff() Backoff {
	return Backoff{Base: 10 * time.Millisecond, Max: 500 * time.Millisecond}
}

// Delay returns a random delay before retry n, counted from 0.
func (b Backoff) Delay(n int, rng *rand.Rand) time.Duration {
	maxDelay := b.Max
	if n < 32 && b.Base<<n < b.Max {
		maxDelay = b.Base << n
	}
	if maxDelay <= 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(maxDelay) + 1))
}

// Attempt describes a finished attempt for Policy.Next.
type Attempt struct {
	Outcome             Outcome
	Idempotent          bool
	Unsent              bool          // the attempt reached no upstream, whatever its outcome, so another one doesn't count as a retry
	Retries             int           // retries of this call so far
	TokensLeft          int           // tokens that remain in the budget of the call
	Deadline            time.Time     // of the call
	ExpectedServiceTime time.Duration // 0 if unknown
}

// Decision is the decision after an attempt.
type Decision struct {
	Reason Reason
	Delay  time.Duration // before the next attempt; only set with Allowed
}

// Retry reports whether the call is attempted again.
func (d Decision) Retry() bool {
	return d.Reason == Allowed
}

// Policy combines the limits on retries. It is not safe for concurrent use.
type Policy struct {
	Ratio   *RatioLimiter
	Backoff Backoff
}

// NewPolicy returns a policy with default parameters.
func NewPolicy() *Policy {
	return &Policy{Ratio: NewRatioLimiter(), Backoff: DefaultBackoff()}
}

// Next decides whether a call is attempted again and after which delay. It
// records a retry in Ratio only if every other limit allows the attempt.
func (p *Policy) Next(now time.Time, a Attempt, rng *rand.Rand) Decision {
	if !a.Outcome.SafeToRetry(a.Idempotent) {
		return Decision{Reason: Final}
	}
	if a.TokensLeft <= 0 {
		return Decision{Reason: BudgetExhausted}
	}
	delay := p.Backoff.Delay(a.Retries, rng)
	if !now.Add(delay + a.ExpectedServiceTime).Before(a.Deadline) {
		return Decision{Reason: DeadlineTooNear}
	}
	if !a.Unsent && !p.Ratio.Allow(now) {
		return Decision{Reason: RatioExhausted}
	}
	return Decision{Reason: Allowed, Delay: delay}
}
