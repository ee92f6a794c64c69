package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/boot"
	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/refuse"
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
		return &upstreamConn{Conn: near}, nil
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
