package conns

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/super"
)

const (
	// idleCloseDelay is how long a shutdown answers requests on connections that were idle before
	// it, until it closes them.
	idleCloseDelay = 100 * time.Millisecond
	// nextRequestTimeout is how long a shutdown waits for the first request of a connection that
	// was accepted before, for the next one after a response that couldn't announce the close,
	// and for the rest of a request of which no more arrives.
	nextRequestTimeout = time.Second
	// closeInterval is the time between two checks of a shutdown. It grows to maxCloseInterval
	// while connections are closed.
	closeInterval    = 5 * time.Millisecond
	maxCloseInterval = 50 * time.Millisecond
)

// AbortedByClose is the cause under which metrics count requests that arrived while their idle
// connection was being closed. They were not passed on.
const AbortedByClose = "connClosed"

// Tracker holds the connections of a Server. It decides whether a connection is
// closed or its next request is handled, so that no request is passed on whose
// connection is closed without an answer. The state that net/http keeps can't decide
// it, since a connection counts as idle there until the head of a request was read
// completely. It is safe for concurrent use.
type Tracker struct {
	metrics *metric.Set

	mu        sync.Mutex
	byConn    map[net.Conn]*connState
	lingering bool // responses announce that their connection is closed
	refusing  bool // requests are refused
	stopping  bool // a shutdown closes the connections
}

// connState is the state of one connection.
type connState struct {
	conn      *conn     // nil for a connection of another listener
	idleSince time.Time // zero unless the connection waits for a request
	active    bool      // a request was read, and its response not sent
	requests  int       // number of requests that are handled
	used      bool      // a request was handled
	closed    bool
	http2     bool // net/http reports it as idle before the last response is sent, and ends it by a GOAWAY frame
}

func newTracker(m *metric.Set) *Tracker {
	return &Tracker{metrics: m, byConn: map[net.Conn]*connState{}}
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// withConn is the ConnContext callback of http.Server.
func (c *Tracker) withConn(ctx context.Context, conn net.Conn) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byConn[conn] = &connState{conn: unwrap(conn)}
	return context.WithValue(ctx, connKey{}, conn)
}

// track is the ConnState callback of http.Server.
func (c *Tracker) track(conn net.Conn, state http.ConnState) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	cc := c.byConn[conn]
	if cc == nil {
		return
	}
	cc.idleSince, cc.active = time.Time{}, state == http.StateActive
	switch state {
	case http.StateIdle:
		cc.idleSince = now
		if !cc.used {
			cc.http2 = true // an HTTP/1 connection becomes idle only after a request
		}
		if cc.conn != nil && !cc.http2 { // an HTTP/2 connection may have read the next request
			cc.conn.becomeIdle()
		}
	case http.StateClosed, http.StateHijacked:
		delete(c.byConn, conn)
	default:
	}
}

// closeIfIdle marks the connection as closed if it waits for a request, and reports whether
// it did. The caller holds Tracker.mu.
func (cc *connState) closeIfIdle() bool {
	if cc.idleSince.IsZero() || cc.requests > 0 || cc.closed {
		return false
	}
	cc.closed = true
	return true
}

// handle returns a handler that calls h unless the connection of the request is closed.
func (c *Tracker) handle(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _ := r.Context().Value(connKey{}).(net.Conn)
		if !c.begin(conn, r.ProtoMajor > 1, r.ContentLength != 0) {
			c.metrics.Add(metric.Aborted+AbortedByClose, 1)
			panic(http.ErrAbortHandler)
		}
		defer c.end(conn)
		c.AnnounceClose(w.Header())
		if r.ProtoMajor == 1 && Account(r.Context()).Evicted() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
		if r.ProtoMajor == 1 && w.Header().Get("Connection") == "close" {
			if c := unwrap(conn); c != nil {
				c.markLast()
			}
		}
	})
}

// Linger makes all responses announce that their connection is closed. Idle connections
// stay open, since their callers may be sending the next request.
func (c *Tracker) Linger() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingering = true
}

// Refuse makes all new requests be refused, and implies linger.
func (c *Tracker) Refuse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingering, c.refusing = true, true
}

// IsRefusing reports whether Refuse was called.
func (c *Tracker) IsRefusing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusing
}

// IsStopping reports whether a shutdown closes the connections on which no request arrives.
func (c *Tracker) IsStopping() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopping
}

// AnnounceClose adds the announcement to the header of a response if linger was called. For
// HTTP/2, net/http sends a GOAWAY frame instead.
func (c *Tracker) AnnounceClose(h http.Header) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lingering {
		h.Set("Connection", "close")
	}
}

