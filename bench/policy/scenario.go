package policy

import (
	"time"

	"dogwoodsill.org/core/admit"
)

// Times and loads of the scenarios.
const (
	faultFrom   = 8 * time.Second
	faultTo     = 14 * time.Second
	recoveryEnd = 24 * time.Second

	normalLoad       = 0.7 // of capacity
	surgeLoad        = 5.0 // of capacity
	slowFactor       = 10  // on the service time of the deepest service
	recoveryFraction = 0.95
	recoveryWindow   = time.Second // window over which goodput is averaged
	importantLoad    = 0.4         // of capacity
	totalLoad        = 10.0        // of capacity
	greedy           = 3           // index of the customer that exceeds its rate
	greedyFactor     = 5
	fairnessEnd      = 35 * time.Second // long enough that random variation changes a customer's share by only about 1%
)

// surgeProfile returns the load at a time as a fraction of surgeLoad.
func surgeProfile(t time.Duration) float64 {
	if t >= faultFrom && t < faultTo {
		return 1
	}
	return normalLoad / surgeLoad
}

func surge(site Site, p Policy, seed uint64) float64 {
	streams := func(sim *simulation) []stream { return load(sim, surgeLoad, importanceLow, surgeProfile) }
	return recovery(run(site, p, seed, streams, nil, recoveryEnd))
}

func slowDeep(site Site, p Policy, seed uint64) float64 {
	streams := func(sim *simulation) []stream { return load(sim, normalLoad, importanceLow, nil) }
	return recovery(run(site, p, seed, streams, slowDown, recoveryEnd))
}

// slowDown multiplies the service time of the deepest service by slowFactor
// between faultFrom and faultTo.
func slowDown(sim *simulation) {
	set := func(f float64) func() {
		return func() {
			for _, in := range sim.services[len(sim.services)-1] {
				in.up.slow = f
			}
		}
	}
	sim.after(faultFrom, set(slowFactor))
	sim.after(faultTo, set(1))
}

// surgeAndSlow measures recovery after a surge and a slow deepest service at
// the same time.
func surgeAndSlow(site Site, p Policy, seed uint64) float64 {
	streams := func(sim *simulation) []stream { return load(sim, surgeLoad, importanceLow, surgeProfile) }
	return recovery(run(site, p, seed, streams, slowDown, recoveryEnd))
}

// greedyAndMisreported returns the fraction of important requests that complete while
// one customer sends many times its rate in a surge and upstreams misreport
// their load.
func greedyAndMisreported(site Site, p Policy, seed uint64) float64 {
	streams := func(sim *simulation) []stream {
		return append(load(sim, importantLoad, importanceHigh, nil), greedyLoad(site, surgeProfile)...)
	}
	return completedImportant(run(site, p, seed, streams, misreportLoad, windowTo))
}

// greedyLoad returns one stream for each customer at its rate, except for the
// greedy customer, which sends greedyFactor times its rate.
func greedyLoad(site Site, fraction func(time.Duration) float64) []stream {
	var out []stream
	for i, c := range site.Customers {
		rate := c.Rate * site.Capacity()
		if i == greedy {
			rate *= greedyFactor
		}
		out = append(out, stream{customer: i, importance: importanceLow, rate: rate, fraction: fraction})
	}
	return out
}

// recovery returns the seconds from the end of the fault to the end of the first
// window in which goodput has recovered. Goodput has recovered if it is normal in
// the window and, on average, from the start of the window to the end of the run.
// If there is no such window, recovery returns the time to the end of the run.
func recovery(c *callers) float64 {
	normal := recoveryFraction * c.goodput(windowFrom, faultFrom)
	for from := faultTo; from+recoveryWindow <= recoveryEnd; from += binWidth {
		end := from + recoveryWindow
		if c.goodput(from, end) >= normal && c.goodput(from, recoveryEnd) >= normal {
			return (end - faultTo).Seconds()
		}
	}
	return (recoveryEnd - faultTo).Seconds()
}

func important(site Site, p Policy, seed uint64) float64 {
	streams := func(sim *simulation) []stream {
		return append(load(sim, importantLoad, importanceHigh, nil), load(sim, totalLoad-importantLoad, importanceLow, nil)...)
	}
	return completedImportant(run(site, p, seed, streams, misreportLoad, windowTo))
}

// completedImportant returns the fraction of important requests that completed.
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
	streams := func(*simulation) []stream { return greedyLoad(site, nil) }
	c := run(site, p, seed, streams, nil, fairnessEnd)
	span := (fairnessEnd - windowFrom).Seconds()
	rates := make([]float64, len(c.tallies))
	for i, t := range c.tallies {
		rates[i] = float64(t.issued) / span
	}
	demand := append([]float64(nil), rates...)
	fairShare := admit.FairShare(rates, site.Capacity())
	worst := 1.0
	for i, t := range c.tallies {
		worst = min(worst, float64(t.completed)/span/min(demand[i], fairShare))
	}
	return worst
}
