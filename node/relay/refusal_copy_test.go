package relay

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/boot"
	"dogwoodsill.org/core/chain"
	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/node/store"
)

// Headers of idProtocol and the path of requests that refusingUpstream refuses.
const (
	testIDHeader      = "Test-Id"
	testRefusedHeader = "Test-Refused"
	refusedPath       = "/refused"
	garbledPath       = "/garbled"
)

// idProtocol is a Protocol in which responses state the identifier of their request.
type idProtocol struct{ defaultProtocol }

// SetHeaders implements Protocol.
func (idProtocol) SetHeaders(h http.Header, call *CallHead, _ Upstream, _ string, _ time.Duration) {
	h.Set(testIDHeader, call.RequestID)
}

// ClassifyResponse implements Protocol.
func (p idProtocol) ClassifyResponse(call *CallHead, resp *http.Response) ResponseClass {
	switch {
	case p.ResponseID(resp) != call.RequestID:
		return ResponseMismatched
	case resp.Header.Get(testRefusedHeader) != "":
		return ResponseNotExecuted
	default:
		return ResponseValid
	}
}

// ResponseID implements Protocol.
func (idProtocol) ResponseID(resp *http.Response) string { return resp.Header.Get(testIDHeader) }

// Ways in which refusingUpstream refuses.
const (
	refusePlainly = "plain"
	refuseInterim = "after a 1xx response"
	refuseClosing = "with Connection: close"
	refuseEarly   = "before reading the body"
	refuseOnce    = "without a second copy"
)

// refusingUpstream refuses the requests with refusedPath without running them, and writes
// each refusal once more when its connection is used again. A request with garbledPath is
// refused on a new connection; on a used one it runs, and its response can't be read.
type refusingUpstream struct {
	status int
	how    string
	ran    atomic.Int64 // number of requests that ran
	conns  atomic.Int64 // number of connections that were opened
}

// refusal returns the refusal of the request with the given header line.
func (u *refusingUpstream) refusal(idLine string) string {
	head := fmt.Sprintf("HTTP/1.1 %d Refused\r\nContent-Length: 0\r\n%s: 1\r\n%s", u.status, testRefusedHeader, idLine)
	switch u.how {
	case refuseInterim:
		head = "HTTP/1.1 103 Early Hints\r\n" + idLine + "\r\n" + head
	case refuseClosing:
		head += "Connection: close\r\n"
	}
	return head + "\r\n"
}

func (u *refusingUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	u.conns.Add(1)
	r, late := bufio.NewReader(conn), ""
	for used := false; ; used = true {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := testIDHeader + ": " + req.Header.Get(testIDHeader) + "\r\n"
		out := late + "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n" + id + "\r\nran"
		late = ""
		switch {
		case req.URL.Path == refusedPath, req.URL.Path == garbledPath && !used:
			out = u.refusal(id)
			if u.how != refuseOnce {
				late = out
			}
		case req.URL.Path == garbledPath:
			u.ran.Add(1)
			out = "bytes of no response\r\n\r\n"
		default:
			u.ran.Add(1)
		}
		if u.how == refuseEarly {
			_, err = io.WriteString(conn, out)
			out = ""
		}
		if err == nil {
			_, err = io.Copy(io.Discard, req.Body)
		}
		if err == nil {
			_, err = io.WriteString(conn, out)
		}
		if err != nil {
			return
		}
	}
}

// callerToUpstream returns a caller whose only target has the given upstream.
func callerToUpstream(t *testing.T, u *refusingUpstream, opts ...TargetOption) *Caller {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	st := store.New()
	st.ApplySnapshot(&config.Snapshot{Offset: 1}, boot.Now(), boot.Now())
	target := NewTarget(1, st, chain.NewTable(), NewBalancer(noTargets{}, "a", 1), metric.New(), func() {}, opts...)
	t.Cleanup(target.Close)
	target.Announce(Upstream{Service: "s", Addr: ln.Addr().String(), State: Ready, TTLMS: time.Minute.Milliseconds()}, time.Now())
	dir := fakeNodes{"one": newSession(t, target.Serve)}
	return NewCaller(NewBalancer(dir, "a", 1), dir, metric.New())
}

