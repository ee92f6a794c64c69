package entry

import (
	"context"
	"errors"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/google/uuid"

	"dogwoodsill.org/core/admit"
	"dogwoodsill.org/core/boot"
	"dogwoodsill.org/core/chain"
	"dogwoodsill.org/core/claim"
	"dogwoodsill.org/core/keys"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/core/route"
	"dogwoodsill.org/core/super"
	"dogwoodsill.org/node/conns"
	"dogwoodsill.org/node/relay"
	"dogwoodsill.org/node/store"
	"dogwoodsill.org/node/tokens"
)

const (
	// defaultLatencyGoal is the latency goal of routes that have none.
	defaultLatencyGoal = time.Second
	// tokenWaitDivisor limits the wait for a token of the customer's rate to a small part
	// of the latency goal.
	tokenWaitDivisor = 8
)

// request is the state of one request of a caller while the node handles it.
type request struct {
	server *Server
	w      http.ResponseWriter
	r      *http.Request
	now    time.Time // time of arrival

	cur   *store.Config // nil before the node has a configuration
	id    identity
	route route.Match
	call  model.Call
	// callerRetry says that the caller was probably refused before and repeats
	// the request.
	callerRetry bool
	memory      *requestMemory
	body        *callerBody // nil until the request is admitted
	// parent is the request on whose behalf the local upstream makes this one;
	// nil for a request of a caller.
	parent *chain.ActiveCall
}

// handle serves the request. It returns a refusal if no response was started.
func (q *request) handle() *refuse.Error {
	cur := q.server.store.Current()
	if cur == nil {
		return q.withUnknownExecutionIfKeyed(refuse.New(refuse.NotReady, "the node has no configuration yet").WithRetryAfter(time.Second))
	}
	q.cur = cur
	if e := q.server.checkSize(q.r); e != nil {
		return q.withUnknownExecutionIfKeyed(e)
	}
	if e := q.takeMemory(); e != nil {
		return q.withUnknownExecutionIfKeyed(e)
	}
	if e := q.resolve(cur); e != nil {
		return e
	}
	q.memory.account.SetCustomer(q.id.customer)
	parent := q.findParent()
	if parent == nil && q.server.IsRefusing() {
		return q.withUnknownExecutionIfKeyed(refuse.New(refuse.NotReady, "the node shuts down").WithRetryAfter(time.Second))
	}
	if e := q.newCall(cur, parent); e != nil {
		return q.withUnknownExecutionIfKeyed(e)
	}
	if !q.server.finish.Fits(q.route.Name, q.call.Deadline, q.now) {
		return q.withUnknownExecutionIfKeyed(refuse.New(refuse.NotReady, "the node shuts down before the request can end").WithRetryAfter(q.server.restartDelay(q.now)))
	}
	ctx, done := q.server.active.begin(q.r.Context(), q.id.keyID)
	defer done()
	defer q.endOnEviction(ctx)()
	release, e := q.admit(ctx)
	if e != nil {
		return q.withUnknownExecutionIfKeyed(q.refineRefusal(ctx, e))
	}
	e = q.send(ctx)
	if e == nil || e.Executed != refuse.NotExecuted {
		now := time.Now()
		q.server.finish.Record(q.route.Name, now.Sub(q.now), now)
		return e
	}
	release(time.Now())
	return e
}

// refineRefusal returns the refusal of a request whose context may have ended for a reason that
// only the entry knows.
func (q *request) refineRefusal(ctx context.Context, e *refuse.Error) *refuse.Error {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errRevoked):
		return refuse.New(refuse.KeyRevoked, "the key was revoked while the request was running").WithExecuted(e.Executed)
	case errors.Is(cause, errEvicted):
		return memoryRefusal().WithExecuted(e.Executed)
	case errors.Is(cause, errStopped):
		return refuse.New(refuse.NotReady, "the node stopped before the answer").WithExecuted(e.Executed).WithRetryAfter(minRestartDelay)
	default:
		return e
	}
}

