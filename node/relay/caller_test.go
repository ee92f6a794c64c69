package relay

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/frame"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/refuse"
)

// fakeNodes maps the address of each target of a service to a session to its
// node. It implements Directory and Links.
type fakeNodes map[string]*frame.Session

// Candidates implements Directory.
func (n fakeNodes) Candidates(string) ([]Candidate, uint64) {
	var out []Candidate
	for addr := range n {
		out = append(out, Candidate{ID: addr, Instance: addr, Addr: addr, Zone: "a", Slots: 10, State: Ready})
	}
	return out, 1
}

// Session implements Links.
func (n fakeNodes) Session(_ context.Context, addr string) (*frame.Session, error) {
	return n[addr], nil
}

// replyWith returns a handler that sends the same reply to every call, with the given fields of a
// trailer, if any.
func replyWith(t *testing.T, h ReplyHead, body string, fields ...http.Header) frame.Handler {
	t.Helper()
	return func(s *frame.Stream) {
		head, err := pack(h)
		assert.Check(t, err)
		end := ReplyTrailer{Complete: true}
		if len(fields) > 0 {
			end.Trailer = fields[0]
		}
		trailer, err := pack(end)
		assert.Check(t, err)
		if s.SendHead(head) == nil {
			_, _ = s.Write([]byte(body))
			_ = s.CloseWrite(trailer)
		}
	}
}

// TestRescue guards against returning the refusal of a retry in place of the error
// response to the first attempt.
func TestRescue(t *testing.T) {
	const broken = "the ledger is broken"
	failing := ReplyHead{Status: http.StatusInternalServerError, ContentLength: int64(len(broken))}
	full := ReplyHead{Refusal: refuse.New(refuse.Overloaded, "full").WithRetryAfter(time.Second)}
	good := ReplyHead{Status: http.StatusOK, ContentLength: 2}
	for _, test := range []struct {
		name   string
		second ReplyHead
		body   string
		status int
	}{
		{"repeat refused", full, "", http.StatusInternalServerError},
		{"repeat broken", failing, broken, http.StatusInternalServerError},
		{"repeat good", good, "ok", http.StatusOK},
	} {
		t.Run(test.name, func(t *testing.T) {
			var calls int
			handler := func(s *frame.Stream) {
				calls++ // calls are sequential
				if calls == 1 {
					replyWith(t, failing, broken)(s)
					return
				}
				replyWith(t, test.second, test.body)(s)
			}
			dir := fakeNodes{"one": newSession(t, handler), "two": newSession(t, handler)}
			c := NewCaller(NewBalancer(dir, "a", 1), dir, metric.New())
			body, err := NewBody(http.NoBody, 0, func() http.Header { return nil })
			assert.NilError(t, err)
			resp, _, e := c.Do(t.Context(), &Request{
				Service: "s", Method: http.MethodGet, URI: "/", Body: body, Repeatable: true,
				Call: model.Call{Attempts: 4, Deadline: time.Now().Add(10 * time.Second)},
			})
			assert.Assert(t, e == nil, "%v", e)
			data, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, resp.Status, test.status)
			assert.Equal(t, int64(len(data)), resp.ContentLength)
			assert.Assert(t, calls > 1)
		})
	}
}

// TestMalformedReply guards against a reply of another node that is passed on although it holds
// what no upstream may send.
func TestMalformedReply(t *testing.T) {
	for _, test := range []struct {
		name    string
		head    ReplyHead
		trailer http.Header
		ok      bool
	}{
		{"valid", ReplyHead{Status: 200, Header: http.Header{"X-Name": {"1"}}}, http.Header{"X-End": {"1"}}, true},
		{"no status", ReplyHead{}, nil, false},
		{"interim status", ReplyHead{Status: 103}, nil, false},
		{"status 999", ReplyHead{Status: 999}, nil, false},
		{"space in a field name", ReplyHead{Status: 200, Header: http.Header{"Content-Length ": {"2"}}}, nil, false},
		{"control byte in a field name", ReplyHead{Status: 200, Header: http.Header{"X-\x01": {"1"}}}, nil, false},
		{"space in a trailer", ReplyHead{Status: 200}, http.Header{"X End": {"1"}}, false},
	} {
		for _, key := range []string{"", "key"} {
			t.Run(test.name+map[string]string{"": ", call", "key": ", claim"}[key], func(t *testing.T) {
				test.head.ContentLength = 2
				nodes := fakeNodes{"one": newSession(t, replyWith(t, test.head, "ok", test.trailer))}
				c := NewCaller(NewBalancer(nodes, "a", 1), nodes, metric.New())
				body, err := NewBody(http.NoBody, 0, nil)
				assert.NilError(t, err)
				req := &Request{Service: "s", Method: http.MethodGet, URI: "/", Body: body, Call: model.Call{Attempts: 1, Deadline: time.Now().Add(10 * time.Second)}}
				var resp *Response
				var e *refuse.Error
				if key == "" {
					resp, _, e = c.Do(t.Context(), req)
				} else {
					resp, _, _, e = c.Forward(t.Context(), req, key, "one")
				}
				if e == nil {
					_, err = io.ReadAll(resp.Body)
				}
				assert.Equal(t, e == nil && err == nil, test.ok, "%v %v", e, err)
				assert.Assert(t, e == nil || e.Executed == refuse.ExecutionUnknown, "%v", e)
			})
		}
	}
}

// TestHeaderBetweenNodesIsBounded guards against a request whose header fits the limit for
// callers and not that between nodes, and that is refused as if nodes were unreachable.
func TestHeaderBetweenNodesIsBounded(t *testing.T) {
	nodes := fakeNodes{"127.0.0.1:1": newSession(t, replyWith(t, ReplyHead{Status: http.StatusOK}, ""))}
	c := NewCaller(NewBalancer(nodes, "z", 1), nodes, metric.New())
	req := &Request{Header: http.Header{"X-Long": {strings.Repeat("x", frame.MaxHeadBytes)}}, Call: model.Call{Deadline: time.Now().Add(time.Second)}}
	_, fail := c.open(t.Context(), "127.0.0.1:1", KindCall, newCallHead(req, Candidate{}, 1))
	assert.Assert(t, fail != nil)
	assert.Equal(t, fail.refusal.Reason, refuse.HeaderTooLarge)
	assert.Equal(t, fail.refusal.Executed, refuse.NotExecuted)
}
