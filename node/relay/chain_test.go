package relay

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/admit"
	"dogwoodsill.org/core/chain"
	"dogwoodsill.org/core/metric"
)

// TestTargetLearnsChain guards against a target that doesn't tell how many calls stand behind one of
// its service, that counts calls which were cut short, or that hides what its upstream sheds.
func TestTargetLearnsChain(t *testing.T) {
	for _, test := range []struct {
		name    string
		fails   bool   // the last child call
		status  string // of the response
		learned bool
	}{
		{"completed", false, "200 OK", true},
		{"a child call failed", true, "200 OK", false},
		{"error response", false, "500 Internal Server Error", false},
		{"shed", false, "503 Service Unavailable", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			u := &timedUpstream{}
			target := timedTarget(t, u, func() time.Duration { return 0 })
			u.respond = func(_ int, req *http.Request) string {
				now := time.Now()
				active, ok := target.calls.Lookup(req.Header.Get(chain.CallHeader), now)
				assert.Check(t, ok)
				for range 4 {
					active.StartChild("deep", now)
					active.EndChild(0, now)
				}
				if test.fails {
					active.RecordChildFailure()
				}
				return "HTTP/1.1 " + test.status + "\r\nContent-Length: 0\r\n" + testIDHeader + ": " + req.Header.Get(testIDHeader) + "\r\n\r\n"
			}
			dir := fakeNodes{"one": newSession(t, target.Serve)}
			c := NewCaller(NewBalancer(dir, "a", 1), dir, metric.New())
			for range 3 {
				resp, _, e := c.Do(t.Context(), timedRequest(t, "one", false, time.Now().Add(10*time.Second)))
				assert.Assert(t, e == nil, "%v", e)
				assert.NilError(t, resp.Body.Close())
			}
			assert.NilError(t, target.Drain(t.Context())) // the calls are recorded

			now := time.Now()
			target.balancer.throttle.RecordFeedback(now, "deep", "d", "", admit.Feedback{Chain: []admit.ChainShare{{Service: "deep", Calls: 1, Success: 0.5}}})
			f := target.gate.feedback("", now)
			assert.Equal(t, f.Success < 0.5, test.status[0:3] == "503", "%v", f.Success)
			f = target.balancer.MergeFeedback("s", "", f, now)
			if !test.learned {
				assert.Equal(t, len(f.Chain), 0, "%v", f.Chain)
				return
			}
			assert.DeepEqual(t, f.Chain, []admit.ChainShare{{Service: "deep", Calls: 4, Success: 0.5}})
		})
	}
}
