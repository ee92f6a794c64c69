package limit

import (
	"slices"
	"time"
)

// Parameters of a Limit.
const (
	DefaultMin     = 4    // floor; keeps measurements coming from a failing target
	DefaultMax     = 2000 // ceiling; above the connections of any upstream in docs/design.md 1.6
	DefaultInitial = 8    // first limit of a cold target
	// DefaultTolerance is the ratio of latency to baseline above which
	// requests are taken to queue inside the upstream.
	DefaultTolerance = 1.25

	shortWindow   = 100 * time.Millisecond
	longWindow    = time.Second            // a window of few samples closes after this
	fewSamples    = 16                     // smallest window that closes before longWindow
	manySamples   = 150                    // the low quantile of these varies by about 6%
	trustSamples  = 400                    // samples from which the baseline only falls, or rises with a reason
	windowCap     = 256                    // samples kept of one window
	lowQuantile   = 0.3                    // low enough to ignore a tail of slow requests
	shedPart      = 0.005                  // part of shed responses that counts as overload
	shedFactor    = 0.95                   // decrease after a window with shed responses
	shedHold      = 3 * time.Second        // time without growth near the limit at which the upstream shed
	nearPart      = 0.9                    // of the last limit that was too high
	maxDecrease   = 0.7                    // largest decrease in one window
	startGrowth   = 1.0                    // growth of a window in slow start, as a part of the limit
	fastGrowth    = 0.2                    // the same well below the last limit that was too high
	slowGrowth    = 0.03                   // the same near it, just after the decrease
	growthTime    = 500 * time.Millisecond // in which the growth near it rises by slowGrowth
	usedPart      = 0.7                    // a limit that isn't used up to this part isn't raised
	idlePart      = 0.5                    // below this part of the limit, latency is taken as unloaded
	baselineFall  = 0.1                    // weight of a lower window in the baseline
	baselineDrop  = 0.5                    // weight of the second in a row that is too low for chance
	dropPart      = 0.75                   // of the baseline, below which a window is too low for chance
	baselineDrift = 0.1                    // weight of a higher window of a mostly idle target
	baselineRise  = 1.25                   // largest rise of the baseline in one window
	loadHintAge   = time.Second
	minGrowth     = 0.5 // of a window
)

// Sample is a finished call at the target.
type Sample struct {
	// Latency is the duration of the call at the upstream.
	Latency time.Duration
	// ChildTime is the part of it in which the upstream waited for its own chain
	// calls. Only the rest is compared with the baseline: otherwise a slow
	// service below would shrink every limit above it.
	ChildTime time.Duration
	// Shed is set if the upstream refused the request as overloaded. The
	// latency of such a response is ignored.
	Shed bool
	// Failed is set for other failures. They carry no signal about load.
	Failed bool
}

// Limit is the concurrency limit of one target. It is not safe for concurrent
// use.
type Limit struct {
	min, max  float64
	tolerance float64
	limit     float64
	slots     float64 // announced; 0 if unknown
	load      float64
	loadAt    time.Time
	started   bool      // slow start has ended
	ceiling   float64   // last limit that was too high; 0 before one
	loweredAt time.Time // time of that
	holdUntil time.Time // no growth near the ceiling before
	baseline  float64
	trust     int // samples that the baseline stands for, up to trustSamples

	start    time.Time // of the window; zero before the first sample
	samples  []float64 // seconds without the time below
	below    float64   // sum of seconds
	seen     int       // latencies offered to samples
	done     int
	shed     int
	peak     int     // largest in-flight count of the window
	lastLow  float64 // low quantile of the previous window
	lastPeak int
	high     bool // latency was high in the previous window
	lowered  bool // the previous window ended with a decrease because of latency
}

// Option changes a parameter of a Limit.
type Option func(*Limit)

// WithBounds sets the floor and the ceiling of the limit.
func WithBounds(low, high int) Option {
	return func(l *Limit) { l.min, l.max = float64(low), float64(high) }
}

// WithInitial sets the first limit of a cold target.
func WithInitial(n int) Option {
	return func(l *Limit) { l.limit = float64(n) }
}

// WithTolerance sets the ratio of latency to baseline that is accepted.
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

// Baseline returns the latency that is taken as unloaded, 0 before the first
// window.
func (l *Limit) Baseline() time.Duration {
	return time.Duration(l.baseline * float64(time.Second))
}

// HintSlots records the slots that the upstream announced; 0 withdraws them.
// Up to this number slow start doubles the limit, above it growth is half as
// fast until a first decrease.
func (l *Limit) HintSlots(n int) {
	l.slots = float64(max(0, n))
}

// HintLoad records the load that the upstream's endpoint reports, 1 being
// full. A fresh load of 1 or more slows the growth of a cold target; it never
// stops it, as the endpoint may be stuck.
func (l *Limit) HintLoad(now time.Time, load float64) {
	l.load, l.loadAt = load, now
}

// Restart returns the limit to slow start, after the upstream was replaced.
func (l *Limit) Restart() {
	*l = Limit{min: l.min, max: l.max, tolerance: l.tolerance, limit: min(max(DefaultInitial, l.min), l.max)}
}

