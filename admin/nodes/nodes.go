package nodes

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"dogwoodsill.org/core/burn"
	"dogwoodsill.org/core/report"
)

const (
	// maxDocument bounds an answer. A status of the target size has 9,700 members
	// of about 300 bytes.
	maxDocument = 32 << 20
	// maxRequests bounds the requests in flight.
	maxRequests = 64
	// requestTimeout ends a request to a node that doesn't answer, so that the
	// others can be reported.
	requestTimeout = 3 * time.Second
)

// Client reads from a list of nodes. It is safe for concurrent use.
type Client struct {
	addrs []string
	http  *http.Client
}

// New returns a client of nodes with operations addresses such as
// "10.0.0.1:9000". It returns an error for an address of another form.
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

// Reply is the document of one node, or the error of asking for it.
type Reply[T any] struct {
	Addr string
	Doc  T
	Err  error
}

// Statuses asks every node for its status, in the order of the addresses.
func (c *Client) Statuses(ctx context.Context) []Reply[report.Status] {
	return ask[report.Status](ctx, c, "/status")
}

// Burned asks every node for what it counted for the burn report, in the order
// of the addresses.
func (c *Client) Burned(ctx context.Context) []Reply[burn.Document] {
	return ask[burn.Document](ctx, c, "/burn")
}

// ask gets a document from every node.
func ask[T any](ctx context.Context, c *Client, path string) []Reply[T] {
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
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxDocument)).Decode(v); err != nil {
		return fmt.Errorf("node %s: %s: %w", addr, path, err)
	}
	return nil
}
