package refuse

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Reason is the part of a problem type that follows TypePrefix. Its values are
// stable.
type Reason string

// Reasons of a refusal.
const (
	KeyMissing            Reason = "key-missing"
	KeyInvalid            Reason = "key-invalid"
	KeyRevoked            Reason = "key-revoked"
	RouteUnknown          Reason = "route-unknown"
	RateLimited           Reason = "rate-limited" // a rate, or the permitted number of issued keys, is used up
	Overloaded            Reason = "overloaded"   // a node, the service or the upstream lacks capacity for the request
	DeadlineExceeded      Reason = "deadline-exceeded"
	NoUpstream            Reason = "no-upstream"          // no target of the service is available
	UpstreamFailed        Reason = "upstream-failed"      // the upstream failed, or its response is missing or incomplete
	AttemptsExhausted     Reason = "attempts-spent"       // the attempt budget of the root request is exhausted
	CallContextInvalid    Reason = "call-context-invalid" // the call token is unknown, or the call chain is too long
	IdempotencyKeyInvalid Reason = "idempotency-key-invalid"
	OutcomeUnknown        Reason = "outcome-unknown"     // the request may have been executed before, but its response is not known
	ConfigStale           Reason = "configuration-stale" // the configuration of the node is older than the route or the entry permits
	NotReady              Reason = "not-ready"           // the node can't serve the request yet, or no longer
	BadRequest            Reason = "bad-request"
	TooLarge              Reason = "too-large"
	HeaderTooLarge        Reason = "header-too-large"
	Cancelled             Reason = "cancelled"
	UpstreamsEnded        Reason = "upstreams-ended" // processes of upstreams ended while they executed the request
)

// Executed tells whether a refused request may have been executed.
type Executed string

// Values of Executed.
const (
	NotExecuted      Executed = "no"      // no upstream has executed it: no attempt was dispatched to any
	ExecutionUnknown Executed = "unknown" // an upstream may have executed it
)

// TypePrefix precedes the reason in the type of a problem.
const TypePrefix = "urn:dogwoodsill:problem:"

// ContentType is the media type of a problem document.
const ContentType = "application/problem+json"

// Error is a refusal.
type Error struct {
	Reason     Reason        `msgpack:"reason"`
	Detail     string        `msgpack:"detail"`
	Executed   Executed      `msgpack:"executed"`
	RetryAfter time.Duration `msgpack:"retry"` // time after which a retry may succeed; 0 if none is known
}

// New returns a refusal of a request that was not dispatched.
func New(reason Reason, format string, args ...any) *Error {
	return &Error{Reason: reason, Detail: fmt.Sprintf(format, args...), Executed: NotExecuted}
}

// WithExecuted returns a copy of e with the given value of Executed.
func (e *Error) WithExecuted(x Executed) *Error {
	c := *e
	c.Executed = x
	return &c
}

// WithRetryAfter returns a copy of e with a time after which a retry may
// succeed.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s (executed: %s)", e.Reason, e.Detail, e.Executed)
}

// Problem is the problem document of a refusal.
type Problem struct {
	Type     string   `json:"type"`
	Title    string   `json:"title"`
	Status   int      `json:"status"`
	Detail   string   `json:"detail,omitempty"`
	Executed Executed `json:"executed"`
}

// Problem returns the problem document of the refusal.
func (e *Error) Problem() Problem {
	return Problem{
		Type:     TypePrefix + string(e.Reason),
		Title:    http.StatusText(e.Status()),
		Status:   e.Status(),
		Detail:   e.Detail,
		Executed: e.Executed,
	}
}

// Status returns the HTTP status code of the refusal. A failure or a missed deadline of a
// request that reached no upstream is a 503, which tells callers that they may repeat it; 502
// and 504 say that it may have been executed.
func (e *Error) Status() int {
	if e.Executed == NotExecuted && (e.Reason == UpstreamFailed || e.Reason == DeadlineExceeded) {
		return http.StatusServiceUnavailable
	}
	switch e.Reason {
	case KeyMissing, KeyInvalid, KeyRevoked:
		return http.StatusUnauthorized
	case RouteUnknown:
		return http.StatusNotFound
	case RateLimited:
		return http.StatusTooManyRequests
	case DeadlineExceeded:
		return http.StatusGatewayTimeout
	case UpstreamFailed, OutcomeUnknown:
		return http.StatusBadGateway
	case CallContextInvalid:
		return http.StatusForbidden
	case IdempotencyKeyInvalid, BadRequest:
		return http.StatusBadRequest
	case TooLarge:
		return http.StatusRequestEntityTooLarge
	case HeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	default:
		return http.StatusServiceUnavailable
	}
}

// Write sends the refusal as the response to a request.
func (e *Error) Write(w http.ResponseWriter) error {
	h := w.Header()
	h.Set("Content-Type", ContentType)
	h.Set("Cache-Control", "no-store")
	if e.Status() == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	body, err := json.Marshal(e.Problem())
	if err != nil {
		return err
	}
	body = append(body, '\n')
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(e.Status())
	_, err = w.Write(body)
	return err
}
