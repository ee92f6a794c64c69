package conns

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/metric"
)

// TestShutdownAfterStallAnswersRequests guards against dropping the responses to the requests
// that a shutdown ends if the process was stalled until after the deadline of the shutdown.
func TestShutdownAfterStallAnswersRequests(t *testing.T) {
	const body = "ended by the shutdown"
	running, end := make(chan struct{}), make(chan struct{})
	s := NewServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(running)
		<-end
		<-time.After(20 * time.Millisecond) // until the handler gets time on a CPU
		_, _ = io.WriteString(w, body)
	})}, metric.New(), hclog.NewNullLogger())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = s.Serve(ln) }()
	type result struct {
		body []byte
		err  error
	}
	answered := make(chan result, 1)
	go func() {
		resp, err := http.Get("http://" + ln.Addr().String())
		if err != nil {
			answered <- result{err: err}
			return
		}
		data, err := io.ReadAll(resp.Body)
		answered <- result{data, err}
	}()
	<-running
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(-2*answerTime))
	defer cancel()
	close(end)
	assert.ErrorIs(t, s.Shutdown(ctx), context.DeadlineExceeded)
	_ = s.HTTP().Close() // as the node does after the shutdown
	got := <-answered
	assert.NilError(t, got.err)
	assert.Equal(t, string(got.body), body)
}
