package relay

import (
	"net"
	"net/http"
	"strings"
	"time"
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
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,

		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	fresh := kept.Clone()
	fresh.DisableKeepAlives = true
	return &upstreamClient{kept: kept, fresh: fresh}
}

// send sends a request and returns the response.
func (c *upstreamClient) send(req *http.Request, repeatable bool) (*http.Response, error) {
	if !repeatable {
		return c.fresh.RoundTrip(req)
	}
	return c.kept.RoundTrip(req)
}

// isMalformedResponse reports whether what came in place of a response is none, such as bytes
// that follow an earlier response on a kept connection. The error of net/http has no type.
func isMalformedResponse(err error) bool {
	return err != nil && strings.Contains(err.Error(), "malformed HTTP")
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
