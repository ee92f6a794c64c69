package site_test

import (
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/bench/fakes"
	"dogwoodsill.org/core/model"
)

// Guards against retries that multiply along a call chain. Every target of the
// called service drops its connections, and the request may use three attempts
// in total.
func TestAttemptsOverChain(t *testing.T) {
	const budget = 3
	ctx, r := startParallel(t)
	route := r.Site.Routes["quickOrder"]
	route.Attempts = budget
	assert.NilError(t, r.Publish(ctx, model.KindRoute, "quickOrder", route))
	assert.NilError(t, r.InForce(ctx))
	for _, n := range r.Nodes {
		if n.Service == "orders" {
			n.Upstream.Calls = []string{"/internal/catalogue/check?fake=" + fakes.Reject}
		}
	}
	n := nodeOf(r, "archive", false)
	got := do(ctx, t, http.DefaultClient, "POST", "http://"+n.Addrs().Callers+"/orders/quick", r.Keys["theatre"], "200 stubs")
	assert.Equal(t, got.status, 502, "%v", got)
	attempts := sum(r, (*fakes.Upstream).Started)
	assert.Assert(t, attempts > 1 && attempts <= budget, "%d attempts", attempts)
}

// Guards against chain calls that are still sent under a key that was revoked
// while the upstream was serving the original request.
func TestRevokedKeyEndsChain(t *testing.T) {
	ctx, r := startParallel(t)
	gate := make(chan struct{})
	for _, n := range r.Nodes {
		if n.Service == "orders" {
			n.Upstream.HoldCalls(gate)
		}
	}
	n := nodeOf(r, "archive", false)
	done := make(chan answer, 1)
	go func() {
		done <- do(ctx, t, http.DefaultClient, "POST", "http://"+n.Addrs().Callers+"/orders/quick", r.Keys["theatre"], "200 stubs")
	}()
	awaitRunning(t, r, "orders", 1)
	assert.NilError(t, r.RevokeKey(ctx, "theatre"))
	assert.NilError(t, r.InForce(ctx))
	close(gate)
	assert.Equal(t, (<-done).status, 401)
	for _, n := range r.Nodes {
		if n.Service == "catalogue" {
			assert.Equal(t, n.Upstream.Started(), int64(0))
		}
	}
}

// Guards against a key that reaches an upstream in a trailer. Trailers arrive
// after the keys were removed from the header.
func TestTrailerCarriesNoKey(t *testing.T) {
	ctx, r := startParallel(t)
	key := r.Keys["theatre"]
	n := nodeOf(r, "archive", false)
	got := doAdmitted(ctx, t, http.DefaultClient, func() *http.Request {
		body := &trailerBody{text: "artwork"}
		req, err := http.NewRequestWithContext(ctx, "PUT", "http://"+n.Addrs().Callers+"/artwork/3", body)
		assert.NilError(t, err)
		req.Header.Set("X-Api-Key", key)
		req.Trailer = http.Header{"X-Api-Key": {key}, "X-Copy": {key}, "X-Checksum": {"abc123"}}
		return req
	})
	assert.Equal(t, got.status, 200, "%v", got.problem)
	seen := false
	for _, n := range r.Nodes {
		assert.Assert(t, !n.Upstream.Saw(key), n.Service)
		seen = seen || n.Upstream.Saw("abc123")
	}
	assert.Assert(t, seen, "no upstream received the trailer")
}

// trailerBody is a request body of unknown length, so that the client sends it
// chunked and with a trailer.
type trailerBody struct {
	text string
}

func (b *trailerBody) Read(p []byte) (int, error) {
	if b.text == "" {
		return 0, io.EOF
	}
	n := copy(p, b.text)
	b.text = b.text[n:]
	return n, nil
}
