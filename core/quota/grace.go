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
// node admits an equal fraction of the rate of the shares without a holder, see
// Pool.RateWithoutHolder, and the fractions of all nodes add up to that rate. The rest of
// the customer's rate is lent by its holders. So in the first t seconds at most rate*t
// plus graceBurst times the rate are admitted. A node that can't reach a holder that
// still lends may admit its fraction of that share in addition until it is a member
// of the epoch.
//
// It is not safe for concurrent use.
type GraceLimiter struct {
	until   time.Time
	buckets map[string]*graceBucket // by account
}

// graceBucket is a token bucket with a node's fraction of an account's rate.
type graceBucket struct {
	level float64 // tokens
	rate  float64 // per second, since at
	at    time.Time
}

// NewGraceLimiter returns the limiter of a process that started at the given time.
func NewGraceLimiter(started time.Time) *GraceLimiter {
	return &GraceLimiter{until: started.Add(GracePeriod), buckets: map[string]*graceBucket{}}
}

// Take reports whether a request of an account is admitted, and takes its token.
// rate is the rate per second of the account's shares without a holder. The fleet has n
// nodes.
func (g *GraceLimiter) Take(now time.Time, account string, rate float64, n int) bool {
	if !now.Before(g.until) || n < 1 {
		return false
	}
	nodeRate := max(rate, 0) / float64(n)
	b := g.buckets[account]
	if b == nil {
		if nodeRate == 0 {
			return false
		}
		b = &graceBucket{level: nodeRate * graceBurst, at: now}
		g.buckets[account] = b
	}
	accrued := min(b.rate, nodeRate) * max(0, now.Sub(b.at).Seconds())
	b.level = min(b.level+accrued, max(1, nodeRate*graceBurst))
	b.rate, b.at = nodeRate, now
	if nodeRate == 0 || b.level < 1 {
		return false
	}
	b.level--
	return true
}

// maxUnanswered is the number of consecutive requests without a reply after which a
// share counts as one without a holder. A holder may reply late, and after one or
// two lost messages it still lends to others.
const maxUnanswered = 3

// RateWithoutHolder returns the rate per second of those of the customer's shares that
// have no holder, as far as the pool knows: the node that owns the share said that it
// isn't the holder, or couldn't be reached. Shares that were not asked yet count as held,
// and so do those whose capacity another bucket of their group collects.
func (p *Pool) RateWithoutHolder(groups []Group, now time.Time) Amount {
	p.expire(now)
	var sum Amount
	for _, g := range groups {
		for _, share := range g {
			s := p.shareStates[share.ShareID]
			switch {
			case s == nil:
				continue
			case s.notHolder || s.unreachable || s.failures >= maxUnanswered:
				sum += share.Rate
				continue
			}
			if s.answered && !s.alone {
				break
			}
		}
	}
	return sum
}
