package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"dogwoodsill.org/core/crash"
	"dogwoodsill.org/core/frame"
	"dogwoodsill.org/core/lines"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/picker"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/core/retry"
	"dogwoodsill.org/core/super"
)

// maxTargets limits the number of targets that are tried for one call, including
// those that refuse it before it reaches their upstream. If four targets of a
// service are unusable, the others are likely to be unusable too.
const maxTargets = 4

// maxColdTargets limits the number of targets that return one call because their upstreams are cold.
// Such a target tells until when it is full and isn't chosen before, so few calls meet more than one.
const maxColdTargets = 64

// Candidate is a target of a service as the membership of the fleet lists it.
type Candidate struct {
	ID          string // instance and incarnation
	Instance    string
	Incarnation uint64
	Addr        string // peer address of its node
	Zone        string
	Slots       int
	State       State
	Leaving     Process // the process of the upstream if that leaves, and not only its node
}

// Directory lists the targets of a service. The returned number is the generation
// of the list; it changes whenever the list does.
type Directory interface {
	Candidates(service string) ([]Candidate, uint64)
}

// Links returns sessions to the peer addresses of nodes.
type Links interface {
	Session(ctx context.Context, addr string) (*frame.Session, error)
}

// Request is a call to a service, which any of its targets can serve.
type Request struct {
	Call          model.Call
	Service       string
	Route         string
	Method        string
	URI           string
	Header        http.Header
	ContentLength int64
	Body          *Body
	Repeatable    bool // may be sent again even if it was possibly executed
	Host          string
	RequestID     string // identifier that the caller chose
	ConfigOffset  uint64 // offset of the configuration under which the request was admitted
	// BeforeAttempt is called right before each attempt is sent and may refuse
	// it. OnNotExecuted is called after an attempt that was certainly not
	// executed. Both may be nil.
	BeforeAttempt func(now time.Time) *refuse.Error
	OnNotExecuted func()

	fingerprint *crash.Fingerprint // nil until it is needed
}

// Caller sends calls to targets and retries failed attempts. It is safe for
// concurrent use.
type Caller struct {
	*Balancer
	links   Links
	crashes *crash.Registry
	metrics *metric.Set
	log     hclog.Logger
	lines   *lines.Limiter
}

// CallerOption configures a Caller.
type CallerOption func(*Caller)

// WithAttemptLog sets the logger of failed attempts and the limit on its lines.
func WithAttemptLog(l hclog.Logger, bound *lines.Limiter) CallerOption {
	return func(c *Caller) { c.log, c.lines = l, bound }
}

