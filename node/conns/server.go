package conns

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodsill.org/core/budget"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/super"
)

// Server is an HTTP server that answers each request that it has read before it ends. It is safe
// for concurrent use.
type Server struct {
	*Tracker
	http *http.Server
	pool *budget.Pool // of the memory of connections; nil for no limit
	log  hclog.Logger

	draining atomic.Int64 // number of connections that are read after their last response

	mu         sync.Mutex    // guards the fields below
	listener   net.Listener  // nil before Serve
	serveEnded chan struct{} // closed when Serve returns
}

// Option configures a Server.
type Option func(*Server)

// WithPool bounds the memory of the connections by a pool, which other servers may share.
func WithPool(p *budget.Pool) Option {
	return func(s *Server) { s.pool = p }
}

// NewServer returns a server that handles requests as h does. It takes over the handler and the
// callbacks of h.
func NewServer(h *http.Server, m *metric.Set, log hclog.Logger, opts ...Option) *Server {
	s := &Server{Tracker: newTracker(m), http: h, log: log}
	for _, o := range opts {
		o(s)
	}
	h.Handler, h.DisableGeneralOptionsHandler = s.handle(s.answerServerOptions(h.Handler)), true
	h.ConnContext, h.ConnState = s.withConn, s.track
	return s
}

// maxOptionsBodyBytes limits the body of a request "OPTIONS *".
const maxOptionsBodyBytes = 4 << 10

// answerServerOptions returns a handler that answers "OPTIONS *" as net/http does, and calls h for
// all other requests. Requests that net/http answers itself are not tracked.
func (s *Server) answerServerOptions(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodOptions || r.RequestURI != "*" {
			h.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Content-Length", "0")
		if r.ContentLength != 0 {
			if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxOptionsBodyBytes)); err != nil {
				s.log.Debug("the body of a request \"OPTIONS *\" was not read to its end", "remote", r.RemoteAddr, "error", err)
			}
		}
	})
}

// HTTP returns the underlying HTTP server.
func (s *Server) HTTP() *http.Server {
	return s.http
}

// Serve accepts connections until Shutdown is called or the HTTP server is closed.
func (s *Server) Serve(ln net.Listener) error {
	ended := make(chan struct{})
	defer close(ended)
	s.mu.Lock()
	s.listener, s.serveEnded = ln, ended
	s.mu.Unlock()
	return s.http.Serve(s.Wrap(ln))
}

// closeListener closes the listener and waits until all connections that it accepted are
// tracked.
func (s *Server) closeListener() {
	s.mu.Lock()
	ln, ended := s.listener, s.serveEnded
	s.mu.Unlock()
	if ln == nil {
		return
	}
	if err := ln.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		s.log.Warn("closing a listener failed", "address", ln.Addr(), "error", err)
	}
	<-ended
}

// answerTime is how long after its end a shutdown waits for responses that are being written.
const answerTime = 200 * time.Millisecond

// Shutdown stops the server gracefully. Requests that still arrive are handled, and IsRefusing
// reports true for them. If ctx ends first, Shutdown waits until the requests that were ended
// with it are answered, for at most answerTime after the deadline of ctx. A process that was
// stalled until after the deadline ends its requests only when it runs again, so the wait then
// begins at that time.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Refuse()
	s.closeListener()
	err := s.closeConns(ctx)
	if err == nil {
		// During its own shutdown net/http reads no further request from an HTTP/1 connection.
		err = s.http.Shutdown(ctx)
	}
	if deadline, ok := ctx.Deadline(); err != nil && ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), max(0, time.Until(deadline))+answerTime)
		defer cancel()
		s.awaitResponses(ctx)
		// The callers of HTTP/2 connections learn which of their requests were not read.
		if goAwayErr := s.http.Shutdown(ctx); goAwayErr != nil {
			s.log.Debug("connections are left at the end of a shutdown", "error", goAwayErr)
		}
	}
	s.awaitDrained(ctx)
	return err
}

// awaitDrained waits until the callers have closed the connections that were closed after
// their last response, or ctx ends. The wait takes no longer than drainTimeout.
func (s *Server) awaitDrained(ctx context.Context) {
	for s.draining.Load() > 0 && super.Pause(ctx, closeInterval) {
	}
}
