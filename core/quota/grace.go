package quota

import "time"

// Parameters of a GraceLimiter.
const (
	// GracePeriod covers the time from the start of a process until its zone has a
	// lease again after all processes failed. This takes the retirement of the old epoch
	// (2.1 s), a new epoch no earlier than epoch.MinEpochAge (5 s) after the zone's last
	// one, and its adoption. The first two may overlap.
	GracePeriod = 8 * time.Second
	// graceBurst is the burst of a node's bucket in seconds of the node's fraction of the
	// rate. It is low so that nodes that restart one after another add little to a
	// customer's burst. A bucket can hold at least one token, as it would otherwise never
	// admit a request at a low rate.
	graceBurst = 0.5
)

// GraceLimiter admits requests without borrowed tokens for GracePeriod after the
// start of a node, while the node has no valid zone lease. Without it, a failure of
// all processes would block every customer until shares have holders again. Each
// node admits an equal fraction of the rate, and the fractions of all nodes add up to
// the rate. As long as no node has a lease, no shares are lent, so in the first t
// seconds at most rate*t plus graceBurst times the rate are admitted. A node that
// starts while other nodes of its zone have leases may admit its fraction in addition
// until it is a member of the epoch.
//
// It is not safe for concurrent use.
type GraceLimiter struct {
	until   time.Time
	buckets map[string]*graceBucket // by account
}

// graceBucket is a token bucket with a node's fraction of an account's rate.
type graceBucket struct {
	level float64 // tokens
	at    time.Time
}

// NewGraceLimiter returns the limiter of a process that started at the given time.
func NewGraceLimiter(started time.Time) *GraceLimiter {
	return &GraceLimiter{until: started.Add(GracePeriod), buckets: map[string]*graceBucket{}}
}

// Take reports whether a request of an account is admitted, and takes its token.
// rate is the account's rate per second over the whole fleet, which has n nodes.
func (g *GraceLimiter) Take(now time.Time, account string, rate float64, n int) bool {
	if !now.Before(g.until) || n < 1 || rate <= 0 {
		return false
	}
	nodeRate := rate / float64(n)
	capacity := max(1, nodeRate*graceBurst)
	b := g.buckets[account]
	if b == nil {
		b = &graceBucket{level: nodeRate * graceBurst, at: now}
		g.buckets[account] = b
	}
	b.level = min(capacity, b.level+nodeRate*max(0, now.Sub(b.at).Seconds()))
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
