package entry

import (
	"net/http"
	"time"

	"dogwoodsill.org/core/burn"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/refuse"
)

// outcomeOf returns how a request ended that was refused or answered with a
// status.
func outcomeOf(e *refuse.Error, status int) burn.Outcome {
	if e != nil {
		return refusalOutcome(e)
	}
	if status >= http.StatusInternalServerError {
		return burn.Failed
	}
	return burn.Good
}

// refusalOutcome returns what a refusal counts as. A request that is refused
// only for the state of the system is inside its customer's rate as far as this
// node can tell: overload is decided before a token is charged.
func refusalOutcome(e *refuse.Error) burn.Outcome {
	switch e.Reason {
	case refuse.RateLimited:
		return burn.Over
	case refuse.Overloaded:
		return burn.Inside
	case refuse.NoUpstream, refuse.ConfigStale, refuse.NotReady:
		if e.Executed == refuse.NotExecuted {
			return burn.Inside
		}
		return burn.Failed
	case refuse.UpstreamFailed, refuse.DeadlineExceeded, refuse.AttemptsExhausted, refuse.OutcomeUnknown:
		return burn.Failed
	default:
		return burn.Ignored // a fault or wish of the caller
	}
}

// aborted returns how a request ended whose answer was cut off: by the caller
// or by a truncated answer of the upstream.
func (q *request) aborted() burn.Outcome {
	if q.r.Context().Err() != nil {
		return burn.Ignored
	}
	return burn.Failed
}

// count records the finished request, if its route is known.
func (q *request) count(outcome burn.Outcome, latency time.Duration) {
	if q.route.Name == "" {
		return
	}
	if outcome == burn.Inside {
		q.server.metrics.Add(metric.RefusedInside, 1)
	}
	importance := q.call.Importance
	if q.call.Root == "" { // refused before the call was built
		importance = q.cur.Table.Importance(q.route, q.id.customer)
	}
	service := q.route.Route.Service
	q.server.counter.Count(time.Now(), burn.Request{
		Service:    service,
		Importance: importance,
		Customer:   q.id.customer,
		Outcome:    outcome,
		Latency:    latency,
	}, q.cur.View.Services[service].SLOs)
}
