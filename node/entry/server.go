package entry

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"

	"dogwoodsill.org/core/budget"
	"dogwoodsill.org/core/burn"
	"dogwoodsill.org/core/chain"
	"dogwoodsill.org/core/finish"
	"dogwoodsill.org/core/lines"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/core/route"
	"dogwoodsill.org/core/setup"
	"dogwoodsill.org/node/conns"
	"dogwoodsill.org/node/relay"
	"dogwoodsill.org/node/store"
)

// Defaults of a route that doesn't specify them.
const (
	DefaultTimeout  = 10 * time.Second
	DefaultAttempts = 32
)

// maxTimeout bounds the timeout that a caller can request, so that it can't
// overflow a time.Duration.
const maxTimeout = 24 * time.Hour

// minRestartDelay is the least time after which a caller that a stopping node has refused may
// find its next process.
const minRestartDelay = time.Second

// TimeoutHeader is the header with which a caller shortens the timeout of the
// route, in seconds.
const TimeoutHeader = "Request-Timeout"

// Sender sends an admitted request to a target. Do returns the response, or a
// refusal and the number of unused attempts.
type Sender interface {
	Do(ctx context.Context, req *relay.Request) (*relay.Response, int, *refuse.Error)
}

// Claimer runs admitted requests with an idempotency key and issues such keys.
// Do returns the response, or a refusal and the number of unused attempts.
type Claimer interface {
	Do(ctx context.Context, key string, req *relay.Request) (*relay.Response, int, *refuse.Error)
	// Issue returns new idempotency keys for a customer.
	Issue(customer string, n int, now time.Time) ([]string, *refuse.Error)
}

// Limiter charges requests to the rate of an account.
type Limiter interface {
	// Take charges one request, which may wait for its token as long as patience. It
	// returns a refusal, or a function that releases the charge of a request that was
	// not run.
	Take(ctx context.Context, account string, patience time.Duration, now time.Time) (release func(now time.Time), e *refuse.Error)
}

// Ranker ranks requests and decides which ranks a service admits under
// overload.
type Ranker interface {
	// Rank returns the rank of a root request to a service.
	Rank(service, customer string, importance int, root string, now time.Time) uint32
	// Admit records a request and reports whether the service admits its rank.
	// The weight is 1 plus the number of refused requests that the request
	// stands for, so that the weights of the admitted requests add up to the
	// demand.
	Admit(service, customer string, rank uint32, now time.Time) (weight float64, ok bool)
	// StartChild records that a request of service calls the service child for
	// the first time.
	StartChild(service, child string, now time.Time)
}

// Counter counts finished requests for the report on the burn rate of the
// service level objectives.
type Counter interface {
	Count(now time.Time, q burn.Request, objectives []model.SLO)
}

// Server serves callers. It is safe for concurrent use.
type Server struct {
	*conns.Server
	store   *store.Store
	sender  Sender
	claimer Claimer
	ranker  Ranker
	limiter Limiter
	counter Counter
	metrics *metric.Set
	limits  setup.Limits
	active  *activeRequests
	finish  finish.Gate

	callerRetries *callerRetryDetector
	protocol      Protocol
	origin        string // service of the local instance
	parents       *chain.Table
	pool          *budget.Pool // of the memory of callers; nil for no limit
	log           hclog.Logger
	refusalLines  *lines.Limiter // limits log lines about refused requests
	abortLines    *lines.Limiter // limits log lines about requests without a complete answer

	mu    sync.Mutex // guards split
	split *route.Splitter
}

// Option configures a Server.
type Option func(*Server)

// WithProtocol sets the protocol between callers and the server.
func WithProtocol(p Protocol) Option {
	return func(s *Server) { s.protocol = p }
}

// WithOrigin sets the service of the local instance.
func WithOrigin(service string) Option {
	return func(s *Server) { s.origin = service }
}

// WithParents sets the table of requests in progress at the local upstream. The
// server uses it to recognise the calls that the upstream makes on behalf of
// such requests.
func WithParents(t *chain.Table) Option {
	return func(s *Server) { s.parents = t }
}

// WithLogger sets the logger and the limiters of its lines about refused requests and about
// requests that end without a complete answer.
func WithLogger(l hclog.Logger, refusals, aborts *lines.Limiter) Option {
	return func(s *Server) { s.log, s.refusalLines, s.abortLines = l, refusals, aborts }
}

// Dependencies are the components that a server uses to admit and send
// requests. Without a Claimer it neither issues idempotency keys nor takes them
// into account.
type Dependencies struct {
	Sender  Sender
	Claimer Claimer
	Ranker  Ranker
	Limiter Limiter
	Counter Counter
}