// TestRefusalSentTwice guards against an earlier refusal that is taken for that of a request
// which the upstream runs, so that the request is reported as not executed.
func TestRefusalSentTwice(t *testing.T) {
	const (
		ran     = "ran"
		unknown = "unknown" // a refusal that doesn't state that the request was not executed
		refused = "refused" // the copy, as the response of the upstream
	)
	for _, test := range []struct {
		name       string
		protocol   Protocol
		repeatable bool
		body       string
		length     int64 // of the body; -1 if it is sent in chunks
		sameID     bool
		want       string
	}{
		{"must not run twice", defaultProtocol{}, false, "", 0, false, ran},
		{"must not run twice, with a body", defaultProtocol{}, false, "body", 4, false, ran},
		{"must not run twice, in chunks", defaultProtocol{}, false, "body", -1, false, ran},
		{"may run again", defaultProtocol{}, true, "", 0, false, refused},
		{"identified, must not run twice", idProtocol{}, false, "", 0, false, ran},
		{"identified, must not run twice, with a body", idProtocol{}, false, "body", 4, true, ran},
		{"identified, must not run twice, in chunks", idProtocol{}, false, "body", -1, true, ran},
		{"identified, may run again", idProtocol{}, true, "", 0, false, ran},
		{"identified, may run again, same identifier", idProtocol{}, true, "", 0, true, ran},
		{"identified, may run again, with a body", idProtocol{}, true, "body", 4, false, unknown},
		{"identified, may run again, with a body, same identifier", idProtocol{}, true, "body", 4, true, unknown},
		{"identified, may run again, in chunks, same identifier", idProtocol{}, true, "body", -1, true, unknown},
	} {
		for _, how := range []string{refusePlainly, refuseInterim, refuseClosing, refuseEarly} {
			for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests} {
				t.Run(fmt.Sprint(test.name, "/", how, "/", status), func(t *testing.T) {
					want := test.want
					if how == refuseClosing {
						want = ran // the connection is not used again
					}
					u := &refusingUpstream{status: status, how: how}
					c := callerToUpstream(t, u, WithProtocol(test.protocol))
					do := func(id, path string) (*Response, *refuse.Error) {
						body, err := NewBody(bytes.NewReader([]byte(test.body)), test.length, nil)
						assert.NilError(t, err)
						resp, _, e := c.Do(t.Context(), &Request{
							Service: "s", Method: http.MethodPost, URI: path, Body: body, ContentLength: test.length, RequestID: id, Repeatable: test.repeatable,
							Call: model.Call{Attempts: 2, Deadline: time.Now().Add(10 * time.Second)},
						})
						return resp, e
					}
					first, e := do("one", refusedPath)
					if first != nil {
						assert.NilError(t, first.Body.Close())
					}
					assert.Assert(t, e != nil || first.Status == status)
					assert.Equal(t, u.ran.Load(), int64(0))

					id := "two"
					if test.sameID {
						id = "one"
					}
					resp, e := do(id, "/")
					switch want {
					case unknown:
						assert.Assert(t, e != nil && e.Executed == refuse.ExecutionUnknown, "%v", e)
					case refused:
						assert.Assert(t, e == nil, "%v", e)
						assert.Equal(t, resp.Status, status)
					default:
						assert.Assert(t, e == nil, "%v", e)
						data, err := io.ReadAll(resp.Body)
						assert.NilError(t, err)
						assert.Equal(t, string(data), ran)
					}
					if !test.repeatable {
						assert.Equal(t, u.ran.Load(), int64(1))
					}
					assert.Assert(t, u.ran.Load() > 0)
				})
			}
		}
	}
}

// TestRefusalOfRepeat guards against a request that is reported as not executed because the
// upstream refused its repeat, though it runs the request as it was sent first.
func TestRefusalOfRepeat(t *testing.T) {
	u := &refusingUpstream{status: http.StatusServiceUnavailable, how: refuseOnce}
	c := callerToUpstream(t, u, WithProtocol(idProtocol{}))
	do := func(path string) (*Response, *refuse.Error) {
		body, err := NewBody(http.NoBody, 0, nil)
		assert.NilError(t, err)
		resp, _, e := c.Do(t.Context(), &Request{
			Service: "s", Method: http.MethodGet, URI: path, Body: body, RequestID: path, Repeatable: true,
			Call: model.Call{Attempts: 2, Deadline: time.Now().Add(10 * time.Second)},
		})
		return resp, e
	}
	first, e := do("/")
	assert.Assert(t, e == nil, "%v", e)
	_, err := io.Copy(io.Discard, first.Body)
	assert.NilError(t, err)
	assert.NilError(t, first.Body.Close())
	_, e = do(garbledPath)
	assert.Assert(t, e != nil && e.Executed == refuse.ExecutionUnknown, "%v", e)
	assert.Equal(t, u.ran.Load(), int64(2))
	assert.Equal(t, u.conns.Load(), int64(2))
}

// TestRefusalsKeepConnection guards against a new connection for each refusal of an upstream
// that is full.
func TestRefusalsKeepConnection(t *testing.T) {
	u := &refusingUpstream{status: http.StatusServiceUnavailable, how: refuseOnce}
	c := callerToUpstream(t, u, WithProtocol(idProtocol{}))
	for i := range 2 * maxRememberedRefusals {
		body, err := NewBody(http.NoBody, 0, nil)
		assert.NilError(t, err)
		_, _, e := c.Do(t.Context(), &Request{
			Service: "s", Method: http.MethodGet, URI: refusedPath, Body: body, RequestID: fmt.Sprint(i), Repeatable: true,
			Call: model.Call{Attempts: 2, Deadline: time.Now().Add(10 * time.Second)},
		})
		assert.Assert(t, e != nil && e.Executed == refuse.NotExecuted, "%v", e)
	}
	assert.Equal(t, u.conns.Load(), int64(1))
}

// TestRefusalsOfConnection guards against a connection whose memory of refusals grows without
// bound, or loses the latest ones.
func TestRefusalsOfConnection(t *testing.T) {
	var c upstreamConn
	for i := range 4 * maxRememberedRefusals {
		assert.Assert(t, c.recordRefusal(fmt.Sprint(i)))
		assert.Assert(t, !c.recordRefusal(fmt.Sprint(i)))
	}
	assert.Equal(t, len(c.refused), maxRememberedRefusals)
}
