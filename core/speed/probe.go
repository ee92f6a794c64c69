package speed

import "time"

const (
	// saturatedTime is how long all slots must have been in use before a probe. It lets short
	// bursts pass, and is a second longer than startTime, so that calls beside all others are known
	// before the first probe.
	saturatedTime = 2500 * time.Millisecond
	saturated     = 0.9 // fraction of the slots that counts as all of them
	// minProbe and maxProbe bound the time of a probe. Calls that began before it must end
	// first; probeLatencies typical latencies are enough for that.
	minProbe, maxProbe = 200 * time.Millisecond, 800 * time.Millisecond
	probeLatencies     = 4
	// firstProbePause is the time between two probes. It doubles after each, up to
	// maxProbePause, so that probes of an upstream without a knee cost less than 1%: half of
	// the throughput for less than a second in two minutes.
	firstProbePause, maxProbePause = 10 * time.Second, 2 * time.Minute
)

// probe lowers the limit for a moment while all slots have been in use for so long that it
// isn't known how long calls take beside fewer others.
type probe struct {
	bin   int       // of the limit
	peak  int       // most calls in flight since the last decision
	full  bool      // the slots have been in use at the last decision
	since time.Time // when full became true
	end   time.Time // of the last probe
	pause time.Duration
	phase time.Duration // added to saturatedTime before the first probe
}

// note records the calls in flight.
func (p *probe) note(inFlight, slots int) {
	p.peak = max(p.peak, inFlight)
	if float64(inFlight) < saturated*float64(slots) {
		p.full, p.peak = false, 0
	}
}

// begin begins a probe of the bins below the given one, if all slots have been in use for long
// enough and the last probe ended at least a pause ago. It reports whether it did.
func (p *probe) begin(now time.Time, bin int, pause, latency time.Duration) bool {
	if p.active(now) || !p.full || now.Sub(p.since) < saturatedTime || now.Sub(p.end) < pause {
		return false
	}
	p.bin, p.end = bin, now.Add(min(maxProbe, max(minProbe, probeLatencies*latency)))
	return true
}

// beginLow begins a probe with half of the slots, ever more rarely.
func (p *probe) beginLow(now time.Time, latency time.Duration) {
	if p.pause == 0 && now.Sub(p.since) < saturatedTime+p.phase {
		return
	}
	if p.begin(now, bins/2, p.pause, latency) {
		p.pause = min(max(firstProbePause, 2*p.pause), maxProbePause)
	}
}

// step updates whether all slots are in use.
func (p *probe) step(now time.Time) {
	if p.peak > 0 && !p.full && !p.active(now) {
		p.full, p.since = true, now
	}
	p.peak = 0
}

// active reports whether a probe is in progress.
func (p *probe) active(now time.Time) bool {
	return now.Before(p.end)
}
