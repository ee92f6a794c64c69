package entry

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/node/relay"
)

// TestLastResponseBeforeFurtherRequests guards against a response that is cut off because it is the
// last one of its connection and further requests were sent behind its own.
func TestLastResponseBeforeFurtherRequests(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: press.example\r\n\r\n"
	body := bytes.Repeat([]byte("x"), 1<<20)
	began, release := make(chan struct{}, 3), make(chan struct{})
	s := newServer(t, func(context.Context, *relay.Request) (*relay.Response, int, *refuse.Error) {
		began <- struct{}{}
		<-release
		resp := okResponse()
		resp.ContentLength, resp.Body = int64(len(body)), io.NopCloser(bytes.NewReader(body))
		return resp, 0, nil
	})
	addr := serve(t, s)
	conn := dial(t, addr)
	assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(64<<10))
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err := io.WriteString(conn, request)
	assert.NilError(t, err)
	<-began
	_, err = io.WriteString(conn, request+request)
	assert.NilError(t, err)
	s.StopKeepAlives()
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(t.Context()) }()
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Assert(t, resp.Close)
	got, err := io.ReadAll(resp.Body)
	assert.NilError(t, err, "%d of %d bytes", len(got), len(body))
	assert.Assert(t, bytes.Equal(got, body))
	assert.Equal(t, len(began), 0, "requests passed on after the last response")
	assert.NilError(t, conn.Close())
	assert.NilError(t, <-stopped)
}
