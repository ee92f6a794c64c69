package speed

import "math"

const (
	// trustPrior is the weight of the assumption that calls take longer in proportion to the
	// reported work time. It is the variance of the logarithm of latencies (0.3 for a spread of
	// 0.5 with a tail) over that of the assumption (0.15, which makes 0.6 to 1.4 likely).
	trustPrior = 2.0
	// trustSamples is the number of samples of which the mean is taken.
	trustSamples = 2000
)

// trust measures how far latencies follow the reported work time: it is the slope of the
// logarithm of latency over that of work time, between 0 (a report without meaning) and 1.
type trust struct {
	n, x, y, xx, xy float64 // number of samples, then means
}

func (t *trust) add(workTime, latency float64) {
	x, y := math.Log(workTime), math.Log(latency)
	t.n = min(t.n+1, trustSamples)
	w := 1 / t.n
	t.x += (x - t.x) * w
	t.y += (y - t.y) * w
	t.xx += (x*x - t.xx) * w
	t.xy += (x*y - t.xy) * w
}

func (t *trust) value() float64 {
	variance, covariance := max(0, t.xx-t.x*t.x), t.xy-t.x*t.y
	return min(1, max(0, (t.n*covariance+trustPrior)/(t.n*variance+trustPrior)))
}

const (
	maxJumpGap  = 50_000_000 // nanoseconds between two reports that are compared; a slow phase rarely begins in between
	minJumps    = 4          // comparisons before a jump counts
	minJump     = 0.14       // logarithm of a factor of 1.15
	jumpSamples = 500        // comparisons of which the mean is taken
)

// jumps finds a number of running requests at which the reported work time itself jumps. It
// compares reports that follow each other closely: a slow phase of the machine changes the
// number of running requests too, but only some time after its begin.
type jumps struct {
	at       int64 // time of the last report in nanoseconds since 1970; 0 if there was none
	bin      int
	workTime float64 // logarithm
	rise     [bins]moments
}

// add records a report.
func (j *jumps) add(nanos int64, bin int, workTime float64) {
	w := math.Log(workTime)
	lo, hi, rise := j.bin, bin, w-j.workTime
	if lo > hi {
		lo, hi, rise = hi, lo, -rise
	}
	if j.at != 0 && nanos-j.at <= maxJumpGap {
		for b := lo + 1; b <= hi; b++ {
			j.rise[b].add(rise, jumpSamples)
		}
	}
	j.at, j.bin, j.workTime = nanos, bin, w
}

// find returns the first bin from which on the work time is higher, and the factor; 0 and 1 if
// there is none.
func (j *jumps) find() (bin int, factor float64) {
	best := 0.0
	for b := range j.rise {
		m := &j.rise[b]
		if m.n >= minJumps && m.mean >= minJump && m.mean > best && m.mean >= minSignificance*m.standardError() {
			bin, best = b, m.mean
		}
	}
	return bin, math.Exp(best)
}

// moments is a moving mean with its variance.
type moments struct {
	n, mean, square float64
}

func (m *moments) add(x float64, samples float64) {
	m.n = min(m.n+1, samples)
	m.mean += (x - m.mean) / m.n
	m.square += (x*x - m.square) / m.n
}

func (m *moments) standardError() float64 {
	return math.Sqrt(max(0, m.square-m.mean*m.mean) / max(1, m.n))
}
