package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
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
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = ln.Close() }()
			go func() {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.Copy(io.Discard, req.Body)
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: 11\r\n\r\n{\"first\":7}", test.length)
				}
			}()
			client := newLogHTTPClient(time.Second)
			defer client.CloseIdleConnections()
			_, err = logsvc.NewClient("http://"+ln.Addr().String(), client).Append(t.Context(), "config", []byte("record"))
			assert.Equal(t, err == nil, test.ok, "%v", err)
		})
	}
}
