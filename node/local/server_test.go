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
	"dogwoodsill.org/core/model"
)

// serveLocal serves the calls of an upstream without a store and returns the address.
func serveLocal(t *testing.T, calls *chain.Table) string {
	t.Helper()
	s := New(nil, calls, nil, nil, nil, metric.New(), 32<<10)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = s.HTTP().Serve(ln) }()
	t.Cleanup(func() { _ = s.HTTP().Close() })
	return ln.Addr().String()
}

// TestRefusalBeforeEndOfBody guards against a refusal that is sent only after the body of the call.
func TestRefusalBeforeEndOfBody(t *testing.T) {
	conn, err := net.Dial("tcp", serveLocal(t, chain.NewTable()))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n")
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	assert.Assert(t, resp.StatusCode >= http.StatusBadRequest)
}

// TestPanicOfCallIsAnswered guards against a call without an answer because its handling panicked.
func TestPanicOfCallIsAnswered(t *testing.T) {
	calls := chain.NewTable()
	active := calls.Begin(t.Context(), "r", "id", model.Call{Deadline: time.Now().Add(time.Minute)})
	conn, err := net.Dial("tcp", serveLocal(t, calls)) // its store is nil, so that the handler panics
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n"+chain.CallHeader+": "+active.Token+"\r\n\r\n")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	assert.Assert(t, resp.StatusCode >= http.StatusBadRequest)
}
