package quota

import (
	"fmt"
	"maps"
	"math"
	"time"

	"dogwoodsill.org/core/epoch"
	"dogwoodsill.org/core/model"
)

// surge lets the buckets fill without demand and then requests more tokens than they
// hold.
func (f *fleet) surge(idle time.Duration) {
	before := maps.Clone(f.demand)
	clear(f.demand)
	f.run(idle)
	for _, name := range f.names {
		f.demand[name] = 1000
	}
	f.run(300 * time.Millisecond)
	f.demand = before
}

// recordLoan records a grant. It records a violation if another process lent tokens
// of the same share that may still be used.
func (f *fleet) recordLoan(id ShareID, by epoch.Member, until time.Duration) {
	if last, ok := f.lenders[id]; ok && last.by != by && f.now < last.until {
		f.violations = append(f.violations, fmt.Sprintf("%v: share %v lent by %v while loans of it until %v by %v are valid", f.now, id, by, last.until, last.by))
	}
	if last := f.lenders[id]; last.by != by || until > last.until {
		f.lenders[id] = lender{by, until}
	}
}

// lender is the process that granted the latest loan of a share, and when the loan
// expires.
type lender struct {
	by    epoch.Member
	until time.Duration
}

// checkHolders records a violation for each other process that holds one of the shares
// of p while the lease of that process is valid by its own clock.
func (f *fleet) checkHolders(p *proc) {
	if !p.lease.Valid(p.clock()) {
		return
	}
	for _, name := range f.names {
		q := f.procs[name]
		if q == p || q.dead || q.self.Zone != p.self.Zone || !q.lease.Valid(q.clock()) {
			continue
		}
		for id := range p.holder.buckets {
			if q.holder.Bucket(id) != nil {
				f.violations = append(f.violations, fmt.Sprintf("%v: share %v held by both %v and %v", f.now, id, p.self, q.self))
			}
		}
	}
}

// admissionBound checks that each interval of length t has at most burst + rate*t
// admissions. It uses leaky buckets: each admission adds 1 to the level, which drains
// at the rate and must never exceed the burst. level must not exceed the maximum burst
// so far; levelSinceChange starts at 0 with each change and must not exceed the current
// burst. While a change is not in effect at all processes, the higher values apply.
type admissionBound struct {
	rate, burst             float64
	level, levelSinceChange float64 // levelSinceChange counts from the end of the last change
	at                      time.Duration
	maxBurst                float64 // maximum burst so far
	maxClockSpeed           float64 // speed of the fastest clock
}

// set applies another rate and burst.
func (b *admissionBound) set(c model.Customer, f *fleet) {
	b.drain(f.now)
	b.rate, b.burst = c.Rate, float64(c.Burst)
	b.maxBurst = max(b.maxBurst, b.burst)
	b.levelSinceChange = 0
}

// drain reduces the levels by the rate over the time since the last call, measured
// by the fastest clock.
func (b *admissionBound) drain(now time.Duration) {
	d := (now - b.at).Seconds() * b.rate * b.maxClockSpeed
	b.level, b.levelSinceChange, b.at = math.Max(0, b.level-d), math.Max(0, b.levelSinceChange-d), now
}

// admit counts an admission and describes the violation if it exceeds the bound.
func (b *admissionBound) admit(now time.Duration) string {
	b.drain(now)
	b.level++
	b.levelSinceChange++
	const slack = 1e-6 // for rounding errors
	if b.level > b.maxBurst+slack || b.levelSinceChange > b.burst+slack {
		return fmt.Sprintf("%v: bound exceeded: %.3f of %.0f, since the change %.3f of %.0f", now, b.level, b.maxBurst, b.levelSinceChange, b.burst)
	}
	return ""
}

// idealBucket is the token bucket of an ideal limiter, one bucket for the whole fleet.
type idealBucket struct {
	level float64
	at    time.Duration
}

// admit reports whether the ideal limiter admits a request.
func (c *idealBucket) admit(f *fleet) bool {
	now := f.revisions[len(f.revisions)-1]
	c.level = min(c.level+(f.now-c.at).Seconds()*now.Rate, float64(now.Burst))
	c.at = f.now
	if c.level < 1 {
		return false
	}
	c.level--
	return true
}
