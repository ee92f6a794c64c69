package policy

import "time"

// hopRetries is the number of immediate retries at each hop in the baseline
// without control.
const hopRetries = 3

// baseline is a control without feedback: it picks targets at random and
// retries at once at every hop.
type baseline struct {
	sim     *simulation
	retries int
	// admit decides at the entry and acquire at the target. If acquire returns
	// true, release is called when the request ends at the target.
	admit     func(r *request) bool
	acquire   func(in *instance) bool
	release   func(in *instance)
	deadlines bool // upstreams are told the deadline
}

func newNoControl(sim *simulation) control {
	return &baseline{
		sim:     sim,
		retries: hopRetries,
		admit:   func(*request) bool { return true },
		acquire: func(*instance) bool { return true },
		release: func(*instance) {},
	}
}

// newStatic returns the baseline with static limits: the concurrency limit of
// each target is its number of slots, and each entry admits an equal share of
// every customer's rate.
func newStatic(sim *simulation) control {
	running := make([]int, len(sim.instances))
	buckets := make([][]bucket, len(sim.instances))
	for i := range buckets {
		for _, c := range sim.site.Customers {
			rate := c.Rate * sim.site.Capacity() / float64(len(sim.instances))
			buckets[i] = append(buckets[i], bucket{rate: rate, tokens: max(1, rate), at: sim.now})
		}
	}
	return &baseline{
		sim:     sim,
		retries: 1,
		admit: func(r *request) bool {
			return buckets[r.entry.index][r.customer].take(sim.now)
		},
		acquire: func(in *instance) bool {
			if running[in.index] >= in.up.service.Slots {
				return false
			}
			running[in.index]++
			return true
		},
		release:   func(in *instance) { running[in.index]-- },
		deadlines: true,
	}
}

// bucket is a token bucket whose burst is one second of its rate, and at least 1.
type bucket struct {
	rate   float64
	tokens float64
	at     time.Time
}

func (b *bucket) take(now time.Time) bool {
	b.tokens = min(max(1, b.rate), b.tokens+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (p *baseline) submit(r *request, end func(ok bool)) {
	if !p.admit(r) {
		end(false)
		return
	}
	p.call(r, r.entry, 0, p.retries, end)
}

// call sends a request to a random target of a service and retries at once
// if it fails or times out.
func (p *baseline) call(r *request, from *instance, depth, retries int, end func(ok bool)) {
	targets := p.sim.services[depth]
	t := targets[p.sim.rng.IntN(len(targets))]
	trip := p.sim.trip(from, t)
	ended := false
	finish := func(ok bool) {
		if ended {
			return
		}
		ended = true
		if ok || retries == 0 || p.deadlines && p.sim.now.After(r.deadline) {
			end(ok)
			return
		}
		p.call(r, from, depth, retries-1, end)
	}
	p.sim.after(timeout, func() { finish(false) })
	p.sim.after(trip, func() {
		p.serve(r, t, depth, func(ok bool) {
			p.sim.after(trip, func() { finish(ok) })
		})
	})
}

func (p *baseline) serve(r *request, t *instance, depth int, end func(ok bool)) {
	if !p.acquire(t) {
		end(false)
		return
	}
	j := job{}
	if p.deadlines {
		j.deadline = r.deadline
	}
	if depth+1 < len(p.sim.services) {
		j.below = func(f func(bool)) { p.call(r, t, depth+1, p.retries, f) }
	}
	j.end = func(st status, _, _ time.Duration) {
		p.release(t)
		end(st == done)
	}
	t.up.serve(j)
}
