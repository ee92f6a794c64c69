package local

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"

	"dogwoodsill.org/core/budget"
	"dogwoodsill.org/core/chain"
	"dogwoodsill.org/core/finish"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/core/route"
	"dogwoodsill.org/node/conns"
	"dogwoodsill.org/node/entry"
	"dogwoodsill.org/node/relay"
	"dogwoodsill.org/node/store"
)

// AnnouncePath is the path at which the local upstream announces itself (POST)
// and withdraws its announcement (DELETE).
const AnnouncePath = "/.dogwoodsill/announce"

// Limits and defaults of announcements.
const (
	maxAnnouncementBytes = 64 << 10
	DefaultTTL           = 10 * time.Second
	maxTTL               = time.Minute
)

// Server serves the local upstream. It is safe for concurrent use.
type Server struct {
	*conns.Server
	store   *store.Store
	calls   *chain.Table
	target  *relay.Target
	caller  *relay.Caller
	claimer entry.Claimer
	metrics *metric.Set
	log     hclog.Logger
	finish  finish.Gate
	pool    *budget.Pool    // of the memory of callers; nil for no limit
	ctx     context.Context // ends with errStopped
	stop    context.CancelCauseFunc
}

var errStopped = errors.New("the node stops")

// Option configures a Server.
type Option func(*Server)

// WithLogger sets the logger. By default, nothing is logged.
func WithLogger(l hclog.Logger) Option {
	return func(s *Server) { s.log = l }
}

// WithPool bounds the memory of connections by a pool, which other servers may share.
func WithPool(p *budget.Pool) Option {
	return func(s *Server) { s.pool = p }
}

// New returns a server that is not listening yet.
func New(st *store.Store, calls *chain.Table, target *relay.Target, caller *relay.Caller, claimer entry.Claimer, m *metric.Set, headerBytes int, opts ...Option) *Server {
	ctx, stop := context.WithCancelCause(context.Background())
	s := &Server{ctx: ctx, stop: stop, store: st, calls: calls, target: target, caller: caller, claimer: claimer, metrics: m, log: hclog.NewNullLogger()}
	for _, o := range opts {
		o(s)
	}
	e := echo.New()
	e.Pre(entry.ServeAllBut(s.call, AnnouncePath))
	e.POST(AnnouncePath, s.announce)
	e.DELETE(AnnouncePath, s.withdraw)
	e.Any("/*", s.call)
	s.Server = conns.NewServer(&http.Server{Handler: e, MaxHeaderBytes: headerBytes, ReadHeaderTimeout: 5 * time.Second}, m, s.log, conns.WithPool(s.pool))
	return s
}

// EndBy tells the server that the process shuts down. Calls that can't end by the given time are
// refused.
func (s *Server) EndBy(now, end time.Time) {
	s.finish.Begin(now, end)
}

// EndCalls ends all calls whose response was not started with a refusal, since the process is
// about to end.
func (s *Server) EndCalls() {
	s.stop(errStopped)
}

func (s *Server) announce(c echo.Context) error {
	dec := json.NewDecoder(io.LimitReader(c.Request().Body, maxAnnouncementBytes))
	dec.DisallowUnknownFields()
	var u relay.Upstream
	if err := dec.Decode(&u); err != nil {
		return refuse.New(refuse.BadRequest, "announcement: %v", err).Write(c.Response())
	}
	if err := normalize(&u); err != nil {
		return refuse.New(refuse.BadRequest, "announcement: %v", err).Write(c.Response())
	}
	s.target.Announce(u, time.Now())
	return c.NoContent(http.StatusNoContent)
}

// normalize sets defaults in an announcement and validates it.
func normalize(u *relay.Upstream) error {
	if u.Service == "" {
		return fmt.Errorf("service is empty")
	}
	if _, err := netip.ParseAddrPort(u.Addr); err != nil {
		return fmt.Errorf("addr %q is not an IP address with a port", u.Addr)
	}
	switch u.State {
	case "":
		u.State = relay.Ready
	case relay.Ready, relay.Cold, relay.Draining:
	default:
		return fmt.Errorf("state %q is not one of ready, cold, draining", u.State)
	}
	if u.Slots < 0 || u.MaxConnections < 0 || u.TTLMS < 0 {
		return fmt.Errorf("slots, connections and ttlMs must not be negative")
	}
	if u.TTLMS == 0 {
		u.TTLMS = DefaultTTL.Milliseconds()
	}
	u.TTLMS = min(u.TTLMS, maxTTL.Milliseconds())
	return nil
}

func (s *Server) withdraw(c echo.Context) error {
	s.target.Withdraw()
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) call(c echo.Context) error {
	w, r := c.Response(), c.Request()
	bodyRead := r.ContentLength == 0
	if e := s.handleGuarded(w, r, &bodyRead, time.Now()); e != nil {
		s.metrics.Add(metric.Refused+string(e.Reason), 1)
		if !bodyRead {
			if err := entry.BoundDiscard(w, time.Now()); err != nil {
				s.log.Debug("the time to read the rest of a body is not limited", "error", err)
			}
		}
		if r.ContentLength < 0 {
			w.Header().Set("Connection", "close") // net/http then sends the refusal without reading the rest of the body first
		}
		return e.Write(w)
	}
	return nil
}

// handleGuarded is handle that refuses a call whose handling panics. If the response was
// started, it aborts the connection.
func (s *Server) handleGuarded(w *echo.Response, r *http.Request, bodyRead *bool, now time.Time) (e *refuse.Error) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		if err, ok := v.(error); ok && errors.Is(err, http.ErrAbortHandler) {
			panic(v)
		}
		refusal, err := entry.PanicRefusal(w, v)
		s.log.Error("handling a call of the upstream panicked", "error", err)
		if w.Committed {
			panic(http.ErrAbortHandler)
		}
		e = refusal
	}()
	return s.handle(w, r, bodyRead, now)
}

