package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/frame"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/refuse"
)

// linkFate is what becomes of one dial of a pool.
type linkFate struct {
	err         error         // of the dial
	hangs       bool          // the peer doesn't answer the handshake
	silentAfter time.Duration // the link passes no bytes from then on; 0 for never
}

// silentConn discards all written bytes while silent is set, like a network device that lost
// the state of the connection.
type silentConn struct {
	net.Conn
	silent *atomic.Bool
}

// Write implements net.Conn.
func (c silentConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. It doesn't reach the peer while silent is set.
func (c silentConn) Close() error {
	if c.silent.Load() {
		return c.SetDeadline(time.Unix(1, 0))
	}
	return c.Conn.Close()
}

// fatedLinks is a Links with a pool for each address.
type fatedLinks map[string]*frame.Pool

// Session implements Links.
func (l fatedLinks) Session(ctx context.Context, addr string) (*frame.Session, error) {
	return l[addr].Session(ctx)
}

// newFatedLinks returns links to nodes with the given addresses and handlers. Their dials have
// the given fates in the order in which they are made, and all further ones the last.
func newFatedLinks(t *testing.T, nodes map[string]frame.Handler, fates []linkFate) fatedLinks {
	t.Helper()
	var dials atomic.Int64
	links := fatedLinks{}
	for addr, h := range nodes {
		links[addr] = newFatedPool(t, h, func() linkFate { return fates[min(int(dials.Add(1)), len(fates))-1] })
	}
	return links
}

// newFatedPool returns a pool of links to a node with the given handler.
func newFatedPool(t *testing.T, h frame.Handler, next func() linkFate) *frame.Pool {
	t.Helper()
	secret := frame.WithSecret([]byte("a secret of this test only"))
	dial := func(context.Context) (net.Conn, error) {
		fate := next()
		if fate.err != nil {
			return nil, fate.err
		}
		near, far := net.Pipe()
		silent := new(atomic.Bool)
		if fate.silentAfter > 0 {
			time.AfterFunc(fate.silentAfter, func() { silent.Store(true) })
		}
		if !fate.hangs {
			go func() {
				s, err := frame.Server(t.Context(), silentConn{far, silent}, h, frame.WithName("far"), secret)
				if err == nil {
					context.AfterFunc(t.Context(), func() { _ = s.Close() })
				}
			}()
		}
		return silentConn{near, silent}, nil
	}
	p, err := frame.NewPool(frame.WithDial(dial), frame.WithSession(frame.WithName("near"), secret))
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, p.Close()) })
	return p
}

// Times of a link that goes silent, from its dial on.
const (
	silentAfter = 1500 * time.Millisecond // between two pings
	lost        = time.Second + frame.DefaultKeepaliveTimeout
)

// errNoRoute is the error of a dial that says nothing about the process of the node.
var errNoRoute = errors.New("no route to host")

// slowUpstream returns an upstream that takes the given time.
func slowUpstream(service time.Duration) *timedUpstream {
	return &timedUpstream{respond: func(n int, req *http.Request) string {
		time.Sleep(service)
		return respondOwn(n, req)
	}}
}