// begin records that a request is handled. It returns false if the connection was
// closed.
func (c *Tracker) begin(conn net.Conn, http2, hasBody bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc := c.byConn[conn]
	if cc == nil {
		return true // not a connection of this server's listener
	}
	if cc.closed {
		return false
	}
	cc.requests++
	cc.used, cc.http2 = true, http2
	switch {
	case cc.conn == nil:
	case http2 && !cc.conn.beginHTTP2(time.Now()):
		cc.requests--
		return false
	case !http2:
		cc.conn.beginRequest(hasBody)
	}
	return true
}

func (c *Tracker) end(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc := c.byConn[conn]
	if cc == nil {
		return
	}
	cc.requests--
	if cc.conn != nil && cc.http2 {
		cc.conn.account.Progress(time.Now()) // for HTTP/1, becomeIdle records it
	}
}

// CloseIdleConns closes the connections that have been idle for longer than limit.
func (c *Tracker) CloseIdleConns(limit time.Duration, now time.Time) {
	c.closeWhere(now.Add(-limit), func(cc *connState) bool { return now.Sub(cc.idleSince) > limit })
}

// closeConns closes the HTTP/1 connections, each once the requests that were sent on it are
// answered. It returns when only HTTP/2 connections are left, or the error of ctx.
func (c *Tracker) closeConns(ctx context.Context) error {
	began := time.Now()
	c.markStopping()
	for interval := closeInterval; c.closeUnusedAndIdle(began, time.Now()); interval = min(2*interval, maxCloseInterval) {
		if !super.Pause(ctx, interval) {
			return ctx.Err()
		}
	}
	return nil
}

func (c *Tracker) markStopping() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
}

// closeUnusedAndIdle closes the HTTP/1 connections that have waited for a request for long enough
// in a shutdown that began at the given time. It reports whether any HTTP/1 connection is left.
func (c *Tracker) closeUnusedAndIdle(began, now time.Time) (left bool) {
	c.closeIf(func(cc *connState) bool {
		if cc.closed || cc.http2 {
			return false
		}
		left = true
		return cc.isWaiting() && cc.closeInShutdown(began, now)
	})
	return left
}

// isWaiting reports whether no request is handled and no response being written.
func (cc *connState) isWaiting() bool {
	return cc.requests == 0 && !cc.active
}

// closeInShutdown ends the reading of a waiting connection if no request arrived in time. It
// reports whether the connection has to be closed instead, which it then marks. The caller holds
// Tracker.mu.
func (cc *connState) closeInShutdown(began, now time.Time) bool {
	since, limit := began, idleCloseDelay
	answered := cc.idleSince.After(began) // by a response that didn't announce the close
	if answered {
		since = cc.idleSince
	}
	if answered || !cc.used {
		limit = nextRequestTimeout
	}
	switch {
	case now.Sub(since) < limit:
		return false
	case cc.conn == nil:
		cc.closed = true
		return true
	}
	if answered {
		cc.conn.markLast() // the caller may not have read the response yet
	}
	cc.conn.endReading(now.Add(-nextRequestTimeout))
	return false
}

// awaitResponses waits until no request is left to be answered, or ctx ends.
func (c *Tracker) awaitResponses(ctx context.Context) {
	for c.isResponding() && super.Pause(ctx, closeInterval) {
	}
}

// isBusy reports whether a request is being read or a response being written. It doesn't know
// for HTTP/2.
func (cc *connState) isBusy() bool {
	if cc.closed || cc.http2 {
		return false
	}
	return !cc.isWaiting() || cc.conn != nil && cc.conn.isReceiving()
}

// isResponding reports whether a request is being read or handled, or a response being written.
func (c *Tracker) isResponding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cc := range c.byConn {
		if cc.requests > 0 || cc.isBusy() {
			return true
		}
	}
	return false
}

// closeWhere closes the idle connections for which f returns true. One on which a part of a
// request was received stays open unless that was before quietSince.
func (c *Tracker) closeWhere(quietSince time.Time, f func(cc *connState) bool) {
	c.closeIf(func(cc *connState) bool { return f(cc) && !cc.endIfIdle(quietSince) && cc.closeIfIdle() })
}

// endIfIdle ends the reading of an idle connection, so that net/http closes it if no request is
// being read. It returns false if the connection can only be closed. The caller holds Tracker.mu.
func (cc *connState) endIfIdle(quietSince time.Time) bool {
	if cc.conn == nil {
		return false
	}
	if !cc.idleSince.IsZero() && cc.requests == 0 {
		cc.conn.endReading(quietSince)
	}
	return true
}

// closeIf closes the connections that mark, called with mu held, has marked as closed.
func (c *Tracker) closeIf(mark func(cc *connState) bool) {
	c.mu.Lock()
	var closing []net.Conn
	for conn, cc := range c.byConn {
		if mark(cc) {
			closing = append(closing, conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range closing {
		_ = conn.Close()
	}
}
