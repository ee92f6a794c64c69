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
)

// Response is the answer of an upstream. Its body must be read to the end or
// closed.
type Response struct {
	Status        int
	Header        http.Header
	ContentLength int64
	ChildFailed   bool // a call below failed
	Body          io.ReadCloser
	Trailer       func() ReplyTrailer // valid after Body returned io.EOF
}

// TruncatedError says that the answer of an upstream ended early.
type TruncatedError struct {
	Service string
}

// Error implements error.
func (e *TruncatedError) Error() string {
	return "the answer of service " + e.Service + " is incomplete"
}

// wholeBytes is the size in bytes up to which an answer is read whole before it is
// passed on, so that one that ends early can be told from a complete one and, if
// the call may run again, be replaced.
const wholeBytes = 256 << 10

// settle reads a short answer of known length to its end.
func (r *Response) settle(ctx context.Context, deadline time.Time) *attemptError {
	if r.ContentLength < 0 || r.ContentLength > wholeBytes {
		return nil
	}
	body := r.Body
	data, err := io.ReadAll(io.LimitReader(body, r.ContentLength+1)) // a byte more shows the end
	_ = body.Close()
	if err == nil {
		r.Body = &settledBody{Reader: bytes.NewReader(data), upstream: body}
		return nil
	}
	if ctx.Err() != nil {
		return &attemptError{refusal: contextRefusal(ctx).WithExecuted(refuse.ExecutionUnknown), outcome: retry.Rejected, result: blame(ctx), reached: true}
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

// settledBody is an answer that was read whole.
type settledBody struct {
	*bytes.Reader
	upstream io.ReadCloser
}

// Close implements io.Closer.
func (b *settledBody) Close() error {
	return b.upstream.Close()
}

// responseBody reads the body of an answer and checks at its end that the
// answer is complete.
type responseBody struct {
	caller  *Caller
	req     *Request
	target  string
	s       *frame.Stream
	cancel  context.CancelFunc
	trailer ReplyTrailer
	began   time.Time // of the attempt
	ended   bool
	isError bool // the upstream answered with an error
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

// Read implements io.Reader. It returns a *TruncatedError in place of io.EOF
// if the upstream's answer ended early.
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
	if uerr != nil || !trailer.Complete {
		b.end(picker.Failed, nil)
		return n, &TruncatedError{Service: b.req.Service}
	}
	b.trailer = trailer
	if b.target != "" && !b.isError {
		now := time.Now()
		b.caller.observe(b.req.Service, b.target, now.Sub(b.began), now)
	}
	b.end(picker.OK, &trailer.Feedback)
	return n, io.EOF
}

// end reports the end of the attempt once.
func (b *responseBody) end(r picker.Result, f *Feedback) {
	if b.ended {
		return
	}
	b.ended = true
	if b.isError {
		r = picker.Failed
	}
	if b.target == "" {
		return // a claim stream, which no target was picked for
	}
	b.caller.done(b.req, b.target, r, f, time.Now())
}

// Close implements io.Closer. It cancels what is left of the call.
func (b *responseBody) Close() error {
	b.end(picker.Unknown, nil)
	b.s.Reset(frame.CodeCanceled)
	b.cancel()
	return nil
}
