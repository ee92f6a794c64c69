package relay

import (
	"context"
	"errors"
	"io"
	"net"
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

// Upstream is the announcement of the local upstream.
type Upstream struct {
	Service        string            `json:"service"`
	Addr           string            `json:"addr"` // IP and port
	Labels         map[string]string `json:"labels,omitempty"`
	Slots          int               `json:"slots,omitempty"`       // hint: calls served at a time
	MaxConnections int               `json:"connections,omitempty"` // most connections that it accepts
	State          State             `json:"state,omitempty"`
	ID             string            `json:"id,omitempty"`         // of the process; changes with a restart
	FixedSlots     bool              `json:"fixedSlots,omitempty"` // slots is the exact number of calls served at a time
	TTLMS          int64             `json:"ttlMs,omitempty"`
	Load           float64           `json:"load,omitempty"` // hint: used part of its capacity, 0 to 1
}

// Target serves the calls for the local upstream. It is safe for concurrent
// use.
type Target struct {
	store    *store.Store
	calls    *chain.Table
	balancer *Balancer
	metrics  *metric.Set
	client   *http.Transport
	onState  func()
	gate     *gate
	attempts *attempts
	protocol Protocol

	incarnation uint64

	work super.Drainer

	mu      sync.Mutex
	up      *Upstream
	expires time.Time
}

// Upstream connection limits. The announced number of connections applies if
// it is lower.
const (
	idleConns       = 64
	idleConnTimeout = 30 * time.Second
	dialTimeout     = time.Second
	copyBytes       = 32 << 10
	// answerHeadBytes bounds the head of an answer, which is held in memory before it
	// is passed on: as much as the default of what a caller may send.
	answerHeadBytes = 32 << 10
	// refusalBytes bounds the body of an upstream's refusal that is read away.
	refusalBytes = 4 << 10
	// staleRetry is the time after which a node that lost touch with the log may
	// have caught up through a peer.
	staleRetry = time.Second
)

// NewTarget returns the target of a process without an upstream. It calls onState after each
// change of the announced state.
func NewTarget(incarnation uint64, st *store.Store, calls *chain.Table, b *Balancer, m *metric.Set, onState func(), opts ...TargetOption) *Target {
	t := &Target{
		protocol:    ownProtocol{},
		incarnation: incarnation, attempts: newAttempts(),
		store:    st,
		calls:    calls,
		balancer: b,
		metrics:  m,
		onState:  onState,
		gate:     newGate(),
		client: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			DisableCompression:  true,
			MaxIdleConnsPerHost: idleConns,
			IdleConnTimeout:     idleConnTimeout,

			MaxResponseHeaderBytes: answerHeadBytes,
		},
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// TargetOption changes a target.
type TargetOption func(*Target)

// WithProtocol sets how the target speaks to its upstream.
func WithProtocol(p Protocol) TargetOption {
	return func(t *Target) { t.protocol = p }
}

// Announce sets the local upstream until its time to live ends.
func (t *Target) Announce(u Upstream, now time.Time) {
	t.mu.Lock()
	restart := t.up == nil || t.up.Addr != u.Addr || t.up.ID != u.ID || u.State == Cold && t.up.State != Cold
	changed := t.up == nil || t.up.State != u.State || t.up.Service != u.Service
	t.up = &u
	t.expires = now.Add(time.Duration(u.TTLMS) * time.Millisecond)
	t.mu.Unlock()
	t.gate.hint(u, restart, now)
	if changed {
		t.onState()
	}
}

// Withdraw removes the local upstream.
func (t *Target) Withdraw() {
	t.mu.Lock()
	t.up = nil
	t.mu.Unlock()
	t.onState()
}

// Upstream returns the announced upstream, or false if there is none or its
// time to live has passed. A draining node reports its upstream as draining.
func (t *Target) Upstream(now time.Time) (Upstream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.up == nil || now.After(t.expires) {
		return Upstream{}, false
	}
	u := *t.up
	if t.work.Draining() {
		u.State = Draining
	}
	return u, true
}

// RefuseNewCalls refuses new calls from now on.
func (t *Target) RefuseNewCalls() {
	t.work.Close()
	t.onState()
}

// Drain refuses new calls from now on and waits for those that run.
func (t *Target) Drain(ctx context.Context) error {
	t.work.Close()
	t.onState()
	return t.work.Drain(ctx)
}

// Close ends idle connections to the upstream.
func (t *Target) Close() {
	t.client.CloseIdleConnections()
}

// PollQueue is the duty that drops queued calls that can't meet their deadline.
func (t *Target) PollQueue(ctx context.Context) error {
	return t.gate.poll(ctx)
}

// Load returns the use of the local upstream.
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
		t.refuseStream(s, &head, t.otherProcess(&head))
		return
	}
	a, isNew := t.attempts.begin(head.Attempt, s, head.Call.Deadline, now)
	switch {
	case isNew:
		a.follow(s)
		t.run(a, s, &head, now)
	case head.Resume:
		if e := a.resume(s); e != nil {
			t.refuseStream(s, &head, e)
		}
	default:
		s.Reset(frame.CodeInvalid) // a late copy of an attempt that was resumed
	}
}

