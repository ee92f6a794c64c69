package chain

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"dogwoodsill.org/core/model"
)

// Header carries the call token between a node and its own upstream.
const Header = "Dogwoodsill-Call"

// DeadlineHeader carries the milliseconds that are left for a request.
const DeadlineHeader = "Dogwoodsill-Deadline"

// Table holds the calls that the local upstream is serving. It is safe for
// concurrent use.
type Table struct {
	mu    sync.Mutex
	calls map[string]*Active
}

// Active is a call that the local upstream is serving.
type Active struct {
	Token string
	Call  model.Call
	ctx   context.Context

	mu       sync.Mutex
	attempts int
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{calls: map[string]*Active{}}
}

// Begin registers a call and returns it with a new token. Calls further down
// the chain end with ctx.
func (t *Table) Begin(ctx context.Context, c model.Call) *Active {
	a := &Active{Token: rand.Text(), Call: c, ctx: ctx, attempts: c.Attempts}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls[a.Token] = a
	return a
}

// End removes a call. Later uses of its token are refused.
func (t *Table) End(a *Active) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.calls, a.Token)
}

// Lookup returns the call of a token unless the token is unknown, the call has
// ended or its deadline has passed.
func (t *Table) Lookup(token string, now time.Time) (*Active, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.calls[token]
	if !ok || !now.Before(a.Call.Deadline) {
		return nil, false
	}
	return a, true
}

// Len returns the number of calls that are being served.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.calls)
}

// Context returns the context of the call.
func (a *Active) Context() context.Context {
	return a.ctx
}

// Take moves up to n attempts from the call to a child and returns their
// number.
func (a *Active) Take(n int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n = max(0, min(n, a.attempts))
	a.attempts -= n
	return n
}

// Return gives unused attempts of a child back to the call.
func (a *Active) Return(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attempts += n
}

// Left returns the attempts that the call has not used or lent to children.
func (a *Active) Left() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.attempts
}