// TestResumeOutlastsFailedLinks guards against a request that must not run twice and whose
// outcome is reported as unknown, though the target's node has its result and can be asked for
// it before the deadline.
func TestResumeOutlastsFailedLinks(t *testing.T) {
	silent := linkFate{silentAfter: silentAfter}
	for _, test := range []struct {
		name    string
		service time.Duration // time that the upstream takes
		timeout time.Duration // of the request
		fates   []linkFate
		failure refuse.Reason // empty if the response arrives
		within  time.Duration
	}{
		{"next link works", 5 * time.Second, 20 * time.Second, []linkFate{silent, {}}, "", 5 * time.Second},
		{"next dial fails", 5 * time.Second, 20 * time.Second, []linkFate{silent, {err: errNoRoute}, {}}, "", 5 * time.Second},
		{"two dials fail", 5 * time.Second, 20 * time.Second, []linkFate{silent, {err: errNoRoute}, {err: errNoRoute}, {}}, "", 5 * time.Second},
		{"next handshake hangs", 5 * time.Second, 20 * time.Second, []linkFate{silent, {hangs: true}, {}}, "", 7 * time.Second},
		{"next handshake hangs, response before", 2 * time.Second, 20 * time.Second, []linkFate{silent, {hangs: true}, {}}, "", 7 * time.Second},
		{"next link goes silent", 10 * time.Second, 20 * time.Second, []linkFate{silent, silent, {}}, "", 10 * time.Second},
		{"next two links go silent", 13 * time.Second, 20 * time.Second, []linkFate{silent, silent, silent, {}}, "", 13 * time.Second},
		{"the process is gone", 5 * time.Second, 20 * time.Second, []linkFate{silent, {err: syscall.ECONNREFUSED}}, refuse.UpstreamFailed, lost},
		{"no further link", 5 * time.Second, 20 * time.Second, []linkFate{silent, {err: errNoRoute}}, refuse.UpstreamFailed, lost + resumeGrace},
		{"no further link, deadline passes", 5 * time.Second, 6 * time.Second, []linkFate{silent, {err: errNoRoute}}, refuse.DeadlineExceeded, 6 * time.Second},
		{"no further link answers", 5 * time.Second, 20 * time.Second, []linkFate{silent, {hangs: true}}, refuse.UpstreamFailed, lost + resumeGrace + frame.DefaultHandshakeTimeout},
		{"all links go silent", 55 * time.Second, time.Minute, []linkFate{silent}, refuse.UpstreamFailed, lost + maxResumeTime + lost},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				deadline := began.Add(test.timeout)
				defer func() { time.Sleep(time.Until(deadline)) }() // the attempt has ended by then
				u := slowUpstream(test.service)
				target := timedTarget(t, u, func() time.Duration { return 0 })
				links := newFatedLinks(t, map[string]frame.Handler{"one": target.Serve}, test.fates)
				metrics := metric.New()
				c := NewCaller(NewBalancer(fakeNodes{"one": nil}, "a", 1), links, metrics)
				resp, _, e := c.Do(t.Context(), timedRequest(t, "one", false, deadline))
				took := time.Since(began)
				if test.failure == "" {
					assertRan(t, resp, e)
				} else {
					assert.Assert(t, e != nil && e.Reason == test.failure && e.Executed == refuse.ExecutionUnknown, "%v", e)
				}
				assert.Check(t, took <= test.within+2*resumeInterval, "%v", took)
				assert.Equal(t, metrics.Value(metric.Resumed), int64(1))
				u.assertEnds(t, 1, deadline)
			})
		})
	}
}

// TestRepeatableRequestLeavesFailedLink guards against a request that may run twice and waits for
// links to a node in place of a retry elsewhere, and against such a retry that the budget of the
// request doesn't permit.
func TestRepeatableRequestLeavesFailedLink(t *testing.T) {
	const service = 5 * time.Second
	for _, test := range []struct {
		name     string
		attempts int
		runs     int
		within   time.Duration
	}{
		{"an attempt is left", 2, 2, lost + service},
		{"no attempt is left", 1, 1, lost},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				deadline := began.Add(20 * time.Second)
				defer func() { time.Sleep(time.Until(deadline)) }()
				u := slowUpstream(service)
				nodes := map[string]frame.Handler{}
				for _, addr := range []string{"one", "two"} {
					nodes[addr] = timedTarget(t, u, func() time.Duration { return 0 }).Serve
				}
				links := newFatedLinks(t, nodes, []linkFate{{silentAfter: silentAfter}, {err: errNoRoute}, {}})
				c := NewCaller(NewBalancer(fakeNodes{"one": nil, "two": nil}, "a", 1), links, metric.New())
				req := timedRequest(t, "one", true, deadline)
				req.Call.Attempts = test.attempts
				resp, _, e := c.Do(t.Context(), req)
				took := time.Since(began)
				if test.runs > 1 {
					assertRan(t, resp, e)
				} else {
					assert.Check(t, e != nil && e.Executed == refuse.ExecutionUnknown, "%v", e)
				}
				assert.Check(t, took <= test.within+2*resumeInterval, "%v", took)
				u.assertEnds(t, test.runs, deadline)
			})
		})
	}
}

