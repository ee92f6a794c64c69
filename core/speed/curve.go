package speed

import (
	"math"
	"time"
)

const (
	bins = 20 // ranges of running requests, each a twentieth of the slots

	// curveHalfLife is the time in which the weight of a call halves. It spans several slow
	// phases of a second, so that no single one decides.
	curveHalfLife = 10 * time.Second
	curveStep     = 100 * time.Millisecond // between two decays and between two decisions

	minWeight = 60 // calls on either side of a knee; with a spread of 0.5 their mean is right to a tenth
	// minSignificance is the difference in standard errors that counts. With nine candidates ten
	// times a second, 3 would be exceeded by chance every few seconds.
	minSignificance = 5.0
	// sameKnee is the fraction of the best explanation from which on a knee may be the right one.
	sameKnee = 0.95
	// minGain is the factor by which a limit must raise the calls that end well per second.
	minGain = 1.05
	// firstKnee and lastKnee are the bins between which a knee is looked for. Up to half of the
	// slots always remain. Above nine tenths the slots of a burst are worth more than their
	// slowdown costs.
	firstKnee, lastKnee = bins / 2, bins * 9 / 10
	// firstShedKnee is the lowest bin at which a knee is looked for while the upstream sheds
	// more of the calls above it, by minShedding.
	firstShedKnee = bins / 4
	minShedding   = 0.2
	// minSuccess bounds the gain over a state in which nearly no call ends well.
	minSuccess = 0.01
)

// cell holds decaying sums over the time in which the number of running requests was in one
// bin. The mean time of a call is the time that calls spent in the bin over the number of calls
// that ended there. Unlike the mean latency of those calls, it depends neither on what calls took
// in other bins before nor on how long a call stays in one bin.
type cell struct {
	calls float64 // that ended well in the bin
	own   float64 // time that calls spent in it in seconds, without child calls, at the usual work time
	child float64 // time of child calls in seconds
	late  float64 // calls whose own time exceeded the latency goal
	shed  float64 // calls that the upstream shed
}

func (c *cell) add(o cell) {
	c.calls += o.calls
	c.own += o.own
	c.child += o.child
	c.late += o.late
	c.shed += o.shed
}

func (c *cell) scale(f float64) {
	c.calls *= f
	c.own *= f
	c.child *= f
	c.late *= f
	c.shed *= f
}

func (c *cell) mean() float64 { return c.own / max(1, c.calls) }

func (c *cell) shedding() float64 { return c.shed / max(1, c.shed+c.calls) }

// success returns the fraction of calls that are neither shed nor late.
func (c *cell) success() float64 {
	return (c.calls - c.late) / max(1, c.shed+c.calls)
}

// curve holds what calls take by the number of requests beside which they ran.
type curve struct {
	cells   [bins]cell
	decayed time.Time
}

// binOf returns the bin of a number of running requests. A bin includes its upper end.
func binOf(running float64, slots int) int {
	return min(bins-1, max(0, int(math.Ceil(running/float64(max(1, slots))*bins-1e-9))-1))
}

// decay lowers the weight of earlier calls. It reports whether a step has passed.
func (c *curve) decay(now time.Time) bool {
	if c.decayed.IsZero() {
		c.decayed = now
	}
	age := now.Sub(c.decayed)
	if age < curveStep {
		return false
	}
	f := math.Exp2(-age.Seconds() / curveHalfLife.Seconds())
	for i := range c.cells {
		c.cells[i].scale(f)
	}
	c.decayed = now
	return true
}

// forgetFrom removes the calls from a bin on, so that only later ones count.
func (c *curve) forgetFrom(bin int) {
	for i := bin; i < bins; i++ {
		c.cells[i] = cell{}
	}
}

// knee is a number of running requests above which calls take longer or are shed.
type knee struct {
	bin    int     // first bin above it; 0 without a knee
	factor float64 // by which calls take longer above it
	gain   float64 // factor by which more calls would end well per second if all were like those below it
	sheds  bool    // more calls are shed above it
}

// least returns the lowest bin of a limit with a gain of minGain over all slots.
func (k knee) least() int {
	first := firstKnee
	if k.sheds {
		first = firstShedKnee
	}
	return max(first, int(math.Ceil(bins*minGain/max(minGain, k.gain))))
}

// split compares the calls below a bin with the others.
func (c *curve) split(bin int) (low, high cell) {
	for i, cell := range c.cells {
		if i < bin {
			low.add(cell)
		} else {
			high.add(cell)
		}
	}
	return low, high
}

// covers reports whether there are enough calls on both sides of a bin to find a knee there.
func (c *curve) covers(bin int) bool {
	low, high := c.split(bin)
	return low.calls >= minWeight && high.calls >= minWeight
}

// compare returns the knee at a bin, and how much of the spread of latencies and of shedding
// it explains. It reports false if there are too few calls or the difference may be chance.
func (c *curve) compare(bin int) (k knee, explained float64, ok bool) {
	low, high := c.split(bin)
	nl, nh := low.calls+low.shed, high.calls+high.shed
	if low.calls < minWeight || nh < minWeight || low.own == 0 {
		return knee{}, 0, false
	}
	pooled := (low.shed + high.shed) / (nl + nh)
	moreShed := high.shedding() - low.shedding()
	sheds := moreShed > minShedding && moreShed > minSignificance*math.Sqrt(pooled*(1-pooled)*(1/nl+1/nh))
	if bin < firstKnee && !sheds {
		return knee{}, 0, false
	}
	// The number of calls that end varies like its square root.
	slower := high.calls >= minWeight && math.Log(high.mean()/low.mean()) > minSignificance*math.Sqrt(1/low.calls+1/high.calls)
	if !slower && !sheds {
		return knee{}, 0, false
	}
	k = knee{bin: bin, factor: 1}
	if slower {
		k.factor = high.mean() / low.mean()
	}
	child := (low.child + high.child) / max(1, low.calls+high.calls)
	k.sheds = sheds
	k.gain = low.success() / max(minSuccess, high.success()) * (k.factor*low.mean() + child) / (low.mean() + child)
	weight := nl * nh / (nl + nh)
	difference := math.Log(k.factor) + max(0, moreShed)
	return k, weight * difference * difference, true
}

// find returns the knee that explains the calls best, without regard to its gain. If few calls
// ran at several bins in between, it is the lowest of these.
func (c *curve) find() knee {
	var knees [bins]knee
	var explained [bins]float64
	most := 0.0
	for bin := firstShedKnee; bin < bins; bin++ {
		if k, part, ok := c.compare(bin); ok {
			knees[bin], explained[bin] = k, part
			most = max(most, part)
		}
	}
	for bin, part := range explained {
		if part > 0 && part >= sameKnee*most {
			return knees[bin]
		}
	}
	return knee{}
}
