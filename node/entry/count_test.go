package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/burn"
	"dogwoodsill.org/core/refuse"
)

// Guards against an error of the caller that counts against the objective of a
// service, and against a failure of the system that doesn't.
func TestOutcomeOf(t *testing.T) {
	for _, test := range []struct {
		e      *refuse.Error
		status int
		want   burn.Outcome
	}{
		{nil, 200, burn.Good},
		{nil, 404, burn.Good},
		{nil, 500, burn.Failed},
		{refuse.New(refuse.Overloaded, ""), 0, burn.Inside},
		{refuse.New(refuse.Overloaded, "").WithExecuted(refuse.ExecutionUnknown), 0, burn.Inside},
		{refuse.New(refuse.NoUpstream, ""), 0, burn.Inside},
		{refuse.New(refuse.NoUpstream, "").WithExecuted(refuse.ExecutionUnknown), 0, burn.Failed},
		{refuse.New(refuse.ConfigStale, ""), 0, burn.Inside},
		{refuse.New(refuse.RateLimited, ""), 0, burn.Over},
		{refuse.New(refuse.UpstreamFailed, ""), 0, burn.Failed},
		{refuse.New(refuse.DeadlineExceeded, ""), 0, burn.Failed},
		{refuse.New(refuse.AttemptsExhausted, ""), 0, burn.Failed},
		{refuse.New(refuse.OutcomeUnknown, ""), 0, burn.Failed},
		{refuse.New(refuse.Cancelled, ""), 0, burn.Ignored},
		{refuse.New(refuse.KeyMissing, ""), 0, burn.Ignored},
		{refuse.New(refuse.KeyRevoked, ""), 0, burn.Ignored},
		{refuse.New(refuse.BadRequest, ""), 0, burn.Ignored},
		{refuse.New(refuse.TooLarge, ""), 0, burn.Ignored},
		{refuse.New(refuse.IdempotencyKeyInvalid, ""), 0, burn.Ignored},
	} {
		assert.Equal(t, outcomeOf(test.e, test.status), test.want, "%v %d", test.e, test.status)
	}
}
