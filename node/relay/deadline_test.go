package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/frame"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/core/super"
)

// TestRefusalArrivesBeforeDeadline guards against a call that reached no upstream and is reported
// as possibly executed, because its target refuses it only when the calling node gives up.
func TestRefusalArrivesBeforeDeadline(t *testing.T) {
	for _, test := range []struct {
		name     string
		full     bool // all slots of the upstream are in use
		connects time.Duration
		service  time.Duration
		executed refuse.Executed
	}{
		{"queued", true, 0, 0, refuse.NotExecuted},
		{"connecting", false, time.Minute, 0, refuse.NotExecuted},
		{"running", false, 0, time.Minute, refuse.ExecutionUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				now := time.Now()
				u := slowUpstream(test.service)
				target := timedTarget(t, u, func() time.Duration { return test.connects })
				target.Announce(Upstream{Service: "s", Addr: "127.0.0.1:1", Slots: 1, FixedSlots: true, State: Ready, TTLMS: time.Minute.Milliseconds()}, now)
				if test.full {
					h := CallHead{Call: model.Call{Deadline: now.Add(time.Minute)}}
					assert.Assert(t, target.gate.enter(t.Context(), &h, now) == nil)
				}
				dir := fakeNodes{"one": newSession(t, func(s *frame.Stream) {
					super.Pause(t.Context(), 2*time.Millisecond) // transfer between zones
					target.Serve(s)
				})}
				c := NewCaller(NewBalancer(dir, "a", 1), dir, metric.New())
				req := timedRequest(t, "one", false, now.Add(time.Second))
				req.Call.LatencyGoal = time.Minute // its queue wait doesn't end first
				_, _, e := c.Do(t.Context(), req)
				assert.Assert(t, e != nil)
				assert.Equal(t, e.Reason, refuse.DeadlineExceeded)
				assert.Equal(t, e.Executed, test.executed)
				super.Pause(t.Context(), 2*time.Minute) // the calls of the test have ended
			})
		})
	}
}
