package conns

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Limits of listeners that serve the platform, the operators and the upstream, whose requests are
// short.
const (
	// MaxControlConns is the number of open connections of such a listener. A few clients send
	// one request at a time each.
	MaxControlConns       = 64
	controlHeaderBytes    = 16 << 10
	controlRequestTimeout = 5 * time.Second // for the head and the body of a request
	controlIdleTimeout    = 2 * time.Minute
	boundLogInterval      = time.Second
)

// LimitControl sets the limits of requests to a server of short requests. A timeout for heads
// that is set already is kept.
func LimitControl(s *http.Server) *http.Server {
	s.MaxHeaderBytes = controlHeaderBytes
	s.ReadTimeout = controlRequestTimeout
	s.IdleTimeout = controlIdleTimeout
	return s
}

// boundListener is a listener with a limited number of open connections. A new connection
// replaces the one on which nothing was received for the longest time.
type boundListener struct {
	net.Listener
	limit int
	log   hclog.Logger

	mu     sync.Mutex
	open   map[*boundConn]struct{}
	closed int       // connections replaced since logged
	logged time.Time // of the last log line
}

// Bound returns a listener with at most limit open connections.
func Bound(ln net.Listener, limit int, log hclog.Logger) net.Listener {
	return &boundListener{Listener: ln, limit: limit, log: log, open: map[*boundConn]struct{}{}}
}

// Accept implements net.Listener.
func (l *boundListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	b := &boundConn{Conn: c, listener: l, received: now}
	if replaced := l.add(b, now); replaced != nil {
		_ = replaced.Close()
	}
	return b, nil
}

// add registers a connection. It returns the one that it replaces, or nil.
func (l *boundListener) add(b *boundConn, now time.Time) (replaced *boundConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= l.limit {
		for c := range l.open {
			if replaced == nil || c.received.Before(replaced.received) {
				replaced = c
			}
		}
		delete(l.open, replaced)
		l.logReplaced(now)
	}
	l.open[b] = struct{}{}
	return replaced
}

// logReplaced logs the number of replaced connections at most once per boundLogInterval. The
// caller holds mu.
func (l *boundListener) logReplaced(now time.Time) {
	l.closed++
	if now.Sub(l.logged) >= boundLogInterval {
		l.log.Warn("a listener has too many connections", "address", l.Addr(), "limit", l.limit, "closed", l.closed)
		l.closed, l.logged = 0, now
	}
}

// boundConn is a connection of a boundListener.
type boundConn struct {
	net.Conn
	listener *boundListener
	received time.Time // of the last data; guarded by boundListener.mu
}

// Read implements net.Conn.
func (c *boundConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.received = time.Now()
	}
	return n, err
}

// Close implements net.Conn.
func (c *boundConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite ends the sending direction.
func (c *boundConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}