// Observe records a finished call. The in-flight count includes it.
func (l *Limit) Observe(now time.Time, s Sample, inFlight int) {
	if l.start.IsZero() {
		l.start = now
	}
	l.peak = max(l.peak, inFlight)
	switch {
	case s.Shed:
		l.shed++
	case s.Failed:
		return
	default:
		l.add((s.Latency - s.ChildTime).Seconds())
		l.below += s.ChildTime.Seconds()
	}
	l.done++
	if l.complete(now) {
		l.close(now)
	}
}

// add keeps the sample in a ring, so that a long window holds its latest part.
func (l *Limit) add(x float64) {
	if len(l.samples) < windowCap {
		l.samples = append(l.samples, x)
	} else {
		l.samples[l.seen%windowCap] = x
	}
	l.seen++
}

func (l *Limit) complete(now time.Time) bool {
	age := now.Sub(l.start)
	enough := min(max(2*l.Value(), fewSamples), manySamples)
	return age >= shortWindow && l.done >= enough || age >= longWindow
}

func (l *Limit) close(now time.Time) {
	low := l.low()
	switch {
	case float64(l.shed) > shedPart*float64(l.done):
		l.lower(now, shedFactor)
		l.holdUntil = now.Add(shedHold)
		l.high, l.lowered = false, false
	case low == 0:
		l.high, l.lowered = false, false
	default:
		l.adapt(now, low, float64(l.peak))
	}
	l.limit = min(max(l.limit, l.min), l.max)
	l.lastLow, l.lastPeak = low, l.peak
	l.start, l.seen, l.done, l.shed, l.peak, l.below = now, 0, 0, 0, 0, 0
	l.samples = l.samples[:0]
}

func (l *Limit) low() float64 {
	if len(l.samples) == 0 {
		return 0
	}
	slices.Sort(l.samples)
	return l.samples[int(lowQuantile*float64(len(l.samples)-1))]
}

// lower decreases the limit, from the in-flight count if that didn't reach it.
func (l *Limit) lower(now time.Time, factor float64) {
	l.started = true
	l.loweredAt = now
	l.ceiling = min(l.limit, float64(l.peak))
	l.limit = max(l.ceiling*factor, l.limit*maxDecrease)
}

// adapt changes the limit by the latency of a window. A single window with a
// high latency may be chance, so only the second in a row lowers the limit. The
// decrease is that of the whole duration, as a request holds its place during
// the calls below too.
func (l *Limit) adapt(now time.Time, low, peak float64) {
	l.learn(low, peak)
	ratio := low / l.baseline
	high := ratio > l.tolerance && peak > l.min
	l.lowered = high && l.high
	l.high = high
	switch {
	case l.lowered:
		below := l.below / float64(l.seen)
		l.lower(now, max(maxDecrease, (l.baseline*l.tolerance+below)/(low+below)))
	case !high && peak >= usedPart*l.limit:
		l.grow(now)
	}
}

// learn updates the baseline. A higher latency counts as a change of the
// service itself only if it can't be queueing: the target was mostly idle, or
// latency stayed although the in-flight count fell.
func (l *Limit) learn(low, peak float64) {
	switch {
	case l.baseline == 0:
		l.baseline = low
		l.trust = len(l.samples)
	case low < l.baseline*dropPart && l.lastLow < l.baseline*dropPart:
		l.baseline += (low - l.baseline) * baselineDrop
	case l.trust < trustSamples:
		l.average(low)
	case low <= l.baseline:
		l.baseline += (low - l.baseline) * baselineFall
	case l.unaffected(low, peak):
		l.baseline = min(low, l.baseline*baselineRise)
	case peak <= l.min || peak < idlePart*l.limit:
		l.baseline += (min(low, l.baseline*2) - l.baseline) * baselineDrift
	}
}

// average builds the first baseline from several windows. The small windows of
// a cold target vary too much to take the lowest.
func (l *Limit) average(low float64) {
	n := len(l.samples)
	low = min(low, l.baseline*baselineRise)
	l.baseline += (low - l.baseline) * float64(n) / float64(n+l.trust)
	l.trust += n
}

// unaffected reports whether latency stayed although a decrease of the limit
// lowered the in-flight count. Latency that comes from a queue falls in
// proportion to the in-flight count.
func (l *Limit) unaffected(low, peak float64) bool {
	if !l.lowered || l.lastPeak == 0 || l.lastLow == 0 {
		return false
	}
	fell := 1 - peak/float64(l.lastPeak)
	return fell > 0.1 && low > l.lastLow*(1-fell/2)
}

// grow raises the limit. Hints choose between speeds only, so that a stuck one
// delays the growth of a cold target by a few windows.
func (l *Limit) grow(now time.Time) {
	part := slowGrowth
	switch {
	case !l.started && (l.slots == 0 || l.limit < l.slots):
		part = startGrowth
	case !l.started:
		part = startGrowth / 2
	case l.limit < nearPart*l.ceiling:
		part = fastGrowth
	case now.Before(l.holdUntil):
		return
	default:
		age := float64(now.Sub(l.loweredAt)) / float64(growthTime)
		part = min(part*(1+age), fastGrowth)
	}
	if l.load >= 1 && now.Sub(l.loadAt) <= loadHintAge {
		part = min(part, fastGrowth)
	}
	l.limit += max(part*l.limit, minGrowth)
}
