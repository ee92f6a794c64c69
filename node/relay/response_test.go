package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/core/retry"
)

// failingBody returns the bytes of a reader and then err.
type failingBody struct {
	io.Reader
	err    error
	closed bool
}

func (b *failingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = b.err
	}
	return n, err
}

func (b *failingBody) Close() error {
	b.closed = true
	return nil
}

// TestSettle guards against passing a truncated response to the caller although
// the truncation can be detected in time.
func TestSettle(t *testing.T) {
	now := time.Now()
	truncated := &TruncatedError{Service: "s"}
	for _, test := range []struct {
		name     string
		length   int64
		body     string
		err      error
		deadline time.Time
		reason   refuse.Reason // of the failure; empty if there is none
		outcome  retry.Outcome
	}{
		{"complete", 4, "body", io.EOF, now.Add(time.Minute), "", 0},
		{"empty", 0, "", io.EOF, now.Add(time.Minute), "", 0},
		{"cut off", 9, "body", truncated, now.Add(time.Minute), refuse.UpstreamFailed, retry.Failed},
		{"cut off at the deadline", 9, "body", truncated, now, refuse.DeadlineExceeded, retry.Rejected},
		{"unknown length", -1, "body", io.EOF, now.Add(time.Minute), "", 0},
		{"unknown length, cut off", -1, "body", truncated, now.Add(time.Minute), refuse.UpstreamFailed, retry.Failed},
		{"unknown length, too long", -1, strings.Repeat("b", maxBufferedResponse+1), truncated, now.Add(time.Minute), "", 0},
		{"too long", maxBufferedResponse + 1, "body", truncated, now.Add(time.Minute), "", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			body := &failingBody{Reader: bytes.NewReader([]byte(test.body)), err: test.err}
			r := &Response{ContentLength: test.length, Body: body, Trailer: func() ReplyTrailer { return ReplyTrailer{} }}
			fail := r.bufferBody(context.Background(), test.deadline)
			if test.reason != "" {
				assert.Assert(t, fail != nil && body.closed)
				assert.Equal(t, fail.refusal.Reason, test.reason)
				assert.Equal(t, fail.refusal.Executed, refuse.ExecutionUnknown)
				assert.Equal(t, fail.outcome, test.outcome)
				return
			}
			assert.Assert(t, fail == nil)
			data, err := io.ReadAll(r.Body)
			assert.Equal(t, string(data), test.body)
			assert.Equal(t, errors.Is(err, truncated), errors.Is(test.err, truncated), "the error of a response that isn't buffered must be returned by Read")
		})
	}
}

// TestSlowResponseIsStreamed guards against holding back a response of unknown length that
// arrives slowly.
func TestSlowResponseIsStreamed(t *testing.T) {
	pr, pw := io.Pipe()
	r := &Response{ContentLength: -1, Body: pr}
	go func() { _, _ = pw.Write([]byte("first")) }()
	assert.Assert(t, r.bufferBody(t.Context(), time.Now().Add(time.Minute)) == nil)
	p := make([]byte, 16)
	n, err := r.Body.Read(p)
	assert.NilError(t, err)
	assert.Equal(t, string(p[:n]), "first")
	go func() {
		_, _ = pw.Write([]byte("second"))
		_ = pw.Close()
	}()
	rest, err := io.ReadAll(r.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(rest), "second")
	assert.Equal(t, r.ContentLength, int64(-1))
}

// TestLengthOfBufferedResponse guards against a wrong length of a response whose length the
// upstream didn't state.
func TestLengthOfBufferedResponse(t *testing.T) {
	for _, test := range []struct {
		name    string
		method  string
		status  int
		body    string
		trailer http.Header
		want    int64
	}{
		{"body", http.MethodGet, http.StatusOK, "body", nil, 4},
		{"empty body", http.MethodGet, http.StatusOK, "", nil, 0},
		{"trailer", http.MethodGet, http.StatusOK, "body", http.Header{"A": {"b"}}, -1},
		{"head", http.MethodHead, http.StatusOK, "", nil, -1},
		{"not modified", http.MethodGet, http.StatusNotModified, "", nil, -1},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := &Response{
				Status: test.status, ContentLength: -1, Body: io.NopCloser(strings.NewReader(test.body)), method: test.method,
				Trailer: func() ReplyTrailer { return ReplyTrailer{Complete: true, Trailer: test.trailer} },
			}
			assert.Assert(t, r.bufferBody(t.Context(), time.Now().Add(time.Minute)) == nil)
			assert.Equal(t, r.ContentLength, test.want)
		})
	}
}
