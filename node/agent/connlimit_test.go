package agent

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestLimitedConnsEndUploadInOrder guards against a reset in place of the end of a connection
// after a response to an upload that is not read to its end.
func TestLimitedConnsEndUploadInOrder(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	})}
	go func() { _ = srv.Serve(limitConns(ln, 10)) }()
	defer func() { _ = srv.Close() }()
	conn, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: press.example\r\nContent-Length: 1000000\r\n\r\nbody")
	assert.NilError(t, err)
	r := bufio.NewReader(conn)
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	_, err = io.WriteString(conn, "more of the body")
	assert.NilError(t, err)
	_, err = r.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}
