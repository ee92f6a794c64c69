package conns

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"dogwoodsill.org/core/budget"
)

const (
	// connBytes is what an open connection costs: its goroutine, the read and the write buffer of
	// net/http and the first freeHeadBytes of a head.
	connBytes     = 12 << 10
	freeHeadBytes = 4 << 10
	// headFactor is the number of bytes in use for each byte of a head: the parsed fields and
	// the buffers from which they were read.
	headFactor = 2
	// http2Bytes is what an HTTP/2 connection costs beyond that: one header block that is being
	// read, frames and the tables of the header compression.
	http2Bytes = 64 << 10
	// receiveBufferBytes is the receive buffer that is requested from the kernel for a connection,
	// which doubles it. Data that the process has not read counts towards its memory, also
	// that of connections that it has not accepted yet.
	receiveBufferBytes = 16 << 10
	// bodyBufferBytes is the receive buffer for a body. Half of what the kernel makes of it is the
	// window: 10 MB/s at a round-trip time of 3 ms.
	bodyBufferBytes = 32 << 10
	// StreamBufferBytes is the receive buffer for a body that is streamed. It allows 43 MB/s at a
	// round-trip time of 3 ms.
	StreamBufferBytes = 128 << 10
)

// errNoMemory is the error of a connection whose head finds no room in the memory for callers.
var errNoMemory = errors.New("conns: the memory for callers is in use")

// connMemory is what a connection occupies. conn.mu guards it.
type connMemory struct {
	head         int64  // bytes received of the head of the next or current request
	charged      int64  // bytes taken from the pool for the head
	http2        bool   // heads are not counted
	http2Counted bool   // http2Bytes were taken from the pool
	abort        func() // ends the request that is being handled; nil if there is none
}

// Listen listens on a TCP address for connections whose receive buffer in the kernel is limited.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	cfg := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		cerr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
		})
		return errors.Join(cerr, err)
	}}
	return cfg.Listen(ctx, "tcp", addr)
}

// openAccount opens the account of the connection. It returns false if there is no room for it.
func (c *conn) openAccount(p *budget.Pool, now time.Time) bool {
	if p == nil {
		return true
	}
	account, ok := p.Open(connBytes, c.giveWay, now)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account = account
	return ok
}

func (c *conn) setReceiveBuffer(n int) {
	b, ok := c.Conn.(interface{ SetReadBuffer(bytes int) error })
	if !ok {
		return
	}
	if err := b.SetReadBuffer(n); err != nil {
		c.log.Debug("the receive buffer of a connection is not set", "remote", c.RemoteAddr(), "bytes", n, "error", err)
	}
}

// BeginBody sets the receive buffer of the connection of a request for a body of n bytes, -1 if
// the length is unknown, that is streamed or not. The returned function sets the usual one again.
func BeginBody(ctx context.Context, n int64, streamed bool) (end func()) {
	c := connOf(ctx)
	if c == nil || c.account == nil || n >= 0 && n <= receiveBufferBytes {
		return func() {}
	}
	size := bodyBufferBytes
	if streamed {
		size = StreamBufferBytes
	}
	c.setReceiveBuffer(size)
	return func() { c.setReceiveBuffer(receiveBufferBytes) }
}

// giveWay ends what the connection does, so that its memory is free for others. A request that
// is being handled is ended by its handler, which responds. If data has just arrived, it may be a
// whole request that net/http has not passed on yet, and the connection gets time to refuse it.
func (c *conn) giveWay() {
	if c.isArriving(time.Now()) {
		time.AfterFunc(arrivedTimeout, func() {
			if !c.isRunning() {
				c.giveWayNow()
			}
		})
		return
	}
	c.giveWayNow()
}

func (c *conn) giveWayNow() {
	c.mu.Lock()
	abort, idle := c.memory.abort, !c.received && !c.arrivals.running && !c.memory.http2
	c.mu.Unlock()
	switch {
	case abort != nil:
		abort()
	case idle:
		c.endReading(time.Now())
	default:
		_ = c.closeNow()
	}
}

// isArriving reports whether data of a request that is not handled yet was received within
// arrivedTimeout.
func (c *conn) isArriving(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received && !c.arrivals.running && !c.memory.http2 && now.Sub(c.arrivals.last) < arrivedTimeout
}

// isRunning reports whether a request of an HTTP/1 connection is handled.
func (c *conn) isRunning() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.arrivals.running
}

// countReceived counts received bytes. It returns false if the head finds no room.
func (c *conn) countReceived(n int, now time.Time) bool {
	if n == 0 || c.account == nil {
		return true
	}
	c.account.Receive(n, now)
	// The account is used without mu: making room may lock another connection.
	need := c.headNeed(n)
	if !c.account.Grow(need, now) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.memory.charged += need
	return true
}

// headNeed returns the memory that n more received bytes need as part of a head.
func (c *conn) headNeed(n int) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.arrivals.running || c.memory.http2 {
		return 0 // part of a body, or read ahead into the buffer of net/http
	}
	c.memory.head += int64(n)
	return max(0, headFactor*(c.memory.head-freeHeadBytes)-c.memory.charged)
}

// releaseHead returns what was taken for a head. The caller holds mu.
func (c *conn) releaseHead() {
	c.account.Shrink(c.memory.charged)
	c.memory.head, c.memory.charged = 0, 0
}

// beginHTTP2 records that a request is handled on an HTTP/2 connection. It returns false if there
// is no room for the connection. Calls must not overlap.
func (c *conn) beginHTTP2(now time.Time) bool {
	c.account.Progress(now)
	if c.becomeHTTP2() {
		return true
	}
	// The account is used without mu: making room may lock another connection.
	if !c.account.Grow(http2Bytes, now) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.memory.http2Counted = true
	return true
}

// becomeHTTP2 records that the connection uses HTTP/2, and reports whether that is counted already.
func (c *conn) becomeHTTP2() (counted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.memory.http2 {
		c.releaseHead()
		c.memory.http2 = true
	}
	return c.memory.http2Counted
}

// closeNow closes the connection and its account.
func (c *conn) closeNow() error {
	err := c.Conn.Close()
	c.account.Close()
	return err
}

// Account returns the account of the connection of a request, from its context. It is nil if the
// memory of callers is not limited.
func Account(ctx context.Context) *budget.Account {
	if c := connOf(ctx); c != nil {
		return c.account
	}
	return nil
}

// OnEvict sets the function that ends a request of an HTTP/1 connection when the connection has
// to give way. The returned function removes it.
func OnEvict(ctx context.Context, abort func()) (remove func()) {
	c := connOf(ctx)
	if c == nil {
		return func() {}
	}
	c.setAbort(abort)
	return func() { c.setAbort(nil) }
}

func (c *conn) setAbort(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.memory.http2 {
		c.memory.abort = f
	}
}

func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	return unwrap(c)
}
