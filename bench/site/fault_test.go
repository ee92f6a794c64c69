package site_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dogwoodsill.org/bench/fakes"
	"dogwoodsill.org/bench/site"
	"dogwoodsill.org/core/metric"
)

// running returns the number of requests in service at the upstreams of a
// service.
func running(r *site.Running, service string) int64 {
	var n int64
	for _, node := range r.Nodes {
		if node.Service == service {
			n += node.Upstream.InService()
		}
	}
	return n
}

// awaitRunning waits until at least n requests run at the upstreams of a service.
func awaitRunning(t *testing.T, r *site.Running, service string, n int64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if running(r, service) >= n {
			return poll.Success()
		}
		return poll.Continue("%d requests are running at %s", running(r, service), service)
	}, poll.WithDelay(5*time.Millisecond))
}

// Guards against an order that is lost or runs twice when a network device drops
// the state of the connection that carries it, so that the connection stays open
// but passes no bytes.
func TestSilentLinkResumesOrder(t *testing.T) {
	ctx, r := startParallel(t)
	idem, err := r.IssueIdempotencyKeys(ctx, http.DefaultClient, r.Nodes[0], "theatre", 1)
	assert.NilError(t, err)
	for _, n := range r.Nodes {
		if n.Service == "orders" {
			n.Upstream.SetServiceTime(time.Second)
		}
	}
	got := make(chan answer, 1)
	go func() { got <- order(ctx, t, r.Nodes[0], r.Keys["theatre"], idem[0]) }()
	// An order that arrived incomplete can't be resumed, so wait until all of
	// it reached an upstream.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if sum(r, (*fakes.Upstream).Received) > 0 {
			return poll.Success()
		}
		return poll.Continue("no order has arrived completely")
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(30*time.Second))
	for _, n := range r.Nodes {
		if n.Service == "orders" {
			n.Wire.Silence()
		}
	}
	a := <-got
	assert.Equal(t, a.status, 200, "%v", a.problem)
	assert.Equal(t, runs(r, idem[0]), 1)
	assert.Equal(t, r.Nodes[0].Metrics().Value(metric.Resumed), int64(1))
}

// Guards against an order whose outcome is reported as unknown when the connection to the owner of
// its idempotency key goes silent, though the owner can be asked again.
func TestSilentLinkToOwnerResumesOrder(t *testing.T) {
	ctx, r := startParallel(t)
	owner, entry := r.Nodes[0], r.Nodes[1]
	idem, err := r.IssueIdempotencyKeys(ctx, http.DefaultClient, owner, "theatre", 1)
	assert.NilError(t, err)
	for _, n := range r.Nodes {
		if n.Service == "orders" {
			n.Upstream.SetServiceTime(time.Second)
		}
	}
	got := make(chan answer, 1)
	go func() { got <- order(ctx, t, entry, r.Keys["theatre"], idem[0]) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if sum(r, (*fakes.Upstream).Received) > 0 {
			return poll.Success()
		}
		return poll.Continue("no order has arrived completely")
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(30*time.Second))
	owner.Wire.Silence()
	a := <-got
	assert.Equal(t, a.status, 200, "%v", a.problem)
	assert.Equal(t, runs(r, idem[0]), 1)
	assert.Equal(t, entry.Metrics().Value(metric.Resumed), int64(1))
}
