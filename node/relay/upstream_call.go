package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodsill.org/core/chain"
	"dogwoodsill.org/core/crash"
	"dogwoodsill.org/core/frame"
	"dogwoodsill.org/core/limit"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/core/strict"
)

// upstreamCall is one call that is dispatched to the upstream.
type upstreamCall struct {
	target  *Target
	attempt *attempt
	stream  *frame.Stream // carries the body of the request
	head    *CallHead
	active  *chain.ActiveCall
	body    *requestBody
	began   time.Time
	conn    atomic.Pointer[upstreamConn] // last connection obtained; nil if there was none, so that the upstream can't have seen the request

	process  Process            // of the upstream
	isolated *crash.Fingerprint // set if the call must not run beside others of its kind
}

// dispatch sends an admitted call to the upstream and sends the reply.
func (c *upstreamCall) dispatch(up Upstream) {
	t := c.target
	if refusal := t.crashes.begin(c, time.Now()); refusal != nil {
		t.gate.cancel(time.Now())
		t.refuseCall(c.attempt, c.head, refusal, c.head.Call.Attempts)
		return
	}
	defer t.crashes.end(c)
	t.metrics.Add(metric.Served, 1)
	resp, refusal := c.roundTrip(c.attempt.ctx, up)
	sample := c.sample(resp, time.Now())
	c.learn(sample, resp, refusal, time.Now())
	if refusal != nil {
		t.gate.leave(sample, 0, time.Now())
		t.sendRefusal(c.attempt, c.head, ReplyHead{Refusal: refusal, AttemptsLeft: c.active.RemainingAttempts(), Reached: c.conn.Load() != nil})
		return
	}
	defer func() { _ = resp.Body.Close() }()
	ok := c.sendReply(resp)
	if ok {
		t.crashes.responded(c)
	}
	t.gate.leave(sample, c.successDuration(ok && !sample.Shed), time.Now())
}

func (c *upstreamCall) roundTrip(ctx context.Context, up Upstream) (*http.Response, *refuse.Error) {
	connecting, stop := c.limitConnecting(ctx)
	defer stop()
	req, err := c.request(connecting, up)
	if err != nil {
		return nil, refuse.New(refuse.BadRequest, "request can't be forwarded: %v", err)
	}
	resp, err := c.send(c.target.client.transport(c.head.Repeatable), req, up)
	if err != nil {
		refusal := c.target.failureRefusal(connecting, err, c.conn.Load() != nil)
		if errors.Is(context.Cause(ctx), errStopped) {
			refusal.Reason = refuse.UpstreamFailed // so that the request is retried elsewhere if it may be
		}
		if isMalformedResponse(err) {
			return c.repeat(up, req, nil, refusal)
		}
		c.noteIfBroken(ctx, up)
		return nil, refusal
	}
	class := c.classify(up, resp)
	if class == ResponseMismatched {
		return c.afterMismatch(up, req, resp)
	}
	if refusal := c.refusalFor(class); refusal != nil {
		discardBody(resp)
		return resp, refusal
	}
	return resp, nil
}

// errNotConnected is the cause of the end of a call that got no connection to the upstream in
// time for its refusal to reach the calling node before the deadline.
var errNotConnected = errors.New("no connection to the upstream before the deadline")

// limitConnecting returns a context that ends shortly before the deadline of the call if there
// is no connection to the upstream by then. The function that it returns ends the limit.
func (c *upstreamCall) limitConnecting(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx) // ends with the attempt
	timer := time.AfterFunc(time.Until(dispatchDeadline(c.head.Call.Deadline, c.began)), func() {
		if c.conn.Load() == nil {
			cancel(errNotConnected)
		}
	})
	return ctx, func() { timer.Stop() }
}

// send sends a request with the headers of the protocol. All are set before, so that net/http
// validates them, and the time that is left once more when the request is written.
func (c *upstreamCall) send(via *http.Transport, req *http.Request, up Upstream) (*http.Response, error) {
	header := EndToEndHeader(c.head.Header)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // otherwise net/http adds its own
	}
	c.target.protocol.SetHeaders(header, c.head, up, c.active.Token, time.Until(c.head.Call.Deadline))
	var checked *strict.Conn // nil without a connection
	// RoundTrip calls GotConn in its own goroutine before it passes the request to the one
	// that writes it, so no one else reads the header at that time.
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn := info.Conn.(*upstreamConn)
		checked = conn.Conn
		checked.ExpectResponse()
		c.conn.Store(conn)
		c.target.protocol.SetRemaining(header, time.Until(c.head.Call.Deadline))
	}}))
	req.Header = header // of its own, since net/http may still read that of an earlier sending
	resp, err := via.RoundTrip(req)
	return checked.CheckResult(resp, err)
}

