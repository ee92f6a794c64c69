package retry

import "time"

// Parameters of a RatioLimiter.
const (
	// DefaultRatio is the largest number of retries as a fraction of first
	// attempts (docs/design.md 6.3).
	DefaultRatio = 0.1
	// DefaultMinRetries lets a node with few first attempts retry. A window
	// allows this many retries, one a second, in any case, so a node exceeds
	// its ratio by at most 10 retries in a window, whatever the number of first
	// attempts.
	DefaultMinRetries = 10
	// DefaultWindow is long enough to contain several first attempts on a quiet
	// node. It is short enough that the first attempts of normal traffic don't
	// allow more retries in a later retry storm.
	DefaultWindow = 10 * time.Second

	ratioIntervals = 10
)

// RatioLimiter bounds the retries of a node to a fraction of its first attempts
// over a sliding window. It is not safe for concurrent use.
type RatioLimiter struct {
	ratio          float64
	minRetries     int
	intervalLength time.Duration
	intervals      [ratioIntervals]interval
}

type interval struct {
	index         int64 // number of the interval since the Unix epoch
	firstAttempts int
	retries       int
}

// RatioLimiterOption changes a parameter of a RatioLimiter.
type RatioLimiterOption func(*RatioLimiter)

// WithRatio sets the largest number of retries as a fraction of first attempts.
func WithRatio(x float64) RatioLimiterOption {
	return func(r *RatioLimiter) { r.ratio = x }
}

// WithMinRetries sets the number of retries per window that are allowed without
// any first attempt.
func WithMinRetries(n int) RatioLimiterOption {
	return func(r *RatioLimiter) { r.minRetries = n }
}

// WithWindow sets the length of the sliding window.
func WithWindow(d time.Duration) RatioLimiterOption {
	return func(r *RatioLimiter) { r.intervalLength = max(1, d/ratioIntervals) }
}

// NewRatioLimiter returns a limiter with default parameters.
func NewRatioLimiter(opts ...RatioLimiterOption) *RatioLimiter {
	r := &RatioLimiter{ratio: DefaultRatio, minRetries: DefaultMinRetries, intervalLength: DefaultWindow / ratioIntervals}
	for _, o := range opts {
		o(r)
	}
	return r
}

// RecordFirst records a first attempt.
func (r *RatioLimiter) RecordFirst(now time.Time) {
	r.current(now).firstAttempts++
}

// Allow reports whether the window allows another retry, and if so records it.
func (r *RatioLimiter) Allow(now time.Time) bool {
	c := r.current(now)
	first, retries := r.totals(c.index)
	if retries >= max(r.minRetries, int(r.ratio*float64(first))) {
		return false
	}
	c.retries++
	return true
}

func (r *RatioLimiter) current(now time.Time) *interval {
	n := now.UnixNano() / int64(r.intervalLength)
	c := &r.intervals[uint64(n)%ratioIntervals]
	if c.index != n {
		*c = interval{index: n}
	}
	return c
}

func (r *RatioLimiter) totals(index int64) (first, retries int) {
	for i := range r.intervals {
		c := &r.intervals[i]
		if index-c.index >= ratioIntervals || c.index > index {
			continue
		}
		first += c.firstAttempts
		retries += c.retries
	}
	return first, retries
}

// SetMinRetries changes the number of retries per window that are allowed
// without any first attempt.
func (r *RatioLimiter) SetMinRetries(n int) {
	r.minRetries = n
}
