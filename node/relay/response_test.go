package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
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
		{"unknown length", -1, "body", truncated, now.Add(time.Minute), "", 0},
		{"unknown length, complete", -1, "body", io.EOF, now.Add(time.Minute), "", 0},
		{"unknown length, empty", -1, "", io.EOF, now.Add(time.Minute), "", 0},
		{"unknown length, cut off before its start", -1, "", truncated, now.Add(time.Minute), refuse.UpstreamFailed, retry.Failed},
		{"too long, cut off before its start", maxBufferedResponse + 1, "", truncated, now.Add(time.Minute), refuse.UpstreamFailed, retry.Failed},
		{"too long", maxBufferedResponse + 1, "body", truncated, now.Add(time.Minute), "", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			body := &failingBody{Reader: bytes.NewReader([]byte(test.body)), err: test.err}
			r := &Response{ContentLength: test.length, Body: body}
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
