package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/setup"
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
