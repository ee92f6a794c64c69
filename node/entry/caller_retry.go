package entry

import (
	"sync"
	"time"
)

const (
	// retryTimeoutRatio is the fraction of the maximum timeout of a route below
	// which a request counts as a caller's retry. Clients wait after a refusal
	// and subtract the time of the first try from the timeout of the next one.
	retryTimeoutRatio = 0.9
	// maxTimeoutPeriod is the time after which the maximum timeout is measured
	// again, because callers may change their timeouts.
	maxTimeoutPeriod = 30 * time.Second
)

// callerRetryDetector recognises requests that a caller repeats after a
// refusal. It tracks the maximum timeout that callers of a route request and
// treats a clearly shorter one as the rest of a timeout after an earlier try.
// It is safe for concurrent use.
type callerRetryDetector struct {
	mu      sync.Mutex
	byRoute map[string]*maxTimeouts
}

// maxTimeouts holds the maximum timeouts of a route.
type maxTimeouts struct {
	current, previous time.Duration // of the current period and of the previous one
	periodStart       time.Time
}

func newCallerRetryDetector() *callerRetryDetector {
	return &callerRetryDetector{byRoute: map[string]*maxTimeouts{}}
}

// isRetry records the timeout that a request of the route asks for and reports
// whether the request is a retry. A timeout of 0 means that the caller
// specified none.
func (d *callerRetryDetector) isRetry(route string, timeout time.Duration, now time.Time) bool {
	if timeout == 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.byRoute[route]
	if m == nil {
		m = &maxTimeouts{periodStart: now}
		d.byRoute[route] = m
	}
	if now.Sub(m.periodStart) > maxTimeoutPeriod {
		m.previous, m.current, m.periodStart = m.current, 0, now
	}
	m.current = max(m.current, timeout)
	return float64(timeout) < retryTimeoutRatio*float64(max(m.current, m.previous))
}
