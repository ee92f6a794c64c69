package entry

import (
	"net/http"
	"time"

	"dogwoodsill.org/core/burn"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/refuse"
)

// outcomeOf returns the outcome of a request that was refused or received a
// response with the given status.
func outcomeOf(e *refuse.Error, status int) burn.Outcome {
	if e != nil {
		return refusalOutcome(e)
	}
	if status >= http.StatusInternalServerError {
		return burn.Failed
	}
	return burn.Good
}

// refusalOutcome returns the outcome of a refused request. A request that is
// refused only because of the state of the system counts as inside its
// customer's rate, as far as this node can tell: overload is checked before a
// token is taken.
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
		return burn.Ignored // caused by the caller
	}
}

// abortedOutcome returns the outcome of a request whose response was not
// delivered completely, because the caller disconnected or the response of the
// upstream was truncated.
func (q *request) abortedOutcome() burn.Outcome {
	if q.r.Context().Err() != nil {
		return burn.Ignored
	}
	return burn.Failed
}

// count records the outcome of a finished request if its route is known.
func (q *request) count(outcome burn.Outcome, latency time.Duration) {
	if q.route.Name == "" {
		return
	}
	if outcome == burn.Inside {
		q.server.metrics.Add(metric.RefusedInside, 1)
	}
	importance := q.call.Importance
	if q.call.Root == "" { // refused before the call was created
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
