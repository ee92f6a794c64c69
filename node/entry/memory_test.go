package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dogwoodsill.org/core/budget"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/core/setup"
	"dogwoodsill.org/node/relay"
)

// sendMost sends a request with a body of n bytes except for the last missing ones.
func sendMost(t *testing.T, addr string, n, missing int) net.Conn {
	t.Helper()
	conn := dial(t, addr)
	assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	_, err := fmt.Fprintf(conn, "POST /stalled HTTP/1.1\r\nHost: press.example\r\nContent-Length: %d\r\n\r\n%s", n, strings.Repeat("x", n-missing))
	assert.NilError(t, err)
	return conn
}

// TestStalledBodyGivesWay guards against a caller that keeps the memory of a body which it doesn't
// complete while others need it, against a refusal of it that isn't true, and against memory that stays counted afterwards.
func TestStalledBodyGivesWay(t *testing.T) {
	const size = 500 << 10
	ran := make(chan string, 1000)
	pool := budget.New(1<<20, 0)
	s := newServer(t, func(_ context.Context, req *relay.Request) (*relay.Response, int, *refuse.Error) {
		ran <- req.URI
		return okResponse(), 0, nil
	}, WithPool(pool))
	addr := serve(t, s)
	stalled := sendMost(t, addr, size, 1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if pool.Stats().Bytes < size {
			return poll.Continue("the body has not arrived")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp := postWhole(t, addr, size)
		if pool.Stats().Evicted == 0 {
			return poll.Continue("nothing gave way, status %d", resp)
		}
		return poll.Success()
	}, poll.WithDelay(100*time.Millisecond))
	resp, err := http.ReadResponse(bufio.NewReader(stalled), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, resp.Header.Get("Retry-After"), "1")
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(body), `"no"`), "%s", body)
	assert.Equal(t, postWhole(t, addr, size), http.StatusOK)
	get(t, http2Client(t), addr)
	assert.NilError(t, s.HTTP().Close())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if left := pool.Stats(); left.Bytes != 0 || left.Accounts != 0 {
			return poll.Continue("still counted: %+v", left)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	close(ran)
	for uri := range ran {
		assert.Assert(t, uri != "/stalled", "ran although it was refused as not executed")
	}
}

// postWhole sends a request with a whole body on a connection of its own.
func postWhole(t *testing.T, addr string, n int) (status int) {
	t.Helper()
	conn := dial(t, addr)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	_, err := fmt.Fprintf(conn, "POST /whole HTTP/1.1\r\nHost: press.example\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", n, strings.Repeat("x", n))
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	return resp.StatusCode
}

// TestHTTP2RequestsAreProgress guards against an HTTP/2 connection with frequent small requests that
// gives way as if it had stalled.
func TestHTTP2RequestsAreProgress(t *testing.T) {
	pool := budget.New(1<<20, 0)
	s := newServer(t, func(context.Context, *relay.Request) (*relay.Response, int, *refuse.Error) {
		return okResponse(), 0, nil
	}, WithPool(pool))
	addr := serve(t, s)
	client := http2Client(t)
	get(t, client, addr)
	time.Sleep(budget.StallTime + 100*time.Millisecond)
	get(t, client, addr)
	other, ok := pool.Open(0, func() {}, time.Now())
	assert.Assert(t, ok)
	for other.Grow(32<<10, time.Now()) {
	}
	assert.Equal(t, pool.Stats().Evicted, int64(0), "a connection with a request just now gave way")
}

// TestEndedRequestHoldsNothing guards against a body read that ends together with its request and
// keeps the account of the connection from giving way for as long as that is open.
func TestEndedRequestHoldsNothing(t *testing.T) {
	start := time.Unix(1000, 0)
	pool := budget.New(1<<20, 0)
	evicted := false
	account, ok := pool.Open(1, func() { evicted = true }, start)
	assert.Assert(t, ok)
	m := &requestMemory{account: account}
	m.release()
	m.pin()
	other, _ := pool.Open(0, func() {}, start)
	other.Grow(1<<20, start.Add(time.Hour))
	assert.Assert(t, evicted, "the account of an ended request is still pinned")
}

// TestUnreadResponseReleasesMemory guards against a caller that doesn't read its response and keeps
// the memory of its request, which doesn't give way.
func TestUnreadResponseReleasesMemory(t *testing.T) {
	const size = 64 << 20 // more than the kernel buffers
	pool := budget.New(1<<20, 0)
	s := newServer(t, func(context.Context, *relay.Request) (*relay.Response, int, *refuse.Error) {
		resp := okResponse()
		resp.ContentLength, resp.Body = size, io.NopCloser(io.LimitReader(zeros{}, size))
		return resp, 0, nil
	}, WithPool(pool))
	s.limits.ProgressTimeout = setup.Duration(200 * time.Millisecond)
	conn := dial(t, serve(t, s))
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: press.example\r\n\r\n")
	assert.NilError(t, err)
	_, err = io.ReadFull(conn, make([]byte, 1))
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if left := pool.Stats(); left.Bytes != 0 {
			return poll.Continue("still counted: %+v", left)
		}
		return poll.Success()
	}, poll.WithDelay(10*time.Millisecond))
}

// zeros is an endless reader.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
