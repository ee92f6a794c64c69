package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"dogwoodsill.org/core/keys"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/core/route"
	"dogwoodsill.org/core/setup"
	"dogwoodsill.org/node/relay"
	"dogwoodsill.org/node/store"
	"dogwoodsill.org/node/tokens"
)

// Defaults of a route.
const (
	DefaultTimeout  = 10 * time.Second
	DefaultAttempts = 32
)

// TimeoutHeader is the header by which a caller shortens the deadline, in
// seconds.
const TimeoutHeader = "Request-Timeout"

// Sender sends an admitted call to a target.
type Sender interface {
	Do(ctx context.Context, req *relay.Request) (*relay.Response, int, *refuse.Error)
}

// Claimer sends an admitted request with an idempotency key.
type Claimer interface {
	Do(ctx context.Context, key string, req *relay.Request) (*relay.Response, int, *refuse.Error)
	// Issue returns new idempotency keys for a customer.
	Issue(customer string, n int, now time.Time) ([]string, *refuse.Error)
}

// Limiter charges requests to the rate of an account.
type Limiter interface {
	// Take charges one request. It returns a function that undoes the charge of a
	// request that was not run, or a refusal.
	Take(ctx context.Context, account string, now time.Time) (giveBack func(now time.Time), e *refuse.Error)
}

// Ranker orders requests under overload.
type Ranker interface {
	// Rank returns the rank of a root request to a service.
	Rank(service, customer string, importance int, root string, now time.Time) uint32
	// Admit records a request and reports whether the service admits its rank,
	// with the number of offered requests that it stands for.
	Admit(service, customer string, rank uint32, now time.Time) (weight float64, ok bool)
}

// Server serves callers. It is safe for concurrent use.
type Server struct {
	store   *store.Store
	sender  Sender
	claimer Claimer
	ranker  Ranker
	limiter Limiter
	metrics *metric.Set
	limits  setup.Limits
	active  *active
	http    *http.Server
}

// Parts are what a server passes admitted requests to.
type Parts struct {
	Sender  Sender
	Claimer Claimer
	Ranker  Ranker
	Limiter Limiter
}

// New returns a server that is not listening yet.
func New(st *store.Store, p Parts, m *metric.Set, limits setup.Limits) *Server {
	s := &Server{store: st, sender: p.Sender, claimer: p.Claimer, ranker: p.Ranker, limiter: p.Limiter, metrics: m, limits: limits, active: newActive(limits.RevokeGrace.D())}
	st.OnChange(s.active.revoke)
	e := echo.New()
	e.POST(KeysPath, s.issue)
	e.Any("/*", s.serve)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	s.http = &http.Server{
		Handler:           e,
		Protocols:         protocols,
		MaxHeaderBytes:    limits.HeaderBytes,
		ReadHeaderTimeout: limits.HeaderTimeout.D(),
		IdleTimeout:       limits.IdleTimeout.D(),
	}
	return s
}

// HTTP returns the underlying HTTP server.
func (s *Server) HTTP() *http.Server {
	return s.http
}

// identity is the customer of a request.
type identity struct {
	customer, keyID, key string
}

func (s *Server) serve(c echo.Context) error {
	w, r := c.Response(), c.Request()
	started := time.Now()
	if e := s.handle(w, r, started); e != nil {
		s.metrics.Add(metric.Refused+string(e.Reason), 1)
		return e.Write(w)
	}
	s.metrics.Observe(metric.Latency, time.Since(started))
	return nil
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request, now time.Time) *refuse.Error {
	cur := s.store.Current()
	if cur == nil {
		return refuse.New(refuse.NotReady, "the node has no configuration yet").WithRetry(time.Second)
	}
	id, e := identify(cur, r.Header)
	if e != nil {
		return e
	}
	m, ok := cur.Table.Lookup(r, false)
	if !ok {
		return refuse.New(refuse.RouteUnknown, "no route for %s %s", r.Method, r.URL.Path)
	}
	if id.customer == "" && !m.Route.Open {
		return refuse.New(refuse.KeyMissing, "route %q needs a key", m.Name)
	}
	if e := s.checkAge(m, now); e != nil {
		return e
	}
	call, e := newCall(cur, m, id, r.Header, now)
	if e != nil {
		return e
	}
	return s.admit(w, r, m, id, call, now)
}

// identify returns the customer of the key that a request carries. A request
// without a key has no customer; one with an unknown key is refused.
func identify(cur *store.Current, h http.Header) (identity, *refuse.Error) {
	key := keys.FromHeader(h)
	if key == "" {
		return identity{}, nil
	}
	id, ok := cur.View.Digests[keys.Digest(key)]
	if !ok {
		return identity{}, refuse.New(refuse.KeyInvalid, "the key is not known")
	}
	if !cur.View.ValidKey(id) {
		return identity{}, refuse.New(refuse.KeyRevoked, "the key was revoked")
	}
	return identity{customer: cur.View.Keys[id].Customer, keyID: id, key: key}, nil
}

func (s *Server) checkAge(m route.Match, now time.Time) *refuse.Error {
	limit := time.Duration(m.Route.MaxConfigAgeMS) * time.Millisecond
	if limit > 0 && s.store.Age(now) > limit {
		return refuse.New(refuse.ConfigStale, "the configuration is older than route %q permits", m.Name)
	}
	return nil
}

