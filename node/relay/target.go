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

	"dogwoodsill.org/core/boot"
	"dogwoodsill.org/core/chain"
	"dogwoodsill.org/core/frame"
	"dogwoodsill.org/core/limit"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/core/super"
	"dogwoodsill.org/node/store"
)

// State is the state that an upstream announces.
type State string

// States of an upstream.
const (
	Ready    State = "ready"
	Cold     State = "cold"
	Draining State = "draining"
)

// Upstream describes the local upstream as it was announced to the node.
type Upstream struct {
	Service        string            `json:"service"`
	Addr           string            `json:"addr"` // IP and port
	Labels         map[string]string `json:"labels,omitempty"`
	Slots          int               `json:"slots,omitempty"`       // hint: calls served concurrently
	MaxConnections int               `json:"connections,omitempty"` // maximum number of connections
	State          State             `json:"state,omitempty"`
	ID             string            `json:"id,omitempty"`         // identifier of the process; changes with a restart
	FixedSlots     bool              `json:"fixedSlots,omitempty"` // Slots is exact, not a hint
	TTLMS          int64             `json:"ttlMs,omitempty"`      // time to live of the announcement in milliseconds
	Load           float64           `json:"load,omitempty"`       // hint: used fraction of its capacity, 0 to 1
}

// Target admits the calls for the local upstream and dispatches them to it. It is
// safe for concurrent use.
type Target struct {
	store    *store.Store
	calls    *chain.Table
	balancer *Balancer
	metrics  *metric.Set
	client   *upstreamClient
	onState  func()
	gate     *gate
	attempts *attemptTable
	protocol Protocol

	incarnation uint64

	drainer super.Drainer

	mu       sync.Mutex
	upstream *Upstream
	expires  time.Time
}

// Limits, sizes and times of a target.
const (
	copyBufferBytes = 32 << 10
	// maxDiscardBytes limits how much of the body of a discarded response is read
	// so that its connection can be reused. If more is left, the connection is
	// closed.
	maxDiscardBytes = 4 << 10
	// staleRetryAfter is the time after which a node with a stale configuration
	// may have received a newer one from a peer.
	staleRetryAfter = time.Second
)