// discardBody reads a short body to its end, so that its connection can be reused, and closes
// it. It waits for the body no longer than maxDiscardTime.
func discardBody(resp *http.Response) {
	timer := time.AfterFunc(maxDiscardTime, func() { _ = resp.Body.Close() })
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, resp.Body, maxDiscardBytes)
	_ = resp.Body.Close()
}

// afterMismatch handles a response that doesn't or may not belong to the request, such as a
// second copy of an earlier response that arrived when the connection was in use again.
func (c *upstreamCall) afterMismatch(up Upstream, req *http.Request, resp *http.Response) (*http.Response, *refuse.Error) {
	c.target.client.discard(resp)
	return c.repeat(up, req, resp, c.refusalFor(ResponseMismatched))
}

// repeat sends a request that may run again and has no body once more on a connection of its
// own. Whether the upstream executed it as it was first sent is not known, so that anything
// but a valid response leaves the outcome of the first sending.
func (c *upstreamCall) repeat(up Upstream, req *http.Request, resp *http.Response, refusal *refuse.Error) (*http.Response, *refuse.Error) {
	if !c.mayRepeat(time.Now()) {
		return resp, refusal
	}
	again, err := c.send(c.target.client.fresh, req, up)
	if err != nil {
		c.noteIfBroken(req.Context(), up)
		return resp, refusal
	}
	if class := c.classify(up, again); class != ResponseValid {
		_ = again.Body.Close()
		return resp, refusal
	}
	return again, nil
}

// classify classifies a response and records what the upstream states in it. A refusal that
// may be a second copy of an earlier one doesn't tell whether the upstream executes the
// request.
func (c *upstreamCall) classify(up Upstream, resp *http.Response) ResponseClass {
	if !isFinalStatus(resp.StatusCode) {
		return ResponseMismatched
	}
	class := c.target.protocol.ClassifyResponse(c.head, resp)
	refused := class == ResponseNotExecuted || class == ResponseWrongUpstream
	if refused && !c.conn.Load().recordRefusal(c.target.protocol.ResponseID(resp)) {
		return ResponseMismatched
	}
	if class != ResponseValid && class != ResponseNotExecuted {
		return class
	}
	if s, ok := c.target.protocol.ReadStatement(resp); ok {
		c.target.recordStatement(up, s, c.began, time.Now())
	}
	if r, ok := c.target.protocol.ReadLoad(resp); ok {
		c.target.gate.reportLoad(r, time.Now())
	}
	return class
}

// isFinalStatus reports whether a status may be that of a final response (RFC 9110, section 15).
// The parser of net/http returns responses with any three digits.
func isFinalStatus(status int) bool {
	return status >= http.StatusOK && status < 600
}

// mayRepeat reports whether the request may be sent to the upstream once more.
func (c *upstreamCall) mayRepeat(now time.Time) bool {
	return c.head.Repeatable && c.head.ContentLength == 0 && now.Before(c.head.Call.Deadline) && c.target.checkZone() == nil && c.target.gate.takeRepeat(now) &&
		c.target.takeCold(c.head.Service, now) == 0
}

// refusalFor returns a refusal for a response that doesn't belong to the request or
// says that the request was not executed.
func (c *upstreamCall) refusalFor(class ResponseClass) *refuse.Error {
	switch class {
	case ResponseNotExecuted:
		return refuse.New(refuse.Overloaded, "the upstream refused the request").WithRetryAfter(overloadRetryAfter)
	case ResponseWrongUpstream:
		return refuse.New(refuse.NoUpstream, "another upstream has the address").WithRetryAfter(overloadRetryAfter)
	case ResponseMismatched:
		c.target.metrics.Add(metric.UpstreamErrors, 1)
		return refuse.New(refuse.UpstreamFailed, "the answer belongs to another request").WithExecuted(refuse.ExecutionUnknown)
	default:
		return nil
	}
}

// sample returns the measurement of the call for the concurrency limit. Its
// latency excludes the time in which the upstream waited for the request body.
func (c *upstreamCall) sample(resp *http.Response, now time.Time) limit.Sample {
	if resp == nil {
		return limit.Sample{Failed: true}
	}
	return limit.Sample{
		Latency:   now.Sub(c.began) - c.body.waited(),
		ChildTime: c.active.ChildTime(now),
		Shed:      resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests,
	}
}

