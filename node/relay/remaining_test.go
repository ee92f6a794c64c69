package relay

import (
	"bufio"
	"context"
	"io"
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
	"dogwoodsill.org/core/chain"
	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/frame"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/core/super"
	"dogwoodsill.org/node/store"
)

// maxExcess is by how much the time that an upstream is given may exceed what its caller has left.
const maxExcess = 500 * time.Millisecond

// statingProtocol is an idProtocol that states the remaining time.
type statingProtocol struct{ idProtocol }

// SetHeaders implements Protocol.
func (p statingProtocol) SetHeaders(h http.Header, call *CallHead, up Upstream, token string, left time.Duration) {
	p.idProtocol.SetHeaders(h, call, up, token, left)
	defaultProtocol{}.SetHeaders(h, call, up, token, left)
}

// timedUpstream records the end of the time that each request states.
type timedUpstream struct {
	respond func(n int, req *http.Request) string // to the request with a number from 1

	mu   sync.Mutex
	ends []time.Time
}

func (u *timedUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	for r := bufio.NewReader(conn); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		ms, err := strconv.ParseInt(req.Header.Get(chain.DeadlineHeader), 10, 64)
		if err != nil {
			return
		}
		u.mu.Lock()
		u.ends = append(u.ends, time.Now().Add(time.Duration(ms)*time.Millisecond))
		n := len(u.ends)
		u.mu.Unlock()
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if _, err := io.WriteString(conn, u.respond(n, req)); err != nil {
			return
		}
	}
}

// respondWith returns a response that states an identifier.
func respondWith(id string) string {
	return "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n" + testIDHeader + ": " + id + "\r\n\r\nran"
}

// respondOwn returns the response to a request.
func respondOwn(_ int, req *http.Request) string {
	return respondWith(req.Header.Get(testIDHeader))
}

// timedTarget returns a target with the given upstream. Each connection to it takes the
// time that dialTime returns.
func timedTarget(t *testing.T, u *timedUpstream, dialTime func() time.Duration) *Target {
	t.Helper()
	st := store.New()
	st.ApplySnapshot(&config.Snapshot{Offset: 1}, boot.Now(), boot.Now())
	target := NewTarget(1, st, chain.NewTable(), NewBalancer(noTargets{}, "a", 1), metric.New(), func() {}, WithProtocol(statingProtocol{}))
	t.Cleanup(target.Close)
	dial := func(context.Context, string, string) (net.Conn, error) {
		if !super.Pause(t.Context(), dialTime()) {
			return nil, t.Context().Err()
		}
		near, far := net.Pipe()
		go u.serve(far)
		return newUpstreamConn(near), nil
	}
	target.client.kept.DialContext, target.client.fresh.DialContext = dial, dial
	target.Announce(Upstream{Service: "s", Addr: "127.0.0.1:1", State: Ready, TTLMS: time.Minute.Milliseconds()}, time.Now())
	return target
}

// timedRequest returns a request with the given identifier and deadline.
func timedRequest(t *testing.T, id string, repeatable bool, deadline time.Time) *Request {
	t.Helper()
	body, err := NewBody(http.NoBody, 0, func() http.Header { return nil })
	assert.NilError(t, err)
	return &Request{
		Service: "s", Method: http.MethodGet, URI: "/", Body: body, RequestID: id, Repeatable: repeatable,
		Call: model.Call{Attempts: 1, Deadline: deadline},
	}
}

// assertRan asserts that a response is that of the upstream.
func assertRan(t *testing.T, resp *Response, e *refuse.Error) {
	t.Helper()
	assert.Assert(t, e == nil, "%v", e)
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, string(data), "ran")
}

// assertEnds asserts that no request states a time that ends later than its deadline.
func (u *timedUpstream) assertEnds(t *testing.T, requests int, deadline time.Time) {
	t.Helper()
	u.mu.Lock()
	defer u.mu.Unlock()
	assert.Equal(t, len(u.ends), requests)
	for i, end := range u.ends {
		assert.Check(t, end.Sub(deadline) <= maxExcess, "request %d states %v too much", i+1, end.Sub(deadline))
	}
}

