package relay

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/speed"
)

// TestLearnedCapacityInUse guards against a learned limit or service time of upstreams for which
// nothing asks for it, and against one that outlasts the upstream's process or the setting.
func TestLearnedCapacityInUse(t *testing.T) {
	on, off := func() bool { return true }, func() bool { return false }
	for _, test := range []struct {
		name       string
		allowed    func() bool
		configured bool
		report     LoadReport
		newProcess bool
		inUse      bool
	}{
		{"nothing asks for it", on, false, LoadReport{Running: 54, Slots: 54}, false, false},
		{"work time reported", on, false, LoadReport{Running: 54, Slots: 54, WorkTime: 1}, false, true},
		{"work time reported, no settings", nil, false, LoadReport{Running: 54, Slots: 54, WorkTime: 1}, false, true},
		{"configured", on, true, LoadReport{Running: 54, Slots: 54}, false, true},
		{"off in the settings", off, true, LoadReport{Running: 54, Slots: 54, WorkTime: 1}, false, false},
		{"new process", on, false, LoadReport{Running: 54, Slots: 54, WorkTime: 1}, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			g, now := newGate(), time.Unix(1000, 0)
			g.learned.allowed = test.allowed
			up := Upstream{Slots: 54, FixedSlots: true}
			g.applyHints(up, true, now)
			// Calls beside more than 32 others take twice as long.
			for i := range 20_000 {
				now = now.Add(2 * time.Millisecond)
				running := min(10+i/200%45, g.currentLimit()) // as many as the callers ask for, up to the limit
				s := speed.Sample{Latency: 50 * time.Millisecond, InFlight: running}
				if running > 32 {
					s.Latency *= 2
				}
				g.reportLoad(test.report, now)
				g.learned.configured = test.configured
				g.learned.observe(s, g.slots, now)
			}
			if test.newProcess {
				g.applyHints(up, true, now)
			}
			f := g.feedback("c", now)
			assert.Equal(t, f.Limit < 54, test.inUse, "limit %d", f.Limit)
			assert.Equal(t, f.ServiceTime > 0, test.inUse, "service time %d", f.ServiceTime)
			assert.Equal(t, g.load().LearnedLimit > 0, test.inUse)
			assert.Assert(t, f.Limit >= 27)
		})
	}
}

// mismatchProtocol is a Protocol in which no response belongs to its request.
type mismatchProtocol struct{ defaultProtocol }

// ClassifyResponse implements Protocol.
func (mismatchProtocol) ClassifyResponse(*CallHead, *http.Response) ResponseClass {
	return ResponseMismatched
}

// TestMismatchedResponseHasNoSpeed guards against a response that belongs to another request, such
// as a second copy that arrives at once, and counts as a fast call.
func TestMismatchedResponseHasNoSpeed(t *testing.T) {
	var target *Target
	u := &refusingUpstream{status: http.StatusServiceUnavailable, how: refuseOnce}
	c := callerToUpstream(t, u, WithProtocol(mismatchProtocol{}), func(t *Target) { target = t })
	g := target.gate
	now := time.Now()
	g.applyHints(Upstream{Slots: 54, FixedSlots: true}, false, now)
	g.reportLoad(LoadReport{Running: 1, Slots: 54, WorkTime: 1}, now)
	for range 30 {
		body, err := NewBody(http.NoBody, 0, nil)
		assert.NilError(t, err)
		_, _, e := c.Do(t.Context(), &Request{
			Service: "s", Method: http.MethodPost, URI: "/", Body: body, RequestID: "one",
			Call: model.Call{Attempts: 1, Deadline: now.Add(10 * time.Second)},
		})
		assert.Assert(t, e != nil)
	}
	assert.Equal(t, u.ran.Load(), int64(30))
	assert.Equal(t, g.feedback("c", time.Now()).ServiceTime, int64(0))
}
