package retry

import "time"

// Parameters of a Ratio.
const (
	// DefaultRatio is the part of first attempts that may be retried (docs/design.md 6.3).
	DefaultRatio = 0.1
	// DefaultMinRetries lets an idle node retry. At one a second it adds at most
	// 10 retries to a window, whatever the number of first attempts.
	DefaultMinRetries = 10
	// DefaultWindow is long enough to hold several first attempts on a quiet
	// node and short enough that calm traffic doesn't pay for a later storm.
	DefaultWindow = 10 * time.Second

	ratioCells = 10
)

// RatioLimiter bounds the retries of a node to a part of its first attempts over a
// sliding window. It is not safe for concurrent use.
type RatioLimiter struct {
	ratio   float64
	minimum int
	cell    time.Duration
	cells   [ratioCells]cell
}

type cell struct {
	number  int64 // number of the cell since the zero time
	first   int
	retries int
}

// RatioLimiterOption changes a parameter of a Ratio.
type RatioLimiterOption func(*RatioLimiter)

// WithRatio sets the part of first attempts that may be retried.
func WithRatio(x float64) RatioLimiterOption {
	return func(r *RatioLimiter) { r.ratio = x }
}

// WithMinRetries sets the retries per window that are allowed without any first
// attempt.
func WithMinRetries(n int) RatioLimiterOption {
	return func(r *RatioLimiter) { r.minimum = n }
}

// WithWindow sets the length of the sliding window.
func WithWindow(d time.Duration) RatioLimiterOption {
	return func(r *RatioLimiter) { r.cell = max(1, d/ratioCells) }
}

// NewRatioLimiter returns a ratio with the default parameters.
func NewRatioLimiter(opts ...RatioLimiterOption) *RatioLimiter {
	r := &RatioLimiter{ratio: DefaultRatio, minimum: DefaultMinRetries, cell: DefaultWindow / ratioCells}
	for _, o := range opts {
		o(r)
	}
	return r
}

// RecordFirst records a first attempt.
func (r *RatioLimiter) RecordFirst(now time.Time) {
	r.at(now).first++
}

// Allow records a retry if the window has room for one and reports whether it
// has.
func (r *RatioLimiter) Allow(now time.Time) bool {
	c := r.at(now)
	first, retries := r.sums(c.number)
	if retries >= max(r.minimum, int(r.ratio*float64(first))) {
		return false
	}
	c.retries++
	return true
}

func (r *RatioLimiter) at(now time.Time) *cell {
	n := now.UnixNano() / int64(r.cell)
	c := &r.cells[uint64(n)%ratioCells]
	if c.number != n {
		*c = cell{number: n}
	}
	return c
}

func (r *RatioLimiter) sums(number int64) (first, retries int) {
	for i := range r.cells {
		c := &r.cells[i]
		if number-c.number >= ratioCells || c.number > number {
			continue
		}
		first += c.first
		retries += c.retries
	}
	return first, retries
}

// SetMinRetries changes the retries per window that are allowed without any first
// attempt.
func (r *RatioLimiter) SetMinRetries(n int) {
	r.minimum = n
}
