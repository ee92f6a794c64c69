package logsvc

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/zeebo/errs"
)

// maxResponseBytes is the maximum size of a response that the client reads.
const maxResponseBytes = 64 << 20

// AppendRequest is the body of an append request.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendResponse is the response to an append request.
type AppendResponse struct {
	First uint64 `json:"first"`
}

// ExpiredResponse is the response to a read of expired records.
type ExpiredResponse struct {
	First uint64 `json:"first"`
}

// Client is an HTTP client of the log service. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the service at the given base URL.
func NewClient(base string, hc *http.Client) *Client {
	return &Client{base: base, http: hc}
}

var _ Log = (*Client)(nil)

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream string, records ...[]byte) (uint64, error) {
	body, err := json.Marshal(AppendRequest{Records: records})
	if err != nil {
		return 0, errs.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(stream), bytes.NewReader(body))
	if err != nil {
		return 0, errs.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	var response AppendResponse
	if err := c.do(req, stream, 0, &response); err != nil {
		return 0, err
	}
	return response.First, nil
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream string, from uint64, n int, wait time.Duration) (Batch, error) {
	q := url.Values{
		"from":   {strconv.FormatUint(from, 10)},
		"max":    {strconv.Itoa(n)},
		"waitMs": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(stream)+"?"+q.Encode(), nil)
	if err != nil {
		return Batch{}, errs.Wrap(err)
	}
	var b Batch
	if err := c.do(req, stream, from, &b); err != nil {
		return Batch{}, err
	}
	if b.First != from && len(b.Records) > 0 || b.Next != from+uint64(len(b.Records)) {
		return Batch{}, &StatusError{Stream: stream, Status: http.StatusOK, Detail: "offsets of the batch don't match the request"}
	}
	return b, nil
}

func (c *Client) url(stream string) string {
	return fmt.Sprintf("%s/streams/%s/records", c.base, url.PathEscape(stream))
}

func (c *Client) do(req *http.Request, stream string, from uint64, out any) error {
	resp, err := c.http.Do(req)
	if err != nil {
		return errs.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errs.Wrap(err)
	}
	if resp.StatusCode == http.StatusGone {
		var expired ExpiredResponse
		if err := json.Unmarshal(data, &expired); err != nil {
			return errs.Wrap(err)
		}
		return &ExpiredError{Stream: stream, From: from, First: expired.First}
	}
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Stream: stream, Status: resp.StatusCode, Detail: string(data[:min(len(data), 200)])}
	}
	return errs.Wrap(json.Unmarshal(data, out))
}
