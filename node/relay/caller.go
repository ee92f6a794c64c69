package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"dogwoodsill.org/core/frame"
	"dogwoodsill.org/core/lines"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/picker"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/core/retry"
	"dogwoodsill.org/core/super"
)

// maxPlacements bounds the targets that are tried for one call, those that
// refuse it unsent included. Four nodes of a service that are all unusable say
// enough about the others.
const maxPlacements = 4

// Candidate is a target that can serve a call.
type Candidate struct {
	ID          string // instance and incarnation
	Instance    string
	Incarnation uint64
	Addr        string // peer address of its node
	Zone        string
	Slots       int
	State       State
}

// Directory lists the targets of a service. The number changes with the list.
type Directory interface {
	Candidates(service string) ([]Candidate, uint64)
}

// Links opens sessions to peer addresses.
type Links interface {
	Session(ctx context.Context, addr string) (*frame.Session, error)
}

// Request is a call to be sent to some target of a service.
type Request struct {
	Call          model.Call
	Service       string
	Route         string
	Method        string
	URI           string
	Header        http.Header
	ContentLength int64
	Body          *Body
	Repeatable    bool // may be sent again after it may have run
	Host          string
	RequestID     string // the caller's own identifier
	ConfigOffset  uint64 // offset of the configuration under which the request was admitted
	// BeforeAttempt is called right before each attempt is sent and may refuse it. Undo
	// is called after an attempt that surely was not run. Both may be nil.
	BeforeAttempt func(now time.Time) *refuse.Error
	OnNotExecuted func()
}

// Caller sends calls to targets. It is safe for concurrent use.
type Caller struct {
	*Balancer
	links   Links
	metrics *metric.Set
	log     hclog.Logger
	lines   *lines.Limiter
}

// CallerOption changes a caller.
type CallerOption func(*Caller)

// WithAttemptLog sets where failed attempts are logged, and the bound on the
// lines.
func WithAttemptLog(l hclog.Logger, bound *lines.Limiter) CallerOption {
	return func(c *Caller) { c.log, c.lines = l, bound }
}