// TestRepeatStatesRemainingTime guards against a request that is sent once more with the time
// that was left when it was sent first.
func TestRepeatStatesRemainingTime(t *testing.T) {
	for _, test := range []struct {
		name  string
		first string // response to the first sending
	}{
		{"malformed response", "bytes of no response\r\n\r\n"},
		{"response to another request", respondWith("other")},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				deadline := time.Now().Add(5 * time.Second)
				u := &timedUpstream{respond: func(n int, req *http.Request) string {
					if n > 1 {
						return respondOwn(n, req)
					}
					time.Sleep(2 * time.Second)
					return test.first
				}}
				target := timedTarget(t, u, func() time.Duration { return 0 })
				dir := fakeNodes{"one": newSession(t, target.Serve)}
				c := NewCaller(NewBalancer(dir, "a", 1), dir, metric.New())
				resp, _, e := c.Do(t.Context(), timedRequest(t, "one", true, deadline))
				assertRan(t, resp, e)
				u.assertEnds(t, 2, deadline)
			})
		})
	}
}

// TestSlowDialUsesRemainingTime guards against a request that states the time which was left
// before its connection was made.
func TestSlowDialUsesRemainingTime(t *testing.T) {
	for _, test := range []struct {
		name       string
		repeatable bool
	}{
		{"kept connection", true},
		{"connection of its own", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				deadline := time.Now().Add(5 * time.Second)
				u := &timedUpstream{respond: respondOwn}
				target := timedTarget(t, u, func() time.Duration { return dialTimeout })
				dir := fakeNodes{"one": newSession(t, target.Serve)}
				c := NewCaller(NewBalancer(dir, "a", 1), dir, metric.New())
				resp, _, e := c.Do(t.Context(), timedRequest(t, "one", test.repeatable, deadline))
				assertRan(t, resp, e)
				u.assertEnds(t, 1, deadline)
			})
		})
	}
}

// TestConnectionOfAnotherDial guards against a request that states the time which was left
// before it got the connection that was made for another one.
func TestConnectionOfAnotherDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 8
		deadline := time.Now().Add(5 * time.Second)
		u := &timedUpstream{respond: func(n int, req *http.Request) string {
			time.Sleep(100 * time.Millisecond)
			return respondOwn(n, req)
		}}
		var dials atomic.Int64
		target := timedTarget(t, u, func() time.Duration {
			if dials.Add(1) == 1 {
				return 0
			}
			return dialTimeout
		})
		dir := fakeNodes{"one": newSession(t, target.Serve)}
		c := NewCaller(NewBalancer(dir, "a", 1), dir, metric.New())
		var wg sync.WaitGroup
		for i := range requests {
			wg.Go(func() {
				resp, _, e := c.Do(t.Context(), timedRequest(t, strconv.Itoa(i), true, deadline))
				assertRan(t, resp, e)
			})
		}
		wg.Wait()
		u.assertEnds(t, requests, deadline)
	})
}

// TestNoRepeatAfterDeadline guards against a request that is sent once more when its caller
// no longer waits.
func TestNoRepeatAfterDeadline(t *testing.T) {
	now := time.Now()
	target := NewTarget(1, store.New(), chain.NewTable(), NewBalancer(noTargets{}, "a", 1), metric.New(), func() {})
	for _, test := range []struct {
		name string
		left time.Duration
		want bool
	}{
		{"time is left", time.Millisecond, true},
		{"at the deadline", 0, false},
		{"after the deadline", -time.Millisecond, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := &upstreamCall{target: target, head: &CallHead{Repeatable: true, Call: model.Call{Deadline: now.Add(test.left)}}}
			assert.Equal(t, c.mayRepeat(now), test.want)
			if test.want {
				return
			}
			_, e := c.repeat(Upstream{}, nil, nil, c.refusalFor(ResponseMismatched))
			assert.Equal(t, e.Executed, refuse.ExecutionUnknown)
		})
	}
}

