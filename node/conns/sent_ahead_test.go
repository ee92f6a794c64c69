package conns

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/metric"
)

// TestEndOfReadingCancelsNoRequest guards against a request that was read together with the one
// before it, and is cancelled because the reading of its connection ended before it was handled.
func TestEndOfReadingCancelsNoRequest(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: press.example\r\n\r\n"
	requests := 0
	s := NewServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests++
		if requests == 1 {
			return
		}
		select {
		case <-r.Context().Done():
			w.WriteHeader(http.StatusInternalServerError)
		case <-time.After(50 * time.Millisecond):
		}
	})}, metric.New(), hclog.NewNullLogger())
	handle := s.http.Handler
	s.http.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(10 * arrivedTimeout) // gets no time on a CPU
		handle.ServeHTTP(w, r)
	})
	idle, proceed := make(chan struct{}), make(chan struct{})
	var once sync.Once
	s.http.ConnState = func(c net.Conn, state http.ConnState) {
		s.track(c, state)
		if state == http.StateIdle {
			once.Do(func() { close(idle) })
			<-proceed // gets no time on a CPU
		}
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.http.Close() })
	conn, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(conn, request+request)
	assert.NilError(t, err)
	<-idle
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(t.Context()) }()
	time.AfterFunc(3*idleCloseDelay, func() { close(proceed) })
	br := bufio.NewReader(conn)
	for range 2 {
		resp, err := http.ReadResponse(br, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK, "the request was cancelled")
	}
	assert.NilError(t, conn.Close())
	assert.NilError(t, <-stopped)
}
