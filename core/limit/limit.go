package limit

import (
	"slices"
	"time"
)

// Parameters of a Limit.
const (
	DefaultMin     = 4    // lower bound, so that calls of a failing target still run and are measured
	DefaultMax     = 2000 // upper bound; exceeds the connections of any upstream in docs/design.md 1.6
	DefaultInitial = 8    // first limit of a cold target: a new one without measurements
	// DefaultTolerance is the ratio of latency to baseline above which requests
	// are assumed to queue inside the upstream.
	DefaultTolerance = 1.25

	shortWindow           = 100 * time.Millisecond
	longWindow            = time.Second            // a window with few samples closes after this
	minWindowSamples      = 16                     // fewest samples of a window that closes before longWindow
	fullWindowSamples     = 150                    // always enough to close a window; their low quantile varies by about 6%
	stableBaselineSamples = 400                    // samples after which the baseline is no longer their average; see updateBaseline
	maxWindowSamples      = 256                    // samples kept of one window
	lowQuantile           = 0.3                    // low enough to ignore a tail of slow requests
	shedFraction          = 0.005                  // fraction of shed responses above which the target is overloaded
	shedFactor            = 0.95                   // factor applied to the limit after a window with shed responses
	shedHold              = 3 * time.Second        // after shed responses, time without growth near the ceiling
	nearCeilingFraction   = 0.9                    // fraction of the ceiling from which growth is slow
	minDecreaseFactor     = 0.7                    // one window lowers the limit at most to this fraction
	startGrowth           = 1.0                    // growth in one window during slow start, as a fraction of the limit
	fastGrowth            = 0.2                    // growth in one window well below the ceiling, as a fraction of the limit
	slowGrowth            = 0.03                   // growth in one window near the ceiling just after a decrease, as a fraction of the limit
	growthRampTime        = 500 * time.Millisecond // time in which the growth near the ceiling rises by slowGrowth, up to fastGrowth
	usedFraction          = 0.7                    // the limit isn't raised if less than this fraction of it is used
	idleFraction          = 0.5                    // below this fraction of the limit, latency counts as unloaded
	baselineFallWeight    = 0.1                    // weight of a lower latency in the baseline
	baselineDropWeight    = 0.5                    // weight of a latency below dropFraction in two windows in a row
	dropFraction          = 0.75                   // a latency below this fraction of the baseline is not due to chance twice in a row
	baselineDriftWeight   = 0.1                    // weight of a higher latency of a mostly idle target
	baselineMaxRise       = 1.25                   // largest factor by which one window raises the baseline
	loadHintExpiry        = time.Second            // age at which the reported load expires
	minGrowth             = 0.5                    // smallest growth in one window, in requests
)

// Sample describes a finished call at the target.
type Sample struct {
	// Latency is the duration of the call at the upstream.
	Latency time.Duration
	// ChildTime is the part of Latency in which the upstream waited for its own
	// child calls. Only the rest is compared with the baseline. Otherwise a
	// slow service further down the call chain would shrink every limit above
	// it.
	ChildTime time.Duration
	// Shed is set if the upstream refused the request as overloaded. The
	// latency of such a response is ignored.
	Shed bool
	// Failed is set for other failures. They say nothing about load.
	Failed bool
}

// Limit is the concurrency limit of one target. It is not safe for concurrent
// use.
type Limit struct {
	min, max        float64
	tolerance       float64
	limit           float64
	slots           float64 // announced by the upstream; 0 if unknown
	load            float64 // reported by the upstream's endpoint; 1 is full
	loadAt          time.Time
	slowStartEnded  bool
	ceiling         float64   // last limit that was too high; 0 if none was
	decreasedAt     time.Time // time of the last decrease
	holdUntil       time.Time // no growth near the ceiling before this time
	baseline        float64
	baselineSamples int // samples that the baseline was computed from, up to stableBaselineSamples

	windowStart time.Time // zero before the first sample
	samples     []float64 // latencies without ChildTime, in seconds
	childTime   float64   // sum in seconds
	sampleCount int       // latencies of the window, including those no longer in samples
	finished    int       // finished calls of the window, except failed ones
	shed        int
	peak        int     // largest in-flight count of the window
	lastLow     float64 // low quantile of the previous window
	lastPeak    int     // peak of the previous window
	latencyHigh bool    // latency was high in the previous window
	decreased   bool    // the previous window ended with a decrease because of latency
}

