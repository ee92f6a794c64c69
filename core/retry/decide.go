package retry

import (
	"math/rand/v2"
	"time"
)

// Outcome is how an attempt ended, as far as retries are concerned.
type Outcome int

// Outcomes of an attempt.
const (
	Success       Outcome = iota
	NotDispatched         // the attempt surely reached no upstream: no connection, or draining
	Refused               // the target refused this call but admits others of its class
	Excluded              // the admission level of the service excludes the call, alone or with its class
	Shed                  // the upstream itself refused the request as overloaded
	Failed                // the upstream may have run the request: error, reset or truncated response
	Expired               // the deadline has passed
	Rejected              // a repeat gives the same answer: bad request, revoked key, cancelled
)

// SafeToRetry reports whether another attempt can't run a request twice. A request
// that is not idempotent is repeated only if it surely was not dispatched; a
// shedding upstream has received it.
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

// Reason says why a call is not attempted again.
type Reason int

// Reasons of a Verdict.
const (
	Allowed         Reason = iota // it is attempted again
	Final                         // the outcome is final or a repeat is not safe
	BudgetExhausted               // the attempt budget of the call is used up
	RatioExhausted                // the node has used up its ratio of retries
	DeadlineTooNear               // no useful time is left before the deadline
)

// Backoff is exponential backoff with full jitter: the delay before retry n
// (from 0) is uniform in [0, min(Max, Base*2^n)].
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// DefaultBackoff starts at a few times the round trip between zones (1.5 ms)
// and stays well below usual route timeouts.
func DefaultBackoff() Backoff {
	return Backoff{Base: 10 * time.Millisecond, Max: 500 * time.Millisecond}
}

// Delay returns the delay before retry n, counted from 0.
func (b Backoff) Delay(n int, rng *rand.Rand) time.Duration {
	top := b.Max
	if n < 32 && b.Base<<n < b.Max {
		top = b.Base << n
	}
	if top <= 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(top) + 1))
}

// Attempt describes a finished attempt for Policy.Next.
type Attempt struct {
	Outcome             Outcome
	Idempotent          bool
	Unsent              bool          // it reached no upstream, so that another one repeats nothing
	Retries             int           // retries of this call so far
	TokensLeft          int           // tokens left in the budget of the call
	Deadline            time.Time     // of the call
	ExpectedServiceTime time.Duration // expected service time; 0 if unknown
}

// Decision is the decision after an attempt.
type Decision struct {
	Reason Reason
	Delay  time.Duration // before the next attempt; only with Again
}

// Retry reports whether the call is attempted again.
func (v Decision) Retry() bool {
	return v.Reason == Allowed
}

// Policy joins the limits of a node. It is not safe for concurrent use.
type Policy struct {
	Ratio   *RatioLimiter
	Backoff Backoff
}

// NewPolicy returns a policy with default parameters.
func NewPolicy() *Policy {
	return &Policy{Ratio: NewRatioLimiter(), Backoff: DefaultBackoff()}
}

// Next decides whether a call is attempted again and after which delay. It
// takes a retry from the ratio of the node only if every other limit allows
// the attempt.
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
