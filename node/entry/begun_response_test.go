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
	"gotest.tools/v3/poll"

	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/node/relay"
)

// TestBegunResponseBeforeFurtherRequests guards against a response that is cut off because it began
// before a shutdown, so that it can't announce that it is the last one of its connection.
func TestBegunResponseBeforeFurtherRequests(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: press.example\r\n\r\n"
	const size = 1 << 20
	began := make(chan struct{}, 3)
	r, w := io.Pipe()
	s := newServer(t, func(context.Context, *relay.Request) (*relay.Response, int, *refuse.Error) {
		began <- struct{}{}
		resp := okResponse()
		resp.ContentLength, resp.Body = size, r
		return resp, 0, nil
	})
	conn := dial(t, serve(t, s))
	assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(64<<10))
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err := io.WriteString(conn, request)
	assert.NilError(t, err)
	_, err = w.Write(make([]byte, 64<<10))
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	_, err = io.WriteString(conn, request+request)
	assert.NilError(t, err)
	s.StopKeepAlives()
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(t.Context()) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !s.IsStopping() {
			return poll.Continue("not stopping")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	go func() {
		_, _ = w.Write(bytes.Repeat([]byte("x"), size-(64<<10)))
		_ = w.Close()
	}()
	got, err := io.ReadAll(resp.Body)
	assert.NilError(t, err, "%d of %d bytes", len(got), size)
	assert.Equal(t, len(began), 1, "requests passed on")
	assert.NilError(t, conn.Close())
	assert.NilError(t, <-stopped)
}
