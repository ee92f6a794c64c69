package agent

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/logsvc"
)

// TestBrokenLogResponses guards against a malformed response of the log service that is taken for
// the outcome of an append.
func TestBrokenLogResponses(t *testing.T) {
	for _, test := range []struct {
		name, length string
		ok           bool
	}{
		{"valid", "Content-Length", true},
		{"space", "Content-Length ", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: 11\r\n\r\n{\"first\":7}", test.length)
					_ = conn.Close()
				}
			}))
			defer server.Close()
			client := newLogHTTPClient(time.Second)
			defer client.CloseIdleConnections()
			_, err := logsvc.NewClient(server.URL, client).Append(t.Context(), "config", []byte("record"))
			assert.Equal(t, err == nil, test.ok, "%v", err)
		})
	}
}
