package warm

import "time"

const (
	// Window is the time in which the calls to a cold upstream are counted.
	Window = time.Second
	// reportDelay is the longest time from the moment that a report describes until its arrival: the
	// requests that carry reports time out after that. A report that ends a cold period earlier than
	// another one stated may have been written before the period began if it arrives less than
	// reportDelay after it.
	reportDelay = time.Second
	// maxRemaining limits the time for which one report declares an upstream cold.
	maxRemaining = time.Minute
)

// Gate admits the calls to one upstream. While the upstream is cold, or may be, it admits at most a
// given number of calls in any sliding second. The calls that were dispatched before the upstream
// became cold count too. It is not safe for concurrent use.
type Gate struct {
	sent   []time.Time // dispatches, as a ring; their number is the rate
	oldest int         // index in sent
	// uncounted is when a call was last dispatched without a rate, and so wasn't counted.
	uncounted time.Time

	started  time.Time // start of the node
	since    time.Time // earlier reports have no effect
	reported time.Time // moment that the newest report describes; zero if there is none since then
	coldAsOf time.Time // moment that the last report of a cold upstream describes
	until    time.Time // the upstream is cold until then
}

// NewGate returns the gate of a node that started at the given time. An earlier process of the node
// may have dispatched as many calls as permitted until then.
func NewGate(started time.Time) *Gate {
	return &Gate{started: started, since: started}
}

// Report records that the upstream stated at the time asOf that it stays cold for the given time; 0
// if it is not cold.
func (g *Gate) Report(asOf time.Time, remaining time.Duration) {
	if asOf.Before(g.since) || asOf.Before(g.reported) {
		return
	}
	g.reported = asOf
	until := asOf.Add(min(max(remaining, 0), maxRemaining))
	if until.Before(g.until) && asOf.Sub(g.coldAsOf) < reportDelay {
		return
	}
	g.until = until
	if remaining > 0 {
		g.coldAsOf = asOf
	}
}

// Forget makes the upstream count as cold until a report describes a moment after now. It is called
// when the upstream may have become cold unnoticed, as after a suspension of the node.
func (g *Gate) Forget(now time.Time) {
	g.since, g.reported = now, time.Time{}
}

// Restart records that another process of the upstream has begun. What the earlier one stated no
// longer holds.
func (g *Gate) Restart() {
	g.reported, g.coldAsOf, g.until = time.Time{}, time.Time{}, time.Time{}
}

// Cold reports whether the upstream is cold or may be.
func (g *Gate) Cold(now time.Time) bool {
	return g.reported.IsZero() || now.Before(g.until)
}

// Wait returns the time until the gate admits a call, 0 if it does now. perSecond is the rate of a
// cold upstream, 0 for no limit.
func (g *Gate) Wait(now time.Time, perSecond int) time.Duration {
	if perSecond <= 0 || !g.Cold(now) {
		return 0
	}
	g.resize(now, perSecond)
	return max(0, Window-now.Sub(g.sent[g.oldest]))
}

// Take admits and counts a call that is dispatched at once, or returns the time until one is
// admitted.
func (g *Gate) Take(now time.Time, perSecond int) time.Duration {
	if perSecond <= 0 {
		g.uncounted = now
		return 0
	}
	if wait := g.Wait(now, perSecond); wait > 0 {
		return wait
	}
	g.resize(now, perSecond)
	g.sent[g.oldest] = now
	g.oldest = (g.oldest + 1) % len(g.sent)
	return 0
}

// resize adapts the ring to the rate. Calls that were not counted under this rate may have been
// dispatched until now, or until the start of the node.
func (g *Gate) resize(now time.Time, perSecond int) {
	if len(g.sent) == perSecond {
		return
	}
	full := now
	if g.sent == nil {
		full = g.started
		if g.uncounted.After(full) {
			full = g.uncounted
		}
	}
	g.sent, g.oldest = make([]time.Time, perSecond), 0
	for i := range g.sent {
		g.sent[i] = full
	}
}