// otherProcess refuses an attempt that was meant for another process. The one
// that it was meant for may have run an attempt that is resumed.
func (t *Target) otherProcess(h *CallHead) *refuse.Error {
	e := refuse.New(refuse.NoUpstream, "the node of the target was restarted")
	if h.Resume {
		e = e.WithExecuted(refuse.ExecutionUnknown)
	}
	return e
}

// run admits and dispatches a new attempt.
func (t *Target) run(a *attempt, s *frame.Stream, h *CallHead, now time.Time) {
	defer func() { t.attempts.end(a, time.Now()) }()
	t.balancer.StartCall(h.Service, now)
	t.gate.measure()
	if !t.work.Enter() {
		t.refuse(a, h, refuse.New(refuse.NoUpstream, "the target is draining"), h.Call.Attempts)
		return
	}
	defer t.work.Leave()
	up, refusal := t.check(h, now)
	if refusal == nil {
		refusal = t.gate.enter(a.ctx, h, now)
	}
	if refusal != nil {
		t.refuse(a, h, refusal, h.Call.Attempts)
		return
	}
	x := &exchange{target: t, attempt: a, stream: s, head: h, active: t.calls.Begin(a.ctx, h.Route, h.RequestID, h.Call), began: time.Now()}
	defer t.calls.End(x.active)
	x.dispatch(up)
}

// check decides whether a call may start.
func (t *Target) check(h *CallHead, now time.Time) (Upstream, *refuse.Error) {
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
		return Upstream{}, refuse.New(refuse.ConfigStale, "the target's configuration is older than that of the entry").WithRetryAfter(staleRetry)
	}
	if !known {
		return Upstream{}, refuse.New(refuse.KeyRevoked, "the key was revoked")
	}
	if limit := time.Duration(cur.View.Routes[h.Route].MaxConfigAgeMS) * time.Millisecond; limit > 0 && t.store.Age(boot.Now()) > limit {
		return Upstream{}, refuse.New(refuse.ConfigStale, "the configuration is older than route %q permits", h.Route).WithRetryAfter(staleRetry)
	}
	return up, nil
}

// replyWriter is where the reply to an attempt goes.
type replyWriter interface {
	SendHead(head []byte) error
	CloseWrite(trailer []byte) error
}

