package entry

import (
	"context"
	"net/http"
	"slices"
	"time"

	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/core/super"
)

// idleCheckInterval is the time between two checks for idle connections. A
// connection may exceed the idle limit by this time.
const idleCheckInterval = time.Second

// requestLineOverhead is the size of a request line without its URI: the
// method, the version and the separators, rounded up.
const requestLineOverhead = 32

// callerLimits returns the limits of the configuration in effect.
func (s *Server) callerLimits() model.CallerLimits {
	if cur := s.store.Current(); cur != nil {
		return cur.View.Fleet.Callers
	}
	return model.CallerLimits{}
}

// bodyLimit returns the maximum size of a body; 0 means no limit.
func (s *Server) bodyLimit() int64 {
	return stricter(s.limits.BodyBytes, s.callerLimits().BodyBytes)
}

// stricter returns the lower of two limits, where 0 means no limit.
func stricter(a, b int64) int64 {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// checkSize refuses a request whose header or declared content length is too
// large.
func (s *Server) checkSize(r *http.Request) *refuse.Error {
	if limit := s.bodyLimit(); limit > 0 && r.ContentLength > limit {
		return refuse.New(refuse.TooLarge, "the body is larger than %d bytes", limit)
	}
	if limit := s.callerLimits().HeaderBytes; limit > 0 && headerSize(r) > limit {
		return refuse.New(refuse.HeaderTooLarge, "the header is larger than %d bytes", limit)
	}
	return nil
}

// headerSize estimates the size of the request line and the header fields.
func headerSize(r *http.Request) int64 {
	const separators = len(": \r\n")
	n := requestLineOverhead + len(r.RequestURI) + len(r.Host) + separators
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return int64(n)
}

// idleLimit determines the idle time limit to enforce. A caller that doesn't
// know a changed limit yet reuses its connections according to an earlier one.
// A limit therefore remains in effect for its own time after it was replaced.
type idleLimit struct {
	configured time.Duration // 0 means no limit
	replaced   []replacedLimit
}

// replacedLimit is an earlier limit of the configuration.
type replacedLimit struct {
	limit time.Duration
	at    time.Time // when it was replaced
}

// update returns the limit to enforce for a configured limit; 0 means no limit.
func (l *idleLimit) update(configured time.Duration, now time.Time) time.Duration {
	if configured != l.configured {
		l.replaced = append(l.replaced, replacedLimit{limit: l.configured, at: now})
		l.configured = configured
	}
	l.replaced = slices.DeleteFunc(l.replaced, func(r replacedLimit) bool { return now.Sub(r.at) > r.limit })
	if configured <= 0 {
		return 0
	}
	enforced := configured
	for _, r := range l.replaced {
		enforced = max(enforced, r.limit)
	}
	return enforced
}

// CloseIdle is the background task that closes connections that have been idle
// for longer than the configuration allows.
func (s *Server) CloseIdle(ctx context.Context) error {
	var enforced idleLimit
	return super.Every(ctx, idleCheckInterval, func(now time.Time) {
		limit := enforced.update(time.Duration(s.callerLimits().IdleTimeoutMS)*time.Millisecond, now)
		if limit > 0 {
			s.CloseIdleConns(limit, now)
		}
	})
}
