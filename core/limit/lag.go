package limit

import "time"

// Parameters of a Lag.
const (
	// lagWindow holds some tens of samples on a busy node, and is short against the
	// latency goals of calls.
	lagWindow = 100 * time.Millisecond
	// lagHigh is the delay of ready goroutines from which the processor of the node
	// is the bottleneck. The stop of a collection takes less than 1 ms.
	lagHigh = 15 * time.Millisecond
	// lagFactor lowers the limit in a window with a high delay, lagGrowth raises it
	// in any other.
	lagFactor = 0.8
	lagGrowth = 0.1
	// lagMin keeps measurements coming.
	lagMin = 4
	// lagOpen is the value without a limit.
	lagOpen = DefaultMax
)

// SchedulerLimit bounds the calls that a node carries by the delay of its own processor:
// the time for which a goroutine that could run has to wait. It answers a load
// of small calls that keeps the processor of the node busy before the upstream
// is. It is not safe for concurrent use.
type SchedulerLimit struct {
	limit float64
	start time.Time
	sum   time.Duration
	n     int
}

// NewSchedulerLimit returns a Lag without a limit.
func NewSchedulerLimit() *SchedulerLimit {
	return &SchedulerLimit{limit: lagOpen}
}

// Observe records the delay of one goroutine while a number of calls is carried.
func (l *SchedulerLimit) Observe(now time.Time, delay time.Duration, running int) {
	if l.start.IsZero() {
		l.start = now
	}
	l.sum += delay
	l.n++
	if now.Sub(l.start) < lagWindow {
		return
	}
	if l.sum > time.Duration(l.n)*lagHigh {
		l.limit = max(lagMin, min(l.limit, float64(running))*lagFactor)
	} else {
		l.limit = min(lagOpen, l.limit+max(1, l.limit*lagGrowth))
	}
	l.start, l.sum, l.n = now, 0, 0
}

// Value returns the number of calls that the node should carry at most.
func (l *SchedulerLimit) Value() int {
	return int(l.limit)
}
