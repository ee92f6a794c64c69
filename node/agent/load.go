package agent

import (
	"context"
	"time"

	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/super"
)

// loadInterval is the time between two log lines about the load of the node. It is
// short compared with the 15 s within which service must recover from a fault, so
// that the recovery shows in several lines.
const loadInterval = 2 * time.Second

// loadCounts holds the counts of a node since its start.
type loadCounts struct {
	admitted, refused, served, attempts, retries int64

	processor time.Duration
}

func (a *Agent) readCounts() loadCounts {
	m := a.metrics
	return loadCounts{
		admitted: m.Value(metric.Admitted), refused: m.Sum(metric.Refused), served: m.Value(metric.Served),
		attempts: m.Value(metric.Attempts), retries: m.Value(metric.Retries), processor: a.processorTime(),
	}
}

// sameRequests reports whether no request or call arrived since before.
func (c loadCounts) sameRequests(before loadCounts) bool {
	before.processor = c.processor
	return c == before
}

// logLoad is the background task that logs the load of the node and its limits. It
// logs nothing while there are no requests.
func (a *Agent) logLoad(ctx context.Context) error {
	var before loadCounts
	spills := spillLog{}
	return super.Every(ctx, loadInterval, func(now time.Time) {
		spills.log(a.log, a.caller.Spilled(now))
		after := a.readCounts()
		if !after.sameRequests(before) {
			load := a.target.Load()
			a.log.Info("node load", "admitted", after.admitted-before.admitted, "refused", after.refused-before.refused,
				"served", after.served-before.served, "attempts", after.attempts-before.attempts, "retries", after.retries-before.retries,
				"running", load.Running, "waiting", load.Waiting, "limit", load.Limit, "rateLimit", load.Rate, "processorBound", load.ProcessorBound,
				"processor", after.processor-before.processor)
		}
		before = after
	})
}

// processorTime returns the processor time that the process used. It is 0 if the
// system doesn't report it; no decision depends on it.
func (a *Agent) processorTime() time.Duration {
	d, err := metric.ProcessorTime()
	if err != nil {
		a.log.Debug("processor time unavailable", "error", err)
	}
	return d
}
