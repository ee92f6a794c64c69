package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/core/super"
)

// sweepInterval is the time between two searches for idle connections. They may
// stay this much longer than the limit.
const sweepInterval = time.Second

// requestLine is what the method, the version and the separators of a request
// line need beside the target, rounded up.
const requestLine = 32

// callerLimits returns the limits of the configuration in force.
func (s *Server) callerLimits() model.CallerLimits {
	if cur := s.store.Current(); cur != nil {
		return cur.View.Fleet.Callers
	}
	return model.CallerLimits{}
}

// bodyLimit returns the size of the largest body; 0 for no limit.
func (s *Server) bodyLimit() int64 {
	return stricter(s.limits.BodyBytes, s.callerLimits().BodyBytes)
}

// stricter returns the lower of two limits, of which 0 is none.
func stricter(a, b int64) int64 {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// checkSize refuses a request whose header or announced body is too large.
func (s *Server) checkSize(r *http.Request) *refuse.Error {
	if limit := s.bodyLimit(); limit > 0 && r.ContentLength > limit {
		return refuse.New(refuse.TooLarge, "the body is larger than %d bytes", limit)
	}
	if limit := s.callerLimits().HeaderBytes; limit > 0 && headerSize(r) > limit {
		return refuse.New(refuse.HeaderTooLarge, "the header is larger than %d bytes", limit)
	}
	return nil
}

// headerSize returns the size of the request line and the header fields.
func headerSize(r *http.Request) int64 {
	const separators = len(": \r\n")
	n := requestLine + len(r.RequestURI) + len(r.Host) + separators
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return int64(n)
}

// idleConns holds the connections of callers that have no request.
type idleConns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

// track implements the field ConnState of http.Server.
func (c *idleConns) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.since[conn] = time.Now()
	} else {
		delete(c.since, conn)
	}
}

// expired removes and returns the connections that are idle for longer than a
// time.
func (c *idleConns) expired(limit time.Duration, now time.Time) []net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []net.Conn
	for conn, since := range c.since {
		if now.Sub(since) > limit {
			out = append(out, conn)
			delete(c.since, conn)
		}
	}
	return out
}

// idleLimit is the idle time that is enforced. Callers that have not heard of a
// lower one reuse their connections by the one before, which therefore holds for
// as long again.
type idleLimit struct {
	held    time.Duration
	lowered time.Time // zero if held is the latest limit
}

// at returns the time to enforce when the configuration says limit; 0 for none.
func (l *idleLimit) at(limit time.Duration, now time.Time) time.Duration {
	switch {
	case limit <= 0 || l.held <= 0 || limit >= l.held:
		l.held, l.lowered = limit, time.Time{}
	case l.lowered.IsZero():
		l.lowered = now
	case now.Sub(l.lowered) > l.held:
		l.held, l.lowered = limit, time.Time{}
	}
	return l.held
}

// CloseIdle is the duty that closes connections that callers leave idle for
// longer than the configuration allows.
func (s *Server) CloseIdle(ctx context.Context) error {
	var enforced idleLimit
	return super.Every(ctx, sweepInterval, func(now time.Time) {
		limit := enforced.at(time.Duration(s.callerLimits().IdleTimeoutMS)*time.Millisecond, now)
		if limit <= 0 {
			return
		}
		for _, conn := range s.idle.expired(limit, now) {
			_ = conn.Close()
		}
	})
}
