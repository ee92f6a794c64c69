package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/node/relay"
)

// TestShutdownAnswersRequestsSentAhead guards against requests that were read behind an earlier one
// and get no answer, because the response before them ends during a shutdown.
func TestShutdownAnswersRequestsSentAhead(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: press.example\r\n\r\n"
	for _, test := range []struct {
		name        string
		first, then string // sent at once, and after the head of the response
		reads       int64  // that return them
	}{
		{"read together", request + request, "", 1},
		{"read later", request, request, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			r, w := io.Pipe()
			s := newServer(t, func(context.Context, *relay.Request) (*relay.Response, int, *refuse.Error) {
				resp := okResponse()
				resp.ContentLength, resp.Body = -1, r
				return resp, 0, nil
			})
			var reads atomic.Int64
			conn := dial(t, serve(t, s, wrapConns(func(c net.Conn) net.Conn { return &readCounterConn{c, &reads} })))
			assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
			_, err := io.WriteString(conn, test.first)
			assert.NilError(t, err)
			_, err = w.Write([]byte("begun"))
			assert.NilError(t, err)
			br := bufio.NewReader(conn)
			resp, err := http.ReadResponse(br, nil)
			assert.NilError(t, err)
			_, err = io.ReadFull(resp.Body, make([]byte, len("begun")))
			assert.NilError(t, err)
			_, err = io.WriteString(conn, test.then)
			assert.NilError(t, err)
			stopped := make(chan error, 1)
			go func() { stopped <- s.Shutdown(t.Context()) }()
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if n := reads.Load(); !s.IsStopping() || n < test.reads {
					return poll.Continue("stopping: %v, %d reads", s.IsStopping(), n)
				}
				return poll.Success()
			}, poll.WithDelay(time.Millisecond))
			assert.NilError(t, w.Close())
			_, err = io.Copy(io.Discard, resp.Body)
			assert.NilError(t, err)
			resp, err = http.ReadResponse(br, nil)
			assert.NilError(t, err, "no answer to the second request")
			assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
			assert.Assert(t, resp.Close)
			assert.NilError(t, conn.Close())
			assert.NilError(t, <-stopped)
		})
	}
}

// readCounterConn counts the reads that return data.
type readCounterConn struct {
	net.Conn
	n *atomic.Int64
}

// Read implements net.Conn.
func (c *readCounterConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.n.Add(1)
	}
	return n, err
}

// CloseWrite ends the sending direction.
func (c *readCounterConn) CloseWrite() error {
	return c.Conn.(*net.TCPConn).CloseWrite()
}
