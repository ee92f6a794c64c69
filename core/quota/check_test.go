package quota

import (
	"fmt"
	"maps"
	"math"
	"time"

	"dogwoodsill.org/core/epoch"
	"dogwoodsill.org/core/model"
)

// surge lets the buckets fill and then asks for more than they hold.
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

// loaned notes a grant and reports loans of a share by one process while those
// of another one may still be used.
func (f *fleet) loaned(id ShareID, by epoch.Member, until time.Duration) {
	if last, ok := f.lenders[id]; ok && last.by != by && f.now < last.until {
		f.faults = append(f.faults, fmt.Sprintf("%v: share %v lent by %v and until %v by %v", f.now, id, by, last.until, last.by))
	}
	if last := f.lenders[id]; last.by != by || until > last.until {
		f.lenders[id] = lender{by, until}
	}
}

type lender struct {
	by    epoch.Member
	until time.Duration
}

// checkHolders reports another process that holds one of the shares of p with a
// valid lease by its own clock.
func (f *fleet) checkHolders(p *proc) {
	if !p.lease.Valid(p.clock()) {
		return
	}
	for _, name := range f.names {
		q := f.procs[name]
		if q == p || q.dead || q.me.Zone != p.me.Zone || !q.lease.Valid(q.clock()) {
			continue
		}
		for id := range p.holder.buckets {
			if q.holder.Bucket(id) != nil {
				f.faults = append(f.faults, fmt.Sprintf("%v: share %v held by %v and %v", f.now, id, p.me, q.me))
			}
		}
	}
}

// bound checks the admissions of every interval against burst + rate*t: the
// excess over the rate, drained at the rate, never exceeds the burst. While a
// change of the customer is under way the higher values are in force.
type bound struct {
	rate, burst   float64
	excess, fresh float64 // fresh counts from the end of the last change
	at            time.Duration
	top           float64 // highest burst so far
	fast          float64 // speed of the fastest clock
}

func (b *bound) set(c model.Customer, f *fleet) {
	b.drain(f.now)
	b.rate, b.burst = c.Rate, float64(c.Burst)
	b.top = max(b.top, b.burst)
	b.fresh = 0
}

func (b *bound) drain(now time.Duration) {
	d := (now - b.at).Seconds() * b.rate * b.fast
	b.excess, b.fresh, b.at = math.Max(0, b.excess-d), math.Max(0, b.fresh-d), now
}

func (b *bound) admit(now time.Duration) string {
	b.drain(now)
	b.excess++
	b.fresh++
	const slack = 1e-6 // rounding of the sums
	if b.excess > b.top+slack || b.fresh > b.burst+slack {
		return fmt.Sprintf("%v: excess %.3f of %.0f, since the change %.3f of %.0f", now, b.excess, b.top, b.fresh, b.burst)
	}
	return ""
}

// central is the bucket of an ideal limiter.
type central struct {
	level float64
	at    time.Duration
}

func (c *central) admit(f *fleet) bool {
	now := f.conf[len(f.conf)-1]
	c.level = min(c.level+(f.now-c.at).Seconds()*now.Rate, float64(now.Burst))
	c.at = f.now
	if c.level < 1 {
		return false
	}
	c.level--
	return true
}
