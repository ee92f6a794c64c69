package local

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/chain"
	"dogwoodsill.org/core/metric"
)

// countingListener counts the requests that are read on its connections and the responses that
// are written.
type countingListener struct {
	net.Listener
	heads, responses atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countingConn{Conn: conn, l: l}, err
}

type countingConn struct {
	net.Conn
	l *countingListener
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.l.heads.Add(int64(bytes.Count(p[:n], []byte("\r\n\r\n"))))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err == nil {
		c.l.responses.Add(int64(bytes.Count(p, []byte("HTTP/1.1 "))))
	}
	return n, err
}

// TestShutdownAnswersCalls guards against calls of the upstream that the listener reads and
// drops while it shuts down.
func TestShutdownAnswersCalls(t *testing.T) {
	var heads, responses int64
	for range 50 {
		s := New(nil, chain.NewTable(), nil, nil, nil, metric.New(), 32<<10)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		counts := &countingListener{Listener: ln}
		go func() { _ = s.Serve(counts) }()
		var clients sync.WaitGroup
		for range 16 {
			clients.Go(func() { callUntilClosed(ln.Addr().String()) })
		}
		time.Sleep(10 * time.Millisecond)
		assert.NilError(t, s.Shutdown(t.Context()))
		clients.Wait()
		heads, responses = heads+counts.heads.Load(), responses+counts.responses.Load()
	}
	assert.Equal(t, heads, responses, "requests read and responses written")
}

// callUntilClosed sends calls, which are refused, on kept connections until there is no listener.
func callUntilClosed(addr string) {
	for {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return
		}
		r := bufio.NewReader(conn)
		for {
			if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
				break
			}
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				break
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
				break
			}
		}
		_ = conn.Close()
	}
}
