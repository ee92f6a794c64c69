package entry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"dogwoodsill.org/core/budget"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/node/conns"
	"dogwoodsill.org/node/relay"
)

const (
	// requestBytes is what a request in progress costs without its head and a buffered body: its
	// goroutines and what the kernel receives of the next request on its connection.
	requestBytes = 32 << 10
	// streamBytes is what a body that is not buffered costs beyond that: the copy buffers of both
	// directions and the receive buffer of the kernel.
	streamBytes = 64<<10 + conns.StreamBufferBytes
	// http2WindowBytes is the receive window of an HTTP/2 connection and of each of its streams.
	// It allows 85 MB/s at a round-trip time of 3 ms.
	http2WindowBytes = 256 << 10
	// http2BodyBytes is what the unread part of a body costs over HTTP/2. With what its
	// connection, its request and its stream cost, one body covers the window of its connection.
	http2BodyBytes = 64 << 10
	// memoryRetryAfter is the time after which a caller that was refused for lack of memory may
	// find some: connections without progress give way after budget.StallTime.
	memoryRetryAfter = time.Second
)

// errEvicted is the cause of the end of a request whose connection had to give way to others.
var errEvicted = errors.New("the memory for callers is in use")

// WithPool bounds the memory of callers by a pool, which other servers may share.
func WithPool(p *budget.Pool) Option {
	return func(s *Server) { s.pool = p }
}

// http2Config returns the settings of HTTP/2 connections.
func http2Config() *http.HTTP2Config {
	return &http.HTTP2Config{MaxReceiveBufferPerConnection: http2WindowBytes, MaxReceiveBufferPerStream: http2WindowBytes}
}

// requestMemory is what one request takes from the account of its connection. It is safe for
// concurrent use.
type requestMemory struct {
	account *budget.Account // nil for no limit

	mu       sync.Mutex
	held     int64
	pinned   bool
	released bool // release was called; a read of the body may end after that
}

func newRequestMemory(r *http.Request) *requestMemory {
	m := &requestMemory{account: conns.Account(r.Context())}
	if r.ContentLength == 0 {
		m.pin()
	}
	return m
}

// reserve takes n bytes and reports whether there was room.
func (m *requestMemory) reserve(n int64) bool {
	return m.count(n, m.account.Grow(n, time.Now()))
}

// reserveBody takes n bytes for a body and reports whether there was room.
func (m *requestMemory) reserveBody(n int64) bool {
	return m.count(n, m.account.GrowBody(n, time.Now()))
}

// count counts n bytes if they were taken.
func (m *requestMemory) count(n int64, taken bool) bool {
	if !taken {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held += n
	return true
}

// pin records that the caller has sent the whole request.
func (m *requestMemory) pin() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.pinned && !m.released {
		m.pinned = true
		m.account.Pin()
	}
}

// release returns all that the request took.
func (m *requestMemory) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.account.Shrink(m.held)
	if m.pinned {
		m.account.Unpin()
	}
	m.held, m.pinned, m.released = 0, false, true
}

// takeMemory takes what the request needs before its body. It returns a refusal if there is no room.
func (q *request) takeMemory() *refuse.Error {
	n := int64(requestBytes)
	if q.r.ProtoMajor > 1 {
		n += headerSize(q.r) // for HTTP/1 the connection counts it
		if q.r.ContentLength < 0 {
			n += http2BodyBytes
		}
		n += min(max(0, q.r.ContentLength), http2BodyBytes)
	}
	if q.memory.reserve(n) {
		return nil
	}
	if q.memory.account.Evicted() {
		q.w.Header().Set("Connection", "close") // no request on this connection finds room any more
	}
	return memoryRefusal()
}

// takeStreamMemory takes what a body that is not buffered needs.
func (q *request) takeStreamMemory() *refuse.Error {
	if relay.IsBuffered(q.r.ContentLength) || q.memory.reserveBody(streamBytes) {
		return nil
	}
	return memoryRefusal()
}

// checkFingerprint refuses a request with an idempotency key if there was no room to buffer its
// body. Its digest is part of what the key is bound to, and a repetition with room would not match.
func (q *request) checkFingerprint(body *relay.Body) *refuse.Error {
	if q.server.claimer == nil || q.r.Header.Get(IdempotencyHeader) == "" || !relay.IsBuffered(q.r.ContentLength) || body.Buffered() {
		return nil
	}
	return q.withUnknownExecutionIfKeyed(memoryRefusal())
}

func memoryRefusal() *refuse.Error {
	return refuse.New(refuse.Overloaded, "%v", errEvicted).WithRetryAfter(memoryRetryAfter)
}

// endOnEviction makes the request end when its connection has to give way to others.
func (q *request) endOnEviction(ctx context.Context) (remove func()) {
	req, _ := ctx.Value(activeRequestKey{}).(*activeRequest)
	return conns.OnEvict(ctx, func() { req.cancel(errEvicted) })
}
