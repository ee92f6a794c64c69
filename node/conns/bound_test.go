package conns

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// TestBoundListener guards against clients that open connections without limit, and against a
// client with a short request that finds no room beside them.
func TestBoundListener(t *testing.T) {
	const limit = 4
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := LimitControl(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })})
	bound := Bound(ln, limit, hclog.NewNullLogger()).(*boundListener)
	go func() { _ = srv.Serve(bound) }()
	defer func() { _ = srv.Close() }()
	var silent []net.Conn
	for range 5 * limit {
		c, err := net.Dial("tcp", ln.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
		silent = append(silent, c)
	}
	_, err = silent[0].Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	resp, err := http.Get("http://" + ln.Addr().String())
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusNoContent)
	bound.mu.Lock()
	defer bound.mu.Unlock()
	assert.Assert(t, len(bound.open) <= limit, "%d connections", len(bound.open))
}
