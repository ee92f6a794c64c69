package cli

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
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
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = ln.Close() }()
			go func() {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: 2\r\n\r\n{}", test.length)
				}
			}()
			var out, errOut bytes.Buffer
			cmds.Run(t.Context(), []string{"status", "--nodes", ln.Addr().String()}, &out, &errOut)
			refused := strings.Contains(out.String()+errOut.String(), "malformed HTTP response")
			assert.Equal(t, refused, !test.ok, "%s%s", out.String(), errOut.String())
		})
	}
}
