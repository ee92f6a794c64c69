package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"dogwoodsill.org/node/store"
)

var (
	errRevoked = errors.New("the key was revoked")
	errStopped = errors.New("the node stops")
)

// activeRequests holds the requests that are in progress, by identifier of the
// API key, so that a revocation can abort requests whose body is still
// arriving.
type activeRequests struct {
	revokeGrace time.Duration

	mu      sync.Mutex
	byKey   map[string]map[*activeRequest]struct{}
	stopped bool // stop was called
}

// activeRequest is one request in progress.
type activeRequest struct {
	cancel       context.CancelCauseFunc
	mu           sync.Mutex
	bodyComplete bool // the body has arrived completely
}

func newActiveRequests(grace time.Duration) *activeRequests {
	return &activeRequests{revokeGrace: grace, byKey: map[string]map[*activeRequest]struct{}{}}
}

// activeRequestKey is the context key of an activeRequest.
type activeRequestKey struct{}

// begin registers a request until done is called. The returned context ends
// with errRevoked if the request is aborted, or with errStopped.
func (a *activeRequests) begin(parent context.Context, keyID string) (ctx context.Context, done func()) {
	ctx, cancel := context.WithCancelCause(parent)
	req := &activeRequest{cancel: cancel}
	ctx = context.WithValue(ctx, activeRequestKey{}, req)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byKey[keyID] == nil {
		a.byKey[keyID] = map[*activeRequest]struct{}{}
	}
	a.byKey[keyID][req] = struct{}{}
	if a.stopped {
		cancel(errStopped)
	}
	return ctx, func() {
		cancel(nil)
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.byKey[keyID], req)
		if len(a.byKey[keyID]) == 0 {
			delete(a.byKey, keyID)
		}
	}
}

// stop ends all requests, also those that begin later.
func (a *activeRequests) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = true
	for _, requests := range a.byKey {
		for req := range requests {
			req.cancel(errStopped)
		}
	}
}

// abortRevoked aborts, after the grace period, the requests with invalid API keys
// whose body has not arrived completely by then.
func (a *activeRequests) abortRevoked(cur *store.Config) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for keyID, requests := range a.byKey {
		if keyID == "" || cur.View.ValidKey(keyID) {
			continue
		}
		for req := range requests {
			time.AfterFunc(a.revokeGrace, req.abort)
		}
	}
}

func (r *activeRequest) abort() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.bodyComplete {
		r.cancel(errRevoked)
	}
}

func (r *activeRequest) markBodyComplete() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bodyComplete = true
}

// MergeContexts returns a context with the values of a that ends when a or b
// ends.
func MergeContexts(a, b context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(a)
	stop := context.AfterFunc(b, func() { cancel(context.Cause(b)) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}
