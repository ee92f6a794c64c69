package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodsill.org/core/chain"
	"dogwoodsill.org/core/frame"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/refuse"
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
	Service     string            `json:"service"`
	Addr        string            `json:"addr"` // IP and port
	Labels      map[string]string `json:"labels,omitempty"`
	Slots       int               `json:"slots,omitempty"`       // hint: calls served at a time
	Connections int               `json:"connections,omitempty"` // most connections that it accepts
	State       State             `json:"state,omitempty"`
	TTLMS       int64             `json:"ttlMs,omitempty"`
	Load        float64           `json:"load,omitempty"` // hint: used part of its capacity, 0 to 1
}

// Target serves the calls for the local upstream. It is safe for concurrent
// use.
type Target struct {
	store   *store.Store
	calls   *chain.Table
	metrics *metric.Set
	client  *http.Transport
	onState func()

	inFlight atomic.Int64
	draining atomic.Bool
	running  sync.WaitGroup

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
)

// NewTarget returns a target without an upstream. It calls onState after each
// change of the announced state.
func NewTarget(st *store.Store, calls *chain.Table, m *metric.Set, onState func()) *Target {
	return &Target{
		store:   st,
		calls:   calls,
		metrics: m,
		onState: onState,
		client: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			DisableCompression:  true,
			MaxIdleConnsPerHost: idleConns,
			IdleConnTimeout:     idleConnTimeout,
		},
	}
}

// Announce sets the local upstream until its time to live ends.
func (t *Target) Announce(u Upstream, now time.Time) {
	t.mu.Lock()
	changed := t.up == nil || t.up.State != u.State || t.up.Service != u.Service
	t.up = &u
	t.expires = now.Add(time.Duration(u.TTLMS) * time.Millisecond)
	t.mu.Unlock()
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
	if t.draining.Load() {
		u.State = Draining
	}
	return u, true
}

// Drain refuses new calls from now on and waits for those that run.
func (t *Target) Drain(ctx context.Context) error {
	t.draining.Store(true)
	t.onState()
	done := make(chan struct{})
	go func() {
		t.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close ends idle connections to the upstream.
func (t *Target) Close() {
	t.client.CloseIdleConnections()
}

// Serve handles a call stream from another node.
func (t *Target) Serve(s *frame.Stream) {
	now := time.Now()
	head, err := unpack[CallHead](s.Head())
	if err != nil {
		s.Reset(frame.CodeInvalid)
		return
	}
	head.Call.Deadline = head.deadline(now)
	up, refusal := t.check(&head, now)
	if refusal != nil {
		t.refuse(s, refusal, head.Call.Attempts)
		return
	}
	t.running.Add(1)
	defer t.running.Done()
	t.inFlight.Add(1)
	defer t.inFlight.Add(-1)
	t.dispatch(s, &head, up)
}

// check decides whether a call may start.
func (t *Target) check(h *CallHead, now time.Time) (Upstream, *refuse.Error) {
	if t.draining.Load() {
		return Upstream{}, refuse.New(refuse.NoUpstream, "the target is draining")
	}
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
	if h.Call.KeyID != "" && !cur.View.ValidKey(h.Call.KeyID) {
		return Upstream{}, refuse.New(refuse.KeyRevoked, "the key was revoked")
	}
	return up, nil
}

func (t *Target) refuse(s *frame.Stream, e *refuse.Error, attempts int) {
	t.metrics.Add(metric.Refused+string(e.Reason), 1)
	data, err := pack(ReplyHead{Refusal: e, AttemptsLeft: attempts, Feedback: t.feedback()})
	if err == nil {
		err = s.SendHead(data)
	}
	if err == nil {
		err = s.CloseWrite(nil)
	}
	if err != nil {
		s.Reset(frame.CodeInternal)
	}
}

func (t *Target) feedback() Feedback {
	return Feedback{Level: ^uint32(0), InFlight: int(t.inFlight.Load()), Draining: t.draining.Load()}
}

// dispatch sends the call to the upstream and its answer to the stream.
func (t *Target) dispatch(s *frame.Stream, h *CallHead, up Upstream) {
	ctx, cancel := context.WithDeadline(s.Context(), h.Call.Deadline)
	defer cancel()
	active := t.calls.Begin(ctx, h.Call)
	defer t.calls.End(active)
	t.metrics.Add(metric.Served, 1)

	var wrote atomic.Bool
	req, err := t.request(ctx, s, h, up, active, &wrote)
	if err != nil {
		t.refuse(s, refuse.New(refuse.BadRequest, "request can't be forwarded: %v", err), active.Left())
		return
	}
	resp, err := t.client.RoundTrip(req)
	if err != nil {
		t.refuse(s, t.failure(err, wrote.Load()), active.Left())
		return
	}
	defer func() { _ = resp.Body.Close() }()
	t.reply(s, resp, active)
}

// request builds the request to the upstream. Its body hides the type of the
// reader, so that net/http never repeats the request on another connection.
func (t *Target) request(ctx context.Context, s *frame.Stream, h *CallHead, up Upstream, a *chain.Active, wrote *atomic.Bool) (*http.Request, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { wrote.Store(true) },
	})
	body := &requestBody{stream: s}
	req, err := http.NewRequestWithContext(ctx, h.Method, "http://"+up.Addr+h.URI, io.NopCloser(body))
	if err != nil {
		return nil, err
	}
	body.req = req
	req.ContentLength = h.ContentLength
	req.Header = CleanHeader(h.Header)
	req.Header.Set(chain.Header, a.Token)
	req.Header.Set(chain.DeadlineHeader, strconv.FormatInt(time.Until(h.Call.Deadline).Milliseconds(), 10))
	if h.ContentLength < 0 {
		req.Trailer = http.Header{}
	}
	return req, nil
}

// requestBody reads the body of a call and copies its trailer to the request.
type requestBody struct {
	stream *frame.Stream
	req    *http.Request
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.stream.Read(p)
	if errors.Is(err, io.EOF) && b.req.Trailer != nil {
		if trailer, uerr := unpack[http.Header](b.stream.Trailer()); uerr == nil {
			for name, values := range CleanHeader(trailer) {
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
		e = e.WithExecuted(refuse.Unknown)
	}
	return e
}

// reply streams the answer of the upstream.
func (t *Target) reply(s *frame.Stream, resp *http.Response, a *chain.Active) {
	data, err := pack(ReplyHead{
		Status:        resp.StatusCode,
		Header:        CleanHeader(resp.Header),
		ContentLength: resp.ContentLength,
		Feedback:      t.feedback(),
	})
	if err != nil {
		s.Reset(frame.CodeInternal)
		return
	}
	if s.SendHead(data) != nil {
		return
	}
	_, err = io.CopyBuffer(s, struct{ io.Reader }{resp.Body}, make([]byte, copyBytes))
	trailer, perr := pack(ReplyTrailer{
		Complete:     err == nil,
		Trailer:      CleanHeader(resp.Trailer),
		AttemptsLeft: a.Left(),
		Feedback:     t.feedback(),
	})
	if perr != nil || s.CloseWrite(trailer) != nil {
		s.Reset(frame.CodeInternal)
	}
}
