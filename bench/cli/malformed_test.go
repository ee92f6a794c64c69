package cli

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/admin/cmds"
)

// TestMalformedStatus guards against a malformed response of a node that is shown as its status.
func TestMalformedStatus(t *testing.T) {
	for _, test := range []struct {
		length string
		ok     bool
	}{
		{"Content-Length", true},
		{"Content-Length ", false},
	} {
		t.Run(fmt.Sprintf("%q", test.length), func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: 2\r\n\r\n{}", test.length)
					_ = conn.Close()
				}
			}))
			defer server.Close()
			var out, errOut bytes.Buffer
			cmds.Run(t.Context(), []string{"status", "--nodes", server.Listener.Addr().String()}, &out, &errOut)
			refused := strings.Contains(out.String()+errOut.String(), "malformed HTTP response")
			assert.Equal(t, refused, !test.ok, "%s%s", out.String(), errOut.String())
		})
	}
}
