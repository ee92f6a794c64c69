package limit

import "time"

// Parameters of a SchedulerLimit.
const (
	// schedulerWindow contains some tens of samples on a busy node and is short
	// compared with the latency goals of calls.
	schedulerWindow = 100 * time.Millisecond
	// maxSchedulerDelay is the mean scheduling delay of goroutines above which
	// the processor of the node is the bottleneck. A stop-the-world pause of
	// the garbage collector takes less than 1 ms and stays well below it.
	maxSchedulerDelay = 15 * time.Millisecond
	// schedulerDecrease is the factor that lowers the limit after a window with
	// a high delay. schedulerGrowth is the fraction by which any other window
	// raises it.
	schedulerDecrease = 0.8
	schedulerGrowth   = 0.1
	// minSchedulerLimit is the lower bound, at which delays can still be
	// measured.
	minSchedulerLimit = 4
	// maxSchedulerLimit is the initial value, which doesn't limit calls in
	// practice.
	maxSchedulerLimit = DefaultMax
)

// SchedulerLimit bounds the calls in progress at a node by the scheduling delay
// on its own processor: the time for which a runnable goroutine waits until it
// runs. It protects against many small calls that saturate the node's processor
// before the upstream. It is not safe for concurrent use.
type SchedulerLimit struct {
	limit       float64
	windowStart time.Time
	totalDelay  time.Duration
	samples     int
}

// NewSchedulerLimit returns a SchedulerLimit that starts at maxSchedulerLimit.
func NewSchedulerLimit() *SchedulerLimit {
	return &SchedulerLimit{limit: maxSchedulerLimit}
}

// Observe records the scheduling delay of one goroutine and the number of
// running calls.
func (l *SchedulerLimit) Observe(now time.Time, delay time.Duration, running int) {
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	l.totalDelay += delay
	l.samples++
	if now.Sub(l.windowStart) < schedulerWindow {
		return
	}
	if l.totalDelay > time.Duration(l.samples)*maxSchedulerDelay {
		l.limit = max(minSchedulerLimit, min(l.limit, float64(running))*schedulerDecrease)
	} else {
		l.limit = min(maxSchedulerLimit, l.limit+max(1, l.limit*schedulerGrowth))
	}
	l.windowStart, l.totalDelay, l.samples = now, 0, 0
}

// Value returns the maximum number of calls that should be in progress at the
// node.
func (l *SchedulerLimit) Value() int {
	return int(l.limit)
}
