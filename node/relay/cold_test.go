package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/boot"
	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/evac"
	"dogwoodsill.org/core/frame"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/core/retry"
)

const testColdRate = 16

// coldTarget returns a target with the given upstream, whose service limits the calls to cold
// upstreams. The upstream has announced to stay cold for the given time.
func coldTarget(t *testing.T, u *timedUpstream, cold time.Duration) *Target {
	t.Helper()
	target := timedTarget(t, u, func() time.Duration { return 0 })
	// A dial without a timer: the runtime of go1.26.8 crashes (SIGSEGV) in the select of super.Pause with
	// hundreds of concurrent dials in one bubble of synctest.
	dial := func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go u.serve(far)
		return newUpstreamConn(near), nil
	}
	target.client.kept.DialContext, target.client.fresh.DialContext = dial, dial
	body, err := json.Marshal(model.Service{ColdPerSecond: testColdRate})
	assert.NilError(t, err)
	target.store.ApplySnapshot(&config.Snapshot{Offset: 2, Objects: []config.Object{{Kind: model.KindService, Name: "s", Revision: 2, Body: body}}}, boot.Now(), boot.Now())
	target.Announce(Upstream{Service: "s", Addr: "127.0.0.1:1", State: Ready, TTLMS: time.Minute.Milliseconds(), Slots: 200, FixedSlots: true, ColdMS: cold.Milliseconds()}, time.Now())
	return target
}

// arrivals records the times of the requests that reach an upstream.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivals) respond(n int, req *http.Request) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, time.Now())
	return respondOwn(n, req)
}

// mostPerSecond returns the largest number of arrivals in any sliding second.
func (a *arrivals) mostPerSecond() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most, first := 0, 0
	for i, at := range a.times {
		for at.Sub(a.times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against cold upstreams that receive more than they handle when all nodes call at once,
// against calls that fail for that reason although another target has room, and against cold
// upstreams of which some are left out when no other is there.
func TestColdUpstreams(t *testing.T) {
	const (
		callers = 70
		each    = 12 // requests of a caller, 250 ms apart
	)
	for _, test := range []struct {
		name       string
		cold, warm int
	}{
		{"one is warm", 3, 1},
		{"all are cold", 3, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dir := fakeNodes{}
				var cold []*arrivals
				metrics := metric.New()
				for i := range test.cold + test.warm {
					a, period := &arrivals{}, time.Duration(0)
					if i < test.cold {
						period = time.Minute
						cold = append(cold, a)
					}
					dir[fmt.Sprint("node", i)] = newSession(t, coldTarget(t, &timedUpstream{respond: a.respond}, period).Serve)
				}
				time.Sleep(time.Second) // a node that has just started admits none
				var served, refused atomic.Int64
				var wg sync.WaitGroup
				for i := range callers {
					c := NewCaller(NewBalancer(dir, "a", uint64(i), WithColdLimit(func(string) bool { return true })), dir, metrics)
					for j := range each {
						wg.Go(func() {
							time.Sleep(time.Duration(j) * 250 * time.Millisecond)
							req := timedRequest(t, strconv.Itoa(i*each+j), true, time.Now().Add(5*time.Second))
							resp, _, e := c.Do(t.Context(), req)
							if e != nil {
								assert.Check(t, e.Executed == refuse.NotExecuted && e.Status() == http.StatusServiceUnavailable && e.RetryAfter > 0, "%v", e)
								refused.Add(1)
								return
							}
							assertRan(t, resp, e)
							served.Add(1)
						})
					}
				}
				wg.Wait()
				for i, a := range cold {
					assert.Check(t, a.mostPerSecond() <= testColdRate, "upstream %d received %d in a second", i, a.mostPerSecond())
				}
				if test.warm > 0 {
					assert.Check(t, refused.Load() == 0, "%d refused", refused.Load())
					return
				}
				for i, a := range cold {
					assert.Check(t, len(a.times) >= 3*testColdRate, "upstream %d received %d", i, len(a.times))
				}
			})
		})
	}
}

// Guards against a request that reaches a cold upstream twice and counts once.
func TestRepeatCountsAtColdUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &arrivals{}
		target := coldTarget(t, &timedUpstream{respond: func(n int, req *http.Request) string {
			_ = a.respond(n, req)
			return "bytes of no response\r\n\r\n"
		}}, time.Minute)
		dir := fakeNodes{"one": newSession(t, target.Serve)}
		defer time.Sleep(time.Minute) // the checks whether the upstream has ended are over by then
		time.Sleep(time.Second)
		for i := range 2 * testColdRate {
			c := NewCaller(NewBalancer(dir, "a", 1), dir, metric.New())
			_, _, e := c.Do(t.Context(), timedRequest(t, strconv.Itoa(i), true, time.Now().Add(5*time.Second)))
			assert.Assert(t, e != nil)
		}
		assert.Equal(t, a.mostPerSecond(), testColdRate)
	})
}