// NewCaller returns a caller that picks its targets with a balancer.
func NewCaller(b *Balancer, links Links, m *metric.Set, opts ...CallerOption) *Caller {
	c := &Caller{Balancer: b, links: links, crashes: crash.NewRegistry(nil), metrics: m, log: hclog.NewNullLogger(), lines: lines.NewLimiter(0)}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// callState is the state of a call across its attempts.
type callState struct {
	req           *Request
	budget        *retry.Budget
	tried         []string
	counted       bool            // the first attempt was counted
	executed      refuse.Executed // whether any attempt so far may have been executed
	lastRefusal   *refuse.Error
	coldTried     int       // number of targets in tried that returned the call because their upstream is cold
	errorResponse *Response // error response of an upstream, returned if no retry succeeds; may be nil
}

// Do sends a call and returns the response, or a refusal together with the number
// of unused attempts.
func (c *Caller) Do(ctx context.Context, req *Request) (*Response, int, *refuse.Error) {
	state := &callState{req: req, budget: retry.NewBudget(req.Call.Attempts), executed: refuse.NotExecuted}
	for {
		resp, again := c.tryTarget(ctx, state)
		if resp != nil {
			return resp, 0, nil
		}
		if again {
			continue
		}
		if state.errorResponse != nil {
			return state.errorResponse, 0, nil
		}
		return nil, state.budget.Remaining(), state.lastRefusal.WithExecuted(state.executed)
	}
}

// tryTarget makes one attempt. It returns the response, or whether to try again.
func (c *Caller) tryTarget(ctx context.Context, state *callState) (resp *Response, again bool) {
	now := time.Now()
	if !now.Before(state.req.Call.Deadline) {
		state.recordRefusal(refuse.New(refuse.DeadlineExceeded, "the deadline passed"))
		return nil, false
	}
	if e := c.refuseKnown(state.req, now); e != nil {
		state.recordRefusal(e)
		return nil, false
	}
	target, ok := c.pick(state.req, state.tried, now)
	if !ok {
		if state.lastRefusal == nil {
			state.recordRefusal(refuse.New(refuse.NoUpstream, "no target of service %q is available", state.req.Service).WithRetryAfter(time.Second))
		}
		return nil, false
	}
	childAttempts, ok := state.budget.Begin()
	if !ok {
		c.recordResult(state.req, target.ID, picker.Unknown, nil, now)
		state.recordRefusal(refuse.New(refuse.AttemptsExhausted, "the attempts of the request are spent"))
		return nil, false
	}
	c.countAttempt(state, now)
	resp, fail := c.attempt(ctx, state.req, target, childAttempts)
	if fail == nil {
		fail = resp.bufferBody(ctx, state.req.Call.Deadline)
	}
	if fail != nil {
		return nil, c.handleFailure(ctx, state, target, fail)
	}
	if resp.Status >= http.StatusInternalServerError {
		return c.retryErrorResponse(ctx, state, target, resp)
	}
	return resp, false
}

// retryErrorResponse decides whether a call is retried after an upstream returned
// an error response. The error response is the result of the call if there is no
// retry or if the retries fail.
func (c *Caller) retryErrorResponse(ctx context.Context, state *callState, target Candidate, resp *Response) (*Response, bool) {
	if resp.ChildFailed {
		return resp, false // the node that made the failed child call has retried it
	}
	if !state.req.Body.available() {
		return resp, false
	}
	state.budget.End(state.budget.Lent()) // takes back all attempts lent to child calls
	decision := c.decideRetry(state.req.Service, retry.Attempt{
		Outcome:    retry.Failed,
		Idempotent: state.req.Repeatable,
		Retries:    state.usualTried(),
		TokensLeft: state.budget.Remaining(),
		Deadline:   state.req.Call.Deadline,
	}, time.Now())
	if !decision.Retry() || !c.hasUntried(state, target) || !super.Pause(ctx, decision.Delay) {
		return resp, false
	}
	_ = resp.Body.Close()
	if _, buffered := resp.Body.(*bufferedBody); buffered {
		state.errorResponse = resp
	}
	state.tried = append(state.tried, target.ID)
	state.recordRefusal(refuse.New(refuse.UpstreamFailed, "the upstream answered with status %d", resp.Status).WithExecuted(refuse.ExecutionUnknown))
	c.logAttempt(state, target, state.lastRefusal, true, time.Now())
	return nil, true
}

func (s *callState) recordRefusal(e *refuse.Error) {
	s.lastRefusal = e
	if e.Executed == refuse.ExecutionUnknown {
		s.executed = refuse.ExecutionUnknown
	}
}

// usualTried returns the number of targets that were tried, without those whose upstreams are cold.
func (s *callState) usualTried() int {
	return max(0, len(s.tried)-s.coldTried)
}

func (c *Caller) countAttempt(state *callState, now time.Time) {
	c.metrics.Add(metric.Attempts, 1)
	if !state.counted {
		state.counted = true
		c.recordFirst(state.req.Service, now)
		return
	}
	c.metrics.Add(metric.Retries, 1)
}

// handleFailure records a failed attempt and decides whether to retry. If so, it
// waits for the backoff delay.
func (c *Caller) handleFailure(ctx context.Context, state *callState, target Candidate, fail *attemptError) bool {
	now := time.Now()
	if fail.refusal.Executed == refuse.NotExecuted && state.req.OnNotExecuted != nil {
		state.req.OnNotExecuted()
	}
	c.recordResult(state.req, target.ID, fail.result, fail.feedback, now)
	state.budget.End(fail.attemptsLeft)
	if !fail.reached {
		state.budget.ReturnToken()
	}
	state.recordRefusal(fail.refusal)
	if fail.cold {
		state.coldTried++
	}
	retries := state.usualTried()
	if !fail.again {
		state.tried = append(state.tried, target.ID)
	}
	if !state.req.Body.available() || state.usualTried() >= maxTargets || state.coldTried >= maxColdTargets || fail.refusal.Reason == refuse.UpstreamFailed && fail.reached && c.isSuspect(state.req, now) {
		c.logAttempt(state, target, fail.refusal, false, now)
		return false
	}
	decision := c.decideRetry(state.req.Service, retry.Attempt{
		Outcome:    c.refineOutcome(state.req, fail, now),
		Idempotent: state.req.Repeatable,
		Unsent:     !fail.reached,
		Retries:    retries,
		TokensLeft: state.budget.Remaining(),
		Deadline:   state.req.Call.Deadline,
	}, now)
	c.logAttempt(state, target, fail.refusal, decision.Retry(), now)
	// A cold target says nothing about the load of others, so there is no reason to wait.
	return decision.Retry() && (fail.cold && ctx.Err() == nil || super.Pause(ctx, decision.Delay))
}

// logAttempt logs why an attempt failed and whether the call is retried.
func (c *Caller) logAttempt(state *callState, target Candidate, e *refuse.Error, again bool, now time.Time) {
	if !c.log.IsInfo() || !c.lines.Allow(now) {
		return
	}
	c.log.Info("attempt failed", "request", state.req.RequestID, "service", state.req.Service, "instance", target.ID, "attempt", len(state.tried),
		"reason", e.Reason, "executed", e.Executed, "detail", e.Detail, "again", again, "left", state.budget.Remaining())
}

// refineOutcome returns the outcome of a failed attempt. If the service as a whole
// refuses the rank of the call, other targets would refuse it as well.
func (c *Caller) refineOutcome(req *Request, fail *attemptError, now time.Time) retry.Outcome {
	if fail.outcome == retry.Refused && c.excluded(req.Service, req.Call.Rank, now) {
		return retry.Excluded
	}
	return fail.outcome
}

// attempt sends the call to one target. Its child calls may use childAttempts
// attempts. If the link is lost before the response arrives, the same attempt is
// resumed on a new link; the target's node can tell whether the attempt is already
// running.
func (c *Caller) attempt(ctx context.Context, req *Request, to Candidate, childAttempts int) (*Response, *attemptError) {
	ctx, cancel := context.WithDeadline(ctx, req.Call.Deadline)
	began := time.Now()
	if req.BeforeAttempt != nil {
		if e := req.BeforeAttempt(time.Now()); e != nil {
			cancel()
			return nil, rejectedError(e, childAttempts)
		}
	}
	h := newCallHead(req, to, childAttempts)
	h.Statement = c.statement(to.Instance)
	s, reply, fail := c.send(ctx, req, to.Addr, KindCall, h)
	if fail == nil || fail.feedback != nil {
		c.recordStatement(req.Service, to, &reply, time.Now())
	}
	if fail != nil {
		cancel()
		return nil, fail
	}
	// Reading the response body also ends at the deadline, even if the peer is
	// unreachable.
	context.AfterFunc(ctx, func() { s.Reset(frame.CodeCanceled) })
	return c.newResponse(req, to, began, s, reply, cancel), nil
}

// send sends a call or a claim and waits for the head of the reply. If the link is lost before
// that, the call is resumed on a new one.
func (c *Caller) send(ctx context.Context, req *Request, addr string, kind uint8, h CallHead) (*frame.Stream, ReplyHead, *attemptError) {
	s, reply, fail := c.exchange(ctx, req, addr, kind, h)
	if fail != nil && fail.linkLost && req.Body.buffered && ctx.Err() == nil {
		return c.resume(ctx, req, addr, kind, h)
	}
	return s, reply, fail
}

// resume asks the target's node for the reply to an attempt whose link was lost, or the owner of
// an idempotency key for that to its claim. If the new link fails too, it asks again for as long
// as the node lets the attempt run, unless the call may be retried at another target.
func (c *Caller) resume(ctx context.Context, req *Request, addr string, kind uint8, h CallHead) (*frame.Stream, ReplyHead, *attemptError) {
	c.metrics.Add(metric.Resumed, 1)
	h.Resume = true
	once := kind == KindCall && req.Repeatable
	firstLoss := time.Now()
	for lastLoss := firstLoss; ; {
		s, reply, fail := c.exchange(ctx, req, addr, kind, h)
		if fail == nil {
			return s, reply, nil
		}
		if fail.feedback != nil && kind == KindCall && h.Incarnation != 0 && fail.refusal.Executed == refuse.NotExecuted {
			// The reply is from the process that the attempt was sent to. It registers each
			// attempt once, so it won't run the first stream either, should that still arrive.
			return nil, reply, fail
		}
		fail.refusal = fail.refusal.WithExecuted(refuse.ExecutionUnknown)
		fail.outcome = retry.Failed
		fail.reached = fail.reached || fail.feedback == nil // when it was sent first
		now := time.Now()
		if fail.linkLost {
			lastLoss = now
		}
		if once || !fail.mayResume(firstLoss, lastLoss, now) {
			return nil, reply, fail
		}
		if !super.Pause(ctx, resumeInterval) {
			return nil, ReplyHead{}, noReplyError(ctx, ctx.Err())
		}
	}
}

// exchange sends a call or a claim on one link and waits for the head of the reply.
func (c *Caller) exchange(ctx context.Context, req *Request, addr string, kind uint8, h CallHead) (*frame.Stream, ReplyHead, *attemptError) {
	s, fail := c.open(ctx, addr, kind, h)
	if fail != nil {
		return nil, ReplyHead{}, fail
	}
	body, _ := req.Body.open()
	super.Go("body of a call", func(err error) {
		c.log.Error("sending a body panicked", "error", err)
		s.Reset(frame.CodeInternal)
	}, func() { sendBody(s, body, req.Body) })
	reply, err := receiveHead(ctx, s)
	if err == nil {
		err = reply.check()
	}
	if err != nil {
		s.Reset(frame.CodeCanceled)
		return nil, ReplyHead{}, noReplyError(ctx, err)
	}
	if reply.Refusal != nil {
		s.Reset(frame.CodeDone)
		fail := refusedError(&reply)
		if len(reply.Crashes) > 0 {
			c.crashes.Merge(reply.Crashes, time.Now())
			fail.again = h.Fingerprint == nil && c.learnFingerprint(req)
		}
		return nil, reply, fail
	}
	return s, reply, nil
}

// open opens a stream for a call or a claim and sends its head. The head states the time that
// is left once there is a session, which may have to be dialed.
func (c *Caller) open(ctx context.Context, addr string, kind uint8, h CallHead) (*frame.Stream, *attemptError) {
	session, err := c.links.Session(ctx, addr)
	if err != nil {
		fail := notSentError(ctx, h.Call.Attempts, "the node to call is unreachable")
		fail.noProcess = errors.Is(err, syscall.ECONNREFUSED)
		return nil, fail
	}
	h.Remaining = time.Until(h.Call.Deadline).Microseconds()
	data, err := pack(h)
	if err != nil {
		return nil, rejectedError(refuse.New(refuse.BadRequest, "request head: %v", err), h.Call.Attempts)
	}
	if len(data) > frame.MaxHeadBytes {
		return nil, rejectedError(refuse.New(refuse.HeaderTooLarge, "the header takes %d bytes between nodes; at most %d are possible", len(data), frame.MaxHeadBytes), h.Call.Attempts)
	}
	s, err := session.Open(ctx, kind, data)
	if err != nil {
		return nil, notSentError(ctx, h.Call.Attempts, "the link to the node failed")
	}
	return s, nil
}

func newCallHead(req *Request, to Candidate, childAttempts int) CallHead {
	call := req.Call
	call.Attempts = childAttempts
	call.Depth++
	return CallHead{
		Attempt:       newAttemptID(),
		Incarnation:   to.Incarnation,
		Call:          call,
		Service:       req.Service,
		Route:         req.Route,
		Method:        req.Method,
		URI:           req.URI,
		Host:          req.Host,
		Header:        req.Header,
		ContentLength: req.ContentLength,
		RequestID:     req.RequestID,
		Repeatable:    req.Repeatable,
		ConfigOffset:  req.ConfigOffset,
		Fingerprint:   req.fingerprint,
	}
}

// newAttemptID returns a random identifier of 16 bytes, which is not printable.
func newAttemptID() string {
	id := uuid.New()
	return string(id[:])
}

func sendBody(s *frame.Stream, body io.Reader, b *Body) {
	if body == http.NoBody {
		_ = s.CloseWrite(b.packTrailer())
		return
	}
	if err := CopyBody(s, body); err != nil {
		// A response that arrives before the end of the request body ends the
		// stream. It must remain readable, so the stream isn't reset. In all
		// other cases reading the request body failed.
		if !streamEnded(s) {
			s.Reset(frame.CodeCanceled)
		}
		return
	}
	_ = s.CloseWrite(b.packTrailer())
}

// streamEnded reports whether the peer ended a stream or its link was lost.
func streamEnded(s *frame.Stream) bool {
	return s.Context().Err() != nil
}

func receiveHead(ctx context.Context, s *frame.Stream) (ReplyHead, error) {
	data, err := s.RecvHead(ctx)
	if err != nil {
		return ReplyHead{}, err
	}
	return unpack[ReplyHead](data)
}
