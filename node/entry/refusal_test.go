package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

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
