package chain

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/retry"
)

// CallHeader carries the call token between a node and its own upstream.
const CallHeader = "Dogwoodsill-Call"

// DeadlineHeader carries the time left until the deadline of a request, in
// milliseconds.
const DeadlineHeader = "Dogwoodsill-Deadline"

// Table holds the calls that the local upstream is serving. It is safe for
// concurrent use.
type Table struct {
	mu      sync.Mutex
	calls   map[string]*ActiveCall   // by token
	byID    map[string]*ActiveCall   // by the identifier that the caller gave the request
	fanouts map[string]*retry.Fanout // by route
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{calls: map[string]*ActiveCall{}, byID: map[string]*ActiveCall{}, fanouts: map[string]*retry.Fanout{}}
}

// Begin registers a call of a route and returns it with a new call token. The
// context is that of the child calls, which end with it. The id is the
// identifier that the caller gave the request and may be empty.
func (t *Table) Begin(ctx context.Context, route, id string, c model.Call) *ActiveCall {
	a := &ActiveCall{
		Token: rand.Text(), Call: c, table: t, route: route, requestID: id, ctx: ctx,
		attempts: c.Attempts, children: map[string]bool{},
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls[a.Token] = a
	if id != "" {
		t.byID[id] = a
	}
	return a
}

// End removes a call. Lookup no longer finds its token, so that later uses are
// refused.
func (t *Table) End(a *ActiveCall) {
	a.mu.Lock()
	maxParallel := a.maxParallel
	a.mu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.calls, a.Token)
	if t.byID[a.requestID] == a {
		delete(t.byID, a.requestID)
	}
	t.fanoutEstimate(a.route).Observe(maxParallel)
}

// fanoutEstimate returns the fan-out estimate of a route. The caller must hold
// mu.
func (t *Table) fanoutEstimate(route string) *retry.Fanout {
	f, ok := t.fanouts[route]
	if !ok {
		f = &retry.Fanout{}
		t.fanouts[route] = f
	}
	return f
}

// pendingChildren returns the expected number of child calls that still need
// attempts when a call of a route has active child calls.
func (t *Table) pendingChildren(route string, active int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fanoutEstimate(route).PendingChildren(active)
}

// Lookup returns the call of a token. It returns false if the token is unknown,
// the call has ended or its deadline has passed.
func (t *Table) Lookup(token string, now time.Time) (*ActiveCall, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return unexpired(t.calls[token], now)
}

// unexpired returns a call unless it is nil or its deadline has passed.
func unexpired(a *ActiveCall, now time.Time) (*ActiveCall, bool) {
	if a == nil || !now.Before(a.Call.Deadline) {
		return nil, false
	}
	return a, true
}

// LookupByID returns the call with the identifier that the caller gave the
// request, under the same conditions as Lookup.
func (t *Table) LookupByID(id string, now time.Time) (*ActiveCall, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return unexpired(t.byID[id], now)
}

// Len returns the number of calls that are being served.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.calls)
}
