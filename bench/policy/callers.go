package policy

import (
	"strconv"
	"time"
)

// callerRetries is the number of times that a caller repeats a failed request,
// at once and as a new request.
const callerRetries = 3

// stream is the requests of one customer and one importance.
type stream struct {
	customer   int
	importance int
	rate       float64                             // largest rate in requests per second
	at         func(elapsed time.Duration) float64 // part of rate at a time; nil for all of it
}

// tally counts the whole requests of a stream. A request counts once, whatever
// the number of its repeats.
type tally struct {
	stream
	issued, completed int         // of requests issued in the window
	done              map[int]int // completions by cell of virtual time
}

// cellLength is the resolution of goodput over time.
const cellLength = 100 * time.Millisecond

// callers issue streams of requests as Poisson processes.
type callers struct {
	w        *world
	control  control
	from, to time.Duration // window of requests that are counted
	tallies  []*tally
}

func (c *callers) start(streams []stream) {
	for _, s := range streams {
		t := &tally{stream: s, done: map[int]int{}}
		c.tallies = append(c.tallies, t)
		c.next(t)
	}
}

// next schedules the next candidate and keeps it with the current part of the
// largest rate, which makes the process Poisson at any rate over time.
func (c *callers) next(t *tally) {
	c.w.after(time.Duration(c.w.rng.ExpFloat64()/t.rate*float64(time.Second)), func() {
		if t.at == nil || c.w.rng.Float64() < t.at(c.w.elapsed()) {
			c.issue(t)
		}
		c.next(t)
	})
}

func (c *callers) issue(t *tally) {
	counted := c.w.elapsed() >= c.from && c.w.elapsed() < c.to
	if counted {
		t.issued++
	}
	c.try(t, callerRetries, func() {
		t.done[int(c.w.elapsed()/cellLength)]++
		if counted {
			t.completed++
		}
	})
}

// try sends a request and repeats it when it fails or has no answer in time.
func (c *callers) try(t *tally, repeats int, complete func()) {
	w := c.w
	w.nextRoot++
	r := &request{
		root:       strconv.Itoa(w.nextRoot),
		customer:   t.customer,
		importance: t.importance,
		deadline:   w.now.Add(timeout),
		entry:      w.entry(t.customer),
	}
	answered := false
	answer := func(ok bool) {
		if answered {
			return
		}
		answered = true
		switch {
		case ok:
			complete()
		case repeats > 0:
			c.try(t, repeats-1, complete)
		}
	}
	w.after(timeout, func() { answer(false) })
	w.after(w.site.ClientTrip, func() {
		c.control.submit(r, func(ok bool) {
			w.after(w.site.ClientTrip, func() { answer(ok) })
		})
	})
}

// goodput returns the completions per second between two times.
func (c *callers) goodput(from, to time.Duration) float64 {
	n := 0
	for _, t := range c.tallies {
		for i := int(from / cellLength); i < int(to/cellLength); i++ {
			n += t.done[i]
		}
	}
	return float64(n) / (to - from).Seconds()
}