// TestMayResume guards against an attempt that is resumed when the target's node may have
// forgotten it, so that it would run twice.
func TestMayResume(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name        string
		fail        attemptError
		first, last time.Duration // since the losses
		want        bool
	}{
		{"link lost at once", attemptError{linkLost: true}, 0, 0, true},
		{"link lost late", attemptError{linkLost: true}, maxResumeTime - 1, 0, true},
		{"link lost too late", attemptError{linkLost: true}, maxResumeTime, 0, false},
		{"no stream", attemptError{noStream: true}, resumeGrace - 1, resumeGrace - 1, true},
		{"no stream for too long", attemptError{noStream: true}, resumeGrace, resumeGrace, false},
		{"no process", attemptError{noStream: true, noProcess: true}, 0, 0, false},
		{"another failure", attemptError{}, 0, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, test.fail.mayResume(now.Add(-test.first), now.Add(-test.last), now), test.want)
		})
	}
}

// claimOwner is the owner of an idempotency key. It runs a request with the key once; others join
// that execution.
type claimOwner struct {
	service time.Duration // time that the execution takes
	began   atomic.Pointer[time.Time]
	asked   atomic.Int64
}

// handler returns the handler of claim streams. Each must have the given key and deadline.
func (o *claimOwner) handler(t *testing.T, key string, deadline time.Time) frame.Handler {
	t.Helper()
	reply := replyWith(t, ReplyHead{Status: http.StatusOK, ContentLength: 3}, "ran")
	return func(s *frame.Stream) {
		now := time.Now()
		req, got, err := ReadClaim(s, now)
		if !assert.Check(t, err) || !assert.Check(t, got == key) {
			return
		}
		assert.Check(t, req.Call.Deadline.Sub(deadline) <= maxExcess)
		o.asked.Add(1)
		o.began.CompareAndSwap(nil, &now)
		time.Sleep(time.Until(o.began.Load().Add(o.service)))
		reply(s)
	}
}

// TestClaimOutlastsFailedLinks guards against a request with an idempotency key whose outcome is
// reported as unknown, though the owner of the key has it and can be asked again.
func TestClaimOutlastsFailedLinks(t *testing.T) {
	silent := linkFate{silentAfter: silentAfter}
	for _, test := range []struct {
		name       string
		repeatable bool
		fates      []linkFate
		failed     bool
		asked      int64
		within     time.Duration
	}{
		{"next link works", false, []linkFate{silent, {}}, false, 2, 5 * time.Second},
		{"next dial fails", false, []linkFate{silent, {err: errNoRoute}, {}}, false, 2, 5 * time.Second},
		{"next dial fails, repeatable", true, []linkFate{silent, {err: errNoRoute}, {}}, false, 2, 5 * time.Second},
		{"next handshake hangs", false, []linkFate{silent, {hangs: true}, {}}, false, 2, lost + 2*time.Second},
		{"the process is gone", false, []linkFate{silent, {err: syscall.ECONNREFUSED}}, true, 1, lost},
		{"no further link", false, []linkFate{silent, {err: errNoRoute}}, true, 1, lost + resumeGrace},
		{"no link", false, []linkFate{{err: errNoRoute}}, true, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				deadline := began.Add(20 * time.Second)
				defer func() { time.Sleep(time.Until(deadline)) }()
				owner := &claimOwner{service: 5 * time.Second}
				links := newFatedLinks(t, map[string]frame.Handler{"one": owner.handler(t, "key", deadline)}, test.fates)
				c := NewCaller(NewBalancer(fakeNodes{}, "a", 1), links, metric.New())
				resp, _, sent, e := c.Forward(t.Context(), timedRequest(t, "one", test.repeatable, deadline), "key", "one")
				took := time.Since(began)
				if test.failed {
					assert.Check(t, e != nil && e.Reason == refuse.UpstreamFailed, "%v", e)
					assert.Check(t, sent == (test.asked > 0))
				} else {
					assertRan(t, resp, e)
				}
				assert.Check(t, took <= test.within+2*resumeInterval, "%v", took)
				assert.Equal(t, owner.asked.Load(), test.asked)
			})
		})
	}
}