func newCall(cur *store.Current, m route.Match, id identity, h http.Header, now time.Time) (model.Call, *refuse.Error) {
	timeout := DefaultTimeout
	if m.Route.TimeoutMS > 0 {
		timeout = time.Duration(m.Route.TimeoutMS) * time.Millisecond
	}
	if text := h.Get(TimeoutHeader); text != "" {
		sec, err := strconv.ParseFloat(text, 64)
		if err != nil || !(sec > 0) {
			return model.Call{}, refuse.New(refuse.BadRequest, "%s must be a number of seconds above 0", TimeoutHeader)
		}
		timeout = min(timeout, time.Duration(min(sec, timeout.Seconds())*float64(time.Second)))
	}
	attempts := DefaultAttempts
	if m.Route.Attempts > 0 {
		attempts = m.Route.Attempts
	}
	return model.Call{
		Root:       uuid.NewString(),
		Customer:   id.customer,
		KeyID:      id.keyID,
		Importance: cur.Table.Importance(m, id.customer),
		Deadline:   now.Add(timeout),
		Attempts:   attempts,
	}, nil
}

// admit ranks the request, charges it to its customer or to the open route, and
// sends it.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, m route.Match, id identity, call model.Call, now time.Time) *refuse.Error {
	account := id.customer
	if account == "" {
		account = tokens.OpenAccount(m.Name)
	}
	service := m.Route.Service
	call.Rank = s.ranker.Rank(service, call.Customer, call.Importance, call.Root, now)
	weight, ok := s.ranker.Admit(service, call.Customer, call.Rank, now)
	if !ok {
		s.metrics.Add(metric.RefusedInside, 1)
		return refuse.New(refuse.Overloaded, "service %q admits only more important requests", service).WithRetry(time.Second)
	}
	call.Weight = weight
	giveBack, e := s.limiter.Take(r.Context(), account, now)
	if e != nil {
		return e
	}
	s.metrics.Add(metric.Admitted, 1)
	e = s.send(w, r, m, id, call)
	if e != nil && e.Executed == refuse.No {
		giveBack(time.Now())
	}
	return e
}

func (s *Server) send(w http.ResponseWriter, r *http.Request, m route.Match, id identity, call model.Call) *refuse.Error {
	ctx, done := s.active.begin(r.Context(), id.keyID)
	defer done()
	body, err := relay.NewBody(s.progress(ctx, w, r), r.ContentLength, s.trailer(r, id.key))
	if err != nil {
		return bodyError(ctx, err, refuse.No)
	}
	header := relay.CleanHeader(r.Header)
	keys.Strip(header, id.key)
	resp, _, e := Dispatch(ctx, s.sender, s.claimer, m.Route, &relay.Request{
		Call:          call,
		Service:       m.Route.Service,
		Route:         m.Name,
		Method:        r.Method,
		URI:           requestURI(r, id.key),
		Header:        header,
		ContentLength: r.ContentLength,
		Body:          body,
		Repeatable:    Repeatable(r.Method, m.Route),
	})
	if e != nil {
		if errors.Is(context.Cause(ctx), errRevoked) {
			return refuse.New(refuse.KeyRevoked, "the key was revoked while the request was running").WithExecuted(e.Executed)
		}
		return e
	}
	defer func() { _ = resp.Body.Close() }()
	Reply(w, resp)
	return nil
}

func (s *Server) trailer(r *http.Request, key string) func() http.Header {
	return func() http.Header {
		h := relay.CleanHeader(r.Trailer)
		keys.Strip(h, key)
		return h
	}
}

// Repeatable reports whether a request may be sent again after it may have
// run (RFC 9110, 9.2.2).
func Repeatable(method string, r model.Route) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return !r.AtMostOnce
	default:
		return r.Idempotent && !r.AtMostOnce
	}
}

func requestURI(r *http.Request, key string) string {
	uri := r.URL.EscapedPath()
	if q := keys.StripQuery(r.URL.RawQuery, key); q != "" {
		uri += "?" + q
	}
	return uri
}

func bodyError(ctx context.Context, err error, executed refuse.Executed) *refuse.Error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(context.Cause(ctx), errRevoked):
		return refuse.New(refuse.KeyRevoked, "the key was revoked while the body arrived").WithExecuted(executed)
	case errors.As(err, &tooLarge):
		return refuse.New(refuse.TooLarge, "the body is larger than %d bytes", tooLarge.Limit).WithExecuted(executed)
	default:
		return refuse.New(refuse.BadRequest, "the body is incomplete").WithExecuted(executed)
	}
}

// Reply sends an answer. An answer that ends early aborts the connection, so
// that the caller can't take it for a whole one.
func Reply(w http.ResponseWriter, resp *relay.Response) {
	h := w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	if resp.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	w.WriteHeader(resp.Status)
	out := io.Writer(w)
	if resp.ContentLength < 0 {
		out = &flusher{w: w, rc: http.NewResponseController(w)}
	}
	if _, err := io.Copy(out, resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	for name, values := range resp.Trailer().Trailer {
		h[http.TrailerPrefix+name] = values
	}
}

// flusher passes each part of a body of unknown length on at once.
type flusher struct {
	w  io.Writer
	rc *http.ResponseController
}

// Write implements io.Writer.
func (f *flusher) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	if err == nil {
		err = f.rc.Flush()
	}
	return n, err
}