// NewTarget returns a target without an upstream, for the node process with the
// given incarnation. It calls onState after each change of the announced state.
func NewTarget(incarnation uint64, st *store.Store, calls *chain.Table, b *Balancer, m *metric.Set, onState func(), opts ...TargetOption) *Target {
	t := &Target{
		protocol:    defaultProtocol{},
		incarnation: incarnation, attempts: newAttemptTable(),
		store:    st,
		calls:    calls,
		balancer: b,
		metrics:  m,
		onState:  onState,
		gate:     newGate(),
		client:   newUpstreamClient(),
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// TargetOption configures a Target.
type TargetOption func(*Target)

// WithProtocol sets the protocol between the target and its upstream.
func WithProtocol(p Protocol) TargetOption {
	return func(t *Target) { t.protocol = p }
}

// Announce sets the local upstream. The announcement expires after its time to
// live. An upstream that becomes cold again is treated like a new process.
func (t *Target) Announce(u Upstream, now time.Time) {
	t.mu.Lock()
	newProcess := t.upstream == nil || t.upstream.Addr != u.Addr || t.upstream.ID != u.ID || u.State == Cold && t.upstream.State != Cold
	changed := t.upstream == nil || t.upstream.State != u.State || t.upstream.Service != u.Service
	t.upstream = &u
	t.expires = now.Add(time.Duration(u.TTLMS) * time.Millisecond)
	t.mu.Unlock()
	t.gate.applyHints(u, newProcess, now)
	if changed {
		t.onState()
	}
}

// Withdraw removes the local upstream.
func (t *Target) Withdraw() {
	t.mu.Lock()
	t.upstream = nil
	t.mu.Unlock()
	t.onState()
}

// Upstream returns the announced upstream, or false if there is none or its time
// to live has passed. While the target is draining, the returned state is Draining.
func (t *Target) Upstream(now time.Time) (Upstream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.upstream == nil || now.After(t.expires) {
		return Upstream{}, false
	}
	u := *t.upstream
	if t.drainer.Draining() {
		u.State = Draining
	}
	return u, true
}

// RefuseNewCalls makes the target refuse all new calls.
func (t *Target) RefuseNewCalls() {
	t.drainer.Close()
	t.onState()
}

// Drain refuses new calls and waits for the running ones.
func (t *Target) Drain(ctx context.Context) error {
	t.drainer.Close()
	t.onState()
	return t.drainer.Drain(ctx)
}

// Close closes the idle connections to the upstream.
func (t *Target) Close() {
	t.client.CloseIdleConnections()
}

// PollQueue is the background task that drops queued calls that can't meet their
// deadline.
func (t *Target) PollQueue(ctx context.Context) error {
	return t.gate.poll(ctx)
}

// Load returns the current utilization of the local upstream.
func (t *Target) Load() Load {
	return t.gate.load()
}

// Serve handles a call stream from another node.
func (t *Target) Serve(s *frame.Stream) {
	now := time.Now()
	head, err := unpack[CallHead](s.Head())
	if err != nil || head.Attempt == "" {
		s.Reset(frame.CodeInvalid)
		return
	}
	head.Call.Deadline = head.deadline(now)
	if head.Incarnation != 0 && head.Incarnation != t.incarnation {
		t.refuseStream(s, &head, t.restartRefusal(&head))
		return
	}
	a, isNew := t.attempts.begin(head.Attempt, s, head.Call.Deadline, now)
	switch {
	case isNew:
		a.cancelWith(s)
		t.runAttempt(a, s, &head, now)
	case head.Resume:
		if e := a.resume(s); e != nil {
			t.refuseStream(s, &head, e)
		}
	default:
		// The attempt was resumed on another link before its first stream arrived
		// here. The reply goes to the newer stream.
		s.Reset(frame.CodeInvalid)
	}
}

// restartRefusal returns the refusal of an attempt that was sent to an earlier
// process of this node. If the attempt is resumed, the earlier process may have
// executed it.
func (t *Target) restartRefusal(h *CallHead) *refuse.Error {
	e := refuse.New(refuse.NoUpstream, "the node of the target was restarted")
	if h.Resume {
		e = e.WithExecuted(refuse.ExecutionUnknown)
	}
	return e
}

// runAttempt admits and dispatches a new attempt.
func (t *Target) runAttempt(a *attempt, s *frame.Stream, h *CallHead, now time.Time) {
	defer func() { t.attempts.end(a, time.Now()) }()
	t.balancer.StartCall(h.Service, now)
	t.gate.measureSchedulerDelay()
	if !t.drainer.Enter() {
		t.refuseCall(a, h, refuse.New(refuse.NoUpstream, "the target is draining"), h.Call.Attempts)
		return
	}
	defer t.drainer.Leave()
	up, refusal := t.checkCall(h, now)
	if refusal == nil {
		refusal = t.gate.enter(a.ctx, h, now)
	}
	if refusal != nil {
		t.refuseCall(a, h, refusal, h.Call.Attempts)
		return
	}
	c := &upstreamCall{target: t, attempt: a, stream: s, head: h, active: t.calls.Begin(a.ctx, h.Route, h.RequestID, h.Call), began: time.Now()}
	defer t.calls.End(c.active)
	c.dispatch(up)
}

// checkCall returns the upstream if the call may start, otherwise a refusal.
func (t *Target) checkCall(h *CallHead, now time.Time) (Upstream, *refuse.Error) {
	up, ok := t.Upstream(now)
	if !ok || up.Service != h.Service || up.State == Draining {
		return Upstream{}, refuse.New(refuse.NoUpstream, "no upstream of service %q at this node", h.Service)
	}
	if !now.Before(h.Call.Deadline) {
		return Upstream{}, refuse.New(refuse.DeadlineExceeded, "the deadline passed before the dispatch")
	}
	cur := t.store.Current()
	if cur == nil {
		return Upstream{}, refuse.New(refuse.NotReady, "the target has no configuration yet")
	}
	known := h.Call.KeyID == "" || cur.View.ValidKey(h.Call.KeyID)
	if !known && cur.View.Next < h.ConfigOffset {
		return Upstream{}, refuse.New(refuse.ConfigStale, "the target's configuration is older than that of the entry").WithRetryAfter(staleRetryAfter)
	}
	if !known {
		return Upstream{}, refuse.New(refuse.KeyRevoked, "the key was revoked")
	}
	if limit := time.Duration(cur.View.Routes[h.Route].MaxConfigAgeMS) * time.Millisecond; limit > 0 && t.store.Age(boot.Now()) > limit {
		return Upstream{}, refuse.New(refuse.ConfigStale, "the configuration is older than route %q permits", h.Route).WithRetryAfter(staleRetryAfter)
	}
	return up, nil
}

// replyWriter sends the reply to an attempt.
type replyWriter interface {
	SendHead(head []byte) error
	CloseWrite(trailer []byte) error
}

func (t *Target) refuseCall(w replyWriter, h *CallHead, e *refuse.Error, attemptsLeft int) {
	t.sendRefusal(w, h, ReplyHead{Refusal: e, AttemptsLeft: attemptsLeft})
}

func (t *Target) sendRefusal(w replyWriter, h *CallHead, r ReplyHead) {
	t.metrics.Add(metric.Refused+string(r.Refusal.Reason), 1)
	r.Feedback = t.feedback(h)
	data, err := pack(r)
	if err == nil {
		err = w.SendHead(data)
	}
	if err == nil {
		_ = w.CloseWrite(nil)
	}
}

// refuseStream refuses an attempt for which this stream isn't registered in the
// table of attempts.
func (t *Target) refuseStream(s *frame.Stream, h *CallHead, e *refuse.Error) {
	t.refuseCall(s, h, e, h.Call.Attempts)
}

func (t *Target) feedback(h *CallHead) Feedback {
	now := time.Now()
	f := t.balancer.MergeFeedback(h.Service, h.Call.Customer, t.gate.feedback(h.Call.Customer, now), now)
	return Feedback{Feedback: f, Draining: t.drainer.Draining()}
}

// upstreamCall is one call that is dispatched to the upstream.
type upstreamCall struct {
	target  *Target
	attempt *attempt
	stream  *frame.Stream // carries the body of the request
	head    *CallHead
	active  *chain.ActiveCall
	body    *requestBody
	began   time.Time
	gotConn atomic.Bool // a connection was obtained, so the upstream may have seen the request
}

// dispatch sends an admitted call to the upstream and sends the reply.
func (c *upstreamCall) dispatch(up Upstream) {
	t := c.target
	t.metrics.Add(metric.Served, 1)
	resp, refusal := c.roundTrip(c.attempt.ctx, up)
	sample := c.sample(resp, time.Now())
	if refusal != nil {
		t.gate.leave(sample, 0, time.Now())
		t.sendRefusal(c.attempt, c.head, ReplyHead{Refusal: refusal, AttemptsLeft: c.active.RemainingAttempts(), Reached: c.gotConn.Load()})
		return
	}
	defer func() { _ = resp.Body.Close() }()
	ok := c.sendReply(resp)
	t.gate.leave(sample, c.successDuration(ok && !sample.Shed), time.Now())
}

func (c *upstreamCall) roundTrip(ctx context.Context, up Upstream) (*http.Response, *refuse.Error) {
	req, err := c.request(ctx, up)
	if err != nil {
		return nil, refuse.New(refuse.BadRequest, "request can't be forwarded: %v", err)
	}
	resp, err := c.target.client.send(req, c.head.Repeatable)
	if isMalformedResponse(err) && c.mayRepeat() {
		resp, err = c.target.client.fresh.RoundTrip(req)
	}
	if err != nil {
		return nil, c.target.failureRefusal(err, c.gotConn.Load())
	}
	class := c.target.protocol.ClassifyResponse(c.head, resp)
	if class == ResponseMismatched {
		return c.afterMismatch(req, resp)
	}
	if refusal := c.refusalFor(class); refusal != nil {
		_, _ = io.CopyN(io.Discard, resp.Body, maxDiscardBytes) // so that the connection can be reused
		_ = resp.Body.Close()
		return resp, refusal
	}
	return resp, nil
}

// afterMismatch handles a response that doesn't belong to the request, such as a second copy
// of an earlier response that arrived when the connection was in use again. Whether the
// upstream executed the request is not known. A request that may run again and has no
// body is sent once more on a connection of its own.
func (c *upstreamCall) afterMismatch(req *http.Request, resp *http.Response) (*http.Response, *refuse.Error) {
	t := c.target
	t.client.discard(resp)
	refusal := c.refusalFor(ResponseMismatched)
	if !c.mayRepeat() {
		return resp, refusal
	}
	again, err := t.client.fresh.RoundTrip(req)
	if err != nil {
		return resp, refusal
	}
	if class := t.protocol.ClassifyResponse(c.head, again); class != ResponseValid {
		_ = again.Body.Close()
		return resp, refusal
	}
	return again, nil
}

// mayRepeat reports whether the request may be sent to the upstream once more.
func (c *upstreamCall) mayRepeat() bool {
	return c.head.Repeatable && c.head.ContentLength == 0
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

// request builds the request to the upstream. io.NopCloser hides the type of the
// body, so that net/http never resends the request on another connection.
func (c *upstreamCall) request(ctx context.Context, up Upstream) (*http.Request, error) {
	h := c.head
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { c.gotConn.Store(true) },
	})
	c.body = &requestBody{stream: c.stream}
	req, err := http.NewRequestWithContext(ctx, h.Method, "http://"+up.Addr+h.URI, io.NopCloser(c.body))
	if err != nil {
		return nil, err
	}
	c.body.req = req
	req.Host = h.Host
	req.ContentLength = h.ContentLength
	req.Header = EndToEndHeader(h.Header)
	c.target.protocol.SetHeaders(req.Header, h, up, c.active.Token, time.Until(h.Call.Deadline))
	if h.ContentLength < 0 {
		req.Trailer = http.Header{}
	}
	return req, nil
}

// requestBody reads the body of a call and copies its trailer to the request.
type requestBody struct {
	stream    *frame.Stream
	req       *http.Request
	waitNanos atomic.Int64 // nanoseconds spent waiting for the body
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
	if errors.Is(err, io.EOF) && b.req.Trailer != nil {
		if trailer, uerr := unpack[http.Header](b.stream.Trailer()); uerr == nil {
			for name, values := range EndToEndHeader(trailer) {
				b.req.Trailer[textproto.CanonicalMIMEHeaderKey(name)] = values
			}
		}
	}
	return n, err
}

// failureRefusal returns the refusal for a failed call to the upstream. If no
// connection was obtained, the request was not executed.
func (t *Target) failureRefusal(err error, gotConn bool) *refuse.Error {
	t.metrics.Add(metric.UpstreamErrors, 1)
	reason := refuse.UpstreamFailed
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		reason = refuse.DeadlineExceeded
	case errors.Is(err, context.Canceled):
		reason = refuse.Cancelled
	}
	e := refuse.New(reason, "the upstream gave no answer")
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
