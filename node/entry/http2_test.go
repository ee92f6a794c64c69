package entry

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/core/super"
	"dogwoodsill.org/node/relay"
)

// http2Client returns a client that speaks HTTP/2 without TLS.
func http2Client(t *testing.T) *http.Client {
	t.Helper()
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// get sends a request without a body and reads the response.
func get(t *testing.T, c *http.Client, addr string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+addr+"/", nil)
	if !assert.Check(t, err) {
		return
	}
	req.Host = "press.example"
	resp, err := c.Do(req)
	if !assert.Check(t, err) {
		return
	}
	_, err = io.Copy(io.Discard, resp.Body)
	assert.Check(t, err)
	assert.Check(t, resp.Body.Close())
}

// TestHTTP2BodyNotReadToEnd guards against a panic, which ends the process, when a read deadline
// is set after the end of a request.
func TestHTTP2BodyNotReadToEnd(t *testing.T) {
	_, addr := newTestServer(t, func(context.Context, *relay.Request) (*relay.Response, int, *refuse.Error) {
		return okResponse(), 0, nil
	})
	c := http2Client(t)
	for range 2000 {
		get(t, c, addr)
	}
}

// TestEmptyHTTP2BodyIsComplete guards against aborting a request without a body when its key is
// revoked, as if its body were still arriving.
func TestEmptyHTTP2BodyIsComplete(t *testing.T) {
	complete := false
	_, addr := newTestServer(t, func(ctx context.Context, _ *relay.Request) (*relay.Response, int, *refuse.Error) {
		a, _ := ctx.Value(activeRequestKey{}).(*activeRequest)
		a.mu.Lock()
		defer a.mu.Unlock()
		complete = a.bodyComplete
		return okResponse(), 0, nil
	})
	get(t, http2Client(t), addr)
	assert.Assert(t, complete)
}

// TestShutdownAnswersHTTP2 guards against an HTTP/2 connection that is closed before its last
// responses are sent.
func TestShutdownAnswersHTTP2(t *testing.T) {
	const streams = 8
	for range 10 {
		var running sync.WaitGroup
		running.Add(streams)
		proceed := make(chan struct{})
		s, addr := newTestServer(t, func(context.Context, *relay.Request) (*relay.Response, int, *refuse.Error) {
			running.Done()
			<-proceed
			return okResponse(), 0, nil
		})
		shut := make(chan error)
		go func() {
			running.Wait()
			s.StopKeepAlives()
			shut <- s.Shutdown(t.Context())
		}()
		go func() {
			defer close(proceed)
			for !s.IsStopping() && super.Pause(t.Context(), time.Millisecond) {
			}
		}()
		c := http2Client(t)
		var callers sync.WaitGroup
		for range streams {
			callers.Go(func() { get(t, c, addr) })
		}
		callers.Wait()
		assert.NilError(t, <-shut)
	}
}