// Option changes a parameter of a Limit.
type Option func(*Limit)

// WithBounds sets the lower and the upper bound of the limit.
func WithBounds(low, high int) Option {
	return func(l *Limit) { l.min, l.max = float64(low), float64(high) }
}

// WithInitial sets the first limit of a cold target.
func WithInitial(n int) Option {
	return func(l *Limit) { l.limit = float64(n) }
}

// WithTolerance sets the ratio of latency to baseline above which latency is
// high.
func WithTolerance(x float64) Option {
	return func(l *Limit) { l.tolerance = x }
}

// New returns the limit of a cold target.
func New(opts ...Option) *Limit {
	l := &Limit{min: DefaultMin, max: DefaultMax, limit: DefaultInitial, tolerance: DefaultTolerance}
	for _, o := range opts {
		o(l)
	}
	l.limit = min(max(l.limit, l.min), l.max)
	return l
}

// Value returns the current limit, at least 1.
func (l *Limit) Value() int {
	return max(1, int(l.limit))
}

// Baseline returns the latency of an unloaded target, or 0 before the first
// window.
func (l *Limit) Baseline() time.Duration {
	return time.Duration(l.baseline * float64(time.Second))
}

// HintSlots sets the number of slots that the upstream announced; 0 means that
// the number is unknown. During slow start the limit doubles in each window up
// to this number. Above it, the limit grows half as fast until its first
// decrease.
func (l *Limit) HintSlots(n int) {
	l.slots = float64(max(0, n))
}

// HintLoad sets the load that the upstream's endpoint reports, where 1 is full.
// A recent load of 1 or more slows the growth of a cold target. It never stops
// the growth, as the reported value may be stuck.
func (l *Limit) HintLoad(now time.Time, load float64) {
	l.load, l.loadAt = load, now
}

// Restart discards all measurements and hints and returns the limit to slow
// start at DefaultInitial, after the upstream was replaced.
func (l *Limit) Restart() {
	*l = Limit{min: l.min, max: l.max, tolerance: l.tolerance, limit: min(max(DefaultInitial, l.min), l.max)}
}

// Observe records a finished call. The in-flight count includes it.
func (l *Limit) Observe(now time.Time, s Sample, inFlight int) {
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	l.peak = max(l.peak, inFlight)
	switch {
	case s.Shed:
		l.shed++
	case s.Failed:
		return
	default:
		l.addSample((s.Latency - s.ChildTime).Seconds())
		l.childTime += s.ChildTime.Seconds()
	}
	l.finished++
	if l.windowComplete(now) {
		l.closeWindow(now)
	}
}

// addSample keeps a latency in a ring buffer, so that a long window holds its
// latest samples.
func (l *Limit) addSample(x float64) {
	if len(l.samples) < maxWindowSamples {
		l.samples = append(l.samples, x)
	} else {
		l.samples[l.sampleCount%maxWindowSamples] = x
	}
	l.sampleCount++
}

func (l *Limit) windowComplete(now time.Time) bool {
	age := now.Sub(l.windowStart)
	enough := min(max(2*l.Value(), minWindowSamples), fullWindowSamples)
	return age >= shortWindow && l.finished >= enough || age >= longWindow
}

func (l *Limit) closeWindow(now time.Time) {
	low := l.lowLatency()
	switch {
	case float64(l.shed) > shedFraction*float64(l.finished):
		l.decrease(now, shedFactor)
		l.holdUntil = now.Add(shedHold)
		l.latencyHigh, l.decreased = false, false
	case low == 0:
		l.latencyHigh, l.decreased = false, false
	default:
		l.adapt(now, low, float64(l.peak))
	}
	l.limit = min(max(l.limit, l.min), l.max)
	l.lastLow, l.lastPeak = low, l.peak
	l.windowStart, l.sampleCount, l.finished, l.shed, l.peak, l.childTime = now, 0, 0, 0, 0, 0
	l.samples = l.samples[:0]
}