// slowLinks is a Links whose sessions are available only after a time. Each is returned once.
type slowLinks struct {
	wait     time.Duration
	sessions chan *frame.Session
}

// Session implements Links.
func (l slowLinks) Session(context.Context, string) (*frame.Session, error) {
	time.Sleep(l.wait)
	return <-l.sessions, nil
}

// TestWaitForLinkUsesRemainingTime guards against a call that states the time which was left
// before there was a link to the node that it is sent to.
func TestWaitForLinkUsesRemainingTime(t *testing.T) {
	do := func(ctx context.Context, c *Caller, req *Request) (*Response, *refuse.Error) {
		resp, _, e := c.Do(ctx, req)
		return resp, e
	}
	forward := func(ctx context.Context, c *Caller, req *Request) (*Response, *refuse.Error) {
		resp, _, _, e := c.Forward(ctx, req, "key", "one")
		return resp, e
	}
	for _, test := range []struct {
		name string
		lost bool // the first link is lost after the call was sent on it
		send func(ctx context.Context, c *Caller, req *Request) (*Response, *refuse.Error)
	}{
		{"call", false, do},
		{"resumed call", true, do},
		{"claim", false, forward},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				deadline := time.Now().Add(10 * time.Second)
				links := slowLinks{frame.DefaultDialTimeout, make(chan *frame.Session, 2)}
				if test.lost {
					var lost *frame.Session
					lost = newSession(t, func(*frame.Stream) { assert.Check(t, lost.Close()) })
					links.sessions <- lost
				}
				excess := make(chan time.Duration, 1)
				reply := replyWith(t, ReplyHead{Status: http.StatusOK, ContentLength: 3}, "ran")
				session := newSession(t, func(s *frame.Stream) {
					h, err := unpack[CallHead](s.Head())
					assert.Check(t, err)
					assert.Check(t, h.Resume == test.lost)
					excess <- h.deadline(time.Now()).Sub(deadline)
					reply(s)
				})
				links.sessions <- session
				c := NewCaller(NewBalancer(fakeNodes{"one": session}, "a", 1), links, metric.New())
				resp, e := test.send(t.Context(), c, timedRequest(t, "one", true, deadline))
				assertRan(t, resp, e)
				tooMuch := <-excess
				assert.Assert(t, tooMuch <= maxExcess, "%v too much", tooMuch)
			})
		})
	}
}

// TestInvalidHeaderIsNotSent guards against a header of the protocol that is set only after
// net/http has validated the request, so that its line ends make up further headers.
func TestInvalidHeaderIsNotSent(t *testing.T) {
	for _, test := range []struct {
		id   string // which the protocol sets as a header
		sent int
	}{
		{"one", 1},
		{"one\r\nForged: 1", 0},
		{"one\nForged: 1", 0},
		{"one\x00", 0},
	} {
		t.Run(strconv.Quote(test.id), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				deadline := time.Now().Add(5 * time.Second)
				u := &timedUpstream{respond: respondOwn}
				var dials atomic.Int64
				target := timedTarget(t, u, func() time.Duration {
					dials.Add(1)
					return 0
				})
				dir := fakeNodes{"one": newSession(t, target.Serve)}
				c := NewCaller(NewBalancer(dir, "a", 1), dir, metric.New())
				resp, _, e := c.Do(t.Context(), timedRequest(t, test.id, false, deadline))
				assert.Equal(t, dials.Load(), int64(test.sent))
				u.assertEnds(t, test.sent, deadline)
				if test.sent > 0 {
					assertRan(t, resp, e)
					return
				}
				assert.Assert(t, e != nil && e.Executed == refuse.NotExecuted, "%v", e)
			})
		})
	}
}
