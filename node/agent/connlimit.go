package agent

import (
	"net"
	"net/netip"
	"sync"
)

// connLimiter is a listener that limits the open connections of each remote IP
// address. It closes connections above the limit at once.
type connLimiter struct {
	net.Listener
	limit int

	mu   sync.Mutex
	open map[netip.Addr]int
}

func limitConns(ln net.Listener, limit int) net.Listener {
	return &connLimiter{Listener: ln, limit: limit, open: map[netip.Addr]int{}}
}

// Accept implements net.Listener.
func (l *connLimiter) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		addr := remoteIP(c)
		if l.acquire(addr) {
			return &limitedConn{Conn: c, release: sync.OnceFunc(func() { l.release(addr) })}, nil
		}
		_ = c.Close()
	}
}

func remoteIP(c net.Conn) netip.Addr {
	ap, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return ap.Addr()
}

func (l *connLimiter) acquire(a netip.Addr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[a] >= l.limit {
		return false
	}
	l.open[a]++
	return true
}

func (l *connLimiter) release(a netip.Addr) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[a]--
	if l.open[a] == 0 {
		delete(l.open, a)
	}
}

type limitedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}

// SetReadBuffer sets the size of the receive buffer of the kernel.
func (c *limitedConn) SetReadBuffer(bytes int) error {
	if b, ok := c.Conn.(interface{ SetReadBuffer(bytes int) error }); ok {
		return b.SetReadBuffer(bytes)
	}
	return nil
}

// CloseWrite ends the sending direction, so that net/http can do so before it closes a
// connection on which the caller still sends.
func (c *limitedConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}
