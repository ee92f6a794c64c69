package policy

import (
	"time"

	"dogwoodsill.org/core/admit"
)

// Times of the runs that measure recovery.
const (
	faultFrom  = 8 * time.Second
	faultTo    = 14 * time.Second
	recoverEnd = 24 * time.Second

	normalLoad   = 0.7 // of capacity
	surgeLoad    = 5.0 // of capacity
	slowFactor   = 10  // on the service time of the deepest service
	recoverPart  = 0.95
	recoverSpan  = time.Second // over which goodput is averaged
	ownImportant = 0.4         // of capacity
	totalLoad    = 10.0        // of capacity
	greedy       = 3           // index of the customer that exceeds its rate
	greedyFactor = 5
	fairTo       = 35 * time.Second // long enough that chance changes a customer's part by about 1% only
)

// surging is the course of the load of a surge, as a part of its height.
func surging(t time.Duration) float64 {
	if t >= faultFrom && t < faultTo {
		return 1
	}
	return normalLoad / surgeLoad
}

func surge(site Site, p Policy, seed uint64) float64 {
	streams := func(w *world) []stream { return load(w, surgeLoad, importanceLow, surging) }
	return recovery(run(site, p, seed, streams, nil, recoverEnd))
}

func slowDeep(site Site, p Policy, seed uint64) float64 {
	streams := func(w *world) []stream { return load(w, normalLoad, importanceLow, nil) }
	return recovery(run(site, p, seed, streams, slowDown, recoverEnd))
}

// slowDown makes the deepest service slow for the time of the fault.
func slowDown(w *world) {
	set := func(f float64) func() {
		return func() {
			for _, in := range w.services[len(w.services)-1] {
				in.up.slow = f
			}
		}
	}
	w.after(faultFrom, set(slowFactor))
	w.after(faultTo, set(1))
}

// surgeAndSlow is surge and slowDeep at the same time.
func surgeAndSlow(site Site, p Policy, seed uint64) float64 {
	streams := func(w *world) []stream { return load(w, surgeLoad, importanceLow, surging) }
	return recovery(run(site, p, seed, streams, slowDown, recoverEnd))
}

// greedyAndMisled is the part of the important requests that complete while one
// customer sends many times its rate in a surge and targets mislead.
func greedyAndMisled(site Site, p Policy, seed uint64) float64 {
	streams := func(w *world) []stream {
		return append(load(w, ownImportant, importanceHigh, nil), greedyLoad(site, surging)...)
	}
	return completedImportant(run(site, p, seed, streams, mislead, windowTo))
}

// greedyLoad returns one stream for each customer at its rate, and one customer
// above it.
func greedyLoad(site Site, at func(time.Duration) float64) []stream {
	var out []stream
	for i, c := range site.Customers {
		rate := c.Rate * site.Capacity()
		if i == greedy {
			rate *= greedyFactor
		}
		out = append(out, stream{customer: i, importance: importanceLow, rate: rate, at: at})
	}
	return out
}

// recovery returns the seconds from the end of a fault to the end of the first
// span in which goodput is normal again and from which on it stays normal on
// average. Without one it returns the seconds to the end of the run.
func recovery(c *callers) float64 {
	normal := recoverPart * c.goodput(windowFrom, faultFrom)
	for from := faultTo; from+recoverSpan <= recoverEnd; from += cellLength {
		end := from + recoverSpan
		if c.goodput(from, end) >= normal && c.goodput(from, recoverEnd) >= normal {
			return (end - faultTo).Seconds()
		}
	}
	return (recoverEnd - faultTo).Seconds()
}

func important(site Site, p Policy, seed uint64) float64 {
	streams := func(w *world) []stream {
		return append(load(w, ownImportant, importanceHigh, nil), load(w, totalLoad-ownImportant, importanceLow, nil)...)
	}
	return completedImportant(run(site, p, seed, streams, mislead, windowTo))
}

// completedImportant returns the part of the important requests that completed.
func completedImportant(c *callers) float64 {
	issued, completed := 0, 0
	for _, t := range c.tallies {
		if t.importance == importanceHigh {
			issued += t.issued
			completed += t.completed
		}
	}
	return float64(completed) / float64(issued)
}

func worstServed(site Site, p Policy, seed uint64) float64 {
	streams := func(*world) []stream { return greedyLoad(site, nil) }
	c := run(site, p, seed, streams, nil, fairTo)
	span := (fairTo - windowFrom).Seconds()
	rates := make([]float64, len(c.tallies))
	for i, t := range c.tallies {
		rates[i] = float64(t.issued) / span
	}
	demand := append([]float64(nil), rates...)
	water := admit.FairShare(rates, site.Capacity())
	worst := 1.0
	for i, t := range c.tallies {
		worst = min(worst, float64(t.completed)/span/min(demand[i], water))
	}
	return worst
}
