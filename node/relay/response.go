package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"dogwoodsill.org/core/frame"
	"dogwoodsill.org/core/picker"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/core/retry"
	"dogwoodsill.org/core/super"
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

	method string // of the request
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

// maxHoldTime is how long the begin of a response of unknown length is held back, so that
// a short one can be buffered.
const maxHoldTime = 50 * time.Millisecond

// bufferBody reads the body to its end if it is at most maxBufferedResponse. A response of
// unknown length must also end within maxHoldTime.
func (r *Response) bufferBody(ctx context.Context, deadline time.Time) *attemptError {
	if r.ContentLength > maxBufferedResponse {
		return nil
	}
	body := r.Body
	var data []byte
	var err error
	if r.ContentLength < 0 {
		held := &heldBody{source: body, next: make(chan error, 1)}
		if !held.hold(ctx, maxHoldTime) {
			r.Body = held
			return nil
		}
		data, err = held.result()
	} else {
		data, err = io.ReadAll(io.LimitReader(body, r.ContentLength+1)) // one more byte, to see the end of the body
	}
	_ = body.Close()
	if err == nil {
		r.Body = &bufferedBody{Reader: bytes.NewReader(data), source: body}
		r.setLength(len(data))
		return nil
	}
	return incompleteError(ctx, err, deadline, time.Now())
}

// setLength sets the length of a buffered response if it was unknown, unless the response
// has a trailer or may be without the body that its length describes.
func (r *Response) setLength(n int) {
	if r.ContentLength >= 0 || r.method == http.MethodHead || len(r.Trailer().Trailer) > 0 {
		return
	}
	switch r.Status {
	case http.StatusNoContent, http.StatusNotModified:
	default:
		r.ContentLength = int64(n)
	}
}

// incompleteError describes an attempt whose response could not be read to its end.
func incompleteError(ctx context.Context, err error, deadline, now time.Time) *attemptError {
	if ctx.Err() != nil {
		return &attemptError{refusal: contextRefusal(ctx).WithExecuted(refuse.ExecutionUnknown), outcome: retry.Rejected, result: contextResult(ctx), reached: true}
	}
	if !now.Before(deadline) {
		return &attemptError{
			refusal: refuse.New(refuse.DeadlineExceeded, "the answer was not complete at the deadline").WithExecuted(refuse.ExecutionUnknown),
			outcome: retry.Rejected, result: picker.Failed, reached: true,
		}
	}
	return &attemptError{
		refusal: refuse.New(refuse.UpstreamFailed, "%v", err).WithExecuted(refuse.ExecutionUnknown), outcome: retry.Failed, result: picker.Failed, reached: true,
	}
}

// heldChunkBytes is the size of the reads of a body that is held back.
const heldChunkBytes = 4 << 10

// heldBody is a body whose begin is held back. It is not safe for concurrent use.
type heldBody struct {
	source  io.ReadCloser
	data    []byte // read from source and not returned yet
	err     error  // of source, after data
	chunk   [heldChunkBytes]byte
	n       int        // number of bytes in chunk
	next    chan error // receives the error of the read in progress
	reading bool
}

// hold reads the body until it ends or fails, or until it is longer than
// maxBufferedResponse, limit has passed or ctx ends. It reports whether the body has ended
// or failed.
func (b *heldBody) hold(ctx context.Context, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for b.err == nil && len(b.data) <= maxBufferedResponse {
		b.startRead()
		select {
		case err := <-b.next:
			b.endRead(err)
		case <-timer.C:
			return false
		case <-ctx.Done():
			b.err = ctx.Err()
		}
	}
	return b.err != nil
}

// result returns the body after hold has returned true.
func (b *heldBody) result() ([]byte, error) {
	if errors.Is(b.err, io.EOF) {
		return b.data, nil
	}
	return nil, b.err
}

func (b *heldBody) startRead() {
	if b.reading {
		return
	}
	b.reading = true
	go func() {
		b.next <- super.Guard("body of a response", func() (err error) {
			b.n, err = b.source.Read(b.chunk[:])
			return err
		})
	}()
}

func (b *heldBody) endRead(err error) {
	b.reading = false
	b.data = append(b.data, b.chunk[:b.n]...)
	b.err = err
}

// Read implements io.Reader.
func (b *heldBody) Read(p []byte) (int, error) {
	if len(b.data) == 0 && b.reading {
		b.endRead(<-b.next)
	}
	if len(b.data) > 0 {
		n := copy(p, b.data)
		b.data = b.data[n:]
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	return b.source.Read(p)
}

// Close implements io.Closer. It ends the read in progress.
func (b *heldBody) Close() error {
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
	isError bool      // error of the upstream itself, not of a child call

	mu    sync.Mutex
	ended bool
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
		method:        req.Method,
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
	if uerr != nil || !trailer.Complete {
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
	b.mu.Lock()
	ended := b.ended
	b.ended = true
	b.mu.Unlock()
	if ended {
		return
	}
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
