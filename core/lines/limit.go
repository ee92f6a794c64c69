package lines

import (
	"sync"
	"time"
)

// Limiter is a token bucket for log lines. Its capacity is the lines of one
// second, so a short burst is logged completely. It is safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	rate    float64 // lines per second; 0 for no limit
	tokens  float64 // lines that may be written now, at most rate
	updated time.Time
	dropped int64
}

// NewLimiter returns a limiter for a rate in lines per second, 0 for no limit.
func NewLimiter(rate int) *Limiter {
	return &Limiter{rate: float64(rate), tokens: float64(rate)}
}

// Allow reports whether a line may be written, and counts it as dropped if not.
// Call it before formatting the line, to save that cost for dropped lines.
func (l *Limiter) Allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rate == 0 {
		return true
	}
	if d := now.Sub(l.updated); d > 0 {
		l.tokens = min(l.tokens+d.Seconds()*l.rate, l.rate)
		l.updated = now
	}
	if l.tokens < 1 {
		l.dropped++
		return false
	}
	l.tokens--
	return true
}

// Dropped returns the number of lines that Allow rejected.
func (l *Limiter) Dropped() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}
