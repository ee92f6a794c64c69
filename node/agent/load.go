package agent

import (
	"context"
	"time"

	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/super"
)

// loadInterval is the time between two lines about the load of the node. It is
// short against the 15 s within which service has to recover.
const loadInterval = 2 * time.Second

// tally is what a node counted since its start.
type tally struct {
	admitted, refused, served, attempts, retries int64

	processor time.Duration
}

func (a *Agent) tally() tally {
	m := a.metrics
	return tally{
		admitted: m.Count(metric.Admitted), refused: m.Sum(metric.Refused), served: m.Count(metric.Served),
		attempts: m.Count(metric.Attempts), retries: m.Count(metric.Retries), processor: a.processorTime(),
	}
}

// idle reports whether no request or call came since an earlier tally.
func (t tally) idle(before tally) bool {
	before.processor = t.processor
	return t == before
}

// logLoad is the duty that logs how much the node carries and what bounds it,
// while there is something to carry.
func (a *Agent) logLoad(ctx context.Context) error {
	var before tally
	return super.Every(ctx, loadInterval, func(time.Time) {
		after := a.tally()
		if !after.idle(before) {
			load := a.target.Load()
			a.log.Info("load of the node", "admitted", after.admitted-before.admitted, "refused", after.refused-before.refused,
				"served", after.served-before.served, "attempts", after.attempts-before.attempts, "retries", after.retries-before.retries,
				"running", load.Running, "waiting", load.Waiting, "limit", load.Limit, "processorBound", load.ProcessorBound,
				"processor", after.processor-before.processor)
		}
		before = after
	})
}

// processorTime returns the processor time of the process. It is 0 where the system
// doesn't tell it, which no decision depends on.
func (a *Agent) processorTime() time.Duration {
	d, err := metric.ProcessorTime()
	if err != nil {
		a.log.Debug("processor time not known", "error", err)
	}
	return d
}