// handleGuarded is handle that refuses a request whose handling panics. If the response was
// started, it aborts the connection.
func (q *request) handleGuarded(started func() bool) (e *refuse.Error) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		if err, ok := v.(error); ok && errors.Is(err, http.ErrAbortHandler) {
			panic(v) // logged already
		}
		refusal, err := PanicRefusal(q.w, v)
		q.server.log.Error("handling a request panicked", "error", err)
		if started() {
			q.abort(err)
		}
		e = refusal
	}()
	return q.handle()
}

// PanicRefusal returns the refusal of a request whose handling panicked with v before its
// response was started, and the panic as an error.
func PanicRefusal(w http.ResponseWriter, v any) (*refuse.Error, error) {
	clear(w.Header()) // of the response that was not started
	e := refuse.New(refuse.UpstreamFailed, "the node failed while it handled the request").WithExecuted(refuse.ExecutionUnknown)
	return e, &super.PanicError{Task: "request", Value: v, Stack: debug.Stack()}
}

// withUnknownExecutionIfKeyed returns the refusal of a request that did not
// reach the owner of its idempotency key. If the request carries a key and is
// not repeatable, the execution state is unknown: an earlier request with the
// key may have run, which this node can't know.
func (q *request) withUnknownExecutionIfKeyed(e *refuse.Error) *refuse.Error {
	if q.r.Header.Get(IdempotencyHeader) == "" || Repeatable(q.r.Method, q.route.Route) {
		return e
	}
	return claim.WithUnknownExecution(e)
}

// resolve determines the customer, the route and the service of the request. It
// refuses the request if the configuration is older than the route permits.
func (q *request) resolve(cur *store.Config) (e *refuse.Error) {
	if q.id, e = q.server.identify(cur, q.r); e != nil {
		return q.withUnknownExecutionIfKeyed(e)
	}
	m, ok := cur.Table.Lookup(q.r, false)
	if !ok {
		return refuse.New(refuse.RouteUnknown, "no route for %s %s", q.r.Method, q.r.URL.Path)
	}
	q.route = m
	if cur.Table.LeavesRoute(q.r, m) {
		return refuse.New(refuse.BadRequest, "the path leads out of route %q by its segments \"..\"", m.Name)
	}
	if q.id.customer == "" && !m.Route.Open {
		return refuse.New(refuse.KeyMissing, "route %q needs a key", m.Name)
	}
	limit := time.Duration(m.Route.MaxConfigAgeMS) * time.Millisecond
	if age := q.server.store.Age(boot.Now()); limit > 0 && age > limit {
		return q.withUnknownExecutionIfKeyed(refuse.New(refuse.ConfigStale, "the configuration is %v old, more than route %q permits", age, m.Name).WithRetryAfter(time.Second))
	}
	if len(m.Route.Split) > 0 {
		q.route.Route.Service = q.server.pickService(m)
	}
	return nil
}

// pickService returns the service that receives the next request of a route
// with a traffic split.
func (s *Server) pickService(m route.Match) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.split.Pick(m.Name, m.Route.Split)
}

// newCall sets q.call, which the request carries to its target and its child
// calls.
func (q *request) newCall(cur *store.Config, parent *chain.ActiveCall) *refuse.Error {
	timeout, e := q.timeout()
	if e != nil {
		return e
	}
	attempts := DefaultAttempts
	if q.route.Route.Attempts > 0 {
		attempts = q.route.Route.Attempts
	}
	q.call = model.Call{
		Root:        uuid.NewString(),
		Customer:    q.id.customer,
		KeyID:       q.id.keyID,
		Importance:  cur.Table.Importance(q.route, q.id.customer),
		Deadline:    q.now.Add(timeout),
		Attempts:    attempts,
		Origin:      q.server.origin,
		LatencyGoal: time.Duration(q.route.Route.LatencyGoalMS) * time.Millisecond,
	}
	if parent != nil {
		q.parent = parent
		q.inherit(q.parent.Call)
	}
	return nil
}

// findParent returns the request on whose behalf the local upstream makes this one, or nil
// if there is none. A request of a customer has no parent.
func (q *request) findParent() *chain.ActiveCall {
	s := q.server
	if s.parents == nil || q.id.customer != "" {
		return nil
	}
	id := s.protocol.ParentID(q.r.Header)
	if id == "" {
		return nil
	}
	parent, _ := s.parents.LookupByID(id, q.now)
	return parent
}