func (c *upstreamCall) successDuration(ok bool) time.Duration {
	if !ok {
		return 0
	}
	return time.Since(c.began)
}

// request builds the request to the upstream, without its header. io.NopCloser hides the
// type of the body, so that net/http never resends the request on another connection.
func (c *upstreamCall) request(ctx context.Context, up Upstream) (*http.Request, error) {
	h := c.head
	c.body = &requestBody{stream: c.stream}
	if h.ContentLength == 0 {
		c.body.sum.End()
	}
	req, err := http.NewRequestWithContext(ctx, h.Method, "http://"+up.Addr+h.URI, io.NopCloser(c.body))
	if err != nil {
		return nil, err
	}
	if !setTarget(req, h.URI) {
		return nil, errTargetForm
	}
	c.body.req = req
	req.Host = h.Host
	req.ContentLength = h.ContentLength
	if h.ContentLength < 0 {
		req.Trailer = http.Header{}
	}
	return req, nil
}

// errTargetForm is the error of a request whose target net/http would send in another form.
var errTargetForm = errors.New("its target begins with // and contains characters that must be escaped")

// requestBody reads the body of a call and copies its trailer to the request.
type requestBody struct {
	stream    *frame.Stream
	req       *http.Request
	waitNanos atomic.Int64 // nanoseconds spent waiting for the body

	mu  sync.Mutex
	sum crash.BodyDigest
}

// digest returns the digest of the body for a fingerprint, or false if too little of
// it has arrived.
func (b *requestBody) digest() (crash.Digest, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sum.Sum()
}

func (b *requestBody) addToDigest(p []byte, end bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = b.sum.Write(p)
	if end {
		b.sum.End()
	}
}

// waited returns the total time that reads waited for the body.
func (b *requestBody) waited() time.Duration {
	return time.Duration(b.waitNanos.Load())
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	began := time.Now()
	n, err := b.stream.Read(p)
	b.waitNanos.Add(int64(time.Since(began)))
	b.addToDigest(p[:n], errors.Is(err, io.EOF))
	if errors.Is(err, io.EOF) && b.req.Trailer != nil {
		if trailer, uerr := unpack[http.Header](b.stream.Trailer()); uerr == nil {
			for name, values := range EndToEndHeader(trailer) {
				b.req.Trailer[textproto.CanonicalMIMEHeaderKey(name)] = values
			}
		}
	}
	return n, err
}

// failureRefusal returns the refusal for a failed call to the upstream with the given context.
// If no connection was obtained, the request was not executed.
func (t *Target) failureRefusal(ctx context.Context, err error, gotConn bool) *refuse.Error {
	t.metrics.Add(metric.UpstreamErrors, 1)
	reason := refuse.UpstreamFailed
	switch {
	case errors.Is(context.Cause(ctx), errNotConnected):
		reason = refuse.DeadlineExceeded
	case ctx.Err() == nil:
		// The deadline is not that of the call: a dial that timed out is DeadlineExceeded too.
	case errors.Is(err, context.DeadlineExceeded):
		reason = refuse.DeadlineExceeded
	case errors.Is(err, context.Canceled):
		reason = refuse.Cancelled
	}
	e := refuse.New(reason, "%s", noAnswerDetail("the upstream", err))
	if gotConn {
		e = e.WithExecuted(refuse.ExecutionUnknown)
	}
	return e
}

// sendReply sends the response of the upstream and reports whether it was complete.
func (c *upstreamCall) sendReply(resp *http.Response) bool {
	w := c.attempt
	data, err := pack(ReplyHead{
		Status:        resp.StatusCode,
		Header:        EndToEndHeader(resp.Header),
		ContentLength: resp.ContentLength,
		ChildFailed:   c.active.ChildFailed(),
		Statement:     c.target.statementToSend(),
	})
	if err != nil {
		c.stream.Reset(frame.CodeInternal)
		return false
	}
	if w.SendHead(data) != nil {
		return false
	}
	err = CopyBody(w, resp.Body)
	trailer, perr := pack(ReplyTrailer{
		Complete:     err == nil,
		Trailer:      EndToEndHeader(resp.Trailer),
		AttemptsLeft: c.active.RemainingAttempts(),
		Feedback:     c.target.feedback(c.head),
	})
	if perr != nil || w.CloseWrite(trailer) != nil {
		c.stream.Reset(frame.CodeInternal)
		return false
	}
	return err == nil
}
