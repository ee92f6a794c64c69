package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"dogwoodsill.org/core/frame"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/refuse"
)

// Candidate is a target that can serve a call.
type Candidate struct {
	Instance    string
	Incarnation uint64
	Addr        string // peer address of its node
	Zone        string
	Slots       int
	State       State
}

// Directory lists the targets of a service.
type Directory interface {
	Candidates(service string) []Candidate
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
}

// Response is the answer of an upstream. Its body must be read to the end or
// closed.
type Response struct {
	Status        int
	Header        http.Header
	ContentLength int64
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

// Caller sends calls to targets. It is safe for concurrent use.
type Caller struct {
	dir     Directory
	links   Links
	metrics *metric.Set
	zone    string
}

// NewCaller returns a caller in an availability zone.
func NewCaller(dir Directory, links Links, m *metric.Set, zone string) *Caller {
	return &Caller{dir: dir, links: links, metrics: m, zone: zone}
}

// attemptError is the failure of one attempt.
type attemptError struct {
	refusal  *refuse.Error
	left     int  // attempts that came back unused
	consumed bool // the request body can't be sent again
}

// Do sends a call and returns the answer, or a refusal together with the
// number of attempts that were not used.
func (c *Caller) Do(ctx context.Context, req *Request) (*Response, int, *refuse.Error) {
	left := req.Call.Attempts
	executed := refuse.No
	tried := map[string]bool{}
	var last *refuse.Error
	for left > 0 {
		if !time.Now().Before(req.Call.Deadline) {
			last = refuse.New(refuse.DeadlineExceeded, "the deadline passed")
			break
		}
		target, ok := c.choose(req.Service, tried)
		if !ok {
			if last == nil {
				last = refuse.New(refuse.NoUpstream, "no target of service %q", req.Service)
			}
			break
		}
		tried[target.Instance] = true
		if len(tried) > 1 {
			c.metrics.Add(metric.Retries, 1)
		}
		resp, fail := c.attempt(ctx, req, target, left-1)
		if fail == nil {
			return resp, 0, nil
		}
		left = fail.left
		last = fail.refusal
		if last.Executed == refuse.Unknown {
			executed = refuse.Unknown
		}
		if !c.again(req, fail) {
			break
		}
	}
	if last == nil {
		last = refuse.New(refuse.AttemptsSpent, "the attempts of the request are spent")
	}
	return nil, left, last.WithExecuted(executed)
}

// again reports whether another attempt may follow a failed one.
func (c *Caller) again(req *Request, fail *attemptError) bool {
	if fail.refusal.Executed == refuse.Unknown && !req.Repeatable {
		return false
	}
	switch fail.refusal.Reason {
	case refuse.KeyRevoked, refuse.DeadlineExceeded, refuse.Cancelled, refuse.BadRequest:
		return false
	}
	return !fail.consumed
}

// choose returns a target that was not tried, from the own zone if possible.
func (c *Caller) choose(service string, tried map[string]bool) (Candidate, bool) {
	var best Candidate
	found := false
	for _, cand := range c.dir.Candidates(service) {
		if tried[cand.Instance] || cand.State == Draining {
			continue
		}
		if !found || cand.Zone == c.zone && best.Zone != c.zone {
			best, found = cand, true
		}
	}
	return best, found
}

// attempt sends the call to one target with a number of attempts for the calls
// below it.
func (c *Caller) attempt(ctx context.Context, req *Request, to Candidate, below int) (*Response, *attemptError) {
	c.metrics.Add(metric.Attempts, 1)
	session, err := c.links.Session(ctx, to.Addr)
	if err != nil {
		return nil, c.notSent(ctx, req, below, "the node of the target is unreachable")
	}
	head := c.head(req, to, below)
	data, err := pack(head)
	if err != nil {
		return nil, &attemptError{refusal: refuse.New(refuse.BadRequest, "request head: %v", err), left: below}
	}
	ctx, cancel := context.WithDeadline(ctx, req.Call.Deadline)
	s, err := session.Open(ctx, KindCall, data)
	if err != nil {
		cancel()
		return nil, c.notSent(ctx, req, below, "the link to the target failed")
	}
	body, ok := req.Body.open()
	if !ok {
		s.Reset(frame.CodeCanceled)
		cancel()
		return nil, &attemptError{refusal: refuse.New(refuse.UpstreamFailed, "the request body was used up"), consumed: true}
	}
	go send(s, body, req.Body)
	reply, err := receiveHead(ctx, s)
	if err != nil {
		s.Reset(frame.CodeCanceled)
		cancel()
		return nil, &attemptError{refusal: lost(ctx, err), consumed: !req.Body.repeatable()}
	}
	if reply.Refusal != nil {
		cancel()
		return nil, &attemptError{refusal: reply.Refusal, left: reply.AttemptsLeft, consumed: !req.Body.repeatable()}
	}
	return newResponse(req, s, reply, cancel), nil
}

func (c *Caller) head(req *Request, to Candidate, below int) CallHead {
	call := req.Call
	call.Attempts = below
	call.Depth++
	return CallHead{
		Attempt:       uuid.NewString(),
		Incarnation:   to.Incarnation,
		Call:          call,
		Remaining:     time.Until(call.Deadline).Microseconds(),
		Service:       req.Service,
		Route:         req.Route,
		Method:        req.Method,
		URI:           req.URI,
		Header:        req.Header,
		ContentLength: req.ContentLength,
	}
}

func (c *Caller) notSent(ctx context.Context, req *Request, left int, detail string) *attemptError {
	e := refuse.New(refuse.UpstreamFailed, "%s", detail)
	if ctx.Err() != nil {
		e = lost(ctx, ctx.Err()).WithExecuted(refuse.No)
	}
	return &attemptError{refusal: e, left: left, consumed: !req.Body.repeatable()}
}

// lost describes an attempt that ended without an answer.
func lost(ctx context.Context, err error) *refuse.Error {
	var silent *frame.SessionError
	e := refuse.New(refuse.UpstreamFailed, "the target's node gave no answer")
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e = refuse.New(refuse.DeadlineExceeded, "no answer before the deadline")
	case ctx.Err() != nil:
		e = refuse.New(refuse.Cancelled, "the request was cancelled")
	case errors.As(err, &silent) && silent.Silent:
		e = refuse.New(refuse.UpstreamFailed, "the link to the target's node went silent")
	}
	return e.WithExecuted(refuse.Unknown)
}

