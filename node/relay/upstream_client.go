package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"dogwoodsill.org/core/strict"
)

// Limits, sizes and times of the connections to the upstream.
const (
	maxIdleConns    = 64
	idleConnTimeout = 30 * time.Second
	dialTimeout     = time.Second
	// maxResponseHeaderBytes limits the header of a response, which is held in
	// memory as a whole. It equals the default limit for the header of a caller's
	// request.
	maxResponseHeaderBytes = 32 << 10
	// maxRememberedRefusals limits the memory that a connection uses for its refusals.
	maxRememberedRefusals = 32
)

// upstreamClient sends requests to the upstream. It keeps connections for requests that may
// run again. A request that must not run twice gets a connection of its own: on a kept one
// the upstream may have sent a second copy of an earlier response, or may have forgotten
// the connection, and the outcome of the request would not be known.
type upstreamClient struct {
	kept, fresh *http.Transport
}

func newUpstreamClient() *upstreamClient {
	kept := &http.Transport{
		DialContext:         dialUpstream,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,

		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	fresh := kept.Clone()
	fresh.DisableKeepAlives = true
	return &upstreamClient{kept: kept, fresh: fresh}
}

// upstreamConn is a connection to the upstream. It remembers the refusals that arrived on
// it, because a second copy of one may follow at any later time.
type upstreamConn struct {
	*strict.Conn

	mu      sync.Mutex
	refused []string // identifiers that the latest refusals state, oldest first
}

func dialUpstream(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return newUpstreamConn(conn), nil
}

func newUpstreamConn(conn net.Conn) *upstreamConn {
	return &upstreamConn{Conn: strict.NewConn(conn)}
}

// recordRefusal records a refusal that states the given identifier, which may be empty. It
// reports false if the refusal may be a second copy of an earlier one.
func (c *upstreamConn) recordRefusal(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Contains(c.refused, id) {
		return false
	}
	if len(c.refused) == maxRememberedRefusals {
		c.refused = slices.Delete(c.refused, 0, 1)
	}
	c.refused = append(c.refused, id)
	return true
}

// transport returns the transport of a request.
func (c *upstreamClient) transport(repeatable bool) *http.Transport {
	if !repeatable {
		return c.fresh
	}
	return c.kept
}

// isMalformedResponse reports whether what came in place of a response is none, such as bytes
// that follow an earlier response on a kept connection. The error of net/http has no type.
func isMalformedResponse(err error) bool {
	var malformed *strict.MalformedError
	return errors.As(err, &malformed) || err != nil && strings.Contains(err.Error(), "malformed HTTP")
}

// discard closes the connection of a response that belongs to another request, and the
// idle ones, on which more such responses may wait.
func (c *upstreamClient) discard(resp *http.Response) {
	_ = resp.Body.Close() // a body that was not read to its end closes the connection
	c.kept.CloseIdleConnections()
}

// CloseIdleConnections closes the connections that are not in use.
func (c *upstreamClient) CloseIdleConnections() {
	c.kept.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}
