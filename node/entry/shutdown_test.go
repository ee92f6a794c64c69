package entry

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/chain"
	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/node/relay"
)

// getStatus sends a request on a connection of its own and returns the status, or an error if the
// connection ends without an answer.
func getStatus(t *testing.T, addr, path, header string) (status int, err error) {
	t.Helper()
	conn := dial(t, addr)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	if _, err = io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: press.example\r\n"+header+"\r\n"); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// TestRequestThatCannotEndIsRefused guards against requests and calls of running requests that
// a node which shuts down passes on and cuts off at its end, and against refusing those that
// end in time.
func TestRequestThatCannotEndIsRefused(t *testing.T) {
	const slow = 300 * time.Millisecond
	parents := chain.NewTable()
	parents.Begin(t.Context(), "r", "running", model.Call{Deadline: time.Now().Add(time.Minute)})
	var sent passedOn
	s := newServer(t, func(ctx context.Context, req *relay.Request) (*relay.Response, int, *refuse.Error) {
		time.Sleep(slow)
		return sent.send(ctx, req)
	}, WithParents(parents), WithProtocol(parentProtocol{}))
	addr := serve(t, s)
	status, err := getStatus(t, addr, "/before", "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	call := parentHeader + ": running\r\n"
	for _, test := range []struct {
		name, path, header string
		left               time.Duration // until the end of the shutdown
		want               int
	}{
		{"request, enough time", "/1", "", 10 * slow, http.StatusOK},
		{"request, too little time", "/2", "", slow / 2, http.StatusServiceUnavailable},
		{"call, enough time", "/3", call, 10 * slow, http.StatusOK},
		{"call, too little time", "/4", call, slow / 2, http.StatusServiceUnavailable},
		{"call, deadline before the end", "/5", call + TimeoutHeader + ": 5\r\n", 20 * slow, http.StatusOK},
		{"call, after the end", "/6", call, -slow, http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			s.EndBy(now, now.Add(test.left))
			status, err := getStatus(t, addr, test.path, test.header)
			assert.NilError(t, err)
			assert.Equal(t, status, test.want)
			assert.Equal(t, sent.count([]string{test.path}) == 1, test.want == http.StatusOK)
		})
	}
}

// TestRunningRequestsAreAnsweredAtTheEnd guards against requests that are cut off without an
// answer when the process ends.
func TestRunningRequestsAreAnsweredAtTheEnd(t *testing.T) {
	began := make(chan struct{}, 1)
	s, addr := newTestServer(t, func(ctx context.Context, _ *relay.Request) (*relay.Response, int, *refuse.Error) {
		began <- struct{}{}
		<-ctx.Done()
		return nil, 0, refuse.New(refuse.Cancelled, "cancelled").WithExecuted(refuse.ExecutionUnknown)
	})
	type result struct {
		status int
		err    error
	}
	running, uploading := make(chan result, 1), make(chan result, 1)
	go func() {
		status, err := getStatus(t, addr, "/running", "")
		running <- result{status, err}
	}()
	<-began
	go func() {
		status, err := getStatus(t, addr, "/uploading", "Content-Length: 5\r\n") // its body never arrives
		uploading <- result{status, err}
	}()
	time.Sleep(50 * time.Millisecond) // the upload has begun
	s.EndRequests()
	for _, c := range []chan result{running, uploading} {
		got := <-c
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
	}
	status, err := getStatus(t, addr, "/later", "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
}

// TestAnswerAfterEndOfShutdown guards against a request that is ended with the shutdown and whose
// connection is closed before its answer is written.
func TestAnswerAfterEndOfShutdown(t *testing.T) {
	began := make(chan struct{}, 1)
	s, addr := newTestServer(t, func(ctx context.Context, _ *relay.Request) (*relay.Response, int, *refuse.Error) {
		began <- struct{}{}
		<-ctx.Done()
		time.Sleep(50 * time.Millisecond) // as on a busy machine
		return nil, 0, refuse.New(refuse.Cancelled, "cancelled").WithExecuted(refuse.ExecutionUnknown)
	})
	type result struct {
		status int
		err    error
	}
	running := make(chan result, 1)
	go func() {
		status, err := getStatus(t, addr, "/running", "")
		running <- result{status, err}
	}()
	<-began
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	stop := context.AfterFunc(ctx, s.EndRequests)
	defer stop()
	assert.ErrorIs(t, s.Shutdown(ctx), context.DeadlineExceeded)
	_ = s.HTTP().Close() // as the process ends
	got := <-running
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
}
