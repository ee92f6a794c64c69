package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"dogwoodsill.org/core/frame"
	"dogwoodsill.org/core/picker"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/core/retry"
	"dogwoodsill.org/core/strict"
)

// Response is the response of an upstream. Its body must be read to the end or
// closed.
type Response struct {
	Status        int
	Header        http.Header
	ContentLength int64
	ChildFailed   bool // a call that the upstream made for this one failed
	Body          io.ReadCloser
	Trailer       func() ReplyTrailer // valid after Body returned io.EOF
}

// TruncatedError reports that the response of an upstream is incomplete.
type TruncatedError struct {
	Service string
}

// Error implements error.
func (e *TruncatedError) Error() string {
	return "the answer of service " + e.Service + " is incomplete"
}

// maxBufferedResponse is the maximum size in bytes of a response body that is read
// to its end before the response is returned, so that the call can still be retried
// if the response is truncated.
const maxBufferedResponse = 256 << 10

// firstBytes is the size of the start of a body that is awaited before the response is returned.
const firstBytes = 4 << 10

// bufferBody reads the body to its end if its length is known and at most
// maxBufferedResponse. Of any other body it awaits the start: until a byte of the response is
// passed on, a call that fails can still be retried or refused.
func (r *Response) bufferBody(ctx context.Context, deadline time.Time) *attemptError {
	var data []byte
	var err error
	body := r.Body
	whole := r.ContentLength >= 0 && r.ContentLength <= maxBufferedResponse
	if whole {
		data, err = io.ReadAll(io.LimitReader(body, r.ContentLength+1)) // one more byte, to see the end of the body
	} else {
		data = make([]byte, firstBytes)
		var n int
		n, err = io.ReadAtLeast(body, data, 1)
		data = data[:n]
		whole = errors.Is(err, io.EOF)
	}
	switch {
	case whole && (err == nil || errors.Is(err, io.EOF)):
		_ = body.Close()
		r.Body = &bufferedBody{Reader: bytes.NewReader(data), source: body}
		return nil
	case !whole && err == nil:
		r.Body = &startedBody{Reader: io.MultiReader(bytes.NewReader(data), body), source: body}
		return nil
	}
	_ = body.Close()
	return bodyFailure(ctx, err, deadline)
}

// bodyFailure returns the failure of an attempt whose response ended too early.
func bodyFailure(ctx context.Context, err error, deadline time.Time) *attemptError {
	if ctx.Err() != nil {
		return &attemptError{refusal: contextRefusal(ctx).WithExecuted(refuse.ExecutionUnknown), outcome: retry.Rejected, result: contextResult(ctx), reached: true}
	}
	if !time.Now().Before(deadline) {
		return &attemptError{
			refusal: refuse.New(refuse.DeadlineExceeded, "the answer was not complete at the deadline").WithExecuted(refuse.ExecutionUnknown),
			outcome: retry.Rejected, result: picker.Failed, reached: true,
		}
	}
	return &attemptError{
		refusal: refuse.New(refuse.UpstreamFailed, "%v", err).WithExecuted(refuse.ExecutionUnknown), outcome: retry.Failed, result: picker.Failed, reached: true,
	}
}

// startedBody is the body of a response whose start was read.
type startedBody struct {
	io.Reader
	source io.ReadCloser
}

// Close implements io.Closer.
func (b *startedBody) Close() error {
	return b.source.Close()
}

// bufferedBody is the body of a response that was read to its end.
type bufferedBody struct {
	*bytes.Reader
	source io.ReadCloser
}

// Close implements io.Closer.
func (b *bufferedBody) Close() error {
	return b.source.Close()
}

// responseBody reads the body of a response from a stream and checks at the end
// that the response is complete.
type responseBody struct {
	caller  *Caller
	req     *Request
	target  string
	s       *frame.Stream
	cancel  context.CancelFunc
	trailer ReplyTrailer
	began   time.Time // start of the attempt
	ended   bool
	isError bool // error of the upstream itself, not of a child call
}

func (c *Caller) newResponse(req *Request, to Candidate, began time.Time, s *frame.Stream, h ReplyHead, cancel context.CancelFunc) *Response {
	b := &responseBody{
		caller: c, req: req, target: to.ID, began: began, s: s, cancel: cancel,
		isError: h.Status >= http.StatusInternalServerError && !h.ChildFailed,
	}
	return &Response{
		Status:        h.Status,
		Header:        h.Header,
		ContentLength: h.ContentLength,
		ChildFailed:   h.ChildFailed,
		Body:          b,
		Trailer:       func() ReplyTrailer { return b.trailer },
	}
}

// Read implements io.Reader. It returns a *TruncatedError instead of io.EOF if the
// upstream's response is incomplete.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.s.Read(p)
	if err == nil {
		return n, nil
	}
	if !errors.Is(err, io.EOF) {
		b.end(picker.Failed, nil)
		return n, err
	}
	trailer, uerr := unpack[ReplyTrailer](b.s.Trailer())
	if uerr != nil || !trailer.Complete || strict.CheckNames(trailer.Trailer) != nil {
		b.end(picker.Failed, nil)
		return n, &TruncatedError{Service: b.req.Service}
	}
	b.trailer = trailer
	if b.target != "" && !b.isError {
		now := time.Now()
		b.caller.recordLatency(b.req.Service, b.target, now.Sub(b.began), now)
	}
	b.end(picker.OK, &trailer.Feedback)
	return n, io.EOF
}

// end records the result of the attempt. Only the first call has an effect.
func (b *responseBody) end(r picker.Result, f *Feedback) {
	if b.ended {
		return
	}
	b.ended = true
	if b.isError {
		r = picker.Failed
	}
	if b.target == "" {
		return // a claim stream: no target was picked
	}
	b.caller.recordResult(b.req, b.target, r, f, time.Now())
}

// Close implements io.Closer. It cancels the call if it is still running.
func (b *responseBody) Close() error {
	b.end(picker.Unknown, nil)
	b.s.Reset(frame.CodeCanceled)
	b.cancel()
	return nil
}