// New returns a server that is not listening yet.
func New(st *store.Store, p Dependencies, m *metric.Set, limits setup.Limits, opts ...Option) *Server {
	s := &Server{
		store: st, sender: p.Sender, claimer: p.Claimer, ranker: p.Ranker, limiter: p.Limiter, counter: p.Counter, metrics: m,
		limits: limits, active: newActiveRequests(limits.RevokeGrace.D()), protocol: defaultProtocol{}, callerRetries: newCallerRetryDetector(), split: route.NewSplitter(), log: hclog.NewNullLogger(), refusalLines: lines.NewLimiter(0), abortLines: lines.NewLimiter(0),
	}
	for _, o := range opts {
		o(s)
	}
	st.OnChange(s.active.abortRevoked)
	e := echo.New()
	e.Pre(ServeAllBut(s.serve, KeysPath))
	if p.Claimer != nil {
		e.POST(KeysPath, s.handleIssueKeys)
	}
	e.Any("/*", s.serve)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	s.Server = conns.NewServer(&http.Server{
		Handler:           e,
		Protocols:         protocols,
		MaxHeaderBytes:    limits.HeaderBytes,
		ReadHeaderTimeout: limits.HeaderTimeout.D(),
		IdleTimeout:       limits.IdleTimeout.D(),
		HTTP2:             http2Config(),
	}, m, s.log, conns.WithPool(s.pool))
	return s
}

// ServeAllBut returns a middleware that calls h for the requests of all paths but one. The router
// of echo would refuse methods that it doesn't know and the empty path of an absolute URI.
func ServeAllBut(h echo.HandlerFunc, own string) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			if c.Request().URL.Path == own {
				return next(c)
			}
			return h(c)
		}
	}
}

// StopKeepAlives makes the server close each connection after its next response, which
// announces the close. Idle connections stay open until Shutdown.
func (s *Server) StopKeepAlives() {
	s.Linger()
}

// EndBy tells the server that the process shuts down. Requests that can't end by the given time
// are refused.
func (s *Server) EndBy(now, end time.Time) {
	s.finish.Begin(now, end)
}

// EndRequests ends all requests whose response was not started with a refusal, since the
// process is about to end.
func (s *Server) EndRequests() {
	s.Refuse()
	s.active.stop()
}

// restartDelay returns the time after which the next process may serve a refused request.
func (s *Server) restartDelay(now time.Time) time.Duration {
	return s.finish.Left(now) + minRestartDelay
}

func (s *Server) serve(c echo.Context) error {
	w, r := c.Response(), c.Request()
	started := time.Now()
	q := &request{server: s, w: w, r: r, now: started, memory: newRequestMemory(r)}
	defer q.memory.release()
	outcome := q.abortedOutcome // counted if handle panics, as abort does
	defer q.endBody()
	defer func() { q.count(outcome(), time.Since(started)) }()
	e := q.handleGuarded(func() bool { return w.Committed })
	q.endChild(e, w.Status)
	outcome = func() burn.Outcome { return outcomeOf(e, w.Status) }
	if e != nil {
		s.metrics.Add(metric.Refused+string(e.Reason), 1)
		q.logRefusal(e, time.Since(started))
		q.announceClose()
		return s.protocol.WriteRefusal(w, r, e)
	}
	s.metrics.Observe(metric.RequestTime, time.Since(started))
	return nil
}

// Repeatable reports whether a request may be sent again after it may have run
// (RFC 9110, section 9.2.2).
func Repeatable(method string, r model.Route) bool {
	if r.SingleRun {
		return false
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return !r.AtMostOnce
	default:
		return r.Idempotent && !r.AtMostOnce
	}
}

// WriteResponse writes a response. After an error the caller of WriteResponse must
// abort the connection, so that the truncated response can't be mistaken for a
// complete one.
func WriteResponse(w http.ResponseWriter, resp *relay.Response) error {
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
		out = &flushWriter{w: w, rc: http.NewResponseController(w)}
	}
	if err := relay.CopyBody(out, resp.Body); err != nil {
		return err
	}
	for name, values := range resp.Trailer().Trailer {
		h[http.TrailerPrefix+name] = values
	}
	return nil
}

// flushWriter flushes after each write, for bodies of unknown length.
type flushWriter struct {
	w  io.Writer
	rc *http.ResponseController
}

// Write implements io.Writer.
func (f *flushWriter) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	if err == nil {
		err = f.rc.Flush()
	}
	return n, err
}
