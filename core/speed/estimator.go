package speed

import (
	"math"
	"time"
)

const (
	// serviceSamples is the number of calls of which the service time is the mean. With a
	// spread of 0.5 and tails of five times, their mean is right to 6%.
	serviceSamples = 200
	// minServiceSamples is the number of calls after which the service time is known.
	minServiceSamples = 20
	// startTime is the time after the first call of Limit in which calls have no effect on the
	// limit: those that end first are the short ones, and began beside fewer others.
	startTime = 1500 * time.Millisecond
	// maxLatencyRatio bounds the weight of a single slow call: a latency of more than this
	// multiple of the mean counts as this multiple.
	maxLatencyRatio = 4.0
	// maxWorkRatio bounds the effect of a reported work time.
	maxWorkRatio = 8.0

	// settleLatencies is the number of typical latencies after a change of the limit in which
	// nothing is decided: calls that end then have spent most of their time beside the former
	// number of others.
	settleLatencies = 2
	// leastError is by how many bins the lowest limit with a gain may be wrong: the slowdown is
	// underestimated while calls that ran on both sides of the knee are among few.
	leastError = 2
	// adjustWeight is the number of calls at the limit by which it is adjusted. Their mean is right
	// to a tenth. A wrong step costs a twentieth of the slots until the next one.
	adjustWeight = 100
	// minSlowdown is the least factor that counts as slower when the limit is adjusted: its root
	// is three standard errors of the mean of adjustWeight calls above 1.
	minSlowdown = 1.7
	// reportExpiry is the age from which on a reported work time counts no more than the mean of
	// all, since a slow phase takes about a second.
	reportExpiry = time.Second

	// firstHold is how long a limit holds before more calls are tried again. Each time that
	// they are slow again the time doubles, up to maxHold.
	firstHold, maxHold = 8 * time.Second, time.Minute
)

// Sample describes a finished call.
type Sample struct {
	Latency   time.Duration // at the upstream
	ChildTime time.Duration // part of Latency with a child call in progress
	Goal      time.Duration // latency goal of the call; 0 if there is none
	InFlight  int           // calls at the upstream, this one included
	Shed      bool          // the upstream refused the call as overloaded
	Failed    bool          // the call failed otherwise, which says nothing about speed
}

// Estimator estimates the service time and the limit of one upstream. Without samples, the limit
// is the number of slots and the service time is unknown. It is not safe for concurrent use.
type Estimator struct {
	since    time.Time // first call of Limit with these slots
	slots    int
	running  series    // calls in flight
	work     series    // work time of the machine, without the part that is due to the running requests
	reported time.Time // last report
	trust    trust
	jumps    jumps
	steep    int // bin from which on the reported work time jumps; 0 if it doesn't
	curve    curve

	known   knee // found last, with or without a gain
	limited int  // bin of the limit; 0 without one
	ceiling int  // bin that the limit doesn't reach before the end of the hold; 0 if there is none
	least   int  // lowest bin of a limit with a gain, as far as is known
	held    time.Time
	settled bool      // calls at the limit have been fast since it began
	changed time.Time // when the limit changed last
	fast    float64   // mean time of a call beside no more others than the limit, in seconds
	hold    time.Duration

	serviceTime moments // in seconds, at the usual work time and below the knee
	latency     moments // in seconds, with child calls

	probe probe
	phase time.Duration
}

// Option configures an Estimator.
type Option func(*Estimator)

// WithPhase delays the first probe by a fraction of firstProbePause. With different fractions, the
// upstreams of a service that are saturated by the same burst don't probe at the same time.
func WithPhase(fraction float64) Option {
	return func(e *Estimator) { e.phase = time.Duration(fraction * float64(firstProbePause)) }
}

// New returns an Estimator without knowledge.
func New(opts ...Option) *Estimator {
	e := &Estimator{}
	for _, o := range opts {
		o(e)
	}
	e.probe.phase = e.phase
	return e
}

