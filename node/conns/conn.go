package conns

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodsill.org/core/budget"
	"dogwoodsill.org/core/super"
)

// Limits of what is read from a connection after its last response.
const (
	drainTimeout  = time.Second
	maxDrainBytes = 256 << 10
)

// arrivedTimeout is how long a read waits for data that has already arrived. It covers the time
// in which a goroutine of a busy machine gets no CPU.
const arrivedTimeout = 50 * time.Millisecond

// listener accepts connections whose reading can be ended without losing a request, and that can
// be closed without a reset.
type listener struct {
	net.Listener
	draining *atomic.Int64
	pool     *budget.Pool // nil for no limit
	log      hclog.Logger
}

// Wrap returns a listener that the server needs to end its connections in order. Serve wraps
// listeners itself; if a listener adds TLS, the one below it must be wrapped.
func (s *Server) Wrap(ln net.Listener) net.Listener {
	return &listener{Listener: ln, draining: &s.draining, pool: s.pool, log: s.log}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if unwrap(c) != nil {
			return c, nil
		}
		if _, ok := c.(*tls.Conn); ok {
			return c, nil // net/http needs its type
		}
		w := &conn{Conn: c, draining: l.draining, log: l.log}
		if w.openAccount(l.pool, time.Now()) {
			return w, nil
		}
		_ = c.Close()
	}
}

// conn is a connection of a listener.
type conn struct {
	net.Conn
	draining *atomic.Int64
	log      hclog.Logger
	once     sync.Once
	account  *budget.Account // nil for no limit

	mu       sync.Mutex
	reading  bool      // Read was called and has not returned
	received bool      // data was received since the connection became idle
	ended    bool      // endReading was called during a Read that received no data since
	deadline time.Time // for reads
	last     bool      // the response that is being sent is the last one
	arrivals arrivals
	memory   connMemory
}

// unwrap returns the connection of a listener below c, or nil if there is none.
func unwrap(c net.Conn) *conn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	w, _ := c.(*conn)
	return w
}

// Read implements net.Conn. Data that was received although the reading was to end is returned,
// and the reading continues.
func (c *conn) Read(p []byte) (int, error) {
	c.beginRead()
	n, err := c.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.isEnded() {
		n, err = c.readArrived(p)
	}
	room := c.countReceived(n, time.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if !room {
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errNoMemory}
	}
	switch {
	case n > 0:
		c.received = true
		c.arrivals.read(time.Now())
		c.resumeReading()
	case c.ended:
		err = io.EOF
	}
	return n, err
}

func (c *conn) beginRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
}

// readArrived reads data that arrived before the reading was ended. A read after its deadline
// returns none of it.
func (c *conn) readArrived(p []byte) (int, error) {
	if err := c.Conn.SetReadDeadline(time.Now().Add(arrivedTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

func (c *conn) isEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// resumeReading undoes endReading. The caller holds mu.
func (c *conn) resumeReading() {
	if !c.ended {
		return
	}
	c.ended = false
	c.limitReading(c.deadline)
}

// limitReading sets the deadline of reads. It fails only if the connection is closed.
func (c *conn) limitReading(deadline time.Time) {
	if err := c.Conn.SetReadDeadline(deadline); err != nil {
		c.log.Debug("setting the read deadline of a connection failed", "remote", c.RemoteAddr(), "error", err)
	}
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.ended {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// becomeIdle records that the next data belongs to another request.
func (c *conn) becomeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received = false
	c.arrivals.becomeIdle()
	c.releaseHead()
	c.account.Progress(time.Now())
}

// beginRequest records that a request is handled.
func (c *conn) beginRequest(hasBody bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals.begin(hasBody)
	c.account.Progress(time.Now())
}

// endReading ends the reading of an idle connection, unless data was received since it became
// idle and not before quietSince. net/http then closes it. Without a read in progress net/http
// may hold a whole request that was read before, and nothing is ended. A Read that is ended
// already keeps its time for data that has arrived.
func (c *conn) endReading(quietSince time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading && !c.ended && (!c.received || c.arrivals.last.Before(quietSince)) {
		c.ended = true
		c.limitReading(time.Unix(1, 0))
	}
}

// isReceiving reports whether data was received since the connection became idle.
func (c *conn) isReceiving() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received
}

// markLast records that the response that is being sent is the last one.
func (c *conn) markLast() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = true
}

// isLast reports whether markLast was called.
func (c *conn) isLast() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// CloseWrite ends the sending direction.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. Closing a connection on which the caller has sent further requests
// would reset it, and the caller could lose the end of the last response (RFC 9112, section 9.6).
// After the last response, Close therefore ends the sending direction only, and the connection is
// closed once the caller has closed it or drainTimeout has passed.
func (c *conn) Close() error {
	if !c.isLast() || c.CloseWrite() != nil {
		return c.closeNow()
	}
	c.once.Do(func() {
		c.draining.Add(1)
		super.Go("drain of a connection", func(err error) {
			c.log.Error("draining a connection panicked", "error", err)
		}, c.drain)
	})
	return nil
}

func (c *conn) drain() {
	defer c.draining.Add(-1)
	defer func() { _ = c.closeNow() }()
	if c.Conn.SetReadDeadline(time.Now().Add(drainTimeout)) == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, maxDrainBytes)
	}
}