// NewCaller returns a caller that uses a balancer.
func NewCaller(b *Balancer, links Links, m *metric.Set, opts ...CallerOption) *Caller {
	c := &Caller{Balancer: b, links: links, metrics: m, log: hclog.NewNullLogger(), lines: lines.NewLimiter(0)}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// attemptError is the failure of one attempt.
type attemptError struct {
	refusal  *refuse.Error
	outcome  retry.Outcome
	result   picker.Result
	left     int  // attempts that came back unused
	silent   bool // the link was lost; the attempt may run
	reached  bool // the call was sent to an upstream, or may have been
	feedback *Feedback
}

// delivery is the state of a call over its attempts.
type delivery struct {
	req      *Request
	budget   *retry.Budget
	tried    []string
	first    bool // the first attempt was made
	executed refuse.Executed
	last     *refuse.Error
	answer   *Response // an upstream's error that was to be replaced; nil for none
}

// Do sends a call and returns the answer, or a refusal together with the
// number of attempts that were not used.
func (c *Caller) Do(ctx context.Context, req *Request) (*Response, int, *refuse.Error) {
	d := &delivery{req: req, budget: retry.NewBudget(req.Call.Attempts), executed: refuse.NotExecuted}
	for {
		resp, again := c.try(ctx, d)
		if resp != nil {
			return resp, 0, nil
		}
		if again {
			continue
		}
		if d.answer != nil {
			return d.answer, 0, nil
		}
		return nil, d.budget.Remaining(), d.last.WithExecuted(d.executed)
	}
}

// try makes one attempt. It returns the answer or whether to try again.
func (c *Caller) try(ctx context.Context, d *delivery) (resp *Response, again bool) {
	now := time.Now()
	if !now.Before(d.req.Call.Deadline) {
		d.fail(refuse.New(refuse.DeadlineExceeded, "the deadline passed"))
		return nil, false
	}
	target, ok := c.pick(d.req, d.tried, now)
	if !ok {
		if d.last == nil {
			d.fail(refuse.New(refuse.NoUpstream, "no target of service %q is available", d.req.Service).WithRetryAfter(time.Second))
		}
		return nil, false
	}
	below, ok := d.budget.Begin()
	if !ok {
		c.done(d.req, target.ID, picker.Unknown, nil, now)
		d.fail(refuse.New(refuse.AttemptsExhausted, "the attempts of the request are spent"))
		return nil, false
	}
	c.count(d, now)
	resp, fail := c.attempt(ctx, d.req, target, below)
	if fail == nil {
		fail = resp.settle(ctx, d.req.Call.Deadline)
	}
	if fail != nil {
		return nil, c.failed(ctx, d, target, fail)
	}
	if resp.Status >= http.StatusInternalServerError {
		return c.rescue(ctx, d, target, resp)
	}
	return resp, false
}

// rescue decides whether a call that an upstream answered with an error is
// attempted again. Otherwise, and if nothing better comes of it, the error is the
// answer.
func (c *Caller) rescue(ctx context.Context, d *delivery, target Candidate, resp *Response) (*Response, bool) {
	if resp.ChildFailed {
		return resp, false // the call below was attempted again where it failed
	}
	if !d.req.Body.repeatable() {
		return resp, false
	}
	d.budget.End(d.budget.Lent())
	v := c.next(d.req.Service, retry.Attempt{
		Outcome:    retry.Failed,
		Idempotent: d.req.Repeatable,
		Retries:    len(d.tried),
		TokensLeft: d.budget.Remaining(),
		Deadline:   d.req.Call.Deadline,
	}, time.Now())
	if !v.Retry() || !c.another(d, target) || !super.Pause(ctx, v.Delay) {
		return resp, false
	}
	_ = resp.Body.Close()
	if _, whole := resp.Body.(*settledBody); whole {
		d.answer = resp
	}
	d.tried = append(d.tried, target.ID)
	d.fail(refuse.New(refuse.UpstreamFailed, "the upstream answered with status %d", resp.Status).WithExecuted(refuse.ExecutionUnknown))
	c.logAttempt(d, target, d.last, true, time.Now())
	return nil, true
}

func (d *delivery) fail(e *refuse.Error) {
	d.last = e
	if e.Executed == refuse.ExecutionUnknown {
		d.executed = refuse.ExecutionUnknown
	}
}

func (c *Caller) count(d *delivery, now time.Time) {
	c.metrics.Add(metric.Attempts, 1)
	if !d.first {
		d.first = true
		c.first(d.req.Service, now)
		return
	}
	c.metrics.Add(metric.Retries, 1)
}

// failed records a failed attempt, decides whether another one follows and
// waits until then.
func (c *Caller) failed(ctx context.Context, d *delivery, target Candidate, fail *attemptError) bool {
	now := time.Now()
	if fail.refusal.Executed == refuse.NotExecuted && d.req.OnNotExecuted != nil {
		d.req.OnNotExecuted()
	}
	c.done(d.req, target.ID, fail.result, fail.feedback, now)
	d.budget.End(fail.left)
	if !fail.reached {
		d.budget.ReturnToken()
	}
	d.fail(fail.refusal)
	retries := len(d.tried)
	d.tried = append(d.tried, target.ID)
	if !d.req.Body.repeatable() || len(d.tried) >= maxPlacements {
		c.logAttempt(d, target, fail.refusal, false, now)
		return false
	}
	v := c.next(d.req.Service, retry.Attempt{
		Outcome:    c.outcome(d.req, fail, now),
		Idempotent: d.req.Repeatable,
		Unsent:     !fail.reached,
		Retries:    retries,
		TokensLeft: d.budget.Remaining(),
		Deadline:   d.req.Call.Deadline,
	}, now)
	c.logAttempt(d, target, fail.refusal, v.Retry(), now)
	return v.Retry() && super.Pause(ctx, v.Delay)
}

// logAttempt writes what became of an attempt and what follows.
func (c *Caller) logAttempt(d *delivery, target Candidate, e *refuse.Error, again bool, now time.Time) {
	if !c.log.IsInfo() || !c.lines.Allow(now) {
		return
	}
	c.log.Info("attempt failed", "request", d.req.RequestID, "service", d.req.Service, "instance", target.ID, "attempt", len(d.tried),
		"reason", e.Reason, "executed", e.Executed, "detail", e.Detail, "again", again, "left", d.budget.Remaining())
}

// outcome refines the outcome of an attempt: when the service excludes the
// rank of the call, other targets would refuse it as well.
func (c *Caller) outcome(req *Request, fail *attemptError, now time.Time) retry.Outcome {
	if fail.outcome == retry.Refused && c.excluded(req.Service, req.Call.Rank, now) {
		return retry.Excluded
	}
	return fail.outcome
}

// attempt sends the call to one target with a number of attempts for the calls
// below it. When the link goes silent before the answer, the same attempt is
// resumed on a new link; the target's node knows whether it already runs.
func (c *Caller) attempt(ctx context.Context, req *Request, to Candidate, below int) (*Response, *attemptError) {
	ctx, cancel := context.WithDeadline(ctx, req.Call.Deadline)
	began := time.Now()
	if req.BeforeAttempt != nil {
		if e := req.BeforeAttempt(time.Now()); e != nil {
			cancel()
			return nil, rejected(e, below)
		}
	}
	h := head(req, to, below)
	s, reply, fail := c.exchange(ctx, req, to.Addr, KindCall, h)
	if fail != nil && fail.silent && req.Body.whole && ctx.Err() == nil {
		c.metrics.Add(metric.Resumed, 1)
		h.Resume, h.Remaining = true, time.Until(req.Call.Deadline).Microseconds()
		s, reply, fail = c.exchange(ctx, req, to.Addr, KindCall, h)
		if fail != nil {
			fail.refusal = fail.refusal.WithExecuted(refuse.ExecutionUnknown)
			fail.outcome = retry.Failed
		}
	}
	if fail != nil {
		cancel()
		return nil, fail
	}
	// The body ends with the deadline too, also when the link goes silent.
	context.AfterFunc(ctx, func() { s.Reset(frame.CodeCanceled) })
	return c.newResponse(req, to, began, s, reply, cancel), nil
}

// exchange sends a call and waits for the head of its answer.
func (c *Caller) exchange(ctx context.Context, req *Request, addr string, kind uint8, h CallHead) (*frame.Stream, ReplyHead, *attemptError) {
	s, fail := c.open(ctx, addr, kind, h)
	if fail != nil {
		return nil, ReplyHead{}, fail
	}
	body, _ := req.Body.open()
	go send(s, body, req.Body)
	reply, err := receiveHead(ctx, s)
	if err != nil {
		s.Reset(frame.CodeCanceled)
		return nil, ReplyHead{}, lost(ctx, err)
	}
	if reply.Refusal != nil {
		s.Reset(frame.CodeDone)
		return nil, ReplyHead{}, refused(&reply)
	}
	return s, reply, nil
}

// open opens the stream of a call or a claim.
func (c *Caller) open(ctx context.Context, addr string, kind uint8, h CallHead) (*frame.Stream, *attemptError) {
	session, err := c.links.Session(ctx, addr)
	if err != nil {
		return nil, notSent(ctx, h.Call.Attempts, "the node to call is unreachable")
	}
	data, err := pack(h)
	if err != nil {
		return nil, rejected(refuse.New(refuse.BadRequest, "request head: %v", err), h.Call.Attempts)
	}
	s, err := session.Open(ctx, kind, data)
	if err != nil {
		return nil, notSent(ctx, h.Call.Attempts, "the link to the node failed")
	}
	return s, nil
}

func head(req *Request, to Candidate, below int) CallHead {
	call := req.Call
	call.Attempts = below
	call.Depth++
	return CallHead{
		Attempt:       newAttemptID(),
		Incarnation:   to.Incarnation,
		Call:          call,
		Remaining:     time.Until(call.Deadline).Microseconds(),
		Service:       req.Service,
		Route:         req.Route,
		Method:        req.Method,
		URI:           req.URI,
		Host:          req.Host,
		Header:        req.Header,
		ContentLength: req.ContentLength,
		RequestID:     req.RequestID,
		ConfigOffset:  req.ConfigOffset,
	}
}

// newAttemptID returns a random identifier of 16 bytes.
func newAttemptID() string {
	id := uuid.New()
	return string(id[:])
}

// rejected describes an attempt that was not sent and that no repeat can help.
func rejected(e *refuse.Error, left int) *attemptError {
	return &attemptError{refusal: e, outcome: retry.Rejected, result: picker.Unknown, left: left}
}

// notSent describes an attempt that surely reached no upstream.
func notSent(ctx context.Context, left int, detail string) *attemptError {
	if ctx.Err() != nil {
		return rejected(contextRefusal(ctx), left)
	}
	return &attemptError{
		refusal: refuse.New(refuse.UpstreamFailed, "%s", detail),
		outcome: retry.NotDispatched, result: picker.Failed, left: left,
	}
}

// lost describes an attempt that ended without an answer. A stream that the
// far node refused was never given to a handler there.
func lost(ctx context.Context, err error) *attemptError {
	var reset *frame.ResetError
	if errors.As(err, &reset) && reset.Remote && reset.Code == frame.CodeRefused {
		return notSent(ctx, 0, "the target's node refused the stream")
	}
	if ctx.Err() != nil {
		return &attemptError{refusal: contextRefusal(ctx).WithExecuted(refuse.ExecutionUnknown), outcome: retry.Rejected, result: blame(ctx)}
	}
	var session *frame.SessionError
	e := refuse.New(refuse.UpstreamFailed, "the target's node gave no answer")
	return &attemptError{
		refusal: e.WithExecuted(refuse.ExecutionUnknown), outcome: retry.Failed, result: picker.Failed,
		silent: errors.As(err, &session), reached: true,
	}
}

// blame says what the end of a context tells about the target: a missed
// deadline speaks against it, a caller that left doesn't.
func blame(ctx context.Context) picker.Result {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return picker.Failed
	}
	return picker.Unknown
}