// Report records what the upstream reports. Reports without a work time, or that contradict
// themselves, have no effect.
func (e *Estimator) Report(now time.Time, r LoadReport) {
	if r.WorkTime <= 0 || math.IsNaN(r.WorkTime) || r.Slots < 1 || r.Running < 0 || r.Running > r.Slots {
		return
	}
	w := min(maxWorkRatio, max(1/maxWorkRatio, r.WorkTime))
	bin := binOf(float64(r.Running), r.Slots)
	e.jumps.add(now.UnixNano(), bin, w)
	steep, factor := e.jumps.find()
	if steep != 0 && e.steep == 0 {
		// They were measured against a work time that included the slowdown.
		e.curve, e.probe = curve{}, probe{phase: e.phase}
	}
	e.steep = steep
	if steep != 0 && bin >= steep {
		w /= factor
	}
	e.work.set(now, w)
	e.reported = now
}

// Observe records a finished call.
func (e *Estimator) Observe(now time.Time, s Sample) {
	e.running.set(now, float64(s.InFlight))
	e.probe.note(s.InFlight, e.slots)
	if s.Failed || e.slots == 0 || s.Latency <= 0 {
		return
	}
	if s.Shed {
		e.curve.cells[binOf(float64(s.InFlight-1), e.slots)].shed++ // it ran beside that many at most
		return
	}
	began, end := now.Add(-s.Latency), &e.curve.cells[binOf(float64(s.InFlight), e.slots)]
	own := max(s.Latency-s.ChildTime, time.Microsecond).Seconds()
	// After a long run, the integrals are too coarse for the mean over a few nanoseconds, which may even be 0.
	work := min(maxWorkRatio, max(1/maxWorkRatio, e.work.mean(began, now, 1)))
	if e.work.n > 0 {
		e.trust.add(work, own)
	}
	own /= math.Pow(work, e.trust.value())
	slowdown := e.slowdown(began, now)
	if e.serviceTime.n >= minServiceSamples {
		own = min(own, maxLatencyRatio*e.serviceTime.mean*slowdown)
	}
	e.latency.add(s.Latency.Seconds(), serviceSamples)
	e.serviceTime.add(own/slowdown, serviceSamples)
	if now.Sub(e.since) < startTime {
		return
	}
	end.calls++
	end.child += s.ChildTime.Seconds()
	if s.Goal > 0 && own > s.Goal.Seconds() {
		end.late++
	}
	e.running.each(began, now, func(running, seconds float64) {
		e.curve.cells[binOf(running, e.slots)].own += own * seconds / s.Latency.Seconds()
	})
}

// slowdown returns the mean factor by which a call took longer because of those beside it.
func (e *Estimator) slowdown(from, to time.Time) float64 {
	if e.known.bin == 0 || !to.After(from) {
		return 1
	}
	above := 0.0
	e.running.each(from, to, func(running, seconds float64) {
		if binOf(running, e.slots) >= e.known.bin {
			above += seconds
		}
	})
	above /= to.Sub(from).Seconds()
	return 1 / (1 - above + above/e.known.factor)
}

// typicalLatency returns the mean latency of calls.
func (e *Estimator) typicalLatency() time.Duration {
	return time.Duration(e.latency.mean * float64(time.Second))
}

// Limit returns the number of calls that the upstream should run at a time, at most slots.
func (e *Estimator) Limit(now time.Time, slots int) int {
	if slots != e.slots {
		*e = Estimator{slots: slots, since: now, work: e.work, reported: e.reported, trust: e.trust, jumps: e.jumps, steep: e.steep, serviceTime: e.serviceTime, latency: e.latency, phase: e.phase, probe: probe{phase: e.phase}}
	}
	if e.curve.decay(now) {
		e.decide(now)
	}
	if e.probe.active(now) {
		return (slots*e.probe.bin + bins - 1) / bins
	}
	return e.Learned()
}

// Learned returns the limit without the lower one of a probe, which lasts at most maxProbe. It
// is 0 before the first call of Limit.
func (e *Estimator) Learned() int {
	if e.limited == 0 {
		return e.slots
	}
	return e.limitAt(e.limited)
}

// decide changes the limit if the curve justifies it.
func (e *Estimator) decide(now time.Time) {
	e.probe.step(now)
	settle := settleLatencies * e.typicalLatency()
	if e.limited == 0 && now.Sub(e.probe.end) < settle {
		return
	}
	if e.limited != 0 && now.Sub(e.changed) < settle {
		e.curve.cells[e.limitBin()] = cell{}
		return
	}
	k := e.curve.find()
	if k.bin != 0 || e.curve.covers(e.known.bin) {
		e.known = k
	}
	few, _ := e.curve.split(firstKnee)
	switch {
	case e.limited != 0:
		e.adjust(now)
	case k.bin != 0 && !now.Before(e.held) && k.least() <= lastKnee:
		e.begin(now, k)
	case few.calls < minWeight:
		e.probe.beginLow(now, e.typicalLatency())
	}
}

