package nodes

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"dogwoodsill.org/core/burn"
	"dogwoodsill.org/core/report"
)

const (
	// maxDocumentBytes is the maximum size of a response. A status of a fleet of
	// the target size has 9,700 members of about 300 bytes each, about 3 MB in
	// total.
	maxDocumentBytes = 32 << 20
	// maxRequests is the maximum number of concurrent requests.
	maxRequests = 64
	// requestTimeout limits each request, so that an unreachable node doesn't
	// prevent the report on the other nodes.
	requestTimeout = 3 * time.Second
)

// Client fetches documents from a list of nodes. It is safe for concurrent use.
type Client struct {
	addrs []string
	http  *http.Client
}

// New returns a client for the nodes with the given operations addresses, such
// as "10.0.0.1:9000". It drops duplicates and returns an error for an address
// that isn't of the form host:port.
func New(addrs []string, hc *http.Client) (*Client, error) {
	c := &Client{http: hc}
	seen := map[string]bool{}
	for _, a := range addrs {
		a = strings.TrimSpace(a)
		if host, port, err := net.SplitHostPort(a); err != nil || host == "" || port == "" {
			return nil, fmt.Errorf("node address %q is not an address with a port", a)
		}
		if !seen[a] {
			c.addrs = append(c.addrs, a)
		}
		seen[a] = true
	}
	return c, nil
}

// Reply is the document of one node, or the error of the request for it.
type Reply[T any] struct {
	Addr string
	Doc  T
	Err  error
}

// Statuses fetches the status of every node, in the order of the addresses.
func (c *Client) Statuses(ctx context.Context) []Reply[report.Status] {
	return fetchAll[report.Status](ctx, c, "/status")
}

// Burned fetches the request counts of every node for the burn report, in the
// order of the addresses.
func (c *Client) Burned(ctx context.Context) []Reply[burn.Document] {
	return fetchAll[burn.Document](ctx, c, "/burn")
}

// Explanations asks every node where it would send a request, in the order of the addresses.
func (c *Client) Explanations(ctx context.Context, q url.Values) []Reply[report.Explanation] {
	return fetchAll[report.Explanation](ctx, c, "/explain?"+q.Encode())
}

// fetchAll requests a document from every node.
func fetchAll[T any](ctx context.Context, c *Client, path string) []Reply[T] {
	out := make([]Reply[T], len(c.addrs))
	slots := make(chan struct{}, maxRequests)
	var wg sync.WaitGroup
	for i, addr := range c.addrs {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			out[i].Addr = addr
			out[i].Err = c.get(ctx, addr, path, &out[i].Doc)
		})
	}
	wg.Wait()
	return out
}

func (c *Client) get(ctx context.Context, addr, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("node %s: %s: status %d", addr, path, resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxDocumentBytes)).Decode(v); err != nil {
		return fmt.Errorf("node %s: %s: %w", addr, path, err)
	}
	return nil
}