func (l *Limit) lowLatency() float64 {
	if len(l.samples) == 0 {
		return 0
	}
	slices.Sort(l.samples)
	return l.samples[int(lowQuantile*float64(len(l.samples)-1))]
}

// decrease lowers the limit. It starts from the in-flight count if that didn't
// reach the limit.
func (l *Limit) decrease(now time.Time, factor float64) {
	l.slowStartEnded = true
	l.decreasedAt = now
	l.ceiling = min(l.limit, float64(l.peak))
	l.limit = max(l.ceiling*factor, l.limit*minDecreaseFactor)
}

// adapt changes the limit by the latency of a window. The high latency of a
// single window may be chance, so only the second window in a row lowers the
// limit. The decrease is in proportion to the whole duration of calls including
// ChildTime, because a request holds its slot during its child calls too.
func (l *Limit) adapt(now time.Time, low, peak float64) {
	l.updateBaseline(low, peak)
	ratio := low / l.baseline
	high := ratio > l.tolerance && peak > l.min
	l.decreased = high && l.latencyHigh
	l.latencyHigh = high
	switch {
	case l.decreased:
		meanChildTime := l.childTime / float64(l.sampleCount)
		l.decrease(now, max(minDecreaseFactor, (l.baseline*l.tolerance+meanChildTime)/(low+meanChildTime)))
	case !high && peak >= usedFraction*l.limit:
		l.grow(now)
	}
}

// updateBaseline updates the baseline. It counts a higher latency as a change
// of the service itself only if queueing can't be the cause: the target was
// mostly idle, or the latency didn't fall with the in-flight count.
func (l *Limit) updateBaseline(low, peak float64) {
	switch {
	case l.baseline == 0:
		l.baseline = low
		l.baselineSamples = len(l.samples)
	case low < l.baseline*dropFraction && l.lastLow < l.baseline*dropFraction:
		l.baseline += (low - l.baseline) * baselineDropWeight
	case l.baselineSamples < stableBaselineSamples:
		l.averageBaseline(low)
	case low <= l.baseline:
		l.baseline += (low - l.baseline) * baselineFallWeight
	case l.latencyUnaffected(low, peak):
		l.baseline = min(low, l.baseline*baselineMaxRise)
	case peak <= l.min || peak < idleFraction*l.limit:
		l.baseline += (min(low, l.baseline*2) - l.baseline) * baselineDriftWeight
	}
}

// averageBaseline computes the first baseline from several windows. The small
// windows of a cold target vary too much to take the lowest.
func (l *Limit) averageBaseline(low float64) {
	n := len(l.samples)
	low = min(low, l.baseline*baselineMaxRise)
	l.baseline += (low - l.baseline) * float64(n) / float64(n+l.baselineSamples)
	l.baselineSamples += n
}

// latencyUnaffected reports whether the latency stayed high although a decrease
// of the limit lowered the in-flight count: by more than a tenth, while the
// latency fell by less than half as much in proportion. Latency that comes from
// a queue falls in proportion to the in-flight count.
func (l *Limit) latencyUnaffected(low, peak float64) bool {
	if !l.decreased || l.lastPeak == 0 || l.lastLow == 0 {
		return false
	}
	reduction := 1 - peak/float64(l.lastPeak)
	return reduction > 0.1 && low > l.lastLow*(1-reduction/2)
}

// grow raises the limit. Hints only choose between speeds of growth, so a hint
// that is stuck delays the growth of a cold target by a few windows.
func (l *Limit) grow(now time.Time) {
	growth := slowGrowth
	switch {
	case !l.slowStartEnded && (l.slots == 0 || l.limit < l.slots):
		growth = startGrowth
	case !l.slowStartEnded:
		growth = startGrowth / 2
	case l.limit < nearCeilingFraction*l.ceiling:
		growth = fastGrowth
	case now.Before(l.holdUntil):
		return
	default:
		age := float64(now.Sub(l.decreasedAt)) / float64(growthRampTime)
		growth = min(growth*(1+age), fastGrowth)
	}
	if l.load >= 1 && now.Sub(l.loadAt) <= loadHintExpiry {
		growth = min(growth, fastGrowth)
	}
	l.limit += max(growth*l.limit, minGrowth)
}
