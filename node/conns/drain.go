package conns

import (
	"crypto/tls"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of what is read from a connection after its last response.
const (
	drainTimeout  = time.Second
	maxDrainBytes = 256 << 10
)

// drainListener accepts connections that can be closed without a reset. Closing a connection on
// which the caller has sent further requests would reset it, and the caller could lose the end
// of the last response (RFC 9112, section 9.6).
type drainListener struct {
	net.Listener
	draining *sync.WaitGroup
}

// DrainAfterClose returns a listener whose connections the server closes in order after a
// response that announces the close. TLS must be added to it and not to ln.
func (s *Server) DrainAfterClose(ln net.Listener) net.Listener {
	return &drainListener{Listener: ln, draining: &s.draining}
}

// Accept implements net.Listener.
func (l *drainListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &drainConn{Conn: conn, draining: l.draining}, nil
}

// drainConn is a connection of a drainListener.
type drainConn struct {
	net.Conn
	draining *sync.WaitGroup
	last     atomic.Bool // the response that is being sent is the last one
	once     sync.Once
}

// markLast records that the response that is being sent on a connection is the last one.
func markLast(conn net.Conn) {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	if d, ok := conn.(*drainConn); ok {
		d.last.Store(true)
	}
}

// CloseWrite ends the sending direction.
func (c *drainConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. After the last response, it ends the sending direction, and the
// connection is closed once the caller has closed it or drainTimeout has passed.
func (c *drainConn) Close() error {
	if !c.last.Load() || c.CloseWrite() != nil {
		return c.Conn.Close()
	}
	c.once.Do(func() {
		c.draining.Add(1)
		go c.drain()
	})
	return nil
}

func (c *drainConn) drain() {
	defer c.draining.Done()
	defer func() { _ = c.Conn.Close() }()
	if c.SetReadDeadline(time.Now().Add(drainTimeout)) == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, maxDrainBytes)
	}
}
