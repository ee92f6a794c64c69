package policy

import "time"

// hopRetries is the number of immediate retries of every hop without control.
const hopRetries = 3

// plain is a baseline without feedback: random targets and immediate retries
// of every hop.
type plain struct {
	w       *world
	retries int
	// admit decides at the entry, and enter at the target; leave follows a
	// true answer of enter when the request has ended.
	admit     func(r *request) bool
	enter     func(in *instance) bool
	leave     func(in *instance)
	deadlines bool // upstreams know the deadline
}

func newNoControl(w *world) control {
	return &plain{
		w:       w,
		retries: hopRetries,
		admit:   func(*request) bool { return true },
		enter:   func(*instance) bool { return true },
		leave:   func(*instance) {},
	}
}

// newStatic returns the baseline of static limits: each target has a
// concurrency limit of its slots, and each entry an even part of every
// customer's rate.
func newStatic(w *world) control {
	running := make([]int, len(w.instances))
	buckets := make([][]bucket, len(w.instances))
	for i := range buckets {
		for _, c := range w.site.Customers {
			rate := c.Rate * w.site.Capacity() / float64(len(w.instances))
			buckets[i] = append(buckets[i], bucket{rate: rate, tokens: max(1, rate), at: w.now})
		}
	}
	return &plain{
		w:       w,
		retries: 1,
		admit: func(r *request) bool {
			return buckets[r.entry.index][r.customer].take(w.now)
		},
		enter: func(in *instance) bool {
			if running[in.index] >= in.up.service.Slots {
				return false
			}
			running[in.index]++
			return true
		},
		leave:     func(in *instance) { running[in.index]-- },
		deadlines: true,
	}
}

// bucket is a token bucket with a burst of one second.
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

func (p *plain) submit(r *request, end func(ok bool)) {
	if !p.admit(r) {
		end(false)
		return
	}
	p.call(r, r.entry, 0, p.retries, end)
}

// call sends a request to a random target of a service and retries at once
// when it fails or has no answer in time.
func (p *plain) call(r *request, from *instance, depth, retries int, end func(ok bool)) {
	targets := p.w.services[depth]
	t := targets[p.w.rng.IntN(len(targets))]
	trip := p.w.trip(from, t)
	answered := false
	answer := func(ok bool) {
		if answered {
			return
		}
		answered = true
		if ok || retries == 0 || p.deadlines && p.w.now.After(r.deadline) {
			end(ok)
			return
		}
		p.call(r, from, depth, retries-1, end)
	}
	p.w.after(timeout, func() { answer(false) })
	p.w.after(trip, func() {
		p.serve(r, t, depth, func(ok bool) {
			p.w.after(trip, func() { answer(ok) })
		})
	})
}

func (p *plain) serve(r *request, t *instance, depth int, end func(ok bool)) {
	if !p.enter(t) {
		end(false)
		return
	}
	j := job{}
	if p.deadlines {
		j.deadline = r.deadline
	}
	if depth+1 < len(p.w.services) {
		j.below = func(f func(bool)) { p.call(r, t, depth+1, p.retries, f) }
	}
	j.end = func(st status, _, _ time.Duration) {
		p.leave(t)
		end(st == done)
	}
	t.up.serve(j)
}