func (t *Target) refuse(w replyWriter, h *CallHead, e *refuse.Error, attempts int) {
	t.sendRefusal(w, h, ReplyHead{Refusal: e, AttemptsLeft: attempts})
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

// refuseStream refuses an attempt that is not registered.
func (t *Target) refuseStream(s *frame.Stream, h *CallHead, e *refuse.Error) {
	t.refuse(s, h, e, h.Call.Attempts)
}

func (t *Target) feedback(h *CallHead) Feedback {
	now := time.Now()
	f := t.balancer.MergeFeedback(h.Service, h.Call.Customer, t.gate.feedback(h.Call.Customer, now), now)
	return Feedback{Feedback: f, Draining: t.work.Draining()}
}

// exchange is one call at the upstream.
type exchange struct {
	target  *Target
	attempt *attempt
	stream  *frame.Stream // carries the body of the request
	head    *CallHead
	active  *chain.ActiveCall
	body    *requestBody
	began   time.Time
	wrote   atomic.Bool // a connection to the upstream was used
}

// dispatch sends an admitted call to the upstream and replies to it.
func (x *exchange) dispatch(up Upstream) {
	t := x.target
	t.metrics.Add(metric.Served, 1)
	resp, refusal := x.roundTrip(x.attempt.ctx, up)
	sample := x.sample(resp, time.Now())
	if refusal != nil {
		t.gate.leave(sample, 0, time.Now())
		t.sendRefusal(x.attempt, x.head, ReplyHead{Refusal: refusal, AttemptsLeft: x.active.RemainingAttempts(), Reached: x.wrote.Load()})
		return
	}
	defer func() { _ = resp.Body.Close() }()
	ok := x.reply(resp)
	t.gate.leave(sample, x.took(ok && !sample.Shed), time.Now())
}

func (x *exchange) roundTrip(ctx context.Context, up Upstream) (*http.Response, *refuse.Error) {
	req, err := x.request(ctx, up)
	if err != nil {
		return nil, refuse.New(refuse.BadRequest, "request can't be forwarded: %v", err)
	}
	resp, err := x.target.client.RoundTrip(req)
	if err != nil {
		return nil, x.target.failure(err, x.wrote.Load())
	}
	if refusal := x.inspect(resp); refusal != nil {
		_, _ = io.CopyN(io.Discard, resp.Body, refusalBytes) // lets the connection be used again
		_ = resp.Body.Close()
		return resp, refusal
	}
	return resp, nil
}

// inspect returns a refusal in place of an answer that is none. Its connection
// is closed with the body where more than the head may be wrong.
func (x *exchange) inspect(resp *http.Response) *refuse.Error {
	switch x.target.protocol.ClassifyResponse(x.head, resp) {
	case ResponseNotExecuted:
		return refuse.New(refuse.Overloaded, "the upstream refused the request").WithRetryAfter(overloadRetry)
	case ResponseWrongUpstream:
		return refuse.New(refuse.NoUpstream, "another upstream has the address").WithRetryAfter(overloadRetry)
	case ResponseMismatched:
		x.target.metrics.Add(metric.UpstreamErrors, 1)
		return refuse.New(refuse.UpstreamFailed, "the answer belongs to another request").WithExecuted(refuse.ExecutionUnknown)
	default:
		return nil
	}
}

// sample describes the exchange for the concurrency limit. Its latency leaves
// out the time in which the upstream waited for the body.
func (x *exchange) sample(resp *http.Response, now time.Time) limit.Sample {
	if resp == nil {
		return limit.Sample{Failed: true}
	}
	return limit.Sample{
		Latency:   now.Sub(x.began) - x.body.waited(),
		ChildTime: x.active.ChildTime(now),
		Shed:      resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests,
	}
}

func (x *exchange) took(ok bool) time.Duration {
	if !ok {
		return 0
	}
	return time.Since(x.began)
}

// request builds the request to the upstream. Its body hides the type of the
// reader, so that net/http never repeats the request on another connection.
func (x *exchange) request(ctx context.Context, up Upstream) (*http.Request, error) {
	h := x.head
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { x.wrote.Store(true) },
	})
	x.body = &requestBody{stream: x.stream}
	req, err := http.NewRequestWithContext(ctx, h.Method, "http://"+up.Addr+h.URI, io.NopCloser(x.body))
	if err != nil {
		return nil, err
	}
	x.body.req = req
	req.Host = h.Host
	req.ContentLength = h.ContentLength
	req.Header = EndToEndHeader(h.Header)
	x.target.protocol.SetHeaders(req.Header, h, up, x.active.Token, time.Until(h.Call.Deadline))
	if h.ContentLength < 0 {
		req.Trailer = http.Header{}
	}
	return req, nil
}

// requestBody reads the body of a call and copies its trailer to the request.
type requestBody struct {
	stream *frame.Stream
	req    *http.Request
	wait   atomic.Int64 // nanoseconds spent waiting for the body
}

// waited returns the time spent waiting for the body.
func (b *requestBody) waited() time.Duration {
	return time.Duration(b.wait.Load())
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	began := time.Now()
	n, err := b.stream.Read(p)
	b.wait.Add(int64(time.Since(began)))
	if errors.Is(err, io.EOF) && b.req.Trailer != nil {
		if trailer, uerr := unpack[http.Header](b.stream.Trailer()); uerr == nil {
			for name, values := range EndToEndHeader(trailer) {
				b.req.Trailer[textproto.CanonicalMIMEHeaderKey(name)] = values
			}
		}
	}
	return n, err
}

// failure describes a failed exchange with the upstream. A request of which
// nothing was written was not run.
func (t *Target) failure(err error, wrote bool) *refuse.Error {
	t.metrics.Add(metric.UpstreamErrors, 1)
	reason := refuse.UpstreamFailed
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		reason = refuse.DeadlineExceeded
	case errors.Is(err, context.Canceled):
		reason = refuse.Cancelled
	}
	e := refuse.New(reason, "the upstream gave no answer")
	if wrote {
		e = e.WithExecuted(refuse.ExecutionUnknown)
	}
	return e
}

// reply sends the answer of the upstream and reports whether it was complete.
func (x *exchange) reply(resp *http.Response) bool {
	w := x.attempt
	data, err := pack(ReplyHead{
		Status:        resp.StatusCode,
		Header:        EndToEndHeader(resp.Header),
		ContentLength: resp.ContentLength,
		ChildFailed:   x.active.ChildFailed(),
	})
	if err != nil {
		x.stream.Reset(frame.CodeInternal)
		return false
	}
	if w.SendHead(data) != nil {
		return false
	}
	err = CopyBody(w, resp.Body)
	trailer, perr := pack(ReplyTrailer{
		Complete:     err == nil,
		Trailer:      EndToEndHeader(resp.Trailer),
		AttemptsLeft: x.active.RemainingAttempts(),
		Feedback:     x.target.feedback(x.head),
	})
	if perr != nil || w.CloseWrite(trailer) != nil {
		x.stream.Reset(frame.CodeInternal)
		return false
	}
	return err == nil
}