// inherit copies the properties that the whole call chain shares from the
// parent and starts a child call at it. The number of attempts is that of the
// route, because the host platform (package platform) counts attempts for each
// call.
func (q *request) inherit(parent model.Call) {
	q.call.Root, q.call.Rank, q.call.Depth = parent.Root, parent.Rank, parent.Depth
	if parent.Deadline.Before(q.call.Deadline) {
		q.call.Deadline = parent.Deadline
	}
	if _, first := q.parent.StartChild(q.route.Route.Service, q.now); first {
		q.server.ranker.StartChild(q.server.origin, q.route.Route.Service, q.now)
	}
}

// endChild ends a call that the local upstream made.
func (q *request) endChild(e *refuse.Error, status int) {
	if q.parent == nil {
		return
	}
	if e != nil || status >= http.StatusInternalServerError {
		q.parent.RecordChildFailure()
	}
	q.parent.EndChild(0, time.Now())
}

// timeout returns the lower of the timeouts of the route and the caller. It
// also determines from the caller's timeout whether the request is a retry.
func (q *request) timeout() (time.Duration, *refuse.Error) {
	timeout := DefaultTimeout
	if ms := q.route.Route.TimeoutMS; ms > 0 {
		timeout = time.Duration(ms) * time.Millisecond
	}
	asked, e := q.server.protocol.Timeout(q.r.Header)
	if e != nil || asked == 0 {
		return timeout, e
	}
	q.callerRetry = q.server.callerRetries.isRetry(q.route.Name, asked, q.now)
	left := asked - q.now.Sub(conns.Arrival(q.r.Context(), q.now))
	if left <= 0 {
		return 0, refuse.New(refuse.DeadlineExceeded, "the deadline passed while the request waited for an earlier one on its connection")
	}
	return min(left, timeout), nil
}

// admit ranks the request and charges it to its customer or to the account of
// the open route. The returned function releases the charge.
func (q *request) admit(ctx context.Context) (release func(time.Time), e *refuse.Error) {
	s, service := q.server, q.route.Route.Service
	if q.parent != nil {
		// The root request was admitted, and refusing one of its calls would waste the
		// work that was done for it. The target may still refuse the call.
		q.call.Weight, _ = s.ranker.Admit(service, "", q.call.Rank, q.now)
		return func(time.Time) {}, nil
	}
	q.call.Rank = s.ranker.Rank(service, q.call.Customer, q.call.Importance, q.call.Root, q.now)
	if q.callerRetry {
		q.call.Rank = admit.RetryRank(q.call.Rank)
	}
	weight, ok := s.ranker.Admit(service, q.call.Customer, q.call.Rank, q.now)
	if !ok {
		return nil, refuse.New(refuse.Overloaded, "service %q admits only more important requests", service).WithRetryAfter(time.Second)
	}
	q.call.Weight = weight
	account := q.id.customer
	if account == "" {
		account = tokens.OpenRouteAccount(q.route.Name)
	}
	if q.unlimited() {
		s.metrics.Add(metric.Admitted, 1)
		return func(time.Time) {}, nil
	}
	// The time of arrival can't be used: the process may have been paused since, and
	// a loan of tokens must still be valid when it is used.
	if release, e = s.limiter.Take(ctx, account, q.tokenPatience(), time.Now()); e != nil {
		return nil, e
	}
	s.metrics.Add(metric.Admitted, 1)
	return release, nil
}

// tokenPatience returns how long the request may wait for a token that has not accrued
// yet. A short wait costs the caller less than a refusal and a retry.
func (q *request) tokenPatience() time.Duration {
	goal := time.Duration(q.route.Route.LatencyGoalMS) * time.Millisecond
	if goal == 0 {
		goal = defaultLatencyGoal
	}
	return min(goal, q.call.Deadline.Sub(q.now)) / tokenWaitDivisor
}

// unlimited reports whether the account of the request has no rate limit.
func (q *request) unlimited() bool {
	if q.id.customer == "" {
		return q.route.Route.OpenUnlimited
	}
	return q.cur.View.Customers[q.id.customer].Unlimited
}

