package relay

import (
	"context"
	"net"
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

// knownProcesses is a Directory that lists the targets of a fakeNodes with their incarnation.
type knownProcesses struct {
	fakeNodes
	incarnation uint64
}

// Candidates implements Directory.
func (p knownProcesses) Candidates(service string) ([]Candidate, uint64) {
	list, gen := p.fakeNodes.Candidates(service)
	for i := range list {
		list[i].Incarnation = p.incarnation
	}
	return list, gen
}

// TestRefusalOfResumedCall guards against a call whose link was lost and that is reported as
// possibly executed, though the process that it was sent to states that it was not. A process of
// an unknown incarnation may be a later one, whose statement says nothing about the first stream.
func TestRefusalOfResumedCall(t *testing.T) {
	for _, test := range []struct {
		name        string
		incarnation uint64
		refusal     *refuse.Error
		executed    refuse.Executed
	}{
		{"same process", 1, refuse.New(refuse.Overloaded, "full"), refuse.NotExecuted},
		{"same process, may have run", 1, refuse.New(refuse.OutcomeUnknown, "").WithExecuted(refuse.ExecutionUnknown), refuse.ExecutionUnknown},
		{"process unknown", 0, refuse.New(refuse.Overloaded, "full"), refuse.ExecutionUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			links := slowLinks{0, make(chan *frame.Session, 2)}
			var lost *frame.Session
			lost = newSession(t, func(*frame.Stream) { assert.Check(t, lost.Close()) })
			links.sessions <- lost
			links.sessions <- newSession(t, replyWith(t, ReplyHead{Refusal: test.refusal}, ""))
			dir := knownProcesses{fakeNodes{"one": nil}, test.incarnation}
			c := NewCaller(NewBalancer(dir, "a", 1), links, metric.New())
			_, _, e := c.Do(t.Context(), timedRequest(t, "one", false, time.Now().Add(10*time.Second)))
			assert.Assert(t, e != nil)
			assert.Equal(t, e.Executed, test.executed, "%v", e)
		})
	}
}

// TestDialTimeoutIsRetriedElsewhere guards against an upstream that accepts no connection and whose
// calls end as if their own deadline had passed, without an attempt at another target.
func TestDialTimeoutIsRetriedElsewhere(t *testing.T) {
	_, timeout := (&net.Dialer{Timeout: time.Nanosecond}).DialContext(t.Context(), "tcp", "127.0.0.1:1")
	assert.ErrorIs(t, timeout, context.DeadlineExceeded)
	silent := timedTarget(t, slowUpstream(0), func() time.Duration { return 0 })
	silent.client.fresh.DialContext = func(context.Context, string, string) (net.Conn, error) { return nil, timeout }
	healthy := timedTarget(t, slowUpstream(0), func() time.Duration { return 0 })
	dir := fakeNodes{"one": newSession(t, silent.Serve)}
	c := NewCaller(NewBalancer(dir, "a", 1), dir, metric.New())
	_, _, e := c.Do(t.Context(), timedRequest(t, "one", false, time.Now().Add(10*time.Second)))
	assert.Assert(t, e != nil)
	assert.Equal(t, e.Reason, refuse.UpstreamFailed)
	assert.Equal(t, e.Executed, refuse.NotExecuted)

	dir["two"] = newSession(t, healthy.Serve)
	c = NewCaller(NewBalancer(dir, "a", 1), dir, metric.New())
	resp, _, e := c.Do(t.Context(), timedRequest(t, "two", false, time.Now().Add(10*time.Second)))
	assertRan(t, resp, e)
}