func contextRefusal(ctx context.Context) *refuse.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refuse.New(refuse.DeadlineExceeded, "no answer before the deadline")
	}
	return refuse.New(refuse.Cancelled, "the request was cancelled")
}

// refused describes an attempt that the target's node refused.
func refused(r *ReplyHead) *attemptError {
	fail := &attemptError{
		refusal: r.Refusal, outcome: retry.Rejected, result: picker.Refused, left: r.AttemptsLeft, feedback: &r.Feedback,
		reached: r.Reached || r.Refusal.Executed == refuse.ExecutionUnknown,
	}
	switch r.Refusal.Reason {
	case refuse.Overloaded:
		fail.outcome = retry.Refused
		if r.Reached {
			fail.result = picker.Shed
		}
	case refuse.NoUpstream, refuse.NotReady, refuse.ConfigStale:
		fail.outcome = retry.NotDispatched
	case refuse.UpstreamFailed:
		fail.outcome, fail.result = retry.Failed, picker.Failed
		if r.Refusal.Executed == refuse.NotExecuted {
			fail.outcome = retry.NotDispatched
		}
	case refuse.DeadlineExceeded:
		fail.outcome = retry.Expired
	}
	return fail
}

func send(s *frame.Stream, body io.Reader, b *Body) {
	if body == http.NoBody {
		_ = s.CloseWrite(b.packTrailer())
		return
	}
	if err := CopyBody(s, body); err != nil {
		// An answer that came before the end of the body ends the stream, and must
		// stay readable. Otherwise the body itself failed.
		if !ended(s) {
			s.Reset(frame.CodeCanceled)
		}
		return
	}
	_ = s.CloseWrite(b.packTrailer())
}

// ended reports whether a stream was ended by its peer or by the loss of its
// link.
func ended(s *frame.Stream) bool {
	return s.Context().Err() != nil
}

func receiveHead(ctx context.Context, s *frame.Stream) (ReplyHead, error) {
	data, err := s.RecvHead(ctx)
	if err != nil {
		return ReplyHead{}, err
	}
	return unpack[ReplyHead](data)
}
