package policy

import (
	"strconv"
	"time"
)

// callerRetries is the number of times that a caller repeats a failed request.
// Each repeat is sent at once, as a new request.
const callerRetries = 3

// stream describes the requests of one customer at one importance.
type stream struct {
	customer   int
	importance int
	rate       float64                             // peak rate in requests per second
	fraction   func(elapsed time.Duration) float64 // fraction of rate at a time; nil for 1
}

// tally counts the requests of a stream. A request and its repeats count once.
type tally struct {
	stream
	issued, completed int         // of requests issued in the window
	done              map[int]int // completions by bin of virtual time
}

// binWidth is the width of the time bins in which completions are counted.
const binWidth = 100 * time.Millisecond

// callers issue streams of requests as Poisson processes.
type callers struct {
	sim      *simulation
	control  control
	from, to time.Duration // requests issued in this window are counted
	tallies  []*tally
}

func (c *callers) start(streams []stream) {
	for _, s := range streams {
		t := &tally{stream: s, done: map[int]int{}}
		c.tallies = append(c.tallies, t)
		c.next(t)
	}
}

// next schedules the next candidate request, at the peak rate, and issues it
// with a probability of the current fraction of that rate. This thinning gives
// a Poisson process with a time-varying rate.
func (c *callers) next(t *tally) {
	c.sim.after(time.Duration(c.sim.rng.ExpFloat64()/t.rate*float64(time.Second)), func() {
		if t.fraction == nil || c.sim.rng.Float64() < t.fraction(c.sim.elapsed()) {
			c.issue(t)
		}
		c.next(t)
	})
}

func (c *callers) issue(t *tally) {
	counted := c.sim.elapsed() >= c.from && c.sim.elapsed() < c.to
	if counted {
		t.issued++
	}
	c.sendWithRepeats(t, callerRetries, func() {
		t.done[int(c.sim.elapsed()/binWidth)]++
		if counted {
			t.completed++
		}
	})
}

// sendWithRepeats sends a request and repeats it if it fails or times out.
func (c *callers) sendWithRepeats(t *tally, repeats int, complete func()) {
	sim := c.sim
	sim.nextRoot++
	r := &request{
		root:       strconv.Itoa(sim.nextRoot),
		customer:   t.customer,
		importance: t.importance,
		deadline:   sim.now.Add(timeout),
		entry:      sim.entry(t.customer),
	}
	ended := false
	finish := func(ok bool) {
		if ended {
			return
		}
		ended = true
		switch {
		case ok:
			complete()
		case repeats > 0:
			c.sendWithRepeats(t, repeats-1, complete)
		}
	}
	sim.after(timeout, func() { finish(false) })
	sim.after(sim.site.ClientTrip, func() {
		c.control.submit(r, func(ok bool) {
			sim.after(sim.site.ClientTrip, func() { finish(ok) })
		})
	})
}

// goodput returns the requests completed per second between two times.
func (c *callers) goodput(from, to time.Duration) float64 {
	n := 0
	for _, t := range c.tallies {
		for i := int(from / binWidth); i < int(to/binWidth); i++ {
			n += t.done[i]
		}
	}
	return float64(n) / (to - from).Seconds()
}
