package lines

import (
	"sync"
	"time"
)

// Limiter bounds lines by a rate. It holds the lines of one second, so that a
// short burst is logged whole. It is safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	rate    float64 // lines a second; 0 for no bound
	level   float64 // lines that may be written now
	at      time.Time
	leftOut int64
}

// NewLimiter returns a limiter for a rate in lines a second, 0 for no bound.
func NewLimiter(rate int) *Limiter {
	return &Limiter{rate: float64(rate), level: float64(rate)}
}

// Allow reports whether a line may be written, and counts it as left out if not.
// Ask before the line is formatted.
func (l *Limiter) Allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rate == 0 {
		return true
	}
	if d := now.Sub(l.at); d > 0 {
		l.level = min(l.level+d.Seconds()*l.rate, l.rate)
		l.at = now
	}
	if l.level < 1 {
		l.leftOut++
		return false
	}
	l.level--
	return true
}

// Dropped returns the number of lines that were not allowed.
func (l *Limiter) Dropped() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leftOut
}