func send(s *frame.Stream, body io.Reader, b *Body) {
	_, err := io.CopyBuffer(s, struct{ io.Reader }{body}, make([]byte, copyBytes))
	if err != nil {
		s.Reset(frame.CodeCanceled)
		return
	}
	_ = s.CloseWrite(b.packTrailer())
}

func receiveHead(ctx context.Context, s *frame.Stream) (ReplyHead, error) {
	data, err := s.RecvHead(ctx)
	if err != nil {
		return ReplyHead{}, err
	}
	return unpack[ReplyHead](data)
}

// responseBody reads the body of an answer and checks at its end that the
// answer is complete.
type responseBody struct {
	s       *frame.Stream
	service string
	cancel  context.CancelFunc
	trailer ReplyTrailer
}

func newResponse(req *Request, s *frame.Stream, h ReplyHead, cancel context.CancelFunc) *Response {
	b := &responseBody{s: s, service: req.Service, cancel: cancel}
	return &Response{
		Status:        h.Status,
		Header:        h.Header,
		ContentLength: h.ContentLength,
		Body:          b,
		Trailer:       func() ReplyTrailer { return b.trailer },
	}
}

// Read implements io.Reader. It returns a *TruncatedError in place of io.EOF
// if the upstream's answer ended early.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.s.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	trailer, uerr := unpack[ReplyTrailer](b.s.Trailer())
	if uerr != nil || !trailer.Complete {
		return n, &TruncatedError{Service: b.service}
	}
	b.trailer = trailer
	return n, io.EOF
}

// Close implements io.Closer. It cancels what is left of the call.
func (b *responseBody) Close() error {
	b.s.Reset(frame.CodeCanceled)
	b.cancel()
	return nil
}
