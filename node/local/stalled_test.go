package local

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/chain"
	"dogwoodsill.org/core/metric"
)

// TestStalledCallIsRefused guards against a call that gets no refusal because its upstream doesn't
// send the rest of the body.
func TestStalledCallIsRefused(t *testing.T) {
	for _, test := range []struct{ name, header string }{
		{"chunked", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"},
		{"known length", "Content-Length: 1000\r\n\r\nbody"},
		{"large", "Content-Length: 1000000\r\n\r\nbody"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := New(nil, chain.NewTable(), nil, nil, nil, metric.New(), 32<<10)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			go func() { _ = s.Serve(ln) }()
			defer func() { _ = s.HTTP().Close() }()
			conn, err := net.Dial("tcp", ln.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\n"+test.header)
			assert.NilError(t, err)
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
			r := bufio.NewReader(conn)
			resp, err := http.ReadResponse(r, nil)
			assert.NilError(t, err, "no refusal")
			_, err = io.Copy(io.Discard, resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusForbidden)
			_, err = r.ReadByte()
			assert.ErrorIs(t, err, io.EOF)
		})
	}
}
