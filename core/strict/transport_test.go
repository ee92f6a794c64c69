package strict

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// TestClient checks a client on a kept connection, whose first response is valid.
func TestClient(t *testing.T) {
	const valid = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nX : 1"
	for _, test := range []struct{ name, second string }{
		{"valid", valid},
		{"field", "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\n12345"},
		{"field of an interim response", "HTTP/1.1 103 Early Hints\r\nX : 1\r\n\r\n" + valid},
		{"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\nX : 1\r\n\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, rw, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, _ = io.WriteString(conn, valid)
				if _, err := http.ReadRequest(rw.Reader); err == nil {
					_, _ = io.WriteString(conn, test.second)
				}
			}))
			defer server.Close()
			client := NewClient()
			defer client.CloseIdleConnections()
			get := func() error {
				resp, err := client.Post(server.URL, "", nil)
				if err != nil {
					return err
				}
				_, err = io.Copy(io.Discard, resp.Body)
				return errors.Join(err, resp.Body.Close())
			}
			assert.NilError(t, get())
			err := get()
			var malformed *MalformedError
			assert.Equal(t, errors.As(err, &malformed), test.second != valid, "%v", err)
			assert.Equal(t, err == nil, test.second == valid)
		})
	}
}