// begin sets the limit to the middle of those with a gain. From there it is raised or lowered to
// the knee, while an upstream that was slow for another reason keeps most of its load.
func (e *Estimator) begin(now time.Time, k knee) {
	low, _ := e.curve.split(k.bin)
	e.fast, e.least = low.mean(), k.least()
	e.limited, e.ceiling, e.changed, e.settled = (e.least+lastKnee)/2, 0, now, false
	if k.sheds {
		e.limited = min(lastKnee, k.bin) // above it, a limit isn't reached
	}
}

// release ends the limit. Another one follows only after a hold.
func (e *Estimator) release(now time.Time) {
	e.curve.forgetFrom(e.limited)
	e.limited = 0
	e.extendHold(now)
}

// extendHold doubles the hold, or begins with the first one if the last one is long over.
func (e *Estimator) extendHold(now time.Time) {
	e.hold = min(2*e.hold, maxHold)
	if e.hold == 0 || now.Sub(e.held) > maxHold {
		e.hold = firstHold
	}
	e.held = now.Add(e.hold)
}

// adjust raises the limit by one bin if calls at the limit are as fast as beside fewer others,
// and otherwise lowers it by one bin, where it then stays for the time of the hold.
func (e *Estimator) adjust(now time.Time) {
	if e.ceiling != 0 && !now.Before(e.held) {
		e.ceiling = 0
	}
	bin := e.limitBin()
	at := e.curve.cells[bin]
	if at.calls+at.shed < adjustWeight {
		if now.Sub(e.changed) > firstHold {
			e.release(now) // it isn't reached, so that it has no effect
		}
		return
	}
	low, _ := e.curve.split(bin)
	if low.calls >= adjustWeight {
		e.fast = low.mean()
	}
	sheds, floor := at.shedding()-low.shedding() > minShedding, firstKnee
	if sheds {
		floor = firstShedKnee
	}
	slow := sheds || at.mean() > math.Sqrt(max(e.known.factor, minSlowdown))*e.fast
	switch {
	case slow && (e.limited < e.least-leastError || e.limited <= floor):
		e.release(now)
	case slow:
		if e.settled {
			e.extendHold(now)
		} else {
			e.held = now.Add(firstHold)
		}
		e.ceiling, e.changed = e.limited, now
		e.limited--
	case e.ceiling == 0 || e.limited+1 < e.ceiling:
		e.settled = true
		e.raise(now)
	default:
		e.settled, e.fast = true, at.mean()
	}
}

// raise raises the limit to the next bin that is a larger number of calls.
func (e *Estimator) raise(now time.Time) {
	e.changed = now
	for before := e.limitAt(e.limited); e.limitAt(e.limited) == before; {
		e.limited++
	}
	if e.limited > lastKnee {
		e.release(now)
	}
}

// limitAt returns the number of calls up to a bin.
func (e *Estimator) limitAt(bin int) int { return max(1, e.slots*bin/bins) }

// limitBin returns the bin of the calls that run while the limit is in use.
func (e *Estimator) limitBin() int { return binOf(float64(e.limitAt(e.limited)), e.slots) }

// ServiceTime returns the time that the upstream currently needs for a typical call beside
// the running ones, without child calls, or 0 if it is not known.
func (e *Estimator) ServiceTime(now time.Time) time.Duration {
	if e.serviceTime.n < minServiceSamples {
		return 0
	}
	work := e.work.current(1)
	if e.work.n > 0 && now.Sub(e.reported) > reportExpiry {
		work = math.Exp(e.trust.x)
	}
	work = math.Pow(work, e.trust.value())
	if e.known.bin != 0 && binOf(e.running.current(0), e.slots) >= e.known.bin {
		work *= e.known.factor
	}
	return time.Duration(e.serviceTime.mean * work * float64(time.Second))
}

// WorkTime returns the last reported work time of the machine, or 0 if there is none.
func (e *Estimator) WorkTime() float64 {
	return e.work.current(0)
}
