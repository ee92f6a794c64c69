package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"dogwoodsill.org/core/lines"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/core/setup"
	"dogwoodsill.org/node/relay"
	"dogwoodsill.org/node/store"
)

// TestRefusalDuringBody guards against a refusal that is delayed until the
// caller has sent the rest of a body of unknown length.
func TestRefusalDuringBody(t *testing.T) {
	s := New(store.New(), Dependencies{}, metric.New(), setup.Default().Limits)
	srv := httptest.NewServer(s.HTTP().Handler)
	defer srv.Close()
	pr, pw := io.Pipe()
	go func() { _, _ = io.WriteString(pw, "first half, ") }()
	status := make(chan int, 1)
	go func() {
		resp, err := http.Post(srv.URL, "text/plain", pr)
		if err != nil {
			status <- 0
			return
		}
		_ = resp.Body.Close()
		status <- resp.StatusCode
	}()
	select {
	case got := <-status:
		assert.Equal(t, got, http.StatusServiceUnavailable)
	case <-time.After(10 * time.Second):
		t.Error("no response while the body is open")
	}
	_ = pw.Close()
}

// TestPanicIsAnswered guards against a request that gets no answer because its handling
// panicked.
func TestPanicIsAnswered(t *testing.T) {
	_, addr := newTestServer(t, func(context.Context, *relay.Request) (*relay.Response, int, *refuse.Error) {
		panic("a fault of this test only")
	})
	r, err := http.NewRequest(http.MethodPost, "http://"+addr, strings.NewReader("body"))
	assert.NilError(t, err)
	r.Host = "press.example"
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
}

// TestAbortedRequestIsLogged guards against lines about refused requests that displace those
// about requests without a complete answer.
func TestAbortedRequestIsLogged(t *testing.T) {
	var out bytes.Buffer
	refusals := lines.NewLimiter(1)
	assert.Assert(t, refusals.Allow(time.Now().Add(time.Hour)))
	s := newServer(t, func(context.Context, *relay.Request) (*relay.Response, int, *refuse.Error) {
		body := io.NopCloser(iotest.ErrReader(&relay.TruncatedError{Service: "orders"}))
		return &relay.Response{Status: http.StatusOK, ContentLength: 1, Body: body}, 0, nil
	}, WithLogger(hclog.New(&hclog.LoggerOptions{Output: &out}), refusals, lines.NewLimiter(1)))
	conn := dial(t, serve(t, s))
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: press.example\r\n\r\n")
	assert.NilError(t, err)
	_, err = io.ReadAll(conn)
	assert.NilError(t, err)
	assert.NilError(t, s.Shutdown(t.Context()))
	assert.Assert(t, cmp.Contains(out.String(), "request ended without a complete answer"))
}