// handle handles a call. It sets bodyRead when it begins to read the body.
func (s *Server) handle(w http.ResponseWriter, r *http.Request, bodyRead *bool, now time.Time) *refuse.Error {
	parent, ok := s.calls.Lookup(r.Header.Get(chain.CallHeader), now)
	if !ok {
		return refuse.New(refuse.CallContextInvalid, "header %s holds no token of a running request", chain.CallHeader)
	}
	cur := s.store.Current()
	if cur == nil {
		return refuse.New(refuse.NotReady, "the node has no configuration yet")
	}
	if parent.Call.KeyID != "" && !cur.View.ValidKey(parent.Call.KeyID) {
		return refuse.New(refuse.KeyRevoked, "the key of the root request was revoked")
	}
	m, ok := cur.Table.Lookup(r, true)
	if !ok {
		return refuse.New(refuse.RouteUnknown, "no route for %s %s", r.Method, r.URL.Path)
	}
	if cur.Table.LeavesRoute(r, m) {
		return refuse.New(refuse.BadRequest, "the path leads out of route %q by its segments \"..\"", m.Name)
	}
	if parent.Call.Depth >= model.MaxDepth {
		return refuse.New(refuse.CallContextInvalid, "the call chain is longer than %d", model.MaxDepth)
	}
	return s.send(w, r, bodyRead, m, parent, now)
}

func (s *Server) send(w http.ResponseWriter, r *http.Request, bodyRead *bool, m route.Match, parent *chain.ActiveCall, now time.Time) *refuse.Error {
	ctx, cancel := entry.MergeContexts(r.Context(), parent.Context())
	defer cancel()
	ctx, cancelStop := entry.MergeContexts(ctx, s.ctx)
	defer cancelStop()
	call := parent.Call
	call.Deadline = deadline(parent.Call.Deadline, m.Route, r.Header, now)
	if !s.finish.Fits(m.Name, call.Deadline, now) {
		return refuse.New(refuse.NotReady, "the node shuts down before the call can end")
	}
	attempts, first := parent.StartChild(m.Route.Service, now)
	unused := attempts
	defer func() { parent.EndChild(unused, time.Now()) }()
	if attempts == 0 {
		return refuse.New(refuse.AttemptsExhausted, "the attempts of the root request are spent")
	}
	call.Attempts = attempts
	if up, ok := s.target.Upstream(now); ok && first {
		s.caller.StartChild(up.Service, m.Route.Service, now)
	}
	if _, ok := s.caller.Admit(m.Route.Service, call.Customer, call.Rank, now); !ok {
		return refuse.New(refuse.Overloaded, "service %q admits only more important requests", m.Route.Service).WithRetryAfter(time.Second)
	}
	*bodyRead = true
	rc := http.NewResponseController(w)
	stopBody := context.AfterFunc(ctx, func() { _ = rc.SetReadDeadline(time.Unix(1, 0)) })
	account, held := conns.Account(r.Context()), int64(0)
	account.Pin() // a call of a running request doesn't give way
	defer func() {
		account.Shrink(held)
		account.Unpin()
	}()
	reserve := func(n int64) bool {
		ok := account.GrowBody(n, time.Now())
		if ok {
			held += n
		}
		return ok
	}
	body, err := relay.NewBody(r.Body, r.ContentLength, func() http.Header { return relay.EndToEndHeader(r.Trailer) }, relay.WithReserve(reserve))
	stopBody()
	if err != nil && errors.Is(context.Cause(ctx), errStopped) {
		return refuse.New(refuse.NotReady, "the node stopped while the body arrived")
	}
	if err != nil {
		return refuse.New(refuse.BadRequest, "the body is incomplete")
	}
	resp, left, e := entry.Dispatch(ctx, s.caller, s.claimer, m.Route, &relay.Request{
		Call:          call,
		Service:       m.Route.Service,
		Route:         m.Name,
		Method:        r.Method,
		URI:           relay.OriginForm(r),
		Host:          r.Host,
		Header:        relay.EndToEndHeader(r.Header),
		ContentLength: r.ContentLength,
		Body:          body,
		Repeatable:    entry.Repeatable(r.Method, m.Route),
	})
	unused = left
	if e == nil || e.Executed != refuse.NotExecuted {
		ended := time.Now()
		s.finish.Record(m.Name, ended.Sub(now), ended)
	}
	if e != nil && errors.Is(context.Cause(ctx), errStopped) {
		return refuse.New(refuse.NotReady, "the node stopped before the answer").WithExecuted(e.Executed)
	}
	if e != nil {
		return e
	}
	defer func() { _ = resp.Body.Close() }()
	defer func() { unused = resp.Trailer().AttemptsLeft }()
	if err := entry.WriteResponse(w, resp); err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// deadline returns the earliest of the parent's deadline, the end of the route's
// timeout and the deadline that the upstream requests in a header. A requested
// time of an hour or more is ignored.
func deadline(parent time.Time, r model.Route, h http.Header, now time.Time) time.Time {
	d := parent
	if r.TimeoutMS > 0 {
		d = earlier(d, now.Add(time.Duration(r.TimeoutMS)*time.Millisecond))
	}
	if ms, err := strconv.ParseInt(h.Get(chain.DeadlineHeader), 10, 64); err == nil && ms > 0 && ms < time.Hour.Milliseconds() {
		d = earlier(d, now.Add(time.Duration(ms)*time.Millisecond))
	}
	return d
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
