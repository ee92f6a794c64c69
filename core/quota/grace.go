package quota

import "time"

// Parameters of a Grace.
const (
	// GracePeriod covers the time from the start of a process to the lease of its
	// zone after the loss of all processes: the retirement of the old epoch (2.1 s),
	// an epoch at the earliest 5 s after the last one of the zone, and its adoption.
	GracePeriod = 8 * time.Second
	// graceBurst is the part of a second's tokens that a node may spend at once, so
	// that restarts in turn add little to a burst.
	graceBurst = 0.5
)

// GraceLimiter admits a node's even part of a rate while the node has just started and
// its zone has no lease, so that the loss of all processes doesn't stop every
// customer until shares have holders again. Nobody lends the zone's shares at
// that time, and the parts of all nodes add up to the rate, so the sum of
// admissions stays within rate*t plus graceBurst of the rate. A node that starts
// while its zone has a lease may add its own part until it is a member.
//
// It is not safe for concurrent use.
type GraceLimiter struct {
	until   time.Time
	buckets map[string]*graceBucket // by account
}

type graceBucket struct {
	level float64 // tokens
	at    time.Time
}

// NewGraceLimiter returns the grace of a process that started at a time.
func NewGraceLimiter(started time.Time) *GraceLimiter {
	return &GraceLimiter{until: started.Add(GracePeriod), buckets: map[string]*graceBucket{}}
}

// Take admits one request of an account with a rate per second over the fleet,
// if the part of one of n nodes has a token.
func (g *GraceLimiter) Take(now time.Time, account string, rate float64, n int) bool {
	if !now.Before(g.until) || n < 1 || rate <= 0 {
		return false
	}
	part := rate / float64(n)
	top := max(1, part*graceBurst)
	b := g.buckets[account]
	if b == nil {
		b = &graceBucket{level: part * graceBurst, at: now}
		g.buckets[account] = b
	}
	b.level = min(top, b.level+part*max(0, now.Sub(b.at).Seconds()))
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