// logRefusal logs a refused request.
func (q *request) logRefusal(e *refuse.Error, took time.Duration) {
	if !q.server.log.IsInfo() || !q.server.refusalLines.Allow(q.now) {
		return
	}
	q.server.log.Info("request refused", "request", q.server.protocol.RequestID(q.r.Header), "route", q.route.Name,
		"customer", q.id.customer, "reason", e.Reason, "executed", e.Executed, "detail", e.Detail, "after", took)
}

// Causes of the end of a request without a complete answer.
const (
	abortedByCaller  = "callerLeft"     // the connection ended, or the caller cancelled the request
	abortedByFailure = "responseFailed" // the response could not be read or written to its end
)

// logAborted counts and logs a request that ended without a complete answer.
func (q *request) logAborted(cause string, err error) {
	q.server.metrics.Add(metric.Aborted+cause, 1)
	if !q.server.log.IsInfo() || !q.server.abortLines.Allow(q.now) {
		return
	}
	q.server.log.Info("request ended without a complete answer", "request", q.server.protocol.RequestID(q.r.Header), "route", q.route.Name,
		"cause", cause, "error", err, "after", time.Since(q.now))
}

// send dispatches the admitted request and writes the response.
func (q *request) send(ctx context.Context) *refuse.Error {
	s := q.server
	if e := q.takeStreamMemory(); e != nil {
		return q.withUnknownExecutionIfKeyed(e)
	}
	defer conns.BeginBody(ctx, q.r.ContentLength, !relay.IsBuffered(q.r.ContentLength))()
	q.body = s.newBody(ctx, q.w, q.r, q.memory)
	stop := context.AfterFunc(ctx, q.body.interrupt)
	body, err := relay.NewBody(q.body, q.r.ContentLength, q.trailer, relay.WithReserve(q.memory.reserveBody))
	stop()
	if err != nil {
		return q.withUnknownExecutionIfKeyed(bodyError(ctx, err))
	}
	if e := q.checkFingerprint(body); e != nil {
		return e
	}
	resp, _, e := Dispatch(ctx, s.sender, s.claimer, q.route.Route, q.outbound(body))
	if e != nil {
		return q.refineRefusal(ctx, e)
	}
	defer func() { _ = resp.Body.Close() }()
	q.announceClose()
	if err := q.writeResponse(resp); err != nil {
		q.abort(err)
	}
	return nil
}

// abort closes the connection of a request whose response can't be completed.
func (q *request) abort(err error) {
	cause := abortedByFailure
	if q.r.Context().Err() != nil {
		cause = abortedByCaller
	}
	q.logAborted(cause, err)
	panic(http.ErrAbortHandler)
}

// outbound returns the request to relay, without the header that carries the API key.
func (q *request) outbound(body *relay.Body) *relay.Request {
	header := relay.EndToEndHeader(q.r.Header)
	header.Del(q.id.credential.Header)
	return &relay.Request{
		Call:          q.call,
		Service:       q.route.Route.Service,
		Route:         q.route.Name,
		Method:        q.r.Method,
		URI:           relay.OriginForm(q.r),
		Header:        header,
		ContentLength: q.r.ContentLength,
		Host:          q.r.Host,
		RequestID:     q.server.protocol.RequestID(q.r.Header),
		ConfigOffset:  q.cur.View.Next,
		Body:          body,
		Repeatable:    Repeatable(q.r.Method, q.route.Route),
	}
}

// trailer returns the trailer of the request without fields that contain the API key. It is
// valid after the end of the body.
func (q *request) trailer() http.Header {
	h := relay.EndToEndHeader(q.r.Trailer)
	keys.StripTrailer(h, q.id.credential.Key)
	return h
}

// bodyError returns the refusal of a request whose body could not be read
// before the dispatch.
func bodyError(ctx context.Context, err error) *refuse.Error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(context.Cause(ctx), errRevoked):
		return refuse.New(refuse.KeyRevoked, "the key was revoked while the body arrived")
	case errors.Is(context.Cause(ctx), errEvicted):
		return memoryRefusal()
	case errors.Is(context.Cause(ctx), errStopped):
		return refuse.New(refuse.NotReady, "the node stopped while the body arrived").WithRetryAfter(minRestartDelay)
	case errors.As(err, &tooLarge):
		return refuse.New(refuse.TooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	default:
		return refuse.New(refuse.BadRequest, "the body is incomplete")
	}
}
