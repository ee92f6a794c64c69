package relay

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/boot"
	"dogwoodsill.org/core/evac"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/node/store"
)

// evacuate makes zone "a" evacuated in the store of a target, or cancels that.
func evacuate(target *Target, offset uint64, evacuated bool) {
	s := store.ZonesReply{Era: 1, Offset: offset, SinceMS: map[string]int64{}}
	if evacuated {
		s.SinceMS["a"] = time.Now().UnixMilli()
	}
	now := boot.Now()
	target.store.ApplyPeerReply(store.RecordsReply{End: target.store.Offset(), Zones: &s}, false, now, now)
}

// Guards against a call that reaches an upstream of an evacuated zone after it has waited in the
// queue, or as a second sending, and against running calls that are cut off.
func TestEvacuationWhileCallsWait(t *testing.T) {
	const service = time.Second
	for _, test := range []struct {
		name      string
		response  string // empty for a valid one
		evacuated bool
		arrivals  int
	}{
		{"no evacuation", "", false, 3},
		{"running call completes, queued ones don't start", "", true, 1},
		{"call isn't sent again", "bytes of no response\r\n\r\n", true, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := &arrivals{}
				u := slowUpstream(service)
				u.respond = func(n int, req *http.Request) string {
					own := a.respond(n, req)
					time.Sleep(service)
					if test.response != "" {
						return test.response
					}
					return own
				}
				defer time.Sleep(time.Minute) // the checks whether the upstream has ended are over by then
				target := timedTarget(t, u, func() time.Duration { return 0 })
				WithZone("a")(target)
				target.Announce(Upstream{Service: "s", Addr: "127.0.0.1:1", State: Ready, TTLMS: time.Minute.Milliseconds(), Slots: 1, FixedSlots: true}, time.Now())
				evacuate(target, 1, false)
				dir := fakeNodes{"one": newSession(t, target.Serve)}
				var wg sync.WaitGroup
				for i := range 3 {
					wg.Go(func() {
						time.Sleep(time.Duration(i) * time.Millisecond) // the first one runs
						req := timedRequest(t, strconv.Itoa(i), true, time.Now().Add(20*time.Second))
						req.Call.LatencyGoal = time.Minute
						resp, _, e := NewCaller(NewBalancer(dir, "a", 1), dir, metric.New()).Do(t.Context(), req)
						switch {
						case !test.evacuated || i == 0 && test.response == "":
							assertRan(t, resp, e)
						case i > 0:
							assert.Check(t, e != nil && e.Reason == refuse.NoUpstream && e.Executed == refuse.NotExecuted, "%v", e)
						}
					})
				}
				time.Sleep(service / 2)
				if test.evacuated {
					evacuate(target, 2, true)
				}
				wg.Wait()
				assert.Equal(t, len(a.times), test.arrivals)
			})
		})
	}
}

// Guards against a node that resumes and lets a call run before it knows whether its zone is evacuated
// and its upstream cold.
func TestResumedTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := coldTarget(t, slowUpstream(0), 0)
		WithZone("a")(target)
		WithZoneConfirmation()(target)
		evacuate(target, 1, false)
		assert.Assert(t, target.checkZone() == nil)
		assert.Assert(t, !target.Cold(time.Now()))
		target.watchMu.Lock()
		target.watch = evac.Watch{}
		target.watch.Tick(boot.Now().Add(-time.Minute))
		target.watchMu.Unlock()
		e := target.checkZone()
		assert.Assert(t, e != nil && e.Reason == refuse.NoUpstream && e.RetryAfter > 0, "%v", e)
		assert.Assert(t, target.Cold(time.Now()))
	})
}