// Guards against an upstream that stays limited because its node has missed the end of the cold
// period, and against one that a health check of another process or an older one declares warm.
func TestReportCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := coldTarget(t, &timedUpstream{respond: respondOwn}, 0)
		now := time.Now()
		target.Announce(Upstream{Service: "s", Addr: "127.0.0.1:1", ID: "i-1", State: Ready, TTLMS: time.Minute.Milliseconds()}, now)
		state := func() State {
			u, ok := target.Upstream(now)
			assert.Assert(t, ok)
			return u.State
		}
		assert.Equal(t, state(), Ready)
		target.ReportCold("i-1", 3*time.Second, now, now)
		assert.Equal(t, state(), Cold)
		now = now.Add(2 * time.Second)
		target.ReportCold("i-2", 0, now, now)
		assert.Equal(t, state(), Cold)
		target.ReportCold("i-1", 0, now.Add(-3*time.Second), now)
		assert.Equal(t, state(), Cold)
		target.ReportCold("i-1", 0, now, now)
		assert.Equal(t, state(), Ready)
		target.ForgetCold(now)
		assert.Equal(t, state(), Cold)
	})
}

// replaceableNodes is a fakeNodes whose nodes may restart.
type replaceableNodes struct {
	mu     sync.Mutex
	starts uint64
	fakeNodes
}

// start replaces the process of a node by another one.
func (n *replaceableNodes) start(node int, s *frame.Session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	prefix := fmt.Sprint("node", node, "#")
	maps.DeleteFunc(n.fakeNodes, func(id string, _ *frame.Session) bool { return strings.HasPrefix(id, prefix) })
	n.starts++
	n.fakeNodes[fmt.Sprint(prefix, n.starts)] = s
}

// Session implements Links.
func (n *replaceableNodes) Session(_ context.Context, addr string) (*frame.Session, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s := n.fakeNodes[addr]; s != nil {
		return s, nil
	}
	return nil, errNoRoute
}

// Candidates implements Directory.
func (n *replaceableNodes) Candidates(service string) ([]Candidate, uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	list, _ := n.fakeNodes.Candidates(service)
	return list, n.starts
}

// Guards against cold upstreams that receive too much when both disruptions meet in a burst: the
// evacuation of their zone is cancelled, and all nodes restart at the same time.
func TestColdUpstreamsAfterEvacuationAndRestart(t *testing.T) {
	const (
		callers   = 70
		each      = 40 // requests of a caller, 100 ms apart
		begin     = 1000 * time.Millisecond
		cancelled = 2000 * time.Millisecond
		restarted = 3300 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		dir := &replaceableNodes{fakeNodes: fakeNodes{}}
		var upstreams []*arrivals
		var targets []*Target
		start := func(i int) {
			target := coldTarget(t, &timedUpstream{respond: upstreams[i].respond}, 0)
			WithZone("a")(target)
			target.store.OnEvacuation(func(_, after evac.State) {
				if !after.Evacuated("a") {
					target.ForgetCold(time.Now())
				}
			})
			dir.start(i, newSession(t, target.Serve))
			targets[i] = target
		}
		for i := range 3 {
			upstreams, targets = append(upstreams, &arrivals{}), append(targets, nil)
			start(i)
			evacuate(targets[i], 1, true)
		}
		var wg sync.WaitGroup
		for i := range callers {
			c := NewCaller(NewBalancer(dir, "a", uint64(i), WithColdLimit(func(string) bool { return true })), dir, metric.New())
			for j := range each {
				wg.Go(func() {
					time.Sleep(begin + time.Duration(j)*100*time.Millisecond)
					req := timedRequest(t, strconv.Itoa(i*each+j), true, time.Now().Add(5*time.Second))
					if resp, _, e := c.Do(t.Context(), req); e == nil {
						assertRan(t, resp, e)
					}
				})
			}
		}
		time.Sleep(cancelled)
		for i, u := range upstreams {
			assert.Check(t, len(u.times) == 0, "upstream %d of the evacuated zone received %d", i, len(u.times))
			evacuate(targets[i], 2, false)
		}
		time.Sleep(restarted - cancelled)
		for i := range targets {
			start(i)
			targets[i].ForgetCold(time.Now()) // its upstream has not reported to the new process yet
			evacuate(targets[i], 2, false)
		}
		wg.Wait()
		for i, u := range upstreams {
			assert.Check(t, u.mostPerSecond() <= testColdRate, "upstream %d received %d in a second", i, u.mostPerSecond())
			assert.Check(t, len(u.times) >= 2*testColdRate, "upstream %d received %d", i, len(u.times))
		}
	})
}

// Guards against a call that isn't retried after an error response because targets with cold
// upstreams returned it before: each of them would double the delay before the retry.
func TestColdTargetsDoNotDelayRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir := fakeNodes{"one": nil, "two": nil}
		c := NewCaller(NewBalancer(dir, "a", 1, WithRetryLimits(func() (float64, int) { return 1, 100 })), dir, metric.New())
		for range 20 {
			now := time.Now()
			state := &callState{req: timedRequest(t, "one", true, now.Add(15*time.Millisecond)), budget: retry.NewBudget(10)}
			for i := range 12 {
				state.tried = append(state.tried, fmt.Sprint("cold", i))
				state.coldTried++
			}
			_, ok := state.budget.Begin()
			assert.Assert(t, ok)
			_, again := c.retryErrorResponse(t.Context(), state, Candidate{ID: "one"}, &Response{Status: http.StatusInternalServerError, Body: http.NoBody})
			assert.Assert(t, again)
			assert.Assert(t, time.Since(now) <= retry.DefaultBackoff().Base)
		}
	})
}
