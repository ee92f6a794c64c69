package chain

import (
	"context"
	"sync"
	"time"

	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/retry"
)

// ActiveCall is a call that the local upstream is serving. It is safe for
// concurrent use.
type ActiveCall struct {
	Token string
	Call  model.Call

	table *Table
	route string
	id    string
	ctx   context.Context

	mu       sync.Mutex
	attempts int
	running  int // child calls
	widest   int // largest number of child calls at a time
	children map[string]bool
	since    time.Time     // when running last became 1
	waited   time.Duration // time with at least one child call
	failed   bool          // a child call failed
}

// Context returns the context of the call.
func (a *ActiveCall) Context() context.Context {
	return a.ctx
}

// StartChild begins a child call of a service and moves attempts to it. It
// returns their number, 0 if none are left, and whether this is the first call
// to the service.
func (a *ActiveCall) StartChild(service string, now time.Time) (attempts int, first bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	attempts = retry.Split(a.attempts, a.table.open(a.route, a.running))
	a.attempts -= attempts
	a.running++
	a.widest = max(a.widest, a.running)
	if a.running == 1 {
		a.since = now
	}
	first = !a.children[service]
	a.children[service] = true
	return attempts, first
}

// EndChild ends a child call and takes back the attempts that it didn't use.
func (a *ActiveCall) EndChild(unused int, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attempts += unused
	a.running--
	if a.running == 0 {
		a.waited += now.Sub(a.since)
	}
}

// ChildTime returns the time during which at least one child call was running.
func (a *ActiveCall) ChildTime(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running > 0 {
		return a.waited + now.Sub(a.since)
	}
	return a.waited
}

// RemainingAttempts returns the attempts that the call has not used or lent to children.
func (a *ActiveCall) RemainingAttempts() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.attempts
}

// RecordChildFailure records that a child call failed.
func (a *ActiveCall) RecordChildFailure() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failed = true
}

// ChildFailed reports whether a child call failed, so that a failure of the call
// itself may have its cause further down the chain.
func (a *ActiveCall) ChildFailed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.failed
}
